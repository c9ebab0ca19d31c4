//! Weights and limits of placement and refusal, with defaults that settings may override.
//!
//! The speed of engines is observed ([`super::prefill`]), and slots, memory and load rate come from the configuration.
//! The remaining penalties and bounds are here; docs/POLICY.md describes how each value was determined.

use crate::direct::config::EngineLimits;
use std::time::Duration;

/// Weights and limits of placement decisions.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacementPolicy {
    /// Fraction of the time left to the objective that a call may wait in its home zone before other zones are queried.
    pub home_wait_fraction: f64,
    /// Longest wait with which a call is placed, as a multiple of its objective; by rank, the most urgent first.
    pub max_wait_factors: [f64; 3],
    /// Requests per second at one VM from which every zone is a home zone of an adapter.
    pub popular_rate_per_s: f64,
    /// Penalty for a zone other than the home zone.
    pub remote_zone_penalty: Duration,
    /// Penalty for a load from the weight store beyond its time, for the eviction and the use of the store.
    pub load_penalty: Duration,
    /// Penalty for reloading an adapter that the engine has held recently.
    pub reload_penalty: Duration,
    /// Time that an engine takes to fetch KV cache from another engine.
    pub cache_fetch_time: Duration,
    /// Minimum time that fetching KV cache has to save compared with reading the prompt.
    pub min_fetch_saving: Duration,
    /// Number of recent adapters that an engine is assumed to reload quickly.
    pub max_recent_adapters: usize,
    /// What applies to services whose engines have few slots for many adapters.
    pub scarcity: ScarcityPolicy,
    /// Fraction of an engine's slots in use from which it counts as crowded. The rest has to suffice for the calls that
    /// arrive during one adapter load.
    pub crowded_slot_fraction: f64,
    /// Backlog of unread prompts from which an engine counts as crowded.
    pub crowded_backlog: Duration,
    /// Fraction of a crowded engine's calls from which a second copy of one adapter is worth loading.
    pub crowding_call_fraction: f64,
    /// Fraction of a zone's slots used by one adapter from which other zones should load it too.
    pub hot_adapter_fraction: f64,
    /// Fraction of the load limit up to which an adapter is loaded that no call waits for.
    pub speculative_load_fraction: f64,
    /// Utilization of a zone from which empty engines load the base model from the weight store.
    pub busy_fraction: f64,
    /// Penalty for a degraded engine.
    pub degraded_penalty: Duration,
    /// Penalty for an engine whose calls all fail; scaled by the share of failures.
    pub failure_penalty: Duration,
    /// Penalty for an engine that has just refused a call.
    pub shed_penalty: Duration,
    /// Queue for adapter slots; none if calls that find no slot are refused.
    pub admission: Option<SlotAdmission>,
}

/// Limits of the queue for adapter slots.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlotAdmission {
    /// Calls of one service that may wait in one zone.
    pub max_queued: usize,
    /// Share of the freed slots that is given by rank. The others go to the calls that have waited longest.
    pub urgent_share: f64,
}

impl Default for SlotAdmission {
    fn default() -> Self {
        Self {
            max_queued: 64,
            urgent_share: 0.8,
        }
    }
}

/// Weights and limits for services whose engines have few slots for many adapters. By default none of them applies.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScarcityPolicy {
    /// Configured adapters for each adapter slot of an engine from which slots count as scarce.
    pub min_adapters_per_slot: u32,
    /// Whether the number of adapters that engines reload quickly is learned.
    pub learns_recent_adapters: bool,
    /// How often an order that is not answered is sent again before the engine's report is read.
    pub order_repeats: u32,
    /// Adapter loads that the weight store is known to sustain at once, for each base model that it allows per second.
    pub loads_per_model_load: f64,
    /// Time of a load from the weight store until the first one has been observed.
    pub first_load_time: Duration,
}

impl Default for ScarcityPolicy {
    fn default() -> Self {
        Self {
            min_adapters_per_slot: 0,
            learns_recent_adapters: false,
            order_repeats: 0,
            loads_per_model_load: 1.0,
            first_load_time: Duration::from_millis(250),
        }
    }
}

impl PlacementPolicy {
    /// The policy for a service's engines: without the part for scarce adapter slots where they are not scarce.
    #[must_use]
    pub fn for_engines(&self, limits: &EngineLimits) -> Self {
        let min_adapters =
            u64::from(self.scarcity.min_adapters_per_slot) * u64::from(limits.adapter_slots);
        if limits.adapters >= min_adapters {
            return *self;
        }
        Self {
            scarcity: ScarcityPolicy::default(),
            admission: None,
            ..*self
        }
    }
}

impl Default for PlacementPolicy {
    fn default() -> Self {
        Self {
            home_wait_fraction: 0.75,
            max_wait_factors: [2.0, 1.5, 0.95],
            popular_rate_per_s: 0.4,
            remote_zone_penalty: Duration::from_millis(60),
            load_penalty: Duration::from_millis(250),
            reload_penalty: Duration::from_millis(250),
            cache_fetch_time: Duration::from_millis(30),
            min_fetch_saving: Duration::from_millis(60),
            max_recent_adapters: 100,
            scarcity: ScarcityPolicy::default(),
            crowded_slot_fraction: 0.55,
            crowded_backlog: Duration::from_millis(150),
            crowding_call_fraction: 0.3,
            hot_adapter_fraction: 0.15,
            speculative_load_fraction: 0.5,
            busy_fraction: 0.6,
            degraded_penalty: Duration::from_secs(2),
            failure_penalty: Duration::from_millis(400),
            shed_penalty: Duration::from_millis(100),
            admission: None,
        }
    }
}
