//! The gateway's side of trials of suspects, and the changes of suspicion in this VM's fleet state.
//!
//! A request under which a target crashed is a suspect. It runs again only as a trial, for which a zone's holder grants a
//! permit, one at a time.

use crate::{
    clock,
    direct::{fleet::FleetState, holder_client::HolderClient},
    event,
    events::Event,
};
use hoplanding_core::{
    direct::suspects::{RequestFingerprint, SuspectLevel, TargetCrash},
    ids::AvailabilityZone,
};
use std::sync::Arc;

/// Permission to send a suspect once; reports the end of the trial to the holders when dropped.
#[derive(Debug)]
pub struct TrialPermit {
    holder_client: Arc<HolderClient>,
    /// The zone whose holder received the request for the permit.
    zone: AvailabilityZone,
    number: u64,
    fingerprint: RequestFingerprint,
    is_successful: bool,
}

impl TrialPermit {
    /// The permit requested from a zone's holder under this call number.
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
            is_successful: false,
        }
    }

    /// The zone whose holder decided about the trial.
    #[must_use]
    pub fn zone(&self) -> &AvailabilityZone {
        &self.zone
    }

    /// The suspect.
    #[must_use]
    pub fn fingerprint(&self) -> RequestFingerprint {
        self.fingerprint
    }

    /// Marks the trial as successful.
    pub fn mark_successful(&mut self) {
        self.is_successful = true;
    }
}

impl Drop for TrialPermit {
    fn drop(&mut self) {
        self.holder_client.end_trial(
            &self.zone,
            self.number,
            self.fingerprint,
            self.is_successful,
        );
    }
}

impl FleetState {
    /// Records that a target crashed while it ran a request; returns whether that was not known before.
    pub fn record_crash(&self, crash: &TargetCrash) -> bool {
        let now = clock::now();
        let mut tables = self.tables();
        if !tables.suspects.record_crash(crash, now) {
            return false;
        }
        let (suspected, quarantined) = tables.suspects.counts(now);
        event!(
            Event::RequestSuspected,
            "{:016x}: target {} crashed while running it; {suspected} requests suspected, {quarantined} of them quarantined",
            crash.fingerprint.0,
            crash.run.name
        );
        true
    }

    /// Clears the suspicion of a request or of a part of prompts, after an answer to it.
    pub fn clear_suspicion(&self, fingerprint: RequestFingerprint) {
        let was_suspect = {
            let suspects = &mut self.tables().suspects;
            match fingerprint.level() {
                SuspectLevel::Request => suspects.clear(fingerprint),
                SuspectLevel::Part => suspects.record_alibi(fingerprint, clock::now()),
            }
        };
        if was_suspect {
            event!(Event::SuspicionCleared, "{:016x}", fingerprint.0);
        }
    }

    /// Records that a request with these parts was answered; returns the parts that were suspects.
    pub fn record_alibis(
        &self,
        parts: impl Iterator<Item = RequestFingerprint>,
    ) -> Vec<RequestFingerprint> {
        let now = clock::now();
        let mut tables = self.tables();
        parts
            .filter(|part| tables.suspects.record_alibi(*part, now))
            .collect()
    }
}
