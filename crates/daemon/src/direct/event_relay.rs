//! Relays streamed answers to callers event by event.
//!
//! The relay is the body of the caller's response: when the caller disconnects, the relay is dropped, which closes the
//! connection to the target, and the target stops. If a resumable stream breaks, it continues after its last complete
//! event at another target, under the response head that the caller already has.

use crate::{
    clock,
    direct::{
        buffered_answer::is_framed,
        call::{
            AnswerBody, AnswerEnder, AnswerProgress, BrokenAnswer, CallPlacement, CallState,
            OpenAnswer, SendOutcome,
        },
        error_chain::ErrorChain,
        event_splitter::EventSplitter,
        message::CallEnd,
        metrics::{RequestOutcome, ResumeOrigin, ResumeVersion},
    },
    event,
    events::Event,
};
use bytes::Bytes;
use hoplanding_platform::headers::end_to_end_headers;
use http::{HeaderMap, Response, header};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use std::{mem, time::Duration};
use tokio::time::{Instant, timeout_at};

/// Time without data after which a resumable stream continues at another target; callers time out after 2 s or more.
const STALL_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Time from the first event until an answer counts as harmless to its target. A target that a request crashes ends as it
/// begins to answer, and its end takes a moment to show.
const MIN_HARMLESS_TIME: Duration = Duration::from_millis(250);

struct EventRelay {
    call: CallState,
    open: Option<OpenAnswer>,
    splitter: EventSplitter,
    is_resumable: bool,
    /// Whether the zone's holder has yet to be notified of the first event of this send.
    awaits_first_event: bool,
    /// Whether any event was relayed.
    has_relayed: bool,
    /// When the first event of this send came.
    first_event_at: Option<Instant>,
    /// Whether this send has been recorded as harmless.
    is_recorded_harmless: bool,
}

/// Starts to relay a stream; returns the response to the caller.
pub fn relay_events(
    mut call: CallState,
    open: OpenAnswer,
    is_resumable: bool,
) -> Response<AnswerBody> {
    let status = open.parts.status;
    call.has_begun_answer = true;
    if call.has_only_head(status) {
        call.count(RequestOutcome::Answered);
    }
    let headers = end_to_end_headers(&open.parts.headers);
    let relay = EventRelay {
        call,
        open: Some(open),
        splitter: EventSplitter::default(),
        is_resumable,
        awaits_first_event: true,
        has_relayed: false,
        first_event_at: None,
        is_recorded_harmless: false,
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
    /// Returns the next complete events, or `None` after the end of the stream.
    async fn next(&mut self) -> Option<Result<Bytes, BrokenAnswer>> {
        loop {
            let deadline = self.next_event_deadline();
            let open = self.open.as_mut()?;
            let frame = timeout_at(deadline, open.body.frame()).await;
            let is_stalled = frame.is_err();
            let (ender, cause) = match frame {
                Ok(Some(Ok(frame))) => {
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    self.call.last_data_at = Some(Instant::now());
                    match self.splitter.push(&data) {
                        Ok(events) if events.is_empty() => continue,
                        Ok(events) => {
                            self.record_events();
                            return Some(Ok(events));
                        }
                        Err(error) => (AnswerEnder::Gateway, error.to_string()),
                    }
                }
                Ok(None) if self.has_lost_target().await => {
                    let cause = "the target ended with its connection";
                    (AnswerEnder::Target, cause.to_owned())
                }
                Ok(None) => match self.finish_stream() {
                    Ok(rest) => return rest.map(Ok),
                    Err(cause) => (AnswerEnder::Target, cause),
                },
                Ok(Some(Err(error))) => (AnswerEnder::Target, ErrorChain(&error).to_string()),
                Err(_) if deadline < self.call.deadline => {
                    let cause = "no data from the target before the timeout";
                    (AnswerEnder::Gateway, cause.to_owned())
                }
                Err(_) => {
                    self.end_open(CallEnd::Failed);
                    return Some(Err(
                        self.break_off(AnswerEnder::Deadline, "the deadline passed")
                    ));
                }
            };
            self.check_target(is_stalled).await;
            let software = self.open.as_ref().map(|open| open.entry.software.clone());
            self.end_open(CallEnd::Failed);
            event!(Event::StreamBroken, request = self.call.head.id; "{}, software version {software:?}",
                self.call.unfinished_answer(ender, &cause)
            );
            let broken_at = self.call.asked.clone();
            if !self.can_resume() || !self.resume().await {
                self.call.asked = broken_at;
                return Some(Err(self.break_off(ender, &cause)));
            }
        }
    }

    fn record_events(&mut self) {
        self.call.last_event = self.splitter.last_id();
        if self.call.timeline.record_event() {
            let elapsed = self.call.arrived.elapsed();
            let fleet = &self.call.context.fleet;
            fleet.metrics.observe_first_event(elapsed);
            fleet.tables().streams.record_start(elapsed, clock::now());
        }
        if self.is_harmless() && !mem::replace(&mut self.is_recorded_harmless, true) {
            self.call.record_harmless_parts();
        }
        if !mem::take(&mut self.awaits_first_event) {
            return;
        }
        self.first_event_at = Some(Instant::now());
        self.bind_software();
        let Some(open) = self.open.as_ref() else {
            return;
        };
        let version = open.notice.version;
        if let Some(source) = self.call.fetch_source {
            event!(Event::KvFetchUsed, request = self.call.head.id; "at {} with parts from {source}, by version {version:?}",
                open.connection.target()
            );
        }
        if let Some(placed_call) = &open.placed_call {
            placed_call.record_first_event(version);
        }
    }

    /// Binds the call to the software version of its first event, and counts the sends that continue a stream.
    fn bind_software(&mut self) {
        let Some(open) = &self.open else {
            return;
        };
        let software = open.entry.software.clone();
        let origin = match self.call.software {
            Some(_) if self.has_relayed => Some(ResumeOrigin::Relay),
            _ => self.call.head.last_event_id.map(|_| ResumeOrigin::Caller),
        };
        if let Some(origin) = origin {
            let version = match &self.call.software {
                Some(bound) if *bound == software => ResumeVersion::Same,
                Some(_) => ResumeVersion::Other,
                None => ResumeVersion::Unknown,
            };
            let metrics = &self.call.context.fleet.metrics;
            metrics.count_resumed_stream(origin, version);
        }
        if !mem::replace(&mut self.has_relayed, true) && self.is_resumable {
            self.call.record_stream_origin(&software);
        }
        self.call.software.get_or_insert(software);
    }

    /// Records how long the stream took. During a planned stop, these durations decide which streams are still
    /// admitted.
    fn record_duration(&self) {
        let call = &self.call;
        let (Some(first), Some(events)) = (call.timeline.first_event(), self.splitter.last_id())
        else {
            return;
        };
        let duration = call.arrived.elapsed().saturating_sub(first);
        let mut tables = call.context.fleet.tables();
        let max_output_tokens = call.head.max_output_tokens;
        tables
            .streams
            .record_end(events, duration, max_output_tokens, clock::now());
    }

    /// Deadline of the next event. A resumable stream has a shorter one, so that it resumes before its caller times
    /// out.
    fn next_event_deadline(&self) -> Instant {
        if self.is_resumable {
            self.call.deadline.min(Instant::now() + STALL_TIMEOUT)
        } else {
            self.call.deadline
        }
    }

    fn break_off(&mut self, ender: AnswerEnder, cause: &str) -> BrokenAnswer {
        event!(Event::AnswerIncomplete, request = self.call.head.id; "{}",
            self.call.unfinished_answer(ender, cause)
        );
        self.call.count(RequestOutcome::BrokenOff);
        BrokenAnswer(cause.to_owned())
    }

    /// Finds out whether the target crashed, if it broke the stream off, or whether the path to a stalled target is lost, so
    /// that the stream does not resume over that path.
    async fn check_target(&self, is_stalled: bool) {
        let Some(open) = &self.open else {
            return;
        };
        if is_stalled {
            let pool = &self.call.context.pool;
            pool.check_path(&open.entry.zone).await;
        } else {
            let is_trial = open.in_flight.is_trial();
            let progress = if self.is_harmless() {
                AnswerProgress::UnderWay
            } else {
                AnswerProgress::Begun
            };
            self.call
                .probe_after_failure(&open.entry, is_trial, progress)
                .await;
        }
    }

    /// Whether the target has survived the beginning of the answer.
    fn is_harmless(&self) -> bool {
        self.first_event_at
            .is_some_and(|at| at.elapsed() >= MIN_HARMLESS_TIME)
    }

    /// Closes the accounting of the open answer.
    fn end_open(&mut self, end: CallEnd) {
        let Some(open) = self.open.take() else {
            return;
        };
        open.in_flight.finish(end);
        if let Some(placed_call) = open.placed_call {
            placed_call.finish(end);
        }
    }

    /// Whether a body without framing ended because its target did. A target's end closes its connections like the end of a
    /// body.
    async fn has_lost_target(&self) -> bool {
        match &self.open {
            Some(open) if !is_framed(&open.parts.headers) => self.call.has_ended(&open.entry).await,
            _ => false,
        }
    }

    /// Handles the end of the target's body. An end inside an event is an error whatever the framing, as a target may end
    /// its body in order after it broke off. A body without framing that holds no whole event cannot be told from a broken
    /// connection either.
    fn finish_stream(&mut self) -> Result<Option<Bytes>, String> {
        let rest = self.splitter.take_remainder();
        let headers = self.open.as_ref().map(|open| &open.parts.headers);
        let has_events = self.has_relayed || headers.is_some_and(is_event_stream);
        let is_cut = has_events || !headers.is_some_and(is_framed);
        if is_cut && !rest.trim_ascii().is_empty() {
            return Err("the stream ended inside an event".to_owned());
        }
        if let Some(open) = self.open.take() {
            self.call.count(RequestOutcome::Answered);
            self.call.record_harmless_parts();
            self.record_duration();
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

    /// Whether the stream may continue at another target. Events without ids do not show after which one that is.
    fn can_resume(&self) -> bool {
        self.is_resumable && (!self.has_relayed || self.splitter.last_id().is_some())
    }

    /// Continues the stream at another target after the last complete event; returns whether a target took it over.
    async fn resume(&mut self) -> bool {
        let last = self.splitter.last_id().or(self.call.head.last_event_id);
        self.splitter.take_remainder();
        while self.call.reserve_retry() {
            let placed = timeout_at(self.call.deadline, self.call.place()).await;
            let Ok(CallPlacement::At(entry, version, placed_call)) = placed else {
                return false;
            };
            match self.call.send(&entry, version, placed_call, last).await {
                SendOutcome::Success(open) => {
                    event!(Event::StreamResumed, request = self.call.head.id; "at {} from {last:?}, software version {:?}",
                        entry.name,
                        entry.software
                    );
                    self.open = Some(*open);
                    self.awaits_first_event = true;
                    self.first_event_at = None;
                    self.is_recorded_harmless = false;
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

fn is_event_stream(headers: &HeaderMap) -> bool {
    let media_type = headers.get(header::CONTENT_TYPE);
    media_type.is_some_and(|value| value.as_bytes().starts_with(b"text/event-stream"))
}
