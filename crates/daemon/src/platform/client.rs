//! The platform's wire: HTTP with JSON.

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
    /// The platform refused it, or no connection was made: it has no effect.
    #[error("the log refused the append ({0}): try again")]
    NotAppended(String),
    /// The answer was lost: it may have taken effect.
    #[error("the answer to the append was lost ({0}): read the log forward before trying again")]
    Unknown(String),
}

/// Why a read returned no records.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReadError {
    /// The platform can't be reached.
    #[error("the log is out of reach ({0}): try again")]
    Unreachable(String),
    /// The records expired.
    #[error("records before {0} have expired: take a snapshot")]
    Expired(LogOffset),
}

/// Records of one read.
#[derive(Clone, Debug)]
pub struct LogBatch {
    /// Where the read began; every record from there on is in `records`.
    pub from: LogOffset,
    /// Offsets and records; none in place of one that can't be decoded.
    pub records: Vec<(LogOffset, Option<LogRecord>)>,
    /// Where the next read begins.
    pub next: LogOffset,
}

/// Client of the platform.
#[derive(Clone, Debug)]
pub struct PlatformClient {
    http: Client,
    base: String,
    vm: String,
    timeout: Duration,
}

#[derive(Deserialize)]
struct AppendAnswer {
    first: LogOffset,
}

#[derive(Deserialize)]
struct ReadAnswer {
    records: Vec<ReadRecord>,
    next: LogOffset,
}

#[derive(Deserialize)]
struct ReadRecord {
    offset: LogOffset,
    record: Value,
}

#[derive(Deserialize)]
struct ExpiredAnswer {
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
    /// A client that names its VM in each request.
    #[must_use]
    pub fn new(settings: &PlatformSettings, vm: &str) -> Self {
        Self {
            http: Client::new(),
            base: format!("http://{}", settings.address),
            vm: vm.to_owned(),
            timeout: settings.timeout,
        }
    }

    /// Appends records; returns the offset of the first.
    ///
    /// # Errors
    /// Tells an append without effect from one whose effect is unknown.
    pub async fn append(&self, records: &[LogRecord]) -> Result<LogOffset, AppendError> {
        let request = self
            .http
            .post(format!("{}/log/append", self.base))
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
                let answer: AppendAnswer = response
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

    /// Reads records from an offset on, waiting for at most `wait` for the log to grow.
    ///
    /// # Errors
    /// Tells an outage from records that expired.
    pub async fn read(&self, from: LogOffset, wait: Duration) -> Result<LogBatch, ReadError> {
        let url = format!(
            "{}/log/read?from={from}&wait_ms={}",
            self.base,
            wait.as_millis()
        );
        let sent = self
            .http
            .get(url)
            .header("x-vm", &self.vm)
            .timeout(wait + self.timeout)
            .send()
            .await;
        let response = sent.map_err(out)?;
        match response.status() {
            StatusCode::OK => {
                let answer: ReadAnswer = response.json().await.map_err(out)?;
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
                let answer: ExpiredAnswer = response.json().await.map_err(out)?;
                Err(ReadError::Expired(answer.earliest))
            }
            status => Err(ReadError::Unreachable(status.to_string())),
        }
    }

    /// Reads the list of VMs.
    ///
    /// # Errors
    /// Returns an error when the platform can't be reached.
    pub async fn list_vms(&self) -> Result<Vec<ListedVm>, ReadError> {
        let request = self
            .http
            .get(format!("{}/vms", self.base))
            .header("x-vm", &self.vm);
        let response = request.timeout(self.timeout).send().await.map_err(out)?;
        let entries: Vec<VmEntry> = response
            .error_for_status()
            .map_err(out)?
            .json()
            .await
            .map_err(out)?;
        let vms = entries.into_iter().map(|entry| ListedVm {
            vm: entry.vm,
            zone: entry.zone,
            peer_address: entry.peer_address,
            state: entry.state,
        });
        Ok(vms.collect())
    }
}

// By value, so that it can stand in `map_err`.
#[allow(clippy::needless_pass_by_value)]
fn out(error: reqwest::Error) -> ReadError {
    ReadError::Unreachable(error.to_string())
}
