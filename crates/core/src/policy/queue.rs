//! Waiting requests of one target, in FIFO order by adapter and priority class.
//!
//! Totals by class are kept up to date, so that admission and digests need no pass over the queue.

use crate::ids::{AdapterVersion, CallerName, Instant, PriorityClass, RequestId};
use std::collections::{HashMap, VecDeque};

/// A waiting request.
#[derive(Clone, Debug, PartialEq)]
pub struct QueuedRequest {
    /// Request id, unique across gateways.
    pub id: RequestId,
    /// Requested adapter and version.
    pub model: AdapterVersion,
    /// Priority class.
    pub class: PriorityClass,
    /// Caller that sent the request.
    pub caller: CallerName,
    /// Estimated prompt tokens.
    pub prompt_tokens: u32,
    /// Maximum number of output tokens.
    pub output_tokens: u32,
    /// Time of arrival.
    pub queued_at: Instant,
    /// Time at which the caller stops waiting.
    pub deadline: Instant,
}

/// Waiting requests for one adapter, by class.
#[derive(Clone, Debug, Default)]
pub struct AdapterQueue {
    classes: [VecDeque<QueuedRequest>; 3],
}

impl AdapterQueue {
    /// Number of waiting requests, by class.
    #[must_use]
    pub fn counts(&self) -> [usize; 3] {
        [
            self.classes[0].len(),
            self.classes[1].len(),
            self.classes[2].len(),
        ]
    }

    /// Number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.classes.iter().map(VecDeque::len).sum()
    }

    /// Whether no request is waiting.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.classes.iter().all(VecDeque::is_empty)
    }

    /// The longest-waiting request of a class.
    #[must_use]
    pub fn head(&self, class: PriorityClass) -> Option<&QueuedRequest> {
        self.classes[class.index()].front()
    }

    /// All waiting requests, most urgent class first.
    pub fn iter(&self) -> impl Iterator<Item = &QueuedRequest> {
        self.classes.iter().flatten()
    }
}

/// All waiting requests of one target, by adapter.
#[derive(Clone, Debug, Default)]
pub struct WaitingQueue {
    adapters: HashMap<AdapterVersion, AdapterQueue>,
    counts: [usize; 3],
    tokens: [u64; 3],
}

impl WaitingQueue {
    /// Appends a request to the queue of its adapter and class.
    pub fn push(&mut self, request: QueuedRequest) {
        let class = request.class.index();
        self.counts[class] += 1;
        self.tokens[class] += u64::from(request.output_tokens);
        let queue = self.adapters.entry(request.model.clone()).or_default();
        queue.classes[class].push_back(request);
    }

    /// Removes the longest-waiting request of an adapter and class.
    pub fn pop(&mut self, model: &AdapterVersion, class: PriorityClass) -> Option<QueuedRequest> {
        let queue = self.adapters.get_mut(model)?;
        let request = queue.classes[class.index()].pop_front()?;
        if queue.is_empty() {
            self.adapters.remove(model);
        }
        self.subtract_counts(&request);
        Some(request)
    }

    /// Removes a request by id, at any position.
    pub fn remove(&mut self, model: &AdapterVersion, id: RequestId) -> Option<QueuedRequest> {
        let queue = self.adapters.get_mut(model)?;
        let mut found = None;
        for class in &mut queue.classes {
            if let Some(position) = class.iter().position(|request| request.id == id) {
                found = class.remove(position);
                break;
            }
        }
        if queue.is_empty() {
            self.adapters.remove(model);
        }
        let request = found?;
        self.subtract_counts(&request);
        Some(request)
    }

    /// Removes all requests for an adapter.
    pub fn remove_adapter(&mut self, model: &AdapterVersion) -> Vec<QueuedRequest> {
        let Some(queue) = self.adapters.remove(model) else {
            return Vec::new();
        };
        let requests: Vec<_> = queue.classes.into_iter().flatten().collect();
        for request in &requests {
            self.subtract_counts(request);
        }
        requests
    }

    /// Removes all requests.
    pub fn drain(&mut self) -> Vec<QueuedRequest> {
        self.counts = [0; 3];
        self.tokens = [0; 3];
        let queues = self.adapters.drain();
        queues
            .flat_map(|(_, queue)| queue.classes.into_iter().flatten())
            .collect()
    }

    /// Removes the requests whose deadline has passed.
    pub fn remove_expired(&mut self, now: Instant) -> Vec<QueuedRequest> {
        let mut expired = Vec::new();
        for queue in self.adapters.values() {
            expired.extend(
                queue
                    .iter()
                    .filter(|request| request.deadline <= now)
                    .cloned(),
            );
        }
        for request in &expired {
            self.remove(&request.model, request.id);
        }
        expired
    }

    /// Queue of an adapter; `None` if no request waits for it.
    #[must_use]
    pub fn adapter(&self, model: &AdapterVersion) -> Option<&AdapterQueue> {
        self.adapters.get(model)
    }

    /// Adapters with waiting requests.
    pub fn iter(&self) -> impl Iterator<Item = (&AdapterVersion, &AdapterQueue)> {
        self.adapters.iter()
    }

    /// Number of waiting requests, by class.
    #[must_use]
    pub fn counts(&self) -> [usize; 3] {
        self.counts
    }

    /// Output tokens of the waiting requests, by class.
    #[must_use]
    pub fn tokens(&self) -> [u64; 3] {
        self.tokens
    }

    /// Number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.counts.iter().sum()
    }

    /// Whether no request is waiting.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn subtract_counts(&mut self, request: &QueuedRequest) {
        let class = request.class.index();
        self.counts[class] -= 1;
        self.tokens[class] -= u64::from(request.output_tokens);
    }
}
