//! Records of requests under which targets ended, in the platform's log.
//!
//! No VM lives for good, so each suspect has a record from its first end on. The gateway that saw the end writes it before it
//! answers its caller or sends the request again: by the time the request can come back, the end outlives all VMs. While the log
//! does not answer, no call waits for it.
//!
//! The holder that grants a request's trials keeps its record as the books say (see `recorder`): it writes what a gateway could not,
//! or a copy of the log lacks, and drops the record of a request that is clear again.

use crate::{
    clock,
    direct::{
        fleet::{FleetState, FleetTables, SUSPECT_KEY_PREFIX, suspect_key},
        message::FeedTopic,
        settings::DirectSettings,
    },
    event,
    events::Event,
};
use bytes::Bytes;
use hoplanding_core::{
    direct::{
        suspects::{RequestFingerprint, SUSPECT_TTL, TargetCrash},
        trials::trial_zones,
    },
    ids::{AvailabilityZone, Instant, TargetRun},
};
use hoplanding_platform::{
    names::FLEET_TOPIC,
    store::{StoreClient, StoreError},
};
use serde::{Deserialize, Serialize};
use std::{
    collections::BTreeSet,
    mem,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};
use tokio::{
    sync::{mpsc, oneshot},
    time::{sleep, timeout},
};

/// Longest time that a call waits for the record of its target's end; the log answers within a few milliseconds.
const RECORD_WITHIN: Duration = Duration::from_millis(250);
/// Pause before records that could not be appended are tried again.
const RECORD_AGAIN: Duration = Duration::from_millis(500);
/// Records of one append.
const APPEND_RECORDS: usize = 64;
/// Ends that wait to be recorded.
const ENDS_DUE: usize = 1024;
/// Time that the gateway which saw an end has to record it, before the holder does.
const GATEWAY_TIME: Duration = Duration::from_secs(2);
/// By how much a record may lag behind the time until which its request is remembered.
const RENEW_AFTER: Duration = Duration::from_secs(6 * 3_600);

/// The value of a suspect's record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectRecord {
    /// Targets that ended under it.
    pub ended: Vec<TargetRun>,
    /// When it is forgotten: wall-clock time in milliseconds since 1970. A few seconds of error are nothing to a day.
    pub until_ms: u64,
}

/// Forms of the value that have been written.
#[derive(Deserialize)]
#[serde(untagged)]
enum WrittenRecord {
    Timed(SuspectRecord),
    /// Quarantines alone, remembered for as long as any other from the moment at which they are read.
    Untimed(Vec<TargetRun>),
}

impl SuspectRecord {
    /// Decodes a record's value.
    ///
    /// # Errors
    /// When it is none that this program writes, or wrote.
    pub fn decode(value: &[u8]) -> serde_json::Result<Self> {
        Ok(match serde_json::from_slice(value)? {
            WrittenRecord::Timed(record) => record,
            WrittenRecord::Untimed(ended) => Self {
                ended,
                until_ms: wall_ms_at(clock::now().after(SUSPECT_TTL)),
            },
        })
    }

    /// When it is forgotten, by this process's clock.
    #[must_use]
    pub fn until(&self) -> Instant {
        let left = Duration::from_millis(self.until_ms.saturating_sub(clock::wall_ms()));
        clock::now().after(left.min(SUSPECT_TTL))
    }

    fn encode(&self) -> Bytes {
        let value = serde_json::to_vec(self).expect("it has a JSON form");
        value.into()
    }
}

fn wall_ms_at(time: Instant) -> u64 {
    let left = time.since(clock::now()).as_millis();
    clock::wall_ms().saturating_add(u64::try_from(left).unwrap_or(u64::MAX >> 1))
}

/// The request that a key of the fleet's topic is about; none if it is about none.
#[must_use]
pub fn suspect_fingerprint(key: &str) -> Option<RequestFingerprint> {
    let text = key.strip_prefix(SUSPECT_KEY_PREFIX)?;
    let number = u64::from_str_radix(text, 16).ok()?;
    Some(RequestFingerprint(number))
}

/// Whether a zone's holder keeps the record of a request: it grants the request's trials.
#[must_use]
pub fn is_record_owner(
    zone: &AvailabilityZone,
    zones: &[AvailabilityZone],
    fingerprint: RequestFingerprint,
) -> bool {
    trial_zones(fingerprint, zones).first() == Some(zone)
}

impl FleetTables {
    /// The value that the record of a request should have, if the log has another; an empty one drops the record.
    fn due_record(&self, fingerprint: RequestFingerprint) -> Option<Bytes> {
        let now = clock::now();
        let written = self
            .records
            .value(FeedTopic::Fleet, &suspect_key(fingerprint));
        let Some(standing) = self.suspects.status(fingerprint, now) else {
            // What another version of this program wrote is not this one's to drop.
            let is_known = written.is_some_and(|value| SuspectRecord::decode(value).is_ok());
            return is_known.then(Bytes::new);
        };
        let due = SuspectRecord {
            ended: standing.crashes,
            until_ms: wall_ms_at(standing.expires_at),
        };
        let Some(Ok(written)) = written.map(SuspectRecord::decode) else {
            return Some(due.encode());
        };
        let lag = Duration::from_millis(due.until_ms.saturating_sub(written.until_ms));
        let is_same = due.ended.iter().all(|run| written.ended.contains(run))
            && written.ended.len() == due.ended.len();
        (!is_same || lag > RENEW_AFTER).then(|| due.encode())
    }

    /// A record of a suspect that a zone's holder has to write or drop, and its value.
    #[must_use]
    pub fn due_suspect_record(
        &self,
        zone: &AvailabilityZone,
        zones: &[AvailabilityZone],
    ) -> Option<(String, Bytes)> {
        let now = clock::now();
        let recorded = self
            .records
            .keys_with_value(FeedTopic::Fleet, SUSPECT_KEY_PREFIX);
        let recorded = recorded.filter_map(suspect_fingerprint);
        let mut known = self.suspects.suspected(now).chain(recorded);
        known.find_map(|fingerprint| {
            let standing = self.suspects.status(fingerprint, now);
            let is_gateways =
                standing.is_some_and(|standing| now.since(standing.last_crash) < GATEWAY_TIME);
            if is_gateways || !is_record_owner(zone, zones, fingerprint) {
                return None;
            }
            let value = self.due_record(fingerprint)?;
            Some((suspect_key(fingerprint), value))
        })
    }
}

/// A request whose record is due, and who waits for it.
struct DueRecord {
    fingerprint: RequestFingerprint,
    done: oneshot::Sender<()>,
}

/// The way of calls to the writer of suspects' records.
#[derive(Clone, Debug)]
pub struct SuspectRecorder {
    due: mpsc::Sender<DueRecord>,
    is_failing: Arc<AtomicBool>,
}

impl SuspectRecorder {
    /// Starts the writer, which ends with the last of its senders.
    #[must_use]
    pub fn start(fleet: &Arc<FleetState>, settings: &Arc<DirectSettings>) -> Self {
        let (due, receiver) = mpsc::channel(ENDS_DUE);
        let is_failing = Arc::new(AtomicBool::new(false));
        let writer = SuspectWriter {
            fleet: Arc::clone(fleet),
            settings: Arc::clone(settings),
            client: StoreClient::new(settings.platform_address),
            due: BTreeSet::new(),
            waiting: Vec::new(),
            is_failing: Arc::clone(&is_failing),
        };
        tokio::spawn(writer.run(receiver));
        Self { due, is_failing }
    }

    /// Has what is known of a suspect recorded, and waits for that unless the log is slow or away.
    pub async fn record(&self, fingerprint: RequestFingerprint) {
        let (done, recorded) = oneshot::channel();
        let due = DueRecord { fingerprint, done };
        if self.is_failing.load(Ordering::Relaxed) {
            // Where the channel is full, the holder writes it.
            drop(self.due.try_send(due));
            return;
        }
        let written = async {
            if self.due.send(due).await.is_ok() {
                // Dropped without a word where the log could not be written to.
                drop(recorded.await);
            }
        };
        if timeout(RECORD_WITHIN, written).await.is_err() {
            event!(
                Event::EndRecordLate,
                "{}, {RECORD_WITHIN:?}",
                suspect_key(fingerprint)
            );
        }
    }
}

/// Writes the records of suspects whose targets ended under calls of this VM.
struct SuspectWriter {
    fleet: Arc<FleetState>,
    settings: Arc<DirectSettings>,
    client: StoreClient,
    due: BTreeSet<RequestFingerprint>,
    waiting: Vec<oneshot::Sender<()>>,
    is_failing: Arc<AtomicBool>,
}

impl SuspectWriter {
    async fn run(mut self, mut receiver: mpsc::Receiver<DueRecord>) {
        loop {
            if self.due.is_empty() {
                let Some(due) = receiver.recv().await else {
                    return;
                };
                self.take(due);
            }
            while let Ok(due) = receiver.try_recv() {
                self.take(due);
            }
            let written = self.write().await;
            self.is_failing.store(written.is_err(), Ordering::Relaxed);
            let waiting = mem::take(&mut self.waiting);
            if let Err(error) = written {
                event!(
                    Event::VmRecordFailed,
                    "{} suspects: {error}",
                    self.due.len()
                );
                drop(waiting);
                sleep(RECORD_AGAIN).await;
            } else if self.due.is_empty() {
                for done in waiting {
                    // Its call may have ended.
                    let _ = done.send(());
                }
            } else {
                self.waiting = waiting;
            }
        }
    }

    fn take(&mut self, due: DueRecord) {
        self.due.insert(due.fingerprint);
        self.waiting.push(due.done);
    }

    /// Writes as many of the records that are due as go into one append.
    async fn write(&mut self) -> Result<(), StoreError> {
        let written: Vec<_> = self.due.iter().take(APPEND_RECORDS).copied().collect();
        let records: Vec<_> = {
            let tables = self.fleet.tables();
            let due = written.iter();
            due.filter_map(|fingerprint| {
                let value = tables.due_record(*fingerprint)?;
                Some((suspect_key(*fingerprint), value))
            })
            .collect()
        };
        if !records.is_empty() {
            self.append(records).await?;
        }
        for fingerprint in written {
            self.due.remove(&fingerprint);
        }
        Ok(())
    }

    async fn append(&mut self, records: Vec<(String, Bytes)>) -> Result<(), StoreError> {
        let within = self.settings.timing.platform_timeout;
        let encoded: Vec<(&str, &[u8])> = records
            .iter()
            .map(|(key, value)| (key.as_str(), &**value))
            .collect();
        let first = self
            .client
            .append_all(FLEET_TOPIC, &encoded, within)
            .await?;
        if !self.fleet.observe_era(first.era()) {
            return Err(StoreError::OtherEra(first.era()));
        }
        for (place, (key, value)) in (0..).zip(records) {
            let position = first.plus(place);
            self.fleet.apply_own_record(key, value.to_vec(), position);
        }
        Ok(())
    }
}

/// Folds the record of a suspect, or the end of its suspicion.
pub(super) fn apply_suspect_record(
    tables: &mut FleetTables,
    fingerprint: RequestFingerprint,
    value: Option<&[u8]>,
    now: Instant,
) -> serde_json::Result<()> {
    let Some(value) = value else {
        let key = suspect_key(fingerprint);
        let dropped = tables.records.value(FeedTopic::Fleet, &key);
        if let Some(Ok(record)) = dropped.map(SuspectRecord::decode) {
            // An end that came meanwhile still counts.
            tables.suspects.clear_crashes(fingerprint, &record.ended);
        }
        return Ok(());
    };
    let record = SuspectRecord::decode(value)?;
    let until = record.until();
    for run in record.ended {
        let ended = TargetCrash { fingerprint, run };
        tables.suspects.record_crash_until(&ended, until, now);
    }
    Ok(())
}
