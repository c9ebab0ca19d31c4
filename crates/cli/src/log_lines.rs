//! Lines of the daemons' logs.

use serde::Deserialize;
use std::{fs, io};

/// A line as the daemon writes it.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq)]
pub struct WrittenLine {
    /// Milliseconds since 1970.
    pub timestamp: i64,
    /// Number of its event.
    pub event: u16,
    /// What it says.
    pub message: String,
    /// The request that it is about.
    pub request: Option<String>,
}

/// A log that can't be read.
#[derive(Debug, thiserror::Error)]
#[error("log {file} can't be read ({source}): name the files that the daemons' output went to")]
pub struct LogError {
    /// The file.
    pub file: String,
    /// The error of the system.
    pub source: io::Error,
}

/// Reads a log.
///
/// # Errors
/// When the file can't be read.
pub fn read_log(file: &str) -> Result<String, LogError> {
    let bytes = fs::read(file).map_err(|source| LogError {
        file: file.to_owned(),
        source,
    })?;
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}

/// Parses a JSON line of the daemon, and what stands before the object; nothing for any other text.
#[must_use]
pub fn parse_line(line: &str) -> Option<(&str, WrittenLine)> {
    let start = line.find('{')?;
    let written = serde_json::from_str(&line[start..]).ok()?;
    Some((&line[..start], written))
}
