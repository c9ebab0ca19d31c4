//! How often entries that can't be used are told of.
//!
//! Anybody may write to the target list, and at any rate, so what is written there must not become a flood of lines.

use hoplanding_core::ids::Instant;
use std::time::Duration;

/// Lines told within a span; the rest is counted in the next line.
const TOLD_MOST: u32 = 8;
/// The span.
const TOLD_WITHIN: Duration = Duration::from_secs(1);

/// Entries that could not be used.
#[derive(Clone, Copy, Debug, Default)]
pub struct EntryLogLimiter {
    total: u64,
    began: Instant,
    told: u32,
    untold: u64,
}

impl EntryLogLimiter {
    /// Counts an entry; gives how many were passed over in silence since the last line if this one may be told.
    pub fn note(&mut self, now: Instant) -> Option<u64> {
        self.total += 1;
        if now.since(self.began) >= TOLD_WITHIN {
            self.began = now;
            self.told = 0;
        }
        if self.told >= TOLD_MOST {
            self.untold += 1;
            return None;
        }
        self.told += 1;
        Some(std::mem::take(&mut self.untold))
    }

    /// All of them since the start.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.total
    }
}
