//! Application of log records and snapshots, and writing of snapshots.
//!
//! Records are folded into the state in order of their offsets, each at most once. If records expired before they were
//! read, nothing is folded until a snapshot from the log or from a peer closes the gap.

use crate::{app::AppState, event, events::Event, peers::PeerMessage, platform::LogBatch};
use hoplanding_core::{
    config::{AuditOutcome, ChangeOutcome},
    ids::{ChangeId, Instant, LogOffset},
    log::{FoldEffect, FoldedState, LogRecord, SnapshotAssembler},
    ownership::OwnershipEffect,
};
use std::time::Duration;

/// Delay of a due snapshot for each live daemon with a lower name, and minimum interval between own snapshots.
const SNAPSHOT_STAGGER: Duration = Duration::from_secs(5);
/// Records in a full batch; a batch with fewer reached the end of the log.
const FULL_BATCH_RECORDS: usize = 1000;

/// Reading position and reachability of the log, beside its folded state.
#[derive(Debug, Default)]
pub struct LogFeed {
    /// Whether the last read succeeded.
    pub(super) is_reachable: bool,
    /// Whether the end of the log was reached once, or a peer's snapshot was adopted while the log was unreachable.
    pub(super) is_caught_up: bool,
    /// Earliest offset that the log still has.
    pub(super) earliest: LogOffset,
    /// Time of the last read, which bounds the age of the configuration.
    pub(super) read_at: Option<Instant>,
    assembler: SnapshotAssembler,
    snapshot_due_since: Option<Instant>,
    has_logged_ready: bool,
}

impl AppState {
    /// Whether records that were not applied have expired from the log.
    pub(super) fn has_gap(&self) -> bool {
        self.folded.applied.0 + 1 < self.feed.earliest.0
    }

    /// Whether this daemon may serve requests.
    pub(super) fn is_ready(&self) -> bool {
        self.feed.is_caught_up && !self.has_gap() && self.stopping.is_none()
    }

    pub(super) fn log_read(&mut self, batch: LogBatch, now: Instant) {
        if !self.feed.is_reachable {
            self.feed.is_reachable = true;
            event!(Event::LogReachable, "at offset {}", self.folded.applied);
        }
        self.feed.read_at = Some(now);
        let count = batch.records.len();
        // A batch requested before a snapshot was adopted may begin before the snapshot's offset, or leave a gap after
        // it.
        let had_gap = self.has_gap();
        if !had_gap && batch.from.0 > self.folded.applied.0 + 1 {
            return;
        }
        for (offset, record) in batch.records {
            self.apply_record(offset, record.as_ref(), now);
            if had_gap && !self.has_gap() {
                // The snapshot ends before this batch does, so the records after the snapshot are read again.
                return;
            }
        }
        if count < FULL_BATCH_RECORDS && !self.has_gap() {
            self.feed.is_caught_up = true;
        }
        self.log_readiness();
        self.reconcile_holders(now);
    }

    pub(super) fn log_readiness(&mut self) {
        if self.is_ready() && !self.feed.has_logged_ready {
            self.feed.has_logged_ready = true;
            event!(
                Event::Ready,
                "offset {}, {} adapters",
                self.folded.applied,
                self.config().adapters.len()
            );
        }
    }

    fn apply_record(&mut self, offset: LogOffset, record: Option<&LogRecord>, now: Instant) {
        if self.has_gap() {
            if let Some(LogRecord::Snapshot(part)) = record
                && let Some(state) = self.feed.assembler.add(part)
            {
                self.adopt_snapshot(state, "the log");
            }
            return;
        }
        if offset <= self.folded.applied {
            return;
        }
        let Some(record) = record else {
            event!(Event::RecordSkipped, "offset {offset}");
            self.folded.skip(offset);
            return;
        };
        match self.folded.apply(offset, record) {
            FoldEffect::Change(id, outcome) => self.change_folded(&id, outcome),
            FoldEffect::Ownership(effect) => self.ownership_folded(effect, now),
            FoldEffect::Keys => self.resolve_claims(),
            FoldEffect::Snapshot | FoldEffect::None => {}
        }
    }

    fn change_folded(&mut self, id: &ChangeId, outcome: ChangeOutcome) {
        if let Some(entry) = self.config().audit.back().filter(|entry| entry.id == *id) {
            match &entry.outcome {
                AuditOutcome::Accepted => {
                    event!(
                        Event::ChangeAccepted,
                        "{id} at {} by {} via {}: {}",
                        entry.offset,
                        entry.operator,
                        entry.via,
                        entry.text
                    );
                }
                AuditOutcome::Refused(conflict) => {
                    event!(
                        Event::ChangeRefused,
                        "{id} at {} by {} via {}: {}: {conflict}",
                        entry.offset,
                        entry.operator,
                        entry.via,
                        entry.text
                    );
                }
            }
        }
        if matches!(outcome, ChangeOutcome::Accepted(_)) {
            self.apply_config();
        }
        self.resolve_change(id, outcome);
    }

    /// Updates the state derived from the configuration.
    pub(super) fn apply_config(&mut self) {
        self.weights = self.config().policy_weights();
        self.refresh_caller_index();
        self.refresh_kept_models();
        self.apply_targets();
    }

    fn ownership_folded(&mut self, effect: OwnershipEffect, now: Instant) {
        match effect {
            OwnershipEffect::NewHolder(target, lease) => self.holder_changed(&target, &lease, now),
            OwnershipEffect::IntentOpened(target, intent) => self.intent_opened(&target, &intent),
            OwnershipEffect::IntentClosed(target, _) | OwnershipEffect::Settled(target) => {
                self.dispatch_ready(&target, now)
            }
            OwnershipEffect::None => {}
        }
    }

    pub(super) fn log_expired(&mut self, earliest: LogOffset) {
        self.feed.earliest = earliest;
        if self.has_gap() {
            event!(
                Event::LogExpired,
                "applied up to offset {}, the log starts at {earliest}",
                self.folded.applied
            );
            self.ask_for_snapshots();
        }
    }

    pub(super) fn log_unreachable(&mut self, cause: &str) {
        if self.feed.is_reachable {
            self.feed.is_reachable = false;
            event!(Event::LogUnreachable, "{cause}");
        }
        if !self.feed.is_caught_up {
            self.ask_for_snapshots();
        }
    }

    fn ask_for_snapshots(&self) {
        for link in self.links.values() {
            link.try_send(PeerMessage::SnapshotWanted(self.folded.applied));
        }
    }

    /// Replaces the folded state by a newer one; an older one is ignored.
    pub(super) fn adopt_snapshot(&mut self, state: FoldedState, source: &str) {
        let offset = state.applied;
        if !self.folded.replace_if_newer(state) {
            return;
        }
        event!(Event::SnapshotAdopted, "offset {offset} from {source}");
        if !self.has_gap() && !self.feed.is_reachable {
            // Without the log, a peer's state is the newest available; `show lag` shows how old it may be.
            self.feed.is_caught_up = true;
        }
        self.apply_config();
        let decided: Vec<_> = self
            .pending_changes
            .keys()
            .filter_map(|id| Some((id.clone(), self.config().outcome(id)?.clone())))
            .collect();
        for (id, outcome) in decided {
            self.resolve_change(&id, outcome);
        }
        self.resolve_claims();
        self.workers.read_from.send_replace(LogOffset(offset.0 + 1));
        self.log_readiness();
    }

    /// Appends a snapshot once enough records were applied since the last one.
    ///
    /// The live daemon with the lowest name writes first; each further one waits longer, so that usually only one
    /// writes.
    pub(super) fn tick_snapshot(&mut self, now: Instant) {
        let new_records =
            self.folded.applied.0 - self.folded.snapshot_through.0.min(self.folded.applied.0);
        if new_records < self.settings.snapshot_record_interval
            || !self.feed.is_reachable
            || self.has_gap()
        {
            self.feed.snapshot_due_since = None;
            return;
        }
        let due_since = *self.feed.snapshot_due_since.get_or_insert(now);
        let preceding = self.members.iter().filter(|(vm, peer)| {
            **vm < self.me.vm && peer.state == hoplanding_core::membership::PeerState::Live
        });
        let delay = SNAPSHOT_STAGGER * preceding.count() as u32;
        if now.since(due_since) < delay
            || (self.last.snapshot.0 > 0 && now.since(self.last.snapshot) < SNAPSHOT_STAGGER)
        {
            return;
        }
        self.last.snapshot = now;
        let parts = self.folded.snapshot_parts(self.me.incarnation.0);
        event!(
            Event::SnapshotWritten,
            "offset {} in {} parts",
            self.folded.applied,
            parts.len()
        );
        for part in parts {
            let _ = self
                .workers
                .appender
                .append(0, vec![LogRecord::Snapshot(part)]);
        }
    }
}
