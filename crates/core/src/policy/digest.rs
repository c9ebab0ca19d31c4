//! Target state that a holder sends to the gateways in its heartbeats.
//!
//! Field names are shortened on the wire because heartbeats make up most of a daemon's control traffic.

use crate::ids::{AdapterVersion, TargetName};
use serde::{Deserialize, Serialize};

/// An adapter that is loaded or being loaded on a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResidentDigest {
    /// The adapter and its version.
    #[serde(rename = "m")]
    pub model: AdapterVersion,
    /// Whether the load is still in progress.
    #[serde(rename = "g")]
    pub loading: bool,
}

/// State of a target as known to its holder.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TargetDigest {
    /// The target that the digest describes.
    #[serde(rename = "t")]
    pub target: TargetName,
    /// Revision of `residents`; increases with each change.
    #[serde(rename = "v")]
    pub residents_revision: u64,
    /// Resident adapters; `None` if the receiver already has `residents_revision`.
    #[serde(rename = "r", default, skip_serializing_if = "Option::is_none")]
    pub residents: Option<Vec<ResidentDigest>>,
    /// Running requests.
    #[serde(rename = "n")]
    pub running: u32,
    /// Maximum number of concurrently running requests (batch size).
    #[serde(rename = "s")]
    pub seats: u32,
    /// Output tokens of the waiting requests, by priority class.
    #[serde(rename = "w")]
    pub waiting_tokens: [u64; 3],
    /// Request rate, in requests per second, of the adapter that the next load would evict; zero if a slot is free,
    /// `None` if no adapter can be evicted.
    #[serde(rename = "c", default, skip_serializing_if = "Option::is_none")]
    pub victim_rate: Option<f32>,
    /// Adapters with waiting requests that are not loaded yet.
    #[serde(rename = "q")]
    pub pending_loads: u32,
    /// Throughput of a full batch, in output tokens per second.
    #[serde(rename = "p")]
    pub tokens_per_second: f32,
    /// Whether the target accepts new requests.
    #[serde(rename = "o")]
    pub open: bool,
    /// Whether another adapter can be loaded: a slot is free, or eviction is allowed.
    #[serde(rename = "l")]
    pub can_load: bool,
}
