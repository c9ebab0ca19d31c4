//! Learns how many recently loaded adapters an engine reloads quickly.
//!
//! Engines keep the weights of adapters that they held recently in their memory, and load them ten times as fast as from the
//! weight store. They do not state how many they keep. A reload that is expected to be fast and is not makes the engine
//! reject the call that waited for it, so a number that is too high costs calls, and one that is too low costs loads from
//! the store. With 100 assumed at engines that keep 46, 60% of the rejected calls of a heavy day had arrived too early for
//! a reload of rank 46 or beyond, and nearly all reloads of a lower rank were fast.
//!
//! The rank of a reload is the number of adapters that the engine loaded since it last loaded this one. Reloads in time and
//! late ones are counted by rank. The number kept ends where late reloads prevail. Counts decay, so that a change of the
//! engines is noticed.

use crate::ids::Instant;
use std::time::Duration;

/// Ranks counted together.
const RANKS_PER_BUCKET: usize = 4;
/// Buckets; reloads of a higher rank come from the weight store.
const BUCKET_COUNT: usize = 64;
/// Late reloads from which a bucket counts. A single one may have been late for another reason.
const MIN_LATE_RELOADS: f64 = 2.0;
/// Half-life of the counts. A bucket that counts as lost gets no reloads, so only the decay lets it be tried again.
const HALF_LIFE: Duration = Duration::from_secs(60);

/// Reloads of similar rank.
#[derive(Clone, Copy, Debug, Default)]
struct ReloadCounts {
    in_time: f64,
    late: f64,
}

/// Reloads in time and late, by rank.
#[derive(Clone, Debug)]
pub struct ReloadMemory {
    buckets: [ReloadCounts; BUCKET_COUNT],
    decayed_at: Instant,
    /// First bucket in which late reloads prevail. It is asked for every engine and adapter of a placement.
    first_lost: Option<usize>,
}

impl Default for ReloadMemory {
    fn default() -> Self {
        Self {
            buckets: [ReloadCounts::default(); BUCKET_COUNT],
            decayed_at: Instant::default(),
            first_lost: None,
        }
    }
}

impl ReloadMemory {
    /// Records whether a reload of a rank was as fast as expected.
    pub fn record(&mut self, rank: usize, is_in_time: bool, now: Instant) {
        self.decay(now);
        if let Some(counts) = self.buckets.get_mut(rank / RANKS_PER_BUCKET) {
            if is_in_time {
                counts.in_time += 1.0;
            } else {
                counts.late += 1.0;
            }
        }
        let is_lost =
            |counts: &ReloadCounts| counts.late >= MIN_LATE_RELOADS && counts.late > counts.in_time;
        self.first_lost = self.buckets.iter().position(is_lost);
    }

    /// Number of recently loaded adapters that engines reload quickly; `assumed` while no late reloads are known.
    #[must_use]
    pub fn kept(&self, assumed: usize) -> usize {
        self.first_lost
            .map_or(assumed, |bucket| assumed.min(bucket * RANKS_PER_BUCKET))
    }

    fn decay(&mut self, now: Instant) {
        let elapsed = now.since(self.decayed_at);
        self.decayed_at = now;
        let remaining = 0.5_f64.powf(elapsed.as_secs_f64() / HALF_LIFE.as_secs_f64());
        for counts in &mut self.buckets {
            counts.in_time *= remaining;
            counts.late *= remaining;
        }
    }
}
