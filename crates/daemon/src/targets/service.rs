//! Worker for one call of a plain service.

use crate::{
    app::{AppEvent, StreamEnd},
    calls::{CallBuffer, CallEnd, CallFrame, CallId, ServiceWork},
};
use futures_util::StreamExt;
use hoplanding_core::{
    ids::TargetName,
    request::{NotRunReason, RequestCall, Unsent},
};
use reqwest::{Client, Method, Response};
use std::{sync::Arc, time::Duration};
use tokio::sync::mpsc;

/// Time without a byte after which a call counts as broken.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Largest body part in one frame, in bytes.
const MAX_FRAME_BYTES: usize = 64 * 1024;

/// Input of [`run_service_call`].
pub struct ServiceJob {
    /// Id of the call.
    pub call: CallId,
    /// Target that runs the call.
    pub target: TargetName,
    /// `IP:port` of the target.
    pub address: String,
    /// Request to the service.
    pub work: ServiceWork,
    /// Life cycle of the request, not sent yet.
    pub request: RequestCall<Unsent>,
    /// Buffer for the answer's frames.
    pub buffer: Arc<CallBuffer>,
    /// Queue of the event loop.
    pub events: mpsc::Sender<AppEvent>,
}

/// Runs a call to its end, reports the end to the event loop and then ends the answer.
pub async fn run_service_call(http: Client, job: ServiceJob) {
    let (call, target, events, buffer) = (
        job.call,
        job.target.clone(),
        job.events.clone(),
        Arc::clone(&job.buffer),
    );
    let (end, report) = send_and_relay(&http, job).await;
    let _ = events
        .send(AppEvent::StreamEnded(call, target, report))
        .await;
    buffer.end(end);
}

async fn send_and_relay(http: &Client, job: ServiceJob) -> (CallEnd, StreamEnd) {
    let Ok(method) = Method::from_bytes(job.work.method.as_bytes()) else {
        return (
            CallEnd::NotRun(job.request.refuse(NotRunReason::Cancelled)),
            StreamEnd::Ended,
        );
    };
    let mut request = http.request(method, format!("http://{}{}", job.address, job.work.path));
    for (name, value) in &job.work.headers {
        request = request.header(name, value);
    }
    let sent = tokio::time::timeout(IDLE_TIMEOUT, request.body(job.work.body.clone()).send()).await;
    let response = match sent {
        Ok(Ok(response)) => response,
        Ok(Err(error)) if error.is_connect() => {
            return (
                CallEnd::NotRun(job.request.refuse(NotRunReason::NotConnected)),
                StreamEnd::Unreachable,
            );
        }
        Ok(Err(error)) => return (CallEnd::Broken(error.to_string()), StreamEnd::Ended),
        Err(_) => {
            return (
                CallEnd::Broken("the service fell silent".to_owned()),
                StreamEnd::Ended,
            );
        }
    };
    drop(job.request.mark_sent());
    let started = CallFrame::Started {
        target: job.target.clone(),
        stream: job.call.to_string(),
        model: None,
        load_stall_ms: 0,
    };
    if job.buffer.push(started).await.is_err()
        || job.buffer.push(response_head(&response)).await.is_err()
    {
        return (CallEnd::Unknown("abandoned".to_owned()), StreamEnd::Ended);
    }
    let mut body = response.bytes_stream();
    loop {
        match tokio::time::timeout(IDLE_TIMEOUT, body.next()).await {
            Ok(None) => return (CallEnd::Complete, StreamEnd::Ended),
            Ok(Some(Ok(bytes))) => {
                for part in bytes.chunks(MAX_FRAME_BYTES) {
                    if job
                        .buffer
                        .push(CallFrame::Body(part.to_vec()))
                        .await
                        .is_err()
                    {
                        return (CallEnd::Unknown("abandoned".to_owned()), StreamEnd::Ended);
                    }
                }
            }
            Ok(Some(Err(error))) => return (CallEnd::Broken(error.to_string()), StreamEnd::Ended),
            Err(_) => {
                return (
                    CallEnd::Broken("the service fell silent".to_owned()),
                    StreamEnd::Ended,
                );
            }
        }
    }
}

fn response_head(response: &Response) -> CallFrame {
    let headers = response
        .headers()
        .iter()
        .filter(|(name, _)| !is_hop_by_hop_header(name.as_str()));
    let headers = headers
        .filter_map(|(name, value)| Some((name.to_string(), value.to_str().ok()?.to_owned())));
    CallFrame::Head {
        status: response.status().as_u16(),
        headers: headers.collect(),
    }
}

/// Whether a header applies to one connection only (RFC 9110, section 7.6.1), or is set anew for each request.
pub fn is_hop_by_hop_header(name: &str) -> bool {
    matches!(
        name,
        "connection"
            | "keep-alive"
            | "proxy-authenticate"
            | "proxy-authorization"
            | "te"
            | "trailer"
            | "transfer-encoding"
            | "upgrade"
            | "content-length"
            | "host"
    )
}
