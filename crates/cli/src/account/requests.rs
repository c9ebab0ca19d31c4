//! Groups the log lines of several daemons by request id.

use crate::log_lines::{LogEntry, LogError, parse_line, read_log};
use std::collections::{BTreeMap, HashMap};

/// Event of a daemon's start; its message names the VM and zone.
const STARTED: u16 = 100;

/// Log lines of several files, grouped by request.
#[derive(Clone, Debug, Default)]
pub struct RequestLog {
    /// Lines of each request id; [`RequestLog::read`] orders them by time.
    pub requests: BTreeMap<String, Vec<SourceLine>>,
    /// Zone of each daemon whose start is logged.
    pub zones: HashMap<String, String>,
    /// Files with lines that could not be parsed, and how many.
    pub unreadable: Vec<(String, usize)>,
    /// Earliest timestamp, in milliseconds since the Unix epoch.
    pub begin: Option<i64>,
}

/// A log line with its source.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SourceLine {
    /// Daemon that wrote the line: the last word before the JSON object, or the file name if there is none.
    pub source: String,
    /// Parsed JSON object of the line.
    pub entry: LogEntry,
}

impl RequestLog {
    /// Reads all `files` and orders the lines of each request by time.
    ///
    /// # Errors
    /// Returns an error if a file can't be read.
    pub fn read(files: &[String]) -> Result<Self, LogError> {
        let mut log = Self::default();
        for file in files {
            let text = read_log(file)?;
            log.add_lines(file, &text);
        }
        for lines in log.requests.values_mut() {
            // The order across VMs is approximate, because their clocks differ slightly.
            lines.sort_by_key(|line| line.entry.timestamp);
        }
        Ok(log)
    }

    /// Adds the lines of one file, without ordering them.
    pub fn add_lines(&mut self, file: &str, text: &str) {
        let mut unreadable = 0;
        for line in text.lines().filter(|line| !line.trim().is_empty()) {
            let Some((before, entry)) = parse_line(line) else {
                unreadable += 1;
                continue;
            };
            let source = before.split_whitespace().next_back().unwrap_or(file);
            self.begin = Some(
                self.begin
                    .map_or(entry.timestamp, |begin| begin.min(entry.timestamp)),
            );
            if entry.event == STARTED
                && let Some(zone) = parse_started_zone(&entry.message)
            {
                self.zones.insert(source.to_owned(), zone);
            }
            if let Some(request) = entry.request.clone() {
                let source = source.to_owned();
                let lines = self.requests.entry(request).or_default();
                lines.push(SourceLine { source, entry });
            }
        }
        if unreadable > 0 {
            self.unreadable.push((file.to_owned(), unreadable));
        }
    }
}

/// Parses the zone from `daemon started: VM in ZONE: ...`.
fn parse_started_zone(message: &str) -> Option<String> {
    let (_, rest) = message.split_once(" in ")?;
    let (zone, _) = rest.split_once(':')?;
    Some(zone.to_owned())
}
