//! Records of the platform's log as they are passed on between VMs.
//!
//! The platform may turn some VMs away while it serves the others. What one VM reads goes to the others, and positions
//! say what is newer, so a VM that is turned away stays up to date as long as it reaches one that is not.
//!
//! News has an order of its own, and each link keeps its place in it. A link that lags finds the newest record of each
//! key when it goes on, so nothing is dropped and nothing is queued for it.

use crate::direct::message::{FeedTopic, ForwardedRecord};
use bytes::Bytes;
use hoplanding_core::ids::{LogPosition, StoreEra};
use std::{collections::BTreeMap, mem};

/// Records and bytes of one message of news, so that a weak link's other messages are not held up for long: a tenth of a
/// second at 10 Mbit/s.
const MESSAGE_RECORDS: usize = 64;
const MESSAGE_BYTES: usize = 96 * 1024;

type RecordKey = (FeedTopic, String);

#[derive(Debug)]
struct KeptRecord {
    position: LogPosition,
    value: Option<Bytes>,
    /// Its place in the news, if it is any.
    place: Option<u64>,
}

/// The newest record of each key, as read from the log or passed on.
#[derive(Debug, Default)]
pub struct RecordCache {
    records: BTreeMap<RecordKey, KeptRecord>,
    news: BTreeMap<u64, RecordKey>,
    /// Place behind the newest news.
    head: u64,
}

impl RecordCache {
    /// Whether a record is newer than what is kept of its key.
    #[must_use]
    pub fn is_newer(&self, topic: FeedTopic, key: &str, position: LogPosition) -> bool {
        let kept = self.records.get(&(topic, key.to_owned()));
        kept.is_none_or(|kept| kept.position < position)
    }

    /// Whether a record is the one that is kept of its key.
    #[must_use]
    pub fn contains(&self, topic: FeedTopic, key: &str, position: LogPosition) -> bool {
        let kept = self.records.get(&(topic, key.to_owned()));
        kept.is_some_and(|kept| kept.position == position)
    }

    /// The position of the record that is kept of a key; none where it has none.
    #[must_use]
    pub fn position(&self, topic: FeedTopic, key: &str) -> Option<LogPosition> {
        let kept = self.records.get(&(topic, key.to_owned()))?;
        Some(kept.position)
    }

    /// The value that is kept of a key; none where it has none.
    #[must_use]
    pub fn value(&self, topic: FeedTopic, key: &str) -> Option<&[u8]> {
        let kept = self.records.get(&(topic, key.to_owned()))?;
        kept.value.as_deref()
    }

    /// The record that is kept of a key, to be passed on; none where it has no value.
    #[must_use]
    pub fn passed(&self, topic: FeedTopic, key: &str) -> Option<ForwardedRecord> {
        let key = (topic, key.to_owned());
        let kept = self.records.get(&key)?;
        kept.value.is_some().then(|| passed(&key, kept))
    }

    /// Whether a record is kept of each position of a topic from one on and before another.
    #[must_use]
    pub fn has_all_between(
        &self,
        topic: FeedTopic,
        from: LogPosition,
        before: LogPosition,
    ) -> bool {
        let records = self.records.iter();
        let kept = records.filter(|((kept, _), record)| {
            *kept == topic && from <= record.position && record.position < before
        });
        kept.count() as u64 >= before.0.saturating_sub(from.0)
    }

    /// Keeps a record, which is newer than what is kept of its key. One that is no news takes the place of news that is
    /// still to be passed on.
    pub fn insert(
        &mut self,
        topic: FeedTopic,
        key: &str,
        position: LogPosition,
        value: Option<&Bytes>,
        is_news: bool,
    ) {
        let key = (topic, key.to_owned());
        let mut place = self.records.get(&key).and_then(|kept| kept.place);
        if is_news {
            if let Some(place) = place {
                self.news.remove(&place);
            }
            place = Some(self.head);
            self.news.insert(self.head, key.clone());
            self.head += 1;
        }
        // A copy of its own: the bytes may be a small part of a large answer.
        let value = value.map(|value| Bytes::copy_from_slice(value));
        let record = KeptRecord {
            position,
            value,
            place,
        };
        self.records.insert(key, record);
    }

    /// Place behind the newest news.
    #[must_use]
    pub fn next_sequence(&self) -> u64 {
        self.head
    }

    /// News from a place on, as much as goes into one message, and the place behind it.
    #[must_use]
    pub fn updates_from(&self, place: u64) -> (Vec<ForwardedRecord>, u64) {
        let mut load = MessageLoad::default();
        for (place, key) in self.news.range(place..) {
            if load.is_full() {
                return (load.records, *place);
            }
            if let Some(kept) = self.records.get(key) {
                load.add(passed(key, kept));
            }
        }
        (load.records, self.head)
    }

    /// Records of a topic that have a value, and were read in an earlier era only.
    pub fn from_earlier_eras(
        &self,
        topic: FeedTopic,
        era: StoreEra,
    ) -> impl Iterator<Item = (&str, &Bytes)> {
        let records = self.records.range((topic, String::new())..);
        records
            .take_while(move |((kept, _), _)| *kept == topic)
            .filter(move |(_, record)| record.position.era() < era)
            .filter_map(|((_, key), record)| Some((key.as_str(), record.value.as_ref()?)))
    }

    /// Keys of a topic that begin with a text and have a value.
    pub fn keys_with_value<'a>(
        &'a self,
        topic: FeedTopic,
        start: &'a str,
    ) -> impl Iterator<Item = &'a str> {
        let records = self.records.range((topic, start.to_owned())..);
        records
            .take_while(move |((kept, key), _)| *kept == topic && key.starts_with(start))
            .filter(|(_, record)| record.value.is_some())
            .map(|((_, key), _)| key.as_str())
    }

    /// Bytes of a topic's records.
    #[must_use]
    pub fn size_bytes(&self, topic: FeedTopic) -> usize {
        let records = self.records.iter();
        records
            .filter(|((kept, _), _)| *kept == topic)
            .map(|((_, key), record)| key.len() + record.value.as_ref().map_or(0, Bytes::len))
            .sum()
    }

    /// Records of a topic from a position on, and those of earlier eras, which the log may lack since.
    #[must_use]
    pub fn records_since(&self, topic: FeedTopic, from: LogPosition) -> Vec<ForwardedRecord> {
        self.records
            .iter()
            .filter(|((kept, _), record)| {
                *kept == topic && (record.position >= from || record.position.era() < from.era())
            })
            .map(|(key, record)| passed(key, record))
            .collect()
    }
}

/// Records that go into one message.
#[derive(Debug, Default)]
struct MessageLoad {
    records: Vec<ForwardedRecord>,
    bytes: usize,
}

impl MessageLoad {
    fn is_full(&self) -> bool {
        self.records.len() == MESSAGE_RECORDS || self.bytes >= MESSAGE_BYTES
    }

    fn add(&mut self, record: ForwardedRecord) {
        self.bytes += record.value.as_ref().map_or(0, Bytes::len);
        self.records.push(record);
    }
}

/// Records in loads of one message each.
#[must_use]
pub fn split_into_messages(records: Vec<ForwardedRecord>) -> Vec<Vec<ForwardedRecord>> {
    let mut loads = Vec::new();
    let mut load = MessageLoad::default();
    for record in records {
        if load.is_full() {
            loads.push(mem::take(&mut load).records);
        }
        load.add(record);
    }
    loads.push(load.records);
    loads
}

fn passed((topic, key): &RecordKey, kept: &KeptRecord) -> ForwardedRecord {
    ForwardedRecord {
        topic: *topic,
        key: key.clone(),
        value: kept.value.clone(),
        position: kept.position,
    }
}
