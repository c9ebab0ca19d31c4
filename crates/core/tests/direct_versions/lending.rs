//! Sequences that could transfer a cache between different versions, keep a lent cache pinned forever, or let state
//! that is identified by name outlive a version, a life or a copy.

use crate::support::{
    LOAD_TIME, PREFILL_TIME, SETTLED, adapter_name, call_key, complete_call, engine_address,
    engine_list, engine_report, listed_entry, loading_request, place_call, placement_request,
    planner_since, set_adapter_version, take_load_orders, take_placement, target_entry,
    target_name, zone_planner,
};
use hoplanding_core::{
    direct::{
        catalog::{TargetEntry, TargetStage},
        engine::{EngineReport, ORPHANED_CALL_TTL, OrderOutcome},
        planner::{PlacementRequest, ZonePlanner},
    },
    ids::{AdapterName, SoftwareVersion, TargetLife, VmName},
};
use std::{sync::Arc, time::Duration};

/// Two engines with the same versions, of which the second was instructed to fetch the cache of the first for call 2.
fn lending_planner() -> ZonePlanner {
    let mut planner = zone_planner(&engine_list(&[(1, 1), (1, 1)]));
    complete_call(&mut planner, 1, &["e2"], 1, SETTLED);
    let borrower = place_call(&mut planner, 2, &["e1"], SETTLED);
    assert_eq!(borrower.fetch, Some(engine_address(1)));
    planner
}

// The engine that fetches the cache leaves the list before the first event of the call, as any replaced target may.
#[test]
fn cache_is_released_when_the_borrowing_engine_is_gone() {
    let mut planner = lending_planner();
    let now = SETTLED.after(PREFILL_TIME);
    planner.set_targets(vec![Arc::new(target_entry(1))], now);
    planner.call_ended(&call_key(2), Some(&target_name(2)), None, now);
    set_adapter_version(&mut planner, 2, now.after(LOAD_TIME));
    assert_eq!(take_load_orders(&mut planner), [target_name(1)]);
}

#[test]
fn cache_is_released_when_the_borrowing_engine_restarts() {
    let mut planner = lending_planner();
    let now = SETTLED.after(PREFILL_TIME);
    let restarted = EngineReport {
        life: TargetLife::started_at_ms(7),
        ..engine_report(1, 1)
    };
    planner.report_received(&target_name(2), Some(&restarted), now);
    planner.call_ended(&call_key(2), Some(&target_name(2)), None, now);
    set_adapter_version(&mut planner, 2, now.after(LOAD_TIME));
    assert!(take_load_orders(&mut planner).contains(&target_name(1)));
}

// A gateway that reconnects reports its open calls, which the holder may still know because the old link only ends
// seconds later.
#[test]
fn cache_is_released_with_a_call_that_its_gateway_reports_again() {
    let mut planner = lending_planner();
    let now = SETTLED.after(PREFILL_TIME);
    planner.adopt_call(call_key(2), &target_name(2), &adapter_name());
    planner.call_ended(&call_key(2), Some(&target_name(2)), None, now);
    set_adapter_version(&mut planner, 2, now.after(LOAD_TIME));
    let mut names = take_load_orders(&mut planner);
    names.sort();
    assert_eq!(names, [target_name(1), target_name(2)]);
}

// The link to a gateway breaks but the gateway is alive: its call waits for its adapter or in the engine's queue and
// fetches the cache later. The copy that runs the call is kept for such calls, so the copy that lends its cache must be
// kept too.
#[test]
fn copy_is_kept_for_a_borrowing_call_of_an_unreachable_gateway() {
    let mut planner = lending_planner();
    let now = SETTLED.after(PREFILL_TIME);
    planner.forget_gateway(&VmName::new("vm"), now);
    set_adapter_version(&mut planner, 2, now);
    assert_eq!(take_load_orders(&mut planner), [], "both may be in use");
    planner.tick(now.after(ORPHANED_CALL_TTL));
    assert_eq!(take_load_orders(&mut planner).len(), 2);
}

// The first event of a call from before the engine's restart is reported late, over a link that was blocked.
#[test]
fn late_first_event_does_not_restore_earlier_weights() {
    let mut planner = zone_planner(&engine_list(&[(1, 1), (1, 1)]));
    complete_call(&mut planner, 1, &["e1"], 1, SETTLED);
    // A different prompt, so that the engine has nothing of the requested one in its cache.
    let other = PlacementRequest {
        prefix: vec![(4, 6_300), (5, 2_890)],
        ..placement_request(&["e2"])
    };
    planner.place(call_key(2), other, SETTLED);
    let late_placement = take_placement(&mut planner);
    let now = SETTLED.after(PREFILL_TIME);
    planner.report_received(&late_placement.target, Some(&engine_report(7, 1)), now);
    planner.call_started(&call_key(2), &late_placement.target, Some(1), now);
    planner.call_ended(&call_key(2), Some(&late_placement.target), None, now);
    let placed = place_call(&mut planner, 3, &["e2"], now);
    assert_eq!(placed.target, target_name(1));
    assert_eq!(placed.fetch, None, "weights 1 for weights 7");
}

// An engine restarts under its name, and neither list nor reports contain lives. Orders are counted from 0 again, so
// the entry from before the restart looks newer than all that is known of the new life.
#[test]
fn listed_version_from_before_a_restart_is_not_used_for_the_new_copy() {
    let previous_report = EngineReport {
        orders_taken: 5,
        ..engine_report(7, 1)
    };
    let old_entry = listed_entry(1, 1, 5);
    let mut planner = zone_planner(&[(old_entry.clone(), previous_report)]);
    let empty_report = EngineReport {
        adapters: Vec::new(),
        ..engine_report(7, 0)
    };
    let now = SETTLED.after(LOAD_TIME);
    planner.report_received(&target_name(1), Some(&empty_report), now);
    planner.place(call_key(1), loading_request(&[]), now);
    assert_eq!(take_load_orders(&mut planner), [target_name(1)]);
    planner.order_ended(&target_name(1), OrderOutcome::Begun, now);
    let now = now.after(LOAD_TIME);
    planner.tick(now);
    // The list is unchanged; it is applied again whenever any of the holder's tables changes.
    planner.set_targets(vec![Arc::new(old_entry)], now);
    let copy = &planner.engines()[&target_name(1)].copies[&adapter_name()];
    assert_eq!(
        copy.known_version, None,
        "the newest version was loaded, and its number is unknown"
    );
}

// An engine has restarted under a new name at its old address, and the old entry expires only some heartbeats later.
#[test]
fn address_of_another_engine_is_no_cache_source() {
    let restarted = TargetEntry {
        address: engine_address(1),
        ..target_entry(3)
    };
    let mut engines = engine_list(&[(1, 1), (1, 1)]);
    engines.push((restarted, engine_report(7, 1)));
    let mut planner = zone_planner(&engines);
    complete_call(&mut planner, 1, &["e2", "e3"], 1, SETTLED);
    complete_call(&mut planner, 2, &["e1", "e2"], 7, SETTLED);
    let placed = place_call(&mut planner, 3, &["e1", "e3"], SETTLED);
    assert_eq!(placed.target, target_name(2));
    assert_eq!(placed.fetch, None, "weights 7 answer there");
}

// A refused order is the answer of an engine that may be another run of the target.
#[test]
fn engine_that_may_have_restarted_fetches_no_cache() {
    let mut planner = zone_planner(&engine_list(&[(1, 1), (1, 1)]));
    complete_call(&mut planner, 1, &["e2"], 1, SETTLED);
    let other = PlacementRequest {
        subject: AdapterName::new("base/a2"),
        may_load: true,
        ..placement_request(&["e1"])
    };
    planner.place(call_key(2), other, SETTLED);
    assert_eq!(take_load_orders(&mut planner), [target_name(2)]);
    planner.order_ended(&target_name(2), OrderOutcome::Refused, SETTLED);
    planner.take_actions();
    let placed = place_call(&mut planner, 3, &["e1"], SETTLED);
    assert_eq!(placed.fetch, None, "the contents of its cache are unknown");
}

#[test]
fn cache_of_unknown_version_is_not_lent() {
    let mut planner = zone_planner(&engine_list(&[(1, 1), (1, 1)]));
    let first = place_call(&mut planner, 1, &["e2"], SETTLED);
    planner.call_started(
        &call_key(1),
        &first.target,
        None,
        SETTLED.after(PREFILL_TIME),
    );
    let placed = place_call(&mut planner, 2, &["e1"], SETTLED.after(PREFILL_TIME));
    assert_eq!(placed.fetch, None);
}

// An entry as recent as all that is known lists other weights than the last report, which may be minutes old.
#[test]
fn weights_that_a_newer_entry_contradicts_are_unknown() {
    let mut planner = zone_planner(&engine_list(&[(1, 1), (1, 1)]));
    complete_call(&mut planner, 1, &["e2"], 1, SETTLED);
    let newer_entry = TargetEntry {
        models: vec![("base".to_owned(), 7)],
        ..listed_entry(2, 1, 0)
    };
    let now = SETTLED.after(LOAD_TIME);
    planner.set_targets(vec![Arc::new(target_entry(1)), Arc::new(newer_entry)], now);
    let placed = place_call(&mut planner, 2, &["e1"], now);
    assert_eq!(placed.fetch, None, "weights 1 for weights 7");
}

// An unload drops the cache: once the copy is back, the engine prefills the whole prompt or fetches the cache from a
// neighbour.
#[test]
fn cache_is_dropped_with_its_copy() {
    let mut planner = zone_planner(&engine_list(&[(1, 1), (1, 1)]));
    complete_call(&mut planner, 1, &["e1"], 1, SETTLED);
    complete_call(&mut planner, 2, &["e2"], 1, SETTLED);
    let now = SETTLED.after(LOAD_TIME);
    let unloaded_report = EngineReport {
        adapters: Vec::new(),
        ..engine_report(1, 0)
    };
    planner.report_received(&target_name(1), Some(&unloaded_report), now);
    planner.report_received(
        &target_name(1),
        Some(&engine_report(1, 1)),
        now.after(LOAD_TIME),
    );
    let placed = place_call(&mut planner, 3, &["e2"], now.after(LOAD_TIME));
    assert_eq!(placed.fetch, Some(engine_address(2)));
}

// The second engine has restarted with other weights unnoticed, and refuses a call that requires the version of the
// cache.
#[test]
fn call_refused_with_a_cache_transfer_is_placed_without_it() {
    let mut planner = lending_planner();
    let now = SETTLED.after(PREFILL_TIME);
    planner.report_missing_copy(&call_key(2), &target_name(2), now);
    planner.call_ended(&call_key(2), Some(&target_name(2)), None, now);
    planner.take_actions();
    let retried = place_call(&mut planner, 3, &["e1"], now);
    assert_eq!(retried.target, target_name(2));
    assert_eq!((retried.fetch, retried.version), (None, None));
}

// No version is set, and the newest version that the second engine loads differs from the version of the cache. The 421
// answer is about the version; the load itself was on time.
#[test]
fn version_mismatch_of_a_cache_transfer_is_no_late_load() {
    let mut report_without_adapter = engine_report(1, 0);
    report_without_adapter.adapters.clear();
    // The load of its base model shows that the engine has not restarted unnoticed.
    report_without_adapter.orders_taken = 1;
    let mut engines = engine_list(&[(1, 1), (1, 0)]);
    engines[1].1 = report_without_adapter;
    let mut planner = zone_planner(&engines);
    complete_call(&mut planner, 1, &["e2"], 1, SETTLED);
    planner.place(call_key(2), loading_request(&["e1"]), SETTLED);
    assert_eq!(take_load_orders(&mut planner), [target_name(2)]);
    planner.order_ended(&target_name(2), OrderOutcome::Begun, SETTLED);
    let borrower = take_placement(&mut planner);
    assert_eq!(borrower.version, Some(1));
    let expected = planner.load_limiter().expected_time(&target_name(2));
    let now = SETTLED.after(expected).after(PREFILL_TIME);
    planner.report_missing_copy(&call_key(2), &target_name(2), now);
    assert_eq!(
        planner.load_limiter().expected_time(&target_name(2)),
        expected
    );
}

// A lender may run no calls. The previous holder has placed a call that fetches its cache once the call's adapter is
// loaded.
#[test]
fn new_holder_keeps_lenders_without_calls() {
    let mut planner = planner_since(SETTLED, &engine_list(&[(1, 1), (1, 1)]));
    planner.adopt_call(call_key(9), &target_name(2), &adapter_name());
    set_adapter_version(&mut planner, 2, SETTLED);
    assert_eq!(take_load_orders(&mut planner), []);
}

// The holder's VM was paused, and another VM may have held the zone and ordered replacements meanwhile. A call of this
// VM arrives before it learns of that.
#[test]
fn paused_holder_names_no_cache_source() {
    let mut planner = zone_planner(&engine_list(&[(1, 1), (1, 1)]));
    complete_call(&mut planner, 1, &["e2"], 1, SETTLED);
    planner.tick(SETTLED.after(PREFILL_TIME));
    let resumed_at = SETTLED.after(Duration::from_secs(10));
    let placed = place_call(&mut planner, 2, &["e1"], resumed_at);
    assert_eq!(placed.fetch, None);
}

// A replacement waits for a report that is being fetched, and the report shows that the copy is gone.
#[test]
fn missing_copy_is_not_replaced() {
    let mut planner = zone_planner(&engine_list(&[(1, 1)]));
    planner.report_missing_copy(&call_key(1), &target_name(1), SETTLED);
    planner.tick(SETTLED);
    planner.set_version(&adapter_name(), 2, SETTLED);
    assert_eq!(take_load_orders(&mut planner), []);
    let mut report_without_adapter = engine_report(1, 0);
    report_without_adapter.adapters.clear();
    planner.report_received(&target_name(1), Some(&report_without_adapter), SETTLED);
    assert_eq!(take_load_orders(&mut planner), []);
}

// At most four orders may be in flight to one target.
#[test]
fn concurrent_replacements_are_bounded_like_loads() {
    let adapters: Vec<_> = (1..=6)
        .map(|number| AdapterName::new(&format!("base/a{number}")))
        .collect();
    let mut resident_report = engine_report(1, 1);
    resident_report.adapters = adapters.iter().map(|name| (name.clone(), 1)).collect();
    let mut planner = zone_planner(&[(target_entry(1), resident_report)]);
    for name in &adapters {
        planner.set_version(name, 2, SETTLED);
    }
    let mut orders = 0;
    while !take_load_orders(&mut planner).is_empty() {
        orders += 1;
        planner.order_ended(&target_name(1), OrderOutcome::Begun, SETTLED);
    }
    assert!(orders <= 4, "{orders} at once");
}

// Each of the following tests is the only one that fails if a certain check is removed.

#[test]
fn cache_from_before_a_replacement_is_no_source() {
    let mut planner = zone_planner(&engine_list(&[(1, 1), (1, 1)]));
    complete_call(&mut planner, 1, &["e2"], 1, SETTLED);
    set_adapter_version(&mut planner, 2, SETTLED);
    assert_eq!(take_load_orders(&mut planner).len(), 2);
    let now = SETTLED.after(LOAD_TIME);
    let taken = EngineReport {
        orders_taken: 1,
        ..engine_report(1, 2)
    };
    for name in [target_name(1), target_name(2)] {
        planner.order_ended(&name, OrderOutcome::Begun, SETTLED);
        planner.tick(now);
        planner.report_received(&name, Some(&taken), now);
    }
    let placed = place_call(&mut planner, 2, &["e1"], now);
    assert_eq!((placed.fetch, placed.version), (None, Some(2)));
}

#[test]
fn cache_from_before_reported_weights_is_no_source() {
    let mut planner = zone_planner(&engine_list(&[(1, 1), (7, 1)]));
    complete_call(&mut planner, 1, &["e2"], 1, SETTLED);
    planner.report_received(&target_name(1), Some(&engine_report(7, 1)), SETTLED);
    let placed = place_call(&mut planner, 2, &["e1"], SETTLED);
    assert_eq!(placed.fetch, None);
}

#[test]
fn cache_from_before_a_reported_version_is_no_source() {
    let mut planner = zone_planner(&engine_list(&[(1, 1), (1, 2)]));
    complete_call(&mut planner, 1, &["e2"], 1, SETTLED);
    planner.report_received(&target_name(1), Some(&engine_report(1, 2)), SETTLED);
    let placed = place_call(&mut planner, 2, &["e1"], SETTLED);
    assert_eq!(placed.fetch, None);
}

// The counter of an entry increases with each write, so it does not show whether the entry was written before an order.
// Only a list that lacked the copy after the load and contains it now refers to this load.
#[test]
fn listed_version_from_before_the_last_load_is_not_used() {
    let known_version = |planner: &ZonePlanner| {
        planner.engines()[&target_name(1)].copies[&adapter_name()].known_version
    };
    for count in [2, 3, 99] {
        let mut planner = zone_planner(&[(listed_entry(1, 1, 2), engine_report(1, 0))]);
        planner.set_targets(vec![Arc::new(listed_entry(1, 1, count))], SETTLED);
        assert_eq!(
            known_version(&planner),
            None,
            "it may be from before the load"
        );
        planner.set_targets(vec![Arc::new(target_entry(1))], SETTLED);
        planner.set_targets(vec![Arc::new(listed_entry(1, 2, count))], SETTLED);
        assert_eq!(
            known_version(&planner).map(|observed| observed.version),
            Some(2)
        );
    }
}

// The engine may have restarted unnoticed with other weights, and would accept an order that expects no earlier one all
// the same.
#[test]
fn engine_after_its_first_order_fetches_no_cache_until_it_reports_its_weights() {
    let mut report_without_adapter = engine_report(1, 0);
    report_without_adapter.adapters.clear();
    let mut engines = engine_list(&[(1, 1), (1, 0)]);
    engines[1].1 = report_without_adapter;
    let mut planner = zone_planner(&engines);
    complete_call(&mut planner, 1, &["e2"], 1, SETTLED);
    planner.place(call_key(2), loading_request(&["e1"]), SETTLED);
    assert_eq!(take_load_orders(&mut planner), [target_name(2)]);
    planner.order_ended(&target_name(2), OrderOutcome::Begun, SETTLED);
    assert_eq!(take_placement(&mut planner).fetch, None);
}

// An order of the previous holder may take effect seconds after its lease ended, and replace a copy unnoticed.
#[test]
fn successor_names_no_cache_source_while_earlier_orders_may_take_effect() {
    let later = SETTLED.after(Duration::from_secs(13));
    for (now, is_reported, fetch) in [
        (SETTLED, false, None),
        (later, false, None),
        (later, true, Some(engine_address(1))),
    ] {
        let mut planner = zone_planner(&engine_list(&[(1, 1), (1, 1)]));
        planner.mark_takeover(SETTLED);
        complete_call(&mut planner, 1, &["e2"], 1, SETTLED);
        planner.set_sole_until(now.after(PREFILL_TIME));
        if is_reported {
            planner.report_received(&target_name(1), Some(&engine_report(1, 1)), now);
        }
        assert_eq!(place_call(&mut planner, 2, &["e1"], now).fetch, fetch);
    }
}

// A gateway that restarts numbers its calls from the beginning, and the holder still knows an earlier call with the
// same key.
#[test]
fn cache_is_released_when_a_call_key_is_reused() {
    let mut planner = zone_planner(&engine_list(&[(1, 1), (1, 1), (1, 1)]));
    complete_call(&mut planner, 1, &["e2", "e3"], 1, SETTLED);
    assert_eq!(
        place_call(&mut planner, 2, &["e1", "e3"], SETTLED).fetch,
        Some(engine_address(1))
    );
    // The first engine is leaving, so that the second one lends its cache to the next call.
    planner.call_started(
        &call_key(2),
        &target_name(2),
        Some(1),
        SETTLED.after(PREFILL_TIME),
    );
    planner.call_ended(
        &call_key(2),
        Some(&target_name(2)),
        None,
        SETTLED.after(PREFILL_TIME),
    );
    let now = SETTLED.after(LOAD_TIME);
    assert!(
        place_call(&mut planner, 3, &["e1", "e2"], now)
            .fetch
            .is_some()
    );
    let leaving = TargetEntry {
        stage: TargetStage::Draining,
        ..target_entry(1)
    };
    let listed = [leaving, target_entry(2), target_entry(3), target_entry(4)].map(Arc::new);
    planner.set_targets(listed.to_vec(), now);
    planner.report_received(&target_name(4), Some(&engine_report(1, 1)), now);
    planner.take_actions();
    let retried = place_call(&mut planner, 3, &["e1", "e2", "e3"], now);
    assert_eq!(retried.fetch, Some(engine_address(2)));
    planner.call_ended(&call_key(3), Some(&target_name(4)), None, now);
    set_adapter_version(&mut planner, 2, now.after(LOAD_TIME));
    let mut names = take_load_orders(&mut planner);
    names.sort();
    assert_eq!(
        names,
        [
            target_name(1),
            target_name(2),
            target_name(3),
            target_name(4)
        ]
    );
}

// During a release, engines of two software versions serve the same weights, and engines do not check who made the
// cache that they fetch.
#[test]
fn cache_is_not_fetched_from_an_engine_of_another_software_version() {
    let mut engines = engine_list(&[(1, 1), (1, 1)]);
    engines[1].0.software = SoftwareVersion::new("v2");
    let mut planner = zone_planner(&engines);
    complete_call(&mut planner, 1, &["e2"], 1, SETTLED);
    let placed = place_call(&mut planner, 2, &["e1"], SETTLED);
    assert_eq!((placed.target, placed.fetch), (target_name(2), None));
}
