//! Claimants that the log does not answer, with and without the loss of their claim, and the VMs that order engines meanwhile.

use crate::{
    engine_simulator::EngineSimulator,
    support::{
        config_json, model_headers, post_request, process_runtime, send_request, target_entry,
        vm_settings, wait_for,
    },
};
use hoplanding_core::ids::{LogOffset, LogPosition, StoreEra};
use hoplanding_standins::{
    keyed_log::KeyedLog,
    raw_target::RawTarget,
    relay::{LinkRelay, LinkState},
};
use hoplandingd::{
    clock,
    direct::{
        daemon::DirectDaemon,
        fleet::FleetState,
        message::{FeedTopic, ForwardedRecord},
        settings::DirectSettings,
    },
};
use serde_json::{Value, json};
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::{
    net::TcpListener,
    runtime::Runtime,
    task::JoinHandle,
    time::{sleep, timeout},
};

const FLEET: &str = "keyed.fleet";
const HANDOVER_DELAY: Duration = Duration::from_secs(1);
const CALL_INTERVAL: Duration = Duration::from_millis(50);

/// A zone with one engine. The lease in its log is of an earlier era, so that claimants wait before their first order.
struct ClaimTrial {
    log: KeyedLog,
    simulator: Arc<EngineSimulator>,
    _engine: RawTarget,
}

/// A VM in a runtime of its own, with its own relay to the log, and callers of adapters that no engine has.
struct TrialVm {
    daemon: DirectDaemon,
    log_relay: LinkRelay,
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

/// A claim of a VM whose process has ended: its address refuses connections.
fn lease_record(vm: &str, era: u64) -> String {
    lease_record_at("127.0.0.1:9", vm, era)
}

fn lease_record_at(address: &str, vm: &str, era: u64) -> String {
    json!({ "vm": vm, "incarnation": 9, "address": address, "era": era }).to_string()
}

fn start_callers(address: SocketAddr, vm: &'static str) -> JoinHandle<()> {
    tokio::spawn(async move {
        for number in 0.. {
            let headers = model_headers(&format!("{vm}-x{number}"));
            let request = post_request("/plan/1", &format!("{vm}-{number}"), &headers);
            // The tests do not depend on whether the call is served.
            let _ = timeout(CALL_INTERVAL * 4, send_request(address, &request)).await;
            sleep(CALL_INTERVAL).await;
        }
    })
}

impl ClaimTrial {
    async fn start() -> Self {
        let trial = Self::start_without_lease().await;
        let lease = lease_record("vm-8", 1);
        trial.log.put(FLEET, "zone/hall", Some(&lease));
        trial.log.restore(&[]);
        trial
    }

    /// A zone that nobody has claimed.
    async fn start_without_lease() -> Self {
        let log = KeyedLog::start().await.expect("a log");
        let simulator = EngineSimulator::new(1);
        let engine = simulator.start_engine("e-1", 1, &[("a1", 1)]).await;
        log.put("keyed.op", "config", Some(&config_json(1)));
        let entry = target_entry("scribe", engine.address, "ready", &["a1@1"]);
        log.put("keyed.servers", "e-1", Some(&entry));
        Self {
            log,
            simulator,
            _engine: engine,
        }
    }

    async fn start_vm(&self, vm: &'static str) -> TrialVm {
        self.start_vm_with(vm, |_| {}).await
    }

    async fn start_vm_with(
        &self,
        vm: &'static str,
        change: impl FnOnce(&mut DirectSettings),
    ) -> TrialVm {
        let log_relay = LinkRelay::start().await.expect("a relay");
        log_relay.set_target(self.log.address());
        let mut settings = vm_settings(vm, &self.log);
        settings.platform_address = log_relay.address;
        settings.leases.handover_delay = HANDOVER_DELAY;
        settings.has_order_fencing = true;
        change(&mut settings);
        let process = process_runtime();
        let started = process.spawn(DirectDaemon::start(settings));
        let daemon = started.await.expect("a task").expect("the daemon starts");
        let callers = start_callers(daemon.caller_address, vm);
        TrialVm {
            daemon,
            log_relay,
            process: Some(process),
            callers,
        }
    }

    /// Starts a VM that claims the zone.
    async fn start_claimant(&self, vm: &'static str) -> TrialVm {
        let claimant = self.start_vm(vm).await;
        self.wait_for_claim(vm).await;
        claimant
    }

    async fn wait_for_claim(&self, vm: &str) {
        wait_for("the claim", async || {
            let lease = self.log.newest(FLEET, "zone/hall");
            lease.is_some_and(|lease| lease.contains(vm))
        })
        .await;
    }

    /// Restores the log from a copy with this many records of the fleet topic.
    fn restore_with(&self, kept: usize) {
        let dropped = self.log.len(FLEET) - kept;
        self.log.restore(&[(FLEET, dropped)]);
    }

    fn has_orders_of(&self, vm: &str) -> bool {
        let holders = self.simulator.order_holders();
        holders.iter().any(|holder| holder == vm)
    }

    async fn wait_for_orders_of(&self, vm: &str) {
        wait_for("orders", async || self.has_orders_of(vm)).await;
    }
}

impl TrialVm {
    fn knows_holder(&self, vm: &str) -> bool {
        let lease = self.daemon.fleet().lease(&self.daemon.fleet().zone);
        lease
            .and_then(|lease| lease.vm)
            .is_some_and(|holder| holder.as_str() == vm)
    }
}

/// Guards against orders by a lost claim beside a second VM that claimed the zone in the restored log, however the first one lost
/// its way to the log.
#[tokio::test]
async fn only_the_vm_that_claims_in_the_restored_log_issues_orders() {
    for lost_way in [LinkState::Cut, LinkState::Frozen] {
        let trial = ClaimTrial::start().await;
        let first = trial.start_claimant("vm-1").await;
        first.log_relay.set_state(lost_way);
        trial.restore_with(1);
        let _second = trial.start_claimant("vm-2").await;
        trial.wait_for_orders_of("vm-2").await;
        sleep(HANDOVER_DELAY * 3).await;
        assert!(!trial.has_orders_of("vm-1"), "{lost_way:?}");
    }
}

/// Guards against orders by a claim that two restores in a row lack, and after the way to the log is back.
#[tokio::test]
async fn claimant_whose_way_to_the_twice_restored_log_returns_issues_no_orders() {
    let trial = ClaimTrial::start().await;
    // A suspended holder accepts connections, so that it is not replaced at once.
    let suspended_holder = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = suspended_holder
        .local_addr()
        .expect("an address")
        .to_string();
    let claimant = trial.start_claimant("vm-1").await;
    claimant.log_relay.set_state(LinkState::Cut);
    trial.restore_with(1);
    trial.log.put(
        FLEET,
        "zone/hall",
        Some(&lease_record_at(&address, "vm-9", 3)),
    );
    sleep(HANDOVER_DELAY).await;
    trial.restore_with(1);
    trial.log.put(
        FLEET,
        "zone/hall",
        Some(&lease_record_at(&address, "vm-9", 4)),
    );
    sleep(HANDOVER_DELAY * 2).await;
    claimant.log_relay.set_state(LinkState::Open);
    wait_for("the newer lease", async || claimant.knows_holder("vm-9")).await;
    assert!(!trial.has_orders_of("vm-1"));
}

/// Guards against a zone without orders while the log is out of reach of its claimant alone.
#[tokio::test]
async fn read_of_a_linked_vm_lets_a_claimant_without_the_log_issue_orders() {
    let trial = ClaimTrial::start().await;
    let claimant = trial.start_claimant("vm-1").await;
    claimant.log_relay.set_state(LinkState::Frozen);
    let second = trial.start_vm("vm-2").await;
    wait_for("the lease at the second VM", async || {
        second.knows_holder("vm-1")
    })
    .await;
    trial.wait_for_orders_of("vm-1").await;
    assert!(!trial.has_orders_of("vm-2"));
}

/// Guards against a claim that stays unproven after an outage of the log for all VMs, and against orders during the outage.
#[tokio::test]
async fn claimant_issues_orders_only_after_an_outage_that_began_in_its_wait() {
    let trial = ClaimTrial::start().await;
    let _claimant = trial.start_claimant("vm-1").await;
    trial.log.set_faults(|faults| faults.is_unavailable = true);
    sleep(HANDOVER_DELAY * 4).await;
    assert!(!trial.has_orders_of("vm-1"));
    trial.log.set_faults(|faults| faults.is_unavailable = false);
    trial.wait_for_orders_of("vm-1").await;
}

/// Guards against a read of an earlier era that a VM reports as proof of a claim, although it knows that the log was restored since.
#[tokio::test]
async fn read_before_a_restore_is_not_reported_as_proof() {
    let log = KeyedLog::start().await.expect("a log");
    let fleet = FleetState::new(&vm_settings("vm-2", &log), 1);
    let position = |offset| LogPosition::in_era(StoreEra(2), LogOffset(offset));
    fleet.observe_era(StoreEra(2));
    fleet.apply_forwarded(vec![ForwardedRecord {
        topic: FeedTopic::Fleet,
        key: "zone/hall".to_owned(),
        value: Some(lease_record("vm-1", 2).into()),
        position: position(0),
    }]);
    fleet.record_lease_read(clock::now(), position(1));
    assert!(fleet.lease_read(&fleet.zone).is_some());
    fleet.observe_era(StoreEra(3));
    assert_eq!(fleet.lease_read(&fleet.zone), None);
}

/// Guards against orders of the first claimant in a restored log that lacks every claim of the zone, while the holder has not read it
/// yet.
#[tokio::test]
async fn claimant_of_a_zone_without_records_waits_in_a_restored_log() {
    let trial = ClaimTrial::start_without_lease().await;
    let holder = trial.start_claimant("vm-1").await;
    holder.log_relay.set_state(LinkState::Frozen);
    trial.restore_with(0);
    let _claimant = trial.start_claimant("vm-2").await;
    let claim = trial.log.newest(FLEET, "zone/hall").expect("a claim");
    let claim: Value = serde_json::from_str(&claim).expect("a claim");
    assert!(claim["waits_since_ms"].is_u64(), "{claim}");
}

/// Guards against orders of a holder whose release was recorded without an answer, after another VM claimed the zone.
#[tokio::test]
async fn holder_whose_release_was_not_answered_issues_no_orders_beside_a_new_holder() {
    let trial = ClaimTrial::start_without_lease().await;
    let holder = trial.start_claimant("vm-1").await;
    trial.wait_for_orders_of("vm-1").await;
    trial.log.set_faults(|faults| {
        faults.delayed_key = Some(("zone/hall".to_owned(), Duration::from_millis(300)));
    });
    let appends = trial.log.appends("zone/hall");
    let stronger = trial
        .start_vm_with("vm-2", |settings| settings.cpu_millicores *= 2)
        .await;
    wait_for("the release", async || {
        trial.log.appends("zone/hall") > appends
    })
    .await;
    holder.log_relay.set_state(LinkState::Frozen);
    drop(stronger);
    wait_for("the recorded release", async || {
        let lease = trial.log.newest(FLEET, "zone/hall");
        lease.is_some_and(|lease| !lease.contains("vm-1"))
    })
    .await;
    trial
        .log
        .put(FLEET, "zone/hall", Some(&lease_record("vm-9", 1)));
    let before = trial.simulator.order_holders().len();
    sleep(HANDOVER_DELAY * 5).await;
    assert_eq!(trial.simulator.order_holders().len(), before);
}
