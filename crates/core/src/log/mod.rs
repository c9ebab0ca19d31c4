//! The records that daemons append to the platform's log.
//!
//! The platform orders records by offset and keeps them for a limited time. Every daemon folds the same records in
//! the same order, so every daemon reaches the same state without asking another one.

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
    /// A configuration change; accepted or refused by the fold.
    Change(ChangeRecord),
    /// A daemon takes a target over from the holder it names.
    Takeover(TakeoverRecord),
    /// A holder intends to unload an adapter from a target that does not check fencing tokens.
    UnloadIntent(IntentRecord),
    /// The unload that an intent announced is over, or never happens.
    IntentClosed(IntentClosedRecord),
    /// A former holder has nothing sent or running on a target any more.
    Settled(SettledRecord),
    /// Callers' own idempotency keys, claimed in one batch.
    KeyClaims(KeyClaimsRecord),
    /// A part of the whole state up to an offset.
    Snapshot(SnapshotPart),
}

/// A configuration change as an operator asked for it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChangeRecord {
    /// Identifies the change, so that a second copy has no second effect.
    pub id: ChangeId,
    /// Who asked for it.
    pub operator: OperatorName,
    /// The daemon that it came through.
    pub via: VmName,
    /// Wall-clock time at that daemon, in milliseconds since 1970; for the audit trail only.
    pub at_ms: u64,
    /// The command as typed.
    pub text: String,
    /// The parts; they stand or fall together.
    pub parts: Vec<ChangePart>,
}

/// One part of a change and the revision of the object that it was based on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChangePart {
    /// Revision of the object that the operator saw; offset zero if there was none.
    pub based_on: LogOffset,
    /// What changes.
    pub change: ConfigChange,
}

/// Takes a target over; the offset of the accepted record is the fencing token.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TakeoverRecord {
    /// The target.
    pub target: TargetName,
    /// Token of the holder that it replaces; none if there was none.
    pub replaces: Option<FencingToken>,
    /// The new holder.
    pub holder: DaemonRef,
}

/// Announces an unload on a target that does not check fencing tokens.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct IntentRecord {
    /// The target.
    pub target: TargetName,
    /// What is to be unloaded.
    pub adapter: AdapterVersion,
    /// Token of the holder that announces it.
    pub token: FencingToken,
    /// Number of the holder's announcement, to find it again after a lost answer.
    pub number: u64,
}

/// Closes an intent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct IntentClosedRecord {
    /// The target.
    pub target: TargetName,
    /// Token of the holder that announced it.
    pub token: FencingToken,
    /// Number of the announcement.
    pub number: u64,
}

/// States that a former holder is settled on a target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SettledRecord {
    /// The target.
    pub target: TargetName,
    /// Token of the former holder.
    pub token: FencingToken,
}

/// Claims of callers' own idempotency keys.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KeyClaimsRecord {
    /// The daemon that runs the claimed requests.
    pub holder: DaemonRef,
    /// The claims.
    pub claims: Vec<KeyClaim>,
}

/// One part of a snapshot of the folded state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SnapshotPart {
    /// Offset of the last record that is folded in.
    pub through: LogOffset,
    /// Number that tells apart snapshots of two writers.
    pub writer: u64,
    /// Index of the part, from zero.
    pub index: u32,
    /// Number of parts.
    pub count: u32,
    /// Its piece of the state's JSON form.
    pub text: String,
}
