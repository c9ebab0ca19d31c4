//! Reading and validating callers' request bodies.

use crate::{calls::EngineWork, gateway::CallerError};
use hoplanding_core::ids::{AdapterVersion, PriorityClass};
use poem::{Body, http::StatusCode};
use serde_json::{Value, json};
use std::time::Duration;
use tokio::time::timeout;

/// Output tokens of a request without `max_tokens`.
const DEFAULT_OUTPUT_TOKENS: u32 = 256;
/// Largest `max_tokens` of a request.
const MAX_OUTPUT_TOKENS: u32 = 65_536;
/// Average characters per token, for estimating prompt tokens.
const CHARS_PER_TOKEN: usize = 4;

/// OpenAI-compatible interface that a request came through.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineInterface {
    /// `/v1/completions`.
    Completions,
    /// `/v1/chat/completions`.
    Chat,
}

/// A validated request to a model engine.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineBody {
    /// Model name as given by the caller, with or without `@version`.
    pub model: String,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Requested priority class, if any.
    pub class: Option<PriorityClass>,
    output_tokens: u32,
    prompt_tokens: u32,
    json: Value,
}

impl EngineBody {
    /// Converts the request to the work sent to a holder, with the resolved model.
    #[must_use]
    pub fn into_work(self, model: AdapterVersion, interface: EngineInterface) -> EngineWork {
        EngineWork {
            model,
            chat: interface == EngineInterface::Chat,
            body: self.json.to_string(),
            prompt_tokens: self.prompt_tokens,
            output_tokens: self.output_tokens,
        }
    }
}

/// Reads a request body of at most `max_bytes` within `time_limit`.
pub async fn read_body(
    body: Body,
    max_bytes: usize,
    time_limit: Duration,
) -> Result<Vec<u8>, CallerError> {
    match timeout(time_limit, body.into_bytes_limit(max_bytes)).await {
        Err(_) => Err(CallerError::invalid(
            StatusCode::REQUEST_TIMEOUT,
            "slow_body",
            format!(
                "the body did not come within {} ms: send it faster",
                time_limit.as_millis()
            ),
        )),
        Ok(Err(poem::error::ReadBodyError::PayloadTooLarge)) => Err(CallerError::invalid(
            StatusCode::PAYLOAD_TOO_LARGE,
            "oversized_body",
            format!("the body is larger than {max_bytes} bytes: send a smaller one"),
        )),
        Ok(Err(error)) => Err(CallerError::invalid(
            StatusCode::BAD_REQUEST,
            "broken_body",
            error.to_string(),
        )),
        Ok(Ok(bytes)) => Ok(bytes.into()),
    }
}

/// Parses and validates a request to an engine.
///
/// # Errors
/// Names the invalid field and the expected value.
pub fn parse_engine_body(
    bytes: &[u8],
    interface: EngineInterface,
) -> Result<EngineBody, CallerError> {
    let json: Value = serde_json::from_slice(bytes).map_err(|error| {
        CallerError::invalid(
            StatusCode::BAD_REQUEST,
            "malformed_json",
            format!("the body is no JSON: {error}"),
        )
    })?;
    if !json.is_object() {
        return Err(field_error("body", "a JSON object"));
    }
    let model = json["model"].as_str().filter(|model| !model.is_empty());
    let model = model
        .ok_or_else(|| field_error("model", "the name of an adapter, with or without @version"))?;
    let stream = match &json["stream"] {
        Value::Null => false,
        Value::Bool(stream) => *stream,
        _ => return Err(field_error("stream", "true or false")),
    };
    let output_tokens = match &json["max_tokens"] {
        Value::Null => DEFAULT_OUTPUT_TOKENS,
        value => value
            .as_u64()
            .filter(|tokens| (1..=u64::from(MAX_OUTPUT_TOKENS)).contains(tokens))
            .map(|tokens| tokens as u32)
            .ok_or_else(|| {
                field_error(
                    "max_tokens",
                    &format!("a whole number from 1 to {MAX_OUTPUT_TOKENS}"),
                )
            })?,
    };
    let class = match &json["priority"] {
        Value::Null => None,
        value => Some(
            value
                .as_str()
                .and_then(PriorityClass::parse)
                .ok_or_else(|| field_error("priority", "urgent, normal or batch"))?,
        ),
    };
    let prompt_chars = prompt_chars(&json, interface)?;
    Ok(EngineBody {
        model: model.to_owned(),
        stream,
        class,
        output_tokens,
        prompt_tokens: (prompt_chars / CHARS_PER_TOKEN).max(1) as u32,
        json,
    })
}

fn prompt_chars(json: &Value, interface: EngineInterface) -> Result<usize, CallerError> {
    match interface {
        EngineInterface::Completions => {
            let prompt = json["prompt"]
                .as_str()
                .ok_or_else(|| field_error("prompt", "a text"))?;
            Ok(prompt.len())
        }
        EngineInterface::Chat => {
            let messages = json["messages"]
                .as_array()
                .filter(|messages| !messages.is_empty());
            let messages = messages.ok_or_else(|| {
                field_error("messages", "a list of messages with role and content")
            })?;
            let mut chars = 0;
            for message in messages {
                let content = message["content"].as_str();
                chars += content
                    .ok_or_else(|| field_error("messages", "messages whose content is a text"))?
                    .len();
            }
            Ok(chars)
        }
    }
}

fn field_error(field: &str, expected: &str) -> CallerError {
    let message = format!("`{field}` is missing or wrong: it should be {expected}");
    let mut error = CallerError::invalid(StatusCode::BAD_REQUEST, "wrong_field", message);
    error.reason = format!("wrong_{field}");
    error
}

/// Builds the response body of `/v1/models`; the flag marks the current version of an adapter.
#[must_use]
pub fn models_body(models: &[(AdapterVersion, bool)]) -> Value {
    let entries = models.iter().map(|(model, is_current)| {
        json!({
            "id": model.to_string(),
            "object": "model",
            "owned_by": "hoplanding",
            "root": model.adapter,
            "current": is_current,
        })
    });
    json!({ "object": "list", "data": entries.collect::<Vec<_>>() })
}
