//! Statements of a target about itself in an answer, beside the answer's content.
//!
//! Each answer may state that the target is leaving, that the VM must back off, how many requests per second the target
//! accepts, which version of the weights it runs, and whether the connection stays open. All of this is decoded into
//! one value for every kind of answer.

use crate::direct::limits::RequestRate;
use std::time::Duration;

/// Statements of a target about itself in one answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TargetNotice {
    /// Whether the target is about to leave and accepts no new calls in this life.
    pub is_leaving: bool,
    /// Time for which it accepts no calls from this VM.
    pub backoff: Option<Duration>,
    /// Requests per second that it accepts from all VMs together.
    pub rate_limit: Option<RequestRate>,
    /// Requests per second, of all VMs together, that it can reject without crashing.
    pub max_rejections_per_s: Option<u32>,
    /// Version of the base model that produced the answer, also for calls to an adapter.
    pub version: Option<u64>,
    /// Time for which it keeps the connection open when idle.
    pub idle_timeout: Option<Duration>,
    /// Whether it closes the connection after this answer.
    pub is_closing: bool,
}
