//! Engine answers as OpenAI-shaped HTTP responses: one JSON body, or server-sent events.

use crate::{
    calls::{CallEnd, CallFrame},
    clock,
    gateway::{CallerError, body::EngineInterface},
    peers::{CallReader, ReadEvent},
};
use futures_util::stream;
use poem::{
    IntoResponse, Response,
    web::{
        Json,
        sse::{Event, SSE},
    },
};
use serde_json::{Value, json};
use std::collections::VecDeque;

/// Metadata of an answer, known before its text.
#[derive(Clone, Debug)]
pub struct AnswerHead {
    id: String,
    model: String,
    target: String,
    load_stall_ms: u32,
    created: u64,
    interface: EngineInterface,
}

impl AnswerHead {
    fn add_headers(&self, response: &mut Response) {
        let headers = response.headers_mut();
        let named_values = [
            ("x-hoplanding-model", &self.model),
            ("x-hoplanding-target", &self.target),
        ];
        for (name, value) in named_values {
            if let Ok(value) = value.parse() {
                headers.insert(name, value);
            }
        }
        headers.insert("x-hoplanding-load-stall-ms", self.load_stall_ms.into());
    }

    fn chunk(&self, text: &str, finish_reason: Option<&str>) -> Value {
        let (object, content) = match self.interface {
            EngineInterface::Completions => (
                "text_completion",
                json!({ "index": 0, "text": text, "finish_reason": finish_reason }),
            ),
            EngineInterface::Chat => (
                "chat.completion.chunk",
                json!({ "index": 0, "delta": { "content": text }, "finish_reason": finish_reason }),
            ),
        };
        json!({ "id": self.id, "object": object, "created": self.created, "model": self.model, "choices": [content] })
    }

    fn full_body(
        &self,
        text: &str,
        finish_reason: Option<&str>,
        tokens: usize,
        prompt_tokens: u32,
    ) -> Value {
        let (object, content) = match self.interface {
            EngineInterface::Completions => (
                "text_completion",
                json!({ "index": 0, "text": text, "finish_reason": finish_reason }),
            ),
            EngineInterface::Chat => (
                "chat.completion",
                json!({ "index": 0, "message": { "role": "assistant", "content": text }, "finish_reason": finish_reason }),
            ),
        };
        let usage = json!({
            "prompt_tokens": prompt_tokens,
            "completion_tokens": tokens,
            "total_tokens": tokens + prompt_tokens as usize,
        });
        json!({
            "id": self.id, "object": object, "created": self.created, "model": self.model,
            "choices": [content], "usage": usage,
        })
    }
}

/// Waits for the head of an answer, or for the error sent in its place.
async fn read_head(
    reader: &mut CallReader,
    id: String,
    interface: EngineInterface,
) -> Result<AnswerHead, CallerError> {
    match reader.next().await {
        ReadEvent::Frame(CallFrame::Started {
            target,
            model,
            load_stall_ms,
            ..
        }) => Ok(AnswerHead {
            id,
            model: model.map(|model| model.to_string()).unwrap_or_default(),
            target: target.to_string(),
            load_stall_ms,
            created: clock::wall_ms() / 1000,
            interface,
        }),
        ReadEvent::Frame(CallFrame::End(end)) => Err(end_error(&end)),
        ReadEvent::Frame(_) => Err(end_error(&CallEnd::Unknown(
            "the answer began without its head".to_owned(),
        ))),
        ReadEvent::Lost(cause) => Err(end_error(&CallEnd::Unknown(cause.to_owned()))),
    }
}

pub(super) fn end_error(end: &CallEnd) -> CallerError {
    let unfinished = CallEnd::Failed("the answer ended before it was complete".to_owned());
    CallerError::from_end(end)
        .unwrap_or_else(|| CallerError::from_end(&unfinished).unwrap_or_else(CallerError::stopping))
}

/// Collects the answer and returns it as one JSON body.
pub async fn buffered_answer(
    mut reader: CallReader,
    id: String,
    interface: EngineInterface,
    prompt_tokens: u32,
) -> Result<Response, CallerError> {
    let head = read_head(&mut reader, id, interface).await?;
    let mut text = String::new();
    let mut tokens = 0;
    let mut finish_reason = None;
    loop {
        match reader.next().await {
            ReadEvent::Frame(CallFrame::Text {
                text: chunk_text,
                finish,
                ..
            }) => {
                text.push_str(&chunk_text);
                tokens += 1;
                finish_reason = finish;
            }
            ReadEvent::Frame(CallFrame::End(CallEnd::Complete)) if finish_reason.is_some() => break,
            ReadEvent::Frame(CallFrame::End(end)) => return Err(end_error(&end)),
            ReadEvent::Frame(_) => {}
            ReadEvent::Lost(cause) => return Err(end_error(&CallEnd::Unknown(cause.to_owned()))),
        }
    }
    let mut response = Json(head.full_body(&text, finish_reason.as_deref(), tokens, prompt_tokens))
        .into_response();
    head.add_headers(&mut response);
    Ok(response)
}

struct StreamState {
    reader: CallReader,
    head: AnswerHead,
    pending_events: VecDeque<Event>,
    has_finished: bool,
    has_ended: bool,
}

/// Returns the answer as server-sent events; only a complete answer ends with `[DONE]`.
pub async fn streamed_answer(
    mut reader: CallReader,
    id: String,
    interface: EngineInterface,
) -> Result<Response, CallerError> {
    let head = read_head(&mut reader, id, interface).await?;
    let state = StreamState {
        reader,
        head: head.clone(),
        pending_events: VecDeque::new(),
        has_finished: false,
        has_ended: false,
    };
    let events = stream::unfold(state, |mut state| async move {
        loop {
            if let Some(event) = state.pending_events.pop_front() {
                return Some((event, state));
            }
            if state.has_ended {
                return None;
            }
            state.read_frame().await;
        }
    });
    let mut response = SSE::new(events).into_response();
    head.add_headers(&mut response);
    Ok(response)
}

impl StreamState {
    async fn read_frame(&mut self) {
        let end = match self.reader.next().await {
            ReadEvent::Frame(CallFrame::Text { text, finish, .. }) => {
                self.has_finished |= finish.is_some();
                let chunk = self.head.chunk(&text, finish.as_deref());
                self.pending_events
                    .push_back(Event::message(chunk.to_string()));
                return;
            }
            ReadEvent::Frame(CallFrame::End(end)) => end,
            ReadEvent::Frame(_) => return,
            ReadEvent::Lost(cause) => CallEnd::Unknown(cause.to_owned()),
        };
        self.has_ended = true;
        if end == CallEnd::Complete && self.has_finished {
            self.pending_events.push_back(Event::message("[DONE]"));
        } else {
            self.pending_events
                .push_back(Event::message(end_error(&end).body().to_string()));
        }
    }
}
