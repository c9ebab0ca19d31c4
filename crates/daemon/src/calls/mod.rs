//! Calls between daemons, or between the parts of one: what is asked, and the frames of the answer.

mod buffer;
mod frame;
mod request;

pub use buffer::{CallBuffer, CallTable, FRAME_WINDOW, PushError};
pub use frame::{CallEnd, CallFrame, NumberedFrame};
pub use request::{
    CallId, CallWork, EngineWork, ExecuteRequest, RunMode, ServiceWork, SubmitRequest,
};
