//! Prompt prefixes that an engine has likely kept in its KV cache.
//!
//! KV cache is only valid for the weights that made it, so prompt segments are recorded under the generation of the
//! subject that the prompt was sent to. There are two tables per engine. Segments of sent prompts show what the engine
//! need not read again; an error there costs reading time. Segments of prompts known to have been read show what other
//! engines may fetch; an error there gives a wrong answer.

use crate::ids::AdapterName;
use siphasher::sip::SipHasher13;
use std::{
    collections::{HashMap, VecDeque},
    hash::{Hash, Hasher},
};

/// Maximum number of segments in a table.
const MAX_SEGMENTS: usize = 256;

/// Prompt segments by subject and generation. The oldest are evicted first.
#[derive(Clone, Debug, Default)]
pub struct PrefixTable {
    /// Number of entries in `order` for each segment.
    counts: HashMap<u64, u32>,
    order: VecDeque<u64>,
}

impl PrefixTable {
    /// Inserts segments of a prompt.
    pub fn insert(&mut self, subject: &AdapterName, generation: u64, segments: &[u64]) {
        for segment in segments {
            self.insert_segment(segment_hash(subject, generation, *segment));
        }
    }

    fn insert_segment(&mut self, segment: u64) {
        *self.counts.entry(segment).or_default() += 1;
        self.order.push_back(segment);
        if self.order.len() > MAX_SEGMENTS
            && let Some(oldest) = self.order.pop_front()
            && let Some(count) = self.counts.get_mut(&oldest)
        {
            *count -= 1;
            if *count == 0 {
                self.counts.remove(&oldest);
            }
        }
    }

    /// Number of tokens in the longest known prefix of a prompt.
    #[must_use]
    pub fn tokens(&self, subject: &AdapterName, generation: u64, prefix: &[(u64, u32)]) -> u32 {
        prefix
            .iter()
            .take_while(|(segment, _)| {
                self.counts
                    .contains_key(&segment_hash(subject, generation, *segment))
            })
            .map(|(_, tokens)| tokens)
            .sum()
    }
}

/// Segments of a prompt that other calls may share: all but the last, which is unique to the call.
#[must_use]
pub fn shared_segments(prefix: &[(u64, u32)]) -> Vec<u64> {
    let shared = prefix.len().saturating_sub(1);
    prefix[..shared]
        .iter()
        .map(|(segment, _)| *segment)
        .collect()
}

fn segment_hash(subject: &AdapterName, generation: u64, segment: u64) -> u64 {
    let mut hasher = SipHasher13::new();
    subject.as_str().hash(&mut hasher);
    generation.hash(&mut hasher);
    segment.hash(&mut hasher);
    hasher.finish()
}
