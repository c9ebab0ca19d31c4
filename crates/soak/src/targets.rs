//! Stand-ins for engines and plain services that record the requests and orders they receive.
//!
//! The fault injector makes them truncate answers, shed load, announce draining or answer late. An [`InjectedDefect`] makes
//! them violate a guarantee, which shows that the checks detect it.

use crate::{
    adapter_store::{
        AdapterOrder, AdapterStatus, AdapterStore, BASE_MODEL, FIRST_VERSION, OrderOutcome,
        WeightVersions,
    },
    callers::FORGED,
    checks::{EVENTS_PER_STREAM, expected_body},
    history::{CallKind, HistoryEvent, SharedHistory},
    prompts::{
        CACHE_FETCH_TIME, DEADLY_PART_ID, EnginePrompt, PrefillWork, PromptQueue, decode_parts,
    },
    stream_text::versioned_event,
};
use hoplanding_platform::names::{
    AUTHORIZATION, EXPECT_INSTANCE, EXPECT_VERSION, KV_FETCH, LAST_EVENT, LEAVING, MODEL,
    NOT_EXECUTED, ORDER_PATH, ORGANISATION, PROMPT_PREFIX, REPORT_PATH, REQUEST_ID, RETRY_AFTER,
    SEAL, WEIGHT_VERSIONS,
};
use hoplanding_standins::{
    path_cuts::PathCuts,
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

/// Concurrent requests of a target, as given in its list entry.
const SLOTS: usize = 8;
/// Time between two events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(40);
const PLAIN_CALL_TIME: Duration = Duration::from_millis(15);
/// Number of the event within which a truncating target ends a stream.
const TRUNCATE_AT_EVENT: u32 = 5;
/// An engine that delays orders leaves every n-th of them without an answer.
const DELAYED_ORDER_PERIOD: u64 = 2;
/// Delays after which unanswered orders are carried out, used in turn; users report up to 12 s.
const ORDER_DELAYS: [Duration; 4] = [
    Duration::from_millis(1_200),
    Duration::from_millis(2_500),
    Duration::from_millis(4_000),
    Duration::from_millis(7_000),
];
/// Time after which the connection of an unanswered order is closed, longer than any daemon waits for the answer.
const UNANSWERED_ORDER_TIMEOUT: Duration = Duration::from_secs(3);

/// Path of the targets' health check.
pub const HEALTH_PATH: &str = "/health";

/// Kind of requests that a target serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetRole {
    /// Streams on adapters of one base model.
    Engine,
    /// Plain calls without a model.
    Plain,
}

/// Defect of the stand-ins that the checks must detect; `None` in regular runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum InjectedDefect {
    /// No defect.
    #[default]
    None,
    /// A target records every request as run twice.
    DuplicateRun,
    /// A target records another adapter than the requested one.
    WrongAdapter,
    /// A stream omits an event.
    MissingEvent,
    /// An engine keeps using cached prompt parts of an adapter after replacing or unloading it.
    StaleCache,
}

/// State shared by all targets of a run.
#[derive(Clone)]
pub struct TargetContext {
    /// History that the targets record their events in.
    pub history: SharedHistory,
    /// Prompt caches of all engines.
    pub caches: Arc<PromptCaches>,
    /// Newest published versions by adapter name; the empty name stands for the base model.
    pub versions: Arc<Mutex<BTreeMap<String, u64>>>,
    /// Paths from the VMs to the targets.
    pub cuts: Arc<PathCuts>,
    /// Defect of the targets.
    pub defect: InjectedDefect,
}

impl TargetContext {
    /// Creates a context with empty caches and no published versions.
    #[must_use]
    pub fn new(history: SharedHistory, defect: InjectedDefect) -> Self {
        Self {
            history,
            caches: Arc::default(),
            versions: Arc::default(),
            cuts: Arc::default(),
            defect,
        }
    }

    /// Publishes a version of an adapter, or of the base model if `adapter` is empty. Older versions have no effect.
    pub fn publish_version(&self, adapter: &str, version: u64) {
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
    is_truncating: bool,
    is_shedding: bool,
    /// Number of requests received, of which shedding serves every third.
    request_count: u64,
    /// End of the period in which every request is rejected with `Retry-After`.
    reject_until: Option<Instant>,
    /// Whether answers carry the draining header.
    is_announcing: bool,
    is_delaying_orders: bool,
    /// Number of orders received while delaying orders.
    order_count: u64,
    /// Number of current silences.
    silence_count: usize,
    /// Whether a request crashed the engine, and it has not been replaced yet.
    has_crashed: bool,
    /// Models in the last list entry; `None` once the entry is removed or marked as draining.
    listed_models: Option<Value>,
}

impl TargetState {
    fn new(base: Option<u64>) -> Self {
        Self {
            adapter_store: AdapterStore::new(base),
            prompts: PromptQueue::default(),
            is_truncating: false,
            is_shedding: false,
            request_count: 0,
            reject_until: None,
            is_announcing: false,
            is_delaying_orders: false,
            order_count: 0,
            silence_count: 0,
            has_crashed: false,
            listed_models: Some(Value::Null),
        }
    }
}

/// Running target with its HTTP server.
pub struct SoakTarget {
    /// Key of the target in the target list.
    pub name: String,
    /// Kind of requests that it serves.
    pub role: TargetRole,
    /// Availability zone.
    pub zone: String,
    /// Version of its software.
    software: String,
    server: RawTarget,
    state: Arc<Mutex<TargetState>>,
    history: SharedHistory,
}

impl SoakTarget {
    /// Starts a target of a software version. `base` is the version of the base model that an engine starts with; without it the engine is empty.
    ///
    /// # Errors
    /// Returns an I/O error if no port is available.
    ///
    /// # Panics
    /// Never: the address is set only here.
    pub async fn start(
        name: &str,
        role: TargetRole,
        zone: &str,
        software: &str,
        base: Option<u64>,
        context: TargetContext,
    ) -> io::Result<Self> {
        let state = Arc::new(Mutex::new(TargetState::new(base)));
        let cuts = Arc::clone(&context.cuts);
        let history = context.history.clone();
        let address = Arc::new(OnceLock::new());
        let handler = Arc::new(TargetHandler {
            name: name.to_owned(),
            software: software.to_owned(),
            address: Arc::clone(&address),
            context,
            state: Arc::clone(&state),
        });
        let answering = Arc::clone(&handler);
        let answer = move |request: &RawRequest| answering.answer(request);
        let should_crash = move |request: &RawRequest| handler.crashes_under(request);
        let server = RawTarget::start_crashable_behind(&cuts, answer, should_crash).await?;
        address
            .set(server.address)
            .expect("the address is set once");
        Ok(Self {
            name: name.to_owned(),
            role,
            zone: zone.to_owned(),
            software: software.to_owned(),
            server,
            state,
            history,
        })
    }

    /// Address that the target listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Sets whether answers are truncated from now on.
    pub fn set_truncating(&self, is_truncating: bool) {
        lock(&self.state).is_truncating = is_truncating;
    }

    /// Sets whether two of three requests are rejected from now on.
    pub fn set_shedding(&self, is_shedding: bool) {
        lock(&self.state).is_shedding = is_shedding;
    }

    /// Rejects every request for a time, with the remaining time in `Retry-After`.
    pub fn reject_for(&self, span: Duration) {
        lock(&self.state).reject_until = Some(Instant::now() + span);
    }

    /// Announces draining in every answer from now on.
    pub fn announce_draining(&self) {
        lock(&self.state).is_announcing = true;
    }

    /// Sets whether some orders stay unanswered from now on and are carried out seconds later.
    pub fn set_delaying_orders(&self, is_delaying: bool) {
        lock(&self.state).is_delaying_orders = is_delaying;
    }

    /// Begins a silence. Silences may overlap; the target is silent until the end of the last one.
    pub fn begin_silence(&self) {
        let mut state = lock(&self.state);
        state.silence_count += 1;
        if state.silence_count == 1 {
            self.record_silence(true);
        }
    }

    /// Ends a silence.
    pub fn end_silence(&self) {
        let mut state = lock(&self.state);
        state.silence_count -= 1;
        if state.silence_count == 0 {
            self.record_silence(false);
        }
    }

    fn record_silence(&self, is_silent: bool) {
        let target = self.name.clone();
        self.history.record(match is_silent {
            true => HistoryEvent::SilenceBegan { target },
            false => HistoryEvent::SilenceEnded { target },
        });
        self.server.set_silent(is_silent);
    }

    /// Whether the target is on the list and not marked as draining.
    #[must_use]
    pub fn is_listed(&self) -> bool {
        lock(&self.state).listed_models.is_some()
    }

    /// Whether a request crashed the target since the last call of this method.
    #[must_use]
    pub fn take_crash(&self) -> bool {
        std::mem::take(&mut lock(&self.state).has_crashed)
    }

    /// Returns the list entry if the target is listed and its models changed since the last entry.
    #[must_use]
    pub fn changed_entry(&self) -> Option<String> {
        let mut state = lock(&self.state);
        let models = state.adapter_store.model_list();
        let listed_models = state.listed_models.as_mut()?;
        if *listed_models == models {
            return None;
        }
        *listed_models = models;
        Some(self.entry(&state, "ready"))
    }

    /// Returns the draining entry, after which the target writes no others.
    #[must_use]
    pub fn draining_entry(&self) -> String {
        let mut state = lock(&self.state);
        state.listed_models = None;
        self.entry(&state, "draining")
    }

    fn entry(&self, state: &TargetState, status: &str) -> String {
        json!({
            "service": service_name(self.role),
            "address": self.address().to_string(),
            "zone": self.zone,
            "version": self.software,
            "slots": SLOTS,
            "state": status,
            "cold_remaining_ms": 0,
            "sequence": state.adapter_store.accepted_orders(),
            "models": state.adapter_store.model_list(),
        })
        .to_string()
    }
}

/// Name of the service that targets of this role belong to.
#[must_use]
pub fn service_name(role: TargetRole) -> &'static str {
    match role {
        TargetRole::Engine => "scribe",
        TargetRole::Plain => "ledger",
    }
}

/// Handles the requests and orders of one target.
struct TargetHandler {
    name: String,
    software: String,
    /// Set once the server listens.
    address: Arc<OnceLock<SocketAddr>>,
    context: TargetContext,
    state: Arc<Mutex<TargetState>>,
}

impl TargetHandler {
    /// Whether the engine crashes, as it would begin to answer a request with the deadly part.
    fn crashes_under(&self, request: &RawRequest) -> bool {
        let parts = decode_parts(request.header(PROMPT_PREFIX).unwrap_or_default());
        let is_for_this = request.header(EXPECT_INSTANCE) == Some(self.name.as_str());
        let has_deadly_part = parts.iter().any(|part| part.id == DEADLY_PART_ID);
        if !has_deadly_part || !is_for_this {
            return false;
        }
        self.context.history.record(HistoryEvent::EngineCrashed {
            id: request.header(REQUEST_ID).unwrap_or_default().to_owned(),
            target: self.name.clone(),
        });
        lock(&self.state).has_crashed = true;
        true
    }

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
            ORDER_PATH => self.answer_order(request),
            HEALTH_PATH => RawResponse::complete("200 OK", "", ""),
            _ => self.run(request, path),
        };
        self.with_announcement(request, answer)
    }

    /// Adds the draining header to an answer if the target announces draining.
    fn with_announcement(&self, request: &RawRequest, answer: RawResponse) -> RawResponse {
        if !lock(&self.state).is_announcing {
            return answer;
        }
        if let Some(id) = request.header(REQUEST_ID) {
            self.context
                .history
                .record(HistoryEvent::DrainingAnnounced {
                    id: id.to_owned(),
                    target: self.name.clone(),
                });
        }
        answer.with_header(&format!("{LEAVING}: 1\r\n"))
    }

    fn report(&self) -> RawResponse {
        let state = lock(&self.state);
        let report = json!({
            "sequence": state.adapter_store.accepted_orders(),
            "models": state.adapter_store.model_list(),
            "utilization": state.adapter_store.is_loading_base(),
            "coming": state.adapter_store.pending_loads(),
            "at_hand": { "in_memory": [], "on_disk": [BASE_MODEL] },
        });
        RawResponse::complete("200 OK", "", &report.to_string())
    }

    fn answer_order(self: &Arc<Self>, request: &RawRequest) -> RawResponse {
        let order = AdapterOrder::decode(&request.body);
        if let Some(order_delay) = self.order_delay() {
            let handler = Arc::clone(self);
            tokio::spawn(async move {
                sleep(order_delay).await;
                handler.execute_order(&order);
            });
            return RawResponse {
                pieces: vec![(UNANSWERED_ORDER_TIMEOUT, Vec::new())],
                closes_connection: true,
            };
        }
        let status = match self.execute_order(&order) {
            OrderOutcome::Completed => "200 OK",
            OrderOutcome::InProgress(_) => "202 Accepted",
            OrderOutcome::Conflict => "409 Conflict",
            OrderOutcome::Fenced => "412 Precondition Failed",
        };
        RawResponse::complete(status, "", "")
    }

    /// Delay of the next order if that order stays unanswered.
    fn order_delay(&self) -> Option<Duration> {
        let mut state = lock(&self.state);
        if !state.is_delaying_orders {
            return None;
        }
        state.order_count += 1;
        let is_delayed = state.order_count.is_multiple_of(DELAYED_ORDER_PERIOD);
        let turn = (state.order_count / DELAYED_ORDER_PERIOD) as usize;
        is_delayed.then(|| ORDER_DELAYS[turn % ORDER_DELAYS.len()])
    }

    fn execute_order(self: &Arc<Self>, order: &AdapterOrder) -> OrderOutcome {
        let newest = self.context.newest(&order.adapter);
        let mut state = lock(&self.state);
        let outcome = state.adapter_store.apply(order, newest, Instant::now());
        if !outcome.is_accepted() {
            return outcome;
        }
        self.context.history.record(HistoryEvent::OrderAccepted {
            target: self.name.clone(),
            holder: order.holder.clone(),
            token: order.token,
        });
        if state.adapter_store.is_over_capacity() {
            self.context.history.record(HistoryEvent::SlotsExceeded {
                target: self.name.clone(),
            });
        }
        match outcome {
            OrderOutcome::InProgress(at) => {
                let (handler, adapter) = (Arc::clone(self), order.adapter.clone());
                tokio::spawn(async move {
                    sleep_until(at).await;
                    let mut state = lock(&handler.state);
                    state.adapter_store.finish(&adapter);
                    handler.drop_cache(&adapter);
                });
            }
            _ if order.is_unload => self.drop_cache(&order.adapter),
            _ => {}
        }
        outcome
    }

    /// Drops the cached prompt parts of an adapter that was replaced or unloaded.
    fn drop_cache(&self, adapter: &str) {
        if self.context.defect != InjectedDefect::StaleCache {
            self.context.caches.evict_adapter(self.address(), adapter);
        }
    }

    fn run(self: &Arc<Self>, request: &RawRequest, path: &str) -> RawResponse {
        let id = request.header(REQUEST_ID).unwrap_or_default().to_owned();
        self.context
            .history
            .record(HistoryEvent::RanForOrganisation {
                id: id.clone(),
                organisation: request.header(ORGANISATION).unwrap_or_default().to_owned(),
            });
        let has_key = request.header(AUTHORIZATION).is_some();
        if request.head.contains(FORGED) || has_key {
            self.context.history.record(HistoryEvent::ForgedHeader {
                id: id.clone(),
                target: self.name.clone(),
            });
        }
        let named = request.header(MODEL).unwrap_or_default();
        let adapter = named.split_once('/').map_or("", |(_, adapter)| adapter);
        let mut state = lock(&self.state);
        let now = Instant::now();
        if let Some(until) = state.reject_until.filter(|until| now < *until) {
            return self.reject_with_retry_after(request, until - now);
        }
        state.request_count += 1;
        if state.is_shedding && !state.request_count.is_multiple_of(3) {
            return self.reject(request, "503 Service Unavailable");
        }
        if adapter.is_empty() {
            self.record_run(&id, adapter, state.is_truncating);
            return plain_answer(request, &id, state.is_truncating);
        }
        let versions = match state.adapter_store.adapter_status(adapter) {
            AdapterStatus::Loaded(versions) if expects_version(request, versions.adapter) => {
                versions
            }
            AdapterStatus::Changing => return self.reject(request, "503 Service Unavailable"),
            AdapterStatus::Loaded(_) | AdapterStatus::Absent => {
                return self.reject(request, "421 Misdirected Request");
            }
        };
        self.record_run(&id, adapter, state.is_truncating);
        let prompt = EnginePrompt {
            adapter: adapter.to_owned(),
            versions,
            parts: decode_parts(request.header(PROMPT_PREFIX).unwrap_or_default()),
            source: request
                .header(KV_FETCH)
                .and_then(|source| source.parse().ok()),
        };
        let now = Instant::now();
        let caches = &self.context.caches;
        let prefill = state.prompts.enqueue(self.address(), &prompt, caches, now);
        state.adapter_store.record_run(
            adapter,
            now + prefill.time + EVENT_INTERVAL * EVENTS_PER_STREAM,
        );
        let is_truncated = state.is_truncating;
        self.use_prompt_cache(&id, prompt, prefill);
        drop(state);
        let stream = StreamAnswer {
            id,
            software: self.software.clone(),
            versions,
            prefill: prefill.time,
            is_truncated,
            skipped: (self.context.defect == InjectedDefect::MissingEvent).then_some(3),
        };
        stream.answer(request, path)
    }

    fn reject_with_retry_after(&self, request: &RawRequest, retry_after: Duration) -> RawResponse {
        self.context.history.record(HistoryEvent::RetryAfterSent {
            id: request.header(REQUEST_ID).unwrap_or_default().to_owned(),
            target: self.name.clone(),
            retry_after,
        });
        let answer = self.reject(request, "503 Service Unavailable");
        answer.with_header(&format!(
            "{RETRY_AFTER}: {:.3}\r\n",
            retry_after.as_secs_f64()
        ))
    }

    fn reject(&self, request: &RawRequest, status: &str) -> RawResponse {
        self.context.history.record(HistoryEvent::Rejected {
            id: request.header(REQUEST_ID).unwrap_or_default().to_owned(),
            target: self.name.clone(),
        });
        refusal(request, status)
    }

    fn record_run(&self, id: &str, adapter: &str, is_truncated: bool) {
        let recorded = match self.context.defect {
            InjectedDefect::WrongAdapter => "another",
            _ => adapter,
        };
        let runs = 1 + usize::from(self.context.defect == InjectedDefect::DuplicateRun);
        for _ in 0..runs {
            self.context.history.record(HistoryEvent::Ran {
                id: id.to_owned(),
                target: self.name.clone(),
                adapter: recorded.to_owned(),
                is_truncated,
            });
        }
    }

    /// Uses the cached parts of a prompt. Parts of another engine are read after [`CACHE_FETCH_TIME`], in the state that its
    /// cache has by then.
    fn use_prompt_cache(self: &Arc<Self>, id: &str, prompt: EnginePrompt, prefill: PrefillWork) {
        if !prefill.is_fetch {
            self.use_cached_parts(id, &prompt);
            return;
        }
        self.context.history.record(HistoryEvent::CacheFetched {
            id: id.to_owned(),
            target: self.name.clone(),
        });
        let (handler, id) = (Arc::clone(self), id.to_owned());
        tokio::spawn(async move {
            sleep(CACHE_FETCH_TIME).await;
            handler.use_cached_parts(&id, &prompt);
        });
    }

    fn use_cached_parts(&self, id: &str, prompt: &EnginePrompt) {
        if let Some(cached_versions) = prompt.process(self.address(), &self.context.caches) {
            self.context.history.record(HistoryEvent::CacheMismatch {
                id: id.to_owned(),
                target: self.name.clone(),
                adapter: prompt.adapter.clone(),
                cached_versions,
                run_versions: prompt.versions,
            });
        }
    }

    fn address(&self) -> SocketAddr {
        *self.address.wait()
    }
}

/// Whether a request expects this adapter version, or any version.
fn expects_version(request: &RawRequest, version: u64) -> bool {
    request
        .header(EXPECT_VERSION)
        .is_none_or(|expected| expected.parse() == Ok(version))
}

fn plain_answer(request: &RawRequest, id: &str, is_truncated: bool) -> RawResponse {
    let body = expected_body(CallKind::Once, id, 0);
    let mut answer = RawResponse::complete("200 OK", &internal_headers(request), &body);
    answer.pieces[0].0 = PLAIN_CALL_TIME;
    if is_truncated {
        answer.pieces[0].1.truncate(40);
        answer.closes_connection = true;
    }
    answer
}

/// Answer of an engine to a streaming request.
struct StreamAnswer {
    id: String,
    software: String,
    versions: WeightVersions,
    /// Time until the prompt is processed, including prompts queued before it.
    prefill: Duration,
    is_truncated: bool,
    /// Number of an event to omit.
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
            internal_headers(request),
            self.versions.base
        );
        let mut pieces = vec![(self.prefill, head.into_bytes())];
        for event in from + 1..=EVENTS_PER_STREAM {
            let text = versioned_event(&self.software, &self.id, event);
            if self.is_truncated && event >= TRUNCATE_AT_EVENT {
                pieces.push((EVENT_INTERVAL, chunk(&text[..8])));
                return RawResponse {
                    pieces,
                    closes_connection: true,
                };
            }
            if self.skipped != Some(event) {
                pieces.push((EVENT_INTERVAL, chunk(&text)));
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
    let headers = format!("{}{NOT_EXECUTED}: 1\r\n", internal_headers(request));
    RawResponse::complete(status, &headers, "")
}

fn internal_headers(request: &RawRequest) -> String {
    let id = request.header(REQUEST_ID).unwrap_or_default();
    format!("{REQUEST_ID}: {id}\r\n{SEAL}: seal\r\n")
}

fn chunk(text: &str) -> Vec<u8> {
    format!("{:x}\r\n{text}\r\n", text.len()).into_bytes()
}

fn lock<T>(state: &Mutex<T>) -> MutexGuard<'_, T> {
    state
        .lock()
        .expect("no thread panics while it holds the lock")
}
