//! A platform log that is restored from a backup some seconds old, so that its offsets are given
//! out again.

use crate::support::{
    TEST_TIMEOUT, config_json, good_answer, is_ready, model_headers, post_request, process_runtime,
    send_request, start_daemon, start_daemon_in, start_daemon_with, start_second_vm, stream_answer,
    target_entry, vm_settings, wait_for,
};
use hoplanding_core::{
    direct::suspects::{RequestFingerprint, TargetCrash},
    ids::{StoreEra, TargetLife, TargetName, TargetRun, VmName},
};
use hoplanding_standins::{
    keyed_log::KeyedLog,
    raw_target::{RawRequest, RawResponse, RawTarget},
    relay::{LinkRelay, LinkState},
};
use hoplandingd::direct::{daemon::DirectDaemon, message::FeedTopic};
use std::{
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};
use tokio::time::{sleep, timeout};

const OPERATORS: &str = "keyed.op";
const TARGETS: &str = "keyed.servers";
const FLEET: &str = "keyed.fleet";
/// Time within which every record has to be known, by `config_apply_ms` and `drain_ms`.
const MAX_APPLY_TIME: Duration = Duration::from_secs(2);
/// Permitted log calls of one VM per second: three readers that retry after 0.4 s, and their
/// listings.
const MAX_CALLS_PER_S: u64 = 30;

fn version(daemon: &DirectDaemon) -> u64 {
    daemon
        .fleet()
        .active()
        .map_or(0, |active| active.config.version)
}

/// Starts three VMs with a plain target and an engine, and writes some records to each topic.
async fn three_vms(log: &KeyedLog, plain: &RawTarget, engine: &RawTarget) -> [DirectDaemon; 3] {
    let listed = [
        ("i-1", "ledger", plain.address),
        ("e-1", "scribe", engine.address),
    ];
    let first = start_daemon(log, &listed).await;
    let second = DirectDaemon::start(vm_settings("vm-2", log)).await;
    let second = second.expect("the daemon starts");
    let third = DirectDaemon::start(vm_settings("vm-3", log)).await;
    let third = third.expect("the daemon starts");
    for vm in [&second, &third] {
        wait_for("readiness", async || is_ready(vm).await).await;
    }
    wait_for("records of three VMs", async || {
        [&first, &second, &third]
            .iter()
            .all(|vm| vm.fleet().tables().vms.len() == 3)
    })
    .await;
    for number in 2..=6 {
        log.put(OPERATORS, "config", Some(&config_json(number)));
        let text = target_entry("ledger", plain.address, "ready", &[]);
        log.put(TARGETS, &format!("i-{number}"), Some(&text));
    }
    let vms = [first, second, third];
    for vm in &vms {
        wait_for("the records before the restore", async || {
            version(vm) == 6 && !vm.fleet().is_leaving("i-6")
        })
        .await;
    }
    vms
}

async fn targets() -> [RawTarget; 2] {
    let plain = RawTarget::start(good_answer).await.expect("a target");
    let engine = RawTarget::start(|request: &RawRequest| stream_answer(request, None)).await;
    [plain, engine.expect("an engine")]
}

async fn wait_for_all(vms: &[DirectDaemon], what: &str, is_met: impl Fn(&DirectDaemon) -> bool) {
    let since = Instant::now();
    while !vms.iter().all(&is_met) {
        assert!(
            since.elapsed() < MAX_APPLY_TIME,
            "{what} is not known to all VMs in time"
        );
        sleep(Duration::from_millis(10)).await;
    }
}

/// Guards against VMs that go on waiting at their old positions after a restore, and miss later
/// records.
#[tokio::test]
async fn records_after_restore_take_effect_in_time() {
    let log = KeyedLog::start().await.expect("a log");
    let [plain, engine] = targets().await;
    let vms = three_vms(&log, &plain, &engine).await;
    log.restore(&[(OPERATORS, 3), (TARGETS, 3)]);
    sleep(Duration::from_secs(1)).await;
    log.put(OPERATORS, "config", Some(&config_json(7)));
    let text = target_entry("ledger", plain.address, "draining", &[]);
    log.put(TARGETS, "i-1", Some(&text));
    wait_for_all(&vms, "a configuration", |vm| version(vm) == 7).await;
    wait_for_all(&vms, "a draining target", |vm| vm.fleet().is_leaving("i-1")).await;
}

/// Guards against a VM that stays in the earlier era while the log rejects its reads: it learns of
/// the restore and of later records from another VM.
#[tokio::test]
async fn vm_rejected_by_restored_log_learns_new_era_from_another_vm() {
    let log = KeyedLog::start().await.expect("a log");
    let [plain, engine] = targets().await;
    let listed = [
        ("i-1", "ledger", plain.address),
        ("e-1", "scribe", engine.address),
    ];
    let first = start_daemon(&log, &listed).await;
    let (second, relay) = start_second_vm(&log).await;
    for number in 2..=6 {
        log.put(OPERATORS, "config", Some(&config_json(number)));
    }
    let vms = [first, second];
    wait_for_all(&vms, "the records before the restore", |vm| {
        version(vm) == 6
    })
    .await;
    relay.set_state(LinkState::Cut);
    log.restore(&[(OPERATORS, 3), (TARGETS, 1)]);
    sleep(Duration::from_secs(1)).await;
    log.put(OPERATORS, "config", Some(&config_json(7)));
    let text = target_entry("ledger", plain.address, "draining", &[]);
    log.put(TARGETS, "i-1", Some(&text));
    wait_for_all(&vms, "a configuration", |vm| version(vm) == 7).await;
    wait_for_all(&vms, "a draining target", |vm| vm.fleet().is_leaving("i-1")).await;
}

/// Guards against a flood of calls to a restored log, such as reads that fail at once and are
/// repeated.
#[tokio::test]
async fn calls_to_restored_log_keep_their_pauses() {
    let log = KeyedLog::start().await.expect("a log");
    let [plain, engine] = targets().await;
    let vms = three_vms(&log, &plain, &engine).await;
    log.restore(&[(OPERATORS, 3), (TARGETS, 3), (FLEET, 1)]);
    let before = log.calls();
    sleep(Duration::from_secs(3)).await;
    let calls = log.calls() - before;
    let most = 3 * MAX_CALLS_PER_S * vms.len() as u64;
    assert!(calls <= most, "{calls} calls in 3 s, {most} allowed");
}

/// Guards against reads without a pause when the offsets decreased but the log still tells the
/// earlier era, so that no record can answer a read.
#[tokio::test]
async fn unanswerable_read_is_repeated_with_pauses() {
    let log = KeyedLog::start().await.expect("a log");
    let [plain, engine] = targets().await;
    let vms = three_vms(&log, &plain, &engine).await;
    // The era does not show that the offsets went back.
    log.set_faults(|faults| faults.reported_era = Some("1".to_owned()));
    log.restore(&[(OPERATORS, 3), (TARGETS, 3)]);
    let before = log.calls();
    sleep(Duration::from_secs(3)).await;
    let calls = log.calls() - before;
    let most = 3 * MAX_CALLS_PER_S * vms.len() as u64;
    assert!(calls <= most, "{calls} calls in 3 s, {most} allowed");
}

/// Guards against a configuration of the backup that replaces a newer one, also on a VM that starts
/// after the restore.
#[tokio::test]
async fn older_configuration_of_backup_does_not_take_effect() {
    let log = KeyedLog::start().await.expect("a log");
    let [plain, engine] = targets().await;
    let vms = three_vms(&log, &plain, &engine).await;
    log.restore(&[(OPERATORS, 3)]);
    let started = DirectDaemon::start(vm_settings("vm-4", &log)).await;
    let started = started.expect("the daemon starts");
    wait_for("readiness", async || is_ready(&started).await).await;
    wait_for("the newest configuration at a new VM", async || {
        version(&started) == 6
    })
    .await;
    for _ in 0..40 {
        for vm in vms.iter().chain([&started]) {
            assert_eq!(version(vm), 6);
        }
        sleep(Duration::from_millis(50)).await;
    }
}

/// Guards against a draining target that gets calls again because the backup holds its earlier
/// entry.
#[tokio::test]
async fn draining_target_stays_draining_though_backup_says_ready() {
    let log = KeyedLog::start().await.expect("a log");
    let [plain, engine] = targets().await;
    let vms = three_vms(&log, &plain, &engine).await;
    let text = target_entry("ledger", plain.address, "draining", &[]);
    log.put(TARGETS, "i-2", Some(&text));
    wait_for_all(&vms, "a draining target", |vm| vm.fleet().is_leaving("i-2")).await;
    log.restore(&[(TARGETS, 1)]);
    let started = DirectDaemon::start(vm_settings("vm-4", &log)).await;
    let started = started.expect("the daemon starts");
    wait_for("the draining target at a new VM", async || {
        !started.fleet().is_leaving("i-3") && started.fleet().is_leaving("i-2")
    })
    .await;
    for _ in 0..40 {
        assert!(vms.iter().all(|vm| vm.fleet().is_leaving("i-2")));
        sleep(Duration::from_millis(50)).await;
    }
}

/// Guards against the loss of a target whose entry the restored log lacks: it stays until it can
/// have written its entry again.
#[tokio::test]
async fn target_missing_in_backup_is_served_until_rewritten() {
    let log = KeyedLog::start().await.expect("a log");
    let [plain, engine] = targets().await;
    let vms = three_vms(&log, &plain, &engine).await;
    log.restore(&[(TARGETS, 1)]);
    for _ in 0..30 {
        assert!(vms.iter().all(|vm| !vm.fleet().is_leaving("i-6")));
        sleep(Duration::from_millis(50)).await;
    }
    let text = target_entry("ledger", plain.address, "ready", &[]);
    log.put(TARGETS, "i-6", Some(&text));
    sleep(Duration::from_secs(2)).await;
    assert!(vms.iter().all(|vm| !vm.fleet().is_leaving("i-6")));
}

/// Guards against a target that stays known for good when it does not write its entry after a
/// restore.
#[tokio::test]
async fn target_that_does_not_return_after_restore_is_removed() {
    let log = KeyedLog::start().await.expect("a log");
    let [plain, engine] = targets().await;
    let vms = three_vms(&log, &plain, &engine).await;
    log.restore(&[(TARGETS, 1)]);
    for vm in &vms {
        wait_for("the removal", async || vm.fleet().is_leaving("i-6")).await;
    }
}

/// Guards against a removed target that gets calls again because the backup still holds its entry.
/// Only an entry written after the restore counts.
#[tokio::test]
async fn target_removed_before_restore_stays_removed_until_rewritten() {
    let log = KeyedLog::start().await.expect("a log");
    let [plain, engine] = targets().await;
    let vms = three_vms(&log, &plain, &engine).await;
    log.put(TARGETS, "i-6", None);
    wait_for_all(&vms, "a removal", |vm| vm.fleet().is_leaving("i-6")).await;
    log.restore(&[(TARGETS, 1)]);
    for vm in &vms {
        wait_for("the restored log", async || {
            let tables = vm.fleet().tables();
            let since = tables.known_since.get(&FeedTopic::Targets);
            since.is_some_and(|since| since.era() == StoreEra(2))
        })
        .await;
        assert!(vm.fleet().is_leaving("i-6"));
    }
    let text = target_entry("ledger", plain.address, "ready", &[]);
    log.put(TARGETS, "i-6", Some(&text));
    wait_for_all(&vms, "a rewritten target", |vm| {
        !vm.fleet().is_leaving("i-6")
    })
    .await;
}

/// Fencing tokens of the orders that an engine accepted.
#[derive(Clone, Default)]
struct AcceptedOrders(Arc<Mutex<Vec<u64>>>);

impl AcceptedOrders {
    /// Answer of an engine that rejects tokens below the highest one it has seen.
    fn answer(&self, request: &RawRequest) -> Option<RawResponse> {
        if !request.request_line().contains("/hoplanding/order") {
            return None;
        }
        let order: serde_json::Value = serde_json::from_slice(&request.body).ok()?;
        let token = order["fencing_token"].as_u64()?;
        let mut tokens = self
            .0
            .lock()
            .expect("no thread panics while it holds the lock");
        if tokens.iter().any(|seen| *seen > token) {
            return Some(RawResponse::complete("412 Precondition Failed", "", ""));
        }
        tokens.push(token);
        Some(RawResponse::complete("202 Accepted", "", ""))
    }
}

/// Writes records to the fleet topic, so that later claims get high fencing tokens.
fn fill_fleet_topic(log: &KeyedLog, records: usize) {
    for number in 0..records {
        log.put(FLEET, &format!("other/{number}"), Some("{}"));
    }
}

/// Sends calls for adapters that no engine has, until a new order is accepted.
async fn wait_for_accepted_order(daemon: &DirectDaemon, orders: &AcceptedOrders, adapters: &str) {
    let before = orders
        .0
        .lock()
        .expect("no thread panics while it holds the lock")
        .len();
    let mut number = 0;
    wait_for("an accepted order", async || {
        number += 1;
        let request = post_request(
            "/plan/1",
            &format!("n{number}"),
            &model_headers(&format!("{adapters}{number}")),
        );
        // The test does not depend on whether the call is served.
        let _ = timeout(TEST_TIMEOUT, send_request(daemon.caller_address, &request)).await;
        orders
            .0
            .lock()
            .expect("no thread panics while it holds the lock")
            .len()
            > before
    })
    .await;
}

/// Guards against fencing tokens that start low again after a restore: engines would reject all
/// orders of VMs that know nothing of the earlier era.
#[tokio::test]
async fn engines_accept_orders_of_vms_started_after_restore() {
    let log = KeyedLog::start().await.expect("a log");
    let orders = AcceptedOrders::default();
    let seen = orders.clone();
    let engine = RawTarget::start(move |request: &RawRequest| {
        seen.answer(request)
            .unwrap_or_else(|| stream_answer(request, None))
    });
    let engine = engine.await.expect("an engine");
    fill_fleet_topic(&log, 40);
    let first_process = process_runtime();
    log.put(OPERATORS, "config", Some(&config_json(1)));
    let text = target_entry("scribe", engine.address, "ready", &["a1@1"]);
    log.put(TARGETS, "e-1", Some(&text));
    let daemon = start_daemon_in(&first_process, vm_settings("vm-1", &log)).await;
    wait_for_accepted_order(&daemon, &orders, "b").await;
    first_process.shutdown_background();
    log.restore(&[(FLEET, 40)]);
    let mut later = vm_settings("vm-1", &log);
    later.is_first_start = false;
    let daemon = DirectDaemon::start(later).await.expect("the daemon starts");
    wait_for("readiness", async || is_ready(&daemon).await).await;
    wait_for_accepted_order(&daemon, &orders, "c").await;
}

/// Guards against a holder that keeps a token of the earlier era: it has to claim its zone again
/// with a higher one.
#[tokio::test]
async fn holder_reclaims_zone_with_higher_token() {
    let log = KeyedLog::start().await.expect("a log");
    let orders = AcceptedOrders::default();
    let seen = orders.clone();
    let engine = RawTarget::start(move |request: &RawRequest| {
        seen.answer(request)
            .unwrap_or_else(|| stream_answer(request, None))
    });
    let engine = engine.await.expect("an engine");
    fill_fleet_topic(&log, 20);
    let listed = [("e-1", "scribe", engine.address)];
    let daemon = start_daemon_with(vm_settings("vm-1", &log), &log, &listed).await;
    wait_for_accepted_order(&daemon, &orders, "b").await;
    let last = orders
        .0
        .lock()
        .expect("no thread panics while it holds the lock")
        .last()
        .copied();
    log.restore(&[(FLEET, 20)]);
    wait_for("a claim in the new era", async || {
        log.newest(FLEET, "zone/hall")
            .is_some_and(|lease| lease.contains("vm-1"))
    })
    .await;
    wait_for("orders with a higher token", async || {
        wait_for_accepted_order(&daemon, &orders, "c").await;
        orders
            .0
            .lock()
            .expect("no thread panics while it holds the lock")
            .last()
            .copied()
            > last
    })
    .await;
}

/// Guards against the loss of VM records, leases and suspect records that the restored log lacks,
/// and against rewriting them more than once each.
#[tokio::test]
async fn records_of_vms_are_rewritten_after_restore() {
    let log = KeyedLog::start().await.expect("a log");
    let [plain, engine] = targets().await;
    let vms = three_vms(&log, &plain, &engine).await;
    let fingerprint = RequestFingerprint(7);
    for number in 0..3 {
        let run = TargetRun {
            name: TargetName::new(&format!("gone-{number}")),
            life: TargetLife::default(),
        };
        vms[0].fleet().record_crash(&TargetCrash {
            fingerprint,
            run,
            is_trial: false,
        });
    }
    let key = "suspect/0000000000000007";
    // A quarantine that was in the log before the restore.
    let quarantine =
        r#"[{"name":"gone-0","life":0},{"name":"gone-1","life":0},{"name":"gone-2","life":0}]"#;
    log.put(FLEET, key, Some(quarantine));
    for vm in &vms {
        wait_for("the quarantine", async || {
            let tables = vm.fleet().tables();
            tables.suspects.quarantine(fingerprint).is_some()
        })
        .await;
    }
    let lost = log.len(FLEET);
    log.restore(&[(FLEET, lost)]);
    let keys = ["vm/vm-1", "vm/vm-2", "vm/vm-3", "zone/hall", key];
    for key in keys {
        wait_for(key, async || log.newest(FLEET, key).is_some()).await;
    }
    sleep(Duration::from_secs(1)).await;
    assert!(
        log.len(FLEET) <= 2 * keys.len(),
        "{} records",
        log.len(FLEET)
    );
    assert!(
        vms[0]
            .fleet()
            .tables()
            .vms
            .contains_key(&VmName::new("vm-3"))
    );
}

/// Guards against a flood of calls or the loss of state when the log's era is empty, not a number,
/// or lower than before.
#[tokio::test]
async fn missing_invalid_or_decreasing_era_loses_nothing() {
    for era in ["", "soon", "0", "-1"] {
        let log = KeyedLog::start().await.expect("a log");
        let [plain, engine] = targets().await;
        let vms = three_vms(&log, &plain, &engine).await;
        log.restore(&[]);
        log.put(OPERATORS, "config", Some(&config_json(7)));
        wait_for_all(&vms, "a configuration", |vm| version(vm) == 7).await;
        log.set_faults(|faults| faults.reported_era = Some(era.to_owned()));
        let before = log.calls();
        sleep(Duration::from_secs(1)).await;
        let calls = log.calls() - before;
        assert!(
            calls <= MAX_CALLS_PER_S * vms.len() as u64,
            "{era:?}: {calls} calls"
        );
        for vm in &vms {
            let answer =
                send_request(vm.caller_address, &post_request("/lookup/1", "l1", "")).await;
            assert_eq!((answer.status, version(vm)), (200, 7), "{era:?}");
        }
        log.set_faults(|faults| faults.reported_era = None);
        log.put(OPERATORS, "config", Some(&config_json(8)));
        for vm in &vms {
            wait_for("the next configuration", async || version(vm) == 8).await;
        }
    }
}

/// Guards against records of the first restore that stay in force when a second one follows at
/// once.
#[tokio::test]
async fn two_restores_in_quick_succession_are_followed() {
    let log = KeyedLog::start().await.expect("a log");
    let [plain, engine] = targets().await;
    let vms = three_vms(&log, &plain, &engine).await;
    log.restore(&[(OPERATORS, 2), (TARGETS, 2)]);
    sleep(Duration::from_millis(150)).await;
    log.put(OPERATORS, "config", Some(&config_json(7)));
    sleep(Duration::from_millis(50)).await;
    log.restore(&[(OPERATORS, 2), (TARGETS, 1)]);
    sleep(Duration::from_secs(1)).await;
    log.put(OPERATORS, "config", Some(&config_json(8)));
    let text = target_entry("ledger", plain.address, "draining", &[]);
    log.put(TARGETS, "i-1", Some(&text));
    wait_for_all(&vms, "a configuration", |vm| version(vm) == 8).await;
    wait_for_all(&vms, "a draining target", |vm| vm.fleet().is_leaving("i-1")).await;
}

/// Guards against a claim that is sent in one era and appended in the next: it must not hold the
/// zone.
#[tokio::test]
async fn claim_sent_in_earlier_era_is_void() {
    let log = KeyedLog::start().await.expect("a log");
    let [plain, _] = targets().await;
    log.put(OPERATORS, "config", Some(&config_json(1)));
    let text = target_entry("ledger", plain.address, "ready", &[]);
    log.put(TARGETS, "i-1", Some(&text));
    // The claim is appended after the restore, at the same position.
    let late = ("zone/hall".to_owned(), Duration::from_millis(400));
    log.set_faults(|faults| faults.delayed_key = Some(late));
    let daemon = DirectDaemon::start(vm_settings("vm-1", &log)).await;
    let daemon = daemon.expect("the daemon starts");
    wait_for("a claim", async || log.appends("zone/hall") > 0).await;
    log.restore(&[]);
    log.set_faults(|faults| faults.delayed_key = None);
    wait_for("a claim in the new era", async || {
        let tables = daemon.fleet().tables();
        let state = tables.leases.get(&daemon.fleet().zone);
        state.is_some_and(|state| state.position.era() == StoreEra(2))
    })
    .await;
    let claimed: Vec<_> = log.values(FLEET, "zone/hall");
    assert!(claimed[0].contains("\"era\":1"), "{claimed:?}");
    assert!(claimed[1].contains("\"era\":2"), "{claimed:?}");
}

/// Guards against orders of a claimant that waits for its handover delay while its claim is lost in a
/// restore, and another VM holds the zone. The claimant has not read the log since its claim.
#[tokio::test]
async fn claimant_without_read_since_its_claim_issues_no_orders() {
    let log = KeyedLog::start().await.expect("a log");
    let orders = AcceptedOrders::default();
    let seen = orders.clone();
    let engine = RawTarget::start(move |request: &RawRequest| {
        seen.answer(request)
            .unwrap_or_else(|| stream_answer(request, None))
    });
    let engine = engine.await.expect("an engine");
    log.put(OPERATORS, "config", Some(&config_json(1)));
    let text = target_entry("scribe", engine.address, "ready", &["a1@1"]);
    log.put(TARGETS, "e-1", Some(&text));
    let lease = |vm: &str, era: u64| serde_json::json!({ "vm": vm, "incarnation": 9, "address": "127.0.0.1:9", "era": era });
    log.put(FLEET, "zone/hall", Some(&lease("vm-8", 1).to_string()));
    log.restore(&[]);
    let relay = LinkRelay::start().await.expect("a relay");
    relay.set_target(log.address());
    let mut settings = vm_settings("vm-1", &log);
    settings.platform_address = relay.address;
    settings.leases.handover_delay = Duration::from_secs(2);
    settings.has_order_fencing = true;
    let daemon = DirectDaemon::start(settings).await;
    let daemon = daemon.expect("the daemon starts");
    wait_for("the claim", async || {
        let lease = daemon.fleet().lease(&daemon.fleet().zone);
        lease.is_some_and(|lease| lease.vm == Some(VmName::new("vm-1")))
    })
    .await;
    relay.set_state(LinkState::Cut);
    let lost = log.len(FLEET) - 1;
    log.restore(&[(FLEET, lost)]);
    log.put(FLEET, "zone/hall", Some(&lease("vm-9", 3).to_string()));
    let until = Instant::now() + Duration::from_millis(3_500);
    let mut number = 0;
    while Instant::now() < until {
        number += 1;
        let request = post_request("/plan/1", &format!("n{number}"), &model_headers("b1"));
        let _ = timeout(
            Duration::from_millis(200),
            send_request(daemon.caller_address, &request),
        )
        .await;
        sleep(Duration::from_millis(50)).await;
    }
    let given = orders
        .0
        .lock()
        .expect("no thread panics while it holds the lock")
        .clone();
    assert!(
        given.is_empty(),
        "orders of a VM whose claim was lost: {given:?}"
    );
}
