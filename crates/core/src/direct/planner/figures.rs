//! Figures of the engines and of the weight store that decisions are made with.

use std::time::Duration;

/// Loads that run at full speed, for each one that the weight store serves at once; from the users' letter.
const FULL_SPEED_LOADS: f64 = 8.0;

/// Loads a second for each one that the store serves at once, by the users' sheets.
const LOADS_FOR_EACH: f64 = 8.0;

/// Figures of the engines that decisions are made with.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineFigures {
    /// Time for an adapter from the weight store while few are on their way.
    pub store_load: Duration,
    /// Time for an adapter that the engine had lately.
    pub lately_load: Duration,
    /// What each running call adds to a newcomer's wait.
    pub per_call: Duration,
    /// Time that a call holds its slot.
    pub slot_time: Duration,
    /// Loads that may be on their way in this zone at full speed.
    pub loads_at_full_speed: u32,
    /// Zones that load from the one store.
    pub zones: u32,
    /// Loads that run at full speed over all zones.
    pub full_speed_loads: f64,
    /// Pause between two loads of whole models in this zone.
    pub model_load_pause: Duration,
}

impl Default for EngineFigures {
    /// From the users' sheets: 250 ms a load, a tenth of it for a recent one.
    fn default() -> Self {
        Self {
            store_load: Duration::from_millis(250),
            lately_load: Duration::from_millis(25),
            per_call: Duration::from_micros(1_200),
            slot_time: Duration::from_millis(2_000),
            loads_at_full_speed: 3,
            zones: 1,
            full_speed_loads: FULL_SPEED_LOADS,
            model_load_pause: Duration::from_millis(950),
        }
    }
}

impl EngineFigures {
    /// The share of one of `zones` that load from one weight store.
    #[must_use]
    pub fn shared_by(zones: u32, loads_per_s: f64) -> Self {
        let count = zones.max(1);
        let zones = f64::from(count);
        let at_once = (loads_per_s / LOADS_FOR_EACH).round().max(1.0);
        let share = (FULL_SPEED_LOADS * at_once / zones).ceil();
        Self {
            loads_at_full_speed: share as u32,
            zones: count,
            full_speed_loads: FULL_SPEED_LOADS * at_once,
            model_load_pause: Duration::from_secs_f64(zones / loads_per_s.max(0.1)),
            ..Self::default()
        }
    }
}
