//! Calls between daemons or within one: requests, and the frames of their answers.
//!
//! A gateway sends a request to the daemon that holds the target, and reads the answer as a sequence of numbered frames
//! from a [`CallBuffer`], either directly or over a peer link.

mod buffer;
mod frame;
mod request;

pub use buffer::{CallBuffer, CallTable, FRAME_WINDOW, PushError};
pub use frame::{CallEnd, CallFrame, NumberedFrame};
pub use request::{
    CallId, CallWork, EngineWork, ExecuteRequest, RunMode, ServiceWork, SubmitRequest,
};
