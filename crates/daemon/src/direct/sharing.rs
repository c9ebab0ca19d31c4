//! What one link passes on of the platform's log.

use crate::{
    clock,
    direct::{
        fleet::FleetState,
        message::{FeedTopic, PassedRecord, VmMessage},
    },
};
use hoplanding_core::{
    direct::{freshness::BeatEcho, millis},
    ids::{Instant, VmName},
};
use std::sync::Arc;
use tokio::sync::watch;

/// Bytes of a record that is passed on to other zones unasked.
const SMALL_RECORD: usize = 1024;

/// What one link passes on of the platform's log.
pub struct RecordSharing {
    fleet: Arc<FleetState>,
    is_same_zone: bool,
    /// This link's place in the news: all before it has been passed on.
    place: u64,
    news: watch::Receiver<u64>,
    pulls: watch::Receiver<u64>,
    /// Whether the other side has answered what it knew, so that with its news this VM misses nothing of it.
    is_caught_up: bool,
    /// The other side's last sign of life: its clock then, and when it came.
    last_beat: Option<(u64, Instant)>,
}

impl RecordSharing {
    pub fn new(fleet: &Arc<FleetState>, is_same_zone: bool) -> Self {
        Self {
            fleet: Arc::clone(fleet),
            is_same_zone,
            place: fleet.books().records.head(),
            news: fleet.watch_news(),
            pulls: fleet.watch_pulls(),
            is_caught_up: false,
            last_beat: None,
        }
    }

    /// The next message that the other side should have. Safe to drop while it waits.
    pub async fn next(&mut self) -> VmMessage {
        loop {
            if let Some(records) = self.take_news() {
                return VmMessage::Records(records);
            }
            // The senders live as long as the books.
            tokio::select! {
                _ = self.news.changed() => {}
                _ = self.pulls.changed() => return VmMessage::Wanted {
                    from: self.fleet.wanted(),
                    is_turned_away: true,
                },
            }
        }
    }

    /// The news since this link's place that is worth passing on, as much as goes into one message.
    fn take_news(&mut self) -> Option<Vec<PassedRecord>> {
        while !self.is_drained() {
            let (mut records, place) = self.fleet.books().records.news_from(self.place);
            self.place = place;
            records.retain(|record| self.is_worth(record));
            if !records.is_empty() {
                return Some(records);
            }
        }
        None
    }

    fn is_drained(&self) -> bool {
        self.place >= self.fleet.books().records.head()
    }

    /// A sign of life, with how this VM's contact with the log stands. In the same zone it says up to where the other
    /// side knows everything, once all news is passed on.
    pub fn beat(&self) -> VmMessage {
        let is_whole = self.is_same_zone && self.is_drained();
        let now = clock::now();
        let proof = self.fleet.books().passed_proof(now);
        VmMessage::Beat {
            contact: self.fleet.log_report(),
            ends: if is_whole {
                self.fleet.tellable_ends()
            } else {
                Vec::new()
            },
            sent: now.0,
            echo: self.last_beat.map(|(sent, came)| BeatEcho {
                sent,
                held_ms: millis(now.since(came)),
            }),
            proof,
        }
    }

    /// The first question over a new link: what was recorded since this VM last read, and before the other side began to
    /// pass its news on here.
    pub fn first_question(&self) -> Option<VmMessage> {
        self.is_same_zone.then(|| VmMessage::Wanted {
            from: self.fleet.wanted(),
            is_turned_away: false,
        })
    }

    /// Within a zone everything is passed on; between zones bytes have a price, so only what is small and urgent.
    fn is_worth(&self, record: &PassedRecord) -> bool {
        self.is_same_zone
            || match record.topic {
                FeedTopic::Targets => self.fleet.is_leaving(&record.key),
                FeedTopic::Operators | FeedTopic::Fleet => record
                    .value
                    .as_ref()
                    .is_none_or(|value| value.len() <= SMALL_RECORD),
            }
    }

    /// The answer to a question for records.
    pub fn answer(&self, message: &VmMessage) -> Option<VmMessage> {
        let VmMessage::Wanted {
            from,
            is_turned_away,
        } = message
        else {
            return None;
        };
        if *is_turned_away {
            self.fleet.note_asked();
        }
        Some(self.fleet.records_since(from))
    }

    /// Takes in what a VM tells of the log; gives other messages back.
    pub fn take(&mut self, vm: &VmName, message: VmMessage) -> Option<VmMessage> {
        match message {
            VmMessage::Records(records) => self.fleet.take_passed(records),
            VmMessage::Answer { records, ends } => {
                self.fleet.take_answer(records, &ends);
                self.is_caught_up = true;
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
                if self.is_caught_up {
                    self.fleet.take_ends(&ends);
                }
            }
            other => return Some(other),
        }
        None
    }
}
