//! Prefill times of engines, learned from first events.

use hoplanding_core::{
    direct::{
        planner::CallKey,
        prefill::{PrefillModel, PrefillQueue},
    },
    ids::{Instant, VmName},
};
use std::time::Duration;

const TOKENS: u32 = 4_000;
/// Prefill time of such a prompt at an engine of normal speed.
const NORMAL_TIME: Duration = Duration::from_millis(212);
/// Prompts after which an engine's speed must be known.
const PROMPTS: u64 = 10;

/// An engine that takes `slowdown` times the normal time for each of `prompts` prompts, in a zone of normal speed.
fn queue_after(slowdown: f64, prompts: u64) -> (PrefillQueue, PrefillModel, Instant) {
    let mut queue = PrefillQueue::default();
    let mut now = Instant(1_000_000);
    for number in 0..prompts {
        // Many other engines feed the zone's model, so the slow engine does not change it.
        let mut model = PrefillModel::default();
        let key = CallKey {
            vm: VmName::new("vm-1"),
            number,
        };
        queue.add(key.clone(), TOKENS, 0, now);
        now = now.after(NORMAL_TIME.mul_f64(slowdown));
        queue.record_first_event(&key, &mut model, now);
    }
    (queue, PrefillModel::default(), now)
}

/// Guards against a factor that never leaves the range in which it counts as 1.
#[test]
fn an_engine_that_is_a_few_times_slow_is_known_to_be_after_ten_prompts() {
    for slowdown in [2.0_f64, 3.0, 4.0, 5.0, 8.0] {
        let (queue, model, now) = queue_after(slowdown, PROMPTS);
        let expected = queue.prefill_time(TOKENS, &model, now);
        // Geometric mean of the engine's own time and the zone's.
        let midpoint = model.expected_time(TOKENS).mul_f64(slowdown.sqrt());
        assert!(expected > midpoint, "{slowdown} times: {expected:?}");
    }
}

#[test]
fn slightly_slower_engine_counts_as_normal() {
    let (queue, model, now) = queue_after(1.3, PROMPTS);
    assert_eq!(
        queue.prefill_time(TOKENS, &model, now),
        model.expected_time(TOKENS)
    );
}

#[test]
fn slow_engine_without_observations_is_tried_again() {
    let (queue, model, now) = queue_after(3.0, PROMPTS);
    let later = now.after(Duration::from_secs(30));
    assert_eq!(
        queue.prefill_time(TOKENS, &model, later),
        model.expected_time(TOKENS)
    );
}
