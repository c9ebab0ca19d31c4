//! Parts of a prompt that an engine takes from another one instead of reading them.
//!
//! The load that this answers: long prompts that share most of their tokens with others for the same adapter, while an
//! adapter in demand stands on several engines, and each would read the same parts anew. An engine reads 6,000 tokens in
//! some 200 ms, and takes them from a neighbour in some 20, so what is compared is time against time. Engines take what they
//! are told to, whatever made it, so a source is named only where its versions are those that the call runs under.

use crate::{
    direct::{
        catalog::TargetStage,
        engine::EngineState,
        planner::{CacheTransfer, CallKey, PlacementRequest, PlannerAction, ZonePlanner},
        versions::CacheTag,
    },
    ids::{AdapterName, Instant, TargetName},
};
use std::{net::SocketAddr, time::Duration};

/// An engine that has read parts of a prompt.
#[derive(Clone, Debug)]
pub(super) struct PromptSource {
    pub name: TargetName,
    pub address: SocketAddr,
    pub mark: CacheTag,
    tokens: u32,
}

/// Memory that a call takes from a source.
#[derive(Clone, Debug)]
pub(super) struct MemoryLoan {
    source: TargetName,
    subject: AdapterName,
    /// The source's generation that made it; none once the source has started again or is gone.
    generation: Option<u64>,
}

/// What an engine has to do for a prompt.
#[derive(Clone, Copy, Debug)]
pub(super) struct PromptWork<'a> {
    /// Tokens that it reads.
    pub tokens: u32,
    /// Time for all of it.
    pub time: Duration,
    /// Where it takes kept parts from.
    pub fetch: Option<&'a PromptSource>,
}

impl ZonePlanner {
    /// Of the zone's engines that can lend memory of a prompt, for each mark the one with the most.
    pub(super) fn prompt_sources(&self, ask: &PlacementRequest, now: Instant) -> Vec<PromptSource> {
        let mut best: Vec<PromptSource> = Vec::new();
        if now >= self.led_until {
            return best;
        }
        for (name, engine) in &self.engines {
            let Some(memory) = engine.lendable_cache(ask) else {
                continue;
            };
            let is_fit = engine.entry.stage == TargetStage::Ready
                && self.is_settled(engine)
                && self.has_own_address(engine)
                && !self.health.is_unreachable(name, now)
                && !self.health.is_degraded(name);
            if !is_fit {
                continue;
            }
            let source = PromptSource {
                name: name.clone(),
                address: engine.entry.address,
                mark: memory.mark,
                tokens: memory.tokens,
            };
            match best.iter_mut().find(|known| known.mark == memory.mark) {
                Some(known) if known.tokens < source.tokens => *known = source,
                Some(_) => {}
                None => best.push(source),
            }
        }
        best
    }

    /// Whether no order of an earlier holder is carried out at an engine any more, and what such a one did is known.
    pub(super) fn is_settled(&self, engine: &EngineState) -> bool {
        engine.has_accepted_order || engine.reported_at >= self.settled_from
    }

    /// Whether no other engine is listed where an engine is: one that has ended may be listed still, beside the one that followed
    /// it there.
    fn has_own_address(&self, engine: &EngineState) -> bool {
        let mut others = self.engines.values();
        !others.any(|other| {
            other.entry.address == engine.entry.address && other.entry.name != engine.entry.name
        })
    }

    /// What an engine has to do for a prompt, if it may take parts from one of these.
    pub(super) fn prompt_work<'a>(
        &self,
        engine: &EngineState,
        ask: &PlacementRequest,
        sources: &'a [PromptSource],
        now: Instant,
    ) -> PromptWork<'a> {
        let named = self.named_version(&ask.subject);
        let kept = engine.cached_tokens(ask);
        let tokens = ask.prompt_tokens.saturating_sub(kept);
        let time = engine.prompts.prefill_time(tokens, &self.pace, now);
        let alone = PromptWork {
            tokens,
            time,
            fetch: None,
        };
        let fitting = sources
            .iter()
            .filter(|source| engine.can_use_cache(source.mark, &ask.subject, named));
        let Some(source) = fitting.max_by_key(|source| source.tokens) else {
            return alone;
        };
        if source.name == engine.entry.name || source.tokens <= kept {
            return alone;
        }
        let tokens = ask.prompt_tokens.saturating_sub(source.tokens);
        let time =
            engine.prompts.prefill_time(tokens, &self.pace, now) + self.policy.cache_fetch_time;
        if time + self.policy.min_fetch_saving > alone.time {
            return alone;
        }
        PromptWork {
            tokens,
            time,
            fetch: Some(source),
        }
    }

    /// Says that a call takes memory from a source, or that it takes none as what there is does not fit.
    pub(super) fn tell_move(
        &mut self,
        name: &TargetName,
        key: &CallKey,
        ask: &PlacementRequest,
        sources: &[PromptSource],
        fetch: Option<&PromptSource>,
    ) {
        let Some(engine) = self.engines.get(name) else {
            return;
        };
        let named = self.named_version(&ask.subject);
        let kept = engine.cached_tokens(ask);
        let unfit = sources.iter().find(|source| {
            source.tokens > kept && !engine.can_use_cache(source.mark, &ask.subject, named)
        });
        let Some(source) = fetch.or(unfit) else {
            return;
        };
        let lender = self.engines.get(&source.name);
        let lender = lender.map(|lender| lender.memory_versions(&ask.subject));
        let moved = CacheTransfer {
            key: key.clone(),
            subject: ask.subject.clone(),
            source: source.name.clone(),
            source_versions: lender.unwrap_or_default(),
            target: name.clone(),
            target_versions: engine.memory_versions(&ask.subject),
            named_version: named,
            is_permitted: fetch.is_some(),
        };
        self.actions
            .push_back(PlannerAction::RecordTransfer(Box::new(moved)));
    }

    /// Holds what a call takes from a source as it is.
    pub(super) fn lend_cache(
        &mut self,
        source: &PromptSource,
        ask: &PlacementRequest,
        key: &CallKey,
    ) {
        // A gateway that has started again counts its calls anew: one of before may have this key.
        self.end_loan(key, Instant::default());
        if let Some(engine) = self.engines.get_mut(&source.name) {
            engine.lend_cache(&ask.subject, key);
            let loan = MemoryLoan {
                source: source.name.clone(),
                subject: ask.subject.clone(),
                generation: engine.generation(&ask.subject),
            };
            self.loans.insert(key.clone(), loan);
        }
    }

    /// Whether a call is yet to take memory from an engine that was made before the engine loaded anew: what is read there now would be
    /// taken for it.
    pub(super) fn lends_older(&self, engine: &EngineState, subject: &AdapterName) -> bool {
        let mut loans = self.loans.values();
        loans.any(|loan| {
            loan.source == engine.entry.name
                && loan.subject == *subject
                && (loan.generation.is_none() || loan.generation != engine.generation(subject))
        })
    }

    /// An engine has started again, or is gone.
    pub(super) fn outlive_loans(&mut self, name: &TargetName) {
        for loan in self.loans.values_mut() {
            if loan.source == *name {
                loan.generation = None;
            }
        }
    }

    /// Lets go of the memory that a call was to take, but for one that may yet take it until a time.
    pub(super) fn end_loan(&mut self, key: &CallKey, pinned_until: Instant) {
        let Some(loan) = self.loans.remove(key) else {
            return;
        };
        if let Some(engine) = self.engines.get_mut(&loan.source) {
            engine.end_loan(&loan.subject, key, pinned_until);
        }
    }
}
