//! Links between VMs: WebSocket with CBOR messages.
//!
//! A gateway dials the holder of a zone; questions, answers and signs of life go over the one connection. A link that
//! breaks or falls silent ends, and whoever needs it dials anew.

use crate::{
    clock,
    direct::{
        fleet::FleetState,
        message::{MESSAGE_VERSION, VmMessage},
        sharing::RecordSharing,
        zone::{HolderReply, ReplySender, ZoneEvent},
    },
    event,
    events::Event,
};
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
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
use tokio_tungstenite::{
    WebSocketStream, accept_async_with_config, client_async_with_config,
    tungstenite::{Message, protocol::WebSocketConfig},
};

/// Messages that wait for a socket.
const OUTBOUND: usize = 512;
/// Pause between two signs of life.
const BEAT: Duration = Duration::from_millis(400);
/// Silence after which a link ends.
const SILENCE: Duration = Duration::from_millis(1_300);
/// Time for a connection and the first messages.
const CONNECT_WITHIN: Duration = Duration::from_millis(600);
/// Bytes that a socket buffers for reading.
const READ_BUFFER: usize = 4 * 1024;
/// Largest message.
const MESSAGE_BYTES: usize = 8 << 20;

type Socket = WebSocketStream<TcpStream>;

/// How the contact with a VM stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkStatus {
    /// Being dialled.
    Dialling,
    /// Up.
    Up,
    /// It ended, or the dialled address refused or belongs to another run.
    Ended {
        /// Whether the process is known to have ended.
        is_process_gone: bool,
        /// When it ended.
        at: Instant,
    },
}

#[derive(Debug)]
struct LinkState {
    contact: LinkStatus,
    /// When the VM was last heard.
    heard: Instant,
    waiting: HashMap<u64, oneshot::Sender<HolderReply>>,
}

/// The dialling side of a link to one run of a VM.
#[derive(Clone, Debug)]
pub struct VmLink {
    outbound: mpsc::Sender<VmMessage>,
    state: Arc<Mutex<LinkState>>,
    /// The run that is meant.
    pub incarnation: u64,
    /// Whether an earlier link to the same run ended.
    pub is_redial: bool,
}

impl VmLink {
    /// Dials a VM; `first` goes out right after the hello.
    #[must_use]
    pub fn dial(
        fleet: &Arc<FleetState>,
        vm: VmName,
        zone: AvailabilityZone,
        address: SocketAddr,
        incarnation: u64,
        earlier: Option<&Self>,
        first: Vec<VmMessage>,
    ) -> Self {
        let heard = earlier.map_or_else(clock::now, Self::heard);
        let (outbound, receiver) = mpsc::channel(OUTBOUND);
        let state = Arc::new(Mutex::new(LinkState {
            contact: LinkStatus::Dialling,
            heard,
            waiting: HashMap::new(),
        }));
        let worker = DialWorker {
            fleet: Arc::clone(fleet),
            vm,
            zone,
            address,
            incarnation,
            state: Arc::clone(&state),
        };
        tokio::spawn(worker.run(receiver, first));
        Self {
            outbound,
            state,
            incarnation,
            is_redial: earlier.is_some(),
        }
    }

    /// When the VM was last heard, over this link or an earlier one to the same run.
    ///
    /// # Panics
    /// If a holder of the lock panicked.
    #[must_use]
    pub fn heard(&self) -> Instant {
        self.state
            .lock()
            .expect("no holder of the lock panics")
            .heard
    }

    /// How the contact stands.
    ///
    /// # Panics
    /// If a holder of the lock panicked.
    #[must_use]
    pub fn contact(&self) -> LinkStatus {
        self.state
            .lock()
            .expect("no holder of the lock panics")
            .contact
    }

    /// Whether the VM was heard within a span. A link that is being dialled counts from its start.
    ///
    /// # Panics
    /// If a holder of the lock panicked.
    #[must_use]
    pub fn is_heard_within(&self, span: Duration) -> bool {
        clock::now().since(self.heard()) <= span
    }

    /// Asks for a placement; the receiver fails when the link ends.
    ///
    /// # Panics
    /// If a holder of the lock panicked.
    pub fn ask(&self, number: u64, message: VmMessage) -> Option<oneshot::Receiver<HolderReply>> {
        let (sender, receiver) = oneshot::channel();
        {
            let mut state = self.state.lock().expect("no holder of the lock panics");
            if matches!(state.contact, LinkStatus::Ended { .. }) {
                return None;
            }
            state.waiting.insert(number, sender);
        }
        self.outbound.try_send(message).ok()?;
        Some(receiver)
    }

    /// Sends a message if the link has room for it.
    pub fn tell(&self, message: VmMessage) {
        // A full or ended link: the holder forgets the gateway's calls with the link.
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
    async fn run(self, mut outbound: mpsc::Receiver<VmMessage>, first: Vec<VmMessage>) {
        let dialled = timeout(CONNECT_WITHIN, self.dial()).await;
        let is_process_gone = match dialled {
            Ok(Ok(mut socket)) => {
                event!(Event::LinkUp, "{}", self.vm);
                self.note_heard(clock::now());
                self.set_contact(LinkStatus::Up);
                for message in first {
                    if send(&mut socket, &message).await.is_err() {
                        break;
                    }
                }
                self.pass(socket, &mut outbound).await;
                event!(Event::LinkBroken, "{}", self.vm);
                false
            }
            Ok(Err(error)) => error.kind() == io::ErrorKind::ConnectionRefused,
            Err(_) => false,
        };
        self.set_contact(LinkStatus::Ended {
            is_process_gone,
            at: clock::now(),
        });
        // Whoever waits sees its sender dropped.
        self.state
            .lock()
            .expect("no holder of the lock panics")
            .waiting
            .clear();
    }

    fn note_heard(&self, heard: Instant) {
        self.state
            .lock()
            .expect("no holder of the lock panics")
            .heard = heard;
    }

    fn set_contact(&self, contact: LinkStatus) {
        self.state
            .lock()
            .expect("no holder of the lock panics")
            .contact = contact;
    }

    async fn dial(&self) -> io::Result<Socket> {
        let stream = TcpStream::connect(self.address).await?;
        stream.set_nodelay(true)?;
        let url = format!("ws://{}/", self.address);
        let (mut socket, _) = client_async_with_config(url, stream, Some(socket_config()))
            .await
            .map_err(io::Error::other)?;
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
            }) if version == MESSAGE_VERSION => {
                if incarnation == self.incarnation {
                    Ok(socket)
                } else {
                    // Another run answers: the one that is meant has ended.
                    Err(io::ErrorKind::ConnectionRefused.into())
                }
            }
            _ => Err(io::Error::other("no welcome of this version")),
        }
    }

    /// Passes messages until the link breaks.
    async fn pass(&self, mut socket: Socket, outbound: &mut mpsc::Receiver<VmMessage>) {
        let mut heard = clock::now();
        let mut heartbeat = interval(BEAT);
        heartbeat.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let is_same_zone = self.zone == self.fleet.zone;
        let mut sharing = RecordSharing::new(&self.fleet, is_same_zone);
        if let Some(question) = sharing.initial_request()
            && send(&mut socket, &question).await.is_err()
        {
            return;
        }
        let mut stopping = self.fleet.watch_stop();
        let mut is_told = !is_same_zone;
        loop {
            tokio::select! {
                message = sharing.next() => {
                    if send(&mut socket, &message).await.is_err() {
                        return;
                    }
                }
                () = stop_begun(&mut stopping), if !is_told => {
                    is_told = true;
                    if send(&mut socket, &VmMessage::Stopping).await.is_err() {
                        return;
                    }
                }
                message = outbound.recv() => {
                    let Some(message) = message else { return };
                    if send(&mut socket, &message).await.is_err() {
                        return;
                    }
                }
                received = receive(&mut socket) => match received {
                    Ok(Some(message)) => {
                        heard = clock::now();
                        self.note_heard(heard);
                        sharing.answer(&message);
                        if let Some(message) = sharing.take(&self.vm, message) {
                            self.take(message);
                        }
                    }
                    Ok(None) | Err(_) => return,
                },
                _ = heartbeat.tick() => {
                    if clock::now().since(heard) > SILENCE
                        || send(&mut socket, &sharing.heartbeat()).await.is_err()
                    {
                        return;
                    }
                }
            }
        }
    }

    fn take(&self, message: VmMessage) {
        let (number, reply) = match message {
            VmMessage::Placed(number, answer) => (number, HolderReply::Placement(answer)),
            VmMessage::Paid(number, after_ms) => (number, HolderReply::Charged(after_ms)),
            VmMessage::TrialAnswered(number, answer) => (number, HolderReply::Trial(answer)),
            VmMessage::TargetTold(number, record) => (number, HolderReply::Target(record)),
            VmMessage::NotHolder(number) => (number, HolderReply::NotHolder),
            _ => return,
        };
        let waiting = self
            .state
            .lock()
            .expect("no holder of the lock panics")
            .waiting
            .remove(&number);
        if let Some(sender) = waiting {
            // The call may have given up waiting.
            drop(sender.send(reply));
        }
    }
}

/// Waits until a planned stop of this VM begins.
async fn stop_begun(stopping: &mut watch::Receiver<bool>) {
    // The sender lives as long as the books.
    let _ = stopping.wait_for(|is_stopping| *is_stopping).await;
}

/// Accepts links until the process ends.
pub async fn accept_links(
    listener: TcpListener,
    fleet: Arc<FleetState>,
    zone: mpsc::Sender<ZoneEvent>,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // Out of descriptors, most likely: give others time to close some.
            sleep(Duration::from_millis(50)).await;
            continue;
        };
        let fleet = Arc::clone(&fleet);
        let zone = zone.clone();
        tokio::spawn(async move {
            // A link that breaks is dialled anew by the other side, which logs it.
            let _ = serve_link(stream, &fleet, &zone).await;
        });
    }
}

async fn serve_link(
    stream: TcpStream,
    fleet: &Arc<FleetState>,
    zone: &mpsc::Sender<ZoneEvent>,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let handshake = async {
        let mut socket = accept_async_with_config(stream, Some(socket_config()))
            .await
            .map_err(io::Error::other)?;
        let hello = receive(&mut socket).await?;
        let Some(VmMessage::Hello {
            version,
            vm,
            zone: their_zone,
            ..
        }) = hello
        else {
            return Err(io::Error::other("no hello"));
        };
        let welcome = VmMessage::Welcome {
            version: MESSAGE_VERSION,
            incarnation: fleet.incarnation,
        };
        send(&mut socket, &welcome).await?;
        if version == MESSAGE_VERSION {
            Ok((socket, vm, their_zone))
        } else {
            Err(io::Error::other("another version"))
        }
    };
    let (mut socket, vm, their_zone) = timeout(CONNECT_WITHIN, handshake).await??;
    let is_same_zone = their_zone == fleet.zone;
    let mut sharing = RecordSharing::new(fleet, is_same_zone);
    fleet.note_successor(&vm, is_same_zone);
    let (outbound, mut replies) = mpsc::channel(OUTBOUND);
    let mut heard = clock::now();
    let mut heartbeat = interval(BEAT);
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
                    sharing.answer(&message);
                    if matches!(message, VmMessage::Stopping) {
                        fleet.note_successor(&vm, false);
                    }
                    if let Some(message) = sharing.take(&vm, message)
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
                if clock::now().since(heard) > SILENCE {
                    break Err(io::ErrorKind::TimedOut.into());
                }
                if let Err(error) = send(&mut socket, &sharing.heartbeat()).await {
                    break Err(error);
                }
            }
        }
    };
    fleet.note_successor(&vm, false);
    // The worker ends with the process.
    let _ = zone.send(ZoneEvent::GatewayLost(vm)).await;
    ended
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
        VmMessage::Place(number, ask) => Some(ZoneEvent::Place(
            key(number),
            ask,
            ReplySender::Peer(outbound.clone()),
        )),
        VmMessage::PlacePlain(number, ask) => Some(ZoneEvent::PlacePlain(
            key(number),
            ask,
            ReplySender::Peer(outbound.clone()),
        )),
        VmMessage::Pay(number, charge) => Some(ZoneEvent::ChargeQuota(
            key(number),
            charge,
            ReplySender::Peer(outbound.clone()),
        )),
        VmMessage::GiveBack(charge) => Some(ZoneEvent::RefundQuota(charge)),
        VmMessage::LimitNamed(named) => Some(ZoneEvent::TargetLimit(named)),
        VmMessage::EndedUnder(ended) => Some(ZoneEvent::TargetEnded(ended)),
        VmMessage::Trial(number, fingerprint) => Some(ZoneEvent::RequestTrial(
            key(number),
            fingerprint,
            ReplySender::Peer(outbound.clone()),
        )),
        VmMessage::TrialEnded(number, fingerprint, is_good) => {
            Some(ZoneEvent::TrialEnded(key(number), fingerprint, is_good))
        }
        VmMessage::TargetWanted(number, target) => Some(ZoneEvent::LookUpTarget(
            key(number),
            target,
            ReplySender::Peer(outbound.clone()),
        )),
        VmMessage::Begun(number, target, version) => {
            Some(ZoneEvent::FirstEvent(key(number), target, version))
        }
        VmMessage::Ended(ending) => Some(ZoneEvent::CallEnded(vm.clone(), ending)),
        VmMessage::Withdrawn(number) => Some(ZoneEvent::PlacementWithdrawn(key(number))),
        VmMessage::Open(number, target, life, subject) => {
            Some(ZoneEvent::OpenCall(key(number), target, life, subject))
        }
        VmMessage::LeaseWanted(position) => {
            Some(ZoneEvent::LeaseWanted(vm.clone(), position.token()))
        }
        _ => None,
    }
}

fn socket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(READ_BUFFER)
        .max_message_size(Some(MESSAGE_BYTES))
        .max_frame_size(Some(MESSAGE_BYTES))
}

async fn send(socket: &mut Socket, message: &VmMessage) -> io::Result<()> {
    let mut bytes = Vec::with_capacity(128);
    ciborium::into_writer(message, &mut bytes).map_err(io::Error::other)?;
    timeout(SILENCE, socket.send(Message::Binary(Bytes::from(bytes))))
        .await?
        .map_err(io::Error::other)
}

/// Receives a message; none when the other side closed. Safe to drop between two messages.
async fn receive(socket: &mut Socket) -> io::Result<Option<VmMessage>> {
    loop {
        match socket.next().await {
            None => return Ok(None),
            Some(Err(error)) => return Err(io::Error::other(error)),
            Some(Ok(Message::Binary(bytes))) => {
                return ciborium::from_reader(bytes.as_ref())
                    .map(Some)
                    .map_err(io::Error::other);
            }
            Some(Ok(_)) => {}
        }
    }
}
