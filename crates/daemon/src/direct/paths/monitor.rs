//! Connections of this VM to targets, and checks of its path to each zone.
//!
//! A check asks a few targets of the zone at once; the path is lost if none of them answers. Concurrent checks of a zone
//! share one result, so that calls whose connections failed do not each start their own.

use crate::{
    clock,
    direct::{
        fleet::FleetState,
        metrics::{AnswerBound, ConnectResult},
        paths::watched_stream::WatchedStream,
        target_connections::TargetRequest,
    },
    event,
    events::Event,
};
use futures_util::{StreamExt, stream::FuturesUnordered};
use hoplanding_core::{
    direct::{
        catalog::{TargetEntry, TargetStage},
        config::ServiceRule,
        paths::{PathChange, PathTable},
    },
    ids::{AvailabilityZone, Instant, TargetName},
};
use hoplanding_platform::{
    answer_heads::{HeadFault, HeadGuard},
    orders::{encode_health_check, encode_report_request},
};
use hyper::client::conn::http1::Builder;
use hyper_util::rt::TokioIo;
use rand::seq::SliceRandom;
use std::{
    collections::HashMap,
    fmt, io,
    net::{IpAddr, SocketAddr},
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};
use tokio::{
    io::Interest,
    net::{TcpSocket, TcpStream},
    sync::{Mutex as AsyncMutex, watch},
    time::{error::Elapsed, interval, timeout},
};

/// Interval at which due checks are started.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Targets that one check asks.
const MAX_CHECKED_TARGETS: usize = 3;
/// Targets without which a check shows nothing: the only one that is asked may have ended.
const MIN_CHECKED_TARGETS: usize = 2;
/// Time limit of a check. Targets answer within a few milliseconds.
const CHECK_TIMEOUT: Duration = Duration::from_millis(150);
/// Read buffer of a check's connection.
const READ_BUFFER_BYTES: usize = 16 * 1024;
/// Time for which a connection to a target without a health check must stay open to count as an answer.
const MIN_OPEN_TIME: Duration = Duration::from_millis(15);

/// Where a connection goes.
#[derive(Clone, Copy, Debug)]
pub struct TargetSite<'a> {
    /// Zone of the target.
    pub zone: &'a AvailabilityZone,
    /// Address of the target.
    pub address: SocketAddr,
}

impl<'a> From<&'a TargetEntry> for TargetSite<'a> {
    fn from(entry: &'a TargetEntry) -> Self {
        Self {
            zone: &entry.zone,
            address: entry.address,
        }
    }
}

/// A target that a check asks.
#[derive(Debug)]
struct CheckedTarget {
    entry: Arc<TargetEntry>,
    /// Request that it answers; none if an open connection has to suffice.
    request: Option<TargetRequest>,
}

/// How far targets came that did not answer a check. Silent targets are told apart from a zone that can't be reached.
#[derive(Clone, Copy, Debug, Default)]
struct FailedChecks {
    /// Targets that accepted a connection and sent nothing in time.
    silent: usize,
    /// Targets that accepted a connection and closed it.
    closed: usize,
    /// Targets to which no connection was made in time.
    unconnected: usize,
}

impl fmt::Display for FailedChecks {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            silent,
            closed,
            unconnected,
        } = self;
        write!(
            f,
            "{silent} accepted a connection and stayed silent, {closed} closed it, {unconnected} could not be connected to"
        )
    }
}

/// Why a connection to a target was not made.
#[derive(Debug, thiserror::Error)]
pub enum ConnectFault {
    /// The target's address refused the connection, so nothing listens there.
    #[error("the target's address refuses connections")]
    Refused,
    /// The connection failed, although the path to the target's zone is not lost.
    #[error("{0}")]
    Failed(String),
    /// No target of the zone can be reached from this VM.
    #[error("no target of zone {0} answers this VM")]
    PathLost(AvailabilityZone),
}

/// Makes connections to targets, and watches the path to each zone.
#[derive(Debug)]
pub struct PathMonitor {
    fleet: Arc<FleetState>,
    /// Address from which targets are connected to.
    source: Option<IpAddr>,
    table: Mutex<PathTable>,
    checks: Mutex<HashMap<AvailabilityZone, Arc<AsyncMutex<()>>>>,
    changes: watch::Sender<u64>,
}

impl PathMonitor {
    /// A monitor of paths that are not known to be lost. Connections come from the address `source` if it is set.
    #[must_use]
    pub fn new(fleet: Arc<FleetState>, source: Option<IpAddr>) -> Self {
        Self {
            fleet,
            source,
            table: Mutex::default(),
            checks: Mutex::default(),
            changes: watch::channel(0).0,
        }
    }

    /// Runs the due checks until the runtime is dropped.
    pub async fn run(self: Arc<Self>) {
        let mut tick = interval(TICK_INTERVAL);
        loop {
            tick.tick().await;
            let zones = self.table().due_checks(clock::now());
            for zone in zones {
                let monitor = Arc::clone(&self);
                tokio::spawn(async move { monitor.check(&zone, clock::now(), true).await });
            }
        }
    }

    fn table(&self) -> MutexGuard<'_, PathTable> {
        self.table
            .lock()
            .expect("no thread panics while it holds the lock")
    }

    /// Whether the path to a zone's targets is lost.
    #[must_use]
    pub fn is_lost(&self, zone: &AvailabilityZone) -> bool {
        self.table().is_lost(zone)
    }

    /// Time since which the path to a zone's targets has been lost.
    #[must_use]
    pub fn lost_for(&self, zone: &AvailabilityZone) -> Option<Duration> {
        let since = self.table().lost_since(zone)?;
        Some(clock::now().since(since))
    }

    /// Whether the path to a zone's targets was neither lost nor restored lately.
    #[must_use]
    pub fn is_stable(&self, zone: &AvailabilityZone) -> bool {
        self.table().is_stable(zone, clock::now())
    }

    /// Zones whose path is lost.
    #[must_use]
    pub fn lost_zones(&self) -> Vec<AvailabilityZone> {
        self.table().lost_zones().cloned().collect()
    }

    /// Whether a connection that was last used at `used_at` was in use before the path was last restored, so that it may
    /// be dead.
    #[must_use]
    pub fn is_outdated(&self, zone: &AvailabilityZone, used_at: Instant) -> bool {
        self.table().restored_at(zone) >= used_at
    }

    /// Records that a target sent something over a connection that was opened at `opened_at`.
    pub fn record_heard(&self, zone: &AvailabilityZone, opened_at: Instant) {
        self.table().record_heard(zone, opened_at, clock::now());
    }

    /// Logs and counts a target that exceeded a bound before the head of its answer.
    pub fn record_head_fault(&self, target: &TargetName, fault: HeadFault) {
        event!(Event::AnswerUnbounded, "at {target}: {fault}");
        self.fleet.metrics.count_over_bound(AnswerBound::Head);
    }

    /// Counts a call that waits for the head of an answer, until the guard is dropped.
    #[must_use]
    pub fn wait_guard(self: &Arc<Self>, zone: &AvailabilityZone) -> WaitGuard {
        self.table().record_wait(zone, clock::now());
        WaitGuard {
            monitor: Arc::clone(self),
            zone: zone.clone(),
        }
    }

    /// Waits until the path to a zone's targets is lost.
    pub async fn wait_until_lost(&self, zone: &AvailabilityZone) {
        self.wait_for(zone, true).await;
    }

    /// Waits until there is a path to a zone's targets.
    pub async fn wait_until_restored(&self, zone: &AvailabilityZone) {
        self.wait_for(zone, false).await;
    }

    async fn wait_for(&self, zone: &AvailabilityZone, is_lost: bool) {
        let mut changes = self.changes.subscribe();
        // The sender lives as long as `self`.
        let _ = changes.wait_for(|_| self.is_lost(zone) == is_lost).await;
    }

    /// Connects to a target within a time limit. If that fails, finds out first whether the path is lost.
    ///
    /// # Errors
    /// Why no connection was made.
    pub async fn connect(
        self: &Arc<Self>,
        site: TargetSite<'_>,
        within: Duration,
    ) -> Result<WatchedStream, ConnectFault> {
        let attempted_at = clock::now();
        let fault = match self.open_stream(site.address, within).await {
            Ok(stream) => {
                let monitor = Arc::clone(self);
                return Ok(WatchedStream::new(stream, monitor, site.zone.clone()));
            }
            Err(fault) => fault,
        };
        self.check_after_failure(site.zone, attempted_at).await;
        if self.is_lost(site.zone) {
            return Err(ConnectFault::PathLost(site.zone.clone()));
        }
        Err(fault)
    }

    async fn open_stream(
        &self,
        address: SocketAddr,
        within: Duration,
    ) -> Result<TcpStream, ConnectFault> {
        let connected = timeout(within, open_socket(self.source, address)).await;
        let result = connect_result(&connected);
        self.fleet.metrics.count_connect(result);
        match connected {
            Ok(Ok(stream)) => Ok(stream),
            Ok(Err(_)) if result == ConnectResult::Refused => Err(ConnectFault::Refused),
            Ok(Err(error)) => Err(ConnectFault::Failed(error.to_string())),
            Err(_) => Err(ConnectFault::Failed(format!(
                "not connected within {within:?}"
            ))),
        }
    }

    /// Checks the path to a zone after a connection that was made at `opened_at` failed.
    pub async fn check_after_failure(&self, zone: &AvailabilityZone, opened_at: Instant) {
        self.check(zone, opened_at, false).await;
    }

    /// Whether targets of a zone answer this VM, by what was heard of them lately or by a check. A zone with too few targets
    /// for a check counts as answering.
    pub async fn is_zone_answering(&self, zone: &AvailabilityZone) -> bool {
        let now = clock::now();
        let is_heard = self.table().is_heard_lately(zone, now);
        if !is_heard {
            self.check(zone, now, false).await;
        }
        !self.is_lost(zone)
    }

    /// Checks the path to a zone, unless its state is known since `attempted_at`. A check that is `due` runs in any case.
    async fn check(&self, zone: &AvailabilityZone, attempted_at: Instant, is_due: bool) {
        let lock = {
            let mut checks = self
                .checks
                .lock()
                .expect("no thread panics while it holds the lock");
            Arc::clone(checks.entry(zone.clone()).or_default())
        };
        if is_due && lock.try_lock().is_err() {
            return;
        }
        let _running = lock.lock().await;
        let is_known = self
            .table()
            .is_known_since(zone, attempted_at, clock::now());
        if is_known && !is_due {
            return;
        }
        let targets = self.targets_to_check(zone);
        if targets.len() < MIN_CHECKED_TARGETS {
            return;
        }
        let checked = self.check_targets(&targets).await;
        let has_answer = checked.is_ok();
        let change = self.table().record_check(zone, has_answer, clock::now());
        match change {
            Some(PathChange::Lost) => {
                event!(
                    Event::PathLost,
                    "{zone}: none of {} targets answers within {CHECK_TIMEOUT:?}: {}; calls to them go through other VMs",
                    targets.len(),
                    checked.err().unwrap_or_default()
                );
            }
            Some(PathChange::Restored(after)) => {
                event!(Event::PathRestored, "{zone} after {after:?}");
                self.fleet.record_restored_path(zone);
            }
            None => return,
        }
        self.changes.send_modify(|count| *count += 1);
    }

    /// Targets that show whether the path to a zone is lost. Those that answer a request are preferred, as an open
    /// connection proves less. A zone with too few targets is checked together with others.
    fn targets_to_check(&self, zone: &AvailabilityZone) -> Vec<CheckedTarget> {
        let mut targets: Vec<_> = {
            let tables = self.fleet.tables();
            let services = tables.active.as_ref().map(|active| &active.config.services);
            let service =
                |entry: &TargetEntry| services.and_then(|services| services.get(&entry.service));
            let listed = tables.catalog.iter();
            listed
                .filter(|entry| entry.stage == TargetStage::Ready)
                .map(|entry| CheckedTarget {
                    entry: Arc::clone(entry),
                    request: service(entry).and_then(|service| check_request(entry, service)),
                })
                .collect()
        };
        let is_in_zone = |target: &CheckedTarget| target.entry.zone == *zone;
        retain_if_enough(&mut targets, is_in_zone);
        retain_if_enough(&mut targets, |target| target.request.is_some());
        targets.shuffle(&mut rand::rng());
        targets.sort_by_key(|target| (!is_in_zone(target), target.request.is_none()));
        targets.truncate(MAX_CHECKED_TARGETS);
        targets
    }

    /// Asks targets until one of them answers.
    ///
    /// # Errors
    /// How far each of them came, if none answers.
    async fn check_targets(&self, targets: &[CheckedTarget]) -> Result<(), FailedChecks> {
        let mut answers: FuturesUnordered<_> = targets
            .iter()
            .map(|target| async {
                let mut is_connected = false;
                let answering = self.is_answering(target, &mut is_connected);
                let answered = timeout(CHECK_TIMEOUT, answering).await;
                (answered, is_connected)
            })
            .collect();
        let mut failed = FailedChecks::default();
        while let Some((answered, is_connected)) = answers.next().await {
            match answered {
                Ok(true) => return Ok(()),
                _ if !is_connected => failed.unconnected += 1,
                Ok(false) => failed.closed += 1,
                Err(_) => failed.silent += 1,
            }
        }
        Err(failed)
    }

    async fn is_answering(&self, target: &CheckedTarget, is_connected: &mut bool) -> bool {
        let entry = &target.entry;
        let opened_at = clock::now();
        let Ok(stream) = self.open_stream(entry.address, CHECK_TIMEOUT).await else {
            return false;
        };
        *is_connected = true;
        let is_answering = match &target.request {
            Some(request) => is_answered(stream, request.clone()).await,
            None => {
                // Any read, also one that fails, means that the connection was closed or reset.
                let closed = timeout(MIN_OPEN_TIME, stream.ready(Interest::READABLE));
                closed.await.is_err()
            }
        };
        if is_answering {
            self.record_heard(&entry.zone, opened_at);
        }
        is_answering
    }
}

/// Counts a call that waits for the head of an answer until dropped.
#[derive(Debug)]
pub struct WaitGuard {
    monitor: Arc<PathMonitor>,
    zone: AvailabilityZone,
}

impl Drop for WaitGuard {
    fn drop(&mut self) {
        self.monitor.table().record_wait_end(&self.zone);
    }
}

/// Keeps the targets that match, unless they are too few for a check.
fn retain_if_enough(targets: &mut Vec<CheckedTarget>, is_match: impl Fn(&CheckedTarget) -> bool) {
    let matching = targets.iter().filter(|target| is_match(target)).count();
    if matching >= MIN_CHECKED_TARGETS {
        targets.retain(is_match);
    }
}

/// Request that shows whether a target is reachable: for an engine's report, or its service's health check.
#[must_use]
pub fn check_request(entry: &TargetEntry, service: &ServiceRule) -> Option<TargetRequest> {
    match (&service.engine, &service.health_path) {
        (Some(_), _) => Some(encode_report_request(&entry.name)),
        (None, Some(path)) => encode_health_check(&entry.name, path),
        (None, None) => None,
    }
}

/// Whether a target answers a request, with whatever status or bytes.
async fn is_answered(stream: TcpStream, mut request: TargetRequest) -> bool {
    let heads = HeadGuard::default();
    heads.begin(&mut request);
    let handshake = Builder::new()
        .max_buf_size(READ_BUFFER_BYTES)
        .handshake(TokioIo::new(heads.guard(stream)));
    let Ok((mut sender, connection)) = handshake.await else {
        return false;
    };
    // The task ends when the sender is dropped; an error is reported to the request.
    tokio::spawn(async move {
        let _ = connection.await;
    });
    // Bytes that are no answer also show that there is a path.
    sender.send_request(request).await.is_ok() || heads.has_received()
}

/// Connects to a target, from the address `source` if it is set.
async fn open_socket(source: Option<IpAddr>, address: SocketAddr) -> io::Result<TcpStream> {
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
