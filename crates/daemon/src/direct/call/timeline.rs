//! What the time of an answered stream went to, for one log line a stream.

use std::{fmt, time::Duration};
use tokio::time::Instant;

/// Steps of a call on its way, each counted from its arrival.
#[derive(Clone, Copy, Debug)]
pub struct CallTimeline {
    arrived: Instant,
    placed: Option<Duration>,
    expected: Option<Duration>,
    there: Option<Duration>,
    first: Option<Duration>,
    last_at: Option<Instant>,
    longest_pause: Duration,
}

impl CallTimeline {
    /// The timeline of a call that arrived just now.
    #[must_use]
    pub fn new(arrived: Instant) -> Self {
        Self {
            arrived,
            placed: None,
            expected: None,
            there: None,
            first: None,
            last_at: None,
            longest_pause: Duration::ZERO,
        }
    }

    /// A holder gave it a target, and expects its first event after this time.
    pub fn note_placed(&mut self, expected_ms: u32) {
        let placed = self.arrived.elapsed();
        self.placed = Some(placed);
        self.expected = Some(placed + Duration::from_millis(u64::from(expected_ms)));
    }

    /// Its adapter is taken for there, and it is sent.
    pub fn note_there(&mut self) {
        self.there = Some(self.arrived.elapsed());
    }

    /// An event came; says whether it was the first.
    pub fn note_event(&mut self) -> bool {
        let now = Instant::now();
        let is_first = self.first.is_none();
        if is_first {
            self.first = Some(now - self.arrived);
        }
        if let Some(last) = self.last_at.replace(now) {
            self.longest_pause = self.longest_pause.max(now - last);
        }
        is_first
    }

    /// Time from its arrival to its first event, if there was one.
    #[must_use]
    pub fn first_event(&self) -> Option<Duration> {
        self.first
    }
}

impl fmt::Display for CallTimeline {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let steps = [
            ("placed", self.placed),
            ("expected", self.expected),
            ("there", self.there),
            ("first", self.first),
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
