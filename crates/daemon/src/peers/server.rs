//! The accepting side of links.

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

/// Messages that wait for a socket.
const OUTBOUND: usize = 1024;
/// Messages that go in one write.
const WRITE_MOST: usize = 64;
/// Time for the handshake and the peer's hello.
const HELLO_WITHIN: Duration = Duration::from_secs(2);

/// Accepts peers' links.
pub struct PeerServer {
    listener: TcpListener,
    hello: PeerHello,
    calls: Arc<CallTable>,
    events: mpsc::Sender<AppEvent>,
}

impl PeerServer {
    /// Listens on an address.
    ///
    /// # Errors
    /// Returns the error of the system when the address can't be had.
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

    /// Where it listens.
    ///
    /// # Errors
    /// Returns the error of the system.
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
                // Out of descriptors, most likely: give others time to close some.
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
            let theirs = read_hello(&mut socket).await?;
            let ours = Message::Binary(encode(&[PeerMessage::Hello(self.hello.clone())]));
            socket.send(ours).await.map_err(io::Error::other)?;
            Ok::<_, io::Error>((socket, theirs))
        };
        let (socket, theirs) = timeout(HELLO_WITHIN, handshake).await??;
        if theirs.version != PROTOCOL_VERSION {
            return Err(io::Error::other(format!(
                "{} speaks version {}",
                theirs.daemon, theirs.version
            )));
        }
        if theirs.secret != self.hello.secret {
            return Err(io::Error::other(format!(
                "{} has another peer_secret: use one for the fleet",
                theirs.daemon
            )));
        }
        let (mut sink, mut stream) = socket.split();
        let (outbound, mut outbound_receiver) = mpsc::channel::<PeerMessage>(OUTBOUND);
        let writer = tokio::spawn(async move {
            let mut batch = Vec::with_capacity(WRITE_MOST);
            while outbound_receiver.recv_many(&mut batch, WRITE_MOST).await > 0 {
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
                    .take(&theirs.daemon.vm, message, &outbound)
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

    /// Takes one message; none if the event loop has ended.
    async fn take(
        &self,
        from: &VmName,
        message: PeerMessage,
        outbound: &mpsc::Sender<PeerMessage>,
    ) -> Option<()> {
        match message {
            PeerMessage::Execute(request) => {
                let call = request.call;
                let buffer = self.open(call, outbound);
                self.events
                    .send(AppEvent::Execute(request, buffer))
                    .await
                    .ok()
            }
            PeerMessage::Submit(call, request) => {
                let buffer = self.open(call, outbound);
                self.events
                    .send(AppEvent::Submit(request, buffer))
                    .await
                    .ok()
            }
            PeerMessage::Attach(call, from) => {
                match self.calls.get(call) {
                    Some(buffer) => forward(call, buffer, from, outbound.clone()),
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

    fn open(&self, call: CallId, outbound: &mpsc::Sender<PeerMessage>) -> Arc<CallBuffer> {
        let buffer = CallBuffer::new();
        self.calls.insert(call, &buffer);
        forward(call, Arc::clone(&buffer), 0, outbound.clone());
        buffer
    }
}

/// Sends the frames of an answer until its end or the link's.
fn forward(call: CallId, buffer: Arc<CallBuffer>, from: u64, outbound: mpsc::Sender<PeerMessage>) {
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
                let lost = CallEnd::Unknown("the answer was dropped".to_owned());
                let _ = outbound.send(PeerMessage::Gone(call)).await;
                buffer.end(lost);
                return;
            };
            let last = matches!(numbered.frame, CallFrame::End(_));
            next = numbered.seq + 1;
            if outbound
                .send(PeerMessage::Frame(call, numbered))
                .await
                .is_err()
            {
                buffer.set_attached(false);
                return;
            }
            if last {
                // Until it is acknowledged the frames stay, in case the link breaks with them under way.
                tokio::select! {
                    () = buffer.taken() => {}
                    () = outbound.closed() => buffer.set_attached(false),
                }
                return;
            }
        }
    });
}
