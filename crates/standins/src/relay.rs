//! A TCP relay between two processes that can cut or freeze the connections through it.
//!
//! Cutting closes connections, as when the peer's host rejects them; freezing keeps them open without passing bytes,
//! as when packets are lost.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
    task::JoinHandle,
};

/// State of a relayed link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkState {
    /// Bytes are forwarded.
    Open,
    /// Existing and new connections are closed.
    Cut,
    /// Connections stay open, but no bytes are forwarded.
    Frozen,
}

/// A relay that forwards connections to one address.
pub struct LinkRelay {
    /// Listening address.
    pub address: SocketAddr,
    target: watch::Sender<Option<SocketAddr>>,
    state: watch::Sender<LinkState>,
    task: JoinHandle<()>,
}

impl LinkRelay {
    /// Starts a relay; connections are closed until [`set_target`](Self::set_target) names their destination.
    ///
    /// # Errors
    /// Returns the I/O error if no loopback port can be bound.
    pub async fn start() -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (state, state_watch) = watch::channel(LinkState::Open);
        let (target, target_watch) = watch::channel(None);
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let target = *target_watch.borrow();
                if let (Some(target), true) = (target, *state_watch.borrow() != LinkState::Cut) {
                    tokio::spawn(forward(stream, target, state_watch.clone()));
                }
            }
        });
        Ok(Self {
            address,
            target,
            state,
            task,
        })
    }

    /// Sets the destination of new connections.
    pub fn set_target(&self, target: SocketAddr) {
        self.target.send_replace(Some(target));
    }

    /// Changes the state of existing and new connections.
    pub fn set_state(&self, state: LinkState) {
        self.state.send_replace(state);
    }
}

impl Drop for LinkRelay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn forward(near: TcpStream, target: SocketAddr, state: watch::Receiver<LinkState>) {
    let Ok(far) = TcpStream::connect(target).await else {
        return;
    };
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let mut cut = state.clone();
    let shared = Arc::new(state);
    tokio::select! {
        () = copy(near_read, far_write, Arc::clone(&shared)) => {}
        () = copy(far_read, near_write, shared) => {}
        _ = cut.wait_for(|state| *state == LinkState::Cut) => {}
    }
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    state: Arc<watch::Receiver<LinkState>>,
) {
    let mut buffer = vec![0; 16 * 1024];
    loop {
        let Ok(count) = from.read(&mut buffer).await else {
            return;
        };
        while *state.borrow() == LinkState::Frozen {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        if count == 0 || to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}
