//! Configurations and target entries that the log acknowledged and lost before any VM read them.
//!
//! The record is written again a few seconds later. Until then no VM can know it, so only what needs an API key is refused. From the
//! second acknowledgement on, the usual bounds hold.

use crate::{
    keys::keyed_config,
    restore_trials::REVOCATION_BOUND,
    support::{config_json, route_json, target_entry},
    twin_trials::{
        Caller, LATE_WRITE, MAX_APPLY_TIME, OPERATORS, REWRITE_TIME, TARGETS, TwinTrial,
    },
};
use serde_json::{Value, json};
use std::time::Duration;
use tokio::time::{Instant, sleep};

fn organisation(name: &str, keys: &[&str], rate: u64, priority: u8) -> Value {
    json!({
        "name": name, "api_keys": keys, "priority": priority, "unit": "token_count",
        "plain_tokens": 200, "rate_per_s": rate, "burst": rate,
    })
}

/// In version 3 `mill` has a lower quota, `k1` belongs to `port` with another priority, and `yard` is removed.
fn organisations_config(version: u64) -> String {
    let organisations = if version < 3 {
        json!([
            organisation("mill", &["k1", "k2"], 4_000, 1),
            organisation("yard", &["k3"], 4_000, 1),
            organisation("port", &["k4"], 4_000, 3),
        ])
    } else {
        json!([
            organisation("mill", &["k2"], 400, 1),
            organisation("port", &["k4", "k1"], 4_000, 3),
        ])
    };
    keyed_config(version, &organisations)
}

/// Guards against calls by what an organisation was before a lost configuration: its quota, its priority and its keys.
#[tokio::test]
async fn organisations_of_the_copy_serve_no_call_before_the_rewrite() {
    let trial = TwinTrial::start(&organisations_config(2)).await;
    let address = trial.vm.caller_address;
    let callers = ["k1", "k2", "k3"].map(|key| Caller::with_key(address, key, "/scan/1"));
    let lost = organisations_config(3);
    let (acknowledged, restored) = trial.lose_unread(OPERATORS, "config", Some(&lost)).await;
    sleep(LATE_WRITE).await;
    trial.log.put(OPERATORS, "config", Some(&lost));
    trial.wait_for_end_of_guard(restored).await;
    let guard_end = Instant::now();
    sleep(Duration::from_secs(3)).await;
    let end = Instant::now();
    let received = trial.received();
    for (key, caller) in ["k1", "k2", "k3"].iter().zip(&callers) {
        let late = caller.ran(
            &received,
            acknowledged + REVOCATION_BOUND,
            restored + REWRITE_TIME,
        );
        assert!(late.is_empty(), "{key}: {} calls ran", late.len());
    }
    let [moved, limited, removed] = &callers;
    let moved = moved.ran(&received, guard_end, end);
    assert!(!moved.is_empty());
    for (_, request) in &moved {
        assert_eq!(request.header("hoplanding-tenant"), Some("port"));
    }
    let limited = limited.ran(&received, guard_end, end);
    // Three seconds of 400 tokens/s and the burst, in calls of 200 tokens, and the permitted deviation.
    assert!(limited.len() <= 12, "{} calls ran", limited.len());
    let removed = removed.statuses(guard_end, end);
    assert!(removed.contains(&401), "{removed:?}");
    assert!(!removed.contains(&200), "{removed:?}");
}

/// In version 3 `open` needs a key, `gone` is dropped and `moved` goes to `archive`.
fn routes_config(version: u64) -> String {
    let is_changed = version >= 3;
    let organisations = json!([organisation("mill", &["k1"], 4_000, 1)]);
    let text = keyed_config(version, &organisations);
    let mut config: Value = serde_json::from_str(&text).expect("a configuration");
    let services = config["services"].as_array_mut().expect("services");
    services.push(json!({ "name": "archive", "max_connections": 100 }));
    let routes = config["routes"].as_array_mut().expect("routes");
    for route in routes.iter_mut().filter(|route| route["name"] == "open") {
        route["anonymous"] = json!(!is_changed);
    }
    let service = if is_changed { "archive" } else { "ledger" };
    for name in ["moved", "kept"] {
        let mut route = route_json(name, "idempotent", service);
        route["anonymous"] = json!(name == "moved");
        routes.push(route);
    }
    if !is_changed {
        let mut gone = route_json("gone", "idempotent", "ledger");
        gone["anonymous"] = json!(true);
        routes.push(gone);
    }
    config.to_string()
}

/// Guards against routes of the copy that are in force for longer than the apply time after the rewrite, and against calls with a key
/// that they carry before it.
#[tokio::test]
async fn routes_of_the_copy_end_in_time_after_the_rewrite() {
    let trial = TwinTrial::start(&routes_config(2)).await;
    let address = trial.vm.caller_address;
    let open = Caller::start(address, "open", "/open/1", "");
    let gone = Caller::start(address, "gone", "/gone/1", "");
    let moved = Caller::start(address, "moved", "/moved/1", "");
    let keyed = Caller::with_key(address, "k1", "/kept/1");
    let lost = routes_config(3);
    let (acknowledged, restored) = trial.lose_unread(OPERATORS, "config", Some(&lost)).await;
    sleep(LATE_WRITE).await;
    trial.log.put(OPERATORS, "config", Some(&lost));
    let rewritten = Instant::now();
    trial.wait_for_end_of_guard(restored).await;
    sleep(Duration::from_secs(1)).await;
    let end = Instant::now();
    let received = trial.received();
    let at_archive: Vec<_> = trial
        .archive
        .requests()
        .iter()
        .filter_map(|request| Some(request.header("hoplanding-request-id")?.to_owned()))
        .collect();
    for (what, caller) in [
        ("open", &open),
        ("gone", &gone),
        ("moved", &moved),
        ("keyed", &keyed),
    ] {
        let mut old = caller.ran(&received, acknowledged, end);
        old.retain(|(_, request)| {
            request
                .header("hoplanding-request-id")
                .is_none_or(|id| !at_archive.iter().any(|other| other == id))
        });
        assert!(
            old.iter()
                .all(|(sent, _)| *sent < rewritten + MAX_APPLY_TIME),
            "{what}: in force too long after the rewrite"
        );
        if what == "keyed" {
            assert!(
                old.iter()
                    .all(|(sent, _)| *sent < acknowledged + REVOCATION_BOUND),
                "a call with a key ran by a route of the copy"
            );
        }
    }
    let from = rewritten + MAX_APPLY_TIME;
    let is_refused = |status: &u16| [401, 503].contains(status);
    assert!(open.statuses(from, end).iter().all(is_refused));
    assert!(open.statuses(from, end).contains(&401));
    assert!(gone.statuses(from, end).iter().all(|status| *status == 404));
    assert!(
        moved
            .statuses(from, end)
            .iter()
            .all(|status| *status == 200)
    );
}

/// Guards against calls without a key that run for longer than the apply time after the rewrite of the first configuration with
/// organisations.
#[tokio::test]
async fn calls_need_a_key_in_time_after_the_rewrite_of_the_first_organisations() {
    let trial = TwinTrial::start(&config_json(2)).await;
    let caller = Caller::start(trial.vm.caller_address, "none", "/scan/1", "");
    let lost = organisations_config(3);
    let (_, restored) = trial.lose_unread(OPERATORS, "config", Some(&lost)).await;
    sleep(LATE_WRITE).await;
    trial.log.put(OPERATORS, "config", Some(&lost));
    let rewritten = Instant::now();
    trial.wait_for_end_of_guard(restored).await;
    let end = Instant::now();
    let received = trial.received();
    let late = caller.ran(&received, rewritten + MAX_APPLY_TIME, end);
    assert!(late.is_empty(), "{} calls ran without a key", late.len());
}

/// A target's entry is lost, and the target writes it again; no call may be sent to it later than the bound after that.
async fn check_lost_entry(entry: Option<&str>, rewrite_after: Duration) {
    let trial = TwinTrial::start(&routes_config(2)).await;
    let caller = Caller::start(trial.vm.caller_address, "open", "/open/1", "");
    let text = entry.map(|state| target_entry("ledger", trial.ledger.address, state, &[]));
    trial.lose_unread(TARGETS, "i-1", text.as_deref()).await;
    sleep(rewrite_after).await;
    trial.log.put(TARGETS, "i-1", text.as_deref());
    let rewritten = Instant::now();
    sleep(Duration::from_secs(4)).await;
    let end = Instant::now();
    let received = trial.received();
    let late = caller.ran(&received, rewritten + MAX_APPLY_TIME, end);
    assert!(late.is_empty(), "{} calls reached the target", late.len());
}

/// Guards against a target that gets calls for longer than the bound after it announced again that it leaves.
#[tokio::test]
async fn target_that_announces_again_that_it_leaves_gets_no_late_calls() {
    check_lost_entry(Some("draining"), LATE_WRITE).await;
}

/// Guards against the same where the target announces it again before the VMs know of the restoration.
#[tokio::test]
async fn target_that_announces_at_once_again_that_it_leaves_gets_no_late_calls() {
    check_lost_entry(Some("draining"), Duration::ZERO).await;
}

/// Guards against calls to a target whose removal was lost and is written again.
#[tokio::test]
async fn target_that_is_removed_again_gets_no_late_calls() {
    check_lost_entry(None, LATE_WRITE).await;
}
