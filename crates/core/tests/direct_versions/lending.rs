//! Sequences by which memory of prompts could still move between unlike versions, by which a loan of it is never over, and by
//! which what is kept by name outlives a version, a life or a copy.

use crate::support::{
    LOADED, READING, SETTLED, adapter, address, ask, engines, entry, held_from, key, listed,
    loading, name_version, place, placed, planner, read, replaced, report, target,
};
use hoplanding_core::{
    direct::{
        catalog::{TargetEntry, TargetStage},
        engine::{EngineReport, ORPHANED_CALL_TTL, OrderOutcome},
        planner::{PlacementRequest, ZonePlanner},
    },
    ids::{AdapterName, TargetLife, VmName},
};
use std::{sync::Arc, time::Duration};

/// Two alike engines, of which the second has been told to take the first one's memory for call 2.
fn lending() -> ZonePlanner {
    let mut planner = planner(&engines(&[(1, 1), (1, 1)]));
    read(&mut planner, 1, &["e2"], 1, SETTLED);
    let borrower = place(&mut planner, 2, &["e1"], SETTLED);
    assert_eq!(borrower.fetch, Some(address(1)));
    planner
}

// The engine of the borrower leaves the list before the call's first event, as each replaced target may.
#[test]
fn a_loan_ends_when_its_borrowers_engine_is_gone() {
    let mut planner = lending();
    let now = SETTLED.after(READING);
    planner.set_targets(vec![Arc::new(entry(1))], now);
    planner.call_ended(&key(2), Some(&target(2)), None, now);
    name_version(&mut planner, 2, now.after(LOADED));
    assert_eq!(replaced(&mut planner), [target(1)]);
}

#[test]
fn a_loan_ends_when_its_borrowers_engine_has_started_again() {
    let mut planner = lending();
    let now = SETTLED.after(READING);
    let reborn = EngineReport {
        life: TargetLife::begun_at(7),
        ..report(1, 1)
    };
    planner.report_received(&target(2), Some(&reborn), now);
    planner.call_ended(&key(2), Some(&target(2)), None, now);
    name_version(&mut planner, 2, now.after(LOADED));
    assert!(replaced(&mut planner).contains(&target(1)));
}

// A link that is dialled anew tells of its open calls, and the holder may know them still: the old link ends seconds later.
#[test]
fn a_loan_ends_with_a_call_that_its_gateway_tells_of_again() {
    let mut planner = lending();
    let now = SETTLED.after(READING);
    planner.adopt_call(key(2), &target(2), &adapter());
    planner.call_ended(&key(2), Some(&target(2)), None, now);
    name_version(&mut planner, 2, now.after(LOADED));
    let mut names = replaced(&mut planner);
    names.sort();
    assert_eq!(names, [target(1), target(2)]);
}

// The link to a gateway breaks, and the gateway lives: its call, which waits for its adapter or in the engine's queue, takes the
// memory later. The borrower's copy is held for such calls, and what it borrows from has to be as well.
#[test]
fn a_copy_is_held_for_a_borrower_whose_gateway_cannot_be_reached() {
    let mut planner = lending();
    let now = SETTLED.after(READING);
    planner.forget_gateway(&VmName::new("vm"), now);
    name_version(&mut planner, 2, now);
    assert_eq!(replaced(&mut planner), [], "both may be in use");
    planner.tick(now.after(ORPHANED_CALL_TTL));
    assert_eq!(replaced(&mut planner).len(), 2);
}

// A call of before the engine's restart has its first event told late, over a link that was held up.
#[test]
fn a_late_first_event_does_not_bring_back_the_weights_of_before() {
    let mut planner = planner(&engines(&[(1, 1), (1, 1)]));
    read(&mut planner, 1, &["e1"], 1, SETTLED);
    // Of another prompt, so that the engine has nothing of the one that is asked about.
    let other = PlacementRequest {
        prefix: vec![(4, 6_300), (5, 2_890)],
        ..ask(&["e2"])
    };
    planner.place(key(2), other, SETTLED);
    let late = placed(&mut planner);
    let now = SETTLED.after(READING);
    planner.report_received(&late.target, Some(&report(7, 1)), now);
    planner.call_started(&key(2), &late.target, Some(1), now);
    planner.call_ended(&key(2), Some(&late.target), None, now);
    let placed = place(&mut planner, 3, &["e2"], now);
    assert_eq!(placed.target, target(1));
    assert_eq!(placed.fetch, None, "weights 1 for weights 7");
}

// An engine restarts under its name, and neither list nor reports tell lives. Orders are counted from 0 again, so that the entry
// of before looks newer than all that is known of the new life.
#[test]
fn a_listed_version_of_before_a_restart_is_not_taken_for_the_new_copys() {
    let long = EngineReport {
        orders_taken: 5,
        ..report(7, 1)
    };
    let old = listed(1, 1, 5);
    let mut planner = planner(&[(old.clone(), long)]);
    let empty = EngineReport {
        adapters: Vec::new(),
        ..report(7, 0)
    };
    let now = SETTLED.after(LOADED);
    planner.report_received(&target(1), Some(&empty), now);
    planner.place(key(1), loading(&[]), now);
    assert_eq!(replaced(&mut planner), [target(1)]);
    planner.order_ended(&target(1), OrderOutcome::Begun, now);
    let now = now.after(LOADED);
    planner.tick(now);
    // The list has not changed; it is taken over again whenever anything in the books does.
    planner.set_targets(vec![Arc::new(old)], now);
    let copy = &planner.engines()[&target(1)].copies[&adapter()];
    assert_eq!(
        copy.known_version, None,
        "the newest was loaded, and nobody has told which"
    );
}

// An engine has started again under a new name at its old address, and the old entry lapses only heartbeats later.
#[test]
fn an_address_that_another_engine_has_by_now_is_no_source() {
    let reborn = TargetEntry {
        address: address(1),
        ..entry(3)
    };
    let mut engines = engines(&[(1, 1), (1, 1)]);
    engines.push((reborn, report(7, 1)));
    let mut planner = planner(&engines);
    read(&mut planner, 1, &["e2", "e3"], 1, SETTLED);
    read(&mut planner, 2, &["e1", "e2"], 7, SETTLED);
    let placed = place(&mut planner, 3, &["e1", "e3"], SETTLED);
    assert_eq!(placed.target, target(2));
    assert_eq!(placed.fetch, None, "weights 7 answer there");
}

// An order was refused: the answer of an engine that is another run of the target.
#[test]
fn an_engine_that_may_be_another_run_takes_no_memory() {
    let mut planner = planner(&engines(&[(1, 1), (1, 1)]));
    read(&mut planner, 1, &["e2"], 1, SETTLED);
    let other = PlacementRequest {
        subject: AdapterName::new("base/a2"),
        may_load: true,
        ..ask(&["e1"])
    };
    planner.place(key(2), other, SETTLED);
    assert_eq!(replaced(&mut planner), [target(2)]);
    planner.order_ended(&target(2), OrderOutcome::Refused, SETTLED);
    planner.take_actions();
    let placed = place(&mut planner, 3, &["e1"], SETTLED);
    assert_eq!(placed.fetch, None, "what it holds is not known");
}

#[test]
fn memory_whose_answer_told_no_version_is_not_lent() {
    let mut planner = planner(&engines(&[(1, 1), (1, 1)]));
    let first = place(&mut planner, 1, &["e2"], SETTLED);
    planner.call_started(&key(1), &first.target, None, SETTLED.after(READING));
    let placed = place(&mut planner, 2, &["e1"], SETTLED.after(READING));
    assert_eq!(placed.fetch, None);
}

// An entry as new as all that is known tells other weights than the last report did, which may be minutes old.
#[test]
fn weights_that_a_newer_entry_tells_otherwise_are_not_known() {
    let mut planner = planner(&engines(&[(1, 1), (1, 1)]));
    read(&mut planner, 1, &["e2"], 1, SETTLED);
    let newer = TargetEntry {
        models: vec![("base".to_owned(), 7)],
        ..listed(2, 1, 0)
    };
    let now = SETTLED.after(LOADED);
    planner.set_targets(vec![Arc::new(entry(1)), Arc::new(newer)], now);
    let placed = place(&mut planner, 2, &["e1"], now);
    assert_eq!(placed.fetch, None, "weights 1 for weights 7");
}

// An unload drops what was kept: once the copy is back the engine reads all of the prompt, or takes it from a neighbour.
#[test]
fn what_an_engine_had_kept_is_gone_with_its_copy() {
    let mut planner = planner(&engines(&[(1, 1), (1, 1)]));
    read(&mut planner, 1, &["e1"], 1, SETTLED);
    read(&mut planner, 2, &["e2"], 1, SETTLED);
    let now = SETTLED.after(LOADED);
    let dropped = EngineReport {
        adapters: Vec::new(),
        ..report(1, 0)
    };
    planner.report_received(&target(1), Some(&dropped), now);
    planner.report_received(&target(1), Some(&report(1, 1)), now.after(LOADED));
    let placed = place(&mut planner, 3, &["e2"], now.after(LOADED));
    assert_eq!(placed.fetch, Some(address(2)));
}

// The second engine has started again with other weights, unheard of: it turns a call away that names what the memory was made by.
#[test]
fn a_call_that_was_turned_away_with_memory_is_placed_again_without_it() {
    let mut planner = lending();
    let now = SETTLED.after(READING);
    planner.report_missing_copy(&key(2), &target(2), now);
    planner.call_ended(&key(2), Some(&target(2)), None, now);
    planner.take_actions();
    let again = place(&mut planner, 3, &["e1"], now);
    assert_eq!(again.target, target(2));
    assert_eq!((again.fetch, again.version), (None, None));
}

// No version is named, and the newest that the second engine loads is another one than made the memory: the 421 speaks of the
// version, and the load was there in time.
#[test]
fn a_load_is_not_late_where_only_the_version_of_moved_memory_is_another() {
    let mut without = report(1, 0);
    without.adapters.clear();
    // The load of its base model: it can't have started again unseen.
    without.orders_taken = 1;
    let mut engines = engines(&[(1, 1), (1, 0)]);
    engines[1].1 = without;
    let mut planner = planner(&engines);
    read(&mut planner, 1, &["e2"], 1, SETTLED);
    planner.place(key(2), loading(&["e1"]), SETTLED);
    assert_eq!(replaced(&mut planner), [target(2)]);
    planner.order_ended(&target(2), OrderOutcome::Begun, SETTLED);
    let borrower = placed(&mut planner);
    assert_eq!(borrower.version, Some(1));
    let expected = planner.load_limiter().expected_time(&target(2));
    let now = SETTLED.after(expected).after(READING);
    planner.report_missing_copy(&key(2), &target(2), now);
    assert_eq!(planner.load_limiter().expected_time(&target(2)), expected);
}

// A lender may run nothing at all. The holder before has sent a call that takes its memory once its own adapter is there.
#[test]
fn a_new_holder_holds_lenders_that_run_nothing() {
    let mut planner = held_from(SETTLED, &engines(&[(1, 1), (1, 1)]));
    planner.adopt_call(key(9), &target(2), &adapter());
    name_version(&mut planner, 2, SETTLED);
    assert_eq!(replaced(&mut planner), []);
}

// The holder's VM stood still, and another may have held the zone and ordered replacements meanwhile: a call of its own caller comes
// before it hears of that.
#[test]
fn a_holder_that_stood_still_names_no_source() {
    let mut planner = planner(&engines(&[(1, 1), (1, 1)]));
    read(&mut planner, 1, &["e2"], 1, SETTLED);
    planner.tick(SETTLED.after(READING));
    let thawed = SETTLED.after(Duration::from_secs(10));
    let placed = place(&mut planner, 2, &["e1"], thawed);
    assert_eq!(placed.fetch, None);
}

// A replacement waits for a report that is being read, and the report shows that the copy is gone.
#[test]
fn a_copy_that_is_gone_is_not_replaced() {
    let mut planner = planner(&engines(&[(1, 1)]));
    planner.report_missing_copy(&key(1), &target(1), SETTLED);
    planner.tick(SETTLED);
    planner.set_version(&adapter(), 2, SETTLED);
    assert_eq!(replaced(&mut planner), []);
    let mut without = report(1, 0);
    without.adapters.clear();
    planner.report_received(&target(1), Some(&without), SETTLED);
    assert_eq!(replaced(&mut planner), []);
}

// The users' pages: four may be on their way to one target at once.
#[test]
fn replacements_on_their_way_to_an_engine_are_bounded_as_loads_are() {
    let adapters: Vec<_> = (1..=6)
        .map(|number| AdapterName::new(&format!("base/a{number}")))
        .collect();
    let mut held = report(1, 1);
    held.adapters = adapters.iter().map(|name| (name.clone(), 1)).collect();
    let mut planner = planner(&[(entry(1), held)]);
    for name in &adapters {
        planner.set_version(name, 2, SETTLED);
    }
    let mut orders = 0;
    while !replaced(&mut planner).is_empty() {
        orders += 1;
        planner.order_ended(&target(1), OrderOutcome::Begun, SETTLED);
    }
    assert!(orders <= 4, "{orders} at once");
}

// Guards: each passes, and fails with one measure taken out that no other test asks for.

#[test]
fn memory_of_before_a_replacement_is_no_source_after_it() {
    let mut planner = planner(&engines(&[(1, 1), (1, 1)]));
    read(&mut planner, 1, &["e2"], 1, SETTLED);
    name_version(&mut planner, 2, SETTLED);
    assert_eq!(replaced(&mut planner).len(), 2);
    let now = SETTLED.after(LOADED);
    let taken = EngineReport {
        orders_taken: 1,
        ..report(1, 2)
    };
    for name in [target(1), target(2)] {
        planner.order_ended(&name, OrderOutcome::Begun, SETTLED);
        planner.tick(now);
        planner.report_received(&name, Some(&taken), now);
    }
    let placed = place(&mut planner, 2, &["e1"], now);
    assert_eq!((placed.fetch, placed.version), (None, Some(2)));
}

#[test]
fn memory_of_before_new_weights_that_a_report_tells_is_no_source() {
    let mut planner = planner(&engines(&[(1, 1), (7, 1)]));
    read(&mut planner, 1, &["e2"], 1, SETTLED);
    planner.report_received(&target(1), Some(&report(7, 1)), SETTLED);
    let placed = place(&mut planner, 2, &["e1"], SETTLED);
    assert_eq!(placed.fetch, None);
}

#[test]
fn memory_of_before_a_version_that_a_report_tells_is_no_source() {
    let mut planner = planner(&engines(&[(1, 1), (1, 2)]));
    read(&mut planner, 1, &["e2"], 1, SETTLED);
    planner.report_received(&target(1), Some(&report(1, 2)), SETTLED);
    let placed = place(&mut planner, 2, &["e1"], SETTLED);
    assert_eq!(placed.fetch, None);
}

// An entry's count moves with each write, so it does not say whether the entry was written before an order: only a list that was
// without the copy since it was loaded, and lists it now, speaks of this loading.
#[test]
fn a_listed_version_of_before_the_last_load_is_not_taken() {
    let sight =
        |planner: &ZonePlanner| planner.engines()[&target(1)].copies[&adapter()].known_version;
    for count in [2, 3, 99] {
        let mut planner = planner(&[(listed(1, 1, 2), report(1, 0))]);
        planner.set_targets(vec![Arc::new(listed(1, 1, count))], SETTLED);
        assert_eq!(sight(&planner), None, "it may be of before");
        planner.set_targets(vec![Arc::new(entry(1))], SETTLED);
        planner.set_targets(vec![Arc::new(listed(1, 2, count))], SETTLED);
        assert_eq!(sight(&planner).map(|sight| sight.version), Some(2));
    }
}

// The engine may have started again unseen, with other weights: an order that expects none before it is taken all the same.
#[test]
fn an_engine_that_takes_its_first_order_takes_no_memory_until_it_tells_its_weights() {
    let mut without = report(1, 0);
    without.adapters.clear();
    let mut engines = engines(&[(1, 1), (1, 0)]);
    engines[1].1 = without;
    let mut planner = planner(&engines);
    read(&mut planner, 1, &["e2"], 1, SETTLED);
    planner.place(key(2), loading(&["e1"]), SETTLED);
    assert_eq!(replaced(&mut planner), [target(2)]);
    planner.order_ended(&target(2), OrderOutcome::Begun, SETTLED);
    assert_eq!(placed(&mut planner).fetch, None);
}

// An order of the holder before may be carried out seconds after its lease has ended, and replace a copy unseen.
#[test]
fn a_successor_names_no_source_while_orders_of_the_holder_before_may_be_carried_out() {
    let later = SETTLED.after(Duration::from_secs(13));
    for (now, is_reported, fetch) in [
        (SETTLED, false, None),
        (later, false, None),
        (later, true, Some(address(1))),
    ] {
        let mut planner = planner(&engines(&[(1, 1), (1, 1)]));
        planner.mark_takeover(SETTLED);
        read(&mut planner, 1, &["e2"], 1, SETTLED);
        planner.set_lead_until(now.after(READING));
        if is_reported {
            planner.report_received(&target(1), Some(&report(1, 1)), now);
        }
        assert_eq!(place(&mut planner, 2, &["e1"], now).fetch, fetch);
    }
}

// A gateway that starts again counts its calls from the beginning, and the holder knows one of before by the same key.
#[test]
fn a_loan_ends_with_another_call_of_the_same_key() {
    let mut planner = planner(&engines(&[(1, 1), (1, 1), (1, 1)]));
    read(&mut planner, 1, &["e2", "e3"], 1, SETTLED);
    assert_eq!(
        place(&mut planner, 2, &["e1", "e3"], SETTLED).fetch,
        Some(address(1))
    );
    // The first engine is about to leave, so that the second lends to the next call.
    planner.call_started(&key(2), &target(2), Some(1), SETTLED.after(READING));
    planner.call_ended(&key(2), Some(&target(2)), None, SETTLED.after(READING));
    let now = SETTLED.after(LOADED);
    assert!(place(&mut planner, 3, &["e1", "e2"], now).fetch.is_some());
    let leaving = TargetEntry {
        stage: TargetStage::Draining,
        ..entry(1)
    };
    let listed = [leaving, entry(2), entry(3), entry(4)].map(Arc::new);
    planner.set_targets(listed.to_vec(), now);
    planner.report_received(&target(4), Some(&report(1, 1)), now);
    planner.take_actions();
    let again = place(&mut planner, 3, &["e1", "e2", "e3"], now);
    assert_eq!(again.fetch, Some(address(2)));
    planner.call_ended(&key(3), Some(&target(4)), None, now);
    name_version(&mut planner, 2, now.after(LOADED));
    let mut names = replaced(&mut planner);
    names.sort();
    assert_eq!(names, [target(1), target(2), target(3), target(4)]);
}
