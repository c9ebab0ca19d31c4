//! Worker that appends records to the log in batches.

use crate::{
    app::AppEvent,
    event,
    events::Event,
    platform::{AppendError, PlatformClient},
};
use hoplanding_core::log::LogRecord;
use tokio::sync::mpsc;

/// Capacity of the job queue.
const QUEUE_CAPACITY: usize = 4096;
/// Largest number of jobs in one append.
const MAX_BATCH_JOBS: usize = 512;

/// Records to append.
#[derive(Clone, Debug)]
pub struct AppendJob {
    /// Number that the event loop matches with the outcome; zero if it does not wait for one.
    pub ticket: u64,
    /// Records in log order.
    pub records: Vec<LogRecord>,
}

/// Outcome of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendOutcome {
    /// The records are in the log.
    Appended,
    /// The records are not in the log.
    NotAppended,
    /// The answer was lost; reading the log forward shows whether the records are in it.
    Unknown,
}

/// Handle for queueing records to the append worker.
#[derive(Clone, Debug)]
pub struct LogAppender {
    jobs: mpsc::Sender<AppendJob>,
}

impl LogAppender {
    /// Starts the worker. It ends once all clones of the handle are dropped.
    #[must_use]
    pub fn start(client: PlatformClient, events: mpsc::Sender<AppEvent>) -> Self {
        let (jobs, receiver) = mpsc::channel(QUEUE_CAPACITY);
        tokio::spawn(run_appender(client, receiver, events));
        Self { jobs }
    }

    /// Queues records; returns false if the queue is full.
    #[must_use]
    pub fn append(&self, ticket: u64, records: Vec<LogRecord>) -> bool {
        self.jobs.try_send(AppendJob { ticket, records }).is_ok()
    }
}

async fn run_appender(
    client: PlatformClient,
    mut jobs: mpsc::Receiver<AppendJob>,
    events: mpsc::Sender<AppEvent>,
) {
    let mut batch = Vec::with_capacity(MAX_BATCH_JOBS);
    while jobs.recv_many(&mut batch, MAX_BATCH_JOBS).await > 0 {
        let records: Vec<_> = batch
            .iter()
            .flat_map(|job| job.records.iter().cloned())
            .collect();
        let outcome = match client.append(&records).await {
            Ok(_) => AppendOutcome::Appended,
            Err(AppendError::NotAppended(_)) => AppendOutcome::NotAppended,
            Err(AppendError::Unknown(cause)) => {
                event!(
                    Event::AppendOutcomeUnknown,
                    "{} records: {cause}",
                    records.len()
                );
                AppendOutcome::Unknown
            }
        };
        let tickets = batch
            .drain(..)
            .map(|job| job.ticket)
            .filter(|ticket| *ticket > 0)
            .collect();
        if events
            .send(AppEvent::Appended(tickets, outcome))
            .await
            .is_err()
        {
            return;
        }
    }
}
