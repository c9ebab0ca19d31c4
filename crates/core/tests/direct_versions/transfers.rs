//! When a cache is transferred, and which version a call then requires.

use crate::support::{
    PREFILL_TIME, SETTLED, call_key, engine_address, engine_list, engine_report, place_call_for,
    placement_request_for, take_load_orders, target_entry, zone_planner,
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

/// Places a call at the first engine, where it runs and ends.
fn complete_call_at_first(planner: &mut ZonePlanner, subject: &str, base: u64) {
    let placed = place_call_for(planner, 1, subject, &["e2", "e3"]);
    let now = SETTLED.after(PREFILL_TIME);
    planner.call_started(&call_key(1), &placed.target, Some(base), now);
    planner.call_ended(&call_key(1), Some(&placed.target), None, now);
}

#[test]
fn cache_of_other_weights_is_no_source() {
    for subject in ["base/a1", "base"] {
        let mut planner = zone_planner(&engine_list(&[(1, 1), (7, 1)]));
        complete_call_at_first(&mut planner, subject, 1);
        let placed = place_call_for(&mut planner, 2, subject, &["e1"]);
        assert_eq!(placed.target, TargetName::new("e2"));
        assert_eq!(placed.fetch, None, "{subject}: weights 1 for weights 7");
    }
}

#[test]
fn cache_of_another_adapter_version_is_no_source() {
    let mut planner = zone_planner(&engine_list(&[(1, 1), (1, 2)]));
    complete_call_at_first(&mut planner, "base/a1", 1);
    let placed = place_call_for(&mut planner, 2, "base/a1", &["e1"]);
    assert_eq!(placed.fetch, None, "adapter 1 for adapter 2");
    planner.set_version(&AdapterName::new("base/a1"), 2, SETTLED);
    planner.take_actions();
    let placed = place_call_for(&mut planner, 3, "base/a1", &["e1"]);
    assert_eq!(placed.fetch, None, "adapter 1 for adapter 2, which is set");
}

#[test]
fn cache_of_the_same_versions_is_transferred() {
    for subject in ["base/a1", "base"] {
        let mut planner = zone_planner(&engine_list(&[(7, 2), (7, 2)]));
        complete_call_at_first(&mut planner, subject, 7);
        let placed = place_call_for(&mut planner, 2, subject, &["e1"]);
        assert_eq!(placed.fetch, Some(engine_address(1)), "{subject}");
    }
}

// Guards against calls that an engine with a newer copy refuses, after a restored log lost the record that named it.
#[test]
fn call_requires_the_version_of_a_copy_newer_than_the_named_one() {
    let mut planner = zone_planner(&engine_list(&[(1, 1), (1, 2)]));
    planner.set_version(&AdapterName::new("base/a1"), 1, SETTLED);
    complete_call_at_first(&mut planner, "base/a1", 1);
    let placed = place_call_for(&mut planner, 2, "base/a1", &["e1"]);
    assert_eq!(placed.version, Some(2));
    assert_eq!(placed.fetch, None, "cache of version 1 for version 2");
    let placed = place_call_for(&mut planner, 3, "base/a1", &["e2"]);
    assert_eq!(placed.version, Some(1));
}

// Guards against calls that every engine refuses. New weights of the base model are set, but running engines keep
// theirs, as no order replaces them. A call for the base model itself must therefore not require the new version.
#[test]
fn base_model_call_requires_no_version_that_its_target_lacks() {
    let mut planner = zone_planner(&engine_list(&[(1, 1), (1, 1)]));
    planner.set_version(&AdapterName::new("base"), 7, SETTLED);
    let placed = place_call_for(&mut planner, 1, "base", &[]);
    assert!(matches!(placed.version, None | Some(1)), "{placed:?}");
}

#[test]
fn transfer_to_a_copy_of_unknown_version_names_the_version() {
    // The copy of the second engine was reported without a version, so it may be older or newer.
    let mut planner = zone_planner(&engine_list(&[(1, 3), (1, 0)]));
    complete_call_at_first(&mut planner, "base/a1", 1);
    let placed = place_call_for(&mut planner, 2, "base/a1", &["e1"]);
    assert_eq!(placed.fetch, Some(engine_address(1)));
    assert_eq!(
        placed.version,
        Some(3),
        "an engine with another version refuses the call"
    );
}

#[test]
fn cache_of_a_copy_of_unknown_version_is_not_transferred() {
    let mut planner = zone_planner(&engine_list(&[(1, 0), (1, 3), (1, 3)]));
    complete_call_at_first(&mut planner, "base/a1", 1);
    assert_eq!(
        place_call_for(&mut planner, 2, "base/a1", &["e1", "e3"]).fetch,
        None
    );
    // The list contains the version, in an entry as recent as the last order to the engine.
    let mut listed = target_entry(1);
    listed.adapters.push(ResidentAdapter {
        adapter: AdapterName::new("base/a1"),
        version: 3,
    });
    planner.set_targets(
        [listed, target_entry(2), target_entry(3)]
            .map(Arc::new)
            .to_vec(),
        SETTLED,
    );
    let placed = place_call_for(&mut planner, 3, "base/a1", &["e1", "e2"]);
    assert_eq!(placed.fetch, Some(engine_address(1)));
}

#[test]
fn engine_whose_weights_are_only_listed_fetches_no_cache() {
    let mut planner = zone_planner(&engine_list(&[(1, 1), (1, 1)]));
    complete_call_at_first(&mut planner, "base/a1", 1);
    // The engine was just added, and may have restarted since it was listed.
    let mut listed = target_entry(3);
    listed.adapters.push(ResidentAdapter {
        adapter: AdapterName::new("base/a1"),
        version: 1,
    });
    planner.set_targets(
        [target_entry(1), target_entry(2), listed]
            .map(Arc::new)
            .to_vec(),
        SETTLED,
    );
    let placed = place_call_for(&mut planner, 2, "base/a1", &["e1", "e2"]);
    assert_eq!(placed.target, TargetName::new("e3"));
    assert_eq!(placed.fetch, None);
}

#[test]
fn cache_from_before_new_weights_is_no_source() {
    let mut planner = zone_planner(&engine_list(&[(1, 1), (7, 1)]));
    complete_call_at_first(&mut planner, "base/a1", 1);
    // The first engine has restarted unnoticed with new weights, which its next answer states.
    let placed = place_call_for(&mut planner, 2, "base/a1", &["e2"]);
    let now = SETTLED.after(PREFILL_TIME);
    planner.call_started(&call_key(2), &placed.target, Some(7), now);
    let placed = place_call_for(&mut planner, 3, "base/a1", &["e1"]);
    assert_eq!(placed.fetch, None, "the weights of the cache are unknown");
}

#[test]
fn copy_is_not_replaced_while_another_engine_fetches_its_cache() {
    let mut planner = zone_planner(&engine_list(&[(1, 1), (1, 1)]));
    complete_call_at_first(&mut planner, "base/a1", 1);
    let now = SETTLED.after(PREFILL_TIME);
    let borrower = place_call_for(&mut planner, 2, "base/a1", &["e1"]);
    assert_eq!(borrower.fetch, Some(engine_address(1)));
    planner.set_version(&AdapterName::new("base/a1"), 2, now);
    assert_eq!(
        take_load_orders(&mut planner),
        [],
        "one lends its cache, the other runs a call"
    );
    planner.call_started(&call_key(2), &borrower.target, Some(1), now);
    planner.tick(now);
    assert_eq!(take_load_orders(&mut planner), [TargetName::new("e1")]);
    planner.call_ended(&call_key(2), Some(&borrower.target), None, now);
    assert_eq!(take_load_orders(&mut planner), [TargetName::new("e2")]);
}

#[test]
fn cache_is_released_with_a_call_that_never_starts() {
    let mut planner = zone_planner(&engine_list(&[(1, 1), (1, 1)]));
    complete_call_at_first(&mut planner, "base/a1", 1);
    let now = SETTLED.after(PREFILL_TIME);
    let borrower = place_call_for(&mut planner, 2, "base/a1", &["e1"]);
    planner.set_version(&AdapterName::new("base/a1"), 2, now);
    planner.call_ended(&call_key(2), Some(&borrower.target), None, now);
    planner.tick(now);
    assert_eq!(
        take_load_orders(&mut planner),
        [TargetName::new("e2")],
        "the call may still arrive"
    );
    planner.tick(now.after(ORPHANED_CALL_TTL));
    assert_eq!(take_load_orders(&mut planner), [TargetName::new("e1")]);
}

// An order of the previous holder may take effect seconds after its lease ended, and replace a copy unnoticed. What a
// call then prefills would count as a cache of the earlier version, so the call requires that version and is refused.
#[test]
fn call_requires_the_known_version_of_its_engine() {
    let mut planner = zone_planner(&engine_list(&[(1, 3), (1, 0)]));
    assert_eq!(
        place_call_for(&mut planner, 1, "base/a1", &["e2"]).version,
        Some(3)
    );
    assert_eq!(
        place_call_for(&mut planner, 2, "base/a1", &["e1"]).version,
        None
    );
    assert_eq!(
        place_call_for(&mut planner, 3, "base", &["e2"]).version,
        Some(1)
    );
    planner.set_version(&AdapterName::new("base/a1"), 4, SETTLED);
    planner.take_actions();
    let name = TargetName::new("e1");
    planner.report_received(&name, Some(&engine_report(1, 4)), SETTLED);
    assert_eq!(
        place_call_for(&mut planner, 4, "base/a1", &["e2"]).version,
        Some(4)
    );
}

#[test]
fn no_call_goes_to_a_copy_that_loads_an_older_version() {
    let mut planner = zone_planner(&engine_list(&[(1, 1), (1, 2)]));
    let mut loading_report = engine_report(1, 1);
    loading_report.loading = std::mem::take(&mut loading_report.adapters);
    planner.report_received(&TargetName::new("e1"), Some(&loading_report), SETTLED);
    planner.set_version(&AdapterName::new("base/a1"), 2, SETTLED);
    planner.take_actions();
    assert_eq!(
        place_call_for(&mut planner, 1, "base/a1", &[]).target,
        TargetName::new("e2")
    );
}

// A report lists an adapter that is being replaced both as loaded and as loading. Guards against calls on it that are
// no longer counted, and calls that wait for it and are never answered.
#[test]
fn copy_reported_as_loaded_and_loading_keeps_its_calls() {
    let mut planner = zone_planner(&engine_list(&[(1, 1)]));
    place_call_for(&mut planner, 1, "base/a1", &[]);
    let mut replacing_report = engine_report(1, 1);
    replacing_report.loading = vec![(AdapterName::new("base/a1"), 2)];
    let name = TargetName::new("e1");
    planner.report_received(&name, Some(&replacing_report), SETTLED);
    let copies = &planner.engines()[&name].copies;
    assert_eq!(copies[&AdapterName::new("base/a1")].active_calls, 1);
}

// After a new version is set, each copy is replaced. Guards against calls that arrive too early because an engine that
// recently had the adapter was expected to load it in a tenth of the time, although it had another version. On a day
// with 26 new versions, all 277 calls that engines refused as not ready arrived within 250 ms of an order, which is the
// time of a load.
#[test]
fn new_version_of_a_recent_adapter_is_loaded_from_the_store() {
    let mut planner = zone_planner(&engine_list(&[(1, 1)]));
    let name = TargetName::new("e1");
    let ask = placement_request_for("base/a2", &[]);
    let mut now = SETTLED;
    planner.place(
        call_key(1),
        PlacementRequest {
            may_load: true,
            ..ask.clone()
        },
        now,
    );
    planner.order_ended(&name, OrderOutcome::Begun, now);
    now = now.after(Duration::from_millis(400));
    planner.tick(now);
    planner.call_started(&call_key(1), &name, Some(1), now);
    planner.call_ended(&call_key(1), Some(&name), None, now);
    planner.take_actions();
    planner.set_version(&AdapterName::new("base/a2"), 2, now);
    assert_eq!(take_load_orders(&mut planner), std::slice::from_ref(&name));
    planner.order_ended(&name, OrderOutcome::Begun, now);
    planner.place(call_key(2), ask, now);
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
