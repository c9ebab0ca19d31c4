//! Shortage reports between VMs of two zones, and calls that stay in their zone.

use crate::support::{
    config_json, good_answer, is_ready, model_headers, post_request, send_request, stream_answer,
    target_entry, vm_settings, wait_for,
};
use hoplanding_core::{
    direct::zone_choice::ZoneChoiceRule,
    ids::{AvailabilityZone, ServiceName},
};
use hoplanding_standins::{
    keyed_log::KeyedLog,
    raw_target::{RawRequest, RawTarget},
};
use hoplandingd::{
    clock,
    direct::{daemon::DirectDaemon, message::VmMessage, settings::DirectSettings},
};
use serde_json::json;

const ZONES: [&str; 2] = ["hall", "yard"];
/// Calls of a plain service at each VM.
const PLAIN_CALLS: usize = 12;

/// A VM, a plain target and an engine in each of two zones.
struct TwoZones {
    vms: Vec<DirectDaemon>,
    ledgers: Vec<RawTarget>,
    _engines: Vec<RawTarget>,
}

impl TwoZones {
    /// Starts VMs that choose zones by reports, or don't.
    async fn start(choose: [bool; 2]) -> Self {
        let log = KeyedLog::start().await.expect("a log");
        let (mut ledgers, mut engines, mut vms) = (Vec::new(), Vec::new(), Vec::new());
        for zone in ZONES {
            let ledger = RawTarget::start(good_answer).await.expect("a target");
            let engine = RawTarget::start(|request: &RawRequest| stream_answer(request, None));
            let engine = engine.await.expect("an engine");
            for (service, address) in [("ledger", ledger.address), ("scribe", engine.address)] {
                let entry = target_entry(service, address, "ready", &["a1@1"]);
                let entry = entry.replace("\"hall\"", &format!("\"{zone}\""));
                log.put("keyed.servers", &format!("{service}-{zone}"), Some(&entry));
            }
            ledgers.push(ledger);
            engines.push(engine);
        }
        log.put("keyed.op", "config", Some(&config_json(1)));
        for (number, zone) in ZONES.into_iter().enumerate() {
            let rule = ZoneChoiceRule {
                traffic_price_ms_per_kb: 0.5,
                max_remote_share: 0.5,
                weighs_engines: true,
            };
            let settings = DirectSettings {
                zone: AvailabilityZone::new(zone),
                zones: ZONES.map(AvailabilityZone::new).to_vec(),
                zone_choice: choose[number].then_some(rule),
                ..vm_settings(&format!("vm-{number}"), &log)
            };
            let vm = DirectDaemon::start(settings).await;
            vms.push(vm.expect("the daemon starts"));
        }
        for vm in &vms {
            wait_for("readiness", async || is_ready(vm).await).await;
            wait_for("holders of both zones", async || {
                let tables = vm.fleet().tables();
                let mut zones = ZONES.iter().map(|zone| AvailabilityZone::new(zone));
                zones.all(|zone| {
                    tables
                        .leases
                        .get(&zone)
                        .is_some_and(|state| state.holder().is_some())
                })
            })
            .await;
        }
        Self {
            vms,
            ledgers,
            _engines: engines,
        }
    }

    /// Makes a VM's gateway ask the holders of both zones, so that it is linked to them.
    async fn link(&self, vm: usize) {
        for (number, adapter) in ["base/a1", "base/a2", "base/a3"].iter().enumerate() {
            let headers = model_headers(adapter);
            let request = post_request("/plan/1", &format!("link-{vm}-{number}"), &headers);
            send_request(self.vms[vm].caller_address, &request).await;
        }
    }

    /// Whether a VM has a report of a zone about the engines.
    fn has_report(&self, vm: usize, zone: &str) -> bool {
        let tables = self.vms[vm].fleet().tables();
        let service = ServiceName::new("scribe");
        let report = tables
            .shortages
            .report(&AvailabilityZone::new(zone), &service, clock::now());
        report.is_some_and(|report| report.shortage.engines == 1)
    }

    /// Runs calls of the plain service at a VM, and returns how many of them ran in each zone.
    async fn run_plain_calls(&self, vm: usize) -> Vec<usize> {
        let runs = || {
            self.ledgers.iter().map(|ledger| {
                let requests = ledger.requests().into_iter();
                requests
                    .filter(|request| request.request_line().starts_with("POST /scan"))
                    .count()
            })
        };
        let before: Vec<_> = runs().collect();
        for number in 0..PLAIN_CALLS {
            let request = post_request("/scan/1", &format!("scan-{vm}-{number}"), "");
            let answer = send_request(self.vms[vm].caller_address, &request).await;
            assert_eq!(answer.status, 200, "call {number} at VM {vm}");
        }
        runs()
            .zip(before)
            .map(|(after, before)| after - before)
            .collect()
    }
}

/// Guards against reports that do not reach the VMs of other zones, and against plain calls that leave the zone of their
/// gateway while its target is idle.
#[tokio::test]
async fn zones_report_to_each_other_and_plain_calls_stay() {
    let fleet = TwoZones::start([true, true]).await;
    for vm in 0..2 {
        wait_for("reports of both zones", async || {
            fleet.link(vm).await;
            ZONES.iter().all(|zone| fleet.has_report(vm, zone))
        })
        .await;
    }
    assert_eq!(fleet.run_plain_calls(0).await, [PLAIN_CALLS, 0]);
    assert_eq!(fleet.run_plain_calls(1).await, [0, PLAIN_CALLS]);
    let page = fleet.vms[1].fleet().metrics.page(fleet.vms[1].fleet());
    assert!(page.contains("hoplanding_zones_skipped_total"), "{page}");
}

/// Guards against reports of VMs whose settings do not enable them, and against calls that fail between VMs that report
/// and VMs that do not.
#[tokio::test]
async fn vms_without_the_section_report_nothing_and_are_asked_as_before() {
    let fleet = TwoZones::start([false, true]).await;
    wait_for("the own report", async || fleet.has_report(1, "yard")).await;
    for vm in 0..2 {
        fleet.link(vm).await;
        let runs = fleet.run_plain_calls(vm).await;
        assert_eq!(runs.iter().sum::<usize>(), PLAIN_CALLS);
    }
    assert!(!fleet.has_report(0, "yard") && !fleet.has_report(1, "hall"));
    assert!(!fleet.has_report(0, "hall"));
}

/// Guards against heartbeats that builds before and after the change can't read from each other.
#[test]
fn heartbeats_without_reports_are_as_before() {
    let text = json!({ "Beat": {
        "contact": null, "ends": [], "sent": 5, "echo": null, "proof": null,
    }});
    let heartbeat: VmMessage = serde_json::from_value(text.clone()).expect("an earlier heartbeat");
    let VmMessage::Heartbeat { shortages, .. } = &heartbeat else {
        panic!("{heartbeat:?}");
    };
    assert!(shortages.is_empty());
    assert_eq!(serde_json::to_value(&heartbeat).expect("a heartbeat"), text);
}
