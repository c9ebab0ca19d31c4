//! What this VM knows: configuration, named versions, targets, leases and VMs.
//!
//! Everything folds by offset, so records may come from the log or from other VMs, in any order and more than once.

use crate::{
    clock, direct::message::FeedTopic, direct::settings::DirectSettings, event, events::Event,
};
use hoplanding_core::{
    direct::{
        budget::RetryShare,
        catalog::{TargetCatalog, TargetEntry},
        config::FleetConfig,
        demand::DemandTable,
        health::HealthTable,
        lease::{LeaseState, ZoneLease},
        routes::RouteTable,
    },
    ids::{AdapterName, AvailabilityZone, Instant, LogOffset, ServiceName, TargetName, VmName},
};
use hoplanding_platform::{
    config::{decode_config, decode_version},
    names::{CONFIG_KEY, VERSION_KEY},
    store::{KeyedRecord, ReadBatch},
    targets::decode_target,
};
use serde::{Deserialize, Serialize};
use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};
use tokio::sync::watch;

/// Start of the keys of VM records.
const VM_KEY: &str = "vm/";
/// Start of the keys of zone leases.
const ZONE_KEY: &str = "zone/";
/// VMs that the retry budget is shared among until more are known.
const VMS_ASSUMED: u32 = 8;

/// A VM as recorded by itself at its start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmRecord {
    /// Its zone.
    pub zone: AvailabilityZone,
    /// Where other VMs reach it.
    pub address: SocketAddr,
    /// The run of its process.
    pub incarnation: u64,
}

/// A configuration in force.
#[derive(Debug)]
pub struct ActiveConfig {
    /// The configuration.
    pub config: FleetConfig,
    /// Its routes, ready to search.
    pub routes: RouteTable,
    /// Offset of its record.
    pub offset: LogOffset,
}

/// Everything that is known, behind one lock.
#[derive(Debug)]
pub struct FleetBooks {
    /// The configuration in force.
    pub active: Option<Arc<ActiveConfig>>,
    /// The targets.
    pub catalog: TargetCatalog,
    /// Named versions of adapters.
    pub versions: HashMap<AdapterName, u64>,
    /// Leases by zone.
    pub leases: HashMap<AvailabilityZone, LeaseState>,
    /// The VMs.
    pub vms: HashMap<VmName, VmRecord>,
    /// End of the fleet's topic as read.
    pub fleet_end: Option<LogOffset>,
    /// Whether the target list was read since the start.
    pub has_targets: bool,
    /// Outcomes of this VM's calls.
    pub health: HealthTable,
    /// This VM's calls under way by target.
    pub in_flight: HashMap<TargetName, u32>,
    /// This VM's share of the retry budget.
    pub retries: RetryShare,
    /// How often callers of this VM ask for each adapter.
    pub demand: DemandTable,
    /// Pause before the first order after the claim that is under way.
    pub claim_quiet: Duration,
}

/// The books, and a signal of their changes.
#[derive(Debug)]
pub struct FleetState {
    /// This VM.
    pub vm: VmName,
    /// The run of this process.
    pub incarnation: u64,
    /// This VM's zone.
    pub zone: AvailabilityZone,
    books: Mutex<FleetBooks>,
    changes: watch::Sender<u64>,
}

impl FleetState {
    /// Empty books.
    #[must_use]
    pub fn new(settings: &DirectSettings, incarnation: u64) -> Self {
        Self {
            vm: settings.vm.clone(),
            incarnation,
            zone: settings.zone.clone(),
            books: Mutex::new(FleetBooks {
                active: None,
                catalog: TargetCatalog::default(),
                versions: HashMap::new(),
                leases: HashMap::new(),
                vms: HashMap::new(),
                fleet_end: None,
                has_targets: false,
                health: HealthTable::default(),
                in_flight: HashMap::new(),
                retries: RetryShare::new(settings.retries, VMS_ASSUMED),
                demand: DemandTable::default(),
                claim_quiet: Duration::ZERO,
            }),
            changes: watch::channel(0).0,
        }
    }

    /// The books.
    ///
    /// # Panics
    /// If a holder of the lock panicked.
    pub fn books(&self) -> MutexGuard<'_, FleetBooks> {
        self.books.lock().expect("no holder of the lock panics")
    }

    /// The configuration in force.
    #[must_use]
    pub fn active(&self) -> Option<Arc<ActiveConfig>> {
        self.books().active.clone()
    }

    /// Whether callers can be served.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let books = self.books();
        books.active.is_some() && books.has_targets
    }

    /// A signal that fires after changes.
    #[must_use]
    pub fn watch(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Fires the signal.
    pub fn signal(&self) {
        self.changes.send_modify(|count| *count += 1);
    }

    /// The log is reached again after an outage.
    pub fn outage_ended(&self) {
        self.books().catalog.outage_ended(clock::now());
    }

    /// Folds a listing of the newest record of each key.
    pub fn take_listing(&self, topic: FeedTopic, listing: ReadBatch) {
        let now = clock::now();
        if topic == FeedTopic::Targets {
            let mut books = self.books();
            let rows = listing
                .records
                .into_iter()
                .map(|record| {
                    let name = TargetName::new(&record.key);
                    let entry = decode_entry(&record);
                    (name, record.offset, entry)
                })
                .collect();
            books.catalog.apply_listing(rows, listing.end, now);
            books.has_targets = true;
            drop(books);
        } else {
            self.fold(topic, &listing.records, now);
        }
        self.note_end(topic, listing.end);
        self.signal();
    }

    /// Folds records in the order of their offsets.
    pub fn take_records(&self, topic: FeedTopic, batch: &ReadBatch) {
        self.fold(topic, &batch.records, clock::now());
        self.note_end(topic, batch.end);
        if !batch.records.is_empty() {
            self.signal();
        }
    }

    fn note_end(&self, topic: FeedTopic, end: LogOffset) {
        if topic == FeedTopic::Fleet {
            self.books().fleet_end = Some(end);
        }
    }

    fn fold(&self, topic: FeedTopic, records: &[KeyedRecord], now: Instant) {
        let mut books = self.books();
        for record in records {
            match topic {
                FeedTopic::Operators => fold_operator_record(&mut books, record),
                FeedTopic::Targets => {
                    let entry = decode_entry(record);
                    // What can't be decoded is kept out; the last good entry stays.
                    if entry.is_some() || record.value.is_none() {
                        let name = TargetName::new(&record.key);
                        books.catalog.apply(&name, record.offset, entry, now);
                    }
                }
                FeedTopic::Fleet => fold_fleet_record(&mut books, record),
            }
        }
    }

    /// Removes targets whose removal is no longer in doubt.
    pub fn expire(&self) {
        if self.books().catalog.expire(clock::now()) {
            self.signal();
        }
    }

    /// The holder of a zone by the newest record, and where it is reached.
    #[must_use]
    pub fn lease(&self, zone: &AvailabilityZone) -> Option<ZoneLease> {
        self.books().leases.get(zone)?.lease.clone()
    }

    /// Targets of a service in a zone, whatever their stage.
    #[must_use]
    pub fn zone_targets(
        &self,
        service: &ServiceName,
        zone: &AvailabilityZone,
    ) -> Vec<Arc<TargetEntry>> {
        self.books()
            .catalog
            .iter()
            .filter(|entry| entry.service == *service && entry.zone == *zone)
            .cloned()
            .collect()
    }
}

fn decode_entry(record: &KeyedRecord) -> Option<TargetEntry> {
    let value = record.value.as_ref()?;
    match decode_target(&record.key, value) {
        Ok(entry) => Some(entry),
        Err(error) => {
            event!(Event::RecordSkipped, "target {}: {error}", record.key);
            None
        }
    }
}

fn fold_operator_record(books: &mut FleetBooks, record: &KeyedRecord) {
    // A dropped key takes nothing back: what was in force stays until something newer comes.
    let Some(value) = &record.value else {
        return;
    };
    if record.key == CONFIG_KEY {
        if books
            .active
            .as_ref()
            .is_some_and(|active| active.offset >= record.offset)
        {
            return;
        }
        match decode_config(value) {
            Ok(config) => {
                event!(
                    Event::ConfigInForce,
                    "version {} at offset {}, {} routes",
                    config.version,
                    record.offset,
                    config.routes.len()
                );
                let routes = RouteTable::new(&config);
                let offset = record.offset;
                books.active = Some(Arc::new(ActiveConfig {
                    config,
                    routes,
                    offset,
                }));
            }
            Err(error) => {
                event!(
                    Event::RecordSkipped,
                    "configuration at {}: {error}",
                    record.offset
                );
            }
        }
    } else if record.key.starts_with(VERSION_KEY) {
        match decode_version(value) {
            Ok((subject, version)) => {
                let known = books.versions.entry(subject).or_default();
                *known = version.max(*known);
            }
            Err(error) => {
                event!(Event::RecordSkipped, "version {}: {error}", record.key);
            }
        }
    }
}

fn fold_fleet_record(books: &mut FleetBooks, record: &KeyedRecord) {
    if let Some(vm) = record.key.strip_prefix(VM_KEY) {
        let Some(value) = &record.value else {
            return;
        };
        match serde_json::from_slice(value) {
            Ok(recorded) => {
                books.vms.insert(VmName::new(vm), recorded);
                let count = u32::try_from(books.vms.len()).unwrap_or(u32::MAX);
                books.retries.set_vms(count.max(VMS_ASSUMED));
            }
            Err(error) => event!(Event::RecordSkipped, "VM {vm}: {error}"),
        }
    } else if let Some(zone) = record.key.strip_prefix(ZONE_KEY) {
        let lease = record
            .value
            .as_ref()
            .and_then(|value| match serde_json::from_slice(value) {
                Ok(lease) => Some(lease),
                Err(error) => {
                    event!(Event::RecordSkipped, "lease of {zone}: {error}");
                    None
                }
            });
        let state = books.leases.entry(AvailabilityZone::new(zone)).or_default();
        if state.apply(record.offset, lease) {
            event!(
                Event::LeaseSeen,
                "{zone}: {} at offset {}",
                state.holder().map_or("nobody", VmName::as_str),
                state.offset
            );
        }
    }
}

/// Key of a VM's record.
#[must_use]
pub fn vm_key(vm: &VmName) -> String {
    format!("{VM_KEY}{vm}")
}

/// Key of a zone's lease.
#[must_use]
pub fn zone_key(zone: &AvailabilityZone) -> String {
    format!("{ZONE_KEY}{zone}")
}
