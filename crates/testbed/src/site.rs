//! A small site: stand-ins for the platform, engines and services, and real daemons, all in this process over loopback.

use crate::caller::CallerClient;
use hoplanding_standins::{
    engine::{EngineModel, EngineStandin},
    platform::PlatformStandin,
    relay::{LinkRelay, LinkState},
    service::ServiceStandin,
    weights::WeightStore,
};
use hoplandingd::{RunningDaemon, app::StopReport, options::Settings};
use serde_json::{Value, json};
use std::{collections::BTreeMap, fmt::Write, io, ops::Deref, sync::Arc, time::Duration};
use tokio::{
    runtime::{Builder, Runtime},
    time::{Instant, sleep},
};

/// Token of the administrator in every daemon's settings.
pub const OPERATOR_TOKEN: &str = "operator-secret";
/// Token of the caller with urgent priority.
pub const URGENT_TOKEN: &str = "urgent-secret";
/// Token of the caller with normal priority.
pub const NORMAL_TOKEN: &str = "normal-secret";
/// Token of the caller with batch priority.
pub const BATCH_TOKEN: &str = "batch-secret";
/// Worker threads of one daemon's runtime.
const DAEMON_THREADS: usize = 2;
/// Adapters created by one statement.
const MAX_ADAPTERS_PER_CHANGE: usize = 500;

/// Properties of one engine.
#[derive(Clone, Debug)]
pub struct TargetSpec {
    /// Target name.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Whether the engine checks fencing tokens.
    pub checks_fencing: bool,
}

/// Components and parameters of a site.
#[derive(Clone, Debug)]
pub struct SiteConfig {
    /// VM and zone of each daemon.
    pub daemons: Vec<(String, String)>,
    /// Engines of all zones.
    pub engines: Vec<TargetSpec>,
    /// Zones that have an instance of the service `ledger`.
    pub service_zones: Vec<String>,
    /// Capacity and speed of every engine.
    pub model: EngineModel,
    /// Duration of one adapter load with no other load at the same time.
    pub load_time: Duration,
    /// Number of adapters, named from `adapter-0000`, each with version `v1`.
    pub adapters: usize,
    /// Records that the platform's log retains.
    pub retention: usize,
    /// Whether links between daemons go through relays that can be cut or frozen.
    pub relays: bool,
    /// JSON object merged over the default daemon settings.
    pub overrides: Value,
}

impl SiteConfig {
    /// Creates zones named from `zone-a`, each with this many daemons and engines and one instance of `ledger`.
    #[must_use]
    pub fn with_zones(zones: usize, daemons: usize, engines: usize, adapters: usize) -> Self {
        let names: Vec<String> = (0..zones)
            .map(|index| format!("zone-{}", (b'a' + index as u8) as char))
            .collect();
        let letter = |zone: &str| zone.trim_start_matches("zone-").to_owned();
        let daemons = names.iter().flat_map(|zone| {
            (1..=daemons).map(move |index| (format!("{}{index}", letter(zone)), zone.clone()))
        });
        let engines = names.iter().flat_map(|zone| {
            (1..=engines).map(move |index| TargetSpec {
                name: format!("engine-{}{index}", letter(zone)),
                zone: zone.clone(),
                checks_fencing: index % 2 == 1,
            })
        });
        Self {
            daemons: daemons.collect(),
            engines: engines.collect(),
            service_zones: names.clone(),
            model: EngineModel::default(),
            load_time: Duration::from_millis(60),
            adapters,
            retention: 100_000,
            relays: false,
            overrides: json!({}),
        }
    }
}

/// A daemon on its own runtime, so that dropping it ends all its tasks at once, as a crash does.
pub struct IsolatedDaemon {
    daemon: Option<RunningDaemon>,
    runtime: Option<Runtime>,
}

impl IsolatedDaemon {
    async fn start(settings: Settings) -> io::Result<Self> {
        let thread_name = format!("d-{}", settings.vm);
        let runtime = Builder::new_multi_thread()
            .thread_name(thread_name)
            .worker_threads(DAEMON_THREADS)
            .enable_all()
            .build()?;
        let started = runtime.spawn(RunningDaemon::start(settings)).await;
        Ok(Self {
            daemon: Some(started.map_err(io::Error::other)??),
            runtime: Some(runtime),
        })
    }
}

impl Deref for IsolatedDaemon {
    type Target = RunningDaemon;

    fn deref(&self) -> &RunningDaemon {
        self.daemon
            .as_ref()
            .expect("the daemon is present until it is stopped or dropped")
    }
}

impl Drop for IsolatedDaemon {
    fn drop(&mut self) {
        drop(self.daemon.take());
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

/// A running site.
pub struct TestSite {
    /// Configuration that the site was started with.
    pub config: SiteConfig,
    /// Stand-in for the platform.
    pub platform: PlatformStandin,
    /// Weight store shared by the engines.
    pub store: Arc<WeightStore>,
    /// Engines by target name.
    pub engines: BTreeMap<String, EngineStandin>,
    /// Instances of the service `ledger` by target name.
    pub services: BTreeMap<String, ServiceStandin>,
    /// Running daemons by VM.
    pub daemons: BTreeMap<String, IsolatedDaemon>,
    relays: BTreeMap<(String, String), LinkRelay>,
}

impl TestSite {
    /// Starts a site and waits until every daemon is ready and every target has a holder.
    ///
    /// # Errors
    /// Returns an error if a port can't be bound, or the site is not ready in time.
    pub async fn start(config: SiteConfig) -> io::Result<Self> {
        if std::env::var_os("HOPLANDING_TEST_LOG").is_some() {
            let config = simplelog::ConfigBuilder::new()
                .add_filter_allow_str("hoplanding")
                .build();
            // Fails if another site of this process has set the logger already, which is fine.
            let _ = simplelog::SimpleLogger::init(simplelog::LevelFilter::Debug, config);
        }
        let platform = PlatformStandin::start(config.retention).await?;
        let store = Arc::new(WeightStore::new(config.load_time));
        let mut engines = BTreeMap::new();
        for spec in &config.engines {
            let engine = EngineStandin::start(
                config.model.clone(),
                spec.checks_fencing,
                Arc::clone(&store),
            )
            .await?;
            engines.insert(spec.name.clone(), engine);
        }
        let mut services = BTreeMap::new();
        for zone in &config.service_zones {
            services.insert(format!("ledger-{zone}"), ServiceStandin::start().await?);
        }
        let mut site = Self {
            config,
            platform,
            store,
            engines,
            services,
            daemons: BTreeMap::new(),
            relays: BTreeMap::new(),
        };
        site.start_relays().await?;
        for (vm, _) in site.config.daemons.clone() {
            site.start_daemon(&vm).await?;
        }
        site.apply_configuration().await?;
        site.wait_until_serving(Duration::from_secs(20)).await?;
        Ok(site)
    }

    async fn start_relays(&mut self) -> io::Result<()> {
        if !self.config.relays {
            return Ok(());
        }
        for (from, _) in &self.config.daemons {
            for (to, _) in self.config.daemons.iter().filter(|(to, _)| to != from) {
                self.relays
                    .insert((from.clone(), to.clone()), LinkRelay::start().await?);
            }
        }
        Ok(())
    }

    /// Settings of one daemon as JSON, with the overrides applied.
    #[must_use]
    pub fn settings_json(&self, vm: &str) -> Value {
        let zone = self.zone_of(vm);
        let seeds: Vec<_> = self
            .relays
            .iter()
            .filter(|((from, _), _)| from == vm)
            .map(|((_, to), relay)| json!({ "vm": to, "zone": self.zone_of(to), "peer_address": relay.address.to_string() }))
            .collect();
        let mut settings = json!({
            "vm": vm,
            "zone": zone,
            "caller_address": "127.0.0.1:0",
            "peer_address": "127.0.0.1:0",
            "peer_secret": "fleet-secret",
            "platform": { "address": self.platform.address(), "timeout_ms": 800, "list_every_ms": 50 },
            "seeds": seeds,
            "operators": [{ "name": "ops", "token": OPERATOR_TOKEN, "role": "admin" }],
            "membership": {
                "heartbeat_ms": 50, "suspect_after_ms": 600, "take_over_after_ms": 1500, "delivery_bound_ms": 500,
            },
            "stop": { "grace_ms": 200, "bound_ms": 20_000 },
            "log": { "level": "info" },
        });
        merge_settings(&mut settings, &self.config.overrides);
        settings
    }

    /// Zone of a VM; empty if the VM is unknown.
    #[must_use]
    pub fn zone_of(&self, vm: &str) -> String {
        let mut daemons = self.config.daemons.iter();
        daemons
            .find(|(name, _)| name == vm)
            .map(|(_, zone)| zone.clone())
            .unwrap_or_default()
    }

    /// Starts or restarts a daemon and lists its VM as live.
    ///
    /// # Errors
    /// Returns an error if a port can't be bound.
    ///
    /// # Panics
    /// Panics if the settings are invalid.
    pub async fn start_daemon(&mut self, vm: &str) -> io::Result<()> {
        let settings = Settings::parse(&self.settings_json(vm).to_string())
            .expect("the site's settings are valid");
        let daemon = IsolatedDaemon::start(settings).await?;
        for ((_, to), relay) in &self.relays {
            if to == vm {
                relay.set_target(daemon.peer_address);
            }
        }
        let address = if self.config.relays {
            String::new()
        } else {
            daemon.peer_address.to_string()
        };
        self.platform
            .upsert_vm(vm, &self.zone_of(vm), &address, "live");
        self.daemons.insert(vm.to_owned(), daemon);
        Ok(())
    }

    /// Ends a daemon as a crash would. The VM stays in the platform's list until the calling code removes it.
    pub fn kill_daemon(&mut self, vm: &str) {
        drop(self.daemons.remove(vm));
    }

    /// Stops a daemon in an orderly way and removes its VM from the platform's list; `None` if it is not running.
    pub async fn stop_daemon(&mut self, vm: &str) -> Option<StopReport> {
        let mut process = self.daemons.remove(vm)?;
        let report = process.daemon.take()?.stop().await;
        self.platform.remove_vm(vm);
        Some(report)
    }

    /// Sets the state of the links between two daemons, in both directions.
    pub fn set_link_state(&self, one: &str, other: &str, state: LinkState) {
        for ((from, to), relay) in &self.relays {
            if (from == one && to == other) || (from == other && to == one) {
                relay.set_state(state);
            }
        }
    }

    /// Partitions a zone from the other zones and the platform, or ends the partition.
    pub fn set_zone_partitioned(&self, zone: &str, is_cut: bool) {
        let state = if is_cut {
            LinkState::Cut
        } else {
            LinkState::Open
        };
        for ((from, to), relay) in &self.relays {
            if (self.zone_of(from) == zone) != (self.zone_of(to) == zone) {
                relay.set_state(state);
            }
        }
        let zone_vms: Vec<_> = self
            .config
            .daemons
            .iter()
            .filter(|(_, vm_zone)| vm_zone == zone)
            .map(|(vm, _)| vm.clone())
            .collect();
        self.platform.set_faults(|faults| {
            for vm in zone_vms {
                if is_cut {
                    faults.partitioned_vms.insert(vm);
                } else {
                    faults.partitioned_vms.remove(&vm);
                }
            }
        });
    }

    /// Base URL of a daemon.
    ///
    /// # Panics
    /// Panics if the daemon is not running.
    #[must_use]
    pub fn url(&self, vm: &str) -> String {
        format!("http://{}", self.daemons[vm].caller_address)
    }

    /// Creates a client of one daemon.
    ///
    /// # Panics
    /// Panics if the daemon is not running.
    #[must_use]
    pub fn caller(&self, vm: &str, token: &str) -> CallerClient {
        CallerClient::new(&self.url(vm), token)
    }

    /// Sends a statement to a daemon as the administrator and returns the JSON answer.
    ///
    /// # Errors
    /// Returns the daemon's error message.
    pub async fn execute_statement(&self, vm: &str, text: &str) -> Result<Value, String> {
        self.caller(vm, OPERATOR_TOKEN)
            .execute_statement(text)
            .await
    }

    async fn apply_configuration(&self) -> io::Result<()> {
        let (first, _) = self
            .config
            .daemons
            .first()
            .ok_or_else(|| {
                io::Error::other("site configuration has no daemon: at least one is required")
            })?
            .clone();
        self.wait_ready(&first).await?;
        let mut texts = vec![self.base_statement()];
        let numbers: Vec<_> = (0..self.config.adapters).collect();
        texts.extend(numbers.chunks(MAX_ADAPTERS_PER_CHANGE).map(|chunk| {
            let commands: Vec<_> = chunk
                .iter()
                .map(|number| format!("create adapter {} version v1", adapter_name(*number)))
                .collect();
            commands.join("; ")
        }));
        for text in texts {
            self.execute_statement(&first, &text)
                .await
                .map_err(io::Error::other)?;
        }
        Ok(())
    }

    fn base_statement(&self) -> String {
        let mut text = format!(
            "create caller urgent-desk token {URGENT_TOKEN}; create caller normal-desk token {NORMAL_TOKEN}; \
             create caller batch-desk token {BATCH_TOKEN}; \
             allow urgent-desk on all adapters priority urgent; allow normal-desk on all adapters priority normal; \
             allow batch-desk on all adapters priority batch; \
             allow urgent-desk on service ledger priority urgent; allow normal-desk on service ledger priority normal; \
             mark service ledger POST /scans not repeatable"
        );
        for spec in &self.config.engines {
            let model = &self.config.model;
            let fencing = if spec.checks_fencing {
                " checks fencing"
            } else {
                ""
            };
            let _ = write!(
                text,
                "; create target {} zone {} address {} engine slots {} batch {}{fencing}",
                spec.name,
                spec.zone,
                self.engines[&spec.name].address(),
                model.slots,
                model.batch
            );
        }
        for zone in &self.config.service_zones {
            let name = format!("ledger-{zone}");
            let address = self.services[&name].address();
            let _ = write!(
                text,
                "; create target {name} zone {zone} address {address} service ledger concurrency 64"
            );
        }
        text
    }

    async fn wait_ready(&self, vm: &str) -> io::Result<()> {
        let deadline = Instant::now() + Duration::from_secs(10);
        while !self.daemons[vm].is_ready().await {
            if Instant::now() > deadline {
                return Err(io::Error::other(format!(
                    "{vm} did not become ready within 10 s"
                )));
            }
            sleep(Duration::from_millis(10)).await;
        }
        Ok(())
    }

    /// Waits until every daemon is ready and reports all targets as serving.
    ///
    /// # Errors
    /// Returns an error that names the lagging daemon if this takes longer than `timeout`.
    pub async fn wait_until_serving(&self, timeout: Duration) -> io::Result<()> {
        let wanted = self.engines.len() + self.services.len();
        self.wait_until_served(wanted, timeout).await
    }

    /// Waits until every daemon is ready and reports at least `wanted` targets as serving.
    ///
    /// # Errors
    /// Returns an error that names the lagging daemon if this takes longer than `timeout`.
    pub async fn wait_until_served(&self, wanted: usize, timeout: Duration) -> io::Result<()> {
        let deadline = Instant::now() + timeout;
        for vm in self.daemons.keys() {
            self.wait_ready(vm).await?;
            loop {
                let answer = self
                    .execute_statement(vm, "show targets where state = serving")
                    .await;
                let (rows, missing) = match &answer {
                    Ok(answer) => (
                        answer["table"]["rows"].as_array().map_or(0, Vec::len),
                        answer["table"]["missing"].as_array().map_or(0, Vec::len),
                    ),
                    Err(_) => (0, 0),
                };
                if rows >= wanted && missing == 0 {
                    break;
                }
                if Instant::now() > deadline {
                    return Err(io::Error::other(format!(
                        "{vm} reports {rows} of {wanted} targets as serving after {timeout:?}: {answer:?}"
                    )));
                }
                sleep(Duration::from_millis(20)).await;
            }
        }
        // Time for another round of heartbeats (50 ms apart), so that every gateway knows every target.
        sleep(Duration::from_millis(150)).await;
        Ok(())
    }

    /// Contract violations that the stand-ins recorded, including repeated service calls.
    #[must_use]
    pub fn violations(&self) -> Vec<String> {
        let engine_violations = self.engines.iter().flat_map(|(name, engine)| {
            engine
                .stats()
                .violations
                .into_iter()
                .map(move |violation| format!("{name}: {violation}"))
        });
        engine_violations.chain(self.repeated_calls()).collect()
    }

    /// Service calls that ran more than once on one instance.
    #[must_use]
    pub fn repeated_calls(&self) -> Vec<String> {
        self.services
            .values()
            .flat_map(ServiceStandin::repeated_calls)
            .map(|call| format!("ran twice: {call}"))
            .collect()
    }

    /// Number of times that the service call with this body ran, over all instances.
    #[must_use]
    pub fn runs_of(&self, body: &str) -> u32 {
        self.services
            .values()
            .map(|service| service.run_count(body))
            .sum()
    }
}

/// Name of the adapter with this number.
#[must_use]
pub fn adapter_name(number: usize) -> String {
    format!("adapter-{number:04}")
}

fn merge_settings(settings: &mut Value, overrides: &Value) {
    let (Some(settings), Some(overrides)) = (settings.as_object_mut(), overrides.as_object())
    else {
        return;
    };
    for (key, value) in overrides {
        match settings.get_mut(key) {
            Some(old) if old.is_object() => merge_settings(old, value),
            _ => {
                settings.insert(key.clone(), value.clone());
            }
        }
    }
}
