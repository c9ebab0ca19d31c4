//! Drives one request from admission to its end: idempotency tokens and keys, attempts, retries and resumes.
//!
//! The decisions are made in the core: the typestate [`RequestCall`] limits what may become of the request, and
//! [`decide_retry`] chooses the next step after each attempt. The driver sends the calls, relays the frames and waits.

use crate::{
    app::{
        AppEvent, AppHandle, IdempotencyDecision, IdempotentOutcome, KeyClaimResult, RouteRequest,
        RouteVia, SelectedRoute,
    },
    calls::{
        CallBuffer, CallEnd, CallFrame, CallId, CallWork, ExecuteRequest, PushError, RunMode,
        SubmitRequest,
    },
    clock, event,
    events::Event,
    gateway::errors::token_refusal,
    metrics::DaemonMetrics,
    peers::{CallReader, PeerLink, PeerMessage, ReadEvent},
};
use hoplanding_core::{
    config::RequestRepeatability,
    ids::{Instant, RequestId, TargetName},
    request::{
        AttemptEnd, DedupKey, IdempotencyToken, KeyHash, NotRunReason, RequestCall, RetryBudget,
        RetryDecision, RetryInput, RetryLimits, Sent, Unsent, decide_retry,
    },
};
use rand::Rng;
use std::{
    sync::{Arc, Mutex},
    time::Duration,
};
use tokio::sync::mpsc;

/// Largest answer, in bytes of text and body, that is recorded for replay to a repeated call.
const MAX_RECORDED_BYTES: usize = 64 * 1024;
/// Time for a broken link to reconnect before the holder counts as lost.
const RECONNECT_TIMEOUT: Duration = Duration::from_millis(1500);
/// Capacity of the daemon's retry budget, in retries.
const RETRY_BUDGET_CAPACITY: f64 = 64.0;
/// Retries that each request adds to the budget.
const RETRY_BUDGET_PER_REQUEST: f64 = 0.1;

static RETRY_BUDGET: Mutex<Option<RetryBudget>> = Mutex::new(None);

fn with_retry_budget<T>(update: impl FnOnce(&mut RetryBudget) -> T) -> T {
    let mut budget = RETRY_BUDGET
        .lock()
        .expect("no thread panics while it holds the lock");
    update(
        budget.get_or_insert_with(|| {
            RetryBudget::new(RETRY_BUDGET_CAPACITY, RETRY_BUDGET_PER_REQUEST)
        }),
    )
}

/// Handles that a driver needs.
#[derive(Clone)]
pub struct DriverContext {
    app: AppHandle,
    metrics: DaemonMetrics,
}

impl DriverContext {
    /// Creates a context that queries the event loop through `events`.
    #[must_use]
    pub fn new(events: mpsc::Sender<AppEvent>, metrics: DaemonMetrics) -> Self {
        Self {
            app: AppHandle::new(events),
            metrics,
        }
    }
}

/// Driver of one request.
pub struct CallDriver {
    context: DriverContext,
    id: RequestId,
    request: SubmitRequest,
    output: Arc<CallBuffer>,
    deadline: Instant,
    attempt: u32,
    not_run_count: u32,
    not_run_since: Option<Instant>,
    excluded_targets: Vec<TargetName>,
    /// Frames recorded for replay, if the request carries an idempotency token or key.
    recorded: Option<Vec<CallFrame>>,
    recorded_bytes: usize,
    stream: Option<StreamLocation>,
    next_token: u64,
    answer_started: bool,
}

/// Location of a started stream.
struct StreamLocation {
    target: TargetName,
    name: String,
}

/// How one attempt ended.
enum AttemptOutcome {
    /// The request has its final end.
    Final(CallEnd),
    /// The attempt was sent and may have run; a retry or resume may follow.
    Interrupted(RequestCall<Sent>, AttemptEnd, String),
    /// The attempt provably did not run.
    NotRun(RequestCall<Unsent>, NotRunReason),
}

impl CallDriver {
    /// Creates a driver that writes the answer's frames to `output`.
    #[must_use]
    pub fn new(
        context: DriverContext,
        id: RequestId,
        request: SubmitRequest,
        output: Arc<CallBuffer>,
    ) -> Self {
        let deadline = clock::now().after(Duration::from_millis(request.deadline_ms));
        Self {
            context,
            id,
            request,
            output,
            deadline,
            attempt: 0,
            not_run_count: 0,
            not_run_since: None,
            excluded_targets: Vec::new(),
            recorded: None,
            recorded_bytes: 0,
            stream: None,
            next_token: 0,
            answer_started: false,
        }
    }

    /// Runs the request and ends its answer.
    pub async fn run(mut self) {
        let end = match self.request.idempotency.clone() {
            None => self.run_attempts().await,
            Some(text) => self.run_with_key(&text).await,
        };
        if let CallEnd::Unknown(cause) = &end {
            event!(Event::OutcomeUnknown, "{}: {cause}", self.id);
            self.context.metrics.count("gateway.outcome_unknown");
        }
        self.output.end(end);
    }

    async fn run_with_key(&mut self, text: &str) -> CallEnd {
        let fingerprint = self.request.fingerprint();
        let key = match IdempotencyToken::parse(text) {
            Some(token) => DedupKey::Token(token),
            None => {
                let key = KeyHash::of(&self.request.caller, text);
                let claim = self
                    .context
                    .app
                    .request(|reply| AppEvent::ClaimKey(key, fingerprint, reply))
                    .await;
                match claim {
                    Some(KeyClaimResult::Won) => DedupKey::Key(key),
                    Some(KeyClaimResult::Forward(link)) => return self.forward(&link).await,
                    Some(KeyClaimResult::HolderGone(daemon)) => {
                        return CallEnd::Unknown(format!(
                            "{daemon}, which ran the request with this key, can't be reached"
                        ));
                    }
                    Some(KeyClaimResult::KeyReused) => return key_reused_end(),
                    Some(KeyClaimResult::NotClaimed) | None => {
                        return self.end_refused(NotRunReason::KeyNotClaimed);
                    }
                }
            }
        };
        let answer = self
            .context
            .app
            .request(|reply| AppEvent::BeginIdempotent(key.clone(), fingerprint, reply))
            .await;
        match answer {
            None => self.end_refused(NotRunReason::Stopping),
            Some(IdempotencyDecision::Run) => self.run_recorded(key).await,
            Some(IdempotencyDecision::Replay(frames)) => self.replay(&frames).await,
            Some(IdempotencyDecision::Join(answer)) => match answer.await {
                Ok(Some(frames)) => self.replay(&frames).await,
                _ => CallEnd::Unknown(
                    "the first call with this token ended without an answer that is kept"
                        .to_owned(),
                ),
            },
            Some(IdempotencyDecision::Unknown(cause)) => CallEnd::Unknown(cause),
            Some(IdempotencyDecision::Forward(link)) => self.forward(&link).await,
            Some(IdempotencyDecision::InvalidToken(error)) => token_refusal(&error),
        }
    }

    fn end_refused(&self, reason: NotRunReason) -> CallEnd {
        CallEnd::NotRun(RequestCall::new(self.id).refuse(reason))
    }

    async fn run_recorded(&mut self, key: DedupKey) -> CallEnd {
        self.recorded = Some(Vec::new());
        let end = self.run_attempts().await;
        let idempotent_outcome = match (&end, self.recorded.take()) {
            (CallEnd::NotRun(_), _) => IdempotentOutcome::NotRun,
            (CallEnd::Complete, Some(frames)) => IdempotentOutcome::Answered(Arc::new(frames)),
            _ => IdempotentOutcome::AnswerLost,
        };
        self.context
            .app
            .notify(AppEvent::EndIdempotent(key, idempotent_outcome))
            .await;
        end
    }

    async fn replay(&mut self, frames: &[CallFrame]) -> CallEnd {
        for frame in frames {
            if self.output.push(frame.clone()).await.is_err() {
                break;
            }
        }
        CallEnd::Complete
    }

    /// Forwards the request to the daemon that owns its token or key, and relays the answer.
    async fn forward(&mut self, link: &PeerLink) -> CallEnd {
        let call = CallId {
            request: self.id,
            attempt: u32::MAX,
        };
        let message = PeerMessage::Submit(call, Box::new(self.request.clone()));
        let Some(mut reader) = CallReader::over_link(link, call, message, RECONNECT_TIMEOUT).await
        else {
            // This call was not sent, but an earlier one with the same token may have run there.
            return CallEnd::Unknown(
                "the daemon that issued the token can't be reached".to_owned(),
            );
        };
        loop {
            match reader.next().await {
                ReadEvent::Frame(CallFrame::End(end)) => return end,
                ReadEvent::Frame(frame) => {
                    // Reads the answer to its end even if the caller has disconnected, as it may repeat the call.
                    let _ = self.output.push(frame).await;
                }
                ReadEvent::Lost(cause) => return CallEnd::Unknown(cause.to_owned()),
            }
        }
    }

    async fn run_attempts(&mut self) -> CallEnd {
        with_retry_budget(RetryBudget::earn);
        let mut call = RequestCall::new(self.id);
        let mut broken_since = None;
        let mut resume = false;
        // A later attempt that was not run does not prove the same for an earlier one that was sent.
        let mut may_have_run = false;
        loop {
            let outcome = if resume {
                self.resume_attempt(call).await
            } else {
                self.run_attempt(call).await
            };
            let (end, reason) = match outcome {
                AttemptOutcome::Final(end) => return end,
                AttemptOutcome::NotRun(unsent, reason) if is_final_refusal(&reason) => {
                    return self.end_not_run(unsent, reason, may_have_run);
                }
                AttemptOutcome::NotRun(unsent, reason) => {
                    self.not_run_since.get_or_insert_with(clock::now);
                    match self.decide_next(AttemptEnd::GivenBack, None) {
                        RetryDecision::Retry(pause) | RetryDecision::Resume(pause) => {
                            tokio::time::sleep(pause).await
                        }
                        RetryDecision::GiveUp => {
                            return self.end_not_run(unsent, reason, may_have_run);
                        }
                    }
                    self.not_run_count += 1;
                    call = unsent;
                    continue;
                }
                AttemptOutcome::Interrupted(sent, end, reason) => {
                    // The next attempt starts as unsent; `may_have_run` records that an earlier one was sent.
                    may_have_run = true;
                    call = RequestCall::new(sent.id());
                    (end, reason)
                }
            };
            let since = *broken_since.get_or_insert_with(clock::now);
            // Without a started stream there is nothing to resume.
            let end = if self.stream.is_none() && end == AttemptEnd::Broken {
                AttemptEnd::TargetFailed
            } else {
                end
            };
            match self.decide_next(end, Some(since)) {
                RetryDecision::Resume(pause) => {
                    resume = true;
                    tokio::time::sleep(pause).await;
                }
                RetryDecision::Retry(pause) => {
                    resume = false;
                    broken_since = None;
                    self.reset_stream().await;
                    tokio::time::sleep(pause).await;
                }
                RetryDecision::GiveUp => return self.give_up(&reason),
            }
            self.attempt += 1;
        }
    }

    fn decide_next(&self, end: AttemptEnd, broken_since: Option<Instant>) -> RetryDecision {
        let input = RetryInput {
            repeatability: self.request.repeatability,
            end,
            attempts: self.attempt + 1,
            not_run_count: self.not_run_count,
            not_run_since: self.not_run_since,
            answer_started: self.answer_started,
            broken_since,
            now: clock::now(),
            deadline: self.deadline,
            jitter: rand::rng().random(),
        };
        with_retry_budget(|budget| decide_retry(&RetryLimits::default(), budget, &input))
    }

    /// Discards a stream that can't be resumed, before the request runs again from the beginning.
    async fn reset_stream(&mut self) {
        self.context.metrics.count("gateway.retried");
        if let Some(location) = self.stream.take() {
            self.excluded_targets.push(location.target);
        }
        self.next_token = 0;
        if let Some(recorded) = &mut self.recorded {
            recorded.clear();
        }
    }

    /// Ends a request whose last attempt was not run: "not run" only if no earlier attempt was sent.
    fn end_not_run(
        &self,
        unsent: RequestCall<Unsent>,
        reason: NotRunReason,
        may_have_run: bool,
    ) -> CallEnd {
        if may_have_run {
            self.give_up(&format!(
                "an attempt failed, and the next was refused: {reason}"
            ))
        } else {
            CallEnd::NotRun(unsent.refuse(reason))
        }
    }

    /// Ends a request that may have run: as failed if it is repeatable, else with an unknown outcome.
    fn give_up(&self, reason: &str) -> CallEnd {
        event!(Event::AnswerIncomplete, "{}: {reason}", self.id);
        match self.request.repeatability {
            RequestRepeatability::Repeatable => CallEnd::Failed(reason.to_owned()),
            RequestRepeatability::NotRepeatable => CallEnd::Unknown(reason.to_owned()),
        }
    }

    async fn run_attempt(&mut self, call: RequestCall<Unsent>) -> AttemptOutcome {
        let (model, service) = match &self.request.work {
            CallWork::Engine(work) => (Some(work.model.clone()), None),
            CallWork::Service(work) => (None, Some(work.service.clone())),
        };
        let route_request = RouteRequest {
            model,
            service,
            target: None,
            class: self.request.class,
            output_tokens: self.request.output_tokens(),
            excluded: self.excluded_targets.clone(),
        };
        match self
            .context
            .app
            .request(|reply| AppEvent::Route(route_request, reply))
            .await
        {
            None => AttemptOutcome::NotRun(call, NotRunReason::Stopping),
            Some(Err(reason)) => {
                // An excluded target may be the only one, so the next attempt may use it again.
                self.excluded_targets.clear();
                AttemptOutcome::NotRun(call, reason)
            }
            Some(Ok(route)) => self.execute(call, route, RunMode::Run).await,
        }
    }

    async fn resume_attempt(&mut self, call: RequestCall<Unsent>) -> AttemptOutcome {
        let sent = call.mark_sent();
        let Some(location) = &self.stream else {
            return AttemptOutcome::Interrupted(
                sent,
                AttemptEnd::TargetFailed,
                "the stream never started".to_owned(),
            );
        };
        let mode = RunMode::Resume {
            stream: location.name.clone(),
            from: self.next_token,
        };
        let route_request = RouteRequest {
            model: None,
            service: None,
            target: Some(location.target.clone()),
            class: self.request.class,
            output_tokens: 0,
            excluded: Vec::new(),
        };
        match self
            .context
            .app
            .request(|reply| AppEvent::Route(route_request, reply))
            .await
        {
            Some(Ok(route)) => match self.execute(RequestCall::new(self.id), route, mode).await {
                // Only the resume was refused; the request itself may still be running.
                AttemptOutcome::NotRun(_, reason) => {
                    AttemptOutcome::Interrupted(sent, AttemptEnd::Broken, reason.to_string())
                }
                outcome => outcome,
            },
            _ => AttemptOutcome::Interrupted(
                sent,
                AttemptEnd::Broken,
                "the target has no holder that can be reached".to_owned(),
            ),
        }
    }

    async fn execute(
        &mut self,
        call: RequestCall<Unsent>,
        route: SelectedRoute,
        mode: RunMode,
    ) -> AttemptOutcome {
        let call_id = CallId {
            request: self.id,
            attempt: self.attempt + self.not_run_count,
        };
        let request = Box::new(ExecuteRequest {
            call: call_id,
            target: route.target.clone(),
            mode,
            class: self.request.class,
            caller: self.request.caller.clone(),
            deadline_ms: self.deadline.since(clock::now()).as_millis() as u64,
            work: self.request.work.clone(),
        });
        let reader = match route.via {
            RouteVia::Local => {
                let buffer = CallBuffer::new();
                self.context
                    .app
                    .notify(AppEvent::Execute(request, Arc::clone(&buffer)))
                    .await;
                CallReader::local(buffer)
            }
            RouteVia::Link(link) => {
                let message = PeerMessage::Execute(request);
                match CallReader::over_link(&link, call_id, message, RECONNECT_TIMEOUT).await {
                    Some(reader) => reader,
                    None => return AttemptOutcome::NotRun(call, NotRunReason::NotConnected),
                }
            }
        };
        self.relay_frames(call.mark_sent(), reader, route.target)
            .await
    }

    /// Relays frames until the attempt ends, the caller disconnects or the deadline passes.
    async fn relay_frames(
        &mut self,
        call: RequestCall<Sent>,
        mut reader: CallReader,
        target: TargetName,
    ) -> AttemptOutcome {
        loop {
            let remaining = self.deadline.since(clock::now());
            let event = tokio::select! {
                event = reader.next() => event,
                () = self.output.wait_abandoned(), if self.recorded.is_none() => {
                    return AttemptOutcome::Final(CallEnd::Unknown("the caller went away".to_owned()));
                }
                () = tokio::time::sleep(remaining) => {
                    return AttemptOutcome::Final(self.give_up("the deadline passed"));
                }
            };
            let frame = match event {
                ReadEvent::Frame(frame) => frame,
                ReadEvent::Lost(cause) => {
                    return AttemptOutcome::Interrupted(call, AttemptEnd::Broken, cause.to_owned());
                }
            };
            match frame {
                CallFrame::End(end) => return self.handle_attempt_end(call, end, target),
                frame => {
                    if self.forward_frame(frame).await.is_err() && self.recorded.is_none() {
                        return AttemptOutcome::Final(CallEnd::Unknown(
                            "the caller went away".to_owned(),
                        ));
                    }
                }
            }
        }
    }

    fn handle_attempt_end(
        &mut self,
        call: RequestCall<Sent>,
        end: CallEnd,
        target: TargetName,
    ) -> AttemptOutcome {
        match end {
            CallEnd::Complete => {
                drop(call.answered());
                AttemptOutcome::Final(CallEnd::Complete)
            }
            CallEnd::NotRun(proof) => match call.into_unsent(&proof) {
                Ok(unsent) => {
                    if matches!(
                        proof.reason,
                        NotRunReason::NotConnected
                            | NotRunReason::TargetRefused { .. }
                            | NotRunReason::NoTarget { .. }
                    ) {
                        self.excluded_targets.push(target);
                    }
                    AttemptOutcome::NotRun(unsent, proof.reason)
                }
                Err(call) => AttemptOutcome::Interrupted(
                    call,
                    AttemptEnd::Broken,
                    "a proof for another request came".to_owned(),
                ),
            },
            CallEnd::Failed(cause) => {
                AttemptOutcome::Interrupted(call, AttemptEnd::TargetFailed, cause)
            }
            CallEnd::Broken(cause)
                if cause.ends_with(STREAM_GONE_SUFFIX) || cause.starts_with("404") =>
            {
                // The target has discarded the stream, so it can't be resumed.
                AttemptOutcome::Interrupted(call, AttemptEnd::TargetFailed, cause)
            }
            CallEnd::Broken(cause) | CallEnd::Unknown(cause) => {
                AttemptOutcome::Interrupted(call, AttemptEnd::Broken, cause)
            }
            end @ CallEnd::Refused { .. } => AttemptOutcome::Final(end),
        }
    }

    async fn forward_frame(&mut self, frame: CallFrame) -> Result<(), PushError> {
        match &frame {
            CallFrame::Started {
                target,
                stream,
                model,
                ..
            } => {
                let is_restarted = self.stream.is_some();
                if model.is_some() {
                    self.stream = Some(StreamLocation {
                        target: target.clone(),
                        name: stream.clone(),
                    });
                }
                if is_restarted {
                    return Ok(());
                }
            }
            CallFrame::Text { offset, .. } => {
                if *offset < self.next_token {
                    return Ok(());
                }
                self.next_token = offset + 1;
                self.answer_started = true;
            }
            CallFrame::Head { .. } | CallFrame::Body(_) => self.answer_started = true,
            CallFrame::End(_) => {}
        }
        self.record_frame(&frame);
        self.output.push(frame).await
    }

    fn record_frame(&mut self, frame: &CallFrame) {
        let Some(recorded) = &mut self.recorded else {
            return;
        };
        self.recorded_bytes += match frame {
            CallFrame::Text { text, .. } => text.len(),
            CallFrame::Body(bytes) => bytes.len(),
            _ => 0,
        };
        if self.recorded_bytes <= MAX_RECORDED_BYTES {
            recorded.push(frame.clone());
        }
    }
}

/// Suffix of the cause when a target has discarded a stream.
const STREAM_GONE_SUFFIX: &str = "the target no longer has it";

/// Returns whether a refusal ends the request at once instead of leading to a retry.
fn is_final_refusal(reason: &NotRunReason) -> bool {
    match reason {
        NotRunReason::Overloaded { .. }
        | NotRunReason::QuotaUsedUp { .. }
        | NotRunReason::LoadFailed { .. }
        | NotRunReason::DeadlinePassed { .. }
        | NotRunReason::Cancelled
        | NotRunReason::KeyNotClaimed => true,
        NotRunReason::NotHolder
        | NotRunReason::Stopping
        | NotRunReason::NoTarget { .. }
        | NotRunReason::TargetRefused { .. }
        | NotRunReason::NotConnected => false,
    }
}

fn key_reused_end() -> CallEnd {
    CallEnd::Refused {
        status: 422,
        code: "key_reused".to_owned(),
        message:
            "the idempotency key was used for a different request: use a new key for each request"
                .to_owned(),
    }
}
