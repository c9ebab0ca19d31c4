//! Watches whether this VM has more work than processor time, by how long the tasks of new connections wait for their first run.

use crate::{clock, direct::fleet::FleetState, event, events::Event};
use hoplanding_core::{
    direct::overload::{DelayProbe, OverloadChange, OverloadDetector},
    ids::Instant,
};
use std::sync::{Arc, Mutex, MutexGuard};

/// Overload of this VM, and its log lines and metrics.
#[derive(Debug)]
pub struct OverloadMonitor {
    fleet: Arc<FleetState>,
    detector: Mutex<OverloadDetector>,
}

impl OverloadMonitor {
    /// Creates a monitor that has seen nothing.
    #[must_use]
    pub fn new(fleet: Arc<FleetState>) -> Self {
        Self {
            fleet,
            detector: Mutex::default(),
        }
    }

    /// Records a new connection. Its task ends the probe when it runs first.
    ///
    /// # Panics
    /// If a thread panicked while it held the lock.
    pub fn record_connection(&self) -> Option<DelayProbe> {
        let now = clock::now();
        let mut detector = self.lock();
        if let Some((_, Some(change))) = detector.advance(now) {
            self.report(change, now);
        }
        detector.begin_probe(now)
    }

    /// Ends a probe of [`Self::record_connection`].
    ///
    /// # Panics
    /// If a thread panicked while it held the lock.
    pub fn end_probe(&self, probe: &DelayProbe) {
        let delay = self.lock().end_probe(probe, clock::now());
        self.fleet.metrics.observe_queue_delay(delay);
    }

    fn report(&self, change: OverloadChange, now: Instant) {
        match change {
            OverloadChange::Began => event!(Event::VmOverloaded),
            OverloadChange::Ended(began) => {
                event!(Event::VmRecovered, "after {:?}", now.since(began));
            }
        }
        let is_overloaded = change == OverloadChange::Began;
        self.fleet.metrics.set_overloaded(is_overloaded);
    }

    fn lock(&self) -> MutexGuard<'_, OverloadDetector> {
        self.detector
            .lock()
            .expect("no thread panics while it holds the lock")
    }
}
