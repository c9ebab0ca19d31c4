//! Requests under which targets ended: one trial at a time, pauses that grow, and a count that outlives them.

use hoplanding_core::{
    direct::{
        planner::CallKey,
        suspects::{RequestFingerprint, SuspectTable, Suspicion, TargetCrash},
        trials::{TrialAnswer, TrialRule, TrialTable, trial_zones},
    },
    ids::{AvailabilityZone, Instant, TargetLife, TargetName, TargetRun, VmName},
};
use std::{collections::HashSet, time::Duration};

const DAY_MS: u64 = 24 * 3_600_000;
/// Beyond the pause after the second end, and after the third.
const PAUSED_MS: u64 = 31_000;
const LONG_PAUSED_MS: u64 = 3_601_000;
/// Beyond the time for which a trial without an end holds up others.
const TRIAL_MS: u64 = 61_000;

fn at(ms: u64) -> Instant {
    Instant(1_000_000 + ms * 1_000)
}

fn ended(fingerprint: u64, target: &str) -> TargetCrash {
    TargetCrash {
        fingerprint: RequestFingerprint(fingerprint),
        run: TargetRun {
            name: TargetName::new(target),
            life: TargetLife::default(),
        },
    }
}

fn suspicion(table: &SuspectTable, fingerprint: u64, ms: u64) -> Suspicion {
    table.suspicion(RequestFingerprint(fingerprint), at(ms))
}

fn ends(table: &SuspectTable, fingerprint: u64, ms: u64) -> usize {
    suspicion(table, fingerprint, ms).ends()
}

fn call(vm: &str, number: u64) -> CallKey {
    CallKey {
        vm: VmName::new(vm),
        number,
    }
}

/// A zone's holder.
struct Holder {
    suspects: SuspectTable,
    trials: TrialTable,
}

impl Holder {
    fn new() -> Self {
        Self {
            suspects: SuspectTable::default(),
            trials: TrialTable::new(TrialRule::default()),
        }
    }

    fn ask(&mut self, fingerprint: u64, key: &CallKey, ms: u64) -> TrialAnswer {
        let fingerprint = RequestFingerprint(fingerprint);
        self.suspects.refresh(fingerprint, at(ms));
        self.trials
            .try_grant(&self.suspects, fingerprint, key.clone(), at(ms))
    }

    /// Asks for a trial, and ends a target under it if it is granted; says whether it was.
    fn tries(&mut self, fingerprint: u64, target: &str, ms: u64) -> bool {
        let key = call("vm-1", ms);
        if self.ask(fingerprint, &key, ms) != TrialAnswer::Granted {
            return false;
        }
        self.suspects
            .record_crash(&ended(fingerprint, target), at(ms));
        self.trials.release(RequestFingerprint(fingerprint), &key);
        true
    }
}

#[test]
fn an_end_that_several_vms_tell_counts_once() {
    let mut table = SuspectTable::default();
    assert!(table.record_crash(&ended(1, "a"), at(0)));
    assert!(!table.record_crash(&ended(1, "a"), at(5)));
    assert_eq!(ends(&table, 1, 10), 1);
    assert!(table.record_crash(&ended(1, "b"), at(20)));
    assert_eq!(ends(&table, 1, 30), 2);
    assert_eq!(suspicion(&table, 2, 30), Suspicion::Clear);
}

#[test]
fn the_second_target_that_ends_under_a_request_quarantines_it_for_a_time() {
    let mut holder = Holder::new();
    assert_eq!(holder.ask(1, &call("vm-1", 1), 0), TrialAnswer::Clear);
    holder.suspects.record_crash(&ended(1, "a"), at(0));
    assert!(holder.tries(1, "b", 10));
    for ms in [20, 1_000, 15_000, 30_000] {
        assert!(!holder.tries(1, "c", ms), "{ms}");
    }
    let told = holder.ask(1, &call("vm-1", 2), 20);
    let TrialAnswer::Refused {
        retry_after_ms,
        is_running: false,
    } = told
    else {
        panic!("{told:?}");
    };
    assert_eq!(retry_after_ms, 29_990);
    assert!(holder.tries(1, "c", 30_020));
}

#[test]
fn a_quarantine_that_is_over_keeps_its_count() {
    let mut holder = Holder::new();
    holder.suspects.record_crash(&ended(1, "a"), at(0));
    holder.suspects.record_crash(&ended(1, "b"), at(10));
    holder.suspects.record_crash(&ended(1, "c"), at(31_000));
    assert_eq!(ends(&holder.suspects, 1, 62_000), 3);
    assert!(!holder.tries(1, "d", 62_000));
}

#[test]
fn many_callers_that_return_after_a_quarantine_get_one_trial() {
    let mut holder = Holder::new();
    holder.suspects.record_crash(&ended(1, "a"), at(0));
    holder.suspects.record_crash(&ended(1, "b"), at(10));
    let granted = (0..40).filter(|number| {
        let vm = format!("vm-{}", number % 7);
        holder.ask(1, &call(&vm, *number), PAUSED_MS) == TrialAnswer::Granted
    });
    assert_eq!(granted.count(), 1);
}

#[test]
fn a_poison_request_that_returns_for_days_ends_four_targets() {
    let mut holder = Holder::new();
    holder.suspects.record_crash(&ended(1, "first"), at(0));
    let mut ended = 1;
    let mut ms = 0;
    while ms < 10 * DAY_MS {
        ms += 9_000;
        ended += usize::from(holder.tries(1, &format!("t{ms}"), ms));
    }
    assert_eq!(ended, 4);
}

#[test]
fn each_end_lengthens_the_pause_before_the_next_trial() {
    let mut holder = Holder::new();
    holder.suspects.record_crash(&ended(1, "a"), at(0));
    assert!(holder.tries(1, "b", 10));
    assert!(holder.tries(1, "c", PAUSED_MS));
    assert!(!holder.tries(1, "d", 2 * PAUSED_MS));
    assert!(!holder.tries(1, "d", LONG_PAUSED_MS));
    assert!(holder.tries(1, "d", PAUSED_MS + LONG_PAUSED_MS));
    assert!(!holder.tries(1, "e", PAUSED_MS + 3 * LONG_PAUSED_MS));
}

#[test]
fn the_third_end_bars_a_request_for_long() {
    let mut holder = Holder::new();
    for (ms, target) in [(0, "a"), (10, "b"), (20, "c")] {
        holder.suspects.record_crash(&ended(1, target), at(ms));
    }
    assert!(!holder.tries(1, "d", 600_000));
}

#[test]
fn a_good_trial_pardons_a_suspect_and_a_day_away_does_too() {
    let mut table = SuspectTable::default();
    table.record_crash(&ended(1, "a"), at(0));
    table.record_crash(&ended(2, "a"), at(0));
    assert!(table.clear(RequestFingerprint(1)));
    assert!(!table.clear(RequestFingerprint(1)));
    assert_eq!(suspicion(&table, 1, 10), Suspicion::Clear);
    assert_eq!(ends(&table, 2, DAY_MS - 1), 1);
    assert_eq!(suspicion(&table, 2, DAY_MS), Suspicion::Clear);
}

#[test]
fn an_end_before_a_pardon_that_another_vm_tells_late_is_no_news() {
    let mut table = SuspectTable::default();
    table.record_crash(&ended(1, "a"), at(0));
    table.clear(RequestFingerprint(1));
    assert!(!table.record_crash(&ended(1, "a"), at(10)));
    assert_eq!(suspicion(&table, 1, 20), Suspicion::Clear);
    assert_eq!(table.crashes(at(20)).count(), 0);
    table.record_crash(&ended(1, "b"), at(30));
    assert_eq!(ends(&table, 1, 40), 1);
}

#[test]
fn a_request_with_many_pardoned_ends_is_still_quarantined_by_new_ones() {
    let mut table = SuspectTable::default();
    for number in 0..40 {
        table.record_crash(&ended(1, &format!("t{number}")), at(number));
        table.clear(RequestFingerprint(1));
    }
    for number in 40..60 {
        table.record_crash(&ended(1, &format!("t{number}")), at(number));
    }
    assert!(table.quarantine(RequestFingerprint(1)).is_some());
}

#[test]
fn a_trial_whose_gateway_is_gone_or_silent_holds_up_no_other_for_long() {
    let mut holder = Holder::new();
    holder.suspects.record_crash(&ended(1, "a"), at(0));
    let running = |answer| {
        matches!(
            answer,
            TrialAnswer::Refused {
                is_running: true,
                ..
            }
        )
    };
    assert_eq!(holder.ask(1, &call("vm-1", 1), 10), TrialAnswer::Granted);
    assert!(running(holder.ask(1, &call("vm-2", 1), 20)));
    holder
        .trials
        .release(RequestFingerprint(1), &call("vm-2", 1));
    assert!(running(holder.ask(1, &call("vm-2", 2), 30)));
    holder.trials.forget_gateway(&VmName::new("vm-1"));
    assert_eq!(holder.ask(1, &call("vm-2", 3), 40), TrialAnswer::Granted);
    assert!(running(holder.ask(1, &call("vm-3", 1), 50)));
    let late = holder.ask(1, &call("vm-3", 2), 40 + TRIAL_MS);
    assert_eq!(late, TrialAnswer::Granted);
}

#[test]
fn suspects_of_one_end_know_each_other() {
    let mut table = SuspectTable::default();
    table.record_crash(&ended(1, "a"), at(0));
    table.record_crash(&ended(2, "a"), at(0));
    table.record_crash(&ended(3, "b"), at(0));
    assert!(table.share_crash(RequestFingerprint(1), RequestFingerprint(2)));
    assert!(!table.share_crash(RequestFingerprint(1), RequestFingerprint(3)));
}

#[test]
fn the_table_is_bounded_and_what_it_tells_is_all_that_it_knows() {
    let mut table = SuspectTable::default();
    for fingerprint in 0..10_000 {
        table.record_crash(&ended(fingerprint, "a"), at(fingerprint));
    }
    let (suspected, quarantined) = table.counts(at(10_000));
    assert!(suspected <= 2_048 && quarantined == 0, "{suspected}");
    let mut other = SuspectTable::default();
    for told in table.crashes(at(10_000)) {
        other.record_crash(&told, at(10_000));
    }
    assert_eq!(other.counts(at(10_000)), (suspected, quarantined));
    assert_eq!(ends(&other, 9_999, 10_000), 1);
}

#[test]
fn many_suspects_push_no_quarantined_request_out() {
    let mut table = SuspectTable::default();
    table.record_crash(&ended(1, "a"), at(0));
    table.record_crash(&ended(1, "b"), at(1));
    for fingerprint in 2..10_000 {
        table.record_crash(&ended(fingerprint, "c"), at(fingerprint));
    }
    assert_eq!(ends(&table, 1, 10_000), 2);
}

#[test]
fn zones_share_the_trials_and_all_vms_agree_on_their_order() {
    let zones = ["hall", "yard", "dock"].map(AvailabilityZone::new);
    let mut turned = zones.clone();
    turned.rotate_left(1);
    let mut first = HashSet::new();
    for number in 0..64 {
        let fingerprint = RequestFingerprint(number);
        let order = trial_zones(fingerprint, &zones);
        assert_eq!(order, trial_zones(fingerprint, &turned));
        first.insert(order[0].clone());
    }
    assert_eq!(first.len(), zones.len());
}

#[test]
fn the_pauses_are_the_rule_s() {
    let mut holder = Holder::new();
    holder.trials = TrialTable::new(TrialRule {
        pause: Duration::from_millis(400),
        long_pause: Duration::from_millis(900),
    });
    holder.suspects.record_crash(&ended(1, "a"), at(0));
    holder.suspects.record_crash(&ended(1, "b"), at(0));
    assert!(!holder.tries(1, "c", 390));
    assert!(holder.tries(1, "c", 400));
    assert!(!holder.tries(1, "d", 1_290));
    assert!(holder.tries(1, "d", 1_300));
}
