//! Calls that a brittle target may be sent: one that crashes if it has to reject more than a number of requests in a
//! second, as it states in its answers.
//!
//! How much room such a target has is not stated and may shrink, so it is learned: each accepted call at the limit of
//! the assumed room raises it by one, and each rejection lowers it. A call may be rejected for as long as the answer of
//! a full target takes to come back. Calls of that age and the rejections of the last second together stay within half
//! of the maximum; the other half is left for other senders.

use crate::ids::Instant;
use std::{collections::VecDeque, time::Duration};

/// Period in which rejections are counted: the second that targets state, and the time that answers take.
const WINDOW: Duration = Duration::from_millis(1_200);
/// Time after a send within which a rejection arrives.
const REJECTION_DELAY: Duration = Duration::from_millis(40);
/// Time after a rejection during which the room does not grow.
const GROWTH_DELAY: Duration = Duration::from_secs(1);
/// Lowest assumed room: an occasional call shows whether there is more.
const MIN_ROOM: u32 = 1;

/// Limits the calls that one brittle target gets.
#[derive(Clone, Debug)]
pub struct RejectionGate {
    /// Rejections in a second that the target permits.
    max_per_s: u32,
    /// Calls at once that the target is assumed to have room for.
    room: u32,
    /// When recent calls were sent, or will be.
    sends: VecDeque<Instant>,
    rejections: VecDeque<Instant>,
}

impl RejectionGate {
    /// Gate of a target that states its maximum of rejections while this many calls are in flight there.
    #[must_use]
    pub fn new(max_per_s: u32, in_flight: u32) -> Self {
        Self {
            max_per_s,
            room: in_flight.max(MIN_ROOM),
            sends: VecDeque::new(),
            rejections: VecDeque::new(),
        }
    }

    /// Maximum of rejections in a second.
    #[must_use]
    pub fn max_per_s(&self) -> u32 {
        self.max_per_s
    }

    /// Sets the maximum that the target states now.
    pub fn set_max_per_s(&mut self, max_per_s: u32) {
        self.max_per_s = max_per_s;
    }

    /// Rejections that calls may cause within the window. Even a target that permits none is tried with single calls.
    fn budget(&self) -> usize {
        (self.max_per_s / 2).max(1) as usize
    }

    /// Whether a call may be sent besides those in flight.
    #[must_use]
    pub fn admits(&self, in_flight: u32, now: Instant) -> bool {
        let unsettled = self.sends.iter();
        let unsettled = unsettled.filter(|at| at.after(REJECTION_DELAY) > now);
        let rejections = self.rejections.iter();
        let rejections = rejections.filter(|at| now.since(**at) < WINDOW);
        in_flight < self.room && unsettled.count() + rejections.count() < self.budget()
    }

    /// Time until the oldest rejection no longer counts, so that another call may be admitted.
    #[must_use]
    pub fn wait(&self, now: Instant) -> Duration {
        let oldest = self.rejections.iter().find(|at| now.since(**at) < WINDOW);
        oldest.map_or(REJECTION_DELAY, |at| at.after(WINDOW).since(now))
    }

    /// Records a call that is sent at `at`.
    pub fn record_sent(&mut self, at: Instant, now: Instant) {
        self.sends.retain(|sent| sent.after(REJECTION_DELAY) > now);
        self.sends.push_back(at);
    }

    /// Records that the target accepted a call while this many, with that call, were in flight.
    pub fn record_accepted(&mut self, in_flight: u32, now: Instant) {
        let is_growing = self
            .rejections
            .back()
            .is_none_or(|at| now.since(*at) >= GROWTH_DELAY);
        if is_growing && in_flight >= self.room {
            self.room += 1;
        }
    }

    /// Records that the target rejected a call while this many, with that call, were in flight.
    pub fn record_rejected(&mut self, in_flight: u32, now: Instant) {
        self.rejections.retain(|at| now.since(*at) < WINDOW);
        self.rejections.push_back(now);
        self.room = self.room.min(in_flight.saturating_sub(1)).max(MIN_ROOM);
    }
}
