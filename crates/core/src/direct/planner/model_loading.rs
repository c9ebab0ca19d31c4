//! Which engines that hold no base model are given one.
//!
//! A model from the weight store costs as much as dozens of adapters, and a server that came empty is no gain while
//! those that the zone has are half idle. One that keeps a copy of its own loads it for nothing, so it always does.

use crate::{
    direct::{
        catalog::TargetStage,
        engine::{EngineState, OrderKind},
        planner::ZonePlanner,
    },
    ids::{AdapterName, Instant, TargetName},
};

/// Weight of the newest look at how busy the zone is; looks come every 50 ms, so bursts of a second count.
const NEWEST_WEIGHT: f64 = 0.08;

impl ZonePlanner {
    /// Looks how busy the zone's engines are.
    pub(super) fn look_at_load(&mut self, now: Instant) {
        let (mut places, mut calls, mut engines, mut reading) = (0_usize, 0, 0_usize, 0_usize);
        for engine in self.engines.values().filter(|engine| can_serve(engine)) {
            places += engine.entry.slots.max(1) as usize;
            calls += engine.calls.len();
            engines += 1;
            reading += usize::from(!engine.prompts.is_idle(now));
        }
        let newest = if engines == 0 {
            1.0
        } else {
            let taken = calls as f64 / places as f64;
            taken.max(reading as f64 / engines as f64)
        };
        self.busy += (newest - self.busy) * NEWEST_WEIGHT;
    }

    /// Loads the base model into an engine that came empty, if that costs nothing or the zone needs it.
    pub(super) fn fill_empty(&mut self, name: &TargetName, now: Instant) {
        let Some(model) = self.limits.models.first().cloned() else {
            return;
        };
        let may = now >= self.orders_from && now >= self.model_load_at;
        let Some(engine) = self.engines.get(name).filter(|engine| is_idle(engine)) else {
            return;
        };
        let is_unused = engine.local_models.contains(&model);
        if may && (is_unused || self.needs_engines(&model)) {
            self.model_load_at = now.after(self.figures.model_load_interval);
            self.queue_model(name, model);
        }
    }

    fn needs_engines(&self, model: &AdapterName) -> bool {
        let has_one = self
            .engines
            .values()
            .any(|engine| can_serve(engine) && engine.has_model(model.as_str()));
        !has_one || self.busy >= self.policy.busy_fraction
    }

    fn queue_model(&mut self, name: &TargetName, model: AdapterName) {
        if let Some(engine) = self.engines.get_mut(name) {
            engine.queue.push_back((OrderKind::Load, model));
        }
    }
}

fn can_serve(engine: &EngineState) -> bool {
    engine.entry.stage == TargetStage::Ready && !engine.models.is_empty()
}

/// Whether an engine is known to hold no model, and has nothing else to do.
fn is_idle(engine: &EngineState) -> bool {
    engine.is_inventory_known
        && engine.models.is_empty()
        && engine.report_due_at.is_none()
        && engine.pending.is_none()
        && engine.queue.is_empty()
        && !engine.is_reporting
        && engine.entry.stage == TargetStage::Ready
}
