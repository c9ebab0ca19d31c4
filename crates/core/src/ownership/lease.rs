//! What a holder may do on a target that it holds.
//!
//! [`HeldTarget`] is a holder's own view of one target. It answers from the fold and from the target's
//! acknowledgements only. The specification in `specs/ownership.pml` names the same steps.

use crate::{
    ids::{AdapterVersion, FencingToken},
    ownership::{HolderLease, TargetOwnership},
};

/// Whether the target knows the holder's token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FenceState {
    /// The target does not check tokens.
    NotChecked,
    /// The token was not yet acknowledged.
    Presented,
    /// The target acknowledged the token; older ones are refused from here on.
    Acknowledged,
}

/// A target that this daemon holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldTarget {
    /// The holder's token.
    pub token: FencingToken,
    /// Whether the target knows it.
    pub fence: FenceState,
}

/// A right to send one unload order; made only where the rules hold.
#[derive(Debug, PartialEq, Eq)]
#[must_use]
pub struct UnloadPermit {
    adapter: AdapterVersion,
    token: FencingToken,
}

impl UnloadPermit {
    /// What may be unloaded.
    #[must_use]
    pub fn adapter(&self) -> &AdapterVersion {
        &self.adapter
    }

    /// The token that the order carries.
    #[must_use]
    pub fn token(&self) -> FencingToken {
        self.token
    }
}

/// Why an unload must not be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum UnloadRefusal {
    /// Another daemon is the holder.
    #[error("this daemon no longer holds the target: drop the order")]
    NotHolder,
    /// A former holder may still be serving.
    #[error("a former holder is not settled: load into a free slot or wait")]
    PredecessorUnsettled,
    /// The target did not acknowledge the token.
    #[error("the target has not acknowledged the fencing token: present it again")]
    NotAcknowledged,
    /// The announcement was not read back.
    #[error(
        "the target does not check fencing tokens and the unload is not announced: append an intent and read it back"
    )]
    NotAnnounced,
    /// Requests run on the adapter.
    #[error("{0} requests run on the adapter: wait until they are done")]
    InFlight(usize),
}

impl HeldTarget {
    /// A target that was just taken over.
    #[must_use]
    pub fn new(token: FencingToken, checks_fencing: bool) -> Self {
        let fence = if checks_fencing {
            FenceState::Presented
        } else {
            FenceState::NotChecked
        };
        Self { token, fence }
    }

    /// The target acknowledged a token.
    pub fn acknowledge(&mut self, token: FencingToken) {
        if token == self.token && self.fence == FenceState::Presented {
            self.fence = FenceState::Acknowledged;
        }
    }

    /// Whether the fold still names this lease as the holder.
    #[must_use]
    pub fn is_holder(&self, ownership: &TargetOwnership) -> bool {
        ownership
            .holder
            .as_ref()
            .is_some_and(|lease| lease.token == self.token)
    }

    /// Whether a request may be dispatched to an adapter on the target.
    ///
    /// An open intent bars its adapter, whoever announced it: the unload may be on its way.
    #[must_use]
    pub fn can_dispatch(&self, ownership: &TargetOwnership, adapter: &AdapterVersion) -> bool {
        self.can_send_orders(ownership)
            && !ownership
                .intents
                .iter()
                .any(|open| open.adapter == *adapter)
    }

    /// Whether a load order may be sent.
    #[must_use]
    pub fn can_send_orders(&self, ownership: &TargetOwnership) -> bool {
        self.is_holder(ownership) && self.fence != FenceState::Presented
    }

    /// Whether an unload may be planned at all: no former holder can still be serving.
    ///
    /// # Errors
    /// Names the rule that forbids it.
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

    /// Gives the right to send an unload order.
    ///
    /// On a target that does not check tokens, `number` is the announcement that was read back.
    ///
    /// # Errors
    /// Names the rule that forbids it.
    pub fn permit_unload(
        &self,
        ownership: &TargetOwnership,
        adapter: &AdapterVersion,
        number: Option<u64>,
        in_flight: usize,
    ) -> Result<UnloadPermit, UnloadRefusal> {
        self.check_unload(ownership, in_flight)?;
        let announced = ownership.intents.iter().any(|open| {
            open.token == self.token && Some(open.number) == number && open.adapter == *adapter
        });
        if self.fence == FenceState::NotChecked && !announced {
            return Err(UnloadRefusal::NotAnnounced);
        }
        Ok(UnloadPermit {
            adapter: adapter.clone(),
            token: self.token,
        })
    }
}

/// What is known of a former holder on a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SettleEvidence {
    /// The platform's list says that the predecessor's VM is gone.
    pub vm_unlisted: bool,
    /// Some VM of the zone other than ours is still listed, so that the zone is not merely cut off from the list.
    pub zone_still_listed: bool,
    /// The bound on delivery after the VM's end has passed (docs/DESIGN.md, assumption A1).
    pub delivery_bound_passed: bool,
    /// The target, asked directly after that bound, runs none of the predecessor's requests.
    pub no_requests_running: bool,
}

/// Whether a successor may declare a former holder settled.
///
/// The former holder itself may do so too, once it has read the takeover and has nothing sent or running.
///
/// A restart of the target is no evidence: a former holder that was paused before it read the takeover may still
/// dispatch to the restarted target (`specs/ownership.pml`, switch `SETTLE_ON_RESTART`, finds the trace).
#[must_use]
pub fn is_predecessor_settled(evidence: SettleEvidence) -> bool {
    evidence.vm_unlisted
        && evidence.zone_still_listed
        && evidence.delivery_bound_passed
        && evidence.no_requests_running
}

impl HolderLease {
    /// Whether this lease is one run of a daemon.
    #[must_use]
    pub fn is_held_by(&self, daemon: &crate::ids::DaemonRef) -> bool {
        self.daemon == *daemon
    }
}
