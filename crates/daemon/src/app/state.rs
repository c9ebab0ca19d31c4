//! State of a daemon, owned by the event loop.

use crate::{
    app::{
        AppEvent, KeyClaimResult, changes::PendingChange, log_feed::LogFeed, queries::FleetQuery,
        stopping::StopState, target_runtime::TargetRuntime,
    },
    calls::{CallFrame, CallTable},
    metrics::DaemonMetrics,
    options::Settings,
    peers::{PeerHello, PeerLink},
    platform::LogAppender,
};
use hoplanding_core::{
    config::{ConfigState, LoadPolicy, TargetRole},
    ids::{
        AdapterVersion, AvailabilityZone, CallerName, ChangeId, DaemonRef, Instant, LogOffset,
        TargetName, TokenHash, VmName,
    },
    log::FoldedState,
    membership::MembershipTable,
    policy::{
        CallerLimits, LoadArbiter, PolicyWeights, PopularityTracker, TargetDigest, TargetRouter,
    },
    request::{DedupKey, KeyClaim, KeyHash, TokenRegistry},
};
use std::{
    collections::{BTreeMap, HashMap, HashSet},
    sync::Arc,
};
use tokio::sync::{mpsc, oneshot, watch};

/// Frames of an answer, stored for repeats of its request.
pub type StoredAnswer = Arc<Vec<CallFrame>>;

/// Handles and shared tables of the workers that carry out the event loop's decisions.
#[derive(Clone)]
pub struct AppWorkers {
    /// Channel for events from workers.
    pub events: mpsc::Sender<AppEvent>,
    /// Appends to the log.
    pub appender: LogAppender,
    /// Offset at which the log reader continues.
    pub read_from: Arc<watch::Sender<LogOffset>>,
    /// HTTP client for targets.
    pub http: reqwest::Client,
    /// Calls whose answers peers receive over links.
    pub calls: Arc<CallTable>,
    /// Metrics of this daemon.
    pub metrics: DaemonMetrics,
    /// First message on each link.
    pub hello: PeerHello,
}

/// State of a daemon.
pub struct AppState {
    pub(super) settings: Arc<Settings>,
    pub(super) me: DaemonRef,
    pub(super) zone: AvailabilityZone,
    pub(super) workers: AppWorkers,
    pub(super) folded: FoldedState,
    /// Reading position and availability of the log.
    pub(super) feed: LogFeed,
    pub(super) members: MembershipTable,
    pub(super) links: BTreeMap<VmName, PeerLink>,
    /// Router over the engines of all zones.
    pub(super) engines: TargetRouter,
    /// Router over the plain services of all zones.
    pub(super) services: TargetRouter,
    /// Targets that this daemon holds, and lost ones with work in progress.
    pub(super) held_targets: BTreeMap<TargetName, TargetRuntime>,
    pub(super) popularity: PopularityTracker,
    pub(super) weights: PolicyWeights,
    pub(super) arbiter: LoadArbiter,
    pub(super) caller_limits: CallerLimits,
    /// Current versions of the adapters that operators want kept loaded.
    pub(super) kept_models: Vec<AdapterVersion>,
    pub(super) callers_by_token: HashMap<TokenHash, CallerName>,
    /// Idempotency tokens issued here, with stored answers.
    pub(super) idempotency: TokenRegistry<StoredAnswer>,
    /// Repeats of running requests that wait for the answer.
    pub(super) answer_waiters: HashMap<DedupKey, Vec<oneshot::Sender<Option<StoredAnswer>>>>,
    /// Requests that wait for their key claims: fingerprint, arrival time and reply of each.
    pub(super) pending_claims:
        HashMap<KeyHash, Vec<(u64, Instant, oneshot::Sender<KeyClaimResult>)>>,
    /// Claims to append with the next tick.
    pub(super) claim_batch: Vec<KeyClaim>,
    pub(super) pending_changes: HashMap<ChangeId, PendingChange>,
    /// Changes in each append whose outcome is not reported yet.
    pub(super) change_tickets: HashMap<u64, Vec<ChangeId>>,
    pub(super) next_number: u64,
    pub(super) fleet_queries: HashMap<u64, FleetQuery>,
    /// Requests that this daemon admitted as gateway and that did not end yet.
    pub(super) open_requests: usize,
    pub(super) stopping: Option<StopState>,
    /// Targets that the VM list marks as leaving.
    pub(super) leaving_targets: HashSet<TargetName>,
    /// Daemons that took over the idempotency tokens of stopped daemons.
    pub(super) token_successors: HashMap<DaemonRef, VmName>,
    /// Time at which a newer incarnation of each daemon was noticed; starts the delivery bound.
    pub(super) superseded_since: HashMap<DaemonRef, Instant>,
    /// Peers of the zone that report a VM as silent, by VM.
    pub(super) silent_reports: HashMap<VmName, HashSet<VmName>>,
    pub(super) last: LastTimes,
}

/// Times and contents of the last periodic actions.
#[derive(Debug, Default)]
pub struct LastTimes {
    pub(super) heartbeat: Instant,
    pub(super) remote_heartbeat: Instant,
    pub(super) heartbeat_count: u64,
    pub(super) ownership: Instant,
    pub(super) holder_tick: Instant,
    pub(super) preload: Instant,
    pub(super) snapshot: Instant,
    pub(super) digest_revision: u64,
    pub(super) takeover: Instant,
    /// Time of the last append that settles this daemon's own earlier leases, by target.
    pub(super) settled: HashMap<TargetName, Instant>,
    /// Digests as last sent, without residents.
    pub(super) digests: HashMap<TargetName, TargetDigest>,
    /// Whether the next heartbeat carries all digests.
    pub(super) send_full_digest: bool,
}

impl AppState {
    /// Creates the state from the settings alone, before any record of the log is applied.
    #[must_use]
    pub fn new(settings: Arc<Settings>, me: DaemonRef, workers: AppWorkers) -> Self {
        let zone = AvailabilityZone::new(&settings.zone);
        let mut members =
            MembershipTable::new(me.clone(), zone.clone(), settings.membership.timeouts);
        for seed in &settings.seeds {
            members.add_seed(
                &VmName::new(&seed.vm),
                &AvailabilityZone::new(&seed.zone),
                &seed.peer_address.to_string(),
            );
        }
        let idempotency = TokenRegistry::new(me.clone(), settings.limits.max_kept_answers);
        let mut state = Self {
            settings,
            me,
            zone,
            workers,
            folded: FoldedState::default(),
            feed: LogFeed::default(),
            members,
            links: BTreeMap::new(),
            engines: TargetRouter::default(),
            services: TargetRouter::default(),
            held_targets: BTreeMap::new(),
            popularity: PopularityTracker::default(),
            weights: PolicyWeights::default(),
            arbiter: LoadArbiter::default(),
            caller_limits: CallerLimits::default(),
            kept_models: Vec::new(),
            callers_by_token: HashMap::new(),
            idempotency,
            answer_waiters: HashMap::new(),
            pending_claims: HashMap::new(),
            claim_batch: Vec::new(),
            pending_changes: HashMap::new(),
            change_tickets: HashMap::new(),
            next_number: 0,
            fleet_queries: HashMap::new(),
            open_requests: 0,
            stopping: None,
            leaving_targets: HashSet::new(),
            token_successors: HashMap::new(),
            superseded_since: HashMap::new(),
            silent_reports: HashMap::new(),
            last: LastTimes::default(),
        };
        state.refresh_caller_index();
        state
    }

    /// Configuration in force at this daemon.
    pub(super) fn config(&self) -> &ConfigState {
        &self.folded.config
    }

    /// Returns a number that is unique within this run of the daemon.
    pub(super) fn next_number(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number
    }

    /// Whether the configuration defines a target as an engine; none if the target is not configured.
    pub(super) fn is_engine(&self, target: &str) -> Option<bool> {
        let config = self.config().targets.get(target)?;
        Some(matches!(config.role, TargetRole::Engine { .. }))
    }

    /// Rebuilds the list of adapters that operators want kept loaded.
    pub(super) fn refresh_kept_models(&mut self) {
        let kept = self
            .folded
            .config
            .adapters
            .iter()
            .filter(|(_, config)| config.load_policy == LoadPolicy::Kept);
        let models = kept.filter_map(|(adapter, config)| {
            Some(AdapterVersion {
                adapter: adapter.clone(),
                version: config.current.clone()?,
            })
        });
        self.kept_models = models.collect();
    }

    /// Rebuilds the index of callers by token; callers of the settings override those of the configuration.
    pub(super) fn refresh_caller_index(&mut self) {
        let configured = self.folded.config.callers.iter();
        let mut index: HashMap<_, _> = configured
            .map(|(name, caller)| (caller.token_hash.clone(), name.clone()))
            .collect();
        for caller in &self.settings.callers {
            index.insert(TokenHash::of(&caller.token), CallerName::new(&caller.name));
        }
        self.callers_by_token = index;
    }
}
