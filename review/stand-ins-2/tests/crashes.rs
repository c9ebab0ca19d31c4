//! All workers of a service crash at once while many clients ask for the same.

use crate::site::{Client, Record, Reply, Vm, Worker, request};
use crate::store::Store;
use std::io;
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::Duration;

const ZONE: &str = "castlegar-hall";
const SLOTS: usize = 6;
const WORK: Duration = Duration::from_millis(220);
/// Clients that ask for the same page, and clients whose requests are all different.
const READERS: usize = 24;
const WRITERS: usize = 4;
/// From the last acknowledgement until the crash.
const BEFORE: Duration = Duration::from_secs(4);
/// How long the workers are down, and after how long the store removes their entries: three heartbeats.
const DOWN: Duration = Duration::from_millis(4_500);
const LISTED: Duration = Duration::from_millis(3_600);
/// From the workers' return until the steady state: `contact_ms`, and once more as much.
const SETTLE: Duration = Duration::from_secs(6);
const STEADY: Duration = Duration::from_secs(40);

/// Steps of the script.
const OPENING: u8 = 0;
const STEADY_STATE: u8 = 1;
const OVER: u8 = 2;

fn config(version: u64, has_page: bool) -> String {
    let page = r#",
{"name":"board","host":"mill.example","path_prefix":"/board/","route_type":"idempotent","timeout_ms":800,"target_latency_ms":300,"priority":2,"service":"ledger","max_attempts":2}"#;
    format!(
        r#"{{"version":{version},"routes":[
{{"name":"scan","host":"mill.example","path_prefix":"/scan/","route_type":"non_idempotent","timeout_ms":1500,"target_latency_ms":300,"priority":2,"service":"ledger","max_attempts":1}}{}],
"services":[{{"name":"ledger","health_path":"/health","max_connections":100}},
{{"name":"scribe","health_path":"/health","max_connections":360,"engine":{{"slots":64,"kv_capacity":131025,"models":[{{"name":"m0","weights_size":42700.0,"load_s":0.6,"adapters":3000,"adapter_mb":66.0}}],"weights_size":45000.0,"adapter_slots":21,"loads_per_s":3.3}}}}],
"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#,
        if has_page { page } else { "" }
    )
}

/// Requests in the steady state, and those of them that were served.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    sent: u32,
    served: u32,
}

pub fn run(record: &Record, has_trouble: bool) -> io::Result<bool> {
    let store = Store::start()?;
    let start = |id: &'static str, address: &str| -> io::Result<Worker> {
        let worker = Worker::start_at(id, address, SLOTS, WORK, record)?;
        store.put("keyed.servers", id, &worker.entry("ledger", ZONE, SLOTS));
        Ok(worker)
    };
    let workers = ["i-1", "i-2", "i-3"].map(|id| start(id, "127.0.0.1:0"));
    let workers = workers.into_iter().collect::<io::Result<Vec<_>>>()?;
    // The engines of the zone, which go on.
    for id in [
        "e-1", "e-2", "e-3", "e-4", "e-5", "e-6", "e-7", "e-8", "e-9", "e-10", "e-11", "e-12",
    ] {
        let engine = Worker::start(id, 64, WORK, record)?;
        store.put("keyed.servers", id, &engine.entry("scribe", ZONE, 64));
    }
    store.put("keyed.op", "config", &config(3, false));
    let mut vm = Vm::start(store.address, "edge-1", ZONE, "")?;
    vm.wait_until_ready()?;
    sleep(Duration::from_secs(2));
    store.put("keyed.op", "config", &config(8, true));
    record.write("version 8 is acknowledged, which adds the route of the page");
    sleep(Duration::from_secs(2));
    let step = Arc::new(AtomicU8::new(OPENING));
    let (pages, scans) = (
        Arc::new(Mutex::new(Counts::default())),
        Arc::new(Mutex::new(Counts::default())),
    );
    let mut clients = Vec::new();
    for client in 0..READERS + WRITERS {
        let is_reader = client < READERS;
        let counts = Arc::clone(if is_reader { &pages } else { &scans });
        let (record, step, front) = (record.clone(), Arc::clone(&step), vm.front);
        clients.push(thread::spawn(move || {
            let mut connection = Client::new(front);
            sleep(Duration::from_millis(23) * client as u32);
            for number in 0.. {
                let sent_in = step.load(Ordering::Relaxed);
                if sent_in == OVER {
                    break;
                }
                let id = format!(
                    "{}-{client}-{number}",
                    if is_reader { "page" } else { "scan" }
                );
                record.write(&format!("client {client} sends {id}"));
                let reply = if is_reader {
                    connection.send(&request("GET", "/board/today", &id, 1500, ""), b"")
                } else {
                    connection.send(&request("POST", "/scan/1", &id, 1500, ""), id.as_bytes())
                };
                record.write(&format!("client {client} gets {reply:?} for {id}"));
                if sent_in == STEADY_STATE {
                    let mut counts = counts.lock().expect("no thread panics with the lock");
                    counts.sent += 1;
                    counts.served += u32::from(matches!(reply, Reply::Answer(200)));
                }
                sleep(Duration::from_millis(if is_reader { 250 } else { 600 }));
            }
        }));
    }
    sleep(BEFORE);
    let mut back = Vec::new();
    if has_trouble {
        record.write("all workers crash");
        workers.iter().for_each(Worker::crash);
        sleep(LISTED);
        ["i-1", "i-2", "i-3"]
            .iter()
            .for_each(|id| store.put("keyed.servers", id, ""));
        sleep(DOWN - LISTED);
        for (worker, id) in workers.iter().zip(["i-4", "i-5", "i-6"]) {
            back.push(start(id, &worker.address.to_string())?);
        }
        record.write("all workers are back");
    }
    sleep(SETTLE);
    step.store(STEADY_STATE, Ordering::Relaxed);
    sleep(STEADY);
    step.store(OVER, Ordering::Relaxed);
    clients.into_iter().for_each(|client| drop(client.join()));
    let pages = *pages.lock().expect("no thread panics with the lock");
    let scans = *scans.lock().expect("no thread panics with the lock");
    let summary = format!(
        "in the steady state, {} of {} requests were served on the route added later, and {} of {} on the first route",
        pages.served, pages.sent, scans.served, scans.sent
    );
    record.write(&summary);
    println!("{summary}");
    if pages.sent < 20 || scans.served == 0 {
        return Err(io::Error::other("too few requests"));
    }
    let share = |counts: Counts| f64::from(counts.served) / f64::from(counts.sent);
    Ok(share(pages) < share(scans) / 4.0)
}
