//! The targets that may be sent to.
//!
//! Entries come from the platform's list, each with the offset of its record; the newest record of a target wins, in
//! whatever order records arrive. While the list's service is away entries may lapse though their targets live, so a
//! removal seen soon after an outage waits for the entry's return before it counts.

use crate::ids::{AdapterName, AvailabilityZone, Instant, LogOffset, ServiceName, TargetName};
use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

/// Time after an outage's end within which lapsed entries come back.
pub const LAPSE_RETURN: Duration = Duration::from_millis(2_200);

/// Whether a target takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetStage {
    /// It takes new work.
    Ready,
    /// It is about to leave.
    Draining,
}

/// An adapter and its version on a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResidentAdapter {
    /// The adapter.
    pub adapter: AdapterName,
    /// Its version.
    pub version: u64,
}

/// One target as the platform lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetEntry {
    /// Name of this run of the target; a restart has another.
    pub name: TargetName,
    /// Its service.
    pub service: ServiceName,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: AvailabilityZone,
    /// Calls that it works on at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub stage: TargetStage,
    /// Time left until it is gone, where it was told so at short notice.
    pub remaining: Option<Duration>,
    /// Time for which it is still slow from its start.
    pub cold: Duration,
    /// Orders that it has taken.
    pub orders_taken: u64,
    /// Its base models and their versions.
    pub models: Vec<(String, u64)>,
    /// Its adapters.
    pub adapters: Vec<ResidentAdapter>,
}

impl TargetEntry {
    /// Whether calls go to the same place by both entries; what an engine holds is its holder's concern.
    #[must_use]
    pub fn leads_alike(&self, other: &Self) -> bool {
        self.service == other.service
            && self.address == other.address
            && self.zone == other.zone
            && self.slots == other.slots
            && self.stage == other.stage
            && self.models == other.models
    }
}

#[derive(Clone, Debug)]
struct CatalogRow {
    offset: LogOffset,
    entry: Option<Arc<TargetEntry>>,
    /// When a removal counts, if it is in doubt.
    lapses_at: Option<Instant>,
}

/// All known targets.
#[derive(Clone, Debug, Default)]
pub struct TargetCatalog {
    rows: HashMap<TargetName, CatalogRow>,
    outage_ended: Option<Instant>,
    /// Highest offset folded.
    end: LogOffset,
}

impl TargetCatalog {
    /// The list's service is reached again after an outage.
    pub fn outage_ended(&mut self, now: Instant) {
        self.outage_ended = Some(now);
    }

    /// Highest offset folded.
    #[must_use]
    pub fn end(&self) -> LogOffset {
        self.end
    }

    /// Folds one record; none for a removal. Says whether it changes where calls may go.
    pub fn apply(
        &mut self,
        name: &TargetName,
        offset: LogOffset,
        entry: Option<TargetEntry>,
        now: Instant,
    ) -> bool {
        self.end = self.end.max(offset);
        let in_doubt = self
            .outage_ended
            .is_some_and(|ended| now.since(ended) < LAPSE_RETURN);
        let Some(row) = self.rows.get_mut(name) else {
            let is_known = entry.is_some();
            let row = CatalogRow {
                offset,
                entry: entry.map(Arc::new),
                lapses_at: None,
            };
            self.rows.insert(name.clone(), row);
            return is_known;
        };
        if row.offset >= offset && row.offset.0 > 0 {
            return false;
        }
        row.offset = offset;
        match entry {
            Some(entry) => {
                let is_news = row
                    .entry
                    .as_ref()
                    .is_none_or(|known| !known.leads_alike(&entry));
                row.entry = Some(Arc::new(entry));
                row.lapses_at = None;
                is_news
            }
            None if in_doubt && row.entry.is_some() => {
                row.lapses_at = Some(now.after(LAPSE_RETURN));
                false
            }
            None => {
                row.lapses_at = None;
                row.entry.take().is_some()
            }
        }
    }

    /// Removes what a whole listing taken at `end` lacks. A listing older than what is known counts for nothing.
    pub fn remove_unlisted(&mut self, listed: &HashSet<&str>, end: LogOffset, now: Instant) {
        if end < self.end {
            return;
        }
        let missing: Vec<_> = self
            .rows
            .iter()
            .filter(|(name, row)| row.entry.is_some() && !listed.contains(name.as_str()))
            .map(|(name, _)| name.clone())
            .collect();
        for name in missing {
            self.apply(&name, end, None, now);
        }
    }

    /// Removes what was in doubt and did not come back; says whether anything changed.
    pub fn expire(&mut self, now: Instant) -> bool {
        let mut changed = false;
        for row in self.rows.values_mut() {
            if row.lapses_at.is_some_and(|at| now >= at) {
                row.lapses_at = None;
                row.entry = None;
                changed = true;
            }
        }
        changed
    }

    /// Whether the removal of a target's entry is in doubt.
    #[must_use]
    pub fn is_doubted(&self, name: &TargetName) -> bool {
        self.rows
            .get(name)
            .is_some_and(|row| row.lapses_at.is_some())
    }

    /// Targets whose removal is in doubt.
    #[must_use]
    pub fn doubted(&self) -> usize {
        let rows = self.rows.values();
        rows.filter(|row| row.lapses_at.is_some()).count()
    }

    /// A target by name.
    #[must_use]
    pub fn get(&self, name: &TargetName) -> Option<&Arc<TargetEntry>> {
        self.rows.get(name)?.entry.as_ref()
    }

    /// Every listed target.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<TargetEntry>> {
        self.rows.values().filter_map(|row| row.entry.as_ref())
    }

    /// Targets of a service that take new work.
    pub fn ready<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = &'a Arc<TargetEntry>> {
        self.iter()
            .filter(move |entry| entry.service == *service && entry.stage == TargetStage::Ready)
    }
}
