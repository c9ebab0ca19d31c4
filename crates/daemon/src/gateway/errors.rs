//! Error responses for callers.
//!
//! Bodies have the OpenAI shape. The error code distinguishes requests that were not run, that failed, and whose outcome
//! is unknown, so that a caller knows whether sending a request again is safe.

use crate::{app::AdmissionError, calls::CallEnd};
use hoplanding_core::{
    config::ResolveError,
    request::{NotRunReason, TokenError},
};
use poem::{IntoResponse, Response, http::StatusCode, web::Json};
use serde_json::{Value, json};

/// Outcome of a request as reported to its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ErrorCode {
    /// The request is invalid and was not run.
    Invalid,
    /// The request was not run and can be sent again.
    NotRun,
    /// The target reported a failure, or its answer was interrupted.
    Failed,
    /// The request may or may not have run.
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

/// An error response for a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerError {
    /// HTTP status of the response.
    pub status: StatusCode,
    /// Outcome of the request.
    pub code: ErrorCode,
    /// Machine-readable reason, more specific than the code.
    pub reason: String,
    /// Description and remedy for people.
    pub message: String,
    /// Delay before a retry, in milliseconds; also sent as `retry-after` in whole seconds.
    pub retry_after_ms: Option<u64>,
}

impl CallerError {
    /// Creates the error for an invalid request.
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

    /// Creates the error for a request that was not run: 429 for quota and overload, else 503.
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
            reason: reason_code(reason),
            message: format!("not run: {reason}"),
            retry_after_ms: Some(reason.retry_after_ms()),
        }
    }

    /// Creates the error for a daemon that is shutting down.
    #[must_use]
    pub fn stopping() -> Self {
        Self::not_run(&NotRunReason::Stopping)
    }

    /// Maps the end of a call to an error; `None` for a complete answer.
    #[must_use]
    pub fn from_end(end: &CallEnd) -> Option<Self> {
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

    /// Returns the OpenAI-shaped JSON body.
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
        if let Some(retry_after_ms) = self.retry_after_ms {
            response
                .headers_mut()
                .insert("retry-after", retry_after_ms.div_ceil(1000).max(1).into());
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

/// Maps an invalid idempotency token to the end of the call (422).
#[must_use]
pub fn token_refusal(error: &TokenError) -> CallEnd {
    CallEnd::Refused {
        status: StatusCode::UNPROCESSABLE_ENTITY.as_u16(),
        code: "wrong_token".to_owned(),
        message: error.to_string(),
    }
}

fn reason_code(reason: &NotRunReason) -> String {
    let value = serde_json::to_value(reason).unwrap_or_default();
    value["reason"].as_str().unwrap_or("not_run").to_owned()
}

impl From<CallerError> for poem::Error {
    fn from(error: CallerError) -> Self {
        Self::from_response(error.into_response())
    }
}
