//! The operator adds a second service of model workers, and a route to it.

use crate::{
    HOST,
    engine::{Engine, MODEL, service},
    http::Connection,
    record::Record,
    site::{Site, ZONES},
};
use std::{
    io,
    net::SocketAddr,
    path::Path,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

const FIRST: &str = "huvo11a";
const SECOND: &str = "wuno96b";
const OLD_PREFIX: &str = "/lohu930/";
const NEW_PREFIX: &str = "/pufi791/";
/// Workers of each service in each zone.
const WORKERS: usize = 2;
/// When the operator adds the route, and when clients begin to use it: later than `config_apply_ms` after that.
const ADDED_AT: Duration = Duration::from_secs(8);
const USED_FROM: Duration = Duration::from_secs(12);
const END: Duration = Duration::from_secs(40);

/// A request as its client saw it.
struct Seen {
    id: String,
    is_on_new_route: bool,
    status: u16,
}

/// Plays the case; returns whether ROUTE held.
pub fn play(path: &Path, is_troubled: bool, record: &Arc<Record>) -> io::Result<bool> {
    let mut engines = Vec::new();
    for zone in ZONES {
        for service in [FIRST, SECOND] {
            for number in 0..WORKERS {
                let id = format!("i-{service}-{zone}-{number}");
                engines.push((Engine::start(&id, service, record)?, zone));
            }
        }
    }
    let entries_of = |service: &str| -> Vec<_> {
        let engines = engines.iter();
        engines
            .filter(|(engine, _)| engine.service == service)
            .map(|(engine, zone)| (engine.id.clone(), engine.entry(zone)))
            .collect()
    };
    let entries = entries_of(FIRST);
    let mut site = Site::start(&config(7, &[FIRST]), &entries, record)?;
    if !site.wait_until_ready(Duration::from_secs(20)) {
        return Err(io::Error::other("the daemons did not become ready"));
    }
    record.line("ready");
    let started = Instant::now();
    let clients: Vec<_> = site
        .vms
        .iter()
        .enumerate()
        .map(|(client, vm)| {
            let (front, record) = (vm.front, Arc::clone(record));
            thread::spawn(move || run_client(client, front, started, is_troubled, &record))
        })
        .collect();
    if is_troubled {
        thread::sleep(ADDED_AT);
        for (id, entry) in entries_of(SECOND) {
            site.platform.put("keyed.servers", &id, &entry);
            record.line(&format!("listed    {id} {entry}"));
        }
        let config = config(8, &[FIRST, SECOND]);
        site.platform.put("keyed.op", "config", &config);
        record.line(&format!("operator  {config}"));
    }
    let seen: Vec<_> = clients
        .into_iter()
        .flat_map(|client| client.join().unwrap_or_default())
        .collect();
    if !site.is_running() {
        return Err(io::Error::other("a daemon ended"));
    }
    if std::env::var("KEEP_LOGS").is_ok() {
        site.keep_logs(path.parent().unwrap_or(Path::new(".")));
    }
    drop(site);
    let mut broken = 0;
    for request in &seen {
        let allowed = if request.is_on_new_route {
            SECOND
        } else {
            FIRST
        };
        let services = record.services(&request.id);
        if services.iter().any(|service| service != allowed) {
            broken += 1;
            record.line(&format!(
                "BROKEN    {} was run by {services:?}; every configuration sends it to {allowed}",
                request.id
            ));
        }
    }
    let count = |is_new: bool, is_ok: bool| {
        let matching = seen.iter().filter(|request| {
            request.is_on_new_route == is_new && (request.status == 200) == is_ok
        });
        matching.count()
    };
    let text = format!(
        "ROUTE: broken by {broken} requests; old route: {} answered 200, {} otherwise; new route: {} answered 200, {} otherwise",
        count(false, true),
        count(false, false),
        count(true, true),
        count(true, false)
    );
    record.line(&text);
    println!("{text}");
    record.finish();
    Ok(broken == 0)
}

fn run_client(
    client: usize,
    front: SocketAddr,
    started: Instant,
    is_troubled: bool,
    record: &Record,
) -> Vec<Seen> {
    let mut seen = Vec::new();
    let mut number = 0;
    while started.elapsed() < END {
        let due = started + Duration::from_millis(300) * number;
        thread::sleep(due.saturating_duration_since(Instant::now()));
        number += 1;
        let is_on_new_route = is_troubled && started.elapsed() > USED_FROM && number % 2 == 0;
        let id = format!("{client:02x}{number:06x}");
        let prefix = if is_on_new_route {
            NEW_PREFIX
        } else {
            OLD_PREFIX
        };
        let adapter = format!("a{}", number % 5 + 1);
        record.line(&format!("sent      {id} {prefix} {adapter} to VM {client}"));
        let status = send(front, &id, prefix, &adapter).unwrap_or(0);
        record.line(&format!("answered  {id} {status}"));
        seen.push(Seen {
            id,
            is_on_new_route,
            status,
        });
    }
    seen
}

fn send(front: SocketAddr, id: &str, prefix: &str, adapter: &str) -> io::Result<u16> {
    let mut connection = Connection::open(front, Duration::from_secs(1))?;
    connection
        .stream
        .set_read_timeout(Some(Duration::from_secs(16)))?;
    let body = format!("prompt {id}");
    let request = format!(
        "POST {prefix}2f HTTP/1.1\r\nHost: {HOST}\r\nHoplanding-Request-Id: {id}\r\n\
         Hoplanding-Model: {MODEL}/{adapter}\r\nHoplanding-Token-Count: 1460,10\r\n\
         Hoplanding-Prompt-Prefix: 5c1e07a2:800,{id}:660\r\nHoplanding-Deadline-Ms: 15000\r\n\
         Connection: close\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    connection.write(request.as_bytes())?;
    let answer = connection.read(true)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    Ok(if answer.is_whole { answer.status() } else { 0 })
}

fn config(version: u32, services: &[&str]) -> String {
    let route = |name: &str, prefix: &str, service: &str| {
        format!(
            r#"{{"name":"{name}","host":"{HOST}","path_prefix":"{prefix}","route_type":"streaming","timeout_ms":15000,"target_latency_ms":800,"priority":2,"service":"{service}","max_attempts":1,"session_affinity":true,"can_resume":false,"gap_aim_ms":250}}"#
        )
    };
    let mut routes = vec![route("r-zji9n73", OLD_PREFIX, FIRST)];
    if services.contains(&SECOND) {
        routes.push(route("r-hh2b9wu", NEW_PREFIX, SECOND));
    }
    let services = services.iter().map(|name| service(name));
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#,
        routes.join(","),
        services.collect::<Vec<_>>().join(",")
    )
}
