//! Catalog of the targets that may be sent to.
//!
//! Entries come from the platform's list in the log, each with the position of its record. The newest record of a
//! target wins, in whatever order records arrive. A target may restart under its name: an entry of an older life
//! changes nothing, whatever its position, and an entry of a newer life always applies.
//!
//! A target that announces in an answer that it is leaving stays draining for the rest of that life, whatever its entry
//! says, because its answers are the only source while the log is unreachable.
//!
//! Entries may expire while the log is unreachable although their targets are alive. A removal that this VM reads
//! within [`RELIST_GRACE`] after the log's recovery is therefore pending until then, and is dropped if the entry comes
//! back. A removal that another VM forwards applies at once, since that VM has read it and has waited where necessary.

use crate::ids::{
    AdapterName, AvailabilityZone, Instant, LogPosition, ServiceName, SoftwareVersion, TargetLife,
    TargetName, TargetRun,
};
use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

/// Time after the log's recovery within which expired entries of live targets are listed again. Platforms need up to 2 s.
pub const RELIST_GRACE: Duration = Duration::from_millis(2_200);

/// Whether a target accepts new calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetStage {
    /// Accepts new calls.
    Ready,
    /// Accepts no new calls, as it is about to leave.
    Draining,
}

/// An adapter version on a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResidentAdapter {
    /// Name of the adapter.
    pub adapter: AdapterName,
    /// Its version.
    pub version: u64,
}

/// A target as the platform lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetEntry {
    /// Name of the target.
    pub name: TargetName,
    /// Life of the target, which changes with each restart.
    pub life: TargetLife,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Address for calls.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: AvailabilityZone,
    /// Version of its software.
    pub software: SoftwareVersion,
    /// Calls that it processes concurrently.
    pub slots: u32,
    /// Whether it accepts new calls.
    pub stage: TargetStage,
    /// Time until it is gone, if its shutdown was announced at short notice.
    pub remaining: Option<Duration>,
    /// Time for which it is still slow after its start.
    pub warmup_remaining: Duration,
    /// Counter in its entry. It counts orders in the report of an engine, but in the entry it may increase with each
    /// write, so it must not be used to count orders.
    pub orders_taken: u64,
    /// Its base models with their versions.
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

    /// Whether the entry shows a base model, or an adapter in at least this version.
    #[must_use]
    pub fn lists(&self, subject: &AdapterName, version: Option<u64>) -> bool {
        if !subject.as_str().contains('/') {
            let mut models = self.models.iter();
            return models.any(|(model, _)| model == subject.as_str());
        }
        self.adapters.iter().any(|resident| {
            resident.adapter == *subject
                && version.is_none_or(|version| resident.version >= version)
        })
    }

    /// Whether calls are routed alike by both entries. The adapters of an engine only concern its holder.
    #[must_use]
    pub fn routes_like(&self, other: &Self) -> bool {
        self.service == other.service
            && self.life == other.life
            && self.address == other.address
            && self.zone == other.zone
            && self.slots == other.slots
            && self.software == other.software
            && self.stage == other.stage
            && self.models == other.models
    }
}

#[derive(Clone, Debug)]
struct CatalogRow {
    position: LogPosition,
    /// Newest life of any entry.
    life: TargetLife,
    /// Life in which the target announced that it is leaving.
    leaving_life: Option<TargetLife>,
    entry: Option<Arc<TargetEntry>>,
    /// Time at which a pending removal applies.
    removal_due_at: Option<Instant>,
}

impl CatalogRow {
    /// A target without a known entry.
    fn without_entry(position: LogPosition) -> Self {
        Self {
            position,
            life: TargetLife::default(),
            leaving_life: None,
            entry: None,
            removal_due_at: None,
        }
    }

    /// Sets the entry, as draining if the target announced in this life that it is leaving.
    fn set_entry(&mut self, mut entry: TargetEntry) {
        if self.leaving_life == Some(entry.life) {
            entry.stage = TargetStage::Draining;
        }
        self.life = entry.life;
        self.entry = Some(Arc::new(entry));
        self.removal_due_at = None;
    }

    /// Removes the entry, at once or at the end of the grace period; returns whether it is gone now.
    fn remove(&mut self, grace_end: Option<Instant>) -> bool {
        if let Some(due_at) = grace_end.filter(|_| self.entry.is_some()) {
            self.removal_due_at = Some(
                self.removal_due_at
                    .map_or(due_at, |previous| previous.min(due_at)),
            );
            return false;
        }
        self.removal_due_at = None;
        self.entry.take().is_some()
    }
}

/// All known targets.
#[derive(Clone, Debug, Default)]
pub struct TargetCatalog {
    rows: HashMap<TargetName, CatalogRow>,
    /// When the log recovered from its last outage.
    recovered_at: Option<Instant>,
    /// When the log was first seen restored from a copy, which may lack entries of live targets.
    restored_at: Option<Instant>,
}

/// A target whose removal applies, and the position of its record.
pub type ConfirmedRemoval = (TargetName, LogPosition);

impl TargetCatalog {
    /// Records when the log recovered from its last outage; `None` if there was none. Pending removals become due
    /// earlier if the recovery was earlier than assumed, but never later: a log that fails repeatedly would otherwise
    /// keep a target that is gone.
    pub fn record_log_recovered(&mut self, recovered_at: Option<Instant>) {
        if self.recovered_at == recovered_at {
            return;
        }
        self.recovered_at = recovered_at;
        let grace_start = recovered_at.max(self.restored_at);
        let grace_end = grace_start.map_or(Instant(0), |at| at.after(RELIST_GRACE));
        for row in self.rows.values_mut() {
            row.removal_due_at = row.removal_due_at.map(|at| at.min(grace_end));
        }
    }

    /// Records that the log was restored from a copy, in which a target that is leaving may be listed as ready. Returns
    /// the targets that are leaving.
    pub fn record_log_restored(&mut self, now: Instant) -> Vec<TargetRun> {
        self.restored_at = Some(now);
        let mut runs = Vec::new();
        for row in self.rows.values_mut() {
            let draining = row
                .entry
                .as_ref()
                .filter(|entry| entry.stage == TargetStage::Draining);
            if let Some(entry) = draining {
                row.leaving_life = Some(entry.life);
                runs.push(entry.run());
            }
        }
        runs
    }

    /// Applies a record that this VM read; `entry` is `None` for a removal. Returns whether routing changes.
    pub fn apply(
        &mut self,
        name: &TargetName,
        position: LogPosition,
        entry: Option<TargetEntry>,
        now: Instant,
    ) -> bool {
        let grace_end = self.grace_end(now);
        let Some(row) = self.rows.get_mut(name) else {
            let is_known = entry.is_some();
            let mut row = CatalogRow::without_entry(position);
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
                // A removal that is pending here may have been applied by other VMs, for which the entry's return is
                // a change.
                let is_change = row.removal_due_at.is_some()
                    || row
                        .entry
                        .as_ref()
                        .is_none_or(|previous| !previous.routes_like(&entry));
                row.set_entry(entry);
                is_change
            }
            None => row.remove(grace_end),
        }
    }

    /// Records that a target announced that it is leaving; returns whether that was unknown.
    pub fn record_leaving(&mut self, run: &TargetRun) -> bool {
        let row = self
            .rows
            .entry(run.name.clone())
            .or_insert_with(|| CatalogRow::without_entry(LogPosition(0)));
        if row.leaving_life.is_some_and(|life| life >= run.life) {
            return false;
        }
        row.leaving_life = Some(run.life);
        if let Some(entry) = row.entry.take() {
            let removal_due_at = row.removal_due_at;
            row.set_entry(Arc::unwrap_or_clone(entry));
            row.removal_due_at = removal_due_at;
        }
        true
    }

    /// Newest life of any entry of a target.
    #[must_use]
    pub fn life(&self, name: &TargetName) -> TargetLife {
        self.rows.get(name).map(|row| row.life).unwrap_or_default()
    }

    /// End of the grace period for a removal that is read at `now`, if there is one.
    fn grace_end(&self, now: Instant) -> Option<Instant> {
        let ends = self.recovered_at.max(self.restored_at)?.after(RELIST_GRACE);
        (now < ends).then_some(ends)
    }

    /// Applies a removal that is not pending; returns whether routing changes.
    pub fn confirm_removal(&mut self, name: &TargetName, position: LogPosition) -> bool {
        let row = self
            .rows
            .entry(name.clone())
            .or_insert_with(|| CatalogRow::without_entry(position));
        if row.position > position {
            return false;
        }
        row.position = position;
        row.remove(None)
    }

    /// Removes the targets that a full listing taken at `end` lacks, unless a later record of them is known. Returns
    /// the removals that apply at once.
    pub fn remove_missing(
        &mut self,
        listed: &HashSet<&str>,
        end: LogPosition,
        now: Instant,
    ) -> Vec<ConfirmedRemoval> {
        let grace_end = self.grace_end(now);
        // The record at `end` itself follows the listing.
        let last = LogPosition(end.0.saturating_sub(1));
        let missing = self.rows.iter_mut().filter(|(name, row)| {
            row.entry.is_some() && row.position < end && !listed.contains(name.as_str())
        });
        let mut confirmed = Vec::new();
        for (name, row) in missing {
            row.position = last;
            if row.remove(grace_end) {
                confirmed.push((name.clone(), last));
            }
        }
        confirmed
    }

    /// Applies the pending removals that are due and returns them.
    pub fn expire_removals(&mut self, now: Instant) -> Vec<ConfirmedRemoval> {
        let mut confirmed = Vec::new();
        for (name, row) in &mut self.rows {
            if row.removal_due_at.is_some_and(|at| now >= at) {
                row.removal_due_at = None;
                row.entry = None;
                confirmed.push((name.clone(), row.position));
            }
        }
        confirmed
    }

    /// Lowest position of a pending removal.
    #[must_use]
    pub fn first_unconfirmed(&self) -> Option<LogPosition> {
        let rows = self.rows.values();
        rows.filter(|row| row.removal_due_at.is_some())
            .map(|row| row.position)
            .min()
    }

    /// Whether the removal of a target is pending.
    #[must_use]
    pub fn is_removal_pending(&self, name: &TargetName) -> bool {
        self.rows
            .get(name)
            .is_some_and(|row| row.removal_due_at.is_some())
    }

    /// Number of targets whose removal is pending.
    #[must_use]
    pub fn pending_removals(&self) -> usize {
        let rows = self.rows.values();
        rows.filter(|row| row.removal_due_at.is_some()).count()
    }

    /// Entry of a target by name.
    #[must_use]
    pub fn get(&self, name: &TargetName) -> Option<&Arc<TargetEntry>> {
        self.rows.get(name)?.entry.as_ref()
    }

    /// Entries of all targets.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<TargetEntry>> {
        self.rows.values().filter_map(|row| row.entry.as_ref())
    }

    /// Targets of a service that accept new calls.
    pub fn ready<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = &'a Arc<TargetEntry>> {
        self.iter()
            .filter(move |entry| entry.service == *service && entry.stage == TargetStage::Ready)
    }
}
