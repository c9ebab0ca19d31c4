//! Guard against outdated operators' records after a restoration of the log: when it applies and when it ends.

use hoplanding_core::{
    direct::restore_guard::{RestoreGuard, RewriteRule},
    ids::{Instant, StoreEra},
};
use std::time::Duration;

const RULE: RewriteRule = RewriteRule {
    rewrite_time: Duration::from_secs(12),
};

fn at(ms: u64) -> Instant {
    Instant(1_000_000 + ms * 1_000)
}

fn guard_after(era: u64, proof_age_s: Option<u64>) -> RestoreGuard {
    let mut guard = RestoreGuard::default();
    guard.enter_era(
        StoreEra(era),
        proof_age_s.map(Duration::from_secs),
        RULE,
        at(0),
    );
    guard
}

#[test]
fn a_log_that_was_never_restored_needs_no_guard() {
    for era in [0, 1] {
        assert_eq!(guard_after(era, None).remaining(at(0)), None);
    }
}

#[test]
fn only_a_vm_without_a_recent_proof_guards_against_the_copy() {
    assert_eq!(guard_after(2, Some(12)).remaining(at(0)), None);
    assert_eq!(
        guard_after(2, Some(13)).remaining(at(0)),
        Some(RULE.rewrite_time)
    );
    assert_eq!(
        guard_after(2, None).remaining(at(0)),
        Some(RULE.rewrite_time)
    );
}

#[test]
fn each_write_starts_a_pause_that_ends_with_the_rewrite_time_at_the_latest() {
    let mut guard = guard_after(2, None);
    guard.record_write(at(1_000));
    assert!(guard.remaining(at(2_999)).is_some());
    guard.record_write(at(2_000));
    assert!(guard.remaining(at(3_999)).is_some());
    assert_eq!(guard.remaining(at(4_000)), None);
    // A write after the end of the period does not start another one.
    guard.record_write(at(5_000));
    assert_eq!(guard.remaining(at(5_000)), None);

    let mut guard = guard_after(2, None);
    for ms in (0..12_000).step_by(500) {
        guard.record_write(at(ms));
    }
    assert!(guard.remaining(at(11_999)).is_some());
    assert_eq!(guard.remaining(at(12_000)), None);
}

#[test]
fn a_second_restoration_starts_the_period_again() {
    let mut guard = guard_after(2, None);
    guard.record_write(at(1_000));
    guard.enter_era(StoreEra(3), None, RULE, at(5_000));
    assert_eq!(guard.remaining(at(5_000)), Some(RULE.rewrite_time));
}
