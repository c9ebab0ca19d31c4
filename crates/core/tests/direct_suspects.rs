//! Suspect requests: one trial at a time, pauses that grow with each crash, and a crash count that is kept across them.

use hoplanding_core::{
    direct::{
        planner::CallKey,
        suspects::{RequestFingerprint, SuspectLevel, SuspectTable, Suspicion, TargetCrash},
        trials::{TrialAnswer, TrialRule, TrialTable, trial_zones},
    },
    ids::{AvailabilityZone, Instant, TargetLife, TargetName, TargetRun, VmName},
};
use std::{collections::HashSet, time::Duration};

const DAY_MS: u64 = 24 * 3_600_000;
/// Longer than the pause after the second crash, and after the third.
const AFTER_PAUSE_MS: u64 = 31_000;
const AFTER_LONG_PAUSE_MS: u64 = 3_601_000;
/// Longer than the time for which a trial without an end blocks others.
const AFTER_TRIAL_TIMEOUT_MS: u64 = 61_000;

fn at(ms: u64) -> Instant {
    Instant(1_000_000 + ms * 1_000)
}

fn crash(fingerprint: u64, target: &str) -> TargetCrash {
    TargetCrash {
        fingerprint: RequestFingerprint(fingerprint),
        run: TargetRun {
            name: TargetName::new(target),
            life: TargetLife::default(),
        },
        is_trial: false,
    }
}

fn suspicion(table: &SuspectTable, fingerprint: u64, ms: u64) -> Suspicion {
    table.suspicion(RequestFingerprint(fingerprint), at(ms))
}

fn crashes(table: &SuspectTable, fingerprint: u64, ms: u64) -> usize {
    suspicion(table, fingerprint, ms).crashes()
}

fn call(vm: &str, number: u64) -> CallKey {
    CallKey {
        vm: VmName::new(vm),
        number,
    }
}

/// State of a zone's holder.
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

    fn request_trial(&mut self, fingerprint: u64, key: &CallKey, ms: u64) -> TrialAnswer {
        let fingerprint = RequestFingerprint(fingerprint);
        self.suspects.refresh(fingerprint, at(ms));
        self.trials
            .try_grant(&self.suspects, fingerprint, key.clone(), at(ms))
    }

    /// Requests a trial and records a crash under it if it is granted; returns whether it was.
    fn try_and_crash(&mut self, fingerprint: u64, target: &str, ms: u64) -> bool {
        let key = call("vm-1", ms);
        if self.request_trial(fingerprint, &key, ms) != TrialAnswer::Granted {
            return false;
        }
        let crash = TargetCrash {
            is_trial: true,
            ..crash(fingerprint, target)
        };
        self.suspects.record_crash(&crash, at(ms));
        self.trials.release(RequestFingerprint(fingerprint), &key);
        true
    }
}

#[test]
fn crash_reported_by_several_vms_counts_once() {
    let mut table = SuspectTable::default();
    assert!(table.record_crash(&crash(1, "a"), at(0)));
    assert!(!table.record_crash(&crash(1, "a"), at(5)));
    assert_eq!(crashes(&table, 1, 10), 1);
    assert!(table.record_crash(&crash(1, "b"), at(20)));
    assert_eq!(crashes(&table, 1, 30), 2);
    assert_eq!(suspicion(&table, 2, 30), Suspicion::Clear);
}

#[test]
fn second_crash_quarantines_a_request_for_a_time() {
    let mut holder = Holder::new();
    assert_eq!(
        holder.request_trial(1, &call("vm-1", 1), 0),
        TrialAnswer::Clear
    );
    holder.suspects.record_crash(&crash(1, "a"), at(0));
    assert!(holder.try_and_crash(1, "b", 10));
    for ms in [20, 1_000, 15_000, 30_000] {
        assert!(!holder.try_and_crash(1, "c", ms), "{ms}");
    }
    let answer = holder.request_trial(1, &call("vm-1", 2), 20);
    let TrialAnswer::Refused {
        retry_after_ms,
        is_running: false,
    } = answer
    else {
        panic!("{answer:?}");
    };
    assert_eq!(retry_after_ms, 29_990);
    assert!(holder.try_and_crash(1, "c", 30_020));
}

#[test]
fn end_of_quarantine_keeps_the_crash_count() {
    let mut holder = Holder::new();
    holder.suspects.record_crash(&crash(1, "a"), at(0));
    holder.suspects.record_crash(&crash(1, "b"), at(10));
    holder.suspects.record_crash(&crash(1, "c"), at(31_000));
    assert_eq!(crashes(&holder.suspects, 1, 62_000), 3);
    assert!(!holder.try_and_crash(1, "d", 62_000));
}

#[test]
fn many_retries_after_a_quarantine_get_one_trial() {
    let mut holder = Holder::new();
    holder.suspects.record_crash(&crash(1, "a"), at(0));
    holder.suspects.record_crash(&crash(1, "b"), at(10));
    let granted = (0..40).filter(|number| {
        let vm = format!("vm-{}", number % 7);
        holder.request_trial(1, &call(&vm, *number), AFTER_PAUSE_MS) == TrialAnswer::Granted
    });
    assert_eq!(granted.count(), 1);
}

#[test]
fn poison_request_retried_for_days_crashes_four_targets() {
    let mut holder = Holder::new();
    holder.suspects.record_crash(&crash(1, "first"), at(0));
    let mut crashes = 1;
    let mut ms = 0;
    while ms < 10 * DAY_MS {
        ms += 9_000;
        crashes += usize::from(holder.try_and_crash(1, &format!("t{ms}"), ms));
    }
    assert_eq!(crashes, 4);
}

#[test]
fn each_crash_lengthens_the_pause_before_the_next_trial() {
    let mut holder = Holder::new();
    holder.suspects.record_crash(&crash(1, "a"), at(0));
    assert!(holder.try_and_crash(1, "b", 10));
    assert!(holder.try_and_crash(1, "c", AFTER_PAUSE_MS));
    assert!(!holder.try_and_crash(1, "d", 2 * AFTER_PAUSE_MS));
    assert!(!holder.try_and_crash(1, "d", AFTER_LONG_PAUSE_MS));
    assert!(holder.try_and_crash(1, "d", AFTER_PAUSE_MS + AFTER_LONG_PAUSE_MS));
    assert!(!holder.try_and_crash(1, "e", AFTER_PAUSE_MS + 3 * AFTER_LONG_PAUSE_MS));
}

#[test]
fn third_crash_blocks_a_request_for_the_long_pause() {
    let mut holder = Holder::new();
    for (ms, target) in [(0, "a"), (10, "b"), (20, "c")] {
        holder.suspects.record_crash(&crash(1, target), at(ms));
    }
    assert!(!holder.try_and_crash(1, "d", 600_000));
}

#[test]
fn successful_trial_or_a_day_without_retries_clears_a_suspect() {
    let mut table = SuspectTable::default();
    table.record_crash(&crash(1, "a"), at(0));
    table.record_crash(&crash(2, "a"), at(0));
    assert!(table.clear(RequestFingerprint(1)));
    assert!(!table.clear(RequestFingerprint(1)));
    assert_eq!(suspicion(&table, 1, 10), Suspicion::Clear);
    assert_eq!(crashes(&table, 2, DAY_MS - 1), 1);
    assert_eq!(suspicion(&table, 2, DAY_MS), Suspicion::Clear);
}

#[test]
fn late_report_of_a_cleared_crash_is_ignored() {
    let mut table = SuspectTable::default();
    table.record_crash(&crash(1, "a"), at(0));
    table.clear(RequestFingerprint(1));
    assert!(!table.record_crash(&crash(1, "a"), at(10)));
    assert_eq!(suspicion(&table, 1, 20), Suspicion::Clear);
    assert_eq!(table.crashes(at(20)).count(), 0);
    table.record_crash(&crash(1, "b"), at(30));
    assert_eq!(crashes(&table, 1, 40), 1);
}

#[test]
fn new_crashes_quarantine_a_request_with_many_cleared_ones() {
    let mut table = SuspectTable::default();
    for number in 0..40 {
        table.record_crash(&crash(1, &format!("t{number}")), at(number));
        table.clear(RequestFingerprint(1));
    }
    for number in 40..60 {
        table.record_crash(&crash(1, &format!("t{number}")), at(number));
    }
    assert!(table.quarantine(RequestFingerprint(1)).is_some());
}

#[test]
fn trial_of_a_lost_or_silent_gateway_does_not_block_others_for_long() {
    let mut holder = Holder::new();
    holder.suspects.record_crash(&crash(1, "a"), at(0));
    let is_blocked = |answer| {
        matches!(
            answer,
            TrialAnswer::Refused {
                is_running: true,
                ..
            }
        )
    };
    assert_eq!(
        holder.request_trial(1, &call("vm-1", 1), 10),
        TrialAnswer::Granted
    );
    assert!(is_blocked(holder.request_trial(1, &call("vm-2", 1), 20)));
    holder
        .trials
        .release(RequestFingerprint(1), &call("vm-2", 1));
    assert!(is_blocked(holder.request_trial(1, &call("vm-2", 2), 30)));
    holder.trials.forget_gateway(&VmName::new("vm-1"));
    assert_eq!(
        holder.request_trial(1, &call("vm-2", 3), 40),
        TrialAnswer::Granted
    );
    assert!(is_blocked(holder.request_trial(1, &call("vm-3", 1), 50)));
    let late = holder.request_trial(1, &call("vm-3", 2), 40 + AFTER_TRIAL_TIMEOUT_MS);
    assert_eq!(late, TrialAnswer::Granted);
}

#[test]
fn suspects_of_the_same_crash_are_related() {
    let mut table = SuspectTable::default();
    table.record_crash(&crash(1, "a"), at(0));
    table.record_crash(&crash(2, "a"), at(0));
    table.record_crash(&crash(3, "b"), at(0));
    assert!(table.share_crash(RequestFingerprint(1), RequestFingerprint(2)));
    assert!(!table.share_crash(RequestFingerprint(1), RequestFingerprint(3)));
}

#[test]
fn table_is_bounded_and_can_be_copied_completely() {
    let mut table = SuspectTable::default();
    for fingerprint in 0..10_000 {
        table.record_crash(&crash(fingerprint, "a"), at(fingerprint));
    }
    let (suspected, quarantined) = table.counts(at(10_000));
    assert!(suspected <= 2_048 && quarantined == 0, "{suspected}");
    let mut copy = SuspectTable::default();
    for crash in table.crashes(at(10_000)) {
        copy.record_crash(&crash, at(10_000));
    }
    assert_eq!(copy.counts(at(10_000)), (suspected, quarantined));
    assert_eq!(crashes(&copy, 9_999, 10_000), 1);
}

#[test]
fn many_suspects_do_not_evict_a_quarantined_request() {
    let mut table = SuspectTable::default();
    table.record_crash(&crash(1, "a"), at(0));
    table.record_crash(&crash(1, "b"), at(1));
    for fingerprint in 2..10_000 {
        table.record_crash(&crash(fingerprint, "c"), at(fingerprint));
    }
    assert_eq!(crashes(&table, 1, 10_000), 2);
}

#[test]
fn zones_share_the_trials_in_an_order_common_to_all_vms() {
    let zones = ["hall", "yard", "dock"].map(AvailabilityZone::new);
    let mut rotated = zones.clone();
    rotated.rotate_left(1);
    let mut first_zones = HashSet::new();
    for number in 0..64 {
        let fingerprint = RequestFingerprint(number);
        let order = trial_zones(fingerprint, &zones);
        assert_eq!(order, trial_zones(fingerprint, &rotated));
        first_zones.insert(order[0].clone());
    }
    assert_eq!(first_zones.len(), zones.len());
}

#[test]
fn pauses_follow_the_rule() {
    let mut holder = Holder::new();
    holder.trials = TrialTable::new(TrialRule {
        pause: Duration::from_millis(400),
        long_pause: Duration::from_millis(900),
        ..TrialRule::default()
    });
    holder.suspects.record_crash(&crash(1, "a"), at(0));
    holder.suspects.record_crash(&crash(1, "b"), at(0));
    assert!(!holder.try_and_crash(1, "c", 390));
    assert!(holder.try_and_crash(1, "c", 400));
    assert!(!holder.try_and_crash(1, "d", 1_290));
    assert!(holder.try_and_crash(1, "d", 1_300));
}

fn part(hash: u64) -> u64 {
    RequestFingerprint::of_part(hash).0
}

fn needs_trial(table: &SuspectTable, fingerprint: u64, ms: u64) -> bool {
    table.needs_trial(RequestFingerprint(fingerprint), at(ms))
}

/// The last part of a prompt is its own or its session's, so no other request can be recognised by it.
#[test]
fn all_parts_of_a_prompt_but_the_last_can_be_suspects() {
    let prefix = [(1, 10), (2, 10), (3, 10)];
    let parts: Vec<_> = RequestFingerprint::of_shared_parts(&prefix).collect();
    let expected = [1, 2].map(RequestFingerprint::of_part);
    assert_eq!(parts, expected);
    assert_eq!(RequestFingerprint::of_shared_parts(&prefix[..1]).count(), 0);
    assert_eq!(RequestFingerprint::of_shared_parts(&[]).count(), 0);
    assert!(parts.iter().all(|part| part.level() == SuspectLevel::Part));
}

/// A part needs three crashes, as harmless parts are accused beside the cause; a request needs one to run as a trial.
#[test]
fn a_part_needs_more_crashes_than_a_request() {
    let mut table = SuspectTable::default();
    for (count, target) in ["a", "b", "c"].iter().enumerate() {
        assert!(!needs_trial(&table, part(7), 0), "after {count} crashes");
        table.record_crash(&crash(part(7), target), at(0));
        table.record_crash(&crash(7, target), at(0));
        assert!(needs_trial(&table, 7, 0));
    }
    assert!(needs_trial(&table, part(7), 0));
}

/// Harmless requests share the part with the cause. Each of their answers clears it, and shows for a while that the crashes
/// that follow are not its work.
#[test]
fn a_part_with_a_recent_answer_is_not_quarantined() {
    let mut table = SuspectTable::default();
    let fingerprint = RequestFingerprint(part(7));
    assert!(!table.record_alibi(fingerprint, at(0)));
    for target in ["a", "b", "c", "d"] {
        table.record_crash(&crash(part(7), target), at(1_000));
    }
    assert!(!needs_trial(&table, part(7), 4_900));
    assert!(needs_trial(&table, part(7), 5_000));
    assert!(table.record_alibi(fingerprint, at(5_100)));
    assert_eq!(crashes(&table, part(7), 5_100), 0);
    assert!(!needs_trial(&table, part(7), 20_000));
}

/// After the fifth crash under a part no more than three requests with it may reach targets, in a whole day.
#[test]
fn a_deadly_part_is_tried_three_times_after_its_quarantine() {
    let mut holder = Holder::new();
    for target in ["a", "b", "c"] {
        holder.suspects.record_crash(&crash(part(7), target), at(0));
    }
    let mut crashed_at = Vec::new();
    for second in 0..24 * 3_600 {
        let target = format!("e{second}");
        if holder.try_and_crash(part(7), &target, second * 1_000) {
            crashed_at.push(second);
        }
    }
    assert_eq!(crashed_at, [5, 35, 3_635]);
}

/// Many VMs that see answers with harmless parts must not fill the memory with them.
#[test]
fn the_number_of_remembered_answers_is_bounded() {
    let mut table = SuspectTable::default();
    for hash in 0..10_000 {
        table.record_alibi(RequestFingerprint::of_part(hash), at(0));
    }
    table.record_crash(&crash(part(9_999), "a"), at(0));
    table.record_alibi(RequestFingerprint::of_part(9_999), at(60_000));
    assert_eq!(crashes(&table, part(9_999), 60_000), 0);
    for target in ["b", "c", "d"] {
        table.record_crash(&crash(part(9_999), target), at(60_000));
    }
    assert!(!needs_trial(&table, part(9_999), 60_000));
}

/// Many targets end together and accuse the part that all their requests share. It is tried soon, and not barred for a day.
#[test]
fn a_part_accused_by_many_targets_at_once_is_tried_soon() {
    let mut holder = Holder::new();
    for number in 0..40 {
        let ended = crash(part(7), &format!("e{number}"));
        holder.suspects.record_crash(&ended, at(number));
    }
    assert!(!holder.try_and_crash(part(7), "x", 4_900));
    assert!(holder.try_and_crash(part(7), "x", 5_200));
    let fingerprint = RequestFingerprint(part(7));
    assert_eq!(holder.suspects.trial_crashes(fingerprint), 1);
    assert!(holder.suspects.record_alibi(fingerprint, at(5_300)));
    assert_eq!(holder.suspects.trial_crashes(fingerprint), 0);
}
