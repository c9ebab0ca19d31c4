//! Transfers of KV cache between engines, and the version of the weights that computed it.
//!
//! The tests guard against answers that are partly computed from the weights of another version, which callers cannot
//! notice. The cause is as follows: several engines have an adapter, and a new version of it is published. Copies
//! without calls are replaced at once, a copy in use is kept until its calls end. The next call goes to a new copy and
//! is instructed to fetch the shared part of its prompt from the engine that has most of it. If the holder tracks
//! the cache by the adapter's name alone and transfers carry no version, that may be the engine with the old copy.

use crate::{
    engine_simulator::EngineSimulator,
    support::{
        Answer, HOST, TEST_TIMEOUT, send_request, start_daemon_with, start_second_vm, target_entry,
        vm_settings, wait_for,
    },
};
use hoplanding_core::ids::AdapterName;
use hoplanding_standins::{
    keyed_log::KeyedLog, prompt_cache::CacheMismatch, raw_target::RawTarget,
};
use hoplandingd::direct::daemon::DirectDaemon;
use serde_json::json;
use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::Duration,
};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};

/// Tokens that all prompts share. Processing them takes a quarter of a second, so that a transfer is worthwhile.
const SHARED_TOKENS: u32 = 6_300;
/// Tokens that are unique to a prompt.
const OWN_TOKENS: u32 = 200;
/// Tokens of an answer that keeps its copy in use for four seconds.
const LONG_ANSWER: u32 = 200;
/// Tokens of an answer that keeps its copy in use for a second.
const MEDIUM_ANSWER: u32 = 50;
const SHORT_ANSWER: u32 = 3;

/// A call for adapter a1 whose prompt shares its first tokens with all others.
fn request(number: u32, tokens: u32) -> String {
    let prompt = SHARED_TOKENS + OWN_TOKENS;
    format!(
        "POST /plan/1 HTTP/1.1\r\nHost: {HOST}\r\nHoplanding-Request-Id: r{number}\r\n\
         Hoplanding-Deadline-Ms: 5000\r\nHoplanding-Model: base/a1\r\n\
         Hoplanding-Token-Count: {prompt},{tokens}\r\n\
         Hoplanding-Prompt-Prefix: 5a:{SHARED_TOKENS},{:x}:{OWN_TOKENS}\r\nContent-Length: 4\r\n\r\nbody",
        number + 0x100
    )
}

/// Retries a call until it is served, as callers do after a `Retry-After`.
async fn request_until_served(address: SocketAddr, number: u32, tokens: u32) -> Answer {
    let until = Instant::now() + TEST_TIMEOUT;
    loop {
        let answer = send_request(address, &request(number, tokens)).await;
        if answer.status == 200 {
            assert!(answer.is_whole, "{}", answer.head);
            return answer;
        }
        assert_eq!(answer.status, 503, "{}", answer.head);
        assert!(Instant::now() < until, "not served in time");
        sleep(TEST_TIMEOUT / 100).await;
    }
}

/// Publishes a version as the operator does.
fn publish_version(log: &KeyedLog, simulator: &EngineSimulator, version: u64) {
    simulator.set_newest(version);
    let record = json!({ "model": "base", "adapter": "a1", "version": version });
    log.put("keyed.op", "version/base.a1", Some(&record.to_string()));
}

/// Two engines with adapter a1 behind one VM.
struct EnginePair {
    log: KeyedLog,
    simulator: Arc<EngineSimulator>,
    daemon: DirectDaemon,
    _engines: [RawTarget; 2],
}

impl EnginePair {
    /// Both engines have version 1 of the adapter.
    async fn with_same_versions() -> Self {
        Self::start(1, &[("a1", 1)], &["a1@1"]).await
    }

    /// Both engines have version 1 of the adapter; the second one started later, with newer weights of the base model.
    async fn with_different_base_versions() -> Self {
        Self::start(7, &[("a1", 1)], &["a1@1"]).await
    }

    /// The first engine has version 1; the second one loads version 2 when it is ordered to, and no VM knows of version
    /// 2.
    async fn with_different_adapter_versions() -> Self {
        let pair = Self::start(1, &[], &[]).await;
        pair.simulator.set_newest(2);
        pair
    }

    /// The first engine has version 1 of the base model and of the adapter, the second one has the given versions.
    async fn start(base: u64, held: &[(&str, u64)], listed: &[&str]) -> Self {
        let log = KeyedLog::start().await.expect("a log");
        let simulator = EngineSimulator::new(1);
        let one = simulator.start_engine("i-1", 1, &[("a1", 1)]).await;
        let two = simulator.start_engine("i-2", base, held).await;
        // The default handover delay. A holder that may have been replaced names no source for transfers.
        let mut settings = vm_settings("vm-1", &log);
        settings.leases.handover_delay = Duration::from_secs(3);
        let daemon = start_daemon_with(settings, &log, &[("i-1", "scribe", one.address)]).await;
        let text = target_entry("scribe", two.address, "ready", listed);
        let text = text.replace("\"version\":1", &format!("\"version\":{base}"));
        log.put("keyed.servers", "i-2", Some(&text));
        wait_for("both engines", async || {
            let engines = daemon.fleet().tables().catalog.iter().count();
            engines == 2
        })
        .await;
        Self {
            log,
            simulator,
            daemon,
            _engines: [one, two],
        }
    }

    /// Adds calls with long answers, each once the previous one runs, until both engines have run one.
    async fn load_both_engines(&self) {
        const MOST: u32 = 15;
        let address = self.daemon.caller_address;
        request_until_served(address, 0, SHORT_ANSWER).await;
        let mut calls = JoinSet::new();
        for number in 1..=MOST {
            if self.engines_used() == 2 {
                break;
            }
            calls.spawn(request_until_served(address, number, LONG_ANSWER));
            wait_for("the next run", async || {
                self.simulator.runs().len() > number as usize
            })
            .await;
        }
        assert_eq!(self.engines_used(), 2, "{:?}", self.simulator.runs());
        calls.join_all().await;
    }

    fn engines_used(&self) -> usize {
        let runs = self.simulator.runs();
        let names: HashSet<_> = runs.iter().map(|run| &run.engine).collect();
        names.len()
    }
}

/// How the engine answers the order to replace a copy.
#[derive(Clone, Copy, PartialEq, Eq)]
enum OrderReply {
    Answered,
    Late,
}

/// Publishes a version while a long answer keeps one engine's copy in use: the other engine gets the new version and
/// the next call.
async fn replace_copy_during_long_answer(reply: OrderReply) -> Vec<CacheMismatch> {
    let pair = EnginePair::with_same_versions().await;
    let (simulator, address) = (&pair.simulator, pair.daemon.caller_address);
    request_until_served(address, 1, SHORT_ANSWER).await;
    let long = tokio::spawn(request_until_served(address, 2, LONG_ANSWER));
    wait_for("the long run", async || simulator.runs().len() == 2).await;
    let busy = simulator.runs()[1].engine.clone();
    let other = if busy == "i-1" { "i-2" } else { "i-1" };
    if reply == OrderReply::Late {
        simulator.delay_next_order();
    }
    publish_version(&pair.log, simulator, 2);
    wait_for("the new version", async || {
        simulator.version(other, "a1") == Some(2)
    })
    .await;
    assert_eq!(
        simulator.delayed_orders_done() > 0,
        reply == OrderReply::Late
    );
    request_until_served(address, 3, SHORT_ANSWER).await;
    let runs = simulator.runs();
    let last = (runs[2].engine.as_str(), runs[2].version);
    assert_eq!(last, (other, 2), "{runs:?}");
    assert_eq!(
        simulator.version(&busy, "a1"),
        Some(1),
        "a copy in use is not replaced"
    );
    long.await.expect("the call is served");
    simulator.mismatches()
}

/// Publishes a version while a call that is to fetch KV cache waits for a load on its own engine. The idle source
/// engine gets the new version and processes the same prompt for other calls, all before the waiting call reaches it.
async fn replace_cache_source() -> Arc<EngineSimulator> {
    /// Enough calls that some go to the source engine, although the fetching engine has their prompt too.
    const OTHERS: u32 = 16;
    let pair = EnginePair::start(1, &[], &[]).await;
    let (simulator, address) = (&pair.simulator, pair.daemon.caller_address);
    publish_version(&pair.log, simulator, 2);
    wait_for("version 2", async || {
        simulator.version("i-1", "a1") == Some(2)
    })
    .await;
    request_until_served(address, 0, SHORT_ANSWER).await;
    simulator.reject_next_request();
    let fetching_call = tokio::spawn(request_until_served(address, 1, SHORT_ANSWER));
    wait_for("its load", async || {
        simulator.version("i-2", "a1") == Some(2)
    })
    .await;
    publish_version(&pair.log, simulator, 3);
    let subject = AdapterName::new("base/a1");
    wait_for("version 3 at the VM", async || {
        pair.daemon.fleet().tables().versions.get(&subject) == Some(&3)
    })
    .await;
    let others = (2..2 + OTHERS).map(|number| request_until_served(address, number, SHORT_ANSWER));
    JoinSet::from_iter(others).join_all().await;
    fetching_call.await.expect("the call is served");
    pair.simulator
}

/// Version of the base model that an answer names.
fn base_version(answer: &Answer) -> Option<u64> {
    let head = answer.head.to_ascii_lowercase();
    head.lines().find_map(|line| {
        line.strip_prefix("hoplanding-weight-versions: ")?
            .parse()
            .ok()
    })
}

/// Callers that each send one call after another; collects the versions that the answers name, by request id.
struct CallerLoad {
    is_stopped: Arc<AtomicBool>,
    callers: JoinSet<Vec<(String, Option<u64>)>>,
}

impl CallerLoad {
    fn start(address: SocketAddr, callers: u32) -> Self {
        let is_stopped = Arc::new(AtomicBool::new(false));
        let next = Arc::new(AtomicU32::new(0));
        let tasks = (0..callers).map(|_| {
            let (is_stopped, next) = (Arc::clone(&is_stopped), Arc::clone(&next));
            async move {
                let mut named_versions = Vec::new();
                while !is_stopped.load(Ordering::Relaxed) {
                    let number = next.fetch_add(1, Ordering::Relaxed);
                    let is_medium = number.is_multiple_of(3);
                    let tokens = if is_medium {
                        MEDIUM_ANSWER
                    } else {
                        SHORT_ANSWER
                    };
                    let answer = request_until_served(address, number, tokens).await;
                    named_versions.push((format!("r{number}"), base_version(&answer)));
                }
                named_versions
            }
        });
        Self {
            callers: tasks.collect(),
            is_stopped,
        }
    }

    async fn end(self) -> HashMap<String, Option<u64>> {
        self.is_stopped.store(true, Ordering::Relaxed);
        let named_versions = self.callers.join_all().await;
        named_versions.into_iter().flatten().collect()
    }
}

/// Result of a series of versions.
struct SeriesResult {
    simulator: Arc<EngineSimulator>,
    /// Versions that answers named, by request id.
    named_versions: HashMap<String, Option<u64>>,
}

/// Publishes versions one after another while callers send calls. The first order of every second version is not
/// answered and carried out late. In the middle of the series the zone's holder stops, and another VM takes the lease
/// while such an order is pending.
async fn publish_version_series(pair: EnginePair) -> SeriesResult {
    const NEWEST: u64 = 7;
    const STOPS_AT: u64 = 4;
    let (second, _relay) = start_second_vm(&pair.log).await;
    let EnginePair {
        log,
        simulator,
        daemon,
        _engines,
    } = pair;
    let callers = CallerLoad::start(second.caller_address, 12);
    let mut first = Some(daemon);
    for version in 2..=NEWEST {
        let runs = simulator.runs().len();
        wait_for("calls between two versions", async || {
            simulator.runs().len() > runs + 25
        })
        .await;
        if version % 2 == 0 {
            simulator.delay_next_order();
        }
        publish_version(&log, &simulator, version);
        if version == STOPS_AT
            && let Some(first) = first.take()
        {
            wait_for("an order without an answer", async || {
                simulator.has_delayed_order()
            })
            .await;
            tokio::spawn(first.stop());
        }
    }
    wait_for("the newest version everywhere", async || {
        let is_newest = |name| simulator.version(name, "a1") == Some(NEWEST);
        is_newest("i-1") && is_newest("i-2")
    })
    .await;
    let named_versions = callers.end().await;
    assert!(
        simulator.delayed_orders_done() > 0,
        "no order was carried out late"
    );
    SeriesResult {
        simulator,
        named_versions,
    }
}

/// Guards against answers of version 2 that are partly computed from version 1's weights. Four cases: a copy in use
/// keeps the old version; the same with an order that the engine carries out late; the source of a transfer is replaced
/// before the fetching call starts; and a series of versions under constant load with late orders and a change of the
/// holder.
#[tokio::test]
async fn cache_of_an_older_version_is_not_used_after_a_version_change() {
    let (behind, late, lent, series) = tokio::join!(
        replace_copy_during_long_answer(OrderReply::Answered),
        replace_copy_during_long_answer(OrderReply::Late),
        replace_cache_source(),
        publish_version_series(EnginePair::with_same_versions().await)
    );
    let mismatches = [
        behind,
        late,
        lent.mismatches(),
        series.simulator.mismatches(),
    ];
    assert!(
        mismatches.iter().all(Vec::is_empty),
        "answered order, late order, replaced source, series: {mismatches:?}"
    );
}

/// Guards against the same fault where no version of the adapter was published. Calls fill one engine, and the next
/// call goes to another engine with different weights: either that engine was ordered to load the adapter without a
/// version and loaded the newest one of the store, or it started later, with newer weights of the base model. It comes
/// about if two unknown versions count as equal, if the base model's version is ignored, or if an engine is
/// instructed to fetch a cache without the version that computed it.
#[tokio::test]
async fn cache_of_unknown_versions_is_not_used() {
    let pairs = [
        EnginePair::with_different_adapter_versions().await,
        EnginePair::with_different_base_versions().await,
        EnginePair::with_same_versions().await,
    ];
    let [adapters, bases, same] = &pairs;
    tokio::join!(
        adapters.load_both_engines(),
        bases.load_both_engines(),
        same.load_both_engines()
    );
    let mismatches = pairs.each_ref().map(|pair| pair.simulator.mismatches());
    let runs = pairs.iter().flat_map(|pair| pair.simulator.runs());
    let unchecked: Vec<_> = runs
        .filter(|run| run.source.is_some() && run.expected.is_none())
        .collect();
    assert!(
        mismatches.iter().all(Vec::is_empty) && unchecked.is_empty(),
        "with different adapters, different base models, same versions: {mismatches:?}, transfers without a version: {unchecked:?}"
    );
}

/// Guards against transfers that no longer take place, which delays first events by a quarter of a second. Two engines
/// have the same version and calls fill one of them; the next call goes to the other engine, which fetches the shared
/// part of its prompt from the first.
#[tokio::test]
async fn cache_of_the_same_version_is_transferred() {
    let pair = EnginePair::with_same_versions().await;
    pair.load_both_engines().await;
    let runs = pair.simulator.runs();
    assert!(runs.iter().any(|run| run.source.is_some()), "{runs:?}");
    assert_eq!(pair.simulator.mismatches(), []);
}

/// Guards against answers that name another version than that of their run. A series of adapter versions is published
/// while the engines have different weights of the base model. Each run must use the adapter version that was requested
/// of its engine, and each answer must name the weights that computed it.
#[tokio::test]
async fn answers_name_their_weights_and_runs_use_the_requested_version() {
    let pair = EnginePair::with_different_base_versions().await;
    let SeriesResult {
        simulator,
        named_versions,
    } = publish_version_series(pair).await;
    let runs = simulator.runs();
    let asked: Vec<_> = runs.iter().filter_map(|run| run.expected).collect();
    assert!(asked.contains(&2) && asked.contains(&6), "{runs:?}");
    for run in runs {
        assert_eq!(named_versions[&run.id], Some(run.base), "{run:?}");
        assert_eq!(run.expected.unwrap_or(run.version), run.version, "{run:?}");
    }
}

/// Guards against calls that are rejected or wait while an engine with the new version is ready. A newer version is
/// published while a copy is being loaded. If only loaded copies are compared with the published version, calls for the
/// newer version are sent to the loading copy, and its engine rejects them.
#[tokio::test]
async fn no_call_is_sent_to_a_copy_that_is_loading_an_older_version() {
    let simulator = replace_cache_source().await;
    assert_eq!(
        simulator.misdirected_requests(),
        0,
        "{:?}",
        simulator.runs()
    );
}

/// Guards against a call that gets no answer until its deadline. The call waits for the replacement of a copy and the
/// order is not answered; the engine's report lists the copy as loaded and its new version as loading. If the second
/// entry is taken for another copy, the calls that use or wait for the first are lost.
#[tokio::test]
async fn call_waiting_for_a_copy_reported_twice_is_answered() {
    let pair = EnginePair::with_same_versions().await;
    let (simulator, address) = (&pair.simulator, pair.daemon.caller_address);
    let long = tokio::spawn(request_until_served(address, 0, LONG_ANSWER));
    wait_for("the long run", async || simulator.runs().len() == 1).await;
    simulator.use_slow_loads();
    simulator.delay_next_order();
    publish_version(&pair.log, simulator, 2);
    wait_for("an order without an answer", async || {
        simulator.has_delayed_order()
    })
    .await;
    request_until_served(address, 1, SHORT_ANSWER).await;
    assert!(
        !long.is_finished(),
        "the call was answered only after another one that ran for four seconds"
    );
}

/// Guards against calls for the base model that are rejected for as long as the engines run. New weights of the base
/// model are published, but running engines keep their weights. Calls that require the new version would never be
/// served.
#[tokio::test]
async fn base_model_calls_are_served_while_engines_keep_older_weights() {
    let pair = EnginePair::with_same_versions().await;
    let record = json!({ "model": "base", "version": 7 });
    pair.log
        .put("keyed.op", "version/base", Some(&record.to_string()));
    let subject = AdapterName::new("base");
    wait_for("the version at the VM", async || {
        pair.daemon.fleet().tables().versions.get(&subject) == Some(&7)
    })
    .await;
    let request = request(0, SHORT_ANSWER).replace("base/a1", "base");
    let answer = send_request(pair.daemon.caller_address, &request).await;
    assert_eq!(answer.status, 200, "{}", answer.head);
}
