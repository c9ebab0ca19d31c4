//! Which target of a plain service a call goes to.
//!
//! Plain services have few targets of few places each. Seventy gateways that each see their own calls alone pick
//! targets that are full: on a heavy day, with one target of three left, 45 in 100 sends were turned away, and of the
//! calls that ran a third came late from a queue. So one zone's holder places all calls of a service: it knows every
//! call that is under way, takes one only where it can expect an answer in time, and has the others refused before they
//! are sent. Which zone's it is follows from the service's name; where that one does not answer the next takes its
//! place, and at last each gateway picks by what it sees.

use crate::{
    direct::{
        catalog::TargetEntry,
        health::{CallOutcome, HealthTable},
        limits::{AdvertisedLimit, RateLimitTable},
        millis,
        planner::{CallKey, PlacementAnswer, RefusalCause},
        quotas::QuotaCharge,
        suspects::RequestFingerprint,
        zones_ranked_by,
    },
    ids::{AvailabilityZone, Instant, ServiceName, TargetLife, TargetName, TargetRun, VmName},
};
use serde::{Deserialize, Serialize};
use std::{collections::HashMap, sync::Arc, time::Duration};

/// Time that a call takes at a target of which nothing is known yet.
const FIRST_PACE: Duration = Duration::from_millis(50);
/// Weight of the newest call in a target's pace: a target that turns slow shows within some ten calls.
const NEWEST_WEIGHT: f64 = 0.1;
/// Times of the pace beyond which a call counts no more: one whose end is told late, or that was held up on its way,
/// says little of its target. One of 4 s on a quiet day had a holder expect 420 ms of each call, and refuse 380 of them
/// for three seconds.
const OUTLIER_FROM: u32 = 3;
/// Part of the time left to its objective within which a call has to be expected back, by rank, the most urgent first:
/// calls take half as long again as usual now and then, and where all are too many the least urgent wait for their
/// turn.
const EXPECTED_PARTS: [f64; 3] = [0.85, 0.75, 0.65];
/// What a target with a full share of failures has to be better by, in calls under way.
const FAILING_PRICE: f64 = 12.0;
/// What a doubted target has to be better by.
const DOUBT_PRICE: f64 = 50.0;
/// What a target that turned a call away a moment ago counts.
const SHED_PRICE: f64 = 6.0;
/// What a target in another zone has to be better by, for a gateway that picks alone.
const ZONE_PRICE: f64 = 3.0;
/// Bounds of the time after which a caller is told to come back.
const COME_BACK_LEAST: Duration = Duration::from_millis(100);
const COME_BACK_MOST: Duration = Duration::from_millis(1_500);
/// The same where no target takes calls.
const NO_TARGET: Duration = Duration::from_millis(400);

/// What a gateway wants for a call of a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlainRequest {
    /// The service.
    pub service: ServiceName,
    /// Rank of the call; 0 is the most urgent.
    pub rank: u8,
    /// Time left to its objective, in milliseconds.
    pub left_ms: u32,
    /// Targets that it has been to.
    pub exclude: Vec<TargetName>,
    /// Targets that want nothing from the gateway now.
    pub resting: Vec<TargetName>,
    /// The request by what it asks.
    pub fingerprint: RequestFingerprint,
    /// Whether it is sent as a granted trial of a suspect.
    pub is_trial: bool,
    /// What it is charged, unless it is paid for.
    pub charge: Option<QuotaCharge>,
}

impl PlainRequest {
    /// Longest time until its answer for which it is placed.
    fn bound(&self) -> Duration {
        let rank = usize::from(self.rank).min(EXPECTED_PARTS.len() - 1);
        Duration::from_millis(u64::from(self.left_ms)).mul_f64(EXPECTED_PARTS[rank])
    }
}

/// Zones in the order in which their holders are asked to place calls of a service.
#[must_use]
pub fn placement_zones(service: &ServiceName, zones: &[AvailabilityZone]) -> Vec<AvailabilityZone> {
    zones_ranked_by(service.as_str(), zones)
}

/// What is under way at one target, and how long calls take there.
#[derive(Clone, Copy, Debug)]
struct PlainLoad {
    calls: u32,
    /// Time that a call takes on a place of its own.
    pace: Duration,
}

impl Default for PlainLoad {
    fn default() -> Self {
        Self {
            calls: 0,
            pace: FIRST_PACE,
        }
    }
}

/// Calls that share each place of a target once so many are there.
fn sharing(calls: u32, slots: u32) -> f64 {
    (f64::from(calls) / f64::from(slots.max(1))).max(1.0)
}

#[derive(Clone, Debug)]
struct PlainCall {
    run: TargetRun,
    sent: Instant,
    /// How many shared each place then.
    sharing: f64,
}

/// Places the calls of plain services.
#[derive(Clone, Debug, Default)]
pub struct PlainPlanner {
    loads: HashMap<TargetRun, PlainLoad>,
    calls: HashMap<CallKey, PlainCall>,
    lives: HashMap<TargetName, TargetLife>,
    health: HealthTable,
    /// Limits that targets named.
    rates: RateLimitTable,
}

impl PlainPlanner {
    /// Places a call at one of the service's targets that take new work.
    pub fn place(
        &mut self,
        key: CallKey,
        ask: &PlainRequest,
        targets: &[Arc<TargetEntry>],
        now: Instant,
    ) -> PlacementAnswer {
        self.note_lives(targets);
        let Some(entry) = self.best(ask, targets, now) else {
            return refuse(NO_TARGET, Duration::ZERO, RefusalCause::NoEngine);
        };
        let run = entry.run();
        let load = self.loads.entry(run.clone()).or_default();
        let sharing = sharing(load.calls + 1, entry.slots);
        let token_wait = self.rates.wait(&entry.name, now);
        let expected = token_wait + load.pace.mul_f64(sharing);
        let bound = ask.bound();
        let is_taken = load.calls >= entry.slots || !token_wait.is_zero();
        if expected > bound && is_taken {
            let cause = RefusalCause::TooLong(millis(expected));
            return refuse(expected.saturating_sub(bound), token_wait, cause);
        }
        self.rates.take_token(&entry.name, now);
        load.calls += 1;
        let call = PlainCall {
            run,
            sent: now.after(token_wait),
            sharing,
        };
        self.calls.insert(key, call);
        PlacementAnswer::Send {
            target: entry.name.clone(),
            life: entry.life,
            wait_ms: millis(token_wait),
            fetch: None,
            expected_ms: millis(expected),
            version: None,
            is_sought: false,
            is_limited: self.rates.is_limited(&entry.name),
        }
    }

    /// What an earlier life of a target did says nothing about this one.
    fn note_lives(&mut self, targets: &[Arc<TargetEntry>]) {
        for entry in targets {
            if self.lives.get(&entry.name) != Some(&entry.life) {
                self.lives.insert(entry.name.clone(), entry.life);
                self.health.forget(&entry.name);
            }
        }
    }

    fn best<'a>(
        &self,
        ask: &PlainRequest,
        targets: &'a [Arc<TargetEntry>],
        now: Instant,
    ) -> Option<&'a Arc<TargetEntry>> {
        let price = |entry: &TargetEntry| {
            let load = self.loads.get(&entry.run()).copied().unwrap_or_default();
            let wait = load.pace.mul_f64(sharing(load.calls + 1, entry.slots));
            let turn = load.pace.div_f64(f64::from(entry.slots.max(1)));
            // Among places that are free the target with the fewest calls is the better one.
            let calls = f64::from(load.calls) * 0.1 + health_price(&self.health, &entry.name, now);
            self.rates.wait(&entry.name, now) + wait + turn.mul_f64(calls)
        };
        let is_open =
            |name: &TargetName| !ask.exclude.contains(name) && !ask.resting.contains(name);
        pick(&self.health, is_open, targets, now, |left, right| {
            price(left).cmp(&price(right))
        })
    }

    /// Whether a call was placed here and has not ended.
    #[must_use]
    pub fn has_call(&self, key: &CallKey) -> bool {
        self.calls.contains_key(key)
    }

    /// A call ended, or its gateway gave it up.
    pub fn call_ended(&mut self, key: &CallKey, outcome: Option<CallOutcome>, now: Instant) {
        let Some(call) = self.calls.remove(key) else {
            return;
        };
        if let Some(outcome) = outcome {
            self.health.record(&call.run.name, outcome, now);
        }
        let Some(load) = self.loads.get_mut(&call.run) else {
            return;
        };
        load.calls = load.calls.saturating_sub(1);
        if outcome == Some(CallOutcome::Success) {
            let took = now.since(call.sent).div_f64(call.sharing);
            let took = took.min(load.pace * OUTLIER_FROM);
            load.pace = load.pace.mul_f64(1.0 - NEWEST_WEIGHT) + took.mul_f64(NEWEST_WEIGHT);
        }
    }

    /// All calls of a gateway that can't be reached.
    pub fn forget_gateway(&mut self, vm: &VmName, now: Instant) {
        let keys: Vec<_> = self
            .calls
            .keys()
            .filter(|key| key.vm == *vm)
            .cloned()
            .collect();
        for key in keys {
            self.call_ended(&key, None, now);
        }
    }

    /// An answer told of a target's limit.
    pub fn record_limit(&mut self, named: &AdvertisedLimit, now: Instant) {
        self.rates.record(named, now);
    }

    /// Forgets targets that are gone.
    pub fn retain(&mut self, keep: impl Fn(&TargetRun) -> bool) {
        self.loads.retain(|run, load| load.calls > 0 || keep(run));
        let loads = &self.loads;
        let is_there = |name: &TargetName| loads.keys().any(|run| run.name == *name);
        self.health.retain(is_there);
        self.lives.retain(|name, _| is_there(name));
        self.rates.retain(&keep);
    }
}

/// Picks a target for a gateway that no holder answers, by the calls that it has under way itself.
#[must_use]
pub fn pick_without_holder<'a>(
    zone: &AvailabilityZone,
    health: &HealthTable,
    in_flight: &HashMap<TargetRun, u32>,
    tried: &[TargetName],
    targets: &'a [Arc<TargetEntry>],
    now: Instant,
) -> Option<&'a Arc<TargetEntry>> {
    let price = |entry: &TargetEntry| {
        let calls = in_flight.get(&entry.run()).copied().unwrap_or(0);
        let mut price = f64::from(calls) + health_price(health, &entry.name, now);
        if entry.zone != *zone {
            price += ZONE_PRICE;
        }
        price
    };
    let is_open = |name: &TargetName| !tried.contains(name);
    pick(health, is_open, targets, now, |left, right| {
        price(left).total_cmp(&price(right))
    })
}

/// What a target's health counts, in calls under way.
fn health_price(health: &HealthTable, target: &TargetName, now: Instant) -> f64 {
    let mut price = FAILING_PRICE * health.failure_rate(target);
    if health.is_degraded(target) {
        price += DOUBT_PRICE;
    }
    if health.is_overloaded(target, now) {
        price += SHED_PRICE;
    }
    price
}

fn pick<'a>(
    health: &HealthTable,
    is_open: impl Fn(&TargetName) -> bool,
    targets: &'a [Arc<TargetEntry>],
    now: Instant,
    order: impl Fn(&TargetEntry, &TargetEntry) -> std::cmp::Ordering,
) -> Option<&'a Arc<TargetEntry>> {
    let candidates = || targets.iter().filter(|entry| is_open(&entry.name));
    let best = candidates()
        .filter(|entry| !health.is_unreachable(&entry.name, now))
        .min_by(|left, right| order(left, right));
    // One failed connection is no proof where there is nothing else; after more of them callers are told at once.
    best.or_else(|| candidates().find(|entry| !health.is_down(&entry.name, now)))
}

/// Refuses a call; a caller that waits for a token of its target's limit may be told to wait longer than others.
fn refuse(retry_after: Duration, token_wait: Duration, cause: RefusalCause) -> PlacementAnswer {
    let most = COME_BACK_MOST.max(token_wait);
    PlacementAnswer::Refuse {
        retry_after_ms: millis(retry_after.clamp(COME_BACK_LEAST, most)),
        cause,
    }
}
