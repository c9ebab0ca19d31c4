//! HTTP protocol of the model engines.
//!
//! Requests use the OpenAI-compatible interface. Orders (load, unload, fence) carry a fencing token in a header, so that
//! an engine can refuse a daemon that no longer holds it. A broken stream can be resumed from a given token.

use crate::calls::EngineWork;
use bytes::Bytes;
use eventsource_stream::Eventsource;
use futures_util::{Stream, StreamExt};
use hoplanding_core::{
    ids::{AdapterVersion, FencingToken, PriorityClass},
    request::{RequestCall, Sent, Unsent},
};
use reqwest::{Client, RequestBuilder, Response, StatusCode, header::CONTENT_TYPE};
use serde::Deserialize;
use serde_json::{Value, json};
use std::{pin::Pin, time::Duration};

/// Time limit for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Time limit for an order other than a load.
const ORDER_TIMEOUT: Duration = Duration::from_secs(5);
/// Time limit for an adapter load.
const LOAD_TIMEOUT: Duration = Duration::from_secs(30);
/// Time without an event after which a stream counts as broken.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Response header with the number of the engine's run.
const BOOT_HEADER: &str = "x-engine-boot";

/// Client of one engine.
#[derive(Clone, Debug)]
pub struct EngineClient {
    http: Client,
    base_url: String,
}

/// State reported by an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineListing {
    /// Number of the engine's run; changes with each restart.
    pub boot: u64,
    /// Loaded adapters.
    pub loaded: Vec<AdapterVersion>,
    /// Names of the streams that run or wait at the engine.
    pub running: Vec<String>,
    /// Whether the engine is about to stop.
    pub leaving: bool,
}

/// Why an order was not executed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OrderError {
    /// The engine refused the fencing token because it has seen a newer one.
    #[error("the target refused the fencing token: another daemon holds it")]
    Stale,
    /// The engine refused the order.
    #[error("the target refused the order ({0}): list its adapters before the next one")]
    Refused(String),
    /// No connection was made.
    #[error("the target can't be reached ({0}): try again later")]
    Unreachable(String),
    /// The answer was lost, so the order may have taken effect.
    #[error("the answer to the order was lost ({0}): ask the target for its state before going on")]
    Unknown(String),
}

/// Why a request did not start.
#[derive(Debug)]
pub enum SendError {
    /// No connection was made: the request is still unsent.
    NotConnected(RequestCall<Unsent>, String),
    /// The target reports that it did not run the request.
    Refused(RequestCall<Sent>, String),
    /// The target reports that the request failed.
    Failed(RequestCall<Sent>, String),
    /// The answer was lost; the request may be running.
    Unknown(RequestCall<Sent>, String),
}

/// Item of an engine's stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamItem {
    /// One token of the answer.
    Token {
        /// Model name as reported by the engine.
        model: String,
        /// Index of the token in the answer, from zero.
        offset: u64,
        /// Text of the token.
        text: String,
        /// Finish reason, on the last token.
        finish: Option<String>,
    },
    /// The stream is complete.
    Done,
    /// The stream was interrupted, for the given cause.
    Broken(String),
}

/// Open answer stream of an engine.
pub struct EngineStream {
    /// Number of the engine's run.
    pub boot: u64,
    items: Pin<Box<dyn Stream<Item = StreamItem> + Send>>,
}

impl EngineStream {
    /// Waits for the next item; after 30 s without one the stream counts as broken.
    pub async fn next(&mut self) -> StreamItem {
        match tokio::time::timeout(IDLE_TIMEOUT, self.items.next()).await {
            Ok(Some(item)) => item,
            Ok(None) => StreamItem::Broken("the stream ended without its end mark".to_owned()),
            Err(_) => StreamItem::Broken("the stream fell silent".to_owned()),
        }
    }
}

#[derive(Deserialize)]
struct ListResponse {
    loaded: Vec<String>,
    running: Vec<String>,
    #[serde(default)]
    leaving: bool,
}

#[derive(Deserialize)]
struct ChunkEvent {
    model: String,
    offset: u64,
    choices: Vec<ChunkChoice>,
}

#[derive(Deserialize)]
struct ChunkChoice {
    #[serde(default)]
    text: String,
    #[serde(default)]
    finish_reason: Option<String>,
}

impl EngineClient {
    /// Creates a client of the engine at `address` (`IP:port`).
    #[must_use]
    pub fn new(http: &Client, address: &str) -> Self {
        Self {
            http: http.clone(),
            base_url: format!("http://{address}"),
        }
    }

    /// Creates the HTTP client shared by all targets.
    ///
    /// # Panics
    /// Panics if the HTTP client can't be built.
    #[must_use]
    pub fn shared_http() -> Client {
        Client::builder()
            .connect_timeout(CONNECT_TIMEOUT)
            .pool_max_idle_per_host(256)
            .tcp_nodelay(true)
            .build()
            .expect("a client without TLS needs nothing from the system")
    }

    /// Sends a request. It counts as sent unless no connection was made.
    ///
    /// # Errors
    /// Distinguishes a request that was not sent from one that the target refused, failed or may be running.
    pub async fn start(
        &self,
        call: RequestCall<Unsent>,
        stream: &str,
        token: FencingToken,
        class: PriorityClass,
        work: &EngineWork,
    ) -> Result<(RequestCall<Sent>, EngineStream), Box<SendError>> {
        let path = if work.chat {
            "/v1/chat/completions"
        } else {
            "/v1/completions"
        };
        let request = self
            .order(path, token)
            .header("x-request-id", stream)
            .header(CONTENT_TYPE, "application/json");
        let sent = request.body(engine_body(work, class)).send().await;
        let response = match sent {
            Err(error) if error.is_connect() => {
                return Err(Box::new(SendError::NotConnected(call, error.to_string())));
            }
            Err(error) => {
                return Err(Box::new(SendError::Unknown(
                    call.mark_sent(),
                    error.to_string(),
                )));
            }
            Ok(response) => response,
        };
        let call = call.mark_sent();
        match response.status() {
            StatusCode::OK => Ok((call, open_stream(response))),
            StatusCode::NOT_FOUND | StatusCode::CONFLICT | StatusCode::TOO_MANY_REQUESTS => Err(
                Box::new(SendError::Refused(call, error_text(response).await)),
            ),
            _ => Err(Box::new(SendError::Failed(
                call,
                error_text(response).await,
            ))),
        }
    }

    /// Requests the rest of a stream from token `from` on; does not run anything.
    ///
    /// # Errors
    /// Returns the cause if the stream can't be resumed; it starts with the HTTP status if there is one.
    pub async fn resume(&self, stream: &str, from: u64) -> Result<EngineStream, String> {
        let url = format!("{}/v1/streams/{stream}?from={from}", self.base_url);
        let response = self
            .http
            .get(url)
            .send()
            .await
            .map_err(|error| error.to_string())?;
        match response.status() {
            StatusCode::OK => Ok(open_stream(response)),
            status => Err(status.to_string()),
        }
    }

    /// Loads an adapter (idempotent); returns the number of the engine's run.
    ///
    /// # Errors
    /// Distinguishes a refusal from a lost answer.
    pub async fn load(
        &self,
        model: &AdapterVersion,
        token: FencingToken,
    ) -> Result<u64, OrderError> {
        let request = self
            .order("/v1/load_lora_adapter", token)
            .json(&json!({ "lora_name": model.to_string() }));
        send_order(request.timeout(LOAD_TIMEOUT)).await
    }

    /// Unloads an adapter; returns the number of the engine's run.
    ///
    /// # Errors
    /// Distinguishes a refusal from a lost answer.
    pub async fn unload(
        &self,
        model: &AdapterVersion,
        token: FencingToken,
    ) -> Result<u64, OrderError> {
        let request = self
            .order("/v1/unload_lora_adapter", token)
            .json(&json!({ "lora_name": model.to_string() }));
        send_order(request.timeout(ORDER_TIMEOUT)).await
    }

    /// Presents a fencing token; once acknowledged, the engine refuses older tokens.
    ///
    /// # Errors
    /// Distinguishes a refusal from a lost answer.
    pub async fn present_token(&self, token: FencingToken) -> Result<u64, OrderError> {
        send_order(self.order("/v1/fence", token).timeout(ORDER_TIMEOUT)).await
    }

    /// Lists loaded adapters and running streams.
    ///
    /// # Errors
    /// Returns an error if the engine can't be reached or its answer can't be parsed.
    pub async fn list(&self) -> Result<EngineListing, OrderError> {
        let request = self
            .http
            .get(format!("{}/v1/adapters", self.base_url))
            .timeout(ORDER_TIMEOUT);
        let response = request
            .send()
            .await
            .map_err(|error| OrderError::Unreachable(error.to_string()))?;
        let boot = boot_number(&response);
        let answer: ListResponse = response
            .json()
            .await
            .map_err(|error| OrderError::Refused(error.to_string()))?;
        Ok(EngineListing {
            boot,
            loaded: answer
                .loaded
                .iter()
                .filter_map(|name| AdapterVersion::parse(name))
                .collect(),
            running: answer.running,
            leaving: answer.leaving,
        })
    }

    /// Cancels a stream; failures are ignored.
    pub async fn cancel(&self, stream: &str) {
        let request = self
            .http
            .post(format!("{}/v1/cancel", self.base_url))
            .json(&json!({ "request_id": stream }));
        // If the cancellation is lost, the engine only wastes work until the stream ends.
        let _ = request.timeout(ORDER_TIMEOUT).send().await;
    }

    fn order(&self, path: &str, token: FencingToken) -> RequestBuilder {
        self.http
            .post(format!("{}{path}", self.base_url))
            .header("x-fencing-token", token.0.0)
    }
}

async fn send_order(request: RequestBuilder) -> Result<u64, OrderError> {
    let response = match request.send().await {
        Ok(response) => response,
        Err(error) if error.is_connect() => return Err(OrderError::Unreachable(error.to_string())),
        Err(error) => return Err(OrderError::Unknown(error.to_string())),
    };
    let boot = boot_number(&response);
    match response.status() {
        StatusCode::OK => Ok(boot),
        StatusCode::CONFLICT => {
            let text = error_text(response).await;
            Err(if text.contains("fencing") {
                OrderError::Stale
            } else {
                OrderError::Refused(text)
            })
        }
        _ => Err(OrderError::Refused(error_text(response).await)),
    }
}

fn boot_number(response: &Response) -> u64 {
    let header = response.headers().get(BOOT_HEADER);
    header
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse().ok())
        .unwrap_or(0)
}

async fn error_text(response: Response) -> String {
    let status = response.status();
    let body: Value = response.json().await.unwrap_or_default();
    match body["error"]["message"].as_str() {
        Some(message) => format!("{status}: {message}"),
        None => status.to_string(),
    }
}

fn engine_body(work: &EngineWork, class: PriorityClass) -> String {
    let mut body: Value = serde_json::from_str(&work.body).unwrap_or_else(|_| json!({}));
    body["model"] = json!(work.model.to_string());
    body["stream"] = json!(true);
    body["priority"] = json!(class.index());
    body["max_tokens"] = json!(work.output_tokens);
    body.to_string()
}

fn open_stream(response: Response) -> EngineStream {
    let boot = boot_number(&response);
    let events = response
        .bytes_stream()
        .map(|bytes: reqwest::Result<Bytes>| bytes)
        .eventsource();
    let items = events.map(|event| match event {
        Ok(event) if event.data == "[DONE]" => StreamItem::Done,
        Ok(event) => parse_chunk(&event.data),
        Err(error) => StreamItem::Broken(error.to_string()),
    });
    EngineStream {
        boot,
        items: Box::pin(items),
    }
}

fn parse_chunk(data: &str) -> StreamItem {
    let parsed: Result<ChunkEvent, _> = serde_json::from_str(data);
    let Ok(mut chunk) = parsed else {
        return StreamItem::Broken("the target sent an event that is no chunk".to_owned());
    };
    match chunk.choices.pop() {
        Some(choice) => StreamItem::Token {
            model: chunk.model,
            offset: chunk.offset,
            text: choice.text,
            finish: choice.finish_reason,
        },
        None => StreamItem::Broken("the target sent a chunk without a choice".to_owned()),
    }
}
