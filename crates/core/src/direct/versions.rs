//! Which versions of a base model and of an adapter an engine has, and how its holder knows.
//!
//! An engine lists and reports both, an order that names a version brings it, and each answer tells the version of the base model
//! that made it. Of what was loaded without a named version nobody knows which one it is until one of these tells.

use crate::ids::Instant;
use std::fmt;

/// What told a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionSource {
    /// The platform's list, which may be seconds old.
    List,
    /// The engine's report.
    Report,
    /// An order that named it, and was taken.
    Order,
    /// The answer to a call.
    Answer,
}

/// A version as it was last told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ObservedVersion {
    /// The version.
    pub version: u64,
    /// What told it.
    pub source: VersionSource,
    /// When it was told.
    pub at: Instant,
}

impl ObservedVersion {
    /// A version that was told now; nothing where what told it names none.
    #[must_use]
    pub fn observe(version: u64, teller: VersionSource, at: Instant) -> Option<Self> {
        (version > 0).then_some(Self {
            version,
            source: teller,
            at,
        })
    }
}

/// How two engines' versions stand to each other, as far as is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionMatch {
    /// They are known and the same.
    Same,
    /// They are known and unlike.
    Different,
    /// One of them is not known.
    Unknown,
}

impl VersionMatch {
    /// Compares what is known of two versions.
    #[must_use]
    pub fn of(left: Option<ObservedVersion>, right: Option<ObservedVersion>) -> Self {
        match (left, right) {
            (Some(left), Some(right)) if left.version == right.version => Self::Same,
            (Some(_), Some(_)) => Self::Different,
            _ => Self::Unknown,
        }
    }

    /// Both comparisons in one.
    #[must_use]
    pub fn and(self, other: Self) -> Self {
        match (self, other) {
            (Self::Different, _) | (_, Self::Different) => Self::Different,
            (Self::Unknown, _) | (_, Self::Unknown) => Self::Unknown,
            (Self::Same, Self::Same) => Self::Same,
        }
    }
}

/// Versions of what makes an engine's memory of a prompt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CacheVersions {
    /// Of the base model.
    pub base: Option<ObservedVersion>,
    /// Of the adapter.
    pub adapter: Option<ObservedVersion>,
}

/// Versions that are known to have made an engine's memory of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CacheTag {
    /// Of the base model.
    pub base: u64,
    /// Of the adapter, where one was asked for.
    pub adapter: Option<u64>,
}

impl CacheTag {
    /// The version that a call has to expect of an engine that uses the memory.
    #[must_use]
    pub fn expected(&self) -> u64 {
        self.adapter.unwrap_or(self.base)
    }
}

/// Shows a version with its age, for a log line.
#[derive(Clone, Copy, Debug)]
pub struct VersionAge {
    /// What is known.
    pub observed: Option<ObservedVersion>,
    /// The present.
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
