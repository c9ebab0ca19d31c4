//! Folding of the log's records into the books.
//!
//! What can't be decoded is kept out. Of operators' records the last good one stays in force; a target whose newest entry
//! can't be used is not sent to, whoever wrote that entry.

use crate::{
    direct::{
        fleet::{ActiveConfig, FleetBooks, SUSPECT_KEY, VM_KEY, ZONE_KEY},
        intake::RecordSource,
        message::FeedTopic,
    },
    event,
    events::Event,
};
use hoplanding_core::{
    direct::{
        catalog::{TargetCatalog, TargetEntry, TargetStage},
        routes::RouteTable,
        suspects::{EndedUnder, RequestFingerprint},
    },
    ids::{AvailabilityZone, Instant, TargetName, TargetRun, VmName},
};
use hoplanding_platform::{
    DecodeError,
    config::{decode_config, decode_version},
    names::{CONFIG_KEY, VERSION_KEY},
    store::KeyedRecord,
    targets::decode_target,
};
use std::sync::Arc;

/// Characters of a key that a line shows.
const SHOWN_CHARS: usize = 80;

/// What a folded record is to others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FoldedRecord {
    /// It changes what others do.
    News,
    /// It is of no concern to others.
    Kept,
    /// It removes a target that may come back; nothing is changed yet.
    Doubted,
    /// It is of an older life of its target, and changes nothing.
    Outlived,
    /// It names no target that can be used, and that changes what others do.
    Unusable,
}

/// Whether a record is an entry of a newer life of its target than any that is known. Each record comes from several VMs,
/// so one that is kept already is not decoded again.
pub fn tells_newer_life(books: &FleetBooks, topic: FeedTopic, record: &KeyedRecord) -> bool {
    if topic != FeedTopic::Targets || books.records.is_kept(topic, &record.key, record.offset) {
        return false;
    }
    let Some(value) = &record.value else {
        return false;
    };
    let known = books.catalog.life(&TargetName::new(&record.key));
    decode_target(&record.key, value).is_ok_and(|entry| entry.life > known)
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
            Ok(entry) if books.is_own_address(entry.address) => {
                let error = DecodeError::Field {
                    field: "address",
                    value: entry.address.to_string(),
                };
                return fold_unusable(books, record, &error, now);
            }
            Ok(entry) => match fold_entry(books, record, entry, now) {
                Some(is_news) => is_news,
                None => return FoldedRecord::Outlived,
            },
            Err(error) => return fold_unusable(books, record, &error, now),
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

/// Folds an entry; says whether it changes where calls may go, or nothing if its life is over.
fn fold_entry(
    books: &mut FleetBooks,
    record: &KeyedRecord,
    entry: TargetEntry,
    now: Instant,
) -> Option<bool> {
    let name = entry.name.clone();
    let known = books.catalog.life(&name);
    if entry.life < known {
        event!(Event::EntryOutlived, "{name} at offset {}", record.offset);
        return None;
    }
    if entry.life > known && books.catalog.get(&name).is_some() {
        event!(Event::TargetReborn, "{name} at offset {}", record.offset);
        books.health.forget(&name);
    }
    Some(books.catalog.apply(&name, record.offset, Some(entry), now))
}

/// Folds an entry that can't be used: its target is taken for gone.
fn fold_unusable(
    books: &mut FleetBooks,
    record: &KeyedRecord,
    error: &DecodeError,
    now: Instant,
) -> FoldedRecord {
    let name = TargetName::new(&record.key);
    let is_change = books.catalog.settle(&name, record.offset);
    if let Some(untold) = books.skipped.note(now) {
        let key: String = record.key.escape_debug().take(SHOWN_CHARS).collect();
        event!(
            Event::EntryUnusable,
            "{key} at offset {}: {error}; {untold} more before it",
            record.offset
        );
    }
    if is_change {
        event!(
            Event::TargetLeft,
            "{name} at offset {}, as its entry can't be used",
            record.offset
        );
        return FoldedRecord::Unusable;
    }
    FoldedRecord::Kept
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

/// Folds the record of a quarantined request, or the end of its quarantine.
fn fold_suspect(books: &mut FleetBooks, text: &str, record: &KeyedRecord, now: Instant) {
    let Ok(fingerprint) = u64::from_str_radix(text, 16).map(RequestFingerprint) else {
        event!(Event::RecordSkipped, "{}: no fingerprint", record.key);
        return;
    };
    let Some(value) = &record.value else {
        books.suspects.pardon(fingerprint);
        return;
    };
    match serde_json::from_slice::<Vec<TargetRun>>(value) {
        Ok(runs) => {
            for run in runs {
                let ended = EndedUnder { fingerprint, run };
                books.suspects.note_ended(&ended, now);
            }
        }
        Err(error) => event!(Event::RecordSkipped, "{}: {error}", record.key),
    }
}

/// Folds a VM's record, a quarantined request or a zone's lease.
pub fn fold_fleet_record(books: &mut FleetBooks, record: &KeyedRecord, now: Instant) {
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
    } else if let Some(text) = record.key.strip_prefix(SUSPECT_KEY) {
        fold_suspect(books, text, record, now);
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
