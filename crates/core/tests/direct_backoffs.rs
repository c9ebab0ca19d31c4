//! Backoff that targets request.

use hoplanding_core::{
    direct::backoffs::BackoffTable,
    ids::{Instant, TargetLife, TargetName, TargetRun},
};
use proptest::prelude::*;
use std::time::Duration;

fn run(life: u64) -> TargetRun {
    TargetRun {
        name: TargetName::new("i-1"),
        life: TargetLife::started_at_ms(life),
    }
}

fn at(ms: u64) -> Instant {
    Instant(ms * 1_000)
}

const BACKOFF: Duration = Duration::from_secs(3);

#[test]
fn no_call_during_backoff_and_single_calls_after_it() {
    let mut backoffs = BackoffTable::default();
    assert!(backoffs.try_admit(&run(1), at(0)));
    backoffs.record(&run(1), BACKOFF, at(0));
    assert!(!backoffs.try_admit(&run(1), at(2_999)));
    assert_eq!(
        backoffs.remaining(&run(1), at(1_000)),
        Some(Duration::from_secs(2))
    );
    assert!(backoffs.try_admit(&run(1), at(3_000)));
    assert!(
        !backoffs.try_admit(&run(1), at(3_010)),
        "a second call at once"
    );
    backoffs.record_answer(&run(1));
    assert!(backoffs.try_admit(&run(1), at(3_011)));
    assert!(backoffs.try_admit(&run(1), at(3_011)));
}

#[test]
fn shorter_backoff_or_an_earlier_answer_does_not_end_backoff() {
    let mut backoffs = BackoffTable::default();
    backoffs.record(&run(1), BACKOFF, at(0));
    backoffs.record(&run(1), Duration::from_secs(1), at(100));
    backoffs.record_answer(&run(1));
    assert!(!backoffs.try_admit(&run(1), at(2_900)));
}

#[test]
fn backoff_ends_with_the_life_of_its_target() {
    let mut backoffs = BackoffTable::default();
    backoffs.record(&run(1), BACKOFF, at(0));
    assert!(backoffs.try_admit(&run(2), at(10)));
    assert!(!backoffs.try_admit(&run(1), at(10)));
}

#[test]
fn target_that_requests_unlimited_backoff_is_tried_again() {
    let mut backoffs = BackoffTable::default();
    backoffs.record(&run(1), Duration::MAX, at(0));
    assert!(!backoffs.try_admit(&run(1), at(10_000)));
    assert!(backoffs.try_admit(&run(1), at(60_000)));
}

proptest! {
    /// A backoff of up to a minute, which is longer than the longest one applied, admits at most two calls, whenever
    /// calls arrive and the target requests backoff again.
    #[test]
    fn at_most_two_calls_are_admitted_during_backoff(
        backoff_ms in 1_000u64..60_000,
        call_times_ms in prop::collection::vec(1u64..60_000, 1..200),
    ) {
        let mut backoffs = BackoffTable::default();
        backoffs.record(&run(1), Duration::from_millis(backoff_ms), at(0));
        let mut call_times_ms = call_times_ms;
        call_times_ms.sort_unstable();
        let mut sent = 0;
        for time in call_times_ms.into_iter().filter(|time| *time < backoff_ms) {
            if backoffs.try_admit(&run(1), at(time)) {
                sent += 1;
                // The target refuses the call and requests the remaining backoff again.
                backoffs.record(&run(1), Duration::from_millis(backoff_ms - time), at(time));
            }
        }
        prop_assert!(sent <= 2, "{sent} calls in {backoff_ms} ms");
    }
}
