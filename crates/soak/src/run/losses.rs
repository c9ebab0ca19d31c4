//! Losses of the log: restores from snapshots that lack records, and operators who rewrite configurations.

use super::{MAX_LOST_RECORDS, SoakCluster};
use crate::{
    callers::{CALL_TIMEOUT, SoakCall, send_call},
    history::{CallKind, HistoryEvent},
    organisations::rotated_key,
    schedule::{FaultKind, PlannedFault},
};
use hoplanding_platform::names::{CONFIG_KEY, FLEET_TOPIC, OPERATOR_TOPIC, TARGET_TOPIC};
use serde_json::Value;
use std::{
    ops::Range,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};
use tokio::time::{Instant, sleep, sleep_until};

/// Time for which the log is unavailable before it is restored from a snapshot.
const LOG_OUTAGE: Duration = Duration::from_millis(300);
/// Time after a restore at which operators and targets write lost records again.
const REWRITE_DELAY: Duration = Duration::from_millis(200);
/// Maximum number of configurations that are lost together.
const MAX_LOST_CONFIGS: usize = 3;
/// Time after which every VM has read a configuration.
const CONFIG_READ_TIMEOUT: Duration = Duration::from_secs(2);
/// Minimum time for which VMs can't reach the log before a configuration that is published in an outage.
const MIN_OUTAGE_BEFORE_CONFIG: Duration = Duration::from_secs(2);
/// Time for which the log is unavailable after it has lost configurations.
const LOSS_OUTAGE: Duration = Duration::from_secs(1);
/// Maximum time from the restore to the first rewrite. With the intervals between the rewrites and a second restore, all
/// are written within 10 s.
const MAX_CONFIG_REWRITE_DELAY: Duration = Duration::from_millis(8_500);
/// Time between two rewrites of lost configurations.
const CONFIG_REWRITE_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which each VM gets a call with a key that a lost configuration revoked.
const REVOKED_CALL_INTERVAL: Duration = Duration::from_millis(200);
/// Time for which calls with revoked keys are sent after the rewrite.
const REVOKED_CALLS_AFTER_REWRITE: Duration = Duration::from_secs(2);
/// Interval at which a long outage of the log is recorded, shorter than the time after which VMs count as in contact.
const OUTAGE_RECORD_INTERVAL: Duration = Duration::from_secs(1);

impl SoakCluster {
    /// Takes the log out of service and restores it from a snapshot that lacks up to `lost` records of each topic.
    pub(super) async fn restore_log(&self, lost: usize) {
        self.begin_log_outage();
        sleep(LOG_OUTAGE).await;
        let topics = [OPERATOR_TOPIC, TARGET_TOPIC, FLEET_TOPIC];
        self.drop_records(&topics.map(|topic| (topic, lost)));
        self.end_log_outage();
        sleep(REWRITE_DELAY).await;
        self.rewrite_lost_records();
        self.set_log_faults(|_| {});
    }

    /// Publishes configurations, loses the log and restores it without them. Operators rewrite them later, from the
    /// oldest on. Meanwhile every VM gets calls with the keys that they revoked.
    pub(super) async fn lose_configs(&self, fault: &PlannedFault) {
        let _operators = self.operators.lock().await;
        let count = 1 + fault.index % MAX_LOST_CONFIGS;
        let has_second_restore = fault.index / MAX_LOST_CONFIGS % 4 == 1;
        let loses_more = fault.index / MAX_LOST_CONFIGS % 4 == 2;
        let snapshot = self.log.len(OPERATOR_TOPIC);
        if fault.kind != FaultKind::LoseReadConfig {
            self.begin_log_outage();
        }
        if fault.kind == FaultKind::LoseConfigInOutage {
            self.hold_log_outage(MIN_OUTAGE_BEFORE_CONFIG + fault.duration())
                .await;
        }
        let first_revoked = self.version.load(Ordering::SeqCst);
        for _ in 0..count {
            self.publish_config();
        }
        let calls = self.send_revoked_calls(first_revoked..self.version.load(Ordering::SeqCst));
        let loss = async {
            match fault.kind {
                FaultKind::LoseReadConfig => {
                    sleep(CONFIG_READ_TIMEOUT).await;
                    self.begin_log_outage();
                }
                FaultKind::LoseConfigInOutage => self.hold_log_outage(fault.duration()).await,
                _ => {}
            }
            self.hold_log_outage(LOSS_OUTAGE).await;
            self.restore_snapshot(snapshot, usize::from(loses_more) * MAX_LOST_RECORDS);
            self.end_log_outage();
            sleep(REWRITE_DELAY).await;
            self.rewrite_lost_records();
            let delay = MAX_CONFIG_REWRITE_DELAY.mul_f64(fault.duration_ratio());
            if has_second_restore {
                sleep(delay / 2).await;
                self.begin_log_outage();
                sleep(LOG_OUTAGE).await;
                self.restore_snapshot(snapshot, 0);
                self.end_log_outage();
                sleep((delay / 2).saturating_sub(LOG_OUTAGE)).await;
                self.rewrite_lost_records();
            } else {
                sleep(delay).await;
            }
            while self.rewrite_oldest_lost_config() {
                sleep(CONFIG_REWRITE_INTERVAL).await;
            }
            sleep(REVOKED_CALLS_AFTER_REWRITE).await;
        };
        tokio::select! {
            () = calls => {}
            () = loss => {}
        }
    }

    /// Restores the log from a snapshot with the given number of operator records, and without `lost` records of each
    /// other topic.
    fn restore_snapshot(&self, operator_records: usize, lost: usize) {
        let lost_records = self
            .log
            .len(OPERATOR_TOPIC)
            .saturating_sub(operator_records);
        self.drop_records(&[
            (OPERATOR_TOPIC, lost_records),
            (TARGET_TOPIC, lost),
            (FLEET_TOPIC, lost),
        ]);
    }

    /// Restores the log without the last records of some topics, and records the configurations that it lacks.
    fn drop_records(&self, dropped: &[(&str, usize)]) {
        let configs = self.lock_configs();
        let last_stored = self.stored_config_version();
        self.log.restore(dropped);
        let stored = self.stored_config_version();
        let versions = configs.keys().copied();
        for version in versions.filter(|version| (stored + 1..=last_stored).contains(version)) {
            self.history.record(HistoryEvent::ConfigLost { version });
        }
    }

    /// Rewrites the oldest configuration that is newer than the log's; returns whether there was one.
    fn rewrite_oldest_lost_config(&self) -> bool {
        let configs = self.lock_configs();
        let mut lost = configs.range(self.stored_config_version() + 1..);
        let Some((version, config)) = lost.next() else {
            return false;
        };
        self.put_config(*version, config);
        true
    }

    /// Version of the newest configuration in the log; zero if it has none.
    pub(super) fn stored_config_version(&self) -> u64 {
        let config = self.log.newest(OPERATOR_TOPIC, CONFIG_KEY);
        let config: Option<Value> = config.and_then(|config| serde_json::from_str(&config).ok());
        config
            .and_then(|config| config["version"].as_u64())
            .unwrap_or(0)
    }

    /// Sends calls with the rotated keys of some versions to every VM, until dropped.
    async fn send_revoked_calls(&self, versions: Range<u64>) {
        for version in versions.cycle() {
            for vm in &self.vms {
                let number = self.revoked_calls.fetch_add(1, Ordering::SeqCst);
                let call = SoakCall {
                    id: format!("revoked-{number}"),
                    kind: CallKind::Idempotent,
                    adapter: String::new(),
                    parts: Vec::new(),
                    key: rotated_key(version),
                    deadline: CALL_TIMEOUT,
                    patience: CALL_TIMEOUT,
                    taken_up: None,
                };
                // Calls end by themselves, also after the fault.
                tokio::spawn(send_call(vec![Arc::clone(vm)], call, self.history.clone()));
            }
            sleep(REVOKED_CALL_INTERVAL).await;
        }
    }

    pub(super) fn begin_log_outage(&self) {
        let mut outages = self.lock_log_outages();
        *outages += 1;
        self.set_log_faults(|faults| faults.is_unavailable = true);
    }

    /// Ends an outage; the log stays unavailable while another one lasts.
    pub(super) fn end_log_outage(&self) {
        let mut outages = self.lock_log_outages();
        *outages -= 1;
        let is_unavailable = *outages > 0;
        self.set_log_faults(|faults| faults.is_unavailable = is_unavailable);
    }

    /// Waits in an outage, in which no VM counts as in contact.
    async fn hold_log_outage(&self, duration: Duration) {
        let end = Instant::now() + duration;
        while Instant::now() < end {
            self.history.record(HistoryEvent::LogDisturbed);
            sleep_until(end.min(Instant::now() + OUTAGE_RECORD_INTERVAL)).await;
        }
    }
}
