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
        self.held_targets
            .values()
            .filter(|runtime| runtime.order.is_some())
            .count() as u32
    }

    fn best_bid(&self, with_preloads: bool, now: Instant) -> Option<LoadBid> {
        let bids = self
            .held_targets
            .iter()
            .filter_map(|(target, runtime)| self.target_bid(target, runtime, with_preloads, now));
        bids.max_by(|a, b| a.benefit.total_cmp(&b.benefit))
    }

    fn target_bid(
        &self,
        target: &TargetName,
        runtime: &TargetRuntime,
        with_preloads: bool,
        now: Instant,
    ) -> Option<LoadBid> {
        if !runtime.is_serving() || runtime.order.is_some() || !runtime.is_engine() {
            return None;
        }
        let demanded = runtime
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
        let kept = self.kept_bid(target, runtime, now);
        kept.or_else(|| {
            runtime
                .scheduler
                .preload_bid(&self.weights, &self.popularity, now, is_candidate)
        })
    }

    /// Bid for an adapter that operators want kept loaded and that is not loaded on any target.
    fn kept_bid(
        &self,
        target: &TargetName,
        runtime: &TargetRuntime,
        now: Instant,
    ) -> Option<LoadBid> {
        let mut candidates = self.kept_models.iter().filter(|model| {
            !self.engines.is_resident(model)
                && !has_loaded(&runtime.scheduler, model)
                && self.engines.is_home(model, target.as_str())
                && runtime.scheduler.backoff().can_retry(model, now)
        });
        let model = candidates.next()?.clone();
        let has_free_slot = runtime.scheduler.residents().len() < runtime.scheduler.limits().slots;
        let evict = if has_free_slot {
            None
        } else {
            runtime.scheduler.eviction_candidate(&self.popularity, now)
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
        let Some(runtime) = self.held_targets.get_mut(&bid.target) else {
            return;
        };
        let Some(ownership) = self.folded.ownership.target(bid.target.as_str()) else {
            return;
        };
        let target = bid.target.clone();
        let Some(victim) = bid.evict.clone() else {
            runtime.scheduler.load_started(&bid.model, now);
            runtime.order = Some(pending_order(
                bid.model.clone(),
                None,
                OrderStage::Loading,
                now,
            ));
            self.send_order(&target, OrderKind::Load(bid.model));
            return;
        };
        runtime.scheduler.unload_started(&victim);
        if runtime.lease.fence == FenceState::NotChecked {
            let record = IntentRecord {
                target: target.clone(),
                adapter: victim.clone(),
                token: runtime.lease.token,
                number,
            };
            runtime.order = Some(pending_order(
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
        match runtime.lease.permit_unload(ownership, &victim, None, 0) {
            Ok(permit) => {
                let adapter = permit.adapter().clone();
                runtime.order = Some(pending_order(
                    bid.model,
                    Some(victim),
                    OrderStage::Unloading { number: None },
                    now,
                ));
                self.send_order(&target, OrderKind::Unload(adapter));
            }
            Err(refusal) => {
                event!(Event::UnloadRefused, "{victim} on {target}: {refusal}");
                runtime.scheduler.unload_cancelled(&victim);
            }
        }
    }

    /// Handles an unload intent that was read back from the log.
    pub(super) fn intent_opened(&mut self, target: &TargetName, intent: &OpenIntent) {
        let Some(runtime) = self
            .held_targets
            .get_mut(target)
            .filter(|runtime| runtime.lease.token == intent.token)
        else {
            return;
        };
        let is_awaited = runtime.order.as_ref().is_some_and(|pending| {
            pending.stage
                == OrderStage::AwaitingIntent {
                    number: intent.number,
                }
        });
        let in_flight = runtime
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
                runtime.lease.permit_unload(
                    ownership,
                    &intent.adapter,
                    Some(intent.number),
                    in_flight,
                )
            });
        match permit {
            Some(Ok(permit)) if is_awaited => {
                if let Some(pending) = &mut runtime.order {
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
        let Some(runtime) = self.held_targets.get(target) else {
            return;
        };
        let record = IntentClosedRecord {
            target: target.clone(),
            token: runtime.lease.token,
            number,
        };
        let _ = self
            .workers
            .appender
            .append(0, vec![LogRecord::IntentClosed(record)]);
    }

    fn cancel_order(&mut self, target: &TargetName) {
        if let Some(runtime) = self.held_targets.get_mut(target)
            && let Some(pending) = runtime.order.take()
            && let Some(victim) = &pending.evict
        {
            runtime.scheduler.unload_cancelled(victim);
        }
    }

    pub(super) fn tick_orders(&mut self, now: Instant) {
        let mut cancelled = Vec::new();
        let mut unresolved = Vec::new();
        for (target, runtime) in &self.held_targets {
            match &runtime.order {
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
        let Some(runtime) = self
            .held_targets
            .get_mut(target)
            .filter(|runtime| runtime.is_engine())
        else {
            return;
        };
        if kind == OrderKind::List && std::mem::replace(&mut runtime.is_listing, true) {
            return;
        }
        if matches!(kind, OrderKind::Load(_) | OrderKind::Unload(_)) {
            runtime.epoch += 1;
        }
        let (client, token, epoch) = (runtime.client.clone(), runtime.lease.token, runtime.epoch);
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
        let Some(runtime) = self.held_targets.get_mut(&report.target) else {
            return;
        };
        // A load or unload under an earlier lease of this daemon still changes the adapters on the target.
        let changes_adapters = matches!(report.kind, OrderKind::Load(_) | OrderKind::Unload(_));
        if runtime.lease.token != report.token && !changes_adapters {
            return;
        }
        if report.kind == OrderKind::List {
            runtime.is_listing = false;
        }
        if matches!(report.result, Err(OrderError::Stale)) {
            event!(
                Event::TargetLost,
                "{}: the target refused the fencing token because it knows a newer one",
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
        if let Some(runtime) = self.held_targets.get_mut(&report.target) {
            runtime.lease.acknowledge(report.token);
        }
        self.send_order(&report.target, OrderKind::List);
    }

    fn load_done(&mut self, report: &OrderReport, model: &AdapterVersion, now: Instant) {
        let target = &report.target;
        let Some(runtime) = self.held_targets.get_mut(target) else {
            return;
        };
        match &report.result {
            Ok(_) => {
                runtime.order = None;
                if has_loaded(&runtime.scheduler, model) {
                    runtime.scheduler.load_succeeded(model, report.elapsed, now);
                }
            }
            Err(OrderError::Unknown(cause)) => self.mark_order_unknown(target, cause, now),
            Err(error) => {
                event!(Event::LoadFailed, "{model} on {target}: {error}");
                runtime.order = None;
                let refused = runtime.scheduler.load_failed(model, now);
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
        let Some(runtime) = self.held_targets.get_mut(target) else {
            return;
        };
        let number = match runtime.order.as_ref().map(|pending| &pending.stage) {
            Some(OrderStage::Unloading { number }) => *number,
            _ => return,
        };
        match &report.result {
            Ok(_) => {
                runtime.scheduler.unload_finished(victim);
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
        let Some(runtime) = self.held_targets.get_mut(target) else {
            return;
        };
        let Some(pending) = runtime
            .order
            .as_mut()
            .filter(|_| runtime.phase != TargetPhase::Lost)
        else {
            runtime.order = None;
            return;
        };
        pending.stage = OrderStage::Loading;
        pending.since = now;
        let model = pending.load.clone();
        runtime.scheduler.load_started(&model, now);
        self.send_order(target, OrderKind::Load(model));
    }

    fn mark_order_unknown(&mut self, target: &TargetName, cause: &str, now: Instant) {
        event!(Event::OrderOutcomeUnknown, "{target}: {cause}");
        let until = now.after(self.settings.membership.timeouts.delivery_bound);
        let Some(pending) = self
            .held_targets
            .get_mut(target)
            .and_then(|runtime| runtime.order.as_mut())
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
        let Some(runtime) = self.held_targets.get_mut(target) else {
            return;
        };
        runtime.listed_at = now;
        runtime.is_reachable = true;
        let restarted = runtime.boot != 0 && runtime.boot != listing.boot;
        runtime.boot = listing.boot;
        if restarted {
            event!(Event::TargetRestarted, "{target}");
            // An open order stays: it may still arrive, and ends by its answer or by the delivery bound.
            if runtime.phase != TargetPhase::Lost {
                runtime.lease = HeldTarget::new(runtime.lease.token, runtime.config.checks_fencing);
                runtime.phase = TargetPhase::Preparing;
            }
        }
        release_ended_streams(runtime, listing, epoch, now);
        let is_stale = epoch < runtime.epoch || runtime.order.is_some();
        if restarted || (!is_stale && residents_differ(runtime, &listing.loaded)) {
            runtime.scheduler.replace_residents(&listing.loaded, now);
        }
        if listing.leaving != runtime.is_leaving {
            runtime.is_leaving = listing.leaving;
            self.apply_targets();
        }
        if restarted
            && self
                .held_targets
                .get(target)
                .is_some_and(|runtime| runtime.phase == TargetPhase::Preparing)
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
        let Some(runtime) = self.held_targets.get_mut(target) else {
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
        }) = runtime.order.clone()
        else {
            return;
        };
        if until > now {
            return;
        }
        runtime.order = None;
        let is_loaded = |model: &AdapterVersion| listing.loaded.contains(model);
        if is_load && is_loaded(&load) {
            runtime
                .scheduler
                .load_succeeded(&load, Duration::from_secs(1), now);
        } else if is_load {
            let refused = runtime.scheduler.load_failed(&load, now);
            self.refuse_load_failed(target, &refused);
        } else if let Some(victim) = evict {
            if is_loaded(&victim) {
                runtime.scheduler.unload_cancelled(&victim);
            } else {
                runtime.scheduler.unload_finished(&victim);
            }
        }
        if let Some(number) = number {
            self.close_intent(target, number);
        }
    }

    fn start_serving(&mut self, target: &TargetName) {
        let Some(runtime) = self.held_targets.get_mut(target) else {
            return;
        };
        if runtime.phase != TargetPhase::Preparing || runtime.lease.fence == FenceState::Presented {
            return;
        }
        runtime.phase = TargetPhase::Serving;
        event!(
            Event::TargetReady,
            "{target} with {} adapters",
            runtime.scheduler.residents().len()
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
    runtime: &mut TargetRuntime,
    listing: &EngineListing,
    epoch: u64,
    now: Instant,
) {
    let ended = runtime
        .unconfirmed_streams
        .iter()
        .filter(|(_, (stream, since))| *since <= epoch && !listing.running.contains(stream));
    let ended: Vec<_> = ended.map(|(id, _)| *id).collect();
    for id in ended {
        runtime.unconfirmed_streams.remove(&id);
        runtime.scheduler.finish_request(id, now);
    }
}

fn residents_differ(runtime: &TargetRuntime, loaded: &[AdapterVersion]) -> bool {
    let known: HashSet<_> = runtime
        .scheduler
        .residents()
        .iter()
        .map(|resident| &resident.model)
        .collect();
    known != loaded.iter().collect()
}
