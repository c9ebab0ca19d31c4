//! Detects that a VM has more work than processor time.
//!
//! The steps of all calls wait in one queue. The time that a step waits there is sampled with new connections. Single long waits are
//! normal, as while a large configuration is decoded, so a VM counts as overloaded only if no sample of several windows was
//! short: then the queue never ran empty.

use crate::ids::Instant;
use std::time::Duration;

/// Length of a window of samples.
pub const WINDOW: Duration = Duration::from_millis(100);
/// Consecutive saturated windows from which on a VM is overloaded.
const MIN_SATURATED_WINDOWS: u32 = 3;
/// Time without a saturated window and without rejected work after which an overload is over.
const RECOVERY_TIME: Duration = Duration::from_millis(500);
/// Time without a sample after which no connections come.
const MAX_SAMPLE_GAP: Duration = Duration::from_millis(500);
/// Time without new connections after which earlier windows tell nothing any more.
const MAX_SAMPLE_AGE: Duration = Duration::from_secs(1);

/// A sample that waits in the queue.
#[derive(Debug)]
#[must_use]
pub struct DelayProbe {
    started: Instant,
}

/// What a window showed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DelayWindow {
    /// The VM had more work than processor time in all of it.
    Saturated,
    /// The queue ran empty, or no connections came.
    Unsaturated,
}

/// Start or end of an overload.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OverloadChange {
    /// The VM is overloaded from now on.
    Began,
    /// The overload that began at this time is over.
    Ended(Instant),
}

#[derive(Clone, Copy, Debug)]
struct OverloadSpan {
    began: Instant,
    last_saturated: Instant,
}

/// Detects overload of one VM.
#[derive(Debug, Default)]
pub struct OverloadDetector {
    /// Start of the probe that waits in the queue.
    pending: Option<Instant>,
    window_start: Instant,
    shortest: Option<Duration>,
    saturated_windows: u32,
    overload: Option<OverloadSpan>,
}

impl OverloadDetector {
    /// Starts a sample unless one is waiting.
    pub fn begin_probe(&mut self, now: Instant) -> Option<DelayProbe> {
        if self.pending.is_some() {
            return None;
        }
        self.pending = Some(now);
        Some(DelayProbe { started: now })
    }

    /// Ends a sample; returns how long it waited.
    pub fn end_probe(&mut self, probe: &DelayProbe, now: Instant) -> Duration {
        self.pending = None;
        let delay = now.since(probe.started);
        let shortest = self.shortest.map_or(delay, |shortest| shortest.min(delay));
        self.shortest = Some(shortest);
        delay
    }

    /// Closes the current window once it is over and had a sample. It counts as saturated if its shortest sample waited for longer than
    /// `max_delay`. Returns what it showed, and a change of the overload.
    pub fn advance(
        &mut self,
        max_delay: Duration,
        now: Instant,
    ) -> Option<(DelayWindow, Option<OverloadChange>)> {
        let length = now.since(self.window_start);
        if length < WINDOW {
            return None;
        }
        // A probe that still waits has waited for at least its age, and shows nothing before that is long.
        let pending = self.pending.map(|started| now.since(started));
        let shortest = self.shortest.or(pending.filter(|age| *age > max_delay));
        let window = match shortest {
            Some(shortest) if shortest > max_delay => DelayWindow::Saturated,
            Some(_) => DelayWindow::Unsaturated,
            None if self.pending.is_none() && length >= MAX_SAMPLE_GAP => DelayWindow::Unsaturated,
            // The task that accepts connections may wait in the queue itself, so the window goes on.
            None => return None,
        };
        self.shortest = None;
        self.window_start = now;
        if window == DelayWindow::Unsaturated || length > MAX_SAMPLE_AGE {
            self.saturated_windows = 0;
        }
        self.saturated_windows += u32::from(window == DelayWindow::Saturated);
        Some((window, self.update_overload(window, now)))
    }

    fn update_overload(&mut self, window: DelayWindow, now: Instant) -> Option<OverloadChange> {
        match &mut self.overload {
            Some(overload) if window == DelayWindow::Saturated => {
                overload.last_saturated = now;
                None
            }
            Some(overload) if now.since(overload.last_saturated) >= RECOVERY_TIME => {
                let began = overload.began;
                self.overload = None;
                Some(OverloadChange::Ended(began))
            }
            None if self.saturated_windows >= MIN_SATURATED_WINDOWS => {
                self.overload = Some(OverloadSpan {
                    began: now,
                    last_saturated: now,
                });
                Some(OverloadChange::Began)
            }
            Some(_) | None => None,
        }
    }

    /// Records that work was turned away, without which the VM would still be saturated.
    pub fn record_rejected_work(&mut self, now: Instant) {
        if let Some(overload) = &mut self.overload {
            overload.last_saturated = now;
        }
    }
}
