//! A plain service of few small targets behind many gateways: each picks alone, or one holder places all calls.

use hoplanding_core::{
    direct::{
        catalog::{TargetEntry, TargetStage},
        health::{CallOutcome, HealthTable},
        plain::{PlainPlanner, PlainRequest, pick_without_holder},
        planner::{CallKey, PlacementAnswer},
    },
    ids::{AvailabilityZone, Instant, ServiceName, TargetLife, TargetName, TargetRun, VmName},
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap, VecDeque},
    sync::Arc,
    time::Duration,
};

/// Gateways, places of a target and calls that it queues beside, as on the users' sheet.
const GATEWAYS: usize = 72;
const SLOTS: u32 = 6;
const QUEUE: usize = 24;
/// Objective, and mean time of a call, in microseconds.
const OBJECTIVE_US: u64 = 300_000;
const MEAN_US: f64 = 60_000.0;
/// Calls that are played.
const CALLS: usize = 8_000;

fn entry(number: usize) -> Arc<TargetEntry> {
    Arc::new(TargetEntry {
        name: TargetName::new(&format!("t{number}")),
        life: TargetLife::default(),
        service: ServiceName::new("ledger"),
        address: "127.0.0.1:9".parse().expect("an address"),
        zone: AvailabilityZone::new(&format!("z{number}")),
        slots: SLOTS,
        stage: TargetStage::Ready,
        remaining: None,
        warmup_remaining: Duration::ZERO,
        orders_taken: 0,
        models: Vec::new(),
        adapters: Vec::new(),
    })
}

/// Who decides where calls go.
enum Chooser {
    /// Each gateway by its own calls.
    Alone(Vec<(HealthTable, HashMap<TargetRun, u32>)>),
    /// One holder.
    Holder(Box<PlainPlanner>),
}

impl Chooser {
    /// The target of a call; none where it is refused.
    fn choose(
        &mut self,
        call: usize,
        gateway: usize,
        targets: &[Arc<TargetEntry>],
        now: Instant,
    ) -> Option<usize> {
        let name = match self {
            Self::Alone(gateways) => {
                let (health, in_flight) = &mut gateways[gateway];
                let zone = AvailabilityZone::new(&format!("z{}", gateway % 3));
                let picked = pick_without_holder(&zone, health, in_flight, &[], targets, now)?;
                *in_flight.entry(picked.run()).or_default() += 1;
                picked.name.clone()
            }
            Self::Holder(planner) => {
                let ask = PlainRequest {
                    service: ServiceName::new("ledger"),
                    rank: 1,
                    left_ms: (OBJECTIVE_US / 1_000) as u32,
                    exclude: Vec::new(),
                    backing_off: Vec::new(),
                    fingerprint: Default::default(),
                    is_trial: false,
                    charge: None,
                };
                match planner.place(key(call, gateway), &ask, targets, now) {
                    PlacementAnswer::Send { target, .. } => target,
                    PlacementAnswer::Refuse { .. } => return None,
                }
            }
        };
        targets.iter().position(|entry| entry.name == name)
    }

    fn ended(
        &mut self,
        call: usize,
        gateway: usize,
        entry: &TargetEntry,
        outcome: CallOutcome,
        now: Instant,
    ) {
        match self {
            Self::Alone(gateways) => {
                let (health, in_flight) = &mut gateways[gateway];
                *in_flight.get_mut(&entry.run()).expect("it was sent") -= 1;
                health.record(&entry.name, outcome, now);
            }
            Self::Holder(planner) => planner.call_ended(&key(call, gateway), Some(outcome), now),
        }
    }
}

fn key(call: usize, gateway: usize) -> CallKey {
    CallKey {
        vm: VmName::new(&format!("vm{gateway}")),
        number: call as u64,
    }
}

/// What callers got.
#[derive(Debug, Default)]
struct CallerView {
    in_time: usize,
    late: usize,
    refused: usize,
    turned_away: usize,
}

struct PlainTarget {
    running: u32,
    queue: VecDeque<usize>,
}

/// Plays calls at a rate against so many targets.
fn play(mut chooser: Chooser, count: usize, per_s: f64) -> CallerView {
    let mut draw = StdRng::seed_from_u64(37);
    let entries: Vec<_> = (0..count).map(entry).collect();
    let mut targets: Vec<_> = (0..count)
        .map(|_| PlainTarget {
            running: 0,
            queue: VecDeque::new(),
        })
        .collect();
    let mut sent = Vec::new();
    let mut agenda = BinaryHeap::new();
    let mut view = CallerView::default();
    let mut at = 0.0;
    for call in 0..CALLS {
        at += -(1.0 - draw.random_range(0.0..1.0_f64)).ln() / per_s * 1e6;
        // Half of the mean again in either direction, and one in a hundred five times as long.
        let usual = MEAN_US * draw.random_range(0.5..1.5);
        let time = if draw.random_bool(0.01) {
            usual * 5.0
        } else {
            usual
        };
        sent.push((at as u64, draw.random_range(0..GATEWAYS), time as u64, 0));
        agenda.push(Reverse((at as u64, call, false)));
    }
    while let Some(Reverse((now_us, call, is_end))) = agenda.pop() {
        let now = Instant(1_000_000 + now_us);
        let (came, gateway, time, target) = sent[call];
        if !is_end {
            let Some(target) = chooser.choose(call, gateway, &entries, now) else {
                view.refused += 1;
                continue;
            };
            sent[call].3 = target;
            let place = &mut targets[target];
            if place.running < SLOTS {
                place.running += 1;
                agenda.push(Reverse((now_us + time, call, true)));
            } else if place.queue.len() < QUEUE {
                place.queue.push_back(call);
            } else {
                view.turned_away += 1;
                chooser.ended(
                    call,
                    gateway,
                    &entries[target],
                    CallOutcome::Overloaded(Duration::ZERO),
                    now,
                );
            }
            continue;
        }
        chooser.ended(call, gateway, &entries[target], CallOutcome::Success, now);
        if now_us - came <= OBJECTIVE_US {
            view.in_time += 1;
        } else {
            view.late += 1;
        }
        match targets[target].queue.pop_front() {
            Some(next) => agenda.push(Reverse((now_us + sent[next].2, next, true))),
            None => targets[target].running -= 1,
        }
    }
    view
}

fn alone() -> Chooser {
    Chooser::Alone((0..GATEWAYS).map(|_| Default::default()).collect())
}

fn holder() -> Chooser {
    Chooser::Holder(Box::default())
}

/// 190 calls a second on the six places of one target, which serve 97: most of them can't be served, and the others are in
/// time rather than all of them late.
#[test]
fn one_target_of_three_serves_what_it_can_in_time_and_nobody_is_turned_away() {
    let before = play(alone(), 1, 190.0);
    let after = play(holder(), 1, 190.0);
    println!("alone {before:?}\nholder {after:?}");
    assert_eq!(after.turned_away, 0, "{after:?}");
    assert!(after.late * 10 < after.in_time, "{after:?}");
    // One call in a hundred takes five times as long.
    let capacity = CALLS as f64 / 190.0 * f64::from(SLOTS) / (MEAN_US * 1.04 / 1e6);
    assert!(
        after.in_time as f64 > capacity * 0.95,
        "{before:?} {after:?}"
    );
    assert!(after.in_time > before.in_time, "{before:?} {after:?}");
}

/// 250 calls a second on the places of three targets, which serve 290.
#[test]
fn three_targets_near_their_capacity_serve_more_in_time() {
    let before = play(alone(), 3, 250.0);
    let after = play(holder(), 3, 250.0);
    println!("alone {before:?}\nholder {after:?}");
    assert!(after.in_time > before.in_time, "{before:?} {after:?}");
    assert_eq!(after.turned_away, 0, "{after:?}");
}

/// On a usual day nobody is refused.
#[test]
fn three_targets_on_a_usual_day_serve_everybody_in_time() {
    let after = play(holder(), 3, 190.0);
    assert!(after.in_time * 1_000 > CALLS * 980, "{after:?}");
    assert!(after.refused * 1_000 < CALLS, "{after:?}");
}

/// The end of one call is told four seconds late: the others are served as before.
#[test]
fn one_call_that_ends_late_refuses_nobody() {
    let targets = [entry(0)];
    let mut planner = PlainPlanner::default();
    let ask = PlainRequest {
        service: ServiceName::new("ledger"),
        rank: 1,
        left_ms: 300,
        exclude: Vec::new(),
        backing_off: Vec::new(),
        fingerprint: Default::default(),
        is_trial: false,
        charge: None,
    };
    let begin = Instant(1_000_000);
    planner.place(key(0, 0), &ask, &targets, begin);
    let mut now = begin.after(Duration::from_secs(4));
    planner.call_ended(&key(0, 0), Some(CallOutcome::Success), now);
    for call in 1..60 {
        // Seven at once on six places.
        for gateway in 0..7 {
            let answer = planner.place(key(call, gateway), &ask, &targets, now);
            assert!(matches!(answer, PlacementAnswer::Send { .. }), "{answer:?}");
        }
        now = now.after(Duration::from_millis(60));
        for gateway in 0..7 {
            planner.call_ended(&key(call, gateway), Some(CallOutcome::Success), now);
        }
    }
}
