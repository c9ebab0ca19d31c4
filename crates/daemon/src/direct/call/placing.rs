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
/// Part of the time left to the objective that a call may wait without asking a second zone.
const SWIFT_PART: f64 = 0.75;
/// Wait, in objectives, beyond which a call is turned away; by rank, the most urgent first.
const BEARABLE_PARTS: [f64; 3] = [2.0, 1.5, 0.95];
/// Requests a second at one VM from which an adapter is at home in every zone.
const POPULAR_RATE: f64 = 0.4;

/// How much wait a placing allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PlacingPass {
    /// Only where the objective is kept.
    Swift,
    /// Wherever the wait is worth it.
    Bearable,
    /// The same after a pause.
    Again,
}

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
        if self.service.engine.is_none() {
            return match pick_target(&self.context.fleet, &self.service.name, &self.tried) {
                Some(entry) => Placing::At(entry, None, None),
                None => Placing::Nowhere(COME_BACK),
            };
        }
        let mut come_back = COME_BACK;
        let mut is_home_out = false;
        for pass in [
            PlacingPass::Swift,
            PlacingPass::Bearable,
            PlacingPass::Again,
        ] {
            if pass == PlacingPass::Again {
                // A zone that changes hands answers again within moments.
                sleep(PLACE_AGAIN).await;
            }
            let bound = self.wait_bound(pass);
            for (turn, zone) in self.zones_in_order().into_iter().enumerate() {
                // Another zone's load comes from the same store, so only what is there already counts in it, unless
                // nobody loads at home.
                let may_load = turn == 0 || is_home_out;
                let ask = self.ask(bound, may_load);
                match self.context.access.place(&zone, ask).await {
                    Some((
                        PlacementAnswer::Send {
                            target,
                            wait_ms,
                            version,
                            is_sought,
                        },
                        ticket,
                    )) => {
                        event!(Event::CallPlaced, request = self.head.id; "at {target} in {zone} after {:?} by a {pass:?} look, its adapter {} there in {wait_ms} ms",
                            self.arrived.elapsed(),
                            self.subject()
                        );
                        if is_sought {
                            self.context.fleet.note_sought(&self.subject());
                        }
                        let figures = &self.context.fleet.figures;
                        figures.note_placing(self.arrived.elapsed());
                        self.timeline.note_placed();
                        sleep(Duration::from_millis(u64::from(wait_ms))).await;
                        self.timeline.note_there();
                        let entry = self.context.fleet.books().catalog.get(&target).cloned();
                        // It may have begun to leave while the adapter came.
                        match entry.filter(|entry| entry.stage == TargetStage::Ready) {
                            Some(entry) => return Placing::At(entry, version, ticket),
                            None => self.tried.push(target),
                        }
                    }
                    Some((
                        PlacementAnswer::Refuse {
                            retry_after_ms,
                            cause,
                        },
                        _,
                    )) => {
                        self.refusals.push((zone, cause));
                        come_back = Duration::from_millis(u64::from(retry_after_ms));
                    }
                    None => {
                        is_home_out |= turn == 0;
                        if let Some(found) = self.place_alone(&zone) {
                            return found;
                        }
                    }
                }
            }
            if !self.has_time() {
                break;
            }
        }
        Placing::Nowhere(come_back)
    }

    /// Wait up to which a zone is asked to take the call.
    fn wait_bound(&self, pass: PlacingPass) -> Duration {
        let left = self.route.objective.saturating_sub(self.arrived.elapsed());
        let is_first = self.runs == 0;
        match pass {
            PlacingPass::Swift => left.mul_f64(SWIFT_PART),
            _ if !is_first => self.deadline.saturating_duration_since(Instant::now()),
            _ => {
                let parts = &BEARABLE_PARTS;
                let part = parts[usize::from(self.route.priority).min(parts.len() - 1)];
                self.route.objective.mul_f64(part)
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
            books.demand.rate(&subject, now) >= POPULAR_RATE || books.is_sought(&subject, now)
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

    fn ask(&self, bound: Duration, may_load: bool) -> PlacementAsk {
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
            may_load,
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
        let version = books.versions.get(&subject).copied();
        let now = clock::now();
        books
            .catalog
            .ready(&self.service.name)
            .filter(|entry| entry.zone == *zone && !self.tried.contains(&entry.name))
            .filter(|entry| !books.health.is_out(&entry.name, now))
            .filter(|entry| holds(entry, &subject, version))
            .min_by_key(|entry| books.in_flight.get(&entry.name).copied().unwrap_or(0))
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
