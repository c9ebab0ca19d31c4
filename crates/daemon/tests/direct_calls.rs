//! The direct mode over real sockets, against stand-ins of the users' platform and targets.

use hoplanding_core::ids::AvailabilityZone;
use hoplanding_standins::{
    keyed_log::KeyedLog,
    raw_target::{RawAnswer, RawRequest, RawTarget},
    relay::{LinkRelay, LinkState},
};
use hoplandingd::direct::{daemon::DirectDaemon, settings::DirectSettings};
use serde_json::json;
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::{Instant, sleep, timeout},
};

const HOST: &str = "mill.example";
const BOUND: Duration = Duration::from_secs(20);

fn settings(vm: &str, log: &KeyedLog) -> DirectSettings {
    let text = json!({
        "mode": "direct",
        "vm": vm,
        "zone": "hall",
        "caller_address": "127.0.0.1:0",
        "ready_address": "127.0.0.1:0",
        "peer_address": "127.0.0.1:0",
        "platform_address": log.address().to_string(),
        "zones": ["hall"],
        "leases": { "silence_ms": 600, "stagger_ms": 40, "turn_ms": 100 },
        "pace": { "list_every_ms": 30, "config_every_ms": 10, "stop_notice_ms": 200, "stop_bound_ms": 3000 },
    });
    DirectSettings::parse(&text.to_string()).expect("settings in order")
}

fn route(name: &str, kind: &str, service: &str) -> serde_json::Value {
    json!({
        "name": name, "host": HOST, "path_prefix": format!("/{name}/"), "route_type": kind,
        "timeout_ms": 5000, "target_latency_ms": 1000, "priority": 1, "service": service,
        "max_attempts": 2, "can_resume": name == "resumed",
    })
}

fn config(version: u64) -> String {
    json!({
        "version": version,
        "routes": [
            route("scan", "non_idempotent", "ledger"), route("lookup", "idempotent", "ledger"),
            route("plan", "streaming", "scribe"), route("resumed", "streaming", "scribe"),
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

fn entry(service: &str, address: SocketAddr, state: &str, adapters: &[&str]) -> String {
    json!({
        "service": service, "address": address.to_string(), "zone": "hall", "version": "v1", "slots": 8,
        "state": state, "cold_remaining_ms": 0, "sequence": 0,
        "models": [{ "name": "base", "version": 1, "adapters": adapters }],
    })
    .to_string()
}

/// Headers of a good answer to a request.
fn sealed(request: &RawRequest) -> String {
    let id = request.header("hoplanding-request-id").unwrap_or_default();
    format!("Hoplanding-Request-Id: {id}\r\nHoplanding-Server-Seal: seal\r\n")
}

fn good(request: &RawRequest) -> RawAnswer {
    if request.line().starts_with("GET /hoplanding/report") {
        let report = json!({ "sequence": 0, "models": [{ "name": "base", "adapters": ["a1@1"] }] });
        return RawAnswer::whole("200 OK", "", &report.to_string());
    }
    RawAnswer::whole("200 OK", &sealed(request), "done")
}

struct Answer {
    status: u16,
    head: String,
    body: Vec<u8>,
    /// Whether the answer's framing says that it is whole.
    is_whole: bool,
}

impl Answer {
    fn has(&self, header: &str) -> bool {
        self.head.to_ascii_lowercase().contains(header)
    }
}

async fn ask(address: SocketAddr, request: &str) -> Answer {
    let mut stream = TcpStream::connect(address)
        .await
        .expect("the front accepts");
    stream
        .write_all(request.as_bytes())
        .await
        .expect("it reads");
    timeout(BOUND, read_answer(&mut stream))
        .await
        .expect("an answer in time")
}

async fn read_answer(stream: &mut TcpStream) -> Answer {
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

fn post(path: &str, id: &str, headers: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: {HOST}\r\nHoplanding-Request-Id: {id}\r\n\
         Hoplanding-Deadline-Ms: 4000\r\n{headers}Content-Length: 4\r\n\r\nbody"
    )
}

fn model(adapter: &str) -> String {
    format!("Hoplanding-Model: base/{adapter}\r\nHoplanding-Token-Count: 100,20\r\n")
}

async fn wait_for(what: &str, mut done: impl AsyncFnMut() -> bool) {
    for _ in 0..400 {
        if done().await {
            return;
        }
        sleep(Duration::from_millis(25)).await;
    }
    panic!("{what} did not happen in time");
}

async fn is_ready(daemon: &DirectDaemon) -> bool {
    let question = "GET /hoplanding/ready HTTP/1.1\r\nHost: vm\r\n\r\n";
    ask(daemon.ready_address, question).await.status == 200
}

/// A daemon in front of targets, each with its service; ready, and with its zone's lease.
async fn site(log: &KeyedLog, targets: &[(&str, &str, SocketAddr)]) -> DirectDaemon {
    for (name, service, address) in targets {
        log.put(
            "keyed.servers",
            name,
            Some(&entry(service, *address, "ready", &["a1@1"])),
        );
    }
    log.put("keyed.op", "config", Some(&config(1)));
    let daemon = DirectDaemon::start(settings("vm-1", log))
        .await
        .expect("the daemon starts");
    wait_for("readiness", async || is_ready(&daemon).await).await;
    wait_for("a lease", async || {
        !log.values("keyed.fleet", "zone/hall").is_empty()
    })
    .await;
    daemon
}

#[test]
fn the_sample_settings_are_in_order_and_faults_name_their_remedy() {
    let sample = include_str!("../../../docs/hoplandingd.direct.sample.json");
    DirectSettings::parse(sample).expect("the sample is in order");
    let wrong = sample
        .replace("\"cores\": 0.25", "\"cores\": \"many\"")
        .replace("list_every_ms", "list_evry_ms")
        .replace("\"10.1.0.38:8141\"", "\"nowhere\"");
    let faults = DirectSettings::parse(&wrong).expect_err("three faults");
    let faults = faults.to_string();
    assert!(faults.starts_with("3 faults"), "{faults}");
    for remedy in ["write a number", "unknown key", "write IP:port"] {
        assert!(faults.contains(remedy), "{faults}");
    }
}

#[tokio::test]
async fn a_vm_without_a_configuration_promises_and_never_denies() {
    let log = KeyedLog::start().await.expect("a log");
    let daemon = DirectDaemon::start(settings("vm-1", &log))
        .await
        .expect("the daemon starts");
    let answer = ask(daemon.caller_address, &post("/scan/1", "r1", "")).await;
    assert_eq!(answer.status, 503);
    assert!(answer.has("retry-after"));
    assert!(!is_ready(&daemon).await);
}

#[tokio::test]
async fn a_call_reaches_its_service_unchanged_and_its_answer_the_caller() {
    let log = KeyedLog::start().await.expect("a log");
    let target = RawTarget::start(good).await.expect("a target");
    let daemon = site(&log, &[("i-1", "ledger", target.address)]).await;
    let answer = ask(
        daemon.caller_address,
        &post("/scan/x%20y?q=1", "r1", "X-Own: 7\r\n"),
    )
    .await;
    assert_eq!((answer.status, answer.body.as_slice()), (200, &b"done"[..]));
    assert!(answer.has("hoplanding-server-seal: seal"));
    let seen = target.requests();
    assert_eq!(seen.len(), 1);
    assert_eq!(seen[0].line(), "POST /scan/x%20y?q=1 HTTP/1.1");
    assert_eq!(seen[0].body, b"body");
    assert_eq!(seen[0].header("x-own"), Some("7"));
    assert_eq!(seen[0].header("hoplanding-expect-instance"), Some("i-1"));
    let left: u64 = seen[0]
        .header("hoplanding-deadline-ms")
        .and_then(|left| left.parse().ok())
        .expect("a deadline");
    assert!((1..=4000).contains(&left));
}

#[tokio::test]
async fn the_metrics_page_counts_what_became_of_requests() {
    let log = KeyedLog::start().await.expect("a log");
    let target = RawTarget::start(good).await.expect("a target");
    log.put(
        "keyed.servers",
        "i-1",
        Some(&entry("ledger", target.address, "ready", &[])),
    );
    log.put("keyed.op", "config", Some(&config(7)));
    let mut settings = settings("vm-1", &log);
    settings.metrics_address = Some("127.0.0.1:0".parse().expect("an address"));
    let daemon = DirectDaemon::start(settings)
        .await
        .expect("the daemon starts");
    wait_for("readiness", async || is_ready(&daemon).await).await;
    ask(daemon.caller_address, &post("/scan/1", "r1", "")).await;
    ask(daemon.caller_address, &post("/nowhere/1", "r2", "")).await;
    let metrics = daemon.metrics_address.expect("an address");
    let request = "GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    let answer = ask(metrics, request).await;
    let page = String::from_utf8_lossy(&answer.body).into_owned();
    for line in [
        "hoplanding_requests_total{kind=\"Once\",outcome=\"Answered\"} 1",
        "hoplanding_requests_total{kind=\"Unrouted\",outcome=\"Refused\"} 1",
        "hoplanding_targets{stage=\"ready\"} 1",
        "hoplanding_config_version 7",
        "hoplanding_in_flight 0",
        "hoplanding_log_lines_dropped 0",
    ] {
        assert!(page.contains(line), "{line} is missing in\n{page}");
    }
    assert!(answer.has("openmetrics-text"));
}

#[tokio::test]
async fn unknown_hosts_large_bodies_and_large_heads_are_refused_and_reach_nobody() {
    let log = KeyedLog::start().await.expect("a log");
    let target = RawTarget::start(good).await.expect("a target");
    let daemon = site(&log, &[("i-1", "ledger", target.address)]).await;
    let unknown = post("/scan/1", "r1", "").replace(HOST, "nobody.example");
    assert_eq!(ask(daemon.caller_address, &unknown).await.status, 404);
    let large = post("/scan/1", "r2", "").replace("Content-Length: 4", "Content-Length: 200000");
    let large = large + &"x".repeat(200_000);
    assert_eq!(ask(daemon.caller_address, &large).await.status, 413);
    let heavy = post(
        "/scan/1",
        "r3",
        &format!("X-Heavy: {}\r\n", "h".repeat(40_000)),
    );
    assert_eq!(ask(daemon.caller_address, &heavy).await.status, 431);
    let twice = post("/scan/1", "r4", "Content-Length: 2\r\n");
    assert_eq!(ask(daemon.caller_address, &twice).await.status, 400);
    assert!(target.requests().is_empty());
}

#[tokio::test]
async fn a_body_in_chunks_arrives_whole_and_nothing_behind_it_is_smuggled() {
    let log = KeyedLog::start().await.expect("a log");
    let target = RawTarget::start(good).await.expect("a target");
    let daemon = site(&log, &[("i-1", "ledger", target.address)]).await;
    let chunked = format!(
        "POST /scan/1 HTTP/1.1\r\nHost: {HOST}\r\nHoplanding-Request-Id: r1\r\nContent-Length: 4\r\n\
         Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
    );
    let answer = ask(daemon.caller_address, &chunked).await;
    let seen = target.requests();
    assert!(seen.len() <= 1);
    if let Some(request) = seen.first() {
        assert_eq!((answer.status, request.body.as_slice()), (200, &b"abc"[..]));
    }
}

#[tokio::test]
async fn an_answer_of_another_request_never_reaches_a_caller() {
    let log = KeyedLog::start().await.expect("a log");
    let target = RawTarget::start(|_| {
        let headers = "Hoplanding-Request-Id: other\r\nHoplanding-Server-Seal: seal\r\n";
        RawAnswer::whole("200 OK", headers, "not yours")
    })
    .await
    .expect("a target");
    let daemon = site(&log, &[("i-1", "ledger", target.address)]).await;
    let answer = ask(daemon.caller_address, &post("/scan/1", "r1", "")).await;
    assert_eq!(answer.status, 502);
    assert!(answer.body.is_empty());
    assert_eq!(
        target.requests().len(),
        1,
        "it may have run, so it goes out once"
    );
}

#[tokio::test]
async fn an_unsealed_or_encoded_success_is_no_success() {
    for extra in [
        "",
        "Hoplanding-Server-Seal: seal\r\nContent-Encoding: gzip\r\n",
    ] {
        let log = KeyedLog::start().await.expect("a log");
        let target = RawTarget::start(move |request: &RawRequest| {
            let id = request.header("hoplanding-request-id").unwrap_or_default();
            let headers = format!("Hoplanding-Request-Id: {id}\r\n{extra}");
            RawAnswer::whole("200 OK", &headers, "bytes")
        })
        .await
        .expect("a target");
        let daemon = site(&log, &[("i-1", "ledger", target.address)]).await;
        let answer = ask(daemon.caller_address, &post("/scan/1", "r1", "")).await;
        assert_eq!(answer.status, 502);
    }
}

#[tokio::test]
async fn bytes_behind_a_whole_answer_belong_to_no_request() {
    let log = KeyedLog::start().await.expect("a log");
    let target = RawTarget::start(|request: &RawRequest| {
        let mut answer = good(request);
        let extra = RawAnswer::whole("200 OK", &sealed(request), "again");
        answer.pieces.extend(extra.pieces);
        answer
    })
    .await
    .expect("a target");
    let daemon = site(&log, &[("i-1", "ledger", target.address)]).await;
    for number in 0..6 {
        let id = format!("r{number}");
        let answer = ask(daemon.caller_address, &post("/lookup/1", &id, "")).await;
        assert!(
            answer.status != 200 || answer.body == b"done",
            "{}",
            answer.status
        );
        if answer.status == 200 {
            assert!(answer.has(&format!("hoplanding-request-id: {id}")));
        }
    }
}

#[tokio::test]
async fn a_call_that_may_run_once_is_sent_once_and_its_failure_promises_nothing() {
    let log = KeyedLog::start().await.expect("a log");
    let target = RawTarget::start(|_| RawAnswer::close())
        .await
        .expect("a target");
    let other = RawTarget::start(|_| RawAnswer::close())
        .await
        .expect("a target");
    let targets = [
        ("i-1", "ledger", target.address),
        ("i-2", "ledger", other.address),
    ];
    let daemon = site(&log, &targets).await;
    let answer = ask(daemon.caller_address, &post("/scan/1", "r1", "")).await;
    assert_eq!(answer.status, 502);
    assert_eq!(target.requests().len() + other.requests().len(), 1);
}

#[tokio::test]
async fn a_repeatable_call_goes_to_a_second_target_and_never_ends_as_not_run_once_it_ran() {
    let log = KeyedLog::start().await.expect("a log");
    let first = AtomicUsize::new(0);
    let answer_in_turn = Arc::new(move |request: &RawRequest| {
        if first.fetch_add(1, Ordering::SeqCst) == 0 {
            RawAnswer::close()
        } else {
            let headers = format!("{}Hoplanding-Not-Executed: 1\r\n", sealed(request));
            RawAnswer::whole("503 Service Unavailable", &headers, "")
        }
    });
    let (one, two) = (Arc::clone(&answer_in_turn), answer_in_turn);
    let target = RawTarget::start(move |request: &RawRequest| one(request))
        .await
        .expect("a target");
    let other = RawTarget::start(move |request: &RawRequest| two(request))
        .await
        .expect("a target");
    let targets = [
        ("i-1", "ledger", target.address),
        ("i-2", "ledger", other.address),
    ];
    let daemon = site(&log, &targets).await;
    let answer = ask(daemon.caller_address, &post("/lookup/1", "r1", "")).await;
    assert_eq!(target.requests().len() + other.requests().len(), 2);
    assert_eq!(answer.status, 502, "the first target may have run it");
}

#[tokio::test]
async fn a_target_that_did_not_run_a_call_leads_to_another_or_to_a_promise() {
    let refuse = |request: &RawRequest| {
        let headers = format!("{}Hoplanding-Not-Executed: 1\r\n", sealed(request));
        RawAnswer::whole("503 Service Unavailable", &headers, "")
    };
    let log = KeyedLog::start().await.expect("a log");
    let full = RawTarget::start(refuse).await.expect("a target");
    let daemon = site(&log, &[("i-1", "ledger", full.address)]).await;
    let answer = ask(daemon.caller_address, &post("/scan/1", "r1", "")).await;
    assert_eq!(answer.status, 503);
    assert!(answer.has("retry-after"));
    let free = RawTarget::start(good).await.expect("a target");
    log.put(
        "keyed.servers",
        "i-2",
        Some(&entry("ledger", free.address, "ready", &[])),
    );
    wait_for("an answer", async || {
        ask(daemon.caller_address, &post("/scan/1", "r2", ""))
            .await
            .status
            == 200
    })
    .await;
}

fn event(id: u32) -> String {
    format!("id: {id}\ndata: token {id}\n\n")
}

fn stream_head(request: &RawRequest) -> Vec<u8> {
    let headers = sealed(request);
    format!("HTTP/1.1 200 OK\r\n{headers}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
        .into_bytes()
}

fn chunk(text: &str) -> Vec<u8> {
    format!("{:x}\r\n{text}\r\n", text.len()).into_bytes()
}

/// Streams events from an id on; breaks off inside the event `breaks_at`.
fn stream(request: &RawRequest, breaks_at: Option<u32>) -> RawAnswer {
    if request.line().contains("/hoplanding/report") {
        return good(request);
    }
    let last: u32 = request
        .header("last-event-id")
        .and_then(|id| id.parse().ok())
        .unwrap_or(0);
    let mut pieces = vec![(Duration::ZERO, stream_head(request))];
    for id in last + 1..=6 {
        let text = event(id);
        if breaks_at == Some(id) {
            pieces.push((Duration::from_millis(5), chunk(&text[..9])));
            return RawAnswer {
                pieces,
                closes: true,
            };
        }
        pieces.push((Duration::from_millis(5), chunk(&text)));
    }
    pieces.push((Duration::ZERO, b"0\r\n\r\n".to_vec()));
    RawAnswer {
        pieces,
        closes: false,
    }
}

/// The text of a chunked body.
fn unchunk(mut body: &[u8]) -> String {
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

#[tokio::test]
async fn a_broken_stream_ends_behind_a_whole_event_and_does_not_look_complete() {
    let log = KeyedLog::start().await.expect("a log");
    let engine = RawTarget::start(|request: &RawRequest| stream(request, Some(4)))
        .await
        .expect("an engine");
    let daemon = site(&log, &[("i-1", "scribe", engine.address)]).await;
    let answer = ask(daemon.caller_address, &post("/plan/1", "r1", &model("a1"))).await;
    assert_eq!(answer.status, 200);
    assert!(!answer.is_whole);
    assert_eq!(unchunk(&answer.body), (1..4).map(event).collect::<String>());
}

#[tokio::test]
async fn a_resumable_stream_goes_on_at_another_target_without_a_gap() {
    let log = KeyedLog::start().await.expect("a log");
    let broken = AtomicUsize::new(0);
    let serve = Arc::new(move |request: &RawRequest| {
        let is_call = !request.line().contains("/hoplanding/");
        let breaks = is_call && broken.fetch_add(1, Ordering::SeqCst) == 0;
        stream(request, breaks.then_some(4))
    });
    let (one, two) = (Arc::clone(&serve), serve);
    let first = RawTarget::start(move |request: &RawRequest| one(request))
        .await
        .expect("an engine");
    let second = RawTarget::start(move |request: &RawRequest| two(request))
        .await
        .expect("an engine");
    let targets = [
        ("i-1", "scribe", first.address),
        ("i-2", "scribe", second.address),
    ];
    let daemon = site(&log, &targets).await;
    let answer = ask(
        daemon.caller_address,
        &post("/resumed/1", "r1", &model("a1")),
    )
    .await;
    assert!(answer.is_whole);
    assert_eq!(
        unchunk(&answer.body),
        (1..=6).map(event).collect::<String>()
    );
}

#[tokio::test]
async fn a_leaving_target_gets_nothing_new() {
    let log = KeyedLog::start().await.expect("a log");
    let leaving = RawTarget::start(good).await.expect("a target");
    let staying = RawTarget::start(good).await.expect("a target");
    let targets = [
        ("i-1", "ledger", leaving.address),
        ("i-2", "ledger", staying.address),
    ];
    let daemon = site(&log, &targets).await;
    log.put(
        "keyed.servers",
        "i-1",
        Some(&entry("ledger", leaving.address, "draining", &[])),
    );
    wait_for("the news", async || daemon.fleet().is_leaving("i-1")).await;
    let before = leaving.requests().len();
    for number in 0..10 {
        let answer = ask(
            daemon.caller_address,
            &post("/lookup/1", &format!("r{number}"), ""),
        )
        .await;
        assert_eq!(answer.status, 200);
    }
    assert_eq!(leaving.requests().len(), before);
}

#[tokio::test]
async fn records_that_cannot_be_decoded_and_a_store_that_talks_nonsense_change_nothing() {
    let log = KeyedLog::start().await.expect("a log");
    let target = RawTarget::start(good).await.expect("a target");
    let daemon = site(&log, &[("i-1", "ledger", target.address)]).await;
    log.put("keyed.op", "config", Some("{\"version\": \"no number\"}"));
    log.put("keyed.servers", "i-1", Some("not JSON"));
    log.put("keyed.servers", "i-9", Some("{\"address\": 7}"));
    log.set_faults(|faults| faults.talks_nonsense = true);
    sleep(Duration::from_millis(300)).await;
    let answer = ask(daemon.caller_address, &post("/lookup/1", "r1", "")).await;
    assert_eq!(answer.status, 200);
    assert!(is_ready(&daemon).await);
    log.set_faults(|faults| faults.talks_nonsense = false);
    log.put("keyed.op", "config", Some(&config(7)));
    wait_for("the next configuration", async || {
        daemon
            .fleet()
            .active()
            .is_some_and(|active| active.config.version == 7)
    })
    .await;
}

#[tokio::test]
async fn a_configuration_is_in_force_though_the_log_does_not_wake_the_read_that_waits_for_it() {
    let log = KeyedLog::start().await.expect("a log");
    let target = RawTarget::start(good).await.expect("a target");
    let daemon = site(&log, &[("i-1", "ledger", target.address)]).await;
    wait_for("its lease", async || {
        let zone = AvailabilityZone::new("hall");
        daemon.fleet().lease(&zone).is_some()
    })
    .await;
    // The read that began before the lease waits longer: it ends with this version.
    log.put("keyed.op", "config", Some(&config(2)));
    let is_in_force = |version| {
        let active = daemon.fleet().active();
        active.is_some_and(|active| active.config.version == version)
    };
    wait_for("version 2", async || is_in_force(2)).await;
    sleep(Duration::from_millis(100)).await;
    log.set_faults(|faults| faults.is_deaf = true);
    log.put("keyed.op", "config", Some(&config(3)));
    wait_for("version 3", async || is_in_force(3)).await;
}

#[tokio::test]
async fn a_history_that_is_gone_is_made_up_for_by_a_listing() {
    let log = KeyedLog::start().await.expect("a log");
    let target = RawTarget::start(good).await.expect("a target");
    let daemon = site(&log, &[("i-1", "ledger", target.address)]).await;
    log.set_faults(|faults| faults.is_out = true);
    sleep(Duration::from_millis(100)).await;
    log.put("keyed.op", "config", Some(&config(3)));
    log.compact("keyed.op");
    log.set_faults(|faults| faults.is_out = false);
    wait_for("the newer configuration", async || {
        daemon
            .fleet()
            .active()
            .is_some_and(|active| active.config.version == 3)
    })
    .await;
}

#[tokio::test]
async fn a_vm_that_the_store_turns_away_learns_from_another() {
    let log = KeyedLog::start().await.expect("a log");
    let target = RawTarget::start(good).await.expect("a target");
    let first = site(&log, &[("i-1", "ledger", target.address)]).await;
    let relay = LinkRelay::start().await.expect("a relay");
    relay.set_target(log.address());
    let mut settings = settings("vm-2", &log);
    settings.platform_address = relay.address;
    let second = DirectDaemon::start(settings)
        .await
        .expect("the daemon starts");
    wait_for("both ready", async || is_ready(&second).await).await;
    wait_for("both known", async || second.fleet().books().vms.len() == 2).await;
    relay.set(LinkState::Cut);
    log.put(
        "keyed.servers",
        "i-1",
        Some(&entry("ledger", target.address, "draining", &[])),
    );
    log.put("keyed.op", "config", Some(&config(5)));
    wait_for("the news over the link", async || {
        second.fleet().is_leaving("i-1")
            && second
                .fleet()
                .active()
                .is_some_and(|active| active.config.version == 5)
    })
    .await;
    drop(first);
}

#[tokio::test]
async fn a_vm_that_starts_learns_from_its_zones_holder_what_it_need_not_list() {
    let log = KeyedLog::start().await.expect("a log");
    let target = RawTarget::start(good).await.expect("a target");
    let first = site(&log, &[("i-1", "ledger", target.address)]).await;
    wait_for("a holder", async || {
        first
            .fleet()
            .lease(&AvailabilityZone::new("hall"))
            .is_some()
    })
    .await;
    log.set_faults(|faults| {
        faults.unlisted = vec!["keyed.op".into(), "keyed.servers".into()];
    });
    let second = DirectDaemon::start(settings("vm-2", &log))
        .await
        .expect("the daemon starts");
    wait_for("readiness", async || is_ready(&second).await).await;
    let answer = ask(second.caller_address, &post("/scan/1", "r1", "")).await;
    assert_eq!(answer.status, 200);
}

#[tokio::test]
async fn a_page_that_is_late_does_not_begin_its_listing_anew() {
    let log = KeyedLog::start().await.expect("a log");
    let target = RawTarget::start(good).await.expect("a target");
    log.set_faults(|faults| {
        faults.page_keys = Some(4);
        faults.silent_pages = 2;
    });
    let names: Vec<_> = (0..18).map(|number| format!("i-{number}")).collect();
    let targets: Vec<_> = names
        .iter()
        .map(|name| (name.as_str(), "ledger", target.address))
        .collect();
    let daemon = site(&log, &targets).await;
    assert_eq!(log.listings("keyed.servers"), 1);
    assert_eq!(daemon.fleet().books().catalog.iter().count(), 18);
}

#[tokio::test]
async fn a_restart_at_the_same_address_leaves_the_vms_record_alone() {
    let log = KeyedLog::start().await.expect("a log");
    let free = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = free.local_addr().expect("an address");
    drop(free);
    let record = json!({ "zone": "hall", "address": address.to_string(), "strength": 1000 });
    log.put("keyed.fleet", "vm/vm-1", Some(&record.to_string()));
    log.put("keyed.op", "config", Some(&config(1)));
    let mut settings = settings("vm-1", &log);
    settings.peer_address = address;
    let daemon = DirectDaemon::start(settings)
        .await
        .expect("the daemon starts");
    wait_for("its lease", async || {
        daemon
            .fleet()
            .lease(&AvailabilityZone::new("hall"))
            .is_some()
    })
    .await;
    assert_eq!(log.values("keyed.fleet", "vm/vm-1").len(), 1);
}

#[tokio::test]
async fn an_absent_adapter_is_ordered_once_and_its_calls_wait_for_it() {
    let log = KeyedLog::start().await.expect("a log");
    let engine = RawTarget::start(|request: &RawRequest| {
        if request.line().contains("/hoplanding/order") {
            RawAnswer::whole("202 Accepted", "", "")
        } else {
            good(request)
        }
    })
    .await
    .expect("an engine");
    let daemon = site(&log, &[("i-1", "scribe", engine.address)]).await;
    let [one, two] = ["r1", "r2"].map(|id| post("/plan/1", id, &model("a2")));
    let (one, two) = tokio::join!(
        ask(daemon.caller_address, &one),
        ask(daemon.caller_address, &two)
    );
    assert_eq!((one.status, two.status), (200, 200));
    let seen = engine.requests();
    let orders: Vec<_> = seen
        .iter()
        .filter(|request| request.line().contains("order"))
        .collect();
    assert_eq!(orders.len(), 1);
    let order: serde_json::Value = serde_json::from_slice(&orders[0].body).expect("JSON");
    assert_eq!(order["operation"], "load");
    assert_eq!(
        (order["model"].as_str(), order["adapter"].as_str()),
        (Some("base"), Some("a2"))
    );
    assert_eq!(order["expected"], 0);
    assert!(order["fencing_token"].is_u64() && order["holder"] == "vm-1");
}

#[tokio::test]
async fn a_holder_whose_orders_are_fenced_gives_no_more() {
    let log = KeyedLog::start().await.expect("a log");
    let engine = RawTarget::start(|request: &RawRequest| {
        if request.line().contains("/hoplanding/order") {
            RawAnswer::whole("412 Precondition Failed", "", "")
        } else {
            good(request)
        }
    })
    .await
    .expect("an engine");
    let daemon = site(&log, &[("i-1", "scribe", engine.address)]).await;
    for number in 0..5 {
        let request = post("/plan/1", &format!("r{number}"), &model("a2"));
        assert_eq!(ask(daemon.caller_address, &request).await.status, 503);
    }
    let orders = engine
        .requests()
        .iter()
        .filter(|request| request.line().contains("order"))
        .count();
    assert_eq!(orders, 1);
}

#[tokio::test]
async fn a_planned_stop_finishes_what_runs_and_takes_nothing_late() {
    let log = KeyedLog::start().await.expect("a log");
    let engine = RawTarget::start(|request: &RawRequest| {
        let mut answer = stream(request, None);
        for (pause, _) in answer.pieces.iter_mut().skip(1) {
            *pause = Duration::from_millis(120);
        }
        answer
    })
    .await
    .expect("an engine");
    let daemon = site(&log, &[("i-1", "scribe", engine.address)]).await;
    let address = daemon.caller_address;
    let request = post("/plan/1", "r1", &model("a1"));
    let running = tokio::spawn(async move { ask(address, &request).await });
    wait_for("the stream's start", async || {
        engine
            .requests()
            .iter()
            .any(|request| request.line().contains("/plan/"))
    })
    .await;
    let stopping = tokio::spawn(daemon.stop());
    sleep(Duration::from_millis(350)).await;
    // A stream of up to 600 tokens could not end in time: its caller is told when to come back.
    let late = post("/plan/1", "r2", &model("a1").replace("100,20", "100,600"));
    for _ in 0..12 {
        let late = ask(address, &late).await;
        assert_eq!(late.status, 503);
        assert!(late.has("retry-after"));
    }
    let answer = running.await.expect("an answer");
    assert!(answer.is_whole);
    assert_eq!(
        unchunk(&answer.body),
        (1..=6).map(event).collect::<String>()
    );
    assert_eq!(stopping.await.expect("it ends"), 0);
    assert!(
        !engine
            .requests()
            .iter()
            .any(|request| request.header("hoplanding-request-id") == Some("r2")),
        "what was promised not to run did not"
    );
    let leases = log.values("keyed.fleet", "zone/hall");
    assert!(
        leases
            .last()
            .is_some_and(|lease| lease.contains("\"vm\":null"))
    );
}

#[tokio::test]
async fn the_last_vm_of_a_zone_keeps_its_lease_in_a_stop_until_another_one_can_take_it() {
    let log = KeyedLog::start().await.expect("a log");
    let engine = RawTarget::start(|request: &RawRequest| {
        let mut answer = stream(request, None);
        for (pause, _) in answer.pieces.iter_mut().skip(1) {
            *pause = Duration::from_millis(400);
        }
        answer
    })
    .await
    .expect("an engine");
    let daemon = site(&log, &[("i-1", "scribe", engine.address)]).await;
    let address = daemon.caller_address;
    let request = post("/plan/1", "r1", &model("a1"));
    let running = tokio::spawn(async move { ask(address, &request).await });
    wait_for("the stream's start", async || {
        let seen = engine.requests();
        seen.iter().any(|request| request.line().contains("/plan/"))
    })
    .await;
    let leases = |log: &KeyedLog| log.values("keyed.fleet", "zone/hall");
    let held = leases(&log).len();
    let stopping = tokio::spawn(daemon.stop());
    sleep(Duration::from_millis(400)).await;
    assert_eq!(leases(&log).len(), held, "nobody could take it over");
    let _second = DirectDaemon::start(settings("vm-2", &log))
        .await
        .expect("the daemon starts");
    wait_for("the second VM's claim", async || {
        leases(&log)
            .last()
            .is_some_and(|lease| lease.contains("vm-2"))
    })
    .await;
    assert!(!stopping.is_finished(), "the first still serves its stream");
    assert!(leases(&log)[held].contains("\"vm\":null"));
    assert!(running.await.expect("an answer").is_whole);
    assert_eq!(stopping.await.expect("it ends"), 0);
}

#[tokio::test]
async fn a_holder_that_has_fallen_silent_is_replaced_though_it_is_dialled_again_and_again() {
    let log = KeyedLog::start().await.expect("a log");
    // Accepts connections, and says nothing on them.
    let ghost = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = ghost.local_addr().expect("an address").to_string();
    let lease = json!({ "vm": "ghost", "incarnation": 1, "address": address });
    log.put("keyed.fleet", "zone/hall", Some(&lease.to_string()));
    log.put("keyed.op", "config", Some(&config(1)));
    let mut settings = settings("vm-1", &log);
    // Longer than one dial takes, so that the silence has to be counted over several.
    settings.leases.silence = Duration::from_millis(1_500);
    let _daemon = DirectDaemon::start(settings)
        .await
        .expect("the daemon starts");
    wait_for("a claim", async || {
        let leases = log.values("keyed.fleet", "zone/hall");
        leases.last().is_some_and(|lease| lease.contains("vm-1"))
    })
    .await;
}

#[tokio::test]
async fn a_weak_holder_gives_its_zone_up_for_a_stronger_vm() {
    let log = KeyedLog::start().await.expect("a log");
    let engine = RawTarget::start(|request: &RawRequest| {
        if request.line().contains("/hoplanding/order") {
            RawAnswer::whole("202 Accepted", "", "")
        } else {
            good(request)
        }
    })
    .await
    .expect("an engine");
    log.put(
        "keyed.servers",
        "i-1",
        Some(&entry("scribe", engine.address, "ready", &["a1@1"])),
    );
    log.put("keyed.op", "config", Some(&config(1)));
    let mut weak = settings("vm-1", &log);
    weak.strength = 120;
    let weak = DirectDaemon::start(weak).await.expect("the daemon starts");
    let holds = |vm: &'static str| {
        let log = &log;
        async move || {
            let leases = log.values("keyed.fleet", "zone/hall");
            leases.last().is_some_and(|lease| lease.contains(vm))
        }
    };
    wait_for("the weak VM's claim", holds("vm-1")).await;
    let mut strong = settings("vm-2", &log);
    strong.strength = 500;
    let _strong = DirectDaemon::start(strong)
        .await
        .expect("the daemon starts");
    wait_for("the strong VM's claim", holds("vm-2")).await;
    // Given up by a record in between: at no moment did both hold it.
    let leases = log.values("keyed.fleet", "zone/hall");
    let vms: Vec<_> = leases
        .iter()
        .map(|lease| {
            let lease: serde_json::Value = serde_json::from_str(lease).expect("JSON");
            lease["vm"].as_str().map(str::to_owned)
        })
        .collect();
    assert_eq!(vms, [Some("vm-1".into()), None, Some("vm-2".into())]);
    wait_for("a load by the new holder", async || {
        let request = post("/plan/1", "r1", &model("a2"));
        ask(weak.caller_address, &request).await.status == 200
    })
    .await;
    let orders: Vec<serde_json::Value> = engine
        .requests()
        .iter()
        .filter(|request| request.line().contains("order"))
        .map(|request| serde_json::from_slice(&request.body).expect("JSON"))
        .collect();
    assert!(orders.iter().all(|order| order["holder"] == "vm-2"));
}

#[tokio::test]
async fn no_call_waits_for_a_holder_that_is_out_of_reach() {
    let log = KeyedLog::start().await.expect("a log");
    let ghost = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = ghost.local_addr().expect("an address").to_string();
    let lease = json!({ "vm": "ghost", "incarnation": 1, "address": address });
    log.put("keyed.fleet", "zone/attic", Some(&lease.to_string()));
    let target = RawTarget::start(good).await.expect("a target");
    let mut settings = settings("vm-1", &log);
    settings.zones.push(AvailabilityZone::new("attic"));
    log.put(
        "keyed.servers",
        "i-1",
        Some(&entry("scribe", target.address, "ready", &["a1@1"])),
    );
    log.put("keyed.op", "config", Some(&config(1)));
    let daemon = DirectDaemon::start(settings)
        .await
        .expect("the daemon starts");
    wait_for("readiness", async || is_ready(&daemon).await).await;
    wait_for("a holder here", async || {
        ask(daemon.caller_address, &post("/plan/1", "r0", &model("a1")))
            .await
            .status
            == 200
    })
    .await;
    // Some of these adapters are at home in the zone whose holder is silent; the first of them may find that out.
    let mut slow = 0;
    for number in 0..30 {
        let request = post(
            "/plan/1",
            &format!("r{number}"),
            &model(&format!("b{number}")),
        );
        let started = Instant::now();
        ask(daemon.caller_address, &request).await;
        slow += usize::from(started.elapsed() > Duration::from_millis(500));
    }
    assert!(slow <= 6, "{slow} of 30 calls waited for a silent holder");
}

#[tokio::test]
async fn a_new_link_makes_up_for_what_was_recorded_before_it() {
    let log = KeyedLog::start().await.expect("a log");
    let target = RawTarget::start(good).await.expect("a target");
    let first = site(&log, &[("i-1", "ledger", target.address)]).await;
    let relay = LinkRelay::start().await.expect("a relay");
    relay.set_target(log.address());
    let mut settings = settings("vm-2", &log);
    settings.platform_address = relay.address;
    // It reads its listings, and nothing after them; its first look at the holder comes later than the change.
    settings.pace.list_every = Duration::from_secs(60);
    settings.pace.config_every = Duration::from_secs(60);
    let second = DirectDaemon::start(settings)
        .await
        .expect("the daemon starts");
    wait_for("its listings", async || second.fleet().is_ready()).await;
    relay.set(LinkState::Frozen);
    log.put("keyed.op", "config", Some(&config(4)));
    wait_for("the news at the holder", async || {
        first
            .fleet()
            .active()
            .is_some_and(|active| active.config.version == 4)
    })
    .await;
    wait_for("the news over the new link", async || {
        second
            .fleet()
            .active()
            .is_some_and(|active| active.config.version == 4)
    })
    .await;
}
