//! The configuration as folded so far, and what requests ask of it.

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

/// Change ids that are remembered to recognise a second copy.
pub(super) const REMEMBERED_CHANGES: usize = 4096;
/// Lines of the audit trail that the state carries; older ones are in the daemons' logs.
pub(super) const AUDIT_ENTRIES: usize = 2000;

/// The configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ConfigState {
    /// Adapters by name.
    pub adapters: BTreeMap<AdapterName, AdapterConfig>,
    /// Callers by name.
    pub callers: BTreeMap<CallerName, CallerConfig>,
    /// Rights by caller, narrowest first.
    pub rights: BTreeMap<CallerName, Vec<RightConfig>>,
    /// Rules for calls of plain services.
    pub service_rules: Vec<ServiceRule>,
    /// Targets by name.
    pub targets: BTreeMap<TargetName, TargetConfig>,
    /// Operators by name.
    pub operators: BTreeMap<OperatorName, OperatorConfig>,
    /// Weights of the policy that differ from the default, with their revision.
    pub weights: BTreeMap<String, (f64, LogOffset)>,
    /// Latest changes, oldest first, so that a second copy has no second effect.
    pub(super) remembered: VecDeque<RememberedChange>,
    /// Latest lines of the audit trail, oldest first.
    pub audit: VecDeque<AuditEntry>,
    /// Revisions of objects that were removed, so that a late change to one is refused.
    pub(super) removed: BTreeMap<String, LogOffset>,
}

/// A change that was folded.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct RememberedChange {
    pub(super) id: ChangeId,
    pub(super) outcome: ChangeOutcome,
}

/// What the fold made of a change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeOutcome {
    /// It is in force since this offset.
    Accepted(LogOffset),
    /// It is refused at this offset.
    Refused(LogOffset, super::ChangeConflict),
}

/// What a model name means at this moment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResolvedModel {
    /// Adapter and version.
    pub model: AdapterVersion,
    /// Whether requests may be repeated.
    pub repeatability: RequestRepeatability,
    /// Highest priority that the caller has there.
    pub priority: PriorityClass,
}

/// Why a model name can't be served.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ResolveError {
    /// No such adapter.
    #[error("adapter `{0}` does not exist: `GET /v1/models` lists those you may call")]
    UnknownAdapter(String),
    /// No such version.
    #[error(
        "version `{1}` of adapter `{0}` is not published: leave the version out for the current one"
    )]
    UnknownVersion(String, String),
    /// The version was retired.
    #[error("version `{1}` of adapter `{0}` is retired: leave the version out for the current one")]
    RetiredVersion(String, String),
    /// The adapter has no current version.
    #[error("adapter `{0}` has no current version: ask an operator to publish one")]
    NoCurrentVersion(String),
    /// The caller has no right.
    #[error("caller `{0}` has no right to `{1}`: ask an operator for `allow {0} on ...`")]
    NoRight(String, String),
}

impl ConfigState {
    /// Finds the caller that a bearer token belongs to.
    #[must_use]
    pub fn caller_by_token(&self, hash: &TokenHash) -> Option<&CallerName> {
        let mut callers = self.callers.iter();
        callers
            .find(|(_, caller)| caller.token_hash == *hash)
            .map(|(name, _)| name)
    }

    /// Finds the operator that a bearer token belongs to.
    #[must_use]
    pub fn operator_by_token(&self, hash: &TokenHash) -> Option<(&OperatorName, &OperatorConfig)> {
        self.operators
            .iter()
            .find(|(_, operator)| operator.token_hash == *hash)
    }

    /// Finds out which adapter and version a caller's model name means.
    ///
    /// # Errors
    /// Names what is missing, and what to do about it.
    pub fn resolve(&self, caller: &str, model: &str) -> Result<ResolvedModel, ResolveError> {
        let (name, wanted) = match model.split_once('@') {
            Some((name, version)) => (name, Some(version)),
            None => (model, None),
        };
        let Some((adapter, config)) = self.adapters.get_key_value(name) else {
            return Err(ResolveError::UnknownAdapter(name.to_owned()));
        };
        let Some(right) = self.right_to_adapter(caller, name) else {
            return Err(ResolveError::NoRight(caller.to_owned(), name.to_owned()));
        };
        let version = match wanted {
            Some(wanted) => config
                .version(wanted)
                .ok_or_else(|| ResolveError::UnknownVersion(name.to_owned(), wanted.to_owned()))?,
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

    /// The narrowest right of a caller that covers an adapter.
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

    /// Whether a call of a plain service may be repeated; the longest matching path decides.
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

    /// The weights in force.
    #[must_use]
    pub fn policy_weights(&self) -> PolicyWeights {
        let mut weights = PolicyWeights::default();
        for (name, (value, _)) in &self.weights {
            weights.set(name, *value);
        }
        weights
    }

    /// Offset of the last accepted change to an object; zero if there was none.
    #[must_use]
    pub fn revision(&self, object: &ObjectRef) -> LogOffset {
        let present = match object {
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
        present
            .or_else(|| self.removed.get(&object.to_string()).copied())
            .unwrap_or_default()
    }

    /// Outcome of a change that was folded lately.
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
