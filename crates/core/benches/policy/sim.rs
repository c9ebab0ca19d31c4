//! Engines, the store and time. A policy only sees events and gives commands; a command that breaks a rule panics.

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

/// Pause between two ticks, as between two heartbeats.
const TICK_S: f64 = 0.05;
/// Time after the last arrival for what is left.
const DRAIN_S: f64 = 150.0;
/// Pause between two engine restarts.
const RESTART_EVERY_S: f64 = 15.0;
/// Share of loads that fail.
const FAILING_SHARE: f64 = 0.2;
/// How much slower the slow store is.
const SLOW_STORE: f64 = 2.0;

/// Number of a request.
pub type RequestNumber = usize;
/// Number of an engine.
pub type EngineNumber = usize;

/// What a policy orders.
#[derive(Clone, Debug)]
pub enum Command {
    Start(EngineNumber, RequestNumber),
    Load(EngineNumber, AdapterVersion),
    Unload(EngineNumber, AdapterVersion),
    Refuse(RequestNumber),
}

/// What a policy is told.
#[derive(Clone, Debug)]
pub enum Notice {
    Arrived(RequestNumber),
    FirstToken(EngineNumber, RequestNumber),
    Ended(EngineNumber, RequestNumber),
    Loaded(EngineNumber, AdapterVersion, bool),
    /// An engine restarted: nothing is loaded, nothing runs.
    Restarted(EngineNumber),
    /// An engine is gone.
    Lost(EngineNumber),
    Tick,
}

/// A policy under test.
pub trait Policy {
    fn tell(
        &mut self,
        notice: &Notice,
        arrivals: &[Arrival],
        now: Instant,
        commands: &mut Vec<Command>,
    );
}

/// What became of a request.
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
    prefill_left: u32,
    tokens_left: u32,
}

#[derive(Clone, Debug, Default)]
struct Engine {
    running: Vec<Running>,
    loaded: HashMap<AdapterVersion, f64>,
    loading: Option<AdapterVersion>,
    stepping: bool,
    epoch: u64,
    lost: bool,
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
    left_s: f64,
    fails: bool,
    epoch: u64,
}

/// What a run yields.
#[derive(Debug, Default)]
pub struct RunResult {
    pub outcomes: Vec<Outcome>,
    pub steps: u64,
    pub step_sequences: u64,
    /// Output tokens made while requests arrived.
    pub tokens: u64,
    pub loads: u64,
    pub decisions: u64,
}

/// One run.
pub struct Simulation<'a> {
    model: &'a EngineModel,
    fault: Fault,
    zones: usize,
    arrivals: &'a [Arrival],
    engines: Vec<Engine>,
    loads: Vec<ActiveLoad>,
    store_at: f64,
    store_check: u64,
    queue: BinaryHeap<Reverse<(Time, u64, Event)>>,
    sequence: u64,
    now: f64,
    random: StdRng,
    result: RunResult,
    warm: f64,
}

impl<'a> Simulation<'a> {
    pub fn new(
        site: Site,
        fault: Fault,
        model: &'a EngineModel,
        arrivals: &'a [Arrival],
        seed: u64,
        warm: f64,
    ) -> Self {
        let (zones, engines) = site.sizes();
        Self {
            model,
            fault,
            zones,
            arrivals,
            engines: vec![Engine::default(); engines],
            loads: Vec::new(),
            store_at: 0.0,
            store_check: 0,
            queue: BinaryHeap::new(),
            sequence: 0,
            now: 0.0,
            random: StdRng::seed_from_u64(seed ^ 0xFA17),
            result: RunResult {
                outcomes: vec![Outcome::default(); arrivals.len()],
                ..RunResult::default()
            },
            warm,
        }
    }

    pub fn run(mut self, policy: &mut dyn Policy) -> RunResult {
        for (number, arrival) in self.arrivals.iter().enumerate() {
            self.schedule(arrival.at_s, Event::Arrival(number));
        }
        self.schedule(TICK_S, Event::Tick);
        match self.fault {
            Fault::Restarts => self.schedule(RESTART_EVERY_S, Event::Restart(0)),
            Fault::ZoneLost => self.schedule(FAULT_AT_S, Event::LoseZone),
            _ => {}
        }
        while let Some(Reverse((Time(at), _, event))) = self.queue.pop() {
            if at > ARRIVALS_S + DRAIN_S {
                break;
            }
            self.now = at;
            self.handle(event, policy);
        }
        self.result
    }

    fn schedule(&mut self, at: f64, event: Event) {
        self.sequence += 1;
        self.queue.push(Reverse((Time(at), self.sequence, event)));
    }

    fn handle(&mut self, event: Event, policy: &mut dyn Policy) {
        match event {
            Event::Arrival(request) => self.tell(policy, &Notice::Arrived(request)),
            Event::StepEnd(engine, epoch) if self.engines[engine].epoch == epoch => {
                self.end_step(engine, policy)
            }
            Event::StepEnd(..) => {}
            Event::StoreCheck(check) if check == self.store_check => self.end_loads(policy),
            Event::StoreCheck(_) => {}
            Event::Tick => {
                self.schedule(self.now + TICK_S, Event::Tick);
                self.tell(policy, &Notice::Tick);
            }
            Event::Restart(engine) => {
                if self.now < ARRIVALS_S {
                    self.schedule(
                        self.now + RESTART_EVERY_S,
                        Event::Restart((engine + 5) % self.engines.len()),
                    );
                }
                self.clear(engine, policy, &Notice::Restarted(engine));
            }
            Event::LoseZone => {
                for engine in (0..self.engines.len()).step_by(self.zones) {
                    self.engines[engine].lost = true;
                    self.clear(engine, policy, &Notice::Lost(engine));
                }
            }
        }
    }

    /// Empties an engine; what ran there arrives once more, as a gateway would repeat it.
    fn clear(&mut self, engine: EngineNumber, policy: &mut dyn Policy, notice: &Notice) {
        self.advance_store();
        self.loads.retain(|load| load.engine != engine);
        let state = &mut self.engines[engine];
        state.epoch += 1;
        state.stepping = false;
        state.loaded.clear();
        state.loading = None;
        let again: Vec<_> = state
            .running
            .drain(..)
            .map(|running| running.request)
            .collect();
        self.plan_store();
        self.tell(policy, notice);
        for request in again {
            self.tell(policy, &Notice::Arrived(request));
        }
    }

    fn tell(&mut self, policy: &mut dyn Policy, notice: &Notice) {
        let mut commands = Vec::new();
        policy.tell(notice, self.arrivals, instant(self.now), &mut commands);
        self.result.decisions += 1;
        for command in commands {
            self.obey(command);
        }
    }

    fn obey(&mut self, command: Command) {
        match command {
            Command::Start(engine, request) => self.start(engine, request),
            Command::Load(engine, model) => {
                self.advance_store();
                let state = &mut self.engines[engine];
                assert!(
                    !state.lost && state.loading.is_none() && state.loaded.len() < self.model.slots,
                    "no room to load"
                );
                state.loading = Some(model.clone());
                let fails = self.fault == Fault::FailingLoads
                    && self.random.random::<f64>() < FAILING_SHARE;
                let slow = self.fault == Fault::StoreSlow
                    && (FAULT_AT_S..FAULT_AT_S + 60.0).contains(&self.now);
                let left_s = self.model.load_ms / 1000.0 * if slow { SLOW_STORE } else { 1.0 };
                let epoch = state.epoch;
                self.loads.push(ActiveLoad {
                    engine,
                    model,
                    left_s,
                    fails,
                    epoch,
                });
                self.result.loads += 1;
                self.plan_store();
            }
            Command::Unload(engine, model) => {
                let state = &mut self.engines[engine];
                let serving = state
                    .running
                    .iter()
                    .any(|running| self.arrivals[running.request].model == model);
                assert!(
                    !serving,
                    "an adapter that serves a request is never unloaded"
                );
                assert!(
                    state.loaded.remove(&model).is_some(),
                    "what is unloaded was loaded"
                );
            }
            Command::Refuse(request) => {
                let outcome = &mut self.result.outcomes[request];
                assert!(
                    outcome.ended_s.is_none() && outcome.refused_s.is_none(),
                    "one end for each request"
                );
                outcome.refused_s = Some(self.now);
            }
        }
    }

    fn start(&mut self, engine: EngineNumber, request: RequestNumber) {
        let arrival = &self.arrivals[request];
        let state = &mut self.engines[engine];
        assert!(
            !state.lost && state.running.len() < self.model.batch,
            "a free seat"
        );
        let loaded_at = *state
            .loaded
            .get(&arrival.model)
            .expect("the adapter that was named is loaded");
        let outcome = &mut self.result.outcomes[request];
        outcome.started_s = Some(self.now);
        outcome.load_stall_s = (loaded_at - arrival.at_s).max(0.0);
        state.running.push(Running {
            request,
            prefill_left: arrival.prompt_tokens,
            tokens_left: arrival.output_tokens,
        });
        self.step(engine);
    }

    fn step(&mut self, engine: EngineNumber) {
        let state = &mut self.engines[engine];
        if state.stepping || state.running.is_empty() {
            return;
        }
        state.stepping = true;
        let prefill: u32 = state
            .running
            .iter()
            .map(|running| running.prefill_left)
            .sum();
        let prefill = f64::from(prefill.min(self.model.prefill_chunk));
        let span = self.model.step_ms
            + self.model.sequence_ms * state.running.len() as f64
            + self.model.prefill_ms * prefill;
        let epoch = state.epoch;
        if (self.warm..ARRIVALS_S).contains(&self.now) {
            self.result.steps += 1;
            self.result.step_sequences += state.running.len() as u64;
        }
        self.schedule(self.now + span / 1000.0, Event::StepEnd(engine, epoch));
    }

    fn end_step(&mut self, engine: EngineNumber, policy: &mut dyn Policy) {
        let mut prefill = self.model.prefill_chunk;
        let mut notices = Vec::new();
        let state = &mut self.engines[engine];
        state.stepping = false;
        for running in &mut state.running {
            let taken = running.prefill_left.min(prefill);
            running.prefill_left -= taken;
            prefill -= taken;
            if running.prefill_left > 0 {
                continue;
            }
            running.tokens_left -= 1;
            if (self.warm..ARRIVALS_S).contains(&self.now) {
                self.result.tokens += 1;
            }
            let outcome = &mut self.result.outcomes[running.request];
            if outcome.first_token_s.is_none() {
                outcome.first_token_s = Some(self.now);
                notices.push(Notice::FirstToken(engine, running.request));
            }
            if running.tokens_left == 0 {
                assert!(outcome.ended_s.is_none(), "one end for each request");
                outcome.ended_s = Some(self.now);
                notices.push(Notice::Ended(engine, running.request));
            }
        }
        state.running.retain(|running| running.tokens_left > 0);
        for notice in notices {
            self.tell(policy, &notice);
        }
        self.step(engine);
    }

    /// Takes off what the loads under way have fetched; they share the store evenly.
    fn advance_store(&mut self) {
        let share = (self.now - self.store_at) / self.loads.len().max(1) as f64;
        self.store_at = self.now;
        for load in &mut self.loads {
            load.left_s -= share;
        }
    }

    fn plan_store(&mut self) {
        self.store_check += 1;
        let least = self
            .loads
            .iter()
            .map(|load| load.left_s)
            .fold(f64::INFINITY, f64::min);
        if least.is_finite() {
            let at = self.now + least.max(0.0) * self.loads.len() as f64;
            self.schedule(at, Event::StoreCheck(self.store_check));
        }
    }

    fn end_loads(&mut self, policy: &mut dyn Policy) {
        self.advance_store();
        let (done, left): (Vec<_>, Vec<_>) =
            self.loads.drain(..).partition(|load| load.left_s <= 1e-9);
        self.loads = left;
        self.plan_store();
        for load in done {
            let state = &mut self.engines[load.engine];
            if state.epoch != load.epoch {
                continue;
            }
            state.loading = None;
            if !load.fails {
                state.loaded.insert(load.model.clone(), self.now);
            }
            self.tell(
                policy,
                &Notice::Loaded(load.engine, load.model, !load.fails),
            );
        }
    }
}

/// A time of the simulation as the core takes it.
pub fn instant(seconds: f64) -> Instant {
    Instant((seconds * 1e6) as u64)
}
