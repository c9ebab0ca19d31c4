//! Connections to targets: a pool of idle ones, and single requests over one of them.
//!
//! This uses `hyper`'s connection interface instead of the pooling client built on it, because that client hides how old a
//! connection is, who closed it, and what came after an answer.

use crate::{
    clock,
    direct::{
        answer_buffers::record_fault,
        answer_checks::AnswerChecks,
        error_chain::ErrorChain,
        fleet::FleetState,
        paths::{
            monitor::{ConnectFault, PathMonitor, TargetSite, WaitGuard},
            tunnel_client::{TunnelClient, TunnelError, TunnelGuard},
        },
    },
};
use bytes::Bytes;
use hoplanding_core::{
    direct::catalog::TargetEntry,
    ids::{AvailabilityZone, Instant, TargetName, TargetRun, VmName},
};
use hoplanding_platform::{
    answer_heads::HeadGuard,
    message_heads::{is_final_status, names_call},
};
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::{
    body::Incoming,
    client::conn::http1::{Builder, SendRequest},
};
use hyper_util::rt::TokioIo;
use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};
use tokio::io::{AsyncRead, AsyncWrite};

/// Idle connections kept for one target at most.
const MAX_IDLE_CONNECTIONS: usize = 8;
/// Time for which an idle connection is kept if the target states no shorter one.
const DEFAULT_IDLE_TTL: Duration = Duration::from_millis(3_500);
/// Part of the keep-alive time stated by a target for which an idle connection is used.
const KEEP_ALIVE_FACTOR: f64 = 0.6;
/// Idle time up to which a connection is used for a call that may run only once. A connection that the target closes during the
/// send leaves it unknown whether the call ran.
const MAX_FRESH_IDLE: Duration = Duration::from_millis(400);
/// Read buffer of a connection.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// A request to a target, with its whole body.
pub type TargetRequest = Request<Full<Bytes>>;

/// Why a send brought no answer.
#[derive(Debug, thiserror::Error)]
pub enum SendError {
    /// The request was never handed to a transport, so it did not run.
    #[error("target {target} can't be reached ({cause}): check the target and the network to it")]
    NotSent {
        /// Name of the target.
        target: TargetName,
        /// Error of the transport, or the time limit that was exceeded.
        cause: String,
        /// Kind of the failure.
        reason: UnsentReason,
    },
    /// The request was sent and may have run.
    #[error(
        "target {target} sent no complete answer ({cause}): whether it ran the request is unknown"
    )]
    Unanswered {
        /// Name of the target.
        target: TargetName,
        /// Error of the transport, or the time limit that was exceeded.
        cause: String,
    },
}

/// Why a request was not handed to a transport.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnsentReason {
    /// The target's address refused the connection, so that nothing listens there.
    Refused,
    /// No connection was made although the path to the target's zone is not lost.
    Unreachable,
    /// This VM has lost the path to the target's zone, and no other VM made a connection. Says nothing about the target.
    PathLost,
}

/// A connection to one target.
#[derive(Debug)]
pub struct TargetConnection {
    sender: SendRequest<Full<Bytes>>,
    /// Bounds of the heads that the target sends.
    heads: HeadGuard,
    address: SocketAddr,
    zone: AvailabilityZone,
    opened_at: Instant,
    /// Present if another VM forwards the connection's bytes.
    tunnel: Option<TunnelGuard>,
    /// Target and life to which the connection belongs. It is unusable after that life ends, even if it was not closed.
    run: TargetRun,
}

#[derive(Debug)]
struct IdleConnection {
    connection: TargetConnection,
    since: Instant,
    until: Instant,
}

/// Which paths a connection may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PathRule {
    /// Through another VM if the own path is lost.
    Any,
    /// Only the own path.
    DirectOnly,
}

/// How a connection to a target is made.
#[derive(Clone, Copy, Debug)]
pub struct ConnectRule {
    /// Which idle connections may be used.
    pub reuse: ReuseRule,
    /// Which paths a new connection may take.
    pub path: PathRule,
    /// Time limit for connecting directly.
    pub within: Duration,
    /// Time for which the connection is needed.
    pub lifetime: Duration,
}

/// Idle connections to targets, by address.
#[derive(Debug)]
pub struct ConnectionPool {
    paths: Arc<PathMonitor>,
    tunnels: Arc<TunnelClient>,
    idle: Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>,
    /// Which targets answer this VM.
    pub answer_checks: AnswerChecks,
}

/// Which idle connections a send may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReuseRule {
    /// Any that the target should still keep open.
    Any,
    /// Only one that was in use up to 400 ms ago.
    FreshOnly,
    /// None; a new connection is made.
    Never,
}

impl ConnectionPool {
    /// An empty pool.
    #[must_use]
    pub fn new(paths: Arc<PathMonitor>, tunnels: Arc<TunnelClient>) -> Self {
        Self {
            paths,
            tunnels,
            idle: Mutex::default(),
            answer_checks: AnswerChecks::default(),
        }
    }

    /// Takes an idle connection to a target, or makes a new one. While the path to the target's zone is lost, the
    /// connection goes through another VM.
    ///
    /// # Errors
    /// [`SendError::NotSent`] if no connection can be made in time.
    pub async fn take(
        &self,
        entry: &TargetEntry,
        rule: ConnectRule,
    ) -> Result<TargetConnection, SendError> {
        if !self.paths.is_lost(&entry.zone) {
            if let Some(connection) = self.take_idle(entry, rule.reuse) {
                return Ok(connection);
            }
            match self.connect(entry, rule.within).await {
                Err(SendError::NotSent {
                    reason: UnsentReason::PathLost,
                    ..
                }) => {}
                connected => return connected,
            }
        }
        match rule.path {
            PathRule::Any => self.connect_through_peer(entry, rule.lifetime).await,
            PathRule::DirectOnly => {
                let fault = ConnectFault::PathLost(entry.zone.clone());
                Err(not_sent(entry, fault.to_string(), UnsentReason::PathLost))
            }
        }
    }

    /// Checks the path to a zone's targets now.
    pub async fn check_path(&self, zone: &AvailabilityZone) {
        self.paths.check_after_failure(zone, clock::now()).await;
    }

    /// Whether the path to a zone's targets is lost.
    #[must_use]
    pub fn is_path_lost(&self, zone: &AvailabilityZone) -> bool {
        self.paths.is_lost(zone)
    }

    /// Whether the path to a zone's targets has been lost for a time, while another VM of that zone has one.
    #[must_use]
    pub fn is_only_own_path_lost(&self, zone: &AvailabilityZone, min_time: Duration) -> bool {
        self.paths
            .lost_for(zone)
            .is_some_and(|lost_for| lost_for >= min_time)
            && self.tunnels.has_proven_peer(zone, Some(zone))
    }

    /// Zones whose path is lost and for which no other VM is left to ask.
    #[must_use]
    pub fn closed_zones(&self) -> Vec<AvailabilityZone> {
        let mut zones = self.paths.lost_zones();
        zones.retain(|zone| self.tunnels.has_no_peer(zone));
        zones
    }

    /// Makes a connection's call wait for the head of an answer.
    fn wait_guard(&self, connection: &TargetConnection) -> Option<WaitGuard> {
        let is_direct = connection.tunnel.is_none();
        is_direct.then(|| self.paths.wait_guard(&connection.zone))
    }

    /// Sends a request over a connection and waits for the head of the answer. After a failure, the path is checked before
    /// the failure is returned.
    ///
    /// # Errors
    /// As for [`TargetConnection::send`].
    pub async fn send(
        &self,
        connection: &mut TargetConnection,
        request: TargetRequest,
    ) -> Result<Response<Incoming>, SendError> {
        let waiting = self.wait_guard(connection);
        let opened_at = connection.opened_at;
        let answered = connection.send(request).await;
        if answered.is_err()
            && let Some(fault) = connection.heads.fault()
        {
            self.paths.record_head_fault(connection.target(), fault);
        }
        if answered.is_err() && waiting.is_some() {
            let zone = &connection.zone;
            self.paths.check_after_failure(zone, opened_at).await;
        }
        answered
    }

    /// Waits until the path to a zone's targets is lost.
    pub async fn wait_until_lost(&self, zone: &AvailabilityZone) {
        self.paths.wait_until_lost(zone).await;
    }

    /// Waits until there is a path to a zone's targets.
    pub async fn wait_until_restored(&self, zone: &AvailabilityZone) {
        self.paths.wait_until_restored(zone).await;
    }

    /// Connects to a target directly.
    async fn connect(
        &self,
        entry: &TargetEntry,
        within: Duration,
    ) -> Result<TargetConnection, SendError> {
        let connected = self.paths.connect(TargetSite::from(entry), within).await;
        let stream = connected.map_err(|fault| {
            let reason = match fault {
                ConnectFault::Refused => UnsentReason::Refused,
                ConnectFault::Failed(_) => UnsentReason::Unreachable,
                ConnectFault::PathLost(_) => UnsentReason::PathLost,
            };
            not_sent(entry, fault.to_string(), reason)
        })?;
        handshake(entry, stream, None).await
    }

    /// Connects to a target through another VM.
    async fn connect_through_peer(
        &self,
        entry: &TargetEntry,
        lifetime: Duration,
    ) -> Result<TargetConnection, SendError> {
        let opened = self.tunnels.open(TargetSite::from(entry), lifetime).await;
        let tunnel = opened.map_err(|error| {
            let reason = match error {
                TunnelError::NoPath => UnsentReason::PathLost,
                TunnelError::TargetRefused => UnsentReason::Refused,
                TunnelError::TargetUnreachable => UnsentReason::Unreachable,
            };
            not_sent(entry, error.to_string(), reason)
        })?;
        handshake(entry, tunnel.stream, Some(tunnel.guard)).await
    }

    fn take_idle(&self, entry: &TargetEntry, reuse: ReuseRule) -> Option<TargetConnection> {
        if reuse == ReuseRule::Never {
            return None;
        }
        let now = clock::now();
        let mut idle = self
            .idle
            .lock()
            .expect("no thread panics while it holds the lock");
        let connections = idle.get_mut(&entry.address)?;
        let run = entry.run();
        connections.retain(|idle| {
            now < idle.until
                && !idle.connection.sender.is_closed()
                && idle.connection.run == run
                && !self.paths.is_outdated(&entry.zone, idle.since)
        });
        // The target is least likely to have closed the connection that was used last.
        let newest = connections.pop()?;
        let is_fresh = now.since(newest.since) <= MAX_FRESH_IDLE;
        if (reuse == ReuseRule::FreshOnly && !is_fresh) || !newest.connection.sender.is_ready() {
            return None;
        }
        Some(newest.connection)
    }

    /// Returns a connection after a complete answer; one through another VM is closed. Keeps up to `share` idle connections to its target; `keep_alive` is the time
    /// that the target stated.
    pub fn put_back(
        &self,
        connection: TargetConnection,
        keep_alive: Option<Duration>,
        share: usize,
    ) {
        let is_direct = connection.tunnel.is_none();
        if !is_direct || connection.sender.is_closed() || self.paths.is_lost(&connection.zone) {
            return;
        }
        let now = clock::now();
        let ttl = keep_alive.map_or(DEFAULT_IDLE_TTL, |keep_alive| {
            keep_alive.mul_f64(KEEP_ALIVE_FACTOR).min(DEFAULT_IDLE_TTL)
        });
        let mut idle = self
            .idle
            .lock()
            .expect("no thread panics while it holds the lock");
        let connections = idle.entry(connection.address).or_default();
        connections.push(IdleConnection {
            connection,
            since: now,
            until: now.after(ttl),
        });
        while connections.len() > share.min(MAX_IDLE_CONNECTIONS) {
            connections.remove(0);
        }
    }

    /// Closes connections that have been idle for too long, and forgets old checks.
    pub fn close_expired(&self) {
        self.answer_checks.forget_unused();
        let now = clock::now();
        let mut idle = self
            .idle
            .lock()
            .expect("no thread panics while it holds the lock");
        idle.retain(|_, connections| {
            connections.retain(|idle| now < idle.until && !idle.connection.sender.is_closed());
            !connections.is_empty()
        });
    }

    /// Closes the idle connections to an address, after an answer over one of them belonged to another request.
    pub fn close(&self, address: SocketAddr) {
        let mut idle = self
            .idle
            .lock()
            .expect("no thread panics while it holds the lock");
        idle.remove(&address);
    }
}

fn not_sent(entry: &TargetEntry, cause: String, reason: UnsentReason) -> SendError {
    SendError::NotSent {
        target: entry.name.clone(),
        cause,
        reason,
    }
}

async fn handshake(
    entry: &TargetEntry,
    stream: impl AsyncRead + AsyncWrite + Send + Unpin + 'static,
    tunnel: Option<TunnelGuard>,
) -> Result<TargetConnection, SendError> {
    let heads = HeadGuard::default();
    let (sender, connection) = Builder::new()
        .max_buf_size(READ_BUFFER_BYTES)
        .handshake(TokioIo::new(heads.guard(stream)))
        .await
        .map_err(|error| {
            let cause = ErrorChain(&error).to_string();
            not_sent(entry, cause, UnsentReason::Unreachable)
        })?;
    // The task ends when the sender is dropped; an error is reported to the call under way.
    tokio::spawn(async move {
        let _ = connection.await;
    });
    Ok(TargetConnection {
        sender,
        heads,
        address: entry.address,
        zone: entry.zone.clone(),
        opened_at: clock::now(),
        tunnel,
        run: entry.run(),
    })
}

/// Sends a request of the gateway's own to a target, such as an order or a report request, and reads the whole answer.
///
/// # Errors
/// If no complete answer of at most `answer_bytes` came.
pub async fn exchange(
    fleet: &FleetState,
    pool: &ConnectionPool,
    entry: &TargetEntry,
    request: TargetRequest,
    rule: ConnectRule,
    answer_bytes: usize,
) -> Result<(StatusCode, Bytes), SendError> {
    let mut connection = pool.take(entry, rule).await?;
    let response = pool.send(&mut connection, request).await?;
    let status = response.status();
    let is_final = is_final_status(status);
    if !is_final || names_call(response.headers()) {
        pool.close(entry.address);
        let cause = if is_final {
            format!("an answer with status {status} to a call came in its place")
        } else {
            format!("the answer's status {status} is none")
        };
        return Err(SendError::Unanswered {
            target: entry.name.clone(),
            cause,
        });
    }
    // A misdirected answer comes from another target at the same address.
    let notice = (status != StatusCode::MISDIRECTED_REQUEST)
        .then(|| fleet.apply_target_notice(&entry.run(), status, response.headers()));
    let reservation = fleet.answer_buffers.reserve();
    let read = reservation.read_body(response.into_body(), answer_bytes);
    let body = read.await.map_err(|fault| {
        record_fault(fleet, &entry.name, "", &fault);
        SendError::Unanswered {
            target: entry.name.clone(),
            cause: fault.to_string(),
        }
    })?;
    if let Some(notice) = notice.filter(|notice| !notice.is_closing) {
        pool.put_back(connection, notice.idle_timeout, MAX_IDLE_CONNECTIONS);
    }
    Ok((status, body))
}

impl TargetConnection {
    /// Sends a request and waits for the head of the answer. The target may run the request from this call on.
    ///
    /// # Errors
    /// [`SendError::NotSent`] if the connection ended before it took the request, [`SendError::Unanswered`] if no head came.
    pub async fn send(
        &mut self,
        mut request: TargetRequest,
    ) -> Result<Response<Incoming>, SendError> {
        self.heads.begin(&mut request);
        let response = self.sender.try_send_request(request).await;
        if response.is_ok() {
            self.heads.end();
        }
        response.map_err(|mut error| {
            let is_unsent = error.take_message().is_some();
            let cause = ErrorChain(error.error()).to_string();
            let target = self.run.name.clone();
            if is_unsent {
                SendError::NotSent {
                    target,
                    cause,
                    reason: UnsentReason::Unreachable,
                }
            } else {
                SendError::Unanswered { target, cause }
            }
        })
    }

    /// Name of the target.
    #[must_use]
    pub fn target(&self) -> &TargetName {
        &self.run.name
    }

    /// The VM that forwards the connection's bytes, if another one does.
    #[must_use]
    pub fn forwarder(&self) -> Option<&VmName> {
        self.tunnel.as_ref().map(TunnelGuard::vm)
    }

    /// Zone of the target, if the connection depends on this VM's own path to it.
    #[must_use]
    pub fn direct_zone(&self) -> Option<&AvailabilityZone> {
        self.tunnel.is_none().then_some(&self.zone)
    }
}
