//! The audit trail, which lists accepted and refused changes.

use crate::{
    config::ChangeConflict,
    ids::{ChangeId, LogOffset, OperatorName, VmName},
};
use serde::{Deserialize, Serialize};

/// One change in the audit trail.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AuditEntry {
    /// Log offset of the change.
    pub offset: LogOffset,
    /// Id of the change.
    pub id: ChangeId,
    /// The operator who made the change.
    pub operator: OperatorName,
    /// VM of the daemon that accepted the command.
    pub via: VmName,
    /// Unix time by that daemon's clock, in milliseconds.
    pub at_ms: u64,
    /// The command as typed, with secrets redacted; long commands are cut off.
    pub text: String,
    /// Names of the first objects that the change touches.
    pub objects: Vec<String>,
    /// These objects before the change, as JSON; `-` for an object that did not exist.
    pub before: String,
    /// These objects after the change, as JSON.
    pub after: String,
    /// Whether the change was accepted.
    pub outcome: AuditOutcome,
}

/// Result of a change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AuditOutcome {
    /// The change took effect.
    Accepted,
    /// The change was refused and has no effect, now or later.
    Refused(ChangeConflict),
}
