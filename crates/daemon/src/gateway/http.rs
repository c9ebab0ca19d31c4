//! Routes and handlers of the callers' interface.

use crate::{
    app::{AdmissionRequest, AdmissionSubject, AppEvent, AppHandle},
    calls::{CallBuffer, CallWork, SubmitRequest},
    clock,
    gateway::{
        CallerError,
        answer::{streamed_answer, whole_answer},
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

/// What the handlers work with.
pub struct GatewayContext {
    /// The event loop.
    pub app: AppHandle,
    /// The settings.
    pub settings: Arc<Settings>,
    /// Numbers answers, for their ids.
    pub answers: AtomicU64,
}

impl GatewayContext {
    /// Milliseconds that a request may take: the settings' bound, or less if the caller says so.
    pub(super) fn deadline_ms(&self, request: &Request) -> u64 {
        let most = self.settings.limits.max_request_time.as_millis() as u64;
        let asked = request
            .header("x-timeout-ms")
            .and_then(|text| text.parse().ok());
        asked.unwrap_or(most).min(most)
    }

    pub(super) async fn submit(&self, request: SubmitRequest) -> (CallReader, OpenRequest) {
        let open = OpenRequest {
            app: self.app.clone(),
            caller: request.caller.clone(),
        };
        let buffer = CallBuffer::new();
        let reader = CallReader::local(Arc::clone(&buffer));
        self.app
            .notify(AppEvent::Submit(Box::new(request), buffer))
            .await;
        (reader, open)
    }
}

/// Counts a request as open until it is dropped.
pub struct OpenRequest {
    app: AppHandle,
    caller: CallerName,
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        let (app, caller) = (self.app.clone(), self.caller.clone());
        tokio::spawn(async move { app.notify(AppEvent::RequestEnded(caller)).await });
    }
}

/// The routes of callers and operators.
pub fn routes(context: Arc<GatewayContext>) -> impl Endpoint + use<> {
    Route::new()
        .at("/healthz", get(healthz))
        .at("/readyz", get(readyz))
        .at("/v1/models", get(models))
        .at("/v1/completions", post(completions))
        .at("/v1/chat/completions", post(chat_completions))
        .at("/v1/idempotency_tokens", post(issue_token))
        .at("/services/:service/*path", call_service)
        .at("/operators/v1/statements", post(operators::statement))
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
    let bearer = bearer(request);
    let answer = context
        .app
        .request(|reply| AppEvent::ListModels(bearer, reply))
        .await;
    let models = answer.ok_or_else(CallerError::ending)??;
    Ok(Json(models_body(&models)).into_response())
}

#[handler]
async fn issue_token(
    request: &Request,
    context: Data<&Arc<GatewayContext>>,
) -> Result<Response, CallerError> {
    let token = new_token(&context, bearer(request)).await?;
    Ok(Json(json!({ "object": "idempotency_token", "token": token })).into_response())
}

async fn new_token(context: &GatewayContext, bearer: String) -> Result<String, CallerError> {
    let answer = context
        .app
        .request(|reply| AppEvent::IssueToken(bearer, reply))
        .await;
    Ok(answer.ok_or_else(CallerError::ending)??.to_string())
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
        None => class_header(request)?,
    };
    let admit = AdmissionRequest {
        bearer: bearer(request),
        subject: AdmissionSubject::Model(parsed.model.clone()),
        class,
    };
    let answer = context
        .app
        .request(|reply| AppEvent::Admit(admit, reply))
        .await;
    let admission = answer.ok_or_else(CallerError::ending)??;
    let is_streamed = parsed.stream;
    let work = parsed.into_work(admission.resolved.model, interface);
    let prompt_tokens = work.prompt_tokens;
    let submit = SubmitRequest {
        caller: admission.caller,
        class: admission.class,
        rule: admission.resolved.repeatability,
        idempotency: idempotency_header(request),
        deadline_ms: context.deadline_ms(request),
        work: CallWork::Engine(work),
    };
    let gives_token = submit.idempotency.is_some();
    let (reader, open) = context.submit(submit).await;
    let number = context.answers.fetch_add(1, Ordering::Relaxed);
    let id = format!("cmpl-{:x}-{number:x}", clock::wall_ms());
    let mut response = if is_streamed {
        let response = streamed_answer(reader, id, interface).await?;
        keep_open(response, open)
    } else {
        let response = whole_answer(reader, id, interface, prompt_tokens).await?;
        drop(open);
        response
    };
    if gives_token && let Ok(value) = new_token(context, String::new()).await?.parse() {
        response
            .headers_mut()
            .insert("x-hoplanding-next-token", value);
    }
    Ok(response)
}

/// Ties a request's count to the life of its streamed body.
fn keep_open(response: Response, open: OpenRequest) -> Response {
    use futures_util::StreamExt;
    let (parts, body) = response.into_parts();
    let stream = body.into_bytes_stream().map(move |bytes| {
        let _ = &open;
        bytes
    });
    Response::from_parts(parts, Body::from_bytes_stream(stream))
}

pub(super) fn bearer(request: &Request) -> String {
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

pub(super) fn class_header(request: &Request) -> Result<Option<PriorityClass>, CallerError> {
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
