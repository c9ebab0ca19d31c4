//! Engines and plain services that write down what reaches them.

use crate::{
    callers::FORGED,
    checks::{EVENTS, event_text, whole_body},
    history::{CallKind, SeenEntry, SharedHistory},
    prompts::{GivenPrompt, MOVE_TIME, PromptDesk, ReadingWork, decode_parts},
    shelf::{
        AdapterOrder, AdapterShelf, BASE, CopySight, FIRST_VERSION, OrderVerdict, WeightVersions,
    },
};
use hoplanding_platform::names::{
    AUTHORIZATION, EXPECT_INSTANCE, EXPECT_VERSION, KV_FETCH, LAST_EVENT, LEAVING, MODEL,
    NOT_EXECUTED, ORDER_PATH, ORGANISATION, PROMPT_PREFIX, REPORT_PATH, REQUEST_ID, RETRY_AFTER,
    SEAL, WEIGHT_VERSIONS,
};
use hoplanding_standins::{
    prompt_cache::PromptCaches,
    raw_target::{RawRequest, RawResponse, RawTarget},
};
use serde_json::{Value, json};
use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, OnceLock},
    time::Duration,
};
use tokio::time::{Instant, sleep, sleep_until};

/// Requests that a target works on at once, as it is listed.
const SLOTS: usize = 8;
/// Pause between two events.
const EVENT_PAUSE: Duration = Duration::from_millis(40);
/// Time that a plain call takes.
const PLAIN_WORK: Duration = Duration::from_millis(15);
/// Event within which a breaking target stops.
const BREAKS_AT: u32 = 5;
/// While an engine delays orders, every how many of them it leaves without an answer.
const DELAYED_EVERY: u64 = 2;
/// Times after which orders without an answer are carried out, in turn; the users tell of 12 seconds at the most.
const LATE_BY: [Duration; 4] = [
    Duration::from_millis(1_200),
    Duration::from_millis(2_500),
    Duration::from_millis(4_000),
    Duration::from_millis(7_000),
];
/// Time after which the connection of an order without an answer is closed; nobody waits as long.
const SILENCE: Duration = Duration::from_secs(3);

/// What a target serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetRole {
    /// Adapters of one base model.
    Engine,
    /// Plain calls.
    Plain,
}

/// A fault that the soak's own checks have to find; none in a real run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PlantedFault {
    /// None.
    #[default]
    None,
    /// A target writes each run down twice, as if it had run twice.
    RunsTwice,
    /// An engine writes down another adapter than it was asked for.
    WrongAdapter,
    /// A stream leaves an event out.
    DropsEvent,
    /// An engine goes on using what it kept when an adapter is replaced.
    KeepsMemory,
}

/// What the targets of a run share.
#[derive(Clone)]
pub struct TargetSite {
    /// What is seen of them.
    pub history: SharedHistory,
    /// What engines keep of prompts.
    pub memory: Arc<PromptCaches>,
    /// The newest version of the base model and of each adapter for which one was named.
    pub versions: Arc<Mutex<BTreeMap<String, u64>>>,
    /// A fault that they have.
    pub planted: PlantedFault,
}

impl TargetSite {
    /// Nothing seen, kept or named yet.
    #[must_use]
    pub fn new(history: SharedHistory, planted: PlantedFault) -> Self {
        Self {
            history,
            memory: Arc::default(),
            versions: Arc::default(),
            planted,
        }
    }

    /// Names a version of an adapter, or of the base model where that is empty.
    pub fn name_version(&self, adapter: &str, version: u64) {
        let mut versions = lock(&self.versions);
        let newest = versions.entry(adapter.to_owned()).or_default();
        *newest = version.max(*newest);
    }

    fn newest(&self, adapter: &str) -> u64 {
        let versions = lock(&self.versions);
        versions.get(adapter).copied().unwrap_or(FIRST_VERSION)
    }
}

#[derive(Debug)]
struct TargetState {
    shelf: AdapterShelf,
    prompts: PromptDesk,
    breaks: bool,
    sheds: bool,
    /// Requests seen while it sheds.
    shed_count: u64,
    /// Until when it turns every request away and asks for rest.
    rests_until: Option<Instant>,
    /// Whether its answers say that it leaves.
    says_leaving: bool,
    delays_orders: bool,
    /// Orders seen while it delays some.
    order_count: u64,
    /// What its entry said last that it holds; none once the entry goes, or says that it leaves.
    listed: Option<Value>,
}

impl TargetState {
    fn new(base: Option<u64>) -> Self {
        Self {
            shelf: AdapterShelf::new(base),
            prompts: PromptDesk::default(),
            breaks: false,
            sheds: false,
            shed_count: 0,
            rests_until: None,
            says_leaving: false,
            delays_orders: false,
            order_count: 0,
            listed: Some(Value::Null),
        }
    }
}

/// A running target.
pub struct SoakTarget {
    /// Its name, as it is listed.
    pub name: String,
    /// What it serves.
    pub role: TargetRole,
    /// Its zone.
    pub zone: String,
    server: RawTarget,
    state: Arc<Mutex<TargetState>>,
}

impl SoakTarget {
    /// Starts a target; an engine with the base model in this version, or empty.
    ///
    /// # Errors
    /// Returns the error of the system when no port can be had.
    ///
    /// # Panics
    /// Never: its address is noted once.
    pub async fn start(
        name: &str,
        role: TargetRole,
        zone: &str,
        base: Option<u64>,
        site: TargetSite,
    ) -> io::Result<Self> {
        let state = Arc::new(Mutex::new(TargetState::new(base)));
        let address = Arc::new(OnceLock::new());
        let desk = Arc::new(TargetDesk {
            name: name.to_owned(),
            address: Arc::clone(&address),
            site,
            state: Arc::clone(&state),
        });
        let server = RawTarget::start(move |request: &RawRequest| desk.answer(request)).await?;
        address.set(server.address).expect("it is set once");
        Ok(Self {
            name: name.to_owned(),
            role,
            zone: zone.to_owned(),
            server,
            state,
        })
    }

    /// Where it is reached.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Whether it breaks off what it answers from now on.
    pub fn set_breaking(&self, breaks: bool) {
        lock(&self.state).breaks = breaks;
    }

    /// Whether it turns two of three requests away from now on.
    pub fn set_shedding(&self, sheds: bool) {
        lock(&self.state).sheds = sheds;
    }

    /// It turns every request away for a while, and asks whoever sent one for rest.
    pub fn rest_for(&self, span: Duration) {
        lock(&self.state).rests_until = Some(Instant::now() + span);
    }

    /// From now on its answers say that it leaves.
    pub fn say_leaving(&self) {
        lock(&self.state).says_leaving = true;
    }

    /// Whether it leaves some orders without an answer from now on, and carries them out seconds later.
    pub fn set_delaying_orders(&self, delays: bool) {
        lock(&self.state).delays_orders = delays;
    }

    /// Its entry in the list of targets, if it is listed and what it holds has changed since the last one.
    #[must_use]
    pub fn news(&self) -> Option<String> {
        let mut state = lock(&self.state);
        let holds = state.shelf.listed();
        let listed = state.listed.as_mut()?;
        if *listed == holds {
            return None;
        }
        *listed = holds;
        Some(self.entry(&state, "ready"))
    }

    /// Its last entry, which says that it leaves.
    #[must_use]
    pub fn farewell(&self) -> String {
        let mut state = lock(&self.state);
        state.listed = None;
        self.entry(&state, "draining")
    }

    fn entry(&self, state: &TargetState, stage: &str) -> String {
        json!({
            "service": service_of(self.role),
            "address": self.address().to_string(),
            "zone": self.zone,
            "version": "v1",
            "slots": SLOTS,
            "state": stage,
            "cold_remaining_ms": 0,
            "sequence": state.shelf.orders_taken(),
            "models": state.shelf.listed(),
        })
        .to_string()
    }
}

/// Name of the service that targets of a role belong to.
#[must_use]
pub fn service_of(role: TargetRole) -> &'static str {
    match role {
        TargetRole::Engine => "scribe",
        TargetRole::Plain => "ledger",
    }
}

/// Answers requests.
struct TargetDesk {
    name: String,
    /// Where it is reached; known once it listens.
    address: Arc<OnceLock<SocketAddr>>,
    site: TargetSite,
    state: Arc<Mutex<TargetState>>,
}

impl TargetDesk {
    fn answer(self: &Arc<Self>, request: &RawRequest) -> RawResponse {
        let path = request.request_line().split(' ').nth(1).unwrap_or_default();
        if request
            .header(EXPECT_INSTANCE)
            .is_some_and(|name| name != self.name)
        {
            return refusal(request, "421 Misdirected Request");
        }
        let answer = match path {
            REPORT_PATH => self.report(),
            ORDER_PATH => self.take_order(request),
            _ => self.run(request, path),
        };
        self.with_leaving(request, answer)
    }

    /// An answer that says that the target leaves, if it does.
    fn with_leaving(&self, request: &RawRequest, answer: RawResponse) -> RawResponse {
        if !lock(&self.state).says_leaving {
            return answer;
        }
        if let Some(id) = request.header(REQUEST_ID) {
            self.site.history.add(SeenEntry::SaidLeaving {
                id: id.to_owned(),
                target: self.name.clone(),
            });
        }
        answer.with_header(&format!("{LEAVING}: 1\r\n"))
    }

    fn report(&self) -> RawResponse {
        let state = lock(&self.state);
        let report = json!({
            "sequence": state.shelf.orders_taken(),
            "models": state.shelf.listed(),
            "utilization": state.shelf.is_loading_base(),
            "coming": state.shelf.coming(),
            "at_hand": { "in_memory": [], "on_disk": [BASE] },
        });
        RawResponse::complete("200 OK", "", &report.to_string())
    }

    fn take_order(self: &Arc<Self>, request: &RawRequest) -> RawResponse {
        let order = AdapterOrder::decode(&request.body);
        if let Some(late_by) = self.late_by() {
            let desk = Arc::clone(self);
            tokio::spawn(async move {
                sleep(late_by).await;
                desk.carry_out(&order);
            });
            return RawResponse {
                pieces: vec![(SILENCE, Vec::new())],
                closes_connection: true,
            };
        }
        let status = match self.carry_out(&order) {
            OrderVerdict::Done => "200 OK",
            OrderVerdict::Begun(_) => "202 Accepted",
            OrderVerdict::Conflict => "409 Conflict",
            OrderVerdict::Fenced => "412 Precondition Failed",
        };
        RawResponse::complete(status, "", "")
    }

    /// By how much the next order is late, if it is left without an answer.
    fn late_by(&self) -> Option<Duration> {
        let mut state = lock(&self.state);
        if !state.delays_orders {
            return None;
        }
        state.order_count += 1;
        let is_delayed = state.order_count.is_multiple_of(DELAYED_EVERY);
        let turn = (state.order_count / DELAYED_EVERY) as usize;
        is_delayed.then(|| LATE_BY[turn % LATE_BY.len()])
    }

    fn carry_out(self: &Arc<Self>, order: &AdapterOrder) -> OrderVerdict {
        let newest = self.site.newest(&order.adapter);
        let mut state = lock(&self.state);
        let verdict = state.shelf.take(order, newest, Instant::now());
        if !verdict.is_taken() {
            return verdict;
        }
        self.site.history.add(SeenEntry::Ordered {
            target: self.name.clone(),
            holder: order.holder.clone(),
            token: order.token,
        });
        if state.shelf.is_overfilled() {
            self.site.history.add(SeenEntry::Overfilled {
                target: self.name.clone(),
            });
        }
        match verdict {
            OrderVerdict::Begun(at) => {
                let (desk, adapter) = (Arc::clone(self), order.adapter.clone());
                tokio::spawn(async move {
                    sleep_until(at).await;
                    let mut state = lock(&desk.state);
                    state.shelf.finish(&adapter);
                    desk.forget(&adapter);
                });
            }
            _ if order.is_unload => self.forget(&order.adapter),
            _ => {}
        }
        verdict
    }

    /// Drops what was kept for an adapter that was replaced or went.
    fn forget(&self, adapter: &str) {
        if self.site.planted != PlantedFault::KeepsMemory {
            self.site.memory.evict_adapter(self.address(), adapter);
        }
    }

    fn run(self: &Arc<Self>, request: &RawRequest, path: &str) -> RawResponse {
        let id = request.header(REQUEST_ID).unwrap_or_default().to_owned();
        self.site.history.add(SeenEntry::RanFor {
            id: id.clone(),
            organisation: request.header(ORGANISATION).unwrap_or_default().to_owned(),
        });
        let is_key_told = request.header(AUTHORIZATION).is_some();
        if request.head.contains(FORGED) || is_key_told {
            self.site.history.add(SeenEntry::Forged {
                id: id.clone(),
                target: self.name.clone(),
            });
        }
        let named = request.header(MODEL).unwrap_or_default();
        let adapter = named.split_once('/').map_or("", |(_, adapter)| adapter);
        let mut state = lock(&self.state);
        let now = Instant::now();
        if let Some(until) = state.rests_until.filter(|until| now < *until) {
            return self.ask_for_rest(request, until - now);
        }
        state.shed_count += 1;
        if state.sheds && !state.shed_count.is_multiple_of(3) {
            return self.turn_away(request, "503 Service Unavailable");
        }
        if adapter.is_empty() {
            self.note_run(&id, adapter, state.breaks);
            return plain_answer(request, &id, state.breaks);
        }
        let versions = match state.shelf.sight(adapter) {
            CopySight::Here(versions) if is_meant(request, versions.adapter) => versions,
            CopySight::Leaving => return self.turn_away(request, "503 Service Unavailable"),
            CopySight::Here(_) | CopySight::Absent => {
                return self.turn_away(request, "421 Misdirected Request");
            }
        };
        self.note_run(&id, adapter, state.breaks);
        let prompt = GivenPrompt {
            adapter: adapter.to_owned(),
            versions,
            parts: decode_parts(request.header(PROMPT_PREFIX).unwrap_or_default()),
            source: request
                .header(KV_FETCH)
                .and_then(|source| source.parse().ok()),
        };
        let now = Instant::now();
        let memory = &self.site.memory;
        let reading = state.prompts.take(self.address(), &prompt, memory, now);
        state
            .shelf
            .note_run(adapter, now + reading.time + EVENT_PAUSE * EVENTS);
        let breaks_off = state.breaks;
        self.read_prompt(&id, prompt, reading);
        drop(state);
        let stream = StreamAnswer {
            id,
            versions,
            reading: reading.time,
            breaks_off,
            skipped: (self.site.planted == PlantedFault::DropsEvent).then_some(3),
        };
        stream.answer(request, path)
    }

    fn ask_for_rest(&self, request: &RawRequest, rest: Duration) -> RawResponse {
        self.site.history.add(SeenEntry::RestAsked {
            id: request.header(REQUEST_ID).unwrap_or_default().to_owned(),
            target: self.name.clone(),
            rest,
        });
        let answer = self.turn_away(request, "503 Service Unavailable");
        answer.with_header(&format!("{RETRY_AFTER}: {:.3}\r\n", rest.as_secs_f64()))
    }

    fn turn_away(&self, request: &RawRequest, status: &str) -> RawResponse {
        self.site.history.add(SeenEntry::TurnedAway {
            id: request.header(REQUEST_ID).unwrap_or_default().to_owned(),
            target: self.name.clone(),
        });
        refusal(request, status)
    }

    fn note_run(&self, id: &str, adapter: &str, breaks_off: bool) {
        let noted = match self.site.planted {
            PlantedFault::WrongAdapter => "another",
            _ => adapter,
        };
        let runs = 1 + usize::from(self.site.planted == PlantedFault::RunsTwice);
        for _ in 0..runs {
            self.site.history.add(SeenEntry::Ran {
                id: id.to_owned(),
                target: self.name.clone(),
                adapter: noted.to_owned(),
                breaks_off,
            });
        }
    }

    /// Uses what is kept of a prompt; what another engine keeps is here a moment later, as it stands there by then.
    fn read_prompt(self: &Arc<Self>, id: &str, prompt: GivenPrompt, reading: ReadingWork) {
        if !reading.is_move {
            self.use_memory(id, &prompt);
            return;
        }
        self.site.history.add(SeenEntry::Moved {
            id: id.to_owned(),
            target: self.name.clone(),
        });
        let (desk, id) = (Arc::clone(self), id.to_owned());
        tokio::spawn(async move {
            sleep(MOVE_TIME).await;
            desk.use_memory(&id, &prompt);
        });
    }

    fn use_memory(&self, id: &str, prompt: &GivenPrompt) {
        if let Some(made_under) = prompt.read(self.address(), &self.site.memory) {
            self.site.history.add(SeenEntry::Mixed {
                id: id.to_owned(),
                target: self.name.clone(),
                adapter: prompt.adapter.clone(),
                made_under,
                runs_under: prompt.versions,
            });
        }
    }

    fn address(&self) -> SocketAddr {
        *self.address.wait()
    }
}

/// Whether a request is for an adapter in this version, or says nothing of one.
fn is_meant(request: &RawRequest, version: u64) -> bool {
    request
        .header(EXPECT_VERSION)
        .is_none_or(|meant| meant.parse() == Ok(version))
}

fn plain_answer(request: &RawRequest, id: &str, breaks_off: bool) -> RawResponse {
    let body = whole_body(CallKind::Once, id, 0);
    let mut answer = RawResponse::complete("200 OK", &sealed(request), &body);
    answer.pieces[0].0 = PLAIN_WORK;
    if breaks_off {
        answer.pieces[0].1.truncate(40);
        answer.closes_connection = true;
    }
    answer
}

/// A stream as an engine gives it.
struct StreamAnswer {
    id: String,
    versions: WeightVersions,
    /// Time until the prompt is read.
    reading: Duration,
    breaks_off: bool,
    /// An event that is left out.
    skipped: Option<u32>,
}

impl StreamAnswer {
    fn answer(&self, request: &RawRequest, path: &str) -> RawResponse {
        let from = request
            .header(LAST_EVENT)
            .and_then(|last| last.parse::<u32>().ok())
            .filter(|_| path.starts_with("/resumed/"))
            .unwrap_or(0);
        let head = format!(
            "HTTP/1.1 200 OK\r\n{}{WEIGHT_VERSIONS}: {}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            sealed(request),
            self.versions.base
        );
        let mut pieces = vec![(self.reading, head.into_bytes())];
        for event in from + 1..=EVENTS {
            let text = event_text(&self.id, event);
            if self.breaks_off && event >= BREAKS_AT {
                pieces.push((EVENT_PAUSE, chunk(&text[..8])));
                return RawResponse {
                    pieces,
                    closes_connection: true,
                };
            }
            if self.skipped != Some(event) {
                pieces.push((EVENT_PAUSE, chunk(&text)));
            }
        }
        pieces.push((Duration::ZERO, b"0\r\n\r\n".to_vec()));
        RawResponse {
            pieces,
            closes_connection: false,
        }
    }
}

fn refusal(request: &RawRequest, status: &str) -> RawResponse {
    let headers = format!("{}{NOT_EXECUTED}: 1\r\n", sealed(request));
    RawResponse::complete(status, &headers, "")
}

fn sealed(request: &RawRequest) -> String {
    let id = request.header(REQUEST_ID).unwrap_or_default();
    format!("{REQUEST_ID}: {id}\r\n{SEAL}: seal\r\n")
}

fn chunk(text: &str) -> Vec<u8> {
    format!("{:x}\r\n{text}\r\n", text.len()).into_bytes()
}

fn lock<T>(state: &Mutex<T>) -> MutexGuard<'_, T> {
    state.lock().expect("no holder of the lock panics")
}
