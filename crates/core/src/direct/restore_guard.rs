//! Guard against outdated operators' records after the log was restored from a copy.
//!
//! The log may be restored from a copy that is some seconds old, and operators then rewrite the records that it lacks. No
//! VM can tell what the copy lacks, however recently it read the log: a key may have been revoked after that read and
//! before the log was lost. Nor does a configuration that operators write end the doubt: another one that the copy lacks
//! may follow. So in a new era no read counts as a proof on any VM until operators have had the time to rewrite. Proofs
//! from reads of the earlier era cover only what was acknowledged before those reads, and remain valid until they expire.

use crate::ids::{Instant, StoreEra};
use std::time::Duration;

/// Time that operators need to rewrite the records that a copy lacks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RewriteRule {
    /// Time from the restoration of the log until all records are rewritten.
    pub rewrite_time: Duration,
}

/// Period in which the operators' records may lack the newest ones.
#[derive(Clone, Copy, Debug, Default)]
pub struct RestoreGuard {
    ends_at: Instant,
}

impl RestoreGuard {
    /// Starts the period for a new era of the log.
    pub fn enter_era(&mut self, era: StoreEra, rule: RewriteRule, now: Instant) {
        if !era.is_first() {
            self.ends_at = now.after(rule.rewrite_time);
        }
    }

    /// Starts the period again after an outage of the log that began in it, as operators could not write either.
    /// `recovered_at` is the time of the last failure while the outage continues.
    pub fn record_outage(&mut self, lost_at: Instant, recovered_at: Instant, rule: RewriteRule) {
        if self.remaining(lost_at).is_some() {
            self.ends_at = self.ends_at.max(recovered_at.after(rule.rewrite_time));
        }
    }

    /// Ends the period at a time from which on operators are known to have had the time to rewrite. Reads that were sent
    /// before it still prove nothing.
    pub fn end(&mut self, settled_at: Instant) {
        self.ends_at = self.ends_at.min(settled_at);
    }

    /// Time until the period ends; `None` outside of it.
    #[must_use]
    pub fn remaining(&self, now: Instant) -> Option<Duration> {
        (now < self.ends_at).then(|| self.ends_at.since(now))
    }
}
