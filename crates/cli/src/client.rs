//! The daemon's operators' interface.

use hoplanding_core::language::DataTable;
use reqwest::Client;
use serde::Deserialize;
use std::time::Duration;

/// Time for an answer; a daemon gives up on a change before that.
const ANSWER_WITHIN: Duration = Duration::from_secs(20);

/// What a daemon answered.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StatementAnswer {
    /// Rows.
    Table(DataTable),
    /// A change is in force at the daemon.
    Accepted(AcceptedChange),
}

/// A change that is in force.
#[derive(Clone, Debug, Deserialize, serde::Serialize)]
pub struct AcceptedChange {
    /// Its id.
    pub id: String,
    /// Its offset in the log.
    pub offset: u64,
}

/// Why there is no answer.
#[derive(Clone, Debug, thiserror::Error)]
pub enum StatementError {
    /// No daemon answered.
    #[error("{url} can't be reached ({cause}): name another daemon with --url or HOPLANDING_URL")]
    Unreachable {
        /// The URL.
        url: String,
        /// The error.
        cause: String,
    },
    /// The daemon refused the statement.
    #[error("{message}")]
    Refused {
        /// Machine-readable code.
        code: String,
        /// What to do about it.
        message: String,
    },
}

#[derive(Deserialize)]
struct ErrorBody {
    error: ErrorDetail,
}

#[derive(Deserialize)]
struct ErrorDetail {
    code: String,
    message: String,
}

/// Client of one daemon.
#[derive(Clone, Debug)]
pub struct DaemonClient {
    http: Client,
    url: String,
    token: String,
}

impl DaemonClient {
    /// A client with an operator's token.
    #[must_use]
    pub fn new(url: &str, token: &str) -> Self {
        Self {
            http: Client::new(),
            url: url.trim_end_matches('/').to_owned(),
            token: token.to_owned(),
        }
    }

    /// Sends a statement.
    ///
    /// # Errors
    /// Tells a daemon out of reach from one that refused the statement.
    pub async fn send(&self, text: &str) -> Result<StatementAnswer, StatementError> {
        let request = self
            .http
            .post(format!("{}/operators/v1/statements", self.url));
        let request = request
            .bearer_auth(&self.token)
            .timeout(ANSWER_WITHIN)
            .body(text.to_owned());
        let response = request
            .send()
            .await
            .map_err(|error| self.unreachable(&error))?;
        if response.status().is_success() {
            return response
                .json()
                .await
                .map_err(|error| self.unreachable(&error));
        }
        let body: ErrorBody = response
            .json()
            .await
            .map_err(|error| self.unreachable(&error))?;
        Err(StatementError::Refused {
            code: body.error.code,
            message: body.error.message,
        })
    }

    fn unreachable(&self, error: &reqwest::Error) -> StatementError {
        StatementError::Unreachable {
            url: self.url.clone(),
            cause: error.to_string(),
        }
    }
}
