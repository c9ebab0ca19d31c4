//! Eras of the platform's log.
//!
//! The log may come back from a copy that is some seconds old. What was written since is gone, offsets are given out again, and its
//! era rises. Of what this VM knows, that which has an order of its own stays in force: versions, and lives of targets that
//! leave. Everything else is listed anew. VMs tell each other of the era with every position that they pass on.

use crate::{
    clock::{self, MAX_CLOCK_SKEW},
    direct::{
        fleet::{FleetState, FleetTables},
        message::FeedTopic,
    },
    event,
    events::Event,
};
use hoplanding_core::{
    direct::restore_guard::RewriteRule,
    ids::{LogPosition, StoreEra},
};
use serde::{Deserialize, Serialize};
use std::time::Duration;
use tokio::sync::watch;

/// The record of an era of the log, for VMs that start in it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EraRecord {
    /// The era.
    pub era: StoreEra,
    /// When it was first seen: wall-clock time in milliseconds since 1970.
    pub seen_ms: u64,
}

impl EraRecord {
    /// The record of an era that was just seen for the first time.
    #[must_use]
    pub fn of(era: StoreEra) -> Self {
        Self {
            era,
            seen_ms: clock::wall_ms(),
        }
    }

    /// Whether operators have had the time to write again what the copy lacked.
    fn is_settled(&self, rule: RewriteRule) -> bool {
        let age = Duration::from_millis(clock::wall_ms().saturating_sub(self.seen_ms));
        age >= rule.rewrite_time + MAX_CLOCK_SKEW
    }
}

impl FleetTables {
    /// Takes in what the log says of its era. One that names an earlier era came with the copy.
    pub(super) fn apply_era_record(&mut self, record: EraRecord, rule: RewriteRule) {
        self.era_record = Some(record);
        if Some(record.era) == self.store_era && record.is_settled(rule) {
            self.copy_doubt.end();
        }
    }

    /// The record of the present era, if the log has none; eras in which it never came back from a copy need none.
    pub(super) fn missing_era_record(&self) -> Option<EraRecord> {
        let era = self.store_era.filter(|era| !era.is_first())?;
        let is_recorded = self.era_record.is_some_and(|record| record.era == era);
        let is_listed =
            self.known_ends.contains_key(&FeedTopic::Fleet) && self.listed_era == Some(era);
        (is_listed && !is_recorded).then(|| EraRecord::of(era))
    }

    /// Begins to doubt what the log holds, unless this VM knew the newest shortly before.
    fn doubt_copy(&mut self, era: StoreEra, rule: RewriteRule) {
        let now = clock::now();
        let proven = self.proof.age(now);
        self.copy_doubt.enter_era(era, proven, rule, now);
        if let Some(record) = self.era_record {
            self.apply_era_record(record, rule);
        }
    }
}

impl FleetState {
    /// Takes in the era that an answer of the log names; says whether the answer is of the newest history that is known.
    pub fn observe_era(&self, era: StoreEra) -> bool {
        self.learn_era(era);
        let known = self.tables().store_era;
        let is_newest = known <= Some(era);
        if !is_newest {
            event!(Event::StaleHistoryAnswer, "era {era}, known {known:?}");
        }
        is_newest
    }

    /// Takes in the eras of positions that another VM tells of.
    pub fn observe_positions(&self, positions: impl Iterator<Item = LogPosition>) {
        if let Some(position) = positions.max() {
            self.learn_era(position.era());
        }
    }

    /// Whether a position is of the newest history that is known.
    #[must_use]
    pub fn is_current_era(&self, position: LogPosition) -> bool {
        self.tables()
            .store_era
            .is_none_or(|era| position.era() >= era)
    }

    /// The newest era that is known, as it changes.
    #[must_use]
    pub fn watch_eras(&self) -> watch::Receiver<StoreEra> {
        self.eras.subscribe()
    }

    fn learn_era(&self, era: StoreEra) {
        {
            let mut tables = self.tables();
            let Some(known) = tables.store_era else {
                tables.store_era = Some(era);
                if !self.is_first_start {
                    tables.doubt_copy(era, self.rewrites);
                }
                self.eras.send_replace(era);
                return;
            };
            if era <= known {
                return;
            }
            event!(Event::HistoryChanged, "era {era} after {known}");
            tables.store_era = Some(era);
            tables.stored_version = 0;
            tables.doubt_copy(era, self.rewrites);
            for run in tables.catalog.note_log_restored(clock::now()) {
                tables.leaving.push(run);
            }
            self.announce(&tables);
        }
        self.eras.send_replace(era);
        self.signal();
    }
}
