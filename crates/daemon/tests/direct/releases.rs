//! Streams whose callers take them up after the loss of VMs, while a release replaces a service's targets by those of
//! another software version. What a VM knows of its streams has to be known elsewhere by the time at which it ends.

use crate::{
    software_versions::{
        BegunStream, VersionedEngine, VmProcess, all_same, begin_streams, holds_its_zone,
        its_attempt, start_engines, start_vms, take_up,
    },
    support::wait_for,
};
use hoplanding_standins::keyed_log::KeyedLog;
use std::time::Duration;
use tokio::time::sleep;

const STREAMS: usize = 6;
/// Time from when a VM knows of a version until the holders know its streams, and two intervals of the archive.
const REPORT_TIME: Duration = Duration::from_millis(1_500);

/// Lists two targets of another version beside the first ones, and waits until the VMs know of them.
async fn begin_release(log: &KeyedLog, vms: &[VmProcess]) -> Vec<VersionedEngine> {
    let engines = list_second_version(log).await;
    wait_for("both versions", async || {
        vms.iter().all(knows_second_version)
    })
    .await;
    engines
}

async fn list_second_version(log: &KeyedLog) -> Vec<VersionedEngine> {
    let mut engines = Vec::new();
    for number in 0..2 {
        let engine = VersionedEngine::start(&format!("f-{number}"), "v2", number, None).await;
        engine.list(log, "ready");
        engines.push(engine);
    }
    engines
}

fn knows_second_version(vm: &VmProcess) -> bool {
    let tables = vm.daemon.fleet().tables();
    let mut entries = tables.catalog.iter();
    entries.any(|entry| entry.software.as_str() == "v2")
}

/// Begins streams at each of some VMs. Ids of streams differ by VM.
async fn begin_at_each(vms: &[VmProcess]) -> Vec<BegunStream> {
    let mut streams = Vec::new();
    for (number, vm) in vms.iter().enumerate() {
        let mut begun = begin_streams(vm, STREAMS, &format!("at-{number}")).await;
        streams.append(&mut begun);
    }
    streams
}

/// Guards against streams that no other VM can continue because their VM began no further stream after a release had begun.
#[tokio::test]
async fn streams_of_a_vm_that_is_killed_in_a_release_go_on_elsewhere() {
    let log = KeyedLog::start().await.expect("a log");
    let _engines = start_engines(&log, &["v1"; 4], None).await;
    let mut vms = start_vms(&log, &["vm-1", "vm-2", "vm-3", "vm-4"], true).await;
    let killed = vms.iter().position(|vm| !holds_its_zone(vm));
    let killed = vms.remove(killed.expect("a VM that holds no zone"));
    let streams = begin_streams(&killed, STREAMS, "begun").await;
    let _later = begin_release(&log, &vms).await;
    wait_for("the release", async || knows_second_version(&killed)).await;
    sleep(REPORT_TIME).await;
    drop(killed);
    for vm in &vms {
        let counts = take_up(vm, &streams, its_attempt).await;
        assert_eq!(counts, all_same(&streams));
    }
}

/// Guards against the same for the holder of a zone, which keeps the origins of its own streams for its zone.
#[tokio::test]
async fn streams_of_a_holder_that_is_killed_in_a_release_go_on_elsewhere() {
    let log = KeyedLog::start().await.expect("a log");
    let _engines = start_engines(&log, &["v1"; 4], None).await;
    let mut vms = start_vms(&log, &["vm-1", "vm-2", "vm-3", "vm-4"], true).await;
    let killed = vms.iter().position(holds_its_zone);
    let killed = vms.remove(killed.expect("a VM that holds a zone"));
    let streams = begin_streams(&killed, STREAMS, "begun").await;
    let _later = begin_release(&log, &vms).await;
    wait_for("the release", async || knows_second_version(&killed)).await;
    sleep(REPORT_TIME).await;
    drop(killed);
    for vm in &vms {
        let counts = take_up(vm, &streams, its_attempt).await;
        assert_eq!(counts, all_same(&streams));
    }
}

/// Guards against streams that are lost with all VMs: their origins have to be in the log's archive.
#[tokio::test]
async fn streams_go_on_after_all_vms_are_killed_in_a_release() {
    let log = KeyedLog::start().await.expect("a log");
    let _engines = start_engines(&log, &["v1"; 4], None).await;
    let vms = start_vms(&log, &["vm-1", "vm-2"], true).await;
    let streams = begin_at_each(&vms).await;
    let _later = begin_release(&log, &vms).await;
    sleep(REPORT_TIME).await;
    drop(vms);
    let vms = start_vms(&log, &["vm-1", "vm-2"], false).await;
    wait_for("the archive to be read", async || {
        vms.iter().all(|vm| vm.daemon.fleet().is_archive_read())
    })
    .await;
    for vm in &vms {
        let counts = take_up(vm, &streams, its_attempt).await;
        assert_eq!(counts, all_same(&streams));
    }
}

/// Guards against a limit per message: all earlier streams of a VM are reported, not only as many as one message holds.
#[tokio::test]
async fn all_streams_of_a_vm_go_on_however_many_it_began_before_a_release() {
    let log = KeyedLog::start().await.expect("a log");
    let _engines = start_engines(&log, &["v1"; 4], None).await;
    let mut vms = start_vms(&log, &["vm-1", "vm-2", "vm-3", "vm-4"], true).await;
    let killed = vms.iter().position(|vm| !holds_its_zone(vm));
    let killed = vms.remove(killed.expect("a VM that holds no zone"));
    let first = begin_streams(&killed, STREAMS, "first").await;
    begin_streams(&killed, 300, "between").await;
    let last = begin_streams(&killed, STREAMS, "last").await;
    let _later = begin_release(&log, &vms).await;
    wait_for("the release", async || knows_second_version(&killed)).await;
    sleep(REPORT_TIME).await;
    drop(killed);
    for streams in [first, last] {
        let counts = take_up(&vms[0], &streams, its_attempt).await;
        assert_eq!(counts, all_same(&streams));
    }
}

/// Guards against origins that are dropped because the log did not take them at the first attempt.
#[tokio::test]
async fn streams_go_on_after_all_vms_are_killed_though_the_log_was_out_at_the_release() {
    let log = KeyedLog::start().await.expect("a log");
    let _engines = start_engines(&log, &["v1"; 4], None).await;
    let vms = start_vms(&log, &["vm-1", "vm-2"], true).await;
    let streams = begin_at_each(&vms).await;
    let _later = begin_release(&log, &vms).await;
    log.set_faults(|faults| faults.is_unavailable = true);
    // Two intervals of the archive.
    sleep(Duration::from_millis(1_100)).await;
    log.set_faults(|faults| faults.is_unavailable = false);
    sleep(REPORT_TIME).await;
    drop(vms);
    let vms = start_vms(&log, &["vm-1", "vm-2"], false).await;
    wait_for("the archive to be read", async || {
        vms.iter().all(|vm| vm.daemon.fleet().is_archive_read())
    })
    .await;
    for vm in &vms {
        let counts = take_up(vm, &streams, its_attempt).await;
        assert_eq!(counts, all_same(&streams));
    }
}
