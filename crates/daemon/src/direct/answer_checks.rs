//! Whether single targets answer requests of this VM.
//!
//! Calls that wait for the same target share one check.

use crate::clock;
use hoplanding_core::ids::Instant;
use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};
use tokio::sync::Mutex as AsyncMutex;

/// Age up to which the result of a check is used.
const MAX_RESULT_AGE: Duration = Duration::from_millis(100);

/// Result of asking a target.
#[derive(Clone, Copy, Debug)]
struct CheckResult {
    is_answering: bool,
    at: Instant,
}

type CheckSlot = Arc<AsyncMutex<Option<CheckResult>>>;

/// Latest checks of targets, by address.
#[derive(Debug, Default)]
pub struct AnswerChecks {
    slots: Mutex<HashMap<SocketAddr, CheckSlot>>,
}

impl AnswerChecks {
    fn slots(&self) -> MutexGuard<'_, HashMap<SocketAddr, CheckSlot>> {
        self.slots
            .lock()
            .expect("no thread panics while it holds the lock")
    }

    /// Whether the target at an address answers: the result of the latest check, or of `ask`.
    pub async fn result(&self, address: SocketAddr, ask: impl Future<Output = bool>) -> bool {
        let slot = Arc::clone(self.slots().entry(address).or_default());
        let mut latest = slot.lock().await;
        if let Some(result) = *latest
            && clock::now().since(result.at) < MAX_RESULT_AGE
        {
            return result.is_answering;
        }
        let is_answering = ask.await;
        *latest = Some(CheckResult {
            is_answering,
            at: clock::now(),
        });
        is_answering
    }

    /// Forgets the checks that no call waits for.
    pub fn forget_unused(&self) {
        self.slots().retain(|_, slot| Arc::strong_count(slot) > 1);
    }
}
