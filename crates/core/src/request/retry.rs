//! What to do when an attempt ends without an answer.
//!
//! Retries are paid from a budget that grows with successful work, so that faults do not multiply load.

use crate::{config::RequestRepeatability, ids::Instant};
use std::time::Duration;

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The other daemon gave it back unsent.
    GivenBack,
    /// The target stated a failure.
    TargetFailed,
    /// The connection broke, or the answer stopped coming.
    Broken,
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Try elsewhere after a pause.
    Retry(Duration),
    /// Ask for the rest of the stream that may still be running; this runs nothing.
    Resume(Duration),
    /// End it with what is known.
    GiveUp,
}

/// Doublings of the pause between attempts.
const MOST_DOUBLINGS: u32 = 4;

/// Bounds on retries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Attempts for one request, the first one included.
    pub attempts: u32,
    /// Time for which a request that was given back looks for another target, which costs nobody any work.
    pub given_back_within: Duration,
    /// First pause; doubles with each attempt.
    pub pause: Duration,
    /// Time for which a broken stream may be asked for again.
    pub resume_within: Duration,
}

impl Default for RetryLimits {
    fn default() -> Self {
        Self {
            attempts: 3,
            given_back_within: Duration::from_secs(2),
            pause: Duration::from_millis(20),
            resume_within: Duration::from_secs(15),
        }
    }
}

/// Tokens that pay for retries: each first attempt earns a part of one.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    tokens: f64,
    most: f64,
    earned: f64,
}

impl RetryBudget {
    /// A budget of at most `most` retries at once, and `earned` of one for each request.
    #[must_use]
    pub fn new(most: f64, earned: f64) -> Self {
        Self {
            tokens: most,
            most,
            earned,
        }
    }

    /// A request was admitted.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + self.earned).min(self.most);
    }

    /// Pays for one retry, if there is enough.
    pub fn spend(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// Everything that the decision depends on.
#[derive(Clone, Copy, Debug)]
pub struct RetryInput {
    /// Whether the request may be repeated.
    pub rule: RequestRepeatability,
    /// How the attempt ended.
    pub end: AttemptEnd,
    /// Attempts so far.
    pub attempts: u32,
    /// Times it was given back.
    pub given_back: u32,
    /// Since when it has been given back.
    pub given_back_since: Option<Instant>,
    /// Whether part of the answer has reached the caller.
    pub answer_started: bool,
    /// Since when the stream is broken.
    pub broken_since: Option<Instant>,
    /// Now.
    pub now: Instant,
    /// When the caller stops waiting.
    pub deadline: Instant,
    /// Random number from 0 to 1 that spreads the pauses.
    pub jitter: f64,
}

/// Decides what to do next.
pub fn decide_retry(
    limits: &RetryLimits,
    budget: &mut RetryBudget,
    input: &RetryInput,
) -> RetryDecision {
    if input.now >= input.deadline {
        return RetryDecision::GiveUp;
    }
    let pause = backoff(limits.pause, input);
    match input.end {
        AttemptEnd::GivenBack => {
            let since = input.given_back_since.unwrap_or(input.now);
            if input.now.since(since) < limits.given_back_within {
                RetryDecision::Retry(pause)
            } else {
                RetryDecision::GiveUp
            }
        }
        AttemptEnd::Broken => {
            let since = input.broken_since.unwrap_or(input.now);
            if input.now.since(since) < limits.resume_within {
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
    let allowed = input.rule == RequestRepeatability::Repeatable
        && !input.answer_started
        && input.attempts < limits.attempts
        && budget.spend();
    if allowed {
        RetryDecision::Retry(pause)
    } else {
        RetryDecision::GiveUp
    }
}

fn backoff(first: Duration, input: &RetryInput) -> Duration {
    let doublings = (input.attempts + input.given_back).min(MOST_DOUBLINGS);
    let full = first * (1 << doublings);
    full.mul_f64(0.5 + 0.5 * input.jitter)
}
