//! Backoff that targets request from this VM: periods in which they accept no calls from it.
//!
//! After a backoff, calls are let through one at a time until an answer shows that the target accepts them again.
//! Otherwise all calls that were held back would arrive at once.

use crate::ids::{Instant, TargetRun};
use std::{collections::HashMap, time::Duration};

/// Longest backoff that is applied; a target that needs more requests it again in its answer to the first call.
const MAX_BACKOFF: Duration = Duration::from_secs(30);
/// Interval between two calls after a backoff, until one of them is answered.
const HALF_OPEN_INTERVAL: Duration = Duration::from_millis(150);

#[derive(Clone, Copy, Debug)]
struct BackoffRow {
    until: Instant,
    /// Whether a call was let through since the backoff ended.
    is_half_open: bool,
}

/// Requested backoff by target and life.
#[derive(Clone, Debug, Default)]
pub struct BackoffTable {
    rows: HashMap<TargetRun, BackoffRow>,
}

impl BackoffTable {
    /// Records a requested backoff; returns the part that is applied.
    pub fn record(&mut self, run: &TargetRun, backoff: Duration, now: Instant) -> Duration {
        let kept = backoff.min(MAX_BACKOFF);
        let until = now.after(kept);
        let row = self.rows.entry(run.clone()).or_insert(BackoffRow {
            until,
            is_half_open: false,
        });
        row.until = until.max(row.until);
        row.is_half_open = false;
        kept
    }

    /// Records an answer without a request for backoff. During the backoff it belongs to an earlier call and is
    /// ignored.
    pub fn record_answer(&mut self, run: &TargetRun) {
        if self.rows.get(run).is_some_and(|row| row.is_half_open) {
            self.rows.remove(run);
        }
    }

    /// Remaining backoff of a target; `None` if it may be called.
    #[must_use]
    pub fn remaining(&self, run: &TargetRun, now: Instant) -> Option<Duration> {
        let row = self.rows.get(run)?;
        (now < row.until).then(|| row.until.since(now))
    }

    /// Whether no target has a backoff or is half-open.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Targets that are within their backoff.
    pub fn active(&self, now: Instant) -> impl Iterator<Item = &TargetRun> {
        let rows = self.rows.iter();
        rows.filter(move |(_, row)| now < row.until)
            .map(|(run, _)| run)
    }

    /// Whether a call may be sent now. After a backoff, an admitted call delays the next one by a short interval.
    pub fn try_admit(&mut self, run: &TargetRun, now: Instant) -> bool {
        let Some(row) = self.rows.get_mut(run) else {
            return true;
        };
        if now < row.until {
            return false;
        }
        row.until = now.after(HALF_OPEN_INTERVAL);
        row.is_half_open = true;
        true
    }

    /// Keeps the targets that match.
    pub fn retain(&mut self, keep: impl Fn(&TargetRun) -> bool) {
        self.rows.retain(|run, _| keep(run));
    }
}
