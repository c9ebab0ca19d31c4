//! Peer links, heartbeats and the platform's VM list.
//!
//! Daemons link with all peers of their zone and, in large fleets, with a few of each other zone. Heartbeats carry
//! liveness and digests of the held targets; only changed digests are sent, and all of them at regular intervals.

use crate::{
    app::AppState,
    event,
    events::Event,
    peers::{Heartbeat, PeerLink, PeerMessage},
};
use hoplanding_core::{
    ids::{DaemonRef, Instant, TargetName, VmName},
    membership::{ListedState, ListedVm, PeerState},
    policy::TargetDigest,
};
use siphasher::sip::SipHasher13;
use std::{
    collections::BTreeSet,
    hash::{Hash, Hasher},
    time::Duration,
};

/// Number of daemons in other zones up to which all are linked; above, [`REMOTE_ZONE_LINKS`] per zone.
const MAX_FULL_MESH_REMOTE_PEERS: usize = 24;
/// Links per remote zone in a large fleet.
const REMOTE_ZONE_LINKS: usize = 2;
/// Factor by which the heartbeat interval to other zones is longer than that within the zone.
const REMOTE_HEARTBEAT_FACTOR: u32 = 2;
/// Heartbeat interval per peer of the zone, so that heartbeat traffic does not grow with the square of the zone size.
const HEARTBEAT_INTERVAL_PER_PEER: Duration = Duration::from_millis(50);
/// Number of heartbeats after which all digests are sent in full, to repair lost updates.
const FULL_DIGEST_HEARTBEATS: u64 = 300;
/// Minimum interval between heartbeats when the loaded adapters changed.
const MIN_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(25);

impl AppState {
    /// Performs the actions that do not wait for an event.
    pub(super) fn start(&mut self) {
        self.dial_peers();
    }

    /// Dials the peers that this daemon should be linked with, and updates the addresses of existing links.
    pub(super) fn dial_peers(&mut self) {
        let remote_peers = self
            .members
            .iter()
            .filter(|(_, peer)| peer.zone != self.zone)
            .count();
        let peers: Vec<_> = self
            .members
            .iter()
            .filter(|(vm, peer)| {
                peer.zone == self.zone
                    || remote_peers <= MAX_FULL_MESH_REMOTE_PEERS
                    || self.is_remote_link(vm)
            })
            .map(|(vm, peer)| (vm.clone(), peer.address.clone()))
            .collect();
        for (vm, address) in peers {
            if let Some(link) = self.links.get(&vm) {
                link.set_address(&address);
                continue;
            }
            let link = PeerLink::start(
                vm.clone(),
                &address,
                self.workers.hello.clone(),
                self.workers.events.clone(),
            );
            self.links.insert(vm, link);
        }
    }

    /// Whether a daemon of another zone is among those that rendezvous hashing selects for links from this daemon.
    fn is_remote_link(&self, vm: &VmName) -> bool {
        let Some(peer) = self.members.peer(vm.as_str()) else {
            return false;
        };
        let score = |other: &VmName| {
            let mut hasher = SipHasher13::new();
            (&self.me.vm, other).hash(&mut hasher);
            hasher.finish()
        };
        let own_score = score(vm);
        let higher_scores = self
            .members
            .iter()
            .filter(|(other, record)| record.zone == peer.zone && score(other) > own_score);
        higher_scores.count() < REMOTE_ZONE_LINKS
    }

    pub(super) fn vms_listed(&mut self, list: &[ListedVm], now: Instant) {
        self.members.observe_list(list, now);
        self.dial_peers();
        let leaving = list
            .iter()
            .filter(|listed| listed.state == ListedState::Leaving);
        let leaving: Vec<_> = leaving.map(|listed| listed.vm.as_str().into()).collect();
        self.leaving_targets = leaving
            .into_iter()
            .filter(|name| self.config().targets.contains_key(name))
            .collect();
        self.apply_targets();
    }

    pub(super) fn tick_membership(&mut self, now: Instant) {
        for transition in self.members.tick(now) {
            event!(
                Event::PeerStateChanged,
                "{} {} -> {}",
                transition.vm,
                transition.from,
                transition.to
            );
            if matches!(transition.to, PeerState::Gone | PeerState::Suspect) {
                self.set_peer_reachable(&transition.vm, false);
                if let Some(link) = self.links.get(&transition.vm) {
                    link.set_suspect(true);
                }
            }
        }
    }

    pub(super) fn tick_heartbeat(&mut self, now: Instant) {
        let zone_peers = self
            .members
            .iter()
            .filter(|(_, peer)| peer.zone == self.zone)
            .count() as u32;
        let heartbeat_interval = self
            .settings
            .membership
            .heartbeat_interval
            .max(HEARTBEAT_INTERVAL_PER_PEER * zone_peers);
        let elapsed = now.since(self.last.heartbeat);
        let digest_revision = self.digest_revision();
        let has_changed =
            digest_revision != self.last.digest_revision && elapsed >= MIN_HEARTBEAT_INTERVAL;
        if elapsed < heartbeat_interval && !has_changed {
            return;
        }
        self.last.heartbeat = now;
        self.last.digest_revision = digest_revision;
        self.last.heartbeat_count += 1;
        let full = std::mem::take(&mut self.last.send_full_digest)
            || self.last.heartbeat_count % FULL_DIGEST_HEARTBEATS == 1;
        let heartbeat = PeerMessage::Heartbeat(Box::new(self.heartbeat(full)));
        let is_remote_due = has_changed
            || now.since(self.last.remote_heartbeat)
                >= heartbeat_interval * REMOTE_HEARTBEAT_FACTOR;
        if is_remote_due {
            self.last.remote_heartbeat = now;
        }
        for (vm, link) in &self.links {
            let is_same_zone = self
                .members
                .peer(vm.as_str())
                .is_some_and(|peer| peer.zone == self.zone);
            let is_due = is_same_zone || is_remote_due;
            // A connected peer that misses this heartbeat gets all digests with the next one.
            self.last.send_full_digest |=
                link.is_connected() && !(is_due && link.try_send(heartbeat.clone()));
        }
    }

    /// Revision that changes whenever gateways need an immediate heartbeat.
    fn digest_revision(&self) -> u64 {
        let residents = self
            .held_targets
            .values()
            .map(|runtime| runtime.scheduler.digest(Some(0)).residents_revision);
        residents.sum::<u64>() + self.held_targets.len() as u64
    }

    fn heartbeat(&mut self, full: bool) -> Heartbeat {
        Heartbeat {
            daemon: self.me.clone(),
            zone: self.zone.clone(),
            applied: self.folded.applied,
            leaving: self.stopping.is_some(),
            silent: self.members.silent_peers(),
            targets: self.own_digests(full),
            loads: self.load_notice(),
        }
    }

    /// Digests of the targets that changed since the last heartbeat, or of all targets if `full`.
    fn own_digests(&mut self, full: bool) -> Vec<TargetDigest> {
        let mut digests = Vec::new();
        for (target, runtime) in self
            .held_targets
            .iter()
            .filter(|(_, runtime)| runtime.is_serving())
        {
            let last = self.last.digests.get(target);
            let known = last.map(|digest| digest.residents_revision);
            let digest = runtime.scheduler.digest(if full { None } else { known });
            let without_residents = TargetDigest {
                residents: None,
                ..digest.clone()
            };
            if full || last != Some(&without_residents) {
                self.last.digests.insert(target.clone(), without_residents);
                digests.push(digest);
            }
        }
        digests
    }

    pub(super) fn heartbeat_received(&mut self, heartbeat: &Heartbeat, now: Instant) {
        let before = self
            .members
            .peer(heartbeat.daemon.vm.as_str())
            .map(|peer| (peer.state, peer.incarnation));
        self.members.observe_heartbeat(
            &heartbeat.daemon,
            heartbeat.leaving,
            heartbeat.applied.0,
            now,
        );
        let after = self
            .members
            .peer(heartbeat.daemon.vm.as_str())
            .map(|peer| (peer.state, peer.incarnation));
        if let (Some(before), Some(after)) = (before, after)
            && before != after
        {
            event!(
                Event::PeerStateChanged,
                "{} {} -> {}",
                heartbeat.daemon,
                before.0,
                after.0
            );
        }
        if let Some(link) = self.links.get(&heartbeat.daemon.vm) {
            link.set_suspect(false);
        }
        if heartbeat.zone == self.zone {
            self.record_silent_peers(&heartbeat.daemon.vm, &heartbeat.silent);
        }
        self.arbiter
            .record_notice(&heartbeat.daemon.vm, heartbeat.loads, now);
        let mut reported = BTreeSet::new();
        for digest in &heartbeat.targets {
            let is_holder = self
                .folded
                .ownership
                .holder(digest.target.as_str())
                .is_some_and(|lease| lease.is_held_by(&heartbeat.daemon));
            if !is_holder
                || !self
                    .links
                    .get(&heartbeat.daemon.vm)
                    .is_some_and(PeerLink::is_connected)
            {
                continue;
            }
            reported.insert(digest.target.clone());
            match self.is_engine(digest.target.as_str()) {
                Some(true) => self.engines.update_digest(&heartbeat.zone, digest),
                Some(false) => self.services.update_digest(&heartbeat.zone, digest),
                None => {}
            }
            if self.is_closed(&digest.target) {
                self.close_route(&digest.target);
            }
        }
        self.confirm_targets(&heartbeat.daemon, &reported);
    }

    /// Confirms the targets of a daemon that its heartbeat omitted because they are unchanged.
    fn confirm_targets(&mut self, daemon: &DaemonRef, reported: &BTreeSet<TargetName>) {
        let peer_targets = self.folded.ownership.iter().filter(|(target, ownership)| {
            let is_theirs = ownership
                .holder
                .as_ref()
                .is_some_and(|lease| lease.is_held_by(daemon));
            is_theirs && !reported.contains(*target)
        });
        for (target, _) in peer_targets {
            self.engines.mark_unchanged(target.as_str());
            self.services.mark_unchanged(target.as_str());
        }
    }

    fn record_silent_peers(&mut self, reporter: &VmName, silent: &[VmName]) {
        let peers: Vec<_> = self.members.iter().map(|(vm, _)| vm.clone()).collect();
        for vm in peers {
            let reporters = self.silent_reports.entry(vm.clone()).or_default();
            if silent.contains(&vm) {
                reporters.insert(reporter.clone());
            } else {
                reporters.remove(reporter);
            }
            self.members
                .observe_silence_reports(vm.as_str(), reporters.len() as u32);
        }
    }

    /// Sets whether the targets of a peer are reachable.
    pub(super) fn set_peer_reachable(&mut self, vm: &VmName, reachable: bool) {
        let peer_targets = self.folded.ownership.iter().filter(|(_, ownership)| {
            ownership
                .holder
                .as_ref()
                .is_some_and(|lease| lease.daemon.vm == *vm)
        });
        for (target, _) in peer_targets {
            self.engines.set_reachable(target.as_str(), reachable);
            self.services.set_reachable(target.as_str(), reachable);
        }
    }
}
