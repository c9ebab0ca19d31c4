//! The rate-limited weight store: one load at a time at full speed.

use std::{
    sync::atomic::{AtomicUsize, Ordering},
    time::Duration,
};

/// How often a load's progress is worked out.
const TICK: Duration = Duration::from_millis(5);

/// A weight store that the engines of a site share.
#[derive(Debug)]
pub struct WeightStore {
    alone: Duration,
    active: AtomicUsize,
    max_concurrent_fetches: AtomicUsize,
}

impl WeightStore {
    /// A store from which one load alone takes `alone`.
    #[must_use]
    pub fn new(alone: Duration) -> Self {
        Self {
            alone,
            active: AtomicUsize::new(0),
            max_concurrent_fetches: AtomicUsize::new(0),
        }
    }

    /// Largest number of loads that ran at once.
    #[must_use]
    pub fn max_concurrent_fetches(&self) -> usize {
        self.max_concurrent_fetches.load(Ordering::Relaxed)
    }

    /// Takes as long as a load of one adapter takes beside the others.
    pub async fn fetch(&self) {
        let active = self.active.fetch_add(1, Ordering::Relaxed) + 1;
        self.max_concurrent_fetches
            .fetch_max(active, Ordering::Relaxed);
        let _active = ActiveFetch(&self.active);
        let mut left = self.alone;
        while !left.is_zero() {
            let step = left.min(TICK);
            tokio::time::sleep(step).await;
            let sharing = self.active.load(Ordering::Relaxed).max(1) as u32;
            left = left.saturating_sub(step / sharing);
            if left < Duration::from_micros(100) {
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
