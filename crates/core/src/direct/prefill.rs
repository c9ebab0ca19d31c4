//! Estimates how fast engines prefill prompts and how much each still has to prefill, from the times of first events.
//!
//! An engine prefills prompts one after another, the most urgent first, and sends a call's first event when its prompt
//! is done. The time between two first events of a busy engine is therefore the prefill time of one prompt, and prompts
//! without a first event are the engine's backlog. This needs no request to the engine and no configured figures:
//! another make of engine, a longer step beside many running calls, or a fault that slows one engine all show in these
//! times.
//!
//! There are two estimates: the zone's linear model (time = overhead + tokens * time per token), which many calls feed,
//! and the factor of each engine relative to that model, for which few calls suffice.

use crate::{direct::planner::CallKey, ids::Instant};
use std::{ops::Range, time::Duration};

/// Initial guess for a prompt without tokens: one engine step and a network round trip.
const OVERHEAD_GUESS_MS: f64 = 12.0;
/// Initial guess per token; known engines take 0.025 to 0.07 ms.
const TOKEN_GUESS_MS: f64 = 0.05;
/// Lengths in tokens of the two guessed prompts, a short and a long one, that the model starts with.
const GUESSED_PROMPTS: [f64; 2] = [500.0, 6_000.0];
/// Weight of each guessed prompt against the decayed number of real ones; one second of calls outweighs both.
const GUESS_WEIGHT: f64 = 0.5;
/// Half-life of observations: the load of an engine changes within a few seconds.
const HALF_LIFE_S: f64 = 4.0;
/// Largest factor between a prompt's time and the model; times beyond it are clamped.
const MAX_OUTLIER_FACTOR: f64 = 4.0;
/// Bounds of the time per token: no engine prefills 200 tokens per ms, and one that prefills 1 per ms is unusable.
const TOKEN_BOUNDS_MS: [f64; 2] = [0.005, 1.0];
/// Weight of the newest prompt in an engine's factor: ten prompts move it by nine tenths.
const FACTOR_WEIGHT: f64 = 0.2;
/// Half-life of an engine's factor without observations, so that a slow engine is tried again.
const FACTOR_HALF_LIFE_S: f64 = 6.0;
/// Bounds of an engine's factor.
const FACTOR_BOUNDS: [f64; 2] = [0.25, 16.0];
/// Factors that count as 1. Times of short prompts beside running calls scatter as widely, and calls that followed this
/// noise would leave the engines that have their prompts in the cache.
const NEUTRAL_FACTORS: Range<f64> = 0.7..1.4;
/// Additional time that an overdue prompt is expected to take, as a part of the time it has taken beyond its estimate.
const OVERDUE_RATIO: f64 = 0.5;
/// Time below which no prompt counts as overdue.
const MIN_OVERDUE_TIME: Duration = Duration::from_millis(400);

/// Linear model of the prefill time in a zone, fitted to exponentially decayed sums.
#[derive(Clone, Copy, Debug)]
pub struct PrefillModel {
    weight: f64,
    tokens: f64,
    millis: f64,
    squares: f64,
    products: f64,
    seen_at: Instant,
}

impl Default for PrefillModel {
    fn default() -> Self {
        Self {
            weight: 0.0,
            tokens: 0.0,
            millis: 0.0,
            squares: 0.0,
            products: 0.0,
            seen_at: Instant::default(),
        }
    }
}

impl PrefillModel {
    /// Records that the prefill of a prompt took `duration`.
    pub fn record(&mut self, tokens: u32, duration: Duration, now: Instant) {
        let expected = millis_of(self.expected_time(tokens));
        let bounds = (expected / MAX_OUTLIER_FACTOR, expected * MAX_OUTLIER_FACTOR);
        let millis = millis_of(duration).clamp(bounds.0, bounds.1);
        let decay = 0.5_f64.powf(now.since(self.seen_at).as_secs_f64() / HALF_LIFE_S);
        let tokens = f64::from(tokens);
        self.weight = self.weight * decay + 1.0;
        self.tokens = self.tokens * decay + tokens;
        self.millis = self.millis * decay + millis;
        self.squares = self.squares * decay + tokens * tokens;
        self.products = self.products * decay + tokens * millis;
        self.seen_at = now;
    }

    /// Expected prefill time of a prompt.
    #[must_use]
    pub fn expected_time(&self, tokens: u32) -> Duration {
        let (overhead, per_token) = self.coefficients();
        Duration::from_secs_f64((overhead + per_token * f64::from(tokens)) / 1e3)
    }

    /// Milliseconds for a prompt without tokens, and per token.
    #[must_use]
    pub fn coefficients(&self) -> (f64, f64) {
        let (mut weight, mut tokens, mut millis) = (self.weight, self.tokens, self.millis);
        let (mut squares, mut products) = (self.squares, self.products);
        for guessed_tokens in GUESSED_PROMPTS {
            let guess = OVERHEAD_GUESS_MS + TOKEN_GUESS_MS * guessed_tokens;
            weight += GUESS_WEIGHT;
            tokens += GUESS_WEIGHT * guessed_tokens;
            millis += GUESS_WEIGHT * guess;
            squares += GUESS_WEIGHT * guessed_tokens * guessed_tokens;
            products += GUESS_WEIGHT * guessed_tokens * guess;
        }
        let determinant = weight * squares - tokens * tokens;
        let per_token = (weight * products - tokens * millis) / determinant;
        let per_token = per_token.clamp(TOKEN_BOUNDS_MS[0], TOKEN_BOUNDS_MS[1]);
        let overhead = (millis - per_token * tokens) / weight;
        (overhead.max(0.0), per_token)
    }
}

/// A prompt that was sent to an engine and has no first event yet.
#[derive(Clone, Debug)]
struct WaitingPrompt {
    key: CallKey,
    tokens: u32,
    rank: u8,
    /// When it reached the engine, as far as known.
    ready_at: Instant,
    /// Prefill time that it got before more urgent prompts preempted it.
    prior_time: Duration,
}

/// Prompts that one engine still has to prefill, and the engine's factor.
#[derive(Clone, Debug)]
pub struct PrefillQueue {
    waiting: Vec<WaitingPrompt>,
    /// Since when the engine has been prefilling its current prompt.
    prefill_since: Instant,
    factor: f64,
    seen_at: Instant,
}

impl Default for PrefillQueue {
    fn default() -> Self {
        Self {
            waiting: Vec::new(),
            prefill_since: Instant::default(),
            factor: 1.0,
            seen_at: Instant::default(),
        }
    }
}

impl PrefillQueue {
    /// Adds a prompt that was sent and reaches the engine at `ready_at`.
    pub fn add(&mut self, key: CallKey, tokens: u32, rank: u8, ready_at: Instant) {
        self.waiting.push(WaitingPrompt {
            key,
            tokens,
            rank,
            ready_at,
            prior_time: Duration::ZERO,
        });
    }

    /// Records the first event of a call, whose prompt is prefilled now.
    pub fn record_first_event(&mut self, key: &CallKey, model: &mut PrefillModel, now: Instant) {
        let Some(index) = self.waiting.iter().position(|prompt| prompt.key == *key) else {
            return;
        };
        let was_current = self.current_index(now) == Some(index);
        let prompt = self.waiting.remove(index);
        let start = self.prefill_since.max(prompt.ready_at);
        let duration = now.since(start);
        if was_current && prompt.prior_time.is_zero() {
            let expected = millis_of(model.expected_time(prompt.tokens)).max(1.0);
            let newest_factor =
                (millis_of(duration) / expected).clamp(FACTOR_BOUNDS[0], FACTOR_BOUNDS[1]);
            let log = self.factor(now).ln();
            self.factor = (log + (newest_factor.ln() - log) * FACTOR_WEIGHT).exp();
            self.seen_at = now;
            model.record(prompt.tokens, duration, now);
        } else if !was_current {
            let own_time = self
                .scaled(model.expected_time(prompt.tokens), now)
                .min(duration);
            let other_time = now.since(self.prefill_since).saturating_sub(own_time);
            self.credit_current(other_time, now);
        }
        self.prefill_since = now;
    }

    /// Removes the prompt of a call that has ended, with or without a first event.
    pub fn remove(&mut self, key: &CallKey) {
        self.waiting.retain(|prompt| prompt.key != *key);
    }

    /// Whether the engine has no prompt to prefill.
    #[must_use]
    pub fn is_idle(&self, now: Instant) -> bool {
        self.waiting.iter().all(|prompt| prompt.ready_at > now)
    }

    /// Time until the engine has prefilled all that precedes a prompt of this rank sent at `now`.
    #[must_use]
    pub fn backlog(&self, rank: u8, model: &PrefillModel, now: Instant) -> Duration {
        let current = self.current_index(now);
        let mut total = Duration::ZERO;
        for (index, prompt) in self.waiting.iter().enumerate() {
            if current == Some(index) {
                total += self.remaining_time(prompt, model, now);
            } else if prompt.rank <= rank {
                let time = self.scaled(model.expected_time(prompt.tokens), now);
                total += time.saturating_sub(prompt.prior_time);
            }
        }
        total
    }

    /// Number of prompts that have waited for twice the time that the engine needs for all its prompts, and for
    /// `MIN_OVERDUE_TIME` at least.
    #[must_use]
    pub fn overdue_count(&self, model: &PrefillModel, now: Instant) -> usize {
        let limit = self.overdue_limit(model, now);
        let overdue = self.waiting.iter();
        overdue
            .filter(|prompt| now.since(prompt.ready_at) > limit)
            .count()
    }

    fn overdue_limit(&self, model: &PrefillModel, now: Instant) -> Duration {
        let times = self.waiting.iter();
        let expected: Duration = times
            .map(|prompt| self.scaled(model.expected_time(prompt.tokens), now))
            .sum();
        (expected * 2).max(MIN_OVERDUE_TIME)
    }

    /// Number of prompts that reached the engine less than `span` ago, or are yet to reach it.
    #[must_use]
    pub fn recent_count(&self, span: Duration, now: Instant) -> usize {
        let recent = self.waiting.iter();
        recent
            .filter(|prompt| now.since(prompt.ready_at) < span)
            .count()
    }

    /// Removes up to `count` overdue prompts, the oldest first, because the engine does not have them.
    pub fn remove_overdue(&mut self, count: usize, model: &PrefillModel, now: Instant) {
        let limit = self.overdue_limit(model, now);
        self.waiting.sort_by_key(|prompt| prompt.ready_at);
        let mut left = count;
        self.waiting.retain(|prompt| {
            let is_removed = left > 0 && now.since(prompt.ready_at) > limit;
            left -= usize::from(is_removed);
            !is_removed
        });
    }

    /// Expected time for the prompt itself at this engine.
    #[must_use]
    pub fn prefill_time(&self, tokens: u32, model: &PrefillModel, now: Instant) -> Duration {
        self.scaled(model.expected_time(tokens), now)
    }

    /// The engine's time relative to the model; 1 if the difference is not significant or the observations are old.
    #[must_use]
    pub fn factor(&self, now: Instant) -> f64 {
        let factor = self.learned_factor(now);
        if NEUTRAL_FACTORS.contains(&factor) {
            1.0
        } else {
            factor
        }
    }

    /// The learned factor, decayed since the last observation.
    fn learned_factor(&self, now: Instant) -> f64 {
        let age = now.since(self.seen_at).as_secs_f64();
        self.factor.powf(0.5_f64.powf(age / FACTOR_HALF_LIFE_S))
    }

    /// Expected remaining time of the current prompt; an overdue one gets a part of its delay on top.
    fn remaining_time(
        &self,
        prompt: &WaitingPrompt,
        model: &PrefillModel,
        now: Instant,
    ) -> Duration {
        let since = self.prefill_since.max(prompt.ready_at);
        let spent = prompt.prior_time + now.since(since);
        let time = self.scaled(model.expected_time(prompt.tokens), now);
        time.saturating_sub(spent)
            .max(spent.saturating_sub(time).mul_f64(OVERDUE_RATIO))
    }

    fn scaled(&self, time: Duration, now: Instant) -> Duration {
        time.mul_f64(self.factor(now))
    }

    /// Index of the current prompt among those that have arrived: preempted ones first, then by rank, then by arrival.
    fn current_index(&self, now: Instant) -> Option<usize> {
        let arrived = self.waiting.iter().enumerate();
        arrived
            .filter(|(_, prompt)| prompt.ready_at <= now)
            .min_by_key(|(_, prompt)| (prompt.prior_time.is_zero(), prompt.rank, prompt.ready_at))
            .map(|(index, _)| index)
    }

    fn credit_current(&mut self, span: Duration, now: Instant) {
        if let Some(index) = self.current_index(now) {
            self.waiting[index].prior_time += span;
        }
    }
}

fn millis_of(span: Duration) -> f64 {
    span.as_secs_f64() * 1e3
}
