//! Records that daemons append to the platform's log.
//!
//! The platform orders records by offset and retains them for a limited time. Every daemon applies the same records in
//! the same order, so all daemons reach the same state without a further agreement. Snapshots let a daemon catch up
//! after older records have expired.

mod fold;

pub use fold::{FoldEffect, FoldedState, MAX_SNAPSHOT_PART_BYTES, SnapshotAssembler};

use crate::{
    config::ConfigChange,
    ids::{
        AdapterVersion, ChangeId, DaemonRef, FencingToken, LogOffset, OperatorName, TargetName,
        VmName,
    },
    request::KeyClaim,
};
use serde::{Deserialize, Serialize};

/// One record of the platform's log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum LogRecord {
    /// Configuration change, accepted or refused when it is applied.
    Change(ChangeRecord),
    /// Takeover of a target from the named holder.
    Takeover(TakeoverRecord),
    /// A holder's intent to unload an adapter from a target that does not check fencing tokens.
    UnloadIntent(IntentRecord),
    /// End of an unload intent: the unload was executed or will never be.
    IntentClosed(IntentClosedRecord),
    /// A former holder has nothing left sent or running on a target.
    Settled(SettledRecord),
    /// Batch of claims of callers' idempotency keys.
    KeyClaims(KeyClaimsRecord),
    /// Part of a snapshot of the folded state.
    Snapshot(SnapshotPart),
}

/// Configuration change requested by an operator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChangeRecord {
    /// Id of the change, by which a duplicate record is recognised and ignored.
    pub id: ChangeId,
    /// Operator who requested the change.
    pub operator: OperatorName,
    /// VM of the daemon that received the change.
    pub via: VmName,
    /// Wall-clock time at that daemon in milliseconds since the Unix epoch; for the audit trail only.
    pub at_ms: u64,
    /// Command as entered by the operator.
    pub text: String,
    /// Parts of the change, applied all or none.
    pub parts: Vec<ChangePart>,
}

/// Part of a change, with the revision of the object that it is based on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChangePart {
    /// Revision of the object that the operator saw; zero if the object did not exist.
    pub based_on: LogOffset,
    /// The change itself.
    pub change: ConfigChange,
}

/// Takeover of a target; the offset of an accepted record is the new holder's fencing token.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TakeoverRecord {
    /// The target.
    pub target: TargetName,
    /// Fencing token of the holder to replace; none if the target has no holder.
    pub replaces: Option<FencingToken>,
    /// New holder.
    pub holder: DaemonRef,
}

/// Intent to unload an adapter from a target that does not check fencing tokens.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct IntentRecord {
    /// The target.
    pub target: TargetName,
    /// Adapter version to unload.
    pub adapter: AdapterVersion,
    /// Fencing token of the holder that intends the unload.
    pub token: FencingToken,
    /// Number of the holder's intent, by which it recognises the record after the answer to an append was lost.
    pub number: u64,
}

/// End of an unload intent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct IntentClosedRecord {
    /// The target.
    pub target: TargetName,
    /// Fencing token in the intent.
    pub token: FencingToken,
    /// Number of the intent.
    pub number: u64,
}

/// Statement that a former holder has nothing left sent or running on a target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SettledRecord {
    /// The target.
    pub target: TargetName,
    /// Fencing token of the former holder.
    pub token: FencingToken,
}

/// Batch of claims of callers' idempotency keys.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KeyClaimsRecord {
    /// Daemon that claims the keys and runs the requests whose claims win.
    pub holder: DaemonRef,
    /// Claims of the batch.
    pub claims: Vec<KeyClaim>,
}

/// Part of a snapshot of the folded state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SnapshotPart {
    /// Offset of the last record that the snapshot includes.
    pub through: LogOffset,
    /// Number that tells apart snapshots of different writers.
    pub writer: u64,
    /// Index of the part, from zero.
    pub index: u32,
    /// Number of parts.
    pub count: u32,
    /// This part's section of the state's JSON text.
    pub text: String,
}
