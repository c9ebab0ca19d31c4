//! Readers of the platform log, one worker for each topic.
//!
//! A worker starts from a listing of the newest record of each key, or from the records that its
//! zone's holder sends, and reads on from there. It pauses while other VMs read on its behalf. When
//! the log can't be reached, one worker of a VM retries with backoff and wakes the others when the
//! log is back.

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

/// Maximum time that a read waits for a record.
const MAX_READ_WAIT: Duration = Duration::from_secs(20);
/// Maximum wait for fleet records at a zone's holder. The log does not wake a read that arrives in
/// the milliseconds in which a record is appended, so a holder reads at intervals. Its knowledge of
/// leases has to be fresher than the handover delay, or it names no source for prompt cache
/// transfers. With 1 s between two reads that knowledge is at most 2.5 s old; longer waits save
/// calls to the log.
const HOLDER_FLEET_READ_WAIT: Duration = Duration::from_millis(1_500);
/// Maximum wait for target list records. These reads also show whether the log can be reached.
const TARGET_READ_WAIT: Duration = Duration::from_millis(600);
/// Maximum wait for operator records where revoked API keys have to be refused within a bound, also
/// on VMs without contact. Each answer proves that no key was revoked before its read was sent.
/// With the pause between two reads the proof is at most 1 s old at a holder and 1.8 s at other
/// VMs; the bound is 5 s.
const KEY_PROOF_READ_WAIT: Duration = Duration::from_millis(400);
/// Pause between two reads of fleet records, which arrive by the dozen when many VMs start at once.
const FLEET_READ_INTERVAL: Duration = Duration::from_secs(1);
/// Silence of the holder after which a VM reads the log itself. Heartbeats are 400 ms apart, and a
/// leaving target has to be known within `drain_ms`, which is at least 2 s.
const HOLDER_SILENCE_TIMEOUT: Duration = Duration::from_millis(900);
/// Time for the zone's holder to send all records, from when the holder is known.
const HOLDER_SEND_TIMEOUT: Duration = Duration::from_millis(400);
/// Interval of checks whether the holder has sent all records.
const HOLDER_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Rank up to which a VM of a zone without a holder lists the targets at once.
const MAX_IMMEDIATE_RANK: u32 = 1;
/// Time between the listings of two successive ranks, longer than a listing takes.
const LISTING_STAGGER: Duration = Duration::from_millis(60);
/// Maximum delay of a VM's first listing of the targets.
const MAX_LISTING_DELAY: Duration = Duration::from_secs(8);
/// Interval of checks whether this VM has to read.
const DUTY_CHECK_INTERVAL: Duration = Duration::from_millis(300);
/// Pause after a failed call, with 25 % jitter. It doubles only once: calls to the log have a
/// price, but a holder that the log does not serve requests records from other VMs after each
/// failure, and its zone has to learn of a leaving target within 2 s.
const RETRY_BACKOFF: Duration = Duration::from_millis(400);
const MAX_RETRY_BACKOFF: Duration = Duration::from_millis(800);
/// Time after which a worker retries even though another worker probes the log.
const PROBE_TIMEOUT: Duration = Duration::from_secs(2);

/// Worker that reads one topic into the fleet's tables.
#[derive(Debug)]
pub struct FeedWorker {
    /// The topic.
    pub topic: FeedTopic,
    /// Address of the platform log.
    pub address: SocketAddr,
    /// Read intervals and timeouts.
    pub timing: TimingSettings,
    /// Tables that the records are applied to.
    pub fleet: Arc<FleetState>,
    /// Links to the zone holders.
    pub holder_client: Arc<HolderClient>,
    /// Reachability of the log, shared by the workers of all topics.
    pub reachability: StoreReachability,
    /// Delay of the first listing.
    pub initial_delay: Duration,
    /// When the process started.
    pub started: Instant,
    /// Number of failed calls since the last success.
    pub failures: u32,
}

impl FeedWorker {
    /// Reads until the process ends.
    pub async fn run(mut self) {
        let mut client = StoreClient::new(self.address);
        if self.topic == FeedTopic::Fleet {
            sleep(self.initial_delay).await;
        } else if self.wait_for_holder().await || self.wait_for_listing_turn().await {
            let end = self.fleet.known_end(self.topic);
            self.read_from(&mut client, end).await;
        }
        loop {
            let topic = topic_name(self.topic);
            let sent_at = clock::now();
            let listing = list_topic(&mut client, topic, self.timing.platform_timeout).await;
            let listing = match listing {
                Ok(listing) if self.fleet.observe_era(listing.end.era()) => listing,
                Ok(listing) => {
                    self.record_failure(&StoreError::EraMismatch(listing.end.era()));
                    self.wait_to_retry().await;
                    continue;
                }
                Err(error) => {
                    self.record_failure(&error);
                    self.wait_to_retry().await;
                    continue;
                }
            };
            self.record_success();
            let end = listing.end;
            self.fleet.apply_listing(self.topic, &listing);
            self.record_config_read(sent_at);
            self.record_list_read(sent_at);
            self.record_fleet_read(sent_at, sent_at, end);
            self.wait_for_link().await;
            let listed_at = Instant::now();
            self.read_from(&mut client, end).await;
            // The condition that ended the reads may hold again at once.
            let pause = RETRY_BACKOFF.mul_f64(rand::rng().random_range(0.75..1.25));
            sleep_until(listed_at + pause).await;
        }
    }

    /// Waits until this VM may list the targets. Returns whether the topic is complete by then.
    /// If all VMs of a zone listed at once after a common start, the log would answer all of them
    /// late. So the VMs that can claim the zone's lease list first, and the others place calls
    /// through the holder.
    async fn wait_for_listing_turn(&self) -> bool {
        if self.topic != FeedTopic::Targets {
            return false;
        }
        let initial_lease = self.fleet.lease(&self.fleet.zone);
        let delayed_rank = self.fleet.rank().saturating_sub(MAX_IMMEDIATE_RANK);
        let until = Instant::now() + (LISTING_STAGGER * delayed_rank).min(MAX_LISTING_DELAY);
        while Instant::now() < until && !self.fleet.is_topic_known(self.topic) {
            let lease = self.fleet.lease(&self.fleet.zone);
            let is_same_holder =
                lease.is_some() && lease == initial_lease && self.has_holder_contact();
            if is_same_holder || self.is_holder() {
                return false;
            }
            sleep(HOLDER_CHECK_INTERVAL).await;
        }
        self.fleet.is_topic_known(self.topic)
    }

    /// Waits for the zone's holder to send the whole topic. Returns whether the topic is complete.
    /// Without a holder that can be reached it does not wait.
    async fn wait_for_holder(&self) -> bool {
        sleep(self.initial_delay).await;
        let mut until = None;
        loop {
            if self.fleet.is_topic_known(self.topic) {
                return true;
            }
            let is_fleet_known = self.fleet.is_topic_known(FeedTopic::Fleet);
            if is_fleet_known
                && !(self.fleet.may_learn_from_holder() && self.can_receive_from_holder())
            {
                return false;
            }
            let until = *until.get_or_insert_with(|| Instant::now() + HOLDER_SEND_TIMEOUT);
            if Instant::now() >= until {
                return false;
            }
            sleep(HOLDER_CHECK_INTERVAL).await;
        }
    }

    /// Gives the link to the zone's holder time to connect, so that nothing is read that the holder
    /// forwards.
    async fn wait_for_link(&self) {
        let until = Instant::now() + HOLDER_SEND_TIMEOUT;
        while Instant::now() < until && self.can_receive_from_holder() && !self.has_holder_contact()
        {
            sleep(HOLDER_CHECK_INTERVAL).await;
        }
    }

    /// Records when a read to the end of the topic was sent, and the time as of which the newest leases are
    /// known. That is not the arrival of the answer, which may have waited while this VM was suspended.
    fn record_fleet_read(
        &self,
        sent_at: hoplanding_core::ids::Instant,
        known_at: hoplanding_core::ids::Instant,
        end: LogPosition,
    ) {
        if self.topic == FeedTopic::Fleet {
            self.fleet.record_fleet_read(known_at);
            self.fleet.record_lease_read(sent_at, end);
        }
    }

    /// Records that operator records written before a read was sent are known. The wait of the read
    /// proves nothing, as a record that is appended when the read arrives does not wake it.
    fn record_config_read(&self, sent: hoplanding_core::ids::Instant) {
        if self.topic == FeedTopic::Operators {
            self.fleet.record_config_read(sent);
        }
    }

    /// Records that target list entries written before a read was sent are known.
    fn record_list_read(&self, sent: hoplanding_core::ids::Instant) {
        if self.topic == FeedTopic::Targets {
            self.fleet.record_list_read(sent);
        }
    }

    fn has_holder_contact(&self) -> bool {
        let lease = self.fleet.lease(&self.fleet.zone);
        lease.is_some_and(|lease| self.holder_client.is_heard(&lease, HOLDER_SILENCE_TIMEOUT))
    }

    /// Whether the zone has a holder that is being dialled or is connected.
    fn can_receive_from_holder(&self) -> bool {
        let lease = self.fleet.lease(&self.fleet.zone);
        lease.is_some_and(|lease| {
            lease.vm.as_ref().is_some_and(|vm| *vm != self.fleet.vm)
                && self.holder_client.contact(&self.fleet.zone, &lease) != HolderContact::Ended
        })
    }

    /// Reads records until the position has expired or the log is in another era.
    async fn read_from(&mut self, client: &mut StoreClient, from: LogPosition) {
        let mut from = from;
        let listed_era = from.era();
        let topic = topic_name(self.topic);
        loop {
            self.wait_for_duty().await;
            // Records that were forwarded in the meantime need not be read again.
            from = from.max(self.fleet.known_end(self.topic));
            let mut eras = self.fleet.watch_eras();
            if !self.fleet.is_current_era(from) || from.era() != listed_era {
                return;
            }
            let mut returns = self.reachability.watch();
            let mut lease_requests = self.fleet.watch_lease_requests();
            let sent_at = clock::now();
            let wait = self.read_wait();
            let is_long_poll = self.topic == FeedTopic::Fleet && !wait.is_zero();
            let reading = client.read(topic, from, wait, self.timing.platform_timeout);
            let read = tokio::select! {
                read = reading => read,
                // Another worker found that the log was out of reach and is back, so this
                // connection may be dead.
                _ = returns.changed() => continue,
                // A claimant waits for a read that is sent from now on.
                _ = lease_requests.changed(), if is_long_poll => continue,
                // The awaited position belongs to an earlier era.
                _ = eras.changed() => return,
            };
            match read {
                Ok(batch) => {
                    self.record_success();
                    self.fleet.apply_records(self.topic, from, &batch);
                    if batch.next == batch.end {
                        self.record_config_read(sent_at);
                        self.record_list_read(sent_at);
                        // An empty answer means that the log waited for the whole requested time.
                        let waited = if batch.records.is_empty() {
                            wait
                        } else {
                            Duration::ZERO
                        };
                        self.record_fleet_read(sent_at, sent_at.after(waited), batch.end);
                    }
                    from = batch.next;
                    sleep(self.read_interval()).await;
                }
                Err(StoreError::Expired(_)) => return,
                Err(StoreError::EraMismatch(era)) => {
                    self.fleet.observe_era(era);
                    return;
                }
                Err(error) => {
                    self.record_failure(&error);
                    self.wait_to_retry().await;
                }
            }
        }
    }

    /// Waits while other VMs, such as the zone's holder, read the topic for this VM.
    async fn wait_for_duty(&self) {
        let mut read_requests = self.fleet.watch_read_requests();
        while !self.has_duty() {
            self.reachability.stop_probing(self.topic);
            // `FleetState` keeps the sender alive.
            let _ = timeout(DUTY_CHECK_INTERVAL, read_requests.changed()).await;
        }
    }

    /// Whether this VM has to read the topic itself. Some VMs also read while the log does not
    /// serve another one: a holder that sends heartbeats but can't read would leave its zone
    /// without updates for 3.5 s between two of its retries. Fleet records are read from the start,
    /// because they name the holder.
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
            holder: self.holder_presence(),
            rank: self.fleet.rank(),
            zone_vms: self.fleet.zone_vms(),
            is_backup_requested: self.fleet.has_read_request(),
        };
        view.must_read()
    }

    fn holder_presence(&self) -> HolderPresence {
        let lease = self.fleet.lease(&self.fleet.zone);
        let Some(holder) = lease.as_ref().and_then(|lease| lease.vm.as_ref()) else {
            return HolderPresence::Vacant;
        };
        if *holder == self.fleet.vm {
            HolderPresence::Myself
        } else if self.has_holder_contact() {
            HolderPresence::Heard
        } else {
            HolderPresence::Silent
        }
    }

    fn is_holder(&self) -> bool {
        let lease = self.fleet.lease(&self.fleet.zone);
        lease.is_some_and(|lease| lease.vm.as_ref() == Some(&self.fleet.vm))
    }

    /// How long a read waits for a record. After a failure it does not wait, because its answer
    /// shows that the log is back. Otherwise an outage of 0.6 s would hide for 2 to 14 s behind the
    /// wait.
    fn read_wait(&self) -> Duration {
        if self.failures > 0 {
            return Duration::ZERO;
        }
        match self.topic {
            // The proof that a claimant waits for should not be older than necessary.
            FeedTopic::Fleet if self.fleet.has_lease_request() => Duration::ZERO,
            FeedTopic::Targets => TARGET_READ_WAIT,
            FeedTopic::Operators if self.fleet.revocation.is_some() => KEY_PROOF_READ_WAIT,
            // The holder forwards what it reads, so the other VMs of its zone can read less often.
            FeedTopic::Operators if self.is_holder() => self.timing.max_config_wait,
            FeedTopic::Fleet if self.is_holder() => HOLDER_FLEET_READ_WAIT,
            FeedTopic::Operators | FeedTopic::Fleet => MAX_READ_WAIT,
        }
    }

    fn read_interval(&self) -> Duration {
        match self.topic {
            FeedTopic::Targets => self.timing.list_interval,
            FeedTopic::Operators => self.timing.min_config_interval,
            FeedTopic::Fleet => FLEET_READ_INTERVAL.min(self.timing.list_interval),
        }
    }

    fn record_failure(&mut self, error: &StoreError) {
        let metrics = &self.fleet.metrics;
        metrics.count_log_call(topic_name(self.topic), LogOutcome::Failed);
        if self.topic == FeedTopic::Targets {
            self.fleet.record_list_call(false);
        }
        self.fleet.request_records();
        if self.failures == 0 {
            event!(Event::LogUnreachable, "{:?}: {error}", self.topic);
        }
        self.failures += 1;
    }

    fn record_success(&mut self) {
        let metrics = &self.fleet.metrics;
        metrics.count_log_call(topic_name(self.topic), LogOutcome::Answered);
        if self.topic == FeedTopic::Targets {
            self.fleet.record_list_call(true);
        }
        if self.failures > 0 {
            self.failures = 0;
            event!(Event::LogReachable, "{:?}", self.topic);
            self.reachability.record_return();
        }
    }

    /// Waits after a failed call: the probing worker with backoff, the others until the log is
    /// back. The worker of the target list probes in any case, as its records are the most urgent.
    async fn wait_to_retry(&self) {
        if self.reachability.is_prober(self.topic) || self.topic == FeedTopic::Targets {
            let pause = if self.failures > 1 {
                MAX_RETRY_BACKOFF
            } else {
                RETRY_BACKOFF
            };
            let jitter = rand::rng().random_range(0.75..1.25);
            sleep(pause.mul_f64(jitter)).await;
        } else {
            let mut returns = self.reachability.watch();
            // Retries after either the log's recovery or the timeout.
            let _ = timeout(PROBE_TIMEOUT, returns.changed()).await;
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
