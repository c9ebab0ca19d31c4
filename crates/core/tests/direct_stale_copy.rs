//! An adapter copy that is to be replaced by a newer version but is no longer on its engine when the report arrives,
//! because an unload took effect late or the engine restarted and neither list nor reports contain lives.

use hoplanding_core::{
    direct::{
        catalog::{TargetEntry, TargetStage},
        config::EngineLimits,
        engine::{EngineOrder, EngineReport, OrderKind, OrderOutcome},
        planner::{
            CallKey, EngineEstimates, PlacementRequest, PlacementTerms, PlannerAction, ZonePlanner,
        },
    },
    ids::{
        AdapterName, AvailabilityZone, Instant, ServiceName, SoftwareVersion, TargetLife,
        TargetName, VmName,
    },
};
use std::{sync::Arc, time::Duration};

/// Adapter slots of the engine.
const ADAPTER_SLOTS: usize = 2;
/// Time at which no order of an earlier holder can be in flight.
const SETTLED: Instant = Instant(60_000_000);

fn engine_name() -> TargetName {
    TargetName::new("e1")
}

fn target_entry() -> Arc<TargetEntry> {
    Arc::new(TargetEntry {
        name: engine_name(),
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

fn engine_report(adapters: &[(&str, u64)], orders_taken: u64) -> EngineReport {
    let resident = adapters.iter();
    EngineReport {
        orders_taken,
        models: vec![(AdapterName::new("base"), 1)],
        adapters: resident
            .map(|(adapter, version)| (AdapterName::new(adapter), *version))
            .collect(),
        ..EngineReport::default()
    }
}

fn call_key(number: u64) -> CallKey {
    CallKey {
        vm: VmName::new("vm"),
        number,
    }
}

fn placement_request(adapter: &str) -> PlacementRequest {
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
        bound_ms: 2_000,
        exclude: Vec::new(),
        backing_off: Vec::new(),
        may_load: true,
        terms: PlacementTerms::Take,
    }
}

/// Orders and answered calls that the planner has produced since the last call.
fn take_orders_and_answers(planner: &mut ZonePlanner) -> (Vec<EngineOrder>, Vec<CallKey>) {
    let (mut orders, mut answered) = (Vec::new(), Vec::new());
    for action in planner.take_actions() {
        match action {
            PlannerAction::Order(_, order) => orders.push(order),
            PlannerAction::Answer(key, _) => answered.push(key),
            PlannerAction::FetchReport(_)
            | PlannerAction::RecordTransfer(_)
            | PlannerAction::RecordSlotWait(_) => {}
        }
    }
    (orders, answered)
}

/// A planner whose engine refused the replacement of its adapter, so that the planner waits for a report, with a call
/// that waits for the replacement.
fn planner_with_stale_copy() -> ZonePlanner {
    let limits = EngineLimits {
        slots: 8,
        kv_tokens: 1_000_000,
        adapter_slots: ADAPTER_SLOTS as u32,
        adapters: 0,
        loads_per_s: 3.0,
        models: vec![AdapterName::new("base")],
    };
    let figures = EngineEstimates::per_zone(1, 3.0);
    let mut planner = ZonePlanner::new(figures, limits, Instant(1_000_000));
    planner.set_targets(vec![target_entry()], SETTLED);
    planner.tick(SETTLED);
    planner.report_received(
        &engine_name(),
        Some(&engine_report(&[("base/a1", 1)], 0)),
        SETTLED,
    );
    let now = SETTLED.after(Duration::from_secs(3));
    planner.set_version(&AdapterName::new("base/a1"), 2, now);
    planner.order_ended(&engine_name(), OrderOutcome::Conflict, now);
    planner.tick(now);
    planner.place(call_key(1), placement_request("base/a1"), now);
    planner.take_actions();
    planner
}

#[test]
fn call_that_waits_for_a_replacement_is_answered_after_the_copy_is_gone() {
    let mut planner = planner_with_stale_copy();
    let mut now = SETTLED.after(Duration::from_secs(4));
    planner.report_received(&engine_name(), Some(&engine_report(&[], 1)), now);
    let mut answered = Vec::new();
    for _ in 0..200 {
        let (orders, calls) = take_orders_and_answers(&mut planner);
        answered.extend(calls);
        for _ in orders {
            planner.order_ended(&engine_name(), OrderOutcome::Begun, now);
        }
        now = now.after(Duration::from_millis(50));
        planner.tick(now);
    }
    assert_eq!(answered, [call_key(1)]);
}

#[test]
fn replacement_whose_copy_is_gone_occupies_a_slot() {
    let mut planner = planner_with_stale_copy();
    let mut now = SETTLED.after(Duration::from_secs(4));
    planner.report_received(&engine_name(), Some(&engine_report(&[], 1)), now);
    for number in 2..=4 {
        planner.place(
            call_key(number),
            placement_request(&format!("base/a{number}")),
            now,
        );
    }
    // Adapters on the engine by the orders that it accepted.
    let mut loaded = 0_usize;
    for _ in 0..200 {
        for order in take_orders_and_answers(&mut planner).0 {
            match order.kind {
                OrderKind::Load => loaded += 1,
                OrderKind::Unload => loaded -= 1,
            }
            assert!(
                loaded <= ADAPTER_SLOTS,
                "more adapters than slots: {order:?}"
            );
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
