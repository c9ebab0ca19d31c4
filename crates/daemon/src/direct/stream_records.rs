//! What this VM, the other VMs and the platform's log know about the software versions that began streams.
//!
//! A gateway remembers the version of each stream that it relays. The log has one record per service with the versions
//! that may have begun streams; a VM with a recent target list that names only one needs to know nothing else. Whether the
//! list is recent counts from when its read was sent, by this VM or by one that forwards all records to it.
//!
//! While a service runs several versions, or the target list is not recent, gateways also send what they remember to the
//! holders of all zones, where any VM can ask for it: what they remember from before when that begins, and each further
//! stream with its first event.

use crate::{
    clock,
    direct::{
        fleet::{FleetState, FleetTables, SOFTWARE_KEY_PREFIX},
        message::FeedTopic,
    },
};
use hoplanding_core::{
    direct::{
        freshness::HeartbeatEcho,
        software_history::{ListKnowledge, SoftwareRecord, VERSION_HOLD},
        stream_origins::{StreamKey, StreamOrigin},
    },
    ids::{Instant, ServiceName, SoftwareVersion},
};
use std::{collections::BTreeSet, mem, time::Duration};

/// Origins that wait to be archived; beyond that, the oldest are not archived.
const MAX_UNARCHIVED_ORIGINS: usize = 65_536;
/// Maximum number of origins in one message.
pub(super) const MAX_SENT_ORIGINS: usize = 256;
/// Maximum number of origins that a VM is sent over a new link.
const MAX_INITIAL_ORIGINS: usize = 4_096;

/// A software record that has to be written.
#[derive(Clone, Debug)]
pub struct DueSoftware {
    /// The service.
    pub service: ServiceName,
    /// The record's new value.
    pub value: SoftwareRecord,
    /// Whether the record in the log lacks a version, and does not only name versions of the past.
    pub lacks_versions: bool,
}

/// Key of the record of a service's software versions.
#[must_use]
pub fn software_key(service: &ServiceName) -> String {
    format!("{SOFTWARE_KEY_PREFIX}{service}")
}

impl FleetTables {
    /// Software records that differ from what this VM knows, or that a restored log may lack.
    pub(super) fn due_software_records(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = DueSoftware> + '_ {
        self.software.services().filter_map(move |service| {
            let key = software_key(service);
            let versions = self.software.versions(service, &self.catalog, now);
            let stored = self.records.value(FeedTopic::Fleet, &key);
            let stored = stored.and_then(|value| serde_json::from_slice(value).ok());
            let stored: SoftwareRecord = stored.unwrap_or_default();
            let position = self.records.position(FeedTopic::Fleet, &key);
            let is_in_era = position.is_some_and(|position| Some(position.era()) >= self.store_era);
            let lacks_versions = !is_in_era || !versions.is_subset(&stored.versions);
            let held = self.software.held_versions(service, now);
            let held = held.map(|(held, _)| held).unwrap_or_default();
            let is_due = lacks_versions || versions != stored.versions || held != stored.held;
            is_due.then(|| DueSoftware {
                service: service.clone(),
                value: SoftwareRecord { versions, held },
                lacks_versions,
            })
        })
    }

    /// Whether a service may have run several software versions since streams began that are still taken up.
    fn runs_several_versions(&self, service: &ServiceName, now: Instant) -> bool {
        self.software.is_mixed(service, &self.catalog, now)
    }

    /// Adds origins to those that this VM has to archive, if it holds its zone.
    fn archive_streams(&mut self, fleet: &FleetState, origins: &[StreamOrigin]) {
        let state = self.leases.get(&fleet.zone);
        let is_holder = state.is_some_and(|state| state.holder() == Some(&fleet.vm));
        if is_holder {
            self.unarchived_streams.extend(origins.iter().cloned());
            let waiting = self.unarchived_streams.len();
            let excess = waiting.saturating_sub(MAX_UNARCHIVED_ORIGINS);
            self.unarchived_streams.drain(..excess);
        }
    }

    /// Takes origins of this VM's streams of a service that other VMs should know, as many as fit into one message; none
    /// while the service is known to run a single version.
    fn take_due_origins(
        &mut self,
        fleet: &FleetState,
        service: &ServiceName,
        now: Instant,
    ) -> Vec<StreamOrigin> {
        let is_sole_version_proven =
            self.has_recent_list(now) && !self.runs_several_versions(service, now);
        if is_sole_version_proven {
            return Vec::new();
        }
        let origins = self
            .stream_origins
            .take_unsent(service, MAX_SENT_ORIGINS, now);
        self.archive_streams(fleet, &origins);
        origins
    }

    /// Whether this VM knows every record of the target list and of the fleet up to the ends that it knows of.
    fn is_list_complete(&self) -> bool {
        let topics = [FeedTopic::Targets, FeedTopic::Fleet];
        topics
            .iter()
            .all(|topic| self.known_ends.contains_key(topic) && !self.gaps.contains_key(topic))
    }

    /// Whether this VM has a complete and recent view of the target list and of the log's records, its own or from the VMs of
    /// its zone.
    fn has_recent_list(&self, now: Instant) -> bool {
        let is_recent = |read_at: Instant| now.since(read_at) < VERSION_HOLD;
        self.is_list_complete() && self.list_read_at.is_some_and(is_recent)
    }

    /// What this VM knows of the target list before a record that it is about to apply.
    pub(super) fn list_knowledge(&self) -> ListKnowledge {
        if self.known_ends.contains_key(&FeedTopic::Targets) {
            let read_at = self.list_read_at.filter(|_| self.is_list_complete());
            ListKnowledge::Whole(read_at)
        } else {
            ListKnowledge::Nothing
        }
    }

    /// Age of the proof that this VM knows the whole target list, in milliseconds, for VMs to which it has forwarded all.
    pub(super) fn list_age_ms(&self, now: Instant) -> Option<u32> {
        let read_at = self.list_read_at.filter(|_| self.is_list_complete())?;
        let age = now.since(read_at).as_micros().div_ceil(1_000);
        u32::try_from(age).ok()
    }

    /// Whether any service may have run several software versions lately; `None` until the topics are known.
    pub(super) fn runs_any_mixed_service(&self, now: Instant) -> Option<bool> {
        let topics = [FeedTopic::Targets, FeedTopic::Fleet];
        let are_known = topics
            .iter()
            .all(|topic| self.known_ends.contains_key(topic));
        let listed = self.catalog.iter().map(|entry| &entry.service);
        let services: BTreeSet<_> = listed.chain(self.software.services()).collect();
        are_known.then(|| {
            let mut services = services.into_iter();
            services.any(|service| self.runs_several_versions(service, now))
        })
    }

    /// Origins for a VM that knows none, if any service runs several software versions.
    pub(super) fn mixed_stream_origins(&self, now: Instant) -> Vec<StreamOrigin> {
        if self.runs_any_mixed_service(now) == Some(true) {
            self.stream_origins.newest(MAX_INITIAL_ORIGINS, now)
        } else {
            Vec::new()
        }
    }
}

impl FleetState {
    /// Records the software versions on the target list as listed until now.
    pub fn record_listed_software(&self) {
        let now = clock::now();
        let mut tables = self.tables();
        let knowledge = tables.list_knowledge();
        let FleetTables {
            catalog, software, ..
        } = &mut *tables;
        for entry in catalog.iter() {
            software.record_listed(&entry.service, &entry.software, knowledge, now);
        }
    }

    /// Records that all entries are known which the target list held when a read was sent.
    pub fn record_list_read(&self, sent_at: Instant) {
        let mut tables = self.tables();
        tables.list_read_at = tables.list_read_at.max(Some(sent_at));
    }

    /// Records the list's age at another VM that has forwarded all that it knows.
    pub fn apply_list_age(&self, age_ms: u32, echo: &HeartbeatEcho) {
        if let Some(read_at) = echo.time_before(age_ms) {
            self.record_list_read(read_at);
        }
    }

    /// Software versions of a service at which no stream begins yet that may be taken up, and the time until that changes.
    #[must_use]
    pub fn held_versions(
        &self,
        service: &ServiceName,
    ) -> Option<(BTreeSet<SoftwareVersion>, Duration)> {
        self.tables().software.held_versions(service, clock::now())
    }

    /// Whether several software versions of a service are known.
    #[must_use]
    pub fn is_mixed(&self, service: &ServiceName) -> bool {
        self.tables().runs_several_versions(service, clock::now())
    }

    /// Records streams that another VM relays. Those of the zone's own gateways are archived by its holder.
    pub fn record_streams(&self, origins: &[StreamOrigin], is_same_zone: bool) {
        let now = clock::now();
        let mut tables = self.tables();
        for origin in origins {
            tables.stream_origins.record(origin, now);
        }
        if is_same_zone {
            tables.archive_streams(self, origins);
        }
    }

    /// Takes the origins that this VM has to append to the archive.
    pub(super) fn take_unarchived_streams(&self) -> Vec<StreamOrigin> {
        mem::take(&mut self.tables().unarchived_streams).into()
    }

    /// Takes back origins that could not be appended to the archive.
    pub(super) fn return_unarchived_streams(&self, origins: &[StreamOrigin]) {
        let mut tables = self.tables();
        let waiting = &mut tables.unarchived_streams;
        let room = MAX_UNARCHIVED_ORIGINS.saturating_sub(waiting.len());
        for origin in origins.iter().rev().take(room) {
            waiting.push_front(origin.clone());
        }
    }

    /// Services with streams of this VM that other VMs have not been told of.
    pub(super) fn unsent_services(&self) -> Vec<ServiceName> {
        let tables = self.tables();
        tables.stream_origins.unsent_services().cloned().collect()
    }

    /// Takes origins of this VM's streams of a service that other VMs should know by now, as many as fit into one message.
    pub(super) fn take_due_origins(&self, service: &ServiceName) -> Vec<StreamOrigin> {
        let mut tables = self.tables();
        tables.take_due_origins(self, service, clock::now())
    }

    /// Takes back origins that no other VM was sent.
    pub(super) fn return_unsent(&self, service: &ServiceName, origins: &[StreamOrigin]) {
        let mut tables = self.tables();
        tables.stream_origins.return_unsent(service, origins);
    }

    /// Records that the archive was read, or that it is not needed.
    pub(super) fn record_archive_read(&self) {
        self.tables().is_archive_read = true;
    }

    /// Whether this VM knows the streams that the archive had at its start.
    #[must_use]
    pub fn is_archive_read(&self) -> bool {
        self.tables().is_archive_read
    }

    /// Records a stream that this VM relays; returns the origins that other VMs should know.
    pub fn record_own_stream(
        &self,
        service: &ServiceName,
        origin: &StreamOrigin,
    ) -> Vec<StreamOrigin> {
        let now = clock::now();
        let mut tables = self.tables();
        tables.stream_origins.record_own(service, origin, now);
        tables.take_due_origins(self, service, now)
    }

    /// Software version that began a stream, as far as this VM knows.
    #[must_use]
    pub fn stream_software(&self, key: StreamKey) -> Option<SoftwareVersion> {
        let tables = self.tables();
        let software = tables.stream_origins.software(key, clock::now());
        software.cloned()
    }

    /// The version that began every stream of a service, if this VM can tell: its view of the target list and of the log's
    /// records is complete and recent, and names no other version at which a stream may have begun.
    #[must_use]
    pub fn sole_software(&self, service: &ServiceName) -> Option<SoftwareVersion> {
        let now = clock::now();
        let tables = self.tables();
        if !tables.has_recent_list(now) {
            return None;
        }
        tables.software.sole_version(service, &tables.catalog, now)
    }
}
