//! Figures of the engines that decisions are made with.

use std::time::Duration;

/// Figures of the engines that decisions are made with.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineEstimates {
    /// Time for an adapter that the engine had lately.
    pub reload_time: Duration,
    /// What each running call adds to a newcomer's wait.
    pub time_per_call: Duration,
    /// Time that a call holds its slot.
    pub slot_hold_time: Duration,
    /// Pause between two loads of whole models in this zone.
    pub model_load_interval: Duration,
    /// Loads of adapters that are on their way at the start. The store of every one of the users' sheets bears at least
    /// as many as the models that it allows a second. With 6 for a store that bears 48, 10 in 100 loads of the first
    /// five seconds were there within half a second, and 70 with 13.
    pub initial_load_limit: f64,
}

impl Default for EngineEstimates {
    /// From the users' sheets: 25 ms for a recent adapter.
    fn default() -> Self {
        Self {
            reload_time: Duration::from_millis(25),
            time_per_call: Duration::from_micros(1_200),
            slot_hold_time: Duration::from_millis(2_000),
            model_load_interval: Duration::from_millis(950),
            initial_load_limit: 0.0,
        }
    }
}

impl EngineEstimates {
    /// The share of one of `zones` that load from one weight store.
    #[must_use]
    pub fn per_zone(zones: u32, loads_per_s: f64) -> Self {
        let zones = f64::from(zones.max(1));
        Self {
            model_load_interval: Duration::from_secs_f64(zones / loads_per_s.max(0.1)),
            initial_load_limit: loads_per_s / zones,
            ..Self::default()
        }
    }
}
