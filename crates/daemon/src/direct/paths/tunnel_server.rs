//! Tunnels that this VM serves: it connects to a target for another VM that has lost its own path.
//!
//! A tunnel is only served to a zone whose targets answer this VM. That a connection can be made shows too little, as it is
//! also accepted for a target whose process is silent.
//!
//! The number of tunnels is limited, so that they do not take the processor from this VM's own callers. A target's
//! orderly close is forwarded as a closing handshake, and its reset as a broken connection, so that the other VM can
//! tell a complete answer from a truncated one.

use crate::direct::{
    fleet::FleetState,
    message::{MESSAGE_VERSION, TunnelFault, TunnelRequest, VmMessage},
    paths::{
        monitor::{ConnectFault, PathMonitor, TargetSite},
        watched_stream::WatchedStream,
    },
    vm_socket::{VmSocket, send},
};
use bytes::BytesMut;
use futures_util::{Sink, SinkExt, Stream, StreamExt};
use std::{io, sync::Arc, time::Duration};
use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, split},
    sync::Semaphore,
    time::timeout,
};
use tokio_tungstenite::tungstenite::{Error as SocketError, Message};

/// Time limit of the connection to the target.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Time for which the other VM may not read before its tunnel is closed.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// Size from which bytes of a target are forwarded in another message.
const MAX_CHUNK_BYTES: usize = 16 * 1024;
/// Processor time in thousandths of a core for each tunnel, and bounds of the number of tunnels.
const MILLICORES_PER_TUNNEL: u32 = 2;
const MIN_TUNNELS: u32 = 32;
const MAX_TUNNELS: u32 = 256;

/// Serves the tunnels of other VMs.
#[derive(Debug)]
pub struct TunnelServer {
    fleet: Arc<FleetState>,
    paths: Arc<PathMonitor>,
    permits: Semaphore,
    max_tunnels: usize,
}

impl TunnelServer {
    /// A server without tunnels. A VM with more CPU serves more of them.
    #[must_use]
    pub fn new(fleet: Arc<FleetState>, paths: Arc<PathMonitor>) -> Self {
        let max_tunnels = fleet.cpu_millicores / MILLICORES_PER_TUNNEL;
        let max_tunnels = max_tunnels.clamp(MIN_TUNNELS, MAX_TUNNELS) as usize;
        Self {
            fleet,
            paths,
            permits: Semaphore::new(max_tunnels),
            max_tunnels,
        }
    }

    /// Number of open tunnels.
    #[must_use]
    pub fn count(&self) -> usize {
        self.max_tunnels - self.permits.available_permits()
    }

    /// Serves a tunnel until either side ends it.
    ///
    /// # Errors
    /// If the connection to the other VM breaks.
    pub async fn serve(&self, mut socket: VmSocket, request: TunnelRequest) -> io::Result<()> {
        if request.version != MESSAGE_VERSION {
            return Err(io::Error::other("peer uses another message version"));
        }
        if self.fleet.is_stopping() {
            return refuse(&mut socket, TunnelFault::Stopping).await;
        }
        let Ok(_permit) = self.permits.try_acquire() else {
            return refuse(&mut socket, TunnelFault::Full).await;
        };
        let site = TargetSite {
            zone: &request.zone,
            address: request.address,
        };
        let stream = match self.connect(site).await {
            Ok(stream) => stream,
            Err(fault) => return refuse(&mut socket, fault).await,
        };
        send(&mut socket, &VmMessage::TunnelOpened).await?;
        let ttl = Duration::from_millis(u64::from(request.ttl_ms));
        timeout(ttl, forward(socket, stream)).await?
    }

    async fn connect(&self, site: TargetSite<'_>) -> Result<WatchedStream, TunnelFault> {
        // A path that is known to be lost is not tried by each tunnel; checks of its own show its return.
        if self.paths.is_lost(site.zone) || !self.paths.is_zone_answering(site.zone).await {
            return Err(TunnelFault::PathLost);
        }
        let connected = self.paths.connect(site, CONNECT_TIMEOUT).await;
        connected.map_err(|fault| match fault {
            ConnectFault::Refused => TunnelFault::TargetRefused,
            ConnectFault::Failed(_) => TunnelFault::TargetUnreachable,
            ConnectFault::PathLost(_) => TunnelFault::PathLost,
        })
    }
}

async fn refuse(socket: &mut VmSocket, fault: TunnelFault) -> io::Result<()> {
    send(socket, &VmMessage::TunnelRefused(fault)).await
}

/// Forwards bytes in both directions until either side ends.
async fn forward(socket: VmSocket, stream: WatchedStream) -> io::Result<()> {
    let (mut to_peer, from_peer) = socket.split();
    let (from_target, to_target) = split(stream);
    tokio::select! {
        // The other VM's call has ended, so the target need not go on.
        result = forward_to_target(from_peer, to_target) => result,
        result = forward_to_peer(from_target, &mut to_peer) => result,
    }
}

async fn forward_to_target(
    mut from_peer: impl Stream<Item = Result<Message, SocketError>> + Unpin,
    mut to_target: impl AsyncWrite + Unpin,
) -> io::Result<()> {
    while let Some(message) = from_peer.next().await {
        match message.map_err(io::Error::other)? {
            Message::Binary(bytes) => to_target.write_all(&bytes).await?,
            Message::Close(_) => break,
            _ => {}
        }
    }
    Ok(())
}

async fn forward_to_peer(
    mut from_target: impl AsyncRead + Unpin,
    to_peer: &mut (impl Sink<Message, Error = SocketError> + Unpin),
) -> io::Result<()> {
    let mut buffer = BytesMut::new();
    loop {
        buffer.reserve(MAX_CHUNK_BYTES);
        let is_end = from_target.read_buf(&mut buffer).await? == 0;
        let message = if is_end {
            Message::Close(None)
        } else {
            Message::Binary(buffer.split().freeze())
        };
        timeout(WRITE_TIMEOUT, to_peer.send(message))
            .await?
            .map_err(io::Error::other)?;
        if is_end {
            return Ok(());
        }
    }
}
