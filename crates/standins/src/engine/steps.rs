//! The engine's steps: admission by priority, prefill, one token for each sequence.

use crate::engine::{EngineState, Sequence, SharedEngine, token_text};
use std::{sync::Arc, time::Duration};

/// Prompt tokens that one step takes on.
const PREFILL_CHUNK: usize = 512;

/// Runs steps until the engine is dropped.
pub(super) async fn run(shared: Arc<SharedEngine>) {
    loop {
        let work = shared.work.notified();
        let Some(span) = plan_step(&mut shared.lock()) else {
            work.await;
            continue;
        };
        tokio::time::sleep(span).await;
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
        .map(|sequence| sequence.prefill_left)
        .sum::<usize>()
        .min(PREFILL_CHUNK);
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
            .min_by_key(|(_, sequence)| (sequence.priority, sequence.arrived));
        let Some(index) = next.map(|(index, _)| index) else {
            return;
        };
        let Some(mut sequence) = state.waiting.remove(index) else {
            return;
        };
        sequence.prefill_left = uncached(state, &sequence);
        state.running.push(sequence);
    }
}

/// Prompt tokens that the prefix cache does not hold.
fn uncached(state: &mut EngineState, sequence: &Sequence) -> usize {
    let key = format!(
        "{}:{}",
        sequence.model,
        sequence.prompt.chars().take(64).collect::<String>()
    );
    let tokens = sequence.prompt.len() / 4;
    if let Some(position) = state.prefixes.iter().position(|(known, _)| *known == key) {
        let entry = state
            .prefixes
            .remove(position)
            .expect("the position was just found");
        state.prefixes.push_back(entry);
        return tokens / 8;
    }
    state.prefixes.push_back((key, tokens));
    let mut held: usize = state.prefixes.iter().map(|(_, tokens)| tokens).sum();
    while held > state.model.cache_tokens {
        let Some((_, dropped)) = state.prefixes.pop_front() else {
            break;
        };
        held -= dropped;
    }
    tokens
}

fn finish_step(state: &mut EngineState) {
    let mut prefill = PREFILL_CHUNK;
    for sequence in &mut state.running {
        let taken = sequence.prefill_left.min(prefill);
        sequence.prefill_left -= taken;
        prefill -= taken;
        if sequence.prefill_left == 0 {
            make_token(sequence);
        }
    }
    state
        .running
        .retain(|sequence| sequence.made < sequence.wanted);
}

fn make_token(sequence: &mut Sequence) {
    let text = token_text(&sequence.model, &sequence.prompt, sequence.made);
    sequence.made += 1;
    {
        let mut buffer = sequence
            .stream
            .buffer
            .lock()
            .expect("no holder of the lock panics");
        buffer.tokens.push(text);
        buffer.done = sequence.made >= sequence.wanted;
    }
    sequence.stream.grown.notify_waiters();
}
