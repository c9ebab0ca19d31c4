//! The adapters of an engine, and the orders that change them.
//!
//! What is loaded is there a moment later. A replacement and an unload wait for the runs on their copy, and meanwhile the
//! copy takes no new ones.

use serde_json::Value;
use std::{collections::BTreeMap, time::Duration};
use tokio::time::Instant;

/// Places for adapters at an engine.
pub const PLACES: usize = 4;
/// Version of an adapter for which none was named.
pub const FIRST_VERSION: u64 = 1;
/// Time that a load takes: an adapter arrives in some milliseconds.
const LOAD_TIME: Duration = Duration::from_millis(25);

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdapterOrder {
    /// Its adapter.
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
    /// The copy, in this version.
    Here(u64),
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

/// The adapters of an engine.
#[derive(Debug, Default)]
pub struct AdapterShelf {
    copies: BTreeMap<String, HeldCopy>,
    changes: BTreeMap<String, CopyChange>,
    orders_taken: u64,
    token: u64,
}

impl AdapterShelf {
    /// Takes an order, if its condition and its token allow; `newest` is the version that a load without one brings.
    pub fn take(&mut self, order: &AdapterOrder, newest: u64, now: Instant) -> OrderVerdict {
        if order.token < self.token {
            return OrderVerdict::Fenced;
        }
        let is_overtaken = order
            .expected
            .is_some_and(|expected| expected != self.orders_taken);
        let has_drop = self
            .changes
            .values()
            .any(|change| *change == CopyChange::Drop);
        if is_overtaken || has_drop || self.changes.contains_key(&order.adapter) {
            return OrderVerdict::Conflict;
        }
        self.token = order.token;
        let held = self.copies.get(&order.adapter).copied();
        let version = order.version.unwrap_or(newest);
        if !order.is_unload && held.is_some_and(|copy| copy.version == version) {
            return OrderVerdict::Done;
        }
        self.orders_taken += 1;
        let runs_until = held.map_or(now, |copy| copy.runs_until.max(now));
        let (change, at) = if order.is_unload {
            (CopyChange::Drop, runs_until)
        } else {
            (CopyChange::Load(version), runs_until.max(now + LOAD_TIME))
        };
        self.changes.insert(order.adapter.clone(), change);
        if at > now {
            return OrderVerdict::Begun(at);
        }
        self.finish(&order.adapter);
        OrderVerdict::Done
    }

    /// Ends the change that an adapter is in.
    pub fn finish(&mut self, adapter: &str) {
        match self.changes.remove(adapter) {
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
        match self.copies.get(adapter) {
            Some(_) if self.changes.contains_key(adapter) => CopySight::Leaving,
            Some(copy) => CopySight::Here(copy.version),
            None => CopySight::Absent,
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
        let is_new = |adapter: &&String| !self.copies.contains_key(*adapter);
        let coming = self.changes.keys().filter(is_new).count();
        self.copies.len() + coming > PLACES
    }

    /// Orders that it has taken.
    #[must_use]
    pub fn orders_taken(&self) -> u64 {
        self.orders_taken
    }

    /// Its copies, as lists and reports name them.
    #[must_use]
    pub fn listed(&self) -> Vec<String> {
        let is_kept =
            |adapter: &str| !matches!(self.changes.get(adapter), Some(CopyChange::Load(_)));
        self.copies
            .iter()
            .filter(|(adapter, _)| is_kept(adapter))
            .map(|(adapter, copy)| format!("{adapter}@{}", copy.version))
            .collect()
    }

    /// What is on its way, as reports name it.
    #[must_use]
    pub fn coming(&self) -> Vec<String> {
        self.changes
            .iter()
            .filter_map(|(adapter, change)| match change {
                CopyChange::Load(version) => Some(format!("base/{adapter}@{version}")),
                CopyChange::Drop => None,
            })
            .collect()
    }
}
