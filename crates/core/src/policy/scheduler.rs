//! Dispatch, adapter loads and eviction of one target, as decided by its holder.
//!
//! All requests of a target go through its single scheduler, so the scheduler knows what is running and never evicts an
//! adapter with a request in flight. The cost of a decision depends on the target's slots and on the adapters with
//! waiting requests, not on the number of existing adapters.

use crate::{
    ids::{AdapterVersion, Instant, PriorityClass, RequestId, TargetName},
    policy::{
        DemandEstimator, LoadBackoff, LoadBid, PolicyWeights, QueuedRequest, ResidentDigest,
        TargetDigest, WaitingQueue,
    },
    request::NotRunReason,
};
use std::{collections::HashMap, time::Duration};

/// Load duration assumed before the first load has completed, in seconds.
const INITIAL_LOAD_S: f64 = 0.35;
/// Throughput of a full batch assumed before the first measurement.
const INITIAL_TOKENS_PER_SECOND: f64 = 400.0;
/// Wait for a load after which a resident adapter that never becomes idle is drained.
const LOAD_STARVATION_TIMEOUT: Duration = Duration::from_secs(4);
/// Share of its maximum wait after which a request precedes all but urgent ones; also the limit for admission.
const AGED_WAIT_SHARE: f64 = 0.75;
/// Weight of the newest sample in the moving averages.
const EWMA_WEIGHT: f64 = 0.1;

/// State of an adapter on a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdapterState {
    /// A load order was sent.
    Loading,
    /// Requests may be dispatched to it.
    Loaded,
    /// An unload was announced or sent.
    Unloading,
}

/// An adapter that occupies a slot of a target.
#[derive(Clone, Debug, PartialEq)]
pub struct ResidentAdapter {
    /// The adapter and its version.
    pub model: AdapterVersion,
    /// Progress of its load or unload.
    pub state: AdapterState,
    /// Running requests that use the adapter.
    pub in_flight: u32,
    /// Time at which its load completed; start of the load while it is loading.
    pub loaded_at: Instant,
    /// Time of the last start or end of a request.
    pub used_at: Instant,
    /// Whether dispatch to it has stopped so that it can be evicted.
    pub is_draining: bool,
}

/// Capacity of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SchedulerLimits {
    /// Adapter slots; zero for a plain service.
    pub slots: usize,
    /// Maximum number of concurrently running requests (batch size).
    pub seats: usize,
    /// Maximum number of waiting requests.
    pub waiting: usize,
}

#[derive(Clone, Debug)]
struct RunningRequest {
    model: AdapterVersion,
    class: PriorityClass,
    prompt_tokens: u32,
    in_prefill: bool,
}

/// A request to send to the target now.
#[derive(Clone, Debug, PartialEq)]
pub struct DispatchOrder {
    /// Request taken from the queue.
    pub request: QueuedRequest,
    /// Time that the request waited for its adapter to be loaded.
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
    /// Creates the scheduler of an engine that is assumed to have no adapters loaded.
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
            tokens_per_second: INITIAL_TOKENS_PER_SECOND,
            load_seconds: INITIAL_LOAD_S,
            open: true,
            may_evict: true,
            victim_rate: Some(0.0),
        }
    }

    /// Creates the scheduler of a plain service, which has no adapters.
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

    /// Name of the target.
    #[must_use]
    pub fn target(&self) -> &TargetName {
        &self.target
    }

    /// Capacity of the target.
    #[must_use]
    pub fn limits(&self) -> SchedulerLimits {
        self.limits
    }

    /// Adapters that occupy a slot, in any state.
    #[must_use]
    pub fn residents(&self) -> &[ResidentAdapter] {
        &self.residents
    }

    /// Waiting requests.
    #[must_use]
    pub fn waiting(&self) -> &WaitingQueue {
        &self.waiting
    }

    /// Number of running requests.
    #[must_use]
    pub fn running_len(&self) -> usize {
        self.running.len()
    }

    /// Ids of the running requests.
    pub fn running_ids(&self) -> impl Iterator<Item = RequestId> {
        self.running.keys().copied()
    }

    /// Backoff of failed loads.
    #[must_use]
    pub fn backoff(&self) -> &LoadBackoff {
        &self.backoff
    }

    /// Sets whether new requests are accepted; waiting requests stay queued.
    pub fn set_open(&mut self, open: bool) {
        self.open = open;
    }

    /// Sets whether the ownership state permits unloads on this target.
    pub fn set_may_evict(&mut self, may_evict: bool) {
        self.may_evict = may_evict;
    }

    /// Whether a non-resident adapter can be loaded: a slot is free, or unloads are permitted.
    #[must_use]
    pub fn can_load(&self) -> bool {
        self.may_evict || self.residents.len() < self.limits.slots
    }

    /// Removes the requests for adapters that cannot be loaded here, so that they can be sent to another target.
    pub fn drain_unloadable(&mut self) -> Vec<QueuedRequest> {
        if !self.needs_loads || self.can_load() {
            return Vec::new();
        }
        let unloadable = self.waiting.iter().map(|(model, _)| model);
        let unloadable = unloadable.filter(|model| {
            self.residents
                .iter()
                .all(|resident| resident.model != **model)
        });
        let unloadable: Vec<_> = unloadable.cloned().collect();
        unloadable
            .iter()
            .flat_map(|model| self.waiting.remove_adapter(model))
            .collect()
    }

    /// Whether new requests are accepted.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.open
    }

    /// Adds a request to the queue.
    ///
    /// # Errors
    /// Returns the request with the reason if the target is closed, its queue is full for the request's class, or the
    /// expected wait is too long.
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
            self.overload_reason(request.class, weights)
        };
        if let Some(reason) = refusal {
            return Err(Box::new((request, reason)));
        }
        self.waiting.push(request);
        Ok(())
    }

    fn overload_reason(
        &self,
        class: PriorityClass,
        weights: &PolicyWeights,
    ) -> Option<NotRunReason> {
        let expected_s = self.expected_wait_s(class);
        let max_wait_s = weights.max_wait_s(class);
        // All classes share the queue; lower classes may fill only part of it.
        let max_waiting = self.limits.waiting - self.limits.waiting / 4 * class.index();
        if expected_s <= max_wait_s * AGED_WAIT_SHARE && self.waiting.len() < max_waiting {
            return None;
        }
        let excess_s = (expected_s - max_wait_s * AGED_WAIT_SHARE).clamp(0.2, max_wait_s);
        Some(NotRunReason::Overloaded {
            retry_after_ms: (excess_s * 1000.0) as u64,
        })
    }

    /// Expected wait of a new request of a class for a seat, in seconds, from the queued tokens of its own and more
    /// urgent classes.
    #[must_use]
    pub fn expected_wait_s(&self, class: PriorityClass) -> f64 {
        let tokens: u64 = self.waiting.tokens()[..=class.index()].iter().sum();
        tokens as f64 / self.tokens_per_second.max(1.0)
    }

    /// Removes the next request to dispatch from the queue and counts it as running; `None` if nothing can be
    /// dispatched now.
    ///
    /// `allowed` returns whether the ownership state permits dispatch to an adapter.
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
            let due = due_in_s(request, weights, now);
            if best.is_none_or(|(earliest, _)| due < earliest) {
                best = Some((due, request));
            }
        };
        let should_hold_batch = self.should_hold_batch(weights, now);
        let classes = PriorityClass::ALL
            .into_iter()
            .filter(|class| self.has_seat(*class, weights));
        let classes: Vec<_> = classes
            .filter(|class| *class != PriorityClass::Batch || !should_hold_batch)
            .collect();
        if self.needs_loads {
            for resident in &self.residents {
                if resident.state != AdapterState::Loaded
                    || resident.is_draining
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

    /// Whether batch requests are held back until more of them arrive, so that engine steps run with fuller batches.
    fn should_hold_batch(&self, weights: &PolicyWeights, now: Instant) -> bool {
        let min_occupied = self.limits.seats as f64 * weights.hold_below;
        let waiting = self.waiting.counts()[PriorityClass::Batch.index()];
        if weights.hold_below == 0.0 || (self.running.len() + waiting) as f64 >= min_occupied {
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

    /// Counts a request as running that another holder or an earlier attempt has started.
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

    /// Records the first token of a running request, which ends its prefill.
    pub fn finish_prefill(&mut self, id: RequestId) {
        if let Some(running) = self.running.get_mut(&id)
            && std::mem::take(&mut running.in_prefill)
        {
            self.prefill_tokens -= u64::from(running.prompt_tokens);
        }
    }

    /// Records the end of a running request.
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

    /// Whether a request is running on this target.
    #[must_use]
    pub fn is_running(&self, id: RequestId) -> bool {
        self.running.contains_key(&id)
    }

    /// Number of running requests, by class.
    #[must_use]
    pub fn running_counts(&self) -> [usize; 3] {
        let mut counts = [0; 3];
        for running in self.running.values() {
            counts[running.class.index()] += 1;
        }
        counts
    }

    /// Removes a waiting request that its caller has cancelled.
    pub fn cancel_waiting(
        &mut self,
        model: &AdapterVersion,
        id: RequestId,
    ) -> Option<QueuedRequest> {
        self.waiting.remove(model, id)
    }

    /// Removes all waiting requests.
    pub fn drain_waiting(&mut self) -> Vec<QueuedRequest> {
        self.waiting.drain()
    }

    /// Removes the requests whose deadline has passed, and the longest-waiting request of each adapter and class if it
    /// has exceeded the maximum wait of its class.
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
            .filter(|head| now.since(head.queued_at).as_secs_f64() > weights.max_wait_s(head.class))
            .map(|head| (head.model.clone(), head.id))
            .collect();
        overdue.extend(
            late.iter()
                .filter_map(|(model, id)| self.waiting.remove(model, *id)),
        );
        overdue
    }

    /// The load with the highest benefit among adapters with waiting requests; `None` if none is possible now.
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
            // Only one load or unload is in progress on a target at a time.
            return None;
        }
        let evict = self.victim(popularity, now);
        if evict.is_none() && self.residents.len() >= self.limits.slots {
            return None;
        }
        let loadable = self
            .waiting
            .iter()
            .filter(|(model, _)| self.is_loadable(model, now));
        let benefits = loadable.map(|(model, queue)| (queue_benefit(queue, weights, now), model));
        let (benefit, model) =
            benefits.max_by(|(a, x), (b, y)| a.total_cmp(b).then_with(|| y.cmp(x)))?;
        Some(LoadBid {
            target: self.target.clone(),
            model: model.clone(),
            evict,
            benefit,
            demanded: true,
        })
    }

    /// A load without waiting requests: the adapter with the highest request rate among those that `is_candidate`
    /// accepts, if its rate exceeds that of the evicted adapter by the factor `preload_margin`.
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
        let has_free_slot = self.residents.len() < self.limits.slots;
        let evict = self.victim(popularity, now);
        if evict.is_none() && !has_free_slot {
            return None;
        }
        let evicted_rate = evict
            .as_ref()
            .map_or(0.0, |victim| popularity.rate(victim, now));
        let candidates = popularity
            .candidates(now)
            .into_iter()
            .filter(|(model, rate)| {
                *rate > evicted_rate * weights.preload_margin
                    && self.is_loadable(model, now)
                    && is_candidate(model)
            });
        let (model, rate) =
            candidates.max_by(|(x, a), (y, b)| a.total_cmp(b).then_with(|| y.cmp(x)))?;
        Some(LoadBid {
            target: self.target.clone(),
            model: model.clone(),
            evict: if has_free_slot { None } else { evict },
            // Scaled down so that any load with waiting requests, which is worth at least 1, takes precedence.
            benefit: (rate - evicted_rate) * 1e-3,
            demanded: false,
        })
    }

    fn is_loadable(&self, model: &AdapterVersion, now: Instant) -> bool {
        self.residents
            .iter()
            .all(|resident| resident.model != *model)
            && self.backoff.can_retry(model, now)
    }

    /// The adapter with the lowest request rate among those without running or waiting requests; a draining one may
    /// have waiting requests. `None` if a slot is free.
    fn victim(&self, popularity: &impl DemandEstimator, now: Instant) -> Option<AdapterVersion> {
        if !self.may_evict || self.residents.len() < self.limits.slots {
            return None;
        }
        let idle = self.residents.iter().filter(|resident| {
            resident.state == AdapterState::Loaded
                && resident.in_flight == 0
                && (resident.is_draining || self.waiting.adapter(&resident.model).is_none())
        });
        let rated = idle.map(|resident| (popularity.rate(&resident.model, now), resident));
        let least =
            rated.min_by(|(a, x), (b, y)| a.total_cmp(b).then_with(|| x.used_at.cmp(&y.used_at)));
        least.map(|(_, resident)| resident.model.clone())
    }

    /// The adapter that can be evicted now; `None` if a slot is free or no adapter can be evicted.
    #[must_use]
    pub fn eviction_candidate(
        &self,
        popularity: &impl DemandEstimator,
        now: Instant,
    ) -> Option<AdapterVersion> {
        self.victim(popularity, now)
    }

    /// Updates the request rate of the adapter that the next load would evict, for the digest.
    pub fn update_victim_rate(&mut self, popularity: &impl DemandEstimator, now: Instant) {
        let has_free_slot = self.residents.len() < self.limits.slots;
        let victim = self
            .victim(popularity, now)
            .map(|model| popularity.rate(&model, now) as f32);
        self.victim_rate = if has_free_slot {
            Some(0.0)
        } else {
            victim.map(rounded_rate)
        };
    }

    /// Starts draining the adapter with the lowest request rate if a request has waited for a load for longer than
    /// `LOAD_STARVATION_TIMEOUT` and every slot holds an adapter with running or waiting requests.
    pub fn drain_for_starved_load(&mut self, popularity: &impl DemandEstimator, now: Instant) {
        let is_starved = self.waiting.iter().any(|(model, queue)| {
            let waited = queue
                .iter()
                .map(|request| now.since(request.queued_at))
                .max()
                .unwrap_or_default();
            waited > LOAD_STARVATION_TIMEOUT && self.is_loadable(model, now)
        });
        let is_full = self.residents.len() >= self.limits.slots;
        let is_blocked = is_full
            && self.residents.iter().all(|resident| {
                resident.in_flight > 0 || self.waiting.adapter(&resident.model).is_some()
            });
        if !is_starved
            || !is_blocked
            || !self.may_evict
            || self.residents.iter().any(|resident| resident.is_draining)
        {
            return;
        }
        let rates = self
            .residents
            .iter_mut()
            .map(|resident| (popularity.rate(&resident.model, now), resident));
        if let Some((_, resident)) = rates.min_by(|(a, _), (b, _)| a.total_cmp(b)) {
            resident.is_draining = true;
        }
    }

    /// Records that a load order is sent.
    pub fn load_started(&mut self, model: &AdapterVersion, now: Instant) {
        self.residents_revision += 1;
        self.residents.push(ResidentAdapter {
            model: model.clone(),
            state: AdapterState::Loading,
            in_flight: 0,
            loaded_at: now,
            used_at: now,
            is_draining: false,
        });
    }

    /// Records a successful load and its duration.
    pub fn load_succeeded(&mut self, model: &AdapterVersion, took: Duration, now: Instant) {
        self.residents_revision += 1;
        self.backoff.record_success(model);
        self.load_seconds += (took.as_secs_f64() - self.load_seconds) * EWMA_WEIGHT;
        if let Some(resident) = self.resident_mut(model) {
            resident.state = AdapterState::Loaded;
            resident.loaded_at = now;
            resident.used_at = now;
        }
    }

    /// Records a failed load; returns the waiting requests to refuse, if it failed repeatedly.
    pub fn load_failed(&mut self, model: &AdapterVersion, now: Instant) -> Vec<QueuedRequest> {
        self.residents_revision += 1;
        self.residents.retain(|resident| resident.model != *model);
        if self.backoff.record_failure(model, now) {
            self.waiting.remove_adapter(model)
        } else {
            Vec::new()
        }
    }

    /// Records that an unload is announced or sent, which stops dispatch to the adapter.
    pub fn unload_started(&mut self, model: &AdapterVersion) {
        self.residents_revision += 1;
        if let Some(resident) = self.resident_mut(model) {
            resident.state = AdapterState::Unloading;
        }
    }

    /// Records that an unload was cancelled before it was sent.
    pub fn unload_cancelled(&mut self, model: &AdapterVersion) {
        self.residents_revision += 1;
        if let Some(resident) = self.resident_mut(model) {
            resident.state = AdapterState::Loaded;
            resident.is_draining = false;
        }
    }

    /// Records that an unload has completed.
    pub fn unload_finished(&mut self, model: &AdapterVersion) {
        self.residents_revision += 1;
        self.residents.retain(|resident| resident.model != *model);
    }

    /// Replaces the resident adapters with the target's own list, after a takeover or a restart.
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
            is_draining: false,
        });
        self.residents = residents.collect();
    }

    /// Adds a throughput sample of a full or nearly full batch, in output tokens per second.
    pub fn record_throughput(&mut self, tokens_per_second: f64) {
        self.tokens_per_second += (tokens_per_second - self.tokens_per_second) * EWMA_WEIGHT;
    }

    /// Moving average of the load duration, in seconds.
    #[must_use]
    pub fn load_seconds(&self) -> f64 {
        self.load_seconds
    }

    /// The digest for the gateways, without residents if `known` is their current revision.
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
            // Rounded, so that the digest of an idle target does not change.
            tokens_per_second: self.tokens_per_second.round() as f32,
            open: self.open,
            can_load: self.can_load(),
            pending_loads: self.pending_loads(),
            victim_rate: self.victim_rate,
        }
    }

    fn pending_loads(&self) -> u32 {
        let unloaded = self.waiting.iter().filter(|(model, _)| {
            let mut residents = self.residents.iter();
            !residents
                .any(|resident| resident.model == **model && resident.state == AdapterState::Loaded)
        });
        unloaded.count() as u32
    }

    fn resident_mut(&mut self, model: &AdapterVersion) -> Option<&mut ResidentAdapter> {
        self.residents
            .iter_mut()
            .find(|resident| resident.model == *model)
    }
}

/// Rounds a rate to the nearest power of the square root of two, so that digests change only with significant changes.
fn rounded_rate(rate: f32) -> f32 {
    if rate < 1e-4 {
        return 0.0;
    }
    ((rate.log2() * 2.0).round() / 2.0).exp2()
}

/// Time until a request is due, in seconds, negative if overdue; the lowest value is dispatched first.
fn due_in_s(request: &QueuedRequest, weights: &PolicyWeights, now: Instant) -> f64 {
    let waited = now.since(request.queued_at).as_secs_f64();
    let max_wait_s = weights.max_wait_s(request.class);
    let slack = match request.class {
        PriorityClass::Urgent => return -1e6 - waited,
        PriorityClass::Normal => max_wait_s * 0.25,
        PriorityClass::Batch => max_wait_s * 0.5,
    };
    if waited > max_wait_s * AGED_WAIT_SHARE {
        // Before all non-urgent requests but after urgent ones, whose wait is already bounded by their admission.
        return -1e3 - waited;
    }
    slack - waited
}

fn queue_benefit(queue: &super::queue::AdapterQueue, weights: &PolicyWeights, now: Instant) -> f64 {
    let classes = PriorityClass::ALL.into_iter();
    let benefits = classes.map(|class| {
        let count = queue.counts()[class.index()] as f64;
        let waited = queue
            .head(class)
            .map_or(0.0, |head| now.since(head.queued_at).as_secs_f64());
        weights.class_weight(class) * count * (1.0 + waited)
    });
    benefits.sum()
}
