//! What engines keep of the prompts that they read, each part marked with the version of the adapter that made it.
//!
//! Engines take parts from each other by address, adapter and part, and nothing on the way says which version made them. So a run
//! can use memory of another version than its own; here it is told when one does.

use std::{
    collections::HashMap,
    iter,
    net::SocketAddr,
    sync::{Mutex, MutexGuard},
};

/// A run that used memory made under another version than the one that it runs under.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CacheMismatch {
    /// Where it ran.
    pub at: SocketAddr,
    /// Its adapter.
    pub adapter: String,
    /// Version that made the memory.
    pub cached_version: u64,
    /// Version that it runs under.
    pub running_version: u64,
}

/// A prompt as it reaches an engine.
#[derive(Clone, Copy, Debug)]
pub struct ReceivedPrompt<'a> {
    /// Its adapter.
    pub adapter: &'a str,
    /// Version of the adapter at the engine.
    pub version: u64,
    /// Its parts, in order.
    pub parts: &'a [u64],
    /// The engine to take from what this one lacks.
    pub source: Option<SocketAddr>,
}

/// Versions by adapter and part.
type KeptParts = HashMap<(String, u64), u64>;

/// The memory of all engines of a site.
#[derive(Debug, Default)]
pub struct PromptCaches {
    engines: Mutex<HashMap<SocketAddr, KeptParts>>,
}

impl PromptCaches {
    /// An engine reads a prompt: it uses what it has kept, takes what it lacks from the source as far as the prompt's parts
    /// are there one after the other, and makes the rest itself.
    pub fn process_prompt(
        &self,
        at: SocketAddr,
        prompt: &ReceivedPrompt<'_>,
    ) -> Option<CacheMismatch> {
        let mut engines = self.lock();
        let theirs = prompt.source.and_then(|source| engines.get(&source));
        let theirs = theirs.cloned().unwrap_or_default();
        let own = engines.entry(at).or_default();
        let mut mismatch = None;
        let mut is_found = true;
        for part in prompt.parts {
            let key = (prompt.adapter.to_owned(), *part);
            let made = own.get(&key).or_else(|| theirs.get(&key)).copied();
            is_found &= made.is_some();
            let made = made.filter(|_| is_found).unwrap_or(prompt.version);
            if made != prompt.version {
                mismatch.get_or_insert_with(|| CacheMismatch {
                    at,
                    adapter: prompt.adapter.to_owned(),
                    cached_version: made,
                    running_version: prompt.version,
                });
            }
            own.insert(key, made);
        }
        mismatch
    }

    /// Parts at the start of a prompt that an engine need not make itself: it has them, or the source does.
    #[must_use]
    pub fn reusable_parts(&self, at: SocketAddr, prompt: &ReceivedPrompt<'_>) -> usize {
        let engines = self.lock();
        let holders: Vec<_> = iter::once(at)
            .chain(prompt.source)
            .filter_map(|holder| engines.get(&holder))
            .collect();
        let is_kept = |part: &&u64| {
            let key = (prompt.adapter.to_owned(), **part);
            holders.iter().any(|kept| kept.contains_key(&key))
        };
        prompt.parts.iter().take_while(is_kept).count()
    }

    /// An engine replaces or drops an adapter, and what it kept for it.
    pub fn evict_adapter(&self, at: SocketAddr, adapter: &str) {
        if let Some(own) = self.lock().get_mut(&at) {
            own.retain(|(kept, _), _| kept != adapter);
        }
    }

    /// An engine starts again, or is gone.
    pub fn remove_engine(&self, at: SocketAddr) {
        self.lock().remove(&at);
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, KeptParts>> {
        self.engines.lock().expect("no holder of the lock panics")
    }
}
