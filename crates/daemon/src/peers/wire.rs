//! CBOR encoding of messages.

use crate::peers::PeerMessage;
use bytes::Bytes;
use std::{
    io,
    sync::atomic::{AtomicU64, Ordering},
};

static ENCODED_BYTES: AtomicU64 = AtomicU64::new(0);

/// Returns the number of bytes that this process has encoded so far, for measurements.
#[must_use]
pub fn encoded_bytes() -> u64 {
    ENCODED_BYTES.load(Ordering::Relaxed)
}

/// Encodes a batch of messages.
///
/// # Panics
/// Never: every message has a CBOR form.
#[must_use]
pub fn encode(messages: &[PeerMessage]) -> Bytes {
    let mut bytes = Vec::with_capacity(messages.len() * 64);
    ciborium::into_writer(messages, &mut bytes).expect("every message has a CBOR form");
    ENCODED_BYTES.fetch_add(bytes.len() as u64, Ordering::Relaxed);
    bytes.into()
}

/// Decodes a batch of messages.
///
/// # Errors
/// Returns `InvalidData` if the bytes are not messages of this version.
pub fn decode(bytes: &[u8]) -> io::Result<Vec<PeerMessage>> {
    ciborium::from_reader(bytes)
        .map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error.to_string()))
}
