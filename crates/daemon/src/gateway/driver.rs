//! One request from its admission to its end: tokens and keys, attempts, resumes.
//!
//! The driver decides nothing by itself that the core can decide: the typestate says what the request may become, and
//! [`decide_retry`] what comes next.

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

/// Bytes of an answer that are kept for a repeated call.
const KEPT_BYTES: usize = 64 * 1024;
/// Time for a broken link to come back before the holder is taken for lost.
const LINK_PATIENCE: Duration = Duration::from_millis(1500);
/// Retries that a daemon may make at once.
const BUDGET_MOST: f64 = 64.0;
/// Retries that each request pays for.
const BUDGET_EARNED: f64 = 0.1;

static BUDGET: Mutex<Option<RetryBudget>> = Mutex::new(None);

fn with_budget<T>(act: impl FnOnce(&mut RetryBudget) -> T) -> T {
    let mut budget = BUDGET.lock().expect("no holder of the lock panics");
    act(budget.get_or_insert_with(|| RetryBudget::new(BUDGET_MOST, BUDGET_EARNED)))
}

/// What a driver works with.
#[derive(Clone)]
pub struct DriverContext {
    app: AppHandle,
    metrics: DaemonMetrics,
}

impl DriverContext {
    /// A context that asks the loop behind `events`.
    #[must_use]
    pub fn new(events: mpsc::Sender<AppEvent>, metrics: DaemonMetrics) -> Self {
        Self {
            app: AppHandle::new(events),
            metrics,
        }
    }
}

/// Drives one request.
pub struct CallDriver {
    context: DriverContext,
    id: RequestId,
    request: SubmitRequest,
    out: Arc<CallBuffer>,
    deadline: Instant,
    attempt: u32,
    given_back: u32,
    given_back_since: Option<Instant>,
    avoid: Vec<TargetName>,
    /// Frames kept for a repeated call, if the request carries a token or key.
    kept: Option<Vec<CallFrame>>,
    kept_bytes: usize,
    started: Option<StartedStream>,
    next_token: u64,
    answer_started: bool,
}

/// Where a stream runs.
struct StartedStream {
    target: TargetName,
    stream: String,
}

/// How one attempt ended.
enum AttemptOutcome {
    Over(CallEnd),
    Again(RequestCall<Sent>, AttemptEnd, String),
    GivenBack(RequestCall<Unsent>, NotRunReason),
}

impl CallDriver {
    /// A driver that writes the answer's frames to `out`.
    #[must_use]
    pub fn new(
        context: DriverContext,
        id: RequestId,
        request: SubmitRequest,
        out: Arc<CallBuffer>,
    ) -> Self {
        let deadline = clock::now().after(Duration::from_millis(request.deadline_ms));
        Self {
            context,
            id,
            request,
            out,
            deadline,
            attempt: 0,
            given_back: 0,
            given_back_since: None,
            avoid: Vec::new(),
            kept: None,
            kept_bytes: 0,
            started: None,
            next_token: 0,
            answer_started: false,
        }
    }

    /// Drives the request to its end.
    pub async fn run(mut self) {
        let end = match self.request.idempotency.clone() {
            None => self.run_once().await,
            Some(text) => self.run_repeatable_key(&text).await,
        };
        if let CallEnd::Unknown(cause) = &end {
            event!(Event::OutcomeUnknown, "{}: {cause}", self.id);
            self.context.metrics.count("gateway.outcome_unknown");
        }
        self.out.end(end);
    }

    async fn run_repeatable_key(&mut self, text: &str) -> CallEnd {
        let fingerprint = self.request.fingerprint();
        let key = match IdempotencyToken::parse(text) {
            Some(token) => DedupKey::Token(token),
            None => {
                let key = KeyHash::of(&self.request.caller, text);
                let claimed = self
                    .context
                    .app
                    .request(|reply| AppEvent::ClaimKey(key, fingerprint, reply))
                    .await;
                match claimed {
                    Some(KeyClaimResult::Won) => DedupKey::Key(key),
                    Some(KeyClaimResult::Forward(link)) => return self.forward(&link).await,
                    Some(KeyClaimResult::HolderGone(daemon)) => {
                        return CallEnd::Unknown(format!(
                            "{daemon}, which ran the request with this key, can't be reached"
                        ));
                    }
                    Some(KeyClaimResult::KeyReused) => return other_request(),
                    Some(KeyClaimResult::NotClaimed) | None => {
                        return self.refuse(NotRunReason::KeyNotClaimed);
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
            None => self.refuse(NotRunReason::Stopping),
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

    fn refuse(&self, reason: NotRunReason) -> CallEnd {
        CallEnd::NotRun(RequestCall::new(self.id).refuse(reason))
    }

    async fn run_recorded(&mut self, key: DedupKey) -> CallEnd {
        self.kept = Some(Vec::new());
        let end = self.run_once().await;
        let use_end = match (&end, self.kept.take()) {
            (CallEnd::NotRun(_), _) => IdempotentOutcome::NotRun,
            (CallEnd::Complete, Some(frames)) => IdempotentOutcome::Answered(Arc::new(frames)),
            _ => IdempotentOutcome::AnswerLost,
        };
        self.context
            .app
            .notify(AppEvent::EndIdempotent(key, use_end))
            .await;
        end
    }

    async fn replay(&mut self, frames: &[CallFrame]) -> CallEnd {
        for frame in frames {
            if self.out.push(frame.clone()).await.is_err() {
                break;
            }
        }
        CallEnd::Complete
    }

    /// Lets the daemon that may run the request do so, and passes its answer on.
    async fn forward(&mut self, link: &PeerLink) -> CallEnd {
        let call = CallId {
            request: self.id,
            attempt: u32::MAX,
        };
        let message = PeerMessage::Submit(call, Box::new(self.request.clone()));
        let Some(mut reader) = CallReader::over_link(link, call, message, LINK_PATIENCE).await
        else {
            // Nothing was sent, but an earlier call with the same token may have run there.
            return CallEnd::Unknown(
                "the daemon that issued the token can't be reached".to_owned(),
            );
        };
        loop {
            match reader.next().await {
                ReadEvent::Frame(CallFrame::End(end)) => return end,
                ReadEvent::Frame(frame) => {
                    // The answer is taken to its end even if the caller has gone: it may ask again.
                    let _ = self.out.push(frame).await;
                }
                ReadEvent::Lost(cause) => return CallEnd::Unknown(cause.to_owned()),
            }
        }
    }

    async fn run_once(&mut self) -> CallEnd {
        with_budget(RetryBudget::earn);
        let mut call = RequestCall::new(self.id);
        let mut broken_since = None;
        let mut resume = false;
        // A later attempt that is given back says nothing about an earlier one that was handed over.
        let mut may_have_run = false;
        loop {
            let outcome = if resume {
                self.resume_attempt(call).await
            } else {
                self.run_attempt(call).await
            };
            let (end, reason) = match outcome {
                AttemptOutcome::Over(end) => return end,
                AttemptOutcome::GivenBack(unsent, reason) if is_final(&reason) => {
                    return self.end_given_back(unsent, reason, may_have_run);
                }
                AttemptOutcome::GivenBack(unsent, reason) => {
                    self.given_back_since.get_or_insert_with(clock::now);
                    match self.decide(AttemptEnd::GivenBack, None) {
                        RetryDecision::Retry(pause) | RetryDecision::Resume(pause) => {
                            tokio::time::sleep(pause).await
                        }
                        RetryDecision::GiveUp => {
                            return self.end_given_back(unsent, reason, may_have_run);
                        }
                    }
                    self.given_back += 1;
                    call = unsent;
                    continue;
                }
                AttemptOutcome::Again(handed, end, reason) => {
                    // The next attempt is unsent again; that an earlier one was not stays on record.
                    may_have_run = true;
                    call = RequestCall::new(handed.id());
                    (end, reason)
                }
            };
            let since = *broken_since.get_or_insert_with(clock::now);
            let end = if self.started.is_none() && end == AttemptEnd::Broken {
                AttemptEnd::TargetFailed
            } else {
                end
            };
            match self.decide(end, Some(since)) {
                RetryDecision::Resume(pause) => {
                    resume = true;
                    tokio::time::sleep(pause).await;
                }
                RetryDecision::Retry(pause) => {
                    resume = false;
                    broken_since = None;
                    self.restart().await;
                    tokio::time::sleep(pause).await;
                }
                RetryDecision::GiveUp => return self.give_up(&reason),
            }
            self.attempt += 1;
        }
    }

    fn decide(&self, end: AttemptEnd, broken_since: Option<Instant>) -> RetryDecision {
        let input = RetryInput {
            rule: self.request.rule,
            end,
            attempts: self.attempt + 1,
            given_back: self.given_back,
            given_back_since: self.given_back_since,
            answer_started: self.answer_started,
            broken_since,
            now: clock::now(),
            deadline: self.deadline,
            jitter: rand::rng().random(),
        };
        with_budget(|budget| decide_retry(&RetryLimits::default(), budget, &input))
    }

    /// Forgets a stream that can't be resumed, before the request is run again from its beginning.
    async fn restart(&mut self) {
        self.context.metrics.count("gateway.retried");
        if let Some(started) = self.started.take() {
            self.avoid.push(started.target);
        }
        self.next_token = 0;
        if let Some(kept) = &mut self.kept {
            kept.clear();
        }
    }

    /// Ends a request whose last attempt was given back unsent: "not run" only if no earlier one was handed over.
    fn end_given_back(
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

    fn give_up(&self, reason: &str) -> CallEnd {
        event!(Event::AnswerIncomplete, "{}: {reason}", self.id);
        match self.request.rule {
            RequestRepeatability::Repeatable => CallEnd::Failed(reason.to_owned()),
            RequestRepeatability::NotRepeatable => CallEnd::Unknown(reason.to_owned()),
        }
    }

    async fn run_attempt(&mut self, call: RequestCall<Unsent>) -> AttemptOutcome {
        let (model, service) = match &self.request.work {
            CallWork::Engine(work) => (Some(work.model.clone()), None),
            CallWork::Service(work) => (None, Some(work.service.clone())),
        };
        let route = RouteRequest {
            model,
            service,
            target: None,
            class: self.request.class,
            output_tokens: self.request.output_tokens(),
            avoid: self.avoid.clone(),
        };
        match self
            .context
            .app
            .request(|reply| AppEvent::Route(route, reply))
            .await
        {
            None => AttemptOutcome::GivenBack(call, NotRunReason::Stopping),
            Some(Err(reason)) => {
                // A target that was tried in vain may be the only one; the next try may use it again.
                self.avoid.clear();
                AttemptOutcome::GivenBack(call, reason)
            }
            Some(Ok(answer)) => self.execute(call, answer, RunMode::Run).await,
        }
    }

    async fn resume_attempt(&mut self, call: RequestCall<Unsent>) -> AttemptOutcome {
        let handed = call.mark_sent();
        let Some(started) = &self.started else {
            return AttemptOutcome::Again(
                handed,
                AttemptEnd::TargetFailed,
                "the stream never started".to_owned(),
            );
        };
        let mode = RunMode::Resume {
            stream: started.stream.clone(),
            from: self.next_token,
        };
        let route = RouteRequest {
            model: None,
            service: None,
            target: Some(started.target.clone()),
            class: self.request.class,
            output_tokens: 0,
            avoid: Vec::new(),
        };
        match self
            .context
            .app
            .request(|reply| AppEvent::Route(route, reply))
            .await
        {
            Some(Ok(answer)) => match self.execute(RequestCall::new(self.id), answer, mode).await {
                // Only the resume was given back: the request itself may still be running.
                AttemptOutcome::GivenBack(_, reason) => {
                    AttemptOutcome::Again(handed, AttemptEnd::Broken, reason.to_string())
                }
                outcome => outcome,
            },
            _ => AttemptOutcome::Again(
                handed,
                AttemptEnd::Broken,
                "the target has no holder that can be reached".to_owned(),
            ),
        }
    }

    async fn execute(
        &mut self,
        call: RequestCall<Unsent>,
        answer: SelectedRoute,
        mode: RunMode,
    ) -> AttemptOutcome {
        let call_id = CallId {
            request: self.id,
            attempt: self.attempt + self.given_back,
        };
        let request = Box::new(ExecuteRequest {
            call: call_id,
            target: answer.target.clone(),
            mode,
            class: self.request.class,
            caller: self.request.caller.clone(),
            deadline_ms: self.deadline.since(clock::now()).as_millis() as u64,
            work: self.request.work.clone(),
        });
        let reader = match answer.via {
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
                match CallReader::over_link(&link, call_id, message, LINK_PATIENCE).await {
                    Some(reader) => reader,
                    None => return AttemptOutcome::GivenBack(call, NotRunReason::NotConnected),
                }
            }
        };
        self.relay(call.mark_sent(), reader, answer.target).await
    }

    /// Passes frames on until the attempt ends.
    async fn relay(
        &mut self,
        call: RequestCall<Sent>,
        mut reader: CallReader,
        target: TargetName,
    ) -> AttemptOutcome {
        loop {
            let left = self.deadline.since(clock::now());
            let event = tokio::select! {
                event = reader.next() => event,
                () = self.out.abandoned(), if self.kept.is_none() => {
                    return AttemptOutcome::Over(CallEnd::Unknown("the caller went away".to_owned()));
                }
                () = tokio::time::sleep(left) => {
                    return AttemptOutcome::Over(self.give_up("the deadline passed"));
                }
            };
            let frame = match event {
                ReadEvent::Frame(frame) => frame,
                ReadEvent::Lost(cause) => {
                    return AttemptOutcome::Again(call, AttemptEnd::Broken, cause.to_owned());
                }
            };
            match frame {
                CallFrame::End(end) => return self.attempt_ended(call, end, target),
                frame => {
                    if self.pass(frame).await.is_err() && self.kept.is_none() {
                        return AttemptOutcome::Over(CallEnd::Unknown(
                            "the caller went away".to_owned(),
                        ));
                    }
                }
            }
        }
    }

    fn attempt_ended(
        &mut self,
        call: RequestCall<Sent>,
        end: CallEnd,
        target: TargetName,
    ) -> AttemptOutcome {
        match end {
            CallEnd::Complete => {
                drop(call.answered());
                AttemptOutcome::Over(CallEnd::Complete)
            }
            CallEnd::NotRun(proof) => match call.given_back(&proof) {
                Ok(unsent) => {
                    if matches!(
                        proof.reason,
                        NotRunReason::NotConnected
                            | NotRunReason::TargetRefused { .. }
                            | NotRunReason::NoTarget { .. }
                    ) {
                        self.avoid.push(target);
                    }
                    AttemptOutcome::GivenBack(unsent, proof.reason)
                }
                Err(call) => AttemptOutcome::Again(
                    call,
                    AttemptEnd::Broken,
                    "a proof for another request came".to_owned(),
                ),
            },
            CallEnd::Failed(cause) => AttemptOutcome::Again(call, AttemptEnd::TargetFailed, cause),
            CallEnd::Broken(cause)
                if cause.ends_with(NO_LONGER_THERE) || cause.starts_with("404") =>
            {
                // Nothing is left to resume.
                AttemptOutcome::Again(call, AttemptEnd::TargetFailed, cause)
            }
            CallEnd::Broken(cause) | CallEnd::Unknown(cause) => {
                AttemptOutcome::Again(call, AttemptEnd::Broken, cause)
            }
            end @ CallEnd::Refused { .. } => AttemptOutcome::Over(end),
        }
    }

    async fn pass(&mut self, frame: CallFrame) -> Result<(), PushError> {
        match &frame {
            CallFrame::Started {
                target,
                stream,
                model,
                ..
            } => {
                let again = self.started.is_some();
                if model.is_some() {
                    self.started = Some(StartedStream {
                        target: target.clone(),
                        stream: stream.clone(),
                    });
                }
                if again {
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
        self.keep(&frame);
        self.out.push(frame).await
    }

    fn keep(&mut self, frame: &CallFrame) {
        let Some(kept) = &mut self.kept else {
            return;
        };
        self.kept_bytes += match frame {
            CallFrame::Text { text, .. } => text.len(),
            CallFrame::Body(bytes) => bytes.len(),
            _ => 0,
        };
        if self.kept_bytes <= KEPT_BYTES {
            kept.push(frame.clone());
        }
    }
}

/// End of the cause when a target no longer has a stream.
const NO_LONGER_THERE: &str = "the target no longer has it";

/// Whether a refusal is the request's final answer, to be given at once.
fn is_final(reason: &NotRunReason) -> bool {
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

fn other_request() -> CallEnd {
    CallEnd::Refused {
        status: 422,
        code: "key_reused".to_owned(),
        message:
            "the idempotency key was used for a different request: use a new key for each request"
                .to_owned(),
    }
}
