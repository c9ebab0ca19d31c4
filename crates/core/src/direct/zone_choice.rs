//! Choice of another zone than the gateway's own, weighed against the traffic between zones and the other zone's callers.
//!
//! For engines, a gateway ranks the zones of a call before it asks them ([`rank_zones`]). Its own zone comes first if it
//! has the adapter loaded, as a copy elsewhere would only add traffic. Otherwise the call's home zone comes first, unless
//! its report shows that it has no slot for the call. Each other zone is asked only if its report shows that it may take
//! the call at a lower cost than the offer of the first one.
//!
//! What a zone reports as free is meant for its own callers first. Calls that leave their zone for a gain share the slots
//! that stayed free throughout the last second, which its own callers do not need, at most a configured share of them.
//! Each VM outside the zone has its part of that for each report ([`RemoteAllowance`]); otherwise all gateways would
//! choose the same zone until its next report. Calls that their own zone refused may take slots that are free now. Calls
//! for an adapter that their home zone has loaded are not bound by this: they take no adapter slot, and elsewhere they
//! would cost a load.
//!
//! For plain services, the holder that places all calls knows the calls in flight at each target and needs no reports. It
//! adds the cost of the transfer to targets outside the gateway's zone ([`PlainPreference`]).

use crate::{
    direct::{
        shortage::{ServiceReport, ShortageTable},
        zone_choice::ZoneCost::{AtLeast, Stale, Unable, Unknown},
    },
    ids::{AvailabilityZone, Instant, ServiceName},
};
use std::{collections::HashMap, time::Duration};

/// Latency of a message between two zones.
const ZONE_LATENCY: Duration = Duration::from_micros(1_400);
/// Weight of the newest answer in the average size: a change of the answers shows within about ten.
const ANSWER_WEIGHT: f64 = 0.1;

/// What the choice of another zone weighs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ZoneChoiceRule {
    /// Milliseconds of a caller's time that a kilobyte between zones is worth.
    pub traffic_price_ms_per_kb: f64,
    /// Largest part of a zone's free capacity that calls of other zones may take.
    pub max_remote_share: f64,
    /// Whether the zone of calls to engines is weighed as well. Where adapter slots are scarce, calls that stay in their zone
    /// load adapters there that another zone has: 0.3 more loads and 0.04 fewer calls in time on a heavy day.
    pub weighs_engines: bool,
}

impl ZoneChoiceRule {
    /// Cost of serving a call in another zone: both ways, and the price of the bytes of request and answer.
    #[must_use]
    pub fn transfer_cost(&self, bytes: u64) -> Duration {
        let price_ms = self.traffic_price_ms_per_kb * bytes as f64 / 1e3;
        2 * ZONE_LATENCY + Duration::from_secs_f64(price_ms / 1e3)
    }

    /// Whole slots of a zone's spare ones that calls of other zones may take.
    #[must_use]
    pub fn remote_part(&self, spare: u32) -> u32 {
        (f64::from(spare) * self.max_remote_share) as u32
    }
}

/// Average sizes of the answers of each service, in bytes.
#[derive(Clone, Debug, Default)]
pub struct AnswerSizes {
    averages: HashMap<ServiceName, f64>,
}

impl AnswerSizes {
    /// Records the size of a complete answer.
    pub fn record(&mut self, service: &ServiceName, bytes: u64) {
        let bytes = bytes as f64;
        match self.averages.get_mut(service) {
            Some(average) => *average += (bytes - *average) * ANSWER_WEIGHT,
            None => {
                self.averages.insert(service.clone(), bytes);
            }
        }
    }

    /// Expected size of an answer; 0 before the first one.
    #[must_use]
    pub fn expected(&self, service: &ServiceName) -> u64 {
        self.averages.get(service).map_or(0, |bytes| *bytes as u64)
    }
}

/// Position of a VM among those outside a zone, in an order that all VMs share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VmPosition {
    /// Index of this VM.
    pub index: u32,
    /// Number of VMs.
    pub count: u32,
}

impl VmPosition {
    /// This VM's part of a number of slots. The parts of all VMs add up to the number, and the VMs that get one more
    /// take turns from report to report.
    fn part(self, slots: u32, round: u64) -> u32 {
        let count = u64::from(self.count.max(1));
        let turn = (u64::from(self.index) + round) % count;
        let slots = u64::from(slots);
        let part = (turn + 1) * slots / count - turn * slots / count;
        u32::try_from(part).unwrap_or(u32::MAX)
    }
}

/// Which slots of a zone a call may take if it leaves its own zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RemoteNeed {
    /// It gains by leaving, so it may take slots that stayed free.
    Gain,
    /// Another zone refused it, so it may take any free slot.
    Refused,
}

/// Slots in a zone that calls of this VM have taken under one report.
#[derive(Clone, Copy, Debug, Default)]
struct TakenSlots {
    round: u64,
    calls: u32,
    loads: u32,
}

/// Slots in other zones that calls of this VM may take until the next reports.
#[derive(Clone, Debug, Default)]
pub struct RemoteAllowance {
    taken: HashMap<(AvailabilityZone, ServiceName), TakenSlots>,
}

impl RemoteAllowance {
    /// Whether a call may leave for a zone.
    #[must_use]
    pub fn has_room(
        &self,
        rule: &ZoneChoiceRule,
        zone: &AvailabilityZone,
        report: &ServiceReport,
        position: VmPosition,
        needs_load: bool,
        need: RemoteNeed,
    ) -> bool {
        let taken = self.taken_under(zone, report);
        let free = &report.shortage;
        let (calls, loads) = match need {
            RemoteNeed::Gain => (report.spare_call_slots, report.spare_adapter_slots),
            RemoteNeed::Refused => (free.free_call_slots, free.free_adapter_slots),
        };
        let part = |slots: u32| {
            let slots = rule.remote_part(slots);
            let part = position.part(slots, report.round);
            // Most VMs have no refused calls. The holder turns away those for which no slot is left.
            let least = u32::from(need == RemoteNeed::Refused && slots > 0);
            part.max(least)
        };
        taken.calls < part(calls) && (!needs_load || taken.loads < part(loads))
    }

    /// Takes the slots of a call that is about to leave for a zone.
    pub fn take(&mut self, zone: &AvailabilityZone, report: &ServiceReport, needs_load: bool) {
        let mut taken = self.taken_under(zone, report);
        taken.calls += 1;
        taken.loads += u32::from(needs_load);
        let key = (zone.clone(), report.service.clone());
        self.taken.insert(key, taken);
    }

    /// Returns the slots of a call that the zone did not take.
    pub fn give_back(&mut self, zone: &AvailabilityZone, report: &ServiceReport, needs_load: bool) {
        let key = (zone.clone(), report.service.clone());
        let taken = self.taken.get_mut(&key);
        if let Some(taken) = taken.filter(|taken| taken.round == report.round) {
            taken.calls = taken.calls.saturating_sub(1);
            taken.loads = taken.loads.saturating_sub(u32::from(needs_load));
        }
    }

    fn taken_under(&self, zone: &AvailabilityZone, report: &ServiceReport) -> TakenSlots {
        let key = (zone.clone(), report.service.clone());
        let taken = self.taken.get(&key).copied();
        taken
            .filter(|taken| taken.round == report.round)
            .unwrap_or(TakenSlots {
                round: report.round,
                ..TakenSlots::default()
            })
    }
}

/// Lowest cost at which a zone can serve a call, by its report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ZoneCost {
    /// There is no valid report, so the zone is asked as if it were not short.
    Unknown,
    /// The zone's reports have stopped, so no call leaves for it.
    Stale,
    /// The zone has no slot for the call, or none that calls of other zones may take.
    Unable,
    /// The zone can serve the call at this cost or a higher one.
    AtLeast(Duration),
}

/// A zone that may serve a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneProspect {
    /// The zone.
    pub zone: AvailabilityZone,
    /// Lowest cost by its report.
    pub cost: ZoneCost,
    /// Whether the target list shows the call's adapter loaded there.
    pub has_adapter: bool,
    /// Cost of the traffic to it; zero for the gateway's own zone.
    pub transfer: Duration,
    /// Whether the zone may take the call after others refused it, by its report.
    pub takes_refused: bool,
    /// Whether a call there counts against what callers of other zones may take.
    pub uses_allowance: bool,
}

impl ZoneProspect {
    /// Whether the zone may have capacity for the call.
    #[must_use]
    pub fn is_able(&self) -> bool {
        !matches!(self.cost, Unable | Stale)
    }

    /// Whether the newest report still shows a slot for a call that was ranked earlier. A search may wait for a load that
    /// fails, and reports change meanwhile.
    #[must_use]
    pub fn is_still_able(
        &self,
        reports: &ShortageTable,
        service: &ServiceName,
        now: Instant,
    ) -> bool {
        let report = reports.report(&self.zone, service, now);
        let cost = report.map(|report| {
            let is_remote = self.uses_allowance;
            lowest_cost(report, self.has_adapter, is_remote, Duration::ZERO)
        });
        !self.uses_allowance || cost.is_some_and(|cost| cost != Unable)
    }
}

/// A call as the choice of its zone weighs it.
#[derive(Clone, Copy, Debug)]
pub struct ChoiceSubject<'a> {
    /// Service of the call.
    pub service: &'a ServiceName,
    /// The gateway's own zone.
    pub own_zone: &'a AvailabilityZone,
    /// Bytes of the request and of the expected answer.
    pub bytes: u64,
    /// Penalty for a load from the weight store beyond its time, as in the costs that holders offer.
    pub load_penalty: Duration,
}

/// Reports and allowances of this VM.
#[derive(Clone, Copy, Debug)]
pub struct ChoiceKnowledge<'a> {
    /// Weights of the choice.
    pub rule: &'a ZoneChoiceRule,
    /// Reports of the zones.
    pub reports: &'a ShortageTable,
    /// Slots that calls of this VM may take in other zones.
    pub allowance: &'a RemoteAllowance,
}

/// Ranks the zones of a call. `zones` is the order by which its home zone comes first; each zone with whether the target
/// list shows the call's adapter there, and with the position of this VM among those outside the zone.
#[must_use]
pub fn rank_zones(
    zones: &[(AvailabilityZone, bool, VmPosition)],
    call: &ChoiceSubject<'_>,
    known: &ChoiceKnowledge<'_>,
    now: Instant,
) -> Vec<ZoneProspect> {
    let mut prospects: Vec<_> = zones
        .iter()
        .enumerate()
        .map(|(index, (zone, has_adapter, position))| {
            let is_remote = zone != call.own_zone;
            let is_bound = is_remote && !(index == 0 && *has_adapter);
            let report = known.reports.report(zone, call.service, now);
            let has_room = |report: &ServiceReport, need: RemoteNeed| {
                let allowance = known.allowance;
                let needs_load = !has_adapter;
                !is_bound
                    || allowance.has_room(known.rule, zone, report, *position, needs_load, need)
            };
            let cost = report
                .map(|report| lowest_cost(report, *has_adapter, is_remote, call.load_penalty));
            let takes_refused = report.is_some_and(|report| {
                cost != Some(Unable) && has_room(report, RemoteNeed::Refused)
            });
            ZoneProspect {
                zone: zone.clone(),
                cost: match report {
                    None if known.reports.is_stale(zone, call.service, now) => Stale,
                    None => Unknown,
                    Some(report) if has_room(report, RemoteNeed::Gain) => cost.unwrap_or(Unknown),
                    Some(_) => Unable,
                },
                takes_refused,
                has_adapter: *has_adapter,
                transfer: if is_remote {
                    known.rule.transfer_cost(call.bytes)
                } else {
                    Duration::ZERO
                },
                uses_allowance: is_bound && report.is_some(),
            }
        })
        .collect();
    let first = first_zone(&prospects, call.own_zone);
    prospects[..=first].rotate_right(1);
    prospects
}

/// Lowest cost at which a zone can serve a call by its report. The own zone's holder may let the call wait for a slot;
/// another zone has slots for calls from outside only while none of its own calls waits.
fn lowest_cost(
    report: &ServiceReport,
    has_adapter: bool,
    is_remote: bool,
    load_penalty: Duration,
) -> ZoneCost {
    let shortage = &report.shortage;
    let is_out_of_slots = shortage.free_adapter_slots == 0 || shortage.queued_calls > 0;
    if shortage.engines == 0 || shortage.free_call_slots == 0 {
        return Unable;
    }
    let prompt_wait = Duration::from_millis(u64::from(shortage.prompt_wait_ms));
    let load_wait = Duration::from_millis(u64::from(shortage.load_wait_ms));
    if has_adapter {
        AtLeast(prompt_wait)
    } else if is_remote && is_out_of_slots {
        Unable
    } else {
        AtLeast(load_wait.max(prompt_wait) + load_penalty)
    }
}

/// Index of the zone that is asked first.
fn first_zone(prospects: &[ZoneProspect], own_zone: &AvailabilityZone) -> usize {
    let own = prospects.iter().position(|zone| zone.zone == *own_zone);
    let is_reported = |zone: &ZoneProspect| matches!(zone.cost, AtLeast(_));
    let own_has_adapter =
        own.filter(|own| prospects[*own].has_adapter && is_reported(&prospects[*own]));
    if let Some(own) = own_has_adapter {
        return own;
    }
    let reported_own = own.filter(|own| is_reported(&prospects[*own]));
    match prospects.first().map(|zone| zone.cost) {
        Some(Unable) => {}
        Some(Stale) => return reported_own.unwrap_or(0),
        Some(Unknown | AtLeast(_)) | None => return 0,
    }
    let with_adapter = prospects
        .iter()
        .position(|zone| zone.has_adapter && is_reported(zone));
    let able_own = own.filter(|own| prospects[*own].is_able());
    let able = prospects.iter().position(ZoneProspect::is_able);
    // If no zone can take the call, the gateway's own zone decides about it without traffic to others.
    with_adapter.or(able_own).or(able).or(own).unwrap_or(0)
}

/// Preference of a plain service's call for targets in its gateway's zone.
#[derive(Clone, Copy, Debug)]
pub struct PlainPreference<'a> {
    /// The gateway's zone.
    pub zone: &'a AvailabilityZone,
    /// Cost of the traffic to another zone.
    pub transfer: Duration,
    /// Largest part of a target's free slots that calls of other zones may take.
    pub max_remote_share: f64,
    /// Longest expected time to the answer that is still in time.
    pub bound: Duration,
}

/// Slots of a plain target, and the calls at it.
#[derive(Clone, Copy, Debug)]
pub struct PlainSlots {
    /// Slots of the target.
    pub slots: u32,
    /// Calls in flight.
    pub calls: u32,
    /// Calls in flight from other zones than the target's.
    pub remote_calls: u32,
}

impl PlainPreference<'_> {
    /// Cost of a target in a zone beyond its expected time: the transfer, and as much as the whole bound if the answer
    /// is expected too late.
    #[must_use]
    pub fn surcharge(&self, zone: &AvailabilityZone, expected: Duration) -> Duration {
        let transfer = if zone == self.zone {
            Duration::ZERO
        } else {
            self.transfer
        };
        let is_late = expected + transfer > self.bound;
        transfer + if is_late { self.bound } else { Duration::ZERO }
    }

    /// Whether the call may take a slot of a target: any in its own zone, and elsewhere a free one of those that the
    /// target's own zone leaves to others.
    #[must_use]
    pub fn admits(&self, zone: &AvailabilityZone, target: PlainSlots) -> bool {
        let own_calls = target.calls.saturating_sub(target.remote_calls);
        let free = target.slots.saturating_sub(own_calls);
        let limit = (f64::from(free) * self.max_remote_share) as u32;
        zone == self.zone || (target.calls < target.slots && target.remote_calls < limit)
    }
}
