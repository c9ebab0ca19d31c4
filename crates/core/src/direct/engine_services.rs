//! Which services have engines, and which of them a placement request is for.
//!
//! Two services may serve the same base model. A call must run at targets of its own service only, so a holder answers
//! a request from the plan of the service that the request names. Requests of builds that name none are assigned to a
//! service only if the configuration leaves no doubt.

use crate::{
    direct::{
        config::{EngineLimits, FleetConfig},
        planner::{PlacementRequest, split_subject},
    },
    ids::{AdapterName, ServiceName},
};
use std::collections::BTreeMap;

/// Services with engines of one configuration, in the order of their names.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineServices {
    limits: BTreeMap<ServiceName, EngineLimits>,
}

impl EngineServices {
    /// The services of a configuration that have engines.
    #[must_use]
    pub fn of(config: &FleetConfig) -> Self {
        let services = config.services.values();
        let limits = services.filter_map(|service| {
            let limits = service.engine.clone()?;
            Some((service.name.clone(), limits))
        });
        Self {
            limits: limits.collect(),
        }
    }

    /// Whether no service has engines.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.limits.is_empty()
    }

    /// Whether a service has engines.
    #[must_use]
    pub fn contains(&self, service: &ServiceName) -> bool {
        self.limits.contains_key(service)
    }

    /// The services with the capacity of their engines.
    pub fn iter(&self) -> impl Iterator<Item = (&ServiceName, &EngineLimits)> {
        self.limits.iter()
    }

    /// Service that a request is for; `None` if it names one without engines, or names none and more than one may be
    /// meant.
    #[must_use]
    pub fn service_of(&self, request: &PlacementRequest) -> Option<&ServiceName> {
        if !request.service.is_empty() {
            let (service, _) = self.limits.get_key_value(&request.service)?;
            return Some(service);
        }
        if self.limits.len() == 1 {
            return self.limits.keys().next();
        }
        let (model, _) = split_subject(&request.subject);
        let lists_model = |limits: &EngineLimits| {
            let mut models = limits.models.iter().map(AdapterName::as_str);
            models.any(|listed| listed == model)
        };
        let mut listing = self.iter().filter(|(_, limits)| lists_model(limits));
        let (service, _) = listing.next()?;
        listing.next().is_none().then_some(service)
    }
}
