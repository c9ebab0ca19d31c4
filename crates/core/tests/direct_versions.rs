//! Memory of prompts that engines take from each other, and the versions that made it.
//!
//! Callers of one adapter got answers that were computed in part from other weights than the rest. New weights of the base model
//! had been named; some engines crashed, came back empty and loaded the newest, while their neighbours went on with the first
//! ones. A neighbour had kept the shared part of a prompt, and was named as its source: what an engine keeps was known by the
//! adapter's name alone. That it was this and not the adapter's own version was shown by plays of both: 318 runs used memory of
//! other weights where targets came back with new ones, none where adapters were replaced, though 104 of 412 moves
//! were between unlike versions of an adapter there. Both are the same fault.

use hoplanding_core::{
    direct::{
        catalog::{TargetEntry, TargetStage},
        config::EngineLimits,
        engine::EngineReport,
        planner::{
            AskTerms, CallKey, EngineFigures, PlacementAnswer, PlacementAsk, PlannerAction,
            ZonePlanner,
        },
    },
    ids::{AdapterName, AvailabilityZone, Instant, ServiceName, TargetLife, TargetName, VmName},
};
use std::{net::SocketAddr, sync::Arc, time::Duration};

/// Time by which nothing of an earlier holder is on its way any more.
const SETTLED: Instant = Instant(60_000_000);
/// Time that an engine takes for all of the prompt.
const READING: Duration = Duration::from_millis(240);
/// A prompt of which most is shared: moving it saves more than it costs.
const PROMPT: [(u64, u32); 3] = [(1, 2_520), (2, 3_780), (3, 2_890)];

fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], number))
}

fn entry(number: u16) -> Arc<TargetEntry> {
    Arc::new(TargetEntry {
        name: TargetName::new(&format!("e{number}")),
        life: TargetLife::default(),
        service: ServiceName::new("scribe"),
        address: address(number),
        zone: AvailabilityZone::new("hall"),
        slots: 8,
        stage: TargetStage::Ready,
        remaining: None,
        cold: Duration::ZERO,
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

fn report(base: u64, adapter: u64) -> EngineReport {
    EngineReport {
        models: vec![(AdapterName::new("base"), base)],
        adapters: vec![(AdapterName::new("base/a1"), adapter)],
        ..EngineReport::default()
    }
}

/// A planner that has long held its zone, with engines of these versions of base model and adapter.
fn planner(versions: &[(u64, u64)]) -> ZonePlanner {
    let limits = EngineLimits {
        slots: 8,
        kv_tokens: 1_000_000,
        adapter_slots: 4,
        loads_per_s: 3.0,
        models: vec![AdapterName::new("base")],
    };
    let figures = EngineFigures::shared_by(1, 3.0);
    let mut planner = ZonePlanner::new(figures, limits, Instant(1_000_000));
    let entries = (1..).zip(versions).map(|(number, _)| entry(number));
    planner.set_targets(entries.collect(), SETTLED);
    planner.tick(SETTLED);
    for (number, (base, adapter)) in (1..).zip(versions) {
        let name = TargetName::new(&format!("e{number}"));
        planner.report_came(&name, Some(&report(*base, *adapter)), SETTLED);
    }
    planner.take_actions();
    planner
}

/// Where a call was placed, and what it is sent with.
#[derive(Debug, PartialEq, Eq)]
struct PlacedCall {
    target: TargetName,
    fetch: Option<SocketAddr>,
    version: Option<u64>,
}

/// Places a call at the only engine that it has not been to.
fn place(planner: &mut ZonePlanner, number: u64, subject: &str, tried: &[&str]) -> PlacedCall {
    let ask = PlacementAsk {
        subject: AdapterName::new(subject),
        prompt_tokens: PROMPT.iter().map(|(_, tokens)| tokens).sum(),
        output_tokens: 50,
        prefix: PROMPT.to_vec(),
        priority: 1,
        bound_ms: 60_000,
        exclude: tried.iter().map(|name| TargetName::new(name)).collect(),
        may_load: false,
        terms: AskTerms::Take,
    };
    planner.place(key(number), ask, SETTLED);
    let mut answers = planner
        .take_actions()
        .into_iter()
        .filter_map(|action| match action {
            PlannerAction::Answer(_, answer) => Some(answer),
            _ => None,
        });
    match answers.next() {
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
        other => panic!("not placed: {other:?}"),
    }
}

/// A call is placed at the first engine, runs there and has its first event.
fn read_at_first(planner: &mut ZonePlanner, subject: &str, base: u64) {
    let placed = place(planner, 1, subject, &["e2"]);
    let now = SETTLED.after(READING);
    planner.begun(&key(1), &placed.target, Some(base), now);
    planner.ended(&key(1), Some(&placed.target), None, now);
}

#[test]
fn memory_of_another_version_is_no_source_after_new_weights() {
    for subject in ["base/a1", "base"] {
        let mut planner = planner(&[(1, 1), (7, 1)]);
        read_at_first(&mut planner, subject, 1);
        let placed = place(&mut planner, 2, subject, &["e1"]);
        assert_eq!(placed.target, TargetName::new("e2"));
        assert_eq!(placed.fetch, None, "{subject}: weights 1 for weights 7");
    }
}

#[test]
fn memory_of_another_version_is_no_source_after_a_new_adapter() {
    let mut planner = planner(&[(1, 1), (1, 2)]);
    read_at_first(&mut planner, "base/a1", 1);
    let placed = place(&mut planner, 2, "base/a1", &["e1"]);
    assert_eq!(placed.fetch, None, "adapter 1 for adapter 2");
    planner.set_version(&AdapterName::new("base/a1"), 2, SETTLED);
    planner.take_actions();
    let placed = place(&mut planner, 3, "base/a1", &["e1"]);
    assert_eq!(
        placed.fetch, None,
        "adapter 1 for adapter 2, which is named"
    );
}

#[test]
fn memory_of_the_same_versions_moves() {
    for subject in ["base/a1", "base"] {
        let mut planner = planner(&[(7, 2), (7, 2)]);
        read_at_first(&mut planner, subject, 7);
        let placed = place(&mut planner, 2, subject, &["e1"]);
        assert_eq!(placed.fetch, Some(address(1)), "{subject}");
    }
}

// New weights of the base model are named, and the engines that run go on with what they have: nothing in the orders replaces it
// under way. All calls for the base model itself asked for the new version, and every engine turned them away.
#[test]
fn a_call_for_a_base_model_asks_for_no_version_that_its_target_lacks() {
    let mut planner = planner(&[(1, 1), (1, 1)]);
    planner.set_version(&AdapterName::new("base"), 7, SETTLED);
    let placed = place(&mut planner, 1, "base", &[]);
    assert!(matches!(placed.version, None | Some(1)), "{placed:?}");
}
