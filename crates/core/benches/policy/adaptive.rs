//! The policies built on the core's own decision code: `hoplanding`, and `clairvoyant`, which uses the same code but
//! estimates demand from the future arrivals instead of learned popularity, as a bound on what can be achieved.

use crate::{
    model::EngineModel,
    sim::{Command, EngineNumber, Policy, PolicyEvent, RequestNumber},
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

/// Maximum number of waiting requests per target.
const MAX_WAITING: usize = 2048;
/// Time by which the clairvoyant policy looks ahead for preloads.
const PRELOAD_HORIZON_S: f64 = 20.0;
/// Minimum interval between two evaluations of preloads.
const PRELOAD_INTERVAL_US: u64 = 250_000;

/// Demand estimator that knows the future arrivals of each adapter.
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

    fn time_to_next(&self, model: &AdapterVersion, now: Instant) -> Option<f64> {
        let times = self.times.get(model)?;
        let seconds = now.as_secs_f64();
        times
            .get(times.partition_point(|at| *at <= seconds))
            .map(|at| at - seconds)
    }
}

impl DemandEstimator for Oracle {
    fn rate(&self, model: &AdapterVersion, now: Instant) -> f64 {
        self.time_to_next(model, now)
            .map_or(0.0, |delay_s| 1.0 / delay_s.max(1e-3))
    }

    fn candidates(&self, now: Instant) -> Vec<(&AdapterVersion, f64)> {
        let models = self.times.keys().filter(|model| {
            self.time_to_next(model, now)
                .is_some_and(|delay_s| delay_s < PRELOAD_HORIZON_S)
        });
        models.map(|model| (model, self.rate(model, now))).collect()
    }
}

/// Source of the demand estimates.
pub enum Demand {
    /// One popularity tracker per holder; the engines are distributed over the holders.
    Learned(Vec<PopularityTracker>),
    /// Known future arrivals.
    Known(Oracle),
}

/// One router and one scheduler per engine, for all engines of a site.
pub struct AdaptivePolicy {
    schedulers: Vec<TargetScheduler>,
    is_lost: Vec<bool>,
    router: TargetRouter,
    zones: Vec<AvailabilityZone>,
    demand: Demand,
    weights: PolicyWeights,
    loading: Option<EngineNumber>,
    load_started_at: Instant,
    last_preload_at: Instant,
    first_arrivals: HashMap<RequestNumber, Instant>,
    has_stale_digest: Vec<bool>,
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
            waiting: MAX_WAITING,
        };
        let names = (0..engines).map(|engine| TargetName::new(&format!("engine-{engine:02}")));
        let schedulers: Vec<_> = names
            .map(|name| TargetScheduler::engine(name, limits))
            .collect();
        let zones: Vec<_> = (0..zones)
            .map(|zone| AvailabilityZone::new(&format!("zone-{zone}")))
            .collect();
        let mut policy = Self {
            is_lost: vec![false; engines],
            has_stale_digest: vec![false; engines],
            schedulers,
            router: TargetRouter::default(),
            zones,
            demand,
            weights,
            loading: None,
            load_started_at: Instant::default(),
            last_preload_at: Instant::default(),
            first_arrivals: HashMap::new(),
        };
        for engine in 0..engines {
            // A daemon learns the throughput within seconds of full batches, so the moving average starts converged.
            for _ in 0..100 {
                policy.schedulers[engine].record_throughput(model.full_speed());
            }
            policy.publish_digest(engine, Instant::default());
        }
        policy
    }

    fn publish_digest(&mut self, engine: EngineNumber, now: Instant) {
        match &self.demand {
            Demand::Learned(trackers) => {
                let holder = Self::holder_of(engine, trackers.len());
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

    fn holder_of(engine: EngineNumber, holders: usize) -> usize {
        engine % holders
    }

    fn route_request(
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
            let holder = Self::holder_of(engine, trackers.len());
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
            queued_at: *self.first_arrivals.entry(request).or_insert(now),
            deadline: now.after(Duration::from_secs(100_000)),
        };
        if self.schedulers[engine]
            .enqueue(queued, &self.weights)
            .is_err()
        {
            commands.push(Command::Refuse(request));
            return;
        }
        self.dispatch(engine, now, commands);
        self.start_best_load(now, commands);
    }

    fn engine_of(&self, target: &TargetName) -> EngineNumber {
        let position = self
            .schedulers
            .iter()
            .position(|scheduler| scheduler.target() == target);
        position.expect("the router only knows engines of this site")
    }

    fn dispatch(&mut self, engine: EngineNumber, now: Instant, commands: &mut Vec<Command>) {
        while let Some(order) = self.schedulers[engine].next_dispatch(&self.weights, now, |_| true)
        {
            commands.push(Command::Start(
                engine,
                order.request.id.counter as RequestNumber,
            ));
        }
        self.has_stale_digest[engine] = true;
    }

    fn best_bid(&self, engine: EngineNumber, with_preloads: bool, now: Instant) -> Option<LoadBid> {
        let scheduler = &self.schedulers[engine];
        let name = scheduler.target();
        let is_candidate = |model: &AdapterVersion| {
            !self.router.is_resident(model) && self.router.is_home(model, name.as_str())
        };
        match &self.demand {
            Demand::Learned(trackers) => {
                let tracker = &trackers[Self::holder_of(engine, trackers.len())];
                let demanded = scheduler.demand_bid(&self.weights, tracker, now);
                demanded.or_else(|| {
                    with_preloads
                        .then(|| scheduler.preload_bid(&self.weights, tracker, now, is_candidate))?
                })
            }
            Demand::Known(oracle) => {
                let demanded = scheduler.demand_bid(&self.weights, oracle, now);
                let anywhere = |model: &AdapterVersion| !self.router.is_resident(model);
                demanded.or_else(|| {
                    with_preloads
                        .then(|| scheduler.preload_bid(&self.weights, oracle, now, anywhere))?
                })
            }
        }
    }

    /// Starts the load with the highest benefit if no other load is in progress.
    fn start_best_load(&mut self, now: Instant, commands: &mut Vec<Command>) {
        if self.loading.is_some() {
            return;
        }
        let with_preloads = now.0 >= self.last_preload_at.0 + PRELOAD_INTERVAL_US
            || matches!(self.demand, Demand::Known(_));
        let alive = (0..self.schedulers.len()).filter(|engine| !self.is_lost[*engine]);
        let bids =
            alive.filter_map(|engine| Some((engine, self.best_bid(engine, with_preloads, now)?)));
        let best = bids.max_by(|(_, a), (_, b)| a.benefit.total_cmp(&b.benefit));
        if with_preloads {
            self.last_preload_at = now;
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
        self.load_started_at = now;
        self.publish_digest(engine, now);
        commands.push(Command::Load(engine, bid.model));
    }

    fn on_loaded(
        &mut self,
        engine: EngineNumber,
        model: &AdapterVersion,
        is_loaded: bool,
        now: Instant,
        commands: &mut Vec<Command>,
    ) {
        self.loading = None;
        if is_loaded {
            self.schedulers[engine].load_succeeded(model, now.since(self.load_started_at), now);
        } else {
            for refused in self.schedulers[engine].load_failed(model, now) {
                commands.push(Command::Refuse(refused.id.counter as RequestNumber));
            }
        }
        self.publish_digest(engine, now);
        self.dispatch(engine, now, commands);
        self.start_best_load(now, commands);
    }

    fn on_restarted(&mut self, engine: EngineNumber, now: Instant) {
        let running: Vec<_> = self.schedulers[engine].running_ids().collect();
        for id in running {
            self.schedulers[engine].finish_request(id, now);
        }
        self.schedulers[engine].replace_residents(&[], now);
        if self.loading == Some(engine) {
            self.loading = None;
        }
        self.publish_digest(engine, now);
    }

    fn on_tick(&mut self, now: Instant, commands: &mut Vec<Command>) {
        for engine in 0..self.schedulers.len() {
            if self.is_lost[engine] {
                continue;
            }
            for overdue in self.schedulers[engine].remove_overdue(&self.weights, now) {
                commands.push(Command::Refuse(overdue.id.counter as RequestNumber));
            }
            if now.0 % 1_000_000 < 50_000 {
                match &self.demand {
                    Demand::Learned(trackers) => {
                        let holder = Self::holder_of(engine, trackers.len());
                        self.schedulers[engine].drain_for_starved_load(&trackers[holder], now);
                    }
                    Demand::Known(oracle) => {
                        self.schedulers[engine].drain_for_starved_load(oracle, now)
                    }
                }
            }
            self.dispatch(engine, now, commands);
            if std::mem::take(&mut self.has_stale_digest[engine]) {
                self.publish_digest(engine, now);
            }
        }
        self.start_best_load(now, commands);
    }
}

impl Policy for AdaptivePolicy {
    fn on_event(
        &mut self,
        event: &PolicyEvent,
        arrivals: &[Arrival],
        now: Instant,
        commands: &mut Vec<Command>,
    ) {
        match event {
            PolicyEvent::Arrived(request) => self.route_request(*request, arrivals, now, commands),
            PolicyEvent::FirstToken(engine, request) => {
                self.schedulers[*engine].finish_prefill(request_id(*request))
            }
            PolicyEvent::Ended(engine, request) => {
                self.schedulers[*engine].finish_request(request_id(*request), now);
                self.dispatch(*engine, now, commands);
                self.start_best_load(now, commands);
            }
            PolicyEvent::Loaded(engine, model, is_loaded) => {
                self.on_loaded(*engine, model, *is_loaded, now, commands)
            }
            PolicyEvent::Restarted(engine) => {
                self.on_restarted(*engine, now);
                self.start_best_load(now, commands);
            }
            PolicyEvent::Lost(engine) => {
                self.on_restarted(*engine, now);
                self.is_lost[*engine] = true;
                self.schedulers[*engine].set_open(false);
                self.publish_digest(*engine, now);
                for waiting in self.schedulers[*engine].drain_waiting() {
                    self.route_request(
                        waiting.id.counter as RequestNumber,
                        arrivals,
                        now,
                        commands,
                    );
                }
            }
            PolicyEvent::Tick => self.on_tick(now, commands),
        }
    }
}

fn request_id(request: RequestNumber) -> RequestId {
    RequestId {
        gateway: Incarnation(0),
        counter: request as u64,
    }
}
