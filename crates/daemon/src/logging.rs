//! Where log lines go: one JSON object a line, by a bounded queue that never holds the daemon up.
//!
//! Lines that do not fit into the queue are dropped and counted. The count goes out as an event of its own, and stands
//! among the metrics.

use crate::{event, events::Event, options::LogSettings};
use std::{
    fs::OpenOptions,
    io::{self, Write},
    sync::OnceLock,
};
use structured_logger::{Builder, json::new_writer};
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};

/// Lines that wait to be written: fourteen seconds of the most that a VM wrote in one second of four bad days (147 lines
/// of some 190 bytes, kettleby-reels-grown scale-1).
const WAITING_LINES: usize = 2_048;
static DROPPED: OnceLock<ErrorCounter> = OnceLock::new();

/// The writer of the log; what waits is written when it is dropped.
pub struct LogWriter {
    _guard: WorkerGuard,
}

impl LogWriter {
    /// Sends the log to where the settings say.
    ///
    /// # Errors
    /// When the file can't be opened.
    pub fn start(settings: &LogSettings) -> io::Result<Self> {
        match &settings.file {
            Some(path) => {
                let file = OpenOptions::new().create(true).append(true).open(path)?;
                Ok(Self::to(&settings.level, file))
            }
            None => Ok(Self::to(&settings.level, io::stdout())),
        }
    }

    /// Sends the log to an output that may block.
    pub fn to(level: &str, output: impl Write + Send + 'static) -> Self {
        let (writer, guard) = NonBlockingBuilder::default()
            .lossy(true)
            .buffered_lines_limit(WAITING_LINES)
            .thread_name("log")
            .finish(output);
        // Only one writer starts in a process.
        let _ = DROPPED.set(writer.error_counter());
        let logger = Builder::with_level("trace")
            // Libraries' lines are theirs: only numbered events go out.
            .with_default_writer(new_writer(io::sink()))
            .with_target_writer("hoplanding", new_writer(writer))
            .try_init();
        // A second logger can't be set, and there is none before this one.
        debug_assert!(logger.is_ok());
        set_level(level);
        Self { _guard: guard }
    }
}

/// Sets the least level that is written.
pub fn set_level(level: &str) {
    log::set_max_level(level.parse().unwrap_or(log::LevelFilter::Info));
}

/// Lines that were dropped since the start.
#[must_use]
pub fn dropped_lines() -> usize {
    DROPPED.get().map_or(0, ErrorCounter::dropped_lines)
}

/// Says so when lines were dropped since the last look, given the count then; returns the count now.
pub fn report_dropped_lines(seen: usize) -> usize {
    let dropped = dropped_lines();
    if dropped > seen {
        event!(
            Event::LogLinesDropped,
            "{} since the last look",
            dropped - seen
        );
    }
    dropped
}
