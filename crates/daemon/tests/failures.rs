//! Failure tests over real sockets: killed daemons, broken and frozen links, log outages and lost answers.
//!
//! docs/FAILURES.md lists the failure cases.

use hoplanding_standins::{
    engine::{EngineModel, expected_completion},
    relay::LinkState,
};
use hoplanding_testbed::{
    CompletionCall, LoadConfig, SiteConfig, TestSite, run_load,
    site::{BATCH_TOKEN, NORMAL_TOKEN, URGENT_TOKEN},
};
use serde_json::json;
use std::time::Duration;
use tokio::{task::JoinSet, time::sleep};

fn call(model: &str, tokens: usize) -> CompletionCall {
    CompletionCall {
        model: model.to_owned(),
        prompt: "berthing plan".to_owned(),
        tokens,
        stream: true,
    }
}

fn slow_steps() -> EngineModel {
    EngineModel {
        step_us: 8000,
        ..EngineModel::default()
    }
}

/// Returns the VM that holds a target, as shown by the daemon on `vm`.
async fn holder_of(site: &TestSite, vm: &str, target: &str) -> String {
    let shown = site
        .execute_statement(vm, &format!("show targets where target = \"{target}\""))
        .await
        .expect("rows");
    let row = &shown["table"]["rows"][0];
    row[4].as_str().unwrap_or_default().to_owned()
}

/// Polls every 25 ms for up to 600 times, which is at least 15 s.
async fn wait_for(what: &str, mut done: impl AsyncFnMut() -> bool) {
    for _ in 0..600 {
        if done().await {
            return;
        }
        sleep(Duration::from_millis(25)).await;
    }
    panic!("{what}: not reached within 600 polls of 25 ms");
}

/// A killed holder must not end the streams of its targets: gateways resume them under the next holder,
/// and the leases of the killed daemon are settled.
#[tokio::test(flavor = "multi_thread")]
async fn killed_holder_streams_resume_and_targets_are_taken_over() {
    let mut config = SiteConfig::with_zones(1, 2, 2, 12);
    config.model = slow_steps();
    let mut site = TestSite::start(config).await.expect("the site starts");
    let target = "engine-a1";
    let holder = holder_of(&site, "a1", target).await;
    let gateway = if holder == "a1" { "a2" } else { "a1" };
    let caller = site.caller(gateway, NORMAL_TOKEN);
    // These adapters have their home on the target whose holder is killed.
    let mut streams = JoinSet::new();
    for number in 0..6 {
        let caller = caller.clone();
        streams.spawn(async move {
            let model = format!("adapter-{number:04}");
            let result = caller.complete(&call(&model, 150)).await;
            (model, result)
        });
    }
    sleep(Duration::from_millis(700)).await;
    site.kill_daemon(&holder);
    site.platform.remove_vm(&holder);
    while let Some(ended) = streams.join_next().await {
        let (model, result) = ended.expect("no task panics");
        assert_eq!(result.error, None, "{}", result.message);
        assert_eq!(
            result.text,
            expected_completion(&format!("{model}@v1"), "berthing plan", 150)
        );
    }
    site.wait_until_serving(Duration::from_secs(15))
        .await
        .expect("every target has a holder again");
    assert_eq!(holder_of(&site, gateway, target).await, gateway);
    wait_for("settling", async || {
        let shown = site
            .execute_statement(gateway, "show targets where predecessors > 0")
            .await
            .expect("rows");
        shown["table"]["rows"].as_array().is_some_and(Vec::is_empty)
    })
    .await;
    assert!(site.violations().is_empty(), "{:?}", site.violations());
}

/// A link that breaks between gateway and holder must not lose or repeat tokens of a stream.
/// The link is cut three times for 60 ms during one stream.
#[tokio::test(flavor = "multi_thread")]
async fn streams_survive_a_broken_peer_link() {
    let mut config = SiteConfig::with_zones(1, 2, 1, 4);
    config.relays = true;
    config.model = slow_steps();
    let site = TestSite::start(config).await.expect("the site starts");
    let holder = holder_of(&site, "a1", "engine-a1").await;
    let gateway = if holder == "a1" { "a2" } else { "a1" };
    let caller = site.caller(gateway, NORMAL_TOKEN);
    let stream = tokio::spawn(async move { caller.complete(&call("adapter-0001", 120)).await });
    for _ in 0..3 {
        sleep(Duration::from_millis(250)).await;
        site.set_link_state("a1", "a2", LinkState::Cut);
        sleep(Duration::from_millis(60)).await;
        site.set_link_state("a1", "a2", LinkState::Open);
    }
    let result = stream.await.expect("no task panics");
    assert_eq!(
        result.text,
        expected_completion("adapter-0001@v1", "berthing plan", 120),
        "{}",
        result.message
    );
    assert!(site.violations().is_empty(), "{:?}", site.violations());
}

/// A zone without links to the other zone and to the log must serve its own callers, refuse changes, and apply
/// the changes that it missed once the partition ends.
#[tokio::test(flavor = "multi_thread")]
async fn partitioned_zone_keeps_serving_and_recovers() {
    let mut config = SiteConfig::with_zones(2, 2, 2, 8);
    config.relays = true;
    let site = TestSite::start(config).await.expect("the site starts");
    for number in 0..8 {
        let result = site
            .caller("b1", NORMAL_TOKEN)
            .complete(&call(&format!("adapter-{number:04}"), 4))
            .await;
        assert!(result.is_complete, "{}", result.message);
    }
    site.set_zone_partitioned("zone-b", true);
    sleep(Duration::from_millis(900)).await;
    for vm in ["a1", "b1", "b2"] {
        for number in 0..4 {
            let result = site
                .caller(vm, NORMAL_TOKEN)
                .complete(&call(&format!("adapter-{number:04}"), 4))
                .await;
            assert!(
                result.is_complete,
                "{vm}: {} {}",
                result.status, result.message
            );
        }
    }
    let refused = site
        .execute_statement("b1", "create adapter new-one")
        .await
        .expect_err("the log is out of reach");
    assert!(refused.contains("log is out of reach"), "{refused}");
    site.execute_statement("a1", "create adapter new-one version v1")
        .await
        .expect("the connected zone accepts changes");
    site.set_zone_partitioned("zone-b", false);
    wait_for("the change in the healed zone", async || {
        let shown = site
            .execute_statement("b2", "show adapters where adapter = new-one")
            .await
            .expect("rows");
        shown["table"]["rows"]
            .as_array()
            .is_some_and(|rows| rows.len() == 1)
    })
    .await;
    site.wait_until_serving(Duration::from_secs(15))
        .await
        .expect("every target is served");
    assert!(site.violations().is_empty(), "{:?}", site.violations());
}

/// An outage of the log must neither fail requests nor move leases; changes work again after it.
#[tokio::test(flavor = "multi_thread")]
async fn requests_and_leases_survive_a_log_outage() {
    let mut config = SiteConfig::with_zones(1, 2, 2, 30);
    config.load_time = Duration::from_millis(10);
    let site = TestSite::start(config).await.expect("the site starts");
    let before = [
        holder_of(&site, "a1", "engine-a1").await,
        holder_of(&site, "a1", "engine-a2").await,
    ];
    site.platform
        .set_faults(|faults| faults.is_unavailable = true);
    let load = LoadConfig {
        requests: 150,
        concurrency: 16,
        skew: 1.2,
        seed: 3,
        progress: false,
    };
    let report = run_load(&site, &load).await;
    assert!(report.is_clean(), "{report}\n{:?}", report.failed);
    assert!(report.answered >= 140, "{report}");
    let after = [
        holder_of(&site, "a1", "engine-a1").await,
        holder_of(&site, "a1", "engine-a2").await,
    ];
    assert_eq!(before, after);
    site.platform
        .set_faults(|faults| faults.is_unavailable = false);
    wait_for("a change after the outage", async || {
        site.execute_statement("a1", "keep adapter adapter-0001 ready")
            .await
            .is_ok()
    })
    .await;
}

/// A change whose append succeeded without an answer must be accepted and must take effect once.
#[tokio::test(flavor = "multi_thread")]
async fn change_with_lost_append_answer_is_read_back_once() {
    let site = TestSite::start(SiteConfig::with_zones(1, 2, 1, 2))
        .await
        .expect("the site starts");
    site.platform.set_faults(|faults| faults.lost_responses = 1);
    site.execute_statement("a1", "create adapter found-again version v1")
        .await
        .expect("read back though its answer was lost");
    site.execute_statement("a1", "create adapter found-later version v1")
        .await
        .expect("a change after it");
    let rows_of = async |adapter: &str| {
        let query = format!("show changes where text like \"*{adapter}*\"");
        let shown = site.execute_statement("a2", &query).await.expect("rows");
        shown["table"]["rows"].as_array().map(Vec::len)
    };
    // The other daemon reads the log on its own, and has read the first change once it knows the second.
    wait_for("the second change at the other daemon", async || {
        rows_of("found-later").await == Some(1)
    })
    .await;
    assert_eq!(
        rows_of("found-again").await,
        Some(1),
        "the change took effect not exactly once"
    );
}

/// Two changes based on the same revision must not overwrite each other: the second one is refused with its reason.
#[tokio::test(flavor = "multi_thread")]
async fn concurrent_conflicting_changes_report_the_conflict() {
    let site = TestSite::start(SiteConfig::with_zones(1, 2, 1, 2))
        .await
        .expect("the site starts");
    site.execute_statement(
        "a1",
        "publish version v2 of adapter-0000; publish version v3 of adapter-0000",
    )
    .await
    .expect("published");
    sleep(Duration::from_millis(200)).await;
    // Slow appends make both changes start from the same revision.
    site.platform
        .set_faults(|faults| faults.append_delay = Duration::from_millis(200));
    let (one, two) = tokio::join!(
        site.execute_statement("a1", "make current version v2 of adapter-0000"),
        site.execute_statement("a2", "make current version v3 of adapter-0000"),
    );
    let (won, lost) = if one.is_ok() { (one, two) } else { (two, one) };
    assert!(won.is_ok(), "{won:?}");
    let message = lost.expect_err("one of two conflicting changes loses");
    assert!(
        message.contains("was changed at offset") && message.contains("repeat your command"),
        "{message}"
    );
    site.platform
        .set_faults(|faults| faults.append_delay = Duration::ZERO);
    wait_for("the same current version on both daemons", async || {
        let mut currents = Vec::new();
        for vm in ["a1", "a2"] {
            let shown = site
                .execute_statement(vm, "show adapters where adapter = adapter-0000")
                .await
                .expect("rows");
            currents.push(shown["table"]["rows"][0][1].clone());
        }
        currents[0] == currents[1]
    })
    .await;
}

/// An engine loses its adapters by a restart. Holders must detect that, serve requests again and preload adapters.
#[tokio::test(flavor = "multi_thread")]
async fn restarted_engine_is_detected_and_reloaded() {
    let mut config = SiteConfig::with_zones(1, 1, 2, 6);
    config.load_time = Duration::from_millis(10);
    let site = TestSite::start(config).await.expect("the site starts");
    let caller = site.caller("a1", NORMAL_TOKEN);
    for round in 0..3 {
        for number in 0..6 {
            let result = caller
                .complete(&call(&format!("adapter-{number:04}"), 3))
                .await;
            assert!(result.is_complete, "round {round}: {}", result.message);
        }
        site.engines
            .values()
            .for_each(hoplanding_standins::engine::EngineStandin::restart);
    }
    // Adapters are preloaded without a request for them.
    wait_for("preloading", async || {
        site.engines
            .values()
            .any(|engine| !engine.loaded().is_empty())
    })
    .await;
    assert!(site.violations().is_empty(), "{:?}", site.violations());
}

/// A failing load must refuse the waiting requests as not run, and must be retried after its backoff.
#[tokio::test(flavor = "multi_thread")]
async fn failed_loads_back_off_and_refuse_requests_as_not_run() {
    let site = TestSite::start(SiteConfig::with_zones(1, 1, 1, 3))
        .await
        .expect("the site starts");
    let engine = &site.engines["engine-a1"];
    engine.set_faults(|faults| faults.fail_loads = 3);
    let result = site
        .caller("a1", NORMAL_TOKEN)
        .complete(&call("adapter-0001", 3))
        .await;
    assert_eq!(
        result.error.as_deref(),
        Some("not_run"),
        "{}",
        result.message
    );
    assert!(result.has_retry_after);
    assert_eq!(
        engine.stats().ran,
        0,
        "a request refused as not run was not run"
    );
    wait_for("the load after its backoff", async || {
        site.caller("a1", NORMAL_TOKEN)
            .complete(&call("adapter-0001", 3))
            .await
            .is_complete
    })
    .await;
}

/// A request whose engine restarts during its run is repeated. If the repeat is refused because loads fail,
/// the request must be reported as failed, since its first attempt ran.
#[tokio::test(flavor = "multi_thread")]
async fn request_that_ran_is_not_reported_as_not_run() {
    let mut config = SiteConfig::with_zones(1, 1, 1, 3);
    // The first step takes 3 s, so that no token arrives before the restart and the request may be repeated.
    config.model = EngineModel {
        step_us: 3_000_000,
        ..EngineModel::default()
    };
    let site = TestSite::start(config).await.expect("the site starts");
    let engine = &site.engines["engine-a1"];
    let caller = site.caller("a1", NORMAL_TOKEN);
    let answer = tokio::spawn(async move { caller.complete(&call("adapter-0001", 3)).await });
    wait_for("the first run", async || engine.stats().ran == 1).await;
    engine.set_faults(|faults| faults.fail_loads = 100);
    engine.restart();
    let result = answer.await.expect("no task panics");
    assert_eq!(engine.stats().ran, 1);
    assert_eq!(
        result.error.as_deref(),
        Some("failed"),
        "{}",
        result.message
    );
}

/// A load whose answer is lost must not block its target: a later listing shows whether the adapter is loaded.
#[tokio::test(flavor = "multi_thread")]
async fn lost_order_answers_are_resolved_by_a_listing() {
    let mut config = SiteConfig::with_zones(1, 1, 2, 10);
    config.load_time = Duration::from_millis(10);
    let site = TestSite::start(config).await.expect("the site starts");
    for engine in site.engines.values() {
        engine.set_faults(|faults| faults.lost_order_responses = 1);
    }
    let caller = site.caller("a1", NORMAL_TOKEN);
    wait_for("an answer after lost ones", async || {
        caller.complete(&call("adapter-0003", 3)).await.is_complete
    })
    .await;
    assert!(site.violations().is_empty(), "{:?}", site.violations());
}

/// A stream that breaks between engine and holder must be resumed without lost or repeated tokens.
#[tokio::test(flavor = "multi_thread")]
async fn broken_streams_are_resumed_without_a_gap() {
    let site = TestSite::start(SiteConfig::with_zones(1, 2, 2, 4))
        .await
        .expect("the site starts");
    for engine in site.engines.values() {
        engine.set_faults(|faults| faults.break_streams = 3);
    }
    for vm in ["a1", "a2"] {
        for _ in 0..3 {
            let result = site
                .caller(vm, NORMAL_TOKEN)
                .complete(&call("adapter-0002", 20))
                .await;
            assert_eq!(
                result.text,
                expected_completion("adapter-0002@v1", "berthing plan", 20),
                "{}",
                result.message
            );
        }
    }
}

/// A target must get no new requests once an operator drains it, the VM list marks it as leaving, or the target itself
/// announces that it leaves.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_target_gets_no_new_requests() {
    let site = TestSite::start(SiteConfig::with_zones(1, 2, 2, 6))
        .await
        .expect("the site starts");
    let caller = site.caller("a1", NORMAL_TOKEN);
    // Sources in turn: an operator, the VM list, the target itself.
    for source in 0..3 {
        match source {
            0 => {
                site.execute_statement("a2", "drain target engine-a1")
                    .await
                    .expect("drained");
            }
            1 => site
                .platform
                .upsert_vm("engine-a1", "zone-a", "", "leaving"),
            _ => site.engines["engine-a1"].set_faults(|faults| faults.leaving = true),
        }
        wait_for("the drain", async || {
            let shown = site
                .execute_statement("a1", "show targets where target = engine-a1")
                .await
                .expect("rows");
            matches!(
                shown["table"]["rows"][0][3].as_str(),
                Some("draining" | "leaving")
            )
        })
        .await;
        sleep(Duration::from_millis(200)).await;
        let before = site.engines["engine-a1"].stats().ran;
        for number in 0..6 {
            let result = caller
                .complete(&call(&format!("adapter-{number:04}"), 3))
                .await;
            assert_eq!(result.target, "engine-a2", "{}", result.message);
        }
        assert_eq!(site.engines["engine-a1"].stats().ran, before);
        match source {
            0 => {
                site.execute_statement("a2", "undrain target engine-a1")
                    .await
                    .expect("undrained");
            }
            1 => site.platform.remove_vm("engine-a1"),
            _ => {}
        }
        sleep(Duration::from_millis(300)).await;
    }
}

/// A planned stop must hand over all targets, and each open request must complete or be refused as not run.
#[tokio::test(flavor = "multi_thread")]
async fn planned_stop_interrupts_no_request() {
    let mut config = SiteConfig::with_zones(1, 3, 3, 12);
    config.model = slow_steps();
    let mut site = TestSite::start(config).await.expect("the site starts");
    let mut streams = JoinSet::new();
    for (number, vm) in ["a1", "a2", "a3"].into_iter().cycle().take(18).enumerate() {
        let caller = site.caller(vm, BATCH_TOKEN);
        streams.spawn(async move {
            let model = format!("adapter-{:04}", number % 4);
            let result = caller.complete(&call(&model, 100)).await;
            (model, result)
        });
    }
    sleep(Duration::from_millis(500)).await;
    let report = site.stop_daemon("a2").await.expect("the daemon ran");
    assert_eq!((report.open_requests, report.remaining_targets), (0, 0));
    while let Some(ended) = streams.join_next().await {
        let (model, result) = ended.expect("no task panics");
        let is_refused_as_not_run = result.error.as_deref() == Some("not_run");
        assert!(
            is_refused_as_not_run
                || result.text == expected_completion(&format!("{model}@v1"), "berthing plan", 100),
            "{:?} {}",
            result.error,
            result.message
        );
    }
    site.wait_until_serving(Duration::from_secs(15))
        .await
        .expect("every target has a holder again");
    assert!(site.violations().is_empty(), "{:?}", site.violations());
}

/// A holder that was isolated does not know of the takeover and still sends loads and requests.
/// Targets must stay consistent while two daemons use them, and the old leases must settle afterwards.
#[tokio::test(flavor = "multi_thread")]
async fn isolated_former_holder_does_not_violate_invariants() {
    let mut config = SiteConfig::with_zones(1, 2, 2, 16);
    config.relays = true;
    config.load_time = Duration::from_millis(10);
    let site = TestSite::start(config).await.expect("the site starts");
    // Frozen links and no access to the log look to the peers like a paused daemon.
    let holder = holder_of(&site, "a1", "engine-a1").await;
    let other = if holder == "a1" { "a2" } else { "a1" };
    site.set_link_state("a1", "a2", LinkState::Frozen);
    site.platform.set_faults(|faults| {
        faults.partitioned_vms.insert(holder.clone());
    });
    wait_for("the takeover", async || {
        let shown = site
            .execute_statement(other, "show targets here where state = serving")
            .await
            .expect("rows");
        shown["table"]["rows"]
            .as_array()
            .is_some_and(|rows| rows.len() >= 3)
    })
    .await;
    // Both daemons act as holders of the same targets.
    let (one, two) = (
        site.caller(&holder, URGENT_TOKEN),
        site.caller(other, URGENT_TOKEN),
    );
    for number in 0..8 {
        let call = call(&format!("adapter-{number:04}"), 6);
        let (first, second) = tokio::join!(one.complete(&call), two.complete(&call));
        for result in [first, second] {
            let is_valid = result.is_complete || result.error.as_deref() == Some("not_run");
            assert!(is_valid, "adapter {number}: {result:?}");
        }
    }
    site.set_link_state("a1", "a2", LinkState::Open);
    site.platform
        .set_faults(|faults| faults.partitioned_vms.clear());
    site.wait_until_serving(Duration::from_secs(15))
        .await
        .expect("healed");
    wait_for("settling", async || {
        let shown = site
            .execute_statement(other, "show targets where predecessors > 0")
            .await
            .expect("rows");
        shown["table"]["rows"].as_array().is_some_and(Vec::is_empty)
    })
    .await;
    assert!(site.violations().is_empty(), "{:?}", site.violations());
}

/// A daemon that starts after its records expired must recover from the snapshot of a peer, or from one in the log
/// if no daemon is running.
#[tokio::test(flavor = "multi_thread")]
async fn daemons_recover_from_snapshots_after_log_expiry() {
    let mut config = SiteConfig::with_zones(1, 2, 1, 40);
    config.overrides = json!({ "snapshot_every": 10 });
    let mut site = TestSite::start(config).await.expect("the site starts");
    // Recovery from a peer: the log has no records left.
    site.kill_daemon("a2");
    site.platform.expire_all();
    site.start_daemon("a2").await.expect("started");
    site.wait_until_serving(Duration::from_secs(15))
        .await
        .expect("every target is served");
    let shown = site
        .execute_statement("a2", "show adapters here")
        .await
        .expect("rows");
    assert_eq!(shown["table"]["rows"].as_array().map(Vec::len), Some(40));
    // Recovery from the log: it has a snapshot, and no daemon is running.
    for number in 0..14 {
        site.execute_statement("a1", &format!("create adapter later-{number} version v1"))
            .await
            .expect("created");
    }
    wait_for("a snapshot", async || {
        site.platform
            .records()
            .iter()
            .any(|(_, record)| record["kind"] == "snapshot")
    })
    .await;
    site.kill_daemon("a1");
    site.kill_daemon("a2");
    site.start_daemon("a1").await.expect("started");
    site.start_daemon("a2").await.expect("started");
    site.wait_until_serving(Duration::from_secs(15))
        .await
        .expect("every target is served");
    let shown = site
        .execute_statement("a2", "show adapters here")
        .await
        .expect("rows");
    assert_eq!(shown["table"]["rows"].as_array().map(Vec::len), Some(54));
}
