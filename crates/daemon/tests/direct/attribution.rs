//! Answers that belong to another request than the one at whose place they come.
//!
//! A target may send a second answer to a request, which is read as the answer to the next one on the connection.

use crate::{
    log_recorder::{lines_of, record_lines},
    support::{
        good_answer, model_headers, post_request, seal_headers, send_request, start_daemon,
        wait_for,
    },
};
use hoplanding_standins::{
    keyed_log::KeyedLog,
    raw_target::{RawRequest, RawResponse, RawTarget},
};
use std::sync::atomic::{AtomicBool, Ordering};

const TARGET_ENDED: u64 = 816;
const END_UNCONFIRMED: u64 = 817;

/// Status of a call that gets an answer with these header lines after another call on the same connection, and how often
/// the target got it.
async fn second_call(status: &'static str, headers: &'static str) -> (u16, usize) {
    let log = KeyedLog::start().await.expect("a log");
    let target = RawTarget::start(move |request: &RawRequest| {
        if request.header("hoplanding-request-id") == Some("r2") {
            return RawResponse::complete(status, headers, "");
        }
        good_answer(request)
    })
    .await
    .expect("a target");
    let daemon = start_daemon(&log, &[("i-1", "ledger", target.address)]).await;
    let mut statuses = Vec::new();
    for id in ["r1", "r2"] {
        let answer = send_request(daemon.caller_address, &post_request("/scan/1", id, "")).await;
        statuses.push(answer.status);
    }
    assert_eq!(statuses[0], 200);
    let seen = target.requests();
    let sent = seen
        .iter()
        .filter(|request| request.header("hoplanding-request-id") == Some("r2"));
    (statuses[1], sent.count())
}

/// The target may have begun the call although the answer to another one says that it was not run.
#[tokio::test]
async fn a_misdirected_answer_to_another_call_does_not_count_as_not_run() {
    let other = "Hoplanding-Request-Id: r1\r\n";
    assert_eq!(
        second_call("421 Misdirected Request", other).await,
        (502, 1)
    );
    let both = "Hoplanding-Request-Id: r2\r\nHoplanding-Request-Id: r1\r\n";
    assert_eq!(second_call("421 Misdirected Request", both).await, (502, 1));
    let unexecuted = "Hoplanding-Request-Id: r1\r\nHoplanding-Not-Executed: 1\r\n";
    assert_eq!(second_call("503 Full", unexecuted).await, (502, 1));
}

#[tokio::test]
async fn a_misdirected_answer_without_an_id_counts_as_not_run() {
    let (status, sent) = second_call("421 Misdirected Request", "").await;
    assert_eq!(status, 503);
    assert!(sent > 1, "{sent}");
}

/// A 421 to a report request shows that another target has the address, unless it answers a call: counting it would make
/// the request that was broken off a suspect.
#[tokio::test]
async fn an_answer_to_a_call_is_no_answer_to_a_report_request() {
    record_lines();
    let log = KeyedLog::start().await.expect("a log");
    let has_call = AtomicBool::new(false);
    let engine = RawTarget::start(move |request: &RawRequest| {
        if !request.request_line().contains("/hoplanding/") {
            has_call.store(true, Ordering::SeqCst);
            return RawResponse::close();
        }
        if has_call.load(Ordering::SeqCst) {
            let headers = seal_headers(request).replace("Id: ", "Id: attribution-1");
            return RawResponse::complete("421 Misdirected Request", &headers, "");
        }
        good_answer(request)
    })
    .await
    .expect("an engine");
    let daemon = start_daemon(&log, &[("i-1", "scribe", engine.address)]).await;
    let request = post_request("/plan/1", "attribution-1", &model_headers("a1"));
    let answer = send_request(daemon.caller_address, &request).await;
    assert_eq!(answer.status, 502);
    wait_for("the probe's line", async || {
        !lines_of("attribution-1", END_UNCONFIRMED).is_empty()
    })
    .await;
    assert!(lines_of("attribution-1", TARGET_ENDED).is_empty());
}
