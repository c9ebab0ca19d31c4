//! Shared helpers for the tests of the direct mode: daemons with few targets, raw HTTP requests, and answers.

use hoplanding_core::direct::lease::ZoneLease;
use hoplanding_standins::{
    keyed_log::KeyedLog,
    raw_target::{RawRequest, RawResponse, RawTarget},
    relay::LinkRelay,
};
use hoplandingd::direct::{daemon::DirectDaemon, settings::DirectSettings};
use serde_json::json;
use std::{net::SocketAddr, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    runtime::{Builder, Runtime},
    task::JoinHandle,
    time::{sleep, timeout},
};

pub const HOST: &str = "mill.example";
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

pub fn vm_settings(vm: &str, log: &KeyedLog) -> DirectSettings {
    let text = vm_settings_json(vm, log).to_string();
    DirectSettings::parse(&text).expect("settings in order")
}

pub fn vm_settings_json(vm: &str, log: &KeyedLog) -> serde_json::Value {
    json!({
        "mode": "direct",
        "vm": vm,
        "zone": "hall",
        "caller_address": "127.0.0.1:0",
        "ready_address": "127.0.0.1:0",
        "peer_address": "127.0.0.1:0",
        "platform_address": log.address().to_string(),
        "zones": ["hall"],
        "first_start": true,
        "leases": { "silence_ms": 600, "stagger_ms": 40, "turn_ms": 100 },
        "pace": { "list_every_ms": 30, "config_every_ms": 10, "stop_notice_ms": 200, "stop_bound_ms": 3000 },
    })
}

pub fn route_json(name: &str, kind: &str, service: &str) -> serde_json::Value {
    json!({
        "name": name, "host": HOST, "path_prefix": format!("/{name}/"), "route_type": kind,
        "timeout_ms": 5000, "target_latency_ms": 1000, "priority": 1, "service": service,
        "max_attempts": 2, "can_resume": name == "resumed",
    })
}

pub fn config_json(version: u64) -> String {
    json!({
        "version": version,
        "routes": [
            route_json("scan", "non_idempotent", "ledger"), route_json("lookup", "idempotent", "ledger"),
            route_json("plan", "streaming", "scribe"), route_json("resumed", "streaming", "scribe"),
        ],
        "services": [
            { "name": "ledger", "max_connections": 100 },
            { "name": "scribe", "max_connections": 100, "engine": {
                "slots": 8, "kv_capacity": 100_000, "adapter_slots": 4, "loads_per_s": 3.3,
                "models": [{ "name": "base" }] } },
        ],
        "limits": { "max_header_bytes": 16384, "max_body_bytes": 100_000,
                    "header_timeout_ms": 3000, "idle_timeout_ms": 15000 },
    })
    .to_string()
}

pub fn target_entry(service: &str, address: SocketAddr, state: &str, adapters: &[&str]) -> String {
    json!({
        "service": service, "address": address.to_string(), "zone": "hall", "version": "v1", "slots": 8,
        "state": state, "cold_remaining_ms": 0, "sequence": 0,
        "models": [{ "name": "base", "version": 1, "adapters": adapters }],
    })
    .to_string()
}

/// Headers that identify a valid answer to this request.
pub fn seal_headers(request: &RawRequest) -> String {
    let id = request.header("hoplanding-request-id").unwrap_or_default();
    format!("Hoplanding-Request-Id: {id}\r\nHoplanding-Server-Seal: seal\r\n")
}

pub fn good_answer(request: &RawRequest) -> RawResponse {
    if request.request_line().starts_with("GET /hoplanding/report") {
        let report = json!({ "sequence": 0, "models": [{ "name": "base", "adapters": ["a1@1"] }] });
        return RawResponse::complete("200 OK", "", &report.to_string());
    }
    RawResponse::complete("200 OK", &seal_headers(request), "done")
}

pub struct Answer {
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
    /// Whether the body is complete according to the answer's framing.
    pub is_whole: bool,
}

impl Answer {
    pub fn has_header(&self, header: &str) -> bool {
        self.head.to_ascii_lowercase().contains(header)
    }
}

pub async fn send_request(address: SocketAddr, request: &str) -> Answer {
    let mut stream = TcpStream::connect(address)
        .await
        .expect("the daemon accepts the connection");
    stream
        .write_all(request.as_bytes())
        .await
        .expect("the daemon reads the request");
    timeout(TEST_TIMEOUT, read_answer(&mut stream))
        .await
        .expect("an answer in time")
}

/// Sends a call every 20 ms, to each address in turn, and waits for all answers. Request ids start with the index of
/// the address.
pub async fn send_requests(
    addresses: &[SocketAddr],
    path: &str,
    headers: &str,
    count: usize,
) -> Vec<Answer> {
    let mut asked = Vec::new();
    for number in 0..count {
        let vm = number % addresses.len();
        let request = post_request(path, &format!("vm{vm}-{number}"), headers);
        let address = addresses[vm];
        asked.push(tokio::spawn(async move {
            send_request(address, &request).await
        }));
        sleep(Duration::from_millis(20)).await;
    }
    let mut answers = Vec::new();
    for answer in asked {
        answers.push(answer.await.expect("an answer"));
    }
    answers
}

pub async fn read_answer(stream: &mut TcpStream) -> Answer {
    let mut bytes = Vec::new();
    let end = loop {
        if let Some(end) = bytes.windows(4).position(|end| end == b"\r\n\r\n") {
            break end;
        }
        if stream.read_buf(&mut bytes).await.unwrap_or(0) == 0 {
            break bytes.len();
        }
    };
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let mut body = bytes.split_off((end + 4).min(bytes.len()));
    let status = head
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok());
    let lower = head.to_ascii_lowercase();
    let length = lower
        .lines()
        .find_map(|line| line.strip_prefix("content-length: ")?.parse::<usize>().ok());
    let is_chunked = lower.contains("transfer-encoding: chunked");
    let is_done = |body: &[u8]| match length {
        Some(length) => body.len() >= length,
        None => is_chunked && body.ends_with(b"0\r\n\r\n"),
    };
    while !is_done(&body) {
        if stream.read_buf(&mut body).await.unwrap_or(0) == 0 {
            break;
        }
    }
    Answer {
        status: status.unwrap_or(0),
        is_whole: is_done(&body),
        head,
        body,
    }
}

pub fn post_request(path: &str, id: &str, headers: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: {HOST}\r\nHoplanding-Request-Id: {id}\r\n\
         Hoplanding-Deadline-Ms: 4000\r\n{headers}Content-Length: 4\r\n\r\nbody"
    )
}

pub fn model_headers(adapter: &str) -> String {
    format!("Hoplanding-Model: base/{adapter}\r\nHoplanding-Token-Count: 100,20\r\n")
}

/// A runtime that stands for a process: dropping it ends a daemon as a kill does.
pub fn process_runtime() -> Runtime {
    Builder::new_multi_thread()
        .worker_threads(1)
        .enable_all()
        .build()
        .expect("a runtime")
}

pub async fn start_daemon_in(process: &Runtime, settings: DirectSettings) -> DirectDaemon {
    let started = process.spawn(DirectDaemon::start(settings));
    let daemon = started.await.expect("a task").expect("the daemon starts");
    wait_for("readiness and a lease of its own", async || {
        let lease = daemon.fleet().lease(&daemon.fleet().zone);
        let is_own = |lease: ZoneLease| lease.incarnation == daemon.fleet().incarnation;
        lease.is_some_and(is_own) && is_ready(&daemon).await
    })
    .await;
    daemon
}

pub async fn wait_for(what: &str, mut done: impl AsyncFnMut() -> bool) {
    for _ in 0..400 {
        if done().await {
            return;
        }
        sleep(Duration::from_millis(25)).await;
    }
    panic!("{what} did not happen in time");
}

pub async fn is_ready(daemon: &DirectDaemon) -> bool {
    let question = "GET /hoplanding/ready HTTP/1.1\r\nHost: vm\r\n\r\n";
    send_request(daemon.ready_address, question).await.status == 200
}

/// Starts a daemon with targets given as name, service and address; returns once it is ready and holds its zone's
/// lease.
pub async fn start_daemon(log: &KeyedLog, targets: &[(&str, &str, SocketAddr)]) -> DirectDaemon {
    start_daemon_with(vm_settings("vm-1", log), log, targets).await
}

/// Like [`start_daemon`], with the given settings.
pub async fn start_daemon_with(
    settings: DirectSettings,
    log: &KeyedLog,
    targets: &[(&str, &str, SocketAddr)],
) -> DirectDaemon {
    for (name, service, address) in targets {
        log.put(
            "keyed.servers",
            name,
            Some(&target_entry(service, *address, "ready", &["a1@1"])),
        );
    }
    log.put("keyed.op", "config", Some(&config_json(1)));
    let daemon = DirectDaemon::start(settings)
        .await
        .expect("the daemon starts");
    wait_for("readiness", async || is_ready(&daemon).await).await;
    wait_for("a lease", async || {
        !log.values("keyed.fleet", "zone/hall").is_empty()
    })
    .await;
    daemon
}

pub fn stream_event(id: u32) -> String {
    format!("id: {id}\ndata: token {id}\n\n")
}

pub fn stream_head(request: &RawRequest) -> Vec<u8> {
    let headers = seal_headers(request);
    format!("HTTP/1.1 200 OK\r\n{headers}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
        .into_bytes()
}

pub fn chunk(text: &str) -> Vec<u8> {
    format!("{:x}\r\n{text}\r\n", text.len()).into_bytes()
}

/// Streams the events after the request's last event id up to event 6; breaks off inside event `breaks_at`.
pub fn stream_answer(request: &RawRequest, breaks_at: Option<u32>) -> RawResponse {
    if request.request_line().contains("/hoplanding/report") {
        return good_answer(request);
    }
    let last: u32 = request
        .header("last-event-id")
        .and_then(|id| id.parse().ok())
        .unwrap_or(0);
    let mut pieces = vec![(Duration::ZERO, stream_head(request))];
    for id in last + 1..=6 {
        let text = stream_event(id);
        if breaks_at == Some(id) {
            pieces.push((Duration::from_millis(5), chunk(&text[..9])));
            return RawResponse {
                pieces,
                closes_connection: true,
            };
        }
        pieces.push((Duration::from_millis(5), chunk(&text)));
    }
    pieces.push((Duration::ZERO, b"0\r\n\r\n".to_vec()));
    RawResponse {
        pieces,
        closes_connection: false,
    }
}

/// Decodes a chunked body to text.
pub fn decode_chunked(mut body: &[u8]) -> String {
    let mut text = Vec::new();
    while let Some(line) = body.windows(2).position(|end| end == b"\r\n") {
        let length = std::str::from_utf8(&body[..line])
            .ok()
            .and_then(|length| usize::from_str_radix(length, 16).ok())
            .unwrap_or(0);
        let start = line + 2;
        let end = (start + length).min(body.len());
        text.extend(&body[start..end]);
        body = body.get(end + 2..).unwrap_or_default();
    }
    String::from_utf8_lossy(&text).into_owned()
}

/// An engine whose streams pause before each event.
pub async fn slow_engine(pause: Duration) -> RawTarget {
    RawTarget::start(move |request: &RawRequest| {
        let mut answer = stream_answer(request, None);
        for (before, _) in answer.pieces.iter_mut().skip(1) {
            *before = pause;
        }
        answer
    })
    .await
    .expect("an engine")
}

/// Starts a streaming call and waits until the engine has received it.
pub async fn start_stream(address: SocketAddr, engine: &RawTarget) -> JoinHandle<Answer> {
    let request = post_request("/plan/1", "r1", &model_headers("a1"));
    let running = tokio::spawn(async move { send_request(address, &request).await });
    wait_for("the stream's start", async || {
        let seen = engine.requests();
        seen.iter()
            .any(|request| request.request_line().contains("/plan/"))
    })
    .await;
    running
}

/// Starts a second VM that reaches the log through its own relay; returns once it is ready and knows both VMs.
pub async fn start_second_vm(log: &KeyedLog) -> (DirectDaemon, LinkRelay) {
    let relay = LinkRelay::start().await.expect("a relay");
    relay.set_target(log.address());
    let mut settings = vm_settings("vm-2", log);
    settings.platform_address = relay.address;
    let second = DirectDaemon::start(settings)
        .await
        .expect("the daemon starts");
    wait_for("both ready", async || is_ready(&second).await).await;
    wait_for("both known", async || {
        second.fleet().tables().vms.len() == 2
    })
    .await;
    (second, relay)
}
