//! The audit trail: every change, the refused ones too.

use crate::{
    config::ChangeConflict,
    ids::{ChangeId, LogOffset, OperatorName, VmName},
};
use serde::{Deserialize, Serialize};

/// One line of the audit trail.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AuditEntry {
    /// Where the change stands in the log.
    pub offset: LogOffset,
    /// The change.
    pub id: ChangeId,
    /// Who made it.
    pub operator: OperatorName,
    /// The daemon that it came through.
    pub via: VmName,
    /// When, in milliseconds since 1970 by that daemon's clock.
    pub at_ms: u64,
    /// The command as typed.
    pub text: String,
    /// The objects touched, as text.
    pub objects: Vec<String>,
    /// The objects before the change, as JSON.
    pub before: String,
    /// The objects after the change, as JSON.
    pub after: String,
    /// What became of it.
    pub outcome: AuditOutcome,
}

/// What became of a change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AuditOutcome {
    /// It is in force.
    Accepted,
    /// It is not, and never will be.
    Refused(ChangeConflict),
}
