//! Target selection at the gateways.
//!
//! A request goes to the target where it is expected to start soonest: one that has its adapter, even if requests are
//! queued there, or another one at the cost of a load. Among targets without the adapter, a consistent-hash ring
//! determines its home targets, so that gateways send the first requests for an idle adapter to the same target without
//! coordination.

use crate::{
    ids::{AdapterVersion, AvailabilityZone, PriorityClass, TargetName},
    policy::{PolicyWeights, TargetDigest},
};
use siphasher::sip::SipHasher13;
use std::{
    collections::HashMap,
    hash::{Hash, Hasher},
};

/// Wait in excess of the shortest one, in seconds, up to which a home target is preferred for an idle adapter.
const HOME_WAIT_TOLERANCE_S: f64 = 0.5;
const RING_POINTS_PER_TARGET: u32 = 16;
/// Maximum number of targets that one choice visits on the ring.
const MAX_VISITED_TARGETS: usize = 24;
/// Number of eligible targets, counted from an adapter's position on the ring, that are its homes.
const HOME_COUNT: usize = 6;
/// Expected time until a seat becomes free in a full batch, in seconds.
const SEAT_WAIT_S: f64 = 0.3;
/// Slowdown of a request in a full batch, in addition to the wait for a seat, in seconds.
const FULL_BATCH_COST_S: f64 = 0.05;
/// Expected duration of an adapter load, in seconds.
const EXPECTED_LOAD_S: f64 = 0.35;

/// A target as known to a gateway.
#[derive(Clone, Debug)]
struct RoutedTarget {
    name: TargetName,
    zone: AvailabilityZone,
    reachable: bool,
    digest: TargetDigest,
    /// Output tokens sent to the target since its last digest, by class.
    sent_tokens: [u64; 3],
    sent_requests: u32,
}

impl RoutedTarget {
    /// Expected wait of a new request of a class, including the slowdown by the running batch, in seconds.
    fn wait_s(&self, class: PriorityClass, weights: &PolicyWeights) -> f64 {
        let digest = &self.digest;
        let throughput = f64::from(digest.tokens_per_second).max(1.0);
        let waiting: u64 = (0..=class.index())
            .map(|index| digest.waiting_tokens[index] + self.sent_tokens[index])
            .sum();
        let occupancy = self.occupancy(class, weights);
        // Below a full batch a seat is likely to be free, but each running request slows down every step.
        let seat_wait_s = if occupancy >= 1.0 {
            waiting as f64 / throughput + SEAT_WAIT_S
        } else {
            0.0
        };
        seat_wait_s + occupancy * FULL_BATCH_COST_S
    }

    /// Running and sent requests as a share of the seats available to a class; may exceed 1.
    fn occupancy(&self, class: PriorityClass, weights: &PolicyWeights) -> f64 {
        let reserved = match class {
            PriorityClass::Urgent => 0.0,
            PriorityClass::Normal | PriorityClass::Batch => weights.urgent_reserve,
        };
        let seats = (f64::from(self.digest.seats) * (1.0 - reserved))
            .ceil()
            .max(1.0);
        f64::from(self.digest.running + self.sent_requests) / seats
    }

    fn is_usable(&self) -> bool {
        self.reachable && self.digest.open
    }

    fn is_usable_for(&self, query: &RouteQuery<'_>) -> bool {
        self.is_usable() && !query.excluded.contains(&self.name)
    }
}

/// Properties of a request that determine its target.
#[derive(Clone, Copy, Debug)]
pub struct RouteQuery<'a> {
    /// Requested adapter and version.
    pub model: &'a AdapterVersion,
    /// Priority class.
    pub class: PriorityClass,
    /// Maximum number of output tokens.
    pub output_tokens: u32,
    /// Availability zone of the gateway.
    pub zone: &'a AvailabilityZone,
    /// Targets on which earlier attempts failed.
    pub excluded: &'a [TargetName],
}

/// The chosen target.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteChoice {
    /// Target to send the request to.
    pub target: TargetName,
    /// Whether the adapter is loaded or being loaded there; always true for a plain service.
    pub resident: bool,
    /// Expected time until the request starts, including cost terms of the weights, in seconds.
    pub expected_s: f64,
}

/// A gateway's view of the targets of one kind: engines, or plain services.
#[derive(Clone, Debug, Default)]
pub struct TargetRouter {
    targets: Vec<RoutedTarget>,
    /// Positions of the targets on the hash ring, sorted.
    ring: Vec<(u64, usize)>,
    /// Adapters waiting to be loaded, summed over all targets.
    pending_loads: u32,
    by_name: HashMap<TargetName, usize>,
    by_model: HashMap<AdapterVersion, Vec<usize>>,
    /// Target last chosen to load each adapter, until its digest lists the adapter or it becomes unreachable.
    pending_residents: HashMap<AdapterVersion, usize>,
}

impl TargetRouter {
    /// Adds a target, or replaces its digest; marks the target as reachable.
    pub fn update_digest(&mut self, zone: &AvailabilityZone, digest: &TargetDigest) {
        let index = match self.by_name.get(&digest.target) {
            Some(index) => *index,
            None => self.add_target(zone, digest),
        };
        if let Some(residents) = &digest.residents {
            self.replace_residents(index, digest.residents_revision, residents);
        }
        let routed = &mut self.targets[index];
        self.pending_loads =
            self.pending_loads + digest.pending_loads - routed.digest.pending_loads;
        let residents = routed.digest.residents.take();
        let revision = routed.digest.residents_revision;
        routed.digest = TargetDigest {
            residents,
            residents_revision: revision,
            ..digest.clone()
        };
        routed.sent_tokens = [0; 3];
        routed.sent_requests = 0;
        routed.reachable = true;
    }

    /// Confirms that a target's last digest is still current; marks the target as reachable.
    pub fn mark_unchanged(&mut self, target: &str) {
        if let Some(index) = self.by_name.get(target) {
            let routed = &mut self.targets[*index];
            routed.sent_tokens = [0; 3];
            routed.sent_requests = 0;
            routed.reachable = true;
        }
    }

    fn add_target(&mut self, zone: &AvailabilityZone, digest: &TargetDigest) -> usize {
        let index = self.targets.len();
        for point in 0..RING_POINTS_PER_TARGET {
            let mut hasher = SipHasher13::new();
            (&digest.target, point).hash(&mut hasher);
            self.ring.push((hasher.finish(), index));
        }
        self.ring.sort_unstable();
        self.targets.push(RoutedTarget {
            name: digest.target.clone(),
            zone: zone.clone(),
            reachable: true,
            digest: TargetDigest {
                residents: Some(Vec::new()),
                residents_revision: 0,
                pending_loads: 0,
                ..digest.clone()
            },
            sent_tokens: [0; 3],
            sent_requests: 0,
        });
        self.by_name.insert(digest.target.clone(), index);
        index
    }

    fn replace_residents(
        &mut self,
        index: usize,
        revision: u64,
        residents: &[super::ResidentDigest],
    ) {
        let old = self.targets[index]
            .digest
            .residents
            .take()
            .unwrap_or_default();
        for resident in &old {
            if let Some(indices) = self.by_model.get_mut(&resident.model) {
                indices.retain(|known| *known != index);
                if indices.is_empty() {
                    self.by_model.remove(&resident.model);
                }
            }
        }
        for resident in residents {
            self.by_model
                .entry(resident.model.clone())
                .or_default()
                .push(index);
            if self.pending_residents.get(&resident.model) == Some(&index) {
                self.pending_residents.remove(&resident.model);
            }
        }
        let digest = &mut self.targets[index].digest;
        digest.residents = Some(residents.to_vec());
        digest.residents_revision = revision;
    }

    /// Last received revision of a target's residents; zero if none.
    #[must_use]
    pub fn known_residents_revision(&self, target: &str) -> u64 {
        self.by_name
            .get(target)
            .map_or(0, |index| self.targets[*index].digest.residents_revision)
    }

    /// Sets whether a target is reachable.
    pub fn set_reachable(&mut self, target: &str, reachable: bool) {
        if let Some(index) = self.by_name.get(target) {
            let routed = &mut self.targets[*index];
            routed.reachable = reachable;
            if !reachable {
                self.pending_loads -= std::mem::take(&mut routed.digest.pending_loads);
                let index = *index;
                self.pending_residents
                    .retain(|_, pending_index| *pending_index != index);
            }
        }
    }

    /// Stops sending new requests to a target at once, before its holder publishes a digest that says so.
    pub fn close(&mut self, target: &str) {
        if let Some(index) = self.by_name.get(target) {
            self.targets[*index].digest.open = false;
        }
    }

    /// Whether an adapter is loaded or being loaded on a target that is reachable and open.
    #[must_use]
    pub fn is_resident(&self, model: &AdapterVersion) -> bool {
        let indices = self
            .by_model
            .get(model)
            .map(Vec::as_slice)
            .unwrap_or_default();
        indices.iter().any(|index| self.targets[*index].is_usable())
    }

    /// Whether a target is the first eligible one on the ring for an adapter.
    #[must_use]
    pub fn is_home(&self, model: &AdapterVersion, target: &str) -> bool {
        let mut is_home = false;
        self.visit_ring(model, |_, routed| {
            let is_eligible = routed.is_usable() && routed.digest.can_load;
            is_home = is_eligible && routed.name.as_str() == target;
            is_eligible
        });
        is_home
    }

    /// Visits each target once in ring order, starting at an adapter's position, until `stop` returns true.
    ///
    /// Visits at most [`MAX_VISITED_TARGETS`], so that the cost of a choice does not grow with the number of targets.
    fn visit_ring(
        &self,
        model: &AdapterVersion,
        mut stop: impl FnMut(usize, &RoutedTarget) -> bool,
    ) {
        let hash = model_hash(model);
        let start = self.ring.partition_point(|(position, _)| *position < hash);
        let mut visited: Vec<usize> = Vec::with_capacity(MAX_VISITED_TARGETS);
        let (before, after) = self.ring.split_at(start);
        for (_, index) in after.iter().chain(before) {
            if visited.contains(index) {
                continue;
            }
            if visited.len() >= MAX_VISITED_TARGETS || stop(*index, &self.targets[*index]) {
                return;
            }
            visited.push(*index);
        }
    }

    /// Number of targets.
    #[must_use]
    pub fn len(&self) -> usize {
        self.targets.len()
    }

    /// Whether no target has been added.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// Chooses the target of an engine request and counts the request as sent; `None` if no target is usable.
    pub fn choose(
        &mut self,
        query: &RouteQuery<'_>,
        weights: &PolicyWeights,
    ) -> Option<RouteChoice> {
        let resident = self.best_resident(query, weights);
        let home = self.best_home(query, weights);
        let (index, expected_s, is_resident) = match (resident, home) {
            (Some((index, wait)), Some((_, elsewhere))) if wait <= elsewhere => (index, wait, true),
            (Some((index, wait)), None) => (index, wait, true),
            (_, Some((index, wait))) => (index, wait, false),
            (None, None) => return None,
        };
        if !is_resident {
            self.pending_residents.insert(query.model.clone(), index);
        }
        self.record_sent(index, query);
        Some(RouteChoice {
            target: self.targets[index].name.clone(),
            resident: is_resident,
            expected_s,
        })
    }

    /// Chooses the target of a plain service's call among the members: the one with the shortest wait, where leaving
    /// the gateway's zone costs `zone_cost_s`. Counts the call as sent.
    pub fn choose_service(
        &mut self,
        query: &RouteQuery<'_>,
        weights: &PolicyWeights,
        is_member: impl Fn(&TargetName) -> bool,
    ) -> Option<RouteChoice> {
        let members = self
            .targets
            .iter()
            .enumerate()
            .filter(|(_, routed)| routed.is_usable_for(query) && is_member(&routed.name));
        let costs = members.map(|(index, routed)| {
            (
                index,
                routed.wait_s(query.class, weights) + zone_cost(routed, query, weights),
            )
        });
        let (index, expected_s) = costs.min_by(|(_, a), (_, b)| a.total_cmp(b))?;
        self.record_sent(index, query);
        Some(RouteChoice {
            target: self.targets[index].name.clone(),
            resident: true,
            expected_s,
        })
    }

    fn best_resident(
        &self,
        query: &RouteQuery<'_>,
        weights: &PolicyWeights,
    ) -> Option<(usize, f64)> {
        let indices = self
            .by_model
            .get(query.model)
            .map(Vec::as_slice)
            .unwrap_or_default();
        let pending_residents = self.pending_residents.get(query.model);
        let candidates = indices
            .iter()
            .chain(pending_residents)
            .filter(|index| self.targets[**index].is_usable_for(query));
        let costs = candidates.map(|index| {
            let routed = &self.targets[*index];
            let mut cost = routed.wait_s(query.class, weights) + zone_cost(routed, query, weights);
            if query.class == PriorityClass::Batch {
                // Batch requests prefer the fuller target, so that others can run empty.
                let occupancy = routed.occupancy(query.class, weights);
                cost -= weights.packing_s * occupancy.min(1.0);
            }
            (*index, cost)
        });
        costs.min_by(|(_, a), (_, b)| a.total_cmp(b))
    }

    fn best_home(&self, query: &RouteQuery<'_>, weights: &PolicyWeights) -> Option<(usize, f64)> {
        let mut homes: Vec<(usize, f64)> = Vec::with_capacity(HOME_COUNT);
        let mut shortest = (f64::INFINITY, 0);
        self.visit_ring(query.model, |index, routed| {
            if !routed.is_usable_for(query) || !routed.digest.can_load {
                return false;
            }
            let wait = routed.wait_s(query.class, weights);
            if wait < shortest.0 {
                shortest = (wait, index);
            }
            if homes.len() < HOME_COUNT {
                homes.push((index, wait + zone_cost(routed, query, weights)));
            }
            // After the homes, the visit only continues to find a free target if all homes are busy.
            homes.len() >= HOME_COUNT && shortest.0 < HOME_WAIT_TOLERANCE_S
        });
        let packing_tolerance_s = match query.class {
            PriorityClass::Batch => weights.packing_s,
            _ => 0.0,
        };
        let eligible_homes = homes
            .iter()
            .filter(|(_, wait)| *wait <= shortest.0 + HOME_WAIT_TOLERANCE_S + packing_tolerance_s);
        // Among the homes with a short wait, the one whose evicted adapter has the lowest request rate.
        let eviction_rate = |index: &usize| {
            self.targets[*index]
                .digest
                .victim_rate
                .unwrap_or(f32::INFINITY)
        };
        let best_home =
            eligible_homes.min_by(|(a, _), (b, _)| eviction_rate(a).total_cmp(&eviction_rate(b)));
        // If every home is busy, fall back to the target with the shortest wait.
        let fallback = shortest.0.is_finite().then_some((shortest.1, shortest.0));
        let chosen = best_home.copied().or(fallback)?;
        // The weight store serves one load at a time for all targets.
        let load_s = EXPECTED_LOAD_S * f64::from(1 + self.pending_loads);
        Some((chosen.0, chosen.1 + load_s + weights.load_penalty_s))
    }

    fn record_sent(&mut self, index: usize, query: &RouteQuery<'_>) {
        let routed = &mut self.targets[index];
        routed.sent_requests += 1;
        routed.sent_tokens[query.class.index()] += u64::from(query.output_tokens);
    }
}

fn zone_cost(routed: &RoutedTarget, query: &RouteQuery<'_>, weights: &PolicyWeights) -> f64 {
    if routed.zone == *query.zone {
        0.0
    } else {
        weights.zone_cost_s
    }
}

fn model_hash(model: &AdapterVersion) -> u64 {
    let mut hasher = SipHasher13::new();
    model.hash(&mut hasher);
    hasher.finish()
}
