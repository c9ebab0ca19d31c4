//! State folded from the platform's log.
//!
//! [`FoldedState`] is the state that every daemon derives from the log by applying its records in the order of their
//! offsets. It never moves backwards: a record at or below the applied offset is ignored, and a snapshot replaces the
//! state only if it is newer.

use crate::{
    config::{ChangeOutcome, ConfigState},
    ids::{ChangeId, LogOffset},
    log::{LogRecord, SnapshotPart},
    ownership::{OwnershipEffect, OwnershipState},
    request::KeyTable,
};
use serde::{Deserialize, Serialize};

/// Maximum number of bytes of a snapshot's JSON text in one record.
pub const MAX_SNAPSHOT_PART_BYTES: usize = 128 * 1024;

/// Configuration, target ownership and key claims as of a log offset.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FoldedState {
    /// Offset of the last applied record; zero before the first.
    pub applied: LogOffset,
    /// Configuration.
    pub config: ConfigState,
    /// Target ownership.
    pub ownership: OwnershipState,
    /// Claims of callers' idempotency keys.
    pub keys: KeyTable,
    /// Highest offset covered by a snapshot whose last part was read.
    pub snapshot_through: LogOffset,
}

/// Effect of a record on the folded state.
#[derive(Clone, Debug, PartialEq)]
pub enum FoldEffect {
    /// No effect.
    None,
    /// A configuration change was accepted or refused.
    Change(ChangeId, ChangeOutcome),
    /// A record about target ownership was applied.
    Ownership(OwnershipEffect),
    /// Idempotency keys were claimed.
    Keys,
    /// A snapshot part was read.
    Snapshot,
}

impl FoldedState {
    /// Applies one record; a record at or below the applied offset has no effect.
    pub fn apply(&mut self, offset: LogOffset, record: &LogRecord) -> FoldEffect {
        if offset <= self.applied {
            return FoldEffect::None;
        }
        self.applied = offset;
        match record {
            LogRecord::Change(change) => {
                FoldEffect::Change(change.id.clone(), self.config.apply(offset, change))
            }
            LogRecord::Takeover(takeover) => {
                FoldEffect::Ownership(self.ownership.apply_takeover(offset, takeover))
            }
            LogRecord::UnloadIntent(intent) => {
                FoldEffect::Ownership(self.ownership.apply_intent(offset, intent))
            }
            LogRecord::IntentClosed(closed) => {
                FoldEffect::Ownership(self.ownership.apply_intent_closed(closed))
            }
            LogRecord::Settled(settled) => {
                FoldEffect::Ownership(self.ownership.apply_settled(settled))
            }
            LogRecord::KeyClaims(batch) => {
                self.keys.apply(offset, &batch.holder, &batch.claims);
                FoldEffect::Keys
            }
            LogRecord::Snapshot(part) => {
                if part.index + 1 == part.count {
                    self.snapshot_through = self.snapshot_through.max(part.through);
                }
                FoldEffect::Snapshot
            }
        }
    }

    /// Skips a record that cannot be decoded. Every daemon must skip the same records, or their states would diverge.
    pub fn skip(&mut self, offset: LogOffset) {
        self.applied = self.applied.max(offset);
    }

    /// Replaces the state by another daemon's state if that is newer; returns whether it did.
    pub fn replace_if_newer(&mut self, other: Self) -> bool {
        if other.applied <= self.applied {
            return false;
        }
        *self = other;
        true
    }

    /// Splits the state into snapshot records for the log; `writer` tells apart snapshots of different writers.
    ///
    /// # Panics
    /// Does not panic in practice, because the state can always be serialised to JSON.
    #[must_use]
    pub fn snapshot_parts(&self, writer: u64) -> Vec<SnapshotPart> {
        let text = serde_json::to_string(self).expect("the state has a JSON form");
        let pieces = split_text(&text, MAX_SNAPSHOT_PART_BYTES);
        let count = pieces.len() as u32;
        let parts = pieces
            .into_iter()
            .enumerate()
            .map(|(index, piece)| SnapshotPart {
                through: self.applied,
                writer,
                index: index as u32,
                count,
                text: piece.to_owned(),
            });
        parts.collect()
    }
}

fn split_text(text: &str, size: usize) -> Vec<&str> {
    let mut pieces = Vec::new();
    let mut rest = text;
    while rest.len() > size {
        let mut end = size;
        while !rest.is_char_boundary(end) {
            end -= 1;
        }
        let (piece, tail) = rest.split_at(end);
        pieces.push(piece);
        rest = tail;
    }
    pieces.push(rest);
    pieces
}

/// Assembles a snapshot from its parts.
#[derive(Debug, Default)]
pub struct SnapshotAssembler {
    key: Option<(LogOffset, u64)>,
    pieces: Vec<Option<String>>,
}

impl SnapshotAssembler {
    /// Adds a part; returns the state once all parts of one snapshot are present. A part of an older snapshot is
    /// ignored, and one of another snapshot discards the parts collected so far.
    pub fn add(&mut self, part: &SnapshotPart) -> Option<FoldedState> {
        let key = (part.through, part.writer);
        if self.key != Some(key) {
            if self.key.is_some_and(|current| current.0 > part.through) {
                return None;
            }
            self.key = Some(key);
            self.pieces = vec![None; part.count as usize];
        }
        *self.pieces.get_mut(part.index as usize)? = Some(part.text.clone());
        let text: Option<String> = self.pieces.iter().map(Option::as_deref).collect();
        let state = serde_json::from_str(&text?).ok();
        self.key = None;
        state
    }
}
