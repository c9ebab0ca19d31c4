//! The holder's view of a zone's engines: where calls go, what is loaded and what makes way.
//!
//! Everything that the engines of a zone are sent passes through one planner, so it knows the calls in flight, the
//! prompts that wait and the adapters in use. It is soft state: after a takeover it is rebuilt from the engines' own
//! reports and from the calls that gateways still have open. Engines check what matters (adapter, version, fence,
//! sequence), so a mistake here costs time and never a wrong answer, but for the memory of prompts that engines take from each
//! other: nothing checks which versions made that but `fetching`.
//!
//! | module | job |
//! |---|---|
//! | `messages` | what gateways ask, and what the holder has to do |
//! | `estimates` | figures of engines and weight store |
//! | `placement` | where a call goes |
//! | `cache_transfer` | parts of a prompt that engines take from each other |
//! | `orders` | what engines are ordered |
//! | `replication` | second copies of adapters that crowd their engines |
//! | `model_loading` | which engines that hold no base model are given one |
//! | `suspects` | requests under which engines ended |

mod cache_transfer;
mod estimates;
mod messages;
mod model_loading;
mod orders;
mod placement;
mod replication;
mod suspects;

pub use estimates::EngineEstimates;
pub use messages::{
    CacheTransfer, CallKey, PlacementAnswer, PlacementRequest, PlacementTerms, PlannerAction,
    RefusalCause,
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
        planner::cache_transfer::MemoryLoan,
        policy::PlacementPolicy,
        prefill::PrefillModel,
        suspects::SuspectTable,
    },
    ids::{AdapterName, Instant, TargetLife, TargetName, VmName},
};
use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    sync::Arc,
    time::Duration,
};

/// Adapters that may be on their way to one engine; from the users' pages.
const COMING_MOST: usize = 4;
/// Pause after an order without an answer, or a conflict, until the report shows it.
const SETTLE: Duration = Duration::from_millis(300);
/// Time by which a load is taken to be longer once a call came too early for it.
const LOAD_OVERRUN: Duration = Duration::from_millis(90);
/// When a call for which no engine can do anything now is worth placing again: about as long as a load takes.
const COME_BACK_MS: u32 = 300;
/// Margin after which an adapter that is coming is taken for there.
const LOAD_MARGIN: Duration = Duration::from_millis(12);

/// Plans the work of one zone's engines.
#[derive(Debug)]
pub struct ZonePlanner {
    figures: EngineEstimates,
    policy: PlacementPolicy,
    limits: EngineLimits,
    /// Limits that engines named.
    rates: RateLimitTable,
    engines: BTreeMap<TargetName, EngineState>,
    versions: HashMap<AdapterName, u64>,
    demand: DemandTable,
    health: HealthTable,
    pace: PrefillModel,
    loads: LoadLimiter,
    /// Memory that calls are about to take.
    loans: HashMap<CallKey, MemoryLoan>,
    /// Until when no other holder can have given orders to these engines.
    led_until: Instant,
    /// From when on no order of an earlier holder is carried out any more.
    settled_from: Instant,
    /// Whether engines refuse orders of earlier holders.
    are_orders_fenced: bool,
    orders_from: Instant,
    model_load_at: Instant,
    /// Requests under which engines ended lately.
    suspects: SuspectTable,
    /// Part of the zone's engines that has been busy lately.
    busy: f64,
    actions: VecDeque<PlannerAction>,
}

impl ZonePlanner {
    /// A planner that gives no order before `orders_from`.
    #[must_use]
    pub fn new(figures: EngineEstimates, limits: EngineLimits, orders_from: Instant) -> Self {
        // The holder before may have begun a load a moment ago: holders in series loaded twice what the store's rate allows.
        let model_load_at = orders_from.after(figures.model_load_interval);
        Self {
            figures,
            policy: PlacementPolicy::default(),
            limits,
            rates: RateLimitTable::default(),
            engines: BTreeMap::new(),
            versions: HashMap::new(),
            demand: DemandTable::default(),
            health: HealthTable::default(),
            pace: PrefillModel::default(),
            loads: LoadLimiter::with_initial_limit(figures.initial_load_limit),
            loans: HashMap::new(),
            led_until: Instant::default(),
            settled_from: Instant::default(),
            are_orders_fenced: false,
            orders_from,
            model_load_at,
            suspects: SuspectTable::default(),
            busy: 0.0,
            actions: VecDeque::new(),
        }
    }

    /// What has to be done since the last call.
    pub fn take_actions(&mut self) -> VecDeque<PlannerAction> {
        std::mem::take(&mut self.actions)
    }

    /// Its engines.
    #[must_use]
    pub fn engines(&self) -> &BTreeMap<TargetName, EngineState> {
        &self.engines
    }

    /// What is learned of the weight store.
    #[must_use]
    pub fn load_limiter(&self) -> &LoadLimiter {
        &self.loads
    }

    /// Gives no order before then.
    pub fn hold_orders(&mut self, until: Instant) {
        self.orders_from = self.orders_from.max(until);
    }

    /// Gives no order from now on.
    pub fn stop_orders(&mut self) {
        self.orders_from = Instant(u64::MAX);
    }

    /// The zone had another holder before: an order of that one may be carried out late, and replace a copy unseen.
    pub fn mark_takeover(&mut self, now: Instant) {
        self.settled_from = now.after(UNANSWERED_ORDER_TTL);
    }

    /// Says whether engines refuse an order with an older fencing token than one that they have seen.
    pub fn set_order_fencing(&mut self, is_fenced: bool) {
        self.are_orders_fenced = is_fenced;
    }

    /// Until then no other holder can have given orders to these engines. A holder that is cut off from the log, or
    /// stood still, may have been replaced: its callers are still served, but what copies have read since is not known.
    pub fn set_lead_until(&mut self, time: Instant) {
        self.led_until = time;
    }

    /// Whether the answer to an order is awaited.
    #[must_use]
    pub fn has_pending_orders(&self) -> bool {
        self.engines.values().any(|engine| engine.pending.is_some())
    }

    /// Sets what decisions weigh.
    pub fn set_policy(&mut self, policy: PlacementPolicy) {
        self.policy = policy;
    }

    /// Sets what the service's engines can hold.
    pub fn set_limits(&mut self, limits: EngineLimits) {
        self.limits = limits;
    }

    /// Takes over the list of the zone's engines.
    pub fn set_targets(&mut self, entries: Vec<Arc<TargetEntry>>, now: Instant) {
        let gone: Vec<_> = self
            .engines
            .keys()
            .filter(|name| !entries.iter().any(|entry| entry.name == **name))
            .cloned()
            .collect();
        for name in gone {
            self.outlive_loans(&name);
            if let Some(engine) = self.engines.remove(&name) {
                let waiters = engine.copies.into_values().flat_map(|copy| copy.waiters);
                self.place_waiters_again(waiters.collect(), now);
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
        self.loads.retain(|target| engines.contains_key(target));
        self.rates.retain(|run| engines.contains_key(&run.name));
    }

    /// An answer told of an engine's limit.
    pub fn record_limit(&mut self, named: &AdvertisedLimit, now: Instant) {
        if self.engines.contains_key(&named.run.name) {
            self.rates.record(named, now);
        }
    }

    /// An engine has started again under its name: what belonged to its life before is forgotten.
    fn replace_engine(&mut self, name: &TargetName, entry: Arc<TargetEntry>, now: Instant) {
        let Some(engine) = self.engines.get_mut(name) else {
            return;
        };
        let restarted = engine.restarted(entry, now);
        let old = std::mem::replace(engine, restarted);
        self.outlive_loans(name);
        self.health.forget(name);
        self.loads.reset_target(name);
        let waiters = old.copies.into_values().flat_map(|copy| copy.waiters);
        self.place_waiters_again(waiters.collect(), now);
    }

    /// Whether an engine is in this life as far as is known.
    #[must_use]
    pub fn is_current_life(&self, name: &TargetName, life: TargetLife) -> bool {
        let engine = self.engines.get(name);
        engine.is_some_and(|engine| engine.entry.life == life)
    }

    /// A version of an adapter was named.
    pub fn set_version(&mut self, adapter: &AdapterName, version: u64, now: Instant) {
        let known = self.versions.entry(adapter.clone()).or_default();
        if *known >= version {
            return;
        }
        *known = version;
        self.replace_stale(adapter, now);
    }

    /// The version of an adapter that calls have to ask for. New weights of a base model bind no call: engines have them from
    /// their next start on, and until then each call that asked for them would be turned away everywhere.
    pub(super) fn named_version(&self, subject: &AdapterName) -> Option<u64> {
        let has_adapter = split_subject(subject).1.is_some();
        let named = self.versions.get(subject).filter(|_| has_adapter);
        named.copied()
    }

    /// A gateway tells of a call that it had open before this planner began.
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

    /// The first event of a call came from an engine: its prompt is read, by the version of the
    /// base model that the answer tells.
    pub fn call_started(
        &mut self,
        key: &CallKey,
        target: &TargetName,
        version: Option<u64>,
        now: Instant,
    ) {
        self.end_loan(key, now);
        if let Some(engine) = self.engines.get_mut(target) {
            if let Some(version) = version {
                engine.record_prompt_read(key, version, now);
            }
            engine.prompts.record_first_event(key, &mut self.pace, now);
            if let Some(load) = engine.resolve_load(key)
                && !load.is_judged
            {
                self.loads.record_on_time(target, load, now);
            }
        }
    }

    /// A call ended, or its gateway gave it up.
    pub fn call_ended(
        &mut self,
        key: &CallKey,
        target: Option<&TargetName>,
        outcome: Option<CallOutcome>,
        now: Instant,
    ) {
        if let (Some(target), Some(outcome)) = (target, outcome) {
            self.health.record(target, outcome, now);
        }
        // Where the caller has left, the call may be on its way still.
        self.end_loan(key, now.after(ORPHANED_CALL_TTL));
        for copy in self
            .engines
            .values_mut()
            .flat_map(|engine| engine.copies.values_mut())
        {
            copy.waiters.retain(|waiting| waiting.key != *key);
        }
        if let Some(subject) = self.drop_call(key)
            && self.versions.contains_key(&subject)
        {
            self.replace_stale(&subject, now);
        }
    }

    /// Counts a call no more; returns its adapter if nothing else runs on the copy.
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

    /// A target said that it lacks what a call asked for: most likely its load takes longer than expected.
    pub fn report_missing_copy(&mut self, key: &CallKey, target: &TargetName, now: Instant) {
        let Some(engine) = self.engines.get_mut(target) else {
            return;
        };
        engine.report_due_at = Some(now);
        // What it lacks may be the version that made the memory which the call was to use.
        let takes_memory = self.loans.contains_key(key);
        if let Some(load) = engine.resolve_load(key).filter(|_| !takes_memory) {
            self.loads.record_late(target, load, now);
        }
        let Some(subject) = engine.calls.get(key).map(|call| call.subject.clone()) else {
            return;
        };
        if !self.versions.contains_key(&subject) {
            // Where none is named the call may have asked for a version that is not there.
            engine.invalidate_copy(&subject);
        }
        if let Some(copy) = engine.copies.get_mut(&subject)
            && matches!(copy.state, CopyState::Loaded | CopyState::Loading(_))
        {
            copy.state = CopyState::Loading(now.after(LOAD_OVERRUN));
        }
    }

    /// All calls of a gateway that can't be reached.
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
            .filter(|key| key.vm == *vm)
            .cloned()
            .collect();
        for key in keys {
            let subjects = self.engines.values_mut().filter_map(|engine| {
                let call = engine.calls.get(&key)?;
                engine.copies.get_mut(&call.subject)
            });
            for copy in subjects {
                copy.pinned_until = now.after(ORPHANED_CALL_TTL);
            }
            self.end_loan(&key, now.after(ORPHANED_CALL_TTL));
            self.call_ended(&key, None, None, now);
        }
    }

    /// Regular work: loads that are done, reports that are due, empty engines.
    pub fn tick(&mut self, now: Instant) {
        self.look_at_load(now);
        self.loads.decay(now);
        let names: Vec<_> = self.engines.keys().cloned().collect();
        for name in &names {
            self.settle(name, now);
            self.give_up_waiters(name, now);
            self.fill_empty(name, now);
        }
        self.advance_all(names, now);
    }

    fn settle(&mut self, name: &TargetName, now: Instant) {
        let Some(engine) = self.engines.get_mut(name) else {
            return;
        };
        let mut is_stale = Vec::new();
        for (adapter, copy) in &mut engine.copies {
            if matches!(copy.state, CopyState::Loading(at) if now >= at) {
                copy.state = CopyState::Loaded;
            }
            let named = self.versions.get(adapter);
            let is_stale_for = named.is_some_and(|named| copy.is_stale_for(*named));
            if copy.state == CopyState::Loaded && is_stale_for {
                is_stale.push(adapter.clone());
            }
        }
        for adapter in is_stale {
            self.replace_stale(&adapter, now);
        }
        let Some(engine) = self.engines.get_mut(name) else {
            return;
        };
        if now >= self.settled_from
            && !engine.has_accepted_order
            && engine.reported_at < self.settled_from
        {
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

    /// Turns calls away whose load takes longer than they can bear; it goes on for whoever comes back.
    fn give_up_waiters(&mut self, name: &TargetName, now: Instant) {
        let Some(engine) = self.engines.get_mut(name) else {
            return;
        };
        let mut late = Vec::new();
        for copy in engine.copies.values_mut() {
            late.extend(copy.waiters.extract_if(.., |waiting| now >= waiting.until));
        }
        for waiting in late {
            let retry_after_ms = millis(self.loads.expected_time(name));
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

/// Splits `model/adapter`.
#[must_use]
pub fn split_subject(subject: &AdapterName) -> (&str, Option<&str>) {
    match subject.as_str().split_once('/') {
        Some((model, adapter)) => (model, Some(adapter)),
        None => (subject.as_str(), None),
    }
}
