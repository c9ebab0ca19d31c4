//! Configuration changes from operators' commands.
//!
//! A change is appended to the log and reported as accepted only after it was read back and applied. If the answer to
//! the append is lost, the change is appended again under the same id, which has no second effect.

use crate::{
    app::{AppState, OperatorError, OperatorResponse},
    clock,
    platform::AppendOutcome,
};
use hoplanding_core::{
    config::ChangeOutcome,
    ids::{ChangeId, Instant, OperatorName},
    language::CommandList,
    log::{ChangeRecord, LogRecord},
};
use std::time::Duration;
use tokio::sync::oneshot;

/// Time after which an operator is told that the outcome of a change is unknown.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(12);
/// Time for a change whose append was not confirmed to be read back, before it is appended again.
const READ_BACK_TIMEOUT: Duration = Duration::from_secs(2);

type ChangeReply = oneshot::Sender<Result<OperatorResponse, OperatorError>>;

/// A change that was appended and is not read back yet.
pub struct PendingChange {
    record: ChangeRecord,
    reply: Option<ChangeReply>,
    started_at: Instant,
    reappend_at: Option<Instant>,
    may_have_effect: bool,
}

impl AppState {
    pub(super) fn start_change(
        &mut self,
        operator: &OperatorName,
        commands: &CommandList,
        reply: ChangeReply,
        now: Instant,
    ) {
        let number = self.next_number();
        let id = ChangeId::new(&format!(
            "{}-{:x}-{number}",
            self.me.vm, self.me.incarnation.0
        ));
        let record = ChangeRecord {
            id: id.clone(),
            operator: operator.clone(),
            via: self.me.vm.clone(),
            at_ms: clock::wall_ms(),
            text: commands.text.clone(),
            parts: commands.change_parts(self.config()),
        };
        let pending = PendingChange {
            record,
            reply: Some(reply),
            started_at: now,
            reappend_at: None,
            may_have_effect: false,
        };
        self.pending_changes.insert(id.clone(), pending);
        self.append_change(&id);
    }

    fn append_change(&mut self, id: &ChangeId) {
        let ticket = self.next_number();
        let Some(pending) = self.pending_changes.get_mut(id) else {
            return;
        };
        pending.reappend_at = None;
        let record = LogRecord::Change(pending.record.clone());
        if self.workers.appender.append(ticket, vec![record]) {
            self.change_tickets.insert(ticket, vec![id.clone()]);
        } else {
            self.fail_change(id, |_| OperatorError::LogUnreachable);
        }
    }

    pub(super) fn appended(&mut self, tickets: &[u64], outcome: AppendOutcome, now: Instant) {
        let ids: Vec<_> = tickets
            .iter()
            .filter_map(|ticket| self.change_tickets.remove(ticket))
            .flatten()
            .collect();
        for id in ids {
            let Some(pending) = self.pending_changes.get_mut(&id) else {
                continue;
            };
            match outcome {
                AppendOutcome::Appended => pending.may_have_effect = true,
                AppendOutcome::Unknown => {
                    pending.may_have_effect = true;
                    pending.reappend_at = Some(now.after(READ_BACK_TIMEOUT));
                }
                AppendOutcome::NotAppended if pending.may_have_effect => {
                    pending.reappend_at = Some(now.after(READ_BACK_TIMEOUT));
                }
                AppendOutcome::NotAppended => {
                    self.fail_change(&id, |_| OperatorError::LogUnreachable)
                }
            }
        }
        if outcome != AppendOutcome::Appended {
            self.claims_not_appended(outcome);
        }
    }

    /// Answers a change with the outcome of applying it.
    pub(super) fn resolve_change(&mut self, id: &ChangeId, outcome: ChangeOutcome) {
        let Some(pending) = self.pending_changes.remove(id) else {
            return;
        };
        let answer = match outcome {
            ChangeOutcome::Accepted(offset) => Ok(OperatorResponse::Accepted(id.clone(), offset)),
            ChangeOutcome::Refused(_, conflict) => {
                Err(OperatorError::Conflict(id.clone(), conflict))
            }
        };
        if let Some(reply) = pending.reply {
            let _ = reply.send(answer);
        }
    }

    fn fail_change(&mut self, id: &ChangeId, error: impl FnOnce(ChangeId) -> OperatorError) {
        if let Some(reply) = self
            .pending_changes
            .remove(id)
            .and_then(|pending| pending.reply)
        {
            let _ = reply.send(Err(error(id.clone())));
        }
    }

    pub(super) fn tick_changes(&mut self, now: Instant) {
        let due = self
            .pending_changes
            .iter()
            .filter(|(_, pending)| pending.reappend_at.is_some_and(|at| at <= now));
        let due: Vec<_> = due.map(|(id, _)| id.clone()).collect();
        for id in due {
            // The change was not read back in time; a second record with the same id has no effect.
            self.append_change(&id);
        }
        let timed_out = self
            .pending_changes
            .iter()
            .filter(|(_, pending)| now.since(pending.started_at) > CHANGE_TIMEOUT);
        let timed_out: Vec<_> = timed_out.map(|(id, _)| id.clone()).collect();
        for id in timed_out {
            self.fail_change(&id, OperatorError::OutcomeUnknown);
        }
    }
}
