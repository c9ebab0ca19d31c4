//! Loading of the base model into engines that hold none.
//!
//! Loading a base model from the weight store costs as much as loading dozens of adapters, and another engine gains
//! nothing while the zone's engines are half idle. So an empty engine loads from the store only if the zone needs it.
//! An engine with a local copy of the model puts no load on the store and always loads it.

use crate::{
    direct::{
        catalog::TargetStage,
        engine::{EngineState, OrderKind},
        planner::ZonePlanner,
    },
    ids::{AdapterName, Instant, TargetName},
};

/// Weight of the newest sample in the moving average of the utilization. Samples are taken every 50 ms, so bursts of a
/// second count.
const SAMPLE_WEIGHT: f64 = 0.08;

impl ZonePlanner {
    /// Samples the utilization of the zone: the larger of the fraction of slots in use and of engines that read a
    /// prompt.
    pub(super) fn update_utilization(&mut self, now: Instant) {
        let (mut slots, mut calls, mut engines, mut reading) = (0_usize, 0, 0_usize, 0_usize);
        for engine in self.engines.values().filter(|engine| can_serve(engine)) {
            slots += engine.entry.slots.max(1) as usize;
            calls += engine.calls.len();
            engines += 1;
            reading += usize::from(!engine.prompts.is_idle(now));
        }
        let newest = if engines == 0 {
            1.0
        } else {
            let occupied = calls as f64 / slots as f64;
            occupied.max(reading as f64 / engines as f64)
        };
        self.utilization += (newest - self.utilization) * SAMPLE_WEIGHT;
    }

    /// Queues the base model load for an empty engine, if the engine has a local copy or the zone needs the engine.
    pub(super) fn load_base_model(&mut self, name: &TargetName, now: Instant) {
        let Some(model) = self.limits.models.first().cloned() else {
            return;
        };
        let can_load = now >= self.orders_from && now >= self.next_model_load_at;
        let Some(engine) = self.engines.get(name).filter(|engine| is_idle(engine)) else {
            return;
        };
        let is_local = engine.local_models.contains(&model);
        if can_load && (is_local || self.needs_engine(&model)) {
            self.next_model_load_at = now.after(self.estimates.model_load_interval);
            self.queue_model(name, model);
        }
    }

    fn needs_engine(&self, model: &AdapterName) -> bool {
        let has_serving_engine = self
            .engines
            .values()
            .any(|engine| can_serve(engine) && engine.has_model(model.as_str()));
        !has_serving_engine || self.utilization >= self.policy.busy_fraction
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

/// Whether an engine is known to hold no model and has no order, queue or report outstanding.
fn is_idle(engine: &EngineState) -> bool {
    engine.is_inventory_known
        && engine.models.is_empty()
        && engine.report_due_at.is_none()
        && engine.pending.is_none()
        && engine.queue.is_empty()
        && !engine.is_reporting
        && engine.entry.stage == TargetStage::Ready
}
