//! Rests that targets asked this VM for: spans in which they want nothing from it.
//!
//! Once a rest is over, calls come back one after the other until an answer shows that the target takes them again, so that what was
//! held back does not arrive at once.

use crate::ids::{Instant, TargetRun};
use std::{collections::HashMap, time::Duration};

/// Longest rest that is kept; a target that still wants none then says so to the first call.
const LONGEST_REST: Duration = Duration::from_secs(30);
/// Pause between two calls after a rest, until one of them is answered.
const HALF_OPEN_PAUSE: Duration = Duration::from_millis(150);

#[derive(Clone, Copy, Debug)]
struct RestRow {
    until: Instant,
    /// Whether a call was let through since the rest was over.
    is_half_open: bool,
}

/// The rests of targets, each in one of its lives.
#[derive(Clone, Debug, Default)]
pub struct BackoffTable {
    rows: HashMap<TargetRun, RestRow>,
}

impl BackoffTable {
    /// A target asked for rest; gives how much of it is kept.
    pub fn record(&mut self, run: &TargetRun, rest: Duration, now: Instant) -> Duration {
        let kept = rest.min(LONGEST_REST);
        let until = now.after(kept);
        let row = self.rows.entry(run.clone()).or_insert(RestRow {
            until,
            is_half_open: false,
        });
        row.until = until.max(row.until);
        row.is_half_open = false;
        kept
    }

    /// A target answered a call without asking for rest. Before the rest is over that is the answer to an earlier call.
    pub fn record_answer(&mut self, run: &TargetRun) {
        if self.rows.get(run).is_some_and(|row| row.is_half_open) {
            self.rows.remove(run);
        }
    }

    /// Time for which a target wants nothing; none if it may be sent to.
    #[must_use]
    pub fn remaining(&self, run: &TargetRun, now: Instant) -> Option<Duration> {
        let row = self.rows.get(run)?;
        (now < row.until).then(|| row.until.since(now))
    }

    /// Whether no target asked for rest lately.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Targets that want nothing now.
    pub fn active(&self, now: Instant) -> impl Iterator<Item = &TargetRun> {
        let rows = self.rows.iter();
        rows.filter(move |(_, row)| now < row.until)
            .map(|(run, _)| run)
    }

    /// Whether a call may be sent now; after a rest the next ones then wait for a moment.
    pub fn try_admit(&mut self, run: &TargetRun, now: Instant) -> bool {
        let Some(row) = self.rows.get_mut(run) else {
            return true;
        };
        if now < row.until {
            return false;
        }
        row.until = now.after(HALF_OPEN_PAUSE);
        row.is_half_open = true;
        true
    }

    /// Forgets targets that are gone.
    pub fn retain(&mut self, keep: impl Fn(&TargetRun) -> bool) {
        self.rows.retain(|run, _| keep(run));
    }
}
