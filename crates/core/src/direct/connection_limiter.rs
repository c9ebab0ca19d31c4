//! Limits the new connections of a VM that has more work than processor time.
//!
//! The steps of all calls take turns, so a VM that begins more calls than it can serve ends none of them in time. Such a VM closes
//! connections before it reads a request: that costs it least, and the caller's next attempt meets a VM that has time.
//!
//! The limit is a rate. It falls while the VM is saturated and rises while it is not, quickly where its queue is nearly empty. A
//! minimum is always taken, so that a ready VM never turns all callers away.

use crate::{
    direct::overload::{DelayProbe, DelayWindow, OverloadChange, OverloadDetector, WINDOW},
    ids::Instant,
};
use std::time::Duration;

/// Connections per second that are taken however far the VM is behind.
const MIN_RATE_PER_S: f64 = 4.0;
/// Factor of the rate after a saturated window.
const DECREASE: f64 = 0.75;
/// Factor of the rate when an overload begins, relative to the rate at which connections came.
const FIRST_DECREASE: f64 = 0.25;
/// Factors of the rate after a window that was not saturated, and after one with a nearly empty queue.
const SLOW_INCREASE: f64 = 1.05;
const FAST_INCREASE: f64 = 1.25;
/// Wait up to which the queue counts as nearly empty.
const SHORT_QUEUE_DELAY: Duration = Duration::from_millis(5);
/// Span of the rate that may be taken at once.
const BURST: Duration = Duration::from_millis(100);

/// What to do with a new connection.
#[derive(Debug)]
#[must_use]
pub enum ConnectionVerdict {
    /// Serve it; the probe, if there is one, ends when its task runs first.
    Take(Option<DelayProbe>),
    /// Close it with the request unread.
    Close,
}

/// Start or end of a limit, for the log.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitChange {
    /// Connections are limited from now on to this many per second.
    Began(f64),
    /// The limit is lifted.
    Ended(LimitSummary),
}

/// A limit that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitSummary {
    /// How long it lasted.
    pub lasted: Duration,
    /// Connections taken under it.
    pub taken: u64,
    /// Connections closed with their request unread.
    pub closed: u64,
}

#[derive(Debug)]
struct ConnectionLimit {
    rate_per_s: f64,
    /// Connections that may be taken now.
    tokens: f64,
    filled_at: Instant,
    taken: u64,
    closed: u64,
}

impl ConnectionLimit {
    fn new(rate_per_s: f64, now: Instant) -> Self {
        Self {
            rate_per_s,
            tokens: 0.0,
            filled_at: now,
            taken: 0,
            closed: 0,
        }
    }

    fn adjust(&mut self, window: DelayWindow) {
        let factor = if window.is_saturated {
            DECREASE
        } else if window.shortest <= SHORT_QUEUE_DELAY {
            FAST_INCREASE
        } else {
            SLOW_INCREASE
        };
        self.rate_per_s = (self.rate_per_s * factor).max(MIN_RATE_PER_S);
    }

    fn try_take(&mut self, now: Instant) -> bool {
        let elapsed = now.since(self.filled_at).as_secs_f64();
        let burst = (self.rate_per_s * BURST.as_secs_f64()).max(1.0);
        self.tokens = (self.tokens + elapsed * self.rate_per_s).min(burst);
        self.filled_at = now;
        let is_taken = self.tokens >= 1.0;
        if is_taken {
            self.tokens -= 1.0;
            self.taken += 1;
        } else {
            self.closed += 1;
        }
        is_taken
    }
}

/// Decides which new connections a VM takes.
#[derive(Debug, Default)]
pub struct ConnectionLimiter {
    detector: OverloadDetector,
    limit: Option<ConnectionLimit>,
    /// Connections that came in the current window.
    arrived: u32,
    window_start: Instant,
}

impl ConnectionLimiter {
    /// Decides about a new connection. Returns also whether a limit began or ended with it.
    pub fn accept(&mut self, now: Instant) -> (ConnectionVerdict, Option<LimitChange>) {
        let change = self.advance(now);
        self.arrived += 1;
        let is_taken = self.limit.as_mut().is_none_or(|limit| limit.try_take(now));
        let verdict = if is_taken {
            ConnectionVerdict::Take(self.detector.begin_probe(now))
        } else {
            self.detector.record_rejected_work(now);
            ConnectionVerdict::Close
        };
        (verdict, change)
    }

    /// Ends a probe; returns how long it waited.
    pub fn end_probe(&mut self, probe: &DelayProbe, now: Instant) -> Duration {
        self.detector.end_probe(probe, now)
    }

    /// Connections per second that are taken, if they are limited.
    #[must_use]
    pub fn rate_per_s(&self) -> Option<f64> {
        self.limit.as_ref().map(|limit| limit.rate_per_s)
    }

    fn advance(&mut self, now: Instant) -> Option<LimitChange> {
        let (window, change) = self.detector.advance(now)?;
        let length = now.since(self.window_start).max(WINDOW);
        let arrival_rate = f64::from(self.arrived) / length.as_secs_f64();
        self.window_start = now;
        self.arrived = 0;
        if let Some(limit) = &mut self.limit {
            limit.adjust(window);
        }
        match change? {
            OverloadChange::Began => {
                let rate = (arrival_rate * FIRST_DECREASE).max(MIN_RATE_PER_S);
                self.limit = Some(ConnectionLimit::new(rate, now));
                Some(LimitChange::Began(rate))
            }
            OverloadChange::Ended(began) => {
                let limit = self.limit.take()?;
                Some(LimitChange::Ended(LimitSummary {
                    lasted: now.since(began),
                    taken: limit.taken,
                    closed: limit.closed,
                }))
            }
        }
    }
}
