//! Estimates how long a stream may take, from the streams that ended recently.
//!
//! A VM that is stopping only accepts calls that are certain to end in time. The duration depends on the engines and
//! their load: the specified 1 s to the first event and 15 ms per token were exceeded by a factor of two on a heavily
//! loaded engine, and the stream was cut off. The estimate is therefore the longest recent duration with a safety
//! factor. It is never below the specified figures, because the long streams of a VM that has just started have not
//! ended yet and the load may rise while a stream runs.

use crate::ids::Instant;
use std::time::Duration;

/// Half-life of a recorded peak, so that past load loses its weight.
const HALF_LIFE_S: f64 = 10.0;
/// Factor by which a stream may take longer than the longest recent one.
const SAFETY_FACTOR: f64 = 1.5;
/// Guesses without observations: time to the first event, time per event, and events per token.
const FIRST_EVENT_GUESS_MS: f64 = 1_000.0;
const EVENT_GUESS_MS: f64 = 40.0;
const EVENTS_PER_TOKEN_GUESS: f64 = 1.0;
/// Lower bounds, the specified time to the first event and per token.
const MIN_FIRST_EVENT_MS: f64 = 1_000.0;
const MIN_TOKEN_MS: f64 = 15.0;

/// A maximum that decays with time until a larger value is recorded.
#[derive(Clone, Copy, Debug)]
struct DecayedPeak {
    value: f64,
    recorded_at: Instant,
}

impl DecayedPeak {
    fn value(&self, now: Instant) -> f64 {
        let age = now.since(self.recorded_at).as_secs_f64();
        self.value * 0.5_f64.powf(age / HALF_LIFE_S)
    }

    fn note(peak: &mut Option<Self>, value: f64, now: Instant) {
        let decayed = peak.map_or(0.0, |peak| peak.value(now));
        *peak = Some(Self {
            value: value.max(decayed),
            recorded_at: now,
        });
    }
}

/// Longest recent times of streams, for the estimate.
#[derive(Clone, Copy, Debug, Default)]
pub struct StreamEstimate {
    first_event_ms: Option<DecayedPeak>,
    event_ms: Option<DecayedPeak>,
    /// Largest number of events per token of `max_tokens`. Does not decay, as it is a property of the engines.
    events_per_token: Option<f64>,
}

impl StreamEstimate {
    /// Records the time to the first event of a stream.
    pub fn record_start(&mut self, delay: Duration, now: Instant) {
        DecayedPeak::note(&mut self.first_event_ms, delay.as_secs_f64() * 1e3, now);
    }

    /// Records a stream of `events` events that took `duration` from its first event, for a call with this token limit.
    pub fn record_end(&mut self, events: u64, duration: Duration, max_tokens: u32, now: Instant) {
        let gaps = events.saturating_sub(1);
        if gaps == 0 || max_tokens == 0 {
            return;
        }
        let ms_per_event = duration.as_secs_f64() * 1e3 / gaps as f64;
        DecayedPeak::note(&mut self.event_ms, ms_per_event, now);
        let ratio = events as f64 / f64::from(max_tokens);
        self.events_per_token = Some(self.events_per_token.unwrap_or(0.0).max(ratio.min(1.0)));
    }

    /// Longest expected duration of a stream of up to `max_tokens` tokens.
    #[must_use]
    pub fn max_duration(&self, max_tokens: u32, now: Instant) -> Duration {
        let observed =
            |peak: Option<DecayedPeak>, guess| peak.map_or(guess, |peak| peak.value(now));
        let first_event = observed(self.first_event_ms, FIRST_EVENT_GUESS_MS);
        let ms_per_event = observed(self.event_ms, EVENT_GUESS_MS);
        let events =
            f64::from(max_tokens) * self.events_per_token.unwrap_or(EVENTS_PER_TOKEN_GUESS);
        let min_ms = MIN_FIRST_EVENT_MS + MIN_TOKEN_MS * f64::from(max_tokens);
        let expected_ms = (first_event + ms_per_event * events) * SAFETY_FACTOR;
        Duration::from_secs_f64(expected_ms.max(min_ms) / 1e3)
    }
}
