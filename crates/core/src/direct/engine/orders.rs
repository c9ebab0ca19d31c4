//! Orders to an engine, their outcomes, and the engine's reports.

use crate::ids::{AdapterName, TargetLife};

/// Order to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineOrder {
    /// Kind of order.
    pub kind: OrderKind,
    /// Subject of the order: `model`, or `model/adapter`.
    pub subject: AdapterName,
    /// Version to load, if operators named one.
    pub version: Option<u64>,
    /// Sequence number that the engine must have reached, so that a late or duplicate order has no effect.
    pub expected: u64,
    /// Whether the load is expected to come from the weight store.
    pub is_store_load: bool,
    /// How often the order is sent again if it is not answered.
    pub repeats_left: u32,
}

/// Kind of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderKind {
    /// Load the subject, or replace it by another version.
    Load,
    /// Unload the subject.
    Unload,
}

/// Outcome of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The requested state is reached.
    Done,
    /// The engine has accepted the order and is carrying it out.
    Begun,
    /// Another order is in progress, or the sequence numbers differ.
    Conflict,
    /// The engine has seen a newer fencing token.
    Fenced,
    /// The engine refused the order, or has restarted since.
    Refused,
    /// No answer came; the engine may still carry the order out.
    Unanswered,
}

/// Report of an engine on itself, some hundred milliseconds old when it is read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineReport {
    /// Life of the engine that reports.
    pub life: TargetLife,
    /// Number of orders accepted in this life.
    pub orders_taken: u64,
    /// Loaded base models, with their versions.
    pub models: Vec<(AdapterName, u64)>,
    /// Loaded adapters, with their versions.
    pub adapters: Vec<(AdapterName, u64)>,
    /// Adapters that are being loaded, with their versions.
    pub loading: Vec<(AdapterName, u64)>,
    /// Base models that the engine can load from a local copy, without the weight store.
    pub local_models: Vec<AdapterName>,
    /// Number of running and waiting requests.
    pub requests: u32,
    /// Whether a base model order is in progress.
    pub is_busy: bool,
}
