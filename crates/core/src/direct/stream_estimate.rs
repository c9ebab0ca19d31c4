//! How long a stream may take, from those that ended lately.
//!
//! A VM that stops takes late in its stop only what is sure to end in time. How long that is depends on the engines and
//! their load: the sheets' 1 s to the first event and 15 ms a token were exceeded twice over by a heavily loaded engine,
//! and the stream was cut. So the longest that was seen lately counts, with a margin; but never less than the sheets'
//! figures, as the long streams of a VM that has just started have not ended yet, and load may rise while a stream runs.

use crate::ids::Instant;
use std::time::Duration;

/// Half-life of a peak, in seconds: a load that has passed counts half after this.
const HALF_LIFE_S: f64 = 10.0;
/// Part by which a stream may take longer than the longest that was seen.
const MARGIN: f64 = 1.5;
/// Guesses before anything was seen: ms to the first event, ms an event, events a token.
const START_GUESS_MS: f64 = 1_000.0;
const EVENT_GUESS_MS: f64 = 40.0;
const EVENTS_GUESS: f64 = 1.0;
/// Least that counts, from the users' sheets: ms to the first event, and ms a token.
const START_LEAST_MS: f64 = 1_000.0;
const TOKEN_LEAST_MS: f64 = 15.0;

/// A value that falls with time until something larger is seen.
#[derive(Clone, Copy, Debug)]
struct DecayedPeak {
    value: f64,
    seen_at: Instant,
}

impl DecayedPeak {
    fn value(&self, now: Instant) -> f64 {
        let age = now.since(self.seen_at).as_secs_f64();
        self.value * 0.5_f64.powf(age / HALF_LIFE_S)
    }

    fn note(peak: &mut Option<Self>, value: f64, now: Instant) {
        let kept = peak.map_or(0.0, |peak| peak.value(now));
        *peak = Some(Self {
            value: value.max(kept),
            seen_at: now,
        });
    }
}

/// Longest parts of the streams that ended lately.
#[derive(Clone, Copy, Debug, Default)]
pub struct StreamEstimate {
    start_ms: Option<DecayedPeak>,
    event_ms: Option<DecayedPeak>,
    /// Events for each token that the caller allowed; does not fall, as it is the engines' way of sending.
    events_part: Option<f64>,
}

impl StreamEstimate {
    /// A stream's first event came after a time.
    pub fn record_start(&mut self, held: Duration, now: Instant) {
        DecayedPeak::note(&mut self.start_ms, held.as_secs_f64() * 1e3, now);
    }

    /// A stream of a number of events ended a span after its first one; its caller allowed `most_output` tokens.
    pub fn record_end(&mut self, events: u64, span: Duration, most_output: u32, now: Instant) {
        let gaps = events.saturating_sub(1);
        if gaps == 0 || most_output == 0 {
            return;
        }
        let each = span.as_secs_f64() * 1e3 / gaps as f64;
        DecayedPeak::note(&mut self.event_ms, each, now);
        let part = events as f64 / f64::from(most_output);
        self.events_part = Some(self.events_part.unwrap_or(0.0).max(part.min(1.0)));
    }

    /// Longest time that a stream of up to `most_output` tokens is expected to take.
    #[must_use]
    pub fn max_duration(&self, most_output: u32, now: Instant) -> Duration {
        let seen = |peak: Option<DecayedPeak>, guess| peak.map_or(guess, |peak| peak.value(now));
        let start = seen(self.start_ms, START_GUESS_MS);
        let each = seen(self.event_ms, EVENT_GUESS_MS);
        let events = f64::from(most_output) * self.events_part.unwrap_or(EVENTS_GUESS);
        let least = START_LEAST_MS + TOKEN_LEAST_MS * f64::from(most_output);
        let longest = (start + each * events) * MARGIN;
        Duration::from_secs_f64(longest.max(least) / 1e3)
    }
}
