//! Configuration of the fleet in decoded form: routes, services, engines and limits for callers.

use crate::{
    direct::organisations::OrganisationTable,
    ids::{AdapterName, ServiceName},
};
use std::{collections::HashMap, sync::Arc, time::Duration};

/// Whether a call may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPolicy {
    /// May run again after any failure.
    Idempotent,
    /// Runs at most once.
    AtMostOnce,
}

/// Form of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseShape {
    /// A body that is buffered completely before it is forwarded.
    Buffered,
    /// A stream of events that are forwarded as they arrive.
    EventStream {
        /// Whether a broken stream may be resumed at another target.
        resumable: bool,
    },
}

/// A route from a host and path prefix to services.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteRule {
    /// Name of the route, for logs.
    pub name: String,
    /// Host that it serves.
    pub host: String,
    /// Prefix of the paths that it serves, with a slash at both ends.
    pub path_prefix: String,
    /// Whether its calls may be retried.
    pub retry_policy: RetryPolicy,
    /// Form of its responses.
    pub response_shape: ResponseShape,
    /// Longest time that a call may take.
    pub timeout: Duration,
    /// Time within which a response has its full value.
    pub objective: Duration,
    /// Rank of its calls; 0 is the most urgent.
    pub priority: u8,
    /// Services with their weights; most routes have a single one.
    pub services: Vec<(ServiceName, u32)>,
    /// Largest number of targets that one call may be sent to.
    pub max_attempts: u32,
    /// Whether calls without a key are admitted.
    pub allows_anonymous: bool,
}

impl RouteRule {
    /// Whether callers may take up its broken streams.
    #[must_use]
    pub fn is_resumable(&self) -> bool {
        self.response_shape == ResponseShape::EventStream { resumable: true }
    }

    /// Service of a call, drawn by weight. `draw` must be equal for all copies of a call, so that a retry gets the same
    /// service.
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

/// Capacity of the engines of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineLimits {
    /// Calls that run concurrently.
    pub slots: u32,
    /// Capacity of the KV cache in tokens.
    pub kv_tokens: u64,
    /// Slots for adapters.
    pub adapter_slots: u32,
    /// Adapters of all base models.
    pub adapters: u64,
    /// Loads of whole models per second that the weight store allows.
    pub loads_per_s: f64,
    /// Base models; an empty engine loads the first one.
    pub models: Vec<AdapterName>,
}

/// A service with one or more targets.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceRule {
    /// Name of the service.
    pub name: ServiceName,
    /// Connections that one target accepts from all VMs together.
    pub max_connections: u32,
    /// Path of its targets' health check; `None` if they have none.
    pub health_path: Option<String>,
    /// Capacity of its engines; `None` for a plain service.
    pub engine: Option<EngineLimits>,
}

/// Quarters of a target's connections that may be idle; the rest is reserved for calls in flight.
const IDLE_QUARTERS: usize = 3;

impl ServiceRule {
    /// Idle connections that each of `vms` VMs may keep to a target. A target resets connections beyond its maximum, and a
    /// call that was sent over such a connection may have run, as far as its VM can tell. One idle connection in each of
    /// 100 VMs can already leave none for calls, so the result may be 0.
    #[must_use]
    pub fn max_idle_connections(&self, vms: usize) -> usize {
        self.max_connections as usize / 4 * IDLE_QUARTERS / vms.max(1)
    }
}

/// Limits for the requests of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest size of a request's headers, in bytes.
    pub max_header_bytes: usize,
    /// Largest size of a request's body, in bytes.
    pub max_body_bytes: usize,
    /// Time within which the headers must arrive.
    pub header_timeout: Duration,
    /// Time that a connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// Limits until the first configuration is known.
    fn default() -> Self {
        Self {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 4 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// A version of the fleet's configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetConfig {
    /// Version number, for logs.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Arc<RouteRule>>,
    /// Services by name.
    pub services: HashMap<ServiceName, ServiceRule>,
    /// Limits for the requests of callers.
    pub limits: CallerLimits,
    /// Organisations that callers act for; `None` if calls need no key.
    pub organisations: Option<OrganisationTable>,
}
