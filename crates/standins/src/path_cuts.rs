//! Network paths between VMs and targets that can be cut for single VMs.
//!
//! A target behind a [`PathCuts`] tells VMs apart by the address from which they connect.

use std::{collections::HashMap, io, net::IpAddr};
use tokio::sync::watch;

/// State of the path from one VM to all targets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PathState {
    /// Bytes are forwarded.
    #[default]
    Open,
    /// Connections stay open, but no bytes are forwarded until the path is open again.
    Hanging,
    /// Existing and new connections are reset.
    Reset,
    /// New connections are reset, existing ones continue.
    RefusingNew,
}

/// Paths of all VMs to the targets that share this value.
#[derive(Debug)]
pub struct PathCuts {
    states: watch::Sender<HashMap<IpAddr, PathState>>,
}

impl Default for PathCuts {
    fn default() -> Self {
        Self {
            states: watch::channel(HashMap::new()).0,
        }
    }
}

impl PathCuts {
    /// Sets the state of the path from a VM.
    pub fn set(&self, vm: IpAddr, state: PathState) {
        self.states.send_modify(|states| {
            states.insert(vm, state);
        });
    }

    /// Opens all paths.
    pub fn open_all(&self) {
        self.states.send_modify(HashMap::clear);
    }

    /// State of the path from a VM.
    #[must_use]
    pub fn state(&self, vm: IpAddr) -> PathState {
        self.states.borrow().get(&vm).copied().unwrap_or_default()
    }

    /// Waits while the path from a VM hangs.
    ///
    /// # Errors
    /// If the path is reset.
    pub async fn pass(&self, vm: IpAddr) -> io::Result<()> {
        let state = self.wait_for(vm, |state| state != PathState::Hanging).await;
        match state {
            PathState::Reset => Err(io::ErrorKind::ConnectionReset.into()),
            PathState::Open | PathState::Hanging | PathState::RefusingNew => Ok(()),
        }
    }

    /// Waits until the path from a VM is reset.
    pub async fn wait_for_reset(&self, vm: IpAddr) {
        self.wait_for(vm, |state| state == PathState::Reset).await;
    }

    async fn wait_for(&self, vm: IpAddr, is_met: impl Fn(PathState) -> bool) -> PathState {
        let state = |states: &HashMap<IpAddr, PathState>| states.get(&vm).copied();
        let mut states = self.states.subscribe();
        let states = states.wait_for(|states| is_met(state(states).unwrap_or_default()));
        // The sender lives as long as `self`.
        let reached = states.await.ok().and_then(|states| state(&states));
        reached.unwrap_or_default()
    }
}
