//! Answers with neither a length nor chunks, which end with their connection, and streams that end inside an event.

use crate::support::{
    chunk, decode_chunked, good_answer, model_headers, post_request, seal_headers, send_request,
    start_daemon, stream_event, stream_head, wait_for,
};
use hoplanding_standins::{
    keyed_log::KeyedLog,
    raw_target::{RawRequest, RawResponse, RawTarget},
};
use std::time::Duration;
use tokio::time::sleep;

/// Time from the last byte of an answer until its connection is closed.
const CLOSE_DELAY: Duration = Duration::from_millis(400);

/// An answer without framing. The connection is closed some time after the last piece.
fn unframed_answer(request: &RawRequest, pieces: &[String]) -> RawResponse {
    if request.request_line().contains("/hoplanding/") {
        return good_answer(request);
    }
    let head = format!("HTTP/1.1 200 OK\r\n{}\r\n", seal_headers(request));
    let mut written = vec![(Duration::ZERO, head.into_bytes())];
    let pause = Duration::from_millis(5);
    written.extend(
        pieces
            .iter()
            .map(|piece| (pause, piece.clone().into_bytes())),
    );
    written.push((CLOSE_DELAY, Vec::new()));
    RawResponse {
        pieces: written,
        closes_connection: true,
    }
}

fn events(count: u32) -> Vec<String> {
    (1..=count).map(stream_event).collect()
}

/// Sends a call to a target that answers without framing, and ends the target before it closes the connection if
/// `target_ends`. Returns the status, the body and whether the answer is complete.
async fn answer_of(
    service: &'static str,
    path: &str,
    pieces: Vec<String>,
    target_ends: bool,
) -> (u16, String, bool) {
    let log = KeyedLog::start().await.expect("a log");
    let target = RawTarget::start(move |request| unframed_answer(request, &pieces))
        .await
        .expect("a target");
    let daemon = start_daemon(&log, &[("i-1", service, target.address)]).await;
    let address = daemon.caller_address;
    let request = post_request(path, "r1", &model_headers("a1"));
    let running = tokio::spawn(async move { send_request(address, &request).await });
    wait_for("the call", async || {
        let seen = target.requests();
        seen.iter()
            .any(|request| request.header("hoplanding-request-id") == Some("r1"))
    })
    .await;
    if target_ends {
        sleep(CLOSE_DELAY / 4).await;
        // The target accepts no more connections, and its open ones end later.
        drop(target);
    }
    let answer = running.await.expect("an answer");
    let is_chunked = answer.has_header("transfer-encoding: chunked");
    let body = if is_chunked {
        decode_chunked(&answer.body)
    } else {
        String::from_utf8_lossy(&answer.body).into_owned()
    };
    (answer.status, body, answer.is_whole)
}

#[tokio::test]
async fn answers_that_end_with_their_connection_are_passed_on_whole() {
    let stream = answer_of("scribe", "/plan/1", events(3), false).await;
    assert_eq!(stream, (200, events(3).concat(), true));
    let plain = answer_of("ledger", "/scan/1", vec!["done".to_owned()], false).await;
    assert_eq!(plain, (200, "done".to_owned(), true));
}

/// The connection of a target that ends is closed like that of one that has finished. Only a look at the target tells.
#[tokio::test]
async fn an_unframed_answer_of_a_target_that_ended_does_not_look_complete() {
    let (status, body, is_whole) = answer_of("scribe", "/plan/1", events(3), true).await;
    assert_eq!((status, body, is_whole), (200, events(3).concat(), false));
    let (status, ..) = answer_of("ledger", "/scan/1", vec!["do".to_owned()], true).await;
    assert_eq!(status, 502);
}

/// The target ends its stream in order, with the last chunk, but inside an event.
#[tokio::test]
async fn a_framed_stream_that_ends_inside_an_event_looks_incomplete() {
    let log = KeyedLog::start().await.expect("a log");
    let engine = RawTarget::start(|request: &RawRequest| {
        if request.request_line().contains("/hoplanding/") {
            return good_answer(request);
        }
        let pause = Duration::from_millis(5);
        RawResponse {
            pieces: vec![
                (Duration::ZERO, stream_head(request)),
                (pause, chunk(&stream_event(1))),
                (pause, chunk(&stream_event(2)[..9])),
                (pause, b"0\r\n\r\n".to_vec()),
            ],
            closes_connection: false,
        }
    })
    .await
    .expect("an engine");
    let daemon = start_daemon(&log, &[("i-1", "scribe", engine.address)]).await;
    let request = post_request("/plan/1", "r1", &model_headers("a1"));
    let answer = send_request(daemon.caller_address, &request).await;
    assert_eq!(decode_chunked(&answer.body), stream_event(1));
    assert!(!answer.is_whole);
}
