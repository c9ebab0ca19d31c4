//! Rules for what a holder may do on its target.
//!
//! [`HeldTarget`] is the holder's own view of one target. Its decisions depend only on the state folded from the log
//! and on acknowledgements of the target, never on time. `specs/ownership.pml` models the same steps.

use crate::{
    ids::{AdapterVersion, FencingToken},
    ownership::{HolderLease, TargetOwnership},
};

/// Progress of fencing on a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FenceState {
    /// The target does not check tokens.
    NotChecked,
    /// The target has not acknowledged the token yet.
    Presented,
    /// The target acknowledged the token and refuses older tokens from now on.
    Acknowledged,
}

/// A target that this daemon holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldTarget {
    /// Fencing token of the lease.
    pub token: FencingToken,
    /// Progress of fencing on the target.
    pub fence: FenceState,
}

/// Permission to send one unload order; created only by [`HeldTarget::permit_unload`].
#[derive(Debug, PartialEq, Eq)]
#[must_use]
pub struct UnloadPermit {
    adapter: AdapterVersion,
    token: FencingToken,
}

impl UnloadPermit {
    /// Adapter version that may be unloaded.
    #[must_use]
    pub fn adapter(&self) -> &AdapterVersion {
        &self.adapter
    }

    /// Fencing token to send with the order.
    #[must_use]
    pub fn token(&self) -> FencingToken {
        self.token
    }
}

/// Reason why an unload must not be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum UnloadRefusal {
    /// Another daemon is the holder.
    #[error("this daemon no longer holds the target: drop the order")]
    NotHolder,
    /// A former holder may still be serving requests.
    #[error("a former holder of the target is not settled: load into a free slot or wait")]
    PredecessorUnsettled,
    /// The target has not acknowledged the fencing token.
    #[error("the target has not acknowledged the fencing token: present it again")]
    NotAcknowledged,
    /// The unload intent has not been read back from the log.
    #[error(
        "the target does not check fencing tokens and the unload is not announced: append an intent to the log and read it back"
    )]
    NotAnnounced,
    /// This many requests run on the adapter.
    #[error("{0} requests run on the adapter: wait until they are done")]
    InFlight(usize),
}

impl HeldTarget {
    /// Creates the view of a target that was just taken over.
    #[must_use]
    pub fn new(token: FencingToken, checks_fencing: bool) -> Self {
        let fence = if checks_fencing {
            FenceState::Presented
        } else {
            FenceState::NotChecked
        };
        Self { token, fence }
    }

    /// Records that the target acknowledged a token.
    pub fn acknowledge(&mut self, token: FencingToken) {
        if token == self.token && self.fence == FenceState::Presented {
            self.fence = FenceState::Acknowledged;
        }
    }

    /// Whether this lease is still the current one in the folded state.
    #[must_use]
    pub fn is_holder(&self, ownership: &TargetOwnership) -> bool {
        ownership
            .holder
            .as_ref()
            .is_some_and(|lease| lease.token == self.token)
    }

    /// Whether a request may be dispatched to an adapter on the target.
    ///
    /// An open unload intent blocks its adapter, whichever daemon announced it, because the unload order may be in
    /// transit.
    #[must_use]
    pub fn can_dispatch(&self, ownership: &TargetOwnership, adapter: &AdapterVersion) -> bool {
        self.can_send_orders(ownership)
            && !ownership
                .intents
                .iter()
                .any(|intent| intent.adapter == *adapter)
    }

    /// Whether load orders may be sent.
    #[must_use]
    pub fn can_send_orders(&self, ownership: &TargetOwnership) -> bool {
        self.is_holder(ownership) && self.fence != FenceState::Presented
    }

    /// Checks whether an unload may be planned: this daemon holds the target, no former holder can still be serving,
    /// and no request is in flight.
    ///
    /// # Errors
    /// Returns the first rule that forbids the unload.
    pub fn check_unload(
        &self,
        ownership: &TargetOwnership,
        in_flight: usize,
    ) -> Result<(), UnloadRefusal> {
        if !self.is_holder(ownership) {
            return Err(UnloadRefusal::NotHolder);
        }
        if !ownership.predecessors.is_empty() {
            return Err(UnloadRefusal::PredecessorUnsettled);
        }
        if self.fence == FenceState::Presented {
            return Err(UnloadRefusal::NotAcknowledged);
        }
        if in_flight > 0 {
            return Err(UnloadRefusal::InFlight(in_flight));
        }
        Ok(())
    }

    /// Grants permission to send an unload order.
    ///
    /// On a target that does not check fencing tokens, `number` is the number of the holder's own intent, which must be
    /// open in the folded state.
    ///
    /// # Errors
    /// Returns the first rule that forbids the unload.
    pub fn permit_unload(
        &self,
        ownership: &TargetOwnership,
        adapter: &AdapterVersion,
        number: Option<u64>,
        in_flight: usize,
    ) -> Result<UnloadPermit, UnloadRefusal> {
        self.check_unload(ownership, in_flight)?;
        let is_announced = ownership.intents.iter().any(|intent| {
            intent.token == self.token
                && Some(intent.number) == number
                && intent.adapter == *adapter
        });
        if self.fence == FenceState::NotChecked && !is_announced {
            return Err(UnloadRefusal::NotAnnounced);
        }
        Ok(UnloadPermit {
            adapter: adapter.clone(),
            token: self.token,
        })
    }
}

/// Evidence about a former holder of a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SettleEvidence {
    /// The former holder's VM is missing from the platform's VM list.
    pub vm_unlisted: bool,
    /// Another VM of the zone is still listed, so the zone as a whole is not missing from the list.
    pub zone_still_listed: bool,
    /// The delivery bound after the end of the VM has passed (docs/DESIGN.md, assumption A1).
    pub delivery_bound_passed: bool,
    /// The target was queried directly after that bound and runs no request of the former holder.
    pub no_requests_running: bool,
}

/// Whether a successor may declare a former holder settled.
///
/// The former holder may also declare itself settled, once it has read the takeover and has nothing sent or running.
///
/// A restart of the target is not evidence: a former holder that was paused before it read the takeover may still
/// dispatch to the restarted target. `specs/ownership.pml` with switch `SETTLE_ON_RESTART` produces such a trace.
#[must_use]
pub fn is_predecessor_settled(evidence: SettleEvidence) -> bool {
    evidence.vm_unlisted
        && evidence.zone_still_listed
        && evidence.delivery_bound_passed
        && evidence.no_requests_running
}

impl HolderLease {
    /// Whether this run of a daemon holds the lease.
    #[must_use]
    pub fn is_held_by(&self, daemon: &crate::ids::DaemonRef) -> bool {
        self.daemon == *daemon
    }
}
