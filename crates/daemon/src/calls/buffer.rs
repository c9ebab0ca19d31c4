//! Frames between the one who makes an answer and the one who takes it.
//!
//! A buffer holds the frames that were not acknowledged, at most [`FRAME_WINDOW`]; a maker that is ahead by that many
//! waits. So one slow caller holds up nobody else, and a broken link can be re-attached from the last frame taken.

use crate::{
    calls::{CallEnd, CallFrame, CallId, NumberedFrame},
    clock,
};
use hoplanding_core::ids::Instant;
use std::{
    collections::{HashMap, VecDeque},
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};
use tokio::sync::Notify;

/// Frames that may be under way without an acknowledgement.
pub const FRAME_WINDOW: usize = 128;

/// Why a frame was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PushError {
    /// Nobody wants the answer any more.
    Abandoned,
}

#[derive(Debug, Default)]
struct BufferState {
    frames: VecDeque<NumberedFrame>,
    next_seq: u64,
    acknowledged: u64,
    ended_at: Option<Instant>,
    abandoned: bool,
    detached_at: Option<Instant>,
}

/// Frames of one answer.
#[derive(Debug, Default)]
pub struct CallBuffer {
    state: Mutex<BufferState>,
    grown: Notify,
    room: Notify,
}

impl CallBuffer {
    /// An empty buffer.
    #[must_use]
    pub fn new() -> Arc<Self> {
        Arc::new(Self::default())
    }

    fn lock(&self) -> MutexGuard<'_, BufferState> {
        self.state.lock().expect("no holder of the lock panics")
    }

    /// Adds a frame, waiting for room.
    ///
    /// # Errors
    /// Says that nobody wants the answer any more.
    pub async fn push(&self, frame: CallFrame) -> Result<(), PushError> {
        loop {
            let room = self.room.notified();
            tokio::pin!(room);
            room.as_mut().enable();
            {
                let mut state = self.lock();
                if state.abandoned {
                    return Err(PushError::Abandoned);
                }
                if state.frames.len() < FRAME_WINDOW {
                    add_frame(&mut state, frame);
                    break;
                }
            }
            room.await;
        }
        self.grown.notify_waiters();
        Ok(())
    }

    /// Ends the answer; the last frame needs no room.
    pub fn end(&self, end: CallEnd) {
        {
            let mut state = self.lock();
            if state.ended_at.is_some() {
                return;
            }
            state.ended_at = Some(clock::now());
            add_frame(&mut state, CallFrame::End(end));
        }
        self.grown.notify_waiters();
    }

    /// Waits for the frame after those with numbers below `from`; none if it was acknowledged away or abandoned.
    pub async fn next(&self, from: u64) -> Option<NumberedFrame> {
        loop {
            let grown = self.grown.notified();
            tokio::pin!(grown);
            grown.as_mut().enable();
            {
                let state = self.lock();
                if from < state.acknowledged || state.abandoned {
                    return None;
                }
                let position = (from - state.acknowledged) as usize;
                if let Some(frame) = state.frames.get(position) {
                    return Some(frame.clone());
                }
            }
            grown.await;
        }
    }

    /// Forgets the frames with numbers below `seq`.
    pub fn acknowledge(&self, seq: u64) {
        {
            let mut state = self.lock();
            while state.frames.front().is_some_and(|frame| frame.seq < seq) {
                state.frames.pop_front();
                state.acknowledged += 1;
            }
        }
        self.room.notify_waiters();
    }

    /// Says that nobody wants the answer any more.
    pub fn abandon(&self) {
        self.lock().abandoned = true;
        self.room.notify_waiters();
        self.grown.notify_waiters();
    }

    /// Whether nobody wants the answer any more.
    #[must_use]
    pub fn is_abandoned(&self) -> bool {
        self.lock().abandoned
    }

    /// Waits until nobody wants the answer any more.
    pub async fn abandoned(&self) {
        loop {
            let room = self.room.notified();
            tokio::pin!(room);
            room.as_mut().enable();
            if self.is_abandoned() {
                return;
            }
            room.await;
        }
    }

    /// Waits until every frame was taken, or nobody wants them.
    pub async fn taken(&self) {
        loop {
            let room = self.room.notified();
            tokio::pin!(room);
            room.as_mut().enable();
            {
                let state = self.lock();
                if state.abandoned || state.ended_at.is_some() && state.frames.is_empty() {
                    return;
                }
            }
            room.await;
        }
    }

    /// Notes whether a taker is attached.
    pub fn set_attached(&self, attached: bool) {
        self.lock().detached_at = if attached { None } else { Some(clock::now()) };
    }

    fn is_over(&self, now: Instant, kept_for: Duration) -> bool {
        let state = self.lock();
        let taken = state.ended_at.is_some() && state.frames.is_empty();
        let is_old =
            |since: Option<Instant>| since.is_some_and(|since| now.since(since) > kept_for);
        taken || state.abandoned || is_old(state.detached_at) || is_old(state.ended_at)
    }
}

fn add_frame(state: &mut BufferState, frame: CallFrame) {
    let seq = state.next_seq;
    state.next_seq += 1;
    state.frames.push_back(NumberedFrame { seq, frame });
}

/// Answers that other daemons take from this one.
#[derive(Debug, Default)]
pub struct CallTable {
    buffers: Mutex<HashMap<CallId, Arc<CallBuffer>>>,
}

impl CallTable {
    /// Adds an answer.
    pub fn insert(&self, id: CallId, buffer: &Arc<CallBuffer>) {
        self.lock().insert(id, Arc::clone(buffer));
    }

    /// Finds an answer.
    #[must_use]
    pub fn get(&self, id: CallId) -> Option<Arc<CallBuffer>> {
        self.lock().get(&id).cloned()
    }

    /// Number of answers.
    #[must_use]
    pub fn len(&self) -> usize {
        self.lock().len()
    }

    /// Whether there is none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.lock().is_empty()
    }

    /// Drops what was taken, and what nobody came back for within `kept_for`.
    pub fn remove_expired(&self, kept_for: Duration) {
        let now = clock::now();
        self.lock().retain(|_, buffer| {
            let over = buffer.is_over(now, kept_for);
            if over {
                buffer.abandon();
            }
            !over
        });
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<CallId, Arc<CallBuffer>>> {
        self.buffers.lock().expect("no holder of the lock panics")
    }
}
