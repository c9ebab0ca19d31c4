//! Messages as CBOR.

use crate::peers::PeerMessage;
use bytes::Bytes;
use std::{
    io,
    sync::atomic::{AtomicU64, Ordering},
};

static ENCODED: AtomicU64 = AtomicU64::new(0);

/// Bytes that this process has encoded, for measurements.
#[must_use]
pub fn encoded_bytes() -> u64 {
    ENCODED.load(Ordering::Relaxed)
}

/// Encodes messages that go in one write.
///
/// # Panics
/// Never: every message has a CBOR form.
#[must_use]
pub fn encode(messages: &[PeerMessage]) -> Bytes {
    let mut bytes = Vec::with_capacity(messages.len() * 64);
    ciborium::into_writer(messages, &mut bytes).expect("every message has a CBOR form");
    ENCODED.fetch_add(bytes.len() as u64, Ordering::Relaxed);
    bytes.into()
}

/// Decodes messages.
///
/// # Errors
/// Returns an error for bytes that are no messages of this version.
pub fn decode(bytes: &[u8]) -> io::Result<Vec<PeerMessage>> {
    ciborium::from_reader(bytes)
        .map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error.to_string()))
}
