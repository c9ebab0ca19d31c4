//! Retry policy: what to do when an attempt ends without a complete answer.
//!
//! Repeats of work that may have run are paid from a budget that grows with admitted requests, so that faults do not
//! multiply load. A request that was returned as not run is retried outside the budget, and a broken stream is resumed
//! before its request is repeated.

use crate::{config::RequestRepeatability, ids::Instant};
use std::time::Duration;

/// How an attempt ended without a complete answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The request was returned with a proof that it was not run.
    GivenBack,
    /// The target reported a failure.
    TargetFailed,
    /// The connection broke, or the answer stalled.
    Broken,
}

/// Next step after an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Try another target after this pause.
    Retry(Duration),
    /// After this pause, request the rest of a stream that may still be running; this starts no new work.
    Resume(Duration),
    /// End the request with the outcome known so far.
    GiveUp,
}

const MAX_DOUBLINGS: u32 = 4;

/// Limits on retries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Maximum number of attempts per request, including the first.
    pub max_attempts: u32,
    /// Time during which a request that was returned as not run is retried; these retries cost no target any work.
    pub not_run_timeout: Duration,
    /// Pause before the first retry; doubles with each attempt, at most four times.
    pub initial_backoff: Duration,
    /// Time during which a broken stream may be resumed.
    pub resume_timeout: Duration,
}

impl Default for RetryLimits {
    fn default() -> Self {
        Self {
            max_attempts: 3,
            not_run_timeout: Duration::from_secs(2),
            initial_backoff: Duration::from_millis(20),
            resume_timeout: Duration::from_secs(15),
        }
    }
}

/// Token bucket that pays for retries; each admitted request earns a fraction of a token.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    tokens: f64,
    capacity: f64,
    earned_per_request: f64,
}

impl RetryBudget {
    /// Creates a full budget of `capacity` retries, to which each request adds `earned_per_request`.
    #[must_use]
    pub fn new(capacity: f64, earned_per_request: f64) -> Self {
        Self {
            tokens: capacity,
            capacity,
            earned_per_request,
        }
    }

    /// Adds the share earned by an admitted request.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + self.earned_per_request).min(self.capacity);
    }

    /// Takes one token to pay for a retry; returns false if there is none.
    pub fn try_spend(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// Input of [`decide_retry`].
#[derive(Clone, Copy, Debug)]
pub struct RetryInput {
    /// Whether the request may be repeated.
    pub repeatability: RequestRepeatability,
    /// How the attempt ended.
    pub end: AttemptEnd,
    /// Number of attempts so far.
    pub attempts: u32,
    /// Number of times the request was returned as not run.
    pub not_run_count: u32,
    /// Time at which the request was first returned as not run.
    pub not_run_since: Option<Instant>,
    /// Whether a part of the answer was already sent to the caller.
    pub answer_started: bool,
    /// Time at which the stream broke.
    pub broken_since: Option<Instant>,
    /// Current time.
    pub now: Instant,
    /// Time at which the caller stops waiting.
    pub deadline: Instant,
    /// Random jitter from 0 to 1, which scales the pause from half to its full length.
    pub jitter: f64,
}

/// Decides the next step after an attempt that ended without a complete answer.
pub fn decide_retry(
    limits: &RetryLimits,
    budget: &mut RetryBudget,
    input: &RetryInput,
) -> RetryDecision {
    if input.now >= input.deadline {
        return RetryDecision::GiveUp;
    }
    let pause = backoff(limits.initial_backoff, input);
    match input.end {
        AttemptEnd::GivenBack => {
            let since = input.not_run_since.unwrap_or(input.now);
            if input.now.since(since) < limits.not_run_timeout {
                RetryDecision::Retry(pause)
            } else {
                RetryDecision::GiveUp
            }
        }
        AttemptEnd::Broken => {
            let since = input.broken_since.unwrap_or(input.now);
            if input.now.since(since) < limits.resume_timeout {
                return RetryDecision::Resume(pause);
            }
            repeat_or_give_up(limits, budget, input, pause)
        }
        AttemptEnd::TargetFailed => repeat_or_give_up(limits, budget, input, pause),
    }
}

fn repeat_or_give_up(
    limits: &RetryLimits,
    budget: &mut RetryBudget,
    input: &RetryInput,
    pause: Duration,
) -> RetryDecision {
    let is_allowed = input.repeatability == RequestRepeatability::Repeatable
        && !input.answer_started
        && input.attempts < limits.max_attempts
        && budget.try_spend();
    if is_allowed {
        RetryDecision::Retry(pause)
    } else {
        RetryDecision::GiveUp
    }
}

fn backoff(initial: Duration, input: &RetryInput) -> Duration {
    let doublings = (input.attempts + input.not_run_count).min(MAX_DOUBLINGS);
    let full = initial * (1 << doublings);
    full.mul_f64(0.5 + 0.5 * input.jitter)
}
