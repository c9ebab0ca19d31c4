//! Buffers of answers under the bounds of [`AnswerBudget`].
//!
//! The bytes of a body are copied into one buffer: a body in chunks of one byte would otherwise keep a reference, or a
//! whole read buffer, for each of them.

use crate::{
    direct::{
        error_chain::ErrorChain, event_splitter::OversizedEvent, fleet::FleetState,
        metrics::AnswerBound,
    },
    event,
    events::Event,
};
use bytes::{Bytes, BytesMut};
use hoplanding_core::{
    direct::answer_budget::{AnswerBudget, BufferId, BufferRule, GrowthVerdict, max_pieces},
    ids::TargetName,
};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::{
    collections::HashMap,
    mem,
    sync::{Arc, Mutex, MutexGuard},
};
use tokio::sync::Notify;

/// Why an answer was not buffered as a whole.
#[derive(Debug, thiserror::Error)]
pub enum BufferFault {
    /// The answer is larger than allowed.
    #[error("larger than {0} bytes: check what the target sends, or raise answers.max_mb")]
    TooLarge(usize),
    /// The VM's bound is reached, and this is the largest unfinished answer.
    #[error(
        "the largest of the unfinished answers when this VM buffered {0} bytes: check what the targets send, or raise answers.buffered_mb"
    )]
    NoRoom(usize),
    /// The answer comes in too many small pieces.
    #[error("{pieces} pieces for {bytes} bytes: check the chunks that the target sends")]
    SmallPieces {
        /// Pieces so far.
        pieces: usize,
        /// Bytes so far.
        bytes: usize,
    },
    /// An event of a stream is larger than allowed.
    #[error(transparent)]
    OversizedEvent(#[from] OversizedEvent),
    /// The body broke off.
    #[error("{0}")]
    Broken(String),
}

/// Logs and counts an answer of a target that exceeded a bound; `request` is empty for requests of this VM's own.
pub fn record_fault(fleet: &FleetState, target: &TargetName, request: &str, fault: &BufferFault) {
    let (event, bound) = match fault {
        BufferFault::TooLarge(_) | BufferFault::SmallPieces { .. } => {
            (Event::AnswerUnbounded, AnswerBound::Body)
        }
        BufferFault::OversizedEvent(_) => (Event::AnswerUnbounded, AnswerBound::Event),
        BufferFault::NoRoom(_) => (Event::BuffersFull, AnswerBound::Vm),
        BufferFault::Broken(_) => return,
    };
    if request.is_empty() {
        event!(event, "at {target}: {fault}");
    } else {
        event!(event, request = request; "at {target}: {fault}");
    }
    fleet.metrics.count_over_bound(bound);
}

#[derive(Debug, Default)]
struct BufferTable {
    budget: AnswerBudget,
    /// Signals by unfinished answer that it ends.
    ends: HashMap<BufferId, Arc<Notify>>,
}

/// Buffered answers of this VM.
#[derive(Debug, Default)]
pub struct AnswerBuffers(Mutex<BufferTable>);

impl AnswerBuffers {
    /// Buffers without answers.
    #[must_use]
    pub fn new(rule: BufferRule) -> Self {
        Self(Mutex::new(BufferTable {
            budget: AnswerBudget::new(rule),
            ends: HashMap::new(),
        }))
    }

    fn table(&self) -> MutexGuard<'_, BufferTable> {
        self.0
            .lock()
            .expect("no thread panics while it holds the lock")
    }

    /// Replaces the bounds.
    pub fn set_rule(&self, rule: BufferRule) {
        self.table().budget.set_rule(rule);
    }

    /// Bytes that count against this VM's bound.
    #[must_use]
    pub fn total_bytes(&self) -> usize {
        self.table().budget.total_bytes()
    }

    /// Reserves room for an answer, none at first.
    #[must_use]
    pub fn reserve(self: &Arc<Self>) -> BufferReservation {
        let end = Arc::new(Notify::new());
        let mut table = self.table();
        let id = table.budget.begin();
        table.ends.insert(id, Arc::clone(&end));
        BufferReservation {
            buffers: Arc::clone(self),
            id,
            end,
            pieces: 0,
            bytes: 0,
        }
    }
}

/// Room for one unfinished answer, until dropped.
#[derive(Debug)]
pub struct BufferReservation {
    buffers: Arc<AnswerBuffers>,
    id: BufferId,
    end: Arc<Notify>,
    /// Pieces in which the answer has come so far.
    pieces: usize,
    /// Bytes of the answer so far.
    bytes: usize,
}

impl BufferReservation {
    /// Records a piece of the answer, which has `bytes` bytes now. The count of pieces begins anew if `is_first`.
    ///
    /// # Errors
    /// If the answer has to end, now or since an earlier growth of another one.
    pub fn record_piece(&mut self, bytes: usize, is_first: bool) -> Result<(), BufferFault> {
        self.pieces = if is_first { 1 } else { self.pieces + 1 };
        let pieces = self.pieces;
        if pieces > max_pieces(bytes) {
            return Err(BufferFault::SmallPieces { pieces, bytes });
        }
        // Most pieces of streams are whole events, which need no room.
        if mem::replace(&mut self.bytes, bytes) == bytes {
            return Ok(());
        }
        let mut table = self.buffers.table();
        let rule = table.budget.rule();
        match table.budget.resize(self.id, bytes) {
            GrowthVerdict::Fits => Ok(()),
            GrowthVerdict::TooLarge => Err(BufferFault::TooLarge(rule.max_answer_bytes)),
            GrowthVerdict::Ended => Err(BufferFault::NoRoom(rule.max_total_bytes)),
            GrowthVerdict::Ends(largest) if largest == self.id => {
                Err(BufferFault::NoRoom(rule.max_total_bytes))
            }
            GrowthVerdict::Ends(largest) => {
                if let Some(end) = table.ends.get(&largest) {
                    end.notify_one();
                }
                Ok(())
            }
        }
    }

    /// Waits until the growth of another answer ends this one.
    pub async fn ended(&self) -> BufferFault {
        self.end.notified().await;
        BufferFault::NoRoom(self.buffers.table().budget.rule().max_total_bytes)
    }

    /// Reads a whole body of at most `max_bytes`.
    ///
    /// # Errors
    /// Why it was not read to its end.
    pub async fn read_body(
        mut self,
        mut body: Incoming,
        max_bytes: usize,
    ) -> Result<Bytes, BufferFault> {
        let mut bytes = BytesMut::new();
        loop {
            let frame = tokio::select! {
                biased;
                fault = self.ended() => return Err(fault),
                frame = body.frame() => frame,
            };
            match frame {
                Some(Ok(frame)) => {
                    let Some(data) = frame.data_ref() else {
                        continue;
                    };
                    if bytes.len() + data.len() > max_bytes {
                        return Err(BufferFault::TooLarge(max_bytes));
                    }
                    self.record_piece(bytes.len() + data.len(), false)?;
                    bytes.extend_from_slice(data);
                }
                Some(Err(error)) => {
                    return Err(BufferFault::Broken(ErrorChain(&error).to_string()));
                }
                None => return Ok(self.complete(bytes.freeze())),
            }
        }
    }

    /// The bytes of a complete answer, which count until the last reference to them is dropped.
    fn complete(self, bytes: Bytes) -> Bytes {
        let counted = self.buffers.table().budget.complete(self.id);
        Bytes::from_owner(UndeliveredAnswer {
            bytes,
            counted,
            buffers: Arc::clone(&self.buffers),
        })
    }
}

impl Drop for BufferReservation {
    fn drop(&mut self) {
        let mut table = self.buffers.table();
        table.budget.end(self.id);
        table.ends.remove(&self.id);
    }
}

/// A complete answer that is still in memory.
struct UndeliveredAnswer {
    bytes: Bytes,
    counted: usize,
    buffers: Arc<AnswerBuffers>,
}

impl AsRef<[u8]> for UndeliveredAnswer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for UndeliveredAnswer {
    fn drop(&mut self) {
        self.buffers.table().budget.record_delivery(self.counted);
    }
}
