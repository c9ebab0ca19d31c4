//! Trials of suspects, which are requests or parts of prompts: a half-open circuit breaker for each.
//!
//! A suspect is only sent as a trial. The holder of one zone grants the trials of a request, one at a time, so that
//! many callers that retry at once cause a single trial. The zone follows from the fingerprint by rendezvous hashing;
//! if its holder does not answer, the next zone replaces it. Each crash under the request lengthens the pause
//! before the next trial, and after the last pause there are no more trials.

use crate::{
    direct::{
        millis,
        planner::CallKey,
        suspects::{RequestFingerprint, SuspectLevel, SuspectTable, Suspicion},
        zones_ranked_by,
    },
    ids::{AvailabilityZone, Instant, VmName},
};
use serde::{Deserialize, Serialize};
use std::{collections::HashMap, time::Duration};

/// Time after which a trial whose end was not reported no longer blocks others; longer than any call.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(60);
/// Retry delay for a caller while a trial is running.
const RUNNING_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Retry delay for a caller when no further trial is granted.
const NO_TRIAL_RETRY_AFTER: Duration = Duration::from_secs(24 * 3_600);

/// Pauses before trials.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TrialRule {
    /// Pause after the second crash.
    pub pause: Duration,
    /// Pause after the third crash.
    pub long_pause: Duration,
    /// Pause between the quarantine of a part of prompts and its first trial.
    pub part_pause: Duration,
}

impl Default for TrialRule {
    fn default() -> Self {
        Self {
            pause: Duration::from_secs(30),
            long_pause: Duration::from_secs(3_600),
            part_pause: Duration::from_secs(5),
        }
    }
}

impl TrialRule {
    /// Pause before the next trial of a request; `None` if there is no further trial.
    fn request_pause(&self, crashes: usize) -> Option<Duration> {
        match crashes {
            0 | 1 => Some(Duration::ZERO),
            2 => Some(self.pause),
            3 => Some(self.long_pause),
            _ => None,
        }
    }

    /// Pause before the next trial of a part of prompts; `None` if there is no further trial. Many requests share a part, so
    /// the first trial comes soon in case the part is harmless.
    fn part_pause(&self, trial_crashes: u32) -> Option<Duration> {
        match trial_crashes {
            0 => Some(self.part_pause),
            1 => Some(self.pause),
            2 => Some(self.long_pause),
            _ => None,
        }
    }
}

/// Answer to a gateway that requests a trial of a suspect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TrialAnswer {
    /// The request may be sent once.
    Granted,
    /// The request is not a suspect.
    Clear,
    /// The request may not be sent now.
    Refused {
        /// Milliseconds after which the caller should retry.
        retry_after_ms: u32,
        /// Whether another trial of the request is running.
        is_running: bool,
    },
}

#[derive(Clone, Debug)]
struct RunningTrial {
    key: CallKey,
    expires_at: Instant,
}

/// Trials that a zone's holder has granted and that have not ended.
#[derive(Clone, Debug)]
pub struct TrialTable {
    rule: TrialRule,
    running: HashMap<RequestFingerprint, RunningTrial>,
}

impl TrialTable {
    /// A table without trials.
    #[must_use]
    pub fn new(rule: TrialRule) -> Self {
        Self {
            rule,
            running: HashMap::new(),
        }
    }

    /// Grants a trial of a request, or returns when to retry.
    pub fn try_grant(
        &mut self,
        suspects: &SuspectTable,
        fingerprint: RequestFingerprint,
        key: CallKey,
        now: Instant,
    ) -> TrialAnswer {
        let Suspicion::Suspected {
            crashes,
            last_crash,
        } = suspects.suspicion(fingerprint, now)
        else {
            return TrialAnswer::Clear;
        };
        if !suspects.needs_trial(fingerprint, now) {
            return TrialAnswer::Clear;
        }
        let pause = match fingerprint.level() {
            SuspectLevel::Request => self.rule.request_pause(crashes),
            SuspectLevel::Part => self.rule.part_pause(suspects.trial_crashes(fingerprint)),
        };
        let Some(pause) = pause else {
            return refused(NO_TRIAL_RETRY_AFTER, false);
        };
        let due_at = last_crash.after(pause);
        if now < due_at {
            return refused(due_at.since(now), false);
        }
        self.running.retain(|_, trial| now < trial.expires_at);
        if self.running.contains_key(&fingerprint) {
            return refused(RUNNING_RETRY_AFTER, true);
        }
        let expires_at = now.after(TRIAL_TIMEOUT);
        self.running
            .insert(fingerprint, RunningTrial { key, expires_at });
        TrialAnswer::Granted
    }

    /// Ends the trial that was granted to `key`.
    pub fn release(&mut self, fingerprint: RequestFingerprint, key: &CallKey) {
        let running = self.running.get(&fingerprint);
        if running.is_some_and(|trial| trial.key == *key) {
            self.running.remove(&fingerprint);
        }
    }

    /// Ends all trials of a gateway that is unreachable.
    pub fn forget_gateway(&mut self, vm: &VmName) {
        self.running.retain(|_, trial| trial.key.vm != *vm);
    }
}

fn refused(retry_after: Duration, is_running: bool) -> TrialAnswer {
    TrialAnswer::Refused {
        retry_after_ms: millis(retry_after),
        is_running,
    }
}

/// Zones in the order in which their holders receive requests for trials.
#[must_use]
pub fn trial_zones(
    fingerprint: RequestFingerprint,
    zones: &[AvailabilityZone],
) -> Vec<AvailabilityZone> {
    zones_ranked_by(fingerprint, zones)
}
