//! Placement of suspect requests: those that were running when an engine crashed.

use crate::{
    direct::{
        engine::SentCall,
        planner::{PlacementRequest, ZonePlanner},
        suspects::{RequestFingerprint, SuspectTable, TargetCrash},
    },
    ids::{Instant, TargetName},
};
use std::{collections::HashSet, time::Duration};

/// Penalty for an engine that runs another request which was at the same engine when that crashed. Any other engine is
/// preferred, so that a second crash shows which of the two requests is the cause.
pub(super) const SHARED_CRASH_PENALTY: Duration = Duration::from_secs(10);

impl ZonePlanner {
    /// Records that an engine crashed while a request ran there.
    pub fn record_crash(&mut self, ended: &TargetCrash, now: Instant) {
        self.suspects.record_crash(ended, now);
    }

    /// Clears a request after a successful trial.
    pub fn clear_suspicion(&mut self, fingerprint: RequestFingerprint) {
        self.suspects.clear(fingerprint);
    }

    /// Replaces the table of suspect requests.
    pub fn set_suspects(&mut self, suspects: SuspectTable) {
        self.suspects = suspects;
    }

    /// Whether a request may run as a granted trial only, because of itself or of a part of its prompt.
    pub(super) fn needs_trial(&self, request: &PlacementRequest, now: Instant) -> bool {
        let mut parts = RequestFingerprint::of_shared_parts(&request.prefix);
        self.suspects.needs_trial(request.fingerprint, now)
            || parts.any(|part| self.suspects.needs_trial(part, now))
    }

    /// Engines that run another request suspected of the same crash as this one.
    pub(super) fn engines_sharing_crash(
        &self,
        fingerprint: RequestFingerprint,
        now: Instant,
    ) -> HashSet<TargetName> {
        if !self.suspects.needs_trial(fingerprint, now) {
            return HashSet::new();
        }
        let shares_crash = |call: &SentCall| {
            call.fingerprint
                .is_some_and(|other| self.suspects.share_crash(fingerprint, other))
        };
        self.engines
            .iter()
            .filter(|(_, engine)| engine.calls.values().any(shares_crash))
            .map(|(name, _)| name.clone())
            .collect()
    }
}
