//! Requests that wait at one target, by adapter and class.

use crate::ids::{AdapterVersion, CallerName, Instant, PriorityClass, RequestId};
use std::collections::{HashMap, VecDeque};

/// A request that waits.
#[derive(Clone, Debug, PartialEq)]
pub struct QueuedRequest {
    /// Its id.
    pub id: RequestId,
    /// The adapter and version it names.
    pub model: AdapterVersion,
    /// Its class.
    pub class: PriorityClass,
    /// The caller.
    pub caller: CallerName,
    /// Prompt tokens, estimated.
    pub prompt_tokens: u32,
    /// Tokens that it may generate.
    pub output_tokens: u32,
    /// When it came.
    pub queued_at: Instant,
    /// When its caller stops waiting.
    pub deadline: Instant,
}

/// Requests that wait for one adapter.
#[derive(Clone, Debug, Default)]
pub struct AdapterQueue {
    classes: [VecDeque<QueuedRequest>; 3],
}

impl AdapterQueue {
    /// Number that wait, by class.
    #[must_use]
    pub fn counts(&self) -> [usize; 3] {
        [
            self.classes[0].len(),
            self.classes[1].len(),
            self.classes[2].len(),
        ]
    }

    /// Number that wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.classes.iter().map(VecDeque::len).sum()
    }

    /// Whether nothing waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.classes.iter().all(VecDeque::is_empty)
    }

    /// The longest waiting request of a class.
    #[must_use]
    pub fn head(&self, class: PriorityClass) -> Option<&QueuedRequest> {
        self.classes[class.index()].front()
    }

    /// All that wait, most urgent first.
    pub fn iter(&self) -> impl Iterator<Item = &QueuedRequest> {
        self.classes.iter().flatten()
    }
}

/// All requests that wait at one target.
#[derive(Clone, Debug, Default)]
pub struct WaitingQueue {
    adapters: HashMap<AdapterVersion, AdapterQueue>,
    counts: [usize; 3],
    tokens: [u64; 3],
}

impl WaitingQueue {
    /// Adds a request.
    pub fn push(&mut self, request: QueuedRequest) {
        let class = request.class.index();
        self.counts[class] += 1;
        self.tokens[class] += u64::from(request.output_tokens);
        let queue = self.adapters.entry(request.model.clone()).or_default();
        queue.classes[class].push_back(request);
    }

    /// Takes the longest waiting request of an adapter and class.
    pub fn pop(&mut self, model: &AdapterVersion, class: PriorityClass) -> Option<QueuedRequest> {
        let queue = self.adapters.get_mut(model)?;
        let request = queue.classes[class.index()].pop_front()?;
        if queue.is_empty() {
            self.adapters.remove(model);
        }
        self.discount(&request);
        Some(request)
    }

    /// Takes one request out, wherever it stands.
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
        self.discount(&request);
        Some(request)
    }

    /// Takes every request of an adapter out.
    pub fn remove_adapter(&mut self, model: &AdapterVersion) -> Vec<QueuedRequest> {
        let Some(queue) = self.adapters.remove(model) else {
            return Vec::new();
        };
        let requests: Vec<_> = queue.classes.into_iter().flatten().collect();
        for request in &requests {
            self.discount(request);
        }
        requests
    }

    /// Takes everything out.
    pub fn drain(&mut self) -> Vec<QueuedRequest> {
        self.counts = [0; 3];
        self.tokens = [0; 3];
        let queues = self.adapters.drain();
        queues
            .flat_map(|(_, queue)| queue.classes.into_iter().flatten())
            .collect()
    }

    /// Takes out what can no longer be answered in time.
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

    /// The queue of an adapter.
    #[must_use]
    pub fn adapter(&self, model: &AdapterVersion) -> Option<&AdapterQueue> {
        self.adapters.get(model)
    }

    /// Adapters with waiting requests.
    pub fn iter(&self) -> impl Iterator<Item = (&AdapterVersion, &AdapterQueue)> {
        self.adapters.iter()
    }

    /// Number that wait, by class.
    #[must_use]
    pub fn counts(&self) -> [usize; 3] {
        self.counts
    }

    /// Output tokens that wait, by class.
    #[must_use]
    pub fn tokens(&self) -> [u64; 3] {
        self.tokens
    }

    /// Number that wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.counts.iter().sum()
    }

    /// Whether nothing waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn discount(&mut self, request: &QueuedRequest) {
        let class = request.class.index();
        self.counts[class] -= 1;
        self.tokens[class] -= u64::from(request.output_tokens);
    }
}
