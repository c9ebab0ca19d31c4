//! Every VM ends up with the target list of the log, whatever happens to links and readers.
//!
//! Guards against records that get lost between VMs. Each world is drawn from a seed. A hub that
//! the other VMs are linked to reads the target list, and sometimes another VM reads it too. The
//! log rejects reads, and links delay messages, deliver them one by one, break and reconnect. At
//! the end only the hub reads, so a record that a link dropped, or that a VM was wrongly said to
//! know, stays missing.

use crate::support::{target_entry, vm_settings};
use futures_util::FutureExt;
use hoplanding_core::ids::{LogPosition, TargetName, VmName};
use hoplanding_platform::store::{KeyedRecord, ReadBatch};
use hoplanding_standins::keyed_log::KeyedLog;
use hoplandingd::direct::{
    fleet::FleetState,
    message::{FeedTopic, VmMessage},
    sharing::RecordSharing,
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use std::{collections::VecDeque, net::SocketAddr, sync::Arc, time::Duration};
use tokio::time::sleep;

const SEEDS: u64 = 60;
const STEPS: usize = 600;
const OTHERS: usize = 4;
const TARGETS: usize = 25;

/// One side of a link, with the messages on their way from it.
struct LinkSide {
    sharing: RecordSharing,
    vm: VmName,
    sent: VecDeque<VmMessage>,
}

impl LinkSide {
    fn new(fleet: &Arc<FleetState>) -> Self {
        Self {
            sharing: RecordSharing::new(fleet, &fleet.zone),
            vm: fleet.vm.clone(),
            sent: VecDeque::new(),
        }
    }

    /// Sends all messages that are due.
    fn send_due(&mut self) {
        while let Some(message) = self.sharing.next().now_or_never() {
            self.sent.push_back(message);
        }
    }

    fn heartbeat(&mut self) {
        let heartbeat = self.sharing.heartbeat();
        self.sent.push_back(heartbeat);
    }

    /// Receives the oldest message of the other side. Returns whether there was one.
    fn receive_from(&mut self, other: &mut Self) -> bool {
        let Some(message) = other.sent.pop_front() else {
            return false;
        };
        self.sharing.handle_request(&message);
        while let Some(reply) = self.sharing.next_reply() {
            self.sent.push_back(reply);
        }
        self.sharing.apply(&other.vm, message);
        true
    }
}

struct World {
    random: StdRng,
    log: Vec<(usize, Option<&'static str>)>,
    hub: Arc<FleetState>,
    others: Vec<Arc<FleetState>>,
    /// Hub side and other side of each link.
    links: Vec<(LinkSide, LinkSide)>,
    address: SocketAddr,
}

impl World {
    fn new(seed: u64, log: &KeyedLog) -> Self {
        let fleet = |name: String| Arc::new(FleetState::new(&vm_settings(&name, log), seed));
        let hub = fleet("hub".to_owned());
        let others: Vec<_> = (0..OTHERS)
            .map(|number| fleet(format!("vm-{number}")))
            .collect();
        let mut world = Self {
            random: StdRng::seed_from_u64(seed),
            log: Vec::new(),
            links: Vec::new(),
            hub,
            others,
            address: log.address(),
        };
        for target in 0..TARGETS {
            world.log.push((target, Some("ready")));
        }
        // All VMs start with the same list.
        let listing = world.batch(0);
        let hub = Arc::clone(&world.hub);
        for fleet in world.others.iter().chain([&hub]) {
            fleet.apply_listing(FeedTopic::Targets, &listing);
        }
        world.links = world
            .others
            .iter()
            .map(|other| new_link(&hub, other))
            .collect();
        world
    }

    fn batch(&self, from: usize) -> ReadBatch {
        let records = self.log.iter().enumerate().skip(from);
        let record = |(position, (target, state)): (usize, &(usize, Option<&str>))| KeyedRecord {
            key: format!("i-{target}"),
            value: state.map(|state| target_entry("ledger", self.address, state, &[]).into()),
            position: LogPosition(position as u64),
        };
        ReadBatch {
            next: LogPosition(self.log.len() as u64),
            records: records.map(record).collect(),
            end: LogPosition(self.log.len() as u64),
        }
    }

    fn read(&self, fleet: &FleetState) {
        let from = fleet.known_end(FeedTopic::Targets);
        fleet.record_list_call(true);
        fleet.apply_records(FeedTopic::Targets, from, &self.batch(from.0 as usize));
    }

    fn list(&self, fleet: &FleetState) {
        let mut listing = self.batch(0);
        let newest = |record: &KeyedRecord| {
            let later = listing.records.iter();
            record.value.is_some()
                && !later
                    .clone()
                    .any(|other| other.key == record.key && other.position > record.position)
        };
        let newest_records: Vec<_> = listing
            .records
            .iter()
            .filter(|record| newest(record))
            .cloned()
            .collect();
        listing.records = newest_records;
        fleet.record_list_call(true);
        fleet.apply_listing(FeedTopic::Targets, &listing);
    }

    fn step(&mut self) {
        let at = self.random.random_range(0..OTHERS);
        match self.random.random_range(0..100) {
            0..30 => {
                let states = [Some("ready"), Some("draining"), None, None];
                let target = self.random.random_range(0..TARGETS);
                let state = states[self.random.random_range(0..states.len())];
                self.log.push((target, state));
            }
            30..42 => self.read(&self.hub),
            42..44 => self.read(&self.others[at]),
            44..46 => self.list(&self.hub),
            46..50 => self.hub.record_list_call(false),
            50..52 => self.others[at].record_list_call(false),
            52..55 => self.links[at] = new_link(&self.hub, &self.others[at]),
            55..60 => self.links[at].0.heartbeat(),
            60..63 => self.links[at].1.heartbeat(),
            63..75 => self.links[at].0.send_due(),
            75..80 => self.links[at].1.send_due(),
            80..92 => {
                let (hub, other) = &mut self.links[at];
                other.receive_from(hub);
            }
            _ => {
                let (hub, other) = &mut self.links[at];
                hub.receive_from(other);
            }
        }
    }

    /// Lets the hub read on, confirms all pending removals, and delivers all messages.
    fn settle(&mut self) {
        self.read(&self.hub);
        self.hub.expire();
        self.others.iter().for_each(|other| other.expire());
        for (hub, other) in &mut self.links {
            loop {
                hub.send_due();
                other.send_due();
                if !hub.receive_from(other) & !other.receive_from(hub) {
                    break;
                }
            }
        }
    }

    /// Targets whose state at a VM differs from the log.
    fn differing_targets(&self, fleet: &FleetState) -> Vec<String> {
        let newest = |target| {
            let records = self.log.iter().rev();
            records
                .clone()
                .find(|record| record.0 == target)
                .and_then(|record| record.1)
        };
        (0..TARGETS)
            .filter(|target| {
                let name = TargetName::new(&format!("i-{target}"));
                let known = fleet.tables().catalog.get(&name).map(|entry| entry.stage);
                let said = newest(*target).map(|state| state == "draining");
                known.map(|stage| format!("{stage:?}") == "Draining") != said
            })
            .map(|target| format!("i-{target}"))
            .collect()
    }
}

/// New link dialled by the other VM. Messages in flight on the previous link are lost.
fn new_link(hub: &Arc<FleetState>, other: &Arc<FleetState>) -> (LinkSide, LinkSide) {
    let (hub, mut other) = (LinkSide::new(hub), LinkSide::new(other));
    other.sent.extend(other.sharing.initial_request());
    (hub, other)
}

/// Guards against records that are lost or wrongly counted as known when links break, lag or
/// reconnect and when the log rejects reads.
#[tokio::test]
async fn every_vm_converges_to_the_target_list_of_the_log() {
    let log = KeyedLog::start().await.expect("a log");
    let mut worlds: Vec<_> = (0..SEEDS).map(|seed| World::new(seed, &log)).collect();
    for world in &mut worlds {
        for _ in 0..STEPS {
            world.step();
        }
        // From here on the log serves the hub.
        world.read(&world.hub);
    }
    // Until the last pending removal is confirmed.
    sleep(Duration::from_millis(2_300)).await;
    for (seed, world) in worlds.iter_mut().enumerate() {
        world.settle();
        for fleet in world.others.iter().chain([&world.hub]) {
            let differing = world.differing_targets(fleet);
            assert!(
                differing.is_empty(),
                "seed {seed}, {}: {differing:?}",
                fleet.vm
            );
        }
    }
}
