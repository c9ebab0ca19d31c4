//! What the choice of a zone for a call weighs, and what leaves this VM's zone.

use crate::{
    clock,
    direct::{call::CallState, metrics::DepartureCause},
    event,
    events::Event,
};
use hoplanding_core::{
    direct::{
        catalog::TargetEntry,
        planner::split_subject,
        search::{ZoneQuery, ZoneSearch},
        shortage::ServiceReport,
        zone_choice::{ChoiceKnowledge, ChoiceSubject, RemoteAllowance, ZoneProspect, rank_zones},
    },
    ids::AvailabilityZone,
};
use std::time::Duration;

/// Why a call that its first zone or another one took goes there.
pub(super) fn departure_cause(
    query: &ZoneQuery,
    prospect: Option<&ZoneProspect>,
) -> DepartureCause {
    match prospect {
        Some(prospect) if prospect.has_adapter => DepartureCause::Adapter,
        _ if query.zone == 0 => DepartureCause::Home,
        _ => DepartureCause::Wait,
    }
}

impl CallState {
    /// Starts the search for a zone; returns the zones in the order in which it refers to them.
    pub(super) fn start_search(&self) -> (Vec<AvailabilityZone>, ZoneSearch) {
        let zones = self.ordered_zones();
        let Some(prospects) = self.prospects(&zones) else {
            let policy = self.context.fleet.tables().policy;
            let mut search = ZoneSearch::new(policy, zones.len());
            let engine = self.service.engine.as_ref();
            let policy = engine.map_or(policy, |limits| policy.for_engines(limits));
            // A zone with a queue for its slots has refused for longer than a further pass would wait.
            if policy.admission.is_some() {
                search = search.ending_when_short();
            }
            return (zones, search);
        };
        let zones = prospects.iter().map(|zone| zone.zone.clone()).collect();
        let policy = self.context.fleet.tables().policy;
        (zones, ZoneSearch::with_prospects(policy, prospects))
    }

    /// Ranks the zones by their reports; `None` if this VM does not choose by reports.
    fn prospects(&self, zones: &[AvailabilityZone]) -> Option<Vec<ZoneProspect>> {
        let fleet = &self.context.fleet;
        let rule = fleet.zone_choice.as_ref()?;
        if !rule.weighs_engines {
            return None;
        }
        let subject = self.subject();
        let tables = fleet.tables();
        let named = tables.versions.get(&subject).copied();
        let version = named.filter(|_| split_subject(&subject).1.is_some());
        let mut listed_zones = Vec::new();
        for entry in tables.catalog.ready(&self.service.name) {
            let is_usable = !self.tried.contains(&entry.name) && entry.lists(&subject, version);
            if is_usable && !listed_zones.contains(&&entry.zone) {
                listed_zones.push(&entry.zone);
            }
        }
        let zones: Vec<_> = zones
            .iter()
            .map(|zone| {
                let position = tables.position_outside(zone, &fleet.vm);
                (zone.clone(), listed_zones.contains(&zone), position)
            })
            .collect();
        let answer_bytes = tables.answer_sizes.expected(&self.service.name);
        let call = ChoiceSubject {
            service: &self.service.name,
            own_zone: &fleet.zone,
            bytes: self.body.len() as u64 + answer_bytes,
            load_penalty: tables.policy.load_penalty,
        };
        let known = ChoiceKnowledge {
            rule,
            reports: &tables.shortages,
            allowance: &tables.allowance,
        };
        Some(rank_zones(&zones, &call, &known, clock::now()))
    }

    /// Cost of serving the call in another zone; `None` if this VM does not weigh it.
    pub(super) fn transfer_cost(&self) -> Option<Duration> {
        let fleet = &self.context.fleet;
        let rule = fleet.zone_choice.as_ref()?;
        let answer_bytes = fleet.tables().answer_sizes.expected(&self.service.name);
        Some(rule.transfer_cost(self.body.len() as u64 + answer_bytes))
    }

    /// Whether the newest report of a zone still shows a slot for the call.
    pub(super) fn may_still_ask(&self, prospect: Option<&ZoneProspect>) -> bool {
        prospect.is_none_or(|prospect| {
            let tables = self.context.fleet.tables();
            prospect.is_still_able(&tables.shortages, &self.service.name, clock::now())
        })
    }

    /// Takes a slot of those that a zone leaves to callers of other zones, while the zone is asked.
    pub(super) fn take_remote_slot(&self, prospect: Option<&ZoneProspect>) {
        self.update_allowance(prospect, RemoteAllowance::take);
    }

    /// Returns the slot after the zone did not take the call.
    pub(super) fn give_back_remote_slot(&self, prospect: Option<&ZoneProspect>) {
        self.update_allowance(prospect, RemoteAllowance::give_back);
    }

    fn update_allowance(
        &self,
        prospect: Option<&ZoneProspect>,
        update: fn(&mut RemoteAllowance, &AvailabilityZone, &ServiceReport, bool),
    ) {
        let Some(prospect) = prospect.filter(|prospect| prospect.uses_allowance) else {
            return;
        };
        let mut tables = self.context.fleet.tables();
        let tables = &mut *tables;
        let zone = &prospect.zone;
        let reports = &tables.shortages;
        if let Some(report) = reports.report(zone, &self.service.name, clock::now()) {
            update(&mut tables.allowance, zone, report, !prospect.has_adapter);
        }
    }

    /// Logs and counts a call that goes to a target outside this VM's zone.
    pub(super) fn record_departure(&self, entry: &TargetEntry, cause: DepartureCause) {
        let fleet = &self.context.fleet;
        if fleet.zone_choice.is_none() || entry.zone == fleet.zone {
            return;
        }
        fleet.metrics.count_departure(cause);
        event!(Event::CallLeftZone, request = self.head.id; "to {} in {}, {cause:?}, {} bytes",
            entry.name,
            entry.zone,
            self.body.len()
        );
    }

    /// Logs and counts a call of a plain service that goes to a target outside this VM's zone.
    pub(super) fn record_plain_departure(&self, entry: &TargetEntry) {
        let fleet = &self.context.fleet;
        let has_own_target = {
            let tables = fleet.tables();
            let mut ready = tables.catalog.ready(&self.service.name);
            ready.any(|target| target.zone == fleet.zone)
        };
        let cause = if has_own_target {
            DepartureCause::Wait
        } else {
            DepartureCause::NoTarget
        };
        self.record_departure(entry, cause);
    }

    /// Logs and counts the requests that a search did not make because of reports.
    pub(super) fn record_skipped_zones(&self, search: &ZoneSearch) {
        let skipped = search.skipped();
        if skipped == 0 {
            return;
        }
        self.context.fleet.metrics.count_skipped_zones(skipped);
        event!(Event::ZonesSkipped, request = self.head.id; "{skipped} requests not made for {}", self.subject());
    }
}
