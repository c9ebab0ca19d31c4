//! Targets that are silent for a time: they neither read nor write, and their connections stay open.
//!
//! An answer that has begun is whole for its caller although its target, or all targets, are silent for longer than a resumable
//! stream waits for its next event. Only a target that stays silent loses its streams, to one that answers.

use crate::{
    log_recorder::{lines_of, record_lines},
    support::{
        Answer, HOST, chunk, config_json, decode_chunked, good_answer, is_ready, model_headers,
        read_answer, seal_headers, stream_event, stream_head, target_entry, vm_settings, wait_for,
    },
};
use hoplanding_standins::{
    keyed_log::KeyedLog,
    path_cuts::{PathCuts, PathState},
    raw_target::{RawRequest, RawResponse, RawTarget},
};
use hoplandingd::direct::daemon::DirectDaemon;
use serde_json::{Value, json};
use std::{
    collections::BTreeMap,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    sync::Arc,
    time::Duration,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    task::JoinHandle,
    time::{Instant, sleep, timeout},
};

const VMS: usize = 3;
const ENGINES: usize = 6;
const PLAIN_TARGETS: usize = 3;
/// Streams of a test, spread over the VMs.
const STREAMS: usize = 18;
/// Events of a stream.
const EVENTS: u32 = 100;
const EVENT_INTERVAL: Duration = Duration::from_millis(40);
/// Time from the arrival of a call at its target until the head of the answer.
const HEAD_DELAY: Duration = Duration::from_millis(300);
/// Longer than a resumable stream waits for its next event.
const SILENCE: Duration = Duration::from_millis(1_600);
/// Time without a silence before and after each.
const LIVELY_TIME: Duration = Duration::from_millis(400);
/// Time without an event after which callers give a stream up.
const CALLER_TIMEOUT: Duration = Duration::from_secs(4);
/// Deadline of calls and timeout of routes, far beyond any answer of these tests.
const DEADLINE_MS: u64 = 30_000;
const READ_TIMEOUT: Duration = Duration::from_secs(40);
/// Time within which a target has to be free after its caller has left.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(3);
/// Sends that the routes allow.
const MAX_ATTEMPTS: usize = 2;

/// Route of streams that continue at another target, and of those that do not.
const RESUMABLE: &str = "/resumed/1";
const NOT_RESUMABLE: &str = "/plan/1";
/// Routes whose calls may run only once: streams, and buffered answers.
const RUN_ONCE: [&str; 2] = [NOT_RESUMABLE, "/scan/1"];

/// Resumable streams whose head is late, that pause at an event, or whose end comes late after the last event, each where the
/// stream begins.
const LATE_HEAD: &str = "/resumed/late-head";
const LONG_PAUSE: &str = "/resumed/long-pause";
const LATE_END: &str = "/resumed/late-end";
/// Longer than a stream waits for a target that answers other requests.
const LONG_DELAY: Duration = Duration::from_secs(3);
/// Event before which a stream pauses.
const PAUSED_AT: u32 = 20;
/// Time for which a call may be at two targets.
const MAX_OVERLAP: Duration = Duration::from_millis(400);
const TARGET_END_UNCONFIRMED: u64 = 817;

/// A zone of three VMs, six engines and three plain targets.
struct SilentSite {
    vms: Vec<DirectDaemon>,
    engines: Vec<RawTarget>,
    plain: Vec<RawTarget>,
    /// Path to each engine.
    cuts: Vec<Arc<PathCuts>>,
    log: KeyedLog,
}

/// A stream as its caller received it.
#[derive(Debug)]
struct CallerStream {
    id: String,
    status: u16,
    event_ids: Vec<u32>,
    is_whole: bool,
    /// Longest time between two reads.
    longest_gap: Duration,
}

/// Configuration whose deadlines end no answer of these tests.
fn patient_config(version: u64, timeout_ms: u64, idle_timeout_ms: u64) -> String {
    let mut config: Value = serde_json::from_str(&config_json(version)).expect("valid JSON");
    for route in config["routes"].as_array_mut().expect("routes") {
        route["timeout_ms"] = json!(timeout_ms);
    }
    config["limits"]["idle_timeout_ms"] = json!(idle_timeout_ms);
    config.to_string()
}

/// Streams the events after the request's last event id. Reports and orders are answered over connections that close, so that the
/// open ones are those of streams.
fn answer_as_engine(request: &RawRequest) -> RawResponse {
    if request.request_line().contains("/hoplanding/") {
        let mut answer = good_answer(request).with_header("Connection: close\r\n");
        answer.closes_connection = true;
        return answer;
    }
    let last: u32 = request
        .header("last-event-id")
        .and_then(|id| id.parse().ok())
        .unwrap_or(0);
    let line = request.request_line();
    let is_first = last == 0;
    let head_delay = match line.contains(LATE_HEAD) {
        true => LONG_DELAY,
        false => HEAD_DELAY,
    };
    let mut pieces = vec![(head_delay, stream_head(request))];
    for id in last + 1..=EVENTS {
        let is_delayed = line.contains(LONG_PAUSE) && is_first && id == PAUSED_AT;
        let delay = if is_delayed {
            LONG_DELAY
        } else {
            EVENT_INTERVAL
        };
        pieces.push((delay, chunk(&stream_event(id))));
    }
    let end_delay = match line.contains(LATE_END) && is_first {
        true => EVENT_INTERVAL * PAUSED_AT,
        false => Duration::ZERO,
    };
    pieces.push((end_delay, b"0\r\n\r\n".to_vec()));
    RawResponse {
        pieces,
        closes_connection: false,
    }
}

fn answer_as_plain(request: &RawRequest) -> RawResponse {
    let mut answer = RawResponse::complete("200 OK", &seal_headers(request), "done");
    answer.pieces[0].0 = HEAD_DELAY;
    answer
}

fn patient_request(path: &str, id: &str) -> String {
    let model = model_headers("a1");
    format!(
        "POST {path} HTTP/1.1\r\nHost: {HOST}\r\nHoplanding-Request-Id: {id}\r\n\
         Hoplanding-Deadline-Ms: {DEADLINE_MS}\r\n{model}Content-Length: 4\r\n\r\nbody"
    )
}

async fn send(address: SocketAddr, path: &str, id: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address)
        .await
        .expect("the daemon accepts the connection");
    stream
        .write_all(patient_request(path, id).as_bytes())
        .await
        .expect("the daemon reads the request");
    stream
}

fn spawn_call(address: SocketAddr, path: &'static str, id: &str) -> JoinHandle<Answer> {
    let id = id.to_owned();
    tokio::spawn(async move {
        let mut stream = send(address, path, &id).await;
        let answer = timeout(READ_TIMEOUT, read_answer(&mut stream)).await;
        answer.expect("an answer")
    })
}

/// Connections to targets that a VM asked others for, by the label of the result, or with any result.
fn tunnel_count(vm: &DirectDaemon, result: &str) -> usize {
    let page = vm.fleet().metrics.page(vm.fleet());
    let lines = page
        .lines()
        .filter(|line| line.starts_with("hoplanding_tunnels_total{") && line.contains(result));
    lines
        .filter_map(|line| line.rsplit(' ').next()?.parse::<usize>().ok())
        .sum()
}

async fn read_stream(address: SocketAddr, path: &str, id: String) -> CallerStream {
    let mut stream = send(address, path, &id).await;
    let mut bytes = Vec::new();
    let mut longest_gap = Duration::ZERO;
    let mut last_read_at = None;
    loop {
        let read = timeout(READ_TIMEOUT, stream.read_buf(&mut bytes)).await;
        let read = read.expect("the answer goes on or ends").unwrap_or(0);
        let now = Instant::now();
        let gap = last_read_at.map_or(Duration::ZERO, |last_read_at| now - last_read_at);
        longest_gap = longest_gap.max(gap);
        last_read_at = Some(now);
        if read == 0 || bytes.ends_with(b"\r\n0\r\n\r\n") {
            break;
        }
    }
    let text = String::from_utf8_lossy(&bytes);
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
    let status = head.split(' ').nth(1);
    let events = decode_chunked(body.as_bytes());
    let event_ids = events.lines().filter_map(|line| line.strip_prefix("id: "));
    CallerStream {
        id,
        status: status.and_then(|status| status.parse().ok()).unwrap_or(0),
        event_ids: event_ids.filter_map(|id| id.parse().ok()).collect(),
        is_whole: bytes.ends_with(b"\r\n0\r\n\r\n"),
        longest_gap,
    }
}

impl CallerStream {
    /// Whether the stream has its end, and each event once and in order.
    fn is_sound(&self) -> bool {
        self.status == 200 && self.is_whole && self.event_ids.iter().copied().eq(1..=EVENTS)
    }
}

impl SilentSite {
    async fn start() -> Self {
        let log = KeyedLog::start().await.expect("a log");
        let mut engines = Vec::new();
        let mut plain = Vec::new();
        let mut cuts = Vec::new();
        for _ in 0..ENGINES {
            let path = Arc::new(PathCuts::default());
            let engine = RawTarget::start_behind(&path, answer_as_engine).await;
            engines.push(engine.expect("an engine"));
            cuts.push(path);
        }
        for _ in 0..PLAIN_TARGETS {
            plain.push(RawTarget::start(answer_as_plain).await.expect("a target"));
        }
        for (service, targets) in [("scribe", &engines), ("ledger", &plain)] {
            for (number, target) in targets.iter().enumerate() {
                let name = format!("{service}-{number}");
                let entry = target_entry(service, target.address, "ready", &["a1@1"]);
                log.put("keyed.servers", &name, Some(&entry));
            }
        }
        let config = patient_config(1, DEADLINE_MS, 15_000);
        log.put("keyed.op", "config", Some(&config));
        let mut vms = Vec::new();
        for vm in 0..VMS {
            let settings = vm_settings(&format!("vm-{vm}"), &log);
            let daemon = DirectDaemon::start(settings).await;
            vms.push(daemon.expect("the daemon starts"));
        }
        wait_for("all VMs ready and known", async || {
            let mut is_complete = true;
            for vm in &vms {
                is_complete &= is_ready(vm).await && vm.fleet().tables().vms.len() == VMS;
            }
            is_complete
        })
        .await;
        wait_for("a lease", async || {
            !log.values("keyed.fleet", "zone/hall").is_empty()
        })
        .await;
        Self {
            vms,
            engines,
            plain,
            cuts,
            log,
        }
    }

    fn set_all_silent(&self, is_silent: bool) {
        for target in self.engines.iter().chain(&self.plain) {
            target.set_silent(is_silent);
        }
    }

    async fn silence_all(&self) {
        self.set_all_silent(true);
        sleep(SILENCE).await;
        self.set_all_silent(false);
    }

    async fn silence(&self, engines: &[RawTarget]) {
        for engine in engines {
            engine.set_silent(true);
        }
        sleep(SILENCE).await;
        for engine in engines {
            engine.set_silent(false);
        }
    }

    /// Starts the streams of a test, and waits until their callers have received events.
    async fn start_streams(&self, path: &'static str) -> Vec<JoinHandle<CallerStream>> {
        let mut streams = Vec::new();
        for number in 0..STREAMS {
            let address = self.vms[number % VMS].caller_address;
            let id = format!("r{number}");
            streams.push(tokio::spawn(read_stream(address, path, id)));
        }
        wait_for("the streams' start", async || {
            self.sends(path).len() == STREAMS
        })
        .await;
        sleep(HEAD_DELAY + LIVELY_TIME).await;
        let sends = self.sends(path);
        for half in [0..ENGINES / 2, ENGINES / 2..ENGINES] {
            let mut engines = sends.values().flatten();
            assert!(engines.any(|engine| half.contains(engine)), "{sends:?}");
        }
        streams
    }

    /// Indexes of the engines that received each request of a path, one each time, by request id.
    fn sends(&self, path: &str) -> BTreeMap<String, Vec<usize>> {
        let mut sends: BTreeMap<String, Vec<usize>> = BTreeMap::new();
        for (number, engine) in self.engines.iter().enumerate() {
            for request in engine.requests() {
                if request.request_line().contains(path) {
                    let id = request.header("hoplanding-request-id").unwrap_or_default();
                    sends.entry(id.to_owned()).or_default().push(number);
                }
            }
        }
        sends
    }

    /// Number of times that targets received a request.
    fn runs(&self, id: &str) -> usize {
        let targets = self.engines.iter().chain(&self.plain);
        let requests = targets.flat_map(RawTarget::requests);
        let has_id = |request: &RawRequest| request.header("hoplanding-request-id") == Some(id);
        requests.filter(has_id).count()
    }

    /// Index of the engine that has received most streams.
    fn busiest_engine(&self, path: &str) -> usize {
        let sends = self.sends(path);
        let count = |engine: &usize| sends.values().flatten().filter(|at| *at == engine).count();
        let engines = 0..ENGINES;
        engines.max_by_key(count).expect("an engine")
    }

    /// Checks that all callers received their streams whole, and that no stream was sent more often than its route allows.
    async fn check_streams(
        &self,
        path: &str,
        streams: Vec<JoinHandle<CallerStream>>,
    ) -> Vec<CallerStream> {
        let mut received = Vec::new();
        for stream in streams {
            received.push(stream.await.expect("a caller"));
        }
        let unsound: Vec<_> = received
            .iter()
            .filter(|stream| !stream.is_sound())
            .map(|stream| {
                format!(
                    "{}: status {}, end {}, {} events, last {:?}",
                    stream.id,
                    stream.status,
                    stream.is_whole,
                    stream.event_ids.len(),
                    stream.event_ids.last()
                )
            })
            .collect();
        assert!(
            unsound.is_empty(),
            "{} of {STREAMS} streams are not whole, sends by engine {:?}:\n{}",
            unsound.len(),
            self.sends(path),
            unsound.join("\n")
        );
        for (id, engines) in self.sends(path) {
            assert!(
                engines.len() <= MAX_ATTEMPTS,
                "{id} was sent to engines {engines:?}"
            );
        }
        received
    }

    /// Publishes a configuration, and waits until all VMs use it.
    async fn publish_config(&self, version: u64, config: &str) {
        self.log.put("keyed.op", "config", Some(config));
        wait_for("the configuration at all VMs", async || {
            self.vms.iter().all(|vm| {
                let tables = vm.fleet().tables();
                let active = tables.active.as_ref();
                active.is_some_and(|active| active.config.version == version)
            })
        })
        .await;
    }
}

fn check_gaps(streams: &[CallerStream]) {
    for stream in streams {
        assert!(
            stream.longest_gap < CALLER_TIMEOUT,
            "{} had no event for {:?}",
            stream.id,
            stream.longest_gap
        );
    }
}

#[tokio::test]
async fn streams_are_not_cut_while_all_targets_are_silent_for_a_second() {
    let site = SilentSite::start().await;
    let streams = site.start_streams(RESUMABLE).await;
    site.silence_all().await;
    site.check_streams(RESUMABLE, streams).await;
}

#[tokio::test]
async fn streams_are_not_cut_while_some_targets_are_silent() {
    let site = SilentSite::start().await;
    let streams = site.start_streams(RESUMABLE).await;
    site.silence(&site.engines[..ENGINES / 2]).await;
    site.check_streams(RESUMABLE, streams).await;
}

/// A stream that was continued after the first silence has no send left in the second.
#[tokio::test]
async fn streams_are_not_cut_by_silences_of_different_targets_in_a_row() {
    let site = SilentSite::start().await;
    let streams = site.start_streams(RESUMABLE).await;
    let (first, second) = site.engines.split_at(ENGINES / 2);
    site.silence(first).await;
    sleep(LIVELY_TIME).await;
    site.silence(second).await;
    site.check_streams(RESUMABLE, streams).await;
}

#[tokio::test]
async fn streams_are_not_cut_by_silences_of_the_same_targets_in_a_row() {
    let site = SilentSite::start().await;
    let streams = site.start_streams(RESUMABLE).await;
    let half = &site.engines[..ENGINES / 2];
    site.silence(half).await;
    sleep(LIVELY_TIME).await;
    site.silence(half).await;
    site.check_streams(RESUMABLE, streams).await;
}

#[tokio::test]
async fn streams_are_not_cut_by_two_silences_of_all_targets() {
    let site = SilentSite::start().await;
    let streams = site.start_streams(RESUMABLE).await;
    site.silence_all().await;
    sleep(LIVELY_TIME).await;
    site.silence_all().await;
    site.check_streams(RESUMABLE, streams).await;
}

#[tokio::test]
async fn streams_are_not_cut_while_all_targets_are_silent_and_the_configuration_changes() {
    let site = SilentSite::start().await;
    let streams = site.start_streams(RESUMABLE).await;
    let changed = patient_config(2, DEADLINE_MS / 2, 2_000);
    site.publish_config(2, &changed).await;
    site.silence_all().await;
    site.check_streams(RESUMABLE, streams).await;
}

#[tokio::test]
async fn streams_that_cannot_be_resumed_are_not_cut_by_a_silence() {
    let site = SilentSite::start().await;
    let streams = site.start_streams(NOT_RESUMABLE).await;
    site.silence_all().await;
    site.check_streams(NOT_RESUMABLE, streams).await;
    let sends = site.sends(NOT_RESUMABLE);
    assert!(
        sends.values().all(|engines| engines.len() == 1),
        "{sends:?}"
    );
}

/// The targets have read the calls and wait with the heads of their answers when the silence begins.
#[tokio::test]
async fn calls_that_wait_for_a_head_are_answered_after_a_silence_of_all_targets() {
    const CALLS: usize = 6;
    let site = SilentSite::start().await;
    let paths = [RESUMABLE, NOT_RESUMABLE, "/lookup/1", "/scan/1"];
    let mut calls = Vec::new();
    for path in paths {
        for number in 0..CALLS {
            let address = site.vms[number % VMS].caller_address;
            calls.push(tokio::spawn(async move {
                let mut stream = send(address, path, &format!("{path}-{number}")).await;
                let answer = timeout(READ_TIMEOUT, read_answer(&mut stream)).await;
                (path, answer.expect("an answer"))
            }));
        }
    }
    wait_for("the calls at the targets", async || {
        let targets = site.engines.iter().chain(&site.plain);
        let requests: Vec<_> = targets.flat_map(RawTarget::requests).collect();
        let is_call = |request: &&RawRequest| {
            let mut paths = paths.iter();
            paths.any(|path| request.request_line().contains(path))
        };
        requests.iter().filter(is_call).count() == paths.len() * CALLS
    })
    .await;
    site.silence_all().await;
    let mut failures = Vec::new();
    for call in calls {
        let (path, answer) = call.await.expect("a caller");
        if answer.status != 200 || !answer.is_whole {
            failures.push(format!(
                "{path}: {}, end {}",
                answer.status, answer.is_whole
            ));
        }
    }
    assert!(
        failures.is_empty(),
        "{} of {} calls failed:\n{}",
        failures.len(),
        paths.len() * CALLS,
        failures.join("\n")
    );
}

#[tokio::test]
async fn a_stream_of_a_target_that_is_silent_for_good_continues_at_another() {
    let site = SilentSite::start().await;
    let streams = site.start_streams(RESUMABLE).await;
    site.engines[site.busiest_engine(RESUMABLE)].set_silent(true);
    let streams = site.check_streams(RESUMABLE, streams).await;
    check_gaps(&streams);
}

#[tokio::test]
async fn a_stream_of_a_target_that_is_silent_for_good_continues_once_the_others_answer_again() {
    const SILENCE_OF_OTHERS: Duration = Duration::from_secs(2);
    let site = SilentSite::start().await;
    let streams = site.start_streams(RESUMABLE).await;
    let dead = site.busiest_engine(RESUMABLE);
    site.set_all_silent(true);
    sleep(SILENCE_OF_OTHERS).await;
    for (number, engine) in site.engines.iter().enumerate() {
        engine.set_silent(number == dead);
    }
    let streams = site.check_streams(RESUMABLE, streams).await;
    check_gaps(&streams);
}

#[tokio::test]
async fn a_stream_continues_when_its_silent_target_resets_its_connections() {
    let site = SilentSite::start().await;
    let streams = site.start_streams(RESUMABLE).await;
    let dead = site.busiest_engine(RESUMABLE);
    site.engines[dead].set_silent(true);
    sleep(LIVELY_TIME).await;
    site.cuts[dead].set(IpAddr::V4(Ipv4Addr::LOCALHOST), PathState::Reset);
    let streams = site.check_streams(RESUMABLE, streams).await;
    check_gaps(&streams);
}

#[tokio::test]
async fn a_caller_that_leaves_during_a_silence_frees_its_target() {
    for path in [RESUMABLE, NOT_RESUMABLE] {
        let site = SilentSite::start().await;
        let mut stream = send(site.vms[0].caller_address, path, "r1").await;
        let mut bytes = Vec::new();
        wait_for("events", async || {
            drop(stream.read_buf(&mut bytes).await);
            String::from_utf8_lossy(&bytes).contains("id: 3\n")
        })
        .await;
        let engine = &site.engines[site.busiest_engine(path)];
        engine.set_silent(true);
        wait_for("the stream's connection alone", async || {
            engine.open_connections() == 1
        })
        .await;
        drop(stream);
        let left_at = Instant::now();
        wait_for("a closed connection", async || {
            engine.open_connections() == 0
        })
        .await;
        let elapsed = left_at.elapsed();
        assert!(elapsed < RELEASE_TIMEOUT, "{path}: {elapsed:?}");
    }
}

/// Starts a single stream, and waits until an engine has it.
async fn start_single(site: &SilentSite, path: &'static str) -> JoinHandle<CallerStream> {
    let address = site.vms[1].caller_address;
    let stream = tokio::spawn(read_stream(address, path, "r1".to_owned()));
    wait_for("the send", async || site.sends(path).len() == 1).await;
    stream
}

/// Follows the only stream of a VM; returns the longest time for which it was at two targets.
async fn longest_overlap(site: &SilentSite, stream: &JoinHandle<CallerStream>) -> Duration {
    let mut longest = Duration::ZERO;
    let mut since = None;
    while !stream.is_finished() {
        let open: u32 = site.vms[1].fleet().tables().in_flight.values().sum();
        if open > 1 {
            longest = longest.max(since.get_or_insert_with(Instant::now).elapsed());
        } else {
            since = None;
        }
        sleep(Duration::from_millis(20)).await;
    }
    longest
}

/// Guards against a call that runs at another target while its first one, which is sound, still has it.
#[tokio::test]
async fn a_call_is_not_at_two_targets_after_a_silence() {
    for (path, has_silence) in [(LONG_PAUSE, false), (LATE_HEAD, true)] {
        let site = SilentSite::start().await;
        let stream = start_single(&site, path).await;
        if has_silence {
            site.silence_all().await;
        }
        let overlap = longest_overlap(&site, &stream).await;
        let stream = stream.await.expect("a caller");
        assert!(overlap < MAX_OVERLAP, "{path}: {overlap:?}");
        assert!(stream.is_sound(), "{path}: {stream:?}");
        let sends = &site.sends(path)["r1"];
        assert!(sends.len() <= MAX_ATTEMPTS, "{path}: {sends:?}");
        assert!(sends.len() < 2 || sends[0] != sends[1], "{path}: {sends:?}");
    }
}

/// Guards against a stream that lacks its end though another target has ended it.
#[tokio::test]
async fn a_stream_whose_target_is_silent_after_the_last_event_ends_at_another() {
    let site = SilentSite::start().await;
    let stream = start_single(&site, LATE_END).await;
    let engine = site.busiest_engine(LATE_END);
    sleep(HEAD_DELAY + EVENT_INTERVAL * EVENTS + EVENT_INTERVAL * (PAUSED_AT / 2)).await;
    site.engines[engine].set_silent(true);
    let stream = stream.await.expect("a caller");
    assert!(stream.is_sound(), "{stream:?}");
    assert!(stream.longest_gap < CALLER_TIMEOUT, "{stream:?}");
}

/// Silent targets accept connections, so a VM that has not noticed the silence can connect to them for another one.
#[tokio::test]
async fn no_tunnel_is_opened_to_targets_that_are_silent_for_all_vms() {
    const CALLS: usize = 4;
    let site = SilentSite::start().await;
    let asking = &site.vms[0];
    site.set_all_silent(true);
    let mut calls = vec![(
        "first".to_owned(),
        spawn_call(asking.caller_address, NOT_RESUMABLE, "first"),
    )];
    wait_for("an answer of another VM", async || {
        tunnel_count(asking, "") > 0
    })
    .await;
    for number in 0..CALLS {
        for path in RUN_ONCE {
            let id = format!("silent-{path}-{number}");
            let call = spawn_call(asking.caller_address, path, &id);
            calls.push((id, call));
        }
        sleep(LIVELY_TIME).await;
    }
    let opened = site.vms.iter().map(|vm| tunnel_count(vm, "\"Opened\""));
    let opened: Vec<_> = opened.collect();
    site.set_all_silent(false);
    let mut failures = Vec::new();
    for (id, call) in calls {
        let answer = call.await.expect("a caller");
        let runs = site.runs(&id);
        let is_refused = answer.status == 503 && answer.has_header("retry-after: ") && runs == 0;
        let is_answered = answer.status == 200 && answer.is_whole && runs == 1;
        if !is_refused && !is_answered {
            let status = answer.status;
            failures.push(format!("{id}: status {status}, {runs} runs"));
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
    assert_eq!(opened, [0; VMS], "tunnels opened in the silence");
}

#[tokio::test]
async fn a_call_whose_silent_target_exceeds_its_deadline_is_answered_without_a_probe() {
    const TIMEOUT_MS: u64 = 1_500;
    record_lines();
    let site = SilentSite::start().await;
    let config = patient_config(2, TIMEOUT_MS, 15_000);
    site.publish_config(2, &config).await;
    site.set_all_silent(true);
    let mut calls = Vec::new();
    for path in RUN_ONCE {
        let id = format!("overdue-{path}");
        let call = spawn_call(site.vms[0].caller_address, path, &id);
        calls.push((id, call));
    }
    for (id, call) in calls {
        let answer = call.await.expect("a caller");
        assert_eq!(answer.status, 504, "{id}");
        assert_eq!(lines_of(&id, TARGET_END_UNCONFIRMED), [""; 0], "{id}");
    }
}
