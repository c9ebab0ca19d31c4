//! The targets that may be sent to.
//!
//! Entries come from the platform's list, each with the position of its record; the newest record of a target wins, in
//! whatever order records arrive. A target may start again under its name: an entry of an older life changes nothing,
//! whatever its position, and one of a newer life counts whatever came before.
//!
//! A target that says in an answer that it leaves does so for the rest of that life, whatever its entry says: while the log is
//! away its answers are the only word of it.
//!
//! While the log is away entries may lapse though their targets live, so a removal that
//! this VM reads soon after the log's return waits for the entry's own return before it counts. A removal that another VM
//! passes on counts at once: that VM has read it, and waited where it had to.

use crate::ids::{
    AdapterName, AvailabilityZone, Instant, LogPosition, ServiceName, TargetLife, TargetName,
    TargetRun,
};
use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

/// Time after the log's return within which lapsed entries come back; the users name two seconds.
pub const RELIST_GRACE: Duration = Duration::from_millis(2_200);

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
    /// Its name.
    pub name: TargetName,
    /// Which of its lives this is.
    pub life: TargetLife,
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
    pub warmup_remaining: Duration,
    /// The count in its entry. An engine's report counts orders under the same name; on the users' platform the entry's moves with each
    /// write, so it says nothing of orders.
    pub orders_taken: u64,
    /// Its base models and their versions.
    pub models: Vec<(String, u64)>,
    /// Its adapters.
    pub adapters: Vec<ResidentAdapter>,
}

impl TargetEntry {
    /// The target in this life.
    #[must_use]
    pub fn run(&self) -> TargetRun {
        TargetRun {
            name: self.name.clone(),
            life: self.life,
        }
    }

    /// Whether calls go to the same place by both entries; what an engine holds is its holder's concern.
    #[must_use]
    pub fn routes_like(&self, other: &Self) -> bool {
        self.service == other.service
            && self.life == other.life
            && self.address == other.address
            && self.zone == other.zone
            && self.slots == other.slots
            && self.stage == other.stage
            && self.models == other.models
    }
}

#[derive(Clone, Debug)]
struct CatalogRow {
    position: LogPosition,
    /// The newest life that an entry told of.
    life: TargetLife,
    /// The life in which the target said that it leaves.
    leaving: Option<TargetLife>,
    entry: Option<Arc<TargetEntry>>,
    /// When a removal counts, if it is in doubt.
    lapses_at: Option<Instant>,
}

impl CatalogRow {
    /// A target of which no entry is known.
    fn unlisted(position: LogPosition) -> Self {
        Self {
            position,
            life: TargetLife::default(),
            leaving: None,
            entry: None,
            lapses_at: None,
        }
    }

    /// Takes an entry over, of a target that may have said that it leaves.
    fn set_entry(&mut self, mut entry: TargetEntry) {
        if self.leaving == Some(entry.life) {
            entry.stage = TargetStage::Draining;
        }
        self.life = entry.life;
        self.entry = Some(Arc::new(entry));
        self.lapses_at = None;
    }

    /// Takes the entry away, at once or when the doubt ends; says whether it is gone now.
    fn remove(&mut self, doubt_ends: Option<Instant>) -> bool {
        if let Some(ends) = doubt_ends.filter(|_| self.entry.is_some()) {
            self.lapses_at = Some(self.lapses_at.map_or(ends, |known| known.min(ends)));
            return false;
        }
        self.lapses_at = None;
        self.entry.take().is_some()
    }
}

/// All known targets.
#[derive(Clone, Debug, Default)]
pub struct TargetCatalog {
    rows: HashMap<TargetName, CatalogRow>,
    /// When the log came back from its last outage.
    returned: Option<Instant>,
    /// When the log was first seen to have come back from a copy, which may lack entries of targets that live.
    restored: Option<Instant>,
}

/// A removal that counts, and the position of its record.
pub type ConfirmedRemoval = (TargetName, LogPosition);

impl TargetCatalog {
    /// The log came back from its last outage then; none if there was no outage. Doubts end sooner if that is earlier
    /// than was thought, and never later: a log that goes and comes again would keep a target that is gone for good.
    pub fn note_log_recovered(&mut self, returned: Option<Instant>) {
        if self.returned == returned {
            return;
        }
        self.returned = returned;
        let ends = returned.max(self.restored);
        let ends = ends.map_or(Instant(0), |at| at.after(RELIST_GRACE));
        for row in self.rows.values_mut() {
            row.lapses_at = row.lapses_at.map(|at| at.min(ends));
        }
    }

    /// The log has come back from a copy, which may say that a target is ready though it leaves since; gives those that leave.
    pub fn note_log_restored(&mut self, now: Instant) -> Vec<TargetRun> {
        self.restored = Some(now);
        let mut runs = Vec::new();
        for row in self.rows.values_mut() {
            let leaving = row
                .entry
                .as_ref()
                .filter(|entry| entry.stage == TargetStage::Draining);
            if let Some(entry) = leaving {
                row.leaving = Some(entry.life);
                runs.push(entry.run());
            }
        }
        runs
    }

    /// Folds one record that this VM read; none for a removal. Says whether it changes where calls may go.
    pub fn apply(
        &mut self,
        name: &TargetName,
        position: LogPosition,
        entry: Option<TargetEntry>,
        now: Instant,
    ) -> bool {
        let doubt_ends = self.doubt_ends(now);
        let Some(row) = self.rows.get_mut(name) else {
            let is_known = entry.is_some();
            let mut row = CatalogRow::unlisted(position);
            if let Some(entry) = entry {
                row.set_entry(entry);
            }
            self.rows.insert(name.clone(), row);
            return is_known;
        };
        let is_newer_life = entry.as_ref().is_some_and(|entry| entry.life > row.life);
        let is_known = row.position >= position && row.position.0 > 0;
        if is_known && !is_newer_life {
            return false;
        }
        if entry.as_ref().is_some_and(|entry| entry.life < row.life) {
            return false;
        }
        row.position = position;
        match entry {
            Some(entry) => {
                // Others may have counted a removal that is in doubt here: that the entry is back is news to them.
                let is_news = row.lapses_at.is_some()
                    || row
                        .entry
                        .as_ref()
                        .is_none_or(|known| !known.routes_like(&entry));
                row.set_entry(entry);
                is_news
            }
            None => row.remove(doubt_ends),
        }
    }

    /// Folds that a target said that it leaves; says whether that is news.
    pub fn note_leaving(&mut self, run: &TargetRun) -> bool {
        let row = self
            .rows
            .entry(run.name.clone())
            .or_insert_with(|| CatalogRow::unlisted(LogPosition(0)));
        if row.leaving.is_some_and(|life| life >= run.life) {
            return false;
        }
        row.leaving = Some(run.life);
        if let Some(entry) = row.entry.take() {
            let lapses_at = row.lapses_at;
            row.set_entry(Arc::unwrap_or_clone(entry));
            row.lapses_at = lapses_at;
        }
        true
    }

    /// The newest life that a target's entries told of.
    #[must_use]
    pub fn life(&self, name: &TargetName) -> TargetLife {
        self.rows.get(name).map(|row| row.life).unwrap_or_default()
    }

    /// Until when a removal that is read now is in doubt.
    fn doubt_ends(&self, now: Instant) -> Option<Instant> {
        let ends = self.returned.max(self.restored)?.after(RELIST_GRACE);
        (now < ends).then_some(ends)
    }

    /// Folds a removal that is beyond doubt; says whether it changes where calls may go.
    pub fn confirm_removal(&mut self, name: &TargetName, position: LogPosition) -> bool {
        let row = self
            .rows
            .entry(name.clone())
            .or_insert_with(|| CatalogRow::unlisted(position));
        if row.position > position {
            return false;
        }
        row.position = position;
        row.remove(None)
    }

    /// Removes what a whole listing taken at `end` lacks, unless it is known by a later record; gives the removals that
    /// count at once.
    pub fn remove_missing(
        &mut self,
        listed: &HashSet<&str>,
        end: LogPosition,
        now: Instant,
    ) -> Vec<ConfirmedRemoval> {
        let doubt_ends = self.doubt_ends(now);
        // A record at `end` itself comes after the listing.
        let last = LogPosition(end.0.saturating_sub(1));
        let missing = self.rows.iter_mut().filter(|(name, row)| {
            row.entry.is_some() && row.position < end && !listed.contains(name.as_str())
        });
        let mut counted = Vec::new();
        for (name, row) in missing {
            row.position = last;
            if row.remove(doubt_ends) {
                counted.push((name.clone(), last));
            }
        }
        counted
    }

    /// Removes what was in doubt and did not come back; gives the removals.
    pub fn expire_removals(&mut self, now: Instant) -> Vec<ConfirmedRemoval> {
        let mut counted = Vec::new();
        for (name, row) in &mut self.rows {
            if row.lapses_at.is_some_and(|at| now >= at) {
                row.lapses_at = None;
                row.entry = None;
                counted.push((name.clone(), row.position));
            }
        }
        counted
    }

    /// Lowest position of a removal in doubt.
    #[must_use]
    pub fn first_unconfirmed(&self) -> Option<LogPosition> {
        let rows = self.rows.values();
        rows.filter(|row| row.lapses_at.is_some())
            .map(|row| row.position)
            .min()
    }

    /// Whether the removal of a target's entry is in doubt.
    #[must_use]
    pub fn is_removal_pending(&self, name: &TargetName) -> bool {
        self.rows
            .get(name)
            .is_some_and(|row| row.lapses_at.is_some())
    }

    /// Targets whose removal is in doubt.
    #[must_use]
    pub fn pending_removals(&self) -> usize {
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
