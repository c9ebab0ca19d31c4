//! Plain calls at three zones with one target each, where bytes between zones are expensive: what leaves its zone, and
//! what callers get, with and without the preference for the gateway's own zone.

use crate::{plain::target_entry, simulation::seeds};
use hoplanding_core::{
    direct::{
        health::CallOutcome,
        plain::{PlainPlanner, PlainRequest},
        planner::{CallKey, PlacementAnswer},
        zone_choice::ZoneChoiceRule,
    },
    ids::{AvailabilityZone, Instant, ServiceName, VmName},
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use std::{
    cmp::Reverse,
    collections::{BinaryHeap, VecDeque},
    time::Duration,
};

/// Slots of each target, calls per second of all zones, and the objective, as the first deployment has them.
const SLOTS: u32 = 6;
const CALLS_PER_S: f64 = 400.0;
const OBJECTIVE: Duration = Duration::from_millis(120);
const MEAN_CALL_US: f64 = 15_000.0;
const ZONE_LATENCY_US: u64 = 1_400;
const CALL_COUNT: usize = 12_000;
/// Bytes of a request and its answer.
const CALL_BYTES: u64 = 2_000;
/// Part of the value of a day that the bytes of the calls which leave their zone cost at the first deployment.
const TRAFFIC_COST: f64 = 0.036;

/// Trouble in one simulation.
#[derive(Clone, Copy, Debug)]
struct Trouble {
    /// Part of the calls that arrive in each zone.
    arrivals: [f64; 3],
    /// Whether the target of zone 0 is 2.5 times as slow for 600 ms of every 4 s, 0.15 of the time.
    has_slow_target: bool,
    /// Number of targets; without the last one, zone 2 has none.
    targets: usize,
}

const EVEN: Trouble = Trouble {
    arrivals: [1.0 / 3.0; 3],
    has_slow_target: false,
    targets: 3,
};

/// Parts of the calls by outcome.
#[derive(Debug, Default)]
struct CallShares {
    left_zone: f64,
    in_time: f64,
    late: f64,
    refused: f64,
}

impl CallShares {
    /// Asserts that callers lose less than the traffic saved is worth, and that what is left of the traffic, beyond the
    /// part of the calls that has to leave, costs less than a hundredth of the value.
    fn assert_worth(&self, before: &Self, has_to_leave: f64) {
        let cost = |left_zone: f64| TRAFFIC_COST * left_zone / before.left_zone;
        let saved = cost(before.left_zone) - cost(self.left_zone);
        let lost = before.in_time - self.in_time;
        assert!(lost < saved, "before {before:?}, after {self:?}");
        let avoidable = self.left_zone - has_to_leave;
        assert!(cost(avoidable) < 0.01, "before {before:?}, after {self:?}");
    }
}

/// A request without a preference.
fn plain_request() -> PlainRequest {
    PlainRequest {
        service: ServiceName::new("ledger"),
        rank: 0,
        left_ms: OBJECTIVE.as_millis() as u32,
        exclude: Vec::new(),
        backing_off: Vec::new(),
        fingerprint: Default::default(),
        is_trial: false,
        deadline_ms: 0,
        charge: None,
        zone: None,
        transfer_ms: 0,
    }
}

fn simulate(trouble: Trouble, rule: Option<ZoneChoiceRule>, seed: u64) -> CallShares {
    let mut random = StdRng::seed_from_u64(seed);
    let entries: Vec<_> = (0..trouble.targets).map(target_entry).collect();
    let mut planner = PlainPlanner::default();
    planner.prefer_own_zones(rule.map(|rule| rule.max_remote_share));
    let mut targets = vec![(0_u32, VecDeque::new()); trouble.targets];
    let mut calls = Vec::new();
    let mut events = BinaryHeap::new();
    let mut counts = CallShares::default();
    let mut at = 0.0;
    for call in 0..CALL_COUNT {
        at += -(1.0 - random.random_range(0.0..1.0_f64)).ln() / CALLS_PER_S * 1e6;
        // Within 50 % of the mean, and one call in a hundred five times as long.
        let typical_us = MEAN_CALL_US * random.random_range(0.5..1.5);
        let factor = if random.random_bool(0.01) { 5.0 } else { 1.0 };
        let draw = random.random_range(0.0..1.0);
        let [first, second, _] = trouble.arrivals;
        let zone = usize::from(draw >= first) + usize::from(draw >= first + second);
        calls.push((at as u64, zone, (typical_us * factor) as u64, 0_usize));
        events.push(Reverse((at as u64, call, false)));
    }
    let key = |call: usize| CallKey {
        vm: VmName::new("vm"),
        number: call as u64,
    };
    let duration_at = |target: usize, now_us: u64, us: u64| {
        let is_slow = trouble.has_slow_target && target == 0 && now_us % 4_000_000 < 600_000;
        if is_slow { us * 5 / 2 } else { us }
    };
    while let Some(Reverse((now_us, call, is_end))) = events.pop() {
        let now = Instant(1_000_000 + now_us);
        let (arrived_us, zone, call_us, target) = calls[call];
        if !is_end {
            let request = PlainRequest {
                zone: rule.map(|_| AvailabilityZone::new(&format!("z{zone}"))),
                transfer_ms: rule.map_or(0, |rule| {
                    rule.transfer_cost(CALL_BYTES).as_millis() as u32 + 1
                }),
                ..plain_request()
            };
            let answer = planner.place(key(call), &request, &entries, now);
            let PlacementAnswer::Send { target: name, .. } = answer else {
                counts.refused += 1.0;
                continue;
            };
            let target = entries.iter().position(|entry| entry.name == name);
            let target = target.expect("a target");
            calls[call].3 = target;
            counts.left_zone += f64::from(u8::from(target != zone));
            let (running, queue) = &mut targets[target];
            if *running < SLOTS {
                *running += 1;
                let end = now_us + duration_at(target, now_us, call_us);
                events.push(Reverse((end, call, true)));
            } else {
                queue.push_back(call);
            }
            continue;
        }
        planner.call_ended(&key(call), Some(CallOutcome::Success), now);
        let transfer_us = 2 * ZONE_LATENCY_US * u64::from(target != zone);
        let taken = Duration::from_micros(now_us + transfer_us - arrived_us);
        if taken <= OBJECTIVE {
            counts.in_time += 1.0;
        } else {
            counts.late += 1.0;
        }
        let (running, queue) = &mut targets[target];
        match queue.pop_front() {
            Some(next) => {
                let end = now_us + duration_at(target, now_us, calls[next].2);
                events.push(Reverse((end, next, true)));
            }
            None => *running -= 1,
        }
    }
    let part = |count: f64| count / CALL_COUNT as f64;
    CallShares {
        left_zone: part(counts.left_zone),
        in_time: part(counts.in_time),
        late: part(counts.late),
        refused: part(counts.refused),
    }
}

/// Simulations of several seeds without and with the preference.
fn compare(name: &str, trouble: Trouble) -> Vec<[CallShares; 2]> {
    let rule = ZoneChoiceRule {
        traffic_price_ms_per_kb: 0.5,
        max_remote_share: 0.5,
        weighs_engines: true,
    };
    let runs = seeds(3).map(|seed| [None, Some(rule)].map(|rule| simulate(trouble, rule, seed)));
    let runs: Vec<_> = runs.collect();
    for [before, after] in &runs {
        println!("{name}: without {before:?}\n{name}: with {after:?}");
    }
    runs
}

/// Guards against traffic between zones while the gateway's own zone has an idle target.
#[test]
fn plain_calls_stay_in_their_zone() {
    for [before, after] in compare("even", EVEN) {
        after.assert_worth(&before, 0.0);
    }
}

/// Guards against late or refused calls of a zone that has twice the load of the others.
#[test]
fn plain_calls_of_a_busy_zone_find_free_slots_elsewhere() {
    let busy = Trouble {
        arrivals: [0.5, 0.25, 0.25],
        ..EVEN
    };
    for [before, after] in compare("busy", busy) {
        after.assert_worth(&before, 0.0);
    }
}

/// Guards against calls that stay at a slow target of their zone, or avoid it long after it has recovered.
#[test]
fn plain_calls_leave_a_slow_target_and_come_back() {
    let slow = Trouble {
        has_slow_target: true,
        ..EVEN
    };
    for [before, after] in compare("slow", slow) {
        after.assert_worth(&before, 0.0);
    }
}

/// Guards against refusals while other zones have free slots, as the gateway's zone has no target.
#[test]
fn plain_calls_of_a_zone_without_target_are_served() {
    let gone = Trouble { targets: 2, ..EVEN };
    for [before, after] in compare("gone", gone) {
        after.assert_worth(&before, 1.0 / 3.0);
    }
}

/// Guards against a target that gets no call of its own zone since it was listed, as nothing shows how fast it is.
#[test]
fn plain_calls_use_a_new_target_of_their_zone() {
    let mut planner = PlainPlanner::default();
    planner.prefer_own_zones(Some(0.5));
    let entries = [target_entry(0), target_entry(1)];
    let mut place = |number: u64, zone: usize, listed: usize| {
        let begin = Instant(1_000_000 + number * 50_000);
        let request = PlainRequest {
            zone: Some(AvailabilityZone::new(&format!("z{zone}"))),
            transfer_ms: 4,
            ..plain_request()
        };
        let key = CallKey {
            vm: VmName::new("vm"),
            number,
        };
        let answer = planner.place(key.clone(), &request, &entries[..listed], begin);
        let end = begin.after(Duration::from_millis(15));
        planner.call_ended(&key, Some(CallOutcome::Success), end);
        match answer {
            PlacementAnswer::Send { target, .. } => target.to_string(),
            PlacementAnswer::Refuse { .. } => "none".to_owned(),
        }
    };
    for number in 0..30 {
        assert_eq!(place(number, number as usize % 2, 1), "t0");
    }
    for number in 30..60 {
        assert_eq!(place(number, 1, 2), "t1");
    }
}
