//! Discrete-event simulation of engines and the weight store.
//!
//! A policy receives events and returns commands. A command that violates a rule, such as the unload of an adapter in
//! use, panics.

use crate::{
    model::EngineModel,
    workload::{ARRIVALS_S, Arrival, FAULT_AT_S, Fault, Site},
};
use hoplanding_core::ids::{AdapterVersion, Instant};
use rand::{Rng, SeedableRng, rngs::StdRng};
use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
};

/// Interval between two ticks; equals the heartbeat interval.
const TICK_INTERVAL_S: f64 = 0.05;
/// Time after the last arrival in which open requests can still finish.
const DRAIN_TIMEOUT_S: f64 = 150.0;
/// Interval between two engine restarts.
const RESTART_INTERVAL_S: f64 = 15.0;
/// Share of loads that fail under [`Fault::FailingLoads`].
const LOAD_FAILURE_RATE: f64 = 0.2;
/// Factor by which loads take longer under [`Fault::StoreSlow`].
const SLOW_STORE_FACTOR: f64 = 2.0;

/// Index of a request in the arrivals.
pub type RequestNumber = usize;
/// Index of an engine.
pub type EngineNumber = usize;

/// Command of a policy.
#[derive(Clone, Debug)]
pub enum Command {
    Start(EngineNumber, RequestNumber),
    Load(EngineNumber, AdapterVersion),
    Unload(EngineNumber, AdapterVersion),
    Refuse(RequestNumber),
}

/// Event that a policy is notified of.
#[derive(Clone, Debug)]
pub enum PolicyEvent {
    Arrived(RequestNumber),
    FirstToken(EngineNumber, RequestNumber),
    Ended(EngineNumber, RequestNumber),
    /// A load ended; the flag tells whether it succeeded.
    Loaded(EngineNumber, AdapterVersion, bool),
    /// An engine restarted without loaded adapters or running requests.
    Restarted(EngineNumber),
    /// An engine is lost for the rest of the simulation.
    Lost(EngineNumber),
    Tick,
}

/// A simulated policy.
pub trait Policy {
    fn on_event(
        &mut self,
        policy_event: &PolicyEvent,
        arrivals: &[Arrival],
        now: Instant,
        commands: &mut Vec<Command>,
    );
}

/// Times of a request, in seconds of virtual time.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    pub started_s: Option<f64>,
    pub first_token_s: Option<f64>,
    pub ended_s: Option<f64>,
    pub refused_s: Option<f64>,
    pub load_stall_s: f64,
}

#[derive(Clone, Debug)]
struct Running {
    request: RequestNumber,
    remaining_prefill: u32,
    remaining_tokens: u32,
}

#[derive(Clone, Debug, Default)]
struct Engine {
    running: Vec<Running>,
    loaded: HashMap<AdapterVersion, f64>,
    loading: Option<AdapterVersion>,
    is_stepping: bool,
    epoch: u64,
    is_lost: bool,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct Time(f64);

impl Eq for Time {}

impl PartialOrd for Time {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Time {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival(RequestNumber),
    StepEnd(EngineNumber, u64),
    StoreCheck(u64),
    Tick,
    Restart(EngineNumber),
    LoseZone,
}

#[derive(Clone, Debug)]
struct ActiveLoad {
    engine: EngineNumber,
    model: AdapterVersion,
    remaining_s: f64,
    will_fail: bool,
    epoch: u64,
}

/// Result of a simulation.
#[derive(Debug, Default)]
pub struct RunResult {
    pub outcomes: Vec<Outcome>,
    pub steps: u64,
    pub step_sequences: u64,
    /// Output tokens generated after the warm-up and before the last arrival.
    pub tokens: u64,
    pub loads: u64,
    pub decisions: u64,
}

/// A simulation run.
pub struct Simulation<'a> {
    model: &'a EngineModel,
    fault: Fault,
    zones: usize,
    arrivals: &'a [Arrival],
    engines: Vec<Engine>,
    loads: Vec<ActiveLoad>,
    store_advanced_at: f64,
    store_check: u64,
    queue: BinaryHeap<Reverse<(Time, u64, Event)>>,
    event_sequence: u64,
    now: f64,
    random: StdRng,
    result: RunResult,
    warm_up_s: f64,
}

impl<'a> Simulation<'a> {
    pub fn new(
        site: Site,
        fault: Fault,
        model: &'a EngineModel,
        arrivals: &'a [Arrival],
        seed: u64,
        warm_up_s: f64,
    ) -> Self {
        let (zones, engines) = site.sizes();
        Self {
            model,
            fault,
            zones,
            arrivals,
            engines: vec![Engine::default(); engines],
            loads: Vec::new(),
            store_advanced_at: 0.0,
            store_check: 0,
            queue: BinaryHeap::new(),
            event_sequence: 0,
            now: 0.0,
            random: StdRng::seed_from_u64(seed ^ 0xFA17),
            result: RunResult {
                outcomes: vec![Outcome::default(); arrivals.len()],
                ..RunResult::default()
            },
            warm_up_s,
        }
    }

    pub fn run(mut self, policy: &mut dyn Policy) -> RunResult {
        for (number, arrival) in self.arrivals.iter().enumerate() {
            self.schedule(arrival.at_s, Event::Arrival(number));
        }
        self.schedule(TICK_INTERVAL_S, Event::Tick);
        match self.fault {
            Fault::Restarts => self.schedule(RESTART_INTERVAL_S, Event::Restart(0)),
            Fault::ZoneLost => self.schedule(FAULT_AT_S, Event::LoseZone),
            _ => {}
        }
        while let Some(Reverse((Time(at), _, event))) = self.queue.pop() {
            if at > ARRIVALS_S + DRAIN_TIMEOUT_S {
                break;
            }
            self.now = at;
            self.handle(event, policy);
        }
        self.result
    }

    fn schedule(&mut self, at: f64, event: Event) {
        self.event_sequence += 1;
        self.queue
            .push(Reverse((Time(at), self.event_sequence, event)));
    }

    fn handle(&mut self, event: Event, policy: &mut dyn Policy) {
        match event {
            Event::Arrival(request) => self.notify_policy(policy, &PolicyEvent::Arrived(request)),
            Event::StepEnd(engine, epoch) if self.engines[engine].epoch == epoch => {
                self.end_step(engine, policy)
            }
            Event::StepEnd(..) => {}
            Event::StoreCheck(check) if check == self.store_check => self.end_loads(policy),
            Event::StoreCheck(_) => {}
            Event::Tick => {
                self.schedule(self.now + TICK_INTERVAL_S, Event::Tick);
                self.notify_policy(policy, &PolicyEvent::Tick);
            }
            Event::Restart(engine) => {
                if self.now < ARRIVALS_S {
                    self.schedule(
                        self.now + RESTART_INTERVAL_S,
                        Event::Restart((engine + 5) % self.engines.len()),
                    );
                }
                self.reset_engine(engine, policy, &PolicyEvent::Restarted(engine));
            }
            Event::LoseZone => {
                for engine in (0..self.engines.len()).step_by(self.zones) {
                    self.engines[engine].is_lost = true;
                    self.reset_engine(engine, policy, &PolicyEvent::Lost(engine));
                }
            }
        }
    }

    /// Empties an engine; its running requests arrive again, as a gateway would retry them.
    fn reset_engine(
        &mut self,
        engine: EngineNumber,
        policy: &mut dyn Policy,
        policy_event: &PolicyEvent,
    ) {
        self.advance_store();
        self.loads.retain(|load| load.engine != engine);
        let state = &mut self.engines[engine];
        state.epoch += 1;
        state.is_stepping = false;
        state.loaded.clear();
        state.loading = None;
        let repeated: Vec<_> = state
            .running
            .drain(..)
            .map(|running| running.request)
            .collect();
        self.schedule_store_check();
        self.notify_policy(policy, policy_event);
        for request in repeated {
            self.notify_policy(policy, &PolicyEvent::Arrived(request));
        }
    }

    fn notify_policy(&mut self, policy: &mut dyn Policy, policy_event: &PolicyEvent) {
        let mut commands = Vec::new();
        policy.on_event(
            policy_event,
            self.arrivals,
            instant(self.now),
            &mut commands,
        );
        self.result.decisions += 1;
        for command in commands {
            self.apply_command(command);
        }
    }

    fn apply_command(&mut self, command: Command) {
        match command {
            Command::Start(engine, request) => self.start(engine, request),
            Command::Load(engine, model) => {
                self.advance_store();
                let state = &mut self.engines[engine];
                assert!(
                    !state.is_lost
                        && state.loading.is_none()
                        && state.loaded.len() < self.model.slots,
                    "load without a free slot, during another load, or on a lost engine"
                );
                state.loading = Some(model.clone());
                let will_fail = self.fault == Fault::FailingLoads
                    && self.random.random::<f64>() < LOAD_FAILURE_RATE;
                let slow = self.fault == Fault::StoreSlow
                    && (FAULT_AT_S..FAULT_AT_S + 60.0).contains(&self.now);
                let remaining_s =
                    self.model.load_ms / 1000.0 * if slow { SLOW_STORE_FACTOR } else { 1.0 };
                let epoch = state.epoch;
                self.loads.push(ActiveLoad {
                    engine,
                    model,
                    remaining_s,
                    will_fail,
                    epoch,
                });
                self.result.loads += 1;
                self.schedule_store_check();
            }
            Command::Unload(engine, model) => {
                let state = &mut self.engines[engine];
                let is_serving = state
                    .running
                    .iter()
                    .any(|running| self.arrivals[running.request].model == model);
                assert!(!is_serving, "unload of an adapter with running requests");
                assert!(
                    state.loaded.remove(&model).is_some(),
                    "unload of an adapter that is not loaded"
                );
            }
            Command::Refuse(request) => {
                let outcome = &mut self.result.outcomes[request];
                assert!(
                    outcome.ended_s.is_none() && outcome.refused_s.is_none(),
                    "request ended more than once"
                );
                outcome.refused_s = Some(self.now);
            }
        }
    }

    fn start(&mut self, engine: EngineNumber, request: RequestNumber) {
        let arrival = &self.arrivals[request];
        let state = &mut self.engines[engine];
        assert!(
            !state.is_lost && state.running.len() < self.model.batch,
            "start without a free seat or on a lost engine"
        );
        let loaded_at = *state
            .loaded
            .get(&arrival.model)
            .expect("the requested adapter is loaded");
        let outcome = &mut self.result.outcomes[request];
        outcome.started_s = Some(self.now);
        outcome.load_stall_s = (loaded_at - arrival.at_s).max(0.0);
        state.running.push(Running {
            request,
            remaining_prefill: arrival.prompt_tokens,
            remaining_tokens: arrival.output_tokens,
        });
        self.start_step(engine);
    }

    fn start_step(&mut self, engine: EngineNumber) {
        let state = &mut self.engines[engine];
        if state.is_stepping || state.running.is_empty() {
            return;
        }
        state.is_stepping = true;
        let prefill: u32 = state
            .running
            .iter()
            .map(|running| running.remaining_prefill)
            .sum();
        let prefill = f64::from(prefill.min(self.model.prefill_chunk));
        let step_ms = self.model.step_ms
            + self.model.sequence_ms * state.running.len() as f64
            + self.model.prefill_ms * prefill;
        let epoch = state.epoch;
        if (self.warm_up_s..ARRIVALS_S).contains(&self.now) {
            self.result.steps += 1;
            self.result.step_sequences += state.running.len() as u64;
        }
        self.schedule(self.now + step_ms / 1000.0, Event::StepEnd(engine, epoch));
    }

    fn end_step(&mut self, engine: EngineNumber, policy: &mut dyn Policy) {
        let mut prefill = self.model.prefill_chunk;
        let mut policy_events = Vec::new();
        let state = &mut self.engines[engine];
        state.is_stepping = false;
        for running in &mut state.running {
            let taken = running.remaining_prefill.min(prefill);
            running.remaining_prefill -= taken;
            prefill -= taken;
            if running.remaining_prefill > 0 {
                continue;
            }
            running.remaining_tokens -= 1;
            if (self.warm_up_s..ARRIVALS_S).contains(&self.now) {
                self.result.tokens += 1;
            }
            let outcome = &mut self.result.outcomes[running.request];
            if outcome.first_token_s.is_none() {
                outcome.first_token_s = Some(self.now);
                policy_events.push(PolicyEvent::FirstToken(engine, running.request));
            }
            if running.remaining_tokens == 0 {
                assert!(outcome.ended_s.is_none(), "request ended more than once");
                outcome.ended_s = Some(self.now);
                policy_events.push(PolicyEvent::Ended(engine, running.request));
            }
        }
        state.running.retain(|running| running.remaining_tokens > 0);
        for policy_event in policy_events {
            self.notify_policy(policy, &policy_event);
        }
        self.start_step(engine);
    }

    /// Advances the loads in progress to the current time; they share the store's throughput evenly.
    fn advance_store(&mut self) {
        let share = (self.now - self.store_advanced_at) / self.loads.len().max(1) as f64;
        self.store_advanced_at = self.now;
        for load in &mut self.loads {
            load.remaining_s -= share;
        }
    }

    fn schedule_store_check(&mut self) {
        self.store_check += 1;
        let least = self
            .loads
            .iter()
            .map(|load| load.remaining_s)
            .fold(f64::INFINITY, f64::min);
        if least.is_finite() {
            let at = self.now + least.max(0.0) * self.loads.len() as f64;
            self.schedule(at, Event::StoreCheck(self.store_check));
        }
    }

    fn end_loads(&mut self, policy: &mut dyn Policy) {
        self.advance_store();
        let (done, pending): (Vec<_>, Vec<_>) = self
            .loads
            .drain(..)
            .partition(|load| load.remaining_s <= 1e-9);
        self.loads = pending;
        self.schedule_store_check();
        for load in done {
            let state = &mut self.engines[load.engine];
            if state.epoch != load.epoch {
                continue;
            }
            state.loading = None;
            if !load.will_fail {
                state.loaded.insert(load.model.clone(), self.now);
            }
            self.notify_policy(
                policy,
                &PolicyEvent::Loaded(load.engine, load.model, !load.will_fail),
            );
        }
    }
}

/// Converts simulation time to the core's time type.
pub fn instant(seconds: f64) -> Instant {
    Instant((seconds * 1e6) as u64)
}
