//! Answers that end without their end: who ended them, how far they came, and the line and count of each.
//!
//! A call is dropped when its caller's connection ends, whether it is being placed, waits for a head or relays events. Each
//! call is counted once; one that is dropped uncounted is logged and counted here.

use crate::{
    direct::{
        call::{CallState, StopPlan},
        metrics::RequestOutcome,
    },
    event,
    events::Event,
};
use hoplanding_core::ids::{TargetName, VmName};
use std::{fmt, net::SocketAddr, time::Duration};

/// Who ended an answer before its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerEnder {
    /// The target broke off, or the connection to it broke.
    Target,
    /// The call's deadline passed.
    Deadline,
    /// The caller's connection ended.
    Caller,
    /// This VM closed the connection to a target that had not ended.
    Gateway,
}

impl fmt::Display for AnswerEnder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Target => "the target",
            Self::Deadline => "the deadline",
            Self::Caller => "its caller",
            Self::Gateway => "this VM",
        })
    }
}

/// An answer that ended without its end, as log lines state it.
///
/// The [`Display`](fmt::Display) form is read back by the operators' tools; its words are part of the log format.
#[derive(Clone, Copy, Debug)]
pub struct UnfinishedAnswer<'a> {
    /// Who ended it.
    pub ender: AnswerEnder,
    /// The target that answered, or was asked last.
    pub target: Option<&'a TargetName>,
    /// The VM that forwarded the bytes of the connection to the target, if another one did.
    pub through: Option<&'a VmName>,
    /// What happened.
    pub cause: &'a str,
    /// Id of the last event that was relayed.
    pub last_event: Option<u64>,
    /// Time since the target last sent a head or data.
    pub data_age: Option<Duration>,
    /// Time since the call's arrival.
    pub held: Duration,
    /// Peer address of the caller's connection.
    pub caller: SocketAddr,
}

impl fmt::Display for UnfinishedAnswer<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "ended by {}", self.ender)?;
        if let Some(target) = self.target {
            write!(f, " at {target}")?;
        }
        if let Some(vm) = self.through {
            write!(f, " through VM {vm}")?;
        }
        write!(f, ": {}, last event {:?}", self.cause, self.last_event)?;
        match self.data_age {
            Some(age) => write!(f, ", last data {age:?} ago")?,
            None => f.write_str(", no data")?,
        }
        write!(f, ", after {:?}, caller {}", self.held, self.caller)
    }
}

impl CallState {
    /// The state of the call's answer, which `ender` ends.
    pub fn unfinished_answer<'a>(
        &'a self,
        ender: AnswerEnder,
        cause: &'a str,
    ) -> UnfinishedAnswer<'a> {
        UnfinishedAnswer {
            ender,
            target: self.asked.as_ref().map(|asked| &asked.entry.name),
            through: self.asked.as_ref().and_then(|asked| asked.through.as_ref()),
            cause,
            last_event: self.last_event,
            data_age: self.last_data_at.map(|at| at.elapsed()),
            held: self.arrived.elapsed(),
            caller: self.caller,
        }
    }

    /// Logs and counts a call that was dropped before it was answered.
    fn record_dropped(&mut self) {
        let plan = self.context.stop.get();
        let (event, ender, outcome) = if plan.is_some_and(StopPlan::is_over) {
            let outcome = if self.has_begun_answer {
                RequestOutcome::BrokenOff
            } else {
                RequestOutcome::Lost
            };
            (Event::AnswerIncomplete, AnswerEnder::Gateway, outcome)
        } else {
            let outcome = RequestOutcome::CallerLeft;
            (Event::CallerLeft, AnswerEnder::Caller, outcome)
        };
        let step = if self.has_begun_answer {
            "while its answer was relayed"
        } else if self.asked.is_some() {
            "before its answer was passed on"
        } else {
            "before it was sent to a target"
        };
        event!(event, request = self.head.id; "{}", self.unfinished_answer(ender, step));
        self.count(outcome);
    }
}

impl Drop for CallState {
    fn drop(&mut self) {
        if !self.is_counted {
            self.record_dropped();
        }
    }
}
