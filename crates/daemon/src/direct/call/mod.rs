//! One caller's request, from its head to its answer.
//!
//! What may be said at its end depends on what was done with it. A call that no target ran ends with a promise (503,
//! with the time to come back); one that may have run never does.
//!
//! | module | job |
//! |---|---|
//! | `admission` | for whom it is made, and whether that still holds |
//! | `paying` | what it is charged to its organisation's quota |
//! | `placing` | where the next send goes |
//! | `sending` | one send, and what its answer is worth |
//! | `ends` | whether a target ended under it |
//! | `answers` | answers as they go to callers |
//! | `timeline` | what the time of an answered stream went to |
//! | `stop` | what is still taken while this VM stops |

mod admission;
mod answers;
mod payment;
mod placement;
mod sending;
mod stop_plan;
mod target_probe;
mod timeline;

pub use admission::AdmissionFault;
pub use answers::{AnswerBody, BrokenAnswer, full, own_answer};
pub use payment::CallPayment;
pub use placement::CallPlacement;
pub use sending::{InFlightGuard, OpenAnswer, SendOutcome};
pub use stop_plan::StopPlan;
pub use timeline::CallTimeline;

use crate::{
    clock,
    direct::{
        buffered_answer::buffer_answer,
        call::{
            admission::let_in,
            answers::{passed_answer, refusal},
            target_probe::request_fingerprint,
        },
        event_relay::relay_events,
        fleet::{ActiveConfig, FleetState},
        holder_client::HolderClient,
        metrics::{RequestKind, RequestOutcome},
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
        config::{ResponseShape, RetryPolicy, RouteRule, ServiceRule},
        organisations::CallerIdentity,
        planner::RefusalCause,
        suspects::RequestFingerprint,
    },
    ids::{self, AvailabilityZone, TargetName},
};
use hoplanding_platform::front::{CallHead, decode_call};
use http::{HeaderMap, Method, Request, Response, StatusCode, Uri};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use siphasher::sip::SipHasher13;
use std::{
    hash::{Hash, Hasher},
    net::SocketAddr,
    sync::{Arc, OnceLock},
    time::Duration,
};
use tokio::time::{Instant, timeout, timeout_at};

/// Sends of one call that no target ran, beyond which it is given up.
const MOST_REFUSED_SENDS: u32 = 2;
/// Targets that may turn out to be out of reach before a call is given up.
const MOST_UNREACHED: u32 = 3;
/// Time left below which a call is not sent again.
const LEAST_TIME: Duration = Duration::from_millis(5);
/// When a caller is told to come back, where nothing better is known.
const COME_BACK: Duration = Duration::from_millis(400);

/// What all calls of this VM share.
#[derive(Debug)]
pub struct GatewayContext {
    /// The books.
    pub fleet: Arc<FleetState>,
    /// The way to holders.
    pub holder_client: Arc<HolderClient>,
    /// Connections to targets.
    pub pool: Arc<ConnectionPool>,
    /// Records of targets that ended under calls.
    pub records: SuspectRecorder,
    /// Settings.
    pub settings: Arc<DirectSettings>,
    /// The planned stop, once it has begun.
    pub stop: Arc<OnceLock<StopPlan>>,
}

/// One call under way.
pub struct CallState {
    /// Shared by all calls.
    pub context: Arc<GatewayContext>,
    /// Its route.
    pub route: Arc<RouteRule>,
    /// For whom it is made.
    pub identity: CallerIdentity,
    /// Its rank; 0 is the most urgent.
    pub rank: u8,
    /// What it is charged.
    pub payment: CallPayment,
    /// The request by what it asks.
    pub fingerprint: RequestFingerprint,
    /// Leave to send it once though targets ended under it.
    pub trial: Option<TrialPermit>,
    /// The service that it goes to.
    pub service: ServiceRule,
    /// What its head says.
    pub head: CallHead,
    /// When it came.
    pub arrived: Instant,
    /// What its time went to.
    pub timeline: CallTimeline,
    /// When it has to be answered.
    pub deadline: Instant,
    /// The same by the daemon's clock, which goes on while the VM is suspended.
    pub due: ids::Instant,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
    /// Whether its holder knows a limit of the target that it is sent to.
    pub is_limited: bool,
    /// Targets that it need not be sent to again.
    pub tried: Vec<TargetName>,
    /// The engine that its engine takes kept parts of its prompt from.
    pub fetch_source: Option<SocketAddr>,
    /// Targets that may have run it.
    pub runs: u32,
    /// Zones that had no room for it when it was placed last, and why.
    pub refusals: Vec<(AvailabilityZone, RefusalCause)>,
    /// Sends that targets turned away.
    pub refused: u32,
    /// Targets that could not be reached.
    pub unreached: u32,
}

/// Answers a caller's request.
///
/// # Errors
/// When the caller broke its request off; its connection is closed.
pub async fn answer_call(
    context: Arc<GatewayContext>,
    request: Request<Incoming>,
) -> Result<Response<AnswerBody>, BrokenAnswer> {
    let arrived = Instant::now();
    let arrived_at = clock::now();
    let head = decode_call(request.headers());
    let Some(active) = context.fleet.active() else {
        event!(Event::CallRefused, request = head.id; "no configuration yet");
        count(&context, RequestKind::Unrouted, RequestOutcome::Refused);
        return Ok(refusal(&head.id, COME_BACK));
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
    let identity = match let_in(&context, &active, &route, &head) {
        Ok(identity) => identity,
        Err(fault) => return Ok(fault.answer(&context, &route, &head.id)),
    };
    if let Some(plan) = context.stop.get()
        && let Err(come_back) = plan.admits(&route, &head, &context.fleet.streams())
    {
        event!(Event::CallRefused, request = head.id; "route {} not run, as this VM stops; come back after {come_back:?}",
            route.name
        );
        count(&context, RequestKind::of(&route), RequestOutcome::Refused);
        return Ok(refusal(&head.id, come_back));
    }
    let (parts, body) = request.into_parts();
    let limit = active.config.limits.max_body_bytes;
    let within = route.timeout.max(active.config.limits.header_timeout);
    let body = match timeout(within, Limited::new(body, limit).collect()).await {
        Err(_) => {
            return Ok(own_answer(&head.id, StatusCode::REQUEST_TIMEOUT, None));
        }
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            return Ok(own_answer(&head.id, StatusCode::PAYLOAD_TOO_LARGE, None));
        }
        Ok(Err(error)) => return Err(BrokenAnswer(error.to_string())),
        Ok(Ok(body)) => body.to_bytes(),
    };
    let Some(service) = find_service(&active, &route, &head.id) else {
        event!(Event::CallRefused, request = head.id; "route {} names no known service",
            route.name
        );
        return Ok(refusal(&head.id, COME_BACK));
    };
    {
        let now = clock::now();
        let mut tables = context.fleet.tables();
        tables.retries.record_request(&service.name, now);
        if let (Some(subject), true) = (&head.subject, service.engine.is_some()) {
            tables.demand.record(subject, now);
        }
    }
    let patience = head.deadline.unwrap_or(route.timeout).min(route.timeout);
    let payment = CallPayment::of(&identity, &head);
    let call = CallState {
        context,
        rank: identity.rank(&route),
        identity,
        payment,
        fingerprint: request_fingerprint(&parts.method, &parts.uri, &head, &body),
        trial: None,
        service,
        head,
        arrived,
        timeline: CallTimeline::new(arrived),
        deadline: arrived + patience,
        due: arrived_at.after(patience),
        method: parts.method,
        uri: parts.uri,
        headers: parts.headers,
        body,
        is_limited: false,
        tried: Vec::new(),
        fetch_source: None,
        runs: 0,
        refusals: Vec::new(),
        refused: 0,
        unreached: 0,
        route,
    };
    Ok(call.drive().await)
}

fn find_service(active: &ActiveConfig, route: &RouteRule, id: &str) -> Option<ServiceRule> {
    let mut hasher = SipHasher13::new();
    id.hash(&mut hasher);
    let name = route.service(hasher.finish())?;
    active.config.services.get(name).cloned()
}

fn count(context: &GatewayContext, kind: RequestKind, outcome: RequestOutcome) {
    context.fleet.metrics.count_request(kind, outcome);
}

impl CallState {
    /// Sends the call until it has an answer, or nothing more can be done.
    async fn drive(mut self) -> Response<AnswerBody> {
        let mut come_back = COME_BACK;
        let mut failure = None;
        loop {
            let placed = match timeout_at(self.deadline, self.place()).await {
                Ok(placed) => placed,
                Err(_) => break,
            };
            let (entry, version, placed_call) = match placed {
                CallPlacement::At(entry, version, placed_call) => (entry, version, placed_call),
                CallPlacement::Unavailable(after) => {
                    come_back = after;
                    break;
                }
                CallPlacement::OverQuota(after) => return self.over_quota(after),
            };
            if self.remaining().is_zero() {
                break;
            }
            if let Err(fault) = self.is_still_let_in()
                && self.runs == 0
            {
                self.take_back_payment();
                return fault.answer(&self.context, &self.route, &self.head.id);
            }
            // A failure that came before is passed on only if nothing better comes.
            match self.send(&entry, version, placed_call, None).await {
                SendOutcome::Success(open) => match self.pass_on(*open).await {
                    Ok(answer) => return answer,
                    Err(call) => {
                        self = call;
                        if !self.may_repeat() {
                            break;
                        }
                    }
                },
                SendOutcome::Failure(open) => {
                    let (parts, taken) = buffer_answer(*open, &self).await;
                    if let Ok(body) = taken {
                        failure = Some(passed_answer(&parts, body));
                    }
                    if !self.may_repeat() {
                        break;
                    }
                }
                SendOutcome::NotRun => {
                    if let Some(after) = self.rest_of_all() {
                        come_back = after;
                        break;
                    }
                    if self.refused > MOST_REFUSED_SENDS || !self.pay_for_repeat() {
                        break;
                    }
                }
                // Placed again it goes elsewhere, or is refused.
                SendOutcome::Withheld => {}
                SendOutcome::NotSent => {
                    if self.unreached > MOST_UNREACHED {
                        break;
                    }
                }
                SendOutcome::Unknown => {
                    if !self.may_repeat() {
                        break;
                    }
                }
            }
        }
        self.give_up(failure, come_back)
    }

    /// The answer of a call for which nothing more can be done.
    fn give_up(
        &self,
        failure: Option<Response<AnswerBody>>,
        come_back: Duration,
    ) -> Response<AnswerBody> {
        let id = &self.head.id;
        let held = self.arrived.elapsed();
        if let Some(failure) = failure {
            event!(Event::CallFailed, request = id; "route {} passes on {} after {held:?}, {} runs, tried {:?}",
                self.route.name,
                failure.status(),
                self.runs,
                self.tried
            );
            self.count(RequestOutcome::TargetFailed);
            return failure;
        }
        if self.runs == 0 {
            event!(Event::CallRefused, request = id; "route {} not run after {held:?}, come back after {come_back:?}, request {:016x}, {} turned away, {} out of reach, tried {:?}, zones {:?}",
                self.route.name,
                self.fingerprint.0,
                self.refused,
                self.unreached,
                self.tried,
                self.refusals
            );
            self.take_back_payment();
            self.count(RequestOutcome::Refused);
            return refusal(id, come_back);
        }
        self.count(RequestOutcome::Lost);
        let is_late = self.remaining().is_zero();
        let status = if is_late {
            StatusCode::GATEWAY_TIMEOUT
        } else {
            StatusCode::BAD_GATEWAY
        };
        event!(Event::CallFailed, request = id; "route {} ends with {status} after {held:?}, {} runs, tried {:?}",
            self.route.name,
            self.runs,
            self.tried
        );
        own_answer(id, status, None)
    }

    /// Whether it may run again: its route allows it, and the fleet's budget pays for it.
    pub fn may_repeat(&mut self) -> bool {
        self.route.retry_policy == RetryPolicy::Idempotent
            && self.runs < self.route.max_attempts
            && self.has_time()
            && self.pay_for_repeat()
    }

    /// Counts its end.
    pub fn count(&self, outcome: RequestOutcome) {
        count(&self.context, RequestKind::of(&self.route), outcome);
    }

    fn has_time(&self) -> bool {
        self.remaining() > LEAST_TIME
    }

    /// Time until its deadline.
    fn remaining(&self) -> Duration {
        self.due.since(clock::now())
    }

    fn pay_for_repeat(&self) -> bool {
        if !self.has_time() {
            return false;
        }
        let fleet = &self.context.fleet;
        let service = &self.service.name;
        let now = clock::now();
        let (standing, is_allowed) = {
            let retries = &mut fleet.tables().retries;
            let standing = retries.usage(service, now);
            (standing, retries.try_retry(service, now))
        };
        fleet.metrics.count_repeat(is_allowed);
        let decided = if is_allowed {
            Event::RetryAllowed
        } else {
            Event::RetryDenied
        };
        event!(decided, request = self.head.id; "of {service}, {} repeats of {:.1} for {} requests, {:?} after the start",
            standing.retries,
            standing.allowed,
            standing.requests,
            fleet.age()
        );
        is_allowed
    }

    /// Passes a success on to the caller; gives the call back if the answer broke before its first byte went out.
    async fn pass_on(self, open: OpenAnswer) -> Result<Response<AnswerBody>, Self> {
        match self.route.response_shape {
            ResponseShape::EventStream { resumable } => Ok(relay_events(self, open, resumable)),
            ResponseShape::Buffered => {
                let mut call = self;
                let target = call.tried.len();
                let (parts, taken) = buffer_answer(open, &call).await;
                match taken {
                    Ok(body) => {
                        call.count(RequestOutcome::Answered);
                        Ok(passed_answer(&parts, body))
                    }
                    Err(name) => {
                        call.tried.truncate(target);
                        call.tried.push(name);
                        Err(call)
                    }
                }
            }
        }
    }
}
