//! Simulated engines that cache the parts of prompts that they have read, and fetch parts from each other without checking which
//! version computed them.
//!
//! The simulator holds the engines of a site, their runs, and every run that used a cache computed by another version. Engines serve
//! one base model, each with the weights that it started with; a cache depends on the versions of both base model and adapter. Due
//! changes at an engine, such as a load or a delayed order, are applied when the simulator's state is accessed next; a background
//! task accesses it at a short interval.

use crate::support::{chunk, seal_headers, stream_event};
use hoplanding_standins::{
    prompt_cache::{CacheMismatch, PromptCaches, ReceivedPrompt},
    raw_target::{RawRequest, RawResponse, RawTarget},
};
use serde::Deserialize;
use serde_json::json;
use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};
use tokio::time::sleep;

/// Time to read a token of a prompt; real engines read about 25 in a millisecond.
const READ_TIME_PER_TOKEN: Duration = Duration::from_micros(40);
/// Time to fetch cached parts from another engine, as for real engines.
const FETCH_TIME: Duration = Duration::from_millis(20);
/// Time between two tokens of an answer; one of 200 tokens keeps its adapter in use for four seconds.
const TIME_PER_OUTPUT_TOKEN: Duration = Duration::from_millis(20);
/// Time to load an adapter; real engines take 25 ms for one that they had recently.
const LOAD_TIME: Duration = Duration::from_millis(20);
/// Time of a slow load, long enough that a report shows the adapter as being loaded.
const SLOW_LOAD_TIME: Duration = Duration::from_millis(600);
/// Delay of an order that gets no answer; longer than the holder waits for an answer or a report.
const ORDER_DELAY: Duration = Duration::from_secs(1);
/// Age of the state that a report shows; reports of real engines are some hundred milliseconds old.
const REPORT_AGE: Duration = Duration::from_millis(150);
/// Interval at which the background task applies due changes; a small part of the times above.
const SETTLE_INTERVAL: Duration = Duration::from_millis(10);

/// Factor of the base model's version in the version of a cache; the adapter's version is added to the product.
const BASE_VERSION_FACTOR: u64 = 1_000;

/// A request that an engine ran.
#[derive(Clone, Debug)]
pub struct PromptRun {
    /// Id of the request.
    pub id: String,
    /// Name of the engine.
    pub engine: String,
    /// Version of the base model used, which the answer states.
    pub base: u64,
    /// Version of the adapter used.
    pub version: u64,
    /// Version of the adapter that the request named.
    pub expected: Option<u64>,
    /// Address of the engine from which cached parts were fetched.
    pub source: Option<SocketAddr>,
}

/// The simulated engines of a site.
#[derive(Default)]
pub struct EngineSimulator {
    net: PromptCaches,
    state: Mutex<SimulatorState>,
}

#[derive(Default)]
struct SimulatorState {
    newest: u64,
    engines: BTreeMap<String, SimulatedEngine>,
    runs: Vec<PromptRun>,
    mismatches: Vec<CacheMismatch>,
    /// Number of load orders still to be delayed.
    orders_to_delay: usize,
    /// Number of delayed orders that were applied.
    delayed_orders_done: usize,
    /// VMs that sent orders, one entry each order.
    order_holders: Vec<String>,
    /// Number of requests still to be rejected.
    requests_to_reject: usize,
    /// Number of requests for a version that the engine did not have.
    misdirected_requests: usize,
}

struct SimulatedEngine {
    address: SocketAddr,
    /// Version of the base model.
    base: u64,
    sequence: u64,
    token: u64,
    copies: BTreeMap<String, AdapterCopy>,
    /// Delayed orders, which got no answer, and when they are applied.
    delayed_orders: Vec<(Instant, WireOrder)>,
    /// Whether loads are slow, and reports show an adapter that is being replaced both as held and as being loaded.
    has_slow_loads: bool,
    /// Past states, and since when they held: the one that reports show now, and the later ones.
    report_history: VecDeque<(Instant, String)>,
    /// When the engine will have read all prompts sent to it.
    read_until: Instant,
}

/// An adapter at an engine.
struct AdapterCopy {
    /// Version of the adapter; `None` until the first load is done.
    version: Option<u64>,
    change: Option<CopyChange>,
    /// When all of its runs will have ended.
    busy_until: Instant,
    /// Cached prompt parts and their tokens, whichever version computed them.
    cached_parts: HashMap<u64, u32>,
}

/// A pending load or unload of an adapter.
#[derive(Clone, Copy)]
struct CopyChange {
    /// Version after the change; `None` for an unload.
    to: Option<u64>,
    at: Instant,
}

#[derive(Clone, Deserialize)]
struct WireOrder {
    operation: String,
    model: String,
    adapter: Option<String>,
    version: Option<u64>,
    expected: Option<u64>,
    fencing_token: u64,
    holder: String,
}

impl AdapterCopy {
    fn new(version: Option<u64>, now: Instant) -> Self {
        Self {
            version,
            change: None,
            busy_until: now,
            cached_parts: HashMap::new(),
        }
    }
}

impl EngineSimulator {
    /// A simulator whose weight store has this version as the newest.
    pub fn new(newest: u64) -> Arc<Self> {
        let simulator = Arc::new(Self::default());
        simulator.lock().newest = newest;
        let watched = Arc::downgrade(&simulator);
        tokio::spawn(async move {
            while let Some(simulator) = watched.upgrade() {
                drop(simulator.settled());
                drop(simulator);
                sleep(SETTLE_INTERVAL).await;
            }
        });
        simulator
    }

    /// Starts an engine with a version of the base model and these adapters, by name and version.
    pub async fn start_engine(
        self: &Arc<Self>,
        name: &'static str,
        base: u64,
        held: &[(&str, u64)],
    ) -> RawTarget {
        let simulator = Arc::clone(self);
        let target = RawTarget::start(move |request| simulator.answer(name, request))
            .await
            .expect("an engine");
        let now = Instant::now();
        let copies = held.iter().map(|(adapter, version)| {
            let copy = AdapterCopy::new(Some(*version), now);
            ((*adapter).to_owned(), copy)
        });
        let engine = SimulatedEngine {
            address: target.address,
            base,
            sequence: 0,
            token: 0,
            copies: copies.collect(),
            delayed_orders: Vec::new(),
            has_slow_loads: false,
            report_history: VecDeque::new(),
            read_until: now,
        };
        self.lock().engines.insert(name.to_owned(), engine);
        target
    }

    /// Sets the newest version in the weight store.
    pub fn set_newest(&self, version: u64) {
        self.lock().newest = version;
    }

    /// Leaves the next load order without an answer, and applies it after a delay. The engine sends no report until then, so that
    /// the order is not retried.
    pub fn delay_next_order(&self) {
        self.lock().orders_to_delay += 1;
    }

    /// Rejects the next request with 503, as not executed.
    pub fn reject_next_request(&self) {
        self.lock().requests_to_reject += 1;
    }

    /// Makes loads slow, and reports show an adapter that is being replaced twice: as held and as being loaded.
    pub fn use_slow_loads(&self) {
        for engine in self.lock().engines.values_mut() {
            engine.has_slow_loads = true;
        }
    }

    /// Number of requests for a version that the engine did not have.
    pub fn misdirected_requests(&self) -> usize {
        self.lock().misdirected_requests
    }

    /// Whether a delayed order is pending.
    pub fn has_delayed_order(&self) -> bool {
        let state = self.settled();
        state
            .engines
            .values()
            .any(|engine| !engine.delayed_orders.is_empty())
    }

    /// Number of delayed orders that were applied.
    pub fn delayed_orders_done(&self) -> usize {
        self.settled().delayed_orders_done
    }

    /// Version of an adapter at an engine.
    pub fn version(&self, engine: &str, adapter: &str) -> Option<u64> {
        let state = self.settled();
        state.engines.get(engine)?.copies.get(adapter)?.version
    }

    /// VMs that sent orders so far, accepted or not, one entry each order.
    pub fn order_holders(&self) -> Vec<String> {
        self.lock().order_holders.clone()
    }

    /// The runs so far, in order.
    pub fn runs(&self) -> Vec<PromptRun> {
        self.lock().runs.clone()
    }

    /// Runs that used a cache computed by another version.
    pub fn mismatches(&self) -> Vec<CacheMismatch> {
        self.lock().mismatches.clone()
    }

    fn lock(&self) -> MutexGuard<'_, SimulatorState> {
        self.state
            .lock()
            .expect("no thread panics while it holds the lock")
    }

    /// Applies all due changes, and returns the current state.
    fn settled(&self) -> MutexGuard<'_, SimulatorState> {
        let mut state = self.lock();
        let now = Instant::now();
        let SimulatorState {
            newest,
            engines,
            delayed_orders_done,
            ..
        } = &mut *state;
        for engine in engines.values_mut() {
            let (due, waiting) = engine
                .delayed_orders
                .drain(..)
                .partition(|(at, _)| *at <= now);
            engine.delayed_orders = waiting;
            for (at, order) in due {
                engine.apply_changes(&self.net, at);
                *delayed_orders_done +=
                    usize::from(engine.handle_order(&order, *newest, at) == 202);
            }
            engine.apply_changes(&self.net, now);
            engine.record_report(now);
        }
        state
    }

    fn answer(&self, name: &str, request: &RawRequest) -> RawResponse {
        let mut state = self.settled();
        let is_meant = request
            .header("hoplanding-expect-instance")
            .is_none_or(|meant| meant == name);
        if !is_meant {
            return rejection(request, "421 Misdirected Request");
        }
        if request.request_line().starts_with("GET /hoplanding/report") {
            return state.engines[name].report();
        }
        if request.request_line().starts_with("POST /hoplanding/order") {
            return state.order(name, request);
        }
        match state.run(name, request, &self.net) {
            Ok(answer) => answer,
            Err(status) => rejection(request, status),
        }
    }
}

impl SimulatorState {
    fn order(&mut self, name: &str, request: &RawRequest) -> RawResponse {
        let order: WireOrder = serde_json::from_slice(&request.body).expect("an order");
        let now = Instant::now();
        let newest = self.newest;
        self.order_holders.push(order.holder.clone());
        let engine = self.engines.get_mut(name).expect("the engine is simulated");
        if self.orders_to_delay > 0 && order.operation == "load" {
            self.orders_to_delay -= 1;
            engine.delayed_orders.push((now + ORDER_DELAY, order));
            return no_answer();
        }
        let status = match engine.handle_order(&order, newest, now) {
            200 => "200 OK",
            202 => "202 Accepted",
            409 => "409 Conflict",
            412 => "412 Precondition Failed",
            _ => "400 Bad Request",
        };
        RawResponse::complete(status, "", "")
    }

    fn run(
        &mut self,
        name: &str,
        request: &RawRequest,
        net: &PromptCaches,
    ) -> Result<RawResponse, &'static str> {
        if self.requests_to_reject > 0 {
            self.requests_to_reject -= 1;
            return Err("503 Service Unavailable");
        }
        let subject = request.header("hoplanding-model").unwrap_or_default();
        let expected = number(request, "hoplanding-expect-version");
        let Some((_, adapter)) = subject.split_once('/') else {
            return self.run_base(name, request, expected);
        };
        let source = request
            .header("kv-fetch")
            .and_then(|source| source.parse().ok());
        let lent: HashMap<_, _> = source
            .and_then(|source| {
                self.engines
                    .values()
                    .find(|engine| engine.address == source)
            })
            .and_then(|engine| Some(engine.copies.get(adapter)?.cached_parts.clone()))
            .unwrap_or_default();
        let engine = self.engines.get_mut(name).expect("the engine is simulated");
        let copy = engine.copies.get_mut(adapter);
        let Some(copy) = copy.filter(|copy| copy.version.is_some()) else {
            return Err("421 Misdirected Request");
        };
        let version = copy.version.unwrap_or_default();
        if copy.change.is_some() {
            return Err("503 Service Unavailable");
        }
        if expected.is_some_and(|expected| expected != version) {
            self.misdirected_requests += 1;
            return Err("421 Misdirected Request");
        }
        let prompt = prompt_parts(request);
        let parts: Vec<_> = prompt.iter().map(|(part, _)| *part).collect();
        let read = ReceivedPrompt {
            adapter,
            version: engine.base * BASE_VERSION_FACTOR + version,
            parts: &parts,
            source,
        };
        self.mismatches
            .extend(net.process_prompt(engine.address, &read));
        let now = Instant::now();
        let took = reading_time(&prompt, &copy.cached_parts, &lent);
        copy.cached_parts.extend(prompt);
        engine.read_until = engine.read_until.max(now) + took;
        let tokens = most_output(request);
        let end = engine.read_until + TIME_PER_OUTPUT_TOKEN * tokens;
        copy.busy_until = copy.busy_until.max(end);
        self.runs.push(PromptRun {
            id: request
                .header("hoplanding-request-id")
                .unwrap_or_default()
                .to_owned(),
            engine: name.to_owned(),
            base: engine.base,
            version,
            expected,
            source,
        });
        Ok(events(
            request,
            engine.base,
            engine.read_until - now,
            tokens,
        ))
    }
}

impl SimulatorState {
    /// Runs a request for the base model itself.
    fn run_base(
        &mut self,
        name: &str,
        request: &RawRequest,
        expected: Option<u64>,
    ) -> Result<RawResponse, &'static str> {
        let version = self.engines[name].base;
        if expected.is_some_and(|expected| expected != version) {
            self.misdirected_requests += 1;
            return Err("421 Misdirected Request");
        }
        let took =
            READ_TIME_PER_TOKEN * prompt_parts(request).iter().map(|(_, tokens)| tokens).sum();
        Ok(events(request, version, took, most_output(request)))
    }
}

impl SimulatedEngine {
    /// Handles an order; returns the status of the answer.
    fn handle_order(&mut self, order: &WireOrder, newest: u64, now: Instant) -> u16 {
        let Some(adapter) = order.adapter.as_ref().filter(|_| order.model == "base") else {
            return 400;
        };
        if order.fencing_token < self.token {
            return 412;
        }
        self.token = order.fencing_token;
        let is_next = order.expected.is_none_or(|taken| taken == self.sequence);
        let copy = self.copies.get(adapter);
        if !is_next || copy.is_some_and(|copy| copy.change.is_some()) {
            return 409;
        }
        let is_load = order.operation == "load";
        let to = is_load.then(|| order.version.unwrap_or(newest));
        if copy.and_then(|copy| copy.version) == to {
            return 200;
        }
        self.sequence += 1;
        let copy = self.copies.entry(adapter.clone());
        let copy = copy.or_insert_with(|| AdapterCopy::new(None, now));
        let takes = match (is_load, self.has_slow_loads) {
            (true, true) => SLOW_LOAD_TIME,
            (true, false) => LOAD_TIME,
            (false, _) => Duration::ZERO,
        };
        let at = copy.busy_until.max(now) + takes;
        copy.change = Some(CopyChange { to, at });
        if is_load || at > now { 202 } else { 200 }
    }

    /// Adds the current state to the report history. An adapter that is being replaced is shown as being loaded.
    fn record_report(&mut self, now: Instant) {
        let held = self.copies.iter().filter_map(|(adapter, copy)| {
            let version = copy
                .version
                .filter(|_| self.has_slow_loads || copy.change.is_none())?;
            Some(format!("{adapter}@{version}"))
        });
        let coming = self.copies.iter().filter_map(|(adapter, copy)| {
            let version = copy.change?.to?;
            Some(format!("base/{adapter}@{version}"))
        });
        let active = self.copies.values().filter(|copy| copy.busy_until > now);
        let report = json!({
            "sequence": self.sequence,
            "models": [{ "name": "base", "version": self.base, "adapters": held.collect::<Vec<_>>() }],
            "coming": coming.collect::<Vec<_>>(),
            "active": active.count(),
        });
        let report = report.to_string();
        if self
            .report_history
            .back()
            .is_none_or(|(_, last)| *last != report)
        {
            self.report_history.push_back((now, report));
        }
        while self
            .report_history
            .get(1)
            .is_some_and(|(since, _)| now - *since > REPORT_AGE)
        {
            self.report_history.pop_front();
        }
    }

    fn report(&self) -> RawResponse {
        match self.report_history.front() {
            Some((_, report)) if self.delayed_orders.is_empty() => {
                RawResponse::complete("200 OK", "", report)
            }
            _ => no_answer(),
        }
    }

    /// Applies the changes that are due, and drops the cached parts of the adapters concerned.
    fn apply_changes(&mut self, net: &PromptCaches, now: Instant) {
        let address = self.address;
        self.copies.retain(|adapter, copy| {
            let Some(change) = copy.change.filter(|change| change.at <= now) else {
                return true;
            };
            net.evict_adapter(address, adapter);
            copy.cached_parts.clear();
            copy.change = None;
            copy.version = change.to;
            copy.version.is_some()
        });
    }
}

/// Closes the connection without an answer, after the holder has stopped waiting.
fn no_answer() -> RawResponse {
    RawResponse {
        pieces: vec![(ORDER_DELAY, Vec::new())],
        closes_connection: true,
    }
}

fn rejection(request: &RawRequest, status: &str) -> RawResponse {
    let headers = format!("{}Hoplanding-Not-Executed: 1\r\n", seal_headers(request));
    RawResponse::complete(status, &headers, "")
}

fn number(request: &RawRequest, name: &str) -> Option<u64> {
    request.header(name)?.parse().ok()
}

/// Parts of a prompt and their numbers of tokens.
fn prompt_parts(request: &RawRequest) -> Vec<(u64, u32)> {
    let text = request
        .header("hoplanding-prompt-prefix")
        .unwrap_or_default();
    text.split(',')
        .filter_map(|part| {
            let (id, tokens) = part.split_once(':')?;
            Some((u64::from_str_radix(id, 16).ok()?, tokens.parse().ok()?))
        })
        .collect()
}

fn most_output(request: &RawRequest) -> u32 {
    let counts = request.header("hoplanding-token-count").unwrap_or_default();
    let most = counts
        .split_once(',')
        .and_then(|(_, most)| most.parse().ok());
    most.unwrap_or(1)
}

/// Time to read a prompt. Parts in the engine's own cache cost nothing; parts fetched from another engine cost one fetch in all.
fn reading_time(
    prompt: &[(u64, u32)],
    cached: &HashMap<u64, u32>,
    lent: &HashMap<u64, u32>,
) -> Duration {
    let found = prompt
        .iter()
        .take_while(|(part, _)| cached.contains_key(part) || lent.contains_key(part));
    let is_lent = found.clone().any(|(part, _)| !cached.contains_key(part));
    let found: u32 = found.map(|(_, tokens)| tokens).sum();
    let all: u32 = prompt.iter().map(|(_, tokens)| tokens).sum();
    READ_TIME_PER_TOKEN * (all - found) + if is_lent { FETCH_TIME } else { Duration::ZERO }
}

/// A stream whose first event is sent when the prompt has been read. Its head states the version of the base model.
fn events(request: &RawRequest, base: u64, read: Duration, tokens: u32) -> RawResponse {
    let headers = seal_headers(request);
    let head = format!(
        "HTTP/1.1 200 OK\r\n{headers}Hoplanding-Weight-Versions: {base}\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    let mut pieces = vec![(read, head.into_bytes())];
    pieces.push((Duration::ZERO, chunk(&stream_event(1))));
    pieces.extend((2..=tokens).map(|id| (TIME_PER_OUTPUT_TOKEN, chunk(&stream_event(id)))));
    pieces.push((Duration::ZERO, b"0\r\n\r\n".to_vec()));
    RawResponse {
        pieces,
        closes_connection: false,
    }
}
