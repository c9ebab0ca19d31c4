//! Building the answers that go to callers.

use bytes::Bytes;
use hoplanding_platform::{headers::end_to_end_headers, message_heads::gateway_answer_headers};
use http::{Response, StatusCode};
use http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody};
use std::time::Duration;

/// Body of an answer to a caller; an error aborts the caller's connection.
pub type AnswerBody = UnsyncBoxBody<Bytes, BrokenAnswer>;

/// An answer that ended before it was complete. Closing the caller's connection keeps it from looking complete.
#[derive(Debug, thiserror::Error)]
#[error(
    "answer incomplete ({0}): closing the caller's connection so that the answer does not look complete"
)]
pub struct BrokenAnswer(pub String);

/// A body that is already in memory.
#[must_use]
pub fn full(body: Bytes) -> AnswerBody {
    Full::new(body)
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// A target's answer, without hop-by-hop and internal headers.
pub(super) fn passed_answer(parts: &http::response::Parts, body: Bytes) -> Response<AnswerBody> {
    let mut response = Response::new(full(body));
    *response.status_mut() = parts.status;
    *response.headers_mut() = end_to_end_headers(&parts.headers);
    response
}

/// An empty answer that this gateway makes itself.
#[must_use]
pub fn own_answer(
    id: &str,
    status: StatusCode,
    retry_after: Option<Duration>,
) -> Response<AnswerBody> {
    let mut response = Response::new(full(Bytes::new()));
    *response.status_mut() = status;
    *response.headers_mut() = gateway_answer_headers(id, retry_after);
    response
}

/// A 503 with `Retry-After`, which guarantees that no target ran the call.
pub(super) fn refusal(id: &str, retry_after: Duration) -> Response<AnswerBody> {
    own_answer(id, StatusCode::SERVICE_UNAVAILABLE, Some(retry_after))
}
