//! The objects that the configuration consists of.

use crate::ids::{
    AdapterName, AvailabilityZone, CallerName, LogOffset, PriorityClass, ServiceName, TokenHash,
    VersionName,
};
use serde::{Deserialize, Serialize};
use std::fmt;

/// An adapter and its versions.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct AdapterConfig {
    /// Offset of the last accepted change to it.
    #[serde(rename = "r")]
    pub revision: LogOffset,
    /// The version that a bare name means.
    #[serde(rename = "c", default, skip_serializing_if = "Option::is_none")]
    pub current: Option<VersionName>,
    /// Published versions, oldest first.
    #[serde(rename = "v", default)]
    pub versions: Vec<VersionConfig>,
    /// Whether requests to it may be repeated.
    #[serde(rename = "q", default)]
    pub repeatability: RequestRepeatability,
    /// Whether it is to be kept loaded.
    #[serde(rename = "k", default)]
    pub load_policy: LoadPolicy,
}

impl AdapterConfig {
    /// Finds a published version.
    #[must_use]
    pub fn version(&self, name: &str) -> Option<&VersionConfig> {
        self.versions
            .iter()
            .find(|version| version.name.as_str() == name)
    }
}

/// One published version; immutable but for its status.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VersionConfig {
    /// Its name.
    #[serde(rename = "n")]
    pub name: VersionName,
    /// Whether it may still be asked for.
    #[serde(rename = "s", default)]
    pub status: VersionStatus,
}

/// Whether a version may be asked for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VersionStatus {
    /// It may.
    #[default]
    Published,
    /// It may not.
    Retired,
}

/// Whether a request may be repeated.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestRepeatability {
    /// Running it twice does no harm.
    #[default]
    Repeatable,
    /// It may run at most once.
    NotRepeatable,
}

/// Whether an adapter is kept loaded without demand.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LoadPolicy {
    /// Loaded by demand.
    #[default]
    ByDemand,
    /// Loaded at all times where there is room.
    Kept,
}

/// What a target is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "role")]
pub enum TargetRole {
    /// A model engine that serves adapters.
    Engine {
        /// Adapter slots.
        slots: u32,
        /// Sequences that it batches.
        batch: u32,
    },
    /// An instance of a plain service.
    Service {
        /// The service.
        service: ServiceName,
        /// Calls that it takes at the same time.
        concurrency: u32,
    },
}

/// A target as the configuration declares it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TargetConfig {
    /// Offset of the last accepted change to it.
    pub revision: LogOffset,
    /// Its availability zone.
    pub zone: AvailabilityZone,
    /// `IP:port` of its HTTP interface.
    pub address: String,
    /// What it is.
    pub role: TargetRole,
    /// Whether it refuses orders with an old fencing token.
    pub checks_fencing: bool,
    /// Whether it gets no new work.
    #[serde(default)]
    pub draining: bool,
}

/// A caller: a service that sends requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CallerConfig {
    /// Offset of the last accepted change to it.
    pub revision: LogOffset,
    /// Hash of its bearer token.
    pub token_hash: TokenHash,
    /// Bounds on its work.
    #[serde(default)]
    pub quota: CallerQuota,
}

/// Bounds on a caller's work at one daemon.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct CallerQuota {
    /// Requests a second that it may send on average.
    pub requests_per_second: f64,
    /// Requests that may wait at once.
    pub waiting: u32,
}

impl Default for CallerQuota {
    fn default() -> Self {
        Self {
            requests_per_second: 1000.0,
            waiting: 4096,
        }
    }
}

/// Which adapters or services a right covers.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RightPattern {
    /// Every adapter.
    All,
    /// Adapters whose name starts with this.
    Prefix(String),
    /// One adapter.
    Exact(AdapterName),
    /// One plain service.
    Service(ServiceName),
}

impl RightPattern {
    /// Whether the pattern covers an adapter.
    #[must_use]
    pub fn covers(&self, adapter: &str) -> bool {
        match self {
            Self::All => true,
            Self::Prefix(prefix) => adapter.starts_with(prefix.as_str()),
            Self::Exact(name) => name.as_str() == adapter,
            Self::Service(_) => false,
        }
    }

    /// How narrow the pattern is; a narrower right goes before a wider one.
    #[must_use]
    pub fn specificity(&self) -> usize {
        match self {
            Self::All => 0,
            Self::Prefix(prefix) => 1 + prefix.len(),
            Self::Exact(_) | Self::Service(_) => usize::MAX,
        }
    }
}

impl fmt::Display for RightPattern {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::All => f.write_str("all adapters"),
            Self::Prefix(prefix) => write!(f, "adapters like {prefix}*"),
            Self::Exact(name) => write!(f, "adapter {name}"),
            Self::Service(name) => write!(f, "service {name}"),
        }
    }
}

/// A caller's right to some adapters, with the priority of its requests there.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RightConfig {
    /// Offset of the last accepted change to it.
    pub revision: LogOffset,
    /// The caller.
    pub caller: CallerName,
    /// What it covers.
    pub pattern: RightPattern,
    /// Priority of its requests; a request may ask for less but not for more.
    pub priority: PriorityClass,
}

/// Marks calls of a plain service as not repeatable.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceRule {
    /// Offset of the last accepted change to it.
    pub revision: LogOffset,
    /// The service.
    pub service: ServiceName,
    /// HTTP method in capitals; `*` for any.
    pub method: String,
    /// Prefix of the path below the service.
    pub path: String,
    /// Whether the calls may be repeated.
    pub rule: RequestRepeatability,
}

/// What an operator may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum OperatorRole {
    /// Ask queries.
    Reader,
    /// Ask queries and make changes.
    Editor,
    /// Also change targets, callers and operators.
    Admin,
}

/// An operator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OperatorConfig {
    /// Offset of the last accepted change to it.
    pub revision: LogOffset,
    /// Hash of the bearer token.
    pub token_hash: TokenHash,
    /// What the operator may do.
    pub role: OperatorRole,
}
