//! Versions of base models and adapters on engines, and how their holder knows them.
//!
//! The platform's list and the engine's report contain the versions of both. An accepted order that names a version
//! also determines it, and each answer states the version of the base model that produced it. The version of an adapter
//! that was loaded without a named version stays unknown until one of these sources states it.

use crate::ids::Instant;
use std::fmt;

/// Source of a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionSource {
    /// The platform's list, which may be seconds old.
    List,
    /// The engine's report.
    Report,
    /// An accepted order that named the version.
    Order,
    /// The answer to a call.
    Answer,
}

/// A version as last observed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ObservedVersion {
    /// The version, above 0.
    pub version: u64,
    /// Source that stated it.
    pub source: VersionSource,
    /// When it was observed.
    pub at: Instant,
}

impl ObservedVersion {
    /// An observed version; `None` if the source states none, which is version 0.
    #[must_use]
    pub fn observe(version: u64, teller: VersionSource, at: Instant) -> Option<Self> {
        (version > 0).then_some(Self {
            version,
            source: teller,
            at,
        })
    }
}

/// Comparison of two engines' versions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionMatch {
    /// Both are known and equal.
    Same,
    /// Both are known and differ.
    Different,
    /// At least one is unknown.
    Unknown,
}

impl VersionMatch {
    /// Compares two observed versions.
    #[must_use]
    pub fn of(left: Option<ObservedVersion>, right: Option<ObservedVersion>) -> Self {
        match (left, right) {
            (Some(left), Some(right)) if left.version == right.version => Self::Same,
            (Some(_), Some(_)) => Self::Different,
            _ => Self::Unknown,
        }
    }

    /// Combines two comparisons: `Different` takes precedence over `Unknown`, and `Unknown` over `Same`.
    #[must_use]
    pub fn and(self, other: Self) -> Self {
        match (self, other) {
            (Self::Different, _) | (_, Self::Different) => Self::Different,
            (Self::Unknown, _) | (_, Self::Unknown) => Self::Unknown,
            (Self::Same, Self::Same) => Self::Same,
        }
    }
}

/// Observed versions that an engine's prompt cache depends on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CacheVersions {
    /// Version of the base model.
    pub base: Option<ObservedVersion>,
    /// Version of the adapter.
    pub adapter: Option<ObservedVersion>,
}

/// Known versions that an engine's prompt cache was computed with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CacheTag {
    /// Version of the base model.
    pub base: u64,
    /// Version of the adapter, if the call names one.
    pub adapter: Option<u64>,
}

impl CacheTag {
    /// Version that a call must expect of an engine that uses the cache.
    #[must_use]
    pub fn expected(&self) -> u64 {
        self.adapter.unwrap_or(self.base)
    }
}

/// Formats a version with its age for a log line.
#[derive(Clone, Copy, Debug)]
pub struct VersionAge {
    /// The version, if it is known.
    pub observed: Option<ObservedVersion>,
    /// Current time.
    pub now: Instant,
}

impl fmt::Display for VersionAge {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.observed {
            Some(sight) => {
                let age = self.now.since(sight.at).as_millis();
                write!(
                    f,
                    "version {} by {:?} {age} ms ago",
                    sight.version, sight.source
                )
            }
            None => f.write_str("unknown version"),
        }
    }
}
