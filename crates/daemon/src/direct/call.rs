//! One caller's request, from its head to its answer.
//!
//! What may be said at its end depends on what was done with it. A call that no target ran ends with a promise (503,
//! with the time to come back); one that may have run never does.

use crate::{
    clock,
    direct::{
        access::{CallTicket, ZoneAccess},
        events::relay_events,
        fleet::{ActiveConfig, FleetState},
        message::CallEnd,
        sender::{ConnectionPool, ReuseRule, SendError, TargetConnection, TargetRequest},
        settings::DirectSettings,
        whole::{pick_target, take_whole},
    },
    event,
    events::Event,
};
use bytes::Bytes;
use hoplanding_core::{
    direct::{
        catalog::{TargetEntry, TargetStage},
        config::{AnswerShape, RepeatRule, RouteRule, ServiceRule},
        planner::{PlacementAnswer, PlacementAsk, split_subject},
    },
    ids::{AdapterName, AvailabilityZone, TargetName},
};
use hoplanding_platform::front::{
    AnswerKind, CallHead, SendHead, decode_call, encode_send, judge_answer, keep_alive,
    own_answer_headers, travelling,
};
use http::{HeaderMap, Method, Request, Response, StatusCode, Uri};
use http_body_util::{BodyExt, Full, Limited, combinators::UnsyncBoxBody};
use hyper::body::Incoming;
use siphasher::sip::SipHasher13;
use std::{
    hash::{Hash, Hasher},
    sync::{Arc, OnceLock},
    time::Duration,
};
use tokio::time::{Instant, sleep, timeout, timeout_at};

/// Sends of one call that no target ran, beyond which it is given up.
const MOST_REFUSED_SENDS: u32 = 2;
/// Targets that may turn out to be out of reach before a call is given up.
const MOST_UNREACHED: u32 = 3;
/// Time to connect to a target.
const CONNECT_WITHIN: Duration = Duration::from_millis(200);
/// Time that a call waits before it is placed again.
const PLACE_AGAIN: Duration = Duration::from_millis(60);
/// Part of the time left to the objective that a call may wait without asking a second zone.
const SWIFT_PART: f64 = 0.75;
/// Wait, in objectives, beyond which a call is turned away; by rank, the most urgent first.
const BEARABLE_PARTS: [f64; 3] = [2.0, 1.5, 0.95];
/// Requests a second at one VM from which an adapter is at home in every zone.
const POPULAR_RATE: f64 = 0.4;
/// Time to a stream's first event, and between two tokens, that a stream is sure not to exceed, by the users' sheets.
const STREAM_START: Duration = Duration::from_millis(1_000);
const TOKEN_TIME: Duration = Duration::from_millis(15);
/// Time from the process's end until it serves again.
const RESTART: Duration = Duration::from_millis(900);
/// When a caller is told to come back, where nothing better is known.
const COME_BACK: Duration = Duration::from_millis(400);

/// The body of an answer.
pub type AnswerBody = UnsyncBoxBody<Bytes, BrokenAnswer>;

/// An answer that could not be passed on whole; the caller's connection is closed.
#[derive(Debug, thiserror::Error)]
#[error(
    "the answer broke off ({0}): the caller's connection is closed so that it does not look complete"
)]
pub struct BrokenAnswer(pub String);

/// What all calls of this VM share.
#[derive(Debug)]
pub struct GatewayContext {
    /// The books.
    pub fleet: Arc<FleetState>,
    /// The way to holders.
    pub access: Arc<ZoneAccess>,
    /// Connections to targets.
    pub pool: Arc<ConnectionPool>,
    /// Settings.
    pub settings: Arc<DirectSettings>,
    /// The planned stop, once it has begun.
    pub stop: Arc<OnceLock<StopPlan>>,
}

/// When a planned stop takes what.
#[derive(Clone, Copy, Debug)]
pub struct StopPlan {
    /// From here on only what is sure to end in time is taken.
    pub choosy_from: Instant,
    /// When the process ends with whatever is left.
    pub exit: Instant,
}

impl StopPlan {
    /// Whether a call can be taken; if not, when its caller should come back.
    fn admits(&self, route: &RouteRule, head: &CallHead) -> Result<(), Duration> {
        let now = Instant::now();
        let left = self.exit.saturating_duration_since(now);
        let longest = match route.shape {
            AnswerShape::Whole => route.timeout,
            AnswerShape::Events { .. } => {
                (STREAM_START + TOKEN_TIME * head.most_output).min(route.timeout)
            }
        };
        if now < self.choosy_from || longest < left {
            Ok(())
        } else {
            Err(left + RESTART)
        }
    }
}

/// One call under way.
pub struct CallState {
    /// Shared by all calls.
    pub context: Arc<GatewayContext>,
    /// Its route.
    pub route: Arc<RouteRule>,
    /// The service that it goes to.
    pub service: ServiceRule,
    /// What its head says.
    pub head: CallHead,
    /// When it came.
    pub arrived: Instant,
    /// When it has to be answered.
    pub deadline: Instant,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
    /// Targets that it need not be sent to again.
    pub tried: Vec<TargetName>,
    /// Targets that may have run it.
    pub runs: u32,
    /// Sends that targets turned away.
    pub refused: u32,
    /// Targets that could not be reached.
    pub unreached: u32,
}

/// An answer whose head has come.
pub struct OpenAnswer {
    /// Its head.
    pub parts: http::response::Parts,
    /// Its body.
    pub body: Incoming,
    /// The connection, to be given back after a whole answer.
    pub connection: TargetConnection,
    /// The holder's count of the call.
    pub ticket: Option<CallTicket>,
    /// This VM's count of the call.
    pub count: InFlightCount,
}

/// What came of one send.
pub enum SendOutcome {
    /// A signed success; its body follows.
    Success(Box<OpenAnswer>),
    /// The target ran it and states a failure.
    Failure(Box<OpenAnswer>),
    /// The target did not run it.
    NotRun,
    /// It was never handed over.
    NotSent,
    /// It may have run; no answer that could be used came.
    Unknown,
}

/// Counts a call of this VM at a target until dropped.
#[derive(Debug)]
pub struct InFlightCount {
    fleet: Arc<FleetState>,
    target: TargetName,
}

impl InFlightCount {
    fn new(fleet: &Arc<FleetState>, target: &TargetName) -> Self {
        *fleet.books().in_flight.entry(target.clone()).or_default() += 1;
        Self {
            fleet: Arc::clone(fleet),
            target: target.clone(),
        }
    }

    /// Notes how the call ended.
    pub fn note(&self, end: CallEnd) {
        if let Some(outcome) = end.health() {
            let now = clock::now();
            self.fleet.books().health.note(&self.target, outcome, now);
        }
    }
}

impl Drop for InFlightCount {
    fn drop(&mut self) {
        let mut books = self.fleet.books();
        if let Some(count) = books.in_flight.get_mut(&self.target) {
            *count -= 1;
            if *count == 0 {
                books.in_flight.remove(&self.target);
            }
        }
    }
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
    let head = decode_call(request.headers());
    let Some(active) = context.fleet.active() else {
        event!(Event::CallRefused, "{}: no configuration yet", head.id);
        return Ok(refusal(&head.id, COME_BACK));
    };
    let host = request
        .headers()
        .get(http::header::HOST)
        .and_then(|host| host.to_str().ok())
        .or_else(|| request.uri().host())
        .unwrap_or_default();
    let Some(route) = active.routes.find(host, request.uri().path()).cloned() else {
        event!(
            Event::NoRoute,
            "{}: {host}{} in version {}",
            head.id,
            request.uri().path(),
            active.config.version
        );
        return Ok(own_answer(&head.id, StatusCode::NOT_FOUND, None));
    };
    if let Some(plan) = context.stop.get()
        && let Err(come_back) = plan.admits(&route, &head)
    {
        event!(
            Event::CallRefused,
            "{}: route {} not run, as this VM stops; come back after {come_back:?}",
            head.id,
            route.name
        );
        return Ok(refusal(&head.id, come_back));
    }
    let (parts, body) = request.into_parts();
    let limit = active.config.limits.body_bytes;
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
        event!(
            Event::CallRefused,
            "{}: route {} names no known service",
            head.id,
            route.name
        );
        return Ok(refusal(&head.id, COME_BACK));
    };
    {
        let now = clock::now();
        let mut books = context.fleet.books();
        books.retries.count_request(&service.name, now);
        if let (Some(subject), true) = (&head.subject, service.engine.is_some()) {
            books.demand.record(subject, now);
        }
    }
    let patience = head.deadline.unwrap_or(route.timeout).min(route.timeout);
    let call = CallState {
        context,
        service,
        head,
        arrived,
        deadline: arrived + patience,
        method: parts.method,
        uri: parts.uri,
        headers: parts.headers,
        body,
        tried: Vec::new(),
        runs: 0,
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
            let (entry, version, ticket) = match placed {
                Placing::At(entry, version, ticket) => (entry, version, ticket),
                Placing::Nowhere(after) => {
                    come_back = after;
                    break;
                }
            };
            // A failure that came before is passed on only if nothing better comes.
            match self.send(&entry, version, ticket, None).await {
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
                    let (parts, taken) = take_whole(*open, &self).await;
                    if let Ok(body) = taken {
                        failure = Some(passed_answer(&parts, body));
                    }
                    if !self.may_repeat() {
                        break;
                    }
                }
                SendOutcome::NotRun => {
                    if self.refused > MOST_REFUSED_SENDS || !self.pay_for_repeat() {
                        break;
                    }
                }
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
            event!(
                Event::CallFailed,
                "{id}: route {} passes on {} after {held:?}, {} runs, tried {:?}",
                self.route.name,
                failure.status(),
                self.runs,
                self.tried
            );
            return failure;
        }
        if self.runs == 0 {
            event!(
                Event::CallRefused,
                "{id}: route {} not run after {held:?}, come back after {come_back:?}, {} turned away, {} out of reach, tried {:?}",
                self.route.name,
                self.refused,
                self.unreached,
                self.tried
            );
            return refusal(id, come_back);
        }
        let is_late = Instant::now() >= self.deadline;
        let status = if is_late {
            StatusCode::GATEWAY_TIMEOUT
        } else {
            StatusCode::BAD_GATEWAY
        };
        event!(
            Event::CallFailed,
            "{id}: route {} ends with {status} after {held:?}, {} runs, tried {:?}",
            self.route.name,
            self.runs,
            self.tried
        );
        own_answer(id, status, None)
    }

    /// Whether it may run again: its route allows it, and the fleet's budget pays for it.
    pub fn may_repeat(&mut self) -> bool {
        self.route.repeat == RepeatRule::Idempotent
            && self.runs < self.route.max_attempts
            && self.has_time()
            && self.pay_for_repeat()
    }

    fn has_time(&self) -> bool {
        Instant::now() + Duration::from_millis(5) < self.deadline
    }

    fn pay_for_repeat(&self) -> bool {
        self.has_time()
            && self
                .context
                .fleet
                .books()
                .retries
                .try_repeat(&self.service.name, clock::now())
    }

    /// Finds the target of the next send, and waits until it has what is asked for.
    pub async fn place(&mut self) -> Placing {
        if self.service.engine.is_none() {
            return match pick_target(&self.context.fleet, &self.service.name, &self.tried) {
                Some(entry) => Placing::At(entry, None, None),
                None => Placing::Nowhere(COME_BACK),
            };
        }
        let mut come_back = COME_BACK;
        let mut is_home_out = false;
        for pass in [
            PlacingPass::Swift,
            PlacingPass::Bearable,
            PlacingPass::Again,
        ] {
            if pass == PlacingPass::Again {
                // A zone that changes hands answers again within moments.
                sleep(PLACE_AGAIN).await;
            }
            let bound = self.wait_bound(pass);
            for (turn, zone) in self.zones_in_order().into_iter().enumerate() {
                // Another zone's load comes from the same store, so only what is there already counts in it, unless
                // nobody loads at home.
                let may_load = turn == 0 || is_home_out;
                let ask = self.ask(bound, may_load);
                match self.context.access.place(&zone, ask).await {
                    Some((
                        PlacementAnswer::Send {
                            target,
                            wait_ms,
                            version,
                            ..
                        },
                        ticket,
                    )) => {
                        sleep(Duration::from_millis(u64::from(wait_ms))).await;
                        let entry = self.context.fleet.books().catalog.get(&target).cloned();
                        // It may have begun to leave while the adapter came.
                        match entry.filter(|entry| entry.stage == TargetStage::Ready) {
                            Some(entry) => return Placing::At(entry, version, ticket),
                            None => self.tried.push(target),
                        }
                    }
                    Some((PlacementAnswer::Refuse { retry_after_ms }, _)) => {
                        come_back = Duration::from_millis(u64::from(retry_after_ms));
                    }
                    None => {
                        is_home_out |= turn == 0;
                        if let Some(found) = self.place_alone(&zone) {
                            return found;
                        }
                    }
                }
            }
            if !self.has_time() {
                break;
            }
        }
        Placing::Nowhere(come_back)
    }

    /// Wait up to which a zone is asked to take the call.
    fn wait_bound(&self, pass: PlacingPass) -> Duration {
        let left = self.route.objective.saturating_sub(self.arrived.elapsed());
        let is_first = self.runs == 0;
        match pass {
            PlacingPass::Swift => left.mul_f64(SWIFT_PART),
            _ if !is_first => self.deadline.saturating_duration_since(Instant::now()),
            _ => {
                let parts = &BEARABLE_PARTS;
                let part = parts[usize::from(self.route.priority).min(parts.len() - 1)];
                self.route.objective.mul_f64(part)
            }
        }
    }

    /// The adapter's home zone first. An adapter that this VM is asked for all the time is at home in its own zone, so
    /// that the most popular ones are spread; so is a base model.
    fn zones_in_order(&self) -> Vec<AvailabilityZone> {
        let subject = self.subject();
        let own = &self.context.fleet.zone;
        let is_popular = self
            .context
            .fleet
            .books()
            .demand
            .rate(&subject, clock::now())
            >= POPULAR_RATE;
        let has_adapter = split_subject(&subject).1.is_some();
        let mut zones = self.context.settings.zones.clone();
        zones.sort_by_cached_key(|zone| {
            let is_first = zone == own && (is_popular || !has_adapter);
            let mut hasher = SipHasher13::new();
            zone.as_str().hash(&mut hasher);
            subject.as_str().hash(&mut hasher);
            (!is_first, hasher.finish())
        });
        zones
    }

    fn ask(&self, bound: Duration, may_load: bool) -> PlacementAsk {
        let output = self
            .head
            .output_hint
            .unwrap_or(self.head.most_output / 2)
            .min(self.head.most_output.max(1));
        PlacementAsk {
            subject: self.subject(),
            prompt_tokens: self.head.prompt_tokens,
            output_tokens: output,
            prefix: self.head.prefix.clone(),
            priority: self.route.priority,
            bound_ms: u32::try_from(bound.as_millis()).unwrap_or(u32::MAX),
            exclude: self.tried.clone(),
            may_load,
        }
    }

    fn subject(&self) -> AdapterName {
        self.head
            .subject
            .clone()
            .unwrap_or_else(|| AdapterName::new(""))
    }

    /// Places a call without its holder: at a target that is listed with its adapter.
    fn place_alone(&self, zone: &AvailabilityZone) -> Option<Placing> {
        let subject = self.subject();
        let books = self.context.fleet.books();
        let version = books.versions.get(&subject).copied();
        let now = clock::now();
        books
            .catalog
            .ready(&self.service.name)
            .filter(|entry| entry.zone == *zone && !self.tried.contains(&entry.name))
            .filter(|entry| !books.health.is_out(&entry.name, now))
            .filter(|entry| holds(entry, &subject, version))
            .min_by_key(|entry| books.in_flight.get(&entry.name).copied().unwrap_or(0))
            .map(|entry| Placing::At(Arc::clone(entry), version, None))
    }

    /// Sends it to a target.
    pub async fn send(
        &mut self,
        entry: &TargetEntry,
        version: Option<u64>,
        ticket: Option<CallTicket>,
        last_event: Option<u64>,
    ) -> SendOutcome {
        let count = InFlightCount::new(&self.context.fleet, &entry.name);
        let end = |ticket: Option<CallTicket>, count: &InFlightCount, end: CallEnd| {
            count.note(end);
            if let Some(ticket) = ticket {
                ticket.end(end);
            }
        };
        let reuse = match self.route.repeat {
            RepeatRule::Idempotent => ReuseRule::Any,
            RepeatRule::AtMostOnce => ReuseRule::FreshOnly,
        };
        let taken = self
            .context
            .pool
            .take(&entry.name, entry.address, reuse, CONNECT_WITHIN)
            .await;
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        let sent = match taken {
            Ok(mut connection) => {
                let request = self.request(entry, version, remaining, last_event);
                match timeout(remaining, connection.send(request)).await {
                    Ok(Ok(response)) => Ok((connection, response)),
                    Ok(Err(error)) => Err(error),
                    Err(_) => Err(SendError::Unanswered {
                        target: entry.name.clone(),
                        cause: "no head before the deadline".to_owned(),
                    }),
                }
            }
            Err(error) => Err(error),
        };
        let (connection, response) = match sent {
            Ok(answered) => answered,
            Err(SendError::NotSent { target, cause }) => {
                event!(
                    Event::TargetUnreached,
                    "{} at {target}: {cause}",
                    self.head.id
                );
                end(ticket, &count, CallEnd::Unreached);
                self.unreached += 1;
                self.tried.push(target);
                return SendOutcome::NotSent;
            }
            Err(SendError::Unanswered { target, cause }) => {
                event!(
                    Event::AnswerMissing,
                    "{} at {target}: {cause}",
                    self.head.id
                );
                end(ticket, &count, CallEnd::Failed);
                self.runs += 1;
                self.tried.push(target);
                return SendOutcome::Unknown;
            }
        };
        let kind = judge_answer(&self.head.id, response.status(), response.headers());
        let (parts, body) = response.into_parts();
        let open = |ticket, count| {
            Box::new(OpenAnswer {
                parts: parts.clone(),
                body,
                connection,
                ticket,
                count,
            })
        };
        match kind {
            AnswerKind::Success => {
                self.runs += 1;
                SendOutcome::Success(open(ticket, count))
            }
            AnswerKind::Failure => {
                self.runs += 1;
                self.tried.push(entry.name.clone());
                SendOutcome::Failure(open(ticket, count))
            }
            AnswerKind::Misdirected | AnswerKind::NotRun => {
                event!(
                    Event::TurnedAway,
                    "{} at {}: {kind:?} {} for {} version {version:?}",
                    self.head.id,
                    entry.name,
                    parts.status,
                    self.subject()
                );
                let is_absent = kind == AnswerKind::Misdirected;
                let outcome = if is_absent {
                    CallEnd::Absent
                } else {
                    CallEnd::Shed
                };
                end(ticket, &count, outcome);
                self.refused += 1;
                // An adapter that is late is soon there: its holder knows whether another target is better.
                if !is_absent {
                    self.tried.push(entry.name.clone());
                }
                SendOutcome::NotRun
            }
            AnswerKind::Foreign => {
                event!(
                    Event::AnswerForeign,
                    "{} at {}: status {}",
                    self.head.id,
                    entry.name,
                    parts.status
                );
                self.context.pool.close(entry.address);
                end(ticket, &count, CallEnd::Failed);
                self.runs += 1;
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
            priority: self.service.engine.as_ref().map(|_| self.route.priority),
            version,
            last_event,
        };
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = encode_send(&self.headers, &send);
        request
    }

    /// Passes a success on to the caller; gives the call back if the answer broke before its first byte went out.
    async fn pass_on(self, open: OpenAnswer) -> Result<Response<AnswerBody>, Self> {
        match self.route.shape {
            AnswerShape::Events { resumable } => Ok(relay_events(self, open, resumable)),
            AnswerShape::Whole => {
                let mut call = self;
                let target = call.tried.len();
                let (parts, taken) = take_whole(open, &call).await;
                match taken {
                    Ok(body) => Ok(passed_answer(&parts, body)),
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

/// How much wait a placing allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PlacingPass {
    /// Only where the objective is kept.
    Swift,
    /// Wherever the wait is worth it.
    Bearable,
    /// The same after a pause.
    Again,
}

/// Where the next send goes.
pub enum Placing {
    /// To this target, with the version to ask for.
    At(Arc<TargetEntry>, Option<u64>, Option<CallTicket>),
    /// Nowhere now; it is worth coming back after this.
    Nowhere(Duration),
}

fn holds(entry: &TargetEntry, subject: &AdapterName, version: Option<u64>) -> bool {
    if !subject.as_str().contains('/') {
        return entry
            .models
            .iter()
            .any(|(model, _)| model == subject.as_str());
    }
    entry.adapters.iter().any(|resident| {
        resident.adapter == *subject && version.is_none_or(|version| resident.version >= version)
    })
}

/// A body that is there whole.
#[must_use]
pub fn full(body: Bytes) -> AnswerBody {
    Full::new(body)
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// A target's answer as it goes to the caller.
fn passed_answer(parts: &http::response::Parts, body: Bytes) -> Response<AnswerBody> {
    let mut response = Response::new(full(body));
    *response.status_mut() = parts.status;
    *response.headers_mut() = travelling(&parts.headers);
    response
}

/// An answer of this VM's own.
#[must_use]
pub fn own_answer(
    id: &str,
    status: StatusCode,
    retry_after: Option<Duration>,
) -> Response<AnswerBody> {
    let mut response = Response::new(full(Bytes::new()));
    *response.status_mut() = status;
    *response.headers_mut() = own_answer_headers(id, retry_after);
    response
}

/// The promise that a call was not run, with the time to come back.
fn refusal(id: &str, come_back: Duration) -> Response<AnswerBody> {
    own_answer(id, StatusCode::SERVICE_UNAVAILABLE, Some(come_back))
}

/// Gives a connection back for further calls, unless its answer says that it ends.
pub fn give_back(pool: &ConnectionPool, connection: TargetConnection, headers: &HeaderMap) {
    if !hoplanding_platform::front::is_closing(headers) {
        pool.give_back(connection, keep_alive(headers));
    }
}
