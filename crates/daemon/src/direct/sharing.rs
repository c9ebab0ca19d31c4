//! What one link passes on of the platform's log.

use crate::{
    direct::{
        fleet::FleetState,
        message::{FeedTopic, PassedRecord, VmMessage},
    },
    event,
    events::Event,
};
use std::{future::pending, sync::Arc};
use tokio::sync::{broadcast, watch};

/// Bytes of a record that is passed on to other zones unasked.
const SMALL_RECORD: usize = 1024;

/// What one link passes on of the platform's log.
pub struct RecordSharing {
    fleet: Arc<FleetState>,
    is_same_zone: bool,
    news: broadcast::Receiver<Arc<PassedRecord>>,
    pulls: watch::Receiver<u64>,
}

impl RecordSharing {
    pub fn new(fleet: &Arc<FleetState>, is_same_zone: bool) -> Self {
        Self {
            fleet: Arc::clone(fleet),
            is_same_zone,
            news: fleet.watch_news(),
            pulls: fleet.watch_pulls(),
        }
    }

    /// The next message that the other side should have. Safe to drop while it waits.
    pub async fn next(&mut self) -> VmMessage {
        loop {
            tokio::select! {
                news = self.news.recv() => match news {
                    Ok(record) if self.is_worth(&record) => {
                        return VmMessage::Records(vec![PassedRecord::clone(&record)]);
                    }
                    Ok(_) => {}
                    // What a lagging link misses is asked for when it is needed.
                    Err(broadcast::error::RecvError::Lagged(missed)) => {
                        event!(Event::RecordsMissed, "{missed} of them");
                    }
                    // The books live as long as the process.
                    Err(broadcast::error::RecvError::Closed) => pending::<()>().await,
                },
                _ = self.pulls.changed() => return VmMessage::Wanted(self.fleet.wanted()),
            }
        }
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
        let VmMessage::Wanted(wanted) = message else {
            return None;
        };
        Some(VmMessage::Answer {
            records: self.fleet.records_since(wanted),
            whole: self.fleet.whole_topics(),
        })
    }

    /// Takes records in; gives other messages back.
    pub fn take(&self, message: VmMessage) -> Option<VmMessage> {
        match message {
            VmMessage::Records(records) => self.fleet.take_passed(records),
            VmMessage::Answer { records, whole } => self.fleet.take_answer(records, &whole),
            other => return Some(other),
        }
        None
    }
}
