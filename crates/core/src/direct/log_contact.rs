//! Since when the platform's log has been in reach.
//!
//! While the log is away, entries of its target list may lapse though their targets live. A failed call of one VM does
//! not say that it is: it may turn that VM away and serve the others. So VMs tell each other since when it has answered
//! them, and an outage counts only as far as no VM had answers meanwhile.

use crate::ids::{Instant, VmName};
use std::collections::HashMap;

/// A run of answers from the log, without a failed call between them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerSpan {
    /// The first answer.
    pub since: Instant,
    /// The last one so far.
    pub last: Instant,
}

/// A time in which this VM's calls failed.
#[derive(Clone, Copy, Debug)]
struct CallOutage {
    /// The last answer before it, or the first failure if there was none.
    lost: Instant,
    /// The last failure.
    last_failed: Instant,
    /// The first answer after it.
    back: Option<Instant>,
    /// The return of the log that counted before it.
    before: Option<Instant>,
}

/// This VM's contact with the log, and what others say of theirs.
#[derive(Clone, Debug, Default)]
pub struct LogContact {
    answer_span: Option<AnswerSpan>,
    outage: Option<CallOutage>,
    others: HashMap<VmName, AnswerSpan>,
}

impl LogContact {
    /// A call was answered.
    pub fn record_answer(&mut self, now: Instant) {
        let run = self.answer_span.get_or_insert(AnswerSpan {
            since: now,
            last: now,
        });
        run.last = now;
        if let Some(outage) = &mut self.outage {
            outage.back.get_or_insert(now);
        }
    }

    /// A call was refused, or had no answer.
    pub fn record_failure(&mut self, now: Instant) {
        let before = self.recovered_at();
        let run = self.answer_span.take();
        match &mut self.outage {
            Some(outage) if outage.back.is_none() => outage.last_failed = now,
            _ => {
                self.outage = Some(CallOutage {
                    lost: run.map_or(now, |run| run.last),
                    last_failed: now,
                    back: None,
                    before,
                });
            }
        }
    }

    /// Another VM says how its contact stands; none while its calls fail, or where it makes none.
    pub fn record_peer(&mut self, vm: &VmName, run: Option<AnswerSpan>) {
        match run {
            Some(run) => {
                self.others.insert(vm.clone(), run);
            }
            None => {
                self.others.remove(vm);
            }
        }
    }

    /// This VM's present run of answers.
    #[must_use]
    pub fn answer_span(&self) -> Option<AnswerSpan> {
        self.answer_span
    }

    /// When the log came back from its last outage, as far as this VM can tell; none if it has had none.
    #[must_use]
    pub fn recovered_at(&self) -> Option<Instant> {
        let outage = self.outage?;
        // Who had an answer since this VM's last failure was served when this VM was not.
        let served = self
            .others
            .values()
            .filter(|run| run.last >= outage.last_failed)
            .map(|run| run.since)
            .min();
        match (served, outage.back) {
            (Some(since), _) if since <= outage.lost => outage.before,
            (Some(since), Some(back)) => Some(since.min(back)),
            (Some(since), None) => Some(since),
            // Still away: the last failure stands for the return, until there is one.
            (None, back) => Some(back.unwrap_or(outage.last_failed)),
        }
    }
}
