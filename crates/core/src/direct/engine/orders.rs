//! What an engine is ordered, how that ends, and what it reports.

use crate::ids::{AdapterName, TargetLife};

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineOrder {
    /// What to do.
    pub kind: OrderKind,
    /// The model, with its adapter behind a slash where one is meant.
    pub subject: AdapterName,
    /// Version to load, if one was named.
    pub version: Option<u64>,
    /// Orders that the engine must have taken before, so that a late copy of this one does nothing.
    pub expected: u64,
}

/// What an order does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderKind {
    /// Bring it in, or replace it by another version.
    Load,
    /// Drop it.
    Unload,
}

/// How an order ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// It holds already.
    Done,
    /// It is being done.
    Begun,
    /// Another is under way, or the engine has taken others.
    Conflict,
    /// A newer holder has given orders.
    Fenced,
    /// The engine refused it, or is another run of the target.
    Refused,
    /// No answer: it may be carried out later.
    Unanswered,
}

/// What an engine reports about itself; some hundred milliseconds old.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineReport {
    /// The life of the engine that reports.
    pub life: TargetLife,
    /// Orders that it has taken.
    pub orders_taken: u64,
    /// Base models that it holds, with their versions.
    pub models: Vec<(AdapterName, u64)>,
    /// Adapters that it holds, with their versions.
    pub adapters: Vec<(AdapterName, u64)>,
    /// Adapters on their way.
    pub loading: Vec<(AdapterName, u64)>,
    /// Base models that it loads from a copy of its own, without the weight store.
    pub local_models: Vec<AdapterName>,
    /// Requests that run or wait.
    pub requests: u32,
    /// Whether an order on a whole model is under way.
    pub is_busy: bool,
}
