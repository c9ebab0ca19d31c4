//! One seed: a small fleet, its callers and its faults, from start to outcome.

use crate::{
    callers::{SoakCall, probe_version, send_call},
    checks::{Violation, check},
    fleet::SoakVm,
    history::{CallKind, SeenEntry, SharedHistory, TimedEntry},
    organisations::{declared, draw_key, passing_key},
    prompts::parts_of,
    schedule::{FaultKind, PlannedFault, faults_beside, faults_of},
    shelf::{BASE, FIRST_VERSION, PLACES},
    targets::{PlantedFault, SoakTarget, TargetRole, TargetSite, service_of},
};
use hoplanding_platform::names::{
    CONFIG_KEY, FLEET_TOPIC, OPERATOR_TOPIC, TARGET_TOPIC, VERSION_KEY,
};
use hoplanding_standins::{keyed_log::KeyedLog, relay::LinkState};
use nix::sys::signal::Signal;
use rand::{Rng, SeedableRng, rngs::StdRng};
use serde_json::json;
use std::{
    collections::BTreeMap,
    fs, io,
    path::PathBuf,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep, sleep_until, timeout},
};

/// Time for the fleet to come up.
const START_WITHIN: Duration = Duration::from_secs(20);
/// Pause between two looks.
const LOOK: Duration = Duration::from_millis(50);
/// Pause between two probes of a VM's configuration.
const PROBE_EVERY: Duration = Duration::from_millis(150);
/// Kills of a series, and the time that the daemons run between two of them.
const SERIES_KILLS: usize = 5;
const SERIES_LIFE: Duration = Duration::from_millis(700);
/// New versions of a series, and the time between two of them: shorter than a run, so that copies in use stay behind.
const SERIES_VERSIONS: usize = 8;
const VERSION_EVERY: Duration = Duration::from_millis(350);
/// Adapters that are asked for most.
const IN_DEMAND: usize = 3;
/// Changes of settings of a series, and the time between two of them.
const SERIES_RELOADS: usize = 6;
const RELOAD_EVERY: Duration = Duration::from_millis(250);
/// Pause between two looks of a target at its entry in the list.
const HEARTBEAT: Duration = Duration::from_millis(500);
/// Time for which the log is away before it comes back from a copy.
const AWAY: Duration = Duration::from_millis(300);
/// Time after which what was lost is written again.
const WRITTEN_AGAIN: Duration = Duration::from_millis(200);
/// Shortest rest that targets ask for.
const REST_LEAST: Duration = Duration::from_secs(1);
/// Time for which answers alone say that a target leaves, at the least.
const LEAVING_UNLISTED: Duration = Duration::from_secs(3);
/// Records that a copy lacks at the most.
const MOST_LOST: usize = 6;
/// Time between two counts of the calls to the log.
const COUNT_EVERY: Duration = Duration::from_secs(1);
/// Time for calls and faults to end after the last request.
const END_WITHIN: Duration = Duration::from_secs(20);

/// What a run consists of.
#[derive(Clone, Debug)]
pub struct RunPlan {
    /// Seed of faults and requests.
    pub seed: u64,
    /// Requests.
    pub requests: usize,
    /// Requests a second.
    pub rate: f64,
    /// Availability zones.
    pub zones: usize,
    /// VMs of each zone.
    pub vms_per_zone: usize,
    /// Engines of each zone.
    pub engines_per_zone: usize,
    /// Adapters that are asked for.
    pub adapters: usize,
    /// The faults; those of the seed if none are given.
    pub faults: Option<Vec<PlannedFault>>,
    /// Faults of a seed.
    pub fault_count: usize,
    /// Faults that a seed has beside those: what targets say of themselves, and logs that come back from a copy.
    pub beside_count: usize,
    /// The daemon's program.
    pub program: PathBuf,
    /// Where settings, logs and schedule of the run are kept.
    pub folder: PathBuf,
    /// A fault of the stand-ins that the checks have to find.
    pub planted: PlantedFault,
}

impl RunPlan {
    /// The faults that strike.
    #[must_use]
    pub fn schedule(&self) -> Vec<PlannedFault> {
        let span = Duration::from_secs_f64(self.requests as f64 / self.rate);
        self.faults.clone().unwrap_or_else(|| {
            let mut faults = faults_of(self.seed, span, self.fault_count);
            faults.extend(faults_beside(self.seed, span, self.beside_count));
            faults.sort_by_key(|fault| fault.at_ms);
            faults
        })
    }
}

/// What became of a run.
#[derive(Clone, Debug)]
pub struct RunOutcome {
    /// Its seed.
    pub seed: u64,
    /// Its faults.
    pub faults: Vec<PlannedFault>,
    /// What was seen.
    pub history: Vec<TimedEntry>,
    /// Broken promises.
    pub violations: Vec<Violation>,
}

/// A running fleet and its target_site.
struct SoakSite {
    log: KeyedLog,
    vms: Vec<Arc<SoakVm>>,
    targets: Mutex<Vec<Arc<SoakTarget>>>,
    zones: Vec<String>,
    history: SharedHistory,
    version: AtomicU64,
    /// The newest version of anything; held while it is named, so that the log has versions in their order.
    newest_version: Mutex<u64>,
    adapters: usize,
    target_site: TargetSite,
    /// What operators and targets wrote last under each key, to be written again.
    written: Mutex<BTreeMap<(&'static str, String), Option<String>>>,
}

/// Plays a run.
///
/// # Errors
/// Returns the error of the system when ports, files or the program can't be had, or when the fleet does not come up.
pub async fn play(plan: &RunPlan) -> io::Result<RunOutcome> {
    fs::create_dir_all(&plan.folder)?;
    let faults = plan.schedule();
    let written = serde_json::to_string_pretty(&faults)?;
    fs::write(plan.folder.join("faults.json"), written)?;
    let site = Arc::new(SoakSite::start(plan).await?);
    site.wait_for_callers().await?;
    let prober = tokio::spawn(Arc::clone(&site).probe());
    let lister = tokio::spawn(Arc::clone(&site).renew_list());
    let counter = tokio::spawn(Arc::clone(&site).count_log_calls());
    let begun = Instant::now();
    let mut work = JoinSet::new();
    for fault in faults.clone() {
        let site = Arc::clone(&site);
        work.spawn(async move {
            sleep_until(begun + fault.at()).await;
            site.strike(&fault).await;
        });
    }
    site.send_calls(plan, begun, &mut work).await;
    // What hangs beyond the callers' patience shows as calls without an answer.
    let _ = timeout(END_WITHIN, async {
        while work.join_next().await.is_some() {}
    })
    .await;
    prober.abort();
    lister.abort();
    counter.abort();
    let history = site.history.entries();
    let violations = check(&history);
    Ok(RunOutcome {
        seed: plan.seed,
        faults,
        history,
        violations,
    })
}

impl SoakSite {
    async fn start(plan: &RunPlan) -> io::Result<Self> {
        let history = SharedHistory::new();
        let log = KeyedLog::start().await?;
        let zones: Vec<_> = (1..=plan.zones)
            .map(|zone| format!("zone-{zone}"))
            .collect();
        let mut vms = Vec::new();
        for index in 0..plan.zones * plan.vms_per_zone {
            let vm = SoakVm::new(
                index,
                &zones,
                log.address(),
                &plan.program,
                &plan.folder,
                history.clone(),
            );
            vms.push(Arc::new(vm.await?));
        }
        let site = Self {
            log,
            vms,
            targets: Mutex::default(),
            zones,
            target_site: TargetSite::new(history.clone(), plan.planted),
            history,
            version: AtomicU64::new(1),
            newest_version: Mutex::new(FIRST_VERSION),
            adapters: plan.adapters,
            written: Mutex::default(),
        };
        for index in 0..plan.zones * plan.engines_per_zone {
            site.add_target(TargetRole::Engine, index, Some(FIRST_VERSION))
                .await?;
        }
        for index in 0..plan.zones {
            site.add_target(TargetRole::Plain, index, None).await?;
        }
        site.configure();
        for vm in &site.vms {
            vm.start()?;
        }
        Ok(site)
    }

    async fn add_target(
        &self,
        role: TargetRole,
        index: usize,
        base: Option<u64>,
    ) -> io::Result<()> {
        let zone = &self.zones[index % self.zones.len()];
        let number = self.lock_targets().len();
        let name = format!("i-{}-{number}", service_of(role));
        let site = self.target_site.clone();
        let target = SoakTarget::start(&name, role, zone, base, site).await?;
        self.lock_targets().push(Arc::new(target));
        self.list_news();
        Ok(())
    }

    /// Writes the entries of targets that hold something else than listed.
    fn list_news(&self) {
        for target in self.lock_targets().iter() {
            if let Some(entry) = target.news() {
                self.write(TARGET_TOPIC, &target.name, Some(&entry));
            }
        }
    }

    async fn renew_list(self: Arc<Self>) {
        loop {
            sleep(HEARTBEAT).await;
            self.list_news();
        }
    }

    /// Writes a record as an operator or a target does, who write it again if it is lost.
    fn write(&self, topic: &'static str, key: &str, value: Option<&str>) {
        let mut written = self.written.lock().expect("no holder of the lock panics");
        written.insert((topic, key.to_owned()), value.map(str::to_owned));
        self.log.put(topic, key, value);
    }

    /// Writes again what the log lacks of what operators and targets wrote.
    fn write_again(&self) {
        let written = self.written.lock().expect("no holder of the lock panics");
        for ((topic, key), value) in written.iter() {
            if self.log.newest(topic, key) != *value {
                self.log.put(topic, key, value.as_deref());
            }
        }
    }

    /// The log is away for a moment, and comes back from a copy that lacks up to so many records of each topic.
    async fn restore_log(&self, lost: usize) {
        self.disturb(|faults| faults.is_unavailable = true);
        sleep(AWAY).await;
        let topics = [OPERATOR_TOPIC, TARGET_TOPIC, FLEET_TOPIC];
        self.log.restore(&topics.map(|topic| (topic, lost)));
        self.disturb(|faults| faults.is_unavailable = false);
        sleep(WRITTEN_AGAIN).await;
        self.write_again();
        self.disturb(|_| {});
    }

    /// Counts the calls to the log, once a second.
    async fn count_log_calls(self: Arc<Self>) {
        let mut known = self.log.calls();
        let mut since = Instant::now();
        loop {
            sleep(COUNT_EVERY).await;
            let calls = self.log.calls();
            self.history.add(SeenEntry::LogCalls {
                calls: calls - known,
                within: since.elapsed(),
            });
            known = calls;
            since = Instant::now();
        }
    }

    async fn wait_for_callers(&self) -> io::Result<()> {
        let ready = async {
            for vm in &self.vms {
                while probe_version(vm, 1)
                    .await
                    .is_none_or(|(_, has_route)| !has_route)
                {
                    sleep(LOOK).await;
                }
            }
        };
        let late = |_| io::Error::other("the fleet did not come up: look at the logs of the run");
        timeout(START_WITHIN, ready).await.map_err(late)
    }

    /// Writes the newest configuration: the routes of all versions so far, so that a route tells the version.
    fn configure(&self) {
        let version = self.version.load(Ordering::SeqCst);
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
        // Probes give no key.
        routes.extend((1..=version).map(|n| {
            let mut route = route(format!("v{n}"), "idempotent", "ledger", false);
            route["anonymous"] = json!(true);
            route
        }));
        let config = json!({
            "version": version,
            "routes": routes,
            "services": [
                { "name": "ledger", "max_connections": 100 },
                { "name": "scribe", "max_connections": 100, "engine": {
                    "slots": 8, "kv_capacity": 100_000, "adapter_slots": PLACES,
                    "loads_per_s": 100.0, "models": [{ "name": BASE }] } },
            ],
            "tenants": declared(version),
            "limits": { "max_header_bytes": 16384, "max_body_bytes": 100_000,
                        "header_timeout_ms": 3000, "idle_timeout_ms": 15000 },
        });
        self.write(OPERATOR_TOPIC, CONFIG_KEY, Some(&config.to_string()));
        self.history.add(SeenEntry::Configured { version });
        for gone in 1..version {
            let key = passing_key(gone);
            self.history.add(SeenEntry::Revoked { key });
        }
    }

    async fn send_calls(self: &Arc<Self>, plan: &RunPlan, begun: Instant, work: &mut JoinSet<()>) {
        let mut random = StdRng::seed_from_u64(plan.seed ^ 0x5eed);
        for number in 0..plan.requests {
            sleep_until(begun + Duration::from_secs_f64(number as f64 / plan.rate)).await;
            let kind = CallKind::ALL[random.random_range(0..CallKind::ALL.len())];
            // The square of an even draw: a few adapters are asked for most.
            let draw: f64 = random.random();
            let adapter = match kind {
                CallKind::Once | CallKind::Idempotent => String::new(),
                _ => format!("a{}", (draw * draw * self.adapters as f64) as usize),
            };
            let parts = match kind {
                CallKind::Once | CallKind::Idempotent => Vec::new(),
                _ => parts_of(number).to_vec(),
            };
            let call = SoakCall {
                id: format!("r{number}"),
                kind,
                adapter,
                parts,
                key: draw_key(&mut random, self.version.load(Ordering::SeqCst)),
            };
            let start = random.random_range(0..self.vms.len());
            let open = (0..self.vms.len())
                .map(|step| &self.vms[(start + step) % self.vms.len()])
                .find(|vm| vm.callers().is_some());
            if let Some(vm) = open {
                work.spawn(send_call(Arc::clone(vm), call, self.history.clone()));
            }
        }
    }

    /// Asks VMs for the newest route and the one before, over and over.
    async fn probe(self: Arc<Self>) {
        loop {
            for vm in &self.vms {
                let newest = self.version.load(Ordering::SeqCst);
                for version in newest.saturating_sub(1).max(1)..=newest {
                    if let Some((run, has_route)) = probe_version(vm, version).await {
                        self.history.add(SeenEntry::Probed {
                            vm: vm.index,
                            run,
                            version,
                            has_route,
                        });
                    }
                }
            }
            sleep(PROBE_EVERY).await;
        }
    }

    async fn strike(&self, fault: &PlannedFault) {
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
                sleep(fault.length()).await;
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
                    sleep(SERIES_LIFE).await;
                }
            }
            FaultKind::PlannedStop => {
                vm.stop().await;
                self.restart(vm, fault).await;
            }
            FaultKind::Pause => {
                vm.note_strike(false);
                vm.signal(Signal::SIGSTOP);
                sleep(fault.length()).await;
                vm.note_strike(false);
                vm.signal(Signal::SIGCONT);
            }
            FaultKind::LogOut => {
                self.disturb(|faults| faults.is_unavailable = true);
                sleep(fault.length()).await;
                self.disturb(|faults| faults.is_unavailable = false);
            }
            FaultKind::LogLosesAnswers => self.disturb(|faults| faults.lost_responses += 2),
            FaultKind::LogSilent => self.strike_link(vm, LinkState::Frozen, fault).await,
            FaultKind::LogCut => self.strike_link(vm, LinkState::Cut, fault).await,
            FaultKind::Leave => {
                let target = self.target(fault.index);
                self.replace_target(&target, true, Some(FIRST_VERSION), fault)
                    .await;
            }
            FaultKind::Vanish => {
                let target = self.target(fault.index);
                self.replace_target(&target, false, None, fault).await;
            }
            FaultKind::Shed => {
                let targets = self.lock_targets().clone();
                targets.iter().for_each(|target| target.set_shedding(true));
                sleep(fault.length()).await;
                targets.iter().for_each(|target| target.set_shedding(false));
            }
            FaultKind::Break => {
                let target = self.target(fault.index);
                target.set_breaking(true);
                sleep(fault.length()).await;
                target.set_breaking(false);
            }
            FaultKind::Configure => {
                self.version.fetch_add(1, Ordering::SeqCst);
                self.configure();
            }
            FaultKind::NameVersion => self.name_version(Some(fault.index % self.adapters)),
            FaultKind::VersionSeries => {
                for _ in 0..SERIES_VERSIONS {
                    self.name_version(Some(fault.index % IN_DEMAND.min(self.adapters)));
                    sleep(VERSION_EVERY).await;
                }
            }
            FaultKind::WeightSeries => {
                for _ in 0..SERIES_VERSIONS {
                    self.name_version(None);
                    sleep(VERSION_EVERY).await;
                }
            }
            FaultKind::LateOrders => {
                let engine = self.engine(fault.index);
                engine.set_delaying_orders(true);
                sleep(fault.length()).await;
                engine.set_delaying_orders(false);
            }
            FaultKind::Restore => self.restore_log(1 + fault.index % MOST_LOST).await,
            FaultKind::Rest => {
                let role = self.target(fault.index).role;
                let targets = self.lock_targets().clone();
                let of_role = targets.iter().filter(|target| target.role == role);
                for target in of_role.skip(1) {
                    target.rest_for(REST_LEAST + fault.length());
                }
            }
            FaultKind::LeaveInAnswers => {
                let target = self.target(fault.index);
                target.say_leaving();
                sleep(LEAVING_UNLISTED + fault.length()).await;
                self.replace_target(&target, true, Some(FIRST_VERSION), fault)
                    .await;
            }
            FaultKind::ReloadSeries => {
                for step in 1..=SERIES_RELOADS {
                    for vm in &self.vms {
                        // The last step puts back what was there at first.
                        self.reload(vm, SERIES_RELOADS - step);
                    }
                    sleep(RELOAD_EVERY).await;
                }
            }
        }
    }

    /// Names a new version of an adapter, or of the base model.
    fn name_version(&self, adapter: Option<usize>) {
        let mut newest = self
            .newest_version
            .lock()
            .expect("no holder of the lock panics");
        *newest += 1;
        let version = *newest;
        let mut value = json!({ "model": BASE, "version": version });
        let mut key = format!("{VERSION_KEY}{BASE}");
        let adapter = adapter.map(|adapter| format!("a{adapter}"));
        if let Some(adapter) = &adapter {
            value["adapter"] = json!(adapter);
            key += &format!(".{adapter}");
        }
        self.target_site
            .name_version(adapter.as_deref().unwrap_or_default(), version);
        self.write(OPERATOR_TOPIC, &key, Some(&value.to_string()));
    }

    fn reload(&self, vm: &SoakVm, step: usize) {
        if let Err(error) = vm.reload(step) {
            eprintln!("VM {} was not given other settings: {error}", vm.index);
        }
    }

    fn disturb(&self, change: impl FnOnce(&mut hoplanding_standins::keyed_log::LogFaults)) {
        self.history.add(SeenEntry::Disturbed);
        self.log.set_faults(change);
    }

    async fn strike_link(&self, vm: &SoakVm, state: LinkState, fault: &PlannedFault) {
        vm.set_log_link(state);
        sleep(fault.length()).await;
        vm.set_log_link(LinkState::Open);
    }

    async fn restart(&self, vm: &SoakVm, fault: &PlannedFault) {
        sleep(fault.length()).await;
        self.restart_now(vm);
    }

    fn restart_now(&self, vm: &SoakVm) {
        vm.note_strike(false);
        self.history.add(SeenEntry::Started { vm: vm.index });
        if let Err(error) = vm.start() {
            eprintln!("VM {} was not started again: {error}", vm.index);
        }
    }

    /// A target says that it leaves, or its entry goes; another one of its kind comes. It stays reachable: the list is
    /// what counts.
    async fn replace_target(
        &self,
        target: &SoakTarget,
        says_so: bool,
        base: Option<u64>,
        fault: &PlannedFault,
    ) {
        {
            // No entry of before is written behind the last one.
            let _targets = self.lock_targets();
            let entry = Some(target.farewell()).filter(|_| says_so);
            self.write(TARGET_TOPIC, &target.name, entry.as_deref());
        }
        self.history.add(SeenEntry::Leaving {
            target: target.name.clone(),
        });
        if let Err(error) = self.add_target(target.role, fault.index, base).await {
            eprintln!("no target comes in place of {}: {error}", target.name);
        }
    }

    fn target(&self, index: usize) -> Arc<SoakTarget> {
        let targets = self.lock_targets();
        Arc::clone(&targets[index % targets.len()])
    }

    /// An engine, counted from the newest: those whose place others have taken get no orders.
    fn engine(&self, index: usize) -> Arc<SoakTarget> {
        let targets = self.lock_targets();
        let engines: Vec<_> = targets
            .iter()
            .rev()
            .filter(|target| target.role == TargetRole::Engine)
            .collect();
        Arc::clone(engines[index % engines.len()])
    }

    fn lock_targets(&self) -> std::sync::MutexGuard<'_, Vec<Arc<SoakTarget>>> {
        self.targets.lock().expect("no holder of the lock panics")
    }
}
