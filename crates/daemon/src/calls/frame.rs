//! Frames of an answer, and how it ends.

use hoplanding_core::{
    ids::{AdapterVersion, TargetName},
    request::NotRunProof,
};
use serde::{Deserialize, Serialize};

/// One piece of an answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum CallFrame {
    /// The request is sent to its target.
    Started {
        /// Target that runs the request.
        target: TargetName,
        /// Name of the stream at the target, used to resume it.
        stream: String,
        /// Adapter and version; `None` for a plain service.
        model: Option<AdapterVersion>,
        /// Time that the request waited for its adapter to load, in milliseconds.
        load_stall_ms: u32,
    },
    /// One token of an engine's answer.
    Text {
        /// Index of the token in the answer, from zero.
        offset: u64,
        /// Text of the token.
        text: String,
        /// Finish reason, on the last token.
        finish: Option<String>,
    },
    /// Status and headers of a plain service's answer.
    Head {
        /// HTTP status.
        status: u16,
        /// Names and values, without hop-by-hop headers.
        headers: Vec<(String, String)>,
    },
    /// Part of the body of a plain service's answer.
    Body(#[serde(with = "serde_bytes_compat")] Vec<u8>),
    /// End of the answer; always the last frame.
    End(CallEnd),
}

/// How a call ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallEnd {
    /// The answer is complete.
    Complete,
    /// The request was not run.
    NotRun(NotRunProof),
    /// The target reported a failure.
    Failed(String),
    /// The stream was interrupted; it may be possible to resume it.
    Broken(String),
    /// It is unknown whether the request ran.
    Unknown(String),
    /// The request itself is invalid.
    Refused {
        /// HTTP status.
        status: u16,
        /// Machine-readable code.
        code: String,
        /// Description and remedy for the caller.
        message: String,
    },
}

/// A frame with its sequence number.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NumberedFrame {
    /// Sequence number in the answer, from zero.
    pub seq: u64,
    /// The frame.
    pub frame: CallFrame,
}

mod serde_bytes_compat {
    //! Serialises bytes as one CBOR byte string instead of an array of numbers.

    use bytes::Bytes;
    use serde::{Deserialize, Deserializer, Serialize, Serializer};

    pub(super) fn serialize<S: Serializer>(bytes: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
        Bytes::copy_from_slice(bytes).serialize(serializer)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Vec<u8>, D::Error> {
        Bytes::deserialize(deserializer).map(|bytes| bytes.to_vec())
    }
}
