//! Finds the log lines of several daemons that mention one request or target.
//!
//! The lines of all files are merged by time; the last final event of a request tells how it ended.

use crate::log_lines::{LogError, parse_line, read_log};
use jiff::Timestamp;
use std::fmt;

/// A log line that mentions the subject.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LogLine {
    /// RFC 3339 time in UTC with milliseconds; sorts as text.
    pub time: String,
    /// Path of the log file.
    pub file: String,
    /// Event number.
    pub event: u16,
    /// Message, with the request id before it if there is one.
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

/// Finds the lines of `files` that mention `subject`, ordered by time.
///
/// # Errors
/// Returns an error if a file can't be read.
pub fn find_lines(subject: &str, files: &[String]) -> Result<Vec<LogLine>, LogError> {
    let mut lines = Vec::new();
    for file in files {
        let text = read_log(file)?;
        lines.extend(
            text.lines()
                .filter(|line| mentions(line, subject))
                .filter_map(|line| to_log_line(file, line)),
        );
    }
    lines.sort();
    Ok(lines)
}

/// Whether a line contains the subject as a whole word, so that an id does not match a longer one.
fn mentions(line: &str, subject: &str) -> bool {
    let is_word_char = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '/';
    line.match_indices(subject).any(|(at, _)| {
        let before = line[..at].chars().next_back();
        let after = line[at + subject.len()..].chars().next();
        !before.is_some_and(is_word_char) && !after.is_some_and(is_word_char)
    })
}

fn to_log_line(file: &str, line: &str) -> Option<LogLine> {
    let (_, entry) = parse_line(line)?;
    let time = Timestamp::from_millisecond(entry.timestamp).ok()?;
    let text = match entry.request {
        Some(request) => format!("[{request}] {}", entry.message),
        None => entry.message,
    };
    Some(LogLine {
        time: format!("{time:.3}"),
        file: file.to_owned(),
        event: entry.event,
        text,
    })
}

/// Describes how a request ended, by its last final event; `None` if no line has one.
#[must_use]
pub fn describe_outcome(lines: &[LogLine]) -> Option<&'static str> {
    let last = lines
        .iter()
        .rev()
        .find(|line| matches!(line.event, 600 | 601 | 800..=802 | 815))?;
    Some(match last.event {
        600 => {
            "The stream broke and was resumed at another target; no line reports a failure after that."
        }
        601 => {
            "The answer was incomplete, so the caller's connection was closed: the last line about a target says why."
        }
        800 => {
            "No target ran it: it was refused with a guarantee of that and a retry time. The line says why."
        }
        801 => "It failed and may have run: the lines about its targets say where.",
        802 => {
            "No route of the active configuration matched its host and path: compare E302 of that time."
        }
        _ => "A target broke the stream off; no line reports that it was resumed.",
    })
}
