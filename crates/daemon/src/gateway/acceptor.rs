//! Accepting callers' connections without Nagle's delay.
//!
//! A streamed answer is many small writes; held back for the acknowledgement of the one before, each could cost the
//! 40 ms of a delayed acknowledgement.

use poem::{
    http::uri::Scheme,
    listener::{Acceptor, TcpAcceptor},
    web::{LocalAddr, RemoteAddr},
};
use std::io;
use tokio::net::{TcpListener, TcpStream};

/// Accepts TCP connections that send at once.
pub struct NoDelayAcceptor(TcpAcceptor);

impl NoDelayAcceptor {
    /// Accepts on a listener.
    ///
    /// # Errors
    /// Returns the error of the system.
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
