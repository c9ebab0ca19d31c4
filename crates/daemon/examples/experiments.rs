//! Experiments behind docs/MEASUREMENTS.md, each on a site with stand-ins and real daemons:
//!
//! - `in-force`: time until a change is active at all daemons, with a normal, slow and just recovered log
//! - `start`: start of a daemon without local state, from the log or from a peer's snapshot
//! - `once`: at-most-once calls while daemons crash
//! - `kill`: takeover of a killed holder's targets, with streams open
//!
//! `cargo run --release --example experiments -- all`

use gumdrop::Options;
use hoplanding_standins::engine::{EngineModel, expected_completion};
use hoplanding_testbed::{
    CallerClient, CompletionCall, SiteConfig, TestSite,
    load::percentile,
    site::{NORMAL_TOKEN, OPERATOR_TOKEN, URGENT_TOKEN},
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use std::{
    collections::BTreeMap,
    io,
    sync::{Arc, Mutex},
    time::Duration,
};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};

#[derive(Options)]
struct ExperimentArgs {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, help = "in-force, start, once, kill, or all")]
    names: Vec<String>,
}

#[tokio::main]
async fn main() -> io::Result<()> {
    let args = ExperimentArgs::parse_args_default_or_exit();
    let is_selected = |name: &str| {
        args.names
            .iter()
            .any(|selected| selected == name || selected == "all")
    };
    if is_selected("in-force") {
        change_latency().await?;
    }
    if is_selected("start") {
        start_without_state().await?;
    }
    if is_selected("kill") {
        holder_takeover().await?;
    }
    if is_selected("once") {
        at_most_once().await?;
    }
    Ok(())
}

fn print_times(name: &str, mut times: Vec<u64>) {
    times.sort_unstable();
    let ms_at = |share| percentile(&times, share) as f64 / 1000.0;
    println!(
        "{name:<44} p50 {:>8.1} ms  p99 {:>8.1} ms  ({} times)",
        ms_at(0.5),
        ms_at(0.99),
        times.len()
    );
}

/// Waits until a daemon has applied the log up to `offset`.
async fn wait_applied(caller: &CallerClient, offset: u64) {
    loop {
        if let Ok(answer) = caller.execute_statement("show lag here").await
            && answer["table"]["rows"][0][2].as_f64().unwrap_or(0.0) as u64 >= offset
        {
            return;
        }
        sleep(Duration::from_millis(1)).await;
    }
}

/// Times from an operator's statement until the change is active at all 7 daemons, in microseconds.
async fn measure_changes(site: &TestSite, count: usize, tag: &str) -> Vec<u64> {
    let callers: Vec<_> = site
        .daemons
        .keys()
        .map(|vm| site.caller(vm, OPERATOR_TOKEN))
        .collect();
    let mut times = Vec::new();
    for number in 0..count {
        let started_at = Instant::now();
        let answer = callers[number % callers.len()]
            .execute_statement(&format!("create adapter {tag}-{number} version v1"))
            .await;
        let Ok(answer) = answer else {
            println!("  statement failed: {answer:?}");
            continue;
        };
        let offset = answer["accepted"]["offset"].as_u64().unwrap_or(0);
        let mut waiters = JoinSet::new();
        for caller in callers.clone() {
            waiters.spawn(async move { wait_applied(&caller, offset).await });
        }
        while waiters.join_next().await.is_some() {}
        times.push(started_at.elapsed().as_micros() as u64);
    }
    times
}

async fn change_latency() -> io::Result<()> {
    let mut config = SiteConfig::with_zones(4, 2, 1, 10);
    config.daemons.truncate(7);
    let site = TestSite::start(config).await?;
    print_times(
        "in force at 7 daemons, log well",
        measure_changes(&site, 300, "well").await,
    );
    site.platform
        .set_faults(|faults| faults.append_delay = Duration::from_millis(500));
    print_times(
        "in force at 7 daemons, appends take 500 ms",
        measure_changes(&site, 20, "slow").await,
    );
    site.platform.set_faults(|faults| {
        faults.append_delay = Duration::ZERO;
        faults.is_unavailable = true;
    });
    sleep(Duration::from_secs(2)).await;
    site.platform
        .set_faults(|faults| faults.is_unavailable = false);
    print_times(
        "in force at 7 daemons, just after an outage",
        measure_changes(&site, 20, "back").await,
    );
    Ok(())
}

async fn start_without_state() -> io::Result<()> {
    let mut site = TestSite::start(SiteConfig::with_zones(1, 2, 1, 37_000)).await?;
    let log_bytes = site.platform.append_totals().2;
    let mut times = Vec::new();
    for round in 0..10 {
        site.kill_daemon("a2");
        if round >= 5 {
            // With the log expired, the peer's snapshot is the only source.
            site.platform.expire_all();
        }
        let started_at = Instant::now();
        site.start_daemon("a2").await?;
        let caller = site.caller("a2", OPERATOR_TOKEN);
        loop {
            if site.daemons["a2"].is_ready().await
                && let Ok(answer) = caller.execute_statement("show lag here").await
                && answer["table"]["rows"][0][6].as_f64() == Some(37_000.0)
            {
                break;
            }
            sleep(Duration::from_millis(2)).await;
        }
        times.push(started_at.elapsed().as_micros() as u64);
    }
    println!("log of 37,000 adapters                       {log_bytes} B");
    print_times("start from the log, 37,000 adapters", times[..5].to_vec());
    print_times("start from a peer, 37,000 adapters", times[5..].to_vec());
    Ok(())
}

async fn holder_takeover() -> io::Result<()> {
    let (mut times, mut saved, mut lost) = (Vec::new(), 0, 0);
    for _ in 0..8 {
        let mut config = SiteConfig::with_zones(1, 3, 3, 12);
        config.model = EngineModel {
            step_us: 8000,
            ..EngineModel::default()
        };
        let mut site = TestSite::start(config).await?;
        let shown = site
            .execute_statement("a1", "show targets where target = engine-a1")
            .await
            .map_err(io::Error::other)?;
        let holder = shown["table"]["rows"][0][4]
            .as_str()
            .unwrap_or_default()
            .to_owned();
        let gateways: Vec<_> = site
            .daemons
            .keys()
            .filter(|vm| **vm != holder)
            .cloned()
            .collect();
        let mut streams = JoinSet::new();
        for number in 0..24 {
            let caller = site.caller(&gateways[number % gateways.len()], NORMAL_TOKEN);
            let call = CompletionCall {
                model: format!("adapter-{:04}", number % 8),
                prompt: format!("plan {number}"),
                tokens: 150,
                stream: true,
            };
            streams.spawn(async move {
                let result = caller.complete(&call).await;
                result.text == expected_completion(&format!("{}@v1", call.model), &call.prompt, 150)
            });
        }
        sleep(Duration::from_millis(800)).await;
        let started_at = Instant::now();
        site.kill_daemon(&holder);
        site.platform.remove_vm(&holder);
        site.wait_until_served(4, Duration::from_secs(20)).await?;
        // `wait_until_served` ends with a pause of 150 ms.
        times.push(started_at.elapsed().as_micros() as u64 - 150_000);
        while let Some(Ok(complete)) = streams.join_next().await {
            if complete { saved += 1 } else { lost += 1 }
        }
        assert!(site.violations().is_empty(), "{:?}", site.violations());
    }
    print_times("killed holder's targets served again", times);
    println!("streams open at the kill                     saved {saved}, lost {lost}");
    Ok(())
}

/// Sends one call with an idempotency token through random daemons, until it is answered, its outcome is unknown or it has
/// been tried 12 times. Returns the outcome.
async fn call_with_retries(
    bases: Arc<Mutex<BTreeMap<String, String>>>,
    number: usize,
) -> &'static str {
    let mut random = StdRng::seed_from_u64(number as u64);
    let mut random_base = || {
        let bases = bases
            .lock()
            .expect("no thread panics while it holds the lock");
        let index = random.random_range(0..bases.len().max(1));
        bases.values().nth(index).cloned()
    };
    let client = CallerClient::new("", "");
    let body = format!("call {number}");
    let mut token = None;
    let mut outcome = "no attempt possible";
    for _ in 0..12 {
        let Some(base) = random_base() else {
            sleep(Duration::from_millis(50)).await;
            continue;
        };
        let caller = client.with_endpoint(&base, URGENT_TOKEN);
        if token.is_none() {
            token = caller.issue_token().await;
        }
        let Some(key) = &token else {
            sleep(Duration::from_millis(20)).await;
            continue;
        };
        let result = caller.post_scan(&body, Some(key)).await;
        match result.error.as_deref() {
            None if result.is_complete => return "answered",
            Some("outcome_unknown") => return "outcome unknown",
            Some("not_run") => outcome = "not run",
            _ => outcome = "no answer to the last attempt",
        }
        sleep(Duration::from_millis(40)).await;
    }
    outcome
}

async fn at_most_once() -> io::Result<()> {
    for is_log_out in [false, true] {
        let mut site = TestSite::start(SiteConfig::with_zones(2, 3, 1, 2)).await?;
        site.execute_statement(
            "a1",
            "set quota of urgent-desk to 100000 per second waiting 100000",
        )
        .await
        .map_err(io::Error::other)?;
        let bases = Arc::new(Mutex::new(BTreeMap::new()));
        let update_bases = |site: &TestSite| {
            let urls = site.daemons.keys().map(|vm| (vm.clone(), site.url(vm)));
            *bases
                .lock()
                .expect("no thread panics while it holds the lock") = urls.collect();
        };
        update_bases(&site);
        site.platform
            .set_faults(|faults| faults.is_unavailable = is_log_out);
        let outcomes = Arc::new(Mutex::new(BTreeMap::new()));
        let mut calls = JoinSet::new();
        let mut random = StdRng::seed_from_u64(11);
        let vms: Vec<_> = site.daemons.keys().cloned().collect();
        let mut crashes = 0;
        for number in 0..10_000 {
            let (bases, outcomes) = (Arc::clone(&bases), Arc::clone(&outcomes));
            calls.spawn(async move {
                let outcome = call_with_retries(bases, number).await;
                *outcomes
                    .lock()
                    .expect("no thread panics while it holds the lock")
                    .entry(outcome)
                    .or_insert(0) += 1;
            });
            if number % 10 == 9 {
                sleep(Duration::from_millis(8)).await;
            }
            if number % 400 == 399 {
                site.services
                    .values()
                    .for_each(|service| service.set_faults(|faults| faults.lost_responses = 2));
            }
            // During a log outage a restarted daemon can't become a holder, so crashes are fewer.
            if number % if is_log_out { 4000 } else { 800 } == 799 {
                let vm = &vms[random.random_range(0..vms.len())];
                site.kill_daemon(vm);
                update_bases(&site);
                sleep(Duration::from_millis(30)).await;
                site.start_daemon(vm).await?;
                update_bases(&site);
                crashes += 1;
            }
        }
        while calls.join_next().await.is_some() {}
        println!(
            "10,000 calls, {crashes} crashes, log {}: {:?}; run twice {}; run at all {}",
            if is_log_out { "out" } else { "well" },
            outcomes
                .lock()
                .expect("no thread panics while it holds the lock"),
            site.repeated_calls().len(),
            site.services
                .values()
                .map(hoplanding_standins::service::ServiceStandin::distinct_calls)
                .sum::<usize>()
        );
    }
    Ok(())
}
