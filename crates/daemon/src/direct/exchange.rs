//! What VMs tell each other of the platform's log: records as they come, and all that one lacks.

use crate::{
    clock,
    direct::{
        fleet::{FleetState, RecordSource},
        message::{FeedTopic, PassedRecord},
    },
    event,
    events::Event,
};
use bytes::Bytes;
use hoplanding_core::ids::LogOffset;
use hoplanding_platform::store::KeyedRecord;
use std::{slice, sync::Arc};
use tokio::sync::{broadcast, watch};

/// VMs of a zone up to which its holder tells those that start all it knows. Beyond that its own link and memory would
/// carry the whole list many times over, and the platform's log does that better.
const MOST_TOLD: usize = 48;

impl FleetState {
    /// Folds records that another VM passed on.
    pub fn take_passed(&self, passed: Vec<PassedRecord>) {
        let now = clock::now();
        let mut has_news = false;
        for record in passed {
            let topic = record.topic;
            let record = KeyedRecord {
                key: record.key,
                value: record.value,
                offset: record.offset,
            };
            has_news |= self.fold(topic, slice::from_ref(&record), RecordSource::Passed, now);
        }
        if has_news {
            self.signal();
        }
    }

    /// Folds a record of the fleet that this VM appended. Where it lies at the end that was known, nothing remains to be
    /// read before it.
    pub fn take_own(&self, key: String, value: Vec<u8>, offset: LogOffset) {
        if self.books().fleet_end == Some(offset) {
            self.note_end(FeedTopic::Fleet, LogOffset(offset.0 + 1));
        }
        self.take_passed(vec![PassedRecord {
            topic: FeedTopic::Fleet,
            key,
            value: Some(Bytes::from(value)),
            offset,
        }]);
    }

    /// Records of topics from offsets on, for a VM that can't read them itself. What this VM reads next is passed on
    /// as news.
    #[must_use]
    pub fn records_since(&self, wanted: &[(FeedTopic, LogOffset)]) -> Vec<PassedRecord> {
        self.asked.send_modify(|count| *count += 1);
        let books = self.books();
        wanted
            .iter()
            .flat_map(|(topic, from)| books.records.since(*topic, *from))
            .collect()
    }

    /// Folds what another VM answered, and with it the topics of which that one knows every key.
    pub fn take_answer(&self, records: Vec<PassedRecord>, whole: &[FeedTopic]) {
        self.take_passed(records);
        let was_ready = self.is_ready();
        self.books().whole.extend(whole);
        if self.is_ready() && !was_ready {
            event!(Event::Ready, "by what another VM knows");
            self.signal();
        }
    }

    /// Topics of which every key is known.
    #[must_use]
    pub fn whole_topics(&self) -> Vec<FeedTopic> {
        self.books().whole.iter().copied().collect()
    }

    /// What this VM lacks, for the VMs that it asks: of a topic that it never knew whole, everything, unless its zone is
    /// too large for that.
    #[must_use]
    pub fn wanted(&self) -> Vec<(FeedTopic, LogOffset)> {
        let may_be_all = self.learns_from_holder();
        FeedTopic::ALL
            .into_iter()
            .filter(|topic| may_be_all || self.knows_whole(*topic))
            .map(|topic| (topic, self.known_end(topic)))
            .collect()
    }

    /// Whether a VM of this zone that knows nothing yet is told everything by the zone's holder.
    #[must_use]
    pub fn learns_from_holder(&self) -> bool {
        self.zone_vms() <= MOST_TOLD
    }

    /// Asks all linked VMs for records: the log is out of reach.
    pub fn ask_others(&self) {
        self.pulls.send_modify(|count| *count += 1);
    }

    /// A signal to ask the linked VMs for records.
    #[must_use]
    pub fn watch_pulls(&self) -> watch::Receiver<u64> {
        self.pulls.subscribe()
    }

    /// A signal that another VM asked for records.
    #[must_use]
    pub fn watch_asked(&self) -> watch::Receiver<u64> {
        self.asked.subscribe()
    }

    /// Records as they become known.
    #[must_use]
    pub fn watch_news(&self) -> broadcast::Receiver<Arc<PassedRecord>> {
        self.news.subscribe()
    }
}
