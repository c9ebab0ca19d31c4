//! Baseline policies: LRU eviction with three ways to choose a target (`lru`, `lru_affinity` and `static`).

use crate::{
    sim::{Command, EngineNumber, Policy, PolicyEvent, RequestNumber},
    workload::Arrival,
};
use hoplanding_core::ids::{AdapterVersion, Instant};
use std::{
    collections::{HashMap, VecDeque},
    hash::{DefaultHasher, Hash, Hasher},
};

/// Method of choosing a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetChoice {
    /// The least loaded target.
    LeastLoaded,
    /// The least loaded target that has the adapter or is loading it, or else the least loaded one.
    Affinity,
    /// A fixed target for each adapter, by a hash.
    Hashed,
}

#[derive(Clone, Debug, Default)]
struct Engine {
    queue: VecDeque<RequestNumber>,
    running: HashMap<RequestNumber, AdapterVersion>,
    loaded: HashMap<AdapterVersion, Instant>,
    loading: Option<AdapterVersion>,
    is_lost: bool,
}

/// Loads adapters on demand, evicts the least recently used one, and serves requests in FIFO order.
pub struct LruPolicy {
    engines: Vec<Engine>,
    slots: usize,
    batch: usize,
    choice: TargetChoice,
}

impl LruPolicy {
    pub fn new(engines: usize, slots: usize, batch: usize, choice: TargetChoice) -> Self {
        Self {
            engines: vec![Engine::default(); engines],
            slots,
            batch,
            choice,
        }
    }

    fn choose(&self, model: &AdapterVersion) -> EngineNumber {
        let alive: Vec<_> = (0..self.engines.len())
            .filter(|engine| !self.engines[*engine].is_lost)
            .collect();
        if self.choice == TargetChoice::Hashed {
            let mut hasher = DefaultHasher::new();
            model.hash(&mut hasher);
            return alive[(hasher.finish() % alive.len() as u64) as usize];
        }
        let load = |engine: &EngineNumber| {
            self.engines[*engine].queue.len() + self.engines[*engine].running.len()
        };
        let is_resident = |engine: &&EngineNumber| {
            let state = &self.engines[**engine];
            state.loaded.contains_key(model) || state.loading.as_ref() == Some(model)
        };
        let wants_resident = self.choice == TargetChoice::Affinity;
        let resident = alive
            .iter()
            .filter(|_| wants_resident)
            .filter(is_resident)
            .min_by_key(|engine| load(engine));
        *resident
            .or_else(|| alive.iter().min_by_key(|engine| load(engine)))
            .expect("at least one engine is alive")
    }

    fn dispatch(
        &mut self,
        engine: EngineNumber,
        arrivals: &[Arrival],
        now: Instant,
        commands: &mut Vec<Command>,
    ) {
        let (slots, batch) = (self.slots, self.batch);
        let state = &mut self.engines[engine];
        while let Some(request) = state.queue.front().copied() {
            let model = &arrivals[request].model;
            if state.running.len() >= batch {
                return;
            }
            if let Some(used_at) = state.loaded.get_mut(model) {
                *used_at = now;
                state.queue.pop_front();
                state.running.insert(request, model.clone());
                commands.push(Command::Start(engine, request));
                continue;
            }
            if state.loading.is_some() {
                return;
            }
            if state.loaded.len() >= slots {
                let idle = state
                    .loaded
                    .iter()
                    .filter(|(model, _)| !state.running.values().any(|running| running == *model));
                let oldest = idle
                    .min_by_key(|(model, used_at)| (**used_at, (*model).clone()))
                    .map(|(model, _)| model.clone());
                let Some(oldest) = oldest else {
                    return;
                };
                state.loaded.remove(&oldest);
                commands.push(Command::Unload(engine, oldest));
            }
            state.loading = Some(model.clone());
            commands.push(Command::Load(engine, model.clone()));
            return;
        }
    }
}

impl Policy for LruPolicy {
    fn on_event(
        &mut self,
        event: &PolicyEvent,
        arrivals: &[Arrival],
        now: Instant,
        commands: &mut Vec<Command>,
    ) {
        match event {
            PolicyEvent::Arrived(request) => {
                let engine = self.choose(&arrivals[*request].model);
                self.engines[engine].queue.push_back(*request);
                self.dispatch(engine, arrivals, now, commands);
            }
            PolicyEvent::Ended(engine, request) => {
                self.engines[*engine].running.remove(request);
                self.dispatch(*engine, arrivals, now, commands);
            }
            PolicyEvent::Loaded(engine, model, is_loaded) => {
                self.engines[*engine].loading = None;
                if *is_loaded {
                    self.engines[*engine].loaded.insert(model.clone(), now);
                }
                self.dispatch(*engine, arrivals, now, commands);
            }
            PolicyEvent::Restarted(engine) => {
                let state = &mut self.engines[*engine];
                state.loaded.clear();
                state.loading = None;
                state.running.clear();
                self.dispatch(*engine, arrivals, now, commands);
            }
            PolicyEvent::Lost(engine) => {
                let state = std::mem::take(&mut self.engines[*engine]);
                self.engines[*engine].is_lost = true;
                for request in state.queue {
                    self.on_event(&PolicyEvent::Arrived(request), arrivals, now, commands);
                }
            }
            PolicyEvent::FirstToken(..) | PolicyEvent::Tick => {}
        }
    }
}
