//! Exchange of platform log records between VMs: new records as they arrive, and the ranges that a
//! VM lacks.
//!
//! A VM that can't read the log, or need not, gets its records from the VMs that it is linked to.
//! Each answer also says up to which position the sender knows a topic, so that the receiver knows
//! whether it still has to read the log itself.

use crate::{
    clock,
    direct::{
        fleet::FleetState,
        ingest::RecordSource,
        message::{ContactReport, FeedTopic, ForwardedRecord, TopicEnd, TopicSpan},
        metrics::ProofSource,
    },
    event,
    events::Event,
};
use bytes::Bytes;
use hoplanding_core::{
    direct::{
        freshness::{ForwardedProof, HeartbeatEcho},
        log_contact::AnswerSpan,
        millis,
    },
    ids::{Instant, LogPosition, TargetName, VmName},
};
use hoplanding_platform::store::KeyedRecord;
use std::{collections::BTreeMap, slice, time::Duration};
use tokio::sync::watch;

/// Size of a zone up to which its holder sends everything that it knows to VMs that start. In a
/// larger zone the copies of the whole list would overload the holder's link and memory, and the
/// log serves listings better.
const MAX_INITIALIZED_VMS: usize = 48;
/// Size of a topic up to which the holder sends all of it unless the log fails the receiver: 0.1 s
/// of a 10 Mbit/s link for each VM.
const MAX_FORWARDED_TOPIC_BYTES: usize = 128 * 1024;
/// Time for which a VM reads the log on behalf of another one that can't. The other VM sends its
/// request within 3.3 s: a silent read fails after 0.9 s plus its longest wait, and a pause of at
/// most 1 s follows.
const READ_REQUEST_TTL: Duration = Duration::from_secs(4);

impl FleetState {
    /// Applies records that another VM forwarded.
    pub fn apply_forwarded(&self, records: Vec<ForwardedRecord>) {
        self.apply_from_vm(records, RecordSource::Forwarded);
    }

    /// Applies a record that this VM requested before it knew the topic.
    pub fn apply_requested(&self, record: ForwardedRecord) {
        self.apply_from_vm(vec![record], RecordSource::Requested);
    }

    fn apply_from_vm(&self, records: Vec<ForwardedRecord>, source: RecordSource) {
        self.observe_positions(records.iter().map(|record| record.position));
        let now = clock::now();
        let mut has_updates = false;
        for record in records {
            let topic = record.topic;
            let record = KeyedRecord {
                key: record.key,
                value: record.value,
                position: record.position,
            };
            has_updates |= self.fold(topic, slice::from_ref(&record), source, now);
        }
        if has_updates {
            self.signal();
        }
    }

    /// Record of a target, for a VM that does not know the target list.
    #[must_use]
    pub fn target_record(&self, target: &TargetName) -> Option<ForwardedRecord> {
        self.tables()
            .records
            .record(FeedTopic::Targets, target.as_str())
    }

    /// Applies a record of the fleet topic that this VM appended. If it was appended at the known
    /// end of the topic, no record before it is left to read.
    pub fn apply_own_record(&self, key: String, value: Vec<u8>, position: LogPosition) {
        if self.tables().fleet_end == Some(position) {
            self.record_end(FeedTopic::Fleet, position.plus(1));
        }
        self.apply_forwarded(vec![ForwardedRecord {
            topic: FeedTopic::Fleet,
            key,
            // An empty value removes the key.
            value: (!value.is_empty()).then(|| Bytes::from(value)),
            position,
        }]);
    }

    /// Records that another VM can't read the log, so that this one may have to read on its behalf
    /// and forward the records.
    pub fn record_read_request(&self) {
        let until = clock::now().after(READ_REQUEST_TTL);
        self.read_requests.send_replace(until);
    }

    /// Whether another VM reported within the last seconds that it can't read the log.
    #[must_use]
    pub fn has_read_request(&self) -> bool {
        clock::now() < *self.read_requests.borrow()
    }

    /// Records of topics from the requested positions on, and the spans of those topics that this
    /// VM knows completely. Long topics are left out for a VM that the log serves, as listing them
    /// itself costs less.
    #[must_use]
    pub fn records_since(
        &self,
        requested: &[TopicEnd],
        lacks_log_access: bool,
    ) -> (Vec<ForwardedRecord>, Vec<TopicSpan>) {
        let forwardable = self.forwardable_ends();
        let tables = self.tables();
        let is_forwarded = |(topic, from): &&TopicEnd| {
            lacks_log_access
                || from.0 > 0
                || tables.records.size_bytes(*topic) <= MAX_FORWARDED_TOPIC_BYTES
        };
        let requested: BTreeMap<FeedTopic, LogPosition> =
            requested.iter().filter(is_forwarded).copied().collect();
        let records = requested
            .iter()
            .flat_map(|(topic, from)| tables.records.records_since(*topic, *from));
        let spans = forwardable
            .into_iter()
            .filter(|(topic, _)| requested.contains_key(topic))
            .map(|(topic, end)| TopicSpan {
                topic,
                since: tables.known_since.get(&topic).copied().unwrap_or(end),
                end,
            });
        (records.collect(), spans.collect())
    }

    /// Applies the answer of another VM, including the spans of topics that it knows completely.
    pub fn apply_answer(&self, records: Vec<ForwardedRecord>, spans: &[TopicSpan]) {
        self.observe_positions(spans.iter().map(|span| span.end));
        self.apply_forwarded(records);
        let was_ready = self.is_ready();
        for span in spans {
            let is_complete = self.tables().record_forwarded_span(*span);
            if is_complete {
                self.record_topic_known(*span, RecordSource::Forwarded);
            }
        }
        if self.is_ready() && !was_ready {
            event!(Event::Ready, "from the records of another VM");
            self.signal();
        }
    }

    /// Applies the positions up to which another VM, whose updates this one has received, knows all
    /// records.
    pub fn apply_ends(&self, ends: &[TopicEnd]) {
        self.observe_positions(ends.iter().map(|(_, end)| *end));
        let mut tables = self.tables();
        for (topic, end) in ends {
            if !tables.gaps.contains_key(topic) {
                tables.advance(*topic, *end);
            }
        }
    }

    /// Positions up to which other VMs know all records once they have this VM's records. An
    /// unconfirmed removal is not forwarded until it is confirmed, so the position stays before it.
    #[must_use]
    pub fn forwardable_ends(&self) -> Vec<TopicEnd> {
        let tables = self.tables();
        let unconfirmed = tables.catalog.first_unconfirmed();
        let ends = tables
            .known_ends
            .iter()
            .map(|(topic, end)| match (topic, unconfirmed) {
                (FeedTopic::Targets, Some(unconfirmed)) => (*topic, unconfirmed.min(*end)),
                _ => (*topic, *end),
            });
        ends.collect()
    }

    /// State of this VM's contact with the log, for other VMs.
    #[must_use]
    pub fn contact_report(&self) -> Option<ContactReport> {
        let run = self.tables().contact.answer_span()?;
        let now = clock::now();
        Some(ContactReport {
            since_ms: age_ms(run.since, now),
            last_ms: age_ms(run.last, now),
        })
    }

    /// Applies another VM's report of its contact with the log. It may show that an outage concerns
    /// only this VM, and not the log.
    pub fn apply_contact_report(&self, vm: &VmName, report: Option<ContactReport>) {
        let now = clock::now();
        let run = report.map(|report| AnswerSpan {
            since: before(now, report.since_ms),
            last: before(now, report.last_ms),
        });
        {
            let mut tables = self.tables();
            tables.contact.record_peer(vm, run);
            tables.record_log_return(self.rewrites);
        }
        self.expire();
    }

    /// Applies another VM's proof that the configuration is the newest. It proves nothing to a VM that knows of a newer
    /// configuration whose keys can't be read.
    pub fn apply_proof(&self, proof: &ForwardedProof, echo: &HeartbeatEcho) {
        let mut tables = self.tables();
        let Some(known) = tables
            .newest_version()
            .filter(|_| tables.unread_config.is_none())
        else {
            return;
        };
        if tables.proof.accept_forwarded(proof, echo, known) {
            self.metrics.count_key_proof(ProofSource::Forwarded);
        }
    }

    /// Positions from which this VM lacks records, for its requests to other VMs. A topic that was
    /// never complete is requested from the start, unless the zone is too large for that.
    #[must_use]
    pub fn missing_ranges(&self) -> Vec<TopicEnd> {
        let may_be_all = self.may_learn_from_holder();
        FeedTopic::ALL
            .into_iter()
            .filter(|topic| may_be_all || self.is_topic_known(*topic))
            .map(|topic| (topic, self.known_end(topic)))
            .collect()
    }

    /// Whether the zone's holder sends all records to a VM of this zone that starts.
    #[must_use]
    pub fn may_learn_from_holder(&self) -> bool {
        self.zone_vms() <= MAX_INITIALIZED_VMS
    }

    /// Requests records from all linked VMs because the log can't be reached.
    pub fn request_records(&self) {
        self.record_requests.send_modify(|count| *count += 1);
    }

    /// Watches for requests to linked VMs.
    #[must_use]
    pub fn watch_record_requests(&self) -> watch::Receiver<u64> {
        self.record_requests.subscribe()
    }

    /// Watches the time until which other VMs requested that this VM read on their behalf.
    #[must_use]
    pub fn watch_read_requests(&self) -> watch::Receiver<Instant> {
        self.read_requests.subscribe()
    }

    /// Watches the number of complete topics.
    #[must_use]
    pub fn watch_known_topics(&self) -> watch::Receiver<usize> {
        self.known_topics.subscribe()
    }

    /// Number of complete topics.
    #[must_use]
    pub fn known_topic_count(&self) -> usize {
        *self.known_topics.borrow()
    }

    /// Watches for records to forward.
    #[must_use]
    pub fn watch_updates(&self) -> watch::Receiver<u64> {
        self.updates.subscribe()
    }
}

fn age_ms(at: Instant, now: Instant) -> u32 {
    millis(now.since(at))
}

fn before(now: Instant, ms: u32) -> Instant {
    Instant(now.0.saturating_sub(u64::from(ms) * 1_000))
}
