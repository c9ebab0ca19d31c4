//! A plain service whose targets are slow, silent or lost at times: 400 calls a second on three targets of six slots, with
//! calls of 15 ms and a tail. Compares a planner that averages over about ten calls with one that follows the pace.

use crate::{
    plain::{key, target_entry},
    simulation::seeds,
};
use hoplanding_core::{
    direct::{
        health::CallOutcome,
        plain::{PlainPlanner, PlainRequest},
        planner::PlacementAnswer,
        return_schedule::ReturnRule,
        suspects::RequestFingerprint,
    },
    ids::{Instant, ServiceName, VmName},
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use std::{
    cmp::Reverse,
    collections::{BinaryHeap, VecDeque},
    ops::Range,
    time::Duration,
};

const SLOTS: usize = 6;
/// Calls that a target queues in addition; it rejects further ones.
const QUEUE_LEN: usize = 24;
const GATEWAY_COUNT: usize = 27;
const CALLS_PER_S: f64 = 400.0;
const CALL_MS: f64 = 15.0;
/// One call in thirty takes four times as long.
const TAIL: (f64, f64) = (1.0 / 30.0, 4.0);
const SLOW_FACTOR: f64 = 2.5;
const SLOW_MS: f64 = 600.0;
/// Share of the time in which a target is slow.
const SLOW_SHARE: f64 = 0.15;
const OBJECTIVE_MS: f64 = 120.0;
const DEADLINE_MS: f64 = 1_500.0;
const LINK_MS: f64 = 1.4;
const RETURNS: ReturnRule = ReturnRule {
    max_wait: Duration::from_secs(5),
    urgent_reserve: Duration::from_millis(500),
};
const DURATION_MS: f64 = 40_000.0;
/// Time after which the holder learns that a gateway is gone.
const GATEWAY_LOST_MS: f64 = 1_500.0;

/// Trouble besides slow intervals.
#[derive(Clone, Debug, Default)]
struct Trouble {
    /// Targets to which no connection is made, from the first on, and when.
    lost: (usize, Range<f64>),
    /// The first target answers nothing, and goes on afterwards.
    silent: Range<f64>,
    /// Every two seconds calls come eight times as fast for 50 ms.
    has_bursts: bool,
    /// Every four seconds a gateway ends with its calls.
    loses_gateways: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Arrival,
    Sent,
    Served,
    Answered,
    GatewayLost,
}

#[derive(Clone, Copy, Debug)]
struct Call {
    arrived_ms: f64,
    gateway: usize,
    service_ms: f64,
    target: usize,
    tries: u32,
    excluded: [bool; 3],
    is_once: bool,
    /// Number of its placement at the holder.
    placement: usize,
}

#[derive(Debug, Default, PartialEq)]
struct PaceResult {
    in_time: usize,
    late: usize,
    /// Answered after the deadline.
    expired: usize,
    /// Refused at the second try.
    unserved: usize,
    /// Refused tries.
    refusals: usize,
    /// May have run, and can't be repeated.
    lost: usize,
    rejected: usize,
}

impl PaceResult {
    fn add(&mut self, other: &Self) {
        self.in_time += other.in_time;
        self.late += other.late;
        self.expired += other.expired;
        self.unserved += other.unserved;
        self.refusals += other.refusals;
        self.lost += other.lost;
        self.rejected += other.rejected;
    }
}

fn us(ms: f64) -> u64 {
    (ms * 1e3) as u64
}

fn slow_intervals(random: &mut StdRng) -> Vec<Range<f64>> {
    let mean_gap = SLOW_MS / SLOW_SHARE - SLOW_MS;
    let mut at_ms = 0.0;
    let mut intervals = Vec::new();
    while at_ms < DURATION_MS {
        at_ms += mean_gap * random.random_range(0.5..1.5);
        intervals.push(at_ms..at_ms + SLOW_MS);
        at_ms += SLOW_MS;
    }
    intervals
}

fn simulate(mut planner: PlainPlanner, trouble: &Trouble, seed: u64) -> PaceResult {
    let mut random = StdRng::seed_from_u64(seed);
    let entries: Vec<_> = (0..3).map(target_entry).collect();
    let slow: Vec<_> = (0..3).map(|_| slow_intervals(&mut random)).collect();
    let mut events = BinaryHeap::new();
    let mut calls: Vec<Call> = Vec::new();
    let mut at_ms = 0.0;
    while at_ms < DURATION_MS {
        let is_burst = trouble.has_bursts && at_ms % 2_000.0 < 50.0;
        let per_ms = CALLS_PER_S / 1e3 * if is_burst { 8.0 } else { 1.0 };
        at_ms += -(1.0 - random.random_range(0.0..1.0_f64)).ln() / per_ms;
        let tail = if random.random_bool(TAIL.0) {
            TAIL.1
        } else {
            1.0
        };
        events.push(Reverse((us(at_ms), Step::Arrival, calls.len())));
        calls.push(Call {
            arrived_ms: at_ms,
            gateway: random.random_range(0..GATEWAY_COUNT),
            service_ms: CALL_MS * random.random_range(0.5..1.5) * tail,
            target: 0,
            tries: 0,
            excluded: [false; 3],
            is_once: random.random_bool(0.7),
            placement: 0,
        });
    }
    if trouble.loses_gateways {
        for number in 1..10 {
            let lost_at = f64::from(number) * 4_000.0;
            let lost_at = us(lost_at + GATEWAY_LOST_MS);
            events.push(Reverse((lost_at, Step::GatewayLost, number as usize)));
        }
    }
    let is_gone = |gateway: usize, now_ms: f64| {
        let lost_at = gateway as f64 * 4_000.0;
        trouble.loses_gateways
            && (1..10).contains(&gateway)
            && (lost_at..lost_at + GATEWAY_LOST_MS).contains(&now_ms)
    };
    let is_lost =
        |target: usize, now_ms: f64| target < trouble.lost.0 && trouble.lost.1.contains(&now_ms);
    let mut queues: Vec<VecDeque<usize>> = vec![VecDeque::new(); 3];
    let mut running = [0_usize; 3];
    let mut placements = 0;
    let mut result = PaceResult::default();
    while let Some(Reverse((now_us, step, number))) = events.pop() {
        let now_ms = now_us as f64 / 1e3;
        let now = Instant(1_000_000 + now_us);
        if step == Step::GatewayLost {
            planner.forget_gateway(&VmName::new(&format!("vm{number}")), now);
            continue;
        }
        let call = &mut calls[number];
        let start = |number: usize, call: &Call, events: &mut BinaryHeap<_>| {
            let target = call.target;
            let is_slow = slow[target].iter().any(|slow| slow.contains(&now_ms));
            let mut end_ms = now_ms + call.service_ms * if is_slow { SLOW_FACTOR } else { 1.0 };
            if target == 0 && now_ms < trouble.silent.end && end_ms > trouble.silent.start {
                end_ms += trouble.silent.end - trouble.silent.start.max(now_ms);
            }
            events.push(Reverse((us(end_ms), Step::Served, number)));
        };
        let end = |call: &Call, outcome, planner: &mut PlainPlanner| {
            if !is_gone(call.gateway, now_ms) {
                planner.call_ended(&key(call.placement, call.gateway), Some(outcome), now);
            }
        };
        match step {
            Step::Arrival => {
                let spent_ms = now_ms - call.arrived_ms;
                let left_ms = DEADLINE_MS - spent_ms;
                if left_ms < 5.0 {
                    result.unserved += 1;
                    continue;
                }
                let excluded = (0..3).filter(|target| call.excluded[*target]);
                let request = PlainRequest {
                    service: ServiceName::new("ledger"),
                    rank: if call.is_once { 1 } else { 2 },
                    left_ms: (OBJECTIVE_MS - spent_ms).max(0.0) as u32,
                    exclude: excluded.map(|at| entries[at].name.clone()).collect(),
                    backing_off: Vec::new(),
                    fingerprint: RequestFingerprint(number as u64),
                    is_trial: false,
                    charge: None,
                    zone: None,
                    transfer_ms: 0,
                    deadline_ms: left_ms as u32,
                };
                placements += 1;
                call.placement = placements;
                match planner.place(key(placements, call.gateway), &request, &entries, now) {
                    PlacementAnswer::Send { target, .. } => {
                        let at = entries.iter().position(|entry| entry.name == target);
                        call.target = at.expect("a target of the list");
                        events.push(Reverse((us(now_ms + LINK_MS), Step::Sent, number)));
                    }
                    PlacementAnswer::Refuse { retry_after_ms, .. } => {
                        result.refusals += 1;
                        call.tries += 1;
                        let pause_ms = f64::from(retry_after_ms).min(left_ms / 3.0);
                        if call.tries > 1 {
                            result.unserved += 1;
                        } else {
                            call.excluded = [false; 3];
                            events.push(Reverse((us(now_ms + pause_ms), Step::Arrival, number)));
                        }
                    }
                }
            }
            Step::Sent => {
                let target = call.target;
                let is_full = queues[target].len() >= QUEUE_LEN;
                if is_lost(target, now_ms) || is_full {
                    let outcome = if is_full {
                        result.rejected += 1;
                        CallOutcome::Overloaded(Duration::ZERO)
                    } else {
                        CallOutcome::ConnectFailed
                    };
                    end(call, outcome, &mut planner);
                    call.excluded[target] = true;
                    events.push(Reverse((us(now_ms + LINK_MS), Step::Arrival, number)));
                } else if running[target] < SLOTS {
                    running[target] += 1;
                    start(number, call, &mut events);
                } else {
                    queues[target].push_back(number);
                }
            }
            Step::Served => {
                let target = call.target;
                events.push(Reverse((us(now_ms + LINK_MS), Step::Answered, number)));
                match queues[target].pop_front() {
                    Some(next) => start(next, &calls[next], &mut events),
                    None => running[target] -= 1,
                }
            }
            Step::Answered => {
                if is_lost(call.target, now_ms) {
                    end(call, CallOutcome::Failed, &mut planner);
                    if call.is_once {
                        result.lost += 1;
                    } else {
                        call.excluded[call.target] = true;
                        events.push(Reverse((us(now_ms + LINK_MS), Step::Arrival, number)));
                    }
                    continue;
                }
                end(call, CallOutcome::Success, &mut planner);
                let took_ms = now_ms - call.arrived_ms;
                if took_ms <= OBJECTIVE_MS {
                    result.in_time += 1;
                } else if took_ms <= DEADLINE_MS {
                    result.late += 1;
                } else {
                    result.expired += 1;
                }
            }
            Step::GatewayLost => {}
        }
    }
    result
}

fn troubles() -> [(&'static str, Trouble); 6] {
    let quiet = Trouble {
        silent: 0.0..0.0,
        ..Trouble::default()
    };
    let lost = |count| Trouble {
        lost: (count, 10_000.0..20_000.0),
        ..quiet.clone()
    };
    [
        ("slow intervals", quiet.clone()),
        ("one target lost", lost(1)),
        ("two targets lost", lost(2)),
        (
            "a silent target",
            Trouble {
                silent: 10_000.0..12_000.0,
                ..quiet.clone()
            },
        ),
        (
            "bursts",
            Trouble {
                has_bursts: true,
                ..quiet.clone()
            },
        ),
        (
            "lost gateways",
            Trouble {
                loses_gateways: true,
                ..quiet
            },
        ),
    ]
}

/// Guards against calls that are refused while targets have room: after a failure, while one of them is slow or silent, or
/// because of a passing burst; against queues that make calls in time late; and against refused callers that come back
/// before there is room for them.
#[test]
fn uneven_targets_serve_more_calls() {
    for (name, trouble) in troubles() {
        let mut sums = [(); 3].map(|()| PaceResult::default());
        for seed in seeds(3) {
            let before = simulate(PlainPlanner::default(), &trouble, seed);
            let after = simulate(PlainPlanner::for_uneven_targets(), &trouble, seed);
            let planner = PlainPlanner::for_uneven_targets().with_returns(Some(RETURNS));
            let spread = simulate(planner, &trouble, seed);
            println!(
                "{name}, seed {seed}:\n before {before:?}\n after  {after:?}\n spread {spread:?}"
            );
            sums[0].add(&before);
            sums[1].add(&after);
            sums[2].add(&spread);
        }
        let [before, after, spread] = sums;
        let calls = after.in_time + after.late + after.expired + after.unserved + after.lost;
        // Paths of single calls differ, so a thousandth is no difference.
        assert!(
            after.in_time * 1_000 >= before.in_time * 999,
            "{name}: {before:?} {after:?}"
        );
        assert!(
            spread.in_time * 1_000 >= after.in_time * 999 && spread.unserved <= after.unserved,
            "{name}: {after:?} {spread:?}"
        );
        assert!(after.expired <= before.expired, "{name}: {after:?}");
        assert!(after.unserved <= before.unserved, "{name}: {after:?}");
        match name {
            // One target serves less than the load, so calls have to be refused.
            "two targets lost" => assert!(after.rejected <= before.rejected, "{after:?}"),
            "bursts" => assert!(after.unserved * 2 < before.unserved, "{after:?}"),
            // Two targets that are slow at the same time serve 320 calls a second.
            "one target lost" => assert!(after.unserved * 100 < calls, "{after:?}"),
            _ => {
                assert_eq!(after.refusals, 0, "{name}: there is room: {after:?}");
                assert!(after.in_time * 1_000 >= calls * 995, "{name}: {after:?}");
            }
        }
    }
}
