//! Load and unload orders to engines, and the calls that wait for loads.
//!
//! Each engine gets one order at a time.

use crate::{
    direct::{
        engine::{
            CopyState, EngineOrder, EngineReport, EngineState, ORPHANED_CALL_TTL, OrderKind,
            OrderOutcome, WaitingCall,
        },
        load_limiter::StoreLoad,
        planner::{
            LOAD_MARGIN, LOAD_WAIT_GRACE, MAX_LOADING_ADAPTERS, PlannerAction, REPORT_RETRY_DELAY,
            RETRY_AFTER_MS, RefusalCause, ZonePlanner, millis, split_subject,
        },
        versions::{ObservedVersion, VersionSource},
    },
    ids::{AdapterName, Instant, TargetName},
};
use std::{sync::Arc, time::Duration};

/// Number of excluded engines from which a call whose load failed is refused instead of placed again.
const MAX_PLACEMENTS: usize = 3;
/// Delay before the report is read after a base model load was accepted.
const MODEL_LOAD_CHECK_DELAY: Duration = Duration::from_millis(700);

impl ZonePlanner {
    /// Records the answer to the pending order of an engine, or that it timed out.
    pub fn order_ended(&mut self, name: &TargetName, outcome: OrderOutcome, now: Instant) {
        let load_time = self.load_limiter.expected_time(name);
        let is_bound =
            self.store_loads_in_flight(now) + self.queued_loads() >= self.load_limiter.limit();
        let Some(engine) = self.engines.get_mut(name) else {
            return;
        };
        let Some(order) = engine.pending.take() else {
            return;
        };
        if outcome == OrderOutcome::Unanswered && order.repeats_left > 0 {
            // The repeated order expects the same sequence number, so the engine carries out one of the two at most.
            engine.record_unanswered_order(&order, now);
            let repeated = EngineOrder {
                repeats_left: order.repeats_left - 1,
                ..order
            };
            engine.pending = Some(repeated.clone());
            let entry = Arc::clone(&engine.entry);
            self.actions
                .push_back(PlannerAction::Order(entry, repeated));
            return;
        }
        let subject = order.subject.clone();
        let is_model = split_subject(&subject).1.is_none();
        let mut has_failed = false;
        engine.ordered_at = now;
        if matches!(outcome, OrderOutcome::Begun | OrderOutcome::Done) {
            engine.record_accepted_order(&order);
        }
        match (outcome, order.kind) {
            (OrderOutcome::Done | OrderOutcome::Begun, _) if is_model => {
                engine.sequence += 1;
                engine.report_due_at = Some(now.after(MODEL_LOAD_CHECK_DELAY));
            }
            (OrderOutcome::Done | OrderOutcome::Begun, OrderKind::Load) => {
                if outcome == OrderOutcome::Begun {
                    engine.sequence += 1;
                    engine.has_accepted_order = true;
                }
                let (time, load) = match outcome {
                    OrderOutcome::Done => (Duration::ZERO, None),
                    _ if !order.is_store_load => (self.estimates.reload_time, None),
                    _ => (load_time, Some(StoreLoad::started(now, is_bound))),
                };
                let reload_rank = engine
                    .reload_rank(&subject, order.version)
                    .filter(|_| outcome == OrderOutcome::Begun && !order.is_store_load);
                engine.record_recent_load(&subject, order.version, self.policy.max_recent_adapters);
                if let Some(copy) = engine.copies.get_mut(&subject) {
                    copy.reload_rank = reload_rank;
                    copy.state = if time.is_zero() {
                        CopyState::Loaded
                    } else {
                        CopyState::Loading(now.after(time))
                    };
                    copy.load = load;
                    // Without a named version the engine loads the newest of that moment, which is unknown here.
                    let named = order.version;
                    copy.known_version = named.and_then(|version| {
                        ObservedVersion::observe(version, VersionSource::Order, now)
                    });
                    let waiters = std::mem::take(&mut copy.waiters);
                    self.send_waiters(name, waiters, now);
                }
            }
            (OrderOutcome::Done, OrderKind::Unload) => {
                engine.sequence += 1;
                engine.has_accepted_order = true;
                engine.copies.remove(&subject);
            }
            (OrderOutcome::Begun, OrderKind::Unload) => {
                // The adapter is in use after all: the engine accepts no other order until its calls have ended.
                engine.sequence += 1;
                engine.unloading = Some(subject);
                engine.report_due_at = Some(now.after(REPORT_RETRY_DELAY));
                self.clear_queue(name, now);
            }
            (OrderOutcome::Fenced, _) => has_failed = true,
            (OrderOutcome::Conflict, OrderKind::Unload) => {
                // The adapter may still be loading: it is not evicted until the report shows its state.
                if let Some(copy) = engine.copies.get_mut(&subject) {
                    copy.state = CopyState::Loaded;
                    copy.pinned_until = now.after(ORPHANED_CALL_TTL);
                }
                has_failed = true;
                engine.report_due_at = Some(now.after(REPORT_RETRY_DELAY));
                engine.is_inventory_known = false;
            }
            (OrderOutcome::Conflict | OrderOutcome::Refused | OrderOutcome::Unanswered, _) => {
                has_failed = true;
                if outcome == OrderOutcome::Unanswered {
                    engine.record_unanswered_order(&order, now);
                }
                engine.report_due_at = Some(now.after(REPORT_RETRY_DELAY));
                engine.is_inventory_known = false;
            }
        }
        if has_failed {
            self.clear_queue(name, now);
        }
        self.issue_next_order(name, now);
        self.serve_queue(now);
    }

    /// Clears the queue of an engine that accepts no orders for now, and places its waiting calls elsewhere.
    fn clear_queue(&mut self, name: &TargetName, now: Instant) {
        let Some(engine) = self.engines.get_mut(name) else {
            return;
        };
        engine.queue.clear();
        let mut waiters = Vec::new();
        engine.copies.retain(|_, copy| {
            waiters.append(&mut copy.waiters);
            if copy.state == CopyState::ReloadQueued {
                copy.state = CopyState::Loaded;
            }
            copy.state != CopyState::Queued
        });
        self.place_elsewhere(name, waiters, now);
    }

    /// Places calls that waited for a load at an engine again, excluding that engine.
    fn place_elsewhere(&mut self, name: &TargetName, waiters: Vec<WaitingCall>, now: Instant) {
        let waiters = waiters.into_iter().map(|mut waiting| {
            waiting.request.exclude.push(name.clone());
            waiting
        });
        self.place_again(waiters.collect(), now);
    }

    pub(super) fn place_again(&mut self, waiters: Vec<WaitingCall>, now: Instant) {
        for WaitingCall {
            key,
            mut request,
            until,
        } in waiters
        {
            if self.policy.admission.is_some() {
                let remaining = until.before(LOAD_WAIT_GRACE).since(now);
                request.bound_ms = request.bound_ms.min(millis(remaining));
            }
            if request.exclude.len() >= MAX_PLACEMENTS {
                self.refuse(key, RETRY_AFTER_MS, RefusalCause::LoadsFailed);
            } else {
                self.try_place(key, request, now);
            }
        }
    }

    fn send_waiters(&mut self, name: &TargetName, waiters: Vec<WaitingCall>, now: Instant) {
        for WaitingCall { key, request, .. } in waiters {
            let mut wait_ms = 0;
            if let Some(copy) = self
                .engines
                .get_mut(name)
                .and_then(|engine| engine.copies.get_mut(&request.subject))
            {
                copy.active_calls += 1;
                if let CopyState::Loading(at) = copy.state {
                    wait_ms = millis(at.since(now) + LOAD_MARGIN);
                }
            }
            self.send_with_wait(name, key, &request, wait_ms, now);
        }
    }

    /// Applies the report of an engine; none if it could not be read.
    pub fn report_received(
        &mut self,
        name: &TargetName,
        report: Option<&EngineReport>,
        now: Instant,
    ) {
        let Some(engine) = self.engines.get(name) else {
            return;
        };
        if let Some(report) = report.filter(|report| report.life > engine.entry.life) {
            let mut entry = (*engine.entry).clone();
            entry.life = report.life;
            self.replace_engine(name, Arc::new(entry), now);
        }
        let Some(engine) = self.engines.get_mut(name) else {
            return;
        };
        engine.is_reporting = false;
        let report = report.filter(|report| engine.is_from_current_life(report));
        match report {
            Some(report) if engine.is_report_stale(report, now) => {
                engine.report_due_at = Some(now.after(REPORT_RETRY_DELAY));
            }
            Some(report) => {
                engine.apply_report(report, now);
                engine.remove_lost_prompts(report.requests, &self.prefill_model, now);
                if report.is_busy || engine.unloading.is_some() || engine.has_untracked_calls(now) {
                    engine.report_due_at = Some(now.after(REPORT_RETRY_DELAY));
                }
                let adapters: Vec<_> = engine.copies.keys().cloned().collect();
                for adapter in adapters {
                    self.replace_stale_copies(&adapter, now);
                }
            }
            None => engine.report_due_at = Some(now.after(REPORT_RETRY_DELAY)),
        }
        self.issue_next_order(name, now);
        self.send_loaded(now);
        self.serve_queue(now);
    }

    /// Sends the next order to each engine, those for the most urgent calls first.
    pub(super) fn issue_orders(&mut self, mut names: Vec<TargetName>, now: Instant) {
        names.sort_by_cached_key(|name| self.engines.get(name).map(most_urgent_rank));
        for name in names {
            self.issue_next_order(&name, now);
        }
    }

    /// Sends the next order to an engine, unless one is outstanding or the load limit is reached.
    pub(super) fn issue_next_order(&mut self, name: &TargetName, now: Instant) {
        if now < self.orders_from {
            return;
        }
        loop {
            let Some(engine) = self.engines.get(name) else {
                return;
            };
            let is_blocked = engine.pending.is_some()
                || engine.unloading.is_some()
                || !engine.is_inventory_known
                || engine.is_reporting;
            if is_blocked {
                return;
            }
            let Some((kind, subject)) = engine.queue.front().cloned() else {
                return;
            };
            let is_adapter = split_subject(&subject).1.is_some();
            let is_present = engine
                .copies
                .get(&subject)
                .is_some_and(|copy| copy.state != CopyState::Queued);
            if kind == OrderKind::Load && is_adapter {
                if !engine.copies.contains_key(&subject) {
                    // The copy was to be replaced and has gone since.
                    self.drop_next_load(name, now);
                    continue;
                }
                if engine.loading_count(now) >= MAX_LOADING_ADAPTERS {
                    return;
                }
            }
            if kind == OrderKind::Load && is_adapter && !is_present {
                let is_fast = self.reloads_quickly(engine, &subject);
                if !is_fast && self.store_loads_in_flight(now) >= self.load_limiter.limit() {
                    return;
                }
                if !self.load_hold_remaining(now).is_zero() {
                    return;
                }
                let occupied = engine.occupied_slots() + engine.late_load_slots(now);
                if occupied >= self.limits.adapter_slots as usize {
                    let Some(victim) = self.eviction_victim(engine, now) else {
                        self.drop_next_load(name, now);
                        continue;
                    };
                    self.issue_order(name, OrderKind::Unload, &victim);
                    return;
                }
            }
            if let Some(engine) = self.engines.get_mut(name) {
                engine.queue.pop_front();
            }
            self.issue_order(name, kind, &subject);
            return;
        }
    }

    /// Remaining time for which no load is ordered after a takeover.
    ///
    /// Late loads of an earlier holder may still take adapter slots. Their number is unknown, as an engine that has
    /// restarted since has accepted fewer orders than they expect. An engine crashes if it is given more adapters than
    /// it has slots for. Engines that check fencing tokens refuse such loads, so there is no wait for these.
    pub(super) fn load_hold_remaining(&self, now: Instant) -> Duration {
        if self.are_orders_fenced {
            Duration::ZERO
        } else {
            self.earlier_orders_until.since(now)
        }
    }

    /// Drops the next load of an engine that has no slot to free for it, and places its waiting calls elsewhere.
    fn drop_next_load(&mut self, name: &TargetName, now: Instant) {
        let Some(engine) = self.engines.get_mut(name) else {
            return;
        };
        let Some((_, subject)) = engine.queue.pop_front() else {
            return;
        };
        if let Some(copy) = engine.copies.remove(&subject) {
            self.place_elsewhere(name, copy.waiters, now);
        }
    }

    fn issue_order(&mut self, name: &TargetName, kind: OrderKind, subject: &AdapterName) {
        let version = self.named_versions.get(subject).copied();
        let is_store_load = kind == OrderKind::Load
            && split_subject(subject).1.is_some()
            && self
                .engines
                .get(name)
                .is_some_and(|engine| !self.reloads_quickly(engine, subject));
        let Some(engine) = self.engines.get_mut(name) else {
            return;
        };
        let order = EngineOrder {
            is_store_load,
            repeats_left: self.policy.scarcity.order_repeats,
            kind,
            subject: subject.clone(),
            version: if kind == OrderKind::Load {
                version
            } else {
                None
            },
            expected: engine.sequence,
        };
        match kind {
            OrderKind::Load => engine.invalidate_copy(subject),
            OrderKind::Unload => {
                if let Some(copy) = engine.copies.get_mut(subject) {
                    copy.state = CopyState::Unloading;
                }
            }
        }
        engine.pending = Some(order.clone());
        self.actions
            .push_back(PlannerAction::Order(Arc::clone(&engine.entry), order));
    }

    /// Copy to evict: the unused one with the least demand per copy in the zone, then the least recently used.
    pub(super) fn eviction_victim(
        &self,
        engine: &EngineState,
        now: Instant,
    ) -> Option<AdapterName> {
        engine
            .copies
            .iter()
            .filter(|(_, copy)| {
                copy.is_unused(now) && copy.state == CopyState::Loaded
            })
            // Computed once per copy rather than in each comparison, as `copy_count` visits all engines of the zone.
            .map(|(subject, copy)| {
                let use_per_copy = self.demand.count(subject, now) / self.copy_count(subject);
                (use_per_copy, copy.last_used_at, subject)
            })
            .min_by(|left, right| left.0.total_cmp(&right.0).then(left.1.cmp(&right.1)))
            .map(|(.., subject)| subject.clone())
    }

    fn copy_count(&self, subject: &AdapterName) -> f64 {
        let copies = self
            .engines
            .values()
            .filter(|engine| engine.copies.contains_key(subject))
            .count();
        copies.max(1) as f64
    }

    /// Queues reloads of unused copies that are older than the named version.
    pub(super) fn replace_stale_copies(&mut self, adapter: &AdapterName, now: Instant) {
        let Some(version) = self.named_versions.get(adapter).copied() else {
            return;
        };
        let mut reloading = Vec::new();
        for (name, engine) in &mut self.engines {
            let Some(copy) = engine.copies.get_mut(adapter) else {
                continue;
            };
            if copy.is_stale_for(version)
                && copy.is_replaceable(now)
                && copy.state == CopyState::Loaded
            {
                copy.state = CopyState::ReloadQueued;
                engine.queue.push_back((OrderKind::Load, adapter.clone()));
                reloading.push(name.clone());
            }
        }
        for name in reloading {
            self.issue_next_order(&name, now);
        }
    }
}

/// Rank of the most urgent call that waits for the next load of an engine.
fn most_urgent_rank(engine: &EngineState) -> u8 {
    engine
        .queue
        .front()
        .and_then(|(_, subject)| engine.copies.get(subject))
        .and_then(|copy| {
            copy.waiters
                .iter()
                .map(|waiting| waiting.request.priority)
                .min()
        })
        .unwrap_or(u8::MAX)
}
