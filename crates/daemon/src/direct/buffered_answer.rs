//! Answers that are taken whole before they are passed on.

use crate::{
    direct::{
        call::{CallState, OpenAnswer},
        message::CallEnd,
    },
    event,
    events::Event,
};
use bytes::Bytes;
use hoplanding_core::ids::TargetName;
use http_body_util::{BodyExt, Limited};
use tokio::time::timeout_at;

/// Largest answer that is taken whole.
const ANSWER_BYTES: usize = 8 << 20;

/// Takes the rest of an answer, and ends the call's counts.
///
/// # Errors
/// The target, if the answer broke off.
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
    let taken = timeout_at(call.deadline, Limited::new(body, ANSWER_BYTES).collect()).await;
    let (end, result) = match taken {
        Ok(Ok(body)) => {
            let end = if parts.status.is_server_error() {
                CallEnd::Failed
            } else {
                CallEnd::Good
            };
            call.return_connection(connection, &notice);
            (end, Ok(body.to_bytes()))
        }
        Ok(Err(error)) => {
            event!(Event::AnswerBroken, request = call.head.id; "at {target}: {error}");
            call.probe_after_failure(&entry, in_flight.is_trial()).await;
            (CallEnd::Failed, Err(target))
        }
        Err(_) => {
            event!(Event::AnswerBroken, request = call.head.id; "at {target}: not whole before the deadline"
            );
            (CallEnd::Failed, Err(target))
        }
    };
    in_flight.finish(end);
    if let Some(placed_call) = placed_call {
        placed_call.finish(end);
    }
    (parts, result)
}
