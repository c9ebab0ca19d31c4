//! What the event loop is told, and what it answers.

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

/// Something that the event loop is told.
pub enum AppEvent {
    /// Time has passed.
    Tick,
    /// Records were read.
    LogRead(LogBatch),
    /// Records expired before they were read; the earliest that is kept.
    LogExpired(LogOffset),
    /// The log is out of reach.
    LogUnavailable(String),
    /// What became of appends.
    Appended(Vec<u64>, AppendOutcome),
    /// The platform's list of VMs.
    VmsListed(Vec<ListedVm>),
    /// A link that this daemon dialled is up.
    LinkUp(VmName),
    /// Nobody listens at a peer's address.
    LinkRefused(VmName),
    /// A message on a link that this daemon dialled.
    PeerReply(VmName, Box<PeerMessage>),
    /// A message on a link that a peer dialled, and the way back.
    PeerRequest(VmName, Box<PeerMessage>, mpsc::Sender<PeerMessage>),
    /// Who sends a request, and what does its model mean?
    Admit(
        AdmissionRequest,
        oneshot::Sender<Result<Admission, AdmissionError>>,
    ),
    /// The adapters that a caller may ask for.
    ListModels(
        String,
        oneshot::Sender<Result<Vec<(AdapterVersion, bool)>, AdmissionError>>,
    ),
    /// Issue a token.
    IssueToken(
        String,
        oneshot::Sender<Result<IdempotencyToken, AdmissionError>>,
    ),
    /// Serve a request to its end.
    Submit(Box<SubmitRequest>, Arc<CallBuffer>),
    /// Where does a request go?
    Route(
        RouteRequest,
        oneshot::Sender<Result<SelectedRoute, NotRunReason>>,
    ),
    /// May a request with a token or key run?
    BeginIdempotent(DedupKey, u64, oneshot::Sender<IdempotencyDecision>),
    /// A request with a token or key ended.
    EndIdempotent(DedupKey, IdempotentOutcome),
    /// Claim a caller's own key.
    ClaimKey(KeyHash, u64, oneshot::Sender<KeyClaimResult>),
    /// A request that this gateway admitted ended.
    RequestEnded(CallerName),
    /// Run a request on a target that this daemon holds.
    Execute(Box<ExecuteRequest>, Arc<CallBuffer>),
    /// Nobody wants the answer of a call any more.
    CallAbandoned(CallId),
    /// The first token of a call came.
    FirstToken(CallId, TargetName),
    /// A call's stream ended.
    StreamEnded(CallId, TargetName, StreamEnd),
    /// An order to a target ended.
    OrderDone(OrderReport),
    /// A query or command.
    Operator(
        OperatorRequest,
        oneshot::Sender<Result<OperatorResponse, OperatorError>>,
    ),
    /// Whether the daemon is ready for work.
    IsReady(oneshot::Sender<bool>),
    /// Begin a planned stop; answered when it is over.
    Stop(oneshot::Sender<StopReport>),
}

/// What a planned stop left.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StopReport {
    /// Requests that were still open.
    pub open_requests: usize,
    /// Targets that were not handed over.
    pub remaining_targets: usize,
}

/// A caller's request before it is understood.
#[derive(Clone, Debug)]
pub struct AdmissionRequest {
    /// The bearer token.
    pub bearer: String,
    /// What is asked for.
    pub subject: AdmissionSubject,
    /// Class that the caller asks for.
    pub class: Option<PriorityClass>,
}

/// What a request asks for.
#[derive(Clone, Debug)]
pub enum AdmissionSubject {
    /// An adapter, with or without version.
    Model(String),
    /// A call of a plain service: service, method, path.
    Service(ServiceName, String, String),
}

/// A request that is understood.
#[derive(Clone, Debug)]
pub struct Admission {
    /// The caller.
    pub caller: CallerName,
    /// Its class.
    pub class: PriorityClass,
    /// The adapter and version, with its rule; for a service only the rule counts.
    pub resolved: ResolvedModel,
}

/// Why a request is not admitted.
#[derive(Clone, Debug, thiserror::Error)]
pub enum AdmissionError {
    /// Nobody knows the token.
    #[error(
        "the bearer token is missing or unknown: send `Authorization: Bearer TOKEN` with the token of your service"
    )]
    UnknownCaller,
    /// The model can't be had.
    #[error(transparent)]
    Model(#[from] ResolveError),
    /// The caller has no right to the service.
    #[error(
        "caller `{0}` has no right to service `{1}`: ask an operator for `allow {0} on service {1}`"
    )]
    NoServiceRight(CallerName, ServiceName),
    /// There is no such service.
    #[error("service `{0}` does not exist: ask an operator which services there are")]
    UnknownService(ServiceName),
    /// It is not run.
    #[error(transparent)]
    NotRun(#[from] NotRunReason),
}

/// A request that looks for a target.
#[derive(Clone, Debug)]
pub struct RouteRequest {
    /// The adapter and version; none for a plain service.
    pub model: Option<AdapterVersion>,
    /// The service; none for an engine.
    pub service: Option<ServiceName>,
    /// A target that it must be; for the rest of a stream.
    pub target: Option<TargetName>,
    /// Its class.
    pub class: PriorityClass,
    /// Output tokens that it may generate.
    pub output_tokens: u32,
    /// Targets that were tried in vain.
    pub avoid: Vec<TargetName>,
}

/// Where a request goes.
#[derive(Clone, Debug)]
pub struct SelectedRoute {
    /// The target.
    pub target: TargetName,
    /// The way to its holder.
    pub via: RouteVia,
}

/// The way to a holder.
#[derive(Clone, Debug)]
pub enum RouteVia {
    /// This daemon is the holder.
    Local,
    /// Over a link.
    Link(PeerLink),
}

/// Whether a request with a token or key may run.
#[derive(Debug)]
pub enum IdempotencyDecision {
    /// It may.
    Run,
    /// It ran; its answer.
    Replay(Arc<Vec<CallFrame>>),
    /// It runs; the answer comes here, or never if it could not be kept.
    Join(oneshot::Receiver<Option<Arc<Vec<CallFrame>>>>),
    /// It ran, or may have, and nobody can say with what outcome.
    Unknown(String),
    /// Another daemon has to be asked.
    Forward(PeerLink),
    /// The token is wrong.
    InvalidToken(TokenError),
}

/// How the use of a token or key ended.
#[derive(Clone, Debug)]
pub enum IdempotentOutcome {
    /// It was proved not run: the token may be used again.
    NotRun,
    /// It was answered, with frames to be kept.
    Answered(Arc<Vec<CallFrame>>),
    /// Nobody knows, or the answer is too large to be kept.
    AnswerLost,
}

/// What became of a claim.
#[derive(Debug)]
pub enum KeyClaimResult {
    /// This daemon runs the request.
    Won,
    /// Another daemon has to be asked.
    Forward(PeerLink),
    /// The daemon that runs it, or ran it, is gone.
    HolderGone(DaemonRef),
    /// The key stands for another request.
    KeyReused,
    /// The log is out.
    NotClaimed,
}

/// How a stream ended, for the scheduler.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamEnd {
    /// With all its tokens, from this run of the engine.
    Complete {
        /// The engine's run.
        boot: u64,
    },
    /// Otherwise.
    Ended,
    /// It broke off.
    Broken,
    /// The target refused to run it.
    Refused,
    /// No connection could be made.
    Unreachable,
    /// The target answered with another adapter.
    WrongModel,
}

/// An order to a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderKind {
    /// Present the token.
    Present,
    /// List adapters and streams.
    List,
    /// Load an adapter.
    Load(AdapterVersion),
    /// Unload an adapter.
    Unload(AdapterVersion),
    /// Ask for the streams of a predecessor.
    AskSettled(FencingToken),
}

/// What became of an order.
#[derive(Debug)]
pub struct OrderReport {
    /// The target.
    pub target: TargetName,
    /// Token under which it was sent.
    pub token: FencingToken,
    /// The order.
    pub kind: OrderKind,
    /// Orders that had been sent before it.
    pub epoch: u64,
    /// How long it took.
    pub took: std::time::Duration,
    /// The target's run, and its listing where asked for.
    pub result: Result<(u64, Option<EngineListing>), OrderError>,
}

/// A query or command of an operator.
#[derive(Clone, Debug)]
pub struct OperatorRequest {
    /// The bearer token.
    pub bearer: String,
    /// The text.
    pub text: String,
}

/// The answer to an operator.
#[derive(Clone, Debug)]
pub enum OperatorResponse {
    /// Rows.
    Table(DataTable),
    /// A change is in force at this daemon since this offset.
    Accepted(ChangeId, LogOffset),
}

/// Why an operator gets no answer.
#[derive(Clone, Debug, thiserror::Error)]
pub enum OperatorError {
    /// Nobody knows the token.
    #[error("the operator's token is missing or unknown: set HOPLANDING_TOKEN or --token")]
    UnknownOperator,
    /// The role does not suffice.
    #[error("operator `{operator}` has the role {role}, and this needs {needed}: ask an admin")]
    InsufficientRole {
        /// The operator.
        operator: String,
        /// Its role.
        role: String,
        /// The role that is needed.
        needed: String,
    },
    /// The text is no statement.
    #[error(transparent)]
    Parse(#[from] ParseError),
    /// The query can't be answered.
    #[error(transparent)]
    Query(#[from] QueryError),
    /// The change was refused.
    #[error("change {0} refused: {1}")]
    Conflict(ChangeId, ChangeConflict),
    /// The log is out.
    #[error("the platform's log is out of reach, so nothing was changed: try again later")]
    LogUnavailable,
    /// The answer was lost and the log does not show the change yet.
    #[error(
        "nobody can say yet whether change {0} took effect: ask `show changes where id = \"{0}\"` before repeating it"
    )]
    OutcomeUnknown(ChangeId),
    /// There is no such thing.
    #[error("{0}")]
    NotFound(String),
}

impl AppEvent {
    /// The scheduler's id of one attempt of a request: attempts of one request may meet at one target.
    #[must_use]
    pub fn scheduler_id(call: CallId) -> RequestId {
        RequestId {
            gateway: call.request.gateway,
            counter: call.request.counter * 256 + u64::from(call.attempt % 256),
        }
    }
}
