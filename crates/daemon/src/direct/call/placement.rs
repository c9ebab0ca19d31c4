//! Where the next send of a call goes.

use crate::{
    clock,
    direct::{
        call::{COME_BACK, CallState, payment::PaymentOutcome},
        holder_client::PlacedCall,
        message::FeedTopic,
    },
    event,
    events::Event,
};
use hoplanding_core::{
    direct::{
        catalog::{TargetEntry, TargetStage},
        millis,
        plain::{PlainRequest, pick_without_holder, placement_zones},
        planner::{PlacementAnswer, PlacementRequest, RefusalCause, split_subject},
        search::{SearchPass, ZoneQuery, ZoneSearch},
        suspects::Suspicion,
        trials::TrialAnswer,
    },
    ids::{AdapterName, AvailabilityZone, TargetName},
};
use siphasher::sip::SipHasher13;
use std::{
    hash::{Hash, Hasher},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};
use tokio::time::sleep;

/// Time that a call waits before it is placed again.
const PLACE_AGAIN: Duration = Duration::from_millis(60);

/// Time after a rest over which callers that were refused in it are told to come back.
const REST_SPREAD: Duration = Duration::from_millis(600);

/// Where the next send goes.
pub enum CallPlacement {
    /// To this target, with the version to ask for.
    At(Arc<TargetEntry>, Option<u64>, Option<PlacedCall>),
    /// Nowhere now; it is worth coming back after this.
    Unavailable(Duration),
    /// Nowhere, as its organisation's quota is used up until then.
    OverQuota(Duration),
}

impl CallState {
    /// Finds the target of the next send, and waits until it has what is asked for.
    pub async fn place(&mut self) -> CallPlacement {
        self.refusals.clear();
        self.fetch_source = None;
        self.is_limited = false;
        if let Some(come_back) = self.rest_of_all() {
            return CallPlacement::Unavailable(come_back);
        }
        if !self.context.fleet.is_topic_known(FeedTopic::Fleet) {
            // It may be a suspect.
            return CallPlacement::Unavailable(COME_BACK);
        }
        if self.is_suspected()
            && let Some(barred) = self.ask_trial().await
        {
            return barred;
        }
        if self.service.engine.is_none() {
            return self.place_plain().await;
        }
        let zones = self.zones_in_order();
        let policy = self.context.fleet.tables().policy;
        let mut search = ZoneSearch::new(policy, zones.len());
        let mut pass = SearchPass::Compare;
        while let Some(question) = search.next_query() {
            if question.pass != pass {
                pass = question.pass;
                if !self.has_time() {
                    break;
                }
                if pass == SearchPass::Retry {
                    sleep(PLACE_AGAIN).await;
                }
            }
            let zone = &zones[question.zone];
            if let Some(found) = self.ask_zone(zone, &question, &mut search).await {
                return found;
            }
        }
        CallPlacement::Unavailable(search.retry_after().unwrap_or(COME_BACK))
    }

    /// Finds the target of a plain service's call: the holder that places them knows of all that are under way.
    async fn place_plain(&mut self) -> CallPlacement {
        let zones = placement_zones(&self.service.name, &self.context.settings.zones);
        for zone in &zones {
            let mut asked = self.ask_plain(zone).await;
            if is_refused_for(&asked, RefusalCause::NeedsTrial) {
                if let Some(barred) = self.ask_trial().await {
                    return barred;
                }
                asked = self.ask_plain(zone).await;
            }
            if let Some((
                PlacementAnswer::Refuse {
                    retry_after_ms,
                    cause,
                },
                _,
            )) = &asked
                && *cause == RefusalCause::QuotaUsedUp
            {
                let retry_after = Duration::from_millis(u64::from(*retry_after_ms));
                if let Some(unpaid) = self.unpaid(Some(zone), Some(retry_after)).await {
                    return unpaid;
                }
                asked = self.ask_plain(zone).await;
            }
            match asked {
                Some((
                    PlacementAnswer::Send {
                        target,
                        wait_ms,
                        is_limited,
                        ..
                    },
                    placed_call,
                )) => {
                    self.payment.settle();
                    self.is_limited = is_limited;
                    sleep(Duration::from_millis(u64::from(wait_ms))).await;
                    let entry = self.entry_of(zone, &target).await;
                    match entry.filter(|entry| entry.stage == TargetStage::Ready) {
                        Some(entry) => return CallPlacement::At(entry, None, placed_call),
                        // It has left as far as this VM knows.
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
                    self.refusals.push((zone.clone(), cause));
                    return CallPlacement::Unavailable(Duration::from_millis(u64::from(
                        retry_after_ms,
                    )));
                }
                None => {}
            }
        }
        if let Some(unpaid) = self.unpaid(None, None).await {
            return unpaid;
        }
        self.pick_without_holder()
    }

    async fn ask_plain(
        &self,
        zone: &AvailabilityZone,
    ) -> Option<(PlacementAnswer, Option<PlacedCall>)> {
        let left = self.route.objective.saturating_sub(self.arrived.elapsed());
        let ask = PlainRequest {
            service: self.service.name.clone(),
            rank: self.rank,
            left_ms: millis(left),
            exclude: self.tried.clone(),
            resting: self.resting(),
            fingerprint: self.fingerprint,
            is_trial: self.trial.is_some(),
            charge: self.payment.due().cloned(),
        };
        self.context.holder_client.place_plain(zone, ask).await
    }

    /// Picks a plain service's target by what this VM sees alone.
    fn pick_without_holder(&self) -> CallPlacement {
        let mut tables = self.context.fleet.tables();
        let now = clock::now();
        let ready = tables.catalog.ready(&self.service.name);
        let targets: Vec<_> = ready
            .filter(|entry| tables.limits.wait(&entry.name, now).is_zero())
            .filter(|entry| tables.rests.remaining(&entry.run(), now).is_none())
            .cloned()
            .collect();
        let picked = pick_without_holder(
            &self.context.fleet.zone,
            &tables.health,
            &tables.in_flight,
            &self.tried,
            &targets,
            now,
        );
        let Some(entry) = picked else {
            return CallPlacement::Unavailable(COME_BACK);
        };
        tables.limits.take_token(&entry.name, now);
        CallPlacement::At(Arc::clone(entry), None, None)
    }

    /// Asks one zone; nothing if it does not take the call.
    async fn ask_zone(
        &mut self,
        zone: &AvailabilityZone,
        question: &ZoneQuery,
        search: &mut ZoneSearch,
    ) -> Option<CallPlacement> {
        let ask = self.ask(question, search);
        let Some((answer, placed_call)) = self.context.holder_client.place(zone, ask).await else {
            search.record_no_answer(question.zone);
            // While the home zone's offer stands: a zone that can't be heard may be cut off with its targets.
            let is_compared = question.pass == SearchPass::Compare && question.zone > 0;
            if is_compared {
                return None;
            }
            let placing = self.place_alone(zone)?;
            let unpaid = self.unpaid(Some(zone), None).await;
            return Some(unpaid.unwrap_or(placing));
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
                is_limited,
            } => {
                event!(Event::CallPlaced, request = self.head.id; "at {target} in {zone} after {:?}, its adapter {} of version {version:?} there in {wait_ms} ms, call {:?} of the holder",
                    self.arrived.elapsed(),
                    self.subject(),
                    placed_call.as_ref().map(PlacedCall::number)
                );
                self.payment.settle();
                self.is_limited = is_limited;
                if is_sought {
                    self.context.fleet.note_sought(&self.subject());
                }
                let metrics = &self.context.fleet.metrics;
                metrics.note_placing(self.arrived.elapsed());
                self.timeline.note_placed(expected_ms);
                let lease = self.context.fleet.lease(zone);
                sleep(Duration::from_millis(u64::from(wait_ms))).await;
                self.timeline.note_there();
                let is_led = lease == self.context.fleet.lease(zone);
                let entry = self.entry_of(zone, &target).await;
                // It may have begun to leave while the adapter came.
                let Some(entry) = entry.filter(|entry| entry.stage == TargetStage::Ready) else {
                    self.tried.push(target);
                    return None;
                };
                if entry.life > life {
                    // It has started again meanwhile: what was placed there is gone.
                    return None;
                }
                // Another holder knows nothing of the loan, and an address may have passed to another target.
                self.fetch_source = fetch.filter(|source| is_led && self.is_one_targets(*source));
                Some(CallPlacement::At(entry, version, placed_call))
            }
            PlacementAnswer::Refuse {
                retry_after_ms,
                cause,
            } => {
                self.refusals.push((zone.clone(), cause));
                let retry_after = Duration::from_millis(u64::from(retry_after_ms));
                match cause {
                    RefusalCause::NeedsTrial => match self.ask_trial().await {
                        None => Box::pin(self.ask_zone(zone, question, search)).await,
                        barred => barred,
                    },
                    RefusalCause::QuotaUsedUp => {
                        match self.unpaid(Some(zone), Some(retry_after)).await {
                            // The zone has not looked at the call itself yet.
                            None => Box::pin(self.ask_zone(zone, question, search)).await,
                            unpaid => unpaid,
                        }
                    }
                    _ => {
                        search.record_refusal(question.zone, cause, retry_after_ms);
                        None
                    }
                }
            }
        }
    }

    /// The entry of a target at which a zone's holder placed the call. A VM that does not know the target list yet asks that
    /// holder for it.
    async fn entry_of(
        &self,
        zone: &AvailabilityZone,
        target: &TargetName,
    ) -> Option<Arc<TargetEntry>> {
        let fleet = &self.context.fleet;
        let known = || fleet.tables().catalog.get(target).cloned();
        if known().is_none() && !fleet.is_topic_known(FeedTopic::Targets) {
            self.context.holder_client.learn_target(zone, target).await;
        }
        known()
    }

    /// Pays for the call; says where it goes if that can't be done. A zone `but` is not asked: it is silent, or will
    /// have enough after `known`.
    async fn unpaid(
        &mut self,
        but: Option<&AvailabilityZone>,
        known: Option<Duration>,
    ) -> Option<CallPlacement> {
        let used_up = match self.pay(but).await {
            PaymentOutcome::Settled => return None,
            PaymentOutcome::UsedUp(other) => Some(known.map_or(other, |known| known.min(other))),
            PaymentOutcome::Unanswered => known,
        };
        Some(used_up.map_or(
            CallPlacement::Unavailable(COME_BACK),
            CallPlacement::OverQuota,
        ))
    }

    /// Whether one target is listed at an address.
    fn is_one_targets(&self, address: SocketAddr) -> bool {
        let tables = self.context.fleet.tables();
        let listed = tables
            .catalog
            .iter()
            .filter(|entry| entry.address == address);
        listed.count() == 1
    }

    /// The adapter's home zone first. An adapter that this VM is asked for all the time, or that takes much of its home
    /// zone, is at home in the VM's own zone, so that the most popular ones are spread; so is a base model.
    fn zones_in_order(&self) -> Vec<AvailabilityZone> {
        let subject = self.subject();
        let own = &self.context.fleet.zone;
        let is_popular = {
            let now = clock::now();
            let tables = self.context.fleet.tables();
            tables.demand.rate(&subject, now) >= tables.policy.popular_rate_per_s
                || tables.is_sought(&subject, now)
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

    fn ask(&self, question: &ZoneQuery, search: &ZoneSearch) -> PlacementRequest {
        let objective = self.route.objective;
        let left = objective.saturating_sub(self.arrived.elapsed());
        let bound = if self.runs > 0 && question.pass != SearchPass::Compare {
            // It has run already: its caller is served late rather than told that it failed.
            self.remaining()
        } else {
            search.max_wait(question.pass, self.rank, objective, left)
        };
        let output = self
            .head
            .output_tokens_hint
            .unwrap_or(self.head.max_output_tokens / 2)
            .min(self.head.max_output_tokens.max(1));
        PlacementRequest {
            subject: self.subject(),
            prompt_tokens: self.head.prompt_tokens,
            output_tokens: output,
            prefix: self.head.prompt_prefix.clone(),
            priority: self.rank,
            bound_ms: millis(bound),
            exclude: self.tried.clone(),
            resting: self.resting(),
            may_load: question.may_load,
            terms: question.terms,
            fingerprint: self.fingerprint,
            is_trial: self.trial.is_some(),
            charge: self.payment.due().cloned(),
        }
    }

    /// Targets that want nothing from this VM now.
    fn resting(&self) -> Vec<TargetName> {
        self.context.fleet.tables().resting(clock::now())
    }

    /// When its caller should come back if every target of its service wants nothing from this VM. Callers are spread, as the
    /// first of them to come back finds out whether the targets take calls again.
    pub(super) fn rest_of_all(&self) -> Option<Duration> {
        let tables = self.context.fleet.tables();
        let rest = tables.shortest_rest(&self.service.name, clock::now())?;
        Some(rest + REST_SPREAD.mul_f64(rand::random()))
    }

    /// Whether targets ended under the request, as far as this VM knows.
    fn is_suspected(&self) -> bool {
        let tables = self.context.fleet.tables();
        tables.suspects.suspicion(self.fingerprint, clock::now()) != Suspicion::Clear
    }

    /// Asks for a trial unless one is granted already; says where the call goes if none is.
    async fn ask_trial(&mut self) -> Option<CallPlacement> {
        if self.trial.is_some() {
            return None;
        }
        let zones = &self.context.settings.zones;
        let asked = self
            .context
            .holder_client
            .ask_trial(zones, self.fingerprint)
            .await;
        let Some((answer, permit)) = asked else {
            return Some(CallPlacement::Unavailable(COME_BACK));
        };
        let (retry_after_ms, is_running) = match answer {
            TrialAnswer::Granted | TrialAnswer::Clear => {
                self.trial = Some(permit);
                return None;
            }
            TrialAnswer::Refused {
                retry_after_ms,
                is_running,
            } => (retry_after_ms, is_running),
        };
        let cause = if is_running {
            RefusalCause::TrialRuns
        } else {
            RefusalCause::Quarantined
        };
        self.refusals.push((permit.zone().clone(), cause));
        let retry_after = Duration::from_millis(u64::from(retry_after_ms));
        Some(CallPlacement::Unavailable(retry_after))
    }

    pub(super) fn subject(&self) -> AdapterName {
        self.head
            .subject
            .clone()
            .unwrap_or_else(|| AdapterName::new(""))
    }

    /// Places a call without its holder: at a target that is listed with its adapter.
    fn place_alone(&self, zone: &AvailabilityZone) -> Option<CallPlacement> {
        let subject = self.subject();
        let mut tables = self.context.fleet.tables();
        // New weights of a base model bind no call: engines have them from their next start on.
        let has_adapter = split_subject(&subject).1.is_some();
        let named = tables.versions.get(&subject).filter(|_| has_adapter);
        let version = named.copied();
        let now = clock::now();
        let entry = tables
            .catalog
            .ready(&self.service.name)
            .filter(|entry| entry.zone == *zone && !self.tried.contains(&entry.name))
            .filter(|entry| !tables.health.is_unreachable(&entry.name, now))
            .filter(|entry| tables.limits.wait(&entry.name, now).is_zero())
            .filter(|entry| tables.rests.remaining(&entry.run(), now).is_none())
            .filter(|entry| holds(entry, &subject, version))
            .min_by_key(|entry| tables.in_flight.get(&entry.run()).copied().unwrap_or(0))
            .cloned()?;
        tables.limits.take_token(&entry.name, now);
        // The holder does not know of this call: it must not make memory that is taken for another version's.
        let version = version.or_else(|| listed_version(&entry, &subject));
        Some(CallPlacement::At(entry, version, None))
    }
}

fn is_refused_for(
    asked: &Option<(PlacementAnswer, Option<PlacedCall>)>,
    why: RefusalCause,
) -> bool {
    matches!(asked, Some((PlacementAnswer::Refuse { cause, .. }, _)) if *cause == why)
}

/// The version of an adapter, or of a base model, by its target's entry.
fn listed_version(entry: &TargetEntry, subject: &AdapterName) -> Option<u64> {
    let mut adapters = entry.adapters.iter();
    let adapter = adapters.find(|resident| resident.adapter == *subject);
    let mut models = entry.models.iter();
    let model = models.find(|(model, _)| model == subject.as_str());
    let version = adapter
        .map(|resident| resident.version)
        .or(model.map(|(_, version)| *version));
    version.filter(|version| *version > 0)
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
