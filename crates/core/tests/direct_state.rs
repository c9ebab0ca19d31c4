//! Routes, target catalog, contact with the log, retry budget, leases, stream estimates and demand.

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
        AdapterName, AvailabilityZone, Instant, LogOffset, LogPosition, ServiceName,
        SoftwareVersion, StoreEra, TargetLife, TargetName, VmName,
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
fn longest_matching_prefix_wins() {
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
        software: SoftwareVersion::default(),
        warmup_remaining: Duration::ZERO,
        orders_taken: 0,
        models: Vec::new(),
        adapters: Vec::new(),
    }
}

#[test]
fn records_apply_by_position_in_any_order() {
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
    // A listing older than the known record removes nothing.
    catalog.remove_missing(&HashSet::new(), LogPosition(6), at(2));
    assert!(catalog.get(&name).is_some());
    catalog.remove_missing(&HashSet::new(), LogPosition(8), at(3));
    assert!(catalog.get(&name).is_none());
}

#[test]
fn engine_contents_do_not_change_routing() {
    let name = TargetName::new("i-1");
    let mut catalog = TargetCatalog::default();
    let first = entry("i-1", TargetStage::Ready);
    assert!(catalog.apply(&name, LogPosition(1), Some(first.clone()), at(0)));
    let updated = TargetEntry {
        orders_taken: 9,
        ..first
    };
    assert!(!catalog.apply(&name, LogPosition(2), Some(updated), at(1)));
    assert_eq!(catalog.get(&name).expect("listed").orders_taken, 9);
}

#[test]
fn entry_that_expires_in_an_outage_is_removed_unless_it_comes_back() {
    let returning = TargetName::new("i-1");
    let removed = TargetName::new("i-2");
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
    catalog.record_log_recovered(Some(at(10_000)));
    catalog.apply(&returning, LogPosition(3), None, at(10_050));
    catalog.apply(&removed, LogPosition(4), None, at(10_050));
    assert_eq!(catalog.iter().count(), 2, "both may come back");
    let listed = entry("i-1", TargetStage::Ready);
    catalog.apply(&returning, LogPosition(5), Some(listed), at(11_500));
    assert_eq!(
        catalog.expire_removals(at(12_400)),
        [(removed.clone(), LogPosition(4))]
    );
    assert!(catalog.get(&returning).is_some() && catalog.get(&removed).is_none());
    // Long after the outage a removal applies at once.
    catalog.apply(&returning, LogPosition(6), None, at(20_000));
    assert!(catalog.get(&returning).is_none());
}

#[test]
fn repeated_outages_do_not_extend_a_pending_removal() {
    let name = TargetName::new("i-1");
    let mut catalog = TargetCatalog::default();
    let listed = entry("i-1", TargetStage::Ready);
    catalog.apply(&name, LogPosition(1), Some(listed), at(0));
    catalog.record_log_recovered(Some(at(10_000)));
    // Read 2.1 s after the recovery: the removal is pending for the remaining 100 ms, not for another 2 s.
    assert!(!catalog.apply(&name, LogPosition(2), None, at(12_100)));
    assert!(catalog.is_removal_pending(&name));
    assert_eq!(catalog.first_unconfirmed(), Some(LogPosition(2)));
    // A later recovery and a listing after it leave the due time unchanged.
    catalog.record_log_recovered(Some(at(12_150)));
    let confirmed = catalog.remove_missing(&HashSet::new(), LogPosition(5), at(12_160));
    assert!(confirmed.is_empty());
    assert!(catalog.expire_removals(at(12_190)).is_empty());
    assert_eq!(
        catalog.expire_removals(at(12_200)),
        [(name, LogPosition(4))]
    );
}

#[test]
fn pending_removal_applies_when_another_vm_confirms_it_or_was_served() {
    let mut catalog = TargetCatalog::default();
    for (position, name) in [(1, "i-1"), (2, "i-2")] {
        let listed = entry(name, TargetStage::Ready);
        let name = TargetName::new(name);
        catalog.apply(&name, LogPosition(position), Some(listed), at(0));
    }
    catalog.record_log_recovered(Some(at(10_000)));
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
    catalog.record_log_recovered(None);
    assert_eq!(catalog.expire_removals(at(10_200)).len(), 1);
    assert_eq!(catalog.iter().count(), 0);
}

#[test]
fn listing_removes_no_later_record() {
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
    // The next record after the listing: the entry is back.
    assert!(catalog.apply(
        &name,
        LogPosition(5),
        Some(entry("i-1", TargetStage::Ready)),
        at(2)
    ));
    let confirmed = catalog.remove_missing(&HashSet::new(), LogPosition(5), at(3));
    assert!(confirmed.is_empty() && catalog.get(&name).is_some());
}

fn answer_span(since: u64, last: u64) -> Option<AnswerSpan> {
    Some(AnswerSpan {
        since: at(since),
        last: at(last),
    })
}

/// A VM whose calls were answered until 5 s and failed from 6 s to 7 s.
fn contact_of_refused_vm() -> LogContact {
    let mut contact = LogContact::default();
    contact.record_answer(at(1_000));
    contact.record_answer(at(5_000));
    contact.record_failure(at(6_000));
    contact.record_failure(at(7_000));
    contact
}

#[test]
fn failures_of_one_vm_are_no_outage_while_another_is_answered() {
    let other = VmName::new("other");
    let mut contact = contact_of_refused_vm();
    assert_eq!(contact.answer_span(), None, "no answers during the outage");
    contact.record_answer(at(8_000));
    assert_eq!(contact.recovered_at(), Some(at(8_000)));
    // The peer's last answer precedes this VM's last failure, so the peer may be refused too.
    contact.record_peer(&other, answer_span(2_000, 6_500));
    assert_eq!(contact.recovered_at(), Some(at(8_000)));
    contact.record_peer(&other, answer_span(2_000, 7_100));
    assert_eq!(contact.recovered_at(), None);
    contact.record_peer(&other, None);
    assert_eq!(contact.recovered_at(), Some(at(8_000)));
}

#[test]
fn log_recovers_when_the_first_vm_is_answered_again() {
    let mut contact = contact_of_refused_vm();
    contact.record_answer(at(8_000));
    contact.record_peer(&VmName::new("later"), answer_span(7_900, 8_300));
    contact.record_peer(&VmName::new("first"), answer_span(7_200, 8_300));
    assert_eq!(contact.recovered_at(), Some(at(7_200)));
}

#[test]
fn failures_without_an_outage_keep_the_previous_recovery() {
    let other = VmName::new("other");
    let mut contact = contact_of_refused_vm();
    contact.record_answer(at(8_000));
    contact.record_answer(at(8_500));
    contact.record_failure(at(9_000));
    contact.record_answer(at(9_500));
    contact.record_peer(&other, answer_span(8_100, 9_400));
    assert_eq!(contact.recovered_at(), Some(at(8_000)));
}

#[test]
fn retries_stay_within_the_vms_share_of_any_window() {
    let rule = RetryBudgetRule {
        ratio: 0.2,
        extra_retries: 54.0,
        window: Duration::from_secs(10),
    };
    let service = ServiceName::new("s");
    let mut share = RetryShare::new(rule, 8);
    let mut retry_times = Vec::new();
    for ms in (0..30_000).step_by(20) {
        share.record_request(&service, at(ms));
        if share.try_retry(&service, at(ms)) {
            retry_times.push(ms);
        }
    }
    for start in (0..20_000).step_by(500) {
        let count = retry_times
            .iter()
            .filter(|at| (start..start + 10_000).contains(*at))
            .count();
        // 500 requests in each window, and an eighth of the extra retries.
        assert!(
            count as f64 <= 0.2 * 500.0 + 54.0 / 8.0,
            "{count} from {start}"
        );
    }
    assert!(retry_times.len() > 100);
    let idle_service = ServiceName::new("quiet");
    let burst = (0..50)
        .filter(|_| share.try_retry(&idle_service, at(40_000)))
        .count();
    assert!(burst <= 6, "an eighth of 54 retries");
}

/// Guards against retries that become available again before the window is over. A window is counted in twenty buckets;
/// if a bucket were dropped when its first moment leaves the window, retries at its end would be forgotten 500 ms
/// early.
#[test]
fn retries_count_until_the_window_is_over() {
    let rule = RetryBudgetRule {
        ratio: 0.2,
        extra_retries: 54.0,
        window: Duration::from_secs(10),
    };
    let service = ServiceName::new("s");
    let mut share = RetryShare::new(rule, 8);
    share.record_request(&service, at(0));
    let retries = (0..50)
        .filter(|_| share.try_retry(&service, at(490)))
        .count();
    assert!(retries > 0);
    for ms in (10_000..10_490).step_by(10) {
        assert!(
            !share.try_retry(&service, at(ms)),
            "allowed again at {ms} ms"
        );
    }
    assert!(share.try_retry(&service, at(11_500)));
}

const TIMEOUTS: LeaseTimeouts = LeaseTimeouts {
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

fn holder_view(contact: HolderContact, rank: u32) -> HolderView {
    HolderView {
        contact,
        has_more_cpu: false,
        rank,
        waiting_claim_age: None,
        is_log_restored: false,
        is_holder: false,
        is_sole_holder: true,
    }
}

#[test]
fn older_leases_are_ignored_and_tokens_only_increase() {
    let mut state = LeaseState::default();
    assert!(state.apply(LogPosition(5), held_by("a")));
    assert!(!state.apply(LogPosition(4), held_by("b")));
    assert_eq!(state.holder().map(VmName::as_str), Some("a"));
    assert!(state.apply(LogPosition(9), held_by("b")));
    assert_eq!(state.token().0, LogOffset(9));
}

#[test]
fn successor_of_a_possibly_active_holder_delays_its_orders() {
    let mut state = LeaseState::default();
    state.apply(LogPosition(1), held_by("a"));
    let heard = state.next_action(&TIMEOUTS, holder_view(HolderContact::Heard, 0), at(0));
    assert_eq!(heard, LeaseAction::Wait);
    let silent = HolderContact::Silent(at(0));
    assert_eq!(
        state.next_action(&TIMEOUTS, holder_view(silent, 0), at(1_400)),
        LeaseAction::Wait
    );
    let order_delay = TIMEOUTS.handover_delay;
    assert_eq!(
        state.next_action(&TIMEOUTS, holder_view(silent, 0), at(1_500)),
        LeaseAction::Claim { order_delay }
    );
    // A holder whose process has terminated issues no more orders.
    let mut ended = LeaseState::default();
    ended.apply(LogPosition(1), held_by("a"));
    let order_delay = Duration::ZERO;
    let action = ended.next_action(&TIMEOUTS, holder_view(HolderContact::Ended, 0), at(0));
    assert_eq!(action, LeaseAction::Claim { order_delay });
}

#[test]
fn claimants_are_staggered_and_the_second_waits_for_the_first() {
    let mut state = LeaseState::default();
    let ended = HolderContact::Ended;
    assert_eq!(
        state.next_action(&TIMEOUTS, holder_view(ended, 2), at(0)),
        LeaseAction::Wait
    );
    assert_eq!(
        state.next_action(&TIMEOUTS, holder_view(ended, 2), at(150)),
        LeaseAction::Wait
    );
    assert!(matches!(
        state.next_action(&TIMEOUTS, holder_view(ended, 2), at(200)),
        LeaseAction::Claim { .. }
    ));
    // The first claimant's claim arrives, so there is nothing left to claim.
    state.apply(LogPosition(3), held_by("first"));
    assert_eq!(
        state.next_action(&TIMEOUTS, holder_view(HolderContact::Heard, 2), at(400)),
        LeaseAction::Wait
    );
}

#[test]
fn smaller_holder_gets_requests_at_intervals_and_only_while_it_is_heard() {
    let mut state = LeaseState::default();
    state.apply(LogPosition(1), held_by("weak"));
    let weaker = |contact| HolderView {
        has_more_cpu: true,
        ..holder_view(contact, 0)
    };
    let heard = weaker(HolderContact::Heard);
    assert_eq!(
        state.next_action(&TIMEOUTS, heard, at(0)),
        LeaseAction::Wait
    );
    assert_eq!(
        state.next_action(&TIMEOUTS, heard, at(2_900)),
        LeaseAction::Wait
    );
    assert_eq!(
        state.next_action(&TIMEOUTS, heard, at(3_000)),
        LeaseAction::RequestTransfer
    );
    assert_eq!(
        state.next_action(&TIMEOUTS, heard, at(3_100)),
        LeaseAction::Wait
    );
    assert_eq!(
        state.next_action(&TIMEOUTS, heard, at(6_000)),
        LeaseAction::RequestTransfer
    );
    // Silence restarts the interval, and so does a new holder.
    let silent = weaker(HolderContact::Silent(at(8_900)));
    assert_eq!(
        state.next_action(&TIMEOUTS, silent, at(8_950)),
        LeaseAction::Wait
    );
    assert_eq!(
        state.next_action(&TIMEOUTS, heard, at(9_000)),
        LeaseAction::Wait
    );
    assert_eq!(
        state.next_action(&TIMEOUTS, heard, at(12_000)),
        LeaseAction::RequestTransfer
    );
    state.apply(LogPosition(4), held_by("other"));
    assert_eq!(
        state.next_action(&TIMEOUTS, heard, at(15_000)),
        LeaseAction::Wait
    );
    // A holder of equal strength keeps the lease.
    let equal = holder_view(HolderContact::Heard, 0);
    assert_eq!(
        state.next_action(&TIMEOUTS, equal, at(30_000)),
        LeaseAction::Wait
    );
}

#[test]
fn long_streams_raise_the_estimate_and_decay() {
    let mut estimate = StreamEstimate::default();
    let guessed = estimate.max_duration(100, at(0));
    assert!(guessed >= Duration::from_secs(5), "{guessed:?}");
    // 25 events of four tokens each, 60 ms apart.
    estimate.record_start(Duration::from_millis(300), at(1_000));
    estimate.record_end(25, Duration::from_millis(1_440), 100, at(1_000));
    let calm = estimate.max_duration(100, at(1_000));
    assert!(calm < Duration::from_millis(3_000), "{calm:?}");
    // A VM that had only seen a few short streams since its start cut off a stream of 208 tokens after 3.87 s.
    let short = estimate.max_duration(208, at(1_000));
    assert!(short > Duration::from_millis(3_870), "{short:?}");
    // A stream that was cut off when its VM stopped: 1.35 s to the first event, and over 3.2 s for up to 208 tokens.
    estimate.record_start(Duration::from_millis(1_350), at(2_000));
    estimate.record_end(52, Duration::from_millis(3_300), 208, at(2_000));
    let loaded = estimate.max_duration(208, at(2_000));
    assert!(loaded > Duration::from_millis(4_650), "{loaded:?}");
    let later = estimate.max_duration(208, at(40_000));
    assert_eq!(later, Duration::from_millis(1_000 + 15 * 208));
}

// Settings are reloaded often, and one reload may shorten the window for a moment. Guards against retries that are
// forgotten then, so that each pair of reloads would allow the same retries again.
#[test]
fn temporarily_shorter_window_forgets_no_retries() {
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
    let mut retries = 0;
    // For 3 s, the rule alternates between the two windows every 250 ms.
    for ms in 0..3_000 {
        let now = at(ms);
        match ms % 500 {
            0 => share.set_rule(rule),
            250 => share.set_rule(shorter),
            _ => {}
        }
        if ms % 500 < 250 && share.try_retry(&service, now) {
            retries += 1;
        } else {
            share.usage(&service, now);
        }
    }
    assert!(
        retries <= 20,
        "{retries} retries within 3 s, 20 allowed in 10 s"
    );
}

#[test]
fn unchanged_rule_changes_nothing() {
    let service = ServiceName::new("s");
    let rule = RetryBudgetRule {
        ratio: 0.1,
        extra_retries: 10.0,
        window: Duration::from_secs(10),
    };
    let mut share = RetryShare::new(rule, 1);
    let mut retries = 0;
    for attempt in 0..50 {
        share.set_rule(rule);
        retries += u32::from(share.try_retry(&service, at(attempt * 50)));
    }
    assert_eq!(retries, 8, "80% of ten");
}

#[test]
fn demand_table_drops_idle_adapters_among_tens_of_thousands() {
    let mut table = DemandTable::default();
    let record = |table: &mut DemandTable, number: u64, ms: u64| {
        table.record(&AdapterName::new(&format!("base/a{number}")), at(ms));
    };
    // Each of 30,000 adapters is requested once in 30 s, so none is idle. A sweep at every request would visit 450
    // million counters.
    for number in 0..30_000 {
        record(&mut table, number, number);
    }
    assert_eq!(table.len(), 30_000);
    // Two minutes later all of them are idle, and are dropped by the time that as many other adapters were requested.
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
fn claim_in_a_restored_copy_is_older_than_the_lost_one() {
    let mut state = LeaseState::default();
    assert!(state.apply(in_era(1, 30), claimed_in("a", 1)));
    assert!(state.apply(in_era(1, 43), claimed_in("b", 1)));
    assert!(!state.apply(in_era(2, 30), claimed_in("a", 1)));
    assert_eq!(state.holder().map(VmName::as_str), Some("b"));
    // Lower offset, but higher token.
    let before = state.token();
    assert!(state.apply(in_era(2, 31), claimed_in("b", 2)));
    assert!(state.token() > before);
    assert_eq!(state.renewed_token, Some(before));
}

#[test]
fn claim_from_an_earlier_era_starts_no_holder() {
    let mut state = LeaseState::default();
    assert!(state.apply(in_era(2, 43), claimed_in("a", 1)));
    assert!(state.is_from_earlier_era);
    assert_eq!(state.position, in_era(1, 43));
    assert!(state.apply(in_era(2, 44), claimed_in("a", 2)));
    assert!(!state.is_from_earlier_era);
}

#[test]
fn claimant_in_a_new_era_delays_its_orders_unless_it_is_the_sole_holder() {
    let mut state = LeaseState::default();
    state.apply(in_era(1, 43), claimed_in("a", 1));
    let restored = |contact, is_holder, is_sole_holder| HolderView {
        is_log_restored: true,
        is_holder,
        is_sole_holder,
        ..holder_view(contact, 0)
    };
    let claim = |order_delay| LeaseAction::Claim { order_delay };
    for (contact, is_holder, is_sole_holder, expected) in [
        (HolderContact::Heard, true, true, claim(Duration::ZERO)),
        (
            HolderContact::Heard,
            true,
            false,
            claim(TIMEOUTS.handover_delay),
        ),
        (
            HolderContact::Ended,
            false,
            false,
            claim(TIMEOUTS.handover_delay),
        ),
        (HolderContact::Heard, false, false, LeaseAction::Wait),
    ] {
        let view = restored(contact, is_holder, is_sole_holder);
        assert_eq!(
            state.clone().next_action(&TIMEOUTS, view, at(9_000)),
            expected
        );
    }
}

#[test]
fn successor_of_a_waiting_claimant_waits_for_the_rest_of_the_delay() {
    let waiting = |claim_age_ms: u64, contact| HolderView {
        waiting_claim_age: Some(Duration::from_millis(claim_age_ms)),
        ..holder_view(contact, 0)
    };
    let claim = |ms| LeaseAction::Claim {
        order_delay: Duration::from_millis(ms),
    };
    let mut state = LeaseState::default();
    state.apply(LogPosition(5), held_by("a"));
    let heard = waiting(0, HolderContact::Heard);
    assert_eq!(
        state.next_action(&TIMEOUTS, heard, at(0)),
        LeaseAction::Wait
    );
    let ended = waiting(0, HolderContact::Ended);
    assert_eq!(state.next_action(&TIMEOUTS, ended, at(1_000)), claim(2_000));
    assert_eq!(state.next_action(&TIMEOUTS, ended, at(3_000)), claim(0));
    // Releasing the lease does not shorten the delay.
    state.apply(
        LogPosition(6),
        held_by("").map(|lease| ZoneLease { vm: None, ..lease }),
    );
    let released = waiting(500, HolderContact::Ended);
    assert_eq!(
        state.next_action(&TIMEOUTS, released, at(4_000)),
        claim(2_500)
    );
    // A claim that is old by wall-clock time needs no delay, even at a VM that has just started.
    let mut state = LeaseState::default();
    state.apply(LogPosition(5), held_by("a"));
    let long_ago = waiting(60_000, HolderContact::Ended);
    assert_eq!(state.next_action(&TIMEOUTS, long_ago, at(0)), claim(0));
}
