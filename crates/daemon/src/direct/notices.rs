//! Notices that targets give about themselves in the headers of their answers: that they are leaving, and that they request
//! a backoff.
//!
//! A leaving target takes no new work from any VM, so each VM forwards such a notice over all its links. While the platform's log
//! is unavailable, these are the only source of that fact. A backoff concerns only the VM that it was requested from.

use crate::{clock, direct::fleet::FleetState, event, events::Event};
use hoplanding_core::{direct::target_notices::TargetNotice, ids::TargetRun};
use hoplanding_platform::notices::decode_notice;
use http::{HeaderMap, StatusCode};
use std::{collections::BTreeMap, slice};

/// Targets that one message names at most.
const MAX_TARGETS_PER_MESSAGE: usize = 64;

/// Targets that are known to be leaving, in the order in which this VM learned of them. Each link reads the list from its own
/// position on.
#[derive(Debug, Default)]
pub struct LeavingTargets {
    runs: BTreeMap<u64, TargetRun>,
    /// Position after the newest entry.
    head: u64,
}

impl LeavingTargets {
    /// Adds a target at the end.
    pub fn push(&mut self, run: TargetRun) {
        self.runs.insert(self.head, run);
        self.head += 1;
    }

    /// Position after the newest entry.
    #[must_use]
    pub fn head(&self) -> u64 {
        self.head
    }

    /// Targets from a position on, as many as fit into one message, and the position after them.
    #[must_use]
    pub fn after(&self, position: u64) -> (Vec<TargetRun>, u64) {
        let runs: Vec<_> = self
            .runs
            .range(position..)
            .take(MAX_TARGETS_PER_MESSAGE)
            .collect();
        let next = match runs.last() {
            Some((last, _)) if runs.len() == MAX_TARGETS_PER_MESSAGE => **last + 1,
            _ => self.head,
        };
        let runs = runs.into_iter().map(|(_, run)| run.clone()).collect();
        (runs, next)
    }

    /// Removes the targets that `keep` rejects, such as those that are no longer listed.
    pub fn retain(&mut self, keep: impl Fn(&TargetRun) -> bool) {
        self.runs.retain(|_, run| keep(run));
    }
}

impl FleetState {
    /// Applies the notice in an answer of a target. The caller must have made sure that the answer is from this target.
    pub fn apply_target_notice(
        &self,
        run: &TargetRun,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> TargetNotice {
        let decoded = decode_notice(status, headers);
        let now = clock::now();
        for fault in &decoded.errors {
            if let Some(suppressed) = self.tables().unreadable_headers.record(now) {
                event!(
                    Event::InvalidNotice,
                    "{}: {fault}; {suppressed} earlier ones not logged",
                    run.name
                );
            }
        }
        let notice = decoded.notice;
        if notice.is_leaving {
            self.mark_leaving(slice::from_ref(run), "stated in its own answer");
        }
        if let Some(backoff) = notice.backoff {
            let applied = self.tables().backoffs.record(run, backoff, now);
            event!(
                Event::BackoffRequested,
                "{} for {backoff:?}, applied for {applied:?}",
                run.name
            );
        }
        notice
    }

    /// Whether a target has requested a backoff from this VM that has not ended.
    #[must_use]
    pub fn is_backing_off(&self, run: &TargetRun) -> bool {
        let now = clock::now();
        self.tables().backoffs.remaining(run, now).is_some()
    }

    /// Marks targets as leaving, and announces those of them that were not known to be. `source` names the origin of the notice in
    /// the log.
    pub fn mark_leaving(&self, runs: &[TargetRun], source: &str) {
        let mut tables = self.tables();
        let head = tables.leaving.head();
        for run in runs {
            if tables.catalog.record_leaving(run) {
                event!(Event::TargetLeaving, "{}, {source}", run.name);
                tables.leaving.push(run.clone());
            }
        }
        if tables.leaving.head() == head {
            return;
        }
        self.announce(&tables);
        drop(tables);
        self.signal();
    }
}
