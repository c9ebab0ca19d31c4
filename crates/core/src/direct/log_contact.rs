//! Tracks when the platform's log was reachable.
//!
//! While the log is unreachable, entries of its target list may expire although their targets are alive. A failed call
//! of one VM does not show an outage, as the log may refuse this VM and serve others. VMs therefore report to each other
//! since when the log has answered them, and an outage only counts while no VM gets answers.

use crate::ids::{Instant, VmName};
use std::collections::HashMap;

/// Period of answers from the log without a failed call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerSpan {
    /// First answer.
    pub since: Instant,
    /// Last answer so far.
    pub last: Instant,
}

/// Period in which this VM's calls failed.
#[derive(Clone, Copy, Debug)]
struct LogOutage {
    /// Last answer before the outage, or its first failure if there was none.
    lost_at: Instant,
    /// Last failure.
    last_failed_at: Instant,
    /// First answer after the outage.
    recovered_at: Option<Instant>,
    /// Recovery of the log that was known before this outage.
    previous_recovery: Option<Instant>,
}

/// Contact of this VM and of its peers with the log.
#[derive(Clone, Debug, Default)]
pub struct LogContact {
    answer_span: Option<AnswerSpan>,
    outage: Option<LogOutage>,
    peers: HashMap<VmName, AnswerSpan>,
}

impl LogContact {
    /// Records an answer.
    pub fn record_answer(&mut self, now: Instant) {
        let span = self.answer_span.get_or_insert(AnswerSpan {
            since: now,
            last: now,
        });
        span.last = now;
        if let Some(outage) = &mut self.outage {
            outage.recovered_at.get_or_insert(now);
        }
    }

    /// Records a call that was refused or not answered.
    pub fn record_failure(&mut self, now: Instant) {
        let previous_recovery = self.recovered_at();
        let span = self.answer_span.take();
        match &mut self.outage {
            Some(outage) if outage.recovered_at.is_none() => outage.last_failed_at = now,
            _ => {
                self.outage = Some(LogOutage {
                    lost_at: span.map_or(now, |span| span.last),
                    last_failed_at: now,
                    recovered_at: None,
                    previous_recovery,
                });
            }
        }
    }

    /// Records the contact that another VM reports; `None` while its calls fail, or if it makes none.
    pub fn record_peer(&mut self, vm: &VmName, span: Option<AnswerSpan>) {
        match span {
            Some(span) => {
                self.peers.insert(vm.clone(), span);
            }
            None => {
                self.peers.remove(vm);
            }
        }
    }

    /// Current period of answers for this VM.
    #[must_use]
    pub fn answer_span(&self) -> Option<AnswerSpan> {
        self.answer_span
    }

    /// Last answer before the last outage, or its first failure if there was none.
    #[must_use]
    pub fn lost_at(&self) -> Option<Instant> {
        self.outage.map(|outage| outage.lost_at)
    }

    /// When the log recovered from its last outage, as far as this VM knows; `None` if there was no outage.
    #[must_use]
    pub fn recovered_at(&self) -> Option<Instant> {
        let outage = self.outage?;
        // A peer that got an answer since this VM's last failure was served while this VM was refused.
        let served_since = self
            .peers
            .values()
            .filter(|span| span.last >= outage.last_failed_at)
            .map(|span| span.since)
            .min();
        match (served_since, outage.recovered_at) {
            (Some(since), _) if since <= outage.lost_at => outage.previous_recovery,
            (Some(since), Some(recovered_at)) => Some(since.min(recovered_at)),
            (Some(since), None) => Some(since),
            // The outage continues, and its last failure stands for the recovery until there is one.
            (None, recovered_at) => Some(recovered_at.unwrap_or(outage.last_failed_at)),
        }
    }
}
