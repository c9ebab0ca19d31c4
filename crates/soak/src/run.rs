//! A single run: starts a small fleet, sends calls, injects the scheduled faults and checks the recorded history.

mod losses;
mod path_losses;
mod silences;
mod skews;

use crate::{
    adapter_store::{ADAPTER_SLOTS, BASE_MODEL, FIRST_VERSION},
    callers::{CALL_TIMEOUT, SoakCall, probe_route, send_call},
    checks::{Violation, check},
    fleet::SoakVm,
    history::{CallKind, HistoryEvent, SharedHistory, TimedEntry},
    organisations::{draw_key, rotated_key, tenant_configs},
    prompts::{self, prompt_parts},
    resident_callers::ResidentCaller,
    schedule::{
        FaultKind, PlannedFault, config_losses, deadly_parts, extra_faults, path_losses,
        seeded_faults, skewed_connections, target_silences,
    },
    targets::{HEALTH_PATH, InjectedDefect, SoakTarget, TargetContext, TargetRole, service_name},
};
use hoplanding_platform::names::{CONFIG_KEY, OPERATOR_TOPIC, TARGET_TOPIC, VERSION_KEY};
use hoplanding_standins::{keyed_log::KeyedLog, relay::LinkState};
use rand::{Rng, SeedableRng, rngs::StdRng};
use serde_json::json;
use std::{
    collections::BTreeMap,
    fs, io,
    path::PathBuf,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};
use tokio::{
    sync::Mutex as AsyncMutex,
    task::JoinSet,
    time::{Instant, sleep, sleep_until, timeout},
};

/// Maximum time until every VM serves the first configuration.
const START_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
const PROBE_INTERVAL: Duration = Duration::from_millis(150);
/// Number of kills in a kill series, and the time the daemons run between two kills.
const SERIES_KILLS: usize = 5;
const SERIES_KILL_INTERVAL: Duration = Duration::from_millis(700);
/// Number of new versions in a version series, and the time between two of them: shorter than a stream, so that engines
/// still run the previous version when the next one is published.
const SERIES_VERSIONS: usize = 8;
const VERSION_INTERVAL: Duration = Duration::from_millis(350);
/// Number of most requested adapters, which version series replace.
const POPULAR_ADAPTERS: usize = 3;
/// Number of settings changes in a reload series, and the time between two of them.
const SERIES_RELOADS: usize = 6;
const RELOAD_INTERVAL: Duration = Duration::from_millis(250);
/// Interval at which targets update their list entries.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Minimum `Retry-After` period that targets send.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Minimum time for which a target announces draining in answers only, before its list entry says so.
const MIN_ANNOUNCED_DRAINING: Duration = Duration::from_secs(3);
/// Maximum number of records per topic that a restored snapshot lacks.
const MAX_LOST_RECORDS: usize = 6;
/// The daemons' recovery bound where operators may take up to 10 s to rewrite, and where they rewrite at once.
const LONG_RECOVERY_BOUND: Duration = Duration::from_secs(15);
const SHORT_RECOVERY_BOUND: Duration = Duration::from_secs(6);
const LOG_COUNT_INTERVAL: Duration = Duration::from_secs(1);
/// Pause between two requests with the deadly part.
const DEADLY_CALL_INTERVAL: Duration = Duration::from_millis(120);
/// Maximum time for calls and faults to end after the last request.
const END_TIMEOUT: Duration = Duration::from_secs(20);

/// Parameters of a run.
#[derive(Clone, Debug)]
pub struct RunPlan {
    /// Seed for faults and requests.
    pub seed: u64,
    /// Number of requests to send.
    pub requests: usize,
    /// Requests per second.
    pub rate: f64,
    /// Number of availability zones.
    pub zones: usize,
    /// Number of VMs in each zone.
    pub vms_per_zone: usize,
    /// Number of engines in each zone.
    pub engines_per_zone: usize,
    /// Number of software versions among the targets.
    pub software_versions: usize,
    /// Number of adapters that requests name.
    pub adapters: usize,
    /// Faults to inject; drawn from the seed if `None`.
    pub faults: Option<Vec<PlannedFault>>,
    /// Number of faults drawn from [`FaultKind::SEEDED`].
    pub fault_count: usize,
    /// Number of faults drawn from [`FaultKind::EXTRA`].
    pub extra_fault_count: usize,
    /// Number of faults drawn from [`FaultKind::CONFIG_LOSSES`].
    pub config_loss_count: usize,
    /// Number of faults drawn from [`FaultKind::PATH_LOSSES`].
    pub path_loss_count: usize,
    /// Number of faults drawn from [`FaultKind::DEADLY_PARTS`].
    pub deadly_part_count: usize,
    /// Number of faults drawn from [`FaultKind::SKEWS`].
    pub skew_count: usize,
    /// Number of faults drawn from [`FaultKind::SILENCES`].
    pub silence_count: usize,
    /// Number of callers at each VM that keep their connections.
    pub residents: usize,
    /// Calls and processor time of a skew.
    pub skew: SkewPlan,
    /// Path of the daemon's executable.
    pub program: PathBuf,
    /// Directory for the settings, logs and fault schedule of the run.
    pub folder: PathBuf,
    /// Defect of the target stand-ins that the checks must detect.
    pub defect: InjectedDefect,
}

impl RunPlan {
    /// Time in which requests are sent.
    #[must_use]
    pub fn span(&self) -> Duration {
        Duration::from_secs_f64(self.requests as f64 / self.rate)
    }

    /// Faults to inject, ordered by time when they are drawn from the seed.
    #[must_use]
    pub fn schedule(&self) -> Vec<PlannedFault> {
        let span = self.span();
        self.faults.clone().unwrap_or_else(|| {
            let mut faults = seeded_faults(self.seed, span, self.fault_count);
            faults.extend(extra_faults(self.seed, span, self.extra_fault_count));
            faults.extend(config_losses(self.seed, span, self.config_loss_count));
            faults.extend(path_losses(self.seed, span, self.path_loss_count));
            faults.extend(deadly_parts(self.seed, span, self.deadly_part_count));
            faults.extend(skewed_connections(self.seed, span, self.skew_count));
            faults.extend(target_silences(self.seed, span, self.silence_count));
            faults.sort_by_key(|fault| fault.at_ms);
            faults
        })
    }

    /// Whether paths to targets are lost in the run.
    #[must_use]
    pub fn has_path_losses(&self) -> bool {
        let mut kinds = self.schedule().into_iter().map(|fault| fault.kind);
        kinds.any(|kind| FaultKind::PATH_LOSSES.contains(&kind))
    }

    /// The daemons' setting for the time that operators need to rewrite what a restored log lacks. VMs refuse calls with
    /// keys for that time, so runs in which operators are quick have a short one.
    #[must_use]
    pub fn recovery_bound(&self) -> Duration {
        let mut kinds = self.schedule().into_iter().map(|fault| fault.kind);
        if kinds.any(|kind| FaultKind::CONFIG_LOSSES.contains(&kind)) {
            LONG_RECOVERY_BOUND
        } else {
            SHORT_RECOVERY_BOUND
        }
    }
}

/// Calls and processor time while most new connections go to one VM.
#[derive(Clone, Copy, Debug)]
pub struct SkewPlan {
    /// Additional calls per second, each on a new connection.
    pub rate: f64,
    /// Share of these calls that goes to the chosen VM.
    pub share: f64,
    /// Processor time that each daemon may use in every 50 ms.
    pub processor_slice: Duration,
}

/// Result of a run.
#[derive(Clone, Debug)]
pub struct RunOutcome {
    /// Seed of the run.
    pub seed: u64,
    /// Faults that were injected.
    pub faults: Vec<PlannedFault>,
    /// Events recorded during the run.
    pub history: Vec<TimedEntry>,
    /// Violated guarantees.
    pub violations: Vec<Violation>,
}

/// Running fleet with its log and targets.
struct SoakCluster {
    log: KeyedLog,
    vms: Vec<Arc<SoakVm>>,
    targets: Mutex<Vec<Arc<SoakTarget>>>,
    zones: Vec<String>,
    history: SharedHistory,
    /// Version of the newest configuration.
    version: AtomicU64,
    /// Newest version of any adapter or base model. The lock is held until the version is written, so that the log has
    /// versions in ascending order.
    newest_version: Mutex<u64>,
    /// Number of software versions among the targets.
    software_versions: usize,
    /// Number of adapters that requests name.
    adapters: usize,
    target_context: TargetContext,
    /// Last value that operators and targets wrote under each key, for rewriting records that a restored log lacks.
    written: Mutex<BTreeMap<(&'static str, String), Option<String>>>,
    /// Accepted configurations by version. The lock is held until a configuration is written, so that the log has
    /// versions in ascending order.
    configs: Mutex<BTreeMap<u64, String>>,
    /// Held while operators take their time to rewrite configurations.
    operators: AsyncMutex<()>,
    /// Number of current outages of the log.
    log_outages: Mutex<usize>,
    /// Number of calls with keys that lost configurations revoked.
    revoked_calls: AtomicUsize,
    /// Number of calls with the deadly part sent so far.
    deadly_calls: AtomicUsize,
    /// Number of calls of skews sent so far.
    skewed_calls: AtomicUsize,
    skew: SkewPlan,
    /// Number of current path losses by VM.
    path_losses: Mutex<BTreeMap<usize, usize>>,
}

/// Executes a run and checks its history.
///
/// # Errors
/// Returns an I/O error if a port, a file or the daemon's executable is not available, or if the fleet is not ready within
/// 20 s.
pub async fn run_soak(plan: &RunPlan) -> io::Result<RunOutcome> {
    fs::create_dir_all(&plan.folder)?;
    let faults = plan.schedule();
    let written = serde_json::to_string_pretty(&faults)?;
    fs::write(plan.folder.join("faults.json"), written)?;
    let cluster = Arc::new(SoakCluster::start(plan).await?);
    cluster.wait_for_callers().await?;
    let prober = tokio::spawn(Arc::clone(&cluster).probe());
    let heartbeats = tokio::spawn(Arc::clone(&cluster).run_heartbeats());
    let counter = tokio::spawn(Arc::clone(&cluster).count_log_calls());
    let start = Instant::now();
    let mut work = JoinSet::new();
    for fault in faults.clone() {
        let cluster = Arc::clone(&cluster);
        work.spawn(async move {
            sleep_until(start + fault.at()).await;
            cluster.inject(&fault).await;
        });
    }
    cluster.start_residents(plan, start, &mut work);
    cluster.send_calls(plan, start, &mut work).await;
    // A timeout is no error here: open calls appear in the history as calls without an answer.
    let _ = timeout(END_TIMEOUT, async {
        while work.join_next().await.is_some() {}
    })
    .await;
    prober.abort();
    heartbeats.abort();
    counter.abort();
    let history = cluster.history.entries();
    let violations = check(&history);
    Ok(RunOutcome {
        seed: plan.seed,
        faults,
        history,
        violations,
    })
}

impl SoakCluster {
    async fn start(plan: &RunPlan) -> io::Result<Self> {
        let history = SharedHistory::new();
        let log = KeyedLog::start().await?;
        let zones: Vec<_> = (1..=plan.zones)
            .map(|zone| format!("zone-{zone}"))
            .collect();
        let mut vms = Vec::new();
        for index in 0..plan.zones * plan.vms_per_zone {
            let vm = SoakVm::new(index, &zones, log.address(), plan, history.clone());
            vms.push(Arc::new(vm.await?));
        }
        let cluster = Self {
            log,
            vms,
            targets: Mutex::default(),
            zones,
            target_context: TargetContext::new(history.clone(), plan.defect),
            history,
            version: AtomicU64::new(0),
            newest_version: Mutex::new(FIRST_VERSION),
            software_versions: plan.software_versions,
            adapters: plan.adapters,
            written: Mutex::default(),
            configs: Mutex::default(),
            operators: AsyncMutex::default(),
            log_outages: Mutex::default(),
            revoked_calls: AtomicUsize::default(),
            deadly_calls: AtomicUsize::default(),
            skewed_calls: AtomicUsize::default(),
            skew: plan.skew,
            path_losses: Mutex::default(),
        };
        for index in 0..plan.zones * plan.engines_per_zone {
            cluster
                .add_target(TargetRole::Engine, index, Some(FIRST_VERSION))
                .await?;
        }
        for index in 0..plan.zones {
            cluster.add_target(TargetRole::Plain, index, None).await?;
        }
        cluster.publish_config();
        for vm in &cluster.vms {
            vm.start()?;
        }
        Ok(cluster)
    }

    async fn add_target(
        &self,
        role: TargetRole,
        index: usize,
        base: Option<u64>,
    ) -> io::Result<()> {
        let zone = &self.zones[index % self.zones.len()];
        let number = self.lock_targets().len();
        let name = format!("i-{}-{number}", service_name(role));
        let context = self.target_context.clone();
        // Each zone has targets of every version, and replacements have other versions than those before them.
        let version = 1 + number / self.zones.len() % self.software_versions.max(1);
        let software = format!("v{version}");
        let target = SoakTarget::start(&name, role, zone, &software, base, context).await?;
        self.lock_targets().push(Arc::new(target));
        self.update_list();
        Ok(())
    }

    /// Writes the list entries of targets whose models changed since their last entry.
    fn update_list(&self) {
        for target in self.lock_targets().iter() {
            if let Some(entry) = target.changed_entry() {
                self.write(TARGET_TOPIC, &target.name, Some(&entry));
            }
        }
    }

    async fn run_heartbeats(self: Arc<Self>) {
        loop {
            sleep(HEARTBEAT_INTERVAL).await;
            self.replace_crashed().await;
            self.update_list();
        }
    }

    /// Takes crashed engines off the list, and starts an engine under another name for each.
    async fn replace_crashed(&self) {
        let targets = self.lock_targets().clone();
        for (index, target) in targets.iter().enumerate() {
            if target.take_crash() {
                let base = Some(FIRST_VERSION);
                self.replace_target(target, false, base, index).await;
            }
        }
    }

    /// Writes a record on behalf of an operator or a target, and keeps it for [`Self::rewrite_lost_records`].
    fn write(&self, topic: &'static str, key: &str, value: Option<&str>) {
        let mut written = self
            .written
            .lock()
            .expect("no thread panics while it holds the lock");
        written.insert((topic, key.to_owned()), value.map(str::to_owned));
        self.log.put(topic, key, value);
    }

    /// Rewrites the records of operators and targets that the restored log lacks.
    fn rewrite_lost_records(&self) {
        let written = self
            .written
            .lock()
            .expect("no thread panics while it holds the lock");
        for ((topic, key), value) in written.iter() {
            if self.log.newest(topic, key) != *value {
                self.log.put(topic, key, value.as_deref());
            }
        }
        drop(written);
        if self.operators.try_lock().is_ok() {
            let configs = self.lock_configs();
            if let Some((version, config)) = configs.last_key_value()
                && self.stored_config_version() < *version
            {
                self.put_config(*version, config);
            }
        }
    }

    /// Records the number of log calls every [`LOG_COUNT_INTERVAL`].
    async fn count_log_calls(self: Arc<Self>) {
        let mut last_calls = self.log.calls();
        let mut since = Instant::now();
        loop {
            sleep(LOG_COUNT_INTERVAL).await;
            let calls = self.log.calls();
            self.history.record(HistoryEvent::LogCalls {
                calls: calls - last_calls,
                within: since.elapsed(),
            });
            last_calls = calls;
            since = Instant::now();
        }
    }

    async fn wait_for_callers(&self) -> io::Result<()> {
        let ready = async {
            for vm in &self.vms {
                while probe_route(vm, 1)
                    .await
                    .is_none_or(|(_, has_route)| !has_route)
                {
                    sleep(POLL_INTERVAL).await;
                }
            }
        };
        let on_timeout = |_| io::Error::other("fleet not ready after 20 s; see the daemon logs");
        timeout(START_TIMEOUT, ready).await.map_err(on_timeout)
    }

    /// Writes the next configuration. It has one route for each version so far, so that probing a route tells which
    /// versions a VM has applied.
    fn publish_config(&self) {
        let mut configs = self.lock_configs();
        let version = self.version.fetch_add(1, Ordering::SeqCst) + 1;
        let route = |name: String, kind: &str, service: &str, can_resume: bool| {
            json!({
                "name": name, "host": crate::callers::HOST, "path_prefix": format!("/{name}/"),
                "route_type": kind, "timeout_ms": 6000, "target_latency_ms": 1000, "priority": 1,
                "service": service, "max_attempts": 2, "can_resume": can_resume,
            })
        };
        let mut routes = vec![
            route("scan".into(), "non_idempotent", "ledger", false),
            route("lookup".into(), "idempotent", "ledger", false),
            route("plan".into(), "streaming", "scribe", false),
            route("resumed".into(), "streaming", "scribe", true),
        ];
        // Probes send no key.
        routes.extend((1..=version).map(|n| {
            let mut route = route(format!("v{n}"), "idempotent", "ledger", false);
            route["anonymous"] = json!(true);
            route
        }));
        let config = json!({
            "version": version,
            "routes": routes,
            "services": [
                { "name": "ledger", "max_connections": 100, "health_path": HEALTH_PATH },
                { "name": "scribe", "max_connections": 100, "engine": {
                    "slots": 8, "kv_capacity": 100_000, "adapter_slots": ADAPTER_SLOTS,
                    "loads_per_s": 100.0, "models": [{ "name": BASE_MODEL }] } },
            ],
            "tenants": tenant_configs(version),
            "limits": { "max_header_bytes": 16384, "max_body_bytes": 100_000,
                        "header_timeout_ms": 3000, "idle_timeout_ms": 15000 },
        });
        let config = config.to_string();
        self.put_config(version, &config);
        configs.insert(version, config);
    }

    /// Writes a configuration on behalf of an operator.
    fn put_config(&self, version: u64, config: &str) {
        self.log.put(OPERATOR_TOPIC, CONFIG_KEY, Some(config));
        self.history
            .record(HistoryEvent::ConfigAccepted { version });
        for revoked in 1..version {
            let key = rotated_key(revoked);
            self.history.record(HistoryEvent::Revoked { key });
        }
    }

    async fn send_calls(self: &Arc<Self>, plan: &RunPlan, start: Instant, work: &mut JoinSet<()>) {
        let mut random = StdRng::seed_from_u64(plan.seed ^ 0x5eed);
        for number in 0..plan.requests {
            sleep_until(start + Duration::from_secs_f64(number as f64 / plan.rate)).await;
            let kind = CallKind::ALL[random.random_range(0..CallKind::ALL.len())];
            // Squaring a uniform draw makes a few adapters much more popular than the others.
            let draw: f64 = random.random();
            let adapter = match kind {
                CallKind::Once | CallKind::Idempotent => String::new(),
                _ => format!("a{}", (draw * draw * self.adapters as f64) as usize),
            };
            let parts = match kind {
                CallKind::Once | CallKind::Idempotent => Vec::new(),
                _ => prompt_parts(number).to_vec(),
            };
            let call = SoakCall {
                id: format!("r{number}"),
                kind,
                adapter,
                parts,
                key: draw_key(&mut random, self.version.load(Ordering::SeqCst)),
                deadline: CALL_TIMEOUT,
                patience: CALL_TIMEOUT,
                taken_up: None,
            };
            let first_vm = random.random_range(0..self.vms.len());
            let mut vms = self.vms.clone();
            vms.rotate_left(first_vm);
            work.spawn(send_call(vms, call, self.history.clone()));
        }
    }

    /// Starts the callers that keep their connections, for the time of the run.
    fn start_residents(&self, plan: &RunPlan, start: Instant, work: &mut JoinSet<()>) {
        let end = start + plan.span();
        for vm in &self.vms {
            for number in 0..plan.residents {
                let caller = ResidentCaller {
                    vm: Arc::clone(vm),
                    name: format!("resident-{}-{number}", vm.index),
                    adapters: self.adapters,
                    history: self.history.clone(),
                    end,
                };
                let seed = plan.seed ^ ((vm.index as u64) << 32) ^ ((number as u64) << 16);
                work.spawn(caller.run(StdRng::seed_from_u64(seed)));
            }
        }
    }

    /// Sends requests with the deadly part to all VMs in turn, for three times the fault's duration.
    async fn send_deadly_requests(&self, fault: &PlannedFault) {
        let end = Instant::now() + 3 * fault.duration();
        for step in 0.. {
            if Instant::now() >= end {
                return;
            }
            let number = self.deadly_calls.fetch_add(1, Ordering::SeqCst);
            let mut random = StdRng::seed_from_u64(number as u64);
            let call = SoakCall {
                id: format!("deadly-{number}"),
                kind: CallKind::Stream,
                adapter: format!("a{}", number % self.adapters),
                parts: prompts::deadly_parts(number).to_vec(),
                key: draw_key(&mut random, self.version.load(Ordering::SeqCst)),
                deadline: CALL_TIMEOUT,
                patience: CALL_TIMEOUT,
                taken_up: None,
            };
            let mut vms = self.vms.clone();
            vms.rotate_left((fault.index + step) % self.vms.len());
            // Calls end by themselves, also after the fault.
            tokio::spawn(send_call(vms, call, self.history.clone()));
            sleep(DEADLY_CALL_INTERVAL).await;
        }
    }

    /// Probes every VM for the routes of the newest two configurations every [`PROBE_INTERVAL`].
    async fn probe(self: Arc<Self>) {
        loop {
            for vm in &self.vms {
                let newest = self.version.load(Ordering::SeqCst);
                for version in newest.saturating_sub(1).max(1)..=newest {
                    if let Some((run, has_route)) = probe_route(vm, version).await {
                        self.history.record(HistoryEvent::RouteProbed {
                            vm: vm.index,
                            run,
                            version,
                            has_route,
                        });
                    }
                }
            }
            sleep(PROBE_INTERVAL).await;
        }
    }

    async fn inject(&self, fault: &PlannedFault) {
        let vm = &self.vms[fault.index % self.vms.len()];
        match fault.kind {
            FaultKind::Kill => {
                vm.kill().await;
                self.restart(vm, fault).await;
            }
            FaultKind::KillAll => {
                for vm in &self.vms {
                    vm.kill().await;
                }
                sleep(fault.duration()).await;
                for vm in &self.vms {
                    self.restart_now(vm);
                }
            }
            FaultKind::KillSeries => {
                for _ in 0..SERIES_KILLS {
                    for vm in &self.vms {
                        vm.kill().await;
                    }
                    for vm in &self.vms {
                        self.restart_now(vm);
                    }
                    sleep(SERIES_KILL_INTERVAL).await;
                }
            }
            FaultKind::PlannedStop => {
                vm.stop().await;
                self.restart(vm, fault).await;
            }
            FaultKind::Pause => {
                vm.suspend();
                sleep(fault.duration()).await;
                vm.resume();
            }
            FaultKind::LogOut => {
                self.begin_log_outage();
                sleep(fault.duration()).await;
                self.end_log_outage();
            }
            FaultKind::LogLosesAnswers => self.set_log_faults(|faults| faults.lost_responses += 2),
            FaultKind::LogSilent => self.disrupt_log_link(vm, LinkState::Frozen, fault).await,
            FaultKind::LogCut => self.disrupt_log_link(vm, LinkState::Cut, fault).await,
            FaultKind::Leave => {
                let target = self.target(fault.index);
                self.replace_target(&target, true, Some(FIRST_VERSION), fault.index)
                    .await;
            }
            FaultKind::Vanish => {
                let target = self.target(fault.index);
                self.replace_target(&target, false, None, fault.index).await;
            }
            FaultKind::DeadlyPart => self.send_deadly_requests(fault).await,
            FaultKind::SkewedConnections => self.skew_connections(fault).await,
            FaultKind::AllTargetsSilent
            | FaultKind::HalfTargetsSilent
            | FaultKind::OneTargetSilent => self.silence_targets(fault).await,
            FaultKind::Shed => {
                let targets = self.lock_targets().clone();
                targets.iter().for_each(|target| target.set_shedding(true));
                sleep(fault.duration()).await;
                targets.iter().for_each(|target| target.set_shedding(false));
            }
            FaultKind::Break => {
                let target = self.target(fault.index);
                target.set_truncating(true);
                sleep(fault.duration()).await;
                target.set_truncating(false);
            }
            FaultKind::Configure => self.publish_config(),
            FaultKind::NameVersion => self.publish_version(Some(fault.index % self.adapters)),
            FaultKind::VersionSeries => {
                for _ in 0..SERIES_VERSIONS {
                    self.publish_version(Some(fault.index % POPULAR_ADAPTERS.min(self.adapters)));
                    sleep(VERSION_INTERVAL).await;
                }
            }
            FaultKind::WeightSeries => {
                for _ in 0..SERIES_VERSIONS {
                    self.publish_version(None);
                    sleep(VERSION_INTERVAL).await;
                }
            }
            FaultKind::LateOrders => {
                let engine = self.engine(fault.index);
                engine.set_delaying_orders(true);
                sleep(fault.duration()).await;
                engine.set_delaying_orders(false);
            }
            FaultKind::LoseUnreadConfig
            | FaultKind::LoseConfigInOutage
            | FaultKind::LoseReadConfig => self.lose_configs(fault).await,
            FaultKind::PathHangs
            | FaultKind::PathReset
            | FaultKind::PathRefused
            | FaultKind::MostPathsHang => self.lose_paths(fault).await,
            FaultKind::Restore => self.restore_log(1 + fault.index % MAX_LOST_RECORDS).await,
            FaultKind::Rest => {
                let role = self.target(fault.index).role;
                let targets = self.lock_targets().clone();
                let of_role = targets.iter().filter(|target| target.role == role);
                for target in of_role.skip(1) {
                    target.reject_for(MIN_RETRY_AFTER + fault.duration());
                }
            }
            FaultKind::LeaveInAnswers => {
                let target = self.target(fault.index);
                target.announce_draining();
                sleep(MIN_ANNOUNCED_DRAINING + fault.duration()).await;
                self.replace_target(&target, true, Some(FIRST_VERSION), fault.index)
                    .await;
            }
            FaultKind::ReloadSeries => {
                for step in 1..=SERIES_RELOADS {
                    for vm in &self.vms {
                        // The last step, 0, restores the initial settings.
                        self.reload(vm, SERIES_RELOADS - step);
                    }
                    sleep(RELOAD_INTERVAL).await;
                }
            }
        }
    }

    /// Publishes a new version of an adapter, or of the base model if `adapter` is `None`.
    fn publish_version(&self, adapter: Option<usize>) {
        let mut newest = self
            .newest_version
            .lock()
            .expect("no thread panics while it holds the lock");
        *newest += 1;
        let version = *newest;
        let mut value = json!({ "model": BASE_MODEL, "version": version });
        let mut key = format!("{VERSION_KEY}{BASE_MODEL}");
        let adapter = adapter.map(|adapter| format!("a{adapter}"));
        if let Some(adapter) = &adapter {
            value["adapter"] = json!(adapter);
            key += &format!(".{adapter}");
        }
        self.target_context
            .publish_version(adapter.as_deref().unwrap_or_default(), version);
        self.write(OPERATOR_TOPIC, &key, Some(&value.to_string()));
    }

    fn reload(&self, vm: &SoakVm, step: usize) {
        if let Err(error) = vm.reload(step) {
            eprintln!("failed to write the settings of VM {}: {error}", vm.index);
        }
    }

    fn set_log_faults(&self, change: impl FnOnce(&mut hoplanding_standins::keyed_log::LogFaults)) {
        self.history.record(HistoryEvent::LogDisturbed);
        self.log.set_faults(change);
    }

    async fn disrupt_log_link(&self, vm: &SoakVm, state: LinkState, fault: &PlannedFault) {
        vm.set_log_link(state);
        sleep(fault.duration()).await;
        vm.set_log_link(LinkState::Open);
    }

    async fn restart(&self, vm: &SoakVm, fault: &PlannedFault) {
        sleep(fault.duration()).await;
        self.restart_now(vm);
    }

    fn restart_now(&self, vm: &SoakVm) {
        vm.record_disturbance(false);
        self.history
            .record(HistoryEvent::VmStarted { vm: vm.index });
        if let Err(error) = vm.start() {
            eprintln!("failed to restart VM {}: {error}", vm.index);
        }
    }

    /// Takes a target off the list, with a draining entry or by removing its entry, and adds another of the same role. The
    /// old target stays reachable, so that requests sent to it are seen.
    async fn replace_target(
        &self,
        target: &SoakTarget,
        is_announced: bool,
        base: Option<u64>,
        zone_index: usize,
    ) {
        {
            // The lock keeps an older entry from being written after the last one.
            let _targets = self.lock_targets();
            let entry = Some(target.draining_entry()).filter(|_| is_announced);
            self.write(TARGET_TOPIC, &target.name, entry.as_deref());
        }
        self.history.record(HistoryEvent::TargetDraining {
            target: target.name.clone(),
        });
        if let Err(error) = self.add_target(target.role, zone_index, base).await {
            eprintln!("failed to start a replacement for {}: {error}", target.name);
        }
    }

    fn target(&self, index: usize) -> Arc<SoakTarget> {
        let targets = self.lock_targets();
        Arc::clone(&targets[index % targets.len()])
    }

    /// Engine by index, counted from the newest, because replaced engines no longer receive orders.
    fn engine(&self, index: usize) -> Arc<SoakTarget> {
        let targets = self.lock_targets();
        let engines: Vec<_> = targets
            .iter()
            .rev()
            .filter(|target| target.role == TargetRole::Engine)
            .collect();
        Arc::clone(engines[index % engines.len()])
    }

    fn lock_configs(&self) -> std::sync::MutexGuard<'_, BTreeMap<u64, String>> {
        self.configs
            .lock()
            .expect("no thread panics while it holds the lock")
    }

    fn lock_log_outages(&self) -> std::sync::MutexGuard<'_, usize> {
        self.log_outages
            .lock()
            .expect("no thread panics while it holds the lock")
    }

    fn lock_path_losses(&self) -> std::sync::MutexGuard<'_, BTreeMap<usize, usize>> {
        self.path_losses
            .lock()
            .expect("no thread panics while it holds the lock")
    }

    fn lock_targets(&self) -> std::sync::MutexGuard<'_, Vec<Arc<SoakTarget>>> {
        self.targets
            .lock()
            .expect("no thread panics while it holds the lock")
    }
}
