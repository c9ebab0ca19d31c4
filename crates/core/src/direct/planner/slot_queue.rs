//! Calls that wait for an adapter slot of any engine of the zone, and their order.
//!
//! The calls for one adapter form a group, as one slot serves them all. Groups are ordered by the rank of their most
//! urgent call, then by whether a call of the group can still meet its objective, then by their number of calls, then
//! by the most time left. With the least time left first, a queue that does not empty would serve every call just about
//! when its objective passes: at twice the load of the first deployment, 0.49 of the most urgent calls were in time, and
//! 0.78 in this order. A share of the slots goes to the call that has waited longest in proportion to its
//! bound, so that the least urgent calls are served as well.

use crate::{
    direct::{
        engine::EngineState,
        planner::{CallKey, PlacementRequest, slot_turnover::SlotTurnover},
        policy::SlotAdmission,
    },
    ids::{AdapterName, Instant},
};
use std::{cmp::Reverse, collections::HashMap, time::Duration};

/// Longest wait that is stated, about the longest deadline of callers. The rate falls towards zero while no slot is
/// freed, and its inverse says nothing about how long that lasts.
const MAX_STATED_WAIT: Duration = Duration::from_secs(10);
/// Tolerance for the sum of shares, which are not exact in binary.
const SHARE_TOLERANCE: f64 = 1e-9;

/// Call that waits for an adapter slot.
#[derive(Clone, Debug)]
pub struct QueuedCall {
    /// Key of the call.
    pub key: CallKey,
    /// Placement request of the call.
    pub request: PlacementRequest,
    /// Start of the wait.
    pub queued_at: Instant,
    /// Time by which the first token is due.
    pub until: Instant,
    /// Time after which a load ends too late for the objective.
    pub prompt_by: Instant,
    /// Time after which a load ends too late for the bound.
    pub load_by: Instant,
}

impl QueuedCall {
    /// Whether the call may be sent to an engine.
    pub fn allows(&self, engine: &EngineState) -> bool {
        let name = &engine.entry.name;
        self.request.allows(name)
    }

    /// Part of its bound that the call has waited.
    fn waited_fraction(&self, now: Instant) -> f64 {
        let bound = self.until.since(self.queued_at).as_secs_f64();
        now.since(self.queued_at).as_secs_f64() / bound.max(1e-3)
    }
}

/// Position of an adapter's calls in the order; the lowest is first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct GroupOrder {
    rank: u8,
    /// Whether all its calls will be served after their objective.
    is_late: bool,
    calls: Reverse<usize>,
    /// Timely calls with the most time left come first, late ones with the least.
    time_left: u64,
}

impl GroupOrder {
    fn of(call: &QueuedCall, now: Instant) -> Self {
        let is_late = now >= call.prompt_by;
        Self {
            rank: call.request.priority,
            is_late,
            calls: Reverse(1),
            time_left: if is_late {
                call.load_by.0
            } else {
                u64::MAX - call.prompt_by.0
            },
        }
    }

    /// Order of the calls of both groups together.
    fn joined(self, other: Self) -> Self {
        let time_left = match (self.is_late, other.is_late) {
            (true, false) => other.time_left,
            (false, true) => self.time_left,
            _ => self.time_left.min(other.time_left),
        };
        Self {
            rank: self.rank.min(other.rank),
            is_late: self.is_late && other.is_late,
            calls: Reverse(self.calls.0 + other.calls.0),
            time_left,
        }
    }
}

/// Queue of the calls that wait for an adapter slot.
#[derive(Clone, Debug, Default)]
pub struct SlotQueue {
    calls: Vec<QueuedCall>,
    turnover: SlotTurnover,
    /// Slots, and a fraction of one, due to the calls that have waited longest.
    longest_waiting_due: f64,
}

impl SlotQueue {
    /// Whether no call waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Number of waiting calls.
    #[must_use]
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Keys of the waiting calls.
    pub fn keys(&self) -> impl Iterator<Item = &CallKey> {
        self.calls.iter().map(|call| &call.key)
    }

    /// Advances the observed rate to `now`.
    pub fn advance(&mut self, now: Instant) {
        self.turnover.advance(!self.calls.is_empty(), now);
    }

    /// Sets the number of engines that serve the queue.
    pub fn set_engines(&mut self, engines: usize) {
        self.turnover.set_engines(engines);
    }

    /// Adds a call.
    pub fn push(&mut self, call: QueuedCall, now: Instant) {
        self.advance(now);
        if self.calls.is_empty() {
            self.turnover.begin_waiting(now);
        }
        let subject = &call.request.subject;
        if self.first_for(subject).is_none() {
            self.turnover.record_arrived(call.request.priority);
        }
        self.calls.push(call);
    }

    /// Removes a call that no longer waits.
    pub fn remove(&mut self, key: &CallKey, now: Instant) -> Option<QueuedCall> {
        let index = self.calls.iter().position(|call| call.key == *key)?;
        self.advance(now);
        Some(self.calls.remove(index))
    }

    /// Removes the calls for which a load would end too late.
    pub fn remove_expired(&mut self, now: Instant) -> Vec<QueuedCall> {
        self.advance(now);
        self.calls
            .extract_if(.., |call| now >= call.load_by)
            .collect()
    }

    /// Removes the last call in the order, of the ranks that have more than `reserved` calls. The places of the others
    /// are not for more urgent calls, which would fill the queue.
    pub fn remove_last(&mut self, reserved: usize, now: Instant) -> Option<QueuedCall> {
        let count = |rank| {
            let calls = self.calls.iter();
            calls.filter(|call| call.request.priority == rank).count()
        };
        let groups = self.groups(now);
        let order = |call: &&QueuedCall| {
            let group = groups.get(&call.request.subject).copied();
            (group, call.request.priority, call.until)
        };
        let last = self
            .calls
            .iter()
            .filter(|call| count(call.request.priority) > reserved)
            .max_by_key(order)
            .or_else(|| self.calls.iter().max_by_key(order))?;
        let key = last.key.clone();
        self.remove(&key, now)
    }

    /// Removes the calls for an adapter, the most urgent first.
    pub fn take(&mut self, subject: &AdapterName, now: Instant) -> Vec<QueuedCall> {
        self.advance(now);
        let mut taken: Vec<_> = self
            .calls
            .extract_if(.., |call| call.request.subject == *subject)
            .collect();
        taken.sort_by_key(|call| (call.request.priority, call.until));
        taken
    }

    /// The most urgent call for an adapter.
    #[must_use]
    pub fn first_for(&self, subject: &AdapterName) -> Option<&QueuedCall> {
        self.calls
            .iter()
            .filter(|call| call.request.subject == *subject)
            .min_by_key(|call| (call.request.priority, call.until))
    }

    /// Adapters that calls wait for, each once.
    #[must_use]
    pub fn subjects_in_order(&self, now: Instant) -> Vec<AdapterName> {
        let mut groups: Vec<_> = self.groups(now).into_iter().collect();
        groups.sort_by(|left, right| left.1.cmp(&right.1).then(left.0.cmp(right.0)));
        let subjects = groups.into_iter().map(|(subject, _)| subject.clone());
        subjects.collect()
    }

    /// Adapters in the order in which they get the next slot, and whether that is due to the longest waiting call.
    #[must_use]
    pub fn next_subjects(&self, now: Instant) -> (Vec<AdapterName>, bool) {
        let mut subjects = self.subjects_in_order(now);
        let is_due = self.longest_waiting_due >= 1.0 - SHARE_TOLERANCE;
        if is_due {
            // A rank of few calls would get all it asks for from this share, and be served better than a more urgent one.
            let calls = self.calls.iter().filter(|call| {
                let rank = call.request.priority;
                self.turnover.is_served_no_better(rank)
            });
            let longest = calls.max_by(|left, right| {
                let fractions = (left.waited_fraction(now), right.waited_fraction(now));
                fractions.0.total_cmp(&fractions.1)
            });
            if let Some(longest) = longest {
                subjects.retain(|subject| *subject != longest.request.subject);
                subjects.insert(0, longest.request.subject.clone());
            }
        }
        (subjects, is_due)
    }

    /// Records that a call of this rank got a slot, as the longest waiting one or by the order.
    pub fn record_given(&mut self, rank: u8, is_longest_waiting: bool, urgent_share: f64) {
        self.turnover.record_given(rank);
        self.longest_waiting_due += 1.0 - urgent_share;
        if is_longest_waiting {
            self.longest_waiting_due -= 1.0;
        }
    }

    /// Records whether a call that found no slot on arrival was placed or refused.
    pub fn record_outcome(&mut self, rank: u8, is_placed: bool) {
        self.turnover.record_outcome(rank, is_placed);
    }

    /// Time until a further call for an adapter gets a slot; none while the rate is unknown.
    ///
    /// A call waits for those ahead of it and for those that arrive meanwhile and precede it: the more urgent ones, and
    /// if it misses its objective, those of its rank. It may get a slot earlier from the share of the longest waiting.
    #[must_use]
    pub fn expected_wait(
        &self,
        call: &QueuedCall,
        admission: SlotAdmission,
        now: Instant,
    ) -> Option<Duration> {
        let total = self.turnover.rate_per_s()?;
        let mut groups = self.groups(now);
        let own = GroupOrder::of(call, now);
        let own = groups
            .remove(&call.request.subject)
            .map_or(own, |group| group.joined(own));
        let ahead = groups.values().filter(|group| **group <= own);
        let alike = ahead.clone().filter(|group| group.rank == own.rank);
        let reserved = total * (1.0 - admission.urgent_share);
        let requested = self.turnover.requested_per_s(own.rank, own.is_late);
        let less_urgent = self.turnover.less_urgent_per_s(own.rank);
        let by_order = (total - requested - less_urgent.min(reserved)).max(0.0);
        let in_order = (ahead.count() + 1) as f64 / by_order;
        let in_share = (alike.count() + 1) as f64 / reserved;
        Some(stated_wait(in_order.min(in_share)))
    }

    /// Time until a call gets a slot that is behind all others; none while the rate is unknown.
    #[must_use]
    pub fn wait_behind_all(&self, now: Instant) -> Option<Duration> {
        let total = self.turnover.rate_per_s()?;
        Some(stated_wait((self.groups(now).len() + 1) as f64 / total))
    }

    fn groups(&self, now: Instant) -> HashMap<&AdapterName, GroupOrder> {
        let mut groups: HashMap<_, GroupOrder> = HashMap::new();
        for call in &self.calls {
            let order = GroupOrder::of(call, now);
            groups
                .entry(&call.request.subject)
                .and_modify(|group| *group = group.joined(order))
                .or_insert(order);
        }
        groups
    }
}

/// A wait in seconds, which is infinite if no slot is freed, as stated to callers.
fn stated_wait(seconds: f64) -> Duration {
    if seconds < MAX_STATED_WAIT.as_secs_f64() {
        Duration::from_secs_f64(seconds)
    } else {
        MAX_STATED_WAIT
    }
}
