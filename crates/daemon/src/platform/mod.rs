//! Access to the platform's log and its list of VMs.
//!
//! [`PlatformClient`] is the only type that knows the platform's HTTP protocol. The workers append to the log, read it and
//! poll the VM list, and send the results to the event loop.

mod appender;
mod client;
mod reader;

pub use appender::{AppendJob, AppendOutcome, LogAppender};
pub use client::{AppendError, LogBatch, PlatformClient, ReadError};
pub use reader::{run_log_reader, run_vm_list_reader};
