//! Relays streamed answers to callers event by event.
//!
//! The relay is the body of the caller's response: when the caller disconnects, the relay is dropped, which closes the
//! connection to the target, and the target stops. If a resumable stream breaks, it continues after its last complete
//! event at another target, under the response head that the caller already has. A silent target keeps the stream until
//! another one is ready to continue it.

use crate::{
    clock,
    direct::{
        answer_buffers::{BufferFault, BufferReservation, record_fault},
        buffered_answer::is_framed,
        call::{
            AnswerBody, AnswerEnder, AnswerProgress, BrokenAnswer, CallPlacement, CallState,
            OpenAnswer, PendingSend, SendOutcome, SilentTarget, finish_send,
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

/// Time without data after which another target is looked for to continue a resumable stream; callers time out after 2 s or
/// more.
const STALL_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Time without data after which a stream leaves a target that answers other requests: its connection or its run has stuck.
const STUCK_TIMEOUT: Duration = Duration::from_millis(1_800);

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
    /// This VM ended the answer for want of room.
    Ended(BufferFault),
    /// The target was silent, and another one has taken the call.
    Moved(PendingSend),
    DeadlinePassed,
}

struct EventRelay {
    call: CallState,
    open: Option<OpenAnswer>,
    splitter: EventSplitter,
    /// Room for the event that is not complete yet.
    reservation: BufferReservation,
    is_resumable: bool,
    /// Whether the zone's holder has yet to be notified of the first event of this send.
    awaits_first_event: bool,
    /// Whether any event was relayed.
    has_relayed: bool,
    /// Bytes of the events that were relayed.
    relayed_bytes: u64,
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
    let reservation = call.context.fleet.answer_buffers.reserve();
    let relay = EventRelay {
        call,
        open: Some(open),
        splitter: EventSplitter::default(),
        reservation,
        is_resumable,
        awaits_first_event: true,
        has_relayed: false,
        relayed_bytes: 0,
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
                    match self.buffer(&data) {
                        Ok(events) if events.is_empty() => continue,
                        Ok(events) => {
                            self.relayed_bytes += events.len() as u64;
                            self.record_events();
                            return Some(Ok(events));
                        }
                        Err(fault) => (AnswerEnder::Gateway, self.discard(&fault)),
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
                StreamStep::Ended(fault) => (AnswerEnder::Gateway, self.discard(&fault)),
                StreamStep::Moved(send) => {
                    if self.follow(send).await {
                        continue;
                    }
                    let (ender, cause) = if Instant::now() >= self.call.deadline {
                        (AnswerEnder::Deadline, "the deadline passed")
                    } else {
                        let cause = "no other target could continue the stream of a silent one";
                        (AnswerEnder::Gateway, cause)
                    };
                    return Some(Err(self.break_off(ender, cause)));
                }
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
        let stalls_at = if may_move {
            deadline.min(Instant::now() + STALL_TIMEOUT)
        } else {
            deadline
        };
        let read = async {
            tokio::select! {
                biased;
                fault = self.reservation.ended() => StreamStep::Ended(fault),
                step = read_step(&mut open.body) => step,
            }
        };
        let step = match timeout_at(stalls_at, read).await {
            Ok(step) => step,
            Err(_) if stalls_at < deadline => timeout_at(deadline, self.outlast_stall())
                .await
                .unwrap_or(StreamStep::DeadlinePassed),
            Err(_) => StreamStep::DeadlinePassed,
        };
        Some(step)
    }

    /// Adds data of the stream; returns the complete events.
    fn buffer(&mut self, data: &Bytes) -> Result<Bytes, BufferFault> {
        let events = self.splitter.push(data)?;
        let buffered = self.splitter.buffered();
        let recorded = self.reservation.record_piece(buffered, !events.is_empty());
        // Complete events are relayed before the answer ends.
        if events.is_empty() {
            recorded?;
        }
        Ok(events)
    }

    /// Discards an event that is over a bound, and returns the cause of the end.
    fn discard(&mut self, fault: &BufferFault) -> String {
        self.splitter.take_remainder();
        if let Some(open) = &self.open {
            let fleet = &self.call.context.fleet;
            record_fault(fleet, open.connection.target(), &self.call.head.id, fault);
        }
        fault.to_string()
    }

    /// Waits until the silent target goes on or another one is ready to take the call.
    async fn outlast_stall(&mut self) -> StreamStep {
        let Some(open) = &mut self.open else {
            return StreamStep::End;
        };
        let entry = Arc::clone(&open.entry);
        let stalled_at = Instant::now();
        let last = self.splitter.last_id().or(self.call.head.last_event_id);
        let state = self.call.placed_state();
        let call = &mut self.call;
        let search = async {
            // The path is checked so that the call does not go to another target over a lost one.
            call.context.pool.check_path(&entry.zone).await;
            let is_answering = call.is_answering(&entry).await;
            event!(Event::StreamStalled, request = call.head.id; "at {}: no data for {STALL_TIMEOUT:?}, last event {last:?}, other requests answered: {is_answering}",
                entry.name
            );
            let silent = SilentTarget {
                entry: &entry,
                stays_until: Some(stalled_at + STUCK_TIMEOUT - STALL_TIMEOUT),
            };
            call.find_other_target(silent).await
        };
        let prepared = tokio::select! {
            biased;
            step = read_step(&mut open.body) => {
                self.call.restore_placed_state(&state);
                if let StreamStep::Data(_) = step {
                    event!(Event::StalledStreamWentOn, request = self.call.head.id; "at {} after {:?}",
                        entry.name,
                        stalled_at.elapsed() + STALL_TIMEOUT
                    );
                }
                return step;
            }
            prepared = search => prepared,
        };
        let cause = format!(
            "silent, and {} is ready to continue the stream",
            prepared.target()
        );
        self.end_broken(AnswerEnder::Gateway, &cause);
        self.splitter.take_remainder();
        StreamStep::Moved(self.call.start_send(prepared, last))
    }

    /// Continues the stream at the target that has taken the call from a silent one. If it does not answer well, others are
    /// tried until the deadline, as the silent target is given up already.
    async fn follow(&mut self, mut send: PendingSend) -> bool {
        let last = self.splitter.last_id().or(self.call.head.last_event_id);
        loop {
            let entry = send.entry();
            let outcome = self.call.wait_for_answer(send, last).await;
            if let SendOutcome::Success(open) = outcome {
                self.continue_with(*open);
                return true;
            }
            if !self.call.may_retry() {
                return false;
            }
            let silent = SilentTarget {
                entry: &entry,
                stays_until: None,
            };
            let found = timeout_at(self.call.deadline, self.call.find_other_target(silent)).await;
            let Ok(prepared) = found else {
                return false;
            };
            send = self.call.start_send(prepared, last);
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
        let fleet = &call.context.fleet;
        fleet.record_answer_size(&call.service.name, self.relayed_bytes);
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
            finish_send(open.placed_call, open.in_flight, end);
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
            finish_send(open.placed_call, open.in_flight, CallEnd::Good);
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
        while self.call.reserve_retry() {
            let placed = timeout_at(self.call.deadline, self.call.place()).await;
            let Ok(CallPlacement::At(entry, version, placed_call)) = placed else {
                return false;
            };
            match self.call.send(&entry, version, placed_call, last).await {
                SendOutcome::Success(open) => {
                    self.continue_with(*open);
                    return true;
                }
                SendOutcome::Failure(_)
                | SendOutcome::NotRun
                | SendOutcome::NotSent
                | SendOutcome::Withheld
                | SendOutcome::TooLate(_)
                | SendOutcome::Unknown => {}
            }
        }
        false
    }

    /// Continues the stream with the answer of another target.
    fn continue_with(&mut self, open: OpenAnswer) {
        event!(Event::StreamResumed, request = self.call.head.id; "at {} from {:?}, software version {:?}",
            open.entry.name,
            self.splitter.last_id().or(self.call.head.last_event_id),
            open.entry.software
        );
        self.reservation = self.call.context.fleet.answer_buffers.reserve();
        self.open = Some(open);
        self.awaits_first_event = true;
        self.first_event_at = None;
        self.is_recorded_harmless = false;
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
