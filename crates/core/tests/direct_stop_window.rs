//! Calls that a VM still sends during a planned stop.

use hoplanding_core::direct::stop_window::{CallBounds, StopWindow};
use std::time::Duration;

const EXIT_MS: u64 = 7_700;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// The stop this long after the signal.
fn window(after_ms: u64, has_other_vm: bool) -> StopWindow {
    StopWindow {
        until_restricted: ms(2_500_u64.saturating_sub(after_ms)),
        until_exit: ms(EXIT_MS.saturating_sub(after_ms)),
        has_other_vm,
    }
}

fn call(longest_ms: u64, deadline_ms: u64, is_repeatable: bool) -> CallBounds {
    CallBounds {
        until_deadline: ms(deadline_ms),
        longest: ms(longest_ms),
        is_repeatable,
    }
}

/// Guards against calls that may run once, are sent late and are cut at the end of the VM.
#[test]
fn calls_that_may_run_once_end_before_the_vm_wherever_another_vm_serves() {
    for after_ms in (0..EXIT_MS).step_by(50) {
        for longest_ms in (0..15_000).step_by(250) {
            let call = call(longest_ms, 15_000, false);
            let left = window(after_ms, true).time_to_send(&call);
            let ends_ms = after_ms + longest_ms + u64::try_from(left.as_millis()).expect("short");
            assert!(
                left.is_zero() || ends_ms < EXIT_MS,
                "{after_ms} {longest_ms}"
            );
        }
    }
}

/// Guards against refusals in the notice of calls that no other VM could take, or that may be repeated.
#[test]
fn calls_are_taken_in_the_notice_if_they_can_be_repeated_or_have_nowhere_else_to_go() {
    let sent_in_notice = [(true, true), (true, false), (false, false)];
    for (is_repeatable, has_other_vm) in sent_in_notice {
        let long = call(9_000, 15_000, is_repeatable);
        assert_eq!(window(500, has_other_vm).time_to_send(&long), ms(2_000));
        assert_eq!(window(2_500, has_other_vm).time_to_send(&long), ms(0));
    }
    let once = call(9_000, 15_000, false);
    assert_eq!(window(500, true).time_to_send(&once), ms(0));
}

/// Guards against refusals of calls that end by their deadline.
#[test]
fn calls_whose_deadline_comes_before_the_end_are_sent() {
    for is_repeatable in [true, false] {
        let call = call(9_000, 1_500, is_repeatable);
        assert_eq!(window(6_000, true).time_to_send(&call), ms(1_500));
        assert_eq!(window(6_200, true).time_to_send(&call), ms(0));
    }
}

/// Guards against callers that wait for a restart although another VM serves.
#[test]
fn callers_return_at_once_where_another_vm_serves() {
    assert!(window(3_000, true).retry_after() < ms(500));
    assert!(window(3_000, false).retry_after() > ms(EXIT_MS - 3_000));
}
