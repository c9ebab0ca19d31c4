//! The holder's view of a zone's engines: where calls go, what is loaded and what makes way.
//!
//! Everything that the engines of a zone are sent passes through one planner, so it knows the calls in flight, the
//! prompts that wait and the adapters in use. It is soft state: after a takeover it is rebuilt from the engines' own
//! reports and from the calls that gateways still have open. Engines check what matters (adapter, version, fence,
//! sequence), so a mistake here costs time and never a wrong answer.

use crate::{
    direct::{
        catalog::{TargetEntry, TargetStage},
        config::EngineLimits,
        demand::DemandTable,
        engine::{
            EngineOrder, EngineReport, EngineState, OrderKind, OrderOutcome, ResidentState,
            SentCall, UNCOUNTED_RUN, WaitingCall,
        },
        health::{CallOutcome, HealthTable},
    },
    ids::{AdapterName, Instant, TargetName, VmName},
};
use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    sync::Arc,
    time::Duration,
};

/// Identifies a call in a zone: the gateway's VM and its counter.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CallKey {
    /// The gateway.
    pub vm: VmName,
    /// Its counter.
    pub number: u64,
}

/// What the holder has to know about a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementAsk {
    /// The model, with its adapter behind a slash where one is meant.
    pub subject: AdapterName,
    /// Tokens of its prompt.
    pub prompt_tokens: u32,
    /// Tokens that it is likely to make.
    pub output_tokens: u32,
    /// Parts of its prompt and their tokens; the last is its own.
    pub prefix: Vec<(u64, u32)>,
    /// Rank of its route; 0 is the most urgent.
    pub priority: u8,
    /// Longest wait for its first token that it is worth placing for, in milliseconds.
    pub bound_ms: u32,
    /// Targets that it has been to.
    pub exclude: Vec<TargetName>,
    /// Whether its adapter may be loaded for it.
    pub may_load: bool,
}

/// Where a call goes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlacementAnswer {
    /// Send it to a target.
    Send {
        /// The target.
        target: TargetName,
        /// Milliseconds until its adapter is there.
        wait_ms: u32,
        /// Version of the adapter to ask for, if one was named.
        version: Option<u64>,
        /// Whether a load was ordered for it.
        loaded: bool,
    },
    /// The zone has no room for it now.
    Refuse {
        /// Milliseconds after which it is worth coming back.
        retry_after_ms: u32,
    },
}

/// What the holder has to do for the planner.
#[derive(Clone, Debug, PartialEq)]
pub enum PlannerAction {
    /// Tell a gateway where its call goes.
    Answer(CallKey, PlacementAnswer),
    /// Give an order to an engine.
    Order(Arc<TargetEntry>, EngineOrder),
    /// Read an engine's report.
    Report(Arc<TargetEntry>),
}

/// Figures of the engines that decisions are made with.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineFigures {
    /// Prompt tokens that an engine reads in a millisecond, other work beside it.
    pub prompt_tokens_per_ms: f64,
    /// Time for an adapter from the weight store while few are on their way.
    pub store_load: Duration,
    /// Time for an adapter that the engine had lately.
    pub lately_load: Duration,
    /// What a load costs beside its time: what it evicts, and its price.
    pub load_penalty: Duration,
    /// What each running call adds to a newcomer's wait.
    pub per_call: Duration,
    /// Time that a call holds its slot.
    pub slot_time: Duration,
    /// Loads that may be on their way in this zone at full speed.
    pub loads_at_full_speed: u32,
    /// What all zones at their share are beyond full speed: shares are whole loads.
    pub share_excess: f64,
    /// Pause between two loads of whole models in this zone.
    pub model_load_pause: Duration,
}

impl Default for EngineFigures {
    /// From the users' sheets: 19.2 tokens a ms less the steps between, 250 ms a load, a tenth of it for a recent one.
    fn default() -> Self {
        Self {
            prompt_tokens_per_ms: 16.0,
            store_load: Duration::from_millis(250),
            lately_load: Duration::from_millis(25),
            load_penalty: Duration::from_millis(250),
            per_call: Duration::from_micros(1_200),
            slot_time: Duration::from_millis(2_000),
            loads_at_full_speed: 3,
            share_excess: 1.0,
            model_load_pause: Duration::from_millis(950),
        }
    }
}

impl EngineFigures {
    /// The share of one of `zones` that load from one weight store.
    #[must_use]
    pub fn shared_by(zones: u32, loads_per_s: f64) -> Self {
        let zones = f64::from(zones.max(1));
        let at_once = (loads_per_s / LOADS_FOR_EACH).round().max(1.0);
        let share = (FULL_SPEED_LOADS * at_once / zones).ceil();
        Self {
            loads_at_full_speed: share as u32,
            share_excess: (share * zones / (FULL_SPEED_LOADS * at_once)).max(1.0),
            model_load_pause: Duration::from_secs_f64(zones / loads_per_s.max(0.1)),
            ..Self::default()
        }
    }
}

/// Adapters that may be on their way to one engine; from the users' pages.
const COMING_MOST: usize = 4;
/// Pause after an order without an answer, or a conflict, until the report shows it.
const SETTLE: Duration = Duration::from_millis(300);
/// Time by which a call may wait longer for its load than it was placed for.
const WAIT_OVERRUN: Duration = Duration::from_millis(250);
/// Time by which a load is taken to be longer once a call came too early for it.
const LOAD_OVERRUN: Duration = Duration::from_millis(90);
/// Bounds of the time after which a caller is told to come back.
const COME_BACK_LEAST: Duration = Duration::from_millis(100);
const COME_BACK_MOST: Duration = Duration::from_millis(1_500);
/// Margin after which an adapter that is coming is taken for there.
const LOAD_MARGIN: Duration = Duration::from_millis(12);
/// Times that one call is placed anew because a load came to nothing.
const MOST_PLACINGS: usize = 3;
/// Loads that run at full speed, for each one that the weight store serves at once; from the users' letter.
const FULL_SPEED_LOADS: f64 = 8.0;
/// Loads a second for each one that the store serves at once, by the users' sheets.
const LOADS_FOR_EACH: f64 = 8.0;
/// Time that a model load may take before the report is read again.
const MODEL_LOAD_CHECK: Duration = Duration::from_millis(700);

/// Plans the work of one zone's engines.
#[derive(Debug)]
pub struct ZonePlanner {
    figures: EngineFigures,
    limits: EngineLimits,
    engines: BTreeMap<TargetName, EngineState>,
    versions: HashMap<AdapterName, u64>,
    demand: DemandTable,
    health: HealthTable,
    orders_from: Instant,
    model_load_at: Instant,
    actions: VecDeque<PlannerAction>,
}

impl ZonePlanner {
    /// A planner that gives no order before `orders_from`.
    #[must_use]
    pub fn new(figures: EngineFigures, limits: EngineLimits, orders_from: Instant) -> Self {
        Self {
            figures,
            limits,
            engines: BTreeMap::new(),
            versions: HashMap::new(),
            demand: DemandTable::default(),
            health: HealthTable::default(),
            orders_from,
            model_load_at: orders_from,
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
            if let Some(engine) = self.engines.remove(&name) {
                let waiters = engine.copies.into_values().flat_map(|copy| copy.waiters);
                self.place_waiters_again(waiters.collect(), now);
            }
        }
        for entry in entries {
            match self.engines.get_mut(&entry.name) {
                Some(engine) => engine.entry = entry,
                None => {
                    let engine = EngineState::new(Arc::clone(&entry), now);
                    self.engines.insert(entry.name.clone(), engine);
                }
            }
        }
        let engines = &self.engines;
        self.health.retain(|target| engines.contains_key(target));
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

    /// Orders the replacement of copies that are older than the named version and not in use.
    fn replace_stale(&mut self, adapter: &AdapterName, now: Instant) {
        let Some(version) = self.versions.get(adapter).copied() else {
            return;
        };
        let mut touched = Vec::new();
        for (name, engine) in &mut self.engines {
            let Some(copy) = engine.copies.get_mut(adapter) else {
                continue;
            };
            let is_free = copy.users == 0 && now >= copy.held_until;
            if copy.version < version && is_free && copy.state == ResidentState::Here {
                copy.state = ResidentState::Outdated;
                engine.queue.push_back((OrderKind::Load, adapter.clone()));
                touched.push(name.clone());
            }
        }
        for name in touched {
            self.advance(&name, now);
        }
    }

    /// Places a call.
    pub fn place(&mut self, key: CallKey, ask: PlacementAsk, now: Instant) {
        self.demand.record(&ask.subject, now);
        self.place_known(key, ask, now);
    }

    fn place_known(&mut self, key: CallKey, ask: PlacementAsk, now: Instant) {
        let Some((name, cost)) = self.cheapest(&ask, now) else {
            let retry_after_ms = 300;
            self.answer(key, PlacementAnswer::Refuse { retry_after_ms });
            return;
        };
        if cost.wait > Duration::from_millis(u64::from(ask.bound_ms)) {
            // It is loaded all the same, so that it is there when the caller comes back.
            self.load_ahead(&name, &ask, now);
            let retry_after = cost.wait.clamp(COME_BACK_LEAST, COME_BACK_MOST);
            self.answer(
                key,
                PlacementAnswer::Refuse {
                    retry_after_ms: millis(retry_after),
                },
            );
            return;
        }
        self.send_to(&name, key, ask, now);
    }

    fn cheapest(&self, ask: &PlacementAsk, now: Instant) -> Option<(TargetName, PlacementCost)> {
        let crowd = self.loads_under_way(now) + self.loads_waiting();
        let all_doubted = self.engines.keys().all(|name| self.health.is_doubted(name));
        self.engines
            .iter()
            .filter(|(name, engine)| {
                engine.entry.stage == TargetStage::Ready
                    && !ask.exclude.contains(name)
                    && !self.health.is_out(name, now)
            })
            .filter_map(|(name, engine)| {
                let mut cost = self.cost(engine, ask, crowd, now)?;
                if self.health.is_doubted(name) && !all_doubted {
                    cost.total += Duration::from_secs(2);
                }
                cost.total += Duration::from_millis(400).mul_f64(self.health.failing(name));
                if self.health.is_shedding(name, now) {
                    cost.total += Duration::from_millis(100);
                }
                Some((name.clone(), cost))
            })
            .min_by_key(|(name, cost)| (cost.total, home_rank(name, &ask.subject)))
    }

    fn cost(
        &self,
        engine: &EngineState,
        ask: &PlacementAsk,
        crowd: u32,
        now: Instant,
    ) -> Option<PlacementCost> {
        let load = self.load_wait(engine, ask, crowd, now)?;
        let kept = engine.kept_tokens(&ask.subject, &ask.prefix);
        let prompts = engine.prompts_done.since(now);
        let own = self.prompt_time(ask.prompt_tokens.saturating_sub(kept));
        let calls = u32::try_from(engine.calls.len()).unwrap_or(u32::MAX);
        let over = calls.saturating_sub(engine.entry.slots.saturating_sub(1));
        let tokens = engine.tokens_sent() + call_tokens(ask);
        let full = if tokens > self.limits.kv_tokens * 95 / 100 {
            Duration::from_millis(500)
        } else {
            Duration::ZERO
        };
        let wait = prompts.max(load.time)
            + own
            + self.figures.per_call * calls
            + self.figures.slot_time / engine.entry.slots.max(1) * over
            + full
            + engine.entry.cold.min(Duration::from_secs(1));
        Some(PlacementCost {
            wait,
            total: wait + load.penalty,
        })
    }

    fn load_wait(
        &self,
        engine: &EngineState,
        ask: &PlacementAsk,
        crowd: u32,
        now: Instant,
    ) -> Option<LoadCost> {
        let (model, adapter) = split_subject(&ask.subject);
        if !engine.has_model(model) {
            return None;
        }
        if adapter.is_none() {
            return Some(LoadCost::default());
        }
        match engine.copies.get(&ask.subject) {
            Some(copy) if copy.state != ResidentState::Leaving => {
                let is_stale = self
                    .versions
                    .get(&ask.subject)
                    .is_some_and(|version| copy.version < *version);
                match copy.state {
                    ResidentState::Here if is_stale => None,
                    ResidentState::Coming(at) => Some(LoadCost {
                        time: at.since(now),
                        penalty: Duration::ZERO,
                    }),
                    ResidentState::Wanted | ResidentState::Outdated => Some(LoadCost {
                        time: self.figures.store_load,
                        penalty: Duration::ZERO,
                    }),
                    _ => Some(LoadCost::default()),
                }
            }
            Some(_) => None,
            None => {
                if !ask.may_load
                    || now < self.orders_from
                    || !engine.is_known
                    || engine.leaving.is_some()
                {
                    return None;
                }
                let waiting = engine.queue.len() + engine.coming(now);
                if waiting >= 2 * COMING_MOST || !self.can_make_room(engine, now) {
                    return None;
                }
                let time = if engine.had_lately(&ask.subject) {
                    self.figures.lately_load
                } else {
                    self.store_time(crowd)
                };
                let turn = u32::try_from(engine.queue.len()).unwrap_or(0);
                Some(LoadCost {
                    time: time + Duration::from_millis(8) * turn,
                    penalty: self.figures.load_penalty,
                })
            }
        }
    }

    fn can_make_room(&self, engine: &EngineState, now: Instant) -> bool {
        let wanted = engine.copies.len();
        wanted < self.limits.adapter_slots as usize || self.victim(engine, now).is_some()
    }

    fn store_time(&self, crowd: u32) -> Duration {
        let most = self.figures.loads_at_full_speed.max(1);
        let stretch = f64::from(crowd + 1) / f64::from(most);
        let alone = self.figures.store_load.mul_f64(self.figures.share_excess);
        alone.mul_f64(stretch.max(1.0))
    }

    fn loads_under_way(&self, now: Instant) -> u32 {
        let coming: usize = self.engines.values().map(|engine| engine.coming(now)).sum();
        u32::try_from(coming).unwrap_or(u32::MAX)
    }

    fn loads_waiting(&self) -> u32 {
        let wanted: usize = self
            .engines
            .values()
            .map(|engine| engine.copies.len() - engine.places_taken())
            .sum();
        u32::try_from(wanted).unwrap_or(u32::MAX)
    }

    fn prompt_time(&self, tokens: u32) -> Duration {
        Duration::from_secs_f64(f64::from(tokens) / self.figures.prompt_tokens_per_ms / 1e3)
    }

    /// Orders the load of an adapter whose caller was told to come back, if that drives nothing out: under load most
    /// places are in use, and what is brought in ahead would go again before its caller is back.
    fn load_ahead(&mut self, name: &TargetName, ask: &PlacementAsk, now: Instant) {
        let has_adapter = split_subject(&ask.subject).1.is_some();
        let Some(engine) = self.engines.get_mut(name) else {
            return;
        };
        let has_place = engine.copies.len() < self.limits.adapter_slots as usize;
        if has_adapter && ask.may_load && has_place && !engine.copies.contains_key(&ask.subject) {
            engine.want(&ask.subject, now);
            self.advance(name, now);
        }
    }

    fn send_to(&mut self, name: &TargetName, key: CallKey, ask: PlacementAsk, now: Instant) {
        let (_, adapter) = split_subject(&ask.subject);
        let is_adapter = adapter.is_some();
        let Some(engine) = self.engines.get_mut(name) else {
            return;
        };
        if is_adapter && !engine.copies.contains_key(&ask.subject) {
            engine.want(&ask.subject, now);
        }
        let copy = engine.copies.get_mut(&ask.subject);
        let wait_ms = match copy {
            Some(copy) if matches!(copy.state, ResidentState::Wanted | ResidentState::Outdated) => {
                let bound = Duration::from_millis(u64::from(ask.bound_ms));
                let until = now.after(bound + WAIT_OVERRUN);
                copy.waiters.push(WaitingCall { key, ask, until });
                copy.used_at = now;
                self.advance(name, now);
                return;
            }
            Some(copy) => {
                copy.users += 1;
                copy.used_at = now;
                match copy.state {
                    ResidentState::Coming(at) if at > now => millis(at.since(now) + LOAD_MARGIN),
                    _ => 0,
                }
            }
            None => 0,
        };
        self.note_sent(name, key.clone(), &ask, now);
        let version = self.versions.get(&ask.subject).copied();
        self.answer(
            key,
            PlacementAnswer::Send {
                target: name.clone(),
                wait_ms,
                version,
                loaded: false,
            },
        );
    }

    fn note_sent(&mut self, name: &TargetName, key: CallKey, ask: &PlacementAsk, now: Instant) {
        let tokens_per_ms = self.figures.prompt_tokens_per_ms;
        let Some(engine) = self.engines.get_mut(name) else {
            return;
        };
        let kept = engine.kept_tokens(&ask.subject, &ask.prefix);
        let fresh = ask.prompt_tokens.saturating_sub(kept);
        let time = Duration::from_secs_f64(f64::from(fresh) / tokens_per_ms / 1e3);
        engine.prompts_done = engine.prompts_done.max(now).after(time);
        engine.note_prefix(&ask.subject, &ask.prefix);
        let call = SentCall {
            subject: ask.subject.clone(),
            tokens: call_tokens(ask),
        };
        engine.add_call(key, call);
    }

    /// A gateway tells of a call that it had open before this planner began.
    pub fn adopt(&mut self, key: CallKey, target: &TargetName, subject: &AdapterName) {
        let Some(engine) = self.engines.get_mut(target) else {
            return;
        };
        if let Some(copy) = engine.copies.get_mut(subject) {
            copy.users += 1;
        }
        let call = SentCall {
            subject: subject.clone(),
            tokens: 0,
        };
        engine.add_call(key, call);
    }

    /// A call ended, or its gateway gave it up.
    pub fn ended(
        &mut self,
        key: &CallKey,
        target: Option<&TargetName>,
        outcome: Option<CallOutcome>,
        now: Instant,
    ) {
        if let (Some(target), Some(outcome)) = (target, outcome) {
            self.health.note(target, outcome, now);
        }
        let mut freed = None;
        for engine in self.engines.values_mut() {
            for copy in engine.copies.values_mut() {
                copy.waiters.retain(|waiting| waiting.key != *key);
            }
            if let Some(call) = engine.remove_call(key)
                && let Some(copy) = engine.copies.get_mut(&call.subject)
            {
                copy.users = copy.users.saturating_sub(1);
                if copy.users == 0 {
                    freed = Some(call.subject);
                }
            }
        }
        if let Some(subject) = freed
            && self.versions.contains_key(&subject)
        {
            self.replace_stale(&subject, now);
        }
    }

    /// A target said that it lacks what a call asked for: most likely its load takes longer than expected.
    pub fn doubt_copy(&mut self, key: &CallKey, target: &TargetName, now: Instant) {
        let Some(engine) = self.engines.get_mut(target) else {
            return;
        };
        engine.report_at = Some(now);
        let copy = engine
            .calls
            .get(key)
            .and_then(|call| engine.copies.get_mut(&call.subject));
        if let Some(copy) = copy
            && matches!(copy.state, ResidentState::Here | ResidentState::Coming(_))
        {
            copy.state = ResidentState::Coming(now.after(LOAD_OVERRUN));
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
                copy.held_until = now.after(UNCOUNTED_RUN);
            }
            self.ended(&key, None, None, now);
        }
    }

    /// An order was answered, or its answer is overdue.
    pub fn order_ended(&mut self, name: &TargetName, outcome: OrderOutcome, now: Instant) {
        // Those under way share the store only beyond this zone's part of it, and no load is begun beyond that.
        let store_time = self.store_time(0);
        let version = self
            .engines
            .get(name)
            .and_then(|engine| engine.pending.as_ref())
            .and_then(|order| self.versions.get(&order.subject).copied());
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
        match (outcome, order.kind) {
            (OrderOutcome::Done | OrderOutcome::Begun, _) if is_model => {
                engine.sequence += 1;
                engine.report_at = Some(now.after(MODEL_LOAD_CHECK));
            }
            (OrderOutcome::Done | OrderOutcome::Begun, OrderKind::Load) => {
                if outcome == OrderOutcome::Begun {
                    engine.sequence += 1;
                }
                let time = match outcome {
                    OrderOutcome::Done => Duration::ZERO,
                    _ if engine.had_lately(&subject) => self.figures.lately_load,
                    _ => store_time,
                };
                engine.note_lately(&subject);
                if let Some(copy) = engine.copies.get_mut(&subject) {
                    copy.state = if time.is_zero() {
                        ResidentState::Here
                    } else {
                        ResidentState::Coming(now.after(time))
                    };
                    copy.version = order.version.or(version).unwrap_or(copy.version);
                    let waiters = std::mem::take(&mut copy.waiters);
                    self.release_waiters(name, waiters, now);
                }
            }
            (OrderOutcome::Done, OrderKind::Unload) => {
                engine.sequence += 1;
                engine.copies.remove(&subject);
            }
            (OrderOutcome::Begun, OrderKind::Unload) => {
                // It is in use after all: the engine takes no other order until its runs have ended.
                engine.sequence += 1;
                engine.leaving = Some(subject);
                engine.report_at = Some(now.after(SETTLE));
                self.empty_queue(name, now);
            }
            (OrderOutcome::Fenced, _) => failed = true,
            (OrderOutcome::Conflict, OrderKind::Unload) => {
                // It may be on its way in still: it is passed over until the report shows it.
                if let Some(copy) = engine.copies.get_mut(&subject) {
                    copy.state = ResidentState::Here;
                    copy.held_until = now.after(UNCOUNTED_RUN);
                }
                failed = true;
                engine.report_at = Some(now.after(SETTLE));
                engine.is_known = false;
            }
            (OrderOutcome::Conflict | OrderOutcome::Refused | OrderOutcome::Unanswered, _) => {
                failed = true;
                engine.report_at = Some(now.after(SETTLE));
                engine.is_known = false;
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
            if copy.state == ResidentState::Outdated {
                copy.state = ResidentState::Here;
            }
            copy.state != ResidentState::Wanted
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

    fn place_waiters_again(&mut self, waiters: Vec<WaitingCall>, now: Instant) {
        for WaitingCall { key, ask, .. } in waiters {
            if ask.exclude.len() >= MOST_PLACINGS {
                self.answer(
                    key,
                    PlacementAnswer::Refuse {
                        retry_after_ms: 300,
                    },
                );
            } else {
                self.place_known(key, ask, now);
            }
        }
    }

    fn release_waiters(&mut self, name: &TargetName, waiters: Vec<WaitingCall>, now: Instant) {
        for WaitingCall { key, ask, .. } in waiters {
            let version = self.versions.get(&ask.subject).copied();
            let mut wait_ms = 0;
            if let Some(copy) = self
                .engines
                .get_mut(name)
                .and_then(|engine| engine.copies.get_mut(&ask.subject))
            {
                copy.users += 1;
                if let ResidentState::Coming(at) = copy.state {
                    wait_ms = millis(at.since(now) + LOAD_MARGIN);
                }
            }
            self.note_sent(name, key.clone(), &ask, now);
            self.answer(
                key,
                PlacementAnswer::Send {
                    target: name.clone(),
                    wait_ms,
                    version,
                    loaded: true,
                },
            );
        }
    }

    /// An engine's report came; none if it could not be read.
    pub fn report_came(&mut self, name: &TargetName, report: Option<&EngineReport>, now: Instant) {
        let Some(engine) = self.engines.get_mut(name) else {
            return;
        };
        engine.is_reporting = false;
        match report {
            Some(report) if engine.is_outdated(report, now) => {
                engine.report_at = Some(now.after(SETTLE));
            }
            Some(report) => {
                engine.take_report(report, now);
                if report.is_busy || engine.leaving.is_some() {
                    engine.report_at = Some(now.after(SETTLE));
                }
                let held: Vec<_> = engine.copies.keys().cloned().collect();
                for adapter in held {
                    self.replace_stale(&adapter, now);
                }
            }
            None => engine.report_at = Some(now.after(SETTLE)),
        }
        self.advance(name, now);
    }

    /// Regular work: loads that are done, reports that are due, empty engines.
    pub fn tick(&mut self, now: Instant) {
        let names: Vec<_> = self.engines.keys().cloned().collect();
        for name in &names {
            self.settle(name, now);
            self.give_up_waiters(name, now);
            self.fill_empty(name, now);
        }
        self.advance_all(names, now);
    }

    /// Gives the next orders, those for the most urgent calls first.
    fn advance_all(&mut self, mut names: Vec<TargetName>, now: Instant) {
        names.sort_by_cached_key(|name| self.engines.get(name).map(most_urgent));
        for name in names {
            self.advance(&name, now);
        }
    }

    fn settle(&mut self, name: &TargetName, now: Instant) {
        let Some(engine) = self.engines.get_mut(name) else {
            return;
        };
        let mut is_stale = Vec::new();
        for (adapter, copy) in &mut engine.copies {
            if matches!(copy.state, ResidentState::Coming(at) if now >= at) {
                copy.state = ResidentState::Here;
            }
            let version = self.versions.get(adapter).copied().unwrap_or(0);
            if copy.state == ResidentState::Here && copy.version < version {
                is_stale.push(adapter.clone());
            }
        }
        for adapter in is_stale {
            self.replace_stale(&adapter, now);
        }
        let Some(engine) = self.engines.get_mut(name) else {
            return;
        };
        let is_due = engine.report_at.is_some_and(|at| now >= at);
        if is_due && !engine.is_reporting && engine.pending.is_none() {
            engine.report_at = None;
            engine.is_reporting = true;
            self.actions
                .push_back(PlannerAction::Report(Arc::clone(&engine.entry)));
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
            let retry_after_ms = millis(self.figures.store_load);
            self.answer(waiting.key, PlacementAnswer::Refuse { retry_after_ms });
        }
    }

    fn fill_empty(&mut self, name: &TargetName, now: Instant) {
        let Some(engine) = self.engines.get_mut(name) else {
            return;
        };
        let is_empty = engine.is_known && engine.models.is_empty() && engine.report_at.is_none();
        let may = now >= self.orders_from && now >= self.model_load_at;
        if is_empty
            && may
            && engine.pending.is_none()
            && engine.queue.is_empty()
            && !engine.is_reporting
            && engine.entry.stage == TargetStage::Ready
            && let Some(model) = self.limits.models.first()
        {
            self.model_load_at = now.after(self.figures.model_load_pause);
            engine.queue.push_back((OrderKind::Load, model.clone()));
        }
    }

    /// Gives the next order to an engine, if its turn has come.
    fn advance(&mut self, name: &TargetName, now: Instant) {
        if now < self.orders_from {
            return;
        }
        loop {
            let Some(engine) = self.engines.get(name) else {
                return;
            };
            let is_blocked = engine.pending.is_some()
                || engine.leaving.is_some()
                || !engine.is_known
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
                .is_some_and(|copy| copy.state != ResidentState::Wanted);
            if kind == OrderKind::Load && is_adapter && !is_held {
                let is_fast = engine.had_lately(&subject);
                let crowd = self.loads_under_way(now);
                if engine.coming(now) >= COMING_MOST
                    || (!is_fast && crowd >= self.figures.loads_at_full_speed)
                {
                    return;
                }
                if engine.places_taken() >= self.limits.adapter_slots as usize {
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
        if kind == OrderKind::Unload
            && let Some(copy) = engine.copies.get_mut(subject)
        {
            copy.state = ResidentState::Leaving;
        }
        engine.pending = Some(order.clone());
        self.actions
            .push_back(PlannerAction::Order(Arc::clone(&engine.entry), order));
    }

    /// The copy that is missed least: unused, and of little demand for its number of copies in the zone.
    fn victim(&self, engine: &EngineState, now: Instant) -> Option<AdapterName> {
        engine
            .copies
            .iter()
            .filter(|(_, copy)| {
                copy.users == 0
                    && copy.waiters.is_empty()
                    && copy.state == ResidentState::Here
                    && now >= copy.held_until
            })
            .min_by(|(left, left_copy), (right, right_copy)| {
                let worth = |subject| self.demand.count(subject, now) / self.copies_of(subject);
                worth(left)
                    .total_cmp(&worth(right))
                    .then(left_copy.used_at.cmp(&right_copy.used_at))
            })
            .map(|(subject, _)| subject.clone())
    }

    fn copies_of(&self, subject: &AdapterName) -> f64 {
        let copies = self
            .engines
            .values()
            .filter(|engine| engine.copies.contains_key(subject))
            .count();
        copies.max(1) as f64
    }

    fn answer(&mut self, key: CallKey, answer: PlacementAnswer) {
        self.actions.push_back(PlannerAction::Answer(key, answer));
    }
}

#[derive(Clone, Copy, Debug)]
struct PlacementCost {
    /// Expected wait for the first token.
    wait: Duration,
    /// The wait, and what the placement costs others.
    total: Duration,
}

#[derive(Clone, Copy, Debug, Default)]
struct LoadCost {
    time: Duration,
    penalty: Duration,
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

/// Splits `model/adapter`.
#[must_use]
pub fn split_subject(subject: &AdapterName) -> (&str, Option<&str>) {
    match subject.as_str().split_once('/') {
        Some((model, adapter)) => (model, Some(adapter)),
        None => (subject.as_str(), None),
    }
}

/// Rank by rendezvous hashing, so that equal costs lead an adapter to the same engine.
fn home_rank(target: &TargetName, subject: &AdapterName) -> u64 {
    use siphasher::sip::SipHasher13;
    use std::hash::{Hash, Hasher};
    let mut hasher = SipHasher13::new();
    target.as_str().hash(&mut hasher);
    subject.as_str().hash(&mut hasher);
    hasher.finish()
}

fn call_tokens(ask: &PlacementAsk) -> u64 {
    u64::from(ask.prompt_tokens) + u64::from(ask.output_tokens)
}

fn millis(span: Duration) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}
