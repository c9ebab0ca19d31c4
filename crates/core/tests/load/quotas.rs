//! Quotas under the usual load of seventy VMs, and while one organisation sends six times as much: equal parts at the zones'
//! holders, or fixed shares at every VM.

use crate::play::seeds;
use hoplanding_core::{
    direct::quotas::{
        BucketStart, HolderTenure, QuotaBounds, QuotaCharge, QuotaRule, QuotaTable, QuotaUnit,
    },
    ids::{Instant, OrganisationName},
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use rand_distr::{Distribution, Exp};
use std::time::Duration;

const BOUNDS: QuotaBounds = QuotaBounds {
    window: Duration::from_secs(8),
    tolerance_ratio: 0.1,
    tolerance_units: 11_000.0,
};
/// VMs, and zones of them.
const VMS: usize = 72;
const ZONES: usize = 3;
/// Calls a second of all organisations together, and units of one.
const CALLS_PER_S: f64 = 560.0;
const UNITS: [u64; 2] = [200, 1_630];
/// Organisations: a few large ones, and what their quotas are beside their usual use.
const SHARES: [f64; 8] = [0.34, 0.24, 0.16, 0.1, 0.07, 0.05, 0.03, 0.01];
const QUOTA_PART: f64 = 1.8;
/// Seconds that are played, and those in which the second organisation sends six times as much.
const SECONDS: f64 = 30.0;
const HOT: std::ops::Range<f64> = 12.0..20.0;
const HOT_FACTOR: f64 = 6.0;

/// Who pays.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Payer {
    /// The holder of the zone that an adapter is at home in, or another one.
    Zones,
    /// The VM that has the call.
    Vms,
}

/// What became of calls.
#[derive(Debug, Default)]
struct QuotaView {
    /// Units of organisations that ask for less than their quota, and those of them that were refused.
    below: u64,
    below_refused: u64,
    /// Units of the hot organisation that were paid in its worst window, as a part of what the rule allows.
    worst: f64,
}

fn name(organisation: usize) -> OrganisationName {
    OrganisationName::new(&format!("o{organisation}"))
}

fn rule(organisation: usize) -> QuotaRule {
    let mean = (UNITS[0] + 2 * UNITS[1]) as f64 / 3.0;
    let per_s = (CALLS_PER_S * SHARES[organisation] * mean * QUOTA_PART) as u64;
    QuotaRule {
        unit: QuotaUnit::Tokens {
            default_tokens: UNITS[0],
        },
        per_s,
        burst: per_s,
    }
}

fn play(payer: Payer, seed: u64) -> QuotaView {
    let mut random = StdRng::seed_from_u64(seed);
    let count = match payer {
        Payer::Zones => ZONES,
        Payer::Vms => VMS,
    };
    let rules: Vec<_> = (0..SHARES.len()).map(|at| (name(at), rule(at))).collect();
    let mut quota_tables: Vec<_> = (0..count)
        .map(|_| {
            let times = HolderTenure {
                sole_until: Instant(u64::MAX >> 1),
                active_from: Instant(0),
                has_predecessor: false,
                window: BOUNDS.window,
            };
            let mut quota_table = QuotaTable::new(BOUNDS, count as u32, BucketStart::Full, times);
            quota_table.set_rules(rules.iter().map(|(name, rule)| (name, rule)), Instant(1));
            quota_table
        })
        .collect();
    let mut view = QuotaView::default();
    let mut paid = Vec::new();
    for (organisation, share) in SHARES.iter().enumerate() {
        let mut second = 0.0;
        // Each organisation's callers come to a few VMs.
        let homes: Vec<_> = (0..4 + organisation)
            .map(|_| random.random_range(0..VMS))
            .collect();
        while second < SECONDS {
            let is_in_high_demand = organisation == 1 && HOT.contains(&second);
            let factor = if is_in_high_demand { HOT_FACTOR } else { 1.0 };
            let gap = Exp::new(CALLS_PER_S * share * factor).expect("a rate");
            second += gap.sample(&mut random);
            let units = UNITS[usize::from(random.random_bool(2.0 / 3.0))];
            let first = match payer {
                Payer::Zones => random.random_range(0..ZONES),
                Payer::Vms => homes[random.random_range(0..homes.len())],
            };
            // Another zone's holder is asked where one has too little; a VM has nobody to ask.
            let asked = if payer == Payer::Zones { ZONES } else { 1 };
            let charge = QuotaCharge {
                organisation: name(organisation),
                units,
            };
            let now = Instant((second * 1e6) as u64 + 1);
            let is_paid = (0..asked).any(|step| {
                let quota_table = &mut quota_tables[(first + step) % count];
                quota_table.charge(&charge, now).is_ok()
            });
            if organisation == 1 {
                if is_paid {
                    paid.push((second, units));
                }
            } else {
                view.below += units;
                view.below_refused += u64::from(!is_paid) * units;
            }
        }
    }
    let window = BOUNDS.window.as_secs_f64();
    let sums = paid.iter().enumerate().map(|(first, (from, _))| {
        let within = paid[first..]
            .iter()
            .take_while(|(at, _)| *at <= from + window);
        within.map(|(_, units)| *units).sum::<u64>()
    });
    let quota = rule(1).per_s as f64 * window + rule(1).burst as f64;
    let allowed = quota * (1.0 + BOUNDS.tolerance_ratio) + BOUNDS.tolerance_units;
    view.worst = sums.max().unwrap_or(0) as f64 / allowed;
    view
}

#[test]
fn zones_parts_refuse_nobody_below_a_quota_and_hold_a_hot_organisation_to_it() {
    for seed in seeds(3) {
        let zones = play(Payer::Zones, seed);
        let vms = play(Payer::Vms, seed);
        println!("seed {seed}: zones {zones:?}, VMs {vms:?}");
        assert!(zones.worst <= 1.0, "{zones:?}");
        assert!(zones.below_refused * 200 < zones.below, "{zones:?}");
        assert!(zones.below_refused < vms.below_refused, "{zones:?} {vms:?}");
        // A hot organisation gets what it may have.
        assert!(zones.worst > 0.85, "{zones:?}");
    }
}
