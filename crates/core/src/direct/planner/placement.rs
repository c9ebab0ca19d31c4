//! Choice of the engine for a call, by the expected wait at each engine and the cost of loading the adapter there.

use crate::{
    direct::{
        catalog::TargetStage,
        engine::{CopyState, EngineState, WaitingCall},
        planner::{
            CallKey, LOAD_MARGIN, LOAD_WAIT_GRACE, MAX_LOADING_ADAPTERS, PlacementAnswer,
            PlacementRequest, PlacementTerms, RETRY_AFTER_MS, RefusalCause, ZonePlanner,
            cache_transfer::CacheSource, millis, split_subject, suspects::SHARED_CRASH_PENALTY,
        },
    },
    ids::{AdapterName, Instant, TargetName},
};
use std::{net::SocketAddr, time::Duration};

/// Bounds of the retry delay stated to callers.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
const MAX_RETRY_AFTER: Duration = Duration::from_millis(1_500);

impl ZonePlanner {
    /// Places a call; the answer follows as an action, at once or when the adapter's load is accepted.
    pub fn place(&mut self, key: CallKey, request: PlacementRequest, now: Instant) {
        let counts_as_demand = !matches!(request.terms, PlacementTerms::Beat(_));
        if counts_as_demand {
            self.demand.record(&request.subject, now);
        }
        // Slots that have become free since the last event are due to the calls that wait.
        self.serve_queue(now);
        let subject = (request.may_load && counts_as_demand).then(|| request.subject.clone());
        self.try_place(key, request, now);
        if let Some(subject) = subject {
            self.replicate_if_crowded(&subject, now);
        }
    }

    /// Places a call without counting it as demand again.
    pub(super) fn try_place(&mut self, key: CallKey, request: PlacementRequest, now: Instant) {
        if !request.is_trial && self.needs_trial(&request, now) {
            self.refuse(key, RETRY_AFTER_MS, RefusalCause::NeedsTrial);
            return;
        }
        let Some((name, cost)) = self.cheapest(&request, now) else {
            self.wait_for_slot(key, request, now);
            return;
        };
        let exceeds_bound = cost.wait > Duration::from_millis(u64::from(request.bound_ms));
        let is_declined = match request.terms {
            PlacementTerms::Inquire => exceeds_bound || cost.needs_load,
            PlacementTerms::Beat(limit) => exceeds_bound || millis(cost.total) >= limit,
            PlacementTerms::Take => false,
        };
        if is_declined {
            let cause = RefusalCause::Offer(millis(cost.total));
            self.refuse(key, RETRY_AFTER_MS, cause);
            return;
        }
        if exceeds_bound {
            // Load the adapter anyway, so that it is there when the caller retries.
            self.preload(&name, &request, now);
            // A retry before loads are allowed again would be refused too.
            let limit = MAX_RETRY_AFTER.max(self.load_hold_remaining(now));
            let retry_after = cost.wait.clamp(MIN_RETRY_AFTER, limit);
            let cause = RefusalCause::TooLong(millis(cost.wait));
            self.refuse(key, millis(retry_after), cause);
            return;
        }
        self.send_or_queue(&name, key, request, now);
    }

    /// Engine with the lowest total cost. Ties go to the engine with the lowest rendezvous hash.
    pub(super) fn cheapest(
        &self,
        request: &PlacementRequest,
        now: Instant,
    ) -> Option<(TargetName, PlacementCost)> {
        let loads_ahead = self.store_loads_in_flight(now) + self.queued_loads();
        let sources = self.cache_sources(request, now);
        let engines_sharing_crash = self.engines_sharing_crash(request.fingerprint, now);
        let are_all_degraded = self
            .engines
            .keys()
            .all(|name| self.health.is_degraded(name));
        self.engines
            .iter()
            .filter(|(name, engine)| {
                engine.entry.stage == TargetStage::Ready
                    && request.allows(name)
                    && !self.health.is_unreachable(name, now)
                    && self.admits(engine, now)
            })
            .filter_map(|(name, engine)| {
                let mut cost = self.cost(engine, request, &sources, loads_ahead, now)?;
                if self.health.is_degraded(name) && !are_all_degraded {
                    cost.total += self.policy.degraded_penalty;
                }
                cost.total += self
                    .policy
                    .failure_penalty
                    .mul_f64(self.health.failure_rate(name));
                if engines_sharing_crash.contains(name) {
                    cost.total += SHARED_CRASH_PENALTY;
                }
                if self.health.is_overloaded(name, now) {
                    cost.total += self.policy.shed_penalty;
                }
                Some((name.clone(), cost))
            })
            .min_by_key(|(name, cost)| (cost.total, rendezvous_rank(name, &request.subject)))
    }

    /// Whether an engine's maximum of rejections leaves room for another call.
    fn admits(&self, engine: &EngineState, now: Instant) -> bool {
        let name = &engine.entry.name;
        self.rate_limits.admits(name, engine.calls_in_flight(), now)
    }

    fn cost(
        &self,
        engine: &EngineState,
        request: &PlacementRequest,
        sources: &[CacheSource],
        loads_ahead: u32,
        now: Instant,
    ) -> Option<PlacementCost> {
        let load = self.load_cost(engine, request, loads_ahead, now)?;
        let prefill_time = self.prefill_plan(engine, request, sources, now).time;
        let backlog = engine
            .prompts
            .backlog(request.priority, &self.prefill_model, now);
        let calls = engine.calls_in_flight();
        let excess_calls = calls.saturating_sub(engine.entry.slots.saturating_sub(1));
        let tokens = engine.tokens_sent() + request.max_kv_tokens();
        let kv_penalty = if tokens > self.limits.kv_tokens * 95 / 100 {
            Duration::from_millis(500)
        } else {
            Duration::ZERO
        };
        let token_wait = self.rate_limits.wait(&engine.entry.name, now);
        let wait = backlog.max(load.time).max(token_wait)
            + prefill_time
            + self.estimates.time_per_call * calls
            + self.estimates.slot_hold_time / engine.entry.slots.max(1) * excess_calls
            + kv_penalty
            + engine.entry.warmup_remaining.min(Duration::from_secs(1));
        Some(PlacementCost {
            wait,
            total: wait + load.penalty,
            needs_load: load.is_new,
        })
    }

    /// Cost of having the adapter at an engine; none if the engine cannot serve the call.
    fn load_cost(
        &self,
        engine: &EngineState,
        request: &PlacementRequest,
        loads_ahead: u32,
        now: Instant,
    ) -> Option<LoadCost> {
        let (model, adapter) = split_subject(&request.subject);
        if !engine.has_model(model) || self.lends_outdated_cache(engine, &request.subject) {
            return None;
        }
        if adapter.is_none() {
            return Some(LoadCost::default());
        }
        match engine.copies.get(&request.subject) {
            Some(copy) if copy.state != CopyState::Unloading => {
                let named = self.named_version(&request.subject);
                let is_stale = named.is_some_and(|named| copy.is_stale_for(named));
                match copy.state {
                    CopyState::Loaded | CopyState::Loading(_) if is_stale => None,
                    CopyState::Loading(at) => Some(LoadCost {
                        time: at.since(now),
                        ..LoadCost::default()
                    }),
                    CopyState::Queued => Some(LoadCost {
                        time: self.load_hold_remaining(now)
                            + self.load_limiter.expected_time(&engine.entry.name),
                        ..LoadCost::default()
                    }),
                    CopyState::ReloadQueued => Some(LoadCost {
                        time: self.load_limiter.expected_time(&engine.entry.name),
                        ..LoadCost::default()
                    }),
                    _ => Some(LoadCost::default()),
                }
            }
            Some(_) => None,
            None => {
                if !request.may_load
                    || now < self.orders_from
                    || !engine.is_inventory_known
                    || engine.unloading.is_some()
                {
                    return None;
                }
                if self.policy.admission.is_some()
                    && !self.can_start_load(engine, &request.subject, loads_ahead, now)
                {
                    return None;
                }
                let pending_loads = engine.queue.len() + engine.loading_count(now);
                if pending_loads >= 2 * MAX_LOADING_ADAPTERS || !self.can_make_room(engine, now) {
                    return None;
                }
                let is_new = !self.reloads_quickly(engine, &request.subject);
                let (time, penalty) = if is_new {
                    (
                        self.load_limiter
                            .expected_wait(&engine.entry.name, loads_ahead),
                        self.policy.load_penalty,
                    )
                } else {
                    (self.estimates.reload_time, self.policy.reload_penalty)
                };
                let queue_position = u32::try_from(engine.queue.len()).unwrap_or(0);
                Some(LoadCost {
                    time: self.load_hold_remaining(now)
                        + time
                        + Duration::from_millis(8) * queue_position,
                    penalty,
                    is_new,
                })
            }
        }
    }

    pub(super) fn can_make_room(&self, engine: &EngineState, now: Instant) -> bool {
        let count = engine.copies.len();
        count < self.limits.adapter_slots as usize || self.eviction_victim(engine, now).is_some()
    }

    /// Loads from the weight store in progress in this zone.
    pub(super) fn store_loads_in_flight(&self, now: Instant) -> u32 {
        let loads = self
            .engines
            .values()
            .map(|engine| engine.store_loads_in_flight(now));
        u32::try_from(loads.sum::<usize>()).unwrap_or(u32::MAX)
    }

    pub(super) fn queued_loads(&self) -> u32 {
        let count: usize = self
            .engines
            .values()
            .map(|engine| engine.copies.len() - engine.occupied_slots())
            .sum();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// Queues the load of an adapter for a refused call, if that evicts nothing. Under load most slots are in use, and
    /// an adapter that is preloaded would be evicted again before the caller retries.
    pub(super) fn preload(&mut self, name: &TargetName, request: &PlacementRequest, now: Instant) {
        let has_adapter = split_subject(&request.subject).1.is_some();
        let Some(engine) = self.engines.get_mut(name) else {
            return;
        };
        let has_free_slot = engine.copies.len() < self.limits.adapter_slots as usize;
        if has_adapter
            && request.may_load
            && has_free_slot
            && self.slot_queue.is_empty()
            && !engine.copies.contains_key(&request.subject)
        {
            engine.queue_load(&request.subject, now);
            self.issue_next_order(name, now);
        }
    }

    /// Sends a call to an engine, or lets it wait there until the load of its adapter is accepted.
    pub(super) fn send_or_queue(
        &mut self,
        name: &TargetName,
        key: CallKey,
        mut request: PlacementRequest,
        now: Instant,
    ) {
        // The zone has taken the call, so a failed load must not decline it on the terms of an offer.
        request.terms = PlacementTerms::Take;
        let (_, adapter) = split_subject(&request.subject);
        let is_adapter = adapter.is_some();
        let Some(engine) = self.engines.get_mut(name) else {
            return;
        };
        if is_adapter && !engine.copies.contains_key(&request.subject) {
            engine.queue_load(&request.subject, now);
        }
        let copy = engine.copies.get_mut(&request.subject);
        let wait_ms = match copy {
            Some(copy) if matches!(copy.state, CopyState::Queued | CopyState::ReloadQueued) => {
                let bound = Duration::from_millis(u64::from(request.bound_ms));
                let until = now.after(bound + LOAD_WAIT_GRACE);
                copy.waiters.push(WaitingCall {
                    key,
                    request,
                    until,
                });
                copy.last_used_at = now;
                self.issue_next_order(name, now);
                return;
            }
            Some(copy) => {
                copy.active_calls += 1;
                copy.last_used_at = now;
                match copy.state {
                    CopyState::Loading(at) if at > now => millis(at.since(now) + LOAD_MARGIN),
                    _ => 0,
                }
            }
            None => 0,
        };
        self.send_with_wait(name, key, &request, wait_ms, now);
    }

    /// Sends a call, to arrive when its adapter is loaded and the engine's rate limit has room for it.
    pub(super) fn send_with_wait(
        &mut self,
        name: &TargetName,
        key: CallKey,
        request: &PlacementRequest,
        adapter_ms: u32,
        now: Instant,
    ) {
        let token_wait = self.rate_limits.wait(name, now);
        let wait_ms = adapter_ms.max(millis(token_wait));
        let sent_at = now.after(Duration::from_millis(u64::from(wait_ms)));
        self.rate_limits.take_token(name, sent_at, now);
        let sent = self.record_sent(name, key.clone(), request, wait_ms, now);
        self.answer_send(name, key, &request.subject, wait_ms, sent);
    }

    fn answer_send(
        &mut self,
        name: &TargetName,
        key: CallKey,
        subject: &AdapterName,
        wait_ms: u32,
        sent: SendDetails,
    ) {
        let engine = self.engines.get(name);
        let answer = PlacementAnswer::Send {
            target: name.clone(),
            life: engine.map(|engine| engine.entry.life).unwrap_or_default(),
            wait_ms,
            fetch: sent.fetch,
            expected_ms: millis(sent.expected),
            version: sent.version,
            is_in_high_demand: self.is_in_high_demand(subject),
            is_limited: self.rate_limits.is_limited(name),
        };
        self.answer(key, answer);
    }

    /// Records a call as sent; returns the details for its answer.
    fn record_sent(
        &mut self,
        name: &TargetName,
        key: CallKey,
        request: &PlacementRequest,
        wait_ms: u32,
        now: Instant,
    ) -> SendDetails {
        let Some(engine) = self.engines.get(name) else {
            return SendDetails::default();
        };
        let load = Duration::from_millis(u64::from(wait_ms));
        let sources = self.cache_sources(request, now);
        let plan = self.prefill_plan(engine, request, &sources, now);
        let backlog = engine
            .prompts
            .backlog(request.priority, &self.prefill_model, now);
        let required = self.required_version(engine, &request.subject);
        let fetched_version = plan.fetch.map(|source| source.tag.expected());
        let version = required
            .or(fetched_version)
            .or(engine.pinned_version(&request.subject));
        self.record_transfer(name, &key, request, &sources, plan.fetch);
        self.drop_call(&key);
        if let Some(source) = plan.fetch {
            self.lend_cache(source, request, &key);
        }
        if let Some(engine) = self.engines.get_mut(name) {
            let prompts = &mut engine.prompts;
            prompts.add(key.clone(), plan.tokens, request.priority, now.after(load));
            let call = engine.prepare_call(request);
            engine.add_call(key, call);
        }
        SendDetails {
            expected: backlog.max(load) + plan.time,
            fetch: plan.fetch.map(|source| source.address),
            version,
        }
    }
}

/// Details of a sent call for its answer.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SendDetails {
    expected: Duration,
    fetch: Option<SocketAddr>,
    /// Version that the call names.
    version: Option<u64>,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct PlacementCost {
    /// Expected wait for the first token.
    pub(super) wait: Duration,
    /// The wait plus penalties for what the placement costs other calls.
    total: Duration,
    /// Whether the adapter has to be loaded from the store.
    needs_load: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct LoadCost {
    time: Duration,
    penalty: Duration,
    /// Whether this is a new load from the store, not one that is queued or in progress.
    is_new: bool,
}

/// Rendezvous hash of engine and subject. Breaking ties by it leads an adapter to the same engine at equal costs.
fn rendezvous_rank(target: &TargetName, subject: &AdapterName) -> u64 {
    use siphasher::sip::SipHasher13;
    use std::hash::{Hash, Hasher};
    let mut hasher = SipHasher13::new();
    target.as_str().hash(&mut hasher);
    subject.as_str().hash(&mut hasher);
    hasher.finish()
}
