//! Property tests of KV cache transfer between engines, over generated scenarios with new versions, crashes, late
//! orders, outdated reports and lists, and takeovers. The engine models follow the specification of the engines and
//! track the versions that made each cached segment. The planner is the real one and learns only what gateways, reports
//! and lists state.
//!
//! | module | contents |
//! |---|---|
//! | `scenario` | generated scenarios and their strategies |
//! | `regressions` | minimized scenarios that once broke a rule |
//! | `engine` | model of an engine's actual state |
//! | `simulation` | event-driven simulation of a zone, its gateways and the planner |

mod engine;
mod regressions;
mod scenario;
mod simulation;

use proptest::{
    prelude::Strategy,
    test_runner::{Config, RngSeed, TestCaseError, TestError, TestRunner},
};
use scenario::{Scenario, any_scenario, calm_scenario, restart_scenario};
use simulation::{Rule, Simulation, SimulationCounts};
use std::{cell::Cell, env, ops::Range};

/// Number of scenarios, unless `MEMORY_WORLDS` sets it.
const SCENARIOS: u32 = 400;
/// Number of scenarios without faults.
const CALM_SCENARIOS: u32 = 20;
/// Range of prompt reading times over all engines and prompt lengths, in ms.
const ANY_READ_MS: Range<u64> = 10..350;
/// Range of reading times for which a fetch saves enough, in ms. A fetch has to save 60 ms beyond the 20 ms that it
/// takes. All but a sixteenth of the prompt is shared, and the first 12 ms of reading are not saved by any fetch: 12 +
/// 80 x 16 / 15, rounded up by 2 ms.
const LONG_READ_MS: Range<u64> = 100..350;
/// Maximum number of scenarios per fetched segment. About 200 segments are fetched in 200 scenarios.
const SCENARIOS_PER_SEGMENT: u32 = 2;
/// Random seed, unless `MEMORY_SEED` sets it.
const SEED: u64 = 33;

/// Maximum shrinking steps of a failing scenario, enough for a readable trace.
const MAX_SHRINK_ITERS: u32 = 20_000;

/// Reads a number from an environment variable, with a default.
fn setting(name: &str, default: u64) -> u64 {
    env::var(name)
        .ok()
        .map_or(default, |text| text.parse().expect("a number"))
}

/// Simulates the same scenarios in every run, and returns the total counts.
fn play_scenarios(
    rule: Rule,
    cases: u32,
    scenarios: &impl Strategy<Value = Scenario>,
) -> SimulationCounts {
    play_seed(rule, cases, scenarios, setting("MEMORY_SEED", SEED))
}

fn play_seed(
    rule: Rule,
    cases: u32,
    scenarios: &impl Strategy<Value = Scenario>,
    seed: u64,
) -> SimulationCounts {
    let mut runner = TestRunner::new(Config {
        cases,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        max_shrink_iters: MAX_SHRINK_ITERS,
        ..Config::default()
    });
    let total = Cell::new(SimulationCounts::default());
    let played = runner.run(scenarios, |scenario| {
        let counts = Simulation::play(&scenario, rule);
        let counts = counts.map_err(|violation| TestCaseError::fail(violation.to_string()))?;
        total.set(total.get().and(counts));
        Ok(())
    });
    match played {
        Ok(()) => total.get(),
        Err(TestError::Fail(reason, scenario)) => panic!("{reason}\n{scenario:?}"),
        Err(TestError::Abort(reason)) => panic!("{reason}"),
    }
}

/// Simulates the configured number of scenarios and checks that enough segments are fetched in them.
fn play_many(rule: Rule, scenarios: &impl Strategy<Value = Scenario>) {
    let cases = u32::try_from(setting("MEMORY_WORLDS", SCENARIOS.into())).expect("a small number");
    let counts = play_scenarios(rule, cases, scenarios);
    println!("{cases} scenarios: {counts:?}");
    assert!(
        counts.segments >= cases / SCENARIOS_PER_SEGMENT,
        "{counts:?}"
    );
}

#[test]
fn no_call_uses_kv_cache_of_other_versions() {
    play_many(Rule::MatchingCache, &any_scenario());
}

#[test]
fn no_call_uses_kv_cache_of_other_versions_when_engines_restart() {
    play_many(Rule::MatchingCache, &restart_scenario());
}

/// Simulates a scenario that once broke a rule.
fn play_regression(scenario: &Scenario) {
    if let Err(violation) = Simulation::play(scenario, Rule::MatchingCache) {
        panic!("{violation}");
    }
}

#[test]
fn no_cache_is_fetched_by_a_restarted_engine() {
    play_regression(&regressions::restarted_target());
}

#[test]
fn no_cache_is_fetched_from_a_restarted_engine() {
    play_regression(&regressions::restarted_source());
}

#[test]
fn no_cache_is_fetched_after_a_late_load_in_a_new_life() {
    play_regression(&regressions::target_with_late_load());
}

#[test]
fn no_cache_is_fetched_from_an_engine_that_restarted_during_a_loan() {
    play_regression(&regressions::source_restarted_during_loan());
}

#[test]
fn no_cache_is_fetched_that_an_untracked_call_made_after_a_restart() {
    play_regression(&regressions::restarted_source_with_untracked_call());
}

#[test]
fn no_cache_is_fetched_that_an_untracked_call_made_after_a_late_order() {
    play_regression(&regressions::source_with_late_order_and_untracked_call());
}

#[test]
fn no_cache_is_fetched_from_an_address_used_by_another_target() {
    play_regression(&regressions::source_with_reused_address());
}

#[test]
fn no_engine_is_ordered_beyond_its_adapter_slots_in_any_scenario() {
    play_many(Rule::AdapterSlots, &any_scenario());
}

#[test]
fn every_call_is_answered_in_any_scenario() {
    play_many(Rule::Answers, &any_scenario());
}

// Guard against versions that withhold cache without need. No fetch is also correct if prompts are read too quickly for
// a fetch to pay off: in calm scenarios with the default policy, nothing was fetched for 53 of 121 seeds (200 to 320),
// as the planner learns from the first call that a prompt takes 10 ms (it expects 408 ms before that call and 164 ms
// after it), while a fetch has to save 60 ms beyond the 20 ms that it takes. With both set to zero, segments are
// fetched for all 121 seeds. So the first test removes the required saving, and the second draws reading times for
// which a fetch pays off.
#[test]
fn cache_of_equal_versions_is_fetched_without_faults() {
    play_scenarios(
        Rule::Transfers,
        CALM_SCENARIOS,
        &calm_scenario(ANY_READ_MS, true),
    );
}

#[test]
fn cache_is_fetched_without_faults_if_reading_takes_long() {
    play_scenarios(
        Rule::Transfers,
        CALM_SCENARIOS,
        &calm_scenario(LONG_READ_MS, false),
    );
}

// Guards against a late order of an earlier holder that takes an adapter slot in a new life of an engine. The engine
// restarts under its name and states no life. Another VM takes over the zone and sends the new life as many orders as
// the old one had accepted; then an unanswered order of the earlier holder is carried out and takes one more slot. The
// number of such orders is unknown, so if engines check no fencing tokens, a new holder orders no load until all of
// them have expired. Without that wait, seed 11 overruns the slots of an engine by a load that expects two earlier
// orders, as many as the new life has accepted; with it, all 6,000 scenarios pass.
#[test]
fn no_order_of_an_earlier_holder_takes_a_slot_in_a_new_life() {
    play_seed(Rule::AdapterSlots, 6_000, &any_scenario(), 11);
}
