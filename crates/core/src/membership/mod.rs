//! Which VMs are live, suspect, leaving or gone.
//!
//! Three witnesses: heartbeats (with refused connections), the platform's VM list, and the seeds of the settings.
//! None alone declares a death. A suspicion never makes anything safe or unsafe: it only starts a takeover, and the
//! log decides that.

use crate::ids::{AvailabilityZone, DaemonRef, Incarnation, Instant, VmName};
use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, HashMap},
    fmt,
    time::Duration,
};

/// What this daemon believes of a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum PeerState {
    /// Known from a seed or the list, never heard.
    Unheard,
    /// Heard lately.
    Live,
    /// Silent, with no second witness.
    Suspect,
    /// It said, or the list says, that it is leaving.
    Leaving,
    /// Silent, and a second witness agrees.
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

/// Spans after which silence means something.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct MembershipTimeouts {
    /// Silence after which a peer is suspect.
    pub suspect_after: Duration,
    /// Silence after which a suspect's targets may be taken over without a second witness.
    pub take_over_after: Duration,
    /// Time after which what a gone VM sent can no longer arrive (assumption A1 of docs/DESIGN.md).
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

/// How the platform's list names a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ListedState {
    /// It runs.
    Live,
    /// It is about to stop.
    Leaving,
}

/// One VM of the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedVm {
    /// Its name.
    pub vm: VmName,
    /// Its availability zone.
    pub zone: AvailabilityZone,
    /// `IP:port` of the daemon's peer interface there.
    pub peer_address: String,
    /// Its state.
    pub state: ListedState,
}

/// What is known of one peer.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerRecord {
    /// Its zone.
    pub zone: AvailabilityZone,
    /// `IP:port` of its peer interface.
    pub address: String,
    /// Its latest run, once heard.
    pub incarnation: Option<Incarnation>,
    /// The belief.
    pub state: PeerState,
    /// When it was last heard.
    pub heard_at: Option<Instant>,
    /// Since when connections to it are refused.
    pub refused_since: Option<Instant>,
    /// Other daemons that call it silent.
    pub silence_reports: u32,
    /// What the list says; none if it is not in it.
    pub listed: Option<ListedState>,
    /// Since when it is missing from a list that it once was in.
    pub unlisted_since: Option<Instant>,
    /// Offset of the log that it has folded.
    pub applied: u64,
}

/// A change of belief.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerTransition {
    /// The peer.
    pub vm: VmName,
    /// The old belief.
    pub from: PeerState,
    /// The new belief.
    pub to: PeerState,
}

/// What this daemon believes of all peers.
#[derive(Clone, Debug)]
pub struct MembershipTable {
    me: DaemonRef,
    zone: AvailabilityZone,
    times: MembershipTimeouts,
    peers: BTreeMap<VmName, PeerRecord>,
    listed_zones: BTreeMap<AvailabilityZone, usize>,
    list_read_at: Option<Instant>,
}

impl MembershipTable {
    /// A table that knows this daemon only.
    #[must_use]
    pub fn new(me: DaemonRef, zone: AvailabilityZone, times: MembershipTimeouts) -> Self {
        Self {
            me,
            zone,
            times,
            peers: BTreeMap::new(),
            listed_zones: BTreeMap::new(),
            list_read_at: None,
        }
    }

    /// Adds a peer from the settings' seeds; known ones are left as they are.
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

    /// Takes the platform's list in.
    pub fn observe_list(&mut self, list: &[ListedVm], now: Instant) {
        self.list_read_at = Some(now);
        self.listed_zones.clear();
        for listed in list {
            *self.listed_zones.entry(listed.zone.clone()).or_default() += 1;
            // A VM without a peer interface runs a target, not a daemon.
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

    /// A heartbeat came.
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

    /// A connection to a peer was refused: nobody listens there.
    pub fn observe_refused(&mut self, vm: &str, now: Instant) {
        if let Some(peer) = self.peers.get_mut(vm) {
            peer.refused_since.get_or_insert(now);
        }
    }

    /// Other daemons of the zone call a peer silent.
    pub fn observe_silence_reports(&mut self, vm: &str, reporters: u32) {
        if let Some(peer) = self.peers.get_mut(vm) {
            peer.silence_reports = reporters;
        }
    }

    /// Moves silent peers on; the only place where silence changes a belief.
    pub fn tick(&mut self, now: Instant) -> Vec<PeerTransition> {
        let mut transitions = Vec::new();
        for (vm, peer) in &mut self.peers {
            let next = next_state(peer, &self.times, now);
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

    /// All peers.
    pub fn iter(&self) -> impl Iterator<Item = (&VmName, &PeerRecord)> {
        self.peers.iter()
    }

    /// One peer.
    #[must_use]
    pub fn peer(&self, vm: &str) -> Option<&PeerRecord> {
        self.peers.get(vm)
    }

    /// Peers of this daemon's zone that are silent; told to the others in heartbeats.
    #[must_use]
    pub fn silent_peers(&self) -> Vec<VmName> {
        let zone_peers = self.peers.iter().filter(|(_, peer)| peer.zone == self.zone);
        let silent = zone_peers
            .filter(|(_, peer)| matches!(peer.state, PeerState::Suspect | PeerState::Gone));
        silent.map(|(vm, _)| vm.clone()).collect()
    }

    /// Daemons of the zone that can hold targets, this one among them.
    #[must_use]
    pub fn eligible_daemons(&self) -> Vec<DaemonRef> {
        let mut able = vec![self.me.clone()];
        for (vm, peer) in &self.peers {
            let (true, PeerState::Live, Some(incarnation)) =
                (peer.zone == self.zone, peer.state, peer.incarnation)
            else {
                continue;
            };
            able.push(DaemonRef {
                vm: vm.clone(),
                incarnation,
            });
        }
        able
    }

    /// Whether a holder can't go on, so that its targets may be taken over.
    #[must_use]
    pub fn is_replaceable(&self, daemon: &DaemonRef, now: Instant) -> bool {
        if daemon.vm == self.me.vm {
            // An earlier run on this VM is over.
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
                .is_some_and(|heard| now.since(heard) >= self.times.take_over_after),
            PeerState::Unheard => peer.refused_since.is_some() || peer.listed.is_none(),
            PeerState::Live | PeerState::Leaving => false,
        }
    }

    /// Whether the list says that a VM is gone while it still shows the zone, and what it sent can't arrive any more.
    #[must_use]
    pub fn is_confirmed_gone(&self, vm: &str, now: Instant) -> bool {
        let Some(peer) = self.peers.get(vm) else {
            return false;
        };
        let zone_listed = self.listed_zones.get(&peer.zone).copied().unwrap_or(0) > 0;
        let passed = peer
            .unlisted_since
            .is_some_and(|since| now.since(since) >= self.times.delivery_bound);
        peer.listed.is_none() && zone_listed && passed
    }

    /// Whether a run of a daemon is over, because its VM runs a later one that reported long enough ago.
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

fn next_state(peer: &PeerRecord, times: &MembershipTimeouts, now: Instant) -> PeerState {
    if peer.listed == Some(ListedState::Leaving) && peer.state == PeerState::Live {
        return PeerState::Leaving;
    }
    let Some(heard) = peer.heard_at else {
        return peer.state;
    };
    if now.since(heard) < times.suspect_after {
        return peer.state;
    }
    let second_witness =
        peer.refused_since.is_some() || peer.silence_reports > 0 || peer.unlisted_since.is_some();
    if second_witness {
        PeerState::Gone
    } else {
        PeerState::Suspect
    }
}
