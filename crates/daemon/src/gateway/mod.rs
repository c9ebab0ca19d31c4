//! The callers' interface: OpenAI-compatible HTTP, plain services, idempotency tokens, health.

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
