//! A small site: platform, engines, services and daemons, all in this process and over loopback.

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

/// Token of the operator that every daemon of a site knows.
pub const OPERATOR_TOKEN: &str = "operator-secret";
/// Token of the caller with urgent priority.
pub const URGENT_TOKEN: &str = "urgent-secret";
/// Token of the caller with normal priority.
pub const NORMAL_TOKEN: &str = "normal-secret";
/// Token of the caller with batch priority.
pub const BATCH_TOKEN: &str = "batch-secret";
/// Threads of one daemon.
const DAEMON_THREADS: usize = 2;
/// Records of one change that declares adapters.
const ADAPTERS_A_CHANGE: usize = 500;

/// An engine of a site.
#[derive(Clone, Debug)]
pub struct TargetSpec {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Whether it checks fencing tokens.
    pub checks_fencing: bool,
}

/// What a site consists of.
#[derive(Clone, Debug)]
pub struct SiteConfig {
    /// Daemons: VM and zone.
    pub daemons: Vec<(String, String)>,
    /// Engines.
    pub engines: Vec<TargetSpec>,
    /// Zones with an instance of the service `ledger`.
    pub service_zones: Vec<String>,
    /// Sizes and speeds of the engines.
    pub model: EngineModel,
    /// Time of a load alone.
    pub load: Duration,
    /// Adapters `adapter-0000` onwards, each with version `v1`.
    pub adapters: usize,
    /// Records that the log keeps.
    pub retention: usize,
    /// Whether links between daemons go through relays that can be cut.
    pub relays: bool,
    /// Settings that replace the defaults of a site.
    pub overrides: Value,
}

impl SiteConfig {
    /// Zones named `zone-a` onwards, each with as many daemons, engines and services as given.
    #[must_use]
    pub fn zones(zones: usize, daemons: usize, engines: usize, adapters: usize) -> Self {
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
            load: Duration::from_millis(60),
            adapters,
            retention: 100_000,
            relays: false,
            overrides: json!({}),
        }
    }
}

/// A daemon with a runtime of its own, so that killing it ends every task of it at once.
pub struct DaemonProcess {
    daemon: Option<RunningDaemon>,
    runtime: Option<Runtime>,
}

impl DaemonProcess {
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

impl Deref for DaemonProcess {
    type Target = RunningDaemon;

    fn deref(&self) -> &RunningDaemon {
        self.daemon
            .as_ref()
            .expect("the daemon is there until it is dropped")
    }
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        drop(self.daemon.take());
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

/// A running site.
pub struct TestSite {
    /// What it consists of.
    pub config: SiteConfig,
    /// The platform.
    pub platform: PlatformStandin,
    /// The weight store.
    pub store: Arc<WeightStore>,
    /// Engines by name.
    pub engines: BTreeMap<String, EngineStandin>,
    /// Instances of the service `ledger` by target name.
    pub services: BTreeMap<String, ServiceStandin>,
    /// Daemons by VM.
    pub daemons: BTreeMap<String, DaemonProcess>,
    relays: BTreeMap<(String, String), LinkRelay>,
}

impl TestSite {
    /// Starts a site and waits until every daemon serves and every target has a holder.
    ///
    /// # Errors
    /// Returns an error when a port can't be had, or the site does not come up in time.
    pub async fn start(config: SiteConfig) -> io::Result<Self> {
        if std::env::var_os("HOPLANDING_TEST_LOG").is_some() {
            let config = simplelog::ConfigBuilder::new()
                .add_filter_allow_str("hoplanding")
                .build();
            // Another site of this process may have set it.
            let _ = simplelog::SimpleLogger::init(simplelog::LevelFilter::Debug, config);
        }
        let platform = PlatformStandin::start(config.retention).await?;
        let store = Arc::new(WeightStore::new(config.load));
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
        site.configure().await?;
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

    /// Settings of one daemon.
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
        merge(&mut settings, &self.config.overrides);
        settings
    }

    /// Zone of a daemon.
    #[must_use]
    pub fn zone_of(&self, vm: &str) -> String {
        let mut daemons = self.config.daemons.iter();
        daemons
            .find(|(name, _)| name == vm)
            .map(|(_, zone)| zone.clone())
            .unwrap_or_default()
    }

    /// Starts a daemon, for the first time or anew.
    ///
    /// # Errors
    /// Returns an error when a port can't be had.
    ///
    /// # Panics
    /// If the site's own settings are wrong.
    pub async fn start_daemon(&mut self, vm: &str) -> io::Result<()> {
        let settings = Settings::parse(&self.settings_json(vm).to_string())
            .expect("a site's settings are in order");
        let daemon = DaemonProcess::start(settings).await?;
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

    /// Ends a daemon as a crash would; the platform's list is as slow as the caller of this makes it.
    pub fn kill_daemon(&mut self, vm: &str) {
        drop(self.daemons.remove(vm));
    }

    /// A planned stop of a daemon.
    pub async fn stop_daemon(&mut self, vm: &str) -> Option<StopReport> {
        let mut process = self.daemons.remove(vm)?;
        let report = process.daemon.take()?.stop().await;
        self.platform.remove_vm(vm);
        Some(report)
    }

    /// Sets the state of the links between two daemons, both ways.
    pub fn set_links(&self, one: &str, other: &str, state: LinkState) {
        for ((from, to), relay) in &self.relays {
            if (from == one && to == other) || (from == other && to == one) {
                relay.set_state(state);
            }
        }
    }

    /// Cuts a zone off from the other zones and from the platform, or heals it.
    pub fn set_zone_cut(&self, zone: &str, is_cut: bool) {
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
        let inside: Vec<_> = self
            .config
            .daemons
            .iter()
            .filter(|(_, name)| name == zone)
            .map(|(vm, _)| vm.clone())
            .collect();
        self.platform.set_faults(|faults| {
            for vm in inside {
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
    /// If the daemon does not run.
    #[must_use]
    pub fn url(&self, vm: &str) -> String {
        format!("http://{}", self.daemons[vm].caller_address)
    }

    /// A caller that talks to one daemon.
    #[must_use]
    pub fn caller(&self, vm: &str, token: &str) -> CallerClient {
        CallerClient::new(&self.url(vm), token)
    }

    /// Sends a statement to a daemon; the answer's JSON, or the error's message.
    ///
    /// # Errors
    /// Returns the message of the daemon.
    pub async fn operate(&self, vm: &str, text: &str) -> Result<Value, String> {
        self.caller(vm, OPERATOR_TOKEN).operate(text).await
    }

    async fn configure(&self) -> io::Result<()> {
        let (first, _) = self
            .config
            .daemons
            .first()
            .ok_or_else(|| io::Error::other("a site needs a daemon"))?
            .clone();
        self.wait_ready(&first).await?;
        let mut texts = vec![self.base_commands()];
        let numbers: Vec<_> = (0..self.config.adapters).collect();
        texts.extend(numbers.chunks(ADAPTERS_A_CHANGE).map(|chunk| {
            let commands: Vec<_> = chunk
                .iter()
                .map(|number| format!("create adapter {} version v1", adapter_name(*number)))
                .collect();
            commands.join("; ")
        }));
        for text in texts {
            self.operate(&first, &text)
                .await
                .map_err(io::Error::other)?;
        }
        Ok(())
    }

    fn base_commands(&self) -> String {
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
        let until = Instant::now() + Duration::from_secs(10);
        while !self.daemons[vm].is_ready().await {
            if Instant::now() > until {
                return Err(io::Error::other(format!("{vm} did not become ready")));
            }
            sleep(Duration::from_millis(10)).await;
        }
        Ok(())
    }

    /// Waits until every target is served and every daemon ready.
    ///
    /// # Errors
    /// Says what is missing when the time is over.
    pub async fn wait_until_serving(&self, most: Duration) -> io::Result<()> {
        let wanted = self.engines.len() + self.services.len();
        self.wait_until_served(wanted, most).await
    }

    /// Waits until as many targets are served, by the answer of each daemon.
    ///
    /// # Errors
    /// Says what is missing when the time is over.
    pub async fn wait_until_served(&self, wanted: usize, most: Duration) -> io::Result<()> {
        let until = Instant::now() + most;
        for vm in self.daemons.keys() {
            self.wait_ready(vm).await?;
            loop {
                let answer = self.operate(vm, "show targets where state = serving").await;
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
                if Instant::now() > until {
                    return Err(io::Error::other(format!(
                        "{vm} sees {rows} of {wanted} targets: {answer:?}"
                    )));
                }
                sleep(Duration::from_millis(20)).await;
            }
        }
        // One more round of heartbeats, so that gateways have heard of every target.
        sleep(Duration::from_millis(150)).await;
        Ok(())
    }

    /// Broken promises that the stand-ins recorded.
    #[must_use]
    pub fn violations(&self) -> Vec<String> {
        let engines = self.engines.iter().flat_map(|(name, engine)| {
            engine
                .stats()
                .violations
                .into_iter()
                .map(move |violation| format!("{name}: {violation}"))
        });
        engines.chain(self.repeated()).collect()
    }

    /// Service calls that ran more than once, over all instances.
    #[must_use]
    pub fn repeated(&self) -> Vec<String> {
        self.services
            .values()
            .flat_map(ServiceStandin::repeated_calls)
            .map(|call| format!("ran twice: {call}"))
            .collect()
    }

    /// How often a service call ran, over all instances.
    #[must_use]
    pub fn runs_of(&self, body: &str) -> u32 {
        self.services
            .values()
            .map(|service| service.run_count(body))
            .sum()
    }
}

/// Name of an adapter of a site.
#[must_use]
pub fn adapter_name(number: usize) -> String {
    format!("adapter-{number:04}")
}

fn merge(settings: &mut Value, overrides: &Value) {
    let (Some(settings), Some(overrides)) = (settings.as_object_mut(), overrides.as_object())
    else {
        return;
    };
    for (key, value) in overrides {
        match settings.get_mut(key) {
            Some(old) if old.is_object() => merge(old, value),
            _ => {
                settings.insert(key.clone(), value.clone());
            }
        }
    }
}
