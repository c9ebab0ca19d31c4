//! Common start of all VMs of a fleet with thousands of targets.
//!
//! Guards against links that are overloaded after a loss of all VMs. When each VM forwards the
//! targets of its own listing as updates over each of its links, the holder of each zone receives
//! and sends the number of VMs times the number of targets. With 100 VMs and 33 links of 1,000
//! entries of about 400 bytes, the busiest VM carried 820 kB/s for 41 s. With 300 VMs and 100 links
//! of 3,000 entries it carried 6,000 kB/s, and all calls were refused for 4 s. The link of a
//! VM with little CPU carries 1,250 kB/s.

use crate::support::{
    config_json, good_answer, is_ready, model_headers, post_request, send_request, slow_engine,
    start_daemon, target_entry, vm_settings, wait_for,
};
use futures_util::FutureExt;
use hoplanding_core::ids::{AvailabilityZone, LogPosition, VmName};
use hoplanding_platform::store::{KeyedRecord, ReadBatch};
use hoplanding_standins::{keyed_log::KeyedLog, raw_target::RawTarget};
use hoplandingd::direct::{
    daemon::DirectDaemon,
    fleet::{FleetState, VmRecord},
    message::{FeedTopic, VmMessage},
    sharing::RecordSharing,
};
use serde_json::json;
use std::{net::SocketAddr, sync::Arc, time::Duration};

const TARGETS: u64 = 1_000;

/// Link between the holder of a zone and a VM that dialled it.
struct StartLink {
    holder: RecordSharing,
    dialler: RecordSharing,
    names: [VmName; 2],
    /// Number of records sent over the link.
    passed: usize,
}

impl StartLink {
    fn new(holder: &Arc<FleetState>, dialler: &Arc<FleetState>) -> Self {
        let mut link = Self {
            holder: RecordSharing::new(holder, &holder.zone),
            dialler: RecordSharing::new(dialler, &dialler.zone),
            names: [holder.vm.clone(), dialler.vm.clone()],
            passed: 0,
        };
        if let Some(question) = link.dialler.initial_request() {
            link.holder.handle_request(&question);
        }
        link.deliver_all();
        link
    }

    /// Delivers all messages that are due, and then a heartbeat of each side.
    fn deliver_all(&mut self) {
        for _ in 0..4 {
            let [holder, dialler] = &self.names;
            self.passed += deliver(&mut self.holder, &mut self.dialler, holder);
            self.passed += deliver(&mut self.dialler, &mut self.holder, dialler);
        }
    }
}

fn deliver(from: &mut RecordSharing, to: &mut RecordSharing, vm: &VmName) -> usize {
    let mut passed = 0;
    while let Some(message) = from.next().now_or_never() {
        if let VmMessage::Records(records) | VmMessage::Answer { records, .. } = &message {
            passed += records.len();
        }
        to.handle_request(&message);
        to.apply(vm, message);
    }
    to.apply(vm, from.heartbeat());
    passed
}

/// List as a VM reads it: all targets ready, followed by one record for each that began to drain.
fn listing(address: SocketAddr, targets: u64, leaving: &[u64]) -> ReadBatch {
    let end = targets + leaving.len() as u64;
    let mut records = Vec::new();
    for number in 0..targets {
        let index = leaving.iter().position(|draining| *draining == number);
        let state = if index.is_some() { "draining" } else { "ready" };
        records.push(KeyedRecord {
            key: format!("i-{number}"),
            value: Some(target_entry("ledger", address, state, &[]).into()),
            position: LogPosition(index.map_or(number, |at| targets + at as u64)),
        });
    }
    ReadBatch {
        next: LogPosition(end),
        records,
        end: LogPosition(end),
    }
}

/// Read that contains one more target.
fn read_of_one(address: SocketAddr, number: u64) -> ReadBatch {
    let mut batch = listing(address, number + 1, &[]);
    batch.records.retain(|record| record.position.0 == number);
    batch
}

/// Listing of 50 targets after the removal of `i-5`.
fn listing_without_one(address: SocketAddr) -> ReadBatch {
    let mut later = listing(address, 50, &[]);
    later.records.retain(|record| record.key != "i-5");
    later.end = LogPosition(51);
    later
}

fn fleet(name: &str, log: &KeyedLog, zone_vms: u64) -> Arc<FleetState> {
    let fleet = Arc::new(FleetState::new(&vm_settings(name, log), 1));
    for number in 0..zone_vms {
        let record = VmRecord {
            zone: AvailabilityZone::new("hall"),
            address: log.address(),
            cpu_millicores: 250,
        };
        let vm = VmName::new(&format!("vm-{number}"));
        fleet.tables().vms.insert(vm, record);
    }
    fleet
}

/// Guards against VMs that forward what every other VM has listed too.
#[tokio::test]
async fn vms_that_start_together_do_not_forward_their_listings() {
    let log = KeyedLog::start().await.expect("a log");
    for zone_vms in [33, 100] {
        let holder = fleet("vm-0", &log, zone_vms);
        let dialler = fleet("vm-1", &log, zone_vms);
        // The link is up before both listings.
        let mut link = StartLink::new(&holder, &dialler);
        holder.apply_listing(
            FeedTopic::Targets,
            &listing(log.address(), TARGETS, &[3, 5, 7]),
        );
        dialler.apply_listing(FeedTopic::Targets, &listing(log.address(), TARGETS, &[3]));
        link.deliver_all();
        assert!(dialler.is_leaving("i-5") && dialler.is_leaving("i-7"));
        assert_eq!(dialler.known_end(FeedTopic::Targets).0, TARGETS + 3);
        // The two changes that one listing lacks, and their echo as updates of the VM that received
        // them.
        assert!(
            link.passed <= 4,
            "{} records at {zone_vms} VMs",
            link.passed
        );
    }
}

/// Guards against updates that are sent back to the VM that they came from.
#[tokio::test]
async fn updates_are_not_sent_back_to_their_sender() {
    let log = KeyedLog::start().await.expect("a log");
    let holder = fleet("vm-0", &log, 100);
    let dialler = fleet("vm-1", &log, 100);
    let mut link = StartLink::new(&holder, &dialler);
    for vm in [&holder, &dialler] {
        vm.apply_listing(FeedTopic::Targets, &listing(log.address(), 50, &[]));
    }
    link.deliver_all();
    let before = link.passed;
    let mut added = listing(log.address(), 250, &[]);
    added.records.retain(|record| record.position.0 >= 50);
    holder.apply_records(FeedTopic::Targets, LogPosition(50), &added);
    link.deliver_all();
    assert_eq!(link.passed - before, 200);
    let later = read_of_one(log.address(), 251);
    dialler.apply_records(FeedTopic::Targets, LogPosition(251), &later);
    link.deliver_all();
    assert!(!holder.is_leaving("i-251"));
    assert_eq!(link.passed - before, 201);
}

/// Guards against records that the holder reads between another VM's listing and the link. They are
/// in neither the listing nor the link's updates. A VM that takes them for known after the holder's
/// heartbeat skips them, and keeps sending calls to a target that has left.
#[tokio::test]
async fn records_between_listing_and_link_reach_both_vms() {
    let log = KeyedLog::start().await.expect("a log");
    for zone_vms in [10, 100] {
        let holder = fleet("vm-0", &log, zone_vms);
        holder.apply_listing(FeedTopic::Targets, &listing(log.address(), 50, &[]));
        let dialler = fleet("vm-1", &log, zone_vms);
        let begun = listing(log.address(), 50, &[]);
        let mut read = listing(log.address(), 50, &[5]);
        read.records.retain(|record| record.position.0 >= 50);
        holder.apply_records(FeedTopic::Targets, LogPosition(50), &read);
        let mut link = StartLink::new(&holder, &dialler);
        dialler.apply_listing(FeedTopic::Targets, &begun);
        link.deliver_all();
        assert!(dialler.is_leaving("i-5"), "{zone_vms} VMs");
    }
}

/// Guards against a request that is lost because the holder did not know the list yet. The log
/// never serves the requesting VM.
#[tokio::test]
async fn early_request_is_answered_once_holder_knows_the_list() {
    let log = KeyedLog::start().await.expect("a log");
    let holder = fleet("vm-0", &log, 10);
    let dialler = fleet("vm-1", &log, 10);
    let mut link = StartLink::new(&holder, &dialler);
    assert!(!dialler.is_topic_known(FeedTopic::Targets));
    holder.apply_listing(FeedTopic::Targets, &listing(log.address(), 100, &[5]));
    link.deliver_all();
    assert!(dialler.is_topic_known(FeedTopic::Targets));
    assert!(dialler.is_leaving("i-5") && !dialler.is_leaving("i-6"));
}

/// Guards against an answer so long that it delays heartbeats. It is sent in parts that take a slow
/// link 0.1 s each.
#[tokio::test]
async fn long_answer_is_sent_in_parts() {
    let log = KeyedLog::start().await.expect("a log");
    let holder = fleet("vm-0", &log, 10);
    holder.apply_listing(FeedTopic::Targets, &listing(log.address(), TARGETS, &[]));
    let mut sharing = RecordSharing::new(&holder, &holder.zone);
    sharing.handle_request(&VmMessage::RequestRecords {
        from: vec![(FeedTopic::Targets, LogPosition(0))],
        lacks_log_access: true,
    });
    let mut records = 0;
    while let Some(message) = sharing.next_reply() {
        let (VmMessage::Records(part) | VmMessage::Answer { records: part, .. }) = message else {
            panic!("unexpected message");
        };
        assert!(part.len() <= 64);
        records += part.len() as u64;
    }
    assert_eq!(records, TARGETS);
}

/// Guards against a removal that is lost because a listing contains no removals. A removal between
/// the listings of two VMs is in neither, so the later listing does not make the earlier one
/// complete.
#[tokio::test]
async fn removal_between_two_listings_reaches_both_vms() {
    let log = KeyedLog::start().await.expect("a log");
    let holder = fleet("vm-0", &log, 10);
    let dialler = fleet("vm-1", &log, 10);
    let mut link = StartLink::new(&holder, &dialler);
    dialler.apply_listing(FeedTopic::Targets, &listing(log.address(), 50, &[]));
    holder.apply_listing(FeedTopic::Targets, &listing_without_one(log.address()));
    link.deliver_all();
    let reads_on_from = dialler.known_end(FeedTopic::Targets);
    assert!(
        dialler.is_leaving("i-5") || reads_on_from <= LogPosition(50),
        "the target is still known, and its removal will not be read"
    );
}

/// Guards against a VM that skips removals which its holder has not stored. It has to read on from
/// its own listing, although a holder that knows more is connected.
#[tokio::test]
async fn vm_reads_removals_that_its_holder_lacks() {
    let log = KeyedLog::start().await.expect("a log");
    let holder = fleet("vm-0", &log, 10);
    let dialler = fleet("vm-1", &log, 10);
    let mut link = StartLink::new(&holder, &dialler);
    dialler.apply_listing(FeedTopic::Targets, &listing(log.address(), 50, &[]));
    holder.apply_listing(FeedTopic::Targets, &listing_without_one(log.address()));
    link.deliver_all();
    assert!(dialler.has_gap(FeedTopic::Targets));
    let removal = ReadBatch {
        records: vec![KeyedRecord {
            key: "i-5".to_owned(),
            value: None,
            position: LogPosition(50),
        }],
        next: LogPosition(51),
        end: LogPosition(51),
    };
    dialler.apply_records(FeedTopic::Targets, LogPosition(50), &removal);
    assert!(dialler.is_leaving("i-5"));
    assert!(!dialler.has_gap(FeedTopic::Targets));
}

/// Guards against a listing older than the records from the holder, which would restore a removed
/// target.
#[tokio::test]
async fn listing_older_than_received_records_restores_no_removed_target() {
    let log = KeyedLog::start().await.expect("a log");
    let holder = fleet("vm-0", &log, 10);
    let dialler = fleet("vm-1", &log, 10);
    let mut link = StartLink::new(&holder, &dialler);
    holder.apply_listing(FeedTopic::Targets, &listing_without_one(log.address()));
    link.deliver_all();
    assert!(dialler.is_topic_known(FeedTopic::Targets));
    dialler.apply_listing(FeedTopic::Targets, &listing(log.address(), 50, &[]));
    assert!(dialler.is_leaving("i-5") && !dialler.is_leaving("i-6"));
}

/// Writes records of large VMs that have ended, so that a smaller VM's turn to list comes after
/// theirs.
fn record_large_vms(log: &KeyedLog, count: usize) {
    for number in 0..count {
        let record = json!({ "zone": "hall", "address": "127.0.0.1:9", "strength": 4_000 });
        let key = format!("vm/strong-{number}");
        log.put("keyed.fleet", &key, Some(&record.to_string()));
    }
}

/// Size of a zone that is too large for its holder to send all records to each VM.
const LARGE_ZONE: usize = 60;

/// Guards against calls that fail at a VM without a target list. The holder answers its requests
/// instead.
#[tokio::test]
async fn vm_without_target_list_serves_through_its_holder() {
    let log = KeyedLog::start().await.expect("a log");
    let plain = RawTarget::start(good_answer).await.expect("a target");
    let engine = slow_engine(Duration::from_millis(1)).await;
    record_large_vms(&log, LARGE_ZONE);
    let listed = [
        ("i-1", "ledger", plain.address),
        ("e-1", "scribe", engine.address),
    ];
    let _holder = start_daemon(&log, &listed).await;
    let refused_listings = vec!["keyed.servers".to_owned()];
    log.set_faults(|faults| faults.refused_listings = refused_listings);
    let without_list = DirectDaemon::start(vm_settings("vm-2", &log)).await;
    let without_list = without_list.expect("the daemon starts");
    for (path, headers) in [
        ("/lookup/1", String::new()),
        ("/plan/1", model_headers("a1")),
    ] {
        wait_for(path, async || {
            let request = post_request(path, "r1", &headers);
            send_request(without_list.caller_address, &request)
                .await
                .status
                == 200
        })
        .await;
    }
    assert!(!without_list.fleet().is_topic_known(FeedTopic::Targets));
}

/// Guards against a log that is overloaded because all VMs of a zone list the targets at once.
#[tokio::test]
async fn vms_that_start_together_stagger_their_listings() {
    let log = KeyedLog::start().await.expect("a log");
    log.put("keyed.op", "config", Some(&config_json(1)));
    record_large_vms(&log, LARGE_ZONE);
    let daemon = DirectDaemon::start(vm_settings("vm-1", &log)).await;
    let daemon = daemon.expect("the daemon starts");
    wait_for("the fleet's records", async || {
        daemon.fleet().is_topic_known(FeedTopic::Fleet)
    })
    .await;
    assert_eq!(log.listings("keyed.servers"), 0);
    wait_for("the turn to list", async || {
        log.listings("keyed.servers") > 0
    })
    .await;
}

/// Guards against a VM that waits for its turn to list although the zone has a holder from before
/// its start.
#[tokio::test]
async fn vm_that_joins_an_existing_holder_lists_at_once() {
    let log = KeyedLog::start().await.expect("a log");
    let _holder = start_daemon(&log, &[]).await;
    record_large_vms(&log, 10_000);
    let later = DirectDaemon::start(vm_settings("vm-2", &log)).await;
    let later = later.expect("the daemon starts");
    wait_for("readiness", async || is_ready(&later).await).await;
}
