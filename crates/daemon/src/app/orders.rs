//! Orders to targets: loads, announced unloads, tokens and listings.

use crate::{
    app::{
        AppEvent, AppState, OrderKind, OrderReport,
        held::{HeldPhase, HeldRuntime, OrderStage, PendingOrder},
        holder::has_loaded,
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

/// Time for an announcement to be read back before the unload is given up.
const READ_BACK_WITHIN: Duration = Duration::from_secs(3);
/// Pause between two looks for adapters worth loading without demand.
const PRELOAD_EVERY: Duration = Duration::from_millis(500);

impl AppState {
    /// What the other holders are told about this one's loads.
    pub(super) fn load_notice(&self) -> LoadNotice {
        LoadNotice {
            loading: self.loads_under_way(),
            best_bid: self
                .best_bid(false, clock::now())
                .map_or(0.0, |bid| bid.benefit),
        }
    }

    fn loads_under_way(&self) -> u32 {
        self.held
            .values()
            .filter(|held| held.order.is_some())
            .count() as u32
    }

    fn best_bid(&self, with_preloads: bool, now: Instant) -> Option<LoadBid> {
        let bids = self
            .held
            .iter()
            .filter_map(|(target, held)| self.bid_of(target, held, with_preloads, now));
        bids.max_by(|a, b| a.benefit.total_cmp(&b.benefit))
    }

    fn bid_of(
        &self,
        target: &TargetName,
        held: &HeldRuntime,
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

    /// An adapter that operators want kept loaded and that is loaded nowhere.
    fn kept_bid(&self, target: &TargetName, held: &HeldRuntime, now: Instant) -> Option<LoadBid> {
        let mut missing = self.kept_models.iter().filter(|model| {
            !self.engines.is_resident(model)
                && !has_loaded(&held.scheduler, model)
                && self.engines.is_home(model, target.as_str())
                && held.scheduler.backoff().can_retry(model, now)
        });
        let model = missing.next()?.clone();
        let free = held.scheduler.residents().len() < held.scheduler.limits().slots;
        let evict = if free {
            None
        } else {
            held.scheduler.eviction_candidate(&self.popularity, now)
        };
        (free || evict.is_some()).then(|| LoadBid {
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

    pub(super) fn run_bids(&mut self, now: Instant) {
        self.run_bids_with(false, now);
    }

    fn run_bids_with(&mut self, with_preloads: bool, now: Instant) {
        let Some(bid) = self.best_bid(with_preloads, now) else {
            return;
        };
        let notice = LoadNotice {
            loading: self.loads_under_way(),
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
            held.order = Some(order(bid.model.clone(), None, OrderStage::Loading, now));
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
            held.order = Some(order(
                bid.model,
                Some(victim),
                OrderStage::Announced { number },
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
                held.order = Some(order(
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

    /// An announced unload was read back.
    pub(super) fn intent_opened(&mut self, target: &TargetName, intent: &OpenIntent) {
        let Some(held) = self
            .held
            .get_mut(target)
            .filter(|held| held.lease.token == intent.token)
        else {
            return;
        };
        let waits_for_it = held.order.as_ref().is_some_and(|pending| {
            pending.stage
                == OrderStage::Announced {
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
            Some(Ok(permit)) if waits_for_it => {
                if let Some(pending) = &mut held.order {
                    pending.stage = OrderStage::Unloading {
                        number: Some(intent.number),
                    };
                }
                self.send_order(target, OrderKind::Unload(permit.adapter().clone()));
            }
            _ => {
                event!(Event::IntentVoided, "{} of {target}", intent.adapter);
                if waits_for_it {
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
        let mut doubtful = Vec::new();
        for (target, held) in &self.held {
            match &held.order {
                Some(PendingOrder {
                    stage: OrderStage::Announced { .. },
                    since,
                    ..
                }) if now.since(*since) > READ_BACK_WITHIN => {
                    cancelled.push(target.clone());
                }
                Some(PendingOrder {
                    stage: OrderStage::InDoubt { until, .. },
                    ..
                }) if *until <= now => {
                    doubtful.push(target.clone());
                }
                _ => {}
            }
        }
        for target in cancelled {
            // Should the announcement turn up after all, it is closed and never acted on.
            self.cancel_order(&target);
            self.pump(&target, now);
        }
        for target in doubtful {
            self.send_order(&target, OrderKind::List);
        }
        let with_preloads = now.since(self.last.preload) >= PRELOAD_EVERY;
        if with_preloads {
            self.last.preload = now;
        }
        self.run_bids_with(with_preloads, now);
    }

    /// Sends an order and reports what became of it; a second listing at the same time is left out.
    pub(super) fn send_order(&mut self, target: &TargetName, kind: OrderKind) {
        let Some(held) = self.held.get_mut(target).filter(|held| held.is_engine()) else {
            return;
        };
        if kind == OrderKind::List && std::mem::replace(&mut held.list_in_flight, true) {
            return;
        }
        if matches!(kind, OrderKind::Load(_) | OrderKind::Unload(_)) {
            held.epoch += 1;
        }
        let (client, token, epoch) = (held.client.clone(), held.lease.token, held.epoch);
        let (target, events) = (target.clone(), self.workers.events.clone());
        tokio::spawn(async move {
            let began = std::time::Instant::now();
            let result = match &kind {
                OrderKind::Present => client.present_token(token).await.map(|boot| (boot, None)),
                OrderKind::Load(model) => client.load(model, token).await.map(|boot| (boot, None)),
                OrderKind::Unload(model) => {
                    client.unload(model, token).await.map(|boot| (boot, None))
                }
                OrderKind::List | OrderKind::AskSettled(_) => client
                    .list()
                    .await
                    .map(|listing| (listing.boot, Some(listing))),
            };
            let took = began.elapsed();
            let report = OrderReport {
                target,
                token,
                kind,
                epoch,
                took,
                result,
            };
            // After the loop's end nobody is left to care.
            let _ = events.send(AppEvent::OrderDone(report)).await;
        });
    }

    pub(super) fn order_done(&mut self, report: &OrderReport, now: Instant) {
        let Some(held) = self.held.get_mut(&report.target) else {
            return;
        };
        // A load or unload under an earlier lease of this daemon still changes what is on the target.
        let changes = matches!(report.kind, OrderKind::Load(_) | OrderKind::Unload(_));
        if held.lease.token != report.token && !changes {
            return;
        }
        if report.kind == OrderKind::List {
            held.list_in_flight = false;
        }
        if matches!(report.result, Err(OrderError::Stale)) {
            event!(
                Event::TargetLost,
                "{}: the target knows a newer token",
                report.target
            );
        }
        let target = report.target.clone();
        match &report.kind {
            OrderKind::Present => self.presented(report),
            OrderKind::List => self.listed(report, now),
            OrderKind::Load(model) => self.load_done(report, model, now),
            OrderKind::Unload(model) => self.unload_done(report, model, now),
            OrderKind::AskSettled(predecessor) => self.settled_answered(report, *predecessor),
        }
        self.pump(&target, now);
        self.run_bids(now);
    }

    fn presented(&mut self, report: &OrderReport) {
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
                    held.scheduler.load_succeeded(model, report.took, now);
                }
            }
            Err(OrderError::Unknown(cause)) => self.order_in_doubt(target, cause, now),
            Err(error) => {
                event!(Event::LoadFailed, "{model} on {target}: {error}");
                held.order = None;
                let refused = held.scheduler.load_failed(model, now);
                self.refuse_for_load(target, &refused);
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
            Err(OrderError::Unknown(cause)) => self.order_in_doubt(target, cause, now),
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
            .filter(|_| held.phase != HeldPhase::Lost)
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

    fn order_in_doubt(&mut self, target: &TargetName, cause: &str, now: Instant) {
        event!(Event::OrderOutcomeUnknown, "{target}: {cause}");
        let until = now.after(self.settings.membership.times.delivery_bound);
        let Some(pending) = self
            .held
            .get_mut(target)
            .and_then(|held| held.order.as_mut())
        else {
            return;
        };
        let (number, was_load) = match &pending.stage {
            OrderStage::Unloading { number } => (*number, false),
            _ => (None, true),
        };
        pending.stage = OrderStage::InDoubt {
            until,
            number,
            was_load,
        };
    }

    fn listed(&mut self, report: &OrderReport, now: Instant) {
        let target = &report.target;
        let listing = match &report.result {
            Ok((_, Some(listing))) => listing,
            Ok((_, None)) => return,
            Err(OrderError::Unreachable(_)) => return self.target_unreachable(target),
            Err(_) => return,
        };
        self.note_listing(target, listing, report.epoch, now);
        self.resolve_doubt(target, listing, now);
        self.start_serving(target);
    }

    fn note_listing(
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
            // An order under way keeps its place: it may still arrive, and its answer or the doubt ends it.
            if held.phase != HeldPhase::Lost {
                held.lease = HeldTarget::new(held.lease.token, held.config.checks_fencing);
                held.phase = HeldPhase::Preparing;
            }
        }
        free_ended(held, listing, epoch, now);
        let is_stale = epoch < held.epoch || held.order.is_some();
        if restarted || (!is_stale && differs(held, &listing.loaded)) {
            held.scheduler.replace_residents(&listing.loaded, now);
        }
        if listing.leaving != held.says_leaving {
            held.says_leaving = listing.leaving;
            self.apply_targets();
        }
        if restarted
            && self
                .held
                .get(target)
                .is_some_and(|held| held.phase == HeldPhase::Preparing)
        {
            self.prepare_target(target, now);
        }
    }

    /// An order whose answer was lost: the listing tells, once nothing of it can still arrive.
    fn resolve_doubt(&mut self, target: &TargetName, listing: &EngineListing, now: Instant) {
        let Some(held) = self.held.get_mut(target) else {
            return;
        };
        let Some(PendingOrder {
            load,
            evict,
            stage:
                OrderStage::InDoubt {
                    until,
                    number,
                    was_load,
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
        if was_load && is_loaded(&load) {
            held.scheduler
                .load_succeeded(&load, Duration::from_secs(1), now);
        } else if was_load {
            let refused = held.scheduler.load_failed(&load, now);
            self.refuse_for_load(target, &refused);
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
        if held.phase != HeldPhase::Preparing || held.lease.fence == FenceState::Presented {
            return;
        }
        held.phase = HeldPhase::Serving;
        event!(
            Event::TargetReady,
            "{target} with {} adapters",
            held.scheduler.residents().len()
        );
        self.apply_targets();
    }
}

fn order(
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

/// Frees the seats of streams that the target no longer runs, if it was asked after they ended here.
fn free_ended(held: &mut HeldRuntime, listing: &EngineListing, epoch: u64, now: Instant) {
    let ended = held
        .doubtful
        .iter()
        .filter(|(_, (stream, since))| *since <= epoch && !listing.running.contains(stream));
    let ended: Vec<_> = ended.map(|(id, _)| *id).collect();
    for id in ended {
        held.doubtful.remove(&id);
        held.scheduler.finish_request(id, now);
    }
}

fn differs(held: &HeldRuntime, loaded: &[AdapterVersion]) -> bool {
    let known: HashSet<_> = held
        .scheduler
        .residents()
        .iter()
        .map(|resident| &resident.model)
        .collect();
    known != loaded.iter().collect()
}
