//! What a gateway asks, what it is told, and what the holder has to do for it.

use crate::{
    direct::{
        catalog::TargetEntry,
        engine::EngineOrder,
        planner::split_subject,
        quotas::QuotaCharge,
        suspects::RequestFingerprint,
        versions::{CacheVersions, VersionMatch},
    },
    ids::{AdapterName, TargetLife, TargetName, VmName},
};
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, sync::Arc};

/// Identifies a call in a zone: the gateway's VM and its counter.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CallKey {
    /// The gateway.
    pub vm: VmName,
    /// Its counter.
    pub number: u64,
}

/// What a gateway wants of a zone for a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlacementTerms {
    /// Take it if an engine that has its adapter keeps it within the bound; otherwise say what it would cost.
    Inquire,
    /// Take it at a cost below this, in milliseconds: another zone's offer, less the price of going elsewhere.
    Beat(u32),
    /// Take it within the bound.
    Take,
}

/// What the holder has to know about a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementRequest {
    /// The model, with its adapter behind a slash where one is meant.
    pub subject: AdapterName,
    /// Tokens of its prompt.
    pub prompt_tokens: u32,
    /// Tokens that it is likely to make.
    pub output_tokens: u32,
    /// Parts of its prompt and their tokens; the last is its own.
    pub prefix: Vec<(u64, u32)>,
    /// Rank of its route; 0 is the most urgent.
    pub priority: u8,
    /// Longest wait for its first token that it is worth placing for, in milliseconds.
    pub bound_ms: u32,
    /// Targets that it has been to.
    pub exclude: Vec<TargetName>,
    /// Targets that want nothing from the gateway now.
    pub resting: Vec<TargetName>,
    /// Whether its adapter may be loaded for it.
    pub may_load: bool,
    /// What is wanted.
    pub terms: PlacementTerms,
    /// The request by what it asks.
    pub fingerprint: RequestFingerprint,
    /// Whether it is sent as a granted trial of a suspect.
    pub is_trial: bool,
    /// What it is charged, unless it is paid for.
    pub charge: Option<QuotaCharge>,
}

impl PlacementRequest {
    /// Tokens that it may take in memory.
    #[must_use]
    pub fn max_kv_tokens(&self) -> u64 {
        u64::from(self.prompt_tokens) + u64::from(self.output_tokens)
    }
}

/// Where a call goes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlacementAnswer {
    /// Send it to a target.
    Send {
        /// The target.
        target: TargetName,
        /// The target's life that has its adapter.
        life: TargetLife,
        /// Milliseconds until its adapter is there, and the target's limit has room for it.
        wait_ms: u32,
        /// The engine that its engine takes kept parts of its prompt from.
        fetch: Option<SocketAddr>,
        /// Milliseconds until its first event, as expected now.
        expected_ms: u32,
        /// Version to ask for: the adapter's that was named, or what the memory that moves was made by.
        version: Option<u64>,
        /// Whether its adapter is sought after so much that other zones should have it too.
        is_sought: bool,
        /// Whether the target named a limit, so that its holder has to hear what its answer says of that.
        is_limited: bool,
    },
    /// The zone has no room for it now.
    Refuse {
        /// Milliseconds after which it is worth coming back.
        retry_after_ms: u32,
        /// Why.
        cause: RefusalCause,
    },
}

/// Why a zone has no room for a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RefusalCause {
    /// No engine has its adapter, or could make room for it.
    NoEngine,
    /// It could be taken at this cost, in milliseconds: its wait, and what the placement costs others.
    Offer(u32),
    /// The best engine would make it wait this long, in milliseconds, which is more than it can bear.
    TooLong(u32),
    /// Its loads came to nothing at several engines.
    LoadsFailed,
    /// Its load did not begin in time.
    LoadLate,
    /// Targets ended under the same request: it is sent as a granted trial only.
    NeedsTrial,
    /// No trial of it is granted for now.
    Quarantined,
    /// A trial of it runs.
    TrialRuns,
    /// Its organisation's quota is used up in this zone.
    QuotaUsedUp,
}

/// An engine could take parts of a prompt from another one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CacheTransfer {
    /// The call.
    pub key: CallKey,
    /// Its adapter, or its base model.
    pub subject: AdapterName,
    /// The engine that has kept them.
    pub source: TargetName,
    /// What made them, as far as is known.
    pub source_versions: CacheVersions,
    /// The engine that the call goes to.
    pub target: TargetName,
    /// The versions that it will run under, as far as is known.
    pub target_versions: CacheVersions,
    /// The version of the adapter that was named last.
    pub named_version: Option<u64>,
    /// Whether it is told to; otherwise their versions do not fit.
    pub is_permitted: bool,
}

impl CacheTransfer {
    /// How the versions of both stand to each other.
    #[must_use]
    pub fn version_match(&self) -> VersionMatch {
        let (source, target) = (&self.source_versions, &self.target_versions);
        let base = VersionMatch::of(source.base, target.base);
        if split_subject(&self.subject).1.is_none() {
            return base;
        }
        base.and(VersionMatch::of(source.adapter, target.adapter))
    }
}

/// What the holder has to do for the planner.
#[derive(Clone, Debug, PartialEq)]
pub enum PlannerAction {
    /// Tell a gateway where its call goes.
    Answer(CallKey, PlacementAnswer),
    /// Give an order to an engine.
    Order(Arc<TargetEntry>, EngineOrder),
    /// Read an engine's report.
    FetchReport(Arc<TargetEntry>),
    /// Say that memory moves, or that it does not as the versions do not fit.
    RecordTransfer(Box<CacheTransfer>),
}
