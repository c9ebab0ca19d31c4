//! Organisations' quotas over the whole fleet.
//!
//! Within any window an organisation may be served its rate times the window, plus a burst, over all VMs together. Each
//! zone's holder has an equal part of every quota, in a bucket. A call is paid for at the holder that places it, or at
//! its own zone's for a plain service, and where that bucket is empty at the other zones'. So nothing is shared out
//! ahead that a VM could keep while it is cut off, frozen or killed, buckets need not follow the load, and a part of
//! the quota is lost only while its zone has no holder.
//!
//! The sum over all VMs holds by arithmetic. A bucket with the part `p` of rate `r` and burst `b` pays out at most `p *
//! (r * window + b)` in a window, and what it may owe, `p * DEBT_PART * spare`, where `spare` is what the users' rule
//! leaves beyond the quota. It begins empty and in full debt, since nobody knows what the holder before it paid out;
//! only at the very first start of a fleet is it full. A holder that may have been replaced, and one that may have a
//! predecessor, pay out half of their part, so that both together have one.

use crate::ids::{Instant, OrganisationName};
use serde::{Deserialize, Serialize};
use std::{collections::HashMap, time::Duration};

/// Part of what the rule leaves beyond a quota that buckets may owe. An organisation with a small rate has calls that
/// are larger than its part of the burst, so without debt they were never paid for: a rate of 2,700 tokens a second, in
/// three parts, has buckets of 900 and calls of up to 4,400. The rest covers what is given back in another window than
/// it was paid in.
const DEBT_PART: f64 = 0.8;
/// Part of its rate that a holder pays out while there may be two.
const SHARED_HOLD: f64 = 0.5;
/// Time after a payment in which it is given back for a call that did not run: what comes later would be paid out in another
/// window.
pub const REFUND_WINDOW: Duration = Duration::from_secs(1);
/// Shortest and longest time after which a call beyond a quota is told to come back.
const COME_BACK_LEAST: Duration = Duration::from_millis(100);
const COME_BACK_MOST: Duration = Duration::from_secs(5);
/// Time after which the bucket of an organisation that is no longer named is forgotten: longer than any window.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(600);

/// What a quota counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaUnit {
    /// Requests.
    Requests,
    /// Tokens, in and out.
    Tokens {
        /// Tokens of a request that does not tell how many it has.
        default_tokens: u64,
    },
}

/// What an organisation may ask for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaRule {
    /// What is counted.
    pub unit: QuotaUnit,
    /// Units a second.
    pub per_s: u64,
    /// Units beside those.
    pub burst: u64,
}

impl QuotaRule {
    /// Units of a request; `tokens` where it tells them.
    #[must_use]
    pub fn cost(&self, tokens: Option<u64>) -> u64 {
        match self.unit {
            QuotaUnit::Requests => 1,
            QuotaUnit::Tokens {
                default_tokens: plain,
            } => tokens.unwrap_or(plain),
        }
    }
}

/// How exactly quotas have to be kept, for all organisations.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaBounds {
    /// Length of the window.
    pub window: Duration,
    /// Part by which a quota may be passed in a window.
    pub tolerance_ratio: f64,
    /// Units by which it may be passed beside that.
    pub tolerance_units: f64,
}

/// A call's charge to its organisation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaCharge {
    /// The organisation.
    pub organisation: OrganisationName,
    /// Units.
    pub units: u64,
}

/// How a bucket begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BucketStart {
    /// Nobody has paid anything out.
    Full,
    /// Nobody knows what was paid out.
    Exhausted,
}

/// How much of its part a holder pays out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HolderShare {
    /// All: there is no other.
    Sole,
    /// Half: there may be another, which pays out the other half.
    Shared,
    /// Nothing.
    Inactive,
}

impl HolderShare {
    /// Part of its part that a holder pays out.
    fn paid_part(self) -> f64 {
        match self {
            Self::Sole => 1.0,
            Self::Shared => SHARED_HOLD,
            Self::Inactive => 0.0,
        }
    }
}

/// How long a holder's standing lasts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HolderTenure {
    /// Until when it is known that no other VM was the zone's holder.
    pub sole_until: Instant,
    /// From when on it may act as the zone's holder.
    pub active_from: Instant,
    /// Whether the holder before it may still be at work.
    pub has_predecessor: bool,
    /// Longest time for which such a holder pays out half.
    pub window: Duration,
}

impl HolderTenure {
    /// The standing now.
    #[must_use]
    pub fn share(&self, now: Instant) -> HolderShare {
        let is_early = self.has_predecessor && now < self.active_from.after(self.window);
        if now < self.active_from || now >= self.sole_until.after(self.window) {
            HolderShare::Inactive
        } else if is_early || now >= self.sole_until {
            HolderShare::Shared
        } else {
            HolderShare::Sole
        }
    }

    /// Seconds for which the whole part is paid out between two times; where only half of it is, half of them.
    fn paid_seconds(&self, from: Instant, to: Instant) -> f64 {
        let mut turns = [
            from,
            self.active_from,
            self.active_from.after(self.window),
            self.sole_until,
            self.sole_until.after(self.window),
            to,
        ]
        .map(|turn| turn.clamp(from, to.max(from)));
        turns.sort();
        let spans = turns.windows(2).map(|span| {
            let seconds = span[1].since(span[0]).as_secs_f64();
            seconds * self.share(span[0]).paid_part()
        });
        spans.sum()
    }
}

/// The part of one quota that a holder has.
#[derive(Clone, Copy, Debug)]
struct QuotaPart {
    per_s: f64,
    most: f64,
    debt: f64,
}

/// One organisation's bucket at a holder.
#[derive(Clone, Copy, Debug)]
struct QuotaBucket {
    part: QuotaPart,
    /// Units that may be paid out; below zero what is owed.
    level: f64,
    at: Instant,
    paid: u64,
    refused: u64,
}

impl QuotaBucket {
    /// Fills it up to now.
    fn fill(&mut self, times: &HolderTenure, now: Instant) {
        let earned = times.paid_seconds(self.at, now) * self.part.per_s;
        self.level = (self.level + earned).min(self.part.most);
        self.at = now;
    }
}

/// What a bucket has paid out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BucketCounts {
    /// Units paid out.
    pub paid: u64,
    /// Units that were asked for and not paid.
    pub refused: u64,
}

/// A holder's part of every quota.
#[derive(Clone, Debug)]
pub struct QuotaLedger {
    bounds: QuotaBounds,
    /// Parts that each quota has.
    parts: u32,
    start: BucketStart,
    times: HolderTenure,
    buckets: HashMap<OrganisationName, QuotaBucket>,
}

impl QuotaLedger {
    /// A ledger with one of `parts` parts of every quota.
    #[must_use]
    pub fn new(bounds: QuotaBounds, parts: u32, start: BucketStart, times: HolderTenure) -> Self {
        Self {
            bounds,
            parts: parts.max(1),
            start,
            times,
            buckets: HashMap::new(),
        }
    }

    /// Until then it is known that no other VM was the zone's holder.
    pub fn set_sole_until(&mut self, time: Instant) {
        self.times.sole_until = time;
    }

    fn part(&self, rule: &QuotaRule) -> QuotaPart {
        let parts = f64::from(self.parts);
        let (per_s, burst) = (rule.per_s as f64, rule.burst as f64);
        let quota = per_s * self.bounds.window.as_secs_f64() + burst;
        let spare = quota * self.bounds.tolerance_ratio + self.bounds.tolerance_units;
        QuotaPart {
            per_s: per_s / parts,
            most: burst / parts,
            debt: spare * DEBT_PART / parts,
        }
    }

    /// Takes over the quotas in force. A lower one counts at once, and a higher one fills from now on. An organisation
    /// that is new has paid nothing out as far as this holder knows, and another one may know better.
    pub fn set_rules<'a>(
        &mut self,
        quotas: impl IntoIterator<Item = (&'a OrganisationName, &'a QuotaRule)>,
        now: Instant,
    ) {
        for (name, rule) in quotas {
            let part = self.part(rule);
            let first = match self.start {
                BucketStart::Full => part.most,
                BucketStart::Exhausted => -part.debt,
            };
            let bucket = self.buckets.entry(name.clone()).or_insert(QuotaBucket {
                part,
                level: first,
                at: now,
                paid: 0,
                refused: 0,
            });
            bucket.fill(&self.times, now);
            bucket.part = part;
            bucket.level = bucket.level.min(part.most);
        }
        self.start = BucketStart::Exhausted;
        self.buckets
            .retain(|_, bucket| now.since(bucket.at) < FORGOTTEN_AFTER);
    }

    /// Pays a charge; one of an organisation without a quota costs nothing.
    ///
    /// # Errors
    /// When the bucket has too little: the time until it has enough.
    pub fn charge(&mut self, charge: &QuotaCharge, now: Instant) -> Result<(), Duration> {
        let Some(bucket) = self.buckets.get_mut(&charge.organisation) else {
            return Ok(());
        };
        bucket.fill(&self.times, now);
        let units = charge.units as f64;
        let missing = units - (bucket.level + bucket.part.debt);
        if missing <= 0.0 && self.times.share(now) != HolderShare::Inactive {
            bucket.level -= units;
            bucket.paid += charge.units;
            return Ok(());
        }
        bucket.refused += charge.units;
        let wait = missing / bucket.part.per_s.max(1.0);
        let wait = Duration::from_secs_f64(wait.clamp(0.0, COME_BACK_MOST.as_secs_f64()));
        Err(wait.max(COME_BACK_LEAST))
    }

    /// Gives a charge back whose call did not run.
    pub fn refund(&mut self, charge: &QuotaCharge, now: Instant) {
        if let Some(bucket) = self.buckets.get_mut(&charge.organisation) {
            bucket.fill(&self.times, now);
            bucket.level = (bucket.level + charge.units as f64).min(bucket.part.most);
            bucket.paid = bucket.paid.saturating_sub(charge.units);
        }
    }

    /// What every bucket has paid out.
    pub fn counts(&self) -> impl Iterator<Item = (&OrganisationName, BucketCounts)> {
        self.buckets.iter().map(|(name, bucket)| {
            let counts = BucketCounts {
                paid: bucket.paid,
                refused: bucket.refused,
            };
            (name, counts)
        })
    }
}
