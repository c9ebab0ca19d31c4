//! Streams that their callers take up after all VMs were killed in the middle of a release. Nothing that the VMs had not
//! written to the log outlives them, and what they had written may be read late or be lost with a restored log.

use crate::{
    software_versions::{
        BegunStream, ResumeCounts, VersionedEngine, VmProcess, all_same, begin_named_streams,
        begin_streams, its_attempt, start_engines, start_unready_vms, start_vms, take_up,
    },
    support::wait_for,
};
use hoplanding_standins::keyed_log::KeyedLog;
use std::time::Duration;
use tokio::time::{Instant, sleep};

const FLEET_TOPIC: &str = "keyed.fleet";
/// Time from the restart for which callers take streams up, again and again.
const RETURN_TIME: Duration = Duration::from_secs(4);

/// Begins streams at `v1`, and then while `v2` replaces it, and kills all VMs at once. Returns the streams, and the targets
/// of `v2`.
async fn play_release(log: &KeyedLog) -> (Vec<BegunStream>, Vec<VersionedEngine>) {
    let engines = start_engines(log, &["v1"; 4], None).await;
    let vms = start_vms(log, &["vm-1", "vm-2"], true).await;
    let mut streams = begin_streams(&vms[0], 6, "begun").await;
    wait_for("the record of v1", async || {
        let records = log.values(FLEET_TOPIC, "software/scribe");
        records.iter().any(|record| record.contains("v1"))
    })
    .await;
    let mut later = Vec::new();
    for number in 0..4 {
        let engine = VersionedEngine::start(&format!("f-{number}"), "v2", number / 2, None).await;
        engine.list(log, "ready");
        later.push(engine);
    }
    for (number, vm) in vms.iter().enumerate() {
        streams.extend(begin_named_streams(vm, &format!("during-{number}"), 6).await);
    }
    for engine in &engines {
        log.put("keyed.servers", &engine.name, None);
    }
    drop(vms);
    (streams, later)
}

/// Takes the streams up at VMs that start, from the first moment on, and returns how all attempts ended.
async fn take_up_for_long(vms: &[VmProcess], streams: &[BegunStream]) -> ResumeCounts {
    let mut total = ResumeCounts::default();
    let end = Instant::now() + RETURN_TIME;
    while Instant::now() < end {
        for vm in vms {
            let counts = take_up(vm, streams, its_attempt).await;
            total.same += counts.same;
            total.mixed += counts.mixed;
            total.refused += counts.refused;
            total.other += counts.other;
        }
        sleep(Duration::from_millis(50)).await;
    }
    total
}

/// Guards against streams of two versions after a kill of all VMs whose holders had no time to write to the log.
#[tokio::test]
async fn no_stream_is_joined_from_two_versions_after_a_kill_of_all_vms_in_a_release() {
    let log = KeyedLog::start().await.expect("a log");
    let (streams, _engines) = play_release(&log).await;
    let vms = start_unready_vms(&log, &["vm-1", "vm-2"], false).await;
    let counts = take_up_for_long(&vms, &streams).await;
    assert_eq!((counts.mixed, counts.other), (0, 0), "{counts:?}");
}

/// Guards against VMs that take the listed version for the only one before they have read the records of the fleet.
#[tokio::test]
async fn no_stream_is_joined_from_two_versions_while_the_records_of_the_fleet_are_unread() {
    let log = KeyedLog::start().await.expect("a log");
    let (streams, _engines) = play_release(&log).await;
    log.set_faults(|faults| faults.refused_listings = vec![FLEET_TOPIC.to_owned()]);
    let vms = start_unready_vms(&log, &["vm-1", "vm-2"], false).await;
    let unread = take_up_for_long(&vms, &streams).await;
    assert_eq!((unread.same, unread.mixed), (0, 0), "{unread:?}");
    log.set_faults(|faults| faults.refused_listings.clear());
    let counts = take_up_for_long(&vms, &streams).await;
    assert_eq!((counts.mixed, counts.other), (0, 0), "{counts:?}");
}

/// Guards against streams of two versions where the log came back from a copy without what was written in the release.
#[tokio::test]
async fn no_stream_is_joined_from_two_versions_if_the_log_lost_what_the_release_wrote() {
    let log = KeyedLog::start().await.expect("a log");
    let (streams, _engines) = play_release(&log).await;
    let is_record_of_both = || {
        let record = log.newest(FLEET_TOPIC, "software/scribe");
        record.is_some_and(|record| record.contains("v2"))
    };
    while is_record_of_both() {
        log.restore(&[(FLEET_TOPIC, 1)]);
    }
    let vms = start_unready_vms(&log, &["vm-1", "vm-2"], false).await;
    let counts = take_up_for_long(&vms, &streams).await;
    assert_eq!((counts.mixed, counts.other), (0, 0), "{counts:?}");
}

/// Guards against a stream of two versions that its caller takes up twice, with a kill of all VMs before each time.
#[tokio::test]
async fn a_stream_that_is_taken_up_twice_stays_with_its_software_version() {
    let log = KeyedLog::start().await.expect("a log");
    let _engines = start_engines(&log, &["v1", "v2", "v1", "v2"], None).await;
    let mut vms = start_vms(&log, &["vm-1", "vm-2"], true).await;
    let mut streams = begin_streams(&vms[0], 6, "begun").await;
    for _ in 0..2 {
        // Two intervals of the archive, after which all origins are in the log.
        sleep(Duration::from_millis(1_100)).await;
        drop(vms);
        vms = start_vms(&log, &["vm-1", "vm-2"], false).await;
        wait_for("the archive to be read", async || {
            vms.iter().all(|vm| vm.daemon.fleet().is_archive_read())
        })
        .await;
        let counts = take_up(&vms[1], &streams, its_attempt).await;
        assert_eq!(counts, all_same(&streams));
        // The next attempt names the one that has just received its first event.
        for (number, stream) in streams.iter_mut().enumerate() {
            stream.id = format!("later-{number}");
        }
    }
}
