//! The core's own ownership code over the steps of `specs/ownership.pml`: pauses anywhere, late records, a crash.

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

/// One step of one daemon or of the target; any may come at any time.
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
    numbers: u64,
    dead: bool,
}

struct World {
    checks: bool,
    log: Vec<LogRecord>,
    daemons: Vec<Daemon>,
    on_way: Vec<Request>,
    serving: Vec<Request>,
    unloads: Vec<Request>,
    loaded: [bool; ADAPTERS],
    known: Option<FencingToken>,
    unloads_done: usize,
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

impl World {
    fn new(checks: bool) -> Self {
        Self {
            checks,
            log: Vec::new(),
            daemons: (0..DAEMONS).map(|_| Daemon::default()).collect(),
            on_way: Vec::new(),
            serving: Vec::new(),
            unloads: Vec::new(),
            loaded: [true; ADAPTERS],
            known: None,
            unloads_done: 0,
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
        let stale = self.checks && self.known.is_some_and(|known| token < known);
        if !stale {
            self.known = self.known.max(Some(token));
        }
        stale
    }

    fn run(&mut self, step: &Step) {
        match *step {
            Step::Read(daemon) if !self.daemons[daemon].dead => self.read(daemon),
            Step::TakeOver(daemon) if !self.daemons[daemon].dead => {
                let present = self.target(daemon).holder;
                if present
                    .as_ref()
                    .is_none_or(|lease| lease.daemon != daemon_ref(daemon))
                {
                    self.log.push(LogRecord::Takeover(TakeoverRecord {
                        target: TargetName::new(TARGET),
                        replaces: present.map(|lease| lease.token),
                        holder: daemon_ref(daemon),
                    }));
                }
            }
            Step::Present(daemon) if !self.daemons[daemon].dead => {
                let token = self.daemons[daemon].held.as_ref().map(|held| held.token);
                if let Some(token) = token.filter(|_| self.checks)
                    && !self.is_stale(token)
                    && let Some(held) = &mut self.daemons[daemon].held
                {
                    held.acknowledge(token);
                }
            }
            Step::Dispatch(daemon, number) if !self.daemons[daemon].dead => {
                self.dispatch(daemon, number)
            }
            Step::Announce(daemon, number) if !self.daemons[daemon].dead => {
                self.announce(daemon, number)
            }
            Step::GiveUp(daemon) => self.daemons[daemon].announced = None,
            Step::SendUnload(daemon) if !self.daemons[daemon].dead => self.send_unload(daemon),
            Step::Settle(daemon) if !self.daemons[daemon].dead => self.settle(daemon),
            Step::Crash => self.daemons[0].dead = true,
            Step::RequestArrives(index) if !self.on_way.is_empty() => {
                let request = self.on_way.remove(index % self.on_way.len());
                if !self.is_stale(request.token) && self.loaded[request.adapter] {
                    self.serving.push(request);
                } else {
                    self.daemons[request.daemon].in_flight[request.adapter] -= 1;
                }
            }
            Step::RequestEnds(index) if !self.serving.is_empty() => {
                let request = self.serving.remove(index % self.serving.len());
                self.daemons[request.daemon].in_flight[request.adapter] -= 1;
            }
            Step::UnloadArrives(index) if !self.unloads.is_empty() => self.unload_arrives(index),
            Step::Load(number) => self.loaded[number] = true,
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
                state.held = Some(HeldTarget::new(lease.token, self.checks));
            }
            Some(_) => {}
        }
        // A late announcement of one that was given up is closed.
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
        let busy = state.unloading == Some(number)
            || state
                .announced
                .is_some_and(|(announced, _)| announced == number);
        let Some(held) = state
            .held
            .as_ref()
            .filter(|held| !busy && held.can_dispatch(&ownership, &adapter(number)))
        else {
            return;
        };
        state.in_flight[number] += 1;
        self.on_way.push(Request {
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
        state.numbers += 1;
        state.announced = Some((number, state.numbers));
        if !self.checks {
            self.log.push(LogRecord::UnloadIntent(IntentRecord {
                target: TargetName::new(TARGET),
                adapter: adapter(number),
                token: held.token,
                number: state.numbers,
            }));
        }
    }

    fn send_unload(&mut self, daemon: usize) {
        let ownership = self.target(daemon);
        let state = &mut self.daemons[daemon];
        let (Some(held), Some((number, announcement))) = (&state.held, state.announced) else {
            return;
        };
        let permit = held.permit_unload(
            &ownership,
            &adapter(number),
            Some(announcement),
            state.in_flight[number],
        );
        if let Ok(permit) = permit {
            state.announced = None;
            state.unloading = Some(number);
            self.unloads.push(Request {
                daemon,
                adapter: number,
                token: permit.token(),
            });
        }
    }

    fn unload_arrives(&mut self, index: usize) {
        let order = self.unloads.remove(index % self.unloads.len());
        if !self.is_stale(order.token) {
            self.unloaded_while_serving |= self
                .serving
                .iter()
                .any(|request| request.adapter == order.adapter);
            self.loaded[order.adapter] = false;
            self.unloads_done += 1;
        }
        let state = &mut self.daemons[order.daemon];
        state.unloading = None;
        if !state.dead && !self.checks {
            let closed = IntentClosedRecord {
                target: TargetName::new(TARGET),
                token: order.token,
                number: state.numbers,
            };
            self.log.push(LogRecord::IntentClosed(closed));
        }
    }

    /// A daemon settles its own past, or that of the dead one.
    fn settle(&mut self, daemon: usize) {
        let ownership = self.target(daemon);
        let state = &self.daemons[daemon];
        let own_quiet =
            state.unloading.is_none() && (state.held.is_some() || state.in_flight == [0; ADAPTERS]);
        let of_dead = |requests: &[Request]| requests.iter().any(|request| request.daemon == 0);
        let evidence = SettleEvidence {
            vm_unlisted: self.daemons[0].dead,
            zone_still_listed: true,
            delivery_bound_passed: !of_dead(&self.on_way) && !of_dead(&self.unloads),
            no_requests_running: !of_dead(&self.serving),
        };
        for lease in &ownership.predecessors {
            let is_own = lease.daemon == daemon_ref(daemon) && own_quiet;
            let is_dead = lease.daemon == daemon_ref(0)
                && state.held.is_some()
                && is_predecessor_settled(evidence);
            if is_own || is_dead {
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

    #[test]
    fn a_serving_adapter_is_never_unloaded(checks in any::<bool>(), steps in prop::collection::vec(step(), 20..160)) {
        let mut world = World::new(checks);
        for step in &steps {
            world.run(step);
            prop_assert!(!world.unloaded_while_serving, "unloaded while serving");
        }
    }
}

/// The property above must be able to fail: enough of its schedules do unload.
#[test]
fn the_schedules_reach_unloads_and_second_holders() {
    let mut runner = proptest::test_runner::TestRunner::deterministic();
    let (mut unloads, mut takeovers) = (0, 0);
    for _ in 0..300 {
        let steps = prop::collection::vec(step(), 60..160)
            .new_tree(&mut runner)
            .expect("a schedule")
            .current();
        let mut world = World::new(false);
        steps.iter().for_each(|step| world.run(step));
        unloads += usize::from(world.unloads_done > 0);
        takeovers += usize::from(world.daemons.iter().any(|daemon| {
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
