//! What the lines say of each request.

use crate::log_lines::{LogError, WrittenLine, parse_line, read_log};
use std::collections::{BTreeMap, HashMap};

/// Event of a daemon's start, which names its VM and zone.
const STARTED: u16 = 100;

/// Everything that was read.
#[derive(Clone, Debug, Default)]
pub struct RequestLog {
    /// Lines about requests by id, each with the daemon that wrote it, in the order of their times.
    pub requests: BTreeMap<String, Vec<SourceLine>>,
    /// Zone of each daemon that said where it started.
    pub zones: HashMap<String, String>,
    /// Lines of each file that are no lines of a daemon.
    pub unreadable: Vec<(String, usize)>,
    /// Time of the first line, in milliseconds since 1970.
    pub begin: Option<i64>,
}

/// A line, and the daemon that wrote it: the word before the line's object, or else the file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SourceLine {
    /// The daemon.
    pub source: String,
    /// The line.
    pub line: WrittenLine,
}

impl RequestLog {
    /// Reads files.
    ///
    /// # Errors
    /// When one can't be read.
    pub fn read(files: &[String]) -> Result<Self, LogError> {
        let mut log = Self::default();
        for file in files {
            let text = read_log(file)?;
            log.take(file, &text);
        }
        for lines in log.requests.values_mut() {
            // Clocks of several VMs differ a little: the order is that of their times, which is close.
            lines.sort_by_key(|line| line.line.timestamp);
        }
        Ok(log)
    }

    /// Takes the lines of one file.
    pub fn take(&mut self, file: &str, text: &str) {
        let mut unreadable = 0;
        for text in text.lines().filter(|text| !text.trim().is_empty()) {
            let Some((before, line)) = parse_line(text) else {
                unreadable += 1;
                continue;
            };
            let source = before.split_whitespace().next_back().unwrap_or(file);
            self.begin = Some(
                self.begin
                    .map_or(line.timestamp, |at| at.min(line.timestamp)),
            );
            if line.event == STARTED
                && let Some(zone) = started_zone(&line.message)
            {
                self.zones.insert(source.to_owned(), zone);
            }
            if let Some(request) = line.request.clone() {
                let source = source.to_owned();
                let lines = self.requests.entry(request).or_default();
                lines.push(SourceLine { source, line });
            }
        }
        if unreadable > 0 {
            self.unreadable.push((file.to_owned(), unreadable));
        }
    }
}

/// The zone in `daemon started: VM in ZONE: ...`.
fn started_zone(message: &str) -> Option<String> {
    let (_, rest) = message.split_once(" in ")?;
    let (zone, _) = rest.split_once(':')?;
    Some(zone.to_owned())
}
