//! Log output: one JSON object per line, written by a thread of its own behind a bounded queue.
//!
//! A blocked output never blocks the daemon: lines that do not fit into the queue are dropped and counted. The count is
//! reported as a log event and as a metric.

use crate::{event, events::Event, options::LogSettings};
use std::{
    fs::OpenOptions,
    io::{self, Write},
    sync::OnceLock,
};
use structured_logger::{Builder, json::new_writer};
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};

/// Capacity of the queue in lines of about 190 bytes: 14 s at 147 lines/s, the peak rate of one VM on days with many
/// faults.
const QUEUE_CAPACITY_LINES: usize = 2_048;
static DROPPED_LINES: OnceLock<ErrorCounter> = OnceLock::new();

/// Log writer; flushes the queued lines when dropped.
pub struct LogWriter {
    _guard: WorkerGuard,
}

impl LogWriter {
    /// Starts logging to the file of the settings, or to standard output.
    ///
    /// # Errors
    /// Returns the I/O error if the file can't be opened.
    pub fn start(settings: &LogSettings) -> io::Result<Self> {
        match &settings.file {
            Some(path) => {
                let file = OpenOptions::new().create(true).append(true).open(path)?;
                Ok(Self::to(&settings.level, file))
            }
            None => Ok(Self::to(&settings.level, io::stdout())),
        }
    }

    /// Starts logging to an output that may block.
    pub fn to(level: &str, output: impl Write + Send + 'static) -> Self {
        let (writer, guard) = NonBlockingBuilder::default()
            .lossy(true)
            .buffered_lines_limit(QUEUE_CAPACITY_LINES)
            .thread_name("log")
            .finish(output);
        // There is only one writer per process.
        let _ = DROPPED_LINES.set(writer.error_counter());
        let logger = Builder::with_level("trace")
            // Discards the lines of libraries; only numbered events are written.
            .with_default_writer(new_writer(io::sink()))
            .with_target_writer("hoplanding", new_writer(writer))
            .try_init();
        // Fails only if the process has a logger already.
        debug_assert!(logger.is_ok());
        set_level(level);
        Self { _guard: guard }
    }
}

/// Sets the lowest level that is written; an invalid level means `info`.
pub fn set_level(level: &str) {
    log::set_max_level(level.parse().unwrap_or(log::LevelFilter::Info));
}

/// Returns the number of lines dropped since the start.
#[must_use]
pub fn dropped_lines() -> usize {
    DROPPED_LINES.get().map_or(0, ErrorCounter::dropped_lines)
}

/// Logs an event if lines were dropped since `previous`, the count of the last report; returns the current count.
pub fn report_dropped_lines(previous: usize) -> usize {
    let dropped = dropped_lines();
    if dropped > previous {
        event!(
            Event::LogLinesDropped,
            "{} since the last report",
            dropped - previous
        );
    }
    dropped
}
