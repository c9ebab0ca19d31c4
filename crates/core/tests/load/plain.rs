//! Load tests of a plain service: a few small targets behind many gateways.
//!
//! Compares placement by each gateway, which only knows its own calls, with placement of all calls by one holder.

use hoplanding_core::{
    direct::{
        catalog::{TargetEntry, TargetStage},
        health::{CallOutcome, HealthTable},
        plain::{PlainPlanner, PlainRequest, pick_without_holder},
        planner::{CallKey, PlacementAnswer},
    },
    ids::{
        AvailabilityZone, Instant, ServiceName, SoftwareVersion, TargetLife, TargetName, TargetRun,
        VmName,
    },
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap, VecDeque},
    sync::Arc,
    time::Duration,
};

const GATEWAY_COUNT: usize = 72;
/// Calls that a target runs at once.
const SLOTS: u32 = 6;
/// Calls that a target queues in addition; it rejects further ones.
const QUEUE_LEN: usize = 24;
const OBJECTIVE_US: u64 = 300_000;
const MEAN_CALL_US: f64 = 60_000.0;
/// Calls in one simulation.
const CALL_COUNT: usize = 8_000;

pub fn target_entry(number: usize) -> Arc<TargetEntry> {
    Arc::new(TargetEntry {
        name: TargetName::new(&format!("t{number}")),
        life: TargetLife::default(),
        service: ServiceName::new("ledger"),
        address: "127.0.0.1:9".parse().expect("an address"),
        zone: AvailabilityZone::new(&format!("z{number}")),
        slots: SLOTS,
        stage: TargetStage::Ready,
        remaining: None,
        software: SoftwareVersion::default(),
        warmup_remaining: Duration::ZERO,
        orders_taken: 0,
        models: Vec::new(),
        adapters: Vec::new(),
    })
}

/// Component that chooses the targets.
enum CallPlacer {
    /// Each gateway chooses alone, with the health and in-flight calls that it has observed itself.
    PerGateway(Vec<(HealthTable, HashMap<TargetRun, u32>)>),
    /// One holder places the calls of all gateways.
    Holder(Box<PlainPlanner>),
}

impl CallPlacer {
    /// Chooses the target of a call; `None` if the call is refused.
    fn choose(
        &mut self,
        call: usize,
        gateway: usize,
        targets: &[Arc<TargetEntry>],
        now: Instant,
    ) -> Option<usize> {
        let name = match self {
            Self::PerGateway(gateways) => {
                let (health, in_flight) = &mut gateways[gateway];
                let zone = AvailabilityZone::new(&format!("z{}", gateway % 3));
                let picked = pick_without_holder(&zone, health, in_flight, &[], targets, now)?;
                *in_flight.entry(picked.run()).or_default() += 1;
                picked.name.clone()
            }
            Self::Holder(planner) => {
                let request = PlainRequest {
                    service: ServiceName::new("ledger"),
                    rank: 1,
                    left_ms: (OBJECTIVE_US / 1_000) as u32,
                    exclude: Vec::new(),
                    backing_off: Vec::new(),
                    fingerprint: Default::default(),
                    is_trial: false,
                    charge: None,
                    deadline_ms: 0,
                    zone: None,
                    transfer_ms: 0,
                };
                match planner.place(key(call, gateway), &request, targets, now) {
                    PlacementAnswer::Send { target, .. } => target,
                    PlacementAnswer::Refuse { .. } => return None,
                }
            }
        };
        targets.iter().position(|entry| entry.name == name)
    }

    fn record_end(
        &mut self,
        call: usize,
        gateway: usize,
        entry: &TargetEntry,
        outcome: CallOutcome,
        now: Instant,
    ) {
        match self {
            Self::PerGateway(gateways) => {
                let (health, in_flight) = &mut gateways[gateway];
                *in_flight.get_mut(&entry.run()).expect("the call was sent") -= 1;
                health.record(&entry.name, outcome, now);
            }
            Self::Holder(planner) => planner.call_ended(&key(call, gateway), Some(outcome), now),
        }
    }
}

pub fn key(call: usize, gateway: usize) -> CallKey {
    CallKey {
        vm: VmName::new(&format!("vm{gateway}")),
        number: call as u64,
    }
}

/// Number of calls by outcome.
#[derive(Debug, Default)]
struct CallCounts {
    in_time: usize,
    late: usize,
    refused: usize,
    rejected: usize,
}

struct PlainTarget {
    running: u32,
    queue: VecDeque<usize>,
}

/// Simulates calls that arrive at a rate for a number of targets.
fn simulate(mut placer: CallPlacer, count: usize, per_s: f64) -> CallCounts {
    let mut random = StdRng::seed_from_u64(37);
    let entries: Vec<_> = (0..count).map(target_entry).collect();
    let mut targets: Vec<_> = (0..count)
        .map(|_| PlainTarget {
            running: 0,
            queue: VecDeque::new(),
        })
        .collect();
    let mut sent = Vec::new();
    let mut events = BinaryHeap::new();
    let mut counts = CallCounts::default();
    let mut at = 0.0;
    for call in 0..CALL_COUNT {
        at += -(1.0 - random.random_range(0.0..1.0_f64)).ln() / per_s * 1e6;
        // Within 50 % of the mean, and one call in a hundred five times as long.
        let typical_us = MEAN_CALL_US * random.random_range(0.5..1.5);
        let duration_us = if random.random_bool(0.01) {
            typical_us * 5.0
        } else {
            typical_us
        };
        sent.push((
            at as u64,
            random.random_range(0..GATEWAY_COUNT),
            duration_us as u64,
            0,
        ));
        events.push(Reverse((at as u64, call, false)));
    }
    while let Some(Reverse((now_us, call, is_end))) = events.pop() {
        let now = Instant(1_000_000 + now_us);
        let (arrived_us, gateway, duration_us, target) = sent[call];
        if !is_end {
            let Some(target) = placer.choose(call, gateway, &entries, now) else {
                counts.refused += 1;
                continue;
            };
            sent[call].3 = target;
            let target_state = &mut targets[target];
            if target_state.running < SLOTS {
                target_state.running += 1;
                events.push(Reverse((now_us + duration_us, call, true)));
            } else if target_state.queue.len() < QUEUE_LEN {
                target_state.queue.push_back(call);
            } else {
                counts.rejected += 1;
                placer.record_end(
                    call,
                    gateway,
                    &entries[target],
                    CallOutcome::Overloaded(Duration::ZERO),
                    now,
                );
            }
            continue;
        }
        placer.record_end(call, gateway, &entries[target], CallOutcome::Success, now);
        if now_us - arrived_us <= OBJECTIVE_US {
            counts.in_time += 1;
        } else {
            counts.late += 1;
        }
        match targets[target].queue.pop_front() {
            Some(next) => events.push(Reverse((now_us + sent[next].2, next, true))),
            None => targets[target].running -= 1,
        }
    }
    counts
}

fn per_gateway() -> CallPlacer {
    CallPlacer::PerGateway((0..GATEWAY_COUNT).map(|_| Default::default()).collect())
}

fn holder() -> CallPlacer {
    CallPlacer::Holder(Box::default())
}

/// Guards against an overloaded target that serves all calls late: with 190 calls per second on one target that can
/// serve 97, the excess calls have to be refused so that the others are in time.
#[test]
fn overloaded_target_serves_to_capacity_in_time_without_rejections() {
    let before = simulate(per_gateway(), 1, 190.0);
    let after = simulate(holder(), 1, 190.0);
    println!("per gateway {before:?}\nholder {after:?}");
    assert_eq!(after.rejected, 0, "{after:?}");
    assert!(after.late * 10 < after.in_time, "{after:?}");
    // The mean call time includes one call in a hundred that takes five times as long.
    let capacity = CALL_COUNT as f64 / 190.0 * f64::from(SLOTS) / (MEAN_CALL_US * 1.04 / 1e6);
    assert!(
        after.in_time as f64 > capacity * 0.95,
        "{before:?} {after:?}"
    );
    assert!(after.in_time > before.in_time, "{before:?} {after:?}");
}

/// Guards against a holder that serves fewer calls in time than independent gateways near capacity: 250 calls per
/// second on three targets that can serve 290.
#[test]
fn holder_serves_more_calls_in_time_near_capacity() {
    let before = simulate(per_gateway(), 3, 250.0);
    let after = simulate(holder(), 3, 250.0);
    println!("per gateway {before:?}\nholder {after:?}");
    assert!(after.in_time > before.in_time, "{before:?} {after:?}");
    assert_eq!(after.rejected, 0, "{after:?}");
}

/// Guards against refusals and late calls under normal load.
#[test]
fn normal_load_is_served_in_time() {
    let after = simulate(holder(), 3, 190.0);
    assert!(after.in_time * 1_000 > CALL_COUNT * 980, "{after:?}");
    assert!(after.refused * 1_000 < CALL_COUNT, "{after:?}");
}

/// Guards against refusals of later calls because the end of one call was reported four seconds late.
#[test]
fn late_end_of_one_call_causes_no_refusals() {
    let targets = [target_entry(0)];
    let mut planner = PlainPlanner::default();
    let request = PlainRequest {
        service: ServiceName::new("ledger"),
        rank: 1,
        left_ms: 300,
        exclude: Vec::new(),
        backing_off: Vec::new(),
        fingerprint: Default::default(),
        is_trial: false,
        charge: None,
        deadline_ms: 0,
        zone: None,
        transfer_ms: 0,
    };
    let begin = Instant(1_000_000);
    planner.place(key(0, 0), &request, &targets, begin);
    let mut now = begin.after(Duration::from_secs(4));
    planner.call_ended(&key(0, 0), Some(CallOutcome::Success), now);
    for call in 1..60 {
        // Seven concurrent calls on six slots.
        for gateway in 0..7 {
            let answer = planner.place(key(call, gateway), &request, &targets, now);
            assert!(matches!(answer, PlacementAnswer::Send { .. }), "{answer:?}");
        }
        now = now.after(Duration::from_millis(60));
        for gateway in 0..7 {
            planner.call_ended(&key(call, gateway), Some(CallOutcome::Success), now);
        }
    }
}
