//! Ends of waits for requests on callers' connections.

use hoplanding_core::{
    direct::{config::CallerLimits, request_wait::RequestWait},
    ids::Instant,
};
use std::time::Duration;

fn at(s: u64) -> Instant {
    Instant(s * 1_000_000)
}

fn limits(idle_s: u64, header_s: u64) -> CallerLimits {
    CallerLimits {
        idle_timeout: Duration::from_secs(idle_s),
        header_timeout: Duration::from_secs(header_s),
        ..CallerLimits::default()
    }
}

#[test]
fn a_resting_connection_has_the_header_timeout_beyond_the_idle_timeout() {
    let wait = RequestWait::new(&limits(15, 3), at(100));
    assert_eq!(wait.deadline(&limits(15, 3)), at(118));
}

#[test]
fn a_raised_idle_timeout_applies_to_resting_connections() {
    let wait = RequestWait::new(&limits(2, 3), at(100));
    assert_eq!(wait.deadline(&limits(15, 3)), at(118));
}

/// Callers that count with the earlier limit would meet a closed connection.
#[test]
fn a_lowered_idle_timeout_applies_from_the_next_wait_on() {
    let wait = RequestWait::new(&limits(15, 3), at(100));
    assert_eq!(wait.deadline(&limits(2, 3)), at(118));
    let wait = RequestWait::new(&limits(2, 3), at(110));
    assert_eq!(wait.deadline(&limits(2, 3)), at(115));
}

#[test]
fn a_head_has_the_header_timeout_in_force_from_its_first_byte_on() {
    let mut wait = RequestWait::new(&limits(15, 3), at(100));
    wait.record_received(b"PO", at(114));
    wait.record_received(b"ST", at(116));
    assert_eq!(wait.deadline(&limits(15, 3)), at(117));
    assert_eq!(wait.deadline(&limits(15, 9)), at(123));
    assert_eq!(wait.deadline(&limits(15, 1)), at(115));
}

/// Some callers end a body with an empty line that its length does not count.
#[test]
fn empty_lines_before_a_head_do_not_begin_it() {
    let mut wait = RequestWait::new(&limits(15, 3), at(100));
    wait.record_received(b"\r\n", at(101));
    assert_eq!(wait.deadline(&limits(15, 3)), at(118));
    wait.record_received(b"\r\nG", at(102));
    assert_eq!(wait.deadline(&limits(15, 3)), at(105));
}

/// A slow caller may still receive its answer when the wait for its next request begins.
#[test]
fn a_connection_rests_from_the_last_byte_of_its_answer_on() {
    let mut wait = RequestWait::new(&limits(15, 3), at(100));
    wait.record_sent(at(107));
    assert_eq!(wait.deadline(&limits(15, 3)), at(125));
}
