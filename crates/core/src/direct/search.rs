//! Search of a gateway for the zone that takes a call: the order of the queried zones and the terms.
//!
//! The first query goes to the home zone of the call. It takes the call if an engine that has the adapter can keep the
//! objective; otherwise it offers a cost, and each other zone may take the call at a lower one. Without this
//! comparison, a call that needs an adapter load waits behind the prompts of the four engines of its home zone, while
//! under heavy load half of the fleet's engines are not reading a prompt at any moment. Asking the zones takes a few
//! ms, a load about 250 ms.
//!
//! If no zone takes the call on these terms, the home zone is requested to take it within the longest wait for its rank,
//! and then every zone that has the adapter. This is repeated once after a pause, as a zone whose holder changes
//! answers again after a moment.
//!
//! If every zone has answered that it is short, the repeated pass finds the same shortage: under load, half of the
//! refused calls were held for 170 ms that way, with an objective of 600 ms. [`ZoneSearch::ending_when_short`] refuses
//! such a call at once and repeats the pass only for a zone that did not answer, a load that failed or a target that left.

use crate::direct::{
    millis,
    planner::{PlacementTerms, RefusalCause},
    policy::PlacementPolicy,
};
use std::time::Duration;

/// Pass of a search over the zones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SearchPass {
    /// The costs of the zones are compared.
    Compare,
    /// Any zone may take the call within the longest wait for its rank.
    Accept,
    /// Repeats `Accept` after a pause.
    Retry,
}

/// Question to one zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ZoneQuery {
    /// Index in the order of zones; 0 is the home zone.
    pub zone: usize,
    /// Pass to which the question belongs.
    pub pass: SearchPass,
    /// Terms of the placement.
    pub terms: PlacementTerms,
    /// Whether the zone may load the adapter for the call.
    pub may_load: bool,
}

/// Search for the zone that takes one call.
#[derive(Clone, Debug)]
pub struct ZoneSearch {
    policy: PlacementPolicy,
    zones: usize,
    next: (SearchPass, usize),
    is_home_silent: bool,
    offer: Option<u32>,
    retry_after_ms: Option<u32>,
    /// Whether the last pass is repeated only after a fault.
    ends_when_short: bool,
    /// Whether a zone of this pass failed to answer, to load or to keep its target.
    has_fault: bool,
}

impl ZoneSearch {
    /// Starts a search over a number of zones.
    #[must_use]
    pub fn new(policy: PlacementPolicy, zones: usize) -> Self {
        Self {
            policy,
            zones,
            next: (SearchPass::Compare, 0),
            is_home_silent: false,
            offer: None,
            retry_after_ms: None,
            ends_when_short: false,
            has_fault: false,
        }
    }

    /// Ends the search once all zones have answered that they are short of capacity.
    #[must_use]
    pub fn ending_when_short(mut self) -> Self {
        self.ends_when_short = true;
        self
    }

    /// Next question; none once every zone has declined in every pass.
    pub fn next_query(&mut self) -> Option<ZoneQuery> {
        let (mut pass, mut zone) = self.next;
        let skips_others = pass == SearchPass::Compare && zone > 0 && self.is_home_silent;
        if zone >= self.zones || skips_others {
            pass = match pass {
                SearchPass::Compare => SearchPass::Accept,
                SearchPass::Accept if self.ends_when_short && !self.has_fault => return None,
                SearchPass::Accept => SearchPass::Retry,
                SearchPass::Retry => return None,
            };
            zone = 0;
            self.has_fault = false;
        }
        self.next = (pass, zone + 1);
        Some(ZoneQuery {
            zone,
            pass,
            terms: self.terms(pass, zone),
            // All zones load from the same store. So apart from the home zone, only a zone that takes the call at a
            // lower cost loads the adapter, unless the home zone does not answer.
            may_load: zone == 0 || pass == SearchPass::Compare || self.is_home_silent,
        })
    }

    fn terms(&self, pass: SearchPass, zone: usize) -> PlacementTerms {
        match (pass, zone) {
            (SearchPass::Compare, 0) => PlacementTerms::Inquire,
            (SearchPass::Compare, _) => {
                let penalty = millis(self.policy.remote_zone_penalty);
                PlacementTerms::Beat(self.offer.unwrap_or(u32::MAX).saturating_sub(penalty))
            }
            (SearchPass::Accept | SearchPass::Retry, _) => PlacementTerms::Take,
        }
    }

    /// Records that a zone declined.
    pub fn record_refusal(&mut self, zone: usize, cause: RefusalCause, retry_after_ms: u32) {
        self.retry_after_ms = Some(retry_after_ms);
        if let (0, RefusalCause::Offer(cost)) = (zone, cause) {
            self.offer = Some(cost);
        }
        self.has_fault |= matches!(cause, RefusalCause::LoadsFailed | RefusalCause::LoadLate);
    }

    /// Records that the target chosen by a zone left or restarted before the call was sent.
    pub fn record_lost_target(&mut self) {
        self.has_fault = true;
    }

    /// Records that a zone did not answer.
    pub fn record_no_answer(&mut self, zone: usize) {
        self.is_home_silent |= zone == 0;
        self.has_fault = true;
    }

    /// Retry delay from the last zone that declined.
    #[must_use]
    pub fn retry_after(&self) -> Option<Duration> {
        self.retry_after_ms
            .map(|span| Duration::from_millis(u64::from(span)))
    }

    /// Longest wait for the first event with which a call is placed in a pass.
    ///
    /// `left` is the time left to the objective of the call.
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
