//! Identifiers: names, log positions, incarnations and points in time.
//!
//! Names are reference-counted strings, so that a request, a queue entry and a log record can share one allocation.

use serde::{Deserialize, Serialize};
use std::{borrow::Borrow, fmt, sync::Arc, time::Duration};

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Creates a name from text.
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
    /// Name of an adapter version.
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
    /// Name of an organisation on whose behalf callers send requests.
    OrganisationName
);
name_type!(
    /// Name of a service behind one or more targets; empty in requests of builds that name none.
    ServiceName
);

impl ServiceName {
    /// Whether no service is named.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.as_str().is_empty()
    }
}

impl Default for ServiceName {
    fn default() -> Self {
        Self::new("")
    }
}

name_type!(
    /// Version of a target's software, unlike that of the weights it serves; empty if its entry states none. Versions
    /// have no order.
    SoftwareVersion
);

impl Default for SoftwareVersion {
    fn default() -> Self {
        Self::new("")
    }
}

name_type!(
    /// Name of an operator.
    OperatorName
);
name_type!(
    /// Id of a configuration change, chosen by the daemon that appends it to the log.
    ChangeId
);

/// One version of an adapter.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AdapterVersion {
    /// Name of the adapter.
    pub adapter: AdapterName,
    /// Name of the version.
    pub version: VersionName,
}

impl AdapterVersion {
    /// Creates an adapter version from two names.
    #[must_use]
    pub fn new(adapter: &str, version: &str) -> Self {
        Self {
            adapter: adapter.into(),
            version: version.into(),
        }
    }

    /// Parses `adapter@version`; neither part may be empty.
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

/// Offset of a record in the platform's log.
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

/// Era of the platform's log. The log increments it each time it is restored from a backup copy.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct StoreEra(pub u64);

impl StoreEra {
    /// Whether the log has never been restored. Eras count from one; zero means that the log reports none.
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

/// Low bits of a [`LogPosition`] that hold the offset; the era occupies the bits above.
const OFFSET_BITS: u32 = 40;

/// Position of a record in the history of the platform's log, ordered by era and then by offset.
///
/// The era comes first because a restored log assigns offsets again that it had assigned before. Both are packed into
/// one number, so that a fencing token derived from the position increases across eras.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct LogPosition(pub u64);

impl LogPosition {
    /// Creates the position of an offset in an era.
    #[must_use]
    pub fn in_era(era: StoreEra, offset: LogOffset) -> Self {
        Self((era.0 << OFFSET_BITS) | offset.0)
    }

    /// Era of the position.
    #[must_use]
    pub fn era(self) -> StoreEra {
        StoreEra(self.0 >> OFFSET_BITS)
    }

    /// Offset within the era.
    #[must_use]
    pub fn offset(self) -> LogOffset {
        LogOffset(self.0 & ((1 << OFFSET_BITS) - 1))
    }

    /// Position that lies this many records later in the same era.
    #[must_use]
    pub fn plus(self, records: u64) -> Self {
        Self(self.0 + records)
    }

    /// Fencing token of a claim recorded at this position.
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

/// Fencing token of a holder: the offset or packed position of the record that made it the holder; larger is newer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct FencingToken(pub LogOffset);

/// Life of a target: the span from one start to the next start under the same name.
///
/// Lives are ordered by start time. A target that does not report when it started is in the default life, the oldest.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct TargetLife(u64);

impl TargetLife {
    /// Creates the life that started at a Unix time in milliseconds.
    #[must_use]
    pub fn started_at_ms(unix_ms: u64) -> Self {
        Self(unix_ms.saturating_add(1))
    }
}

/// One run of a target: its name and life. State keyed by a run does not carry over to the target's next life.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TargetRun {
    /// Name of the target.
    pub name: TargetName,
    /// Life of the target.
    pub life: TargetLife,
}

/// Incarnation of a daemon process; a new value is drawn at each start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

/// Incarnation of a daemon on its VM.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct DaemonRef {
    /// VM that runs the daemon.
    pub vm: VmName,
    /// Incarnation of the daemon process.
    pub incarnation: Incarnation,
}

impl fmt::Display for DaemonRef {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{:x}", self.vm, self.incarnation.0)
    }
}

/// Id of a request, unique in the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestId {
    /// Incarnation of the gateway that admitted the request.
    pub gateway: Incarnation,
    /// Counter value of that gateway.
    pub counter: u64,
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}-{:x}", self.gateway.0, self.counter)
    }
}

/// Monotonic time in microseconds since an origin chosen by the code that drives this crate.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Instant(pub u64);

impl Instant {
    /// Time elapsed since `earlier`; zero if `earlier` is later than this time.
    #[must_use]
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Time that lies `span` after this one.
    #[must_use]
    pub fn after(self, span: Duration) -> Self {
        Self(self.0 + u64::try_from(span.as_micros()).unwrap_or(u64::MAX >> 1))
    }

    /// Time that lies `span` before this one; the origin at the earliest.
    #[must_use]
    pub fn before(self, span: Duration) -> Self {
        Self(
            self.0
                .saturating_sub(u64::try_from(span.as_micros()).unwrap_or(u64::MAX)),
        )
    }

    /// Seconds since the origin.
    #[must_use]
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1e6
    }
}

/// Priority of a request; the variants are in the order of service.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum PriorityClass {
    /// Someone cannot go on working until the request is answered.
    Urgent,
    /// Interactive work.
    #[default]
    Normal,
    /// Work that tolerates delay.
    Batch,
}

impl PriorityClass {
    /// All classes, most urgent first.
    pub const ALL: [Self; 3] = [Self::Urgent, Self::Normal, Self::Batch];

    /// Name of the class, as parsed by [`PriorityClass::parse`].
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Urgent => "urgent",
            Self::Normal => "normal",
            Self::Batch => "batch",
        }
    }

    /// Parses the name of a class.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|class| class.as_str() == text)
    }

    /// Index into arrays that have one entry per class.
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

/// SHA-256 of a bearer token in hexadecimal; the token itself is never stored.
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
