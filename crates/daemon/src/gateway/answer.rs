//! Answers of engines as OpenAI-shaped HTTP: whole or as server-sent events.

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

/// What the frames of an answer say before its text.
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
    fn apply(&self, response: &mut Response) {
        let headers = response.headers_mut();
        let pairs = [
            ("x-hoplanding-model", &self.model),
            ("x-hoplanding-target", &self.target),
        ];
        for (name, value) in pairs {
            if let Ok(value) = value.parse() {
                headers.insert(name, value);
            }
        }
        headers.insert("x-hoplanding-load-stall-ms", self.load_stall_ms.into());
    }

    fn chunk(&self, text: &str, finish: Option<&str>) -> Value {
        let (object, content) = match self.interface {
            EngineInterface::Completions => (
                "text_completion",
                json!({ "index": 0, "text": text, "finish_reason": finish }),
            ),
            EngineInterface::Chat => (
                "chat.completion.chunk",
                json!({ "index": 0, "delta": { "content": text }, "finish_reason": finish }),
            ),
        };
        json!({ "id": self.id, "object": object, "created": self.created, "model": self.model, "choices": [content] })
    }

    fn whole(&self, text: &str, finish: Option<&str>, tokens: usize, prompt_tokens: u32) -> Value {
        let (object, content) = match self.interface {
            EngineInterface::Completions => (
                "text_completion",
                json!({ "index": 0, "text": text, "finish_reason": finish }),
            ),
            EngineInterface::Chat => (
                "chat.completion",
                json!({ "index": 0, "message": { "role": "assistant", "content": text }, "finish_reason": finish }),
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

/// Waits for the head of an answer, or for the error that came in its place.
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
    CallerError::of_end(end)
        .unwrap_or_else(|| CallerError::of_end(&unfinished).unwrap_or_else(CallerError::ending))
}

/// Answers with one body.
pub async fn whole_answer(
    mut reader: CallReader,
    id: String,
    interface: EngineInterface,
    prompt_tokens: u32,
) -> Result<Response, CallerError> {
    let head = read_head(&mut reader, id, interface).await?;
    let mut text = String::new();
    let mut tokens = 0;
    let mut finished = None;
    loop {
        match reader.next().await {
            ReadEvent::Frame(CallFrame::Text {
                text: piece,
                finish,
                ..
            }) => {
                text.push_str(&piece);
                tokens += 1;
                finished = finish;
            }
            ReadEvent::Frame(CallFrame::End(CallEnd::Complete)) if finished.is_some() => break,
            ReadEvent::Frame(CallFrame::End(end)) => return Err(end_error(&end)),
            ReadEvent::Frame(_) => {}
            ReadEvent::Lost(cause) => return Err(end_error(&CallEnd::Unknown(cause.to_owned()))),
        }
    }
    let mut response =
        Json(head.whole(&text, finished.as_deref(), tokens, prompt_tokens)).into_response();
    head.apply(&mut response);
    Ok(response)
}

struct StreamState {
    reader: CallReader,
    head: AnswerHead,
    ready: VecDeque<Event>,
    finished: bool,
    ended: bool,
}

/// Answers with server-sent events; only a complete answer ends with `[DONE]`.
pub async fn streamed_answer(
    mut reader: CallReader,
    id: String,
    interface: EngineInterface,
) -> Result<Response, CallerError> {
    let head = read_head(&mut reader, id, interface).await?;
    let state = StreamState {
        reader,
        head: head.clone(),
        ready: VecDeque::new(),
        finished: false,
        ended: false,
    };
    let events = stream::unfold(state, |mut state| async move {
        loop {
            if let Some(event) = state.ready.pop_front() {
                return Some((event, state));
            }
            if state.ended {
                return None;
            }
            state.read().await;
        }
    });
    let mut response = SSE::new(events).into_response();
    head.apply(&mut response);
    Ok(response)
}

impl StreamState {
    async fn read(&mut self) {
        let end = match self.reader.next().await {
            ReadEvent::Frame(CallFrame::Text { text, finish, .. }) => {
                self.finished |= finish.is_some();
                let chunk = self.head.chunk(&text, finish.as_deref());
                self.ready.push_back(Event::message(chunk.to_string()));
                return;
            }
            ReadEvent::Frame(CallFrame::End(end)) => end,
            ReadEvent::Frame(_) => return,
            ReadEvent::Lost(cause) => CallEnd::Unknown(cause.to_owned()),
        };
        self.ended = true;
        if end == CallEnd::Complete && self.finished {
            self.ready.push_back(Event::message("[DONE]"));
        } else {
            self.ready
                .push_back(Event::message(end_error(&end).body().to_string()));
        }
    }
}
