//! What an engine has likely kept of prompts.
//!
//! Memory of a prompt is worth something only to the weights that made it, so parts are noted under the generation of what the
//! prompt was sent to. Those of prompts that were sent say what an engine need not read: a wrong belief costs reading. Those
//! of prompts that were read say what others may take from it: a wrong belief there costs a wrong answer.

use crate::ids::AdapterName;
use siphasher::sip::SipHasher13;
use std::{
    collections::{HashMap, VecDeque},
    hash::{Hash, Hasher},
};

/// Prompt parts whose use is remembered for each engine.
const PARTS_KEPT: usize = 256;

/// Prompt parts by adapter and generation; the oldest go first.
#[derive(Clone, Debug, Default)]
pub struct PartMemory {
    /// How often each part stands in the order.
    known: HashMap<u64, u32>,
    order: VecDeque<u64>,
}

impl PartMemory {
    /// Notes parts of a prompt.
    pub fn note(&mut self, subject: &AdapterName, generation: u64, parts: &[u64]) {
        for part in parts {
            self.note_one(part_hash(subject, generation, *part));
        }
    }

    fn note_one(&mut self, part: u64) {
        *self.known.entry(part).or_default() += 1;
        self.order.push_back(part);
        if self.order.len() > PARTS_KEPT
            && let Some(oldest) = self.order.pop_front()
            && let Some(count) = self.known.get_mut(&oldest)
        {
            *count -= 1;
            if *count == 0 {
                self.known.remove(&oldest);
            }
        }
    }

    /// Tokens at the start of a prompt whose parts are known one after the other.
    #[must_use]
    pub fn tokens(&self, subject: &AdapterName, generation: u64, prefix: &[(u64, u32)]) -> u32 {
        prefix
            .iter()
            .take_while(|(part, _)| {
                self.known
                    .contains_key(&part_hash(subject, generation, *part))
            })
            .map(|(_, tokens)| tokens)
            .sum()
    }
}

/// The parts of a prompt that other calls may share: all but the last, which is the call's own.
#[must_use]
pub fn shared_segments(prefix: &[(u64, u32)]) -> Vec<u64> {
    let shared = prefix.len().saturating_sub(1);
    prefix[..shared].iter().map(|(part, _)| *part).collect()
}

fn part_hash(subject: &AdapterName, generation: u64, part: u64) -> u64 {
    let mut hasher = SipHasher13::new();
    subject.as_str().hash(&mut hasher);
    generation.hash(&mut hasher);
    part.hash(&mut hasher);
    hasher.finish()
}
