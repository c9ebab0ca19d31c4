//! Request rate of each adapter, as exponentially decayed counts on two time scales.
//!
//! The slow rate averages over minutes; the fast rate reveals a shift in popularity within tens of seconds. Only
//! recently requested adapters have an entry, so memory does not grow with the number of existing adapters.

use crate::ids::{AdapterVersion, Instant};
use std::collections::HashMap;

const FAST_TIME_CONSTANT_S: f64 = 60.0;
const SLOW_TIME_CONSTANT_S: f64 = 300.0;
/// Decayed fast count from which the fast rate is used; below it, single requests would dominate the rate.
const MIN_FAST_COUNT: f64 = 3.0;
/// Decayed slow count below which an entry is removed.
const MIN_SLOW_COUNT: f64 = 0.02;
/// Number of entries up to which no sweep is made.
const MIN_SWEEP_LEN: usize = 1024;

/// Source of expected request rates by adapter.
pub trait DemandEstimator {
    /// Expected requests per second of an adapter.
    fn rate(&self, model: &AdapterVersion, now: Instant) -> f64;

    /// Adapters that are likely to be requested, with their rates.
    fn candidates(&self, now: Instant) -> Vec<(&AdapterVersion, f64)>;
}

/// Decayed request counts of one adapter.
#[derive(Clone, Copy, Debug)]
pub struct RateEstimate {
    fast: f64,
    slow: f64,
    updated_at: Instant,
}

impl RateEstimate {
    fn decayed(&self, now: Instant) -> (f64, f64) {
        let elapsed_s = now.since(self.updated_at).as_secs_f64();
        (
            self.fast * (-elapsed_s / FAST_TIME_CONSTANT_S).exp(),
            self.slow * (-elapsed_s / SLOW_TIME_CONSTANT_S).exp(),
        )
    }
}

/// Learns request rates from the requests that it records.
#[derive(Clone, Debug, Default)]
pub struct PopularityTracker {
    rates: HashMap<AdapterVersion, RateEstimate>,
    started: Option<Instant>,
    sweep_len: usize,
}

impl PopularityTracker {
    /// Counts a request for an adapter.
    pub fn record(&mut self, model: &AdapterVersion, now: Instant) {
        self.started.get_or_insert(now);
        let (fast, slow) = self
            .rates
            .get(model)
            .map_or((0.0, 0.0), |rate| rate.decayed(now));
        let estimate = RateEstimate {
            fast: fast + 1.0,
            slow: slow + 1.0,
            updated_at: now,
        };
        match self.rates.get_mut(model) {
            Some(rate) => *rate = estimate,
            None => {
                self.rates.insert(model.clone(), estimate);
            }
        }
        if self.rates.len() > self.sweep_len.max(MIN_SWEEP_LEN) {
            self.sweep(now);
        }
    }

    /// Number of adapters with an entry.
    #[must_use]
    pub fn len(&self) -> usize {
        self.rates.len()
    }

    /// Whether no adapter has an entry.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rates.is_empty()
    }

    fn sweep(&mut self, now: Instant) {
        self.rates
            .retain(|_, rate| rate.decayed(now).1 >= MIN_SLOW_COUNT);
        self.sweep_len = self.rates.len() * 2;
    }
}

impl DemandEstimator for PopularityTracker {
    fn rate(&self, model: &AdapterVersion, now: Instant) -> f64 {
        let Some(rate) = self.rates.get(model) else {
            return 0.0;
        };
        let (fast, slow) = rate.decayed(now);
        // A tracker younger than the slow time constant has seen only part of that span, so the count is scaled up.
        let age_s = self.started.map_or(SLOW_TIME_CONSTANT_S, |started| {
            now.since(started).as_secs_f64()
        });
        let span_s = SLOW_TIME_CONSTANT_S
            * (1.0 - (-(age_s.max(FAST_TIME_CONSTANT_S)) / SLOW_TIME_CONSTANT_S).exp());
        let slow_rate = slow / span_s;
        if fast < MIN_FAST_COUNT {
            return slow_rate;
        }
        slow_rate.max(fast / FAST_TIME_CONSTANT_S)
    }

    fn candidates(&self, now: Instant) -> Vec<(&AdapterVersion, f64)> {
        self.rates
            .keys()
            .map(|model| (model, self.rate(model, now)))
            .collect()
    }
}
