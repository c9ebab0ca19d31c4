//! A planner with its engines, and calls that are placed there.

use hoplanding_core::{
    direct::{
        catalog::{ResidentAdapter, TargetEntry, TargetStage},
        config::EngineLimits,
        engine::{EngineReport, OrderKind},
        planner::{
            CallKey, EngineEstimates, PlacementAnswer, PlacementRequest, PlacementTerms,
            PlannerAction, ZonePlanner,
        },
    },
    ids::{
        AdapterName, AvailabilityZone, Instant, ServiceName, SoftwareVersion, TargetLife,
        TargetName, VmName,
    },
};
use std::{net::SocketAddr, sync::Arc, time::Duration};

/// Time of the calls, when no order of an earlier holder can be in flight.
pub const SETTLED: Instant = Instant(60_000_000);
/// Time until which no other holder can have given orders.
pub const SOLE_UNTIL: Instant = Instant(68_000_000);
/// Time that an engine takes to prefill the whole prompt.
pub const PREFILL_TIME: Duration = Duration::from_millis(240);
/// Time after which a load is certainly complete.
pub const LOAD_TIME: Duration = Duration::from_secs(3);
/// A prompt that is mostly shared, so that a cache transfer saves more than it costs.
pub const PROMPT: [(u64, u32); 3] = [(1, 2_520), (2, 3_780), (3, 2_890)];

pub fn engine_address(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], number))
}

pub fn target_name(number: u16) -> TargetName {
    TargetName::new(&format!("e{number}"))
}

pub fn adapter_name() -> AdapterName {
    AdapterName::new("base/a1")
}

pub fn target_entry(number: u16) -> TargetEntry {
    TargetEntry {
        name: target_name(number),
        life: TargetLife::default(),
        service: ServiceName::new("scribe"),
        address: engine_address(number),
        zone: AvailabilityZone::new("hall"),
        slots: 8,
        stage: TargetStage::Ready,
        remaining: None,
        software: SoftwareVersion::default(),
        warmup_remaining: Duration::ZERO,
        orders_taken: 0,
        models: vec![("base".to_owned(), 1)],
        adapters: Vec::new(),
    }
}

/// An entry that lists the adapter, with this counter of orders.
pub fn listed_entry(number: u16, version: u64, orders_taken: u64) -> TargetEntry {
    let resident = ResidentAdapter {
        adapter: adapter_name(),
        version,
    };
    TargetEntry {
        orders_taken,
        adapters: vec![resident],
        ..target_entry(number)
    }
}

pub fn call_key(number: u64) -> CallKey {
    CallKey {
        vm: VmName::new("vm"),
        number,
    }
}

pub fn engine_report(base: u64, version: u64) -> EngineReport {
    EngineReport {
        models: vec![(AdapterName::new("base"), base)],
        adapters: vec![(adapter_name(), version)],
        ..EngineReport::default()
    }
}

/// A planner that has held its zone for long, with these engines and their reports.
pub fn zone_planner(engines: &[(TargetEntry, EngineReport)]) -> ZonePlanner {
    planner_since(Instant(1_000_000), engines)
}

/// A planner that has held its zone since a time.
pub fn planner_since(held_since: Instant, engines: &[(TargetEntry, EngineReport)]) -> ZonePlanner {
    let limits = EngineLimits {
        slots: 8,
        kv_tokens: 1_000_000,
        adapter_slots: 8,
        adapters: 0,
        loads_per_s: 3.0,
        models: vec![AdapterName::new("base")],
    };
    let figures = EngineEstimates::per_zone(1, 3.0);
    let mut planner = ZonePlanner::new(figures, limits, held_since);
    let entries = engines.iter().map(|(entry, _)| Arc::new(entry.clone()));
    planner.set_sole_until(SOLE_UNTIL);
    planner.set_targets(entries.collect(), held_since);
    planner.tick(held_since);
    for (entry, report) in engines {
        planner.report_received(&entry.name, Some(report), held_since);
    }
    planner.take_actions();
    planner
}

/// Engines with these versions of base model and adapter.
pub fn engine_list(versions: &[(u64, u64)]) -> Vec<(TargetEntry, EngineReport)> {
    (1..)
        .zip(versions)
        .map(|(number, (base, version))| (target_entry(number), engine_report(*base, *version)))
        .collect()
}

/// Target of a call, and the source and version that it is sent with.
#[derive(Debug, PartialEq, Eq)]
pub struct PlacedCall {
    pub target: TargetName,
    pub fetch: Option<SocketAddr>,
    pub version: Option<u64>,
}

/// A call for the adapter that excludes some engines.
pub fn placement_request(excluded: &[&str]) -> PlacementRequest {
    placement_request_for("base/a1", excluded)
}

pub fn placement_request_for(subject: &str, excluded: &[&str]) -> PlacementRequest {
    PlacementRequest {
        service: Default::default(),
        fingerprint: Default::default(),
        is_trial: false,
        charge: None,
        subject: AdapterName::new(subject),
        prompt_tokens: PROMPT.iter().map(|(_, tokens)| tokens).sum(),
        output_tokens: 50,
        prefix: PROMPT.to_vec(),
        priority: 1,
        bound_ms: 60_000,
        exclude: excluded.iter().map(|name| TargetName::new(name)).collect(),
        backing_off: Vec::new(),
        may_load: false,
        terms: PlacementTerms::Take,
    }
}

/// A call for which the adapter may be loaded.
pub fn loading_request(excluded: &[&str]) -> PlacementRequest {
    PlacementRequest {
        may_load: true,
        ..placement_request(excluded)
    }
}

/// Places a call for the adapter at an engine that is not excluded.
pub fn place_call(
    planner: &mut ZonePlanner,
    number: u64,
    excluded: &[&str],
    now: Instant,
) -> PlacedCall {
    planner.place(call_key(number), placement_request(excluded), now);
    take_placement(planner)
}

/// Places a call for another adapter or for the base model.
pub fn place_call_for(
    planner: &mut ZonePlanner,
    number: u64,
    subject: &str,
    excluded: &[&str],
) -> PlacedCall {
    planner.place(
        call_key(number),
        placement_request_for(subject, excluded),
        SETTLED,
    );
    take_placement(planner)
}

pub fn take_placement(planner: &mut ZonePlanner) -> PlacedCall {
    let actions = planner.take_actions();
    let answer = actions.iter().find_map(|action| match action {
        PlannerAction::Answer(_, answer) => Some(answer.clone()),
        _ => None,
    });
    match answer {
        Some(PlacementAnswer::Send {
            target,
            fetch,
            version,
            ..
        }) => PlacedCall {
            target,
            fetch,
            version,
        },
        _ => panic!("not placed: {actions:?}"),
    }
}

/// Places a call at an engine that is not excluded, where it runs and ends; its answer states the base model's version.
pub fn complete_call(
    planner: &mut ZonePlanner,
    number: u64,
    excluded: &[&str],
    base: u64,
    now: Instant,
) {
    let placed = place_call(planner, number, excluded, now);
    let now = now.after(PREFILL_TIME);
    planner.call_started(&call_key(number), &placed.target, Some(base), now);
    planner.call_ended(&call_key(number), Some(&placed.target), None, now);
}

/// Engines that were ordered to load since the last call of this function.
pub fn take_load_orders(planner: &mut ZonePlanner) -> Vec<TargetName> {
    let actions = planner.take_actions().into_iter();
    let loads = actions.filter_map(|action| match action {
        PlannerAction::Order(entry, order) if order.kind == OrderKind::Load => {
            Some(entry.name.clone())
        }
        _ => None,
    });
    loads.collect()
}

pub fn set_adapter_version(planner: &mut ZonePlanner, version: u64, now: Instant) {
    planner.set_version(&adapter_name(), version, now);
    planner.tick(now);
}
