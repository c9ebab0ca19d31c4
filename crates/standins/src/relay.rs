//! A TCP link that can be cut or frozen.

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

/// State of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkState {
    /// Bytes pass.
    Open,
    /// Connections are closed, and new ones too.
    Cut,
    /// Connections stay, but nothing passes.
    Frozen,
}

/// A link to one address.
pub struct LinkRelay {
    /// Where it listens.
    pub address: SocketAddr,
    target: watch::Sender<Option<SocketAddr>>,
    state: watch::Sender<LinkState>,
    task: JoinHandle<()>,
}

impl LinkRelay {
    /// Starts a link whose far end is set later.
    ///
    /// # Errors
    /// Returns the error of the system when no port can be had.
    pub async fn start() -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (state, watched) = watch::channel(LinkState::Open);
        let (target, target_watch) = watch::channel(None);
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let target = *target_watch.borrow();
                if let (Some(target), true) = (target, *watched.borrow() != LinkState::Cut) {
                    tokio::spawn(pass(stream, target, watched.clone()));
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

    /// Sets the far end for connections to come.
    pub fn set_target(&self, target: SocketAddr) {
        self.target.send_replace(Some(target));
    }

    /// Cuts, freezes or opens the link.
    pub fn set_state(&self, state: LinkState) {
        self.state.send_replace(state);
    }
}

impl Drop for LinkRelay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn pass(near: TcpStream, target: SocketAddr, state: watch::Receiver<LinkState>) {
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
