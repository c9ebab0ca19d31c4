//! Records of the platform's log as they are passed on between VMs.
//!
//! The platform may turn some VMs away while it serves the others. What one VM reads goes to the others, and offsets
//! say what is newer, so a VM that is turned away stays up to date as long as it reaches one that is not.

use crate::direct::message::{FeedTopic, PassedRecord};
use bytes::Bytes;
use hoplanding_core::ids::LogOffset;
use std::collections::BTreeMap;

/// The newest record of each key, as read from the log or passed on.
#[derive(Debug, Default)]
pub struct RecordBook {
    records: BTreeMap<(FeedTopic, String), (LogOffset, Option<Bytes>)>,
}

impl RecordBook {
    /// Keeps a record if it is newer than what is kept of its key; says whether it is.
    pub fn keep(
        &mut self,
        topic: FeedTopic,
        key: &str,
        offset: LogOffset,
        value: Option<&Bytes>,
    ) -> bool {
        let kept = self.records.get(&(topic, key.to_owned()));
        if kept.is_some_and(|(known, _)| *known >= offset) {
            return false;
        }
        // A copy of its own: the bytes may be a small part of a large answer.
        let value = value.map(|value| Bytes::copy_from_slice(value));
        self.records
            .insert((topic, key.to_owned()), (offset, value));
        true
    }

    /// Records of a topic from an offset on.
    #[must_use]
    pub fn since(&self, topic: FeedTopic, from: LogOffset) -> Vec<PassedRecord> {
        self.records
            .iter()
            .filter(|((kept, _), (offset, _))| *kept == topic && *offset >= from)
            .map(|((topic, key), (offset, value))| PassedRecord {
                topic: *topic,
                key: key.clone(),
                value: value.clone(),
                offset: *offset,
            })
            .collect()
    }

    /// Offset behind the newest record of a topic.
    #[must_use]
    pub fn end(&self, topic: FeedTopic) -> LogOffset {
        let newest = self
            .records
            .iter()
            .filter(|((kept, _), _)| *kept == topic)
            .map(|(_, (offset, _))| offset.0 + 1)
            .max();
        LogOffset(newest.unwrap_or(0))
    }
}
