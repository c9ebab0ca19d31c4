//! The event loop, which owns and changes the state of a daemon.
//!
//! Workers send it events over a channel and carry out its decisions in tasks of their own. Event handlers never wait
//! for a socket or a file.

mod admission;
mod changes;
mod event;
mod event_loop;
mod explain;
mod holder;
mod idempotency;
mod log_feed;
mod membership;
mod orders;
mod ownership;
mod peers;
mod queries;
mod state;
mod stopping;
mod tables;
mod target_runtime;

pub use event::{
    Admission, AdmissionError, AdmissionRequest, AdmissionSubject, AppEvent, IdempotencyDecision,
    IdempotentOutcome, KeyClaimResult, OperatorError, OperatorRequest, OperatorResponse, OrderKind,
    OrderReport, RouteRequest, RouteVia, SelectedRoute, StopReport, StreamEnd,
};
pub use event_loop::{AppHandle, run_app};
pub use state::{AppState, AppWorkers};
