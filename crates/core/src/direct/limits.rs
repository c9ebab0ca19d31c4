//! Limits that targets name: how many requests a second one takes from all VMs together.
//!
//! Each call that a holder places takes a token from its target's bucket. A bucket may owe: then the call waits for its token
//! before it is sent, and that wait is part of what the target costs, so that another one takes the call where that is
//! better. A target with a limit is not sick, so its limit says nothing about its health.

use crate::ids::{Instant, TargetName, TargetRun};
use serde::{Deserialize, Serialize};
use std::{collections::HashMap, time::Duration};

/// Tokens of a bucket that has rested.
const BURST: f64 = 2.0;
/// Rate of a target that names none above it: now and then one request tells whether its limit still holds.
const LEAST_PER_S: f64 = 0.1;
/// Time after an answer that named a limit in which one that names none may have been made before it.
const LIFTED_AFTER: Duration = Duration::from_secs(1);

/// Requests a second, in thousandths.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestRate(u64);

impl RequestRate {
    /// A rate in requests a second; none for one that is no rate.
    #[must_use]
    pub fn per_second(rate: f64) -> Option<Self> {
        let is_rate = rate.is_finite() && rate >= 0.0;
        is_rate.then_some(Self((rate * 1000.0) as u64))
    }

    /// In requests a second.
    #[must_use]
    pub fn as_f64(self) -> f64 {
        self.0 as f64 / 1000.0
    }
}

/// What an answer of a target said of its limit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdvertisedLimit {
    /// The target and its life.
    pub run: TargetRun,
    /// Its limit; none where the answer names none.
    pub rate: Option<RequestRate>,
}

#[derive(Clone, Debug)]
struct LimitRow {
    run: TargetRun,
    rate: RequestRate,
    /// When an answer named it last.
    named: Instant,
    /// Tokens; below zero what calls wait for.
    level: f64,
    /// When the tokens were counted.
    at: Instant,
}

impl LimitRow {
    fn per_s(&self, share: f64) -> f64 {
        self.rate.as_f64().max(LEAST_PER_S) * share
    }

    fn level(&self, share: f64, now: Instant) -> f64 {
        let earned = now.since(self.at).as_secs_f64() * self.per_s(share);
        // A part of a limit too sends one request now and then.
        (self.level + earned).min((BURST * share).max(1.0))
    }
}

/// The limits that targets named, and what is left of them.
#[derive(Clone, Debug)]
pub struct RateLimitTable {
    rows: HashMap<TargetName, LimitRow>,
    /// The part of each limit that may be used here.
    share: f64,
}

impl Default for RateLimitTable {
    fn default() -> Self {
        Self::with_share(1.0)
    }
}

impl RateLimitTable {
    /// A table that uses a part of each limit.
    #[must_use]
    pub fn with_share(share: f64) -> Self {
        Self {
            rows: HashMap::new(),
            share,
        }
    }

    /// Uses a part of each limit only, where others use the rest.
    pub fn set_share(&mut self, share: f64) {
        self.share = share;
    }

    /// Notes what an answer said; says whether that changes the target's limit.
    pub fn record(&mut self, named: &AdvertisedLimit, now: Instant) -> bool {
        let name = &named.run.name;
        let known = self.rows.get(name);
        if known.is_some_and(|row| row.run.life > named.run.life) {
            return false;
        }
        let is_same_life = known.is_some_and(|row| row.run == named.run);
        let Some(rate) = named.rate else {
            let is_lifted =
                known.is_some_and(|row| !is_same_life || now.since(row.named) >= LIFTED_AFTER);
            if is_lifted {
                self.rows.remove(name);
            }
            return is_lifted;
        };
        let share = self.share;
        let Some(row) = self.rows.get_mut(name).filter(|_| is_same_life) else {
            let row = LimitRow {
                run: named.run.clone(),
                rate,
                named: now,
                level: 0.0,
                at: now,
            };
            self.rows.insert(name.clone(), row);
            return true;
        };
        row.level = row.level(share, now);
        row.at = now;
        row.named = now;
        let is_change = row.rate != rate;
        row.rate = rate;
        is_change
    }

    /// Whether a target named a limit that holds.
    #[must_use]
    pub fn is_limited(&self, target: &TargetName) -> bool {
        self.rows.contains_key(target)
    }

    /// Time until a target may be sent another request.
    #[must_use]
    pub fn wait(&self, target: &TargetName, now: Instant) -> Duration {
        self.rows.get(target).map_or(Duration::ZERO, |row| {
            let missing = (1.0 - row.level(self.share, now)).max(0.0);
            Duration::from_secs_f64(missing / row.per_s(self.share))
        })
    }

    /// Takes a token for a request that is sent once its wait is over.
    pub fn take_token(&mut self, target: &TargetName, now: Instant) {
        let share = self.share;
        if let Some(row) = self.rows.get_mut(target) {
            row.level = row.level(share, now) - 1.0;
            row.at = now;
        }
    }

    /// Forgets targets that are gone.
    pub fn retain(&mut self, keep: impl Fn(&TargetRun) -> bool) {
        self.rows.retain(|_, row| keep(&row.run));
    }

    /// What is known, to be told to another VM.
    pub fn advertised(&self) -> impl Iterator<Item = AdvertisedLimit> + '_ {
        self.rows.values().map(|row| AdvertisedLimit {
            run: row.run.clone(),
            rate: Some(row.rate),
        })
    }
}
