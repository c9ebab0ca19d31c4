//! Placement of calls to plain services, those whose targets are not engines.
//!
//! Plain services have few targets with few slots each. If every gateway placed calls by its own view only, many would
//! pick targets that are already full: with 70 gateways and one target of three left under heavy load, targets turned
//! away 45% of the sends, and a third of the calls that ran came late from a queue. So the holder of one zone places
//! all calls of a service. It knows every call in flight, accepts a call only where an answer in time is expected, and
//! has the others refused before they are sent. The zone follows from the service's name by rendezvous hashing. If its
//! holder does not answer, the next zone's is queried, and as a last resort each gateway picks a target by its own view.

use crate::{
    direct::{
        catalog::TargetEntry,
        health::{CallOutcome, HealthTable},
        limits::{AdvertisedLimit, RateLimitTable},
        millis,
        plain_pace::{PaceChanges, PaceCounts, PlainPace},
        planner::{CallKey, PlacementAnswer, RefusalCause},
        quotas::QuotaCharge,
        return_schedule::{RankCapacity, ReturnCounts, ReturnRequest, ReturnRule, ReturnSchedule},
        suspects::RequestFingerprint,
        zone_choice::{PlainPreference, PlainSlots},
        zones_ranked_by,
    },
    ids::{AvailabilityZone, Instant, ServiceName, TargetLife, TargetName, TargetRun, VmName},
};
use serde::{Deserialize, Serialize};
use std::{collections::HashMap, sync::Arc, time::Duration};

/// Call duration assumed for a target without any observation.
const INITIAL_CALL_TIME: Duration = Duration::from_millis(50);
/// Weight of the newest call in the average call duration. A target that becomes slow shows within about ten calls.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Time without a call, in call durations, after which a target's average counts no more where calls prefer their own
/// zone. Otherwise a target that started anew, or was slow for a moment, gets no call that would show how fast it is.
const FORGET_AFTER_CALLS: u32 = 8;
/// Multiple of the average to which a call duration is capped. A call whose end is reported late or that was delayed in
/// transit says little about its target: one call of 4 s raised the expected duration to 420 ms, and 380 calls were
/// refused within three seconds.
const MAX_OUTLIER_FACTOR: u32 = 3;
/// Fraction of the time left to the objective within which the answer has to be expected, by rank, the most urgent
/// first. It is below 1 because some calls take half as long again as usual, and smaller for lower ranks so that under
/// overload the least urgent calls are refused first.
const EXPECTED_TIME_FRACTIONS: [f64; 3] = [0.85, 0.75, 0.65];
/// Penalty for a target whose calls all fail, in calls in flight.
const FAILURE_PENALTY: f64 = 12.0;
/// Penalty for a degraded target, in calls in flight.
const DEGRADED_PENALTY: f64 = 50.0;
/// Penalty for a target that has just refused a call, in calls in flight.
const SHED_PENALTY: f64 = 6.0;
/// Penalty for a target in another zone when a gateway picks without a holder, in calls in flight.
const REMOTE_ZONE_PENALTY: f64 = 3.0;
/// Bounds of the retry delay stated to callers.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
const MAX_RETRY_AFTER: Duration = Duration::from_millis(1_500);
/// Retry delay if no target accepts calls.
const NO_TARGET_RETRY_AFTER: Duration = Duration::from_millis(400);

/// Request to place a call of a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlainRequest {
    /// Service to be called.
    pub service: ServiceName,
    /// Rank of the call; 0 is the most urgent.
    pub rank: u8,
    /// Time left to the latency objective of the call, in milliseconds.
    pub left_ms: u32,
    /// Targets already tried.
    pub exclude: Vec<TargetName>,
    /// Targets that requested a backoff from this gateway, not ended yet.
    #[serde(rename = "resting")]
    pub backing_off: Vec<TargetName>,
    /// Fingerprint of the request content.
    pub fingerprint: RequestFingerprint,
    /// Whether the call is a granted trial of a suspect request.
    pub is_trial: bool,
    /// Quota charge; none if the call is already charged.
    pub charge: Option<QuotaCharge>,
    /// Time left to the deadline of the call, in milliseconds; 0 if it is not known.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub deadline_ms: u32,
    /// Zone of the gateway, whose targets are preferred; none from a build or a VM without a preference.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<AvailabilityZone>,
    /// Cost of serving the call in another zone, in milliseconds.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub transfer_ms: u32,
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes the field by reference"
)]
fn is_zero(value: &u32) -> bool {
    *value == 0
}

impl PlainRequest {
    /// Whether the call has neither tried a target nor was asked by it to back off.
    fn allows(&self, target: &TargetName) -> bool {
        !self.exclude.contains(target) && !self.backing_off.contains(target)
    }

    /// Time left to the deadline, if known.
    fn deadline(&self) -> Option<Duration> {
        (self.deadline_ms > 0).then(|| Duration::from_millis(u64::from(self.deadline_ms)))
    }

    /// Fraction of the time left within which the answer has to be expected.
    fn fraction(&self) -> f64 {
        let rank = usize::from(self.rank).min(EXPECTED_TIME_FRACTIONS.len() - 1);
        EXPECTED_TIME_FRACTIONS[rank]
    }
}

/// Zones in the order in which their holders receive placement requests for a service. The order is the same on all VMs.
#[must_use]
pub fn placement_zones(service: &ServiceName, zones: &[AvailabilityZone]) -> Vec<AvailabilityZone> {
    zones_ranked_by(service.as_str(), zones)
}

/// Calls in flight at one target, and their average duration.
#[derive(Clone, Copy, Debug)]
struct TargetLoad {
    calls: u32,
    /// Calls of gateways in other zones.
    remote_calls: u32,
    /// Average duration of a call that has a slot to itself.
    call_time: Duration,
    /// When a call last changed the average.
    observed_at: Option<Instant>,
}

impl TargetLoad {
    /// Whether the average says little about the target now: no call is there, and none was for a while.
    fn is_outdated(&self, now: Instant) -> bool {
        let is_recent = |at: Instant| now.since(at) < self.call_time * FORGET_AFTER_CALLS;
        self.calls == 0 && !self.observed_at.is_some_and(is_recent)
    }
}

impl Default for TargetLoad {
    fn default() -> Self {
        Self {
            calls: 0,
            remote_calls: 0,
            call_time: INITIAL_CALL_TIME,
            observed_at: None,
        }
    }
}

/// Number of calls that share each slot of a target with this many calls; at least 1.
fn calls_per_slot(calls: u32, slots: u32) -> f64 {
    (f64::from(calls) / f64::from(slots.max(1))).max(1.0)
}

#[derive(Clone, Debug)]
struct PlacedCall {
    run: TargetRun,
    sent: Instant,
    /// Number of calls that shared each slot when the call was sent.
    calls_per_slot: f64,
    /// Whether the call left its gateway's zone.
    is_remote: bool,
}

/// Planner of calls to plain services.
#[derive(Clone, Debug, Default)]
pub struct PlainPlanner {
    loads: HashMap<TargetRun, TargetLoad>,
    calls: HashMap<CallKey, PlacedCall>,
    lives: HashMap<TargetName, TargetLife>,
    health: HealthTable,
    /// Rate limits that targets announced.
    rate_limits: RateLimitTable,
    /// Paces of uneven targets; without it, the average of about ten calls counts.
    pace: Option<PlainPace>,
    /// Part of a target's free slots that calls of other zones may take; none without a preference for zones.
    max_remote_share: Option<f64>,
    /// Return times of refused calls, by service; without a rule, callers are told the excess of their own wait.
    return_rule: Option<ReturnRule>,
    returns: HashMap<ServiceName, ReturnSchedule>,
}

impl PlainPlanner {
    /// A planner for targets that are slow or silent at times.
    #[must_use]
    pub fn for_uneven_targets() -> Self {
        Self {
            pace: Some(PlainPace::default()),
            ..Self::default()
        }
    }

    /// Lets calls prefer targets in the zone of their gateway.
    pub fn prefer_own_zones(&mut self, max_remote_share: Option<f64>) {
        self.max_remote_share = max_remote_share;
    }

    /// The planner with return times for refused calls.
    #[must_use]
    pub fn with_returns(mut self, rule: Option<ReturnRule>) -> Self {
        self.return_rule = rule;
        self
    }

    /// Places a call at one of `targets`, the service's targets that accept new work.
    pub fn place(
        &mut self,
        key: CallKey,
        request: &PlainRequest,
        targets: &[Arc<TargetEntry>],
        now: Instant,
    ) -> PlacementAnswer {
        self.update_lives(targets);
        self.drop_expired(now);
        if self.pace.is_none() && self.preference(request, now).is_some() {
            self.forget_outdated_averages(targets, now);
        }
        let best = self.best(request, targets, now);
        let best = match best.filter(|entry| !self.is_refused_at(entry, request, now)) {
            Some(entry) => Some(entry),
            None => self.due_reconnection(request, targets, now).or(best),
        };
        let Some(entry) = best else {
            let waits = targets
                .iter()
                .map(|entry| self.rate_limits.admission_wait(&entry.name, now));
            let retry_after = waits.min().unwrap_or_default().max(NO_TARGET_RETRY_AFTER);
            return refuse(retry_after, Duration::ZERO, RefusalCause::NoEngine);
        };
        let run = entry.run();
        let calls = self.calls_in_flight(&run);
        let call_time = self.call_time(&run, now);
        let next_wait = call_time.mul_f64(calls_per_slot(calls + 2, entry.slots));
        let calls_per_slot = calls_per_slot(calls + 1, entry.slots);
        let token_wait = self.rate_limits.wait(&entry.name, now);
        let expected = token_wait + call_time.mul_f64(calls_per_slot);
        let bound = self.bound(request, now);
        let is_occupied = calls >= entry.slots || !token_wait.is_zero();
        let is_late = expected > bound && is_occupied;
        let is_full = self.is_full(&run, calls, now);
        if is_full || is_late && !self.admits_late(request, expected, token_wait + next_wait, now) {
            let cause = RefusalCause::TooLong(millis(expected));
            let retry_after = self.return_time(request, targets, now);
            let retry_after = retry_after.unwrap_or(expected.saturating_sub(bound));
            return refuse(retry_after, token_wait, cause);
        }
        let sent_at = now.after(token_wait);
        self.rate_limits.take_token(&entry.name, sent_at, now);
        if let Some(schedule) = self.returns.get_mut(&request.service) {
            schedule.keep(request.fingerprint, request.rank, now);
        }
        let is_remote = request
            .zone
            .as_ref()
            .is_some_and(|zone| *zone != entry.zone);
        let load = self.loads.entry(run.clone()).or_default();
        load.calls += 1;
        load.remote_calls += u32::from(is_remote);
        if let Some(pace) = &mut self.pace {
            pace.record_sent(&run, &key, sent_at, calls_per_slot, request.deadline());
            if !is_late {
                pace.record_bound(bound, now);
            }
        }
        let call = PlacedCall {
            run,
            sent: sent_at,
            calls_per_slot,
            is_remote,
        };
        self.calls.insert(key, call);
        PlacementAnswer::Send {
            target: entry.name.clone(),
            life: entry.life,
            wait_ms: millis(token_wait),
            fetch: None,
            expected_ms: millis(expected),
            version: None,
            is_in_high_demand: false,
            is_limited: self.rate_limits.is_limited(&entry.name),
        }
    }

    /// Expected time of a call that has a slot to itself.
    fn call_time(&self, run: &TargetRun, now: Instant) -> Duration {
        if let Some(pace) = &self.pace {
            return pace.call_time(run, now);
        }
        let load = self.loads.get(run).copied().unwrap_or_default();
        load.call_time
    }

    /// Whether a call would wait too long at its best target, as a first estimate.
    fn is_refused_at(&self, entry: &TargetEntry, request: &PlainRequest, now: Instant) -> bool {
        let run = entry.run();
        let calls = self.calls_in_flight(&run);
        let call_time = self.call_time(&run, now);
        let expected = call_time.mul_f64(calls_per_slot(calls + 1, entry.slots));
        calls >= entry.slots && expected > self.bound(request, now)
    }

    /// A target that could not be reached, and to which a call that would be refused tries to connect again. A call that is not
    /// connected has not begun and moves on.
    fn due_reconnection<'a>(
        &self,
        request: &PlainRequest,
        targets: &'a [Arc<TargetEntry>],
        now: Instant,
    ) -> Option<&'a Arc<TargetEntry>> {
        let pace = self.pace.as_ref()?;
        targets.iter().find(|entry| {
            let name = &entry.name;
            self.health.is_unreachable(name, now)
                && request.allows(name)
                && self.admits(entry, now)
                && pace.is_reconnection_due(&entry.run(), now)
        })
    }

    /// Time after which a refused call should come back: when the targets have answered those that are in the way, and the calls of
    /// its rank and of more urgent ones that were refused before. Nothing is reserved, as a call that comes back is often late
    /// and would take the place of one in time.
    fn return_time(
        &mut self,
        request: &PlainRequest,
        targets: &[Arc<TargetEntry>],
        now: Instant,
    ) -> Option<Duration> {
        let rule = self.return_rule?;
        let bound = self.bound(request, now).as_secs_f64();
        let mut capacity = RankCapacity {
            level: 0.0,
            per_s: 0.0,
        };
        let reachable = targets.iter();
        for entry in reachable.filter(|entry| !self.health.is_unreachable(&entry.name, now)) {
            let run = entry.run();
            let call_time = self.call_time(&run, now).as_secs_f64().max(1e-4);
            let per_s = f64::from(entry.slots.max(1)) / call_time;
            capacity.per_s += per_s;
            capacity.level += per_s * bound - f64::from(self.calls_in_flight(&run));
        }
        let returning = ReturnRequest {
            fingerprint: request.fingerprint,
            rank: request.rank,
            units: 1.0,
            within: request.deadline().map_or(rule.max_wait, |left| left / 3),
        };
        let schedule = self.returns.entry(request.service.clone()).or_default();
        schedule.expire(now);
        Some(schedule.assign(&returning, capacity, &rule, now))
    }

    /// What became of the return times of all services.
    #[must_use]
    pub fn return_counts(&self) -> ReturnCounts {
        let counts = self.returns.values().map(ReturnSchedule::counts);
        counts.fold(ReturnCounts::default(), ReturnCounts::plus)
    }

    /// Whether a target with this many calls in flight has lately rejected another one.
    fn is_full(&self, run: &TargetRun, calls: u32, now: Instant) -> bool {
        let pace = self.pace.as_ref();
        pace.is_some_and(|pace| pace.is_full(run, calls, now))
    }

    /// Longest expected time to the answer with which a call is placed.
    fn bound(&self, request: &PlainRequest, now: Instant) -> Duration {
        let fraction = request.fraction();
        let pace = self.pace.as_ref();
        let fraction = pace.map_or(fraction, |pace| pace.expected_fraction(fraction, now));
        Duration::from_millis(u64::from(request.left_ms)).mul_f64(fraction)
    }

    /// Whether a call that is expected late should be placed nevertheless.
    fn admits_late(
        &mut self,
        request: &PlainRequest,
        expected: Duration,
        next: Duration,
        now: Instant,
    ) -> bool {
        let deadline = request.deadline().zip(self.pace.as_mut());
        deadline.is_some_and(|(deadline, pace)| {
            pace.admits_late(expected, next, deadline.mul_f64(request.fraction()), now)
        })
    }

    /// Drops calls whose end should have been reported by now.
    fn drop_expired(&mut self, now: Instant) {
        let pace = self.pace.as_mut();
        for key in pace.map_or_else(Vec::new, |pace| pace.take_expired(now)) {
            self.call_ended(&key, None, now);
        }
    }

    /// Numbers of the decisions by the paces of uneven targets.
    #[must_use]
    pub fn pace_counts(&self, now: Instant) -> PaceCounts {
        let pace = self.pace.as_ref();
        pace.map_or_else(PaceCounts::default, |pace| pace.counts(now))
    }

    /// Changes of the paces of uneven targets since the last call of this function.
    pub fn take_pace_changes(&mut self, now: Instant) -> PaceChanges {
        self.drop_expired(now);
        let pace = self.pace.as_mut();
        pace.map_or_else(PaceChanges::default, |pace| pace.take_changes(now))
    }

    /// Takes targets whose average is outdated for as fast as the fastest one of the service.
    fn forget_outdated_averages(&mut self, targets: &[Arc<TargetEntry>], now: Instant) {
        let loads = targets
            .iter()
            .filter_map(|entry| self.loads.get(&entry.run()));
        let observed = loads.filter(|load| load.observed_at.is_some());
        let Some(fastest) = observed.map(|load| load.call_time).min() else {
            return;
        };
        for entry in targets {
            let load = self.loads.entry(entry.run()).or_default();
            if load.is_outdated(now) {
                load.call_time = load.call_time.min(fastest);
            }
        }
    }

    /// Forgets the health of targets that have restarted.
    fn update_lives(&mut self, targets: &[Arc<TargetEntry>]) {
        for entry in targets {
            if self.lives.get(&entry.name) != Some(&entry.life) {
                self.lives.insert(entry.name.clone(), entry.life);
                self.health.forget(&entry.name);
            }
        }
    }

    fn best<'a>(
        &self,
        request: &PlainRequest,
        targets: &'a [Arc<TargetEntry>],
        now: Instant,
    ) -> Option<&'a Arc<TargetEntry>> {
        let preference = self.preference(request, now);
        let expected = |entry: &TargetEntry| {
            let run = entry.run();
            let calls_per_slot = calls_per_slot(self.calls_in_flight(&run) + 1, entry.slots);
            self.rate_limits.wait(&entry.name, now)
                + self.call_time(&run, now).mul_f64(calls_per_slot)
        };
        let surcharge = |entry: &TargetEntry| {
            let preference = preference.as_ref();
            preference.map_or(Duration::ZERO, |preference| {
                preference.surcharge(&entry.zone, expected(entry))
            })
        };
        let cost = |entry: &TargetEntry| {
            let run = entry.run();
            let in_flight = self.calls_in_flight(&run);
            let call_time = self.call_time(&run, now);
            let slot_turn = call_time.div_f64(f64::from(entry.slots.max(1)));
            // Among targets with free slots, prefer the one with the fewest calls.
            let penalty = health_penalty(&self.health, &entry.name, now);
            let pace = self.pace.as_ref();
            let weight = pace.map_or(1.0, |pace| pace.failure_weight(&run, now));
            let calls = f64::from(in_flight) * 0.1 + penalty * weight;
            expected(entry) + slot_turn.mul_f64(calls) + surcharge(entry)
        };
        let is_eligible =
            |entry: &TargetEntry| request.allows(&entry.name) && self.admits(entry, now);
        let order = |left: &TargetEntry, right: &TargetEntry| cost(left).cmp(&cost(right));
        let pick = |is_eligible: &dyn Fn(&TargetEntry) -> bool| {
            let pick_any = || pick_best(&self.health, is_eligible, targets, now, order);
            let Some(preference) = &preference else {
                return pick_any();
            };
            let is_admitted = |entry: &TargetEntry| {
                let load = self.load_of(entry);
                let slots = PlainSlots {
                    slots: entry.slots,
                    calls: load.calls,
                    remote_calls: load.remote_calls,
                };
                is_eligible(entry) && preference.admits(&entry.zone, slots)
            };
            // A call that would be late or unserved within these bounds may take any target, so that none is refused while
            // another zone has a free slot.
            pick_best(&self.health, is_admitted, targets, now, order)
                .filter(|entry| expected(entry) <= preference.bound)
                .or_else(pick_any)
        };
        if let Some(pace) = &self.pace {
            let answers = |entry: &TargetEntry| {
                let run = entry.run();
                let is_full = self.is_full(&run, self.calls_in_flight(&run), now);
                is_eligible(entry) && !is_full && !pace.is_avoided(&run, now)
            };
            let best = pick(&answers);
            if best.is_some() {
                return best;
            }
        }
        pick(&is_eligible)
    }

    fn load_of(&self, entry: &TargetEntry) -> TargetLoad {
        self.loads.get(&entry.run()).copied().unwrap_or_default()
    }

    /// Preference of a call for its gateway's zone, if the gateway names it and this planner heeds it.
    fn preference<'a>(
        &self,
        request: &'a PlainRequest,
        now: Instant,
    ) -> Option<PlainPreference<'a>> {
        Some(PlainPreference {
            zone: request.zone.as_ref()?,
            transfer: Duration::from_millis(u64::from(request.transfer_ms)),
            max_remote_share: self.max_remote_share?,
            bound: self.bound(request, now),
        })
    }

    fn calls_in_flight(&self, run: &TargetRun) -> u32 {
        self.loads.get(run).map_or(0, |load| load.calls)
    }

    /// Whether a target's maximum of rejections leaves room for another call.
    fn admits(&self, entry: &TargetEntry, now: Instant) -> bool {
        let in_flight = self.calls_in_flight(&entry.run());
        self.rate_limits.admits(&entry.name, in_flight, now)
    }

    /// Whether a call was placed by this planner and has not ended.
    #[must_use]
    pub fn has_call(&self, key: &CallKey) -> bool {
        self.calls.contains_key(key)
    }

    /// Records the end of a call; without an outcome if its gateway abandoned it.
    pub fn call_ended(&mut self, key: &CallKey, outcome: Option<CallOutcome>, now: Instant) {
        let Some(call) = self.calls.remove(key) else {
            return;
        };
        if let Some(pace) = &mut self.pace {
            pace.record_end(&call.run, key, outcome, now);
        }
        if let Some(outcome) = outcome {
            self.health.record(&call.run.name, outcome, now);
            self.record_admission(&call.run, outcome, now);
        }
        let Some(load) = self.loads.get_mut(&call.run) else {
            return;
        };
        load.calls = load.calls.saturating_sub(1);
        // A target that rejects calls within its slots is in other trouble, which its health tells.
        if let (Some(CallOutcome::Overloaded(_)), Some(pace)) = (outcome, &mut self.pace)
            && call.calls_per_slot > 1.0
        {
            pace.record_full(&call.run, load.calls, now);
        }
        load.remote_calls = load.remote_calls.saturating_sub(u32::from(call.is_remote));
        if outcome == Some(CallOutcome::Success) {
            let duration = now.since(call.sent).div_f64(call.calls_per_slot);
            let duration = duration.min(load.call_time * MAX_OUTLIER_FACTOR);
            load.observed_at = Some(now);
            load.call_time =
                load.call_time.mul_f64(1.0 - SAMPLE_WEIGHT) + duration.mul_f64(SAMPLE_WEIGHT);
        }
    }

    /// Records whether a target accepted a call.
    fn record_admission(&mut self, run: &TargetRun, outcome: CallOutcome, now: Instant) {
        let is_accepted = match outcome {
            CallOutcome::Success | CallOutcome::Failed => true,
            CallOutcome::Overloaded(_) => false,
            CallOutcome::ConnectFailed => return,
        };
        let in_flight = self.calls_in_flight(run);
        self.rate_limits
            .record_outcome(&run.name, is_accepted, in_flight, now);
    }

    /// Drops all calls of an unreachable gateway.
    pub fn forget_gateway(&mut self, vm: &VmName, now: Instant) {
        let keys: Vec<_> = self
            .calls
            .keys()
            .filter(|key| key.vm == *vm)
            .cloned()
            .collect();
        for key in keys {
            self.call_ended(&key, None, now);
        }
    }

    /// Forgets connection failures of the targets that match, as the path to them is restored.
    pub fn forget_connect_failures(&mut self, is_affected: impl Fn(&TargetName) -> bool) {
        self.health.forget_connect_failures(is_affected);
    }

    /// Records the rate limit that a target announced in an answer.
    pub fn record_limit(&mut self, limit: &AdvertisedLimit, now: Instant) {
        let in_flight = self.calls_in_flight(&limit.run);
        self.rate_limits.record(limit, in_flight, now);
    }

    /// Forgets targets for which `keep` is false, except for the calls still in flight there.
    pub fn retain(&mut self, keep: impl Fn(&TargetRun) -> bool) {
        self.loads.retain(|run, load| load.calls > 0 || keep(run));
        let loads = &self.loads;
        let is_present = |name: &TargetName| loads.keys().any(|run| run.name == *name);
        self.health.retain(is_present);
        self.lives.retain(|name, _| is_present(name));
        if let Some(pace) = &mut self.pace {
            pace.retain(&keep);
        }
        self.rate_limits.retain(&keep);
    }
}

/// Picks a target for a gateway that no holder answers, by the gateway's own calls in flight.
#[must_use]
pub fn pick_without_holder<'a>(
    zone: &AvailabilityZone,
    health: &HealthTable,
    in_flight: &HashMap<TargetRun, u32>,
    tried: &[TargetName],
    targets: &'a [Arc<TargetEntry>],
    now: Instant,
) -> Option<&'a Arc<TargetEntry>> {
    let cost = |entry: &TargetEntry| {
        let calls = in_flight.get(&entry.run()).copied().unwrap_or(0);
        let mut cost = f64::from(calls) + health_penalty(health, &entry.name, now);
        if entry.zone != *zone {
            cost += REMOTE_ZONE_PENALTY;
        }
        cost
    };
    let is_eligible = |entry: &TargetEntry| !tried.contains(&entry.name);
    pick_best(health, is_eligible, targets, now, |left, right| {
        cost(left).total_cmp(&cost(right))
    })
}

/// Penalty for a target's health, in calls in flight.
fn health_penalty(health: &HealthTable, target: &TargetName, now: Instant) -> f64 {
    let mut cost = FAILURE_PENALTY * health.failure_rate(target);
    if health.is_degraded(target) {
        cost += DEGRADED_PENALTY;
    }
    if health.is_overloaded(target, now) {
        cost += SHED_PENALTY;
    }
    cost
}

fn pick_best<'a>(
    health: &HealthTable,
    is_eligible: impl Fn(&TargetEntry) -> bool,
    targets: &'a [Arc<TargetEntry>],
    now: Instant,
    order: impl Fn(&TargetEntry, &TargetEntry) -> std::cmp::Ordering,
) -> Option<&'a Arc<TargetEntry>> {
    let candidates = || targets.iter().filter(|entry| is_eligible(entry));
    let best = candidates()
        .filter(|entry| !health.is_unreachable(&entry.name, now))
        .min_by(|left, right| order(left, right));
    // Without any other candidate, a target with a single failed connection is still tried. After several failures the
    // call is refused at once.
    best.or_else(|| candidates().find(|entry| !health.is_down(&entry.name, now)))
}

/// Refuses a call. The retry delay may exceed its usual bound if the target's rate limit requires a longer wait.
fn refuse(retry_after: Duration, token_wait: Duration, cause: RefusalCause) -> PlacementAnswer {
    let max_retry_after = MAX_RETRY_AFTER.max(token_wait);
    PlacementAnswer::Refuse {
        retry_after_ms: millis(retry_after.clamp(MIN_RETRY_AFTER, max_retry_after)),
        cause,
    }
}
