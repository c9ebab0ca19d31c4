//! One worker a topic of the platform's log.
//!
//! A worker lists the newest record of each key once, then reads on from there. When the log is out of reach it tries
//! again after a pause, and tells the others when it is back, so that a read that hangs on a dead connection is begun
//! anew.

use crate::{
    direct::{access::ZoneAccess, fleet::FleetState, message::FeedTopic, settings::PaceSettings},
    event,
    events::Event,
};
use hoplanding_core::ids::LogOffset;
use hoplanding_platform::{
    names::{FLEET_TOPIC, OPERATOR_TOPIC, TARGET_TOPIC},
    store::{ReadBatch, StoreClient, StoreError},
};
use rand::Rng;
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::{
    sync::watch,
    time::{Instant, sleep},
};

/// Longest time that a read waits for a record.
const READ_WAIT: Duration = Duration::from_secs(20);
/// The same for the target list, whose reads also show whether the log is in reach.
const LIST_WAIT: Duration = Duration::from_millis(600);
/// Time after the start in which only those first in rank read on.
const START_GRACE: Duration = Duration::from_secs(3);
/// Pause between two reads of the fleet's records: after a common start they come by the dozen.
const FLEET_EVERY: Duration = Duration::from_secs(1);
/// VMs of a zone that read the log beside its holder.
const STAND_INS: u32 = 2;
/// VMs of a zone that read the log once when another VM can't.
const ANSWERERS: u32 = 3;
/// Pause between two looks at whether this VM has to read.
const DUTY_LOOK: Duration = Duration::from_millis(300);
/// Pause after a call that brought nothing; varied by half.
const RETRY_PAUSE: Duration = Duration::from_millis(400);

/// Whether the log is in reach, counted up at each return.
#[derive(Clone, Debug)]
pub struct StoreReach {
    returns: watch::Sender<u64>,
}

impl StoreReach {
    /// A store that was never out of reach.
    #[must_use]
    pub fn new() -> Self {
        Self {
            returns: watch::channel(0).0,
        }
    }
}

impl Default for StoreReach {
    fn default() -> Self {
        Self::new()
    }
}

/// Reads one topic into the books.
#[derive(Debug)]
pub struct FeedWorker {
    /// The topic.
    pub topic: FeedTopic,
    /// The platform's log.
    pub address: SocketAddr,
    /// Pauses and bounds.
    pub pace: PaceSettings,
    /// The books.
    pub fleet: Arc<FleetState>,
    /// Links to holders.
    pub access: Arc<ZoneAccess>,
    /// Shared by all feeds.
    pub reach: StoreReach,
    /// When the process started.
    pub started: Instant,
}

impl FeedWorker {
    /// Reads until the process ends.
    pub async fn run(self) {
        let mut client = StoreClient::new(self.address);
        let mut is_out = false;
        loop {
            let listing = client
                .newest(topic_name(self.topic), self.pace.platform_timeout)
                .await;
            let listing = match listing {
                Ok(listing) => listing,
                Err(error) => {
                    self.note_out(&mut is_out, &error);
                    pause().await;
                    continue;
                }
            };
            self.note_back(&mut is_out);
            let end = listing.end;
            self.fleet.take_listing(self.topic, &listing);
            self.read_on(&mut client, end, &mut is_out).await;
        }
    }

    /// Reads records until those from the wanted offset on are gone.
    async fn read_on(&self, client: &mut StoreClient, from: LogOffset, is_out: &mut bool) {
        let mut from = from;
        let topic = topic_name(self.topic);
        loop {
            self.wait_for_duty().await;
            let mut returns = self.reach.returns.subscribe();
            let reading = client.read(topic, from, self.wait(), self.pace.platform_timeout);
            let read = tokio::select! {
                read = reading => read,
                // Another feed lost the log and has it back: this connection may be dead.
                _ = returns.changed() => continue,
            };
            match read {
                Ok(batch) => {
                    self.note_back(is_out);
                    from = next_offset(from, &batch);
                    self.fleet.take_records(self.topic, &batch);
                    sleep(self.pause_between()).await;
                }
                Err(StoreError::Expired(_)) => return,
                Err(error) => {
                    self.note_out(is_out, &error);
                    pause().await;
                }
            }
        }
    }

    /// Waits while the holder of the zone passes on what it reads, and others stand in for it.
    async fn wait_for_duty(&self) {
        let mut asked = self.fleet.watch_asked();
        while !self.has_duty() {
            tokio::select! {
                () = sleep(DUTY_LOOK) => {}
                // A VM that can't read asks: one read of this VM's own answers it.
                _ = asked.changed() => {
                    if self.fleet.rank() < ANSWERERS {
                        return;
                    }
                }
            }
        }
    }

    /// Whether this VM reads the log itself: the holder does, a few that would succeed it, and all who don't hear it. At
    /// its start a VM waits for its first link rather than read what the holder is about to pass on.
    fn has_duty(&self) -> bool {
        let is_starting = self.started.elapsed() < START_GRACE;
        if is_starting && self.topic != FeedTopic::Fleet {
            return self.fleet.rank() < STAND_INS;
        }
        let Some(lease) = self.fleet.lease(&self.fleet.zone) else {
            return true;
        };
        if lease.vm.as_ref().is_none_or(|vm| *vm == self.fleet.vm) {
            return true;
        }
        !self.access.is_linked(&lease) || self.fleet.rank() < STAND_INS
    }

    fn wait(&self) -> Duration {
        match self.topic {
            FeedTopic::Targets => LIST_WAIT,
            FeedTopic::Operators | FeedTopic::Fleet => READ_WAIT,
        }
    }

    fn pause_between(&self) -> Duration {
        match self.topic {
            FeedTopic::Targets => self.pace.list_every,
            FeedTopic::Operators => self.pace.config_every,
            FeedTopic::Fleet => FLEET_EVERY.min(self.pace.list_every),
        }
    }

    fn note_out(&self, is_out: &mut bool, error: &StoreError) {
        self.fleet.ask_others();
        if !*is_out {
            *is_out = true;
            event!(Event::LogOut, "{:?}: {error}", self.topic);
        }
    }

    fn note_back(&self, is_out: &mut bool) {
        if *is_out {
            *is_out = false;
            event!(Event::LogBack, "{:?}", self.topic);
            self.fleet.outage_ended();
            self.reach.returns.send_modify(|returns| *returns += 1);
        }
    }
}

fn next_offset(from: LogOffset, batch: &ReadBatch) -> LogOffset {
    batch
        .records
        .last()
        .map_or(from, |record| LogOffset(record.offset.0 + 1))
}

async fn pause() {
    let part = rand::rng().random_range(0.75..1.25);
    sleep(RETRY_PAUSE.mul_f64(part)).await;
}

fn topic_name(topic: FeedTopic) -> &'static str {
    match topic {
        FeedTopic::Operators => OPERATOR_TOPIC,
        FeedTopic::Targets => TARGET_TOPIC,
        FeedTopic::Fleet => FLEET_TOPIC,
    }
}
