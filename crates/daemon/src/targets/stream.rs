//! One engine stream, from dispatch to its end.
//!
//! Tokens are passed on in order and without a gap; a stream that breaks is asked for again from the first missing
//! token. Each token's model is checked against the one asked for.

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

/// Times that a stream is asked for again.
const RESUMES: u32 = 5;
/// Pause before the first of them; doubles.
const RESUME_AFTER: Duration = Duration::from_millis(50);

/// A stream to run or to take up again.
pub struct StreamJob {
    /// The call.
    pub call: CallId,
    /// The target.
    pub target: TargetName,
    /// Its client.
    pub client: EngineClient,
    /// The holder's token.
    pub token: FencingToken,
    /// The request's class.
    pub class: PriorityClass,
    /// What is to be done.
    pub work: EngineWork,
    /// Name of the stream at the target.
    pub stream: String,
    /// First token that is wanted.
    pub from: u64,
    /// Whether it is to be started, or only asked for again.
    pub start: Option<RequestCall<Unsent>>,
    /// How long the request waited for its adapter.
    pub load_stall: Duration,
    /// Counts the target's tokens.
    pub tokens: Arc<AtomicU64>,
    /// Where the frames go.
    pub buffer: Arc<CallBuffer>,
    /// The event loop.
    pub events: mpsc::Sender<AppEvent>,
}

/// Runs a stream to its end and reports it.
pub async fn run_stream(mut job: StreamJob) {
    let (end, report) = match job.begin().await {
        Ok((call, stream)) => job.carry(call, stream).await,
        Err(ended) => *ended,
    };
    let abandoned = job.buffer.is_abandoned();
    if abandoned || matches!(end, CallEnd::Failed(_)) {
        job.client.cancel(&job.stream).await;
    }
    let ended = AppEvent::StreamEnded(job.call, job.target.clone(), report);
    // The scheduler hears of the free seat before the caller of the end, so that a follow-up finds it.
    let _ = job.events.send(ended).await;
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
            // Room is certain: it is the first frame.
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
            Err(error) => Err(Box::new(not_started(*error))),
        }
    }

    async fn carry(
        &mut self,
        call: Option<RequestCall<Sent>>,
        mut stream: EngineStream,
    ) -> StreamEnding {
        let boot = stream.boot;
        let mut next = self.from;
        let mut resumes = 0;
        let mut finished = false;
        loop {
            let item = tokio::select! {
                item = stream.next() => item,
                () = self.buffer.abandoned() => return (CallEnd::Unknown("abandoned".to_owned()), StreamEnd::Ended),
            };
            let cause = match item {
                StreamItem::Done if finished => {
                    drop(call.map(RequestCall::answered));
                    return (CallEnd::Complete, StreamEnd::Complete { boot });
                }
                StreamItem::Done => "the stream ended before its last token".to_owned(),
                StreamItem::Token { model, .. } if !is_model(&self.work.model, &model) => {
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
                    finished = finish.is_some();
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
            match self.take_up(next, &mut resumes, cause).await {
                Ok(again) => stream = again,
                Err(cause) => return (CallEnd::Broken(cause), StreamEnd::Broken),
            }
        }
    }

    /// Asks for the rest of a broken stream.
    async fn take_up(
        &self,
        next: u64,
        resumes: &mut u32,
        cause: String,
    ) -> Result<EngineStream, String> {
        let mut cause = cause;
        while *resumes < RESUMES {
            tokio::time::sleep(RESUME_AFTER * (1 << *resumes)).await;
            *resumes += 1;
            match self.client.resume(&self.stream, next).await {
                Ok(stream) => {
                    event!(
                        Event::StreamResumed,
                        "{} at token {next} after: {cause}",
                        self.stream
                    );
                    return Ok(stream);
                }
                // The target does not know the stream: it restarted, or never had it.
                Err(status) if status.starts_with("404") => {
                    return Err(format!("{cause}; the target no longer has it"));
                }
                Err(error) => cause = error,
            }
        }
        Err(cause)
    }
}

fn not_started(error: SendError) -> StreamEnding {
    match error {
        SendError::NotConnected(call, _) => (
            CallEnd::NotRun(call.refuse(NotRunReason::NotConnected)),
            StreamEnd::Unreachable,
        ),
        // The target's own statement that it did not run it is as good as never having sent it.
        SendError::Refused(call, cause) => (
            CallEnd::NotRun(call.refused_by_target(NotRunReason::TargetRefused { cause })),
            StreamEnd::Refused,
        ),
        SendError::Failed(_, cause) => (CallEnd::Failed(cause), StreamEnd::Ended),
        SendError::Unknown(_, cause) => (CallEnd::Broken(cause), StreamEnd::Broken),
    }
}

fn is_model(asked: &AdapterVersion, answered: &str) -> bool {
    answered.split_once('@').is_some_and(|(name, version)| {
        name == asked.adapter.as_str() && version == asked.version.as_str()
    })
}
