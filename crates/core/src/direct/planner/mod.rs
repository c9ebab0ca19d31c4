//! Planner of a zone's engines: places calls, and decides which adapters are loaded and evicted.
//!
//! The holder of a zone runs one planner, and all calls and orders for the zone's engines pass through it. So it knows
//! the calls in flight, the prompts waiting to be read and the adapters in use. Its state is soft: after a takeover it
//! is rebuilt from the engines' reports and from the calls that gateways still have open. Engines check adapter,
//! version, fencing token and sequence themselves, so an error here costs time and never gives a wrong answer.
//! The exception is KV cache that engines fetch from each other: only `cache_transfer` checks which versions made it.
//!
//! The *named* version of an adapter is the one that operators made current. A *subject* is a base model, or an adapter
//! with its base model, written `model/adapter`.
//!
//! | module | contents |
//! |---|---|
//! | `messages` | requests of gateways, answers to them, and actions for the holder |
//! | `estimates` | configured timings of engines and weight store |
//! | `placement` | choice of the engine for a call |
//! | `cache_transfer` | KV cache that engines fetch from each other |
//! | `admission` | calls that wait for an adapter slot, and the slots that are free |
//! | `slot_queue` | order and expected waits of these calls |
//! | `slot_turnover` | observed rate at which slots are freed |
//! | `orders` | load and unload orders to engines |
//! | `replication` | additional copies of adapters in high demand |
//! | `model_loading` | base model loads into empty engines |
//! | `suspects` | placement of requests under which engines crashed |

mod admission;
mod cache_transfer;
mod estimates;
mod messages;
mod model_loading;
mod orders;
mod placement;
mod replication;
mod slot_queue;
mod slot_turnover;
mod suspects;

pub use estimates::EngineEstimates;
pub use messages::{
    CacheTransfer, CallKey, EngineCounts, PlacementAnswer, PlacementRequest, PlacementTerms,
    PlannerAction, RefusalCause, SlotWait, SlotWaitEnd,
};

use crate::{
    direct::{
        catalog::TargetEntry,
        config::EngineLimits,
        demand::DemandTable,
        engine::{CopyState, EngineState, ORPHANED_CALL_TTL, SentCall, UNANSWERED_ORDER_TTL},
        health::{CallOutcome, HealthTable},
        limits::{AdvertisedLimit, RateLimitTable},
        load_limiter::LoadLimiter,
        millis,
        planner::{cache_transfer::CacheLoan, slot_queue::SlotQueue},
        policy::PlacementPolicy,
        prefill::PrefillModel,
        reload_memory::ReloadMemory,
        shortage::LoadEstimate,
        suspects::SuspectTable,
    },
    ids::{AdapterName, Instant, TargetLife, TargetName, VmName},
};
use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    sync::Arc,
    time::Duration,
};

/// Maximum number of adapters that one engine loads at once, as engines specify it.
const MAX_LOADING_ADAPTERS: usize = 4;
/// Delay before an engine's report is read again, after a conflict, an unanswered order or a report that is outdated.
const REPORT_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Interval between reports of an engine at which prompts are overdue.
const OVERDUE_REPORT_INTERVAL: Duration = Duration::from_millis(600);
/// Time by which the expected end of a load is extended when a call did not find the adapter loaded.
const LATE_LOAD_EXTENSION: Duration = Duration::from_millis(90);
/// Retry delay for a call that no engine can take now: about the time of an adapter load.
const RETRY_AFTER_MS: u32 = 300;
/// Margin added to the expected end of a load before calls are sent.
const LOAD_MARGIN: Duration = Duration::from_millis(12);
/// Time beyond its bound for which a call may wait until its load is accepted.
const LOAD_WAIT_GRACE: Duration = Duration::from_millis(250);

/// Planner of one zone's engines.
#[derive(Debug)]
pub struct ZonePlanner {
    estimates: EngineEstimates,
    policy: PlacementPolicy,
    limits: EngineLimits,
    /// Rate limits that engines announced.
    rate_limits: RateLimitTable,
    engines: BTreeMap<TargetName, EngineState>,
    named_versions: HashMap<AdapterName, u64>,
    demand: DemandTable,
    health: HealthTable,
    prefill_model: PrefillModel,
    load_limiter: LoadLimiter,
    reload_memory: ReloadMemory,
    /// KV cache that calls are about to fetch.
    loans: HashMap<CallKey, CacheLoan>,
    /// Time until which no other holder can have sent orders to these engines.
    sole_until: Instant,
    /// Time from which no order of an earlier holder can be carried out any more.
    earlier_orders_until: Instant,
    /// Whether engines refuse orders of earlier holders.
    are_orders_fenced: bool,
    orders_from: Instant,
    next_model_load_at: Instant,
    /// Requests under which engines crashed.
    suspects: SuspectTable,
    /// Moving average of the zone's utilization, from 0 to 1.
    utilization: f64,
    /// Calls that wait for an adapter slot.
    slot_queue: SlotQueue,
    actions: VecDeque<PlannerAction>,
}

impl ZonePlanner {
    /// Creates a planner that sends no order before `orders_from`.
    #[must_use]
    pub fn new(estimates: EngineEstimates, limits: EngineLimits, orders_from: Instant) -> Self {
        // The previous holder may just have started a load. Without this delay, holders that follow each other quickly
        // load twice what the store's rate allows.
        let next_model_load_at = orders_from.after(estimates.model_load_interval);
        Self {
            estimates,
            policy: PlacementPolicy::default(),
            limits,
            rate_limits: RateLimitTable::default(),
            engines: BTreeMap::new(),
            named_versions: HashMap::new(),
            demand: DemandTable::default(),
            health: HealthTable::default(),
            prefill_model: PrefillModel::default(),
            load_limiter: LoadLimiter::with_initial_limit(estimates.initial_load_limit)
                .with_expected_time(estimates.first_load_time),
            reload_memory: ReloadMemory::default(),
            loans: HashMap::new(),
            sole_until: Instant::default(),
            earlier_orders_until: Instant::default(),
            are_orders_fenced: false,
            orders_from,
            next_model_load_at,
            suspects: SuspectTable::default(),
            utilization: 0.0,
            slot_queue: SlotQueue::default(),
            actions: VecDeque::new(),
        }
    }

    /// Takes the actions that are due since the last call.
    pub fn take_actions(&mut self) -> VecDeque<PlannerAction> {
        std::mem::take(&mut self.actions)
    }

    /// Engines of the zone.
    #[must_use]
    pub fn engines(&self) -> &BTreeMap<TargetName, EngineState> {
        &self.engines
    }

    /// Numbers of engines, and of prompts that are overdue at them.
    #[must_use]
    pub fn engine_counts(&self, now: Instant) -> EngineCounts {
        let names = || self.engines.keys();
        let overdue = self
            .engines
            .values()
            .map(|engine| engine.prompts.overdue_count(&self.prefill_model, now));
        EngineCounts {
            listed: self.engines.len(),
            unreachable: names()
                .filter(|name| self.health.is_unreachable(name, now))
                .count(),
            degraded: names().filter(|name| self.health.is_degraded(name)).count(),
            overdue_prompts: overdue.sum(),
        }
    }

    /// Limiter of loads from the weight store.
    #[must_use]
    pub fn load_limiter(&self) -> &LoadLimiter {
        &self.load_limiter
    }

    /// Starts the load limiter with what the holders of other zones have learned about the weight store.
    pub fn adopt_load_estimate(&mut self, estimate: LoadEstimate) {
        self.load_limiter.adopt(estimate);
    }

    /// Defers all orders until `until`.
    pub fn hold_orders(&mut self, until: Instant) {
        self.orders_from = self.orders_from.max(until);
    }

    /// Stops all further orders.
    pub fn stop_orders(&mut self) {
        self.orders_from = Instant(u64::MAX);
    }

    /// Marks that another holder had the zone until `now`. Its orders may be carried out late and replace copies
    /// unnoticed.
    pub fn mark_takeover(&mut self, now: Instant) {
        self.earlier_orders_until = now.after(UNANSWERED_ORDER_TTL);
    }

    /// Sets whether engines refuse orders with an older fencing token than one that they have seen.
    pub fn set_order_fencing(&mut self, is_fenced: bool) {
        self.are_orders_fenced = is_fenced;
    }

    /// Sets the time until which no other holder can have sent orders to these engines. A holder that is cut off from
    /// the log or was suspended may have been replaced: it still places calls, but lends no KV cache after that time.
    pub fn set_sole_until(&mut self, time: Instant) {
        self.sole_until = time;
    }

    /// Whether any order is unanswered.
    #[must_use]
    pub fn has_pending_orders(&self) -> bool {
        self.engines.values().any(|engine| engine.pending.is_some())
    }

    /// Sets the weights of placement decisions, for the capacity set before.
    pub fn set_policy(&mut self, policy: PlacementPolicy) {
        self.policy = policy.for_engines(&self.limits);
    }

    /// Sets the capacity of the service's engines.
    pub fn set_limits(&mut self, limits: EngineLimits) {
        self.limits = limits;
    }

    /// Updates the engines from the platform's list of targets.
    pub fn set_targets(&mut self, entries: Vec<Arc<TargetEntry>>, now: Instant) {
        let removed: Vec<_> = self
            .engines
            .keys()
            .filter(|name| !entries.iter().any(|entry| entry.name == **name))
            .cloned()
            .collect();
        for name in removed {
            self.invalidate_loans(&name);
            if let Some(engine) = self.engines.remove(&name) {
                let waiters = engine.copies.into_values().flat_map(|copy| copy.waiters);
                self.place_again(waiters.collect(), now);
            }
        }
        for entry in entries {
            match self.engines.get_mut(&entry.name) {
                Some(engine) if entry.life > engine.entry.life => {
                    self.replace_engine(&entry.name.clone(), entry, now);
                }
                Some(engine) => engine.update_entry(entry, now),
                None => {
                    let engine = EngineState::new(Arc::clone(&entry), now);
                    self.engines.insert(entry.name.clone(), engine);
                }
            }
        }
        let engines = &self.engines;
        self.health.retain(|target| engines.contains_key(target));
        self.load_limiter
            .retain(|target| engines.contains_key(target));
        self.rate_limits
            .retain(|run| engines.contains_key(&run.name));
        let serving = self.serving_engines(now).count();
        self.slot_queue.advance(now);
        self.slot_queue.set_engines(serving);
        self.send_loaded(now);
        self.serve_queue(now);
    }

    /// Records the rate limit that an engine announced in an answer.
    pub fn record_limit(&mut self, limit: &AdvertisedLimit, now: Instant) {
        if let Some(engine) = self.engines.get(&limit.run.name) {
            let in_flight = engine.calls_in_flight();
            self.rate_limits.record(limit, in_flight, now);
        }
    }

    /// Replaces the state of an engine that restarted under its name. Calls that waited for its loads are placed again.
    fn replace_engine(&mut self, name: &TargetName, entry: Arc<TargetEntry>, now: Instant) {
        let Some(engine) = self.engines.get_mut(name) else {
            return;
        };
        let fresh = engine.restarted(entry, now);
        let old = std::mem::replace(engine, fresh);
        self.invalidate_loans(name);
        self.health.forget(name);
        self.load_limiter.reset_target(name);
        let waiters = old.copies.into_values().flat_map(|copy| copy.waiters);
        self.place_again(waiters.collect(), now);
    }

    /// Whether this is the current life of an engine, as far as known.
    #[must_use]
    pub fn is_current_life(&self, name: &TargetName, life: TargetLife) -> bool {
        let engine = self.engines.get(name);
        engine.is_some_and(|engine| engine.entry.life == life)
    }

    /// Sets the named version of an adapter. Older versions than the known one are ignored.
    pub fn set_version(&mut self, adapter: &AdapterName, version: u64, now: Instant) {
        let known = self.named_versions.entry(adapter.clone()).or_default();
        if *known >= version {
            return;
        }
        *known = version;
        self.replace_stale_copies(adapter, now);
    }

    /// Takes over the adapters that an engine loaded under earlier holders, with their named versions, the latest last.
    pub fn record_earlier_loads(
        &mut self,
        name: &TargetName,
        earlier: Vec<(AdapterName, Option<u64>)>,
    ) {
        if let Some(engine) = self.engines.get_mut(name) {
            engine.record_earlier_loads(earlier);
        }
    }

    /// Number of recently loaded adapters that engines are expected to reload quickly.
    #[must_use]
    pub fn kept_adapters(&self) -> usize {
        let assumed = self.policy.max_recent_adapters;
        if self.policy.scarcity.learns_recent_adapters {
            self.reload_memory.kept(assumed)
        } else {
            assumed
        }
    }

    /// Whether an engine is expected to have an adapter in its memory, so that it does not come from the weight store.
    pub(super) fn reloads_quickly(&self, engine: &EngineState, subject: &AdapterName) -> bool {
        let rank = engine.reload_rank(subject, self.named_version(subject));
        rank.is_some_and(|rank| rank < self.kept_adapters())
    }

    /// Version of an adapter that calls have to name. None for a base model: engines get its new weights at their
    /// next start only, and until then every engine would reject calls that name them.
    pub(super) fn named_version(&self, subject: &AdapterName) -> Option<u64> {
        let has_adapter = split_subject(subject).1.is_some();
        let named = self.named_versions.get(subject).filter(|_| has_adapter);
        named.copied()
    }

    /// Version that a call at an engine has to name. A copy may be newer than the named version, as a restored log may
    /// lack the record that named its version, and the engine would reject calls that name an older one.
    pub(super) fn required_version(
        &self,
        engine: &EngineState,
        subject: &AdapterName,
    ) -> Option<u64> {
        let named = self.named_version(subject)?;
        engine.pinned_version(subject).max(Some(named))
    }

    /// Adopts a call that a gateway had open before this planner started.
    pub fn adopt_call(&mut self, key: CallKey, target: &TargetName, subject: &AdapterName) {
        self.drop_call(&key);
        let Some(engine) = self.engines.get_mut(target) else {
            return;
        };
        if let Some(copy) = engine.copies.get_mut(subject) {
            copy.active_calls += 1;
        }
        let call = SentCall {
            subject: subject.clone(),
            tokens: 0,
            shared: Vec::new(),
            generation: None,
            fingerprint: None,
        };
        engine.add_call(key, call);
    }

    /// Records the first event of a call. The engine has read its prompt, under the version of the base model that the
    /// answer states.
    pub fn call_started(
        &mut self,
        key: &CallKey,
        target: &TargetName,
        version: Option<u64>,
        now: Instant,
    ) {
        self.end_loan(key, now);
        self.record_admission(target, true, now);
        if let Some(engine) = self.engines.get_mut(target) {
            if let Some(version) = version {
                engine.record_prompt_read(key, version, now);
            }
            engine
                .prompts
                .record_first_event(key, &mut self.prefill_model, now);
            if let Some(load) = engine.resolve_load(key)
                && !load.is_judged
            {
                self.load_limiter.record_on_time(target, load, now);
            }
            if let Some(rank) = engine.resolve_reload(key) {
                self.reload_memory.record(rank, true, now);
            }
        }
        self.serve_queue(now);
    }

    /// Forgets connection failures of all engines, as the path to the zone is restored.
    pub fn forget_connect_failures(&mut self) {
        self.health.forget_connect_failures(|_| true);
    }

    /// Records whether an engine accepted a call.
    fn record_admission(&mut self, target: &TargetName, is_accepted: bool, now: Instant) {
        if let Some(engine) = self.engines.get(target) {
            let in_flight = engine.calls_in_flight();
            self.rate_limits
                .record_outcome(target, is_accepted, in_flight, now);
        }
    }

    /// Records the end of a call, or that its gateway abandoned it.
    pub fn call_ended(
        &mut self,
        key: &CallKey,
        target: Option<&TargetName>,
        outcome: Option<CallOutcome>,
        now: Instant,
    ) {
        if let (Some(target), Some(outcome)) = (target, outcome) {
            self.health.record(target, outcome, now);
            if matches!(outcome, CallOutcome::Overloaded(_)) {
                self.record_admission(target, false, now);
            }
        }
        // If the caller has disconnected, the engine may still receive the call and fetch the cache.
        self.end_loan(key, now.after(ORPHANED_CALL_TTL));
        for copy in self
            .engines
            .values_mut()
            .flat_map(|engine| engine.copies.values_mut())
        {
            copy.waiters.retain(|waiting| waiting.key != *key);
        }
        self.slot_queue.remove(key, now);
        if let Some(subject) = self.drop_call(key)
            && self.named_versions.contains_key(&subject)
        {
            self.replace_stale_copies(&subject, now);
        }
        self.serve_queue(now);
    }

    /// Removes a call from its engine. Returns the adapter if no other call uses that copy.
    pub(super) fn drop_call(&mut self, key: &CallKey) -> Option<AdapterName> {
        let mut freed = None;
        for engine in self.engines.values_mut() {
            if let Some(call) = engine.remove_call(key)
                && let Some(copy) = engine.copies.get_mut(&call.subject)
            {
                copy.active_calls = copy.active_calls.saturating_sub(1);
                if copy.active_calls == 0 {
                    freed = Some(call.subject);
                }
            }
        }
        freed
    }

    /// Records that a target rejected a call because it lacks the subject. Most likely the load takes longer than
    /// expected.
    pub fn report_missing_copy(&mut self, key: &CallKey, target: &TargetName, now: Instant) {
        let Some(engine) = self.engines.get_mut(target) else {
            return;
        };
        engine.report_due_at = Some(now);
        // The target may have the adapter but lack the version that made the cache to be fetched, so such a
        // rejection does not show that the load was late.
        let fetches_cache = self.loans.contains_key(key);
        if let Some(load) = engine.resolve_load(key).filter(|_| !fetches_cache) {
            self.load_limiter.record_late(target, load, now);
        }
        let slow_reload = engine.resolve_reload(key).filter(|_| !fetches_cache);
        if let Some(rank) = slow_reload {
            self.reload_memory.record(rank, false, now);
        }
        let Some(subject) = engine.calls.get(key).map(|call| call.subject.clone()) else {
            return;
        };
        if !self.named_versions.contains_key(&subject) {
            // Without a named version, the call may have named a version that the target does not have.
            engine.invalidate_copy(&subject);
        }
        if let Some(copy) = engine.copies.get_mut(&subject)
            && matches!(copy.state, CopyState::Loaded | CopyState::Loading(_))
        {
            // A reload that was not fast comes from the weight store.
            let is_store_reload =
                slow_reload.is_some() && self.policy.scarcity.learns_recent_adapters;
            let extension = if is_store_reload {
                self.load_limiter.expected_time(target)
            } else {
                LATE_LOAD_EXTENSION
            };
            copy.state = CopyState::Loading(now.after(extension));
        }
    }

    /// Drops all calls of an unreachable gateway. The engines may still run them for `ORPHANED_CALL_TTL`.
    pub fn forget_gateway(&mut self, vm: &VmName, now: Instant) {
        let keys: Vec<_> = self
            .engines
            .values()
            .flat_map(|engine| {
                let waiting = engine.copies.values().flat_map(|copy| &copy.waiters);
                engine
                    .calls
                    .keys()
                    .chain(waiting.map(|waiting| &waiting.key))
            })
            .chain(self.slot_queue.keys())
            .filter(|key| key.vm == *vm)
            .cloned()
            .collect();
        for key in keys {
            let copies = self.engines.values_mut().filter_map(|engine| {
                let call = engine.calls.get(&key)?;
                engine.copies.get_mut(&call.subject)
            });
            for copy in copies {
                copy.pinned_until = now.after(ORPHANED_CALL_TTL);
            }
            self.end_loan(&key, now.after(ORPHANED_CALL_TTL));
            self.call_ended(&key, None, None, now);
        }
    }

    /// Runs the periodic work: finished loads, due reports, expired waiters, empty engines and queued orders.
    pub fn tick(&mut self, now: Instant) {
        self.update_utilization(now);
        self.load_limiter.decay(now);
        let names: Vec<_> = self.engines.keys().cloned().collect();
        for name in &names {
            self.refresh_engine(name, now);
            self.expire_waiters(name, now);
            self.load_base_model(name, now);
        }
        self.issue_orders(names, now);
        self.expire_queued(now);
        self.serve_queue(now);
    }

    fn refresh_engine(&mut self, name: &TargetName, now: Instant) {
        let Some(engine) = self.engines.get_mut(name) else {
            return;
        };
        let mut stale = Vec::new();
        for (adapter, copy) in &mut engine.copies {
            if matches!(copy.state, CopyState::Loading(at) if now >= at) {
                copy.state = CopyState::Loaded;
            }
            let named = self.named_versions.get(adapter);
            let is_stale = named.is_some_and(|named| copy.is_stale_for(*named));
            if copy.state == CopyState::Loaded && is_stale {
                stale.push(adapter.clone());
            }
        }
        for adapter in stale {
            self.replace_stale_copies(&adapter, now);
        }
        let Some(engine) = self.engines.get_mut(name) else {
            return;
        };
        if now >= self.earlier_orders_until
            && !engine.has_accepted_order
            && engine.reported_at < self.earlier_orders_until
        {
            engine.report_due_at.get_or_insert(now);
        }
        if engine.prompts.overdue_count(&self.prefill_model, now) > 0
            && now.since(engine.reported_at) >= OVERDUE_REPORT_INTERVAL
        {
            // The prompts may never have reached the engine.
            engine.report_due_at.get_or_insert(now);
        }
        let is_due = engine.report_due_at.is_some_and(|at| now >= at);
        if is_due && !engine.is_reporting && engine.pending.is_none() {
            engine.report_due_at = None;
            engine.is_reporting = true;
            self.actions
                .push_back(PlannerAction::FetchReport(Arc::clone(&engine.entry)));
        }
    }

    /// Refuses calls that have waited too long for their load. The load continues, so a retry finds the adapter loaded.
    fn expire_waiters(&mut self, name: &TargetName, now: Instant) {
        let Some(engine) = self.engines.get_mut(name) else {
            return;
        };
        let mut late = Vec::new();
        for copy in engine.copies.values_mut() {
            late.extend(copy.waiters.extract_if(.., |waiting| now >= waiting.until));
        }
        for waiting in late {
            let retry_after_ms = millis(self.load_limiter.expected_time(name));
            let cause = RefusalCause::LoadLate;
            self.refuse(waiting.key, retry_after_ms, cause);
        }
    }

    fn refuse(&mut self, key: CallKey, retry_after_ms: u32, cause: RefusalCause) {
        let answer = PlacementAnswer::Refuse {
            retry_after_ms,
            cause,
        };
        self.answer(key, answer);
    }

    fn answer(&mut self, key: CallKey, answer: PlacementAnswer) {
        self.actions.push_back(PlannerAction::Answer(key, answer));
    }
}

/// Splits a subject `model/adapter` into model and adapter.
#[must_use]
pub fn split_subject(subject: &AdapterName) -> (&str, Option<&str>) {
    match subject.as_str().split_once('/') {
        Some((model, adapter)) => (model, Some(adapter)),
        None => (subject.as_str(), None),
    }
}
