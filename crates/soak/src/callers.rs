//! Callers of the daemons. They use plain TCP sockets instead of an HTTP client, so that the exact bytes of an answer are
//! known.

use crate::{
    fleet::SoakVm,
    history::{CallAnswer, CallKind, HistoryEvent, SharedHistory},
    prompts::{PromptPart, encode_parts},
    stream_text::ReceivedStream,
};
use hoplanding_platform::names::{
    AUTHORIZATION, DEADLINE, EXPECT_INSTANCE, EXPECT_VERSION, HOLD, KV_BACKUP, KV_FETCH, KV_FROM,
    LAST_EVENT, MODEL, ORGANISATION, PIN, PRIORITY, PROMPT_PREFIX, REQUEST_ID, RESUMES,
    TOKEN_COUNT,
};
use std::{io, net::SocketAddr, sync::Arc, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{sleep, timeout},
};

/// Host name of all routes.
pub const HOST: &str = "mill.example";
/// Time after which a caller gives up; also sent as the deadline of the request.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(6);
/// Start of the ids of additional calls while most new connections go to one VM.
pub const SKEWED_CALL_PREFIX: &str = "skew-";
/// Deadline of these calls.
pub const SKEWED_DEADLINE: Duration = Duration::from_secs(2);
/// Attempts of a caller at a resumable stream.
const MAX_ATTEMPTS: usize = 3;
/// Pause of a caller between two attempts.
const ATTEMPT_PAUSE: Duration = Duration::from_millis(150);

/// Body of every request.
pub const BODY: &str = "hi";
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
    /// Deadline sent with the request.
    pub deadline: Duration,
    /// Time after which the caller gives up.
    pub patience: Duration,
    /// The stream to take up, if the call does not begin a new one.
    pub taken_up: Option<BrokenStream>,
}

/// A stream that broke off after some events.
#[derive(Clone, Debug)]
pub struct BrokenStream {
    /// The request that received the first event.
    pub began_by: String,
    /// Number of the last event received.
    pub last_event: u32,
}

impl SoakCall {
    /// Head of the request, up to its [`BODY`].
    pub fn request_head(&self) -> String {
        let Self {
            id,
            kind,
            adapter,
            parts,
            key,
            deadline,
            taken_up,
            ..
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
        let taken_up = taken_up.as_ref().map_or(String::new(), |stream| {
            let BrokenStream {
                began_by,
                last_event,
            } = stream;
            format!("{RESUMES}: {began_by}\r\n{LAST_EVENT}: {last_event}\r\n")
        });
        let deadline = deadline.as_millis();
        let forged: String = RESERVED_HEADERS
            .iter()
            .map(|name| format!("{name}: {FORGED}\r\n"))
            .collect();
        format!(
            "POST {path} HTTP/1.1\r\nHost: {HOST}\r\n{REQUEST_ID}: {id}\r\n{DEADLINE}: {deadline}\r\n{AUTHORIZATION}: Bearer {key}\r\n{model}{taken_up}{forged}Content-Length: {}\r\n\r\n",
            BODY.len()
        )
    }
}

/// Sends a request to the first of the VMs that accepts calls. A resumable stream that breaks off is taken up at the VMs after it.
pub async fn send_call(vms: Vec<Arc<SoakVm>>, mut call: SoakCall, history: SharedHistory) {
    let began_by = call.id.clone();
    let mut vms = vms.into_iter();
    for attempt in 1..=MAX_ATTEMPTS {
        let endpoint = vms.by_ref().find_map(|vm| {
            let (address, _) = vm.caller_endpoint()?;
            Some((vm.index, address))
        });
        let Some((vm, address)) = endpoint else {
            return;
        };
        let received = match send_once(vm, address, &call, &history).await {
            AttemptEnd::Incomplete(received) if call.kind == CallKind::Resumable => received,
            _ => return,
        };
        if received.last_event > 0 {
            call.taken_up = Some(BrokenStream {
                began_by: began_by.clone(),
                last_event: received.last_event,
            });
        }
        if call.taken_up.is_none() {
            return;
        }
        call.id = format!("{began_by}-{attempt}");
        sleep(ATTEMPT_PAUSE).await;
    }
}

/// Sends a request to one VM, and if that VM closes the connection without an answer, once more to another.
pub async fn send_skewed_call(
    first: Arc<SoakVm>,
    second: Arc<SoakVm>,
    mut call: SoakCall,
    history: SharedHistory,
) {
    let id = call.id.clone();
    for (attempt, vm) in [first, second].iter().enumerate() {
        let Some((address, _)) = vm.caller_endpoint() else {
            continue;
        };
        if attempt > 0 {
            call.id = format!("{id}-{attempt}");
        }
        if !matches!(
            send_once(vm.index, address, &call, &history).await,
            AttemptEnd::Closed
        ) {
            return;
        }
        history.record(HistoryEvent::ClosedUnread {
            id: call.id.clone(),
        });
    }
}

/// How an attempt of a caller ended.
enum AttemptEnd {
    /// A complete answer arrived.
    Complete,
    /// An answer that is not complete or no success arrived, or none in time; the received part of a stream.
    Incomplete(ReceivedStream),
    /// The VM refused or closed the connection before it sent anything.
    Closed,
}

/// Sends a request and records it and its outcome.
async fn send_once(
    vm: usize,
    address: SocketAddr,
    call: &SoakCall,
    history: &SharedHistory,
) -> AttemptEnd {
    if let Some(stream) = &call.taken_up {
        history.record(HistoryEvent::TakenUp {
            id: call.id.clone(),
            began_by: stream.began_by.clone(),
            after: stream.last_event,
        });
    }
    record_sent(call, vm, history);
    let exchanged = timeout(
        call.patience,
        exchange(address, &(call.request_head() + BODY)),
    )
    .await;
    let is_closed = matches!(exchanged, Ok(Err(_) | Ok((CallAnswer::NoAnswer, _))));
    let (answer, body) = match exchanged {
        Ok(Ok(exchanged)) => exchanged,
        // The caller timed out, or the connection failed before an answer.
        Ok(Err(_)) | Err(_) => (CallAnswer::NoAnswer, String::new()),
    };
    let is_complete = matches!(answer, CallAnswer::Complete(200..=299, _));
    let received = record_answer(call, answer, &body, history);
    match (is_complete, is_closed) {
        (true, _) => AttemptEnd::Complete,
        (false, true) if call.kind != CallKind::Resumable => AttemptEnd::Closed,
        (false, _) => AttemptEnd::Incomplete(received),
    }
}

/// Records that a request is sent to a VM.
pub fn record_sent(call: &SoakCall, vm: usize, history: &SharedHistory) {
    history.record(HistoryEvent::Sent {
        id: call.id.clone(),
        kind: call.kind,
        vm,
        adapter: call.adapter.clone(),
    });
    history.record(HistoryEvent::KeySent {
        id: call.id.clone(),
        key: call.key.clone(),
    });
}

/// Records the answer to a request; returns what was received of its stream.
pub fn record_answer(
    call: &SoakCall,
    answer: CallAnswer,
    body: &str,
    history: &SharedHistory,
) -> ReceivedStream {
    let received = ReceivedStream::parse(body);
    if !received.software.is_empty() {
        history.record(HistoryEvent::EventsReceived {
            id: call.id.clone(),
            software: received.software.clone(),
        });
    }
    if let CallAnswer::Truncated(200..=299) = answer {
        history.record(HistoryEvent::PartReceived {
            id: call.id.clone(),
            text: received.text.clone(),
        });
    }
    let answer = match answer {
        CallAnswer::Complete(status, _) => CallAnswer::Complete(status, received.text.clone()),
        other => other,
    };
    let id = call.id.clone();
    history.record(HistoryEvent::Answered { id, answer });
    received
}

/// Probes a VM for the route of a configuration version. Returns the number of its daemon process and whether it has the
/// route, or `None` if the answer does not tell.
pub async fn probe_route(vm: &SoakVm, version: u64) -> Option<(u32, bool)> {
    let (address, run) = vm.caller_endpoint()?;
    let text = format!("GET /v{version}/x HTTP/1.1\r\nHost: {HOST}\r\n{REQUEST_ID}: probe\r\n\r\n");
    let (answer, _) = timeout(CALL_TIMEOUT, exchange(address, &text))
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

/// Sends a request; returns the answer, and the body as far as it arrived.
async fn exchange(address: SocketAddr, text: &str) -> io::Result<(CallAnswer, String)> {
    let mut stream = TcpStream::connect(address).await?;
    stream.write_all(text.as_bytes()).await?;
    let reply = read_reply(&mut stream).await?;
    Ok((reply.answer, reply.body))
}

/// An answer as it arrived.
pub struct CallerReply {
    /// The answer.
    pub answer: CallAnswer,
    /// Its body, as far as it arrived.
    pub body: String,
    /// Whether the connection carries no further request.
    pub is_last: bool,
}

/// Reads an answer.
///
/// # Errors
/// The I/O error if the connection breaks before the head is complete.
pub async fn read_reply(stream: &mut TcpStream) -> io::Result<CallerReply> {
    let mut bytes = Vec::new();
    let end = loop {
        if let Some(end) = bytes.windows(4).position(|end| end == b"\r\n\r\n") {
            break end;
        }
        if stream.read_buf(&mut bytes).await? == 0 {
            return Ok(CallerReply {
                answer: CallAnswer::NoAnswer,
                body: String::new(),
                is_last: true,
            });
        }
    };
    let head = String::from_utf8_lossy(&bytes[..end]).to_ascii_lowercase();
    let received = bytes.split_off(end + 4);
    let status = head
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok())
        .unwrap_or(0);
    let (body, is_complete) = if head.contains("transfer-encoding: chunked") {
        read_chunks(stream, received).await
    } else {
        let length = head
            .lines()
            .find_map(|line| line.strip_prefix("content-length: ")?.trim().parse().ok())
            .unwrap_or(0);
        read_length(stream, received, length).await
    };
    let body = String::from_utf8_lossy(&body).into_owned();
    let answer = if is_complete {
        CallAnswer::Complete(status, body.clone())
    } else {
        CallAnswer::Truncated(status)
    };
    Ok(CallerReply {
        answer,
        body,
        is_last: !is_complete || head.contains("connection: close"),
    })
}

/// Reads a body of known length; returns it and whether it is complete.
async fn read_length(stream: &mut TcpStream, mut body: Vec<u8>, length: usize) -> (Vec<u8>, bool) {
    while body.len() < length {
        if stream.read_buf(&mut body).await.unwrap_or(0) == 0 {
            return (body, false);
        }
    }
    (body, true)
}

/// Reads a chunked body; returns it and whether it is complete.
async fn read_chunks(stream: &mut TcpStream, mut raw: Vec<u8>) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    loop {
        while let Some((chunk, used)) = next_chunk(&raw) {
            if chunk.is_empty() {
                return (body, true);
            }
            body.extend_from_slice(chunk);
            raw.drain(..used);
        }
        if stream.read_buf(&mut raw).await.unwrap_or(0) == 0 {
            return (body, false);
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
