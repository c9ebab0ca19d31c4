//! Callers that forge the system's internal headers: none of them may reach a target with a first send, a retry or a resumed stream.

use crate::support::{
    decode_chunked, good_answer, model_headers, post_request, send_request, start_daemon,
    stream_answer, stream_event,
};
use hoplanding_standins::{
    keyed_log::KeyedLog,
    raw_target::{RawRequest, RawResponse, RawTarget},
};
use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

const FORGED_HEADERS: &str = "HOPLANDING-HOLD: forged\r\nHoplanding-Pin-Ms: forged\r\nhoplanding-pin-ms: forged\r\n\
    Hoplanding-Kv-Backup: forged\r\nKv-From: forged\r\nKv-Fetch: forged\r\nHoplanding-Request-Priority: forged\r\n\
    Hoplanding-Expect-Version: forged\r\nHoplanding-Expect-Instance: forged\r\nHoplanding-Server-Seal: forged\r\n\
    Connection: hoplanding-request-id, hoplanding-model, kv-from\r\n";

/// Calls that a target received, without requests of the gateways' own.
fn calls(target: &RawTarget) -> Vec<RawRequest> {
    let mut seen = target.requests();
    seen.retain(|request| !request.request_line().contains("/hoplanding/"));
    seen
}

fn assert_clean(request: &RawRequest, id: &str) {
    assert!(!request.head.contains("forged"), "{}", request.head);
    assert_eq!(request.header("hoplanding-request-id"), Some(id));
}

/// Headers that callers may not set, in any case and named in `Connection`, must reach no target.
#[tokio::test]
async fn a_first_send_and_its_retry_carry_no_forged_header() {
    let log = KeyedLog::start().await.expect("a log");
    // The target that gets the first send breaks it off, so that a retry goes to the other one.
    let calls_seen = AtomicUsize::new(0);
    let serve = Arc::new(move |request: &RawRequest| {
        let is_call = !request.request_line().contains("/hoplanding/");
        if is_call && calls_seen.fetch_add(1, Ordering::SeqCst) == 0 {
            return RawResponse::close();
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
        &post_request("/lookup/1", "r1", FORGED_HEADERS),
    )
    .await;
    assert_eq!(answer.status, 200);
    for target in [&first, &second] {
        let sent = calls(target);
        assert_eq!(
            sent.len(),
            1,
            "a first send and its retry at another target"
        );
        assert_clean(&sent[0], "r1");
    }
}

/// The same holds for the send that resumes a stream at another target.
#[tokio::test]
async fn a_resumed_stream_carries_no_forged_header() {
    let log = KeyedLog::start().await.expect("a log");
    let broken = AtomicUsize::new(0);
    let serve = Arc::new(move |request: &RawRequest| {
        let is_call = !request.request_line().contains("/hoplanding/");
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
    let headers = format!("{}{FORGED_HEADERS}", model_headers("a1"));
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
