//! What callers, targets and the fault schedule saw, each entry with its time.

use crate::{
    adapter_store::WeightVersions,
    targets::{TargetRole, service_name},
};
use std::{
    sync::{Arc, Mutex},
    time::Duration,
};
use tokio::time::Instant;

/// Kind of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// A plain call that may run once.
    Once,
    /// A plain call that may run more than once.
    Idempotent,
    /// A stream that may run once.
    Stream,
    /// A stream that may be resumed.
    Resumable,
}

impl CallKind {
    /// Every kind.
    pub const ALL: [Self; 4] = [Self::Once, Self::Idempotent, Self::Stream, Self::Resumable];

    /// The service that it goes to.
    #[must_use]
    pub fn service(self) -> &'static str {
        service_name(match self {
            Self::Once | Self::Idempotent => TargetRole::Plain,
            Self::Stream | Self::Resumable => TargetRole::Engine,
        })
    }

    /// Whether a second run breaks a promise.
    #[must_use]
    pub fn is_at_most_once(self) -> bool {
        matches!(self, Self::Once | Self::Stream)
    }
}

/// What a caller got.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallAnswer {
    /// A status and a body that its framing says is whole.
    Complete(u16, String),
    /// A status and a body that broke off.
    Truncated(u16),
    /// A connection that closed, or was refused, without an answer.
    NoAnswer,
}

/// One entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HistoryEvent {
    /// A caller sent a request to a VM.
    Sent {
        /// The request.
        id: String,
        /// Its kind.
        kind: CallKind,
        /// The VM.
        vm: usize,
        /// Its adapter; empty for plain calls.
        adapter: String,
    },
    /// A caller gives a key with its request.
    KeySent {
        /// The request.
        id: String,
        /// The key.
        key: String,
    },
    /// A configuration that takes a key away is acknowledged.
    Revoked {
        /// The key.
        key: String,
    },
    /// A target is told for which organisation it runs a request.
    RanForOrganisation {
        /// The request.
        id: String,
        /// The organisation; empty if it is told none.
        organisation: String,
    },
    /// A caller has its answer.
    Answered {
        /// The request.
        id: String,
        /// The answer.
        answer: CallAnswer,
    },
    /// A target began to run a request.
    Ran {
        /// The request.
        id: String,
        /// The target.
        target: String,
        /// The adapter that it ran on; empty for plain calls.
        adapter: String,
        /// Whether the target will break its answer off.
        breaks_off: bool,
    },
    /// A target turned a request away without running it.
    Rejected {
        /// The request.
        id: String,
        /// The target.
        target: String,
    },
    /// An engine takes parts of a request's prompt from another engine.
    CacheFetched {
        /// The request.
        id: String,
        /// The engine.
        target: String,
    },
    /// A run used memory of its prompt that was made under another version of its adapter or of the base model.
    CacheMismatch {
        /// The request.
        id: String,
        /// The engine.
        target: String,
        /// The adapter.
        adapter: String,
        /// Versions that made the memory.
        made_under: WeightVersions,
        /// Versions of the run.
        runs_under: WeightVersions,
    },
    /// A target was handed a header of the system's own that a caller had forged.
    ForgedHeader {
        /// The request.
        id: String,
        /// The target.
        target: String,
    },
    /// An engine took an order.
    OrderAccepted {
        /// The engine.
        target: String,
        /// The VM that gave it.
        holder: String,
        /// Its fencing token.
        token: u64,
    },
    /// An engine was ordered beyond its places.
    SlotsExceeded {
        /// The engine.
        target: String,
    },
    /// The list says from now on that a target leaves, or lacks it.
    TargetDraining {
        /// The target.
        target: String,
    },
    /// A configuration with this version was accepted.
    ConfigAccepted {
        /// The version; the route `/vN/` exists from version N on.
        version: u64,
    },
    /// A VM answered whether it has the route of a version.
    RouteProbed {
        /// The VM.
        vm: usize,
        /// The run of its process.
        run: u32,
        /// The version whose route was asked for.
        version: u64,
        /// Whether it had the route.
        has_route: bool,
    },
    /// A fault, a signal or its end struck a VM.
    VmDisturbed {
        /// The VM.
        vm: usize,
        /// Whether it was a planned stop and nothing else.
        is_planned: bool,
    },
    /// A VM's settings file was changed, and its process told so.
    SettingsReloaded {
        /// The VM.
        vm: usize,
    },
    /// A target turned a request away, and wants nothing for a while from the VM that sent it.
    RetryAfterSent {
        /// The request.
        id: String,
        /// The target.
        target: String,
        /// For how long.
        rest: Duration,
    },
    /// A target said in its answer to a request that it leaves.
    DrainingAnnounced {
        /// The request.
        id: String,
        /// The target.
        target: String,
    },
    /// A VM's process was started again.
    VmStarted {
        /// The VM.
        vm: usize,
    },
    /// Calls to the log since the last entry of this kind.
    LogCalls {
        /// How many.
        calls: u64,
        /// In what time.
        within: Duration,
    },
    /// The log or all links were disturbed, or came back.
    LogDisturbed,
}

/// An entry with its time since the start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TimedEntry {
    /// When it was seen.
    pub at: Duration,
    /// What was seen.
    pub event: HistoryEvent,
}

/// A history that is being written.
#[derive(Clone, Debug)]
pub struct SharedHistory {
    start: Instant,
    entries: Arc<Mutex<Vec<TimedEntry>>>,
}

impl SharedHistory {
    /// An empty history that begins now.
    #[must_use]
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            entries: Arc::default(),
        }
    }

    /// Adds an entry.
    ///
    /// # Panics
    /// If a holder of the lock panicked.
    pub fn record(&self, event: HistoryEvent) {
        let at = self.start.elapsed();
        let mut entries = self.entries.lock().expect("no holder of the lock panics");
        entries.push(TimedEntry { at, event });
    }

    /// What was seen so far.
    ///
    /// # Panics
    /// If a holder of the lock panicked.
    #[must_use]
    pub fn entries(&self) -> Vec<TimedEntry> {
        self.entries
            .lock()
            .expect("no holder of the lock panics")
            .clone()
    }

    /// Time since its start.
    #[must_use]
    pub fn elapsed(&self) -> Duration {
        self.start.elapsed()
    }
}

impl Default for SharedHistory {
    fn default() -> Self {
        Self::new()
    }
}
