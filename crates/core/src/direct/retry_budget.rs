//! This VM's share of the fleet's retry budget.
//!
//! The fleet may repeat a part of what callers ask for, plus a fixed number, within a sliding window. Each VM keeps to
//! that part of its own requests and to its share of the fixed number, so no exchange is needed.
//!
//! A process does not know what the one before it on its VM has spent, and all of a fleet may be killed again and again.
//! So a process that is younger than a window counts that one as having spent all that it might, and shares what is
//! left with the others that start within the window: of the fixed number by its age. Within a window a VM has at the
//! most one process that was older, and the ages of the younger ones do not add up to more than the window.

use crate::ids::{Instant, ServiceName};
use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

/// Part of the allowance that a process older than a window uses.
const USED_PART: f64 = 0.8;
/// Part of the allowance that the younger ones of a VM use together. With a whole share for each life, 27 starts of seven
/// VMs within ten seconds led to 234 repeats where 186 were allowed. What neither part uses covers requests that are
/// counted elsewhere.
const YOUNG_PART: f64 = 0.15;
/// Steps that a window is counted in.
const STEPS: u32 = 20;
/// Steps that are kept of a service; where a window was longer than it is, the oldest are put together.
const STEPS_MOST: usize = 256;

/// The fleet's rule for repeats.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetRule {
    /// Repeats allowed for each request.
    pub ratio: f64,
    /// Repeats allowed beside those in one window, over the whole fleet.
    pub extra_retries: f64,
    /// Length of the window.
    pub window: Duration,
}

/// Requests and repeats within a step.
#[derive(Clone, Copy, Debug)]
struct CountedStep {
    start: Instant,
    length: Duration,
    requests: u32,
    repeats: u32,
}

#[derive(Clone, Debug, Default)]
struct CountedWindow {
    steps: VecDeque<CountedStep>,
}

impl CountedWindow {
    /// Drops what lies before the last `kept`, and begins a step of the window if one is due.
    fn advance(&mut self, now: Instant, window: Duration, kept: Duration) {
        let length = window / STEPS;
        // A step stays until its last moment is over.
        while let Some(step) = self.steps.front()
            && now.since(step.start) > kept + step.length
        {
            self.steps.pop_front();
        }
        let is_due = |step: &CountedStep| now.since(step.start) >= length.min(step.length);
        if self.steps.back().is_none_or(is_due) {
            self.steps.push_back(CountedStep {
                start: now,
                length,
                requests: 0,
                repeats: 0,
            });
        }
        if self.steps.len() > STEPS_MOST {
            self.join_oldest();
        }
    }

    fn join_oldest(&mut self) {
        let Some(oldest) = self.steps.pop_front() else {
            return;
        };
        if let Some(step) = self.steps.front_mut() {
            step.length += step.start.since(oldest.start);
            step.start = oldest.start;
            step.requests += oldest.requests;
            step.repeats += oldest.repeats;
        }
    }

    /// Requests and repeats in the window that ends now. Of the step that it begins in, repeats count and requests don't.
    fn totals(&self, now: Instant, window: Duration) -> (u32, u32) {
        let mut totals = (0, 0);
        for step in &self.steps {
            if now.since(step.start) <= window {
                totals.0 += step.requests;
            }
            if now.since(step.start) <= window + step.length {
                totals.1 += step.repeats;
            }
        }
        totals
    }
}

/// What a share stands at.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryUsage {
    /// Requests in the window.
    pub requests: u32,
    /// Repeats in the window.
    pub retries: u32,
    /// Repeats allowed in it.
    pub allowed: f64,
}

/// Counts requests and repeats by service, and allows further repeats.
#[derive(Clone, Debug)]
pub struct RetryShare {
    rule: RetryBudgetRule,
    /// Longest window that a rule had: what was spent in it counts again if it comes back.
    longest: Duration,
    /// VMs that share the fixed number; none as long as the fleet is not known.
    vms: Option<u32>,
    /// When the process started, if others may have run before it.
    started: Option<Instant>,
    services: HashMap<ServiceName, CountedWindow>,
}

impl RetryShare {
    /// A share of `rule` among `vms` machines, in a process that has run for long.
    #[must_use]
    pub fn new(rule: RetryBudgetRule, vms: u32) -> Self {
        Self {
            rule,
            longest: rule.window,
            vms: Some(vms.max(1)),
            started: None,
            services: HashMap::new(),
        }
    }

    /// A share of `rule` in a process that starts and does not know its fleet. A VM that starts while the log is out of reach
    /// would take nine times its part of a fleet of 75 if it assumed eight. `restarted` is when it started if processes
    /// of the fleet may have run before; at the first start of a fleet nobody has spent anything.
    #[must_use]
    pub fn starting(rule: RetryBudgetRule, restarted: Option<Instant>) -> Self {
        Self {
            rule,
            longest: rule.window,
            vms: None,
            started: restarted,
            services: HashMap::new(),
        }
    }

    /// Sets the fleet's rule. What was spent under the rules before counts on: a window that is shorter for a moment, in
    /// one of several reloads, would otherwise pay for the same repeats twice.
    pub fn set_rule(&mut self, rule: RetryBudgetRule) {
        self.longest = self.longest.max(rule.window);
        self.rule = rule;
    }

    /// Sets how many VMs share the budget.
    pub fn set_vms(&mut self, vms: u32) {
        self.vms = Some(vms.max(1));
    }

    /// A caller's request for a service came.
    pub fn record_request(&mut self, service: &ServiceName, now: Instant) {
        let window = self.window(service, now);
        if let Some(step) = window.steps.back_mut() {
            step.requests += 1;
        }
    }

    /// What the share of a service stands at.
    pub fn usage(&mut self, service: &ServiceName, now: Instant) -> RetryUsage {
        let rule = self.rule;
        let share = self
            .vms
            .map_or(0.0, |vms| rule.extra_retries / f64::from(vms));
        let (used, grown) = self.parts(now);
        let window = self.window(service, now);
        let (requests, repeats) = window.totals(now, rule.window);
        RetryUsage {
            requests,
            retries: repeats,
            allowed: (rule.ratio * f64::from(requests) + share * grown) * used,
        }
    }

    /// Part of the allowance that this process uses, and part of the fixed number that its age has brought.
    fn parts(&self, now: Instant) -> (f64, f64) {
        let Some(started) = self.started else {
            return (USED_PART, 1.0);
        };
        let age = now.since(started).as_secs_f64() / self.rule.window.as_secs_f64();
        if age < 1.0 {
            (YOUNG_PART, age)
        } else {
            (USED_PART, 1.0)
        }
    }

    /// Whether one more repeat is allowed; counts it if so.
    pub fn try_retry(&mut self, service: &ServiceName, now: Instant) -> bool {
        let standing = self.usage(service, now);
        if f64::from(standing.retries) + 1.0 > standing.allowed {
            return false;
        }
        if let Some(step) = self.window(service, now).steps.back_mut() {
            step.repeats += 1;
        }
        true
    }

    fn window(&mut self, service: &ServiceName, now: Instant) -> &mut CountedWindow {
        let (length, longest) = (self.rule.window, self.longest);
        if !self.services.contains_key(service) {
            self.services
                .insert(service.clone(), CountedWindow::default());
        }
        let window = self
            .services
            .get_mut(service)
            .expect("the window was put there above");
        window.advance(now, length, longest);
        window
    }
}
