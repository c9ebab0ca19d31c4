//! Callers that write headers of the system's own, over sockets: first sends, retries and resumed streams.

use crate::support::{ask, event, good, model, post, site, stream, unchunk};
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
    let bad = RawTarget::start(|_: &RawRequest| RawAnswer::close())
        .await
        .expect("a target");
    let fine = RawTarget::start(good).await.expect("a target");
    let targets = [
        ("i-1", "ledger", bad.address),
        ("i-2", "ledger", fine.address),
    ];
    let daemon = site(&log, &targets).await;
    for round in 0..8 {
        let id = format!("r{round}");
        let answer = ask(daemon.caller_address, &post("/lookup/1", &id, HOSTILE)).await;
        assert_eq!(answer.status, 200);
        let sent = [calls(&bad), calls(&fine)].concat();
        for request in sent
            .iter()
            .filter(|request| request.header("hoplanding-request-id") == Some(id.as_str()))
        {
            assert_clean(request, &id);
        }
        assert_clean(calls(&fine).last().expect("the repeat"), &id);
    }
    assert!(!calls(&bad).is_empty(), "no call met the bad target first");
}

#[tokio::test]
async fn a_resumed_stream_carries_no_header_that_a_caller_forged() {
    let log = KeyedLog::start().await.expect("a log");
    let broken = AtomicUsize::new(0);
    let serve = Arc::new(move |request: &RawRequest| {
        let is_call = !request.line().contains("/hoplanding/");
        let breaks = is_call && broken.fetch_add(1, Ordering::SeqCst) == 0;
        stream(request, breaks.then_some(4))
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
    let daemon = site(&log, &targets).await;
    let headers = format!("{}{HOSTILE}", model("a1"));
    let answer = ask(daemon.caller_address, &post("/resumed/1", "r1", &headers)).await;
    assert!(answer.is_whole);
    assert_eq!(
        unchunk(&answer.body),
        (1..=6).map(event).collect::<String>()
    );
    let sent = [calls(&first), calls(&second)].concat();
    assert_eq!(sent.len(), 2, "a first send and a resumed one");
    for request in &sent {
        assert_clean(request, "r1");
        assert_eq!(request.header("hoplanding-model"), Some("base/a1"));
    }
}
