//! The engine's HTTP interface.

use crate::engine::{
    EngineState, Sequence, SharedEngine, StreamBuffer, StreamHandle, break_stream,
};
use futures_util::{Stream, StreamExt, stream};
use poem::{
    Endpoint, EndpointExt, IntoResponse, Request, Response, Route, get, handler,
    http::StatusCode,
    post,
    web::{
        Data, Json, Path, Query,
        sse::{Event, SSE},
    },
};
use serde::Deserialize;
use serde_json::{Value, json};
use std::{
    collections::VecDeque,
    sync::{Arc, Mutex},
    time::Duration,
};
use tokio::sync::Notify;

/// How long a lost answer keeps its client waiting.
const LOST_FOR: Duration = Duration::from_secs(30);
/// Tokens after which a stream that is to break does so.
const BREAK_AFTER: usize = 3;
/// Tokens of an answer whose request names no number.
const DEFAULT_TOKENS: usize = 16;

pub(super) fn routes(shared: Arc<SharedEngine>) -> impl Endpoint + use<> {
    let boot = Arc::clone(&shared);
    Route::new()
        .at("/v1/completions", post(complete))
        .at("/v1/chat/completions", post(complete))
        .at("/v1/streams/:id", get(resume))
        .at("/v1/load_lora_adapter", post(load))
        .at("/v1/unload_lora_adapter", post(unload))
        .at("/v1/fence", post(fence))
        .at("/v1/adapters", get(list))
        .at("/v1/cancel", post(cancel))
        .at("/load", get(report))
        .data(shared)
        .after(move |result: poem::Result<Response>| {
            let boot = boot.lock().boot;
            async move {
                let mut response = result?;
                response.headers_mut().insert("x-engine-boot", boot.into());
                Ok::<_, poem::Error>(response)
            }
        })
}

fn refuse(status: StatusCode, message: &str) -> Response {
    Json(json!({ "error": { "message": message } }))
        .with_status(status)
        .into_response()
}

fn token_of(request: &Request) -> Option<u64> {
    request.header("x-fencing-token")?.parse().ok()
}

/// Whether an order's token is too old; a newer one is remembered.
fn is_stale(state: &mut EngineState, token: Option<u64>) -> bool {
    if !state.checks_fencing {
        return false;
    }
    let token = token.unwrap_or(0);
    if token < state.token {
        state.stats.refused_stale += 1;
        return true;
    }
    state.token = token;
    false
}

#[derive(Deserialize)]
struct CompletionBody {
    model: String,
    #[serde(default)]
    prompt: Option<String>,
    #[serde(default)]
    messages: Vec<Value>,
    #[serde(default)]
    max_tokens: Option<usize>,
    #[serde(default)]
    priority: u8,
}

impl CompletionBody {
    fn prompt_text(&self) -> String {
        match &self.prompt {
            Some(prompt) => prompt.clone(),
            None => self
                .messages
                .iter()
                .filter_map(|message| message["content"].as_str())
                .collect::<Vec<_>>()
                .join("\n"),
        }
    }
}

#[handler]
async fn complete(
    request: &Request,
    body: Json<CompletionBody>,
    shared: Data<&Arc<SharedEngine>>,
) -> Response {
    let token = token_of(request);
    let id = request
        .header("x-request-id")
        .unwrap_or_default()
        .to_owned();
    let started = start_sequence(&mut shared.lock(), &id, token, &body);
    match started {
        Err(response) => *response,
        Ok((_, StreamFault::Nonsense)) => {
            shared.work.notify_one();
            "this is no stream of events".into_response()
        }
        Ok((handle, fault)) => {
            shared.work.notify_one();
            let shown = match fault {
                StreamFault::WrongModel => "another@v0".to_owned(),
                _ => handle.model.clone(),
            };
            let breaks = fault == StreamFault::Break;
            SSE::new(events(handle, 0, shown, breaks)).into_response()
        }
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum StreamFault {
    None,
    Break,
    WrongModel,
    Nonsense,
}

fn take_fault(state: &mut EngineState) -> StreamFault {
    let faults = &mut state.faults;
    let counters = [
        (&mut faults.break_streams, StreamFault::Break),
        (&mut faults.wrong_model_responses, StreamFault::WrongModel),
        (&mut faults.malformed_responses, StreamFault::Nonsense),
    ];
    for (left, fault) in counters {
        if *left > 0 {
            *left -= 1;
            return fault;
        }
    }
    StreamFault::None
}

fn start_sequence(
    state: &mut EngineState,
    id: &str,
    token: Option<u64>,
    body: &CompletionBody,
) -> Result<(Arc<StreamHandle>, StreamFault), Box<Response>> {
    if is_stale(state, token) {
        return Err(Box::new(refuse(
            StatusCode::CONFLICT,
            "stale fencing token",
        )));
    }
    if !state.residents.contains_key(&body.model) {
        state.stats.refused_not_loaded += 1;
        return Err(Box::new(refuse(
            StatusCode::NOT_FOUND,
            "adapter not loaded",
        )));
    }
    if !id.is_empty() && !state.seen.insert(id.to_owned()) {
        state
            .stats
            .violations
            .push(format!("request {id} was sent twice"));
        return Err(Box::new(refuse(
            StatusCode::CONFLICT,
            "repeated request id",
        )));
    }
    state.stats.ran += 1;
    state.arrivals += 1;
    let stream = Arc::new(StreamHandle {
        buffer: Mutex::new(StreamBuffer::default()),
        grown: Notify::new(),
        model: body.model.clone(),
    });
    state.keep_stream(id, &stream);
    let prompt = body.prompt_text();
    state.waiting.push_back(Sequence {
        id: id.to_owned(),
        model: body.model.clone(),
        prefill_left: prompt.len() / 4,
        prompt,
        wanted: body.max_tokens.unwrap_or(DEFAULT_TOKENS).max(1),
        made: 0,
        priority: body.priority,
        arrived: state.arrivals,
        stream: Arc::clone(&stream),
    });
    Ok((stream, take_fault(state)))
}

struct EventCursor {
    handle: Arc<StreamHandle>,
    next: usize,
    model: String,
    breaks: bool,
    ready: VecDeque<Event>,
    ended: bool,
}

fn events(
    handle: Arc<StreamHandle>,
    from: usize,
    model: String,
    breaks: bool,
) -> impl Stream<Item = Event> + use<> {
    let cursor = EventCursor {
        handle,
        next: from,
        model,
        breaks,
        ready: VecDeque::new(),
        ended: false,
    };
    stream::unfold(cursor, |mut cursor| async move {
        loop {
            if let Some(event) = cursor.ready.pop_front() {
                return Some((event, cursor));
            }
            if cursor.ended {
                return None;
            }
            let handle = Arc::clone(&cursor.handle);
            let grown = handle.grown.notified();
            tokio::pin!(grown);
            grown.as_mut().enable();
            if !cursor.collect() {
                grown.await;
            }
        }
    })
    .boxed()
}

impl EventCursor {
    /// Takes what is there; false if there is nothing to send and the stream goes on.
    fn collect(&mut self) -> bool {
        let buffer = self
            .handle
            .buffer
            .lock()
            .expect("no holder of the lock panics");
        let end = if self.breaks {
            buffer.tokens.len().min(BREAK_AFTER)
        } else {
            buffer.tokens.len()
        };
        for index in self.next..end {
            let last = buffer.done && index + 1 == buffer.tokens.len();
            self.ready.push_back(Event::message(chunk(
                &self.model,
                index,
                &buffer.tokens[index],
                last,
            )));
        }
        self.next = self.next.max(end);
        if self.breaks && end >= BREAK_AFTER {
            self.ended = true;
        } else if buffer.done {
            self.ready.push_back(Event::message("[DONE]"));
            self.ended = true;
        } else if buffer.broken {
            self.ended = true;
        }
        self.ended || !self.ready.is_empty()
    }
}

fn chunk(model: &str, offset: usize, text: &str, last: bool) -> String {
    let finish = if last { json!("length") } else { Value::Null };
    let choice = json!({ "index": 0, "text": text, "finish_reason": finish });
    json!({ "object": "text_completion", "model": model, "offset": offset, "choices": [choice] })
        .to_string()
}

#[derive(Deserialize)]
struct ResumeQuery {
    #[serde(default)]
    from: usize,
}

#[handler]
async fn resume(
    Path(id): Path<String>,
    query: Query<ResumeQuery>,
    shared: Data<&Arc<SharedEngine>>,
) -> Response {
    let handle = {
        let mut state = shared.lock();
        state.stats.resumed += 1;
        state.streams.get(&id).cloned()
    };
    match handle {
        None => refuse(StatusCode::NOT_FOUND, "no such stream"),
        Some(handle) => {
            let model = handle.model.clone();
            SSE::new(events(handle, query.from, model, false)).into_response()
        }
    }
}

#[derive(Deserialize)]
struct AdapterBody {
    lora_name: String,
}

/// Answers an order, late or not at all if a fault says so.
async fn answer_order(shared: &SharedEngine, response: Response) -> Response {
    let (late, lost) = {
        let mut state = shared.lock();
        let lost = state.faults.lost_order_responses > 0;
        state.faults.lost_order_responses = state.faults.lost_order_responses.saturating_sub(1);
        (state.faults.order_delay, lost)
    };
    tokio::time::sleep(if lost { LOST_FOR } else { late }).await;
    response
}

#[handler]
async fn load(
    request: &Request,
    body: Json<AdapterBody>,
    shared: Data<&Arc<SharedEngine>>,
) -> Response {
    let name = body.0.lora_name;
    let boot = {
        let mut state = shared.lock();
        if is_stale(&mut state, token_of(request)) {
            return refuse(StatusCode::CONFLICT, "stale fencing token");
        }
        if state.residents.contains_key(&name) {
            return Json(json!({ "loaded": name })).into_response();
        }
        if state.residents.len() + state.loading.len() >= state.model.slots {
            return refuse(StatusCode::INSUFFICIENT_STORAGE, "no free adapter slot");
        }
        state.loading.insert(name.clone());
        state.boot
    };
    shared.store.fetch().await;
    let response = {
        let mut state = shared.lock();
        state.loading.remove(&name);
        if state.boot != boot {
            refuse(StatusCode::SERVICE_UNAVAILABLE, "restarted")
        } else if state.faults.fail_loads > 0 {
            state.faults.fail_loads -= 1;
            refuse(StatusCode::SERVICE_UNAVAILABLE, "load failed")
        } else {
            state.residents.insert(name.clone(), ());
            state.stats.loads += 1;
            Json(json!({ "loaded": name })).into_response()
        }
    };
    answer_order(&shared, response).await
}

#[handler]
async fn unload(
    request: &Request,
    body: Json<AdapterBody>,
    shared: Data<&Arc<SharedEngine>>,
) -> Response {
    let name = body.0.lora_name;
    let response = {
        let mut state = shared.lock();
        if is_stale(&mut state, token_of(request)) {
            return refuse(StatusCode::CONFLICT, "stale fencing token");
        }
        if state.in_flight(&name) > 0 {
            let violation = format!(
                "unload of {name} while it serves {} requests",
                state.in_flight(&name)
            );
            state.stats.violations.push(violation);
            return refuse(StatusCode::CONFLICT, "adapter is serving");
        }
        if state.residents.remove(&name).is_some() {
            state.stats.unloads += 1;
        }
        Json(json!({ "unloaded": name })).into_response()
    };
    answer_order(&shared, response).await
}

#[handler]
async fn fence(request: &Request, shared: Data<&Arc<SharedEngine>>) -> Response {
    let response = {
        let mut state = shared.lock();
        if is_stale(&mut state, token_of(request)) {
            return refuse(StatusCode::CONFLICT, "stale fencing token");
        }
        Json(json!({ "token": state.token })).into_response()
    };
    answer_order(&shared, response).await
}

#[handler]
async fn list(shared: Data<&Arc<SharedEngine>>) -> Response {
    let state = shared.lock();
    let loaded: Vec<_> = state.residents.keys().collect();
    let running: Vec<_> = state
        .running
        .iter()
        .chain(&state.waiting)
        .map(|sequence| &sequence.id)
        .collect();
    Json(json!({ "loaded": loaded, "running": running, "leaving": state.faults.leaving }))
        .into_response()
}

#[handler]
async fn report(shared: Data<&Arc<SharedEngine>>) -> Response {
    let mut state = shared.lock();
    if !state.faults.freeze_report || state.report.is_none() {
        let loaded: Vec<_> = state.residents.keys().cloned().collect();
        let report = json!({ "running": state.running.len(), "waiting": state.waiting.len(), "loaded": loaded });
        state.report = Some(report);
    }
    Json(state.report.clone().unwrap_or_default()).into_response()
}

#[derive(Deserialize)]
struct CancelBody {
    request_id: String,
}

#[handler]
async fn cancel(body: Json<CancelBody>, shared: Data<&Arc<SharedEngine>>) -> Response {
    let id = &body.0.request_id;
    let mut state = shared.lock();
    let before = state.running.len() + state.waiting.len();
    state.running.retain(|sequence| sequence.id != *id);
    state.waiting.retain(|sequence| sequence.id != *id);
    let ended = before - state.running.len() - state.waiting.len();
    state.stats.cancelled += ended as u64;
    if ended > 0
        && let Some(stream) = state.streams.get(id)
    {
        break_stream(stream);
    }
    Json(json!({ "cancelled": ended })).into_response()
}
