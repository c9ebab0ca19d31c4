//! Sends of a call to targets, and the classification of their answers.
//!
//! A send to a target that is silent ends only when another target is ready to take the call, or when the target or the
//! deadline ends it.

use crate::{
    clock,
    direct::{
        call::{AnswerProgress, AskedTarget, CallState, SilentTarget},
        fleet::FleetState,
        holder_client::PlacedCall,
        message::CallEnd,
        target_connections::{
            ConnectRule, ConnectionPool, PathRule, ReuseRule, SendError, TargetConnection,
            TargetRequest, UnsentReason,
        },
        trials::TrialPermit,
    },
    event,
    events::Event,
};
use futures_util::future::{BoxFuture, pending};
use hoplanding_core::{
    direct::{
        catalog::{TargetEntry, TargetStage},
        config::RetryPolicy,
        limits::{AdvertisedLimit, RequestRate},
        millis,
        target_notices::TargetNotice,
    },
    ids::{AvailabilityZone, TargetName, TargetRun},
};
use hoplanding_platform::message_heads::{
    AnswerKind, SendHead, classify_answer, encode_send_headers,
};
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use std::{mem, pin::pin, sync::Arc, time::Duration};
use tokio::time::{Instant, timeout};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// An answer whose head has been received and whose body is still to be read.
pub struct OpenAnswer {
    /// Status and headers.
    pub parts: http::response::Parts,
    /// What the headers say about the target itself.
    pub notice: TargetNotice,
    /// The body, unread.
    pub body: Incoming,
    /// The connection, to be returned to the pool once the answer is complete.
    pub connection: TargetConnection,
    /// The target's entry at the time of the send.
    pub entry: Arc<TargetEntry>,
    /// The call as the holder counts it; none if it was placed without the holder.
    pub placed_call: Option<PlacedCall>,
    /// The call as this VM counts it.
    pub in_flight: InFlightGuard,
}

/// Result of one send.
pub enum SendOutcome {
    /// A sealed success; its body is still to be read.
    Success(Box<OpenAnswer>),
    /// The target ran the call and reports a failure.
    Failure(Box<OpenAnswer>),
    /// The target states that it did not run the call.
    NotRun,
    /// The request was never handed to a transport.
    NotSent,
    /// Not sent, because the target stopped taking new work while the connection was made, or the request has become a
    /// suspect.
    Withheld,
    /// Not sent, because this VM stops before the call could end; the time after which its caller should retry.
    TooLate(Duration),
    /// The target may have run the call, but no usable answer came.
    Unknown,
}

/// Counts a call of this VM as in flight at a target until dropped.
#[derive(Debug)]
pub struct InFlightGuard {
    fleet: Arc<FleetState>,
    run: TargetRun,
    /// The permits, if the call is a trial of suspects.
    trials: Vec<TrialPermit>,
}

impl InFlightGuard {
    fn new(fleet: &Arc<FleetState>, entry: &TargetEntry, trials: Vec<TrialPermit>) -> Self {
        *fleet.tables().in_flight.entry(entry.run()).or_default() += 1;
        Self {
            fleet: Arc::clone(fleet),
            run: entry.run(),
            trials,
        }
    }

    /// Whether the call is a trial.
    #[must_use]
    pub fn is_trial(&self) -> bool {
        !self.trials.is_empty()
    }

    /// Records how the call ended: for its trial, and for the target's health.
    pub fn finish(mut self, end: CallEnd) {
        if end == CallEnd::Good {
            self.trials
                .iter_mut()
                .for_each(TrialPermit::mark_successful);
        }
        let TargetRun { name, life } = &self.run;
        let mut tables = self.fleet.tables();
        // The outcome of an earlier life of the target says nothing about the health of the current one.
        if let Some(outcome) = end.health()
            && tables.catalog.life(name) == *life
        {
            tables.health.record(name, outcome, clock::now());
        }
    }
}

/// Waits until this VM has lost the path to a zone; for ever where there is none to lose.
async fn wait_until_lost(pool: &ConnectionPool, zone: Option<&AvailabilityZone>) {
    match zone {
        Some(zone) => pool.wait_until_lost(zone).await,
        None => pending().await,
    }
}

/// Reports how a send ended, to its holder and for the target's health.
pub fn finish_send(placed_call: Option<PlacedCall>, in_flight: InFlightGuard, end: CallEnd) {
    in_flight.finish(end);
    if let Some(placed_call) = placed_call {
        placed_call.finish(end);
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let mut tables = self.fleet.tables();
        if let Some(count) = tables.in_flight.get_mut(&self.run) {
            *count -= 1;
            if *count == 0 {
                tables.in_flight.remove(&self.run);
            }
        }
    }
}

/// A connection to a target that has not got the call yet.
pub struct PreparedSend {
    entry: Arc<TargetEntry>,
    version: Option<u64>,
    placed_call: Option<PlacedCall>,
    in_flight: InFlightGuard,
    connection: TargetConnection,
}

impl PreparedSend {
    /// Name of the target.
    pub fn target(&self) -> &TargetName {
        &self.entry.name
    }
}

/// A send that waits for the head of its answer. Dropping it closes its connection.
pub struct PendingSend {
    entry: Arc<TargetEntry>,
    /// Zone whose path the answer needs; none if another VM forwards the bytes.
    direct_zone: Option<AvailabilityZone>,
    answer: BoxFuture<'static, AnsweredSend>,
}

impl PendingSend {
    /// Entry of the target at the time of the send.
    pub fn entry(&self) -> Arc<TargetEntry> {
        Arc::clone(&self.entry)
    }
}

/// A send whose wait for an answer is over.
struct AnsweredSend {
    entry: Arc<TargetEntry>,
    version: Option<u64>,
    /// None if the holder placed no such call, or its place was released.
    placed_call: Option<PlacedCall>,
    in_flight: InFlightGuard,
    answer: Result<(TargetConnection, Response<Incoming>), SendError>,
    /// Whether the deadline ended the wait, and not the target.
    is_overdue: bool,
}

impl CallState {
    /// Sends the call to a target and waits for the head of the answer.
    pub async fn send(
        &mut self,
        entry: &Arc<TargetEntry>,
        version: Option<u64>,
        placed_call: Option<PlacedCall>,
        last_event: Option<u64>,
    ) -> SendOutcome {
        match self.prepare_send(entry, version, placed_call).await {
            Ok(prepared) => {
                // A stream that its caller is receiving goes on for as long as this VM runs.
                if !self.has_begun_answer
                    && let Err(retry_after) = self.send_window.check()
                {
                    return SendOutcome::TooLate(retry_after);
                }
                let send = self.start_send(prepared, last_event);
                self.wait_for_answer(send, last_event).await
            }
            Err(outcome) => outcome,
        }
    }

    /// Connects to a target.
    ///
    /// # Errors
    /// Why the call can't be sent there.
    pub async fn prepare_send(
        &mut self,
        entry: &Arc<TargetEntry>,
        version: Option<u64>,
        placed_call: Option<PlacedCall>,
    ) -> Result<PreparedSend, SendOutcome> {
        // Another call may have shown since the placement that the request crashes its targets.
        if !self.untried_suspects().is_empty() {
            return Err(SendOutcome::Withheld);
        }
        let trials = mem::take(&mut self.trials);
        let in_flight = InFlightGuard::new(&self.context.fleet, entry, trials);
        let reuse = match self.route.retry_policy {
            RetryPolicy::Idempotent => ReuseRule::Any,
            RetryPolicy::AtMostOnce => ReuseRule::FreshOnly,
        };
        let rule = ConnectRule {
            reuse,
            path: PathRule::Any,
            within: CONNECT_TIMEOUT,
            lifetime: self.remaining(),
        };
        let connecting = self.context.pool.take(entry, rule);
        let connected = match timeout(self.remaining(), connecting).await {
            Ok(connected) => connected,
            Err(_) => Err(SendError::NotSent {
                target: entry.name.clone(),
                cause: "not connected before the deadline".to_owned(),
                reason: UnsentReason::Unreachable,
            }),
        };
        if connected.is_ok() && !self.can_send_to(entry) {
            return Err(SendOutcome::Withheld);
        }
        let (cause, reason) = match connected {
            Ok(connection) => {
                return Ok(PreparedSend {
                    entry: Arc::clone(entry),
                    version,
                    placed_call,
                    in_flight,
                    connection,
                });
            }
            Err(SendError::NotSent { cause, reason, .. }) => (cause, reason),
            Err(SendError::Unanswered { cause, .. }) => (cause, UnsentReason::Unreachable),
        };
        Err(self.record_unsent(entry, placed_call, in_flight, &cause, reason))
    }

    /// Hands the call to a target, which may run it from now on.
    pub fn start_send(&mut self, prepared: PreparedSend, last_event: Option<u64>) -> PendingSend {
        let PreparedSend {
            entry,
            version,
            mut placed_call,
            in_flight,
            mut connection,
        } = prepared;
        self.asked = Some(AskedTarget {
            entry: Arc::clone(&entry),
            through: connection.forwarder().cloned(),
        });
        self.runs += 1;
        let remaining = self.remaining();
        let request = self.request(&entry, version, remaining, last_event);
        let pool = Arc::clone(&self.context.pool);
        let direct_zone = connection.direct_zone().cloned();
        // A call that may run only once stays where it is. Until its answer comes, the holder must not reserve a place for
        // it: whether the target runs the call is unknown once the path is lost.
        let released_zone = direct_zone
            .clone()
            .filter(|_| self.route.retry_policy == RetryPolicy::AtMostOnce);
        let sent_entry = Arc::clone(&entry);
        let answer = async move {
            let entry = sent_entry;
            let answer = {
                let sent = timeout(remaining, pool.send(&mut connection, request));
                let mut sent = pin!(sent);
                tokio::select! {
                    answer = &mut sent => answer,
                    () = wait_until_lost(&pool, released_zone.as_ref()) => {
                        drop(placed_call.take());
                        sent.await
                    }
                }
            };
            let is_overdue = answer.is_err();
            let answer = answer.unwrap_or_else(|_| {
                Err(SendError::Unanswered {
                    target: entry.name.clone(),
                    cause: "no response head before the deadline".to_owned(),
                })
            });
            AnsweredSend {
                entry,
                version,
                placed_call,
                in_flight,
                answer: answer.map(|response| (connection, response)),
                is_overdue,
            }
        };
        PendingSend {
            entry,
            direct_zone,
            answer: Box::pin(answer),
        }
    }

    /// Waits for the head of an answer. While the path to the target's zone is lost, a call that may be repeated looks for
    /// another target.
    pub async fn wait_for_answer(
        &mut self,
        mut send: PendingSend,
        last_event: Option<u64>,
    ) -> SendOutcome {
        let pool = Arc::clone(&self.context.pool);
        let is_repeatable = self.route.retry_policy == RetryPolicy::Idempotent;
        loop {
            let zone = send.direct_zone.clone().filter(|_| is_repeatable);
            tokio::select! {
                biased;
                answered = &mut send.answer => return self.receive(answered).await,
                () = wait_until_lost(&pool, zone.as_ref()) => {}
            }
            let Some(zone) = zone else {
                continue;
            };
            let entry = Arc::clone(&send.entry);
            let silent = SilentTarget {
                entry: &entry,
                stays_until: None,
            };
            let state = self.placed_state();
            let prepared = tokio::select! {
                biased;
                answered = &mut send.answer => {
                    self.restore_placed_state(&state);
                    return self.receive(answered).await;
                }
                () = pool.wait_until_restored(&zone) => {
                    self.restore_placed_state(&state);
                    continue;
                }
                prepared = self.find_other_target(silent) => prepared,
            };
            event!(Event::NoAnswer, request = self.head.id; "at {}: the path to zone {zone} is lost; sent to {} instead",
                entry.name,
                prepared.target()
            );
            drop(send);
            self.tried.push(entry.name.clone());
            send = self.start_send(prepared, last_event);
        }
    }

    /// Records that the call did not reach a target.
    fn record_unsent(
        &mut self,
        entry: &TargetEntry,
        placed_call: Option<PlacedCall>,
        in_flight: InFlightGuard,
        cause: &str,
        reason: UnsentReason,
    ) -> SendOutcome {
        event!(Event::TargetConnectFailed, request = self.head.id; "at {}: {cause}", entry.name);
        self.unreached += 1;
        self.tried.push(entry.name.clone());
        match reason {
            // Dropping both guards reports no outcome, as the target is not the cause.
            UnsentReason::PathLost => self.closed_zones.push(entry.zone.clone()),
            UnsentReason::Refused | UnsentReason::Unreachable => {
                finish_send(placed_call, in_flight, CallEnd::Unreached);
            }
        }
        SendOutcome::NotSent
    }

    /// Classifies the answer of a send, and reports the outcome to the holder unless a body is left to read.
    async fn receive(&mut self, answered: AnsweredSend) -> SendOutcome {
        let AnsweredSend {
            entry,
            version,
            placed_call,
            in_flight,
            answer,
            is_overdue,
        } = answered;
        let (connection, response) = match answer {
            Ok(answer) => answer,
            Err(SendError::NotSent { cause, reason, .. }) => {
                self.runs -= 1;
                return self.record_unsent(&entry, placed_call, in_flight, &cause, reason);
            }
            Err(SendError::Unanswered { target, cause }) => {
                event!(Event::NoAnswer, request = self.head.id; "at {target}: {cause}");
                let is_trial = in_flight.is_trial();
                // A target that is only late has shown no end, and a probe would delay the answer to the caller.
                if is_trial || !is_overdue {
                    self.probe_after_failure(&entry, is_trial, AnswerProgress::Begun)
                        .await;
                }
                finish_send(placed_call, in_flight, CallEnd::Failed);
                self.tried.push(target);
                return SendOutcome::Unknown;
            }
        };
        let kind = classify_answer(&self.head.id, response.status(), response.headers());
        let notice = match kind {
            // The answer of another target, or to another request, says nothing about this target.
            AnswerKind::Invalid | AnswerKind::Misdirected => TargetNotice::default(),
            AnswerKind::Success | AnswerKind::Failure | AnswerKind::NotRun => {
                let fleet = &self.context.fleet;
                let notice =
                    fleet.apply_target_notice(&entry.run(), response.status(), response.headers());
                self.record_limits(&entry, &notice);
                notice
            }
        };
        if matches!(kind, AnswerKind::Success | AnswerKind::Failure) {
            self.context
                .fleet
                .tables()
                .backoffs
                .record_answer(&entry.run());
            self.context.fleet.record_admission(&entry.run(), true);
        }
        let (parts, body) = response.into_parts();
        let open_answer = |placed_call, in_flight| {
            Box::new(OpenAnswer {
                parts: parts.clone(),
                notice,
                body,
                connection,
                entry: Arc::clone(&entry),
                placed_call,
                in_flight,
            })
        };
        match kind {
            AnswerKind::Success => {
                self.last_data_at = Some(Instant::now());
                SendOutcome::Success(open_answer(placed_call, in_flight))
            }
            AnswerKind::Failure => {
                self.tried.push(entry.name.clone());
                SendOutcome::Failure(open_answer(placed_call, in_flight))
            }
            AnswerKind::Misdirected | AnswerKind::NotRun => {
                event!(Event::RequestTurnedAway, request = self.head.id; "at {}: {kind:?} {} for {} version {version:?}",
                    entry.name,
                    parts.status,
                    self.subject()
                );
                let is_absent = kind == AnswerKind::Misdirected;
                if !is_absent {
                    self.context.fleet.record_admission(&entry.run(), false);
                }
                let outcome = if is_absent {
                    CallEnd::Absent
                } else {
                    CallEnd::Shed {
                        backoff_ms: notice.backoff.map_or(0, millis),
                    }
                };
                finish_send(placed_call, in_flight, outcome);
                self.runs -= 1;
                self.rejected += 1;
                // An adapter that is still being loaded arrives soon, so the holder may choose the same target again.
                if !is_absent {
                    self.tried.push(entry.name.clone());
                }
                SendOutcome::NotRun
            }
            AnswerKind::Invalid => {
                event!(Event::MismatchedAnswer, request = self.head.id; "at {}: status {}",
                    entry.name,
                    parts.status
                );
                self.context.pool.close(entry.address);
                finish_send(placed_call, in_flight, CallEnd::Failed);
                self.tried.push(entry.name.clone());
                SendOutcome::Unknown
            }
        }
    }

    fn request(
        &self,
        entry: &TargetEntry,
        version: Option<u64>,
        remaining: Duration,
        last_event: Option<u64>,
    ) -> TargetRequest {
        let send = SendHead {
            target: &entry.name,
            remaining,
            priority: self.service.engine.as_ref().map(|_| self.rank),
            version,
            last_event_id: last_event,
            fetch: self.fetch_source,
            identity: &self.identity,
        };
        if entry.zone != self.context.fleet.zone {
            let metrics = &self.context.fleet.metrics;
            metrics.count_remote_bytes(self.body.len() as u64);
        }
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = encode_send_headers(&self.headers, &send);
        request
    }
}

impl CallState {
    /// Whether a target still takes new work from this VM, which may have changed while a connection to it was made.
    fn can_send_to(&self, entry: &TargetEntry) -> bool {
        let mut tables = self.context.fleet.tables();
        let known = tables.catalog.get(&entry.name);
        known.is_some_and(|known| known.stage == TargetStage::Ready)
            && tables.backoffs.try_admit(&entry.run(), clock::now())
    }

    /// Records the limits that an answer states for its target, and tells the holders if they need to know.
    fn record_limits(&self, entry: &TargetEntry, notice: &TargetNotice) {
        let limit = AdvertisedLimit {
            run: entry.run(),
            rate: notice.rate_limit,
            max_rejections_per_s: notice.max_rejections_per_s,
        };
        let is_change = {
            let mut tables = self.context.fleet.tables();
            let in_flight = tables.calls_in_flight(&limit.run);
            tables.limits.record(&limit, in_flight, clock::now())
        };
        if is_change {
            let rate = limit.rate.map(RequestRate::as_f64);
            event!(Event::LimitNamed, request = self.head.id; "{}: {rate:?} requests per second, {:?} rejections per second", entry.name, limit.max_rejections_per_s);
        }
        if limit.is_limit() || self.is_limited {
            self.context.holder_client.report_limit(&limit);
        }
    }

    /// Returns a connection to the pool, unless the target announced that it closes it.
    pub fn return_connection(&self, connection: TargetConnection, notice: &TargetNotice) {
        if notice.is_closing {
            return;
        }
        let vms = self.context.fleet.tables().vms.len();
        let share = self.service.max_idle_connections(vms);
        let pool = &self.context.pool;
        pool.put_back(connection, notice.idle_timeout, share);
    }
}
