//! Loss and return of the path to a zone, and the choice of VMs that reach it on behalf of others.

use hoplanding_core::{
    direct::{
        paths::{PathChange, PathTable},
        tunnel_peers::{PeerCandidate, PeerFault, TunnelPeers},
    },
    ids::{AvailabilityZone, Instant, VmName},
};
use std::time::Duration;

fn at(ms: u64) -> Instant {
    Instant(1_000_000 + ms * 1_000)
}

fn hall() -> AvailabilityZone {
    AvailabilityZone::new("hall")
}

/// A failed connection to a target that has ended must not make each call check the path.
#[test]
fn a_connection_answered_since_the_failed_one_was_tried_shows_that_the_path_is_open() {
    let mut paths = PathTable::default();
    assert!(!paths.is_known_since(&hall(), at(1_000), at(1_010)));
    paths.record_heard(&hall(), at(900), at(1_005));
    assert!(!paths.is_known_since(&hall(), at(1_000), at(1_010)));
    paths.record_heard(&hall(), at(1_002), at(1_008));
    assert!(paths.is_known_since(&hall(), at(1_000), at(1_010)));
}

/// Calls whose connections hang never fail, so only the silence shows that the path is lost.
#[test]
fn silence_of_a_zone_is_checked_while_calls_wait_and_not_otherwise() {
    let mut paths = PathTable::default();
    paths.record_heard(&hall(), at(0), at(0));
    assert!(paths.due_checks(at(5_000)).is_empty());
    paths.record_wait(&hall(), at(5_000));
    assert!(paths.due_checks(at(5_200)).is_empty());
    assert_eq!(paths.due_checks(at(5_400)), [hall()]);
    assert_eq!(paths.record_check(&hall(), true, at(5_410)), None);
    assert!(paths.due_checks(at(5_900)).is_empty());
    paths.record_wait_end(&hall());
    assert!(paths.due_checks(at(9_000)).is_empty());
}

/// Connections to silent targets can be made, so that only what a target sends shows that it answers.
#[test]
fn a_zone_whose_targets_have_sent_nothing_lately_does_not_count_as_heard() {
    let mut paths = PathTable::default();
    assert!(!paths.is_heard_lately(&hall(), at(0)));
    paths.record_wait(&hall(), at(0));
    assert!(!paths.is_heard_lately(&hall(), at(10)));
    paths.record_heard(&hall(), at(0), at(20));
    assert!(paths.is_heard_lately(&hall(), at(100)));
    assert!(!paths.is_heard_lately(&AvailabilityZone::new("quay"), at(100)));
    assert!(!paths.is_heard_lately(&hall(), at(300)));
}

/// A VM that was partitioned for a while must not use its own path before it is back, nor the tunnel for long after.
#[test]
fn a_lost_path_is_checked_until_a_target_answers() {
    let mut paths = PathTable::default();
    let lost = paths.record_check(&hall(), false, at(1_000));
    assert_eq!(lost, Some(PathChange::Lost));
    assert!(paths.is_lost(&hall()) && !paths.is_lost(&AvailabilityZone::new("quay")));
    assert!(paths.due_checks(at(1_100)).is_empty());
    assert_eq!(paths.due_checks(at(1_300)), [hall()]);
    assert_eq!(paths.record_check(&hall(), false, at(1_300)), None);
    let restored = paths.record_check(&hall(), true, at(1_600));
    let after = Duration::from_millis(600);
    assert_eq!(restored, Some(PathChange::Restored(after)));
    assert!(!paths.is_lost(&hall()));
    assert!(!paths.is_stable(&hall(), at(2_000)));
    assert!(paths.is_stable(&hall(), at(2_700)));
}

fn rank(peers: &TunnelPeers, now: Instant) -> Vec<&'static str> {
    let vms = ["own-1", "own-2", "quay-1", "mole-1"].map(VmName::new);
    let zones = ["hall", "hall", "quay", "mole"].map(AvailabilityZone::new);
    let candidates = vms
        .iter()
        .zip(&zones)
        .map(|(vm, zone)| PeerCandidate { vm, zone });
    let ranked = peers.ranked(candidates, &zones[0], &zones[2], now);
    let names = ranked.iter().map(|vm| match vm.as_str() {
        "own-1" => "own-1",
        "own-2" => "own-2",
        "quay-1" => "quay-1",
        _ => "mole-1",
    });
    names.collect()
}

/// Most VMs of a zone may be partitioned, and asking each of them for every call would delay it.
#[test]
fn a_vm_that_lately_reached_the_zone_is_asked_first_and_one_that_did_not_is_left_out() {
    let quay = AvailabilityZone::new("quay");
    let mut peers = TunnelPeers::default();
    assert_eq!(rank(&peers, at(0)).last(), Some(&"mole-1"));
    peers.record_fault(&VmName::new("own-1"), &quay, PeerFault::PathLost, at(0));
    peers.record_fault(&VmName::new("own-2"), &quay, PeerFault::Unreachable, at(0));
    peers.record_success(&VmName::new("mole-1"), &quay, at(0));
    assert_eq!(rank(&peers, at(100)), ["mole-1", "quay-1"]);
    assert!(peers.is_proven(&VmName::new("mole-1"), &quay, at(100)));
    assert_eq!(rank(&peers, at(2_000)).len(), 4);
    assert!(!peers.is_proven(&VmName::new("mole-1"), &quay, at(4_000)));
}

/// All calls of several partitioned VMs would otherwise go through the same VM.
#[test]
fn tunnels_are_spread_over_the_vms_that_reach_the_zone() {
    let quay = AvailabilityZone::new("quay");
    let mut peers = TunnelPeers::default();
    for vm in ["own-1", "own-2"] {
        peers.record_success(&VmName::new(vm), &quay, at(0));
    }
    peers.record_open(&VmName::new("own-1"));
    assert_eq!(rank(&peers, at(10))[0], "own-2");
    peers.record_open(&VmName::new("own-2"));
    peers.record_open(&VmName::new("own-2"));
    assert_eq!(rank(&peers, at(10))[0], "own-1");
    peers.record_close(&VmName::new("own-2"));
    peers.record_close(&VmName::new("own-2"));
    assert_eq!(rank(&peers, at(10))[0], "own-2");
}
