//! What a call is charged to its organisation's quota.

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

/// How a call's charge stands.
#[derive(Clone, Debug)]
pub enum CallPayment {
    /// It costs nothing.
    Free,
    /// It has to be paid before the first send.
    Due(QuotaCharge),
    /// It was paid then.
    Paid(QuotaCharge, Instant),
}

/// What came of a payment.
pub(super) enum PaymentOutcome {
    /// It is paid, or costs nothing.
    Settled,
    /// No zone's holder has enough of the quota; the first will have after this.
    UsedUp(Duration),
    /// No holder answers.
    Unanswered,
}

impl CallPayment {
    /// The charge of a call.
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

    /// The charge that has to be paid yet.
    pub(super) fn due(&self) -> Option<&QuotaCharge> {
        match self {
            Self::Due(charge) => Some(charge),
            Self::Free | Self::Paid(..) => None,
        }
    }

    /// It was paid just now.
    pub(super) fn settle(&mut self) {
        if let Self::Due(charge) = self {
            *self = Self::Paid(charge.clone(), clock::now());
        }
    }
}

impl CallState {
    /// Pays at this VM's own zone's holder, or at another's where that one has too little or does not answer; but not
    /// at `but`, which was asked already.
    pub(super) async fn pay(&mut self, but: Option<&AvailabilityZone>) -> PaymentOutcome {
        let Some(charge) = self.payment.due().cloned() else {
            return PaymentOutcome::Settled;
        };
        let own = self.context.fleet.zone.clone();
        let mut zones = self.context.settings.zones.clone();
        zones.sort_by_key(|zone| *zone != own);
        let mut used_up = None;
        for zone in zones.iter().filter(|zone| Some(*zone) != but) {
            match self.context.holder_client.pay(zone, charge.clone()).await {
                Some(Ok(())) => {
                    self.payment.settle();
                    return PaymentOutcome::Settled;
                }
                Some(Err(wait)) => {
                    used_up = Some(used_up.map_or(wait, |known: Duration| known.min(wait)))
                }
                None => {}
            }
        }
        used_up.map_or(PaymentOutcome::Unanswered, PaymentOutcome::UsedUp)
    }

    /// Gives the charge of a call back that did not run.
    pub(super) fn take_back_payment(&self) {
        if let CallPayment::Paid(charge, at) = &self.payment
            && clock::now().since(*at) < REFUND_WINDOW
        {
            self.context.holder_client.refund(charge.clone());
        }
    }

    /// The answer to a call beyond its organisation's quota, which was not run.
    pub(super) fn over_quota(&self, come_back: Duration) -> Response<AnswerBody> {
        let id = &self.head.id;
        let name = self.identity.organisation().map(|known| &known.name);
        event!(Event::QuotaUsedUp, request = id; "route {} not run for {name:?}, come back after {come_back:?}",
            self.route.name
        );
        self.count(RequestOutcome::Refused);
        own_answer(id, StatusCode::TOO_MANY_REQUESTS, Some(come_back))
    }
}
