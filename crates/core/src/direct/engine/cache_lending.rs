//! Which memory of prompts other engines may take from an engine.
//!
//! Nothing on the way from one engine to another says which weights made the memory that moves, and the engine that takes it
//! does not look: where some engines have newer weights than their neighbours, callers would get answers that are computed from
//! two versions. So memory moves only if its versions are known, of the base model as well as of the adapter, and are those that
//! the call runs under.

use crate::{
    direct::{
        engine::{CopyState, EngineOrder, EngineState, LoadedModel, SentCall, shared_segments},
        planner::{CallKey, PlacementRequest, split_subject},
        versions::{CacheTag, CacheVersions, ObservedVersion, VersionMatch, VersionSource},
    },
    ids::{AdapterName, Instant},
};
use std::sync::Arc;

/// Memory of a prompt that an engine can lend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LendableCache {
    /// What made it.
    pub mark: CacheTag,
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
    pub fn memory_versions(&self, subject: &AdapterName) -> CacheVersions {
        CacheVersions {
            base: self.base(subject).and_then(|held| held.known_version),
            adapter: self.copies.get(subject).and_then(|copy| copy.known_version),
        }
    }

    fn base(&self, subject: &AdapterName) -> Option<&LoadedModel> {
        self.held(split_subject(subject).0)
    }

    fn held(&self, model: &str) -> Option<&LoadedModel> {
        self.models.iter().find(|held| held.name.as_str() == model)
    }

    /// The version of the base model by the engine's own word; its entry in the list may be from before it started again.
    fn own_base(&self, subject: &AdapterName) -> Option<u64> {
        let known_version = self.base(subject)?.known_version?;
        (known_version.source != VersionSource::List).then_some(known_version.version)
    }

    /// The version that a call has to ask for so that it runs under no other than the one that is known here. A copy that is
    /// replaced unseen, by a late order of an earlier holder, would else make memory that is taken for the known version's.
    #[must_use]
    pub fn pinned_version(&self, subject: &AdapterName) -> Option<u64> {
        match split_subject(subject).1 {
            Some(_) => Some(self.copies.get(subject)?.known_version?.version),
            None => self.own_base(subject),
        }
    }

    /// Which loading of an adapter, or of a base model, a call that is sent now will run on.
    #[must_use]
    pub fn generation(&self, subject: &AdapterName) -> Option<u64> {
        match split_subject(subject).1 {
            Some(_) => self.copies.get(subject).map(|copy| copy.generation),
            None => self.base(subject).map(|held| held.generation),
        }
    }

    /// Takes over the base models that a report lists.
    pub(super) fn take_models(&mut self, models: &[(AdapterName, u64)], now: Instant) {
        let old = std::mem::take(&mut self.models);
        for (name, version) in models {
            let known_version = ObservedVersion::observe(*version, VersionSource::Report, now);
            match old.iter().find(|held| held.name == *name) {
                Some(known) => self.models.push(known.clone()),
                None => {
                    self.models.push(LoadedModel {
                        name: name.clone(),
                        known_version: None,
                        generation: 0,
                    });
                    self.outdate_memory(name.as_str());
                }
            }
            self.see_base(name.as_str(), known_version);
        }
    }

    /// Takes over what told the version of a base model.
    fn see_base(&mut self, model: &str, known_version: Option<ObservedVersion>) {
        let known = self.held(model).and_then(|held| held.known_version);
        if VersionMatch::of(known, known_version) == VersionMatch::Different {
            self.outdate_memory(model);
        }
        let mut models = self.models.iter_mut();
        if let Some(held) = models.find(|held| held.name.as_str() == model)
            && known_version.is_some()
        {
            held.known_version = known_version;
        }
    }

    /// A base model was loaded anew, or may have been: what was read before is worth nothing now, for its adapters
    /// neither. A sight that goes takes its generation with it, so that no later one speaks for what was read before.
    fn outdate_memory(&mut self, model: &str) {
        let generation = self.next_generation();
        for held in &mut self.models {
            if held.name.as_str() == model {
                held.generation = generation;
                held.known_version = None;
            }
        }
        for (subject, copy) in &mut self.copies {
            if split_subject(subject).0 == model {
                copy.generation = generation;
            }
        }
    }

    /// An adapter is loaded, or replaced: until that has ended nobody knows what is there.
    pub fn invalidate_copy(&mut self, subject: &AdapterName) {
        let generation = self.next_generation();
        if let Some(copy) = self.copies.get_mut(subject) {
            copy.known_version = None;
            copy.generation = generation;
            copy.was_unlisted = false;
        }
        self.note_unlisted();
    }

    /// It has taken an order. One that expects none before it is taken as well by an engine that has started again
    /// unseen, with other weights: its next answer or report tells.
    pub fn record_accepted_order(&mut self, order: &EngineOrder) {
        if order.expected == 0 {
            let models: Vec<_> = self.models.iter().map(|held| held.name.clone()).collect();
            for model in models {
                self.outdate_memory(model.as_str());
            }
        }
    }

    /// Takes over versions from the list for copies of which nothing else told them. An entry may be seconds old, so it
    /// speaks of a copy only if the list has been seen without it since it was loaded.
    pub(super) fn take_listed_versions(&mut self, now: Instant) {
        if !self.is_inventory_known || self.pending.is_some() || self.entry_is_old {
            return;
        }
        for resident in &self.entry.adapters {
            if let Some(copy) = self.copies.get_mut(&resident.adapter)
                && copy.was_unlisted
                && copy.known_version.is_none()
                && copy.state == CopyState::Loaded
            {
                copy.known_version =
                    ObservedVersion::observe(resident.version, VersionSource::List, now);
            }
        }
    }

    /// Notes which copies the list is without.
    pub(super) fn note_unlisted(&mut self) {
        for (subject, copy) in &mut self.copies {
            let mut listed = self.entry.adapters.iter();
            copy.was_unlisted |= !listed.any(|resident| resident.adapter == *subject);
        }
    }

    /// Where a changed entry tells other weights of a base model than are known, nobody knows which are there until the
    /// report tells.
    pub(super) fn doubt_models(&mut self, now: Instant) {
        let entry = Arc::clone(&self.entry);
        for (model, version) in &entry.models {
            let listed = ObservedVersion::observe(*version, VersionSource::List, now);
            let known = self.held(model).and_then(|held| held.known_version);
            if VersionMatch::of(known, listed) == VersionMatch::Different {
                self.outdate_memory(model);
                self.report_due_at = Some(now);
            }
        }
    }

    /// Notes that a call's prompt has been read by this version of the base model. What comes from before its adapter
    /// or its base model was loaded anew says nothing.
    pub fn record_prompt_read(&mut self, key: &CallKey, version: u64, now: Instant) {
        let Some(call) = self.calls.get_mut(key) else {
            return;
        };
        let Some(generation) = call.generation else {
            return;
        };
        let subject = call.subject.clone();
        let shared = std::mem::take(&mut call.shared);
        if self.generation(&subject) != Some(generation) {
            return;
        }
        let known_version = ObservedVersion::observe(version, VersionSource::Answer, now);
        self.see_base(split_subject(&subject).0, known_version);
        self.read_parts.note(&subject, generation, &shared);
    }

    /// A call that is sent to it now.
    pub fn sent_call(&mut self, ask: &PlacementRequest) -> SentCall {
        let shared = shared_segments(&ask.prefix);
        let generation = self.generation(&ask.subject);
        if let Some(generation) = generation {
            self.sent_parts.note(&ask.subject, generation, &shared);
        }
        SentCall {
            subject: ask.subject.clone(),
            tokens: ask.max_kv_tokens(),
            shared,
            generation,
            fingerprint: Some(ask.fingerprint),
        }
    }

    /// Tokens at the start of a prompt that it has likely kept.
    #[must_use]
    pub fn cached_tokens(&self, ask: &PlacementRequest) -> u32 {
        let generation = self.generation(&ask.subject);
        generation.map_or(0, |generation| {
            let sent = &self.sent_parts;
            sent.tokens(&ask.subject, generation, &ask.prefix)
        })
    }

    /// Memory of a prompt that it has read, of which it is known what made it.
    #[must_use]
    pub fn lendable_cache(&self, ask: &PlacementRequest) -> Option<LendableCache> {
        let subject = &ask.subject;
        let generation = self.generation(subject)?;
        let tokens = self.read_parts.tokens(subject, generation, &ask.prefix);
        if tokens == 0 || !self.is_inventory_known {
            return None;
        }
        let base = self.own_base(subject)?;
        let adapter = match split_subject(subject).1 {
            Some(_) => {
                let copy = self.copies.get(subject)?;
                let is_here = copy.state == CopyState::Loaded;
                Some(copy.known_version.filter(|_| is_here)?.version)
            }
            None => None,
        };
        let mark = CacheTag { base, adapter };
        Some(LendableCache { mark, tokens })
    }

    /// Whether a call may use memory with this mark here. Where nobody knows the version of the adapter here, the call has to
    /// name the one that it expects: the engine turns it away if it has another, and then its report comes first.
    #[must_use]
    pub fn can_use_cache(&self, mark: CacheTag, subject: &AdapterName, named: Option<u64>) -> bool {
        let own = self.copies.get(subject).and_then(|copy| copy.known_version);
        let is_fit = match (
            mark.adapter,
            named.or(own.map(|known_version| known_version.version)),
        ) {
            (None, _) => true,
            (Some(_), None) => self.report_due_at.is_none() && !self.is_reporting,
            (made_by, known) => made_by == known,
        };
        self.is_inventory_known && is_fit && self.own_base(subject) == Some(mark.base)
    }

    /// Holds a copy as it is until a call elsewhere has its memory.
    pub fn lend_cache(&mut self, subject: &AdapterName, key: &CallKey) {
        if let Some(copy) = self.copies.get_mut(subject) {
            copy.borrowers.push(key.clone());
        }
    }

    /// A call elsewhere has the memory, or does not need it any more. One whose gateway can't be reached may yet take
    /// it until a time.
    pub fn end_loan(&mut self, subject: &AdapterName, key: &CallKey, pinned_until: Instant) {
        if let Some(copy) = self.copies.get_mut(subject) {
            copy.borrowers.retain(|borrower| borrower != key);
            copy.lent_until = copy.lent_until.max(pinned_until);
        }
    }
}
