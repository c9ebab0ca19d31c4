//! Rests that targets ask for.

use hoplanding_core::{
    direct::backoffs::BackoffTable,
    ids::{Instant, TargetLife, TargetName, TargetRun},
};
use proptest::prelude::*;
use std::time::Duration;

fn run(life: u64) -> TargetRun {
    TargetRun {
        name: TargetName::new("i-1"),
        life: TargetLife::begun_at(life),
    }
}

fn at(ms: u64) -> Instant {
    Instant(ms * 1_000)
}

const REST: Duration = Duration::from_secs(3);

#[test]
fn nothing_is_sent_in_a_rest_and_calls_come_back_one_after_the_other() {
    let mut rests = BackoffTable::default();
    assert!(rests.try_admit(&run(1), at(0)));
    rests.record(&run(1), REST, at(0));
    assert!(!rests.try_admit(&run(1), at(2_999)));
    assert_eq!(
        rests.remaining(&run(1), at(1_000)),
        Some(Duration::from_secs(2))
    );
    assert!(rests.try_admit(&run(1), at(3_000)));
    assert!(!rests.try_admit(&run(1), at(3_010)), "the second at once");
    rests.record_answer(&run(1));
    assert!(rests.try_admit(&run(1), at(3_011)));
    assert!(rests.try_admit(&run(1), at(3_011)));
}

#[test]
fn a_shorter_rest_and_an_answer_to_an_earlier_call_end_no_rest() {
    let mut rests = BackoffTable::default();
    rests.record(&run(1), REST, at(0));
    rests.record(&run(1), Duration::from_secs(1), at(100));
    rests.record_answer(&run(1));
    assert!(!rests.try_admit(&run(1), at(2_900)));
}

#[test]
fn a_rest_ends_with_the_life_of_its_target() {
    let mut rests = BackoffTable::default();
    rests.record(&run(1), REST, at(0));
    assert!(rests.try_admit(&run(2), at(10)));
    assert!(!rests.try_admit(&run(1), at(10)));
}

#[test]
fn a_target_that_asks_for_rest_for_good_is_tried_again() {
    let mut rests = BackoffTable::default();
    rests.record(&run(1), Duration::MAX, at(0));
    assert!(!rests.try_admit(&run(1), at(10_000)));
    assert!(rests.try_admit(&run(1), at(60_000)));
}

proptest! {
    /// A rest of up to a minute lets two calls through at the most, whatever is asked and answered meanwhile.
    #[test]
    fn no_more_than_two_calls_are_let_through_in_a_rest(
        rest_ms in 1_000u64..60_000,
        calls in prop::collection::vec(1u64..60_000, 1..200),
    ) {
        let mut rests = BackoffTable::default();
        rests.record(&run(1), Duration::from_millis(rest_ms), at(0));
        let mut calls = calls;
        calls.sort_unstable();
        let mut sent = 0;
        for time in calls.into_iter().filter(|time| *time < rest_ms) {
            if rests.try_admit(&run(1), at(time)) {
                sent += 1;
                // The target turns it away, and says how long it still wants none.
                rests.record(&run(1), Duration::from_millis(rest_ms - time), at(time));
            }
        }
        prop_assert!(sent <= 2, "{sent} in {rest_ms} ms");
    }
}
