//! HTTP client that sends requests as a caller or operator and records the answers.

use eventsource_stream::Eventsource;
use futures_util::StreamExt;
use reqwest::{Client, Response, StatusCode};
use serde_json::{Value, json};
use std::time::{Duration, Instant};

/// Timeout of one request, including its answer.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);

/// Parameters of one completion request.
#[derive(Clone, Debug)]
pub struct CompletionCall {
    /// Model name, with or without version.
    pub model: String,
    /// Prompt text.
    pub prompt: String,
    /// Number of tokens to generate.
    pub tokens: usize,
    /// Whether the answer is streamed.
    pub stream: bool,
}

/// Answer to one request, or what is known of its failure.
#[derive(Clone, Debug, Default)]
pub struct CallResult {
    /// HTTP status; 0 if there was no answer.
    pub status: u16,
    /// Answer text received.
    pub text: String,
    /// Model that the response header names.
    pub model: String,
    /// Target that the response header names.
    pub target: String,
    /// Whether the whole answer arrived; a stream must also have ended with its end marker.
    pub is_complete: bool,
    /// Error code, if the request failed.
    pub error: Option<String>,
    /// Error message; empty if there is none.
    pub message: String,
    /// Whether the response has a `retry-after` header.
    pub has_retry_after: bool,
    /// Time from the request to the first token, or to the whole answer if it was not streamed.
    pub time_to_first_token: Duration,
    /// Time from the request to the end of the answer.
    pub total_time: Duration,
    /// Time that the request waited for an adapter load, as the response header states, in milliseconds.
    pub load_stall_ms: u64,
}

/// Client of one daemon.
#[derive(Clone, Debug)]
pub struct CallerClient {
    http: Client,
    base: String,
    token: String,
}

impl CallerClient {
    /// Creates a client with a base URL and bearer token.
    ///
    /// # Panics
    /// Panics if the HTTP client can't be built.
    #[must_use]
    pub fn new(base: &str, token: &str) -> Self {
        let http = Client::builder()
            .timeout(REQUEST_TIMEOUT)
            .build()
            .expect("an HTTP client without TLS can be built");
        Self {
            http,
            base: base.to_owned(),
            token: token.to_owned(),
        }
    }

    /// Creates a client for another daemon or token that shares the connection pool.
    #[must_use]
    pub fn with_endpoint(&self, base: &str, token: &str) -> Self {
        Self {
            http: self.http.clone(),
            base: base.to_owned(),
            token: token.to_owned(),
        }
    }

    /// Requests a completion and reads the answer to its end.
    pub async fn complete(&self, call: &CompletionCall) -> CallResult {
        let body = json!({ "model": call.model, "prompt": call.prompt, "max_tokens": call.tokens, "stream": call.stream });
        let started_at = Instant::now();
        let sent = self.post("/v1/completions").json(&body).send().await;
        let Ok(response) = sent else {
            return CallResult::default();
        };
        let mut result = result_from_headers(&response);
        if response.status() != StatusCode::OK {
            return add_error(result, response).await;
        }
        if call.stream {
            read_stream(response, started_at, &mut result).await;
        } else {
            let body: Value = response.json().await.unwrap_or_default();
            result.time_to_first_token = started_at.elapsed();
            result.text = body["choices"][0]["text"]
                .as_str()
                .unwrap_or_default()
                .to_owned();
            result.is_complete = body["choices"][0]["finish_reason"].is_string();
        }
        result.total_time = started_at.elapsed();
        result
    }

    /// Posts a scan to the service `ledger`, with an idempotency key if one is given.
    pub async fn post_scan(&self, body: &str, key: Option<&str>) -> CallResult {
        let started_at = Instant::now();
        let mut request = self.post("/services/ledger/scans").body(body.to_owned());
        if let Some(key) = key {
            request = request.header("idempotency-key", key);
        }
        let Ok(response) = request.send().await else {
            return CallResult::default();
        };
        let mut result = result_from_headers(&response);
        if response.status() != StatusCode::OK {
            return add_error(result, response).await;
        }
        match response.text().await {
            Ok(text) => {
                result.text = text;
                result.is_complete = true;
            }
            Err(error) => result.message = error.to_string(),
        }
        result.total_time = started_at.elapsed();
        result
    }

    /// Requests an idempotency token; `None` if none was issued.
    pub async fn issue_token(&self) -> Option<String> {
        let response = self.post("/v1/idempotency_tokens").send().await.ok()?;
        let body: Value = response.json().await.ok()?;
        body["token"].as_str().map(str::to_owned)
    }

    /// Sends an operator's statement and returns the JSON answer.
    ///
    /// # Errors
    /// Returns the daemon's error message, or that of the HTTP client.
    pub async fn execute_statement(&self, text: &str) -> Result<Value, String> {
        let request = self.post("/operators/v1/statements").body(text.to_owned());
        let response = request.send().await.map_err(|error| error.to_string())?;
        let is_ok = response.status().is_success();
        let body: Value = response.json().await.map_err(|error| error.to_string())?;
        if is_ok {
            Ok(body)
        } else {
            Err(body["error"]["message"]
                .as_str()
                .unwrap_or("no message")
                .to_owned())
        }
    }

    /// Starts a POST request with the bearer token; the body is left to the calling code.
    pub fn post(&self, path: &str) -> reqwest::RequestBuilder {
        self.http
            .post(format!("{}{path}", self.base))
            .bearer_auth(&self.token)
    }

    /// Sends a GET request; returns status and body, or status 0 if there was no answer.
    pub async fn get(&self, path: &str) -> (u16, String) {
        let sent = self
            .http
            .get(format!("{}{path}", self.base))
            .bearer_auth(&self.token)
            .send()
            .await;
        match sent {
            Ok(response) => (
                response.status().as_u16(),
                response.text().await.unwrap_or_default(),
            ),
            Err(_) => (0, String::new()),
        }
    }
}

fn result_from_headers(response: &Response) -> CallResult {
    let header = |name: &str| {
        response
            .headers()
            .get(name)
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
            .to_owned()
    };
    CallResult {
        status: response.status().as_u16(),
        model: header("x-hoplanding-model"),
        target: header("x-hoplanding-target"),
        load_stall_ms: header("x-hoplanding-load-stall-ms").parse().unwrap_or(0),
        has_retry_after: response.headers().contains_key("retry-after"),
        ..CallResult::default()
    }
}

async fn add_error(mut result: CallResult, response: Response) -> CallResult {
    let body: Value = response.json().await.unwrap_or_default();
    result.error = body["error"]["code"].as_str().map(str::to_owned);
    result.message = body["error"]["message"]
        .as_str()
        .unwrap_or_default()
        .to_owned();
    result
}

async fn read_stream(response: Response, started_at: Instant, result: &mut CallResult) {
    let mut events = response.bytes_stream().eventsource();
    while let Some(Ok(event)) = events.next().await {
        if event.data == "[DONE]" {
            result.is_complete = true;
            return;
        }
        let chunk: Value = serde_json::from_str(&event.data).unwrap_or_default();
        if let Some(code) = chunk["error"]["code"].as_str() {
            result.error = Some(code.to_owned());
            result.message = chunk["error"]["message"]
                .as_str()
                .unwrap_or_default()
                .to_owned();
            return;
        }
        if result.text.is_empty() {
            result.time_to_first_token = started_at.elapsed();
        }
        result
            .text
            .push_str(chunk["choices"][0]["text"].as_str().unwrap_or_default());
    }
}
