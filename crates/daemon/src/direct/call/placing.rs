//! Where the next send of a call goes.

use crate::{
    clock,
    direct::{
        access::CallTicket,
        call::{COME_BACK, CallState},
        whole::pick_target,
    },
    event,
    events::Event,
};
use hoplanding_core::{
    direct::{
        catalog::{TargetEntry, TargetStage},
        planner::{PlacementAnswer, PlacementAsk, split_subject},
        search::{SearchPass, ZoneQuestion, ZoneSearch},
    },
    ids::{AdapterName, AvailabilityZone},
};
use siphasher::sip::SipHasher13;
use std::{
    hash::{Hash, Hasher},
    sync::Arc,
    time::Duration,
};
use tokio::time::{Instant, sleep};

/// Time that a call waits before it is placed again.
const PLACE_AGAIN: Duration = Duration::from_millis(60);

/// Where the next send goes.
pub enum Placing {
    /// To this target, with the version to ask for.
    At(Arc<TargetEntry>, Option<u64>, Option<CallTicket>),
    /// Nowhere now; it is worth coming back after this.
    Nowhere(Duration),
}

impl CallState {
    /// Finds the target of the next send, and waits until it has what is asked for.
    pub async fn place(&mut self) -> Placing {
        self.refusals.clear();
        self.fetch = None;
        if self.service.engine.is_none() {
            return match pick_target(&self.context.fleet, &self.service.name, &self.tried) {
                Some(entry) => Placing::At(entry, None, None),
                None => Placing::Nowhere(COME_BACK),
            };
        }
        let zones = self.zones_in_order();
        let policy = self.context.fleet.books().policy;
        let mut search = ZoneSearch::new(policy, zones.len());
        let mut pass = SearchPass::Compare;
        while let Some(question) = search.ask_next() {
            if question.pass != pass {
                pass = question.pass;
                if !self.has_time() {
                    break;
                }
                if pass == SearchPass::Again {
                    sleep(PLACE_AGAIN).await;
                }
            }
            let zone = &zones[question.zone];
            if let Some(found) = self.ask_zone(zone, &question, &mut search).await {
                return found;
            }
        }
        Placing::Nowhere(search.come_back().unwrap_or(COME_BACK))
    }

    /// Asks one zone; nothing if it does not take the call.
    async fn ask_zone(
        &mut self,
        zone: &AvailabilityZone,
        question: &ZoneQuestion,
        search: &mut ZoneSearch,
    ) -> Option<Placing> {
        let ask = self.ask(question, search);
        let Some((answer, ticket)) = self.context.access.place(zone, ask).await else {
            search.take_silence(question.zone);
            // While the home zone's offer stands: a zone that can't be heard may be cut off with its targets.
            let is_compared = question.pass == SearchPass::Compare && question.zone > 0;
            return if is_compared {
                None
            } else {
                self.place_alone(zone)
            };
        };
        match answer {
            PlacementAnswer::Send {
                target,
                life,
                wait_ms,
                fetch,
                expected_ms,
                version,
                is_sought,
            } => {
                event!(Event::CallPlaced, request = self.head.id; "at {target} in {zone} after {:?}, its adapter {} of version {version:?} there in {wait_ms} ms, call {:?} of the holder",
                    self.arrived.elapsed(),
                    self.subject(),
                    ticket.as_ref().map(CallTicket::number)
                );
                if is_sought {
                    self.context.fleet.note_sought(&self.subject());
                }
                let figures = &self.context.fleet.figures;
                figures.note_placing(self.arrived.elapsed());
                self.timeline.note_placed(expected_ms);
                sleep(Duration::from_millis(u64::from(wait_ms))).await;
                self.timeline.note_there();
                let entry = self.context.fleet.books().catalog.get(&target).cloned();
                // It may have begun to leave while the adapter came.
                let Some(entry) = entry.filter(|entry| entry.stage == TargetStage::Ready) else {
                    self.tried.push(target);
                    return None;
                };
                if entry.life > life {
                    // It has started again meanwhile: what was placed there is gone.
                    return None;
                }
                self.fetch = fetch;
                Some(Placing::At(entry, version, ticket))
            }
            PlacementAnswer::Refuse {
                retry_after_ms,
                cause,
            } => {
                search.take_refusal(question.zone, cause, retry_after_ms);
                self.refusals.push((zone.clone(), cause));
                None
            }
        }
    }

    /// The adapter's home zone first. An adapter that this VM is asked for all the time, or that takes much of its home
    /// zone, is at home in the VM's own zone, so that the most popular ones are spread; so is a base model.
    fn zones_in_order(&self) -> Vec<AvailabilityZone> {
        let subject = self.subject();
        let own = &self.context.fleet.zone;
        let is_popular = {
            let now = clock::now();
            let books = self.context.fleet.books();
            books.demand.rate(&subject, now) >= books.policy.popular_per_s
                || books.is_sought(&subject, now)
        };
        let has_adapter = split_subject(&subject).1.is_some();
        let mut zones = self.context.settings.zones.clone();
        zones.sort_by_cached_key(|zone| {
            let is_first = zone == own && (is_popular || !has_adapter);
            let mut hasher = SipHasher13::new();
            zone.as_str().hash(&mut hasher);
            subject.as_str().hash(&mut hasher);
            (!is_first, hasher.finish())
        });
        zones
    }

    fn ask(&self, question: &ZoneQuestion, search: &ZoneSearch) -> PlacementAsk {
        let objective = self.route.objective;
        let left = objective.saturating_sub(self.arrived.elapsed());
        let bound = if self.runs > 0 && question.pass != SearchPass::Compare {
            // It has run already: its caller is served late rather than told that it failed.
            self.deadline.saturating_duration_since(Instant::now())
        } else {
            search.wait_bound(question.pass, self.route.priority, objective, left)
        };
        let output = self
            .head
            .output_hint
            .unwrap_or(self.head.most_output / 2)
            .min(self.head.most_output.max(1));
        PlacementAsk {
            subject: self.subject(),
            prompt_tokens: self.head.prompt_tokens,
            output_tokens: output,
            prefix: self.head.prefix.clone(),
            priority: self.route.priority,
            bound_ms: u32::try_from(bound.as_millis()).unwrap_or(u32::MAX),
            exclude: self.tried.clone(),
            may_load: question.may_load,
            terms: question.terms,
        }
    }

    pub(super) fn subject(&self) -> AdapterName {
        self.head
            .subject
            .clone()
            .unwrap_or_else(|| AdapterName::new(""))
    }

    /// Places a call without its holder: at a target that is listed with its adapter.
    fn place_alone(&self, zone: &AvailabilityZone) -> Option<Placing> {
        let subject = self.subject();
        let books = self.context.fleet.books();
        // New weights of a base model bind no call: engines have them from their next start on.
        let has_adapter = split_subject(&subject).1.is_some();
        let named = books.versions.get(&subject).filter(|_| has_adapter);
        let version = named.copied();
        let now = clock::now();
        books
            .catalog
            .ready(&self.service.name)
            .filter(|entry| entry.zone == *zone && !self.tried.contains(&entry.name))
            .filter(|entry| !books.health.is_out(&entry.name, now))
            .filter(|entry| holds(entry, &subject, version))
            .min_by_key(|entry| books.in_flight.get(&entry.run()).copied().unwrap_or(0))
            .map(|entry| Placing::At(Arc::clone(entry), version, None))
    }
}

fn holds(entry: &TargetEntry, subject: &AdapterName, version: Option<u64>) -> bool {
    if !subject.as_str().contains('/') {
        return entry
            .models
            .iter()
            .any(|(model, _)| model == subject.as_str());
    }
    entry.adapters.iter().any(|resident| {
        resident.adapter == *subject && version.is_none_or(|version| resident.version >= version)
    })
}
