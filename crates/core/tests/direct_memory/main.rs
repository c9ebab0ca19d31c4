//! Memory of prompts that engines take from each other, over drawn worlds: new versions, crashes, late orders, old reports and
//! lists, takeovers. Engines here are what the users' pages describe, and know what made each part of their memory; the
//! planner is the real one and is told only what gateways, reports and lists tell.
//!
//! | module | job |
//! |---|---|
//! | `drawn` | what is drawn of a world |
//! | `found` | worlds that broke a rule |
//! | `engine` | what an engine truly is and has |
//! | `world` | the zone around them, step by step |

mod drawn;
mod engine;
mod found;
mod world;

use drawn::{DrawnWorld, calm_world, restart_world, world};
use proptest::{
    prelude::Strategy,
    test_runner::{Config, RngSeed, TestCaseError, TestError, TestRunner},
};
use std::{cell::Cell, env, ops::Range};
use world::{Rule, World, WorldCounts};

/// Worlds that are tried, unless `MEMORY_WORLDS` says how many.
const WORLDS: u32 = 400;
/// Worlds without any trouble that are tried.
const CALM_WORLDS: u32 = 20;
/// Time to read a prompt, of any engine and length that is drawn.
const ANY_READ_MS: Range<u64> = 10..350;
/// The same where a move saves what it has to: 60 ms beyond the 20 ms that it takes, of a prompt that is shared but for a
/// sixteenth, and of whose time 12 ms are the start, which no move saves: 12 + 80 x 16 / 15, and 2 ms to round.
const LONG_READ_MS: Range<u64> = 100..350;
/// Worlds for each part that moves at least: some 200 parts moved in 200 worlds.
const WORLDS_A_PART: u32 = 2;
/// What they are drawn from, unless `MEMORY_SEED` says what.
const SEED: u64 = 33;

/// Times that a world which broke a rule is made smaller, for a trace that can be read.
const SHRINKINGS: u32 = 20_000;

/// A number that the environment sets, or else a usual one.
fn setting(name: &str, usual: u64) -> u64 {
    env::var(name)
        .ok()
        .map_or(usual, |text| text.parse().expect("a number"))
}

/// Plays worlds, the same ones in every run, and gives what happened in all of them.
fn play_worlds(rule: Rule, cases: u32, worlds: &impl Strategy<Value = DrawnWorld>) -> WorldCounts {
    play_seed(rule, cases, worlds, setting("MEMORY_SEED", SEED))
}

fn play_seed(
    rule: Rule,
    cases: u32,
    worlds: &impl Strategy<Value = DrawnWorld>,
    seed: u64,
) -> WorldCounts {
    let mut runner = TestRunner::new(Config {
        cases,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        max_shrink_iters: SHRINKINGS,
        ..Config::default()
    });
    let total = Cell::new(WorldCounts::default());
    let played = runner.run(worlds, |drawn| {
        let counts = World::play(&drawn, rule);
        let counts = counts.map_err(|broken| TestCaseError::fail(broken.to_string()))?;
        total.set(total.get().and(counts));
        Ok(())
    });
    match played {
        Ok(()) => total.get(),
        Err(TestError::Fail(reason, drawn)) => panic!("{reason}\n{drawn:?}"),
        Err(TestError::Abort(reason)) => panic!("{reason}"),
    }
}

/// Plays as many worlds as are wanted, in which memory moves all the same.
fn play_many(rule: Rule, worlds: &impl Strategy<Value = DrawnWorld>) {
    let cases = u32::try_from(setting("MEMORY_WORLDS", WORLDS.into())).expect("a small number");
    let counts = play_worlds(rule, cases, worlds);
    println!("{cases} worlds: {counts:?}");
    assert!(counts.parts >= cases / WORLDS_A_PART, "{counts:?}");
}

#[test]
fn no_run_uses_memory_of_other_versions_than_its_own() {
    play_many(Rule::OwnMemory, &world());
}

#[test]
fn no_run_uses_memory_of_other_versions_where_engines_start_again() {
    play_many(Rule::OwnMemory, &restart_world());
}

/// Plays a world that is written down.
fn play_found(drawn: &DrawnWorld) {
    if let Err(broken) = World::play(drawn, Rule::OwnMemory) {
        panic!("{broken}");
    }
}

#[test]
fn no_memory_moves_to_an_engine_that_started_again() {
    play_found(&found::target_that_started_again());
}

#[test]
fn no_memory_moves_from_an_engine_that_started_again() {
    play_found(&found::source_that_started_again());
}

#[test]
fn no_memory_moves_to_an_engine_whose_late_load_outlived_its_start() {
    play_found(&found::target_with_a_late_load());
}

#[test]
fn no_memory_moves_from_an_engine_that_started_again_under_a_loan() {
    play_found(&found::source_that_started_again_under_a_loan());
}

#[test]
fn no_memory_moves_that_was_made_without_the_holder_after_a_start() {
    play_found(&found::source_that_started_again_for_a_call_without_the_holder());
}

#[test]
fn no_memory_moves_that_was_made_without_the_holder_after_a_late_order() {
    play_found(&found::source_with_a_late_order_for_a_call_without_the_holder());
}

#[test]
fn no_memory_moves_from_an_address_that_another_target_has() {
    play_found(&found::source_whose_address_has_another_target());
}

#[test]
fn no_engine_is_ordered_beyond_its_places_in_any_world() {
    play_many(Rule::Places, &world());
}

#[test]
fn every_call_is_answered_in_any_world() {
    play_many(Rule::Answers, &world());
}

// No part moved in calm worlds of 53 of 121 seeds (200 to 320), while the seed in force passed. The worlds that are left when such a
// one is made smaller read a whole prompt in 10 ms. The planner learns that from the first call (it expects 408 ms for a
// prompt before it and 164 ms behind it), and a move has to save 60 ms beyond the 20 ms that it takes. With both at zero 0 of
// the 121 seeds fail: versions keep nothing back. So a prompt that is read at once is a case that is allowed, and each
// of the two reasons has a check of its own, of any seed.
#[test]
fn memory_of_equal_versions_moves_where_nothing_happens() {
    play_worlds(Rule::Moves, CALM_WORLDS, &calm_world(ANY_READ_MS, true));
}

#[test]
fn memory_moves_where_nothing_happens_and_reading_takes_long() {
    play_worlds(Rule::Moves, CALM_WORLDS, &calm_world(LONG_READ_MS, false));
}

// An engine starts again under its name and tells no life. Another VM takes the zone, and gives the new life as many orders as the old
// one had taken; then an order of the holder before, which was never answered, is carried out and takes one place more. How many
// such orders there are nobody can tell, so where engines check no fencing tokens a successor orders no load until the last of
// them can act.
//
// Evidence: with the hold taken out the world of seed 11 ends in "e2 is ordered beyond its places", by a load that expects two orders
// before it, as many as the new life has taken. With it all 6,000 worlds hold.
#[test]
fn no_order_of_an_earlier_holder_takes_a_place_in_a_new_life() {
    play_seed(Rule::Places, 6_000, &world(), 11);
}
