//! The operators' endpoint that explains where a request would go now, without sending or charging anything.

use crate::{
    clock,
    direct::{
        call::{AnswerBody, full, own_answer},
        fleet::{ActiveConfig, FleetState, FleetTables},
        holder_client::HolderClient,
        settings::DirectSettings,
        target_connections::ConnectionPool,
    },
};
use bytes::Bytes;
use hoplanding_core::{
    direct::{
        call_explanation::{
            CallExplanation, ExplainedRequest, TargetObstacle, TargetOutlook, ZoneOutlook,
            explain_call,
        },
        catalog::{TargetEntry, TargetStage},
        config::RouteRule,
        millis,
        plain::placement_zones,
        search::ordered_zones,
    },
    ids::{AdapterName, AvailabilityZone, Instant, ServiceName, VmName},
};
use http::{Response, StatusCode, Uri, header::CONTENT_TYPE};
use reqwest::Url;
use std::sync::Arc;

/// Path of the endpoint.
pub const EXPLAIN_PATH: &str = "/explain";

/// The request that an operator asks about.
#[derive(Debug, Default)]
struct ExplainQuery {
    host: String,
    path: String,
    model: String,
    tokens: u64,
}

impl ExplainQuery {
    /// Reads the query of a URI.
    ///
    /// # Errors
    /// What is wrong with it, and how it should look.
    fn parse(uri: &Uri) -> Result<Self, String> {
        let url = Url::parse(&format!("http://vm{uri}"));
        let url = url.map_err(|error| format!("the query can't be read: {error}"))?;
        let mut query = Self::default();
        for (name, value) in url.query_pairs() {
            match &*name {
                "host" => query.host = value.into_owned(),
                "path" => query.path = value.into_owned(),
                "model" => query.model = value.into_owned(),
                "tokens" => {
                    let tokens = value.parse();
                    query.tokens =
                        tokens.map_err(|_| format!("tokens {value:?} is no whole number"))?;
                }
                other => {
                    return Err(format!(
                        "unknown field {other:?}: use host, path, model and tokens"
                    ));
                }
            }
        }
        if query.host.is_empty() || !query.path.starts_with('/') {
            return Err("name host and path of the request, the path with its first slash".into());
        }
        Ok(query)
    }
}

/// Explains requests by the state of this VM.
#[derive(Clone)]
pub struct CallExplainer {
    /// State of the fleet.
    pub fleet: Arc<FleetState>,
    /// Contact with the holders.
    pub holder_client: Arc<HolderClient>,
    /// Connections to targets, which know the zones that can't be reached.
    pub pool: Arc<ConnectionPool>,
    /// Settings of this VM.
    pub settings: Arc<DirectSettings>,
}

impl CallExplainer {
    /// Answers an operator's question: the explanations as JSON, one for each service that the route may choose.
    ///
    /// # Panics
    /// Never: the content type is a valid header value.
    #[must_use]
    pub fn answer(&self, uri: &Uri) -> Response<AnswerBody> {
        let explained = ExplainQuery::parse(uri).map_err(|error| (StatusCode::BAD_REQUEST, error));
        let explained = explained.and_then(|query| self.explain(&query));
        let json = explained.and_then(|explanations| {
            serde_json::to_vec(&explanations)
                .map_err(|error| (StatusCode::INTERNAL_SERVER_ERROR, error.to_string()))
        });
        match json {
            Ok(json) => Response::builder()
                .header(CONTENT_TYPE, "application/json")
                .body(full(Bytes::from(json)))
                .expect("the content type is a valid header value"),
            Err((status, error)) => {
                let mut response = own_answer("", status, None);
                *response.body_mut() = full(Bytes::from(error));
                response
            }
        }
    }

    fn explain(&self, query: &ExplainQuery) -> Result<Vec<CallExplanation>, (StatusCode, String)> {
        let Some(active) = self.fleet.active() else {
            let error = "this VM has no configuration yet: look at its way to the log (E200)";
            return Err((StatusCode::SERVICE_UNAVAILABLE, error.into()));
        };
        let Some(route) = active.routes.find(&query.host, &query.path) else {
            let error = format!(
                "no route of configuration {} for host {} and path {}",
                active.config.version, query.host, query.path
            );
            return Err((StatusCode::NOT_FOUND, error));
        };
        let services = route.services.iter().filter(|(_, weight)| *weight > 0);
        let explained =
            services.map(|(service, _)| self.explain_service(&active, route, service, query));
        explained.collect()
    }

    fn explain_service(
        &self,
        active: &ActiveConfig,
        route: &RouteRule,
        service: &ServiceName,
        query: &ExplainQuery,
    ) -> Result<CallExplanation, (StatusCode, String)> {
        let Some(service) = active.config.services.get(service) else {
            let error = format!(
                "route {} names service {service}, which no configuration lists",
                route.name
            );
            return Err((StatusCode::NOT_FOUND, error));
        };
        let subject = AdapterName::new(&query.model);
        let now = clock::now();
        let own_zone = &self.fleet.zone;
        let is_popular = self.fleet.tables().is_popular(&subject, now);
        let zones = match &service.engine {
            Some(_) => ordered_zones(&subject, &self.settings.zones, own_zone, is_popular),
            None => placement_zones(&service.name, &self.settings.zones),
        };
        let closed = self.pool.closed_zones();
        let holders: Vec<_> = zones.iter().map(|zone| self.heard_holder(zone)).collect();
        let tables = self.fleet.tables();
        let zones: Vec<_> = zones
            .into_iter()
            .zip(holders)
            .map(|(zone, holder)| ZoneOutlook {
                holder,
                is_reachable: !closed.contains(&zone),
                targets: target_outlooks(&tables, &service.name, &zone, &subject, now),
                zone,
            })
            .collect();
        let request = ExplainedRequest {
            route,
            service,
            subject: &subject,
            tokens: query.tokens,
            own_zone,
            is_popular,
        };
        Ok(explain_call(&request, &zones, tables.policy))
    }

    /// Holder of a zone, unless this VM knows that it does not answer. No holder is dialled for an explanation.
    fn heard_holder(&self, zone: &AvailabilityZone) -> Option<VmName> {
        let lease = self.fleet.lease(zone)?;
        let is_silent = self.holder_client.is_known_silent(&lease);
        lease.vm.filter(|_| !is_silent)
    }
}

fn target_outlooks(
    tables: &FleetTables,
    service: &ServiceName,
    zone: &AvailabilityZone,
    subject: &AdapterName,
    now: Instant,
) -> Vec<TargetOutlook> {
    let targets = tables.catalog.iter();
    let targets = targets.filter(|entry| entry.service == *service && entry.zone == *zone);
    let outlooks = targets.map(|entry| TargetOutlook {
        name: entry.name.clone(),
        has_subject: entry.lists(subject, None),
        in_flight: tables.in_flight.get(&entry.run()).copied().unwrap_or(0),
        obstacle: obstacle_of(tables, entry, now),
    });
    outlooks.collect()
}

fn obstacle_of(tables: &FleetTables, entry: &TargetEntry, now: Instant) -> Option<TargetObstacle> {
    if entry.stage != TargetStage::Ready {
        return Some(TargetObstacle::Draining);
    }
    if let Some(remaining) = tables.backoffs.remaining(&entry.run(), now) {
        return Some(TargetObstacle::BackingOff(millis(remaining)));
    }
    if tables.health.is_unreachable(&entry.name, now) {
        return Some(TargetObstacle::Unreachable);
    }
    let wait = tables.limits.wait(&entry.name, now);
    (!wait.is_zero()).then(|| TargetObstacle::RateLimited(millis(wait)))
}
