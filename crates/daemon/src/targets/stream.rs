//! Worker for one engine stream, from dispatch to its end.
//!
//! Tokens are relayed in order and without gaps; a broken stream is resumed from the first missing token. The model
//! reported with each token is checked against the requested one.

use crate::{
    app::{AppEvent, StreamEnd},
    calls::{CallBuffer, CallEnd, CallFrame, CallId, EngineWork},
    event,
    events::Event,
    targets::{EngineClient, EngineStream, SendError, StreamItem},
};
use hoplanding_core::{
    ids::{AdapterVersion, FencingToken, PriorityClass, TargetName},
    request::{NotRunReason, RequestCall, Sent, Unsent},
};
use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};
use tokio::sync::mpsc;

/// Largest number of resume attempts of a stream.
const MAX_RESUME_ATTEMPTS: u32 = 5;
/// Pause before the first resume attempt; doubles with each further one.
const INITIAL_RESUME_BACKOFF: Duration = Duration::from_millis(50);

/// Input of [`run_stream`]: a stream to start or to resume.
pub struct StreamJob {
    /// Id of the call.
    pub call: CallId,
    /// Target that runs the stream.
    pub target: TargetName,
    /// Client of the target.
    pub client: EngineClient,
    /// Fencing token of the holder.
    pub token: FencingToken,
    /// Priority class of the request.
    pub class: PriorityClass,
    /// Request to the engine.
    pub work: EngineWork,
    /// Name of the stream at the target.
    pub stream: String,
    /// Index of the first token to relay.
    pub from: u64,
    /// Request to start; `None` to resume a stream that was started before.
    pub start: Option<RequestCall<Unsent>>,
    /// Time that the request waited for its adapter to load.
    pub load_stall: Duration,
    /// Counter of tokens from the target.
    pub tokens: Arc<AtomicU64>,
    /// Buffer for the answer's frames.
    pub buffer: Arc<CallBuffer>,
    /// Queue of the event loop.
    pub events: mpsc::Sender<AppEvent>,
}

/// Runs a stream to its end, reports the end to the event loop and then ends the answer.
pub async fn run_stream(mut job: StreamJob) {
    let (end, report) = match job.begin().await {
        Ok((call, stream)) => job.relay_tokens(call, stream).await,
        Err(ending) => *ending,
    };
    let is_abandoned = job.buffer.is_abandoned();
    if is_abandoned || matches!(end, CallEnd::Failed(_)) {
        job.client.cancel(&job.stream).await;
    }
    let end_event = AppEvent::StreamEnded(job.call, job.target.clone(), report);
    // Reports to the scheduler before the caller sees the end, so that a follow-up request finds the slot free.
    let _ = job.events.send(end_event).await;
    job.buffer.end(end);
}

type StreamEnding = (CallEnd, StreamEnd);

impl StreamJob {
    async fn begin(
        &mut self,
    ) -> Result<(Option<RequestCall<Sent>>, EngineStream), Box<StreamEnding>> {
        let started = CallFrame::Started {
            target: self.target.clone(),
            stream: self.stream.clone(),
            model: Some(self.work.model.clone()),
            load_stall_ms: self.load_stall.as_millis() as u32,
        };
        let Some(call) = self.start.take() else {
            // The first frame always fits into the window.
            let _ = self.buffer.push(started).await;
            let resumed = self.client.resume(&self.stream, self.from).await;
            return match resumed {
                Ok(stream) => Ok((None, stream)),
                Err(cause) => Err(Box::new((CallEnd::Broken(cause), StreamEnd::Ended))),
            };
        };
        match self
            .client
            .start(call, &self.stream, self.token, self.class, &self.work)
            .await
        {
            Ok((call, stream)) => {
                let _ = self.buffer.push(started).await;
                Ok((Some(call), stream))
            }
            Err(error) => Err(Box::new(start_error_end(*error))),
        }
    }

    async fn relay_tokens(
        &mut self,
        call: Option<RequestCall<Sent>>,
        mut stream: EngineStream,
    ) -> StreamEnding {
        let boot = stream.boot;
        let mut next = self.from;
        let mut resume_attempts = 0;
        let mut has_finished = false;
        loop {
            let item = tokio::select! {
                item = stream.next() => item,
                () = self.buffer.wait_abandoned() => return (CallEnd::Unknown("abandoned".to_owned()), StreamEnd::Ended),
            };
            let cause = match item {
                StreamItem::Done if has_finished => {
                    drop(call.map(RequestCall::answered));
                    return (CallEnd::Complete, StreamEnd::Complete { boot });
                }
                StreamItem::Done => "the stream ended before its last token".to_owned(),
                StreamItem::Token { model, .. }
                    if !is_requested_model(&self.work.model, &model) =>
                {
                    event!(
                        Event::WrongAdapter,
                        "{} answered {model} for {}",
                        self.target,
                        self.work.model
                    );
                    let text = format!(
                        "the target answered with {model} in place of {}",
                        self.work.model
                    );
                    return (CallEnd::Failed(text), StreamEnd::WrongModel);
                }
                StreamItem::Token { offset, .. } if offset < next => continue,
                StreamItem::Token { offset, .. } if offset > next => {
                    format!("token {next} is missing")
                }
                StreamItem::Token {
                    offset,
                    text,
                    finish,
                    ..
                } => {
                    if next == self.from {
                        let _ = self
                            .events
                            .send(AppEvent::FirstToken(self.call, self.target.clone()))
                            .await;
                    }
                    next += 1;
                    self.tokens.fetch_add(1, Ordering::Relaxed);
                    has_finished = finish.is_some();
                    if self
                        .buffer
                        .push(CallFrame::Text {
                            offset,
                            text,
                            finish,
                        })
                        .await
                        .is_err()
                    {
                        return (CallEnd::Unknown("abandoned".to_owned()), StreamEnd::Ended);
                    }
                    continue;
                }
                StreamItem::Broken(cause) => cause,
            };
            match self.resume_broken(next, &mut resume_attempts, cause).await {
                Ok(resumed) => stream = resumed,
                Err(cause) => return (CallEnd::Broken(cause), StreamEnd::Broken),
            }
        }
    }

    /// Resumes a broken stream, with exponential backoff.
    async fn resume_broken(
        &self,
        next: u64,
        resume_attempts: &mut u32,
        cause: String,
    ) -> Result<EngineStream, String> {
        let mut cause = cause;
        while *resume_attempts < MAX_RESUME_ATTEMPTS {
            tokio::time::sleep(INITIAL_RESUME_BACKOFF * (1 << *resume_attempts)).await;
            *resume_attempts += 1;
            match self.client.resume(&self.stream, next).await {
                Ok(stream) => {
                    event!(
                        Event::StreamResumed,
                        "{} at token {next} after: {cause}",
                        self.stream
                    );
                    return Ok(stream);
                }
                // The target does not know the stream: it has restarted, or never received the request.
                Err(status) if status.starts_with("404") => {
                    return Err(format!("{cause}; the target no longer has it"));
                }
                Err(error) => cause = error,
            }
        }
        Err(cause)
    }
}

fn start_error_end(error: SendError) -> StreamEnding {
    match error {
        SendError::NotConnected(call, _) => (
            CallEnd::NotRun(call.refuse(NotRunReason::NotConnected)),
            StreamEnd::Unreachable,
        ),
        // The target's statement that it did not run the request proves as much as not having sent it.
        SendError::Refused(call, cause) => (
            CallEnd::NotRun(call.refused_by_target(NotRunReason::TargetRefused { cause })),
            StreamEnd::Refused,
        ),
        SendError::Failed(_, cause) => (CallEnd::Failed(cause), StreamEnd::Ended),
        SendError::Unknown(_, cause) => (CallEnd::Broken(cause), StreamEnd::Broken),
    }
}

fn is_requested_model(requested: &AdapterVersion, reported: &str) -> bool {
    reported.split_once('@').is_some_and(|(name, version)| {
        name == requested.adapter.as_str() && version == requested.version.as_str()
    })
}
