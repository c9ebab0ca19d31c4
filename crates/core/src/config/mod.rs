//! The fold of the log into the configuration.
//!
//! A change names the revision of each object that it was based on. The fold accepts it if every part still stands on
//! the current revision, and refuses it otherwise, the same at every daemon. Revisions are log offsets, so they only
//! ever grow.

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
