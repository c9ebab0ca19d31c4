//! Batch scheduler of the simulated engine.
//!
//! Each step admits waiting requests by priority and arrival, prefills prompts up to a limit and generates one token
//! for each sequence whose prefill is complete. The step lasts as long as [`EngineModel`](crate::engine::EngineModel)
//! says.

use crate::engine::{EngineState, Sequence, SharedEngine, token_text};
use std::{sync::Arc, time::Duration};

/// Maximum number of prompt tokens prefilled in one step, over all sequences.
const MAX_PREFILL_TOKENS: usize = 512;

/// Runs steps until the engine is dropped.
pub(super) async fn run(shared: Arc<SharedEngine>) {
    loop {
        let work_available = shared.work_available.notified();
        let Some(duration) = plan_step(&mut shared.lock()) else {
            work_available.await;
            continue;
        };
        tokio::time::sleep(duration).await;
        finish_step(&mut shared.lock());
    }
}

fn plan_step(state: &mut EngineState) -> Option<Duration> {
    admit(state);
    if state.running.is_empty() {
        return None;
    }
    let prefill = state
        .running
        .iter()
        .map(|sequence| sequence.remaining_prefill)
        .sum::<usize>()
        .min(MAX_PREFILL_TOKENS);
    let model = &state.model;
    let micros = model.step_us
        + model.sequence_us * state.running.len() as u64
        + model.prefill_us * prefill as u64;
    state.stats.steps += 1;
    state.stats.step_sequences += state.running.len() as u64;
    Some(Duration::from_micros(micros))
}

fn admit(state: &mut EngineState) {
    while state.running.len() < state.model.batch {
        let next = state
            .waiting
            .iter()
            .enumerate()
            .min_by_key(|(_, sequence)| (sequence.priority, sequence.arrival));
        let Some(index) = next.map(|(index, _)| index) else {
            return;
        };
        let Some(mut sequence) = state.waiting.remove(index) else {
            return;
        };
        sequence.remaining_prefill = update_prefix_cache(state, &sequence);
        state.running.push(sequence);
    }
}

/// Returns the number of prompt tokens to prefill and puts the prompt's prefix in the cache.
///
/// Only an eighth of a prompt with a cached prefix is prefilled. Beyond the capacity, the least recently used
/// prefixes are evicted.
fn update_prefix_cache(state: &mut EngineState, sequence: &Sequence) -> usize {
    let key = format!(
        "{}:{}",
        sequence.model,
        sequence.prompt.chars().take(64).collect::<String>()
    );
    let tokens = sequence.prompt.len() / 4;
    if let Some(position) = state
        .cached_prefixes
        .iter()
        .position(|(cached, _)| *cached == key)
    {
        let entry = state
            .cached_prefixes
            .remove(position)
            .expect("the position comes from a search of the same queue");
        state.cached_prefixes.push_back(entry);
        return tokens / 8;
    }
    state.cached_prefixes.push_back((key, tokens));
    let mut cached_tokens: usize = state.cached_prefixes.iter().map(|(_, tokens)| tokens).sum();
    while cached_tokens > state.model.cache_tokens {
        let Some((_, evicted)) = state.cached_prefixes.pop_front() else {
            break;
        };
        cached_tokens -= evicted;
    }
    tokens
}

fn finish_step(state: &mut EngineState) {
    let mut prefill = MAX_PREFILL_TOKENS;
    for sequence in &mut state.running {
        let prefilled = sequence.remaining_prefill.min(prefill);
        sequence.remaining_prefill -= prefilled;
        prefill -= prefilled;
        if sequence.remaining_prefill == 0 {
            generate_token(sequence);
        }
    }
    state
        .running
        .retain(|sequence| sequence.generated_tokens < sequence.max_tokens);
}

fn generate_token(sequence: &mut Sequence) {
    let text = token_text(&sequence.model, &sequence.prompt, sequence.generated_tokens);
    sequence.generated_tokens += 1;
    {
        let mut buffer = sequence
            .stream
            .buffer
            .lock()
            .expect("no thread panics while it holds the lock");
        buffer.tokens.push(text);
        buffer.done = sequence.generated_tokens >= sequence.max_tokens;
    }
    sequence.stream.changed.notify_waiters();
}
