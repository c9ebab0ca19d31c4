//! Prompts: what callers' prompts consist of, and how long an engine is at one.
//!
//! Most of a prompt is shared with others of its adapter, and the shared parts change as the run goes on, so that engines meet
//! parts that a neighbour has read and they have not.

use crate::shelf::WeightVersions;
use hoplanding_standins::prompt_cache::{PromptCaches, ReceivedPrompt};
use std::{net::SocketAddr, time::Duration};
use tokio::time::Instant;

/// Tokens of a shared part: long enough that it is sooner taken from another engine than read.
const SHARED_TOKENS: u32 = 6_300;
/// Tokens of the part that is a request's own.
const OWN_TOKENS: u32 = 200;
/// Most tokens of an answer.
const OUTPUT_TOKENS: u32 = 20;
/// Shared parts that an adapter's prompts have at a time.
const LIVE_PARTS: usize = 3;
/// Requests after which the oldest of them gives way to a new one.
const PART_REQUESTS: usize = 60;
/// Ids of own parts lie above those of shared ones.
const OWN_IDS: usize = 0x10_0000;
/// Tokens that an engine reads in a millisecond.
const READ_PER_MS: u32 = 40;
/// Time that a move between two engines takes.
pub const MOVE_TIME: Duration = Duration::from_millis(20);

/// One part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Its id.
    pub id: u64,
    /// Its tokens.
    pub tokens: u32,
}

/// The parts of a request's prompt, by the request's number.
#[must_use]
pub fn parts_of(number: usize) -> [PromptPart; 2] {
    let shared = number / PART_REQUESTS + number % LIVE_PARTS;
    let part = |id: usize, tokens| PromptPart {
        id: id as u64,
        tokens,
    };
    [
        part(shared, SHARED_TOKENS),
        part(OWN_IDS + number, OWN_TOKENS),
    ]
}

/// What a caller says of its prompt: the counts of tokens, and the parts.
#[must_use]
pub fn encode_parts(parts: &[PromptPart]) -> (String, String) {
    let tokens: u32 = parts.iter().map(|part| part.tokens).sum();
    let parts: Vec<_> = parts
        .iter()
        .map(|PromptPart { id, tokens }| format!("{id:x}:{tokens}"))
        .collect();
    (format!("{tokens},{OUTPUT_TOKENS}"), parts.join(","))
}

/// The parts as they reach a target.
#[must_use]
pub fn decode_parts(text: &str) -> Vec<PromptPart> {
    let parts = text.split(',').filter_map(|part| {
        let (id, tokens) = part.split_once(':')?;
        Some(PromptPart {
            id: u64::from_str_radix(id, 16).ok()?,
            tokens: tokens.parse().ok()?,
        })
    });
    parts.collect()
}

/// A prompt that an engine was handed.
#[derive(Clone, Debug)]
pub struct GivenPrompt {
    /// Its adapter.
    pub adapter: String,
    /// Versions that the engine runs it under.
    pub versions: WeightVersions,
    /// Its parts.
    pub parts: Vec<PromptPart>,
    /// The engine to take parts from.
    pub source: Option<SocketAddr>,
}

impl GivenPrompt {
    /// Reads it into an engine's memory; the versions that the memory was made under, if they are others than its own.
    #[must_use]
    pub fn read(&self, at: SocketAddr, memory: &PromptCaches) -> Option<WeightVersions> {
        let ids = self.ids();
        let mismatch = memory.process_prompt(at, &self.view(&ids, self.source));
        mismatch.map(|mismatch| WeightVersions::of_mark(mismatch.cached_version))
    }

    fn ids(&self) -> Vec<u64> {
        self.parts.iter().map(|part| part.id).collect()
    }

    fn view<'a>(&'a self, ids: &'a [u64], source: Option<SocketAddr>) -> ReceivedPrompt<'a> {
        ReceivedPrompt {
            adapter: &self.adapter,
            version: self.versions.mark(),
            parts: ids,
            source,
        }
    }
}

/// Work that a prompt is for an engine.
#[derive(Clone, Copy, Debug)]
pub struct ReadingWork {
    /// Time until it is read, those before it included.
    pub time: Duration,
    /// Whether parts of it come from another engine.
    pub is_move: bool,
}

/// The prompts of an engine, read one after another.
#[derive(Debug)]
pub struct PromptDesk {
    free_at: Instant,
}

impl Default for PromptDesk {
    fn default() -> Self {
        Self {
            free_at: Instant::now(),
        }
    }
}

impl PromptDesk {
    /// Takes a prompt in behind those that wait.
    pub fn take(
        &mut self,
        at: SocketAddr,
        prompt: &GivenPrompt,
        memory: &PromptCaches,
        now: Instant,
    ) -> ReadingWork {
        let ids = prompt.ids();
        let kept = memory.reusable_parts(at, &prompt.view(&ids, None));
        let found = memory.reusable_parts(at, &prompt.view(&ids, prompt.source));
        let is_move = found > kept;
        let unread = prompt.parts[found..]
            .iter()
            .map(|part| part.tokens)
            .sum::<u32>();
        let mut own = Duration::from_millis(u64::from(unread / READ_PER_MS));
        if is_move {
            own += MOVE_TIME;
        }
        self.free_at = self.free_at.max(now) + own;
        ReadingWork {
            time: self.free_at - now,
            is_move,
        }
    }
}
