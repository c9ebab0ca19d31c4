//! What an engine holds, and the calls sent to it.

use crate::{
    direct::{
        engine::ADOPTED_WITHIN,
        load_limiter::StoreLoad,
        planner::{CallKey, PlacementAsk},
        suspects::RequestFingerprint,
        versions::ObservedVersion,
    },
    ids::{AdapterName, Instant},
};

/// State of one adapter at an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResidentState {
    /// Its load waits for its turn.
    Wanted,
    /// It is there in an old version, and the load of the new one waits for its turn.
    Outdated,
    /// It is on its way, and there at this time.
    Coming(Instant),
    /// It is there.
    Here,
    /// It goes once its runs have ended.
    Leaving,
}

/// A call that waits for a load to be accepted.
#[derive(Clone, Debug)]
pub struct WaitingCall {
    /// The call.
    pub key: CallKey,
    /// What it asks for.
    pub ask: PlacementAsk,
    /// When it is given up, as its load takes longer than it can bear.
    pub until: Instant,
}

/// One adapter at an engine.
#[derive(Clone, Debug)]
pub struct ResidentCopy {
    /// Its state.
    pub state: ResidentState,
    /// Its version, if anything told it.
    pub sight: Option<ObservedVersion>,
    /// Which copy this is: another one after each load, so that no memory outlives what made it.
    pub generation: u64,
    /// Calls sent to it that have not ended.
    pub users: u32,
    /// Calls that wait for its load to be accepted.
    pub waiters: Vec<WaitingCall>,
    /// When it was last asked for.
    pub used_at: Instant,
    /// Until when calls that nobody counts any more may still run on it.
    pub held_until: Instant,
    /// Whether the list was seen without it since it was last loaded, so that what the list says of it now is of this loading.
    pub was_unlisted: bool,
    /// Calls elsewhere whose engines take memory that it made: until they have begun it is neither replaced nor unloaded.
    pub lent_to: Vec<CallKey>,
    /// Until when calls elsewhere that nobody counts may still take its memory.
    pub lent_until: Instant,
    /// The load that brought it here from the weight store.
    pub load: Option<StoreLoad>,
}

impl ResidentCopy {
    pub(super) fn new(
        state: ResidentState,
        sight: Option<ObservedVersion>,
        generation: u64,
        now: Instant,
    ) -> Self {
        Self {
            state,
            sight,
            generation,
            users: 0,
            waiters: Vec::new(),
            used_at: now,
            held_until: Instant::default(),
            was_unlisted: false,
            lent_to: Vec::new(),
            lent_until: Instant::default(),
            load: None,
        }
    }

    /// Holds it as it is while gateways tell of calls that they had open before.
    pub(super) fn hold_for_unknown(&mut self, now: Instant) {
        self.held_until = now.after(ADOPTED_WITHIN);
        self.lent_until = now.after(ADOPTED_WITHIN);
    }

    /// Whether nothing runs on it, waits for it or takes its memory.
    #[must_use]
    pub fn is_free(&self, now: Instant) -> bool {
        self.users == 0
            && self.waiters.is_empty()
            && self.lent_to.is_empty()
            && now >= self.held_until
    }

    /// Whether it may be replaced: what another engine takes of it would be the new version's. One that is unloaded
    /// lends nothing.
    #[must_use]
    pub fn is_replaceable(&self, now: Instant) -> bool {
        self.is_free(now) && now >= self.lent_until
    }

    /// Whether it has to be replaced now that a version is named: it is older, or nobody knows what it is.
    #[must_use]
    pub fn is_behind(&self, named: u64) -> bool {
        self.sight.is_none_or(|sight| sight.version < named)
    }
}

/// A base model that an engine holds.
#[derive(Clone, Debug)]
pub struct HeldModel {
    /// Its name.
    pub name: AdapterName,
    /// Its version, if anything told it.
    pub sight: Option<ObservedVersion>,
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
