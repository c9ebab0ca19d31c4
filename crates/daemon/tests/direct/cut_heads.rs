//! Answers whose head ends before its end, as the target or the log closes its connection inside it. Nobody may take what came
//! for a whole answer.

use crate::{
    support::{
        Answer, good_answer, model_headers, post_request, seal_headers, send_request, start_daemon,
    },
    tunnels::TunnelSite,
};
use hoplanding_core::ids::LogPosition;
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

/// Routes of each kind.
const ROUTES: [&str; 4] = ["lookup", "scan", "plan", "resumed"];

/// The first bytes of an answer, up to `len` bytes of its head. The head names its length last, as one without a length would
/// be a whole answer that ends with its connection.
fn cut_answer(request: &RawRequest, len: usize) -> RawResponse {
    let headers = seal_headers(request);
    let head = format!(
        "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n{headers}Content-Length: 900\r\n\r\n"
    );
    let len = len.min(head.len());
    RawResponse {
        pieces: vec![(Duration::ZERO, head.as_bytes()[..len].to_vec())],
        closes_connection: true,
    }
}

/// Bytes of the longest head above, more or less.
const MAX_CUT: usize = 170;
const CUT_STEP: usize = 7;
/// Answers whole.
const WHOLE: usize = usize::MAX;

fn cut_each_call(cut: &Arc<AtomicUsize>) -> impl Fn(&RawRequest) -> RawResponse + Clone + use<> {
    let cut = Arc::clone(cut);
    move |request| match cut.load(Ordering::Relaxed) {
        WHOLE => good_answer(request),
        _ if request.request_line().contains("/hoplanding/") => good_answer(request),
        len => cut_answer(request, len),
    }
}

fn expect_no_success(answer: &Answer, cut: usize, route: &str) {
    let is_refused = answer.status >= 500 && answer.is_whole;
    // A stream's head may have been passed on when its target closes; then the answer must not look whole.
    let is_broken = answer.status == 200 && !answer.is_whole;
    assert!(
        is_refused || is_broken,
        "{cut} bytes on {route}: {}",
        answer.head
    );
}

/// Guards against a short or empty 200 that looks whole after a target stopped anywhere in the head of its answer.
#[tokio::test]
async fn a_head_that_is_cut_anywhere_is_no_answer() {
    let log = KeyedLog::start().await.expect("a log");
    let cut = Arc::new(AtomicUsize::new(WHOLE));
    let target = RawTarget::start(cut_each_call(&cut)).await;
    let target = target.expect("a target");
    let targets = [
        ("i-1", "ledger", target.address),
        ("e-1", "scribe", target.address),
    ];
    let daemon = start_daemon(&log, &targets).await;
    for len in (0..MAX_CUT).step_by(CUT_STEP) {
        cut.store(len, Ordering::Relaxed);
        for route in ROUTES {
            let request = post_request(&format!("/{route}/1"), "r1", &model_headers("a1"));
            let answer = send_request(daemon.caller_address, &request).await;
            expect_no_success(&answer, len, route);
        }
    }
}

/// Guards against the same where another VM forwards the bytes, and reports the end of the connection.
#[tokio::test]
async fn a_head_that_is_cut_behind_a_tunnel_is_no_answer() {
    let cut = Arc::new(AtomicUsize::new(WHOLE));
    let site = TunnelSite::start(cut_each_call(&cut)).await;
    for len in (0..MAX_CUT).step_by(3 * CUT_STEP) {
        cut.store(len, Ordering::Relaxed);
        for route in ROUTES {
            let request = post_request(&format!("/{route}/1"), "r1", &model_headers("a1"));
            let answer = site.send(&request).await;
            expect_no_success(&answer, len, route);
        }
    }
}

/// Guards against an empty batch of records, or an acknowledged append, made of an answer of the log that is cut anywhere.
#[tokio::test]
async fn an_answer_of_the_log_that_is_cut_is_no_answer() {
    let body = r#"{"records":[],"next":0,"end":0}"#;
    let whole = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    for len in (0..whole.len()).step_by(5) {
        let answer = whole.as_bytes()[..len].to_vec();
        let store = RawTarget::start(move |_: &RawRequest| RawResponse {
            pieces: vec![(Duration::ZERO, answer.clone())],
            closes_connection: true,
        });
        let store = store.await.expect("a store");
        let within = Duration::from_secs(1);
        let mut client = StoreClient::new(store.address);
        let read = client.read(FLEET_TOPIC, LogPosition(0), Duration::ZERO, within);
        let error = read.await.expect_err("no records");
        assert!(
            matches!(error, StoreError::NoAnswer(_)),
            "{len} bytes: {error}"
        );
        let appended = client
            .append(FLEET_TOPIC, "vm/a", b"{}", None, within)
            .await;
        let error = appended.expect_err("no acknowledgement");
        assert!(
            matches!(error, StoreError::NoAnswer(_)),
            "{len} bytes: {error}"
        );
    }
}
