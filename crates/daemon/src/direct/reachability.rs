//! Reachability of the platform log, shared by the readers of all topics.
//!
//! While the log is out of reach, one reader probes it and wakes the others when it is back.

use crate::direct::message::FeedTopic;
use std::sync::{Arc, Mutex};
use tokio::sync::watch;

/// Shared state of the log's reachability.
#[derive(Clone, Debug)]
pub struct StoreReachability {
    /// Counts how often the log came back.
    returns: watch::Sender<u64>,
    /// Topic whose reader probes the log while it is out of reach.
    prober: Arc<Mutex<Option<FeedTopic>>>,
}

impl StoreReachability {
    /// State of a log that is in reach.
    #[must_use]
    pub fn new() -> Self {
        Self {
            returns: watch::channel(0).0,
            prober: Arc::default(),
        }
    }

    /// Whether the reader of a topic is the one that probes. The first reader that asks becomes the
    /// prober.
    ///
    /// # Panics
    /// If a thread panicked while it held the lock.
    #[must_use]
    pub fn is_prober(&self, topic: FeedTopic) -> bool {
        let mut prober = self
            .prober
            .lock()
            .expect("no thread panics while it holds the lock");
        *prober.get_or_insert(topic) == topic
    }

    /// Lets the reader of another topic probe, as this one has stopped reading.
    ///
    /// # Panics
    /// If a thread panicked while it held the lock.
    pub fn stop_probing(&self, topic: FeedTopic) {
        let mut prober = self
            .prober
            .lock()
            .expect("no thread panics while it holds the lock");
        if *prober == Some(topic) {
            *prober = None;
        }
    }

    /// Records that the log is back.
    ///
    /// # Panics
    /// If a thread panicked while it held the lock.
    pub fn record_return(&self) {
        *self
            .prober
            .lock()
            .expect("no thread panics while it holds the lock") = None;
        self.returns.send_modify(|returns| *returns += 1);
    }

    /// Watches for returns of the log.
    #[must_use]
    pub fn watch(&self) -> watch::Receiver<u64> {
        self.returns.subscribe()
    }
}

impl Default for StoreReachability {
    fn default() -> Self {
        Self::new()
    }
}
