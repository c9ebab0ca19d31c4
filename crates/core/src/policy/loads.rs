//! Order of adapter loads across holders, and backoff after failed loads.
//!
//! The weight store serves one load at a time at full speed. Holders exchange notices with the number of their loads in
//! progress and the benefit of their best next load; the highest bid starts next. There is no consensus on the order,
//! because two concurrent loads only slow each other down.

use crate::ids::{AdapterVersion, Instant, TargetName, VmName};
use serde::{Deserialize, Serialize};
use std::{collections::HashMap, time::Duration};

/// A load that a holder proposes to start.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadBid {
    /// Target that would load the adapter.
    pub target: TargetName,
    /// Adapter and version to load.
    pub model: AdapterVersion,
    /// Adapter to evict first; `None` if a slot is free.
    pub evict: Option<AdapterVersion>,
    /// Benefit, in waiting requests weighted by class and waiting time.
    pub benefit: f64,
    /// Whether requests are waiting for the adapter; false for a preload.
    pub demanded: bool,
}

/// Load state that a holder announces to the other holders.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadNotice {
    /// Loads in progress at the holder.
    pub loading: u32,
    /// Benefit of its best bid; zero if it has none.
    pub best_bid: f64,
}

/// Age from which a notice is ignored, so that a lost holder does not block the others.
const NOTICE_TTL: Duration = Duration::from_secs(3);

/// Decides when this daemon may start a load, from the latest notice of each holder.
#[derive(Clone, Debug, Default)]
pub struct LoadArbiter {
    notices: HashMap<VmName, (LoadNotice, Instant)>,
}

impl LoadArbiter {
    /// Stores the latest notice of a VM.
    pub fn record_notice(&mut self, vm: &VmName, notice: LoadNotice, now: Instant) {
        self.notices.insert(vm.clone(), (notice, now));
    }

    /// Whether this daemon may start the load of its best bid now.
    ///
    /// Refused if another idle holder has a higher bid, or an equal one and a lower VM name, or if
    /// `max_concurrent_loads` loads are already in progress.
    #[must_use]
    pub fn may_start_load(
        &self,
        own_vm: &VmName,
        own_notice: &LoadNotice,
        max_concurrent_loads: u32,
        now: Instant,
    ) -> bool {
        let mut loading = own_notice.loading;
        for (vm, (notice, at)) in &self.notices {
            if vm == own_vm || now.since(*at) > NOTICE_TTL {
                continue;
            }
            loading += notice.loading;
            let has_precedence = notice.best_bid > own_notice.best_bid
                || (notice.best_bid == own_notice.best_bid && vm < own_vm);
            if notice.best_bid > 0.0 && has_precedence && notice.loading == 0 {
                return false;
            }
        }
        loading < max_concurrent_loads && own_notice.best_bid > 0.0
    }
}

/// Backoff after the first failed load; doubles with each further failure.
const MIN_BACKOFF: Duration = Duration::from_millis(500);
const MAX_BACKOFF: Duration = Duration::from_secs(30);
/// Consecutive failures from which the waiting requests are refused.
const MAX_FAILURES: u32 = 3;

/// Exponential backoff of the failed loads of one target, by adapter.
#[derive(Clone, Debug, Default)]
pub struct LoadBackoff {
    failures: HashMap<AdapterVersion, (u32, Instant)>,
}

impl LoadBackoff {
    /// Records a failed load; returns whether the adapter's waiting requests should be refused.
    pub fn record_failure(&mut self, model: &AdapterVersion, now: Instant) -> bool {
        let (count, _) = self.failures.get(model).copied().unwrap_or((0, now));
        let count = count + 1;
        let backoff = (MIN_BACKOFF * (1 << (count - 1).min(10))).min(MAX_BACKOFF);
        self.failures
            .insert(model.clone(), (count, now.after(backoff)));
        count >= MAX_FAILURES
    }

    /// Clears the backoff of an adapter after a successful load.
    pub fn record_success(&mut self, model: &AdapterVersion) {
        self.failures.remove(model);
    }

    /// Whether a load may be attempted now: it has not failed, or its backoff has elapsed.
    #[must_use]
    pub fn can_retry(&self, model: &AdapterVersion, now: Instant) -> bool {
        self.failures
            .get(model)
            .is_none_or(|(_, until)| now >= *until)
    }

    /// Whether no adapter has failed since its last successful load.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.failures.is_empty()
    }

    /// Time until the next attempt; `None` if an attempt may be made now.
    #[must_use]
    pub fn remaining_backoff(&self, model: &AdapterVersion, now: Instant) -> Option<Duration> {
        let (_, until) = self.failures.get(model)?;
        (*until > now).then(|| until.since(now))
    }
}
