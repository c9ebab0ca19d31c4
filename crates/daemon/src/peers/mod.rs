//! Links between daemons: CBOR messages over WebSocket.
//!
//! Both sides state the protocol version in their hello. Each daemon dials every peer that it sends calls to, and the
//! answers come back on the same link. Messages that wait are sent together in one WebSocket message, so that many small
//! frames cost one write.

mod link;
mod message;
mod reader;
mod server;
mod wire;

pub use link::{LinkCalls, PeerLink};
pub use message::{Heartbeat, PROTOCOL_VERSION, PeerHello, PeerMessage};
pub use reader::{CallReader, ReadEvent};
pub use server::PeerServer;
pub use wire::{decode, encode, encoded_bytes};
