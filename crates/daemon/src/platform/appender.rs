//! The one worker that appends to the log, in batches.

use crate::{
    app::AppEvent,
    event,
    events::Event,
    platform::{AppendError, PlatformClient},
};
use hoplanding_core::log::LogRecord;
use tokio::sync::mpsc;

/// Jobs that wait.
const JOBS: usize = 4096;
/// Jobs that go in one append.
const BATCH: usize = 512;

/// Records to append.
#[derive(Clone, Debug)]
pub struct AppendJob {
    /// Number by which the event loop knows the job; zero for one that it does not wait for.
    pub ticket: u64,
    /// The records.
    pub records: Vec<LogRecord>,
}

/// What became of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendOutcome {
    /// Its records are in the log.
    Appended,
    /// They are not.
    NotAppended,
    /// Nobody knows: the log, read forward, will tell.
    Unknown,
}

/// Hands records to the worker that appends them.
#[derive(Clone, Debug)]
pub struct LogAppender {
    jobs: mpsc::Sender<AppendJob>,
}

impl LogAppender {
    /// Starts the worker. It ends once every clone of the appender is dropped.
    #[must_use]
    pub fn start(client: PlatformClient, events: mpsc::Sender<AppEvent>) -> Self {
        let (jobs, receiver) = mpsc::channel(JOBS);
        tokio::spawn(run(client, receiver, events));
        Self { jobs }
    }

    /// Queues records; false if too many wait.
    #[must_use]
    pub fn append(&self, ticket: u64, records: Vec<LogRecord>) -> bool {
        self.jobs.try_send(AppendJob { ticket, records }).is_ok()
    }
}

async fn run(
    client: PlatformClient,
    mut jobs: mpsc::Receiver<AppendJob>,
    events: mpsc::Sender<AppEvent>,
) {
    let mut batch = Vec::with_capacity(BATCH);
    while jobs.recv_many(&mut batch, BATCH).await > 0 {
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
