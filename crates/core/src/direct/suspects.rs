//! Requests under which targets ended.
//!
//! A poison request crashes whatever runs it. Its caller comes back, and others send the same, so what has to be known is
//! the request by what it asks, not its id: its fingerprint. When a target ends, every request that ran on it is a suspect: one
//! of them may be the cause. Suspects run as trials only (see `trials`), and no two suspects of one end share a target
//! again where there is another, so that a second end tells which of them is the cause.
//!
//! The count of ends outlives every pause between trials. It ends with a trial that is answered well, or once the
//! request has stayed away for a day.

use crate::ids::{Instant, TargetRun};
use serde::{Deserialize, Serialize};
use std::{collections::HashMap, time::Duration};

/// Ends from which a request is quarantined.
pub const QUARANTINED_FROM: usize = 2;
/// Time after which a request that stays away is forgotten.
const REMEMBERED_FOR: Duration = Duration::from_secs(24 * 3_600);
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
pub struct EndedUnder {
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
        ends: usize,
        /// When the last end was noted.
        since: Instant,
    },
}

impl Suspicion {
    /// Targets that ended under it.
    #[must_use]
    pub fn ends(self) -> usize {
        match self {
            Self::Clear => 0,
            Self::Suspected { ends, .. } => ends,
        }
    }
}

#[derive(Clone, Debug)]
struct SuspectRow {
    /// Targets that ended under it, in the order in which they were noted.
    ended: Vec<TargetRun>,
    /// How many of them came before its last good answer.
    pardoned: usize,
    /// When the last one was noted.
    since: Instant,
    /// When it was last heard of.
    seen: Instant,
}

impl SuspectRow {
    fn new(now: Instant) -> Self {
        Self {
            ended: Vec::new(),
            pardoned: 0,
            since: now,
            seen: now,
        }
    }

    /// Ends that count against it.
    fn counted(&self) -> &[TargetRun] {
        &self.ended[self.pardoned..]
    }

    fn note(&mut self, run: &TargetRun, now: Instant) -> bool {
        if self.ended.contains(run) {
            return false;
        }
        if self.ended.len() >= ENDS_MOST {
            if self.pardoned == 0 {
                return false;
            }
            self.ended.remove(0);
            self.pardoned -= 1;
        }
        self.ended.push(run.clone());
        self.since = now;
        self.seen = now;
        true
    }

    fn is_remembered(&self, now: Instant) -> bool {
        now.since(self.seen) < REMEMBERED_FOR
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
    pub fn note_ended(&mut self, ended: &EndedUnder, now: Instant) -> bool {
        self.rows.retain(|_, row| row.is_remembered(now));
        let row = self.rows.entry(ended.fingerprint);
        let is_news = row
            .or_insert_with(|| SuspectRow::new(now))
            .note(&ended.run, now);
        if is_news {
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
        let least = others.min_by_key(|(_, row)| (row.counted().len(), row.seen));
        if let Some(fingerprint) = least.map(|(fingerprint, _)| *fingerprint) {
            self.rows.remove(&fingerprint);
        }
    }

    /// A trial of a request was answered well: it is not what ended targets before. Says whether it was a suspect.
    pub fn pardon(&mut self, fingerprint: RequestFingerprint) -> bool {
        let Some(row) = self.rows.get_mut(&fingerprint) else {
            return false;
        };
        let was_suspect = !row.counted().is_empty();
        row.pardoned = row.ended.len();
        self.revision += u64::from(was_suspect);
        was_suspect
    }

    /// A suspect came again.
    pub fn note_return(&mut self, fingerprint: RequestFingerprint, now: Instant) {
        if let Some(row) = self.rows.get_mut(&fingerprint) {
            row.seen = now;
        }
    }

    /// How a request stands.
    #[must_use]
    pub fn suspicion(&self, fingerprint: RequestFingerprint, now: Instant) -> Suspicion {
        let row = self.rows.get(&fingerprint);
        match row.filter(|row| row.is_remembered(now) && !row.counted().is_empty()) {
            None => Suspicion::Clear,
            Some(row) => Suspicion::Suspected {
                ends: row.counted().len(),
                since: row.since,
            },
        }
    }

    /// Targets that ended under a quarantined request; none if it is not quarantined.
    #[must_use]
    pub fn quarantine(&self, fingerprint: RequestFingerprint) -> Option<&[TargetRun]> {
        let counted = self.rows.get(&fingerprint)?.counted();
        (counted.len() >= QUARANTINED_FROM).then_some(counted)
    }

    /// Whether a target ended under both requests.
    #[must_use]
    pub fn share_an_end(&self, fingerprint: RequestFingerprint, other: RequestFingerprint) -> bool {
        let (Some(row), Some(other)) = (self.rows.get(&fingerprint), self.rows.get(&other)) else {
            return false;
        };
        row.counted()
            .iter()
            .any(|run| other.counted().contains(run))
    }

    /// What is known, to be told to another VM.
    pub fn told(&self, now: Instant) -> impl Iterator<Item = EndedUnder> + '_ {
        let rows = self
            .rows
            .iter()
            .filter(move |(_, row)| row.is_remembered(now));
        rows.flat_map(|(fingerprint, row)| {
            row.counted().iter().map(|run| EndedUnder {
                fingerprint: *fingerprint,
                run: run.clone(),
            })
        })
    }

    /// Requests that are suspected, and those of them that are quarantined.
    #[must_use]
    pub fn counts(&self, now: Instant) -> (usize, usize) {
        let rows = self.rows.values().filter(|row| row.is_remembered(now));
        let ends = rows.map(|row| row.counted().len()).filter(|ends| *ends > 0);
        ends.fold((0, 0), |(suspected, quarantined), ends| {
            let is_quarantined = ends >= QUARANTINED_FROM;
            (suspected + 1, quarantined + usize::from(is_quarantined))
        })
    }
}
