//! Cache of the platform log's newest records, from which VMs replicate records to each other.
//!
//! The platform may reject some VMs while it serves others. Each VM therefore forwards what it reads, and log positions
//! decide which record of a key is newer. A rejected VM stays up to date as long as it reaches one that is served.
//!
//! Updates are numbered in the order in which this VM learned of them, and each link keeps its own cursor. A slow link
//! reads only the newest record of each key when it resumes, so no update is lost and no queue grows per link.

use crate::direct::message::{FeedTopic, ForwardedRecord};
use bytes::Bytes;
use hoplanding_core::ids::{LogPosition, StoreEra};
use std::{collections::BTreeMap, mem};

/// Maximum number of records in one message.
const MAX_MESSAGE_RECORDS: usize = 64;
/// Size in bytes from which a message takes no more records: about a tenth of a second at 10 Mbit/s, so that updates do
/// not delay other messages on a slow link for long.
const MESSAGE_SIZE_LIMIT: usize = 96 * 1024;

type RecordKey = (FeedTopic, String);

#[derive(Debug)]
struct CachedRecord {
    position: LogPosition,
    value: Option<Bytes>,
    /// Sequence number of the update, if the record has to be forwarded.
    sequence: Option<u64>,
}

/// The newest record of each key, as read from the log or received from another VM.
#[derive(Debug, Default)]
pub struct RecordCache {
    records: BTreeMap<RecordKey, CachedRecord>,
    updates: BTreeMap<u64, RecordKey>,
    /// Sequence number of the next update.
    next_sequence: u64,
}

impl RecordCache {
    /// Whether a position is newer than that of the cached record of this key.
    #[must_use]
    pub fn is_newer(&self, topic: FeedTopic, key: &str, position: LogPosition) -> bool {
        let cached = self.records.get(&(topic, key.to_owned()));
        cached.is_none_or(|cached| cached.position < position)
    }

    /// Whether the cached record of this key has exactly this position.
    #[must_use]
    pub fn contains(&self, topic: FeedTopic, key: &str, position: LogPosition) -> bool {
        let cached = self.records.get(&(topic, key.to_owned()));
        cached.is_some_and(|cached| cached.position == position)
    }

    /// The position of a key's cached record, also of a deletion.
    #[must_use]
    pub fn position(&self, topic: FeedTopic, key: &str) -> Option<LogPosition> {
        let cached = self.records.get(&(topic, key.to_owned()))?;
        Some(cached.position)
    }

    /// The cached value of a key; none if the key is unknown or deleted.
    #[must_use]
    pub fn value(&self, topic: FeedTopic, key: &str) -> Option<&[u8]> {
        let cached = self.records.get(&(topic, key.to_owned()))?;
        cached.value.as_deref()
    }

    /// The cached record of a key in the form sent to other VMs; none if the key is unknown or deleted.
    #[must_use]
    pub fn record(&self, topic: FeedTopic, key: &str) -> Option<ForwardedRecord> {
        let key = (topic, key.to_owned());
        let cached = self.records.get(&key)?;
        cached.value.is_some().then(|| relayed_record(&key, cached))
    }

    /// Whether the cache has a record of every position of a topic in `from..before`.
    #[must_use]
    pub fn has_all_between(
        &self,
        topic: FeedTopic,
        from: LogPosition,
        before: LogPosition,
    ) -> bool {
        let records = self.records.iter();
        let found = records.filter(|((record_topic, _), record)| {
            *record_topic == topic && from <= record.position && record.position < before
        });
        found.count() as u64 >= before.0.saturating_sub(from.0)
    }

    /// Inserts a record that is newer than the cached one of its key. If `is_update` is false, the record gets no
    /// sequence number of its own, but takes over that of an update of this key which links may still have to forward.
    pub fn insert(
        &mut self,
        topic: FeedTopic,
        key: &str,
        position: LogPosition,
        value: Option<&Bytes>,
        is_update: bool,
    ) {
        let key = (topic, key.to_owned());
        let mut sequence = self.records.get(&key).and_then(|cached| cached.sequence);
        if is_update {
            if let Some(sequence) = sequence {
                self.updates.remove(&sequence);
            }
            sequence = Some(self.next_sequence);
            self.updates.insert(self.next_sequence, key.clone());
            self.next_sequence += 1;
        }
        // Copied, because the bytes may be a slice that keeps a large response in memory.
        let value = value.map(|value| Bytes::copy_from_slice(value));
        let record = CachedRecord {
            position,
            value,
            sequence,
        };
        self.records.insert(key, record);
    }

    /// Sequence number that the next update will get: the cursor of a link that has forwarded everything.
    #[must_use]
    pub fn next_sequence(&self) -> u64 {
        self.next_sequence
    }

    /// Updates from a sequence number on, as many as fit into one message, and the sequence number after them.
    #[must_use]
    pub fn updates_from(&self, sequence: u64) -> (Vec<ForwardedRecord>, u64) {
        let mut batch = MessageBatch::default();
        for (sequence, key) in self.updates.range(sequence..) {
            if batch.is_full() {
                return (batch.records, *sequence);
            }
            if let Some(cached) = self.records.get(key) {
                batch.add(relayed_record(key, cached));
            }
        }
        (batch.records, self.next_sequence)
    }

    /// Keys and values of a topic whose records are from eras before this one, deletions excluded.
    pub fn from_earlier_eras(
        &self,
        topic: FeedTopic,
        era: StoreEra,
    ) -> impl Iterator<Item = (&str, &Bytes)> {
        let records = self.records.range((topic, String::new())..);
        records
            .take_while(move |((record_topic, _), _)| *record_topic == topic)
            .filter(move |(_, record)| record.position.era() < era)
            .filter_map(|((_, key), record)| Some((key.as_str(), record.value.as_ref()?)))
    }

    /// Keys of a topic that start with a prefix and have a value.
    pub fn keys_with_value<'a>(
        &'a self,
        topic: FeedTopic,
        prefix: &'a str,
    ) -> impl Iterator<Item = &'a str> {
        let records = self.records.range((topic, prefix.to_owned())..);
        records
            .take_while(move |((record_topic, key), _)| {
                *record_topic == topic && key.starts_with(prefix)
            })
            .filter(|(_, record)| record.value.is_some())
            .map(|((_, key), _)| key.as_str())
    }

    /// Total size of a topic's keys and values in bytes.
    #[must_use]
    pub fn size_bytes(&self, topic: FeedTopic) -> usize {
        let records = self.records.iter();
        records
            .filter(|((record_topic, _), _)| *record_topic == topic)
            .map(|((_, key), record)| key.len() + record.value.as_ref().map_or(0, Bytes::len))
            .sum()
    }

    /// Records of a topic from a position on, and those of earlier eras, which a restored log may lack.
    #[must_use]
    pub fn records_since(&self, topic: FeedTopic, from: LogPosition) -> Vec<ForwardedRecord> {
        self.records
            .iter()
            .filter(|((record_topic, _), record)| {
                *record_topic == topic
                    && (record.position >= from || record.position.era() < from.era())
            })
            .map(|(key, record)| relayed_record(key, record))
            .collect()
    }
}

/// Records collected for one message.
#[derive(Debug, Default)]
struct MessageBatch {
    records: Vec<ForwardedRecord>,
    bytes: usize,
}

impl MessageBatch {
    fn is_full(&self) -> bool {
        self.records.len() == MAX_MESSAGE_RECORDS || self.bytes >= MESSAGE_SIZE_LIMIT
    }

    fn add(&mut self, record: ForwardedRecord) {
        self.bytes += record.value.as_ref().map_or(0, Bytes::len);
        self.records.push(record);
    }
}

/// Splits records into batches of one message each; returns at least one, which may be empty.
#[must_use]
pub fn split_into_messages(records: Vec<ForwardedRecord>) -> Vec<Vec<ForwardedRecord>> {
    let mut batches = Vec::new();
    let mut batch = MessageBatch::default();
    for record in records {
        if batch.is_full() {
            batches.push(mem::take(&mut batch).records);
        }
        batch.add(record);
    }
    batches.push(batch.records);
    batches
}

fn relayed_record((topic, key): &RecordKey, cached: &CachedRecord) -> ForwardedRecord {
    ForwardedRecord {
        topic: *topic,
        key: key.clone(),
        value: cached.value.clone(),
        position: cached.position,
    }
}
