//! HTTP interface for callers.
//!
//! Serves OpenAI-compatible completions, calls of plain services, idempotency tokens and health checks. Each accepted
//! request gets one [`CallDriver`], which routes it to a target's holder, retries or resumes it and ends its answer.

mod acceptor;
mod answer;
mod body;
mod driver;
mod errors;
mod http;
mod services;

pub use acceptor::NoDelayAcceptor;
pub use driver::{CallDriver, DriverContext};
pub use errors::{CallerError, ErrorCode};
pub use http::{GatewayContext, routes};
