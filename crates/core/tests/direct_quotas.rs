//! Quotas of organisations over the whole fleet: the sum over all holders stays within the tolerance in every window,
//! also when holders are cut off, frozen, terminated or replaced.

use hoplanding_core::{
    direct::{
        quotas::{
            BucketStart, HolderRole, HolderTenure, QuotaBounds, QuotaCharge, QuotaRule, QuotaTable,
            QuotaUnit,
        },
        return_schedule::ReturnRule,
        suspects::RequestFingerprint,
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
/// Shortest time after which a holder that is cut off from the log is replaced.
const HANDOVER_MS: u64 = 3_000;
/// Zones, each with a share of every quota.
const ZONES: u32 = 3;
const RETURNS: ReturnRule = ReturnRule {
    max_wait: Duration::from_secs(5),
    urgent_reserve: Duration::from_millis(500),
};
/// Units of the largest specified call.
const MAX_CALL_UNITS: u64 = 4_390;

fn at(ms: u64) -> Instant {
    Instant(1_000_000 + ms * 1_000)
}

fn rule(per_s: u64, burst: u64) -> QuotaRule {
    let unit = QuotaUnit::Tokens {
        default_tokens: 200.0,
    };
    QuotaRule {
        unit,
        per_s: per_s as f64,
        burst: burst as f64,
    }
}

fn organisation() -> OrganisationName {
    OrganisationName::new("mill")
}

fn charge(units: u64) -> QuotaCharge {
    QuotaCharge::new(organisation(), units)
}

/// Units that may be charged in a window, including the tolerance.
fn allowed_units(rule: &QuotaRule) -> f64 {
    let quota = rule.per_s * BOUNDS.window.as_secs_f64() + rule.burst;
    quota * (1.0 + BOUNDS.tolerance_ratio) + BOUNDS.tolerance_units
}

/// Largest sum of units charged within a window; `charged` has times in ms and units.
fn max_units_in_window(charged: &[(u64, u64)]) -> u64 {
    let window_ms = BOUNDS.window.as_millis() as u64;
    let sums = charged.iter().enumerate().map(|(first, (from_ms, _))| {
        let within = charged[first..]
            .iter()
            .take_while(|(at_ms, _)| *at_ms <= from_ms + window_ms);
        within.map(|(_, units)| units).sum()
    });
    sums.max().unwrap_or(0)
}

fn quota_table(start: BucketStart, rule: &QuotaRule, now_ms: u64) -> QuotaTable {
    let mut quota_table = QuotaTable::new(BOUNDS, ZONES, start, sole_tenure());
    quota_table.set_rules([(&organisation(), rule)], at(now_ms));
    quota_table
}

/// Tenure of a holder that is never replaced.
fn sole_tenure() -> HolderTenure {
    HolderTenure {
        sole_until: Instant(u64::MAX >> 1),
        active_from: Instant(0),
        has_predecessor: false,
        window: BOUNDS.window,
    }
}

/// A holder of a zone, which may not know that it was replaced.
struct Holder {
    quota_table: QuotaTable,
    /// Whether it no longer reads the log.
    is_cut_off: bool,
    is_frozen: bool,
}

impl Holder {
    fn new(
        start: BucketStart,
        rule: &QuotaRule,
        returns: Option<ReturnRule>,
        now_ms: u64,
        order_delay_ms: u64,
    ) -> Self {
        let tenure = HolderTenure {
            sole_until: at(now_ms + HANDOVER_MS),
            active_from: at(now_ms + order_delay_ms),
            has_predecessor: order_delay_ms > 0,
            window: BOUNDS.window,
        };
        let mut quota_table = QuotaTable::new(BOUNDS, ZONES, start, tenure).with_returns(returns);
        quota_table.set_rules([(&organisation(), rule)], at(now_ms));
        Self {
            quota_table,
            is_cut_off: false,
            is_frozen: false,
        }
    }

    fn try_charge(&mut self, units: u64, now_ms: u64) -> bool {
        if self.is_frozen {
            return false;
        }
        if !self.is_cut_off {
            self.quota_table.set_sole_until(at(now_ms + HANDOVER_MS));
        }
        let mut charge = charge(units);
        charge.rank = (units % 3) as u8;
        charge.fingerprint = Some(RequestFingerprint(units));
        let is_charged = self.quota_table.charge(&charge, at(now_ms)).is_ok();
        charge.return_within_ms = 2_000;
        is_charged || self.quota_table.charge(&charge, at(now_ms)).is_ok()
    }
}

#[derive(Clone, Copy, Debug)]
enum QuotaEvent {
    /// Zone, number of calls, and units of each.
    Calls(usize, u32, u64),
    /// The holder of a zone is cut off from the log and replaced, but continues.
    Replace(usize),
    /// The holder of a zone terminates and is replaced at once.
    Terminate(usize),
    /// The holder of a zone freezes or resumes.
    Freeze(usize, bool),
    /// The operator lowers the rate.
    Rate(u64),
    /// A recent call in the zone of at most this many units did not run.
    Refund(usize, u64),
}

fn event() -> impl Strategy<Value = QuotaEvent> {
    let zone = 0..ZONES as usize;
    prop_oneof![
        12 => (zone.clone(), 1..40_u32, 1..MAX_CALL_UNITS).prop_map(|(zone, calls, units)| QuotaEvent::Calls(zone, calls, units)),
        1 => zone.clone().prop_map(QuotaEvent::Replace),
        1 => zone.clone().prop_map(QuotaEvent::Terminate),
        1 => (zone.clone(), any::<bool>()).prop_map(|(zone, frozen)| QuotaEvent::Freeze(zone, frozen)),
        1 => (500..3_000_u64).prop_map(QuotaEvent::Rate),
        1 => (zone, 1..MAX_CALL_UNITS).prop_map(|(zone, units)| QuotaEvent::Refund(zone, units)),
    ]
}

/// Runs the events; returns the times in ms and the units of all charges that were not refunded.
fn run_events(
    per_s: u64,
    burst: u64,
    returns: Option<ReturnRule>,
    events: &[(u64, QuotaEvent)],
) -> Vec<(u64, u64)> {
    let mut rule = rule(per_s, burst);
    let mut zones: Vec<Vec<Holder>> = (0..ZONES)
        .map(|_| vec![Holder::new(BucketStart::Full, &rule, returns, 0, 0)])
        .collect();
    let (mut now_ms, mut charged, mut recent) = (0, Vec::new(), Vec::new());
    for (pause_ms, event) in events {
        now_ms += pause_ms;
        match *event {
            QuotaEvent::Calls(zone, calls, units) => {
                for holder in &mut zones[zone] {
                    for _ in 0..calls {
                        if holder.try_charge(units, now_ms) {
                            charged.push((now_ms, units));
                            recent.push((now_ms, zone, units));
                        }
                    }
                }
            }
            QuotaEvent::Replace(zone) => {
                // A holder that is cut off is not replaced a second time before its successor is.
                let holders = &mut zones[zone];
                for holder in holders.iter_mut() {
                    holder.is_cut_off = true;
                }
                if holders.len() > 1 {
                    holders.remove(0);
                }
                holders.push(Holder::new(
                    BucketStart::Exhausted,
                    &rule,
                    returns,
                    now_ms,
                    HANDOVER_MS,
                ));
            }
            QuotaEvent::Terminate(zone) => {
                zones[zone] = vec![Holder::new(
                    BucketStart::Exhausted,
                    &rule,
                    returns,
                    now_ms,
                    0,
                )];
            }
            QuotaEvent::Freeze(zone, is_frozen) => {
                for holder in &mut zones[zone] {
                    holder.is_frozen = is_frozen;
                }
            }
            QuotaEvent::Rate(new_rate) => {
                // A lower rate is enforced one window later, so the check uses the highest rate, and rates only fall.
                rule.per_s = rule.per_s.min(new_rate as f64);
                for holder in zones.iter_mut().flatten() {
                    holder
                        .quota_table
                        .set_rules([(&organisation(), &rule)], at(now_ms));
                }
            }
            QuotaEvent::Refund(zone, units) => {
                // A charge within the last second is refunded.
                let mut refundable = recent.iter().rposition(|(at_ms, from, charged)| {
                    now_ms - at_ms < 1_000 && *from == zone && *charged <= units
                });
                if let Some(found) = refundable.take() {
                    let (at_ms, _, units) = recent.remove(found);
                    charged.retain({
                        let mut is_found = false;
                        move |quota_charge| {
                            let is_it = !is_found && *quota_charge == (at_ms, units);
                            is_found |= is_it;
                            !is_it
                        }
                    });
                    if let Some(holder) = zones[zone].last_mut() {
                        holder.quota_table.refund(&charge(units), at(now_ms));
                    }
                }
            }
        }
    }
    charged
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 600, rng_seed: proptest::test_runner::RngSeed::Fixed(36), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn charges_in_any_window_stay_within_the_quota(
        per_s in 2_000..80_000_u64,
        burst_s in 0..3_u64,
        events in vec((0..700_u64, event()), 1..160),
    ) {
        let burst = per_s * burst_s;
        for returns in [None, Some(RETURNS)] {
            let charged = run_events(per_s, burst, returns, &events);
            let max_units = max_units_in_window(&charged) as f64;
            let allowed_units = allowed_units(&rule(per_s, burst));
            prop_assert!(max_units <= allowed_units, "{max_units} units where {allowed_units} are allowed");
        }
    }
}

#[test]
fn normal_use_is_served_and_ten_times_as_much_is_limited_to_the_rate() {
    let rule = rule(60_000, 60_000);
    let mut holders: Vec<_> = (0..ZONES)
        .map(|_| quota_table(BucketStart::Exhausted, &rule, 0))
        .collect();
    let mut charged = [0, 0];
    for ms in (2_000..22_000).step_by(10) {
        // 33,000 units/s, and 330,000 units/s from 12 s on.
        let calls = if ms < 12_000 { 1 } else { 10 };
        for _ in 0..calls {
            let holder = &mut holders[(ms / 10) as usize % 3];
            let is_charged = holder.charge(&charge(330), at(ms)).is_ok();
            charged[usize::from(ms >= 12_000)] += u64::from(is_charged) * 330;
        }
    }
    assert_eq!(charged[0], 330_000, "normal use is served completely");
    let max_units = 60_000 * 10 + 60_000 + 60_000;
    assert!(
        (600_000..=max_units).contains(&charged[1]),
        "{}",
        charged[1]
    );
}

#[test]
fn largest_calls_are_served_at_a_low_rate() {
    let rule = rule(2_700, 2_700);
    let mut holder = quota_table(BucketStart::Full, &rule, 0);
    assert!(holder.charge(&charge(MAX_CALL_UNITS), at(0)).is_ok());
    let wait = holder
        .charge(&charge(MAX_CALL_UNITS), at(100))
        .expect_err("it has to wait");
    assert!(wait > Duration::from_secs(1), "{wait:?}");
    assert!(
        holder
            .charge(&charge(MAX_CALL_UNITS), at(100 + 6_000))
            .is_ok()
    );
}

#[test]
fn successive_holders_grant_a_single_burst() {
    let rule = rule(30_000, 30_000);
    let mut first = quota_table(BucketStart::Full, &rule, 0);
    let mut charged = 0;
    while first.charge(&charge(100), at(0)).is_ok() {
        charged += 100;
    }
    for life in 1..=20 {
        let mut holder = quota_table(BucketStart::Exhausted, &rule, life * 10);
        while holder.charge(&charge(100), at(life * 10)).is_ok() {
            charged += 100;
        }
    }
    let tolerance = 270_000.0 * 0.1 + 11_000.0;
    assert!(
        f64::from(charged) <= (30_000.0 + tolerance) / 3.0,
        "{charged}"
    );
}

#[test]
fn replaced_holder_and_its_successor_grant_half_each() {
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
    let roles = |ms| (old.role(at(ms)), new.role(at(ms)));
    use HolderRole::{Inactive, Shared, Sole};
    assert_eq!(roles(2_999), (Sole, Inactive));
    assert_eq!(roles(3_500), (Shared, Inactive));
    assert_eq!(roles(4_000), (Shared, Shared));
    assert_eq!(roles(11_000), (Inactive, Shared));
    assert_eq!(roles(12_000), (Inactive, Sole));
}

/// A holder that was paused or cut off resumes with the calls that queued up. It must grant by its role at that
/// time, and earn by the role that it had meanwhile.
#[test]
fn paused_holder_grants_nothing_and_earns_half_after_its_tenure() {
    let rule = rule(30_000, 300_000);
    let tenure = HolderTenure {
        sole_until: at(3_000),
        ..sole_tenure()
    };
    let start_table = |start| {
        let mut quota_table = QuotaTable::new(BOUNDS, ZONES, start, tenure);
        quota_table.set_rules([(&organisation(), &rule)], at(0));
        quota_table
    };
    let mut resumed = start_table(BucketStart::Full);
    assert!(resumed.charge(&charge(100), at(11_001)).is_err());
    // 3 s at 10,000 units/s and 5 s at half that rate.
    let mut late_table = start_table(BucketStart::Exhausted);
    let mut charged = 0;
    while late_table.charge(&charge(100), at(8_000)).is_ok() {
        charged += 100;
    }
    assert_eq!(charged, 55_000);
}

/// Guards against units that stay reserved for a caller that does not come back, and against a new call that takes what
/// was promised to one that does.
#[test]
fn returning_call_is_ahead_of_new_ones_until_its_time_expires() {
    let rule = rule(30_000, 30_000);
    for returns in [true, false] {
        let mut holder = quota_table(BucketStart::Full, &rule, 0).with_returns(Some(RETURNS));
        while holder.charge(&charge(1_000), at(0)).is_ok() {}
        let mut refused = charge(5_000);
        refused.fingerprint = Some(RequestFingerprint(7));
        assert!(holder.charge(&refused, at(0)).is_err());
        refused.return_within_ms = 2_000;
        let wait = holder.charge(&refused, at(0)).expect_err("it has to wait");
        let wait_ms = wait.as_millis() as u64;
        assert!(
            (400..=520).contains(&wait_ms),
            "5,000 units at 10,000/s, and 20 ms for an early caller: {wait:?}"
        );
        assert!(holder.charge(&charge(1_000), at(wait_ms - 100)).is_err());
        if returns {
            refused.return_within_ms = 0;
            assert_eq!(holder.charge(&refused, at(wait_ms + 10)), Ok(()));
            assert_eq!(holder.return_counts().kept, 1);
        } else {
            assert_eq!(holder.charge(&charge(5_000), at(wait_ms + 260)), Ok(()));
            assert_eq!(holder.return_counts().expired, 1);
        }
    }
}

/// Guards against callers with the same content that are all told the same time.
#[test]
fn calls_with_the_same_content_come_back_one_after_the_other() {
    let rule = rule(30_000, 30_000);
    let mut holder = quota_table(BucketStart::Full, &rule, 0).with_returns(Some(RETURNS));
    while holder.charge(&charge(1_000), at(0)).is_ok() {}
    let mut refused = charge(1_000);
    refused.fingerprint = Some(RequestFingerprint(7));
    refused.return_within_ms = 2_000;
    let waits = [(); 10].map(|()| holder.charge(&refused, at(0)).expect_err("it has to wait"));
    let turn = Duration::from_millis(100);
    assert!(
        waits.windows(2).all(|pair| pair[1] >= pair[0] + turn),
        "1,000 units at 10,000/s: {waits:?}"
    );
}

#[test]
fn organisation_without_a_quota_is_not_charged() {
    let mut holder = quota_table(BucketStart::Exhausted, &rule(1, 0), 0);
    let other = QuotaCharge::new(OrganisationName::new("port"), u64::MAX);
    assert_eq!(holder.charge(&other, at(0)), Ok(()));
}

/// Guards against fractions of a quota that are rounded at a holder: the shares of all zones grant what the whole allows.
#[test]
fn fractions_of_a_quota_are_exact_over_all_shares() {
    let bounds = QuotaBounds {
        window: Duration::from_secs(8),
        tolerance_ratio: 0.0,
        tolerance_units: 0.0,
    };
    let rule = QuotaRule {
        unit: QuotaUnit::Requests,
        per_s: 37.5,
        burst: 0.75,
    };
    let mut granted = 0;
    for _ in 0..ZONES {
        let mut table = QuotaTable::new(bounds, ZONES, BucketStart::Exhausted, sole_tenure());
        table.set_rules([(&organisation(), &rule)], at(0));
        // Each share of 0.25 units of burst holds no whole request, so it grants none.
        assert!(table.charge(&charge(1), at(60_000)).is_err());
        let rule = QuotaRule {
            burst: 30.0,
            ..rule
        };
        table.set_rules([(&organisation(), &rule)], at(60_000));
        for ms in 60_000..100_000 {
            granted += u32::from(table.charge(&charge(1), at(ms)).is_ok());
        }
    }
    // 40 s at 37.5, the burst of 30 is earned at that rate; each share may lack a part of one request.
    assert!((1_496..=1_500).contains(&granted), "{granted}");
}

/// Guards against charges and refunds that are rounded: after as many refunds as charges the bucket is as full as before.
#[test]
fn fractional_charges_and_refunds_are_exact() {
    let bounds = QuotaBounds {
        window: Duration::from_secs(8),
        tolerance_ratio: 0.0,
        tolerance_units: 0.0,
    };
    let rule = QuotaRule {
        unit: QuotaUnit::Tokens {
            default_tokens: 12.5,
        },
        per_s: 0.001,
        burst: 100.0,
    };
    let mut table = QuotaTable::new(bounds, 1, BucketStart::Full, sole_tenure());
    table.set_rules([(&organisation(), &rule)], at(0));
    let charge = QuotaCharge::fractional(organisation(), rule.cost(None));
    assert_eq!((charge.units, charge.exact_units()), (13, 12.5));
    for _ in 0..1_000 {
        assert!(table.charge(&charge, at(0)).is_ok());
        table.refund(&charge, at(0));
    }
    for _ in 0..8 {
        assert!(table.charge(&charge, at(0)).is_ok());
    }
    let refused = table.charge(&charge, at(0)).expect_err("an empty bucket");
    assert_eq!(refused, Duration::from_secs(5));
}

/// Guards against holders of an earlier build that can't read a charge: whole charges look as before, and a fraction is in a
/// field that they skip.
#[test]
fn charges_are_encoded_as_in_earlier_builds() {
    let encode = |charge: &QuotaCharge| serde_json::to_value(charge).expect("a charge in JSON");
    let whole = QuotaCharge::fractional(organisation(), 13.0);
    assert_eq!(whole, charge(13));
    let whole = encode(&whole);
    assert_eq!(
        whole,
        serde_json::json!({ "organisation": "mill", "units": 13 })
    );
    let fractional = encode(&QuotaCharge::fractional(organisation(), 12.5));
    assert_eq!(fractional["units"], 13);
}
