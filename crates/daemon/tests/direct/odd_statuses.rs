//! Answers of targets whose status is none: those that can't end a request, those of no known class, and status lines that are
//! no HTTP. Callers must not get one as an answer, in any kind of route.

use crate::support::{
    good_answer, model_headers, post_request, seal_headers, send_request, start_daemon,
};
use bytes::Bytes;
use hoplanding_platform::{
    names::FLEET_TOPIC,
    store::{StoreClient, StoreError},
};
use hoplanding_standins::{
    keyed_log::KeyedLog,
    raw_target::{RawRequest, RawResponse, RawTarget},
};
use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

/// Routes of each kind, with their service: repeatable, not repeatable, a stream, and a stream that may be taken up.
const ROUTES: [(&str, &str); 4] = [
    ("lookup", "ledger"),
    ("scan", "ledger"),
    ("plan", "scribe"),
    ("resumed", "scribe"),
];
/// Status lines after the protocol's version. The first three decode as statuses.
const ODD_STATUSES: [&str; 9] = [
    "101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: other",
    "600 Odd",
    "999 Odd",
    "000 None",
    "099 None",
    "2000 Long",
    "20 Short",
    "+200 Signed",
    "abc",
];

fn odd_answer(request: &RawRequest, status: &str) -> RawResponse {
    if request.request_line().contains("/hoplanding/") {
        return good_answer(request);
    }
    let head = odd_head(request, status);
    RawResponse {
        pieces: vec![(Duration::ZERO, head.into_bytes())],
        closes_connection: false,
    }
}

fn odd_head(request: &RawRequest, status: &str) -> String {
    let headers = seal_headers(request);
    format!("HTTP/1.1 {status}\r\n{headers}Content-Length: 4\r\n\r\ndone")
}

/// Guards against a status that is none being passed on to a caller, as a target in trouble sent it.
#[tokio::test]
async fn callers_get_no_status_that_is_none() {
    for status in ODD_STATUSES {
        let log = KeyedLog::start().await.expect("a log");
        let target = RawTarget::start(move |request| odd_answer(request, status));
        let target = target.await.expect("a target");
        let targets = ROUTES.map(|(_, service)| (service, service, target.address));
        let daemon = start_daemon(&log, &[targets[0], targets[2]]).await;
        for (route, _) in ROUTES {
            let request = post_request(&format!("/{route}/1"), "r1", &model_headers("a1"));
            let answer = send_request(daemon.caller_address, &request).await;
            let expected = [502, 503, 504];
            assert!(
                expected.contains(&answer.status),
                "{status:?} on {route}: {}",
                answer.head
            );
            if answer.status == 503 {
                assert!(answer.has_header("retry-after"), "{status:?} on {route}");
            }
        }
    }
}

/// Guards against such an answer as the end of a call that another target could still serve.
#[tokio::test]
async fn a_call_goes_on_at_another_target_after_a_status_that_is_none() {
    for status in &ODD_STATUSES[..3] {
        let log = KeyedLog::start().await.expect("a log");
        let calls = Arc::new(AtomicUsize::new(0));
        let mut engines = Vec::new();
        for _ in 0..2 {
            let calls = Arc::clone(&calls);
            let answer = move |request: &RawRequest| {
                let is_call = request.request_line().starts_with("POST /lookup");
                if is_call && calls.fetch_add(1, Ordering::Relaxed) == 0 {
                    odd_answer(request, status)
                } else {
                    good_answer(request)
                }
            };
            engines.push(RawTarget::start(answer).await.expect("a target"));
        }
        let targets = [
            ("i-1", "ledger", engines[0].address),
            ("i-2", "ledger", engines[1].address),
        ];
        let daemon = start_daemon(&log, &targets).await;
        let request = post_request("/lookup/1", "r1", "");
        let answer = send_request(daemon.caller_address, &request).await;
        assert_eq!(answer.status, 200, "{status}: {}", answer.head);
        assert_eq!(calls.load(Ordering::Relaxed), 2);
    }
}

/// Guards against an append that counts as refused, and thus as not done, though the log answered with a status that is none.
#[tokio::test]
async fn an_append_that_gets_no_status_may_have_taken_effect() {
    for status in &ODD_STATUSES[..3] {
        let store = RawTarget::start(move |request| {
            let head = odd_head(request, status);
            RawResponse {
                pieces: vec![(Duration::ZERO, head.into_bytes())],
                closes_connection: false,
            }
        });
        let store = store.await.expect("a store");
        let mut client = StoreClient::new(store.address);
        let value = Bytes::from_static(b"{}");
        let within = Duration::from_secs(1);
        let appended = client
            .append(FLEET_TOPIC, "vm/a", &value, None, within)
            .await;
        let error = appended.expect_err("no acknowledgement");
        assert!(
            matches!(error, StoreError::NoAnswer(_)),
            "{status}: {error}"
        );
    }
}
