//! The gateway's choice of a target.
//!
//! A request goes where it is expected to start soonest: a target that has its adapter, even behind a queue, or
//! another one at the cost of a load. Among targets without the adapter, a ring of hashes names its homes, so that
//! gateways that know nothing of each other send the first requests for an idle adapter to the same place.

use crate::{
    ids::{AdapterVersion, AvailabilityZone, PriorityClass, TargetName},
    policy::{PolicyWeights, TargetDigest},
};
use siphasher::sip::SipHasher13;
use std::{
    collections::HashMap,
    hash::{Hash, Hasher},
};

/// Wait beyond the best one, in seconds, up to which an idle adapter's home is kept.
const HOME_TOLERANCE_S: f64 = 0.5;
/// Places of each target on the ring of hashes.
const RING_POINTS: u32 = 16;
/// Targets that one choice looks at, at the most.
const WALK_MOST: usize = 24;
/// First targets from an adapter's place on the ring that count as its homes.
const HOMES: usize = 6;
/// Time until some seat of a full batch falls free, in seconds.
const SEAT_TURN_S: f64 = 0.3;
/// What a full batch costs a request beside the wait for a seat, in seconds.
const STEP_COST_S: f64 = 0.05;
/// Expected time of a load, in seconds.
const LOAD_S: f64 = 0.35;

/// A target as a gateway sees it.
#[derive(Clone, Debug)]
struct RoutedTarget {
    name: TargetName,
    zone: AvailabilityZone,
    reachable: bool,
    digest: TargetDigest,
    /// Output tokens sent there since the last digest, by class.
    sent_tokens: [u64; 3],
    sent: u32,
}

impl RoutedTarget {
    /// Seconds until a new request of a class would get a seat.
    fn wait_s(&self, class: PriorityClass, weights: &PolicyWeights) -> f64 {
        let digest = &self.digest;
        let speed = f64::from(digest.tokens_per_second).max(1.0);
        let waiting: u64 = (0..=class.index())
            .map(|index| digest.waiting_tokens[index] + self.sent_tokens[index])
            .sum();
        let occupied = self.occupied(class, weights);
        // A seat is likely free below a full batch; the load still slows every step a little.
        let seat = if occupied >= 1.0 {
            waiting as f64 / speed + SEAT_TURN_S
        } else {
            0.0
        };
        seat + occupied * STEP_COST_S
    }

    /// Share of the seats of a class that are taken.
    fn occupied(&self, class: PriorityClass, weights: &PolicyWeights) -> f64 {
        let reserved = match class {
            PriorityClass::Urgent => 0.0,
            PriorityClass::Normal | PriorityClass::Batch => weights.urgent_reserve,
        };
        let seats = (f64::from(self.digest.seats) * (1.0 - reserved))
            .ceil()
            .max(1.0);
        f64::from(self.digest.running + self.sent) / seats
    }

    fn usable(&self) -> bool {
        self.reachable && self.digest.open
    }

    fn usable_for(&self, query: &RouteQuery<'_>) -> bool {
        self.usable() && !query.excluded.contains(&self.name)
    }
}

/// What the choice depends on.
#[derive(Clone, Copy, Debug)]
pub struct RouteQuery<'a> {
    /// The adapter and version.
    pub model: &'a AdapterVersion,
    /// The class.
    pub class: PriorityClass,
    /// Output tokens that it may generate.
    pub output_tokens: u32,
    /// The gateway's zone.
    pub zone: &'a AvailabilityZone,
    /// Targets that were tried in vain.
    pub excluded: &'a [TargetName],
}

/// The chosen target.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteChoice {
    /// The target.
    pub target: TargetName,
    /// Whether it has the adapter or loads it already.
    pub resident: bool,
    /// Expected time until the request starts, in seconds.
    pub expected_s: f64,
}

/// A gateway's view of the targets of one kind.
#[derive(Clone, Debug, Default)]
pub struct TargetRouter {
    targets: Vec<RoutedTarget>,
    /// Places of the targets on the ring of hashes, sorted.
    ring: Vec<(u64, usize)>,
    /// Adapters that wait to be loaded, over all targets.
    queued_loads: u32,
    by_name: HashMap<TargetName, usize>,
    by_model: HashMap<AdapterVersion, Vec<usize>>,
    /// Adapters sent to a target that does not have them yet, until its digest says more.
    promised: HashMap<AdapterVersion, usize>,
}

impl TargetRouter {
    /// Adds a target, or takes its new digest in.
    pub fn update_digest(&mut self, zone: &AvailabilityZone, digest: &TargetDigest) {
        let index = match self.by_name.get(&digest.target) {
            Some(index) => *index,
            None => self.add_target(zone, digest),
        };
        if let Some(residents) = &digest.residents {
            self.replace_residents(index, digest.residents_revision, residents);
        }
        let routed = &mut self.targets[index];
        self.queued_loads = self.queued_loads + digest.wanted_loads - routed.digest.wanted_loads;
        let residents = routed.digest.residents.take();
        let revision = routed.digest.residents_revision;
        routed.digest = TargetDigest {
            residents,
            residents_revision: revision,
            ..digest.clone()
        };
        routed.sent_tokens = [0; 3];
        routed.sent = 0;
        routed.reachable = true;
    }

    /// A target's digest has not changed since the last one.
    pub fn mark_unchanged(&mut self, target: &str) {
        if let Some(index) = self.by_name.get(target) {
            let routed = &mut self.targets[*index];
            routed.sent_tokens = [0; 3];
            routed.sent = 0;
            routed.reachable = true;
        }
    }

    fn add_target(&mut self, zone: &AvailabilityZone, digest: &TargetDigest) -> usize {
        let index = self.targets.len();
        for point in 0..RING_POINTS {
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
                wanted_loads: 0,
                ..digest.clone()
            },
            sent_tokens: [0; 3],
            sent: 0,
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
            if self.promised.get(&resident.model) == Some(&index) {
                self.promised.remove(&resident.model);
            }
        }
        let digest = &mut self.targets[index].digest;
        digest.residents = Some(residents.to_vec());
        digest.residents_revision = revision;
    }

    /// Revision of residents that is known of a target; zero if none.
    #[must_use]
    pub fn known_residents_revision(&self, target: &str) -> u64 {
        self.by_name
            .get(target)
            .map_or(0, |index| self.targets[*index].digest.residents_revision)
    }

    /// Marks a target as reachable or not.
    pub fn set_reachable(&mut self, target: &str, reachable: bool) {
        if let Some(index) = self.by_name.get(target) {
            let routed = &mut self.targets[*index];
            routed.reachable = reachable;
            if !reachable {
                self.queued_loads -= std::mem::take(&mut routed.digest.wanted_loads);
                let index = *index;
                self.promised.retain(|_, promised| *promised != index);
            }
        }
    }

    /// Closes a target for new work at once, before its holder says so.
    pub fn close(&mut self, target: &str) {
        if let Some(index) = self.by_name.get(target) {
            self.targets[*index].digest.open = false;
        }
    }

    /// Whether an adapter is on some usable target.
    #[must_use]
    pub fn is_resident(&self, model: &AdapterVersion) -> bool {
        let indices = self
            .by_model
            .get(model)
            .map(Vec::as_slice)
            .unwrap_or_default();
        indices.iter().any(|index| self.targets[*index].usable())
    }

    /// Whether a target is the home of an idle adapter.
    #[must_use]
    pub fn is_home(&self, model: &AdapterVersion, target: &str) -> bool {
        let mut is_home = false;
        self.walk(model, |_, routed| {
            let is_first = routed.usable() && routed.digest.loads;
            is_home = is_first && routed.name.as_str() == target;
            is_first
        });
        is_home
    }

    /// Visits targets in the order of the ring from an adapter's place on, each once, until `stop` says so; at most
    /// [`WALK_MOST`], so that a choice costs the same before many targets as before few.
    fn walk(&self, model: &AdapterVersion, mut stop: impl FnMut(usize, &RoutedTarget) -> bool) {
        let hash = model_hash(model);
        let start = self.ring.partition_point(|(place, _)| *place < hash);
        let mut seen: Vec<usize> = Vec::with_capacity(WALK_MOST);
        let (before, after) = self.ring.split_at(start);
        for (_, index) in after.iter().chain(before) {
            if seen.contains(index) {
                continue;
            }
            if seen.len() >= WALK_MOST || stop(*index, &self.targets[*index]) {
                return;
            }
            seen.push(*index);
        }
    }

    /// Number of targets.
    #[must_use]
    pub fn len(&self) -> usize {
        self.targets.len()
    }

    /// Whether no target is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty()
    }

    /// Chooses the target of an engine request and counts it as sent there.
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
            self.promised.insert(query.model.clone(), index);
        }
        self.count_sent(index, query);
        Some(RouteChoice {
            target: self.targets[index].name.clone(),
            resident: is_resident,
            expected_s,
        })
    }

    /// Chooses the target of a plain service's call: the least loaded, in the own zone if equal.
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
            .filter(|(_, routed)| routed.usable_for(query) && is_member(&routed.name));
        let costs = members.map(|(index, routed)| {
            (
                index,
                routed.wait_s(query.class, weights) + zone_cost(routed, query, weights),
            )
        });
        let (index, expected_s) = costs.min_by(|(_, a), (_, b)| a.total_cmp(b))?;
        self.count_sent(index, query);
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
        let promised = self.promised.get(query.model);
        let candidates = indices
            .iter()
            .chain(promised)
            .filter(|index| self.targets[**index].usable_for(query));
        let costs = candidates.map(|index| {
            let routed = &self.targets[*index];
            let mut cost = routed.wait_s(query.class, weights) + zone_cost(routed, query, weights);
            if query.class == PriorityClass::Batch {
                // Batch work prefers the fuller target, so that others can run empty.
                let occupied = routed.occupied(query.class, weights);
                cost -= weights.packing_s * occupied.min(1.0);
            }
            (*index, cost)
        });
        costs.min_by(|(_, a), (_, b)| a.total_cmp(b))
    }

    fn best_home(&self, query: &RouteQuery<'_>, weights: &PolicyWeights) -> Option<(usize, f64)> {
        let mut homes: Vec<(usize, f64)> = Vec::with_capacity(HOMES);
        let mut shortest = (f64::INFINITY, 0);
        self.walk(query.model, |index, routed| {
            if !routed.usable_for(query) || !routed.digest.loads {
                return false;
            }
            let wait = routed.wait_s(query.class, weights);
            if wait < shortest.0 {
                shortest = (wait, index);
            }
            if homes.len() < HOMES {
                homes.push((index, wait + zone_cost(routed, query, weights)));
            }
            // Beyond the homes the walk only goes on to find room, if they have none.
            homes.len() >= HOMES && shortest.0 < HOME_TOLERANCE_S
        });
        let patience = match query.class {
            PriorityClass::Batch => weights.packing_s,
            _ => 0.0,
        };
        let near = homes
            .iter()
            .filter(|(_, wait)| *wait <= shortest.0 + HOME_TOLERANCE_S + patience);
        // Of the homes with room, the one that loses least by the load.
        let cost = |index: &usize| {
            self.targets[*index]
                .digest
                .victim_rate
                .unwrap_or(f32::INFINITY)
        };
        let near = near.min_by(|(a, _), (b, _)| cost(a).total_cmp(&cost(b)));
        // If every home is busy, the adapter goes where there is room.
        let anywhere = shortest.0.is_finite().then_some((shortest.1, shortest.0));
        let chosen = near.copied().or(anywhere)?;
        // The store serves one load at a time, for all targets.
        let load = LOAD_S * f64::from(1 + self.queued_loads);
        Some((chosen.0, chosen.1 + load + weights.load_penalty_s))
    }

    fn count_sent(&mut self, index: usize, query: &RouteQuery<'_>) {
        let routed = &mut self.targets[index];
        routed.sent += 1;
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
