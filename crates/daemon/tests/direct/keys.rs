//! Callers' keys, organisations, quotas and suspected requests over real sockets.

use crate::support::{
    Answer, config_json, good_answer, is_ready, model_headers, post_request, route_json,
    seal_headers, send_request, start_daemon_with, stream_answer, vm_settings, wait_for,
};
use hoplanding_core::direct::return_schedule::ReturnRule;
use hoplanding_standins::{
    keyed_log::KeyedLog,
    raw_target::{RawRequest, RawResponse, RawTarget},
    relay::{LinkRelay, LinkState},
};
use hoplandingd::direct::{daemon::DirectDaemon, settings::DirectSettings};
use serde_json::{Value, json};
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until};

/// Time within which a revocation has to be in force in these tests.
pub const REVOCATION_BOUND: Duration = Duration::from_millis(1_500);

pub fn test_organisation(keys: &[&str]) -> Value {
    json!({ "name": "mill", "api_keys": keys, "priority": 3, "unit": "token_count", "plain_tokens": 200 })
}

/// The usual configuration with an anonymous route and organisations.
pub fn keyed_config(version: u64, organisations: &Value) -> String {
    let mut keyed: Value = serde_json::from_str(&config_json(version)).expect("a configuration");
    let mut open = route_json("open", "idempotent", "ledger");
    open["anonymous"] = json!(true);
    keyed["routes"].as_array_mut().expect("routes").push(open);
    keyed["tenants"] = organisations.clone();
    keyed.to_string()
}

pub fn strict_revocation_settings(vm: &str, log: &KeyedLog) -> DirectSettings {
    let mut settings = vm_settings(vm, log);
    settings.revocation = Some(hoplanding_core::direct::freshness::RevocationRule {
        bound: REVOCATION_BOUND,
    });
    settings
}

/// Starts a daemon and waits until a configuration with these organisations is in force.
pub async fn start_keyed_daemon(
    log: &KeyedLog,
    targets: &[(&str, &str, std::net::SocketAddr)],
    organisations: &Value,
) -> DirectDaemon {
    start_keyed_daemon_with(
        strict_revocation_settings("vm-1", log),
        log,
        targets,
        organisations,
    )
    .await
}

async fn start_keyed_daemon_with(
    settings: DirectSettings,
    log: &KeyedLog,
    targets: &[(&str, &str, std::net::SocketAddr)],
    organisations: &Value,
) -> DirectDaemon {
    let daemon = start_daemon_with(settings, log, targets).await;
    log.put("keyed.op", "config", Some(&keyed_config(2, organisations)));
    wait_for("the keyed configuration", async || {
        let active = daemon.fleet().active();
        active.is_some_and(|active| active.config.version == 2) && is_ready(&daemon).await
    })
    .await;
    daemon
}

pub async fn send_call(daemon: &DirectDaemon, path: &str, id: &str, headers: &str) -> Answer {
    send_request(daemon.caller_address, &post_request(path, id, headers)).await
}

/// The requests of callers that a target received.
pub fn received_calls(target: &RawTarget) -> Vec<RawRequest> {
    let mut seen = target.requests();
    seen.retain(|request| !request.request_line().contains("/hoplanding/"));
    seen
}

pub const KEY: &str = "Authorization: Bearer k1\r\n";

/// Guards against forged organisation headers, and against keys that are forwarded to targets.
#[tokio::test]
async fn key_is_replaced_by_its_organisation_and_not_forwarded() {
    let log = KeyedLog::start().await.expect("a log");
    let target = RawTarget::start(good_answer).await.expect("a target");
    let targets = [("i-1", "ledger", target.address)];
    let daemon = start_keyed_daemon(&log, &targets, &json!([test_organisation(&["k1"])])).await;
    let forged = format!(
        "{KEY}Hoplanding-Tenant: port\r\nHOPLANDING-TENANT: yard\r\nConnection: hoplanding-tenant, authorization\r\n"
    );
    assert_eq!(
        send_call(&daemon, "/scan/1", "r1", &forged).await.status,
        200
    );
    // An anonymous route needs no key, but one that is given has to be valid.
    let anyone = "Hoplanding-Tenant: port\r\n";
    assert_eq!(
        send_call(&daemon, "/open/1", "r2", anyone).await.status,
        200
    );
    let unknown = "Authorization: Bearer k7\r\n";
    assert_eq!(
        send_call(&daemon, "/open/1", "r3", unknown).await.status,
        401
    );
    assert_eq!(send_call(&daemon, "/open/1", "r4", KEY).await.status, 200);
    let seen = received_calls(&target);
    let organisations = seen
        .iter()
        .map(|request| request.header("hoplanding-tenant"));
    assert_eq!(
        organisations.collect::<Vec<_>>(),
        [Some("mill"), None, Some("mill")]
    );
    for request in &seen {
        let head = request.head.to_ascii_lowercase();
        assert!(
            !head.contains("authorization") && !head.contains("k1"),
            "{head}"
        );
    }
}

/// Guards against absent, unknown, repeated, malformed or oversized keys that let a call through.
#[tokio::test]
async fn calls_without_a_valid_key_are_refused_and_not_sent() {
    let log = KeyedLog::start().await.expect("a log");
    let target = RawTarget::start(good_answer).await.expect("a target");
    let targets = [("i-1", "ledger", target.address)];
    let daemon = start_keyed_daemon(&log, &targets, &json!([test_organisation(&["k1"])])).await;
    for headers in [
        String::new(),
        "Authorization: Bearer k2\r\n".to_owned(),
        "Authorization: Basic k1\r\n".to_owned(),
        format!("{KEY}{KEY}"),
        "Authorization: Bearer\r\n".to_owned(),
        format!("Authorization: Bearer {}\r\n", "k".repeat(12_000)),
    ] {
        let answer = send_call(&daemon, "/scan/1", "r1", &headers).await;
        assert_eq!(answer.status, 401, "{headers:.60}");
    }
    let long = format!("Authorization: Bearer {}\r\n", "k".repeat(100_000));
    assert_eq!(send_call(&daemon, "/scan/1", "r1", &long).await.status, 431);
    assert!(received_calls(&target).is_empty());
}

/// Guards against a revoked key that stays valid, and against an invalid key list that replaces the one in force.
#[tokio::test]
async fn revoked_key_is_refused_and_an_invalid_key_list_is_ignored() {
    let log = KeyedLog::start().await.expect("a log");
    let target = RawTarget::start(good_answer).await.expect("a target");
    let targets = [("i-1", "ledger", target.address)];
    let daemon =
        start_keyed_daemon(&log, &targets, &json!([test_organisation(&["k1", "k2"])])).await;
    let twice = json!([test_organisation(&["k1"]), { "name": "port", "api_keys": ["k1"] }]);
    log.put("keyed.op", "config", Some(&keyed_config(3, &twice)));
    sleep(Duration::from_millis(700)).await;
    assert_eq!(send_call(&daemon, "/scan/1", "r1", KEY).await.status, 200);
    let without = json!([test_organisation(&["k2"])]);
    log.put("keyed.op", "config", Some(&keyed_config(4, &without)));
    wait_for("the key's end", async || {
        send_call(&daemon, "/scan/1", "r2", KEY).await.status == 401
    })
    .await;
    let other = "Authorization: Bearer k2\r\n";
    assert_eq!(send_call(&daemon, "/scan/1", "r3", other).await.status, 200);
}

/// Guards against a VM that has lost the log and accepts a key that may be revoked, or rejects one that may be valid:
/// it answers 503 with a retry time until the log is back.
#[tokio::test]
async fn vm_without_a_current_proof_answers_503_instead_of_401() {
    let log = KeyedLog::start().await.expect("a log");
    let target = RawTarget::start(good_answer).await.expect("a target");
    let targets = [("i-1", "ledger", target.address)];
    let daemon = start_keyed_daemon(&log, &targets, &json!([test_organisation(&["k1"])])).await;
    log.set_faults(|faults| faults.is_unavailable = true);
    sleep(REVOCATION_BOUND).await;
    for headers in [KEY, "Authorization: Bearer k2\r\n", ""] {
        let answer = send_call(&daemon, "/scan/1", "r1", headers).await;
        assert_eq!(answer.status, 503, "{headers}");
        assert!(answer.has_header("retry-after"));
    }
    assert!(!is_ready(&daemon).await);
    assert_eq!(send_call(&daemon, "/open/1", "r2", "").await.status, 200);
    assert_eq!(received_calls(&target).len(), 1);
    log.set_faults(|faults| faults.is_unavailable = false);
    wait_for("the log's return", async || {
        send_call(&daemon, "/scan/1", "r3", KEY).await.status == 200
    })
    .await;
}

/// Guards against a revocation that is learned too late because the log does not wake waiting reads. Reads are short,
/// and a proof counts from the time at which its read was sent.
#[tokio::test]
async fn revocation_that_wakes_no_waiting_read_is_known_within_the_bound() {
    let log = KeyedLog::start().await.expect("a log");
    let target = RawTarget::start(good_answer).await.expect("a target");
    let targets = [("i-1", "ledger", target.address)];
    let daemon = start_keyed_daemon(&log, &targets, &json!([test_organisation(&["k1"])])).await;
    log.set_faults(|faults| faults.suppresses_wakeups = true);
    log.put("keyed.op", "config", Some(&keyed_config(3, &json!([]))));
    sleep(REVOCATION_BOUND).await;
    assert_eq!(send_call(&daemon, "/scan/1", "r1", KEY).await.status, 401);
}

/// Guards against a VM that refuses calls because the log does not serve it, although another VM has a current proof.
#[tokio::test]
async fn vm_that_the_log_does_not_serve_uses_another_vms_proof() {
    let log = KeyedLog::start().await.expect("a log");
    let target = RawTarget::start(good_answer).await.expect("a target");
    let targets = [("i-1", "ledger", target.address)];
    let daemon = start_keyed_daemon(&log, &targets, &json!([test_organisation(&["k1"])])).await;
    let relay = LinkRelay::start().await.expect("a relay");
    relay.set_target(log.address());
    let mut settings = strict_revocation_settings("vm-2", &log);
    settings.platform_address = relay.address;
    let second = DirectDaemon::start(settings).await.expect("it starts");
    wait_for("readiness", async || is_ready(&second).await).await;
    relay.set_state(LinkState::Frozen);
    sleep(REVOCATION_BOUND * 2).await;
    assert_eq!(send_call(&second, "/scan/1", "r1", KEY).await.status, 200);
    drop(daemon);
}

/// Guards against resumed streams that lose the organisation or rank of their call.
#[tokio::test]
async fn resumed_stream_keeps_its_organisation_and_rank() {
    let log = KeyedLog::start().await.expect("a log");
    let breaking = RawTarget::start(|request: &RawRequest| stream_answer(request, Some(3)))
        .await
        .expect("an engine");
    let targets = [("e-1", "scribe", breaking.address)];
    let daemon = start_keyed_daemon(&log, &targets, &json!([test_organisation(&["k1"])])).await;
    let headers = format!("{KEY}{}", model_headers("a1"));
    send_call(&daemon, "/resumed/1", "r1", &headers).await;
    let seen = received_calls(&breaking);
    assert!(!seen.is_empty());
    for request in seen {
        assert_eq!(request.header("hoplanding-tenant"), Some("mill"));
        assert_eq!(request.header("hoplanding-request-priority"), Some("3"));
    }
}

/// An organisation with a rate of 1,000 tokens per second and a burst of the same size.
fn limited_organisation() -> Value {
    let mut organisation = test_organisation(&["k1"]);
    organisation["rate_per_s"] = json!(1_000);
    organisation["burst"] = json!(1_000);
    json!([organisation])
}

/// Guards against a quota that is not enforced, and against a retry time after which the call is refused again.
#[tokio::test]
async fn calls_over_quota_are_refused_with_a_retry_time_that_holds() {
    let log = KeyedLog::start().await.expect("a log");
    let target = RawTarget::start(good_answer).await.expect("a target");
    let targets = [("i-1", "ledger", target.address)];
    let daemon = start_keyed_daemon(&log, &targets, &limited_organisation()).await;
    let mut served = 0;
    let refusal = loop {
        let answer = send_call(&daemon, "/scan/1", "r1", KEY).await;
        if answer.status != 200 {
            break answer;
        }
        served += 1;
        assert!(served < 40, "a quota of 1,000 tokens and calls of 200");
    };
    assert_eq!(refusal.status, 429);
    assert!(served >= 5, "{served}");
    assert_eq!(received_calls(&target).len(), served);
    let retry_after = retry_after_s(&refusal);
    sleep(Duration::from_secs_f64(retry_after * 2.5 + 0.1)).await;
    assert_eq!(send_call(&daemon, "/scan/1", "r2", KEY).await.status, 200);
}

fn retry_after_s(refusal: &Answer) -> f64 {
    let lower = refusal.head.to_ascii_lowercase();
    let retry_after = lower
        .lines()
        .find_map(|line| line.strip_prefix("retry-after: "));
    retry_after
        .and_then(|text| text.parse().ok())
        .expect("a time")
}

/// Guards against a caller that comes back at its return time and finds its units taken by new calls.
#[tokio::test]
async fn call_over_quota_is_served_at_its_return_time_before_new_ones() {
    let log = KeyedLog::start().await.expect("a log");
    let target = RawTarget::start(good_answer).await.expect("a target");
    let targets = [("i-1", "ledger", target.address)];
    let mut settings = strict_revocation_settings("vm-1", &log);
    // With the short handover of the other tests the holder grants half at times, and its return times don't hold.
    settings.leases.handover_delay = Duration::from_secs(3);
    settings.returns = Some(ReturnRule {
        max_wait: Duration::from_secs(5),
        urgent_reserve: Duration::from_millis(500),
    });
    let daemon = start_keyed_daemon_with(settings, &log, &targets, &limited_organisation()).await;
    let mut number = 0;
    let refusal = loop {
        let answer = send_call(&daemon, "/scan/1", "r1", KEY).await;
        if answer.status != 200 {
            break answer;
        }
        number += 1;
        assert!(number < 40, "a quota of 1,000 tokens and calls of 200");
    };
    assert_eq!(refusal.status, 429);
    let due = Instant::now() + Duration::from_secs_f64(retry_after_s(&refusal));
    while Instant::now() + Duration::from_millis(30) < due {
        number += 1;
        let answer = send_call(&daemon, &format!("/scan/new-{number}"), "r2", KEY).await;
        assert_eq!(
            answer.status, 429,
            "its units are promised to the refused call"
        );
        sleep(Duration::from_millis(10)).await;
    }
    sleep_until(due).await;
    assert_eq!(send_call(&daemon, "/scan/1", "r3", KEY).await.status, 200);
}

/// Guards against charges for calls that no target ran: 60 such calls must not use up the quota.
#[tokio::test]
async fn call_that_did_not_run_is_not_charged() {
    let log = KeyedLog::start().await.expect("a log");
    let full = RawTarget::start(|request: &RawRequest| {
        let headers = format!("{}Hoplanding-Not-Executed: 1\r\n", seal_headers(request));
        RawResponse::complete("503 Service Unavailable", &headers, "")
    })
    .await
    .expect("a target");
    let targets = [("i-1", "ledger", full.address)];
    let daemon = start_keyed_daemon(&log, &targets, &limited_organisation()).await;
    for number in 0..60 {
        let answer = send_call(&daemon, "/scan/1", &format!("r{number}"), KEY).await;
        assert_eq!(answer.status, 503, "call {number}");
    }
}

/// An engine that crashes when it receives the body `kill`, and streams an answer to any other request.
async fn engine_crashed_by_kill() -> RawTarget {
    RawTarget::start_crashable(
        |request: &RawRequest| {
            if request.request_line().contains("/hoplanding/report") {
                return good_answer(request);
            }
            let mut answer = stream_answer(request, None);
            // Slow enough that other calls are running when the fatal request arrives.
            for (before, _) in answer.pieces.iter_mut().skip(1) {
                *before = Duration::from_millis(60);
            }
            answer
        },
        |request: &RawRequest| request.body == b"kill",
    )
    .await
    .expect("an engine")
}

fn kill_request(id: &str) -> String {
    post_request("/plan/1", id, &model_headers("a1")).replace("\r\n\r\nbody", "\r\n\r\nkill")
}

/// Guards against a request that crashes one target after another, and against failures of the calls that run beside
/// it.
#[tokio::test]
async fn request_that_crashes_its_targets_reaches_two_of_them_and_other_calls_are_served() {
    let log = KeyedLog::start().await.expect("a log");
    let engines = [
        engine_crashed_by_kill().await,
        engine_crashed_by_kill().await,
        engine_crashed_by_kill().await,
        engine_crashed_by_kill().await,
    ];
    let names = ["e-1", "e-2", "e-3", "e-4"];
    let targets: Vec<_> = names
        .iter()
        .zip(&engines)
        .map(|(name, engine)| (*name, "scribe", engine.address))
        .collect();
    let daemon = start_daemon_with(vm_settings("vm-1", &log), &log, &targets).await;
    wait_for("a stream", async || {
        let request = post_request("/plan/1", "r0", &model_headers("a1"));
        send_request(daemon.caller_address, &request).await.status == 200
    })
    .await;
    let other_call = |number: u32| {
        let address = daemon.caller_address;
        let request = post_request(
            &format!("/resumed/{number}"),
            &format!("b{number}"),
            &model_headers("a1"),
        );
        tokio::spawn(async move { send_request(address, &request).await })
    };
    let other_calls: Vec<_> = (0..6).map(other_call).collect();
    sleep(Duration::from_millis(100)).await;
    let mut statuses = Vec::new();
    for number in 0..12 {
        let answer =
            send_request(daemon.caller_address, &kill_request(&format!("d{number}"))).await;
        statuses.push(answer.status);
        sleep(Duration::from_millis(30)).await;
    }
    let killed = |engine: &&RawTarget| {
        let seen = engine.requests();
        seen.iter().any(|request| request.body == b"kill")
    };
    assert_eq!(engines.iter().filter(killed).count(), 2, "{statuses:?}");
    assert!(
        statuses[2..].iter().all(|status| *status == 503),
        "{statuses:?}"
    );
    for other_call in other_calls {
        let answer = other_call.await.expect("an answer");
        assert_eq!(answer.status, 200);
        let body = String::from_utf8_lossy(&answer.body).into_owned();
        assert!(answer.is_whole && body.contains("token 6"), "{body}");
    }
}

/// Guards against suspicions because of a broken connection alone. A target that closes connections is still running,
/// and one that is cut off gives no sign either way: neither counts as crashed.
#[tokio::test]
async fn request_is_not_suspected_for_a_broken_connection_to_a_running_target() {
    let log = KeyedLog::start().await.expect("a log");
    let engine = RawTarget::start(|request: &RawRequest| {
        if request.request_line().contains("/hoplanding/") {
            return good_answer(request);
        }
        RawResponse::close()
    })
    .await
    .expect("an engine");
    let daemon = start_daemon_with(
        vm_settings("vm-1", &log),
        &log,
        &[("e-1", "scribe", engine.address)],
    )
    .await;
    for number in 0..6 {
        let id = format!("r{number}");
        send_request(
            daemon.caller_address,
            &post_request("/plan/1", &id, &model_headers("a1")),
        )
        .await;
    }
    assert_eq!(received_calls(&engine).len(), 6);
}

/// Guards against missing metrics of quotas and refused keys, and against keys that appear on the metrics page.
#[tokio::test]
async fn metrics_page_shows_quotas_and_key_refusals_but_no_key() {
    let log = KeyedLog::start().await.expect("a log");
    let target = RawTarget::start(good_answer).await.expect("a target");
    let mut settings = strict_revocation_settings("vm-1", &log);
    settings.metrics_address = Some("127.0.0.1:0".parse().expect("an address"));
    let daemon = start_daemon_with(settings, &log, &[("i-1", "ledger", target.address)]).await;
    log.put(
        "keyed.op",
        "config",
        Some(&keyed_config(2, &limited_organisation())),
    );
    wait_for("a call in the quota", async || {
        send_call(&daemon, "/scan/1", "r1", KEY).await.status == 200
    })
    .await;
    send_call(&daemon, "/scan/1", "r2", "Authorization: Bearer k7\r\n").await;
    send_call(&daemon, "/scan/1", "r3", "").await;
    let metrics = daemon.metrics_address.expect("an address");
    let page = async || {
        let request = "GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        let answer = send_request(metrics, request).await;
        String::from_utf8_lossy(&answer.body).into_owned()
    };
    let paid = "hoplanding_quota_units{organisation=\"mill\",outcome=\"paid\"}";
    wait_for("the quota's figures", async || page().await.contains(paid)).await;
    let page = page().await;
    for line in [
        "hoplanding_key_refusals_total{cause=\"unknown_key\"} 1",
        "hoplanding_key_refusals_total{cause=\"no_key\"}",
        "hoplanding_suspects{state=\"sent_nowhere\"} 0",
    ] {
        assert!(page.contains(line), "{line} is missing in\n{page}");
    }
    assert!(!page.contains("k1") && !page.contains("k7"), "{page}");
}
