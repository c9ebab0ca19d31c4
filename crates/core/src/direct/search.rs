//! Which zones a gateway asks to take a call, in which order and on which terms.
//!
//! The call's home zone comes first: it takes the call if an engine that has the adapter keeps the objective. Otherwise
//! it says what the call would cost there, and each other zone may take it for less. The load that this answers: on a
//! heavy day half of the fleet's engines read nothing at any moment, while a call that needs an adapter loaded waits
//! behind the prompts of the four engines of its home. Comparing costs a few ms; a load waits for 250.
//!
//! After that the home zone takes it within what its rank can bear, and then whoever has the adapter; once more after a
//! pause, as a zone that changes hands answers again within moments.

use crate::direct::{
    millis,
    planner::{PlacementTerms, RefusalCause},
    policy::PlacementPolicy,
};
use std::time::Duration;

/// How far a search has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SearchPass {
    /// Zones are compared.
    Compare,
    /// Any zone takes it within what it can bear.
    Accept,
    /// The same after a pause.
    Retry,
}

/// The next question.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ZoneQuery {
    /// Place of the zone in the order of zones; 0 is the home zone.
    pub zone: usize,
    /// The pass.
    pub pass: SearchPass,
    /// The terms.
    pub terms: PlacementTerms,
    /// Whether the zone may load the adapter.
    pub may_load: bool,
}

/// One search for the zone that takes a call.
#[derive(Clone, Debug)]
pub struct ZoneSearch {
    policy: PlacementPolicy,
    zones: usize,
    next: (SearchPass, usize),
    is_home_out: bool,
    offer: Option<u32>,
    come_back_ms: Option<u32>,
}

impl ZoneSearch {
    /// A search over a number of zones.
    #[must_use]
    pub fn new(policy: PlacementPolicy, zones: usize) -> Self {
        Self {
            policy,
            zones,
            next: (SearchPass::Compare, 0),
            is_home_out: false,
            offer: None,
            come_back_ms: None,
        }
    }

    /// The next question; nothing once every zone has declined in every pass.
    pub fn next_query(&mut self) -> Option<ZoneQuery> {
        let (mut pass, mut zone) = self.next;
        let skips_others = pass == SearchPass::Compare && zone > 0 && self.is_home_out;
        if zone >= self.zones || skips_others {
            pass = match pass {
                SearchPass::Compare => SearchPass::Accept,
                SearchPass::Accept => SearchPass::Retry,
                SearchPass::Retry => return None,
            };
            zone = 0;
        }
        self.next = (pass, zone + 1);
        Some(ZoneQuery {
            zone,
            pass,
            terms: self.terms(pass, zone),
            // Every zone's loads come from the same store: beside the home zone only one that offers less loads, unless
            // nobody holds the home zone.
            may_load: zone == 0 || pass == SearchPass::Compare || self.is_home_out,
        })
    }

    fn terms(&self, pass: SearchPass, zone: usize) -> PlacementTerms {
        match (pass, zone) {
            (SearchPass::Compare, 0) => PlacementTerms::Inquire,
            (SearchPass::Compare, _) => {
                let away = millis(self.policy.remote_zone_penalty);
                PlacementTerms::Beat(self.offer.unwrap_or(u32::MAX).saturating_sub(away))
            }
            (SearchPass::Accept | SearchPass::Retry, _) => PlacementTerms::Take,
        }
    }

    /// A zone declined.
    pub fn record_refusal(&mut self, zone: usize, cause: RefusalCause, retry_after_ms: u32) {
        self.come_back_ms = Some(retry_after_ms);
        if let (0, RefusalCause::Offer(cost)) = (zone, cause) {
            self.offer = Some(cost);
        }
    }

    /// A zone did not answer.
    pub fn record_no_answer(&mut self, zone: usize) {
        self.is_home_out |= zone == 0;
    }

    /// When the caller should come back, by the last zone that declined.
    #[must_use]
    pub fn retry_after(&self) -> Option<Duration> {
        self.come_back_ms
            .map(|span| Duration::from_millis(u64::from(span)))
    }

    /// Wait for its first event that a call is placed for, by the time left to its objective.
    #[must_use]
    pub fn max_wait(
        &self,
        pass: SearchPass,
        priority: u8,
        objective: Duration,
        left: Duration,
    ) -> Duration {
        match pass {
            SearchPass::Compare => left.mul_f64(self.policy.home_wait_fraction),
            SearchPass::Accept | SearchPass::Retry => {
                let parts = &self.policy.max_wait_factors;
                objective.mul_f64(parts[usize::from(priority).min(parts.len() - 1)])
            }
        }
    }
}
