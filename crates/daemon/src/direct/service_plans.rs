//! The plans of a zone's holder: one planner for each service with engines.
//!
//! Services may have the same base model, and a call runs only at targets of its own service. So each service has a
//! planner that knows the targets of this service alone. Events of calls and engines are offered to all plans: a call
//! and a target are known to at most one of them, and the others pass them over.

use crate::{event, events::Event};
use hoplanding_core::{
    direct::{
        config::EngineLimits,
        engine_services::EngineServices,
        load_limiter::LoadSummary,
        planner::{EngineEstimates, PlacementRequest, ZonePlanner},
        policy::PlacementPolicy,
        shortage::{ServiceReport, SpareSlots, report_round},
        suspects::SuspectTable,
    },
    ids::{Instant, ServiceName, TargetLife, TargetName},
};
use std::{
    collections::{BTreeMap, HashMap, HashSet},
    time::Duration,
};

/// Interval of the log line about calls that wait for adapter slots.
const SLOT_QUEUE_LOG_INTERVAL: Duration = Duration::from_secs(5);
/// Time without waiting calls after which the wait counts as over, so that short waits share one log line.
const SLOT_QUEUE_EMPTY_TIME: Duration = Duration::from_secs(1);

/// How the planner of a service starts.
#[derive(Clone, Copy, Debug)]
pub struct PlanStart {
    /// Number of zones that load from the weight store.
    pub zones: u32,
    /// Time before which no order is sent.
    pub orders_from: Instant,
    /// Time until which an earlier holder may have sent orders to the engines; `None` if there was none.
    pub taken_over_at: Option<Instant>,
    /// Whether the lease is about to be released, so that no order is sent at all.
    pub is_yielding: bool,
    /// Weights and limits of placement decisions.
    pub policy: PlacementPolicy,
}

/// The plan of one service.
pub struct ServicePlan {
    /// Planner of the service's engines in this zone.
    pub planner: ZonePlanner,
    /// The summary of loads from the weight store that was last logged.
    logged_loads: LoadSummary,
    /// Revision of the suspects that the planner has.
    suspects_revision: Option<u64>,
    /// The number of adapters that engines reload quickly that was last logged; none at the start.
    logged_kept: Option<usize>,
    /// When calls last waited for an adapter slot, and when that was last logged.
    slot_queue_log: Option<(Instant, Instant)>,
    /// Slots that have stayed free.
    spare_slots: SpareSlots,
    /// Number of the last report of the zone's free capacity.
    reported_round: u64,
}

impl ServicePlan {
    fn new(limits: &EngineLimits, start: PlanStart) -> Self {
        let scarcity = start.policy.for_engines(limits).scarcity;
        let estimates =
            EngineEstimates::per_zone(start.zones, limits.loads_per_s).with_scarcity(&scarcity);
        let mut planner = ZonePlanner::new(estimates, limits.clone(), start.orders_from);
        if let Some(at) = start.taken_over_at {
            planner.mark_takeover(at);
        }
        if start.is_yielding {
            planner.stop_orders();
        }
        Self {
            planner,
            logged_loads: LoadSummary::default(),
            suspects_revision: None,
            logged_kept: None,
            slot_queue_log: None,
            spare_slots: SpareSlots::default(),
            reported_round: 0,
        }
    }

    /// Observes the zone's free capacity; returns a report of it once in each round.
    fn observe_shortage(&mut self, service: &ServiceName, now: Instant) -> Option<ServiceReport> {
        let shortage = self.planner.shortage(now);
        self.spare_slots.record(&shortage, now);
        let round = report_round(now);
        let is_due = self.reported_round != round;
        self.reported_round = round;
        is_due.then(|| self.spare_slots.report(service, shortage, round))
    }

    /// Whether the plan has been added and knows no suspects yet.
    #[must_use]
    pub fn is_new(&self) -> bool {
        self.suspects_revision.is_none()
    }

    /// Logs that calls wait for adapter slots, at intervals, and that none has waited for some time.
    fn log_slot_queue(&mut self, service: &ServiceName, now: Instant) {
        let waiting = self.planner.queued_calls();
        if waiting > 0 {
            let logged_at = self.slot_queue_log.map(|(_, at)| at);
            let is_due = logged_at.is_none_or(|at| now.since(at) >= SLOT_QUEUE_LOG_INTERVAL);
            if is_due {
                let shortage = self.planner.shortage(now);
                event!(
                    Event::SlotQueueInUse,
                    "{service}: {waiting} calls at {} engines with {} free slots, {} ms for a new adapter, at most {} loads",
                    shortage.engines,
                    shortage.free_adapter_slots,
                    shortage.load_wait_ms,
                    shortage.load_limit
                );
            }
            let logged_at = logged_at.filter(|_| !is_due).unwrap_or(now);
            self.slot_queue_log = Some((now, logged_at));
        } else if let Some((waited_at, _)) = self.slot_queue_log
            && now.since(waited_at) >= SLOT_QUEUE_EMPTY_TIME
        {
            event!(Event::SlotQueueEmpty, "{service}");
            self.slot_queue_log = None;
        }
    }

    /// Logs the estimates about loads from the weight store, and about reloads, if they have changed.
    fn log_load_changes(&mut self, service: &ServiceName) {
        let kept = self.planner.kept_adapters();
        if *self.logged_kept.get_or_insert(kept) != kept {
            self.logged_kept = Some(kept);
            event!(
                Event::KeptAdaptersLearned,
                "{service}: {kept} adapters at each engine"
            );
        }
        let summary = self.planner.load_limiter().summary();
        if summary.differs_notably(&self.logged_loads) {
            self.logged_loads = summary;
            event!(
                Event::LoadLimitChanged,
                "{service}: at most {} at once, {:?} expected each, {:?} without concurrent loads",
                summary.limit,
                summary.expected_time,
                summary.uncontended_time
            );
        }
    }
}

/// The plans of all services with engines, in the order of the services' names.
#[derive(Default)]
pub struct ServicePlans {
    services: EngineServices,
    plans: BTreeMap<ServiceName, ServicePlan>,
    /// When the plans of services were dropped. Their orders may be carried out late, so a plan of the same service that
    /// follows starts like that of a new holder.
    dropped_at: HashMap<ServiceName, Instant>,
    /// Targets with an unanswered order of a plan that was dropped.
    retired_orders: HashSet<(TargetName, TargetLife)>,
}

impl ServicePlans {
    /// Adds and drops plans so that each of these services has one, and sets the capacity of their engines. Returns the
    /// services whose plan was dropped.
    pub fn set_services(
        &mut self,
        services: EngineServices,
        start: PlanStart,
        now: Instant,
    ) -> HashSet<ServiceName> {
        let mut dropped_services: HashSet<_> = self.plans.keys().cloned().collect();
        dropped_services.retain(|service| !services.contains(service));
        for service in &dropped_services {
            let Some(plan) = self.plans.remove(service) else {
                continue;
            };
            event!(
                Event::ServicePlanChanged,
                "{service} has engines no longer, {} targets",
                plan.planner.engines().len()
            );
            self.dropped_at.insert(service.clone(), now);
            let engines = plan.planner.engines().values();
            let ordered = engines.filter(|engine| engine.pending.is_some());
            let ordered = ordered.map(|engine| (engine.entry.name.clone(), engine.entry.life));
            self.retired_orders.extend(ordered);
        }
        for (service, limits) in services.iter() {
            let plan = self.plans.entry(service.clone()).or_insert_with(|| {
                event!(
                    Event::ServicePlanChanged,
                    "{service} has engines, orders from {:?}",
                    start.orders_from
                );
                let dropped_at = self.dropped_at.get(service).copied();
                let taken_over_at = start.taken_over_at.max(dropped_at);
                ServicePlan::new(
                    limits,
                    PlanStart {
                        taken_over_at,
                        ..start
                    },
                )
            });
            plan.planner.set_limits(limits.clone());
        }
        self.services = services;
        dropped_services
    }

    /// The service that a request is for, with its plan.
    pub fn plan_for(
        &mut self,
        request: &PlacementRequest,
    ) -> Option<(&ServiceName, &mut ServicePlan)> {
        let service = self.services.service_of(request)?;
        Some((service, self.plans.get_mut(service)?))
    }

    /// All plans with their services.
    pub fn iter(&self) -> impl Iterator<Item = (&ServiceName, &ServicePlan)> {
        self.plans.iter()
    }

    /// All plans with their services, to be changed.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (&ServiceName, &mut ServicePlan)> {
        self.plans.iter_mut()
    }

    /// The planners of all services.
    pub fn planners(&mut self) -> impl Iterator<Item = &mut ZonePlanner> {
        self.plans.values_mut().map(|plan| &mut plan.planner)
    }

    /// The planner that knows this life of a target as the current one.
    pub fn planner_of(
        &mut self,
        target: &TargetName,
        life: TargetLife,
    ) -> Option<&mut ZonePlanner> {
        let mut planners = self.planners();
        planners.find(|planner| planner.is_current_life(target, life))
    }

    /// Records the answer to an order; returns whether it was an order of a dropped plan.
    pub fn retire_order(&mut self, target: &TargetName, life: TargetLife) -> bool {
        self.retired_orders.remove(&(target.clone(), life))
    }

    /// Whether any order is unanswered, also of plans that were dropped.
    #[must_use]
    pub fn has_pending_orders(&self) -> bool {
        let mut plans = self.plans.values();
        !self.retired_orders.is_empty() || plans.any(|plan| plan.planner.has_pending_orders())
    }

    /// Copies the suspected requests to the planners that have an older revision.
    pub fn sync_suspects(&mut self, suspects: &SuspectTable) {
        let revision = suspects.revision();
        for plan in self.plans.values_mut() {
            if plan.suspects_revision != Some(revision) {
                plan.suspects_revision = Some(revision);
                plan.planner.set_suspects(suspects.clone());
            }
        }
    }

    /// Reports of the zone's free capacity that are due, one for each service.
    pub fn due_reports(&mut self, now: Instant) -> Vec<ServiceReport> {
        let plans = self.plans.iter_mut();
        let reports = plans.filter_map(|(service, plan)| plan.observe_shortage(service, now));
        reports.collect()
    }

    /// Calls that wait for an adapter slot, over all services.
    #[must_use]
    pub fn queued_calls(&self) -> u32 {
        let plans = self.plans.values();
        plans.map(|plan| plan.planner.queued_calls()).sum()
    }

    /// Runs the periodic work of all plans.
    pub fn tick(&mut self, now: Instant) {
        for (service, plan) in &mut self.plans {
            plan.planner.tick(now);
            plan.log_load_changes(service);
            plan.log_slot_queue(service, now);
        }
    }
}
