//! What targets say of themselves in their answers, of whatever kind.
//!
//! That a target leaves is true for the whole fleet, so each VM passes it on over all its links: while the platform's log
//! is away nothing else tells of it.

use crate::{clock, direct::fleet::FleetState, event, events::Event};
use hoplanding_core::{direct::target_notices::TargetNotice, ids::TargetRun};
use hoplanding_platform::notices::decode_notice;
use http::{HeaderMap, StatusCode};
use std::{collections::BTreeMap, slice};

/// Targets told of in one message.
const MESSAGE_TARGETS: usize = 64;

/// Targets that said that they leave, in the order in which this VM heard of it.
#[derive(Debug, Default)]
pub struct LeavingTargets {
    runs: BTreeMap<u64, TargetRun>,
    /// Place behind the newest.
    head: u64,
}

impl LeavingTargets {
    /// Adds a target.
    pub fn push(&mut self, run: TargetRun) {
        self.runs.insert(self.head, run);
        self.head += 1;
    }

    /// Place behind the newest.
    #[must_use]
    pub fn head(&self) -> u64 {
        self.head
    }

    /// Targets from a place on, as many as go into one message, and the place behind them.
    #[must_use]
    pub fn after(&self, place: u64) -> (Vec<TargetRun>, u64) {
        let told: Vec<_> = self.runs.range(place..).take(MESSAGE_TARGETS).collect();
        let behind = match told.last() {
            Some((last, _)) if told.len() == MESSAGE_TARGETS => **last + 1,
            _ => self.head,
        };
        let runs = told.into_iter().map(|(_, run)| run.clone()).collect();
        (runs, behind)
    }

    /// Forgets targets that are gone.
    pub fn retain(&mut self, keep: impl Fn(&TargetRun) -> bool) {
        self.runs.retain(|_, run| keep(run));
    }
}

impl FleetState {
    /// Takes in what an answer of a target says of it; the answer must be known to be the target's own.
    pub fn apply_target_notice(
        &self,
        run: &TargetRun,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> TargetNotice {
        let decoded = decode_notice(status, headers);
        let now = clock::now();
        for fault in &decoded.faults {
            if let Some(untold) = self.tables().unreadable_headers.note(now) {
                event!(
                    Event::InvalidNotice,
                    "{}: {fault}; {untold} more before it",
                    run.name
                );
            }
        }
        let notice = decoded.notice;
        if notice.is_leaving {
            self.mark_leaving(slice::from_ref(run), "by its own answer");
        }
        if let Some(rest) = notice.backoff {
            let kept = self.tables().rests.record(run, rest, now);
            event!(
                Event::BackoffRequested,
                "{} for {rest:?}, kept for {kept:?}",
                run.name
            );
        }
        notice
    }

    /// Whether a target wants nothing from this VM now.
    #[must_use]
    pub fn is_resting(&self, run: &TargetRun) -> bool {
        let now = clock::now();
        self.tables().rests.remaining(run, now).is_some()
    }

    /// Takes in that targets said that they leave.
    pub fn mark_leaving(&self, runs: &[TargetRun], source: &str) {
        let mut tables = self.tables();
        let head = tables.leaving.head();
        for run in runs {
            if tables.catalog.note_leaving(run) {
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
