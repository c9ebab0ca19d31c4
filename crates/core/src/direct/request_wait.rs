//! When the wait for a caller's next request ends.
//!
//! A connection may rest for the idle timeout, and for the header timeout beyond it, so that a request that was sent within the idle
//! timeout finds it open. A request head has the header timeout from its first byte on. Limits are those in force when the deadline
//! is computed. Callers may not know of a lowered idle timeout, so a resting connection also keeps the limit that was in force when
//! its wait began.

use crate::{direct::config::CallerLimits, ids::Instant};
use std::time::Duration;

/// A wait for a request, from the last answer on its connection until its head is complete.
#[derive(Clone, Copy, Debug)]
pub struct RequestWait {
    rests_since: Instant,
    first_limit: Duration,
    head_since: Option<Instant>,
}

impl RequestWait {
    /// Begins a wait under the limits in force.
    #[must_use]
    pub fn new(limits: &CallerLimits, now: Instant) -> Self {
        Self {
            rests_since: now,
            first_limit: rest_limit(limits),
            head_since: None,
        }
    }

    /// Records that bytes of the last answer were sent.
    pub fn record_sent(&mut self, now: Instant) {
        self.rests_since = now;
    }

    /// Records bytes from the caller.
    pub fn record_received(&mut self, bytes: &[u8], now: Instant) {
        // Empty lines before a request are not part of its head.
        let is_head = bytes.iter().any(|byte| !b"\r\n".contains(byte));
        if is_head && self.head_since.is_none() {
            self.head_since = Some(now);
        }
    }

    /// Time at which the connection is to be closed unless the head is complete.
    #[must_use]
    pub fn deadline(&self, limits: &CallerLimits) -> Instant {
        match self.head_since {
            Some(head_since) => head_since.after(limits.header_timeout),
            None => self
                .rests_since
                .after(self.first_limit.max(rest_limit(limits))),
        }
    }
}

fn rest_limit(limits: &CallerLimits) -> Duration {
    limits.idle_timeout.saturating_add(limits.header_timeout)
}
