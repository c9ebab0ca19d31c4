//! The base model and the adapters of an engine, and the orders that change them.
//!
//! What is loaded is there a moment later. A replacement and an unload wait for the runs on their copy, and meanwhile the
//! copy takes no new ones. The base model stays as it came: newer weights of it come only with another start of an engine.

use serde_json::{Value, json};
use std::{collections::BTreeMap, fmt, time::Duration};
use tokio::time::Instant;

/// Places for adapters at an engine.
pub const PLACES: usize = 4;
/// Name of the base model.
pub const BASE: &str = "base";
/// Version of a base model or an adapter for which none was named.
pub const FIRST_VERSION: u64 = 1;
/// Time that an adapter's load takes.
const LOAD_TIME: Duration = Duration::from_millis(25);
/// Time that the base model's load takes, from the engine's own disk.
const BASE_LOAD_TIME: Duration = Duration::from_millis(400);
/// What a version of the base model counts in the mark of memory; versions of adapters stay below.
const BASE_MARK: u64 = 1_000_000;

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
    pub fn mark(self) -> u64 {
        self.base * BASE_MARK + self.adapter
    }

    /// The versions behind a mark.
    #[must_use]
    pub fn of_mark(mark: u64) -> Self {
        Self {
            base: mark / BASE_MARK,
            adapter: mark % BASE_MARK,
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
pub enum OrderVerdict {
    /// It holds.
    Done,
    /// It holds from then on.
    Begun(Instant),
    /// The engine has taken others, or the copy is on its way to another state.
    Conflict,
    /// A newer holder has given orders.
    Fenced,
}

impl OrderVerdict {
    /// Whether the engine took it.
    #[must_use]
    pub fn is_taken(self) -> bool {
        matches!(self, Self::Done | Self::Begun(_))
    }
}

/// What a request for an adapter finds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CopySight {
    /// The copy, in these versions.
    Here(WeightVersions),
    /// A copy that is being replaced or dropped.
    Leaving,
    /// Nothing.
    Absent,
}

/// What happens to an adapter's copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CopyChange {
    /// It comes, or another version does.
    Load(u64),
    /// It goes.
    Drop,
}

#[derive(Clone, Copy, Debug)]
struct HeldCopy {
    version: u64,
    runs_until: Instant,
}

/// The base model and the adapters of an engine.
#[derive(Debug)]
pub struct AdapterShelf {
    base: Option<u64>,
    copies: BTreeMap<String, HeldCopy>,
    changes: BTreeMap<String, CopyChange>,
    orders_taken: u64,
    token: u64,
}

impl AdapterShelf {
    /// A shelf without adapters, and with the base model if the engine comes with it.
    #[must_use]
    pub fn new(base: Option<u64>) -> Self {
        Self {
            base,
            copies: BTreeMap::new(),
            changes: BTreeMap::new(),
            orders_taken: 0,
            token: 0,
        }
    }

    /// Takes an order, if its condition and its token allow; `newest` is the version that a load without one brings.
    pub fn take(&mut self, order: &AdapterOrder, newest: u64, now: Instant) -> OrderVerdict {
        if order.token < self.token {
            return OrderVerdict::Fenced;
        }
        let is_overtaken = order
            .expected
            .is_some_and(|expected| expected != self.orders_taken);
        if is_overtaken || self.is_blocked(order) {
            return OrderVerdict::Conflict;
        }
        self.token = order.token;
        if self.holds(order, newest) {
            return OrderVerdict::Done;
        }
        self.orders_taken += 1;
        let (change, at) = self.change(order, newest, now);
        self.changes.insert(order.adapter.clone(), change);
        if at > now {
            return OrderVerdict::Begun(at);
        }
        self.finish(&order.adapter);
        OrderVerdict::Done
    }

    /// Whether another order has to end first: an unload, the base model's load, or one for the same adapter.
    fn is_blocked(&self, order: &AdapterOrder) -> bool {
        let is_base = order.adapter.is_empty();
        let has_drop = self
            .changes
            .values()
            .any(|change| *change == CopyChange::Drop);
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
    fn change(&self, order: &AdapterOrder, newest: u64, now: Instant) -> (CopyChange, Instant) {
        if order.adapter.is_empty() {
            return (CopyChange::Load(newest), now + BASE_LOAD_TIME);
        }
        let held = self.copies.get(&order.adapter);
        let runs_until = held.map_or(now, |copy| copy.runs_until.max(now));
        if order.is_unload {
            return (CopyChange::Drop, runs_until);
        }
        let version = order.version.unwrap_or(newest);
        (CopyChange::Load(version), runs_until.max(now + LOAD_TIME))
    }

    /// Ends the change that an adapter is in.
    pub fn finish(&mut self, adapter: &str) {
        match self.changes.remove(adapter) {
            Some(CopyChange::Load(version)) if adapter.is_empty() => self.base = Some(version),
            Some(CopyChange::Load(version)) => {
                let copy = HeldCopy {
                    version,
                    runs_until: Instant::now(),
                };
                self.copies.insert(adapter.to_owned(), copy);
            }
            Some(CopyChange::Drop) => {
                self.copies.remove(adapter);
            }
            None => {}
        }
    }

    /// What a request for an adapter finds.
    #[must_use]
    pub fn sight(&self, adapter: &str) -> CopySight {
        match (self.copies.get(adapter), self.base) {
            (Some(_), _) if self.changes.contains_key(adapter) => CopySight::Leaving,
            (Some(copy), Some(base)) => CopySight::Here(WeightVersions {
                base,
                adapter: copy.version,
            }),
            _ => CopySight::Absent,
        }
    }

    /// Notes a run on a copy.
    pub fn note_run(&mut self, adapter: &str, until: Instant) {
        if let Some(copy) = self.copies.get_mut(adapter) {
            copy.runs_until = copy.runs_until.max(until);
        }
    }

    /// Whether it was ordered beyond its places.
    #[must_use]
    pub fn is_overfilled(&self) -> bool {
        let is_new = |adapter: &&String| !adapter.is_empty() && !self.copies.contains_key(*adapter);
        let coming = self.changes.keys().filter(is_new).count();
        self.copies.len() + coming > PLACES
    }

    /// Orders that it has taken.
    #[must_use]
    pub fn orders_taken(&self) -> u64 {
        self.orders_taken
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
            |adapter: &str| !matches!(self.changes.get(adapter), Some(CopyChange::Load(_)));
        let adapters: Vec<_> = self
            .copies
            .iter()
            .filter(|(adapter, _)| is_kept(adapter))
            .map(|(adapter, copy)| format!("{adapter}@{}", copy.version))
            .collect();
        json!([{ "name": BASE, "version": base, "adapters": adapters }])
    }

    /// What is on its way, as reports name it.
    #[must_use]
    pub fn coming(&self) -> Vec<String> {
        self.changes
            .iter()
            .filter_map(|(adapter, change)| match change {
                CopyChange::Load(version) if !adapter.is_empty() => {
                    Some(format!("{BASE}/{adapter}@{version}"))
                }
                _ => None,
            })
            .collect()
    }
}
