//! Memory of prompts, and the version of the adapter that made it.
//!
//! What users saw: a request for an adapter ran under version 7 and used memory of its prompt that had been made under
//! version 1. Its caller got a whole answer, signed and in time, part of which was computed from other weights. Order
//! of events: the adapter is in demand, and stands on several engines; a new version of it is named; a copy that calls
//! use stays behind until they end, the others are replaced; the next call goes to a new copy, and is told to take its
//! prompt's shared part from the engine that has kept most of it. The cause is that the holder knows what engines have
//! kept by the adapter's name alone, and that nothing on the way between two engines says which version made it.

use crate::{
    engine_simulator::EngineSimulator,
    support::{
        Answer, HOST, TEST_TIMEOUT, send_request, start_daemon_with, start_second_vm, target_entry,
        vm_settings, wait_for,
    },
};
use hoplanding_core::ids::AdapterName;
use hoplanding_standins::{
    kept_memory::MemoryMismatch, keyed_log::KeyedLog, raw_target::RawTarget,
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

/// Tokens that prompts share; reading them takes a quarter of a second, so that a move pays.
const SHARED_TOKENS: u32 = 6_300;
/// Tokens of a prompt's own part.
const OWN_TOKENS: u32 = 200;
/// Tokens of an answer that keeps its copy in use for four seconds.
const LONG_ANSWER: u32 = 200;
/// Tokens of an answer that keeps its copy in use for a second.
const MIDDLE_ANSWER: u32 = 50;
const SHORT_ANSWER: u32 = 3;

/// A call for adapter a1 whose prompt shares its first part with all others.
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

/// Asks until it is served, as callers do that are told to come back.
async fn served(address: SocketAddr, number: u32, tokens: u32) -> Answer {
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

/// The operator names a version.
fn name_version(log: &KeyedLog, simulator: &EngineSimulator, version: u64) {
    simulator.set_newest(version);
    let record = json!({ "model": "base", "adapter": "a1", "version": version });
    log.put("keyed.op", "version/base.a1", Some(&record.to_string()));
}

/// Two engines with adapter a1, behind one VM.
struct PairSite {
    log: KeyedLog,
    simulator: Arc<EngineSimulator>,
    daemon: DirectDaemon,
    _engines: [RawTarget; 2],
}

impl PairSite {
    /// Both hold version 1.
    async fn alike() -> Self {
        Self::start(1, &[("a1", 1)], &["a1@1"]).await
    }

    /// Both hold version 1 of the adapter; one started later, with newer weights of the base model.
    async fn alike_but_for_the_base() -> Self {
        Self::start(7, &[("a1", 1)], &["a1@1"]).await
    }

    /// One holds version 1; the other brings in version 2 once it is told to load, and no VM has been told of that.
    async fn unlike() -> Self {
        let site = Self::start(1, &[], &[]).await;
        site.simulator.set_newest(2);
        site
    }

    /// The first engine has version 1 of the base model and of the adapter, the second what is given.
    async fn start(base: u64, held: &[(&str, u64)], listed: &[&str]) -> Self {
        let log = KeyedLog::start().await.expect("a log");
        let simulator = EngineSimulator::new(1);
        let one = simulator.start_engine("i-1", 1, &[("a1", 1)]).await;
        let two = simulator.start_engine("i-2", base, held).await;
        // As users have it: a holder that may have been replaced for longer names no source.
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

    /// Calls whose answers are long, one more each time the one before runs, until both engines have run one.
    async fn crowd(&self) {
        const MOST: u32 = 15;
        let address = self.daemon.caller_address;
        served(address, 0, SHORT_ANSWER).await;
        let mut calls = JoinSet::new();
        for number in 1..=MOST {
            if self.engines_used() == 2 {
                break;
            }
            calls.spawn(served(address, number, LONG_ANSWER));
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

/// How the order to replace a copy goes.
#[derive(Clone, Copy, PartialEq, Eq)]
enum OrderWay {
    Answered,
    Late,
}

/// A version is named while a long answer keeps one engine's copy in use: the other engine gets the new version, and
/// the next call.
async fn a_copy_in_use_stays_behind(way: OrderWay) -> Vec<MemoryMismatch> {
    let site = PairSite::alike().await;
    let (simulator, address) = (&site.simulator, site.daemon.caller_address);
    served(address, 1, SHORT_ANSWER).await;
    let long = tokio::spawn(served(address, 2, LONG_ANSWER));
    wait_for("the long run", async || simulator.runs().len() == 2).await;
    let busy = simulator.runs()[1].engine.clone();
    let other = if busy == "i-1" { "i-2" } else { "i-1" };
    if way == OrderWay::Late {
        simulator.delay_next_order();
    }
    name_version(&site.log, simulator, 2);
    wait_for("the new version", async || {
        simulator.version(other, "a1") == Some(2)
    })
    .await;
    assert_eq!(simulator.delayed_orders_done() > 0, way == OrderWay::Late);
    served(address, 3, SHORT_ANSWER).await;
    let runs = simulator.runs();
    let last = (runs[2].engine.as_str(), runs[2].version);
    assert_eq!(last, (other, 2), "{runs:?}");
    assert_eq!(
        simulator.version(&busy, "a1"),
        Some(1),
        "it is in use still"
    );
    long.await.expect("it is served");
    simulator.mismatches()
}

/// A version is named while a call that is to take memory waits for its own engine's load. The engine that lends is
/// free: it is replaced, and reads the same prompt for others, all before the call is there.
async fn a_lender_is_replaced() -> Arc<EngineSimulator> {
    /// So many that some go to the lender, though the borrower's engine has kept their prompt too.
    const OTHERS: u32 = 16;
    let site = PairSite::start(1, &[], &[]).await;
    let (simulator, address) = (&site.simulator, site.daemon.caller_address);
    name_version(&site.log, simulator, 2);
    wait_for("version 2", async || {
        simulator.version("i-1", "a1") == Some(2)
    })
    .await;
    served(address, 0, SHORT_ANSWER).await;
    simulator.reject_next_request();
    let borrower = tokio::spawn(served(address, 1, SHORT_ANSWER));
    wait_for("its load", async || {
        simulator.version("i-2", "a1") == Some(2)
    })
    .await;
    name_version(&site.log, simulator, 3);
    let subject = AdapterName::new("base/a1");
    wait_for("version 3 at the VM", async || {
        site.daemon.fleet().tables().versions.get(&subject) == Some(&3)
    })
    .await;
    let others = (2..2 + OTHERS).map(|number| served(address, number, SHORT_ANSWER));
    JoinSet::from_iter(others).join_all().await;
    borrower.await.expect("it is served");
    site.simulator
}

/// Version of the base model that an answer says it was made under.
fn base_of(answer: &Answer) -> Option<u64> {
    let head = answer.head.to_ascii_lowercase();
    head.lines().find_map(|line| {
        line.strip_prefix("hoplanding-weight-versions: ")?
            .parse()
            .ok()
    })
}

/// Callers that ask one after the other; by the ids of their answers the versions that these name.
struct CallerCrowd {
    is_over: Arc<AtomicBool>,
    callers: JoinSet<Vec<(String, Option<u64>)>>,
}

impl CallerCrowd {
    fn start(address: SocketAddr, callers: u32) -> Self {
        let is_over = Arc::new(AtomicBool::new(false));
        let next = Arc::new(AtomicU32::new(0));
        let crowd = (0..callers).map(|_| {
            let (is_over, next) = (Arc::clone(&is_over), Arc::clone(&next));
            async move {
                let mut told = Vec::new();
                while !is_over.load(Ordering::Relaxed) {
                    let number = next.fetch_add(1, Ordering::Relaxed);
                    let is_middle = number.is_multiple_of(3);
                    let tokens = if is_middle {
                        MIDDLE_ANSWER
                    } else {
                        SHORT_ANSWER
                    };
                    let answer = served(address, number, tokens).await;
                    told.push((format!("r{number}"), base_of(&answer)));
                }
                told
            }
        });
        Self {
            callers: crowd.collect(),
            is_over,
        }
    }

    async fn end(self) -> HashMap<String, Option<u64>> {
        self.is_over.store(true, Ordering::Relaxed);
        let told = self.callers.join_all().await;
        told.into_iter().flatten().collect()
    }
}

/// What a series of versions left behind.
struct SeriesOutcome {
    simulator: Arc<EngineSimulator>,
    /// Versions that answers named, by the ids of their calls.
    told: HashMap<String, Option<u64>>,
}

/// Versions in series beside calls. The first order of every other one is left unanswered and carried out late; in
/// the middle the VM that gives the orders stops, and another one takes over while such an order is on its way.
async fn versions_in_series(site: PairSite) -> SeriesOutcome {
    const NEWEST: u64 = 7;
    const STOPS_AT: u64 = 4;
    let (second, _relay) = start_second_vm(&site.log).await;
    let PairSite {
        log,
        simulator,
        daemon,
        _engines,
    } = site;
    let callers = CallerCrowd::start(second.caller_address, 12);
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
        name_version(&log, &simulator, version);
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
    let told = callers.end().await;
    assert!(
        simulator.delayed_orders_done() > 0,
        "no order was carried out late"
    );
    SeriesOutcome { simulator, told }
}

/// What callers would see: part of an answer that says version 2 was computed from version 1's weights. Order of events:
/// the incident's; the same with an order that the engine carries out late; one in which the engine that lends memory is
/// replaced before the borrower's call is there; and versions in series, late orders and a takeover beside callers who
/// ask all the time.
#[tokio::test]
async fn memory_of_another_version_is_not_used_after_a_new_one_is_named() {
    let (behind, late, lent, series) = tokio::join!(
        a_copy_in_use_stays_behind(OrderWay::Answered),
        a_copy_in_use_stays_behind(OrderWay::Late),
        a_lender_is_replaced(),
        versions_in_series(PairSite::alike().await)
    );
    let mismatches = [
        behind,
        late,
        lent.mismatches(),
        series.simulator.mismatches(),
    ];
    assert!(
        mismatches.iter().all(Vec::is_empty),
        "after an answered order, a late one, of a lender, in series: {mismatches:?}"
    );
}

/// What callers would see: the same, though no version of the adapter was ever named. Order of events: calls crowd an
/// engine, and the next goes to its neighbour, which has other weights. In one story the neighbour was told to load the
/// adapter, without a version, and brought in the newest that the store has; in another it started later than the first,
/// with newer weights of the base model under the same version of the adapter. The cause is that two versions which
/// nobody knows pass for the same, that the base model's count for nothing, and that an engine is told to take memory
/// without being asked for the version that made it.
#[tokio::test]
async fn memory_of_another_version_is_not_used_where_none_is_named() {
    let sites = [
        PairSite::unlike().await,
        PairSite::alike_but_for_the_base().await,
        PairSite::alike().await,
    ];
    let [unlike, base, alike] = &sites;
    tokio::join!(unlike.crowd(), base.crowd(), alike.crowd());
    let mismatches = sites.each_ref().map(|site| site.simulator.mismatches());
    let runs = sites.iter().flat_map(|site| site.simulator.runs());
    let unchecked: Vec<_> = runs
        .filter(|run| run.source.is_some() && run.expected.is_none())
        .collect();
    assert!(
        mismatches.iter().all(Vec::is_empty) && unchecked.is_empty(),
        "of unlike adapters, base models, none: {mismatches:?}, moves without a version: {unchecked:?}"
    );
}

/// What callers would see if memory were no longer moved: first events that come a quarter of a second later. Order of
/// events: two engines hold the same version; calls crowd one of them; the next goes to the other one, which takes the
/// shared part of its prompt from the first.
#[tokio::test]
async fn memory_of_the_same_version_is_moved() {
    let site = PairSite::alike().await;
    site.crowd().await;
    let runs = site.simulator.runs();
    assert!(runs.iter().any(|run| run.source.is_some()), "{runs:?}");
    assert_eq!(site.simulator.mismatches(), []);
}

/// What callers would see: answers that name another version than that of their run. Versions of the adapter come in
/// series, and the engines have unlike weights of the base model; each run is under the version of the adapter that its
/// engine was asked for, and each answer names the weights that it was made with.
#[tokio::test]
async fn answers_name_the_weights_and_runs_are_under_the_version_that_was_asked_for() {
    let site = PairSite::alike_but_for_the_base().await;
    let SeriesOutcome { simulator, told } = versions_in_series(site).await;
    let runs = simulator.runs();
    let asked: Vec<_> = runs.iter().filter_map(|run| run.expected).collect();
    assert!(asked.contains(&2) && asked.contains(&6), "{runs:?}");
    for run in runs {
        assert_eq!(told[&run.id], Some(run.base), "{run:?}");
        assert_eq!(run.expected.unwrap_or(run.version), run.version, "{run:?}");
    }
}

/// What callers would see: they are turned away, or wait, while an engine with the new version stands ready. Order of
/// events: a copy is on its way; a newer version is named; calls are sent to the copy all the same, with the newer
/// version, and come back. The cause is that only a copy which is there is compared with the version that was named.
#[tokio::test]
async fn no_call_is_sent_to_a_copy_that_comes_in_an_older_version() {
    let simulator = a_lender_is_replaced().await;
    assert_eq!(
        simulator.misdirected_requests(),
        0,
        "{:?}",
        simulator.runs()
    );
}

/// What a caller would see: no answer until its deadline. Order of events: its call waits for the replacement of a copy;
/// the order's answer does not come; the engine's report tells the copy as held, and its new version as on its way. The
/// cause is that what is told twice is taken for new the second time, without the calls that use it or wait for it.
#[tokio::test]
async fn a_call_that_waits_for_a_copy_which_is_told_twice_is_answered() {
    let site = PairSite::alike().await;
    let (simulator, address) = (&site.simulator, site.daemon.caller_address);
    let long = tokio::spawn(served(address, 0, LONG_ANSWER));
    wait_for("the long run", async || simulator.runs().len() == 1).await;
    simulator.use_slow_loads();
    simulator.delay_next_order();
    name_version(&site.log, simulator, 2);
    wait_for("an order without an answer", async || {
        simulator.has_delayed_order()
    })
    .await;
    served(address, 1, SHORT_ANSWER).await;
    assert!(
        !long.is_finished(),
        "it was answered after one that ran for four seconds"
    );
}

/// What callers of the base model would see: they are turned away for as long as the engines live. Order of events: new
/// weights of the base model are named; engines keep those that they have; each call asks for the new ones. The cause is
/// that a version is asked for which nobody brings in.
#[tokio::test]
async fn calls_for_a_base_model_are_served_while_its_engines_keep_older_weights() {
    let site = PairSite::alike().await;
    let record = json!({ "model": "base", "version": 7 });
    site.log
        .put("keyed.op", "version/base", Some(&record.to_string()));
    let subject = AdapterName::new("base");
    wait_for("the version at the VM", async || {
        site.daemon.fleet().tables().versions.get(&subject) == Some(&7)
    })
    .await;
    let request = request(0, SHORT_ANSWER).replace("base/a1", "base");
    let answer = send_request(site.daemon.caller_address, &request).await;
    assert_eq!(answer.status, 200, "{}", answer.head);
}
