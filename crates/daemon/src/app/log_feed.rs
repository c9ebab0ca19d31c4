//! Taking records and snapshots in, and writing snapshots.
//!
//! Records are folded in order of their offsets and never a second time. If records expired before they were read,
//! nothing is folded until a snapshot closes the gap: from the log itself, or from a peer.

use crate::{app::AppState, event, events::Event, peers::PeerMessage, platform::LogBatch};
use hoplanding_core::{
    config::{AuditOutcome, FoldOutcome},
    ids::{ChangeId, Instant, LogOffset},
    log::{FoldEffect, FoldedState, LogRecord, SnapshotAssembler},
    ownership::OwnershipEffect,
};
use std::time::Duration;

/// Pause before another daemon may write the snapshot that is due, for each daemon that comes first.
const SNAPSHOT_STAGGER: Duration = Duration::from_secs(5);
/// A batch with fewer records than this reached the end of the log.
const FULL_BATCH_RECORDS: usize = 1000;

/// What is known of the log beside its fold.
#[derive(Debug, Default)]
pub struct LogFeed {
    /// Whether the last read succeeded.
    pub(super) is_available: bool,
    /// Whether the end of the log was reached once, or a peer's snapshot taken over.
    pub(super) is_caught_up: bool,
    /// Earliest offset that the log still has.
    pub(super) earliest: LogOffset,
    /// When the log was last read, to say how old the configuration may be.
    pub(super) read_at: Option<Instant>,
    assembler: SnapshotAssembler,
    snapshot_due_since: Option<Instant>,
    has_logged_ready: bool,
}

impl AppState {
    /// Whether records are missing that no longer can be read.
    pub(super) fn has_gap(&self) -> bool {
        self.folded.applied.0 + 1 < self.feed.earliest.0
    }

    /// Whether this daemon may serve.
    pub(super) fn is_ready(&self) -> bool {
        self.feed.is_caught_up && !self.has_gap() && self.stopping.is_none()
    }

    pub(super) fn log_read(&mut self, batch: LogBatch, now: Instant) {
        if !self.feed.is_available {
            self.feed.is_available = true;
            event!(Event::LogBack, "at offset {}", self.folded.applied);
        }
        self.feed.read_at = Some(now);
        let count = batch.records.len();
        // A batch that was asked for before a snapshot was taken over may begin behind it, or beyond what follows it.
        let had_gap = self.has_gap();
        if !had_gap && batch.from.0 > self.folded.applied.0 + 1 {
            return;
        }
        for (offset, record) in batch.records {
            self.apply_record(offset, record.as_ref(), now);
            if had_gap && !self.has_gap() {
                // The snapshot reaches less far than this batch: what lies between is read again.
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

    fn change_folded(&mut self, id: &ChangeId, outcome: FoldOutcome) {
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
        if matches!(outcome, FoldOutcome::Accepted(_)) {
            self.apply_config();
        }
        self.resolve_change(id, outcome);
    }

    /// Puts the configuration in force where it is kept in another form.
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
                "have {}, the earliest is {earliest}",
                self.folded.applied
            );
            self.ask_for_snapshots();
        }
    }

    pub(super) fn log_out(&mut self, cause: &str) {
        if self.feed.is_available {
            self.feed.is_available = false;
            event!(Event::LogOut, "{cause}");
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

    /// Takes a newer state over; never an older one.
    pub(super) fn adopt_snapshot(&mut self, state: FoldedState, source: &str) {
        let offset = state.applied;
        if !self.folded.adopt(state) {
            return;
        }
        event!(Event::SnapshotAdopted, "offset {offset} from {source}");
        if !self.has_gap() && !self.feed.is_available {
            // The log is out: a peer's state is the best there is, and `show lag` tells how old it may be.
            self.feed.is_caught_up = true;
        }
        self.apply_config();
        let done: Vec<_> = self
            .pending_changes
            .keys()
            .filter_map(|id| Some((id.clone(), self.config().outcome(id)?.clone())))
            .collect();
        for (id, outcome) in done {
            self.resolve_change(&id, outcome);
        }
        self.resolve_claims();
        self.workers.read_from.send_replace(LogOffset(offset.0 + 1));
        self.log_readiness();
    }

    /// Appends a snapshot when enough records came since the last; the daemon with the lowest name goes first.
    pub(super) fn tick_snapshot(&mut self, now: Instant) {
        let grown =
            self.folded.applied.0 - self.folded.snapshot_through.0.min(self.folded.applied.0);
        if grown < self.settings.snapshot_every || !self.feed.is_available || self.has_gap() {
            self.feed.snapshot_due_since = None;
            return;
        }
        let due = *self.feed.snapshot_due_since.get_or_insert(now);
        let earlier = self.members.iter().filter(|(vm, peer)| {
            **vm < self.me.vm && peer.state == hoplanding_core::membership::PeerState::Live
        });
        let turn = SNAPSHOT_STAGGER * earlier.count() as u32;
        if now.since(due) < turn
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
