//! Rate limits that targets state in their answers, for the requests of all VMs together. Each VM sees only its own calls, so the
//! VMs must share the limit.

use crate::support::{
    good_answer, model_headers, seal_headers, send_requests, start_daemon_with, start_second_vm,
    stream_answer, vm_settings, wait_for,
};
use hoplanding_standins::{
    keyed_log::KeyedLog,
    raw_target::{RawRequest, RawResponse, RawTarget},
};
use std::time::{Duration, Instant};

/// Stated limit of the targets, in requests per second.
const LIMIT_PER_S: f64 = 2.0;

/// Requests that may reach a target in a time span, over all VMs that know the limit.
fn max_requests(span: Duration) -> f64 {
    1.5 * LIMIT_PER_S * span.as_secs_f64().max(4.0) + 5.0
}

fn limited(answer: RawResponse) -> RawResponse {
    answer.with_header(&format!("Server-Limit: {LIMIT_PER_S:.1}\r\n"))
}

fn calls(target: &RawTarget, path: &str) -> usize {
    let seen = target.requests();
    let is_call = |request: &&RawRequest| request.request_line().contains(path);
    seen.iter().filter(is_call).count()
}

#[tokio::test]
async fn a_plain_target_is_not_sent_more_than_its_stated_limit() {
    let log = KeyedLog::start().await.expect("a log");
    let narrow = RawTarget::start(|request: &RawRequest| limited(good_answer(request))).await;
    let narrow = narrow.expect("a target");
    let listed = [("l-1", "ledger", narrow.address)];
    let first = start_daemon_with(vm_settings("vm-1", &log), &log, &listed).await;
    let (second, _relay) = start_second_vm(&log).await;
    let addresses = [first.caller_address, second.caller_address];
    send_requests(&addresses, "/lookup/0", "", 8).await;
    let before = calls(&narrow, "/lookup/");
    let began = Instant::now();
    let answers = send_requests(&addresses, "/lookup/1", "", 120).await;
    let got = (calls(&narrow, "/lookup/") - before) as f64;
    assert!(
        got <= max_requests(began.elapsed()),
        "{got} of {}",
        answers.len()
    );
}

#[tokio::test]
async fn an_engine_is_not_sent_more_than_its_stated_limit() {
    let log = KeyedLog::start().await.expect("a log");
    let narrow = RawTarget::start(|request: &RawRequest| {
        let answer = stream_answer(request, None);
        if request.request_line().contains("/plan/") {
            return limited(answer);
        }
        answer
    });
    let narrow = narrow.await.expect("an engine");
    let wide = RawTarget::start(|request: &RawRequest| stream_answer(request, None)).await;
    let wide = wide.expect("an engine");
    let listed = [
        ("e-1", "scribe", narrow.address),
        ("e-2", "scribe", wide.address),
    ];
    let first = start_daemon_with(vm_settings("vm-1", &log), &log, &listed).await;
    let (second, _relay) = start_second_vm(&log).await;
    let addresses = [first.caller_address, second.caller_address];
    wait_for("a call at both engines", async || {
        send_requests(&addresses, "/plan/0", &model_headers("a1"), 8).await;
        calls(&narrow, "/plan/") > 0 && calls(&wide, "/plan/") > 0
    })
    .await;
    let before = calls(&narrow, "/plan/");
    let began = Instant::now();
    let answers = send_requests(&addresses, "/plan/1", &model_headers("a1"), 120).await;
    let got = (calls(&narrow, "/plan/") - before) as f64;
    assert!(
        got <= max_requests(began.elapsed()),
        "{got} of {}",
        answers.len()
    );
    assert!(answers.iter().all(|answer| answer.status == 200));
}

#[tokio::test]
async fn calls_over_the_limit_of_all_targets_are_refused_with_retry_after() {
    let log = KeyedLog::start().await.expect("a log");
    let only = RawTarget::start(|request: &RawRequest| limited(good_answer(request))).await;
    let only = only.expect("a target");
    let listed = [("l-1", "ledger", only.address)];
    let daemon = start_daemon_with(vm_settings("vm-1", &log), &log, &listed).await;
    let answers = send_requests(&[daemon.caller_address], "/lookup/1", "", 60).await;
    let refused: Vec<_> = answers
        .iter()
        .filter(|answer| answer.status != 200)
        .collect();
    assert!(refused.len() > 20, "{} refused", refused.len());
    for answer in refused {
        assert_eq!(answer.status, 503);
        assert!(answer.has_header("retry-after: "), "{}", answer.head);
    }
}

#[tokio::test]
async fn a_limit_that_a_target_no_longer_states_is_lifted() {
    let log = KeyedLog::start().await.expect("a log");
    let is_need = |request: &RawRequest| request.request_line().contains("/lookup/need");
    let target = RawTarget::start(move |request: &RawRequest| {
        if is_need(request) {
            return limited(good_answer(request));
        }
        RawResponse::complete("200 OK", &seal_headers(request), "done")
    });
    let target = target.await.expect("a target");
    let listed = [("l-1", "ledger", target.address)];
    let daemon = start_daemon_with(vm_settings("vm-1", &log), &log, &listed).await;
    send_requests(&[daemon.caller_address], "/lookup/need", "", 4).await;
    wait_for("all served", async || {
        let answers = send_requests(&[daemon.caller_address], "/lookup/1", "", 40).await;
        answers.iter().all(|answer| answer.status == 200)
    })
    .await;
}
