//! The fold of the whole log.
//!
//! [`FoldedState`] is the one thing that every daemon derives from the log. It applies records by offset and never
//! goes back: a record at or below the applied offset is passed over.

use crate::{
    config::{ChangeOutcome, ConfigState},
    ids::{ChangeId, LogOffset},
    log::{LogRecord, SnapshotPart},
    ownership::{OwnershipEffect, OwnershipState},
    request::KeyTable,
};
use serde::{Deserialize, Serialize};

/// Characters of a snapshot that one record carries.
pub const MAX_SNAPSHOT_PART_BYTES: usize = 128 * 1024;

/// Configuration, holders and keys as of an offset.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FoldedState {
    /// Offset of the last record that is folded in; zero before the first.
    pub applied: LogOffset,
    /// The configuration.
    pub config: ConfigState,
    /// The holders of the targets.
    pub ownership: OwnershipState,
    /// Claims of callers' own keys.
    pub keys: KeyTable,
    /// Offset up to which the newest snapshot in the log reaches.
    pub snapshot_through: LogOffset,
}

/// What a record did.
#[derive(Clone, Debug, PartialEq)]
pub enum FoldEffect {
    /// Nothing.
    None,
    /// A change was accepted or refused.
    Change(ChangeId, ChangeOutcome),
    /// Something became of a target's holder.
    Ownership(OwnershipEffect),
    /// Keys were claimed.
    Keys,
    /// A snapshot part was seen.
    Snapshot,
}

impl FoldedState {
    /// Folds one record; one at or below the applied offset has no effect.
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

    /// Passes over a record that can't be decoded; every daemon passes over the same ones.
    pub fn skip(&mut self, offset: LogOffset) {
        self.applied = self.applied.max(offset);
    }

    /// Takes another daemon's state if it is newer; an older one is refused.
    pub fn replace_if_newer(&mut self, other: Self) -> bool {
        if other.applied <= self.applied {
            return false;
        }
        *self = other;
        true
    }

    /// Splits the state into records for the log.
    ///
    /// # Panics
    /// Never: the state always has a JSON form.
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

/// Puts snapshots together from their parts.
#[derive(Debug, Default)]
pub struct SnapshotAssembler {
    key: Option<(LogOffset, u64)>,
    pieces: Vec<Option<String>>,
}

impl SnapshotAssembler {
    /// Takes a part; returns the state once all parts of one snapshot are there.
    pub fn add(&mut self, part: &SnapshotPart) -> Option<FoldedState> {
        let key = (part.through, part.writer);
        if self.key != Some(key) {
            if self.key.is_some_and(|held| held.0 > part.through) {
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
