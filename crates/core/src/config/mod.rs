//! The operators' configuration as a state machine that is replicated through the log.
//!
//! Every daemon applies the same change records in log order and reaches the same state. A change names the revision of
//! each object that it was based on; it is accepted if those revisions are still current and refused otherwise
//! (compare-and-set). A revision is the log offset of the last accepted change, so revisions of an object only increase.

mod apply;
mod audit;
mod change;
mod objects;
mod state;

pub use audit::{AuditEntry, AuditOutcome};
pub use change::{ChangeConflict, ConfigChange, ObjectRef};
pub use objects::{
    AdapterConfig, CallerConfig, CallerQuota, LoadPolicy, OperatorConfig, OperatorRole,
    RequestRepeatability, RightConfig, RightPattern, ServiceRule, TargetConfig, TargetRole,
    VersionConfig, VersionStatus,
};
pub use state::{ChangeOutcome, ConfigState, ResolveError, ResolvedModel};
