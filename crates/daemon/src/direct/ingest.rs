//! What comes into the books from the log and from other VMs, and what of it is news for others.

use crate::{
    clock,
    direct::{
        fleet::{FleetState, FleetTables},
        folding::{
            FoldedRecord, fold_fleet_record, fold_operator_record, fold_target_record,
            is_newer_by_itself,
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
use hoplanding_platform::{
    names::CONFIG_KEY,
    store::{KeyedRecord, ReadBatch},
};

/// How a record came to this VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordSource {
    /// In a listing of its own.
    Listed,
    /// In a read of its own.
    Read,
    /// From another VM.
    Passed,
    /// From another VM that was asked for it.
    Asked,
}

impl FleetState {
    /// A read or listing of the target list was answered, or failed.
    pub fn note_list_call(&self, is_answered: bool) {
        let now = clock::now();
        let mut tables = self.tables();
        if is_answered {
            tables.contact.record_answer(now);
        } else {
            tables.contact.record_failure(now);
        }
        tables.note_return();
    }

    /// Folds a listing of the newest record of each key.
    pub fn apply_listing(&self, topic: FeedTopic, listing: &ReadBatch) {
        let now = clock::now();
        if self.is_topic_known(topic) && listing.end < self.known_end(topic) {
            // It may hold what was removed since, and whose removal is not kept.
            return;
        }
        self.fold(topic, &listing.records, RecordSource::Listed, now);
        if topic == FeedTopic::Targets {
            let listed = listing.records.iter().map(|record| record.key.as_str());
            let mut tables = self.tables();
            let gone = tables
                .catalog
                .remove_missing(&listed.collect(), listing.end, now);
            self.pass_removals(&mut tables, gone, "not listed any more");
        }
        let span = TopicSpan {
            topic,
            since: listing.end,
            end: listing.end,
        };
        self.note_whole(span, RecordSource::Listed);
        self.note_end(topic, listing.end);
        if topic == FeedTopic::Fleet {
            self.tables().listed_era = Some(listing.end.era());
        }
        self.signal();
    }

    /// Every key of a topic is known, and no record before a position is missing.
    pub(super) fn note_whole(&self, span: TopicSpan, source: RecordSource) {
        let TopicSpan { topic, since, end } = span;
        let whole = {
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
            tables.share_retries();
            tables.known_ends.len()
        };
        self.whole.send_if_modified(|known| {
            let is_more = *known != whole;
            *known = whole;
            is_more
        });
    }

    /// Folds the records of a read that began at `from`, in the order of their positions.
    pub fn apply_records(&self, topic: FeedTopic, from: LogPosition, batch: &ReadBatch) {
        let has_news = self.fold(topic, &batch.records, RecordSource::Read, clock::now());
        self.note_end(topic, batch.end);
        if from <= self.known_end(topic) {
            self.tables().advance(topic, batch.next);
        }
        if has_news {
            self.signal();
        }
    }

    /// The fleet's topic was read up to a position.
    pub(super) fn note_end(&self, topic: FeedTopic, end: LogPosition) {
        if topic == FeedTopic::Fleet {
            let mut tables = self.tables();
            tables.fleet_end = tables.fleet_end.max(Some(end));
        }
    }

    /// Folds records; says whether any of them is news for others.
    pub(super) fn fold(
        &self,
        topic: FeedTopic,
        records: &[KeyedRecord],
        source: RecordSource,
        now: Instant,
    ) -> bool {
        let mut has_news = false;
        let mut tables = self.tables();
        // What a VM takes in before it knows a topic, every VM lists or is told as well.
        let is_own = matches!(source, RecordSource::Listed | RecordSource::Asked);
        let is_first = is_own && !tables.known_ends.contains_key(&topic);
        for record in records {
            let is_newer = tables.records.is_newer(topic, &record.key, record.position);
            // It may be newer by an order of its own than what came behind it.
            if !is_newer && !is_newer_by_itself(&tables, topic, record) {
                continue;
            }
            let folded = match topic {
                FeedTopic::Operators => {
                    let is_written = source == RecordSource::Read && record.key == CONFIG_KEY;
                    if is_written && Some(record.position.era()) == tables.store_era {
                        tables.copy_doubt.record_write(now);
                    }
                    fold_operator_record(&mut tables, record)
                }
                FeedTopic::Targets => fold_target_record(&mut tables, record, source, now),
                FeedTopic::Fleet => fold_fleet_record(&mut tables, record, self.rewrites, now),
            };
            // A removal in doubt is kept, and passed on, when it counts; what is older by an order of its own is not kept at
            // all, so that whoever is told everything is told of the newer one.
            if matches!(folded, FoldedRecord::Doubted | FoldedRecord::Outlived) {
                continue;
            }
            let is_news =
                !is_first && matches!(folded, FoldedRecord::News | FoldedRecord::Unusable);
            // To others, what can't be used is the same as nothing.
            let value = record
                .value
                .as_ref()
                .filter(|_| folded != FoldedRecord::Unusable);
            let key = &record.key;
            tables
                .records
                .insert(topic, key, record.position, value, is_news);
            has_news |= is_news;
        }
        self.announce(&tables);
        has_news
    }

    /// Tells the links how far the news goes.
    pub(super) fn announce(&self, tables: &FleetTables) {
        let head = tables.records.next_sequence() + tables.leaving.head();
        self.news.send_if_modified(|known| {
            let is_more = *known != head;
            *known = head;
            is_more
        });
    }

    /// Keeps removals that count now as news for others.
    fn pass_removals(&self, tables: &mut FleetTables, gone: Vec<ConfirmedRemoval>, why: &str) {
        for (name, position) in gone {
            event!(Event::TargetClosed, "{name} at position {position}, {why}");
            let topic = FeedTopic::Targets;
            tables
                .records
                .insert(topic, name.as_str(), position, None, true);
        }
        self.announce(tables);
    }

    /// Removes targets whose removal is no longer in doubt.
    pub fn expire(&self) {
        let mut tables = self.tables();
        let FleetTables {
            catalog,
            limits,
            leaving,
            rests,
            ..
        } = &mut *tables;
        limits.retain(|run| catalog.get(&run.name).is_some());
        leaving.retain(|run| catalog.get(&run.name).is_some());
        rests.retain(|run| catalog.get(&run.name).is_some());
        let gone = catalog.expire_removals(clock::now());
        if gone.is_empty() {
            return;
        }
        self.pass_removals(&mut tables, gone, "doubt over");
        drop(tables);
        self.signal();
    }
}
