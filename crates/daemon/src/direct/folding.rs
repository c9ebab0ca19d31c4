//! Folding of the log's records into the books. What can't be decoded is kept out, and the last good one stays.

use crate::{
    direct::{
        fleet::{ActiveConfig, FleetBooks, VM_KEY, ZONE_KEY},
        intake::RecordSource,
    },
    event,
    events::Event,
};
use hoplanding_core::{
    direct::{
        catalog::{TargetCatalog, TargetStage},
        routes::RouteTable,
    },
    ids::{AvailabilityZone, Instant, TargetName, VmName},
};
use hoplanding_platform::{
    config::{decode_config, decode_version},
    names::{CONFIG_KEY, VERSION_KEY},
    store::KeyedRecord,
    targets::decode_target,
};
use std::sync::Arc;

/// What a folded record is to others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FoldedRecord {
    /// It changes what others do.
    News,
    /// It is of no concern to others.
    Kept,
    /// It removes a target that may come back; nothing is changed yet.
    Doubted,
}

/// Folds a target's entry.
pub fn fold_target_record(
    books: &mut FleetBooks,
    record: &KeyedRecord,
    source: RecordSource,
    now: Instant,
) -> FoldedRecord {
    let name = TargetName::new(&record.key);
    let was_ready = is_ready(&books.catalog, &name);
    let is_news = match &record.value {
        None if source == RecordSource::Passed => books.catalog.settle(&name, record.offset),
        None => books.catalog.apply(&name, record.offset, None, now),
        Some(value) => match decode_target(&record.key, value) {
            Ok(entry) => books.catalog.apply(&name, record.offset, Some(entry), now),
            Err(error) => {
                // What can't be decoded is kept out; the last good entry stays.
                event!(Event::RecordSkipped, "target {name}: {error}");
                return FoldedRecord::Kept;
            }
        },
    };
    if books.catalog.is_doubted(&name) {
        event!(
            Event::RemovalDoubted,
            "{name} at offset {}, {source:?}",
            record.offset
        );
        return FoldedRecord::Doubted;
    }
    if was_ready && !is_ready(&books.catalog, &name) {
        event!(
            Event::TargetLeft,
            "{name} at offset {}, {source:?}",
            record.offset
        );
    }
    if is_news {
        FoldedRecord::News
    } else {
        FoldedRecord::Kept
    }
}

fn is_ready(catalog: &TargetCatalog, name: &TargetName) -> bool {
    catalog
        .get(name)
        .is_some_and(|entry| entry.stage == TargetStage::Ready)
}

/// Folds a configuration or a named version.
pub fn fold_operator_record(books: &mut FleetBooks, record: &KeyedRecord) {
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

/// Folds a VM's record or a zone's lease.
pub fn fold_fleet_record(books: &mut FleetBooks, record: &KeyedRecord) {
    if let Some(vm) = record.key.strip_prefix(VM_KEY) {
        let Some(value) = &record.value else {
            return;
        };
        match serde_json::from_slice(value) {
            Ok(recorded) => {
                books.vms.insert(VmName::new(vm), recorded);
                books.share_retries();
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
