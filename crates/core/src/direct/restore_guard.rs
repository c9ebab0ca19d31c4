//! Guard against outdated operators' records after the log was restored from a copy.
//!
//! The log may be restored from a copy that is some seconds old, and operators then rewrite the records that it lacks. No
//! VM can tell what the copy lacks, however recently it read the log: a key may have been revoked after that read and
//! before the log was lost. So in a new era no read counts as a proof on any VM until operators have had the time to
//! rewrite, or have written a configuration and then paused. Proofs from reads of the earlier era cover only what was
//! acknowledged before those reads, and remain valid until they expire.

use crate::ids::{Instant, StoreEra};
use std::time::Duration;

/// Time after a configuration within which operators may write the next one that the copy lacks.
const WRITE_PAUSE: Duration = Duration::from_secs(2);

/// Time that operators need to rewrite the records that a copy lacks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RewriteRule {
    /// Time from the restoration of the log until all records are rewritten.
    pub rewrite_time: Duration,
}

/// Period in which the operators' records may lack the newest ones.
#[derive(Clone, Copy, Debug, Default)]
pub struct RestoreGuard {
    /// When operators have had the full time to rewrite.
    latest_end: Instant,
    /// When the period ends, as far as known.
    ends_at: Instant,
}

impl RestoreGuard {
    /// Starts the period for a new era of the log.
    pub fn enter_era(&mut self, era: StoreEra, rule: RewriteRule, now: Instant) {
        if !era.is_first() {
            self.latest_end = now.after(rule.rewrite_time);
            self.ends_at = self.latest_end;
        }
    }

    /// Records that operators wrote a configuration in this era, which may end the period earlier.
    pub fn record_write(&mut self, now: Instant) {
        if self.remaining(now).is_some() {
            self.ends_at = self.latest_end.min(now.after(WRITE_PAUSE));
        }
    }

    /// Ends the period, as operators have had the time to rewrite.
    pub fn end(&mut self) {
        self.ends_at = Instant::default();
    }

    /// Time until the period ends; `None` outside of it.
    #[must_use]
    pub fn remaining(&self, now: Instant) -> Option<Duration> {
        (now < self.ends_at).then(|| self.ends_at.since(now))
    }
}
