//! Requests, and parts of their prompts, that may crash the targets they run on.
//!
//! A poison request crashes every target that runs it. Its caller retries it and other callers send the same request,
//! so it is identified by its content, the [`RequestFingerprint`], and not by its id. When a target terminates, every
//! request that ran on it becomes a suspect, since any of them may be the cause. Suspects only run as trials (see
//! [`trials`](crate::direct::trials)). Two suspects of the same crash share no target again if another one is
//! available, so that a second crash identifies the cause.
//!
//! A part of a prompt may also crash every target that begins to answer a request with it, whatever else the request
//! holds. No two such requests are alike, so the parts that requests can share, all but the last, are counted as well.
//! Only requests that had hardly begun to be answered accuse their parts: the cause never gets further. A part is cleared
//! by any request with it that gets further, so what harmless requests share is not taken for the cause. A part needs
//! more crashes than a whole request before it is quarantined, since it is accused beside others, and none while
//! requests with it were answered within [`ALIBI_TTL`]. Targets that end together accuse a part several times at once, so
//! the pauses between its trials grow with the trials that crash a target, not with the number of crashes.
//!
//! The number of crashes is kept across the pauses between trials and across the loss of VMs. It is cleared by a trial
//! that is answered successfully, or when the request has not been seen for [`SUSPECT_TTL`].

use crate::ids::{Instant, TargetRun};
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use std::{
    collections::HashMap,
    hash::{Hash, Hasher},
    time::Duration,
};

/// Number of crashes from which a request is quarantined.
const MIN_REQUEST_CRASHES: usize = 2;
/// Number of crashes from which a part of a prompt is quarantined.
const MIN_PART_CRASHES: usize = 3;
/// Time for which an answer to a request with a part shows that the part is harmless.
pub const ALIBI_TTL: Duration = Duration::from_secs(5);
/// Parts whose last answer is remembered.
const MAX_ALIBIS: usize = 4_096;
/// Time after which a suspect that has not been seen again is dropped.
pub const SUSPECT_TTL: Duration = Duration::from_secs(24 * 3_600);
/// Suspects that are kept; beyond that, those with the fewest crashes are evicted first. A fleet that loses a quarter
/// of 140 engines with 12 requests each has 420 suspects.
const MAX_SUSPECTS: usize = 2_048;
/// Crashes that are kept for each request, including those before its last successful trial, which other VMs may still
/// report.
const MAX_CRASHES: usize = 8;

/// Low bits of a fingerprint that tell a part of a prompt from a whole request, and their value for a part.
const LEVEL_MASK: u64 = 0xff_ffff;
const PART_MARK: u64 = 0x70_6172;

/// Hash of a request's content (method, path, adapter, parts of the prompt and body), or of one part of its prompt.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct RequestFingerprint(pub u64);

/// What a fingerprint stands for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuspectLevel {
    /// A whole request.
    Request,
    /// A part that prompts share.
    Part,
}

impl RequestFingerprint {
    /// Fingerprint of a part of prompts, by the hash that names the part.
    #[must_use]
    pub fn of_part(hash: u64) -> Self {
        let mut hasher = SipHasher13::new();
        hash.hash(&mut hasher);
        Self(hasher.finish() & !LEVEL_MASK | PART_MARK)
    }

    /// Fingerprints of the parts of a prompt that other requests may share: all but the last.
    pub fn of_shared_parts(prefix: &[(u64, u32)]) -> impl Iterator<Item = Self> + '_ {
        let shared = prefix.split_last().map_or(prefix, |(_, shared)| shared);
        shared.iter().map(|(hash, _)| Self::of_part(*hash))
    }

    /// What the fingerprint stands for. One whole request in 16 million counts as a part.
    #[must_use]
    pub fn level(self) -> SuspectLevel {
        if self.0 & LEVEL_MASK == PART_MARK {
            SuspectLevel::Part
        } else {
            SuspectLevel::Request
        }
    }
}

impl SuspectLevel {
    /// Number of crashes from which a suspect of this level is quarantined.
    fn quarantine_min_crashes(self) -> usize {
        match self {
            Self::Request => MIN_REQUEST_CRASHES,
            Self::Part => MIN_PART_CRASHES,
        }
    }
}

/// A target that terminated while a request ran on it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetCrash {
    /// Request that ran on the target.
    pub fingerprint: RequestFingerprint,
    /// The target and its life.
    pub run: TargetRun,
    /// Whether the request ran as a trial.
    #[serde(default, skip_serializing_if = "is_false")]
    pub is_trial: bool,
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes the field by reference"
)]
fn is_false(value: &bool) -> bool {
    !*value
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
    /// Number of crashes of a part that were trials.
    pub trial_crashes: u32,
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
    /// Crashes of trials since the quarantine.
    trial_crashes: u32,
    expires_at: Instant,
}

impl SuspectRow {
    fn new(now: Instant) -> Self {
        Self {
            crashes: Vec::new(),
            last_crash: now,
            trial_crashes: 0,
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

    fn add_crash(&mut self, run: &TargetRun, is_trial: bool, now: Instant) -> bool {
        if self.crashes.iter().any(|recorded| recorded.run == *run) {
            return false;
        }
        if self.crashes.len() >= MAX_CRASHES {
            let cleared = self.crashes.iter().position(|recorded| recorded.is_cleared);
            // A trial's crash is kept in any case, as it decides when the next trial follows.
            let Some(oldest) = cleared.or(is_trial.then_some(0)) else {
                return false;
            };
            self.crashes.remove(oldest);
        }
        let is_quarantined = self.counted_crashes().count() >= MIN_PART_CRASHES;
        self.trial_crashes += u32::from(is_quarantined && is_trial);
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
    /// When a request with each part was last known to be answered.
    alibis: HashMap<RequestFingerprint, Instant>,
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
        let is_new = row.add_crash(&crash.run, crash.is_trial, now);
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
        row.trial_crashes = 0;
        row.crashes
            .iter_mut()
            .for_each(|recorded| recorded.is_cleared = true);
        self.revision += u64::from(was_suspect);
        was_suspect
    }

    /// Records that a request with a part was answered; returns whether the part was a suspect, whose crashes are cleared.
    pub fn record_alibi(&mut self, part: RequestFingerprint, now: Instant) -> bool {
        if !self.alibis.contains_key(&part) && self.alibis.len() >= MAX_ALIBIS {
            self.alibis.retain(|_, at| now < at.after(ALIBI_TTL));
        }
        if self.alibis.len() < MAX_ALIBIS {
            self.alibis.insert(part, now);
        }
        self.clear(part)
    }

    /// Whether a suspect may run as a granted trial only: a request from its first crash on, a part once it is quarantined.
    #[must_use]
    pub fn needs_trial(&self, fingerprint: RequestFingerprint, now: Instant) -> bool {
        let crashes = self.suspicion(fingerprint, now).crashes();
        match fingerprint.level() {
            SuspectLevel::Request => crashes > 0,
            SuspectLevel::Part => {
                let answered_at = self.alibis.get(&fingerprint);
                let has_alibi = answered_at.is_some_and(|at| now < at.after(ALIBI_TTL));
                crashes >= MIN_PART_CRASHES && !has_alibi
            }
        }
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
        if row.counted_crashes().next().is_none() {
            row.trial_crashes = 0;
        }
        self.revision += 1;
    }

    /// Records the number of trial crashes that another VM or an earlier life of this one counted.
    pub fn record_trial_crashes(&mut self, fingerprint: RequestFingerprint, trial_crashes: u32) {
        if let Some(row) = self.rows.get_mut(&fingerprint) {
            row.trial_crashes = trial_crashes.max(row.trial_crashes);
        }
    }

    /// Number of crashes of a part that were trials.
    #[must_use]
    pub fn trial_crashes(&self, fingerprint: RequestFingerprint) -> u32 {
        let row = self.rows.get(&fingerprint);
        row.map_or(0, |row| row.trial_crashes)
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
            trial_crashes: row.trial_crashes,
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
        let min_crashes = fingerprint.level().quarantine_min_crashes();
        (crashes.len() >= min_crashes).then_some(crashes)
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
                is_trial: false,
            })
        })
    }

    /// Number of suspects, and how many of them are quarantined.
    #[must_use]
    pub fn counts(&self, now: Instant) -> (usize, usize) {
        let rows = self.rows.iter().filter(|(_, row)| row.is_current(now));
        let suspects = rows
            .map(|(fingerprint, row)| (fingerprint.level(), row.counted_crashes().count()))
            .filter(|(_, crashes)| *crashes > 0);
        suspects.fold((0, 0), |(suspected, quarantined), (level, crashes)| {
            let is_quarantined = crashes >= level.quarantine_min_crashes();
            (suspected + 1, quarantined + usize::from(is_quarantined))
        })
    }
}
