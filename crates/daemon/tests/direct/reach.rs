//! VMs that have lost the path to all targets, while callers, the platform's log and the other VMs still reach them.

use crate::support::{
    Answer, config_json, good_answer, is_ready, model_headers, post_request, send_request,
    stream_answer, target_entry, vm_settings, wait_for,
};
use hoplanding_standins::{
    keyed_log::KeyedLog,
    path_cuts::{PathCuts, PathState},
    raw_target::{RawRequest, RawResponse, RawTarget},
};
use hoplandingd::direct::daemon::DirectDaemon;
use std::{
    net::{IpAddr, Ipv4Addr},
    sync::Arc,
    time::Duration,
};
use tokio::time::sleep;

/// Time from the start of a cut after which callers of the VM have to be served like others.
const DETECTION_TIME: Duration = Duration::from_secs(3);
/// Calls of each kind that each VM gets while its service is judged.
const JUDGED_CALLS: usize = 30;
/// Pause between two calls of the same kind at a VM.
const CALL_INTERVAL: Duration = Duration::from_millis(100);

/// Kinds of calls, by the path of their route.
const CALL_PATHS: [&str; 3] = ["/plan/1", "/lookup/1", "/scan/1"];

/// A zone of three VMs, four plain targets and four engines.
struct CutSite {
    cuts: Arc<PathCuts>,
    vms: Vec<DirectDaemon>,
    targets: Vec<RawTarget>,
    _log: KeyedLog,
}

/// Calls that were answered successfully at each VM, by the index of the path in [`CALL_PATHS`].
type ServedCounts = Vec<[usize; CALL_PATHS.len()]>;

fn vm_address(vm: usize) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, 0, 0, 11 + vm as u8))
}

/// Makes a target close its connection after each answer.
fn closing(mut answer: RawResponse) -> RawResponse {
    answer.closes_connection = true;
    answer.with_header("Connection: close\r\n")
}

impl CutSite {
    async fn start() -> Self {
        Self::start_with(|answer| answer).await
    }

    /// Starts a site whose targets change each of their answers.
    async fn start_with(change: fn(RawResponse) -> RawResponse) -> Self {
        let log = KeyedLog::start().await.expect("a log");
        let cuts = Arc::new(PathCuts::default());
        let mut targets = Vec::new();
        for number in 0..4 {
            let engine = RawTarget::start_behind(&cuts, move |request: &RawRequest| {
                change(stream_answer(request, None))
            });
            let plain = RawTarget::start_behind(&cuts, move |request: &RawRequest| {
                change(good_answer(request))
            });
            for (service, target) in [("scribe", engine.await), ("ledger", plain.await)] {
                let target = target.expect("a target");
                let entry = target_entry(service, target.address, "ready", &["a1@1"]);
                log.put(
                    "keyed.servers",
                    &format!("{service}-{number}"),
                    Some(&entry),
                );
                targets.push(target);
            }
        }
        log.put("keyed.op", "config", Some(&config_json(1)));
        let mut vms = Vec::new();
        for vm in 0..3 {
            let mut settings = vm_settings(&format!("vm-{vm}"), &log);
            settings.target_source_address = Some(vm_address(vm));
            let daemon = DirectDaemon::start(settings).await;
            vms.push(daemon.expect("the daemon starts"));
        }
        wait_for("all VMs ready and known", async || {
            let mut is_complete = true;
            for vm in &vms {
                is_complete &= is_ready(vm).await && vm.fleet().tables().vms.len() == vms.len();
            }
            is_complete
        })
        .await;
        let site = Self {
            cuts,
            vms,
            targets,
            _log: log,
        };
        wait_for("service at all VMs", async || {
            let served = site.send_calls("warm-up", 2).await;
            served.iter().flatten().all(|served| *served == 2)
        })
        .await;
        site
    }

    /// Index of the VM that holds the zone's lease.
    fn holder(&self) -> usize {
        let fleet = self.vms[0].fleet();
        let lease = fleet.lease(&fleet.zone).expect("a lease");
        let is_holder = |vm: &DirectDaemon| Some(&vm.fleet().vm) == lease.vm.as_ref();
        self.vms.iter().position(is_holder).expect("a holder")
    }

    fn cut(&self, vm: usize, state: PathState) {
        self.cuts.set(vm_address(vm), state);
    }

    /// Sends calls of every kind to every VM, and counts those that are served in the first attempt.
    async fn send_calls(&self, name: &str, count: usize) -> ServedCounts {
        let mut sent = Vec::new();
        for number in 0..count {
            for (vm, daemon) in self.vms.iter().enumerate() {
                for (kind, path) in CALL_PATHS.into_iter().enumerate() {
                    let id = format!("{name}-{vm}-{kind}-{number}");
                    let request = post_request(path, &id, &model_headers("a1"));
                    let address = daemon.caller_address;
                    let call = tokio::spawn(async move { send_request(address, &request).await });
                    sent.push((vm, kind, call));
                }
            }
            sleep(CALL_INTERVAL).await;
        }
        let mut served = vec![[0; CALL_PATHS.len()]; self.vms.len()];
        for (vm, kind, call) in sent {
            let answer: Answer = call.await.expect("an answer");
            served[vm][kind] += usize::from(answer.status == 200 && answer.is_whole);
        }
        served
    }

    /// Counts the calls served from [`DETECTION_TIME`] after now on; calls are sent meanwhile, too.
    async fn judge(&self) -> ServedCounts {
        let count = DETECTION_TIME.as_millis() / CALL_INTERVAL.as_millis();
        let calls = self.send_calls("before", count as usize);
        let judged = async {
            sleep(DETECTION_TIME).await;
            self.send_calls("judged", JUDGED_CALLS).await
        };
        tokio::join!(calls, judged).1
    }

    /// Bodies of all orders that engines received.
    fn orders(&self) -> Vec<String> {
        let requests = self.targets.iter().flat_map(RawTarget::requests);
        requests
            .filter(|request| request.request_line().contains("/hoplanding/order"))
            .map(|request| String::from_utf8_lossy(&request.body).into_owned())
            .collect()
    }

    /// Number of calls that targets received.
    fn runs(&self) -> usize {
        let requests = self.targets.iter().flat_map(RawTarget::requests);
        let is_call = |request: &RawRequest| {
            CALL_PATHS
                .iter()
                .any(|path| request.request_line().contains(path))
        };
        requests.filter(is_call).count()
    }

    /// Number of ids that more than one run of a call has, for calls that must not run twice.
    fn repeated_runs(&self) -> usize {
        let requests = self.targets.iter().flat_map(RawTarget::requests);
        let mut ids: Vec<_> = requests
            .filter(|request| !request.request_line().contains("/lookup/"))
            .filter_map(|request| request.header("hoplanding-request-id").map(str::to_owned))
            .collect();
        let total = ids.len();
        ids.sort();
        ids.dedup();
        total - ids.len()
    }
}

/// Cuts VMs off, and checks that all VMs serve nearly all of their callers.
async fn check_service(state: PathState, is_cut: impl Fn(usize, usize) -> bool) {
    check_service_of(CutSite::start().await, state, is_cut).await;
}

async fn check_service_of(site: CutSite, state: PathState, is_cut: impl Fn(usize, usize) -> bool) {
    let holder = site.holder();
    for vm in (0..site.vms.len()).filter(|vm| is_cut(*vm, holder)) {
        site.cut(vm, state);
    }
    let served = site.judge().await;
    for (vm, served) in served.iter().enumerate() {
        for (path, served) in CALL_PATHS.iter().zip(served) {
            assert!(
                *served * 10 >= JUDGED_CALLS * 9,
                "{state:?}, holder {holder}: {served} of {JUDGED_CALLS} calls to {path} served at VM {vm}"
            );
        }
    }
    assert_eq!(site.repeated_runs(), 0);
}

/// A single VM's sends hang, so only another VM can bring its calls to a target.
#[tokio::test]
async fn a_vm_whose_sends_hang_serves_its_callers_and_does_not_make_engines_look_full() {
    check_service(PathState::Hanging, |vm, holder| vm == (holder + 1) % 3).await;
}

/// The holder's reports and orders are cut off together with its calls.
#[tokio::test]
async fn a_holder_whose_sends_hang_serves_its_callers_and_its_zone() {
    check_service(PathState::Hanging, |vm, holder| vm == holder).await;
}

/// Connections are reset, which looks like targets that crash.
#[tokio::test]
async fn a_vm_whose_connections_to_targets_are_reset_serves_its_callers() {
    check_service(PathState::Reset, |vm, holder| vm == (holder + 1) % 3).await;
}

/// New connections fail, and idle ones run out.
#[tokio::test]
async fn a_vm_that_gets_no_new_connections_to_targets_serves_its_callers() {
    check_service(PathState::RefusingNew, |vm, holder| vm == (holder + 1) % 3).await;
}

/// Targets close their connections after each answer, so that no idle one is left.
#[tokio::test]
async fn a_vm_without_idle_connections_that_gets_no_new_ones_serves_its_callers() {
    let site = CutSite::start_with(closing).await;
    let is_cut = |vm, holder| vm == (holder + 1) % 3;
    check_service_of(site, PathState::RefusingNew, is_cut).await;
}

/// One VM of three is left to reach targets for all of them.
#[tokio::test]
async fn the_last_vm_with_a_path_to_targets_serves_the_calls_of_the_others() {
    check_service(PathState::Hanging, |vm, holder| vm != (holder + 1) % 3).await;
}

/// A holder without a path gives no order that arrives, so its zone would load no adapter until the path returns.
#[tokio::test]
async fn a_zone_gets_orders_again_after_its_holder_lost_the_path_to_its_engines() {
    let site = CutSite::start().await;
    let holder = site.holder();
    site.cut(holder, PathState::Hanging);
    let other = (holder + 1) % site.vms.len();
    let name = site.vms[other].fleet().vm.clone();
    wait_for("an order of another holder", async || {
        let request = post_request("/plan/1", "load", &model_headers("a2"));
        drop(send_request(site.vms[other].caller_address, &request).await);
        site.orders()
            .iter()
            .any(|order| !order.contains(&format!("\"vm-{holder}\"")))
    })
    .await;
    assert_ne!(site.holder(), holder, "asked by {name}");
}

/// No VM of the zone could do more with the lease, so it stays where it is, and callers are told when to come back.
#[tokio::test]
async fn calls_are_refused_as_not_run_while_no_vm_reaches_a_target_and_served_after_that() {
    let site = CutSite::start().await;
    let holder = site.holder();
    for vm in 0..site.vms.len() {
        site.cut(vm, PathState::Hanging);
    }
    site.judge().await;
    let runs = site.runs();
    for vm in &site.vms {
        for path in CALL_PATHS {
            let request = post_request(path, "refused", &model_headers("a1"));
            let answer = send_request(vm.caller_address, &request).await;
            assert_eq!(answer.status, 503, "{path}");
            assert!(answer.has_header("retry-after: "), "{}", answer.head);
        }
    }
    assert_eq!(site.holder(), holder);
    assert_eq!(site.runs(), runs);
    site.cuts.open_all();
    wait_for("service at all VMs", async || {
        let served = site.send_calls("after", 2).await;
        served.iter().flatten().all(|served| *served == 2)
    })
    .await;
}
