//! The fold of the log into the holders of targets.

use crate::{
    ids::{AdapterVersion, DaemonRef, FencingToken, LogOffset, TargetName},
    log::{IntentClosedRecord, IntentRecord, SettledRecord, TakeoverRecord},
};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A daemon's hold of a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderLease {
    /// The daemon.
    pub daemon: DaemonRef,
    /// Offset of the takeover that made it the holder.
    pub token: FencingToken,
}

/// An announced unload that is not closed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenIntent {
    /// What is to be unloaded.
    pub adapter: AdapterVersion,
    /// Token of the holder that announced it.
    pub token: FencingToken,
    /// Number of the announcement.
    pub number: u64,
    /// Where it stands in the log.
    pub offset: LogOffset,
}

/// Holder, predecessors and announced unloads of one target.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetOwnership {
    /// The holder, if there is one.
    pub holder: Option<HolderLease>,
    /// Former holders that are not settled.
    pub predecessors: Vec<HolderLease>,
    /// Unloads that were announced and not closed.
    pub intents: Vec<OpenIntent>,
}

/// Holders of all targets.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct OwnershipState {
    targets: BTreeMap<TargetName, TargetOwnership>,
}

/// What a record did to the holders.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OwnershipEffect {
    /// Nothing: the record came too late or a second time.
    None,
    /// The target has a new holder.
    NewHolder(TargetName, HolderLease),
    /// A predecessor is settled.
    Settled(TargetName),
    /// An unload was announced.
    IntentOpened(TargetName, OpenIntent),
    /// An announced unload is closed.
    IntentClosed(TargetName, u64),
}

impl OwnershipState {
    /// The state of one target.
    #[must_use]
    pub fn target(&self, name: &str) -> Option<&TargetOwnership> {
        self.targets.get(name)
    }

    /// All targets that ever had a holder.
    pub fn iter(&self) -> impl Iterator<Item = (&TargetName, &TargetOwnership)> {
        self.targets.iter()
    }

    /// The holder of a target.
    #[must_use]
    pub fn holder(&self, name: &str) -> Option<&HolderLease> {
        self.targets.get(name)?.holder.as_ref()
    }

    /// Folds a takeover: accepted only if it names the present holder.
    pub fn apply_takeover(
        &mut self,
        offset: LogOffset,
        record: &TakeoverRecord,
    ) -> OwnershipEffect {
        let ownership = self.targets.entry(record.target.clone()).or_default();
        let present = ownership.holder.as_ref().map(|lease| lease.token);
        if present != record.replaces {
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

    /// Folds an announced unload: void unless its author is the holder at this offset.
    pub fn apply_intent(&mut self, offset: LogOffset, record: &IntentRecord) -> OwnershipEffect {
        let Some(ownership) = self.targets.get_mut(&record.target) else {
            return OwnershipEffect::None;
        };
        if ownership.holder.as_ref().map(|lease| lease.token) != Some(record.token) {
            return OwnershipEffect::None;
        }
        let known = ownership
            .intents
            .iter()
            .any(|open| open.token == record.token && open.number == record.number);
        if known {
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

    /// Folds the closing of an announced unload.
    pub fn apply_intent_closed(&mut self, record: &IntentClosedRecord) -> OwnershipEffect {
        let Some(ownership) = self.targets.get_mut(&record.target) else {
            return OwnershipEffect::None;
        };
        ownership
            .intents
            .retain(|open| !(open.token == record.token && open.number == record.number));
        OwnershipEffect::IntentClosed(record.target.clone(), record.number)
    }

    /// Folds the settling of a former holder; its announced unloads are closed with it.
    pub fn apply_settled(&mut self, record: &SettledRecord) -> OwnershipEffect {
        let Some(ownership) = self.targets.get_mut(&record.target) else {
            return OwnershipEffect::None;
        };
        if ownership
            .holder
            .as_ref()
            .is_some_and(|lease| lease.token == record.token)
        {
            // A present holder can't be settled: it may still dispatch.
            return OwnershipEffect::None;
        }
        ownership
            .predecessors
            .retain(|lease| lease.token != record.token);
        ownership.intents.retain(|open| open.token != record.token);
        OwnershipEffect::Settled(record.target.clone())
    }
}
