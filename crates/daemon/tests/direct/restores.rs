//! A log that comes back from a copy some seconds old: its offsets go back and are given out again.

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
    raw_target::{RawAnswer, RawRequest, RawTarget},
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
/// Time within which everything that is written has to be known; the users' `config_apply_ms` and `drain_ms`.
const IN_FORCE: Duration = Duration::from_secs(2);
/// Calls of one VM to the log in a second that are no flood: three feeds that try again after 0.4 s, and their listings.
const CALLS_PER_S: u64 = 30;

fn version(daemon: &DirectDaemon) -> u64 {
    daemon
        .fleet()
        .active()
        .map_or(0, |active| active.config.version)
}

/// Three VMs before a plain target and an engine, after a history of some records in each topic.
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
    wait_for("three known", async || {
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
        wait_for("the history", async || {
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

async fn all_within(vms: &[DirectDaemon], what: &str, is_so: impl Fn(&DirectDaemon) -> bool) {
    let since = Instant::now();
    while !vms.iter().all(&is_so) {
        assert!(
            since.elapsed() < IN_FORCE,
            "{what} is not known to all VMs in time"
        );
        sleep(Duration::from_millis(10)).await;
    }
}

#[tokio::test]
async fn what_is_written_after_the_log_came_back_is_in_force_in_time() {
    let log = KeyedLog::start().await.expect("a log");
    let [plain, engine] = targets().await;
    let vms = three_vms(&log, &plain, &engine).await;
    log.restore(&[(OPERATORS, 3), (TARGETS, 3)]);
    sleep(Duration::from_secs(1)).await;
    log.put(OPERATORS, "config", Some(&config_json(7)));
    let text = target_entry("ledger", plain.address, "draining", &[]);
    log.put(TARGETS, "i-1", Some(&text));
    all_within(&vms, "a configuration", |vm| version(vm) == 7).await;
    all_within(&vms, "a target that leaves", |vm| {
        vm.fleet().is_leaving("i-1")
    })
    .await;
}

#[tokio::test]
async fn a_vm_that_the_log_turns_away_learns_of_its_new_history_from_another() {
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
    all_within(&vms, "the history", |vm| version(vm) == 6).await;
    relay.set(LinkState::Cut);
    log.restore(&[(OPERATORS, 3), (TARGETS, 1)]);
    sleep(Duration::from_secs(1)).await;
    log.put(OPERATORS, "config", Some(&config_json(7)));
    let text = target_entry("ledger", plain.address, "draining", &[]);
    log.put(TARGETS, "i-1", Some(&text));
    all_within(&vms, "a configuration", |vm| version(vm) == 7).await;
    all_within(&vms, "a target that leaves", |vm| {
        vm.fleet().is_leaving("i-1")
    })
    .await;
}

#[tokio::test]
async fn calls_to_a_log_that_came_back_keep_their_pauses() {
    let log = KeyedLog::start().await.expect("a log");
    let [plain, engine] = targets().await;
    let vms = three_vms(&log, &plain, &engine).await;
    log.restore(&[(OPERATORS, 3), (TARGETS, 3), (FLEET, 1)]);
    let before = log.calls();
    sleep(Duration::from_secs(3)).await;
    let calls = log.calls() - before;
    let most = 3 * CALLS_PER_S * vms.len() as u64;
    assert!(calls <= most, "{calls} calls in 3 s, {most} allowed");
}

#[tokio::test]
async fn a_read_that_no_record_can_answer_is_not_repeated_without_a_pause() {
    let log = KeyedLog::start().await.expect("a log");
    let [plain, engine] = targets().await;
    let vms = three_vms(&log, &plain, &engine).await;
    // The era says nothing of it: offsets went back all the same.
    log.set_faults(|faults| faults.tells_era = Some("1".to_owned()));
    log.restore(&[(OPERATORS, 3), (TARGETS, 3)]);
    let before = log.calls();
    sleep(Duration::from_secs(3)).await;
    let calls = log.calls() - before;
    let most = 3 * CALLS_PER_S * vms.len() as u64;
    assert!(calls <= most, "{calls} calls in 3 s, {most} allowed");
}

#[tokio::test]
async fn an_older_configuration_of_the_copy_is_not_in_force_again_at_old_vms_or_new_ones() {
    let log = KeyedLog::start().await.expect("a log");
    let [plain, engine] = targets().await;
    let vms = three_vms(&log, &plain, &engine).await;
    log.restore(&[(OPERATORS, 3)]);
    let started = DirectDaemon::start(vm_settings("vm-4", &log)).await;
    let started = started.expect("the daemon starts");
    wait_for("readiness", async || is_ready(&started).await).await;
    wait_for("the newest at a new VM", async || version(&started) == 6).await;
    for _ in 0..40 {
        for vm in vms.iter().chain([&started]) {
            assert_eq!(version(vm), 6);
        }
        sleep(Duration::from_millis(50)).await;
    }
}

#[tokio::test]
async fn a_target_that_was_leaving_goes_on_leaving_though_the_copy_says_ready() {
    let log = KeyedLog::start().await.expect("a log");
    let [plain, engine] = targets().await;
    let vms = three_vms(&log, &plain, &engine).await;
    let text = target_entry("ledger", plain.address, "draining", &[]);
    log.put(TARGETS, "i-2", Some(&text));
    all_within(&vms, "a target that leaves", |vm| {
        vm.fleet().is_leaving("i-2")
    })
    .await;
    log.restore(&[(TARGETS, 1)]);
    let started = DirectDaemon::start(vm_settings("vm-4", &log)).await;
    let started = started.expect("the daemon starts");
    wait_for("word of it at a new VM", async || {
        !started.fleet().is_leaving("i-3") && started.fleet().is_leaving("i-2")
    })
    .await;
    for _ in 0..40 {
        assert!(vms.iter().all(|vm| vm.fleet().is_leaving("i-2")));
        sleep(Duration::from_millis(50)).await;
    }
}

#[tokio::test]
async fn a_target_whose_entry_the_copy_lacks_is_served_until_it_is_written_again() {
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

#[tokio::test]
async fn a_target_that_does_not_come_back_after_the_copy_is_gone() {
    let log = KeyedLog::start().await.expect("a log");
    let [plain, engine] = targets().await;
    let vms = three_vms(&log, &plain, &engine).await;
    log.restore(&[(TARGETS, 1)]);
    for vm in &vms {
        wait_for("its end", async || vm.fleet().is_leaving("i-6")).await;
    }
}

#[tokio::test]
async fn a_target_that_was_gone_before_the_copy_is_gone_until_it_writes_itself() {
    let log = KeyedLog::start().await.expect("a log");
    let [plain, engine] = targets().await;
    let vms = three_vms(&log, &plain, &engine).await;
    log.put(TARGETS, "i-6", None);
    all_within(&vms, "a removal", |vm| vm.fleet().is_leaving("i-6")).await;
    log.restore(&[(TARGETS, 1)]);
    for vm in &vms {
        wait_for("the copy", async || {
            let tables = vm.fleet().tables();
            let since = tables.known_since.get(&FeedTopic::Targets);
            since.is_some_and(|since| since.era() == StoreEra(2))
        })
        .await;
        assert!(vm.fleet().is_leaving("i-6"));
    }
    let text = target_entry("ledger", plain.address, "ready", &[]);
    log.put(TARGETS, "i-6", Some(&text));
    all_within(&vms, "a target that is back", |vm| {
        !vm.fleet().is_leaving("i-6")
    })
    .await;
}

/// Fencing tokens of the orders that an engine was given.
#[derive(Clone, Default)]
struct OrderLog(Arc<Mutex<Vec<u64>>>);

impl OrderLog {
    /// The answer of an engine that refuses tokens below the highest one that it has seen.
    fn answer(&self, request: &RawRequest) -> Option<RawAnswer> {
        if !request.line().contains("/hoplanding/order") {
            return None;
        }
        let order: serde_json::Value = serde_json::from_slice(&request.body).ok()?;
        let token = order["fencing_token"].as_u64()?;
        let mut tokens = self.0.lock().expect("no holder panics");
        if tokens.iter().any(|seen| *seen > token) {
            return Some(RawAnswer::whole("412 Precondition Failed", "", ""));
        }
        tokens.push(token);
        Some(RawAnswer::whole("202 Accepted", "", ""))
    }
}

/// Makes the log's tokens high: claims are appended behind these records.
fn fill_fleet_topic(log: &KeyedLog, records: usize) {
    for number in 0..records {
        log.put(FLEET, &format!("other/{number}"), Some("{}"));
    }
}

/// Calls with adapters that no engine has, until orders are taken that were not before.
async fn orders_are_taken(daemon: &DirectDaemon, orders: &OrderLog, adapters: &str) {
    let before = orders.0.lock().expect("no holder panics").len();
    let mut number = 0;
    wait_for("orders that are taken", async || {
        number += 1;
        let request = post_request(
            "/plan/1",
            &format!("n{number}"),
            &model_headers(&format!("{adapters}{number}")),
        );
        // Whether it is served is no matter here.
        let _ = timeout(TEST_TIMEOUT, send_request(daemon.caller_address, &request)).await;
        orders.0.lock().expect("no holder panics").len() > before
    })
    .await;
}

#[tokio::test]
async fn engines_take_orders_of_vms_that_all_started_after_the_log_came_back() {
    let log = KeyedLog::start().await.expect("a log");
    let orders = OrderLog::default();
    let seen = orders.clone();
    let engine = RawTarget::start(move |request: &RawRequest| {
        seen.answer(request)
            .unwrap_or_else(|| stream_answer(request, None))
    });
    let engine = engine.await.expect("an engine");
    fill_fleet_topic(&log, 40);
    let life = process_runtime();
    log.put(OPERATORS, "config", Some(&config_json(1)));
    let text = target_entry("scribe", engine.address, "ready", &["a1@1"]);
    log.put(TARGETS, "e-1", Some(&text));
    let daemon = start_daemon_in(&life, vm_settings("vm-1", &log)).await;
    orders_are_taken(&daemon, &orders, "b").await;
    life.shutdown_background();
    log.restore(&[(FLEET, 40)]);
    let mut later = vm_settings("vm-1", &log);
    later.is_first_start = false;
    let daemon = DirectDaemon::start(later).await.expect("the daemon starts");
    wait_for("readiness", async || is_ready(&daemon).await).await;
    orders_are_taken(&daemon, &orders, "c").await;
}

#[tokio::test]
async fn the_holder_claims_its_zone_again_with_a_higher_token() {
    let log = KeyedLog::start().await.expect("a log");
    let orders = OrderLog::default();
    let seen = orders.clone();
    let engine = RawTarget::start(move |request: &RawRequest| {
        seen.answer(request)
            .unwrap_or_else(|| stream_answer(request, None))
    });
    let engine = engine.await.expect("an engine");
    fill_fleet_topic(&log, 20);
    let listed = [("e-1", "scribe", engine.address)];
    let daemon = start_daemon_with(vm_settings("vm-1", &log), &log, &listed).await;
    orders_are_taken(&daemon, &orders, "b").await;
    let last = orders.0.lock().expect("no holder panics").last().copied();
    log.restore(&[(FLEET, 20)]);
    wait_for("a claim in the new history", async || {
        log.newest(FLEET, "zone/hall")
            .is_some_and(|lease| lease.contains("vm-1"))
    })
    .await;
    wait_for("orders with a higher token", async || {
        orders_are_taken(&daemon, &orders, "c").await;
        orders.0.lock().expect("no holder panics").last().copied() > last
    })
    .await;
}

#[tokio::test]
async fn what_the_vms_wrote_is_written_again() {
    let log = KeyedLog::start().await.expect("a log");
    let [plain, engine] = targets().await;
    let vms = three_vms(&log, &plain, &engine).await;
    let fingerprint = RequestFingerprint(7);
    for number in 0..3 {
        let run = TargetRun {
            name: TargetName::new(&format!("gone-{number}")),
            life: TargetLife::default(),
        };
        vms[0]
            .fleet()
            .note_ended_under(&TargetCrash { fingerprint, run });
    }
    let key = "suspect/0000000000000007";
    // A quarantine that the log had, whoever recorded it.
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

#[tokio::test]
async fn an_era_that_is_missing_wrong_or_goes_back_loses_nothing() {
    for told in ["", "soon", "0", "-1"] {
        let log = KeyedLog::start().await.expect("a log");
        let [plain, engine] = targets().await;
        let vms = three_vms(&log, &plain, &engine).await;
        log.restore(&[]);
        log.put(OPERATORS, "config", Some(&config_json(7)));
        all_within(&vms, "a configuration", |vm| version(vm) == 7).await;
        log.set_faults(|faults| faults.tells_era = Some(told.to_owned()));
        let before = log.calls();
        sleep(Duration::from_secs(1)).await;
        let calls = log.calls() - before;
        assert!(
            calls <= CALLS_PER_S * vms.len() as u64,
            "{told:?}: {calls} calls"
        );
        for vm in &vms {
            let answer =
                send_request(vm.caller_address, &post_request("/lookup/1", "l1", "")).await;
            assert_eq!((answer.status, version(vm)), (200, 7), "{told:?}");
        }
        log.set_faults(|faults| faults.tells_era = None);
        log.put(OPERATORS, "config", Some(&config_json(8)));
        for vm in &vms {
            wait_for("the next configuration", async || version(vm) == 8).await;
        }
    }
}

#[tokio::test]
async fn a_log_that_comes_back_twice_within_a_moment_is_read_as_it_is_then() {
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
    all_within(&vms, "a configuration", |vm| version(vm) == 8).await;
    all_within(&vms, "a target that leaves", |vm| {
        vm.fleet().is_leaving("i-1")
    })
    .await;
}

#[tokio::test]
async fn a_claim_that_was_sent_in_another_history_holds_nothing() {
    let log = KeyedLog::start().await.expect("a log");
    let [plain, _] = targets().await;
    log.put(OPERATORS, "config", Some(&config_json(1)));
    let text = target_entry("ledger", plain.address, "ready", &[]);
    log.put(TARGETS, "i-1", Some(&text));
    // A claim is done after the log has come back, at the same end.
    let late = ("zone/hall".to_owned(), Duration::from_millis(400));
    log.set_faults(|faults| faults.delayed_key = Some(late));
    let daemon = DirectDaemon::start(vm_settings("vm-1", &log)).await;
    let daemon = daemon.expect("the daemon starts");
    wait_for("a claim", async || log.appends("zone/hall") > 0).await;
    log.restore(&[]);
    log.set_faults(|faults| faults.delayed_key = None);
    wait_for("a claim of the new history", async || {
        let tables = daemon.fleet().tables();
        let state = tables.leases.get(&daemon.fleet().zone);
        state.is_some_and(|state| state.position.era() == StoreEra(2))
    })
    .await;
    let claimed: Vec<_> = log.values(FLEET, "zone/hall");
    assert!(claimed[0].contains("\"era\":1"), "{claimed:?}");
    assert!(claimed[1].contains("\"era\":2"), "{claimed:?}");
}

/// The claim of a VM that waits its turn is lost with the copy, and another VM holds the zone since: the first one has not read that.
#[tokio::test]
async fn a_claimant_that_has_not_read_the_log_since_its_claim_gives_no_order_after_its_turn() {
    let log = KeyedLog::start().await.expect("a log");
    let orders = OrderLog::default();
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
    wait_for("its claim", async || {
        let lease = daemon.fleet().lease(&daemon.fleet().zone);
        lease.is_some_and(|lease| lease.vm == Some(VmName::new("vm-1")))
    })
    .await;
    relay.set(LinkState::Cut);
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
    let given = orders.0.lock().expect("no holder panics").clone();
    assert!(
        given.is_empty(),
        "orders of a VM whose claim is lost: {given:?}"
    );
}
