//! The configuration after the changes applied so far, with the look-ups that serve requests: callers by token, models
//! by name, rights and rules.

use crate::{
    config::{
        AdapterConfig, AuditEntry, CallerConfig, ObjectRef, OperatorConfig, RequestRepeatability,
        RightConfig, RightPattern, ServiceRule, TargetConfig, VersionStatus,
    },
    ids::{
        AdapterName, AdapterVersion, CallerName, ChangeId, LogOffset, OperatorName, PriorityClass,
        TargetName, TokenHash,
    },
    policy::PolicyWeights,
};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Change ids kept for the detection of duplicate records.
pub(super) const MAX_REMEMBERED_CHANGES: usize = 4096;
/// Entries of the audit trail in the state; older ones are only in the daemons' log files.
pub(super) const MAX_AUDIT_ENTRIES: usize = 2000;

/// The configuration, as every daemon holds it and as snapshots store it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ConfigState {
    /// Adapters by name.
    pub adapters: BTreeMap<AdapterName, AdapterConfig>,
    /// Callers by name.
    pub callers: BTreeMap<CallerName, CallerConfig>,
    /// Rights by caller, most specific first.
    pub rights: BTreeMap<CallerName, Vec<RightConfig>>,
    /// Rules for calls of plain services.
    pub service_rules: Vec<ServiceRule>,
    /// Targets by name.
    pub targets: BTreeMap<TargetName, TargetConfig>,
    /// Operators by name.
    pub operators: BTreeMap<OperatorName, OperatorConfig>,
    /// Weights of the scheduling policy that were set, with their revisions.
    pub weights: BTreeMap<String, (f64, LogOffset)>,
    /// Latest changes, oldest first, so that duplicate records have no effect.
    pub(super) remembered: VecDeque<RememberedChange>,
    /// Latest entries of the audit trail, oldest first.
    pub audit: VecDeque<AuditEntry>,
    /// Tombstones: offsets of removals by the object's text, so that a change based on the removed object is refused.
    pub(super) removed: BTreeMap<String, LogOffset>,
}

/// A change that was applied, with its outcome.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct RememberedChange {
    pub(super) id: ChangeId,
    pub(super) outcome: ChangeOutcome,
}

/// Outcome of applying a change record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeOutcome {
    /// The change took effect at this offset.
    Accepted(LogOffset),
    /// The change was refused at this offset.
    Refused(LogOffset, super::ChangeConflict),
}

/// The version and the rules that a model name resolves to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResolvedModel {
    /// Adapter and version.
    pub model: AdapterVersion,
    /// Whether requests to the adapter may be repeated.
    pub repeatability: RequestRepeatability,
    /// Highest priority that the caller may request.
    pub priority: PriorityClass,
}

/// Why a model name can't be resolved. The messages are sent to callers.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ResolveError {
    /// The adapter does not exist.
    #[error("adapter `{0}` does not exist: `GET /v1/models` lists those you may call")]
    UnknownAdapter(String),
    /// The version is not published.
    #[error(
        "version `{1}` of adapter `{0}` is not published: leave the version out for the current one"
    )]
    UnknownVersion(String, String),
    /// The version is retired.
    #[error("version `{1}` of adapter `{0}` is retired: leave the version out for the current one")]
    RetiredVersion(String, String),
    /// The adapter has no current version.
    #[error("adapter `{0}` has no current version: ask an operator to publish one")]
    NoCurrentVersion(String),
    /// The caller has no right to the adapter.
    #[error("caller `{0}` has no right to `{1}`: ask an operator for `allow {0} on ...`")]
    NoRight(String, String),
}

impl ConfigState {
    /// Finds the caller by the hash of its bearer token.
    #[must_use]
    pub fn caller_by_token(&self, hash: &TokenHash) -> Option<&CallerName> {
        let mut callers = self.callers.iter();
        callers
            .find(|(_, caller)| caller.token_hash == *hash)
            .map(|(name, _)| name)
    }

    /// Finds the operator by the hash of its bearer token.
    #[must_use]
    pub fn operator_by_token(&self, hash: &TokenHash) -> Option<(&OperatorName, &OperatorConfig)> {
        self.operators
            .iter()
            .find(|(_, operator)| operator.token_hash == *hash)
    }

    /// Resolves a caller's model name, `ADAPTER` or `ADAPTER@VERSION`. A name without a version means the current one.
    ///
    /// # Errors
    /// Names what is missing, and the remedy.
    pub fn resolve(&self, caller: &str, model: &str) -> Result<ResolvedModel, ResolveError> {
        let (name, requested) = match model.split_once('@') {
            Some((name, version)) => (name, Some(version)),
            None => (model, None),
        };
        let Some((adapter, config)) = self.adapters.get_key_value(name) else {
            return Err(ResolveError::UnknownAdapter(name.to_owned()));
        };
        let Some(right) = self.right_to_adapter(caller, name) else {
            return Err(ResolveError::NoRight(caller.to_owned(), name.to_owned()));
        };
        let version = match requested {
            Some(requested) => config.version(requested).ok_or_else(|| {
                ResolveError::UnknownVersion(name.to_owned(), requested.to_owned())
            })?,
            None => config
                .current
                .as_ref()
                .and_then(|current| config.version(current.as_str()))
                .ok_or_else(|| ResolveError::NoCurrentVersion(name.to_owned()))?,
        };
        if version.status == VersionStatus::Retired {
            return Err(ResolveError::RetiredVersion(
                name.to_owned(),
                version.name.to_string(),
            ));
        }
        Ok(ResolvedModel {
            model: AdapterVersion {
                adapter: adapter.clone(),
                version: version.name.clone(),
            },
            repeatability: config.repeatability,
            priority: right.priority,
        })
    }

    /// The most specific right of a caller that covers an adapter.
    #[must_use]
    pub fn right_to_adapter(&self, caller: &str, adapter: &str) -> Option<&RightConfig> {
        let rights = self.rights.get(caller)?;
        rights.iter().find(|right| right.pattern.covers(adapter))
    }

    /// A caller's right to a plain service.
    #[must_use]
    pub fn right_to_service(&self, caller: &str, service: &str) -> Option<&RightConfig> {
        let rights = self.rights.get(caller)?;
        rights
            .iter()
            .find(|right| matches!(&right.pattern, RightPattern::Service(name) if name.as_str() == service))
    }

    /// Whether a call of a plain service may be repeated. The rule with the longest matching path decides, and with equal
    /// paths the one that names the method; calls without a rule are repeatable.
    #[must_use]
    pub fn service_rule(&self, service: &str, method: &str, path: &str) -> RequestRepeatability {
        let matching = self.service_rules.iter().filter(|rule| {
            rule.service.as_str() == service
                && (rule.method == "*" || rule.method == method)
                && path.starts_with(rule.path.as_str())
        });
        matching
            .max_by_key(|rule| (rule.path.len(), rule.method != "*"))
            .map_or(RequestRepeatability::Repeatable, |rule| rule.rule)
    }

    /// The weights of the scheduling policy: those that were set, and defaults.
    #[must_use]
    pub fn policy_weights(&self) -> PolicyWeights {
        let mut weights = PolicyWeights::default();
        for (name, (value, _)) in &self.weights {
            weights.set(name, *value);
        }
        weights
    }

    /// Offset of the last accepted change to an object, including its removal; zero if there was none.
    #[must_use]
    pub fn revision(&self, object: &ObjectRef) -> LogOffset {
        let current = match object {
            ObjectRef::Adapter(name) => self.adapters.get(name).map(|adapter| adapter.revision),
            ObjectRef::Caller(name) => self.callers.get(name).map(|caller| caller.revision),
            ObjectRef::Target(name) => self.targets.get(name).map(|target| target.revision),
            ObjectRef::Operator(name) => self.operators.get(name).map(|operator| operator.revision),
            ObjectRef::Weight(name) => self.weights.get(name).map(|(_, revision)| *revision),
            ObjectRef::ServiceRule(service, method, path) => self
                .find_rule(service.as_str(), method, path)
                .map(|rule| rule.revision),
            ObjectRef::Right(caller, pattern) => {
                self.find_right(caller, pattern).map(|right| right.revision)
            }
        };
        current
            .or_else(|| self.removed.get(&object.to_string()).copied())
            .unwrap_or_default()
    }

    /// Outcome of a change, if it is among the latest ones.
    #[must_use]
    pub fn outcome(&self, id: &ChangeId) -> Option<&ChangeOutcome> {
        let mut latest = self.remembered.iter().rev();
        latest
            .find(|change| change.id == *id)
            .map(|change| &change.outcome)
    }

    pub(super) fn find_rule(
        &self,
        service: &str,
        method: &str,
        path: &str,
    ) -> Option<&ServiceRule> {
        let mut rules = self.service_rules.iter();
        rules.find(|rule| {
            rule.service.as_str() == service && rule.method == method && rule.path == path
        })
    }

    pub(super) fn find_right(
        &self,
        caller: &CallerName,
        pattern: &RightPattern,
    ) -> Option<&RightConfig> {
        self.rights
            .get(caller)?
            .iter()
            .find(|right| right.pattern == *pattern)
    }
}
