//! TCP acceptor for callers' connections that disables Nagle's algorithm.
//!
//! A streamed answer consists of many small writes. With Nagle's algorithm each could wait for the acknowledgement of
//! the previous one, up to the 40 ms of a delayed ACK.

use poem::{
    http::uri::Scheme,
    listener::{Acceptor, TcpAcceptor},
    web::{LocalAddr, RemoteAddr},
};
use std::io;
use tokio::net::{TcpListener, TcpStream};

/// Accepts TCP connections and sets `TCP_NODELAY` on them.
pub struct NoDelayAcceptor(TcpAcceptor);

impl NoDelayAcceptor {
    /// Wraps a bound listener.
    ///
    /// # Errors
    /// Returns the I/O error of the conversion.
    pub fn new(listener: TcpListener) -> io::Result<Self> {
        Ok(Self(TcpAcceptor::from_tokio(listener)?))
    }
}

impl Acceptor for NoDelayAcceptor {
    type Io = TcpStream;

    fn local_addr(&self) -> Vec<LocalAddr> {
        self.0.local_addr()
    }

    async fn accept(&mut self) -> io::Result<(Self::Io, LocalAddr, RemoteAddr, Scheme)> {
        let (stream, local, remote, scheme) = self.0.accept().await?;
        stream.set_nodelay(true)?;
        Ok((stream, local, remote, scheme))
    }
}
