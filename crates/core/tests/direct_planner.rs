//! Tests of a zone's planner against a small model of engines, with late, lost and refused orders, adapters in use and
//! outdated reports. No engine may be ordered beyond its adapter slots, and every call must be answered.

use hoplanding_core::{
    direct::{
        catalog::{ResidentAdapter, TargetEntry, TargetStage},
        config::EngineLimits,
        engine::{EngineOrder, EngineReport, OrderKind, OrderOutcome, UNANSWERED_ORDER_TTL},
        health::{CallOutcome, HealthTable},
        planner::{
            CallKey, EngineEstimates, PlacementAnswer, PlacementRequest, PlacementTerms,
            PlannerAction, RefusalCause, ZonePlanner,
        },
        policy::{PlacementPolicy, ScarcityPolicy, SlotAdmission},
    },
    ids::{
        AdapterName, AvailabilityZone, Instant, ServiceName, SoftwareVersion, TargetLife,
        TargetName, VmName,
    },
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
    time::Duration,
};

const ADAPTER_SLOTS: usize = 4;
const LOAD_MICROS: u64 = 250_000;
const REPORT_LAG_MICROS: u64 = 150_000;

fn limits() -> EngineLimits {
    EngineLimits {
        slots: 8,
        kv_tokens: 1_000_000,
        adapter_slots: ADAPTER_SLOTS as u32,
        adapters: 0,
        loads_per_s: 3.0,
        models: vec![AdapterName::new("base")],
    }
}

fn entry(name: &str) -> Arc<TargetEntry> {
    Arc::new(TargetEntry {
        name: TargetName::new(name),
        life: TargetLife::default(),
        service: ServiceName::new("scribe"),
        address: "127.0.0.1:9".parse().expect("an address"),
        zone: AvailabilityZone::new("hall"),
        slots: 8,
        stage: TargetStage::Ready,
        remaining: None,
        software: SoftwareVersion::default(),
        warmup_remaining: Duration::ZERO,
        orders_taken: 0,
        models: vec![("base".to_owned(), 1)],
        adapters: Vec::new(),
    })
}

fn key(number: u64) -> CallKey {
    CallKey {
        vm: VmName::new("vm"),
        number,
    }
}

fn request(adapter: &str) -> PlacementRequest {
    PlacementRequest {
        service: Default::default(),
        fingerprint: Default::default(),
        is_trial: false,
        charge: None,
        subject: AdapterName::new(adapter),
        prompt_tokens: 400,
        output_tokens: 50,
        prefix: Vec::new(),
        priority: 1,
        bound_ms: 60_000,
        exclude: Vec::new(),
        backing_off: Vec::new(),
        may_load: true,
        terms: PlacementTerms::Take,
    }
}

fn report(adapters: &[&str], orders_taken: u64) -> EngineReport {
    EngineReport {
        life: TargetLife::default(),
        orders_taken,
        models: vec![(AdapterName::new("base"), 1)],
        adapters: adapters
            .iter()
            .map(|adapter| (AdapterName::new(adapter), 1))
            .collect(),
        loading: Vec::new(),
        local_models: Vec::new(),
        requests: 1,
        is_busy: false,
    }
}

/// Creates a planner for engines whose reports have been read.
fn planner(names: &[&str], now: Instant) -> ZonePlanner {
    let mut planner = ZonePlanner::new(EngineEstimates::per_zone(1, 3.0), limits(), now);
    planner.set_targets(names.iter().map(|name| entry(name)).collect(), now);
    planner.tick(now);
    for name in names {
        planner.report_received(&TargetName::new(name), Some(&report(&[], 0)), now);
    }
    planner.take_actions();
    planner
}

fn orders(actions: VecDeque<PlannerAction>) -> Vec<(TargetName, EngineOrder)> {
    let sent = actions.into_iter().filter_map(|action| match action {
        PlannerAction::Order(entry, order) => Some((entry.name.clone(), order)),
        _ => None,
    });
    sent.collect()
}

fn answers(actions: &VecDeque<PlannerAction>) -> Vec<(CallKey, PlacementAnswer)> {
    let sent = actions.iter().filter_map(|action| match action {
        PlannerAction::Answer(key, answer) => Some((key.clone(), answer.clone())),
        _ => None,
    });
    sent.collect()
}

fn after(now: Instant, ms: u64) -> Instant {
    now.after(Duration::from_millis(ms))
}

#[test]
fn calls_for_an_adapter_that_is_not_loaded_share_one_load() {
    let now = Instant(1_000_000);
    let mut planner = planner(&["e1", "e2"], now);
    planner.place(key(1), request("base/a1"), now);
    planner.place(key(2), request("base/a1"), now);
    let sent = orders(planner.take_actions());
    assert_eq!(sent.len(), 1, "{sent:?}");
    planner.order_ended(&sent[0].0, OrderOutcome::Begun, now);
    let actions = planner.take_actions();
    let placed = answers(&actions);
    assert_eq!(placed.len(), 2);
    for (_, answer) in placed {
        let PlacementAnswer::Send {
            target, wait_ms, ..
        } = answer
        else {
            panic!("not placed");
        };
        assert_eq!(target, sent[0].0);
        assert!(
            wait_ms >= 250,
            "sent before its load ends: after {wait_ms} ms"
        );
    }
}

#[test]
fn unload_of_adapter_in_use_blocks_engine_until_report_shows_it_unloaded() {
    let now = Instant(1_000_000);
    let mut planner = planner(&["e1"], now);
    let name = TargetName::new("e1");
    // The holder believes four adapters unused, but one of them has an untracked call.
    let full = report(&["base/a1", "base/a2", "base/a3", "base/a4"], 4);
    planner.report_received(&name, Some(&full), now);
    planner.take_actions();
    let now = after(now, 4_000);
    planner.place(key(1), request("base/a9"), now);
    let sent = orders(planner.take_actions());
    assert_eq!(sent[0].1.kind, OrderKind::Unload);
    planner.order_ended(&name, OrderOutcome::Begun, now);
    let actions = planner.take_actions();
    assert!(
        orders(actions.clone()).is_empty(),
        "no order while it waits"
    );
    // The waiting call is refused at once, as there is no other engine.
    assert!(matches!(
        answers(&actions)[0].1,
        PlacementAnswer::Refuse { .. }
    ));
    let now = after(now, 400);
    planner.tick(now);
    planner.report_received(
        &name,
        Some(&EngineReport {
            life: TargetLife::default(),
            orders_taken: 5,
            ..full.clone()
        }),
        now,
    );
    planner.place(key(2), request("base/a9"), now);
    assert!(orders(planner.take_actions()).is_empty(), "still unloading");
    let now = after(now, 400);
    planner.tick(now);
    let remaining: Vec<_> = full
        .adapters
        .iter()
        .map(|(adapter, _)| adapter.as_str())
        .filter(|adapter| *adapter != sent[0].1.subject.as_str())
        .collect();
    planner.report_received(&name, Some(&report(&remaining, 5)), now);
    planner.place(key(3), request("base/a9"), now);
    let sent = orders(planner.take_actions());
    assert_eq!(sent[0].1.kind, OrderKind::Load);
    assert_eq!(sent[0].1.expected, 5);
}

#[test]
fn call_rejected_before_its_load_finished_is_placed_at_the_same_engine() {
    let now = Instant(1_000_000);
    let mut planner = planner(&["e1", "e2"], now);
    planner.place(key(1), request("base/a1"), now);
    let sent = orders(planner.take_actions());
    planner.order_ended(&sent[0].0, OrderOutcome::Begun, now);
    planner.take_actions();
    let now = after(now, 265);
    planner.tick(now);
    planner.report_missing_copy(&key(1), &sent[0].0, now);
    planner.call_ended(&key(1), Some(&sent[0].0), None, now);
    planner.place(key(2), request("base/a1"), now);
    let actions = planner.take_actions();
    assert!(orders(actions.clone()).is_empty(), "no second load");
    let PlacementAnswer::Send {
        target, wait_ms, ..
    } = &answers(&actions)[0].1
    else {
        panic!("not placed");
    };
    assert_eq!(*target, sent[0].0);
    assert!(*wait_ms > 0);
}

#[test]
fn named_version_blocks_old_copies_and_reloads_them_once_unused() {
    let now = Instant(1_000_000);
    let mut planner = planner(&["e1"], now);
    let name = TargetName::new("e1");
    planner.report_received(&name, Some(&report(&["base/a1"], 1)), now);
    let now = after(now, 3_000);
    planner.place(key(1), request("base/a1"), now);
    planner.take_actions();
    planner.set_version(&AdapterName::new("base/a1"), 2, now);
    assert!(orders(planner.take_actions()).is_empty(), "in use");
    planner.place(key(2), request("base/a1"), now);
    assert!(
        answers(&planner.take_actions())
            .iter()
            .all(|(_, answer)| !matches!(answer, PlacementAnswer::Send { .. })),
        "no call goes to the old version"
    );
    planner.call_ended(&key(1), Some(&name), Some(CallOutcome::Success), now);
    planner.tick(now);
    let sent = orders(planner.take_actions());
    assert_eq!(sent.len(), 1, "one replacement: {sent:?}");
    assert_eq!(sent[0].1.version, Some(2));
    for _ in 0..10 {
        planner.tick(now);
    }
    assert!(orders(planner.take_actions()).is_empty());
}

#[test]
fn adapter_listed_as_loaded_is_not_loaded_again() {
    let now = Instant(1_000_000);
    let mut listed = TargetEntry::clone(&entry("e1"));
    listed.adapters.push(ResidentAdapter {
        adapter: AdapterName::new("base/a1"),
        version: 1,
    });
    let mut planner = ZonePlanner::new(EngineEstimates::default(), limits(), after(now, 3_000));
    planner.set_targets(vec![Arc::new(listed)], now);
    planner.place(key(1), request("base/a1"), now);
    let actions = planner.take_actions();
    assert!(matches!(
        answers(&actions)[0].1,
        PlacementAnswer::Send { wait_ms: 0, .. }
    ));
}

#[test]
fn call_is_refused_if_its_load_is_not_accepted_in_time_and_the_load_continues() {
    let now = Instant(1_000_000);
    let mut planner = planner(&["e1"], now);
    let urgent = PlacementRequest {
        bound_ms: 600,
        ..request("base/a1")
    };
    planner.place(key(1), urgent, now);
    let sent = orders(planner.take_actions());
    assert_eq!(sent.len(), 1);
    planner.tick(after(now, 500));
    assert!(
        answers(&planner.take_actions()).is_empty(),
        "refused too early"
    );
    let now = after(now, 900);
    planner.tick(now);
    let turned_away = answers(&planner.take_actions());
    assert!(matches!(
        turned_away[..],
        [(_, PlacementAnswer::Refuse { .. })]
    ));
    planner.order_ended(&sent[0].0, OrderOutcome::Begun, now);
    planner.place(key(2), request("base/a1"), after(now, 300));
    assert!(matches!(
        answers(&planner.take_actions())[..],
        [(_, PlacementAnswer::Send { .. })]
    ));
}

/// Creates the planner of a new holder for one engine without adapters. `are_fenced` tells whether engines check
/// fencing tokens.
fn successor(are_fenced: bool, now: Instant) -> ZonePlanner {
    let mut planner = planner(&["e1"], now);
    planner.set_order_fencing(are_fenced);
    planner.mark_takeover(now);
    planner
}

/// Runs the periodic work until `until`, answering with reports of an engine without adapters. Returns all other
/// actions.
fn tick_until(planner: &mut ZonePlanner, from: Instant, until: Instant) -> VecDeque<PlannerAction> {
    let mut remaining = VecDeque::new();
    let mut now = from;
    while now < until {
        now = after(now, 50).min(until);
        planner.tick(now);
        for action in planner.take_actions() {
            match action {
                PlannerAction::FetchReport(entry) => {
                    planner.report_received(&entry.name, Some(&report(&[], 0)), now);
                }
                other => remaining.push_back(other),
            }
        }
    }
    remaining
}

// Guards against calls that wait for a load which is not allowed yet. If engines check no fencing tokens, loads are
// held for 12.5 s after each change of holder, as late loads of the earlier holder may take slots. A call for an
// adapter that is not loaded was placed as if its load started at once, waited for up to 12.5 s and was refused at its
// deadline.
#[test]
fn call_is_refused_at_once_with_retry_delay_if_loads_are_held_after_a_takeover() {
    let now = Instant(1_000_000);
    let mut planner = successor(false, now);
    let patient = PlacementRequest {
        bound_ms: 8_000,
        ..request("base/a1")
    };
    planner.place(key(1), patient.clone(), now);
    let actions = planner.take_actions();
    let answered = answers(&actions);
    let [
        (
            _,
            PlacementAnswer::Refuse {
                retry_after_ms,
                cause,
            },
        ),
    ] = &answered[..]
    else {
        panic!("not refused at once: {answered:?}");
    };
    assert!(matches!(cause, RefusalCause::TooLong(_)), "{cause:?}");
    assert!(
        orders(actions).is_empty(),
        "a load is ordered while loads are held"
    );
    let held = UNANSWERED_ORDER_TTL.as_millis() as u64;
    assert!(
        (held..held + 1_000).contains(&u64::from(*retry_after_ms)),
        "{retry_after_ms} ms"
    );
    // The load starts as soon as it is allowed, and a retry after the stated delay is served.
    let over = after(now, held + 100);
    let sent = orders(tick_until(&mut planner, now, over));
    assert_eq!(sent.len(), 1, "{sent:?}");
    let now = over;
    planner.order_ended(&sent[0].0, OrderOutcome::Begun, now);
    let now = after(now, u64::from(*retry_after_ms) - held);
    planner.place(key(2), patient, now);
    let answered = answers(&planner.take_actions());
    assert!(
        matches!(answered[..], [(_, PlacementAnswer::Send { .. })]),
        "{answered:?}"
    );
}

#[test]
fn call_with_a_long_bound_waits_for_a_held_load() {
    let now = Instant(1_000_000);
    let mut planner = successor(false, now);
    planner.place(key(1), request("base/a1"), now);
    assert!(answers(&planner.take_actions()).is_empty());
    let over = after(now, UNANSWERED_ORDER_TTL.as_millis() as u64 + 100);
    let sent = orders(tick_until(&mut planner, now, over));
    let now = over;
    planner.order_ended(&sent[0].0, OrderOutcome::Begun, now);
    let answered = answers(&planner.take_actions());
    assert!(
        matches!(answered[..], [(_, PlacementAnswer::Send { .. })]),
        "{answered:?}"
    );
}

#[test]
fn loads_are_not_held_after_a_takeover_if_engines_check_fencing_tokens() {
    let now = Instant(1_000_000);
    let mut planner = successor(true, now);
    planner.place(key(1), request("base/a1"), now);
    assert_eq!(orders(planner.take_actions()).len(), 1);
}

/// Creates a planner for an engine with the base model and an empty one. `local_models` are those of the empty one.
fn planner_with_empty_engine(local_models: &[&str], now: Instant) -> ZonePlanner {
    let mut planner = ZonePlanner::new(EngineEstimates::per_zone(1, 3.0), limits(), now);
    let mut empty = (*entry("empty")).clone();
    empty.models.clear();
    planner.set_targets(vec![entry("full"), Arc::new(empty)], now);
    planner.tick(now);
    planner.report_received(&TargetName::new("full"), Some(&report(&[], 0)), now);
    let nothing = EngineReport {
        life: TargetLife::default(),
        models: Vec::new(),
        local_models: local_models
            .iter()
            .map(|name| AdapterName::new(name))
            .collect(),
        ..report(&[], 0)
    };
    planner.report_received(&TargetName::new("empty"), Some(&nothing), now);
    planner.take_actions();
    planner
}

/// Counts the base models ordered for the empty engine over some seconds of periodic work.
fn count_model_orders(planner: &mut ZonePlanner, from: Instant) -> usize {
    let mut ordered = 0;
    for step in 1..60 {
        planner.tick(after(from, 50 * step));
        ordered += orders(planner.take_actions())
            .iter()
            .filter(|(name, order)| name.as_str() == "empty" && order.subject.as_str() == "base")
            .count();
    }
    ordered
}

#[test]
fn adapter_that_crowds_its_engine_is_replicated_before_the_slots_are_full() {
    let now = Instant(1_000_000);
    let mut planner = planner(&["one", "two"], now);
    planner.report_received(&TargetName::new("one"), Some(&report(&["base/a"], 0)), now);
    let mut loads = Vec::new();
    for number in 0..5 {
        planner.place(key(number), request("base/a"), now);
        loads.extend(orders(planner.take_actions()));
        // The prompt is read before the next call arrives.
        planner.tick(after(now, 30 * (number + 1)));
        planner.take_actions();
    }
    // Five of eight slots are in use: one load at the other engine, and no call waits for it.
    assert_eq!(loads.len(), 1);
    assert_eq!(loads[0].0.as_str(), "two");
    assert_eq!(loads[0].1.subject.as_str(), "base/a");
    // No third copy while that load is in progress.
    planner.order_ended(&loads[0].0, OrderOutcome::Begun, after(now, 150));
    planner.place(key(9), request("base/a"), after(now, 160));
    assert!(orders(planner.take_actions()).is_empty());
}

#[test]
fn adapter_that_uses_a_large_share_of_the_zone_is_reported_as_in_high_demand() {
    let now = Instant(1_000_000);
    let mut planner = planner(&["one", "two", "three"], now);
    let held = report(&["base/a", "base/b"], 0);
    planner.report_received(&TargetName::new("one"), Some(&held), now);
    let hot: Vec<_> = (0..6)
        .map(|number| {
            let adapter = if number == 5 { "base/b" } else { "base/a" };
            planner.place(key(number), request(adapter), after(now, 30 * number));
            let answers = answers(&planner.take_actions());
            matches!(
                answers[0].1,
                PlacementAnswer::Send {
                    is_in_high_demand: true,
                    ..
                }
            )
        })
        .collect();
    // 15% of 24 slots are 3.6 calls.
    assert_eq!(hot, [false, false, false, true, true, false]);
}

#[test]
fn adapters_with_small_shares_of_a_crowded_engine_are_not_replicated() {
    let now = Instant(1_000_000);
    let mut planner = planner(&["one", "two"], now);
    let held = report(&["base/a", "base/b", "base/c", "base/d"], 0);
    planner.report_received(&TargetName::new("one"), Some(&held), now);
    let mut loads = 0;
    for (number, adapter) in (0..).zip(["base/a", "base/b", "base/c", "base/d", "base/a", "base/b"])
    {
        planner.place(key(number), request(adapter), after(now, 30 * number));
        loads += orders(planner.take_actions()).len();
    }
    assert_eq!(loads, 1, "only the adapter with a third of the calls");
}

#[test]
fn empty_engine_loads_base_model_from_the_store_only_if_the_zone_needs_it() {
    let now = Instant(1_000_000);
    let mut calm = planner_with_empty_engine(&[], now);
    assert_eq!(count_model_orders(&mut calm, now), 0);
    let mut busy = planner_with_empty_engine(&[], now);
    for number in 0..8 {
        busy.place(key(number), request("base"), now);
    }
    busy.take_actions();
    assert_eq!(count_model_orders(&mut busy, now), 1);
    let mut with_copy = planner_with_empty_engine(&["base"], now);
    assert_eq!(count_model_orders(&mut with_copy, now), 1);
    // Without any serving engine, the zone needs one at any utilization.
    let mut without_serving = planner_with_empty_engine(&[], now);
    let mut empty = (*entry("empty")).clone();
    empty.models.clear();
    without_serving.set_targets(vec![Arc::new(empty)], now);
    assert_eq!(count_model_orders(&mut without_serving, now), 1);
}

/// Guards against too many model loads when holders follow each other within the interval between two loads. None of
/// them knows when the previous one last started a load, and together they must not exceed the zone's share of the
/// store.
#[test]
fn successive_holders_keep_the_interval_between_model_loads() {
    let start = Instant(1_000_000);
    let interval = EngineEstimates::per_zone(1, 3.0).model_load_interval;
    let tenure = interval / 2;
    let mut ordered = 0;
    for holder in 0..20 {
        let from = start.after(tenure * holder);
        let mut planner = planner_with_empty_engine(&["base"], from);
        for step in 1..=10 {
            planner.tick(from.after(tenure * step / 10));
            let sent = orders(planner.take_actions());
            let is_model = |order: &EngineOrder| order.subject.as_str() == "base";
            ordered += sent.iter().filter(|(_, order)| is_model(order)).count();
        }
    }
    assert!(
        ordered <= 10,
        "{ordered} loads in the time of ten intervals"
    );
}

#[test]
fn new_holder_evicts_adapters_once_the_report_shows_no_untracked_calls() {
    let now = Instant(1_000_000);
    let mut planner = planner(&["one"], now);
    let one = TargetName::new("one");
    let full = ["base/a", "base/b", "base/c", "base/d"];
    planner.report_received(&one, Some(&report(&full, 0)), now);
    planner.place(key(1), request("base/e"), now);
    let refused = answers(&planner.take_actions());
    assert!(matches!(refused[0].1, PlacementAnswer::Refuse { .. }));
    // The planner reads the report again by itself, and the engine has become idle.
    let later = after(now, 350);
    planner.tick(later);
    let asks = planner.take_actions();
    assert!(matches!(asks[0], PlannerAction::FetchReport(_)));
    let idle = EngineReport {
        requests: 0,
        ..report(&full, 0)
    };
    planner.report_received(&one, Some(&idle), later);
    planner.place(key(2), request("base/e"), later);
    let sent = orders(planner.take_actions());
    assert_eq!(sent[0].1.kind, OrderKind::Unload);
}

#[test]
fn reported_adapters_are_pinned_until_gateways_reported_their_calls() {
    let now = Instant(1_000_000);
    let mut planner = planner(&["one"], now);
    let one = TargetName::new("one");
    let full = ["base/a", "base/b", "base/c", "base/d"];
    planner.report_received(&one, Some(&report(&full, 0)), now);
    for number in 1..4 {
        let adapter = AdapterName::new(full[number as usize - 1]);
        planner.adopt_call(key(number), &one, &adapter);
    }
    let later = after(now, 950);
    planner.tick(later);
    planner.report_received(&one, Some(&report(&full, 0)), later);
    planner.place(key(9), request("base/e"), later);
    let sent = orders(planner.take_actions());
    assert_eq!(sent.len(), 1);
    assert_eq!(sent[0].1.kind, OrderKind::Unload);
    assert_eq!(
        sent[0].1.subject.as_str(),
        "base/d",
        "the adapter without a call"
    );
}

#[test]
fn target_unreachable_twice_is_lost_until_its_pause_ends() {
    let mut health = HealthTable::default();
    let target = TargetName::new("i-1");
    let now = Instant(1_000_000);
    health.record(&target, CallOutcome::ConnectFailed, now);
    assert!(health.is_unreachable(&target, now) && !health.is_down(&target, now));
    health.record(&target, CallOutcome::ConnectFailed, now);
    assert!(health.is_down(&target, now));
    let later = after(now, 3_000);
    assert!(!health.is_unreachable(&target, later) && !health.is_down(&target, later));
    health.record(&target, CallOutcome::Success, later);
    health.record(&target, CallOutcome::ConnectFailed, later);
    assert!(
        !health.is_down(&target, later),
        "an answer in between clears it"
    );
}

/// Model of an engine, after its specification.
#[derive(Clone, Debug, Default)]
struct EngineModel {
    sequence: u64,
    loaded: BTreeSet<AdapterName>,
    loading: BTreeMap<AdapterName, u64>,
    unloading: Option<AdapterName>,
    running: BTreeMap<CallKey, AdapterName>,
    history: VecDeque<(u64, EngineReport)>,
}

impl EngineModel {
    fn occupied_slots(&self) -> usize {
        self.loaded.len() + self.loading.len()
    }

    fn is_in_use(&self, adapter: &AdapterName) -> bool {
        self.running.values().any(|used| used == adapter)
    }

    fn advance(&mut self, now: u64) {
        let done: Vec<_> = self
            .loading
            .iter()
            .filter(|(_, at)| **at <= now)
            .map(|(adapter, _)| adapter.clone())
            .collect();
        for adapter in done {
            self.loading.remove(&adapter);
            self.loaded.insert(adapter);
        }
        if let Some(adapter) = self.unloading.clone()
            && !self.is_in_use(&adapter)
        {
            self.loaded.remove(&adapter);
            self.unloading = None;
        }
        let report = EngineReport {
            life: TargetLife::default(),
            orders_taken: self.sequence,
            models: vec![(AdapterName::new("base"), 1)],
            adapters: self.loaded.iter().map(|held| (held.clone(), 1)).collect(),
            loading: self.loading.keys().map(|held| (held.clone(), 1)).collect(),
            local_models: Vec::new(),
            requests: u32::try_from(self.running.len()).expect("few"),
            is_busy: false,
        };
        self.history.push_back((now, report));
        while self
            .history
            .get(1)
            .is_some_and(|(at, _)| at + REPORT_LAG_MICROS <= now)
        {
            self.history.pop_front();
        }
    }

    fn report(&self) -> EngineReport {
        self.history.front().expect("the engine advanced").1.clone()
    }

    fn take(&mut self, order: &EngineOrder, now: u64) -> OrderOutcome {
        if self.unloading.as_ref() == Some(&order.subject) && order.kind == OrderKind::Unload {
            return OrderOutcome::Begun;
        }
        if self.unloading.is_some() || order.expected != self.sequence {
            return OrderOutcome::Conflict;
        }
        match order.kind {
            OrderKind::Load if self.loaded.contains(&order.subject) => OrderOutcome::Done,
            OrderKind::Load => {
                self.sequence += 1;
                self.loading
                    .insert(order.subject.clone(), now + LOAD_MICROS);
                assert!(
                    self.occupied_slots() <= ADAPTER_SLOTS,
                    "ordered beyond its adapter slots: {order:?}"
                );
                OrderOutcome::Begun
            }
            OrderKind::Unload if self.loading.contains_key(&order.subject) => {
                OrderOutcome::Conflict
            }
            OrderKind::Unload if !self.loaded.contains(&order.subject) => OrderOutcome::Done,
            OrderKind::Unload => {
                self.sequence += 1;
                if self.is_in_use(&order.subject) {
                    self.unloading = Some(order.subject.clone());
                    OrderOutcome::Begun
                } else {
                    self.loaded.remove(&order.subject);
                    OrderOutcome::Done
                }
            }
        }
    }
}

fn policy_with_repeats(order_repeats: u32) -> PlacementPolicy {
    let scarcity = ScarcityPolicy {
        order_repeats,
        ..ScarcityPolicy::default()
    };
    PlacementPolicy {
        scarcity,
        ..PlacementPolicy::default()
    }
}

/// Guards against an engine that takes no loads for half a second after each order that it leaves unanswered.
#[test]
fn lost_order_is_repeated_at_once_with_the_same_sequence_number() {
    let now = Instant(1_000_000);
    let mut planner = planner(&["e1"], now);
    planner.set_policy(policy_with_repeats(1));
    planner.place(key(1), request("base/a1"), now);
    let first = orders(planner.take_actions());
    let [(engine, order)] = &first[..] else {
        panic!("not one order: {first:?}");
    };
    let later = now.after(Duration::from_millis(80));
    planner.order_ended(engine, OrderOutcome::Unanswered, later);
    let repeated = orders(planner.take_actions());
    let [(_, repeat)] = &repeated[..] else {
        panic!("not repeated: {repeated:?}");
    };
    assert_eq!(
        (&repeat.subject, repeat.expected),
        (&order.subject, order.expected)
    );
    planner.order_ended(engine, OrderOutcome::Begun, later);
    let actions = planner.take_actions();
    assert!(
        matches!(answers(&actions)[..], [(_, PlacementAnswer::Send { .. })]),
        "the call is sent to the engine that took the repeated order"
    );
}

/// Runs one random schedule in which calls of lost gateways continue, and orders are lost or carried out late.
fn run_schedule(seed: u64, order_repeats: u32, admission: Option<SlotAdmission>) {
    let mut random = StdRng::seed_from_u64(seed);
    let names = ["e1", "e2", "e3"].map(TargetName::new);
    let mut engines: BTreeMap<_, _> = names
        .iter()
        .map(|name| (name.clone(), EngineModel::default()))
        .collect();
    let mut now = Instant(1_000_000);
    let mut planner = ZonePlanner::new(EngineEstimates::per_zone(1, 3.0), limits(), now);
    planner.set_policy(policy_with_repeats(order_repeats));
    planner.set_targets(names.iter().map(|name| entry(name.as_str())).collect(), now);
    planner.set_policy(PlacementPolicy {
        admission,
        ..PlacementPolicy::default()
    });
    let mut unanswered = BTreeSet::new();
    let mut running: Vec<(CallKey, TargetName, u64)> = Vec::new();
    let mut late: Vec<(u64, TargetName, EngineOrder)> = Vec::new();
    let mut next = 1;
    // Calls that wait for a slot may do so for their whole bound, so the queue needs some seconds to drain.
    for step in 0..4_000_u64 {
        now = now.after(Duration::from_millis(5));
        for engine in engines.values_mut() {
            engine.advance(now.0);
        }
        let due: Vec<_> = late.extract_if(.., |(at, ..)| *at <= now.0).collect();
        for (_, name, order) in due {
            engines
                .get_mut(&name)
                .expect("an engine")
                .take(&order, now.0);
        }
        if step < 2_400 && random.random_bool(0.2) {
            let rank = random.random_range(0.0_f64..1.0).powi(2) * 30.0;
            let call = CallKey {
                vm: VmName::new(["vm1", "vm2"][random.random_range(0..2)]),
                number: next,
            };
            next += 1;
            unanswered.insert(call.clone());
            planner.place(call, request(&format!("base/a{}", rank as u32)), now);
        }
        let ended: Vec<_> = running.extract_if(.., |(.., at)| *at <= now.0).collect();
        for (call, name, _) in ended {
            engines
                .get_mut(&name)
                .expect("an engine")
                .running
                .remove(&call);
            planner.call_ended(&call, Some(&name), Some(CallOutcome::Success), now);
        }
        if random.random_bool(0.002) {
            // The connection to a gateway breaks; its calls continue for a while.
            let vm = VmName::new("vm1");
            planner.forget_gateway(&vm, now);
            unanswered.retain(|call| call.vm != vm);
        }
        if step % 10 == 0 {
            planner.tick(now);
        }
        loop {
            let actions = planner.take_actions();
            if actions.is_empty() {
                break;
            }
            for action in actions {
                match action {
                    PlannerAction::Answer(call, answer) => {
                        unanswered.remove(&call);
                        if let PlacementAnswer::Send { target, .. } = answer {
                            let engine = engines.get_mut(&target).expect("an engine");
                            let subject = planner.engines()[&target]
                                .calls
                                .get(&call)
                                .map(|sent| sent.subject.clone());
                            if let Some(subject) = subject
                                && engine.loaded.contains(&subject)
                            {
                                engine.running.insert(call.clone(), subject);
                            }
                            let until = now.0 + random.random_range(50_000..2_000_000);
                            running.push((call, target, until));
                        }
                    }
                    PlannerAction::Order(entry, order) => {
                        let fate = random.random_range(0..100);
                        let engine = engines.get_mut(&entry.name).expect("an engine");
                        let outcome = match fate {
                            0..3 => {
                                let at = now.0 + random.random_range(300_000..6_000_000);
                                late.push((at, entry.name.clone(), order));
                                OrderOutcome::Unanswered
                            }
                            3..5 => {
                                engine.take(&order, now.0);
                                OrderOutcome::Unanswered
                            }
                            _ => engine.take(&order, now.0),
                        };
                        planner.order_ended(&entry.name, outcome, now);
                    }
                    PlannerAction::FetchReport(entry) => {
                        let report = engines[&entry.name].report();
                        let report = random.random_bool(0.95).then_some(report);
                        planner.report_received(&entry.name, report.as_ref(), now);
                    }
                    PlannerAction::RecordTransfer(_) | PlannerAction::RecordSlotWait(_) => {}
                }
            }
        }
    }
    assert!(
        unanswered.is_empty(),
        "seed {seed}: never answered: {unanswered:?}"
    );
}

#[test]
fn engines_are_not_ordered_beyond_their_slots_if_orders_are_lost_or_late() {
    for seed in 0..60 {
        for admission in [None, Some(SlotAdmission::default())] {
            run_schedule(seed, 0, admission);
            run_schedule(seed, 3, admission);
        }
    }
}

#[test]
fn zone_offers_the_cost_of_a_load_and_loads_only_below_the_given_cost() {
    let now = Instant(1_000_000);
    let mut planner = planner(&["e1"], now);
    let with = |terms| PlacementRequest {
        terms,
        ..request("base/a1")
    };
    planner.place(key(1), with(PlacementTerms::Inquire), now);
    let actions = planner.take_actions();
    let [(_, PlacementAnswer::Refuse { cause, .. })] = &answers(&actions)[..] else {
        panic!("not one refusal");
    };
    let RefusalCause::Offer(cost) = *cause else {
        panic!("no offer: {cause:?}");
    };
    assert!(orders(actions).is_empty(), "an inquiry loads nothing");
    planner.place(key(2), with(PlacementTerms::Beat(cost)), now);
    let actions = planner.take_actions();
    assert!(matches!(
        answers(&actions)[..],
        [(_, PlacementAnswer::Refuse { .. })]
    ));
    assert!(orders(actions).is_empty(), "it does not cost less");
    planner.place(key(3), with(PlacementTerms::Beat(cost + 1)), now);
    assert_eq!(orders(planner.take_actions()).len(), 1);
}

/// Accepts every order, and returns the calls that were sent.
fn accept_orders(planner: &mut ZonePlanner, now: Instant) -> Vec<(CallKey, TargetName)> {
    let mut sent = Vec::new();
    loop {
        let actions = planner.take_actions();
        if actions.is_empty() {
            return sent;
        }
        for (key, answer) in answers(&actions) {
            if let PlacementAnswer::Send { target, .. } = answer {
                sent.push((key, target));
            }
        }
        for (target, _) in orders(actions) {
            planner.order_ended(&target, OrderOutcome::Begun, now);
        }
    }
}

/// Creates a planner for engines with slots for every adapter.
fn planner_with_free_slots(names: &[String], now: Instant) -> ZonePlanner {
    let names: Vec<_> = names.iter().map(String::as_str).collect();
    let mut planner = planner(&names, now);
    planner.set_limits(EngineLimits {
        adapter_slots: 1_000,
        adapters: 0,
        ..limits()
    });
    planner
}

#[test]
fn concurrent_loads_are_limited_from_the_first_order() {
    let now = Instant(1_000_000);
    let names: Vec<_> = (0..12).map(|at| format!("e{at}")).collect();
    let mut planner = planner_with_free_slots(&names, now);
    for number in 0..12 {
        planner.place(key(number), request(&format!("base/a{number}")), now);
    }
    // No order has been answered yet.
    let sent = orders(planner.take_actions());
    assert!((1..8).contains(&sent.len()), "{sent:?}");
}

#[test]
fn load_limit_rises_with_timely_loads_and_falls_with_late_ones() {
    let mut now = Instant(1_000_000);
    let names: Vec<_> = (0..24).map(|at| format!("e{at}")).collect();
    let mut planner = planner_with_free_slots(&names, now);
    let mut number = 0;
    // Sends calls for forty new adapters, and returns those whose loads start at once.
    let mut wave = |planner: &mut ZonePlanner, now: Instant| {
        for _ in 0..40 {
            number += 1;
            planner.place(key(number), request(&format!("base/a{number}")), now);
        }
        accept_orders(planner, now)
    };
    let first = wave(&mut planner, now);
    let mut open = first.clone();
    let mut widest = 0;
    for _ in 0..80 {
        now = after(now, 350);
        for (key, target) in open.drain(..) {
            planner.call_started(&key, &target, Some(1), now);
            planner.call_ended(&key, Some(&target), None, now);
        }
        planner.tick(now);
        open = accept_orders(&mut planner, now);
        if open.is_empty() {
            open = wave(&mut planner, now);
        }
        widest = widest.max(open.len());
    }
    assert!(widest > 4 * first.len(), "{widest} of {}", first.len());
    for _ in 0..6 {
        let late = after(now, 500);
        for (key, target) in open.drain(..) {
            planner.report_missing_copy(&key, &target, late);
            planner.call_ended(&key, Some(&target), None, late);
        }
        now = after(now, 2_000);
        planner.tick(now);
        open = wave(&mut planner, now);
    }
    assert!(open.len() * 2 < widest, "{} of {widest}", open.len());
}

/// Entry of an engine in the life that started at a Unix time, in ms.
fn entry_with_life(name: &str, started_ms: u64) -> Arc<TargetEntry> {
    let mut listed = (*entry(name)).clone();
    listed.life = TargetLife::started_at_ms(started_ms);
    Arc::new(listed)
}

/// Creates a planner for one engine in its first life, which has loaded an adapter for a running call.
fn planner_with_running_call(now: Instant) -> ZonePlanner {
    let mut planner = ZonePlanner::new(EngineEstimates::per_zone(1, 3.0), limits(), now);
    planner.set_targets(vec![entry_with_life("e1", 1_000)], now);
    planner.tick(now);
    let first = EngineReport {
        life: TargetLife::started_at_ms(1_000),
        ..report(&[], 0)
    };
    planner.report_received(&TargetName::new("e1"), Some(&first), now);
    planner.place(key(1), request("base/a1"), now);
    accept_orders(&mut planner, now);
    assert_eq!(planner.engines()[&TargetName::new("e1")].calls.len(), 1);
    planner
}

#[test]
fn engine_state_is_reset_when_an_engine_restarts_under_its_name() {
    let now = Instant(1_000_000);
    let mut planner = planner_with_running_call(now);
    let name = TargetName::new("e1");
    for number in 0..20 {
        let failed = Some(CallOutcome::Failed);
        planner.call_ended(&key(100 + number), Some(&name), failed, now);
    }
    planner.set_targets(vec![entry_with_life("e1", 2_000)], after(now, 10));
    let engine = &planner.engines()[&name];
    assert!(engine.copies.is_empty() && engine.calls.is_empty());
    assert_eq!((engine.sequence, engine.is_inventory_known), (0, false));
    assert!(planner.is_current_life(&name, TargetLife::started_at_ms(2_000)));
    assert!(!planner.is_current_life(&name, TargetLife::started_at_ms(1_000)));
    // The end of a call of the earlier life has no effect.
    planner.call_ended(&key(1), Some(&name), None, after(now, 20));
    assert!(planner.engines()[&name].calls.is_empty());
    // An entry of the earlier life has no effect.
    planner.set_targets(vec![entry_with_life("e1", 1_000)], after(now, 30));
    assert!(planner.is_current_life(&name, TargetLife::started_at_ms(2_000)));
}

#[test]
fn reports_of_an_earlier_life_are_ignored_and_those_of_a_newer_life_applied() {
    let now = Instant(1_000_000);
    let mut planner = planner_with_running_call(now);
    let name = TargetName::new("e1");
    planner.set_targets(vec![entry_with_life("e1", 2_000)], now);
    let late = EngineReport {
        life: TargetLife::started_at_ms(1_000),
        ..report(&["base/a1"], 1)
    };
    planner.report_received(&name, Some(&late), after(now, 10));
    let engine = &planner.engines()[&name];
    assert!(engine.copies.is_empty() && !engine.is_inventory_known);
    // A report without a life is outdated too, as the engine's reports state theirs.
    planner.report_received(&name, Some(&report(&["base/a1"], 1)), after(now, 20));
    assert!(!planner.engines()[&name].is_inventory_known);
    let own = EngineReport {
        life: TargetLife::started_at_ms(2_000),
        ..report(&["base/a7"], 3)
    };
    planner.report_received(&name, Some(&own), after(now, 30));
    let engine = &planner.engines()[&name];
    assert_eq!((engine.sequence, engine.copies.len()), (3, 1));
    // A report may show the next life before the list does.
    let next = EngineReport {
        life: TargetLife::started_at_ms(3_000),
        ..report(&[], 0)
    };
    planner.report_received(&name, Some(&next), after(now, 40));
    let engine = &planner.engines()[&name];
    assert_eq!((engine.sequence, engine.copies.len()), (0, 0));
    assert!(engine.is_inventory_known);
}

#[test]
fn calls_waiting_for_a_load_are_placed_again_when_the_engine_restarts() {
    let now = Instant(1_000_000);
    let mut planner = planner_with_running_call(now);
    let name = TargetName::new("e1");
    // The order is not answered before the engine restarts.
    planner.place(key(2), request("base/a2"), now);
    assert_eq!(orders(planner.take_actions()).len(), 1);
    planner.set_targets(vec![entry_with_life("e1", 2_000)], after(now, 10));
    let sent = answers(&planner.take_actions());
    let refused = sent
        .iter()
        .any(|(key, answer)| key.number == 2 && matches!(answer, PlacementAnswer::Refuse { .. }));
    assert!(refused, "refused at once, as no engine is known: {sent:?}");
    assert!(planner.engines()[&name].pending.is_none());
}

/// Creates a planner whose engine restarted before it answered a load. In its new life the engine has accepted one
/// order, as many as that load expects, and all its slots but one are in use. Its report is read at `reported`.
fn planner_with_late_load(now: Instant, reported: Instant) -> ZonePlanner {
    let mut planner = planner_with_running_call(now);
    planner.place(key(2), request("base/a2"), now);
    planner.take_actions();
    planner.set_targets(vec![entry_with_life("e1", 2_000)], after(now, 10));
    let slots = limits().adapter_slots as usize;
    let held: Vec<_> = (0..slots - 1).map(|at| format!("base/b{at}")).collect();
    let held: Vec<_> = held.iter().map(String::as_str).collect();
    let own = EngineReport {
        life: TargetLife::started_at_ms(2_000),
        requests: 0,
        ..report(&held, 1)
    };
    planner.report_received(&TargetName::new("e1"), Some(&own), reported);
    planner.take_actions();
    planner
}

// Guards against loading more adapters than an engine has slots for, which crashes it. An unanswered load may be
// carried out up to twelve seconds later, also in the engine's next life once that has accepted as many orders as it
// expects.
#[test]
fn slot_is_reserved_for_an_unanswered_load_of_an_earlier_life() {
    let now = Instant(1_000_000);
    let mut planner = planner_with_late_load(now, after(now, 1_500));
    let name = TargetName::new("e1");
    planner.place(key(3), request("base/c1"), after(now, 1_600));
    let sent = orders(planner.take_actions());
    let kinds: Vec<_> = sent.iter().map(|(_, order)| order.kind).collect();
    assert_eq!(
        kinds,
        [OrderKind::Unload],
        "the last slot may be taken by the late load"
    );
    planner.order_ended(&name, OrderOutcome::Done, after(now, 1_610));
    let sent = orders(planner.take_actions());
    let kinds: Vec<_> = sent.iter().map(|(_, order)| order.kind).collect();
    assert_eq!(kinds, [OrderKind::Load]);
}

#[test]
fn unanswered_load_reserves_no_slot_after_its_ttl() {
    let now = Instant(1_000_000);
    let mut planner = planner_with_late_load(now, after(now, 13_000));
    planner.place(key(3), request("base/c1"), after(now, 13_100));
    let sent = orders(planner.take_actions());
    let kinds: Vec<_> = sent.iter().map(|(_, order)| order.kind).collect();
    assert_eq!(kinds, [OrderKind::Load]);
}

#[test]
fn list_without_lives_still_marks_an_engine_as_draining() {
    let now = Instant(1_000_000);
    let mut planner = ZonePlanner::new(EngineEstimates::per_zone(1, 3.0), limits(), now);
    planner.set_targets(vec![entry("e1")], now);
    planner.tick(now);
    let own = EngineReport {
        life: TargetLife::started_at_ms(1_000),
        ..report(&["base/a1"], 0)
    };
    planner.report_received(&TargetName::new("e1"), Some(&own), now);
    let mut unloading = (*entry("e1")).clone();
    unloading.stage = TargetStage::Draining;
    planner.set_targets(vec![Arc::new(unloading)], after(now, 10));
    planner.place(key(1), request("base/a1"), after(now, 20));
    let sent = answers(&planner.take_actions());
    assert!(
        matches!(sent[..], [(_, PlacementAnswer::Refuse { .. })]),
        "{sent:?}"
    );
}

/// Runs a planner whose first call never begins for 4 s, with reports of this many requests, and places another call.
fn place_beside_overdue_prompt(reported_requests: u32) -> PlacementAnswer {
    let start = Instant(10_000_000);
    let mut planner = planner_with_running_call(start);
    let engine = TargetName::new("e1");
    let mut now = start;
    while now < after(start, 4_000) {
        now = after(now, 50);
        planner.tick(now);
        for action in planner.take_actions() {
            if matches!(action, PlannerAction::FetchReport(_)) {
                let shown = EngineReport {
                    life: TargetLife::started_at_ms(1_000),
                    requests: reported_requests,
                    ..report(&["base/a1"], 1)
                };
                planner.report_received(&engine, Some(&shown), now);
            }
        }
    }
    let urgent = PlacementRequest {
        bound_ms: 300,
        ..request("base/a1")
    };
    planner.place(key(2), urgent, now);
    let mut answers = answers(&planner.take_actions());
    answers.remove(0).1
}

/// The gateway's connection hangs, so its engine never gets the prompt, which is overdue for as long as the call waits.
#[test]
fn prompts_that_never_arrive_do_not_make_an_idle_engine_look_busy() {
    let answer = place_beside_overdue_prompt(0);
    assert!(matches!(answer, PlacementAnswer::Send { .. }), "{answer:?}");
}

/// The report shows that the prompt is at the engine, so the engine is slow or stands still.
#[test]
fn overdue_prompts_that_a_report_accounts_for_still_count_as_backlog() {
    let answer = place_beside_overdue_prompt(1);
    let PlacementAnswer::Refuse { cause, .. } = answer else {
        panic!("placed behind an overdue prompt");
    };
    assert!(matches!(cause, RefusalCause::TooLong(_)), "{cause:?}");
}

/// A planner of one engine whose slots are all in use by calls 1 to 4.
fn planner_without_free_slots(admission: Option<SlotAdmission>, now: Instant) -> ZonePlanner {
    let mut planner = planner(&["e1"], now);
    planner.set_policy(PlacementPolicy {
        admission,
        ..PlacementPolicy::default()
    });
    for number in 1..=ADAPTER_SLOTS as u64 {
        planner.place(key(number), request(&format!("base/a{number}")), now);
        accept_orders(&mut planner, now);
    }
    planner
}

fn refusal(actions: &VecDeque<PlannerAction>, number: u64) -> Option<RefusalCause> {
    answers(actions)
        .into_iter()
        .find_map(|(call, answer)| match answer {
            PlacementAnswer::Refuse { cause, .. } if call == key(number) => Some(cause),
            _ => None,
        })
}

/// Guards against a call that is refused, or sent while another call uses the slot that it needs.
#[test]
fn call_without_a_slot_waits_for_the_next_one_that_is_freed() {
    let now = Instant(1_000_000);
    let mut planner = planner_without_free_slots(None, now);
    planner.place(key(9), request("base/a9"), now);
    let refused = refusal(&planner.take_actions(), 9);
    assert_eq!(refused, Some(RefusalCause::NoEngine));

    let mut planner = planner_without_free_slots(Some(SlotAdmission::default()), now);
    planner.place(key(9), request("base/a9"), now);
    planner.tick(after(now, 400));
    assert_eq!(answers(&planner.take_actions()), Vec::new());
    assert_eq!(planner.shortage(after(now, 400)).queued_calls, 1);
    planner.call_ended(&key(2), Some(&TargetName::new("e1")), None, after(now, 410));
    let unload = orders(planner.take_actions()).remove(0).1;
    assert_eq!(
        (unload.kind, unload.subject.as_str()),
        (OrderKind::Unload, "base/a2")
    );
    planner.order_ended(&TargetName::new("e1"), OrderOutcome::Done, after(now, 410));
    let sent = accept_orders(&mut planner, after(now, 410));
    assert_eq!(sent, [(key(9), TargetName::new("e1"))]);
    assert_eq!(planner.shortage(after(now, 410)).queued_calls, 0);
}

/// Guards against a withdrawn call, or one of a lost gateway, that gets a slot.
#[test]
fn calls_of_lost_gateways_and_withdrawn_calls_leave_the_slot_queue() {
    let now = Instant(1_000_000);
    let mut planner = planner_without_free_slots(Some(SlotAdmission::default()), now);
    planner.place(key(8), request("base/a8"), now);
    planner.call_ended(&key(8), None, None, now);
    let lost = CallKey {
        vm: VmName::new("lost"),
        number: 9,
    };
    planner.place(lost.clone(), request("base/a9"), now);
    planner.forget_gateway(&lost.vm, now);
    assert_eq!(planner.shortage(now).queued_calls, 0);
    planner.call_ended(&key(1), Some(&TargetName::new("e1")), None, after(now, 400));
    let actions = planner.take_actions();
    assert_eq!(answers(&actions), Vec::new());
    assert!(orders(actions).is_empty());
}

/// Guards against a call that is held beyond its bound, or in a zone that has lost the engines that could serve it.
#[test]
fn queued_call_is_refused_when_its_bound_no_longer_leaves_time_for_a_load() {
    let now = Instant(1_000_000);
    let mut planner = planner_without_free_slots(Some(SlotAdmission::default()), now);
    let bounded = PlacementRequest {
        bound_ms: 900,
        ..request("base/a9")
    };
    planner.place(key(9), bounded, now);
    planner.set_targets(Vec::new(), after(now, 100));
    planner.tick(after(now, 600));
    assert_eq!(refusal(&planner.take_actions(), 9), None);
    planner.tick(after(now, 700));
    let refused = refusal(&planner.take_actions(), 9);
    assert!(
        matches!(refused, Some(RefusalCause::TooLong(_))),
        "{refused:?}"
    );
}

/// Guards against a new holder that queues more calls than its engines can serve before it knows how fast slots are
/// freed, and against a full queue that refuses the more urgent call.
#[test]
fn new_holder_queues_one_call_for_each_engine_and_keeps_the_more_urgent_one() {
    let now = Instant(1_000_000);
    let mut planner = planner_without_free_slots(Some(SlotAdmission::default()), now);
    planner.place(key(8), request("base/a8"), now);
    let urgent = PlacementRequest {
        priority: 0,
        ..request("base/a9")
    };
    planner.place(key(9), urgent, now);
    let actions = planner.take_actions();
    assert!(matches!(
        refusal(&actions, 8),
        Some(RefusalCause::TooLong(_))
    ));
    assert_eq!(refusal(&actions, 9), None);
    assert_eq!(planner.shortage(now).queued_calls, 1);
}

/// Guards against an expected wait that still counts the slots of engines that are lost.
#[test]
fn expected_wait_rises_when_engines_are_lost() {
    let now = Instant(1_000_000);
    let mut planner = planner(&["e1", "e2"], now);
    planner.set_policy(PlacementPolicy {
        admission: Some(SlotAdmission::default()),
        ..PlacementPolicy::default()
    });
    let mut sent = VecDeque::new();
    // One call ends and one arrives every 50 ms, while one or two wait.
    for number in 0..70 {
        let time = after(now, number * 50);
        planner.tick(time);
        planner.place(key(number), request(&format!("base/a{number}")), time);
        if number > 30
            && let Some((call, name)) = sent.pop_front()
        {
            planner.call_ended(&call, Some(&name), None, time);
        }
        loop {
            let actions = planner.take_actions();
            if actions.is_empty() {
                break;
            }
            for (call, answer) in answers(&actions) {
                if let PlacementAnswer::Send { target, .. } = answer {
                    sent.push_back((call, target));
                }
            }
            for action in &actions {
                if let PlannerAction::FetchReport(entry) = action {
                    planner.report_received(&entry.name, None, time);
                }
            }
            for (name, order) in orders(actions) {
                let outcome = match order.kind {
                    OrderKind::Load => OrderOutcome::Begun,
                    OrderKind::Unload => OrderOutcome::Done,
                };
                planner.order_ended(&name, outcome, time);
            }
        }
    }
    let time = after(now, 3_500);
    let before = planner.shortage(time);
    planner.set_targets(vec![entry("e1")], time);
    let later = planner.shortage(time);
    assert!(before.queued_calls > 0, "{before:?}");
    let [before, later] = [before, later].map(|shortage| shortage.load_wait_ms - shortage.load_ms);
    assert!(later >= 2 * before - 1, "{before} ms, then {later} ms");
}
