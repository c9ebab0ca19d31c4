//! Records of suspected requests, that is requests during which targets crashed, in the platform's log.
//!
//! A suspicion has to survive the loss of all VMs, so each suspected request has a record from its first crash on. The
//! gateway that saw the crash writes the record before it answers its caller or retries the request: when the request
//! can arrive again, the crash is already stored. Calls do not wait for the record while the log does not answer.
//!
//! The zone holder that grants a request's trials maintains its record (see [`recorder`](super::recorder)): it writes
//! records that a gateway could not write or that a restored copy of the log lacks, and deletes the record of a request
//! that is no longer suspected.

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
use futures_util::future::join_all;
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

/// Maximum time for which a call waits until the crash of its target is recorded; the log usually answers within a few
/// milliseconds.
const RECORD_TIMEOUT: Duration = Duration::from_millis(250);
/// Pause after a failed append before the records are retried.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum number of records in one append.
const MAX_APPEND_RECORDS: usize = 64;
/// Capacity of the writer's queue.
const QUEUE_CAPACITY: usize = 1024;
/// Time for the gateway that saw a crash to record it; the holder writes the record only after that.
const GATEWAY_GRACE_PERIOD: Duration = Duration::from_secs(2);
/// Maximum difference between a record's expiry and the expiry in memory before the record is written again.
const MAX_EXPIRY_LAG: Duration = Duration::from_secs(6 * 3_600);

/// The value of a suspected request's record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectRecord {
    /// Targets that crashed while they ran the request.
    pub ended: Vec<TargetRun>,
    /// Expiry: wall-clock time in milliseconds since 1970. Clock errors of a few seconds do not matter, as records last
    /// for a day.
    pub until_ms: u64,
    /// Crashes of a part of prompts that were trials.
    #[serde(default, rename = "trials", skip_serializing_if = "is_zero")]
    pub trial_crashes: u32,
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes the field by reference"
)]
fn is_zero(count: &u32) -> bool {
    *count == 0
}

/// Formats of the value that may be in the log.
#[derive(Deserialize)]
#[serde(untagged)]
enum StoredFormat {
    Timed(SuspectRecord),
    /// The crashed targets without an expiry; the full retention period counts from the moment of reading.
    Untimed(Vec<TargetRun>),
}

impl SuspectRecord {
    /// Decodes a record's value.
    ///
    /// # Errors
    /// Returns the error of the JSON decoder if the value has none of the formats of this or an earlier version.
    pub fn decode(value: &[u8]) -> serde_json::Result<Self> {
        Ok(match serde_json::from_slice(value)? {
            StoredFormat::Timed(record) => record,
            StoredFormat::Untimed(ended) => Self {
                ended,
                until_ms: wall_ms_at(clock::now().after(SUSPECT_TTL)),
                trial_crashes: 0,
            },
        })
    }

    /// Expiry by this process's clock, at most [`SUSPECT_TTL`] from now.
    #[must_use]
    pub fn until(&self) -> Instant {
        let left = Duration::from_millis(self.until_ms.saturating_sub(clock::wall_ms()));
        clock::now().after(left.min(SUSPECT_TTL))
    }

    fn encode(&self) -> Bytes {
        let value = serde_json::to_vec(self).expect("a suspect record can be written as JSON");
        value.into()
    }
}

fn wall_ms_at(time: Instant) -> u64 {
    let left = time.since(clock::now()).as_millis();
    clock::wall_ms().saturating_add(u64::try_from(left).unwrap_or(u64::MAX >> 1))
}

/// The fingerprint in a key of the fleet topic; none if it is not the key of a suspected request.
#[must_use]
pub fn suspect_fingerprint(key: &str) -> Option<RequestFingerprint> {
    let text = key.strip_prefix(SUSPECT_KEY_PREFIX)?;
    let number = u64::from_str_radix(text, 16).ok()?;
    Some(RequestFingerprint(number))
}

/// Whether a zone's holder maintains the record of a request. That is the holder of the first zone that grants its
/// trials.
#[must_use]
pub fn is_record_owner(
    zone: &AvailabilityZone,
    zones: &[AvailabilityZone],
    fingerprint: RequestFingerprint,
) -> bool {
    trial_zones(fingerprint, zones).first() == Some(zone)
}

impl FleetTables {
    /// The value to write as the record of a request, if the log has a different one; an empty value deletes the
    /// record.
    fn due_value(&self, fingerprint: RequestFingerprint) -> Option<Bytes> {
        let now = clock::now();
        let written = self
            .records
            .value(FeedTopic::Fleet, &suspect_key(fingerprint));
        let Some(status) = self.suspects.status(fingerprint, now) else {
            // A record that this version cannot decode was written by another version and is kept.
            let is_known = written.is_some_and(|value| SuspectRecord::decode(value).is_ok());
            return is_known.then(Bytes::new);
        };
        let due = SuspectRecord {
            ended: status.crashes,
            until_ms: wall_ms_at(status.expires_at),
            trial_crashes: status.trial_crashes,
        };
        let Some(Ok(written)) = written.map(SuspectRecord::decode) else {
            return Some(due.encode());
        };
        let lag = Duration::from_millis(due.until_ms.saturating_sub(written.until_ms));
        let is_same = due.ended.iter().all(|run| written.ended.contains(run))
            && written.ended.len() == due.ended.len()
            && written.trial_crashes == due.trial_crashes;
        (!is_same || lag > MAX_EXPIRY_LAG).then(|| due.encode())
    }

    /// Key and value of a suspected request's record that a zone's holder has to write next; an empty value deletes the
    /// record.
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
            let status = self.suspects.status(fingerprint, now);
            let is_left_to_gateway =
                status.is_some_and(|status| now.since(status.last_crash) < GATEWAY_GRACE_PERIOD);
            if is_left_to_gateway || !is_record_owner(zone, zones, fingerprint) {
                return None;
            }
            let value = self.due_value(fingerprint)?;
            Some((suspect_key(fingerprint), value))
        })
    }
}

/// A request whose record has to be written, and the channel that reports the write.
struct DueRecord {
    fingerprint: RequestFingerprint,
    done: oneshot::Sender<()>,
}

/// Handle with which calls have suspected requests recorded.
#[derive(Clone, Debug)]
pub struct SuspectRecorder {
    due: mpsc::Sender<DueRecord>,
    is_failing: Arc<AtomicBool>,
}

impl SuspectRecorder {
    /// Starts the writer task, which ends when the last handle is dropped.
    #[must_use]
    pub fn start(fleet: &Arc<FleetState>, settings: &Arc<DirectSettings>) -> Self {
        let (due, receiver) = mpsc::channel(QUEUE_CAPACITY);
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

    /// Records suspects of the same crash, and waits for the writes unless the log is failing; waits for 250 ms at most.
    pub async fn record_all(&self, fingerprints: &[RequestFingerprint]) {
        join_all(
            fingerprints
                .iter()
                .map(|fingerprint| self.record(*fingerprint)),
        )
        .await;
    }

    async fn record(&self, fingerprint: RequestFingerprint) {
        let (done, recorded) = oneshot::channel();
        let due = DueRecord { fingerprint, done };
        if self.is_failing.load(Ordering::Relaxed) {
            // If the channel is full, the zone's holder writes the record.
            drop(self.due.try_send(due));
            return;
        }
        let written = async {
            if self.due.send(due).await.is_ok() {
                // The sender is dropped without a message if the append failed.
                drop(recorded.await);
            }
        };
        if timeout(RECORD_TIMEOUT, written).await.is_err() {
            event!(
                Event::EndRecordLate,
                "{}, {RECORD_TIMEOUT:?}",
                suspect_key(fingerprint)
            );
        }
    }
}

/// Writes the records of requests during which targets crashed, for the calls of this VM.
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
                self.enqueue(due);
            }
            while let Ok(due) = receiver.try_recv() {
                self.enqueue(due);
            }
            let written = self.write_batch().await;
            self.is_failing.store(written.is_err(), Ordering::Relaxed);
            let waiting = mem::take(&mut self.waiting);
            if let Err(error) = written {
                event!(
                    Event::VmRecordFailed,
                    "{} suspected requests, retry in {RETRY_INTERVAL:?}: {error}",
                    self.due.len()
                );
                drop(waiting);
                sleep(RETRY_INTERVAL).await;
            } else if self.due.is_empty() {
                for done in waiting {
                    // The call may have timed out.
                    let _ = done.send(());
                }
            } else {
                self.waiting = waiting;
            }
        }
    }

    fn enqueue(&mut self, due: DueRecord) {
        self.due.insert(due.fingerprint);
        self.waiting.push(due.done);
    }

    /// Appends up to [`MAX_APPEND_RECORDS`] of the due records.
    async fn write_batch(&mut self) -> Result<(), StoreError> {
        let written: Vec<_> = self.due.iter().take(MAX_APPEND_RECORDS).copied().collect();
        let records: Vec<_> = {
            let tables = self.fleet.tables();
            let due = written.iter();
            due.filter_map(|fingerprint| {
                let value = tables.due_value(*fingerprint)?;
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
        let platform_timeout = self.settings.timing.platform_timeout;
        let encoded: Vec<(&str, &[u8])> = records
            .iter()
            .map(|(key, value)| (key.as_str(), &**value))
            .collect();
        let first = self
            .client
            .append_all(FLEET_TOPIC, &encoded, platform_timeout)
            .await?;
        if !self.fleet.observe_era(first.era()) {
            return Err(StoreError::EraMismatch(first.era()));
        }
        for (index, (key, value)) in (0..).zip(records) {
            let position = first.plus(index);
            self.fleet.apply_own_record(key, value.to_vec(), position);
        }
        Ok(())
    }
}

/// Applies the record of a suspected request, or its deletion, to this VM's state.
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
            // Crashes that are not in the deleted record still count.
            tables.suspects.clear_crashes(fingerprint, &record.ended);
        }
        return Ok(());
    };
    let record = SuspectRecord::decode(value)?;
    let until = record.until();
    for run in record.ended {
        let crash = TargetCrash {
            fingerprint,
            run,
            is_trial: false,
        };
        tables.suspects.record_crash_until(&crash, until, now);
    }
    let trial_crashes = record.trial_crashes;
    tables
        .suspects
        .record_trial_crashes(fingerprint, trial_crashes);
    Ok(())
}
