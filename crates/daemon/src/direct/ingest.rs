//! Intake of records from the log and from other VMs.
//!
//! Each record is applied to the fleet's tables by [`folding`](super::folding). Records that change
//! what other VMs do are marked as updates, which the links forward.

use crate::{
    clock,
    direct::{
        fleet::{FleetState, FleetTables},
        folding::{
            FoldOutcome, fold_fleet_record, fold_operator_record, fold_target_record,
            is_newer_by_own_order,
        },
        message::{FeedTopic, TopicSpan},
    },
    event,
    events::Event,
};
use hoplanding_core::{
    direct::catalog::ConfirmedRemoval,
    ids::{Instant, LogPosition},
};
use hoplanding_platform::store::{KeyedRecord, ReadBatch};

/// Way by which a record reached this VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordSource {
    /// From a listing by this VM.
    Listed,
    /// From a read by this VM.
    Read,
    /// Forwarded by another VM.
    Forwarded,
    /// Requested from another VM.
    Requested,
}

impl FleetState {
    /// Records whether a read or listing of the target list was answered.
    pub fn record_list_call(&self, is_answered: bool) {
        let now = clock::now();
        let mut tables = self.tables();
        if is_answered {
            tables.contact.record_answer(now);
        } else {
            tables.contact.record_failure(now);
        }
        tables.record_log_return(self.rewrites);
    }

    /// Applies a listing of the newest record of each key.
    pub fn apply_listing(&self, topic: FeedTopic, listing: &ReadBatch) {
        let now = clock::now();
        if self.is_topic_known(topic) && listing.end < self.known_end(topic) {
            // The listing may hold a key that was removed later, and removals are not stored.
            return;
        }
        self.fold(topic, &listing.records, RecordSource::Listed, now);
        if topic == FeedTopic::Targets {
            let listed = listing.records.iter().map(|record| record.key.as_str());
            let mut tables = self.tables();
            let removed = tables
                .catalog
                .remove_missing(&listed.collect(), listing.end, now);
            self.forward_removals(&mut tables, removed, "no longer listed");
        }
        let span = TopicSpan {
            topic,
            since: listing.end,
            end: listing.end,
        };
        self.record_topic_known(span, RecordSource::Listed);
        self.record_end(topic, listing.end);
        if topic == FeedTopic::Fleet {
            self.tables().listed_era = Some(listing.end.era());
        }
        self.signal();
    }

    /// Records that every key of a topic is known and that no record before the span's end is
    /// missing.
    pub(super) fn record_topic_known(&self, span: TopicSpan, source: RecordSource) {
        let TopicSpan { topic, since, end } = span;
        let known_topics = {
            let mut tables = self.tables();
            if !tables.known_ends.contains_key(&topic) {
                event!(
                    Event::TopicLoaded,
                    "{topic:?} up to position {end}, {} bytes, {source:?}, {:?} after the start",
                    tables.records.size_bytes(topic),
                    self.age()
                );
            }
            if tables
                .known_ends
                .get(&topic)
                .is_none_or(|known| *known < since)
            {
                tables.known_since.insert(topic, since);
            }
            tables.known_ends.entry(topic).or_insert(end);
            tables.advance(topic, end);
            tables.update_budget_shares();
            tables.known_ends.len()
        };
        self.known_topics.send_if_modified(|known| {
            let is_more = *known != known_topics;
            *known = known_topics;
            is_more
        });
    }

    /// Applies the records of a read from `from`, in the order of their positions.
    pub fn apply_records(&self, topic: FeedTopic, from: LogPosition, batch: &ReadBatch) {
        let has_updates = self.fold(topic, &batch.records, RecordSource::Read, clock::now());
        self.record_end(topic, batch.end);
        if from <= self.known_end(topic) {
            self.tables().advance(topic, batch.next);
        }
        if has_updates {
            self.signal();
        }
    }

    /// Records that the fleet topic was read up to a position.
    pub(super) fn record_end(&self, topic: FeedTopic, end: LogPosition) {
        if topic == FeedTopic::Fleet {
            let mut tables = self.tables();
            tables.fleet_end = tables.fleet_end.max(Some(end));
        }
    }

    /// Applies records. Returns whether any of them has to be forwarded.
    pub(super) fn fold(
        &self,
        topic: FeedTopic,
        records: &[KeyedRecord],
        source: RecordSource,
        now: Instant,
    ) -> bool {
        let mut has_updates = false;
        let mut tables = self.tables();
        // Records that a VM obtains before the topic is complete are listed by or sent to every
        // other VM too.
        let is_initial_source = matches!(source, RecordSource::Listed | RecordSource::Requested);
        let is_initial = is_initial_source && !tables.known_ends.contains_key(&topic);
        for record in records {
            let is_newer = tables.records.is_newer(topic, &record.key, record.position);
            // A record behind the known position may still be newer by its own order.
            if !is_newer && !is_newer_by_own_order(&tables, topic, record) {
                continue;
            }
            let outcome = match topic {
                FeedTopic::Operators => fold_operator_record(&mut tables, record),
                FeedTopic::Targets => fold_target_record(&mut tables, record, source, now),
                FeedTopic::Fleet => fold_fleet_record(&mut tables, record, self.rewrites, now),
            };
            // An unconfirmed removal is stored and forwarded once it is confirmed. A record that is
            // outdated by its own order is not stored, so that answers to other VMs contain the
            // newer one.
            if matches!(outcome, FoldOutcome::Unconfirmed | FoldOutcome::Outdated) {
                continue;
            }
            let is_update =
                !is_initial && matches!(outcome, FoldOutcome::Update | FoldOutcome::Unusable);
            // For other VMs an unusable entry equals a removal.
            let value = record
                .value
                .as_ref()
                .filter(|_| outcome != FoldOutcome::Unusable);
            let key = &record.key;
            tables
                .records
                .insert(topic, key, record.position, value, is_update);
            has_updates |= is_update;
        }
        self.announce(&tables);
        has_updates
    }

    /// Wakes the links if there are updates to forward.
    pub(super) fn announce(&self, tables: &FleetTables) {
        let head = tables.records.next_sequence() + tables.leaving.head();
        self.updates.send_if_modified(|known| {
            let is_more = *known != head;
            *known = head;
            is_more
        });
    }

    /// Stores confirmed removals as updates for other VMs.
    fn forward_removals(
        &self,
        tables: &mut FleetTables,
        removed: Vec<ConfirmedRemoval>,
        why: &str,
    ) {
        for (name, position) in removed {
            event!(Event::TargetClosed, "{name} at position {position}, {why}");
            let topic = FeedTopic::Targets;
            tables
                .records
                .insert(topic, name.as_str(), position, None, true);
        }
        self.announce(tables);
    }

    /// Removes targets whose removal is confirmed by now.
    pub fn expire(&self) {
        let mut tables = self.tables();
        let FleetTables {
            catalog,
            limits,
            leaving,
            backoffs,
            ..
        } = &mut *tables;
        limits.retain(|run| catalog.get(&run.name).is_some());
        leaving.retain(|run| catalog.get(&run.name).is_some());
        backoffs.retain(|run| catalog.get(&run.name).is_some());
        let removed = catalog.expire_removals(clock::now());
        if removed.is_empty() {
            return;
        }
        self.forward_removals(&mut tables, removed, "removal confirmed");
        drop(tables);
        self.signal();
    }
}
