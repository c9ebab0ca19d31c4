//! HTTP client of the daemons' operator API.

use hoplanding_core::language::DataTable;
use reqwest::Client;
use serde::Deserialize;
use std::time::Duration;

/// Longer than a daemon's own timeout for a change, so that its answer arrives first.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);

/// Successful answer to a statement.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StatementAnswer {
    /// Result of a query.
    Table(DataTable),
    /// The change is active at the daemon that answered.
    Accepted(AcceptedChange),
}

/// Identification of an accepted change.
#[derive(Clone, Debug, Deserialize, serde::Serialize)]
pub struct AcceptedChange {
    /// Change id.
    pub id: String,
    /// Offset of the change in the log.
    pub offset: u64,
}

/// Failure of a statement.
#[derive(Clone, Debug, thiserror::Error)]
pub enum StatementError {
    /// The daemon could not be reached, or its answer could not be read.
    #[error("{url} can't be reached ({cause}): name another daemon with --url or HOPLANDING_URL")]
    Unreachable {
        /// URL of the daemon.
        url: String,
        /// Error of the HTTP client.
        cause: String,
    },
    /// The daemon rejected the statement.
    #[error("{message}")]
    Refused {
        /// Machine-readable error code.
        code: String,
        /// Error message with the remedy.
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
    /// Creates a client that authenticates with an operator's token.
    #[must_use]
    pub fn new(url: &str, token: &str) -> Self {
        Self {
            http: Client::new(),
            url: url.trim_end_matches('/').to_owned(),
            token: token.to_owned(),
        }
    }

    /// Sends a statement and waits up to 20 seconds for the answer.
    ///
    /// # Errors
    /// Returns whether the daemon was unreachable or rejected the statement.
    pub async fn send(&self, text: &str) -> Result<StatementAnswer, StatementError> {
        let request = self
            .http
            .post(format!("{}/operators/v1/statements", self.url));
        let request = request
            .bearer_auth(&self.token)
            .timeout(ANSWER_TIMEOUT)
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
