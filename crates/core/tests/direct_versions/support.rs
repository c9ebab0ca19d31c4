//! A planner, its engines and the calls that are placed there.

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
    ids::{AdapterName, AvailabilityZone, Instant, ServiceName, TargetLife, TargetName, VmName},
};
use std::{net::SocketAddr, sync::Arc, time::Duration};

/// Time of the calls.
pub const SETTLED: Instant = Instant(60_000_000);
/// Until when no other holder can have given orders.
pub const LED: Instant = Instant(68_000_000);
/// Time that an engine takes for all of the prompt.
pub const READING: Duration = Duration::from_millis(240);
/// Time after which a load is there for certain.
pub const LOADED: Duration = Duration::from_secs(3);
/// A prompt of which most is shared: moving it saves more than it costs.
pub const PROMPT: [(u64, u32); 3] = [(1, 2_520), (2, 3_780), (3, 2_890)];

pub fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], number))
}

pub fn target(number: u16) -> TargetName {
    TargetName::new(&format!("e{number}"))
}

pub fn adapter() -> AdapterName {
    AdapterName::new("base/a1")
}

pub fn entry(number: u16) -> TargetEntry {
    TargetEntry {
        name: target(number),
        life: TargetLife::default(),
        service: ServiceName::new("scribe"),
        address: address(number),
        zone: AvailabilityZone::new("hall"),
        slots: 8,
        stage: TargetStage::Ready,
        remaining: None,
        warmup_remaining: Duration::ZERO,
        orders_taken: 0,
        models: vec![("base".to_owned(), 1)],
        adapters: Vec::new(),
    }
}

/// An entry that lists the adapter, written when the engine had taken so many orders.
pub fn listed(number: u16, version: u64, orders_taken: u64) -> TargetEntry {
    let resident = ResidentAdapter {
        adapter: adapter(),
        version,
    };
    TargetEntry {
        orders_taken,
        adapters: vec![resident],
        ..entry(number)
    }
}

pub fn key(number: u64) -> CallKey {
    CallKey {
        vm: VmName::new("vm"),
        number,
    }
}

pub fn report(base: u64, version: u64) -> EngineReport {
    EngineReport {
        models: vec![(AdapterName::new("base"), base)],
        adapters: vec![(adapter(), version)],
        ..EngineReport::default()
    }
}

/// A planner that has long held its zone, with these engines and what they report.
pub fn planner(engines: &[(TargetEntry, EngineReport)]) -> ZonePlanner {
    held_from(Instant(1_000_000), engines)
}

/// A planner that holds its zone from a time on.
pub fn held_from(began: Instant, engines: &[(TargetEntry, EngineReport)]) -> ZonePlanner {
    let limits = EngineLimits {
        slots: 8,
        kv_tokens: 1_000_000,
        adapter_slots: 8,
        loads_per_s: 3.0,
        models: vec![AdapterName::new("base")],
    };
    let figures = EngineEstimates::per_zone(1, 3.0);
    let mut planner = ZonePlanner::new(figures, limits, began);
    let entries = engines.iter().map(|(entry, _)| Arc::new(entry.clone()));
    planner.set_lead_until(LED);
    planner.set_targets(entries.collect(), began);
    planner.tick(began);
    for (entry, report) in engines {
        planner.report_received(&entry.name, Some(report), began);
    }
    planner.take_actions();
    planner
}

/// Engines of these versions of base model and adapter.
pub fn engines(versions: &[(u64, u64)]) -> Vec<(TargetEntry, EngineReport)> {
    (1..)
        .zip(versions)
        .map(|(number, (base, version))| (entry(number), report(*base, *version)))
        .collect()
}

/// Where a call was placed, and what it is sent with.
#[derive(Debug, PartialEq, Eq)]
pub struct PlacedCall {
    pub target: TargetName,
    pub fetch: Option<SocketAddr>,
    pub version: Option<u64>,
}

/// A call for the adapter.
pub fn ask(tried: &[&str]) -> PlacementRequest {
    ask_for("base/a1", tried)
}

pub fn ask_for(subject: &str, tried: &[&str]) -> PlacementRequest {
    PlacementRequest {
        fingerprint: Default::default(),
        is_trial: false,
        charge: None,
        subject: AdapterName::new(subject),
        prompt_tokens: PROMPT.iter().map(|(_, tokens)| tokens).sum(),
        output_tokens: 50,
        prefix: PROMPT.to_vec(),
        priority: 1,
        bound_ms: 60_000,
        exclude: tried.iter().map(|name| TargetName::new(name)).collect(),
        resting: Vec::new(),
        may_load: false,
        terms: PlacementTerms::Take,
    }
}

/// A call for which the adapter may be loaded.
pub fn loading(tried: &[&str]) -> PlacementRequest {
    PlacementRequest {
        may_load: true,
        ..ask(tried)
    }
}

/// Places a call at an engine that it has not been to.
pub fn place(planner: &mut ZonePlanner, number: u64, tried: &[&str], now: Instant) -> PlacedCall {
    planner.place(key(number), ask(tried), now);
    placed(planner)
}

/// The same for another adapter, or for the base model.
pub fn place_for(
    planner: &mut ZonePlanner,
    number: u64,
    subject: &str,
    tried: &[&str],
) -> PlacedCall {
    planner.place(key(number), ask_for(subject, tried), SETTLED);
    placed(planner)
}

pub fn placed(planner: &mut ZonePlanner) -> PlacedCall {
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

/// A call is placed at the engine that it has not been to, runs there and ends; its answer tells this version.
pub fn read(planner: &mut ZonePlanner, number: u64, tried: &[&str], base: u64, now: Instant) {
    let placed = place(planner, number, tried, now);
    let now = now.after(READING);
    planner.call_started(&key(number), &placed.target, Some(base), now);
    planner.call_ended(&key(number), Some(&placed.target), None, now);
}

/// Engines that have been ordered to load since the last look.
pub fn replaced(planner: &mut ZonePlanner) -> Vec<TargetName> {
    let actions = planner.take_actions().into_iter();
    let loads = actions.filter_map(|action| match action {
        PlannerAction::Order(entry, order) if order.kind == OrderKind::Load => {
            Some(entry.name.clone())
        }
        _ => None,
    });
    loads.collect()
}

pub fn name_version(planner: &mut ZonePlanner, version: u64, now: Instant) {
    planner.set_version(&adapter(), version, now);
    planner.tick(now);
}
