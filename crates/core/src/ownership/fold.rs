//! State of target ownership, folded from the log.

use crate::{
    ids::{AdapterVersion, DaemonRef, FencingToken, LogOffset, TargetName},
    log::{IntentClosedRecord, IntentRecord, SettledRecord, TakeoverRecord},
};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Lease of a target by a daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderLease {
    /// The holder.
    pub daemon: DaemonRef,
    /// Offset of the takeover record that granted the lease.
    pub token: FencingToken,
}

/// An unload that was announced in the log and is not closed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenIntent {
    /// Adapter version to unload.
    pub adapter: AdapterVersion,
    /// Fencing token of the announcing holder.
    pub token: FencingToken,
    /// Announcement number, unique for that token.
    pub number: u64,
    /// Offset of the intent record.
    pub offset: LogOffset,
}

/// Ownership state of one target.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetOwnership {
    /// Current holder.
    pub holder: Option<HolderLease>,
    /// Former holders that may still have requests or orders on the target.
    pub predecessors: Vec<HolderLease>,
    /// Open unload intents.
    pub intents: Vec<OpenIntent>,
}

/// Ownership state of all targets.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct OwnershipState {
    targets: BTreeMap<TargetName, TargetOwnership>,
}

/// Effect of a record on the ownership state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OwnershipEffect {
    /// No effect: the record is stale or a duplicate.
    None,
    /// The target has a new holder.
    NewHolder(TargetName, HolderLease),
    /// A former holder is settled.
    Settled(TargetName),
    /// An unload was announced.
    IntentOpened(TargetName, OpenIntent),
    /// An unload intent, given by its number, was closed.
    IntentClosed(TargetName, u64),
}

impl OwnershipState {
    /// Ownership state of a target.
    #[must_use]
    pub fn target(&self, name: &str) -> Option<&TargetOwnership> {
        self.targets.get(name)
    }

    /// Iterates over all targets that ever had a holder.
    pub fn iter(&self) -> impl Iterator<Item = (&TargetName, &TargetOwnership)> {
        self.targets.iter()
    }

    /// Current holder of a target.
    #[must_use]
    pub fn holder(&self, name: &str) -> Option<&HolderLease> {
        self.targets.get(name)?.holder.as_ref()
    }

    /// Applies a takeover; accepted only if it names the current holder's token.
    pub fn apply_takeover(
        &mut self,
        offset: LogOffset,
        record: &TakeoverRecord,
    ) -> OwnershipEffect {
        let ownership = self.targets.entry(record.target.clone()).or_default();
        let current = ownership.holder.as_ref().map(|lease| lease.token);
        if current != record.replaces {
            return OwnershipEffect::None;
        }
        let lease = HolderLease {
            daemon: record.holder.clone(),
            token: FencingToken(offset),
        };
        ownership
            .predecessors
            .extend(ownership.holder.replace(lease.clone()));
        OwnershipEffect::NewHolder(record.target.clone(), lease)
    }

    /// Applies an unload intent; it has no effect unless its author is the holder at this offset.
    pub fn apply_intent(&mut self, offset: LogOffset, record: &IntentRecord) -> OwnershipEffect {
        let Some(ownership) = self.targets.get_mut(&record.target) else {
            return OwnershipEffect::None;
        };
        if ownership.holder.as_ref().map(|lease| lease.token) != Some(record.token) {
            return OwnershipEffect::None;
        }
        let is_known = ownership
            .intents
            .iter()
            .any(|intent| intent.token == record.token && intent.number == record.number);
        if is_known {
            return OwnershipEffect::None;
        }
        let intent = OpenIntent {
            adapter: record.adapter.clone(),
            token: record.token,
            number: record.number,
            offset,
        };
        ownership.intents.push(intent.clone());
        OwnershipEffect::IntentOpened(record.target.clone(), intent)
    }

    /// Applies the end of an unload intent.
    pub fn apply_intent_closed(&mut self, record: &IntentClosedRecord) -> OwnershipEffect {
        let Some(ownership) = self.targets.get_mut(&record.target) else {
            return OwnershipEffect::None;
        };
        ownership
            .intents
            .retain(|intent| !(intent.token == record.token && intent.number == record.number));
        OwnershipEffect::IntentClosed(record.target.clone(), record.number)
    }

    /// Applies the settlement of a former holder, which also closes its unload intents.
    pub fn apply_settled(&mut self, record: &SettledRecord) -> OwnershipEffect {
        let Some(ownership) = self.targets.get_mut(&record.target) else {
            return OwnershipEffect::None;
        };
        if ownership
            .holder
            .as_ref()
            .is_some_and(|lease| lease.token == record.token)
        {
            // The current holder may still dispatch.
            return OwnershipEffect::None;
        }
        ownership
            .predecessors
            .retain(|lease| lease.token != record.token);
        ownership
            .intents
            .retain(|intent| intent.token != record.token);
        OwnershipEffect::Settled(record.target.clone())
    }
}
