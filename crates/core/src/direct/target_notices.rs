//! What a target says of itself in an answer, beside the answer itself.
//!
//! Each answer of a target may tell that it is about to leave, that it wants nothing from the VM for a while, how many
//! requests a second it takes, which version of the weights it runs and what becomes of the connection. All of that is
//! decoded once, into one value, for every kind of answer.

use crate::direct::limits::RequestRate;
use std::time::Duration;

/// What one answer says of the target that gave it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TargetNotice {
    /// Whether the target is about to leave, and wants no new work in this life.
    pub is_leaving: bool,
    /// Time for which it wants nothing from this VM.
    pub backoff: Option<Duration>,
    /// Requests a second that it takes from all VMs together.
    pub rate_limit: Option<RequestRate>,
    /// Version of the base model that made the answer, also where an adapter was asked for.
    pub version: Option<u64>,
    /// Time for which it keeps the connection when idle.
    pub idle_timeout: Option<Duration>,
    /// Whether it closes the connection after this answer.
    pub is_closing: bool,
}
