//! Prompts of callers, and the time that engines take to process them.
//!
//! Most of a prompt is shared with other requests of its adapter. The shared parts change during a run, so that engines get
//! parts that another engine has cached and they have not.

use crate::adapter_store::WeightVersions;
use hoplanding_standins::prompt_cache::{PromptCaches, ReceivedPrompt};
use std::{net::SocketAddr, time::Duration};
use tokio::time::Instant;

/// Tokens of a shared part: enough that fetching it from another engine is faster than processing it.
const SHARED_TOKENS: u32 = 6_300;
/// Tokens of the part that is unique to a request.
const UNIQUE_TOKENS: u32 = 200;
/// Maximum number of answer tokens that callers announce.
const OUTPUT_TOKENS: u32 = 20;
/// Number of shared parts in use at a time.
const ACTIVE_SHARED_PARTS: usize = 3;
/// Number of requests after which a new shared part replaces the oldest one.
const REQUESTS_PER_SHARED_PART: usize = 60;
/// First id of unique parts, above the ids of shared ones.
const FIRST_UNIQUE_ID: usize = 0x10_0000;
/// Id of the part that crashes engines.
pub const DEADLY_PART_ID: u64 = 0xdead;
const PREFILL_TOKENS_PER_MS: u32 = 40;
/// Time to fetch cached prompt parts from another engine.
pub const CACHE_FETCH_TIME: Duration = Duration::from_millis(20);

/// Part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifies the content: equal ids stand for equal text.
    pub id: u64,
    /// Number of tokens.
    pub tokens: u32,
}

/// Parts of a prompt by the number of its request: a shared one, then a unique one.
#[must_use]
pub fn prompt_parts(number: usize) -> [PromptPart; 2] {
    let shared = number / REQUESTS_PER_SHARED_PART + number % ACTIVE_SHARED_PARTS;
    let part = |id: usize, tokens| PromptPart {
        id: id as u64,
        tokens,
    };
    [
        part(shared, SHARED_TOKENS),
        part(FIRST_UNIQUE_ID + number, UNIQUE_TOKENS),
    ]
}

/// Parts of a prompt whose second part crashes every engine that runs it; the other shared part is harmless.
#[must_use]
pub fn deadly_parts(number: usize) -> [PromptPart; 3] {
    let [shared, own] = prompt_parts(number);
    let deadly = PromptPart {
        id: DEADLY_PART_ID,
        tokens: UNIQUE_TOKENS,
    };
    [shared, deadly, own]
}

/// Encodes a prompt as the values of the token count and prompt prefix headers.
#[must_use]
pub fn encode_parts(parts: &[PromptPart]) -> (String, String) {
    let tokens: u32 = parts.iter().map(|part| part.tokens).sum();
    let parts: Vec<_> = parts
        .iter()
        .map(|PromptPart { id, tokens }| format!("{id:x}:{tokens}"))
        .collect();
    (format!("{tokens},{OUTPUT_TOKENS}"), parts.join(","))
}

/// Decodes the prompt prefix header of a request to a target. Invalid parts are skipped.
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

/// Prompt of a request that reached an engine.
#[derive(Clone, Debug)]
pub struct EnginePrompt {
    /// Adapter that the request runs on.
    pub adapter: String,
    /// Versions of base model and adapter that the request runs on.
    pub versions: WeightVersions,
    /// Parts of the prompt.
    pub parts: Vec<PromptPart>,
    /// Engine to fetch cached parts from.
    pub source: Option<SocketAddr>,
}

impl EnginePrompt {
    /// Processes the prompt with the cache of the engine at `at`. Returns the versions of the cached parts that it uses if they
    /// differ from `versions`.
    #[must_use]
    pub fn process(&self, at: SocketAddr, caches: &PromptCaches) -> Option<WeightVersions> {
        let ids = self.ids();
        let mismatch = caches.process_prompt(at, &self.to_received(&ids, self.source));
        mismatch.map(|mismatch| WeightVersions::from_packed(mismatch.cached_version))
    }

    fn ids(&self) -> Vec<u64> {
        self.parts.iter().map(|part| part.id).collect()
    }

    fn to_received<'a>(&'a self, ids: &'a [u64], source: Option<SocketAddr>) -> ReceivedPrompt<'a> {
        ReceivedPrompt {
            adapter: &self.adapter,
            version: self.versions.to_packed(),
            parts: ids,
            source,
        }
    }
}

/// Work of an engine to process a prompt.
#[derive(Clone, Copy, Debug)]
pub struct PrefillWork {
    /// Time until the prompt is processed, including prompts queued before it.
    pub time: Duration,
    /// Whether parts are fetched from another engine.
    pub is_fetch: bool,
}

/// Queue of an engine, which processes one prompt at a time.
#[derive(Debug)]
pub struct PromptQueue {
    free_at: Instant,
}

impl Default for PromptQueue {
    fn default() -> Self {
        Self {
            free_at: Instant::now(),
        }
    }
}

impl PromptQueue {
    /// Queues a prompt and returns the work for it.
    pub fn enqueue(
        &mut self,
        at: SocketAddr,
        prompt: &EnginePrompt,
        caches: &PromptCaches,
        now: Instant,
    ) -> PrefillWork {
        let ids = prompt.ids();
        let cached = caches.reusable_parts(at, &prompt.to_received(&ids, None));
        let found = caches.reusable_parts(at, &prompt.to_received(&ids, prompt.source));
        let is_fetch = found > cached;
        let unprocessed_tokens = prompt.parts[found..]
            .iter()
            .map(|part| part.tokens)
            .sum::<u32>();
        let mut prefill_time =
            Duration::from_millis(u64::from(unprocessed_tokens / PREFILL_TOKENS_PER_MS));
        if is_fetch {
            prefill_time += CACHE_FETCH_TIME;
        }
        self.free_at = self.free_at.max(now) + prefill_time;
        PrefillWork {
            time: self.free_at - now,
            is_fetch,
        }
    }
}
