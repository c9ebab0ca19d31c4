//! Copies of the log that may lack the newest of the operators' records.

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

fn entered(era: u64, proven_s: Option<u64>) -> RestoreGuard {
    let mut doubt = RestoreGuard::default();
    doubt.enter_era(
        StoreEra(era),
        proven_s.map(Duration::from_secs),
        RULE,
        at(0),
    );
    doubt
}

#[test]
fn a_log_that_never_came_back_from_a_copy_is_not_doubted() {
    for era in [0, 1] {
        assert_eq!(entered(era, None).remaining(at(0)), None);
    }
}

#[test]
fn who_knew_the_newest_shortly_before_does_not_doubt_and_who_was_out_of_touch_does() {
    assert_eq!(entered(2, Some(12)).remaining(at(0)), None);
    assert_eq!(
        entered(2, Some(13)).remaining(at(0)),
        Some(RULE.rewrite_time)
    );
    assert_eq!(entered(2, None).remaining(at(0)), Some(RULE.rewrite_time));
}

#[test]
fn each_write_is_followed_by_a_pause_that_ends_with_the_time_of_operators_at_the_latest() {
    let mut doubt = entered(2, None);
    doubt.record_write(at(1_000));
    assert!(doubt.remaining(at(2_999)).is_some());
    doubt.record_write(at(2_000));
    assert!(doubt.remaining(at(3_999)).is_some());
    assert_eq!(doubt.remaining(at(4_000)), None);
    // What is written once the doubt is over begins none.
    doubt.record_write(at(5_000));
    assert_eq!(doubt.remaining(at(5_000)), None);

    let mut doubt = entered(2, None);
    for ms in (0..12_000).step_by(500) {
        doubt.record_write(at(ms));
    }
    assert!(doubt.remaining(at(11_999)).is_some());
    assert_eq!(doubt.remaining(at(12_000)), None);
}

#[test]
fn a_second_return_begins_the_doubt_anew() {
    let mut doubt = entered(2, None);
    doubt.record_write(at(1_000));
    doubt.enter_era(StoreEra(3), None, RULE, at(5_000));
    assert_eq!(doubt.remaining(at(5_000)), Some(RULE.rewrite_time));
}
