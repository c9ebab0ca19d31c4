//! Named versions and leases after a restoration of the log that lacks them.

use crate::{
    engine_simulator::EngineSimulator,
    keys::strict_revocation_settings,
    restore_trials::CALL_INTERVAL,
    support::{
        HOST, config_json, good_answer, post_request, process_runtime, send_request,
        start_daemon_in, start_daemon_with, target_entry, wait_for,
    },
    twin_trials::{LATE_WRITE, MAX_APPLY_TIME, OPERATORS, TARGETS, TwinTrial},
};
use hoplanding_core::ids::AvailabilityZone;
use hoplanding_standins::{
    keyed_log::KeyedLog,
    raw_target::RawTarget,
    relay::{LinkRelay, LinkState},
};
use hoplandingd::direct::daemon::DirectDaemon;
use serde_json::json;
use std::{net::SocketAddr, time::Duration};
use tokio::time::{Instant, sleep, timeout};

fn model_request(number: usize) -> String {
    format!(
        "POST /plan/1 HTTP/1.1\r\nHost: {HOST}\r\nHoplanding-Request-Id: m{number}\r\n\
         Hoplanding-Deadline-Ms: 2000\r\nHoplanding-Model: base/a1\r\n\
         Hoplanding-Token-Count: 20,2\r\nContent-Length: 4\r\n\r\nbody"
    )
}

/// Calls for adapter a1, one after another, with the time of each run and the version that ran it.
async fn runs_until(
    address: SocketAddr,
    simulator: &EngineSimulator,
    end: Instant,
) -> Vec<(Instant, u16, Option<u64>)> {
    let mut seen = Vec::new();
    while Instant::now() < end {
        let sent = Instant::now();
        let id = format!("m{}", simulator.runs().len() * 10_000 + seen.len());
        let number = id[1..].parse().expect("a number");
        let status = send_request(address, &model_request(number)).await.status;
        let runs = simulator.runs();
        let version = runs.iter().find(|run| run.id == id).map(|run| run.version);
        seen.push((sent, status, version));
        sleep(CALL_INTERVAL).await;
    }
    seen
}

fn version_record(version: u64) -> String {
    json!({ "model": "base", "adapter": "a1", "version": version }).to_string()
}

/// Guards against an adapter's version of the copy that is served for longer than the apply time after the rewrite.
#[tokio::test]
async fn named_version_is_served_in_time_after_the_rewrite() {
    let trial = TwinTrial::start(&config_json(2)).await;
    let simulator = EngineSimulator::new(1);
    let engine = simulator.start_engine("e-1", 1, &[("a1", 1)]).await;
    let entry = target_entry("scribe", engine.address, "ready", &["a1@1"]);
    trial.log.put(TARGETS, "e-1", Some(&entry));
    trial
        .log
        .put(OPERATORS, "version/base.a1", Some(&version_record(1)));
    wait_for("the engine", async || !trial.vm.fleet().is_leaving("e-1")).await;
    simulator.set_newest(2);
    let record = version_record(2);
    trial
        .lose_unread(OPERATORS, "version/base.a1", Some(&record))
        .await;
    let address = trial.vm.caller_address;
    let before = runs_until(address, &simulator, Instant::now() + LATE_WRITE).await;
    trial.log.put(OPERATORS, "version/base.a1", Some(&record));
    let rewritten = Instant::now();
    let after = runs_until(address, &simulator, rewritten + 2 * MAX_APPLY_TIME).await;
    assert!(before.iter().any(|call| call.1 == 200));
    for (sent, status, version) in &after {
        assert!(
            *sent < rewritten + MAX_APPLY_TIME || (*status == 200 && *version == Some(2)),
            "{status} by version {version:?}"
        );
    }
}

/// Guards against refusals by an engine that has a newer version of an adapter than the copy names: the VM that read the lost record
/// had it loaded, and the one that starts after the restoration knows only the copy.
#[tokio::test]
async fn engine_with_a_newer_version_than_the_copy_names_serves_calls() {
    let mut trial = TwinTrial::start(&config_json(2)).await;
    let simulator = EngineSimulator::new(1);
    let engine = simulator.start_engine("e-1", 1, &[("a1", 1)]).await;
    let entry = target_entry("scribe", engine.address, "ready", &["a1@1"]);
    trial.log.put(TARGETS, "e-1", Some(&entry));
    let key = "version/base.a1";
    trial.log.put(OPERATORS, key, Some(&version_record(1)));
    wait_for("the engine", async || !trial.vm.fleet().is_leaving("e-1")).await;
    simulator.set_newest(2);
    trial.log.put(OPERATORS, key, Some(&version_record(2)));
    wait_for("version 2", async || {
        simulator.version("e-1", "a1") == Some(2)
    })
    .await;
    let entry = target_entry("scribe", engine.address, "ready", &["a1@2"]);
    trial.log.put(TARGETS, "e-1", Some(&entry));
    if let Some(process) = trial.process.take() {
        process.shutdown_background();
    }
    trial.log.restore(&[(OPERATORS, 1)]);
    let process = process_runtime();
    let mut settings = strict_revocation_settings("vm-1", &trial.log);
    settings.is_first_start = false;
    trial.vm = start_daemon_in(&process, settings).await;
    trial.process = Some(process);
    let until = Instant::now() + Duration::from_secs(4);
    let calls = runs_until(trial.vm.caller_address, &simulator, until).await;
    let served = calls.iter().filter(|call| call.1 == 200).count();
    // A load of an older version would undo what its callers were served already.
    assert_eq!(simulator.version("e-1", "a1"), Some(2));
    let statuses: Vec<_> = calls.iter().map(|call| call.1).collect();
    assert!(served * 10 > calls.len() * 8, "{statuses:?}");
    assert!(
        calls
            .iter()
            .all(|call| call.2.is_none_or(|version| version == 2))
    );
}

/// Guards against the same in a zone without a holder, whose targets a VM chooses by their entries.
#[tokio::test]
async fn listed_newer_version_than_the_copy_names_serves_calls_without_a_holder() {
    let log = KeyedLog::start().await.expect("a log");
    let mut settings = strict_revocation_settings("vm-1", &log);
    settings.zones.push(AvailabilityZone::new("yard"));
    let simulator = EngineSimulator::new(2);
    let engine = simulator.start_engine("e-1", 1, &[("a1", 2)]).await;
    let entry = target_entry("scribe", engine.address, "ready", &["a1@2"]);
    let entry = entry.replace("\"zone\":\"hall\"", "\"zone\":\"yard\"");
    log.put(TARGETS, "e-1", Some(&entry));
    log.put(OPERATORS, "version/base.a1", Some(&version_record(1)));
    let vm = start_daemon_with(settings, &log, &[]).await;
    wait_for("the engine", async || !vm.fleet().is_leaving("e-1")).await;
    let until = Instant::now() + Duration::from_secs(2);
    let calls = runs_until(vm.caller_address, &simulator, until).await;
    let served = calls.iter().filter(|call| call.1 == 200).count();
    assert_eq!(served, calls.len());
}

/// Guards against orders of a claimant that stays cut off from the log for more than two handover delays after a claim that the log
/// acknowledged and lost, while another VM holds the zone.
#[tokio::test]
async fn claimant_cut_off_from_the_log_issues_no_orders_by_a_lost_claim() {
    let log = KeyedLog::start().await.expect("a log");
    let engine = RawTarget::start(good_answer).await.expect("an engine");
    log.put(OPERATORS, "config", Some(&config_json(1)));
    let text = target_entry("scribe", engine.address, "ready", &["a1@1"]);
    log.put(TARGETS, "e-1", Some(&text));
    let lease = |vm: &str, era: u64| {
        let lease = json!({ "vm": vm, "incarnation": 9, "address": "127.0.0.1:9", "era": era });
        lease.to_string()
    };
    log.put("keyed.fleet", "zone/hall", Some(&lease("vm-8", 1)));
    log.restore(&[]);
    let relay = LinkRelay::start().await.expect("a relay");
    relay.set_target(log.address());
    let mut settings = strict_revocation_settings("vm-1", &log);
    settings.revocation = None;
    settings.platform_address = relay.address;
    settings.leases.handover_delay = Duration::from_secs(1);
    settings.has_order_fencing = true;
    let vm = DirectDaemon::start(settings)
        .await
        .expect("the daemon starts");
    wait_for("the claim", async || {
        let lease = vm.fleet().lease(&vm.fleet().zone);
        lease.is_some_and(|lease| lease.incarnation == vm.fleet().incarnation)
    })
    .await;
    relay.set_state(LinkState::Cut);
    let claimed = Instant::now();
    log.restore(&[("keyed.fleet", log.len("keyed.fleet") - 1)]);
    log.put("keyed.fleet", "zone/hall", Some(&lease("vm-9", 3)));
    let mut number = 0;
    let mut first_order = None;
    while first_order.is_none() && claimed.elapsed() < Duration::from_secs(5) {
        number += 1;
        let model = "Hoplanding-Model: base/b1\r\nHoplanding-Token-Count: 100,20\r\n";
        let request = post_request("/plan/1", &format!("n{number}"), model);
        let sending = send_request(vm.caller_address, &request);
        let _ = timeout(Duration::from_millis(200), sending).await;
        let requests = engine.requests();
        let order = requests.iter().find(|request| {
            let line = request.request_line();
            line.starts_with("POST /hoplanding/")
        });
        first_order = order.map(|order| (claimed.elapsed(), order.request_line().to_owned()));
    }
    assert_eq!(first_order, None, "an order by a lost claim");
}
