//! Rate limits that targets advertise: requests in any window, when a limit is lifted, and what a share of a limit
//! allows.

use hoplanding_core::{
    direct::{
        limits::{AdvertisedLimit, RateLimitTable, RequestRate},
        rejections::RejectionGate,
    },
    ids::{Instant, TargetLife, TargetName, TargetRun},
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use std::time::Duration;

const WINDOW: Duration = Duration::from_secs(4);

fn at(ms: u64) -> Instant {
    Instant(1_000_000 + ms * 1_000)
}

fn target_name() -> TargetName {
    TargetName::new("t")
}

fn advertised(life: u64, rate: Option<f64>) -> AdvertisedLimit {
    let life = TargetLife::started_at_ms(life);
    AdvertisedLimit {
        run: TargetRun {
            name: target_name(),
            life,
        },
        rate: rate.and_then(RequestRate::per_second),
        max_rejections_per_s: None,
    }
}

fn table_with_limit(rate: f64) -> RateLimitTable {
    let mut table = RateLimitTable::default();
    assert!(table.record(&advertised(1, Some(rate)), 0, at(0)));
    table
}

/// Times at which requests are sent, if each caller sends only when the wait is acceptable to it.
fn send_times(table: &mut RateLimitTable, seed: u64) -> Vec<Instant> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut sent = Vec::new();
    let mut ms = 0;
    while ms < 60_000 {
        ms += rng.random_range(1..400);
        if rng.random_bool(0.05) {
            ms += rng.random_range(1_000..6_000);
        }
        let wait = table.wait(&target_name(), at(ms));
        if wait <= Duration::from_millis(rng.random_range(0..2_000)) {
            table.take_token(&target_name(), at(ms).after(wait), at(ms));
            sent.push(at(ms).after(wait));
        }
        if rng.random_bool(0.3) {
            table.record(&advertised(1, Some(2.7)), 0, at(ms));
        }
    }
    sent
}

#[test]
fn requests_in_any_window_stay_within_the_limit() {
    for seed in 0..200 {
        let sent = send_times(&mut table_with_limit(2.7), seed);
        let max_in_window = sent
            .iter()
            .map(|from| {
                let until = from.after(WINDOW);
                sent.iter()
                    .filter(|at| *from <= **at && **at < until)
                    .count()
            })
            .max();
        let allowed = 1.5 * 2.7 * WINDOW.as_secs_f64() + 5.0;
        assert!(
            max_in_window.unwrap_or(0) as f64 <= allowed,
            "seed {seed}: {max_in_window:?}"
        );
        assert!(sent.len() > 60, "seed {seed}: {} in 60 s", sent.len());
    }
}

#[test]
fn target_without_a_limit_needs_no_wait() {
    let mut table = RateLimitTable::default();
    assert!(!table.record(&advertised(1, None), 0, at(0)));
    table.take_token(&target_name(), at(0), at(0));
    assert_eq!(table.wait(&target_name(), at(0)), Duration::ZERO);
}

#[test]
fn only_a_later_answer_without_a_limit_lifts_it() {
    let mut table = table_with_limit(2.0);
    assert!(!table.record(&advertised(1, None), 0, at(300)));
    assert!(table.is_limited(&target_name()));
    assert!(table.record(&advertised(1, None), 0, at(1_300)));
    assert!(!table.is_limited(&target_name()));
}

#[test]
fn new_limit_applies_from_its_answer() {
    let mut table = table_with_limit(0.5);
    table.take_token(&target_name(), at(0), at(0));
    let wait_at_lower_rate = table.wait(&target_name(), at(0));
    assert!(table.record(&advertised(1, Some(5.0)), 0, at(0)));
    assert!(table.wait(&target_name(), at(0)) < wait_at_lower_rate);
    assert!(!table.record(&advertised(1, Some(5.0)), 0, at(10)));
}

#[test]
fn limit_ends_with_the_life_that_advertised_it() {
    let mut table = RateLimitTable::default();
    table.record(&advertised(2, Some(1.0)), 0, at(0));
    assert!(!table.record(&advertised(1, None), 0, at(5_000)));
    assert!(table.is_limited(&target_name()));
    assert!(table.record(&advertised(3, None), 0, at(5_000)));
    assert!(!table.is_limited(&target_name()));
}

#[test]
fn target_with_a_limit_of_zero_is_tried_occasionally() {
    let table = table_with_limit(0.0);
    let wait = table.wait(&target_name(), at(0));
    assert!(
        Duration::from_secs(5) < wait && wait <= Duration::from_secs(10),
        "{wait:?}"
    );
}

#[test]
fn shares_of_vms_without_a_holder_stay_within_the_limit() {
    const VMS: u32 = 8;
    let mut sent = 0;
    for _ in 0..VMS {
        let mut table = RateLimitTable::with_share(1.0 / f64::from(VMS));
        table.record(&advertised(1, Some(2.0)), 0, at(0));
        for ms in (0..20_000).step_by(10) {
            if table.wait(&target_name(), at(ms)).is_zero() {
                table.take_token(&target_name(), at(ms), at(ms));
                sent += 1;
            }
        }
    }
    assert!((32..=40).contains(&sent), "{sent} in 20 s");
}

#[test]
fn invalid_rate_is_no_limit() {
    for rate in [-1.0, f64::NAN, f64::INFINITY] {
        assert_eq!(RequestRate::per_second(rate), None);
    }
    let rate = RequestRate::per_second(2.3).map(RequestRate::as_f64);
    assert_eq!(rate, Some(2.3));
}

/// Simulates a target with changing room whose answers come late, and returns the times of its rejections and the number
/// of accepted calls.
fn play_brittle_target(seed: u64, max_per_s: u32) -> (Vec<Instant>, usize) {
    const MAX_ROOM: usize = 10;
    let mut rng = StdRng::seed_from_u64(seed);
    let mut gate = RejectionGate::new(max_per_s, 0);
    let mut room = MAX_ROOM;
    let (mut running, mut answers): (Vec<u64>, Vec<(u64, bool)>) = (Vec::new(), Vec::new());
    let (mut rejections, mut accepted) = (Vec::new(), 0);
    for ms in 0..30_000 {
        if rng.random_bool(0.002) {
            room = rng.random_range(1..=MAX_ROOM);
        }
        running.retain(|end| *end > ms);
        let in_flight = |answers: &Vec<(u64, bool)>| u32::try_from(answers.len()).expect("few");
        while let Some(due) = answers.iter().position(|(end, _)| *end <= ms) {
            let before = in_flight(&answers);
            let (_, is_accepted) = answers.remove(due);
            if is_accepted {
                gate.record_accepted(before, at(ms));
            } else {
                gate.record_rejected(before, at(ms));
            }
        }
        if rng.random_bool(0.4) && gate.admits(in_flight(&answers), at(ms)) {
            gate.record_sent(at(ms), at(ms));
            if running.len() < room {
                let end = ms + rng.random_range(20..60);
                running.push(end);
                answers.push((end + rng.random_range(1..20), true));
                accepted += 1;
            } else {
                answers.push((ms + rng.random_range(2..20), false));
                rejections.push(at(ms));
            }
        }
    }
    (rejections, accepted)
}

/// A target's room shrinks and grows without notice, and answers to calls on their way come late.
#[test]
fn a_brittle_target_never_rejects_more_than_it_states_in_a_second() {
    for seed in 0..40 {
        for max_per_s in [1, 2, 4, 6, 12] {
            let (rejections, accepted) = play_brittle_target(seed, max_per_s);
            let in_second = rejections.iter().map(|first| {
                let second = rejections.iter();
                second
                    .filter(|at| **at >= *first && at.since(*first) < Duration::from_secs(1))
                    .count()
            });
            let most = in_second.max().unwrap_or(0);
            assert!(
                most <= max_per_s as usize,
                "seed {seed}: {most} of {max_per_s}"
            );
            assert!(
                accepted > 300,
                "seed {seed}: {accepted} accepted with {max_per_s}"
            );
        }
    }
}
