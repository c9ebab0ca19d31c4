//! Accepting side of links.

use crate::{
    app::AppEvent,
    calls::{CallBuffer, CallEnd, CallFrame, CallId, CallTable},
    event,
    events::Event,
    peers::{
        PROTOCOL_VERSION, PeerHello, PeerMessage, decode, encode,
        link::{read_hello, socket_config},
    },
};
use futures_util::{SinkExt, StreamExt};
use hoplanding_core::ids::VmName;
use std::{io, net::SocketAddr, sync::Arc, time::Duration};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::mpsc,
    time::timeout,
};
use tokio_tungstenite::{accept_async_with_config, tungstenite::Message};

/// Capacity of a link's outbound queue, in messages.
const OUTBOUND_CAPACITY: usize = 1024;
/// Largest number of messages sent in one write.
const MAX_BATCH_MESSAGES: usize = 64;
/// Time limit for the handshake and the peer's hello.
const HELLO_TIMEOUT: Duration = Duration::from_secs(2);

/// Server that accepts links from peers.
pub struct PeerServer {
    listener: TcpListener,
    hello: PeerHello,
    calls: Arc<CallTable>,
    events: mpsc::Sender<AppEvent>,
}

impl PeerServer {
    /// Binds the listener.
    ///
    /// # Errors
    /// Returns the I/O error if the address can't be bound.
    pub async fn bind(
        address: SocketAddr,
        hello: PeerHello,
        calls: Arc<CallTable>,
        events: mpsc::Sender<AppEvent>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        Ok(Self {
            listener,
            hello,
            calls,
            events,
        })
    }

    /// Returns the bound address.
    ///
    /// # Errors
    /// Returns the I/O error of the query.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Accepts links until the event loop ends.
    pub async fn run(self) {
        loop {
            let accepted = tokio::select! {
                accepted = self.listener.accept() => accepted,
                () = self.events.closed() => return,
            };
            let Ok((stream, from)) = accepted else {
                // Most likely out of file descriptors: wait until some are closed.
                tokio::time::sleep(Duration::from_millis(50)).await;
                continue;
            };
            let link = AcceptedLink {
                hello: self.hello.clone(),
                calls: Arc::clone(&self.calls),
                events: self.events.clone(),
            };
            tokio::spawn(async move {
                if let Err(error) = link.serve(stream).await {
                    event!(Event::PeerRejected, "{from}: {error}");
                }
            });
        }
    }
}

struct AcceptedLink {
    hello: PeerHello,
    calls: Arc<CallTable>,
    events: mpsc::Sender<AppEvent>,
}

impl AcceptedLink {
    async fn serve(self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let handshake = async {
            let mut socket = accept_async_with_config(stream, Some(socket_config()))
                .await
                .map_err(io::Error::other)?;
            let peer_hello = read_hello(&mut socket).await?;
            let own_hello = Message::Binary(encode(&[PeerMessage::Hello(self.hello.clone())]));
            socket.send(own_hello).await.map_err(io::Error::other)?;
            Ok::<_, io::Error>((socket, peer_hello))
        };
        let (socket, peer_hello) = timeout(HELLO_TIMEOUT, handshake).await??;
        if peer_hello.version != PROTOCOL_VERSION {
            return Err(io::Error::other(format!(
                "{} uses protocol version {}, this daemon version {PROTOCOL_VERSION}",
                peer_hello.daemon, peer_hello.version
            )));
        }
        if peer_hello.secret != self.hello.secret {
            return Err(io::Error::other(format!(
                "{} has a different peer_secret: use one secret for the fleet",
                peer_hello.daemon
            )));
        }
        let (mut sink, mut stream) = socket.split();
        let (outbound, mut outbound_receiver) = mpsc::channel::<PeerMessage>(OUTBOUND_CAPACITY);
        let writer = tokio::spawn(async move {
            let mut batch = Vec::with_capacity(MAX_BATCH_MESSAGES);
            while outbound_receiver
                .recv_many(&mut batch, MAX_BATCH_MESSAGES)
                .await
                > 0
            {
                if sink.send(Message::Binary(encode(&batch))).await.is_err() {
                    return;
                }
                batch.clear();
            }
        });
        while let Some(Ok(message)) = stream.next().await {
            let Message::Binary(bytes) = message else {
                continue;
            };
            for message in decode(&bytes)? {
                if self
                    .handle_message(&peer_hello.daemon.vm, message, &outbound)
                    .await
                    .is_none()
                {
                    return Ok(());
                }
            }
        }
        drop(outbound);
        writer.abort();
        Ok(())
    }

    /// Handles one message; returns `None` if the event loop has ended.
    async fn handle_message(
        &self,
        from: &VmName,
        message: PeerMessage,
        outbound: &mpsc::Sender<PeerMessage>,
    ) -> Option<()> {
        match message {
            PeerMessage::Execute(request) => {
                let call = request.call;
                let buffer = self.open_call(call, outbound);
                self.events
                    .send(AppEvent::Execute(request, buffer))
                    .await
                    .ok()
            }
            PeerMessage::Submit(call, request) => {
                let buffer = self.open_call(call, outbound);
                self.events
                    .send(AppEvent::Submit(request, buffer))
                    .await
                    .ok()
            }
            PeerMessage::Attach(call, from) => {
                match self.calls.get(call) {
                    Some(buffer) => send_frames(call, buffer, from, outbound.clone()),
                    None => {
                        let _ = outbound.send(PeerMessage::Gone(call)).await;
                    }
                }
                Some(())
            }
            PeerMessage::Acknowledge(call, seq) => {
                if let Some(buffer) = self.calls.get(call) {
                    buffer.acknowledge(seq);
                }
                Some(())
            }
            PeerMessage::Cancel(call) => {
                if let Some(buffer) = self.calls.get(call) {
                    buffer.abandon();
                }
                self.events.send(AppEvent::CallAbandoned(call)).await.ok()
            }
            message => {
                let event =
                    AppEvent::PeerRequest(from.clone(), Box::new(message), outbound.clone());
                self.events.send(event).await.ok()
            }
        }
    }

    fn open_call(&self, call: CallId, outbound: &mpsc::Sender<PeerMessage>) -> Arc<CallBuffer> {
        let buffer = CallBuffer::new();
        self.calls.insert(call, &buffer);
        send_frames(call, Arc::clone(&buffer), 0, outbound.clone());
        buffer
    }
}

/// Sends the frames of an answer, starting at `from`, until the answer or the link ends.
fn send_frames(
    call: CallId,
    buffer: Arc<CallBuffer>,
    from: u64,
    outbound: mpsc::Sender<PeerMessage>,
) {
    buffer.set_attached(true);
    tokio::spawn(async move {
        let mut next = from;
        loop {
            let frame = tokio::select! {
                frame = buffer.next(next) => frame,
                () = outbound.closed() => {
                    buffer.set_attached(false);
                    return;
                }
            };
            let Some(numbered) = frame else {
                let dropped_end = CallEnd::Unknown("the answer was dropped".to_owned());
                let _ = outbound.send(PeerMessage::Gone(call)).await;
                buffer.end(dropped_end);
                return;
            };
            let is_last = matches!(numbered.frame, CallFrame::End(_));
            next = numbered.seq + 1;
            if outbound
                .send(PeerMessage::Frame(call, numbered))
                .await
                .is_err()
            {
                buffer.set_attached(false);
                return;
            }
            if is_last {
                // Keeps the frames until they are acknowledged, in case the link breaks while they are in transit.
                tokio::select! {
                    () = buffer.wait_drained() => {}
                    () = outbound.closed() => buffer.set_attached(false),
                }
                return;
            }
        }
    });
}
