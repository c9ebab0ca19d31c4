//! Tunnels that this VM opens through other VMs to targets that it can't reach itself.
//!
//! While a zone's path is lost, the client looks for VMs that still have one, so that calls need not find them.

use crate::{
    clock,
    direct::{
        fleet::FleetState,
        message::{MESSAGE_VERSION, TunnelFault, TunnelRequest, VmMessage},
        metrics::TunnelResult,
        paths::monitor::{PathMonitor, TargetSite},
        vm_socket::{VmSocket, dial_socket, receive, send},
    },
    event,
    events::Event,
};
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt, future::ready};
use hoplanding_core::{
    direct::{
        catalog::TargetStage,
        millis,
        tunnel_peers::{PeerCandidate, PeerFault, TunnelPeers},
    },
    ids::{AvailabilityZone, Instant, VmName},
};
use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};
use tokio::{
    io::{AsyncRead, AsyncWrite, join},
    time::{interval, timeout},
};
use tokio_tungstenite::tungstenite::Message;
use tokio_util::io::{CopyToBytes, SinkWriter, StreamReader};

/// Time limit for opening a tunnel through one VM.
const OPEN_TIMEOUT: Duration = Duration::from_millis(350);
/// VMs that are asked for one connection.
const MAX_ASKED_VMS: usize = 3;
/// Pause between two searches for VMs with a path to a zone. It doubles with each search, as a whole zone may be partitioned
/// from all others.
const MIN_SEARCH_PAUSE: Duration = Duration::from_millis(250);
const MAX_SEARCH_PAUSE: Duration = Duration::from_secs(2);
/// VMs that are asked at once in a search.
const MAX_SEARCHED_VMS: usize = 3;
/// Lifetime of a tunnel that only shows whether a VM has a path.
const SEARCH_TTL: Duration = Duration::from_secs(1);
/// Time beyond a call's deadline after which its tunnel is closed.
const TTL_MARGIN: Duration = Duration::from_millis(500);

/// Bytes of a tunnel, in both directions.
pub trait TunnelIo: AsyncRead + AsyncWrite + Send + Unpin {}

impl<T: AsyncRead + AsyncWrite + Send + Unpin> TunnelIo for T {}

/// An open tunnel.
pub struct OpenTunnel {
    /// Its bytes.
    pub stream: Box<dyn TunnelIo>,
    /// Counts the tunnel while it is in use.
    pub guard: TunnelGuard,
}

/// Why no tunnel was opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TunnelError {
    /// No known VM has a path to the zone.
    #[error("no other VM is known to reach the zone")]
    NoPath,
    /// The target's address refuses connections of another VM, too.
    #[error("the target's address refuses connections of another VM as well")]
    TargetRefused,
    /// Another VM that reaches the zone does not reach the target either.
    #[error("another VM can't reach the target either")]
    TargetUnreachable,
}

/// Counts an open tunnel until dropped.
#[derive(Debug)]
pub struct TunnelGuard {
    client: Arc<TunnelClient>,
    /// The VM that serves the tunnel.
    vm: VmName,
}

impl TunnelGuard {
    /// The VM that serves the tunnel.
    #[must_use]
    pub fn vm(&self) -> &VmName {
        &self.vm
    }
}

impl Drop for TunnelGuard {
    fn drop(&mut self) {
        self.client.peers().record_close(&self.vm);
    }
}

/// Opens tunnels through other VMs.
#[derive(Debug)]
pub struct TunnelClient {
    fleet: Arc<FleetState>,
    paths: Arc<PathMonitor>,
    peers: Mutex<TunnelPeers>,
}

/// Pause until the next search.
#[derive(Clone, Copy, Debug, Default)]
struct SearchPause {
    pause: Duration,
    until: Instant,
}

impl SearchPause {
    /// Whether the pause is over; if so, a longer one begins.
    fn is_over(&mut self, now: Instant) -> bool {
        let is_over = now >= self.until;
        if is_over {
            self.pause = (self.pause * 2).clamp(MIN_SEARCH_PAUSE, MAX_SEARCH_PAUSE);
            self.until = now.after(self.pause);
        }
        is_over
    }
}

enum PeerAnswer {
    Opened(Box<VmSocket>),
    Refused(TunnelFault),
}

impl TunnelClient {
    /// A client that knows of no VM with a path yet.
    #[must_use]
    pub fn new(fleet: Arc<FleetState>, paths: Arc<PathMonitor>) -> Self {
        Self {
            fleet,
            paths,
            peers: Mutex::default(),
        }
    }

    /// Looks for VMs with a path to each zone whose path is lost, until the runtime is dropped.
    pub async fn run(self: Arc<Self>) {
        let mut tick = interval(MIN_SEARCH_PAUSE);
        let mut searches: HashMap<AvailabilityZone, SearchPause> = HashMap::new();
        loop {
            tick.tick().await;
            let zones = self.paths.lost_zones();
            searches.retain(|zone, _| zones.contains(zone));
            for zone in &zones {
                if self.has_proven_peer(zone, None) {
                    searches.remove(zone);
                } else if searches
                    .entry(zone.clone())
                    .or_default()
                    .is_over(clock::now())
                {
                    self.search(zone);
                }
            }
            if !zones.is_empty() {
                let known: Vec<_> = self.fleet.tables().vms.keys().cloned().collect();
                self.peers().retain(|vm| known.contains(vm));
            }
        }
    }

    fn peers(&self) -> MutexGuard<'_, TunnelPeers> {
        self.peers
            .lock()
            .expect("no thread panics while it holds the lock")
    }

    /// Asks some VMs for a connection to any target of a zone.
    fn search(self: &Arc<Self>, zone: &AvailabilityZone) {
        let Some(address) = self.any_target(zone) else {
            return;
        };
        for (vm, peer) in self.ranked(zone, MAX_SEARCHED_VMS) {
            let client = Arc::clone(self);
            let zone = zone.clone();
            tokio::spawn(async move {
                let site = TargetSite {
                    zone: &zone,
                    address,
                };
                // The result is recorded.
                drop(client.open_through(&vm, peer, site, SEARCH_TTL).await);
            });
        }
    }

    fn any_target(&self, zone: &AvailabilityZone) -> Option<SocketAddr> {
        let tables = self.fleet.tables();
        let mut targets = tables.catalog.iter();
        targets
            .find(|entry| entry.zone == *zone && entry.stage == TargetStage::Ready)
            .map(|entry| entry.address)
    }

    /// VMs that may have a path to a zone, the best first, with their addresses.
    fn ranked(&self, zone: &AvailabilityZone, count: usize) -> Vec<(VmName, SocketAddr)> {
        let tables = self.fleet.tables();
        let others = tables.vms.iter().filter(|(vm, _)| **vm != self.fleet.vm);
        let candidates = others.map(|(vm, record)| PeerCandidate {
            vm,
            zone: &record.zone,
        });
        let ranked = self
            .peers()
            .ranked(candidates, &self.fleet.zone, zone, clock::now());
        ranked
            .into_iter()
            .take(count)
            .filter_map(|vm| Some((vm.clone(), tables.vms.get(vm)?.address)))
            .collect()
    }

    /// Whether a VM, of the zone `of` if it is given, lately brought a connection to a target of `zone`.
    #[must_use]
    pub fn has_proven_peer(&self, zone: &AvailabilityZone, of: Option<&AvailabilityZone>) -> bool {
        let tables = self.fleet.tables();
        let peers = self.peers();
        let now = clock::now();
        let mut vms = tables.vms.iter();
        vms.any(|(vm, record)| {
            of.is_none_or(|of| record.zone == *of) && peers.is_proven(vm, zone, now)
        })
    }

    /// Whether no VM is known, or left to ask, that could reach a zone.
    #[must_use]
    pub fn has_no_peer(&self, zone: &AvailabilityZone) -> bool {
        self.ranked(zone, 1).is_empty()
    }

    /// Opens a tunnel to a target for a call that ends within `remaining`.
    ///
    /// # Errors
    /// If no VM reaches the target.
    pub async fn open(
        self: &Arc<Self>,
        site: TargetSite<'_>,
        remaining: Duration,
    ) -> Result<OpenTunnel, TunnelError> {
        let ttl = remaining + TTL_MARGIN;
        for (vm, address) in self.ranked(site.zone, MAX_ASKED_VMS) {
            match self.open_through(&vm, address, site, ttl).await {
                Ok(tunnel) => return Ok(tunnel),
                Err(TunnelError::NoPath) => {}
                Err(error) => return Err(error),
            }
        }
        Err(TunnelError::NoPath)
    }

    /// Opens a tunnel through one VM, and records the result.
    async fn open_through(
        self: &Arc<Self>,
        vm: &VmName,
        peer: SocketAddr,
        site: TargetSite<'_>,
        ttl: Duration,
    ) -> Result<OpenTunnel, TunnelError> {
        let asked = timeout(OPEN_TIMEOUT, self.ask(peer, site, ttl)).await;
        let now = clock::now();
        let metrics = &self.fleet.metrics;
        let (result, error) = match asked {
            Ok(Ok(PeerAnswer::Opened(socket))) => {
                metrics.count_tunnel(TunnelResult::Opened);
                let mut peers = self.peers();
                peers.record_success(vm, site.zone, now);
                peers.record_open(vm);
                return Ok(OpenTunnel {
                    stream: tunnel_stream(*socket),
                    guard: TunnelGuard {
                        client: Arc::clone(self),
                        vm: vm.clone(),
                    },
                });
            }
            Ok(Ok(PeerAnswer::Refused(fault))) => self.record_refusal(vm, site.zone, fault),
            Ok(Err(error)) => {
                event!(
                    Event::TunnelFailed,
                    "through {vm} to {}: {error}",
                    site.address
                );
                self.record_unreachable(vm, site.zone)
            }
            Err(_) => {
                event!(
                    Event::TunnelFailed,
                    "through {vm} to {}: not open within {OPEN_TIMEOUT:?}",
                    site.address
                );
                self.record_unreachable(vm, site.zone)
            }
        };
        metrics.count_tunnel(result);
        Err(error)
    }

    fn record_unreachable(
        &self,
        vm: &VmName,
        zone: &AvailabilityZone,
    ) -> (TunnelResult, TunnelError) {
        let now = clock::now();
        self.peers()
            .record_fault(vm, zone, PeerFault::Unreachable, now);
        (TunnelResult::PeerUnreachable, TunnelError::NoPath)
    }

    fn record_refusal(
        &self,
        vm: &VmName,
        zone: &AvailabilityZone,
        fault: TunnelFault,
    ) -> (TunnelResult, TunnelError) {
        event!(
            Event::TunnelFailed,
            "through {vm} to zone {zone}: {fault:?}"
        );
        let now = clock::now();
        let mut peers = self.peers();
        match fault {
            // The VM has a path; the target is the cause.
            TunnelFault::TargetRefused => {
                peers.record_success(vm, zone, now);
                (TunnelResult::TargetFailed, TunnelError::TargetRefused)
            }
            TunnelFault::TargetUnreachable => {
                peers.record_success(vm, zone, now);
                (TunnelResult::TargetFailed, TunnelError::TargetUnreachable)
            }
            TunnelFault::PathLost => {
                peers.record_fault(vm, zone, PeerFault::PathLost, now);
                (TunnelResult::PathLost, TunnelError::NoPath)
            }
            TunnelFault::Full | TunnelFault::Stopping => {
                peers.record_fault(vm, zone, PeerFault::Refused, now);
                (TunnelResult::Refused, TunnelError::NoPath)
            }
        }
    }

    async fn ask(
        &self,
        peer: SocketAddr,
        site: TargetSite<'_>,
        ttl: Duration,
    ) -> io::Result<PeerAnswer> {
        let mut socket = dial_socket(peer).await?;
        let request = TunnelRequest {
            version: MESSAGE_VERSION,
            vm: self.fleet.vm.clone(),
            zone: site.zone.clone(),
            address: site.address,
            ttl_ms: millis(ttl),
        };
        send(&mut socket, &VmMessage::OpenTunnel(request)).await?;
        match receive(&mut socket).await? {
            Some(VmMessage::TunnelOpened) => Ok(PeerAnswer::Opened(Box::new(socket))),
            Some(VmMessage::TunnelRefused(fault)) => Ok(PeerAnswer::Refused(fault)),
            // A VM of an earlier version closes the connection.
            _ => Err(io::Error::other("peer does not serve tunnels")),
        }
    }
}

/// Bytes of a tunnel. Only a closing handshake ends them; without one, reading fails.
fn tunnel_stream(socket: VmSocket) -> Box<dyn TunnelIo> {
    let (sink, messages) = socket.split();
    let received = messages
        .take_while(|message| ready(!matches!(message, Ok(Message::Close(_)))))
        .filter_map(|message| {
            ready(match message {
                Ok(Message::Binary(bytes)) => Some(Ok(bytes)),
                Ok(_) => None,
                Err(error) => Some(Err(io::Error::other(error))),
            })
        });
    let sent = sink
        .sink_map_err(io::Error::other)
        .with(|bytes: Bytes| ready(Ok::<_, io::Error>(Message::Binary(bytes))));
    Box::new(join(
        StreamReader::new(received),
        SinkWriter::new(CopyToBytes::new(sent)),
    ))
}
