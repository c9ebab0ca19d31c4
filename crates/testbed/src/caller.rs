//! A caller: sends requests and says what came back.

use eventsource_stream::Eventsource;
use futures_util::StreamExt;
use reqwest::{Client, Response, StatusCode};
use serde_json::{Value, json};
use std::time::{Duration, Instant};

/// Time after which a caller gives up.
const PATIENCE: Duration = Duration::from_secs(30);

/// One completion to ask for.
#[derive(Clone, Debug)]
pub struct CompletionCall {
    /// Model as named, with or without version.
    pub model: String,
    /// The prompt.
    pub prompt: String,
    /// Tokens.
    pub tokens: usize,
    /// Whether the answer is streamed.
    pub stream: bool,
}

/// What came back.
#[derive(Clone, Debug, Default)]
pub struct CallResult {
    /// HTTP status; zero if there was no answer.
    pub status: u16,
    /// The text.
    pub text: String,
    /// Model that the response names.
    pub model: String,
    /// Target that the response names.
    pub target: String,
    /// Whether a streamed answer ended as complete, or a whole one came.
    pub is_complete: bool,
    /// Code of the error, if there was one.
    pub error: Option<String>,
    /// Message of the error.
    pub message: String,
    /// Whether the response said when to come back.
    pub has_retry_after: bool,
    /// Time to the first token.
    pub time_to_first_token: Duration,
    /// Time to the end.
    pub total_time: Duration,
    /// Load stall that the response names, in milliseconds.
    pub load_stall_ms: u64,
}

/// A caller that talks to one daemon.
#[derive(Clone, Debug)]
pub struct CallerClient {
    http: Client,
    base: String,
    token: String,
}

impl CallerClient {
    /// A caller with a bearer token.
    ///
    /// # Panics
    /// Only if the system has no HTTP client to give.
    #[must_use]
    pub fn new(base: &str, token: &str) -> Self {
        let http = Client::builder()
            .timeout(PATIENCE)
            .build()
            .expect("a client without TLS needs nothing");
        Self {
            http,
            base: base.to_owned(),
            token: token.to_owned(),
        }
    }

    /// The same caller at another daemon or with another token, sharing its connections.
    #[must_use]
    pub fn with_endpoint(&self, base: &str, token: &str) -> Self {
        Self {
            http: self.http.clone(),
            base: base.to_owned(),
            token: token.to_owned(),
        }
    }

    /// Asks for a completion.
    pub async fn complete(&self, call: &CompletionCall) -> CallResult {
        let body = json!({ "model": call.model, "prompt": call.prompt, "max_tokens": call.tokens, "stream": call.stream });
        let began = Instant::now();
        let sent = self.post("/v1/completions").json(&body).send().await;
        let Ok(response) = sent else {
            return CallResult::default();
        };
        let mut result = head_of(&response);
        if response.status() != StatusCode::OK {
            return with_error(result, response).await;
        }
        if call.stream {
            read_stream(response, began, &mut result).await;
        } else {
            let body: Value = response.json().await.unwrap_or_default();
            result.time_to_first_token = began.elapsed();
            result.text = body["choices"][0]["text"]
                .as_str()
                .unwrap_or_default()
                .to_owned();
            result.is_complete = body["choices"][0]["finish_reason"].is_string();
        }
        result.total_time = began.elapsed();
        result
    }

    /// Calls the service `ledger`.
    pub async fn post_scan(&self, body: &str, key: Option<&str>) -> CallResult {
        let began = Instant::now();
        let mut request = self.post("/services/ledger/scans").body(body.to_owned());
        if let Some(key) = key {
            request = request.header("idempotency-key", key);
        }
        let Ok(response) = request.send().await else {
            return CallResult::default();
        };
        let mut result = head_of(&response);
        if response.status() != StatusCode::OK {
            return with_error(result, response).await;
        }
        match response.text().await {
            Ok(text) => {
                result.text = text;
                result.is_complete = true;
            }
            Err(error) => result.message = error.to_string(),
        }
        result.total_time = began.elapsed();
        result
    }

    /// Asks for an idempotency token.
    pub async fn issue_token(&self) -> Option<String> {
        let response = self.post("/v1/idempotency_tokens").send().await.ok()?;
        let body: Value = response.json().await.ok()?;
        body["token"].as_str().map(str::to_owned)
    }

    /// Sends a statement as an operator.
    ///
    /// # Errors
    /// Returns the daemon's message.
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

    /// A request with this caller's token, to be completed by the caller of this.
    pub fn post(&self, path: &str) -> reqwest::RequestBuilder {
        self.http
            .post(format!("{}{path}", self.base))
            .bearer_auth(&self.token)
    }

    /// Reads a path; status and body.
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

fn head_of(response: &Response) -> CallResult {
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

async fn with_error(mut result: CallResult, response: Response) -> CallResult {
    let body: Value = response.json().await.unwrap_or_default();
    result.error = body["error"]["code"].as_str().map(str::to_owned);
    result.message = body["error"]["message"]
        .as_str()
        .unwrap_or_default()
        .to_owned();
    result
}

async fn read_stream(response: Response, began: Instant, result: &mut CallResult) {
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
            result.time_to_first_token = began.elapsed();
        }
        result
            .text
            .push_str(chunk["choices"][0]["text"].as_str().unwrap_or_default());
    }
}
