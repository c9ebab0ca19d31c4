//! Organisations: for whom a caller acts, by the key that it gives.
//!
//! Where a configuration names organisations, every call on a route that is not open needs one of their keys. The key decides the
//! organisation, and with it the rank of the call and the quota that it is charged to. Keys are secrets: none of the types here
//! shows one.

use crate::{
    direct::{config::RouteRule, quotas::QuotaRule},
    ids::OrganisationName,
};
use std::{collections::HashMap, fmt, sync::Arc};

/// A secret by which callers say for whom they act.
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

/// An organisation as operators declare it.
#[derive(Clone, Debug, PartialEq)]
pub struct Organisation {
    /// Its name.
    pub name: OrganisationName,
    /// Rank of its calls, in place of their route's; 0 is the most urgent.
    pub rank: u8,
    /// What it may ask for; none for no limit.
    pub quota: Option<QuotaRule>,
}

/// Why a list of organisations can't be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OrganisationError {
    /// Two organisations have one name.
    #[error("organisation {0} is named twice: give each a name of its own")]
    SameName(OrganisationName),
    /// Two organisations have one key.
    #[error("organisations {0} and {1} have the same key: give each keys of its own")]
    SharedKey(OrganisationName, OrganisationName),
    /// A key is empty.
    #[error("organisation {0} has an empty key: take it out")]
    EmptyKey(OrganisationName),
}

/// Organisations by name and by key.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OrganisationTable {
    by_name: HashMap<OrganisationName, Arc<Organisation>>,
    by_key: HashMap<ApiKey, Arc<Organisation>>,
}

impl OrganisationTable {
    /// Builds the table of organisations and their keys.
    ///
    /// # Errors
    /// Names the organisations that are at fault, and no key.
    pub fn new(
        listed: impl IntoIterator<Item = (Organisation, Vec<String>)>,
    ) -> Result<Self, OrganisationError> {
        let mut table = Self::default();
        for (organisation, keys) in listed {
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
            let known = self
                .by_key
                .insert(ApiKey::new(key), Arc::clone(organisation));
            if let Some(known) = known.filter(|known| known.name != *name) {
                return Err(OrganisationError::SharedKey(
                    known.name.clone(),
                    name.clone(),
                ));
            }
        }
        Ok(())
    }

    /// The quotas of the organisations that have one.
    pub fn quotas(&self) -> impl Iterator<Item = (&OrganisationName, &QuotaRule)> {
        let limited = self.by_name.iter();
        limited.filter_map(|(name, organisation)| Some((name, organisation.quota.as_ref()?)))
    }

    /// An organisation by its name.
    #[must_use]
    pub fn get(&self, name: &OrganisationName) -> Option<&Arc<Organisation>> {
        self.by_name.get(name)
    }

    /// The organisation that has a key.
    #[must_use]
    pub fn find_by_key(&self, key: &ApiKey) -> Option<&Arc<Organisation>> {
        self.by_key.get(key)
    }
}

/// What a caller's head says of its key.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum PresentedKey {
    /// Nothing.
    #[default]
    Absent,
    /// Something that is no key: another scheme, or more than one value.
    Malformed,
    /// A key.
    Key(ApiKey),
}

/// Why a call is not let in for its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum KeyError {
    /// It gives none.
    Absent,
    /// What it gives is no key.
    Malformed,
    /// No organisation has the key.
    Unknown,
}

/// For whom a call is made.
#[derive(Clone, Debug, PartialEq)]
pub enum CallerIdentity {
    /// The configuration names no organisations.
    Unkeyed,
    /// The route is open, and the call has no key that is known.
    Anonymous,
    /// An organisation.
    Organisation(Arc<Organisation>),
}

impl CallerIdentity {
    /// Decides for whom a call on a route is made.
    ///
    /// # Errors
    /// When the route is not open, and the call has no key that is known.
    pub fn of(
        table: Option<&OrganisationTable>,
        route: &RouteRule,
        given: &PresentedKey,
    ) -> Result<Self, KeyError> {
        let Some(table) = table else {
            return Ok(Self::Unkeyed);
        };
        let holder = match given {
            PresentedKey::Absent => Err(KeyError::Absent),
            PresentedKey::Malformed => Err(KeyError::Malformed),
            PresentedKey::Key(key) => table.find_by_key(key).ok_or(KeyError::Unknown),
        };
        match holder {
            Ok(organisation) => Ok(Self::Organisation(Arc::clone(organisation))),
            Err(_) if route.allows_anonymous => Ok(Self::Anonymous),
            Err(fault) => Err(fault),
        }
    }

    /// The organisation, if there is one.
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
