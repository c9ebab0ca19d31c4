//! What a user would write first: `lru`, and `static`.

use crate::{
    sim::{Command, EngineNumber, Notice, Policy, RequestNumber},
    workload::Arrival,
};
use hoplanding_core::ids::{AdapterVersion, Instant};
use std::{
    collections::{HashMap, VecDeque},
    hash::{DefaultHasher, Hash, Hasher},
};

/// How a target is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// The least loaded target.
    LeastLoaded,
    /// The least loaded target that has the adapter, or else the least loaded.
    Affinity,
    /// By a hash of the adapter.
    Hashed,
}

#[derive(Clone, Debug, Default)]
struct Engine {
    queue: VecDeque<RequestNumber>,
    running: HashMap<RequestNumber, AdapterVersion>,
    loaded: HashMap<AdapterVersion, Instant>,
    loading: Option<AdapterVersion>,
    lost: bool,
}

/// Loads on demand, evicts the least recently used, serves first in first out.
pub struct LruPolicy {
    engines: Vec<Engine>,
    slots: usize,
    batch: usize,
    choice: Choice,
}

impl LruPolicy {
    pub fn new(engines: usize, slots: usize, batch: usize, choice: Choice) -> Self {
        Self {
            engines: vec![Engine::default(); engines],
            slots,
            batch,
            choice,
        }
    }

    fn choose(&self, model: &AdapterVersion) -> EngineNumber {
        let alive: Vec<_> = (0..self.engines.len())
            .filter(|engine| !self.engines[*engine].lost)
            .collect();
        if self.choice == Choice::Hashed {
            let mut hasher = DefaultHasher::new();
            model.hash(&mut hasher);
            return alive[(hasher.finish() % alive.len() as u64) as usize];
        }
        let load = |engine: &EngineNumber| {
            self.engines[*engine].queue.len() + self.engines[*engine].running.len()
        };
        let has = |engine: &&EngineNumber| {
            let state = &self.engines[**engine];
            state.loaded.contains_key(model) || state.loading.as_ref() == Some(model)
        };
        let wants_resident = self.choice == Choice::Affinity;
        let resident = alive
            .iter()
            .filter(|_| wants_resident)
            .filter(has)
            .min_by_key(|engine| load(engine));
        *resident
            .or_else(|| alive.iter().min_by_key(|engine| load(engine)))
            .expect("some engine is alive")
    }

    fn pump(
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
            if let Some(used) = state.loaded.get_mut(model) {
                *used = now;
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
                    .min_by_key(|(model, used)| (**used, (*model).clone()))
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
    fn tell(
        &mut self,
        notice: &Notice,
        arrivals: &[Arrival],
        now: Instant,
        commands: &mut Vec<Command>,
    ) {
        match notice {
            Notice::Arrived(request) => {
                let engine = self.choose(&arrivals[*request].model);
                self.engines[engine].queue.push_back(*request);
                self.pump(engine, arrivals, now, commands);
            }
            Notice::Ended(engine, request) => {
                self.engines[*engine].running.remove(request);
                self.pump(*engine, arrivals, now, commands);
            }
            Notice::Loaded(engine, model, ok) => {
                self.engines[*engine].loading = None;
                if *ok {
                    self.engines[*engine].loaded.insert(model.clone(), now);
                }
                self.pump(*engine, arrivals, now, commands);
            }
            Notice::Restarted(engine) => {
                let state = &mut self.engines[*engine];
                state.loaded.clear();
                state.loading = None;
                state.running.clear();
                self.pump(*engine, arrivals, now, commands);
            }
            Notice::Lost(engine) => {
                let state = std::mem::take(&mut self.engines[*engine]);
                self.engines[*engine].lost = true;
                for request in state.queue {
                    self.tell(&Notice::Arrived(request), arrivals, now, commands);
                }
            }
            Notice::FirstToken(..) | Notice::Tick => {}
        }
    }
}
