//! Targets: the wire of engines and plain services, and the workers that carry streams.
//!
//! [`EngineClient`] is the only place that knows the engines' wire.

mod engine;
mod service;
mod stream;

pub use engine::{EngineClient, EngineListing, EngineStream, OrderError, SendError, StreamItem};
pub use service::{ServiceJob, is_hop_by_hop_header, run_service_call};
pub use stream::{StreamJob, run_stream};
