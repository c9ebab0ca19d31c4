//! Trials of suspected requests: the half-open state of a circuit breaker for each.
//!
//! A suspect is sent as a trial only. One zone's holder grants the trials of a request, and one at a time, so that many callers
//! who come back at once make one trial out of many. Which zone's it is follows from the fingerprint; where that one does not answer
//! the next takes its place. Each end under the request lengthens the pause before the next trial, and past the last of
//! them there is none.

use crate::{
    direct::{
        millis,
        planner::CallKey,
        suspects::{RequestFingerprint, SuspectTable, Suspicion},
        zones_ranked_by,
    },
    ids::{AvailabilityZone, Instant, VmName},
};
use serde::{Deserialize, Serialize};
use std::{collections::HashMap, time::Duration};

/// Time after which a trial whose end nobody told holds up no other: longer than any call.
const TRIAL_MOST: Duration = Duration::from_secs(60);
/// When it is worth coming back while a trial runs.
const RUNNING_RETRY: Duration = Duration::from_millis(300);
/// The same where there is no further trial.
const NEVER_RETRY: Duration = Duration::from_secs(24 * 3_600);

/// Pauses before trials.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TrialRule {
    /// After the second end.
    pub pause: Duration,
    /// After the third.
    pub long_pause: Duration,
}

impl Default for TrialRule {
    fn default() -> Self {
        Self {
            pause: Duration::from_secs(30),
            long_pause: Duration::from_secs(3_600),
        }
    }
}

impl TrialRule {
    /// Pause before the next trial after so many ends; none if there is no further one.
    fn pause_after(&self, ends: usize) -> Option<Duration> {
        match ends {
            0 | 1 => Some(Duration::ZERO),
            2 => Some(self.pause),
            3 => Some(self.long_pause),
            _ => None,
        }
    }
}

/// The answer to a gateway that wants to send a suspect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TrialAnswer {
    /// It may, once.
    Granted,
    /// Nothing is known against the request.
    Clear,
    /// Not now.
    Refused {
        /// Milliseconds after which it is worth coming back.
        retry_after_ms: u32,
        /// Whether another trial of it runs.
        is_running: bool,
    },
}

#[derive(Clone, Debug)]
struct RunningTrial {
    key: CallKey,
    until: Instant,
}

/// The trials that a zone's holder has granted.
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

    /// Grants a trial of a request, or says when to come back.
    pub fn try_grant(
        &mut self,
        suspects: &SuspectTable,
        fingerprint: RequestFingerprint,
        key: CallKey,
        now: Instant,
    ) -> TrialAnswer {
        let Suspicion::Suspected {
            crashes: ends,
            last_crash: since,
        } = suspects.suspicion(fingerprint, now)
        else {
            return TrialAnswer::Clear;
        };
        let Some(pause) = self.rule.pause_after(ends) else {
            return refused(NEVER_RETRY, false);
        };
        let due = since.after(pause);
        if now < due {
            return refused(due.since(now), false);
        }
        self.running.retain(|_, trial| now < trial.until);
        if self.running.contains_key(&fingerprint) {
            return refused(RUNNING_RETRY, true);
        }
        let until = now.after(TRIAL_MOST);
        self.running
            .insert(fingerprint, RunningTrial { key, until });
        TrialAnswer::Granted
    }

    /// A trial ended.
    pub fn release(&mut self, fingerprint: RequestFingerprint, key: &CallKey) {
        let running = self.running.get(&fingerprint);
        if running.is_some_and(|trial| trial.key == *key) {
            self.running.remove(&fingerprint);
        }
    }

    /// All trials of a gateway that can't be reached.
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

/// Zones in the order in which their holders are asked for trials of a request.
#[must_use]
pub fn trial_zones(
    fingerprint: RequestFingerprint,
    zones: &[AvailabilityZone],
) -> Vec<AvailabilityZone> {
    zones_ranked_by(fingerprint, zones)
}
