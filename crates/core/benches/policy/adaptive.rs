//! The core's own decision code: `hoplanding`, and `clairvoyant`, which is the same code with knowledge of the
//! arrivals to come in place of popularity.

use crate::{
    model::EngineModel,
    sim::{Command, EngineNumber, Notice, Policy, RequestNumber},
    workload::Arrival,
};
use hoplanding_core::{
    ids::{
        AdapterVersion, AvailabilityZone, CallerName, Incarnation, Instant, RequestId, TargetName,
    },
    policy::{
        DemandEstimator, LoadBid, PolicyWeights, PopularityTracker, QueuedRequest, RouteQuery,
        SchedulerLimits, TargetRouter, TargetScheduler,
    },
};
use std::{collections::HashMap, time::Duration};

/// Requests that may wait at one target.
const WAITING_MOST: usize = 2048;
/// Seconds by which a clairvoyant looks ahead for loads without demand.
const HORIZON_S: f64 = 20.0;
/// Pause between two looks for loads without demand, in microseconds.
const PRELOAD_EVERY_US: u64 = 250_000;

/// Knows when each adapter is asked for next.
pub struct Oracle {
    times: HashMap<AdapterVersion, Vec<f64>>,
}

impl Oracle {
    pub fn new(arrivals: &[Arrival]) -> Self {
        let mut times: HashMap<_, Vec<f64>> = HashMap::new();
        for arrival in arrivals {
            times
                .entry(arrival.model.clone())
                .or_default()
                .push(arrival.at_s);
        }
        Self { times }
    }

    fn next(&self, model: &AdapterVersion, now: Instant) -> Option<f64> {
        let times = self.times.get(model)?;
        let seconds = now.as_secs_f64();
        times
            .get(times.partition_point(|at| *at <= seconds))
            .map(|at| at - seconds)
    }
}

impl DemandEstimator for Oracle {
    fn rate(&self, model: &AdapterVersion, now: Instant) -> f64 {
        self.next(model, now)
            .map_or(0.0, |left| 1.0 / left.max(1e-3))
    }

    fn candidates(&self, now: Instant) -> Vec<(&AdapterVersion, f64)> {
        let models = self
            .times
            .keys()
            .filter(|model| self.next(model, now).is_some_and(|left| left < HORIZON_S));
        models.map(|model| (model, self.rate(model, now))).collect()
    }
}

/// What is known of demand.
pub enum Demand {
    /// One tracker for each holder; a holder has as many engines as its zone's daemons leave it.
    Learned(Vec<PopularityTracker>),
    Known(Oracle),
}

/// The core's decisions over all engines of a site.
pub struct AdaptivePolicy {
    schedulers: Vec<TargetScheduler>,
    lost: Vec<bool>,
    router: TargetRouter,
    zones: Vec<AvailabilityZone>,
    demand: Demand,
    weights: PolicyWeights,
    loading: Option<EngineNumber>,
    began: Instant,
    preloaded_at: Instant,
    first: HashMap<RequestNumber, Instant>,
    dirty: Vec<bool>,
}

impl AdaptivePolicy {
    pub fn new(
        zones: usize,
        engines: usize,
        model: &EngineModel,
        weights: PolicyWeights,
        demand: Demand,
    ) -> Self {
        let limits = SchedulerLimits {
            slots: model.slots,
            seats: model.batch,
            waiting: WAITING_MOST,
        };
        let names = (0..engines).map(|engine| TargetName::new(&format!("engine-{engine:02}")));
        let schedulers: Vec<_> = names
            .map(|name| TargetScheduler::engine(name, limits))
            .collect();
        let zones: Vec<_> = (0..zones)
            .map(|zone| AvailabilityZone::new(&format!("zone-{zone}")))
            .collect();
        let mut policy = Self {
            lost: vec![false; engines],
            dirty: vec![false; engines],
            schedulers,
            router: TargetRouter::default(),
            zones,
            demand,
            weights,
            loading: None,
            began: Instant::default(),
            preloaded_at: Instant::default(),
            first: HashMap::new(),
        };
        for engine in 0..engines {
            // A daemon measures this within seconds of full batches.
            for _ in 0..100 {
                policy.schedulers[engine].record_throughput(model.full_speed());
            }
            policy.publish(engine, Instant::default());
        }
        policy
    }

    fn publish(&mut self, engine: EngineNumber, now: Instant) {
        match &self.demand {
            Demand::Learned(trackers) => {
                let holder = Self::holder(engine, trackers.len());
                self.schedulers[engine].update_victim_rate(&trackers[holder], now);
            }
            Demand::Known(oracle) => self.schedulers[engine].update_victim_rate(oracle, now),
        }
        let zone = self.zones[engine % self.zones.len()].clone();
        let known = self
            .router
            .known_residents_revision(self.schedulers[engine].target().as_str());
        let digest = self.schedulers[engine].digest(Some(known));
        self.router.update_digest(&zone, &digest);
    }

    fn holder(engine: EngineNumber, holders: usize) -> usize {
        engine % holders
    }

    fn arrive(
        &mut self,
        request: RequestNumber,
        arrivals: &[Arrival],
        now: Instant,
        commands: &mut Vec<Command>,
    ) {
        let arrival = &arrivals[request];
        let zone = self.zones[request % self.zones.len()].clone();
        let query = RouteQuery {
            model: &arrival.model,
            class: arrival.class,
            output_tokens: arrival.output_tokens,
            zone: &zone,
            excluded: &[],
        };
        let Some(choice) = self.router.choose(&query, &self.weights) else {
            commands.push(Command::Refuse(request));
            return;
        };
        let engine = self.engine_of(&choice.target);
        if let Demand::Learned(trackers) = &mut self.demand {
            let holder = Self::holder(engine, trackers.len());
            trackers[holder].record(&arrival.model, now);
        }
        let queued = QueuedRequest {
            id: RequestId {
                gateway: Incarnation(0),
                counter: request as u64,
            },
            model: arrival.model.clone(),
            class: arrival.class,
            caller: CallerName::new("caller"),
            prompt_tokens: arrival.prompt_tokens,
            output_tokens: arrival.output_tokens,
            queued_at: *self.first.entry(request).or_insert(now),
            deadline: now.after(Duration::from_secs(100_000)),
        };
        if self.schedulers[engine]
            .enqueue(queued, &self.weights)
            .is_err()
        {
            commands.push(Command::Refuse(request));
            return;
        }
        self.pump(engine, now, commands);
        self.load(now, commands);
    }

    fn engine_of(&self, target: &TargetName) -> EngineNumber {
        let position = self
            .schedulers
            .iter()
            .position(|scheduler| scheduler.target() == target);
        position.expect("the router knows these engines only")
    }

    fn pump(&mut self, engine: EngineNumber, now: Instant, commands: &mut Vec<Command>) {
        while let Some(order) = self.schedulers[engine].next_dispatch(&self.weights, now, |_| true)
        {
            commands.push(Command::Start(
                engine,
                order.request.id.counter as RequestNumber,
            ));
        }
        self.dirty[engine] = true;
    }

    fn bid(&self, engine: EngineNumber, preload: bool, now: Instant) -> Option<LoadBid> {
        let scheduler = &self.schedulers[engine];
        let name = scheduler.target();
        let is_candidate = |model: &AdapterVersion| {
            !self.router.is_resident(model) && self.router.is_home(model, name.as_str())
        };
        match &self.demand {
            Demand::Learned(trackers) => {
                let tracker = &trackers[Self::holder(engine, trackers.len())];
                let demanded = scheduler.demand_bid(&self.weights, tracker, now);
                demanded.or_else(|| {
                    preload
                        .then(|| scheduler.preload_bid(&self.weights, tracker, now, is_candidate))?
                })
            }
            Demand::Known(oracle) => {
                let demanded = scheduler.demand_bid(&self.weights, oracle, now);
                let anywhere = |model: &AdapterVersion| !self.router.is_resident(model);
                demanded.or_else(|| {
                    preload.then(|| scheduler.preload_bid(&self.weights, oracle, now, anywhere))?
                })
            }
        }
    }

    /// Starts the load that is worth most, if the store is free.
    fn load(&mut self, now: Instant, commands: &mut Vec<Command>) {
        if self.loading.is_some() {
            return;
        }
        let preload = now.0 >= self.preloaded_at.0 + PRELOAD_EVERY_US
            || matches!(self.demand, Demand::Known(_));
        let alive = (0..self.schedulers.len()).filter(|engine| !self.lost[*engine]);
        let bids = alive.filter_map(|engine| Some((engine, self.bid(engine, preload, now)?)));
        let best = bids.max_by(|(_, a), (_, b)| a.benefit.total_cmp(&b.benefit));
        if preload {
            self.preloaded_at = now;
        }
        let Some((engine, bid)) = best else {
            return;
        };
        if let Some(victim) = &bid.evict {
            self.schedulers[engine].unload_started(victim);
            self.schedulers[engine].unload_finished(victim);
            commands.push(Command::Unload(engine, victim.clone()));
        }
        self.schedulers[engine].load_started(&bid.model, now);
        self.loading = Some(engine);
        self.began = now;
        self.publish(engine, now);
        commands.push(Command::Load(engine, bid.model));
    }

    fn loaded(
        &mut self,
        engine: EngineNumber,
        model: &AdapterVersion,
        ok: bool,
        now: Instant,
        commands: &mut Vec<Command>,
    ) {
        self.loading = None;
        if ok {
            self.schedulers[engine].load_succeeded(model, now.since(self.began), now);
        } else {
            for refused in self.schedulers[engine].load_failed(model, now) {
                commands.push(Command::Refuse(refused.id.counter as RequestNumber));
            }
        }
        self.publish(engine, now);
        self.pump(engine, now, commands);
        self.load(now, commands);
    }

    fn restarted(&mut self, engine: EngineNumber, now: Instant) {
        let running: Vec<_> = self.schedulers[engine].running_ids().collect();
        for id in running {
            self.schedulers[engine].finish_request(id, now);
        }
        self.schedulers[engine].replace_residents(&[], now);
        if self.loading == Some(engine) {
            self.loading = None;
        }
        self.publish(engine, now);
    }

    fn tick(&mut self, now: Instant, commands: &mut Vec<Command>) {
        for engine in 0..self.schedulers.len() {
            if self.lost[engine] {
                continue;
            }
            for overdue in self.schedulers[engine].remove_overdue(&self.weights, now) {
                commands.push(Command::Refuse(overdue.id.counter as RequestNumber));
            }
            if now.0 % 1_000_000 < 50_000 {
                match &self.demand {
                    Demand::Learned(trackers) => {
                        let holder = Self::holder(engine, trackers.len());
                        self.schedulers[engine].drain_for_starved_load(&trackers[holder], now);
                    }
                    Demand::Known(oracle) => {
                        self.schedulers[engine].drain_for_starved_load(oracle, now)
                    }
                }
            }
            self.pump(engine, now, commands);
            if std::mem::take(&mut self.dirty[engine]) {
                self.publish(engine, now);
            }
        }
        self.load(now, commands);
    }
}

impl Policy for AdaptivePolicy {
    fn tell(
        &mut self,
        notice: &Notice,
        arrivals: &[Arrival],
        now: Instant,
        commands: &mut Vec<Command>,
    ) {
        match notice {
            Notice::Arrived(request) => self.arrive(*request, arrivals, now, commands),
            Notice::FirstToken(engine, request) => {
                self.schedulers[*engine].finish_prefill(request_id(*request))
            }
            Notice::Ended(engine, request) => {
                self.schedulers[*engine].finish_request(request_id(*request), now);
                self.pump(*engine, now, commands);
                self.load(now, commands);
            }
            Notice::Loaded(engine, model, ok) => self.loaded(*engine, model, *ok, now, commands),
            Notice::Restarted(engine) => {
                self.restarted(*engine, now);
                self.load(now, commands);
            }
            Notice::Lost(engine) => {
                self.restarted(*engine, now);
                self.lost[*engine] = true;
                self.schedulers[*engine].set_open(false);
                self.publish(*engine, now);
                for waiting in self.schedulers[*engine].drain_waiting() {
                    self.arrive(waiting.id.counter as RequestNumber, arrivals, now, commands);
                }
            }
            Notice::Tick => self.tick(now, commands),
        }
    }
}

fn request_id(request: RequestNumber) -> RequestId {
    RequestId {
        gateway: Incarnation(0),
        counter: request as u64,
    }
}
