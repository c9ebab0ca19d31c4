//! What an organisation's calls use of its quota, by rank, and what is reserved for each rank.
//!
//! Load: an organisation asks for several times its quota with calls of several ranks. Charged in order of arrival, its
//! less urgent calls take the units for lack of which more urgent ones are refused. So a call leaves in the bucket what
//! more urgent calls are expected to use in the next half second. What these don't use stays in the bucket and goes to
//! the others. Every rank that asks earns a tenth of the quota that no other rank may take.

use crate::ids::Instant;
use std::time::Duration;

/// Ranks that are told apart; further ones count as the last.
const RANK_COUNT: usize = 3;
/// Part of a quota that every rank which asks for it gets.
const RANK_FLOOR: f64 = 0.1;
/// Time constant of the observed use: long enough for several calls of a small organisation, short enough that what an
/// urgent rank no longer uses is paid out to others within a second or two.
const USE_TIME: Duration = Duration::from_secs(1);
/// Time after its last call for which a rank counts as asking.
const ASKING_TTL: Duration = Duration::from_secs(2);
/// Time over which an unused tenth adds up.
const FLOOR_TIME: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug, Default)]
struct RankUse {
    /// Units charged per second, as a moving average.
    per_s: f64,
    /// Units of the rank's tenth that it has not used.
    floor: f64,
    /// Part of these units that is kept from others. A call of several times the tenth would otherwise hold back seconds of the
    /// quota.
    held: f64,
    /// Units of its last call, which its tenth has to be able to pay.
    last_units: f64,
    asked_at: Option<Instant>,
}

impl RankUse {
    fn is_asking(&self, now: Instant) -> bool {
        self.asked_at
            .is_some_and(|asked_at| now.since(asked_at) < ASKING_TTL)
    }
}

/// Use of one quota by rank.
#[derive(Clone, Copy, Debug, Default)]
pub struct RankReserve {
    ranks: [RankUse; RANK_COUNT],
    updated_at: Option<Instant>,
}

fn index(rank: u8) -> usize {
    usize::from(rank).min(RANK_COUNT - 1)
}

impl RankReserve {
    /// Records that a call of this rank asks for units of a quota of `per_s`.
    pub fn record_asked(&mut self, rank: u8, units: f64, per_s: f64, now: Instant) {
        let elapsed = self.updated_at.map_or(Duration::ZERO, |at| now.since(at));
        self.updated_at = Some(now);
        let decay = (-elapsed.as_secs_f64() / USE_TIME.as_secs_f64()).exp();
        for rank_use in &mut self.ranks {
            rank_use.per_s *= decay;
            if rank_use.is_asking(now) {
                let earned = elapsed.as_secs_f64() * per_s * RANK_FLOOR;
                let max = (per_s * RANK_FLOOR * FLOOR_TIME.as_secs_f64()).max(rank_use.last_units);
                rank_use.floor = (rank_use.floor + earned).min(max);
                rank_use.held = rank_use.floor.min(per_s * RANK_FLOOR);
            } else {
                rank_use.floor = 0.0;
                rank_use.held = 0.0;
            }
        }
        let asking = &mut self.ranks[index(rank)];
        asking.asked_at = Some(now);
        asking.last_units = units;
    }

    /// Records that a call of this rank was charged.
    pub fn record_charged(&mut self, rank: u8, units: f64) {
        let charged = &mut self.ranks[index(rank)];
        charged.per_s += units / USE_TIME.as_secs_f64();
        charged.floor = (charged.floor - units).max(0.0);
    }

    /// Records that the charge of a call of this rank was refunded.
    pub fn record_refunded(&mut self, rank: u8, units: f64) {
        let refunded = &mut self.ranks[index(rank)];
        refunded.per_s = (refunded.per_s - units / USE_TIME.as_secs_f64()).max(0.0);
        refunded.floor = (refunded.floor + units).min(refunded.last_units);
    }

    /// Whether the rank's tenth pays for a call.
    #[must_use]
    pub fn floor_covers(&self, rank: u8, units: f64) -> bool {
        self.ranks[index(rank)].floor >= units
    }

    /// Units that a call of this rank has to leave for others: what more urgent calls will use in `urgent_reserve`, and the
    /// tenth of each other rank that asks.
    #[must_use]
    pub fn reserved_units(&self, rank: u8, urgent_reserve: Duration, now: Instant) -> f64 {
        if urgent_reserve.is_zero() {
            return 0.0;
        }
        let others = self.ranks.iter().enumerate();
        let others =
            others.filter(|(other, rank_use)| *other != index(rank) && rank_use.is_asking(now));
        let reserves = others.map(|(other, rank_use)| {
            let urgent_use = rank_use.per_s * urgent_reserve.as_secs_f64();
            let urgent_use = if other < index(rank) { urgent_use } else { 0.0 };
            urgent_use.max(rank_use.held)
        });
        reserves.sum()
    }

    /// Units per second of a quota that are left for calls of this rank: at least its tenth.
    #[must_use]
    pub fn left_per_s(&self, rank: u8, per_s: f64, now: Instant) -> f64 {
        let others = self.ranks.iter().enumerate();
        let others =
            others.filter(|(other, rank_use)| *other != index(rank) && rank_use.is_asking(now));
        let taken = others.map(|(other, rank_use)| {
            let floor = rank_use.per_s.min(per_s * RANK_FLOOR);
            if other < index(rank) {
                rank_use.per_s
            } else {
                floor
            }
        });
        (per_s - taken.sum::<f64>()).max(per_s * RANK_FLOOR)
    }
}
