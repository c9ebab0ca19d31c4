//! What a zone's holder has beside its engines: a part of every quota, and the calls of plain services.

use crate::direct::{fleet::FleetState, settings::DirectSettings};
use hoplanding_core::{
    direct::{
        health::CallOutcome,
        limits::AdvertisedLimit,
        millis,
        plain::{PlainPlanner, PlainRequest},
        planner::{CallKey, PlacementAnswer, RefusalCause},
        quotas::{BucketCounts, BucketStart, HolderTenure, QuotaCharge, QuotaLedger},
        suspects::{RequestFingerprint, Suspicion},
        trials::{TrialAnswer, TrialTable},
    },
    ids::{FencingToken, Instant, OrganisationName, VmName},
};
use std::time::Duration;

/// How a lease was come by.
#[derive(Clone, Copy, Debug)]
pub struct LeaseOrigin {
    /// Its token.
    pub token: FencingToken,
    /// Whether the zone had a holder before.
    pub had_holder: bool,
    /// Time from now for which that one may go on as before.
    pub quiet: Duration,
}

/// What came with a lease, and ends with it.
pub struct HolderState {
    /// The lease's token.
    pub token: FencingToken,
    plain: PlainPlanner,
    quotas: QuotaLedger,
    trials: TrialTable,
    /// Version of the configuration whose quotas are declared.
    declared: Option<u64>,
}

impl HolderState {
    /// The ledger of a lease.
    #[must_use]
    pub fn new(
        settings: &DirectSettings,
        lease: LeaseOrigin,
        led_until: Instant,
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
            sole_until: led_until,
            active_from: now.after(lease.quiet),
            has_predecessor: !lease.quiet.is_zero(),
            window: settings.quotas.window,
        };
        Self {
            token: lease.token,
            plain: PlainPlanner::default(),
            trials: TrialTable::new(settings.trials),
            quotas: QuotaLedger::new(settings.quotas, zones, start, times),
            declared: None,
        }
    }

    /// Takes over what the books say of quotas and targets.
    pub fn refresh(&mut self, fleet: &FleetState, now: Instant) {
        let tables = fleet.tables();
        if let Some(active) = &tables.active
            && self.declared != Some(active.config.version)
            && let Some(table) = &active.config.organisations
        {
            self.quotas.set_rules(table.quotas(), now);
            self.declared = Some(active.config.version);
        }
        self.plain
            .retain(|run| tables.catalog.get(&run.name).is_some());
    }

    /// Until then it is known that no other VM was the zone's holder.
    pub fn lead_until(&mut self, time: Instant) {
        self.quotas.set_sole_until(time);
    }

    /// Pays a charge.
    ///
    /// # Errors
    /// When too little is left: the time until there is enough.
    pub fn pay(&mut self, charge: &QuotaCharge, now: Instant) -> Result<(), Duration> {
        self.quotas.charge(charge, now)
    }

    /// Pays for a call that is to be placed.
    ///
    /// # Errors
    /// When too little is left: the answer to the call.
    pub fn charge_placement(
        &mut self,
        charge: Option<&QuotaCharge>,
        now: Instant,
    ) -> Result<(), PlacementAnswer> {
        let paid = charge.map_or(Ok(()), |charge| self.pay(charge, now));
        paid.map_err(|wait| PlacementAnswer::Refuse {
            retry_after_ms: millis(wait),
            cause: RefusalCause::QuotaUsedUp,
        })
    }

    /// Gives a charge back whose call did not run, or found no place.
    pub fn refund(&mut self, charge: &QuotaCharge, now: Instant) {
        self.quotas.refund(charge, now);
    }

    /// Places a call of a plain service, and pays for it if it finds a place.
    pub fn place_plain(
        &mut self,
        fleet: &FleetState,
        key: CallKey,
        ask: &PlainRequest,
        now: Instant,
    ) -> PlacementAnswer {
        let suspicion = fleet.tables().suspects.suspicion(ask.fingerprint, now);
        if !ask.is_trial && suspicion != Suspicion::Clear {
            return PlacementAnswer::Refuse {
                retry_after_ms: 0,
                cause: RefusalCause::NeedsTrial,
            };
        }
        if let Err(refusal) = self.charge_placement(ask.charge.as_ref(), now) {
            return refusal;
        }
        let targets: Vec<_> = {
            let tables = fleet.tables();
            tables.catalog.ready(&ask.service).cloned().collect()
        };
        let answer = self.plain.place(key, ask, &targets, now);
        if let (PlacementAnswer::Refuse { .. }, Some(charge)) = (&answer, &ask.charge) {
            self.refund(charge, now);
        }
        answer
    }

    /// Ends a call of a plain service; says whether it was one.
    pub fn end_plain(&mut self, key: &CallKey, outcome: Option<CallOutcome>, now: Instant) -> bool {
        let is_plain = self.plain.has_call(key);
        self.plain.call_ended(key, outcome, now);
        is_plain
    }

    /// Grants a trial of a suspect, or says when to come back.
    pub fn ask_trial(
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

    /// A trial ended.
    pub fn end_trial(&mut self, fingerprint: RequestFingerprint, key: &CallKey) {
        self.trials.release(fingerprint, key);
    }

    /// An answer told of a target's limit.
    pub fn note_limit(&mut self, named: &AdvertisedLimit, now: Instant) {
        self.plain.record_limit(named, now);
    }

    /// All calls and trials of a gateway that can't be reached.
    pub fn forget_gateway(&mut self, vm: &VmName, now: Instant) {
        self.trials.forget_gateway(vm);
        self.plain.forget_gateway(vm, now);
    }

    /// What was paid out of every quota.
    pub fn counts(&self) -> impl Iterator<Item = (&OrganisationName, BucketCounts)> {
        self.quotas.counts()
    }
}
