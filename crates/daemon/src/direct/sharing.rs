//! Sharing of platform log records over one link.
//!
//! New records are forwarded as they arrive. Records from a VM's first listing of a topic are not
//! forwarded: every VM lists a topic itself or receives all of it in an answer, and if each VM of a
//! fleet that starts at once forwarded its list over each of its links, the links would be
//! overloaded.
//!
//! Instead the dialling side requests what it lacks, first when the link is up and again whenever
//! one more of its topics is complete. The other side answers once the requested topic is complete
//! there.

use crate::{
    clock,
    direct::{
        fleet::FleetState,
        message::{FeedTopic, ForwardedRecord, TopicEnd, VmMessage},
        metrics::ForwardReason,
        record_cache::split_into_messages,
    },
};
use hoplanding_core::{
    direct::{freshness::HeartbeatEcho, millis},
    ids::{AvailabilityZone, Instant, LogPosition, TargetRun, VmName},
};
use std::{
    collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
    sync::Arc,
};
use tokio::sync::watch;

/// Size limit in bytes of a record that is forwarded unasked to other zones.
const MAX_CROSS_ZONE_RECORD_BYTES: usize = 1024;

/// Sharing state of one link.
pub struct RecordSharing {
    fleet: Arc<FleetState>,
    peer_zone: AvailabilityZone,
    is_same_zone: bool,
    /// Sequence number of the updates up to which they have been forwarded over this link.
    update_sequence: u64,
    /// Sequence number of the next announcement of a leaving target.
    leaving_sequence: u64,
    updates: watch::Receiver<u64>,
    record_requests: watch::Receiver<u64>,
    known_topics: watch::Receiver<usize>,
    /// Records received over this link since all updates were last forwarded, which need not be
    /// sent back.
    received: HashMap<(FeedTopic, String), LogPosition>,
    /// Number of complete topics at the last request; `None` on the side that sends requests only
    /// while the log does not serve it.
    requested_with: Option<usize>,
    /// Requests of the peer for topics that are not complete here yet.
    open_requests: BTreeMap<FeedTopic, LogPosition>,
    /// Answers to send next.
    replies: VecDeque<VmMessage>,
    /// Topics that were sent to the peer in an answer, so that with this link's updates it lacks
    /// none of their records.
    answered_topics: BTreeSet<FeedTopic>,
    /// Clock value in the peer's last heartbeat, and when that arrived.
    last_heartbeat: Option<(u64, Instant)>,
    /// Whether the peer's last heartbeat asked for a read that proves its claim.
    is_lease_read_wanted: bool,
    /// Name of the peer, to which the zone's loads are reported.
    peer: Option<VmName>,
    /// Sequence number of the next load to report.
    load_sequence: u64,
}

impl RecordSharing {
    pub fn new(fleet: &Arc<FleetState>, peer_zone: &AvailabilityZone) -> Self {
        Self {
            fleet: Arc::clone(fleet),
            peer_zone: peer_zone.clone(),
            is_same_zone: *peer_zone == fleet.zone,
            update_sequence: fleet.tables().records.next_sequence(),
            leaving_sequence: 0,
            updates: fleet.watch_updates(),
            record_requests: fleet.watch_record_requests(),
            known_topics: fleet.watch_known_topics(),
            received: HashMap::new(),
            requested_with: None,
            open_requests: BTreeMap::new(),
            replies: VecDeque::new(),
            answered_topics: BTreeSet::new(),
            last_heartbeat: None,
            is_lease_read_wanted: false,
            peer: None,
            load_sequence: 0,
        }
    }

    /// Also reports the zone's loads to the peer, if that is this VM.
    #[must_use]
    pub fn with_peer(self, peer: &VmName) -> Self {
        Self {
            peer: Some(peer.clone()),
            ..self
        }
    }

    /// Waits for the next message to the peer. Cancel-safe.
    pub async fn next(&mut self) -> VmMessage {
        loop {
            self.answer_open_requests();
            if let Some(message) = self.next_reply().or_else(|| self.repeated_request()) {
                return message;
            }
            if let Some(runs) = self.next_leaving() {
                return VmMessage::Leaving(runs);
            }
            if let Some(records) = self.next_updates() {
                self.fleet
                    .metrics
                    .count_forwarded_records(ForwardReason::News, records.len());
                return VmMessage::Records(records);
            }
            // `FleetState` keeps the senders alive.
            tokio::select! {
                _ = self.updates.changed() => {}
                _ = self.known_topics.changed() => {}
                _ = self.record_requests.changed() => return VmMessage::RequestRecords {
                    from: self.fleet.missing_ranges(),
                    lacks_log_access: true,
                },
            }
        }
    }

    /// Next part of an answer to the peer's requests.
    pub fn next_reply(&mut self) -> Option<VmMessage> {
        let reply = self.replies.pop_front()?;
        if let VmMessage::Answer { spans, .. } = &reply {
            self.answered_topics
                .extend(spans.iter().map(|span| span.topic));
        }
        Some(reply)
    }

    /// Sends the request of the requesting side again once more topics are complete.
    fn repeated_request(&mut self) -> Option<VmMessage> {
        let known_topics = self.fleet.known_topic_count();
        if self.requested_with? >= known_topics {
            return None;
        }
        self.initial_request()
    }

    /// Updates to forward since the last ones, as many as fit into one message.
    fn next_updates(&mut self) -> Option<Vec<ForwardedRecord>> {
        while !self.is_up_to_date() {
            let (mut records, sequence) = self
                .fleet
                .tables()
                .records
                .updates_from(self.update_sequence);
            self.update_sequence = sequence;
            records.retain(|record| self.is_forwarded(record) && !self.is_received(record));
            if !records.is_empty() {
                return Some(records);
            }
        }
        None
    }

    /// Leaving targets to forward, as many as fit into one message.
    fn next_leaving(&mut self) -> Option<Vec<TargetRun>> {
        let (runs, sequence) = self.fleet.tables().leaving.after(self.leaving_sequence);
        self.leaving_sequence = sequence;
        (!runs.is_empty()).then_some(runs)
    }

    fn is_up_to_date(&self) -> bool {
        self.update_sequence >= self.fleet.tables().records.next_sequence()
    }

    /// Heartbeat with the state of this VM's contact with the log. Within a zone it also carries
    /// the positions up to which the peer knows everything, once all updates are forwarded.
    pub fn heartbeat(&mut self) -> VmMessage {
        let mut loads = Vec::new();
        if let Some(peer) = self.peer.as_ref().filter(|_| self.is_same_zone) {
            (loads, self.load_sequence) = self.fleet.loads_for(peer, self.load_sequence);
        }
        let now = clock::now();
        // Read before the check for updates: an entry that comes in between is forwarded after this heartbeat.
        let list_age_ms = self.fleet.tables().list_age_ms(now);
        let is_complete = self.is_same_zone && self.is_up_to_date() && self.replies.is_empty();
        let has_sent_list = self.answered_topics.contains(&FeedTopic::Targets)
            && self.answered_topics.contains(&FeedTopic::Fleet);
        let proof = self.fleet.tables().freshness_proof(now);
        let lease_read = self
            .is_lease_read_wanted
            .then(|| self.fleet.lease_read(&self.peer_zone)?.forward(now));
        VmMessage::Heartbeat {
            contact: self.fleet.contact_report(),
            ends: if is_complete {
                self.answered_ends()
            } else {
                Vec::new()
            },
            list_age_ms: list_age_ms.filter(|_| is_complete && has_sent_list),
            sent: now.0,
            echo: self.last_heartbeat.map(|(sent, arrived)| HeartbeatEcho {
                sent,
                held_ms: millis(now.since(arrived)),
            }),
            proof,
            asks_for_lease_read: self.fleet.asks_for_lease_read(),
            lease_read: lease_read.flatten(),
            is_overloaded: self.is_same_zone && self.fleet.is_overloaded(),
            overload_count: if self.is_same_zone {
                self.fleet.overload_count(now)
            } else {
                None
            },
            loads,
            shortages: self.fleet.own_reports(now),
        }
    }

    /// Positions up to which the peer knows everything, for the topics of earlier answers.
    fn answered_ends(&self) -> Vec<TopicEnd> {
        let ends = self.fleet.forwardable_ends().into_iter();
        ends.filter(|(topic, _)| self.answered_topics.contains(topic))
            .collect()
    }

    /// Request of the dialling side for the records since its last read. It covers those that the
    /// peer received before it began to forward updates over this link.
    pub fn initial_request(&mut self) -> Option<VmMessage> {
        if !self.is_same_zone {
            return None;
        }
        self.requested_with = Some(self.fleet.known_topic_count());
        Some(VmMessage::RequestRecords {
            from: self.fleet.missing_ranges(),
            lacks_log_access: false,
        })
    }

    /// Within a zone every record is forwarded. Traffic between zones has a price, so only small
    /// and urgent records are.
    fn is_forwarded(&self, record: &ForwardedRecord) -> bool {
        self.is_same_zone
            || match record.topic {
                FeedTopic::Targets => self.fleet.is_leaving(&record.key),
                FeedTopic::Operators | FeedTopic::Fleet => record
                    .value
                    .as_ref()
                    .is_none_or(|value| value.len() <= MAX_CROSS_ZONE_RECORD_BYTES),
            }
    }

    /// Whether the peer itself forwarded a record.
    fn is_received(&self, record: &ForwardedRecord) -> bool {
        let key = (record.topic, record.key.clone());
        self.received.get(&key) == Some(&record.position)
    }

    fn record_received(&mut self, records: &[ForwardedRecord]) {
        if self.is_up_to_date() {
            self.received.clear();
        }
        let received = records.iter();
        self.received
            .extend(received.map(|record| ((record.topic, record.key.clone()), record.position)));
    }

    /// Answers a request for records. Topics that are not complete here are answered later.
    pub fn handle_request(&mut self, message: &VmMessage) {
        let VmMessage::RequestRecords {
            from,
            lacks_log_access,
        } = message
        else {
            return;
        };
        if *lacks_log_access {
            self.fleet.record_read_request();
        }
        for (topic, position) in from {
            if self.fleet.is_topic_known(*topic) {
                self.open_requests.remove(topic);
            } else {
                self.open_requests.insert(*topic, *position);
            }
        }
        self.queue_answer(from, *lacks_log_access);
    }

    /// Answers open requests for topics that are complete by now.
    fn answer_open_requests(&mut self) {
        let requests = self
            .open_requests
            .iter()
            .map(|(topic, from)| (*topic, *from));
        let answerable: Vec<TopicEnd> = requests
            .filter(|(topic, _)| self.fleet.is_topic_known(*topic))
            .collect();
        self.open_requests
            .retain(|topic, _| answerable.iter().all(|(answered, _)| answered != topic));
        if !answerable.is_empty() {
            self.queue_answer(&answerable, false);
        }
    }

    fn queue_answer(&mut self, from: &[TopicEnd], lacks_log_access: bool) {
        let (records, spans) = self.fleet.records_since(from, lacks_log_access);
        let metrics = &self.fleet.metrics;
        metrics.count_forwarded_records(ForwardReason::Answer, records.len());
        let mut parts = split_into_messages(records);
        let records = parts.pop().unwrap_or_default();
        self.replies
            .extend(parts.into_iter().map(VmMessage::Records));
        self.replies.push_back(VmMessage::Answer { records, spans });
    }

    /// Applies a message about the log; returns any other message.
    pub fn apply(&mut self, vm: &VmName, message: VmMessage) -> Option<VmMessage> {
        match message {
            VmMessage::Records(records) => {
                self.record_received(&records);
                self.fleet.apply_forwarded(records);
            }
            VmMessage::Leaving(runs) => self.fleet.mark_leaving(&runs, "reported by another VM"),
            VmMessage::Answer { records, spans } => {
                self.record_received(&records);
                self.fleet.apply_answer(records, &spans);
            }
            VmMessage::Heartbeat {
                contact,
                ends,
                list_age_ms,
                sent,
                echo,
                proof,
                asks_for_lease_read,
                lease_read,
                is_overloaded,
                overload_count,
                loads,
                shortages,
            } => {
                let now = clock::now();
                self.last_heartbeat = Some((sent, now));
                if self.is_same_zone {
                    self.fleet
                        .record_load(vm, is_overloaded, overload_count, now);
                    self.fleet.record_loads(loads);
                }
                self.fleet
                    .record_reports(vm, &self.peer_zone, shortages, now);
                self.is_lease_read_wanted = asks_for_lease_read;
                if asks_for_lease_read {
                    self.fleet.record_lease_request();
                }
                if let (Some(read), Some(echo)) = (lease_read, echo) {
                    self.fleet.apply_lease_read(vm, &read, &echo);
                }
                if let (Some(proof), Some(echo)) = (proof, echo) {
                    self.fleet.apply_proof(&proof, &echo);
                }
                self.fleet.apply_contact_report(vm, contact);
                self.fleet.apply_ends(&ends);
                if let (Some(age_ms), Some(echo)) = (list_age_ms, echo) {
                    self.fleet.apply_list_age(age_ms, &echo);
                }
            }
            other => return Some(other),
        }
        None
    }
}
