//! Replication of adapters in high demand.
//!
//! By cost alone, an engine that already has the adapter is preferred until its slots are nearly full, and by then each
//! new call waits for a slot. So another copy is loaded elsewhere before that, while no call waits for it.

use crate::{
    direct::{
        catalog::TargetStage,
        engine::{CopyState, EngineState},
        planner::{MAX_LOADING_ADAPTERS, ZonePlanner, split_subject},
    },
    ids::{AdapterName, Instant, TargetName},
};

impl ZonePlanner {
    /// Loads another copy of an adapter that was just requested, if all its engines are crowded by calls for it and the
    /// weight store has capacity to spare.
    pub(super) fn replicate_if_crowded(&mut self, subject: &AdapterName, now: Instant) {
        let has_adapter = split_subject(subject).1.is_some();
        if !has_adapter || now < self.orders_from || !self.slot_queue.is_empty() {
            return;
        }
        let in_flight = self.store_loads_in_flight(now) + self.queued_loads();
        let spare_limit =
            f64::from(self.load_limiter.limit()) * self.policy.speculative_load_fraction;
        if f64::from(in_flight) >= spare_limit || !self.is_crowded_by_adapter(subject, now) {
            return;
        }
        let Some(name) = self.least_loaded_without(subject, now) else {
            return;
        };
        if let Some(engine) = self.engines.get_mut(&name) {
            engine.queue_load(subject, now);
            self.issue_next_order(&name, now);
        }
    }

    /// Whether calls for an adapter occupy so many of the zone's slots that other zones should load it too.
    pub(super) fn is_in_high_demand(&self, subject: &AdapterName) -> bool {
        if split_subject(subject).1.is_none() {
            return false;
        }
        let (mut slots, mut active_calls) = (0, 0);
        for engine in self.engines.values() {
            if engine.entry.stage == TargetStage::Ready {
                slots += engine.entry.slots;
            }
            active_calls += engine
                .copies
                .get(subject)
                .map_or(0, |copy| copy.active_calls);
        }
        f64::from(active_calls) >= f64::from(slots.max(1)) * self.policy.hot_adapter_fraction
    }

    /// Whether every copy is loaded and in use on a crowded engine where it accounts for a large share of the calls.
    fn is_crowded_by_adapter(&self, subject: &AdapterName, now: Instant) -> bool {
        let mut copies = self
            .engines
            .values()
            .filter_map(|engine| Some((engine, engine.copies.get(subject)?)))
            .filter(|(_, copy)| copy.state != CopyState::Unloading)
            .peekable();
        copies.peek().is_some()
            && copies.all(|(engine, copy)| {
                let calls = engine.calls.len().max(1) as f64;
                copy.state == CopyState::Loaded
                    && self.is_crowded(engine, now)
                    && f64::from(copy.active_calls) >= calls * self.policy.crowding_call_fraction
            })
    }

    /// Engine with the fewest calls that could load a copy.
    fn least_loaded_without(&self, subject: &AdapterName, now: Instant) -> Option<TargetName> {
        let (model, _) = split_subject(subject);
        self.engines
            .iter()
            .filter(|(name, engine)| {
                engine.entry.stage == TargetStage::Ready
                    && engine.is_inventory_known
                    && engine.unloading.is_none()
                    && engine.has_model(model)
                    && !engine.copies.contains_key(subject)
                    && engine.queue.len() + engine.loading_count(now) < MAX_LOADING_ADAPTERS
                    && !self.is_crowded(engine, now)
                    && !self.health.is_degraded(name)
                    && !self.health.is_unreachable(name, now)
                    && self.can_make_room(engine, now)
            })
            .min_by_key(|(_, engine)| (engine.calls.len(), engine.copies.len()))
            .map(|(name, _)| name.clone())
    }

    fn is_crowded(&self, engine: &EngineState, now: Instant) -> bool {
        let slots = f64::from(engine.entry.slots.max(1));
        engine.calls.len() as f64 >= slots * self.policy.crowded_slot_fraction
            || engine.prompts.backlog(u8::MAX, &self.prefill_model, now)
                >= self.policy.crowded_backlog
    }
}
