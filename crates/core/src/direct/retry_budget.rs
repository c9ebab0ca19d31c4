//! This VM's share of the fleet's retry budget.
//!
//! Within a sliding window, the fleet may retry a certain ratio of its requests, plus a fixed number. Each VM applies
//! the ratio to its own requests and takes an equal share of the fixed number, so VMs need not exchange anything.
//!
//! A process does not know what the previous process on its VM has spent, and a whole fleet may be killed repeatedly. A
//! process younger than a window therefore assumes that an older process on its VM has used its full allowance. It
//! shares the rest with the other processes that start on the VM within the window: its part of the fixed number grows
//! with its age. Within a window a VM has at most one process that was older than a window, and the ages of the younger
//! ones sum to no more than the window.

use crate::ids::{Instant, ServiceName};
use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

/// Part of the allowance that a process older than a window uses.
const STEADY_RATIO: f64 = 0.8;
/// Part of the allowance that all younger processes of a VM use together. With a full share for each process, 27 starts
/// of seven VMs within 10 s led to 234 retries where 186 were allowed. The part that neither ratio uses covers requests
/// that are counted elsewhere.
const NEW_PROCESS_RATIO: f64 = 0.15;
/// Buckets that a window is divided into.
const WINDOW_BUCKETS: u32 = 20;
/// Buckets that are kept for each service; if a shorter window follows a longer one, the oldest are merged.
const MAX_BUCKETS: usize = 256;

/// Retry budget of the fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetRule {
    /// Retries allowed for each request.
    pub ratio: f64,
    /// Retries allowed in addition in one window, over the whole fleet.
    pub extra_retries: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

/// Requests and retries of one part of the window.
#[derive(Clone, Copy, Debug)]
struct WindowBucket {
    start: Instant,
    length: Duration,
    requests: u32,
    retries: u32,
}

#[derive(Clone, Debug, Default)]
struct SlidingWindow {
    buckets: VecDeque<WindowBucket>,
}

impl SlidingWindow {
    /// Drops buckets older than `retention` and starts a new one if it is due.
    fn advance(&mut self, now: Instant, window: Duration, retention: Duration) {
        let length = window / WINDOW_BUCKETS;
        // A bucket is kept until its end is older than the retention.
        while let Some(bucket) = self.buckets.front()
            && now.since(bucket.start) > retention + bucket.length
        {
            self.buckets.pop_front();
        }
        let is_due = |bucket: &WindowBucket| now.since(bucket.start) >= length.min(bucket.length);
        if self.buckets.back().is_none_or(is_due) {
            self.buckets.push_back(WindowBucket {
                start: now,
                length,
                requests: 0,
                retries: 0,
            });
        }
        if self.buckets.len() > MAX_BUCKETS {
            self.merge_oldest();
        }
    }

    fn merge_oldest(&mut self) {
        let Some(oldest) = self.buckets.pop_front() else {
            return;
        };
        if let Some(bucket) = self.buckets.front_mut() {
            bucket.length += bucket.start.since(oldest.start);
            bucket.start = oldest.start;
            bucket.requests += oldest.requests;
            bucket.retries += oldest.retries;
        }
    }

    /// Requests and retries in the window that ends now. The bucket in which the window begins counts with its retries
    /// but without its requests, so that the sum errs on the safe side.
    fn totals(&self, now: Instant, window: Duration) -> (u32, u32) {
        let mut totals = (0, 0);
        for bucket in &self.buckets {
            if now.since(bucket.start) <= window {
                totals.0 += bucket.requests;
            }
            if now.since(bucket.start) <= window + bucket.length {
                totals.1 += bucket.retries;
            }
        }
        totals
    }
}

/// Use of the budget's share for one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryUsage {
    /// Requests in the window.
    pub requests: u32,
    /// Retries in the window.
    pub retries: u32,
    /// Retries allowed in the window.
    pub allowed: f64,
}

impl RetryUsage {
    /// Whether one more retry is allowed.
    #[must_use]
    pub fn has_room(&self) -> bool {
        f64::from(self.retries) + 1.0 <= self.allowed
    }
}

/// Counts requests and retries by service and allows retries within this VM's share.
#[derive(Clone, Debug)]
pub struct RetryShare {
    rule: RetryBudgetRule,
    /// Longest window of any rule so far; retries within it count again if such a rule returns.
    max_window: Duration,
    /// VMs that share the fixed number; `None` until the fleet is known, when this VM gets no share of it.
    vms: Option<u32>,
    /// When the process started, if an earlier process may have run on this VM.
    started_at: Option<Instant>,
    services: HashMap<ServiceName, SlidingWindow>,
}

impl RetryShare {
    /// A share of `rule` among `vms` machines, in a process older than a window.
    #[must_use]
    pub fn new(rule: RetryBudgetRule, vms: u32) -> Self {
        Self {
            rule,
            max_window: rule.window,
            vms: Some(vms.max(1)),
            started_at: None,
            services: HashMap::new(),
        }
    }

    /// A share of `rule` in a process that starts without knowing its fleet. It has no part of the fixed number until
    /// [`set_vms`](Self::set_vms): a VM that starts while the log is unreachable in a fleet of 75 and assumes eight VMs
    /// would take nine times its share. `restarted_at` is the start time if earlier processes may have run; `None` at
    /// the first start of a fleet, when nothing has been spent.
    #[must_use]
    pub fn starting(rule: RetryBudgetRule, restarted_at: Option<Instant>) -> Self {
        Self {
            rule,
            max_window: rule.window,
            vms: None,
            started_at: restarted_at,
            services: HashMap::new(),
        }
    }

    /// Sets the fleet's rule. Retries under earlier rules still count: if one of several reloads shortened the window
    /// for a moment, the same budget could otherwise be spent twice.
    pub fn set_rule(&mut self, rule: RetryBudgetRule) {
        self.max_window = self.max_window.max(rule.window);
        self.rule = rule;
    }

    /// Sets the number of VMs that share the budget.
    pub fn set_vms(&mut self, vms: u32) {
        self.vms = Some(vms.max(1));
    }

    /// Counts a caller's request.
    pub fn record_request(&mut self, service: &ServiceName, now: Instant) {
        let window = self.window(service, now);
        if let Some(bucket) = window.buckets.back_mut() {
            bucket.requests += 1;
        }
    }

    /// Use of the budget's share for a service.
    pub fn usage(&mut self, service: &ServiceName, now: Instant) -> RetryUsage {
        let rule = self.rule;
        let share = self
            .vms
            .map_or(0.0, |vms| rule.extra_retries / f64::from(vms));
        let (allowance_ratio, age_ratio) = self.usage_ratios(now);
        let window = self.window(service, now);
        let (requests, retries) = window.totals(now, rule.window);
        RetryUsage {
            requests,
            retries,
            allowed: (rule.ratio * f64::from(requests) + share * age_ratio) * allowance_ratio,
        }
    }

    /// Part of the allowance that this process uses, and part of the fixed number that it gets at its age.
    fn usage_ratios(&self, now: Instant) -> (f64, f64) {
        let Some(started_at) = self.started_at else {
            return (STEADY_RATIO, 1.0);
        };
        let age = now.since(started_at).as_secs_f64() / self.rule.window.as_secs_f64();
        if age < 1.0 {
            (NEW_PROCESS_RATIO, age)
        } else {
            (STEADY_RATIO, 1.0)
        }
    }

    /// Counts one more retry if the budget allows it; returns whether it does.
    pub fn try_retry(&mut self, service: &ServiceName, now: Instant) -> bool {
        if !self.usage(service, now).has_room() {
            return false;
        }
        if let Some(bucket) = self.window(service, now).buckets.back_mut() {
            bucket.retries += 1;
        }
        true
    }

    fn window(&mut self, service: &ServiceName, now: Instant) -> &mut SlidingWindow {
        let (length, max_window) = (self.rule.window, self.max_window);
        if !self.services.contains_key(service) {
            self.services
                .insert(service.clone(), SlidingWindow::default());
        }
        let window = self
            .services
            .get_mut(service)
            .expect("the window was inserted above");
        window.advance(now, length, max_window);
        window
    }
}
