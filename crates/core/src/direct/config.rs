//! The fleet's configuration, as the product sees it.

use crate::{
    direct::organisations::OrganisationTable,
    ids::{AdapterName, ServiceName},
};
use std::{collections::HashMap, sync::Arc, time::Duration};

/// Whether a call may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPolicy {
    /// It may run again after any failure.
    Idempotent,
    /// It runs at most once.
    AtMostOnce,
}

/// The shape of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseShape {
    /// One body, taken whole before it is passed on.
    Buffered,
    /// A series of events, passed on as they come.
    EventStream {
        /// Whether a broken stream may go on at another target.
        resumable: bool,
    },
}

/// One route.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteRule {
    /// Its name, for logs.
    pub name: String,
    /// Host that it serves.
    pub host: String,
    /// Start of the paths that it serves, with a slash at both ends.
    pub path_prefix: String,
    /// Whether its calls may be repeated.
    pub retry_policy: RetryPolicy,
    /// The shape of its answers.
    pub response_shape: ResponseShape,
    /// Longest time that a call may be held.
    pub timeout: Duration,
    /// Time within which an answer is worth its full value.
    pub objective: Duration,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Services and their weights; one of them for most routes.
    pub services: Vec<(ServiceName, u32)>,
    /// Most targets that one call may be sent to.
    pub max_attempts: u32,
    /// Whether its calls need no key.
    pub allows_anonymous: bool,
}

impl RouteRule {
    /// The service that a call goes to; `draw` is the same for every copy of the call.
    #[must_use]
    pub fn service(&self, draw: u64) -> Option<&ServiceName> {
        let total: u64 = self
            .services
            .iter()
            .map(|(_, weight)| u64::from(*weight))
            .sum();
        let mut left = draw.checked_rem(total)?;
        self.services.iter().find_map(|(service, weight)| {
            let weight = u64::from(*weight);
            if left < weight {
                return Some(service);
            }
            left -= weight;
            None
        })
    }
}

/// What the engines of a service can hold.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineLimits {
    /// Calls that run at once.
    pub slots: u32,
    /// Tokens of memory.
    pub kv_tokens: u64,
    /// Places for adapters.
    pub adapter_slots: u32,
    /// Loads of whole models that the weight store allows a second.
    pub loads_per_s: f64,
    /// Base models; the first fills an empty engine.
    pub models: Vec<AdapterName>,
}

/// A service behind one or more targets.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceRule {
    /// Its name.
    pub name: ServiceName,
    /// Connections that one target accepts from all VMs together.
    pub max_connections: u32,
    /// Set for model engines.
    pub engine: Option<EngineLimits>,
}

/// Quarters of a target's connections that idle ones may take; the rest is left for calls under way.
const IDLE_QUARTERS: usize = 3;

impl ServiceRule {
    /// Idle connections that one VM of so many may keep to a target. A target resets connections beyond what it accepts, and a call
    /// that went out over one of them may have run as far as its VM can tell. 100 VMs that keep one each leave none.
    #[must_use]
    pub fn max_idle_connections(&self, vms: usize) -> usize {
        self.max_connections as usize / 4 * IDLE_QUARTERS / vms.max(1)
    }
}

/// What callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Bytes of a request's head.
    pub max_header_bytes: usize,
    /// Bytes of a request's body.
    pub max_body_bytes: usize,
    /// Time to send a head.
    pub header_timeout: Duration,
    /// Time that a connection may rest.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// What holds until the first configuration is known.
    fn default() -> Self {
        Self {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 4 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// One version of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetConfig {
    /// Its version, for logs.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Arc<RouteRule>>,
    /// The services by name.
    pub services: HashMap<ServiceName, ServiceRule>,
    /// What callers may send.
    pub limits: CallerLimits,
    /// The organisations that callers act for; none where calls need no key.
    pub organisations: Option<OrganisationTable>,
}
