//! Requests that may crash the targets they run on.
//!
//! A poison request crashes every target that runs it. Its caller retries it and other callers send the same request,
//! so it is identified by its content, the [`RequestFingerprint`], and not by its id. When a target terminates, every
//! request that ran on it becomes a suspect, since any of them may be the cause. Suspects only run as trials (see
//! [`trials`](crate::direct::trials)). Two suspects of the same crash share no target again if another one is
//! available, so that a second crash identifies the cause.
//!
//! The number of crashes is kept across the pauses between trials and across the loss of VMs. It is cleared by a trial
//! that is answered successfully, or when the request has not been seen for [`SUSPECT_TTL`].

use crate::ids::{Instant, TargetRun};
use serde::{Deserialize, Serialize};
use std::{collections::HashMap, time::Duration};

/// Number of crashes from which a request is quarantined.
pub const QUARANTINE_MIN_CRASHES: usize = 2;
/// Time after which a suspect that has not been seen again is dropped.
pub const SUSPECT_TTL: Duration = Duration::from_secs(24 * 3_600);
/// Suspects that are kept; beyond that, those with the fewest crashes are evicted first. A fleet that loses a quarter
/// of 140 engines with 12 requests each has 420 suspects.
const MAX_SUSPECTS: usize = 2_048;
/// Crashes that are kept for each request, including those before its last successful trial, which other VMs may still
/// report.
const MAX_CRASHES: usize = 8;

/// Hash of a request's content: method, path, adapter, parts of the prompt and body.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct RequestFingerprint(pub u64);

/// A target that terminated while a request ran on it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetCrash {
    /// Request that ran on the target.
    pub fingerprint: RequestFingerprint,
    /// The target and its life.
    pub run: TargetRun,
}

/// Whether a request is a suspect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Suspicion {
    /// No crash counts against it.
    Clear,
    /// Targets terminated while it ran.
    Suspected {
        /// Number of crashes.
        crashes: usize,
        /// When the last crash was recorded.
        last_crash: Instant,
    },
}

impl Suspicion {
    /// Number of crashes that count against the request.
    #[must_use]
    pub fn crashes(self) -> usize {
        match self {
            Self::Clear => 0,
            Self::Suspected { crashes, .. } => crashes,
        }
    }
}

/// Crashes that count against a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SuspectStatus {
    /// Targets that terminated while it ran, in the order of recording.
    pub crashes: Vec<TargetRun>,
    /// When the last crash was recorded.
    pub last_crash: Instant,
    /// When the record is dropped unless the request is seen again.
    pub expires_at: Instant,
}

#[derive(Clone, Debug)]
struct RecordedCrash {
    run: TargetRun,
    /// Whether a later trial of the request succeeded, so that the crash no longer counts.
    is_cleared: bool,
}

#[derive(Clone, Debug)]
struct SuspectRow {
    /// Crashes in the order of recording.
    crashes: Vec<RecordedCrash>,
    /// When the last crash was recorded.
    last_crash: Instant,
    expires_at: Instant,
}

impl SuspectRow {
    fn new(now: Instant) -> Self {
        Self {
            crashes: Vec::new(),
            last_crash: now,
            expires_at: now,
        }
    }

    /// Crashes that count against the request.
    fn counted_crashes(&self) -> impl Iterator<Item = &TargetRun> {
        let counted = self.crashes.iter().filter(|recorded| !recorded.is_cleared);
        counted.map(|recorded| &recorded.run)
    }

    fn is_counted(&self, run: &TargetRun) -> bool {
        self.counted_crashes().any(|counted| counted == run)
    }

    fn add_crash(&mut self, run: &TargetRun, now: Instant) -> bool {
        if self.crashes.iter().any(|recorded| recorded.run == *run) {
            return false;
        }
        if self.crashes.len() >= MAX_CRASHES {
            let Some(oldest) = self.crashes.iter().position(|recorded| recorded.is_cleared) else {
                return false;
            };
            self.crashes.remove(oldest);
        }
        self.crashes.push(RecordedCrash {
            run: run.clone(),
            is_cleared: false,
        });
        self.last_crash = now;
        true
    }

    fn is_current(&self, now: Instant) -> bool {
        now < self.expires_at
    }
}

/// Suspects by fingerprint.
#[derive(Clone, Debug, Default)]
pub struct SuspectTable {
    rows: HashMap<RequestFingerprint, SuspectRow>,
    revision: u64,
}

impl SuspectTable {
    /// Counter that increases with every change.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Records a crash for [`SUSPECT_TTL`]; returns whether it is new.
    pub fn record_crash(&mut self, crash: &TargetCrash, now: Instant) -> bool {
        self.record_crash_until(crash, now.after(SUSPECT_TTL), now)
    }

    /// Records a crash that is kept until `expires_at`; returns whether it is new.
    pub fn record_crash_until(
        &mut self,
        crash: &TargetCrash,
        expires_at: Instant,
        now: Instant,
    ) -> bool {
        self.rows.retain(|_, row| row.is_current(now));
        if expires_at <= now {
            return false;
        }
        let row = self.rows.entry(crash.fingerprint);
        let row = row.or_insert_with(|| SuspectRow::new(now));
        let is_new = row.add_crash(&crash.run, now);
        if is_new {
            row.expires_at = row.expires_at.max(expires_at);
            self.evict_excess(crash.fingerprint);
            self.revision += 1;
        }
        is_new
    }

    fn evict_excess(&mut self, newest: RequestFingerprint) {
        if self.rows.len() <= MAX_SUSPECTS {
            return;
        }
        let others = self.rows.iter().filter(|(known, _)| **known != newest);
        let least_suspect =
            others.min_by_key(|(_, row)| (row.counted_crashes().count(), row.expires_at));
        if let Some(fingerprint) = least_suspect.map(|(fingerprint, _)| *fingerprint) {
            self.rows.remove(&fingerprint);
        }
    }

    /// Clears all crashes of a request after a successful trial, as it is not the cause. Returns whether it was a
    /// suspect.
    pub fn clear(&mut self, fingerprint: RequestFingerprint) -> bool {
        let Some(row) = self.rows.get_mut(&fingerprint) else {
            return false;
        };
        let was_suspect = row.counted_crashes().next().is_some();
        row.crashes
            .iter_mut()
            .for_each(|recorded| recorded.is_cleared = true);
        self.revision += u64::from(was_suspect);
        was_suspect
    }

    /// Clears the crashes of a request at the given targets.
    pub fn clear_crashes(&mut self, fingerprint: RequestFingerprint, runs: &[TargetRun]) {
        let Some(row) = self.rows.get_mut(&fingerprint) else {
            return;
        };
        for recorded in row
            .crashes
            .iter_mut()
            .filter(|recorded| runs.contains(&recorded.run))
        {
            recorded.is_cleared = true;
        }
        self.revision += 1;
    }

    /// Extends the record of a suspect that was seen again.
    pub fn refresh(&mut self, fingerprint: RequestFingerprint, now: Instant) {
        if let Some(row) = self.rows.get_mut(&fingerprint) {
            row.expires_at = now.after(SUSPECT_TTL);
        }
    }

    /// Whether a request is a suspect at `now`.
    #[must_use]
    pub fn suspicion(&self, fingerprint: RequestFingerprint, now: Instant) -> Suspicion {
        let row = self.rows.get(&fingerprint);
        let row = row.filter(|row| row.is_current(now));
        match row.map(|row| (row.counted_crashes().count(), row.last_crash)) {
            None | Some((0, _)) => Suspicion::Clear,
            Some((crashes, last_crash)) => Suspicion::Suspected {
                crashes,
                last_crash,
            },
        }
    }

    /// Crashes that count against a request; `None` if it is not a suspect.
    #[must_use]
    pub fn status(&self, fingerprint: RequestFingerprint, now: Instant) -> Option<SuspectStatus> {
        let row = self.rows.get(&fingerprint)?;
        let crashes: Vec<_> = row.counted_crashes().cloned().collect();
        let is_suspect = !crashes.is_empty() && row.is_current(now);
        is_suspect.then_some(SuspectStatus {
            crashes,
            last_crash: row.last_crash,
            expires_at: row.expires_at,
        })
    }

    /// Fingerprints of all suspects.
    pub fn suspected(&self, now: Instant) -> impl Iterator<Item = RequestFingerprint> + '_ {
        let rows = self.rows.iter();
        rows.filter(move |(_, row)| row.is_current(now) && row.counted_crashes().next().is_some())
            .map(|(fingerprint, _)| *fingerprint)
    }

    /// Targets that a quarantined request crashed; `None` if it is not quarantined.
    #[must_use]
    pub fn quarantine(&self, fingerprint: RequestFingerprint) -> Option<Vec<TargetRun>> {
        let crashes: Vec<_> = self
            .rows
            .get(&fingerprint)?
            .counted_crashes()
            .cloned()
            .collect();
        (crashes.len() >= QUARANTINE_MIN_CRASHES).then_some(crashes)
    }

    /// Whether the same crash counts against both requests.
    #[must_use]
    pub fn share_crash(&self, fingerprint: RequestFingerprint, other: RequestFingerprint) -> bool {
        let (Some(row), Some(other)) = (self.rows.get(&fingerprint), self.rows.get(&other)) else {
            return false;
        };
        row.counted_crashes().any(|run| other.is_counted(run))
    }

    /// All crashes that count, to be sent to another VM.
    pub fn crashes(&self, now: Instant) -> impl Iterator<Item = TargetCrash> + '_ {
        let rows = self.rows.iter().filter(move |(_, row)| row.is_current(now));
        rows.flat_map(|(fingerprint, row)| {
            row.counted_crashes().map(|run| TargetCrash {
                fingerprint: *fingerprint,
                run: run.clone(),
            })
        })
    }

    /// Number of suspects, and how many of them are quarantined.
    #[must_use]
    pub fn counts(&self, now: Instant) -> (usize, usize) {
        let rows = self.rows.values().filter(|row| row.is_current(now));
        let crashes = rows
            .map(|row| row.counted_crashes().count())
            .filter(|crashes| *crashes > 0);
        crashes.fold((0, 0), |(suspected, quarantined), crashes| {
            let is_quarantined = crashes >= QUARANTINE_MIN_CRASHES;
            (suspected + 1, quarantined + usize::from(is_quarantined))
        })
    }
}
