//! Software versions that each service has run lately.
//!
//! If a service has run a single version for longer than streams last, that version began every stream, also those that no VM
//! remembers. The versions are kept in the platform's log, so that VMs that start know of those whose targets have left.

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

/// Software versions of a service, as stored in the platform's log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SoftwareRecord {
    /// Versions that may have begun streams which are still taken up.
    pub versions: BTreeSet<SoftwareVersion>,
}

/// When each version of each service was last known to be listed.
#[derive(Clone, Debug, Default)]
pub struct SoftwareHistory {
    services: HashMap<ServiceName, BTreeMap<SoftwareVersion, Instant>>,
}

impl SoftwareHistory {
    /// Records that a target of a version is listed, or was until now.
    pub fn record_listed(
        &mut self,
        service: &ServiceName,
        software: &SoftwareVersion,
        now: Instant,
    ) {
        let versions = self.services.entry(service.clone()).or_default();
        let listed_at = versions.entry(software.clone()).or_insert(now);
        *listed_at = now.max(*listed_at);
    }

    /// Records the versions that the platform's log names, except those that are known already.
    pub fn record_stored(&mut self, service: &ServiceName, record: &SoftwareRecord, now: Instant) {
        let versions = self.services.entry(service.clone()).or_default();
        for software in &record.versions {
            versions.entry(software.clone()).or_insert(now);
        }
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

    /// The version that began every stream of a service; `None` if there may be several.
    #[must_use]
    pub fn sole_version(
        &self,
        service: &ServiceName,
        catalog: &TargetCatalog,
        now: Instant,
    ) -> Option<SoftwareVersion> {
        let mut versions = self.versions_with_repeats(service, catalog, now);
        let first = versions.next()?;
        versions
            .all(|software| software == first)
            .then(|| first.clone())
    }

    fn versions_with_repeats<'a>(
        &'a self,
        service: &'a ServiceName,
        catalog: &'a TargetCatalog,
        now: Instant,
    ) -> impl Iterator<Item = &'a SoftwareVersion> {
        let known = self.services.get(service).into_iter().flatten();
        let recent = known.filter(move |(_, listed_at)| now < listed_at.after(VERSION_TTL));
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
