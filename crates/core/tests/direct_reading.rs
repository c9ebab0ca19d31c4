//! How fast engines read prompts, learned from first events.

use hoplanding_core::{
    direct::{
        planner::CallKey,
        prefill::{PrefillModel, PrefillQueue},
    },
    ids::{Instant, VmName},
};
use std::time::Duration;

const TOKENS: u32 = 4_000;
/// Time of such a prompt at an engine of the zone's speed.
const USUAL: Duration = Duration::from_millis(212);
/// Prompts that show an engine's speed.
const PROMPTS: u64 = 10;

/// An engine that takes `times` the usual time for each of some prompts, in a zone whose line is the usual time.
fn engine_after(times: f64, prompts: u64) -> (PrefillQueue, PrefillModel, Instant) {
    let mut queue = PrefillQueue::default();
    let mut now = Instant(1_000_000);
    for number in 0..prompts {
        // The zone's line is that of its many other engines.
        let mut pace = PrefillModel::default();
        let key = CallKey {
            vm: VmName::new("vm-1"),
            number,
        };
        queue.add(key.clone(), TOKENS, 0, now);
        now = now.after(USUAL.mul_f64(times));
        queue.record_first_event(&key, &mut pace, now);
    }
    (queue, PrefillModel::default(), now)
}

/// Guards against a factor that never leaves the band in which it says nothing.
#[test]
fn an_engine_that_is_a_few_times_slow_is_known_to_be_after_ten_prompts() {
    for times in [2.0_f64, 3.0, 4.0, 5.0, 8.0] {
        let (queue, pace, now) = engine_after(times, PROMPTS);
        let expected = queue.prefill_time(TOKENS, &pace, now);
        // Nearer to its own speed than to the zone's, by their ratio.
        let half_way = pace.expected_time(TOKENS).mul_f64(times.sqrt());
        assert!(expected > half_way, "{times} times: {expected:?}");
    }
}

#[test]
fn an_engine_that_is_hardly_slower_than_others_counts_as_one_of_them() {
    let (queue, pace, now) = engine_after(1.3, PROMPTS);
    assert_eq!(
        queue.prefill_time(TOKENS, &pace, now),
        pace.expected_time(TOKENS)
    );
}

#[test]
fn a_slow_engine_of_which_nothing_is_seen_is_tried_again() {
    let (queue, pace, now) = engine_after(3.0, PROMPTS);
    let later = now.after(Duration::from_secs(30));
    assert_eq!(
        queue.prefill_time(TOKENS, &pace, later),
        pace.expected_time(TOKENS)
    );
}
