//! One worker a topic of the platform's log.
//!
//! A worker lists the newest record of each key once, or is told them by its zone's holder, then reads on from there.
//! When the log is out of reach one worker of a VM tries again after pauses, and tells the others when it is back.

use crate::{
    clock,
    direct::{
        fleet::FleetState, holder_client::HolderClient, listing::list_topic, message::FeedTopic,
        metrics::LogOutcome, reachability::StoreReachability, settings::TimingSettings,
    },
    event,
    events::Event,
};
use hoplanding_core::{
    direct::{
        lease::HolderContact,
        log_readers::{HolderPresence, ReaderView},
    },
    ids::LogPosition,
};
use hoplanding_platform::{
    names::{FLEET_TOPIC, OPERATOR_TOPIC, TARGET_TOPIC},
    store::{StoreClient, StoreError},
};
use rand::Rng;
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// Longest time that a read waits for a record.
const READ_WAIT: Duration = Duration::from_secs(20);
/// The same for the fleet's records at a zone's holder. The log does not wake a read that comes in the milliseconds in
/// which a record is appended, so what a holder has to know in time it asks for again and again. What it knows of
/// leases has to be renewed well within a turn, as it names no source of memory otherwise. With 1 s between two reads
/// it is 2.5 s old at most; longer waits save calls to the log.
const HOLDER_WAIT: Duration = Duration::from_millis(1_500);
/// The same for the target list, whose reads also show whether the log is in reach.
const LIST_WAIT: Duration = Duration::from_millis(600);
/// The same for the operators' records where keys are taken away within a bound also on VMs that are out of touch: each answer
/// is the proof that nothing was, and counts from when its read was sent. With the pause between two reads a holder's is
/// 1 s old at most, and 1.8 s when others have it; the users' bound is 5 s.
const PROOF_WAIT: Duration = Duration::from_millis(400);
/// Pause between two reads of the fleet's records: after a common start they come by the dozen.
const FLEET_EVERY: Duration = Duration::from_secs(1);
/// Silence of the holder from which a VM reads itself. Signs of life come every 400 ms, and a leaving target has to be
/// known within the users' `drain_ms`, 2 s at the least.
const READ_SILENCE: Duration = Duration::from_millis(900);
/// Time that a VM gives its zone's holder to tell what a listing would, once it knows who that is.
const HOLDER_TELLS: Duration = Duration::from_millis(400);
/// Pause between two looks at whether it has.
const TELL_LOOK: Duration = Duration::from_millis(20);
/// Rank of a VM up to which it lists the targets at once where nobody holds its zone.
const LIST_AT_ONCE: u32 = 1;
/// Pause between the turns of the others, longer than a list takes.
const LIST_TURN: Duration = Duration::from_millis(60);
/// Longest time until a VM's turn to list.
const LIST_LATEST: Duration = Duration::from_secs(8);
/// Pause between two looks at whether this VM has to read.
const DUTY_LOOK: Duration = Duration::from_millis(300);
/// Pause after a call that brought nothing; varied by a quarter. Doubles once: every call has a price, but a holder that
/// the log turns away asks others after each one, and its zone has to know of a leaving target within 2 s.
const RETRY_PAUSE: Duration = Duration::from_millis(400);
const RETRY_LONGEST: Duration = Duration::from_millis(800);
/// Time after which a worker tries for itself though another one is at it.
const PROBE_WAIT: Duration = Duration::from_secs(2);

/// Reads one topic into the books.
#[derive(Debug)]
pub struct FeedWorker {
    /// The topic.
    pub topic: FeedTopic,
    /// The platform's log.
    pub address: SocketAddr,
    /// Pauses and bounds.
    pub pace: TimingSettings,
    /// The books.
    pub fleet: Arc<FleetState>,
    /// Links to holders.
    pub holder_client: Arc<HolderClient>,
    /// Shared by all feeds.
    pub reachability: StoreReachability,
    /// Pause before the first listing.
    pub first_pause: Duration,
    /// When the process started.
    pub started: Instant,
    /// Calls in a row that brought nothing.
    pub failures: u32,
}

impl FeedWorker {
    /// Reads until the process ends.
    pub async fn run(mut self) {
        let mut client = StoreClient::new(self.address);
        if self.topic == FeedTopic::Fleet {
            sleep(self.first_pause).await;
        } else if self.is_told().await || self.is_told_before_turn().await {
            let end = self.fleet.known_end(self.topic);
            self.read_on(&mut client, end).await;
        }
        loop {
            let topic = topic_name(self.topic);
            let began = clock::now();
            let listing = list_topic(&mut client, topic, self.pace.platform_timeout).await;
            let listing = match listing {
                Ok(listing) if self.fleet.observe_era(listing.end.era()) => listing,
                Ok(listing) => {
                    self.note_out(&StoreError::OtherEra(listing.end.era()));
                    self.wait_to_retry().await;
                    continue;
                }
                Err(error) => {
                    self.note_out(&error);
                    self.wait_to_retry().await;
                    continue;
                }
            };
            self.note_back();
            let end = listing.end;
            self.fleet.apply_listing(self.topic, &listing);
            self.note_config_read(began);
            self.note_fleet_read(began);
            self.wait_for_link().await;
            let listed_at = Instant::now();
            self.read_on(&mut client, end).await;
            // Whatever ends reads at once may do so again.
            let pause = RETRY_PAUSE.mul_f64(rand::rng().random_range(0.75..1.25));
            sleep_until(listed_at + pause).await;
        }
    }

    /// Waits for this VM's turn to list the targets; says whether it has been told of all of them by then. Where all VMs of a zone
    /// start together the log would answer all of them late: those that hold the zone next list first, and the others send
    /// calls by their word.
    async fn is_told_before_turn(&self) -> bool {
        if self.topic != FeedTopic::Targets {
            return false;
        }
        let first = self.fleet.lease(&self.fleet.zone);
        let turn = self.fleet.rank().saturating_sub(LIST_AT_ONCE);
        let until = Instant::now() + (LIST_TURN * turn).min(LIST_LATEST);
        while Instant::now() < until && !self.fleet.is_topic_known(self.topic) {
            let lease = self.fleet.lease(&self.fleet.zone);
            let lives_on = lease.is_some() && lease == first && self.hears_holder();
            if lives_on || self.is_holder() {
                return false;
            }
            sleep(TELL_LOOK).await;
        }
        self.fleet.is_topic_known(self.topic)
    }

    /// Waits until the zone's holder has told all of the topic; says whether it did. Where there is no holder, or it
    /// can't be reached, there is nothing to wait for.
    async fn is_told(&self) -> bool {
        sleep(self.first_pause).await;
        let mut until = None;
        loop {
            if self.fleet.is_topic_known(self.topic) {
                return true;
            }
            let knows_fleet = self.fleet.is_topic_known(FeedTopic::Fleet);
            if knows_fleet && !(self.fleet.learns_from_holder() && self.may_be_told()) {
                return false;
            }
            let until = *until.get_or_insert_with(|| Instant::now() + HOLDER_TELLS);
            if Instant::now() >= until {
                return false;
            }
            sleep(TELL_LOOK).await;
        }
    }

    /// Gives the link to the zone's holder time to come up, so that nothing is read that it passes on.
    async fn wait_for_link(&self) {
        let until = Instant::now() + HOLDER_TELLS;
        while Instant::now() < until && self.may_be_told() && !self.hears_holder() {
            sleep(TELL_LOOK).await;
        }
    }

    /// The newest leases are known as of then: an answer may have waited for a VM that stood still.
    fn note_fleet_read(&self, known_at: hoplanding_core::ids::Instant) {
        if self.topic == FeedTopic::Fleet {
            self.fleet.note_fleet_read(known_at);
        }
    }

    /// What operators wrote before a read was sent is known. How long it waited says nothing, as a read is not woken by a
    /// record that comes with it.
    fn note_config_read(&self, sent: hoplanding_core::ids::Instant) {
        if self.topic == FeedTopic::Operators {
            self.fleet.note_config_read(sent);
        }
    }

    fn hears_holder(&self) -> bool {
        let lease = self.fleet.lease(&self.fleet.zone);
        lease.is_some_and(|lease| self.holder_client.is_heard(&lease, READ_SILENCE))
    }

    /// Whether the zone has a holder that is being dialled, or heard.
    fn may_be_told(&self) -> bool {
        let lease = self.fleet.lease(&self.fleet.zone);
        lease.is_some_and(|lease| {
            lease.vm.as_ref().is_some_and(|vm| *vm != self.fleet.vm)
                && self.holder_client.contact(&self.fleet.zone, &lease) != HolderContact::Ended
        })
    }

    /// Reads records until those from the wanted position on are gone, or the log is of another history.
    async fn read_on(&mut self, client: &mut StoreClient, from: LogPosition) {
        let mut from = from;
        let listed_era = from.era();
        let topic = topic_name(self.topic);
        loop {
            self.wait_for_duty().await;
            // What was passed on meanwhile need not be read again.
            from = from.max(self.fleet.known_end(self.topic));
            let mut eras = self.fleet.watch_eras();
            if !self.fleet.is_current_era(from) || from.era() != listed_era {
                return;
            }
            let mut returns = self.reachability.watch();
            let began = clock::now();
            let wait = self.wait();
            let reading = client.read(topic, from, wait, self.pace.platform_timeout);
            let read = tokio::select! {
                read = reading => read,
                // Another feed lost the log and has it back: this connection may be dead.
                _ = returns.changed() => continue,
                // What it waits for is of a history that is over.
                _ = eras.changed() => return,
            };
            match read {
                Ok(batch) => {
                    self.note_back();
                    self.fleet.apply_records(self.topic, from, &batch);
                    if batch.next == batch.end {
                        self.note_config_read(began);
                        // Without a record the log has waited all the time that it was to.
                        let waited = if batch.records.is_empty() {
                            wait
                        } else {
                            Duration::ZERO
                        };
                        self.note_fleet_read(began.after(waited));
                    }
                    from = batch.next;
                    sleep(self.pause_between()).await;
                }
                Err(StoreError::Expired(_)) => return,
                Err(StoreError::OtherEra(era)) => {
                    self.fleet.observe_era(era);
                    return;
                }
                Err(error) => {
                    self.note_out(&error);
                    self.wait_to_retry().await;
                }
            }
        }
    }

    /// Waits while the holder of the zone passes on what it reads, and others stand in for it.
    async fn wait_for_duty(&self) {
        let mut asked = self.fleet.watch_asked();
        while !self.has_duty() {
            self.reachability.stop_probing(self.topic);
            // The sender lives as long as the books.
            let _ = timeout(DUTY_LOOK, asked.changed()).await;
        }
    }

    /// Whether this VM reads the topic itself. While the log turns a VM away a few others read on in its place: a holder that
    /// is heard and can't read left its zone blind for 3.5 s between two of its tries. The fleet's records are read from
    /// the start, as they name the holder.
    fn has_duty(&self) -> bool {
        if self.fleet.has_gap(self.topic) {
            return true;
        }
        let age = match self.topic {
            FeedTopic::Fleet => Duration::MAX,
            FeedTopic::Operators | FeedTopic::Targets => self.started.elapsed(),
        };
        let view = ReaderView {
            age,
            holder: self.holder_sight(),
            rank: self.fleet.rank(),
            zone_vms: self.fleet.zone_vms(),
            is_backup_requested: self.fleet.is_asked(),
        };
        view.must_read()
    }

    fn holder_sight(&self) -> HolderPresence {
        let lease = self.fleet.lease(&self.fleet.zone);
        let Some(holder) = lease.as_ref().and_then(|lease| lease.vm.as_ref()) else {
            return HolderPresence::Vacant;
        };
        if *holder == self.fleet.vm {
            HolderPresence::Myself
        } else if self.hears_holder() {
            HolderPresence::Heard
        } else {
            HolderPresence::Silent
        }
    }

    fn is_holder(&self) -> bool {
        let lease = self.fleet.lease(&self.fleet.zone);
        lease.is_some_and(|lease| lease.vm.as_ref() == Some(&self.fleet.vm))
    }

    /// How long a read waits for a record. After a failure it does not, as its answer shows that the log is back: a read
    /// that waited hid that for 2 to 14 s, in a play with the log out for 0.6 s.
    fn wait(&self) -> Duration {
        if self.failures > 0 {
            return Duration::ZERO;
        }
        match self.topic {
            FeedTopic::Targets => LIST_WAIT,
            FeedTopic::Operators if self.fleet.revocation.is_some() => PROOF_WAIT,
            // What a holder reads it passes on, so its zone need not ask as often.
            FeedTopic::Operators if self.is_holder() => self.pace.max_config_wait,
            FeedTopic::Fleet if self.is_holder() => HOLDER_WAIT,
            FeedTopic::Operators | FeedTopic::Fleet => READ_WAIT,
        }
    }

    fn pause_between(&self) -> Duration {
        match self.topic {
            FeedTopic::Targets => self.pace.list_interval,
            FeedTopic::Operators => self.pace.min_config_interval,
            FeedTopic::Fleet => FLEET_EVERY.min(self.pace.list_interval),
        }
    }

    fn note_out(&mut self, error: &StoreError) {
        let metrics = &self.fleet.metrics;
        metrics.count_log_call(topic_name(self.topic), LogOutcome::Failed);
        if self.topic == FeedTopic::Targets {
            self.fleet.note_list_call(false);
        }
        self.fleet.ask_others();
        if self.failures == 0 {
            event!(Event::LogUnreachable, "{:?}: {error}", self.topic);
        }
        self.failures += 1;
    }

    fn note_back(&mut self) {
        let metrics = &self.fleet.metrics;
        metrics.count_log_call(topic_name(self.topic), LogOutcome::Answered);
        if self.topic == FeedTopic::Targets {
            self.fleet.note_list_call(true);
        }
        if self.failures > 0 {
            self.failures = 0;
            event!(Event::LogReachable, "{:?}", self.topic);
            self.reachability.note_back();
        }
    }

    /// Waits after a failed call: the worker that probes for a pause that grows, the others until it has the log back. The
    /// target list is probed in any case, as nothing else has to be known as soon.
    async fn wait_to_retry(&self) {
        if self.reachability.probes(self.topic) || self.topic == FeedTopic::Targets {
            let pause = if self.failures > 1 {
                RETRY_LONGEST
            } else {
                RETRY_PAUSE
            };
            let part = rand::rng().random_range(0.75..1.25);
            sleep(pause.mul_f64(part)).await;
        } else {
            let mut returns = self.reachability.watch();
            // Whether it is back or this worker has waited long enough: it tries.
            let _ = timeout(PROBE_WAIT, returns.changed()).await;
        }
    }
}

fn topic_name(topic: FeedTopic) -> &'static str {
    match topic {
        FeedTopic::Operators => OPERATOR_TOPIC,
        FeedTopic::Targets => TARGET_TOPIC,
        FeedTopic::Fleet => FLEET_TOPIC,
    }
}
