//! Whether the operators' records in the log may lack the newest.
//!
//! The log may come back from a copy that is some seconds old, and operators then write again what it lacks. A VM that knew the newest
//! records shortly before goes on by them. One that starts afterwards, or was out of touch, can't tell a copy from the newest: a key
//! that was taken away in the lost seconds would count again. So no read of the copy proves anything to it until operators have had
//! the time to write, or have written a configuration and then paused.

use crate::ids::{Instant, StoreEra};
use std::time::Duration;

/// Time after a configuration in which operators may write the next one that the copy lacks.
const WRITES_PAUSE: Duration = Duration::from_secs(2);

/// How long operators take to write again what a copy of the log lacks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RewriteRule {
    /// Time from the log's return until all of it is written again.
    pub rewrite_time: Duration,
}

/// Whether what is read of the operators' records may lack the newest.
#[derive(Clone, Copy, Debug, Default)]
pub struct RestoreGuard {
    /// When operators have had the time to write again.
    latest: Instant,
    /// When the doubt is over, as far as is known.
    until: Instant,
}

impl RestoreGuard {
    /// Takes in a new era of the log; `proven` is the age of the proof that the configuration was the newest.
    pub fn enter_era(
        &mut self,
        era: StoreEra,
        proven: Option<Duration>,
        rule: RewriteRule,
        now: Instant,
    ) {
        let is_known = proven.is_some_and(|age| age <= rule.rewrite_time);
        if !era.is_first() && !is_known {
            self.latest = now.after(rule.rewrite_time);
            self.until = self.latest;
        }
    }

    /// Operators wrote a configuration in this era.
    pub fn record_write(&mut self, now: Instant) {
        if self.remaining(now).is_some() {
            self.until = self.latest.min(now.after(WRITES_PAUSE));
        }
    }

    /// Operators have had the time to write.
    pub fn end(&mut self) {
        self.until = Instant::default();
    }

    /// Time until the doubt is over; none if there is none.
    #[must_use]
    pub fn remaining(&self, now: Instant) -> Option<Duration> {
        (now < self.until).then(|| self.until.since(now))
    }
}
