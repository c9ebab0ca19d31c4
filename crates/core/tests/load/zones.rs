//! Load imbalance between zones: one zone is overloaded while the engines of the others are mostly idle.

use crate::simulation::{
    CHAT, CallClass, CallerOutcomes, LONG_PROMPT, LoadSimulation, describe, seeds, steady_engine,
};
use hoplanding_core::direct::{
    planner::RefusalCause,
    policy::PlacementPolicy,
    search::{SearchPass, ZoneSearch},
    zone_choice::ZoneChoiceRule,
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

const RULE: ZoneChoiceRule = ZoneChoiceRule {
    traffic_price_ms_per_kb: 0.5,
    max_remote_share: 0.5,
    weighs_engines: true,
};

/// Length of a simulation, less than the time for which reports that have stopped make a zone stale.
const RUN: Duration = Duration::from_secs(16);
/// A cut that does not come, in ms.
const NEVER: u64 = u64::MAX / 2_000;

/// Short prompts with short answers for many adapters, so that adapter slots are scarce.
const SCARCE: CallClass = CallClass {
    per_s: 100.0,
    tokens: 300.0,
    spread: 0.5,
    output: 20,
    rank: 0,
    objective_ms: 600,
    first_event_timeout_ms: 4_000,
    shared: (0, 1),
};

/// Outcomes without and with reports, of calls for 10,000 adapters at zones with these numbers of engines.
fn simulate_shortage(engines: [usize; 3], per_s: f64, cut_at_ms: u64) -> [Vec<CallerOutcomes>; 2] {
    let speeds = engines.map(|count| vec![steady_engine(30.0); count]);
    let zones: Vec<_> = speeds.iter().map(Vec::as_slice).collect();
    [false, true].map(|has_reports| {
        let class = CallClass { per_s, ..SCARCE };
        let mut simulation = LoadSimulation::over_zones(&zones, &[class], seeds(1).start);
        simulation.set_adapter_count(10_000);
        if has_reports {
            simulation.choose_by_reports(RULE, cut_at_ms);
        }
        simulation.run(RUN)
    })
}

/// Guards against traffic between zones that callers gain less from than it costs, and against calls that are refused
/// only after further requests to zones that have answered.
#[test]
fn reports_keep_calls_in_their_zone_if_adapter_slots_are_scarce() {
    // The cost of the traffic as a part of the day's value, as the first deployment measured it without reports.
    let traffic_cost = 0.036;
    for (engines, per_s) in [([4, 4, 4], 220.0), ([4, 4, 4], 320.0), ([4, 2, 4], 220.0)] {
        let [before, after] = simulate_shortage(engines, per_s, NEVER);
        let outcomes = format!(
            "{engines:?} engines, {per_s} calls a second: without reports {}; with reports {}",
            describe(&before),
            describe(&after)
        );
        println!("{outcomes}");
        let (before, after) = (&before[0], &after[0]);
        let saved = traffic_cost * (1.0 - after.left_zone / before.left_zone);
        let lost = before.in_time_ratio() - after.in_time_ratio();
        assert!(lost < saved, "{outcomes}");
        assert!(
            after.refusal_queries.iter().all(|queries| *queries <= 4),
            "{outcomes}"
        );
    }
}

/// Guards against calls between zones that can't know any more how the other one fares.
#[test]
fn no_call_leaves_for_a_zone_whose_reports_stopped() {
    let cut_at_ms = 8_000;
    let [_, after] = simulate_shortage([4, 4, 4], 200.0, cut_at_ms);
    assert!(after[0].left_zone > 0.0, "{}", describe(&after));
    assert!(after[0].left_after_cut == 0.0, "{}", describe(&after));
    assert!(after[0].served_ratio() > 0.95, "{}", describe(&after));
}

/// Guards against zones that send each other calls while none of them has a slot.
#[test]
fn zones_that_are_all_short_exchange_no_loads() {
    let [before, after] = simulate_shortage([2, 2, 2], 600.0, NEVER);
    let outcomes = format!("without {}; with {}", describe(&before), describe(&after));
    println!("{outcomes}");
    assert!(after[0].refused > 0.0, "{outcomes}");
    assert!(after[0].queries_to_short_zones == 0.0, "{outcomes}");
}
