//! What the workers of one VM tell each other about the platform's log.

use crate::direct::message::FeedTopic;
use std::sync::{Arc, Mutex};
use tokio::sync::watch;

/// Whether the log is in reach.
#[derive(Clone, Debug)]
pub struct StoreReachability {
    /// Counted up at each return.
    returns: watch::Sender<u64>,
    /// The topic whose worker tries while the log is out of reach.
    prober: Arc<Mutex<Option<FeedTopic>>>,
}

impl StoreReachability {
    /// A log that was never out of reach.
    #[must_use]
    pub fn new() -> Self {
        Self {
            returns: watch::channel(0).0,
            prober: Arc::default(),
        }
    }

    /// Whether the worker of a topic is the one to try; the first that asks is.
    ///
    /// # Panics
    /// If a holder of the lock panicked.
    #[must_use]
    pub fn is_prober(&self, topic: FeedTopic) -> bool {
        let mut prober = self.prober.lock().expect("no holder of the lock panics");
        *prober.get_or_insert(topic) == topic
    }

    /// The worker of a topic does not read any more: another one may try.
    ///
    /// # Panics
    /// If a holder of the lock panicked.
    pub fn stop_probing(&self, topic: FeedTopic) {
        let mut prober = self.prober.lock().expect("no holder of the lock panics");
        if *prober == Some(topic) {
            *prober = None;
        }
    }

    /// The log is in reach again.
    ///
    /// # Panics
    /// If a holder of the lock panicked.
    pub fn note_return(&self) {
        *self.prober.lock().expect("no holder of the lock panics") = None;
        self.returns.send_modify(|returns| *returns += 1);
    }

    /// A signal of returns.
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
