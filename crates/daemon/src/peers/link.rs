//! The dialling side of a link.

use crate::{
    app::AppEvent,
    calls::{CallId, NumberedFrame},
    event,
    events::Event,
    peers::{PROTOCOL_VERSION, PeerHello, PeerMessage, decode, encode},
};
use futures_util::{SinkExt, StreamExt};
use hoplanding_core::ids::VmName;
use std::{
    collections::HashMap,
    io,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};
use tokio::{
    net::TcpStream,
    sync::{mpsc, watch},
    time::timeout,
};
use tokio_tungstenite::{
    WebSocketStream, client_async_with_config,
    tungstenite::{Message, protocol::WebSocketConfig},
};

/// Messages that wait for the socket.
const OUTBOUND: usize = 1024;
/// Messages that go in one write.
const WRITE_MOST: usize = 64;
/// Largest message: a snapshot of the folded state.
const MESSAGE_BYTES: usize = 256 << 20;
/// Time for a connection and both hellos.
const CONNECT_WITHIN: Duration = Duration::from_secs(2);
/// Pause between two tries.
const REDIAL_AFTER: Duration = Duration::from_millis(150);

/// What a taker of an answer is told.
#[derive(Debug)]
pub(super) enum LinkEvent {
    Frame(NumberedFrame),
    Gone,
    Lost,
}

/// Answers that are taken over one link.
#[derive(Debug, Default)]
pub struct LinkCalls {
    calls: Mutex<HashMap<CallId, mpsc::UnboundedSender<LinkEvent>>>,
}

impl LinkCalls {
    fn lock(&self) -> MutexGuard<'_, HashMap<CallId, mpsc::UnboundedSender<LinkEvent>>> {
        self.calls.lock().expect("no holder of the lock panics")
    }

    // Unbounded here is bounded by the maker: it never sends more than its window without an acknowledgement.
    pub(super) fn register(&self, call: CallId) -> mpsc::UnboundedReceiver<LinkEvent> {
        let (sender, receiver) = mpsc::unbounded_channel();
        self.lock().insert(call, sender);
        receiver
    }

    pub(super) fn forget(&self, call: CallId) {
        self.lock().remove(&call);
    }

    fn deliver(&self, call: CallId, event: LinkEvent) {
        if let Some(sender) = self.lock().get(&call) {
            // A taker that ended between two frames needs neither.
            let _ = sender.send(event);
        }
    }

    fn lose_all(&self) {
        for sender in self.lock().values() {
            let _ = sender.send(LinkEvent::Lost);
        }
    }
}

/// A link to one peer; it redials until it is dropped.
#[derive(Clone, Debug)]
pub struct PeerLink {
    /// The peer.
    pub vm: VmName,
    pub(super) outbound: mpsc::Sender<PeerMessage>,
    pub(super) calls: Arc<LinkCalls>,
    pub(super) connected: watch::Receiver<bool>,
    /// Whether the peer has fallen silent though the connection stands.
    suspect: Arc<watch::Sender<bool>>,
    address: Arc<Mutex<String>>,
}

impl PeerLink {
    /// Starts to dial a peer. The link ends once every clone of it is dropped.
    #[must_use]
    pub fn start(
        vm: VmName,
        address: &str,
        hello: PeerHello,
        events: mpsc::Sender<AppEvent>,
    ) -> Self {
        let (outbound, outbound_receiver) = mpsc::channel(OUTBOUND);
        let (connected_sender, connected) = watch::channel(false);
        let calls = Arc::new(LinkCalls::default());
        let address = Arc::new(Mutex::new(address.to_owned()));
        let worker = LinkWorker {
            vm: vm.clone(),
            address: Arc::clone(&address),
            hello,
            outbound: outbound_receiver,
            connected: connected_sender,
            calls: Arc::clone(&calls),
            events,
        };
        tokio::spawn(worker.run());
        Self {
            vm,
            outbound,
            calls,
            connected,
            suspect: Arc::new(watch::channel(false).0),
            address,
        }
    }

    /// Says whether the peer has fallen silent: a frozen connection counts as broken until it is heard again.
    pub fn set_suspect(&self, suspect: bool) {
        if self.suspect.send_replace(suspect) != suspect && suspect {
            self.calls.lose_all();
        }
    }

    /// Changes the address that the next try dials.
    pub fn set_address(&self, address: &str) {
        address.clone_into(&mut self.address.lock().expect("no holder of the lock panics"));
    }

    /// Sends a message if there is room for it now.
    pub fn try_send(&self, message: PeerMessage) -> bool {
        *self.connected.borrow() && self.outbound.try_send(message).is_ok()
    }

    /// Sends a message, waiting for room.
    pub async fn send(&self, message: PeerMessage) -> bool {
        self.outbound.send(message).await.is_ok()
    }

    /// Whether the link is up.
    #[must_use]
    pub fn is_connected(&self) -> bool {
        *self.connected.borrow() && !*self.suspect.borrow()
    }

    /// Waits until the link is up and the peer is heard.
    pub async fn wait_connected(&self, most: Duration) -> bool {
        let mut connected = self.connected.clone();
        let mut suspect = self.suspect.subscribe();
        let up = async {
            while !self.is_connected() {
                let is_up = connected.wait_for(|up| *up).await.is_ok();
                let is_heard = suspect.wait_for(|suspect| !*suspect).await.is_ok();
                if !is_up || !is_heard {
                    return;
                }
            }
        };
        timeout(most, up).await.is_ok() && self.is_connected()
    }
}

struct LinkWorker {
    vm: VmName,
    address: Arc<Mutex<String>>,
    hello: PeerHello,
    outbound: mpsc::Receiver<PeerMessage>,
    connected: watch::Sender<bool>,
    calls: Arc<LinkCalls>,
    events: mpsc::Sender<AppEvent>,
}

type Socket = WebSocketStream<TcpStream>;

impl LinkWorker {
    async fn run(mut self) {
        loop {
            let address = self
                .address
                .lock()
                .expect("no holder of the lock panics")
                .clone();
            let dialled = timeout(CONNECT_WITHIN, dial(&address, &self.hello)).await;
            match dialled {
                Ok(Ok(socket)) => {
                    event!(Event::LinkUp, "{}", self.vm);
                    self.drop_stale();
                    self.connected.send_replace(true);
                    let _ = self.events.send(AppEvent::LinkUp(self.vm.clone())).await;
                    let ended = self.pass(socket).await;
                    self.connected.send_replace(false);
                    self.calls.lose_all();
                    if ended {
                        return;
                    }
                    event!(Event::LinkBroken, "{}", self.vm);
                }
                Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
                    let _ = self
                        .events
                        .send(AppEvent::LinkRefused(self.vm.clone()))
                        .await;
                }
                Ok(Err(_)) | Err(_) => {}
            }
            if self.outbound.is_closed() && self.outbound.is_empty() {
                return;
            }
            tokio::time::sleep(REDIAL_AFTER).await;
        }
    }

    /// Drops messages that were meant for a connection that ended; takers attach anew.
    fn drop_stale(&mut self) {
        while self.outbound.try_recv().is_ok() {}
    }

    /// Passes messages until the connection breaks (false) or the link is dropped (true).
    async fn pass(&mut self, socket: Socket) -> bool {
        let (mut sink, mut stream) = socket.split();
        let mut batch = Vec::with_capacity(WRITE_MOST);
        loop {
            tokio::select! {
                count = self.outbound.recv_many(&mut batch, WRITE_MOST) => {
                    if count == 0 {
                        return true;
                    }
                    if sink.send(Message::Binary(encode(&batch))).await.is_err() {
                        return false;
                    }
                    batch.clear();
                }
                message = stream.next() => {
                    let Some(Ok(message)) = message else {
                        return false;
                    };
                    if let Message::Binary(bytes) = message {
                        let Ok(messages) = decode(&bytes) else {
                            return false;
                        };
                        for message in messages {
                            self.take(message).await;
                        }
                    }
                }
            }
        }
    }

    async fn take(&self, message: PeerMessage) {
        match message {
            PeerMessage::Frame(call, frame) => self.calls.deliver(call, LinkEvent::Frame(frame)),
            PeerMessage::Gone(call) => self.calls.deliver(call, LinkEvent::Gone),
            message => {
                let _ = self
                    .events
                    .send(AppEvent::PeerReply(self.vm.clone(), Box::new(message)))
                    .await;
            }
        }
    }
}

async fn dial(address: &str, hello: &PeerHello) -> io::Result<Socket> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let url = format!("ws://{address}/");
    let (mut socket, _) = client_async_with_config(url, stream, Some(socket_config()))
        .await
        .map_err(io::Error::other)?;
    let message = Message::Binary(encode(&[PeerMessage::Hello(hello.clone())]));
    socket.send(message).await.map_err(io::Error::other)?;
    match read_hello(&mut socket).await? {
        theirs if theirs.version == PROTOCOL_VERSION => Ok(socket),
        theirs => Err(io::Error::other(format!(
            "peer speaks version {}",
            theirs.version
        ))),
    }
}

pub(super) fn socket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(MESSAGE_BYTES))
        .max_frame_size(Some(MESSAGE_BYTES))
}

pub(super) async fn read_hello(socket: &mut Socket) -> io::Result<PeerHello> {
    let message = socket
        .next()
        .await
        .ok_or(io::ErrorKind::UnexpectedEof)?
        .map_err(io::Error::other)?;
    let Message::Binary(bytes) = message else {
        return Err(io::Error::other("the first message is no hello"));
    };
    match decode(&bytes)?.into_iter().next() {
        Some(PeerMessage::Hello(hello)) => Ok(hello),
        _ => Err(io::Error::other("the first message is no hello")),
    }
}
