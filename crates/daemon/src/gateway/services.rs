//! Calls of plain services.

use crate::{
    app::{Admission, AdmissionRequest, AdmissionSubject, AppEvent},
    calls::{CallEnd, CallFrame, CallWork, ServiceWork, SubmitRequest},
    gateway::{
        CallerError, GatewayContext,
        answer::end_error,
        body::read_body,
        http::{bearer, class_header, idempotency_header},
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

/// Headers of ours that a service does not see.
const OWN_HEADERS: [&str; 4] = [
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
    let full = request
        .original_uri()
        .path_and_query()
        .map_or("/", |path| path.as_str());
    let path = full
        .strip_prefix(prefix.as_str())
        .filter(|path| !path.is_empty())
        .unwrap_or("/");
    let service = ServiceName::new(&service);
    let method = request.method().as_str().to_owned();
    let admission = admit(&context, request, &service, &method, path).await?;
    let headers = request.headers().iter().filter(|(name, _)| {
        !is_hop_by_hop_header(name.as_str()) && !OWN_HEADERS.contains(&name.as_str())
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
        rule: admission.resolved.repeatability,
        idempotency: idempotency_header(request),
        deadline_ms: context.deadline_ms(request),
        work: CallWork::Service(work),
    };
    let (reader, guard) = context.submit(submit).await;
    answer(reader, guard).await
}

async fn admit(
    context: &GatewayContext,
    request: &Request,
    service: &ServiceName,
    method: &str,
    path: &str,
) -> Result<Admission, CallerError> {
    let admit = AdmissionRequest {
        bearer: bearer(request),
        subject: AdmissionSubject::Service(service.clone(), method.to_owned(), path.to_owned()),
        class: class_header(request)?,
    };
    let answer = context
        .app
        .request(|reply| AppEvent::Admit(admit, reply))
        .await;
    Ok(answer.ok_or_else(CallerError::ending)??)
}

async fn answer(
    mut reader: CallReader,
    guard: super::http::OpenRequest,
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
    // An answer that breaks off ends its connection with an error, so that it can't be taken for a shorter one.
    let bytes = stream::unfold(Some((reader, guard)), |state| async move {
        let (mut reader, guard) = state?;
        loop {
            let end = match reader.next().await {
                ReadEvent::Frame(CallFrame::Body(bytes)) => {
                    return Some((Ok(bytes), Some((reader, guard))));
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
