//! Poison requests: requests that crash every target that runs them, and that their callers retry.
//!
//! A request under which a target crashed is a suspect, and runs again only as a trial. After a second crash it is quarantined. Both
//! must survive kills of holders and of all VMs, and restores of the platform's log.

use crate::support::{
    config_json, good_answer, is_ready, model_headers, post_request, process_runtime, send_request,
    start_daemon_in, start_daemon_with, stream_answer, target_entry, vm_settings, wait_for,
};
use hoplanding_core::{
    direct::suspects::{RequestFingerprint, TargetCrash},
    ids::{AvailabilityZone, TargetLife, TargetName, TargetRun},
};
use hoplanding_standins::{
    keyed_log::KeyedLog,
    raw_target::{RawRequest, RawTarget},
};
use hoplandingd::{
    clock,
    direct::{
        daemon::DirectDaemon,
        fleet::{SUSPECT_KEY_PREFIX, suspect_key},
        message::FeedTopic,
        settings::DirectSettings,
    },
};
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};
use tokio::{runtime::Runtime, time::sleep};

pub const ZONES: [&str; 2] = ["hall", "yard"];

fn is_poison(request: &RawRequest) -> bool {
    request.body == b"kill"
}

fn poison(path: &str, id: &str) -> String {
    post_request(path, id, &model_headers("a1")).replace("\r\n\r\nbody", "\r\n\r\nkill")
}

/// Engines that pause before each event, and that crash under requests for which `is_deadly` is true.
pub async fn mortal_engines(
    count: usize,
    pause: Duration,
    is_deadly: impl Fn(&RawRequest) -> bool + Clone + Send + Sync + 'static,
) -> Vec<RawTarget> {
    let mut engines = Vec::new();
    for _ in 0..count {
        let answer = move |request: &RawRequest| {
            let mut answer = stream_answer(request, None);
            for (before, _) in answer.pieces.iter_mut().skip(1) {
                *before = pause;
            }
            answer
        };
        let engine = RawTarget::start_crashable(answer, is_deadly.clone()).await;
        engines.push(engine.expect("an engine"));
    }
    engines
}

pub fn listed<'a>(
    names: &[&'a str],
    service: &'a str,
    targets: &[RawTarget],
) -> Vec<(&'a str, &'a str, SocketAddr)> {
    names
        .iter()
        .zip(targets)
        .map(|(name, target)| (*name, service, target.address))
        .collect()
}

/// Writes entries for five engines, and a configuration, to the log.
fn list_engines(log: &KeyedLog, engines: &[RawTarget]) {
    let names = ["e-1", "e-2", "e-3", "e-4", "e-5"];
    for (name, service, address) in listed(&names, "scribe", engines) {
        let entry = target_entry(service, address, "ready", &["a1@1"]);
        log.put("keyed.servers", name, Some(&entry));
    }
    log.put("keyed.op", "config", Some(&config_json(1)));
}

/// Number of poison requests that reached targets, each of which crashed its target.
fn poison_arrivals(targets: &[RawTarget]) -> usize {
    let seen = targets.iter().flat_map(RawTarget::requests);
    seen.filter(is_poison).count()
}

async fn wait_for_stream(daemon: &DirectDaemon) {
    wait_for("a stream", async || {
        let request = post_request("/plan/1", "r0", &model_headers("a1"));
        send_request(daemon.caller_address, &request).await.status == 200
    })
    .await;
}

/// The request crashes every target that runs it. It may cost two targets before it is quarantined.
#[tokio::test]
async fn a_poison_request_reaches_two_targets_of_a_plain_service() {
    let log = KeyedLog::start().await.expect("a log");
    let mut targets = Vec::new();
    for _ in 0..4 {
        let target = RawTarget::start_crashable(good_answer, is_poison).await;
        targets.push(target.expect("a target"));
    }
    let names = ["l-1", "l-2", "l-3", "l-4"];
    let daemon = start_daemon_with(
        vm_settings("vm-1", &log),
        &log,
        &listed(&names, "ledger", &targets),
    )
    .await;
    for number in 0..8 {
        let id = format!("d{number}");
        send_request(daemon.caller_address, &poison("/scan/1", &id)).await;
    }
    assert_eq!(poison_arrivals(&targets), 2);
    let harmless = send_request(daemon.caller_address, &post_request("/scan/1", "r1", "")).await;
    assert_eq!(harmless.status, 200);
}

/// The quarantine must be restored from the records in the platform's log.
#[tokio::test]
async fn a_poison_request_stays_quarantined_after_a_restart_of_all_vms() {
    let log = KeyedLog::start().await.expect("a log");
    let engines = mortal_engines(5, Duration::from_millis(5), is_poison).await;
    list_engines(&log, &engines);
    let first_life = process_runtime();
    let daemon = start_daemon_in(&first_life, vm_settings("vm-1", &log)).await;
    wait_for_stream(&daemon).await;
    for number in 0..4 {
        let request = poison("/plan/1", &format!("d{number}"));
        send_request(daemon.caller_address, &request).await;
    }
    assert_eq!(poison_arrivals(&engines), 2);
    sleep(Duration::from_millis(200)).await;
    first_life.shutdown_background();

    let second_life = process_runtime();
    let mut settings = vm_settings("vm-1", &log);
    settings.is_first_start = false;
    let daemon = start_daemon_in(&second_life, settings).await;
    wait_for_stream(&daemon).await;
    for number in 0..4 {
        let request = poison("/plan/1", &format!("e{number}"));
        send_request(daemon.caller_address, &request).await;
    }
    assert_eq!(poison_arrivals(&engines), 2);
    second_life.shutdown_background();
}

/// Starts one VM in each of two zones, each the holder of its zone.
pub async fn start_two_zones(
    log: &KeyedLog,
    targets: &[(&str, &str, SocketAddr)],
    adjust: impl Fn(&mut DirectSettings),
) -> Vec<DirectDaemon> {
    for (number, (name, service, address)) in targets.iter().enumerate() {
        let zone = format!("\"{}\"", ZONES[number % ZONES.len()]);
        let entry = target_entry(service, *address, "ready", &["a1@1"]).replace("\"hall\"", &zone);
        log.put("keyed.servers", name, Some(&entry));
    }
    log.put("keyed.op", "config", Some(&config_json(1)));
    let mut daemons = Vec::new();
    for (vm, zone) in ["vm-1", "vm-2"].iter().zip(ZONES) {
        let mut settings = vm_settings(vm, log);
        settings.zone = AvailabilityZone::new(zone);
        settings.zones = ZONES
            .iter()
            .map(|zone| AvailabilityZone::new(zone))
            .collect();
        adjust(&mut settings);
        let daemon = DirectDaemon::start(settings).await;
        daemons.push(daemon.expect("the daemon starts"));
    }
    for daemon in &daemons {
        wait_for("readiness and holders", async || {
            let zones = ZONES.map(AvailabilityZone::new);
            let are_held = zones
                .iter()
                .all(|zone| daemon.fleet().lease(zone).is_some());
            are_held && is_ready(daemon).await
        })
        .await;
        wait_for_stream(daemon).await;
    }
    daemons
}

/// Callers at VMs of both zones retry a suspect at once; only one trial of it may run.
#[tokio::test]
async fn a_suspect_runs_once_at_a_time_in_the_whole_fleet() {
    const NAMES: [&str; 6] = ["e-1", "e-2", "e-3", "e-4", "e-5", "e-6"];
    let log = KeyedLog::start().await.expect("a log");
    let is_suspect = |request: &RawRequest| request.request_line().contains("/plan/suspect");
    // The first target crashes; the later ones run the request without harm.
    let has_crashed = Arc::new(AtomicBool::new(false));
    let ends_once = move |request: &RawRequest| {
        is_suspect(request) && !has_crashed.swap(true, Ordering::SeqCst)
    };
    let engines = mortal_engines(NAMES.len(), Duration::from_millis(150), ends_once).await;
    let daemons = start_two_zones(&log, &listed(&NAMES, "scribe", &engines), |_| {}).await;
    let runs = || {
        let seen = engines.iter().flat_map(RawTarget::requests);
        seen.filter(is_suspect).count()
    };
    let ask_for = |daemon: &DirectDaemon, id: &str| {
        let address = daemon.caller_address;
        // A base model has the VM's own zone as its home zone, so both zones are asked.
        let request = post_request("/plan/suspect", id, "Hoplanding-Model: base\r\n");
        tokio::spawn(async move { send_request(address, &request).await })
    };
    let first = ask_for(&daemons[0], "s0").await.expect("an answer");
    assert_ne!(first.status, 200);
    let before = runs();
    let again: Vec<_> = (0..6)
        .map(|number| ask_for(&daemons[number % 2], &format!("c{number}")))
        .collect();
    sleep(Duration::from_millis(300)).await;
    assert_eq!(runs() - before, 1);
    for answer in again {
        answer.await.expect("an answer");
    }
}

/// Many callers retry a poison request at all VMs as soon as its quarantine ends.
#[tokio::test]
async fn callers_that_return_after_a_quarantine_cause_one_trial() {
    const NAMES: [&str; 6] = ["e-1", "e-2", "e-3", "e-4", "e-5", "e-6"];
    const PAUSE: Duration = Duration::from_millis(1_500);
    let log = KeyedLog::start().await.expect("a log");
    let engines = mortal_engines(NAMES.len(), Duration::from_millis(5), is_poison).await;
    let daemons = start_two_zones(&log, &listed(&NAMES, "scribe", &engines), |settings| {
        settings.trials.pause = PAUSE;
    })
    .await;
    let repeat_at_once = async |round: usize| {
        let asked: Vec<_> = (0..12)
            .map(|number| {
                let address = daemons[number % 2].caller_address;
                let id = format!("h{round}-{number}");
                let request = post_request("/plan/1", &id, "Hoplanding-Model: base\r\n")
                    .replace("\r\n\r\nbody", "\r\n\r\nkill");
                tokio::spawn(async move { send_request(address, &request).await.status })
            })
            .collect();
        for answer in asked {
            answer.await.expect("an answer");
        }
    };
    for (number, daemon) in daemons.iter().enumerate() {
        let request = post_request(
            "/plan/1",
            &format!("d{number}"),
            "Hoplanding-Model: base\r\n",
        );
        let request = request.replace("\r\n\r\nbody", "\r\n\r\nkill");
        send_request(daemon.caller_address, &request).await;
    }
    assert_eq!(poison_arrivals(&engines), 2);
    repeat_at_once(0).await;
    assert_eq!(poison_arrivals(&engines), 2);
    sleep(PAUSE + Duration::from_millis(100)).await;
    repeat_at_once(1).await;
    assert_eq!(poison_arrivals(&engines), 3);
    sleep(PAUSE + Duration::from_millis(100)).await;
    repeat_at_once(2).await;
    assert_eq!(poison_arrivals(&engines), 3);
}

#[tokio::test]
async fn the_successor_of_a_killed_holder_keeps_its_quarantines() {
    let log = KeyedLog::start().await.expect("a log");
    let engines = mortal_engines(5, Duration::from_millis(5), is_poison).await;
    list_engines(&log, &engines);
    let killed = process_runtime();
    let holder = start_daemon_in(&killed, vm_settings("vm-1", &log)).await;
    let successor = DirectDaemon::start(vm_settings("vm-2", &log)).await;
    let successor = successor.expect("the daemon starts");
    wait_for("both VMs to be known", async || {
        is_ready(&successor).await && successor.fleet().tables().vms.len() == 2
    })
    .await;
    wait_for_stream(&holder).await;
    for number in 0..3 {
        let request = poison("/plan/1", &format!("d{number}"));
        send_request(holder.caller_address, &request).await;
    }
    assert_eq!(poison_arrivals(&engines), 2);
    wait_for("the record of the quarantine", async || {
        let tables = successor.fleet().tables();
        tables.suspects.counts(clock::now()).1 == 1
    })
    .await;
    killed.shutdown_background();
    wait_for("the successor to hold the zone", async || {
        let lease = successor.fleet().lease(&AvailabilityZone::new(ZONES[0]));
        lease.is_some_and(|lease| lease.incarnation == successor.fleet().incarnation)
    })
    .await;
    wait_for_stream(&successor).await;
    for number in 0..4 {
        let request = poison("/plan/1", &format!("e{number}"));
        send_request(successor.caller_address, &request).await;
    }
    assert_eq!(poison_arrivals(&engines), 2);
}

/// Targets that a poison request may crash. A third one may be reached at the moment in which the second crash becomes known.
const MAX_CRASHES: usize = 3;

/// Engines that crash under poison, and a single VM that is killed and started again.
struct KilledSite {
    log: KeyedLog,
    engines: Vec<RawTarget>,
    starts: u32,
}

impl KilledSite {
    async fn start(engines: usize) -> Self {
        let log = KeyedLog::start().await.expect("a log");
        let engines = mortal_engines(engines, Duration::from_millis(5), is_poison).await;
        let site = Self {
            log,
            engines,
            starts: 0,
        };
        site.write_entries();
        site
    }

    /// Writes the entries of the engines that have not crashed, and removes the others.
    fn write_entries(&self) {
        for (number, engine) in self.engines.iter().enumerate() {
            let is_running = !engine.requests().iter().any(is_poison);
            let entry = target_entry("scribe", engine.address, "ready", &["a1@1"]);
            let value = is_running.then_some(entry.as_str());
            self.log.put("keyed.servers", &format!("e-{number}"), value);
        }
        if self.starts == 0 {
            self.log.put("keyed.op", "config", Some(&config_json(1)));
        }
    }

    /// Starts the VM again, in a runtime of its own.
    async fn start_vm(&mut self) -> (Runtime, DirectDaemon) {
        self.write_entries();
        let mut settings = vm_settings("vm-1", &self.log);
        settings.is_first_start = self.starts == 0;
        self.starts += 1;
        let life = process_runtime();
        let daemon = start_daemon_in(&life, settings).await;
        wait_for_stream(&daemon).await;
        (life, daemon)
    }

    fn crashed(&self) -> usize {
        poison_arrivals(&self.engines)
    }
}

/// All VMs are killed right after each answer. If the record were written after the answer, every retry would cost another engine.
#[tokio::test]
async fn a_first_crash_is_recorded_before_the_caller_is_answered() {
    let mut site = KilledSite::start(10).await;
    for number in 0..6 {
        let (life, daemon) = site.start_vm().await;
        let request = poison("/plan/1", &format!("d{number}"));
        send_request(daemon.caller_address, &request).await;
        life.shutdown_background();
    }
    assert!(site.crashed() <= MAX_CRASHES, "{} crashed", site.crashed());
}

/// The same for calls of a plain service, whose targets serve no report.
#[tokio::test]
async fn a_first_end_under_a_plain_call_is_known_though_all_vms_are_killed() {
    let log = KeyedLog::start().await.expect("a log");
    let mut targets = Vec::new();
    for _ in 0..8 {
        let target = RawTarget::start_crashable(good_answer, is_poison).await;
        targets.push(target.expect("a target"));
    }
    let names = ["l-1", "l-2", "l-3", "l-4", "l-5", "l-6", "l-7", "l-8"];
    log.put("keyed.op", "config", Some(&config_json(1)));
    for number in 0..5 {
        for (name, target) in names.iter().zip(&targets) {
            let is_running = !target.requests().iter().any(is_poison);
            let entry = target_entry("ledger", target.address, "ready", &[]);
            log.put("keyed.servers", name, is_running.then_some(entry.as_str()));
        }
        let life = process_runtime();
        let mut settings = vm_settings("vm-1", &log);
        settings.is_first_start = number == 0;
        let daemon = start_daemon_in(&life, settings).await;
        let request = poison("/lookup/1", &format!("d{number}"));
        send_request(daemon.caller_address, &request).await;
        life.shutdown_background();
    }
    assert!(
        poison_arrivals(&targets) <= MAX_CRASHES,
        "{}",
        poison_arrivals(&targets)
    );
}

/// An innocent request that runs on an engine while poison crashes it becomes a suspect too. A successful trial must clear it
/// and remove its record from the log.
#[tokio::test]
async fn a_bystander_is_served_after_a_restart_and_its_record_is_dropped() {
    let mut site = KilledSite::start(6).await;
    let (life, daemon) = site.start_vm().await;
    let bystander = |id: &str| post_request("/plan/bystander", id, &model_headers("a1"));
    // The poison request crashes the engine on which the bystander's stream is running.
    let address = daemon.caller_address;
    let request = bystander("b0");
    let running = tokio::spawn(async move { send_request(address, &request).await });
    for number in 0..2 {
        let request = poison("/plan/1", &format!("d{number}"));
        send_request(daemon.caller_address, &request).await;
    }
    drop(running.await);
    life.shutdown_background();

    let (life, daemon) = site.start_vm().await;
    for number in 0..20 {
        let answer = send_request(daemon.caller_address, &bystander(&format!("c{number}"))).await;
        assert_eq!(answer.status, 200, "call {number}");
    }
    let fleet = daemon.fleet();
    let suspects = || {
        let tables = fleet.tables();
        let suspected = tables.suspects.suspected(clock::now());
        let mut keys: Vec<_> = suspected.map(suspect_key).collect();
        keys.sort();
        keys
    };
    let recorded = || {
        let tables = fleet.tables();
        let keys = tables
            .records
            .keys_with_value(FeedTopic::Fleet, SUSPECT_KEY_PREFIX);
        keys.map(str::to_owned).collect::<Vec<_>>()
    };
    wait_for("records of exactly the suspects", async || {
        recorded() == suspects()
    })
    .await;
    assert_eq!(suspects().len(), 1);
    life.shutdown_background();
}

/// The call does not wait for the log, so the record must be written later, before the VM is killed.
#[tokio::test]
async fn a_crash_during_a_log_outage_is_recorded_afterwards() {
    let mut site = KilledSite::start(8).await;
    let (life, daemon) = site.start_vm().await;
    site.log.set_faults(|faults| faults.is_unavailable = true);
    send_request(daemon.caller_address, &poison("/plan/1", "d0")).await;
    site.log.set_faults(|faults| faults.is_unavailable = false);
    let before = site.crashed();
    sleep(Duration::from_millis(1_500)).await;
    life.shutdown_background();
    for number in 0..3 {
        let (life, daemon) = site.start_vm().await;
        let request = poison("/plan/1", &format!("e{number}"));
        send_request(daemon.caller_address, &request).await;
        life.shutdown_background();
    }
    assert!(
        site.crashed() <= MAX_CRASHES,
        "{before}, {}",
        site.crashed()
    );
}

/// The log is restored from a copy without the record, while a VM still knows of the crash.
#[tokio::test]
async fn a_crash_missing_from_a_restored_log_is_recorded_again() {
    let mut site = KilledSite::start(8).await;
    let (life, daemon) = site.start_vm().await;
    send_request(daemon.caller_address, &poison("/plan/1", "d0")).await;
    let records = site.log.len("keyed.fleet");
    site.log.restore(&[("keyed.fleet", records)]);
    wait_for("the record of the zone's holder", async || {
        site.log.newest("keyed.fleet", "zone/hall").is_some()
    })
    .await;
    sleep(Duration::from_millis(1_500)).await;
    life.shutdown_background();
    for number in 0..4 {
        let (life, daemon) = site.start_vm().await;
        let request = poison("/plan/1", &format!("e{number}"));
        send_request(daemon.caller_address, &request).await;
        life.shutdown_background();
    }
    assert!(site.crashed() <= MAX_CRASHES, "{} crashed", site.crashed());
}

/// The topic with the records of suspects cannot be listed, so any request could be poison.
#[tokio::test]
async fn a_vm_that_does_not_know_the_suspects_serves_no_calls() {
    let mut site = KilledSite::start(3).await;
    let (life, _) = site.start_vm().await;
    life.shutdown_background();
    let refused_listings = vec!["keyed.fleet".to_owned()];
    site.log
        .set_faults(|faults| faults.refused_listings = refused_listings);
    let unaware = DirectDaemon::start(vm_settings("vm-2", &site.log)).await;
    let unaware = unaware.expect("the daemon starts");
    sleep(Duration::from_secs(1)).await;
    assert!(!is_ready(&unaware).await);
    let answer = send_request(unaware.caller_address, &poison("/plan/1", "d0")).await;
    assert_eq!((answer.status, site.crashed()), (503, 0));
}

/// The restored log still has the record of a suspect that was cleared since.
#[tokio::test]
async fn a_cleared_suspicion_missing_from_a_restored_log_is_written_again() {
    let mut site = KilledSite::start(4).await;
    let (life, daemon) = site.start_vm().await;
    let fingerprint = RequestFingerprint(7);
    let key = suspect_key(fingerprint);
    let run = TargetRun {
        name: TargetName::new("e-gone"),
        life: TargetLife::default(),
    };
    let fleet = daemon.fleet();
    fleet.record_crash(&TargetCrash {
        fingerprint,
        run,
        is_trial: false,
    });
    let is_recorded = || site.log.newest("keyed.fleet", &key).is_some();
    wait_for("the record", async || is_recorded()).await;
    fleet.clear_suspicion(fingerprint);
    wait_for("the removal of the record", async || !is_recorded()).await;
    site.log.restore(&[("keyed.fleet", 1)]);
    assert!(is_recorded());
    wait_for("the removal of the restored record", async || {
        !is_recorded()
    })
    .await;
    life.shutdown_background();
}
