//! Guard against outdated operators' records after the log was restored from a copy.
//!
//! The log may be restored from a copy that is some seconds old, and operators then rewrite the records that it lacks.
//! A VM that knew the newest records shortly before keeps using them. A VM that starts later, or had lost contact,
//! cannot distinguish the copy from the newest records: a key that was revoked in the lost seconds would work again.
//! For such a VM no read of the copy counts as a proof until operators have had the time to rewrite, or have written a
//! configuration and then paused.

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
    /// Starts the period for a new era of the log, unless the newest configuration was known recently; `proof_age` is
    /// the age of the last proof.
    pub fn enter_era(
        &mut self,
        era: StoreEra,
        proof_age: Option<Duration>,
        rule: RewriteRule,
        now: Instant,
    ) {
        let is_proof_recent = proof_age.is_some_and(|age| age <= rule.rewrite_time);
        if !era.is_first() && !is_proof_recent {
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
