//! Calls that come late in a planned stop, or reach their target late in it.

use crate::support::{
    Answer, config_json, good_answer, is_ready, model_headers, post_request, read_answer,
    send_request, slow_engine, start_daemon, start_daemon_with, start_stream, vm_settings,
    vm_settings_json, wait_for,
};
use hoplanding_standins::{
    keyed_log::KeyedLog,
    raw_target::{RawRequest, RawResponse, RawTarget},
};
use hoplandingd::direct::{daemon::DirectDaemon, settings::DirectSettings};
use serde_json::{Value, json};
use std::{net::SocketAddr, time::Duration};
use tokio::{
    io::AsyncWriteExt,
    net::TcpStream,
    time::{Instant, sleep},
};

/// Bytes of the body of each request.
const BODY_BYTES: usize = 4;
/// Time from the signal until the body of a late request comes, after the notice.
const BODY_DELAY: Duration = Duration::from_millis(700);

/// Sends a request without its body.
async fn begin_request(address: SocketAddr, request: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    let head = &request.as_bytes()[..request.len() - BODY_BYTES];
    stream.write_all(head).await.expect("the head is sent");
    stream
}

async fn finish_request(mut stream: TcpStream) -> Answer {
    stream.write_all(b"body").await.expect("the body is sent");
    read_answer(&mut stream).await
}

fn has_run(target: &RawTarget, id: &str) -> bool {
    let requests = target.requests();
    let mut ids = requests
        .iter()
        .filter_map(|request| request.header("hoplanding-request-id"));
    ids.any(|run| run == id)
}

fn assert_refused(answer: &Answer, target: &RawTarget, id: &str) {
    assert_eq!(answer.status, 503, "{}", answer.head);
    assert!(answer.has_header("retry-after"));
    assert!(!has_run(target, id), "the refused call ran");
}

fn retry_after(answer: &Answer) -> Duration {
    let lower = answer.head.to_ascii_lowercase();
    let value = lower
        .lines()
        .find_map(|line| line.strip_prefix("retry-after: "));
    let seconds = value.and_then(|value| value.trim().parse().ok());
    Duration::from_secs_f64(seconds.expect("a time"))
}

/// A call for up to this many tokens.
fn long_request(path: &str, id: &str, tokens: u32) -> String {
    let headers = model_headers("a1").replace("100,20", &format!("100,{tokens}"));
    post_request(path, id, &headers)
}

/// Guards against a stream that is judged by its head alone and cut because its body came much later.
#[tokio::test]
async fn a_stream_whose_body_comes_too_late_in_a_stop_is_refused() {
    let log = KeyedLog::start().await.expect("a log");
    let engine = slow_engine(Duration::from_millis(400)).await;
    let daemon = start_daemon(&log, &[("i-1", "scribe", engine.address)]).await;
    let address = daemon.caller_address;
    let first = send_request(
        address,
        &post_request("/plan/1", "r1", &model_headers("a1")),
    )
    .await;
    assert!(first.is_whole);
    let late = post_request("/plan/1", "r2", &model_headers("a1"));
    let late = begin_request(address, &late).await;
    sleep(Duration::from_millis(50)).await;
    let stopping = tokio::spawn(daemon.stop());
    sleep(BODY_DELAY).await;
    assert_refused(&finish_request(late).await, &engine, "r2");
    assert_eq!(stopping.await.expect("the stop succeeds"), 0);
}

/// Guards against a call that may run once and is cut at its target because its body came after the notice.
#[tokio::test]
async fn a_call_that_may_run_once_is_refused_if_its_body_comes_too_late_in_a_stop() {
    let log = KeyedLog::start().await.expect("a log");
    let target = RawTarget::start(|request: &RawRequest| {
        let mut answer = good_answer(request);
        answer.pieces[0].0 = Duration::from_millis(2_600);
        answer
    });
    let target = target.await.expect("a target");
    let daemon = start_daemon(&log, &[("i-1", "ledger", target.address)]).await;
    let late = post_request("/scan/1", "r1", "");
    let late = begin_request(daemon.caller_address, &late).await;
    sleep(Duration::from_millis(50)).await;
    let stopping = tokio::spawn(daemon.stop());
    sleep(BODY_DELAY).await;
    assert_refused(&finish_request(late).await, &target, "r1");
    assert_eq!(stopping.await.expect("the stop succeeds"), 0);
}

/// Guards against a call that waits for a load until its VM ends, with no answer or with one that is cut.
#[tokio::test]
async fn a_call_that_waits_for_a_load_is_refused_before_the_stop_ends() {
    let log = KeyedLog::start().await.expect("a log");
    let engine = RawTarget::start(|request: &RawRequest| {
        let mut answer = good_answer(request);
        if request.request_line().contains("/hoplanding/order") {
            answer = RawResponse::complete("202 Accepted", "", "");
            answer.pieces[0].0 = Duration::from_secs(30);
        }
        answer
    });
    let engine = engine.await.expect("an engine");
    let daemon = start_daemon(&log, &[("i-1", "scribe", engine.address)]).await;
    let mut config: Value = serde_json::from_str(&config_json(2)).expect("JSON");
    config["routes"][2]["target_latency_ms"] = json!(20_000);
    config["routes"][2]["timeout_ms"] = json!(20_000);
    log.put("keyed.op", "config", Some(&config.to_string()));
    wait_for("the configuration", async || {
        let active = daemon.fleet().active();
        active.is_some_and(|active| active.config.version == 2)
    })
    .await;
    let address = daemon.caller_address;
    let waiting = tokio::spawn(async move {
        let request = post_request("/plan/1", "r1", &model_headers("a2"));
        let request = request.replace("Deadline-Ms: 4000", "Deadline-Ms: 20000");
        (send_request(address, &request).await, Instant::now())
    });
    let is_ordered = || {
        let requests = engine.requests();
        let mut lines = requests.iter().map(RawRequest::request_line);
        lines.any(|line| line.contains("/hoplanding/order"))
    };
    wait_for("the order", async || is_ordered()).await;
    let ends_at = Instant::now() + daemon.settings().timing.stop_timeout;
    let stopping = tokio::spawn(daemon.stop());
    let (answer, answered_at) = waiting.await.expect("an answer");
    assert_refused(&answer, &engine, "r1");
    assert!(answered_at < ends_at, "answered as the VM ended");
    assert_eq!(stopping.await.expect("the stop succeeds"), 0);
}

/// Guards against streams that may run once and are taken in the notice although they may outlast the VM and another VM
/// of the zone could take them.
#[tokio::test]
async fn a_stream_that_may_run_once_goes_to_another_vm_if_it_could_outlast_the_stop() {
    let log = KeyedLog::start().await.expect("a log");
    let engine = slow_engine(Duration::from_millis(20)).await;
    let mut settings = vm_settings("vm-1", &log);
    settings.timing.drain_delay = Duration::from_millis(1_500);
    let targets = [("i-1", "scribe", engine.address)];
    let daemon = start_daemon_with(settings, &log, &targets).await;
    let second = DirectDaemon::start(vm_settings("vm-2", &log)).await;
    let second = second.expect("the daemon starts");
    wait_for("the second VM", async || {
        is_ready(&second).await && daemon.fleet().has_successor()
    })
    .await;
    let (address, other) = (daemon.caller_address, second.caller_address);
    let stopping = tokio::spawn(daemon.stop());
    sleep(Duration::from_millis(100)).await;
    let refused = send_request(address, &long_request("/plan/1", "r1", 600)).await;
    assert_refused(&refused, &engine, "r1");
    assert!(retry_after(&refused) < Duration::from_millis(500));
    let repeatable = send_request(address, &long_request("/resumed/1", "r2", 600)).await;
    assert_eq!(repeatable.status, 200, "it can be taken up elsewhere");
    let short = send_request(address, &long_request("/plan/1", "r3", 20)).await;
    assert!(short.is_whole, "{}", short.head);
    let moved = send_request(other, &long_request("/plan/1", "r4", 600)).await;
    assert!(moved.is_whole, "{}", moved.head);
    assert_eq!(stopping.await.expect("the stop succeeds"), 0);
}

/// Guards against a VM that refuses long streams in the notice though it is the only one.
#[tokio::test]
async fn a_single_vm_takes_long_streams_until_the_notice_is_over() {
    let log = KeyedLog::start().await.expect("a log");
    let engine = slow_engine(Duration::from_millis(20)).await;
    let mut settings = vm_settings("vm-1", &log);
    settings.timing.drain_delay = Duration::from_millis(1_000);
    let targets = [("i-1", "scribe", engine.address)];
    let daemon = start_daemon_with(settings, &log, &targets).await;
    let address = daemon.caller_address;
    let stopping = tokio::spawn(daemon.stop());
    sleep(Duration::from_millis(100)).await;
    let taken = send_request(address, &long_request("/plan/1", "r1", 600)).await;
    assert!(taken.is_whole, "{}", taken.head);
    let late = begin_request(address, &long_request("/plan/1", "r2", 600)).await;
    sleep(Duration::from_millis(1_000)).await;
    let refused = finish_request(late).await;
    assert_refused(&refused, &engine, "r2");
    assert!(retry_after(&refused) > Duration::from_millis(500));
    stopping.await.expect("the stop succeeds");
}

/// Guards against a stop by fixed times, which a platform with a shorter grace ends by force.
#[tokio::test]
async fn a_stop_ends_within_a_grace_of_two_seconds() {
    let log = KeyedLog::start().await.expect("a log");
    let engine = slow_engine(Duration::from_secs(1)).await;
    let mut settings = vm_settings_json("vm-1", &log);
    settings["pace"] = json!({ "list_every_ms": 30, "config_every_ms": 10, "stop_grace_s": 2 });
    let settings = DirectSettings::parse(&settings.to_string()).expect("settings in order");
    let targets = [("i-1", "scribe", engine.address)];
    let daemon = start_daemon_with(settings, &log, &targets).await;
    let _running = start_stream(daemon.caller_address, &engine).await;
    let begun = Instant::now();
    assert_eq!(daemon.stop().await, 1, "the stream takes longer");
    assert!(begun.elapsed() < Duration::from_secs(2));
}
