//! Messages between gateways and the planner of a zone, and the actions that the planner returns to the zone holder.

use crate::{
    direct::{
        catalog::TargetEntry,
        engine::EngineOrder,
        planner::split_subject,
        quotas::QuotaCharge,
        suspects::RequestFingerprint,
        versions::{CacheVersions, VersionMatch},
    },
    ids::{AdapterName, ServiceName, TargetLife, TargetName, VmName},
};
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, sync::Arc, time::Duration};

/// Identifies a call in a zone.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CallKey {
    /// VM of the gateway.
    pub vm: VmName,
    /// Call counter of that gateway; it starts over when the gateway restarts.
    pub number: u64,
}

/// Terms on which a gateway requests the placement of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlacementTerms {
    /// Place the call if an engine that holds its adapter can serve it within the bound; otherwise offer a cost.
    Inquire,
    /// Place the call if it costs less than this, in milliseconds: the home zone's offer minus the penalty for a remote
    /// zone.
    Beat(u32),
    /// Place the call within the bound.
    Take,
}

/// Request to place a call at one of the engines of a zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementRequest {
    /// Service of the call; empty in requests of builds that name none.
    #[serde(default, skip_serializing_if = "ServiceName::is_empty")]
    pub service: ServiceName,
    /// Subject of the call: `model`, or `model/adapter`.
    pub subject: AdapterName,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Expected length of the output, in tokens.
    pub output_tokens: u32,
    /// Segments of the prompt with their lengths in tokens, as (hash, tokens). All but the last may be shared with
    /// other calls.
    pub prefix: Vec<(u64, u32)>,
    /// Rank of the route; 0 is the most urgent.
    pub priority: u8,
    /// Longest wait for the first token, in milliseconds; beyond it the call is refused.
    pub bound_ms: u32,
    /// Targets already tried.
    pub exclude: Vec<TargetName>,
    /// Targets that requested a backoff from this gateway, not ended yet.
    #[serde(rename = "resting")]
    pub backing_off: Vec<TargetName>,
    /// Whether the zone may load the adapter for the call.
    pub may_load: bool,
    /// Terms of the placement.
    pub terms: PlacementTerms,
    /// Fingerprint of the request content.
    pub fingerprint: RequestFingerprint,
    /// Whether the call is a granted trial of a suspect request.
    pub is_trial: bool,
    /// Quota charge; none if the call is already charged.
    pub charge: Option<QuotaCharge>,
}

impl PlacementRequest {
    /// Whether the call has neither tried a target nor was asked by it to back off.
    #[must_use]
    pub fn allows(&self, target: &TargetName) -> bool {
        !self.exclude.contains(target) && !self.backing_off.contains(target)
    }

    /// KV cache tokens that the call may occupy: prompt and output.
    #[must_use]
    pub fn max_kv_tokens(&self) -> u64 {
        u64::from(self.prompt_tokens) + u64::from(self.output_tokens)
    }
}

/// Answer to a placement request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlacementAnswer {
    /// Send the call to a target.
    Send {
        /// The target.
        target: TargetName,
        /// Life of the target for which the placement holds.
        life: TargetLife,
        /// Milliseconds to wait before sending, until the adapter is loaded and the target's rate limit has room.
        wait_ms: u32,
        /// Address of the engine from which the target fetches the KV cache of the prompt prefix.
        fetch: Option<SocketAddr>,
        /// Expected time until the first event, in milliseconds.
        expected_ms: u32,
        /// Version that the call has to name: the named version of the adapter, or the version that made the fetched
        /// KV cache.
        version: Option<u64>,
        /// Whether the adapter is in such demand that other zones should load it too.
        #[serde(rename = "is_sought")]
        is_in_high_demand: bool,
        /// Whether the target announced a rate limit; if so, the gateway forwards what the answer states about it to the
        /// holder.
        is_limited: bool,
    },
    /// The zone does not take the call now.
    Refuse {
        /// Retry delay, in milliseconds.
        retry_after_ms: u32,
        /// Reason for the refusal.
        cause: RefusalCause,
    },
}

/// Reason why a zone refuses a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RefusalCause {
    /// No engine has the adapter or can make room for it.
    NoEngine,
    /// The zone could take the call at this cost, in milliseconds: the wait plus the penalty for what the placement
    /// takes from other calls.
    Offer(u32),
    /// Expected wait at the best engine, in milliseconds, which exceeds the bound of the call.
    TooLong(u32),
    /// The adapter load failed at several engines.
    LoadsFailed,
    /// The adapter load did not start in time.
    LoadLate,
    /// Targets have crashed while they ran the same request, so it may run as a granted trial only.
    NeedsTrial,
    /// The request is quarantined: no trial is granted for now.
    Quarantined,
    /// Another trial of the request is running.
    TrialRuns,
    /// The organisation's quota in this zone is used up.
    QuotaUsedUp,
}

/// A possible transfer of the KV cache of a prompt prefix between two engines.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CacheTransfer {
    /// Call for which the cache would be transferred.
    pub key: CallKey,
    /// Subject of the call: `model`, or `model/adapter`.
    pub subject: AdapterName,
    /// Engine that holds the cache.
    pub source: TargetName,
    /// Versions that made the cache, as far as known.
    pub source_versions: CacheVersions,
    /// Engine that runs the call.
    pub target: TargetName,
    /// Versions under which the call will run, as far as known.
    pub target_versions: CacheVersions,
    /// Latest named version of the adapter.
    pub named_version: Option<u64>,
    /// Whether the target is instructed to fetch; if not, the versions do not match.
    pub is_permitted: bool,
}

impl CacheTransfer {
    /// Compares the versions of base model and adapter at both engines.
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

/// Action that the holder carries out for the planner.
#[derive(Clone, Debug, PartialEq)]
pub enum PlannerAction {
    /// Answer a placement request of a gateway.
    Answer(CallKey, PlacementAnswer),
    /// Send an order to an engine.
    Order(Arc<TargetEntry>, EngineOrder),
    /// Fetch the report of an engine.
    FetchReport(Arc<TargetEntry>),
    /// Log and count a KV cache transfer, or one that is withheld because the versions do not match.
    RecordTransfer(Box<CacheTransfer>),
    /// Log and count the end of a call's wait for an adapter slot.
    RecordSlotWait(Box<SlotWait>),
}

/// A call's wait for an adapter slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotWait {
    /// The call.
    pub key: CallKey,
    /// Subject of the call.
    pub subject: AdapterName,
    /// Rank of the call.
    pub rank: u8,
    /// Time for which it waited.
    pub waited: Duration,
    /// How the wait ended.
    pub end: SlotWaitEnd,
}

/// How a call's wait for an adapter slot ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SlotWaitEnd {
    /// The call was placed.
    Placed,
    /// A load would have ended after the bound of the call.
    Expired,
    /// The queue was full, and the call was the last one in it.
    Displaced,
}

/// Numbers of a zone's engines, for the holder's metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineCounts {
    /// Engines on the target list.
    pub listed: usize,
    /// Engines that get no calls because connections to them failed.
    pub unreachable: usize,
    /// Engines that get few calls because many of them failed.
    pub degraded: usize,
    /// Prompts whose first event is overdue, at all engines.
    pub overdue_prompts: usize,
}
