//! Links, heartbeats and the platform's list.

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

/// Daemons of other zones up to which all are linked; beyond, [`FAR_LINKS`] a zone.
const FAR_MESH: usize = 24;
/// Links to each other zone of a large fleet.
const FAR_LINKS: usize = 2;
/// Heartbeats within the zone for each one to another zone.
const FAR_SHARE: u32 = 2;
/// Pause between heartbeats for each peer of the zone, so that their bytes do not grow with its square.
const PAUSE_A_PEER: Duration = Duration::from_millis(50);
/// Heartbeats after which everything is told in full, should a part have been lost.
const FULL_EVERY: u64 = 300;
/// Shortest pause between two heartbeats when loads changed.
const EAGER_PAUSE: Duration = Duration::from_millis(25);

impl AppState {
    /// Starts what needs no event.
    pub(super) fn begin(&mut self) {
        self.dial_peers();
    }

    /// Dials the peers that this daemon should be linked with.
    pub(super) fn dial_peers(&mut self) {
        let far = self
            .members
            .iter()
            .filter(|(_, peer)| peer.zone != self.zone)
            .count();
        let wanted: Vec<_> = self
            .members
            .iter()
            .filter(|(vm, peer)| peer.zone == self.zone || far <= FAR_MESH || self.is_far_link(vm))
            .map(|(vm, peer)| (vm.clone(), peer.address.clone()))
            .collect();
        for (vm, address) in wanted {
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

    /// Whether a daemon of another zone is among the few that this one links with there.
    fn is_far_link(&self, vm: &VmName) -> bool {
        let Some(peer) = self.members.peer(vm.as_str()) else {
            return false;
        };
        let score = |other: &VmName| {
            let mut hasher = SipHasher13::new();
            (&self.me.vm, other).hash(&mut hasher);
            hasher.finish()
        };
        let mine = score(vm);
        let better = self
            .members
            .iter()
            .filter(|(other, record)| record.zone == peer.zone && score(other) > mine);
        better.count() < FAR_LINKS
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
        let near = self
            .members
            .iter()
            .filter(|(_, peer)| peer.zone == self.zone)
            .count() as u32;
        let pause = self
            .settings
            .membership
            .heartbeat_interval
            .max(PAUSE_A_PEER * near);
        let passed = now.since(self.last.heartbeat);
        let revision = self.digest_revision();
        let eager = revision != self.last.digest_revision && passed >= EAGER_PAUSE;
        if passed < pause && !eager {
            return;
        }
        self.last.heartbeat = now;
        self.last.digest_revision = revision;
        self.last.full_digest += 1;
        let full =
            std::mem::take(&mut self.last.tell_all) || self.last.full_digest % FULL_EVERY == 1;
        let heartbeat = PeerMessage::Heartbeat(Box::new(self.heartbeat(full)));
        let far_due = eager || now.since(self.last.far_heartbeat) >= pause * FAR_SHARE;
        if far_due {
            self.last.far_heartbeat = now;
        }
        for (vm, link) in &self.links {
            let is_near = self
                .members
                .peer(vm.as_str())
                .is_some_and(|peer| peer.zone == self.zone);
            let is_due = is_near || far_due;
            // What a peer did not get now it gets in full with the next one.
            self.last.tell_all |=
                link.is_connected() && !(is_due && link.try_send(heartbeat.clone()));
        }
    }

    /// Changes whenever gateways should hear of it at once.
    fn digest_revision(&self) -> u64 {
        let residents = self
            .held
            .values()
            .map(|held| held.scheduler.digest(Some(0)).residents_revision);
        residents.sum::<u64>() + self.held.len() as u64
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

    /// Digests of the targets that changed since the last heartbeat, or of all in full.
    fn own_digests(&mut self, full: bool) -> Vec<TargetDigest> {
        let mut digests = Vec::new();
        for (target, held) in self.held.iter().filter(|(_, held)| held.is_serving()) {
            let last = self.last.digests.get(target);
            let known = last.map(|digest| digest.residents_revision);
            let digest = held.scheduler.digest(if full { None } else { known });
            let bare = TargetDigest {
                residents: None,
                ..digest.clone()
            };
            if full || last != Some(&bare) {
                self.last.digests.insert(target.clone(), bare);
                digests.push(digest);
            }
        }
        digests
    }

    pub(super) fn heartbeat_came(&mut self, heartbeat: &Heartbeat, now: Instant) {
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
            self.note_silent(&heartbeat.daemon.vm, &heartbeat.silent);
        }
        self.arbiter
            .record_notice(&heartbeat.daemon.vm, heartbeat.loads, now);
        let mut told = BTreeSet::new();
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
            told.insert(digest.target.clone());
            match self.is_engine(digest.target.as_str()) {
                Some(true) => self.engines.update_digest(&heartbeat.zone, digest),
                Some(false) => self.services.update_digest(&heartbeat.zone, digest),
                None => {}
            }
            if self.is_closed(&digest.target) {
                self.close_route(&digest.target);
            }
        }
        self.confirm_targets(&heartbeat.daemon, &told);
    }

    /// Targets of a daemon whose heartbeat did not name them are as they were.
    fn confirm_targets(&mut self, daemon: &DaemonRef, told: &BTreeSet<TargetName>) {
        let held = self.folded.ownership.iter().filter(|(target, ownership)| {
            let is_theirs = ownership
                .holder
                .as_ref()
                .is_some_and(|lease| lease.is_held_by(daemon));
            is_theirs && !told.contains(*target)
        });
        for (target, _) in held {
            self.engines.mark_unchanged(target.as_str());
            self.services.mark_unchanged(target.as_str());
        }
    }

    fn note_silent(&mut self, reporter: &VmName, silent: &[VmName]) {
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

    /// Marks the targets of a peer as reachable or not.
    pub(super) fn set_peer_reachable(&mut self, vm: &VmName, reachable: bool) {
        let held = self.folded.ownership.iter().filter(|(_, ownership)| {
            ownership
                .holder
                .as_ref()
                .is_some_and(|lease| lease.daemon.vm == *vm)
        });
        for (target, _) in held {
            self.engines.set_reachable(target.as_str(), reachable);
            self.services.set_reachable(target.as_str(), reachable);
        }
    }
}
