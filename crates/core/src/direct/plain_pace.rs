//! How fast the targets of plain services answer at present.
//!
//! Load: each of three targets is 2.5 times as slow as usual for 600 ms at a time, or leaves its calls unanswered. An
//! average over ten calls shows that when half of the interval is over, and stays high after it. So the pace follows the
//! last two calls, a call that is open for longer than usual counts before it ends, and what a slow target has shown is
//! given up within the time of a few calls, so that it is tried again.

use crate::{
    direct::{health::CallOutcome, planner::CallKey},
    ids::{Instant, TargetRun},
};
use std::{collections::HashMap, fmt, time::Duration};

/// Time of a call at a target without any observation, as in `plain.rs`.
const INITIAL_CALL_TIME: Duration = Duration::from_millis(50);
/// Largest weight of the newest call in the recent pace: two slow calls move it by three quarters.
const MAX_RECENT_WEIGHT: f64 = 0.5;
/// Calls in whose usual time the recent pace is averaged. A busy target ends several calls in that time, and the scatter of
/// single calls would otherwise decide which calls are refused.
const AVERAGED_CALLS: f64 = 2.0;
/// Weight of the newest call in the usual pace, which should not follow an interval of 600 ms.
const USUAL_WEIGHT: f64 = 0.02;
/// Multiple of the usual time to which a call counts, in the recent and in the usual pace. A report that comes seconds late
/// says little about the target.
const MAX_RECENT_FACTOR: f64 = 4.0;
const MAX_USUAL_FACTOR: f64 = 1.5;
/// Multiple of the usual time from which an open call shows that the target is slow. Usual calls take up to 1.5 times the
/// average.
const OVERDUE_FACTOR: f64 = 2.0;
/// Multiple of the usual time from which a target is reported as slow.
const SLOW_FACTOR: f64 = 1.8;
/// Calls after whose usual time most of the recent pace is given up.
const RETRY_CALLS: f64 = 4.0;
/// Open calls beyond this multiple of the usual time from which a target counts as silent. A slow target takes 2.5 times the
/// usual time, and a single call may be long.
const SILENT_MIN_CALLS: usize = 2;
const SILENT_FACTOR: f64 = 6.0;
/// Time in which most of the penalty of a failing target is given up. Only answered calls lower its failure rate, and a target
/// that gets none would stay out of use: all calls were refused while a target that was back had no call for seconds.
const FAILURE_FADE: Duration = Duration::from_secs(1);
/// Time between attempts to reach a lost target while calls are refused. The usual backoff grows to 2.4 s, for which calls were
/// refused after the targets were back.
const RECONNECT_TIME: Duration = Duration::from_millis(300);
/// Time for which the number of calls at which a target rejected one counts as its maximum.
const FULL_TTL: Duration = Duration::from_secs(5);
/// Time after its deadline at which a call whose end was never reported no longer counts as in flight: its gateway is gone
/// or its report was lost. Reports are under way for some milliseconds, at overloaded VMs for some hundred.
pub const REPORT_MARGIN: Duration = Duration::from_secs(1);
/// Age at which a call of a gateway that states no deadline no longer counts.
const MAX_CALL_AGE: Duration = Duration::from_secs(10);
/// Time for which the bound of a placed call is taken for that of calls to come.
const BOUND_TTL: Duration = Duration::from_secs(1);
/// Fraction of that bound up to which calls that will be late may fill the targets while the load lasts. Up to the whole bound,
/// they would take the places of calls in time.
const LATE_FRACTION: f64 = 0.5;
/// Time after a call last found a free slot at its target for which an excess of calls counts as passing: a slow interval lasts
/// 600 ms, and what has queued up until it ends is still served.
const PASSING_TIME: Duration = Duration::from_millis(500);
/// Fraction of the time left within which an answer has to be expected while an excess is passing. The smaller fractions by rank
/// only choose who is refused when not all can be served.
const PASSING_FRACTION: f64 = 0.9;

#[derive(Clone, Debug)]
struct OpenCall {
    key: CallKey,
    sent: Instant,
    /// Calls that shared each slot when it was sent.
    calls_per_slot: f64,
    expires: Instant,
}

impl OpenCall {
    /// Time that the call has had for itself, in seconds.
    fn own_time(&self, now: Instant) -> f64 {
        now.since(self.sent).as_secs_f64() / self.calls_per_slot
    }
}

#[derive(Clone, Debug)]
struct TargetPace {
    /// Time of a call that has a slot to itself, in seconds: usually, and by the last calls.
    usual: f64,
    recent: f64,
    samples: u32,
    observed_at: Instant,
    /// When a call was last answered.
    answered_at: Instant,
    /// When the newest answered call was sent.
    answered_sent: Instant,
    /// When a call failed or was rejected last.
    failed_at: Instant,
    /// Calls in flight at which a call was rejected, and when.
    full: Option<(u32, Instant)>,
    /// Whether the target was last reported as slow.
    is_reported_slow: bool,
    /// Calls in flight, oldest first.
    open: Vec<OpenCall>,
}

impl TargetPace {
    fn new(now: Instant) -> Self {
        let initial = INITIAL_CALL_TIME.as_secs_f64();
        Self {
            usual: initial,
            recent: initial,
            samples: 0,
            observed_at: now,
            answered_at: now,
            answered_sent: Instant(0),
            failed_at: now,
            full: None,
            is_reported_slow: false,
            open: Vec::new(),
        }
    }

    fn is_slow(&self, now: Instant) -> bool {
        self.call_time(now).as_secs_f64() > self.usual * SLOW_FACTOR
    }

    fn record(&mut self, own_time: f64, now: Instant) {
        self.samples = self.samples.saturating_add(1);
        if self.samples == 1 {
            self.usual = own_time;
            self.recent = own_time;
        } else {
            let weight = USUAL_WEIGHT.max(1.0 / f64::from(self.samples));
            let recent = self.recent_at(now);
            let age = now.since(self.observed_at).as_secs_f64();
            let recent_weight = 1.0 - (-age / (AVERAGED_CALLS * self.usual).max(1e-6)).exp();
            let recent_weight = recent_weight.min(MAX_RECENT_WEIGHT);
            let sample = own_time.min(self.usual * MAX_RECENT_FACTOR);
            self.recent = recent + (sample - recent) * recent_weight;
            let sample = own_time.min(self.usual * MAX_USUAL_FACTOR);
            self.usual += (sample - self.usual) * weight;
        }
        self.observed_at = now;
    }

    /// The recent pace, which returns to the usual one without new calls.
    fn recent_at(&self, now: Instant) -> f64 {
        let age = now.since(self.observed_at).as_secs_f64();
        let kept = (-age / (RETRY_CALLS * self.usual).max(1e-6)).exp();
        self.usual + (self.recent - self.usual) * kept
    }

    /// Times of the calls that show the target to be slow before they end. A call that later ones have overtaken shows nothing: it
    /// is a long one, or its gateway is gone.
    fn overdue(&self, factor: f64, now: Instant) -> impl Iterator<Item = f64> + '_ {
        let limit = self.usual * factor;
        let open = self.open.iter();
        let open = open.filter(|call| call.sent >= self.answered_sent);
        let times = open.map(move |call| call.own_time(now));
        times.filter(move |time| *time > limit)
    }

    /// Whether open calls no longer tell of the target, as it has been sent none for some time: a few calls' time, or half of its
    /// silence, so that a silent target gets single calls at growing intervals.
    fn is_retry_due(&self, now: Instant) -> bool {
        let last_sent = self.open.iter().map(|call| call.sent).max();
        let oldest = self.open.iter().map(|call| call.sent).min();
        let silence = oldest.map_or(Duration::ZERO, |sent| now.since(sent.max(self.answered_at)));
        let retry_time = Duration::from_secs_f64(RETRY_CALLS * self.usual).max(silence / 2);
        last_sent.is_none_or(|sent| now.since(sent) >= retry_time)
    }

    /// Expected time of a call with a slot to itself. One overdue call counts by half, as it may be a long one.
    fn call_time(&self, now: Instant) -> Duration {
        if self.is_retry_due(now) {
            return Duration::from_secs_f64(self.recent_at(now));
        }
        let mut longest = [0.0_f64; 2];
        for time in self.overdue(OVERDUE_FACTOR, now) {
            if time > longest[0] {
                longest = [time, longest[0]];
            } else if time > longest[1] {
                longest[1] = time;
            }
        }
        let overdue = longest[1].max((longest[0] + self.usual) / 2.0);
        let overdue = if longest[0] > 0.0 { overdue } else { 0.0 };
        Duration::from_secs_f64(self.recent_at(now).max(overdue))
    }

    /// Whether a target that leaves its calls unanswered should get none now.
    fn is_avoided(&self, now: Instant) -> bool {
        let is_silent = self.overdue(SILENT_FACTOR, now).count() >= SILENT_MIN_CALLS;
        is_silent && !self.is_retry_due(now)
    }
}

/// Paces of the targets, and the bounds of the calls that were placed.
#[derive(Clone, Debug, Default)]
pub struct PlainPace {
    targets: HashMap<TargetRun, TargetPace>,
    /// Smallest bound of a call that was placed in time lately, and when.
    bound: Option<(Duration, Instant)>,
    /// When a call that was answered found a free slot.
    free_at: Option<Instant>,
    /// Calls placed although they are expected late.
    late_placed: u64,
    /// Calls that were dropped because their end was not reported, and those of them that were logged.
    dropped: u64,
    reported_dropped: u64,
}

/// A target that has become slow or usual again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PaceChange {
    /// The target.
    pub run: TargetRun,
    /// Whether it is slow now.
    pub is_slow: bool,
    /// Expected time of a call now.
    pub call_time: Duration,
    /// Usual time of a call.
    pub usual: Duration,
}

impl fmt::Display for PaceChange {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let state = if self.is_slow { "slow" } else { "usual again" };
        let (call_time, usual) = (self.call_time, self.usual);
        write!(
            formatter,
            "{state}: {call_time:.1?} a call, usually {usual:.1?}"
        )
    }
}

/// Changes for the log.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PaceChanges {
    /// Targets that have become slow or usual again.
    pub targets: Vec<PaceChange>,
    /// Calls dropped because their end was not reported.
    pub dropped: u64,
}

/// Numbers of the decisions by the paces, for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PaceCounts {
    /// Targets that are slower than usual.
    pub slow_targets: usize,
    /// Calls placed although they were expected late.
    pub late_placed: u64,
    /// Calls dropped because their end was not reported.
    pub dropped: u64,
}

impl PlainPace {
    /// Expected time of a call with a slot to itself.
    #[must_use]
    pub fn call_time(&self, run: &TargetRun, now: Instant) -> Duration {
        let pace = self.targets.get(run);
        pace.map_or(INITIAL_CALL_TIME, |pace| pace.call_time(now))
    }

    /// Whether a target that leaves its calls unanswered should get none now.
    #[must_use]
    pub fn is_avoided(&self, run: &TargetRun, now: Instant) -> bool {
        let pace = self.targets.get(run);
        pace.is_some_and(|pace| pace.is_avoided(now))
    }

    /// Part of a failing target's penalty that still counts.
    #[must_use]
    pub fn failure_weight(&self, run: &TargetRun, now: Instant) -> f64 {
        let pace = self.targets.get(run);
        pace.map_or(1.0, |pace| {
            let age = now.since(pace.failed_at).as_secs_f64();
            (-age / FAILURE_FADE.as_secs_f64()).exp()
        })
    }

    /// Whether a target that could not be reached should be tried again by a call that would be refused.
    #[must_use]
    pub fn is_reconnection_due(&self, run: &TargetRun, now: Instant) -> bool {
        let pace = self.targets.get(run);
        pace.is_none_or(|pace| {
            let sent = pace.open.iter().map(|call| call.sent).max();
            now.since(sent.unwrap_or(pace.failed_at).max(pace.failed_at)) >= RECONNECT_TIME
        })
    }

    /// Whether a target with this many calls in flight has lately rejected another one.
    #[must_use]
    pub fn is_full(&self, run: &TargetRun, calls: u32, now: Instant) -> bool {
        let full = self.targets.get(run).and_then(|pace| pace.full);
        full.is_some_and(|(max, at)| calls >= max && now.since(at) < FULL_TTL)
    }

    /// Records that a target rejected a call while this many others were in flight.
    pub fn record_full(&mut self, run: &TargetRun, calls: u32, now: Instant) {
        if let Some(pace) = self.targets.get_mut(run) {
            pace.full = Some((calls, now));
        }
    }

    /// Records that a call was placed; `deadline` is the time left to its deadline, if known.
    pub fn record_sent(
        &mut self,
        run: &TargetRun,
        key: &CallKey,
        sent: Instant,
        calls_per_slot: f64,
        deadline: Option<Duration>,
    ) {
        let max_age = deadline.map_or(MAX_CALL_AGE, |deadline| deadline + REPORT_MARGIN);
        let pace = self.targets.entry(run.clone());
        let pace = pace.or_insert_with(|| TargetPace::new(sent));
        pace.open.push(OpenCall {
            key: key.clone(),
            sent,
            calls_per_slot,
            expires: sent.after(max_age),
        });
    }

    /// Records the end of a call; without an outcome if nothing is known of it.
    pub fn record_end(
        &mut self,
        run: &TargetRun,
        key: &CallKey,
        outcome: Option<CallOutcome>,
        now: Instant,
    ) {
        let Some(pace) = self.targets.get_mut(run) else {
            return;
        };
        let Some(at) = pace.open.iter().position(|call| call.key == *key) else {
            return;
        };
        let call = pace.open.remove(at);
        match outcome {
            Some(CallOutcome::Success) => {
                pace.record(call.own_time(now), now);
                pace.answered_at = now;
                pace.answered_sent = pace.answered_sent.max(call.sent);
                if call.calls_per_slot <= 1.0 {
                    self.free_at = self.free_at.max(Some(call.sent));
                }
            }
            Some(_) => pace.failed_at = now,
            None => {}
        }
    }

    /// Removes and returns the calls whose end should have been reported by now.
    pub fn take_expired(&mut self, now: Instant) -> Vec<CallKey> {
        let mut expired = Vec::new();
        for pace in self.targets.values_mut() {
            let gone = pace.open.extract_if(.., |call| call.expires <= now);
            expired.extend(gone.map(|call| call.key));
        }
        self.dropped += expired.len() as u64;
        expired
    }

    /// Whether an excess of calls may be over soon, so that all of them can be served.
    fn is_passing(&self, now: Instant) -> bool {
        let free_at = self.free_at;
        free_at.is_some_and(|free_at| now.since(free_at) < PASSING_TIME)
    }

    /// Fraction of the time left within which the answer has to be expected; `fraction` if the load lasts.
    #[must_use]
    pub fn expected_fraction(&self, fraction: f64, now: Instant) -> f64 {
        if self.is_passing(now) {
            fraction.max(PASSING_FRACTION)
        } else {
            fraction
        }
    }

    /// Records the bound of a call that is placed in time.
    pub fn record_bound(&mut self, bound: Duration, now: Instant) {
        let is_replaced = self
            .bound
            .is_none_or(|(least, at)| bound <= least || now.since(at) >= BOUND_TTL);
        if is_replaced {
            self.bound = Some((bound, now));
        }
    }

    /// Whether a call that is expected after its objective should be placed: it is answered within its deadline, and calls
    /// that come after it, which are expected at `next`, are still in time.
    pub fn admits_late(
        &mut self,
        expected: Duration,
        next: Duration,
        deadline: Duration,
        now: Instant,
    ) -> bool {
        let bound = self
            .bound
            .filter(|(_, at)| now.since(*at) < BOUND_TTL)
            .map_or(deadline, |(bound, _)| bound);
        let fraction = if self.is_passing(now) {
            1.0
        } else {
            LATE_FRACTION
        };
        let admits = expected <= deadline && next <= bound.mul_f64(fraction);
        self.late_placed += u64::from(admits);
        admits
    }

    /// Forgets the targets for which `keep` is false, unless they have calls in flight.
    pub fn retain(&mut self, keep: impl Fn(&TargetRun) -> bool) {
        self.targets
            .retain(|run, pace| !pace.open.is_empty() || keep(run));
    }

    /// Changes since the last call of this function.
    pub fn take_changes(&mut self, now: Instant) -> PaceChanges {
        let mut changes = PaceChanges {
            targets: Vec::new(),
            dropped: self.dropped - self.reported_dropped,
        };
        self.reported_dropped = self.dropped;
        for (run, pace) in &mut self.targets {
            let is_slow = pace.is_slow(now);
            if is_slow != pace.is_reported_slow {
                pace.is_reported_slow = is_slow;
                changes.targets.push(PaceChange {
                    run: run.clone(),
                    is_slow,
                    call_time: pace.call_time(now),
                    usual: Duration::from_secs_f64(pace.usual),
                });
            }
        }
        changes
    }

    /// Numbers for metrics.
    #[must_use]
    pub fn counts(&self, now: Instant) -> PaceCounts {
        let slow = self.targets.values().filter(|pace| pace.is_slow(now));
        PaceCounts {
            slow_targets: slow.count(),
            late_placed: self.late_placed,
            dropped: self.dropped,
        }
    }
}
