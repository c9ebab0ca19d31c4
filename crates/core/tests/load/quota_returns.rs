//! One organisation sends six times its use for several seconds, with calls of three ranks; three holders have a third of
//! its quota each, and its callers are spread unevenly over the zones. Compares buckets that pay in order of arrival with
//! buckets that pay by rank and return time.

use crate::simulation::seeds;
use hoplanding_core::{
    direct::{
        millis,
        quotas::{
            BucketStart, HolderTenure, QuotaBounds, QuotaCharge, QuotaRule, QuotaTable, QuotaUnit,
        },
        return_schedule::ReturnRule,
        suspects::RequestFingerprint,
    },
    ids::{Instant, OrganisationName},
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use rand_distr::{Distribution, Exp};
use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

const BOUNDS: QuotaBounds = QuotaBounds {
    window: Duration::from_secs(8),
    tolerance_ratio: 0.1,
    tolerance_units: 11_000.0,
};
const RULE: ReturnRule = ReturnRule {
    max_wait: Duration::from_secs(5),
    urgent_reserve: Duration::from_millis(500),
};
/// Usual calls per second of the organisation, and the factor by which its quota exceeds them.
const CALLS_PER_S: f64 = 50.0;
const QUOTA_FACTOR: f64 = 1.8;
const OVERLOAD_FACTOR: f64 = 6.0;
/// Period with `OVERLOAD_FACTOR` times the usual calls.
const OVERLOAD_S: std::ops::Range<f64> = 10.0..16.0;
/// Share in the calls, and deadline, by rank.
const RANKS: [(f64, f64); 3] = [(0.2, 5.0), (0.3, 4.0), (0.5, 10.0)];
/// Units of calls, on average and at least.
const MEAN_UNITS: f64 = 800.0;
const MIN_UNITS: f64 = 100.0;
/// Share of the calls that each zone is asked for first.
const ZONE_SHARES: [f64; 3] = [0.7, 0.2, 0.1];
/// Time left below which a caller does not try again.
const MIN_LEFT_S: f64 = 0.1;
/// Time between the passes of a caller's request over the zones.
const TRAVEL_S: f64 = 0.005;

#[derive(Clone, Copy, Debug)]
struct Call {
    rank: usize,
    units: u64,
    deadline_s: f64,
    zone: usize,
    tries: u32,
}

/// Result for the calls that arrived in the overload period.
#[derive(Debug, Default)]
struct OverloadResult {
    calls: u64,
    refusals: u64,
    /// Units asked for and charged, by rank.
    asked: [u64; 3],
    charged: [u64; 3],
    /// Units charged within the period from its third second on, by rank.
    paid: [u64; 3],
    /// Units charged within the period from its third second on, relative to those that the rate earns.
    paid_ratio: f64,
    /// Largest number of retries within 20 ms.
    peak_retries: usize,
}

fn organisation() -> OrganisationName {
    OrganisationName::new("mill")
}

fn draw(random: &mut StdRng, shares: impl Iterator<Item = f64>) -> usize {
    let mut left = random.random_range(0.0..1.0_f64);
    let passed = shares.take_while(|share| {
        left -= share;
        left > 0.0
    });
    passed.count().min(2)
}

fn simulate(rule: Option<ReturnRule>, seed: u64) -> OverloadResult {
    let mut random = StdRng::seed_from_u64(seed);
    let per_s = CALLS_PER_S * (MEAN_UNITS + MIN_UNITS) * QUOTA_FACTOR;
    let quota = QuotaRule {
        unit: QuotaUnit::Tokens {
            default_tokens: 200.0,
        },
        per_s: per_s.floor(),
        burst: per_s.floor(),
    };
    let tenure = HolderTenure {
        sole_until: Instant(u64::MAX >> 1),
        active_from: Instant(0),
        has_predecessor: false,
        window: BOUNDS.window,
    };
    let mut holders: Vec<_> = (0..3)
        .map(|_| {
            let table = QuotaTable::new(BOUNDS, 3, BucketStart::Full, tenure);
            let mut table = table.with_returns(rule);
            table.set_rules([(&organisation(), &quota)], Instant(1));
            table
        })
        .collect();
    let mut calls = Vec::new();
    let mut events = BinaryHeap::new();
    let mut now_s = 0.0;
    while now_s < OVERLOAD_S.end + 4.0 {
        let factor = if OVERLOAD_S.contains(&now_s) {
            OVERLOAD_FACTOR
        } else {
            1.0
        };
        now_s += Exp::new(CALLS_PER_S * factor)
            .expect("a rate")
            .sample(&mut random);
        let rank = draw(&mut random, RANKS.iter().map(|(share, _)| *share));
        let units = Exp::new(1.0 / MEAN_UNITS)
            .expect("a rate")
            .sample(&mut random);
        events.push(Reverse(((now_s * 1e6) as u64, calls.len())));
        calls.push(Call {
            rank,
            units: (MIN_UNITS + units) as u64,
            deadline_s: now_s + RANKS[rank].1,
            zone: draw(&mut random, ZONE_SHARES.into_iter()),
            tries: 0,
        });
    }
    // The first seconds of the period spend the burst.
    let measured_s = OVERLOAD_S.start + 2.0..OVERLOAD_S.end;
    let mut result = OverloadResult::default();
    let mut charges: Vec<(u64, u64)> = Vec::new();
    let mut retries = Vec::new();
    while let Some(Reverse((now_us, number))) = events.pop() {
        let (now, now_s) = (Instant(now_us + 1), now_us as f64 / 1e6);
        let call = &mut calls[number];
        let is_counted = OVERLOAD_S.contains(&(call.deadline_s - RANKS[call.rank].1));
        call.tries += 1;
        if is_counted && call.tries == 1 {
            result.calls += 1;
            result.asked[call.rank] += call.units;
        }
        let mut charge = QuotaCharge {
            rank: call.rank as u8,
            fingerprint: Some(RequestFingerprint(number as u64 + 1)),
            ..QuotaCharge::new(organisation(), call.units)
        };
        let mut refusal: Option<(Duration, usize)> = None;
        let mut is_charged = false;
        for step in 0..3 {
            let zone = (call.zone + step) % 3;
            match holders[zone].charge(&charge, now) {
                Ok(()) => {
                    is_charged = true;
                    break;
                }
                Err(wait) => {
                    refusal = Some(refusal.map_or((wait, zone), |least| least.min((wait, zone))));
                }
            }
        }
        let left_s = call.deadline_s - now_s;
        if let (false, Some((mut wait, zone))) = (is_charged, refusal) {
            if rule.is_some() {
                charge.return_within_ms = millis(Duration::from_secs_f64(left_s / 3.0));
                match holders[zone].charge(&charge, now) {
                    Ok(()) => is_charged = true,
                    Err(assigned) => wait = assigned,
                }
            }
            if !is_charged {
                result.refusals += u64::from(is_counted);
                let pause_s = wait.as_secs_f64().min(left_s / 3.0) + TRAVEL_S;
                if left_s - pause_s > MIN_LEFT_S {
                    events.push(Reverse((((now_s + pause_s) * 1e6) as u64, number)));
                    retries.push(now_s + pause_s);
                }
            }
        }
        if is_charged {
            charges.push((now_us, call.units));
            if measured_s.contains(&now_s) {
                result.paid[call.rank] += call.units;
            }
            if is_counted {
                result.charged[call.rank] += call.units;
            }
        }
        // A new call comes from another gateway, and a retry from the caller's.
        call.zone = draw(&mut random, ZONE_SHARES.into_iter());
    }
    let allowed = per_s * (BOUNDS.window.as_secs_f64() + 1.0) * (1.0 + BOUNDS.tolerance_ratio)
        + BOUNDS.tolerance_units;
    for (from, _) in &charges {
        let window = BOUNDS.window.as_micros() as u64;
        let within = charges
            .iter()
            .filter(|(at, _)| (*from..=from + window).contains(at));
        let units: u64 = within.map(|(_, units)| *units).sum();
        assert!(units as f64 <= allowed, "{units} units, {allowed} allowed");
    }
    let earned = per_s * (measured_s.end - measured_s.start);
    result.paid_ratio = result.paid.iter().sum::<u64>() as f64 / earned;
    retries.retain(|at| measured_s.contains(at));
    retries.sort_by(f64::total_cmp);
    let peaks = retries.iter().enumerate().map(|(first, from)| {
        let within = retries[first..].iter();
        within.take_while(|at| **at <= from + 0.02).count()
    });
    result.peak_retries = peaks.max().unwrap_or(0);
    result
}

/// Guards against an overloaded quota that is paid to less urgent calls first, that starves one rank, that is not paid out
/// in full because of what is reserved, and whose refused callers come back together and in vain.
#[test]
fn overloaded_quota_is_paid_out_in_full_and_by_rank() {
    for seed in seeds(3) {
        let before = simulate(None, seed);
        let after = simulate(Some(RULE), seed);
        println!("seed {seed}:\n before {before:?}\n after {after:?}");
        // The reserve may grow by half a second's use, an eighth of the measured time, only once.
        assert!(after.paid_ratio > 0.95, "{after:?}");
        // Rank 0 asks for two thirds of the quota. The least urgent calls live for longer than the overload and are served
        // after it, so ranks are compared while it lasts.
        assert!(after.charged[0] * 100 > after.asked[0] * 98, "{after:?}");
        let served: Vec<_> = (0..3)
            .map(|rank| after.paid[rank] as f64 / after.asked[rank] as f64)
            .collect();
        assert!(
            served.is_sorted_by(|left, right| left >= right),
            "{served:?}"
        );
        let paid: u64 = after.paid.iter().sum();
        assert!(
            after.paid.iter().all(|units| units * 10 >= paid),
            "{after:?}"
        );
        assert!(after.refusals * 3 < before.refusals, "{before:?} {after:?}");
        assert!(
            after.peak_retries * 3 < before.peak_retries,
            "{before:?} {after:?}"
        );
    }
}
