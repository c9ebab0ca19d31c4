//! Software versions that each service has run lately, and from when on streams begin at a new one.
//!
//! If a service has run a single version for longer than streams last, that version began every stream, also those that no VM
//! remembers. The versions are kept in the platform's log, so that VMs that start know of those whose targets have left.
//!
//! A VM knows of a new version only some time after it was listed, and one that is out of touch does not know of it at all.
//! So each VM holds a new version back from streams that may be taken up, for [`VERSION_HOLD`] from when it learns of it. A
//! read of the target list is then a proof for as long: wherever a version that the read does not show was learned, it was
//! after the read was sent, so no stream has begun at it before the proof expires. For the same reason no stream has begun yet
//! at a new version until [`VERSION_HOLD`] after the last read that did not show it.

use crate::{
    direct::catalog::TargetCatalog,
    ids::{Instant, ServiceName, SoftwareVersion},
};
use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Duration,
};

/// Time from when a version was last listed until no stream that it began is taken up any more.
pub const VERSION_TTL: Duration = Duration::from_secs(600);
/// Time from when a VM learns of a new version until it begins streams at it, and age up to which a read of the target list
/// proves that no version that it does not show has begun a stream. Reads are up to 2.6 s old where another VM forwards them.
pub const VERSION_HOLD: Duration = Duration::from_secs(4);

/// Software versions of a service, as stored in the platform's log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SoftwareRecord {
    /// Versions that may have begun streams which are still taken up, or will.
    pub versions: BTreeSet<SoftwareVersion>,
    /// Those of them that are still held back.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub held: BTreeSet<SoftwareVersion>,
}

/// What a VM knew of the target list when it learned of a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKnowledge {
    /// The version is part of its first list, and other VMs may use it already.
    Nothing,
    /// The whole list, as of a read that was sent at this time, if there was any that proves that.
    Whole(Option<Instant>),
}

/// A version of a service.
#[derive(Clone, Copy, Debug)]
struct KnownVersion {
    /// When it was last known to be listed.
    listed_at: Instant,
    /// Time until which it is held back; none for a version of the first list that no record of the log shows to be new.
    held_until: Option<Instant>,
    /// Time until which no VM has begun a stream at it.
    unused_until: Instant,
}

/// Versions of one service.
#[derive(Clone, Debug, Default)]
struct ServiceVersions {
    known: BTreeMap<SoftwareVersion, KnownVersion>,
    /// Whether the platform's log has a record of this service.
    is_recorded: bool,
}

/// Versions of each service.
#[derive(Clone, Debug, Default)]
pub struct SoftwareHistory {
    services: HashMap<ServiceName, ServiceVersions>,
}

impl SoftwareHistory {
    /// Records that a target of a version is listed, or was until now.
    pub fn record_listed(
        &mut self,
        service: &ServiceName,
        software: &SoftwareVersion,
        knowledge: ListKnowledge,
        now: Instant,
    ) {
        let versions = self.services.entry(service.clone()).or_default();
        let known = versions.known.get_mut(software);
        if let Some(version) = known.filter(|known| now < known.listed_at.after(VERSION_TTL)) {
            version.listed_at = now.max(version.listed_at);
            return;
        }
        let is_first = versions.known.is_empty();
        let (is_new, unused_until) = match knowledge {
            ListKnowledge::Nothing => (versions.is_recorded, Instant(0)),
            ListKnowledge::Whole(read_at) => {
                let unused_until = read_at.map_or(Instant(0), |at| at.after(VERSION_HOLD));
                (!is_first, unused_until)
            }
        };
        let version = KnownVersion {
            listed_at: now,
            held_until: is_new.then(|| now.after(VERSION_HOLD)),
            unused_until: if is_new { unused_until } else { Instant(0) },
        };
        versions.known.insert(software.clone(), version);
    }

    /// Records the versions that the platform's log names. One that it shows to be new is held back, and so are those of the
    /// first list that it lacks.
    pub fn record_stored(&mut self, service: &ServiceName, record: &SoftwareRecord, now: Instant) {
        let versions = self.services.entry(service.clone()).or_default();
        let held_until = now.after(VERSION_HOLD);
        if !versions.is_recorded {
            versions.is_recorded = true;
            for (software, version) in &mut versions.known {
                if !record.versions.contains(software) {
                    version.held_until.get_or_insert(held_until);
                }
            }
        }
        for software in &record.versions {
            let is_held = record.held.contains(software);
            let stored = KnownVersion {
                listed_at: now,
                held_until: is_held.then_some(held_until),
                unused_until: Instant(0),
            };
            let version = versions.known.entry(software.clone()).or_insert(stored);
            if is_held {
                version.held_until.get_or_insert(held_until);
            }
        }
    }

    /// Versions of a service from which new streams that may be taken up are held back, and the time until the first of them
    /// is not. A version that is the only one is never held back.
    #[must_use]
    pub fn held_versions(
        &self,
        service: &ServiceName,
        now: Instant,
    ) -> Option<(BTreeSet<SoftwareVersion>, Duration)> {
        let known = &self.services.get(service)?.known;
        let recent = known
            .iter()
            .filter(|(_, version)| now < version.listed_at.after(VERSION_TTL));
        if recent.count() < 2 {
            return None;
        }
        let held = known.iter().filter_map(|(software, version)| {
            let until = version.held_until.filter(|until| now < *until)?;
            Some((software, until))
        });
        let first = held.clone().map(|(_, until)| until).min()?;
        let versions = held.map(|(software, _)| software.clone()).collect();
        Some((versions, first.since(now)))
    }

    /// Versions that may have begun streams of a service which are still taken up.
    #[must_use]
    pub fn versions(
        &self,
        service: &ServiceName,
        catalog: &TargetCatalog,
        now: Instant,
    ) -> BTreeSet<SoftwareVersion> {
        self.versions_with_repeats(service, catalog, now)
            .cloned()
            .collect()
    }

    /// The version that began every stream of a service until now; `None` if there may be several.
    #[must_use]
    pub fn sole_version(
        &self,
        service: &ServiceName,
        catalog: &TargetCatalog,
        now: Instant,
    ) -> Option<SoftwareVersion> {
        let known = self.services.get(service).map(|versions| &versions.known);
        let is_used = |software: &SoftwareVersion| {
            let version = known.and_then(|known| known.get(software));
            version.is_none_or(|version| now >= version.unused_until)
        };
        let all = self.versions_with_repeats(service, catalog, now);
        let mut used = all.filter(|software| is_used(software));
        let first = used.next()?;
        used.all(|software| software == first)
            .then(|| first.clone())
    }

    /// Whether a service has run several versions lately, or will: streams may begin at more than one of them.
    #[must_use]
    pub fn is_mixed(&self, service: &ServiceName, catalog: &TargetCatalog, now: Instant) -> bool {
        let mut versions = self.versions_with_repeats(service, catalog, now);
        let first = versions.next();
        first.is_none_or(|first| versions.any(|software| software != first))
    }

    fn versions_with_repeats<'a>(
        &'a self,
        service: &'a ServiceName,
        catalog: &'a TargetCatalog,
        now: Instant,
    ) -> impl Iterator<Item = &'a SoftwareVersion> {
        let known = self.services.get(service).into_iter();
        let known = known.flat_map(|versions| &versions.known);
        let recent = known.filter(move |(_, version)| now < version.listed_at.after(VERSION_TTL));
        let listed = catalog.iter().filter(|entry| entry.service == *service);
        recent
            .map(|(software, _)| software)
            .chain(listed.map(|entry| &entry.software))
    }

    /// Services whose versions are known.
    pub fn services(&self) -> impl Iterator<Item = &ServiceName> {
        self.services.keys()
    }
}
