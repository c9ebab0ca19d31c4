//! Base model and adapters of an engine stand-in, and the orders that load, replace and unload them.
//!
//! A load takes a fixed time. Replacing or unloading an adapter waits for the requests that run on it, and meanwhile the
//! adapter accepts no new ones. A loaded base model is never replaced: newer weights arrive only with a new engine.

use serde_json::{Value, json};
use std::{collections::BTreeMap, fmt, time::Duration};
use tokio::time::Instant;

/// Maximum number of adapters that an engine holds.
pub const ADAPTER_SLOTS: usize = 4;
/// Name of the base model that all engines serve.
pub const BASE_MODEL: &str = "base";
/// Version of a base model or adapter for which no other version was published.
pub const FIRST_VERSION: u64 = 1;
const LOAD_TIME: Duration = Duration::from_millis(25);
/// Load time of the base model from the engine's local disk.
const BASE_LOAD_TIME: Duration = Duration::from_millis(400);
/// Factor of the base model's version in a packed version; adapter versions stay below it.
const BASE_VERSION_FACTOR: u64 = 1_000_000;

/// Versions of the weights that a prompt is processed with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WeightVersions {
    /// Version of the base model.
    pub base: u64,
    /// Version of the adapter.
    pub adapter: u64,
}

impl WeightVersions {
    /// Packs both versions into the number that prompt caches store.
    #[must_use]
    pub fn to_packed(self) -> u64 {
        self.base * BASE_VERSION_FACTOR + self.adapter
    }

    /// Unpacks a number from [`Self::to_packed`].
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

/// Order of a lease holder to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdapterOrder {
    /// Name of the adapter; empty for the base model.
    pub adapter: String,
    /// VM that sends the order.
    pub holder: String,
    /// Fencing token of the holder's lease.
    pub token: u64,
    /// Version to load; the newest if `None`.
    pub version: Option<u64>,
    /// Number of orders that the engine must have accepted before this one.
    pub expected: Option<u64>,
    /// Whether to unload the adapter instead of loading it.
    pub is_unload: bool,
}

impl AdapterOrder {
    /// Decodes an order from JSON. Missing or invalid fields get their empty value.
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

/// Result of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The engine is in the ordered state.
    Completed,
    /// The engine reaches the ordered state at this time.
    InProgress(Instant),
    /// The engine accepted other orders meanwhile, or another change has to end first.
    Conflict,
    /// The engine accepted an order with a higher fencing token.
    Fenced,
}

impl OrderOutcome {
    /// Whether the engine accepted the order.
    #[must_use]
    pub fn is_accepted(self) -> bool {
        matches!(self, Self::Completed | Self::InProgress(_))
    }
}

/// State of an adapter as a request finds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdapterStatus {
    /// Loaded, with these versions.
    Loaded(WeightVersions),
    /// Being replaced or unloaded.
    Changing,
    /// Not loaded.
    Absent,
}

/// Change of an adapter or the base model that has not ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PendingChange {
    /// Load of this version, in place of the present one if there is one.
    Load(u64),
    Unload,
}

#[derive(Clone, Copy, Debug)]
struct LoadedAdapter {
    version: u64,
    /// End of the last request that runs on it.
    runs_until: Instant,
}

/// Base model and adapters of an engine.
#[derive(Debug)]
pub struct AdapterStore {
    base: Option<u64>,
    loaded: BTreeMap<String, LoadedAdapter>,
    changes: BTreeMap<String, PendingChange>,
    accepted_orders: u64,
    token: u64,
}

impl AdapterStore {
    /// Creates a store without adapters, with the given version of the base model if any.
    #[must_use]
    pub fn new(base: Option<u64>) -> Self {
        Self {
            base,
            loaded: BTreeMap::new(),
            changes: BTreeMap::new(),
            accepted_orders: 0,
            token: 0,
        }
    }

    /// Applies an order if its fencing token and its expected count of accepted orders allow it. `newest` is the version to
    /// load if the order names none.
    pub fn apply(&mut self, order: &AdapterOrder, newest: u64, now: Instant) -> OrderOutcome {
        if order.token < self.token {
            return OrderOutcome::Fenced;
        }
        let is_outdated = order
            .expected
            .is_some_and(|expected| expected != self.accepted_orders);
        if is_outdated || self.is_blocked(order) {
            return OrderOutcome::Conflict;
        }
        self.token = order.token;
        if self.is_satisfied_by(order, newest) {
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

    /// Whether an order must wait for an unload, the load of the base model or a change of the same adapter, or can't apply
    /// to the base model at all.
    fn is_blocked(&self, order: &AdapterOrder) -> bool {
        let is_base = order.adapter.is_empty();
        let is_unloading = self
            .changes
            .values()
            .any(|change| *change == PendingChange::Unload);
        is_unloading
            || self.is_loading_base()
            || self.changes.contains_key(&order.adapter)
            || (is_base && order.is_unload)
            || (!is_base && self.base.is_none())
    }

    fn is_satisfied_by(&self, order: &AdapterOrder, newest: u64) -> bool {
        if order.adapter.is_empty() {
            return self.base.is_some();
        }
        let version = order.version.unwrap_or(newest);
        let loaded = self.loaded.get(&order.adapter);
        !order.is_unload && loaded.is_some_and(|adapter| adapter.version == version)
    }

    /// Change that an order starts, and the time at which it ends.
    fn change(&self, order: &AdapterOrder, newest: u64, now: Instant) -> (PendingChange, Instant) {
        if order.adapter.is_empty() {
            return (PendingChange::Load(newest), now + BASE_LOAD_TIME);
        }
        let loaded = self.loaded.get(&order.adapter);
        let runs_until = loaded.map_or(now, |adapter| adapter.runs_until.max(now));
        if order.is_unload {
            return (PendingChange::Unload, runs_until);
        }
        let version = order.version.unwrap_or(newest);
        (
            PendingChange::Load(version),
            runs_until.max(now + LOAD_TIME),
        )
    }

    /// Completes the pending change of an adapter, if there is one.
    pub fn finish(&mut self, adapter: &str) {
        match self.changes.remove(adapter) {
            Some(PendingChange::Load(version)) if adapter.is_empty() => self.base = Some(version),
            Some(PendingChange::Load(version)) => {
                let loaded = LoadedAdapter {
                    version,
                    runs_until: Instant::now(),
                };
                self.loaded.insert(adapter.to_owned(), loaded);
            }
            Some(PendingChange::Unload) => {
                self.loaded.remove(adapter);
            }
            None => {}
        }
    }

    /// State of an adapter for a new request.
    #[must_use]
    pub fn adapter_status(&self, adapter: &str) -> AdapterStatus {
        match (self.loaded.get(adapter), self.base) {
            (Some(_), _) if self.changes.contains_key(adapter) => AdapterStatus::Changing,
            (Some(loaded), Some(base)) => AdapterStatus::Loaded(WeightVersions {
                base,
                adapter: loaded.version,
            }),
            _ => AdapterStatus::Absent,
        }
    }

    /// Records a request that runs on an adapter until the given time.
    pub fn record_run(&mut self, adapter: &str, until: Instant) {
        if let Some(loaded) = self.loaded.get_mut(adapter) {
            loaded.runs_until = loaded.runs_until.max(until);
        }
    }

    /// Whether loaded and pending adapters exceed [`ADAPTER_SLOTS`].
    #[must_use]
    pub fn is_over_capacity(&self) -> bool {
        let is_new = |adapter: &&String| !adapter.is_empty() && !self.loaded.contains_key(*adapter);
        let pending_loads = self.changes.keys().filter(is_new).count();
        self.loaded.len() + pending_loads > ADAPTER_SLOTS
    }

    /// Number of accepted orders that changed something.
    #[must_use]
    pub fn accepted_orders(&self) -> u64 {
        self.accepted_orders
    }

    /// Whether the base model is being loaded.
    #[must_use]
    pub fn is_loading_base(&self) -> bool {
        self.changes.contains_key("")
    }

    /// Models with their adapters, in the form of list entries and reports. Adapters that are being replaced are left out.
    #[must_use]
    pub fn model_list(&self) -> Value {
        let Some(base) = self.base else {
            return json!([]);
        };
        let is_listed =
            |adapter: &str| !matches!(self.changes.get(adapter), Some(PendingChange::Load(_)));
        let adapters: Vec<_> = self
            .loaded
            .iter()
            .filter(|(adapter, _)| is_listed(adapter))
            .map(|(adapter, loaded)| format!("{adapter}@{}", loaded.version))
            .collect();
        json!([{ "name": BASE_MODEL, "version": base, "adapters": adapters }])
    }

    /// Adapters that are being loaded, in the form of reports.
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
