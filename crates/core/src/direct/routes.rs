//! Finds the route of a request by host and path; the longest matching prefix wins.

use crate::direct::config::{FleetConfig, RouteRule};
use std::{collections::HashMap, sync::Arc};

/// Routes by host, the longest prefix first.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    hosts: HashMap<String, Vec<Arc<RouteRule>>>,
}

impl RouteTable {
    /// Builds the table for a configuration.
    #[must_use]
    pub fn new(config: &FleetConfig) -> Self {
        let mut hosts: HashMap<String, Vec<Arc<RouteRule>>> = HashMap::new();
        for route in &config.routes {
            let host = route.host.to_ascii_lowercase();
            hosts.entry(host).or_default().push(Arc::clone(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        Self { hosts }
    }

    /// Route of a request; a port in `host` is ignored.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<RouteRule>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = self
            .hosts
            .get(name)
            .or_else(|| self.hosts.get(&name.to_ascii_lowercase()))?;
        routes
            .iter()
            .find(|route| path.starts_with(&route.path_prefix))
    }
}
