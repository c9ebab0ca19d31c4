//! Simulated model engine: adapter slots, continuous batching, prefill, a prefix cache and priorities.
//!
//! The generated text depends only on the model, the prompt and the number of tokens, so a test can compare a
//! response byte for byte with [`expected_completion`]. Requests that break the engine's protocol (a request id sent
//! twice, an unload of an adapter that still serves requests) are refused with an HTTP error, as a real engine does,
//! and recorded as violations in [`EngineStats`]. The HTTP interface is in `http`, the batch scheduler in `steps`.

mod http;
mod steps;

use crate::{RunningServer, weights::WeightStore};
use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, HashMap, HashSet, VecDeque},
    io,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};
use tokio::{sync::Notify, task::JoinHandle};

/// Streams, running or ended, that a client can resume; the oldest are evicted first.
const MAX_RETAINED_STREAMS: usize = 4096;

/// Capacity and timing of a simulated engine.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EngineModel {
    /// Adapters that can be loaded at once.
    pub slots: usize,
    /// Maximum number of sequences in a batch.
    pub batch: usize,
    /// Fixed time of each step, in microseconds.
    pub step_us: u64,
    /// Time added to a step by each sequence in the batch, in microseconds.
    pub sequence_us: u64,
    /// Time added to a step by each prompt token that it prefills, in microseconds.
    pub prefill_us: u64,
    /// Capacity of the prefix cache, in prompt tokens.
    pub cache_tokens: usize,
}

impl Default for EngineModel {
    fn default() -> Self {
        Self {
            slots: 3,
            batch: 16,
            step_us: 4000,
            sequence_us: 200,
            prefill_us: 10,
            cache_tokens: 4096,
        }
    }
}

/// Faults to inject into an engine. Counters are decremented by each request or order that they affect.
#[derive(Clone, Debug, Default)]
pub struct EngineFaults {
    /// Number of loads still to fail, with status 503.
    pub fail_loads: usize,
    /// Number of orders still to be processed whose response is lost: the client waits 30 s for it.
    pub lost_order_responses: usize,
    /// Number of streams still to break off after three tokens.
    pub break_streams: usize,
    /// Delay of each response to an order, after the order was processed.
    pub order_delay: Duration,
    /// Number of streams still to name another adapter than the requested one.
    pub wrong_model_responses: usize,
    /// Number of completions still to be answered with plain text instead of an event stream.
    pub malformed_responses: usize,
    /// Whether the load report keeps its last contents instead of following the engine.
    pub freeze_report: bool,
    /// Whether the adapter list announces that the engine is about to leave.
    pub leaving: bool,
}

/// Counters and protocol violations that an engine recorded.
#[derive(Clone, Debug, Default, Serialize)]
pub struct EngineStats {
    /// Protocol violations, one description each.
    pub violations: Vec<String>,
    /// Requests that were accepted to run.
    pub ran: u64,
    /// Requests refused because their adapter was not loaded.
    pub refused_not_loaded: u64,
    /// Requests and orders refused because of a stale fencing token.
    pub refused_stale: u64,
    /// Adapter loads that succeeded.
    pub loads: u64,
    /// Adapters that were unloaded.
    pub unloads: u64,
    /// Batch steps with at least one sequence.
    pub steps: u64,
    /// Sum of the batch sizes of these steps.
    pub step_sequences: u64,
    /// Requests that were cancelled while running or waiting.
    pub cancelled: u64,
    /// Attempts to resume a stream.
    pub resumed: u64,
}

/// Tokens of one stream, retained so that a client can resume it.
#[derive(Debug, Default)]
struct StreamBuffer {
    tokens: Vec<String>,
    done: bool,
    broken: bool,
}

#[derive(Debug)]
struct StreamHandle {
    buffer: Mutex<StreamBuffer>,
    changed: Notify,
    model: String,
}

/// A request that runs in the batch or waits for it.
#[derive(Debug)]
struct Sequence {
    id: String,
    model: String,
    prompt: String,
    max_tokens: usize,
    generated_tokens: usize,
    remaining_prefill: usize,
    priority: u8,
    arrival: u64,
    stream: Arc<StreamHandle>,
}

#[derive(Default)]
struct EngineState {
    /// Incremented by each restart; sent in the `x-engine-boot` header.
    boot: u64,
    model: EngineModel,
    checks_fencing: bool,
    /// Highest fencing token received.
    token: u64,
    loaded_adapters: BTreeMap<String, ()>,
    loading: HashSet<String>,
    running: Vec<Sequence>,
    waiting: VecDeque<Sequence>,
    /// Retained streams by request id.
    streams: HashMap<String, Arc<StreamHandle>>,
    /// Request ids of `streams`, oldest first, for eviction.
    stream_order: VecDeque<String>,
    seen_request_ids: HashSet<String>,
    /// Cached prompt prefixes with their sizes in tokens, least recently used first.
    cached_prefixes: VecDeque<(String, usize)>,
    faults: EngineFaults,
    stats: EngineStats,
    /// Last load report, returned again while `freeze_report` is set.
    report: Option<serde_json::Value>,
    arrivals: u64,
}

struct SharedEngine {
    state: Mutex<EngineState>,
    work_available: Notify,
    store: Arc<WeightStore>,
}

impl SharedEngine {
    fn lock(&self) -> MutexGuard<'_, EngineState> {
        self.state
            .lock()
            .expect("no thread panics while it holds the lock")
    }
}

impl EngineState {
    fn in_flight(&self, model: &str) -> usize {
        let sequences = self.running.iter().chain(&self.waiting);
        sequences.filter(|sequence| sequence.model == model).count()
    }

    fn retain_stream(&mut self, id: &str, stream: &Arc<StreamHandle>) {
        self.streams.insert(id.to_owned(), Arc::clone(stream));
        self.stream_order.push_back(id.to_owned());
        if self.stream_order.len() > MAX_RETAINED_STREAMS
            && let Some(oldest) = self.stream_order.pop_front()
        {
            self.streams.remove(&oldest);
        }
    }
}

/// A simulated engine that serves HTTP on loopback; it stops when dropped.
pub struct EngineStandin {
    server: RunningServer,
    shared: Arc<SharedEngine>,
    step_task: JoinHandle<()>,
}

impl EngineStandin {
    /// Starts an engine that fetches adapter weights from `store`.
    ///
    /// # Errors
    /// Returns the I/O error if no loopback port can be bound.
    pub async fn start(
        model: EngineModel,
        checks_fencing: bool,
        store: Arc<WeightStore>,
    ) -> io::Result<Self> {
        let state = EngineState {
            boot: 1,
            model,
            checks_fencing,
            ..EngineState::default()
        };
        let shared = Arc::new(SharedEngine {
            state: Mutex::new(state),
            work_available: Notify::new(),
            store,
        });
        let server = RunningServer::start(http::routes(Arc::clone(&shared))).await?;
        let step_task = tokio::spawn(steps::run(Arc::clone(&shared)));
        Ok(Self {
            server,
            shared,
            step_task,
        })
    }

    /// Listening address, `IP:port`.
    #[must_use]
    pub fn address(&self) -> String {
        self.server.address.to_string()
    }

    /// Edits the injected faults in place.
    pub fn set_faults(&self, change: impl FnOnce(&mut EngineFaults)) {
        change(&mut self.shared.lock().faults);
    }

    /// Returns a copy of the counters and violations so far.
    #[must_use]
    pub fn stats(&self) -> EngineStats {
        self.shared.lock().stats.clone()
    }

    /// Names of the loaded adapters, sorted.
    #[must_use]
    pub fn loaded(&self) -> Vec<String> {
        self.shared.lock().loaded_adapters.keys().cloned().collect()
    }

    /// Number of requests that run or wait.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        let state = self.shared.lock();
        state.running.len() + state.waiting.len()
    }

    /// Simulates a restart of the process: drops loaded adapters, requests, streams and the fencing token.
    pub fn restart(&self) {
        let mut state = self.shared.lock();
        state.boot += 1;
        state.token = 0;
        state.loaded_adapters.clear();
        state.loading.clear();
        state.running.clear();
        state.waiting.clear();
        state.cached_prefixes.clear();
        state.stream_order.clear();
        state.seen_request_ids.clear();
        for (_, stream) in state.streams.drain() {
            break_stream(&stream);
        }
    }
}

fn break_stream(stream: &StreamHandle) {
    let mut buffer = stream
        .buffer
        .lock()
        .expect("no thread panics while it holds the lock");
    if !buffer.done {
        buffer.broken = true;
    }
    stream.changed.notify_waiters();
}

impl Drop for EngineStandin {
    fn drop(&mut self) {
        self.step_task.abort();
    }
}

/// Text that an engine generates for a prompt, as the reference for tests.
#[must_use]
pub fn expected_completion(model: &str, prompt: &str, tokens: usize) -> String {
    (0..tokens)
        .map(|index| token_text(model, prompt, index))
        .collect()
}

fn token_text(model: &str, prompt: &str, index: usize) -> String {
    if index == 0 {
        return format!("[{model}]");
    }
    let mixed = prompt.bytes().fold(index as u64 + 17, |sum, byte| {
        sum.wrapping_mul(31).wrapping_add(u64::from(byte))
    });
    format!(" {:x}", mixed % 65_536)
}
