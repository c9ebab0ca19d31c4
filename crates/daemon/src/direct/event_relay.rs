//! Answers that are passed on event by event.
//!
//! The relay runs inside the caller's connection: when the caller leaves, it is dropped, the connection to the target
//! closes and the target stops. A stream that may be resumed goes on from its last whole event at another target,
//! under the head that the caller already has.

use crate::{
    clock,
    direct::{
        call::{AnswerBody, BrokenAnswer, CallPlacement, CallState, OpenAnswer, SendOutcome},
        event_splitter::EventSplitter,
        message::CallEnd,
        metrics::RequestOutcome,
    },
    event,
    events::Event,
};
use bytes::Bytes;
use hoplanding_platform::headers::travelling;
use http::{HeaderMap, Response, header};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// Silence of a target after which a resumable stream goes on elsewhere; callers leave after 2 s or more.
const STALL: Duration = Duration::from_millis(1_200);

struct EventRelay {
    call: CallState,
    open: Option<OpenAnswer>,
    splitter: EventSplitter,
    resumable: bool,
    /// Whether the holder waits to hear of the first event of this send.
    awaits_first: bool,
}

/// Starts to pass a stream on.
pub fn relay_events(call: CallState, open: OpenAnswer, resumable: bool) -> Response<AnswerBody> {
    let status = open.parts.status;
    let headers = travelling(&open.parts.headers);
    let relay = EventRelay {
        call,
        open: Some(open),
        splitter: EventSplitter::default(),
        resumable,
        awaits_first: true,
    };
    let stream = futures_util::stream::unfold(relay, |mut relay| async move {
        let step = relay.next().await?;
        Some((step.map(Frame::data), relay))
    });
    let mut response = Response::new(StreamBody::new(stream).boxed_unsync());
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

impl EventRelay {
    /// The next whole events; nothing after the stream's end.
    async fn next(&mut self) -> Option<Result<Bytes, BrokenAnswer>> {
        loop {
            let patience = self.patience();
            let open = self.open.as_mut()?;
            let frame = timeout_at(patience, open.body.frame()).await;
            let is_silent = frame.is_err();
            let cause = match frame {
                Ok(Some(Ok(frame))) => {
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    match self.splitter.push(&data) {
                        Ok(events) if events.is_empty() => continue,
                        Ok(events) => {
                            self.note_events();
                            return Some(Ok(events));
                        }
                        Err(error) => error.to_string(),
                    }
                }
                Ok(None) => match self.finish() {
                    Ok(rest) => return rest.map(Ok),
                    Err(cause) => cause,
                },
                Ok(Some(Err(error))) => error.to_string(),
                Err(_) if patience < self.call.deadline => "no event for too long".to_owned(),
                Err(_) => {
                    self.end_open(CallEnd::Failed);
                    return Some(Err(self.broken("the deadline passed")));
                }
            };
            self.look_at_break(is_silent).await;
            let target = self.end_open(CallEnd::Failed);
            event!(Event::StreamBroken, request = self.call.head.id; "at {target}: {cause}, last event {:?}",
                self.splitter.last_id()
            );
            if !self.resumable || !self.resume().await {
                return Some(Err(self.broken(&cause)));
            }
        }
    }

    fn note_events(&mut self) {
        if self.call.timeline.note_event() {
            let held = self.call.arrived.elapsed();
            let fleet = &self.call.context.fleet;
            fleet.metrics.note_first_event(held);
            fleet.tables().streams.record_start(held, clock::now());
        }
        let Some(open) = self.open.as_ref().filter(|_| self.awaits_first) else {
            return;
        };
        self.awaits_first = false;
        let version = open.notice.version;
        if let Some(source) = self.call.fetch_source {
            event!(Event::KvFetchUsed, request = self.call.head.id; "at {} with parts from {source}, by version {version:?}",
                open.connection.target()
            );
        }
        if let Some(placed_call) = &open.placed_call {
            placed_call.note_first_event(version);
        }
    }

    /// Notes how long the stream took, for what may be taken while this VM stops.
    fn note_span(&self) {
        let call = &self.call;
        let (Some(first), Some(events)) = (call.timeline.first_event(), self.splitter.last_id())
        else {
            return;
        };
        let span = call.arrived.elapsed().saturating_sub(first);
        let mut tables = call.context.fleet.tables();
        let most_output = call.head.most_output;
        tables
            .streams
            .record_end(events, span, most_output, clock::now());
    }

    /// How long the next event may take: a stream that can go on elsewhere is not waited for until its caller leaves.
    fn patience(&self) -> Instant {
        if self.resumable {
            self.call.deadline.min(Instant::now() + STALL)
        } else {
            self.call.deadline
        }
    }

    fn broken(&mut self, cause: &str) -> BrokenAnswer {
        event!(Event::AnswerIncomplete, request = self.call.head.id; "{cause}, last event {:?}",
            self.splitter.last_id()
        );
        self.call.count(RequestOutcome::BrokenOff);
        BrokenAnswer(cause.to_owned())
    }

    /// Looks whether the target that broke the stream off has ended; one that was merely silent has not broken it off.
    async fn look_at_break(&self, is_silent: bool) {
        if let Some(open) = self.open.as_ref().filter(|_| !is_silent) {
            let is_trial = open.in_flight.is_trial();
            self.call.probe_after_failure(&open.entry, is_trial).await;
        }
    }

    /// Ends the counts of the open answer; returns its target.
    fn end_open(&mut self, end: CallEnd) -> String {
        let Some(open) = self.open.take() else {
            return String::new();
        };
        open.in_flight.finish(end);
        if let Some(placed_call) = open.placed_call {
            placed_call.finish(end);
        }
        open.connection.target().to_string()
    }

    /// The target ended its body: the stream is whole unless that end could not be told from a break.
    fn finish(&mut self) -> Result<Option<Bytes>, String> {
        let rest = self.splitter.take_remainder();
        let is_framed = self
            .open
            .as_ref()
            .is_some_and(|open| is_framed(&open.parts.headers));
        if !rest.is_empty() && !is_framed {
            return Err("the connection ended inside an event".to_owned());
        }
        if let Some(open) = self.open.take() {
            self.call.count(RequestOutcome::Answered);
            self.note_span();
            event!(Event::StreamAnswered, request = self.call.head.id; "route {} objective {} prompt {} at {}:{}",
                self.call.route.name,
                self.call.route.objective.as_millis(),
                self.call.head.prompt_tokens,
                open.connection.target(),
                self.call.timeline
            );
            open.in_flight.finish(CallEnd::Good);
            if let Some(placed_call) = open.placed_call {
                placed_call.finish(CallEnd::Good);
            }
            self.call.return_connection(open.connection, &open.notice);
        }
        Ok((!rest.is_empty()).then_some(rest))
    }

    /// Goes on at another target from the last whole event.
    async fn resume(&mut self) -> bool {
        let last = self.splitter.last_id().or(self.call.head.last_event);
        self.splitter.take_remainder();
        while self.call.may_repeat() {
            let placed = timeout_at(self.call.deadline, self.call.place()).await;
            let Ok(CallPlacement::At(entry, version, placed_call)) = placed else {
                return false;
            };
            match self.call.send(&entry, version, placed_call, last).await {
                SendOutcome::Success(open) => {
                    event!(Event::StreamResumed, request = self.call.head.id; "at {} from {last:?}",
                        entry.name
                    );
                    self.open = Some(*open);
                    self.awaits_first = true;
                    return true;
                }
                SendOutcome::Failure(_)
                | SendOutcome::NotRun
                | SendOutcome::NotSent
                | SendOutcome::Withheld
                | SendOutcome::Unknown => {}
            }
        }
        false
    }
}

fn is_framed(headers: &HeaderMap) -> bool {
    headers.contains_key(header::CONTENT_LENGTH) || headers.contains_key(header::TRANSFER_ENCODING)
}
