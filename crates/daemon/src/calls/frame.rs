//! Frames of an answer.

use hoplanding_core::{
    ids::{AdapterVersion, TargetName},
    request::NotRunProof,
};
use serde::{Deserialize, Serialize};

/// One piece of an answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum CallFrame {
    /// The request goes to its target now.
    Started {
        /// The target.
        target: TargetName,
        /// Name of the stream there, to ask for the rest of it.
        stream: String,
        /// The adapter and version; none for a plain service.
        model: Option<AdapterVersion>,
        /// How long it waited for the adapter to be loaded, in milliseconds.
        load_stall_ms: u32,
    },
    /// Text of an engine's answer.
    Text {
        /// Index of the token in the answer, from zero.
        offset: u64,
        /// The text.
        text: String,
        /// Why the answer ends here, if it does.
        finish: Option<String>,
    },
    /// Status and headers of a plain service's answer.
    Head {
        /// HTTP status.
        status: u16,
        /// Headers.
        headers: Vec<(String, String)>,
    },
    /// Bytes of a plain service's answer.
    Body(#[serde(with = "serde_bytes_compat")] Vec<u8>),
    /// The end; nothing follows.
    End(CallEnd),
}

/// How a call ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallEnd {
    /// The answer is complete.
    Complete,
    /// It was not run.
    NotRun(NotRunProof),
    /// The target stated a failure.
    Failed(String),
    /// The stream broke off; the rest may still be had.
    Broken(String),
    /// Nobody can say what became of it.
    Unknown(String),
    /// The request itself is wrong.
    Refused {
        /// HTTP status.
        status: u16,
        /// Machine-readable code.
        code: String,
        /// What to do about it.
        message: String,
    },
}

/// A frame with its number, from zero.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NumberedFrame {
    /// The number.
    pub seq: u64,
    /// The frame.
    pub frame: CallFrame,
}

mod serde_bytes_compat {
    //! Bytes as one CBOR byte string.

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
