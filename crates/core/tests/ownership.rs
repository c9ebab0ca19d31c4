//! Simulation of target ownership: the production code of several daemons under random schedules.
//!
//! The steps are those of `specs/ownership.pml`. Daemons pause anywhere, records and messages arrive late, and one
//! daemon may crash.

use hoplanding_core::{
    ids::{AdapterVersion, DaemonRef, FencingToken, Incarnation, LogOffset, TargetName, VmName},
    log::{
        FoldedState, IntentClosedRecord, IntentRecord, LogRecord, SettledRecord, TakeoverRecord,
    },
    ownership::{HeldTarget, SettleEvidence, TargetOwnership, is_predecessor_settled},
};
use proptest::{prelude::*, strategy::ValueTree};

const DAEMONS: usize = 3;
const ADAPTERS: usize = 2;
const TARGET: &str = "engine-1";

/// Step of a daemon or of the target; steps may come in any order.
#[derive(Clone, Debug)]
enum Step {
    Read(usize),
    TakeOver(usize),
    Present(usize),
    Dispatch(usize, usize),
    Announce(usize, usize),
    GiveUp(usize),
    SendUnload(usize),
    Settle(usize),
    Crash,
    RequestArrives(usize),
    RequestEnds(usize),
    UnloadArrives(usize),
    Load(usize),
}

fn step() -> impl Strategy<Value = Step> {
    let (daemon, adapter) = (0..DAEMONS, 0..ADAPTERS);
    prop_oneof![
        8 => daemon.clone().prop_map(Step::Read),
        2 => daemon.clone().prop_map(Step::TakeOver),
        3 => daemon.clone().prop_map(Step::Present),
        6 => (daemon.clone(), adapter.clone()).prop_map(|(d, a)| Step::Dispatch(d, a)),
        3 => (daemon.clone(), adapter.clone()).prop_map(|(d, a)| Step::Announce(d, a)),
        1 => daemon.clone().prop_map(Step::GiveUp),
        4 => daemon.clone().prop_map(Step::SendUnload),
        3 => daemon.prop_map(Step::Settle),
        1 => Just(Step::Crash),
        5 => (0..8usize).prop_map(Step::RequestArrives),
        5 => (0..8usize).prop_map(Step::RequestEnds),
        4 => (0..4usize).prop_map(Step::UnloadArrives),
        3 => adapter.prop_map(Step::Load),
    ]
}

#[derive(Clone)]
struct Request {
    daemon: usize,
    adapter: usize,
    token: FencingToken,
}

#[derive(Default)]
struct Daemon {
    folded: FoldedState,
    held: Option<HeldTarget>,
    in_flight: [usize; ADAPTERS],
    announced: Option<(usize, u64)>,
    unloading: Option<usize>,
    last_intent: u64,
    is_crashed: bool,
}

struct Simulation {
    checks_fencing: bool,
    log: Vec<LogRecord>,
    daemons: Vec<Daemon>,
    requests_in_transit: Vec<Request>,
    running_requests: Vec<Request>,
    unloads_in_transit: Vec<Request>,
    loaded_adapters: [bool; ADAPTERS],
    highest_token: Option<FencingToken>,
    executed_unloads: usize,
    unloaded_while_serving: bool,
}

fn adapter(number: usize) -> AdapterVersion {
    AdapterVersion::new(&format!("a{number}"), "v1")
}

fn daemon_ref(number: usize) -> DaemonRef {
    DaemonRef {
        vm: VmName::new(&format!("vm{number}")),
        incarnation: Incarnation(1),
    }
}

impl Simulation {
    fn new(checks_fencing: bool) -> Self {
        Self {
            checks_fencing,
            log: Vec::new(),
            daemons: (0..DAEMONS).map(|_| Daemon::default()).collect(),
            requests_in_transit: Vec::new(),
            running_requests: Vec::new(),
            unloads_in_transit: Vec::new(),
            loaded_adapters: [true; ADAPTERS],
            highest_token: None,
            executed_unloads: 0,
            unloaded_while_serving: false,
        }
    }

    fn target(&self, daemon: usize) -> TargetOwnership {
        self.daemons[daemon]
            .folded
            .ownership
            .target(TARGET)
            .cloned()
            .unwrap_or_default()
    }

    fn is_stale(&mut self, token: FencingToken) -> bool {
        let is_stale =
            self.checks_fencing && self.highest_token.is_some_and(|highest| token < highest);
        if !is_stale {
            self.highest_token = self.highest_token.max(Some(token));
        }
        is_stale
    }

    fn run(&mut self, step: &Step) {
        match *step {
            Step::Read(daemon) if !self.daemons[daemon].is_crashed => self.read(daemon),
            Step::TakeOver(daemon) if !self.daemons[daemon].is_crashed => {
                let current = self.target(daemon).holder;
                if current
                    .as_ref()
                    .is_none_or(|lease| lease.daemon != daemon_ref(daemon))
                {
                    self.log.push(LogRecord::Takeover(TakeoverRecord {
                        target: TargetName::new(TARGET),
                        replaces: current.map(|lease| lease.token),
                        holder: daemon_ref(daemon),
                    }));
                }
            }
            Step::Present(daemon) if !self.daemons[daemon].is_crashed => {
                let token = self.daemons[daemon].held.as_ref().map(|held| held.token);
                if let Some(token) = token.filter(|_| self.checks_fencing)
                    && !self.is_stale(token)
                    && let Some(held) = &mut self.daemons[daemon].held
                {
                    held.acknowledge(token);
                }
            }
            Step::Dispatch(daemon, number) if !self.daemons[daemon].is_crashed => {
                self.dispatch(daemon, number)
            }
            Step::Announce(daemon, number) if !self.daemons[daemon].is_crashed => {
                self.announce(daemon, number)
            }
            Step::GiveUp(daemon) => self.daemons[daemon].announced = None,
            Step::SendUnload(daemon) if !self.daemons[daemon].is_crashed => {
                self.send_unload(daemon)
            }
            Step::Settle(daemon) if !self.daemons[daemon].is_crashed => self.settle(daemon),
            Step::Crash => self.daemons[0].is_crashed = true,
            Step::RequestArrives(index) if !self.requests_in_transit.is_empty() => {
                let request = self
                    .requests_in_transit
                    .remove(index % self.requests_in_transit.len());
                if !self.is_stale(request.token) && self.loaded_adapters[request.adapter] {
                    self.running_requests.push(request);
                } else {
                    self.daemons[request.daemon].in_flight[request.adapter] -= 1;
                }
            }
            Step::RequestEnds(index) if !self.running_requests.is_empty() => {
                let request = self
                    .running_requests
                    .remove(index % self.running_requests.len());
                self.daemons[request.daemon].in_flight[request.adapter] -= 1;
            }
            Step::UnloadArrives(index) if !self.unloads_in_transit.is_empty() => {
                self.unload_arrives(index)
            }
            Step::Load(number) => self.loaded_adapters[number] = true,
            _ => {}
        }
    }

    fn read(&mut self, daemon: usize) {
        let state = &mut self.daemons[daemon];
        let Some(record) = self.log.get(state.folded.applied.0 as usize) else {
            return;
        };
        let offset = LogOffset(state.folded.applied.0 + 1);
        state.folded.apply(offset, record);
        let lease = state
            .folded
            .ownership
            .holder(TARGET)
            .filter(|lease| lease.daemon == daemon_ref(daemon))
            .cloned();
        match lease {
            None => state.held = None,
            Some(lease)
                if state
                    .held
                    .as_ref()
                    .is_none_or(|held| held.token != lease.token) =>
            {
                state.held = Some(HeldTarget::new(lease.token, self.checks_fencing));
            }
            Some(_) => {}
        }
        // Closes an own intent that appears in the log after it was abandoned.
        if let LogRecord::UnloadIntent(intent) = record
            && state
                .held
                .as_ref()
                .is_some_and(|held| held.token == intent.token)
            && state.announced.map(|(_, number)| number) != Some(intent.number)
        {
            let closed = IntentClosedRecord {
                target: intent.target.clone(),
                token: intent.token,
                number: intent.number,
            };
            self.log.push(LogRecord::IntentClosed(closed));
        }
    }

    fn dispatch(&mut self, daemon: usize, number: usize) {
        let ownership = self.target(daemon);
        let state = &mut self.daemons[daemon];
        let is_unloading = state.unloading == Some(number)
            || state
                .announced
                .is_some_and(|(announced, _)| announced == number);
        let Some(held) = state
            .held
            .as_ref()
            .filter(|held| !is_unloading && held.can_dispatch(&ownership, &adapter(number)))
        else {
            return;
        };
        state.in_flight[number] += 1;
        self.requests_in_transit.push(Request {
            daemon,
            adapter: number,
            token: held.token,
        });
    }

    fn announce(&mut self, daemon: usize, number: usize) {
        let ownership = self.target(daemon);
        let state = &mut self.daemons[daemon];
        let in_flight = state.in_flight[number];
        let Some(held) = state
            .held
            .as_ref()
            .filter(|held| held.check_unload(&ownership, in_flight).is_ok())
        else {
            return;
        };
        if state.announced.is_some() || state.unloading.is_some() {
            return;
        }
        state.last_intent += 1;
        state.announced = Some((number, state.last_intent));
        if !self.checks_fencing {
            self.log.push(LogRecord::UnloadIntent(IntentRecord {
                target: TargetName::new(TARGET),
                adapter: adapter(number),
                token: held.token,
                number: state.last_intent,
            }));
        }
    }

    fn send_unload(&mut self, daemon: usize) {
        let ownership = self.target(daemon);
        let state = &mut self.daemons[daemon];
        let (Some(held), Some((number, intent_number))) = (&state.held, state.announced) else {
            return;
        };
        let permit = held.permit_unload(
            &ownership,
            &adapter(number),
            Some(intent_number),
            state.in_flight[number],
        );
        if let Ok(permit) = permit {
            state.announced = None;
            state.unloading = Some(number);
            self.unloads_in_transit.push(Request {
                daemon,
                adapter: number,
                token: permit.token(),
            });
        }
    }

    fn unload_arrives(&mut self, index: usize) {
        let order = self
            .unloads_in_transit
            .remove(index % self.unloads_in_transit.len());
        if !self.is_stale(order.token) {
            self.unloaded_while_serving |= self
                .running_requests
                .iter()
                .any(|request| request.adapter == order.adapter);
            self.loaded_adapters[order.adapter] = false;
            self.executed_unloads += 1;
        }
        let state = &mut self.daemons[order.daemon];
        state.unloading = None;
        if !state.is_crashed && !self.checks_fencing {
            let closed = IntentClosedRecord {
                target: TargetName::new(TARGET),
                token: order.token,
                number: state.last_intent,
            };
            self.log.push(LogRecord::IntentClosed(closed));
        }
    }

    /// Declares former holders settled: the daemon's own earlier leases, and those of the crashed daemon.
    fn settle(&mut self, daemon: usize) {
        let ownership = self.target(daemon);
        let state = &self.daemons[daemon];
        let is_own_idle =
            state.unloading.is_none() && (state.held.is_some() || state.in_flight == [0; ADAPTERS]);
        let any_of_crashed =
            |requests: &[Request]| requests.iter().any(|request| request.daemon == 0);
        let evidence = SettleEvidence {
            vm_unlisted: self.daemons[0].is_crashed,
            zone_still_listed: true,
            delivery_bound_passed: !any_of_crashed(&self.requests_in_transit)
                && !any_of_crashed(&self.unloads_in_transit),
            no_requests_running: !any_of_crashed(&self.running_requests),
        };
        for lease in &ownership.predecessors {
            let is_own_settled = lease.daemon == daemon_ref(daemon) && is_own_idle;
            let is_crashed_settled = lease.daemon == daemon_ref(0)
                && state.held.is_some()
                && is_predecessor_settled(evidence);
            if is_own_settled || is_crashed_settled {
                self.log.push(LogRecord::Settled(SettledRecord {
                    target: TargetName::new(TARGET),
                    token: lease.token,
                }));
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against an unload that reaches a target while it serves a request on that adapter, which happens if a
    /// former holder still dispatches or if an intent becomes visible late.
    #[test]
    fn adapters_that_serve_requests_are_never_unloaded(checks_fencing in any::<bool>(), steps in prop::collection::vec(step(), 20..160)) {
        let mut simulation = Simulation::new(checks_fencing);
        for step in &steps {
            simulation.run(step);
            prop_assert!(!simulation.unloaded_while_serving, "unloaded while serving");
        }
    }
}

/// Guards against a vacuous property above: enough random schedules must reach an unload and a second holder.
#[test]
fn schedules_reach_unloads_and_second_holders() {
    let mut runner = proptest::test_runner::TestRunner::deterministic();
    let (mut unloads, mut takeovers) = (0, 0);
    for _ in 0..300 {
        let steps = prop::collection::vec(step(), 60..160)
            .new_tree(&mut runner)
            .expect("a schedule")
            .current();
        let mut simulation = Simulation::new(false);
        steps.iter().for_each(|step| simulation.run(step));
        unloads += usize::from(simulation.executed_unloads > 0);
        takeovers += usize::from(simulation.daemons.iter().any(|daemon| {
            daemon
                .folded
                .ownership
                .target(TARGET)
                .is_some_and(|target| !target.predecessors.is_empty())
        }));
    }
    assert!(
        unloads > 10 && takeovers > 100,
        "{unloads} schedules with an unload, {takeovers} with a predecessor"
    );
}
