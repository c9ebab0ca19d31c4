//! HTTP interface for operators: a statement as text in, a table or an accepted change as JSON out.

use crate::{
    app::{AppEvent, OperatorError, OperatorRequest, OperatorResponse},
    gateway::GatewayContext,
};
use poem::{
    IntoResponse, Request, Response, handler,
    http::StatusCode,
    web::{Data, Json},
};
use serde_json::json;
use std::sync::Arc;

/// Handles one operator statement.
#[handler]
pub async fn handle_statement(
    request: &Request,
    text: String,
    context: Data<&Arc<GatewayContext>>,
) -> Response {
    let header = request.header("authorization").unwrap_or_default();
    let operator_request = OperatorRequest {
        bearer: header
            .strip_prefix("Bearer ")
            .unwrap_or_default()
            .trim()
            .to_owned(),
        text,
    };
    match context
        .app
        .request(|reply| AppEvent::Operator(operator_request, reply))
        .await
    {
        None => error_response(
            StatusCode::SERVICE_UNAVAILABLE,
            "stopping",
            "the daemon is stopping: ask another one",
        ),
        Some(Err(error)) => error_response(status_of(&error), code_of(&error), &error.to_string()),
        Some(Ok(OperatorResponse::Table(table))) => Json(json!({ "table": table })).into_response(),
        Some(Ok(OperatorResponse::Accepted(id, offset))) => {
            Json(json!({ "accepted": { "id": id, "offset": offset } })).into_response()
        }
    }
}

fn error_response(status: StatusCode, code: &str, message: &str) -> Response {
    Json(json!({ "error": { "code": code, "message": message } }))
        .with_status(status)
        .into_response()
}

fn status_of(error: &OperatorError) -> StatusCode {
    match error {
        OperatorError::UnknownOperator => StatusCode::UNAUTHORIZED,
        OperatorError::InsufficientRole { .. } => StatusCode::FORBIDDEN,
        OperatorError::Parse(_) | OperatorError::Query(_) => StatusCode::BAD_REQUEST,
        OperatorError::Conflict(..) => StatusCode::CONFLICT,
        OperatorError::LogUnreachable => StatusCode::SERVICE_UNAVAILABLE,
        OperatorError::OutcomeUnknown(_) => StatusCode::GATEWAY_TIMEOUT,
        OperatorError::NotFound(_) => StatusCode::NOT_FOUND,
    }
}

fn code_of(error: &OperatorError) -> &'static str {
    match error {
        OperatorError::UnknownOperator => "unknown_operator",
        OperatorError::InsufficientRole { .. } => "role",
        OperatorError::Parse(_) => "parse",
        OperatorError::Query(_) => "query",
        OperatorError::Conflict(..) => "conflict",
        OperatorError::LogUnreachable => "log_out",
        OperatorError::OutcomeUnknown(_) => "outcome_unknown",
        OperatorError::NotFound(_) => "not_found",
    }
}
