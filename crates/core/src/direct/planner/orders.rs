//! What engines are ordered, one order at a time each, and what becomes of the calls behind it.

use crate::{
    direct::{
        engine::{
            CopyState, EngineOrder, EngineReport, EngineState, ORPHANED_CALL_TTL, OrderKind,
            OrderOutcome, WaitingCall,
        },
        load_limiter::StoreLoad,
        planner::{
            COME_BACK_MS, COMING_MOST, LOAD_MARGIN, PlannerAction, RefusalCause, SETTLE,
            ZonePlanner, millis, split_subject,
        },
        versions::{ObservedVersion, VersionSource},
    },
    ids::{AdapterName, Instant, TargetName},
};
use std::{sync::Arc, time::Duration};

/// Times that one call is placed anew because a load came to nothing.
const MOST_PLACINGS: usize = 3;
/// Time that a model load may take before the report is read again.
const MODEL_LOAD_CHECK: Duration = Duration::from_millis(700);

impl ZonePlanner {
    /// An order was answered, or its answer is overdue.
    pub fn order_ended(&mut self, name: &TargetName, outcome: OrderOutcome, now: Instant) {
        let store_time = self.loads.expected_time(name);
        let is_bound = self.store_loads_in_flight(now) + self.loads_waiting() >= self.loads.limit();
        let Some(engine) = self.engines.get_mut(name) else {
            return;
        };
        let Some(order) = engine.pending.take() else {
            return;
        };
        let subject = order.subject.clone();
        let is_model = split_subject(&subject).1.is_none();
        let mut failed = false;
        engine.ordered_at = now;
        if matches!(outcome, OrderOutcome::Begun | OrderOutcome::Done) {
            engine.record_accepted_order(&order);
        }
        match (outcome, order.kind) {
            (OrderOutcome::Done | OrderOutcome::Begun, _) if is_model => {
                engine.sequence += 1;
                engine.report_due_at = Some(now.after(MODEL_LOAD_CHECK));
            }
            (OrderOutcome::Done | OrderOutcome::Begun, OrderKind::Load) => {
                if outcome == OrderOutcome::Begun {
                    engine.sequence += 1;
                    engine.has_accepted_order = true;
                }
                let (time, load) = match outcome {
                    OrderOutcome::Done => (Duration::ZERO, None),
                    _ if engine.was_recently_loaded(&subject, order.version) => {
                        (self.figures.reload_time, None)
                    }
                    _ => (store_time, Some(StoreLoad::started(now, is_bound))),
                };
                engine.record_recent_load(&subject, order.version, self.policy.max_recent_adapters);
                if let Some(copy) = engine.copies.get_mut(&subject) {
                    copy.state = if time.is_zero() {
                        CopyState::Loaded
                    } else {
                        CopyState::Loading(now.after(time))
                    };
                    copy.load = load;
                    // Without a named version it is the newest of when the engine began, which nobody here knows.
                    let named = order.version;
                    copy.known_version = named.and_then(|version| {
                        ObservedVersion::observe(version, VersionSource::Order, now)
                    });
                    let waiters = std::mem::take(&mut copy.waiters);
                    self.release_waiters(name, waiters, now);
                }
            }
            (OrderOutcome::Done, OrderKind::Unload) => {
                engine.sequence += 1;
                engine.has_accepted_order = true;
                engine.copies.remove(&subject);
            }
            (OrderOutcome::Begun, OrderKind::Unload) => {
                // It is in use after all: the engine takes no other order until its runs have ended.
                engine.sequence += 1;
                engine.unloading = Some(subject);
                engine.report_due_at = Some(now.after(SETTLE));
                self.empty_queue(name, now);
            }
            (OrderOutcome::Fenced, _) => failed = true,
            (OrderOutcome::Conflict, OrderKind::Unload) => {
                // It may be on its way in still: it is passed over until the report shows it.
                if let Some(copy) = engine.copies.get_mut(&subject) {
                    copy.state = CopyState::Loaded;
                    copy.pinned_until = now.after(ORPHANED_CALL_TTL);
                }
                failed = true;
                engine.report_due_at = Some(now.after(SETTLE));
                engine.is_inventory_known = false;
            }
            (OrderOutcome::Conflict | OrderOutcome::Refused | OrderOutcome::Unanswered, _) => {
                failed = true;
                if outcome == OrderOutcome::Unanswered {
                    engine.record_unanswered_order(&order, now);
                }
                engine.report_due_at = Some(now.after(SETTLE));
                engine.is_inventory_known = false;
            }
        }
        if failed {
            self.empty_queue(name, now);
        }
        self.advance(name, now);
    }

    /// Drops what was planned for an engine that takes no orders for now; whoever waits is placed elsewhere.
    fn empty_queue(&mut self, name: &TargetName, now: Instant) {
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

    /// Places calls anew that waited for a load at an engine.
    fn place_elsewhere(&mut self, name: &TargetName, waiters: Vec<WaitingCall>, now: Instant) {
        let waiters = waiters.into_iter().map(|mut waiting| {
            waiting.ask.exclude.push(name.clone());
            waiting
        });
        self.place_waiters_again(waiters.collect(), now);
    }

    pub(super) fn place_waiters_again(&mut self, waiters: Vec<WaitingCall>, now: Instant) {
        for WaitingCall { key, ask, .. } in waiters {
            if ask.exclude.len() >= MOST_PLACINGS {
                self.refuse(key, COME_BACK_MS, RefusalCause::LoadsFailed);
            } else {
                self.place_known(key, ask, now);
            }
        }
    }

    fn release_waiters(&mut self, name: &TargetName, waiters: Vec<WaitingCall>, now: Instant) {
        for WaitingCall { key, ask, .. } in waiters {
            let mut wait_ms = 0;
            if let Some(copy) = self
                .engines
                .get_mut(name)
                .and_then(|engine| engine.copies.get_mut(&ask.subject))
            {
                copy.active_calls += 1;
                if let CopyState::Loading(at) = copy.state {
                    wait_ms = millis(at.since(now) + LOAD_MARGIN);
                }
            }
            self.send_after(name, key, &ask, wait_ms, now);
        }
    }

    /// An engine's report came; none if it could not be read.
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
                engine.report_due_at = Some(now.after(SETTLE));
            }
            Some(report) => {
                engine.apply_report(report, now);
                if report.is_busy || engine.unloading.is_some() || engine.has_untracked_calls(now) {
                    engine.report_due_at = Some(now.after(SETTLE));
                }
                let held: Vec<_> = engine.copies.keys().cloned().collect();
                for adapter in held {
                    self.replace_stale(&adapter, now);
                }
            }
            None => engine.report_due_at = Some(now.after(SETTLE)),
        }
        self.advance(name, now);
    }

    /// Gives the next orders, those for the most urgent calls first.
    pub(super) fn advance_all(&mut self, mut names: Vec<TargetName>, now: Instant) {
        names.sort_by_cached_key(|name| self.engines.get(name).map(most_urgent));
        for name in names {
            self.advance(&name, now);
        }
    }

    /// Gives the next order to an engine, if its turn has come.
    pub(super) fn advance(&mut self, name: &TargetName, now: Instant) {
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
            let is_held = engine
                .copies
                .get(&subject)
                .is_some_and(|copy| copy.state != CopyState::Queued);
            if kind == OrderKind::Load && is_adapter {
                if !engine.copies.contains_key(&subject) {
                    // It has gone since it was to be replaced.
                    self.drop_front(name, now);
                    continue;
                }
                if engine.loading_count(now) >= COMING_MOST {
                    return;
                }
            }
            if kind == OrderKind::Load && is_adapter && !is_held {
                let is_fast = engine.was_recently_loaded(&subject, self.named_version(&subject));
                if !is_fast && self.store_loads_in_flight(now) >= self.loads.limit() {
                    return;
                }
                if !self.loads_held(now).is_zero() {
                    return;
                }
                let taken = engine.occupied_slots() + engine.late_load_slots(now);
                if taken >= self.limits.adapter_slots as usize {
                    let Some(victim) = self.victim(engine, now) else {
                        self.drop_front(name, now);
                        continue;
                    };
                    self.issue(name, OrderKind::Unload, &victim);
                    return;
                }
            }
            if let Some(engine) = self.engines.get_mut(name) {
                engine.queue.pop_front();
            }
            self.issue(name, kind, &subject);
            return;
        }
    }

    /// Time for which no load is ordered: loads that an earlier holder ordered may yet take places of engines, nobody knows how many, as an
    /// engine that has started again since has taken fewer orders than those expect. Guards against engines that fall as they
    /// are given more than they have places for; engines that check fencing tokens refuse such loads.
    pub(super) fn loads_held(&self, now: Instant) -> Duration {
        if self.are_orders_fenced {
            Duration::ZERO
        } else {
            self.settled_from.since(now)
        }
    }

    /// Gives up a load for which no room can be made.
    fn drop_front(&mut self, name: &TargetName, now: Instant) {
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

    fn issue(&mut self, name: &TargetName, kind: OrderKind, subject: &AdapterName) {
        let version = self.versions.get(subject).copied();
        let Some(engine) = self.engines.get_mut(name) else {
            return;
        };
        let order = EngineOrder {
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

    /// The copy that is missed least: unused, and of little demand for its number of copies in the zone.
    pub(super) fn victim(&self, engine: &EngineState, now: Instant) -> Option<AdapterName> {
        engine
            .copies
            .iter()
            .filter(|(_, copy)| {
                copy.is_unused(now) && copy.state == CopyState::Loaded
            })
            // Once each, and not in every comparison: a zone's engines are looked at for each of them.
            .map(|(subject, copy)| {
                let worth = self.demand.count(subject, now) / self.copies_of(subject);
                (worth, copy.last_used_at, subject)
            })
            .min_by(|left, right| left.0.total_cmp(&right.0).then(left.1.cmp(&right.1)))
            .map(|(.., subject)| subject.clone())
    }

    fn copies_of(&self, subject: &AdapterName) -> f64 {
        let copies = self
            .engines
            .values()
            .filter(|engine| engine.copies.contains_key(subject))
            .count();
        copies.max(1) as f64
    }

    /// Orders the replacement of copies that are older than the named version and not in use.
    pub(super) fn replace_stale(&mut self, adapter: &AdapterName, now: Instant) {
        let Some(version) = self.versions.get(adapter).copied() else {
            return;
        };
        let mut touched = Vec::new();
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
                touched.push(name.clone());
            }
        }
        for name in touched {
            self.advance(&name, now);
        }
    }
}

/// Rank of the most urgent call that waits for an engine's next load.
fn most_urgent(engine: &EngineState) -> u8 {
    engine
        .queue
        .front()
        .and_then(|(_, subject)| engine.copies.get(subject))
        .and_then(|copy| {
            copy.waiters
                .iter()
                .map(|waiting| waiting.ask.priority)
                .min()
        })
        .unwrap_or(u8::MAX)
}
