//! Text of streams: each event names the software version of the target that wrote it.

use crate::checks::event_text;
use std::collections::BTreeSet;

/// Start of the line that names the software version.
const SOFTWARE_LINE: &str = "software: ";

/// Event of a stream as a target of a software version writes it.
#[must_use]
pub fn versioned_event(software: &str, id: &str, event: u32) -> String {
    format!("{SOFTWARE_LINE}{software}\n{}", event_text(id, event))
}

/// What a caller received of a stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReceivedStream {
    /// The text without the lines that name software versions.
    pub text: String,
    /// Software versions that the lines name.
    pub software: BTreeSet<String>,
    /// Number of the last complete event; 0 if there is none.
    pub last_event: u32,
}

impl ReceivedStream {
    /// Reads the body of an answer.
    #[must_use]
    pub fn parse(body: &str) -> Self {
        let mut received = Self::default();
        let mut begun_event = 0;
        for line in body.split_inclusive('\n') {
            if let Some(software) = line.strip_prefix(SOFTWARE_LINE) {
                received.software.insert(software.trim().to_owned());
                continue;
            }
            received.text.push_str(line);
            if let Some(id) = line.strip_prefix("id: ") {
                begun_event = id.trim().parse().unwrap_or(0);
            } else if line == "\n" {
                received.last_event = begun_event;
            }
        }
        received
    }
}
