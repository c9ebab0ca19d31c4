//! Targets that start again under the name that they had.
//!
//! A target tells when it started. What it knew, held and promised before is gone with its earlier life, and what comes
//! late from there says nothing about it: neither an entry that was written late, nor a connection that stayed open.

use crate::support::{
    HOST, good_answer, post_request, send_request, start_daemon, start_second_vm, target_entry,
    wait_for,
};
use hoplanding_core::{
    direct::catalog::TargetStage,
    ids::{LogPosition, TargetName},
};
use hoplanding_standins::{keyed_log::KeyedLog, raw_target::RawTarget};
use hoplandingd::direct::{
    daemon::DirectDaemon,
    message::{FeedTopic, ForwardedRecord},
};
use std::net::SocketAddr;

/// An entry of a target that says when it started.
fn born_entry(address: SocketAddr, state: &str, born: u64) -> String {
    let text = target_entry("ledger", address, state, &[]);
    let mut fields: serde_json::Value = serde_json::from_str(&text).expect("an entry");
    fields["born"] = born.into();
    fields.to_string()
}

fn stage(daemon: &DirectDaemon, name: &str) -> Option<TargetStage> {
    let tables = daemon.fleet().tables();
    let entry = tables.catalog.get(&TargetName::new(name))?;
    Some(entry.stage)
}

/// Writes an entry that comes after all others so far, and waits until it is known.
async fn pass_by(log: &KeyedLog, daemon: &DirectDaemon, name: &str, address: SocketAddr) {
    let text = target_entry("other", address, "ready", &[]);
    log.put("keyed.servers", name, Some(&text));
    wait_for("the entry after", async || stage(daemon, name).is_some()).await;
}

#[tokio::test]
async fn a_late_entry_of_an_earlier_life_changes_nothing() {
    let log = KeyedLog::start().await.expect("a log");
    let target = RawTarget::start(good_answer).await.expect("a target");
    let address = target.address;
    let daemon = start_daemon(&log, &[("i-1", "ledger", address)]).await;
    let put = |text: &str| log.put("keyed.servers", "i-1", Some(text));
    put(&born_entry(address, "ready", 1_000));
    put(&born_entry(address, "ready", 2_000));
    // The life before had begun to leave when it ended, and its last words are written now.
    put(&born_entry(address, "draining", 1_000));
    pass_by(&log, &daemon, "i-2", address).await;
    assert_eq!(stage(&daemon, "i-1"), Some(TargetStage::Ready));
    // One that does not say when it started is older than any that does.
    put(&target_entry("ledger", address, "draining", &[]));
    pass_by(&log, &daemon, "i-3", address).await;
    assert_eq!(stage(&daemon, "i-1"), Some(TargetStage::Ready));
    // The life itself may leave.
    put(&born_entry(address, "draining", 2_000));
    pass_by(&log, &daemon, "i-4", address).await;
    assert_eq!(stage(&daemon, "i-1"), Some(TargetStage::Draining));
    // And a new one takes work again.
    put(&born_entry(address, "ready", 3_000));
    pass_by(&log, &daemon, "i-5", address).await;
    assert_eq!(stage(&daemon, "i-1"), Some(TargetStage::Ready));
}

#[tokio::test]
async fn the_newest_life_is_known_in_whatever_order_its_records_come() {
    let log = KeyedLog::start().await.expect("a log");
    let target = RawTarget::start(good_answer).await.expect("a target");
    let address = target.address;
    let daemon = start_daemon(&log, &[("i-1", "ledger", address)]).await;
    let record = |position: u64, text: String| ForwardedRecord {
        topic: FeedTopic::Targets,
        key: "i-9".to_owned(),
        value: Some(text.into_bytes().into()),
        position: LogPosition(position),
    };
    // Passed on by others: what was written last is of the life before.
    let late = record(1_012, born_entry(address, "draining", 1_000));
    let new = record(1_010, born_entry(address, "ready", 2_000));
    daemon
        .fleet()
        .apply_forwarded(vec![late.clone(), new.clone()]);
    assert_eq!(stage(&daemon, "i-9"), Some(TargetStage::Ready));
    daemon.fleet().apply_forwarded(vec![late]);
    assert_eq!(stage(&daemon, "i-9"), Some(TargetStage::Ready));
    // Whoever is told everything is told of the newer life.
    let told = daemon
        .fleet()
        .records_since(&[(FeedTopic::Targets, LogPosition(0))], false);
    let told = format!("{told:?}");
    assert!(told.contains("\\\"born\\\":2000"), "{told}");
    assert!(!told.contains("\\\"born\\\":1000"), "{told}");
}

#[tokio::test]
async fn a_call_goes_out_over_no_connection_of_an_earlier_life() {
    let log = KeyedLog::start().await.expect("a log");
    let target = RawTarget::start(good_answer).await.expect("a target");
    let address = target.address;
    let daemon = start_daemon(&log, &[("i-1", "ledger", address)]).await;
    let put = |born| {
        let text = born_entry(address, "ready", born);
        log.put("keyed.servers", "i-1", Some(&text));
    };
    put(1_000);
    pass_by(&log, &daemon, "i-2", address).await;
    for number in 0..3 {
        let request = post_request("/lookup/1", &format!("r{number}"), "");
        assert_eq!(
            send_request(daemon.caller_address, &request).await.status,
            200
        );
    }
    assert_eq!(target.connections(), 1, "the connection is kept");
    put(2_000);
    pass_by(&log, &daemon, "i-3", address).await;
    let request = post_request("/lookup/1", "r9", "");
    assert_eq!(
        send_request(daemon.caller_address, &request).await.status,
        200
    );
    assert_eq!(target.connections(), 2, "it was the life's before");
}

#[tokio::test]
async fn failures_of_an_earlier_life_are_forgotten() {
    let log = KeyedLog::start().await.expect("a log");
    // Nobody listens there.
    let gone = RawTarget::start(good_answer)
        .await
        .expect("a target")
        .address;
    let daemon = start_daemon(&log, &[("i-1", "ledger", gone)]).await;
    let (second, _relay) = start_second_vm(&log).await;
    for daemon in [&daemon, &second] {
        for number in 0..2 {
            send_request(
                daemon.caller_address,
                &post_request("/scan/1", &format!("r{number}"), ""),
            )
            .await;
        }
    }
    let target = RawTarget::start(good_answer).await.expect("a target");
    let text = born_entry(target.address, "ready", 2_000);
    log.put("keyed.servers", "i-1", Some(&text));
    for daemon in [&daemon, &second] {
        pass_by(&log, daemon, "i-2", target.address).await;
        let answer = send_request(daemon.caller_address, &post_request("/scan/1", "r8", "")).await;
        assert_eq!(answer.status, 200, "{HOST}: {}", answer.head);
    }
}
