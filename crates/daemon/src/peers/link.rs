//! Dialling side of a link, with reconnection.

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

/// Capacity of the outbound queue, in messages.
const OUTBOUND_CAPACITY: usize = 1024;
/// Largest number of messages sent in one write.
const MAX_BATCH_MESSAGES: usize = 64;
/// Largest WebSocket message, in bytes; the largest ones carry a snapshot of the folded state.
const MAX_MESSAGE_BYTES: usize = 256 << 20;
/// Time limit for the connection and both hellos.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause between two connection attempts.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(150);

/// Event for the reader of an answer.
#[derive(Debug)]
pub(super) enum LinkEvent {
    Frame(NumberedFrame),
    Gone,
    Lost,
}

/// Answers being read over one link.
#[derive(Debug, Default)]
pub struct LinkCalls {
    calls: Mutex<HashMap<CallId, mpsc::UnboundedSender<LinkEvent>>>,
}

impl LinkCalls {
    fn lock(&self) -> MutexGuard<'_, HashMap<CallId, mpsc::UnboundedSender<LinkEvent>>> {
        self.calls
            .lock()
            .expect("no thread panics while it holds the lock")
    }

    // The channel needs no bound of its own: the sender keeps at most `FRAME_WINDOW` frames unacknowledged.
    pub(super) fn register(&self, call: CallId) -> mpsc::UnboundedReceiver<LinkEvent> {
        let (sender, receiver) = mpsc::unbounded_channel();
        self.lock().insert(call, sender);
        receiver
    }

    pub(super) fn unregister(&self, call: CallId) {
        self.lock().remove(&call);
    }

    fn deliver(&self, call: CallId, event: LinkEvent) {
        if let Some(sender) = self.lock().get(&call) {
            // A reader that is being dropped no longer needs the event.
            let _ = sender.send(event);
        }
    }

    fn notify_lost(&self) {
        for sender in self.lock().values() {
            let _ = sender.send(LinkEvent::Lost);
        }
    }
}

/// Link to one peer; reconnects until it is dropped.
#[derive(Clone, Debug)]
pub struct PeerLink {
    /// VM of the peer.
    pub vm: VmName,
    pub(super) outbound: mpsc::Sender<PeerMessage>,
    pub(super) calls: Arc<LinkCalls>,
    pub(super) connected: watch::Receiver<bool>,
    /// Whether the peer is suspected: connected, but without heartbeats.
    is_suspect: Arc<watch::Sender<bool>>,
    address: Arc<Mutex<String>>,
}

impl PeerLink {
    /// Starts dialling a peer. The link ends once all its clones are dropped.
    #[must_use]
    pub fn start(
        vm: VmName,
        address: &str,
        hello: PeerHello,
        events: mpsc::Sender<AppEvent>,
    ) -> Self {
        let (outbound, outbound_receiver) = mpsc::channel(OUTBOUND_CAPACITY);
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
            is_suspect: Arc::new(watch::channel(false).0),
            address,
        }
    }

    /// Marks the peer as suspected or not. The connection of a suspected peer counts as broken until it is heard again.
    pub fn set_suspect(&self, is_suspect: bool) {
        if self.is_suspect.send_replace(is_suspect) != is_suspect && is_suspect {
            self.calls.notify_lost();
        }
    }

    /// Changes the address for the next connection attempt.
    pub fn set_address(&self, address: &str) {
        address.clone_into(
            &mut self
                .address
                .lock()
                .expect("no thread panics while it holds the lock"),
        );
    }

    /// Queues a message if the link is connected and the queue has room; returns whether it did.
    pub fn try_send(&self, message: PeerMessage) -> bool {
        *self.connected.borrow() && self.outbound.try_send(message).is_ok()
    }

    /// Queues a message, waiting for room; returns false if the link has ended.
    pub async fn send(&self, message: PeerMessage) -> bool {
        self.outbound.send(message).await.is_ok()
    }

    /// Whether the link is connected and the peer not suspected.
    #[must_use]
    pub fn is_connected(&self) -> bool {
        *self.connected.borrow() && !*self.is_suspect.borrow()
    }

    /// Waits up to `max_wait` until the link is connected and the peer not suspected; returns whether it is.
    pub async fn wait_connected(&self, max_wait: Duration) -> bool {
        let mut connected = self.connected.clone();
        let mut is_suspect = self.is_suspect.subscribe();
        let wait = async {
            while !self.is_connected() {
                let is_up = connected
                    .wait_for(|is_connected| *is_connected)
                    .await
                    .is_ok();
                let is_heard = is_suspect.wait_for(|is_suspect| !*is_suspect).await.is_ok();
                if !is_up || !is_heard {
                    return;
                }
            }
        };
        timeout(max_wait, wait).await.is_ok() && self.is_connected()
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
                .expect("no thread panics while it holds the lock")
                .clone();
            let dialled = timeout(CONNECT_TIMEOUT, dial(&address, &self.hello)).await;
            match dialled {
                Ok(Ok(socket)) => {
                    event!(Event::LinkUp, "{}", self.vm);
                    self.drop_stale_messages();
                    self.connected.send_replace(true);
                    let _ = self.events.send(AppEvent::LinkUp(self.vm.clone())).await;
                    let is_dropped = self.exchange(socket).await;
                    self.connected.send_replace(false);
                    self.calls.notify_lost();
                    if is_dropped {
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
            tokio::time::sleep(RECONNECT_INTERVAL).await;
        }
    }

    /// Drops messages queued for the previous connection; readers re-attach their calls.
    fn drop_stale_messages(&mut self) {
        while self.outbound.try_recv().is_ok() {}
    }

    /// Exchanges messages until the connection breaks (false) or the link is dropped (true).
    async fn exchange(&mut self, socket: Socket) -> bool {
        let (mut sink, mut stream) = socket.split();
        let mut batch = Vec::with_capacity(MAX_BATCH_MESSAGES);
        loop {
            tokio::select! {
                count = self.outbound.recv_many(&mut batch, MAX_BATCH_MESSAGES) => {
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
                            self.handle_message(message).await;
                        }
                    }
                }
            }
        }
    }

    async fn handle_message(&self, message: PeerMessage) {
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
        peer_hello if peer_hello.version == PROTOCOL_VERSION => Ok(socket),
        peer_hello => Err(io::Error::other(format!(
            "peer uses protocol version {}, this daemon version {PROTOCOL_VERSION}",
            peer_hello.version
        ))),
    }
}

pub(super) fn socket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(MAX_MESSAGE_BYTES))
        .max_frame_size(Some(MAX_MESSAGE_BYTES))
}

pub(super) async fn read_hello(socket: &mut Socket) -> io::Result<PeerHello> {
    let message = socket
        .next()
        .await
        .ok_or(io::ErrorKind::UnexpectedEof)?
        .map_err(io::Error::other)?;
    let Message::Binary(bytes) = message else {
        return Err(io::Error::other("the first message is not a hello"));
    };
    match decode(&bytes)?.into_iter().next() {
        Some(PeerMessage::Hello(hello)) => Ok(hello),
        _ => Err(io::Error::other("the first message is not a hello")),
    }
}
