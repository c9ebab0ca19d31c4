//! Workers that read the log and poll the list of VMs.

use crate::{
    app::AppEvent,
    platform::{PlatformClient, ReadError},
};
use hoplanding_core::ids::LogOffset;
use std::time::Duration;
use tokio::sync::{mpsc, watch};

/// Pause after a failed read.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// Time that a read waits for new records (long poll).
const LONG_POLL_WAIT: Duration = Duration::from_secs(5);

/// Reads the log starting at `from`; the event loop changes `from` after it has adopted a snapshot.
pub async fn run_log_reader(
    client: PlatformClient,
    mut from: watch::Receiver<LogOffset>,
    events: mpsc::Sender<AppEvent>,
) {
    let mut next = *from.borrow_and_update();
    // The first read after a start or an outage returns at once, so that the event loop learns where the log ends.
    let mut wait = Duration::ZERO;
    loop {
        let read = tokio::select! {
            read = client.read(next, wait) => read,
            changed = from.changed() => {
                if changed.is_err() {
                    return;
                }
                next = *from.borrow_and_update();
                wait = Duration::ZERO;
                continue;
            }
        };
        let event = match read {
            Ok(batch) => {
                next = batch.next;
                wait = LONG_POLL_WAIT;
                AppEvent::LogRead(batch)
            }
            Err(ReadError::Expired(earliest)) => {
                next = earliest;
                AppEvent::LogExpired(earliest)
            }
            Err(ReadError::Unreachable(cause)) => {
                wait = Duration::ZERO;
                tokio::time::sleep(RETRY_INTERVAL).await;
                AppEvent::LogUnreachable(cause)
            }
        };
        if events.send(event).await.is_err() {
            return;
        }
    }
}

/// Polls the list of VMs every `interval`; failed reads are skipped.
pub async fn run_vm_list_reader(
    client: PlatformClient,
    interval: Duration,
    events: mpsc::Sender<AppEvent>,
) {
    loop {
        if let Ok(list) = client.list_vms().await
            && events.send(AppEvent::VmsListed(list)).await.is_err()
        {
            return;
        }
        tokio::select! {
            () = tokio::time::sleep(interval) => {}
            () = events.closed() => return,
        }
    }
}
