//! Callers of the daemons. They use plain TCP sockets instead of an HTTP client, so that the exact bytes of an answer are
//! known.

use crate::{
    fleet::SoakVm,
    history::{CallAnswer, CallKind, HistoryEvent, SharedHistory},
    prompts::{PromptPart, encode_parts},
};
use hoplanding_platform::names::{
    AUTHORIZATION, DEADLINE, EXPECT_INSTANCE, EXPECT_VERSION, HOLD, KV_BACKUP, KV_FETCH, KV_FROM,
    MODEL, ORGANISATION, PIN, PRIORITY, PROMPT_PREFIX, REQUEST_ID, TOKEN_COUNT,
};
use std::{io, net::SocketAddr, sync::Arc, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};

/// Host name of all routes.
pub const HOST: &str = "mill.example";
/// Time after which a caller gives up; also sent as the deadline of the request.
const CALL_TIMEOUT: Duration = Duration::from_secs(6);

/// Value that every caller sends in the headers reserved for the system.
pub const FORGED: &str = "forged";
/// Headers reserved for the system. The deadline is not among them: callers may set it, and the daemons replace it.
const RESERVED_HEADERS: [&str; 9] = [
    ORGANISATION,
    EXPECT_INSTANCE,
    EXPECT_VERSION,
    PRIORITY,
    PIN,
    HOLD,
    KV_BACKUP,
    KV_FROM,
    KV_FETCH,
];

/// Request of a caller.
#[derive(Clone, Debug)]
pub struct SoakCall {
    /// Request id, unique in a run.
    pub id: String,
    /// Kind of the request, which decides its route.
    pub kind: CallKind,
    /// Adapter to run on; empty for plain calls.
    pub adapter: String,
    /// Parts of the prompt; none for plain calls.
    pub parts: Vec<PromptPart>,
    /// API key of the caller.
    pub key: String,
}

impl SoakCall {
    fn request_text(&self) -> String {
        let Self {
            id,
            kind,
            adapter,
            parts,
            key,
        } = self;
        let path = match kind {
            CallKind::Once => "/scan/1",
            CallKind::Idempotent => "/lookup/1",
            CallKind::Stream => "/plan/1",
            CallKind::Resumable => "/resumed/1",
        };
        let model = if adapter.is_empty() {
            String::new()
        } else {
            let (counts, parts) = encode_parts(parts);
            format!(
                "{MODEL}: base/{adapter}\r\n{TOKEN_COUNT}: {counts}\r\n{PROMPT_PREFIX}: {parts}\r\n"
            )
        };
        let deadline = CALL_TIMEOUT.as_millis();
        let forged: String = RESERVED_HEADERS
            .iter()
            .map(|name| format!("{name}: {FORGED}\r\n"))
            .collect();
        format!(
            "POST {path} HTTP/1.1\r\nHost: {HOST}\r\n{REQUEST_ID}: {id}\r\n{DEADLINE}: {deadline}\r\n{AUTHORIZATION}: Bearer {key}\r\n{model}{forged}Content-Length: 2\r\n\r\nhi"
        )
    }
}

/// Sends a request to a VM and records the request and its outcome. Does nothing if the VM accepts no calls.
pub async fn send_call(vm: Arc<SoakVm>, call: SoakCall, history: SharedHistory) {
    let Some((address, _)) = vm.caller_endpoint() else {
        return;
    };
    history.record(HistoryEvent::Sent {
        id: call.id.clone(),
        kind: call.kind,
        vm: vm.index,
        adapter: call.adapter.clone(),
    });
    history.record(HistoryEvent::KeySent {
        id: call.id.clone(),
        key: call.key.clone(),
    });
    let exchanged = timeout(CALL_TIMEOUT, exchange(address, &call.request_text())).await;
    let answer = match exchanged {
        Ok(Ok(answer)) => answer,
        // The caller timed out, or the connection failed before an answer.
        Ok(Err(_)) | Err(_) => CallAnswer::NoAnswer,
    };
    let id = call.id;
    history.record(HistoryEvent::Answered { id, answer });
}

/// Probes a VM for the route of a configuration version. Returns the number of its daemon process and whether it has the
/// route, or `None` if the answer does not tell.
pub async fn probe_route(vm: &SoakVm, version: u64) -> Option<(u32, bool)> {
    let (address, run) = vm.caller_endpoint()?;
    let text = format!("GET /v{version}/x HTTP/1.1\r\nHost: {HOST}\r\n{REQUEST_ID}: probe\r\n\r\n");
    let answer = timeout(CALL_TIMEOUT, exchange(address, &text))
        .await
        .ok()?
        .ok()?;
    match answer {
        CallAnswer::Complete(404, _) => Some((run, false)),
        // A VM without any configuration answers 503, which does not tell versions apart.
        CallAnswer::Complete(503, _) | CallAnswer::NoAnswer | CallAnswer::Truncated(503) => None,
        CallAnswer::Complete(..) | CallAnswer::Truncated(_) => Some((run, true)),
    }
}

async fn exchange(address: SocketAddr, text: &str) -> io::Result<CallAnswer> {
    let mut stream = TcpStream::connect(address).await?;
    stream.write_all(text.as_bytes()).await?;
    let mut bytes = Vec::new();
    let end = loop {
        if let Some(end) = bytes.windows(4).position(|end| end == b"\r\n\r\n") {
            break end;
        }
        if stream.read_buf(&mut bytes).await? == 0 {
            return Ok(CallAnswer::NoAnswer);
        }
    };
    let head = String::from_utf8_lossy(&bytes[..end]).to_ascii_lowercase();
    let body = bytes.split_off(end + 4);
    let status = head
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok())
        .unwrap_or(0);
    if head.contains("transfer-encoding: chunked") {
        return Ok(read_chunks(&mut stream, body, status).await);
    }
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: ")?.trim().parse().ok())
        .unwrap_or(0);
    Ok(read_length(&mut stream, body, status, length).await)
}

async fn read_length(
    stream: &mut TcpStream,
    mut body: Vec<u8>,
    status: u16,
    length: usize,
) -> CallAnswer {
    while body.len() < length {
        if stream.read_buf(&mut body).await.unwrap_or(0) == 0 {
            return CallAnswer::Truncated(status);
        }
    }
    CallAnswer::Complete(status, String::from_utf8_lossy(&body).into_owned())
}

async fn read_chunks(stream: &mut TcpStream, mut raw: Vec<u8>, status: u16) -> CallAnswer {
    let mut body = Vec::new();
    loop {
        while let Some((chunk, used)) = next_chunk(&raw) {
            if chunk.is_empty() {
                return CallAnswer::Complete(status, String::from_utf8_lossy(&body).into_owned());
            }
            body.extend_from_slice(chunk);
            raw.drain(..used);
        }
        if stream.read_buf(&mut raw).await.unwrap_or(0) == 0 {
            return CallAnswer::Truncated(status);
        }
    }
}

/// First chunk of a chunked body and its encoded length in bytes, if the chunk is complete.
fn next_chunk(raw: &[u8]) -> Option<(&[u8], usize)> {
    let line = raw.windows(2).position(|end| end == b"\r\n")?;
    let length = std::str::from_utf8(&raw[..line]).ok()?;
    let length = usize::from_str_radix(length, 16).ok()?;
    let start = line + 2;
    let end = start + length + 2;
    (raw.len() >= end).then(|| (&raw[start..start + length], end))
}
