//! A fleet whose log loses records that no VM read, with callers by two keys.
//!
//! The log refuses every call while it acknowledges the records that it loses, and is restored without them. The target stand-in tells
//! which calls ran.

use crate::{
    keys::{keyed_config, strict_revocation_settings, test_organisation},
    support::{
        good_answer, post_request, process_runtime, read_answer, start_daemon_in, target_entry,
        wait_for,
    },
};
use hoplanding_core::{direct::restore_guard::RewriteRule, ids::StoreEra};
use hoplanding_standins::{keyed_log::KeyedLog, raw_target::RawTarget};
use hoplandingd::direct::{daemon::DirectDaemon, settings::DirectSettings};
use serde_json::json;
use std::{
    collections::HashSet,
    fmt::Write,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};
use tokio::{
    io::AsyncWriteExt,
    net::TcpStream,
    runtime::Runtime,
    task::JoinHandle,
    time::{Instant, sleep},
};

pub const REVOCATION_BOUND: Duration = Duration::from_millis(1_500);
const REVOKED: &str = "k1";
pub const KEPT: &str = "k2";
/// Pause between two calls of a caller.
pub const CALL_INTERVAL: Duration = Duration::from_millis(50);
/// Outage of the log around a loss.
pub const SHORT_OUTAGE: Duration = Duration::from_millis(200);
/// Half of an outage in which every proof expires.
pub const HALF_LONG_OUTAGE: Duration = Duration::from_millis(1_100);

struct SentCall {
    vm: &'static str,
    id: String,
    key: &'static str,
    sent: Instant,
    /// `None` while unanswered; status 0 if the connection failed.
    answer: Option<(u16, bool)>,
}

type SentCalls = Arc<Mutex<Vec<SentCall>>>;

/// A VM in its own process with callers that send by both keys.
pub struct TrialVm {
    pub daemon: DirectDaemon,
    process: Option<Runtime>,
    callers: JoinHandle<()>,
}

impl Drop for TrialVm {
    fn drop(&mut self) {
        self.callers.abort();
        if let Some(process) = self.process.take() {
            process.shutdown_background();
        }
    }
}

pub struct RestoreTrial {
    pub log: KeyedLog,
    target: RawTarget,
    calls: SentCalls,
}

pub fn with_key(version: u64) -> String {
    keyed_config(version, &json!([test_organisation(&[REVOKED, KEPT])]))
}

pub fn without_key(version: u64) -> String {
    keyed_config(version, &json!([test_organisation(&[KEPT])]))
}

pub fn active_version(daemon: &DirectDaemon) -> Option<u64> {
    let active = daemon.fleet().active();
    active.map(|active| active.config.version)
}

pub fn knows_era(daemon: &DirectDaemon, era: u64) -> bool {
    daemon.fleet().tables().store_era == Some(StoreEra(era))
}

/// Status and `Retry-After` of a call; status 0 if the connection failed.
pub async fn call(address: SocketAddr, id: &str, key: &str) -> (u16, Option<f64>) {
    let authorization = format!("Authorization: Bearer {key}\r\n");
    let request = post_request("/scan/1", id, &authorization);
    let Ok(mut stream) = TcpStream::connect(address).await else {
        return (0, None);
    };
    if stream.write_all(request.as_bytes()).await.is_err() {
        return (0, None);
    }
    let answer = read_answer(&mut stream).await;
    let head = answer.head.to_ascii_lowercase();
    let retry_after = head
        .lines()
        .find_map(|line| line.strip_prefix("retry-after: ")?.parse().ok());
    (answer.status, retry_after)
}

async fn send_by_both_keys(vm: &'static str, address: SocketAddr, calls: SentCalls) {
    for number in 0.. {
        for key in [REVOKED, KEPT] {
            let id = format!("{vm}-{}-{key}-{number}", address.port());
            let index = {
                let mut calls = calls.lock().expect("no caller panics");
                calls.push(SentCall {
                    vm,
                    id: id.clone(),
                    key,
                    sent: Instant::now(),
                    answer: None,
                });
                calls.len() - 1
            };
            let (status, retry_after) = call(address, &id, key).await;
            calls.lock().expect("no caller panics")[index].answer =
                Some((status, retry_after.is_some()));
        }
        sleep(CALL_INTERVAL).await;
    }
}

impl RestoreTrial {
    /// A log whose configuration 2 knows both keys, and a target.
    pub async fn start() -> Self {
        let log = KeyedLog::start().await.expect("a log");
        let target = RawTarget::start(good_answer).await.expect("a target");
        let entry = target_entry("ledger", target.address, "ready", &[]);
        log.put("keyed.servers", "i-1", Some(&entry));
        log.put("keyed.op", "config", Some(&with_key(2)));
        let calls = SentCalls::default();
        Self { log, target, calls }
    }

    pub fn settings(&self, vm: &str, rewrite_time: Duration) -> DirectSettings {
        let mut settings = strict_revocation_settings(vm, &self.log);
        settings.recovery = RewriteRule { rewrite_time };
        settings
    }

    fn with_callers(&self, vm: &'static str, daemon: DirectDaemon, process: Runtime) -> TrialVm {
        let calls = Arc::clone(&self.calls);
        let callers = tokio::spawn(send_by_both_keys(vm, daemon.caller_address, calls));
        TrialVm {
            daemon,
            process: Some(process),
            callers,
        }
    }

    /// The first VM of the fleet, ready and holder of its zone's lease.
    pub async fn start_first(&self, rewrite_time: Duration) -> TrialVm {
        let process = process_runtime();
        let daemon = start_daemon_in(&process, self.settings("vm-1", rewrite_time)).await;
        self.with_callers("vm-1", daemon, process)
    }

    /// A VM that starts later, which need not be ready.
    pub async fn start_later(&self, vm: &'static str, mut settings: DirectSettings) -> TrialVm {
        settings.is_first_start = false;
        self.start_with(vm, settings).await
    }

    /// A VM with these settings, which need not be ready.
    pub async fn start_with(&self, vm: &'static str, settings: DirectSettings) -> TrialVm {
        let process = process_runtime();
        let started = process.spawn(DirectDaemon::start(settings)).await;
        let daemon = started.expect("a task").expect("the daemon starts");
        self.with_callers(vm, daemon, process)
    }

    /// The log acknowledges configurations in the middle of an outage and is restored without them. Returns when the last one was
    /// acknowledged.
    pub async fn lose_unread(&self, configs: &[String], half_outage: Duration) -> Instant {
        self.log.set_faults(|faults| faults.is_unavailable = true);
        sleep(half_outage).await;
        for config in configs {
            self.log.put("keyed.op", "config", Some(config));
        }
        let acknowledged = Instant::now();
        sleep(half_outage).await;
        self.log.restore(&[("keyed.op", configs.len())]);
        self.log.set_faults(|faults| faults.is_unavailable = false);
        acknowledged
    }

    pub fn rewrite(&self, config: &str) {
        self.log.put("keyed.op", "config", Some(config));
    }

    /// Waits until the VMs refuse the revoked key for good, and checks that none served it later than the bound.
    pub async fn check(&self, vms: &[&TrialVm], acknowledged: Instant) {
        for vm in vms {
            wait_for("the revocation", async || {
                call(vm.daemon.caller_address, "end", REVOKED).await.0 == 401
            })
            .await;
            vm.callers.abort();
        }
        self.check_calls(acknowledged);
    }

    /// Statuses of the answered calls by the kept key that were sent before a time.
    pub fn kept_statuses(&self, before: Instant) -> Vec<Option<u16>> {
        let calls = self.calls.lock().expect("no caller panics");
        let sent = calls
            .iter()
            .filter(|call| call.key == KEPT && call.sent < before);
        sent.map(|call| call.answer.map(|(status, _)| status))
            .collect()
    }

    fn check_calls(&self, acknowledged: Instant) {
        let seen = self.target.requests();
        let ran: HashSet<&str> = seen
            .iter()
            .filter_map(|request| request.header("hoplanding-request-id"))
            .collect();
        let calls = self.calls.lock().expect("no caller panics");
        let is_late =
            |call: &&SentCall| call.key == REVOKED && call.sent > acknowledged + REVOCATION_BOUND;
        let late: Vec<_> = calls.iter().filter(is_late).collect();
        assert!(!late.is_empty(), "no call was sent after the bound");
        let mut report = String::new();
        for vm in ["vm-1", "vm-2"] {
            let of_vm = late.iter().filter(|call| call.vm == vm);
            let after: Vec<_> = of_vm
                .filter(|call| ran.contains(call.id.as_str()))
                .map(|call| (call.sent - acknowledged).as_secs_f64())
                .collect();
            if let (Some(first), Some(last)) = (after.first(), after.last()) {
                let count = after.len();
                write!(report, "{vm}: {count} late calls ran, sent {first:.2} to {last:.2} s after the acknowledgement; ")
                    .expect("a string grows");
            }
        }
        assert!(
            report.is_empty(),
            "{report}{} late calls in all",
            late.len()
        );
        for call in late {
            let is_refused = call.answer.is_none_or(|(status, has_retry_after)| {
                status == 401 || (status == 503 && has_retry_after)
            });
            assert!(is_refused, "{}: {:?}", call.id, call.answer);
        }
    }
}
