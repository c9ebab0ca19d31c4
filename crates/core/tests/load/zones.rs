//! Load imbalance between zones: one zone is overloaded while the engines of the others are mostly idle.

use crate::simulation::{CHAT, CallClass, LONG_PROMPT, LoadSimulation, describe, steady_engine};
use hoplanding_core::direct::{
    planner::RefusalCause,
    policy::PlacementPolicy,
    search::{SearchPass, ZoneSearch},
};
use std::time::Duration;

/// Guards against calls that stay in an overloaded home zone, and miss their objective, while other zones have idle
/// engines.
#[test]
fn long_prompts_use_idle_engines_of_other_zones() {
    let four_engines = [steady_engine(30.0); 4];
    let one_engine = [steady_engine(30.0); 1];
    // The second zone has one engine instead of four but is the home zone of a third of the adapters.
    let zones: [&[_]; 3] = [&four_engines, &one_engine, &four_engines];
    let classes = [LONG_PROMPT, CHAT].map(|class| CallClass {
        per_s: class.per_s * 1.6,
        ..class
    });
    let simulate = |remote_zone_penalty| {
        let mut simulation = LoadSimulation::over_zones(&zones, &classes, 5);
        simulation.set_policy(PlacementPolicy {
            remote_zone_penalty,
            ..PlacementPolicy::default()
        });
        simulation.run(Duration::from_secs(30))
    };
    let compared = simulate(PlacementPolicy::default().remote_zone_penalty);
    // No zone beats an offer by a minute, so only the home zone loads adapters.
    let home_only = simulate(Duration::from_secs(60));
    let outcomes = format!(
        "compared: {}; home zone only: {}",
        describe(&compared),
        describe(&home_only)
    );
    assert!(
        compared[0].in_time_ratio() > home_only[0].in_time_ratio() + 0.03,
        "{outcomes}"
    );
    assert!(
        compared[0].served_ratio() >= home_only[0].served_ratio(),
        "{outcomes}"
    );
    assert!(compared[0].served_ratio() > 0.95, "{outcomes}");
    assert!(compared[1].in_time_ratio() > 0.85, "{outcomes}");
}

/// Guards against calls that find no zone to load their adapter when their home zone does not answer.
#[test]
fn other_zones_may_load_if_the_home_zone_does_not_answer() {
    let mut search = ZoneSearch::new(PlacementPolicy::default(), 3);
    let first = search.next_query().expect("a query");
    assert_eq!(first.zone, 0);
    search.record_no_answer(0);
    let remaining: Vec<_> = std::iter::from_fn(|| search.next_query()).collect();
    assert_eq!(
        remaining.len(),
        6,
        "two passes over three zones: {remaining:?}"
    );
    assert!(remaining.iter().all(|query| query.may_load));
}

/// Runs a search over three zones that all answer with `cause`, except zone `silent`; returns the passes of its queries.
fn search_passes(
    mut search: ZoneSearch,
    cause: RefusalCause,
    silent: Option<usize>,
) -> Vec<SearchPass> {
    let mut passes = Vec::new();
    while let Some(query) = search.next_query() {
        passes.push(query.pass);
        if silent == Some(query.zone) {
            search.record_no_answer(query.zone);
        } else {
            search.record_refusal(query.zone, cause, 300);
        }
    }
    passes
}

/// Guards against calls that are held for a further pass over zones that have all answered that they are short.
#[test]
fn calls_are_refused_at_once_if_all_zones_are_short() {
    let search = || ZoneSearch::new(PlacementPolicy::default(), 3).ending_when_short();
    for cause in [RefusalCause::NoEngine, RefusalCause::TooLong(900)] {
        let passes = search_passes(search(), cause, None);
        assert_eq!(passes.len(), 6, "{cause:?}: {passes:?}");
        assert!(
            !passes.contains(&SearchPass::Retry),
            "{cause:?}: {passes:?}"
        );
    }
}

/// Guards against refusals while the holder of a zone changes, or after a failed load that another engine can repeat.
#[test]
fn last_pass_is_repeated_after_a_fault() {
    let search = || ZoneSearch::new(PlacementPolicy::default(), 3).ending_when_short();
    for silent in 0..3 {
        let passes = search_passes(search(), RefusalCause::NoEngine, Some(silent));
        assert!(
            passes.contains(&SearchPass::Retry),
            "zone {silent}: {passes:?}"
        );
    }
    for cause in [RefusalCause::LoadsFailed, RefusalCause::LoadLate] {
        let passes = search_passes(search(), cause, None);
        assert!(passes.contains(&SearchPass::Retry), "{cause:?}: {passes:?}");
    }
    let mut search = search();
    let mut passes = Vec::new();
    while let Some(query) = search.next_query() {
        passes.push(query.pass);
        search.record_lost_target();
    }
    assert!(
        passes.contains(&SearchPass::Retry),
        "lost targets: {passes:?}"
    );
}

/// Guards against a changed search of daemons whose settings do not enable the choice of zones.
#[test]
fn last_pass_is_always_repeated_by_default() {
    let search = ZoneSearch::new(PlacementPolicy::default(), 3);
    let passes = search_passes(search, RefusalCause::NoEngine, None);
    assert_eq!(passes.len(), 9, "{passes:?}");
}
