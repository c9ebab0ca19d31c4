//! Quotas of organisations over the whole fleet.
//!
//! Within any window, all VMs together may serve an organisation its rate times the window, plus a burst. The holder of
//! each zone has an equal share of every quota in a token bucket. A call is charged at the holder that places it, or at
//! the holder of its own zone for a plain service, and at the holders of other zones if that bucket is empty. No quota
//! is handed out in advance to VMs, so none is kept by a VM that is cut off, frozen or killed. Buckets need not follow
//! the load, and part of a quota is lost only while its zone has no holder.
//!
//! The bound on the sum over all VMs is arithmetic. A bucket with share `p` of rate `r` and burst `b` grants at most
//! `p * (r * window + b)` in a window, plus its largest debt `p * DEBT_RATIO * tolerance`, where `tolerance` is what
//! [`QuotaBounds`] allows beyond the quota. A bucket starts empty and in full debt, because what the previous holder
//! granted is unknown; it starts full only at the first start of a fleet. A holder that may have been replaced and a
//! holder that may have a predecessor each grant half of their share, so that together they grant one share.
//!
//! With a [`ReturnRule`], a bucket pays out in order: more urgent calls of the organisation first
//! ([`RankReserve`](super::rank_reserve)), and calls that come back at their return time before new ones of their rank
//! ([`ReturnSchedule`](super::return_schedule)). Both only refuse calls that the bucket could pay, so the bound holds.

use crate::{
    direct::{
        rank_reserve::RankReserve,
        return_schedule::{RankCapacity, ReturnCounts, ReturnRequest, ReturnRule, ReturnSchedule},
        suspects::RequestFingerprint,
    },
    ids::{Instant, OrganisationName},
};
use serde::{Deserialize, Serialize};
use std::{collections::HashMap, time::Duration};

/// Part of the tolerance beyond a quota that buckets may owe. Calls of an organisation with a low rate can be larger
/// than its share of the burst and could never be charged without debt: a rate of 2,700 tokens/s in three shares gives
/// buckets of 900 tokens, and calls have up to 4,400. The rest of the tolerance covers refunds in a later window than
/// the charge.
const DEBT_RATIO: f64 = 0.8;
/// Ratio of its share of a quota that a holder grants while there may be two holders.
const SHARED_RATIO: f64 = 0.5;
/// Time after a charge within which it is refunded for a call that did not run. A later refund would be granted in
/// another window.
pub const REFUND_WINDOW: Duration = Duration::from_secs(1);
/// Bounds of the time after which a caller beyond its quota should retry.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);
/// Fractions of charges are exact to a millionth of a unit.
const MILLION: f64 = 1e6;
/// Time after which the bucket of an organisation that is no longer configured is dropped; longer than any window.
const BUCKET_TTL: Duration = Duration::from_secs(600);

/// Unit that a quota counts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum QuotaUnit {
    /// Requests.
    Requests,
    /// Input and output tokens.
    Tokens {
        /// Tokens charged for a request that does not state its number of tokens.
        default_tokens: f64,
    },
}

/// Quota of an organisation. Its numbers may have fractions.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaRule {
    /// Unit of the rate and of the burst.
    pub unit: QuotaUnit,
    /// Units per second.
    pub per_s: f64,
    /// Units allowed in addition to the rate.
    pub burst: f64,
}

impl QuotaRule {
    /// Units of a request; `tokens` is the number of tokens it states, if any.
    #[must_use]
    pub fn cost(&self, tokens: Option<u64>) -> f64 {
        match self.unit {
            QuotaUnit::Requests => 1.0,
            QuotaUnit::Tokens { default_tokens } => {
                tokens.map_or(default_tokens, |tokens| tokens as f64)
            }
        }
    }
}

/// Tolerance for quotas, the same for all organisations.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaBounds {
    /// Length of the sliding window.
    pub window: Duration,
    /// Part of a quota by which it may be exceeded in a window.
    pub tolerance_ratio: f64,
    /// Units by which it may be exceeded in addition.
    pub tolerance_units: f64,
}

/// Charge of a call to its organisation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaCharge {
    /// Organisation that is charged.
    pub organisation: OrganisationName,
    /// Units charged, rounded up. Holders of builds without the next field charge these.
    pub units: u64,
    /// What the rounding added, in millionths of a unit.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub rounding_millionths: u32,
    /// Rank of the call's route; 0 is the most urgent.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub rank: u8,
    /// Fingerprint of the request content, by which a refused call is recognised when it comes back.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fingerprint: Option<RequestFingerprint>,
    /// Longest time after which the caller comes back in time if the call is refused, in milliseconds; 0 if it asks for no
    /// return time yet.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub return_within_ms: u32,
}

fn is_zero<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}

impl QuotaCharge {
    /// A charge of the most urgent rank, without a return time.
    #[must_use]
    pub fn new(organisation: OrganisationName, units: u64) -> Self {
        Self {
            organisation,
            units,
            rounding_millionths: 0,
            rank: 0,
            fingerprint: None,
            return_within_ms: 0,
        }
    }

    /// A charge of units that may have a fraction, of the most urgent rank, without a return time.
    #[must_use]
    pub fn fractional(organisation: OrganisationName, units: f64) -> Self {
        let whole = units.ceil();
        Self {
            rounding_millionths: ((whole - units) * MILLION).round() as u32,
            ..Self::new(organisation, whole as u64)
        }
    }

    /// Units charged, with their fraction.
    #[must_use]
    pub fn exact_units(&self) -> f64 {
        self.units as f64 - f64::from(self.rounding_millionths) / MILLION
    }
}

/// Initial level of buckets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BucketStart {
    /// There were no earlier charges, so buckets start full.
    Full,
    /// Earlier charges are unknown, so buckets start in full debt.
    Exhausted,
}

/// Role of a holder, which decides how much of its share it grants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HolderRole {
    /// All, as there is no other holder.
    Sole,
    /// Half, as another holder may grant the other half.
    Shared,
    /// Nothing.
    Inactive,
}

impl HolderRole {
    fn granted_ratio(self) -> f64 {
        match self {
            Self::Sole => 1.0,
            Self::Shared => SHARED_RATIO,
            Self::Inactive => 0.0,
        }
    }
}

/// Period in which a VM is the holder of a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HolderTenure {
    /// Time until which no other VM can be the holder.
    pub sole_until: Instant,
    /// Time from which this VM may act as the holder.
    pub active_from: Instant,
    /// Whether the previous holder may still be active.
    pub has_predecessor: bool,
    /// Longest time for which two holders share one quota share.
    pub window: Duration,
}

impl HolderTenure {
    /// Role of the holder at `now`.
    #[must_use]
    pub fn role(&self, now: Instant) -> HolderRole {
        let is_handover = self.has_predecessor && now < self.active_from.after(self.window);
        if now < self.active_from || now >= self.sole_until.after(self.window) {
            HolderRole::Inactive
        } else if is_handover || now >= self.sole_until {
            HolderRole::Shared
        } else {
            HolderRole::Sole
        }
    }

    /// Seconds between two times, weighted by the ratio of the share that is granted.
    fn granted_seconds(&self, from: Instant, to: Instant) -> f64 {
        let mut boundaries = [
            from,
            self.active_from,
            self.active_from.after(self.window),
            self.sole_until,
            self.sole_until.after(self.window),
            to,
        ]
        .map(|boundary| boundary.clamp(from, to.max(from)));
        boundaries.sort();
        let spans = boundaries.windows(2).map(|span| {
            let seconds = span[1].since(span[0]).as_secs_f64();
            seconds * self.role(span[0]).granted_ratio()
        });
        spans.sum()
    }
}

/// A holder's share of one quota.
#[derive(Clone, Copy, Debug)]
struct QuotaShare {
    per_s: f64,
    capacity: f64,
    debt: f64,
}

/// Bucket of one organisation at a holder.
#[derive(Clone, Debug)]
struct QuotaBucket {
    share: QuotaShare,
    /// Units that may be granted; negative for a debt.
    level: f64,
    filled_at: Instant,
    granted: f64,
    refused: f64,
    reserve: RankReserve,
    returns: ReturnSchedule,
}

impl QuotaBucket {
    /// Adds the units earned up to `now`.
    fn fill(&mut self, tenure: &HolderTenure, now: Instant) {
        let earned = tenure.granted_seconds(self.filled_at, now) * self.share.per_s;
        self.level = (self.level + earned).min(self.share.capacity);
        self.filled_at = now;
    }

    /// Units that may be charged now.
    fn available(&self) -> f64 {
        self.level + self.share.debt
    }

    /// Units that a call has to leave for other ranks. A full bucket pays for every call.
    fn reserved(&self, charge: &QuotaCharge, rule: &ReturnRule, now: Instant) -> f64 {
        let reserved = self
            .reserve
            .reserved_units(charge.rank, rule.urgent_reserve, now);
        let room = self.share.capacity + self.share.debt - charge.exact_units();
        reserved.min(room.max(0.0))
    }

    /// Capacity for calls of a rank, without what is reserved for other ranks.
    fn rank_capacity(
        &self,
        charge: &QuotaCharge,
        rule: &ReturnRule,
        role: HolderRole,
        now: Instant,
    ) -> RankCapacity {
        let per_s = self.share.per_s * role.granted_ratio();
        RankCapacity {
            level: self.available() - self.reserved(charge, rule, now),
            per_s: self.reserve.left_per_s(charge.rank, per_s, now),
        }
    }

    /// Whether a call that the bucket can pay is next in order; a later one is refused.
    fn is_next(
        &mut self,
        charge: &QuotaCharge,
        rule: &ReturnRule,
        role: HolderRole,
        now: Instant,
    ) -> bool {
        let fingerprint = charge.fingerprint.unwrap_or_default();
        let units = charge.exact_units();
        if self.returns.is_returning(fingerprint, charge.rank, now) {
            return true;
        }
        let has_floor = self.reserve.floor_covers(charge.rank, units);
        if has_floor && !self.returns.has_due(charge.rank, now) {
            return true;
        }
        let capacity = self.rank_capacity(charge, rule, role, now);
        self.returns.free_units(capacity, charge.rank, now) >= units
    }

    /// Time after which a refused call should come back.
    fn return_time(
        &mut self,
        charge: &QuotaCharge,
        rule: &ReturnRule,
        role: HolderRole,
        now: Instant,
    ) -> Duration {
        let request = ReturnRequest {
            fingerprint: charge.fingerprint.unwrap_or_default(),
            rank: charge.rank,
            units: charge.exact_units(),
            within: Duration::from_millis(u64::from(charge.return_within_ms)),
        };
        let capacity = self.rank_capacity(charge, rule, role, now);
        self.returns.assign(&request, capacity, rule, now)
    }
}

/// Totals of one bucket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BucketCounts {
    /// Units granted, less refunds.
    pub granted: u64,
    /// Units requested and refused.
    pub refused: u64,
}

/// A holder's share of every quota.
#[derive(Clone, Debug)]
pub struct QuotaTable {
    bounds: QuotaBounds,
    /// Number of shares of each quota.
    shares: u32,
    start: BucketStart,
    tenure: HolderTenure,
    /// Order in which buckets pay out; none for the order of arrival.
    return_rule: Option<ReturnRule>,
    buckets: HashMap<OrganisationName, QuotaBucket>,
}

impl QuotaTable {
    /// A table with one of `shares` shares of every quota.
    #[must_use]
    pub fn new(bounds: QuotaBounds, shares: u32, start: BucketStart, tenure: HolderTenure) -> Self {
        Self {
            bounds,
            shares: shares.max(1),
            start,
            tenure,
            return_rule: None,
            buckets: HashMap::new(),
        }
    }

    /// The table with buckets that pay out by rank and return time.
    #[must_use]
    pub fn with_returns(mut self, rule: Option<ReturnRule>) -> Self {
        self.return_rule = rule;
        self
    }

    /// Extends the time until which no other VM can be the zone's holder.
    pub fn set_sole_until(&mut self, time: Instant) {
        self.tenure.sole_until = time;
    }

    fn share(&self, rule: &QuotaRule) -> QuotaShare {
        let shares = f64::from(self.shares);
        let QuotaRule { per_s, burst, .. } = *rule;
        let quota = per_s * self.bounds.window.as_secs_f64() + burst;
        let tolerance = quota * self.bounds.tolerance_ratio + self.bounds.tolerance_units;
        QuotaShare {
            per_s: per_s / shares,
            capacity: burst / shares,
            debt: tolerance * DEBT_RATIO / shares,
        }
    }

    /// Applies the quotas in force. A lower quota holds at once, a higher one fills from now on. The bucket of a new
    /// organisation starts full only at the first start of a fleet: another holder may have granted its quota already.
    pub fn set_rules<'a>(
        &mut self,
        quotas: impl IntoIterator<Item = (&'a OrganisationName, &'a QuotaRule)>,
        now: Instant,
    ) {
        for (name, rule) in quotas {
            let share = self.share(rule);
            let initial_level = match self.start {
                BucketStart::Full => share.capacity,
                BucketStart::Exhausted => -share.debt,
            };
            let bucket = self.buckets.entry(name.clone()).or_insert(QuotaBucket {
                share,
                level: initial_level,
                filled_at: now,
                granted: 0.0,
                refused: 0.0,
                reserve: RankReserve::default(),
                returns: ReturnSchedule::default(),
            });
            bucket.fill(&self.tenure, now);
            bucket.share = share;
            bucket.level = bucket.level.min(share.capacity);
        }
        self.start = BucketStart::Exhausted;
        self.buckets
            .retain(|_, bucket| now.since(bucket.filled_at) < BUCKET_TTL);
    }

    /// Takes a charge from its bucket; an organisation without a quota is not charged.
    ///
    /// # Errors
    /// The time until the bucket has enough, if it has too little.
    pub fn charge(&mut self, charge: &QuotaCharge, now: Instant) -> Result<(), Duration> {
        let Some(bucket) = self.buckets.get_mut(&charge.organisation) else {
            return Ok(());
        };
        bucket.fill(&self.tenure, now);
        let role = self.tenure.role(now);
        let units = charge.exact_units();
        let return_rule = self.return_rule.filter(|_| role != HolderRole::Inactive);
        if return_rule.is_some() {
            bucket.returns.expire(now);
            let per_s = bucket.share.per_s * role.granted_ratio();
            bucket.reserve.record_asked(charge.rank, units, per_s, now);
        }
        let shortfall = units - bucket.available();
        let is_payable = shortfall <= 0.0 && role != HolderRole::Inactive;
        if is_payable && return_rule.is_none_or(|rule| bucket.is_next(charge, &rule, role, now)) {
            bucket.level -= units;
            bucket.granted += units;
            if return_rule.is_some() {
                bucket.reserve.record_charged(charge.rank, units);
                let fingerprint = charge.fingerprint.unwrap_or_default();
                bucket.returns.keep(fingerprint, charge.rank, now);
            }
            return Ok(());
        }
        // The request for a return time repeats a charge that was refused and counted already.
        if charge.return_within_ms == 0 {
            bucket.refused += units;
        }
        if let Some(rule) = return_rule {
            return Err(bucket.return_time(charge, &rule, role, now));
        }
        let wait = shortfall / bucket.share.per_s.max(f64::MIN_POSITIVE);
        let wait = Duration::from_secs_f64(wait.clamp(0.0, MAX_RETRY_AFTER.as_secs_f64()));
        Err(wait.max(MIN_RETRY_AFTER))
    }

    /// Refunds the charge of a call that did not run.
    pub fn refund(&mut self, charge: &QuotaCharge, now: Instant) {
        if let Some(bucket) = self.buckets.get_mut(&charge.organisation) {
            bucket.fill(&self.tenure, now);
            bucket.level = (bucket.level + charge.exact_units()).min(bucket.share.capacity);
            bucket.granted = (bucket.granted - charge.exact_units()).max(0.0);
            if self.return_rule.is_some() {
                let units = charge.exact_units();
                bucket.reserve.record_refunded(charge.rank, units);
            }
        }
    }

    /// Totals of every bucket.
    pub fn counts(&self) -> impl Iterator<Item = (&OrganisationName, BucketCounts)> {
        self.buckets.iter().map(|(name, bucket)| {
            let counts = BucketCounts {
                granted: bucket.granted.round() as u64,
                refused: bucket.refused.round() as u64,
            };
            (name, counts)
        })
    }

    /// What became of the return times of all organisations.
    #[must_use]
    pub fn return_counts(&self) -> ReturnCounts {
        let counts = self.buckets.values().map(|bucket| bucket.returns.counts());
        counts.fold(ReturnCounts::default(), ReturnCounts::plus)
    }
}
