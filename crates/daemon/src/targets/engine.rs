//! The engines' wire: OpenAI-compatible HTTP, orders with a fencing header, streams that can be asked for again.

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

/// Time for a connection.
const CONNECT_WITHIN: Duration = Duration::from_secs(2);
/// Time for an order other than a load.
const ORDER_WITHIN: Duration = Duration::from_secs(5);
/// Time for a load.
const LOAD_WITHIN: Duration = Duration::from_secs(30);
/// Time without a byte after which a stream counts as broken.
const SILENT_FOR: Duration = Duration::from_secs(30);
/// Header that names the engine's run.
const BOOT_HEADER: &str = "x-engine-boot";

/// Client of one engine.
#[derive(Clone, Debug)]
pub struct EngineClient {
    http: Client,
    base: String,
}

/// What an engine says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineListing {
    /// Number of its run.
    pub boot: u64,
    /// Loaded adapters.
    pub loaded: Vec<AdapterVersion>,
    /// Names of the streams that run or wait there.
    pub running: Vec<String>,
    /// Whether it is about to leave.
    pub leaving: bool,
}

/// Why an order was not carried out.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OrderError {
    /// The engine refused it for an old fencing token.
    #[error("the target refused the fencing token: another daemon holds it")]
    Stale,
    /// The engine refused it.
    #[error("the target refused the order ({0}): list its adapters before the next one")]
    Refused(String),
    /// No connection was made.
    #[error("the target can't be reached ({0}): try again later")]
    Unreachable(String),
    /// The answer was lost.
    #[error("the answer to the order was lost ({0}): ask the target for its state before going on")]
    Unknown(String),
}

/// Why a request did not start.
#[derive(Debug)]
pub enum SendError {
    /// No connection was made: the request is still unsent.
    NotConnected(RequestCall<Unsent>, String),
    /// The target states that it did not run it.
    Refused(RequestCall<Sent>, String),
    /// The target states that it failed.
    Failed(RequestCall<Sent>, String),
    /// Nobody knows.
    Unknown(RequestCall<Sent>, String),
}

/// One item of an engine's stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamItem {
    /// A token.
    Token {
        /// The model as the engine names it.
        model: String,
        /// Its index.
        offset: u64,
        /// Its text.
        text: String,
        /// Why the answer ends here, if it does.
        finish: Option<String>,
    },
    /// The stream is complete.
    Done,
    /// The stream broke off.
    Broken(String),
}

/// A stream of an engine.
pub struct EngineStream {
    /// The engine's run.
    pub boot: u64,
    items: Pin<Box<dyn Stream<Item = StreamItem> + Send>>,
}

impl EngineStream {
    /// The next item; a silent stream counts as broken.
    pub async fn next(&mut self) -> StreamItem {
        match tokio::time::timeout(SILENT_FOR, self.items.next()).await {
            Ok(Some(item)) => item,
            Ok(None) => StreamItem::Broken("the stream ended without its end mark".to_owned()),
            Err(_) => StreamItem::Broken("the stream fell silent".to_owned()),
        }
    }
}

#[derive(Deserialize)]
struct ListAnswer {
    loaded: Vec<String>,
    running: Vec<String>,
    #[serde(default)]
    leaving: bool,
}

#[derive(Deserialize)]
struct ChunkAnswer {
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
    /// A client of the engine at `address`.
    #[must_use]
    pub fn new(http: &Client, address: &str) -> Self {
        Self {
            http: http.clone(),
            base: format!("http://{address}"),
        }
    }

    /// The HTTP client that all targets share.
    ///
    /// # Panics
    /// Only if the system has no HTTP client to give.
    #[must_use]
    pub fn shared_http() -> Client {
        Client::builder()
            .connect_timeout(CONNECT_WITHIN)
            .pool_max_idle_per_host(256)
            .tcp_nodelay(true)
            .build()
            .expect("a client without TLS needs nothing from the system")
    }

    /// Sends a request; its life goes on as handed over unless no connection was made.
    ///
    /// # Errors
    /// Tells an unsent request from one that the target refused, failed, or may be running.
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
            StatusCode::OK => Ok((call, take_stream(response))),
            StatusCode::NOT_FOUND | StatusCode::CONFLICT | StatusCode::TOO_MANY_REQUESTS => Err(
                Box::new(SendError::Refused(call, error_text(response).await)),
            ),
            _ => Err(Box::new(SendError::Failed(
                call,
                error_text(response).await,
            ))),
        }
    }

    /// Asks for the rest of a stream; runs nothing.
    ///
    /// # Errors
    /// Returns the cause when the stream can't be had.
    pub async fn resume(&self, stream: &str, from: u64) -> Result<EngineStream, String> {
        let url = format!("{}/v1/streams/{stream}?from={from}", self.base);
        let response = self
            .http
            .get(url)
            .send()
            .await
            .map_err(|error| error.to_string())?;
        match response.status() {
            StatusCode::OK => Ok(take_stream(response)),
            status => Err(status.to_string()),
        }
    }

    /// Loads an adapter; repeating it does no harm.
    ///
    /// # Errors
    /// Tells a refusal from a lost answer.
    pub async fn load(
        &self,
        model: &AdapterVersion,
        token: FencingToken,
    ) -> Result<u64, OrderError> {
        let request = self
            .order("/v1/load_lora_adapter", token)
            .json(&json!({ "lora_name": model.to_string() }));
        send_order(request.timeout(LOAD_WITHIN)).await
    }

    /// Unloads an adapter.
    ///
    /// # Errors
    /// Tells a refusal from a lost answer.
    pub async fn unload(
        &self,
        model: &AdapterVersion,
        token: FencingToken,
    ) -> Result<u64, OrderError> {
        let request = self
            .order("/v1/unload_lora_adapter", token)
            .json(&json!({ "lora_name": model.to_string() }));
        send_order(request.timeout(ORDER_WITHIN)).await
    }

    /// Presents a fencing token; older ones are refused once it is acknowledged.
    ///
    /// # Errors
    /// Tells a refusal from a lost answer.
    pub async fn present_token(&self, token: FencingToken) -> Result<u64, OrderError> {
        send_order(self.order("/v1/fence", token).timeout(ORDER_WITHIN)).await
    }

    /// Asks for loaded adapters and running streams.
    ///
    /// # Errors
    /// Returns an error when the engine can't be reached or answers nonsense.
    pub async fn list(&self) -> Result<EngineListing, OrderError> {
        let request = self
            .http
            .get(format!("{}/v1/adapters", self.base))
            .timeout(ORDER_WITHIN);
        let response = request
            .send()
            .await
            .map_err(|error| OrderError::Unreachable(error.to_string()))?;
        let boot = boot_of(&response);
        let answer: ListAnswer = response
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

    /// Cancels a stream.
    pub async fn cancel(&self, stream: &str) {
        let request = self
            .http
            .post(format!("{}/v1/cancel", self.base))
            .json(&json!({ "request_id": stream }));
        // If this is lost the engine works for nobody until the stream ends; nothing else depends on it.
        let _ = request.timeout(ORDER_WITHIN).send().await;
    }

    fn order(&self, path: &str, token: FencingToken) -> RequestBuilder {
        self.http
            .post(format!("{}{path}", self.base))
            .header("x-fencing-token", token.0.0)
    }
}

async fn send_order(request: RequestBuilder) -> Result<u64, OrderError> {
    let response = match request.send().await {
        Ok(response) => response,
        Err(error) if error.is_connect() => return Err(OrderError::Unreachable(error.to_string())),
        Err(error) => return Err(OrderError::Unknown(error.to_string())),
    };
    let boot = boot_of(&response);
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

fn boot_of(response: &Response) -> u64 {
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

fn take_stream(response: Response) -> EngineStream {
    let boot = boot_of(&response);
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
    let parsed: Result<ChunkAnswer, _> = serde_json::from_str(data);
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
