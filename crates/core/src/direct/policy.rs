//! What placing and refusing weigh: one structure for all of it, which settings may override.
//!
//! How fast engines are is observed ([`super::reading`]), and places, memory and loads at once come from the
//! configuration. What is left are prices and bounds; docs/POLICY.md names the rounds that each value comes from.

use std::time::Duration;

/// Weights and limits of decisions.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacementPolicy {
    /// Part of the time left to the objective that a call may wait in its home zone without other zones being asked.
    pub home_wait_fraction: f64,
    /// Wait, in objectives, beyond which a call is turned away; by rank, the most urgent first.
    pub max_wait_factors: [f64; 3],
    /// Requests a second at one VM from which an adapter is at home in every zone.
    pub popular_rate_per_s: f64,
    /// What another zone has to be better by.
    pub remote_zone_penalty: Duration,
    /// What a load from the store costs beside its time: what it evicts, and its price.
    pub load_penalty: Duration,
    /// The same for an adapter that the engine had lately.
    pub reload_penalty: Duration,
    /// Time that an engine takes to get parts of a prompt from another one.
    pub cache_fetch_time: Duration,
    /// Reading time that this has to save.
    pub min_fetch_saving: Duration,
    /// Adapters that an engine is taken to reload quickly.
    pub max_recent_adapters: usize,
    /// Part of an engine's places from which it counts as crowded: what is left has to bear the arrivals of one load.
    pub crowded_slot_fraction: f64,
    /// Prompts that wait from which an engine counts as crowded.
    pub crowded_backlog: Duration,
    /// Part of a crowded engine's calls that one adapter makes up if a second copy of it would help.
    pub crowding_call_fraction: f64,
    /// Part of a zone's places that one adapter's calls take from which other zones should have it too.
    pub hot_adapter_fraction: f64,
    /// Part of the loads at full speed that may be on their way when one is begun that nobody waits for.
    pub speculative_load_fraction: f64,
    /// Part of the zone's engines that is busy from which it needs more of them.
    pub busy_fraction: f64,
    /// What a doubted engine has to be better by.
    pub doubt_penalty: Duration,
    /// What a full share of failures counts.
    pub failure_penalty: Duration,
    /// What an engine counts that turned a call away a moment ago.
    pub shed_penalty: Duration,
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
            crowded_slot_fraction: 0.55,
            crowded_backlog: Duration::from_millis(150),
            crowding_call_fraction: 0.3,
            hot_adapter_fraction: 0.15,
            speculative_load_fraction: 0.5,
            busy_fraction: 0.6,
            doubt_penalty: Duration::from_secs(2),
            failure_penalty: Duration::from_millis(400),
            shed_penalty: Duration::from_millis(100),
        }
    }
}
