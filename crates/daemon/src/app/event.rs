//! Events of the event loop, and the requests and replies that they carry.
//!
//! Events that expect an answer carry a oneshot sender for it.

use crate::{
    calls::{CallBuffer, CallFrame, CallId, ExecuteRequest, SubmitRequest},
    peers::{PeerLink, PeerMessage},
    platform::{AppendOutcome, LogBatch},
    targets::{EngineListing, OrderError},
};
use hoplanding_core::{
    config::{ChangeConflict, ResolveError, ResolvedModel},
    ids::{
        AdapterVersion, CallerName, ChangeId, DaemonRef, FencingToken, LogOffset, PriorityClass,
        RequestId, ServiceName, TargetName, VmName,
    },
    language::{DataTable, ParseError, QueryError},
    membership::ListedVm,
    request::{DedupKey, IdempotencyToken, KeyHash, NotRunReason, TokenError},
};
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot};

/// An event for the event loop.
pub enum AppEvent {
    /// The tick interval passed.
    Tick,
    /// A batch of records was read from the log.
    LogRead(LogBatch),
    /// Records expired before they were read; carries the earliest offset that the log still has.
    LogExpired(LogOffset),
    /// The log can't be read; carries the cause.
    LogUnreachable(String),
    /// Outcome of the appends with the given tickets.
    Appended(Vec<u64>, AppendOutcome),
    /// The platform's list of VMs was read.
    VmsListed(Vec<ListedVm>),
    /// A link that this daemon dialled is connected.
    LinkUp(VmName),
    /// A peer's address refused the connection.
    LinkRefused(VmName),
    /// A message from a peer on a link that this daemon dialled.
    PeerReply(VmName, Box<PeerMessage>),
    /// A message on a link that a peer dialled, with the sender for replies.
    PeerRequest(VmName, Box<PeerMessage>, mpsc::Sender<PeerMessage>),
    /// Authenticate a request, resolve its subject and apply the limits.
    Admit(
        AdmissionRequest,
        oneshot::Sender<Result<Admission, AdmissionError>>,
    ),
    /// List the versions that a caller has a right to, each with whether it is the current one; takes a bearer token.
    ListModels(
        String,
        oneshot::Sender<Result<Vec<(AdapterVersion, bool)>, AdmissionError>>,
    ),
    /// Issue an idempotency token; takes a bearer token.
    IssueToken(
        String,
        oneshot::Sender<Result<IdempotencyToken, AdmissionError>>,
    ),
    /// Run an admitted request to its end and write the response to the buffer.
    Submit(Box<SubmitRequest>, Arc<CallBuffer>),
    /// Select a target for a request.
    Route(
        RouteRequest,
        oneshot::Sender<Result<SelectedRoute, NotRunReason>>,
    ),
    /// Ask whether a request with an idempotency token or key may run; carries its fingerprint.
    BeginIdempotent(DedupKey, u64, oneshot::Sender<IdempotencyDecision>),
    /// A request with an idempotency token or key ended.
    EndIdempotent(DedupKey, IdempotentOutcome),
    /// Claim an idempotency key that the caller chose; carries the request's fingerprint.
    ClaimKey(KeyHash, u64, oneshot::Sender<KeyClaimResult>),
    /// A request that this daemon admitted as gateway ended.
    RequestEnded(CallerName),
    /// Run a request on a target that this daemon holds.
    Execute(Box<ExecuteRequest>, Arc<CallBuffer>),
    /// The receiver of a call's answer is gone.
    CallAbandoned(CallId),
    /// The first token of a call arrived.
    FirstToken(CallId, TargetName),
    /// A call's stream ended.
    StreamEnded(CallId, TargetName, StreamEnd),
    /// An order to an engine was answered or failed.
    OrderDone(OrderReport),
    /// Run a statement of an operator.
    Operator(
        OperatorRequest,
        oneshot::Sender<Result<OperatorResponse, OperatorError>>,
    ),
    /// Ask whether the daemon is ready to serve.
    IsReady(oneshot::Sender<bool>),
    /// Begin a planned stop; answered once it is complete.
    Stop(oneshot::Sender<StopReport>),
}

/// Work left at the end of a planned stop.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StopReport {
    /// Requests still open.
    pub open_requests: usize,
    /// Targets not handed over.
    pub remaining_targets: usize,
}

/// A caller's request before authentication and resolution.
#[derive(Clone, Debug)]
pub struct AdmissionRequest {
    /// Bearer token of the caller.
    pub bearer: String,
    /// Requested adapter or service.
    pub subject: AdmissionSubject,
    /// Priority class that the caller requests.
    pub class: Option<PriorityClass>,
}

/// Subject of a request.
#[derive(Clone, Debug)]
pub enum AdmissionSubject {
    /// Model name: an adapter with an optional version.
    Model(String),
    /// Call of a plain service, by service, method and path.
    Service(ServiceName, String, String),
}

/// An authenticated and resolved request.
#[derive(Clone, Debug)]
pub struct Admission {
    /// Authenticated caller.
    pub caller: CallerName,
    /// Priority class in force.
    pub class: PriorityClass,
    /// Adapter version and repeatability; only the repeatability is meaningful for a service.
    pub resolved: ResolvedModel,
}

/// Error that keeps a request from being admitted.
#[derive(Clone, Debug, thiserror::Error)]
pub enum AdmissionError {
    /// The bearer token is missing or unknown.
    #[error(
        "the bearer token is missing or unknown: send `Authorization: Bearer TOKEN` with the token of your service"
    )]
    UnknownCaller,
    /// The model name can't be resolved for the caller.
    #[error(transparent)]
    Model(#[from] ResolveError),
    /// The caller has no right to the service.
    #[error(
        "caller `{0}` has no right to service `{1}`: ask an operator for `allow {0} on service {1}`"
    )]
    NoServiceRight(CallerName, ServiceName),
    /// No target serves the service.
    #[error("service `{0}` does not exist: ask an operator which services there are")]
    UnknownService(ServiceName),
    /// The request is refused as not run.
    #[error(transparent)]
    NotRun(#[from] NotRunReason),
}

/// Request for a route to a target.
#[derive(Clone, Debug)]
pub struct RouteRequest {
    /// Adapter version; none for a plain service.
    pub model: Option<AdapterVersion>,
    /// Service; none for an engine.
    pub service: Option<ServiceName>,
    /// The only target allowed, if the rest of a stream is requested.
    pub target: Option<TargetName>,
    /// Priority class.
    pub class: PriorityClass,
    /// Maximum number of output tokens.
    pub output_tokens: u32,
    /// Targets that already failed this request.
    pub excluded: Vec<TargetName>,
}

/// A target selected for a request.
#[derive(Clone, Debug)]
pub struct SelectedRoute {
    /// Selected target.
    pub target: TargetName,
    /// Connection to its holder.
    pub via: RouteVia,
}

/// Connection to the holder of a target.
#[derive(Clone, Debug)]
pub enum RouteVia {
    /// This daemon is the holder.
    Local,
    /// The holder is a peer, reached over its link.
    Link(PeerLink),
}

/// Whether a request with an idempotency token or key may run.
#[derive(Debug)]
pub enum IdempotencyDecision {
    /// The request may run.
    Run,
    /// The request already ran; carries its stored answer.
    Replay(Arc<Vec<CallFrame>>),
    /// The request is running; the receiver yields its answer, or none if no answer is stored.
    Join(oneshot::Receiver<Option<Arc<Vec<CallFrame>>>>),
    /// The request ran or may have run with an unknown outcome; carries the cause.
    Unknown(String),
    /// Another daemon decides; the request is forwarded over its link.
    Forward(PeerLink),
    /// The token is not valid for this request.
    InvalidToken(TokenError),
}

/// Outcome of a request with an idempotency token or key.
#[derive(Clone, Debug)]
pub enum IdempotentOutcome {
    /// The request certainly did not run, so the token or key may be used again.
    NotRun,
    /// The request was answered; carries the frames to store.
    Answered(Arc<Vec<CallFrame>>),
    /// The outcome is unknown, or the answer is too large to store.
    AnswerLost,
}

/// Result of claiming an idempotency key.
#[derive(Debug)]
pub enum KeyClaimResult {
    /// This daemon holds the key and runs the request.
    Won,
    /// Another daemon holds the key; the request is forwarded over its link.
    Forward(PeerLink),
    /// The daemon that holds the key is gone or not connected.
    HolderGone(DaemonRef),
    /// The key was claimed for a request with another fingerprint.
    KeyReused,
    /// The log is unreachable, so the key was not claimed.
    NotClaimed,
}

/// End of a stream or service call, as reported to the scheduler.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamEnd {
    /// All tokens of the stream arrived.
    Complete {
        /// Boot number of the engine that sent them.
        boot: u64,
    },
    /// Any other end, including each end of a service call that reached the target.
    Ended,
    /// The stream broke and was not resumed.
    Broken,
    /// The target refused the request.
    Refused,
    /// The connection to the target failed.
    Unreachable,
    /// The target answered with another adapter.
    WrongModel,
}

/// Kind of an order to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderKind {
    /// Present the fencing token.
    PresentToken,
    /// List loaded adapters and running streams.
    List,
    /// Load an adapter.
    Load(AdapterVersion),
    /// Unload an adapter.
    Unload(AdapterVersion),
    /// List running streams to settle the lease of a predecessor.
    SettleQuery(FencingToken),
}

/// Result of an order.
#[derive(Debug)]
pub struct OrderReport {
    /// Target of the order.
    pub target: TargetName,
    /// Fencing token under which the order was sent.
    pub token: FencingToken,
    /// Kind of the order.
    pub kind: OrderKind,
    /// Target's epoch when the order was sent.
    pub epoch: u64,
    /// Time until the answer or failure.
    pub elapsed: std::time::Duration,
    /// Boot number of the engine, with its listing if one was requested.
    pub result: Result<(u64, Option<EngineListing>), OrderError>,
}

/// A statement of an operator.
#[derive(Clone, Debug)]
pub struct OperatorRequest {
    /// Bearer token of the operator.
    pub bearer: String,
    /// Text of the statement.
    pub text: String,
}

/// Result of a statement.
#[derive(Clone, Debug)]
pub enum OperatorResponse {
    /// Result table of a query.
    Table(DataTable),
    /// A change is in force at this daemon from this log offset on.
    Accepted(ChangeId, LogOffset),
}

/// Error of a statement.
#[derive(Clone, Debug, thiserror::Error)]
pub enum OperatorError {
    /// The bearer token is missing or unknown.
    #[error("the operator's token is missing or unknown: set HOPLANDING_TOKEN or --token")]
    UnknownOperator,
    /// The operator's role does not permit the statement.
    #[error("operator `{operator}` has the role {role}, and this needs {needed}: ask an admin")]
    InsufficientRole {
        /// Name of the operator.
        operator: String,
        /// Role of the operator.
        role: String,
        /// Role that the statement requires.
        needed: String,
    },
    /// The text can't be parsed.
    #[error(transparent)]
    Parse(#[from] ParseError),
    /// The query can't be applied to its table.
    #[error(transparent)]
    Query(#[from] QueryError),
    /// The change conflicts with the configuration.
    #[error("change {0} refused: {1}")]
    Conflict(ChangeId, ChangeConflict),
    /// The log is unavailable and nothing was changed.
    #[error("the platform's log is out of reach, so nothing was changed: try again later")]
    LogUnreachable,
    /// The change was not read back from the log within the time limit.
    #[error(
        "nobody can say yet whether change {0} took effect: ask `show changes where id = \"{0}\"` before repeating it"
    )]
    OutcomeUnknown(ChangeId),
    /// The named object does not exist.
    #[error("{0}")]
    NotFound(String),
}

impl AppEvent {
    /// Scheduler's id of one attempt of a request.
    ///
    /// Attempts of one request can be at the same target at once, so the request's id would not be unique.
    #[must_use]
    pub fn scheduler_id(call: CallId) -> RequestId {
        RequestId {
            gateway: call.request.gateway,
            counter: call.request.counter * 256 + u64::from(call.attempt % 256),
        }
    }
}
