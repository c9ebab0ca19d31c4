//! Parts of a prompt that an engine takes from another one instead of reading them.
//!
//! The load that this answers: long prompts that share most of their tokens with others for the same adapter, while an
//! adapter in demand stands on several engines, and each would read the same parts anew. An engine reads 6,000 tokens in
//! some 200 ms, and takes them from a neighbour in some 20, so what is compared is time against time; engines do what they
//! are asked and read what the other has lost, so a wrong belief costs the reading that it would have cost anyway.

use crate::{
    direct::{
        catalog::TargetStage,
        engine::EngineState,
        planner::{PlacementAsk, ZonePlanner},
    },
    ids::{Instant, TargetName},
};
use std::{net::SocketAddr, time::Duration};

/// The engine that has kept most of a prompt.
#[derive(Debug)]
pub(super) struct PromptSource {
    pub name: TargetName,
    pub address: SocketAddr,
    tokens: u32,
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
    /// The zone's engine that has kept most of a prompt.
    pub(super) fn prompt_source(&self, ask: &PlacementAsk, now: Instant) -> Option<PromptSource> {
        self.engines
            .iter()
            .filter(|(name, engine)| {
                engine.entry.stage == TargetStage::Ready
                    && !self.health.is_out(name, now)
                    && !self.health.is_doubted(name)
            })
            .map(|(name, engine)| PromptSource {
                name: name.clone(),
                address: engine.entry.address,
                tokens: engine.kept_tokens(&ask.subject, &ask.prefix),
            })
            .filter(|source| source.tokens > 0)
            .max_by_key(|source| source.tokens)
    }

    /// What an engine has to do for a prompt, if it may take parts from a source.
    pub(super) fn prompt_work<'a>(
        &self,
        engine: &EngineState,
        ask: &PlacementAsk,
        source: Option<&'a PromptSource>,
        now: Instant,
    ) -> PromptWork<'a> {
        let kept = engine.kept_tokens(&ask.subject, &ask.prefix);
        let tokens = ask.prompt_tokens.saturating_sub(kept);
        let time = engine.prompts.own_time(tokens, &self.pace, now);
        let alone = PromptWork {
            tokens,
            time,
            fetch: None,
        };
        let Some(source) = source else {
            return alone;
        };
        if source.name == engine.entry.name || source.tokens <= kept {
            return alone;
        }
        let tokens = ask.prompt_tokens.saturating_sub(source.tokens);
        let time = engine.prompts.own_time(tokens, &self.pace, now) + self.policy.fetch_time;
        if time + self.policy.fetch_gain > alone.time {
            return alone;
        }
        PromptWork {
            tokens,
            time,
            fetch: Some(source),
        }
    }
}
