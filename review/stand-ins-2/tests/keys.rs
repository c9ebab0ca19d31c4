//! Keys that a configuration takes away.

use crate::site::{Client, Record, Reply, Vm, Worker, request};
use crate::store::Store;
use std::io;
use std::thread::sleep;
use std::time::{Duration, Instant};

const ZONE: &str = "castlegar-hall";
/// `revoke_ms` of the deployment.
const REVOKE: Duration = Duration::from_millis(5_000);
/// Settings of a deployment with tenants.
const KEYED_SETTINGS: &str = r#", "revocation": { "strict": true, "bound_ms": 5000 }, "quotas": { "window_s": 8, "over": 0.1, "slack": 11000 }"#;

fn config(version: u64, tenants: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[
{{"name":"lookup","host":"mill.example","path_prefix":"/lookup/","route_type":"idempotent","timeout_ms":3000,"target_latency_ms":300,"priority":2,"service":"ledger","max_attempts":2,"anonymous":false}},
{{"name":"open","host":"mill.example","path_prefix":"/open/","route_type":"idempotent","timeout_ms":3000,"target_latency_ms":300,"priority":2,"service":"ledger","max_attempts":2,"anonymous":true}}],
"services":[{{"name":"ledger","health_path":"/health","max_connections":490}}],
"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},
"tenants":[{tenants}]}}"#
    )
}

fn tenant(keys: &str, rate: &str) -> String {
    format!(r#"{{"name":"hall","api_keys":[{keys}],"priority":1,"rate_per_s":{rate},"burst":40}}"#)
}

struct KeyedSite {
    store: Store,
    workers: Vec<Worker>,
    vm: Vm,
}

fn start(record: &Record) -> io::Result<KeyedSite> {
    let store = Store::start()?;
    let mut workers = Vec::new();
    for id in ["i-1", "i-2", "i-3"] {
        let worker = Worker::start(id, 6, Duration::from_millis(30), record)?;
        store.put("keyed.servers", id, &worker.entry("ledger", ZONE, 6));
        workers.push(worker);
    }
    store.put(
        "keyed.op",
        "config",
        &config(3, &tenant(r#""key-a","key-b""#, "40")),
    );
    let mut vm = Vm::start(store.address, "edge-1", ZONE, KEYED_SETTINGS)?;
    vm.wait_until_ready()?;
    sleep(Duration::from_secs(2));
    Ok(KeyedSite { store, workers, vm })
}

/// Requests with a key, four a second for a time; returns the ids that a worker ran of those sent at `from` or later.
fn ask(
    site: &KeyedSite,
    record: &Record,
    name: &str,
    path: &str,
    key: &str,
    from: Instant,
    span: Duration,
) -> Vec<String> {
    let mut client = Client::new(site.vm.front);
    let mut run = Vec::new();
    let until = Instant::now() + span;
    for number in 0.. {
        if Instant::now() >= until {
            break;
        }
        let id = format!("{name}-{number}");
        let is_late = Instant::now() >= from;
        record.write(&format!("client sends {id}: GET {path} with {key}"));
        let head = request(
            "GET",
            path,
            &id,
            3000,
            &format!("Authorization: Bearer {key}\r\n"),
        );
        let reply: Reply = client.send(&head, b"");
        record.write(&format!("client gets {reply:?} for {id}"));
        if is_late && site.workers.iter().any(|worker| worker.has_run(&id)) {
            run.push(id);
        }
        sleep(Duration::from_millis(250));
    }
    run
}

/// A configuration that takes a key away also sets a tenant's rate to a number with a fraction.
pub fn run_fraction(record: &Record, has_trouble: bool) -> io::Result<bool> {
    let site = start(record)?;
    if ask(
        &site,
        record,
        "before",
        "/lookup/1",
        "key-b",
        Instant::now(),
        Duration::from_secs(2),
    )
    .is_empty()
    {
        return Err(io::Error::other("no request was served before the change"));
    }
    let rate = if has_trouble { "37.5" } else { "37" };
    site.store.put(
        "keyed.op",
        "config",
        &config(8, &tenant(r#""key-a""#, rate)),
    );
    let acknowledged = Instant::now();
    record.write(&format!(
        "version 8 is acknowledged: key-b is taken away, rate_per_s {rate}"
    ));
    let late = ask(
        &site,
        record,
        "after",
        "/lookup/1",
        "key-b",
        acknowledged + REVOKE,
        Duration::from_secs(15),
    );
    conclude(record, &late)
}

/// A key is taken away, and used on a route that needs none.
pub fn run_open_route(record: &Record, has_trouble: bool) -> io::Result<bool> {
    let site = start(record)?;
    if ask(
        &site,
        record,
        "before",
        "/open/1",
        "key-b",
        Instant::now(),
        Duration::from_secs(2),
    )
    .is_empty()
    {
        return Err(io::Error::other("no request was served before the change"));
    }
    let keys = if has_trouble {
        r#""key-a""#
    } else {
        r#""key-a","key-b""#
    };
    site.store
        .put("keyed.op", "config", &config(8, &tenant(keys, "40")));
    let acknowledged = Instant::now();
    record.write(&format!("version 8 is acknowledged, with the keys {keys}"));
    let late = ask(
        &site,
        record,
        "after",
        "/open/1",
        "key-b",
        acknowledged + REVOKE,
        Duration::from_secs(15),
    );
    if !has_trouble {
        let summary = format!(
            "{} requests with a key that is still held were run",
            late.len()
        );
        record.write(&summary);
        println!("{summary}");
        if late.is_empty() {
            return Err(io::Error::other("no request was served"));
        }
        return Ok(false);
    }
    conclude(record, &late)
}

fn conclude(record: &Record, late: &[String]) -> io::Result<bool> {
    record.write(&format!("requests with key-b sent more than {REVOKE:?} after the acknowledgement and run: {} {late:?}", late.len()));
    println!(
        "{} requests with a key that was taken away were run",
        late.len()
    );
    Ok(!late.is_empty())
}
