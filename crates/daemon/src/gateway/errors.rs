//! Errors as callers see them: OpenAI-shaped JSON whose code tells "not run" from "failed" from "outcome unknown".

use crate::{app::AdmissionError, calls::CallEnd};
use hoplanding_core::{
    config::ResolveError,
    request::{NotRunReason, TokenError},
};
use poem::{IntoResponse, Response, http::StatusCode, web::Json};
use serde_json::{Value, json};

/// What a caller may conclude.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ErrorCode {
    /// The request is wrong; it was not run.
    Invalid,
    /// It was not run.
    NotRun,
    /// The target stated that it failed, or its answer broke off.
    Failed,
    /// It may or may not have run.
    OutcomeUnknown,
}

impl ErrorCode {
    fn as_str(self) -> &'static str {
        match self {
            Self::Invalid => "invalid_request",
            Self::NotRun => "not_run",
            Self::Failed => "failed",
            Self::OutcomeUnknown => "outcome_unknown",
        }
    }
}

/// An error for a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerError {
    /// HTTP status.
    pub status: StatusCode,
    /// What may be concluded.
    pub code: ErrorCode,
    /// Machine-readable detail.
    pub reason: String,
    /// What to do about it.
    pub message: String,
    /// When to come back, in milliseconds.
    pub retry_after_ms: Option<u64>,
}

impl CallerError {
    /// A wrong request.
    #[must_use]
    pub fn invalid(status: StatusCode, reason: &str, message: impl Into<String>) -> Self {
        Self {
            status,
            code: ErrorCode::Invalid,
            reason: reason.to_owned(),
            message: message.into(),
            retry_after_ms: None,
        }
    }

    /// A request that was not run.
    #[must_use]
    pub fn not_run(reason: &NotRunReason) -> Self {
        let status = match reason {
            NotRunReason::QuotaUsedUp { .. } | NotRunReason::Overloaded { .. } => {
                StatusCode::TOO_MANY_REQUESTS
            }
            _ => StatusCode::SERVICE_UNAVAILABLE,
        };
        Self {
            status,
            code: ErrorCode::NotRun,
            reason: reason_tag(reason),
            message: format!("not run: {reason}"),
            retry_after_ms: Some(reason.retry_after_ms()),
        }
    }

    /// The daemon itself is ending.
    #[must_use]
    pub fn ending() -> Self {
        Self::not_run(&NotRunReason::Stopping)
    }

    /// The error that an end without an answer means; none for a complete answer.
    #[must_use]
    pub fn of_end(end: &CallEnd) -> Option<Self> {
        let (status, code, reason, message) = match end {
            CallEnd::Complete => return None,
            CallEnd::NotRun(proof) => return Some(Self::not_run(&proof.reason)),
            CallEnd::Failed(cause) | CallEnd::Broken(cause) => (
                StatusCode::BAD_GATEWAY,
                ErrorCode::Failed,
                "target_failed",
                format!("failed: {cause}"),
            ),
            CallEnd::Unknown(cause) => {
                let message = format!(
                    "outcome unknown: {cause}; it may have run: check before sending it again"
                );
                (
                    StatusCode::GATEWAY_TIMEOUT,
                    ErrorCode::OutcomeUnknown,
                    "outcome_unknown",
                    message,
                )
            }
            CallEnd::Refused {
                status,
                code,
                message,
            } => {
                let status = StatusCode::from_u16(*status).unwrap_or(StatusCode::BAD_REQUEST);
                (status, ErrorCode::Invalid, code.as_str(), message.clone())
            }
        };
        Some(Self {
            status,
            code,
            reason: reason.to_owned(),
            message,
            retry_after_ms: None,
        })
    }

    /// The OpenAI-shaped body.
    #[must_use]
    pub fn body(&self) -> Value {
        json!({
            "error": {
                "message": self.message,
                "type": self.code.as_str(),
                "param": null,
                "code": self.code.as_str(),
                "reason": self.reason,
                "retry_after_ms": self.retry_after_ms,
            }
        })
    }
}

impl IntoResponse for CallerError {
    fn into_response(self) -> Response {
        let mut response = Json(self.body()).with_status(self.status).into_response();
        if let Some(millis) = self.retry_after_ms {
            response
                .headers_mut()
                .insert("retry-after", millis.div_ceil(1000).max(1).into());
        }
        response
    }
}

impl From<AdmissionError> for CallerError {
    fn from(refusal: AdmissionError) -> Self {
        let message = refusal.to_string();
        let (status, reason) = match &refusal {
            AdmissionError::NotRun(reason) => return Self::not_run(reason),
            AdmissionError::UnknownCaller => (StatusCode::UNAUTHORIZED, "unknown_caller"),
            AdmissionError::Model(ResolveError::NoRight(..))
            | AdmissionError::NoServiceRight(..) => (StatusCode::FORBIDDEN, "no_right"),
            AdmissionError::Model(ResolveError::UnknownAdapter(_)) => {
                (StatusCode::NOT_FOUND, "unknown_adapter")
            }
            AdmissionError::Model(ResolveError::UnknownVersion(..)) => {
                (StatusCode::NOT_FOUND, "unknown_version")
            }
            AdmissionError::Model(ResolveError::RetiredVersion(..)) => {
                (StatusCode::NOT_FOUND, "retired_version")
            }
            AdmissionError::Model(ResolveError::NoCurrentVersion(_)) => {
                (StatusCode::NOT_FOUND, "no_current_version")
            }
            AdmissionError::UnknownService(_) => (StatusCode::NOT_FOUND, "unknown_service"),
        };
        Self::invalid(status, reason, message)
    }
}

/// The end that a wrong token means.
#[must_use]
pub fn token_refusal(error: &TokenError) -> CallEnd {
    CallEnd::Refused {
        status: StatusCode::UNPROCESSABLE_ENTITY.as_u16(),
        code: "wrong_token".to_owned(),
        message: error.to_string(),
    }
}

fn reason_tag(reason: &NotRunReason) -> String {
    let value = serde_json::to_value(reason).unwrap_or_default();
    value["reason"].as_str().unwrap_or("not_run").to_owned()
}

impl From<CallerError> for poem::Error {
    fn from(error: CallerError) -> Self {
        Self::from_response(error.into_response())
    }
}
