//! Learns how many loads from the weight store a zone may have in flight, and how long one load takes.
//!
//! A weight store serves a certain number of loads at full speed. Beyond that number it stretches all of them: each
//! takes longer because the store is congested. Neither the number nor the duration of a load is configured. A holder
//! only observes whether an adapter was loaded when the calls that waited for it arrived. The limiter therefore works
//! like congestion control: the limit grows while it is reached and loads complete on time, and decreases when loads of
//! several engines are late together. Each zone learns on its own, so zones need no coordination: a zone that loads
//! much displaces zones that load little, unused capacity of one zone is available to the others, and a zone that is
//! cut off keeps working.
//!
//! The expected duration of a load follows the observations. A late load raises it beyond the time that has elapsed,
//! and loads on time lower it, slowly at first after a late load. Calls thus wait for stretched loads instead of
//! arriving too early. An expected duration above the uncontended one indicates that the store is congested. An engine
//! whose loads are late while those of others are on time has a factor of its own and does not count as a sign of
//! congestion.

use crate::{
    direct::shortage::LoadEstimate,
    ids::{Instant, TargetName},
};
use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

/// Initial limit of loads in flight, unless the caller of [`LoadLimiter::with_initial_limit`] sets more.
const INITIAL_LIMIT: f64 = 6.0;
/// Growth of the limit for each load on time during slow start. With 0.25, 87 of 100 loads from a store with a capacity
/// of 48 completed within 500 ms from the fifth second on, against 97 with 0.5. A growth of 1.0 gains nothing more and
/// sends calls too early to a store with a capacity of 8.
const INITIAL_GROWTH: f64 = 0.5;
/// Expected duration of a load until the first one completes on time.
const INITIAL_LOAD_MS: f64 = 250.0;
/// Factor over the expected duration up to which a load does not count as stretched before the first load on time,
/// because it may be the normal duration. If 288 ms counted as stretched, three zones on a store with a capacity of 48
/// completed 18 of 750 loads within 500 ms in their first five seconds, against 690 with this factor.
const INITIAL_STRETCH_FACTOR: f64 = 1.5;
/// Bounds of the expected duration: below, the transmission of an order dominates; above, no caller waits for the load.
const LOAD_BOUNDS_MS: [f64; 2] = [10.0, 20_000.0];
/// Margin added to the elapsed time of a load that was still missing when a call arrived, as the load takes longer than
/// that.
const LATE_MARGIN: f64 = 0.03;
/// Factor over the expected duration beyond which a load counts as lost, not late, because its engine has terminated
/// meanwhile. Otherwise a single lost load that was 10 s old made a zone expect 5 s for each load, and so start none,
/// until its holder changed.
const LOST_FACTOR: f64 = 4.0;
/// Half-life of the excess over the uncontended duration, and of the factor of a slow engine, while no load is judged.
/// Loads that are expected to take long are not tried, so nothing else would show that the store has recovered.
const EXCESS_HALF_LIFE_S: f64 = 2.0;
/// Time without a judged load after which the excess decays, in expected load durations.
const DECAY_AFTER_LOADS: f64 = 5.0;
/// Weight of a late load in the expected duration.
const LATE_WEIGHT: f64 = 0.5;
/// Relative decrease of the expected duration for a load on time, times the number of loads since the last late one: 6%
/// within 500 loads, half within 1,400. Each test of a duration that is too low makes all loads in flight late, so it
/// must be rare.
const ON_TIME_STEP: f64 = 5e-7;
/// Largest relative decrease by a single load.
const MAX_ON_TIME_STEP: f64 = 0.01;
/// Part of the excess over the uncontended duration that a load on time removes. Where zones have a limit of one or two
/// loads, the store is congested now and then, and an excess that is forgotten between two congested periods makes
/// calls arrive too early in the next one.
const EXCESS_DECAY: f64 = 0.05;
/// Loads on time in a row after which congestion counts as over. Before that, less of the excess is removed, as loads
/// are probably still stretched.
const RECOVERED_STREAK: f64 = 4.0;
/// Factor over the uncontended duration from which a load counts as stretched, so that the limit does not grow.
const STRETCH_FACTOR: f64 = 1.15;
/// Growth of the limit per expected load duration after slow start.
const GROWTH: f64 = 1.0;
/// Factor for the limit when several loads are late. All zones see the same congestion, so a decrease by a tenth in
/// each zone is enough.
const DECREASE_FACTOR: f64 = 0.9;
/// Factor for the limit when loads take [`DEEP_STRETCH_FACTOR`] times the uncontended duration or longer; all zones
/// decrease their limits then.
const DEEP_DECREASE_FACTOR: f64 = 0.7;
const DEEP_STRETCH_FACTOR: f64 = 2.0;
/// Stretched loads on time in a row after which the limit decreases. Once congestion is over, the expected duration
/// falls below the stretch factor within fewer loads.
const MAX_STRETCHED_STREAK: u32 = 32;
/// Further stretched loads on time after which the limit decreases again.
const STRETCHED_STREAK_STEP: u32 = 6;
/// Stretched loads on time in a row, with a limit below 2, after which their duration counts as the uncontended one.
const MAX_SINGLE_STREAK: u32 = 10;
/// Recent loads that are kept.
const MAX_RECENT_LOADS: usize = 8;
/// Late loads among the recent ones that count as congestion.
const MIN_LATE_LOADS: usize = 3;
/// Shortest time for which a load counts as recent, and the same in expected load durations, for zones with few loads
/// in flight.
const MIN_RECENT_TTL: Duration = Duration::from_secs(2);
const RECENT_TTL_LOADS: f64 = 16.0;
/// Weight of the newest load in the late ratio of an engine: the third late load in a row makes the engine slow.
const ENGINE_WEIGHT: f64 = 0.3;
/// Weight of the newest load in the late ratio of the zone.
const ZONE_WEIGHT: f64 = 0.1;
/// Excess of an engine's late ratio over the zone's from which the engine counts as slow.
const SLOW_LATE_EXCESS: f64 = 0.4;
/// Factor by which a late load raises the factor of a slow engine.
const FACTOR_STEP: f64 = 1.15;
/// Largest factor of a slow engine.
const MAX_FACTOR: f64 = 8.0;
/// Part of the factor's excess over 1 that a load on time removes at a slow engine.
const FACTOR_DECAY: f64 = 0.1;

/// Ratio between two values of the limit or of the expected duration that is worth a log line.
const LOGGED_CHANGE: f64 = 1.3;

/// A load from the weight store that is in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreLoad {
    /// When its order was accepted.
    pub started_at: Instant,
    /// Whether the load reached the limit, or loads were held back, when it started.
    pub at_limit: bool,
    /// Whether it was already recorded as on time or late.
    pub is_judged: bool,
}

impl StoreLoad {
    /// A load whose order was accepted at `now`.
    #[must_use]
    pub fn started(now: Instant, at_limit: bool) -> Self {
        Self {
            started_at: now,
            at_limit,
            is_judged: false,
        }
    }
}

/// Observations of the loads at one engine.
#[derive(Clone, Copy, Debug)]
struct EngineLoads {
    /// Exponentially weighted ratio of late loads.
    late_ratio: f64,
    /// Duration of its loads relative to other engines; 1 for an engine that is not slow.
    factor: f64,
}

/// Learned state of the weight store at one moment, for log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadSummary {
    /// Loads that may be in flight.
    pub limit: u32,
    /// Expected duration of a load.
    pub expected_time: Duration,
    /// Duration of a load while the store is not congested.
    pub uncontended_time: Duration,
}

impl LoadSummary {
    /// Whether the difference to the last logged summary is worth a log line.
    #[must_use]
    pub fn differs_notably(&self, logged: &Self) -> bool {
        let differs =
            |now: f64, then: f64| now > then * LOGGED_CHANGE || then > now * LOGGED_CHANGE;
        differs(f64::from(self.limit), f64::from(logged.limit))
            || differs(
                self.expected_time.as_secs_f64(),
                logged.expected_time.as_secs_f64(),
            )
    }
}

#[derive(Clone, Debug)]
struct JudgedLoad {
    target: TargetName,
    started_at: Instant,
    is_late: bool,
    at: Instant,
}

/// Congestion control for the loads of one zone.
#[derive(Clone, Debug)]
pub struct LoadLimiter {
    limit: f64,
    expected_ms: f64,
    /// Duration of a load while the store is not congested: the shortest expected duration at which a load was on time,
    /// or the duration of single loads.
    uncontended_ms: f64,
    /// Whether a load has confirmed the uncontended duration.
    is_uncontended_known: bool,
    /// Stretched loads on time in a row.
    stretched_streak: u32,
    /// Loads on time since the last late one.
    streak: u32,
    /// Whether no congestion has been seen yet.
    is_slow_start: bool,
    decreased_at: Instant,
    decayed_at: Instant,
    last_judged_at: Instant,
    recent: VecDeque<JudgedLoad>,
    engines: HashMap<TargetName, EngineLoads>,
    /// Exponentially weighted ratio of late loads in the zone.
    late_ratio: f64,
}

impl Default for LoadLimiter {
    fn default() -> Self {
        Self {
            limit: INITIAL_LIMIT,
            expected_ms: INITIAL_LOAD_MS,
            uncontended_ms: INITIAL_LOAD_MS,
            is_uncontended_known: false,
            stretched_streak: 0,
            streak: 0,
            is_slow_start: true,
            decreased_at: Instant::default(),
            decayed_at: Instant::default(),
            last_judged_at: Instant::default(),
            recent: VecDeque::new(),
            engines: HashMap::new(),
            late_ratio: 0.0,
        }
    }
}

impl LoadLimiter {
    /// A limiter that starts with `limit` loads, or with its default if that is more.
    #[must_use]
    pub fn with_initial_limit(limit: f64) -> Self {
        Self {
            limit: limit.max(INITIAL_LIMIT),
            ..Self::default()
        }
    }

    /// This limiter, expecting that loads take `time` until one has been observed.
    #[must_use]
    pub fn with_expected_time(self, time: Duration) -> Self {
        let millis = time.as_secs_f64() * 1e3;
        Self {
            expected_ms: millis,
            uncontended_ms: millis,
            ..self
        }
    }

    /// Starts with the limit and the load time that another zone has learned. A limiter that starts from its default
    /// takes 2.5 s to reach a limit of 77.
    pub fn adopt(&mut self, estimate: LoadEstimate) {
        let limit = f64::from(estimate.limit.max(1));
        // A zone that reports the default has learned nothing yet, and this one finds the limit as quickly by itself.
        self.is_slow_start = limit >= self.limit && limit < self.limit + 1.0;
        if !self.is_slow_start {
            self.limit = limit;
        }
        self.set_expected(estimate.load_time.as_secs_f64() * 1e3);
    }

    /// Loads that may be in flight; at least one.
    #[must_use]
    pub fn limit(&self) -> u32 {
        self.limit.max(1.0) as u32
    }

    /// The learned limit and durations, for a log line.
    #[must_use]
    pub fn summary(&self) -> LoadSummary {
        LoadSummary {
            limit: self.limit(),
            expected_time: Duration::from_secs_f64(self.expected_ms / 1e3),
            uncontended_time: Duration::from_secs_f64(self.uncontended_ms / 1e3),
        }
    }

    /// Expected duration of a load at an engine.
    #[must_use]
    pub fn expected_time(&self, target: &TargetName) -> Duration {
        let factor = self.engines.get(target).map_or(1.0, |loads| loads.factor);
        Duration::from_secs_f64(self.expected_ms * factor / 1e3)
    }

    /// Expected time until one more load at an engine completes, with `ahead` loads in flight or waiting before it.
    #[must_use]
    pub fn expected_wait(&self, target: &TargetName, ahead: u32) -> Duration {
        let rounds = f64::from(ahead + 1) / self.limit.max(1.0);
        self.expected_time(target).mul_f64(rounds.max(1.0))
    }

    /// Forgets the observations of an engine that has restarted.
    pub fn reset_target(&mut self, target: &TargetName) {
        self.engines.remove(target);
    }

    /// Keeps the observations of the engines that match.
    pub fn retain(&mut self, keep: impl Fn(&TargetName) -> bool) {
        self.engines.retain(|target, _| keep(target));
    }

    /// Lets the excess over the uncontended duration and the factors of slow engines decay while no load is judged.
    pub fn decay(&mut self, now: Instant) {
        let elapsed_s = now.since(self.decayed_at).as_secs_f64();
        self.decayed_at = now;
        if now.since(self.last_judged_at).as_secs_f64() * 1e3 < self.expected_ms * DECAY_AFTER_LOADS
        {
            return;
        }
        let remaining = 0.5_f64.powf(elapsed_s / EXCESS_HALF_LIFE_S);
        let excess = (self.expected_ms - self.uncontended_ms).max(0.0);
        self.expected_ms -= excess * (1.0 - remaining);
        for loads in self.engines.values_mut() {
            loads.factor = 1.0 + (loads.factor - 1.0) * remaining;
        }
    }

    /// Records that the calls that waited for a load found it complete.
    pub fn record_on_time(&mut self, target: &TargetName, load: StoreLoad, now: Instant) {
        if self.is_slow(target, false) {
            return;
        }
        self.last_judged_at = now;
        if !self.is_uncontended_known && !self.is_stretched(self.expected_ms) {
            self.is_uncontended_known = true;
            self.uncontended_ms = self.expected_ms;
        }
        self.uncontended_ms = self.uncontended_ms.min(self.expected_ms);
        self.push_recent(target, load, false, now);
        self.streak = self.streak.saturating_add(1);
        let step = (f64::from(self.streak) * ON_TIME_STEP).min(MAX_ON_TIME_STEP);
        let excess = (self.expected_ms - self.uncontended_ms).max(0.0);
        let excess_decay = EXCESS_DECAY * (f64::from(self.streak) / RECOVERED_STREAK).min(1.0);
        let is_stretched = self.is_stretched(self.expected_ms);
        self.set_expected(self.expected_ms * (1.0 - step) - excess * excess_decay);
        if is_stretched {
            self.record_stretched();
            return;
        }
        self.stretched_streak = 0;
        if !load.at_limit || load.started_at < self.decreased_at {
            return;
        }
        self.limit += if self.is_slow_start {
            INITIAL_GROWTH
        } else {
            GROWTH / self.limit
        };
    }

    /// Records that a call arrived when a load should have been complete and found it missing, for the first time or
    /// again.
    pub fn record_late(&mut self, target: &TargetName, load: StoreLoad, now: Instant) {
        let elapsed_ms = now.since(load.started_at).as_secs_f64() * 1e3;
        let expected_ms = self.expected_time(target).as_secs_f64() * 1e3;
        if elapsed_ms > expected_ms * LOST_FACTOR || self.is_slow(target, true) {
            return;
        }
        self.last_judged_at = now;
        self.streak = 0;
        let shortfall_ms = elapsed_ms * (1.0 + LATE_MARGIN) - self.expected_ms;
        self.set_expected(self.expected_ms + shortfall_ms.max(0.0) * LATE_WEIGHT);
        // A load that started before the last decrease says nothing about the new limit, and a load that is hardly late
        // only shows that the expected duration was set too low.
        if load.started_at < self.decreased_at || !self.is_stretched(elapsed_ms) {
            return;
        }
        self.push_recent(target, load, true, now);
        if self.is_congested() {
            self.decrease(elapsed_ms, now);
        }
    }

    /// Updates the late ratios with a load; returns whether the engine itself is slow.
    fn is_slow(&mut self, target: &TargetName, is_late: bool) -> bool {
        let newest = f64::from(u8::from(is_late));
        self.late_ratio += (newest - self.late_ratio) * ZONE_WEIGHT;
        let loads = self.engines.entry(target.clone()).or_insert(EngineLoads {
            late_ratio: self.late_ratio,
            factor: 1.0,
        });
        loads.late_ratio += (newest - loads.late_ratio) * ENGINE_WEIGHT;
        let is_slow = loads.late_ratio > self.late_ratio + SLOW_LATE_EXCESS || loads.factor > 1.0;
        if is_slow && is_late {
            loads.factor = (loads.factor * FACTOR_STEP).min(MAX_FACTOR);
        } else if is_slow {
            loads.factor -= (loads.factor - 1.0) * FACTOR_DECAY;
            if loads.factor < FACTOR_STEP.sqrt() {
                loads.factor = 1.0;
            }
        }
        is_slow
    }

    fn set_expected(&mut self, millis: f64) {
        self.expected_ms = millis.clamp(LOAD_BOUNDS_MS[0], LOAD_BOUNDS_MS[1]);
    }

    /// Whether a load of this duration shows that the store is congested.
    fn is_stretched(&self, millis: f64) -> bool {
        let factor = if self.is_uncontended_known {
            STRETCH_FACTOR
        } else {
            INITIAL_STRETCH_FACTOR
        };
        millis > self.uncontended_ms * factor
    }

    fn push_recent(&mut self, target: &TargetName, load: StoreLoad, is_late: bool, now: Instant) {
        let is_known =
            |judged: &JudgedLoad| judged.started_at == load.started_at && judged.target == *target;
        let ttl =
            Duration::from_secs_f64(self.expected_ms * RECENT_TTL_LOADS / 1e3).max(MIN_RECENT_TTL);
        self.recent
            .retain(|judged| now.since(judged.at) < ttl && !is_known(judged));
        if self.recent.len() >= MAX_RECENT_LOADS {
            self.recent.pop_front();
        }
        self.recent.push_back(JudgedLoad {
            target: target.clone(),
            started_at: load.started_at,
            is_late,
            at: now,
        });
    }

    /// Whether several loads are late. Late loads of a single engine do not count while another engine's load was on
    /// time.
    fn is_congested(&self) -> bool {
        let late_loads = || self.recent.iter().filter(|judged| judged.is_late);
        let Some(first) = late_loads().next() else {
            return false;
        };
        let is_single_engine = late_loads().all(|judged| judged.target == first.target);
        let has_other_on_time = self
            .recent
            .iter()
            .any(|judged| !judged.is_late && judged.target != first.target);
        late_loads().count() >= MIN_LATE_LOADS && !(is_single_engine && has_other_on_time)
    }

    /// Records a load that was on time but stretched. If that persists, the limit decreases until loads are faster or
    /// run one at a time.
    fn record_stretched(&mut self) {
        self.stretched_streak += 1;
        if self.limit < 2.0 && self.stretched_streak >= MAX_SINGLE_STREAK {
            // Loads that run one at a time take this long, so this zone does not cause the congestion and the duration
            // counts as uncontended.
            self.stretched_streak = 0;
            self.uncontended_ms = self.expected_ms;
            self.is_uncontended_known = true;
            self.is_slow_start = true;
        } else if self.stretched_streak >= MAX_STRETCHED_STREAK {
            self.stretched_streak -= STRETCHED_STREAK_STEP;
            self.limit *= DECREASE_FACTOR;
        }
    }

    fn decrease(&mut self, elapsed_ms: f64, now: Instant) {
        let is_deep = elapsed_ms > self.uncontended_ms * DEEP_STRETCH_FACTOR;
        let factor = if is_deep {
            DEEP_DECREASE_FACTOR
        } else {
            DECREASE_FACTOR
        };
        self.limit = (self.limit * factor).max(1.0);
        self.is_slow_start = false;
        self.decreased_at = now;
        self.recent.clear();
    }
}
