//! A caller's request, from its head to its answer.
//!
//! A call is admitted, charged to its organisation's quota, placed at a target and sent; it is sent again while its route and
//! the retry budget allow that. A call that no target ran ends with a 503 and `Retry-After`, which guarantees to the caller
//! that it was not executed. A call that may have run never ends that way.
//!
//! | module | job |
//! |---|---|
//! | `admission` | resolves the caller's identity, and checks it again before each send |
//! | `quota_charge` | charges the organisation's quota, and refunds it |
//! | `placement` | chooses the target of the next send |
//! | `zone_preference` | what the choice of a zone weighs, and what leaves this VM's zone |
//! | `sending` | sends once, and classifies the answer |
//! | `stream_origin` | finds the software version that began a stream which the call takes up |
//! | `suspicion` | which trials the call needs, and what its answer shows about the parts of its prompt |
//! | `takeover` | finds another target for a call that waits for a silent one |
//! | `target_probe` | finds out whether a target crashed while it ran the call |
//! | `answers` | builds the answers to callers |
//! | `answer_end` | logs and counts answers that end without their end |
//! | `timeline` | records the times of a stream's steps |
//! | `stop_plan` | how long a call may still be sent during a planned stop |

mod admission;
mod answer_end;
mod answers;
mod placement;
mod quota_charge;
mod sending;
mod stop_plan;
mod stream_origin;
mod suspicion;
mod takeover;
mod target_probe;
mod timeline;
mod zone_preference;

pub use admission::AdmissionFault;
pub use answer_end::{AnswerEnder, UnfinishedAnswer};
pub use answers::{AnswerBody, BrokenAnswer, full, own_answer};
pub use placement::CallPlacement;
pub use quota_charge::CallCharge;
pub use sending::{InFlightGuard, OpenAnswer, PendingSend, PreparedSend, SendOutcome, finish_send};
pub use stop_plan::{SendWindow, StopPlan};
pub use takeover::SilentTarget;
pub use target_probe::AnswerProgress;
pub use timeline::CallTimeline;

use crate::{
    clock,
    direct::{
        buffered_answer::buffer_answer,
        call::{
            admission::admit,
            answers::{passed_answer, refusal},
            target_probe::request_fingerprint,
        },
        error_chain::ErrorChain,
        event_relay::relay_events,
        fleet::{ActiveConfig, FleetState},
        holder_client::HolderClient,
        metrics::{RequestKind, RequestOutcome},
        overload_control::OverloadControl,
        settings::DirectSettings,
        suspect_records::SuspectRecorder,
        target_connections::ConnectionPool,
        trials::TrialPermit,
    },
    event,
    events::Event,
};
use bytes::Bytes;
use hoplanding_core::{
    direct::{
        catalog::TargetEntry,
        config::{ResponseShape, RetryPolicy, RouteRule, ServiceRule},
        organisations::CallerIdentity,
        planner::RefusalCause,
        suspects::RequestFingerprint,
    },
    ids::{self, AvailabilityZone, SoftwareVersion, TargetName, VmName},
};
use hoplanding_platform::message_heads::{CallHead, decode_call_head, promises_no_run};
use http::{HeaderMap, Method, Request, Response, StatusCode, Uri};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use siphasher::sip::SipHasher13;
use std::{
    collections::BTreeSet,
    hash::{Hash, Hasher},
    net::SocketAddr,
    sync::{Arc, OnceLock},
    time::Duration,
};
use tokio::time::{Instant, timeout, timeout_at};

/// Sends that targets may reject without running the call before it is given up.
const MAX_REJECTED_SENDS: u32 = 2;
/// Targets that may be unreachable before a call is given up.
const MAX_UNREACHED_TARGETS: u32 = 3;
/// Remaining time below which a call is not sent again.
const MIN_RETRY_TIME: Duration = Duration::from_millis(5);
/// `Retry-After` of refusals where no better estimate is known.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(400);

/// State that all calls of this VM share.
#[derive(Debug)]
pub struct GatewayContext {
    /// State of the fleet as known to this VM.
    pub fleet: Arc<FleetState>,
    /// Client of the zones' holders.
    pub holder_client: Arc<HolderClient>,
    /// Limit on what this VM takes while it is overloaded.
    pub overload: OverloadControl,
    /// Idle connections to targets.
    pub pool: Arc<ConnectionPool>,
    /// Writer of the suspects' records in the platform's log.
    pub records: SuspectRecorder,
    /// The daemon's settings.
    pub settings: Arc<DirectSettings>,
    /// Schedule of the planned stop, once the stop has begun.
    pub stop: Arc<OnceLock<StopPlan>>,
}

/// A target to which a call was sent.
#[derive(Clone, Debug)]
pub struct AskedTarget {
    /// Its entry at the time of the send.
    pub entry: Arc<TargetEntry>,
    /// The VM that forwards the bytes of the connection, if another one does.
    pub through: Option<VmName>,
}

/// A call under way.
pub struct CallState {
    /// State shared by all calls.
    pub context: Arc<GatewayContext>,
    /// The route that matched host and path.
    pub route: Arc<RouteRule>,
    /// The caller's identity.
    pub identity: CallerIdentity,
    /// Priority rank; 0 is the most urgent.
    pub rank: u8,
    /// State of the call's quota charge.
    pub quota_charge: CallCharge,
    /// Hash of the request's content, the same for every retry of the request.
    pub fingerprint: RequestFingerprint,
    /// Permissions to send the call once although its request, or parts of its prompt, are suspects.
    pub trials: Vec<TrialPermit>,
    /// The service chosen by its route.
    pub service: ServiceRule,
    /// Peer address of the caller's connection.
    pub caller: SocketAddr,
    /// Decoded headers of the system's own.
    pub head: CallHead,
    /// Time of arrival.
    pub arrived: Instant,
    /// Times of the call's steps, for the log.
    pub timeline: CallTimeline,
    /// Time by which the call must be answered.
    pub deadline: Instant,
    /// The deadline by the daemon's clock, which continues while the VM is suspended.
    pub due: ids::Instant,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
    /// Whether the zone's holder knows of a rate limit at the chosen target.
    pub is_limited: bool,
    /// Software version that began the call's stream; the call goes to targets of no other version.
    pub software: Option<SoftwareVersion>,
    /// Software versions at which a stream must not begin yet, as of the last placement.
    pub held_versions: BTreeSet<SoftwareVersion>,
    /// Targets to which the call is not sent again.
    pub tried: Vec<TargetName>,
    /// Address of the engine from which the chosen engine fetches cached parts of the prompt.
    pub fetch_source: Option<SocketAddr>,
    /// The target to which the call was sent last, unless it is being placed.
    pub asked: Option<AskedTarget>,
    /// When a target last sent the head of a success, or data of a stream.
    pub last_data_at: Option<Instant>,
    /// Id of the last event that was relayed.
    pub last_event: Option<u64>,
    /// Whether the caller has the head of its answer.
    pub has_begun_answer: bool,
    /// Whether the call's outcome has been counted.
    is_counted: bool,
    /// Number of sends that may have run.
    pub runs: u32,
    /// Zones that refused the call in the last placement, and why.
    pub refusals: Vec<(AvailabilityZone, RefusalCause)>,
    /// Zones whose holder chose a target of another service in the last placement.
    pub foreign_zones: Vec<AvailabilityZone>,
    /// Number of sends that targets rejected without running them.
    pub rejected: u32,
    /// Number of targets that could not be reached.
    pub unreached: u32,
    /// Zones to whose targets neither this VM nor another one made a connection for the call.
    pub closed_zones: Vec<AvailabilityZone>,
    /// How long the call may still be sent during a planned stop.
    send_window: SendWindow,
}

/// Answers a caller's request; `caller` is the peer address of its connection.
///
/// # Errors
/// If the caller's request ended before its body was complete; its connection is closed.
pub async fn answer_call(
    context: Arc<GatewayContext>,
    caller: SocketAddr,
    request: Request<Incoming>,
) -> Result<Response<AnswerBody>, BrokenAnswer> {
    let arrived = Instant::now();
    let arrived_at = clock::now();
    let head = decode_call_head(request.headers());
    let Some(active) = context.fleet.active() else {
        event!(Event::CallRefused, request = head.id; "no configuration yet");
        count(&context, RequestKind::Unrouted, RequestOutcome::Refused);
        return Ok(refusal(&head.id, DEFAULT_RETRY_AFTER));
    };
    let host = request
        .headers()
        .get(http::header::HOST)
        .and_then(|host| host.to_str().ok())
        .or_else(|| request.uri().host())
        .unwrap_or_default();
    let Some(route) = active.routes.find(host, request.uri().path()).cloned() else {
        event!(Event::NoRoute, request = head.id; "{host}{} in version {}",
            request.uri().path(),
            active.config.version
        );
        count(&context, RequestKind::Unrouted, RequestOutcome::Refused);
        return Ok(own_answer(&head.id, StatusCode::NOT_FOUND, None));
    };
    if let Err(retry_after) = context.overload.admit_request() {
        count(&context, RequestKind::of(&route), RequestOutcome::Refused);
        return Ok(refusal(&head.id, retry_after));
    }
    let identity = match admit(&context, &active, &route, &head) {
        Ok(identity) => identity,
        Err(fault) => return Ok(fault.answer(&context, &route, &head.id)),
    };
    let time_limit = head.deadline.unwrap_or(route.timeout).min(route.timeout);
    let due = arrived_at.after(time_limit);
    let send_window = SendWindow::new(&context.fleet, &context.stop, &route, &head, due);
    if let Err(retry_after) = send_window.check() {
        return Ok(refuse_in_stop(&context, &route, &head.id, retry_after));
    }
    let (parts, body) = request.into_parts();
    let limit = active.config.limits.max_body_bytes;
    let body_timeout = route.timeout.max(active.config.limits.header_timeout);
    let body = match timeout(body_timeout, Limited::new(body, limit).collect()).await {
        Err(_) => {
            return Ok(own_answer(&head.id, StatusCode::REQUEST_TIMEOUT, None));
        }
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            return Ok(own_answer(&head.id, StatusCode::PAYLOAD_TOO_LARGE, None));
        }
        Ok(Err(error)) => {
            let cause = ErrorChain(error.as_ref()).to_string();
            let unfinished = UnfinishedAnswer {
                ender: AnswerEnder::Caller,
                target: None,
                through: None,
                cause: &format!("before the end of its request, {cause}"),
                last_event: None,
                data_age: None,
                held: arrived.elapsed(),
                caller,
            };
            event!(Event::CallerLeft, request = head.id; "{unfinished}");
            let kind = RequestKind::of(&route);
            count(&context, kind, RequestOutcome::CallerLeft);
            return Err(BrokenAnswer(cause));
        }
        Ok(Ok(body)) => body.to_bytes(),
    };
    // A stop may have begun, or come near its end, since the head was read.
    if let Err(retry_after) = send_window.check() {
        return Ok(refuse_in_stop(&context, &route, &head.id, retry_after));
    }
    let Some(service) = find_service(&active, &route, &head) else {
        event!(Event::CallRefused, request = head.id; "route {} names no known service",
            route.name
        );
        return Ok(refusal(&head.id, DEFAULT_RETRY_AFTER));
    };
    {
        let now = clock::now();
        let mut tables = context.fleet.tables();
        tables.retries.record_request(&service.name, now);
        if let (Some(subject), true) = (&head.subject, service.engine.is_some()) {
            tables.demand.record(subject, now);
        }
    }
    if let (ResponseShape::EventStream { resumable: true }, Some(last)) =
        (route.response_shape, head.last_event_id)
    {
        event!(Event::StreamTakenUp, request = head.id; "route {} after event {last}, begun by attempt {:?}",
            route.name,
            head.resumes
        );
    }
    let fingerprint = request_fingerprint(&parts.method, &parts.uri, &head, &body);
    // The ranks of a quota order the calls of one service. Calls of plain services are charged a fraction of what a call to an
    // engine is, and behind all of these they would be refused for hardly any units.
    let charge_rank = service.engine.as_ref().map_or(0, |_| route.priority);
    let mut quota_charge = CallCharge::of(&identity, &head, charge_rank);
    if context.settings.returns.is_some() {
        quota_charge.set_fingerprint(fingerprint);
    }
    let call = CallState {
        context,
        rank: identity.rank(&route),
        identity,
        quota_charge,
        fingerprint,
        trials: Vec::new(),
        service,
        caller,
        head,
        arrived,
        timeline: CallTimeline::new(arrived),
        deadline: arrived + time_limit,
        due,
        method: parts.method,
        uri: parts.uri,
        headers: parts.headers,
        body,
        is_limited: false,
        software: None,
        held_versions: BTreeSet::new(),
        tried: Vec::new(),
        fetch_source: None,
        asked: None,
        last_data_at: None,
        last_event: None,
        has_begun_answer: false,
        is_counted: false,
        runs: 0,
        refusals: Vec::new(),
        foreign_zones: Vec::new(),
        rejected: 0,
        unreached: 0,
        closed_zones: Vec::new(),
        send_window,
        route,
    };
    Ok(call.run().await)
}

/// Service of a call. A call that takes up a stream gets the service of the attempt that began it.
fn find_service(active: &ActiveConfig, route: &RouteRule, head: &CallHead) -> Option<ServiceRule> {
    let resumes = head
        .resumes
        .as_ref()
        .filter(|_| head.last_event_id.is_some());
    let mut hasher = SipHasher13::new();
    resumes.unwrap_or(&head.id).as_str().hash(&mut hasher);
    let name = route.service(hasher.finish())?;
    active.config.services.get(name).cloned()
}

/// Refuses a call that could not end before this VM does.
fn refuse_in_stop(
    context: &GatewayContext,
    route: &RouteRule,
    id: &str,
    retry_after: Duration,
) -> Response<AnswerBody> {
    event!(Event::CallRefused, request = id; "route {} not run, as this VM stops; retry after {retry_after:?}",
        route.name
    );
    count(context, RequestKind::of(route), RequestOutcome::Refused);
    refusal(id, retry_after)
}

fn count(context: &GatewayContext, kind: RequestKind, outcome: RequestOutcome) {
    context.fleet.metrics.count_request(kind, outcome);
}

impl CallState {
    /// Places and sends the call until it has an answer or may not be sent again.
    async fn run(mut self) -> Response<AnswerBody> {
        if let Err(retry_after) = self.bind_taken_up_stream().await {
            return self.give_up(None, retry_after);
        }
        let mut retry_after = DEFAULT_RETRY_AFTER;
        let mut failure = None;
        let send_window = self.send_window.clone();
        loop {
            self.asked = None;
            let placed = tokio::select! {
                biased;
                placed = timeout_at(self.deadline, self.place()) => placed,
                after = send_window.closed() => return self.give_up_in_stop(failure, after),
            };
            let Ok(placed) = placed else {
                break;
            };
            let (entry, version, placed_call) = match placed {
                CallPlacement::At(entry, version, placed_call) => (entry, version, placed_call),
                CallPlacement::Unavailable(after) => {
                    retry_after = after;
                    break;
                }
                CallPlacement::OverQuota(after) if self.runs == 0 => {
                    return self.quota_answer(after);
                }
                CallPlacement::OverQuota(_) => break,
            };
            if self.remaining().is_zero() {
                break;
            }
            if let Err(fault) = self.recheck_admission()
                && self.runs == 0
            {
                self.refund_charge();
                self.is_counted = true;
                return fault.answer(&self.context, &self.route, &self.head.id);
            }
            // A target's failure answer is forwarded only if no retry succeeds.
            match self.send(&entry, version, placed_call, None).await {
                SendOutcome::Success(open) => match self.pass_on(*open).await {
                    Ok(answer) => return answer,
                    Err(call) => {
                        self = call;
                        if !self.reserve_retry() {
                            break;
                        }
                    }
                },
                SendOutcome::Failure(open) => {
                    let (parts, taken) = buffer_answer(*open, &self).await;
                    if let Ok(body) = taken {
                        failure = Some(passed_answer(&parts, body));
                    }
                    if !self.reserve_retry() {
                        break;
                    }
                }
                SendOutcome::NotRun => {
                    if let Some(after) = self.backoff_of_all() {
                        retry_after = after;
                        break;
                    }
                    if self.rejected > MAX_REJECTED_SENDS || !self.spend_retry_budget() {
                        break;
                    }
                }
                // The target is leaving or requested a backoff, so the next placement avoids it.
                SendOutcome::Withheld => {}
                SendOutcome::TooLate(after) => return self.give_up_in_stop(failure, after),
                SendOutcome::NotSent => {
                    if self.unreached > MAX_UNREACHED_TARGETS {
                        break;
                    }
                }
                SendOutcome::Unknown => {
                    if !self.reserve_retry() {
                        break;
                    }
                }
            }
        }
        self.give_up(failure, retry_after)
    }

    /// The answer of a call that is not sent, or not again, as it could not end before this VM does.
    fn give_up_in_stop(
        &mut self,
        failure: Option<Response<AnswerBody>>,
        retry_after: Duration,
    ) -> Response<AnswerBody> {
        if self.runs > 0 {
            return self.give_up(failure, retry_after);
        }
        self.refund_charge();
        self.is_counted = true;
        refuse_in_stop(&self.context, &self.route, &self.head.id, retry_after)
    }

    /// The answer of a call that is not sent again.
    fn give_up(
        &mut self,
        failure: Option<Response<AnswerBody>>,
        retry_after: Duration,
    ) -> Response<AnswerBody> {
        let held = self.arrived.elapsed();
        if let Some(failure) = failure {
            event!(Event::CallFailed, request = self.head.id; "route {} passes on {} after {held:?}, {} runs, tried {:?}",
                self.route.name,
                failure.status(),
                self.runs,
                self.tried
            );
            self.count(RequestOutcome::TargetFailed);
            // The caller would send a call again that may have run.
            if promises_no_run(failure.status()) {
                event!(Event::StatusReplaced, request = self.head.id; "{} becomes {}: {} runs, tried {:?}",
                    failure.status(),
                    StatusCode::BAD_GATEWAY,
                    self.runs,
                    self.tried
                );
                return own_answer(&self.head.id, StatusCode::BAD_GATEWAY, None);
            }
            return failure;
        }
        if self.runs == 0 {
            event!(Event::CallRefused, request = self.head.id; "route {} not run after {held:?}, retry after {retry_after:?}, fingerprint {:016x}, {} sends rejected, {} targets unreachable, tried {:?}, zones {:?}",
                self.route.name,
                self.fingerprint.0,
                self.rejected,
                self.unreached,
                self.tried,
                self.refusals
            );
            self.refund_charge();
            self.count(RequestOutcome::Refused);
            return refusal(&self.head.id, retry_after);
        }
        self.count(RequestOutcome::Lost);
        let has_timed_out = self.remaining().is_zero();
        let status = if has_timed_out {
            StatusCode::GATEWAY_TIMEOUT
        } else {
            StatusCode::BAD_GATEWAY
        };
        event!(Event::CallFailed, request = self.head.id; "route {} ends with {status} after {held:?}, {} runs, tried {:?}",
            self.route.name,
            self.runs,
            self.tried
        );
        own_answer(&self.head.id, status, None)
    }

    /// Takes a retry from the retry budget; returns false if the call may not be sent again or the budget is used up.
    pub fn reserve_retry(&mut self) -> bool {
        self.may_retry() && self.spend_retry_budget()
    }

    /// Whether the route allows another send and enough time is left for it.
    pub fn may_retry(&self) -> bool {
        self.route.retry_policy == RetryPolicy::Idempotent
            && self.runs < self.route.max_attempts
            && self.has_retry_time()
    }

    /// Counts the call's outcome in the metrics.
    pub fn count(&mut self, outcome: RequestOutcome) {
        self.is_counted = true;
        count(&self.context, RequestKind::of(&self.route), outcome);
    }

    /// Whether an answer with this status consists of its head alone.
    pub fn has_only_head(&self, status: StatusCode) -> bool {
        self.method == Method::HEAD
            || matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED)
    }

    fn has_retry_time(&self) -> bool {
        self.remaining() > MIN_RETRY_TIME
    }

    /// Time until the deadline, counting time in which the VM was suspended.
    fn remaining(&self) -> Duration {
        self.due.since(clock::now())
    }

    /// Whether the retry budget has room for another send.
    fn has_retry_budget(&self) -> bool {
        let retries = &mut self.context.fleet.tables().retries;
        retries.usage(&self.service.name, clock::now()).has_room()
    }

    fn spend_retry_budget(&self) -> bool {
        if !self.has_retry_time() {
            return false;
        }
        let fleet = &self.context.fleet;
        let service = &self.service.name;
        let now = clock::now();
        let (budget, is_allowed) = {
            let retries = &mut fleet.tables().retries;
            let budget = retries.usage(service, now);
            (budget, retries.try_retry(service, now))
        };
        fleet.metrics.count_retry(is_allowed);
        let event = if is_allowed {
            Event::RetryAllowed
        } else {
            Event::RetryDenied
        };
        event!(event, request = self.head.id; "service {service}, {} of {:.1} retries spent for {} requests, {:?} since the start",
            budget.retries,
            budget.allowed,
            budget.requests,
            fleet.age()
        );
        is_allowed
    }

    /// Forwards a success to the caller; returns the call if the answer broke off before any of it was forwarded.
    async fn pass_on(self, open: OpenAnswer) -> Result<Response<AnswerBody>, Self> {
        match self.route.response_shape {
            ResponseShape::EventStream { resumable } => Ok(relay_events(self, open, resumable)),
            ResponseShape::Buffered => {
                let mut call = self;
                let tried_before = call.tried.len();
                let (parts, taken) = buffer_answer(open, &call).await;
                match taken {
                    Ok(body) => {
                        call.count(RequestOutcome::Answered);
                        let bytes = body.len() as u64;
                        let fleet = &call.context.fleet;
                        fleet.record_answer_size(&call.service.name, bytes);
                        Ok(passed_answer(&parts, body))
                    }
                    Err(target) => {
                        call.tried.truncate(tried_before);
                        call.tried.push(target);
                        Err(call)
                    }
                }
            }
        }
    }
}
