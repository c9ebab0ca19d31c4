//! What an engine holds, and the calls sent to it.

use crate::{
    direct::{
        engine::CALL_ADOPTION_TIMEOUT,
        load_limiter::StoreLoad,
        planner::{CallKey, PlacementRequest},
        suspects::RequestFingerprint,
        versions::ObservedVersion,
    },
    ids::{AdapterName, Instant},
};

/// State of one adapter at an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CopyState {
    /// Its load waits for its turn.
    Queued,
    /// It is there in an old version, and the load of the new one waits for its turn.
    ReloadQueued,
    /// It is on its way, and there at this time.
    Loading(Instant),
    /// It is there.
    Loaded,
    /// It goes once its runs have ended.
    Unloading,
}

/// A call that waits for a load to be accepted.
#[derive(Clone, Debug)]
pub struct WaitingCall {
    /// The call.
    pub key: CallKey,
    /// What it asks for.
    pub ask: PlacementRequest,
    /// When it is given up, as its load takes longer than it can bear.
    pub until: Instant,
}

/// One adapter at an engine.
#[derive(Clone, Debug)]
pub struct AdapterCopy {
    /// Its state.
    pub state: CopyState,
    /// Its version, if anything told it.
    pub known_version: Option<ObservedVersion>,
    /// Which copy this is: another one after each load, so that no memory outlives what made it.
    pub generation: u64,
    /// Calls sent to it that have not ended.
    pub active_calls: u32,
    /// Calls that wait for its load to be accepted.
    pub waiters: Vec<WaitingCall>,
    /// When it was last asked for.
    pub last_used_at: Instant,
    /// Until when calls that nobody counts any more may still run on it.
    pub pinned_until: Instant,
    /// Whether the list was seen without it since it was last loaded, so that what the list says of it now is of this loading.
    pub was_unlisted: bool,
    /// Calls elsewhere whose engines take memory that it made: until they have begun it is neither replaced nor unloaded.
    pub borrowers: Vec<CallKey>,
    /// Until when calls elsewhere that nobody counts may still take its memory.
    pub lent_until: Instant,
    /// The load that brought it here from the weight store.
    pub load: Option<StoreLoad>,
}

impl AdapterCopy {
    pub(super) fn new(
        state: CopyState,
        known_version: Option<ObservedVersion>,
        generation: u64,
        now: Instant,
    ) -> Self {
        Self {
            state,
            known_version,
            generation,
            active_calls: 0,
            waiters: Vec::new(),
            last_used_at: now,
            pinned_until: Instant::default(),
            was_unlisted: false,
            borrowers: Vec::new(),
            lent_until: Instant::default(),
            load: None,
        }
    }

    /// Holds it as it is while gateways tell of calls that they had open before.
    pub(super) fn hold_for_unknown(&mut self, now: Instant) {
        self.pinned_until = now.after(CALL_ADOPTION_TIMEOUT);
        self.lent_until = now.after(CALL_ADOPTION_TIMEOUT);
    }

    /// Whether nothing runs on it, waits for it or takes its memory.
    #[must_use]
    pub fn is_unused(&self, now: Instant) -> bool {
        self.active_calls == 0
            && self.waiters.is_empty()
            && self.borrowers.is_empty()
            && now >= self.pinned_until
    }

    /// Whether it may be replaced: what another engine takes of it would be the new version's. One that is unloaded
    /// lends nothing.
    #[must_use]
    pub fn is_replaceable(&self, now: Instant) -> bool {
        self.is_unused(now) && now >= self.lent_until
    }

    /// Whether it has to be replaced now that a version is named: it is older, or nobody knows what it is.
    #[must_use]
    pub fn is_stale_for(&self, named: u64) -> bool {
        self.known_version
            .is_none_or(|known_version| known_version.version < named)
    }
}

/// A base model that an engine holds.
#[derive(Clone, Debug)]
pub struct LoadedModel {
    /// Its name.
    pub name: AdapterName,
    /// Its version, if anything told it.
    pub known_version: Option<ObservedVersion>,
    /// Which loading of it this is, as for a copy.
    pub generation: u64,
}

/// A call that runs at an engine.
#[derive(Clone, Debug)]
pub struct SentCall {
    /// Its adapter.
    pub subject: AdapterName,
    /// Tokens that it may take in memory.
    pub tokens: u64,
    /// Parts of its prompt that others may share.
    pub shared: Vec<u64>,
    /// Generation of the copy that it was sent to, if it is known.
    pub generation: Option<u64>,
    /// The request by what it asks, if it is known.
    pub fingerprint: Option<RequestFingerprint>,
}
