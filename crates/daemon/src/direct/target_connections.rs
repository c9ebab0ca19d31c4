//! Connections to targets: a pool of idle ones, and single requests over one of them.
//!
//! This uses `hyper`'s connection interface instead of the pooling client built on it, because that client hides how old a
//! connection is, who closed it, and what came after an answer.

use crate::{
    clock,
    direct::{fleet::FleetState, metrics::ConnectResult},
};
use bytes::Bytes;
use hoplanding_core::{
    direct::catalog::TargetEntry,
    ids::{Instant, TargetName, TargetRun},
};
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    body::Incoming,
    client::conn::http1::{Builder, SendRequest},
};
use hyper_util::rt::TokioIo;
use std::{
    collections::HashMap,
    io,
    net::{IpAddr, SocketAddr},
    sync::{Arc, Mutex},
    time::Duration,
};
use tokio::{
    net::{TcpSocket, TcpStream},
    time::{error::Elapsed, timeout},
};

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
        /// Whether the target's address refused the connection, so that nothing listens there.
        is_refused: bool,
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

/// A connection to one target.
#[derive(Debug)]
pub struct TargetConnection {
    sender: SendRequest<Full<Bytes>>,
    address: SocketAddr,
    /// Target and life to which the connection belongs. It is unusable after that life ends, even if it was not closed.
    run: TargetRun,
}

#[derive(Debug)]
struct IdleConnection {
    connection: TargetConnection,
    since: Instant,
    until: Instant,
}

/// Idle connections to targets, by address.
#[derive(Debug)]
pub struct ConnectionPool {
    fleet: Arc<FleetState>,
    /// Address from which targets are connected to.
    source: Option<IpAddr>,
    idle: Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>,
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
    /// An empty pool. New connections come from the address `source` if it is set.
    #[must_use]
    pub fn new(fleet: Arc<FleetState>, source: Option<IpAddr>) -> Self {
        Self {
            fleet,
            source,
            idle: Mutex::default(),
        }
    }

    /// Takes an idle connection to a target, or makes a new one within the time limit `within`.
    ///
    /// # Errors
    /// [`SendError::NotSent`] if no connection can be made in time.
    pub async fn take(
        &self,
        run: &TargetRun,
        address: SocketAddr,
        reuse: ReuseRule,
        within: Duration,
    ) -> Result<TargetConnection, SendError> {
        if let Some(connection) = self.take_idle(run, address, reuse) {
            return Ok(connection);
        }
        self.connect(run, address, within).await
    }

    async fn connect(
        &self,
        run: &TargetRun,
        address: SocketAddr,
        within: Duration,
    ) -> Result<TargetConnection, SendError> {
        let not_sent = |cause: String, is_refused| SendError::NotSent {
            target: run.name.clone(),
            cause,
            is_refused,
        };
        let connected = timeout(within, open_stream(self.source, address)).await;
        self.fleet.metrics.count_connect(connect_result(&connected));
        let stream = connected
            .map_err(|_| not_sent(format!("not connected within {within:?}"), false))?
            .map_err(|error| {
                let is_refused = error.kind() == io::ErrorKind::ConnectionRefused;
                not_sent(error.to_string(), is_refused)
            })?;
        let (sender, connection) = Builder::new()
            .max_buf_size(READ_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|error| not_sent(error.to_string(), false))?;
        // The task ends when the sender is dropped; an error is reported to the call under way.
        tokio::spawn(async move {
            let _ = connection.await;
        });
        Ok(TargetConnection {
            sender,
            address,
            run: run.clone(),
        })
    }

    fn take_idle(
        &self,
        run: &TargetRun,
        address: SocketAddr,
        reuse: ReuseRule,
    ) -> Option<TargetConnection> {
        if reuse == ReuseRule::Never {
            return None;
        }
        let now = clock::now();
        let mut idle = self
            .idle
            .lock()
            .expect("no thread panics while it holds the lock");
        let connections = idle.get_mut(&address)?;
        connections.retain(|idle| {
            now < idle.until && !idle.connection.sender.is_closed() && idle.connection.run == *run
        });
        // The target is least likely to have closed the connection that was used last.
        let newest = connections.pop()?;
        let is_fresh = now.since(newest.since) <= MAX_FRESH_IDLE;
        if (reuse == ReuseRule::FreshOnly && !is_fresh) || !newest.connection.sender.is_ready() {
            return None;
        }
        Some(newest.connection)
    }

    /// Returns a connection after a complete answer. Keeps up to `share` idle connections to its target; `keep_alive` is the time
    /// that the target stated.
    pub fn put_back(
        &self,
        connection: TargetConnection,
        keep_alive: Option<Duration>,
        share: usize,
    ) {
        if connection.sender.is_closed() {
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

    /// Closes connections that have been idle for too long.
    pub fn close_expired(&self) {
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

/// Connects to a target, from the address `source` if it is set.
async fn open_stream(source: Option<IpAddr>, address: SocketAddr) -> io::Result<TcpStream> {
    let stream = match source {
        None => TcpStream::connect(address).await?,
        Some(source) => {
            let socket = if address.is_ipv4() {
                TcpSocket::new_v4()?
            } else {
                TcpSocket::new_v6()?
            };
            socket.bind(SocketAddr::new(source, 0))?;
            socket.connect(address).await?
        }
    };
    stream.set_nodelay(true)?;
    Ok(stream)
}

fn connect_result(connected: &Result<io::Result<TcpStream>, Elapsed>) -> ConnectResult {
    match connected {
        Ok(Ok(_)) => ConnectResult::Connected,
        Err(_) => ConnectResult::TimedOut,
        Ok(Err(error)) => match error.kind() {
            io::ErrorKind::ConnectionRefused => ConnectResult::Refused,
            io::ErrorKind::ConnectionReset => ConnectResult::Reset,
            io::ErrorKind::TimedOut => ConnectResult::TimedOut,
            _ => ConnectResult::Failed,
        },
    }
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
    reuse: ReuseRule,
    within: Duration,
    answer_bytes: usize,
) -> Result<(StatusCode, Bytes), SendError> {
    let mut connection = pool
        .take(&entry.run(), entry.address, reuse, within)
        .await?;
    let response = connection.send(request).await?;
    let status = response.status();
    // A misdirected answer comes from another target at the same address.
    let notice = (status != StatusCode::MISDIRECTED_REQUEST)
        .then(|| fleet.apply_target_notice(&entry.run(), status, response.headers()));
    let body = Limited::new(response.into_body(), answer_bytes)
        .collect()
        .await
        .map_err(|error| SendError::Unanswered {
            target: entry.name.clone(),
            cause: error.to_string(),
        })?
        .to_bytes();
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
    pub async fn send(&mut self, request: TargetRequest) -> Result<Response<Incoming>, SendError> {
        let response = self.sender.try_send_request(request).await;
        response.map_err(|mut error| {
            let is_unsent = error.take_message().is_some();
            let cause = error.error().to_string();
            let target = self.run.name.clone();
            if is_unsent {
                SendError::NotSent {
                    target,
                    cause,
                    is_refused: false,
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
}
