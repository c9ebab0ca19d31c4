//! Choosing the target of the next send of a call.
//!
//! Calls for engines ask the holders of the zones in order of preference; calls for plain services ask the one holder that
//! places them. Where no holder answers, the gateway chooses among the targets that it knows itself.

use crate::{
    clock,
    direct::{
        call::{
            CallState, DEFAULT_RETRY_AFTER, quota_charge::ChargeOutcome,
            zone_preference::departure_cause,
        },
        holder_client::PlacedCall,
        message::FeedTopic,
        metrics::MismatchSide,
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
        search::{SearchPass, ZoneQuery, ZoneSearch, ordered_zones},
    },
    ids::{AdapterName, AvailabilityZone, TargetName},
};
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::time::sleep;

/// Pause of a call before the last pass over the zones.
const REPLACE_DELAY: Duration = Duration::from_millis(60);

/// Jitter added to the `Retry-After` of calls that are refused because all targets requested a backoff.
const BACKOFF_JITTER: Duration = Duration::from_millis(600);

/// `Retry-After` of calls whose stream was begun by a software version that no target runs any more, longer than callers
/// wait.
const NO_VERSION_RETRY_AFTER: Duration = Duration::from_secs(24 * 3_600);

/// Bounds of the `Retry-After` of calls that are refused because no target can be reached. Lost paths are checked several
/// times a second, and the jitter spreads the callers that return.
const MIN_PATH_RETURN_TIME: Duration = Duration::from_millis(500);
const PATH_RETURN_JITTER: Duration = Duration::from_millis(1_000);

/// Where the next send goes.
pub enum CallPlacement {
    /// To this target, with the version to expect, and the holder's record of the call if a holder placed it.
    At(Arc<TargetEntry>, Option<u64>, Option<PlacedCall>),
    /// No target can take the call now; the time after which the caller should retry.
    Unavailable(Duration),
    /// The organisation's quota is used up; the time until enough of it is left again.
    OverQuota(Duration),
}

impl CallState {
    /// Finds the target of the next send, and waits until its adapter is expected to be loaded.
    pub async fn place(&mut self) -> CallPlacement {
        self.refusals.clear();
        self.foreign_zones.clear();
        self.fetch_source = None;
        self.is_limited = false;
        if let Some(retry_after) = self.backoff_of_all() {
            return CallPlacement::Unavailable(retry_after);
        }
        if let Some(refused) = self.exclude_closed_zones() {
            return refused;
        }
        if let Some(refused) = self.exclude_versions() {
            return refused;
        }
        if !self.context.fleet.is_topic_known(FeedTopic::Fleet) {
            // The request may be a suspect whose record this VM has not read yet.
            return CallPlacement::Unavailable(DEFAULT_RETRY_AFTER);
        }
        let suspects = self.untried_suspects();
        if let Some(refused) = self.request_trials(&suspects).await {
            return refused;
        }
        if self.service.engine.is_none() {
            return self.place_plain().await;
        }
        let (zones, mut search) = self.start_search();
        let placement = self.search_zones(&zones, &mut search).await;
        self.record_skipped_zones(&search);
        placement
    }

    /// Asks the zones in turn until one of them takes the call.
    async fn search_zones(
        &mut self,
        zones: &[AvailabilityZone],
        search: &mut ZoneSearch,
    ) -> CallPlacement {
        let mut pass = SearchPass::Compare;
        while let Some(query) = search.next_query() {
            if query.pass != pass {
                pass = query.pass;
                if !self.has_retry_time() {
                    break;
                }
                if pass == SearchPass::Retry {
                    sleep(REPLACE_DELAY).await;
                }
            }
            if !self.may_still_ask(search.prospect(query.zone)) {
                search.record_skip();
                continue;
            }
            let zone = &zones[query.zone];
            if let Some(found) = self.ask_zone(zone, &query, search).await {
                return found;
            }
        }
        CallPlacement::Unavailable(search.retry_after().unwrap_or(DEFAULT_RETRY_AFTER))
    }

    /// Leaves out the zones that can't be reached from this VM, neither directly nor through another VM. Returns the
    /// refusal of the call if no zone is left.
    fn exclude_closed_zones(&mut self) -> Option<CallPlacement> {
        for zone in self.context.pool.closed_zones() {
            if !self.closed_zones.contains(&zone) {
                self.closed_zones.push(zone);
            }
        }
        if self.closed_zones.is_empty() {
            return None;
        }
        let tables = self.context.fleet.tables();
        let mut targets = tables.catalog.ready(&self.service.name);
        let is_reachable = targets.any(|entry| !self.closed_zones.contains(&entry.zone));
        (!is_reachable).then(|| {
            let jitter = PATH_RETURN_JITTER.mul_f64(rand::random());
            CallPlacement::Unavailable(MIN_PATH_RETURN_TIME + jitter)
        })
    }

    /// Leaves out targets of other software versions than the stream's, or for a new stream those at which none may begin
    /// yet. Returns the refusal of the call if no target is left.
    fn exclude_versions(&mut self) -> Option<CallPlacement> {
        if self.software.is_some() {
            let is_lost = !self.has_fitting_target();
            return is_lost.then_some(CallPlacement::Unavailable(NO_VERSION_RETRY_AFTER));
        }
        self.held_versions.clear();
        if !self.route.is_resumable() {
            return None;
        }
        let (held, wait) = self.context.fleet.held_versions(&self.service.name)?;
        self.held_versions = held;
        let is_listed = {
            let tables = self.context.fleet.tables();
            tables.catalog.ready(&self.service.name).next().is_some()
        };
        let is_held = is_listed && !self.has_fitting_target();
        is_held.then_some(CallPlacement::Unavailable(wait))
    }

    /// Targets that cannot take the call now: they requested a backoff, are in a zone that can't be reached, or run a software
    /// version at which the call's stream can't go on or begin.
    fn unavailable_targets(&self) -> Vec<TargetName> {
        let tables = self.context.fleet.tables();
        let mut targets = tables.backing_off(clock::now());
        let is_bound = self.software.is_some() || !self.held_versions.is_empty();
        if !self.closed_zones.is_empty() || is_bound {
            let ready = tables.catalog.ready(&self.service.name);
            let excluded = ready.filter(|entry| {
                self.closed_zones.contains(&entry.zone) || !self.fits_software(entry)
            });
            targets.extend(excluded.map(|entry| entry.name.clone()));
        }
        targets
    }

    /// Whether a target runs the software version that began the call's stream, or one at which it may begin.
    fn fits_software(&self, entry: &TargetEntry) -> bool {
        match &self.software {
            Some(software) => *software == entry.software,
            None => !self.held_versions.contains(&entry.software),
        }
    }

    /// Whether a target that a holder chose takes the call, by this VM's own knowledge.
    fn may_send_to(&self, entry: &TargetEntry) -> bool {
        entry.service == self.service.name
            && entry.stage == TargetStage::Ready
            && self.fits_software(entry)
    }

    /// Whether this VM lists a target that a holder chose for another service than the call's. Holders of builds that
    /// plan the engines of one service send the calls of all services there.
    fn is_foreign(&self, zone: &AvailabilityZone, target: &TargetName) -> bool {
        let tables = self.context.fleet.tables();
        let Some(entry) = tables.catalog.get(target) else {
            return false;
        };
        if entry.service == self.service.name {
            return false;
        }
        event!(Event::ServiceMismatch, request = self.head.id; "{target} of {} in {zone} for a call of {}",
            entry.service,
            self.service.name
        );
        let metrics = &self.context.fleet.metrics;
        metrics.count_service_mismatch(MismatchSide::Gateway);
        true
    }

    /// Whether this VM knows a target that may continue or begin the call's stream.
    fn has_fitting_target(&self) -> bool {
        let tables = self.context.fleet.tables();
        let mut ready = tables.catalog.ready(&self.service.name);
        ready.any(|entry| self.fits_software(entry))
    }

    /// Finds the target of a plain service's call. One holder places all calls of a service, so it knows how many are in
    /// flight at each target.
    async fn place_plain(&mut self) -> CallPlacement {
        let zones = placement_zones(&self.service.name, &self.context.settings.zones);
        for zone in &zones {
            let mut reply = self.place_plain_in(zone).await;
            if is_refused_for(&reply, RefusalCause::NeedsTrial) {
                let suspects = self.untried_fingerprints();
                if let Some(refused) = self.request_trials(&suspects).await {
                    return refused;
                }
                reply = self.place_plain_in(zone).await;
            }
            if let Some((
                PlacementAnswer::Refuse {
                    retry_after_ms,
                    cause,
                },
                _,
            )) = &reply
                && *cause == RefusalCause::QuotaUsedUp
            {
                let retry_after = Duration::from_millis(u64::from(*retry_after_ms));
                if let Some(refused) = self.pay_or_refuse(Some(zone), Some(retry_after)).await {
                    return refused;
                }
                reply = self.place_plain_in(zone).await;
            }
            match reply {
                Some((
                    PlacementAnswer::Send {
                        target,
                        wait_ms,
                        is_limited,
                        ..
                    },
                    placed_call,
                )) => {
                    self.quota_charge.mark_charged();
                    self.is_limited = is_limited;
                    sleep(Duration::from_millis(u64::from(wait_ms))).await;
                    let entry = self.entry_of(zone, &target).await;
                    match entry.filter(|entry| self.may_send_to(entry)) {
                        Some(entry) => {
                            self.record_plain_departure(&entry);
                            return CallPlacement::At(entry, None, placed_call);
                        }
                        // This VM knows that the target has left, or runs another software version.
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
        if let Some(refused) = self.pay_or_refuse(None, None).await {
            return refused;
        }
        self.pick_without_holder()
    }

    async fn place_plain_in(
        &self,
        zone: &AvailabilityZone,
    ) -> Option<(PlacementAnswer, Option<PlacedCall>)> {
        let remaining = self.route.objective.saturating_sub(self.arrived.elapsed());
        let transfer = self.transfer_cost();
        let request = PlainRequest {
            service: self.service.name.clone(),
            rank: self.rank,
            left_ms: millis(remaining),
            exclude: self.tried.clone(),
            backing_off: self.unavailable_targets(),
            fingerprint: self.fingerprint,
            is_trial: !self.trials.is_empty(),
            charge: self.quota_charge.due().cloned(),
            deadline_ms: if self.context.settings.has_uneven_targets
                || self.context.settings.returns.is_some()
            {
                millis(self.remaining())
            } else {
                0
            },
            zone: transfer.map(|_| self.context.fleet.zone.clone()),
            transfer_ms: transfer.map_or(0, ceiled_millis),
        };
        self.context.holder_client.place_plain(zone, request).await
    }

    /// Picks a plain service's target without a holder, by the calls and health that this VM knows of.
    fn pick_without_holder(&self) -> CallPlacement {
        let mut tables = self.context.fleet.tables();
        let now = clock::now();
        let ready = tables.catalog.ready(&self.service.name);
        let targets: Vec<_> = ready
            .filter(|entry| !self.closed_zones.contains(&entry.zone))
            .filter(|entry| self.fits_software(entry))
            .filter(|entry| tables.limits.wait(&entry.name, now).is_zero())
            .filter(|entry| tables.backoffs.remaining(&entry.run(), now).is_none())
            .filter(|entry| tables.admits(entry, now))
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
            return CallPlacement::Unavailable(DEFAULT_RETRY_AFTER);
        };
        tables.limits.take_token(&entry.name, now, now);
        CallPlacement::At(Arc::clone(entry), None, None)
    }

    /// Requests a target from one zone; `None` if the search continues with the next zone.
    async fn ask_zone(
        &mut self,
        zone: &AvailabilityZone,
        query: &ZoneQuery,
        search: &mut ZoneSearch,
    ) -> Option<CallPlacement> {
        if self.foreign_zones.contains(zone) {
            return None;
        }
        let request = self.placement_request(query, search);
        let prospect = search.prospect(query.zone);
        self.take_remote_slot(prospect);
        let reply = self.context.holder_client.place(zone, request).await;
        if !matches!(reply, Some((PlacementAnswer::Send { .. }, _))) {
            self.give_back_remote_slot(prospect);
        }
        let Some((answer, placed_call)) = reply else {
            search.record_no_answer(query.zone);
            // The home zone has made an offer, and a zone whose holder is silent may be partitioned with its targets.
            let has_home_offer = query.pass == SearchPass::Compare && query.zone > 0;
            if has_home_offer {
                return None;
            }
            let placement = self.place_without_holder(zone)?;
            let refused = self.pay_or_refuse(Some(zone), None).await;
            return Some(refused.unwrap_or(placement));
        };
        match answer {
            PlacementAnswer::Send {
                target,
                life,
                wait_ms,
                fetch,
                expected_ms,
                version,
                is_in_high_demand,
                is_limited,
            } => {
                event!(Event::CallPlaced, request = self.head.id; "at {target} in {zone} after {:?}, adapter {} version {version:?} expected there in {wait_ms} ms, call number {:?} at the holder",
                    self.arrived.elapsed(),
                    self.subject(),
                    placed_call.as_ref().map(PlacedCall::number)
                );
                self.quota_charge.mark_charged();
                // Checked before the wait for a load, and again after it in `may_send_to`.
                if self.is_foreign(zone, &target) {
                    self.foreign_zones.push(zone.clone());
                    // The holder does not plan the call's service, so this VM chooses as if there were no holder.
                    return self.place_without_holder(zone);
                }
                self.is_limited = is_limited;
                if is_in_high_demand {
                    self.context.fleet.record_high_demand(&self.subject());
                }
                let metrics = &self.context.fleet.metrics;
                metrics.observe_placement(self.arrived.elapsed());
                self.timeline.record_placed(expected_ms);
                let lease = self.context.fleet.lease(zone);
                sleep(Duration::from_millis(u64::from(wait_ms))).await;
                self.timeline.record_sent();
                let is_same_holder = lease == self.context.fleet.lease(zone);
                let entry = self.entry_of(zone, &target).await;
                // The target may have begun to leave while the adapter was loaded.
                let Some(entry) = entry.filter(|entry| self.may_send_to(entry)) else {
                    self.tried.push(target);
                    search.record_lost_target();
                    return None;
                };
                if entry.life > life {
                    // The target has restarted meanwhile, and with it the placement is lost.
                    search.record_lost_target();
                    return None;
                }
                // A new holder does not reserve the cached parts at the source, and the source's address may belong to another
                // target by now.
                self.fetch_source =
                    fetch.filter(|source| is_same_holder && self.is_unique_address(*source));
                let cause = departure_cause(query, search.prospect(query.zone));
                self.record_departure(&entry, cause);
                Some(CallPlacement::At(entry, version, placed_call))
            }
            PlacementAnswer::Refuse {
                retry_after_ms,
                cause,
            } => {
                self.refusals.push((zone.clone(), cause));
                let retry_after = Duration::from_millis(u64::from(retry_after_ms));
                match cause {
                    RefusalCause::NeedsTrial => {
                        let suspects = self.untried_fingerprints();
                        match self.request_trials(&suspects).await {
                            None => Box::pin(self.ask_zone(zone, query, search)).await,
                            refused => refused,
                        }
                    }
                    RefusalCause::QuotaUsedUp => {
                        match self.pay_or_refuse(Some(zone), Some(retry_after)).await {
                            // The refusal came before the holder looked for a target, so the zone is queried again.
                            None => Box::pin(self.ask_zone(zone, query, search)).await,
                            refused => refused,
                        }
                    }
                    _ => {
                        search.record_refusal(query.zone, cause, retry_after_ms);
                        None
                    }
                }
            }
        }
    }

    /// The entry of the target that a zone's holder chose. While this VM does not know the whole target list, it requests
    /// a missing entry from the holder.
    async fn entry_of(
        &self,
        zone: &AvailabilityZone,
        target: &TargetName,
    ) -> Option<Arc<TargetEntry>> {
        let fleet = &self.context.fleet;
        let known = || fleet.tables().catalog.get(target).cloned();
        if known().is_none() && !fleet.is_topic_known(FeedTopic::Targets) {
            self.context.holder_client.fetch_target(zone, target).await;
        }
        known()
    }

    /// Charges the call to its quota; returns the refusal if that is not possible. The holder of zone `except` is left out: it
    /// does not answer, or replied that it will have enough of the quota after `wait`.
    async fn pay_or_refuse(
        &mut self,
        except: Option<&AvailabilityZone>,
        wait: Option<Duration>,
    ) -> Option<CallPlacement> {
        let asked = except.cloned().zip(wait).map(|(zone, wait)| (wait, zone));
        let shortest = match self.charge_quota(except).await {
            ChargeOutcome::Charged => return None,
            ChargeOutcome::UsedUp(other, zone) => {
                let is_shorter = asked.as_ref().is_none_or(|(wait, _)| other < *wait);
                if is_shorter {
                    Some((other, zone))
                } else {
                    asked
                }
            }
            ChargeOutcome::Unanswered => asked,
        };
        let Some((wait, zone)) = shortest else {
            return Some(CallPlacement::Unavailable(DEFAULT_RETRY_AFTER));
        };
        let assigned = self.assign_return(wait, &zone).await;
        assigned.map(CallPlacement::OverQuota)
    }

    /// Whether exactly one target is listed at an address.
    fn is_unique_address(&self, address: SocketAddr) -> bool {
        let tables = self.context.fleet.tables();
        let listed = tables
            .catalog
            .iter()
            .filter(|entry| entry.address == address);
        listed.count() == 1
    }

    /// Zones in the order in which they are asked, without those that can't be reached.
    pub(super) fn ordered_zones(&self) -> Vec<AvailabilityZone> {
        let subject = self.subject();
        let own = &self.context.fleet.zone;
        let is_popular = {
            let tables = self.context.fleet.tables();
            tables.is_popular(&subject, clock::now())
        };
        let mut zones = self.context.settings.zones.clone();
        zones.retain(|zone| !self.closed_zones.contains(zone));
        ordered_zones(&subject, &zones, own, is_popular)
    }

    fn placement_request(&self, query: &ZoneQuery, search: &ZoneSearch) -> PlacementRequest {
        let objective = self.route.objective;
        let remaining = objective.saturating_sub(self.arrived.elapsed());
        let bound = if self.runs > 0 && query.pass != SearchPass::Compare {
            // The call may have run already, so serving it late is better than reporting a failure.
            self.remaining()
        } else {
            search.max_wait(query.pass, self.rank, objective, remaining)
        };
        let output = self
            .head
            .output_tokens_hint
            .unwrap_or(self.head.max_output_tokens / 2)
            .min(self.head.max_output_tokens.max(1));
        PlacementRequest {
            service: self.service.name.clone(),
            subject: self.subject(),
            prompt_tokens: self.head.prompt_tokens,
            output_tokens: output,
            prefix: self.head.prompt_prefix.clone(),
            priority: self.rank,
            bound_ms: millis(bound),
            exclude: self.tried.clone(),
            backing_off: self.unavailable_targets(),
            may_load: query.may_load,
            terms: query.terms,
            fingerprint: self.fingerprint,
            is_trial: !self.trials.is_empty(),
            charge: self.quota_charge.due().cloned(),
        }
    }

    /// `Retry-After` for the caller if every target of the service requested a backoff from this VM. The jitter spreads the callers,
    /// so that a few of them find out whether the targets take calls again.
    pub(super) fn backoff_of_all(&self) -> Option<Duration> {
        let tables = self.context.fleet.tables();
        let backoff = tables.shortest_backoff(&self.service.name, clock::now())?;
        Some(backoff + BACKOFF_JITTER.mul_f64(rand::random()))
    }

    pub(super) fn subject(&self) -> AdapterName {
        self.head
            .subject
            .clone()
            .unwrap_or_else(|| AdapterName::new(""))
    }

    /// Chooses a target without the zone's holder: one that is listed with the adapter.
    fn place_without_holder(&self, zone: &AvailabilityZone) -> Option<CallPlacement> {
        let subject = self.subject();
        let mut tables = self.context.fleet.tables();
        // A new version of a base model's weights binds no call, because engines load it only when they start.
        let has_adapter = split_subject(&subject).1.is_some();
        let named = tables.versions.get(&subject).filter(|_| has_adapter);
        let version = named.copied();
        let now = clock::now();
        let entry = tables
            .catalog
            .ready(&self.service.name)
            .filter(|entry| entry.zone == *zone && !self.tried.contains(&entry.name))
            .filter(|entry| self.fits_software(entry))
            .filter(|entry| !tables.health.is_unreachable(&entry.name, now))
            .filter(|entry| tables.limits.wait(&entry.name, now).is_zero())
            .filter(|entry| tables.backoffs.remaining(&entry.run(), now).is_none())
            .filter(|entry| tables.admits(entry, now))
            .filter(|entry| entry.lists(&subject, version))
            .min_by_key(|entry| tables.in_flight.get(&entry.run()).copied().unwrap_or(0))
            .cloned()?;
        tables.limits.take_token(&entry.name, now, now);
        // The holder does not know of this call. Naming the version keeps the engine from running it under another version,
        // whose KV cache the holder would attribute to the wrong one. The entry may list a newer version than the named one,
        // as a restored log may lack the record that named it.
        let version = version.max(listed_version(&entry, &subject));
        Some(CallPlacement::At(entry, version, None))
    }
}

/// Milliseconds of a span, rounded up.
fn ceiled_millis(span: Duration) -> u32 {
    millis(span + Duration::from_micros(999))
}

fn is_refused_for(
    reply: &Option<(PlacementAnswer, Option<PlacedCall>)>,
    expected: RefusalCause,
) -> bool {
    matches!(reply, Some((PlacementAnswer::Refuse { cause, .. }, _)) if *cause == expected)
}

/// The version of an adapter or base model in a target's entry.
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
