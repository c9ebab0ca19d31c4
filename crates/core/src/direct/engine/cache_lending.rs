//! Tracking of the versions that made an engine's KV cache, to decide which cache other engines may fetch.
//!
//! A cache transfer does not state which weights made the cache, and the fetching engine does not check. Where some
//! engines have newer weights than others, an unchecked transfer would give callers answers that mix two versions. So
//! cache is transferred only if the versions of base model and adapter that made it are known and are those that the
//! call runs under.

use crate::{
    direct::{
        engine::{CopyState, EngineOrder, EngineState, LoadedModel, SentCall, shared_segments},
        planner::{CallKey, PlacementRequest, split_subject},
        versions::{CacheTag, CacheVersions, ObservedVersion, VersionMatch, VersionSource},
    },
    ids::{AdapterName, Instant},
};
use std::sync::Arc;

/// KV cache of a prompt prefix that an engine can lend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LendableCache {
    /// Versions that made the cache.
    pub tag: CacheTag,
    /// Length of the prefix, in tokens.
    pub tokens: u32,
}

impl EngineState {
    /// Allocates the generation of another load of a base model or an adapter.
    pub(super) fn next_generation(&mut self) -> u64 {
        self.last_generation += 1;
        self.last_generation
    }

    /// Versions that make KV cache for a subject here, as far as known.
    #[must_use]
    pub fn cache_versions(&self, subject: &AdapterName) -> CacheVersions {
        CacheVersions {
            base: self
                .base_model(subject)
                .and_then(|loaded| loaded.known_version),
            adapter: self.copies.get(subject).and_then(|copy| copy.known_version),
        }
    }

    fn base_model(&self, subject: &AdapterName) -> Option<&LoadedModel> {
        self.loaded_model(split_subject(subject).0)
    }

    fn loaded_model(&self, model: &str) -> Option<&LoadedModel> {
        self.models
            .iter()
            .find(|loaded| loaded.name.as_str() == model)
    }

    /// Version of the base model as stated by the engine itself. Its entry in the platform's list may predate a
    /// restart.
    fn reported_base_version(&self, subject: &AdapterName) -> Option<u64> {
        let known_version = self.base_model(subject)?.known_version?;
        (known_version.source != VersionSource::List).then_some(known_version.version)
    }

    /// Version that a call has to name, so that it runs under the known one only. Otherwise a copy that a late order
    /// of an earlier holder replaced unnoticed would make KV cache that is attributed to the known version.
    #[must_use]
    pub fn pinned_version(&self, subject: &AdapterName) -> Option<u64> {
        match split_subject(subject).1 {
            Some(_) => Some(self.copies.get(subject)?.known_version?.version),
            None => self.reported_base_version(subject),
        }
    }

    /// Generation of the adapter or base model on which a call sent now will run.
    #[must_use]
    pub fn generation(&self, subject: &AdapterName) -> Option<u64> {
        match split_subject(subject).1 {
            Some(_) => self.copies.get(subject).map(|copy| copy.generation),
            None => self.base_model(subject).map(|loaded| loaded.generation),
        }
    }

    /// Updates the base models from a report.
    pub(super) fn update_models(&mut self, models: &[(AdapterName, u64)], now: Instant) {
        let old = std::mem::take(&mut self.models);
        for (name, version) in models {
            let known_version = ObservedVersion::observe(*version, VersionSource::Report, now);
            match old.iter().find(|loaded| loaded.name == *name) {
                Some(known) => self.models.push(known.clone()),
                None => {
                    self.models.push(LoadedModel {
                        name: name.clone(),
                        known_version: None,
                        generation: 0,
                    });
                    self.invalidate_cache(name.as_str());
                }
            }
            self.observe_base_version(name.as_str(), known_version);
        }
    }

    /// Records an observed version of a base model.
    fn observe_base_version(&mut self, model: &str, observed: Option<ObservedVersion>) {
        let known = self
            .loaded_model(model)
            .and_then(|loaded| loaded.known_version);
        if VersionMatch::of(known, observed) == VersionMatch::Different {
            self.invalidate_cache(model);
        }
        let mut models = self.models.iter_mut();
        if let Some(loaded) = models.find(|loaded| loaded.name.as_str() == model)
            && observed.is_some()
        {
            loaded.known_version = observed;
        }
    }

    /// Invalidates the KV cache of a base model that was, or may have been, loaded again, and that of its adapters. The
    /// generations change together with the known version, so that no later observation applies to cache made before.
    fn invalidate_cache(&mut self, model: &str) {
        let generation = self.next_generation();
        for loaded in &mut self.models {
            if loaded.name.as_str() == model {
                loaded.generation = generation;
                loaded.known_version = None;
            }
        }
        for (subject, copy) in &mut self.copies {
            if split_subject(subject).0 == model {
                copy.generation = generation;
            }
        }
    }

    /// Invalidates a copy whose load or replacement is ordered: its version is unknown until that has ended.
    pub fn invalidate_copy(&mut self, subject: &AdapterName) {
        let generation = self.next_generation();
        if let Some(copy) = self.copies.get_mut(subject) {
            copy.known_version = None;
            copy.generation = generation;
            copy.was_unlisted = false;
        }
        self.mark_unlisted();
    }

    /// Records that the engine accepted an order.
    ///
    /// An order with sequence number 0 is also accepted by an engine that has restarted unnoticed, with other weights,
    /// so its KV cache counts as invalid until its next answer or report.
    pub fn record_accepted_order(&mut self, order: &EngineOrder) {
        if order.expected == 0 {
            let models: Vec<_> = self
                .models
                .iter()
                .map(|loaded| loaded.name.clone())
                .collect();
            for model in models {
                self.invalidate_cache(model.as_str());
            }
        }
    }

    /// Applies versions from the platform's list to copies whose version is unknown. An entry may be seconds old, so it
    /// applies to a copy only if the list was seen without the adapter since the load.
    pub(super) fn apply_listed_versions(&mut self, now: Instant) {
        if !self.is_inventory_known || self.pending.is_some() || self.is_entry_outdated {
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

    /// Marks the copies that the platform's list does not contain.
    pub(super) fn mark_unlisted(&mut self) {
        for (subject, copy) in &mut self.copies {
            let mut listed = self.entry.adapters.iter();
            copy.was_unlisted |= !listed.any(|resident| resident.adapter == *subject);
        }
    }

    /// Invalidates base models for which a changed entry lists another version than the known one, and requests a
    /// report to learn which is loaded.
    pub(super) fn check_listed_models(&mut self, now: Instant) {
        let entry = Arc::clone(&self.entry);
        for (model, version) in &entry.models {
            let listed = ObservedVersion::observe(*version, VersionSource::List, now);
            let known = self
                .loaded_model(model)
                .and_then(|loaded| loaded.known_version);
            if VersionMatch::of(known, listed) == VersionMatch::Different {
                self.invalidate_cache(model);
                self.report_due_at = Some(now);
            }
        }
    }

    /// Records that the prompt of a call was read under this version of the base model. Ignored if the adapter or base
    /// model was loaded again since the call was sent.
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
        self.observe_base_version(split_subject(&subject).0, known_version);
        self.read_segments.insert(&subject, generation, &shared);
    }

    /// Creates the record of a call that is sent now, and records its prompt segments as sent.
    pub fn prepare_call(&mut self, request: &PlacementRequest) -> SentCall {
        let shared = shared_segments(&request.prefix);
        let generation = self.generation(&request.subject);
        if let Some(generation) = generation {
            self.sent_segments
                .insert(&request.subject, generation, &shared);
        }
        SentCall {
            subject: request.subject.clone(),
            tokens: request.max_kv_tokens(),
            shared,
            generation,
            fingerprint: Some(request.fingerprint),
        }
    }

    /// Length of the prompt prefix that the engine has likely kept in its KV cache, in tokens.
    #[must_use]
    pub fn cached_tokens(&self, request: &PlacementRequest) -> u32 {
        let generation = self.generation(&request.subject);
        generation.map_or(0, |generation| {
            let sent = &self.sent_segments;
            sent.tokens(&request.subject, generation, &request.prefix)
        })
    }

    /// KV cache of a prompt prefix that the engine has read under known versions.
    #[must_use]
    pub fn lendable_cache(&self, request: &PlacementRequest) -> Option<LendableCache> {
        let subject = &request.subject;
        let generation = self.generation(subject)?;
        let tokens = self
            .read_segments
            .tokens(subject, generation, &request.prefix);
        if tokens == 0 || !self.is_inventory_known {
            return None;
        }
        let base = self.reported_base_version(subject)?;
        let adapter = match split_subject(subject).1 {
            Some(_) => {
                let copy = self.copies.get(subject)?;
                let is_loaded = copy.state == CopyState::Loaded;
                Some(copy.known_version.filter(|_| is_loaded)?.version)
            }
            None => None,
        };
        let tag = CacheTag { base, adapter };
        Some(LendableCache { tag, tokens })
    }

    /// Whether a call here may use KV cache with this tag. If the version of the adapter here is unknown, the call
    /// names the version that made the cache. The engine rejects the call if it has another version, and its report
    /// is then read before the next transfer.
    #[must_use]
    pub fn can_use_cache(
        &self,
        tag: CacheTag,
        subject: &AdapterName,
        named_version: Option<u64>,
    ) -> bool {
        let own = self.copies.get(subject).and_then(|copy| copy.known_version);
        let is_usable = match (
            tag.adapter,
            named_version.or(own.map(|known_version| known_version.version)),
        ) {
            (None, _) => true,
            (Some(_), None) => self.report_due_at.is_none() && !self.is_reporting,
            (made_by, known) => made_by == known,
        };
        self.is_inventory_known
            && is_usable
            && self.reported_base_version(subject) == Some(tag.base)
    }

    /// Pins a copy until a call at another engine has fetched its KV cache.
    pub fn lend_cache(&mut self, subject: &AdapterName, key: &CallKey) {
        if let Some(copy) = self.copies.get_mut(subject) {
            copy.borrowers.push(key.clone());
        }
    }

    /// Ends the loan to a call that has fetched the KV cache or no longer needs it. The copy stays pinned until
    /// `lent_until`, up to which a call of an unreachable gateway may still fetch.
    pub fn end_loan(&mut self, subject: &AdapterName, key: &CallKey, lent_until: Instant) {
        if let Some(copy) = self.copies.get_mut(subject) {
            copy.borrowers.retain(|borrower| borrower != key);
            copy.lent_until = copy.lent_until.max(lent_until);
        }
    }
}
