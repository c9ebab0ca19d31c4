//! Callers' keys, organisations and quotas over sockets.

use crate::support::{
    Answer, config_json, good_answer, is_ready, model_headers, post_request, route_json,
    seal_headers, send_request, start_daemon_with, stream_answer, vm_settings, wait_for,
};
use hoplanding_standins::{
    keyed_log::KeyedLog,
    raw_target::{RawAnswer, RawRequest, RawTarget},
    relay::{LinkRelay, LinkState},
};
use hoplandingd::direct::{daemon::DirectDaemon, settings::DirectSettings};
use serde_json::{Value, json};
use std::time::Duration;
use tokio::time::sleep;

/// Bound of revocation in these tests.
const REVOKE: Duration = Duration::from_millis(1_500);

pub fn test_organisation(keys: &[&str]) -> Value {
    json!({ "name": "mill", "api_keys": keys, "priority": 3, "unit": "token_count", "plain_tokens": 200 })
}

/// The usual configuration with an open route and organisations.
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
    settings.revocation =
        Some(hoplanding_core::direct::freshness::RevocationRule { bound: REVOKE });
    settings
}

/// A daemon that has taken the configuration over.
async fn keyed_site(
    log: &KeyedLog,
    targets: &[(&str, &str, std::net::SocketAddr)],
    organisations: &Value,
) -> DirectDaemon {
    let daemon = start_daemon_with(strict_revocation_settings("vm-1", log), log, targets).await;
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

/// What a target was sent for calls.
fn calls(target: &RawTarget) -> Vec<RawRequest> {
    let mut seen = target.requests();
    seen.retain(|request| !request.line().contains("/hoplanding/"));
    seen
}

pub const KEY: &str = "Authorization: Bearer k1\r\n";

#[tokio::test]
async fn a_key_becomes_its_organisation_and_goes_no_further() {
    let log = KeyedLog::start().await.expect("a log");
    let target = RawTarget::start(good_answer).await.expect("a target");
    let targets = [("i-1", "ledger", target.address)];
    let daemon = keyed_site(&log, &targets, &json!([test_organisation(&["k1"])])).await;
    let forged = format!(
        "{KEY}Hoplanding-Tenant: port\r\nHOPLANDING-TENANT: yard\r\nConnection: hoplanding-tenant, authorization\r\n"
    );
    assert_eq!(
        send_call(&daemon, "/scan/1", "r1", &forged).await.status,
        200
    );
    // An open route needs no key, and none makes an organisation of a caller.
    let anyone = "Hoplanding-Tenant: port\r\n";
    assert_eq!(
        send_call(&daemon, "/open/1", "r2", anyone).await.status,
        200
    );
    let unknown = "Authorization: Bearer k7\r\n";
    assert_eq!(
        send_call(&daemon, "/open/1", "r3", unknown).await.status,
        200
    );
    assert_eq!(send_call(&daemon, "/open/1", "r4", KEY).await.status, 200);
    let seen = calls(&target);
    let told = seen
        .iter()
        .map(|request| request.header("hoplanding-tenant"));
    assert_eq!(
        told.collect::<Vec<_>>(),
        [Some("mill"), None, None, Some("mill")]
    );
    for request in &seen {
        let head = request.head.to_ascii_lowercase();
        assert!(
            !head.contains("authorization") && !head.contains("k1"),
            "{head}"
        );
    }
}

#[tokio::test]
async fn calls_without_a_key_in_force_are_refused_and_reach_nobody() {
    let log = KeyedLog::start().await.expect("a log");
    let target = RawTarget::start(good_answer).await.expect("a target");
    let targets = [("i-1", "ledger", target.address)];
    let daemon = keyed_site(&log, &targets, &json!([test_organisation(&["k1"])])).await;
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
    assert!(calls(&target).is_empty());
}

#[tokio::test]
async fn a_key_that_is_taken_away_stops_and_an_unusable_list_changes_nothing() {
    let log = KeyedLog::start().await.expect("a log");
    let target = RawTarget::start(good_answer).await.expect("a target");
    let targets = [("i-1", "ledger", target.address)];
    let daemon = keyed_site(&log, &targets, &json!([test_organisation(&["k1", "k2"])])).await;
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

#[tokio::test]
async fn a_vm_that_cannot_know_of_a_revocation_promises_and_does_not_deny() {
    let log = KeyedLog::start().await.expect("a log");
    let target = RawTarget::start(good_answer).await.expect("a target");
    let targets = [("i-1", "ledger", target.address)];
    let daemon = keyed_site(&log, &targets, &json!([test_organisation(&["k1"])])).await;
    log.set_faults(|faults| faults.is_out = true);
    sleep(REVOKE).await;
    for headers in [KEY, "Authorization: Bearer k2\r\n", ""] {
        let answer = send_call(&daemon, "/scan/1", "r1", headers).await;
        assert_eq!(answer.status, 503, "{headers}");
        assert!(answer.has_header("retry-after"));
    }
    assert!(!is_ready(&daemon).await);
    assert_eq!(send_call(&daemon, "/open/1", "r2", "").await.status, 200);
    assert_eq!(calls(&target).len(), 1);
    log.set_faults(|faults| faults.is_out = false);
    wait_for("the log's return", async || {
        send_call(&daemon, "/scan/1", "r3", KEY).await.status == 200
    })
    .await;
}

/// The log does not wake reads that wait: the proof counts from when they were sent, and they are short.
#[tokio::test]
async fn a_revocation_that_wakes_no_read_is_known_within_the_bound() {
    let log = KeyedLog::start().await.expect("a log");
    let target = RawTarget::start(good_answer).await.expect("a target");
    let targets = [("i-1", "ledger", target.address)];
    let daemon = keyed_site(&log, &targets, &json!([test_organisation(&["k1"])])).await;
    log.set_faults(|faults| faults.is_deaf = true);
    log.put("keyed.op", "config", Some(&keyed_config(3, &json!([]))));
    sleep(REVOKE).await;
    assert_eq!(send_call(&daemon, "/scan/1", "r1", KEY).await.status, 401);
}

#[tokio::test]
async fn a_vm_that_the_log_turns_away_serves_by_anothers_proof() {
    let log = KeyedLog::start().await.expect("a log");
    let target = RawTarget::start(good_answer).await.expect("a target");
    let targets = [("i-1", "ledger", target.address)];
    let daemon = keyed_site(&log, &targets, &json!([test_organisation(&["k1"])])).await;
    let relay = LinkRelay::start().await.expect("a relay");
    relay.set_target(log.address());
    let mut settings = strict_revocation_settings("vm-2", &log);
    settings.platform_address = relay.address;
    let second = DirectDaemon::start(settings).await.expect("it starts");
    wait_for("readiness", async || is_ready(&second).await).await;
    relay.set(LinkState::Frozen);
    sleep(REVOKE * 2).await;
    assert_eq!(send_call(&second, "/scan/1", "r1", KEY).await.status, 200);
    drop(daemon);
}

#[tokio::test]
async fn a_resumed_stream_carries_its_organisation_and_rank() {
    let log = KeyedLog::start().await.expect("a log");
    let breaking = RawTarget::start(|request: &RawRequest| stream_answer(request, Some(3)))
        .await
        .expect("an engine");
    let targets = [("e-1", "scribe", breaking.address)];
    let daemon = keyed_site(&log, &targets, &json!([test_organisation(&["k1"])])).await;
    let headers = format!("{KEY}{}", model_headers("a1"));
    send_call(&daemon, "/resumed/1", "r1", &headers).await;
    let seen = calls(&breaking);
    assert!(!seen.is_empty());
    for request in seen {
        assert_eq!(request.header("hoplanding-tenant"), Some("mill"));
        assert_eq!(request.header("hoplanding-request-priority"), Some("3"));
    }
}

/// An organisation that may have 1,000 tokens a second and as many at once.
fn limited() -> Value {
    let mut organisation = test_organisation(&["k1"]);
    organisation["rate_per_s"] = json!(1_000);
    organisation["burst"] = json!(1_000);
    json!([organisation])
}

#[tokio::test]
async fn calls_beyond_a_quota_are_refused_with_a_time_to_come_back_that_is_kept() {
    let log = KeyedLog::start().await.expect("a log");
    let target = RawTarget::start(good_answer).await.expect("a target");
    let targets = [("i-1", "ledger", target.address)];
    let daemon = keyed_site(&log, &targets, &limited()).await;
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
    assert_eq!(calls(&target).len(), served);
    let lower = refusal.head.to_ascii_lowercase();
    let told = lower
        .lines()
        .find_map(|line| line.strip_prefix("retry-after: "));
    let told: f64 = told.and_then(|text| text.parse().ok()).expect("a time");
    sleep(Duration::from_secs_f64(told * 2.5 + 0.1)).await;
    assert_eq!(send_call(&daemon, "/scan/1", "r2", KEY).await.status, 200);
}

#[tokio::test]
async fn a_call_that_did_not_run_is_not_charged() {
    let log = KeyedLog::start().await.expect("a log");
    let full = RawTarget::start(|request: &RawRequest| {
        let headers = format!("{}Hoplanding-Not-Executed: 1\r\n", seal_headers(request));
        RawAnswer::whole("503 Service Unavailable", &headers, "")
    })
    .await
    .expect("a target");
    let targets = [("i-1", "ledger", full.address)];
    let daemon = keyed_site(&log, &targets, &limited()).await;
    for number in 0..60 {
        let answer = send_call(&daemon, "/scan/1", &format!("r{number}"), KEY).await;
        assert_eq!(answer.status, 503, "call {number}");
    }
}

/// An engine that ends when it is asked for one thing, and streams anything else.
async fn mortal_engine() -> RawTarget {
    RawTarget::start_mortal(
        |request: &RawRequest| {
            if request.line().contains("/hoplanding/report") {
                return good_answer(request);
            }
            let mut answer = stream_answer(request, None);
            // Slow enough that others run beside the deadly one.
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

fn deadly(id: &str) -> String {
    post_request("/plan/1", id, &model_headers("a1")).replace("\r\n\r\nbody", "\r\n\r\nkill")
}

#[tokio::test]
async fn a_request_that_ends_its_targets_is_sent_to_two_of_them_and_its_bystanders_are_served() {
    let log = KeyedLog::start().await.expect("a log");
    let engines = [
        mortal_engine().await,
        mortal_engine().await,
        mortal_engine().await,
        mortal_engine().await,
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
    let bystander = |number: u32| {
        let address = daemon.caller_address;
        let request = post_request(
            &format!("/resumed/{number}"),
            &format!("b{number}"),
            &model_headers("a1"),
        );
        tokio::spawn(async move { send_request(address, &request).await })
    };
    let beside: Vec<_> = (0..6).map(bystander).collect();
    sleep(Duration::from_millis(100)).await;
    let mut statuses = Vec::new();
    for number in 0..12 {
        let answer = send_request(daemon.caller_address, &deadly(&format!("d{number}"))).await;
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
    for bystander in beside {
        let answer = bystander.await.expect("an answer");
        assert_eq!(answer.status, 200);
        let body = String::from_utf8_lossy(&answer.body).into_owned();
        assert!(answer.is_whole && body.contains("token 6"), "{body}");
    }
}

/// A target that closes connections lives, and one that is cut off says nothing: neither is an end.
#[tokio::test]
async fn a_request_whose_connection_breaks_is_not_suspected_while_its_target_lives() {
    let log = KeyedLog::start().await.expect("a log");
    let engine = RawTarget::start(|request: &RawRequest| {
        if request.line().contains("/hoplanding/") {
            return good_answer(request);
        }
        RawAnswer::close()
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
    assert_eq!(calls(&engine).len(), 6);
}

#[tokio::test]
async fn the_metrics_page_tells_quotas_and_refused_keys_and_no_key() {
    let log = KeyedLog::start().await.expect("a log");
    let target = RawTarget::start(good_answer).await.expect("a target");
    let mut settings = strict_revocation_settings("vm-1", &log);
    settings.metrics_address = Some("127.0.0.1:0".parse().expect("an address"));
    let daemon = start_daemon_with(settings, &log, &[("i-1", "ledger", target.address)]).await;
    log.put("keyed.op", "config", Some(&keyed_config(2, &limited())));
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
