//! Health of targets, from the outcomes of calls.
//!
//! A health check can be wrong in both directions, so the outcomes of real calls decide. A degraded target still gets a
//! trickle of calls and recovers by answering them, so that its load returns gradually and after no fixed time.

use crate::ids::{Instant, TargetName};
use std::{collections::HashMap, time::Duration};

/// Weight of the newest outcome in the moving average of failures.
const OUTCOME_WEIGHT: f64 = 0.12;
/// Failure rate from which a target is degraded.
const DEGRADED_FAILURE_RATE: f64 = 0.45;
/// Consecutive connection failures from which a target is unreachable.
const UNREACHABLE_MIN_FAILURES: u32 = 1;
/// Consecutive connection failures from which a target is down, so that calls are refused instead of sent to it.
const DOWN_MIN_FAILURES: u32 = 2;
/// Backoff after a connection failure, which doubles up to its maximum.
const MIN_CONNECT_BACKOFF: Duration = Duration::from_millis(300);
const MAX_CONNECT_BACKOFF: Duration = Duration::from_millis(2_400);

/// Outcome of a call with regard to the target's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The call was answered successfully.
    Success,
    /// The target reported a failure or broke the answer off.
    Failed,
    /// No connection was established.
    ConnectFailed,
    /// The target refused the call because of overload and requested this backoff.
    Overloaded(Duration),
}

#[derive(Clone, Copy, Debug, Default)]
struct TargetRecord {
    failure_rate: f64,
    connect_failures: u32,
    retry_at: Option<Instant>,
    overloaded_until: Option<Instant>,
}

/// Health of targets by name.
#[derive(Clone, Debug, Default)]
pub struct HealthTable {
    records: HashMap<TargetName, TargetRecord>,
}

/// Bounds of the backoff that an overloaded target requests.
const MIN_OVERLOAD_BACKOFF: Duration = Duration::from_millis(60);
const MAX_OVERLOAD_BACKOFF: Duration = Duration::from_secs(30);

impl HealthTable {
    /// Records the outcome of a call.
    pub fn record(&mut self, target: &TargetName, outcome: CallOutcome, now: Instant) {
        if !self.records.contains_key(target) {
            if outcome == CallOutcome::Success {
                return;
            }
            self.records.insert(target.clone(), TargetRecord::default());
        }
        let Some(record) = self.records.get_mut(target) else {
            return;
        };
        match outcome {
            CallOutcome::Success => {
                record.failure_rate *= 1.0 - OUTCOME_WEIGHT;
                record.connect_failures = 0;
                record.retry_at = None;
            }
            CallOutcome::Failed => {
                record.failure_rate += (1.0 - record.failure_rate) * OUTCOME_WEIGHT;
                record.connect_failures = 0;
            }
            CallOutcome::ConnectFailed => {
                record.connect_failures += 1;
                let doublings = (record.connect_failures - 1).min(3);
                let backoff = (MIN_CONNECT_BACKOFF * (1 << doublings)).min(MAX_CONNECT_BACKOFF);
                record.retry_at = Some(now.after(backoff));
            }
            CallOutcome::Overloaded(backoff) => {
                let until = now.after(backoff.clamp(MIN_OVERLOAD_BACKOFF, MAX_OVERLOAD_BACKOFF));
                record.overloaded_until = record.overloaded_until.max(Some(until));
            }
        }
    }

    /// Moving average of a target's failures, from 0 to 1.
    #[must_use]
    pub fn failure_rate(&self, target: &TargetName) -> f64 {
        self.records
            .get(target)
            .map_or(0.0, |record| record.failure_rate)
    }

    /// Whether a target fails so often that it should only get a trickle of calls.
    #[must_use]
    pub fn is_degraded(&self, target: &TargetName) -> bool {
        self.failure_rate(target) >= DEGRADED_FAILURE_RATE
    }

    /// Whether a target should not be tried at `now` because connections failed.
    #[must_use]
    pub fn is_unreachable(&self, target: &TargetName, now: Instant) -> bool {
        self.records.get(target).is_some_and(|record| {
            record.connect_failures >= UNREACHABLE_MIN_FAILURES
                && record.retry_at.is_some_and(|at| now < at)
        })
    }

    /// Whether connections to a target failed repeatedly, the last one within its backoff; no call should wait for it.
    #[must_use]
    pub fn is_down(&self, target: &TargetName, now: Instant) -> bool {
        self.is_unreachable(target, now)
            && self
                .records
                .get(target)
                .is_some_and(|record| record.connect_failures >= DOWN_MIN_FAILURES)
    }

    /// Whether a target is within the backoff that it requested because of overload.
    #[must_use]
    pub fn is_overloaded(&self, target: &TargetName, now: Instant) -> bool {
        self.records
            .get(target)
            .is_some_and(|record| record.overloaded_until.is_some_and(|until| now < until))
    }

    /// Forgets connection failures of the targets that match. They say nothing about a target once the path that was lost is
    /// restored: after a partition of 6 s, targets that were back would otherwise get no call for up to another 2.4 s.
    pub fn forget_connect_failures(&mut self, is_affected: impl Fn(&TargetName) -> bool) {
        for (target, record) in &mut self.records {
            if is_affected(target) {
                record.connect_failures = 0;
                record.retry_at = None;
            }
        }
    }

    /// Forgets the outcomes of a target that has restarted.
    pub fn forget(&mut self, target: &TargetName) {
        self.records.remove(target);
    }

    /// Keeps the targets that match.
    pub fn retain(&mut self, keep: impl Fn(&TargetName) -> bool) {
        self.records.retain(|target, _| keep(target));
    }
}
