//! One send of a call to a target, and what its answer is worth.

use crate::{
    clock,
    direct::{
        access::CallTicket,
        call::CallState,
        fleet::FleetState,
        message::CallEnd,
        sender::{ReuseRule, SendError, TargetConnection, TargetRequest},
        trials::TrialPermit,
    },
    event,
    events::Event,
};
use hoplanding_core::{
    direct::{
        catalog::{TargetEntry, TargetStage},
        config::RepeatRule,
        limits::{NamedLimit, RequestRate},
        millis,
        notices::TargetNotice,
    },
    ids::TargetRun,
};
use hoplanding_platform::front::{AnswerKind, SendHead, encode_send, judge_answer};
use http::Request;
use http_body_util::Full;
use hyper::body::Incoming;
use std::{sync::Arc, time::Duration};
use tokio::time::timeout;

/// Time to connect to a target.
const CONNECT_WITHIN: Duration = Duration::from_millis(200);

/// An answer whose head has come.
pub struct OpenAnswer {
    /// Its head.
    pub parts: http::response::Parts,
    /// What it says of its target.
    pub notice: TargetNotice,
    /// Its body.
    pub body: Incoming,
    /// The connection, to be given back after a whole answer.
    pub connection: TargetConnection,
    /// The target as it was listed when the call was sent.
    pub entry: Arc<TargetEntry>,
    /// The holder's count of the call.
    pub ticket: Option<CallTicket>,
    /// This VM's count of the call.
    pub count: InFlightCount,
}

/// What came of one send.
pub enum SendOutcome {
    /// A signed success; its body follows.
    Success(Box<OpenAnswer>),
    /// The target ran it and states a failure.
    Failure(Box<OpenAnswer>),
    /// The target did not run it.
    NotRun,
    /// It was never handed over.
    NotSent,
    /// Its target no longer wants it: it was not sent.
    Withheld,
    /// It may have run; no answer that could be used came.
    Unknown,
}

/// Counts a call of this VM at a target until dropped.
#[derive(Debug)]
pub struct InFlightCount {
    fleet: Arc<FleetState>,
    run: TargetRun,
    /// The trial that the call is.
    trial: Option<TrialPermit>,
}

impl InFlightCount {
    fn new(fleet: &Arc<FleetState>, entry: &TargetEntry, trial: Option<TrialPermit>) -> Self {
        *fleet.tables().in_flight.entry(entry.run()).or_default() += 1;
        Self {
            fleet: Arc::clone(fleet),
            run: entry.run(),
            trial,
        }
    }

    /// Whether the call is a trial.
    #[must_use]
    pub fn is_trial(&self) -> bool {
        self.trial.is_some()
    }

    /// Notes how the call ended.
    pub fn note(mut self, end: CallEnd) {
        if let Some(trial) = self.trial.as_mut().filter(|_| end == CallEnd::Good) {
            trial.note_good();
        }
        let TargetRun { name, life } = &self.run;
        let mut tables = self.fleet.tables();
        // What an earlier life did says nothing about this one.
        if let Some(outcome) = end.health()
            && tables.catalog.life(name) == *life
        {
            tables.health.note(name, outcome, clock::now());
        }
    }
}

impl Drop for InFlightCount {
    fn drop(&mut self) {
        let mut tables = self.fleet.tables();
        if let Some(count) = tables.in_flight.get_mut(&self.run) {
            *count -= 1;
            if *count == 0 {
                tables.in_flight.remove(&self.run);
            }
        }
    }
}

impl CallState {
    /// Sends it to a target.
    pub async fn send(
        &mut self,
        entry: &Arc<TargetEntry>,
        version: Option<u64>,
        ticket: Option<CallTicket>,
        last_event: Option<u64>,
    ) -> SendOutcome {
        let count = InFlightCount::new(&self.context.fleet, entry, self.trial.take());
        let end = |ticket: Option<CallTicket>, count: InFlightCount, end: CallEnd| {
            count.note(end);
            if let Some(ticket) = ticket {
                ticket.end(end);
            }
        };
        let reuse = match self.route.repeat {
            RepeatRule::Idempotent => ReuseRule::Any,
            RepeatRule::AtMostOnce => ReuseRule::FreshOnly,
        };
        let taken = self
            .context
            .pool
            .take(&entry.run(), entry.address, reuse, CONNECT_WITHIN)
            .await;
        if taken.is_ok() && !self.is_wanted(entry) {
            return SendOutcome::Withheld;
        }
        let remaining = self.remaining();
        let sent = match taken {
            Ok(mut connection) => {
                let request = self.request(entry, version, remaining, last_event);
                match timeout(remaining, connection.send(request)).await {
                    Ok(Ok(response)) => Ok((connection, response)),
                    Ok(Err(error)) => Err(error),
                    Err(_) => Err(SendError::Unanswered {
                        target: entry.name.clone(),
                        cause: "no head before the deadline".to_owned(),
                    }),
                }
            }
            Err(error) => Err(error),
        };
        let (connection, response) = match sent {
            Ok(answered) => answered,
            Err(SendError::NotSent { target, cause, .. }) => {
                event!(Event::TargetUnreached, request = self.head.id; "at {target}: {cause}"
                );
                end(ticket, count, CallEnd::Unreached);
                self.unreached += 1;
                self.tried.push(target);
                return SendOutcome::NotSent;
            }
            Err(SendError::Unanswered { target, cause }) => {
                event!(Event::AnswerMissing, request = self.head.id; "at {target}: {cause}"
                );
                self.look_at_break(entry, count.is_trial()).await;
                end(ticket, count, CallEnd::Failed);
                self.runs += 1;
                self.tried.push(target);
                return SendOutcome::Unknown;
            }
        };
        let kind = judge_answer(&self.head.id, response.status(), response.headers());
        let notice = match kind {
            // Another target's, or an answer to another request.
            AnswerKind::Foreign | AnswerKind::Misdirected => TargetNotice::default(),
            AnswerKind::Success | AnswerKind::Failure | AnswerKind::NotRun => {
                let fleet = &self.context.fleet;
                let notice = fleet.hear_target(&entry.run(), response.status(), response.headers());
                self.note_limit(entry, notice.rate);
                notice
            }
        };
        if matches!(kind, AnswerKind::Success | AnswerKind::Failure) {
            self.context.fleet.tables().rests.answered(&entry.run());
        }
        let (parts, body) = response.into_parts();
        let open = |ticket, count| {
            Box::new(OpenAnswer {
                parts: parts.clone(),
                notice,
                body,
                connection,
                entry: Arc::clone(entry),
                ticket,
                count,
            })
        };
        match kind {
            AnswerKind::Success => {
                self.runs += 1;
                SendOutcome::Success(open(ticket, count))
            }
            AnswerKind::Failure => {
                self.runs += 1;
                self.tried.push(entry.name.clone());
                SendOutcome::Failure(open(ticket, count))
            }
            AnswerKind::Misdirected | AnswerKind::NotRun => {
                event!(Event::TurnedAway, request = self.head.id; "at {}: {kind:?} {} for {} version {version:?}",
                    entry.name,
                    parts.status,
                    self.subject()
                );
                let is_absent = kind == AnswerKind::Misdirected;
                let outcome = if is_absent {
                    CallEnd::Absent
                } else {
                    CallEnd::Shed {
                        rest_ms: notice.rest.map_or(0, millis),
                    }
                };
                end(ticket, count, outcome);
                self.refused += 1;
                // An adapter that is late is soon there: its holder knows whether another target is better.
                if !is_absent {
                    self.tried.push(entry.name.clone());
                }
                SendOutcome::NotRun
            }
            AnswerKind::Foreign => {
                event!(Event::AnswerForeign, request = self.head.id; "at {}: status {}",
                    entry.name,
                    parts.status
                );
                self.context.pool.close(entry.address);
                end(ticket, count, CallEnd::Failed);
                self.runs += 1;
                self.tried.push(entry.name.clone());
                SendOutcome::Unknown
            }
        }
    }

    fn request(
        &self,
        entry: &TargetEntry,
        version: Option<u64>,
        remaining: Duration,
        last_event: Option<u64>,
    ) -> TargetRequest {
        let send = SendHead {
            target: &entry.name,
            remaining,
            priority: self.service.engine.as_ref().map(|_| self.rank),
            version,
            last_event,
            fetch: self.fetch,
            identity: &self.identity,
        };
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = encode_send(&self.headers, &send);
        request
    }
}

impl CallState {
    /// Whether a target still takes new work from this VM: that may have changed while a connection to it was made.
    fn is_wanted(&self, entry: &TargetEntry) -> bool {
        let mut tables = self.context.fleet.tables();
        let known = tables.catalog.get(&entry.name);
        known.is_some_and(|known| known.stage == TargetStage::Ready)
            && tables.rests.admit(&entry.run(), clock::now())
    }

    /// Notes what an answer says of its target's limit.
    fn note_limit(&self, entry: &TargetEntry, rate: Option<RequestRate>) {
        let named = NamedLimit {
            run: entry.run(),
            rate,
        };
        let is_change = {
            let mut tables = self.context.fleet.tables();
            tables.limits.note(&named, clock::now())
        };
        if is_change {
            let rate = named.rate.map(RequestRate::as_f64);
            event!(Event::LimitNamed, request = self.head.id; "{}: {rate:?} a second", entry.name);
        }
        if named.rate.is_some() || self.is_limited {
            self.context.access.tell_limit(&named);
        }
    }

    /// Gives a connection back for further calls, unless its answer says that it ends.
    pub fn give_back(&self, connection: TargetConnection, notice: &TargetNotice) {
        if notice.is_closing {
            return;
        }
        let vms = self.context.fleet.tables().vms.len();
        let share = self.service.idle_share(vms);
        let pool = &self.context.pool;
        pool.give_back(connection, notice.idle, share);
    }
}
