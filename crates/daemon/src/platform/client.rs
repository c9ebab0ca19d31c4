//! Client of the platform: HTTP with JSON.

use crate::options::PlatformSettings;
use hoplanding_core::{
    ids::{AvailabilityZone, LogOffset, VmName},
    log::LogRecord,
    membership::{ListedState, ListedVm},
};
use reqwest::{Client, StatusCode};
use serde::Deserialize;
use serde_json::{Value, json};
use std::time::Duration;

/// Why an append did not return an offset.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AppendError {
    /// The platform refused the append, or no connection was made: it has no effect.
    #[error("the log refused the append ({0}): try again")]
    NotAppended(String),
    /// The answer was lost: the append may have taken effect.
    #[error("the answer to the append was lost ({0}): read the log forward before trying again")]
    Unknown(String),
}

/// Why a read returned no records.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReadError {
    /// The platform can't be reached.
    #[error("the log is out of reach ({0}): try again")]
    Unreachable(String),
    /// The records have expired; the offset is the earliest one still in the log.
    #[error("records before {0} have expired: take a snapshot")]
    Expired(LogOffset),
}

/// Result of one read.
#[derive(Clone, Debug)]
pub struct LogBatch {
    /// First offset of the read; `records` holds every record from there to `next`.
    pub from: LogOffset,
    /// Offsets and records; `None` for a record that can't be decoded.
    pub records: Vec<(LogOffset, Option<LogRecord>)>,
    /// Offset at which the next read starts.
    pub next: LogOffset,
}

/// HTTP client of the platform.
#[derive(Clone, Debug)]
pub struct PlatformClient {
    http: Client,
    base_url: String,
    vm: String,
    timeout: Duration,
}

#[derive(Deserialize)]
struct AppendResponse {
    first: LogOffset,
}

#[derive(Deserialize)]
struct ReadResponse {
    records: Vec<ReadRecord>,
    next: LogOffset,
}

#[derive(Deserialize)]
struct ReadRecord {
    offset: LogOffset,
    record: Value,
}

#[derive(Deserialize)]
struct ExpiredResponse {
    earliest: LogOffset,
}

#[derive(Deserialize)]
struct VmEntry {
    vm: VmName,
    zone: AvailabilityZone,
    peer_address: String,
    state: ListedState,
}

impl PlatformClient {
    /// Creates a client that names its VM in the `x-vm` header of each request.
    #[must_use]
    pub fn new(settings: &PlatformSettings, vm: &str) -> Self {
        Self {
            http: Client::new(),
            base_url: format!("http://{}", settings.address),
            vm: vm.to_owned(),
            timeout: settings.timeout,
        }
    }

    /// Appends records; returns the offset of the first.
    ///
    /// # Errors
    /// Distinguishes an append without effect from one whose effect is unknown.
    pub async fn append(&self, records: &[LogRecord]) -> Result<LogOffset, AppendError> {
        let request = self
            .http
            .post(format!("{}/log/append", self.base_url))
            .header("x-vm", &self.vm);
        let sent = request
            .json(&json!({ "records": records }))
            .timeout(self.timeout)
            .send()
            .await;
        let response = match sent {
            Ok(response) => response,
            Err(error) if error.is_connect() => {
                return Err(AppendError::NotAppended(error.to_string()));
            }
            Err(error) => return Err(AppendError::Unknown(error.to_string())),
        };
        match response.status() {
            StatusCode::OK => {
                let answer: AppendResponse = response
                    .json()
                    .await
                    .map_err(|error| AppendError::Unknown(error.to_string()))?;
                Ok(answer.first)
            }
            StatusCode::SERVICE_UNAVAILABLE => {
                Err(AppendError::NotAppended("unavailable".to_owned()))
            }
            status => Err(AppendError::Unknown(status.to_string())),
        }
    }

    /// Reads records starting at `from`, waiting at most `wait` for new ones (long poll).
    ///
    /// # Errors
    /// Distinguishes an unreachable platform from expired records.
    pub async fn read(&self, from: LogOffset, wait: Duration) -> Result<LogBatch, ReadError> {
        let url = format!(
            "{}/log/read?from={from}&wait_ms={}",
            self.base_url,
            wait.as_millis()
        );
        let sent = self
            .http
            .get(url)
            .header("x-vm", &self.vm)
            .timeout(wait + self.timeout)
            .send()
            .await;
        let response = sent.map_err(unreachable_error)?;
        match response.status() {
            StatusCode::OK => {
                let answer: ReadResponse = response.json().await.map_err(unreachable_error)?;
                let records = answer
                    .records
                    .into_iter()
                    .map(|read| (read.offset, serde_json::from_value(read.record).ok()));
                Ok(LogBatch {
                    from,
                    records: records.collect(),
                    next: answer.next,
                })
            }
            StatusCode::GONE => {
                let answer: ExpiredResponse = response.json().await.map_err(unreachable_error)?;
                Err(ReadError::Expired(answer.earliest))
            }
            status => Err(ReadError::Unreachable(status.to_string())),
        }
    }

    /// Reads the list of VMs.
    ///
    /// # Errors
    /// Returns [`ReadError::Unreachable`] if the platform can't be reached or its answer can't be parsed.
    pub async fn list_vms(&self) -> Result<Vec<ListedVm>, ReadError> {
        let request = self
            .http
            .get(format!("{}/vms", self.base_url))
            .header("x-vm", &self.vm);
        let response = request
            .timeout(self.timeout)
            .send()
            .await
            .map_err(unreachable_error)?;
        let entries: Vec<VmEntry> = response
            .error_for_status()
            .map_err(unreachable_error)?
            .json()
            .await
            .map_err(unreachable_error)?;
        let vms = entries.into_iter().map(|entry| ListedVm {
            vm: entry.vm,
            zone: entry.zone,
            peer_address: entry.peer_address,
            state: entry.state,
        });
        Ok(vms.collect())
    }
}

// Takes the error by value for use with `map_err`.
#[allow(clippy::needless_pass_by_value)]
fn unreachable_error(error: reqwest::Error) -> ReadError {
    ReadError::Unreachable(error.to_string())
}
