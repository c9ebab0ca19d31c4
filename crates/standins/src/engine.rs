//! A model engine: adapter slots, continuous batching, prefill, a prefix cache and priorities.
//!
//! The text of an answer depends on the model and the prompt only, so answers can be compared byte for byte. Each
//! broken promise is refused where an engine would refuse it, and always recorded.

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

/// Ended streams that can still be asked for.
const KEPT_STREAMS: usize = 4096;

/// Sizes and speeds of an engine.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EngineModel {
    /// Adapter slots.
    pub slots: usize,
    /// Sequences in a full batch.
    pub batch: usize,
    /// Time of an empty step, in microseconds.
    pub step_us: u64,
    /// Time that each sequence adds to a step, in microseconds.
    pub sequence_us: u64,
    /// Time that each prompt token adds to a step, in microseconds.
    pub prefill_us: u64,
    /// Prompt tokens that the prefix cache holds.
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

/// Faults of an engine.
#[derive(Clone, Debug, Default)]
pub struct EngineFaults {
    /// Loads that fail.
    pub fail_loads: usize,
    /// Orders whose answer is lost after they took effect.
    pub lost_order_responses: usize,
    /// Streams that break off after a few tokens.
    pub break_streams: usize,
    /// Time by which answers to orders are late.
    pub order_delay: Duration,
    /// Answers that name another adapter than the one asked for.
    pub wrong_model_responses: usize,
    /// Answers that are no events at all.
    pub malformed_responses: usize,
    /// Whether the load report stands still.
    pub freeze_report: bool,
    /// Whether it says that it is about to leave.
    pub leaving: bool,
}

/// What an engine saw.
#[derive(Clone, Debug, Default, Serialize)]
pub struct EngineStats {
    /// Broken promises.
    pub violations: Vec<String>,
    /// Requests that ran.
    pub ran: u64,
    /// Requests refused because their adapter was not loaded.
    pub refused_not_loaded: u64,
    /// Orders refused for an old fencing token.
    pub refused_stale: u64,
    /// Loads that ended well.
    pub loads: u64,
    /// Unloads.
    pub unloads: u64,
    /// Steps with at least one sequence.
    pub steps: u64,
    /// Sequences in all those steps.
    pub step_sequences: u64,
    /// Requests cancelled.
    pub cancelled: u64,
    /// Streams asked for again.
    pub resumed: u64,
}

/// One stream of tokens, kept so that it can be asked for again.
#[derive(Debug, Default)]
struct StreamBuffer {
    tokens: Vec<String>,
    done: bool,
    broken: bool,
}

#[derive(Debug)]
struct StreamHandle {
    buffer: Mutex<StreamBuffer>,
    grown: Notify,
    model: String,
}

/// A sequence in the batch.
#[derive(Debug)]
struct Sequence {
    id: String,
    model: String,
    prompt: String,
    wanted: usize,
    made: usize,
    prefill_left: usize,
    priority: u8,
    arrived: u64,
    stream: Arc<StreamHandle>,
}

#[derive(Default)]
struct EngineState {
    boot: u64,
    model: EngineModel,
    checks_fencing: bool,
    token: u64,
    residents: BTreeMap<String, ()>,
    loading: HashSet<String>,
    running: Vec<Sequence>,
    waiting: VecDeque<Sequence>,
    streams: HashMap<String, Arc<StreamHandle>>,
    stream_order: VecDeque<String>,
    seen: HashSet<String>,
    prefixes: VecDeque<(String, usize)>,
    faults: EngineFaults,
    stats: EngineStats,
    report: Option<serde_json::Value>,
    arrivals: u64,
}

struct SharedEngine {
    state: Mutex<EngineState>,
    work: Notify,
    store: Arc<WeightStore>,
}

impl SharedEngine {
    fn lock(&self) -> MutexGuard<'_, EngineState> {
        self.state.lock().expect("no holder of the lock panics")
    }
}

impl EngineState {
    fn in_flight(&self, model: &str) -> usize {
        let sequences = self.running.iter().chain(&self.waiting);
        sequences.filter(|sequence| sequence.model == model).count()
    }

    fn keep_stream(&mut self, id: &str, stream: &Arc<StreamHandle>) {
        self.streams.insert(id.to_owned(), Arc::clone(stream));
        self.stream_order.push_back(id.to_owned());
        if self.stream_order.len() > KEPT_STREAMS
            && let Some(oldest) = self.stream_order.pop_front()
        {
            self.streams.remove(&oldest);
        }
    }
}

/// A running engine.
pub struct EngineStandin {
    server: RunningServer,
    shared: Arc<SharedEngine>,
    stepper: JoinHandle<()>,
}

impl EngineStandin {
    /// Starts an engine that loads from `store`.
    ///
    /// # Errors
    /// Returns the error of the system when no port can be had.
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
            work: Notify::new(),
            store,
        });
        let server = RunningServer::start(http::routes(Arc::clone(&shared))).await?;
        let stepper = tokio::spawn(steps::run(Arc::clone(&shared)));
        Ok(Self {
            server,
            shared,
            stepper,
        })
    }

    /// Its address, `IP:port`.
    #[must_use]
    pub fn address(&self) -> String {
        self.server.address.to_string()
    }

    /// Changes the faults.
    pub fn set_faults(&self, change: impl FnOnce(&mut EngineFaults)) {
        change(&mut self.shared.lock().faults);
    }

    /// What it saw.
    #[must_use]
    pub fn stats(&self) -> EngineStats {
        self.shared.lock().stats.clone()
    }

    /// Adapters that are loaded.
    #[must_use]
    pub fn loaded(&self) -> Vec<String> {
        self.shared.lock().residents.keys().cloned().collect()
    }

    /// Requests that run or wait in it.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        let state = self.shared.lock();
        state.running.len() + state.waiting.len()
    }

    /// Restarts it: nothing is loaded, nothing runs, every stream is gone.
    pub fn restart(&self) {
        let mut state = self.shared.lock();
        state.boot += 1;
        state.token = 0;
        state.residents.clear();
        state.loading.clear();
        state.running.clear();
        state.waiting.clear();
        state.prefixes.clear();
        state.stream_order.clear();
        state.seen.clear();
        for (_, stream) in state.streams.drain() {
            break_stream(&stream);
        }
    }
}

fn break_stream(stream: &StreamHandle) {
    let mut buffer = stream.buffer.lock().expect("no holder of the lock panics");
    if !buffer.done {
        buffer.broken = true;
    }
    stream.grown.notify_waiters();
}

impl Drop for EngineStandin {
    fn drop(&mut self) {
        self.stepper.abort();
    }
}

/// The answer of a model to a prompt; the stand-in's notion of the truth.
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
