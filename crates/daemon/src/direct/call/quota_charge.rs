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
        millis,
        organisations::CallerIdentity,
        quotas::{QuotaCharge, REFUND_WINDOW},
        suspects::RequestFingerprint,
    },
    ids::{AvailabilityZone, Instant},
};
use hoplanding_platform::message_heads::CallHead;
use http::{Response, StatusCode};
use std::time::Duration;

/// Callers wait for at most this part of the time that they have left, then they come back.
const RETURN_DIVISOR: u32 = 3;

/// State of a call's charge.
#[derive(Clone, Debug)]
pub enum CallCharge {
    /// The call is not subject to a quota.
    Free,
    /// To be charged before the first send.
    Due(QuotaCharge),
    /// Charged, and when.
    Charged(QuotaCharge, Instant),
}

/// Result of charging a call.
pub(super) enum ChargeOutcome {
    /// Charged, or not subject to a quota.
    Charged,
    /// No holder has enough of the quota left; the time after which the first one will, and its zone.
    UsedUp(Duration, AvailabilityZone),
    /// No holder answered.
    Unanswered,
}

impl CallCharge {
    /// The charge of a call made under this identity.
    ///
    /// An organisation has one rank at the targets, but its quota is charged by the ranks of its routes.
    pub(super) fn of(identity: &CallerIdentity, head: &CallHead, rank: u8) -> Self {
        let Some(organisation) = identity.organisation() else {
            return Self::Free;
        };
        let tokens = u64::from(head.prompt_tokens) + u64::from(head.max_output_tokens);
        let rule = organisation.quota.as_ref();
        rule.map_or(Self::Free, |rule| {
            let units = rule.cost(head.has_token_count.then_some(tokens));
            Self::Due(QuotaCharge {
                rank,
                ..QuotaCharge::fractional(organisation.name.clone(), units)
            })
        })
    }

    /// Names the content of the call, by which its next try is recognised.
    pub(super) fn set_fingerprint(&mut self, fingerprint: RequestFingerprint) {
        if let Self::Due(charge) = self {
            charge.fingerprint = Some(fingerprint);
        }
    }

    /// The charge that is still due.
    pub(super) fn due(&self) -> Option<&QuotaCharge> {
        match self {
            Self::Due(charge) => Some(charge),
            Self::Free | Self::Charged(..) => None,
        }
    }

    /// Marks the call as charged now.
    pub(super) fn mark_charged(&mut self) {
        if let Self::Due(charge) = self {
            *self = Self::Charged(charge.clone(), clock::now());
        }
    }
}

impl CallState {
    /// Charges the call at the holder of this VM's own zone, or at another zone's holder if the first has too little left or does not
    /// answer. `except` names a zone that was tried already.
    pub(super) async fn charge_quota(
        &mut self,
        except: Option<&AvailabilityZone>,
    ) -> ChargeOutcome {
        let Some(charge) = self.quota_charge.due().cloned() else {
            return ChargeOutcome::Charged;
        };
        let own = self.context.fleet.zone.clone();
        let mut zones = self.context.settings.zones.clone();
        zones.sort_by_key(|zone| *zone != own);
        let mut shortest: Option<(Duration, AvailabilityZone)> = None;
        for zone in zones.iter().filter(|zone| Some(*zone) != except) {
            match self
                .context
                .holder_client
                .charge_quota(zone, charge.clone())
                .await
            {
                Some(Ok(())) => {
                    self.quota_charge.mark_charged();
                    return ChargeOutcome::Charged;
                }
                Some(Err(wait)) if shortest.as_ref().is_none_or(|(least, _)| wait < *least) => {
                    shortest = Some((wait, zone.clone()));
                }
                Some(Err(_)) | None => {}
            }
        }
        shortest.map_or(ChargeOutcome::Unanswered, |(wait, zone)| {
            ChargeOutcome::UsedUp(wait, zone)
        })
    }

    /// Has the holder with the shortest wait assign a return time, after all holders have refused the call; `None` if that holder
    /// charged it meanwhile.
    pub(super) async fn assign_return(
        &mut self,
        wait: Duration,
        zone: &AvailabilityZone,
    ) -> Option<Duration> {
        let due = self.quota_charge.due().cloned();
        let (Some(mut charge), true) = (due, self.context.settings.returns.is_some()) else {
            return Some(wait);
        };
        let left_in_time = self.route.objective.saturating_sub(self.arrived.elapsed());
        // The call needs the other half of that time to be served.
        let within = (self.remaining() / RETURN_DIVISOR).min(left_in_time / 2);
        charge.return_within_ms = millis(within).max(1);
        let answer = self.context.holder_client.charge_quota(zone, charge);
        let assigned = match answer.await {
            Some(Ok(())) => {
                self.quota_charge.mark_charged();
                return None;
            }
            Some(Err(assigned)) => assigned,
            None => wait,
        };
        event!(Event::ReturnAssigned, request = self.head.id; "by the holder of {zone}, in {assigned:?}");
        Some(assigned)
    }

    /// Refunds the charge of a call that was not executed. A charge made more than [`REFUND_WINDOW`] ago stays, because its
    /// refund would be spent in another quota window.
    pub(super) fn refund_charge(&self) {
        if let CallCharge::Charged(charge, at) = &self.quota_charge
            && clock::now().since(*at) < REFUND_WINDOW
        {
            self.context.holder_client.refund(charge.clone());
        }
    }

    /// The answer to a call over its organisation's quota; it was not executed.
    pub(super) fn quota_answer(&mut self, retry_after: Duration) -> Response<AnswerBody> {
        let name = self
            .identity
            .organisation()
            .map(|organisation| &organisation.name);
        event!(Event::QuotaUsedUp, request = self.head.id; "route {} not run for {name:?}, retry after {retry_after:?}",
            self.route.name
        );
        self.count(RequestOutcome::Refused);
        own_answer(
            &self.head.id,
            StatusCode::TOO_MANY_REQUESTS,
            Some(retry_after),
        )
    }
}
