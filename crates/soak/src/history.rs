//! Timestamped events of a run, recorded by callers, targets and the fault injector. The checks and the report read them.

use crate::{
    adapter_store::WeightVersions,
    targets::{TargetRole, service_name},
};
use std::{
    collections::BTreeSet,
    sync::{Arc, Mutex},
    time::Duration,
};
use tokio::time::Instant;

/// Kind of a request, which decides its route and how often it may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// Plain call that may run at most once.
    Once,
    /// Plain call that may run more than once.
    Idempotent,
    /// Stream that may run at most once.
    Stream,
    /// Stream that may be resumed on another engine.
    Resumable,
}

impl CallKind {
    /// All kinds.
    pub const ALL: [Self; 4] = [Self::Once, Self::Idempotent, Self::Stream, Self::Resumable];

    /// Name of the service that requests of this kind are routed to.
    #[must_use]
    pub fn service(self) -> &'static str {
        service_name(match self {
            Self::Once | Self::Idempotent => TargetRole::Plain,
            Self::Stream | Self::Resumable => TargetRole::Engine,
        })
    }

    /// Whether a second run violates a guarantee.
    #[must_use]
    pub fn is_at_most_once(self) -> bool {
        matches!(self, Self::Once | Self::Stream)
    }
}

/// Outcome of a request as its caller saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallAnswer {
    /// Status and body, complete according to the HTTP framing.
    Complete(u16, String),
    /// Status of an answer whose body was cut off.
    Truncated(u16),
    /// The connection was refused, closed or timed out without an answer.
    NoAnswer,
}

/// Event in a history.
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
    /// A caller takes up a stream that another of its requests began.
    TakenUp {
        /// The new request.
        id: String,
        /// The request that received the first event.
        began_by: String,
        /// Number of the last event received so far.
        after: u32,
    },
    /// A caller received events of a stream, complete or not.
    EventsReceived {
        /// The request.
        id: String,
        /// Software versions of the targets that wrote them.
        software: BTreeSet<String>,
    },
    /// A caller received a part of an answer whose body was cut off.
    PartReceived {
        /// The request.
        id: String,
        /// The part, as in [`CallAnswer::Complete`].
        text: String,
    },
    /// A caller sent its API key with a request.
    KeySent {
        /// The request.
        id: String,
        /// The key.
        key: String,
    },
    /// A configuration that revokes a key was acknowledged.
    Revoked {
        /// The key.
        key: String,
    },
    /// A target received a request on behalf of an organisation.
    RanForOrganisation {
        /// The request.
        id: String,
        /// The organisation; empty if the request names none.
        organisation: String,
    },
    /// A caller received an answer or gave up.
    Answered {
        /// The request.
        id: String,
        /// The answer.
        answer: CallAnswer,
    },
    /// A target started to run a request.
    Ran {
        /// The request.
        id: String,
        /// The target.
        target: String,
        /// The adapter that it ran on; empty for plain calls.
        adapter: String,
        /// Whether the target will truncate its answer.
        is_truncated: bool,
    },
    /// A target rejected a request without running it.
    Rejected {
        /// The request.
        id: String,
        /// The target.
        target: String,
    },
    /// An engine fetches cached parts of a request's prompt from another engine.
    CacheFetched {
        /// The request.
        id: String,
        /// The engine.
        target: String,
    },
    /// A request used cached prompt parts computed with other versions of its adapter or base model.
    CacheMismatch {
        /// The request.
        id: String,
        /// The engine.
        target: String,
        /// The adapter.
        adapter: String,
        /// Versions that the cached parts were computed with.
        cached_versions: WeightVersions,
        /// Versions that the request runs on.
        run_versions: WeightVersions,
    },
    /// A target received a reserved header with a caller's value, or the caller's API key.
    ForgedHeader {
        /// The request.
        id: String,
        /// The target.
        target: String,
    },
    /// An engine accepted an order.
    OrderAccepted {
        /// The engine.
        target: String,
        /// The VM that sent it, as lease holder.
        holder: String,
        /// Fencing token of the order.
        token: u64,
    },
    /// A request with the deadly part reached an engine, which crashed.
    EngineCrashed {
        /// The request.
        id: String,
        /// The engine.
        target: String,
    },
    /// An engine was ordered to exceed its adapter slots.
    SlotsExceeded {
        /// The engine.
        target: String,
    },
    /// The target list marks a target as draining, or no longer has it.
    TargetDraining {
        /// The target.
        target: String,
    },
    /// A configuration with this version was accepted.
    ConfigAccepted {
        /// The version; the route `/vN/` exists from version N on.
        version: u64,
    },
    /// The log was restored from a snapshot without a configuration that it had accepted.
    ConfigLost {
        /// The version.
        version: u64,
    },
    /// A VM answered a probe for the route of a configuration version.
    RouteProbed {
        /// The VM.
        vm: usize,
        /// Number of the VM's daemon process, counted from 1.
        run: u32,
        /// The version whose route was probed.
        version: u64,
        /// Whether it had the route.
        has_route: bool,
    },
    /// A fault or signal started or ended at a VM.
    VmDisturbed {
        /// The VM.
        vm: usize,
        /// Whether it was a planned stop.
        is_planned: bool,
    },
    /// The settings file of a VM was changed and its process signalled to reload it.
    SettingsReloaded {
        /// The VM.
        vm: usize,
    },
    /// A target rejected a request with a `Retry-After` period for the VM that sent it.
    RetryAfterSent {
        /// The request.
        id: String,
        /// The target.
        target: String,
        /// The period.
        retry_after: Duration,
    },
    /// A target announced draining in its answer to a request.
    DrainingAnnounced {
        /// The request.
        id: String,
        /// The target.
        target: String,
    },
    /// A VM's daemon was killed, suspended or resumed.
    ProcessSignalled {
        /// The VM.
        vm: usize,
    },
    /// A VM's daemon was restarted.
    VmStarted {
        /// The VM.
        vm: usize,
    },
    /// Calls to the log since the last entry of this kind.
    LogCalls {
        /// Number of calls.
        calls: u64,
        /// Time in which they were made.
        within: Duration,
    },
    /// A fault of the log started or ended.
    LogDisturbed,
    /// A VM is told to stop as planned.
    StopSignalled {
        /// The VM.
        vm: usize,
    },
    /// Callers begin to send most new connections to one VM.
    SkewBegan {
        /// The VM.
        vm: usize,
    },
    /// Callers spread new connections over all VMs again.
    SkewEnded {
        /// The VM.
        vm: usize,
    },
    /// A VM refused or closed a caller's connection before it sent anything.
    ClosedUnread {
        /// The request.
        id: String,
    },
    /// A target began to neither read nor write, with open connections.
    SilenceBegan {
        /// The target.
        target: String,
    },
    /// A silent target reads and writes again.
    SilenceEnded {
        /// The target.
        target: String,
    },
    /// A VM was cut off from all targets.
    PathLost {
        /// The VM.
        vm: usize,
    },
    /// A VM reaches the targets again.
    PathRestored {
        /// The VM.
        vm: usize,
    },
}

/// Event with its time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TimedEntry {
    /// Time since the start of the history.
    pub at: Duration,
    /// The event.
    pub event: HistoryEvent,
}

/// History under construction; clones share their entries.
#[derive(Clone, Debug)]
pub struct SharedHistory {
    start: Instant,
    entries: Arc<Mutex<Vec<TimedEntry>>>,
}

impl SharedHistory {
    /// Creates an empty history whose times count from now.
    #[must_use]
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            entries: Arc::default(),
        }
    }

    /// Records an event at the current time.
    ///
    /// # Panics
    /// Panics if another thread panicked while it held the lock.
    pub fn record(&self, event: HistoryEvent) {
        let at = self.start.elapsed();
        let mut entries = self
            .entries
            .lock()
            .expect("no thread panics while it holds the lock");
        entries.push(TimedEntry { at, event });
    }

    /// Returns a copy of the entries recorded so far.
    ///
    /// # Panics
    /// Panics if another thread panicked while it held the lock.
    #[must_use]
    pub fn entries(&self) -> Vec<TimedEntry> {
        self.entries
            .lock()
            .expect("no thread panics while it holds the lock")
            .clone()
    }

    /// Time since the start of the history.
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
