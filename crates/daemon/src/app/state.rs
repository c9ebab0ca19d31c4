//! The state of a daemon.

use crate::{
    app::{
        AppEvent, KeyClaimResult, changes::PendingChange, held::HeldRuntime, log_feed::LogFeed,
        queries::FleetQuery, stopping::StopState,
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

/// An answer that is kept for a repeated call.
pub type StoredAnswer = Arc<Vec<CallFrame>>;

/// What the event loop hands work to.
#[derive(Clone)]
pub struct AppWorkers {
    /// The event loop itself, for workers to report to.
    pub events: mpsc::Sender<AppEvent>,
    /// Appends to the log.
    pub appender: LogAppender,
    /// Where the log's reader goes on.
    pub read_from: Arc<watch::Sender<LogOffset>>,
    /// Client for targets.
    pub http: reqwest::Client,
    /// Answers that peers take.
    pub calls: Arc<CallTable>,
    /// Metrics.
    pub metrics: DaemonMetrics,
    /// What this daemon says first on a link.
    pub hello: PeerHello,
}

/// The state of a daemon.
pub struct AppState {
    pub(super) settings: Arc<Settings>,
    pub(super) me: DaemonRef,
    pub(super) zone: AvailabilityZone,
    pub(super) workers: AppWorkers,
    pub(super) folded: FoldedState,
    pub(super) feed: LogFeed,
    pub(super) members: MembershipTable,
    pub(super) links: BTreeMap<VmName, PeerLink>,
    pub(super) engines: TargetRouter,
    pub(super) services: TargetRouter,
    pub(super) held: BTreeMap<TargetName, HeldRuntime>,
    pub(super) popularity: PopularityTracker,
    pub(super) weights: PolicyWeights,
    pub(super) arbiter: LoadArbiter,
    pub(super) limits: CallerLimits,
    /// Current versions of the adapters that operators want kept loaded.
    pub(super) kept_models: Vec<AdapterVersion>,
    pub(super) callers_by_token: HashMap<TokenHash, CallerName>,
    pub(super) repeats: TokenRegistry<StoredAnswer>,
    pub(super) joins: HashMap<DedupKey, Vec<oneshot::Sender<Option<StoredAnswer>>>>,
    pub(super) claims: HashMap<KeyHash, Vec<(u64, Instant, oneshot::Sender<KeyClaimResult>)>>,
    pub(super) claim_batch: Vec<KeyClaim>,
    pub(super) pending_changes: HashMap<ChangeId, PendingChange>,
    pub(super) tickets: HashMap<u64, Vec<ChangeId>>,
    pub(super) next_number: u64,
    pub(super) queries: HashMap<u64, FleetQuery>,
    pub(super) open_requests: usize,
    pub(super) stopping: Option<StopState>,
    pub(super) leaving_targets: HashSet<TargetName>,
    pub(super) token_heirs: HashMap<DaemonRef, VmName>,
    pub(super) superseded_since: HashMap<DaemonRef, Instant>,
    pub(super) silent_reports: HashMap<VmName, HashSet<VmName>>,
    pub(super) last: LastTimes,
}

/// When things were last done.
#[derive(Debug, Default)]
pub struct LastTimes {
    pub(super) heartbeat: Instant,
    pub(super) far_heartbeat: Instant,
    pub(super) full_digest: u64,
    pub(super) ownership: Instant,
    pub(super) second: Instant,
    pub(super) preload: Instant,
    pub(super) snapshot: Instant,
    pub(super) digest_revision: u64,
    pub(super) takeover: Instant,
    /// When this daemon last called its own past on a target settled.
    pub(super) settled: HashMap<TargetName, Instant>,
    /// Digests as last told, without residents.
    pub(super) digests: HashMap<TargetName, TargetDigest>,
    /// Whether the next heartbeat tells everything.
    pub(super) tell_all: bool,
}

impl AppState {
    /// A state that knows the settings only.
    #[must_use]
    pub fn new(settings: Arc<Settings>, me: DaemonRef, workers: AppWorkers) -> Self {
        let zone = AvailabilityZone::new(&settings.zone);
        let mut members = MembershipTable::new(me.clone(), zone.clone(), settings.membership.times);
        for seed in &settings.seeds {
            members.add_seed(
                &VmName::new(&seed.vm),
                &AvailabilityZone::new(&seed.zone),
                &seed.peer_address.to_string(),
            );
        }
        let repeats = TokenRegistry::new(me.clone(), settings.limits.max_kept_answers);
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
            held: BTreeMap::new(),
            popularity: PopularityTracker::default(),
            weights: PolicyWeights::default(),
            arbiter: LoadArbiter::default(),
            limits: CallerLimits::default(),
            kept_models: Vec::new(),
            callers_by_token: HashMap::new(),
            repeats,
            joins: HashMap::new(),
            claims: HashMap::new(),
            claim_batch: Vec::new(),
            pending_changes: HashMap::new(),
            tickets: HashMap::new(),
            next_number: 0,
            queries: HashMap::new(),
            open_requests: 0,
            stopping: None,
            leaving_targets: HashSet::new(),
            token_heirs: HashMap::new(),
            superseded_since: HashMap::new(),
            silent_reports: HashMap::new(),
            last: LastTimes::default(),
        };
        state.refresh_callers();
        state
    }

    /// The configuration in force here.
    pub(super) fn config(&self) -> &ConfigState {
        &self.folded.config
    }

    /// A number that this run has not used before.
    pub(super) fn next_number(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number
    }

    /// Whether the configuration makes a target an engine; none if it does not know it.
    pub(super) fn is_engine(&self, target: &str) -> Option<bool> {
        let config = self.config().targets.get(target)?;
        Some(matches!(config.role, TargetRole::Engine { .. }))
    }

    /// Rebuilds the list of adapters that are to be kept loaded.
    pub(super) fn refresh_kept(&mut self) {
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

    /// Rebuilds the index of callers by token.
    pub(super) fn refresh_callers(&mut self) {
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
