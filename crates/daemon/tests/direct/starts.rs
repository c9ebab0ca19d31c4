//! A fleet that starts at once before thousands of targets.
//!
//! What callers saw: after all VMs had been killed, calls were refused for seconds, all of them for 4 s at 300 VMs before 3,000
//! targets. What happens: every VM lists the targets for itself, and passed on what it listed as news, all of it over each of
//! its links: VMs times targets, twice, through the holder of each zone.
//!
//! Evidence: the users' sweeps show the busiest VM at 820 kB/s over 41 s with 100 VMs and at 6,000 kB/s with 300, which is
//! 33 (100) links x 1,000 (3,000) entries of some 400 bytes, there and back. VMs have 1,250 kB/s where they are weak.

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

/// A link between the holder of a zone and a VM that has dialled it.
struct StartLink {
    holder: RecordSharing,
    dialler: RecordSharing,
    names: [VmName; 2],
    /// Records that went over it.
    passed: usize,
}

impl StartLink {
    fn new(holder: &Arc<FleetState>, dialler: &Arc<FleetState>) -> Self {
        let mut link = Self {
            holder: RecordSharing::new(holder, true),
            dialler: RecordSharing::new(dialler, true),
            names: [holder.vm.clone(), dialler.vm.clone()],
            passed: 0,
        };
        if let Some(question) = link.dialler.initial_request() {
            link.holder.answer(&question);
        }
        link.settle();
        link
    }

    /// Passes all that is due, and a sign of life of each side behind it.
    fn settle(&mut self) {
        for _ in 0..4 {
            let [holder, dialler] = &self.names;
            self.passed += pass(&mut self.holder, &mut self.dialler, holder);
            self.passed += pass(&mut self.dialler, &mut self.holder, dialler);
        }
    }
}

fn pass(from: &mut RecordSharing, to: &mut RecordSharing, vm: &VmName) -> usize {
    let mut passed = 0;
    while let Some(message) = from.next().now_or_never() {
        if let VmMessage::Records(records) | VmMessage::Answer { records, .. } = &message {
            passed += records.len();
        }
        to.answer(&message);
        to.take(vm, message);
    }
    to.take(vm, from.heartbeat());
    passed
}

/// The list as a VM reads it: all targets ready, then those that began to leave, each by a record of its own.
fn listing(address: SocketAddr, targets: u64, leaving: &[u64]) -> ReadBatch {
    let end = targets + leaving.len() as u64;
    let mut records = Vec::new();
    for number in 0..targets {
        let left = leaving.iter().position(|left| *left == number);
        let state = if left.is_some() { "draining" } else { "ready" };
        records.push(KeyedRecord {
            key: format!("i-{number}"),
            value: Some(target_entry("ledger", address, state, &[]).into()),
            position: LogPosition(left.map_or(number, |at| targets + at as u64)),
        });
    }
    ReadBatch {
        next: LogPosition(end),
        records,
        end: LogPosition(end),
    }
}

/// A read of one more target.
fn listing_of_one(address: SocketAddr, number: u64) -> ReadBatch {
    let mut batch = listing(address, number + 1, &[]);
    batch.records.retain(|record| record.position.0 == number);
    batch
}

/// A listing of 50 targets after one of them, `i-5`, was removed.
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
            strength: 250,
        };
        let vm = VmName::new(&format!("vm-{number}"));
        fleet.tables().vms.insert(vm, record);
    }
    fleet
}

#[tokio::test]
async fn vms_that_start_at_once_pass_on_nothing_of_what_all_have_listed() {
    let log = KeyedLog::start().await.expect("a log");
    for zone_vms in [33, 100] {
        let holder = fleet("vm-0", &log, zone_vms);
        let dialler = fleet("vm-1", &log, zone_vms);
        // The link is up before either list is there.
        let mut link = StartLink::new(&holder, &dialler);
        holder.apply_listing(
            FeedTopic::Targets,
            &listing(log.address(), TARGETS, &[3, 5, 7]),
        );
        dialler.apply_listing(FeedTopic::Targets, &listing(log.address(), TARGETS, &[3]));
        link.settle();
        assert!(dialler.is_leaving("i-5") && dialler.is_leaving("i-7"));
        assert_eq!(dialler.known_end(FeedTopic::Targets).0, TARGETS + 3);
        // The two changes that one of the lists lacks, and as news of the VM that was told of them.
        assert!(
            link.passed <= 4,
            "{} records at {zone_vms} VMs",
            link.passed
        );
    }
}

/// Guards against news that a VM passes back to whom it has it from.
#[tokio::test]
async fn news_does_not_go_back_to_whom_it_came_from() {
    let log = KeyedLog::start().await.expect("a log");
    let holder = fleet("vm-0", &log, 100);
    let dialler = fleet("vm-1", &log, 100);
    let mut link = StartLink::new(&holder, &dialler);
    for vm in [&holder, &dialler] {
        vm.apply_listing(FeedTopic::Targets, &listing(log.address(), 50, &[]));
    }
    link.settle();
    let before = link.passed;
    let mut added = listing(log.address(), 250, &[]);
    added.records.retain(|record| record.position.0 >= 50);
    holder.apply_records(FeedTopic::Targets, LogPosition(50), &added);
    link.settle();
    assert_eq!(link.passed - before, 200);
    let later = listing_of_one(log.address(), 251);
    dialler.apply_records(FeedTopic::Targets, LogPosition(251), &later);
    link.settle();
    assert!(!holder.is_leaving("i-251"));
    assert_eq!(link.passed - before, 201);
}

/// The holder reads on while another VM lists: what it read before the link came up is in neither the other's list nor the
/// link's news. The other VM believed to know it by the holder's sign of life, read on behind it, and kept sending to a target
/// that had left.
#[tokio::test]
async fn what_is_recorded_between_a_list_and_the_link_is_known_to_both() {
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
        link.settle();
        assert!(dialler.is_leaving("i-5"), "{zone_vms} VMs");
    }
}

/// A VM that asked before the holder knew the list has its answer once it does, though the log never serves that VM.
#[tokio::test]
async fn a_vm_that_asks_early_is_answered_once_the_holder_knows() {
    let log = KeyedLog::start().await.expect("a log");
    let holder = fleet("vm-0", &log, 10);
    let dialler = fleet("vm-1", &log, 10);
    let mut link = StartLink::new(&holder, &dialler);
    assert!(!dialler.is_topic_known(FeedTopic::Targets));
    holder.apply_listing(FeedTopic::Targets, &listing(log.address(), 100, &[5]));
    link.settle();
    assert!(dialler.is_topic_known(FeedTopic::Targets));
    assert!(dialler.is_leaving("i-5") && !dialler.is_leaving("i-6"));
}

/// A list of any length goes out in parts that a weak link carries in a tenth of a second each, so that signs of life go
/// between them.
#[tokio::test]
async fn a_long_answer_goes_out_in_parts() {
    let log = KeyedLog::start().await.expect("a log");
    let holder = fleet("vm-0", &log, 10);
    holder.apply_listing(FeedTopic::Targets, &listing(log.address(), TARGETS, &[]));
    let mut sharing = RecordSharing::new(&holder, true);
    sharing.answer(&VmMessage::Wanted {
        from: vec![(FeedTopic::Targets, LogPosition(0))],
        is_turned_away: true,
    });
    let mut records = 0;
    while let Some(message) = sharing.next_reply() {
        let (VmMessage::Records(part) | VmMessage::Answer { records: part, .. }) = message else {
            panic!("no part of an answer");
        };
        assert!(part.len() <= 64);
        records += part.len() as u64;
    }
    assert_eq!(records, TARGETS);
}

/// A listing names no removals: what went between the lists of two VMs is in neither, and the later one must not be taken for
/// all that there is to know.
#[tokio::test]
async fn a_removal_between_the_lists_of_two_vms_is_known_to_both() {
    let log = KeyedLog::start().await.expect("a log");
    let holder = fleet("vm-0", &log, 10);
    let dialler = fleet("vm-1", &log, 10);
    let mut link = StartLink::new(&holder, &dialler);
    dialler.apply_listing(FeedTopic::Targets, &listing(log.address(), 50, &[]));
    holder.apply_listing(FeedTopic::Targets, &listing_without_one(log.address()));
    link.settle();
    let reads_on_from = dialler.known_end(FeedTopic::Targets);
    assert!(
        dialler.is_leaving("i-5") || reads_on_from <= LogPosition(50),
        "it is kept, and its removal will not be read"
    );
}

/// The VM that listed first reads on from its own list, though it hears a holder that knows more.
#[tokio::test]
async fn a_vm_reads_the_removals_that_its_holder_has_not_kept() {
    let log = KeyedLog::start().await.expect("a log");
    let holder = fleet("vm-0", &log, 10);
    let dialler = fleet("vm-1", &log, 10);
    let mut link = StartLink::new(&holder, &dialler);
    dialler.apply_listing(FeedTopic::Targets, &listing(log.address(), 50, &[]));
    holder.apply_listing(FeedTopic::Targets, &listing_without_one(log.address()));
    link.settle();
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

#[tokio::test]
async fn a_list_older_than_what_a_vm_was_told_brings_no_removed_target_back() {
    let log = KeyedLog::start().await.expect("a log");
    let holder = fleet("vm-0", &log, 10);
    let dialler = fleet("vm-1", &log, 10);
    let mut link = StartLink::new(&holder, &dialler);
    holder.apply_listing(FeedTopic::Targets, &listing_without_one(log.address()));
    link.settle();
    assert!(dialler.is_topic_known(FeedTopic::Targets));
    dialler.apply_listing(FeedTopic::Targets, &listing(log.address(), 50, &[]));
    assert!(dialler.is_leaving("i-5") && !dialler.is_leaving("i-6"));
}

/// Records of so many strong VMs that have ended, so that a weaker one's turn to list comes after them.
fn record_strong_vms(log: &KeyedLog, count: usize) {
    for number in 0..count {
        let record = json!({ "zone": "hall", "address": "127.0.0.1:9", "strength": 4_000 });
        let key = format!("vm/strong-{number}");
        log.put("keyed.fleet", &key, Some(&record.to_string()));
    }
}

/// VMs of a zone that is too large for its holder to tell all of them everything.
const LARGE_ZONE: usize = 60;

#[tokio::test]
async fn a_vm_that_has_no_target_list_serves_by_its_holders_word() {
    let log = KeyedLog::start().await.expect("a log");
    let plain = RawTarget::start(good_answer).await.expect("a target");
    let engine = slow_engine(Duration::from_millis(1)).await;
    record_strong_vms(&log, LARGE_ZONE);
    let listed = [
        ("i-1", "ledger", plain.address),
        ("e-1", "scribe", engine.address),
    ];
    let _holder = start_daemon(&log, &listed).await;
    let unlisted = vec!["keyed.servers".to_owned()];
    log.set_faults(|faults| faults.unlisted = unlisted);
    let blind = DirectDaemon::start(vm_settings("vm-2", &log)).await;
    let blind = blind.expect("the daemon starts");
    for (path, headers) in [
        ("/lookup/1", String::new()),
        ("/plan/1", model_headers("a1")),
    ] {
        wait_for(path, async || {
            let request = post_request(path, "r1", &headers);
            send_request(blind.caller_address, &request).await.status == 200
        })
        .await;
    }
    assert!(!blind.fleet().is_topic_known(FeedTopic::Targets));
}

#[tokio::test]
async fn vms_that_start_together_do_not_all_list_the_targets_at_once() {
    let log = KeyedLog::start().await.expect("a log");
    log.put("keyed.op", "config", Some(&config_json(1)));
    record_strong_vms(&log, LARGE_ZONE);
    let daemon = DirectDaemon::start(vm_settings("vm-1", &log)).await;
    let daemon = daemon.expect("the daemon starts");
    wait_for("the fleet's records", async || {
        daemon.fleet().is_topic_known(FeedTopic::Fleet)
    })
    .await;
    assert_eq!(log.listings("keyed.servers"), 0);
    wait_for("its turn", async || log.listings("keyed.servers") > 0).await;
}

#[tokio::test]
async fn a_vm_that_starts_beside_a_holder_of_before_lists_at_once() {
    let log = KeyedLog::start().await.expect("a log");
    let _holder = start_daemon(&log, &[]).await;
    record_strong_vms(&log, 10_000);
    let later = DirectDaemon::start(vm_settings("vm-2", &log)).await;
    let later = later.expect("the daemon starts");
    wait_for("readiness", async || is_ready(&later).await).await;
}
