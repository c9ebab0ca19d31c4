//! What VMs tell each other of the platform's log: records as they come, and all that one lacks.

use crate::{
    clock,
    direct::{
        fleet::FleetState,
        ingest::RecordSource,
        message::{ContactReport, FeedTopic, ForwardedRecord, TopicEnd, TopicSpan},
    },
    event,
    events::Event,
};
use bytes::Bytes;
use hoplanding_core::{
    direct::{
        freshness::{HeartbeatEcho, RelayedProof},
        log_contact::AnswerSpan,
        millis,
    },
    ids::{Instant, LogPosition, TargetName, VmName},
};
use hoplanding_platform::store::KeyedRecord;
use std::{collections::BTreeMap, slice, time::Duration};
use tokio::sync::watch;

/// VMs of a zone up to which its holder tells those that start all it knows. Beyond that its own link and memory would
/// carry the whole list many times over, and the platform's log does that better.
const MOST_TOLD: usize = 48;
/// Bytes of a topic up to which the holder tells all of it: a tenth of a second of a link of 10 Mbit/s for each VM.
const MOST_TOLD_BYTES: usize = 128 * 1024;
/// Time for which a VM reads for another one that the log turns away. One that stays turned away asks again within 3.3 s:
/// 0.9 s and the longest wait until a silent read has failed, then a pause of 1 s at most.
const READS_FOR_OTHERS: Duration = Duration::from_secs(4);

impl FleetState {
    /// Folds records that another VM passed on.
    pub fn apply_forwarded(&self, passed: Vec<ForwardedRecord>) {
        self.take_told(passed, RecordSource::Passed);
    }

    /// Folds a record that this VM asked for before it knows the topic.
    pub fn apply_requested(&self, asked: ForwardedRecord) {
        self.take_told(vec![asked], RecordSource::Asked);
    }

    fn take_told(&self, passed: Vec<ForwardedRecord>, source: RecordSource) {
        self.observe_positions(passed.iter().map(|record| record.position));
        let now = clock::now();
        let mut has_news = false;
        for record in passed {
            let topic = record.topic;
            let record = KeyedRecord {
                key: record.key,
                value: record.value,
                position: record.position,
            };
            has_news |= self.fold(topic, slice::from_ref(&record), source, now);
        }
        if has_news {
            self.signal();
        }
    }

    /// The record of a target, for a VM that does not know the target list.
    #[must_use]
    pub fn target_record(&self, target: &TargetName) -> Option<ForwardedRecord> {
        self.tables()
            .records
            .passed(FeedTopic::Targets, target.as_str())
    }

    /// Folds a record of the fleet that this VM appended. Where it lies at the end that was known, nothing remains to be
    /// read before it.
    pub fn apply_own_record(&self, key: String, value: Vec<u8>, position: LogPosition) {
        if self.tables().fleet_end == Some(position) {
            self.note_end(FeedTopic::Fleet, position.plus(1));
        }
        self.apply_forwarded(vec![ForwardedRecord {
            topic: FeedTopic::Fleet,
            key,
            // A key without a value is dropped.
            value: (!value.is_empty()).then(|| Bytes::from(value)),
            position,
        }]);
    }

    /// Another VM can't read the log: this one may have to read for it. What it reads is passed on as news.
    pub fn note_asked(&self) {
        let until = clock::now().after(READS_FOR_OTHERS);
        self.asked.send_replace(until);
    }

    /// Whether another VM has lately said that it can't read the log.
    #[must_use]
    pub fn is_asked(&self) -> bool {
        clock::now() < *self.asked.borrow()
    }

    /// The records of topics from positions on, for a VM that has not read them itself, and up to where it then knows
    /// everything of those that this VM knows whole. A VM that the log serves lists a long topic better itself.
    #[must_use]
    pub fn records_since(
        &self,
        wanted: &[TopicEnd],
        is_turned_away: bool,
    ) -> (Vec<ForwardedRecord>, Vec<TopicSpan>) {
        let told = self.tellable_ends();
        let tables = self.tables();
        let is_told = |(topic, from): &&TopicEnd| {
            is_turned_away || from.0 > 0 || tables.records.size_bytes(*topic) <= MOST_TOLD_BYTES
        };
        let wanted: BTreeMap<FeedTopic, LogPosition> =
            wanted.iter().filter(is_told).copied().collect();
        let records = wanted
            .iter()
            .flat_map(|(topic, from)| tables.records.records_since(*topic, *from));
        let spans = told
            .into_iter()
            .filter(|(topic, _)| wanted.contains_key(topic))
            .map(|(topic, end)| TopicSpan {
                topic,
                since: tables.known_since.get(&topic).copied().unwrap_or(end),
                end,
            });
        (records.collect(), spans.collect())
    }

    /// Folds what another VM answered, and with it the topics of which that one knows every key.
    pub fn take_answer(&self, records: Vec<ForwardedRecord>, spans: &[TopicSpan]) {
        self.observe_positions(spans.iter().map(|span| span.end));
        self.apply_forwarded(records);
        let was_ready = self.is_ready();
        for span in spans {
            let is_whole = self.tables().note_told(*span);
            if is_whole {
                self.note_whole(*span, RecordSource::Passed);
            }
        }
        if self.is_ready() && !was_ready {
            event!(Event::Ready, "by what another VM knows");
            self.signal();
        }
    }

    /// Takes over up to where another VM, whose news this one has, knows everything.
    pub fn take_ends(&self, ends: &[TopicEnd]) {
        self.observe_positions(ends.iter().map(|(_, end)| *end));
        let mut tables = self.tables();
        for (topic, end) in ends {
            if !tables.gaps.contains_key(topic) {
                tables.advance(*topic, *end);
            }
        }
    }

    /// Offsets up to which others know everything once they have this VM's records: not beyond a removal that is in doubt
    /// here, as that is passed on when it counts.
    #[must_use]
    pub fn tellable_ends(&self) -> Vec<TopicEnd> {
        let tables = self.tables();
        let doubted = tables.catalog.first_unconfirmed();
        let ends = tables
            .known_ends
            .iter()
            .map(|(topic, end)| match (topic, doubted) {
                (FeedTopic::Targets, Some(doubted)) => (*topic, doubted.min(*end)),
                _ => (*topic, *end),
            });
        ends.collect()
    }

    /// How this VM's contact with the log stands, for others.
    #[must_use]
    pub fn log_report(&self) -> Option<ContactReport> {
        let run = self.tables().contact.answer_span()?;
        let now = clock::now();
        Some(ContactReport {
            since_ms: age_ms(run.since, now),
            last_ms: age_ms(run.last, now),
        })
    }

    /// Another VM says how its contact with the log stands: an outage of this VM's own may turn out to be none of the
    /// log's.
    pub fn take_log_report(&self, vm: &VmName, report: Option<ContactReport>) {
        let now = clock::now();
        let run = report.map(|report| AnswerSpan {
            since: before(now, report.since_ms),
            last: before(now, report.last_ms),
        });
        {
            let mut tables = self.tables();
            tables.contact.record_peer(vm, run);
            tables.note_return();
        }
        self.expire();
    }

    /// Another VM passes on its proof that the configuration is the newest.
    pub fn take_proof(&self, proof: &RelayedProof, echo: &HeartbeatEcho) {
        let mut tables = self.tables();
        let Some(known) = tables.active.as_ref().map(|active| active.config.version) else {
            return;
        };
        tables.proof.accept_relayed(proof, echo, known);
    }

    /// What this VM lacks, for the VMs that it asks: of a topic that it never knew whole, everything, unless its zone is
    /// too large for that.
    #[must_use]
    pub fn wanted(&self) -> Vec<TopicEnd> {
        let may_be_all = self.learns_from_holder();
        FeedTopic::ALL
            .into_iter()
            .filter(|topic| may_be_all || self.is_topic_known(*topic))
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

    /// Until when this VM is asked to read for others, as it changes.
    #[must_use]
    pub fn watch_asked(&self) -> watch::Receiver<Instant> {
        self.asked.subscribe()
    }

    /// Topics that are known whole, as they become more.
    #[must_use]
    pub fn watch_whole(&self) -> watch::Receiver<usize> {
        self.whole.subscribe()
    }

    /// Topics that are known whole.
    #[must_use]
    pub fn whole_topics(&self) -> usize {
        *self.whole.borrow()
    }

    /// A signal of records to pass on.
    #[must_use]
    pub fn watch_news(&self) -> watch::Receiver<u64> {
        self.news.subscribe()
    }
}

fn age_ms(at: Instant, now: Instant) -> u32 {
    millis(now.since(at))
}

fn before(now: Instant, ms: u32) -> Instant {
    Instant(now.0.saturating_sub(u64::from(ms) * 1_000))
}
