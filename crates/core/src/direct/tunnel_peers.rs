//! VMs that can connect to targets on behalf of this one, which has lost its own path to them.
//!
//! Nothing announces which VMs have a path: the results of attempts show it. A VM that has just brought a connection
//! to a zone's target is preferred, and one that could not is left out for a while. Among equals, a VM of the own zone
//! or of the target's zone adds no traffic between zones, and the one with the fewest open tunnels comes first.

use crate::ids::{AvailabilityZone, Instant, VmName};
use siphasher::sip::SipHasher13;
use std::{
    collections::HashMap,
    hash::{Hash, Hasher},
    time::Duration,
};

/// Time for which a VM that brought a connection to a zone counts as having a path to it.
const PROOF_TTL: Duration = Duration::from_secs(3);
/// Time for which a VM is left out that could not be reached, or has no path to the zone.
const FAILURE_BACKOFF: Duration = Duration::from_millis(800);
/// Time for which a VM is left out that has no room for another tunnel or is about to stop.
const REFUSAL_BACKOFF: Duration = Duration::from_millis(300);

/// Why a VM did not bring a connection to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerFault {
    /// The VM could not be reached.
    Unreachable,
    /// The VM has lost its own path to the zone.
    PathLost,
    /// The VM has no room for another tunnel, or is about to stop.
    Refused,
}

#[derive(Clone, Debug, Default)]
struct PeerRecord {
    open_tunnels: u32,
    /// Time until which the VM is left out for all zones.
    avoided_until: Instant,
    /// By zone, when the VM last brought a connection, and until when it is left out.
    zones: HashMap<AvailabilityZone, ZoneRecord>,
}

#[derive(Clone, Copy, Debug, Default)]
struct ZoneRecord {
    proven_at: Option<Instant>,
    avoided_until: Instant,
}

/// A VM of the fleet that may be asked.
#[derive(Clone, Copy, Debug)]
pub struct PeerCandidate<'a> {
    /// Its name.
    pub vm: &'a VmName,
    /// Its zone.
    pub zone: &'a AvailabilityZone,
}

/// Results of attempts to reach targets through other VMs.
#[derive(Clone, Debug, Default)]
pub struct TunnelPeers {
    peers: HashMap<VmName, PeerRecord>,
}

impl TunnelPeers {
    /// VMs to ask for a connection to a target of `zone`, the best first. `own` is this VM's zone.
    #[must_use]
    pub fn ranked<'a>(
        &self,
        candidates: impl Iterator<Item = PeerCandidate<'a>>,
        own: &AvailabilityZone,
        zone: &AvailabilityZone,
        now: Instant,
    ) -> Vec<&'a VmName> {
        let mut ranked: Vec<_> = candidates
            .filter(|candidate| !self.is_avoided(candidate.vm, zone, now))
            .map(|candidate| {
                let is_remote = candidate.zone != own && candidate.zone != zone;
                let is_unproven = !self.is_proven(candidate.vm, zone, now);
                let open = self.peers.get(candidate.vm);
                let open = open.map_or(0, |peer| peer.open_tunnels);
                let mut hasher = SipHasher13::new();
                (candidate.vm.as_str(), now.0).hash(&mut hasher);
                (
                    (is_unproven, is_remote, open, hasher.finish()),
                    candidate.vm,
                )
            })
            .collect();
        ranked.sort_unstable();
        ranked.into_iter().map(|(_, vm)| vm).collect()
    }

    fn is_avoided(&self, vm: &VmName, zone: &AvailabilityZone, now: Instant) -> bool {
        self.peers.get(vm).is_some_and(|peer| {
            let in_zone = peer.zones.get(zone);
            now < peer.avoided_until || in_zone.is_some_and(|record| now < record.avoided_until)
        })
    }

    /// Whether a VM lately brought a connection to a zone's target.
    #[must_use]
    pub fn is_proven(&self, vm: &VmName, zone: &AvailabilityZone, now: Instant) -> bool {
        let peer = self.peers.get(vm);
        let proven_at = peer.and_then(|peer| peer.zones.get(zone)?.proven_at);
        proven_at.is_some_and(|at| now.since(at) < PROOF_TTL) && !self.is_avoided(vm, zone, now)
    }

    /// Records that a VM brought a connection to a zone's target.
    pub fn record_success(&mut self, vm: &VmName, zone: &AvailabilityZone, now: Instant) {
        let peer = self.peers.entry(vm.clone()).or_default();
        peer.avoided_until = Instant::default();
        let record = ZoneRecord {
            proven_at: Some(now),
            avoided_until: Instant::default(),
        };
        peer.zones.insert(zone.clone(), record);
    }

    /// Records that a VM brought no connection.
    pub fn record_fault(
        &mut self,
        vm: &VmName,
        zone: &AvailabilityZone,
        fault: PeerFault,
        now: Instant,
    ) {
        let peer = self.peers.entry(vm.clone()).or_default();
        match fault {
            PeerFault::Unreachable => peer.avoided_until = now.after(FAILURE_BACKOFF),
            PeerFault::Refused => peer.avoided_until = now.after(REFUSAL_BACKOFF),
            PeerFault::PathLost => {
                let record = ZoneRecord {
                    proven_at: None,
                    avoided_until: now.after(FAILURE_BACKOFF),
                };
                peer.zones.insert(zone.clone(), record);
            }
        }
    }

    /// Counts a tunnel through a VM.
    pub fn record_open(&mut self, vm: &VmName) {
        self.peers.entry(vm.clone()).or_default().open_tunnels += 1;
    }

    /// Records the end of a tunnel through a VM.
    pub fn record_close(&mut self, vm: &VmName) {
        if let Some(peer) = self.peers.get_mut(vm) {
            peer.open_tunnels = peer.open_tunnels.saturating_sub(1);
        }
    }

    /// Keeps the VMs that match, and those with open tunnels.
    pub fn retain(&mut self, keep: impl Fn(&VmName) -> bool) {
        self.peers
            .retain(|vm, peer| peer.open_tunnels > 0 || keep(vm));
    }
}
