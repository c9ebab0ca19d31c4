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
//!
//! With [`ZoneSearch::with_prospects`], zones whose reports show that they can't beat the offer are not asked. If none of
//! the others may have capacity to spare, there is nothing to compare and the first zone is requested to take the call at
//! once. Before the call is refused, each other zone that reports free slots is asked for one, and may load the adapter.

use crate::{
    direct::{
        millis,
        planner::{PlacementTerms, RefusalCause, split_subject},
        policy::PlacementPolicy,
        zone_choice::{ZoneCost, ZoneProspect},
    },
    ids::{AdapterName, AvailabilityZone},
};
use siphasher::sip::SipHasher13;
use std::{
    hash::{Hash, Hasher},
    time::Duration,
};

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
    /// What is known of the zones, in their order; empty if nothing is.
    prospects: Vec<ZoneProspect>,
    /// Whether each of these zones was asked to beat the offer.
    compared: Vec<bool>,
    /// Requests that were not made because of reports.
    skipped: u32,
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
            prospects: Vec::new(),
            compared: Vec::new(),
            skipped: 0,
        }
    }

    /// Starts a search over zones of which reports are known. It ends once all zones have answered that they are short.
    #[must_use]
    pub fn with_prospects(policy: PlacementPolicy, prospects: Vec<ZoneProspect>) -> Self {
        let others_are_unable = prospects.iter().skip(1).all(|zone| !zone.is_able());
        let mut search = Self::new(policy, prospects.len()).ending_when_short();
        if others_are_unable && !prospects.is_empty() {
            search.next = (SearchPass::Accept, 0);
        }
        search.compared = vec![false; prospects.len()];
        search.prospects = prospects;
        search
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
        loop {
            let skips_others = pass == SearchPass::Compare && zone > 0 && self.has_no_offer();
            if zone >= self.zones || skips_others {
                pass = self.following_pass(pass)?;
                zone = 0;
                self.has_fault = false;
            } else if self.can_serve(pass, zone) {
                break;
            } else {
                self.skipped += 1;
                zone += 1;
            }
        }
        self.next = (pass, zone + 1);
        if pass == SearchPass::Compare
            && let Some(is_compared) = self.compared.get_mut(zone)
        {
            *is_compared = true;
        }
        Some(ZoneQuery {
            zone,
            pass,
            terms: self.terms(pass, zone),
            may_load: self.may_load(pass, zone),
        })
    }

    /// Whether there is no offer to beat: the home zone does not answer or, if the reports of all others show where else to
    /// ask, has no engine for the call.
    fn has_no_offer(&self) -> bool {
        let mut others = self.prospects.iter().skip(1);
        let are_reported =
            !self.prospects.is_empty() && others.all(|zone| zone.cost != ZoneCost::Unknown);
        self.is_home_silent || (are_reported && self.offer.is_none())
    }

    fn following_pass(&self, pass: SearchPass) -> Option<SearchPass> {
        match pass {
            SearchPass::Compare => Some(SearchPass::Accept),
            SearchPass::Accept if self.ends_when_short && !self.has_fault => None,
            SearchPass::Accept => Some(SearchPass::Retry),
            SearchPass::Retry => None,
        }
    }

    /// Whether a zone may load the adapter. All zones load from the same store. So apart from the home zone, only a zone
    /// that takes the call at a lower cost loads the adapter, unless the home zone does not answer.
    fn may_load(&self, pass: SearchPass, zone: usize) -> bool {
        zone == 0 || pass == SearchPass::Compare || self.is_home_silent || self.takes_refused(zone)
    }

    /// Whether a zone may serve the call on the terms of a pass, by its report. The first zone always decides itself.
    fn can_serve(&self, pass: SearchPass, zone: usize) -> bool {
        let Some(prospect) = self.prospects.get(zone).filter(|_| zone > 0) else {
            return true;
        };
        match (prospect.cost, pass) {
            (ZoneCost::Unknown, _) => true,
            (ZoneCost::Stale, _) => self.is_home_silent,
            (ZoneCost::Unable, SearchPass::Compare) => false,
            (ZoneCost::AtLeast(cost), SearchPass::Compare) => {
                prospect.has_adapter || millis(cost) < self.limit_for(zone)
            }
            // A zone that was compared has said what it can do.
            (_, SearchPass::Accept) => prospect.takes_refused && !self.compared[zone],
            (_, SearchPass::Retry) => prospect.takes_refused,
        }
    }

    /// Whether a zone other than the first may take a call that the first one refused, by its report.
    fn takes_refused(&self, zone: usize) -> bool {
        let prospect = self.prospects.get(zone).filter(|_| zone > 0);
        prospect.is_some_and(|prospect| prospect.takes_refused)
    }

    /// Cost below which a zone may take the call in place of the home zone.
    fn limit_for(&self, zone: usize) -> u32 {
        let transfer = |zone: usize| {
            let prospect = self.prospects.get(zone);
            prospect.map_or(0, |prospect| millis(prospect.transfer))
        };
        let penalty = millis(self.policy.remote_zone_penalty);
        let offer = self.offer.unwrap_or(u32::MAX);
        offer
            .saturating_add(transfer(0))
            .saturating_sub(penalty.saturating_add(transfer(zone)))
    }

    fn terms(&self, pass: SearchPass, zone: usize) -> PlacementTerms {
        match (pass, zone) {
            (SearchPass::Compare, 0) => PlacementTerms::Inquire,
            (SearchPass::Compare, _) => PlacementTerms::Beat(self.limit_for(zone)),
            // Such a zone takes the call only if it can serve it now: a queue there is for calls of its own.
            (SearchPass::Accept | SearchPass::Retry, _) if self.takes_refused(zone) => {
                PlacementTerms::Beat(u32::MAX)
            }
            (SearchPass::Accept | SearchPass::Retry, _) => PlacementTerms::Take,
        }
    }

    /// What is known of a zone from its report.
    #[must_use]
    pub fn prospect(&self, zone: usize) -> Option<&ZoneProspect> {
        self.prospects.get(zone)
    }

    /// Requests to zones that were not made because of their reports.
    #[must_use]
    pub fn skipped(&self) -> u32 {
        self.skipped
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

    /// Records that a question was not asked, as a newer report shows that the zone can't serve the call.
    pub fn record_skip(&mut self) {
        self.skipped += 1;
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

/// Zones by rendezvous hashing of the subject, the home zone first. Base models, and adapters that are requested often at
/// a VM or take up much of their home zone, have the VM's own zone first, so that their load is spread over zones.
#[must_use]
pub fn ordered_zones(
    subject: &AdapterName,
    zones: &[AvailabilityZone],
    own: &AvailabilityZone,
    is_popular: bool,
) -> Vec<AvailabilityZone> {
    let has_adapter = split_subject(subject).1.is_some();
    let mut zones = zones.to_vec();
    zones.sort_by_cached_key(|zone| {
        let is_first = zone == own && (is_popular || !has_adapter);
        let mut hasher = SipHasher13::new();
        zone.as_str().hash(&mut hasher);
        subject.as_str().hash(&mut hasher);
        (!is_first, hasher.finish())
    });
    zones
}
