//! Starting an HTTP server on a port that the system chooses.

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

/// An HTTP server that ends when this value is dropped.
#[derive(Debug)]
pub struct RunningServer {
    /// Where it listens.
    pub address: SocketAddr,
    task: JoinHandle<()>,
}

impl RunningServer {
    /// Starts a server on loopback.
    ///
    /// # Errors
    /// Returns the error of the system when no port can be had.
    pub async fn start(app: impl Endpoint + 'static) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let acceptor = NodelayAcceptor(TcpAcceptor::from_tokio(listener)?);
        let task = tokio::spawn(async move {
            // The task is aborted on drop; an error here means the same as the end.
            let _ = Server::new_with_acceptor(acceptor).run(app).await;
        });
        Ok(Self { address, task })
    }
}

/// Without this a stream's second write waits for the acknowledgement of its first.
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
