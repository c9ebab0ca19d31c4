//! WebSocket connections between VMs, with CBOR messages.

use crate::direct::message::VmMessage;
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use std::{io, net::SocketAddr, time::Duration};
use tokio::{net::TcpStream, time::timeout};
use tokio_tungstenite::{
    WebSocketStream, accept_async_with_config, client_async_with_config,
    tungstenite::{Message, protocol::WebSocketConfig},
};

/// Time limit for sending one message.
const SEND_TIMEOUT: Duration = Duration::from_millis(1_300);
const READ_BUFFER_BYTES: usize = 4 * 1024;
const MAX_MESSAGE_BYTES: usize = 8 << 20;

/// A connection between two VMs.
pub type VmSocket = WebSocketStream<TcpStream>;

/// Connects to a VM and upgrades the connection.
///
/// # Errors
/// The I/O error, of kind `ConnectionRefused` if nothing listens at the address.
pub async fn dial_socket(address: SocketAddr) -> io::Result<VmSocket> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let url = format!("ws://{address}/");
    let (socket, _) = client_async_with_config(url, stream, Some(socket_config()))
        .await
        .map_err(io::Error::other)?;
    Ok(socket)
}

/// Upgrades a connection that another VM made.
///
/// # Errors
/// If the connection breaks or carries no upgrade request.
pub async fn accept_socket(stream: TcpStream) -> io::Result<VmSocket> {
    stream.set_nodelay(true)?;
    accept_async_with_config(stream, Some(socket_config()))
        .await
        .map_err(io::Error::other)
}

fn socket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(READ_BUFFER_BYTES)
        .max_message_size(Some(MAX_MESSAGE_BYTES))
        .max_frame_size(Some(MAX_MESSAGE_BYTES))
}

/// Sends a message.
///
/// # Errors
/// If the connection broke, or the peer did not read in time.
pub async fn send(socket: &mut VmSocket, message: &VmMessage) -> io::Result<()> {
    let mut bytes = Vec::with_capacity(128);
    ciborium::into_writer(message, &mut bytes).map_err(io::Error::other)?;
    let frame = Message::Binary(Bytes::from(bytes));
    timeout(SEND_TIMEOUT, socket.send(frame))
        .await?
        .map_err(io::Error::other)
}

/// Receives a message; `None` when the peer closed the connection. Cancel-safe between two messages.
///
/// # Errors
/// If the connection broke, or a message can't be decoded.
pub async fn receive(socket: &mut VmSocket) -> io::Result<Option<VmMessage>> {
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
