//! Relays streamed answers to callers event by event.
//!
//! The relay is the body of the caller's response: when the caller disconnects, the relay is dropped, which closes the
//! connection to the target, and the target stops. If a resumable stream breaks, it continues after its last complete
//! event at another target, under the response head that the caller already has. If its target is silent, it continues there
//! or at another target, whichever sends data first.

use crate::{
    clock,
    direct::{
        buffered_answer::is_framed,
        call::{
            AnswerBody, AnswerEnder, AnswerProgress, BrokenAnswer, CallPlacement, CallState,
            OpenAnswer, OpenSends, SendOutcome,
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
use hyper::body::{Frame, Incoming};
use std::{mem, sync::Arc, time::Duration};
use tokio::time::{Instant, timeout_at};

/// Time without data after which a resumable stream is sent to another target as well; callers time out after 2 s or more.
const STALL_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Time from the first event until an answer counts as harmless to its target. A target that a request crashes ends as it
/// begins to answer, and its end takes a moment to show.
const MIN_HARMLESS_TIME: Duration = Duration::from_millis(250);

/// What comes next in a stream.
enum StreamStep {
    Data(Bytes),
    /// The target's body ended.
    End,
    /// The target's body broke off.
    Failed(String),
    DeadlinePassed,
}

/// Another send of the call that goes on when the open answer breaks off.
#[derive(Default)]
enum StandbySend {
    #[default]
    Absent,
    /// Its answer has not come yet.
    Open(OpenSends),
    /// It has an answer without data so far.
    Answered(Box<OpenAnswer>),
}

struct EventRelay {
    call: CallState,
    open: Option<OpenAnswer>,
    standby: StandbySend,
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
        standby: StandbySend::Absent,
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
            let (ender, cause) = match self.next_step().await? {
                StreamStep::Data(data) => {
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
                StreamStep::End if self.has_lost_target().await => {
                    let cause = "the target ended with its connection";
                    (AnswerEnder::Target, cause.to_owned())
                }
                StreamStep::End => match self.finish_stream() {
                    Ok(rest) => return rest.map(Ok),
                    Err(cause) => (AnswerEnder::Target, cause),
                },
                StreamStep::Failed(cause) => (AnswerEnder::Target, cause),
                StreamStep::DeadlinePassed => {
                    self.end_open(CallEnd::Failed);
                    return Some(Err(
                        self.break_off(AnswerEnder::Deadline, "the deadline passed")
                    ));
                }
            };
            self.check_target().await;
            self.end_broken(ender, &cause);
            let broken_at = self.call.asked.clone();
            if !self.can_resume() || !self.resume().await {
                self.call.asked = broken_at;
                return Some(Err(self.break_off(ender, &cause)));
            }
        }
    }

    /// Waits for the next step of the stream; `None` if it has ended.
    async fn next_step(&mut self) -> Option<StreamStep> {
        let deadline = self.call.deadline;
        let may_move = self.can_resume() && self.call.may_retry();
        let open = self.open.as_mut()?;
        // A second run of a suspect might crash another target.
        let stalls_at = if may_move && !open.in_flight.is_trial() {
            deadline.min(Instant::now() + STALL_TIMEOUT)
        } else {
            deadline
        };
        let step = match timeout_at(stalls_at, read_step(&mut open.body)).await {
            Ok(step) => step,
            Err(_) if stalls_at < deadline => timeout_at(deadline, self.outlast_stall())
                .await
                .unwrap_or(StreamStep::DeadlinePassed),
            Err(_) => StreamStep::DeadlinePassed,
        };
        Some(step)
    }

    /// Sends the call to another target while its own is silent, and continues with the one that sends data first. The silent
    /// target is not given up for anything less: it may go on at any time, and the other one may fail as well.
    async fn outlast_stall(&mut self) -> StreamStep {
        let Some(open) = &mut self.open else {
            return StreamStep::End;
        };
        let entry = Arc::clone(&open.entry);
        let call = &self.call;
        // The path is checked so that the call does not go to another target over a lost one.
        let checks = async {
            tokio::join!(
                call.context.pool.check_path(&entry.zone),
                call.is_answering(&entry)
            )
        };
        let ((), is_answering) = tokio::select! {
            biased;
            step = read_step(&mut open.body) => return step,
            checked = checks => checked,
        };
        let stalled_at = Instant::now();
        event!(Event::StreamStalled, request = self.call.head.id; "at {}: no data for {STALL_TIMEOUT:?}, last event {:?}, other requests answered: {is_answering}",
            entry.name,
            self.splitter.last_id()
        );
        if !is_answering {
            self.call.tried.push(entry.name.clone());
        }
        let step = self.race_stalled().await;
        self.call.tried.retain(|tried| *tried != entry.name);
        let goes_on = self
            .open
            .as_ref()
            .is_some_and(|open| open.entry.name == entry.name);
        if goes_on {
            self.call.asked = Some(Arc::clone(&entry));
        }
        if goes_on && matches!(step, StreamStep::Data(_)) {
            event!(Event::StalledStreamWentOn, request = self.call.head.id; "at {} {:?} later",
                entry.name,
                stalled_at.elapsed()
            );
        }
        step
    }

    /// Waits for data of the stalled target and of another one to which the call is sent.
    async fn race_stalled(&mut self) -> StreamStep {
        let last = self.splitter.last_id().or(self.call.head.last_event_id);
        loop {
            let Some(open) = &mut self.open else {
                return StreamStep::End;
            };
            let send = tokio::select! {
                biased;
                step = read_step(&mut open.body) => return step,
                send = self.call.begin_other_send(last) => send,
            };
            let mut sends = OpenSends::default();
            sends.push(send);
            let outcome = tokio::select! {
                biased;
                step = read_step(&mut open.body) => {
                    if let StreamStep::Failed(_) = step {
                        self.standby = StandbySend::Open(sends);
                    }
                    return step;
                }
                outcome = self.call.wait_for_answer(&mut sends, last) => outcome,
            };
            let SendOutcome::Success(mut other) = outcome else {
                continue;
            };
            let other_step = tokio::select! {
                biased;
                step = read_step(&mut open.body) => {
                    if let StreamStep::Failed(_) = step {
                        self.standby = StandbySend::Answered(other);
                    }
                    return step;
                }
                step = read_step(&mut other.body) => step,
            };
            if let StreamStep::Data(_) = other_step {
                self.call.asked = Some(Arc::clone(&open.entry));
                let cause = format!("silent while {} sent data", other.entry.name);
                self.end_broken(AnswerEnder::Gateway, &cause);
                self.splitter.take_remainder();
                self.continue_with(other);
                return other_step;
            }
            close(*other, CallEnd::Failed);
        }
    }

    /// Ends the open answer, which has not come to its end.
    fn end_broken(&mut self, ender: AnswerEnder, cause: &str) {
        let software = self.open.as_ref().map(|open| open.entry.software.clone());
        self.end_open(CallEnd::Failed);
        event!(Event::StreamBroken, request = self.call.head.id; "{}, software version {software:?}",
            self.call.unfinished_answer(ender, cause)
        );
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

    fn break_off(&mut self, ender: AnswerEnder, cause: &str) -> BrokenAnswer {
        event!(Event::AnswerIncomplete, request = self.call.head.id; "{}",
            self.call.unfinished_answer(ender, cause)
        );
        self.call.count(RequestOutcome::BrokenOff);
        BrokenAnswer(cause.to_owned())
    }

    /// Finds out whether the target crashed when it broke the stream off.
    async fn check_target(&mut self) {
        let Some(open) = &self.open else {
            return;
        };
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

    /// Whether the target has survived the beginning of the answer.
    fn is_harmless(&self) -> bool {
        self.first_event_at
            .is_some_and(|at| at.elapsed() >= MIN_HARMLESS_TIME)
    }

    /// Closes the accounting of the open answer.
    fn end_open(&mut self, end: CallEnd) {
        if let Some(open) = self.open.take() {
            close(open, end);
        }
    }

    /// Whether a body without framing ended because its target did. A target's end closes its connections like the end of a
    /// body.
    async fn has_lost_target(&mut self) -> bool {
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
        // A path that was lost in an earlier attempt may be back.
        self.call.closed_zones.clear();
        let mut sends = match mem::take(&mut self.standby) {
            StandbySend::Answered(open) => {
                self.continue_with(open);
                return true;
            }
            StandbySend::Open(sends) => sends,
            StandbySend::Absent => OpenSends::default(),
        };
        loop {
            let outcome = if sends.is_empty() {
                if !self.call.reserve_retry() {
                    return false;
                }
                let placed = timeout_at(self.call.deadline, self.call.place()).await;
                let Ok(CallPlacement::At(entry, version, placed_call)) = placed else {
                    return false;
                };
                self.call
                    .send(&entry, version, placed_call, last, &mut sends)
                    .await
            } else {
                self.call.wait_for_answer(&mut sends, last).await
            };
            if let SendOutcome::Success(open) = outcome {
                self.continue_with(open);
                return true;
            }
        }
    }

    /// Continues the stream with the answer of another target.
    fn continue_with(&mut self, open: Box<OpenAnswer>) {
        event!(Event::StreamResumed, request = self.call.head.id; "at {} from {:?}, software version {:?}",
            open.entry.name,
            self.splitter.last_id().or(self.call.head.last_event_id),
            open.entry.software
        );
        self.call.asked = Some(Arc::clone(&open.entry));
        self.open = Some(*open);
        self.awaits_first_event = true;
        self.first_event_at = None;
        self.is_recorded_harmless = false;
    }
}

/// Closes the accounting of an answer.
fn close(open: OpenAnswer, end: CallEnd) {
    open.in_flight.finish(end);
    if let Some(placed_call) = open.placed_call {
        placed_call.finish(end);
    }
}

/// Waits for the next data of a body, or its end.
async fn read_step(body: &mut Incoming) -> StreamStep {
    loop {
        match body.frame().await {
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    return StreamStep::Data(data);
                }
            }
            Some(Err(error)) => return StreamStep::Failed(ErrorChain(&error).to_string()),
            None => return StreamStep::End,
        }
    }
}

fn is_event_stream(headers: &HeaderMap) -> bool {
    let media_type = headers.get(header::CONTENT_TYPE);
    media_type.is_some_and(|value| value.as_bytes().starts_with(b"text/event-stream"))
}
