//! A copy that is to be replaced by a newer version and that its engine no longer has when its report comes: an unload
//! was carried out late, or the engine has started again and nobody tells lives.

use hoplanding_core::{
    direct::{
        catalog::{TargetEntry, TargetStage},
        config::EngineLimits,
        engine::{EngineOrder, EngineReport, OrderKind, OrderOutcome},
        planner::{
            CallKey, EngineEstimates, PlacementRequest, PlacementTerms, PlannerAction, ZonePlanner,
        },
    },
    ids::{AdapterName, AvailabilityZone, Instant, ServiceName, TargetLife, TargetName, VmName},
};
use std::{sync::Arc, time::Duration};

/// Adapters that the engine has places for.
const PLACES: usize = 2;
/// Time by which nothing of an earlier holder is on its way any more.
const SETTLED: Instant = Instant(60_000_000);

fn engine_name() -> TargetName {
    TargetName::new("e1")
}

fn entry() -> Arc<TargetEntry> {
    Arc::new(TargetEntry {
        name: engine_name(),
        life: TargetLife::default(),
        service: ServiceName::new("scribe"),
        address: "127.0.0.1:9".parse().expect("an address"),
        zone: AvailabilityZone::new("hall"),
        slots: 8,
        stage: TargetStage::Ready,
        remaining: None,
        warmup_remaining: Duration::ZERO,
        orders_taken: 0,
        models: vec![("base".to_owned(), 1)],
        adapters: Vec::new(),
    })
}

fn report(adapters: &[(&str, u64)], orders_taken: u64) -> EngineReport {
    let held = adapters.iter();
    EngineReport {
        orders_taken,
        models: vec![(AdapterName::new("base"), 1)],
        adapters: held
            .map(|(adapter, version)| (AdapterName::new(adapter), *version))
            .collect(),
        ..EngineReport::default()
    }
}

fn key(number: u64) -> CallKey {
    CallKey {
        vm: VmName::new("vm"),
        number,
    }
}

fn ask(adapter: &str) -> PlacementRequest {
    PlacementRequest {
        fingerprint: Default::default(),
        is_trial: false,
        charge: None,
        subject: AdapterName::new(adapter),
        prompt_tokens: 400,
        output_tokens: 50,
        prefix: Vec::new(),
        priority: 1,
        bound_ms: 2_000,
        exclude: Vec::new(),
        resting: Vec::new(),
        may_load: true,
        terms: PlacementTerms::Take,
    }
}

/// What the planner wanted since the last look: orders, and calls that were answered.
fn wanted(planner: &mut ZonePlanner) -> (Vec<EngineOrder>, Vec<CallKey>) {
    let (mut orders, mut answered) = (Vec::new(), Vec::new());
    for action in planner.take_actions() {
        match action {
            PlannerAction::Order(_, order) => orders.push(order),
            PlannerAction::Answer(key, _) => answered.push(key),
            PlannerAction::FetchReport(_) | PlannerAction::RecordTransfer(_) => {}
        }
    }
    (orders, answered)
}

/// A planner whose engine did not take the replacement of its adapter, so that it waits for a report, and a call behind it.
fn planner_with_an_outdated_copy() -> ZonePlanner {
    let limits = EngineLimits {
        slots: 8,
        kv_tokens: 1_000_000,
        adapter_slots: PLACES as u32,
        loads_per_s: 3.0,
        models: vec![AdapterName::new("base")],
    };
    let figures = EngineEstimates::per_zone(1, 3.0);
    let mut planner = ZonePlanner::new(figures, limits, Instant(1_000_000));
    planner.set_targets(vec![entry()], SETTLED);
    planner.tick(SETTLED);
    planner.report_received(&engine_name(), Some(&report(&[("base/a1", 1)], 0)), SETTLED);
    let now = SETTLED.after(Duration::from_secs(3));
    planner.set_version(&AdapterName::new("base/a1"), 2, now);
    planner.order_ended(&engine_name(), OrderOutcome::Conflict, now);
    planner.tick(now);
    planner.place(key(1), ask("base/a1"), now);
    planner.take_actions();
    planner
}

#[test]
fn a_call_behind_a_replacement_is_answered_though_the_copy_is_gone() {
    let mut planner = planner_with_an_outdated_copy();
    let mut now = SETTLED.after(Duration::from_secs(4));
    planner.report_received(&engine_name(), Some(&report(&[], 1)), now);
    let mut answered = Vec::new();
    for _ in 0..200 {
        let (orders, calls) = wanted(&mut planner);
        answered.extend(calls);
        for _ in orders {
            planner.order_ended(&engine_name(), OrderOutcome::Begun, now);
        }
        now = now.after(Duration::from_millis(50));
        planner.tick(now);
    }
    assert_eq!(answered, [key(1)]);
}

#[test]
fn a_replacement_whose_copy_is_gone_takes_a_place() {
    let mut planner = planner_with_an_outdated_copy();
    let mut now = SETTLED.after(Duration::from_secs(4));
    planner.report_received(&engine_name(), Some(&report(&[], 1)), now);
    for number in 2..=4 {
        planner.place(key(number), ask(&format!("base/a{number}")), now);
    }
    // Adapters that the engine has by the orders that it took.
    let mut held = 0_usize;
    for _ in 0..200 {
        for order in wanted(&mut planner).0 {
            match order.kind {
                OrderKind::Load => held += 1,
                OrderKind::Unload => held -= 1,
            }
            assert!(held <= PLACES, "ordered beyond its places: {order:?}");
            let outcome = match order.kind {
                OrderKind::Load => OrderOutcome::Begun,
                OrderKind::Unload => OrderOutcome::Done,
            };
            planner.order_ended(&engine_name(), outcome, now);
        }
        now = now.after(Duration::from_millis(50));
        planner.tick(now);
    }
}
