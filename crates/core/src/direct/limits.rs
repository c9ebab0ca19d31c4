//! Rate limits that targets advertise: how many requests per second a target accepts from all VMs together.
//!
//! Each call that a holder places takes a token from its target's bucket. The bucket may go into debt: the call then
//! waits for its token before it is sent. That wait is part of the target's cost, so another target takes the call if
//! it is cheaper. Reaching a limit is no failure, so limits do not affect a target's health.

use crate::ids::{Instant, TargetName, TargetRun};
use serde::{Deserialize, Serialize};
use std::{collections::HashMap, time::Duration};

/// Capacity of a full bucket, in tokens.
const BURST: f64 = 2.0;
/// Lowest rate that is used: an occasional request shows whether a limit of zero still holds.
const MIN_RATE_PER_S: f64 = 0.1;
/// Time after an answer with a limit during which an answer without one may have been created earlier and does not lift
/// the limit.
const LIFT_DELAY: Duration = Duration::from_secs(1);

/// Request rate in thousandths of a request per second.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestRate(u64);

impl RequestRate {
    /// A rate in requests per second; `None` if it is negative or not finite.
    #[must_use]
    pub fn per_second(rate: f64) -> Option<Self> {
        let is_rate = rate.is_finite() && rate >= 0.0;
        is_rate.then_some(Self((rate * 1000.0) as u64))
    }

    /// Requests per second.
    #[must_use]
    pub fn as_f64(self) -> f64 {
        self.0 as f64 / 1000.0
    }
}

/// Rate limit in an answer of a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdvertisedLimit {
    /// The target and its life.
    pub run: TargetRun,
    /// Requests per second; `None` if the answer has no limit.
    pub rate: Option<RequestRate>,
}

#[derive(Clone, Debug)]
struct LimitRow {
    run: TargetRun,
    rate: RequestRate,
    /// When an answer last contained the limit.
    advertised_at: Instant,
    /// Tokens; negative while calls wait for theirs.
    level: f64,
    /// When the tokens were last counted.
    counted_at: Instant,
}

impl LimitRow {
    fn per_s(&self, share: f64) -> f64 {
        self.rate.as_f64().max(MIN_RATE_PER_S) * share
    }

    fn level(&self, share: f64, now: Instant) -> f64 {
        let refill = now.since(self.counted_at).as_secs_f64() * self.per_s(share);
        // A share below one token must still allow an occasional request.
        (self.level + refill).min((BURST * share).max(1.0))
    }
}

/// Token buckets for the rate limits of targets.
#[derive(Clone, Debug)]
pub struct RateLimitTable {
    rows: HashMap<TargetName, LimitRow>,
    /// Share of each limit that may be used here.
    share: f64,
}

impl Default for RateLimitTable {
    fn default() -> Self {
        Self::with_share(1.0)
    }
}

impl RateLimitTable {
    /// A table that uses a share of each limit, between 0 and 1.
    #[must_use]
    pub fn with_share(share: f64) -> Self {
        Self {
            rows: HashMap::new(),
            share,
        }
    }

    /// Sets the share of each limit that may be used here; other VMs use the rest.
    pub fn set_share(&mut self, share: f64) {
        self.share = share;
    }

    /// Records the limit in an answer; returns whether it changed.
    pub fn record(&mut self, advertised: &AdvertisedLimit, now: Instant) -> bool {
        let name = &advertised.run.name;
        let previous = self.rows.get(name);
        if previous.is_some_and(|row| row.run.life > advertised.run.life) {
            return false;
        }
        let is_same_life = previous.is_some_and(|row| row.run == advertised.run);
        let Some(rate) = advertised.rate else {
            let is_removed = previous
                .is_some_and(|row| !is_same_life || now.since(row.advertised_at) >= LIFT_DELAY);
            if is_removed {
                self.rows.remove(name);
            }
            return is_removed;
        };
        let share = self.share;
        let Some(row) = self.rows.get_mut(name).filter(|_| is_same_life) else {
            let row = LimitRow {
                run: advertised.run.clone(),
                rate,
                advertised_at: now,
                level: 0.0,
                counted_at: now,
            };
            self.rows.insert(name.clone(), row);
            return true;
        };
        row.level = row.level(share, now);
        row.counted_at = now;
        row.advertised_at = now;
        let has_changed = row.rate != rate;
        row.rate = rate;
        has_changed
    }

    /// Whether a limit is in force for a target.
    #[must_use]
    pub fn is_limited(&self, target: &TargetName) -> bool {
        self.rows.contains_key(target)
    }

    /// Time until the next request to a target may be sent.
    #[must_use]
    pub fn wait(&self, target: &TargetName, now: Instant) -> Duration {
        self.rows.get(target).map_or(Duration::ZERO, |row| {
            let shortfall = (1.0 - row.level(self.share, now)).max(0.0);
            Duration::from_secs_f64(shortfall / row.per_s(self.share))
        })
    }

    /// Takes a token for a request that is sent after [`wait`](Self::wait).
    pub fn take_token(&mut self, target: &TargetName, now: Instant) {
        let share = self.share;
        if let Some(row) = self.rows.get_mut(target) {
            row.level = row.level(share, now) - 1.0;
            row.counted_at = now;
        }
    }

    /// Keeps the limits of the targets that match.
    pub fn retain(&mut self, keep: impl Fn(&TargetRun) -> bool) {
        self.rows.retain(|_, row| keep(&row.run));
    }

    /// The limits in force, to be sent to another VM.
    pub fn advertised(&self) -> impl Iterator<Item = AdvertisedLimit> + '_ {
        self.rows.values().map(|row| AdvertisedLimit {
            run: row.run.clone(),
            rate: Some(row.rate),
        })
    }
}
