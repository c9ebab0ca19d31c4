//! Streams of a service whose targets run several versions of their software. What two versions write does not fit
//! together, so a stream may only continue at the version that began it, and targets do not check that.

use crate::support::{
    chunk, config_json, decode_chunked, good_answer, is_ready, model_headers, post_request,
    process_runtime, send_request, start_daemon, stream_head, target_entry, vm_settings, wait_for,
};
use hoplanding_core::ids::AvailabilityZone;
use hoplanding_standins::{
    keyed_log::KeyedLog,
    raw_target::{RawRequest, RawResponse, RawTarget},
    relay::{LinkRelay, LinkState},
};
use hoplandingd::direct::daemon::DirectDaemon;
use serde_json::json;
use std::{net::SocketAddr, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    runtime::Runtime,
    time::{sleep, timeout},
};

pub const ZONES: [&str; 2] = ["hall", "yard"];
const EVENT_PAUSE: Duration = Duration::from_millis(5);
const LAST_EVENT: u32 = 6;

/// Streams events that name the software version; a request that takes up no stream breaks off after event `breaks_after`.
fn versioned_answer(request: &RawRequest, version: &str, breaks_after: Option<u32>) -> RawResponse {
    if request.request_line().contains("/hoplanding/report") {
        return good_answer(request);
    }
    let last: Option<u32> = request
        .header("last-event-id")
        .and_then(|id| id.parse().ok());
    let mut pieces = vec![(Duration::ZERO, stream_head(request))];
    for id in last.unwrap_or(0) + 1..=LAST_EVENT {
        let text = format!("id: {id}\ndata: {version} token {id}\n\n");
        pieces.push((EVENT_PAUSE, chunk(&text)));
        if last.is_none() && breaks_after == Some(id) {
            return RawResponse {
                pieces,
                closes_connection: true,
            };
        }
    }
    pieces.push((Duration::ZERO, b"0\r\n\r\n".to_vec()));
    RawResponse {
        pieces,
        closes_connection: false,
    }
}

/// An engine of a software version.
pub struct VersionedEngine {
    pub name: String,
    version: String,
    zone: &'static str,
    target: RawTarget,
}

impl VersionedEngine {
    pub async fn start(name: &str, version: &str, zone: usize, breaks_after: Option<u32>) -> Self {
        let written = version.to_owned();
        let target =
            RawTarget::start(move |request| versioned_answer(request, &written, breaks_after));
        Self {
            name: name.to_owned(),
            version: version.to_owned(),
            zone: ZONES[zone % ZONES.len()],
            target: target.await.expect("an engine"),
        }
    }

    pub fn list(&self, log: &KeyedLog, state: &str) {
        let entry = target_entry("scribe", self.target.address, state, &["a1@1"])
            .replace("\"hall\"", &format!("\"{}\"", self.zone))
            .replace("\"v1\"", &format!("\"{}\"", self.version));
        log.put("keyed.servers", &self.name, Some(&entry));
    }

    /// Ids of the calls that the engine ran.
    fn run_ids(&self) -> Vec<String> {
        let requests = self.target.requests().into_iter();
        let runs = requests.filter(|request| request.request_line().starts_with("POST /resumed"));
        runs.filter_map(|run| Some(run.header("hoplanding-request-id")?.to_owned()))
            .collect()
    }
}

/// Starts engines of each version, spread over the zones, and lists them.
pub async fn start_engines(
    log: &KeyedLog,
    versions: &[&str],
    breaks_after: Option<u32>,
) -> Vec<VersionedEngine> {
    let mut engines = Vec::new();
    for (number, version) in versions.iter().enumerate() {
        let name = format!("e-{number}");
        let engine = VersionedEngine::start(&name, version, number / 2, breaks_after).await;
        engine.list(log, "ready");
        engines.push(engine);
    }
    log.put("keyed.op", "config", Some(&config_json(1)));
    engines
}

/// A VM that ends as by a kill when dropped.
pub struct VmProcess {
    runtime: Option<Runtime>,
    pub daemon: DirectDaemon,
}

impl VmProcess {
    /// Starts a VM in the first of the fleet's zones.
    pub async fn start_in_zones(
        log: &KeyedLog,
        name: &str,
        zones: &[&str],
        is_first_start: bool,
    ) -> Self {
        let mut settings = vm_settings(name, log);
        settings.zones = zones
            .iter()
            .map(|zone| AvailabilityZone::new(zone))
            .collect();
        settings.zone = settings.zones[0].clone();
        settings.is_first_start = is_first_start;
        let runtime = process_runtime();
        let started = runtime.spawn(DirectDaemon::start(settings));
        let daemon = started.await.expect("a task").expect("the daemon starts");
        Self {
            runtime: Some(runtime),
            daemon,
        }
    }

    pub fn address(&self) -> SocketAddr {
        self.daemon.caller_address
    }
}

impl Drop for VmProcess {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

/// Starts VMs in both zones; returns before they know anything.
pub async fn start_unready_vms(
    log: &KeyedLog,
    names: &[&str],
    is_first_start: bool,
) -> Vec<VmProcess> {
    let mut vms = Vec::new();
    for (number, name) in names.iter().enumerate() {
        let zone = ZONES[number % ZONES.len()];
        let mut zones = ZONES;
        zones.sort_by_key(|other| *other != zone);
        vms.push(VmProcess::start_in_zones(log, name, &zones, is_first_start).await);
    }
    vms
}

/// Starts VMs in both zones; returns once each serves calls and every zone has a holder of this start.
pub async fn start_vms(log: &KeyedLog, names: &[&str], is_first_start: bool) -> Vec<VmProcess> {
    let vms = start_unready_vms(log, names, is_first_start).await;
    for vm in &vms {
        wait_for("readiness and holders", async || {
            let incarnations: Vec<_> = vms.iter().map(|vm| vm.daemon.fleet().incarnation).collect();
            let are_held = ZONES.iter().all(|zone| {
                let lease = vm.daemon.fleet().lease(&AvailabilityZone::new(zone));
                lease.is_some_and(|lease| incarnations.contains(&lease.incarnation))
            });
            are_held && is_ready(&vm.daemon).await
        })
        .await;
        wait_for("a stream", async || {
            let request = post_request("/plan/1", "r0", &model_headers("a1"));
            send_request(vm.address(), &request).await.status == 200
        })
        .await;
    }
    vms
}

pub fn holds_its_zone(vm: &VmProcess) -> bool {
    let fleet = vm.daemon.fleet();
    let lease = fleet.lease(&fleet.zone);
    lease.is_some_and(|lease| lease.vm.as_ref() == Some(&fleet.vm))
}

/// Versions that the events of a text name, without repetitions.
fn versions_in(text: &str) -> Vec<String> {
    let mut versions: Vec<String> = text
        .lines()
        .filter_map(|line| line.strip_prefix("data: "))
        .filter_map(|data| Some(data.split(' ').next()?.to_owned()))
        .collect();
    versions.dedup();
    versions
}

/// Reads the first two events of a new stream, then leaves; returns their text.
async fn begin_stream(address: SocketAddr, id: &str) -> String {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    let request = post_request("/resumed/1", id, &model_headers("a1"));
    let sent = stream.write_all(request.as_bytes()).await;
    sent.expect("the VM reads the request");
    let mut bytes = Vec::new();
    let read = async {
        while !String::from_utf8_lossy(&bytes).contains("token 2\n\n") {
            let read = stream.read_buf(&mut bytes).await;
            assert!(read.is_ok_and(|read| read > 0), "two events");
        }
    };
    timeout(Duration::from_secs(10), read)
        .await
        .expect("events in time");
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let kept = text.find("id: 3\n").unwrap_or(text.len());
    text[..kept].to_owned()
}

/// How callers' attempts to take streams up ended.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct ResumeCounts {
    /// Continued at the version that began the stream.
    pub same: usize,
    /// Continued at another version.
    pub mixed: usize,
    /// Refused as not run.
    pub refused: usize,
    /// Ended in another way.
    pub other: usize,
}

/// A stream that its caller left after two events.
pub struct BegunStream {
    pub id: String,
    pub versions: Vec<String>,
}

/// Begins streams whose ids start with `name`, and lets what is sent to other VMs arrive.
pub async fn begin_streams(vm: &VmProcess, count: usize, name: &str) -> Vec<BegunStream> {
    let streams = begin_named_streams(vm, name, count).await;
    // What is sent to other VMs at the first event has arrived by then.
    sleep(Duration::from_millis(100)).await;
    streams
}

/// Begins streams whose ids start with `name`, and returns at once after their second events.
pub async fn begin_named_streams(vm: &VmProcess, name: &str, count: usize) -> Vec<BegunStream> {
    let mut streams = Vec::new();
    for number in 0..count {
        let id = format!("{name}-{number}");
        let text = begin_stream(vm.address(), &id).await;
        let versions = versions_in(&text);
        streams.push(BegunStream { id, versions });
    }
    streams
}

/// Takes each stream up at a VM, naming the attempt that `named` gives.
pub async fn take_up(
    vm: &VmProcess,
    streams: &[BegunStream],
    named: impl Fn(&BegunStream) -> Option<String>,
) -> ResumeCounts {
    let mut counts = ResumeCounts::default();
    for (number, stream) in streams.iter().enumerate() {
        let resumes = named(stream).map_or(String::new(), |id| format!("Resumes: {id}\r\n"));
        let headers = format!("{}Last-Event-Id: 2\r\n{resumes}", model_headers("a1"));
        let request = post_request("/resumed/1", &format!("later-{number}"), &headers);
        let answer = send_request(vm.address(), &request).await;
        let text = decode_chunked(&answer.body);
        let is_whole = answer.is_whole && text.contains(&format!("id: {LAST_EVENT}\n"));
        if answer.status == 503 && answer.has_header("retry-after:") {
            counts.refused += 1;
        } else if answer.status != 200 || !is_whole {
            counts.other += 1;
        } else if versions_in(&text) == stream.versions {
            counts.same += 1;
        } else {
            counts.mixed += 1;
        }
    }
    counts
}

pub fn all_same(streams: &[BegunStream]) -> ResumeCounts {
    ResumeCounts {
        same: streams.len(),
        ..ResumeCounts::default()
    }
}

fn all_refused(streams: &[BegunStream]) -> ResumeCounts {
    ResumeCounts {
        refused: streams.len(),
        ..ResumeCounts::default()
    }
}

pub fn its_attempt(stream: &BegunStream) -> Option<String> {
    Some(stream.id.clone())
}

/// Targets break streams off after two events, and the relay continues them under the same answer.
#[tokio::test]
async fn a_relayed_stream_holds_events_of_one_software_version() {
    let log = KeyedLog::start().await.expect("a log");
    let versions = ["v1", "v2", "v1", "v2", "v2", "v1"];
    let _engines = start_engines(&log, &versions, Some(2)).await;
    let vms = start_vms(&log, &["vm-1", "vm-2"], true).await;
    let (mut whole, mut mixed) = (0, 0);
    for number in 0..12 {
        let request = post_request("/resumed/1", &format!("r{number}"), &model_headers("a1"));
        let answer = send_request(vms[number % 2].address(), &request).await;
        let text = decode_chunked(&answer.body);
        mixed += usize::from(versions_in(&text).len() > 1);
        whole += usize::from(answer.is_whole && text.contains(&format!("id: {LAST_EVENT}\n")));
    }
    assert_eq!((whole, mixed), (12, 0));
}

/// The busiest target of each version has gone; two others of each version serve.
#[tokio::test]
async fn a_stream_taken_up_at_another_vm_stays_with_its_software_version() {
    let log = KeyedLog::start().await.expect("a log");
    let versions = ["v1", "v2", "v1", "v2", "v1", "v2"];
    let engines = start_engines(&log, &versions, None).await;
    let vms = start_vms(&log, &["vm-1", "vm-2"], true).await;
    let streams = begin_streams(&vms[0], 12, "begun").await;
    for version in ["v1", "v2"] {
        let own = engines.iter().filter(|engine| engine.version == version);
        let busiest = own.max_by_key(|engine| engine.run_ids().len());
        busiest.expect("an engine").list(&log, "draining");
    }
    wait_for("the leaving targets", async || {
        let service = "scribe".into();
        let ready = |vm: &VmProcess| vm.daemon.fleet().tables().catalog.ready(&service).count();
        vms.iter().all(|vm| ready(vm) == 4)
    })
    .await;
    let counts = take_up(&vms[1], &streams, its_attempt).await;
    assert_eq!(counts, all_same(&streams));
}

/// All targets of the version that began the streams have gone. Callers have to begin anew, and learn that at once.
#[tokio::test]
async fn a_stream_whose_software_version_is_gone_is_refused() {
    let log = KeyedLog::start().await.expect("a log");
    let engines = start_engines(&log, &["v1", "v1", "v1", "v1"], None).await;
    let vms = start_vms(&log, &["vm-1", "vm-2"], true).await;
    let streams = begin_streams(&vms[0], 8, "begun").await;
    let mut later = Vec::new();
    for number in 0..4 {
        let name = format!("f-{number}");
        let engine = VersionedEngine::start(&name, "v2", number / 2, None).await;
        engine.list(&log, "ready");
        later.push(engine);
    }
    for engine in &engines {
        engine.list(&log, "draining");
    }
    wait_for("the change of versions", async || {
        let ready = |vm: &VmProcess| {
            let tables = vm.daemon.fleet().tables();
            let service = "scribe".into();
            let mut ready = tables.catalog.ready(&service);
            ready.all(|entry| entry.name.as_str().starts_with("f-"))
                && tables.catalog.iter().count() == 8
        };
        vms.iter().all(ready)
    })
    .await;
    for vm in &vms {
        let counts = take_up(vm, &streams, its_attempt).await;
        assert_eq!(counts, all_refused(&streams));
    }
}

/// All VMs are killed, and with them what they know of streams, while two versions serve.
#[tokio::test]
async fn no_stream_mixes_software_versions_after_a_restart_of_all_vms() {
    let log = KeyedLog::start().await.expect("a log");
    let versions = ["v1", "v2", "v1", "v2"];
    let _engines = start_engines(&log, &versions, None).await;
    let vms = start_vms(&log, &["vm-1", "vm-2"], true).await;
    let streams = begin_streams(&vms[0], 12, "begun").await;
    drop(vms);
    let vms = start_vms(&log, &["vm-1", "vm-2"], false).await;
    for vm in &vms {
        let counts = take_up(vm, &streams, its_attempt).await;
        assert_eq!((counts.mixed, counts.other), (0, 0), "{counts:?}");
    }
}

/// The holders append the origins of streams to the log, which outlives all VMs.
#[tokio::test]
async fn streams_continue_after_a_restart_of_all_vms_while_two_software_versions_serve() {
    let log = KeyedLog::start().await.expect("a log");
    let _engines = start_engines(&log, &["v1", "v2", "v1", "v2"], None).await;
    let vms = start_vms(&log, &["vm-1", "vm-2"], true).await;
    let streams = begin_streams(&vms[0], 8, "begun").await;
    // Two intervals of the archive, after which all origins are in the log.
    sleep(Duration::from_millis(1_100)).await;
    drop(vms);
    let vms = start_vms(&log, &["vm-1", "vm-2"], false).await;
    wait_for("the archive to be read", async || {
        vms.iter().all(|vm| vm.daemon.fleet().is_archive_read())
    })
    .await;
    for vm in &vms {
        let counts = take_up(vm, &streams, its_attempt).await;
        assert_eq!(counts, all_same(&streams));
    }
}

/// The VM that relayed the streams is killed. The holders of the other zones know the versions.
#[tokio::test]
async fn streams_of_a_killed_vm_continue_while_two_software_versions_serve() {
    let log = KeyedLog::start().await.expect("a log");
    let _engines = start_engines(&log, &["v1", "v2", "v1", "v2"], None).await;
    let mut vms = start_vms(&log, &["vm-1", "vm-2", "vm-3", "vm-4"], true).await;
    let killed = vms.iter().position(|vm| !holds_its_zone(vm));
    let killed = vms.remove(killed.expect("a VM that holds no zone"));
    let streams = begin_streams(&killed, 12, "begun").await;
    drop(killed);
    for vm in &vms {
        let counts = take_up(vm, &streams, its_attempt).await;
        assert_eq!(counts, all_same(&streams));
    }
}

/// The only zone's holder relayed the streams itself, so no other VM has heard of them. They are in the log.
#[tokio::test]
async fn streams_of_a_killed_holder_continue_though_no_other_vm_heard_of_them() {
    let log = KeyedLog::start().await.expect("a log");
    let _engines = start_engines(&log, &["v1", "v2"], None).await;
    let start = async |name| {
        let process = VmProcess::start_in_zones(&log, name, &ZONES[..1], true).await;
        wait_for("readiness", async || is_ready(&process.daemon).await).await;
        process
    };
    let holder = start("vm-1").await;
    wait_for("a lease", async || holds_its_zone(&holder)).await;
    let other = start("vm-2").await;
    let streams = begin_streams(&holder, 6, "begun").await;
    // Two intervals of the archive, after which all origins are in the log.
    sleep(Duration::from_millis(1_100)).await;
    drop(holder);
    wait_for("the successor", async || holds_its_zone(&other)).await;
    let counts = take_up(&other, &streams, its_attempt).await;
    assert_eq!(counts, all_same(&streams));
}

/// In an outage of the log nobody can tell whether another version serves, so the holders have to know the streams.
#[tokio::test]
async fn streams_of_a_killed_vm_continue_while_the_log_is_out() {
    let log = KeyedLog::start().await.expect("a log");
    let _engines = start_engines(&log, &["v1", "v1", "v1", "v1"], None).await;
    let mut vms = start_vms(&log, &["vm-1", "vm-2", "vm-3", "vm-4"], true).await;
    log.set_faults(|faults| faults.is_unavailable = true);
    let service = "scribe".into();
    wait_for("the outage to be noticed", async || {
        vms.iter()
            .all(|vm| vm.daemon.fleet().sole_software(&service).is_none())
    })
    .await;
    let killed = vms.iter().position(|vm| !holds_its_zone(vm));
    let killed = vms.remove(killed.expect("a VM that holds no zone"));
    let streams = begin_streams(&killed, 6, "begun").await;
    drop(killed);
    for vm in &vms {
        let counts = take_up(vm, &streams, its_attempt).await;
        assert_eq!(counts, all_same(&streams));
    }
}

/// Nothing but the target list and the log's records outlives the VMs, and both name one version.
#[tokio::test]
async fn streams_of_a_sole_software_version_continue_after_a_restart_of_all_vms() {
    let log = KeyedLog::start().await.expect("a log");
    let _engines = start_engines(&log, &["v1", "v1", "v1", "v1"], None).await;
    let vms = start_vms(&log, &["vm-1", "vm-2"], true).await;
    let streams = begin_streams(&vms[0], 6, "begun").await;
    drop(vms);
    let vms = start_vms(&log, &["vm-1", "vm-2"], false).await;
    assert_eq!(
        take_up(&vms[0], &streams, its_attempt).await,
        all_same(&streams)
    );
    assert_eq!(
        take_up(&vms[1], &streams, |_| None).await,
        all_same(&streams)
    );
}

/// The target list names one version, but another began the streams, and its targets left before all VMs were killed.
#[tokio::test]
async fn a_software_version_that_left_before_a_restart_of_all_vms_is_remembered() {
    let log = KeyedLog::start().await.expect("a log");
    let engines = start_engines(&log, &["v1", "v1", "v1", "v1"], None).await;
    let vms = start_vms(&log, &["vm-1", "vm-2"], true).await;
    let streams = begin_streams(&vms[0], 6, "begun").await;
    wait_for("the record of v1", async || {
        let records = log.values("keyed.fleet", "software/scribe");
        records.iter().any(|record| record.contains("v1"))
    })
    .await;
    let mut later = Vec::new();
    for (number, engine) in engines.iter().enumerate() {
        let name = format!("f-{number}");
        let replacement = VersionedEngine::start(&name, "v2", number / 2, None).await;
        replacement.list(&log, "ready");
        later.push(replacement);
        log.put("keyed.servers", &engine.name, None);
    }
    drop(vms);
    let vms = start_vms(&log, &["vm-1", "vm-2"], false).await;
    for vm in &vms {
        let counts = take_up(vm, &streams, its_attempt).await;
        assert_eq!(counts, all_refused(&streams));
    }
}

/// Calls that name no attempt, or one that no VM knows, could have been begun by either version.
#[tokio::test]
async fn a_stream_of_an_unknown_attempt_is_refused_while_two_software_versions_serve() {
    let log = KeyedLog::start().await.expect("a log");
    let _engines = start_engines(&log, &["v1", "v2", "v1", "v2"], None).await;
    let vms = start_vms(&log, &["vm-1", "vm-2"], true).await;
    let streams = begin_streams(&vms[0], 4, "begun").await;
    let unnamed = take_up(&vms[1], &streams, |_| None).await;
    assert_eq!(unnamed, all_refused(&streams));
    let unknown = take_up(&vms[1], &streams, |_| Some("nobody".to_owned())).await;
    assert_eq!(unknown, all_refused(&streams));
}

/// A VM that neither the log nor another VM reaches may not know of a version that began serving meanwhile.
#[tokio::test]
async fn a_vm_without_news_of_the_target_list_takes_up_no_unknown_stream() {
    let log = KeyedLog::start().await.expect("a log");
    let _engines = start_engines(&log, &["v1", "v1", "v1", "v1"], None).await;
    let relay = LinkRelay::start().await.expect("a relay");
    relay.set_target(log.address());
    let mut settings = vm_settings("vm-1", &log);
    settings.platform_address = relay.address;
    let daemon = DirectDaemon::start(settings)
        .await
        .expect("the daemon starts");
    wait_for("readiness", async || is_ready(&daemon).await).await;
    let take_up = async |id: &str| {
        let headers = format!(
            "{}Last-Event-Id: 2\r\nResumes: before-{id}\r\n",
            model_headers("a1")
        );
        let request = post_request("/resumed/1", id, &headers);
        send_request(daemon.caller_address, &request).await.status
    };
    wait_for("a stream", async || take_up("r1").await == 200).await;
    relay.set_state(LinkState::Cut);
    let mut number = 2;
    wait_for("a refusal", async || {
        number += 1;
        take_up(&format!("r{number}")).await == 503
    })
    .await;
    let anew = post_request("/resumed/1", "r2", &model_headers("a1"));
    assert_eq!(send_request(daemon.caller_address, &anew).await.status, 200);
}

/// Events without ids do not show where a stream has to continue, so a relay that started over would repeat them.
#[tokio::test]
async fn a_broken_stream_of_events_without_ids_is_not_started_over() {
    let log = KeyedLog::start().await.expect("a log");
    let without_ids = |request: &RawRequest| {
        if request.request_line().contains("/hoplanding/report") {
            return good_answer(request);
        }
        RawResponse {
            pieces: vec![
                (Duration::ZERO, stream_head(request)),
                (EVENT_PAUSE, chunk("data: one\n\n")),
                (EVENT_PAUSE, chunk("data: two\n\n")),
            ],
            closes_connection: true,
        }
    };
    let mut engines = Vec::new();
    for _ in 0..2 {
        let engine = RawTarget::start(without_ids).await.expect("an engine");
        engines.push(engine);
    }
    let targets = [
        ("e-1", "scribe", engines[0].address),
        ("e-2", "scribe", engines[1].address),
    ];
    let daemon = start_daemon(&log, &targets).await;
    let request = post_request("/resumed/1", "r1", &model_headers("a1"));
    let answer = send_request(daemon.caller_address, &request).await;
    let text = decode_chunked(&answer.body);
    assert_eq!(
        (text.matches("data: one").count(), answer.is_whole),
        (1, false)
    );
}

/// A route is split over two services. The caller's later attempt has another id, and the service is drawn by id.
#[tokio::test]
async fn a_stream_taken_up_on_a_split_route_stays_with_its_service() {
    let log = KeyedLog::start().await.expect("a log");
    let scribe = VersionedEngine::start("e-1", "scribe", 0, None).await;
    let ledger = VersionedEngine::start("l-1", "ledger", 0, None).await;
    let mut config: serde_json::Value =
        serde_json::from_str(&config_json(1)).expect("a configuration");
    config["routes"][3]["traffic_split"] = json!([
        { "service": "scribe", "weight": 0.5 }, { "service": "ledger", "weight": 0.5 },
    ]);
    let targets = [
        ("e-1", "scribe", scribe.target.address),
        ("l-1", "ledger", ledger.target.address),
    ];
    let daemon = start_daemon(&log, &targets).await;
    config["version"] = json!(2);
    log.put("keyed.op", "config", Some(&config.to_string()));
    wait_for("the configuration", async || {
        let active = daemon.fleet().active();
        active.is_some_and(|active| active.config.version == 2)
    })
    .await;
    let mut mixed = 0;
    for number in 0..8 {
        let id = format!("begun-{number}");
        let begun = versions_in(&begin_stream(daemon.caller_address, &id).await);
        let headers = format!(
            "{}Last-Event-Id: 2\r\nResumes: {id}\r\n",
            model_headers("a1")
        );
        let request = post_request("/resumed/1", &format!("later-{number}"), &headers);
        let answer = send_request(daemon.caller_address, &request).await;
        assert_eq!(answer.status, 200);
        mixed += usize::from(versions_in(&decode_chunked(&answer.body)) != begun);
    }
    assert_eq!(mixed, 0);
}
