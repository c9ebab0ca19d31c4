//! How fast engines read prompts, and what each still has to read, from when first events come.
//!
//! An engine reads prompts one after another, the more urgent first, and gives a call's first event when its prompt is
//! read. So the gap between two first events of a busy engine is the time that it took for one prompt, and prompts
//! without a first event are what it still has to read. Nothing is asked of the engine for it, and no figure of an
//! engine is written down: another make of engine, a longer step beside many running calls, or a fault that slows one
//! engine show in the same gaps.
//!
//! Two estimates are kept: the zone's line (time = start + tokens x time a token), which many calls feed, and each
//! engine's factor against that line, which few calls suffice for.

use crate::{direct::planner::CallKey, ids::Instant};
use std::{ops::Range, time::Duration};

/// Starting guess for the time of a prompt of no tokens, in ms: a step and two ways on the network.
const START_GUESS_MS: f64 = 12.0;
/// Starting guess for a token, in ms; engines seen so far take 0.025 to 0.07.
const TOKEN_GUESS_MS: f64 = 0.05;
/// Prompts, in tokens, at which the guess counts as seen: a short and a long one.
const GUESSED_AT: [f64; 2] = [500.0, 6_000.0];
/// Weight of each guessed prompt beside the decayed count of real ones; a second of calls outweighs them.
const GUESS_WEIGHT: f64 = 0.5;
/// Half-life of what was seen, in seconds: an engine's load changes within a few seconds.
const HALF_LIFE_S: f64 = 4.0;
/// Bounds of a prompt's time against the line; one that lies beyond counts as lying there.
const OUTLIER: f64 = 4.0;
/// Bounds of the time for a token, in ms: no engine reads 200 tokens a ms, and one that reads 1 is of no use.
const TOKEN_BOUNDS_MS: [f64; 2] = [0.005, 1.0];
/// Weight of the newest prompt in an engine's factor: ten prompts bring it nine tenths of the way.
const FACTOR_WEIGHT: f64 = 0.2;
/// Half-life of an engine's factor while nothing is seen of it, so that a slow one is tried again.
const FACTOR_HALF_LIFE_S: f64 = 6.0;
/// Bounds of an engine's factor.
const FACTOR_BOUNDS: [f64; 2] = [0.25, 16.0];
/// Factors that say nothing: short prompts beside running calls scatter as far, and calls that follow the scatter lose the
/// engines that kept their prompts.
const ALIKE: Range<f64> = 0.7..1.4;
/// Part of the time that an overdue prompt has taken already which it is expected to take on top.
const OVERDUE_PART: f64 = 0.5;

/// The zone's line: the time for a prompt by its tokens, from decayed sums.
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
    /// A prompt of `tokens` took a time.
    pub fn record(&mut self, tokens: u32, took: Duration, now: Instant) {
        let expected = millis_of(self.expected_time(tokens));
        let bounds = (expected / OUTLIER, expected * OUTLIER);
        let millis = millis_of(took).clamp(bounds.0, bounds.1);
        let kept = 0.5_f64.powf(now.since(self.seen_at).as_secs_f64() / HALF_LIFE_S);
        let tokens = f64::from(tokens);
        self.weight = self.weight * kept + 1.0;
        self.tokens = self.tokens * kept + tokens;
        self.millis = self.millis * kept + millis;
        self.squares = self.squares * kept + tokens * tokens;
        self.products = self.products * kept + tokens * millis;
        self.seen_at = now;
    }

    /// Expected time for a prompt.
    #[must_use]
    pub fn expected_time(&self, tokens: u32) -> Duration {
        let (start, token) = self.coefficients();
        Duration::from_secs_f64((start + token * f64::from(tokens)) / 1e3)
    }

    /// Milliseconds for a prompt of no tokens, and for each token.
    #[must_use]
    pub fn coefficients(&self) -> (f64, f64) {
        let (mut weight, mut tokens, mut millis) = (self.weight, self.tokens, self.millis);
        let (mut squares, mut products) = (self.squares, self.products);
        for at in GUESSED_AT {
            let guess = START_GUESS_MS + TOKEN_GUESS_MS * at;
            weight += GUESS_WEIGHT;
            tokens += GUESS_WEIGHT * at;
            millis += GUESS_WEIGHT * guess;
            squares += GUESS_WEIGHT * at * at;
            products += GUESS_WEIGHT * at * guess;
        }
        let spread = weight * squares - tokens * tokens;
        let token = (weight * products - tokens * millis) / spread;
        let token = token.clamp(TOKEN_BOUNDS_MS[0], TOKEN_BOUNDS_MS[1]);
        let start = (millis - token * tokens) / weight;
        (start.max(0.0), token)
    }
}

/// A prompt that was sent to an engine and whose first event has not come.
#[derive(Clone, Debug)]
struct WaitingPrompt {
    key: CallKey,
    tokens: u32,
    rank: u8,
    /// When it reached the engine, as far as known.
    ready_at: Instant,
    /// Time that the engine gave it before more urgent ones came in between.
    given: Duration,
}

/// What one engine still has to read.
#[derive(Clone, Debug)]
pub struct PrefillQueue {
    waiting: Vec<WaitingPrompt>,
    /// Since when the engine has been at the prompt that comes next.
    read_from: Instant,
    factor: f64,
    seen_at: Instant,
}

impl Default for PrefillQueue {
    fn default() -> Self {
        Self {
            waiting: Vec::new(),
            read_from: Instant::default(),
            factor: 1.0,
            seen_at: Instant::default(),
        }
    }
}

impl PrefillQueue {
    /// A prompt was sent, and reaches the engine at `ready_at`.
    pub fn add(&mut self, key: CallKey, tokens: u32, rank: u8, ready_at: Instant) {
        self.waiting.push(WaitingPrompt {
            key,
            tokens,
            rank,
            ready_at,
            given: Duration::ZERO,
        });
    }

    /// The first event of a call came: its prompt is read.
    pub fn record_first_event(&mut self, key: &CallKey, pace: &mut PrefillModel, now: Instant) {
        let Some(at) = self.waiting.iter().position(|prompt| prompt.key == *key) else {
            return;
        };
        let was_next = self.next_at(now) == Some(at);
        let prompt = self.waiting.remove(at);
        let start = self.read_from.max(prompt.ready_at);
        let took = now.since(start);
        if was_next && prompt.given.is_zero() {
            let expected = millis_of(pace.expected_time(prompt.tokens)).max(1.0);
            let ratio = (millis_of(took) / expected).clamp(FACTOR_BOUNDS[0], FACTOR_BOUNDS[1]);
            let log = self.factor(now).ln();
            self.factor = (log + (ratio.ln() - log) * FACTOR_WEIGHT).exp();
            self.seen_at = now;
            pace.record(prompt.tokens, took, now);
        } else if !was_next {
            let own = self
                .scaled(pace.expected_time(prompt.tokens), now)
                .min(took);
            let rest = now.since(self.read_from).saturating_sub(own);
            self.give_next(rest, now);
        }
        self.read_from = now;
    }

    /// A call ended, whether its first event came or not.
    pub fn remove(&mut self, key: &CallKey) {
        self.waiting.retain(|prompt| prompt.key != *key);
    }

    /// Whether it reads nothing.
    #[must_use]
    pub fn is_idle(&self, now: Instant) -> bool {
        self.waiting.iter().all(|prompt| prompt.ready_at > now)
    }

    /// Time until the engine has read what it would read before a prompt of a rank that is sent now.
    #[must_use]
    pub fn backlog(&self, rank: u8, pace: &PrefillModel, now: Instant) -> Duration {
        let next = self.next_at(now);
        let mut total = Duration::ZERO;
        for (at, prompt) in self.waiting.iter().enumerate() {
            if next == Some(at) {
                total += self.rest(prompt, pace, now);
            } else if prompt.rank <= rank {
                let time = self.scaled(pace.expected_time(prompt.tokens), now);
                total += time.saturating_sub(prompt.given);
            }
        }
        total
    }

    /// Time that the engine takes for a prompt by itself.
    #[must_use]
    pub fn prefill_time(&self, tokens: u32, pace: &PrefillModel, now: Instant) -> Duration {
        self.scaled(pace.expected_time(tokens), now)
    }

    /// The engine's time against the zone's line; 1 where that says nothing, or nothing was seen of it for long.
    #[must_use]
    pub fn factor(&self, now: Instant) -> f64 {
        let factor = self.learned(now);
        if ALIKE.contains(&factor) { 1.0 } else { factor }
    }

    /// What was learned of the engine's time against the zone's line, as far as it is not forgotten.
    fn learned(&self, now: Instant) -> f64 {
        let age = now.since(self.seen_at).as_secs_f64();
        self.factor.powf(0.5_f64.powf(age / FACTOR_HALF_LIFE_S))
    }

    /// What is left of the prompt that the engine is at; one that is overdue takes as long again in part.
    fn rest(&self, prompt: &WaitingPrompt, pace: &PrefillModel, now: Instant) -> Duration {
        let since = self.read_from.max(prompt.ready_at);
        let spent = prompt.given + now.since(since);
        let time = self.scaled(pace.expected_time(prompt.tokens), now);
        time.saturating_sub(spent)
            .max(spent.saturating_sub(time).mul_f64(OVERDUE_PART))
    }

    fn scaled(&self, time: Duration, now: Instant) -> Duration {
        time.mul_f64(self.factor(now))
    }

    /// The prompt that the engine is at: the most urgent one that reached it, the earliest of these.
    fn next_at(&self, now: Instant) -> Option<usize> {
        let reached = self.waiting.iter().enumerate();
        reached
            .filter(|(_, prompt)| prompt.ready_at <= now)
            .min_by_key(|(_, prompt)| (prompt.given.is_zero(), prompt.rank, prompt.ready_at))
            .map(|(at, _)| at)
    }

    fn give_next(&mut self, span: Duration, now: Instant) {
        if let Some(at) = self.next_at(now) {
            self.waiting[at].given += span;
        }
    }
}

fn millis_of(span: Duration) -> f64 {
    span.as_secs_f64() * 1e3
}
