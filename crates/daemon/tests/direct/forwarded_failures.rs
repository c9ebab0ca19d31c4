//! Failures of targets that ran a call: their statuses must not tell the caller that it did not run.

use crate::support::{good_answer, post_request, seal_headers, send_request, start_daemon};
use hoplanding_standins::{
    keyed_log::KeyedLog,
    raw_target::{RawRequest, RawResponse, RawTarget},
};

/// Calls are sent again by callers that get one of the four statuses, also those that may run once.
#[tokio::test]
async fn a_failure_that_may_have_run_does_not_promise_the_contrary() {
    let log = KeyedLog::start().await.expect("a log");
    let target = RawTarget::start(|request: &RawRequest| {
        let line = request.request_line();
        let status = line
            .split('/')
            .nth(2)
            .and_then(|path| path.split(' ').next());
        match status {
            Some(status) if line.starts_with("POST") => {
                RawResponse::complete(status, &seal_headers(request), "cause")
            }
            _ => good_answer(request),
        }
    })
    .await
    .expect("a target");
    let daemon = start_daemon(&log, &[("i-1", "ledger", target.address)]).await;
    for (sent, passed) in [(408, 502), (429, 502), (503, 502), (500, 500), (504, 504)] {
        for route in ["scan", "lookup"] {
            let id = format!("{route}-{sent}");
            let request = post_request(&format!("/{route}/{sent}"), &id, "");
            let answer = send_request(daemon.caller_address, &request).await;
            assert_eq!(answer.status, passed, "{id}");
            let is_sealed = answer.has_header("hoplanding-server-seal");
            assert_eq!(is_sealed, sent == passed, "{id}");
            assert!(answer.has_header(&format!("hoplanding-request-id: {id}")));
            assert!(!answer.has_header("retry-after"), "{id}");
        }
    }
}
