//! What a holder decides for one target: dispatch, loads and eviction.
//!
//! All work on a target goes through its one scheduler, so it knows what runs, and an adapter with a request in
//! flight is never chosen for eviction. Costs depend on the target's slots and on the adapters that wait, never on
//! the number of adapters that exist.

use crate::{
    ids::{AdapterVersion, Instant, PriorityClass, RequestId, TargetName},
    policy::{
        DemandEstimator, LoadBackoff, LoadBid, PolicyWeights, QueuedRequest, ResidentDigest,
        TargetDigest, WaitingQueue,
    },
    request::NotRunReason,
};
use std::{collections::HashMap, time::Duration};

/// Time of one load at full speed, in seconds, until loads were measured.
const ASSUMED_LOAD_S: f64 = 0.35;
/// Output tokens a second of a full batch until steps were measured.
const ASSUMED_TOKENS_PER_SECOND: f64 = 400.0;
/// Wait after which a demanded load may stop new work on an adapter that never falls idle.
const FORCE_AFTER: Duration = Duration::from_secs(4);
/// Share of its bound after which waiting work goes before all but the urgent.
const AGED_SHARE: f64 = 0.75;
/// Weight of the newest measurement in a moving average.
const NEWEST_SHARE: f64 = 0.1;

/// State of an adapter on a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdapterState {
    /// The load order was sent.
    Loading,
    /// Requests may be dispatched to it.
    Loaded,
    /// Its unload is announced or sent.
    Unloading,
}

/// An adapter on a target.
#[derive(Clone, Debug, PartialEq)]
pub struct ResidentAdapter {
    /// The adapter.
    pub model: AdapterVersion,
    /// Its state.
    pub state: AdapterState,
    /// Requests in flight on it.
    pub in_flight: u32,
    /// When its load ended.
    pub loaded_at: Instant,
    /// When it was last used.
    pub used_at: Instant,
    /// Whether it gets no new work, so that it can make room.
    pub making_room: bool,
}

/// Sizes of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SchedulerLimits {
    /// Adapter slots.
    pub slots: usize,
    /// Requests that it batches.
    pub seats: usize,
    /// Requests that may wait.
    pub waiting: usize,
}

#[derive(Clone, Debug)]
struct RunningRequest {
    model: AdapterVersion,
    class: PriorityClass,
    prompt_tokens: u32,
    in_prefill: bool,
}

/// A request that goes out now.
#[derive(Clone, Debug, PartialEq)]
pub struct DispatchOrder {
    /// The request.
    pub request: QueuedRequest,
    /// How long it waited for its adapter to be loaded.
    pub load_stall: Duration,
}

/// The scheduler of one target.
#[derive(Clone, Debug)]
pub struct TargetScheduler {
    target: TargetName,
    limits: SchedulerLimits,
    needs_loads: bool,
    residents: Vec<ResidentAdapter>,
    residents_revision: u64,
    waiting: WaitingQueue,
    running: HashMap<RequestId, RunningRequest>,
    prefill_tokens: u64,
    backoff: LoadBackoff,
    tokens_per_second: f64,
    load_seconds: f64,
    open: bool,
    may_evict: bool,
    victim_rate: Option<f32>,
}

impl TargetScheduler {
    /// A scheduler of an engine, which is taken to be empty.
    #[must_use]
    pub fn engine(target: TargetName, limits: SchedulerLimits) -> Self {
        Self {
            target,
            limits,
            needs_loads: true,
            residents: Vec::new(),
            residents_revision: 1,
            waiting: WaitingQueue::default(),
            running: HashMap::new(),
            prefill_tokens: 0,
            backoff: LoadBackoff::default(),
            tokens_per_second: ASSUMED_TOKENS_PER_SECOND,
            load_seconds: ASSUMED_LOAD_S,
            open: true,
            may_evict: true,
            victim_rate: Some(0.0),
        }
    }

    /// A scheduler of a plain service, which needs no loads.
    #[must_use]
    pub fn service(target: TargetName, concurrency: usize, waiting: usize) -> Self {
        let limits = SchedulerLimits {
            slots: 0,
            seats: concurrency,
            waiting,
        };
        Self {
            needs_loads: false,
            ..Self::engine(target, limits)
        }
    }

    /// The target.
    #[must_use]
    pub fn target(&self) -> &TargetName {
        &self.target
    }

    /// Its sizes.
    #[must_use]
    pub fn limits(&self) -> SchedulerLimits {
        self.limits
    }

    /// Adapters on it.
    #[must_use]
    pub fn residents(&self) -> &[ResidentAdapter] {
        &self.residents
    }

    /// What waits.
    #[must_use]
    pub fn waiting(&self) -> &WaitingQueue {
        &self.waiting
    }

    /// Number of requests that run.
    #[must_use]
    pub fn running_len(&self) -> usize {
        self.running.len()
    }

    /// Ids of the requests that run.
    pub fn running_ids(&self) -> impl Iterator<Item = RequestId> {
        self.running.keys().copied()
    }

    /// Failed loads that are backed off.
    #[must_use]
    pub fn backoff(&self) -> &LoadBackoff {
        &self.backoff
    }

    /// Opens or closes it for new work; what waits stays until taken out.
    pub fn set_open(&mut self, open: bool) {
        self.open = open;
    }

    /// Says whether ownership lets anything be unloaded here.
    pub fn set_may_evict(&mut self, may_evict: bool) {
        self.may_evict = may_evict;
    }

    /// Whether an adapter that is not here can be loaded.
    #[must_use]
    pub fn can_load(&self) -> bool {
        self.may_evict || self.residents.len() < self.limits.slots
    }

    /// Takes out what waits for adapters that can't be loaded here, so that another target serves it.
    pub fn drain_unloadable(&mut self) -> Vec<QueuedRequest> {
        if !self.needs_loads || self.can_load() {
            return Vec::new();
        }
        let stuck = self.waiting.iter().map(|(model, _)| model);
        let stuck = stuck.filter(|model| {
            self.residents
                .iter()
                .all(|resident| resident.model != **model)
        });
        let stuck: Vec<_> = stuck.cloned().collect();
        stuck
            .iter()
            .flat_map(|model| self.waiting.remove_adapter(model))
            .collect()
    }

    /// Whether it takes new work.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.open
    }

    /// Takes a request in, or says why not.
    ///
    /// # Errors
    /// Gives the request back with the reason.
    pub fn enqueue(
        &mut self,
        request: QueuedRequest,
        weights: &PolicyWeights,
    ) -> Result<(), Box<(QueuedRequest, NotRunReason)>> {
        let refusal = if !self.open {
            Some(NotRunReason::NoTarget {
                retry_after_ms: 500,
            })
        } else {
            self.overload(request.class, weights)
        };
        if let Some(reason) = refusal {
            return Err(Box::new((request, reason)));
        }
        self.waiting.push(request);
        Ok(())
    }

    fn overload(&self, class: PriorityClass, weights: &PolicyWeights) -> Option<NotRunReason> {
        let expected = self.expected_wait_s(class);
        let bound = weights.bound_s(class);
        // The queue is shared by all classes; what is left of it for batch work is smaller.
        let most = self.limits.waiting - self.limits.waiting / 4 * class.index();
        if expected <= bound * AGED_SHARE && self.waiting.len() < most {
            return None;
        }
        let excess = (expected - bound * AGED_SHARE).clamp(0.2, bound);
        Some(NotRunReason::Overloaded {
            retry_after_ms: (excess * 1000.0) as u64,
        })
    }

    /// Time that new work of a class would wait for a seat, from what waits before it.
    #[must_use]
    pub fn expected_wait_s(&self, class: PriorityClass) -> f64 {
        let tokens: u64 = self.waiting.tokens()[..=class.index()].iter().sum();
        tokens as f64 / self.tokens_per_second.max(1.0)
    }

    /// Takes the next request that goes out now, if there is one.
    ///
    /// `allowed` says whether ownership lets requests go to an adapter.
    pub fn next_dispatch(
        &mut self,
        weights: &PolicyWeights,
        now: Instant,
        allowed: impl Fn(&AdapterVersion) -> bool,
    ) -> Option<DispatchOrder> {
        let (model, class) = self.choose_dispatch(weights, now, allowed)?;
        let request = self.waiting.pop(&model, class)?;
        let load_stall = self.start_running(&request, now);
        Some(DispatchOrder {
            request,
            load_stall,
        })
    }

    fn choose_dispatch(
        &self,
        weights: &PolicyWeights,
        now: Instant,
        allowed: impl Fn(&AdapterVersion) -> bool,
    ) -> Option<(AdapterVersion, PriorityClass)> {
        if self.running.len() >= self.limits.seats || self.waiting.is_empty() {
            return None;
        }
        let mut best: Option<(f64, &QueuedRequest)> = None;
        let mut consider = |request| {
            let due = due_at(request, weights, now);
            if best.is_none_or(|(earliest, _)| due < earliest) {
                best = Some((due, request));
            }
        };
        let hold_batch = self.hold_batch(weights, now);
        let classes = PriorityClass::ALL
            .into_iter()
            .filter(|class| self.has_seat(*class, weights));
        let classes: Vec<_> = classes
            .filter(|class| *class != PriorityClass::Batch || !hold_batch)
            .collect();
        if self.needs_loads {
            for resident in &self.residents {
                if resident.state != AdapterState::Loaded
                    || resident.making_room
                    || !allowed(&resident.model)
                {
                    continue;
                }
                let Some(queue) = self.waiting.adapter(&resident.model) else {
                    continue;
                };
                classes
                    .iter()
                    .filter_map(|class| queue.head(*class))
                    .for_each(&mut consider);
            }
        } else {
            for (_, queue) in self.waiting.iter() {
                classes
                    .iter()
                    .filter_map(|class| queue.head(*class))
                    .for_each(&mut consider);
            }
        }
        best.map(|(_, request)| (request.model.clone(), request.class))
    }

    fn has_seat(&self, class: PriorityClass, weights: &PolicyWeights) -> bool {
        if class == PriorityClass::Urgent {
            return true;
        }
        let reserved = (self.limits.seats as f64 * weights.urgent_reserve).floor() as usize;
        let prefill_full = self.prefill_tokens as f64 >= weights.prefill_tokens;
        self.running.len() + reserved < self.limits.seats && !prefill_full
    }

    /// Whether batch work waits for company, so that steps run full or not at all.
    fn hold_batch(&self, weights: &PolicyWeights, now: Instant) -> bool {
        let least = self.limits.seats as f64 * weights.hold_below;
        let waiting = self.waiting.counts()[PriorityClass::Batch.index()];
        if weights.hold_below == 0.0 || (self.running.len() + waiting) as f64 >= least {
            return false;
        }
        let heads = self
            .waiting
            .iter()
            .filter_map(|(_, queue)| queue.head(PriorityClass::Batch));
        let longest = heads
            .map(|head| now.since(head.queued_at))
            .max()
            .unwrap_or_default();
        longest.as_secs_f64() < weights.hold_s
    }

    fn start_running(&mut self, request: &QueuedRequest, now: Instant) -> Duration {
        let running = RunningRequest {
            model: request.model.clone(),
            class: request.class,
            prompt_tokens: request.prompt_tokens,
            in_prefill: true,
        };
        self.prefill_tokens += u64::from(request.prompt_tokens);
        self.running.insert(request.id, running);
        let mut residents = self.residents.iter_mut();
        let Some(resident) = residents.find(|resident| resident.model == request.model) else {
            return Duration::ZERO;
        };
        resident.in_flight += 1;
        resident.used_at = now;
        resident.loaded_at.since(request.queued_at)
    }

    /// Counts a request as running that another holder, or an earlier attempt, started.
    pub fn adopt_running(&mut self, id: RequestId, model: &AdapterVersion, class: PriorityClass) {
        let running = RunningRequest {
            model: model.clone(),
            class,
            prompt_tokens: 0,
            in_prefill: false,
        };
        if self.running.insert(id, running).is_none()
            && let Some(resident) = self.resident_mut(model)
        {
            resident.in_flight += 1;
        }
    }

    /// The first token of a running request came: its prefill is over.
    pub fn finish_prefill(&mut self, id: RequestId) {
        if let Some(running) = self.running.get_mut(&id)
            && std::mem::take(&mut running.in_prefill)
        {
            self.prefill_tokens -= u64::from(running.prompt_tokens);
        }
    }

    /// A running request ended.
    pub fn finish_request(&mut self, id: RequestId, now: Instant) {
        self.finish_prefill(id);
        let Some(running) = self.running.remove(&id) else {
            return;
        };
        if let Some(resident) = self.resident_mut(&running.model) {
            resident.in_flight = resident.in_flight.saturating_sub(1);
            resident.used_at = now;
        }
    }

    /// Whether a request runs here.
    #[must_use]
    pub fn is_running(&self, id: RequestId) -> bool {
        self.running.contains_key(&id)
    }

    /// Number of running requests by class.
    #[must_use]
    pub fn running_counts(&self) -> [usize; 3] {
        let mut counts = [0; 3];
        for running in self.running.values() {
            counts[running.class.index()] += 1;
        }
        counts
    }

    /// Takes a waiting request out because its caller gave it up.
    pub fn cancel_waiting(
        &mut self,
        model: &AdapterVersion,
        id: RequestId,
    ) -> Option<QueuedRequest> {
        self.waiting.remove(model, id)
    }

    /// Takes out everything that waits.
    pub fn drain_waiting(&mut self) -> Vec<QueuedRequest> {
        self.waiting.drain()
    }

    /// Takes out what waited past its deadline or its class's bound.
    pub fn remove_overdue(&mut self, weights: &PolicyWeights, now: Instant) -> Vec<QueuedRequest> {
        let mut overdue = self.waiting.remove_expired(now);
        let late: Vec<_> = self
            .waiting
            .iter()
            .flat_map(|(_, queue)| {
                PriorityClass::ALL
                    .into_iter()
                    .filter_map(|class| queue.head(class))
            })
            .filter(|head| now.since(head.queued_at).as_secs_f64() > weights.bound_s(head.class))
            .map(|head| (head.model.clone(), head.id))
            .collect();
        overdue.extend(
            late.iter()
                .filter_map(|(model, id)| self.waiting.remove(model, *id)),
        );
        overdue
    }

    /// The load that would be worth most here.
    #[must_use]
    pub fn demand_bid(
        &self,
        weights: &PolicyWeights,
        popularity: &impl DemandEstimator,
        now: Instant,
    ) -> Option<LoadBid> {
        if !self.needs_loads
            || self
                .residents
                .iter()
                .any(|resident| resident.state != AdapterState::Loaded)
        {
            // One order at a time on a target.
            return None;
        }
        let evict = self.victim(popularity, now);
        if evict.is_none() && self.residents.len() >= self.limits.slots {
            return None;
        }
        let wanted = self
            .waiting
            .iter()
            .filter(|(model, _)| self.is_loadable(model, now));
        let worth = wanted.map(|(model, queue)| (queue_worth(queue, weights, now), model));
        let (benefit, model) =
            worth.max_by(|(a, x), (b, y)| a.total_cmp(b).then_with(|| y.cmp(x)))?;
        Some(LoadBid {
            target: self.target.clone(),
            model: model.clone(),
            evict,
            benefit,
            demanded: true,
        })
    }

    /// A load without demand: the most wanted adapter that is loaded nowhere, if it is wanted more than what goes.
    #[must_use]
    pub fn preload_bid(
        &self,
        weights: &PolicyWeights,
        popularity: &impl DemandEstimator,
        now: Instant,
        is_candidate: impl Fn(&AdapterVersion) -> bool,
    ) -> Option<LoadBid> {
        if !self.needs_loads
            || !self.open
            || self
                .residents
                .iter()
                .any(|resident| resident.state != AdapterState::Loaded)
        {
            return None;
        }
        let free = self.residents.len() < self.limits.slots;
        let evict = self.victim(popularity, now);
        if evict.is_none() && !free {
            return None;
        }
        let lost = evict
            .as_ref()
            .map_or(0.0, |victim| popularity.rate(victim, now));
        let candidates = popularity
            .candidates(now)
            .into_iter()
            .filter(|(model, rate)| {
                *rate > lost * weights.preload_margin
                    && self.is_loadable(model, now)
                    && is_candidate(model)
            });
        let (model, rate) =
            candidates.max_by(|(x, a), (y, b)| a.total_cmp(b).then_with(|| y.cmp(x)))?;
        Some(LoadBid {
            target: self.target.clone(),
            model: model.clone(),
            evict: if free { None } else { evict },
            // Worth less than any demanded load: rates are far below one waiting batch request.
            benefit: (rate - lost) * 1e-3,
            demanded: false,
        })
    }

    fn is_loadable(&self, model: &AdapterVersion, now: Instant) -> bool {
        self.residents
            .iter()
            .all(|resident| resident.model != *model)
            && self.backoff.can_retry(model, now)
    }

    /// The adapter whose loss costs least, among those with nothing in flight or waiting; none if a slot is free.
    fn victim(&self, popularity: &impl DemandEstimator, now: Instant) -> Option<AdapterVersion> {
        if !self.may_evict || self.residents.len() < self.limits.slots {
            return None;
        }
        let idle = self.residents.iter().filter(|resident| {
            resident.state == AdapterState::Loaded
                && resident.in_flight == 0
                && (resident.making_room || self.waiting.adapter(&resident.model).is_none())
        });
        let valued = idle.map(|resident| (popularity.rate(&resident.model, now), resident));
        let least =
            valued.min_by(|(a, x), (b, y)| a.total_cmp(b).then_with(|| x.used_at.cmp(&y.used_at)));
        least.map(|(_, resident)| resident.model.clone())
    }

    /// The adapter that could go for another one now.
    #[must_use]
    pub fn eviction_candidate(
        &self,
        popularity: &impl DemandEstimator,
        now: Instant,
    ) -> Option<AdapterVersion> {
        self.victim(popularity, now)
    }

    /// Works out what the next load would cost here, for the digest.
    pub fn update_victim_rate(&mut self, popularity: &impl DemandEstimator, now: Instant) {
        let is_free = self.residents.len() < self.limits.slots;
        let victim = self
            .victim(popularity, now)
            .map(|model| popularity.rate(&model, now) as f32);
        self.victim_rate = if is_free {
            Some(0.0)
        } else {
            victim.map(rounded_rate)
        };
    }

    /// Stops new work on the least wanted adapter if a load has waited long and nothing ever falls idle.
    pub fn drain_for_starved_load(&mut self, popularity: &impl DemandEstimator, now: Instant) {
        let starved = self.waiting.iter().any(|(model, queue)| {
            let waited = queue
                .iter()
                .map(|request| now.since(request.queued_at))
                .max()
                .unwrap_or_default();
            waited > FORCE_AFTER && self.is_loadable(model, now)
        });
        let full = self.residents.len() >= self.limits.slots;
        let blocked = full
            && self.residents.iter().all(|resident| {
                resident.in_flight > 0 || self.waiting.adapter(&resident.model).is_some()
            });
        if !starved
            || !blocked
            || !self.may_evict
            || self.residents.iter().any(|resident| resident.making_room)
        {
            return;
        }
        let rates = self
            .residents
            .iter_mut()
            .map(|resident| (popularity.rate(&resident.model, now), resident));
        if let Some((_, resident)) = rates.min_by(|(a, _), (b, _)| a.total_cmp(b)) {
            resident.making_room = true;
        }
    }

    /// A load order goes out.
    pub fn load_started(&mut self, model: &AdapterVersion, now: Instant) {
        self.residents_revision += 1;
        self.residents.push(ResidentAdapter {
            model: model.clone(),
            state: AdapterState::Loading,
            in_flight: 0,
            loaded_at: now,
            used_at: now,
            making_room: false,
        });
    }

    /// A load ended well.
    pub fn load_succeeded(&mut self, model: &AdapterVersion, took: Duration, now: Instant) {
        self.residents_revision += 1;
        self.backoff.succeeded(model);
        self.load_seconds += (took.as_secs_f64() - self.load_seconds) * NEWEST_SHARE;
        if let Some(resident) = self.resident_mut(model) {
            resident.state = AdapterState::Loaded;
            resident.loaded_at = now;
            resident.used_at = now;
        }
    }

    /// A load failed; returns the requests that are refused for it.
    pub fn load_failed(&mut self, model: &AdapterVersion, now: Instant) -> Vec<QueuedRequest> {
        self.residents_revision += 1;
        self.residents.retain(|resident| resident.model != *model);
        if self.backoff.failed(model, now) {
            self.waiting.remove_adapter(model)
        } else {
            Vec::new()
        }
    }

    /// An unload is announced or sent: nothing goes there any more.
    pub fn unload_started(&mut self, model: &AdapterVersion) {
        self.residents_revision += 1;
        if let Some(resident) = self.resident_mut(model) {
            resident.state = AdapterState::Unloading;
        }
    }

    /// An unload was given up before it was sent.
    pub fn unload_cancelled(&mut self, model: &AdapterVersion) {
        self.residents_revision += 1;
        if let Some(resident) = self.resident_mut(model) {
            resident.state = AdapterState::Loaded;
            resident.making_room = false;
        }
    }

    /// An unload is over.
    pub fn unload_finished(&mut self, model: &AdapterVersion) {
        self.residents_revision += 1;
        self.residents.retain(|resident| resident.model != *model);
    }

    /// Takes the target's own list of loaded adapters in, after a takeover or a restart.
    pub fn replace_residents(&mut self, loaded: &[AdapterVersion], now: Instant) {
        self.residents_revision += 1;
        let residents = loaded.iter().map(|model| ResidentAdapter {
            model: model.clone(),
            state: AdapterState::Loaded,
            in_flight: self
                .running
                .values()
                .filter(|running| running.model == *model)
                .count() as u32,
            loaded_at: now,
            used_at: now,
            making_room: false,
        });
        self.residents = residents.collect();
    }

    /// A full or nearly full batch made this many tokens a second.
    pub fn record_throughput(&mut self, tokens_per_second: f64) {
        self.tokens_per_second += (tokens_per_second - self.tokens_per_second) * NEWEST_SHARE;
    }

    /// Seconds that a load takes, as measured.
    #[must_use]
    pub fn load_seconds(&self) -> f64 {
        self.load_seconds
    }

    /// What the gateways are told; `known` is the revision of residents that they have.
    #[must_use]
    pub fn digest(&self, known: Option<u64>) -> TargetDigest {
        let residents = self
            .residents
            .iter()
            .filter(|resident| resident.state != AdapterState::Unloading);
        let residents = residents.map(|resident| ResidentDigest {
            model: resident.model.clone(),
            loading: resident.state == AdapterState::Loading,
        });
        TargetDigest {
            target: self.target.clone(),
            residents_revision: self.residents_revision,
            residents: (known != Some(self.residents_revision)).then(|| residents.collect()),
            running: self.running.len() as u32,
            seats: self.limits.seats as u32,
            waiting_tokens: self.waiting.tokens(),
            // Rounded, so that a digest of a target at rest stays the same.
            tokens_per_second: self.tokens_per_second.round() as f32,
            open: self.open,
            loads: self.can_load(),
            wanted_loads: self.wanted_loads(),
            victim_rate: self.victim_rate,
        }
    }

    fn wanted_loads(&self) -> u32 {
        let wanted = self.waiting.iter().filter(|(model, _)| {
            let mut residents = self.residents.iter();
            !residents
                .any(|resident| resident.model == **model && resident.state == AdapterState::Loaded)
        });
        wanted.count() as u32
    }

    fn resident_mut(&mut self, model: &AdapterVersion) -> Option<&mut ResidentAdapter> {
        self.residents
            .iter_mut()
            .find(|resident| resident.model == *model)
    }
}

/// A rate to the nearest power of the square root of two: a digest changes only when the rate really does.
fn rounded_rate(rate: f32) -> f32 {
    if rate < 1e-4 {
        return 0.0;
    }
    ((rate.log2() * 2.0).round() / 2.0).exp2()
}

/// When a request is due, in seconds before or after now: the earliest goes first.
fn due_at(request: &QueuedRequest, weights: &PolicyWeights, now: Instant) -> f64 {
    let waited = now.since(request.queued_at).as_secs_f64();
    let bound = weights.bound_s(request.class);
    let slack = match request.class {
        PriorityClass::Urgent => return -1e6 - waited,
        PriorityClass::Normal => bound * 0.25,
        PriorityClass::Batch => bound * 0.5,
    };
    if waited > bound * AGED_SHARE {
        // Before all that is not urgent, and behind all that is: urgent work is bounded by its own admission.
        return -1e3 - waited;
    }
    slack - waited
}

fn queue_worth(queue: &super::queue::AdapterQueue, weights: &PolicyWeights, now: Instant) -> f64 {
    let classes = PriorityClass::ALL.into_iter();
    let worths = classes.map(|class| {
        let count = queue.counts()[class.index()] as f64;
        let waited = queue
            .head(class)
            .map_or(0.0, |head| now.since(head.queued_at).as_secs_f64());
        weights.class_weight(class) * count * (1.0 + waited)
    });
    worths.sum()
}
