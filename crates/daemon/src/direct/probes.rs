//! HTTP endpoints for the load balancer's readiness probe and for metrics collectors.

use crate::direct::call::{AnswerBody, full, own_answer};
use bytes::Bytes;
use hoplanding_platform::names::READY_PATH;
use http::{Request, Response, StatusCode, Uri};
use hyper::{body::Incoming, server::conn::http1::Builder, service::service_fn};
use hyper_util::rt::TokioIo;
use std::{convert::Infallible, time::Duration};
use tokio::{net::TcpListener, time::sleep};

/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Smallest header buffer that hyper allows, in bytes.
const MIN_HEADER_BUFFER_BYTES: usize = 8 * 1024;
/// Path of the metrics page.
pub const METRICS_PATH: &str = "/metrics";
const METRICS_CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Answers requests by their URI until the process ends.
pub async fn serve_probes(
    listener: TcpListener,
    answer: impl Fn(&Uri) -> Response<AnswerBody> + Clone + Send + Sync + 'static,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let answer = answer.clone();
        tokio::spawn(async move {
            let service = service_fn(move |request: Request<Incoming>| {
                let answer = answer(request.uri());
                async move { Ok::<_, Infallible>(answer) }
            });
            // The client connects again after a broken connection.
            let _ = Builder::new()
                .max_buf_size(MIN_HEADER_BUFFER_BYTES)
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

/// Response to a readiness probe.
#[must_use]
pub fn readiness_response(path: &str, is_ready: bool) -> Response<AnswerBody> {
    match (path, is_ready) {
        (READY_PATH, true) => Response::new(full(Bytes::from_static(b"ready"))),
        (READY_PATH, false) => own_answer("", StatusCode::SERVICE_UNAVAILABLE, None),
        _ => own_answer("", StatusCode::NOT_FOUND, None),
    }
}

/// Response to a metrics collector. `page` renders the metrics.
///
/// # Panics
/// Never: the content type is a valid header value.
#[must_use]
pub fn metrics_response(path: &str, page: impl FnOnce() -> String) -> Response<AnswerBody> {
    if path != METRICS_PATH {
        return own_answer("", StatusCode::NOT_FOUND, None);
    }
    Response::builder()
        .header(http::header::CONTENT_TYPE, METRICS_CONTENT_TYPE)
        .body(full(Bytes::from(page())))
        .expect("the content type is a valid header value")
}
