//! A call whose request, or a part of whose prompt, is suspected of crashing targets: the trials that it needs, and what its
//! answer shows.

use crate::{
    clock,
    direct::call::{CallPlacement, CallState, DEFAULT_RETRY_AFTER},
};
use hoplanding_core::direct::{
    planner::RefusalCause, suspects::RequestFingerprint, trials::TrialAnswer,
};
use std::{iter, time::Duration};

impl CallState {
    /// Fingerprints of the request and of the parts of its prompt that other requests may share.
    fn fingerprints(&self) -> impl Iterator<Item = RequestFingerprint> + '_ {
        let parts = RequestFingerprint::of_shared_parts(&self.head.prompt_prefix);
        iter::once(self.fingerprint).chain(parts)
    }

    /// Fingerprints for which the call has no permission for a trial.
    pub(super) fn untried_fingerprints(&self) -> Vec<RequestFingerprint> {
        let has_permit = |fingerprint: &RequestFingerprint| {
            let mut trials = self.trials.iter();
            trials.any(|trial| trial.fingerprint() == *fingerprint)
        };
        self.fingerprints()
            .filter(|fingerprint| !has_permit(fingerprint))
            .collect()
    }

    /// Suspects, as far as this VM knows, for which the call has no permission for a trial.
    pub(super) fn untried_suspects(&self) -> Vec<RequestFingerprint> {
        let mut suspects = self.untried_fingerprints();
        let now = clock::now();
        let tables = self.context.fleet.tables();
        suspects.retain(|fingerprint| tables.suspects.needs_trial(*fingerprint, now));
        suspects
    }

    /// Requests permission for a trial of each suspect; returns the refusal if one is not granted.
    pub(super) async fn request_trials(
        &mut self,
        suspects: &[RequestFingerprint],
    ) -> Option<CallPlacement> {
        for fingerprint in suspects {
            let zones = &self.context.settings.zones;
            let granted = self
                .context
                .holder_client
                .request_trial(zones, *fingerprint)
                .await;
            let Some((answer, permit)) = granted else {
                return Some(CallPlacement::Unavailable(DEFAULT_RETRY_AFTER));
            };
            let (retry_after_ms, is_running) = match answer {
                TrialAnswer::Granted | TrialAnswer::Clear => {
                    self.trials.push(permit);
                    continue;
                }
                TrialAnswer::Refused {
                    retry_after_ms,
                    is_running,
                } => (retry_after_ms, is_running),
            };
            let cause = if is_running {
                RefusalCause::TrialRuns
            } else {
                RefusalCause::Quarantined
            };
            self.refusals.push((permit.zone().clone(), cause));
            let retry_after = Duration::from_millis(u64::from(retry_after_ms));
            return Some(CallPlacement::Unavailable(retry_after));
        }
        None
    }

    /// Records that a target answered the call, so that no part of its prompt crashes targets.
    pub fn record_harmless_parts(&self) {
        let parts = RequestFingerprint::of_shared_parts(&self.head.prompt_prefix);
        for part in self.context.fleet.record_alibis(parts) {
            self.context.holder_client.report_harmless(part);
        }
    }
}
