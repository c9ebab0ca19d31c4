//! Which VM gives the orders in a zone.
//!
//! A claim is a record under the zone's key, appended only if nothing was appended since the claimant read; its position
//! is the fencing token, so a later claim always has a higher one, also in a later era of the log. A log that came back from a
//! copy may lack claims: the holder goes on and claims its zone again, and whoever else claims it waits before its first order. A holder stops as soon as it reads a newer record or
//! a target refuses its token. A successor of a holder that may still be giving orders waits before its first one, and says so in its
//! claim: should it end meanwhile, its own successor waits as well.
//!
//! Orders and placements of a whole zone are work, so a strong VM should do it. A weak one that took over while the
//! strong ones were away is asked for the lease once they are back: it finishes the orders under way and gives it up.

use crate::ids::{FencingToken, Instant, LogPosition, StoreEra, VmName};
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, time::Duration};

/// A zone's holder, as recorded; an empty VM means that it was given up.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneLease {
    /// The VM, or none.
    pub vm: Option<VmName>,
    /// The run of its process.
    pub incarnation: u64,
    /// Where other VMs reach it.
    pub address: SocketAddr,
    /// The era in which it was claimed; none in records of a version that knows no eras.
    #[serde(default)]
    pub era: Option<StoreEra>,
    /// When it was claimed, if its holder waits before its first order: wall-clock time in milliseconds since 1970.
    #[serde(default)]
    pub waits_since_ms: Option<u64>,
}

impl ZoneLease {
    /// The position at which it was claimed, of a record that is read at `position`. In a log that came back from a copy, what was
    /// claimed before stands at its old offset.
    fn claimed_at(&self, position: LogPosition) -> LogPosition {
        let era = self.era.unwrap_or_else(|| position.era());
        LogPosition::in_era(era.min(position.era()), position.offset())
    }
}

/// How the VM's contact with the recorded holder stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HolderContact {
    /// It is heard.
    Heard,
    /// Its address refuses connections, or answers as another run: the process ended.
    Ended,
    /// Nothing has come from it since.
    Silent(Instant),
}

/// What to do about a zone's lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseAction {
    /// Nothing for now.
    Wait,
    /// Ask the holder for it, as it is weaker than this VM.
    RequestTransfer,
    /// Claim it; orders may begin this long after the claim was recorded.
    Claim {
        /// Pause before the first order.
        order_delay: Duration,
    },
}

/// Spans that decide when to claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTimeouts {
    /// Silence after which a holder is replaced.
    pub holder_timeout: Duration,
    /// Pause for each VM that comes earlier in the order of claimants.
    pub stagger: Duration,
    /// Time within which two holders may not take turns.
    pub handover_delay: Duration,
}

/// What a VM sees of its zone's holder, and its own place in the order of claimants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HolderView {
    /// How the contact with the holder stands.
    pub contact: HolderContact,
    /// Whether this VM is stronger than the holder.
    pub is_holder_weaker: bool,
    /// VMs that claim before this one.
    pub rank: u32,
    /// How long ago the zone was claimed at the least, if the claimant was to wait before its first order.
    pub waiting_claim_age: Option<Duration>,
    /// Whether the log has come back from a copy since the newest record: later ones may be lost, and their holders go on until
    /// they know.
    pub is_log_restored: bool,
    /// Whether this process is the holder.
    pub is_holder: bool,
    /// Whether this process gives the zone's orders, and no other VM can have done so meanwhile, though its claim may be lost.
    pub is_sole_holder: bool,
}

/// One zone's lease, as this VM knows it.
#[derive(Clone, Debug, Default)]
pub struct LeaseState {
    /// The newest record.
    pub lease: Option<ZoneLease>,
    /// Its position.
    pub position: LogPosition,
    /// Whether the zone has had a holder before the newest record's.
    pub had_holder: bool,
    /// Token of the record before, if the newest one was appended by the same holder.
    pub renewed_token: Option<FencingToken>,
    /// Whether the newest record was read in a later era than it was claimed in: nobody begins to hold the zone by it.
    pub is_from_earlier_era: bool,
    /// When this VM first looked at the newest record.
    seen_at: Option<Instant>,
    /// Since when the zone has had no holder that can be reached.
    vacant_since: Option<Instant>,
    /// Since when this VM has heard a holder that is weaker, or asked it last.
    weaker_since: Option<Instant>,
}

impl LeaseState {
    /// Folds a record; older ones are passed over. Says whether it is news.
    pub fn apply(&mut self, position: LogPosition, lease: Option<ZoneLease>) -> bool {
        let read_at = position;
        let position = lease
            .as_ref()
            .map_or(read_at, |lease| lease.claimed_at(read_at));
        if self.lease.is_some() && position <= self.position {
            return false;
        }
        self.is_from_earlier_era = position != read_at;
        self.renewed_token = self.is_renewed_by(lease.as_ref()).then(|| self.token());
        self.had_holder |= self.lease.is_some();
        self.position = position;
        self.lease = lease;
        self.seen_at = None;
        self.vacant_since = None;
        self.weaker_since = None;
        true
    }

    fn is_renewed_by(&self, lease: Option<&ZoneLease>) -> bool {
        let holder = |lease: &ZoneLease| Some((lease.vm.clone()?, lease.incarnation));
        let known = self.lease.as_ref().and_then(holder);
        known.is_some() && known == lease.and_then(holder)
    }

    /// The token of the newest record.
    #[must_use]
    pub fn token(&self) -> FencingToken {
        self.position.token()
    }

    /// The VM that holds the zone by the newest record.
    #[must_use]
    pub fn holder(&self) -> Option<&VmName> {
        self.lease.as_ref()?.vm.as_ref()
    }

    /// Decides what this VM does about the lease.
    pub fn next_action(
        &mut self,
        times: &LeaseTimeouts,
        view: HolderView,
        now: Instant,
    ) -> LeaseAction {
        if view.is_log_restored && view.is_holder {
            let quiet = if view.is_sole_holder {
                Duration::ZERO
            } else {
                times.handover_delay
            };
            return LeaseAction::Claim { order_delay: quiet };
        }
        let seen_at = *self.seen_at.get_or_insert(now);
        let since_gone = match view.waiting_claim_age {
            _ if view.is_log_restored => times.handover_delay,
            // The holder before the one that is gone may go on.
            Some(waited) => times
                .handover_delay
                .saturating_sub(waited.max(now.since(seen_at))),
            None => Duration::ZERO,
        };
        let (vacant_from, quiet) = match (self.holder(), view.contact) {
            (None, _) => (Some(now), since_gone),
            (Some(_), HolderContact::Heard) => (None, Duration::ZERO),
            (Some(_), HolderContact::Ended) => (Some(now), since_gone),
            (Some(_), HolderContact::Silent(since)) => {
                let silent = now.since(since) >= times.holder_timeout;
                (silent.then_some(now), times.handover_delay)
            }
        };
        let Some(from) = vacant_from else {
            self.vacant_since = None;
            return self.ask_weaker(times, view, now);
        };
        self.weaker_since = None;
        let since = *self.vacant_since.get_or_insert(from);
        if now.since(since) >= times.stagger * view.rank {
            LeaseAction::Claim { order_delay: quiet }
        } else {
            LeaseAction::Wait
        }
    }

    /// Asks a weaker holder for the lease, once a turn: that long it has held it, and this VM has heard it.
    fn ask_weaker(&mut self, times: &LeaseTimeouts, view: HolderView, now: Instant) -> LeaseAction {
        if view.contact != HolderContact::Heard || !view.is_holder_weaker {
            self.weaker_since = None;
            return LeaseAction::Wait;
        }
        let since = *self.weaker_since.get_or_insert(now);
        if now.since(since) < times.handover_delay {
            return LeaseAction::Wait;
        }
        self.weaker_since = Some(now);
        LeaseAction::RequestTransfer
    }
}
