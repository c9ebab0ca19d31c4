//! Clients of targets (model engines and plain services), and the workers that run streams on them.
//!
//! [`EngineClient`] is the only type that knows the HTTP protocol of the engines. The workers report the end of each
//! stream to the event loop and write its frames to a call buffer.

mod engine;
mod service;
mod stream;

pub use engine::{EngineClient, EngineListing, EngineStream, OrderError, SendError, StreamItem};
pub use service::{ServiceJob, is_hop_by_hop_header, run_service_call};
pub use stream::{StreamJob, run_stream};
