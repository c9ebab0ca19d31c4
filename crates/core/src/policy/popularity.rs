//! How often each adapter is asked for, on two time scales.
//!
//! The slow rate remembers the day; the fast one shows a shift within tens of seconds. Only adapters that were asked
//! for lately take memory: an idle one has no entry.

use crate::ids::{AdapterVersion, Instant};
use std::collections::HashMap;

/// Time constant of the fast rate, in seconds.
const FAST_S: f64 = 60.0;
/// Time constant of the slow rate, in seconds.
const SLOW_S: f64 = 300.0;
/// Requests within the fast scale from which the fast rate is believed.
const FAST_EVIDENCE: f64 = 3.0;
/// Requests within the slow scale below which an adapter is forgotten.
const FORGET_BELOW: f64 = 0.02;
/// Entries beyond which forgetting is worth a pass.
const SWEEP_AT: usize = 1024;

/// How much each adapter is wanted.
pub trait DemandEstimator {
    /// Requests a second that are to be expected.
    fn rate(&self, model: &AdapterVersion, now: Instant) -> f64;

    /// Adapters that may be wanted, and their rates.
    fn candidates(&self, now: Instant) -> Vec<(&AdapterVersion, f64)>;
}

/// Decayed counts of one adapter.
#[derive(Clone, Copy, Debug)]
pub struct RateEstimate {
    fast: f64,
    slow: f64,
    at: Instant,
}

impl RateEstimate {
    fn decayed(&self, now: Instant) -> (f64, f64) {
        let passed = now.since(self.at).as_secs_f64();
        (
            self.fast * (-passed / FAST_S).exp(),
            self.slow * (-passed / SLOW_S).exp(),
        )
    }
}

/// Rates of the adapters that were asked for lately.
#[derive(Clone, Debug, Default)]
pub struct PopularityTracker {
    rates: HashMap<AdapterVersion, RateEstimate>,
    started: Option<Instant>,
    sweep_at: usize,
}

impl PopularityTracker {
    /// A request for an adapter came.
    pub fn record(&mut self, model: &AdapterVersion, now: Instant) {
        self.started.get_or_insert(now);
        let (fast, slow) = self
            .rates
            .get(model)
            .map_or((0.0, 0.0), |rate| rate.decayed(now));
        let estimate = RateEstimate {
            fast: fast + 1.0,
            slow: slow + 1.0,
            at: now,
        };
        match self.rates.get_mut(model) {
            Some(rate) => *rate = estimate,
            None => {
                self.rates.insert(model.clone(), estimate);
            }
        }
        if self.rates.len() > self.sweep_at.max(SWEEP_AT) {
            self.sweep(now);
        }
    }

    /// Number of entries.
    #[must_use]
    pub fn len(&self) -> usize {
        self.rates.len()
    }

    /// Whether nothing was asked for lately.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rates.is_empty()
    }

    fn sweep(&mut self, now: Instant) {
        self.rates
            .retain(|_, rate| rate.decayed(now).1 >= FORGET_BELOW);
        self.sweep_at = self.rates.len() * 2;
    }
}

impl DemandEstimator for PopularityTracker {
    fn rate(&self, model: &AdapterVersion, now: Instant) -> f64 {
        let Some(rate) = self.rates.get(model) else {
            return 0.0;
        };
        let (fast, slow) = rate.decayed(now);
        // A tracker younger than the slow scale has seen only part of it.
        let age = self
            .started
            .map_or(SLOW_S, |started| now.since(started).as_secs_f64());
        let span = SLOW_S * (1.0 - (-(age.max(FAST_S)) / SLOW_S).exp());
        let slow_rate = slow / span;
        if fast < FAST_EVIDENCE {
            return slow_rate;
        }
        slow_rate.max(fast / FAST_S)
    }

    fn candidates(&self, now: Instant) -> Vec<(&AdapterVersion, f64)> {
        self.rates
            .keys()
            .map(|model| (model, self.rate(model, now)))
            .collect()
    }
}
