//! HTTP server on a loopback port that the operating system assigns.

use poem::{
    Endpoint, Server,
    http::uri::Scheme,
    listener::{Acceptor, TcpAcceptor},
    web::{LocalAddr, RemoteAddr},
};
use std::{io, net::SocketAddr};
use tokio::{
    net::{TcpListener, TcpStream},
    task::JoinHandle,
};

/// Handle of an HTTP server, which stops when the handle is dropped.
#[derive(Debug)]
pub struct RunningServer {
    /// Listening address.
    pub address: SocketAddr,
    task: JoinHandle<()>,
}

impl RunningServer {
    /// Starts a server for `app`.
    ///
    /// # Errors
    /// Returns the I/O error if no loopback port can be bound.
    pub async fn start(app: impl Endpoint + 'static) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let acceptor = NodelayAcceptor(TcpAcceptor::from_tokio(listener)?);
        let task = tokio::spawn(async move {
            // An error ends the server just as the abort on drop does.
            let _ = Server::new_with_acceptor(acceptor).run(app).await;
        });
        Ok(Self { address, task })
    }
}

/// Sets `TCP_NODELAY` on accepted connections: with Nagle's algorithm, a stream's second write waits for the
/// acknowledgement of the first.
struct NodelayAcceptor(TcpAcceptor);

impl Acceptor for NodelayAcceptor {
    type Io = TcpStream;

    fn local_addr(&self) -> Vec<LocalAddr> {
        self.0.local_addr()
    }

    async fn accept(&mut self) -> io::Result<(Self::Io, LocalAddr, RemoteAddr, Scheme)> {
        let accepted = self.0.accept().await?;
        accepted.0.set_nodelay(true)?;
        Ok(accepted)
    }
}

impl Drop for RunningServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}
