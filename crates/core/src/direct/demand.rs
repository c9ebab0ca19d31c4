//! How often each adapter is asked for, as a decayed count.

use crate::ids::{AdapterName, Instant};
use std::collections::HashMap;

/// Half-life of a count, in seconds.
const HALF_LIFE_S: f64 = 15.0;
/// Adapters beyond which idle ones are forgotten.
const KEPT_MOST: usize = 4096;
/// Time without a request after which an adapter counts as idle, in microseconds.
const IDLE_MICROS: u64 = 60_000_000;

/// Decayed counts by adapter; an idle adapter takes no memory.
#[derive(Clone, Debug, Default)]
pub struct DemandTable {
    counts: HashMap<AdapterName, (f64, Instant)>,
}

impl DemandTable {
    /// A request for an adapter came.
    pub fn record(&mut self, adapter: &AdapterName, now: Instant) {
        let count = self.count(adapter, now) + 1.0;
        self.counts.insert(adapter.clone(), (count, now));
        if self.counts.len() > KEPT_MOST {
            let oldest = now.0.saturating_sub(IDLE_MICROS);
            self.counts.retain(|_, (_, at)| at.0 > oldest);
        }
    }

    /// The decayed count of an adapter.
    #[must_use]
    pub fn count(&self, adapter: &AdapterName, now: Instant) -> f64 {
        self.counts.get(adapter).map_or(0.0, |(count, at)| {
            count * 0.5_f64.powf(now.since(*at).as_secs_f64() / HALF_LIFE_S)
        })
    }

    /// Requests a second, as far as the count shows it.
    #[must_use]
    pub fn rate(&self, adapter: &AdapterName, now: Instant) -> f64 {
        self.count(adapter, now) * std::f64::consts::LN_2 / HALF_LIFE_S
    }
}
