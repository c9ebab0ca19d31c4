//! What a caller has spent before its request comes, by the time that it will still wait.

use hoplanding_core::direct::returning::{ReturnClock, RouteKind};
use std::time::Duration;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn scan() -> RouteKind {
    RouteKind::new(ms(1_500), ms(300))
}

#[test]
fn who_has_less_time_than_most_callers_begin_with_has_spent_the_rest() {
    let mut clock = ReturnClock::default();
    assert_eq!(clock.spent(scan(), ms(2_700)), ms(0), "nothing is known");
    for _ in 0..20 {
        assert_eq!(clock.spent(scan(), ms(3_000)), ms(0));
    }
    assert_eq!(clock.spent(scan(), ms(2_880)), ms(120));
    assert_eq!(clock.spent(scan(), ms(2_999)), ms(0));
    assert_eq!(clock.spent(scan(), ms(4_000)), ms(0));
    // Another route has a time of its own.
    assert_eq!(
        clock.spent(RouteKind::new(ms(15_000), ms(800)), ms(2_000)),
        ms(0)
    );
}

#[test]
fn a_route_whose_callers_begin_with_all_sorts_of_times_tells_nothing() {
    let mut clock = ReturnClock::default();
    for call in 0..2_000_u64 {
        let wait = ms(500 + call * 7_919 % 4_000);
        assert_eq!(clock.spent(scan(), wait), ms(0), "call {call}");
    }
}

#[test]
fn half_of_the_callers_may_come_back_and_another_usual_time_is_found() {
    let mut clock = ReturnClock::default();
    for call in 0..400_u64 {
        let is_back = call % 5 >= 3;
        let wait = if is_back {
            ms(2_900 - call % 90)
        } else {
            ms(3_000)
        };
        clock.spent(scan(), wait);
    }
    assert_eq!(clock.spent(scan(), ms(2_800)), ms(200));
    for _ in 0..200 {
        clock.spent(scan(), ms(5_000));
    }
    assert_eq!(clock.spent(scan(), ms(4_900)), ms(100));
}
