//! Memory for answers that are buffered until they, or their next events, are complete.
//!
//! The load is targets that send bodies or events without end over many calls at once. A bound for one answer does not
//! bound their sum, so the VM has a bound as well. When that is reached, the largest unfinished answer ends: an unbounded
//! one outgrows the others sooner or later, and answers of the usual few kilobytes go on.
//!
//! Complete answers count until callers have them, but only up to half of the VM's bound. They never end here, and
//! callers that read slowly must not end the answers of others.

use std::collections::HashMap;

/// Pieces in which an answer of any size may come.
const FREE_PIECES: usize = 2048;
/// Mean size of the pieces beyond.
const MIN_PIECE_BYTES: usize = 256;

/// Bounds of buffered answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BufferRule {
    /// Largest buffered answer, in bytes.
    pub max_answer_bytes: usize,
    /// Largest sum of all buffered answers of the VM, in bytes.
    pub max_total_bytes: usize,
}

impl Default for BufferRule {
    /// Answers of plain services are a few kilobytes. A tenth of the memory of the smallest VM (160 MB) holds hundreds.
    fn default() -> Self {
        Self {
            max_answer_bytes: 8 << 20,
            max_total_bytes: 16 << 20,
        }
    }
}

/// Pieces in which an answer of a size may come. Endless bodies in chunks of one byte hold 32 concurrent calls of a debug build
/// for 1.3 s with 2,048 free pieces, and until their deadline of 4 s with 16,384.
#[must_use]
pub fn max_pieces(bytes: usize) -> usize {
    FREE_PIECES + bytes / MIN_PIECE_BYTES
}

/// Identifies an unfinished answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct BufferId(u64);

/// What follows from the growth of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
pub enum GrowthVerdict {
    /// There is room.
    Fits,
    /// The answer is over the bound for one answer; it is no longer counted.
    TooLarge,
    /// The VM's bound is reached. This answer, the largest of the unfinished ones, ends and is no longer counted. It may be
    /// the one that grew.
    Ends(BufferId),
    /// The answer was ended before.
    Ended,
}

/// Sizes of the buffered answers of a VM.
#[derive(Debug, Default)]
pub struct AnswerBudget {
    rule: BufferRule,
    last_id: u64,
    unfinished: HashMap<BufferId, usize>,
    unfinished_bytes: usize,
    undelivered_bytes: usize,
}

impl AnswerBudget {
    /// A budget without answers.
    #[must_use]
    pub fn new(rule: BufferRule) -> Self {
        Self {
            rule,
            ..Self::default()
        }
    }

    /// The bounds in force.
    #[must_use]
    pub fn rule(&self) -> BufferRule {
        self.rule
    }

    /// Replaces the bounds; they apply from the next growth on.
    pub fn set_rule(&mut self, rule: BufferRule) {
        self.rule = rule;
    }

    /// Begins an answer without bytes.
    pub fn begin(&mut self) -> BufferId {
        self.last_id += 1;
        let id = BufferId(self.last_id);
        self.unfinished.insert(id, 0);
        id
    }

    /// Sets the size of an unfinished answer, which may also have shrunk.
    pub fn resize(&mut self, id: BufferId, bytes: usize) -> GrowthVerdict {
        let Some(size) = self.unfinished.get_mut(&id) else {
            return GrowthVerdict::Ended;
        };
        let has_grown = bytes > *size;
        self.unfinished_bytes = self.unfinished_bytes - *size + bytes;
        *size = bytes;
        if bytes > self.rule.max_answer_bytes {
            self.end(id);
            return GrowthVerdict::TooLarge;
        }
        if !has_grown || self.total_bytes() <= self.rule.max_total_bytes {
            return GrowthVerdict::Fits;
        }
        // Of several largest ones the latest ends, which has had the least work done for it.
        let largest = self
            .unfinished
            .iter()
            .max_by_key(|(id, size)| (**size, **id));
        let largest = largest.map_or(id, |(largest, _)| *largest);
        self.end(largest);
        GrowthVerdict::Ends(largest)
    }

    /// Ends an answer without a delivery.
    pub fn end(&mut self, id: BufferId) {
        if let Some(size) = self.unfinished.remove(&id) {
            self.unfinished_bytes -= size;
        }
    }

    /// Ends a complete answer, which counts as undelivered until [`record_delivery`](Self::record_delivery). Returns its
    /// size.
    pub fn complete(&mut self, id: BufferId) -> usize {
        let size = self.unfinished.get(&id).copied().unwrap_or(0);
        self.end(id);
        self.undelivered_bytes += size;
        size
    }

    /// Records that a complete answer of this size is no longer in memory.
    pub fn record_delivery(&mut self, bytes: usize) {
        self.undelivered_bytes = self.undelivered_bytes.saturating_sub(bytes);
    }

    /// Bytes that count against the VM's bound.
    #[must_use]
    pub fn total_bytes(&self) -> usize {
        let undelivered = self.undelivered_bytes.min(self.rule.max_total_bytes / 2);
        self.unfinished_bytes + undelivered
    }
}
