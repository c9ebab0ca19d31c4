//! What happened to a request or a target, from the logs of several daemons.
//!
//! Lines of all files that name it are put in the order of their times; the last event of a request says how it ended.

use crate::log_lines::{LogError, parse_line, read_log};
use jiff::Timestamp;
use std::fmt;

/// A line that names what is asked for.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LogLine {
    /// Its time, RFC 3339 in UTC, which sorts as text.
    pub time: String,
    /// The file that it stands in.
    pub file: String,
    /// Number of its event.
    pub event: u16,
    /// The rest of the line.
    pub text: String,
}

impl fmt::Display for LogLine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}  {}  E{} {}",
            self.time, self.file, self.event, self.text
        )
    }
}

/// Finds the lines of files that name `subject`, in the order of their times.
///
/// # Errors
/// When a file can't be read.
pub fn find_lines(subject: &str, files: &[String]) -> Result<Vec<LogLine>, LogError> {
    let mut lines = Vec::new();
    for file in files {
        let text = read_log(file)?;
        lines.extend(
            text.lines()
                .filter(|line| names(line, subject))
                .filter_map(|line| log_line(file, line)),
        );
    }
    lines.sort();
    Ok(lines)
}

/// Whether a line names a subject as a word of its own.
fn names(line: &str, subject: &str) -> bool {
    let is_part = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '/';
    line.match_indices(subject).any(|(at, _)| {
        let before = line[..at].chars().next_back();
        let after = line[at + subject.len()..].chars().next();
        !before.is_some_and(is_part) && !after.is_some_and(is_part)
    })
}

fn log_line(file: &str, line: &str) -> Option<LogLine> {
    let (_, written) = parse_line(line)?;
    let time = Timestamp::from_millisecond(written.timestamp).ok()?;
    let text = match written.request {
        Some(request) => format!("[{request}] {}", written.message),
        None => written.message,
    };
    Some(LogLine {
        time: format!("{time:.3}"),
        file: file.to_owned(),
        event: written.event,
        text,
    })
}

/// Says in words how a request ended, by its last event; nothing if no line tells.
#[must_use]
pub fn verdict(lines: &[LogLine]) -> Option<&'static str> {
    let last = lines
        .iter()
        .rev()
        .find(|line| matches!(line.event, 600 | 601 | 800..=802 | 815))?;
    Some(match last.event {
        600 => {
            "Its stream broke and went on at another target; no line says that it failed after that."
        }
        601 => {
            "Its answer broke off, so the caller's connection was closed: the last target line says why."
        }
        800 => {
            "No target ran it: it was refused with a promise and the time to come back. The line says why."
        }
        801 => "It may have run, and failed without a promise: the lines of its targets say where.",
        802 => {
            "No route of the configuration in force had its host and path: compare E302 of that time."
        }
        _ => "A target broke its stream off; no line says that it went on.",
    })
}
