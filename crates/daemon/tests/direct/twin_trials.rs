//! Fleet of one VM and two targets whose log loses a record that no VM read, with callers of several routes.

use crate::{
    keys::strict_revocation_settings,
    restore_trials::{CALL_INTERVAL, SHORT_OUTAGE, knows_era},
    support::{
        good_answer, post_request, process_runtime, send_request, start_daemon_in, target_entry,
        wait_for,
    },
};
use hoplanding_core::direct::restore_guard::RewriteRule;
use hoplanding_standins::{
    keyed_log::KeyedLog,
    raw_target::{RawRequest, RawTarget},
};
use hoplandingd::direct::daemon::DirectDaemon;
use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};
use tokio::{
    runtime::Runtime,
    task::JoinHandle,
    time::{Instant, sleep, sleep_until},
};

pub const OPERATORS: &str = "keyed.op";
pub const TARGETS: &str = "keyed.servers";
pub const REWRITE_TIME: Duration = Duration::from_secs(5);
/// Time after the loss at which the record is written again, longer than the revocation bound.
pub const LATE_WRITE: Duration = Duration::from_millis(3_500);
/// Time within which an acknowledged record is in force, by `config_apply_ms` and `drain_ms`.
pub const MAX_APPLY_TIME: Duration = Duration::from_secs(2);

struct SentCall {
    id: String,
    sent: Instant,
    status: u16,
}

/// A caller that sends one call after another to one VM.
pub struct Caller {
    calls: Arc<Mutex<Vec<SentCall>>>,
    task: JoinHandle<()>,
}

impl Drop for Caller {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Caller {
    pub fn start(address: SocketAddr, name: &str, path: &str, headers: &str) -> Self {
        let calls = Arc::default();
        let sent_calls: Arc<Mutex<Vec<SentCall>>> = Arc::clone(&calls);
        let (name, path, headers) = (name.to_owned(), path.to_owned(), headers.to_owned());
        let task = tokio::spawn(async move {
            for number in 0.. {
                let id = format!("{name}-{number}");
                let request = post_request(&path, &id, &headers);
                let sent = Instant::now();
                let status = send_request(address, &request).await.status;
                let call = SentCall { id, sent, status };
                sent_calls.lock().expect("no caller panics").push(call);
                sleep(CALL_INTERVAL).await;
            }
        });
        Self { calls, task }
    }

    pub fn with_key(address: SocketAddr, key: &str, path: &str) -> Self {
        Self::start(
            address,
            key,
            path,
            &format!("Authorization: Bearer {key}\r\n"),
        )
    }

    /// Calls that were sent between two times and that a target ran, with what it received.
    pub fn ran<'a>(
        &self,
        received: &'a HashMap<String, RawRequest>,
        from: Instant,
        until: Instant,
    ) -> Vec<(Instant, &'a RawRequest)> {
        let calls = self.calls.lock().expect("no caller panics");
        calls
            .iter()
            .filter(|call| call.sent >= from && call.sent < until)
            .filter_map(|call| Some((call.sent, received.get(&call.id)?)))
            .collect()
    }

    pub fn statuses(&self, from: Instant, until: Instant) -> Vec<u16> {
        let calls = self.calls.lock().expect("no caller panics");
        calls
            .iter()
            .filter(|call| call.sent >= from && call.sent < until)
            .map(|call| call.status)
            .collect()
    }
}

/// A VM with a target of the service `ledger` and one of the service `archive`.
pub struct TwinTrial {
    pub log: KeyedLog,
    pub ledger: RawTarget,
    pub archive: RawTarget,
    pub vm: DirectDaemon,
    pub process: Option<Runtime>,
}

impl Drop for TwinTrial {
    fn drop(&mut self) {
        if let Some(process) = self.process.take() {
            process.shutdown_background();
        }
    }
}

impl TwinTrial {
    pub async fn start(config: &str) -> Self {
        let log = KeyedLog::start().await.expect("a log");
        let ledger = RawTarget::start(good_answer).await.expect("a target");
        let archive = RawTarget::start(good_answer).await.expect("a target");
        for (name, service, target) in [("i-1", "ledger", &ledger), ("i-2", "archive", &archive)] {
            let entry = target_entry(service, target.address, "ready", &[]);
            log.put(TARGETS, name, Some(&entry));
        }
        log.put(OPERATORS, "config", Some(config));
        let mut settings = strict_revocation_settings("vm-1", &log);
        settings.recovery = RewriteRule {
            rewrite_time: REWRITE_TIME,
        };
        let process = process_runtime();
        let vm = start_daemon_in(&process, settings).await;
        Self {
            log,
            ledger,
            archive,
            vm,
            process: Some(process),
        }
    }

    /// The log acknowledges a record that it loses before any VM reads it. Returns the times of the acknowledgement and of the
    /// restoration.
    pub async fn lose_unread(
        &self,
        topic: &str,
        key: &str,
        value: Option<&str>,
    ) -> (Instant, Instant) {
        self.log.set_faults(|faults| faults.is_unavailable = true);
        sleep(SHORT_OUTAGE).await;
        self.log.put(topic, key, value);
        let acknowledged = Instant::now();
        sleep(SHORT_OUTAGE).await;
        self.log.restore(&[(topic, 1)]);
        self.log.set_faults(|faults| faults.is_unavailable = false);
        (acknowledged, Instant::now())
    }

    pub async fn wait_for_end_of_guard(&self, restored: Instant) {
        wait_for("the new era", async || knows_era(&self.vm, 2)).await;
        sleep_until(restored + REWRITE_TIME).await;
        wait_for("a proof after the guard", async || {
            self.vm.fleet().may_trust_keys()
        })
        .await;
    }

    pub fn received(&self) -> HashMap<String, RawRequest> {
        let requests = self.ledger.requests().into_iter();
        requests
            .chain(self.archive.requests())
            .filter_map(|request| {
                let id = request.header("hoplanding-request-id")?.to_owned();
                Some((id, request))
            })
            .collect()
    }
}
