//! Whole events out of a stream's bytes.
//!
//! A target may break off inside an event. Callers only get whole events, so that a stream can go on from the last one
//! at another target.

use bytes::{Bytes, BytesMut};

/// Bytes of one event beyond which the stream counts as broken.
const EVENT_BYTES: usize = 1 << 20;

/// An event that is too large to hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("an event of a stream is larger than {EVENT_BYTES} bytes: look at the target")]
pub struct OversizedEvent;

/// Cuts a stream into whole events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    rest: BytesMut,
    last_id: Option<u64>,
}

impl EventSplitter {
    /// Takes bytes; returns the whole events that they complete.
    ///
    /// # Errors
    /// When an event is too large.
    pub fn push(&mut self, bytes: &Bytes) -> Result<Bytes, OversizedEvent> {
        if self.rest.is_empty()
            && let Some(end) = last_end(bytes)
            && end == bytes.len()
        {
            self.note_ids(bytes);
            return Ok(bytes.clone());
        }
        self.rest.extend_from_slice(bytes);
        let Some(end) = last_end(&self.rest) else {
            if self.rest.len() > EVENT_BYTES {
                return Err(OversizedEvent);
            }
            return Ok(Bytes::new());
        };
        let whole = self.rest.split_to(end).freeze();
        self.note_ids(&whole);
        Ok(whole)
    }

    /// What is left after the stream's end; dropped from here on.
    pub fn take_remainder(&mut self) -> Bytes {
        self.rest.split().freeze()
    }

    /// Id of the last whole event.
    #[must_use]
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    fn note_ids(&mut self, events: &[u8]) {
        let last = events
            .split(|byte| *byte == b'\n')
            .filter_map(|line| line.strip_prefix(b"id:"))
            .filter_map(|id| std::str::from_utf8(id).ok()?.trim().parse().ok())
            .next_back();
        if last.is_some() {
            self.last_id = last;
        }
    }
}

/// Offset behind the last empty line, which ends an event.
fn last_end(bytes: &[u8]) -> Option<usize> {
    (1..bytes.len())
        .rev()
        .find(|&at| {
            bytes[at] == b'\n'
                && (bytes[at - 1] == b'\n'
                    || (at >= 2 && bytes[at - 1] == b'\r' && bytes[at - 2] == b'\n'))
        })
        .map(|at| at + 1)
}
