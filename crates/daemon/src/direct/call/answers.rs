//! Answers as they go to callers.

use bytes::Bytes;
use hoplanding_platform::{headers::end_to_end_headers, message_heads::gateway_answer_headers};
use http::{Response, StatusCode};
use http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody};
use std::time::Duration;

/// The body of an answer.
pub type AnswerBody = UnsyncBoxBody<Bytes, BrokenAnswer>;

/// An answer that could not be passed on whole; the caller's connection is closed.
#[derive(Debug, thiserror::Error)]
#[error(
    "the answer broke off ({0}): the caller's connection is closed so that it does not look complete"
)]
pub struct BrokenAnswer(pub String);

/// A body that is there whole.
#[must_use]
pub fn full(body: Bytes) -> AnswerBody {
    Full::new(body)
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// A target's answer as it goes to the caller.
pub(super) fn passed_answer(parts: &http::response::Parts, body: Bytes) -> Response<AnswerBody> {
    let mut response = Response::new(full(body));
    *response.status_mut() = parts.status;
    *response.headers_mut() = end_to_end_headers(&parts.headers);
    response
}

/// An answer of this VM's own.
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

/// The promise that a call was not run, with the time to come back.
pub(super) fn refusal(id: &str, come_back: Duration) -> Response<AnswerBody> {
    own_answer(id, StatusCode::SERVICE_UNAVAILABLE, Some(come_back))
}
