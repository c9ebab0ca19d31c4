//! Requests under which engines ended: where they may still go.

use crate::{
    direct::{
        engine::SentCall,
        planner::ZonePlanner,
        suspects::{RequestFingerprint, SuspectTable, Suspicion, TargetCrash},
    },
    ids::{Instant, TargetName},
};
use std::{collections::HashSet, time::Duration};

/// What an engine counts on which another request runs that was there when the same engine ended: any other engine is
/// better, so that a second end tells which of the two is the cause.
pub(super) const SHARED_END_PRICE: Duration = Duration::from_secs(10);

impl ZonePlanner {
    /// An engine ended while a request ran there.
    pub fn target_ended(&mut self, ended: &TargetCrash, now: Instant) {
        self.suspects.record_crash(ended, now);
    }

    /// A trial of a request was answered well.
    pub fn clear_suspicion(&mut self, fingerprint: RequestFingerprint) {
        self.suspects.clear(fingerprint);
    }

    /// Takes over what is known of requests under which engines ended.
    pub fn set_suspects(&mut self, suspects: SuspectTable) {
        self.suspects = suspects;
    }

    /// Whether a request may be sent as a trial only.
    pub(super) fn needs_trial(&self, fingerprint: RequestFingerprint, now: Instant) -> bool {
        self.suspects.suspicion(fingerprint, now) != Suspicion::Clear
    }

    /// Engines on which another request runs that was at a target which ended under this one.
    pub(super) fn shared_ends(
        &self,
        fingerprint: RequestFingerprint,
        now: Instant,
    ) -> HashSet<TargetName> {
        if !self.needs_trial(fingerprint, now) {
            return HashSet::new();
        }
        let shares = |call: &SentCall| {
            call.fingerprint
                .is_some_and(|other| self.suspects.share_crash(fingerprint, other))
        };
        self.engines
            .iter()
            .filter(|(_, engine)| engine.calls.values().any(shares))
            .map(|(name, _)| name.clone())
            .collect()
    }
}
