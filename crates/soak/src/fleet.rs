//! The daemons, as processes of their own; only these are ever signalled, by the ids that they were started with.

use crate::{
    history::{SeenEntry, SharedHistory},
    organisations::{QUOTA_OVER, QUOTA_SLACK, QUOTA_WINDOW, REVOKE},
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
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, ChildStdout, Command, Stdio},
    sync::{Arc, Mutex, MutexGuard},
    thread,
    time::Duration,
};
use tokio::time::sleep;

/// Pause between two looks at whether a process has ended.
const END_LOOK: Duration = Duration::from_millis(50);
/// Number of the event that names a daemon's addresses.
const STARTED: u64 = 100;

/// What is known of a daemon's running process.
#[derive(Debug, Default)]
struct ProcessState {
    child: Option<Child>,
    /// Where it takes callers, once it said so.
    callers: Option<SocketAddr>,
    /// Counts its runs.
    run: u32,
    is_ending: bool,
}

/// One VM: its settings, its link to the log, and its process.
pub struct SoakVm {
    /// Its number.
    pub index: usize,
    /// Its zone.
    pub zone: String,
    /// Its way to the log.
    pub log_link: LinkRelay,
    folder: PathBuf,
    program: PathBuf,
    settings: Value,
    history: SharedHistory,
    state: Arc<Mutex<ProcessState>>,
}

impl SoakVm {
    /// A VM whose daemon is not started yet.
    ///
    /// # Errors
    /// Returns the error of the system when no port or folder can be had.
    pub async fn new(
        index: usize,
        zones: &[String],
        log: SocketAddr,
        program: &Path,
        folder: &Path,
        history: SharedHistory,
    ) -> io::Result<Self> {
        let log_link = LinkRelay::start().await?;
        log_link.set_target(log);
        let zone = zones[index % zones.len()].clone();
        let settings = json!({
            "mode": "direct",
            "vm": format!("vm-{index}"),
            "zone": zone,
            "cores": if index < zones.len() { 0.5 } else { 0.25 },
            "caller_address": "127.0.0.1:0",
            "ready_address": "127.0.0.1:0",
            "peer_address": "127.0.0.1:0",
            "platform_address": log_link.address.to_string(),
            "zones": zones,
            "retries": { "ratio": crate::checks::REPEAT_RATIO, "slack": crate::checks::REPEAT_SLACK as u64 },
            "revocation": { "strict": true, "bound_ms": REVOKE.as_millis() as u64 },
            "quotas": { "window_s": QUOTA_WINDOW.as_secs(), "over": QUOTA_OVER, "slack": QUOTA_SLACK },
            "orders_fenced": true,
            "log": { "level": "debug" },
        });
        let vm = Self {
            index,
            zone,
            log_link,
            folder: folder.to_owned(),
            program: program.to_owned(),
            settings,
            history,
            state: Arc::default(),
        };
        vm.write_settings(&vm.settings)?;
        Ok(vm)
    }

    /// Writes its settings file, which a daemon that starts meanwhile reads whole: as it was or as it is.
    fn write_settings(&self, settings: &Value) -> io::Result<()> {
        let written = self.folder.join(format!("vm-{}.new", self.index));
        fs::write(&written, settings.to_string())?;
        fs::rename(written, self.settings_path())
    }

    fn settings_path(&self) -> PathBuf {
        self.folder.join(format!("vm-{}.json", self.index))
    }

    /// Changes its settings file and tells its process, once that has said where it takes callers: before, it would be
    /// ended by the signal. Step 0 stands for the first settings, every other one for settings of its own.
    ///
    /// # Errors
    /// Returns the error of the system when the file can't be written.
    pub fn reload(&self, step: usize) -> io::Result<()> {
        self.write_settings(&changed_settings(&self.settings, step))?;
        if self.callers().is_some() {
            self.history.add(SeenEntry::Reloaded { vm: self.index });
            self.signal(Signal::SIGHUP);
        }
        Ok(())
    }

    /// Starts its daemon if none runs; its lines go to the folder of the run. Faults overlap, so that is looked at and done
    /// under one lock: of two daemons one would be left behind.
    ///
    /// # Errors
    /// Returns the error of the system when the program can't be started.
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
            thread::spawn(move || keep_lines(output, log, &state, run));
        }
        Ok(())
    }

    /// Where its daemon takes callers, and the run of its process, while it may be asked.
    #[must_use]
    pub fn callers(&self) -> Option<(SocketAddr, u32)> {
        let state = self.lock();
        let callers = state.callers.filter(|_| !state.is_ending)?;
        Some((callers, state.run))
    }

    /// Sends a signal to its process, if it runs.
    pub fn signal(&self, signal: Signal) {
        let state = self.lock();
        if let Some(child) = &state.child
            && let Ok(id) = i32::try_from(child.id())
        {
            // A process that has just ended needs no signal.
            let _ = kill(Pid::from_raw(id), signal);
        }
    }

    /// Writes down that something struck it.
    pub fn note_strike(&self, is_planned: bool) {
        self.history.add(SeenEntry::Struck {
            vm: self.index,
            is_planned,
        });
    }

    /// Kills its process, and waits for its end.
    pub async fn kill(&self) {
        self.note_strike(false);
        self.lock().is_ending = true;
        self.signal(Signal::SIGKILL);
        self.ended().await;
    }

    /// Stops its process as planned, and waits for its end.
    pub async fn stop(&self) {
        self.note_strike(true);
        // The balancer hears that it leaves, and sends nobody any more.
        self.lock().is_ending = true;
        self.signal(Signal::SIGTERM);
        self.ended().await;
        self.note_strike(true);
    }

    async fn ended(&self) {
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
            sleep(END_LOOK).await;
        }
    }

    /// Makes its way to the log as told.
    pub fn set_log_link(&self, link: LinkState) {
        self.note_strike(false);
        self.log_link.set_state(link);
    }

    fn lock(&self) -> MutexGuard<'_, ProcessState> {
        self.state.lock().expect("no holder of the lock panics")
    }
}

impl Drop for SoakVm {
    fn drop(&mut self) {
        if let Some(mut child) = self.lock().child.take() {
            // Whatever it was doing: nothing that was started here stays behind.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Settings that take in what may change in a running process, and a pause that waits for its restart. The budget for repeats
/// only shrinks, so that what is checked holds for them all.
fn changed_settings(first: &Value, step: usize) -> Value {
    let mut settings = first.clone();
    if step > 0 {
        let part = 1.0 / (1 + step) as f64;
        settings["retries"] = json!({
            "ratio": crate::checks::REPEAT_RATIO * part,
            "slack": crate::checks::REPEAT_SLACK * part,
        });
        settings["policy"] = json!({ "away_price_ms": 60 + step, "fetch_gain_ms": 60 + step });
        settings["pace"] = json!({ "config_every_ms": 200 + step });
    }
    settings
}

/// Copies a daemon's lines to its log, and takes its address from the first.
fn keep_lines(output: ChildStdout, mut log: File, state: &Mutex<ProcessState>, run: u32) {
    for line in BufReader::new(output).lines() {
        let Ok(line) = line else {
            return;
        };
        // A full disk shows in the run's other files.
        let _ = writeln!(log, "{line}");
        let written: Value = serde_json::from_str(&line).unwrap_or_default();
        if written["event"].as_u64() == Some(STARTED) {
            let callers = written["message"]
                .as_str()
                .and_then(|text| text.split("callers ").nth(1)?.split(',').next())
                .and_then(|text| text.parse().ok());
            let mut state = state.lock().expect("no holder of the lock panics");
            if state.run == run {
                state.callers = callers;
            }
        }
    }
}
