//! Simulated weight store with limited bandwidth, which concurrent fetches share equally.

use std::{
    sync::atomic::{AtomicUsize, Ordering},
    time::Duration,
};

/// Interval at which a fetch updates its progress to the number of concurrent fetches.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(5);

/// Weight store that the engines of a site share.
#[derive(Debug)]
pub struct WeightStore {
    uncontended_duration: Duration,
    active_fetches: AtomicUsize,
    max_concurrent_fetches: AtomicUsize,
}

impl WeightStore {
    /// Creates a store from which a fetch without others takes `uncontended_duration`.
    #[must_use]
    pub fn new(uncontended_duration: Duration) -> Self {
        Self {
            uncontended_duration,
            active_fetches: AtomicUsize::new(0),
            max_concurrent_fetches: AtomicUsize::new(0),
        }
    }

    /// Largest number of fetches that ran at the same time.
    #[must_use]
    pub fn max_concurrent_fetches(&self) -> usize {
        self.max_concurrent_fetches.load(Ordering::Relaxed)
    }

    /// Waits for as long as fetching one adapter takes with the others that run at the same time.
    pub async fn fetch(&self) {
        let active_fetches = self.active_fetches.fetch_add(1, Ordering::Relaxed) + 1;
        self.max_concurrent_fetches
            .fetch_max(active_fetches, Ordering::Relaxed);
        let _guard = ActiveFetch(&self.active_fetches);
        let mut remaining = self.uncontended_duration;
        while !remaining.is_zero() {
            let step = remaining.min(PROGRESS_INTERVAL);
            tokio::time::sleep(step).await;
            let sharers = self.active_fetches.load(Ordering::Relaxed).max(1) as u32;
            remaining = remaining.saturating_sub(step / sharers);
            // With several sharers the remaining time shrinks geometrically and would not reach zero.
            if remaining < Duration::from_micros(100) {
                break;
            }
        }
    }
}

struct ActiveFetch<'a>(&'a AtomicUsize);

impl Drop for ActiveFetch<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
