//! This VM's share of the fleet's retry budget.
//!
//! The fleet may repeat a part of what callers ask for, plus a fixed number, within a sliding window. Each VM keeps to
//! that part of its own requests and to its share of the fixed number, so no exchange is needed.

use crate::ids::{Instant, ServiceName};
use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

/// Part of the allowance that is used; the rest covers requests that are counted elsewhere.
const USED_PART: f64 = 0.8;
/// Steps that a window is counted in.
const STEPS: u32 = 20;

/// The fleet's rule for repeats.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryRule {
    /// Repeats allowed for each request.
    pub ratio: f64,
    /// Repeats allowed beside those in one window, over the whole fleet.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
}

#[derive(Clone, Debug, Default)]
struct CountedWindow {
    /// Start of a step, requests and repeats in it.
    steps: VecDeque<(Instant, u32, u32)>,
}

impl CountedWindow {
    fn advance(&mut self, now: Instant, window: Duration) {
        while let Some((start, ..)) = self.steps.front()
            && now.since(*start) > window
        {
            self.steps.pop_front();
        }
        let step = window / STEPS;
        if self
            .steps
            .back()
            .is_none_or(|(start, ..)| now.since(*start) >= step)
        {
            self.steps.push_back((now, 0, 0));
        }
    }

    fn totals(&self) -> (u32, u32) {
        self.steps.iter().fold((0, 0), |(requests, repeats), step| {
            (requests + step.1, repeats + step.2)
        })
    }
}

/// What a share stands at.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryStanding {
    /// Requests in the window.
    pub requests: u32,
    /// Repeats in the window.
    pub repeats: u32,
    /// Repeats allowed in it.
    pub allowed: f64,
}

/// Counts requests and repeats by service, and allows further repeats.
#[derive(Clone, Debug)]
pub struct RetryShare {
    rule: RetryRule,
    vms: u32,
    services: HashMap<ServiceName, CountedWindow>,
}

impl RetryShare {
    /// A share of `rule` among `vms` machines.
    #[must_use]
    pub fn new(rule: RetryRule, vms: u32) -> Self {
        Self {
            rule,
            vms: vms.max(1),
            services: HashMap::new(),
        }
    }

    /// Sets the fleet's rule.
    pub fn set_rule(&mut self, rule: RetryRule) {
        self.rule = rule;
    }

    /// Sets how many VMs share the budget.
    pub fn set_vms(&mut self, vms: u32) {
        self.vms = vms.max(1);
    }

    /// A caller's request for a service came.
    pub fn count_request(&mut self, service: &ServiceName, now: Instant) {
        let window = self.window(service, now);
        if let Some(step) = window.steps.back_mut() {
            step.1 += 1;
        }
    }

    /// What the share of a service stands at.
    pub fn standing(&mut self, service: &ServiceName, now: Instant) -> RetryStanding {
        let share = self.rule.slack / f64::from(self.vms);
        let ratio = self.rule.ratio;
        let (requests, repeats) = self.window(service, now).totals();
        RetryStanding {
            requests,
            repeats,
            allowed: (ratio * f64::from(requests) + share) * USED_PART,
        }
    }

    /// Whether one more repeat is allowed; counts it if so.
    pub fn try_repeat(&mut self, service: &ServiceName, now: Instant) -> bool {
        let standing = self.standing(service, now);
        if f64::from(standing.repeats) + 1.0 > standing.allowed {
            return false;
        }
        if let Some(step) = self.window(service, now).steps.back_mut() {
            step.2 += 1;
        }
        true
    }

    fn window(&mut self, service: &ServiceName, now: Instant) -> &mut CountedWindow {
        let length = self.rule.window;
        if !self.services.contains_key(service) {
            self.services
                .insert(service.clone(), CountedWindow::default());
        }
        let window = self
            .services
            .get_mut(service)
            .expect("the window was put there above");
        window.advance(now, length);
        window
    }
}
