//! Decides which VM holds the lease of a zone and issues its orders.
//!
//! A claim is a record under the zone's key that is appended only if nothing was appended since the claimant last read.
//! Its position is the fencing token, so later claims have higher tokens, also in a later era of the log. A log that
//! was restored from a copy may lack claims: the holder continues and claims its zone again, and any other claimant
//! waits before its first order. A holder stops as soon as it reads a newer record or a target rejects its token. The
//! successor of a holder that may still be issuing orders waits before its first order and states so in its claim, so
//! that its own successor also waits if it terminates meanwhile.
//!
//! Orders and placements of a whole zone need computing power, so a VM with much CPU should hold the lease. If a VM with
//! less CPU took over while such VMs were away, they request the lease from it once they are back; it completes its
//! pending orders and releases the lease.

use crate::ids::{FencingToken, Instant, LogPosition, StoreEra, VmName};
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, time::Duration};

/// Record of a zone's holder.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneLease {
    /// Holder; `None` if the lease was released.
    pub vm: Option<VmName>,
    /// Incarnation of the holder's process.
    pub incarnation: u64,
    /// Address for other VMs.
    pub address: SocketAddr,
    /// Era of the log in which the zone was claimed; `None` in records of versions that do not know eras.
    #[serde(default)]
    pub era: Option<StoreEra>,
    /// When the zone was claimed, if the holder waits before its first order: wall-clock time in milliseconds since
    /// 1970.
    #[serde(default)]
    pub waits_since_ms: Option<u64>,
}

impl ZoneLease {
    /// Position at which the zone was claimed, for a record that is read at `position`. In a log that was restored from
    /// a copy, earlier claims keep their old offset.
    fn claimed_at(&self, position: LogPosition) -> LogPosition {
        let era = self.era.unwrap_or_else(|| position.era());
        LogPosition::in_era(era.min(position.era()), position.offset())
    }
}

/// State of the contact between this VM and the recorded holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HolderContact {
    /// Heartbeats arrive.
    Heard,
    /// Its address refuses connections or answers with another incarnation, so the process has terminated.
    Ended,
    /// No heartbeat since this time.
    Silent(Instant),
}

/// Next step regarding a zone's lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseAction {
    /// Nothing for now.
    Wait,
    /// Request the lease from the holder, which has less CPU than this VM.
    RequestTransfer,
    /// Claim the lease.
    Claim {
        /// Time from the record of the claim until the first order.
        order_delay: Duration,
    },
}

/// Times that decide when to claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTimeouts {
    /// Silence after which a holder is replaced.
    pub holder_timeout: Duration,
    /// Wait for each VM that precedes this one in the order of claimants.
    pub stagger: Duration,
    /// Time after which a holder that was replaced issues no more orders; also the interval of requests to a smaller
    /// holder.
    pub handover_delay: Duration,
}

/// State of a zone's holder as this VM sees it, and this VM's place in the order of claimants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HolderView {
    /// State of the contact with the holder.
    pub contact: HolderContact,
    /// Whether this VM has more CPU than the holder.
    pub has_more_cpu: bool,
    /// Number of VMs that claim before this one.
    pub rank: u32,
    /// Least time since the zone was claimed, if the claimant had to wait before its first order.
    pub waiting_claim_age: Option<Duration>,
    /// Whether the log was restored from a copy since the newest record, or ever if there is no record. Later records
    /// may be lost, and their holders continue until they know.
    pub is_log_restored: bool,
    /// Whether this process is the holder.
    pub is_holder: bool,
    /// Whether this process issues the zone's orders and no other VM can have done so meanwhile, even if its claim is
    /// lost.
    pub is_sole_holder: bool,
}

/// Lease of one zone, as this VM knows it.
#[derive(Clone, Debug, Default)]
pub struct LeaseState {
    /// Newest record.
    pub lease: Option<ZoneLease>,
    /// Position of the newest record.
    pub position: LogPosition,
    /// Whether the zone had a holder before the newest record.
    pub had_holder: bool,
    /// Token of the previous record, if the same holder appended the newest one.
    pub renewed_token: Option<FencingToken>,
    /// Whether the newest record was read in a later era than it was claimed in. Nobody becomes the holder by such a
    /// record.
    pub is_from_earlier_era: bool,
    /// When this VM first evaluated the newest record.
    seen_at: Option<Instant>,
    /// Since when the zone has had no reachable holder.
    vacant_since: Option<Instant>,
    /// Since when this VM has heard a holder with less CPU, or when it last requested the lease.
    smaller_holder_since: Option<Instant>,
}

impl LeaseState {
    /// Applies a record unless it is older than the known one; returns whether it was applied.
    pub fn apply(&mut self, position: LogPosition, lease: Option<ZoneLease>) -> bool {
        let read_position = position;
        let position = lease
            .as_ref()
            .map_or(read_position, |lease| lease.claimed_at(read_position));
        if self.lease.is_some() && position <= self.position {
            return false;
        }
        self.is_from_earlier_era = position != read_position;
        self.renewed_token = self.is_renewal(lease.as_ref()).then(|| self.token());
        self.had_holder |= self.lease.is_some();
        self.position = position;
        self.lease = lease;
        self.seen_at = None;
        self.vacant_since = None;
        self.smaller_holder_since = None;
        true
    }

    fn is_renewal(&self, lease: Option<&ZoneLease>) -> bool {
        let holder = |lease: &ZoneLease| Some((lease.vm.clone()?, lease.incarnation));
        let known = self.lease.as_ref().and_then(holder);
        known.is_some() && known == lease.and_then(holder)
    }

    /// Fencing token of the newest record.
    #[must_use]
    pub fn token(&self) -> FencingToken {
        self.position.token()
    }

    /// Holder by the newest record.
    #[must_use]
    pub fn holder(&self) -> Option<&VmName> {
        self.lease.as_ref()?.vm.as_ref()
    }

    /// Decides what this VM does about the lease at `now`.
    pub fn next_action(
        &mut self,
        timeouts: &LeaseTimeouts,
        view: HolderView,
        now: Instant,
    ) -> LeaseAction {
        if view.is_log_restored && view.is_holder {
            let order_delay = if view.is_sole_holder {
                Duration::ZERO
            } else {
                timeouts.handover_delay
            };
            return LeaseAction::Claim { order_delay };
        }
        let seen_at = *self.seen_at.get_or_insert(now);
        let successor_delay = match view.waiting_claim_age {
            _ if view.is_log_restored => timeouts.handover_delay,
            // The predecessor of the holder that is gone may still issue orders.
            Some(claim_age) => timeouts
                .handover_delay
                .saturating_sub(claim_age.max(now.since(seen_at))),
            None => Duration::ZERO,
        };
        let (vacant_at, order_delay) = match (self.holder(), view.contact) {
            (None, _) => (Some(now), successor_delay),
            (Some(_), HolderContact::Heard) => (None, Duration::ZERO),
            (Some(_), HolderContact::Ended) => (Some(now), successor_delay),
            (Some(_), HolderContact::Silent(since)) => {
                let is_silent = now.since(since) >= timeouts.holder_timeout;
                (is_silent.then_some(now), timeouts.handover_delay)
            }
        };
        let Some(from) = vacant_at else {
            self.vacant_since = None;
            return self.request_from_smaller_holder(timeouts, view, now);
        };
        self.smaller_holder_since = None;
        let since = *self.vacant_since.get_or_insert(from);
        if now.since(since) >= timeouts.stagger * view.rank {
            LeaseAction::Claim { order_delay }
        } else {
            LeaseAction::Wait
        }
    }

    /// Requests the lease from a holder with less CPU once it has been heard for the handover delay, and again at that
    /// interval.
    fn request_from_smaller_holder(
        &mut self,
        timeouts: &LeaseTimeouts,
        view: HolderView,
        now: Instant,
    ) -> LeaseAction {
        if view.contact != HolderContact::Heard || !view.has_more_cpu {
            self.smaller_holder_since = None;
            return LeaseAction::Wait;
        }
        let since = *self.smaller_holder_since.get_or_insert(now);
        if now.since(since) < timeouts.handover_delay {
            return LeaseAction::Wait;
        }
        self.smaller_holder_since = Some(now);
        LeaseAction::RequestTransfer
    }
}
