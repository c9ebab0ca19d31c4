//! Adapters and base models that an engine holds, and the calls sent to it.

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

/// State of an adapter copy at an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CopyState {
    /// The load waits in the order queue.
    Queued,
    /// An old version is loaded, and the load of the new one waits in the order queue.
    ReloadQueued,
    /// The load is in progress and expected to finish at this time.
    Loading(Instant),
    /// The adapter is loaded.
    Loaded,
    /// The unload was accepted and takes effect once the calls on the copy have ended.
    Unloading,
}

/// Call that waits until the engine accepts the load of its adapter.
#[derive(Clone, Debug)]
pub struct WaitingCall {
    /// Key of the call.
    pub key: CallKey,
    /// Placement request of the call.
    pub request: PlacementRequest,
    /// Time at which the call is refused if the load has not been accepted.
    pub until: Instant,
}

/// Copy of an adapter at an engine.
#[derive(Clone, Debug)]
pub struct AdapterCopy {
    /// Load state.
    pub state: CopyState,
    /// Version, with the source of that knowledge, if known.
    pub known_version: Option<ObservedVersion>,
    /// Generation of the copy. It changes with each load, so that KV cache of earlier weights is not used.
    pub generation: u64,
    /// Calls sent to the copy that have not ended.
    pub active_calls: u32,
    /// Calls that wait for the load to be accepted.
    pub waiters: Vec<WaitingCall>,
    /// Time of the last call for the adapter.
    pub last_used_at: Instant,
    /// Time until which untracked calls may still run on the copy.
    pub pinned_until: Instant,
    /// Whether the platform's list was seen without the adapter since the last load. Only then does a listed version
    /// describe this load.
    pub was_unlisted: bool,
    /// Calls at other engines that fetch KV cache from this copy. It is neither replaced nor unloaded until they have
    /// started.
    pub borrowers: Vec<CallKey>,
    /// Time until which untracked calls at other engines may still fetch KV cache from the copy.
    pub lent_until: Instant,
    /// Load from the weight store that created the copy, if there was one.
    pub load: Option<StoreLoad>,
    /// Rank of the reload that created the copy, until a call shows whether it was as fast as expected.
    pub reload_rank: Option<usize>,
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
            reload_rank: None,
        }
    }

    /// Pins the copy while gateways report their open calls to a new holder.
    pub(super) fn pin_for_adoption(&mut self, now: Instant) {
        self.pinned_until = now.after(CALL_ADOPTION_TIMEOUT);
        self.lent_until = now.after(CALL_ADOPTION_TIMEOUT);
    }

    /// Whether no call runs on the copy, waits for it or fetches its KV cache.
    #[must_use]
    pub fn is_unused(&self, now: Instant) -> bool {
        self.active_calls == 0
            && self.waiters.is_empty()
            && self.borrowers.is_empty()
            && now >= self.pinned_until
    }

    /// Whether the copy may be replaced by another version.
    ///
    /// This is stricter than for an unload: an unloaded copy lends nothing, while a fetch from a replaced copy would
    /// get KV cache of the new version.
    #[must_use]
    pub fn is_replaceable(&self, now: Instant) -> bool {
        self.is_unused(now) && now >= self.lent_until
    }

    /// Whether the copy has to be replaced for a named version: its version is older or unknown.
    #[must_use]
    pub fn is_stale_for(&self, named_version: u64) -> bool {
        self.known_version
            .is_none_or(|known| known.version < named_version)
    }
}

/// Base model that an engine holds.
#[derive(Clone, Debug)]
pub struct LoadedModel {
    /// Name of the model.
    pub name: AdapterName,
    /// Version, with the source of that knowledge, if known.
    pub known_version: Option<ObservedVersion>,
    /// Generation, as for an adapter copy.
    pub generation: u64,
}

/// Call that was sent to an engine.
#[derive(Clone, Debug)]
pub struct SentCall {
    /// Subject of the call: `model`, or `model/adapter`.
    pub subject: AdapterName,
    /// KV cache tokens that the call may occupy.
    pub tokens: u64,
    /// Prompt segments that other calls may share.
    pub shared: Vec<u64>,
    /// Generation of the subject that the call was sent to, if known.
    pub generation: Option<u64>,
    /// Fingerprint of the request, if known.
    pub fingerprint: Option<RequestFingerprint>,
}
