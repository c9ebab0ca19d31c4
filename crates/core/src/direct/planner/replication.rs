//! Second copies of adapters that crowd their engines.
//!
//! A copy that is sought after is cheaper than another one until its engine's places are nearly full, and by then each
//! newcomer waits for a place. So a copy is brought in elsewhere before that, while nobody waits for it.

use crate::{
    direct::{
        catalog::TargetStage,
        engine::{CopyState, EngineState},
        planner::{COMING_MOST, ZonePlanner, split_subject},
    },
    ids::{AdapterName, Instant, TargetName},
};

impl ZonePlanner {
    /// Brings in another copy of an adapter that was just asked for, if all engines that have it are crowded by it.
    pub(super) fn spread(&mut self, subject: &AdapterName, now: Instant) {
        if split_subject(subject).1.is_none() || now < self.orders_from {
            return;
        }
        let under_way = self.store_loads_in_flight(now) + self.loads_waiting();
        let spare = f64::from(self.loads.limit()) * self.policy.speculative_load_fraction;
        if f64::from(under_way) >= spare || !self.is_crowded_by(subject, now) {
            return;
        }
        let Some(name) = self.calmest_without(subject, now) else {
            return;
        };
        if let Some(engine) = self.engines.get_mut(&name) {
            engine.queue_load(subject, now);
            self.advance(&name, now);
        }
    }

    /// Whether calls for one adapter take so much of the zone that others should have it too.
    pub(super) fn is_sought(&self, subject: &AdapterName) -> bool {
        if split_subject(subject).1.is_none() {
            return false;
        }
        let (mut places, mut active_calls) = (0, 0);
        for engine in self.engines.values() {
            if engine.entry.stage == TargetStage::Ready {
                places += engine.entry.slots;
            }
            active_calls += engine
                .copies
                .get(subject)
                .map_or(0, |copy| copy.active_calls);
        }
        f64::from(active_calls) >= f64::from(places.max(1)) * self.policy.hot_adapter_fraction
    }

    /// Whether every copy is there, in use, and on an engine that it crowds.
    fn is_crowded_by(&self, subject: &AdapterName, now: Instant) -> bool {
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

    /// The engine with the fewest calls that could take a copy.
    fn calmest_without(&self, subject: &AdapterName, now: Instant) -> Option<TargetName> {
        let (model, _) = split_subject(subject);
        self.engines
            .iter()
            .filter(|(name, engine)| {
                engine.entry.stage == TargetStage::Ready
                    && engine.is_inventory_known
                    && engine.unloading.is_none()
                    && engine.has_model(model)
                    && !engine.copies.contains_key(subject)
                    && engine.queue.len() + engine.loading_count(now) < COMING_MOST
                    && !self.is_crowded(engine, now)
                    && !self.health.is_degraded(name)
                    && !self.health.is_unreachable(name, now)
                    && self.can_make_room(engine, now)
            })
            .min_by_key(|(_, engine)| (engine.calls.len(), engine.copies.len()))
            .map(|(name, _)| name.clone())
    }

    fn is_crowded(&self, engine: &EngineState, now: Instant) -> bool {
        let places = f64::from(engine.entry.slots.max(1));
        engine.calls.len() as f64 >= places * self.policy.crowded_slot_fraction
            || engine.prompts.backlog(u8::MAX, &self.pace, now) >= self.policy.crowded_backlog
    }
}
