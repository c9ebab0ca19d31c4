//! Adapter slots and call slots of the zone that are free now.

use crate::{
    direct::{
        catalog::TargetStage,
        engine::{CopyState, EngineState},
        planner::{RETRY_AFTER_MS, ZonePlanner, millis},
        shortage::ServiceShortage,
    },
    ids::{Instant, TargetName},
};
use std::time::Duration;

impl ZonePlanner {
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
        let slot_wait = if free_adapter_slots > 0 {
            Duration::ZERO
        } else {
            Duration::from_millis(u64::from(RETRY_AFTER_MS))
        };
        let held = self
            .load_hold_remaining(now)
            .max(self.orders_from.since(now));
        ServiceShortage {
            free_adapter_slots,
            free_call_slots: free_call_slots.sum(),
            queued_calls: 0,
            engines: u32::try_from(engines.len()).unwrap_or(u32::MAX),
            load_wait_ms: millis((slot_wait + loads.expected_time).max(held)),
            prompt_wait_ms: millis(backlogs.min().unwrap_or_default()),
            load_limit: loads.limit,
            load_ms: millis(loads.expected_time),
        }
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
