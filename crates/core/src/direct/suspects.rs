//! Requests under which targets ended.
//!
//! A request may crash whatever runs it. Its caller comes back, and others send the same, so what has to be known is
//! the request by what it asks, not its id. When a target ends, every request that ran on it is suspected: one of them
//! may be the cause. A second target that ends under the same request quarantines it, and it is sent nowhere until the
//! suspicion ends.
//!
//! The others that ran on the target must not be quarantined with it. So a suspected request that is answered well is
//! cleared, the same request runs once at a time while it is suspected, and no two suspects of one end share a target
//! again where there is another. A suspicion ends by itself; each end after the second makes it last longer, as the
//! first trial after it costs a target.

use crate::ids::{Instant, TargetRun};
use serde::{Deserialize, Serialize};
use std::{collections::HashMap, time::Duration};

/// Targets that ended under a request, from which it is sent nowhere. The users bear three.
const QUARANTINED_FROM: usize = 2;
/// Time from the last end until a suspicion is over, by the number of ends: a suspect, one that is quarantined, and one
/// whose trial ended a third target. A suspect's caller is back within its deadline, 15 s; one that is quarantined
/// wrongly waits for half a minute.
const SUSPECTED_FOR: Duration = Duration::from_secs(20);
const QUARANTINED_FOR: Duration = Duration::from_secs(30);
const PROVEN_FOR: Duration = Duration::from_secs(3_600);
/// Suspicions that are kept; beyond that those that end first go. A fleet that loses a quarter of 140 engines with 12
/// requests each has 420 of them.
const KEPT_MOST: usize = 2_048;

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
    /// A target ended under it.
    Suspected,
    /// Targets ended under it again and again: it is sent nowhere until then.
    Quarantined(Instant),
}

#[derive(Clone, Debug)]
struct SuspectRow {
    /// Targets that ended under it, no more than matter.
    ended: Vec<TargetRun>,
    until: Instant,
}

/// Requests under which targets ended lately.
#[derive(Clone, Debug, Default)]
pub struct SuspectTable {
    rows: HashMap<RequestFingerprint, SuspectRow>,
}

impl SuspectTable {
    /// Notes that a target ended under a request; says whether that is news.
    pub fn note_ended(&mut self, ended: &EndedUnder, now: Instant) -> bool {
        self.rows.retain(|_, row| now < row.until);
        let row = self.rows.entry(ended.fingerprint).or_insert(SuspectRow {
            ended: Vec::new(),
            until: now,
        });
        if row.ended.contains(&ended.run) || row.ended.len() > QUARANTINED_FROM {
            return false;
        }
        row.ended.push(ended.run.clone());
        let lasts = match row.ended.len() {
            0 | 1 => SUSPECTED_FOR,
            QUARANTINED_FROM => QUARANTINED_FOR,
            _ => PROVEN_FOR,
        };
        row.until = now.after(lasts);
        self.drop_beyond();
        true
    }

    fn drop_beyond(&mut self) {
        if self.rows.len() <= KEPT_MOST {
            return;
        }
        let first = self.rows.iter().min_by_key(|(_, row)| row.until);
        if let Some(fingerprint) = first.map(|(fingerprint, _)| *fingerprint) {
            self.rows.remove(&fingerprint);
        }
    }

    /// A request was answered well: it is not what ended a target before.
    pub fn clear(&mut self, fingerprint: RequestFingerprint) {
        self.rows.remove(&fingerprint);
    }

    /// How a request stands.
    #[must_use]
    pub fn suspicion(&self, fingerprint: RequestFingerprint, now: Instant) -> Suspicion {
        match self.rows.get(&fingerprint).filter(|row| now < row.until) {
            None => Suspicion::Clear,
            Some(row) if row.ended.len() >= QUARANTINED_FROM => Suspicion::Quarantined(row.until),
            Some(_) => Suspicion::Suspected,
        }
    }

    /// Whether a target ended under both requests.
    #[must_use]
    pub fn share_an_end(&self, fingerprint: RequestFingerprint, other: RequestFingerprint) -> bool {
        let (Some(row), Some(other)) = (self.rows.get(&fingerprint), self.rows.get(&other)) else {
            return false;
        };
        row.ended.iter().any(|run| other.ended.contains(run))
    }

    /// What is known, to be told to another VM.
    pub fn told(&self, now: Instant) -> impl Iterator<Item = EndedUnder> + '_ {
        let rows = self.rows.iter().filter(move |(_, row)| now < row.until);
        rows.flat_map(|(fingerprint, row)| {
            row.ended.iter().map(|run| EndedUnder {
                fingerprint: *fingerprint,
                run: run.clone(),
            })
        })
    }

    /// Requests that are suspected, and those of them that are quarantined.
    #[must_use]
    pub fn counts(&self, now: Instant) -> (usize, usize) {
        let rows = self.rows.values().filter(|row| now < row.until);
        rows.fold((0, 0), |(suspected, quarantined), row| {
            let is_quarantined = row.ended.len() >= QUARANTINED_FROM;
            (suspected + 1, quarantined + usize::from(is_quarantined))
        })
    }
}
