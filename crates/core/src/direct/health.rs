//! Doubt about targets, from the outcomes of calls.
//!
//! A health check is one witness and may be wrong either way; what calls end with decides. A doubted target gets a
//! trickle of calls, and leaves doubt by answering them, so the return is gradual and at no fixed time.

use crate::ids::{Instant, TargetName};
use std::{collections::HashMap, time::Duration};

/// Weight of the newest outcome in the running share of failures.
const NEWEST_WEIGHT: f64 = 0.12;
/// Share of failures from which a target is doubted.
const DOUBT_FROM: f64 = 0.45;
/// Failed connections in a row from which a target counts as out of reach.
const UNREACHED_FROM: u32 = 1;
/// Failed connections in a row from which calls are refused rather than sent there.
const LOST_FROM: u32 = 2;
/// Pause after a failed connection; doubles up to the longest.
const UNREACHED_PAUSE: Duration = Duration::from_millis(300);
const UNREACHED_LONGEST: Duration = Duration::from_millis(2_400);

/// How a call at a target ended, as far as the target's health goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// It was answered well.
    Success,
    /// The target stated a failure, or broke the answer off.
    Failed,
    /// No connection could be made.
    ConnectFailed,
    /// The target turned it away as full, and asked for rest for so long.
    Overloaded(Duration),
}

#[derive(Clone, Copy, Debug, Default)]
struct TargetRecord {
    failing: f64,
    unreached: u32,
    retry_at: Option<Instant>,
    shed_until: Option<Instant>,
}

/// Outcomes by target.
#[derive(Clone, Debug, Default)]
pub struct HealthTable {
    records: HashMap<TargetName, TargetRecord>,
}

/// Pause in which a target that turned a call away is passed over, if it asked for no longer one.
const SHED_PAUSE: Duration = Duration::from_millis(60);
const SHED_LONGEST: Duration = Duration::from_secs(30);

impl HealthTable {
    /// Notes an outcome.
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
                record.failing *= 1.0 - NEWEST_WEIGHT;
                record.unreached = 0;
                record.retry_at = None;
            }
            CallOutcome::Failed => {
                record.failing += (1.0 - record.failing) * NEWEST_WEIGHT;
                record.unreached = 0;
            }
            CallOutcome::ConnectFailed => {
                record.unreached += 1;
                let doublings = (record.unreached - 1).min(3);
                let pause = (UNREACHED_PAUSE * (1 << doublings)).min(UNREACHED_LONGEST);
                record.retry_at = Some(now.after(pause));
            }
            CallOutcome::Overloaded(rest) => {
                let until = now.after(rest.clamp(SHED_PAUSE, SHED_LONGEST));
                record.shed_until = record.shed_until.max(Some(until));
            }
        }
    }

    /// Running share of failures of a target.
    #[must_use]
    pub fn failure_rate(&self, target: &TargetName) -> f64 {
        self.records
            .get(target)
            .map_or(0.0, |record| record.failing)
    }

    /// Whether a target is doubted, and should only get a trickle.
    #[must_use]
    pub fn is_degraded(&self, target: &TargetName) -> bool {
        self.failure_rate(target) >= DOUBT_FROM
    }

    /// Whether a target should not be tried now.
    #[must_use]
    pub fn is_unreachable(&self, target: &TargetName, now: Instant) -> bool {
        self.records.get(target).is_some_and(|record| {
            record.unreached >= UNREACHED_FROM && record.retry_at.is_some_and(|at| now < at)
        })
    }

    /// Whether a target was out of reach more than once, the last time a moment ago: no call should wait for it.
    #[must_use]
    pub fn is_down(&self, target: &TargetName, now: Instant) -> bool {
        self.is_unreachable(target, now)
            && self
                .records
                .get(target)
                .is_some_and(|record| record.unreached >= LOST_FROM)
    }

    /// Whether a target turned calls away a moment ago.
    #[must_use]
    pub fn is_overloaded(&self, target: &TargetName, now: Instant) -> bool {
        self.records
            .get(target)
            .is_some_and(|record| record.shed_until.is_some_and(|until| now < until))
    }

    /// Forgets a target, which has started again.
    pub fn forget(&mut self, target: &TargetName) {
        self.records.remove(target);
    }

    /// Forgets targets that are gone.
    pub fn retain(&mut self, keep: impl Fn(&TargetName) -> bool) {
        self.records.retain(|target, _| keep(target));
    }
}
