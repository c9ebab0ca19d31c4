//! What one link passes on of the platform's log.
//!
//! News goes out as it comes. What a VM's first listing of a topic brings is no news: every VM lists a topic itself or is
//! told all of it, and of a fleet that starts at once each VM would pass its whole list on to each of its links. So the
//! side that dialled asks for what it lacks, at first and whenever it knows a topic whole that it did not before, and has its
//! answer once the other side knows the topic whole itself.

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
    ids::{Instant, LogPosition, TargetRun, VmName},
};
use std::{
    collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
    sync::Arc,
};
use tokio::sync::watch;

/// Bytes of a record that is passed on to other zones unasked.
const SMALL_RECORD: usize = 1024;

/// What one link passes on of the platform's log.
pub struct RecordSharing {
    fleet: Arc<FleetState>,
    is_same_zone: bool,
    /// This link's place in the news: all before it has been passed on.
    place: u64,
    /// The same in the news of targets that leave.
    leaving_place: u64,
    news: watch::Receiver<u64>,
    pulls: watch::Receiver<u64>,
    whole: watch::Receiver<usize>,
    /// Records that came over this link since its news was last passed on whole, which need not go back.
    heard: HashMap<(FeedTopic, String), LogPosition>,
    /// Topics that this VM knew whole when it asked last; none on the side that asks only if the log turns it away.
    asked_with: Option<usize>,
    /// What the other side has asked for, of topics that this VM does not know whole yet.
    open: BTreeMap<FeedTopic, LogPosition>,
    /// Answers that go out next.
    replies: VecDeque<VmMessage>,
    /// Topics of which the other side has had its answer, so that with this link's news it misses nothing of them.
    answered: BTreeSet<FeedTopic>,
    /// The other side's last sign of life: its clock then, and when it came.
    last_beat: Option<(u64, Instant)>,
}

impl RecordSharing {
    pub fn new(fleet: &Arc<FleetState>, is_same_zone: bool) -> Self {
        Self {
            fleet: Arc::clone(fleet),
            is_same_zone,
            place: fleet.tables().records.next_sequence(),
            leaving_place: 0,
            news: fleet.watch_news(),
            pulls: fleet.watch_pulls(),
            whole: fleet.watch_whole(),
            heard: HashMap::new(),
            asked_with: None,
            open: BTreeMap::new(),
            replies: VecDeque::new(),
            answered: BTreeSet::new(),
            last_beat: None,
        }
    }

    /// The next message that the other side should have. Safe to drop while it waits.
    pub async fn next(&mut self) -> VmMessage {
        loop {
            self.answer_open();
            if let Some(message) = self.next_reply().or_else(|| self.next_question()) {
                return message;
            }
            if let Some(runs) = self.take_leaving() {
                return VmMessage::Leaving(runs);
            }
            if let Some(records) = self.take_news() {
                self.fleet
                    .metrics
                    .count_forwarded_records(ForwardReason::News, records.len());
                return VmMessage::Records(records);
            }
            // The senders live as long as the books.
            tokio::select! {
                _ = self.news.changed() => {}
                _ = self.whole.changed() => {}
                _ = self.pulls.changed() => return VmMessage::Wanted {
                    from: self.fleet.wanted(),
                    is_turned_away: true,
                },
            }
        }
    }

    /// The next part of an answer to the other side's questions.
    pub fn next_reply(&mut self) -> Option<VmMessage> {
        let reply = self.replies.pop_front()?;
        if let VmMessage::Answer { spans, .. } = &reply {
            self.answered.extend(spans.iter().map(|span| span.topic));
        }
        Some(reply)
    }

    /// Another question of the side that asks, once it knows more topics whole.
    fn next_question(&mut self) -> Option<VmMessage> {
        let whole = self.fleet.whole_topics();
        if self.asked_with? >= whole {
            return None;
        }
        self.initial_request()
    }

    /// The news since this link's place that is worth passing on, as much as goes into one message.
    fn take_news(&mut self) -> Option<Vec<ForwardedRecord>> {
        while !self.is_drained() {
            let (mut records, place) = self.fleet.tables().records.updates_from(self.place);
            self.place = place;
            records.retain(|record| self.is_worth(record) && !self.is_heard(record));
            if !records.is_empty() {
                return Some(records);
            }
        }
        None
    }

    /// Targets that leave, as many as go into one message, of which the other side has not been told.
    fn take_leaving(&mut self) -> Option<Vec<TargetRun>> {
        let (runs, place) = self.fleet.tables().leaving.after(self.leaving_place);
        self.leaving_place = place;
        (!runs.is_empty()).then_some(runs)
    }

    fn is_drained(&self) -> bool {
        self.place >= self.fleet.tables().records.next_sequence()
    }

    /// A sign of life, with how this VM's contact with the log stands. In the same zone it says up to where the other
    /// side knows everything, once all news is passed on.
    pub fn heartbeat(&self) -> VmMessage {
        let is_whole = self.is_same_zone && self.is_drained() && self.replies.is_empty();
        let now = clock::now();
        let proof = self.fleet.tables().passed_proof(now);
        VmMessage::Beat {
            contact: self.fleet.log_report(),
            ends: if is_whole {
                self.answered_ends()
            } else {
                Vec::new()
            },
            sent: now.0,
            echo: self.last_beat.map(|(sent, came)| HeartbeatEcho {
                sent,
                held_ms: millis(now.since(came)),
            }),
            proof,
        }
    }

    /// Up to where the other side knows everything of the topics that it was answered.
    fn answered_ends(&self) -> Vec<TopicEnd> {
        let ends = self.fleet.tellable_ends().into_iter();
        ends.filter(|(topic, _)| self.answered.contains(topic))
            .collect()
    }

    /// The question of the side that dialled: what was recorded since this VM last read, and before the other side began to
    /// pass its news on here.
    pub fn initial_request(&mut self) -> Option<VmMessage> {
        if !self.is_same_zone {
            return None;
        }
        self.asked_with = Some(self.fleet.whole_topics());
        Some(VmMessage::Wanted {
            from: self.fleet.wanted(),
            is_turned_away: false,
        })
    }

    /// Within a zone everything is passed on; between zones bytes have a price, so only what is small and urgent.
    fn is_worth(&self, record: &ForwardedRecord) -> bool {
        self.is_same_zone
            || match record.topic {
                FeedTopic::Targets => self.fleet.is_leaving(&record.key),
                FeedTopic::Operators | FeedTopic::Fleet => record
                    .value
                    .as_ref()
                    .is_none_or(|value| value.len() <= SMALL_RECORD),
            }
    }

    /// Whether the other side told of a record itself.
    fn is_heard(&self, record: &ForwardedRecord) -> bool {
        let key = (record.topic, record.key.clone());
        self.heard.get(&key) == Some(&record.position)
    }

    /// Notes records that the other side tells of.
    fn note_heard(&mut self, records: &[ForwardedRecord]) {
        if self.is_drained() {
            self.heard.clear();
        }
        let heard = records.iter();
        self.heard
            .extend(heard.map(|record| ((record.topic, record.key.clone()), record.position)));
    }

    /// Answers a question for records; what can't be answered yet is answered once it can.
    pub fn answer(&mut self, message: &VmMessage) {
        let VmMessage::Wanted {
            from,
            is_turned_away,
        } = message
        else {
            return;
        };
        if *is_turned_away {
            self.fleet.note_asked();
        }
        for (topic, position) in from {
            if self.fleet.is_topic_known(*topic) {
                self.open.remove(topic);
            } else {
                self.open.insert(*topic, *position);
            }
        }
        self.reply(from, *is_turned_away);
    }

    /// Answers what was asked of topics that this VM knows whole by now.
    fn answer_open(&mut self) {
        let open = self.open.iter().map(|(topic, from)| (*topic, *from));
        let due: Vec<TopicEnd> = open
            .filter(|(topic, _)| self.fleet.is_topic_known(*topic))
            .collect();
        self.open
            .retain(|topic, _| due.iter().all(|(answered, _)| answered != topic));
        if !due.is_empty() {
            self.reply(&due, false);
        }
    }

    fn reply(&mut self, from: &[TopicEnd], is_turned_away: bool) {
        let (records, spans) = self.fleet.records_since(from, is_turned_away);
        let metrics = &self.fleet.metrics;
        metrics.count_forwarded_records(ForwardReason::Answer, records.len());
        let mut parts = split_into_messages(records);
        let records = parts.pop().unwrap_or_default();
        self.replies
            .extend(parts.into_iter().map(VmMessage::Records));
        self.replies.push_back(VmMessage::Answer { records, spans });
    }

    /// Takes in what a VM tells of the log; gives other messages back.
    pub fn take(&mut self, vm: &VmName, message: VmMessage) -> Option<VmMessage> {
        match message {
            VmMessage::Records(records) => {
                self.note_heard(&records);
                self.fleet.apply_forwarded(records);
            }
            VmMessage::Leaving(runs) => self.fleet.mark_leaving(&runs, "by another VM's word"),
            VmMessage::Answer { records, spans } => {
                self.note_heard(&records);
                self.fleet.take_answer(records, &spans);
            }
            VmMessage::Beat {
                contact,
                ends,
                sent,
                echo,
                proof,
            } => {
                self.last_beat = Some((sent, clock::now()));
                if let (Some(proof), Some(echo)) = (proof, echo) {
                    self.fleet.take_proof(&proof, &echo);
                }
                self.fleet.take_log_report(vm, contact);
                self.fleet.take_ends(&ends);
            }
            other => return Some(other),
        }
        None
    }
}
