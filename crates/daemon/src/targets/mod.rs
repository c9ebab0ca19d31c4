//! Targets: the wire of engines and plain services, and the workers that carry streams.
//!
//! [`EngineClient`] is the only place that knows the engines' wire.

mod engine;
mod service;
mod stream;

pub use engine::{EngineClient, EngineListing, OrderError, SendError, StreamItem, StreamTake};
pub use service::{ServiceJob, is_hop_header, run_service_call};
pub use stream::{StreamJob, run_stream};
