//! Reads log files and parses the JSON lines that daemons write.

use serde::Deserialize;
use std::{fs, io};

/// Fields of one JSON log line.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq)]
pub struct LogEntry {
    /// Milliseconds since the Unix epoch.
    pub timestamp: i64,
    /// Event number.
    pub event: u16,
    /// Event text, with details after it.
    pub message: String,
    /// Request id, if the event concerns one request.
    pub request: Option<String>,
}

/// A log file could not be read.
#[derive(Debug, thiserror::Error)]
#[error("log {file} can't be read ({source}): name the files that the daemons' output went to")]
pub struct LogError {
    /// Path as given.
    pub file: String,
    /// Cause.
    pub source: io::Error,
}

/// Reads a log file; invalid UTF-8 is replaced.
///
/// # Errors
/// Returns an error if the file can't be read.
pub fn read_log(file: &str) -> Result<String, LogError> {
    let bytes = fs::read(file).map_err(|source| LogError {
        file: file.to_owned(),
        source,
    })?;
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}

/// Splits a log line into the text before the JSON object and the parsed object.
///
/// Returns `None` for text that a daemon did not write.
#[must_use]
pub fn parse_line(line: &str) -> Option<(&str, LogEntry)> {
    let start = line.find('{')?;
    let entry = serde_json::from_str(&line[start..]).ok()?;
    Some((&line[..start], entry))
}
