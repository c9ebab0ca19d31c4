//! Capacity that a zone has left for a service, as its holder observes it.
//!
//! A holder observes its zone once in [`REPORT_INTERVAL`] and sends the same [`ServiceReport`] with its heartbeats to all
//! VMs that are linked to it, so that these can split what it offers to callers of other zones. A report is soft state:
//! it is replaced by the next one and expires after [`REPORT_TTL`]. A zone without a report counts as not short. A zone
//! whose reports have stopped counts as stale for [`STALE_TTL`]: it may be partitioned from this one.

use crate::ids::{AvailabilityZone, Instant, ServiceName};
use serde::{Deserialize, Serialize};
use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

/// Time from its arrival for which a report counts. Heartbeats come every 400 ms, so two of them may be lost.
pub const REPORT_TTL: Duration = Duration::from_millis(1_500);
/// Age of the last report up to which a zone counts as stale. A zone gets a new holder within about 5 s, and one of an
/// earlier build reports nothing.
pub const STALE_TTL: Duration = Duration::from_secs(10);
/// Interval between two observations of a zone, that of heartbeats.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(400);
/// Time for which slots must have been free to count as spare. Calls take and free slots many times in it, so what stays
/// free is what the zone's own callers do not need at their rate of that second.
const SPARE_WINDOW: Duration = Duration::from_secs(1);

/// Free capacity and expected waits of one service in a zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ServiceShortage {
    /// Adapter slots that are empty or whose adapter may be evicted now.
    pub free_adapter_slots: u32,
    /// Call slots without a call.
    pub free_call_slots: u32,
    /// Calls that wait for an adapter slot.
    pub queued_calls: u32,
    /// Engines that take calls.
    pub engines: u32,
    /// Expected milliseconds until an adapter that no engine of the zone has can serve a call.
    pub load_wait_ms: u32,
    /// Milliseconds that a prompt waits for others in prefill at the least-loaded engine.
    pub prompt_wait_ms: u32,
    /// Loads from the weight store that the holder allows at once.
    pub load_limit: u32,
    /// Expected milliseconds of one load.
    pub load_ms: u32,
}

/// Observation of one service in a zone, with what its callers leave to those of other zones.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceReport {
    /// The service.
    pub service: ServiceName,
    /// Its free capacity and expected waits.
    pub shortage: ServiceShortage,
    /// Number of the observation, the same at all VMs that receive it.
    #[serde(default)]
    pub round: u64,
    /// Call slots that were free throughout the last second.
    #[serde(default)]
    pub spare_call_slots: u32,
    /// Adapter slots that were free throughout the last second.
    #[serde(default)]
    pub spare_adapter_slots: u32,
}

/// Number of the observation that is due at a time.
#[must_use]
pub fn report_round(now: Instant) -> u64 {
    now.0 / u64::try_from(REPORT_INTERVAL.as_micros()).unwrap_or(u64::MAX)
}

/// Slots of a zone that stayed free for a second.
#[derive(Clone, Debug, Default)]
pub struct SpareSlots {
    /// Free call slots and adapter slots at each observation.
    observed: VecDeque<(Instant, u32, u32)>,
}

impl SpareSlots {
    /// Records an observation of the zone.
    pub fn record(&mut self, shortage: &ServiceShortage, now: Instant) {
        let is_old = |at: &Instant| now.since(*at) >= SPARE_WINDOW;
        while self.observed.front().is_some_and(|(at, ..)| is_old(at)) {
            self.observed.pop_front();
        }
        let (calls, loads) = (shortage.free_call_slots, shortage.free_adapter_slots);
        self.observed.push_back((now, calls, loads));
    }

    /// Report of the last observation, which has this number.
    #[must_use]
    pub fn report(
        &self,
        service: &ServiceName,
        shortage: ServiceShortage,
        round: u64,
    ) -> ServiceReport {
        let calls = self.observed.iter().map(|(_, calls, _)| *calls);
        let loads = self.observed.iter().map(|(.., loads)| *loads);
        ServiceReport {
            service: service.clone(),
            shortage,
            round,
            spare_call_slots: calls.min().unwrap_or_default(),
            spare_adapter_slots: loads.min().unwrap_or_default(),
        }
    }
}

/// Limit and duration of loads that another zone's holder has learned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadEstimate {
    /// Loads that it allows at once.
    pub limit: u32,
    /// Expected duration of a load.
    pub load_time: Duration,
}

#[derive(Clone, Debug)]
struct TimedReport {
    report: ServiceReport,
    received_at: Instant,
}

/// Newest reports of all zones, as a VM received them.
#[derive(Clone, Debug, Default)]
pub struct ShortageTable {
    reports: HashMap<(AvailabilityZone, ServiceName), TimedReport>,
}

impl ShortageTable {
    /// Records the reports of a zone's holder. A service that it no longer reports is forgotten.
    pub fn record(&mut self, zone: &AvailabilityZone, reports: Vec<ServiceReport>, now: Instant) {
        if reports.is_empty() {
            return;
        }
        self.reports.retain(|(reported, _), _| reported != zone);
        for report in reports {
            let key = (zone.clone(), report.service.clone());
            let received_at = now;
            self.reports.insert(
                key,
                TimedReport {
                    report,
                    received_at,
                },
            );
        }
    }

    /// Report of a zone about a service, unless it has expired.
    #[must_use]
    pub fn report(
        &self,
        zone: &AvailabilityZone,
        service: &ServiceName,
        now: Instant,
    ) -> Option<&ServiceReport> {
        let timed = self.reports.get(&(zone.clone(), service.clone()))?;
        timed.is_valid(now).then_some(&timed.report)
    }

    /// Whether a zone reported about a service a short time ago and does not any more.
    #[must_use]
    pub fn is_stale(&self, zone: &AvailabilityZone, service: &ServiceName, now: Instant) -> bool {
        let timed = self.reports.get(&(zone.clone(), service.clone()));
        timed.is_some_and(|timed| !timed.is_valid(now) && now.since(timed.received_at) < STALE_TTL)
    }

    /// What other zones have learned about loads of a service: the smallest limit, and the load time that goes with it.
    /// All zones share one weight store, so the smallest limit is the one that burdens it least.
    #[must_use]
    pub fn load_estimate(
        &self,
        own_zone: &AvailabilityZone,
        service: &ServiceName,
        now: Instant,
    ) -> Option<LoadEstimate> {
        let others = self
            .reports
            .iter()
            .filter(|((zone, reported), _)| zone != own_zone && reported == service);
        let shortages = others
            .filter(|(_, timed)| timed.is_valid(now))
            .map(|(_, timed)| timed.report.shortage)
            .filter(|shortage| shortage.load_limit > 0 && shortage.load_ms > 0);
        let smallest = shortages.min_by_key(|shortage| (shortage.load_limit, shortage.load_ms))?;
        Some(LoadEstimate {
            limit: smallest.load_limit,
            load_time: Duration::from_millis(u64::from(smallest.load_ms)),
        })
    }
}

impl TimedReport {
    fn is_valid(&self, now: Instant) -> bool {
        now.since(self.received_at) < REPORT_TTL
    }
}
