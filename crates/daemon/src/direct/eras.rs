//! Eras (epochs) of the platform's log.
//!
//! The log may be restored from a copy that is some seconds old. Records written after the copy are lost, offsets are
//! reused, and the era number increases. State that has an order independent of the log stays in force on this VM:
//! versions, and the lives of targets that are leaving. Everything else is listed again. Every log position contains
//! its era, so VMs learn of a new era from the positions that they send to each other.

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

/// Record of when an era was first seen, for VMs that start during that era.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EraRecord {
    /// The era.
    pub era: StoreEra,
    /// When the era was first seen: wall-clock time in milliseconds since 1970.
    pub seen_ms: u64,
}

impl EraRecord {
    /// Creates the record of an era that is seen for the first time now.
    #[must_use]
    pub fn of(era: StoreEra) -> Self {
        Self {
            era,
            seen_ms: clock::wall_ms(),
        }
    }

    /// Time since operators have had enough time to write the records again that the restored copy lacked. A time of day
    /// of zero means that it was not known.
    fn settled_for(&self, rule: RewriteRule) -> Option<Duration> {
        if self.seen_ms == 0 {
            return None;
        }
        let age = Duration::from_millis(clock::wall_ms().saturating_sub(self.seen_ms));
        age.checked_sub(rule.rewrite_time + MAX_CLOCK_SKEW)
    }
}

impl FleetTables {
    /// Applies the log's era record. A record of an earlier era was restored with the copy and is ignored by the
    /// restore guard. So is any record on a VM that saw an earlier era: its own clock is more reliable than the time of
    /// day of another VM.
    pub(super) fn apply_era_record(&mut self, record: EraRecord, rule: RewriteRule) {
        self.era_record = Some(record);
        if self.has_seen_earlier_era {
            return;
        }
        if let Some(settled_for) = record.settled_for(rule)
            && Some(record.era) == self.store_era
        {
            self.restore_guard.end(clock::now().before(settled_for));
        }
    }

    /// The record of the current era, if the log lacks it. The first era needs none, as the log was never restored in
    /// it.
    pub(super) fn missing_era_record(&self) -> Option<EraRecord> {
        let era = self.store_era.filter(|era| !era.is_first())?;
        let is_recorded = self.era_record.is_some_and(|record| record.era == era);
        let is_listed =
            self.known_ends.contains_key(&FeedTopic::Fleet) && self.listed_era == Some(era);
        (is_listed && !is_recorded).then(|| EraRecord::of(era))
    }

    /// Treats the restored log as possibly incomplete.
    fn guard_restored_log(&mut self, era: StoreEra, rule: RewriteRule) {
        self.restore_guard.enter_era(era, rule, clock::now());
        if let Some(record) = self.era_record {
            self.apply_era_record(record, rule);
        }
    }
}

impl FleetState {
    /// Learns the era of a response of the log; returns whether it is the newest known era.
    pub fn observe_era(&self, era: StoreEra) -> bool {
        self.advance_era(era);
        let known = self.tables().store_era;
        let is_newest = known <= Some(era);
        if !is_newest {
            event!(
                Event::StaleHistoryAnswer,
                "era {era}, newest known {known:?}"
            );
        }
        is_newest
    }

    /// Learns the newest era of positions received from another VM.
    pub fn observe_positions(&self, positions: impl Iterator<Item = LogPosition>) {
        if let Some(position) = positions.max() {
            self.advance_era(position.era());
        }
    }

    /// Whether a position is of the newest known era.
    #[must_use]
    pub fn is_current_era(&self, position: LogPosition) -> bool {
        self.tables()
            .store_era
            .is_none_or(|era| position.era() >= era)
    }

    /// A receiver of the newest known era.
    #[must_use]
    pub fn watch_eras(&self) -> watch::Receiver<StoreEra> {
        self.eras.subscribe()
    }

    fn advance_era(&self, era: StoreEra) {
        {
            let mut tables = self.tables();
            let Some(known) = tables.store_era else {
                tables.store_era = Some(era);
                tables.guard_restored_log(era, self.rewrites);
                self.eras.send_replace(era);
                return;
            };
            if era <= known {
                return;
            }
            tables.store_era = Some(era);
            tables.stored_version = 0;
            tables.has_seen_earlier_era = true;
            tables.guard_restored_log(era, self.rewrites);
            let now = clock::now();
            event!(
                Event::HistoryChanged,
                "era {era} after {known}, age of the last proof {:?}, reads prove nothing for {:?}",
                tables.proof.age(now),
                tables.restore_guard.remaining(now).unwrap_or_default()
            );
            for run in tables.catalog.record_log_restored(clock::now()) {
                tables.leaving.push(run);
            }
            self.announce(&tables);
        }
        self.eras.send_replace(era);
        self.signal();
    }
}
