//! The objects of the configuration. They are stored in snapshots, some under one-letter field names.

use crate::ids::{
    AdapterName, AvailabilityZone, CallerName, LogOffset, PriorityClass, ServiceName, TokenHash,
    VersionName,
};
use serde::{Deserialize, Serialize};
use std::fmt;

/// An adapter with its versions.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct AdapterConfig {
    /// Log offset of the last accepted change to the adapter.
    #[serde(rename = "r")]
    pub revision: LogOffset,
    /// The version that serves requests without a version.
    #[serde(rename = "c", default, skip_serializing_if = "Option::is_none")]
    pub current: Option<VersionName>,
    /// Published versions, oldest first.
    #[serde(rename = "v", default)]
    pub versions: Vec<VersionConfig>,
    /// Whether requests to the adapter may be repeated.
    #[serde(rename = "q", default)]
    pub repeatability: RequestRepeatability,
    /// Whether the adapter is kept loaded without demand.
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

/// One published version. Only its status can change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VersionConfig {
    /// Name of the version.
    #[serde(rename = "n")]
    pub name: VersionName,
    /// Whether requests may use the version.
    #[serde(rename = "s", default)]
    pub status: VersionStatus,
}

/// Whether requests may use a version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VersionStatus {
    /// Requests may use it.
    #[default]
    Published,
    /// Requests are refused.
    Retired,
}

/// Whether a request may be sent again after it may have been executed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestRepeatability {
    /// Executing the request twice does no harm.
    #[default]
    Repeatable,
    /// The request may be executed at most once.
    NotRepeatable,
}

/// Whether an adapter is kept loaded without demand.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LoadPolicy {
    /// Loaded when requests arrive.
    #[default]
    ByDemand,
    /// Loaded at all times, as far as adapter slots allow.
    Kept,
}

/// The role of a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "role")]
pub enum TargetRole {
    /// A model engine that serves adapters.
    Engine {
        /// Number of adapters that fit at once.
        slots: u32,
        /// Largest number of sequences in a batch.
        batch: u32,
    },
    /// An instance of a plain service.
    Service {
        /// Name of the service.
        service: ServiceName,
        /// Largest number of concurrent calls.
        concurrency: u32,
    },
}

/// A target that operators declared.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TargetConfig {
    /// Log offset of the last accepted change to the object.
    pub revision: LogOffset,
    /// Availability zone of the target.
    pub zone: AvailabilityZone,
    /// `IP:port` of the target's HTTP interface.
    pub address: String,
    /// Engine or plain service.
    pub role: TargetRole,
    /// Whether the target refuses orders with an older fencing token.
    pub checks_fencing: bool,
    /// Whether the target is draining and gets no new work.
    #[serde(default)]
    pub draining: bool,
}

/// A caller: a service that sends requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CallerConfig {
    /// Log offset of the last accepted change to the object.
    pub revision: LogOffset,
    /// Hash of the caller's bearer token.
    pub token_hash: TokenHash,
    /// Limits on the caller's requests at each daemon.
    #[serde(default)]
    pub quota: CallerQuota,
}

/// Limits on a caller's requests at one daemon.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct CallerQuota {
    /// Average requests per second.
    pub requests_per_second: f64,
    /// Largest number of waiting requests.
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

/// The adapters or the plain service that a right covers.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RightPattern {
    /// Every adapter.
    All,
    /// Adapters whose name starts with the prefix.
    Prefix(String),
    /// One adapter.
    Exact(AdapterName),
    /// One plain service.
    Service(ServiceName),
}

impl RightPattern {
    /// Whether the pattern covers an adapter; a service pattern covers none.
    #[must_use]
    pub fn covers(&self, adapter: &str) -> bool {
        match self {
            Self::All => true,
            Self::Prefix(prefix) => adapter.starts_with(prefix.as_str()),
            Self::Exact(name) => name.as_str() == adapter,
            Self::Service(_) => false,
        }
    }

    /// Rank of the pattern by how specific it is; the right with the highest rank decides.
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

/// A caller's right to some adapters or a plain service, with the priority of the caller's requests there.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RightConfig {
    /// Log offset of the last accepted change to the object.
    pub revision: LogOffset,
    /// Name of the caller.
    pub caller: CallerName,
    /// The adapters or the service that the right covers.
    pub pattern: RightPattern,
    /// Highest priority of the caller's requests, and their default.
    pub priority: PriorityClass,
}

/// Whether calls of a plain service may be repeated, by method and path.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceRule {
    /// Log offset of the last accepted change to the object.
    pub revision: LogOffset,
    /// Name of the service.
    pub service: ServiceName,
    /// HTTP method in capitals, or `*` for every method.
    pub method: String,
    /// Prefix of the path within the service.
    pub path: String,
    /// Whether matching calls may be repeated.
    pub rule: RequestRepeatability,
}

/// Role of an operator; each role includes the ones before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum OperatorRole {
    /// May run queries.
    Reader,
    /// May also make changes, except those reserved for admins.
    Editor,
    /// May also create or remove targets and create callers and operators.
    Admin,
}

/// An operator's credentials and role.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OperatorConfig {
    /// Log offset of the last accepted change to the object.
    pub revision: LogOffset,
    /// Hash of the operator's bearer token.
    pub token_hash: TokenHash,
    /// Commands that the operator may run.
    pub role: OperatorRole,
}
