//! Failure detection: which VMs are live, suspect, leaving or gone.
//!
//! Peers are learned from the seeds in the settings and from the platform's VM list. A peer that misses heartbeats
//! becomes suspect, and counts as gone only if a second source agrees: a refused connection, another daemon that misses
//! its heartbeats, or its absence from the VM list. Safety never depends on these states. They only start a takeover,
//! which is decided by the order of the log.

use crate::ids::{AvailabilityZone, DaemonRef, Incarnation, Instant, VmName};
use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, HashMap},
    fmt,
    time::Duration,
};

/// State of a peer as seen by this daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum PeerState {
    /// Known from a seed or the VM list, without any heartbeat so far.
    Unheard,
    /// Sends heartbeats.
    Live,
    /// Misses heartbeats, not confirmed by a second source.
    Suspect,
    /// Leaving according to its heartbeat or the VM list.
    Leaving,
    /// Misses heartbeats, confirmed by a second source.
    Gone,
}

impl fmt::Display for PeerState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Unheard => "unheard",
            Self::Live => "live",
            Self::Suspect => "suspect",
            Self::Leaving => "leaving",
            Self::Gone => "gone",
        })
    }
}

/// Timeouts of failure detection.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct MembershipTimeouts {
    /// Time without a heartbeat after which a peer is suspect.
    pub suspect_after: Duration,
    /// Time without a heartbeat after which a suspect's targets may be taken over without confirmation.
    pub take_over_after: Duration,
    /// Longest time for which a message of a gone VM may still arrive (docs/DESIGN.md, assumption A1).
    pub delivery_bound: Duration,
}

impl Default for MembershipTimeouts {
    fn default() -> Self {
        Self {
            suspect_after: Duration::from_millis(1200),
            take_over_after: Duration::from_secs(6),
            delivery_bound: Duration::from_secs(5),
        }
    }
}

/// State of a VM in the platform's VM list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ListedState {
    /// Running.
    Live,
    /// About to stop.
    Leaving,
}

/// Entry of the platform's VM list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedVm {
    /// Name of the VM.
    pub vm: VmName,
    /// Availability zone of the VM.
    pub zone: AvailabilityZone,
    /// `IP:port` of its daemon's peer interface; empty if it runs no daemon.
    pub peer_address: String,
    /// State reported by the platform.
    pub state: ListedState,
}

/// Information about one peer.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerRecord {
    /// Availability zone of the peer.
    pub zone: AvailabilityZone,
    /// `IP:port` of the peer interface.
    pub address: String,
    /// Incarnation in the latest heartbeat.
    pub incarnation: Option<Incarnation>,
    /// Current state.
    pub state: PeerState,
    /// Time of the latest heartbeat.
    pub heard_at: Option<Instant>,
    /// Time of the first refused connection since the latest heartbeat.
    pub refused_since: Option<Instant>,
    /// Number of other daemons that miss its heartbeats.
    pub silence_reports: u32,
    /// State in the VM list; none if it is not listed.
    pub listed: Option<ListedState>,
    /// Time at which it was found missing from the VM list after having been listed.
    pub unlisted_since: Option<Instant>,
    /// Log offset up to which it has applied records.
    pub applied: u64,
}

/// Change of a peer's state.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerTransition {
    /// The peer.
    pub vm: VmName,
    /// Previous state.
    pub from: PeerState,
    /// New state.
    pub to: PeerState,
}

/// States of all peers as seen by this daemon.
#[derive(Clone, Debug)]
pub struct MembershipTable {
    me: DaemonRef,
    zone: AvailabilityZone,
    timeouts: MembershipTimeouts,
    peers: BTreeMap<VmName, PeerRecord>,
    listed_zones: BTreeMap<AvailabilityZone, usize>,
    list_read_at: Option<Instant>,
}

impl MembershipTable {
    /// Creates a table without peers.
    #[must_use]
    pub fn new(me: DaemonRef, zone: AvailabilityZone, timeouts: MembershipTimeouts) -> Self {
        Self {
            me,
            zone,
            timeouts,
            peers: BTreeMap::new(),
            listed_zones: BTreeMap::new(),
            list_read_at: None,
        }
    }

    /// Adds a peer from the seeds in the settings; a known peer is left unchanged.
    pub fn add_seed(&mut self, vm: &VmName, zone: &AvailabilityZone, address: &str) {
        if *vm == self.me.vm {
            return;
        }
        self.peers.entry(vm.clone()).or_insert_with(|| PeerRecord {
            zone: zone.clone(),
            address: address.to_owned(),
            incarnation: None,
            state: PeerState::Unheard,
            heard_at: None,
            refused_since: None,
            silence_reports: 0,
            listed: None,
            unlisted_since: None,
            applied: 0,
        });
    }

    /// Applies the platform's VM list, read at `now`.
    pub fn observe_list(&mut self, list: &[ListedVm], now: Instant) {
        self.list_read_at = Some(now);
        self.listed_zones.clear();
        for listed in list {
            *self.listed_zones.entry(listed.zone.clone()).or_default() += 1;
            // A VM without a peer address runs a target and no daemon.
            if !listed.peer_address.is_empty() {
                self.add_seed(&listed.vm, &listed.zone, &listed.peer_address);
            }
        }
        let entries: HashMap<_, _> = list.iter().map(|listed| (&listed.vm, listed)).collect();
        for (vm, peer) in &mut self.peers {
            let entry = entries.get(vm);
            if let Some(entry) = entry {
                if !entry.peer_address.is_empty() {
                    peer.address.clone_from(&entry.peer_address);
                }
                peer.unlisted_since = None;
            } else if peer.listed.is_some() {
                peer.unlisted_since = Some(now);
            }
            peer.listed = entry.map(|listed| listed.state);
        }
    }

    /// Applies a heartbeat; one of an unknown VM is ignored.
    pub fn observe_heartbeat(
        &mut self,
        daemon: &DaemonRef,
        leaving: bool,
        applied: u64,
        now: Instant,
    ) {
        let Some(peer) = self.peers.get_mut(&daemon.vm) else {
            return;
        };
        peer.incarnation = Some(daemon.incarnation);
        peer.heard_at = Some(now);
        peer.refused_since = None;
        peer.applied = applied;
        peer.state = if leaving {
            PeerState::Leaving
        } else {
            PeerState::Live
        };
    }

    /// Records that a peer refused a connection, so no process listens at its address.
    pub fn observe_refused(&mut self, vm: &str, now: Instant) {
        if let Some(peer) = self.peers.get_mut(vm) {
            peer.refused_since.get_or_insert(now);
        }
    }

    /// Records how many other daemons of the zone miss a peer's heartbeats.
    pub fn observe_silence_reports(&mut self, vm: &str, reporters: u32) {
        if let Some(peer) = self.peers.get_mut(vm) {
            peer.silence_reports = reporters;
        }
    }

    /// Updates the states of peers that miss heartbeats, and returns the changes.
    pub fn tick(&mut self, now: Instant) -> Vec<PeerTransition> {
        let mut transitions = Vec::new();
        for (vm, peer) in &mut self.peers {
            let next = next_state(peer, &self.timeouts, now);
            if next != peer.state {
                transitions.push(PeerTransition {
                    vm: vm.clone(),
                    from: peer.state,
                    to: next,
                });
                peer.state = next;
            }
        }
        transitions
    }

    /// Iterates over all peers by VM name.
    pub fn iter(&self) -> impl Iterator<Item = (&VmName, &PeerRecord)> {
        self.peers.iter()
    }

    /// Looks up a peer by VM name.
    #[must_use]
    pub fn peer(&self, vm: &str) -> Option<&PeerRecord> {
        self.peers.get(vm)
    }

    /// Peers of this daemon's zone that miss heartbeats, to be reported in this daemon's own heartbeats.
    #[must_use]
    pub fn silent_peers(&self) -> Vec<VmName> {
        let zone_peers = self.peers.iter().filter(|(_, peer)| peer.zone == self.zone);
        let silent = zone_peers
            .filter(|(_, peer)| matches!(peer.state, PeerState::Suspect | PeerState::Gone));
        silent.map(|(vm, _)| vm.clone()).collect()
    }

    /// Daemons of the zone that can hold targets, including this one.
    #[must_use]
    pub fn eligible_daemons(&self) -> Vec<DaemonRef> {
        let mut candidates = vec![self.me.clone()];
        for (vm, peer) in &self.peers {
            let (true, PeerState::Live, Some(incarnation)) =
                (peer.zone == self.zone, peer.state, peer.incarnation)
            else {
                continue;
            };
            candidates.push(DaemonRef {
                vm: vm.clone(),
                incarnation,
            });
        }
        candidates
    }

    /// Whether the targets of a holder may be taken over because it cannot continue.
    #[must_use]
    pub fn is_replaceable(&self, daemon: &DaemonRef, now: Instant) -> bool {
        if daemon.vm == self.me.vm {
            // Any other incarnation on this VM has ended.
            return daemon.incarnation != self.me.incarnation;
        }
        let Some(peer) = self.peers.get(&daemon.vm) else {
            return self.list_read_at.is_some();
        };
        if peer
            .incarnation
            .is_some_and(|latest| latest != daemon.incarnation)
        {
            return true;
        }
        match peer.state {
            PeerState::Gone => true,
            PeerState::Suspect => peer
                .heard_at
                .is_some_and(|heard| now.since(heard) >= self.timeouts.take_over_after),
            PeerState::Unheard => peer.refused_since.is_some() || peer.listed.is_none(),
            PeerState::Live | PeerState::Leaving => false,
        }
    }

    /// Whether a VM has been missing from the VM list for the delivery bound, so that none of its messages can still
    /// arrive. Its zone must still be listed, since otherwise the list may lack the whole zone.
    #[must_use]
    pub fn is_confirmed_gone(&self, vm: &str, now: Instant) -> bool {
        let Some(peer) = self.peers.get(vm) else {
            return false;
        };
        let is_zone_listed = self.listed_zones.get(&peer.zone).copied().unwrap_or(0) > 0;
        let is_bound_passed = peer
            .unlisted_since
            .is_some_and(|since| now.since(since) >= self.timeouts.delivery_bound);
        peer.listed.is_none() && is_zone_listed && is_bound_passed
    }

    /// Whether an incarnation of a daemon has ended, because its VM reports another one. Its messages may still arrive
    /// within the delivery bound.
    #[must_use]
    pub fn is_superseded(&self, daemon: &DaemonRef) -> bool {
        if daemon.vm == self.me.vm {
            return daemon.incarnation != self.me.incarnation;
        }
        let peer = self.peers.get(&daemon.vm);
        peer.and_then(|peer| peer.incarnation)
            .is_some_and(|latest| latest != daemon.incarnation)
    }
}

fn next_state(peer: &PeerRecord, timeouts: &MembershipTimeouts, now: Instant) -> PeerState {
    if peer.listed == Some(ListedState::Leaving) && peer.state == PeerState::Live {
        return PeerState::Leaving;
    }
    let Some(heard) = peer.heard_at else {
        return peer.state;
    };
    if now.since(heard) < timeouts.suspect_after {
        return peer.state;
    }
    let is_confirmed =
        peer.refused_since.is_some() || peer.silence_reports > 0 || peer.unlisted_since.is_some();
    if is_confirmed {
        PeerState::Gone
    } else {
        PeerState::Suspect
    }
}
