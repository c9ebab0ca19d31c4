//! One send of a call to a target, and what its answer is worth.

use crate::{
    clock,
    direct::{
        call::CallState,
        fleet::FleetState,
        holder_client::PlacedCall,
        message::CallEnd,
        target_connections::{ReuseRule, SendError, TargetConnection, TargetRequest},
        trials::TrialPermit,
    },
    event,
    events::Event,
};
use hoplanding_core::{
    direct::{
        catalog::{TargetEntry, TargetStage},
        config::RetryPolicy,
        limits::{AdvertisedLimit, RequestRate},
        millis,
        target_notices::TargetNotice,
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
    pub placed_call: Option<PlacedCall>,
    /// This VM's count of the call.
    pub in_flight: InFlightGuard,
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
pub struct InFlightGuard {
    fleet: Arc<FleetState>,
    run: TargetRun,
    /// The trial that the call is.
    trial: Option<TrialPermit>,
}

impl InFlightGuard {
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
    pub fn finish(mut self, end: CallEnd) {
        if let Some(trial) = self.trial.as_mut().filter(|_| end == CallEnd::Good) {
            trial.note_good();
        }
        let TargetRun { name, life } = &self.run;
        let mut tables = self.fleet.tables();
        // What an earlier life did says nothing about this one.
        if let Some(outcome) = end.health()
            && tables.catalog.life(name) == *life
        {
            tables.health.record(name, outcome, clock::now());
        }
    }
}

impl Drop for InFlightGuard {
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
        placed_call: Option<PlacedCall>,
        last_event: Option<u64>,
    ) -> SendOutcome {
        let in_flight = InFlightGuard::new(&self.context.fleet, entry, self.trial.take());
        let end = |placed_call: Option<PlacedCall>, in_flight: InFlightGuard, end: CallEnd| {
            in_flight.finish(end);
            if let Some(placed_call) = placed_call {
                placed_call.finish(end);
            }
        };
        let reuse = match self.route.retry_policy {
            RetryPolicy::Idempotent => ReuseRule::Any,
            RetryPolicy::AtMostOnce => ReuseRule::FreshOnly,
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
                event!(Event::TargetConnectFailed, request = self.head.id; "at {target}: {cause}"
                );
                end(placed_call, in_flight, CallEnd::Unreached);
                self.unreached += 1;
                self.tried.push(target);
                return SendOutcome::NotSent;
            }
            Err(SendError::Unanswered { target, cause }) => {
                event!(Event::NoAnswer, request = self.head.id; "at {target}: {cause}"
                );
                self.probe_after_failure(entry, in_flight.is_trial()).await;
                end(placed_call, in_flight, CallEnd::Failed);
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
                let notice =
                    fleet.apply_target_notice(&entry.run(), response.status(), response.headers());
                self.note_limit(entry, notice.rate_limit);
                notice
            }
        };
        if matches!(kind, AnswerKind::Success | AnswerKind::Failure) {
            self.context
                .fleet
                .tables()
                .rests
                .record_answer(&entry.run());
        }
        let (parts, body) = response.into_parts();
        let open = |placed_call, in_flight| {
            Box::new(OpenAnswer {
                parts: parts.clone(),
                notice,
                body,
                connection,
                entry: Arc::clone(entry),
                placed_call,
                in_flight,
            })
        };
        match kind {
            AnswerKind::Success => {
                self.runs += 1;
                SendOutcome::Success(open(placed_call, in_flight))
            }
            AnswerKind::Failure => {
                self.runs += 1;
                self.tried.push(entry.name.clone());
                SendOutcome::Failure(open(placed_call, in_flight))
            }
            AnswerKind::Misdirected | AnswerKind::NotRun => {
                event!(Event::RequestTurnedAway, request = self.head.id; "at {}: {kind:?} {} for {} version {version:?}",
                    entry.name,
                    parts.status,
                    self.subject()
                );
                let is_absent = kind == AnswerKind::Misdirected;
                let outcome = if is_absent {
                    CallEnd::Absent
                } else {
                    CallEnd::Shed {
                        rest_ms: notice.backoff.map_or(0, millis),
                    }
                };
                end(placed_call, in_flight, outcome);
                self.refused += 1;
                // An adapter that is late is soon there: its holder knows whether another target is better.
                if !is_absent {
                    self.tried.push(entry.name.clone());
                }
                SendOutcome::NotRun
            }
            AnswerKind::Foreign => {
                event!(Event::MismatchedAnswer, request = self.head.id; "at {}: status {}",
                    entry.name,
                    parts.status
                );
                self.context.pool.close(entry.address);
                end(placed_call, in_flight, CallEnd::Failed);
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
            fetch: self.fetch_source,
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
            && tables.rests.try_admit(&entry.run(), clock::now())
    }

    /// Notes what an answer says of its target's limit.
    fn note_limit(&self, entry: &TargetEntry, rate: Option<RequestRate>) {
        let named = AdvertisedLimit {
            run: entry.run(),
            rate,
        };
        let is_change = {
            let mut tables = self.context.fleet.tables();
            tables.limits.record(&named, clock::now())
        };
        if is_change {
            let rate = named.rate.map(RequestRate::as_f64);
            event!(Event::LimitNamed, request = self.head.id; "{}: {rate:?} a second", entry.name);
        }
        if named.rate.is_some() || self.is_limited {
            self.context.holder_client.tell_limit(&named);
        }
    }

    /// Gives a connection back for further calls, unless its answer says that it ends.
    pub fn return_connection(&self, connection: TargetConnection, notice: &TargetNotice) {
        if notice.is_closing {
            return;
        }
        let vms = self.context.fleet.tables().vms.len();
        let share = self.service.max_idle_connections(vms);
        let pool = &self.context.pool;
        pool.put_back(connection, notice.idle_timeout, share);
    }
}
