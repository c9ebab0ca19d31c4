//! Eras of the platform's log.
//!
//! The log may come back from a copy that is some seconds old. What was written since is gone, offsets are given out again, and its
//! era rises. Of what this VM knows, that which has an order of its own stays in force: versions, and lives of targets that
//! leave. Everything else is listed anew. VMs tell each other of the era with every position that they pass on.

use crate::{clock, direct::fleet::FleetState, event, events::Event};
use hoplanding_core::ids::{LogPosition, StoreEra};
use tokio::sync::watch;

impl FleetState {
    /// Takes in the era that an answer of the log names; says whether the answer is of the newest history that is known.
    pub fn meet_era(&self, era: StoreEra) -> bool {
        self.learn_era(era);
        let known = self.books().store_era;
        let is_newest = known <= Some(era);
        if !is_newest {
            event!(Event::HistoryOver, "era {era}, known {known:?}");
        }
        is_newest
    }

    /// Takes in the eras of positions that another VM tells of.
    pub fn learn_eras(&self, positions: impl Iterator<Item = LogPosition>) {
        if let Some(position) = positions.max() {
            self.learn_era(position.era());
        }
    }

    /// Whether a position is of the newest history that is known.
    #[must_use]
    pub fn is_current(&self, position: LogPosition) -> bool {
        self.books()
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
            let mut books = self.books();
            let Some(known) = books.store_era else {
                books.store_era = Some(era);
                self.eras.send_replace(era);
                return;
            };
            if era <= known {
                return;
            }
            event!(Event::HistoryChanged, "era {era} after {known}");
            books.store_era = Some(era);
            books.stored_version = 0;
            for run in books.catalog.log_restored(clock::now()) {
                books.leaving.push(run);
            }
            self.announce(&books);
        }
        self.eras.send_replace(era);
        self.signal();
    }
}
