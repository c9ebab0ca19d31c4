//! Splitting the bytes of a server-sent event stream at event boundaries.
//!
//! A target may break off inside an event. Callers get only complete events, so that another target can resume the stream after
//! the last one.

use bytes::{Bytes, BytesMut};

/// Largest event; a stream with a larger one counts as broken.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// An event that exceeds the size limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("stream event larger than {MAX_EVENT_BYTES} bytes: check what the target sends")]
pub struct OversizedEvent;

/// Buffers the bytes of a stream until they complete an event.
#[derive(Debug, Default)]
pub struct EventSplitter {
    remainder: BytesMut,
    last_id: Option<u64>,
}

impl EventSplitter {
    /// Adds bytes of the stream; returns the complete events up to their last boundary, or nothing.
    ///
    /// # Errors
    /// If an event is larger than 1 MiB.
    pub fn push(&mut self, bytes: &Bytes) -> Result<Bytes, OversizedEvent> {
        if self.remainder.is_empty()
            && let Some(end) = last_boundary(bytes, 0)
            && end == bytes.len()
        {
            self.record_ids(bytes);
            return Ok(bytes.clone());
        }
        // What is kept has no boundary; searching it again for every piece would take the processor for a large event.
        let searched = self.remainder.len();
        self.remainder.extend_from_slice(bytes);
        let Some(end) = last_boundary(&self.remainder, searched) else {
            if self.remainder.len() > MAX_EVENT_BYTES {
                return Err(OversizedEvent);
            }
            return Ok(Bytes::new());
        };
        let events = self.remainder.split_to(end).freeze();
        self.record_ids(&events);
        Ok(events)
    }

    /// Bytes that are buffered until their event is complete.
    #[must_use]
    pub fn buffered(&self) -> usize {
        self.remainder.len()
    }

    /// Takes the bytes after the last complete event out of the buffer.
    pub fn take_remainder(&mut self) -> Bytes {
        self.remainder.split().freeze()
    }

    /// Id of the last complete event that had a numeric one.
    #[must_use]
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    fn record_ids(&mut self, events: &[u8]) {
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

/// Offset after the last empty line that ends at `from` or later; an empty line ends an event.
fn last_boundary(bytes: &[u8], from: usize) -> Option<usize> {
    (from.max(1)..bytes.len())
        .rev()
        .find(|&at| {
            bytes[at] == b'\n'
                && (bytes[at - 1] == b'\n'
                    || (at >= 2 && bytes[at - 1] == b'\r' && bytes[at - 2] == b'\n'))
        })
        .map(|at| at + 1)
}
