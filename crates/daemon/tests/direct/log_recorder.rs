//! Records the daemons' log lines, so that tests can read what they say of a request.

use log::{LevelFilter, Log, Metadata, Record, kv::Key};
use std::sync::{Mutex, MutexGuard, Once};

/// A recorded log line.
#[derive(Clone, Debug)]
pub struct LogLine {
    pub event: u64,
    /// Id of the request that the line names; empty if it names none.
    pub request: String,
    pub message: String,
}

struct LogRecorder;

static START: Once = Once::new();
static LINES: Mutex<Vec<LogLine>> = Mutex::new(Vec::new());

fn lines() -> MutexGuard<'static, Vec<LogLine>> {
    LINES
        .lock()
        .expect("no thread panics while it holds the lock")
}

impl Log for LogRecorder {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.target() == "hoplanding"
    }

    fn log(&self, record: &Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let values = record.key_values();
        let event = values.get(Key::from("event"));
        let request = values.get(Key::from("request"));
        lines().push(LogLine {
            event: event.and_then(|event| event.to_u64()).unwrap_or(0),
            request: request
                .map(|request| request.to_string())
                .unwrap_or_default(),
            message: record.args().to_string(),
        });
    }

    fn flush(&self) {}
}

/// Records the lines of all daemons of this process from now on.
pub fn record_lines() {
    START.call_once(|| {
        log::set_logger(&LogRecorder).expect("no other logger");
        log::set_max_level(LevelFilter::Info);
    });
}

/// Messages of the lines with this event that name the request.
pub fn lines_of(request: &str, event: u64) -> Vec<String> {
    let recorded = lines();
    let matching = recorded
        .iter()
        .filter(|line| line.event == event && line.request == request);
    matching.map(|line| line.message.clone()).collect()
}

/// Messages of the lines with this event that contain the text.
pub fn lines_with(text: &str, event: u64) -> Vec<String> {
    let recorded = lines();
    let matching = recorded
        .iter()
        .filter(|line| line.event == event && line.message.contains(text));
    matching.map(|line| line.message.clone()).collect()
}
