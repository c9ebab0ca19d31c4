//! Short questions over HTTP that are answered at once: the balancer's, and the metrics collector's.

use crate::direct::call::{AnswerBody, full, own_answer};
use bytes::Bytes;
use hoplanding_platform::names::READY_PATH;
use http::{Request, Response, StatusCode};
use hyper::{body::Incoming, server::conn::http1::Builder, service::service_fn};
use hyper_util::rt::TokioIo;
use std::{convert::Infallible, time::Duration};
use tokio::{net::TcpListener, time::sleep};

/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Least buffer that the library allows for a head.
const HEAD_LEAST: usize = 8 * 1024;
/// Where the metrics stand.
pub const METRICS_PATH: &str = "/metrics";
/// Content type of the metrics page.
const METRICS_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Answers questions by their path until the process ends.
pub async fn serve_probes(
    listener: TcpListener,
    answer: impl Fn(&str) -> Response<AnswerBody> + Clone + Send + Sync + 'static,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let answer = answer.clone();
        tokio::spawn(async move {
            let service = service_fn(move |request: Request<Incoming>| {
                let answer = answer(request.uri().path());
                async move { Ok::<_, Infallible>(answer) }
            });
            // Whoever asks does so again after a broken connection.
            let _ = Builder::new()
                .max_buf_size(HEAD_LEAST)
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

/// The answer to the balancer.
#[must_use]
pub fn readiness_response(path: &str, is_up: bool) -> Response<AnswerBody> {
    match (path, is_up) {
        (READY_PATH, true) => Response::new(full(Bytes::from_static(b"ready"))),
        (READY_PATH, false) => own_answer("", StatusCode::SERVICE_UNAVAILABLE, None),
        _ => own_answer("", StatusCode::NOT_FOUND, None),
    }
}

/// The answer to a collector.
///
/// # Panics
/// Never: the content type is a header value.
#[must_use]
pub fn metrics_response(path: &str, page: impl FnOnce() -> String) -> Response<AnswerBody> {
    if path != METRICS_PATH {
        return own_answer("", StatusCode::NOT_FOUND, None);
    }
    Response::builder()
        .header(http::header::CONTENT_TYPE, METRICS_TYPE)
        .body(full(Bytes::from(page())))
        .expect("the content type is a header value")
}
