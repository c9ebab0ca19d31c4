//! When memory moves, and which version a call then asks for.

use crate::support::{
    READING, SETTLED, address, ask_for, engines, entry, key, place_for, planner, replaced, report,
};
use hoplanding_core::{
    direct::{
        catalog::ResidentAdapter,
        engine::{ORPHANED_CALL_TTL, OrderOutcome},
        planner::{PlacementAnswer, PlacementRequest, PlannerAction, ZonePlanner},
    },
    ids::{AdapterName, TargetName},
};
use std::{sync::Arc, time::Duration};

/// A call is placed at the first engine, runs there and has its first event.
fn read_at_first(planner: &mut ZonePlanner, subject: &str, base: u64) {
    let placed = place_for(planner, 1, subject, &["e2", "e3"]);
    let now = SETTLED.after(READING);
    planner.call_started(&key(1), &placed.target, Some(base), now);
    planner.call_ended(&key(1), Some(&placed.target), None, now);
}

#[test]
fn memory_of_another_version_is_no_source_after_new_weights() {
    for subject in ["base/a1", "base"] {
        let mut planner = planner(&engines(&[(1, 1), (7, 1)]));
        read_at_first(&mut planner, subject, 1);
        let placed = place_for(&mut planner, 2, subject, &["e1"]);
        assert_eq!(placed.target, TargetName::new("e2"));
        assert_eq!(placed.fetch, None, "{subject}: weights 1 for weights 7");
    }
}

#[test]
fn memory_of_another_version_is_no_source_after_a_new_adapter() {
    let mut planner = planner(&engines(&[(1, 1), (1, 2)]));
    read_at_first(&mut planner, "base/a1", 1);
    let placed = place_for(&mut planner, 2, "base/a1", &["e1"]);
    assert_eq!(placed.fetch, None, "adapter 1 for adapter 2");
    planner.set_version(&AdapterName::new("base/a1"), 2, SETTLED);
    planner.take_actions();
    let placed = place_for(&mut planner, 3, "base/a1", &["e1"]);
    assert_eq!(
        placed.fetch, None,
        "adapter 1 for adapter 2, which is named"
    );
}

#[test]
fn memory_of_the_same_versions_moves() {
    for subject in ["base/a1", "base"] {
        let mut planner = planner(&engines(&[(7, 2), (7, 2)]));
        read_at_first(&mut planner, subject, 7);
        let placed = place_for(&mut planner, 2, subject, &["e1"]);
        assert_eq!(placed.fetch, Some(address(1)), "{subject}");
    }
}

// New weights of the base model are named, and the engines that run go on with what they have: nothing in the orders replaces it
// under way. All calls for the base model itself asked for the new version, and every engine turned them away.
#[test]
fn a_call_for_a_base_model_asks_for_no_version_that_its_target_lacks() {
    let mut planner = planner(&engines(&[(1, 1), (1, 1)]));
    planner.set_version(&AdapterName::new("base"), 7, SETTLED);
    let placed = place_for(&mut planner, 1, "base", &[]);
    assert!(matches!(placed.version, None | Some(1)), "{placed:?}");
}

#[test]
fn memory_moves_to_a_copy_of_a_version_that_nobody_knows_only_with_the_version_named() {
    // The second engine's copy was reported without a version: it may be older or newer.
    let mut planner = planner(&engines(&[(1, 3), (1, 0)]));
    read_at_first(&mut planner, "base/a1", 1);
    let placed = place_for(&mut planner, 2, "base/a1", &["e1"]);
    assert_eq!(placed.fetch, Some(address(1)));
    assert_eq!(
        placed.version,
        Some(3),
        "another version turns the call away"
    );
}

#[test]
fn memory_of_a_copy_of_a_version_that_nobody_knows_does_not_move() {
    let mut planner = planner(&engines(&[(1, 0), (1, 3), (1, 3)]));
    read_at_first(&mut planner, "base/a1", 1);
    assert_eq!(
        place_for(&mut planner, 2, "base/a1", &["e1", "e3"]).fetch,
        None
    );
    // The list tells it, in an entry that is as new as what the engine was last ordered.
    let mut listed = entry(1);
    listed.adapters.push(ResidentAdapter {
        adapter: AdapterName::new("base/a1"),
        version: 3,
    });
    planner.set_targets([listed, entry(2), entry(3)].map(Arc::new).to_vec(), SETTLED);
    let placed = place_for(&mut planner, 3, "base/a1", &["e1", "e2"]);
    assert_eq!(placed.fetch, Some(address(1)));
}

#[test]
fn an_engine_whose_weights_only_the_list_tells_takes_no_memory() {
    let mut planner = planner(&engines(&[(1, 1), (1, 1)]));
    read_at_first(&mut planner, "base/a1", 1);
    // It came a moment ago, and may have started again since it was listed.
    let mut listed = entry(3);
    listed.adapters.push(ResidentAdapter {
        adapter: AdapterName::new("base/a1"),
        version: 1,
    });
    planner.set_targets([entry(1), entry(2), listed].map(Arc::new).to_vec(), SETTLED);
    let placed = place_for(&mut planner, 2, "base/a1", &["e1", "e2"]);
    assert_eq!(placed.target, TargetName::new("e3"));
    assert_eq!(placed.fetch, None);
}

#[test]
fn memory_read_before_new_weights_came_is_no_source() {
    let mut planner = planner(&engines(&[(1, 1), (7, 1)]));
    read_at_first(&mut planner, "base/a1", 1);
    // The first engine has started again unseen, with new weights: the next answer tells it.
    let placed = place_for(&mut planner, 2, "base/a1", &["e2"]);
    let now = SETTLED.after(READING);
    planner.call_started(&key(2), &placed.target, Some(7), now);
    let placed = place_for(&mut planner, 3, "base/a1", &["e1"]);
    assert_eq!(placed.fetch, None, "nobody knows which weights read it");
}

#[test]
fn a_copy_is_not_replaced_while_another_engine_takes_its_memory() {
    let mut planner = planner(&engines(&[(1, 1), (1, 1)]));
    read_at_first(&mut planner, "base/a1", 1);
    let now = SETTLED.after(READING);
    let borrower = place_for(&mut planner, 2, "base/a1", &["e1"]);
    assert_eq!(borrower.fetch, Some(address(1)));
    planner.set_version(&AdapterName::new("base/a1"), 2, now);
    assert_eq!(replaced(&mut planner), [], "one lends, the other runs");
    planner.call_started(&key(2), &borrower.target, Some(1), now);
    planner.tick(now);
    assert_eq!(replaced(&mut planner), [TargetName::new("e1")]);
    planner.call_ended(&key(2), Some(&borrower.target), None, now);
    assert_eq!(replaced(&mut planner), [TargetName::new("e2")]);
}

#[test]
fn a_loan_ends_with_a_call_that_never_begins() {
    let mut planner = planner(&engines(&[(1, 1), (1, 1)]));
    read_at_first(&mut planner, "base/a1", 1);
    let now = SETTLED.after(READING);
    let borrower = place_for(&mut planner, 2, "base/a1", &["e1"]);
    planner.set_version(&AdapterName::new("base/a1"), 2, now);
    planner.call_ended(&key(2), Some(&borrower.target), None, now);
    planner.tick(now);
    assert_eq!(
        replaced(&mut planner),
        [TargetName::new("e2")],
        "it may be on its way"
    );
    planner.tick(now.after(ORPHANED_CALL_TTL));
    assert_eq!(replaced(&mut planner), [TargetName::new("e1")]);
}

// An order of the holder before may be carried out seconds after its lease has ended, and replace a copy unseen. What a call then
// reads there would be taken for memory of the version before: so the call asks for that one, and is turned away.
#[test]
fn a_call_asks_for_the_version_that_its_engine_is_known_to_have() {
    let mut planner = planner(&engines(&[(1, 3), (1, 0)]));
    assert_eq!(
        place_for(&mut planner, 1, "base/a1", &["e2"]).version,
        Some(3)
    );
    assert_eq!(place_for(&mut planner, 2, "base/a1", &["e1"]).version, None);
    assert_eq!(place_for(&mut planner, 3, "base", &["e2"]).version, Some(1));
    planner.set_version(&AdapterName::new("base/a1"), 4, SETTLED);
    planner.take_actions();
    let name = TargetName::new("e1");
    planner.report_received(&name, Some(&report(1, 4)), SETTLED);
    assert_eq!(
        place_for(&mut planner, 4, "base/a1", &["e2"]).version,
        Some(4)
    );
}

#[test]
fn no_call_goes_to_a_copy_that_comes_in_an_older_version() {
    let mut planner = planner(&engines(&[(1, 1), (1, 2)]));
    let mut coming = report(1, 1);
    coming.loading = std::mem::take(&mut coming.adapters);
    planner.report_received(&TargetName::new("e1"), Some(&coming), SETTLED);
    planner.set_version(&AdapterName::new("base/a1"), 2, SETTLED);
    planner.take_actions();
    assert_eq!(
        place_for(&mut planner, 1, "base/a1", &[]).target,
        TargetName::new("e2")
    );
}

// An adapter that is being replaced is listed as it is and as it comes: calls on it were counted no more, and those that
// waited for it were never answered.
#[test]
fn a_copy_that_is_reported_as_there_and_as_coming_keeps_its_calls() {
    let mut planner = planner(&engines(&[(1, 1)]));
    place_for(&mut planner, 1, "base/a1", &[]);
    let mut twice = report(1, 1);
    twice.loading = vec![(AdapterName::new("base/a1"), 2)];
    let name = TargetName::new("e1");
    planner.report_received(&name, Some(&twice), SETTLED);
    let copies = &planner.engines()[&name].copies;
    assert_eq!(copies[&AdapterName::new("base/a1")].active_calls, 1);
}

// Once a new version was named each copy was replaced, and the calls that were to follow came too early: an engine that had the
// adapter lately was taken to have it back in a tenth of the time, though it had another version. All 277 calls that
// engines turned away as not ready on a day of 26 new versions came within 250 ms of an order, which is what a load takes.
#[test]
fn a_new_version_of_an_adapter_that_was_there_lately_comes_from_the_store() {
    let mut planner = planner(&engines(&[(1, 1)]));
    let name = TargetName::new("e1");
    let ask = ask_for("base/a2", &[]);
    let mut now = SETTLED;
    planner.place(
        key(1),
        PlacementRequest {
            may_load: true,
            ..ask.clone()
        },
        now,
    );
    planner.order_ended(&name, OrderOutcome::Begun, now);
    now = now.after(Duration::from_millis(400));
    planner.tick(now);
    planner.call_started(&key(1), &name, Some(1), now);
    planner.call_ended(&key(1), Some(&name), None, now);
    planner.take_actions();
    planner.set_version(&AdapterName::new("base/a2"), 2, now);
    assert_eq!(replaced(&mut planner), std::slice::from_ref(&name));
    planner.order_ended(&name, OrderOutcome::Begun, now);
    planner.place(key(2), ask, now);
    let waits = planner
        .take_actions()
        .into_iter()
        .filter_map(|action| match action {
            PlannerAction::Answer(_, PlacementAnswer::Send { wait_ms, .. }) => Some(wait_ms),
            _ => None,
        });
    let waits: Vec<_> = waits.collect();
    assert!(matches!(waits[..], [200..=400]), "{waits:?}");
}
