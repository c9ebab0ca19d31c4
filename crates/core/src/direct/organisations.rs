//! Organisations that callers act for, identified by API keys.
//!
//! If the configuration names organisations, each call needs one of their keys, unless its route allows anonymous
//! calls and the call has none at all. The key determines the organisation, and thereby the rank of the call and the quota that is charged. Keys are
//! secrets, so no type in this module prints one.

use crate::{
    direct::{config::RouteRule, quotas::QuotaRule},
    ids::OrganisationName,
};
use std::{
    collections::{HashMap, HashSet},
    fmt,
    sync::Arc,
};

/// Secret by which a caller authenticates for an organisation.
#[derive(Clone, PartialEq, Eq, Hash)]
pub struct ApiKey(Arc<str>);

impl ApiKey {
    /// Wraps a key.
    #[must_use]
    pub fn new(key: &str) -> Self {
        Self(Arc::from(key))
    }
}

impl fmt::Debug for ApiKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ApiKey(..)")
    }
}

/// An organisation as operators configure it.
#[derive(Clone, Debug, PartialEq)]
pub struct Organisation {
    /// Name of the organisation.
    pub name: OrganisationName,
    /// Rank of its calls, which replaces the rank of their route; 0 is the most urgent.
    pub rank: u8,
    /// Its quota; `None` for no limit.
    pub quota: Option<QuotaRule>,
}

/// Reason why a list of organisations is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OrganisationError {
    /// Two organisations have the same name.
    #[error("organisation {0} is named twice: give each organisation a unique name")]
    SameName(OrganisationName),
    /// Two organisations have the same key.
    #[error("organisations {0} and {1} have the same key: give each organisation its own keys")]
    SharedKey(OrganisationName, OrganisationName),
    /// A key is empty.
    #[error("organisation {0} has an empty key: remove the key")]
    EmptyKey(OrganisationName),
}

/// Organisations by name and by key.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OrganisationTable {
    by_name: HashMap<OrganisationName, Arc<Organisation>>,
    by_key: HashMap<ApiKey, Arc<Organisation>>,
}

impl OrganisationTable {
    /// Builds the table from organisations and their keys.
    ///
    /// # Errors
    /// Names the organisations that are in conflict or have an empty key; never contains a key.
    pub fn new(
        organisations: impl IntoIterator<Item = (Organisation, Vec<String>)>,
    ) -> Result<Self, OrganisationError> {
        let mut table = Self::default();
        for (organisation, keys) in organisations {
            table.add(&Arc::new(organisation), &keys)?;
        }
        Ok(table)
    }

    fn add(
        &mut self,
        organisation: &Arc<Organisation>,
        keys: &[String],
    ) -> Result<(), OrganisationError> {
        let name = &organisation.name;
        if self.by_name.contains_key(name) {
            return Err(OrganisationError::SameName(name.clone()));
        }
        self.by_name.insert(name.clone(), Arc::clone(organisation));
        for key in keys {
            if key.is_empty() {
                return Err(OrganisationError::EmptyKey(name.clone()));
            }
            let previous = self
                .by_key
                .insert(ApiKey::new(key), Arc::clone(organisation));
            if let Some(previous) = previous.filter(|previous| previous.name != *name) {
                return Err(OrganisationError::SharedKey(
                    previous.name.clone(),
                    name.clone(),
                ));
            }
        }
        Ok(())
    }

    /// Revokes the keys that a newer configuration does not name for the same organisation. Returns their number.
    pub fn revoke_missing(&mut self, list: &KeyList) -> usize {
        let known = self.by_key.len();
        self.by_key
            .retain(|key, organisation| list.names(key, &organisation.name));
        known - self.by_key.len()
    }

    /// Organisations that have a quota, with the quota.
    pub fn quotas(&self) -> impl Iterator<Item = (&OrganisationName, &QuotaRule)> {
        let organisations = self.by_name.iter();
        organisations.filter_map(|(name, organisation)| Some((name, organisation.quota.as_ref()?)))
    }

    /// Organisation of this name.
    #[must_use]
    pub fn get(&self, name: &OrganisationName) -> Option<&Arc<Organisation>> {
        self.by_name.get(name)
    }

    /// Organisation that owns a key.
    #[must_use]
    pub fn find_by_key(&self, key: &ApiKey) -> Option<&Arc<Organisation>> {
        self.by_key.get(key)
    }
}

/// Keys that a configuration names, with their organisations. It is known even if another part of the configuration can't
/// be used.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KeyList {
    owners: HashMap<ApiKey, HashSet<OrganisationName>>,
}

impl KeyList {
    /// Builds the list from the names of organisations and their keys.
    #[must_use]
    pub fn new(organisations: impl IntoIterator<Item = (OrganisationName, Vec<String>)>) -> Self {
        let mut list = Self::default();
        for (name, keys) in organisations {
            for key in &keys {
                let owners = list.owners.entry(ApiKey::new(key)).or_default();
                owners.insert(name.clone());
            }
        }
        list
    }

    fn names(&self, key: &ApiKey, organisation: &OrganisationName) -> bool {
        let owners = self.owners.get(key);
        owners.is_some_and(|owners| owners.contains(organisation))
    }
}

/// API key in the headers of a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum PresentedKey {
    /// There is none.
    #[default]
    Absent,
    /// The header is not a key: it has another scheme or more than one value.
    Malformed,
    /// A well-formed key.
    Key(ApiKey),
}

/// Reason why a call is rejected for its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum KeyError {
    /// The call has no key.
    Absent,
    /// The header is not a key.
    Malformed,
    /// No organisation owns the key.
    Unknown,
}

/// Organisation that a call is made for.
#[derive(Clone, Debug, PartialEq)]
pub enum CallerIdentity {
    /// The configuration names no organisations, so calls need no key.
    Unkeyed,
    /// The route allows anonymous calls, and the call has no key.
    Anonymous,
    /// The call has a key of this organisation.
    Organisation(Arc<Organisation>),
}

impl CallerIdentity {
    /// Determines the organisation of a call on a route. A key has to be valid on every route, so that a revoked one can't be
    /// used where a call without a key could be made.
    ///
    /// # Errors
    /// If the call has a key that is not valid, or none although its route does not allow anonymous calls.
    pub fn of(
        table: Option<&OrganisationTable>,
        route: &RouteRule,
        given: &PresentedKey,
    ) -> Result<Self, KeyError> {
        let Some(table) = table else {
            return Ok(Self::Unkeyed);
        };
        let owner = match given {
            PresentedKey::Absent if route.allows_anonymous => return Ok(Self::Anonymous),
            PresentedKey::Absent => return Err(KeyError::Absent),
            PresentedKey::Malformed => return Err(KeyError::Malformed),
            PresentedKey::Key(key) => table.find_by_key(key),
        };
        let owner = owner.ok_or(KeyError::Unknown)?;
        Ok(Self::Organisation(Arc::clone(owner)))
    }

    /// The organisation, if the call has one.
    #[must_use]
    pub fn organisation(&self) -> Option<&Organisation> {
        match self {
            Self::Organisation(organisation) => Some(organisation),
            Self::Unkeyed | Self::Anonymous => None,
        }
    }

    /// Rank of a call on a route; 0 is the most urgent.
    #[must_use]
    pub fn rank(&self, route: &RouteRule) -> u8 {
        self.organisation()
            .map_or(route.priority, |organisation| organisation.rank)
    }
}
