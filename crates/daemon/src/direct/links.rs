//! Links between VMs: WebSocket connections with CBOR messages.
//!
//! A gateway dials the holder of a zone, and requests, replies and heartbeats share that
//! connection. A link that breaks or stays silent for too long ends, and the gateway dials again
//! when it needs one.

use crate::{
    clock,
    direct::{
        fleet::FleetState,
        message::{MESSAGE_VERSION, VmMessage},
        paths::tunnel_server::TunnelServer,
        sharing::RecordSharing,
        vm_socket::{VmSocket, accept_socket, dial_socket, receive, send},
        zone::{HolderReply, ReplySender, ZoneEvent},
    },
    event,
    events::Event,
};
use hoplanding_core::{
    direct::planner::CallKey,
    ids::{AvailabilityZone, Instant, VmName},
};
use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{mpsc, oneshot, watch},
    time::{MissedTickBehavior, interval, sleep, timeout},
};

/// Capacity of the queue of messages for one socket.
const OUTBOUND_QUEUE_LEN: usize = 512;
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);
/// Time without a message after which a link ends.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_300);
/// Time limit for the connection and the handshake.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);

/// State of the link to a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkStatus {
    /// The connection is being made.
    Dialling,
    /// Connected.
    Up,
    /// The link ended, the address refused the connection, or another incarnation answered there.
    Ended {
        /// Whether the dialled process is known to have ended.
        is_process_gone: bool,
        /// When the link ended.
        at: Instant,
    },
}

#[derive(Debug)]
struct LinkState {
    status: LinkStatus,
    heard: Instant,
    pending_replies: HashMap<u64, oneshot::Sender<HolderReply>>,
}

/// Dialling side of a link to one incarnation of a VM.
#[derive(Clone, Debug)]
pub struct VmLink {
    outbound: mpsc::Sender<VmMessage>,
    state: Arc<Mutex<LinkState>>,
    /// The dialled incarnation.
    pub incarnation: u64,
    /// Whether an earlier link to the same incarnation ended.
    pub is_redial: bool,
}

impl VmLink {
    /// Dials a VM. `initial_messages` are sent right after the handshake.
    #[must_use]
    pub fn dial(
        fleet: &Arc<FleetState>,
        vm: VmName,
        zone: AvailabilityZone,
        address: SocketAddr,
        incarnation: u64,
        earlier: Option<&Self>,
        initial_messages: Vec<VmMessage>,
    ) -> Self {
        let heard = earlier.map_or_else(clock::now, Self::heard);
        let (outbound, receiver) = mpsc::channel(OUTBOUND_QUEUE_LEN);
        let state = Arc::new(Mutex::new(LinkState {
            status: LinkStatus::Dialling,
            heard,
            pending_replies: HashMap::new(),
        }));
        let worker = DialWorker {
            fleet: Arc::clone(fleet),
            vm,
            zone,
            address,
            incarnation,
            state: Arc::clone(&state),
        };
        tokio::spawn(worker.run(receiver, initial_messages));
        Self {
            outbound,
            state,
            incarnation,
            is_redial: earlier.is_some(),
        }
    }

    /// When the VM last sent a message over this link or an earlier one to the same incarnation.
    ///
    /// # Panics
    /// If a thread panicked while it held the lock.
    #[must_use]
    pub fn heard(&self) -> Instant {
        self.state
            .lock()
            .expect("no thread panics while it holds the lock")
            .heard
    }

    /// State of the link.
    ///
    /// # Panics
    /// If a thread panicked while it held the lock.
    #[must_use]
    pub fn contact(&self) -> LinkStatus {
        self.state
            .lock()
            .expect("no thread panics while it holds the lock")
            .status
    }

    /// Whether the VM sent a message within a time span. A first link counts from the start of
    /// dialling.
    ///
    /// # Panics
    /// If a thread panicked while it held the lock.
    #[must_use]
    pub fn is_heard_within(&self, span: Duration) -> bool {
        clock::now().since(self.heard()) <= span
    }

    /// Sends a request to the holder. The receiver fails when the link ends.
    ///
    /// # Panics
    /// If a thread panicked while it held the lock.
    pub fn send_request(
        &self,
        number: u64,
        message: VmMessage,
    ) -> Option<oneshot::Receiver<HolderReply>> {
        let (sender, receiver) = oneshot::channel();
        {
            let mut state = self
                .state
                .lock()
                .expect("no thread panics while it holds the lock");
            if matches!(state.status, LinkStatus::Ended { .. }) {
                return None;
            }
            state.pending_replies.insert(number, sender);
        }
        self.outbound.try_send(message).ok()?;
        Some(receiver)
    }

    /// Sends a message without a reply; drops it if the queue is full.
    pub fn send_notice(&self, message: VmMessage) {
        // When a link ends, the holder discards the gateway's calls anyway.
        drop(self.outbound.try_send(message));
    }
}

struct DialWorker {
    fleet: Arc<FleetState>,
    vm: VmName,
    zone: AvailabilityZone,
    address: SocketAddr,
    incarnation: u64,
    state: Arc<Mutex<LinkState>>,
}

impl DialWorker {
    async fn run(self, mut outbound: mpsc::Receiver<VmMessage>, initial_messages: Vec<VmMessage>) {
        let result = timeout(CONNECT_TIMEOUT, self.dial()).await;
        let is_process_gone = match result {
            Ok(Ok((mut socket, knows_streams))) => {
                event!(Event::LinkUp, "{}", self.vm);
                self.record_heard(clock::now());
                self.set_status(LinkStatus::Up);
                for message in initial_messages {
                    if !knows_streams && is_about_streams(&message) {
                        continue;
                    }
                    if send(&mut socket, &message).await.is_err() {
                        break;
                    }
                }
                self.relay_messages(socket, &mut outbound, knows_streams)
                    .await;
                event!(Event::LinkBroken, "{}", self.vm);
                false
            }
            Ok(Err(error)) => error.kind() == io::ErrorKind::ConnectionRefused,
            Err(_) => false,
        };
        self.set_status(LinkStatus::Ended {
            is_process_gone,
            at: clock::now(),
        });
        // Dropping the senders fails the requests that wait for a reply.
        self.state
            .lock()
            .expect("no thread panics while it holds the lock")
            .pending_replies
            .clear();
    }

    fn record_heard(&self, heard: Instant) {
        self.state
            .lock()
            .expect("no thread panics while it holds the lock")
            .heard = heard;
    }

    fn set_status(&self, status: LinkStatus) {
        self.state
            .lock()
            .expect("no thread panics while it holds the lock")
            .status = status;
    }

    /// Connects to the VM; returns the socket, and whether the peer knows the messages about the origins of streams.
    async fn dial(&self) -> io::Result<(VmSocket, bool)> {
        let mut socket = dial_socket(self.address).await?;
        let hello = VmMessage::Hello {
            version: MESSAGE_VERSION,
            vm: self.fleet.vm.clone(),
            incarnation: self.fleet.incarnation,
            zone: self.fleet.zone.clone(),
        };
        send(&mut socket, &hello).await?;
        match receive(&mut socket).await? {
            Some(VmMessage::Welcome {
                version,
                incarnation,
                knows_streams,
            }) if version == MESSAGE_VERSION => {
                if incarnation == self.incarnation {
                    Ok((socket, knows_streams))
                } else {
                    // Another incarnation answers at this address, so the dialled one has ended.
                    Err(io::ErrorKind::ConnectionRefused.into())
                }
            }
            _ => Err(io::Error::other(
                "peer sent no welcome of this message version",
            )),
        }
    }

    /// Exchanges messages until the link breaks.
    async fn relay_messages(
        &self,
        mut socket: VmSocket,
        outbound: &mut mpsc::Receiver<VmMessage>,
        knows_streams: bool,
    ) {
        let mut heard = clock::now();
        let mut heartbeat = interval(HEARTBEAT_INTERVAL);
        heartbeat.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let is_same_zone = self.zone == self.fleet.zone;
        let mut sharing = RecordSharing::new(&self.fleet, &self.zone).with_peer(&self.vm);
        if let Some(question) = sharing.initial_request()
            && send(&mut socket, &question).await.is_err()
        {
            return;
        }
        let mut stopping = self.fleet.watch_stop();
        let mut is_stop_sent = !is_same_zone;
        loop {
            tokio::select! {
                message = sharing.next() => {
                    if send(&mut socket, &message).await.is_err() {
                        return;
                    }
                }
                () = wait_for_stop(&mut stopping), if !is_stop_sent => {
                    is_stop_sent = true;
                    if send(&mut socket, &VmMessage::Stopping).await.is_err() {
                        return;
                    }
                }
                message = outbound.recv() => {
                    let Some(message) = message else { return };
                    if !knows_streams && is_about_streams(&message) {
                        self.cancel_request(&message);
                        continue;
                    }
                    if send(&mut socket, &message).await.is_err() {
                        return;
                    }
                }
                received = receive(&mut socket) => match received {
                    Ok(Some(message)) => {
                        heard = clock::now();
                        self.record_heard(heard);
                        sharing.handle_request(&message);
                        if let Some(message) = sharing.apply(&self.vm, message) {
                            self.deliver_reply(message);
                        }
                    }
                    Ok(None) | Err(_) => return,
                },
                _ = heartbeat.tick() => {
                    if clock::now().since(heard) > SILENCE_TIMEOUT
                        || send(&mut socket, &sharing.heartbeat()).await.is_err()
                    {
                        return;
                    }
                }
            }
        }
    }

    /// Ends a request that the peer would not understand, as if it had not answered.
    fn cancel_request(&self, message: &VmMessage) {
        if let VmMessage::LookUpStream(number, _) = message {
            self.state
                .lock()
                .expect("no thread panics while it holds the lock")
                .pending_replies
                .remove(number);
        }
    }

    fn deliver_reply(&self, message: VmMessage) {
        let (number, reply) = match message {
            VmMessage::Placed(number, answer) => (number, HolderReply::Placement(answer)),
            VmMessage::Charged(number, after_ms) => (number, HolderReply::Charged(after_ms)),
            VmMessage::TrialAnswered(number, answer) => (number, HolderReply::Trial(answer)),
            VmMessage::TargetRecord(number, record) => (number, HolderReply::Target(record)),
            VmMessage::StreamFound(number, software) => (number, HolderReply::Stream(software)),
            VmMessage::NotHolder(number) => (number, HolderReply::NotHolder),
            _ => return,
        };
        let pending_replies = self
            .state
            .lock()
            .expect("no thread panics while it holds the lock")
            .pending_replies
            .remove(&number);
        if let Some(sender) = pending_replies {
            // The call may have stopped waiting.
            drop(sender.send(reply));
        }
    }
}

/// Whether only peers that announce it in their welcome know this message.
fn is_about_streams(message: &VmMessage) -> bool {
    matches!(
        message,
        VmMessage::StreamsBegan(_) | VmMessage::LookUpStream(..)
    )
}

async fn wait_for_stop(stopping: &mut watch::Receiver<bool>) {
    // `FleetState` keeps the sender alive.
    let _ = stopping.wait_for(|is_stopping| *is_stopping).await;
}

/// Accepts links and tunnels of other VMs until the process ends.
pub async fn accept_peers(
    listener: TcpListener,
    fleet: Arc<FleetState>,
    zone: mpsc::Sender<ZoneEvent>,
    tunnels: Arc<TunnelServer>,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // Most likely the process is out of file descriptors, and other connections need time
            // to close.
            sleep(Duration::from_millis(50)).await;
            continue;
        };
        let fleet = Arc::clone(&fleet);
        let zone = zone.clone();
        let tunnels = Arc::clone(&tunnels);
        tokio::spawn(async move {
            // The dialling side logs a broken connection and dials again.
            let _ = serve_peer(stream, &fleet, &zone, &tunnels).await;
        });
    }
}

/// Serves a connection as what its first message says it is.
async fn serve_peer(
    stream: TcpStream,
    fleet: &Arc<FleetState>,
    zone: &mpsc::Sender<ZoneEvent>,
    tunnels: &TunnelServer,
) -> io::Result<()> {
    let handshake = async {
        let mut socket = accept_socket(stream).await?;
        let first = receive(&mut socket).await?;
        if let Some(VmMessage::Hello { .. }) = &first {
            let welcome = VmMessage::Welcome {
                version: MESSAGE_VERSION,
                incarnation: fleet.incarnation,
                knows_streams: true,
            };
            send(&mut socket, &welcome).await?;
        }
        Ok::<_, io::Error>((socket, first))
    };
    let (socket, first) = timeout(CONNECT_TIMEOUT, handshake).await??;
    match first {
        Some(VmMessage::Hello {
            version: MESSAGE_VERSION,
            vm,
            zone: peer_zone,
            ..
        }) => serve_link(socket, vm, &peer_zone, fleet, zone).await,
        Some(VmMessage::Hello { .. }) => Err(io::Error::other("peer uses another message version")),
        Some(VmMessage::OpenTunnel(request)) => tunnels.serve(socket, request).await,
        _ => Err(io::Error::other(
            "first message of the peer is neither a hello nor a tunnel request",
        )),
    }
}

async fn serve_link(
    mut socket: VmSocket,
    vm: VmName,
    peer_zone: &AvailabilityZone,
    fleet: &Arc<FleetState>,
    zone: &mpsc::Sender<ZoneEvent>,
) -> io::Result<()> {
    let is_same_zone = *peer_zone == fleet.zone;
    let mut sharing = RecordSharing::new(fleet, peer_zone).with_peer(&vm);
    fleet.record_successor(&vm, is_same_zone);
    let (outbound, mut replies) = mpsc::channel(OUTBOUND_QUEUE_LEN);
    let mut heard = clock::now();
    let mut heartbeat = interval(HEARTBEAT_INTERVAL);
    heartbeat.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let ended = loop {
        tokio::select! {
            message = sharing.next() => {
                if let Err(error) = send(&mut socket, &message).await {
                    break Err(error);
                }
            }
            reply = replies.recv() => {
                let Some(reply) = reply else { break Ok(()) };
                if let Err(error) = send(&mut socket, &reply).await {
                    break Err(error);
                }
            }
            received = receive(&mut socket) => match received {
                Ok(Some(message)) => {
                    heard = clock::now();
                    sharing.handle_request(&message);
                    if matches!(message, VmMessage::Stopping) {
                        fleet.record_successor(&vm, false);
                    }
                    if let Some(message) = sharing.apply(&vm, message)
                        && let Some(message) =
                            apply_stream_message(fleet, message, is_same_zone, &outbound)
                        && let Some(event) = zone_event(&vm, message, &outbound)
                        && zone.send(event).await.is_err()
                    {
                        break Ok(());
                    }
                }
                Ok(None) => break Ok(()),
                Err(error) => break Err(error),
            },
            _ = heartbeat.tick() => {
                if clock::now().since(heard) > SILENCE_TIMEOUT {
                    break Err(io::ErrorKind::TimedOut.into());
                }
                if let Err(error) = send(&mut socket, &sharing.heartbeat()).await {
                    break Err(error);
                }
            }
        }
    };
    fleet.record_successor(&vm, false);
    // The zone worker ends only with the process.
    let _ = zone.send(ZoneEvent::GatewayLost(vm)).await;
    ended
}

/// Handles a message about the origins of streams; returns any other message.
fn apply_stream_message(
    fleet: &FleetState,
    message: VmMessage,
    is_same_zone: bool,
    outbound: &mpsc::Sender<VmMessage>,
) -> Option<VmMessage> {
    match message {
        VmMessage::StreamsBegan(origins) => fleet.record_streams(&origins, is_same_zone),
        VmMessage::LookUpStream(number, key) => {
            let found = VmMessage::StreamFound(number, fleet.stream_software(key));
            // If the link is full, the asking VM times out.
            drop(outbound.try_send(found));
        }
        other => return Some(other),
    }
    None
}

fn zone_event(
    vm: &VmName,
    message: VmMessage,
    outbound: &mpsc::Sender<VmMessage>,
) -> Option<ZoneEvent> {
    let key = |number| CallKey {
        vm: vm.clone(),
        number,
    };
    match message {
        VmMessage::Place(number, request) => Some(ZoneEvent::Place(
            key(number),
            request,
            ReplySender::Peer(outbound.clone()),
        )),
        VmMessage::PlacePlain(number, request) => Some(ZoneEvent::PlacePlain(
            key(number),
            request,
            ReplySender::Peer(outbound.clone()),
        )),
        VmMessage::ChargeQuota(number, charge) => Some(ZoneEvent::ChargeQuota(
            key(number),
            charge,
            ReplySender::Peer(outbound.clone()),
        )),
        VmMessage::RefundQuota(charge) => Some(ZoneEvent::RefundQuota(charge)),
        VmMessage::TargetLimit(limit) => Some(ZoneEvent::TargetLimit(limit)),
        VmMessage::TargetCrashed(ended) => Some(ZoneEvent::TargetCrashed(ended)),
        VmMessage::RequestTrial(number, fingerprint) => Some(ZoneEvent::RequestTrial(
            key(number),
            fingerprint,
            ReplySender::Peer(outbound.clone()),
        )),
        VmMessage::TrialEnded(number, fingerprint, is_good) => {
            Some(ZoneEvent::TrialEnded(key(number), fingerprint, is_good))
        }
        VmMessage::LookUpTarget(number, target) => Some(ZoneEvent::LookUpTarget(
            key(number),
            target,
            ReplySender::Peer(outbound.clone()),
        )),
        VmMessage::FirstEvent(number, target, version) => {
            Some(ZoneEvent::FirstEvent(key(number), target, version))
        }
        VmMessage::CallEnded(completed) => Some(ZoneEvent::CallEnded(vm.clone(), completed)),
        VmMessage::PlacementWithdrawn(number) => Some(ZoneEvent::PlacementWithdrawn(key(number))),
        VmMessage::OpenCall(number, target, life, subject) => {
            Some(ZoneEvent::OpenCall(key(number), target, life, subject))
        }
        VmMessage::LeaseWanted(position) => {
            Some(ZoneEvent::LeaseWanted(vm.clone(), position.token()))
        }
        _ => None,
    }
}
