//! Application of change records to the configuration.
//!
//! A change record is atomic. Its parts are applied one after the other; if one is refused, the objects that earlier
//! parts changed are restored.

use crate::{
    config::{
        AdapterConfig, AuditEntry, AuditOutcome, CallerConfig, CallerQuota, ChangeConflict,
        ChangeOutcome, ConfigChange, ConfigState, ObjectRef, OperatorConfig, RequestRepeatability,
        RightConfig, ServiceRule, TargetConfig, VersionConfig, VersionStatus,
        state::{MAX_AUDIT_ENTRIES, MAX_REMEMBERED_CHANGES, RememberedChange},
    },
    ids::{AdapterName, LogOffset, VersionName},
    log::ChangeRecord,
    policy::PolicyWeights,
};
use serde::Serialize;
use std::collections::BTreeSet;

/// Copy of an object before a part was applied; `None` for an object that did not exist.
enum SavedObject {
    Adapter(Option<AdapterConfig>),
    Caller(Option<CallerConfig>),
    Right(Option<RightConfig>),
    Rule(Option<ServiceRule>),
    Target(Option<TargetConfig>),
    Weight(Option<(f64, LogOffset)>),
    Operator(Option<OperatorConfig>),
}

impl ConfigState {
    /// Applies a change record and adds it to the audit trail. A duplicate of a recent record has no effect and returns the
    /// first outcome.
    pub fn apply(&mut self, offset: LogOffset, record: &ChangeRecord) -> ChangeOutcome {
        if let Some(outcome) = self.outcome(&record.id) {
            return outcome.clone();
        }
        let before = self.describe_objects(record);
        let outcome = match self.apply_parts(offset, record) {
            Ok(()) => ChangeOutcome::Accepted(offset),
            Err(conflict) => ChangeOutcome::Refused(offset, conflict),
        };
        self.remember(record, &outcome);
        self.record_audit(offset, record, before, &outcome);
        outcome
    }

    fn apply_parts(
        &mut self,
        offset: LogOffset,
        record: &ChangeRecord,
    ) -> Result<(), ChangeConflict> {
        let mut saved = Vec::new();
        // Later parts may build on earlier ones, which advance the object's revision: only the first part per object
        // compares revisions.
        let mut touched = BTreeSet::new();
        for part in &record.parts {
            let object = part.change.object();
            let check = if touched.contains(&object) {
                Ok(())
            } else {
                self.check_revision(&object, part.based_on)
            };
            let undo_entry = (
                object.clone(),
                self.save(&object),
                self.removed.get(&object.to_string()).copied(),
            );
            if let Err(conflict) = check.and_then(|()| self.apply_change(offset, &part.change)) {
                self.restore(saved);
                return Err(conflict);
            }
            saved.push(undo_entry);
            touched.insert(object);
        }
        Ok(())
    }

    fn check_revision(
        &self,
        object: &ObjectRef,
        based_on: LogOffset,
    ) -> Result<(), ChangeConflict> {
        let current = self.revision(object);
        if current == based_on {
            return Ok(());
        }
        let mut latest = self.audit.iter().rev();
        let winner = latest.find(|entry| entry.offset == current).map_or_else(
            || "an earlier change".to_owned(),
            |entry| format!("{} (`{}`)", entry.operator, entry.text),
        );
        Err(ChangeConflict::Outdated {
            object: object.clone(),
            based_on,
            current,
            winner,
        })
    }

    fn apply_change(
        &mut self,
        offset: LogOffset,
        change: &ConfigChange,
    ) -> Result<(), ChangeConflict> {
        match change {
            ConfigChange::CreateAdapter { adapter } => self.create_adapter(offset, adapter),
            ConfigChange::PublishVersion { adapter, version } => {
                self.publish(offset, adapter, version)
            }
            ConfigChange::MakeCurrent { adapter, version } => {
                self.make_current(offset, adapter, version)
            }
            ConfigChange::RetireVersion { adapter, version } => {
                self.retire(offset, adapter, version)
            }
            ConfigChange::RetireAdapter { adapter } => {
                self.edit_adapter(offset, adapter, |config| {
                    config.current = None;
                    for version in &mut config.versions {
                        version.status = VersionStatus::Retired;
                    }
                    Ok(())
                })
            }
            ConfigChange::MarkAdapter { adapter, rule } => {
                self.edit_adapter(offset, adapter, |config| {
                    config.repeatability = *rule;
                    Ok(())
                })
            }
            ConfigChange::KeepReady { adapter, ready } => {
                self.edit_adapter(offset, adapter, |config| {
                    config.load_policy = *ready;
                    Ok(())
                })
            }
            ConfigChange::MarkService {
                service,
                method,
                path,
                rule,
            } => {
                self.service_rules.retain(|old| {
                    !(old.service == *service && old.method == *method && old.path == *path)
                });
                if *rule == RequestRepeatability::Repeatable {
                    self.removed.insert(change.object().to_string(), offset);
                    return Ok(());
                }
                self.service_rules.push(ServiceRule {
                    revision: offset,
                    service: service.clone(),
                    method: method.clone(),
                    path: path.clone(),
                    rule: *rule,
                });
                Ok(())
            }
            ConfigChange::CreateCaller { caller, token_hash } => {
                let quota = self
                    .callers
                    .get(caller)
                    .map_or_else(CallerQuota::default, |old| old.quota);
                let config = CallerConfig {
                    revision: offset,
                    token_hash: token_hash.clone(),
                    quota,
                };
                self.callers.insert(caller.clone(), config);
                Ok(())
            }
            ConfigChange::SetQuota { caller, quota } => match self.callers.get_mut(caller) {
                None => Err(ChangeConflict::Missing {
                    object: change.object(),
                }),
                Some(config) => {
                    config.quota = *quota;
                    config.revision = offset;
                    Ok(())
                }
            },
            ConfigChange::Allow {
                caller,
                pattern,
                priority,
            } => {
                if !self.callers.contains_key(caller) {
                    return Err(ChangeConflict::Missing {
                        object: ObjectRef::Caller(caller.clone()),
                    });
                }
                let rights = self.rights.entry(caller.clone()).or_default();
                rights.retain(|right| right.pattern != *pattern);
                rights.push(RightConfig {
                    revision: offset,
                    caller: caller.clone(),
                    pattern: pattern.clone(),
                    priority: *priority,
                });
                rights.sort_by_key(|right| std::cmp::Reverse(right.pattern.specificity()));
                Ok(())
            }
            ConfigChange::Revoke { caller, pattern } => {
                if self.find_right(caller, pattern).is_none() {
                    return Err(ChangeConflict::Missing {
                        object: change.object(),
                    });
                }
                if let Some(rights) = self.rights.get_mut(caller) {
                    rights.retain(|right| right.pattern != *pattern);
                }
                self.removed.insert(change.object().to_string(), offset);
                Ok(())
            }
            ConfigChange::CreateTarget {
                target,
                zone,
                address,
                role,
                checks_fencing,
            } => {
                if self.targets.contains_key(target) {
                    return Err(ChangeConflict::Exists {
                        object: change.object(),
                    });
                }
                let config = TargetConfig {
                    revision: offset,
                    zone: zone.clone(),
                    address: address.clone(),
                    role: role.clone(),
                    checks_fencing: *checks_fencing,
                    draining: false,
                };
                self.targets.insert(target.clone(), config);
                Ok(())
            }
            ConfigChange::RemoveTarget { target } => {
                if self.targets.remove(target).is_none() {
                    return Err(ChangeConflict::Missing {
                        object: change.object(),
                    });
                }
                self.removed.insert(change.object().to_string(), offset);
                Ok(())
            }
            ConfigChange::SetDraining { target, draining } => match self.targets.get_mut(target) {
                None => Err(ChangeConflict::Missing {
                    object: change.object(),
                }),
                Some(config) => {
                    config.draining = *draining;
                    config.revision = offset;
                    Ok(())
                }
            },
            ConfigChange::SetWeight { weight, value } => {
                if !PolicyWeights::default().set(weight, *value) {
                    return Err(ChangeConflict::Weight {
                        weight: weight.clone(),
                        value: *value,
                    });
                }
                self.weights.insert(weight.clone(), (*value, offset));
                Ok(())
            }
            ConfigChange::CreateOperator {
                operator,
                token_hash,
                role,
            } => {
                let config = OperatorConfig {
                    revision: offset,
                    token_hash: token_hash.clone(),
                    role: *role,
                };
                self.operators.insert(operator.clone(), config);
                Ok(())
            }
        }
    }

    fn create_adapter(
        &mut self,
        offset: LogOffset,
        adapter: &AdapterName,
    ) -> Result<(), ChangeConflict> {
        if self.adapters.contains_key(adapter) {
            return Err(ChangeConflict::Exists {
                object: ObjectRef::Adapter(adapter.clone()),
            });
        }
        let config = AdapterConfig {
            revision: offset,
            ..AdapterConfig::default()
        };
        self.adapters.insert(adapter.clone(), config);
        Ok(())
    }

    fn publish(
        &mut self,
        offset: LogOffset,
        adapter: &AdapterName,
        version: &VersionName,
    ) -> Result<(), ChangeConflict> {
        self.edit_adapter(offset, adapter, |config| {
            if config.version(version.as_str()).is_some() {
                return Err(ChangeConflict::VersionExists {
                    adapter: adapter.clone(),
                    version: version.clone(),
                });
            }
            config.versions.push(VersionConfig {
                name: version.clone(),
                status: VersionStatus::Published,
            });
            config.current.get_or_insert_with(|| version.clone());
            Ok(())
        })
    }

    fn make_current(
        &mut self,
        offset: LogOffset,
        adapter: &AdapterName,
        version: &VersionName,
    ) -> Result<(), ChangeConflict> {
        self.edit_adapter(offset, adapter, |config| {
            match config.version(version.as_str()) {
                None => Err(ChangeConflict::VersionMissing {
                    adapter: adapter.clone(),
                    version: version.clone(),
                }),
                Some(found) if found.status == VersionStatus::Retired => {
                    Err(ChangeConflict::VersionRetired {
                        adapter: adapter.clone(),
                        version: version.clone(),
                    })
                }
                Some(_) => {
                    config.current = Some(version.clone());
                    Ok(())
                }
            }
        })
    }

    fn retire(
        &mut self,
        offset: LogOffset,
        adapter: &AdapterName,
        version: &VersionName,
    ) -> Result<(), ChangeConflict> {
        self.edit_adapter(offset, adapter, |config| {
            if config.current.as_ref() == Some(version) {
                return Err(ChangeConflict::VersionCurrent {
                    adapter: adapter.clone(),
                    version: version.clone(),
                });
            }
            let mut versions = config.versions.iter_mut();
            match versions.find(|published| published.name == *version) {
                None => Err(ChangeConflict::VersionMissing {
                    adapter: adapter.clone(),
                    version: version.clone(),
                }),
                Some(found) => {
                    found.status = VersionStatus::Retired;
                    Ok(())
                }
            }
        })
    }

    fn edit_adapter(
        &mut self,
        offset: LogOffset,
        adapter: &AdapterName,
        edit: impl FnOnce(&mut AdapterConfig) -> Result<(), ChangeConflict>,
    ) -> Result<(), ChangeConflict> {
        let Some(config) = self.adapters.get_mut(adapter) else {
            return Err(ChangeConflict::Missing {
                object: ObjectRef::Adapter(adapter.clone()),
            });
        };
        edit(config)?;
        config.revision = offset;
        Ok(())
    }

    fn save(&self, object: &ObjectRef) -> SavedObject {
        match object {
            ObjectRef::Adapter(name) => SavedObject::Adapter(self.adapters.get(name).cloned()),
            ObjectRef::Caller(name) => SavedObject::Caller(self.callers.get(name).cloned()),
            ObjectRef::Right(caller, pattern) => {
                SavedObject::Right(self.find_right(caller, pattern).cloned())
            }
            ObjectRef::ServiceRule(service, method, path) => {
                SavedObject::Rule(self.find_rule(service.as_str(), method, path).cloned())
            }
            ObjectRef::Target(name) => SavedObject::Target(self.targets.get(name).cloned()),
            ObjectRef::Weight(name) => SavedObject::Weight(self.weights.get(name).copied()),
            ObjectRef::Operator(name) => SavedObject::Operator(self.operators.get(name).cloned()),
        }
    }

    fn restore(&mut self, saved: Vec<(ObjectRef, SavedObject, Option<LogOffset>)>) {
        for (object, old, removed) in saved.into_iter().rev() {
            restore_entry(&mut self.removed, object.to_string(), removed);
            match (object, old) {
                (ObjectRef::Adapter(name), SavedObject::Adapter(old)) => {
                    restore_entry(&mut self.adapters, name, old)
                }
                (ObjectRef::Caller(name), SavedObject::Caller(old)) => {
                    restore_entry(&mut self.callers, name, old)
                }
                (ObjectRef::Target(name), SavedObject::Target(old)) => {
                    restore_entry(&mut self.targets, name, old)
                }
                (ObjectRef::Weight(name), SavedObject::Weight(old)) => {
                    restore_entry(&mut self.weights, name, old)
                }
                (ObjectRef::Operator(name), SavedObject::Operator(old)) => {
                    restore_entry(&mut self.operators, name, old)
                }
                (ObjectRef::Right(caller, pattern), SavedObject::Right(old)) => {
                    let rights = self.rights.entry(caller).or_default();
                    rights.retain(|right| right.pattern != pattern);
                    rights.extend(old);
                    rights.sort_by_key(|right| std::cmp::Reverse(right.pattern.specificity()));
                }
                (ObjectRef::ServiceRule(service, method, path), SavedObject::Rule(old)) => {
                    self.service_rules.retain(|rule| {
                        !(rule.service == service && rule.method == method && rule.path == path)
                    });
                    self.service_rules.extend(old);
                }
                _ => unreachable!("the saved copy has the kind of its object"),
            }
        }
    }

    fn remember(&mut self, record: &ChangeRecord, outcome: &ChangeOutcome) {
        self.remembered.push_back(RememberedChange {
            id: record.id.clone(),
            outcome: outcome.clone(),
        });
        if self.remembered.len() > MAX_REMEMBERED_CHANGES {
            self.remembered.pop_front();
        }
    }

    fn record_audit(
        &mut self,
        offset: LogOffset,
        record: &ChangeRecord,
        before: String,
        outcome: &ChangeOutcome,
    ) {
        let outcome = match outcome {
            ChangeOutcome::Accepted(_) => AuditOutcome::Accepted,
            ChangeOutcome::Refused(_, conflict) => AuditOutcome::Refused(conflict.clone()),
        };
        let after = self.describe_objects(record);
        self.audit.push_back(AuditEntry {
            offset,
            id: record.id.clone(),
            operator: record.operator.clone(),
            via: record.via.clone(),
            at_ms: record.at_ms,
            text: shorten(&record.text),
            objects: record
                .parts
                .iter()
                .map(|part| part.change.object().to_string())
                .take(MAX_AUDITED_OBJECTS)
                .collect(),
            before,
            after,
            outcome,
        });
        if self.audit.len() > MAX_AUDIT_ENTRIES {
            self.audit.pop_front();
        }
    }

    fn describe_objects(&self, record: &ChangeRecord) -> String {
        let mut texts: Vec<String> = Vec::new();
        let mut seen = BTreeSet::new();
        for part in record.parts.iter().take(MAX_AUDITED_OBJECTS) {
            let object = part.change.object();
            if seen.insert(object.clone()) {
                texts.push(self.describe(&object));
            }
        }
        texts.join(" ")
    }

    fn describe(&self, object: &ObjectRef) -> String {
        match self.save(object) {
            SavedObject::Adapter(old) => to_text(old.as_ref()),
            SavedObject::Caller(old) => to_text(old.as_ref()),
            SavedObject::Right(old) => to_text(old.as_ref()),
            SavedObject::Rule(old) => to_text(old.as_ref()),
            SavedObject::Target(old) => to_text(old.as_ref()),
            SavedObject::Weight(old) => to_text(old.as_ref()),
            SavedObject::Operator(old) => to_text(old.as_ref()),
        }
    }
}

/// Objects that one entry of the audit trail describes; for a bulk change, its first ones.
const MAX_AUDITED_OBJECTS: usize = 4;
/// Characters of a command that one entry of the audit trail holds.
const MAX_AUDITED_CHARS: usize = 400;

fn shorten(text: &str) -> String {
    match text.char_indices().nth(MAX_AUDITED_CHARS) {
        None => text.to_owned(),
        Some((end, _)) => format!("{}...", &text[..end]),
    }
}

fn restore_entry<K: Ord, V>(map: &mut std::collections::BTreeMap<K, V>, key: K, old: Option<V>) {
    match old {
        Some(value) => {
            map.insert(key, value);
        }
        None => {
            map.remove(&key);
        }
    }
}

fn to_text<T: Serialize>(object: Option<&T>) -> String {
    match object {
        None => "-".to_owned(),
        Some(object) => serde_json::to_string(object).unwrap_or_default(),
    }
}
