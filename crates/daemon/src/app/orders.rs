//! Orders to engines: adapter loads and unloads, fencing tokens and listings.
//!
//! Each target has at most one load in progress, preceded by an unload if no slot is free. A target that does not check
//! fencing tokens gets an unload only after its intent was appended to the log and read back. An order whose answer was
//! lost is resolved by a listing after the delivery bound.

use crate::{
    app::{
        AppEvent, AppState, OrderKind, OrderReport,
        holder::has_loaded,
        target_runtime::{OrderStage, PendingOrder, TargetPhase, TargetRuntime},
    },
    clock, event,
    events::Event,
    targets::{EngineListing, OrderError},
};
use hoplanding_core::{
    ids::{AdapterVersion, Instant, TargetName},
    log::{IntentClosedRecord, IntentRecord, LogRecord},
    ownership::{FenceState, HeldTarget, OpenIntent},
    policy::{LoadBid, LoadNotice},
};
use std::{collections::HashSet, time::Duration};

/// Time for an unload intent to be read back before the unload is cancelled.
const INTENT_TIMEOUT: Duration = Duration::from_secs(3);
/// Interval at which adapters are considered for preloading.
const PRELOAD_INTERVAL: Duration = Duration::from_millis(500);

impl AppState {
    /// This holder's load activity, as announced to the other holders.
    pub(super) fn load_notice(&self) -> LoadNotice {
        LoadNotice {
            loading: self.active_loads(),
            best_bid: self
                .best_bid(false, clock::now())
                .map_or(0.0, |bid| bid.benefit),
        }
    }

    fn active_loads(&self) -> u32 {
        self.held
            .values()
            .filter(|held| held.order.is_some())
            .count() as u32
    }

    fn best_bid(&self, with_preloads: bool, now: Instant) -> Option<LoadBid> {
        let bids = self
            .held
            .iter()
            .filter_map(|(target, held)| self.target_bid(target, held, with_preloads, now));
        bids.max_by(|a, b| a.benefit.total_cmp(&b.benefit))
    }

    fn target_bid(
        &self,
        target: &TargetName,
        held: &TargetRuntime,
        with_preloads: bool,
        now: Instant,
    ) -> Option<LoadBid> {
        if !held.is_serving() || held.order.is_some() || !held.is_engine() {
            return None;
        }
        let demanded = held
            .scheduler
            .demand_bid(&self.weights, &self.popularity, now);
        if demanded.is_some() || !with_preloads {
            return demanded;
        }
        let is_candidate = |model: &AdapterVersion| {
            !self.engines.is_resident(model)
                && self.engines.is_home(model, target.as_str())
                && self.is_current(model)
        };
        let kept = self.kept_bid(target, held, now);
        kept.or_else(|| {
            held.scheduler
                .preload_bid(&self.weights, &self.popularity, now, is_candidate)
        })
    }

    /// Bid for an adapter that operators want kept loaded and that is not loaded on any target.
    fn kept_bid(&self, target: &TargetName, held: &TargetRuntime, now: Instant) -> Option<LoadBid> {
        let mut candidates = self.kept_models.iter().filter(|model| {
            !self.engines.is_resident(model)
                && !has_loaded(&held.scheduler, model)
                && self.engines.is_home(model, target.as_str())
                && held.scheduler.backoff().can_retry(model, now)
        });
        let model = candidates.next()?.clone();
        let has_free_slot = held.scheduler.residents().len() < held.scheduler.limits().slots;
        let evict = if has_free_slot {
            None
        } else {
            held.scheduler.eviction_candidate(&self.popularity, now)
        };
        (has_free_slot || evict.is_some()).then(|| LoadBid {
            target: target.clone(),
            model,
            evict,
            benefit: 0.5,
            demanded: false,
        })
    }

    fn is_current(&self, model: &AdapterVersion) -> bool {
        let config = self.config().adapters.get(&model.adapter);
        config.is_some_and(|config| config.current.as_ref() == Some(&model.version))
    }

    pub(super) fn start_best_load(&mut self, now: Instant) {
        self.start_best_bid(false, now);
    }

    fn start_best_bid(&mut self, with_preloads: bool, now: Instant) {
        let Some(bid) = self.best_bid(with_preloads, now) else {
            return;
        };
        let notice = LoadNotice {
            loading: self.active_loads(),
            best_bid: bid.benefit,
        };
        if self.arbiter.may_start_load(
            &self.me.vm,
            &notice,
            self.settings.limits.max_concurrent_loads,
            now,
        ) {
            self.start_load(bid, now);
        }
    }

    fn start_load(&mut self, bid: LoadBid, now: Instant) {
        let number = self.next_number();
        let Some(held) = self.held.get_mut(&bid.target) else {
            return;
        };
        let Some(ownership) = self.folded.ownership.target(bid.target.as_str()) else {
            return;
        };
        let target = bid.target.clone();
        let Some(victim) = bid.evict.clone() else {
            held.scheduler.load_started(&bid.model, now);
            held.order = Some(pending_order(
                bid.model.clone(),
                None,
                OrderStage::Loading,
                now,
            ));
            self.send_order(&target, OrderKind::Load(bid.model));
            return;
        };
        held.scheduler.unload_started(&victim);
        if held.lease.fence == FenceState::NotChecked {
            let record = IntentRecord {
                target: target.clone(),
                adapter: victim.clone(),
                token: held.lease.token,
                number,
            };
            held.order = Some(pending_order(
                bid.model,
                Some(victim),
                OrderStage::AwaitingIntent { number },
                now,
            ));
            let _ = self
                .workers
                .appender
                .append(0, vec![LogRecord::UnloadIntent(record)]);
            return;
        }
        match held.lease.permit_unload(ownership, &victim, None, 0) {
            Ok(permit) => {
                let adapter = permit.adapter().clone();
                held.order = Some(pending_order(
                    bid.model,
                    Some(victim),
                    OrderStage::Unloading { number: None },
                    now,
                ));
                self.send_order(&target, OrderKind::Unload(adapter));
            }
            Err(refusal) => {
                event!(Event::UnloadRefused, "{victim} on {target}: {refusal}");
                held.scheduler.unload_cancelled(&victim);
            }
        }
    }

    /// Handles an unload intent that was read back from the log.
    pub(super) fn intent_opened(&mut self, target: &TargetName, intent: &OpenIntent) {
        let Some(held) = self
            .held
            .get_mut(target)
            .filter(|held| held.lease.token == intent.token)
        else {
            return;
        };
        let is_awaited = held.order.as_ref().is_some_and(|pending| {
            pending.stage
                == OrderStage::AwaitingIntent {
                    number: intent.number,
                }
        });
        let in_flight = held
            .scheduler
            .residents()
            .iter()
            .filter(|resident| resident.model == intent.adapter)
            .map(|resident| resident.in_flight as usize)
            .sum();
        let permit = self
            .folded
            .ownership
            .target(target.as_str())
            .map(|ownership| {
                held.lease
                    .permit_unload(ownership, &intent.adapter, Some(intent.number), in_flight)
            });
        match permit {
            Some(Ok(permit)) if is_awaited => {
                if let Some(pending) = &mut held.order {
                    pending.stage = OrderStage::Unloading {
                        number: Some(intent.number),
                    };
                }
                self.send_order(target, OrderKind::Unload(permit.adapter().clone()));
            }
            _ => {
                event!(Event::IntentVoided, "{} on {target}", intent.adapter);
                if is_awaited {
                    self.cancel_order(target);
                }
                self.close_intent(target, intent.number);
            }
        }
    }

    fn close_intent(&mut self, target: &TargetName, number: u64) {
        let Some(held) = self.held.get(target) else {
            return;
        };
        let record = IntentClosedRecord {
            target: target.clone(),
            token: held.lease.token,
            number,
        };
        let _ = self
            .workers
            .appender
            .append(0, vec![LogRecord::IntentClosed(record)]);
    }

    fn cancel_order(&mut self, target: &TargetName) {
        if let Some(held) = self.held.get_mut(target)
            && let Some(pending) = held.order.take()
            && let Some(victim) = &pending.evict
        {
            held.scheduler.unload_cancelled(victim);
        }
    }

    pub(super) fn tick_orders(&mut self, now: Instant) {
        let mut cancelled = Vec::new();
        let mut unresolved = Vec::new();
        for (target, held) in &self.held {
            match &held.order {
                Some(PendingOrder {
                    stage: OrderStage::AwaitingIntent { .. },
                    since,
                    ..
                }) if now.since(*since) > INTENT_TIMEOUT => {
                    cancelled.push(target.clone());
                }
                Some(PendingOrder {
                    stage: OrderStage::OutcomeUnknown { until, .. },
                    ..
                }) if *until <= now => {
                    unresolved.push(target.clone());
                }
                _ => {}
            }
        }
        for target in cancelled {
            // An intent that is read back later is closed without an unload.
            self.cancel_order(&target);
            self.dispatch_ready(&target, now);
        }
        for target in unresolved {
            self.send_order(&target, OrderKind::List);
        }
        let with_preloads = now.since(self.last.preload) >= PRELOAD_INTERVAL;
        if with_preloads {
            self.last.preload = now;
        }
        self.start_best_bid(with_preloads, now);
    }

    /// Sends an order and reports its result as an event; at most one listing per target is in flight.
    pub(super) fn send_order(&mut self, target: &TargetName, kind: OrderKind) {
        let Some(held) = self.held.get_mut(target).filter(|held| held.is_engine()) else {
            return;
        };
        if kind == OrderKind::List && std::mem::replace(&mut held.is_listing, true) {
            return;
        }
        if matches!(kind, OrderKind::Load(_) | OrderKind::Unload(_)) {
            held.epoch += 1;
        }
        let (client, token, epoch) = (held.client.clone(), held.lease.token, held.epoch);
        let (target, events) = (target.clone(), self.workers.events.clone());
        tokio::spawn(async move {
            let started = std::time::Instant::now();
            let result = match &kind {
                OrderKind::PresentToken => {
                    client.present_token(token).await.map(|boot| (boot, None))
                }
                OrderKind::Load(model) => client.load(model, token).await.map(|boot| (boot, None)),
                OrderKind::Unload(model) => {
                    client.unload(model, token).await.map(|boot| (boot, None))
                }
                OrderKind::List | OrderKind::SettleQuery(_) => client
                    .list()
                    .await
                    .map(|listing| (listing.boot, Some(listing))),
            };
            let elapsed = started.elapsed();
            let report = OrderReport {
                target,
                token,
                kind,
                epoch,
                elapsed,
                result,
            };
            // The send fails only after the event loop has ended.
            let _ = events.send(AppEvent::OrderDone(report)).await;
        });
    }

    pub(super) fn order_finished(&mut self, report: &OrderReport, now: Instant) {
        let Some(held) = self.held.get_mut(&report.target) else {
            return;
        };
        // A load or unload under an earlier lease of this daemon still changes the adapters on the target.
        let changes_adapters = matches!(report.kind, OrderKind::Load(_) | OrderKind::Unload(_));
        if held.lease.token != report.token && !changes_adapters {
            return;
        }
        if report.kind == OrderKind::List {
            held.is_listing = false;
        }
        if matches!(report.result, Err(OrderError::Stale)) {
            event!(
                Event::TargetLost,
                "{}: the target refused the fencing token for a newer one",
                report.target
            );
        }
        let target = report.target.clone();
        match &report.kind {
            OrderKind::PresentToken => self.token_presented(report),
            OrderKind::List => self.listing_received(report, now),
            OrderKind::Load(model) => self.load_done(report, model, now),
            OrderKind::Unload(model) => self.unload_done(report, model, now),
            OrderKind::SettleQuery(predecessor) => self.settle_query_answered(report, *predecessor),
        }
        self.dispatch_ready(&target, now);
        self.start_best_load(now);
    }

    fn token_presented(&mut self, report: &OrderReport) {
        if report.result.is_err() {
            return;
        }
        if let Some(held) = self.held.get_mut(&report.target) {
            held.lease.acknowledge(report.token);
        }
        self.send_order(&report.target, OrderKind::List);
    }

    fn load_done(&mut self, report: &OrderReport, model: &AdapterVersion, now: Instant) {
        let target = &report.target;
        let Some(held) = self.held.get_mut(target) else {
            return;
        };
        match &report.result {
            Ok(_) => {
                held.order = None;
                if has_loaded(&held.scheduler, model) {
                    held.scheduler.load_succeeded(model, report.elapsed, now);
                }
            }
            Err(OrderError::Unknown(cause)) => self.mark_order_unknown(target, cause, now),
            Err(error) => {
                event!(Event::LoadFailed, "{model} on {target}: {error}");
                held.order = None;
                let refused = held.scheduler.load_failed(model, now);
                self.refuse_load_failed(target, &refused);
                if matches!(error, OrderError::Unreachable(_)) {
                    self.target_unreachable(target);
                } else {
                    self.send_order(target, OrderKind::List);
                }
            }
        }
    }

    fn unload_done(&mut self, report: &OrderReport, victim: &AdapterVersion, now: Instant) {
        let target = &report.target;
        let Some(held) = self.held.get_mut(target) else {
            return;
        };
        let number = match held.order.as_ref().map(|pending| &pending.stage) {
            Some(OrderStage::Unloading { number }) => *number,
            _ => return,
        };
        match &report.result {
            Ok(_) => {
                held.scheduler.unload_finished(victim);
                if let Some(number) = number {
                    self.close_intent(target, number);
                }
                self.load_after_unload(target, now);
            }
            Err(OrderError::Unknown(cause)) => self.mark_order_unknown(target, cause, now),
            Err(error) => {
                event!(Event::UnloadRefused, "{victim} on {target}: {error}");
                self.cancel_order(target);
                if let Some(number) = number {
                    self.close_intent(target, number);
                }
                self.send_order(target, OrderKind::List);
            }
        }
    }

    fn load_after_unload(&mut self, target: &TargetName, now: Instant) {
        let Some(held) = self.held.get_mut(target) else {
            return;
        };
        let Some(pending) = held
            .order
            .as_mut()
            .filter(|_| held.phase != TargetPhase::Lost)
        else {
            held.order = None;
            return;
        };
        pending.stage = OrderStage::Loading;
        pending.since = now;
        let model = pending.load.clone();
        held.scheduler.load_started(&model, now);
        self.send_order(target, OrderKind::Load(model));
    }

    fn mark_order_unknown(&mut self, target: &TargetName, cause: &str, now: Instant) {
        event!(Event::OrderOutcomeUnknown, "{target}: {cause}");
        let until = now.after(self.settings.membership.times.delivery_bound);
        let Some(pending) = self
            .held
            .get_mut(target)
            .and_then(|held| held.order.as_mut())
        else {
            return;
        };
        let (number, is_load) = match &pending.stage {
            OrderStage::Unloading { number } => (*number, false),
            _ => (None, true),
        };
        pending.stage = OrderStage::OutcomeUnknown {
            until,
            number,
            is_load,
        };
    }

    fn listing_received(&mut self, report: &OrderReport, now: Instant) {
        let target = &report.target;
        let listing = match &report.result {
            Ok((_, Some(listing))) => listing,
            Ok((_, None)) => return,
            Err(OrderError::Unreachable(_)) => return self.target_unreachable(target),
            Err(_) => return,
        };
        self.apply_listing(target, listing, report.epoch, now);
        self.resolve_unknown_order(target, listing, now);
        self.start_serving(target);
    }

    fn apply_listing(
        &mut self,
        target: &TargetName,
        listing: &EngineListing,
        epoch: u64,
        now: Instant,
    ) {
        let Some(held) = self.held.get_mut(target) else {
            return;
        };
        held.listed_at = now;
        held.is_reachable = true;
        let restarted = held.boot != 0 && held.boot != listing.boot;
        held.boot = listing.boot;
        if restarted {
            event!(Event::TargetRestarted, "{target}");
            // An open order stays: it may still arrive, and ends by its answer or by the delivery bound.
            if held.phase != TargetPhase::Lost {
                held.lease = HeldTarget::new(held.lease.token, held.config.checks_fencing);
                held.phase = TargetPhase::Preparing;
            }
        }
        release_ended_streams(held, listing, epoch, now);
        let is_stale = epoch < held.epoch || held.order.is_some();
        if restarted || (!is_stale && residents_differ(held, &listing.loaded)) {
            held.scheduler.replace_residents(&listing.loaded, now);
        }
        if listing.leaving != held.is_leaving {
            held.is_leaving = listing.leaving;
            self.apply_targets();
        }
        if restarted
            && self
                .held
                .get(target)
                .is_some_and(|held| held.phase == TargetPhase::Preparing)
        {
            self.prepare_target(target, now);
        }
    }

    /// Resolves an order whose answer was lost from a listing taken after the delivery bound.
    fn resolve_unknown_order(
        &mut self,
        target: &TargetName,
        listing: &EngineListing,
        now: Instant,
    ) {
        let Some(held) = self.held.get_mut(target) else {
            return;
        };
        let Some(PendingOrder {
            load,
            evict,
            stage:
                OrderStage::OutcomeUnknown {
                    until,
                    number,
                    is_load,
                },
            ..
        }) = held.order.clone()
        else {
            return;
        };
        if until > now {
            return;
        }
        held.order = None;
        let is_loaded = |model: &AdapterVersion| listing.loaded.contains(model);
        if is_load && is_loaded(&load) {
            held.scheduler
                .load_succeeded(&load, Duration::from_secs(1), now);
        } else if is_load {
            let refused = held.scheduler.load_failed(&load, now);
            self.refuse_load_failed(target, &refused);
        } else if let Some(victim) = evict {
            if is_loaded(&victim) {
                held.scheduler.unload_cancelled(&victim);
            } else {
                held.scheduler.unload_finished(&victim);
            }
        }
        if let Some(number) = number {
            self.close_intent(target, number);
        }
    }

    fn start_serving(&mut self, target: &TargetName) {
        let Some(held) = self.held.get_mut(target) else {
            return;
        };
        if held.phase != TargetPhase::Preparing || held.lease.fence == FenceState::Presented {
            return;
        }
        held.phase = TargetPhase::Serving;
        event!(
            Event::TargetReady,
            "{target} with {} adapters",
            held.scheduler.residents().len()
        );
        self.apply_targets();
    }
}

fn pending_order(
    load: AdapterVersion,
    evict: Option<AdapterVersion>,
    stage: OrderStage,
    since: Instant,
) -> PendingOrder {
    PendingOrder {
        load,
        evict,
        stage,
        since,
    }
}

/// Frees the seats of streams that the target no longer runs, if the listing was requested after they ended here.
fn release_ended_streams(
    held: &mut TargetRuntime,
    listing: &EngineListing,
    epoch: u64,
    now: Instant,
) {
    let ended = held
        .unconfirmed_streams
        .iter()
        .filter(|(_, (stream, since))| *since <= epoch && !listing.running.contains(stream));
    let ended: Vec<_> = ended.map(|(id, _)| *id).collect();
    for id in ended {
        held.unconfirmed_streams.remove(&id);
        held.scheduler.finish_request(id, now);
    }
}

fn residents_differ(held: &TargetRuntime, loaded: &[AdapterVersion]) -> bool {
    let known: HashSet<_> = held
        .scheduler
        .residents()
        .iter()
        .map(|resident| &resident.model)
        .collect();
    known != loaded.iter().collect()
}
