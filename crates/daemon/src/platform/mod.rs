//! The platform: its log and its list of VMs.
//!
//! [`PlatformClient`] is the only place that knows the platform's wire. The workers round it read, append and list,
//! and feed the event loop.

mod appender;
mod client;
mod reader;

pub use appender::{AppendJob, AppendOutcome, LogAppender};
pub use client::{AppendError, LogBatch, PlatformClient, ReadError};
pub use reader::{run_log_reader, run_vm_list_reader};
