//! Revoked keys after a restore of the platform's log from a copy that lacks the last seconds, and with them the revocation.
//!
//! Operators have the rewrite time to write again what the copy lacks. Until then a VM that does not know better must not serve a
//! call by its key.

use crate::{
    keys::{KEY, keyed_config, send_call, strict_revocation_settings, test_organisation},
    support::{good_answer, is_ready, process_runtime, start_daemon_in, target_entry, wait_for},
};
use hoplanding_core::direct::{freshness::RevocationRule, restore_guard::RewriteRule};
use hoplanding_standins::{keyed_log::KeyedLog, raw_target::RawTarget};
use hoplandingd::direct::{daemon::DirectDaemon, settings::DirectSettings};
use serde_json::json;
use std::time::Duration;
use tokio::time::sleep;

/// Rewrite time in these tests.
const REWRITE_TIME: Duration = Duration::from_secs(5);
/// A rewrite time longer than any test.
const ENDLESS_REWRITE_TIME: Duration = Duration::from_secs(3_600);
/// A revocation bound within which a VM starts and gets a proof, also on a busy machine.
const LONG_BOUND: RevocationRule = RevocationRule {
    bound: Duration::from_secs(30),
};
/// Unix time, in milliseconds, long before any test.
const LONG_AGO_MS: u64 = 1_000;

fn has_config(version: u64) -> impl Fn(&DirectDaemon) -> bool {
    move |daemon| {
        let active = daemon.fleet().active();
        active.is_some_and(|active| active.config.version == version)
    }
}

fn later_settings(vm: &str, log: &KeyedLog) -> DirectSettings {
    let mut settings = strict_revocation_settings(vm, log);
    settings.is_first_start = false;
    settings.recovery = RewriteRule {
        rewrite_time: REWRITE_TIME,
    };
    settings
}

/// A log whose configuration 2 knows the key `k1`, and a target.
async fn keyed_log() -> (KeyedLog, RawTarget) {
    let log = KeyedLog::start().await.expect("a log");
    let target = RawTarget::start(good_answer).await.expect("a target");
    let entry = target_entry("ledger", target.address, "ready", &[]);
    log.put("keyed.servers", "i-1", Some(&entry));
    let keyed = keyed_config(2, &json!([test_organisation(&["k1", "k2"])]));
    log.put("keyed.op", "config", Some(&keyed));
    (log, target)
}

fn without_key(version: u64) -> String {
    keyed_config(version, &json!([test_organisation(&["k2"])]))
}

/// Configuration 3 revokes `k1` and is known to the only VM, which is killed before the log is restored without it. Returns a new VM
/// that has read configuration 2 from the restored log.
async fn restore_without_revocation() -> (KeyedLog, RawTarget, DirectDaemon) {
    let (log, target) = keyed_log().await;
    let life = process_runtime();
    let mut settings = later_settings("vm-1", &log);
    settings.is_first_start = true;
    let daemon = start_daemon_in(&life, settings).await;
    log.put("keyed.op", "config", Some(&without_key(3)));
    wait_for("the revocation", async || has_config(3)(&daemon)).await;
    life.shutdown_background();
    log.restore(&[("keyed.op", 1)]);
    let daemon = DirectDaemon::start(later_settings("vm-1", &log)).await;
    let daemon = daemon.expect("the daemon starts");
    wait_for("the restored configuration", async || {
        has_config(2)(&daemon)
    })
    .await;
    (log, target, daemon)
}

async fn status(daemon: &DirectDaemon) -> u16 {
    send_call(daemon, "/scan/1", "r1", KEY).await.status
}

/// The restored log still has the key, and the only VM that knew of the revocation was killed.
#[tokio::test]
async fn a_revoked_key_in_a_restored_log_is_not_served_before_operators_rewrite() {
    let (log, target, daemon) = restore_without_revocation().await;
    for number in 0..10 {
        assert_eq!(status(&daemon).await, 503, "call {number}");
        sleep(Duration::from_millis(100)).await;
    }
    log.put("keyed.op", "config", Some(&without_key(3)));
    wait_for("the revocation", async || status(&daemon).await != 503).await;
    assert_eq!(status(&daemon).await, 401);
    let other = "Authorization: Bearer k2\r\n";
    assert_eq!(send_call(&daemon, "/scan/1", "r2", other).await.status, 200);
    let served = target.requests();
    let served = served
        .iter()
        .filter(|request| request.request_line().contains("/scan/"));
    assert_eq!(served.count(), 1);
}

/// Operators write the missing changes one by one, less than the rewrite time apart; an intermediate configuration has the key.
#[tokio::test]
async fn keys_do_not_count_before_the_last_of_several_rewrites() {
    let (log, _target, daemon) = restore_without_revocation().await;
    let kept = keyed_config(4, &json!([test_organisation(&["k1", "k2"])]));
    // The last configuration written is older than the one in force, and must not replace it.
    for (config, pause) in [(kept, 900), (without_key(5), 900), (without_key(3), 0)] {
        log.put("keyed.op", "config", Some(&config));
        let until = tokio::time::Instant::now() + Duration::from_millis(pause);
        while tokio::time::Instant::now() < until {
            assert_ne!(status(&daemon).await, 200);
            sleep(Duration::from_millis(50)).await;
        }
    }
    wait_for("the revocation", async || status(&daemon).await != 503).await;
    assert_eq!(status(&daemon).await, 401);
}

#[tokio::test]
async fn a_restored_log_counts_if_operators_write_nothing_within_the_rewrite_time() {
    let (_log, _target, daemon) = restore_without_revocation().await;
    assert_eq!(status(&daemon).await, 503);
    wait_for("service", async || is_ready(&daemon).await).await;
    assert_eq!(status(&daemon).await, 200);
}

/// A VM that ran before the restore has a proof from its last read, and forwards it to a VM that starts afterwards. Neither of them can
/// get another one.
#[tokio::test]
async fn a_new_vm_serves_by_the_proof_of_one_that_ran_before_the_restore() {
    let (log, _target) = keyed_log().await;
    let first = process_runtime();
    let endless_settings = |vm: &str| {
        let mut settings = later_settings(vm, &log);
        settings.recovery.rewrite_time = ENDLESS_REWRITE_TIME;
        settings.revocation = Some(LONG_BOUND);
        settings
    };
    let mut settings = endless_settings("vm-1");
    settings.is_first_start = true;
    let before = start_daemon_in(&first, settings).await;
    log.restore(&[]);
    sleep(Duration::from_millis(500)).await;
    assert_eq!(status(&before).await, 200);
    let after = DirectDaemon::start(endless_settings("vm-2")).await;
    let after = after.expect("the daemon starts");
    wait_for("readiness", async || is_ready(&after).await).await;
    assert_eq!(status(&after).await, 200);
    first.shutdown_background();
}

/// The era record shows that the rewrite time has passed.
#[tokio::test]
async fn a_vm_that_starts_long_after_a_restore_serves_at_once() {
    let (log, _target) = keyed_log().await;
    log.restore(&[]);
    let record = json!({ "era": 2, "seen_ms": LONG_AGO_MS }).to_string();
    log.put("keyed.fleet", "era", Some(&record));
    let mut settings = later_settings("vm-1", &log);
    settings.recovery.rewrite_time = ENDLESS_REWRITE_TIME;
    let daemon = DirectDaemon::start(settings).await;
    let daemon = daemon.expect("the daemon starts");
    wait_for("readiness", async || is_ready(&daemon).await).await;
    assert_eq!(status(&daemon).await, 200);
}

/// The record was restored with the log, so its time says nothing about the present restore.
#[tokio::test]
async fn an_era_record_of_an_earlier_era_proves_nothing() {
    let (log, _target) = keyed_log().await;
    let record = json!({ "era": 1, "seen_ms": LONG_AGO_MS }).to_string();
    log.put("keyed.fleet", "era", Some(&record));
    log.restore(&[]);
    let daemon = DirectDaemon::start(later_settings("vm-1", &log)).await;
    let daemon = daemon.expect("the daemon starts");
    wait_for("the record of this era", async || {
        let newest = log.newest("keyed.fleet", "era");
        newest.is_some_and(|record| record.contains("\"era\":2"))
    })
    .await;
    assert_eq!(status(&daemon).await, 503);
}
