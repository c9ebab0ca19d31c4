//! Admission of calls that find no adapter slot, and the zone's free slots.
//!
//! A call that the zone takes waits in the zone's queue for the next slot that is freed at any engine, if it is expected
//! to get one within its bound. A load is assigned to an engine only when its order can be sent at once. Otherwise it
//! would occupy a slot of an engine whose order is unanswered, while another engine could serve the call.

use crate::{
    direct::{
        catalog::TargetStage,
        engine::{CopyState, EngineState},
        planner::{
            CallKey, MAX_LOADING_ADAPTERS, PlacementRequest, PlacementTerms, PlannerAction,
            RETRY_AFTER_MS, RefusalCause, SlotWait, SlotWaitEnd, ZonePlanner, millis,
            slot_queue::QueuedCall, split_subject,
        },
        shortage::ServiceShortage,
    },
    ids::{AdapterName, Instant, TargetName},
};
use std::time::Duration;

/// Adapters for which an engine is searched after an event. Engines differ little in the adapters that they can load,
/// so the first ones find none only if their calls exclude the engines that are free.
const MAX_TRIED_ADAPTERS: usize = 4;
/// Adapters at the front of the queue among which one that can be reloaded goes first. It delays the others by the tenth of a
/// load each, and the share of the longest waiting bounds how often that happens to one of them.
const MAX_RELOADS_AHEAD: usize = 8;
/// Fraction of the time that the objective leaves beside load and prompt, for which a call may wait for a slot. A call
/// that arrives before its load has ended waits again for about the other half.
const PROMPT_WAIT_FRACTION: f64 = 0.5;

impl ZonePlanner {
    /// Lets a call wait for an adapter slot, or refuses it if no engine can load its adapter within its bound.
    pub(super) fn wait_for_slot(&mut self, key: CallKey, request: PlacementRequest, now: Instant) {
        let admission = self.policy.admission;
        let Some(admission) = admission.filter(|_| self.may_load_later(&request, now)) else {
            self.refuse(key, RETRY_AFTER_MS, RefusalCause::NoEngine);
            return;
        };
        self.slot_queue.advance(now);
        let load = self.expected_load(&request, now);
        let call = self.queued_call(key, request, load, now);
        let known_wait = self.slot_queue.expected_wait(&call, admission, now);
        let held = self
            .load_hold_remaining(now)
            .max(self.orders_from.since(now));
        let wait = known_wait.unwrap_or_default().max(held) + load;
        if call.request.terms != PlacementTerms::Take {
            let cause = RefusalCause::Offer(millis(wait + self.policy.load_penalty));
            self.refuse(call.key, RETRY_AFTER_MS, cause);
            return;
        }
        if now.after(wait) > call.until {
            let rank = call.request.priority;
            self.slot_queue.record_outcome(rank, false);
            self.refuse(call.key, millis(wait), RefusalCause::TooLong(millis(wait)));
            return;
        }
        self.slot_queue.push(call, now);
        // While the rate is unknown, one call for each engine waits, which each engine's next free slot serves.
        let limit = if known_wait.is_some() {
            admission.max_queued
        } else {
            admission.max_queued.min(self.serving_engines(now).count())
        };
        let reserved = (limit as f64 * (1.0 - admission.urgent_share)) as usize;
        if self.slot_queue.len() > limit
            && let Some(last) = self.slot_queue.remove_last(reserved, now)
        {
            self.refuse_queued(last, SlotWaitEnd::Displaced, now);
        }
    }

    fn queued_call(
        &self,
        key: CallKey,
        request: PlacementRequest,
        load: Duration,
        now: Instant,
    ) -> QueuedCall {
        let bound = Duration::from_millis(u64::from(request.bound_ms));
        // Gateways state the longest wait for the rank, which is a multiple of the objective.
        let factors = &self.policy.max_wait_factors;
        let factor = factors[usize::from(request.priority).min(factors.len() - 1)];
        let objective = bound.div_f64(factor.max(1.0));
        let prefill = self.prefill_model.expected_time(request.prompt_tokens);
        let until = now.after(bound);
        let slack = objective
            .saturating_sub(load + prefill)
            .mul_f64(PROMPT_WAIT_FRACTION);
        QueuedCall {
            key,
            request,
            queued_at: now,
            until,
            prompt_by: now.after(slack),
            load_by: until.before(load),
        }
    }

    /// Refuses a call that has waited, with the wait that it would have now.
    fn refuse_queued(&mut self, call: QueuedCall, end: SlotWaitEnd, now: Instant) {
        self.record_slot_wait(&call, end, now);
        let admission = self.policy.admission.unwrap_or_default();
        let mut request = call.request;
        request.bound_ms = millis(call.until.since(call.queued_at));
        let load = self.expected_load(&request, now);
        let repeated = self.queued_call(call.key, request, load, now);
        let wait = self
            .slot_queue
            .expected_wait(&repeated, admission, now)
            .unwrap_or(Duration::from_millis(u64::from(RETRY_AFTER_MS)));
        let wait_ms = millis(wait + load);
        self.refuse(repeated.key, wait_ms, RefusalCause::TooLong(wait_ms));
    }

    fn record_slot_wait(&mut self, call: &QueuedCall, end: SlotWaitEnd, now: Instant) {
        let wait = SlotWait {
            key: call.key.clone(),
            subject: call.request.subject.clone(),
            rank: call.request.priority,
            waited: now.since(call.queued_at),
            end,
        };
        let is_placed = end == SlotWaitEnd::Placed;
        self.slot_queue.record_outcome(wait.rank, is_placed);
        self.actions
            .push_back(PlannerAction::RecordSlotWait(Box::new(wait)));
    }

    /// Whether an engine that serves calls could load the adapter of a call once it has a free slot.
    fn may_load_later(&self, request: &PlacementRequest, now: Instant) -> bool {
        let (model, adapter) = split_subject(&request.subject);
        adapter.is_some()
            && request.may_load
            && self.orders_from < Instant(u64::MAX)
            && self
                .serving_engines(now)
                .any(|(name, engine)| engine.has_model(model) && request.allows(name))
    }

    /// Expected time of a load: that of a reload if an engine has held the adapter recently.
    fn expected_load(&self, request: &PlacementRequest, now: Instant) -> Duration {
        let is_recent = self
            .serving_engines(now)
            .any(|(_, engine)| self.reloads_quickly(engine, &request.subject));
        if is_recent {
            self.estimates.reload_time
        } else {
            self.load_limiter.summary().expected_time
        }
    }

    /// Whether an engine can be sent the order to load an adapter, or to evict another one for it, at once.
    pub(super) fn can_start_load(
        &self,
        engine: &EngineState,
        subject: &AdapterName,
        loads_ahead: u32,
        now: Instant,
    ) -> bool {
        self.takes_orders(engine, now)
            && (loads_ahead < self.load_limiter.limit() || self.reloads_quickly(engine, subject))
    }

    /// Whether an engine takes a load order now, apart from the limit of the weight store.
    fn takes_orders(&self, engine: &EngineState, now: Instant) -> bool {
        engine.pending.is_none()
            && engine.unloading.is_none()
            && engine.is_inventory_known
            && !engine.is_reporting
            && engine.queue.is_empty()
            && engine.loading_count(now) < MAX_LOADING_ADAPTERS
            && self.load_hold_remaining(now).is_zero()
            && self.free_adapter_slots(engine, now) > 0
    }

    /// Sends waiting calls whose adapter an engine has by now.
    pub(super) fn send_loaded(&mut self, now: Instant) {
        for subject in self.slot_queue.subjects_in_order(now) {
            let mut copies = self.engines.values();
            if copies.any(|engine| engine.copies.contains_key(&subject)) {
                self.serve_group(&subject, now);
            }
        }
    }

    /// Gives the slots that are free to the calls that wait for one.
    pub(super) fn serve_queue(&mut self, now: Instant) {
        let share = self.policy.admission.unwrap_or_default().urgent_share;
        while !self.slot_queue.is_empty() && now >= self.orders_from {
            let loads = self.store_loads_in_flight(now) + self.queued_loads();
            let is_at_limit = loads >= self.load_limiter.limit();
            let free: Vec<_> = self
                .serving_engines(now)
                .map(|(_, engine)| engine)
                .filter(|engine| self.takes_orders(engine, now))
                .collect();
            if free.is_empty() {
                return;
            }
            let (mut subjects, is_longest_due) = self.slot_queue.next_subjects(now);
            let first = subjects[0].clone();
            // Calls that exclude every free engine must not keep the slots from those behind them.
            subjects.retain(|subject| {
                let first = self.slot_queue.first_for(subject);
                first.is_some_and(|call| free.iter().any(|engine| call.allows(engine)))
            });
            if !is_longest_due {
                self.prefer_reloads(&mut subjects, &free);
            }
            if is_at_limit {
                // An engine reloads an adapter that it held recently without the weight store.
                subjects.retain(|subject| {
                    free.iter()
                        .any(|engine| self.reloads_quickly(engine, subject))
                });
            }
            let mut tried = subjects.iter().take(MAX_TRIED_ADAPTERS);
            let served = tried.find_map(|subject| {
                let rank = self.serve_group(subject, now)?;
                Some((rank, is_longest_due && *subject == first))
            });
            let Some((rank, is_longest)) = served else {
                return;
            };
            self.slot_queue.record_given(rank, is_longest, share);
        }
    }

    /// Moves an adapter to the front that an engine with a free slot reloads from its memory, if calls of the same rank wait
    /// for it shortly behind the first. A reload holds its slot for a tenth of the time of a load.
    fn prefer_reloads(&self, subjects: &mut Vec<AdapterName>, free: &[&EngineState]) {
        let first_call = |subject: &AdapterName| self.slot_queue.first_for(subject);
        let Some(first_rank) = subjects.first().and_then(first_call) else {
            return;
        };
        let first_rank = first_rank.request.priority;
        let mut next = subjects.iter().take(MAX_RELOADS_AHEAD);
        let reload = next.position(|subject| {
            let mut engines = free.iter();
            first_call(subject).is_some_and(|call| {
                call.request.priority == first_rank
                    && engines
                        .any(|engine| self.reloads_quickly(engine, subject) && call.allows(engine))
            })
        });
        if let Some(index) = reload.filter(|index| *index > 0) {
            let subject = subjects.remove(index);
            subjects.insert(0, subject);
        }
    }

    /// Places the calls that wait for an adapter, if an engine can serve them now. Returns the rank of the most urgent.
    fn serve_group(&mut self, subject: &AdapterName, now: Instant) -> Option<u8> {
        let rank = loop {
            let first = self.slot_queue.first_for(subject)?;
            let (key, request) = (first.key.clone(), first.request.clone());
            let until = first.until;
            let (_, cost) = self.cheapest(&request, now)?;
            if now.after(cost.wait) <= until {
                break request.priority;
            }
            // The engine's prompts would make the call late, but one with a longer bound may be in time.
            let late = self.slot_queue.remove(&key, now)?;
            self.refuse_queued(late, SlotWaitEnd::Expired, now);
        };
        for call in self.slot_queue.take(subject, now) {
            self.record_slot_wait(&call, SlotWaitEnd::Placed, now);
            let mut request = call.request;
            request.bound_ms = millis(call.until.since(now));
            self.try_place(call.key, request, now);
        }
        Some(rank)
    }

    /// Refuses the waiting calls for which a load would end after their bound.
    pub(super) fn expire_queued(&mut self, now: Instant) {
        for call in self.slot_queue.remove_expired(now) {
            self.refuse_queued(call, SlotWaitEnd::Expired, now);
        }
    }

    /// Free capacity and expected waits of the zone's engines.
    #[must_use]
    pub fn shortage(&self, now: Instant) -> ServiceShortage {
        let engines: Vec<_> = self.serving_engines(now).collect();
        let free_adapter_slots = engines
            .iter()
            .map(|(_, engine)| self.free_adapter_slots(engine, now))
            .sum();
        let free_call_slots = engines.iter().map(|(_, engine)| {
            let calls = engine.calls_in_flight();
            engine.entry.slots.saturating_sub(calls)
        });
        let backlogs = engines
            .iter()
            .map(|(_, engine)| engine.prompts.backlog(u8::MAX, &self.prefill_model, now));
        let loads = self.load_limiter.summary();
        let slot_wait = if free_adapter_slots > 0 && self.slot_queue.is_empty() {
            Duration::ZERO
        } else {
            let unknown = Duration::from_millis(u64::from(RETRY_AFTER_MS));
            self.slot_queue.wait_behind_all(now).unwrap_or(unknown)
        };
        let held = self
            .load_hold_remaining(now)
            .max(self.orders_from.since(now));
        ServiceShortage {
            free_adapter_slots,
            free_call_slots: free_call_slots.sum(),
            queued_calls: self.queued_calls(),
            engines: u32::try_from(engines.len()).unwrap_or(u32::MAX),
            load_wait_ms: millis((slot_wait + loads.expected_time).max(held)),
            prompt_wait_ms: millis(backlogs.min().unwrap_or_default()),
            load_limit: loads.limit,
            load_ms: millis(loads.expected_time),
        }
    }

    /// Calls that wait for an adapter slot.
    #[must_use]
    pub fn queued_calls(&self) -> u32 {
        u32::try_from(self.slot_queue.len()).unwrap_or(u32::MAX)
    }

    /// Engines that take calls and can be reached.
    pub(super) fn serving_engines(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = (&TargetName, &EngineState)> {
        self.engines.iter().filter(move |(name, engine)| {
            engine.entry.stage == TargetStage::Ready && !self.health.is_unreachable(name, now)
        })
    }

    /// Adapter slots of an engine that are empty or hold an adapter that no call uses.
    fn free_adapter_slots(&self, engine: &EngineState, now: Instant) -> u32 {
        let used = engine
            .copies
            .values()
            .filter(|copy| copy.state != CopyState::Loaded || !copy.is_unused(now));
        let used = used.count() + engine.late_load_slots(now);
        let used = u32::try_from(used).unwrap_or(u32::MAX);
        self.limits.adapter_slots.saturating_sub(used)
    }
}
