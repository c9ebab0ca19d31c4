//! A configuration raises the limit of heads, and clients keep the connections that they opened before.

use crate::site::{Client, Record, Reply, Vm, Worker, request};
use crate::store::Store;
use std::io;
use std::thread::sleep;
use std::time::Duration;

const ZONE: &str = "castlegar-hall";
/// `config_apply_ms` of the deployment.
const CONFIG_APPLY: Duration = Duration::from_millis(2_000);
const CLIENTS: usize = 12;
/// Requests of each client after the change.
const REQUESTS: usize = 6;

fn config(version: u64, max_header_bytes: u32) -> String {
    format!(
        r#"{{"version":{version},"routes":[
{{"name":"lookup","host":"mill.example","path_prefix":"/lookup/","route_type":"idempotent","timeout_ms":800,"target_latency_ms":150,"priority":2,"service":"ledger","max_attempts":2}}],
"services":[{{"name":"ledger","health_path":"/health","max_connections":100}}],
"limits":{{"max_header_bytes":{max_header_bytes},"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#
    )
}

pub fn run(record: &Record, has_trouble: bool) -> io::Result<bool> {
    let store = Store::start()?;
    for id in ["i-1", "i-2", "i-3"] {
        let worker = Worker::start(id, 6, Duration::from_millis(30), record)?;
        store.put("keyed.servers", id, &worker.entry("ledger", ZONE, 6));
    }
    // Without the disruption, the larger limit is in force from the start.
    store.put("keyed.op", "config", &config(3, if has_trouble { 16_384 } else { 65_536 }));
    let mut vm = Vm::start(store.address, "edge-1", ZONE, "")?;
    vm.wait_until_ready()?;
    sleep(Duration::from_secs(2));
    let mut clients: Vec<_> = (0..CLIENTS).map(|_| Client::new(vm.front)).collect();
    let mut send = |client: usize, number: usize, prompt: &str| {
        let id = format!("lookup-{client}-{number}");
        let head = request("GET", "/lookup/1", &id, 1500, &format!("Hoplanding-Prompt-Prefix: {prompt}\r\n"));
        record.write(&format!("client {client} sends {id}, {} bytes of head", head.len()));
        let reply = clients[client].send(&head, b"");
        record.write(&format!("client {client} gets {reply:?} for {id}"));
        reply
    };
    for client in 0..CLIENTS {
        if !matches!(send(client, 0, "5c1e07a2:800"), Reply::Answer(200)) {
            return Err(io::Error::other("a request was not served before the change"));
        }
    }
    store.put("keyed.op", "config", &config(8, 65_536));
    record.write("version 8 is acknowledged, with 65536 for max_header_bytes");
    sleep(CONFIG_APPLY + Duration::from_secs(1));
    // 900 parts of 22 bytes.
    let parts: Vec<_> = (0_u64..900).map(|part| format!("{:016x}:8000", 0x5c1e_07a2_0000 + part)).collect();
    let prompt = parts.join(",");
    let (mut refused, mut sent) = (0, 0);
    for number in 1..=REQUESTS {
        for client in 0..CLIENTS {
            sent += 1;
            let reply = send(client, number, &prompt);
            refused += usize::from(!matches!(reply, Reply::Answer(200)));
        }
        sleep(Duration::from_millis(200));
    }
    record.write(&format!("{refused} of {sent} requests were refused or broken off that version 8 allows"));
    println!("{refused} of {sent} requests refused or broken off");
    Ok(refused > 0)
}
