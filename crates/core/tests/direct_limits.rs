//! Limits that targets name: what a holder sends in any window, how a limit is lifted, and what a part of one allows.

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

fn name() -> TargetName {
    TargetName::new("t")
}

fn named(life: u64, rate: Option<f64>) -> AdvertisedLimit {
    let life = TargetLife::begun_at(life);
    AdvertisedLimit {
        run: TargetRun { name: name(), life },
        rate: rate.and_then(RequestRate::per_second),
    }
}

fn limited(rate: f64) -> RateLimitTable {
    let mut table = RateLimitTable::default();
    assert!(table.record(&named(1, Some(rate)), at(0)));
    table
}

/// When requests are sent if as many come as a caller likes to wait for.
fn sends(table: &mut RateLimitTable, seed: u64) -> Vec<Instant> {
    let mut draw = StdRng::seed_from_u64(seed);
    let mut sent = Vec::new();
    let mut ms = 0;
    while ms < 60_000 {
        ms += draw.random_range(1..400);
        if draw.random_bool(0.05) {
            ms += draw.random_range(1_000..6_000);
        }
        let wait = table.wait(&name(), at(ms));
        if wait <= Duration::from_millis(draw.random_range(0..2_000)) {
            table.take_token(&name(), at(ms));
            sent.push(at(ms).after(wait));
        }
        if draw.random_bool(0.3) {
            table.record(&named(1, Some(2.7)), at(ms));
        }
    }
    sent
}

#[test]
fn no_window_holds_more_requests_than_the_limit_allows() {
    for seed in 0..200 {
        let sent = sends(&mut limited(2.7), seed);
        let most = sent
            .iter()
            .map(|from| {
                let until = from.after(WINDOW);
                sent.iter()
                    .filter(|at| *from <= **at && **at < until)
                    .count()
            })
            .max();
        let allowed = 1.5 * 2.7 * WINDOW.as_secs_f64() + 5.0;
        assert!(most.unwrap_or(0) as f64 <= allowed, "seed {seed}: {most:?}");
        assert!(sent.len() > 60, "seed {seed}: {} in 60 s", sent.len());
    }
}

#[test]
fn a_target_that_names_no_limit_is_not_waited_for() {
    let mut table = RateLimitTable::default();
    assert!(!table.record(&named(1, None), at(0)));
    table.take_token(&name(), at(0));
    assert_eq!(table.wait(&name(), at(0)), Duration::ZERO);
}

#[test]
fn an_answer_made_before_the_limit_does_not_lift_it_and_later_ones_do() {
    let mut table = limited(2.0);
    assert!(!table.record(&named(1, None), at(300)));
    assert!(table.is_limited(&name()));
    assert!(table.record(&named(1, None), at(1_300)));
    assert!(!table.is_limited(&name()));
}

#[test]
fn another_limit_counts_from_its_answer_on() {
    let mut table = limited(0.5);
    table.take_token(&name(), at(0));
    let slow = table.wait(&name(), at(0));
    assert!(table.record(&named(1, Some(5.0)), at(0)));
    assert!(table.wait(&name(), at(0)) < slow);
    assert!(!table.record(&named(1, Some(5.0)), at(10)));
}

#[test]
fn a_limit_ends_with_the_life_that_named_it() {
    let mut table = RateLimitTable::default();
    table.record(&named(2, Some(1.0)), at(0));
    assert!(!table.record(&named(1, None), at(5_000)));
    assert!(table.is_limited(&name()));
    assert!(table.record(&named(3, None), at(5_000)));
    assert!(!table.is_limited(&name()));
}

#[test]
fn a_target_that_takes_nothing_is_asked_now_and_then() {
    let table = limited(0.0);
    let wait = table.wait(&name(), at(0));
    assert!(
        Duration::from_secs(5) < wait && wait <= Duration::from_secs(10),
        "{wait:?}"
    );
}

#[test]
fn vms_without_a_holder_send_no_more_than_the_limit_together() {
    const VMS: u32 = 8;
    let mut sent = 0;
    for _ in 0..VMS {
        let mut table = RateLimitTable::with_share(1.0 / f64::from(VMS));
        table.record(&named(1, Some(2.0)), at(0));
        for ms in (0..20_000).step_by(10) {
            if table.wait(&name(), at(ms)).is_zero() {
                table.take_token(&name(), at(ms));
                sent += 1;
            }
        }
    }
    assert!((32..=40).contains(&sent), "{sent} in 20 s");
}

#[test]
fn what_is_no_rate_is_no_limit() {
    for rate in [-1.0, f64::NAN, f64::INFINITY] {
        assert_eq!(RequestRate::per_second(rate), None);
    }
    let rate = RequestRate::per_second(2.3).map(RequestRate::as_f64);
    assert_eq!(rate, Some(2.3));
}
