//! Limits what a VM takes while it has more work than processor time.
//!
//! The steps of all calls take turns, so a VM that begins more calls than it can serve ends none of them in time. Such a VM closes
//! connections before it reads a request: that costs it least, and the caller's next attempt meets a VM that has time. Where most
//! others are overloaded too, the next attempt would be closed as well. Then the VM reads all requests, also those on open
//! connections, and refuses what it can't serve, so that it can tell callers when to return.
//!
//! The limit is a rate. It falls while the VM is saturated and rises while it is not: quickly up to a part of the rate at which the VM
//! became saturated, and slowly beyond, as the work that calls bring comes over their whole time. A minimum is always taken, so
//! that a ready VM never turns all callers away.

use crate::{
    direct::overload::{DelayProbe, DelayWindow, OverloadChange, OverloadDetector, WINDOW},
    ids::Instant,
};
use std::time::Duration;

/// Connections or requests per second that are taken however far the VM is behind.
const MIN_RATE_PER_S: f64 = 4.0;
/// Factor of the rate after a saturated window.
const DECREASE: f64 = 0.75;
/// Share of the connections or requests that came in the last window to which the rate falls when an overload begins.
const FIRST_DECREASE: f64 = 0.25;
/// Factors of the rate after a window that was not saturated, below and above the safe rate.
const FAST_INCREASE: f64 = 1.25;
const SLOW_INCREASE: f64 = 1.03;
/// Safe rate, as a share of the rate at which the VM became saturated.
const SAFE_SHARE: f64 = 0.7;
/// Factor of the safe rate if the VM becomes saturated below it.
const SAFE_RATE_DECAY: f64 = 0.9;
/// Span of the rate that may be taken at once.
const BURST: Duration = Duration::from_millis(100);

/// Waits in the queue above which a VM is overloaded. Where other VMs have time, callers lose least if they meet one of those soon.
/// Where none has, a late answer is better than none, and only a queue in which calls run out of time has to be avoided.
const MAX_DELAY_BESIDE_OTHERS: Duration = Duration::from_millis(25);
const MAX_DELAY_ALONE: Duration = Duration::from_millis(50);

/// What is turned away beyond the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExcessRule {
    /// New connections, closed with their requests unread. Requests on open connections are served.
    Connections,
    /// Requests, also those on open connections, refused with the time to return.
    Requests,
}

impl ExcessRule {
    fn max_delay(self) -> Duration {
        match self {
            Self::Connections => MAX_DELAY_BESIDE_OTHERS,
            Self::Requests => MAX_DELAY_ALONE,
        }
    }
}

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
    /// This many connections or requests per second are taken from now on.
    Began(f64),
    /// The limit is lifted.
    Ended(LimitSummary),
}

/// A limit that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitSummary {
    /// How long it lasted.
    pub lasted: Duration,
    /// Connections and requests taken under it.
    pub taken: u64,
    /// Connections and requests turned away.
    pub rejected: u64,
}

#[derive(Debug)]
struct AdmissionLimit {
    rate_per_s: f64,
    /// Rate up to which the VM is not expected to be saturated.
    safe_rate_per_s: f64,
    was_saturated: bool,
    /// Connections or requests that may be taken now.
    tokens: f64,
    filled_at: Instant,
    taken: u64,
    rejected: u64,
}

impl AdmissionLimit {
    fn new(rate_per_s: f64, now: Instant) -> Self {
        Self {
            rate_per_s,
            safe_rate_per_s: rate_per_s,
            was_saturated: true,
            tokens: 0.0,
            filled_at: now,
            taken: 0,
            rejected: 0,
        }
    }

    fn adjust(&mut self, window: DelayWindow) {
        let is_saturated = window == DelayWindow::Saturated;
        if is_saturated && !self.was_saturated {
            // Below the safe rate, the cause is work that was taken before.
            self.safe_rate_per_s = if self.rate_per_s >= self.safe_rate_per_s {
                self.rate_per_s * SAFE_SHARE
            } else {
                self.safe_rate_per_s * SAFE_RATE_DECAY
            };
        }
        self.was_saturated = is_saturated;
        let factor = if is_saturated {
            DECREASE
        } else if self.rate_per_s < self.safe_rate_per_s {
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
            self.rejected += 1;
        }
        is_taken
    }
}

/// Decides which new connections and requests a VM takes.
#[derive(Debug, Default)]
pub struct OverloadLimiter {
    detector: OverloadDetector,
    limit: Option<AdmissionLimit>,
    /// Connections and requests that came in the current window.
    arrived_connections: u32,
    arrived_requests: u32,
    window_start: Instant,
}

impl OverloadLimiter {
    /// Decides about a new connection. Returns also whether a limit began or ended with it.
    pub fn accept(
        &mut self,
        rule: ExcessRule,
        now: Instant,
    ) -> (ConnectionVerdict, Option<LimitChange>) {
        let change = self.advance(rule, now);
        self.arrived_connections += 1;
        let is_taken = rule != ExcessRule::Connections || self.try_take(now);
        let verdict = if is_taken {
            ConnectionVerdict::Take(self.detector.begin_probe(now))
        } else {
            ConnectionVerdict::Close
        };
        (verdict, change)
    }

    /// Decides about a request, on a new or an open connection. Returns whether it is taken, and whether a limit began or ended
    /// with it.
    pub fn admit_request(&mut self, rule: ExcessRule, now: Instant) -> (bool, Option<LimitChange>) {
        let change = self.advance(rule, now);
        self.arrived_requests += 1;
        let is_taken = rule != ExcessRule::Requests || self.try_take(now);
        (is_taken, change)
    }

    /// Ends a limit that is over, also without further connections and requests.
    pub fn refresh(&mut self, rule: ExcessRule, now: Instant) -> Option<LimitChange> {
        self.advance(rule, now)
    }

    fn try_take(&mut self, now: Instant) -> bool {
        let Some(limit) = &mut self.limit else {
            return true;
        };
        let is_taken = limit.try_take(now);
        if !is_taken {
            self.detector.record_rejected_work(now);
        }
        is_taken
    }

    /// Ends a probe; returns how long it waited.
    pub fn end_probe(&mut self, probe: &DelayProbe, now: Instant) -> Duration {
        self.detector.end_probe(probe, now)
    }

    fn advance(&mut self, rule: ExcessRule, now: Instant) -> Option<LimitChange> {
        let (window, change) = self.detector.advance(rule.max_delay(), now)?;
        let length = now.since(self.window_start).max(WINDOW);
        let arrived = match rule {
            ExcessRule::Connections => self.arrived_connections,
            ExcessRule::Requests => self.arrived_requests,
        };
        let arrival_rate = f64::from(arrived) / length.as_secs_f64();
        self.window_start = now;
        self.arrived_connections = 0;
        self.arrived_requests = 0;
        if let Some(limit) = &mut self.limit {
            limit.adjust(window);
        }
        match change? {
            OverloadChange::Began => {
                let rate = (arrival_rate * FIRST_DECREASE).max(MIN_RATE_PER_S);
                self.limit = Some(AdmissionLimit::new(rate, now));
                Some(LimitChange::Began(rate))
            }
            OverloadChange::Ended(began) => {
                let limit = self.limit.take()?;
                Some(LimitChange::Ended(LimitSummary {
                    lasted: now.since(began),
                    taken: limit.taken,
                    rejected: limit.rejected,
                }))
            }
        }
    }
}
