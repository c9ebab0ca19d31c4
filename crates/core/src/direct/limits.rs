//! Rate limits that targets advertise: how many requests per second a target accepts from all VMs together.
//!
//! Each call that a holder places takes a token from its target's bucket. The bucket may go into debt: the call then
//! waits for its token before it is sent. That wait is part of the target's cost, so another target takes the call if
//! it is cheaper. Reaching a limit is no failure, so limits do not affect a target's health.
//!
//! A target may also state how many requests per second it can reject; calls to it are limited by a
//! [`RejectionGate`].

use crate::{
    direct::rejections::RejectionGate,
    ids::{Instant, TargetName, TargetRun},
};
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
    /// Requests per second that the target can reject without crashing; `None` if the answer does not state it.
    #[serde(default)]
    pub max_rejections_per_s: Option<u32>,
}

impl AdvertisedLimit {
    /// Whether the answer states any limit.
    #[must_use]
    pub fn is_limit(&self) -> bool {
        self.rate.is_some() || self.max_rejections_per_s.is_some()
    }
}

#[derive(Clone, Debug)]
struct LimitRow {
    run: TargetRun,
    rate: Option<RequestRate>,
    /// Present if the target states how many requests it can reject.
    gate: Option<RejectionGate>,
    /// When an answer last contained the limit.
    advertised_at: Instant,
    /// Tokens; negative while calls wait for theirs.
    level: f64,
    /// When the tokens were last counted.
    counted_at: Instant,
}

impl LimitRow {
    fn per_s(&self, share: f64) -> f64 {
        self.rate.map_or(f64::INFINITY, |rate| {
            rate.as_f64().max(MIN_RATE_PER_S) * share
        })
    }

    fn max_rejections_per_s(&self) -> Option<u32> {
        self.gate.as_ref().map(RejectionGate::max_per_s)
    }

    fn level(&self, share: f64, now: Instant) -> f64 {
        if self.rate.is_none() {
            return BURST;
        }
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

    /// Records the limits in an answer, while this many calls are in flight at the target; returns whether they changed.
    pub fn record(&mut self, advertised: &AdvertisedLimit, in_flight: u32, now: Instant) -> bool {
        let name = &advertised.run.name;
        let previous = self.rows.get(name);
        if previous.is_some_and(|row| row.run.life > advertised.run.life) {
            return false;
        }
        let is_same_life = previous.is_some_and(|row| row.run == advertised.run);
        if !advertised.is_limit() {
            let is_removed = previous
                .is_some_and(|row| !is_same_life || now.since(row.advertised_at) >= LIFT_DELAY);
            if is_removed {
                self.rows.remove(name);
            }
            return is_removed;
        }
        let rate = advertised.rate;
        let max_rejections = advertised.max_rejections_per_s;
        let share = self.share;
        let Some(row) = self.rows.get_mut(name).filter(|_| is_same_life) else {
            let row = LimitRow {
                run: advertised.run.clone(),
                rate,
                gate: max_rejections.map(|max| RejectionGate::new(max, in_flight)),
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
        let has_changed = row.rate != rate || row.max_rejections_per_s() != max_rejections;
        row.rate = rate;
        match (&mut row.gate, max_rejections) {
            (Some(gate), Some(max)) => gate.set_max_per_s(max),
            (gate, max) => *gate = max.map(|max| RejectionGate::new(max, in_flight)),
        }
        has_changed
    }

    /// Whether a call may be sent to a target besides those in flight.
    #[must_use]
    pub fn admits(&self, target: &TargetName, in_flight: u32, now: Instant) -> bool {
        let gate = self.rows.get(target).and_then(|row| row.gate.as_ref());
        gate.is_none_or(|gate| gate.admits(in_flight, now))
    }

    /// Time until a target that admits no call now may admit one, as far as that is known.
    #[must_use]
    pub fn admission_wait(&self, target: &TargetName, now: Instant) -> Duration {
        let gate = self.rows.get(target).and_then(|row| row.gate.as_ref());
        gate.map_or(Duration::ZERO, |gate| gate.wait(now))
    }

    /// Records that a target accepted or rejected a call while this many, with that call, were in flight.
    pub fn record_outcome(
        &mut self,
        target: &TargetName,
        is_accepted: bool,
        in_flight: u32,
        now: Instant,
    ) {
        let gate = self.rows.get_mut(target).and_then(|row| row.gate.as_mut());
        match gate {
            Some(gate) if is_accepted => gate.record_accepted(in_flight, now),
            Some(gate) => gate.record_rejected(in_flight, now),
            None => {}
        }
    }

    /// Whether a limit is in force for a target.
    #[must_use]
    pub fn is_limited(&self, target: &TargetName) -> bool {
        self.rows.contains_key(target)
    }

    /// Time until the next request to a target may be sent.
    #[must_use]
    pub fn wait(&self, target: &TargetName, now: Instant) -> Duration {
        let row = self.rows.get(target).filter(|row| row.rate.is_some());
        row.map_or(Duration::ZERO, |row| {
            let shortfall = (1.0 - row.level(self.share, now)).max(0.0);
            Duration::from_secs_f64(shortfall / row.per_s(self.share))
        })
    }

    /// Takes a token for a request that is sent at `sent_at`, after [`wait`](Self::wait) at the earliest.
    pub fn take_token(&mut self, target: &TargetName, sent_at: Instant, now: Instant) {
        let share = self.share;
        if let Some(row) = self.rows.get_mut(target) {
            row.level = row.level(share, now) - 1.0;
            row.counted_at = now;
            if let Some(gate) = &mut row.gate {
                gate.record_sent(sent_at, now);
            }
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
            rate: row.rate,
            max_rejections_per_s: row.max_rejections_per_s(),
        })
    }
}
