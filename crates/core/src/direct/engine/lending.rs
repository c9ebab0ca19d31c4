//! Which memory of prompts other engines may take from an engine.
//!
//! Nothing on the way from one engine to another says which weights made the memory that moves, and the engine that takes it
//! does not look. So only memory moves whose versions are known, of the base model as well as of the adapter: engines that
//! started again have newer weights than their neighbours, and copies that are in use are replaced later than others. Moves by
//! the adapter's name alone gave callers answers computed from two versions: 318 of some 7,000 runs on a day on which
//! targets came back with new weights, by the targets' own account.

use crate::{
    direct::{
        engine::{EngineState, HeldModel, ResidentState, SentCall, shared_parts},
        planner::{CallKey, PlacementAsk, split_subject},
        versions::{MemoryMark, MemoryVersions, VersionMatch, VersionSight, VersionTeller},
    },
    ids::{AdapterName, Instant, TargetName},
};

/// Memory of a prompt that an engine can lend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LendableMemory {
    /// What made it.
    pub mark: MemoryMark,
    /// Its tokens.
    pub tokens: u32,
}

impl EngineState {
    /// Marks another loading of a base model or an adapter.
    pub(super) fn next_generation(&mut self) -> u64 {
        self.generations += 1;
        self.generations
    }

    /// Versions of what makes its memory of a prompt, as far as is known.
    #[must_use]
    pub fn memory_versions(&self, subject: &AdapterName) -> MemoryVersions {
        MemoryVersions {
            base: self.base(subject).and_then(|held| held.sight),
            adapter: self.copies.get(subject).and_then(|copy| copy.sight),
        }
    }

    fn base(&self, subject: &AdapterName) -> Option<&HeldModel> {
        let (model, _) = split_subject(subject);
        self.models.iter().find(|held| held.name.as_str() == model)
    }

    /// The version of the base model by the engine's own word; its entry in the list may be from before it started again.
    fn own_base(&self, subject: &AdapterName) -> Option<u64> {
        let sight = self.base(subject)?.sight?;
        (sight.teller != VersionTeller::List).then_some(sight.version)
    }

    /// The version that a call has to ask for so that it runs under no other than the one that is known here. A copy that is
    /// replaced unseen, by a late order of an earlier holder, would else make memory that is taken for the known version's.
    #[must_use]
    pub fn told_version(&self, subject: &AdapterName) -> Option<u64> {
        match self.copies.get(subject) {
            Some(copy) => Some(copy.sight?.version),
            None => self.own_base(subject),
        }
    }

    /// Which loading of an adapter, or of a base model, a call that is sent now will run on.
    fn generation(&self, subject: &AdapterName) -> u64 {
        let copy = self.copies.get(subject).map(|copy| copy.generation);
        copy.or_else(|| self.base(subject).map(|held| held.generation))
            .unwrap_or(0)
    }

    /// Takes over the base models that a report lists.
    pub(super) fn take_models(&mut self, models: &[(AdapterName, u64)], now: Instant) {
        let old = std::mem::take(&mut self.models);
        for (name, version) in models {
            let sight = VersionSight::told(*version, VersionTeller::Report, now);
            let known = old.iter().find(|held| held.name == *name);
            let held = HeldModel {
                name: name.clone(),
                sight: sight.or(known.and_then(|held| held.sight)),
                generation: known.map_or(0, |held| held.generation),
            };
            let is_same = known
                .is_some_and(|held| VersionMatch::of(held.sight, sight) != VersionMatch::Unlike);
            self.models.push(held);
            if !is_same {
                self.outdate_memory(name.as_str());
            }
        }
    }

    /// A base model was loaded anew: what was read before is worth nothing now, for its adapters neither.
    fn outdate_memory(&mut self, model: &str) {
        self.generations += 1;
        let generation = self.generations;
        for held in &mut self.models {
            if held.name.as_str() == model {
                held.generation = generation;
            }
        }
        for (subject, copy) in &mut self.copies {
            if split_subject(subject).0 == model {
                copy.generation = generation;
            }
        }
    }

    /// An adapter is loaded, or replaced: until that has ended nobody knows what is there.
    pub fn outdate_copy(&mut self, subject: &AdapterName) {
        let generation = self.next_generation();
        if let Some(copy) = self.copies.get_mut(subject) {
            copy.sight = None;
            copy.generation = generation;
        }
    }

    /// Takes over versions from the list for copies of which nothing else told them, if the entry is as new as what is known. Where
    /// it tells of more orders than are known here, others gave them, and the engine's own report is read.
    pub(super) fn take_listed_versions(&mut self, now: Instant) {
        if !self.is_known || self.pending.is_some() || self.entry.orders_taken < self.sequence {
            return;
        }
        if self.entry.orders_taken > self.sequence {
            self.report_at = Some(now);
        }
        for resident in &self.entry.adapters {
            if let Some(copy) = self.copies.get_mut(&resident.adapter)
                && copy.sight.is_none()
                && copy.state == ResidentState::Here
            {
                copy.sight = VersionSight::told(resident.version, VersionTeller::List, now);
            }
        }
    }

    /// Notes that a call's prompt has been read, by this version of the base model if its answer tells one.
    pub fn note_read(&mut self, key: &CallKey, version: Option<u64>, now: Instant) {
        let Some(call) = self.calls.get_mut(key) else {
            return;
        };
        let (subject, sent_to) = (call.subject.clone(), call.generation);
        let shared = std::mem::take(&mut call.shared);
        let (model, _) = split_subject(&subject);
        let sight =
            version.and_then(|version| VersionSight::told(version, VersionTeller::Answer, now));
        if sight.is_some() {
            let known = self.base(&subject).and_then(|held| held.sight);
            if VersionMatch::of(known, sight) == VersionMatch::Unlike {
                self.outdate_memory(model);
            }
            let mut models = self.models.iter_mut();
            if let Some(held) = models.find(|held| held.name.as_str() == model) {
                held.sight = sight;
            }
        }
        // Where it was loaded anew meanwhile nobody knows which of the two has read it, and this generation is asked for no more.
        self.read_parts.note(&subject, sent_to, &shared);
    }

    /// A call that is sent to it now.
    pub fn sent_call(
        &mut self,
        ask: &PlacementAsk,
        named: Option<u64>,
        source: Option<TargetName>,
    ) -> SentCall {
        let shared = shared_parts(&ask.prefix);
        let mark = named.unwrap_or(0);
        self.sent_parts.note(&ask.subject, mark, &shared);
        SentCall {
            subject: ask.subject.clone(),
            tokens: ask.most_tokens(),
            shared,
            generation: self.generation(&ask.subject),
            source,
        }
    }

    /// Tokens at the start of a prompt that it has likely kept since this version was named.
    #[must_use]
    pub fn kept_tokens(&self, ask: &PlacementAsk, named: Option<u64>) -> u32 {
        let mark = named.unwrap_or(0);
        self.sent_parts.tokens(&ask.subject, mark, &ask.prefix)
    }

    /// Memory of a prompt that it has read, of which it is known what made it.
    #[must_use]
    pub fn lendable(&self, ask: &PlacementAsk) -> Option<LendableMemory> {
        let subject = &ask.subject;
        let generation = self.generation(subject);
        let tokens = self.read_parts.tokens(subject, generation, &ask.prefix);
        if tokens == 0 || !self.is_known {
            return None;
        }
        let base = self.own_base(subject)?;
        let adapter = match split_subject(subject).1 {
            Some(_) => {
                let copy = self.copies.get(subject)?;
                let is_here = copy.state == ResidentState::Here;
                Some(copy.sight.filter(|_| is_here)?.version)
            }
            None => None,
        };
        let mark = MemoryMark { base, adapter };
        Some(LendableMemory { mark, tokens })
    }

    /// Whether a call may use memory with this mark here. Where nobody knows the version of the adapter here, the call has to
    /// name the one that it expects: the engine turns it away if it has another.
    #[must_use]
    pub fn may_use(&self, mark: MemoryMark, subject: &AdapterName, named: Option<u64>) -> bool {
        let own = self.copies.get(subject).and_then(|copy| copy.sight);
        let adapter = named.or(own.map(|sight| sight.version));
        let is_fit = mark.adapter.is_none() || adapter.is_none() || adapter == mark.adapter;
        is_fit && self.own_base(subject) == Some(mark.base)
    }

    /// Holds a copy as it is until a call elsewhere has its memory.
    pub fn lend(&mut self, subject: &AdapterName, key: &CallKey) {
        if let Some(copy) = self.copies.get_mut(subject) {
            copy.lent_to.push(key.clone());
        }
    }

    /// A call elsewhere has the memory, or does not need it any more.
    pub fn end_loan(&mut self, subject: &AdapterName, key: &CallKey) {
        if let Some(copy) = self.copies.get_mut(subject) {
            copy.lent_to.retain(|borrower| borrower != key);
        }
    }
}
