//! What a VM knows about the load of the other VMs of its zone.

use hoplanding_core::{
    direct::zone_load::{OverloadCount, ZoneLoad},
    ids::{Instant, VmName},
};
use std::time::Duration;

const NOW: Instant = Instant(10_000_000);

fn vm(number: u32) -> VmName {
    VmName::new(&format!("vm-{number}"))
}

/// A VM that was told nothing turns callers away, as long as there is another VM that they may meet.
#[test]
fn others_have_time_unless_reported_otherwise() {
    let load = ZoneLoad::default();
    assert!(load.others_have_time(2, NOW));
    assert!(!load.others_have_time(1, NOW));
    assert!(!load.others_have_time(0, NOW));
}

/// The holder counts the VMs that report overload, itself among them.
#[test]
fn holder_counts_the_overloaded_vms_of_its_zone() {
    let mut load = ZoneLoad::default();
    assert_eq!(load.count(false, NOW), None);
    load.record_vm(&vm(1), true, NOW);
    load.record_vm(&vm(2), true, NOW);
    load.record_vm(&vm(1), false, NOW);
    assert_eq!(load.count(true, NOW), Some(OverloadCount { overloaded: 2 }));
    assert!(load.others_have_time(3, NOW));
    load.record_vm(&vm(3), true, NOW);
    assert!(!load.others_have_time(3, NOW));
}

/// Callers that are turned away where most VMs are overloaded are turned away again.
#[test]
fn most_others_overloaded_means_that_others_have_no_time() {
    let mut load = ZoneLoad::default();
    let count = |overloaded| OverloadCount { overloaded };
    load.record_count(count(3), NOW);
    assert!(load.others_have_time(6, NOW));
    load.record_count(count(4), NOW);
    assert!(!load.others_have_time(6, NOW));
}

/// A holder that has fallen silent says nothing about the present load.
#[test]
fn reports_lapse() {
    let mut load = ZoneLoad::default();
    load.record_count(OverloadCount { overloaded: 6 }, NOW);
    load.record_vm(&vm(1), true, NOW);
    let later = NOW.after(Duration::from_secs(2));
    assert!(!load.others_have_time(6, NOW));
    assert!(load.others_have_time(6, later));
    assert_eq!(load.count(false, later), None);
}
