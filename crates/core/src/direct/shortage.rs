//! Capacity that a zone has left for a service, as its holder observes it.

use serde::{Deserialize, Serialize};

/// Free capacity and expected waits of one service in a zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ServiceShortage {
    /// Adapter slots that are empty or whose adapter may be evicted now.
    pub free_adapter_slots: u32,
    /// Call slots without a call.
    pub free_call_slots: u32,
    /// Calls that wait for an adapter slot.
    pub queued_calls: u32,
    /// Engines that take calls.
    pub engines: u32,
    /// Expected milliseconds until an adapter that no engine of the zone has can serve a call.
    pub load_wait_ms: u32,
    /// Milliseconds that a prompt waits for others in prefill at the least-loaded engine.
    pub prompt_wait_ms: u32,
    /// Loads from the weight store that the holder allows at once.
    pub load_limit: u32,
    /// Expected milliseconds of one load.
    pub load_ms: u32,
}
