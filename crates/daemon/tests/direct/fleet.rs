//! Fleet state and cooperation of VMs: records, leases, orders, starts and planned stops.

use crate::support::{
    config_json, decode_chunked, good_answer, is_ready, model_headers, post_request,
    process_runtime, send_request, slow_engine, start_daemon, start_second_vm, start_stream,
    stream_answer, stream_event, target_entry, vm_settings, wait_for,
};
use hoplanding_core::ids::{AvailabilityZone, VmName};
use hoplanding_standins::{
    keyed_log::KeyedLog,
    raw_target::{RawRequest, RawResponse, RawTarget},
    relay::{LinkRelay, LinkState},
};
use hoplandingd::direct::daemon::DirectDaemon;
use serde_json::json;
use std::{
    sync::{Arc, Mutex},
    time::Duration,
};
use tokio::{
    net::TcpListener,
    time::{Instant, sleep},
};

/// Guards against calls to a target that is draining.
#[tokio::test]
async fn draining_target_gets_no_new_calls() {
    let log = KeyedLog::start().await.expect("a log");
    let leaving = RawTarget::start(good_answer).await.expect("a target");
    let staying = RawTarget::start(good_answer).await.expect("a target");
    let targets = [
        ("i-1", "ledger", leaving.address),
        ("i-2", "ledger", staying.address),
    ];
    let daemon = start_daemon(&log, &targets).await;
    log.put(
        "keyed.servers",
        "i-1",
        Some(&target_entry("ledger", leaving.address, "draining", &[])),
    );
    wait_for("the draining entry", async || {
        daemon.fleet().is_leaving("i-1")
    })
    .await;
    let before = leaving.requests().len();
    for number in 0..10 {
        let answer = send_request(
            daemon.caller_address,
            &post_request("/lookup/1", &format!("r{number}"), ""),
        )
        .await;
        assert_eq!(answer.status, 200);
    }
    assert_eq!(leaving.requests().len(), before);
}

/// Guards against records that can't be decoded, and malformed answers of the log, that replace
/// valid state.
#[tokio::test]
async fn undecodable_records_and_malformed_log_answers_are_ignored() {
    let log = KeyedLog::start().await.expect("a log");
    let target = RawTarget::start(good_answer).await.expect("a target");
    let daemon = start_daemon(&log, &[("i-1", "ledger", target.address)]).await;
    log.put("keyed.op", "config", Some("{\"version\": \"no number\"}"));
    log.put("keyed.servers", "i-1", Some("not JSON"));
    log.put("keyed.servers", "i-9", Some("{\"address\": 7}"));
    log.set_faults(|faults| faults.has_malformed_reads = true);
    sleep(Duration::from_millis(300)).await;
    let answer = send_request(daemon.caller_address, &post_request("/lookup/1", "r1", "")).await;
    assert_eq!(answer.status, 200);
    assert!(is_ready(&daemon).await);
    log.set_faults(|faults| faults.has_malformed_reads = false);
    log.put("keyed.op", "config", Some(&config_json(7)));
    wait_for("the next configuration", async || {
        daemon
            .fleet()
            .active()
            .is_some_and(|active| active.config.version == 7)
    })
    .await;
}

/// Guards against a configuration that is in force late because the log does not wake a read that
/// arrives while the record is appended.
#[tokio::test]
async fn configuration_takes_effect_though_log_does_not_wake_waiting_read() {
    let log = KeyedLog::start().await.expect("a log");
    let target = RawTarget::start(good_answer).await.expect("a target");
    let daemon = start_daemon(&log, &[("i-1", "ledger", target.address)]).await;
    wait_for("the lease", async || {
        let zone = AvailabilityZone::new("hall");
        daemon.fleet().lease(&zone).is_some()
    })
    .await;
    // The read that began before the lease waits longer, and ends with this version.
    log.put("keyed.op", "config", Some(&config_json(2)));
    let is_in_force = |version| {
        let active = daemon.fleet().active();
        active.is_some_and(|active| active.config.version == version)
    };
    wait_for("version 2", async || is_in_force(2)).await;
    sleep(Duration::from_millis(100)).await;
    log.set_faults(|faults| faults.suppresses_wakeups = true);
    log.put("keyed.op", "config", Some(&config_json(3)));
    wait_for("version 3", async || is_in_force(3)).await;
}

/// Guards against a VM that stays outdated when the records after its position have been compacted:
/// it has to list the topic again.
#[tokio::test]
async fn compacted_records_are_recovered_by_listing() {
    let log = KeyedLog::start().await.expect("a log");
    let target = RawTarget::start(good_answer).await.expect("a target");
    let daemon = start_daemon(&log, &[("i-1", "ledger", target.address)]).await;
    log.set_faults(|faults| faults.is_unavailable = true);
    sleep(Duration::from_millis(100)).await;
    log.put("keyed.op", "config", Some(&config_json(3)));
    log.compact("keyed.op");
    log.set_faults(|faults| faults.is_unavailable = false);
    wait_for("the newer configuration", async || {
        daemon
            .fleet()
            .active()
            .is_some_and(|active| active.config.version == 3)
    })
    .await;
}

/// Guards against a VM that stays outdated while the log rejects its reads: it gets the records
/// from another VM.
#[tokio::test]
async fn vm_rejected_by_log_gets_records_from_another_vm() {
    let log = KeyedLog::start().await.expect("a log");
    let target = RawTarget::start(good_answer).await.expect("a target");
    let first = start_daemon(&log, &[("i-1", "ledger", target.address)]).await;
    let (second, relay) = start_second_vm(&log).await;
    relay.set_state(LinkState::Cut);
    log.put(
        "keyed.servers",
        "i-1",
        Some(&target_entry("ledger", target.address, "draining", &[])),
    );
    log.put("keyed.op", "config", Some(&config_json(5)));
    wait_for("the records over the link", async || {
        second.fleet().is_leaving("i-1")
            && second
                .fleet()
                .active()
                .is_some_and(|active| active.config.version == 5)
    })
    .await;
    drop(first);
}

/// Guards against a starting VM that needs listings of its own although its zone's holder can send
/// it all records.
#[tokio::test]
async fn starting_vm_gets_records_from_zone_holder_without_listing() {
    let log = KeyedLog::start().await.expect("a log");
    let target = RawTarget::start(good_answer).await.expect("a target");
    let first = start_daemon(&log, &[("i-1", "ledger", target.address)]).await;
    wait_for("a holder", async || {
        first
            .fleet()
            .lease(&AvailabilityZone::new("hall"))
            .is_some()
    })
    .await;
    log.set_faults(|faults| {
        faults.refused_listings = vec!["keyed.op".into(), "keyed.servers".into()];
    });
    let second = DirectDaemon::start(vm_settings("vm-2", &log))
        .await
        .expect("the daemon starts");
    wait_for("readiness", async || is_ready(&second).await).await;
    let answer = send_request(second.caller_address, &post_request("/scan/1", "r1", "")).await;
    assert_eq!(answer.status, 200);
}

/// Guards against a late page that makes a VM list the whole topic again.
#[tokio::test]
async fn late_page_does_not_restart_listing() {
    let log = KeyedLog::start().await.expect("a log");
    let target = RawTarget::start(good_answer).await.expect("a target");
    log.set_faults(|faults| {
        faults.max_page_keys = Some(4);
        faults.unanswered_pages = 2;
    });
    let names: Vec<_> = (0..18).map(|number| format!("i-{number}")).collect();
    let targets: Vec<_> = names
        .iter()
        .map(|name| (name.as_str(), "ledger", target.address))
        .collect();
    let daemon = start_daemon(&log, &targets).await;
    assert_eq!(log.listings("keyed.servers"), 1);
    assert_eq!(daemon.fleet().tables().catalog.iter().count(), 18);
}

/// Guards against a restart at the same address that writes the VM's record again.
#[tokio::test]
async fn restart_at_same_address_keeps_vm_record() {
    let log = KeyedLog::start().await.expect("a log");
    let free = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = free.local_addr().expect("an address");
    drop(free);
    let record = json!({ "zone": "hall", "address": address.to_string(), "strength": 1000 });
    log.put("keyed.fleet", "vm/vm-1", Some(&record.to_string()));
    log.put("keyed.op", "config", Some(&config_json(1)));
    let mut settings = vm_settings("vm-1", &log);
    settings.peer_address = address;
    let daemon = DirectDaemon::start(settings)
        .await
        .expect("the daemon starts");
    wait_for("the lease", async || {
        daemon
            .fleet()
            .lease(&AvailabilityZone::new("hall"))
            .is_some()
    })
    .await;
    assert_eq!(log.values("keyed.fleet", "vm/vm-1").len(), 1);
}

/// Guards against a load order for each call that waits for the same absent adapter, and against
/// calls that fail instead of waiting.
#[tokio::test]
async fn absent_adapter_is_ordered_once_while_its_calls_wait() {
    let log = KeyedLog::start().await.expect("a log");
    let engine = RawTarget::start(|request: &RawRequest| {
        if request.request_line().contains("/hoplanding/order") {
            RawResponse::complete("202 Accepted", "", "")
        } else {
            good_answer(request)
        }
    })
    .await
    .expect("an engine");
    let daemon = start_daemon(&log, &[("i-1", "scribe", engine.address)]).await;
    let [one, two] = ["r1", "r2"].map(|id| post_request("/plan/1", id, &model_headers("a2")));
    let (one, two) = tokio::join!(
        send_request(daemon.caller_address, &one),
        send_request(daemon.caller_address, &two)
    );
    assert_eq!((one.status, two.status), (200, 200));
    let seen = engine.requests();
    let orders: Vec<_> = seen
        .iter()
        .filter(|request| request.request_line().contains("order"))
        .collect();
    assert_eq!(orders.len(), 1);
    let order: serde_json::Value = serde_json::from_slice(&orders[0].body).expect("JSON");
    assert_eq!(order["operation"], "load");
    assert_eq!(
        (order["model"].as_str(), order["adapter"].as_str()),
        (Some("base"), Some("a2"))
    );
    assert_eq!(order["expected"], 0);
    assert!(order["fencing_token"].is_u64() && order["holder"] == "vm-1");
}

/// Guards against a holder that continues to issue orders after an engine rejected its fencing token.
#[tokio::test]
async fn fenced_holder_issues_no_more_orders() {
    let log = KeyedLog::start().await.expect("a log");
    let engine = RawTarget::start(|request: &RawRequest| {
        if request.request_line().contains("/hoplanding/order") {
            RawResponse::complete("412 Precondition Failed", "", "")
        } else {
            good_answer(request)
        }
    })
    .await
    .expect("an engine");
    let daemon = start_daemon(&log, &[("i-1", "scribe", engine.address)]).await;
    for number in 0..5 {
        let request = post_request("/plan/1", &format!("r{number}"), &model_headers("a2"));
        assert_eq!(
            send_request(daemon.caller_address, &request).await.status,
            503
        );
    }
    let orders = engine
        .requests()
        .iter()
        .filter(|request| request.request_line().contains("order"))
        .count();
    assert_eq!(orders, 1);
}

/// Guards against a planned stop that breaks off running streams, or accepts calls that can't end
/// in time.
#[tokio::test]
async fn planned_stop_finishes_streams_and_refuses_late_calls() {
    let log = KeyedLog::start().await.expect("a log");
    let engine = slow_engine(Duration::from_millis(120)).await;
    let daemon = start_daemon(&log, &[("i-1", "scribe", engine.address)]).await;
    let address = daemon.caller_address;
    let running = start_stream(address, &engine).await;
    let stopping = tokio::spawn(daemon.stop());
    sleep(Duration::from_millis(350)).await;
    // A stream of up to 600 tokens could not end in time, so its caller gets a Retry-After.
    let late = post_request(
        "/plan/1",
        "r2",
        &model_headers("a1").replace("100,20", "100,600"),
    );
    for _ in 0..12 {
        let late = send_request(address, &late).await;
        assert_eq!(late.status, 503);
        assert!(late.has_header("retry-after"));
    }
    let answer = running.await.expect("an answer");
    assert!(answer.is_whole);
    assert_eq!(
        decode_chunked(&answer.body),
        (1..=6).map(stream_event).collect::<String>()
    );
    assert_eq!(stopping.await.expect("the stop succeeds"), 0);
    assert!(
        !engine
            .requests()
            .iter()
            .any(|request| request.header("hoplanding-request-id") == Some("r2")),
        "the refused call was not run"
    );
    let leases = log.values("keyed.fleet", "zone/hall");
    assert!(
        leases
            .last()
            .is_some_and(|lease| lease.contains("\"vm\":null"))
    );
}

/// Guards against a stopping VM that accepts a stream although earlier streams took longer than the
/// time left.
#[tokio::test]
async fn stopping_vm_refuses_stream_expected_to_end_too_late() {
    let log = KeyedLog::start().await.expect("a log");
    // Six events, 400 ms apart, take longer than 1 s and 15 ms for each token.
    let engine = slow_engine(Duration::from_millis(400)).await;
    let daemon = start_daemon(&log, &[("i-1", "scribe", engine.address)]).await;
    let address = daemon.caller_address;
    let first = send_request(
        address,
        &post_request("/plan/1", "r0", &model_headers("a1")),
    )
    .await;
    assert!(first.is_whole);
    let running = start_stream(address, &engine).await;
    let stopping = tokio::spawn(daemon.stop());
    sleep(Duration::from_millis(600)).await;
    let late = send_request(
        address,
        &post_request("/plan/1", "r2", &model_headers("a1")),
    )
    .await;
    assert_eq!(late.status, 503);
    assert!(late.has_header("retry-after"));
    assert!(running.await.expect("an answer").is_whole);
    assert_eq!(stopping.await.expect("the stop succeeds"), 0);
    let is_late = |request: &RawRequest| request.header("hoplanding-request-id") == Some("r2");
    assert!(!engine.requests().iter().any(is_late));
}

/// Guards against a zone without a holder, when its last VM gives up the lease in a planned stop
/// before another VM can claim it.
#[tokio::test]
async fn last_vm_of_zone_keeps_lease_during_stop_until_successor_is_ready() {
    let log = KeyedLog::start().await.expect("a log");
    let engine = slow_engine(Duration::from_millis(400)).await;
    let daemon = start_daemon(&log, &[("i-1", "scribe", engine.address)]).await;
    let running = start_stream(daemon.caller_address, &engine).await;
    let leases = |log: &KeyedLog| log.values("keyed.fleet", "zone/hall");
    let held = leases(&log).len();
    let stopping = tokio::spawn(daemon.stop());
    sleep(Duration::from_millis(400)).await;
    assert_eq!(
        leases(&log).len(),
        held,
        "no other VM could take over the lease"
    );
    let _second = DirectDaemon::start(vm_settings("vm-2", &log))
        .await
        .expect("the daemon starts");
    wait_for("the second VM's claim", async || {
        leases(&log)
            .last()
            .is_some_and(|lease| lease.contains("vm-2"))
    })
    .await;
    assert!(
        !stopping.is_finished(),
        "the first VM still serves a stream"
    );
    assert!(leases(&log)[held].contains("\"vm\":null"));
    assert!(running.await.expect("an answer").is_whole);
    assert_eq!(stopping.await.expect("the stop succeeds"), 0);
}

/// Guards against a silent holder that keeps its lease because each new dial restarts the silence
/// timeout.
#[tokio::test]
async fn silent_holder_is_replaced_despite_repeated_dials() {
    let log = KeyedLog::start().await.expect("a log");
    // Accepts connections, but sends nothing on them.
    let silent_holder = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = silent_holder.local_addr().expect("an address").to_string();
    let lease = json!({ "vm": "ghost", "incarnation": 1, "address": address });
    log.put("keyed.fleet", "zone/hall", Some(&lease.to_string()));
    log.put("keyed.op", "config", Some(&config_json(1)));
    let mut settings = vm_settings("vm-1", &log);
    // Longer than one dial, so that the silence spans several dials.
    settings.leases.holder_timeout = Duration::from_millis(1_500);
    let _daemon = DirectDaemon::start(settings)
        .await
        .expect("the daemon starts");
    wait_for("a claim", async || {
        let leases = log.values("keyed.fleet", "zone/hall");
        leases.last().is_some_and(|lease| lease.contains("vm-1"))
    })
    .await;
}

/// Guards against a zone that stays with a holder that has little CPU, and against two VMs that hold it at once
/// during the handover.
#[tokio::test]
async fn smaller_holder_hands_zone_over_to_vm_with_more_cpu() {
    let log = KeyedLog::start().await.expect("a log");
    let engine = RawTarget::start(|request: &RawRequest| {
        if request.request_line().contains("/hoplanding/order") {
            RawResponse::complete("202 Accepted", "", "")
        } else {
            good_answer(request)
        }
    })
    .await
    .expect("an engine");
    log.put(
        "keyed.servers",
        "i-1",
        Some(&target_entry("scribe", engine.address, "ready", &["a1@1"])),
    );
    log.put("keyed.op", "config", Some(&config_json(1)));
    let mut small_vm = vm_settings("vm-1", &log);
    small_vm.cpu_millicores = 120;
    let small_vm = DirectDaemon::start(small_vm)
        .await
        .expect("the daemon starts");
    let holds = |vm: &'static str| {
        let log = &log;
        async move || {
            let leases = log.values("keyed.fleet", "zone/hall");
            leases.last().is_some_and(|lease| lease.contains(vm))
        }
    };
    wait_for("the weak VM's claim", holds("vm-1")).await;
    let mut large_vm = vm_settings("vm-2", &log);
    large_vm.cpu_millicores = 500;
    let _large_vm = DirectDaemon::start(large_vm)
        .await
        .expect("the daemon starts");
    wait_for("the strong VM's claim", holds("vm-2")).await;
    // A record in between gives up the lease, so that at no time both VMs hold it.
    let leases = log.values("keyed.fleet", "zone/hall");
    let vms: Vec<_> = leases
        .iter()
        .map(|lease| {
            let lease: serde_json::Value = serde_json::from_str(lease).expect("JSON");
            lease["vm"].as_str().map(str::to_owned)
        })
        .collect();
    assert_eq!(vms, [Some("vm-1".into()), None, Some("vm-2".into())]);
    wait_for("a load by the new holder", async || {
        let request = post_request("/plan/1", "r1", &model_headers("a2"));
        send_request(small_vm.caller_address, &request).await.status == 200
    })
    .await;
    let orders: Vec<serde_json::Value> = engine
        .requests()
        .iter()
        .filter(|request| request.request_line().contains("order"))
        .map(|request| serde_json::from_slice(&request.body).expect("JSON"))
        .collect();
    assert!(orders.iter().all(|order| order["holder"] == "vm-2"));
}

/// Guards against calls that each wait for the unreachable holder of another zone.
#[tokio::test]
async fn calls_do_not_wait_for_unreachable_holder() {
    let log = KeyedLog::start().await.expect("a log");
    let silent_holder = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = silent_holder.local_addr().expect("an address").to_string();
    let lease = json!({ "vm": "ghost", "incarnation": 1, "address": address });
    log.put("keyed.fleet", "zone/attic", Some(&lease.to_string()));
    let target = RawTarget::start(good_answer).await.expect("a target");
    let mut settings = vm_settings("vm-1", &log);
    settings.zones.push(AvailabilityZone::new("attic"));
    log.put(
        "keyed.servers",
        "i-1",
        Some(&target_entry("scribe", target.address, "ready", &["a1@1"])),
    );
    log.put("keyed.op", "config", Some(&config_json(1)));
    let daemon = DirectDaemon::start(settings)
        .await
        .expect("the daemon starts");
    wait_for("readiness", async || is_ready(&daemon).await).await;
    wait_for("a holder of this zone", async || {
        send_request(
            daemon.caller_address,
            &post_request("/plan/1", "r0", &model_headers("a1")),
        )
        .await
        .status
            == 200
    })
    .await;
    // Some of these adapters are at home in the zone of the silent holder. The first calls may
    // discover that it is silent.
    let mut slow = 0;
    for number in 0..30 {
        let request = post_request(
            "/plan/1",
            &format!("r{number}"),
            &model_headers(&format!("b{number}")),
        );
        let started = Instant::now();
        send_request(daemon.caller_address, &request).await;
        slow += usize::from(started.elapsed() > Duration::from_millis(500));
    }
    assert!(slow <= 6, "{slow} of 30 calls waited for a silent holder");
}

/// Guards against a record that is in neither a VM's listing nor the updates of a link that is made
/// later.
#[tokio::test]
async fn new_link_delivers_records_written_before_it() {
    let log = KeyedLog::start().await.expect("a log");
    let target = RawTarget::start(good_answer).await.expect("a target");
    let first = start_daemon(&log, &[("i-1", "ledger", target.address)]).await;
    let relay = LinkRelay::start().await.expect("a relay");
    relay.set_target(log.address());
    let mut settings = vm_settings("vm-2", &log);
    settings.platform_address = relay.address;
    // The VM reads its listings but nothing after them, and first looks at the holder after the
    // change.
    settings.timing.list_interval = Duration::from_secs(60);
    settings.timing.min_config_interval = Duration::from_secs(60);
    let second = DirectDaemon::start(settings)
        .await
        .expect("the daemon starts");
    wait_for("the listings of the second VM", async || {
        second.fleet().is_ready()
    })
    .await;
    relay.set_state(LinkState::Frozen);
    log.put("keyed.op", "config", Some(&config_json(4)));
    wait_for("the configuration at the holder", async || {
        first
            .fleet()
            .active()
            .is_some_and(|active| active.config.version == 4)
    })
    .await;
    wait_for("the configuration over the new link", async || {
        second
            .fleet()
            .active()
            .is_some_and(|active| active.config.version == 4)
    })
    .await;
}

/// Guards against orders of a new holder while a suspended one may still issue some. The claimant in
/// between ended before its handover delay was over, and its successor has to wait for that delay
/// too.
#[tokio::test]
async fn no_order_while_holder_before_ended_claimant_may_be_active() {
    const HANDOVER_DELAY: Duration = Duration::from_secs(3);
    let log = KeyedLog::start().await.expect("a log");
    let first_order = Arc::new(Mutex::new(None));
    let seen = Arc::clone(&first_order);
    let engine = RawTarget::start(move |request: &RawRequest| {
        if request.request_line().contains("/hoplanding/order") {
            let mut first = seen
                .lock()
                .expect("no thread panics while it holds the lock");
            first.get_or_insert_with(Instant::now);
            return RawResponse::complete("202 Accepted", "", "");
        }
        stream_answer(request, None)
    });
    let engine = engine.await.expect("an engine");
    let listed = target_entry("scribe", engine.address, "ready", &["a1@1"]);
    log.put("keyed.servers", "e-1", Some(&listed));
    log.put("keyed.op", "config", Some(&config_json(1)));
    // A suspended holder: its address accepts connections, but sends nothing.
    let suspended_holder = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = suspended_holder
        .local_addr()
        .expect("an address")
        .to_string();
    let lease = json!({ "vm": "vm-0", "incarnation": 9, "address": address });
    log.put("keyed.fleet", "zone/hall", Some(&lease.to_string()));
    let later = |vm: &str| {
        let mut settings = vm_settings(vm, &log);
        settings.leases.handover_delay = HANDOVER_DELAY;
        settings.has_order_fencing = true;
        settings
    };
    let claimant = process_runtime();
    let started = claimant.spawn(DirectDaemon::start(later("vm-1")));
    let first = started.await.expect("a task").expect("the daemon starts");
    let held_by = async |daemon: &DirectDaemon, vm: &str| {
        let lease = daemon.fleet().lease(&AvailabilityZone::new("hall"));
        lease.is_some_and(|lease| lease.vm == Some(VmName::new(vm)))
    };
    wait_for("the claim", async || held_by(&first, "vm-1").await).await;
    let claimed = Instant::now();
    claimant.shutdown_background();
    let successor = DirectDaemon::start(later("vm-2")).await;
    let successor = successor.expect("the daemon starts");
    wait_for("the claim", async || held_by(&successor, "vm-2").await).await;
    let address = successor.caller_address;
    let mut number = 0;
    wait_for("an order", async || {
        number += 1;
        let request = post_request(
            "/plan/1",
            &format!("n{number}"),
            &model_headers(&format!("b{number}")),
        );
        // The test does not depend on whether the call is served.
        drop(tokio::spawn(async move {
            send_request(address, &request).await
        }));
        first_order
            .lock()
            .expect("no thread panics while it holds the lock")
            .is_some()
    })
    .await;
    let first = first_order
        .lock()
        .expect("no thread panics while it holds the lock");
    let waited = first.map(|first| first.duration_since(claimed));
    assert!(waited >= Some(HANDOVER_DELAY), "{waited:?}");
}
