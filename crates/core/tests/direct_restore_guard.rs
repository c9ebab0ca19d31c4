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

fn guard_in(era: u64) -> RestoreGuard {
    let mut guard = RestoreGuard::default();
    guard.enter_era(StoreEra(era), RULE, at(0));
    guard
}

#[test]
fn a_log_that_was_never_restored_needs_no_guard() {
    for era in [0, 1] {
        assert_eq!(guard_in(era).remaining(at(0)), None);
    }
}

/// Guards against a VM that read the log until the end of the earlier era and takes the copy for the newest state.
#[test]
fn a_new_era_is_guarded_until_operators_had_the_time_to_rewrite() {
    let guard = guard_in(2);
    assert_eq!(guard.remaining(at(0)), Some(RULE.rewrite_time));
    assert!(guard.remaining(at(11_999)).is_some());
    assert_eq!(guard.remaining(at(12_000)), None);
}

#[test]
fn a_second_restoration_starts_the_period_again() {
    let mut guard = guard_in(2);
    guard.enter_era(StoreEra(3), RULE, at(5_000));
    assert_eq!(guard.remaining(at(5_000)), Some(RULE.rewrite_time));
}

/// Guards against a read that counts although it was sent before operators had the time to rewrite.
#[test]
fn an_era_known_for_long_needs_no_guard_for_reads_from_then_on() {
    let mut guard = guard_in(2);
    guard.end(at(5_000));
    assert!(guard.remaining(at(4_999)).is_some());
    assert_eq!(guard.remaining(at(5_000)), None);
    // A later end does not extend the period.
    guard.end(at(20_000));
    assert_eq!(guard.remaining(at(5_000)), None);
}
