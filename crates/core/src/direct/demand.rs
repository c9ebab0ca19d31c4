//! Demand for each adapter, as an exponentially decayed count of requests.
//!
//! Idle adapters are removed whenever the table has doubled since the last removal, so the amortized cost of a request
//! does not depend on the number of adapters.

use crate::ids::{AdapterName, Instant};
use std::collections::HashMap;

/// Half-life of a count, in seconds.
const HALF_LIFE_S: f64 = 15.0;
/// Table size up to which no adapter is removed.
const MIN_SWEEP_SIZE: usize = 4096;
/// Time without a request after which an adapter is idle, in microseconds.
const IDLE_TIMEOUT_MICROS: u64 = 60_000_000;

/// Decayed request counts by adapter.
#[derive(Clone, Debug)]
pub struct DemandTable {
    counts: HashMap<AdapterName, (f64, Instant)>,
    /// Table size above which idle adapters are removed next.
    sweep_from: usize,
}

impl Default for DemandTable {
    fn default() -> Self {
        Self {
            counts: HashMap::new(),
            sweep_from: MIN_SWEEP_SIZE,
        }
    }
}

impl DemandTable {
    /// Counts a request for an adapter.
    pub fn record(&mut self, adapter: &AdapterName, now: Instant) {
        let count = self.count(adapter, now) + 1.0;
        self.counts.insert(adapter.clone(), (count, now));
        if self.counts.len() > self.sweep_from {
            let oldest = now.0.saturating_sub(IDLE_TIMEOUT_MICROS);
            self.counts.retain(|_, (_, at)| at.0 > oldest);
            self.sweep_from = (2 * self.counts.len()).max(MIN_SWEEP_SIZE);
        }
    }

    /// Number of adapters in the table.
    #[must_use]
    pub fn len(&self) -> usize {
        self.counts.len()
    }

    /// Whether the table is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.counts.is_empty()
    }

    /// Decayed count of requests for an adapter.
    #[must_use]
    pub fn count(&self, adapter: &AdapterName, now: Instant) -> f64 {
        self.counts.get(adapter).map_or(0.0, |(count, at)| {
            count * 0.5_f64.powf(now.since(*at).as_secs_f64() / HALF_LIFE_S)
        })
    }

    /// Requests per second for an adapter, estimated from the decayed count.
    #[must_use]
    pub fn rate(&self, adapter: &AdapterName, now: Instant) -> f64 {
        self.count(adapter, now) * std::f64::consts::LN_2 / HALF_LIFE_S
    }
}
