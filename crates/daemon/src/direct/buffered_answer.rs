//! Buffering of answers that are forwarded only when they are complete.

use crate::{
    direct::{
        call::{AnswerEnder, AnswerProgress, CallState, OpenAnswer, finish_send},
        error_chain::ErrorChain,
        message::CallEnd,
    },
    event,
    events::Event,
};
use bytes::Bytes;
use hoplanding_core::ids::TargetName;
use http::{HeaderMap, header};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use tokio::time::timeout_at;

/// Largest answer that is buffered.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// Reads the body of an answer, reports the call's outcome to the holder, and returns the connection to the pool.
///
/// # Errors
/// The target's name, if the answer broke off or was not complete before the deadline.
pub async fn buffer_answer(
    open: OpenAnswer,
    call: &CallState,
) -> (http::response::Parts, Result<Bytes, TargetName>) {
    let OpenAnswer {
        parts,
        notice,
        body,
        connection,
        entry,
        placed_call,
        in_flight,
    } = open;
    let target = connection.target().clone();
    let collected = timeout_at(
        call.deadline,
        Limited::new(body, MAX_ANSWER_BYTES).collect(),
    )
    .await;
    let has_lost_target = matches!(collected, Ok(Ok(_)))
        && !is_framed(&parts.headers)
        && call.has_ended(&entry).await;
    let log_broken = |ender: AnswerEnder, cause: &str| {
        event!(Event::AnswerBroken, request = call.head.id; "{}", call.unfinished_answer(ender, cause));
    };
    let (end, result) = match collected {
        Ok(Ok(_)) if has_lost_target => {
            log_broken(AnswerEnder::Target, "the target ended with its connection");
            call.probe_after_failure(&entry, in_flight.is_trial(), AnswerProgress::Begun)
                .await;
            (CallEnd::Failed, Err(target))
        }
        Ok(Ok(body)) => {
            let end = if parts.status.is_server_error() {
                CallEnd::Failed
            } else {
                CallEnd::Good
            };
            if end == CallEnd::Good {
                call.record_harmless_parts();
            }
            call.return_connection(connection, &notice);
            (end, Ok(body.to_bytes()))
        }
        Ok(Err(error)) => {
            let ender = if error.is::<LengthLimitError>() {
                AnswerEnder::Gateway
            } else {
                AnswerEnder::Target
            };
            log_broken(ender, &ErrorChain(error.as_ref()).to_string());
            call.probe_after_failure(&entry, in_flight.is_trial(), AnswerProgress::Begun)
                .await;
            (CallEnd::Failed, Err(target))
        }
        Err(_) => {
            log_broken(AnswerEnder::Deadline, "not complete before the deadline");
            (CallEnd::Failed, Err(target))
        }
    };
    finish_send(placed_call, in_flight, end);
    (parts, result)
}

/// Whether the end of a body shows that it is complete. Without a length or chunks it ends with its connection.
#[must_use]
pub fn is_framed(headers: &HeaderMap) -> bool {
    headers.contains_key(header::CONTENT_LENGTH) || headers.contains_key(header::TRANSFER_ENCODING)
}
