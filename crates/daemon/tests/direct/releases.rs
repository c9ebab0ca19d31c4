//! Streams whose callers take them up after the loss of VMs, while a release replaces a service's targets by those of
//! another software version. What a VM knows of its streams has to be known elsewhere by the time at which it ends.

use crate::{
    software_versions::{
        BegunStream, ResumeCounts, VersionedEngine, VmProcess, ZONES, all_same,
        begin_named_streams, begin_streams, holds_its_zone, its_attempt, start_engines, start_vms,
        take_up,
    },
    support::{config_json, is_ready, model_headers, post_request, send_request, wait_for},
};
use futures_util::future::join_all;
use hoplanding_standins::keyed_log::KeyedLog;
use std::time::Duration;
use tokio::time::{Instant, sleep};

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

/// Guards against streams that are lost because their VM ended just before the release, so that it could tell nobody.
#[tokio::test]
async fn streams_of_a_vm_that_is_killed_before_a_release_go_on_elsewhere() {
    let log = KeyedLog::start().await.expect("a log");
    let _engines = start_engines(&log, &["v1"; 4], None).await;
    let mut vms = start_vms(&log, &["vm-1", "vm-2", "vm-3", "vm-4"], true).await;
    let killed = vms.iter().position(|vm| !holds_its_zone(vm));
    let killed = vms.remove(killed.expect("a VM that holds no zone"));
    let streams = begin_streams(&killed, STREAMS, "begun").await;
    drop(killed);
    let _later = begin_release(&log, &vms).await;
    for vm in &vms {
        let counts = take_up(vm, &streams, its_attempt).await;
        assert_eq!(counts, all_same(&streams));
    }
}

/// A VM before a log of its own, which lists the same targets: it is out of touch with all others.
async fn start_isolated_vm(engines: &[VersionedEngine]) -> (KeyedLog, VmProcess) {
    let log = KeyedLog::start().await.expect("a log");
    for engine in engines {
        engine.list(&log, "ready");
    }
    log.put("keyed.op", "config", Some(&config_json(1)));
    let vm = start_vm(&log, "vm-2").await;
    (log, vm)
}

async fn start_vm(log: &KeyedLog, name: &str) -> VmProcess {
    let vm = VmProcess::start_in_zones(log, name, &ZONES[..1], true).await;
    wait_for("a stream", async || {
        let request = post_request("/plan/1", "r0", &model_headers("a1"));
        is_ready(&vm.daemon).await && send_request(vm.address(), &request).await.status == 200
    })
    .await;
    vm
}

/// Begins streams at one VM, a dozen at a time, and takes each up at another VM at once. Returns how these attempts ended, and
/// how many streams began at the second version.
async fn begin_and_take_up(
    from: &VmProcess,
    at: &VmProcess,
    time: Duration,
) -> (ResumeCounts, usize) {
    let mut total = ResumeCounts::default();
    let mut later = 0;
    let end = Instant::now() + time;
    let mut round = 0;
    while Instant::now() < end {
        round += 1;
        let names: Vec<_> = (0..12).map(|number| format!("s{round}-{number}")).collect();
        let begun = join_all(names.iter().map(|name| begin_named_streams(from, name, 1))).await;
        let streams: Vec<_> = begun.into_iter().flatten().collect();
        later += streams
            .iter()
            .filter(|stream| stream.versions == ["v2"])
            .count();
        let counts = take_up(at, &streams, its_attempt).await;
        total.same += counts.same;
        total.mixed += counts.mixed;
        total.refused += counts.refused;
        total.other += counts.other;
    }
    (total, later)
}

/// Guards against streams of two versions at a VM that is out of touch while targets of another version join: others begin
/// streams there as soon as they see the version, and this VM takes its older list for a proof that there is none.
#[tokio::test]
async fn a_vm_that_is_cut_off_in_a_release_joins_no_stream_from_two_versions() {
    let log = KeyedLog::start().await.expect("a log");
    let engines = start_engines(&log, &["v1"; 4], None).await;
    let vm = start_vm(&log, "vm-1").await;
    let (isolated_log, isolated) = start_isolated_vm(&engines).await;
    let (counts, later) = begin_and_take_up(&vm, &isolated, Duration::from_millis(300)).await;
    assert_eq!(
        (counts.refused, counts.mixed, later),
        (0, 0, 0),
        "{counts:?}"
    );
    isolated_log.set_faults(|faults| faults.is_unavailable = true);
    let _later = list_second_version(&log).await;
    let (counts, later) = begin_and_take_up(&vm, &isolated, Duration::from_secs(7)).await;
    assert_eq!((counts.mixed, counts.other), (0, 0), "{counts:?}");
    assert!(later > 0, "the second version is used in the end");
}

/// Guards against the same by a VM that starts while the version is new, and finds both versions in its first list.
#[tokio::test]
async fn a_vm_that_starts_in_a_release_does_not_use_the_new_version_before_others_can_know_of_it() {
    let log = KeyedLog::start().await.expect("a log");
    let engines = start_engines(&log, &["v1"; 4], None).await;
    let first = start_vm(&log, "vm-1").await;
    wait_for("the record of v1", async || {
        log.newest("keyed.fleet", "software/scribe").is_some()
    })
    .await;
    let (isolated_log, isolated) = start_isolated_vm(&engines).await;
    isolated_log.set_faults(|faults| faults.is_unavailable = true);
    let _later = list_second_version(&log).await;
    let started = start_vm(&log, "vm-3").await;
    let (counts, later) = begin_and_take_up(&started, &isolated, Duration::from_secs(7)).await;
    assert_eq!((counts.mixed, counts.other), (0, 0), "{counts:?}");
    assert!(later > 0, "the second version is used in the end");
    drop(first);
}

/// Guards against callers that are not told when a service whose targets are all new takes their streams, and against calls on
/// other routes that wait with them.
#[tokio::test]
async fn a_release_of_all_targets_at_once_delays_streams_for_as_long_as_callers_are_told() {
    let log = KeyedLog::start().await.expect("a log");
    let engines = start_engines(&log, &["v1"; 2], None).await;
    let vm = start_vm(&log, "vm-1").await;
    let _later = list_second_version(&log).await;
    for engine in &engines {
        engine.list(&log, "draining");
    }
    wait_for("the second version alone", async || {
        let tables = vm.daemon.fleet().tables();
        let service = "scribe".into();
        let mut ready = tables.catalog.ready(&service);
        ready.all(|entry| entry.software.as_str() == "v2") && tables.catalog.iter().count() == 4
    })
    .await;
    let call = async |path: &str, id: &str| {
        let request = post_request(path, id, &model_headers("a1"));
        send_request(vm.address(), &request).await
    };
    assert_eq!(call("/plan/1", "r1").await.status, 200);
    let refused = call("/resumed/1", "r2").await;
    assert_eq!(refused.status, 503, "{}", refused.head);
    let line = refused.head.to_ascii_lowercase();
    let line = line
        .lines()
        .find_map(|line| line.strip_prefix("retry-after:")?.trim().parse().ok());
    let wait: f64 = line.expect("a retry time");
    assert!(wait <= 4.0, "{wait}");
    sleep(Duration::from_secs_f64(wait + 0.05)).await;
    assert_eq!(call("/resumed/1", "r3").await.status, 200);
}
