//! Where a given request would go now, and why, by what one VM knows.
//!
//! The explanation runs the search of a gateway without asking anyone: it lists the holders in the order in which they
//! would be asked, on which terms, and what this VM knows of the targets there. What a holder would answer is known to
//! the holder alone.

use crate::{
    direct::{
        config::{RouteRule, ServiceRule},
        millis,
        planner::{PlacementTerms, split_subject},
        policy::PlacementPolicy,
        search::{SearchPass, ZoneQuery, ZoneSearch},
    },
    ids::{AdapterName, AvailabilityZone, ServiceName, TargetName, VmName},
};
use serde::{Deserialize, Serialize};
use std::fmt;

/// Why a target gets no call from this VM now.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetObstacle {
    /// It is about to leave.
    Draining,
    /// It requested a backoff, not ended for these milliseconds.
    BackingOff(u32),
    /// Connections to it failed.
    Unreachable,
    /// Its rate limit has no room for these milliseconds.
    RateLimited(u32),
}

impl fmt::Display for TargetObstacle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Draining => f.write_str("draining"),
            Self::BackingOff(ms) => write!(f, "backing off for {ms} ms"),
            Self::Unreachable => f.write_str("unreachable"),
            Self::RateLimited(ms) => write!(f, "rate limit reached for {ms} ms"),
        }
    }
}

/// What this VM knows of a target of the call's service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetOutlook {
    /// The target.
    pub name: TargetName,
    /// Whether the target list shows the call's adapter or base model there.
    pub has_subject: bool,
    /// Calls of this VM that it runs.
    pub in_flight: u32,
    /// Why it gets no call now; `None` if nothing is known against it.
    pub obstacle: Option<TargetObstacle>,
}

/// What this VM knows of a zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneOutlook {
    /// The zone.
    pub zone: AvailabilityZone,
    /// Holder of the zone's lease; `None` if there is none or it is known to be silent.
    pub holder: Option<VmName>,
    /// Whether targets of the zone can be reached, directly or through another VM.
    pub is_reachable: bool,
    /// Targets of the call's service.
    pub targets: Vec<TargetOutlook>,
}

/// The request that is explained.
#[derive(Clone, Copy, Debug)]
pub struct ExplainedRequest<'a> {
    /// Its route.
    pub route: &'a RouteRule,
    /// Its service.
    pub service: &'a ServiceRule,
    /// Base model, or base model and adapter; empty for calls of plain services.
    pub subject: &'a AdapterName,
    /// Tokens of prompt and output.
    pub tokens: u64,
    /// This VM's zone.
    pub own_zone: &'a AvailabilityZone,
    /// Whether the adapter is in such demand that this VM's zone is asked first.
    pub is_popular: bool,
}

/// One question to a holder.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExplainedStep {
    /// Zone that is asked.
    pub zone: AvailabilityZone,
    /// Its holder; `None` if no holder would answer.
    pub holder: Option<VmName>,
    /// Terms of the question.
    pub terms: String,
    /// Why the zone is asked now, and on these terms.
    pub reason: String,
}

/// Targets of one zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExplainedZone {
    /// The zone.
    pub zone: AvailabilityZone,
    /// Its targets, those with the call's adapter first.
    pub targets: Vec<TargetOutlook>,
}

/// Where a request would go.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallExplanation {
    /// Name of the route.
    pub route: String,
    /// Service that the call would run at.
    pub service: ServiceName,
    /// Rank of the route's calls; that of an organisation may be less urgent.
    pub rank: u8,
    /// Why the call would be refused without asking anyone; `None` if holders are asked.
    pub refusal: Option<String>,
    /// What the answers of holders also depend on; `None` if nothing is known.
    pub note: Option<String>,
    /// Questions in their order, each asked if the one before led to no target.
    pub steps: Vec<ExplainedStep>,
    /// Zones in the order of the questions, with their targets.
    pub zones: Vec<ExplainedZone>,
}

/// Explains where a request would go. `zones` are in the order in which their holders are asked.
#[must_use]
pub fn explain_call(
    request: &ExplainedRequest<'_>,
    zones: &[ZoneOutlook],
    policy: PlacementPolicy,
) -> CallExplanation {
    let refusal = refusal_of(request, zones);
    let reachable: Vec<_> = zones.iter().filter(|zone| zone.is_reachable).collect();
    let steps = match (&refusal, &request.service.engine) {
        (Some(_), _) => Vec::new(),
        (None, Some(_)) => engine_steps(request, &reachable, policy),
        (None, None) => plain_steps(zones),
    };
    let zones = zones.iter().map(|zone| {
        let mut targets = zone.targets.clone();
        targets.sort_by(|a, b| (!a.has_subject, &a.name).cmp(&(!b.has_subject, &b.name)));
        ExplainedZone {
            zone: zone.zone.clone(),
            targets,
        }
    });
    CallExplanation {
        route: request.route.name.clone(),
        service: request.service.name.clone(),
        rank: request.route.priority,
        refusal,
        note: note_of(request),
        steps,
        zones: zones.collect(),
    }
}

/// Why a request is refused before any holder is asked.
fn refusal_of(request: &ExplainedRequest<'_>, zones: &[ZoneOutlook]) -> Option<String> {
    let service = &request.service.name;
    let listed = || {
        let targets = zones.iter().flat_map(|zone| &zone.targets);
        targets.filter(|target| target.obstacle != Some(TargetObstacle::Draining))
    };
    if listed().next().is_none() {
        return Some(format!(
            "no target of service {service} is listed as ready: add targets, or look at E720 and E722"
        ));
    }
    if listed().all(|target| matches!(target.obstacle, Some(TargetObstacle::BackingOff(_)))) {
        return Some(format!(
            "all ready targets of service {service} requested a backoff from this VM"
        ));
    }
    let mut reachable = zones.iter().filter(|zone| zone.is_reachable);
    let has_reachable = reachable.any(|zone| !zone.targets.is_empty());
    (!has_reachable)
        .then(|| format!("no zone with targets of service {service} can be reached from this VM"))
}

/// What holders will weigh that the order of the questions does not show.
fn note_of(request: &ExplainedRequest<'_>) -> Option<String> {
    let capacity = request.service.engine.as_ref()?.kv_tokens;
    (request.tokens > capacity).then(|| {
        format!(
            "{} tokens exceed the {capacity} of the KV cache of an engine, so every engine is expected to be slow",
            request.tokens
        )
    })
}

fn engine_steps(
    request: &ExplainedRequest<'_>,
    zones: &[&ZoneOutlook],
    policy: PlacementPolicy,
) -> Vec<ExplainedStep> {
    let mut search = ZoneSearch::new(policy, zones.len());
    let mut steps = Vec::new();
    while let Some(query) = search.next_query() {
        if query.pass == SearchPass::Retry {
            break;
        }
        let zone = zones[query.zone];
        if zone.holder.is_none() {
            search.record_no_answer(query.zone);
        }
        let objective = request.route.objective;
        let bound = search.max_wait(query.pass, request.route.priority, objective, objective);
        steps.push(ExplainedStep {
            zone: zone.zone.clone(),
            holder: zone.holder.clone(),
            terms: describe_terms(&query, millis(bound), &policy),
            reason: describe_reason(request, &query, zone),
        });
    }
    steps
}

fn describe_terms(query: &ZoneQuery, bound_ms: u32, policy: &PlacementPolicy) -> String {
    let load = if query.may_load {
        "may load the adapter"
    } else {
        "only where the adapter is loaded"
    };
    match query.terms {
        PlacementTerms::Inquire => {
            format!("take it without a load within {bound_ms} ms, or offer a cost")
        }
        PlacementTerms::Beat(_) => {
            let penalty_ms = millis(policy.remote_zone_penalty);
            format!("take it for {penalty_ms} ms less than the home zone's offer, {load}")
        }
        PlacementTerms::Take => format!("take it within {bound_ms} ms, {load}"),
    }
}

fn describe_reason(
    request: &ExplainedRequest<'_>,
    query: &ZoneQuery,
    zone: &ZoneOutlook,
) -> String {
    if zone.holder.is_none() {
        return "no holder is heard: a target is picked from the target list if one shows the adapter".into();
    }
    let has_adapter = split_subject(request.subject).1.is_some();
    let is_own = zone.zone == *request.own_zone;
    match (query.pass, query.zone) {
        (SearchPass::Compare, 0) if !has_adapter && is_own => {
            "this VM's zone comes first for a base model".into()
        }
        (SearchPass::Compare, 0) if request.is_popular && is_own => {
            "this VM's zone comes first as the adapter is in high demand".into()
        }
        (SearchPass::Compare, 0) => "home zone of the adapter, by rendezvous hashing".into(),
        (SearchPass::Compare, _) => "its costs are compared with those of the home zone".into(),
        (SearchPass::Accept | SearchPass::Retry, _) => {
            "no zone took it on the terms before; asked once more after a pause".into()
        }
    }
}

fn plain_steps(zones: &[ZoneOutlook]) -> Vec<ExplainedStep> {
    let steps = zones.iter().enumerate().map(|(index, zone)| ExplainedStep {
        zone: zone.zone.clone(),
        holder: zone.holder.clone(),
        terms: "place it at a target of any zone, or refuse it".into(),
        reason: match (&zone.holder, index) {
            (None, _) => {
                "no holder is heard, so the next one is asked, and in the end this VM picks itself"
                    .into()
            }
            (Some(_), 0) => {
                "its holder places all calls of the service, by rendezvous hashing".into()
            }
            (Some(_), _) => "asked only if the holders before do not answer".into(),
        },
    });
    steps.collect()
}
