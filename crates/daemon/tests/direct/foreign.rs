//! Invalid entries of the target list, which is written by another system.
//!
//! An entry may lack fields, have fields of the wrong type, name invalid states or addresses, or not be JSON at all. Such an entry
//! replaces the earlier one under its key and lists no target; all other entries stay in force.

use crate::support::{
    good_answer, is_ready, post_request, send_request, start_daemon, target_entry, wait_for,
};
use hoplanding_core::ids::{Instant, TargetName};
use hoplanding_standins::{keyed_log::KeyedLog, raw_target::RawTarget};
use hoplandingd::direct::{daemon::DirectDaemon, skipped::EntryLogLimiter};
use serde_json::{Value, json};
use std::net::SocketAddr;

fn is_listed(daemon: &DirectDaemon, name: &str) -> bool {
    let tables = daemon.fleet().tables();
    tables.catalog.get(&TargetName::new(name)).is_some()
}

/// Puts a valid entry, and waits until it is listed: entries put before it have been read by then.
async fn put_and_wait(log: &KeyedLog, daemon: &DirectDaemon, name: &str, address: SocketAddr) {
    let text = target_entry("other", address, "ready", &[]);
    log.put("keyed.servers", name, Some(&text));
    wait_for("the entry that follows", async || is_listed(daemon, name)).await;
}

/// Invalid entries, most of them made from a valid one by changing one field.
fn unusable_entries(address: SocketAddr, own: SocketAddr) -> Vec<String> {
    let good: Value =
        serde_json::from_str(&target_entry("ledger", address, "ready", &[])).expect("an entry");
    let with = |field: &str, value: Value| {
        let mut fields = good.clone();
        fields[field] = value;
        fields.to_string()
    };
    let without = |field: &str| {
        let mut fields = good.clone();
        fields.as_object_mut().expect("an object").remove(field);
        fields.to_string()
    };
    let deep = format!("{{\"service\":{}{}}}", "[".repeat(5_000), "]".repeat(5_000));
    vec![
        String::from("no text of any form"),
        String::from("{"),
        String::from("[]"),
        String::from("null"),
        deep,
        "x".repeat(200_000),
        without("service"),
        without("address"),
        without("zone"),
        without("slots"),
        without("state"),
        with("service", json!(7)),
        with("slots", json!(-1)),
        with("slots", json!("many")),
        with("slots", json!(1e30)),
        with("state", json!("resting")),
        with("state", json!("READY")),
        with("state", json!(true)),
        with("address", json!("nowhere")),
        with("address", json!("10.0.0.1")),
        with("address", json!("0.0.0.0:80")),
        with("address", json!("224.0.0.1:80")),
        with("address", json!("127.0.0.1:0")),
        with("address", json!(own.to_string())),
        with("born", json!("yesterday")),
        with("born", json!(-5)),
        with("born", json!(1.5)),
        with("models", json!("base")),
        with("sequence", json!("first")),
    ]
}

#[tokio::test]
async fn an_unusable_entry_removes_its_target_and_no_other() {
    let log = KeyedLog::start().await.expect("a log");
    let target = RawTarget::start(good_answer).await.expect("a target");
    let address = target.address;
    let daemon = start_daemon(
        &log,
        &[("i-1", "ledger", address), ("i-2", "ledger", address)],
    )
    .await;
    for (number, text) in unusable_entries(address, daemon.caller_address)
        .iter()
        .enumerate()
    {
        let shown: String = text.chars().take(60).collect();
        let put = |text: &str| log.put("keyed.servers", "i-1", Some(text));
        put(&target_entry("ledger", address, "ready", &[]));
        wait_for("the valid entry", async || is_listed(&daemon, "i-1")).await;
        put(text);
        put_and_wait(&log, &daemon, &format!("m-{number}"), address).await;
        assert!(!is_listed(&daemon, "i-1"), "{shown}");
        assert!(is_listed(&daemon, "i-2"), "{shown}");
    }
    // A valid entry under the same key lists the target again.
    log.put(
        "keyed.servers",
        "i-1",
        Some(&target_entry("ledger", address, "ready", &[])),
    );
    wait_for("the valid entry", async || is_listed(&daemon, "i-1")).await;
    let answer = send_request(daemon.caller_address, &post_request("/scan/1", "r1", "")).await;
    assert_eq!(answer.status, 200);
}

/// The target's name is sent in a header; a name with control characters, spaces or non-ASCII characters must not end the daemon.
#[tokio::test]
async fn a_target_name_that_is_invalid_in_headers_is_skipped() {
    let log = KeyedLog::start().await.expect("a log");
    let target = RawTarget::start(good_answer).await.expect("a target");
    let address = target.address;
    let daemon = start_daemon(&log, &[("i-1", "ledger", address)]).await;
    for name in ["i\n2", "i 3", "i\u{e9}4", "i\u{0}5"] {
        let text = target_entry("scribe", address, "ready", &["a1@1"]);
        log.put("keyed.servers", name, Some(&text));
    }
    put_and_wait(&log, &daemon, "m-1", address).await;
    for name in ["i\n2", "i 3", "i\u{e9}4", "i\u{0}5"] {
        assert!(!is_listed(&daemon, name), "{name:?}");
    }
    let answer = send_request(daemon.caller_address, &post_request("/scan/1", "r1", "")).await;
    assert_eq!(answer.status, 200);
}

#[tokio::test]
async fn a_vm_starts_with_the_usable_entries_among_unusable_ones() {
    let log = KeyedLog::start().await.expect("a log");
    let target = RawTarget::start(good_answer).await.expect("a target");
    for number in 0..40 {
        log.put(
            "keyed.servers",
            &format!("x-{number}"),
            Some("{\"service\":7}"),
        );
    }
    let daemon = start_daemon(&log, &[("i-1", "ledger", target.address)]).await;
    assert!(is_ready(&daemon).await);
    assert_eq!(daemon.fleet().tables().skipped_entries.total(), 40);
    let answer = send_request(daemon.caller_address, &post_request("/scan/1", "r1", "")).await;
    assert_eq!(answer.status, 200);
}

#[test]
fn a_flood_of_unusable_entries_is_counted_but_logged_sparsely() {
    let mut skipped = EntryLogLimiter::default();
    let told: Vec<_> = (0..10_000)
        .filter_map(|number| skipped.record(Instant(5_000_000 + number * 100)))
        .collect();
    assert!(told.len() <= 16, "{}", told.len());
    assert_eq!(skipped.total(), 10_000);
    let next = skipped.record(Instant(60_000_000)).expect("logged again");
    assert_eq!(next as usize, 10_000 - told.len());
}
