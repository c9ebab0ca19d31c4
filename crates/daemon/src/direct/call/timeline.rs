//! Time stamps of a streaming call, written to the log in one line when the stream has ended.

use std::{fmt, time::Duration};
use tokio::time::Instant;

/// Times of a call's steps, each counted from its arrival.
///
/// The [`Display`](fmt::Display) form is read back by the operators' tools; its words are part of the log format.
#[derive(Clone, Copy, Debug)]
pub struct CallTimeline {
    arrived: Instant,
    placed: Option<Duration>,
    expected: Option<Duration>,
    sent: Option<Duration>,
    first_event: Option<Duration>,
    last_event_at: Option<Instant>,
    longest_pause: Duration,
}

impl CallTimeline {
    /// The timeline of a call that arrived at this time.
    #[must_use]
    pub fn new(arrived: Instant) -> Self {
        Self {
            arrived,
            placed: None,
            expected: None,
            sent: None,
            first_event: None,
            last_event_at: None,
            longest_pause: Duration::ZERO,
        }
    }

    /// Records that a holder chose a target and expects the first event after `expected_ms` more milliseconds.
    pub fn record_placed(&mut self, expected_ms: u32) {
        let placed = self.arrived.elapsed();
        self.placed = Some(placed);
        self.expected = Some(placed + Duration::from_millis(u64::from(expected_ms)));
    }

    /// Records that the adapter is expected to be loaded and the call is sent.
    pub fn record_sent(&mut self) {
        self.sent = Some(self.arrived.elapsed());
    }

    /// Records an event; returns whether it was the first.
    pub fn record_event(&mut self) -> bool {
        let now = Instant::now();
        let is_first = self.first_event.is_none();
        if is_first {
            self.first_event = Some(now - self.arrived);
        }
        if let Some(last) = self.last_event_at.replace(now) {
            self.longest_pause = self.longest_pause.max(now - last);
        }
        is_first
    }

    /// Time from the call's arrival to the first event, if there was one.
    #[must_use]
    pub fn first_event(&self) -> Option<Duration> {
        self.first_event
    }
}

impl fmt::Display for CallTimeline {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let steps = [
            ("placed", self.placed),
            ("expected", self.expected),
            ("there", self.sent),
            ("first", self.first_event),
            ("pause", Some(self.longest_pause)),
            ("end", Some(self.arrived.elapsed())),
        ];
        for (name, step) in steps {
            if let Some(step) = step {
                write!(f, " {name} {}", step.as_millis())?;
            }
        }
        Ok(())
    }
}
