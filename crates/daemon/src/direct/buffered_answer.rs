//! Buffering of answers that are forwarded only when they are complete.

use crate::{
    direct::{
        answer_buffers::{BufferFault, record_fault},
        call::{AnswerEnder, AnswerProgress, CallState, OpenAnswer, finish_send},
        message::CallEnd,
    },
    event,
    events::Event,
};
use bytes::Bytes;
use hoplanding_core::ids::TargetName;
use http::{HeaderMap, header};
use tokio::time::timeout_at;

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
    let fleet = &call.context.fleet;
    let reservation = fleet.answer_buffers.reserve();
    // The reservation bounds the answer.
    let collected = timeout_at(call.deadline, reservation.read_body(body, usize::MAX)).await;
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
            (end, Ok(body))
        }
        Ok(Err(fault)) => {
            drop(connection);
            record_fault(fleet, &target, &call.head.id, &fault);
            let ender = match &fault {
                BufferFault::Broken(_) => AnswerEnder::Target,
                _ => AnswerEnder::Gateway,
            };
            log_broken(ender, &fault.to_string());
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
