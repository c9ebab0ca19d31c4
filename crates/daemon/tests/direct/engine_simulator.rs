//! Engines that keep what they read of prompts and take parts from each other, whatever version made them.
//!
//! A yard holds the engines of a site, what each of them runs, and every run that used memory of another version.
//! Engines serve one base model, each with the weights that it started with; memory is made by both the base model and
//! the adapter. What is due at an engine (a load, an order that is carried out late) happens when somebody looks at the
//! yard next, which a task of the yard does all the time.

use crate::support::{chunk, seal_headers, stream_event};
use hoplanding_standins::{
    kept_memory::{MemoryMismatch, MemoryNet, ReadPrompt},
    raw_target::{RawAnswer, RawRequest, RawTarget},
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

/// Time to read a token; engines of the users read some 25 in a millisecond.
const READ_TOKEN: Duration = Duration::from_micros(40);
/// Time to take parts from another engine, by the users' sheets.
const TAKE_PARTS: Duration = Duration::from_millis(20);
/// Time between two tokens of an answer; one of 200 tokens keeps its copy in use for four seconds.
const TOKEN_PAUSE: Duration = Duration::from_millis(20);
/// Time that a copy takes to come; one that an engine had lately takes the users' engines 25 ms.
const COPY_LOAD: Duration = Duration::from_millis(20);
/// The same where copies come slowly; a report tells of it in this time.
const SLOW_LOAD: Duration = Duration::from_millis(600);
/// Time after which an order without an answer is carried out; nobody waits so long for an answer or a report.
const LATE_BY: Duration = Duration::from_secs(1);
/// Age of what a report tells; the users' pages speak of some hundred milliseconds.
const REPORT_AGE: Duration = Duration::from_millis(150);
/// Pause between two looks at the yard; a small part of the spans above.
const SETTLE_INTERVAL: Duration = Duration::from_millis(10);

/// What a version of the base model counts in the mark of memory; the adapter's version is added.
const BASE_MARK: u64 = 1_000;

/// A run at an engine.
#[derive(Clone, Debug)]
pub struct PromptRun {
    /// Its request.
    pub id: String,
    /// The engine.
    pub engine: String,
    /// Version of the base model that it runs under; its answer tells this one.
    pub base: u64,
    /// Version of the adapter that it runs under.
    pub version: u64,
    /// Version of the adapter that it was asked for.
    pub expected: Option<u64>,
    /// The engine that it took parts from.
    pub source: Option<SocketAddr>,
}

/// The engines of a site.
#[derive(Default)]
pub struct EngineSimulator {
    net: MemoryNet,
    state: Mutex<SimulatorState>,
}

#[derive(Default)]
struct SimulatorState {
    newest: u64,
    desks: BTreeMap<String, SimulatedEngine>,
    runs: Vec<PromptRun>,
    mismatches: Vec<MemoryMismatch>,
    /// Orders that are yet to be left without an answer.
    to_silence: usize,
    /// Orders that were carried out late.
    delayed_orders_done: usize,
    /// Requests that are yet to be turned away.
    to_turn_away: usize,
    /// Requests that came for another version than the engine's.
    misdirected_requests: usize,
}

struct SimulatedEngine {
    address: SocketAddr,
    /// Version of its base model.
    base: u64,
    sequence: u64,
    token: u64,
    copies: BTreeMap<String, AdapterCopy>,
    /// Orders that were left without an answer, and when they are carried out.
    late: Vec<(Instant, WireOrder)>,
    /// Whether copies come slowly, and one that is being replaced is told as held and as on its way.
    replaces_slowly: bool,
    /// What it held, and since when: what its reports tell now, and what they will.
    told: VecDeque<(Instant, String)>,
    /// When it will have read the prompts that it has.
    read_until: Instant,
}

/// An adapter at an engine.
struct AdapterCopy {
    /// Its version; none until it has come.
    version: Option<u64>,
    change: Option<CopyChange>,
    /// When its runs will have ended.
    busy_until: Instant,
    /// Parts kept for it, whoever made them.
    kept: HashMap<u64, u32>,
}

/// What becomes of a copy.
#[derive(Clone, Copy)]
struct CopyChange {
    /// Its next version; none where it goes.
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
}

impl AdapterCopy {
    fn new(version: Option<u64>, now: Instant) -> Self {
        Self {
            version,
            change: None,
            busy_until: now,
            kept: HashMap::new(),
        }
    }
}

impl EngineSimulator {
    /// A yard whose store has a version as the newest.
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
        let desk = SimulatedEngine {
            address: target.address,
            base,
            sequence: 0,
            token: 0,
            copies: copies.collect(),
            late: Vec::new(),
            replaces_slowly: false,
            told: VecDeque::new(),
            read_until: now,
        };
        self.lock().desks.insert(name.to_owned(), desk);
        target
    }

    /// The store has a new version from now on.
    pub fn set_newest(&self, version: u64) {
        self.lock().newest = version;
    }

    /// Leaves the next load order without an answer, and carries it out late. Its engine tells no report until then, so
    /// that nobody gives the order again.
    pub fn delay_next_order(&self) {
        self.lock().to_silence += 1;
    }

    /// Turns the next request away.
    pub fn reject_next_request(&self) {
        self.lock().to_turn_away += 1;
    }

    /// From now on copies come slowly, and reports tell one that is being replaced twice: as held, and as on its way.
    pub fn use_slow_loads(&self) {
        for desk in self.lock().desks.values_mut() {
            desk.replaces_slowly = true;
        }
    }

    /// Requests that came for another version than the engine's.
    pub fn misdirected_requests(&self) -> usize {
        self.lock().misdirected_requests
    }

    /// Whether an order waits to be carried out late.
    pub fn has_delayed_order(&self) -> bool {
        let state = self.settled();
        state.desks.values().any(|desk| !desk.late.is_empty())
    }

    /// Orders that were carried out late.
    pub fn delayed_orders_done(&self) -> usize {
        self.settled().delayed_orders_done
    }

    /// Version of an adapter at an engine.
    pub fn version(&self, engine: &str, adapter: &str) -> Option<u64> {
        let state = self.settled();
        state.desks.get(engine)?.copies.get(adapter)?.version
    }

    /// The runs so far, in order.
    pub fn runs(&self) -> Vec<PromptRun> {
        self.lock().runs.clone()
    }

    /// Runs that used memory of another version.
    pub fn mismatches(&self) -> Vec<MemoryMismatch> {
        self.lock().mismatches.clone()
    }

    fn lock(&self) -> MutexGuard<'_, SimulatorState> {
        self.state.lock().expect("no holder of the lock panics")
    }

    /// The yard as it stands now.
    fn settled(&self) -> MutexGuard<'_, SimulatorState> {
        let mut state = self.lock();
        let now = Instant::now();
        let SimulatorState {
            newest,
            desks,
            delayed_orders_done,
            ..
        } = &mut *state;
        for desk in desks.values_mut() {
            let (due, waiting) = desk.late.drain(..).partition(|(at, _)| *at <= now);
            desk.late = waiting;
            for (at, order) in due {
                desk.change_copies(&self.net, at);
                *delayed_orders_done += usize::from(desk.take_order(&order, *newest, at) == 202);
            }
            desk.change_copies(&self.net, now);
            desk.note_report(now);
        }
        state
    }

    fn answer(&self, name: &str, request: &RawRequest) -> RawAnswer {
        let mut state = self.settled();
        let is_meant = request
            .header("hoplanding-expect-instance")
            .is_none_or(|meant| meant == name);
        if !is_meant {
            return turned_away(request, "421 Misdirected Request");
        }
        if request.line().starts_with("GET /hoplanding/report") {
            return state.desks[name].report();
        }
        if request.line().starts_with("POST /hoplanding/order") {
            return state.order(name, request);
        }
        match state.run(name, request, &self.net) {
            Ok(answer) => answer,
            Err(status) => turned_away(request, status),
        }
    }
}

impl SimulatorState {
    fn order(&mut self, name: &str, request: &RawRequest) -> RawAnswer {
        let order: WireOrder = serde_json::from_slice(&request.body).expect("an order");
        let now = Instant::now();
        let newest = self.newest;
        let desk = self.desks.get_mut(name).expect("it is in the yard");
        if self.to_silence > 0 && order.operation == "load" {
            self.to_silence -= 1;
            desk.late.push((now + LATE_BY, order));
            return no_answer();
        }
        let status = match desk.take_order(&order, newest, now) {
            200 => "200 OK",
            202 => "202 Accepted",
            409 => "409 Conflict",
            412 => "412 Precondition Failed",
            _ => "400 Bad Request",
        };
        RawAnswer::whole(status, "", "")
    }

    fn run(
        &mut self,
        name: &str,
        request: &RawRequest,
        net: &MemoryNet,
    ) -> Result<RawAnswer, &'static str> {
        if self.to_turn_away > 0 {
            self.to_turn_away -= 1;
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
            .and_then(|source| self.desks.values().find(|desk| desk.address == source))
            .and_then(|desk| Some(desk.copies.get(adapter)?.kept.clone()))
            .unwrap_or_default();
        let desk = self.desks.get_mut(name).expect("it is in the yard");
        let copy = desk.copies.get_mut(adapter);
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
        let read = ReadPrompt {
            adapter,
            version: desk.base * BASE_MARK + version,
            parts: &parts,
            source,
        };
        self.mismatches.extend(net.read(desk.address, &read));
        let now = Instant::now();
        let took = reading_time(&prompt, &copy.kept, &lent);
        copy.kept.extend(prompt);
        desk.read_until = desk.read_until.max(now) + took;
        let tokens = most_output(request);
        let end = desk.read_until + TOKEN_PAUSE * tokens;
        copy.busy_until = copy.busy_until.max(end);
        self.runs.push(PromptRun {
            id: request
                .header("hoplanding-request-id")
                .unwrap_or_default()
                .to_owned(),
            engine: name.to_owned(),
            base: desk.base,
            version,
            expected,
            source,
        });
        Ok(events(request, desk.base, desk.read_until - now, tokens))
    }
}

impl SimulatorState {
    /// Runs a request for the base model itself.
    fn run_base(
        &mut self,
        name: &str,
        request: &RawRequest,
        expected: Option<u64>,
    ) -> Result<RawAnswer, &'static str> {
        let version = self.desks[name].base;
        if expected.is_some_and(|expected| expected != version) {
            self.misdirected_requests += 1;
            return Err("421 Misdirected Request");
        }
        let took = READ_TOKEN * prompt_parts(request).iter().map(|(_, tokens)| tokens).sum();
        Ok(events(request, version, took, most_output(request)))
    }
}

impl SimulatedEngine {
    /// Takes an order; returns the status of its answer.
    fn take_order(&mut self, order: &WireOrder, newest: u64, now: Instant) -> u16 {
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
        let takes = match (is_load, self.replaces_slowly) {
            (true, true) => SLOW_LOAD,
            (true, false) => COPY_LOAD,
            (false, _) => Duration::ZERO,
        };
        let at = copy.busy_until.max(now) + takes;
        copy.change = Some(CopyChange { to, at });
        if is_load || at > now { 202 } else { 200 }
    }

    /// Notes what it tells from now on. A copy that is being replaced is one on its way.
    fn note_report(&mut self, now: Instant) {
        let held = self.copies.iter().filter_map(|(adapter, copy)| {
            let version = copy
                .version
                .filter(|_| self.replaces_slowly || copy.change.is_none())?;
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
        if self.told.back().is_none_or(|(_, told)| *told != report) {
            self.told.push_back((now, report));
        }
        while self
            .told
            .get(1)
            .is_some_and(|(since, _)| now - *since > REPORT_AGE)
        {
            self.told.pop_front();
        }
    }

    fn report(&self) -> RawAnswer {
        match self.told.front() {
            Some((_, report)) if self.late.is_empty() => RawAnswer::whole("200 OK", "", report),
            _ => no_answer(),
        }
    }

    /// Carries out the changes that are due; what was kept for such a copy is dropped.
    fn change_copies(&mut self, net: &MemoryNet, now: Instant) {
        let address = self.address;
        self.copies.retain(|adapter, copy| {
            let Some(change) = copy.change.filter(|change| change.at <= now) else {
                return true;
            };
            net.drop_adapter(address, adapter);
            copy.kept.clear();
            copy.change = None;
            copy.version = change.to;
            copy.version.is_some()
        });
    }
}

/// Silence.
fn no_answer() -> RawAnswer {
    RawAnswer {
        pieces: vec![(LATE_BY, Vec::new())],
        closes: true,
    }
}

fn turned_away(request: &RawRequest, status: &str) -> RawAnswer {
    let headers = format!("{}Hoplanding-Not-Executed: 1\r\n", seal_headers(request));
    RawAnswer::whole(status, &headers, "")
}

fn number(request: &RawRequest, name: &str) -> Option<u64> {
    request.header(name)?.parse().ok()
}

/// Parts of a prompt and their tokens.
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

/// Time until a prompt is read: what the engine has kept costs nothing, what another one lends the way.
fn reading_time(
    prompt: &[(u64, u32)],
    kept: &HashMap<u64, u32>,
    lent: &HashMap<u64, u32>,
) -> Duration {
    let found = prompt
        .iter()
        .take_while(|(part, _)| kept.contains_key(part) || lent.contains_key(part));
    let is_lent = found.clone().any(|(part, _)| !kept.contains_key(part));
    let found: u32 = found.map(|(_, tokens)| tokens).sum();
    let all: u32 = prompt.iter().map(|(_, tokens)| tokens).sum();
    READ_TOKEN * (all - found) + if is_lent { TAKE_PARTS } else { Duration::ZERO }
}

/// A stream of events whose first one comes when the prompt is read. Its head tells the version of the base model.
fn events(request: &RawRequest, base: u64, read: Duration, tokens: u32) -> RawAnswer {
    let headers = seal_headers(request);
    let head = format!(
        "HTTP/1.1 200 OK\r\n{headers}Hoplanding-Weight-Versions: {base}\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    let mut pieces = vec![(read, head.into_bytes())];
    pieces.push((Duration::ZERO, chunk(&stream_event(1))));
    pieces.extend((2..=tokens).map(|id| (TOKEN_PAUSE, chunk(&stream_event(id)))));
    pieces.push((Duration::ZERO, b"0\r\n\r\n".to_vec()));
    RawAnswer {
        pieces,
        closes: false,
    }
}
