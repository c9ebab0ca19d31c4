//! Calls and their answers: what reaches targets, what reaches callers, and how failures are reported.

use crate::support::{
    HOST, config_json, decode_chunked, good_answer, is_ready, model_headers, post_request,
    seal_headers, send_request, start_daemon, stream_answer, stream_event, target_entry,
    vm_settings, wait_for,
};
use hoplanding_standins::{
    keyed_log::KeyedLog,
    raw_target::{RawRequest, RawResponse, RawTarget},
};
use hoplandingd::direct::{daemon::DirectDaemon, settings::DirectSettings};
use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

/// All errors of a settings file are reported together, and each states what to write instead.
#[test]
fn sample_settings_parse_and_errors_name_a_remedy() {
    let sample = include_str!("../../../../docs/hoplandingd.direct.sample.json");
    DirectSettings::parse(sample).expect("the sample settings are valid");
    let wrong = sample
        .replace("\"cores\": 0.25", "\"cores\": \"many\"")
        .replace("list_every_ms", "list_evry_ms")
        .replace("\"10.1.0.38:8141\"", "\"nowhere\"");
    let faults = DirectSettings::parse(&wrong).expect_err("three faults");
    let faults = faults.to_string();
    assert!(faults.starts_with("3 faults"), "{faults}");
    for remedy in ["write a number", "unknown key", "write IP:port"] {
        assert!(faults.contains(remedy), "{faults}");
    }
}

/// A VM that has read no configuration cannot tell a wrong path or key from a right one, so it must not answer 404 or 401.
#[tokio::test]
async fn a_vm_without_a_configuration_answers_503_with_retry_after() {
    let log = KeyedLog::start().await.expect("a log");
    let daemon = DirectDaemon::start(vm_settings("vm-1", &log))
        .await
        .expect("the daemon starts");
    let answer = send_request(daemon.caller_address, &post_request("/scan/1", "r1", "")).await;
    assert_eq!(answer.status, 503);
    assert!(answer.has_header("retry-after"));
    assert!(!is_ready(&daemon).await);
}

/// Path, query, body and the caller's own headers reach the target as sent, with the remaining deadline.
#[tokio::test]
async fn calls_and_answers_pass_through_unchanged() {
    let log = KeyedLog::start().await.expect("a log");
    let target = RawTarget::start(good_answer).await.expect("a target");
    let daemon = start_daemon(&log, &[("i-1", "ledger", target.address)]).await;
    let answer = send_request(
        daemon.caller_address,
        &post_request("/scan/x%20y?q=1", "r1", "X-Own: 7\r\n"),
    )
    .await;
    assert_eq!((answer.status, answer.body.as_slice()), (200, &b"done"[..]));
    assert!(answer.has_header("hoplanding-server-seal: seal"));
    let seen = target.requests();
    assert_eq!(seen.len(), 1);
    assert_eq!(seen[0].request_line(), "POST /scan/x%20y?q=1 HTTP/1.1");
    assert_eq!(seen[0].body, b"body");
    assert_eq!(seen[0].header("x-own"), Some("7"));
    assert_eq!(seen[0].header("hoplanding-expect-instance"), Some("i-1"));
    let left: u64 = seen[0]
        .header("hoplanding-deadline-ms")
        .and_then(|left| left.parse().ok())
        .expect("a deadline");
    assert!((1..=4000).contains(&left));
}

#[tokio::test]
async fn the_metrics_page_counts_requests_by_outcome() {
    let log = KeyedLog::start().await.expect("a log");
    let target = RawTarget::start(good_answer).await.expect("a target");
    log.put(
        "keyed.servers",
        "i-1",
        Some(&target_entry("ledger", target.address, "ready", &[])),
    );
    log.put("keyed.op", "config", Some(&config_json(7)));
    let mut settings = vm_settings("vm-1", &log);
    settings.metrics_address = Some("127.0.0.1:0".parse().expect("an address"));
    let daemon = DirectDaemon::start(settings)
        .await
        .expect("the daemon starts");
    wait_for("readiness", async || is_ready(&daemon).await).await;
    send_request(daemon.caller_address, &post_request("/scan/1", "r1", "")).await;
    send_request(daemon.caller_address, &post_request("/nowhere/1", "r2", "")).await;
    let metrics = daemon.metrics_address.expect("an address");
    let request = "GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    let answer = send_request(metrics, request).await;
    let page = String::from_utf8_lossy(&answer.body).into_owned();
    for line in [
        "hoplanding_requests_total{kind=\"Once\",outcome=\"Answered\"} 1",
        "hoplanding_requests_total{kind=\"Unrouted\",outcome=\"Refused\"} 1",
        "hoplanding_targets{stage=\"ready\"} 1",
        "hoplanding_config_version 7",
        "hoplanding_in_flight 0",
        "hoplanding_log_lines_dropped 0",
    ] {
        assert!(page.contains(line), "{line} is missing in\n{page}");
    }
    assert!(answer.has_header("openmetrics-text"));
}

#[tokio::test]
async fn unknown_hosts_and_invalid_or_oversized_requests_reach_no_target() {
    let log = KeyedLog::start().await.expect("a log");
    let target = RawTarget::start(good_answer).await.expect("a target");
    let daemon = start_daemon(&log, &[("i-1", "ledger", target.address)]).await;
    let unknown = post_request("/scan/1", "r1", "").replace(HOST, "nobody.example");
    assert_eq!(
        send_request(daemon.caller_address, &unknown).await.status,
        404
    );
    let large =
        post_request("/scan/1", "r2", "").replace("Content-Length: 4", "Content-Length: 200000");
    let large = large + &"x".repeat(200_000);
    assert_eq!(
        send_request(daemon.caller_address, &large).await.status,
        413
    );
    let heavy = post_request(
        "/scan/1",
        "r3",
        &format!("X-Heavy: {}\r\n", "h".repeat(40_000)),
    );
    assert_eq!(
        send_request(daemon.caller_address, &heavy).await.status,
        431
    );
    let twice = post_request("/scan/1", "r4", "Content-Length: 2\r\n");
    assert_eq!(
        send_request(daemon.caller_address, &twice).await.status,
        400
    );
    assert!(target.requests().is_empty());
}

/// A request with both `Content-Length` and `Transfer-Encoding` must not be read as two requests.
#[tokio::test]
async fn a_chunked_body_arrives_whole_without_request_smuggling() {
    let log = KeyedLog::start().await.expect("a log");
    let target = RawTarget::start(good_answer).await.expect("a target");
    let daemon = start_daemon(&log, &[("i-1", "ledger", target.address)]).await;
    let chunked = format!(
        "POST /scan/1 HTTP/1.1\r\nHost: {HOST}\r\nHoplanding-Request-Id: r1\r\nContent-Length: 4\r\n\
         Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
    );
    let answer = send_request(daemon.caller_address, &chunked).await;
    let seen = target.requests();
    assert!(seen.len() <= 1);
    if let Some(request) = seen.first() {
        assert_eq!((answer.status, request.body.as_slice()), (200, &b"abc"[..]));
    }
}

/// A target answers with another request's id, as over a connection whose answers are out of step.
#[tokio::test]
async fn an_answer_to_another_request_never_reaches_a_caller() {
    let log = KeyedLog::start().await.expect("a log");
    let target = RawTarget::start(|_| {
        let headers = "Hoplanding-Request-Id: other\r\nHoplanding-Server-Seal: seal\r\n";
        RawResponse::complete("200 OK", headers, "not yours")
    })
    .await
    .expect("a target");
    let daemon = start_daemon(&log, &[("i-1", "ledger", target.address)]).await;
    let answer = send_request(daemon.caller_address, &post_request("/scan/1", "r1", "")).await;
    assert_eq!(answer.status, 502);
    assert!(answer.body.is_empty());
    assert_eq!(
        target.requests().len(),
        1,
        "the call may have run, so it is sent once"
    );
}

#[tokio::test]
async fn an_unsealed_or_encoded_success_is_rejected() {
    for extra in [
        "",
        "Hoplanding-Server-Seal: seal\r\nContent-Encoding: gzip\r\n",
    ] {
        let log = KeyedLog::start().await.expect("a log");
        let target = RawTarget::start(move |request: &RawRequest| {
            let id = request.header("hoplanding-request-id").unwrap_or_default();
            let headers = format!("Hoplanding-Request-Id: {id}\r\n{extra}");
            RawResponse::complete("200 OK", &headers, "bytes")
        })
        .await
        .expect("a target");
        let daemon = start_daemon(&log, &[("i-1", "ledger", target.address)]).await;
        let answer = send_request(daemon.caller_address, &post_request("/scan/1", "r1", "")).await;
        assert_eq!(answer.status, 502);
    }
}

/// A target sends a second answer after the first one; the next request over the connection must not receive it.
#[tokio::test]
async fn bytes_after_a_complete_answer_reach_no_caller() {
    let log = KeyedLog::start().await.expect("a log");
    let target = RawTarget::start(|request: &RawRequest| {
        let mut answer = good_answer(request);
        let extra = RawResponse::complete("200 OK", &seal_headers(request), "again");
        answer.pieces.extend(extra.pieces);
        answer
    })
    .await
    .expect("a target");
    let daemon = start_daemon(&log, &[("i-1", "ledger", target.address)]).await;
    for number in 0..6 {
        let id = format!("r{number}");
        let answer = send_request(daemon.caller_address, &post_request("/lookup/1", &id, "")).await;
        assert!(
            answer.status != 200 || answer.body == b"done",
            "{}",
            answer.status
        );
        if answer.status == 200 {
            assert!(answer.has_header(&format!("hoplanding-request-id: {id}")));
        }
    }
}

/// The target closes the connection without an answer, so the call may have run and must neither be retried nor be reported as
/// not executed.
#[tokio::test]
async fn a_non_idempotent_call_is_sent_once_and_fails_with_502() {
    let log = KeyedLog::start().await.expect("a log");
    let target = RawTarget::start(|_| RawResponse::close())
        .await
        .expect("a target");
    let other = RawTarget::start(|_| RawResponse::close())
        .await
        .expect("a target");
    let targets = [
        ("i-1", "ledger", target.address),
        ("i-2", "ledger", other.address),
    ];
    let daemon = start_daemon(&log, &targets).await;
    let answer = send_request(daemon.caller_address, &post_request("/scan/1", "r1", "")).await;
    assert_eq!(answer.status, 502);
    assert_eq!(target.requests().len() + other.requests().len(), 1);
}

/// The first target may have run the call; the second one states that it did not. The second answer must not be forwarded.
#[tokio::test]
async fn a_retried_call_that_may_have_run_never_ends_as_not_executed() {
    let log = KeyedLog::start().await.expect("a log");
    let first = AtomicUsize::new(0);
    let answer_in_turn = Arc::new(move |request: &RawRequest| {
        if first.fetch_add(1, Ordering::SeqCst) == 0 {
            RawResponse::close()
        } else {
            let headers = format!("{}Hoplanding-Not-Executed: 1\r\n", seal_headers(request));
            RawResponse::complete("503 Service Unavailable", &headers, "")
        }
    });
    let (one, two) = (Arc::clone(&answer_in_turn), answer_in_turn);
    let target = RawTarget::start(move |request: &RawRequest| one(request))
        .await
        .expect("a target");
    let other = RawTarget::start(move |request: &RawRequest| two(request))
        .await
        .expect("a target");
    let targets = [
        ("i-1", "ledger", target.address),
        ("i-2", "ledger", other.address),
    ];
    let daemon = start_daemon(&log, &targets).await;
    let answer = send_request(daemon.caller_address, &post_request("/lookup/1", "r1", "")).await;
    assert_eq!(target.requests().len() + other.requests().len(), 2);
    assert_eq!(answer.status, 502, "the first target may have run the call");
}

#[tokio::test]
async fn a_call_rejected_by_its_target_goes_elsewhere_or_ends_with_503() {
    let refuse = |request: &RawRequest| {
        let headers = format!("{}Hoplanding-Not-Executed: 1\r\n", seal_headers(request));
        RawResponse::complete("503 Service Unavailable", &headers, "")
    };
    let log = KeyedLog::start().await.expect("a log");
    let full = RawTarget::start(refuse).await.expect("a target");
    let daemon = start_daemon(&log, &[("i-1", "ledger", full.address)]).await;
    let answer = send_request(daemon.caller_address, &post_request("/scan/1", "r1", "")).await;
    assert_eq!(answer.status, 503);
    assert!(answer.has_header("retry-after"));
    let free = RawTarget::start(good_answer).await.expect("a target");
    log.put(
        "keyed.servers",
        "i-2",
        Some(&target_entry("ledger", free.address, "ready", &[])),
    );
    wait_for("an answer", async || {
        send_request(daemon.caller_address, &post_request("/scan/1", "r2", ""))
            .await
            .status
            == 200
    })
    .await;
}

/// The engine breaks off inside an event. The caller gets only complete events, and no final chunk.
#[tokio::test]
async fn a_broken_stream_ends_after_a_complete_event_and_looks_incomplete() {
    let log = KeyedLog::start().await.expect("a log");
    let engine = RawTarget::start(|request: &RawRequest| stream_answer(request, Some(4)))
        .await
        .expect("an engine");
    let daemon = start_daemon(&log, &[("i-1", "scribe", engine.address)]).await;
    let answer = send_request(
        daemon.caller_address,
        &post_request("/plan/1", "r1", &model_headers("a1")),
    )
    .await;
    assert_eq!(answer.status, 200);
    assert!(!answer.is_whole);
    assert_eq!(
        decode_chunked(&answer.body),
        (1..4).map(stream_event).collect::<String>()
    );
}

#[tokio::test]
async fn a_resumable_stream_continues_at_another_target_without_a_gap() {
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
    let answer = send_request(
        daemon.caller_address,
        &post_request("/resumed/1", "r1", &model_headers("a1")),
    )
    .await;
    assert!(answer.is_whole);
    assert_eq!(
        decode_chunked(&answer.body),
        (1..=6).map(stream_event).collect::<String>()
    );
}
