//! Names and numbers that identify things.
//!
//! Names are shared strings, so that a request, a queue entry and a log record can hold the same allocation.

use serde::{Deserialize, Serialize};
use std::{borrow::Borrow, fmt, sync::Arc, time::Duration};

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Wraps a name.
            #[must_use]
            pub fn new(name: &str) -> Self {
                Self(Arc::from(name))
            }

            /// The name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Debug::fmt(&*self.0, f)
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(name: &str) -> Self {
                Self::new(name)
            }
        }
    };
}

name_type!(
    /// Name of a LoRA adapter.
    AdapterName
);
name_type!(
    /// Name of one version of an adapter.
    VersionName
);
name_type!(
    /// Name of a target: an engine or a plain service instance.
    TargetName
);
name_type!(
    /// Name of a VM that runs a daemon.
    VmName
);
name_type!(
    /// Name of an availability zone.
    AvailabilityZone
);
name_type!(
    /// Name of a caller: a service that sends requests.
    CallerName
);
name_type!(
    /// Name of an organisation that callers act for.
    OrganisationName
);
name_type!(
    /// Name of a plain service behind one or more targets.
    ServiceName
);
name_type!(
    /// Name of an operator.
    OperatorName
);
name_type!(
    /// Identifies one configuration change; chosen by the daemon that appends it.
    ChangeId
);

/// An adapter together with one of its versions.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AdapterVersion {
    /// The adapter.
    pub adapter: AdapterName,
    /// The version of it.
    pub version: VersionName,
}

impl AdapterVersion {
    /// Names a version of an adapter.
    #[must_use]
    pub fn new(adapter: &str, version: &str) -> Self {
        Self {
            adapter: adapter.into(),
            version: version.into(),
        }
    }

    /// Parses `name@version`.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let (adapter, version) = text.split_once('@')?;
        (!adapter.is_empty() && !version.is_empty()).then(|| Self::new(adapter, version))
    }
}

impl fmt::Display for AdapterVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.adapter, self.version)
    }
}

/// Position of a record in the platform's log.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct LogOffset(pub u64);

impl fmt::Display for LogOffset {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// How often the platform's log came back from a copy, as the log counts it.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct StoreEra(pub u64);

impl StoreEra {
    /// Whether the log has never come back from a copy; it counts its eras from one, if at all.
    #[must_use]
    pub fn is_first(self) -> bool {
        self.0 <= 1
    }
}

impl fmt::Display for StoreEra {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Bits of a position that hold the offset; the era is above them.
const OFFSET_BITS: u32 = 40;

/// Place of a record in the history of the platform's log: the era first, then the offset, as a log that comes back from a copy
/// gives offsets out again. It is one number, so that a fencing token made of it rises over eras.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct LogPosition(pub u64);

impl LogPosition {
    /// The position of an offset in an era.
    #[must_use]
    pub fn in_era(era: StoreEra, offset: LogOffset) -> Self {
        Self((era.0 << OFFSET_BITS) | offset.0)
    }

    /// Its era.
    #[must_use]
    pub fn era(self) -> StoreEra {
        StoreEra(self.0 >> OFFSET_BITS)
    }

    /// Its offset.
    #[must_use]
    pub fn offset(self) -> LogOffset {
        LogOffset(self.0 & ((1 << OFFSET_BITS) - 1))
    }

    /// The position so many records on.
    #[must_use]
    pub fn plus(self, records: u64) -> Self {
        Self(self.0 + records)
    }

    /// The fencing token of a claim that is recorded here.
    #[must_use]
    pub fn token(self) -> FencingToken {
        FencingToken(LogOffset(self.0))
    }
}

impl fmt::Display for LogPosition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.era(), self.offset())
    }
}

/// Offset of the accepted takeover that made a daemon holder of a target; larger is newer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct FencingToken(pub LogOffset);

/// One life of a target, from one start of it to the next under the same name: the later the start, the newer. A target
/// that does not say when it started is in the oldest.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct TargetLife(u64);

impl TargetLife {
    /// The life that began at a Unix time, in milliseconds.
    #[must_use]
    pub fn started_at_ms(unix_ms: u64) -> Self {
        Self(unix_ms.saturating_add(1))
    }
}

/// A target in one of its lives. What is counted or kept by it ends with that life.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TargetRun {
    /// The target.
    pub name: TargetName,
    /// Its life.
    pub life: TargetLife,
}

/// One run of a daemon process; drawn anew at each start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

/// A daemon's VM and the run of the process on it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct DaemonRef {
    /// The VM.
    pub vm: VmName,
    /// The run of the process.
    pub incarnation: Incarnation,
}

impl fmt::Display for DaemonRef {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{:x}", self.vm, self.incarnation.0)
    }
}

/// Identifies a request in the whole fleet: the gateway's incarnation and a counter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestId {
    /// Incarnation of the gateway that admitted it.
    pub gateway: Incarnation,
    /// Counter of that gateway.
    pub counter: u64,
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}-{:x}", self.gateway.0, self.counter)
    }
}

/// Monotonic time since an origin that the caller chose, in microseconds.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Instant(pub u64);

impl Instant {
    /// Time that passed since `earlier`; zero if it lies in the future.
    #[must_use]
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// This time plus `span`.
    #[must_use]
    pub fn after(self, span: Duration) -> Self {
        Self(self.0 + u64::try_from(span.as_micros()).unwrap_or(u64::MAX >> 1))
    }

    /// Seconds since the origin.
    #[must_use]
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1e6
    }
}

/// How urgent a request is; the order of the variants is the order of service.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum PriorityClass {
    /// Somebody is held up until it is answered.
    Urgent,
    /// Ordinary interactive work.
    #[default]
    Normal,
    /// Work that can wait.
    Batch,
}

impl PriorityClass {
    /// All classes, most urgent first.
    pub const ALL: [Self; 3] = [Self::Urgent, Self::Normal, Self::Batch];

    /// The class as text.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Urgent => "urgent",
            Self::Normal => "normal",
            Self::Batch => "batch",
        }
    }

    /// Parses a class.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|class| class.as_str() == text)
    }

    /// Index into arrays by class.
    #[must_use]
    pub fn index(self) -> usize {
        self as usize
    }
}

impl fmt::Display for PriorityClass {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// SHA-256 of a bearer token, in hexadecimal; the token itself is never kept.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TokenHash(String);

impl TokenHash {
    /// Hashes a bearer token.
    #[must_use]
    pub fn of(token: &str) -> Self {
        use sha2::{Digest, Sha256};
        let digest = Sha256::digest(token.as_bytes());
        Self(digest.iter().map(|byte| format!("{byte:02x}")).collect())
    }
}
