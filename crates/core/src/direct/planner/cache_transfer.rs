//! Transfer of KV cache for prompt prefixes between engines, as an alternative to computing it again.
//!
//! Long prompts often share most of their tokens with others for the same adapter, and an adapter in demand is loaded
//! at several engines, each of which would read the shared prefix again. Reading 6,000 tokens takes about 200 ms,
//! fetching their cache from another engine about 20 ms, so the planner compares the two times. Engines fetch what they
//! are instructed to without checking which weights and which software made it, so a source is named only if its versions are
//! those that the call runs under.

use crate::{
    direct::{
        catalog::TargetStage,
        engine::EngineState,
        planner::{CacheTransfer, CallKey, PlacementRequest, PlannerAction, ZonePlanner},
        versions::CacheTag,
    },
    ids::{AdapterName, Instant, SoftwareVersion, TargetName},
};
use std::{net::SocketAddr, time::Duration};

/// Engine that holds KV cache for a prefix of a prompt.
#[derive(Clone, Debug)]
pub(super) struct CacheSource {
    pub name: TargetName,
    pub address: SocketAddr,
    pub tag: CacheTag,
    /// Software version of the engine.
    software: SoftwareVersion,
    tokens: u32,
}

impl CacheSource {
    /// Whether an engine may use the cache for a call that requires a version of the subject: the weights match, and the
    /// same software version made it.
    fn fits(&self, engine: &EngineState, subject: &AdapterName, required: Option<u64>) -> bool {
        self.software == engine.entry.software && engine.can_use_cache(self.tag, subject, required)
    }
}

/// KV cache that a call is about to fetch from a source.
#[derive(Clone, Debug)]
pub(super) struct CacheLoan {
    source: TargetName,
    subject: AdapterName,
    /// Generation of the subject at the source that made the cache; none once the source has restarted or is gone.
    generation: Option<u64>,
}

/// How an engine would process a prompt.
#[derive(Clone, Copy, Debug)]
pub(super) struct PrefillPlan<'a> {
    /// Tokens that the engine reads itself.
    pub tokens: u32,
    /// Time for reading and fetching.
    pub time: Duration,
    /// Source of the remaining cache, if a fetch saves time.
    pub fetch: Option<&'a CacheSource>,
}

impl ZonePlanner {
    /// Engines of the zone that can lend KV cache for a prompt: for each tag and software version the one with the
    /// longest prefix.
    ///
    /// Empty after `lead_until`: another holder may have replaced copies since.
    pub(super) fn cache_sources(
        &self,
        request: &PlacementRequest,
        now: Instant,
    ) -> Vec<CacheSource> {
        let mut best: Vec<CacheSource> = Vec::new();
        if now >= self.sole_until {
            return best;
        }
        for (name, engine) in &self.engines {
            let Some(cache) = engine.lendable_cache(request) else {
                continue;
            };
            let is_usable = engine.entry.stage == TargetStage::Ready
                && self.is_inventory_settled(engine)
                && self.has_unique_address(engine)
                && !self.health.is_unreachable(name, now)
                && !self.health.is_degraded(name);
            if !is_usable {
                continue;
            }
            let source = CacheSource {
                name: name.clone(),
                address: engine.entry.address,
                tag: cache.tag,
                software: engine.entry.software.clone(),
                tokens: cache.tokens,
            };
            let is_alike =
                |known: &CacheSource| known.tag == source.tag && known.software == source.software;
            match best.iter_mut().find(|known| is_alike(known)) {
                Some(known) if known.tokens < source.tokens => *known = source,
                Some(_) => {}
                None => best.push(source),
            }
        }
        best
    }

    /// Whether no order of an earlier holder can still change an engine, and the effects of those before are known.
    pub(super) fn is_inventory_settled(&self, engine: &EngineState) -> bool {
        engine.has_accepted_order || engine.reported_at >= self.earlier_orders_until
    }

    /// Whether no other engine is listed at the engine's address. An engine that has ended may still be listed beside
    /// its successor at the same address.
    fn has_unique_address(&self, engine: &EngineState) -> bool {
        let mut others = self.engines.values();
        !others.any(|other| {
            other.entry.address == engine.entry.address && other.entry.name != engine.entry.name
        })
    }

    /// Plans how an engine would process a prompt, fetching from one of the sources if that saves enough time.
    pub(super) fn prefill_plan<'a>(
        &self,
        engine: &EngineState,
        request: &PlacementRequest,
        sources: &'a [CacheSource],
        now: Instant,
    ) -> PrefillPlan<'a> {
        let required = self.required_version(engine, &request.subject);
        let cached = engine.cached_tokens(request);
        let tokens = request.prompt_tokens.saturating_sub(cached);
        let time = engine
            .prompts
            .prefill_time(tokens, &self.prefill_model, now);
        let without_fetch = PrefillPlan {
            tokens,
            time,
            fetch: None,
        };
        let usable = sources
            .iter()
            .filter(|source| source.fits(engine, &request.subject, required));
        let Some(source) = usable.max_by_key(|source| source.tokens) else {
            return without_fetch;
        };
        if source.name == engine.entry.name || source.tokens <= cached {
            return without_fetch;
        }
        let tokens = request.prompt_tokens.saturating_sub(source.tokens);
        let time = engine
            .prompts
            .prefill_time(tokens, &self.prefill_model, now)
            + self.policy.cache_fetch_time;
        if time + self.policy.min_fetch_saving > without_fetch.time {
            return without_fetch;
        }
        PrefillPlan {
            tokens,
            time,
            fetch: Some(source),
        }
    }

    /// Records that a call fetches cache from a source, or that a source is skipped because its versions do not
    /// match.
    pub(super) fn record_transfer(
        &mut self,
        name: &TargetName,
        key: &CallKey,
        request: &PlacementRequest,
        sources: &[CacheSource],
        fetch: Option<&CacheSource>,
    ) {
        let Some(engine) = self.engines.get(name) else {
            return;
        };
        let required = self.required_version(engine, &request.subject);
        let cached = engine.cached_tokens(request);
        let unusable = sources.iter().find(|source| {
            source.tokens > cached && !source.fits(engine, &request.subject, required)
        });
        let Some(source) = fetch.or(unusable) else {
            return;
        };
        let lender = self.engines.get(&source.name);
        let lender = lender.map(|lender| lender.cache_versions(&request.subject));
        let transfer = CacheTransfer {
            key: key.clone(),
            subject: request.subject.clone(),
            source: source.name.clone(),
            source_versions: lender.unwrap_or_default(),
            target: name.clone(),
            target_versions: engine.cache_versions(&request.subject),
            named_version: self.named_version(&request.subject),
            is_permitted: fetch.is_some(),
        };
        self.actions
            .push_back(PlannerAction::RecordTransfer(Box::new(transfer)));
    }

    /// Pins the copy at the source until the call has fetched its cache.
    pub(super) fn lend_cache(
        &mut self,
        source: &CacheSource,
        request: &PlacementRequest,
        key: &CallKey,
    ) {
        // A restarted gateway starts its call counter over, so an earlier call may have the same key.
        self.end_loan(key, Instant::default());
        if let Some(engine) = self.engines.get_mut(&source.name) {
            engine.lend_cache(&request.subject, key);
            let loan = CacheLoan {
                source: source.name.clone(),
                subject: request.subject.clone(),
                generation: engine.generation(&request.subject),
            };
            self.loans.insert(key.clone(), loan);
        }
    }

    /// Whether a call has still to fetch cache that an earlier generation at this engine made. Cache of the present
    /// generation would be fetched in its place.
    pub(super) fn lends_outdated_cache(&self, engine: &EngineState, subject: &AdapterName) -> bool {
        let mut loans = self.loans.values();
        loans.any(|loan| {
            loan.source == engine.entry.name
                && loan.subject == *subject
                && (loan.generation.is_none() || loan.generation != engine.generation(subject))
        })
    }

    /// Marks the loans from an engine that has restarted or is gone.
    pub(super) fn invalidate_loans(&mut self, name: &TargetName) {
        for loan in self.loans.values_mut() {
            if loan.source == *name {
                loan.generation = None;
            }
        }
    }

    /// Ends the loan of a call. The copy stays pinned until `lent_until`, up to which the call may still fetch.
    pub(super) fn end_loan(&mut self, key: &CallKey, lent_until: Instant) {
        let Some(loan) = self.loans.remove(key) else {
            return;
        };
        if let Some(engine) = self.engines.get_mut(&loan.source) {
            engine.end_loan(&loan.subject, key, lent_until);
        }
    }
}
