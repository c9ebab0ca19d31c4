//! One engine in its holder's view: what it holds, what is on its way, and the calls sent to it.
//!
//! | module | job |
//! |---|---|
//! | `orders` | what it is ordered, and what it reports |
//! | `copies` | what it holds, and the calls sent to it |
//! | `prefix_cache` | what it has likely kept of prompts |
//! | `cache_lending` | which memory of prompts others may take from it |

mod cache_lending;
mod copies;
mod orders;
mod prefix_cache;

pub use copies::{AdapterCopy, CopyState, LoadedModel, SentCall, WaitingCall};
pub use orders::{EngineOrder, EngineReport, OrderKind, OrderOutcome};
pub use prefix_cache::shared_segments;

use crate::{
    direct::{
        catalog::TargetEntry,
        engine::prefix_cache::PartMemory,
        load_limiter::StoreLoad,
        planner::{CallKey, split_subject},
        prefill::PrefillQueue,
        versions::{ObservedVersion, VersionMatch, VersionSource},
    },
    ids::{AdapterName, Instant, TargetLife},
};
use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
    time::Duration,
};

/// Time for which a call may run on at an engine though its gateway is gone.
pub const ORPHANED_CALL_TTL: Duration = Duration::from_millis(2_500);
/// Time within which gateways tell a new holder of the calls that they have open; until then an adapter that only the
/// engine's report shows may be in use.
pub const CALL_ADOPTION_TIMEOUT: Duration = Duration::from_millis(900);
/// Time after which an adapter that a report lists as coming is taken for there.
const COMING_ON: Duration = Duration::from_millis(100);
/// Age that a report may have.
const REPORT_LAG: Duration = Duration::from_millis(600);
/// Time after which an order without an answer is no longer carried out; the users tell of 12 seconds at the most.
pub const UNANSWERED_ORDER_TTL: Duration = Duration::from_millis(12_500);

/// One engine.
#[derive(Clone, Debug)]
pub struct EngineState {
    /// How the platform lists it.
    pub entry: Arc<TargetEntry>,
    /// Orders that it has taken, as far as known.
    pub sequence: u64,
    /// Whether what it holds is known from its own report since the holder began.
    pub is_inventory_known: bool,
    /// Base models that it holds.
    pub models: Vec<LoadedModel>,
    /// Base models that it loads without the weight store.
    pub local_models: Vec<AdapterName>,
    /// Its adapters.
    pub copies: HashMap<AdapterName, AdapterCopy>,
    /// Calls sent to it.
    pub calls: HashMap<CallKey, SentCall>,
    /// Orders that wait for their turn.
    pub queue: VecDeque<(OrderKind, AdapterName)>,
    /// The order whose answer is awaited.
    pub pending: Option<EngineOrder>,
    /// An adapter that goes once its runs have ended; until then the engine takes no other order.
    pub unloading: Option<AdapterName>,
    late_loads: Vec<LateLoad>,
    /// Whether its reports say which life they are from.
    tells_life: bool,
    /// When it last took an order.
    pub ordered_at: Instant,
    /// When its report should be read.
    pub report_due_at: Option<Instant>,
    /// Whether its report is being read.
    pub is_reporting: bool,
    /// The prompts that it has to read.
    pub prompts: PrefillQueue,
    /// Adapters that it had, with the version that was named then.
    lately: VecDeque<(AdapterName, Option<u64>)>,
    /// Parts of the prompts that were sent, by generation.
    sent_parts: PartMemory,
    /// Parts of the prompts that were read here, by generation.
    read_parts: PartMemory,
    /// Whether its count of orders has moved by one of this holder, so that none of an earlier one is carried out any more.
    pub has_accepted_order: bool,
    /// When its report was last taken over.
    pub reported_at: Instant,
    /// Whether the list's entry is from before the engine was seen to start again.
    entry_is_old: bool,
    /// Generations given out.
    generations: u64,
    tokens_sent: u64,
}

/// A load that was ordered and not answered: it may be carried out while the engine has taken this many orders.
#[derive(Clone, Copy, Debug)]
struct LateLoad {
    expected: u64,
    until: Instant,
}

impl EngineState {
    /// An engine as listed; its report has yet to be read.
    #[must_use]
    pub fn new(entry: Arc<TargetEntry>, now: Instant) -> Self {
        let mut engine = Self {
            sequence: entry.orders_taken,
            is_inventory_known: false,
            models: Vec::new(),
            local_models: Vec::new(),
            copies: HashMap::new(),
            calls: HashMap::new(),
            queue: VecDeque::new(),
            pending: None,
            unloading: None,
            late_loads: Vec::new(),
            tells_life: false,
            ordered_at: Instant::default(),
            report_due_at: Some(now),
            is_reporting: false,
            prompts: PrefillQueue::default(),
            lately: VecDeque::new(),
            sent_parts: PartMemory::default(),
            read_parts: PartMemory::default(),
            has_accepted_order: false,
            reported_at: Instant::default(),
            entry_is_old: false,
            generations: 0,
            tokens_sent: 0,
            entry,
        };
        let entry = Arc::clone(&engine.entry);
        engine.models = entry
            .models
            .iter()
            .map(|(model, version)| LoadedModel {
                name: AdapterName::new(model),
                known_version: ObservedVersion::observe(*version, VersionSource::List, now),
                generation: 0,
            })
            .collect();
        for resident in &entry.adapters {
            let known_version =
                ObservedVersion::observe(resident.version, VersionSource::List, now);
            let generation = engine.next_generation();
            let mut copy = AdapterCopy::new(CopyState::Loaded, known_version, generation, now);
            copy.hold_for_unknown(now);
            engine.copies.insert(resident.adapter.clone(), copy);
        }
        engine
    }

    /// The engine in a newer life, which knows nothing of before. An adapter's load that was ordered before and not
    /// answered may yet be carried out in the new life, once as many orders were taken as it expects.
    #[must_use]
    pub fn restarted(&self, entry: Arc<TargetEntry>, now: Instant) -> Self {
        let mut engine = Self::new(entry, now);
        engine.tells_life = self.tells_life;
        engine.late_loads.clone_from(&self.late_loads);
        if let Some(order) = &self.pending {
            engine.record_unanswered_order(order, now);
        }
        engine
    }

    /// Takes over how it is listed now. A report may have told of a new life before the list does, and then what is listed
    /// of an older one says nothing; a list that tells no lives goes on to say whether the engine takes work.
    pub fn update_entry(&mut self, entry: Arc<TargetEntry>, now: Instant) {
        let life = self.entry.life;
        if entry.life == life {
            let is_changed = *entry != *self.entry;
            self.entry = entry;
            if is_changed {
                self.entry_is_old = false;
                self.doubt_models(now);
            }
            self.note_unlisted();
            self.take_listed_versions(now);
        } else if entry.life == TargetLife::default() {
            let entry = (*entry).clone();
            self.entry = Arc::new(TargetEntry { life, ..entry });
        }
    }

    /// Notes an order whose answer did not come.
    pub fn record_unanswered_order(&mut self, order: &EngineOrder, now: Instant) {
        self.late_loads.retain(|late| now < late.until);
        if order.kind == OrderKind::Load && split_subject(&order.subject).1.is_some() {
            self.late_loads.push(LateLoad {
                expected: order.expected,
                until: now.after(UNANSWERED_ORDER_TTL),
            });
        }
    }

    /// Places that loads without an answer may yet take: of this life until another order was taken, of an earlier one
    /// until as many were taken as they expect.
    #[must_use]
    pub fn late_load_slots(&self, now: Instant) -> usize {
        let late = self.late_loads.iter();
        late.filter(|late| now < late.until && late.expected >= self.sequence)
            .count()
    }

    /// Whether a report is from the life that is known. One that does not say so is from before, if others of the engine do.
    pub fn is_from_current_life(&mut self, report: &EngineReport) -> bool {
        let unknown = TargetLife::default();
        if report.life == unknown && !self.tells_life {
            return true;
        }
        self.tells_life |= report.life != unknown;
        report.life == self.entry.life
    }

    /// Whether a report is older than orders that the engine is known to have taken.
    #[must_use]
    pub fn is_report_stale(&self, report: &EngineReport, now: Instant) -> bool {
        self.is_inventory_known
            && report.orders_taken < self.sequence
            && now.since(self.ordered_at) < REPORT_LAG
    }

    /// Takes over what the engine reports. Copies whose load waits here are kept.
    pub fn apply_report(&mut self, report: &EngineReport, now: Instant) {
        self.is_inventory_known = true;
        let was_told = self.reported_at > Instant::default();
        self.entry_is_old |= was_told && report.orders_taken < self.sequence;
        self.reported_at = now;
        self.sequence = report.orders_taken;
        self.take_models(&report.models, now);
        self.local_models.clone_from(&report.local_models);
        let mut old = std::mem::take(&mut self.copies);
        for (adapter, version) in &report.adapters {
            let copy = self.renewed(&mut old, adapter, CopyState::Loaded, *version, now);
            self.copies.insert(adapter.clone(), copy);
        }
        for (adapter, version) in &report.loading {
            let ready = now.after(COMING_ON);
            let state = CopyState::Loading(ready);
            let copy = self.renewed(&mut old, adapter, state, *version, now);
            self.copies.insert(adapter.clone(), copy);
        }
        for (adapter, mut copy) in old {
            // One that was to be replaced and has gone is brought in anew for whoever waits.
            let is_awaited = copy.state == CopyState::ReloadQueued && !copy.waiters.is_empty();
            if is_awaited {
                copy.state = CopyState::Queued;
                copy.known_version = None;
                copy.generation = self.next_generation();
            }
            if copy.state == CopyState::Queued {
                self.copies.insert(adapter, copy);
            }
        }
        self.note_unlisted();
        if report.requests == 0 {
            // Nothing runs that nobody counts: what was held for it may make way.
            for copy in self.copies.values_mut() {
                copy.pinned_until = Instant::default();
            }
        }
        let still_there = self
            .unloading
            .as_ref()
            .and_then(|adapter| self.copies.get_mut(adapter));
        match still_there {
            Some(copy) => copy.state = CopyState::Unloading,
            None => self.unloading = None,
        }
    }

    /// A copy as reported, with what is known of it already.
    fn renewed(
        &mut self,
        old: &mut HashMap<AdapterName, AdapterCopy>,
        adapter: &AdapterName,
        state: CopyState,
        version: u64,
        now: Instant,
    ) -> AdapterCopy {
        let known_version = ObservedVersion::observe(version, VersionSource::Report, now);
        // One that is being replaced is listed twice: as it is, and as it comes.
        let known = old.remove(adapter).or_else(|| self.copies.remove(adapter));
        let Some(known) = known else {
            let generation = self.next_generation();
            let mut copy = AdapterCopy::new(state, known_version, generation, now);
            copy.hold_for_unknown(now);
            return copy;
        };
        // The list may have told it as it was before.
        let known_sight = known
            .known_version
            .filter(|known| known.source != VersionSource::List);
        let is_other = VersionMatch::of(known.known_version, known_version)
            == VersionMatch::Different
            || (known.known_version != known_sight && known_version.is_none());
        let generation = if is_other {
            self.next_generation()
        } else {
            known.generation
        };
        let state = match known.state {
            CopyState::ReloadQueued => CopyState::ReloadQueued,
            _ => state,
        };
        AdapterCopy {
            state,
            known_version: known_version.or(known_sight),
            generation,
            ..known
        }
    }

    /// Whether it has copies on which calls may run that nobody counts.
    #[must_use]
    pub fn has_untracked_calls(&self, now: Instant) -> bool {
        self.copies.values().any(|copy| copy.pinned_until > now)
    }

    /// Whether it holds a base model.
    #[must_use]
    pub fn has_model(&self, model: &str) -> bool {
        self.models.iter().any(|held| held.name.as_str() == model)
    }

    /// Places that are taken, those of copies on their way included.
    #[must_use]
    pub fn occupied_slots(&self) -> usize {
        self.copies
            .values()
            .filter(|copy| copy.state != CopyState::Queued)
            .count()
    }

    /// Adapters on their way.
    #[must_use]
    pub fn loading_count(&self, now: Instant) -> usize {
        self.copies
            .values()
            .filter(|copy| matches!(copy.state, CopyState::Loading(at) if at > now))
            .count()
    }

    /// Adapters on their way from the weight store, that of an order without an answer yet included.
    #[must_use]
    pub fn store_loads_in_flight(&self, now: Instant) -> usize {
        let coming = self
            .copies
            .values()
            .filter(|copy| copy.load.is_some())
            .filter(|copy| matches!(copy.state, CopyState::Loading(at) if at > now))
            .count();
        let is_pending = self.pending.as_ref().is_some_and(|order| {
            order.kind == OrderKind::Load
                && split_subject(&order.subject).1.is_some()
                && !self.was_recently_loaded(&order.subject, order.version)
        });
        coming + usize::from(is_pending)
    }

    /// The load behind a call, as it was before the call told whether it was there; from now on it counts as judged.
    pub fn resolve_load(&mut self, key: &CallKey) -> Option<StoreLoad> {
        let call = self.calls.get(key)?;
        let load = self.copies.get_mut(&call.subject)?.load.as_mut()?;
        let known = *load;
        load.is_judged = true;
        Some(known)
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
        self.prompts.remove(key);
        let call = self.calls.remove(key)?;
        self.tokens_sent -= call.tokens;
        Some(call)
    }

    /// Adds a copy whose load waits for its turn.
    pub fn queue_load(&mut self, adapter: &AdapterName, now: Instant) {
        let generation = self.next_generation();
        self.copies
            .entry(adapter.clone())
            .or_insert_with(|| AdapterCopy::new(CopyState::Queued, None, generation, now));
        self.queue.push_back((OrderKind::Load, adapter.clone()));
    }

    /// Notes that it has an adapter, in the version that was named.
    pub fn record_recent_load(&mut self, adapter: &AdapterName, named: Option<u64>, kept: usize) {
        let loaded = (adapter.clone(), named);
        self.lately.retain(|kept| *kept != loaded);
        self.lately.push_back(loaded);
        if self.lately.len() > kept {
            self.lately.pop_front();
        }
    }

    /// Whether it reloads an adapter quickly: it had it in this version. A new version comes from the store.
    #[must_use]
    pub fn was_recently_loaded(&self, adapter: &AdapterName, named: Option<u64>) -> bool {
        let mut had = self.lately.iter();
        had.any(|(had, version)| had == adapter && *version == named)
    }
}
