//! Moving a call away from a silent target.
//!
//! Silence does not show whether a target has ended: it may be suspended for a moment and go on with the answer. The call
//! therefore stays there until another target, which has just answered a request of this VM, has an open connection for
//! it. Until then a failure costs nothing, and the call is never at two targets at once.

use crate::direct::call::{CallPlacement, CallState, CallTimeline, PreparedSend};
use hoplanding_core::{direct::catalog::TargetEntry, ids::TargetName};
use std::{future::pending, net::SocketAddr, time::Duration};
use tokio::time::{Instant, sleep, sleep_until};

/// Bounds of the pause between two attempts to find another target. It doubles with each, as all targets may be silent.
const MIN_ATTEMPT_PAUSE: Duration = Duration::from_millis(250);
const MAX_ATTEMPT_PAUSE: Duration = Duration::from_secs(1);

/// A target that has sent nothing for a while.
#[derive(Clone, Copy, Debug)]
pub struct SilentTarget<'a> {
    /// Its entry at the time of the send.
    pub entry: &'a TargetEntry,
    /// Time until which the call stays if the target answers other requests; none if that is not asked.
    pub stays_until: Option<Instant>,
}

/// What a placement changes in a call that is still at its target.
#[derive(Clone, Copy, Debug)]
pub struct PlacedState {
    timeline: CallTimeline,
    fetch_source: Option<SocketAddr>,
    is_limited: bool,
    tried: usize,
}

impl CallState {
    /// The state of the current send, to be restored if the call stays where it is.
    pub fn placed_state(&self) -> PlacedState {
        PlacedState {
            timeline: self.timeline,
            fetch_source: self.fetch_source,
            is_limited: self.is_limited,
            tried: self.tried.len(),
        }
    }

    /// Restores the state of the current send.
    pub fn restore_placed_state(&mut self, state: &PlacedState) {
        self.timeline = state.timeline;
        self.fetch_source = state.fetch_source;
        self.is_limited = state.is_limited;
        self.tried.truncate(state.tried);
    }

    /// Finds another target for a call that waits for a silent one, and connects to it. Never returns if the call may not
    /// be sent again.
    pub async fn find_other_target(&mut self, silent: SilentTarget<'_>) -> PreparedSend {
        let tried = self.tried.len();
        let mut pause = MIN_ATTEMPT_PAUSE;
        while self.may_retry() {
            let mut is_answering = false;
            if let Some(stays_until) = silent.stays_until {
                is_answering = self.is_answering(silent.entry).await;
                if is_answering && Instant::now() < stays_until {
                    sleep_until(stays_until).await;
                    is_answering = self.is_answering(silent.entry).await;
                }
            }
            // A target that answers has lost the connection or the run; it may take the call again.
            let excluded = (!is_answering).then(|| silent.entry.name.clone());
            let prepared = self.prepare_other_send(excluded).await;
            if let Some(prepared) = prepared {
                self.tried.truncate(tried);
                return prepared;
            }
            sleep(pause).await;
            pause = (pause * 2).min(MAX_ATTEMPT_PAUSE);
        }
        pending().await
    }

    /// Tries once to connect to a target that answers this VM, other than `excluded`.
    async fn prepare_other_send(&mut self, excluded: Option<TargetName>) -> Option<PreparedSend> {
        // A suspect might crash another target.
        if !self.has_retry_budget() || !self.untried_suspects().is_empty() {
            return None;
        }
        // A path that was lost in an earlier attempt may be back.
        self.closed_zones.clear();
        let tried = self.tried.len();
        self.tried.extend(excluded.iter().cloned());
        let placed = self.place().await;
        self.tried.drain(tried..tried + excluded.iter().len());
        let CallPlacement::At(entry, version, placed_call) = placed else {
            return None;
        };
        if !self.is_answering(&entry).await {
            self.tried.push(entry.name.clone());
            return None;
        }
        let send = self.prepare_send(&entry, version, placed_call).await.ok()?;
        self.spend_retry_budget().then_some(send)
    }
}
