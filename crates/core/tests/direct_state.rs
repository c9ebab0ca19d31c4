//! Routes, the target catalog, the retry budget and leases of the direct mode.

use hoplanding_core::{
    direct::{
        catalog::{TargetCatalog, TargetEntry, TargetStage},
        config::{FleetConfig, ResponseShape, RetryPolicy, RouteRule},
        demand::DemandTable,
        lease::{HolderContact, HolderView, LeaseAction, LeaseState, LeaseTimeouts, ZoneLease},
        log_contact::{AnswerSpan, LogContact},
        retry_budget::{RetryBudgetRule, RetryShare},
        routes::RouteTable,
        stream_estimate::StreamEstimate,
    },
    ids::{
        AdapterName, AvailabilityZone, Instant, LogOffset, LogPosition, ServiceName, StoreEra,
        TargetLife, TargetName, VmName,
    },
};
use std::{collections::HashSet, sync::Arc, time::Duration};

fn at(ms: u64) -> Instant {
    Instant(1_000_000 + ms * 1_000)
}

fn route(name: &str, host: &str, prefix: &str) -> Arc<RouteRule> {
    Arc::new(RouteRule {
        name: name.to_owned(),
        host: host.to_owned(),
        path_prefix: prefix.to_owned(),
        retry_policy: RetryPolicy::Idempotent,
        response_shape: ResponseShape::Buffered,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(150),
        priority: 0,
        services: vec![(ServiceName::new("s"), 1)],
        allows_anonymous: false,
        max_attempts: 2,
    })
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let table = RouteTable::new(&FleetConfig {
        routes: vec![
            route("short", "a.example", "/x/"),
            route("long", "a.example", "/x/y/"),
            route("other", "b.example", "/"),
        ],
        ..FleetConfig::default()
    });
    let found = |host, path| table.find(host, path).map(|route| route.name.clone());
    assert_eq!(found("a.example", "/x/y/z").as_deref(), Some("long"));
    assert_eq!(found("A.example:8080", "/x/yy").as_deref(), Some("short"));
    assert_eq!(found("b.example", "/any").as_deref(), Some("other"));
    assert_eq!(found("a.example", "/x"), None);
    assert_eq!(found("c.example", "/x/"), None);
}

fn entry(name: &str, stage: TargetStage) -> TargetEntry {
    TargetEntry {
        name: TargetName::new(name),
        life: TargetLife::default(),
        service: ServiceName::new("s"),
        address: "127.0.0.1:9".parse().expect("an address"),
        zone: AvailabilityZone::new("hall"),
        slots: 4,
        stage,
        remaining: None,
        warmup_remaining: Duration::ZERO,
        orders_taken: 0,
        models: Vec::new(),
        adapters: Vec::new(),
    }
}

#[test]
fn records_count_by_offset_in_whatever_order_they_come() {
    let name = TargetName::new("i-1");
    let mut catalog = TargetCatalog::default();
    let leaving = entry("i-1", TargetStage::Draining);
    assert!(catalog.apply(&name, LogPosition(7), Some(leaving), at(0)));
    let older = entry("i-1", TargetStage::Ready);
    assert!(!catalog.apply(&name, LogPosition(5), Some(older), at(1)));
    assert_eq!(
        catalog.get(&name).expect("listed").stage,
        TargetStage::Draining
    );
    // A listing that is older than what is known removes nothing.
    catalog.remove_missing(&HashSet::new(), LogPosition(6), at(2));
    assert!(catalog.get(&name).is_some());
    catalog.remove_missing(&HashSet::new(), LogPosition(8), at(3));
    assert!(catalog.get(&name).is_none());
}

#[test]
fn what_an_engine_holds_is_no_news_for_others() {
    let name = TargetName::new("i-1");
    let mut catalog = TargetCatalog::default();
    let first = entry("i-1", TargetStage::Ready);
    assert!(catalog.apply(&name, LogPosition(1), Some(first.clone()), at(0)));
    let moved_on = TargetEntry {
        orders_taken: 9,
        ..first
    };
    assert!(!catalog.apply(&name, LogPosition(2), Some(moved_on), at(1)));
    assert_eq!(catalog.get(&name).expect("listed").orders_taken, 9);
}

#[test]
fn an_entry_that_lapses_in_an_outage_is_gone_only_if_it_stays_away() {
    let back = TargetName::new("i-1");
    let gone = TargetName::new("i-2");
    let mut catalog = TargetCatalog::default();
    for (position, name) in [(1, "i-1"), (2, "i-2")] {
        let listed = entry(name, TargetStage::Ready);
        catalog.apply(
            &TargetName::new(name),
            LogPosition(position),
            Some(listed),
            at(0),
        );
    }
    catalog.note_log_recovered(Some(at(10_000)));
    catalog.apply(&back, LogPosition(3), None, at(10_050));
    catalog.apply(&gone, LogPosition(4), None, at(10_050));
    assert_eq!(catalog.iter().count(), 2, "both may come back");
    let listed = entry("i-1", TargetStage::Ready);
    catalog.apply(&back, LogPosition(5), Some(listed), at(11_500));
    assert_eq!(
        catalog.expire_removals(at(12_400)),
        [(gone.clone(), LogPosition(4))]
    );
    assert!(catalog.get(&back).is_some() && catalog.get(&gone).is_none());
    // Long after the outage a removal counts at once.
    catalog.apply(&back, LogPosition(6), None, at(20_000));
    assert!(catalog.get(&back).is_none());
}

#[test]
fn a_doubt_ends_two_seconds_after_the_logs_return_however_often_it_goes_again() {
    let name = TargetName::new("i-1");
    let mut catalog = TargetCatalog::default();
    let listed = entry("i-1", TargetStage::Ready);
    catalog.apply(&name, LogPosition(1), Some(listed), at(0));
    catalog.note_log_recovered(Some(at(10_000)));
    // Read 2.1 s after the return: it is in doubt for a tenth of a second, not for another two.
    assert!(!catalog.apply(&name, LogPosition(2), None, at(12_100)));
    assert!(catalog.is_removal_pending(&name));
    assert_eq!(catalog.first_unconfirmed(), Some(LogPosition(2)));
    // A later return, and a listing after it, leave the doubt's end as it was.
    catalog.note_log_recovered(Some(at(12_150)));
    let counted = catalog.remove_missing(&HashSet::new(), LogPosition(5), at(12_160));
    assert!(counted.is_empty());
    assert!(catalog.expire_removals(at(12_190)).is_empty());
    assert_eq!(
        catalog.expire_removals(at(12_200)),
        [(name, LogPosition(4))]
    );
}

#[test]
fn a_doubt_ends_when_another_vm_was_served_or_has_counted_the_removal() {
    let mut catalog = TargetCatalog::default();
    for (position, name) in [(1, "i-1"), (2, "i-2")] {
        let listed = entry(name, TargetStage::Ready);
        let name = TargetName::new(name);
        catalog.apply(&name, LogPosition(position), Some(listed), at(0));
    }
    catalog.note_log_recovered(Some(at(10_000)));
    for (position, name) in [(3, "i-1"), (4, "i-2")] {
        assert!(!catalog.apply(
            &TargetName::new(name),
            LogPosition(position),
            None,
            at(10_100)
        ));
    }
    assert!(catalog.confirm_removal(&TargetName::new("i-1"), LogPosition(3)));
    assert_eq!(catalog.pending_removals(), 1);
    catalog.note_log_recovered(None);
    assert_eq!(catalog.expire_removals(at(10_200)).len(), 1);
    assert_eq!(catalog.iter().count(), 0);
}

#[test]
fn a_listing_removes_nothing_that_is_recorded_behind_it() {
    let name = TargetName::new("i-1");
    let mut catalog = TargetCatalog::default();
    catalog.apply(
        &name,
        LogPosition(1),
        Some(entry("i-1", TargetStage::Ready)),
        at(0),
    );
    assert_eq!(
        catalog.remove_missing(&HashSet::new(), LogPosition(5), at(1)),
        [(name.clone(), LogPosition(4))]
    );
    // The next record after the listing: it is back.
    assert!(catalog.apply(
        &name,
        LogPosition(5),
        Some(entry("i-1", TargetStage::Ready)),
        at(2)
    ));
    let counted = catalog.remove_missing(&HashSet::new(), LogPosition(5), at(3));
    assert!(counted.is_empty() && catalog.get(&name).is_some());
}

fn run(since: u64, last: u64) -> Option<AnswerSpan> {
    Some(AnswerSpan {
        since: at(since),
        last: at(last),
    })
}

/// A VM whose calls were answered until 5 s, and failed from 6 to 7 s.
fn turned_away() -> LogContact {
    let mut contact = LogContact::default();
    contact.record_answer(at(1_000));
    contact.record_answer(at(5_000));
    contact.record_failure(at(6_000));
    contact.record_failure(at(7_000));
    contact
}

#[test]
fn an_outage_of_one_vm_is_none_of_the_log_while_another_is_answered() {
    let other = VmName::new("other");
    let mut contact = turned_away();
    assert_eq!(
        contact.answer_span(),
        None,
        "nobody can rely on it meanwhile"
    );
    contact.record_answer(at(8_000));
    assert_eq!(contact.recovered_at(), Some(at(8_000)));
    // Its last answer came before this VM's last failure: it may be turned away too.
    contact.record_peer(&other, run(2_000, 6_500));
    assert_eq!(contact.recovered_at(), Some(at(8_000)));
    contact.record_peer(&other, run(2_000, 7_100));
    assert_eq!(contact.recovered_at(), None);
    contact.record_peer(&other, None);
    assert_eq!(contact.recovered_at(), Some(at(8_000)));
}

#[test]
fn the_logs_return_is_when_the_first_vm_was_answered_again() {
    let mut contact = turned_away();
    contact.record_answer(at(8_000));
    contact.record_peer(&VmName::new("later"), run(7_900, 8_300));
    contact.record_peer(&VmName::new("first"), run(7_200, 8_300));
    assert_eq!(contact.recovered_at(), Some(at(7_200)));
}

#[test]
fn an_outage_that_was_none_leaves_the_one_before_it() {
    let other = VmName::new("other");
    let mut contact = turned_away();
    contact.record_answer(at(8_000));
    contact.record_answer(at(8_500));
    contact.record_failure(at(9_000));
    contact.record_answer(at(9_500));
    contact.record_peer(&other, run(8_100, 9_400));
    assert_eq!(contact.recovered_at(), Some(at(8_000)));
}

#[test]
fn repeats_stay_within_the_vms_share_of_any_window() {
    let rule = RetryBudgetRule {
        ratio: 0.2,
        extra_retries: 54.0,
        window: Duration::from_secs(10),
    };
    let service = ServiceName::new("s");
    let mut share = RetryShare::new(rule, 8);
    let mut repeated = Vec::new();
    for ms in (0..30_000).step_by(20) {
        share.record_request(&service, at(ms));
        if share.try_retry(&service, at(ms)) {
            repeated.push(ms);
        }
    }
    for start in (0..20_000).step_by(500) {
        let count = repeated
            .iter()
            .filter(|at| (start..start + 10_000).contains(*at))
            .count();
        // 500 requests in each window, and an eighth of the slack.
        assert!(
            count as f64 <= 0.2 * 500.0 + 54.0 / 8.0,
            "{count} from {start}"
        );
    }
    assert!(repeated.len() > 100);
    let quiet = ServiceName::new("quiet");
    let at_once = (0..50)
        .filter(|_| share.try_retry(&quiet, at(40_000)))
        .count();
    assert!(at_once <= 6, "an eighth of 54");
}

/// A window was counted in twentieths, and one went out whole with its first moment: a share that was spent at the end of
/// such a part was there again half a second early.
#[test]
fn what_was_spent_counts_until_the_window_is_over() {
    let rule = RetryBudgetRule {
        ratio: 0.2,
        extra_retries: 54.0,
        window: Duration::from_secs(10),
    };
    let service = ServiceName::new("s");
    let mut share = RetryShare::new(rule, 8);
    share.record_request(&service, at(0));
    let spent = (0..50)
        .filter(|_| share.try_retry(&service, at(490)))
        .count();
    assert!(spent > 0);
    for ms in (10_000..10_490).step_by(10) {
        assert!(!share.try_retry(&service, at(ms)), "again at {ms} ms");
    }
    assert!(share.try_retry(&service, at(11_500)));
}

const TIMES: LeaseTimeouts = LeaseTimeouts {
    holder_timeout: Duration::from_millis(1_500),
    stagger: Duration::from_millis(100),
    handover_delay: Duration::from_millis(3_000),
};

fn held_by(vm: &str) -> Option<ZoneLease> {
    Some(ZoneLease {
        vm: Some(VmName::new(vm)),
        incarnation: 1,
        address: "127.0.0.1:9".parse().expect("an address"),
        era: None,
        waits_since_ms: None,
    })
}

fn view(contact: HolderContact, rank: u32) -> HolderView {
    HolderView {
        contact,
        is_holder_weaker: false,
        rank,
        waiting_claim_age: None,
        is_log_restored: false,
        is_holder: false,
        is_sole_holder: true,
    }
}

#[test]
fn older_leases_are_passed_over_and_tokens_only_rise() {
    let mut state = LeaseState::default();
    assert!(state.apply(LogPosition(5), held_by("a")));
    assert!(!state.apply(LogPosition(4), held_by("b")));
    assert_eq!(state.holder().map(VmName::as_str), Some("a"));
    assert!(state.apply(LogPosition(9), held_by("b")));
    assert_eq!(state.token().0, LogOffset(9));
}

#[test]
fn a_holder_that_may_still_give_orders_is_followed_after_a_quiet_time_only() {
    let mut state = LeaseState::default();
    state.apply(LogPosition(1), held_by("a"));
    let heard = state.next_action(&TIMES, view(HolderContact::Heard, 0), at(0));
    assert_eq!(heard, LeaseAction::Wait);
    let silent = HolderContact::Silent(at(0));
    assert_eq!(
        state.next_action(&TIMES, view(silent, 0), at(1_400)),
        LeaseAction::Wait
    );
    let quiet = TIMES.handover_delay;
    assert_eq!(
        state.next_action(&TIMES, view(silent, 0), at(1_500)),
        LeaseAction::Claim { order_delay: quiet }
    );
    // One whose process has ended gives none any more.
    let mut ended = LeaseState::default();
    ended.apply(LogPosition(1), held_by("a"));
    let quiet = Duration::ZERO;
    let step = ended.next_action(&TIMES, view(HolderContact::Ended, 0), at(0));
    assert_eq!(step, LeaseAction::Claim { order_delay: quiet });
}

#[test]
fn claimants_take_their_turns_and_the_second_waits_for_the_first() {
    let mut state = LeaseState::default();
    let ended = HolderContact::Ended;
    assert_eq!(
        state.next_action(&TIMES, view(ended, 2), at(0)),
        LeaseAction::Wait
    );
    assert_eq!(
        state.next_action(&TIMES, view(ended, 2), at(150)),
        LeaseAction::Wait
    );
    assert!(matches!(
        state.next_action(&TIMES, view(ended, 2), at(200)),
        LeaseAction::Claim { .. }
    ));
    // The first one's claim arrives: there is nothing to claim any more.
    state.apply(LogPosition(3), held_by("first"));
    assert_eq!(
        state.next_action(&TIMES, view(HolderContact::Heard, 2), at(400)),
        LeaseAction::Wait
    );
}

#[test]
fn a_weaker_holder_is_asked_for_the_lease_once_a_turn_and_only_while_it_is_heard() {
    let mut state = LeaseState::default();
    state.apply(LogPosition(1), held_by("weak"));
    let weaker = |contact| HolderView {
        is_holder_weaker: true,
        ..view(contact, 0)
    };
    let heard = weaker(HolderContact::Heard);
    assert_eq!(state.next_action(&TIMES, heard, at(0)), LeaseAction::Wait);
    assert_eq!(
        state.next_action(&TIMES, heard, at(2_900)),
        LeaseAction::Wait
    );
    assert_eq!(
        state.next_action(&TIMES, heard, at(3_000)),
        LeaseAction::RequestTransfer
    );
    assert_eq!(
        state.next_action(&TIMES, heard, at(3_100)),
        LeaseAction::Wait
    );
    assert_eq!(
        state.next_action(&TIMES, heard, at(6_000)),
        LeaseAction::RequestTransfer
    );
    // Silence begins the count anew, and so does another holder.
    let silent = weaker(HolderContact::Silent(at(8_900)));
    assert_eq!(
        state.next_action(&TIMES, silent, at(8_950)),
        LeaseAction::Wait
    );
    assert_eq!(
        state.next_action(&TIMES, heard, at(9_000)),
        LeaseAction::Wait
    );
    assert_eq!(
        state.next_action(&TIMES, heard, at(12_000)),
        LeaseAction::RequestTransfer
    );
    state.apply(LogPosition(4), held_by("other"));
    assert_eq!(
        state.next_action(&TIMES, heard, at(15_000)),
        LeaseAction::Wait
    );
    // A holder that is as strong keeps it.
    let equal = view(HolderContact::Heard, 0);
    assert_eq!(
        state.next_action(&TIMES, equal, at(30_000)),
        LeaseAction::Wait
    );
}

#[test]
fn streams_that_take_long_raise_what_a_stream_may_take_and_are_forgotten() {
    let mut pace = StreamEstimate::default();
    let guessed = pace.max_duration(100, at(0));
    assert!(guessed >= Duration::from_secs(5), "{guessed:?}");
    // 25 events of four tokens each, 60 ms apart.
    pace.record_start(Duration::from_millis(300), at(1_000));
    pace.record_end(25, Duration::from_millis(1_440), 100, at(1_000));
    let calm = pace.max_duration(100, at(1_000));
    assert!(calm < Duration::from_millis(3_000), "{calm:?}");
    // A VM that has just started, with few short streams behind it, cut one of 208 tokens after 3.87 s.
    let short = pace.max_duration(208, at(1_000));
    assert!(short > Duration::from_millis(3_870), "{short:?}");
    // The stream that was cut in a stop: 1.35 s to its first event, and over 3.2 s for up to 208 tokens.
    pace.record_start(Duration::from_millis(1_350), at(2_000));
    pace.record_end(52, Duration::from_millis(3_300), 208, at(2_000));
    let loaded = pace.max_duration(208, at(2_000));
    assert!(loaded > Duration::from_millis(4_650), "{loaded:?}");
    let later = pace.max_duration(208, at(40_000));
    assert_eq!(later, Duration::from_millis(1_000 + 15 * 208));
}

// Settings files are reloaded often, and one of them may name another window for a moment. What was spent before counts
// on, or each pair of reloads would pay for the same repeats again.
#[test]
fn a_window_that_is_shorter_for_a_moment_forgets_nothing_that_was_spent() {
    let service = ServiceName::new("s");
    let rule = RetryBudgetRule {
        ratio: 0.0,
        extra_retries: 20.0,
        window: Duration::from_secs(10),
    };
    let shorter = RetryBudgetRule {
        window: Duration::from_secs(1),
        ..rule
    };
    let mut share = RetryShare::new(rule, 1);
    let mut spent = 0;
    // Three seconds, in which the rule changes and changes back every 250 ms.
    for step in 0..3_000 {
        let now = at(step);
        match step % 500 {
            0 => share.set_rule(rule),
            250 => share.set_rule(shorter),
            _ => {}
        }
        if step % 500 < 250 && share.try_retry(&service, now) {
            spent += 1;
        } else {
            share.usage(&service, now);
        }
    }
    assert!(
        spent <= 20,
        "{spent} within three seconds, 20 allowed in ten"
    );
}

#[test]
fn the_same_rule_again_changes_nothing() {
    let service = ServiceName::new("s");
    let rule = RetryBudgetRule {
        ratio: 0.1,
        extra_retries: 10.0,
        window: Duration::from_secs(10),
    };
    let mut share = RetryShare::new(rule, 1);
    let mut spent = 0;
    for step in 0..50 {
        share.set_rule(rule);
        spent += u32::from(share.try_retry(&service, at(step * 50)));
    }
    assert_eq!(spent, 8, "four fifths of ten");
}

#[test]
fn tens_of_thousands_of_adapters_cost_no_more_a_request_than_a_hundred() {
    let mut table = DemandTable::default();
    let record = |table: &mut DemandTable, number: u64, ms: u64| {
        table.record(&AdapterName::new(&format!("base/a{number}")), at(ms));
    };
    // Each of 30,000 adapters once in 30 s: nobody is idle, and a sweep at every request would look at 450 million counts.
    for number in 0..30_000 {
        record(&mut table, number, number);
    }
    assert_eq!(table.len(), 30_000);
    // Two minutes later all of them are idle, and are forgotten by the time that as many others were asked for.
    for number in 0..70_000 {
        record(&mut table, 100_000 + number, 150_000 + number);
    }
    assert!(table.len() < 75_000, "{}", table.len());
    assert!(table.count(&AdapterName::new("base/a1"), at(220_000)) < 1e-9);
}

fn in_era(era: u64, offset: u64) -> LogPosition {
    LogPosition::in_era(StoreEra(era), LogOffset(offset))
}

fn claimed_in(vm: &str, era: u64) -> Option<ZoneLease> {
    held_by(vm).map(|lease| ZoneLease {
        era: Some(StoreEra(era)),
        ..lease
    })
}

#[test]
fn a_claim_that_a_copy_holds_is_older_than_the_one_that_it_lacks() {
    let mut state = LeaseState::default();
    assert!(state.apply(in_era(1, 30), claimed_in("a", 1)));
    assert!(state.apply(in_era(1, 43), claimed_in("b", 1)));
    assert!(!state.apply(in_era(2, 30), claimed_in("a", 1)));
    assert_eq!(state.holder().map(VmName::as_str), Some("b"));
    // Lower by its offset, and higher as a token.
    let before = state.token();
    assert!(state.apply(in_era(2, 31), claimed_in("b", 2)));
    assert!(state.token() > before);
    assert_eq!(state.renewed_token, Some(before));
}

#[test]
fn nobody_begins_to_hold_by_a_claim_that_was_sent_in_another_history() {
    let mut state = LeaseState::default();
    assert!(state.apply(in_era(2, 43), claimed_in("a", 1)));
    assert!(state.is_from_earlier_era);
    assert_eq!(state.position, in_era(1, 43));
    assert!(state.apply(in_era(2, 44), claimed_in("a", 2)));
    assert!(!state.is_from_earlier_era);
}

#[test]
fn who_claims_a_zone_in_a_new_era_waits_a_turn_unless_it_has_led_throughout() {
    let mut state = LeaseState::default();
    state.apply(in_era(1, 43), claimed_in("a", 1));
    let outdated = |contact, is_self, has_led| HolderView {
        is_log_restored: true,
        is_holder: is_self,
        is_sole_holder: has_led,
        ..view(contact, 0)
    };
    let claim = |quiet| LeaseAction::Claim { order_delay: quiet };
    for (contact, is_self, has_led, expected) in [
        (HolderContact::Heard, true, true, claim(Duration::ZERO)),
        (
            HolderContact::Heard,
            true,
            false,
            claim(TIMES.handover_delay),
        ),
        (
            HolderContact::Ended,
            false,
            false,
            claim(TIMES.handover_delay),
        ),
        (HolderContact::Heard, false, false, LeaseAction::Wait),
    ] {
        let view = outdated(contact, is_self, has_led);
        assert_eq!(state.clone().next_action(&TIMES, view, at(9_000)), expected);
    }
}

#[test]
fn the_successor_of_a_claimant_that_ended_within_its_turn_waits_what_is_left_of_it() {
    let waiting = |waited: u64, contact| HolderView {
        waiting_claim_age: Some(Duration::from_millis(waited)),
        ..view(contact, 0)
    };
    let claim = |ms| LeaseAction::Claim {
        order_delay: Duration::from_millis(ms),
    };
    let mut state = LeaseState::default();
    state.apply(LogPosition(5), held_by("a"));
    let heard = waiting(0, HolderContact::Heard);
    assert_eq!(state.next_action(&TIMES, heard, at(0)), LeaseAction::Wait);
    let ended = waiting(0, HolderContact::Ended);
    assert_eq!(state.next_action(&TIMES, ended, at(1_000)), claim(2_000));
    assert_eq!(state.next_action(&TIMES, ended, at(3_000)), claim(0));
    // One that gives the zone up meanwhile has not waited any longer.
    state.apply(
        LogPosition(6),
        held_by("").map(|lease| ZoneLease { vm: None, ..lease }),
    );
    let given_up = waiting(500, HolderContact::Ended);
    assert_eq!(state.next_action(&TIMES, given_up, at(4_000)), claim(2_500));
    // A claim that is long ago by the time of day needs no wait at a VM that has just started.
    let mut state = LeaseState::default();
    state.apply(LogPosition(5), held_by("a"));
    let long_ago = waiting(60_000, HolderContact::Ended);
    assert_eq!(state.next_action(&TIMES, long_ago, at(0)), claim(0));
}
