//! One engine in its holder's view: what it holds, what is on its way, and the calls sent to it.

use crate::{
    direct::{
        catalog::TargetEntry,
        loading::StoreLoad,
        planner::{CallKey, PlacementAsk, split_subject},
        reading::PromptQueue,
        versions::{MemoryVersions, VersionSight, VersionTeller},
    },
    ids::{AdapterName, Instant, TargetLife},
};
use siphasher::sip::SipHasher13;
use std::{
    collections::{HashMap, VecDeque},
    hash::{Hash, Hasher},
    sync::Arc,
    time::Duration,
};

/// Prompt parts whose use is remembered for each engine.
const PREFIXES_KEPT: usize = 256;

/// Time for which a call may run on at an engine though its gateway is gone.
pub const UNCOUNTED_RUN: Duration = Duration::from_millis(2_500);
/// Time within which gateways tell a new holder of the calls that they have open; until then an adapter that only the
/// engine's report shows may be in use.
pub const ADOPTED_WITHIN: Duration = Duration::from_millis(900);
/// Time after which an adapter that a report lists as coming is taken for there.
const COMING_ON: Duration = Duration::from_millis(100);
/// Age that a report may have.
const REPORT_LAG: Duration = Duration::from_millis(600);
/// Time after which an order without an answer is no longer carried out; the users tell of 12 seconds at the most.
const LATE_ORDER: Duration = Duration::from_millis(12_500);

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineOrder {
    /// What to do.
    pub kind: OrderKind,
    /// The model, with its adapter behind a slash where one is meant.
    pub subject: AdapterName,
    /// Version to load, if one was named.
    pub version: Option<u64>,
    /// Orders that the engine must have taken before, so that a late copy of this one does nothing.
    pub expected: u64,
}

/// What an order does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderKind {
    /// Bring it in, or replace it by another version.
    Load,
    /// Drop it.
    Unload,
}

/// How an order ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// It holds already.
    Done,
    /// It is being done.
    Begun,
    /// Another is under way, or the engine has taken others.
    Conflict,
    /// A newer holder has given orders.
    Fenced,
    /// The engine refused it, or is another run of the target.
    Refused,
    /// No answer: it may be carried out later.
    Unanswered,
}

/// What an engine reports about itself; some hundred milliseconds old.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineReport {
    /// The life of the engine that reports.
    pub life: TargetLife,
    /// Orders that it has taken.
    pub orders_taken: u64,
    /// Base models that it holds, with their versions.
    pub models: Vec<(AdapterName, u64)>,
    /// Adapters that it holds, with their versions.
    pub adapters: Vec<(AdapterName, u64)>,
    /// Adapters on their way.
    pub coming: Vec<(AdapterName, u64)>,
    /// Base models that it loads from a copy of its own, without the weight store.
    pub own_copies: Vec<AdapterName>,
    /// Requests that run or wait.
    pub requests: u32,
    /// Whether an order on a whole model is under way.
    pub is_busy: bool,
}

/// State of one adapter at an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResidentState {
    /// Its load waits for its turn.
    Wanted,
    /// It is there in an old version, and the load of the new one waits for its turn.
    Outdated,
    /// It is on its way, and there at this time.
    Coming(Instant),
    /// It is there.
    Here,
    /// It goes once its runs have ended.
    Leaving,
}

/// A call that waits for a load to be accepted.
#[derive(Clone, Debug)]
pub struct WaitingCall {
    /// The call.
    pub key: CallKey,
    /// What it asks for.
    pub ask: PlacementAsk,
    /// When it is given up, as its load takes longer than it can bear.
    pub until: Instant,
}

/// One adapter at an engine.
#[derive(Clone, Debug)]
pub struct ResidentCopy {
    /// Its state.
    pub state: ResidentState,
    /// Its version, if anything told it.
    pub sight: Option<VersionSight>,
    /// Calls sent to it that have not ended.
    pub users: u32,
    /// Calls that wait for its load to be accepted.
    pub waiters: Vec<WaitingCall>,
    /// When it was last asked for.
    pub used_at: Instant,
    /// Until when calls that nobody counts any more may still run on it.
    pub held_until: Instant,
    /// The load that brought it here from the weight store.
    pub load: Option<StoreLoad>,
}

impl ResidentCopy {
    fn new(state: ResidentState, sight: Option<VersionSight>, now: Instant) -> Self {
        Self {
            state,
            sight,
            users: 0,
            waiters: Vec::new(),
            used_at: now,
            held_until: Instant::default(),
            load: None,
        }
    }

    /// Whether it has to be replaced now that a version is named: it is older, or nobody knows what it is.
    #[must_use]
    pub fn is_behind(&self, named: u64) -> bool {
        self.sight.is_none_or(|sight| sight.version < named)
    }
}

/// A base model that an engine holds.
#[derive(Clone, Debug)]
pub struct HeldModel {
    /// Its name.
    pub name: AdapterName,
    /// Its version, if anything told it.
    pub sight: Option<VersionSight>,
}

/// A call that runs at an engine.
#[derive(Clone, Debug)]
pub struct SentCall {
    /// Its adapter.
    pub subject: AdapterName,
    /// Tokens that it may take in memory.
    pub tokens: u64,
}

/// One engine.
#[derive(Clone, Debug)]
pub struct EngineState {
    /// How the platform lists it.
    pub entry: Arc<TargetEntry>,
    /// Orders that it has taken, as far as known.
    pub sequence: u64,
    /// Whether what it holds is known from its own report since the holder began.
    pub is_known: bool,
    /// Base models that it holds.
    pub models: Vec<HeldModel>,
    /// Base models that it loads without the weight store.
    pub own_copies: Vec<AdapterName>,
    /// Its adapters.
    pub copies: HashMap<AdapterName, ResidentCopy>,
    /// Calls sent to it.
    pub calls: HashMap<CallKey, SentCall>,
    /// Orders that wait for their turn.
    pub queue: VecDeque<(OrderKind, AdapterName)>,
    /// The order whose answer is awaited.
    pub pending: Option<EngineOrder>,
    /// An adapter that goes once its runs have ended; until then the engine takes no other order.
    pub leaving: Option<AdapterName>,
    late_loads: Vec<LateLoad>,
    /// Whether its reports say which life they are from.
    tells_life: bool,
    /// When it last took an order.
    pub ordered_at: Instant,
    /// When its report should be read.
    pub report_at: Option<Instant>,
    /// Whether its report is being read.
    pub is_reporting: bool,
    /// The prompts that it has to read.
    pub prompts: PromptQueue,
    lately: VecDeque<AdapterName>,
    prefixes: PrefixMemory,
    tokens_sent: u64,
}

/// A load that was ordered and not answered: it may be carried out while the engine has taken this many orders.
#[derive(Clone, Copy, Debug)]
struct LateLoad {
    expected: u64,
    until: Instant,
}

/// Prompt parts that an engine has likely kept, by hash of adapter and part; the oldest go first.
#[derive(Clone, Debug, Default)]
struct PrefixMemory {
    /// How often each part stands in the order.
    known: HashMap<u64, u32>,
    order: VecDeque<u64>,
}

impl PrefixMemory {
    fn note(&mut self, part: u64) {
        *self.known.entry(part).or_default() += 1;
        self.order.push_back(part);
        if self.order.len() > PREFIXES_KEPT
            && let Some(oldest) = self.order.pop_front()
            && let Some(count) = self.known.get_mut(&oldest)
        {
            *count -= 1;
            if *count == 0 {
                self.known.remove(&oldest);
            }
        }
    }

    fn knows(&self, part: u64) -> bool {
        self.known.contains_key(&part)
    }
}

fn prefix_hash(subject: &AdapterName, part: u64) -> u64 {
    let mut hasher = SipHasher13::new();
    subject.as_str().hash(&mut hasher);
    part.hash(&mut hasher);
    hasher.finish()
}

impl EngineState {
    /// An engine as listed; its report has yet to be read.
    #[must_use]
    pub fn new(entry: Arc<TargetEntry>, now: Instant) -> Self {
        let mut engine = Self {
            sequence: entry.orders_taken,
            is_known: false,
            models: Vec::new(),
            own_copies: Vec::new(),
            copies: HashMap::new(),
            calls: HashMap::new(),
            queue: VecDeque::new(),
            pending: None,
            leaving: None,
            late_loads: Vec::new(),
            tells_life: false,
            ordered_at: Instant::default(),
            report_at: Some(now),
            is_reporting: false,
            prompts: PromptQueue::default(),
            lately: VecDeque::new(),
            prefixes: PrefixMemory::default(),
            tokens_sent: 0,
            entry,
        };
        let entry = Arc::clone(&engine.entry);
        engine.models = entry
            .models
            .iter()
            .map(|(model, version)| HeldModel {
                name: AdapterName::new(model),
                sight: VersionSight::told(*version, VersionTeller::List, now),
            })
            .collect();
        for resident in &entry.adapters {
            let sight = VersionSight::told(resident.version, VersionTeller::List, now);
            let mut copy = ResidentCopy::new(ResidentState::Here, sight, now);
            copy.held_until = now.after(ADOPTED_WITHIN);
            engine.copies.insert(resident.adapter.clone(), copy);
        }
        engine
    }

    /// The engine in a newer life, which knows nothing of before. An adapter's load that was ordered before and not
    /// answered may yet be carried out in the new life, once as many orders were taken as it expects.
    #[must_use]
    pub fn reborn(&self, entry: Arc<TargetEntry>, now: Instant) -> Self {
        let mut engine = Self::new(entry, now);
        engine.tells_life = self.tells_life;
        engine.late_loads.clone_from(&self.late_loads);
        if let Some(order) = &self.pending {
            engine.note_unanswered(order, now);
        }
        engine
    }

    /// Takes over how it is listed now. A report may have told of a new life before the list does, and then what is listed
    /// of an older one says nothing; a list that tells no lives goes on to say whether the engine takes work.
    pub fn take_entry(&mut self, entry: Arc<TargetEntry>) {
        let life = self.entry.life;
        if entry.life == life {
            self.entry = entry;
        } else if entry.life == TargetLife::default() {
            let entry = (*entry).clone();
            self.entry = Arc::new(TargetEntry { life, ..entry });
        }
    }

    /// Notes an order whose answer did not come.
    pub fn note_unanswered(&mut self, order: &EngineOrder, now: Instant) {
        self.late_loads.retain(|late| now < late.until);
        if order.kind == OrderKind::Load && split_subject(&order.subject).1.is_some() {
            self.late_loads.push(LateLoad {
                expected: order.expected,
                until: now.after(LATE_ORDER),
            });
        }
    }

    /// Places that loads without an answer may yet take: of this life until another order was taken, of an earlier one
    /// until as many were taken as they expect.
    #[must_use]
    pub fn late_places(&self, now: Instant) -> usize {
        let late = self.late_loads.iter();
        late.filter(|late| now < late.until && late.expected >= self.sequence)
            .count()
    }

    /// Whether a report is from the life that is known. One that does not say so is from before, if others of the engine do.
    pub fn is_from_this_life(&mut self, report: &EngineReport) -> bool {
        let unknown = TargetLife::default();
        if report.life == unknown && !self.tells_life {
            return true;
        }
        self.tells_life |= report.life != unknown;
        report.life == self.entry.life
    }

    /// Whether a report is older than orders that the engine is known to have taken.
    #[must_use]
    pub fn is_outdated(&self, report: &EngineReport, now: Instant) -> bool {
        self.is_known
            && report.orders_taken < self.sequence
            && now.since(self.ordered_at) < REPORT_LAG
    }

    /// Takes over what the engine reports. Copies whose load waits here are kept.
    pub fn take_report(&mut self, report: &EngineReport, now: Instant) {
        self.is_known = true;
        self.sequence = report.orders_taken;
        let models = report.models.iter().map(|(name, version)| HeldModel {
            name: name.clone(),
            sight: VersionSight::told(*version, VersionTeller::Report, now),
        });
        self.models = models.collect();
        self.own_copies.clone_from(&report.own_copies);
        let mut old = std::mem::take(&mut self.copies);
        for (adapter, version) in &report.adapters {
            let copy = self.renewed(&mut old, adapter, ResidentState::Here, *version, now);
            self.copies.insert(adapter.clone(), copy);
        }
        for (adapter, version) in &report.coming {
            let ready = now.after(COMING_ON);
            let state = ResidentState::Coming(ready);
            let copy = self.renewed(&mut old, adapter, state, *version, now);
            self.copies.insert(adapter.clone(), copy);
        }
        for (adapter, copy) in old {
            if copy.state == ResidentState::Wanted {
                self.copies.insert(adapter, copy);
            }
        }
        if report.requests == 0 {
            // Nothing runs that nobody counts: what was held for it may make way.
            for copy in self.copies.values_mut() {
                copy.held_until = Instant::default();
            }
        }
        let still_there = self
            .leaving
            .as_ref()
            .and_then(|adapter| self.copies.get_mut(adapter));
        match still_there {
            Some(copy) => copy.state = ResidentState::Leaving,
            None => self.leaving = None,
        }
    }

    fn renewed(
        &self,
        old: &mut HashMap<AdapterName, ResidentCopy>,
        adapter: &AdapterName,
        state: ResidentState,
        version: u64,
        now: Instant,
    ) -> ResidentCopy {
        let sight = VersionSight::told(version, VersionTeller::Report, now);
        match old.remove(adapter) {
            Some(copy) if copy.state == ResidentState::Outdated => ResidentCopy { sight, ..copy },
            Some(copy) => ResidentCopy {
                state,
                sight,
                ..copy
            },
            None => {
                let mut copy = ResidentCopy::new(state, sight, now);
                copy.held_until = now.after(ADOPTED_WITHIN);
                copy
            }
        }
    }

    /// Whether it has copies on which calls may run that nobody counts.
    #[must_use]
    pub fn holds_uncounted(&self, now: Instant) -> bool {
        self.copies.values().any(|copy| copy.held_until > now)
    }

    /// Whether it holds a base model.
    #[must_use]
    pub fn has_model(&self, model: &str) -> bool {
        self.models.iter().any(|held| held.name.as_str() == model)
    }

    /// Places that are taken, those of copies on their way included.
    #[must_use]
    pub fn places_taken(&self) -> usize {
        self.copies
            .values()
            .filter(|copy| copy.state != ResidentState::Wanted)
            .count()
    }

    /// Adapters on their way.
    #[must_use]
    pub fn coming(&self, now: Instant) -> usize {
        self.copies
            .values()
            .filter(|copy| matches!(copy.state, ResidentState::Coming(at) if at > now))
            .count()
    }

    /// Adapters on their way from the weight store, that of an order without an answer yet included.
    #[must_use]
    pub fn store_loads(&self, now: Instant) -> usize {
        let coming = self
            .copies
            .values()
            .filter(|copy| copy.load.is_some())
            .filter(|copy| matches!(copy.state, ResidentState::Coming(at) if at > now))
            .count();
        let is_pending = self.pending.as_ref().is_some_and(|order| {
            order.kind == OrderKind::Load
                && split_subject(&order.subject).1.is_some()
                && !self.had_lately(&order.subject)
        });
        coming + usize::from(is_pending)
    }

    /// The load behind a call, as it was before the call told whether it was there; from now on it counts as judged.
    pub fn judge_load(&mut self, key: &CallKey) -> Option<StoreLoad> {
        let call = self.calls.get(key)?;
        let load = self.copies.get_mut(&call.subject)?.load.as_mut()?;
        let known = *load;
        load.is_judged = true;
        Some(known)
    }

    /// Versions of what makes its memory of a prompt for an adapter, or for a base model, as far as is known.
    #[must_use]
    pub fn memory_versions(&self, subject: &AdapterName) -> MemoryVersions {
        let (model, _) = split_subject(subject);
        let base = self.models.iter().find(|held| held.name.as_str() == model);
        MemoryVersions {
            base: base.and_then(|held| held.sight),
            adapter: self.copies.get(subject).and_then(|copy| copy.sight),
        }
    }

    /// Notes the version of the base model that made a call's answer.
    pub fn note_answer(&mut self, key: &CallKey, version: Option<u64>, now: Instant) {
        let (Some(call), Some(version)) = (self.calls.get(key), version) else {
            return;
        };
        let (model, _) = split_subject(&call.subject);
        let mut models = self.models.iter_mut();
        if let Some(held) = models.find(|held| held.name.as_str() == model) {
            held.sight = VersionSight::told(version, VersionTeller::Answer, now);
        }
    }

    /// Tokens that running calls may take in memory.
    #[must_use]
    pub fn tokens_sent(&self) -> u64 {
        self.tokens_sent
    }

    /// Counts a call that was sent to it.
    pub fn add_call(&mut self, key: CallKey, call: SentCall) {
        self.tokens_sent += call.tokens;
        if let Some(old) = self.calls.insert(key, call) {
            self.tokens_sent -= old.tokens;
        }
    }

    /// Counts a call no more.
    pub fn remove_call(&mut self, key: &CallKey) -> Option<SentCall> {
        self.prompts.forget(key);
        let call = self.calls.remove(key)?;
        self.tokens_sent -= call.tokens;
        Some(call)
    }

    /// Adds a copy whose load waits for its turn.
    pub fn want(&mut self, adapter: &AdapterName, now: Instant) {
        self.copies
            .entry(adapter.clone())
            .or_insert_with(|| ResidentCopy::new(ResidentState::Wanted, None, now));
        self.queue.push_back((OrderKind::Load, adapter.clone()));
    }

    /// Notes that it had an adapter.
    pub fn note_lately(&mut self, adapter: &AdapterName, kept: usize) {
        self.lately.retain(|kept| kept != adapter);
        self.lately.push_back(adapter.clone());
        if self.lately.len() > kept {
            self.lately.pop_front();
        }
    }

    /// Whether it reloads an adapter quickly.
    #[must_use]
    pub fn had_lately(&self, adapter: &AdapterName) -> bool {
        self.lately.contains(adapter)
    }

    /// Tokens at the start of a prompt that it has likely kept for the same adapter.
    #[must_use]
    pub fn kept_tokens(&self, subject: &AdapterName, prefix: &[(u64, u32)]) -> u32 {
        prefix
            .iter()
            .take_while(|(part, _)| self.prefixes.knows(prefix_hash(subject, *part)))
            .map(|(_, tokens)| tokens)
            .sum()
    }

    /// Notes the parts of a prompt that was sent to it; the last part is the call's own.
    pub fn note_prefix(&mut self, subject: &AdapterName, prefix: &[(u64, u32)]) {
        let shared = prefix.len().saturating_sub(1);
        for (part, _) in &prefix[..shared] {
            self.prefixes.note(prefix_hash(subject, *part));
        }
    }
}
