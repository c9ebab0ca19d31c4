//! Limits what this VM takes while it has more work than processor time, as seen by how long the tasks of new connections wait for
//! their first run.

use crate::{clock, direct::fleet::FleetState, event, events::Event};
use hoplanding_core::{
    direct::{
        overload::{DelayProbe, WINDOW},
        overload_limiter::{ConnectionVerdict, ExcessRule, LimitChange, OverloadLimiter},
    },
    ids::Instant,
};
use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

/// Bounds of the `Retry-After` of requests that are refused because all VMs are overloaded. The jitter spreads the callers that
/// return.
const MIN_RETURN_TIME: Duration = Duration::from_millis(300);
const RETURN_JITTER: Duration = Duration::from_millis(700);

#[derive(Debug)]
struct ControlState {
    limiter: OverloadLimiter,
    rule: ExcessRule,
    rule_checked_at: Instant,
}

/// The limit on new connections or on requests, with its log lines and metrics.
#[derive(Debug)]
pub struct OverloadControl {
    fleet: Arc<FleetState>,
    state: Mutex<ControlState>,
}

impl OverloadControl {
    /// Creates a control without a limit.
    #[must_use]
    pub fn new(fleet: Arc<FleetState>) -> Self {
        Self {
            fleet,
            state: Mutex::new(ControlState {
                limiter: OverloadLimiter::default(),
                rule: ExcessRule::Connections,
                rule_checked_at: Instant::default(),
            }),
        }
    }

    /// Decides whether a new connection is served.
    ///
    /// # Panics
    /// If a thread panicked while it held the lock.
    pub fn accept(&self) -> ConnectionVerdict {
        let now = clock::now();
        let mut state = self.lock();
        let rule = self.update_rule(&mut state, now);
        let (verdict, change) = state.limiter.accept(rule, now);
        drop(state);
        self.report(change);
        let is_taken = matches!(verdict, ConnectionVerdict::Take(_));
        self.fleet.metrics.count_connection(is_taken);
        verdict
    }

    /// Decides whether a request is served.
    ///
    /// # Errors
    /// If this VM and most others are overloaded: the time after which the caller should return.
    ///
    /// # Panics
    /// If a thread panicked while it held the lock.
    pub fn admit_request(&self) -> Result<(), Duration> {
        let now = clock::now();
        let mut state = self.lock();
        let rule = self.update_rule(&mut state, now);
        let (is_taken, change) = state.limiter.admit_request(rule, now);
        drop(state);
        self.report(change);
        if is_taken {
            Ok(())
        } else {
            Err(MIN_RETURN_TIME + RETURN_JITTER.mul_f64(rand::random()))
        }
    }

    /// Ends a limit that is over, also without further connections and requests.
    ///
    /// # Panics
    /// If a thread panicked while it held the lock.
    pub fn refresh(&self) {
        let now = clock::now();
        let mut state = self.lock();
        let rule = self.update_rule(&mut state, now);
        let change = state.limiter.refresh(rule, now);
        drop(state);
        self.report(change);
    }

    /// Whether callers with open connections should open new ones, as other VMs have processor time left and this one has not.
    ///
    /// # Panics
    /// If a thread panicked while it held the lock.
    #[must_use]
    pub fn sends_callers_away(&self) -> bool {
        self.fleet.is_overloaded() && self.lock().rule == ExcessRule::Connections
    }

    /// Ends the probe of a connection whose task runs.
    ///
    /// # Panics
    /// If a thread panicked while it held the lock.
    pub fn end_probe(&self, probe: &DelayProbe) {
        let delay = self.lock().limiter.end_probe(probe, clock::now());
        self.fleet.metrics.observe_queue_delay(delay);
    }

    /// Looks at the load of the other VMs, at most once per window.
    fn update_rule(&self, state: &mut ControlState, now: Instant) -> ExcessRule {
        if now.since(state.rule_checked_at) >= WINDOW {
            state.rule_checked_at = now;
            state.rule = if self.fleet.others_have_time(now) {
                ExcessRule::Connections
            } else {
                ExcessRule::Requests
            };
        }
        state.rule
    }

    fn report(&self, change: Option<LimitChange>) {
        let Some(change) = change else {
            return;
        };
        match change {
            LimitChange::Began(rate) => {
                event!(
                    Event::VmOverloaded,
                    "{rate:.0} connections or requests per second are taken"
                );
            }
            LimitChange::Ended(summary) => {
                event!(
                    Event::VmRecovered,
                    "after {:?}, {} connections or requests taken and {} turned away",
                    summary.lasted,
                    summary.taken,
                    summary.rejected
                );
            }
        }
        self.fleet
            .set_overloaded(matches!(change, LimitChange::Began(_)));
    }

    fn lock(&self) -> MutexGuard<'_, ControlState> {
        self.state
            .lock()
            .expect("no thread panics while it holds the lock")
    }
}
