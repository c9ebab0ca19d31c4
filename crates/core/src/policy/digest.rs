//! What a holder tells the gateways about a target.
//!
//! Field names are short on the wire: heartbeats are most of what a daemon sends for control.

use crate::ids::{AdapterVersion, TargetName};
use serde::{Deserialize, Serialize};

/// An adapter on a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResidentDigest {
    /// The adapter.
    #[serde(rename = "m")]
    pub model: AdapterVersion,
    /// Whether its load is not finished.
    #[serde(rename = "g")]
    pub loading: bool,
}

/// A target's state as its holder knows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TargetDigest {
    /// The target.
    #[serde(rename = "t")]
    pub target: TargetName,
    /// Grows with each change of `residents`.
    #[serde(rename = "v")]
    pub residents_revision: u64,
    /// Adapters on it; none if they did not change since the last digest.
    #[serde(rename = "r", default, skip_serializing_if = "Option::is_none")]
    pub residents: Option<Vec<ResidentDigest>>,
    /// Requests that run.
    #[serde(rename = "n")]
    pub running: u32,
    /// Requests that it can run at once.
    #[serde(rename = "s")]
    pub seats: u32,
    /// Output tokens that wait, by class.
    #[serde(rename = "w")]
    pub waiting_tokens: [u64; 3],
    /// Requests a second that the adapter which would go for the next load is worth; none if nothing can go.
    #[serde(rename = "c", default, skip_serializing_if = "Option::is_none")]
    pub victim_rate: Option<f32>,
    /// Adapters that wait to be loaded.
    #[serde(rename = "q")]
    pub wanted_loads: u32,
    /// Output tokens a second of a full batch, as measured.
    #[serde(rename = "p")]
    pub tokens_per_second: f32,
    /// Whether it takes new work.
    #[serde(rename = "o")]
    pub open: bool,
    /// Whether an adapter that is not on it can be loaded: a slot is free, or something may be evicted.
    #[serde(rename = "l")]
    pub loads: bool,
}
