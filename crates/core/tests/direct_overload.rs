//! Detection of overload from samples of the time that work waits.

use hoplanding_core::{
    direct::overload::{OverloadChange, OverloadDetector, WINDOW},
    ids::Instant,
};
use std::time::Duration;

const MAX_DELAY: Duration = Duration::from_millis(25);
const LONG: Duration = Duration::from_millis(60);
const SHORT: Duration = Duration::from_millis(1);

/// Feeds the samples of one window, and closes it.
fn run_window(
    detector: &mut OverloadDetector,
    now: &mut Instant,
    delays: &[Duration],
) -> Option<OverloadChange> {
    let end = now.after(WINDOW);
    for delay in delays {
        let probe = detector.begin_probe(*now).expect("no probe is pending");
        *now = now.after(*delay);
        assert_eq!(detector.end_probe(&probe, *now), *delay);
    }
    *now = end.max(*now);
    detector
        .advance(MAX_DELAY, *now)
        .and_then(|(_, change)| change)
}

/// A VM whose queue ran empty in each window has processor time left, however long single steps wait.
#[test]
fn single_long_waits_are_no_overload() {
    let mut detector = OverloadDetector::default();
    let mut now = Instant(1_000_000);
    for _ in 0..50 {
        let change = run_window(&mut detector, &mut now, &[LONG, SHORT]);
        assert_eq!(change, None);
        for _ in 0..2 {
            let change = run_window(&mut detector, &mut now, &[LONG]);
            assert_eq!(change, None);
        }
    }
}

/// The queue of an overloaded VM never runs empty; the overload ends half a second after it did.
#[test]
fn overload_begins_and_ends_with_the_standing_queue() {
    let mut detector = OverloadDetector::default();
    let mut now = Instant(1_000_000);
    for _ in 0..2 {
        assert_eq!(run_window(&mut detector, &mut now, &[LONG]), None);
    }
    let began = now.after(WINDOW);
    let change = run_window(&mut detector, &mut now, &[LONG]);
    assert_eq!(change, Some(OverloadChange::Began));
    for _ in 0..4 {
        assert_eq!(run_window(&mut detector, &mut now, &[SHORT]), None);
    }
    let change = run_window(&mut detector, &mut now, &[SHORT]);
    assert_eq!(change, Some(OverloadChange::Ended(began)));
}

/// A sample that has not come out of the queue yet shows how long the queue is at least.
#[test]
fn a_probe_that_still_waits_counts_with_its_age() {
    let mut detector = OverloadDetector::default();
    let mut now = Instant(1_000_000);
    let probe = detector.begin_probe(now).expect("no probe is pending");
    let changes: Vec<_> = (0..3)
        .map(|_| {
            now = now.after(WINDOW);
            detector
                .advance(MAX_DELAY, now)
                .and_then(|(_, change)| change)
        })
        .collect();
    assert_eq!(changes, [None, None, Some(OverloadChange::Began)]);
    assert!(detector.end_probe(&probe, now) > MAX_DELAY);
}

/// A VM that was suspended for seconds has one long sample, which says nothing about its processor time.
#[test]
fn a_suspension_is_no_overload() {
    let mut detector = OverloadDetector::default();
    let mut now = Instant(1_000_000);
    for _ in 0..5 {
        let suspended = [Duration::from_secs(3)];
        assert_eq!(run_window(&mut detector, &mut now, &suspended), None);
        assert_eq!(run_window(&mut detector, &mut now, &[SHORT]), None);
    }
}

/// The task that accepts connections waits its turn as well, so a saturated queue has windows in which no sample begins or ends.
#[test]
fn windows_without_a_sample_do_not_hide_an_overload() {
    let mut detector = OverloadDetector::default();
    let mut now = Instant(1_000_000);
    let mut changes = Vec::new();
    for _ in 0..10 {
        changes.extend(run_window(&mut detector, &mut now, &[LONG]));
        changes.extend(run_window(&mut detector, &mut now, &[]));
        // A sample that has just begun says nothing yet.
        let probe = detector.begin_probe(now).expect("no probe is pending");
        now = now.after(Duration::from_millis(5));
        let window = detector.advance(MAX_DELAY, now);
        changes.extend(window.and_then(|(_, change)| change));
        now = now.after(LONG);
        detector.end_probe(&probe, now);
    }
    assert_eq!(changes, [OverloadChange::Began]);
}

/// Without new connections there are no samples, and nothing to limit.
#[test]
fn overload_ends_without_new_connections() {
    let mut detector = OverloadDetector::default();
    let mut now = Instant(1_000_000);
    let changes: Vec<_> = (0..3)
        .filter_map(|_| run_window(&mut detector, &mut now, &[LONG]))
        .collect();
    assert_eq!(changes, [OverloadChange::Began]);
    let changes: Vec<_> = (0..10)
        .filter_map(|_| run_window(&mut detector, &mut now, &[]))
        .collect();
    assert!(matches!(changes[..], [OverloadChange::Ended(_)]));
}
