//! State of one engine as its zone holder knows it: loaded adapters, loads in progress, queued orders and running
//! calls.
//!
//! The state comes from the engine's reports, its entry in the platform's list, the outcomes of orders and the calls
//! that the planner placed. A *life* is one run of the engine process; a restart under the same name begins another
//! one.
//!
//! | module | contents |
//! |---|---|
//! | `orders` | orders to the engine and its reports |
//! | `copies` | adapters and base models that the engine holds, and the calls sent to it |
//! | `prefix_cache` | prompt prefixes in the engine's KV cache |
//! | `cache_lending` | versions that made the KV cache, and which of it other engines may fetch |

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
        engine::prefix_cache::PrefixTable,
        load_limiter::StoreLoad,
        planner::{CallKey, split_subject},
        prefill::{PrefillModel, PrefillQueue},
        versions::{ObservedVersion, VersionMatch, VersionSource},
    },
    ids::{AdapterName, Instant, TargetLife},
};
use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
    time::Duration,
};

/// Time for which a call may continue at an engine after its gateway is gone.
pub const ORPHANED_CALL_TTL: Duration = Duration::from_millis(2_500);
/// Time within which gateways report their open calls to a new holder. Until then, an adapter that is known only from
/// the engine's report or the platform's list may be in use.
pub const CALL_ADOPTION_TIMEOUT: Duration = Duration::from_millis(900);
/// Time assumed until an adapter that a report lists as loading is loaded.
const REPORTED_LOAD_TIME: Duration = Duration::from_millis(100);
/// Maximum age of a report. Within this time after an order, a report with a lower sequence number is discarded; later
/// such a report means that the engine has restarted.
const MAX_REPORT_AGE: Duration = Duration::from_millis(600);
/// Time after which an unanswered order is no longer carried out. Engines are specified to take up to 12 seconds.
pub const UNANSWERED_ORDER_TTL: Duration = Duration::from_millis(12_500);

/// State of one engine.
#[derive(Clone, Debug)]
pub struct EngineState {
    /// Entry in the platform's list.
    pub entry: Arc<TargetEntry>,
    /// Sequence number: orders accepted by the engine in this life, as far as known.
    pub sequence: u64,
    /// Whether the engine's inventory is known from a report of its own since the holder started. Cleared by a
    /// conflict, a refusal or an unanswered order.
    pub is_inventory_known: bool,
    /// Loaded base models.
    pub models: Vec<LoadedModel>,
    /// Base models that the engine can load from a local copy, without the weight store.
    pub local_models: Vec<AdapterName>,
    /// Adapter copies, including those whose load is queued.
    pub copies: HashMap<AdapterName, AdapterCopy>,
    /// Calls sent to the engine that have not ended.
    pub calls: HashMap<CallKey, SentCall>,
    /// Orders that have not been sent yet.
    pub queue: VecDeque<(OrderKind, AdapterName)>,
    /// Order whose answer is outstanding.
    pub pending: Option<EngineOrder>,
    /// Adapter that is unloaded once its calls have ended. Until then the engine accepts no other order.
    pub unloading: Option<AdapterName>,
    late_loads: Vec<LateLoad>,
    /// Whether the engine's reports state their life.
    reports_life: bool,
    /// Time of the last answer to an order.
    pub ordered_at: Instant,
    /// Time at which the report is to be read next; none if that is not due.
    pub report_due_at: Option<Instant>,
    /// Whether the report is being read.
    pub is_reporting: bool,
    /// Prompts that the engine has not read yet.
    pub prompts: PrefillQueue,
    /// Recently loaded adapters with the version that was named then; the oldest first.
    recent_loads: VecDeque<(AdapterName, Option<u64>)>,
    /// Segments of prompts sent to the engine.
    sent_segments: PrefixTable,
    /// Segments of prompts known to have been read by the engine.
    read_segments: PrefixTable,
    /// Whether the engine has accepted an order of this holder. Orders of an earlier holder then have a lower sequence
    /// number and are no longer carried out.
    pub has_accepted_order: bool,
    /// Time at which a report was last applied.
    pub reported_at: Instant,
    /// Whether the platform's entry predates a restart of the engine that its reports have shown.
    is_entry_outdated: bool,
    /// Last generation allocated.
    last_generation: u64,
    tokens_sent: u64,
}

/// Unanswered load order, which may be carried out once the engine's sequence number equals `expected`.
#[derive(Clone, Copy, Debug)]
struct LateLoad {
    expected: u64,
    until: Instant,
}

impl EngineState {
    /// Creates the state of a listed engine, whose report is due at once.
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
            reports_life: false,
            ordered_at: Instant::default(),
            report_due_at: Some(now),
            is_reporting: false,
            prompts: PrefillQueue::default(),
            recent_loads: VecDeque::new(),
            sent_segments: PrefixTable::default(),
            read_segments: PrefixTable::default(),
            has_accepted_order: false,
            reported_at: Instant::default(),
            is_entry_outdated: false,
            last_generation: 0,
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
            copy.pin_for_adoption(now);
            engine.copies.insert(resident.adapter.clone(), copy);
        }
        engine
    }

    /// Creates the state of the engine after a restart, which loses everything but its unanswered adapter loads. These
    /// may still be carried out in the new life, once it has accepted as many orders as they expect.
    #[must_use]
    pub fn restarted(&self, entry: Arc<TargetEntry>, now: Instant) -> Self {
        let mut engine = Self::new(entry, now);
        engine.reports_life = self.reports_life;
        engine.late_loads.clone_from(&self.late_loads);
        if let Some(order) = &self.pending {
            engine.record_unanswered_order(order, now);
        }
        engine
    }

    /// Updates the platform's entry. An entry of an older life, which a report may have superseded before the list did,
    /// is ignored. An entry without a life is applied to the current one, as it still shows whether the engine accepts
    /// work.
    pub fn update_entry(&mut self, entry: Arc<TargetEntry>, now: Instant) {
        let life = self.entry.life;
        if entry.life == life {
            let is_changed = *entry != *self.entry;
            self.entry = entry;
            if is_changed {
                self.is_entry_outdated = false;
                self.check_listed_models(now);
            }
            self.mark_unlisted();
            self.apply_listed_versions(now);
        } else if entry.life == TargetLife::default() {
            let entry = (*entry).clone();
            self.entry = Arc::new(TargetEntry { life, ..entry });
        }
    }

    /// Records an order that was not answered.
    pub fn record_unanswered_order(&mut self, order: &EngineOrder, now: Instant) {
        self.late_loads.retain(|late| now < late.until);
        if order.kind == OrderKind::Load && split_subject(&order.subject).1.is_some() {
            self.late_loads.push(LateLoad {
                expected: order.expected,
                until: now.after(UNANSWERED_ORDER_TTL),
            });
        }
    }

    /// Number of adapter slots that unanswered loads may still take: those that expect the current sequence number or a
    /// later one.
    #[must_use]
    pub fn late_load_slots(&self, now: Instant) -> usize {
        let late = self.late_loads.iter();
        late.filter(|late| now < late.until && late.expected >= self.sequence)
            .count()
    }

    /// Whether a report is from the current life. If the engine's reports state their life, one that does not is
    /// outdated.
    pub fn is_from_current_life(&mut self, report: &EngineReport) -> bool {
        let unknown = TargetLife::default();
        if report.life == unknown && !self.reports_life {
            return true;
        }
        self.reports_life |= report.life != unknown;
        report.life == self.entry.life
    }

    /// Whether a report predates orders that the engine is known to have accepted.
    #[must_use]
    pub fn is_report_stale(&self, report: &EngineReport, now: Instant) -> bool {
        self.is_inventory_known
            && report.orders_taken < self.sequence
            && now.since(self.ordered_at) < MAX_REPORT_AGE
    }

    /// Applies a report. Copies whose load is queued are kept.
    pub fn apply_report(&mut self, report: &EngineReport, now: Instant) {
        self.is_inventory_known = true;
        let has_earlier_report = self.reported_at > Instant::default();
        self.is_entry_outdated |= has_earlier_report && report.orders_taken < self.sequence;
        self.reported_at = now;
        self.sequence = report.orders_taken;
        self.update_models(&report.models, now);
        self.local_models.clone_from(&report.local_models);
        let mut old = std::mem::take(&mut self.copies);
        for (adapter, version) in &report.adapters {
            let copy = self.refreshed_copy(&mut old, adapter, CopyState::Loaded, *version, now);
            self.copies.insert(adapter.clone(), copy);
        }
        for (adapter, version) in &report.loading {
            let ready = now.after(REPORTED_LOAD_TIME);
            let state = CopyState::Loading(ready);
            let copy = self.refreshed_copy(&mut old, adapter, state, *version, now);
            self.copies.insert(adapter.clone(), copy);
        }
        for (adapter, mut copy) in old {
            // A copy that was to be reloaded and is gone is queued as a new load if calls wait for it.
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
        self.mark_unlisted();
        if report.requests == 0 {
            // No untracked calls run, so the copies pinned for them may be evicted.
            for copy in self.copies.values_mut() {
                copy.pinned_until = Instant::default();
            }
        }
        let unloading_copy = self
            .unloading
            .as_ref()
            .and_then(|adapter| self.copies.get_mut(adapter));
        match unloading_copy {
            Some(copy) => copy.state = CopyState::Unloading,
            None => self.unloading = None,
        }
    }

    /// Removes overdue prompts that the engine does not have, as a report of fewer requests than were sent shows.
    /// Calls that were sent shortly before may be missing in the report.
    pub fn remove_lost_prompts(&mut self, reported: u32, model: &PrefillModel, now: Instant) {
        let recent = self.prompts.recent_count(MAX_REPORT_AGE, now);
        let arrived = self.calls.len().saturating_sub(recent);
        let missing = arrived.saturating_sub(reported as usize);
        if missing > 0 {
            self.prompts.remove_overdue(missing, model, now);
        }
    }

    /// Combines a reported copy with what is already known of it.
    fn refreshed_copy(
        &mut self,
        old: &mut HashMap<AdapterName, AdapterCopy>,
        adapter: &AdapterName,
        state: CopyState,
        version: u64,
        now: Instant,
    ) -> AdapterCopy {
        let known_version = ObservedVersion::observe(version, VersionSource::Report, now);
        // A copy that is being replaced is reported twice: as loaded and as loading.
        let known = old.remove(adapter).or_else(|| self.copies.remove(adapter));
        let Some(known) = known else {
            let generation = self.next_generation();
            let mut copy = AdapterCopy::new(state, known_version, generation, now);
            copy.pin_for_adoption(now);
            return copy;
        };
        // A version from the platform's list may be outdated.
        let reliable_version = known
            .known_version
            .filter(|known| known.source != VersionSource::List);
        let has_changed = VersionMatch::of(known.known_version, known_version)
            == VersionMatch::Different
            || (known.known_version != reliable_version && known_version.is_none());
        let generation = if has_changed {
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
            known_version: known_version.or(reliable_version),
            generation,
            ..known
        }
    }

    /// Whether untracked calls may run on any copy.
    #[must_use]
    pub fn has_untracked_calls(&self, now: Instant) -> bool {
        self.copies.values().any(|copy| copy.pinned_until > now)
    }

    /// Whether a base model is loaded.
    #[must_use]
    pub fn has_model(&self, model: &str) -> bool {
        self.models
            .iter()
            .any(|loaded| loaded.name.as_str() == model)
    }

    /// Number of adapter slots in use, including those of loads in progress.
    #[must_use]
    pub fn occupied_slots(&self) -> usize {
        self.copies
            .values()
            .filter(|copy| copy.state != CopyState::Queued)
            .count()
    }

    /// Number of adapter loads in progress.
    #[must_use]
    pub fn loading_count(&self, now: Instant) -> usize {
        self.copies
            .values()
            .filter(|copy| matches!(copy.state, CopyState::Loading(at) if at > now))
            .count()
    }

    /// Number of adapter loads from the weight store in progress, including an unanswered order.
    #[must_use]
    pub fn store_loads_in_flight(&self, now: Instant) -> usize {
        let loading = self
            .copies
            .values()
            .filter(|copy| copy.load.is_some())
            .filter(|copy| matches!(copy.state, CopyState::Loading(at) if at > now))
            .count();
        let is_pending = self
            .pending
            .as_ref()
            .is_some_and(|order| order.is_store_load);
        loading + usize::from(is_pending)
    }

    /// Returns the load that a call waited for and marks it as judged. The returned value has the previous mark, so
    /// that only the first call after a load shows whether the load was in time.
    pub fn resolve_load(&mut self, key: &CallKey) -> Option<StoreLoad> {
        let call = self.calls.get(key)?;
        let load = self.copies.get_mut(&call.subject)?.load.as_mut()?;
        let known = *load;
        load.is_judged = true;
        Some(known)
    }

    /// Rank of the reload that a call waited for, for the first such call.
    pub fn resolve_reload(&mut self, key: &CallKey) -> Option<usize> {
        let call = self.calls.get(key)?;
        self.copies.get_mut(&call.subject)?.reload_rank.take()
    }

    /// KV cache tokens that running calls may occupy.
    #[must_use]
    pub fn tokens_sent(&self) -> u64 {
        self.tokens_sent
    }

    /// Number of calls that were sent to the engine and have not ended.
    #[must_use]
    pub fn calls_in_flight(&self) -> u32 {
        u32::try_from(self.calls.len()).unwrap_or(u32::MAX)
    }

    /// Adds a call that was sent to the engine.
    pub fn add_call(&mut self, key: CallKey, call: SentCall) {
        self.tokens_sent += call.tokens;
        if let Some(old) = self.calls.insert(key, call) {
            self.tokens_sent -= old.tokens;
        }
    }

    /// Removes a call that has ended.
    pub fn remove_call(&mut self, key: &CallKey) -> Option<SentCall> {
        self.prompts.remove(key);
        let call = self.calls.remove(key)?;
        self.tokens_sent -= call.tokens;
        Some(call)
    }

    /// Queues the load of an adapter.
    pub fn queue_load(&mut self, adapter: &AdapterName, now: Instant) {
        let generation = self.next_generation();
        self.copies
            .entry(adapter.clone())
            .or_insert_with(|| AdapterCopy::new(CopyState::Queued, None, generation, now));
        self.queue.push_back((OrderKind::Load, adapter.clone()));
    }

    /// Records that the engine loaded an adapter in the named version. At most `kept` loads are remembered.
    pub fn record_recent_load(
        &mut self,
        adapter: &AdapterName,
        named_version: Option<u64>,
        kept: usize,
    ) {
        let loaded = (adapter.clone(), named_version);
        self.recent_loads.retain(|kept| *kept != loaded);
        self.recent_loads.push_back(loaded);
        if self.recent_loads.len() > kept {
            self.recent_loads.pop_front();
        }
    }

    /// Number of adapters that the engine loaded after it last loaded an adapter in this version; none if it did not or
    /// that is too long ago. Another version comes from the weight store.
    #[must_use]
    pub fn reload_rank(&self, adapter: &AdapterName, named_version: Option<u64>) -> Option<usize> {
        let mut recent = self.recent_loads.iter().rev();
        recent.position(|(recent, version)| recent == adapter && *version == named_version)
    }

    /// Takes over the adapters that the engine loaded under an earlier holder, the oldest first. Loads of this holder are
    /// newer.
    pub fn record_earlier_loads(&mut self, earlier: Vec<(AdapterName, Option<u64>)>) {
        let own = &self.recent_loads;
        let mut loads: VecDeque<_> = earlier
            .into_iter()
            .filter(|load| !own.contains(load))
            .collect();
        loads.append(&mut self.recent_loads);
        self.recent_loads = loads;
    }
}
