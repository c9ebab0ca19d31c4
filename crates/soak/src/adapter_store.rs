//! The base model and the adapters of an engine, and the orders that change them.
//!
//! What is loaded is there a moment later. A replacement and an unload wait for the runs on their copy, and meanwhile the
//! copy takes no new ones. The base model stays as it came: newer weights of it come only with another start of an engine.

use serde_json::{Value, json};
use std::{collections::BTreeMap, fmt, time::Duration};
use tokio::time::Instant;

/// Places for adapters at an engine.
pub const ADAPTER_SLOTS: usize = 4;
/// Name of the base model.
pub const BASE_MODEL: &str = "base";
/// Version of a base model or an adapter for which none was named.
pub const FIRST_VERSION: u64 = 1;
/// Time that an adapter's load takes.
const LOAD_TIME: Duration = Duration::from_millis(25);
/// Time that the base model's load takes, from the engine's own disk.
const BASE_LOAD_TIME: Duration = Duration::from_millis(400);
/// What a version of the base model counts in the mark of memory; versions of adapters stay below.
const BASE_VERSION_FACTOR: u64 = 1_000_000;

/// What memory of a prompt is made by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WeightVersions {
    /// Version of the base model.
    pub base: u64,
    /// Version of the adapter.
    pub adapter: u64,
}

impl WeightVersions {
    /// Both in one number, as memory is marked.
    #[must_use]
    pub fn to_packed(self) -> u64 {
        self.base * BASE_VERSION_FACTOR + self.adapter
    }

    /// The versions behind a mark.
    #[must_use]
    pub fn from_packed(packed: u64) -> Self {
        Self {
            base: packed / BASE_VERSION_FACTOR,
            adapter: packed % BASE_VERSION_FACTOR,
        }
    }
}

impl fmt::Display for WeightVersions {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "version {} on base {}", self.adapter, self.base)
    }
}

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdapterOrder {
    /// Its adapter; empty for the base model.
    pub adapter: String,
    /// The VM that gives it.
    pub holder: String,
    /// Its fencing token.
    pub token: u64,
    /// The version to load, if one is asked for.
    pub version: Option<u64>,
    /// Orders that the engine must have taken before.
    pub expected: Option<u64>,
    /// Whether the adapter goes.
    pub is_unload: bool,
}

impl AdapterOrder {
    /// Reads an order; what it lacks counts as nothing.
    #[must_use]
    pub fn decode(body: &[u8]) -> Self {
        let order: Value = serde_json::from_slice(body).unwrap_or_default();
        let text = |field: &str| order[field].as_str().unwrap_or_default().to_owned();
        Self {
            adapter: text("adapter"),
            holder: text("holder"),
            token: order["fencing_token"].as_u64().unwrap_or(0),
            version: order["version"].as_u64(),
            expected: order["expected"].as_u64(),
            is_unload: order["operation"] == "unload",
        }
    }
}

/// What becomes of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// It holds.
    Completed,
    /// It holds from then on.
    InProgress(Instant),
    /// The engine has taken others, or the copy is on its way to another state.
    Conflict,
    /// A newer holder has given orders.
    Fenced,
}

impl OrderOutcome {
    /// Whether the engine took it.
    #[must_use]
    pub fn is_accepted(self) -> bool {
        matches!(self, Self::Completed | Self::InProgress(_))
    }
}

/// What a request for an adapter finds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CopyStatus {
    /// The copy, in these versions.
    Loaded(WeightVersions),
    /// A copy that is being replaced or dropped.
    Changing,
    /// Nothing.
    Absent,
}

/// What happens to an adapter's copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PendingChange {
    /// It comes, or another version does.
    Load(u64),
    /// It goes.
    Drop,
}

#[derive(Clone, Copy, Debug)]
struct LoadedCopy {
    version: u64,
    runs_until: Instant,
}

/// The base model and the adapters of an engine.
#[derive(Debug)]
pub struct AdapterStore {
    base: Option<u64>,
    copies: BTreeMap<String, LoadedCopy>,
    changes: BTreeMap<String, PendingChange>,
    accepted_orders: u64,
    token: u64,
}

impl AdapterStore {
    /// A shelf without adapters, and with the base model if the engine comes with it.
    #[must_use]
    pub fn new(base: Option<u64>) -> Self {
        Self {
            base,
            copies: BTreeMap::new(),
            changes: BTreeMap::new(),
            accepted_orders: 0,
            token: 0,
        }
    }

    /// Takes an order, if its condition and its token allow; `newest` is the version that a load without one brings.
    pub fn apply(&mut self, order: &AdapterOrder, newest: u64, now: Instant) -> OrderOutcome {
        if order.token < self.token {
            return OrderOutcome::Fenced;
        }
        let is_overtaken = order
            .expected
            .is_some_and(|expected| expected != self.accepted_orders);
        if is_overtaken || self.is_blocked(order) {
            return OrderOutcome::Conflict;
        }
        self.token = order.token;
        if self.holds(order, newest) {
            return OrderOutcome::Completed;
        }
        self.accepted_orders += 1;
        let (change, at) = self.change(order, newest, now);
        self.changes.insert(order.adapter.clone(), change);
        if at > now {
            return OrderOutcome::InProgress(at);
        }
        self.finish(&order.adapter);
        OrderOutcome::Completed
    }

    /// Whether another order has to end first: an unload, the base model's load, or one for the same adapter.
    fn is_blocked(&self, order: &AdapterOrder) -> bool {
        let is_base = order.adapter.is_empty();
        let has_drop = self
            .changes
            .values()
            .any(|change| *change == PendingChange::Drop);
        has_drop
            || self.is_loading_base()
            || self.changes.contains_key(&order.adapter)
            || (is_base && order.is_unload)
            || (!is_base && self.base.is_none())
    }

    fn holds(&self, order: &AdapterOrder, newest: u64) -> bool {
        if order.adapter.is_empty() {
            return self.base.is_some();
        }
        let version = order.version.unwrap_or(newest);
        let held = self.copies.get(&order.adapter);
        !order.is_unload && held.is_some_and(|copy| copy.version == version)
    }

    /// What an order changes, and when it has.
    fn change(&self, order: &AdapterOrder, newest: u64, now: Instant) -> (PendingChange, Instant) {
        if order.adapter.is_empty() {
            return (PendingChange::Load(newest), now + BASE_LOAD_TIME);
        }
        let held = self.copies.get(&order.adapter);
        let runs_until = held.map_or(now, |copy| copy.runs_until.max(now));
        if order.is_unload {
            return (PendingChange::Drop, runs_until);
        }
        let version = order.version.unwrap_or(newest);
        (
            PendingChange::Load(version),
            runs_until.max(now + LOAD_TIME),
        )
    }

    /// Ends the change that an adapter is in.
    pub fn finish(&mut self, adapter: &str) {
        match self.changes.remove(adapter) {
            Some(PendingChange::Load(version)) if adapter.is_empty() => self.base = Some(version),
            Some(PendingChange::Load(version)) => {
                let copy = LoadedCopy {
                    version,
                    runs_until: Instant::now(),
                };
                self.copies.insert(adapter.to_owned(), copy);
            }
            Some(PendingChange::Drop) => {
                self.copies.remove(adapter);
            }
            None => {}
        }
    }

    /// What a request for an adapter finds.
    #[must_use]
    pub fn copy_status(&self, adapter: &str) -> CopyStatus {
        match (self.copies.get(adapter), self.base) {
            (Some(_), _) if self.changes.contains_key(adapter) => CopyStatus::Changing,
            (Some(copy), Some(base)) => CopyStatus::Loaded(WeightVersions {
                base,
                adapter: copy.version,
            }),
            _ => CopyStatus::Absent,
        }
    }

    /// Notes a run on a copy.
    pub fn record_run(&mut self, adapter: &str, until: Instant) {
        if let Some(copy) = self.copies.get_mut(adapter) {
            copy.runs_until = copy.runs_until.max(until);
        }
    }

    /// Whether it was ordered beyond its places.
    #[must_use]
    pub fn is_over_capacity(&self) -> bool {
        let is_new = |adapter: &&String| !adapter.is_empty() && !self.copies.contains_key(*adapter);
        let pending_loads = self.changes.keys().filter(is_new).count();
        self.copies.len() + pending_loads > ADAPTER_SLOTS
    }

    /// Orders that it has taken.
    #[must_use]
    pub fn accepted_orders(&self) -> u64 {
        self.accepted_orders
    }

    /// Whether the base model is on its way.
    #[must_use]
    pub fn is_loading_base(&self) -> bool {
        self.changes.contains_key("")
    }

    /// Its models with their adapters, as lists and reports name them.
    #[must_use]
    pub fn listed(&self) -> Value {
        let Some(base) = self.base else {
            return json!([]);
        };
        let is_kept =
            |adapter: &str| !matches!(self.changes.get(adapter), Some(PendingChange::Load(_)));
        let adapters: Vec<_> = self
            .copies
            .iter()
            .filter(|(adapter, _)| is_kept(adapter))
            .map(|(adapter, copy)| format!("{adapter}@{}", copy.version))
            .collect();
        json!([{ "name": BASE_MODEL, "version": base, "adapters": adapters }])
    }

    /// What is on its way, as reports name it.
    #[must_use]
    pub fn pending_loads(&self) -> Vec<String> {
        self.changes
            .iter()
            .filter_map(|(adapter, change)| match change {
                PendingChange::Load(version) if !adapter.is_empty() => {
                    Some(format!("{BASE_MODEL}/{adapter}@{version}"))
                }
                _ => None,
            })
            .collect()
    }
}
