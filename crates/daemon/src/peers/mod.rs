//! Links between daemons: WebSocket, with CBOR messages of a version that both name at the start.
//!
//! Each daemon dials every peer that it sends calls to, and answers come back on the same link. A message of the
//! socket carries whatever is ready to go, so that many small frames cost one write.

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
