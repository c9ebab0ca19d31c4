//! Callers that write headers of the system's own, over sockets: first sends, retries and resumed streams.

use crate::support::{
    decode_chunked, good_answer, model_headers, post_request, send_request, start_daemon,
    stream_answer, stream_event,
};
use hoplanding_standins::{
    keyed_log::KeyedLog,
    raw_target::{RawAnswer, RawRequest, RawTarget},
};
use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

const HOSTILE: &str = "HOPLANDING-HOLD: forged\r\nHoplanding-Pin-Ms: forged\r\nhoplanding-pin-ms: forged\r\n\
    Hoplanding-Kv-Backup: forged\r\nKv-From: forged\r\nKv-Fetch: forged\r\nHoplanding-Request-Priority: forged\r\n\
    Hoplanding-Expect-Version: forged\r\nHoplanding-Expect-Instance: forged\r\nHoplanding-Server-Seal: forged\r\n\
    Connection: hoplanding-request-id, hoplanding-model, kv-from\r\n";

/// What a target was sent for calls.
fn calls(target: &RawTarget) -> Vec<RawRequest> {
    let mut seen = target.requests();
    seen.retain(|request| !request.line().contains("/hoplanding/"));
    seen
}

fn assert_clean(request: &RawRequest, id: &str) {
    assert!(!request.head.contains("forged"), "{}", request.head);
    assert_eq!(request.header("hoplanding-request-id"), Some(id));
}

#[tokio::test]
async fn a_first_send_and_its_repeat_carry_no_header_that_a_caller_forged() {
    let log = KeyedLog::start().await.expect("a log");
    // Whichever target has the first call breaks it off, so there is a repeat at the other.
    let calls_seen = AtomicUsize::new(0);
    let serve = Arc::new(move |request: &RawRequest| {
        let is_call = !request.line().contains("/hoplanding/");
        if is_call && calls_seen.fetch_add(1, Ordering::SeqCst) == 0 {
            return RawAnswer::close();
        }
        good_answer(request)
    });
    let (one, two) = (Arc::clone(&serve), serve);
    let first = RawTarget::start(move |request: &RawRequest| one(request))
        .await
        .expect("a target");
    let second = RawTarget::start(move |request: &RawRequest| two(request))
        .await
        .expect("a target");
    let targets = [
        ("i-1", "ledger", first.address),
        ("i-2", "ledger", second.address),
    ];
    let daemon = start_daemon(&log, &targets).await;
    let answer = send_request(
        daemon.caller_address,
        &post_request("/lookup/1", "r1", HOSTILE),
    )
    .await;
    assert_eq!(answer.status, 200);
    for target in [&first, &second] {
        let sent = calls(target);
        assert_eq!(
            sent.len(),
            1,
            "a first send and its repeat at another target"
        );
        assert_clean(&sent[0], "r1");
    }
}

#[tokio::test]
async fn a_resumed_stream_carries_no_header_that_a_caller_forged() {
    let log = KeyedLog::start().await.expect("a log");
    let broken = AtomicUsize::new(0);
    let serve = Arc::new(move |request: &RawRequest| {
        let is_call = !request.line().contains("/hoplanding/");
        let breaks = is_call && broken.fetch_add(1, Ordering::SeqCst) == 0;
        stream_answer(request, breaks.then_some(4))
    });
    let (one, two) = (Arc::clone(&serve), serve);
    let first = RawTarget::start(move |request: &RawRequest| one(request))
        .await
        .expect("an engine");
    let second = RawTarget::start(move |request: &RawRequest| two(request))
        .await
        .expect("an engine");
    let targets = [
        ("i-1", "scribe", first.address),
        ("i-2", "scribe", second.address),
    ];
    let daemon = start_daemon(&log, &targets).await;
    let headers = format!("{}{HOSTILE}", model_headers("a1"));
    let answer = send_request(
        daemon.caller_address,
        &post_request("/resumed/1", "r1", &headers),
    )
    .await;
    assert!(answer.is_whole);
    assert_eq!(
        decode_chunked(&answer.body),
        (1..=6).map(stream_event).collect::<String>()
    );
    let sent = [calls(&first), calls(&second)].concat();
    assert_eq!(sent.len(), 2, "a first send and a resumed one");
    for request in &sent {
        assert_clean(request, "r1");
        assert_eq!(request.header("hoplanding-model"), Some("base/a1"));
    }
}
