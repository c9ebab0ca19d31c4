//! Buffer of frames between the producer of an answer and its reader.
//!
//! A buffer holds at most [`FRAME_WINDOW`] unacknowledged frames; then the producer waits. One slow caller therefore
//! blocks nobody else, and the reader can re-attach after a broken link from the last frame that it received.

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

/// Largest number of unacknowledged frames of an answer.
pub const FRAME_WINDOW: usize = 128;

/// Why a frame was not added.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PushError {
    /// The reader is gone.
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

/// Frames of one answer, with flow control.
#[derive(Debug, Default)]
pub struct CallBuffer {
    state: Mutex<BufferState>,
    frame_added: Notify,
    space_freed: Notify,
}

impl CallBuffer {
    /// Creates an empty buffer.
    #[must_use]
    pub fn new() -> Arc<Self> {
        Arc::new(Self::default())
    }

    fn lock(&self) -> MutexGuard<'_, BufferState> {
        self.state
            .lock()
            .expect("no thread panics while it holds the lock")
    }

    /// Adds a frame, waiting until the window has room.
    ///
    /// # Errors
    /// Returns [`PushError::Abandoned`] if the answer is no longer needed.
    pub async fn push(&self, frame: CallFrame) -> Result<(), PushError> {
        loop {
            let space_freed = self.space_freed.notified();
            tokio::pin!(space_freed);
            space_freed.as_mut().enable();
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
            space_freed.await;
        }
        self.frame_added.notify_waiters();
        Ok(())
    }

    /// Ends the answer; the last frame is added even if the window is full.
    pub fn end(&self, end: CallEnd) {
        {
            let mut state = self.lock();
            if state.ended_at.is_some() {
                return;
            }
            state.ended_at = Some(clock::now());
            add_frame(&mut state, CallFrame::End(end));
        }
        self.frame_added.notify_waiters();
    }

    /// Waits for the frame with sequence number `from`; `None` if it was acknowledged already, or the answer abandoned.
    pub async fn next(&self, from: u64) -> Option<NumberedFrame> {
        loop {
            let frame_added = self.frame_added.notified();
            tokio::pin!(frame_added);
            frame_added.as_mut().enable();
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
            frame_added.await;
        }
    }

    /// Removes the frames with sequence numbers below `seq`.
    pub fn acknowledge(&self, seq: u64) {
        {
            let mut state = self.lock();
            while state.frames.front().is_some_and(|frame| frame.seq < seq) {
                state.frames.pop_front();
                state.acknowledged += 1;
            }
        }
        self.space_freed.notify_waiters();
    }

    /// Marks the answer as no longer needed.
    pub fn abandon(&self) {
        self.lock().abandoned = true;
        self.space_freed.notify_waiters();
        self.frame_added.notify_waiters();
    }

    /// Whether the answer is no longer needed.
    #[must_use]
    pub fn is_abandoned(&self) -> bool {
        self.lock().abandoned
    }

    /// Waits until the answer is no longer needed.
    pub async fn wait_abandoned(&self) {
        loop {
            let space_freed = self.space_freed.notified();
            tokio::pin!(space_freed);
            space_freed.as_mut().enable();
            if self.is_abandoned() {
                return;
            }
            space_freed.await;
        }
    }

    /// Waits until all frames of an ended answer are acknowledged, or the answer is abandoned.
    pub async fn wait_drained(&self) {
        loop {
            let space_freed = self.space_freed.notified();
            tokio::pin!(space_freed);
            space_freed.as_mut().enable();
            {
                let state = self.lock();
                if state.abandoned || state.ended_at.is_some() && state.frames.is_empty() {
                    return;
                }
            }
            space_freed.await;
        }
    }

    /// Records whether a reader is attached.
    pub fn set_attached(&self, attached: bool) {
        self.lock().detached_at = if attached { None } else { Some(clock::now()) };
    }

    fn is_expired(&self, now: Instant, ttl: Duration) -> bool {
        let state = self.lock();
        let is_drained = state.ended_at.is_some() && state.frames.is_empty();
        let is_past_ttl =
            |since: Option<Instant>| since.is_some_and(|since| now.since(since) > ttl);
        is_drained
            || state.abandoned
            || is_past_ttl(state.detached_at)
            || is_past_ttl(state.ended_at)
    }
}

fn add_frame(state: &mut BufferState, frame: CallFrame) {
    let seq = state.next_seq;
    state.next_seq += 1;
    state.frames.push_back(NumberedFrame { seq, frame });
}

/// Answers that other daemons read from this one.
#[derive(Debug, Default)]
pub struct CallTable {
    buffers: Mutex<HashMap<CallId, Arc<CallBuffer>>>,
}

impl CallTable {
    /// Adds the buffer of a call.
    pub fn insert(&self, id: CallId, buffer: &Arc<CallBuffer>) {
        self.lock().insert(id, Arc::clone(buffer));
    }

    /// Returns the buffer of a call.
    #[must_use]
    pub fn get(&self, id: CallId) -> Option<Arc<CallBuffer>> {
        self.lock().get(&id).cloned()
    }

    /// Number of buffers.
    #[must_use]
    pub fn len(&self) -> usize {
        self.lock().len()
    }

    /// Whether the table has no buffers.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.lock().is_empty()
    }

    /// Removes buffers that are drained or abandoned, and those ended or without a reader for longer than `ttl`.
    pub fn remove_expired(&self, ttl: Duration) {
        let now = clock::now();
        self.lock().retain(|_, buffer| {
            let is_expired = buffer.is_expired(now, ttl);
            if is_expired {
                buffer.abandon();
            }
            !is_expired
        });
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<CallId, Arc<CallBuffer>>> {
        self.buffers
            .lock()
            .expect("no thread panics while it holds the lock")
    }
}
