//! Limits the new connections of this VM while it has more work than processor time, as seen by how long the tasks of new
//! connections wait for their first run.

use crate::{clock, direct::fleet::FleetState, event, events::Event};
use hoplanding_core::direct::{
    connection_limiter::{ConnectionLimiter, ConnectionVerdict, LimitChange},
    overload::DelayProbe,
};
use std::sync::{Arc, Mutex, MutexGuard};

/// The limit on new connections, with its log lines and metrics.
#[derive(Debug)]
pub struct OverloadMonitor {
    fleet: Arc<FleetState>,
    limiter: Mutex<ConnectionLimiter>,
}

impl OverloadMonitor {
    /// Creates a monitor without a limit.
    #[must_use]
    pub fn new(fleet: Arc<FleetState>) -> Self {
        Self {
            fleet,
            limiter: Mutex::default(),
        }
    }

    /// Decides whether a new connection is served.
    ///
    /// # Panics
    /// If a thread panicked while it held the lock.
    pub fn accept(&self) -> ConnectionVerdict {
        let (verdict, change) = self.lock().accept(clock::now());
        if let Some(change) = change {
            self.report(change);
        }
        let is_taken = matches!(verdict, ConnectionVerdict::Take(_));
        self.fleet.metrics.count_connection(is_taken);
        verdict
    }

    /// Ends the probe of a connection whose task runs.
    ///
    /// # Panics
    /// If a thread panicked while it held the lock.
    pub fn end_probe(&self, probe: &DelayProbe) {
        let delay = self.lock().end_probe(probe, clock::now());
        self.fleet.metrics.observe_queue_delay(delay);
    }

    fn report(&self, change: LimitChange) {
        match change {
            LimitChange::Began(rate) => {
                event!(
                    Event::VmOverloaded,
                    "{rate:.0} new connections per second are taken"
                );
            }
            LimitChange::Ended(summary) => {
                event!(
                    Event::VmRecovered,
                    "after {:?}, {} new connections taken and {} closed unread",
                    summary.lasted,
                    summary.taken,
                    summary.closed
                );
            }
        }
        let is_overloaded = matches!(change, LimitChange::Began(_));
        self.fleet.metrics.set_overloaded(is_overloaded);
    }

    fn lock(&self) -> MutexGuard<'_, ConnectionLimiter> {
        self.limiter
            .lock()
            .expect("no thread panics while it holds the lock")
    }
}
