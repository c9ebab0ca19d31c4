//! VMs of the fleet: each has a settings file, a relayed connection to the log and a daemon process.
//!
//! Signals go only to processes started here, by process id.

use crate::{
    history::{HistoryEvent, SharedHistory},
    organisations::{QUOTA_OVERRUN_RATIO, QUOTA_SLACK, QUOTA_WINDOW, REVOCATION_BOUND},
    run::RunPlan,
};
use hoplanding_standins::relay::{LinkRelay, LinkState};
use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use serde_json::{Value, json};
use std::{
    fs::{self, File},
    io::{self, BufRead, BufReader, Write},
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::PathBuf,
    process::{Child, ChildStdout, Command, Stdio},
    sync::{Arc, Mutex, MutexGuard},
    thread,
    time::Duration,
};
use tokio::time::sleep;

const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Number of the log event that names a daemon's addresses.
const STARTED_EVENT: u64 = 100;

/// State of a VM's daemon process.
#[derive(Debug, Default)]
struct ProcessState {
    child: Option<Child>,
    /// Listen address for callers, once the daemon has logged it.
    callers: Option<SocketAddr>,
    /// Number of processes started so far.
    run: u32,
    is_ending: bool,
}

/// VM with its settings, its connection to the log and its daemon process.
pub struct SoakVm {
    /// Index of the VM in the fleet.
    pub index: usize,
    /// Availability zone.
    pub zone: String,
    /// Relay on the connection to the log, where link faults are injected.
    pub log_link: LinkRelay,
    folder: PathBuf,
    program: PathBuf,
    settings: Value,
    /// Address from which the daemon connects to targets.
    pub source: IpAddr,
    history: SharedHistory,
    state: Arc<Mutex<ProcessState>>,
}

impl SoakVm {
    /// Creates a VM and writes its settings file; the daemon is not started yet.
    ///
    /// # Errors
    /// Returns an I/O error if no port is available or the settings file can't be written.
    pub async fn new(
        index: usize,
        zones: &[String],
        log: SocketAddr,
        plan: &RunPlan,
        history: SharedHistory,
    ) -> io::Result<Self> {
        let log_link = LinkRelay::start().await?;
        log_link.set_target(log);
        let zone = zones[index % zones.len()].clone();
        let source = source_address(index);
        let mut settings = json!({
            "mode": "direct",
            "vm": format!("vm-{index}"),
            "zone": zone,
            "cores": if index < zones.len() { 0.5 } else { 0.25 },
            "caller_address": "127.0.0.1:0",
            "ready_address": "127.0.0.1:0",
            "peer_address": "127.0.0.1:0",
            "platform_address": log_link.address.to_string(),
            "zones": zones,
            "retries": { "ratio": crate::checks::RETRY_RATIO, "slack": crate::checks::RETRY_SLACK as u64 },
            "revocation": { "strict": true, "bound_ms": REVOCATION_BOUND.as_millis() as u64 },
            "recovery": { "bound_s": plan.recovery_bound().as_secs_f64() },
            "quotas": { "window_s": QUOTA_WINDOW.as_secs(), "over": QUOTA_OVERRUN_RATIO, "slack": QUOTA_SLACK },
            "orders_fenced": true,
            "log": { "level": "debug" },
        });
        if plan.has_path_losses() {
            // Daemons of earlier versions do not know this setting.
            settings["target_source_address"] = json!(source.to_string());
        }
        let vm = Self {
            index,
            zone,
            log_link,
            folder: plan.folder.clone(),
            program: plan.program.clone(),
            settings,
            source,
            history,
            state: Arc::default(),
        };
        vm.write_settings(&vm.settings)?;
        Ok(vm)
    }

    /// Replaces the settings file atomically, so that a daemon that starts meanwhile reads either the old or the new one.
    fn write_settings(&self, settings: &Value) -> io::Result<()> {
        let written = self.folder.join(format!("vm-{}.new", self.index));
        fs::write(&written, settings.to_string())?;
        fs::rename(written, self.settings_path())
    }

    fn settings_path(&self) -> PathBuf {
        self.folder.join(format!("vm-{}.json", self.index))
    }

    /// Changes the settings file and signals the daemon to reload it. Step 0 stands for the initial settings, each other
    /// step for different ones. A daemon that has not logged its caller address yet gets no signal, because SIGHUP would end
    /// it.
    ///
    /// # Errors
    /// Returns an I/O error if the file can't be written.
    pub fn reload(&self, step: usize) -> io::Result<()> {
        self.write_settings(&changed_settings(&self.settings, step))?;
        if self.caller_endpoint().is_some() {
            self.history
                .record(HistoryEvent::SettingsReloaded { vm: self.index });
            self.signal(Signal::SIGHUP);
        }
        Ok(())
    }

    /// Starts the daemon if none runs; its output goes to a log file in the run's directory. The check and the start share
    /// one lock, because overlapping faults may start a VM at the same time and a second daemon would never be stopped.
    ///
    /// # Errors
    /// Returns an I/O error if the program can't be started or the log file can't be opened.
    pub fn start(&self) -> io::Result<()> {
        let settings = self.settings_path();
        let mut state = self.lock();
        if state.child.is_some() {
            return Ok(());
        }
        let mut child = Command::new(&self.program)
            .arg("--config")
            .arg(settings)
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()?;
        let output = child.stdout.take();
        state.child = Some(child);
        state.callers = None;
        state.is_ending = false;
        state.run += 1;
        let (state, run) = (Arc::clone(&self.state), state.run);
        let log = self.folder.join(format!("vm-{}.log", self.index));
        let log = File::options().create(true).append(true).open(log)?;
        if let Some(output) = output {
            thread::spawn(move || copy_log(output, log, &state, run));
        }
        Ok(())
    }

    /// Address for callers and number of the daemon process, while the daemon accepts calls.
    #[must_use]
    pub fn caller_endpoint(&self) -> Option<(SocketAddr, u32)> {
        let state = self.lock();
        let callers = state.callers.filter(|_| !state.is_ending)?;
        Some((callers, state.run))
    }

    /// Sends a signal to the daemon, if one runs.
    pub fn signal(&self, signal: Signal) {
        let state = self.lock();
        if let Some(child) = &state.child
            && let Ok(id) = i32::try_from(child.id())
        {
            // Fails only if the process has just ended, which needs no signal.
            let _ = kill(Pid::from_raw(id), signal);
        }
    }

    /// Processor time that the daemon's main thread has used, if one runs.
    #[must_use]
    pub fn processor_time(&self) -> Option<Duration> {
        let id = self.lock().child.as_ref()?.id();
        let text = fs::read_to_string(format!("/proc/{id}/schedstat")).ok()?;
        let nanos = text.split(' ').next()?.parse().ok()?;
        Some(Duration::from_nanos(nanos))
    }

    /// Records a disturbance of the VM in the history.
    pub fn record_disturbance(&self, is_planned: bool) {
        self.history.record(HistoryEvent::VmDisturbed {
            vm: self.index,
            is_planned,
        });
    }

    /// Records in the history that the daemon is about to be killed, suspended or resumed.
    fn record_signal(&self) {
        self.record_disturbance(false);
        self.history
            .record(HistoryEvent::ProcessSignalled { vm: self.index });
    }

    /// Suspends the daemon with SIGSTOP.
    pub fn suspend(&self) {
        self.record_signal();
        self.signal(Signal::SIGSTOP);
    }

    /// Resumes the daemon with SIGCONT.
    pub fn resume(&self) {
        self.record_signal();
        self.signal(Signal::SIGCONT);
    }

    /// Kills the daemon with SIGKILL and waits for its exit.
    pub async fn kill(&self) {
        self.record_signal();
        self.lock().is_ending = true;
        self.signal(Signal::SIGKILL);
        self.wait_for_exit().await;
    }

    /// Stops the daemon with SIGTERM, as in a planned stop, and waits for its exit.
    pub async fn stop(&self) {
        self.record_disturbance(true);
        // As with a load balancer that is told of a planned stop: no new callers are sent to this VM.
        self.lock().is_ending = true;
        self.history
            .record(HistoryEvent::StopSignalled { vm: self.index });
        self.signal(Signal::SIGTERM);
        self.wait_for_exit().await;
        self.record_disturbance(true);
    }

    async fn wait_for_exit(&self) {
        loop {
            {
                let mut state = self.lock();
                let has_ended = match &mut state.child {
                    Some(child) => !matches!(child.try_wait(), Ok(None)),
                    None => true,
                };
                if has_ended {
                    state.child = None;
                    state.callers = None;
                    return;
                }
            }
            sleep(EXIT_POLL_INTERVAL).await;
        }
    }

    /// Sets the state of the connection to the log.
    pub fn set_log_link(&self, link: LinkState) {
        self.record_disturbance(false);
        self.log_link.set_state(link);
    }

    fn lock(&self) -> MutexGuard<'_, ProcessState> {
        self.state
            .lock()
            .expect("no thread panics while it holds the lock")
    }
}

impl Drop for SoakVm {
    fn drop(&mut self) {
        if let Some(mut child) = self.lock().child.take() {
            // No daemon may outlive the run. Errors mean that it has already exited.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Address of a VM, by which targets tell VMs apart.
fn source_address(index: usize) -> IpAddr {
    let [high, low] = (index as u16 + 1).to_be_bytes();
    IpAddr::V4(Ipv4Addr::new(127, 0, high + 1, low))
}

/// Settings of a reload step: some that apply to a running process, and `pace`, which applies only after a restart. The retry
/// budget only shrinks, so that the limits that the checks use hold for every step.
fn changed_settings(first: &Value, step: usize) -> Value {
    let mut settings = first.clone();
    if step > 0 {
        let part = 1.0 / (1 + step) as f64;
        settings["retries"] = json!({
            "ratio": crate::checks::RETRY_RATIO * part,
            "slack": crate::checks::RETRY_SLACK * part,
        });
        settings["policy"] = json!({ "away_price_ms": 60 + step, "fetch_gain_ms": 60 + step });
        settings["pace"] = json!({ "config_every_ms": 200 + step });
    }
    settings
}

/// Copies a daemon's output to its log file, and reads the caller address from the start event.
fn copy_log(output: ChildStdout, mut log: File, state: &Mutex<ProcessState>, run: u32) {
    for line in BufReader::new(output).lines() {
        let Ok(line) = line else {
            return;
        };
        // A write error such as a full disk also shows in the run's other files.
        let _ = writeln!(log, "{line}");
        let written: Value = serde_json::from_str(&line).unwrap_or_default();
        if written["event"].as_u64() == Some(STARTED_EVENT) {
            let callers = written["message"]
                .as_str()
                .and_then(|text| text.split("callers ").nth(1)?.split(',').next())
                .and_then(|text| text.parse().ok());
            let mut state = state
                .lock()
                .expect("no thread panics while it holds the lock");
            if state.run == run {
                state.callers = callers;
            }
        }
    }
}
