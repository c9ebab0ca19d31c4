//! Loads of adapters in a zone, so that the next holder knows which engines still have which adapters in memory.
//!
//! Engines keep recently loaded adapters in memory and reload them quickly, but do not state which. Only the holder that
//! ordered the loads knows, and that knowledge is lost with it: on a heavy day, 875 of 2,007 loads from the weight store in
//! the eight seconds after two changes of holder were of adapters that another engine of the zone had in memory.
//!
//! So the holder sends the loads of its zone with its heartbeats to the two VMs that would claim the zone next. The history
//! is soft state: without it, a new holder loads from the store what it could have reloaded.

use crate::ids::{AdapterName, TargetLife, TargetName, TargetRun};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Loads kept: thirty engines that keep 46 adapters, each loaded three times.
const MAX_LOADS: usize = 4_096;
/// Loads in one message, of some 50 bytes each; four times what a busy zone orders between two heartbeats.
const MAX_LOADS_PER_MESSAGE: usize = 256;

/// Accepted load of an adapter.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedLoad {
    /// The engine.
    pub run: TargetRun,
    /// The adapter.
    pub adapter: AdapterName,
    /// The named version that was ordered; none if operators named none.
    pub version: Option<u64>,
}

/// The newest loads of a zone, in order.
#[derive(Clone, Debug, Default)]
pub struct LoadHistory {
    loads: VecDeque<AcceptedLoad>,
    /// Sequence number of the first load that is kept.
    first: u64,
}

impl LoadHistory {
    /// Records an accepted load.
    pub fn record(&mut self, load: AcceptedLoad) {
        self.loads.push_back(load);
        if self.loads.len() > MAX_LOADS {
            self.loads.pop_front();
            self.first += 1;
        }
    }

    /// Loads from a sequence number on, as many as fit into one message, and the sequence number that follows them.
    #[must_use]
    pub fn after(&self, sequence: u64) -> (Vec<AcceptedLoad>, u64) {
        let sequence = sequence.max(self.first);
        let skipped = usize::try_from(sequence - self.first).unwrap_or(usize::MAX);
        let loads: Vec<_> = self
            .loads
            .iter()
            .skip(skipped)
            .take(MAX_LOADS_PER_MESSAGE)
            .cloned()
            .collect();
        let next = sequence + loads.len() as u64;
        (loads, next)
    }

    /// Adapters with named versions that an engine loaded in this life, the latest last.
    #[must_use]
    pub fn of(&self, name: &TargetName, life: TargetLife) -> Vec<(AdapterName, Option<u64>)> {
        let mut adapters: Vec<(AdapterName, Option<u64>)> = Vec::new();
        let is_of_engine = |load: &&AcceptedLoad| load.run.name == *name && load.run.life == life;
        for load in self.loads.iter().rev().filter(is_of_engine) {
            let loaded = (load.adapter.clone(), load.version);
            if !adapters.contains(&loaded) {
                adapters.push(loaded);
            }
        }
        adapters.reverse();
        adapters
    }
}
