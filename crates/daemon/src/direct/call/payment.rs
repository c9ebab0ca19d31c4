//! Charging a call to its organisation's quota, and refunding it if the call was not executed.

use crate::{
    clock,
    direct::{
        call::{CallState, answers::AnswerBody, answers::own_answer},
        metrics::RequestOutcome,
    },
    event,
    events::Event,
};
use hoplanding_core::{
    direct::{
        organisations::CallerIdentity,
        quotas::{QuotaCharge, REFUND_WINDOW},
    },
    ids::{AvailabilityZone, Instant},
};
use hoplanding_platform::message_heads::CallHead;
use http::{Response, StatusCode};
use std::time::Duration;

/// State of a call's charge.
#[derive(Clone, Debug)]
pub enum CallPayment {
    /// The call is not subject to a quota.
    Free,
    /// To be paid before the first send.
    Due(QuotaCharge),
    /// Paid, and when.
    Paid(QuotaCharge, Instant),
}

/// Result of a payment.
pub(super) enum PaymentOutcome {
    /// Paid, or nothing to pay.
    Settled,
    /// No holder has enough of the quota left; the time after which the first one will.
    UsedUp(Duration),
    /// No holder answered.
    Unanswered,
}

impl CallPayment {
    /// The charge of a call made under this identity.
    pub(super) fn of(identity: &CallerIdentity, head: &CallHead) -> Self {
        let Some(organisation) = identity.organisation() else {
            return Self::Free;
        };
        let tokens = u64::from(head.prompt_tokens) + u64::from(head.max_output_tokens);
        let rule = organisation.quota.as_ref();
        rule.map_or(Self::Free, |rule| {
            Self::Due(QuotaCharge {
                organisation: organisation.name.clone(),
                units: rule.cost(head.has_token_count.then_some(tokens)),
            })
        })
    }

    /// The charge that is still to be paid.
    pub(super) fn due(&self) -> Option<&QuotaCharge> {
        match self {
            Self::Due(charge) => Some(charge),
            Self::Free | Self::Paid(..) => None,
        }
    }

    /// Marks the charge as paid now.
    pub(super) fn settle(&mut self) {
        if let Self::Due(charge) = self {
            *self = Self::Paid(charge.clone(), clock::now());
        }
    }
}

impl CallState {
    /// Pays at the holder of this VM's own zone, or at another zone's holder if the first has too little left or does not
    /// answer. `except` names a zone that was asked already.
    pub(super) async fn pay(&mut self, except: Option<&AvailabilityZone>) -> PaymentOutcome {
        let Some(charge) = self.payment.due().cloned() else {
            return PaymentOutcome::Settled;
        };
        let own = self.context.fleet.zone.clone();
        let mut zones = self.context.settings.zones.clone();
        zones.sort_by_key(|zone| *zone != own);
        let mut shortest_wait = None;
        for zone in zones.iter().filter(|zone| Some(*zone) != except) {
            match self.context.holder_client.pay(zone, charge.clone()).await {
                Some(Ok(())) => {
                    self.payment.settle();
                    return PaymentOutcome::Settled;
                }
                Some(Err(wait)) => {
                    shortest_wait =
                        Some(shortest_wait.map_or(wait, |shortest: Duration| shortest.min(wait)))
                }
                None => {}
            }
        }
        shortest_wait.map_or(PaymentOutcome::Unanswered, PaymentOutcome::UsedUp)
    }

    /// Refunds the charge of a call that was not executed. A charge paid more than [`REFUND_WINDOW`] ago stays, because its
    /// refund would be spent in another quota window.
    pub(super) fn refund_payment(&self) {
        if let CallPayment::Paid(charge, at) = &self.payment
            && clock::now().since(*at) < REFUND_WINDOW
        {
            self.context.holder_client.refund(charge.clone());
        }
    }

    /// The answer to a call over its organisation's quota; it was not executed.
    pub(super) fn quota_answer(&self, retry_after: Duration) -> Response<AnswerBody> {
        let id = &self.head.id;
        let name = self
            .identity
            .organisation()
            .map(|organisation| &organisation.name);
        event!(Event::QuotaUsedUp, request = id; "route {} not run for {name:?}, retry after {retry_after:?}",
            self.route.name
        );
        self.count(RequestOutcome::Refused);
        own_answer(id, StatusCode::TOO_MANY_REQUESTS, Some(retry_after))
    }
}
