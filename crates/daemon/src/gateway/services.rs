//! Handler for calls of plain services (`/services/NAME/...`).

use crate::{
    app::{Admission, AdmissionRequest, AdmissionSubject, AppEvent},
    calls::{CallEnd, CallFrame, CallWork, ServiceWork, SubmitRequest},
    gateway::{
        CallerError, GatewayContext,
        answer::end_error,
        body::read_body,
        http::{OpenRequestGuard, bearer_token, idempotency_header, priority_header},
    },
    peers::{CallReader, ReadEvent},
    targets::is_hop_by_hop_header,
};
use futures_util::stream;
use hoplanding_core::ids::ServiceName;
use poem::{
    Body, Request, Response, handler,
    http::StatusCode,
    web::{Data, Path},
};
use std::{io, sync::Arc};

/// Request headers that the gateway consumes and does not forward.
const GATEWAY_HEADERS: [&str; 4] = [
    "authorization",
    "idempotency-key",
    "x-priority",
    "x-timeout-ms",
];

#[handler]
pub(super) async fn call_service(
    Path((service, _)): Path<(String, String)>,
    request: &Request,
    body: Body,
    context: Data<&Arc<GatewayContext>>,
) -> Result<Response, CallerError> {
    let limits = &context.settings.limits;
    let bytes = read_body(body, limits.max_body_bytes, limits.body_timeout).await?;
    let prefix = format!("/services/{service}");
    let path_and_query = request
        .original_uri()
        .path_and_query()
        .map_or("/", |path| path.as_str());
    let path = path_and_query
        .strip_prefix(prefix.as_str())
        .filter(|path| !path.is_empty())
        .unwrap_or("/");
    let service = ServiceName::new(&service);
    let method = request.method().as_str().to_owned();
    let admission = admit(&context, request, &service, &method, path).await?;
    let headers = request.headers().iter().filter(|(name, _)| {
        !is_hop_by_hop_header(name.as_str()) && !GATEWAY_HEADERS.contains(&name.as_str())
    });
    let headers = headers
        .filter_map(|(name, value)| Some((name.to_string(), value.to_str().ok()?.to_owned())));
    let work = ServiceWork {
        service,
        method,
        path: path.to_owned(),
        headers: headers.collect(),
        body: bytes.into(),
    };
    let submit = SubmitRequest {
        caller: admission.caller.clone(),
        class: admission.class,
        repeatability: admission.resolved.repeatability,
        idempotency: idempotency_header(request),
        deadline_ms: context.deadline_ms(request),
        work: CallWork::Service(work),
    };
    let (reader, open_request) = context.submit(submit).await;
    relay_answer(reader, open_request).await
}

async fn admit(
    context: &GatewayContext,
    request: &Request,
    service: &ServiceName,
    method: &str,
    path: &str,
) -> Result<Admission, CallerError> {
    let admission_request = AdmissionRequest {
        bearer: bearer_token(request),
        subject: AdmissionSubject::Service(service.clone(), method.to_owned(), path.to_owned()),
        class: priority_header(request)?,
    };
    let answer = context
        .app
        .request(|reply| AppEvent::Admit(admission_request, reply))
        .await;
    Ok(answer.ok_or_else(CallerError::stopping)??)
}

async fn relay_answer(
    mut reader: CallReader,
    open_request: OpenRequestGuard,
) -> Result<Response, CallerError> {
    let mut target = String::new();
    let (status, headers) = loop {
        match reader.next().await {
            ReadEvent::Frame(CallFrame::Started { target: name, .. }) => target = name.to_string(),
            ReadEvent::Frame(CallFrame::Head { status, headers }) => break (status, headers),
            ReadEvent::Frame(CallFrame::End(end)) => return Err(end_error(&end)),
            ReadEvent::Frame(_) => {}
            ReadEvent::Lost(cause) => return Err(end_error(&CallEnd::Unknown(cause.to_owned()))),
        }
    };
    let mut builder =
        Response::builder().status(StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY));
    for (name, value) in &headers {
        builder = builder.header(name, value);
    }
    builder = builder.header("x-hoplanding-target", target);
    // An interrupted answer ends the connection with an error, so that the caller can't mistake it for a complete one.
    let bytes = stream::unfold(Some((reader, open_request)), |state| async move {
        let (mut reader, open_request) = state?;
        loop {
            let end = match reader.next().await {
                ReadEvent::Frame(CallFrame::Body(bytes)) => {
                    return Some((Ok(bytes), Some((reader, open_request))));
                }
                ReadEvent::Frame(CallFrame::End(CallEnd::Complete)) => return None,
                ReadEvent::Frame(CallFrame::End(end)) => end,
                ReadEvent::Frame(_) => continue,
                ReadEvent::Lost(cause) => CallEnd::Unknown(cause.to_owned()),
            };
            return Some((Err(io::Error::other(end_error(&end).message)), None));
        }
    });
    Ok(builder.body(Body::from_bytes_stream(bytes)))
}
