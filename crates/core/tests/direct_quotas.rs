//! Organisations' quotas over the whole fleet: the sum over all holders stays within the rule in every window, whatever is
//! cut off, frozen, killed or replaced.

use hoplanding_core::{
    direct::quotas::{
        BucketStart, HolderShare, HolderTenure, QuotaBounds, QuotaCharge, QuotaLedger, QuotaRule,
        QuotaUnit,
    },
    ids::{Instant, OrganisationName},
};
use proptest::{collection::vec, prelude::*};
use std::time::Duration;

const BOUNDS: QuotaBounds = QuotaBounds {
    window: Duration::from_secs(8),
    tolerance_ratio: 0.1,
    tolerance_units: 11_000.0,
};
/// Time within which a holder that is cut off from the log has been replaced at the soonest.
const TURN_MS: u64 = 3_000;
/// Zones, each with a part of every quota.
const ZONES: u32 = 3;
/// Units of the largest call of the users' sheet.
const LARGEST: u64 = 4_390;

fn at(ms: u64) -> Instant {
    Instant(1_000_000 + ms * 1_000)
}

fn rule(per_s: u64, burst: u64) -> QuotaRule {
    let unit = QuotaUnit::Tokens {
        default_tokens: 200,
    };
    QuotaRule { unit, per_s, burst }
}

fn mill() -> OrganisationName {
    OrganisationName::new("mill")
}

fn charge(units: u64) -> QuotaCharge {
    QuotaCharge {
        organisation: mill(),
        units,
    }
}

/// Units that the users' rule allows in a window.
fn allowed(rule: &QuotaRule) -> f64 {
    let quota = rule.per_s as f64 * BOUNDS.window.as_secs_f64() + rule.burst as f64;
    quota * (1.0 + BOUNDS.tolerance_ratio) + BOUNDS.tolerance_units
}

/// Most units that were paid within a window, by times in ms.
fn most_in_window(paid: &[(u64, u64)]) -> u64 {
    let window_ms = BOUNDS.window.as_millis() as u64;
    let sums = paid.iter().enumerate().map(|(first, (from_ms, _))| {
        let within = paid[first..]
            .iter()
            .take_while(|(at_ms, _)| *at_ms <= from_ms + window_ms);
        within.map(|(_, units)| units).sum()
    });
    sums.max().unwrap_or(0)
}

fn ledger(start: BucketStart, rule: &QuotaRule, now_ms: u64) -> QuotaLedger {
    let mut ledger = QuotaLedger::new(BOUNDS, ZONES, start, sole());
    ledger.set_rules([(&mill(), rule)], at(now_ms));
    ledger
}

/// The times of a holder that nobody replaces.
fn sole() -> HolderTenure {
    HolderTenure {
        sole_until: Instant(u64::MAX >> 1),
        active_from: Instant(0),
        has_predecessor: false,
        window: BOUNDS.window,
    }
}

/// One of a zone's holders, which may not know that it was replaced.
struct Holder {
    ledger: QuotaLedger,
    /// Whether it reads the log no more.
    is_cut: bool,
    is_frozen: bool,
}

impl Holder {
    fn new(start: BucketStart, rule: &QuotaRule, now_ms: u64, quiet_ms: u64) -> Self {
        let times = HolderTenure {
            sole_until: at(now_ms + TURN_MS),
            active_from: at(now_ms + quiet_ms),
            has_predecessor: quiet_ms > 0,
            window: BOUNDS.window,
        };
        let mut ledger = QuotaLedger::new(BOUNDS, ZONES, start, times);
        ledger.set_rules([(&mill(), rule)], at(now_ms));
        Self {
            ledger,
            is_cut: false,
            is_frozen: false,
        }
    }

    fn pay(&mut self, units: u64, now_ms: u64) -> bool {
        if self.is_frozen {
            return false;
        }
        if !self.is_cut {
            self.ledger.set_sole_until(at(now_ms + TURN_MS));
        }
        self.ledger.charge(&charge(units), at(now_ms)).is_ok()
    }
}

#[derive(Clone, Copy, Debug)]
enum Happening {
    /// Calls at a zone, each of so many units.
    Calls(usize, u32, u64),
    /// A zone's holder is cut off from the log, and replaced though it goes on.
    Replace(usize),
    /// It dies, and another one takes its zone at once.
    Die(usize),
    /// It stands still, or goes on.
    Freeze(usize, bool),
    /// The operator names another rate.
    Rate(u64),
    /// A call did not run.
    GiveBack(usize, u64),
}

fn happening() -> impl Strategy<Value = Happening> {
    let zone = 0..ZONES as usize;
    prop_oneof![
        12 => (zone.clone(), 1..40_u32, 1..LARGEST).prop_map(|(zone, calls, units)| Happening::Calls(zone, calls, units)),
        1 => zone.clone().prop_map(Happening::Replace),
        1 => zone.clone().prop_map(Happening::Die),
        1 => (zone.clone(), any::<bool>()).prop_map(|(zone, frozen)| Happening::Freeze(zone, frozen)),
        1 => (500..3_000_u64).prop_map(Happening::Rate),
        1 => (zone, 1..LARGEST).prop_map(|(zone, units)| Happening::GiveBack(zone, units)),
    ]
}

/// Plays what happens; gives all that was paid, by times in ms.
fn play(per_s: u64, burst: u64, events: &[(u64, Happening)]) -> Vec<(u64, u64)> {
    let mut rule = rule(per_s, burst);
    let mut zones: Vec<Vec<Holder>> = (0..ZONES)
        .map(|_| vec![Holder::new(BucketStart::Full, &rule, 0, 0)])
        .collect();
    let (mut now_ms, mut paid, mut last) = (0, Vec::new(), Vec::new());
    for (pause_ms, happening) in events {
        now_ms += pause_ms;
        match *happening {
            Happening::Calls(zone, calls, units) => {
                for holder in &mut zones[zone] {
                    for _ in 0..calls {
                        if holder.pay(units, now_ms) {
                            paid.push((now_ms, units));
                            last.push((now_ms, zone, units));
                        }
                    }
                }
            }
            Happening::Replace(zone) => {
                // One that is cut off is not replaced a second time before its successor is.
                let holders = &mut zones[zone];
                for holder in holders.iter_mut() {
                    holder.is_cut = true;
                }
                if holders.len() > 1 {
                    holders.remove(0);
                }
                holders.push(Holder::new(BucketStart::Exhausted, &rule, now_ms, TURN_MS));
            }
            Happening::Die(zone) => {
                zones[zone] = vec![Holder::new(BucketStart::Exhausted, &rule, now_ms, 0)];
            }
            Happening::Freeze(zone, is_frozen) => {
                for holder in &mut zones[zone] {
                    holder.is_frozen = is_frozen;
                }
            }
            Happening::Rate(lower) => {
                // A lower limit binds one window later, so only the largest is looked at: rates do not rise here.
                rule.per_s = rule.per_s.min(lower);
                for holder in zones.iter_mut().flatten() {
                    holder.ledger.set_rules([(&mill(), &rule)], at(now_ms));
                }
            }
            Happening::GiveBack(zone, units) => {
                // A call that was paid within the last second, and did not run.
                let mut back = last.iter().rposition(|(at_ms, from, paid)| {
                    now_ms - at_ms < 1_000 && *from == zone && *paid <= units
                });
                if let Some(found) = back.take() {
                    let (at_ms, _, units) = last.remove(found);
                    paid.retain({
                        let mut is_found = false;
                        move |payment| {
                            let is_it = !is_found && *payment == (at_ms, units);
                            is_found |= is_it;
                            !is_it
                        }
                    });
                    if let Some(holder) = zones[zone].last_mut() {
                        holder.ledger.refund(&charge(units), at(now_ms));
                    }
                }
            }
        }
    }
    paid
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 600, rng_seed: proptest::test_runner::RngSeed::Fixed(36), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn no_window_holds_more_than_the_rule_allows(
        per_s in 2_000..80_000_u64,
        burst_s in 0..3_u64,
        events in vec((0..700_u64, happening()), 1..160),
    ) {
        let burst = per_s * burst_s;
        let paid = play(per_s, burst, &events);
        let most = most_in_window(&paid) as f64;
        let allowed = allowed(&rule(per_s, burst));
        prop_assert!(most <= allowed, "{most} units where {allowed} are allowed");
    }
}

#[test]
fn usual_use_is_paid_and_ten_times_as_much_is_held_to_the_rate() {
    let rule = rule(60_000, 60_000);
    let mut holders: Vec<_> = (0..ZONES)
        .map(|_| ledger(BucketStart::Exhausted, &rule, 0))
        .collect();
    let mut paid = [0, 0];
    for ms in (2_000..22_000).step_by(10) {
        // 33,000 units a second, and from 12 s on 330,000.
        let calls = if ms < 12_000 { 1 } else { 10 };
        for _ in 0..calls {
            let holder = &mut holders[(ms / 10) as usize % 3];
            let is_paid = holder.charge(&charge(330), at(ms)).is_ok();
            paid[usize::from(ms >= 12_000)] += u64::from(is_paid) * 330;
        }
    }
    assert_eq!(paid[0], 330_000, "all of the usual use");
    let most = 60_000 * 10 + 60_000 + 60_000;
    assert!((600_000..=most).contains(&paid[1]), "{}", paid[1]);
}

#[test]
fn an_organisation_with_a_small_rate_has_its_largest_calls_served() {
    let rule = rule(2_700, 2_700);
    let mut holder = ledger(BucketStart::Full, &rule, 0);
    assert!(holder.charge(&charge(LARGEST), at(0)).is_ok());
    let wait = holder
        .charge(&charge(LARGEST), at(100))
        .expect_err("it has to wait");
    assert!(wait > Duration::from_secs(1), "{wait:?}");
    assert!(holder.charge(&charge(LARGEST), at(100 + 6_000)).is_ok());
}

#[test]
fn holders_in_series_hand_out_no_second_burst() {
    let rule = rule(30_000, 30_000);
    let mut first = ledger(BucketStart::Full, &rule, 0);
    let mut paid = 0;
    while first.charge(&charge(100), at(0)).is_ok() {
        paid += 100;
    }
    for life in 1..=20 {
        let mut holder = ledger(BucketStart::Exhausted, &rule, life * 10);
        while holder.charge(&charge(100), at(life * 10)).is_ok() {
            paid += 100;
        }
    }
    let spare = 270_000.0 * 0.1 + 11_000.0;
    assert!(f64::from(paid) <= (30_000.0 + spare) / 3.0, "{paid}");
}

#[test]
fn a_holder_that_may_be_replaced_and_its_successor_pay_half_each() {
    let window = BOUNDS.window;
    let old = HolderTenure {
        sole_until: at(3_000),
        active_from: at(0),
        has_predecessor: false,
        window,
    };
    let new = HolderTenure {
        sole_until: at(60_000),
        active_from: at(4_000),
        has_predecessor: true,
        window,
    };
    let seen = |ms| (old.share(at(ms)), new.share(at(ms)));
    use HolderShare::{Inactive, Shared, Sole};
    assert_eq!(seen(2_999), (Sole, Inactive));
    assert_eq!(seen(3_500), (Shared, Inactive));
    assert_eq!(seen(4_000), (Shared, Shared));
    assert_eq!(seen(11_000), (Inactive, Shared));
    assert_eq!(seen(12_000), (Inactive, Sole));
}

/// A holder stands still, or is cut off, and wakes with what waited for it: it pays out by what it is by then, and what it earned
/// meanwhile counts by what it was.
#[test]
fn a_holder_that_stood_still_pays_nothing_out_and_earns_half_after_its_time() {
    let rule = rule(30_000, 300_000);
    let times = HolderTenure {
        sole_until: at(3_000),
        ..sole()
    };
    let begin = |start| {
        let mut ledger = QuotaLedger::new(BOUNDS, ZONES, start, times);
        ledger.set_rules([(&mill(), &rule)], at(0));
        ledger
    };
    let mut woken = begin(BucketStart::Full);
    assert!(woken.charge(&charge(100), at(11_001)).is_err());
    // Three seconds at 10,000 a second, and five at half of it.
    let mut late = begin(BucketStart::Exhausted);
    let mut paid = 0;
    while late.charge(&charge(100), at(8_000)).is_ok() {
        paid += 100;
    }
    assert_eq!(paid, 55_000);
}

#[test]
fn organisations_without_a_quota_pay_nothing() {
    let mut holder = ledger(BucketStart::Exhausted, &rule(1, 0), 0);
    let other = QuotaCharge {
        organisation: OrganisationName::new("port"),
        units: u64::MAX,
    };
    assert_eq!(holder.charge(&other, at(0)), Ok(()));
}
