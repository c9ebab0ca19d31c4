//! HTTP interface of the simulated engine: completions with resumable event streams, adapter orders with fencing
//! tokens, and the reports.
//!
//! When a fault loses the response to an order, the order still takes effect and its client is kept waiting.

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

/// How long the client of a lost response is kept waiting.
const LOST_RESPONSE_DELAY: Duration = Duration::from_secs(30);
/// Tokens sent on a stream before an injected break.
const BREAK_AFTER_TOKENS: usize = 3;
/// Tokens generated when a request has no `max_tokens`.
const DEFAULT_MAX_TOKENS: usize = 16;

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

fn fencing_token(request: &Request) -> Option<u64> {
    request.header("x-fencing-token")?.parse().ok()
}

/// Whether a fencing token is older than the highest one received, which a newer token replaces.
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
    let token = fencing_token(request);
    let id = request
        .header("x-request-id")
        .unwrap_or_default()
        .to_owned();
    let started = start_sequence(&mut shared.lock(), &id, token, &body);
    match started {
        Err(response) => *response,
        Ok((_, StreamFault::Malformed)) => {
            shared.work_available.notify_one();
            "this is no stream of events".into_response()
        }
        Ok((handle, fault)) => {
            shared.work_available.notify_one();
            let reported_model = match fault {
                StreamFault::WrongModel => "another@v0".to_owned(),
                _ => handle.model.clone(),
            };
            let breaks_early = fault == StreamFault::Break;
            SSE::new(events(handle, 0, reported_model, breaks_early)).into_response()
        }
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum StreamFault {
    None,
    Break,
    WrongModel,
    Malformed,
}

fn take_fault(state: &mut EngineState) -> StreamFault {
    let faults = &mut state.faults;
    let counters = [
        (&mut faults.break_streams, StreamFault::Break),
        (&mut faults.wrong_model_responses, StreamFault::WrongModel),
        (&mut faults.malformed_responses, StreamFault::Malformed),
    ];
    for (remaining, fault) in counters {
        if *remaining > 0 {
            *remaining -= 1;
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
    if !state.loaded_adapters.contains_key(&body.model) {
        state.stats.refused_not_loaded += 1;
        return Err(Box::new(refuse(
            StatusCode::NOT_FOUND,
            "adapter not loaded",
        )));
    }
    if !id.is_empty() && !state.seen_request_ids.insert(id.to_owned()) {
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
        changed: Notify::new(),
        model: body.model.clone(),
    });
    state.retain_stream(id, &stream);
    let prompt = body.prompt_text();
    state.waiting.push_back(Sequence {
        id: id.to_owned(),
        model: body.model.clone(),
        remaining_prefill: prompt.len() / 4,
        prompt,
        max_tokens: body.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS).max(1),
        generated_tokens: 0,
        priority: body.priority,
        arrival: state.arrivals,
        stream: Arc::clone(&stream),
    });
    Ok((stream, take_fault(state)))
}

struct EventCursor {
    handle: Arc<StreamHandle>,
    next: usize,
    model: String,
    breaks_early: bool,
    queued_events: VecDeque<Event>,
    is_ended: bool,
}

fn events(
    handle: Arc<StreamHandle>,
    from: usize,
    model: String,
    breaks_early: bool,
) -> impl Stream<Item = Event> + use<> {
    let cursor = EventCursor {
        handle,
        next: from,
        model,
        breaks_early,
        queued_events: VecDeque::new(),
        is_ended: false,
    };
    stream::unfold(cursor, |mut cursor| async move {
        loop {
            if let Some(event) = cursor.queued_events.pop_front() {
                return Some((event, cursor));
            }
            if cursor.is_ended {
                return None;
            }
            let handle = Arc::clone(&cursor.handle);
            let changed = handle.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            if !cursor.queue_new_events() {
                changed.await;
            }
        }
    })
    .boxed()
}

impl EventCursor {
    /// Queues events for the tokens generated since the last call; false if there are none and the stream continues.
    fn queue_new_events(&mut self) -> bool {
        let buffer = self
            .handle
            .buffer
            .lock()
            .expect("no thread panics while it holds the lock");
        let end = if self.breaks_early {
            buffer.tokens.len().min(BREAK_AFTER_TOKENS)
        } else {
            buffer.tokens.len()
        };
        for index in self.next..end {
            let is_last = buffer.done && index + 1 == buffer.tokens.len();
            self.queued_events.push_back(Event::message(chunk_json(
                &self.model,
                index,
                &buffer.tokens[index],
                is_last,
            )));
        }
        self.next = self.next.max(end);
        if self.breaks_early && end >= BREAK_AFTER_TOKENS {
            self.is_ended = true;
        } else if buffer.done {
            self.queued_events.push_back(Event::message("[DONE]"));
            self.is_ended = true;
        } else if buffer.broken {
            self.is_ended = true;
        }
        self.is_ended || !self.queued_events.is_empty()
    }
}

fn chunk_json(model: &str, offset: usize, text: &str, is_last: bool) -> String {
    let finish_reason = if is_last {
        json!("length")
    } else {
        Value::Null
    };
    let choice = json!({ "index": 0, "text": text, "finish_reason": finish_reason });
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

/// Returns the response to an order after the delay that the injected faults require.
async fn delay_order_response(shared: &SharedEngine, response: Response) -> Response {
    let (delay, is_lost) = {
        let mut state = shared.lock();
        let is_lost = state.faults.lost_order_responses > 0;
        state.faults.lost_order_responses = state.faults.lost_order_responses.saturating_sub(1);
        (state.faults.order_delay, is_lost)
    };
    tokio::time::sleep(if is_lost { LOST_RESPONSE_DELAY } else { delay }).await;
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
        if is_stale(&mut state, fencing_token(request)) {
            return refuse(StatusCode::CONFLICT, "stale fencing token");
        }
        if state.loaded_adapters.contains_key(&name) {
            return Json(json!({ "loaded": name })).into_response();
        }
        if state.loaded_adapters.len() + state.loading.len() >= state.model.slots {
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
            state.loaded_adapters.insert(name.clone(), ());
            state.stats.loads += 1;
            Json(json!({ "loaded": name })).into_response()
        }
    };
    delay_order_response(&shared, response).await
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
        if is_stale(&mut state, fencing_token(request)) {
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
        if state.loaded_adapters.remove(&name).is_some() {
            state.stats.unloads += 1;
        }
        Json(json!({ "unloaded": name })).into_response()
    };
    delay_order_response(&shared, response).await
}

#[handler]
async fn fence(request: &Request, shared: Data<&Arc<SharedEngine>>) -> Response {
    let response = {
        let mut state = shared.lock();
        if is_stale(&mut state, fencing_token(request)) {
            return refuse(StatusCode::CONFLICT, "stale fencing token");
        }
        Json(json!({ "token": state.token })).into_response()
    };
    delay_order_response(&shared, response).await
}

#[handler]
async fn list(shared: Data<&Arc<SharedEngine>>) -> Response {
    let state = shared.lock();
    let loaded: Vec<_> = state.loaded_adapters.keys().collect();
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
        let loaded: Vec<_> = state.loaded_adapters.keys().cloned().collect();
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
    let cancelled = before - state.running.len() - state.waiting.len();
    state.stats.cancelled += cancelled as u64;
    if cancelled > 0
        && let Some(stream) = state.streams.get(id)
    {
        break_stream(stream);
    }
    Json(json!({ "cancelled": cancelled })).into_response()
}
