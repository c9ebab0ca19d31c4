//! For whom a call is made, and whether that still holds right before it is sent.

use crate::{
    direct::{
        call::{
            COME_BACK, CallState, GatewayContext,
            answers::{AnswerBody, own_answer, refusal},
        },
        fleet::ActiveConfig,
        metrics::{RequestKind, RequestOutcome},
    },
    event,
    events::Event,
};
use hoplanding_core::direct::{
    config::RouteRule,
    organisations::{CallerIdentity, KeyError},
};
use hoplanding_platform::message_heads::CallHead;
use http::{Response, StatusCode};
use std::time::Duration;

/// Longest time after which a caller comes back while a copy of the log is in doubt: operators may write any moment.
const DOUBT_LOOK: Duration = Duration::from_secs(2);

/// Why a call is not let in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionFault {
    /// Its key is none that is in force.
    Key(KeyError),
    /// Keys may have been taken away that this VM does not know of yet.
    Stale,
}

impl AdmissionFault {
    /// The answer to a call that is not let in, and was not run.
    pub(super) fn answer(
        self,
        context: &GatewayContext,
        route: &RouteRule,
        id: &str,
    ) -> Response<AnswerBody> {
        let metrics = &context.fleet.metrics;
        metrics.count_request(RequestKind::of(route), RequestOutcome::Refused);
        metrics.count_entry_fault(self);
        match self {
            Self::Key(fault) => {
                event!(Event::KeyRefused, request = id; "route {}: {fault:?}", route.name);
                own_answer(id, StatusCode::UNAUTHORIZED, None)
            }
            Self::Stale => {
                let doubt = context.fleet.key_retry_after().unwrap_or_default();
                let come_back = doubt.clamp(COME_BACK, DOUBT_LOOK);
                event!(Event::KeysUncertain, request = id; "route {} not run, come back after {come_back:?}, copy of the log in doubt for {doubt:?}", route.name
                );
                refusal(id, come_back)
            }
        }
    }

    /// Its name in the metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Key(KeyError::Absent) => "no_key",
            Self::Key(KeyError::Malformed) => "malformed_key",
            Self::Key(KeyError::Unknown) => "unknown_key",
            Self::Stale => "stale_configuration",
        }
    }
}

/// Decides for whom a call is made. What a VM says of keys holds only while it knows its configuration to be the
/// newest, so until then it promises, and does not deny.
pub(super) fn let_in(
    context: &GatewayContext,
    active: &ActiveConfig,
    route: &RouteRule,
    head: &CallHead,
) -> Result<CallerIdentity, AdmissionFault> {
    let table = active.config.organisations.as_ref();
    let identity = CallerIdentity::of(table, route, &head.key);
    let needs_proof = !matches!(
        identity,
        Ok(CallerIdentity::Unkeyed | CallerIdentity::Anonymous)
    );
    if needs_proof && !context.fleet.may_trust_keys() {
        return Err(AdmissionFault::Stale);
    }
    identity.map_err(AdmissionFault::Key)
}

impl CallState {
    /// Looks at its key again, right before a send: while it waited for its adapter the key may have been taken away,
    /// or this VM cut off.
    pub(super) fn is_still_let_in(&self) -> Result<(), AdmissionFault> {
        let Some(organisation) = self.identity.organisation() else {
            return Ok(());
        };
        let Some(active) = self.context.fleet.active() else {
            return Err(AdmissionFault::Stale);
        };
        let identity = let_in(&self.context, &active, &self.route, &self.head)?;
        match identity.organisation() {
            Some(held) if held.name == organisation.name => Ok(()),
            _ => Err(AdmissionFault::Key(KeyError::Unknown)),
        }
    }
}
