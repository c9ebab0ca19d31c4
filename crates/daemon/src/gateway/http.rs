//! Routes and handlers of the callers' HTTP interface.

use crate::{
    app::{AdmissionRequest, AdmissionSubject, AppEvent, AppHandle},
    calls::{CallBuffer, CallWork, SubmitRequest},
    clock,
    gateway::{
        CallerError,
        answer::{buffered_answer, streamed_answer},
        body::{EngineInterface, models_body, parse_engine_body, read_body},
        services::call_service,
    },
    operators,
    options::Settings,
    peers::CallReader,
};
use hoplanding_core::ids::{CallerName, PriorityClass};
use poem::{
    Body, Endpoint, EndpointExt, IntoResponse, Request, Response, Route, get, handler,
    http::StatusCode,
    post,
    web::{Data, Json},
};
use serde_json::json;
use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

/// State shared by the handlers.
pub struct GatewayContext {
    /// Handle to the event loop.
    pub app: AppHandle,
    /// Settings of the daemon.
    pub settings: Arc<Settings>,
    /// Counter for the ids of engine answers.
    pub next_answer_number: AtomicU64,
}

impl GatewayContext {
    /// Returns the time limit of a request in milliseconds: the configured limit, or less if `x-timeout-ms` asks for it.
    pub(super) fn deadline_ms(&self, request: &Request) -> u64 {
        let max_ms = self.settings.limits.max_request_time.as_millis() as u64;
        let requested_ms = request
            .header("x-timeout-ms")
            .and_then(|text| text.parse().ok());
        requested_ms.unwrap_or(max_ms).min(max_ms)
    }

    pub(super) async fn submit(&self, request: SubmitRequest) -> (CallReader, OpenRequestGuard) {
        let guard = OpenRequestGuard {
            app: self.app.clone(),
            caller: request.caller.clone(),
        };
        let buffer = CallBuffer::new();
        let reader = CallReader::local(Arc::clone(&buffer));
        self.app
            .notify(AppEvent::Submit(Box::new(request), buffer))
            .await;
        (reader, guard)
    }
}

/// Guard that counts a request as open until it is dropped.
pub struct OpenRequestGuard {
    app: AppHandle,
    caller: CallerName,
}

impl Drop for OpenRequestGuard {
    fn drop(&mut self) {
        let (app, caller) = (self.app.clone(), self.caller.clone());
        tokio::spawn(async move { app.notify(AppEvent::RequestEnded(caller)).await });
    }
}

/// Builds the routes for callers and operators.
pub fn routes(context: Arc<GatewayContext>) -> impl Endpoint + use<> {
    Route::new()
        .at("/healthz", get(healthz))
        .at("/readyz", get(readyz))
        .at("/v1/models", get(models))
        .at("/v1/completions", post(completions))
        .at("/v1/chat/completions", post(chat_completions))
        .at("/v1/idempotency_tokens", post(issue_token))
        .at("/services/:service/*path", call_service)
        .at("/operators/v1/statements", post(operators::handle_statement))
        .data(context)
        .catch_error(|_: poem::error::NotFoundError| async {
            CallerError::invalid(
                StatusCode::NOT_FOUND,
                "unknown_path",
                "no such path: use /v1/completions, /v1/chat/completions, /v1/models or /services/NAME/...",
            )
        })
        .catch_error(|_: poem::error::MethodNotAllowedError| async {
            CallerError::invalid(StatusCode::METHOD_NOT_ALLOWED, "wrong_method", "the path does not take this method")
        })
}

#[handler]
async fn healthz() -> &'static str {
    "ok"
}

#[handler]
async fn readyz(context: Data<&Arc<GatewayContext>>) -> Response {
    match context.app.request(AppEvent::IsReady).await {
        Some(true) => "ready".into_response(),
        _ => "not ready"
            .with_status(StatusCode::SERVICE_UNAVAILABLE)
            .into_response(),
    }
}

#[handler]
async fn models(
    request: &Request,
    context: Data<&Arc<GatewayContext>>,
) -> Result<Response, CallerError> {
    let bearer_token = bearer_token(request);
    let answer = context
        .app
        .request(|reply| AppEvent::ListModels(bearer_token, reply))
        .await;
    let models = answer.ok_or_else(CallerError::stopping)??;
    Ok(Json(models_body(&models)).into_response())
}

#[handler]
async fn issue_token(
    request: &Request,
    context: Data<&Arc<GatewayContext>>,
) -> Result<Response, CallerError> {
    let token = new_token(&context, bearer_token(request)).await?;
    Ok(Json(json!({ "object": "idempotency_token", "token": token })).into_response())
}

async fn new_token(context: &GatewayContext, bearer_token: String) -> Result<String, CallerError> {
    let answer = context
        .app
        .request(|reply| AppEvent::IssueToken(bearer_token, reply))
        .await;
    Ok(answer.ok_or_else(CallerError::stopping)??.to_string())
}

#[handler]
async fn completions(
    request: &Request,
    body: Body,
    context: Data<&Arc<GatewayContext>>,
) -> Result<Response, CallerError> {
    complete(request, body, &context, EngineInterface::Completions).await
}

#[handler]
async fn chat_completions(
    request: &Request,
    body: Body,
    context: Data<&Arc<GatewayContext>>,
) -> Result<Response, CallerError> {
    complete(request, body, &context, EngineInterface::Chat).await
}

async fn complete(
    request: &Request,
    body: Body,
    context: &GatewayContext,
    interface: EngineInterface,
) -> Result<Response, CallerError> {
    let limits = &context.settings.limits;
    let bytes = read_body(body, limits.max_body_bytes, limits.body_timeout).await?;
    let parsed = parse_engine_body(&bytes, interface)?;
    let class = match parsed.class {
        Some(class) => Some(class),
        None => priority_header(request)?,
    };
    let admission_request = AdmissionRequest {
        bearer: bearer_token(request),
        subject: AdmissionSubject::Model(parsed.model.clone()),
        class,
    };
    let answer = context
        .app
        .request(|reply| AppEvent::Admit(admission_request, reply))
        .await;
    let admission = answer.ok_or_else(CallerError::stopping)??;
    let is_streamed = parsed.stream;
    let work = parsed.into_work(admission.resolved.model, interface);
    let prompt_tokens = work.prompt_tokens;
    let submit = SubmitRequest {
        caller: admission.caller,
        class: admission.class,
        repeatability: admission.resolved.repeatability,
        idempotency: idempotency_header(request),
        deadline_ms: context.deadline_ms(request),
        work: CallWork::Engine(work),
    };
    let issues_next_token = submit.idempotency.is_some();
    let (reader, guard) = context.submit(submit).await;
    let number = context.next_answer_number.fetch_add(1, Ordering::Relaxed);
    let id = format!("cmpl-{:x}-{number:x}", clock::wall_ms());
    let mut response = if is_streamed {
        let response = streamed_answer(reader, id, interface).await?;
        attach_guard(response, guard)
    } else {
        let response = buffered_answer(reader, id, interface, prompt_tokens).await?;
        drop(guard);
        response
    };
    if issues_next_token && let Ok(value) = new_token(context, String::new()).await?.parse() {
        response
            .headers_mut()
            .insert("x-hoplanding-next-token", value);
    }
    Ok(response)
}

/// Keeps the guard of an open request until its streamed body is dropped.
fn attach_guard(response: Response, guard: OpenRequestGuard) -> Response {
    use futures_util::StreamExt;
    let (parts, body) = response.into_parts();
    let stream = body.into_bytes_stream().map(move |bytes| {
        let _ = &guard;
        bytes
    });
    Response::from_parts(parts, Body::from_bytes_stream(stream))
}

pub(super) fn bearer_token(request: &Request) -> String {
    let header = request.header("authorization").unwrap_or_default();
    header
        .strip_prefix("Bearer ")
        .unwrap_or_default()
        .trim()
        .to_owned()
}

pub(super) fn idempotency_header(request: &Request) -> Option<String> {
    request
        .header("idempotency-key")
        .map(str::to_owned)
        .filter(|key| !key.is_empty())
}

pub(super) fn priority_header(request: &Request) -> Result<Option<PriorityClass>, CallerError> {
    let Some(text) = request.header("x-priority") else {
        return Ok(None);
    };
    let class = PriorityClass::parse(text).ok_or_else(|| {
        CallerError::invalid(
            StatusCode::BAD_REQUEST,
            "wrong_priority",
            "`x-priority` should be urgent, normal or batch",
        )
    })?;
    Ok(Some(class))
}
