//! Authentication of calls: resolves the caller's identity from its API key, and checks it again right before a send.
//!
//! A verdict about keys is only as good as the configuration behind it. While this VM cannot prove that its configuration is
//! the newest, calls that need a key get a 503 with `Retry-After` instead of being served or rejected.

use crate::{
    direct::{
        call::{
            CallState, DEFAULT_RETRY_AFTER, GatewayContext,
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

/// Maximum time from the end of the restore guard until a VM has a new proof: a read that was sent before the end, the
/// next one, and two heartbeats that forward its proof.
const MAX_PROOF_DELAY: Duration = Duration::from_millis(1_800);

/// Spread of the callers that were refused while a restored log was guarded, as all of them may return from its end on.
const MAX_RETURN_JITTER: Duration = Duration::from_secs(2);

/// Why a call is not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionFault {
    /// The key is missing, malformed or not in force.
    Key(KeyError),
    /// Keys may have been revoked without this VM knowing it yet.
    Stale,
}

impl AdmissionFault {
    /// The answer to a call that was rejected before any target ran it.
    pub(super) fn answer(
        self,
        context: &GatewayContext,
        route: &RouteRule,
        id: &str,
    ) -> Response<AnswerBody> {
        let metrics = &context.fleet.metrics;
        metrics.count_request(RequestKind::of(route), RequestOutcome::Refused);
        metrics.count_admission_fault(self);
        match self {
            Self::Key(fault) => {
                event!(Event::KeyRefused, request = id; "route {}: {fault:?}", route.name);
                own_answer(id, StatusCode::UNAUTHORIZED, None)
            }
            Self::Stale => {
                let proof_due_in = context.fleet.key_proof_due_in(MAX_PROOF_DELAY);
                let retry_after = proof_due_in.map_or(DEFAULT_RETRY_AFTER, |due_in| {
                    due_in + MAX_RETURN_JITTER.mul_f64(rand::random())
                });
                event!(Event::KeysUncertain, request = id; "route {} not run, retry after {retry_after:?}, time until restored keys are trusted: {proof_due_in:?}", route.name
                );
                refusal(id, retry_after)
            }
        }
    }

    /// Value of the `cause` label in the metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Key(KeyError::Absent) => "no_key",
            Self::Key(KeyError::Malformed) => "malformed_key",
            Self::Key(KeyError::Unknown) => "unknown_key",
            Self::Stale => "stale_configuration",
        }
    }
}

/// Resolves the identity of a caller. A key is accepted or rejected only while this VM can prove that its configuration is
/// the newest; until then the fault is [`AdmissionFault::Stale`], whose answer tells the caller to retry.
pub(super) fn admit(
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
    /// Checks the key again right before a send: while the call waited for its adapter, the key may have been revoked or
    /// this VM partitioned from the others.
    pub(super) fn recheck_admission(&self) -> Result<(), AdmissionFault> {
        let Some(organisation) = self.identity.organisation() else {
            return Ok(());
        };
        let Some(active) = self.context.fleet.active() else {
            return Err(AdmissionFault::Stale);
        };
        let identity = admit(&self.context, &active, &self.route, &self.head)?;
        match identity.organisation() {
            Some(held) if held.name == organisation.name => Ok(()),
            _ => Err(AdmissionFault::Key(KeyError::Unknown)),
        }
    }
}
