//! Requests under which engines ended: where they may still go.

use crate::{
    direct::{
        engine::SentCall,
        planner::{COME_BACK_MS, CallKey, RefusalCause, ZonePlanner},
        suspects::{EndedUnder, RequestFingerprint, Suspicion},
    },
    ids::{Instant, TargetName},
};
use std::{collections::HashSet, time::Duration};

/// What an engine counts on which another request runs that was there when the same engine ended: any other engine is
/// better, so that a second end tells which of the two is the cause.
pub(super) const SHARED_END_PRICE: Duration = Duration::from_secs(10);

impl ZonePlanner {
    /// A target ended while a request ran there; says whether that is news.
    pub fn target_ended(&mut self, ended: &EndedUnder, now: Instant) -> bool {
        self.suspects.note_ended(ended, now)
    }

    /// Requests that are suspected, and those of them that are sent nowhere.
    #[must_use]
    pub fn suspect_counts(&self, now: Instant) -> (usize, usize) {
        self.suspects.counts(now)
    }

    /// Why a request is sent nowhere now, and when it is worth coming back.
    pub(super) fn bars_suspect(
        &self,
        fingerprint: RequestFingerprint,
        now: Instant,
    ) -> Option<(Duration, RefusalCause)> {
        match self.suspects.suspicion(fingerprint, now) {
            Suspicion::Clear => None,
            Suspicion::Quarantined(until) => Some((until.since(now), RefusalCause::EndsTargets)),
            Suspicion::Suspected => self.runs_or_waits(fingerprint).then(|| {
                let retry_after = Duration::from_millis(u64::from(COME_BACK_MS));
                (retry_after, RefusalCause::RunsAlready)
            }),
        }
    }

    fn runs_or_waits(&self, fingerprint: RequestFingerprint) -> bool {
        self.engines.values().any(|engine| {
            let mut running = engine.calls.values();
            let mut waiting = engine.copies.values().flat_map(|copy| &copy.waiters);
            running.any(|call| call.fingerprint == Some(fingerprint))
                || waiting.any(|waiting| waiting.ask.fingerprint == fingerprint)
        })
    }

    /// Engines on which another request runs that was at a target which ended under this one.
    pub(super) fn shared_ends(
        &self,
        fingerprint: RequestFingerprint,
        now: Instant,
    ) -> HashSet<TargetName> {
        if self.suspects.suspicion(fingerprint, now) == Suspicion::Clear {
            return HashSet::new();
        }
        let shares = |call: &SentCall| {
            call.fingerprint
                .is_some_and(|other| self.suspects.share_an_end(fingerprint, other))
        };
        self.engines
            .iter()
            .filter(|(_, engine)| engine.calls.values().any(shares))
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// The request of a call at an engine, if it is suspected.
    #[must_use]
    pub fn suspect_of(
        &self,
        key: &CallKey,
        target: &TargetName,
        now: Instant,
    ) -> Option<RequestFingerprint> {
        let fingerprint = self.engines.get(target)?.calls.get(key)?.fingerprint?;
        let is_clear = self.suspects.suspicion(fingerprint, now) == Suspicion::Clear;
        (!is_clear).then_some(fingerprint)
    }

    /// A call was answered well: its request ended no target.
    pub(super) fn clear_suspect(&mut self, key: &CallKey, target: &TargetName) {
        let engine = self.engines.get(target);
        let fingerprint = engine.and_then(|engine| engine.calls.get(key)?.fingerprint);
        if let Some(fingerprint) = fingerprint {
            self.suspects.clear(fingerprint);
        }
    }
}
