//! How many VMs of a zone are overloaded, so that an overloaded VM knows whether callers that it turns away meet one with
//! processor time left.
//!
//! Each VM tells the zone's holder with its heartbeats whether it is overloaded, and the holder tells all VMs of the zone how many
//! are. Both lapse with the heartbeats.

use crate::ids::{Instant, VmName};
use serde::{Deserialize, Serialize};
use std::{collections::HashMap, time::Duration};

/// Age from which a report counts no more; heartbeats are 400 ms apart, and those of an overloaded VM come late.
const MAX_REPORT_AGE: Duration = Duration::from_millis(1_500);

/// Number of overloaded VMs in a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OverloadCount {
    /// VMs that are overloaded.
    pub overloaded: u32,
}

/// What a VM has heard about the load of its zone's VMs.
#[derive(Debug, Default)]
pub struct ZoneLoad {
    /// VMs that reported overload, and when they did last.
    overloaded: HashMap<VmName, Instant>,
    /// What the holder reported.
    reported: Option<(OverloadCount, Instant)>,
}

impl ZoneLoad {
    /// Records whether another VM of the zone is overloaded.
    pub fn record_vm(&mut self, vm: &VmName, is_overloaded: bool, now: Instant) {
        self.overloaded
            .retain(|_, at| now.since(*at) <= MAX_REPORT_AGE);
        if is_overloaded {
            self.overloaded.insert(vm.clone(), now);
        } else {
            self.overloaded.remove(vm);
        }
    }

    /// Records how many VMs of the zone are overloaded, as its holder counts them.
    pub fn record_count(&mut self, count: OverloadCount, now: Instant) {
        self.reported = Some((count, now));
    }

    /// Counts the overloaded VMs of the zone for the others; `None` if there are none.
    #[must_use]
    pub fn count(&self, is_self_overloaded: bool, now: Instant) -> Option<OverloadCount> {
        let overloaded = self.heard_overloaded(now) + u32::from(is_self_overloaded);
        (overloaded > 0).then_some(OverloadCount { overloaded })
    }

    /// Whether at least half of the other VMs of the zone have processor time left, for a VM that is overloaded itself. `vms` is
    /// the number of the zone's VMs.
    #[must_use]
    pub fn others_have_time(&self, vms: u32, now: Instant) -> bool {
        let others = vms.saturating_sub(1);
        let reported = self
            .reported
            .filter(|(_, at)| now.since(*at) <= MAX_REPORT_AGE)
            .map_or(0, |(count, _)| count.overloaded.saturating_sub(1));
        let overloaded = reported.max(self.heard_overloaded(now));
        others > 0 && overloaded * 2 <= others
    }

    fn heard_overloaded(&self, now: Instant) -> u32 {
        let heard = self.overloaded.values();
        let recent = heard.filter(|at| now.since(**at) <= MAX_REPORT_AGE);
        u32::try_from(recent.count()).unwrap_or(u32::MAX)
    }
}
