//! Plays a case of the review against daemons that run as separate processes: `review-site CASE RECORD`.
//!
//! The exit code is 1 if the rule was broken, 0 if it held, 2 if the case could not run. With `TROUBLE=0` the servers
//! are sound.

mod engine;
mod http;
mod new_route;
mod platform;
mod record;
mod server;
mod site;

use engine::Engine;
use http::Connection;
use record::Record;
use server::{Server, Trouble};
use site::{Site, ZONES};
use std::{
    io,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::ExitCode,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

const HOST: &str = "ficu95.example";
/// The route of requests that can't be repeated, as the deployment's dock scans.
const SCANS: &str = "/puxa403/";
/// The route of requests that may be repeated, as the deployment's tag lookups, to the same service.
const LOOKUPS: &str = "/cufi504/";
const DEADLINE_MS: u64 = 1_500;
/// The service of the model workers, and how many of them each zone has.
const ENGINE_SERVICE: &str = "huvo11a";
const ENGINES: usize = 4;
/// Time for which clients send.
const LENGTH: Duration = Duration::from_secs(45);
/// Time after which the case is given up.
const TIME_LIMIT: Duration = Duration::from_secs(110);

/// A request as its client saw it.
struct Seen {
    id: String,
    /// 0 if no answer came.
    status: u16,
}

fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let (Some(case), Some(path)) = (args.next(), args.next()) else {
        eprintln!("usage: review-site CASE RECORD");
        return ExitCode::from(2);
    };
    let is_troubled = std::env::var("TROUBLE").as_deref() != Ok("0");
    thread::spawn(|| {
        thread::sleep(TIME_LIMIT);
        eprintln!("the case could not run: it took more than {TIME_LIMIT:?}");
        // The script ends the daemons.
        std::process::exit(2);
    });
    match play(&case, &PathBuf::from(path), is_troubled) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}

/// Plays a case; returns whether the rule held.
fn play(case: &str, path: &Path, is_troubled: bool) -> io::Result<bool> {
    let record = Arc::new(Record::create(path)?);
    if case == "new-route-to-a-second-pool" {
        return new_route::play(path, is_troubled, &record);
    }
    let trouble = match case {
        "late-second-answers" => Trouble::LateSecondAnswers,
        "failures-that-ran" => Trouble::FailuresThatRan,
        _ => return Err(io::Error::other("no such case")),
    };
    // The plain service's servers are 3 of the deployment's 15.
    let trouble_now = if is_troubled { trouble } else { Trouble::None };
    let first_request = Arc::default();
    let mut entries = Vec::new();
    for (index, zone) in ZONES.iter().enumerate() {
        let server = Server::start(
            &format!("i-scans{index}"),
            trouble_now,
            &record,
            &first_request,
        )?;
        entries.push((server.id.clone(), server.entry(zone)));
        for number in 0..ENGINES {
            let engine = Engine::start(&format!("i-{zone}-{number}"), ENGINE_SERVICE, &record)?;
            entries.push((engine.id.clone(), engine.entry(zone)));
        }
    }
    let mut site = Site::start(&config(), &entries, &record)?;
    if !site.wait_until_ready(Duration::from_secs(20)) {
        return Err(io::Error::other("the daemons did not become ready"));
    }
    record.line("ready");
    let fronts: Vec<_> = site.vms.iter().map(|vm| vm.front).collect();
    let seen = send_scans(&fronts, &record);
    if !site.is_running() {
        return Err(io::Error::other("a daemon ended"));
    }
    if std::env::var("KEEP_LOGS").is_ok() {
        site.keep_logs(path.parent().unwrap_or(Path::new(".")));
    }
    drop(site);
    let broken = match trouble {
        Trouble::FailuresThatRan => refused_though_run(&seen, &record),
        _ => run_twice(&seen, &record),
    };
    record.finish();
    Ok(broken == 0)
}

/// REFUSED: a request that can't be repeated gets 408, 421, 429 or 503, yet it has run.
fn refused_though_run(seen: &[Seen], record: &Record) -> usize {
    let broken: Vec<_> = seen
        .iter()
        .filter(|seen| matches!(seen.status, 408 | 421 | 429 | 503) && record.runs(&seen.id) > 0)
        .collect();
    for request in &broken {
        record.line(&format!(
            "BROKEN    {} was answered {} and has run",
            request.id, request.status
        ));
    }
    summarise(seen, record, "REFUSED", broken.len());
    broken.len()
}

/// TWICE: a non-repeatable request runs more than once.
fn run_twice(seen: &[Seen], record: &Record) -> usize {
    let mut repeated = record.repeated();
    repeated.retain(|id| seen.iter().any(|request| request.id == *id));
    for id in &repeated {
        record.line(&format!("BROKEN    {id} ran {} times", record.runs(id)));
    }
    summarise(seen, record, "TWICE", repeated.len());
    repeated.len()
}

fn summarise(seen: &[Seen], record: &Record, rule: &str, broken: usize) {
    let count = |status: u16| seen.iter().filter(|seen| seen.status == status).count();
    let text = format!(
        "{rule}: broken by {broken} of {} requests; answered 200: {}, 502: {}, 503: {}, none: {}",
        seen.len(),
        count(200),
        count(502),
        count(503),
        count(0)
    );
    record.line(&text);
    println!("{text}");
}

/// Sends requests at the rates of the deployment's sheet, 20 scans and 9 lookups a second, over kept connections, with a
/// client for each kind at each VM. Returns the scans. Each request is sent once: a client that repeats it gives the new
/// attempt another id.
fn send_scans(fronts: &[SocketAddr], record: &Arc<Record>) -> Vec<Seen> {
    let start = |client: usize, front: SocketAddr, is_scan: bool| {
        let record = Arc::clone(record);
        thread::spawn(move || run_client(client, front, is_scan, &record))
    };
    let fronts = || fronts.iter().copied().enumerate();
    let lookups: Vec<_> = fronts()
        .map(|(client, front)| start(client, front, false))
        .collect();
    let scans: Vec<_> = fronts()
        .map(|(client, front)| start(client, front, true))
        .collect();
    for client in lookups {
        let _ = client.join();
    }
    let seen = scans
        .into_iter()
        .flat_map(|client| client.join().unwrap_or_default());
    seen.collect()
}

fn run_client(client: usize, front: SocketAddr, is_scan: bool, record: &Record) -> Vec<Seen> {
    let started = Instant::now();
    let (kind, pause_ms) = if is_scan { ('5', 150) } else { ('1', 330) };
    let mut connection = None;
    let mut seen = Vec::new();
    let mut number = 0;
    while started.elapsed() < LENGTH {
        let due = started + Duration::from_millis(pause_ms) * number;
        thread::sleep(due.saturating_duration_since(Instant::now()));
        number += 1;
        let id = format!("{kind}{client:01x}{number:06x}");
        record.line(&format!("sent      {id} to VM {client}"));
        let status = match send(&mut connection, front, is_scan, &id) {
            Ok(status) => status,
            Err(error) => {
                connection = None;
                record.line(&format!("no answer {id}: {error}"));
                0
            }
        };
        record.line(&format!("answered  {id} {status}"));
        seen.push(Seen { id, status });
    }
    seen
}

fn send(
    kept: &mut Option<Connection>,
    front: SocketAddr,
    is_scan: bool,
    id: &str,
) -> io::Result<u16> {
    let mut connection = match kept.take() {
        Some(connection) => connection,
        None => Connection::open(front, Duration::from_secs(1))?,
    };
    let limit = Duration::from_millis(DEADLINE_MS + 1_000);
    connection.stream.set_read_timeout(Some(limit))?;
    let headers = format!(
        "Host: {HOST}\r\nHoplanding-Request-Id: {id}\r\nHoplanding-Deadline-Ms: {DEADLINE_MS}\r\n"
    );
    let request = if is_scan {
        let body = format!("scan {id}");
        let length = body.len();
        format!("POST {SCANS}2f HTTP/1.1\r\n{headers}Content-Length: {length}\r\n\r\n{body}")
    } else {
        format!("GET {LOOKUPS}{id} HTTP/1.1\r\n{headers}\r\n")
    };
    connection.write(request.as_bytes())?;
    let answer = connection.read(true)?;
    let answer = answer.ok_or(io::ErrorKind::UnexpectedEof)?;
    if !answer.is_whole {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    if !answer.header("connection").contains("close") {
        *kept = Some(connection);
    }
    Ok(answer.status())
}

/// A configuration with the deployment's two services, and two routes to the plain one, in the words of the deployment's sheet.
fn config() -> String {
    format!(
        r#"{{"version":7,"routes":[{{"name":"r-scans","host":"{HOST}","path_prefix":"{SCANS}","route_type":"non_idempotent","timeout_ms":1500,"target_latency_ms":150,"priority":2,"service":"{service}","max_attempts":1,"session_affinity":false,"can_resume":false}},{{"name":"r-lookups","host":"{HOST}","path_prefix":"{LOOKUPS}","route_type":"idempotent","timeout_ms":1500,"target_latency_ms":150,"priority":2,"service":"{service}","max_attempts":3,"session_affinity":false,"can_resume":false}}],"services":[{{"name":"{service}","health_path":"/health","max_connections":100,"protocol":"h1","tls":false}},{engines}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#,
        service = server::SERVICE,
        engines = engine::service(ENGINE_SERVICE)
    )
}
