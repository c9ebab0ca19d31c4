//! What VMs know and do together: records, leases, orders, starts and stops.

use crate::support::{
    config_json, decode_chunked, good_answer, is_ready, model_headers, post_request,
    process_runtime, send_request, slow_engine, start_daemon, start_second_vm, start_stream,
    stream_answer, stream_event, target_entry, vm_settings, wait_for,
};
use hoplanding_core::ids::{AvailabilityZone, VmName};
use hoplanding_standins::{
    keyed_log::KeyedLog,
    raw_target::{RawAnswer, RawRequest, RawTarget},
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

#[tokio::test]
async fn a_leaving_target_gets_nothing_new() {
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
    wait_for("the news", async || daemon.fleet().is_leaving("i-1")).await;
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

#[tokio::test]
async fn records_that_cannot_be_decoded_and_a_store_that_talks_nonsense_change_nothing() {
    let log = KeyedLog::start().await.expect("a log");
    let target = RawTarget::start(good_answer).await.expect("a target");
    let daemon = start_daemon(&log, &[("i-1", "ledger", target.address)]).await;
    log.put("keyed.op", "config", Some("{\"version\": \"no number\"}"));
    log.put("keyed.servers", "i-1", Some("not JSON"));
    log.put("keyed.servers", "i-9", Some("{\"address\": 7}"));
    log.set_faults(|faults| faults.talks_nonsense = true);
    sleep(Duration::from_millis(300)).await;
    let answer = send_request(daemon.caller_address, &post_request("/lookup/1", "r1", "")).await;
    assert_eq!(answer.status, 200);
    assert!(is_ready(&daemon).await);
    log.set_faults(|faults| faults.talks_nonsense = false);
    log.put("keyed.op", "config", Some(&config_json(7)));
    wait_for("the next configuration", async || {
        daemon
            .fleet()
            .active()
            .is_some_and(|active| active.config.version == 7)
    })
    .await;
}

#[tokio::test]
async fn a_configuration_is_in_force_though_the_log_does_not_wake_the_read_that_waits_for_it() {
    let log = KeyedLog::start().await.expect("a log");
    let target = RawTarget::start(good_answer).await.expect("a target");
    let daemon = start_daemon(&log, &[("i-1", "ledger", target.address)]).await;
    wait_for("its lease", async || {
        let zone = AvailabilityZone::new("hall");
        daemon.fleet().lease(&zone).is_some()
    })
    .await;
    // The read that began before the lease waits longer: it ends with this version.
    log.put("keyed.op", "config", Some(&config_json(2)));
    let is_in_force = |version| {
        let active = daemon.fleet().active();
        active.is_some_and(|active| active.config.version == version)
    };
    wait_for("version 2", async || is_in_force(2)).await;
    sleep(Duration::from_millis(100)).await;
    log.set_faults(|faults| faults.is_deaf = true);
    log.put("keyed.op", "config", Some(&config_json(3)));
    wait_for("version 3", async || is_in_force(3)).await;
}

#[tokio::test]
async fn a_history_that_is_gone_is_made_up_for_by_a_listing() {
    let log = KeyedLog::start().await.expect("a log");
    let target = RawTarget::start(good_answer).await.expect("a target");
    let daemon = start_daemon(&log, &[("i-1", "ledger", target.address)]).await;
    log.set_faults(|faults| faults.is_out = true);
    sleep(Duration::from_millis(100)).await;
    log.put("keyed.op", "config", Some(&config_json(3)));
    log.compact("keyed.op");
    log.set_faults(|faults| faults.is_out = false);
    wait_for("the newer configuration", async || {
        daemon
            .fleet()
            .active()
            .is_some_and(|active| active.config.version == 3)
    })
    .await;
}

#[tokio::test]
async fn a_vm_that_the_store_turns_away_learns_from_another() {
    let log = KeyedLog::start().await.expect("a log");
    let target = RawTarget::start(good_answer).await.expect("a target");
    let first = start_daemon(&log, &[("i-1", "ledger", target.address)]).await;
    let (second, relay) = start_second_vm(&log).await;
    relay.set(LinkState::Cut);
    log.put(
        "keyed.servers",
        "i-1",
        Some(&target_entry("ledger", target.address, "draining", &[])),
    );
    log.put("keyed.op", "config", Some(&config_json(5)));
    wait_for("the news over the link", async || {
        second.fleet().is_leaving("i-1")
            && second
                .fleet()
                .active()
                .is_some_and(|active| active.config.version == 5)
    })
    .await;
    drop(first);
}

#[tokio::test]
async fn a_vm_that_starts_learns_from_its_zones_holder_what_it_need_not_list() {
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
        faults.unlisted = vec!["keyed.op".into(), "keyed.servers".into()];
    });
    let second = DirectDaemon::start(vm_settings("vm-2", &log))
        .await
        .expect("the daemon starts");
    wait_for("readiness", async || is_ready(&second).await).await;
    let answer = send_request(second.caller_address, &post_request("/scan/1", "r1", "")).await;
    assert_eq!(answer.status, 200);
}

#[tokio::test]
async fn a_page_that_is_late_does_not_begin_its_listing_anew() {
    let log = KeyedLog::start().await.expect("a log");
    let target = RawTarget::start(good_answer).await.expect("a target");
    log.set_faults(|faults| {
        faults.page_keys = Some(4);
        faults.silent_pages = 2;
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

#[tokio::test]
async fn a_restart_at_the_same_address_leaves_the_vms_record_alone() {
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
    wait_for("its lease", async || {
        daemon
            .fleet()
            .lease(&AvailabilityZone::new("hall"))
            .is_some()
    })
    .await;
    assert_eq!(log.values("keyed.fleet", "vm/vm-1").len(), 1);
}

#[tokio::test]
async fn an_absent_adapter_is_ordered_once_and_its_calls_wait_for_it() {
    let log = KeyedLog::start().await.expect("a log");
    let engine = RawTarget::start(|request: &RawRequest| {
        if request.line().contains("/hoplanding/order") {
            RawAnswer::whole("202 Accepted", "", "")
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
        .filter(|request| request.line().contains("order"))
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

#[tokio::test]
async fn a_holder_whose_orders_are_fenced_gives_no_more() {
    let log = KeyedLog::start().await.expect("a log");
    let engine = RawTarget::start(|request: &RawRequest| {
        if request.line().contains("/hoplanding/order") {
            RawAnswer::whole("412 Precondition Failed", "", "")
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
        .filter(|request| request.line().contains("order"))
        .count();
    assert_eq!(orders, 1);
}

#[tokio::test]
async fn a_planned_stop_finishes_what_runs_and_takes_nothing_late() {
    let log = KeyedLog::start().await.expect("a log");
    let engine = slow_engine(Duration::from_millis(120)).await;
    let daemon = start_daemon(&log, &[("i-1", "scribe", engine.address)]).await;
    let address = daemon.caller_address;
    let running = start_stream(address, &engine).await;
    let stopping = tokio::spawn(daemon.stop());
    sleep(Duration::from_millis(350)).await;
    // A stream of up to 600 tokens could not end in time: its caller is told when to come back.
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
    assert_eq!(stopping.await.expect("it ends"), 0);
    assert!(
        !engine
            .requests()
            .iter()
            .any(|request| request.header("hoplanding-request-id") == Some("r2")),
        "what was promised not to run did not"
    );
    let leases = log.values("keyed.fleet", "zone/hall");
    assert!(
        leases
            .last()
            .is_some_and(|lease| lease.contains("\"vm\":null"))
    );
}

#[tokio::test]
async fn a_stopping_vm_takes_no_stream_that_would_end_too_late_by_those_before() {
    let log = KeyedLog::start().await.expect("a log");
    // Six events, 400 ms apart: longer than 1 s and 15 ms a token.
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
    assert_eq!(stopping.await.expect("it ends"), 0);
    let is_late = |request: &RawRequest| request.header("hoplanding-request-id") == Some("r2");
    assert!(!engine.requests().iter().any(is_late));
}

#[tokio::test]
async fn the_last_vm_of_a_zone_keeps_its_lease_in_a_stop_until_another_one_can_take_it() {
    let log = KeyedLog::start().await.expect("a log");
    let engine = slow_engine(Duration::from_millis(400)).await;
    let daemon = start_daemon(&log, &[("i-1", "scribe", engine.address)]).await;
    let running = start_stream(daemon.caller_address, &engine).await;
    let leases = |log: &KeyedLog| log.values("keyed.fleet", "zone/hall");
    let held = leases(&log).len();
    let stopping = tokio::spawn(daemon.stop());
    sleep(Duration::from_millis(400)).await;
    assert_eq!(leases(&log).len(), held, "nobody could take it over");
    let _second = DirectDaemon::start(vm_settings("vm-2", &log))
        .await
        .expect("the daemon starts");
    wait_for("the second VM's claim", async || {
        leases(&log)
            .last()
            .is_some_and(|lease| lease.contains("vm-2"))
    })
    .await;
    assert!(!stopping.is_finished(), "the first still serves its stream");
    assert!(leases(&log)[held].contains("\"vm\":null"));
    assert!(running.await.expect("an answer").is_whole);
    assert_eq!(stopping.await.expect("it ends"), 0);
}

#[tokio::test]
async fn a_holder_that_has_fallen_silent_is_replaced_though_it_is_dialled_again_and_again() {
    let log = KeyedLog::start().await.expect("a log");
    // Accepts connections, and says nothing on them.
    let ghost = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = ghost.local_addr().expect("an address").to_string();
    let lease = json!({ "vm": "ghost", "incarnation": 1, "address": address });
    log.put("keyed.fleet", "zone/hall", Some(&lease.to_string()));
    log.put("keyed.op", "config", Some(&config_json(1)));
    let mut settings = vm_settings("vm-1", &log);
    // Longer than one dial takes, so that the silence has to be counted over several.
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

#[tokio::test]
async fn a_weak_holder_gives_its_zone_up_for_a_stronger_vm() {
    let log = KeyedLog::start().await.expect("a log");
    let engine = RawTarget::start(|request: &RawRequest| {
        if request.line().contains("/hoplanding/order") {
            RawAnswer::whole("202 Accepted", "", "")
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
    let mut weak = vm_settings("vm-1", &log);
    weak.cpu_millicores = 120;
    let weak = DirectDaemon::start(weak).await.expect("the daemon starts");
    let holds = |vm: &'static str| {
        let log = &log;
        async move || {
            let leases = log.values("keyed.fleet", "zone/hall");
            leases.last().is_some_and(|lease| lease.contains(vm))
        }
    };
    wait_for("the weak VM's claim", holds("vm-1")).await;
    let mut strong = vm_settings("vm-2", &log);
    strong.cpu_millicores = 500;
    let _strong = DirectDaemon::start(strong)
        .await
        .expect("the daemon starts");
    wait_for("the strong VM's claim", holds("vm-2")).await;
    // Given up by a record in between: at no moment did both hold it.
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
        send_request(weak.caller_address, &request).await.status == 200
    })
    .await;
    let orders: Vec<serde_json::Value> = engine
        .requests()
        .iter()
        .filter(|request| request.line().contains("order"))
        .map(|request| serde_json::from_slice(&request.body).expect("JSON"))
        .collect();
    assert!(orders.iter().all(|order| order["holder"] == "vm-2"));
}

#[tokio::test]
async fn no_call_waits_for_a_holder_that_is_out_of_reach() {
    let log = KeyedLog::start().await.expect("a log");
    let ghost = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = ghost.local_addr().expect("an address").to_string();
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
    wait_for("a holder here", async || {
        send_request(
            daemon.caller_address,
            &post_request("/plan/1", "r0", &model_headers("a1")),
        )
        .await
        .status
            == 200
    })
    .await;
    // Some of these adapters are at home in the zone whose holder is silent; the first of them may find that out.
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

#[tokio::test]
async fn a_new_link_makes_up_for_what_was_recorded_before_it() {
    let log = KeyedLog::start().await.expect("a log");
    let target = RawTarget::start(good_answer).await.expect("a target");
    let first = start_daemon(&log, &[("i-1", "ledger", target.address)]).await;
    let relay = LinkRelay::start().await.expect("a relay");
    relay.set_target(log.address());
    let mut settings = vm_settings("vm-2", &log);
    settings.platform_address = relay.address;
    // It reads its listings, and nothing after them; its first look at the holder comes later than the change.
    settings.timing.list_interval = Duration::from_secs(60);
    settings.timing.min_config_interval = Duration::from_secs(60);
    let second = DirectDaemon::start(settings)
        .await
        .expect("the daemon starts");
    wait_for("its listings", async || second.fleet().is_ready()).await;
    relay.set(LinkState::Frozen);
    log.put("keyed.op", "config", Some(&config_json(4)));
    wait_for("the news at the holder", async || {
        first
            .fleet()
            .active()
            .is_some_and(|active| active.config.version == 4)
    })
    .await;
    wait_for("the news over the new link", async || {
        second
            .fleet()
            .active()
            .is_some_and(|active| active.config.version == 4)
    })
    .await;
}

#[tokio::test]
async fn no_order_is_given_while_the_holder_before_a_claimant_that_ended_may_go_on() {
    const TURN: Duration = Duration::from_secs(3);
    let log = KeyedLog::start().await.expect("a log");
    let first_order = Arc::new(Mutex::new(None));
    let seen = Arc::clone(&first_order);
    let engine = RawTarget::start(move |request: &RawRequest| {
        if request.line().contains("/hoplanding/order") {
            let mut first = seen.lock().expect("no holder panics");
            first.get_or_insert_with(Instant::now);
            return RawAnswer::whole("202 Accepted", "", "");
        }
        stream_answer(request, None)
    });
    let engine = engine.await.expect("an engine");
    let listed = target_entry("scribe", engine.address, "ready", &["a1@1"]);
    log.put("keyed.servers", "e-1", Some(&listed));
    log.put("keyed.op", "config", Some(&config_json(1)));
    // A holder that stands still: its address takes connections, and says nothing.
    let frozen = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = frozen.local_addr().expect("an address").to_string();
    let lease = json!({ "vm": "vm-0", "incarnation": 9, "address": address });
    log.put("keyed.fleet", "zone/hall", Some(&lease.to_string()));
    let later = |vm: &str| {
        let mut settings = vm_settings(vm, &log);
        settings.leases.handover_delay = TURN;
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
    wait_for("its claim", async || held_by(&first, "vm-1").await).await;
    let claimed = Instant::now();
    claimant.shutdown_background();
    let successor = DirectDaemon::start(later("vm-2")).await;
    let successor = successor.expect("the daemon starts");
    wait_for("its claim", async || held_by(&successor, "vm-2").await).await;
    let address = successor.caller_address;
    let mut number = 0;
    wait_for("an order", async || {
        number += 1;
        let request = post_request(
            "/plan/1",
            &format!("n{number}"),
            &model_headers(&format!("b{number}")),
        );
        // Whether it is served is not the question.
        drop(tokio::spawn(async move {
            send_request(address, &request).await
        }));
        first_order.lock().expect("no holder panics").is_some()
    })
    .await;
    let first = first_order.lock().expect("no holder panics");
    let waited = first.map(|first| first.duration_since(claimed));
    assert!(waited >= Some(TURN), "{waited:?}");
}
