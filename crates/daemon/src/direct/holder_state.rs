//! State that a zone's holder has besides its engines: its shares of the quotas, the calls of plain services, and the trials of
//! suspects. It is created with a lease and dropped with it.

use crate::{
    direct::{fleet::FleetState, settings::DirectSettings},
    event,
    events::Event,
};
use hoplanding_core::{
    direct::{
        health::CallOutcome,
        limits::AdvertisedLimit,
        millis,
        plain::{PlainPlanner, PlainRequest},
        plain_pace::{PaceCounts, REPORT_MARGIN},
        planner::{CallKey, PlacementAnswer, RefusalCause},
        quotas::{BucketCounts, BucketStart, HolderTenure, QuotaCharge, QuotaTable},
        return_schedule::ReturnCounts,
        suspects::RequestFingerprint,
        trials::{TrialAnswer, TrialTable},
    },
    ids::{AvailabilityZone, FencingToken, Instant, OrganisationName, TargetName, VmName},
};
use std::time::Duration;

/// How this VM acquired a lease.
#[derive(Clone, Copy, Debug)]
pub struct LeaseOrigin {
    /// Fencing token of the lease.
    pub token: FencingToken,
    /// Whether the zone had a holder before.
    pub had_holder: bool,
    /// Time from now for which the previous holder may continue to act as one, because it may not know of the new lease yet.
    pub order_delay: Duration,
}

/// Quotas, plain calls and trials of a holder, for the duration of one lease.
pub struct HolderState {
    /// Fencing token of the lease.
    pub token: FencingToken,
    plain: PlainPlanner,
    quotas: QuotaTable,
    trials: TrialTable,
    /// Version of the configuration from which the quotas were taken.
    quota_version: Option<u64>,
}

impl HolderState {
    /// The state of a new lease. Quotas start full only in the fleet's first start; a successor assumes that they were spent,
    /// because it does not know what the previous holder granted.
    #[must_use]
    pub fn new(
        settings: &DirectSettings,
        lease: LeaseOrigin,
        sole_until: Instant,
        now: Instant,
    ) -> Self {
        let is_first = settings.is_first_start && !lease.had_holder;
        let start = if is_first {
            BucketStart::Full
        } else {
            BucketStart::Exhausted
        };
        let zones = u32::try_from(settings.zones.len()).unwrap_or(u32::MAX);
        let times = HolderTenure {
            sole_until,
            active_from: now.after(lease.order_delay),
            has_predecessor: !lease.order_delay.is_zero(),
            window: settings.quotas.window,
        };
        let mut plain = if settings.has_uneven_targets {
            PlainPlanner::for_uneven_targets()
        } else {
            PlainPlanner::default()
        };
        plain.prefer_own_zones(settings.zone_choice.map(|rule| rule.max_remote_share));
        Self {
            token: lease.token,
            plain: plain.with_returns(settings.returns),
            trials: TrialTable::new(settings.trials),
            quotas: QuotaTable::new(settings.quotas, zones, start, times)
                .with_returns(settings.returns),
            quota_version: None,
        }
    }

    /// Takes over new quotas from the configuration, and drops targets that are no longer listed.
    pub fn refresh(&mut self, fleet: &FleetState, now: Instant) {
        let tables = fleet.tables();
        if let Some(active) = &tables.active
            && self.quota_version != Some(active.config.version)
            && let Some(table) = &active.config.organisations
        {
            self.quotas.set_rules(table.quotas(), now);
            self.quota_version = Some(active.config.version);
        }
        self.plain
            .retain(|run| tables.catalog.get(&run.name).is_some());
    }

    /// Records that no other VM is the zone's holder until this time.
    pub fn set_sole_until(&mut self, time: Instant) {
        self.quotas.set_sole_until(time);
    }

    /// Takes a charge from its organisation's quota.
    ///
    /// # Errors
    /// If too little is left: the time until there is enough.
    pub fn charge_quota(&mut self, charge: &QuotaCharge, now: Instant) -> Result<(), Duration> {
        self.quotas.charge(charge, now)
    }

    /// Charges a call before it is placed.
    ///
    /// # Errors
    /// If too little is left: the refusal of the call.
    pub fn charge_placement(
        &mut self,
        charge: Option<&QuotaCharge>,
        now: Instant,
    ) -> Result<(), PlacementAnswer> {
        let charged = charge.map_or(Ok(()), |charge| self.charge_quota(charge, now));
        charged.map_err(|wait| PlacementAnswer::Refuse {
            retry_after_ms: millis(wait),
            cause: RefusalCause::QuotaUsedUp,
        })
    }

    /// Refunds the charge of a call that was not placed or not executed.
    pub fn refund(&mut self, charge: &QuotaCharge, now: Instant) {
        self.quotas.refund(charge, now);
    }

    /// Places a call of a plain service, and charges it if a target is found. A suspect without a trial is refused.
    pub fn place_plain(
        &mut self,
        fleet: &FleetState,
        key: CallKey,
        request: &PlainRequest,
        now: Instant,
    ) -> PlacementAnswer {
        let needs_trial = fleet
            .tables()
            .suspects
            .needs_trial(request.fingerprint, now);
        if !request.is_trial && needs_trial {
            return PlacementAnswer::Refuse {
                retry_after_ms: 0,
                cause: RefusalCause::NeedsTrial,
            };
        }
        if let Err(refusal) = self.charge_placement(request.charge.as_ref(), now) {
            return refusal;
        }
        let targets: Vec<_> = {
            let tables = fleet.tables();
            tables.catalog.ready(&request.service).cloned().collect()
        };
        let answer = self.plain.place(key, request, &targets, now);
        if let (PlacementAnswer::Refuse { .. }, Some(charge)) = (&answer, &request.charge) {
            self.refund(charge, now);
        }
        answer
    }

    /// Ends a call of a plain service; returns whether the call was one.
    pub fn end_plain(&mut self, key: &CallKey, outcome: Option<CallOutcome>, now: Instant) -> bool {
        let is_plain = self.plain.has_call(key);
        self.plain.call_ended(key, outcome, now);
        is_plain
    }

    /// Decides about a trial of a suspect; a refusal states when to retry.
    pub fn request_trial(
        &mut self,
        fleet: &FleetState,
        fingerprint: RequestFingerprint,
        key: CallKey,
        now: Instant,
    ) -> TrialAnswer {
        let mut tables = fleet.tables();
        tables.suspects.refresh(fingerprint, now);
        self.trials
            .try_grant(&tables.suspects, fingerprint, key, now)
    }

    /// Ends a trial, so that the next one can be granted.
    pub fn end_trial(&mut self, fingerprint: RequestFingerprint, key: &CallKey) {
        self.trials.release(fingerprint, key);
    }

    /// Records the rate limit that a target stated in an answer.
    pub fn record_limit(&mut self, limit: &AdvertisedLimit, now: Instant) {
        self.plain.record_limit(limit, now);
    }

    /// Forgets connection failures of the targets of a zone to which the path is restored.
    pub fn record_restored_path(&mut self, fleet: &FleetState, zone: &AvailabilityZone) {
        let tables = fleet.tables();
        let is_in_zone = |name: &TargetName| {
            let entry = tables.catalog.get(name);
            entry.is_some_and(|entry| entry.zone == *zone)
        };
        self.plain.forget_connect_failures(is_in_zone);
    }

    /// Ends all calls and trials of a gateway that cannot be reached.
    pub fn forget_gateway(&mut self, vm: &VmName, now: Instant) {
        self.trials.forget_gateway(vm);
        self.plain.forget_gateway(vm, now);
    }

    /// Numbers of the decisions by the paces of uneven targets.
    #[must_use]
    pub fn pace_counts(&self, now: Instant) -> PaceCounts {
        self.plain.pace_counts(now)
    }

    /// Logs which targets of plain services have become slow or usual again, and how many calls were dropped.
    pub fn log_pace_changes(&mut self, now: Instant) {
        let changes = self.plain.take_pace_changes(now);
        for change in &changes.targets {
            event!(Event::PlainPaceChanged, "{} {change}", change.run.name);
        }
        if changes.dropped > 0 {
            event!(
                Event::PlainCallsDropped,
                "{} calls, later than {REPORT_MARGIN:?} after their deadline",
                changes.dropped
            );
        }
    }

    /// What became of the return times of refused calls since the start of the lease.
    #[must_use]
    pub fn return_counts(&self) -> ReturnCounts {
        self.quotas.return_counts().plus(self.plain.return_counts())
    }

    /// Units granted and refused since the start of the lease, by organisation.
    pub fn counts(&self) -> impl Iterator<Item = (&OrganisationName, BucketCounts)> {
        self.quotas.counts()
    }
}
