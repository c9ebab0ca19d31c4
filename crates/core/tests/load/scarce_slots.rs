//! Calls for more adapters than a zone has slots for: what callers get with and without the queue for slots.

use crate::simulation::{
    CallClass, CallerOutcomes, EngineSpeed, LoadSimulation, SlotScenario, describe, seeds,
};
use hoplanding_core::direct::policy::{PlacementPolicy, SlotAdmission};
use std::time::Duration;

/// 20 engines of the deployments in docs/design/scarce-capacity.md, which may use the whole weight store.
const SCENARIO: SlotScenario = SlotScenario {
    adapters: (10_000, 0.7),
    slots: (8, 12),
    load_micros: Some((288_000, 29_000)),
    store_capacity: 112,
    order_micros: 3_000,
    callers_retry: true,
    counted_from: 5_000_000,
};
const ENGINES: [EngineSpeed; 20] = [EngineSpeed {
    prefill_tokens_per_ms: 30.0,
    slow_period: None,
}; 20];

fn call_class(rank: u8, per_s: f64, objective_ms: u64, deadline_ms: u64) -> CallClass {
    CallClass {
        per_s,
        tokens: 300.0,
        spread: 0.3,
        output: 21,
        rank,
        objective_ms,
        first_event_timeout_ms: deadline_ms,
        shared: (0, 1),
    }
}

/// Calls of the second deployment at a third of its engines, with a factor for the rate.
fn uneven_calls(factor: f64) -> [CallClass; 3] {
    [
        call_class(0, 22.0 * factor, 1_000, 8_000),
        call_class(1, 221.0 * factor, 600, 4_000),
        call_class(2, 8.0 * factor, 800, 4_000),
    ]
}

/// Calls of the first deployment at 20 of its 90 engines.
fn urgent_calls(factor: f64) -> [CallClass; 3] {
    [
        call_class(0, 141.0 * factor, 500, 5_000),
        call_class(1, 6.0 * factor, 800, 4_000),
        call_class(2, 33.0 * factor, 2_000, 10_000),
    ]
}

/// Outcomes without and with the queue.
fn simulate(classes: &[CallClass], seed: u64) -> [Vec<CallerOutcomes>; 2] {
    [None, Some(SlotAdmission::default())].map(|admission| {
        let mut simulation = LoadSimulation::new(&ENGINES, classes, seed);
        simulation.set_scenario(SCENARIO);
        simulation.set_policy(PlacementPolicy {
            admission,
            ..PlacementPolicy::default()
        });
        simulation.run(Duration::from_secs(20))
    })
}

/// Guards against a queue that delays or refuses calls while slots are free.
#[test]
fn calls_are_served_as_without_a_queue_while_slots_are_free() {
    for seed in seeds(2) {
        for classes in [uneven_calls(0.5), urgent_calls(1.0)] {
            let outcomes = simulate(&classes, seed);
            let lines = outcomes.each_ref().map(|outcomes| describe(outcomes));
            for (without, with) in outcomes[0].iter().zip(&outcomes[1]) {
                let is_same = with.in_time >= without.in_time && with.refusal_waits.is_empty();
                assert!(is_same, "seed {seed}: {lines:#?}");
            }
        }
    }
}

/// Guards against callers of high rank that are refused although slots are freed every few milliseconds, and against
/// less urgent ones that are served better, or not at all.
#[test]
fn urgent_calls_are_served_first_when_slots_are_scarce() {
    for seed in seeds(2) {
        for classes in [uneven_calls(1.5), urgent_calls(1.75)] {
            let outcomes = simulate(&classes, seed);
            let lines = outcomes.each_ref().map(|outcomes| describe(outcomes));
            let [without, with] = &outcomes;
            assert!(without[0].refused > 0.0, "no shortage: {lines:#?}");
            let [urgent, others @ ..] = with.as_slice() else {
                panic!("no classes");
            };
            let is_urgent_better = urgent.in_time_ratio() >= without[0].in_time_ratio()
                && urgent.served_ratio() >= without[0].served_ratio();
            assert!(is_urgent_better, "seed {seed}: {lines:#?}");
            for less_urgent in others {
                let served = less_urgent.served_ratio();
                // The share of slots that is not given by rank.
                let is_in_order = served <= urgent.served_ratio() && served >= 0.2;
                assert!(is_in_order, "seed {seed}: {lines:#?}");
            }
        }
    }
}
