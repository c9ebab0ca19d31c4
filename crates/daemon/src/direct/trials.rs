//! Trials of suspected requests: the permit of a gateway, and what this VM notes of suspects.

use crate::{
    clock,
    direct::{fleet::FleetState, holder_client::HolderClient},
    event,
    events::Event,
};
use hoplanding_core::{
    direct::suspects::{RequestFingerprint, TargetCrash},
    ids::AvailabilityZone,
};
use std::sync::Arc;

/// Leave to send a suspect once; tells holders of the trial's end when dropped.
#[derive(Debug)]
pub struct TrialPermit {
    holder_client: Arc<HolderClient>,
    /// The zone whose holder granted it.
    zone: AvailabilityZone,
    number: u64,
    fingerprint: RequestFingerprint,
    is_good: bool,
}

impl TrialPermit {
    /// The permit that a zone's holder granted to the question with this number.
    #[must_use]
    pub fn new(
        holder_client: &Arc<HolderClient>,
        zone: &AvailabilityZone,
        number: u64,
        fingerprint: RequestFingerprint,
    ) -> Self {
        Self {
            holder_client: Arc::clone(holder_client),
            zone: zone.clone(),
            number,
            fingerprint,
            is_good: false,
        }
    }

    /// The zone whose holder answered.
    #[must_use]
    pub fn zone(&self) -> &AvailabilityZone {
        &self.zone
    }

    /// The request was answered well.
    pub fn note_good(&mut self) {
        self.is_good = true;
    }
}

impl Drop for TrialPermit {
    fn drop(&mut self) {
        self.holder_client
            .end_trial(&self.zone, self.number, self.fingerprint, self.is_good);
    }
}

impl FleetState {
    /// Notes that a target ended under a request; says whether that is news.
    pub fn note_ended_under(&self, ended: &TargetCrash) -> bool {
        let now = clock::now();
        let mut tables = self.tables();
        if !tables.suspects.record_crash(ended, now) {
            return false;
        }
        let (suspected, quarantined) = tables.suspects.counts(now);
        event!(
            Event::RequestSuspected,
            "{:016x}: {} ended under it, {suspected} suspected, {quarantined} quarantined",
            ended.fingerprint.0,
            ended.run.name
        );
        true
    }

    /// Notes that a trial of a request was answered well.
    pub fn clear_suspicion(&self, fingerprint: RequestFingerprint) {
        if self.tables().suspects.clear(fingerprint) {
            event!(Event::SuspicionCleared, "{:016x}", fingerprint.0);
        }
    }
}
