//! Changes of the configuration, the objects that they touch, and the conflicts for which they are refused.
//!
//! Names of variants and fields are stored in the log and sent to operators' tools.

use crate::{
    config::{
        CallerQuota, LoadPolicy, OperatorRole, RequestRepeatability, RightPattern, TargetRole,
    },
    ids::{
        AdapterName, AvailabilityZone, CallerName, LogOffset, OperatorName, PriorityClass,
        ServiceName, TargetName, TokenHash, VersionName,
    },
};
use serde::{Deserialize, Serialize};
use std::fmt;

/// One change to one object of the configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "change", rename_all = "snake_case")]
pub enum ConfigChange {
    /// Declares an adapter without versions.
    CreateAdapter { adapter: AdapterName },
    /// Publishes a version; the first one becomes current.
    PublishVersion {
        adapter: AdapterName,
        version: VersionName,
    },
    /// Makes a published version the current one.
    MakeCurrent {
        adapter: AdapterName,
        version: VersionName,
    },
    /// Retires a version that is not current.
    RetireVersion {
        adapter: AdapterName,
        version: VersionName,
    },
    /// Retires all versions of an adapter, which then has no current one.
    RetireAdapter { adapter: AdapterName },
    /// Sets whether requests to an adapter may be repeated.
    MarkAdapter {
        adapter: AdapterName,
        rule: RequestRepeatability,
    },
    /// Sets whether an adapter is kept loaded without demand.
    KeepReady {
        adapter: AdapterName,
        ready: LoadPolicy,
    },
    /// Sets whether calls of a plain service with a method and a path prefix may be repeated.
    MarkService {
        service: ServiceName,
        method: String,
        path: String,
        rule: RequestRepeatability,
    },
    /// Declares a caller, or replaces its token and keeps its quota.
    CreateCaller {
        caller: CallerName,
        token_hash: TokenHash,
    },
    /// Sets the quota of a caller.
    SetQuota {
        caller: CallerName,
        quota: CallerQuota,
    },
    /// Grants a right to a caller, or replaces its priority.
    Allow {
        caller: CallerName,
        pattern: RightPattern,
        priority: PriorityClass,
    },
    /// Revokes a right.
    Revoke {
        caller: CallerName,
        pattern: RightPattern,
    },
    /// Declares a target.
    CreateTarget {
        target: TargetName,
        zone: AvailabilityZone,
        address: String,
        role: TargetRole,
        checks_fencing: bool,
    },
    /// Removes a target.
    RemoveTarget { target: TargetName },
    /// Stops or resumes the assignment of new work to a target.
    SetDraining { target: TargetName, draining: bool },
    /// Sets a weight of the scheduling policy.
    SetWeight { weight: String, value: f64 },
    /// Declares an operator, or replaces its token and role.
    CreateOperator {
        operator: OperatorName,
        token_hash: TokenHash,
        role: OperatorRole,
    },
}

/// Identifies a configuration object, the unit of compare-and-set.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ObjectRef {
    /// An adapter with its versions.
    Adapter(AdapterName),
    /// A rule of a service: service, method, path.
    ServiceRule(ServiceName, String, String),
    /// A caller, without its rights.
    Caller(CallerName),
    /// A right of a caller.
    Right(CallerName, RightPattern),
    /// A target.
    Target(TargetName),
    /// A weight of the scheduling policy.
    Weight(String),
    /// An operator.
    Operator(OperatorName),
}

impl fmt::Display for ObjectRef {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Adapter(name) => write!(f, "adapter {name}"),
            Self::ServiceRule(service, method, path) => {
                write!(f, "rule {method} {path} of service {service}")
            }
            Self::Caller(name) => write!(f, "caller {name}"),
            Self::Right(caller, pattern) => write!(f, "right of {caller} to {pattern}"),
            Self::Target(name) => write!(f, "target {name}"),
            Self::Weight(name) => write!(f, "weight {name}"),
            Self::Operator(name) => write!(f, "operator {name}"),
        }
    }
}

impl ConfigChange {
    /// The object that the change touches.
    #[must_use]
    pub fn object(&self) -> ObjectRef {
        match self {
            Self::CreateAdapter { adapter }
            | Self::PublishVersion { adapter, .. }
            | Self::MakeCurrent { adapter, .. }
            | Self::RetireVersion { adapter, .. }
            | Self::RetireAdapter { adapter }
            | Self::MarkAdapter { adapter, .. }
            | Self::KeepReady { adapter, .. } => ObjectRef::Adapter(adapter.clone()),
            Self::MarkService {
                service,
                method,
                path,
                ..
            } => ObjectRef::ServiceRule(service.clone(), method.clone(), path.clone()),
            Self::CreateCaller { caller, .. } | Self::SetQuota { caller, .. } => {
                ObjectRef::Caller(caller.clone())
            }
            Self::Allow {
                caller, pattern, ..
            }
            | Self::Revoke { caller, pattern } => ObjectRef::Right(caller.clone(), pattern.clone()),
            Self::CreateTarget { target, .. }
            | Self::RemoveTarget { target }
            | Self::SetDraining { target, .. } => ObjectRef::Target(target.clone()),
            Self::SetWeight { weight, .. } => ObjectRef::Weight(weight.clone()),
            Self::CreateOperator { operator, .. } => ObjectRef::Operator(operator.clone()),
        }
    }

    /// The least role that an operator needs to make the change.
    #[must_use]
    pub fn required_role(&self) -> OperatorRole {
        match self {
            Self::CreateCaller { .. }
            | Self::CreateTarget { .. }
            | Self::RemoveTarget { .. }
            | Self::CreateOperator { .. } => OperatorRole::Admin,
            _ => OperatorRole::Editor,
        }
    }
}

/// Why a change is refused. The messages are sent to operators' tools.
#[derive(Clone, Debug, PartialEq, thiserror::Error, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "conflict")]
pub enum ChangeConflict {
    /// The object was changed after the revision that the change is based on.
    #[error(
        "{object} was changed at offset {current} by {winner} after you read it at {based_on}: look at `show changes where object = \"{object}\"` and repeat your command if it still applies"
    )]
    Outdated {
        object: ObjectRef,
        based_on: LogOffset,
        current: LogOffset,
        winner: String,
    },
    /// The object does not exist.
    #[error("{object} does not exist: create it first")]
    Missing { object: ObjectRef },
    /// The object already exists.
    #[error("{object} already exists: leave out `create`, or choose another name")]
    Exists { object: ObjectRef },
    /// The version is not published.
    #[error("version {version} of adapter {adapter} is not published: publish it first")]
    VersionMissing {
        adapter: AdapterName,
        version: VersionName,
    },
    /// The version is already published; versions are immutable.
    #[error(
        "version {version} of adapter {adapter} is already published and versions are immutable: publish under a new name"
    )]
    VersionExists {
        adapter: AdapterName,
        version: VersionName,
    },
    /// The version is retired.
    #[error(
        "version {version} of adapter {adapter} is retired: publish its content under a new name"
    )]
    VersionRetired {
        adapter: AdapterName,
        version: VersionName,
    },
    /// The version is the current one and can't be retired.
    #[error(
        "version {version} of adapter {adapter} is the current one: make another version current first"
    )]
    VersionCurrent {
        adapter: AdapterName,
        version: VersionName,
    },
    /// The weight is unknown or its value is out of range.
    #[error("weight {weight} cannot be {value}: `show weights` lists the weights and their ranges")]
    Weight { weight: String, value: f64 },
}
