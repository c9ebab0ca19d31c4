//! In which order engines read prompts.
//!
//! An engine reads the most urgent prompt first, and one that is being read is not put aside. The operator's rank decides
//! first. Among calls of one rank, a short prompt before a long one costs the long one little and saves the short one much;
//! and a call that will miss its objective whatever happens is read after those that can keep it, so that it is served late
//! without making others late.

use crate::direct::planner::{PlacementAsk, ZonePlanner};
use std::time::Duration;

/// Ranks that an engine knows, 0 to 9, for each rank of the operator.
const RANKS_EACH: u8 = 3;
/// Highest rank of the operator that is told apart.
const RANK_MOST: u8 = 2;
/// Rank of calls that will be late.
const LATE_RANK: u8 = 9;
/// Parts of the objective that a prompt may take to be short, or of middle length.
const LENGTH_PARTS: [f64; 2] = [0.125, 0.35];

/// The rank at an engine of a call of which nothing but the operator's rank is known.
#[must_use]
pub fn plain_rank(priority: u8) -> u8 {
    priority.min(RANK_MOST) * RANKS_EACH
}

impl ZonePlanner {
    /// The rank of a call that keeps its objective, by the time for its own prompt.
    pub(super) fn rank(&self, ask: &PlacementAsk, own: Duration) -> u8 {
        let rank = plain_rank(ask.priority);
        if !self.policy.short_first {
            return rank;
        }
        let objective = Duration::from_millis(u64::from(ask.objective_ms));
        let longer = LENGTH_PARTS
            .iter()
            .filter(|part| own > objective.mul_f64(**part));
        rank + u8::try_from(longer.count()).unwrap_or(0)
    }

    /// The rank of a call that is sent now, with the wait that it has before it.
    pub(super) fn sent_rank(&self, ask: &PlacementAsk, own: Duration, wait: Duration) -> u8 {
        let objective = Duration::from_millis(u64::from(ask.objective_ms));
        if self.policy.late_last && wait + own > objective {
            return LATE_RANK;
        }
        self.rank(ask, own)
    }
}
