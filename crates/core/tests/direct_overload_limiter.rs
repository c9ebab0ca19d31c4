//! Limits on new connections, in a model of a VM: calls take turns at one processor, and pause between their steps.

use hoplanding_core::{
    direct::{
        overload::DelayProbe,
        overload_limiter::{ConnectionVerdict, ExcessRule, LimitChange, OverloadLimiter},
    },
    ids::Instant,
};
use std::{
    cmp::Reverse,
    collections::{BinaryHeap, VecDeque},
    time::Duration,
};

const START: Instant = Instant(1_000_000);
/// Processor time of a step of a call.
const STEP_TIME: Duration = Duration::from_micros(1_000);
/// Processor time of a request that is refused.
const REFUSAL_TIME: Duration = Duration::from_micros(500);
/// Steps of a call; the VM serves 100 calls a second at most.
const STEPS: u32 = 10;
/// Pause between two steps of a call.
const STEP_PAUSE: Duration = Duration::from_millis(20);
/// Time in which a call is served in time.
const TIME_LIMIT: Duration = Duration::from_secs(1);

struct ModelCall {
    arrived: Instant,
    steps_left: u32,
    probe: Option<DelayProbe>,
}

/// Calls that arrived in a second of the model, by what became of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct SecondCount {
    in_time: u32,
    late: u32,
    rejected: u32,
}

struct ModelVm {
    limiter: OverloadLimiter,
    now: Instant,
    ready: VecDeque<ModelCall>,
    /// Calls that pause, by the time of their next step and their number.
    pausing: BinaryHeap<Reverse<(Instant, u64)>>,
    paused: std::collections::HashMap<u64, ModelCall>,
    next_number: u64,
    next_arrival: Instant,
    seconds: Vec<SecondCount>,
    changes: Vec<(Duration, LimitChange)>,
    /// What is turned away; everything is taken without a rule.
    rule: Option<ExcessRule>,
}

impl ModelVm {
    fn new(rule: Option<ExcessRule>) -> Self {
        Self {
            limiter: OverloadLimiter::default(),
            now: START,
            ready: VecDeque::new(),
            pausing: BinaryHeap::new(),
            paused: std::collections::HashMap::new(),
            next_number: 0,
            next_arrival: START,
            seconds: Vec::new(),
            changes: Vec::new(),
            rule,
        }
    }

    /// Runs for a time in which calls arrive at a rate, and returns what became of those that arrived in each second.
    fn run(&mut self, span: Duration, rate_per_s: f64) -> Vec<SecondCount> {
        let first = self.seconds.len();
        let end = START.after(Duration::from_secs(first as u64) + span);
        self.seconds
            .resize(first + span.as_secs() as usize, SecondCount::default());
        self.next_arrival = self
            .next_arrival
            .max(START.after(Duration::from_secs(first as u64)));
        while self.now < end {
            self.accept_calls(end, rate_per_s);
            while let Some(Reverse((due, number))) = self.pausing.peek().copied() {
                if due > self.now {
                    break;
                }
                self.pausing.pop();
                self.ready.extend(self.paused.remove(&number));
            }
            match self.ready.pop_front() {
                Some(call) => self.run_step(call),
                None => self.idle(end),
            }
        }
        self.seconds[first..].to_vec()
    }

    fn accept_calls(&mut self, end: Instant, rate_per_s: f64) {
        while self.next_arrival <= self.now && self.next_arrival < end {
            let arrived = self.next_arrival;
            self.next_arrival = arrived.after(Duration::from_secs_f64(1.0 / rate_per_s));
            let rule = self.rule.unwrap_or(ExcessRule::Connections);
            let (verdict, change) = self.limiter.accept(rule, self.now);
            let at = self.now.since(START);
            self.changes.extend(change.map(|change| (at, change)));
            match verdict {
                ConnectionVerdict::Take(probe) => self.begin(arrived, probe),
                ConnectionVerdict::Close if self.rule.is_none() => self.begin(arrived, None),
                ConnectionVerdict::Close => self.second(arrived).rejected += 1,
            }
        }
    }

    fn begin(&mut self, arrived: Instant, probe: Option<DelayProbe>) {
        self.ready.push_back(ModelCall {
            arrived,
            steps_left: STEPS,
            probe,
        });
    }

    fn run_step(&mut self, mut call: ModelCall) {
        if let Some(probe) = call.probe.take() {
            self.limiter.end_probe(&probe, self.now);
        }
        if call.steps_left == STEPS && self.rule == Some(ExcessRule::Requests) {
            let (is_taken, _) = self.limiter.admit_request(ExcessRule::Requests, self.now);
            if !is_taken {
                self.now = self.now.after(REFUSAL_TIME);
                self.second(call.arrived).rejected += 1;
                return;
            }
        }
        let time = self.now.since(call.arrived);
        if time > TIME_LIMIT {
            self.second(call.arrived).late += 1;
            return;
        }
        self.now = self.now.after(STEP_TIME);
        call.steps_left -= 1;
        if call.steps_left == 0 {
            self.second(call.arrived).in_time += 1;
            return;
        }
        self.next_number += 1;
        let due = self.now.after(STEP_PAUSE);
        self.pausing.push(Reverse((due, self.next_number)));
        self.paused.insert(self.next_number, call);
    }

    fn idle(&mut self, end: Instant) {
        let step = self.pausing.peek().map(|Reverse((due, _))| *due);
        let next = step.map_or(self.next_arrival, |due| due.min(self.next_arrival));
        self.now = next.min(end).max(self.now.after(Duration::from_micros(1)));
    }

    fn second(&mut self, arrived: Instant) -> &mut SecondCount {
        let second = arrived.since(START).as_secs() as usize;
        &mut self.seconds[second]
    }
}

fn total(seconds: &[SecondCount]) -> SecondCount {
    let mut total = SecondCount::default();
    for second in seconds {
        total.in_time += second.in_time;
        total.late += second.late;
        total.rejected += second.rejected;
    }
    total
}

/// A VM that takes every connection at four times what it serves ends next to none of its calls in time.
#[test]
fn calls_taken_while_overloaded_end_in_time() {
    let mut unlimited = ModelVm::new(None);
    unlimited.run(Duration::from_secs(4), 50.0);
    let collapsed = unlimited.run(Duration::from_secs(12), 400.0);
    let collapsed = total(&collapsed[3..8]);
    assert!(collapsed.in_time * 10 < collapsed.late, "{collapsed:?}");

    let mut limited = ModelVm::new(Some(ExcessRule::Connections));
    limited.run(Duration::from_secs(4), 50.0);
    let seconds = limited.run(Duration::from_secs(12), 400.0);
    let settled = total(&seconds[3..11]);
    assert!(settled.in_time >= 19 * settled.late, "{seconds:?}");
    assert!(settled.in_time >= 8 * 50, "{seconds:?}");
    assert!(
        seconds
            .iter()
            .all(|second| second.in_time + second.late > 0)
    );
}

/// Where no other VM has time, requests are refused, and those taken end in time.
#[test]
fn requests_taken_while_all_vms_are_overloaded_end_in_time() {
    let mut vm = ModelVm::new(Some(ExcessRule::Requests));
    vm.run(Duration::from_secs(4), 50.0);
    let seconds = vm.run(Duration::from_secs(12), 400.0);
    let settled = total(&seconds[3..11]);
    assert!(settled.in_time >= 2 * settled.late, "{seconds:?}");
    assert!(settled.in_time >= 8 * 25, "{seconds:?}");
}

/// A limit outlasts neither the overload nor the calls that it was set for by more than a second.
#[test]
fn limit_ends_within_a_second_of_the_overload() {
    let mut vm = ModelVm::new(Some(ExcessRule::Connections));
    vm.run(Duration::from_secs(4), 50.0);
    vm.run(Duration::from_secs(10), 400.0);
    let after = vm.run(Duration::from_secs(6), 50.0);
    assert_eq!(total(&after[1..]).rejected, 0, "{after:?}");
    let last = vm.changes.last();
    assert!(
        matches!(last, Some((_, LimitChange::Ended(_)))),
        "{:?}",
        vm.changes
    );
}

/// Nothing is closed while processor time is left, also where calls come in bursts.
#[test]
fn connections_of_a_vm_with_processor_time_left_are_all_taken() {
    let mut vm = ModelVm::new(Some(ExcessRule::Connections));
    for _ in 0..5 {
        let seconds = vm.run(Duration::from_secs(4), 85.0);
        assert_eq!(total(&seconds).rejected, 0, "{seconds:?}");
    }
    assert_eq!(vm.changes, []);
}
