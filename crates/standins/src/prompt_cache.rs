//! Simulated prompt caches of all engines of a site, with the adapter version that computed each cached part.
//!
//! Engines fetch cached parts from each other by address, adapter and part, and the transfer does not name the
//! version that computed them. A request can therefore reuse cache entries of another version than the one it runs
//! under; [`PromptCaches::process_prompt`] detects and reports this.

use std::{
    collections::HashMap,
    iter,
    net::SocketAddr,
    sync::{Mutex, MutexGuard},
};

/// A request that reused a cache entry computed by another adapter version than the one it runs under.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CacheMismatch {
    /// Address of the engine that ran the request.
    pub at: SocketAddr,
    /// Adapter of the request.
    pub adapter: String,
    /// Version that computed the cache entry.
    pub cached_version: u64,
    /// Version that the request runs under.
    pub running_version: u64,
}

/// A prompt as an engine receives it.
#[derive(Clone, Copy, Debug)]
pub struct ReceivedPrompt<'a> {
    /// Adapter of the request.
    pub adapter: &'a str,
    /// Version of the adapter that is loaded at the engine.
    pub version: u64,
    /// Ids of the prompt's parts, in order.
    pub parts: &'a [u64],
    /// Engine to fetch missing parts from.
    pub source: Option<SocketAddr>,
}

/// Version that computed each cached part, by adapter and part.
type CachedVersions = HashMap<(String, u64), u64>;

/// Prompt caches of all engines of a site, by address.
#[derive(Debug, Default)]
pub struct PromptCaches {
    engines: Mutex<HashMap<SocketAddr, CachedVersions>>,
}

impl PromptCaches {
    /// Runs a prompt through an engine's cache and returns the first version mismatch.
    ///
    /// The longest prefix of parts that the engine or the source has cached is reused. Everything after the first
    /// missing part is computed under the prompt's own version, also where a later part is cached, and all parts are
    /// stored in the engine's cache.
    pub fn process_prompt(
        &self,
        at: SocketAddr,
        prompt: &ReceivedPrompt<'_>,
    ) -> Option<CacheMismatch> {
        let mut engines = self.lock();
        let source_cache = prompt.source.and_then(|source| engines.get(&source));
        let source_cache = source_cache.cloned().unwrap_or_default();
        let own_cache = engines.entry(at).or_default();
        let mut mismatch = None;
        let mut is_available = true;
        for part in prompt.parts {
            let key = (prompt.adapter.to_owned(), *part);
            let version = own_cache
                .get(&key)
                .or_else(|| source_cache.get(&key))
                .copied();
            is_available &= version.is_some();
            let version = version.filter(|_| is_available).unwrap_or(prompt.version);
            if version != prompt.version {
                mismatch.get_or_insert_with(|| CacheMismatch {
                    at,
                    adapter: prompt.adapter.to_owned(),
                    cached_version: version,
                    running_version: prompt.version,
                });
            }
            own_cache.insert(key, version);
        }
        mismatch
    }

    /// Number of leading parts of a prompt that are cached at the engine or at the source.
    #[must_use]
    pub fn reusable_parts(&self, at: SocketAddr, prompt: &ReceivedPrompt<'_>) -> usize {
        let engines = self.lock();
        let caches: Vec<_> = iter::once(at)
            .chain(prompt.source)
            .filter_map(|address| engines.get(&address))
            .collect();
        let is_cached = |part: &&u64| {
            let key = (prompt.adapter.to_owned(), **part);
            caches.iter().any(|cache| cache.contains_key(&key))
        };
        prompt.parts.iter().take_while(is_cached).count()
    }

    /// Drops an engine's cached parts of an adapter, for when the adapter is replaced or unloaded.
    pub fn evict_adapter(&self, at: SocketAddr, adapter: &str) {
        if let Some(own_cache) = self.lock().get_mut(&at) {
            own_cache.retain(|(cached, _), _| cached != adapter);
        }
    }

    /// Drops the whole cache of an engine, for when it restarts or leaves.
    pub fn remove_engine(&self, at: SocketAddr) {
        self.lock().remove(&at);
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, CachedVersions>> {
        self.engines
            .lock()
            .expect("no thread panics while it holds the lock")
    }
}
