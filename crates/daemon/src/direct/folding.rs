//! Application of platform log records to the fleet's tables.
//!
//! A record that can't be decoded is skipped. The last valid operator records stay in force, but API keys that a newer
//! configuration no longer names are revoked even if the rest of it can't be used. A target whose newest entry is unusable
//! gets no calls, whichever system wrote that entry.

use crate::{
    direct::{
        fleet::{
            ActiveConfig, ERA_KEY, FleetTables, SOFTWARE_KEY_PREFIX, SUSPECT_KEY_PREFIX,
            VM_KEY_PREFIX, ZONE_KEY_PREFIX,
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
    ids::{AvailabilityZone, Instant, ServiceName, TargetName, VmName},
};
use hoplanding_platform::{
    DecodeError,
    config::{decode_config, decode_keys, decode_version},
    names::{CONFIG_KEY, VERSION_KEY},
    store::KeyedRecord,
    targets::decode_target,
};
use std::sync::Arc;

/// Maximum number of characters of a key in a log line.
const MAX_LOGGED_KEY_CHARS: usize = 80;

/// Effect of a record, as far as it concerns other VMs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FoldOutcome {
    /// Changes what other VMs do, so it is forwarded.
    Update,
    /// Stored, but not forwarded.
    Stored,
    /// Removes a target that may be listed again. Nothing changes until the removal is confirmed.
    Unconfirmed,
    /// Outdated by a newer target life or version, and ignored.
    Outdated,
    /// Entry that can't be used, so that its target gets no calls any more.
    Unusable,
}

/// Whether a record is newer by its own order, which is the target's life or a version, than
/// the known one. Several VMs forward each record, so one that is stored already is not decoded
/// again.
pub fn is_newer_by_own_order(tables: &FleetTables, topic: FeedTopic, record: &KeyedRecord) -> bool {
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

/// Applies a target's entry.
pub fn fold_target_record(
    tables: &mut FleetTables,
    record: &KeyedRecord,
    source: RecordSource,
    now: Instant,
) -> FoldOutcome {
    let name = TargetName::new(&record.key);
    let was_ready = is_ready(&tables.catalog, &name);
    let is_update = match &record.value {
        None if source == RecordSource::Forwarded => {
            tables.catalog.confirm_removal(&name, record.position)
        }
        None => tables.catalog.apply(&name, record.position, None, now),
        Some(value) => match decode_target(&record.key, value) {
            Ok(entry) if tables.is_own_address(entry.address) => {
                let error = DecodeError::InvalidField {
                    field: "address",
                    value: entry.address.to_string(),
                };
                return fold_unusable(tables, record, &error, now);
            }
            Ok(entry) if is_removed_since(tables, record, &entry, source) => {
                event!(
                    Event::StaleEntry,
                    "{name} at position {}, removed in an earlier era",
                    record.position
                );
                return FoldOutcome::Outdated;
            }
            Ok(entry) => match fold_entry(tables, record, entry, now) {
                Some(is_update) => is_update,
                None => return FoldOutcome::Outdated,
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
        return FoldOutcome::Unconfirmed;
    }
    if was_ready && !is_ready(&tables.catalog, &name) {
        event!(
            Event::TargetClosed,
            "{name} at position {}, {source:?}",
            record.position
        );
    }
    if is_update {
        FoldOutcome::Update
    } else {
        FoldOutcome::Stored
    }
}

/// Whether an entry from a restored log is older than the target's removal, which that log lacks.
/// An entry written after the restore counts.
fn is_removed_since(
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

/// Applies an entry. Returns whether it changes the placement of calls, or `None` if it describes
/// an earlier life of the target.
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
    let knowledge = tables.list_knowledge();
    tables
        .software
        .record_listed(&entry.service, &entry.software, knowledge, now);
    Some(
        tables
            .catalog
            .apply(&name, record.position, Some(entry), now),
    )
}

/// Applies an entry that can't be used: its target counts as removed.
fn fold_unusable(
    tables: &mut FleetTables,
    record: &KeyedRecord,
    error: &DecodeError,
    now: Instant,
) -> FoldOutcome {
    let name = TargetName::new(&record.key);
    let is_change = tables.catalog.confirm_removal(&name, record.position);
    if let Some(unlogged) = tables.skipped_entries.record(now) {
        let key: String = record
            .key
            .escape_debug()
            .take(MAX_LOGGED_KEY_CHARS)
            .collect();
        event!(
            Event::InvalidEntry,
            "{key} at position {}: {error}; {unlogged} earlier entries not logged",
            record.position
        );
    }
    if is_change {
        event!(
            Event::TargetClosed,
            "{name} at position {}, as its entry can't be used",
            record.position
        );
        return FoldOutcome::Unusable;
    }
    FoldOutcome::Stored
}

fn is_ready(catalog: &TargetCatalog, name: &TargetName) -> bool {
    catalog
        .get(name)
        .is_some_and(|entry| entry.stage == TargetStage::Ready)
}

/// Applies a configuration or a named version.
pub fn fold_operator_record(tables: &mut FleetTables, record: &KeyedRecord) -> FoldOutcome {
    // Removing a key does not revoke its record, which stays in force until a newer one is written.
    let Some(value) = &record.value else {
        return FoldOutcome::Update;
    };
    if record.key == CONFIG_KEY {
        return fold_config(tables, record, value);
    }
    if !record.key.starts_with(VERSION_KEY) {
        return FoldOutcome::Update;
    }
    match decode_version(value) {
        Ok((subject, version)) => {
            let known = tables.versions.entry(subject).or_default();
            if *known > version {
                return FoldOutcome::Outdated;
            }
            *known = version;
        }
        Err(error) => {
            event!(
                Event::RecordSkipped,
                "version record {}: {error}",
                record.key
            );
        }
    }
    FoldOutcome::Update
}

/// Applies a configuration. Its version decides, as a restored log may hold one that is no longer
/// in force.
fn fold_config(tables: &mut FleetTables, record: &KeyedRecord, value: &[u8]) -> FoldOutcome {
    let config = match decode_config(value) {
        Ok(config) => config,
        Err(error) => {
            event!(
                Event::RecordSkipped,
                "configuration at position {}: {error}",
                record.position
            );
            return fold_keys(tables, record, value);
        }
    };
    record_stored_version(tables, record, config.version);
    let known = tables.newest_version();
    if known > Some(config.version) {
        event!(
            Event::ConfigOutdated,
            "version {} at position {}, version in force: {known:?}",
            config.version,
            record.position
        );
        return FoldOutcome::Outdated;
    }
    if known == Some(config.version)
        && tables.records.value(FeedTopic::Operators, CONFIG_KEY) == Some(value)
    {
        // Other VMs have to know that the log holds it in this era, too.
        let stored = tables.records.position(FeedTopic::Operators, CONFIG_KEY);
        let is_rewrite = stored.is_some_and(|stored| stored.era() < record.position.era());
        return if is_rewrite {
            FoldOutcome::Update
        } else {
            FoldOutcome::Stored
        };
    }
    forget_unread_config(tables, record);
    event!(
        Event::ConfigInForce,
        "version {} at position {}, {} routes",
        config.version,
        record.position,
        config.routes.len()
    );
    let routes = RouteTable::new(&config);
    tables.active = Some(Arc::new(ActiveConfig { config, routes }));
    FoldOutcome::Update
}

/// Revokes the keys that an unusable configuration does not name. If its keys can't be read either, no read of the log
/// proves any longer which keys are valid.
fn fold_keys(tables: &mut FleetTables, record: &KeyedRecord, value: &[u8]) -> FoldOutcome {
    let section = match decode_keys(value) {
        Ok(section) => section,
        Err(error) => {
            event!(
                Event::KeysUnreadable,
                "configuration at position {}: {error}",
                record.position
            );
            tables.unread_config = Some(record.position);
            return FoldOutcome::Update;
        }
    };
    record_stored_version(tables, record, section.version);
    if tables.newest_version() > Some(section.version) {
        event!(
            Event::ConfigOutdated,
            "unusable version {} at position {}",
            section.version,
            record.position
        );
        return FoldOutcome::Outdated;
    }
    forget_unread_config(tables, record);
    tables.key_version = section.version;
    let Some(active) = tables.active.clone() else {
        return FoldOutcome::Update;
    };
    let mut config = active.config.clone();
    if let (Some(organisations), Some(keys)) = (&mut config.organisations, &section.keys) {
        let revoked = organisations.revoke_missing(keys);
        event!(
            Event::KeysRevoked,
            "{revoked} keys that version {} at position {} does not name; the rest of version {} stays in force",
            section.version,
            record.position,
            config.version
        );
        let routes = RouteTable::new(&config);
        tables.active = Some(Arc::new(ActiveConfig { config, routes }));
    }
    FoldOutcome::Update
}

/// Forgets a configuration with unreadable keys that a later one has replaced.
fn forget_unread_config(tables: &mut FleetTables, record: &KeyedRecord) {
    tables.unread_config = tables
        .unread_config
        .filter(|unread| *unread > record.position);
}

/// Records the version of a configuration that the log holds.
fn record_stored_version(tables: &mut FleetTables, record: &KeyedRecord, version: u64) {
    if Some(record.position.era()) == tables.store_era {
        tables.stored_version = version.max(tables.stored_version);
    }
}

/// Applies a VM record, the era record, a suspect record, a software record or a zone lease.
pub fn fold_fleet_record(
    tables: &mut FleetTables,
    record: &KeyedRecord,
    rewrites: RewriteRule,
    now: Instant,
) -> FoldOutcome {
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
    } else if let Some(service) = record.key.strip_prefix(SOFTWARE_KEY_PREFIX) {
        fold_software(tables, service, record, now);
    } else if record.key.starts_with(SUSPECT_KEY_PREFIX) {
        event!(
            Event::RecordSkipped,
            "{}: no valid fingerprint in the key",
            record.key
        );
    } else if let Some(zone) = record.key.strip_prefix(ZONE_KEY_PREFIX) {
        return fold_lease(tables, zone, record);
    }
    if is_change {
        FoldOutcome::Update
    } else {
        FoldOutcome::Stored
    }
}

fn fold_vm(tables: &mut FleetTables, vm: &str, record: &KeyedRecord) {
    let Some(value) = &record.value else {
        return;
    };
    match serde_json::from_slice(value) {
        Ok(recorded) => {
            tables.vms.insert(VmName::new(vm), recorded);
            tables.update_budget_shares();
        }
        Err(error) => event!(Event::RecordSkipped, "record of VM {vm}: {error}"),
    }
}

fn fold_era(tables: &mut FleetTables, record: &KeyedRecord, rewrites: RewriteRule) {
    let Some(value) = &record.value else {
        return;
    };
    match serde_json::from_slice(value) {
        Ok(recorded) => tables.apply_era_record(recorded, rewrites),
        Err(error) => event!(Event::RecordSkipped, "era record: {error}"),
    }
}

fn fold_software(tables: &mut FleetTables, service: &str, record: &KeyedRecord, now: Instant) {
    let Some(value) = &record.value else {
        return;
    };
    match serde_json::from_slice(value) {
        Ok(recorded) => {
            let service = ServiceName::new(service);
            tables.software.record_stored(&service, &recorded, now);
        }
        Err(error) => event!(
            Event::RecordSkipped,
            "software versions of {service}: {error}"
        ),
    }
}

fn fold_lease(tables: &mut FleetTables, zone: &str, record: &KeyedRecord) -> FoldOutcome {
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
        return FoldOutcome::Outdated;
    }
    event!(
        Event::LeaseRecorded,
        "{zone}: {} at position {}",
        state.holder().map_or("nobody", VmName::as_str),
        state.position
    );
    FoldOutcome::Update
}
