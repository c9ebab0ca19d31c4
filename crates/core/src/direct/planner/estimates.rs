//! Estimates of engine and weight store timings that are configured rather than observed.

use crate::direct::policy::ScarcityPolicy;
use std::time::Duration;

/// Timings of engines and the weight store that placement decisions assume.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineEstimates {
    /// Time to load an adapter that the engine has held recently.
    pub reload_time: Duration,
    /// Wait that each running call adds for a new call.
    pub time_per_call: Duration,
    /// Time for which a call occupies a slot.
    pub slot_hold_time: Duration,
    /// Minimum interval between two base model loads in this zone.
    pub model_load_interval: Duration,
    /// Initial limit of concurrent adapter loads. A weight store is specified to sustain at least as many as the base
    /// models that it allows per second. For a store that sustains 48, an initial limit of 6 let 10% of the loads in
    /// the first five seconds finish within half a second, and a limit of 13 let 70%.
    pub initial_load_limit: f64,
    /// Time of a load from the weight store until the first one has been observed.
    pub first_load_time: Duration,
}

impl Default for EngineEstimates {
    /// Uses the specified 25 ms for reloading a recent adapter.
    fn default() -> Self {
        Self {
            reload_time: Duration::from_millis(25),
            time_per_call: Duration::from_micros(1_200),
            slot_hold_time: Duration::from_millis(2_000),
            model_load_interval: Duration::from_millis(950),
            initial_load_limit: 0.0,
            first_load_time: ScarcityPolicy::default().first_load_time,
        }
    }
}

impl EngineEstimates {
    /// Estimates for one of `zones` zones that share a weight store of `loads_per_s` base model loads per second.
    #[must_use]
    pub fn per_zone(zones: u32, loads_per_s: f64) -> Self {
        let zones = f64::from(zones.max(1));
        Self {
            model_load_interval: Duration::from_secs_f64(zones / loads_per_s.max(0.1)),
            initial_load_limit: loads_per_s / zones,
            ..Self::default()
        }
    }

    /// These estimates with what is known of the weight store where adapter slots are scarce.
    #[must_use]
    pub fn with_scarcity(self, scarcity: &ScarcityPolicy) -> Self {
        Self {
            initial_load_limit: self.initial_load_limit * scarcity.loads_per_model_load,
            first_load_time: scarcity.first_load_time,
            ..self
        }
    }
}
