//! Folding of the log's records into the books.
//!
//! What can't be decoded is kept out. Of operators' records the last good one stays in force; a target whose newest entry
//! can't be used is not sent to, whoever wrote that entry.

use crate::{
    direct::{
        fleet::{
            ActiveConfig, ERA_KEY, FleetTables, SUSPECT_KEY_PREFIX, VM_KEY_PREFIX, ZONE_KEY_PREFIX,
        },
        ingest::RecordSource,
        message::FeedTopic,
        suspect_records::{apply_suspect_record, suspect_fingerprint},
    },
    event,
    events::Event,
};
use hoplanding_core::{
    direct::{
        catalog::{TargetCatalog, TargetEntry, TargetStage},
        restore_guard::RewriteRule,
        routes::RouteTable,
    },
    ids::{AvailabilityZone, Instant, TargetName, VmName},
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
    /// It is older than what is known, by the life of its target or by a version, and changes nothing.
    Outlived,
    /// It names no target that can be used, and that changes what others do.
    Unusable,
}

/// Whether a record is newer than what is known by an order that does not come from the log: the life of a target, or a version.
/// Each record comes from several VMs, so one that is kept already is not decoded again.
pub fn is_newer_by_itself(tables: &FleetTables, topic: FeedTopic, record: &KeyedRecord) -> bool {
    let Some(value) = &record.value else {
        return false;
    };
    let key = &record.key;
    if tables.records.contains(topic, key, record.position)
        && tables.records.value(topic, key) == Some(&**value)
    {
        return false;
    }
    match topic {
        FeedTopic::Targets => {
            let known = tables.catalog.life(&TargetName::new(key));
            decode_target(key, value).is_ok_and(|entry| entry.life > known)
        }
        FeedTopic::Operators if key == CONFIG_KEY => {
            let known = tables.active.as_ref().map(|active| active.config.version);
            decode_config(value).is_ok_and(|config| Some(config.version) > known)
        }
        FeedTopic::Operators if key.starts_with(VERSION_KEY) => {
            decode_version(value).is_ok_and(|(subject, version)| {
                tables
                    .versions
                    .get(&subject)
                    .is_none_or(|known| *known < version)
            })
        }
        FeedTopic::Operators | FeedTopic::Fleet => false,
    }
}

/// Folds a target's entry.
pub fn fold_target_record(
    tables: &mut FleetTables,
    record: &KeyedRecord,
    source: RecordSource,
    now: Instant,
) -> FoldedRecord {
    let name = TargetName::new(&record.key);
    let was_ready = is_ready(&tables.catalog, &name);
    let is_news = match &record.value {
        None if source == RecordSource::Passed => {
            tables.catalog.confirm_removal(&name, record.position)
        }
        None => tables.catalog.apply(&name, record.position, None, now),
        Some(value) => match decode_target(&record.key, value) {
            Ok(entry) if tables.is_own_address(entry.address) => {
                let error = DecodeError::Field {
                    field: "address",
                    value: entry.address.to_string(),
                };
                return fold_unusable(tables, record, &error, now);
            }
            Ok(entry) if is_gone_since(tables, record, &entry, source) => {
                event!(
                    Event::StaleEntry,
                    "{name} at position {}, removed in an earlier era",
                    record.position
                );
                return FoldedRecord::Outlived;
            }
            Ok(entry) => match fold_entry(tables, record, entry, now) {
                Some(is_news) => is_news,
                None => return FoldedRecord::Outlived,
            },
            Err(error) => return fold_unusable(tables, record, &error, now),
        },
    };
    if tables.catalog.is_removal_pending(&name) {
        event!(
            Event::RemovalUncertain,
            "{name} at position {}, {source:?}",
            record.position
        );
        return FoldedRecord::Doubted;
    }
    if was_ready && !is_ready(&tables.catalog, &name) {
        event!(
            Event::TargetClosed,
            "{name} at position {}, {source:?}",
            record.position
        );
    }
    if is_news {
        FoldedRecord::News
    } else {
        FoldedRecord::Kept
    }
}

/// Whether an entry came with a copy of the log that lacks the target's removal: its target is gone since. One that is written
/// after the log's return counts.
fn is_gone_since(
    tables: &FleetTables,
    record: &KeyedRecord,
    entry: &TargetEntry,
    source: RecordSource,
) -> bool {
    let topic = FeedTopic::Targets;
    let era = record.position.era();
    let removed = tables.records.position(topic, &record.key);
    let was_removed = removed.is_some_and(|removed| removed.era() < era)
        && tables.records.value(topic, &record.key).is_none();
    let listed = tables.known_since.get(&topic);
    let is_copied = source == RecordSource::Listed
        || listed.is_some_and(|listed| listed.era() == era && record.position < *listed);
    was_removed && is_copied && entry.life <= tables.catalog.life(&entry.name)
}

/// Folds an entry; says whether it changes where calls may go, or nothing if its life is over.
fn fold_entry(
    tables: &mut FleetTables,
    record: &KeyedRecord,
    entry: TargetEntry,
    now: Instant,
) -> Option<bool> {
    let name = entry.name.clone();
    let known = tables.catalog.life(&name);
    if entry.life < known {
        event!(Event::StaleEntry, "{name} at position {}", record.position);
        return None;
    }
    if entry.life > known && tables.catalog.get(&name).is_some() {
        event!(
            Event::TargetReplaced,
            "{name} at position {}",
            record.position
        );
        tables.health.forget(&name);
    }
    Some(
        tables
            .catalog
            .apply(&name, record.position, Some(entry), now),
    )
}

/// Folds an entry that can't be used: its target is taken for gone.
fn fold_unusable(
    tables: &mut FleetTables,
    record: &KeyedRecord,
    error: &DecodeError,
    now: Instant,
) -> FoldedRecord {
    let name = TargetName::new(&record.key);
    let is_change = tables.catalog.confirm_removal(&name, record.position);
    if let Some(untold) = tables.skipped_entries.note(now) {
        let key: String = record.key.escape_debug().take(SHOWN_CHARS).collect();
        event!(
            Event::InvalidEntry,
            "{key} at position {}: {error}; {untold} more before it",
            record.position
        );
    }
    if is_change {
        event!(
            Event::TargetClosed,
            "{name} at position {}, as its entry can't be used",
            record.position
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
pub fn fold_operator_record(tables: &mut FleetTables, record: &KeyedRecord) -> FoldedRecord {
    // A dropped key takes nothing back: what was in force stays until something newer comes.
    let Some(value) = &record.value else {
        return FoldedRecord::News;
    };
    if record.key == CONFIG_KEY {
        return fold_config(tables, record, value);
    }
    if !record.key.starts_with(VERSION_KEY) {
        return FoldedRecord::News;
    }
    match decode_version(value) {
        Ok((subject, version)) => {
            let known = tables.versions.entry(subject).or_default();
            if *known > version {
                return FoldedRecord::Outlived;
            }
            *known = version;
        }
        Err(error) => {
            event!(Event::RecordSkipped, "version {}: {error}", record.key);
        }
    }
    FoldedRecord::News
}

/// Folds a configuration. Its version orders it, as a copy of the log may hold one that is no longer in force.
fn fold_config(tables: &mut FleetTables, record: &KeyedRecord, value: &[u8]) -> FoldedRecord {
    let config = match decode_config(value) {
        Ok(config) => config,
        Err(error) => {
            event!(
                Event::RecordSkipped,
                "configuration at {}: {error}",
                record.position
            );
            return FoldedRecord::News;
        }
    };
    if Some(record.position.era()) == tables.store_era {
        tables.stored_version = config.version.max(tables.stored_version);
    }
    let known = tables.active.as_ref().map(|active| active.config.version);
    if known > Some(config.version) {
        event!(
            Event::ConfigOutdated,
            "version {} at {}, in force {known:?}",
            config.version,
            record.position
        );
        return FoldedRecord::Outlived;
    }
    if known == Some(config.version)
        && tables.records.value(FeedTopic::Operators, CONFIG_KEY) == Some(value)
    {
        return FoldedRecord::Kept;
    }
    event!(
        Event::ConfigInForce,
        "version {} at {}, {} routes",
        config.version,
        record.position,
        config.routes.len()
    );
    let routes = RouteTable::new(&config);
    tables.active = Some(Arc::new(ActiveConfig { config, routes }));
    FoldedRecord::News
}

/// Folds a VM's record, a suspect's or a zone's lease.
pub fn fold_fleet_record(
    tables: &mut FleetTables,
    record: &KeyedRecord,
    rewrites: RewriteRule,
    now: Instant,
) -> FoldedRecord {
    let known = tables.records.value(FeedTopic::Fleet, &record.key);
    let is_change = record.value.is_none() || known != record.value.as_deref();
    if let Some(vm) = record.key.strip_prefix(VM_KEY_PREFIX) {
        fold_vm(tables, vm, record);
    } else if record.key == ERA_KEY {
        fold_era(tables, record, rewrites);
    } else if let Some(fingerprint) = suspect_fingerprint(&record.key) {
        if let Err(error) = apply_suspect_record(tables, fingerprint, record.value.as_deref(), now)
        {
            event!(Event::RecordSkipped, "{}: {error}", record.key);
        }
    } else if record.key.starts_with(SUSPECT_KEY_PREFIX) {
        event!(Event::RecordSkipped, "{}: no fingerprint", record.key);
    } else if let Some(zone) = record.key.strip_prefix(ZONE_KEY_PREFIX) {
        return fold_lease(tables, zone, record);
    }
    if is_change {
        FoldedRecord::News
    } else {
        FoldedRecord::Kept
    }
}

fn fold_vm(tables: &mut FleetTables, vm: &str, record: &KeyedRecord) {
    let Some(value) = &record.value else {
        return;
    };
    match serde_json::from_slice(value) {
        Ok(recorded) => {
            tables.vms.insert(VmName::new(vm), recorded);
            tables.share_retries();
        }
        Err(error) => event!(Event::RecordSkipped, "VM {vm}: {error}"),
    }
}

fn fold_era(tables: &mut FleetTables, record: &KeyedRecord, rewrites: RewriteRule) {
    let Some(value) = &record.value else {
        return;
    };
    match serde_json::from_slice(value) {
        Ok(recorded) => tables.apply_era_record(recorded, rewrites),
        Err(error) => event!(Event::RecordSkipped, "era: {error}"),
    }
}

fn fold_lease(tables: &mut FleetTables, zone: &str, record: &KeyedRecord) -> FoldedRecord {
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
    let state = tables
        .leases
        .entry(AvailabilityZone::new(zone))
        .or_default();
    if !state.apply(record.position, lease) {
        return FoldedRecord::Outlived;
    }
    event!(
        Event::LeaseRecorded,
        "{zone}: {} at {}",
        state.holder().map_or("nobody", VmName::as_str),
        state.position
    );
    FoldedRecord::News
}
