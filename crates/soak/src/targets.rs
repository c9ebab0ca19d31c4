//! Engines and plain services that write down what reaches them.

use crate::{
    adapter_store::{
        AdapterOrder, AdapterStore, BASE_MODEL, CopyStatus, FIRST_VERSION, OrderOutcome,
        WeightVersions,
    },
    callers::FORGED,
    checks::{EVENTS_PER_STREAM, event_text, expected_body},
    history::{CallKind, HistoryEvent, SharedHistory},
    prompts::{CACHE_FETCH_TIME, PrefillWork, PromptQueue, ReceivedPrompt, decode_parts},
};
use hoplanding_platform::names::{
    AUTHORIZATION, EXPECT_INSTANCE, EXPECT_VERSION, KV_FETCH, LAST_EVENT, LEAVING, MODEL,
    NOT_EXECUTED, ORDER_PATH, ORGANISATION, PROMPT_PREFIX, REPORT_PATH, REQUEST_ID, RETRY_AFTER,
    SEAL, WEIGHT_VERSIONS,
};
use hoplanding_standins::{
    kept_memory::MemoryNet,
    raw_target::{RawAnswer, RawRequest, RawTarget},
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
const EVENT_INTERVAL: Duration = Duration::from_millis(40);
/// Time that a plain call takes.
const PLAIN_CALL_TIME: Duration = Duration::from_millis(15);
/// Event within which a breaking target stops.
const TRUNCATE_AT_EVENT: u32 = 5;
/// While an engine delays orders, every how many of them it leaves without an answer.
const DELAYED_ORDER_PERIOD: u64 = 2;
/// Times after which orders without an answer are carried out, in turn; the users tell of 12 seconds at the most.
const ORDER_DELAYS: [Duration; 4] = [
    Duration::from_millis(1_200),
    Duration::from_millis(2_500),
    Duration::from_millis(4_000),
    Duration::from_millis(7_000),
];
/// Time after which the connection of an order without an answer is closed; nobody waits as long.
const UNANSWERED_ORDER_TIMEOUT: Duration = Duration::from_secs(3);

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
pub enum InjectedDefect {
    /// None.
    #[default]
    None,
    /// A target writes each run down twice, as if it had run twice.
    DuplicateRun,
    /// An engine writes down another adapter than it was asked for.
    WrongAdapter,
    /// A stream leaves an event out.
    MissingEvent,
    /// An engine goes on using what it kept when an adapter is replaced.
    StaleCache,
}

/// What the targets of a run share.
#[derive(Clone)]
pub struct TargetContext {
    /// What is seen of them.
    pub history: SharedHistory,
    /// What engines keep of prompts.
    pub memory: Arc<MemoryNet>,
    /// The newest version of the base model and of each adapter for which one was named.
    pub versions: Arc<Mutex<BTreeMap<String, u64>>>,
    /// A fault that they have.
    pub defect: InjectedDefect,
}

impl TargetContext {
    /// Nothing seen, kept or named yet.
    #[must_use]
    pub fn new(history: SharedHistory, defect: InjectedDefect) -> Self {
        Self {
            history,
            memory: Arc::default(),
            versions: Arc::default(),
            defect,
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
    adapter_store: AdapterStore,
    prompts: PromptQueue,
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
            adapter_store: AdapterStore::new(base),
            prompts: PromptQueue::default(),
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
        site: TargetContext,
    ) -> io::Result<Self> {
        let state = Arc::new(Mutex::new(TargetState::new(base)));
        let address = Arc::new(OnceLock::new());
        let handler = Arc::new(TargetHandler {
            name: name.to_owned(),
            address: Arc::clone(&address),
            site,
            state: Arc::clone(&state),
        });
        let server = RawTarget::start(move |request: &RawRequest| handler.answer(request)).await?;
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
    pub fn set_truncating(&self, breaks: bool) {
        lock(&self.state).breaks = breaks;
    }

    /// Whether it turns two of three requests away from now on.
    pub fn set_shedding(&self, sheds: bool) {
        lock(&self.state).sheds = sheds;
    }

    /// It turns every request away for a while, and asks whoever sent one for rest.
    pub fn reject_for(&self, span: Duration) {
        lock(&self.state).rests_until = Some(Instant::now() + span);
    }

    /// From now on its answers say that it leaves.
    pub fn announce_draining(&self) {
        lock(&self.state).says_leaving = true;
    }

    /// Whether it leaves some orders without an answer from now on, and carries them out seconds later.
    pub fn set_delaying_orders(&self, delays: bool) {
        lock(&self.state).delays_orders = delays;
    }

    /// Its entry in the list of targets, if it is listed and what it holds has changed since the last one.
    #[must_use]
    pub fn changed_entry(&self) -> Option<String> {
        let mut state = lock(&self.state);
        let holds = state.adapter_store.listed();
        let listed = state.listed.as_mut()?;
        if *listed == holds {
            return None;
        }
        *listed = holds;
        Some(self.entry(&state, "ready"))
    }

    /// Its last entry, which says that it leaves.
    #[must_use]
    pub fn draining_entry(&self) -> String {
        let mut state = lock(&self.state);
        state.listed = None;
        self.entry(&state, "draining")
    }

    fn entry(&self, state: &TargetState, stage: &str) -> String {
        json!({
            "service": service_name(self.role),
            "address": self.address().to_string(),
            "zone": self.zone,
            "version": "v1",
            "slots": SLOTS,
            "state": stage,
            "cold_remaining_ms": 0,
            "sequence": state.adapter_store.accepted_orders(),
            "models": state.adapter_store.listed(),
        })
        .to_string()
    }
}

/// Name of the service that targets of a role belong to.
#[must_use]
pub fn service_name(role: TargetRole) -> &'static str {
    match role {
        TargetRole::Engine => "scribe",
        TargetRole::Plain => "ledger",
    }
}

/// Answers requests.
struct TargetHandler {
    name: String,
    /// Where it is reached; known once it listens.
    address: Arc<OnceLock<SocketAddr>>,
    site: TargetContext,
    state: Arc<Mutex<TargetState>>,
}

impl TargetHandler {
    fn answer(self: &Arc<Self>, request: &RawRequest) -> RawAnswer {
        let path = request.line().split(' ').nth(1).unwrap_or_default();
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
    fn with_leaving(&self, request: &RawRequest, answer: RawAnswer) -> RawAnswer {
        if !lock(&self.state).says_leaving {
            return answer;
        }
        if let Some(id) = request.header(REQUEST_ID) {
            self.site.history.record(HistoryEvent::DrainingAnnounced {
                id: id.to_owned(),
                target: self.name.clone(),
            });
        }
        answer.with_header(&format!("{LEAVING}: 1\r\n"))
    }

    fn report(&self) -> RawAnswer {
        let state = lock(&self.state);
        let report = json!({
            "sequence": state.adapter_store.accepted_orders(),
            "models": state.adapter_store.listed(),
            "utilization": state.adapter_store.is_loading_base(),
            "coming": state.adapter_store.pending_loads(),
            "at_hand": { "in_memory": [], "on_disk": [BASE_MODEL] },
        });
        RawAnswer::whole("200 OK", "", &report.to_string())
    }

    fn take_order(self: &Arc<Self>, request: &RawRequest) -> RawAnswer {
        let order = AdapterOrder::decode(&request.body);
        if let Some(late_by) = self.late_by() {
            let handler = Arc::clone(self);
            tokio::spawn(async move {
                sleep(late_by).await;
                handler.carry_out(&order);
            });
            return RawAnswer {
                pieces: vec![(UNANSWERED_ORDER_TIMEOUT, Vec::new())],
                closes: true,
            };
        }
        let status = match self.carry_out(&order) {
            OrderOutcome::Completed => "200 OK",
            OrderOutcome::InProgress(_) => "202 Accepted",
            OrderOutcome::Conflict => "409 Conflict",
            OrderOutcome::Fenced => "412 Precondition Failed",
        };
        RawAnswer::whole(status, "", "")
    }

    /// By how much the next order is late, if it is left without an answer.
    fn late_by(&self) -> Option<Duration> {
        let mut state = lock(&self.state);
        if !state.delays_orders {
            return None;
        }
        state.order_count += 1;
        let is_delayed = state.order_count.is_multiple_of(DELAYED_ORDER_PERIOD);
        let turn = (state.order_count / DELAYED_ORDER_PERIOD) as usize;
        is_delayed.then(|| ORDER_DELAYS[turn % ORDER_DELAYS.len()])
    }

    fn carry_out(self: &Arc<Self>, order: &AdapterOrder) -> OrderOutcome {
        let newest = self.site.newest(&order.adapter);
        let mut state = lock(&self.state);
        let verdict = state.adapter_store.apply(order, newest, Instant::now());
        if !verdict.is_accepted() {
            return verdict;
        }
        self.site.history.record(HistoryEvent::OrderAccepted {
            target: self.name.clone(),
            holder: order.holder.clone(),
            token: order.token,
        });
        if state.adapter_store.is_over_capacity() {
            self.site.history.record(HistoryEvent::SlotsExceeded {
                target: self.name.clone(),
            });
        }
        match verdict {
            OrderOutcome::InProgress(at) => {
                let (handler, adapter) = (Arc::clone(self), order.adapter.clone());
                tokio::spawn(async move {
                    sleep_until(at).await;
                    let mut state = lock(&handler.state);
                    state.adapter_store.finish(&adapter);
                    handler.forget(&adapter);
                });
            }
            _ if order.is_unload => self.forget(&order.adapter),
            _ => {}
        }
        verdict
    }

    /// Drops what was kept for an adapter that was replaced or went.
    fn forget(&self, adapter: &str) {
        if self.site.defect != InjectedDefect::StaleCache {
            self.site.memory.drop_adapter(self.address(), adapter);
        }
    }

    fn run(self: &Arc<Self>, request: &RawRequest, path: &str) -> RawAnswer {
        let id = request.header(REQUEST_ID).unwrap_or_default().to_owned();
        self.site.history.record(HistoryEvent::RanForOrganisation {
            id: id.clone(),
            organisation: request.header(ORGANISATION).unwrap_or_default().to_owned(),
        });
        let is_key_told = request.header(AUTHORIZATION).is_some();
        if request.head.contains(FORGED) || is_key_told {
            self.site.history.record(HistoryEvent::ForgedHeader {
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
            self.record_run(&id, adapter, state.breaks);
            return plain_answer(request, &id, state.breaks);
        }
        let versions = match state.adapter_store.copy_status(adapter) {
            CopyStatus::Loaded(versions) if is_meant(request, versions.adapter) => versions,
            CopyStatus::Changing => return self.turn_away(request, "503 Service Unavailable"),
            CopyStatus::Loaded(_) | CopyStatus::Absent => {
                return self.turn_away(request, "421 Misdirected Request");
            }
        };
        self.record_run(&id, adapter, state.breaks);
        let prompt = ReceivedPrompt {
            adapter: adapter.to_owned(),
            versions,
            parts: decode_parts(request.header(PROMPT_PREFIX).unwrap_or_default()),
            source: request
                .header(KV_FETCH)
                .and_then(|source| source.parse().ok()),
        };
        let now = Instant::now();
        let memory = &self.site.memory;
        let reading = state.prompts.enqueue(self.address(), &prompt, memory, now);
        state.adapter_store.record_run(
            adapter,
            now + reading.time + EVENT_INTERVAL * EVENTS_PER_STREAM,
        );
        let breaks_off = state.breaks;
        self.read_prompt(&id, prompt, reading);
        drop(state);
        let stream = StreamAnswer {
            id,
            versions,
            reading: reading.time,
            breaks_off,
            skipped: (self.site.defect == InjectedDefect::MissingEvent).then_some(3),
        };
        stream.answer(request, path)
    }

    fn ask_for_rest(&self, request: &RawRequest, rest: Duration) -> RawAnswer {
        self.site.history.record(HistoryEvent::RetryAfterSent {
            id: request.header(REQUEST_ID).unwrap_or_default().to_owned(),
            target: self.name.clone(),
            rest,
        });
        let answer = self.turn_away(request, "503 Service Unavailable");
        answer.with_header(&format!("{RETRY_AFTER}: {:.3}\r\n", rest.as_secs_f64()))
    }

    fn turn_away(&self, request: &RawRequest, status: &str) -> RawAnswer {
        self.site.history.record(HistoryEvent::Rejected {
            id: request.header(REQUEST_ID).unwrap_or_default().to_owned(),
            target: self.name.clone(),
        });
        refusal(request, status)
    }

    fn record_run(&self, id: &str, adapter: &str, breaks_off: bool) {
        let noted = match self.site.defect {
            InjectedDefect::WrongAdapter => "another",
            _ => adapter,
        };
        let runs = 1 + usize::from(self.site.defect == InjectedDefect::DuplicateRun);
        for _ in 0..runs {
            self.site.history.record(HistoryEvent::Ran {
                id: id.to_owned(),
                target: self.name.clone(),
                adapter: noted.to_owned(),
                breaks_off,
            });
        }
    }

    /// Uses what is kept of a prompt; what another engine keeps is here a moment later, as it stands there by then.
    fn read_prompt(self: &Arc<Self>, id: &str, prompt: ReceivedPrompt, reading: PrefillWork) {
        if !reading.is_fetch {
            self.use_memory(id, &prompt);
            return;
        }
        self.site.history.record(HistoryEvent::CacheFetched {
            id: id.to_owned(),
            target: self.name.clone(),
        });
        let (handler, id) = (Arc::clone(self), id.to_owned());
        tokio::spawn(async move {
            sleep(CACHE_FETCH_TIME).await;
            handler.use_memory(&id, &prompt);
        });
    }

    fn use_memory(&self, id: &str, prompt: &ReceivedPrompt) {
        if let Some(made_under) = prompt.read_into(self.address(), &self.site.memory) {
            self.site.history.record(HistoryEvent::CacheMismatch {
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

fn plain_answer(request: &RawRequest, id: &str, breaks_off: bool) -> RawAnswer {
    let body = expected_body(CallKind::Once, id, 0);
    let mut answer = RawAnswer::whole("200 OK", &sealed(request), &body);
    answer.pieces[0].0 = PLAIN_CALL_TIME;
    if breaks_off {
        answer.pieces[0].1.truncate(40);
        answer.closes = true;
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
    fn answer(&self, request: &RawRequest, path: &str) -> RawAnswer {
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
        for event in from + 1..=EVENTS_PER_STREAM {
            let text = event_text(&self.id, event);
            if self.breaks_off && event >= TRUNCATE_AT_EVENT {
                pieces.push((EVENT_INTERVAL, chunk(&text[..8])));
                return RawAnswer {
                    pieces,
                    closes: true,
                };
            }
            if self.skipped != Some(event) {
                pieces.push((EVENT_INTERVAL, chunk(&text)));
            }
        }
        pieces.push((Duration::ZERO, b"0\r\n\r\n".to_vec()));
        RawAnswer {
            pieces,
            closes: false,
        }
    }
}

fn refusal(request: &RawRequest, status: &str) -> RawAnswer {
    let headers = format!("{}{NOT_EXECUTED}: 1\r\n", sealed(request));
    RawAnswer::whole(status, &headers, "")
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
