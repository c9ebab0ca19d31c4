//! State of the fleet as this VM knows it: configuration, adapter versions, targets, leases and
//! VMs.
//!
//! [`FleetState`] guards the tables with one lock and signals changes to the workers of this VM.
//! Records reach it from the platform log and from other VMs, in any order and more than once. A
//! record that carries its own order, such as a configuration version, is applied by that order,
//! and any other record by its log position.

use crate::{
    clock,
    direct::{
        answer_buffers::AnswerBuffers,
        eras::EraRecord,
        message::{FeedTopic, TopicSpan},
        metrics::{DirectMetrics, ProofSource},
        notices::LeavingTargets,
        record_cache::RecordCache,
        settings::DirectSettings,
        skipped::EntryLogLimiter,
    },
};
use hoplanding_core::{
    direct::{
        backoffs::BackoffTable,
        catalog::{TargetCatalog, TargetEntry, TargetStage},
        config::{CallerLimits, FleetConfig},
        demand::DemandTable,
        freshness::{ForwardedProof, FreshnessProof, RevocationRule},
        health::HealthTable,
        lease::{LeaseState, ZoneLease},
        limits::RateLimitTable,
        log_contact::LogContact,
        policy::PlacementPolicy,
        residency::{AcceptedLoad, LoadHistory},
        restore_guard::{RestoreGuard, RewriteRule},
        retry_budget::RetryShare,
        routes::RouteTable,
        shortage::{LoadEstimate, REPORT_INTERVAL, ServiceReport, ShortageTable},
        software_history::SoftwareHistory,
        stream_estimate::StreamEstimate,
        stream_origins::{StreamOrigin, StreamOrigins},
        suspects::{RequestFingerprint, SuspectTable},
        zone_choice::{AnswerSizes, RemoteAllowance, VmPosition, ZoneChoiceRule},
        zone_load::{OverloadCount, ZoneLoad},
    },
    ids::{
        AdapterName, AvailabilityZone, FencingToken, Instant, LogPosition, ServiceName, StoreEra,
        TargetName, TargetRun, VmName,
    },
};
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use std::{
    cmp::Reverse,
    collections::{BTreeMap, HashMap, HashSet, VecDeque},
    hash::{Hash, Hasher},
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};
use tokio::sync::watch;

/// Key of the record that describes the log's current era.
pub const ERA_KEY: &str = "era";
/// Key prefix of VM records.
pub const VM_KEY_PREFIX: &str = "vm/";
/// Key prefix of suspect records.
pub const SUSPECT_KEY_PREFIX: &str = "suspect/";
/// Key prefix of the records of services' software versions.
pub const SOFTWARE_KEY_PREFIX: &str = "software/";
/// Key prefix of zone leases.
pub const ZONE_KEY_PREFIX: &str = "zone/";
/// Time for which an adapter in high demand counts as having its home in every zone. By its end this VM's
/// own demand count, which takes as long to rise after a shift of demand, shows the demand itself.
const HIGH_DEMAND_TTL: Duration = Duration::from_secs(6);
/// Lower bound of the number of VMs that the retry budget is divided by, so that one or two VMs
/// that join a small fleet do not exceed the budget until the others know them.
const MIN_BUDGET_SHARES: u32 = 8;
/// VMs of a zone that are told of its loads. If more of them are lost at once, the next holder begins without the history.
const MAX_NEXT_HOLDERS: usize = 2;

/// Record that a VM writes about itself. It outlives the process, and a restart at the same address
/// does not change it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmRecord {
    /// Availability zone of the VM.
    pub zone: AvailabilityZone,
    /// Address at which other VMs reach it.
    pub address: SocketAddr,
    /// CPU capacity in thousandths of a core. The VM with the highest capacity holds its zone's
    /// lease.
    #[serde(default, rename = "strength")]
    pub cpu_millicores: u32,
}

/// Configuration in force, with its compiled routes.
#[derive(Debug)]
pub struct ActiveConfig {
    /// The configuration.
    pub config: FleetConfig,
    /// Its routes, ready to search.
    pub routes: RouteTable,
}

/// Tables of the fleet's state, guarded by one lock.
#[derive(Debug)]
pub struct FleetTables {
    /// Configuration in force.
    pub active: Option<Arc<ActiveConfig>>,
    /// Known targets.
    pub catalog: TargetCatalog,
    /// Loads of this VM's zone; empty unless the number of adapters that engines keep is learned.
    pub load_history: LoadHistory,
    /// Current version of each named adapter.
    pub versions: HashMap<AdapterName, u64>,
    /// Lease of each zone.
    pub leases: HashMap<AvailabilityZone, LeaseState>,
    /// Records of the fleet's VMs.
    pub vms: HashMap<VmName, VmRecord>,
    /// Newest known era of the log. An era begins when the log is restored from a backup.
    pub store_era: Option<StoreEra>,
    /// Newest configuration version that the log is known to hold in that era.
    pub stored_version: u64,
    /// Version of the newest record of the configuration of which only the keys could be used; 0 if there is none.
    pub(super) key_version: u64,
    /// Position of a record of the configuration that may revoke any key, as not even its keys can be read.
    pub(super) unread_config: Option<LogPosition>,
    /// Era in which this VM last listed the fleet topic.
    pub listed_era: Option<StoreEra>,
    /// End of the fleet topic as of the last read.
    pub fleet_end: Option<LogPosition>,
    /// Time up to which all records of the fleet topic are known, and with them the newest leases.
    pub fleet_read_at: Option<Instant>,
    /// Last read of the fleet topic to its end by this VM: when it was sent, and the end.
    pub fleet_read: Option<(Instant, LogPosition)>,
    /// Topics of which every key is known, from a listing by this VM or another one, with the
    /// position before which no record is missing.
    pub known_ends: BTreeMap<FeedTopic, LogPosition>,
    /// For each of these topics the position from which on every record is known, removals
    /// included.
    pub known_since: BTreeMap<FeedTopic, LogPosition>,
    /// Topics that this VM has to read itself up to a position, because the listing of another VM
    /// left out removals.
    pub gaps: BTreeMap<FeedTopic, LogPosition>,
    /// When the newest read was sent by which all entries of the target list are known, by this VM or by another one that
    /// forwards them.
    pub(super) list_read_at: Option<Instant>,
    /// Contact of this VM with the target list, and what other VMs report of theirs.
    pub contact: LogContact,
    /// Health of targets by the outcomes of this VM's calls.
    pub health: HealthTable,
    /// When the path to each zone was restored last.
    pub paths_restored_at: HashMap<AvailabilityZone, Instant>,
    /// Open calls of this VM by target.
    pub in_flight: HashMap<TargetRun, u32>,
    /// This VM's share of the retry budget.
    pub retries: RetryShare,
    /// Recent duration of this VM's streams.
    pub streams: StreamEstimate,
    /// Weights of placement decisions.
    pub policy: PlacementPolicy,
    /// Request rate of this VM's callers by adapter.
    pub demand: DemandTable,
    /// Adapters in high demand in their home zone, and when that expires.
    pub high_demand_until: HashMap<AdapterName, Instant>,
    /// Proof that the configuration is the newest, with its age.
    pub proof: FreshnessProof,
    /// Whether the log may lack the newest operator records after a restore.
    pub restore_guard: RestoreGuard,
    /// Whether this VM knew an earlier era than the current one.
    pub(super) has_seen_earlier_era: bool,
    /// Record of the log's current era.
    pub era_record: Option<EraRecord>,
    /// Requests during which targets crashed, from this VM's calls, other VMs and the log.
    pub suspects: SuspectTable,
    /// Software versions that began streams.
    pub stream_origins: StreamOrigins,
    /// Origins that this VM has to append to the log's archive.
    pub(super) unarchived_streams: VecDeque<StreamOrigin>,
    /// Whether the origins that the archive had at the start are known, or not needed.
    pub(super) is_archive_read: bool,
    /// Software versions that each service has run lately.
    pub software: SoftwareHistory,
    /// Rate limits that targets advertised to this VM or to other VMs.
    pub limits: RateLimitTable,
    /// Backoffs that targets requested from this VM.
    pub backoffs: BackoffTable,
    /// Newest record of each key, to be forwarded to other VMs.
    pub records: RecordCache,
    /// Delay between the claim in progress and the first order.
    pub claim_delay: Duration,
    /// End of the wait after this VM's last claim. Only a read that was sent later proves the claim.
    pub orders_from: Instant,
    /// Fencing token of the claim with which this VM may issue orders.
    pub confirmed_token: Option<FencingToken>,
    /// Whether the log did not answer the read that would prove this VM's claim, so that linked VMs are asked.
    pub(super) is_proof_unanswered: bool,
    /// Counts target list entries that could not be used.
    pub skipped_entries: EntryLogLimiter,
    /// Counts unreadable headers in which targets describe themselves.
    pub unreadable_headers: EntryLogLimiter,
    /// Targets that announced in an answer that they are leaving, to be forwarded to other VMs.
    pub leaving: LeavingTargets,
    /// Addresses of this VM itself.
    pub(super) own_addresses: Vec<SocketAddr>,
    /// Load of the zone's VMs.
    pub zone_load: ZoneLoad,
    /// What the holders of the zones report about their free capacity.
    pub shortages: ShortageTable,
    /// What this VM reports as its zone's holder, and when it observed that.
    own_reports: (Vec<ServiceReport>, Instant),
    /// Slots in other zones that calls of this VM may take.
    pub allowance: RemoteAllowance,
    /// Sizes of the answers that this VM relayed.
    pub answer_sizes: AnswerSizes,
}

impl FleetTables {
    /// Whether a VM of this fleet has this address, which then can't be a target's. All VMs use the
    /// same ports.
    #[must_use]
    pub fn is_own_address(&self, address: SocketAddr) -> bool {
        let mut own = self.own_addresses.iter();
        own.any(|own| {
            *own == address
                || (own.port() == address.port()
                    && self.vms.values().any(|vm| vm.address.ip() == address.ip()))
        })
    }

    /// Whether a zone holder reported within the last seconds that an adapter is in high demand.
    #[must_use]
    pub fn is_in_high_demand(&self, adapter: &AdapterName, now: Instant) -> bool {
        self.high_demand_until
            .get(adapter)
            .is_some_and(|until| now < *until)
    }

    /// Whether an adapter is requested so often, here or in its home zone, that every zone is a home zone of it.
    #[must_use]
    pub fn is_popular(&self, adapter: &AdapterName, now: Instant) -> bool {
        self.demand.rate(adapter, now) >= self.policy.popular_rate_per_s
            || self.is_in_high_demand(adapter, now)
    }

    /// Records that no record of a complete topic is missing before a position.
    pub(super) fn advance(&mut self, topic: FeedTopic, end: LogPosition) {
        let Some(known) = self.known_ends.get_mut(&topic) else {
            return;
        };
        *known = end.max(*known);
        if self.gaps.get(&topic).is_some_and(|gap| *known >= *gap) {
            self.gaps.remove(&topic);
        }
    }

    /// Records that another VM forwarded all that it knows of a topic, except for removals before its
    /// listing. Where this VM's own knowledge ends before that listing, it has to read the log
    /// itself. Returns whether nothing is missing.
    pub(super) fn record_forwarded_span(&mut self, span: TopicSpan) -> bool {
        let known = self.known_ends.get(&span.topic);
        let is_missing =
            |known: &LogPosition| !self.records.has_all_between(span.topic, *known, span.since);
        if known.is_some_and(is_missing) {
            let gap = self.gaps.entry(span.topic).or_insert(span.since);
            *gap = span.since.max(*gap);
        }
        !self.gaps.contains_key(&span.topic)
    }

    /// Whether the API keys in the configuration may be trusted: no key can have been revoked so
    /// long ago that it has to be refused.
    #[must_use]
    pub fn may_trust_keys(&self, rule: Option<RevocationRule>, now: Instant) -> bool {
        let is_keyed = |active: &Arc<ActiveConfig>| active.config.organisations.is_some();
        rule.is_none_or(|rule| self.proof.is_fresh(rule, now))
            || !self.active.as_ref().is_some_and(is_keyed)
    }

    /// Whether this VM, like every VM that ran before the log was restored, distrusts API keys only
    /// because of that. A VM without any proof may get one from another VM instead.
    fn is_guarded_with_all(&self, now: Instant) -> bool {
        self.proof.age(now).is_some() && self.restore_guard.remaining(now).is_some()
    }

    /// Version of the newest configuration whose keys are in force, even if the rest of it can't be used.
    #[must_use]
    pub fn newest_version(&self) -> Option<u64> {
        let active = self.active.as_ref()?;
        Some(active.config.version.max(self.key_version))
    }

    /// Proof for other VMs that this VM's configuration is the newest.
    #[must_use]
    pub fn freshness_proof(&self, now: Instant) -> Option<ForwardedProof> {
        let version = self.newest_version()?;
        self.proof.forward(version, now)
    }

    /// Rank of this VM among the VMs of its zone that could take on its duties, without the lease
    /// holder.
    #[must_use]
    pub fn rank(&self, fleet: &FleetState) -> u32 {
        let holder = self
            .leases
            .get(&fleet.zone)
            .and_then(|state| state.holder());
        let own_order = duty_order(&fleet.vm, fleet.cpu_millicores);
        let before = self.vms.iter().filter(|(vm, record)| {
            record.zone == fleet.zone
                && Some(*vm) != holder
                && duty_order(vm, record.cpu_millicores) < own_order
        });
        u32::try_from(before.count()).unwrap_or(u32::MAX)
    }

    /// Whether a VM of this zone is one of the two that would claim the zone next.
    #[must_use]
    fn is_next_holder(&self, fleet: &FleetState, vm: &VmName) -> bool {
        let Some(cpu) = self.vms.get(vm).map(|record| record.cpu_millicores) else {
            return false;
        };
        let order = duty_order(vm, cpu);
        let before = self.vms.iter().filter(|(other, record)| {
            record.zone == fleet.zone
                && **other != fleet.vm
                && duty_order(other, record.cpu_millicores) < order
        });
        before.take(MAX_NEXT_HOLDERS).count() < MAX_NEXT_HOLDERS
    }

    /// Divides the retry budget, and the rate that VMs without a holder may send to limited
    /// targets, among the known VMs, once the fleet topic is complete.
    pub(super) fn update_budget_shares(&mut self) {
        if self.known_ends.contains_key(&FeedTopic::Fleet) {
            let count = u32::try_from(self.vms.len()).unwrap_or(u32::MAX);
            self.retries.set_vms(count.max(MIN_BUDGET_SHARES));
            self.limits
                .set_share(1.0 / f64::from(count.max(MIN_BUDGET_SHARES)));
        }
    }

    /// Position of a VM among those outside a zone, by name.
    #[must_use]
    pub fn position_outside(&self, zone: &AvailabilityZone, vm: &VmName) -> VmPosition {
        let others = self
            .vms
            .iter()
            .filter(|(other, record)| record.zone != *zone && *other != vm);
        let mut position = VmPosition { index: 0, count: 1 };
        for (other, _) in others {
            position.count += 1;
            position.index += u32::from(other < vm);
        }
        position
    }

    /// Number of this VM's open calls at a target.
    #[must_use]
    pub fn calls_in_flight(&self, run: &TargetRun) -> u32 {
        self.in_flight.get(run).copied().unwrap_or(0)
    }

    /// Whether a target's maximum of rejections leaves room for another call that this VM places without a holder.
    #[must_use]
    pub fn admits(&self, entry: &TargetEntry, now: Instant) -> bool {
        let in_flight = self.calls_in_flight(&entry.run());
        self.limits.admits(&entry.name, in_flight, now)
    }

    /// Targets whose requested backoff has not ended.
    #[must_use]
    pub fn backing_off(&self, now: Instant) -> Vec<TargetName> {
        let active = self.backoffs.active(now);
        active.map(|run| run.name.clone()).collect()
    }

    /// Time until the first target of a service accepts calls again. `None` unless all of them
    /// requested a backoff.
    #[must_use]
    pub fn shortest_backoff(&self, service: &ServiceName, now: Instant) -> Option<Duration> {
        if self.backoffs.is_empty() {
            return None;
        }
        let ready = self.catalog.ready(service);
        let remaining: Option<Vec<_>> = ready
            .map(|entry| self.backoffs.remaining(&entry.run(), now))
            .collect();
        remaining?.into_iter().min()
    }

    /// Whether the log may lack claims of a zone because it was restored from a backup: after the newest known record
    /// of the zone's lease, or at any time if there is no such record.
    #[must_use]
    pub fn may_lack_claims(&self, zone: &AvailabilityZone) -> bool {
        let has_record = self
            .leases
            .get(zone)
            .is_some_and(|state| state.lease.is_some());
        let is_restored = self.store_era.is_some_and(|era| !era.is_first());
        self.is_outdated(zone) || (!has_record && is_restored)
    }

    /// Whether the log was restored from a backup after the newest known record of a zone's lease.
    #[must_use]
    pub fn is_outdated(&self, zone: &AvailabilityZone) -> bool {
        let state = self.leases.get(zone).filter(|state| state.lease.is_some());
        state.is_some_and(|state| Some(state.position.era()) < self.store_era)
    }

    /// Passes the time of the log's recovery, as known now, to the catalog and the restore guard.
    pub(super) fn record_log_return(&mut self, rule: RewriteRule) {
        let recovered_at = self.contact.recovered_at();
        self.catalog.record_log_recovered(recovered_at);
        if let (Some(lost_at), Some(recovered_at)) = (self.contact.lost_at(), recovered_at) {
            self.restore_guard
                .record_outage(lost_at, recovered_at, rule);
        }
    }
}

/// Tables of the fleet's state, and signals of their changes.
#[derive(Debug)]
pub struct FleetState {
    /// Name of this VM.
    pub vm: VmName,
    /// Incarnation of this process.
    pub incarnation: u64,
    started: Instant,
    /// Zone of this VM.
    pub zone: AvailabilityZone,
    /// Bound on how long revoked API keys may still be accepted.
    pub revocation: Option<RevocationRule>,
    /// How long operators take to rewrite records that a restored log lacks.
    pub rewrites: RewriteRule,
    /// CPU capacity of this VM in thousandths of a core.
    pub cpu_millicores: u32,
    /// Weights of the choice of another zone, if this VM chooses by reports.
    pub zone_choice: Option<ZoneChoiceRule>,
    /// Counters of the metrics page.
    pub metrics: DirectMetrics,
    /// Buffered answers.
    pub answer_buffers: Arc<AnswerBuffers>,
    /// Linked VMs of this zone that could take over its lease.
    successors: Mutex<HashSet<VmName>>,
    stopping: watch::Sender<bool>,
    is_overloaded: AtomicBool,
    tables: Mutex<FleetTables>,
    changes: watch::Sender<u64>,
    pub(super) record_requests: watch::Sender<u64>,
    pub(super) read_requests: watch::Sender<Instant>,
    pub(super) lease_requests: watch::Sender<Instant>,
    pub(super) updates: watch::Sender<u64>,
    pub(super) known_topics: watch::Sender<usize>,
    pub(super) eras: watch::Sender<StoreEra>,
    /// When a call last needed a read of the archive of stream origins.
    pub(super) archive_requests: watch::Sender<Instant>,
    /// When the last read of that archive was sent.
    pub(super) archive_reads: watch::Sender<Instant>,
}

impl FleetState {
    /// State without any record.
    #[must_use]
    pub fn new(settings: &DirectSettings, incarnation: u64) -> Self {
        let started = clock::now();
        let restarted = (!settings.is_first_start).then_some(started);
        Self {
            vm: settings.vm.clone(),
            incarnation,
            started,
            zone: settings.zone.clone(),
            revocation: settings.revocation,
            rewrites: settings.recovery,
            cpu_millicores: settings.cpu_millicores,
            zone_choice: settings.zone_choice,
            metrics: DirectMetrics::default(),
            answer_buffers: Arc::new(AnswerBuffers::new(settings.answers)),
            successors: Mutex::default(),
            stopping: watch::channel(false).0,
            is_overloaded: AtomicBool::new(false),
            tables: Mutex::new(FleetTables {
                active: None,
                catalog: TargetCatalog::default(),
                versions: HashMap::new(),
                leases: HashMap::new(),
                vms: HashMap::new(),
                store_era: None,
                stored_version: 0,
                key_version: 0,
                unread_config: None,
                listed_era: None,
                fleet_end: None,
                fleet_read_at: None,
                fleet_read: None,
                known_ends: BTreeMap::new(),
                known_since: BTreeMap::new(),
                gaps: BTreeMap::new(),
                list_read_at: None,
                contact: LogContact::default(),
                health: HealthTable::default(),
                paths_restored_at: HashMap::new(),
                in_flight: HashMap::new(),
                retries: RetryShare::starting(settings.retries, restarted),
                streams: StreamEstimate::default(),
                load_history: LoadHistory::default(),
                policy: settings.policy,
                demand: DemandTable::default(),
                high_demand_until: HashMap::new(),
                proof: FreshnessProof::default(),
                restore_guard: RestoreGuard::default(),
                has_seen_earlier_era: false,
                era_record: None,
                suspects: SuspectTable::default(),
                stream_origins: StreamOrigins::default(),
                unarchived_streams: VecDeque::new(),
                is_archive_read: false,
                software: SoftwareHistory::default(),
                limits: RateLimitTable::with_share(1.0 / f64::from(MIN_BUDGET_SHARES)),
                backoffs: BackoffTable::default(),
                records: RecordCache::default(),
                claim_delay: Duration::ZERO,
                orders_from: Instant::default(),
                confirmed_token: None,
                is_proof_unanswered: false,
                skipped_entries: EntryLogLimiter::default(),
                unreadable_headers: EntryLogLimiter::default(),
                leaving: LeavingTargets::default(),
                own_addresses: Vec::new(),
                zone_load: ZoneLoad::default(),
                shortages: ShortageTable::default(),
                own_reports: (Vec::new(), Instant::default()),
                allowance: RemoteAllowance::default(),
                answer_sizes: AnswerSizes::default(),
            }),
            changes: watch::channel(0).0,
            record_requests: watch::channel(0).0,
            read_requests: watch::channel(Instant(0)).0,
            lease_requests: watch::channel(Instant(0)).0,
            updates: watch::channel(0).0,
            known_topics: watch::channel(0).0,
            eras: watch::channel(StoreEra::default()).0,
            archive_requests: watch::channel(Instant(0)).0,
            archive_reads: watch::channel(Instant(0)).0,
        }
    }

    /// Recent duration of this VM's streams.
    #[must_use]
    pub fn streams(&self) -> StreamEstimate {
        self.tables().streams
    }

    /// Locks the tables.
    ///
    /// # Panics
    /// If a thread panicked while it held the lock.
    pub fn tables(&self) -> MutexGuard<'_, FleetTables> {
        self.tables
            .lock()
            .expect("no thread panics while it holds the lock")
    }

    /// Time since this process started.
    #[must_use]
    pub fn age(&self) -> Duration {
        clock::now().since(self.started)
    }

    /// Records whether a target accepted a call of this VM.
    pub fn record_admission(&self, run: &TargetRun, is_accepted: bool) {
        let mut tables = self.tables();
        let in_flight = tables.calls_in_flight(run);
        tables
            .limits
            .record_outcome(&run.name, is_accepted, in_flight, clock::now());
    }

    /// Signals the start of a planned stop of this VM.
    pub fn begin_stop(&self) {
        self.stopping.send_replace(true);
    }

    /// Whether a planned stop of this VM has begun.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        *self.stopping.borrow()
    }

    /// Watches whether a planned stop of this VM has begun.
    #[must_use]
    pub fn watch_stop(&self) -> watch::Receiver<bool> {
        self.stopping.subscribe()
    }

    /// Whether another VM of the zone could take over the lease now.
    #[must_use]
    pub fn has_successor(&self) -> bool {
        !self.successors().is_empty()
    }

    /// Whether another VM of the zone is known to take callers: one is linked to this VM, or holds the zone's lease.
    #[must_use]
    pub fn has_other_vm(&self) -> bool {
        let holder = self.lease(&self.zone).and_then(|lease| lease.vm);
        self.has_successor() || holder.is_some_and(|vm| vm != self.vm)
    }

    /// Records whether a VM could take over the lease.
    pub fn record_successor(&self, vm: &VmName, can_take_over: bool) {
        if can_take_over {
            self.successors().insert(vm.clone());
        } else {
            self.successors().remove(vm);
        }
    }

    fn successors(&self) -> MutexGuard<'_, HashSet<VmName>> {
        self.successors
            .lock()
            .expect("no thread panics while it holds the lock")
    }

    /// Configuration in force.
    #[must_use]
    pub fn active(&self) -> Option<Arc<ActiveConfig>> {
        self.tables().active.clone()
    }

    /// Limits for callers in force.
    #[must_use]
    pub fn caller_limits(&self) -> CallerLimits {
        let tables = self.tables();
        let limits = tables.active.as_ref().map(|active| active.config.limits);
        limits.unwrap_or_default()
    }

    /// Whether callers can be served: configuration, targets and fleet are known, and API keys may
    /// be trusted, unless a restored log is the reason why no VM trusts them.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let now = clock::now();
        let tables = self.tables();
        tables.active.is_some()
            && tables.known_ends.contains_key(&FeedTopic::Targets)
            && tables.known_ends.contains_key(&FeedTopic::Fleet)
            && (tables.may_trust_keys(self.revocation, now) || tables.is_guarded_with_all(now))
    }

    /// Rank of this VM among those that could take on its zone's duties, the one with the most CPU first.
    #[must_use]
    pub fn rank(&self) -> u32 {
        self.tables().rank(self)
    }

    /// Watches for changes of the tables.
    #[must_use]
    pub fn watch(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Signals a change of the tables.
    pub fn signal(&self) {
        self.changes.send_modify(|count| *count += 1);
    }

    /// Records a holder's report that an adapter is in high demand in its zone.
    pub fn record_high_demand(&self, adapter: &AdapterName) {
        let now = clock::now();
        let mut tables = self.tables();
        tables.high_demand_until.retain(|_, until| now < *until);
        tables
            .high_demand_until
            .insert(adapter.clone(), now.after(HIGH_DEMAND_TTL));
    }

    /// Position before which every record of a topic is known; 0 until the topic is complete.
    #[must_use]
    pub fn known_end(&self, topic: FeedTopic) -> LogPosition {
        let tables = self.tables();
        tables
            .known_ends
            .get(&topic)
            .copied()
            .unwrap_or(LogPosition(0))
    }

    /// Whether this VM has to read a topic itself, even if others read it too.
    #[must_use]
    pub fn has_gap(&self, topic: FeedTopic) -> bool {
        self.tables().gaps.contains_key(&topic)
    }

    /// Whether every key of a topic is known.
    #[must_use]
    pub fn is_topic_known(&self, topic: FeedTopic) -> bool {
        self.tables().known_ends.contains_key(&topic)
    }

    /// Whether this VM has more work than processor time.
    #[must_use]
    pub fn is_overloaded(&self) -> bool {
        self.is_overloaded.load(Ordering::Relaxed)
    }

    /// Sets whether this VM has more work than processor time.
    pub fn set_overloaded(&self, is_overloaded: bool) {
        self.is_overloaded.store(is_overloaded, Ordering::Relaxed);
        self.metrics.set_overloaded(is_overloaded);
    }

    /// Records what another VM of the zone reported about its load, and the zone's.
    pub fn record_load(
        &self,
        vm: &VmName,
        is_overloaded: bool,
        count: Option<OverloadCount>,
        now: Instant,
    ) {
        let mut tables = self.tables();
        tables.zone_load.record_vm(vm, is_overloaded, now);
        if let Some(count) = count {
            tables.zone_load.record_count(count, now);
        }
    }

    /// Records what this VM, as its zone's holder, observed of the zone. An empty list ends the reports.
    pub fn set_own_reports(&self, reports: Vec<ServiceReport>, now: Instant) {
        let mut tables = self.tables();
        tables.shortages.record(&self.zone, reports.clone(), now);
        tables.own_reports = (reports, now);
    }

    /// Reports of this VM about its zone. Without a recent observation there are none, as the worker of the zone may be
    /// delayed.
    #[must_use]
    pub fn own_reports(&self, now: Instant) -> Vec<ServiceReport> {
        let tables = self.tables();
        let (reports, observed_at) = &tables.own_reports;
        let is_recent = now.since(*observed_at) < 2 * REPORT_INTERVAL;
        if is_recent {
            reports.clone()
        } else {
            Vec::new()
        }
    }

    /// Records the reports of a VM about its zone, if that VM is the zone's holder as far as known.
    pub fn record_reports(
        &self,
        vm: &VmName,
        zone: &AvailabilityZone,
        reports: Vec<ServiceReport>,
        now: Instant,
    ) {
        if self.zone_choice.is_none() || reports.is_empty() {
            return;
        }
        let mut tables = self.tables();
        let lease = tables.leases.get(zone);
        if lease.and_then(LeaseState::holder) == Some(vm) {
            tables.shortages.record(zone, reports, now);
        }
    }

    /// What the holders of other zones have learned about loads of a service.
    #[must_use]
    pub fn load_estimate(&self, service: &ServiceName, now: Instant) -> Option<LoadEstimate> {
        self.zone_choice?;
        let tables = self.tables();
        tables.shortages.load_estimate(&self.zone, service, now)
    }

    /// Records the size of an answer, which the choice of a zone for later calls weighs.
    pub fn record_answer_size(&self, service: &ServiceName, bytes: u64) {
        if self.zone_choice.is_some() {
            self.tables().answer_sizes.record(service, bytes);
        }
    }

    /// Number of overloaded VMs in the zone, if this VM holds it and there are any.
    #[must_use]
    pub fn overload_count(&self, now: Instant) -> Option<OverloadCount> {
        let count = self.tables().zone_load.count(self.is_overloaded(), now)?;
        let lease = self.lease(&self.zone)?;
        (lease.vm.as_ref() == Some(&self.vm)).then_some(count)
    }

    /// Whether callers that this overloaded VM turns away most likely meet a VM with processor time left.
    #[must_use]
    pub fn others_have_time(&self, now: Instant) -> bool {
        let vms = u32::try_from(self.zone_vms()).unwrap_or(u32::MAX);
        self.tables().zone_load.others_have_time(vms, now)
    }

    /// Number of VMs recorded in this VM's zone.
    #[must_use]
    pub fn zone_vms(&self) -> usize {
        let tables = self.tables();
        let zone = tables
            .vms
            .values()
            .filter(|record| record.zone == self.zone);
        zone.count()
    }

    /// Whether a target is draining or unknown.
    #[must_use]
    pub fn is_leaving(&self, target: &str) -> bool {
        let name = TargetName::new(target);
        self.tables()
            .catalog
            .get(&name)
            .is_none_or(|entry| entry.stage == TargetStage::Draining)
    }

    /// Newest known lease of a zone.
    #[must_use]
    pub fn lease(&self, zone: &AvailabilityZone) -> Option<ZoneLease> {
        self.tables().leases.get(zone)?.lease.clone()
    }

    /// Records that every operator record that the log held at `sent` is known. A log that is older
    /// than the configuration in force, or that may lack the newest records after a restore, proves
    /// nothing, nor does one whose newest configuration names keys that can't be read.
    pub fn record_config_read(&self, sent: Instant) {
        let mut tables = self.tables();
        let version = tables.newest_version();
        if tables.unread_config.is_some() {
            self.metrics.count_key_proof(ProofSource::Unreadable);
        } else if tables.restore_guard.remaining(sent).is_some() {
            self.metrics.count_key_proof(ProofSource::Guarded);
        } else if version.is_none_or(|version| tables.stored_version >= version) {
            tables.proof.record_read(sent);
            self.metrics.count_key_proof(ProofSource::Read);
        }
    }

    /// Whether API keys may be trusted.
    #[must_use]
    pub fn may_trust_keys(&self) -> bool {
        self.tables().may_trust_keys(self.revocation, clock::now())
    }

    /// Time until a proof that no key was revoked is due, if the log was restored: `proof_delay` after the end of the
    /// restore guard.
    #[must_use]
    pub fn key_proof_due_in(&self, proof_delay: Duration) -> Option<Duration> {
        let guard = self.tables().restore_guard;
        guard.remaining(clock::now().before(proof_delay))
    }

    /// Records that every record of the fleet topic is known as of a time.
    pub fn record_fleet_read(&self, known_at: Instant) {
        let mut tables = self.tables();
        // Claims may be lost until this zone is claimed in the current era.
        if tables.is_outdated(&self.zone) {
            return;
        }
        let known = tables.fleet_read_at.get_or_insert(known_at);
        *known = known_at.max(*known);
    }

    /// Targets of a service in a zone, in any stage.
    #[must_use]
    pub fn zone_targets(
        &self,
        service: &ServiceName,
        zone: &AvailabilityZone,
    ) -> Vec<Arc<TargetEntry>> {
        self.tables()
            .catalog
            .iter()
            .filter(|entry| entry.service == *service && entry.zone == *zone)
            .cloned()
            .collect()
    }
}

impl FleetState {
    /// Records that this VM reaches the targets of a zone again.
    pub fn record_restored_path(&self, zone: &AvailabilityZone) {
        let mut tables = self.tables();
        let FleetTables {
            catalog, health, ..
        } = &mut *tables;
        health.forget_connect_failures(|name| {
            let entry = catalog.get(name);
            entry.is_some_and(|entry| entry.zone == *zone)
        });
        tables.paths_restored_at.insert(zone.clone(), clock::now());
    }

    /// Records loads of this zone that an engine accepted or that the zone's holder reported.
    pub fn record_loads(&self, loads: impl IntoIterator<Item = AcceptedLoad>) {
        let mut tables = self.tables();
        if tables.policy.scarcity.learns_recent_adapters {
            for load in loads {
                tables.load_history.record(load);
            }
        }
    }

    /// Loads of this zone for a VM of it from a sequence number on, and the number that follows; none unless this VM holds
    /// the zone and the other may hold it next.
    #[must_use]
    pub fn loads_for(&self, vm: &VmName, sequence: u64) -> (Vec<AcceptedLoad>, u64) {
        let is_holder = self
            .lease(&self.zone)
            .is_some_and(|lease| lease.vm.as_ref() == Some(&self.vm));
        let tables = self.tables();
        if !is_holder || !tables.is_next_holder(self, vm) {
            return (Vec::new(), sequence);
        }
        tables.load_history.after(sequence)
    }
}

fn duty_order(vm: &VmName, cpu_millicores: u32) -> (Reverse<u32>, u64) {
    let mut hasher = SipHasher13::new();
    vm.as_str().hash(&mut hasher);
    (Reverse(cpu_millicores), hasher.finish())
}

/// Key of a VM's record.
#[must_use]
pub fn vm_key(vm: &VmName) -> String {
    format!("{VM_KEY_PREFIX}{vm}")
}

/// Key of a suspect's record.
#[must_use]
pub fn suspect_key(fingerprint: RequestFingerprint) -> String {
    format!("{SUSPECT_KEY_PREFIX}{:016x}", fingerprint.0)
}

/// Key of a zone's lease.
#[must_use]
pub fn zone_key(zone: &AvailabilityZone) -> String {
    format!("{ZONE_KEY_PREFIX}{zone}")
}
