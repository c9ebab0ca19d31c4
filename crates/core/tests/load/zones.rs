//! A load that falls on one zone while the engines of the others have little to read.

use crate::play::{CASE, CHAT, CallClass, LoadPlay, steady, told};
use hoplanding_core::direct::{policy::PlacementPolicy, search::ZoneSearch};
use std::time::Duration;

#[test]
fn long_prompts_find_the_idle_engines_of_other_zones() {
    let kinds = [steady(30.0); 4];
    let few = [steady(30.0); 1];
    // The second zone lost three of its four engines; a third of the adapters are at home there.
    let zones: [&[_]; 3] = [&kinds, &few, &kinds];
    let classes = [CASE, CHAT].map(|class| CallClass {
        per_s: class.per_s * 1.6,
        ..class
    });
    let play = |remote_zone_penalty| {
        let mut play = LoadPlay::over_zones(&zones, &classes, 5);
        play.set_policy(PlacementPolicy {
            remote_zone_penalty,
            ..PlacementPolicy::default()
        });
        play.run(Duration::from_secs(30))
    };
    let compared = play(PlacementPolicy::default().remote_zone_penalty);
    // No zone beats an offer by a minute: as if only the home zone loaded.
    let alone = play(Duration::from_secs(60));
    let told = format!("compared: {}; alone: {}", told(&compared), told(&alone));
    assert!(
        compared[0].part_in_time() > alone[0].part_in_time() + 0.03,
        "{told}"
    );
    assert!(
        compared[0].part_served() >= alone[0].part_served(),
        "{told}"
    );
    assert!(compared[0].part_served() > 0.95, "{told}");
    assert!(compared[1].part_in_time() > 0.85, "{told}");
}

#[test]
fn a_silent_home_zone_leaves_the_loads_to_others() {
    let mut search = ZoneSearch::new(PlacementPolicy::default(), 3);
    let first = search.next_query().expect("a question");
    assert_eq!(first.zone, 0);
    search.record_no_answer(0);
    let rest: Vec<_> = std::iter::from_fn(|| search.next_query()).collect();
    assert_eq!(rest.len(), 6, "two passes over three zones: {rest:?}");
    assert!(rest.iter().all(|question| question.may_load));
}
