//! Keys that were taken away in the seconds that a copy of the log lacks.

use crate::{
    keys::{KEY, keyed_config, send_call, strict_revocation_settings, test_organisation},
    support::{good_answer, is_ready, process_runtime, start_daemon_in, target_entry, wait_for},
};
use hoplanding_core::direct::restore_guard::RewriteRule;
use hoplanding_standins::{keyed_log::KeyedLog, raw_target::RawTarget};
use hoplandingd::direct::{daemon::DirectDaemon, settings::DirectSettings};
use serde_json::json;
use std::time::Duration;
use tokio::time::sleep;

/// Time that operators have in these tests to write again what a copy lacks.
const REWRITE: Duration = Duration::from_secs(5);
/// Longer than any test.
const NEVER: Duration = Duration::from_secs(3_600);
/// A time of day long before any test.
const LONG_AGO_MS: u64 = 1_000;

fn is_known(version: u64) -> impl Fn(&DirectDaemon) -> bool {
    move |daemon| {
        let active = daemon.fleet().active();
        active.is_some_and(|active| active.config.version == version)
    }
}

fn later_settings(vm: &str, log: &KeyedLog) -> DirectSettings {
    let mut settings = strict_revocation_settings(vm, log);
    settings.is_first_start = false;
    settings.recovery = RewriteRule {
        rewrite_time: REWRITE,
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

/// Configuration 3 takes `k1` away and is known to the only VM; that one is killed as the log comes back without it.
async fn killed_at_the_return() -> (KeyedLog, RawTarget, DirectDaemon) {
    let (log, target) = keyed_log().await;
    let life = process_runtime();
    let mut settings = later_settings("vm-1", &log);
    settings.is_first_start = true;
    let daemon = start_daemon_in(&life, settings).await;
    log.put("keyed.op", "config", Some(&without_key(3)));
    wait_for("the key's end", async || is_known(3)(&daemon)).await;
    life.shutdown_background();
    log.restore(&[("keyed.op", 1)]);
    let daemon = DirectDaemon::start(later_settings("vm-1", &log)).await;
    let daemon = daemon.expect("the daemon starts");
    wait_for("the copy", async || is_known(2)(&daemon)).await;
    (log, target, daemon)
}

async fn status(daemon: &DirectDaemon) -> u16 {
    send_call(daemon, "/scan/1", "r1", KEY).await.status
}

#[tokio::test]
async fn a_key_that_a_copy_still_has_is_not_served_before_operators_write_again() {
    let (log, target, daemon) = killed_at_the_return().await;
    for number in 0..10 {
        assert_eq!(status(&daemon).await, 503, "call {number}");
        sleep(Duration::from_millis(100)).await;
    }
    log.put("keyed.op", "config", Some(&without_key(3)));
    wait_for("the key's end", async || status(&daemon).await != 503).await;
    assert_eq!(status(&daemon).await, 401);
    let other = "Authorization: Bearer k2\r\n";
    assert_eq!(send_call(&daemon, "/scan/1", "r2", other).await.status, 200);
    let served = target.requests();
    let served = served
        .iter()
        .filter(|request| request.line().contains("/scan/"));
    assert_eq!(served.count(), 1);
}

#[tokio::test]
async fn operators_who_write_one_by_one_have_written_the_last_before_keys_count() {
    let (log, _target, daemon) = killed_at_the_return().await;
    let kept = keyed_config(4, &json!([test_organisation(&["k1", "k2"])]));
    // One that came late is older than the one in force by then.
    for (config, pause) in [(kept, 900), (without_key(5), 900), (without_key(3), 0)] {
        log.put("keyed.op", "config", Some(&config));
        let until = tokio::time::Instant::now() + Duration::from_millis(pause);
        while tokio::time::Instant::now() < until {
            assert_ne!(status(&daemon).await, 200);
            sleep(Duration::from_millis(50)).await;
        }
    }
    wait_for("the key's end", async || status(&daemon).await != 503).await;
    assert_eq!(status(&daemon).await, 401);
}

#[tokio::test]
async fn a_copy_counts_where_operators_write_nothing_in_their_time() {
    let (_log, _target, daemon) = killed_at_the_return().await;
    assert_eq!(status(&daemon).await, 503);
    wait_for("service", async || is_ready(&daemon).await).await;
    assert_eq!(status(&daemon).await, 200);
}

#[tokio::test]
async fn a_vm_that_starts_beside_one_of_before_serves_by_its_proof() {
    let (log, _target) = keyed_log().await;
    let first = process_runtime();
    let mut settings = later_settings("vm-1", &log);
    settings.is_first_start = true;
    let before = start_daemon_in(&first, settings).await;
    log.restore(&[]);
    sleep(Duration::from_millis(500)).await;
    assert_eq!(status(&before).await, 200);
    let mut settings = later_settings("vm-2", &log);
    settings.recovery.rewrite_time = NEVER;
    let after = DirectDaemon::start(settings).await;
    let after = after.expect("the daemon starts");
    wait_for("readiness", async || is_ready(&after).await).await;
    assert_eq!(status(&after).await, 200);
    first.shutdown_background();
}

#[tokio::test]
async fn a_vm_that_starts_long_after_the_return_serves_at_once() {
    let (log, _target) = keyed_log().await;
    log.restore(&[]);
    let record = json!({ "era": 2, "seen_ms": LONG_AGO_MS }).to_string();
    log.put("keyed.fleet", "era", Some(&record));
    let mut settings = later_settings("vm-1", &log);
    settings.recovery.rewrite_time = NEVER;
    let daemon = DirectDaemon::start(settings).await;
    let daemon = daemon.expect("the daemon starts");
    wait_for("readiness", async || is_ready(&daemon).await).await;
    assert_eq!(status(&daemon).await, 200);
}

#[tokio::test]
async fn a_record_of_an_earlier_era_that_came_with_the_copy_vouches_for_nothing() {
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
