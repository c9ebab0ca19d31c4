//! Return times of refused calls.
//!
//! Callers that are all told the same short `Retry-After` come back together and are refused again: one organisation over
//! its quota got three refusals for each request. So each refused call gets the next time at which there is capacity for
//! it, after the calls of its rank and of more urgent ones that were refused before it. Until that time its units are
//! kept from new calls of its rank.
//!
//! Units are reserved only for callers that can still be served in time. With reservations up to a third of their deadline,
//! callers with an objective of 500 ms came back late and displaced new ones: of 7,200 requests of 2 s with an
//! exceeded quota, 940 were in time in place of 2,600. The other callers get times that are spread alike, without a
//! reservation.
//!
//! A caller's next try has a new id, but the same content: its fingerprint tells which return time it had. A caller that
//! does not come back loses its time after [`RETURN_GRACE`], and its units go to others.

use crate::{direct::suspects::RequestFingerprint, ids::Instant};
use std::time::Duration;

/// Time before its return time at which a caller is taken for one that comes back on time: timers of callers and
/// `Retry-After` have a resolution of milliseconds.
const EARLY_TOLERANCE: Duration = Duration::from_millis(20);
/// Time after its return time for which a caller is expected. A new connection and the search over three zones take some
/// 20 ms, several times as much at an overloaded VM.
const RETURN_GRACE: Duration = Duration::from_millis(250);
/// Earliest return: a shorter wait costs caller and VM a request for hardly any capacity.
const MIN_RETURN_TIME: Duration = Duration::from_millis(100);
/// Return times kept at once; beyond them callers are told a time, but have nothing reserved. At 200 calls per second,
/// the capacity of a service or quota that fills `max_wait` has 1,000 of them.
const MAX_RETURNS: usize = 1_024;

/// Settings of the return times (`returns` in the settings file).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReturnRule {
    /// Longest time ahead for which capacity is reserved for a returning caller.
    pub max_wait: Duration,
    /// Time for which the expected use of more urgent calls is reserved in a quota.
    pub urgent_reserve: Duration,
}

/// A refused call that asks for a return time.
#[derive(Clone, Copy, Debug)]
pub struct ReturnRequest {
    /// Fingerprint of the request's content.
    pub fingerprint: RequestFingerprint,
    /// Rank of the call; 0 is the most urgent.
    pub rank: u8,
    /// Units of capacity that it needs.
    pub units: f64,
    /// Longest time for which units are reserved, as its caller comes back and can still be served in time; zero if it asks
    /// for no return time of its own.
    pub within: Duration,
}

/// Capacity for the calls of one rank.
#[derive(Clone, Copy, Debug)]
pub struct RankCapacity {
    /// Units that may be taken now; negative for a debt.
    pub level: f64,
    /// Units per second.
    pub per_s: f64,
}

#[derive(Clone, Copy, Debug)]
struct AssignedReturn {
    fingerprint: RequestFingerprint,
    rank: u8,
    units: f64,
    at: Instant,
}

impl AssignedReturn {
    fn is_due(&self, now: Instant) -> bool {
        self.at <= now.after(EARLY_TOLERANCE)
    }
}

/// Numbers of return times by what became of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReturnCounts {
    /// Times assigned.
    pub assigned: u64,
    /// Times at which the caller came back and was taken.
    pub kept: u64,
    /// Times at which the caller came back and was refused again, as more urgent calls had taken its units.
    pub displaced: u64,
    /// Times at which the caller did not come back.
    pub expired: u64,
}

impl ReturnCounts {
    /// Sums of two counts.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            assigned: self.assigned + other.assigned,
            kept: self.kept + other.kept,
            displaced: self.displaced + other.displaced,
            expired: self.expired + other.expired,
        }
    }
}

/// Return times that were assigned and have not passed, in order.
#[derive(Clone, Debug, Default)]
pub struct ReturnSchedule {
    returns: Vec<AssignedReturn>,
    /// Latest return time of a caller for whom nothing is reserved.
    unreserved_at: Instant,
    counts: ReturnCounts,
}

impl ReturnSchedule {
    /// Drops the return times of callers that did not come back.
    pub fn expire(&mut self, now: Instant) {
        let before = self.returns.len();
        self.returns
            .retain(|assigned| now < assigned.at.after(RETURN_GRACE));
        self.counts.expired += (before - self.returns.len()) as u64;
    }

    /// Position of the return time at which a call comes back. Callers with the same content have a time each, so a call that
    /// comes early is taken for a new one: where a time is reserved, its caller can wait for it.
    fn due_position(
        &self,
        fingerprint: RequestFingerprint,
        rank: u8,
        now: Instant,
    ) -> Option<usize> {
        self.returns.iter().position(|assigned| {
            assigned.fingerprint == fingerprint && assigned.rank == rank && assigned.is_due(now)
        })
    }

    /// Whether a call comes back at its return time.
    #[must_use]
    pub fn is_returning(&self, fingerprint: RequestFingerprint, rank: u8, now: Instant) -> bool {
        self.due_position(fingerprint, rank, now).is_some()
    }

    /// Whether a call of this rank is due to come back.
    #[must_use]
    pub fn has_due(&self, rank: u8, now: Instant) -> bool {
        let mut due = self.returns.iter().filter(|assigned| assigned.is_due(now));
        due.any(|assigned| assigned.rank == rank)
    }

    /// Units that a new call of this rank may take so that every return time of its rank and of more urgent ones can be
    /// kept.
    #[must_use]
    pub fn free_units(&self, capacity: RankCapacity, rank: u8, now: Instant) -> f64 {
        let mut promised = 0.0;
        let ahead = self.returns.iter();
        let ahead = ahead.filter(|assigned| assigned.rank <= rank);
        ahead.fold(capacity.level, |free, assigned| {
            promised += assigned.units;
            let earned = assigned.at.since(now).as_secs_f64() * capacity.per_s;
            free.min(capacity.level + earned - promised)
        })
    }

    /// Removes the return time of a call that is taken at that time.
    pub fn keep(&mut self, fingerprint: RequestFingerprint, rank: u8, now: Instant) {
        if let Some(at) = self.due_position(fingerprint, rank, now) {
            self.counts.kept += 1;
            self.returns.remove(at);
        }
    }

    /// Time from now at which there is capacity for a refused call. Its units are reserved for it if its caller can wait so
    /// long.
    pub fn assign(
        &mut self,
        request: &ReturnRequest,
        capacity: RankCapacity,
        rule: &ReturnRule,
        now: Instant,
    ) -> Duration {
        let own = self.due_position(request.fingerprint, request.rank, now);
        if let Some(at) = own.filter(|_| !request.within.is_zero()) {
            self.counts.displaced += 1;
            self.returns.remove(at);
        }
        let ahead = self.returns.iter();
        let ahead = ahead.filter(|assigned| assigned.rank <= request.rank);
        let promised: f64 = ahead.clone().map(|assigned| assigned.units).sum();
        let missing = promised + request.units - capacity.level;
        let turn = request.units / capacity.per_s.max(1e-6);
        let last = ahead.map(|assigned| assigned.at).max();
        let after_last = last.map_or(0.0, |at| at.since(now).as_secs_f64() + turn);
        // The units are there for a caller that comes a little early.
        let earned_after = missing / capacity.per_s.max(1e-6) + EARLY_TOLERANCE.as_secs_f64();
        let wait = earned_after
            .max(after_last)
            .min(rule.max_wait.as_secs_f64());
        let wait = Duration::from_secs_f64(wait).max(MIN_RETURN_TIME);
        let is_reserved =
            wait <= request.within && wait < rule.max_wait && self.returns.len() < MAX_RETURNS;
        if !is_reserved && !request.within.is_zero() {
            return self.spread(wait, Duration::from_secs_f64(turn.min(1.0)), rule, now);
        }
        if is_reserved {
            let at = now.after(wait);
            let index = self.returns.partition_point(|assigned| assigned.at <= at);
            let assigned = AssignedReturn {
                fingerprint: request.fingerprint,
                rank: request.rank,
                units: request.units,
                at,
            };
            self.returns.insert(index, assigned);
            self.counts.assigned += 1;
        }
        wait
    }

    /// Time from now for a caller for whom nothing is reserved: each one a turn after the one before it, from the time at which
    /// there is capacity. Beyond the longest wait the times begin anew, so that callers do not come together at its end.
    fn spread(
        &mut self,
        wait: Duration,
        turn: Duration,
        rule: &ReturnRule,
        now: Instant,
    ) -> Duration {
        let earliest = now.after(wait);
        let next = self.unreserved_at.after(turn).max(earliest);
        let is_beyond = next > now.after(rule.max_wait.max(wait));
        self.unreserved_at = if is_beyond { earliest } else { next };
        self.unreserved_at.since(now)
    }

    /// What became of the return times.
    #[must_use]
    pub fn counts(&self) -> ReturnCounts {
        self.counts
    }
}
