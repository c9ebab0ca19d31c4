//! What a holder tells the gateways about a target.

use crate::ids::{AdapterVersion, TargetName};
use serde::{Deserialize, Serialize};

/// An adapter on a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResidentDigest {
    /// The adapter.
    pub model: AdapterVersion,
    /// Whether its load is not finished.
    pub loading: bool,
}

/// A target's state as its holder knows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TargetDigest {
    /// The target.
    pub target: TargetName,
    /// Grows with each change of `residents`.
    pub residents_revision: u64,
    /// Adapters on it; none if they did not change since the last digest.
    pub residents: Option<Vec<ResidentDigest>>,
    /// Requests that run.
    pub running: u32,
    /// Requests that it can run at once.
    pub seats: u32,
    /// Output tokens that wait, by class.
    pub waiting_tokens: [u64; 3],
    /// Requests a second that the adapter which would go for the next load is worth; none if nothing can go.
    pub victim_rate: Option<f32>,
    /// Adapters that wait to be loaded.
    pub wanted_loads: u32,
    /// Output tokens a second of a full batch, as measured.
    pub tokens_per_second: f64,
    /// Whether it takes new work.
    pub open: bool,
    /// Whether an adapter that is not on it can be loaded: a slot is free, or something may be evicted.
    pub loads: bool,
}
