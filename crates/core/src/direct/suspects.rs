//! Requests under which targets ended.
//!
//! A poison request crashes whatever runs it. Its caller comes back, and others send the same, so what has to be known is
//! the request by what it asks, not its id: its fingerprint. When a target ends, every request that ran on it is a suspect: one
//! of them may be the cause. Suspects run as trials only (see `trials`), and no two suspects of one end share a target
//! again where there is another, so that a second end tells which of them is the cause.
//!
//! The count of ends outlives every pause between trials, and all VMs. It ends with a trial that is answered well, or once the
//! request has stayed away for a day.

use crate::ids::{Instant, TargetRun};
use serde::{Deserialize, Serialize};
use std::{collections::HashMap, time::Duration};

/// Ends from which a request is quarantined.
pub const QUARANTINE_MIN_CRASHES: usize = 2;
/// Time after which a request that stays away is forgotten.
pub const SUSPECT_TTL: Duration = Duration::from_secs(24 * 3_600);
/// Requests that are remembered; beyond that those with the fewest ends go first. A fleet that loses a quarter of 140 engines
/// with 12 requests each has 420 of them.
const KEPT_MOST: usize = 2_048;
/// Ends of one request that are remembered, also those before its last good answer, which other VMs may still tell of.
const ENDS_MOST: usize = 8;

/// A request by what it asks: method, path, adapter, parts of the prompt and body.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct RequestFingerprint(pub u64);

/// A target that ended while a request ran there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetCrash {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// The target and its life.
    pub run: TargetRun,
}

/// How a request stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Suspicion {
    /// Nothing is known against it.
    Clear,
    /// Targets ended under it.
    Suspected {
        /// How many.
        crashes: usize,
        /// When the last end was noted.
        last_crash: Instant,
    },
}

impl Suspicion {
    /// Targets that ended under it.
    #[must_use]
    pub fn ends(self) -> usize {
        match self {
            Self::Clear => 0,
            Self::Suspected { crashes: ends, .. } => ends,
        }
    }
}

/// What counts against a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SuspectStatus {
    /// Targets that ended under it, in the order in which they were noted.
    pub crashes: Vec<TargetRun>,
    /// When the last one was noted.
    pub last_crash: Instant,
    /// When it is forgotten unless it comes again.
    pub expires_at: Instant,
}

#[derive(Clone, Debug)]
struct NotedEnd {
    run: TargetRun,
    /// Whether the request has been answered well since.
    is_pardoned: bool,
}

#[derive(Clone, Debug)]
struct SuspectRow {
    /// Targets that ended under it, in the order in which they were noted.
    ends: Vec<NotedEnd>,
    /// When the last one was noted.
    since: Instant,
    /// When it is forgotten.
    until: Instant,
}

impl SuspectRow {
    fn new(now: Instant) -> Self {
        Self {
            ends: Vec::new(),
            since: now,
            until: now,
        }
    }

    /// Ends that count against it.
    fn counted(&self) -> impl Iterator<Item = &TargetRun> {
        let counted = self.ends.iter().filter(|end| !end.is_pardoned);
        counted.map(|end| &end.run)
    }

    fn is_counted(&self, run: &TargetRun) -> bool {
        self.counted().any(|counted| counted == run)
    }

    fn note(&mut self, run: &TargetRun, now: Instant) -> bool {
        if self.ends.iter().any(|end| end.run == *run) {
            return false;
        }
        if self.ends.len() >= ENDS_MOST {
            let Some(oldest) = self.ends.iter().position(|end| end.is_pardoned) else {
                return false;
            };
            self.ends.remove(oldest);
        }
        self.ends.push(NotedEnd {
            run: run.clone(),
            is_pardoned: false,
        });
        self.since = now;
        true
    }

    fn is_remembered(&self, now: Instant) -> bool {
        now < self.until
    }
}

/// Requests under which targets ended.
#[derive(Clone, Debug, Default)]
pub struct SuspectTable {
    rows: HashMap<RequestFingerprint, SuspectRow>,
    revision: u64,
}

impl SuspectTable {
    /// Rises with every change.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Notes that a target ended under a request; says whether that is news.
    pub fn record_crash(&mut self, ended: &TargetCrash, now: Instant) -> bool {
        self.record_crash_until(ended, now.after(SUSPECT_TTL), now)
    }

    /// Notes an end that is remembered until a time; says whether it is news.
    pub fn record_crash_until(
        &mut self,
        ended: &TargetCrash,
        until: Instant,
        now: Instant,
    ) -> bool {
        self.rows.retain(|_, row| row.is_remembered(now));
        if until <= now {
            return false;
        }
        let row = self.rows.entry(ended.fingerprint);
        let row = row.or_insert_with(|| SuspectRow::new(now));
        let is_news = row.note(&ended.run, now);
        if is_news {
            row.until = row.until.max(until);
            self.drop_beyond(ended.fingerprint);
            self.revision += 1;
        }
        is_news
    }

    fn drop_beyond(&mut self, newest: RequestFingerprint) {
        if self.rows.len() <= KEPT_MOST {
            return;
        }
        let others = self.rows.iter().filter(|(known, _)| **known != newest);
        let least = others.min_by_key(|(_, row)| (row.counted().count(), row.until));
        if let Some(fingerprint) = least.map(|(fingerprint, _)| *fingerprint) {
            self.rows.remove(&fingerprint);
        }
    }

    /// A trial of a request was answered well: it is not what ended targets before. Says whether it was a suspect.
    pub fn clear(&mut self, fingerprint: RequestFingerprint) -> bool {
        let Some(row) = self.rows.get_mut(&fingerprint) else {
            return false;
        };
        let was_suspect = row.counted().next().is_some();
        row.ends.iter_mut().for_each(|end| end.is_pardoned = true);
        self.revision += u64::from(was_suspect);
        was_suspect
    }

    /// Some ends of a request no longer count against it.
    pub fn clear_crashes(&mut self, fingerprint: RequestFingerprint, runs: &[TargetRun]) {
        let Some(row) = self.rows.get_mut(&fingerprint) else {
            return;
        };
        for end in row.ends.iter_mut().filter(|end| runs.contains(&end.run)) {
            end.is_pardoned = true;
        }
        self.revision += 1;
    }

    /// A suspect came again.
    pub fn refresh(&mut self, fingerprint: RequestFingerprint, now: Instant) {
        if let Some(row) = self.rows.get_mut(&fingerprint) {
            row.until = now.after(SUSPECT_TTL);
        }
    }

    /// How a request stands.
    #[must_use]
    pub fn suspicion(&self, fingerprint: RequestFingerprint, now: Instant) -> Suspicion {
        let row = self.rows.get(&fingerprint);
        let row = row.filter(|row| row.is_remembered(now));
        match row.map(|row| (row.counted().count(), row.since)) {
            None | Some((0, _)) => Suspicion::Clear,
            Some((ends, since)) => Suspicion::Suspected {
                crashes: ends,
                last_crash: since,
            },
        }
    }

    /// What counts against a request; nothing if it is clear.
    #[must_use]
    pub fn status(&self, fingerprint: RequestFingerprint, now: Instant) -> Option<SuspectStatus> {
        let row = self.rows.get(&fingerprint)?;
        let ended: Vec<_> = row.counted().cloned().collect();
        let is_suspect = !ended.is_empty() && row.is_remembered(now);
        is_suspect.then_some(SuspectStatus {
            crashes: ended,
            last_crash: row.since,
            expires_at: row.until,
        })
    }

    /// Requests that are suspected.
    pub fn suspected(&self, now: Instant) -> impl Iterator<Item = RequestFingerprint> + '_ {
        let rows = self.rows.iter();
        rows.filter(move |(_, row)| row.is_remembered(now) && row.counted().next().is_some())
            .map(|(fingerprint, _)| *fingerprint)
    }

    /// Targets that ended under a quarantined request; none if it is not quarantined.
    #[must_use]
    pub fn quarantine(&self, fingerprint: RequestFingerprint) -> Option<Vec<TargetRun>> {
        let counted: Vec<_> = self.rows.get(&fingerprint)?.counted().cloned().collect();
        (counted.len() >= QUARANTINE_MIN_CRASHES).then_some(counted)
    }

    /// Whether a target ended under both requests.
    #[must_use]
    pub fn share_crash(&self, fingerprint: RequestFingerprint, other: RequestFingerprint) -> bool {
        let (Some(row), Some(other)) = (self.rows.get(&fingerprint), self.rows.get(&other)) else {
            return false;
        };
        row.counted().any(|run| other.is_counted(run))
    }

    /// What is known, to be told to another VM.
    pub fn crashes(&self, now: Instant) -> impl Iterator<Item = TargetCrash> + '_ {
        let rows = self
            .rows
            .iter()
            .filter(move |(_, row)| row.is_remembered(now));
        rows.flat_map(|(fingerprint, row)| {
            row.counted().map(|run| TargetCrash {
                fingerprint: *fingerprint,
                run: run.clone(),
            })
        })
    }

    /// Requests that are suspected, and those of them that are quarantined.
    #[must_use]
    pub fn counts(&self, now: Instant) -> (usize, usize) {
        let rows = self.rows.values().filter(|row| row.is_remembered(now));
        let ends = rows
            .map(|row| row.counted().count())
            .filter(|ends| *ends > 0);
        ends.fold((0, 0), |(suspected, quarantined), ends| {
            let is_quarantined = ends >= QUARANTINE_MIN_CRASHES;
            (suspected + 1, quarantined + usize::from(is_quarantined))
        })
    }
}
