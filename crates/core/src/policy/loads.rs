//! Whose turn it is to load, and when a failed load may be tried again.
//!
//! The weight store serves one load at a time at full speed. Holders tell each other what they load and how much the
//! next load would be worth; the highest bid goes next. Nothing here is agreed: two loads at once only cost speed.

use crate::ids::{AdapterVersion, Instant, TargetName, VmName};
use serde::{Deserialize, Serialize};
use std::{collections::HashMap, time::Duration};

/// A load that a holder would like to start.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadBid {
    /// Where.
    pub target: TargetName,
    /// What.
    pub model: AdapterVersion,
    /// What goes for it, if no slot is free.
    pub evict: Option<AdapterVersion>,
    /// What it is worth, in weighted waiting requests.
    pub benefit: f64,
    /// Whether requests wait for it.
    pub demanded: bool,
}

/// What a holder tells the others about its loads.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadNotice {
    /// Loads that it has under way.
    pub loading: u32,
    /// Worth of its best bid; zero for none.
    pub best_bid: f64,
}

/// Age after which a notice counts no more.
const NOTICE_LIFE: Duration = Duration::from_secs(3);

/// The holders' notices, as this daemon heard them.
#[derive(Clone, Debug, Default)]
pub struct LoadArbiter {
    notices: HashMap<VmName, (LoadNotice, Instant)>,
}

impl LoadArbiter {
    /// Takes a notice in.
    pub fn record_notice(&mut self, vm: &VmName, notice: LoadNotice, now: Instant) {
        self.notices.insert(vm.clone(), (notice, now));
    }

    /// Whether this daemon may start a load with its best bid.
    #[must_use]
    pub fn may_start_load(
        &self,
        me: &VmName,
        mine: &LoadNotice,
        at_once: u32,
        now: Instant,
    ) -> bool {
        let mut loading = mine.loading;
        for (vm, (notice, at)) in &self.notices {
            if vm == me || now.since(*at) > NOTICE_LIFE {
                continue;
            }
            loading += notice.loading;
            let goes_first =
                notice.best_bid > mine.best_bid || (notice.best_bid == mine.best_bid && vm < me);
            if notice.best_bid > 0.0 && goes_first && notice.loading == 0 {
                return false;
            }
        }
        loading < at_once && mine.best_bid > 0.0
    }
}

/// First pause after a failed load.
const FIRST_PAUSE: Duration = Duration::from_millis(500);
/// Longest pause after failed loads.
const LONGEST_PAUSE: Duration = Duration::from_secs(30);
/// Failures in a row after which the waiting requests are refused.
const FAILURES_TO_REFUSE: u32 = 3;

/// Failed loads of one target, by adapter.
#[derive(Clone, Debug, Default)]
pub struct LoadBackoff {
    failures: HashMap<AdapterVersion, (u32, Instant)>,
}

impl LoadBackoff {
    /// A load failed; returns whether the adapter's waiting requests should be refused.
    pub fn failed(&mut self, model: &AdapterVersion, now: Instant) -> bool {
        let (count, _) = self.failures.get(model).copied().unwrap_or((0, now));
        let count = count + 1;
        let pause = (FIRST_PAUSE * (1 << (count - 1).min(10))).min(LONGEST_PAUSE);
        self.failures
            .insert(model.clone(), (count, now.after(pause)));
        count >= FAILURES_TO_REFUSE
    }

    /// A load succeeded.
    pub fn succeeded(&mut self, model: &AdapterVersion) {
        self.failures.remove(model);
    }

    /// Whether a load may be tried.
    #[must_use]
    pub fn can_retry(&self, model: &AdapterVersion, now: Instant) -> bool {
        self.failures
            .get(model)
            .is_none_or(|(_, until)| now >= *until)
    }

    /// Whether anything is backed off.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.failures.is_empty()
    }

    /// When the next try may be made, if one is pending.
    #[must_use]
    pub fn remaining_backoff(&self, model: &AdapterVersion, now: Instant) -> Option<Duration> {
        let (_, until) = self.failures.get(model)?;
        (*until > now).then(|| until.since(now))
    }
}
