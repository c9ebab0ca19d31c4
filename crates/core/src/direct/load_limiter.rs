//! How many loads from the weight store a zone may have on their way, and how long one takes, both learned.
//!
//! A store serves a number of loads at full speed and stretches all of them beyond it; neither that number nor the time
//! of a load is told by anybody. What a holder sees is whether an adapter was there when the calls that waited for it
//! came. So it is a concurrency limiter as for congestion: the limit grows while loads come in time and it binds, and
//! shrinks when several engines' loads are late together. Each zone learns for itself, so nothing has to be agreed on:
//! zones that load much push those apart that load little, a zone whose share is idle lends it, and one that is cut off
//! goes on.
//!
//! The time that a load is expected to take follows what was seen: a late load raises it beyond what it is known to have
//! taken, loads in time lower it, slowly while one was late lately. Stretched loads are thus waited for rather than asked
//! for too early, and what exceeds the shortest time seen tells that the store is crowded. An engine whose loads are late
//! while those of others are not has a factor of its own, and says nothing about the store.

use crate::ids::{Instant, TargetName};
use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

/// Loads on their way at the start, at the least.
const START_LIMIT: f64 = 6.0;
/// What a load in time adds to the limit until loads are late together. With half of it 87 in 100 loads from a store
/// that bears 48 were there within half a second from the fifth second on, 97 with this; twice as much gains nothing
/// more, and sends calls too early to a store that bears 8.
const START_GROWTH: f64 = 0.5;
/// Time of a load at the start, in ms, until one has come in time.
const START_MS: f64 = 250.0;
/// Factor up to which loads may take longer than that before the first has come in time, and the store is not held for
/// crowded: it is the load's own time then. With 288 ms held for stretched, three zones of a store that bears 48 had 18
/// of 750 loads there within half a second in their first five seconds, and 690 with this.
const START_UNSURE: f64 = 1.5;
/// Bounds of the time of a load, in ms: below, the way of an order counts more; above, no caller waits for it.
const TIME_BOUNDS_MS: [f64; 2] = [10.0, 20_000.0];
/// Part by which a load is taken to be longer than it is known to have taken when a call came too early for it.
const LATE_PART: f64 = 0.03;
/// Times of the expected time beyond which a load is not taken for late but for lost: its engine has ended meanwhile. One
/// such load, ten seconds old, had a zone expect five seconds of each load, and so begin none, until its holder changed.
const LOST_FROM: f64 = 4.0;
/// Half-life of the excess over the shortest time, and of a slow engine's factor, in seconds, while no load tells anything:
/// what is expected to take long is not tried, and nothing else would show that it no longer does.
const EXCESS_HALF_LIFE_S: f64 = 2.0;
/// Time without a load that tells something from which that holds, in times of a load.
const QUIET_FROM: f64 = 5.0;
/// Weight of a late load in the expected time.
const LATE_WEIGHT: f64 = 0.5;
/// Part by which a load in time lowers the expected time, for each one since the last late load. A time that is 6% too
/// long is tried anew after 500 loads, as all loads on their way are late then; half of it is found after 1,400.
const EARLY_STEP: f64 = 5e-7;
/// Largest part by which one load lowers it.
const EARLY_STEP_MOST: f64 = 0.01;
/// Part of the excess over the shortest time that a load in time takes away. Where single zones have a limit of one or two loads,
/// the store is crowded now and then, and what is forgotten between two crowds is asked for too early in the next one.
const EXCESS_STEP: f64 = 0.05;
/// Loads in time in a row from which a crowd counts as over; until then less of the excess is taken away, as what was
/// stretched a moment ago most likely still is.
const STREAK_SURE: f64 = 4.0;
/// Excess over the shortest time from which the store counts as crowded, so that no more loads are tried at once.
const CROWDED_EXCESS: f64 = 1.15;
/// What the limit grows by in the time of a load once loads have been late.
const GROWTH: f64 = 1.0;
/// What is left of the limit when loads are late together. All zones see the same crowd, so a tenth of each is enough.
const CUT: f64 = 0.9;
/// The same when they are known to take so many times the shortest time; all zones cut their limits then.
const DEEP_CUT: f64 = 0.7;
const DEEP_FROM: f64 = 2.0;
/// Stretched loads in time in a row after which fewer are tried; a crowd that is over is forgotten before.
const STRETCHED_LONG: u32 = 32;
/// The same for each further time.
const STRETCHED_AGAIN: u32 = 6;
/// The same where loads are on their way one by one: their time is taken for the shortest.
const STRETCHED_ALONE: u32 = 10;
/// Newest loads that are looked at.
const RECENT_MOST: usize = 8;
/// Late ones among them that count as a crowd.
const LATE_TOGETHER: usize = 3;
/// Time for which a load is among the newest, and the same in times of a load, where few are on their way.
const RECENT_SPAN: Duration = Duration::from_secs(2);
const RECENT_LOADS: f64 = 16.0;
/// Weight of the newest load in an engine's part of late loads: the third in a row makes it slow.
const ENGINE_WEIGHT: f64 = 0.3;
/// Weight of the newest load in the zone's part of late loads.
const ZONE_WEIGHT: f64 = 0.1;
/// What an engine's part of late loads exceeds the zone's by if it is slow by itself.
const SLOW_BY: f64 = 0.4;
/// What a late load raises a slow engine's factor by.
const FACTOR_STEP: f64 = 1.15;
/// Largest factor of a slow engine.
const FACTOR_MOST: f64 = 8.0;
/// Part of the excess of its factor that a slow engine's load in time takes away.
const FACTOR_EXCESS_STEP: f64 = 0.1;

/// Factor between two values of the limit, or of the time of a load that is worth a line in the log.
const TOLD_CHANGE: f64 = 1.3;

/// A load from the weight store that is on its way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreLoad {
    /// When its order was taken.
    pub started_at: Instant,
    /// Whether the limit held loads back when it began, or just did not.
    pub at_limit: bool,
    /// Whether it is known to have come in time, or to be late.
    pub is_judged: bool,
}

impl StoreLoad {
    /// A load whose order was taken now.
    #[must_use]
    pub fn started(now: Instant, is_bound: bool) -> Self {
        Self {
            started_at: now,
            at_limit: is_bound,
            is_judged: false,
        }
    }
}

/// What loads at one engine tell about it.
#[derive(Clone, Copy, Debug)]
struct EngineLoads {
    /// Part of its loads that are late, the newest counting most.
    late: f64,
    /// Time that its loads take against those of others.
    factor: f64,
}

/// What is known of the weight store at a moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadSummary {
    /// Loads that may be on their way.
    pub limit: u32,
    /// Time that a load takes now.
    pub expected_time: Duration,
    /// Time that it takes while the store is not crowded.
    pub uncontended_time: Duration,
}

impl LoadSummary {
    /// Whether it differs from an earlier one by so much that it is worth a line.
    #[must_use]
    pub fn differs_notably(&self, told: &Self) -> bool {
        let is_far = |now: f64, then: f64| now > then * TOLD_CHANGE || then > now * TOLD_CHANGE;
        is_far(f64::from(self.limit), f64::from(told.limit))
            || is_far(
                self.expected_time.as_secs_f64(),
                told.expected_time.as_secs_f64(),
            )
    }
}

#[derive(Clone, Debug)]
struct JudgedLoad {
    target: TargetName,
    began: Instant,
    is_late: bool,
    at: Instant,
}

/// The limit of one zone's loads, and the time that one takes.
#[derive(Clone, Debug)]
pub struct LoadLimiter {
    limit: f64,
    expected_ms: f64,
    /// Time of a load while the store is not crowded: the shortest at which one came in time, or that of single loads.
    shortest_ms: f64,
    /// Whether a load has shown the time that it takes while the store is not crowded.
    is_time_known: bool,
    /// Loads in time in a row that were stretched.
    stretched: u32,
    /// Loads in time since the last late one.
    streak: u32,
    /// Whether no loads have been late together yet.
    is_starting: bool,
    cut_at: Instant,
    relaxed_at: Instant,
    /// When a load last told something.
    judged_at: Instant,
    recent: VecDeque<JudgedLoad>,
    engines: HashMap<TargetName, EngineLoads>,
    /// Part of the zone's loads that are late, the newest counting most.
    late: f64,
}

impl Default for LoadLimiter {
    fn default() -> Self {
        Self {
            limit: START_LIMIT,
            expected_ms: START_MS,
            shortest_ms: START_MS,
            is_time_known: false,
            stretched: 0,
            streak: 0,
            is_starting: true,
            cut_at: Instant::default(),
            relaxed_at: Instant::default(),
            judged_at: Instant::default(),
            recent: VecDeque::new(),
            engines: HashMap::new(),
            late: 0.0,
        }
    }
}

impl LoadLimiter {
    /// A limiter that begins with so many loads, if they are more than it would try by itself.
    #[must_use]
    pub fn with_initial_limit(loads: f64) -> Self {
        Self {
            limit: loads.max(START_LIMIT),
            ..Self::default()
        }
    }

    /// Loads that may be on their way.
    #[must_use]
    pub fn limit(&self) -> u32 {
        self.limit.max(1.0) as u32
    }

    /// What it has learned, for a log line: limit, time that a load takes, the same without a crowd.
    #[must_use]
    pub fn summary(&self) -> LoadSummary {
        LoadSummary {
            limit: self.limit(),
            expected_time: Duration::from_secs_f64(self.expected_ms / 1e3),
            uncontended_time: Duration::from_secs_f64(self.shortest_ms / 1e3),
        }
    }

    /// Time that a load takes at an engine as it looks now.
    #[must_use]
    pub fn expected_time(&self, target: &TargetName) -> Duration {
        let factor = self.engines.get(target).map_or(1.0, |loads| loads.factor);
        Duration::from_secs_f64(self.expected_ms * factor / 1e3)
    }

    /// Time until one more load is at an engine, behind `crowd` of them on their way or waiting.
    #[must_use]
    pub fn expected_wait(&self, target: &TargetName, crowd: u32) -> Duration {
        let turns = f64::from(crowd + 1) / self.limit.max(1.0);
        self.expected_time(target).mul_f64(turns.max(1.0))
    }

    /// Forgets an engine, which has started again.
    pub fn reset_target(&mut self, target: &TargetName) {
        self.engines.remove(target);
    }

    /// Forgets engines that are gone.
    pub fn retain(&mut self, is_there: impl Fn(&TargetName) -> bool) {
        self.engines.retain(|target, _| is_there(target));
    }

    /// Time passes: what was stretched may no longer be.
    pub fn decay(&mut self, now: Instant) {
        let passed = now.since(self.relaxed_at).as_secs_f64();
        self.relaxed_at = now;
        if now.since(self.judged_at).as_secs_f64() * 1e3 < self.expected_ms * QUIET_FROM {
            return;
        }
        let kept = 0.5_f64.powf(passed / EXCESS_HALF_LIFE_S);
        let excess = (self.expected_ms - self.shortest_ms).max(0.0);
        self.expected_ms -= excess * (1.0 - kept);
        for loads in self.engines.values_mut() {
            loads.factor = 1.0 + (loads.factor - 1.0) * kept;
        }
    }

    /// The calls that waited for a load found it there.
    pub fn record_on_time(&mut self, target: &TargetName, load: StoreLoad, now: Instant) {
        if self.is_slow(target, false) {
            return;
        }
        self.judged_at = now;
        if !self.is_time_known && !self.is_stretched(self.expected_ms) {
            self.is_time_known = true;
            self.shortest_ms = self.expected_ms;
        }
        self.shortest_ms = self.shortest_ms.min(self.expected_ms);
        self.note(target, load, false, now);
        self.streak = self.streak.saturating_add(1);
        let step = (f64::from(self.streak) * EARLY_STEP).min(EARLY_STEP_MOST);
        let excess = (self.expected_ms - self.shortest_ms).max(0.0);
        let pull = EXCESS_STEP * (f64::from(self.streak) / STREAK_SURE).min(1.0);
        let is_stretched = self.is_stretched(self.expected_ms);
        self.set_expected(self.expected_ms * (1.0 - step) - excess * pull);
        if is_stretched {
            self.note_stretched();
            return;
        }
        self.stretched = 0;
        if !load.at_limit || load.started_at < self.cut_at {
            return;
        }
        self.limit += if self.is_starting {
            START_GROWTH
        } else {
            GROWTH / self.limit
        };
    }

    /// A call that came for a load when it should have been there found it missing, for the first time or again.
    pub fn record_late(&mut self, target: &TargetName, load: StoreLoad, now: Instant) {
        let known_ms = now.since(load.started_at).as_secs_f64() * 1e3;
        let expected_ms = self.expected_time(target).as_secs_f64() * 1e3;
        if known_ms > expected_ms * LOST_FROM || self.is_slow(target, true) {
            return;
        }
        self.judged_at = now;
        self.streak = 0;
        let more = known_ms * (1.0 + LATE_PART) - self.expected_ms;
        self.set_expected(self.expected_ms + more.max(0.0) * LATE_WEIGHT);
        // What began before the last cut says nothing about the limit that it set, and a load that is hardly late shows
        // only that the expected time was tried too short.
        if load.started_at < self.cut_at || !self.is_stretched(known_ms) {
            return;
        }
        self.note(target, load, true, now);
        if self.is_crowded() {
            self.cut(known_ms, now);
        }
    }

    /// Notes a load at an engine, and says whether the engine is slow by itself.
    fn is_slow(&mut self, target: &TargetName, is_late: bool) -> bool {
        let newest = f64::from(u8::from(is_late));
        self.late += (newest - self.late) * ZONE_WEIGHT;
        let loads = self.engines.entry(target.clone()).or_insert(EngineLoads {
            late: self.late,
            factor: 1.0,
        });
        loads.late += (newest - loads.late) * ENGINE_WEIGHT;
        let is_slow = loads.late > self.late + SLOW_BY || loads.factor > 1.0;
        if is_slow && is_late {
            loads.factor = (loads.factor * FACTOR_STEP).min(FACTOR_MOST);
        } else if is_slow {
            loads.factor -= (loads.factor - 1.0) * FACTOR_EXCESS_STEP;
            if loads.factor < FACTOR_STEP.sqrt() {
                loads.factor = 1.0;
            }
        }
        is_slow
    }

    fn set_expected(&mut self, millis: f64) {
        self.expected_ms = millis.clamp(TIME_BOUNDS_MS[0], TIME_BOUNDS_MS[1]);
    }

    /// Whether a load that takes this long shows that the store is crowded.
    fn is_stretched(&self, millis: f64) -> bool {
        let excess = if self.is_time_known {
            CROWDED_EXCESS
        } else {
            START_UNSURE
        };
        millis > self.shortest_ms * excess
    }

    fn note(&mut self, target: &TargetName, load: StoreLoad, is_late: bool, now: Instant) {
        let is_known =
            |judged: &JudgedLoad| judged.began == load.started_at && judged.target == *target;
        let span = Duration::from_secs_f64(self.expected_ms * RECENT_LOADS / 1e3).max(RECENT_SPAN);
        self.recent
            .retain(|judged| now.since(judged.at) < span && !is_known(judged));
        if self.recent.len() >= RECENT_MOST {
            self.recent.pop_front();
        }
        self.recent.push_back(JudgedLoad {
            target: target.clone(),
            began: load.started_at,
            is_late,
            at: now,
        });
    }

    /// Whether loads are late together. Those of one engine are not, where another's came in time.
    fn is_crowded(&self) -> bool {
        let late = || self.recent.iter().filter(|judged| judged.is_late);
        let Some(first) = late().next() else {
            return false;
        };
        let is_one_engine = late().all(|judged| judged.target == first.target);
        let others_are_fine = self
            .recent
            .iter()
            .any(|judged| !judged.is_late && judged.target != first.target);
        late().count() >= LATE_TOGETHER && !(is_one_engine && others_are_fine)
    }

    /// A load came in time, but only as it is expected to be stretched. Where that lasts, fewer are tried until the time
    /// is shorter, or loads are on their way one by one.
    fn note_stretched(&mut self) {
        self.stretched += 1;
        if self.limit < 2.0 && self.stretched >= STRETCHED_ALONE {
            // Loads one by one take this long: it is their time, and no crowd of this zone's.
            self.stretched = 0;
            self.shortest_ms = self.expected_ms;
            self.is_time_known = true;
            self.is_starting = true;
        } else if self.stretched >= STRETCHED_LONG {
            self.stretched -= STRETCHED_AGAIN;
            self.limit *= CUT;
        }
    }

    fn cut(&mut self, known_ms: f64, now: Instant) {
        let is_deep = known_ms > self.shortest_ms * DEEP_FROM;
        let left = if is_deep { DEEP_CUT } else { CUT };
        self.limit = (self.limit * left).max(1.0);
        self.is_starting = false;
        self.cut_at = now;
        self.recent.clear();
    }
}
