//! Rate limits that targets advertise: requests in any window, when a limit is lifted, and what a share of a limit
//! allows.

use hoplanding_core::{
    direct::limits::{AdvertisedLimit, RateLimitTable, RequestRate},
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
    }
}

fn table_with_limit(rate: f64) -> RateLimitTable {
    let mut table = RateLimitTable::default();
    assert!(table.record(&advertised(1, Some(rate)), at(0)));
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
            table.take_token(&target_name(), at(ms));
            sent.push(at(ms).after(wait));
        }
        if rng.random_bool(0.3) {
            table.record(&advertised(1, Some(2.7)), at(ms));
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
    assert!(!table.record(&advertised(1, None), at(0)));
    table.take_token(&target_name(), at(0));
    assert_eq!(table.wait(&target_name(), at(0)), Duration::ZERO);
}

#[test]
fn only_a_later_answer_without_a_limit_lifts_it() {
    let mut table = table_with_limit(2.0);
    assert!(!table.record(&advertised(1, None), at(300)));
    assert!(table.is_limited(&target_name()));
    assert!(table.record(&advertised(1, None), at(1_300)));
    assert!(!table.is_limited(&target_name()));
}

#[test]
fn new_limit_applies_from_its_answer() {
    let mut table = table_with_limit(0.5);
    table.take_token(&target_name(), at(0));
    let wait_at_lower_rate = table.wait(&target_name(), at(0));
    assert!(table.record(&advertised(1, Some(5.0)), at(0)));
    assert!(table.wait(&target_name(), at(0)) < wait_at_lower_rate);
    assert!(!table.record(&advertised(1, Some(5.0)), at(10)));
}

#[test]
fn limit_ends_with_the_life_that_advertised_it() {
    let mut table = RateLimitTable::default();
    table.record(&advertised(2, Some(1.0)), at(0));
    assert!(!table.record(&advertised(1, None), at(5_000)));
    assert!(table.is_limited(&target_name()));
    assert!(table.record(&advertised(3, None), at(5_000)));
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
        table.record(&advertised(1, Some(2.0)), at(0));
        for ms in (0..20_000).step_by(10) {
            if table.wait(&target_name(), at(ms)).is_zero() {
                table.take_token(&target_name(), at(ms));
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
