//! What this VM knows: configuration, named versions, targets, leases and VMs.
//!
//! Records fold by what orders them by itself, such as a version, and else by position, so they may come from the log or from other
//! VMs, in any order and more than once.

use crate::{
    clock,
    direct::{
        eras::EraRecord,
        message::{FeedTopic, TopicSpan},
        metrics::DirectMetrics,
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
        config::FleetConfig,
        demand::DemandTable,
        freshness::{FreshnessProof, RelayedProof, RevocationRule},
        health::HealthTable,
        lease::{LeaseState, ZoneLease},
        limits::RateLimitTable,
        log_contact::LogContact,
        policy::PlacementPolicy,
        restore_guard::{RestoreGuard, RewriteRule},
        retry_budget::RetryShare,
        routes::RouteTable,
        stream_estimate::StreamEstimate,
        suspects::{RequestFingerprint, SuspectTable},
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
    collections::{BTreeMap, HashMap, HashSet},
    hash::{Hash, Hasher},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};
use tokio::sync::watch;

/// Key of the record of the log's era.
pub const ERA_KEY: &str = "era";
/// Start of the keys of VM records.
pub const VM_KEY_PREFIX: &str = "vm/";
/// Start of the keys of suspects.
pub const SUSPECT_KEY_PREFIX: &str = "suspect/";
/// Start of the keys of zone leases.
pub const ZONE_KEY_PREFIX: &str = "zone/";
/// Time for which an adapter that takes much of its home zone counts as at home everywhere. By then this VM's own count
/// tells; it takes that long to rise after a shift of demand.
const SOUGHT_FOR: Duration = Duration::from_secs(6);
/// VMs that the retry budget is shared among at the least, so that one or two that join a small fleet do not go beyond it
/// until the others know them.
const FEWEST_SHARES: u32 = 8;

/// A VM as recorded by itself; the record outlives its process, and a restart at the same address leaves it alone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmRecord {
    /// Its zone.
    pub zone: AvailabilityZone,
    /// Where other VMs reach it.
    pub address: SocketAddr,
    /// Thousandths of a core that it has: the strongest VM of a zone gives its orders.
    #[serde(default)]
    pub strength: u32,
}

/// A configuration in force.
#[derive(Debug)]
pub struct ActiveConfig {
    /// The configuration.
    pub config: FleetConfig,
    /// Its routes, ready to search.
    pub routes: RouteTable,
}

/// Everything that is known, behind one lock.
#[derive(Debug)]
pub struct FleetTables {
    /// The configuration in force.
    pub active: Option<Arc<ActiveConfig>>,
    /// The targets.
    pub catalog: TargetCatalog,
    /// Named versions of adapters.
    pub versions: HashMap<AdapterName, u64>,
    /// Leases by zone.
    pub leases: HashMap<AvailabilityZone, LeaseState>,
    /// The VMs.
    pub vms: HashMap<VmName, VmRecord>,
    /// The newest era of the log that is known.
    pub store_era: Option<StoreEra>,
    /// Version of the newest configuration that the log holds in that era, as far as is known.
    pub stored_version: u64,
    /// The era in which this VM listed the fleet's topic last.
    pub listed_era: Option<StoreEra>,
    /// End of the fleet's topic as read.
    pub fleet_end: Option<LogPosition>,
    /// Time up to which all of the fleet's topic is known, and so the newest leases.
    pub fleet_read_at: Option<Instant>,
    /// The topics of which every key is known, by a listing of this VM's own or another's, and the position before which no
    /// record is missing.
    pub known_ends: BTreeMap<FeedTopic, LogPosition>,
    /// Of those topics the position from which on every record is known, removals too.
    pub known_since: BTreeMap<FeedTopic, LogPosition>,
    /// Topics that this VM has to read itself up to a position, as a listing of another VM left removals out.
    pub gaps: BTreeMap<FeedTopic, LogPosition>,
    /// This VM's contact with the target list, and what others say of theirs.
    pub contact: LogContact,
    /// Outcomes of this VM's calls.
    pub health: HealthTable,
    /// This VM's calls under way by target.
    pub in_flight: HashMap<TargetRun, u32>,
    /// This VM's share of the retry budget.
    pub retries: RetryShare,
    /// How long streams of this VM took lately.
    pub streams: StreamEstimate,
    /// What decisions weigh.
    pub policy: PlacementPolicy,
    /// How often callers of this VM ask for each adapter.
    pub demand: DemandTable,
    /// Adapters that take much of their home zone, and until when that counts.
    pub sought: HashMap<AdapterName, Instant>,
    /// Since when the configuration is known to be the newest.
    pub proof: FreshnessProof,
    /// Whether what the log holds of operators' records may lack the newest.
    pub copy_doubt: RestoreGuard,
    /// What the log says of its present era.
    pub era_record: Option<EraRecord>,
    /// Requests under which targets ended, by this VM's calls, others' word and the log.
    pub suspects: SuspectTable,
    /// Limits that targets named to this VM, or that others told of.
    pub limits: RateLimitTable,
    /// Rests that targets asked this VM for.
    pub rests: BackoffTable,
    /// The newest records, to be passed on.
    pub records: RecordCache,
    /// Pause before the first order after the claim that is under way.
    pub claim_delay: Duration,
    /// When the turn after this VM's last claim is over.
    pub orders_from: Instant,
    /// Token of this VM's claim by which it may give orders.
    pub confirmed_token: Option<FencingToken>,
    /// Entries of the target list that could not be used.
    pub skipped_entries: EntryLogLimiter,
    /// Headers in which targets tell of themselves that could not be read.
    pub unreadable_headers: EntryLogLimiter,
    /// Targets that said in their answers that they leave, to be passed on.
    pub leaving: LeavingTargets,
    /// Where this VM itself is reached.
    pub(super) own_addresses: Vec<SocketAddr>,
}

impl FleetTables {
    /// Whether a VM of this fleet is reached at an address, so that it can be no target's. All VMs have the same ports.
    #[must_use]
    pub fn is_own_address(&self, address: SocketAddr) -> bool {
        let mut own = self.own_addresses.iter();
        own.any(|own| {
            *own == address
                || (own.port() == address.port()
                    && self.vms.values().any(|vm| vm.address.ip() == address.ip()))
        })
    }

    /// Whether a holder said lately that an adapter takes much of its zone.
    #[must_use]
    pub fn is_sought(&self, adapter: &AdapterName, now: Instant) -> bool {
        self.sought.get(adapter).is_some_and(|until| now < *until)
    }

    /// No record of a topic that is known whole is missing before a position.
    pub(super) fn advance(&mut self, topic: FeedTopic, end: LogPosition) {
        let Some(known) = self.known_ends.get_mut(&topic) else {
            return;
        };
        *known = end.max(*known);
        if self.gaps.get(&topic).is_some_and(|gap| *known >= *gap) {
            self.gaps.remove(&topic);
        }
    }

    /// Another VM told all that it knows of a topic, but not what was removed before its listing: where this VM has listed the
    /// topic before that one, it has to read on itself. Says whether nothing is missing.
    pub(super) fn note_told(&mut self, span: TopicSpan) -> bool {
        let known = self.known_ends.get(&span.topic);
        let is_missing =
            |known: &LogPosition| !self.records.has_all_between(span.topic, *known, span.since);
        if known.is_some_and(is_missing) {
            let gap = self.gaps.entry(span.topic).or_insert(span.since);
            *gap = span.since.max(*gap);
        }
        !self.gaps.contains_key(&span.topic)
    }

    /// Whether keys that the configuration names are known to hold still: none of them was taken away so long ago that
    /// it has to be refused.
    #[must_use]
    pub fn may_trust_keys(&self, rule: Option<RevocationRule>, now: Instant) -> bool {
        let is_keyed = |active: &Arc<ActiveConfig>| active.config.organisations.is_some();
        rule.is_none_or(|rule| self.proof.is_fresh(rule, now))
            || !self.active.as_ref().is_some_and(is_keyed)
    }

    /// This VM's proof that its configuration is the newest, for others.
    #[must_use]
    pub fn passed_proof(&self, now: Instant) -> Option<RelayedProof> {
        let version = self.active.as_ref()?.config.version;
        self.proof.relay(version, now)
    }

    /// The place of a VM in the order in which its zone's VMs take on duties.
    #[must_use]
    pub fn rank(&self, fleet: &FleetState) -> u32 {
        let holder = self
            .leases
            .get(&fleet.zone)
            .and_then(|state| state.holder());
        let mine = duty_order(&fleet.vm, fleet.strength);
        let before = self.vms.iter().filter(|(vm, record)| {
            record.zone == fleet.zone
                && Some(*vm) != holder
                && duty_order(vm, record.strength) < mine
        });
        u32::try_from(before.count()).unwrap_or(u32::MAX)
    }

    /// Shares the retry budget, and what VMs without a holder send to limited targets, among the VMs that are known, once
    /// all of them are.
    pub(super) fn share_retries(&mut self) {
        if self.known_ends.contains_key(&FeedTopic::Fleet) {
            let count = u32::try_from(self.vms.len()).unwrap_or(u32::MAX);
            self.retries.set_vms(count.max(FEWEST_SHARES));
            self.limits
                .set_share(1.0 / f64::from(count.max(FEWEST_SHARES)));
        }
    }

    /// Targets that want nothing from this VM now.
    #[must_use]
    pub fn resting(&self, now: Instant) -> Vec<TargetName> {
        let resting = self.rests.active(now);
        resting.map(|run| run.name.clone()).collect()
    }

    /// Time until the first target of a service may be sent to again; none unless all of them rest.
    #[must_use]
    pub fn shortest_rest(&self, service: &ServiceName, now: Instant) -> Option<Duration> {
        if self.rests.is_empty() {
            return None;
        }
        let ready = self.catalog.ready(service);
        let rests: Option<Vec<_>> = ready
            .map(|entry| self.rests.remaining(&entry.run(), now))
            .collect();
        rests?.into_iter().min()
    }

    /// Whether the log has come back from a copy since the newest record of a zone's lease.
    #[must_use]
    pub fn is_outdated(&self, zone: &AvailabilityZone) -> bool {
        let state = self.leases.get(zone).filter(|state| state.lease.is_some());
        state.is_some_and(|state| Some(state.position.era()) < self.store_era)
    }

    /// Tells the catalog when the log came back, as it looks now.
    pub(super) fn note_return(&mut self) {
        self.catalog.note_log_recovered(self.contact.recovered_at());
    }
}

/// The books, and a signal of their changes.
#[derive(Debug)]
pub struct FleetState {
    /// This VM.
    pub vm: VmName,
    /// The run of this process.
    pub incarnation: u64,
    started: Instant,
    /// Whether the whole fleet starts for the first time.
    pub(super) is_first_start: bool,
    /// This VM's zone.
    pub zone: AvailabilityZone,
    /// How long keys that were taken away may still be served.
    pub revocation: Option<RevocationRule>,
    /// How long operators take to write again what a copy of the log lacks.
    pub rewrites: RewriteRule,
    /// Thousandths of a core that this VM has.
    pub strength: u32,
    /// Counts for the metrics page.
    pub metrics: DirectMetrics,
    /// VMs of this zone that are linked to this one and could take its lease over.
    successors: Mutex<HashSet<VmName>>,
    stopping: watch::Sender<bool>,
    tables: Mutex<FleetTables>,
    changes: watch::Sender<u64>,
    pub(super) pulls: watch::Sender<u64>,
    pub(super) asked: watch::Sender<Instant>,
    pub(super) news: watch::Sender<u64>,
    pub(super) whole: watch::Sender<usize>,
    pub(super) eras: watch::Sender<StoreEra>,
}

impl FleetState {
    /// Empty books.
    #[must_use]
    pub fn new(settings: &DirectSettings, incarnation: u64) -> Self {
        let started = clock::now();
        let restarted = (!settings.is_first_start).then_some(started);
        Self {
            vm: settings.vm.clone(),
            incarnation,
            started,
            is_first_start: settings.is_first_start,
            zone: settings.zone.clone(),
            revocation: settings.revocation,
            rewrites: settings.recovery,
            strength: settings.cpu_millicores,
            metrics: DirectMetrics::default(),
            successors: Mutex::default(),
            stopping: watch::channel(false).0,
            tables: Mutex::new(FleetTables {
                active: None,
                catalog: TargetCatalog::default(),
                versions: HashMap::new(),
                leases: HashMap::new(),
                vms: HashMap::new(),
                store_era: None,
                stored_version: 0,
                listed_era: None,
                fleet_end: None,
                fleet_read_at: None,
                known_ends: BTreeMap::new(),
                known_since: BTreeMap::new(),
                gaps: BTreeMap::new(),
                contact: LogContact::default(),
                health: HealthTable::default(),
                in_flight: HashMap::new(),
                retries: RetryShare::starting(settings.retries, restarted),
                streams: StreamEstimate::default(),
                policy: settings.policy,
                demand: DemandTable::default(),
                sought: HashMap::new(),
                proof: FreshnessProof::default(),
                copy_doubt: RestoreGuard::default(),
                era_record: None,
                suspects: SuspectTable::default(),
                limits: RateLimitTable::with_share(1.0 / f64::from(FEWEST_SHARES)),
                rests: BackoffTable::default(),
                records: RecordCache::default(),
                claim_delay: Duration::ZERO,
                orders_from: Instant::default(),
                confirmed_token: None,
                skipped_entries: EntryLogLimiter::default(),
                unreadable_headers: EntryLogLimiter::default(),
                leaving: LeavingTargets::default(),
                own_addresses: Vec::new(),
            }),
            changes: watch::channel(0).0,
            pulls: watch::channel(0).0,
            asked: watch::channel(Instant(0)).0,
            news: watch::channel(0).0,
            whole: watch::channel(0).0,
            eras: watch::channel(StoreEra::default()).0,
        }
    }

    /// How long streams of this VM took lately.
    #[must_use]
    pub fn streams(&self) -> StreamEstimate {
        self.tables().streams
    }

    /// The books.
    ///
    /// # Panics
    /// If a holder of the lock panicked.
    pub fn tables(&self) -> MutexGuard<'_, FleetTables> {
        self.tables.lock().expect("no holder of the lock panics")
    }

    /// Time since this process started.
    #[must_use]
    pub fn age(&self) -> Duration {
        clock::now().since(self.started)
    }

    /// A planned stop of this VM begins.
    pub fn begin_stop(&self) {
        self.stopping.send_replace(true);
    }

    /// Whether a planned stop of this VM has begun, as it changes.
    #[must_use]
    pub fn watch_stop(&self) -> watch::Receiver<bool> {
        self.stopping.subscribe()
    }

    /// Whether another VM of the zone could take the lease over now.
    #[must_use]
    pub fn has_successor(&self) -> bool {
        !self.successors().is_empty()
    }

    /// A VM could take the lease over from now on, or no longer.
    pub fn note_successor(&self, vm: &VmName, is_one: bool) {
        if is_one {
            self.successors().insert(vm.clone());
        } else {
            self.successors().remove(vm);
        }
    }

    fn successors(&self) -> MutexGuard<'_, HashSet<VmName>> {
        self.successors
            .lock()
            .expect("no holder of the lock panics")
    }

    /// The configuration in force.
    #[must_use]
    pub fn active(&self) -> Option<Arc<ActiveConfig>> {
        self.tables().active.clone()
    }

    /// Whether callers can be served.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let tables = self.tables();
        tables.active.is_some()
            && tables.known_ends.contains_key(&FeedTopic::Targets)
            && tables.known_ends.contains_key(&FeedTopic::Fleet)
            && tables.may_trust_keys(self.revocation, clock::now())
    }

    /// This VM's place in the order in which its zone's VMs take on duties, the strongest first.
    #[must_use]
    pub fn rank(&self) -> u32 {
        self.tables().rank(self)
    }

    /// A signal that fires after changes.
    #[must_use]
    pub fn watch(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Fires the signal.
    pub fn signal(&self) {
        self.changes.send_modify(|count| *count += 1);
    }

    /// A holder said that an adapter takes much of its zone.
    pub fn note_sought(&self, adapter: &AdapterName) {
        let now = clock::now();
        let mut tables = self.tables();
        tables.sought.retain(|_, until| now < *until);
        tables.sought.insert(adapter.clone(), now.after(SOUGHT_FOR));
    }

    /// Offset up to which every record of a topic is known; 0 as long as it is not known whole.
    #[must_use]
    pub fn known_end(&self, topic: FeedTopic) -> LogPosition {
        let tables = self.tables();
        tables
            .known_ends
            .get(&topic)
            .copied()
            .unwrap_or(LogPosition(0))
    }

    /// Whether this VM has to read a topic itself, whoever else does.
    #[must_use]
    pub fn has_gap(&self, topic: FeedTopic) -> bool {
        self.tables().gaps.contains_key(&topic)
    }

    /// Whether every key of a topic is known.
    #[must_use]
    pub fn is_topic_known(&self, topic: FeedTopic) -> bool {
        self.tables().known_ends.contains_key(&topic)
    }

    /// VMs recorded in this VM's zone.
    #[must_use]
    pub fn zone_vms(&self) -> usize {
        let tables = self.tables();
        let zone = tables
            .vms
            .values()
            .filter(|record| record.zone == self.zone);
        zone.count()
    }

    /// Whether a target is about to leave, or gone.
    #[must_use]
    pub fn is_leaving(&self, target: &str) -> bool {
        let name = TargetName::new(target);
        self.tables()
            .catalog
            .get(&name)
            .is_none_or(|entry| entry.stage == TargetStage::Draining)
    }

    /// The holder of a zone by the newest record, and where it is reached.
    #[must_use]
    pub fn lease(&self, zone: &AvailabilityZone) -> Option<ZoneLease> {
        self.tables().leases.get(zone)?.lease.clone()
    }

    /// All of the operators' records that the log had when a read was sent are known. A copy that is older than the configuration in
    /// force proves nothing, nor does one that may lack the newest.
    pub fn note_config_read(&self, sent: Instant) {
        let mut tables = self.tables();
        let version = tables.active.as_ref().map(|active| active.config.version);
        let is_doubted = tables.copy_doubt.remaining(sent).is_some();
        if !is_doubted && version.is_none_or(|version| tables.stored_version >= version) {
            tables.proof.record_read(sent);
        }
    }

    /// Whether keys are known to hold still.
    #[must_use]
    pub fn may_trust_keys(&self) -> bool {
        self.tables().may_trust_keys(self.revocation, clock::now())
    }

    /// When it is worth coming back while keys are not known to hold still.
    #[must_use]
    pub fn key_retry_after(&self) -> Option<Duration> {
        self.tables().copy_doubt.remaining(clock::now())
    }

    /// All of the fleet's topic is known as of then.
    pub fn note_fleet_read(&self, known_at: Instant) {
        let mut tables = self.tables();
        // Claims may be lost until this zone is claimed in the present history.
        if tables.is_outdated(&self.zone) {
            return;
        }
        let known = tables.fleet_read_at.get_or_insert(known_at);
        *known = known_at.max(*known);
    }

    /// Targets of a service in a zone, whatever their stage.
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

fn duty_order(vm: &VmName, strength: u32) -> (Reverse<u32>, u64) {
    let mut hasher = SipHasher13::new();
    vm.as_str().hash(&mut hasher);
    (Reverse(strength), hasher.finish())
}

/// Key of a VM's record.
#[must_use]
pub fn vm_key(vm: &VmName) -> String {
    format!("{VM_KEY_PREFIX}{vm}")
}

/// Key of a suspect.
#[must_use]
pub fn suspect_key(fingerprint: RequestFingerprint) -> String {
    format!("{SUSPECT_KEY_PREFIX}{:016x}", fingerprint.0)
}

/// Key of a zone's lease.
#[must_use]
pub fn zone_key(zone: &AvailabilityZone) -> String {
    format!("{ZONE_KEY_PREFIX}{zone}")
}
