//! Rate at which adapter slots become free for waiting calls, as a moving average.
//!
//! Only time in which calls wait is observed. Slots that are freed while no call waits don't show how soon a waiting
//! call gets one: after an idle period, the rate would be near zero and every call of a burst would be refused.

use crate::ids::Instant;
use std::time::Duration;

/// Time constant of the moving average. Calls hold a slot for about half a second, so that a shorter average follows
/// single bursts, and a longer one the demand of earlier calls.
const AVERAGING_TIME: Duration = Duration::from_secs(1);
/// Time that has to be observed until the rate is known.
const MIN_OBSERVATION: Duration = Duration::from_secs(1);
/// Time without waiting calls after which the rate is unknown again. Without it, a rate of zero from an outage would
/// refuse all calls, and none would wait that could show the recovery.
const MAX_AGE: Duration = Duration::from_secs(1);
/// Ranks that are told apart; the last one covers all less urgent ones.
const RANKS: usize = 4;

/// Observed rate of freed slots, by the rank of the calls that got them.
#[derive(Clone, Debug, Default)]
pub struct SlotTurnover {
    /// Slots given to calls of each rank, weighted by age.
    given: [f64; RANKS],
    /// Adapters for which the first call began to wait, by its rank, weighted by age.
    arrived: [f64; RANKS],
    /// Calls of each rank that were placed, and that were refused, weighted by age.
    outcomes: [(f64, f64); RANKS],
    /// Observed time, weighted by age, in seconds.
    weight_s: f64,
    observed: Duration,
    updated_at: Instant,
    engines: usize,
}

impl SlotTurnover {
    /// Advances the average to `now`; calls waited since the last update if `is_waiting`.
    pub fn advance(&mut self, is_waiting: bool, now: Instant) {
        let elapsed = now.since(self.updated_at);
        if is_waiting {
            let remaining = (-elapsed.as_secs_f64() / AVERAGING_TIME.as_secs_f64()).exp();
            for count in self.given.iter_mut().chain(&mut self.arrived) {
                *count *= remaining;
            }
            for (placed, refused) in &mut self.outcomes {
                *placed *= remaining;
                *refused *= remaining;
            }
            self.weight_s =
                self.weight_s * remaining + AVERAGING_TIME.as_secs_f64() * (1.0 - remaining);
            self.observed += elapsed;
            self.updated_at = now;
        } else if elapsed > MAX_AGE {
            *self = Self {
                updated_at: now,
                engines: self.engines,
                ..Self::default()
            };
        }
    }

    /// Marks the start of a time in which calls wait.
    pub fn begin_waiting(&mut self, now: Instant) {
        self.updated_at = now;
    }

    /// Records that a freed slot was given to a call of this rank.
    pub fn record_given(&mut self, rank: u8) {
        self.given[rank_index(rank)] += 1.0;
    }

    /// Records that a call of this rank began to wait, as the first one for its adapter.
    pub fn record_arrived(&mut self, rank: u8) {
        self.arrived[rank_index(rank)] += 1.0;
    }

    /// Records whether a call that found no slot on arrival was placed or refused.
    pub fn record_outcome(&mut self, rank: u8, is_placed: bool) {
        let (placed, refused) = &mut self.outcomes[rank_index(rank)];
        *(if is_placed { placed } else { refused }) += 1.0;
    }

    /// Whether every more urgent rank has at least this rank's share of placed calls.
    #[must_use]
    pub fn is_served_no_better(&self, rank: u8) -> bool {
        let share = |(placed, refused): (f64, f64)| {
            (placed + refused > 0.0).then(|| placed / (placed + refused))
        };
        let index = rank_index(rank);
        let own = share(self.outcomes[index]).unwrap_or_default();
        let more_urgent = self.outcomes[..index]
            .iter()
            .filter_map(|rank| share(*rank));
        more_urgent.fold(1.0, f64::min) >= own
    }

    /// Sets the number of engines. The slots of lost engines are no longer freed; those of new ones are observed.
    pub fn set_engines(&mut self, engines: usize) {
        if engines < self.engines {
            let remaining = engines as f64 / self.engines as f64;
            for given in &mut self.given {
                *given *= remaining;
            }
        }
        self.engines = engines;
    }

    /// Slots that become free each second; none until a second was observed.
    #[must_use]
    pub fn rate_per_s(&self) -> Option<f64> {
        (self.observed >= MIN_OBSERVATION).then(|| self.per_s(&self.given))
    }

    /// Slots each second that are requested by calls of the ranks up to this one, or of the more urgent ones only.
    #[must_use]
    pub fn requested_per_s(&self, rank: u8, is_included: bool) -> f64 {
        let index = rank_index(rank) + usize::from(is_included);
        self.per_s(&self.arrived[..index])
    }

    /// Slots each second that less urgent calls get.
    #[must_use]
    pub fn less_urgent_per_s(&self, rank: u8) -> f64 {
        self.per_s(&self.given[rank_index(rank) + 1..])
    }

    fn per_s(&self, counts: &[f64]) -> f64 {
        if self.weight_s > 0.0 {
            counts.iter().sum::<f64>() / self.weight_s
        } else {
            0.0
        }
    }
}

fn rank_index(rank: u8) -> usize {
    usize::from(rank).min(RANKS - 1)
}
