//! Targets that restart under the same name.
//!
//! An entry tells when its target started. Nothing that belongs to an earlier life may
//! affect the current one: neither an entry that was written late, nor a connection that is still
//! open, nor failures.

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

/// Entry of a target with its start time.
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

/// Writes another target's entry behind all earlier records, and waits until it is known.
async fn write_later_entry(log: &KeyedLog, daemon: &DirectDaemon, name: &str, address: SocketAddr) {
    let text = target_entry("other", address, "ready", &[]);
    log.put("keyed.servers", name, Some(&text));
    wait_for("the later entry", async || stage(daemon, name).is_some()).await;
}

/// Guards against a late entry of an earlier life that overwrites the state of the current
/// one.
#[tokio::test]
async fn late_entry_of_earlier_incarnation_is_ignored() {
    let log = KeyedLog::start().await.expect("a log");
    let target = RawTarget::start(good_answer).await.expect("a target");
    let address = target.address;
    let daemon = start_daemon(&log, &[("i-1", "ledger", address)]).await;
    let put = |text: &str| log.put("keyed.servers", "i-1", Some(text));
    put(&born_entry(address, "ready", 1_000));
    put(&born_entry(address, "ready", 2_000));
    // The earlier life began to drain before it ended, and its entry is written only now.
    put(&born_entry(address, "draining", 1_000));
    write_later_entry(&log, &daemon, "i-2", address).await;
    assert_eq!(stage(&daemon, "i-1"), Some(TargetStage::Ready));
    // An entry without a start time is older than any entry with one.
    put(&target_entry("ledger", address, "draining", &[]));
    write_later_entry(&log, &daemon, "i-3", address).await;
    assert_eq!(stage(&daemon, "i-1"), Some(TargetStage::Ready));
    // The current life may drain.
    put(&born_entry(address, "draining", 2_000));
    write_later_entry(&log, &daemon, "i-4", address).await;
    assert_eq!(stage(&daemon, "i-1"), Some(TargetStage::Draining));
    // A new life is ready again.
    put(&born_entry(address, "ready", 3_000));
    write_later_entry(&log, &daemon, "i-5", address).await;
    assert_eq!(stage(&daemon, "i-1"), Some(TargetStage::Ready));
}

/// Guards against records that are applied by log position when VMs forward them in another order
/// than that of the incarnations.
#[tokio::test]
async fn newest_incarnation_wins_in_any_record_order() {
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
    // Forwarded by other VMs: the record with the higher position is of the earlier life.
    let late = record(1_012, born_entry(address, "draining", 1_000));
    let new = record(1_010, born_entry(address, "ready", 2_000));
    daemon
        .fleet()
        .apply_forwarded(vec![late.clone(), new.clone()]);
    assert_eq!(stage(&daemon, "i-9"), Some(TargetStage::Ready));
    daemon.fleet().apply_forwarded(vec![late]);
    assert_eq!(stage(&daemon, "i-9"), Some(TargetStage::Ready));
    // Answers to other VMs contain the entry of the newer life.
    let answer = daemon
        .fleet()
        .records_since(&[(FeedTopic::Targets, LogPosition(0))], false);
    let answer = format!("{answer:?}");
    assert!(answer.contains("\\\"born\\\":2000"), "{answer}");
    assert!(!answer.contains("\\\"born\\\":1000"), "{answer}");
}

/// Guards against calls over a pooled connection that was made to the target's earlier life.
#[tokio::test]
async fn calls_do_not_reuse_connections_of_earlier_incarnation() {
    let log = KeyedLog::start().await.expect("a log");
    let target = RawTarget::start(good_answer).await.expect("a target");
    let address = target.address;
    let daemon = start_daemon(&log, &[("i-1", "ledger", address)]).await;
    let put = |born| {
        let text = born_entry(address, "ready", born);
        log.put("keyed.servers", "i-1", Some(&text));
    };
    put(1_000);
    write_later_entry(&log, &daemon, "i-2", address).await;
    for number in 0..3 {
        let request = post_request("/lookup/1", &format!("r{number}"), "");
        assert_eq!(
            send_request(daemon.caller_address, &request).await.status,
            200
        );
    }
    assert_eq!(target.connections(), 1, "the connection is reused");
    put(2_000);
    write_later_entry(&log, &daemon, "i-3", address).await;
    let request = post_request("/lookup/1", "r9", "");
    assert_eq!(
        send_request(daemon.caller_address, &request).await.status,
        200
    );
    assert_eq!(
        target.connections(),
        2,
        "the new incarnation gets a new connection"
    );
}

/// Guards against failures of an earlier life that keep calls away from the restarted
/// target.
#[tokio::test]
async fn failures_of_earlier_incarnation_are_forgotten() {
    let log = KeyedLog::start().await.expect("a log");
    // Nothing listens at this address.
    let closed_address = RawTarget::start(good_answer)
        .await
        .expect("a target")
        .address;
    let daemon = start_daemon(&log, &[("i-1", "ledger", closed_address)]).await;
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
        write_later_entry(&log, daemon, "i-2", target.address).await;
        let answer = send_request(daemon.caller_address, &post_request("/scan/1", "r8", "")).await;
        assert_eq!(answer.status, 200, "{HOST}: {}", answer.head);
    }
}
