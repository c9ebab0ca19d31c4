//! Rate limit for log lines about entries that can't be used.
//!
//! Any target may write to the target list at any rate, and unusable entries must not flood this
//! VM's log.

use hoplanding_core::ids::Instant;
use std::time::Duration;

/// Maximum number of lines in an interval. Further entries are counted in the next line.
const MAX_LINES: u32 = 8;
const LINE_INTERVAL: Duration = Duration::from_secs(1);

/// Counter of unusable entries that limits the rate of their log lines.
#[derive(Clone, Copy, Debug, Default)]
pub struct EntryLogLimiter {
    total: u64,
    interval_start: Instant,
    logged: u32,
    unlogged: u64,
}

impl EntryLogLimiter {
    /// Counts an entry. Returns `None` if its line exceeds the rate, and otherwise the number of
    /// entries without a line since the last one.
    pub fn record(&mut self, now: Instant) -> Option<u64> {
        self.total += 1;
        if now.since(self.interval_start) >= LINE_INTERVAL {
            self.interval_start = now;
            self.logged = 0;
        }
        if self.logged >= MAX_LINES {
            self.unlogged += 1;
            return None;
        }
        self.logged += 1;
        Some(std::mem::take(&mut self.unlogged))
    }

    /// Number of entries since the start.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.total
    }
}
