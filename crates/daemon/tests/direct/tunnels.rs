//! Calls of a VM without a path to targets, which reach them through a tunnel of another VM.

use crate::keys::{KEY, keyed_config, test_organisation};
use crate::log_recorder::{lines_of, record_lines};
use crate::support::{
    Answer, chunk, config_json, decode_chunked, good_answer, is_ready, model_headers, post_request,
    process_runtime, read_answer, send_request, stream_answer, stream_event, stream_head,
    target_entry, vm_settings, wait_for,
};
use hoplanding_standins::{
    keyed_log::KeyedLog,
    path_cuts::{PathCuts, PathState},
    raw_target::{RawRequest, RawResponse, RawTarget},
};
use hoplandingd::direct::daemon::DirectDaemon;
use serde_json::json;
use std::{
    net::{IpAddr, Ipv4Addr},
    sync::Arc,
    time::Duration,
};
use tokio::{io::AsyncWriteExt, net::TcpStream, runtime::Runtime, task::JoinHandle, time::sleep};

const CUT_VM: IpAddr = IpAddr::V4(Ipv4Addr::new(127, 0, 0, 21));
const HELPER_VM: IpAddr = IpAddr::V4(Ipv4Addr::new(127, 0, 0, 22));
/// Event of an answer that ended early.
const ANSWER_BROKEN: u64 = 814;
/// Largest body that the configuration permits.
const MAX_BODY_BYTES: usize = 100_000;

/// A process that is killed when dropped, as a runtime can't be dropped inside another one.
struct ProcessGuard(Option<Runtime>);

impl ProcessGuard {
    fn runtime(&self) -> &Runtime {
        self.0.as_ref().expect("present until dropped")
    }
}

impl Drop for ProcessGuard {
    fn drop(&mut self) {
        if let Some(runtime) = self.0.take() {
            runtime.shutdown_background();
        }
    }
}

/// Two VMs and two targets of each service. The first VM has lost its path to them.
pub struct TunnelSite {
    log: KeyedLog,
    cuts: Arc<PathCuts>,
    cut_vm: DirectDaemon,
    helper: DirectDaemon,
    /// The helper's process.
    process: ProcessGuard,
    targets: Vec<RawTarget>,
}

impl TunnelSite {
    pub async fn start(
        answer: impl Fn(&RawRequest) -> RawResponse + Clone + Send + Sync + 'static,
    ) -> Self {
        let log = KeyedLog::start().await.expect("a log");
        let cuts = Arc::new(PathCuts::default());
        let mut targets = Vec::new();
        for (number, service) in ["scribe", "scribe", "ledger", "ledger"].iter().enumerate() {
            let target = RawTarget::start_behind(&cuts, answer.clone()).await;
            let target = target.expect("a target");
            let entry = target_entry(service, target.address, "ready", &["a1@1"]);
            log.put("keyed.servers", &format!("t-{number}"), Some(&entry));
            targets.push(target);
        }
        log.put("keyed.op", "config", Some(&config_json(1)));
        let mut settings = vm_settings("vm-1", &log);
        settings.target_source_address = Some(CUT_VM);
        let cut_vm = DirectDaemon::start(settings).await;
        let cut_vm = cut_vm.expect("the daemon starts");
        let process = ProcessGuard(Some(process_runtime()));
        let mut settings = vm_settings("vm-2", &log);
        settings.target_source_address = Some(HELPER_VM);
        let helper = process.runtime().spawn(DirectDaemon::start(settings)).await;
        let helper = helper.expect("a task").expect("the daemon starts");
        wait_for("both ready and known", async || {
            let are_ready = is_ready(&cut_vm).await && is_ready(&helper).await;
            are_ready && cut_vm.fleet().tables().vms.len() == 2
        })
        .await;
        cuts.set(CUT_VM, PathState::Hanging);
        let site = Self {
            log,
            cuts,
            cut_vm,
            helper,
            process,
            targets,
        };
        wait_for("a call through a tunnel", async || {
            let request = post_request("/lookup/0", "warm-up", "");
            site.send(&request).await.status == 200
        })
        .await;
        site
    }

    pub async fn send(&self, request: &str) -> Answer {
        send_request(self.cut_vm.caller_address, request).await
    }

    /// Starts a stream at the VM without a path, and waits until a target runs it.
    async fn start_stream(&self, path: &str) -> JoinHandle<Answer> {
        let request = post_request(path, "stream", &model_headers("a1"));
        let address = self.cut_vm.caller_address;
        let running = tokio::spawn(async move { send_request(address, &request).await });
        wait_for("the stream's start", async || self.runs("stream") > 0).await;
        running
    }

    /// Number of times that targets received a request.
    fn runs(&self, id: &str) -> usize {
        let requests = self.targets.iter().flat_map(RawTarget::requests);
        let has_id = |request: &RawRequest| request.header("hoplanding-request-id") == Some(id);
        requests.filter(has_id).count()
    }

    fn open_connections(&self) -> usize {
        self.targets.iter().map(RawTarget::open_connections).sum()
    }
}

/// Events of a stream, with a pause before each.
fn slow_stream(request: &RawRequest) -> RawResponse {
    if !request.request_line().contains("/plan/") {
        return good_answer(request);
    }
    let mut answer = stream_answer(request, None);
    for (pause, _) in answer.pieces.iter_mut().skip(1) {
        *pause = Duration::from_millis(150);
    }
    answer
}

/// The helping VM loses its own connection to the target. Without framing, only the broken connection shows that the answer
/// is not complete.
#[tokio::test]
async fn an_unframed_answer_that_breaks_behind_a_tunnel_does_not_look_complete() {
    record_lines();
    let site = TunnelSite::start(|request: &RawRequest| {
        if !request.request_line().contains("/scan/") {
            return good_answer(request);
        }
        let head = String::from_utf8(stream_head(request)).expect("text");
        let head = head.replace("Transfer-Encoding: chunked\r\n", "");
        RawResponse {
            pieces: vec![
                (Duration::ZERO, format!("{head}first half").into_bytes()),
                (Duration::from_secs(30), b"second half".to_vec()),
            ],
            closes_connection: true,
        }
    })
    .await;
    let request = post_request("/scan/1", "half", "");
    let address = site.cut_vm.caller_address;
    let running = tokio::spawn(async move { send_request(address, &request).await });
    wait_for("the call's start", async || site.runs("half") > 0).await;
    sleep(Duration::from_millis(100)).await;
    site.cuts.set(HELPER_VM, PathState::Reset);
    let answer = running.await.expect("an answer");
    assert_eq!(answer.status, 502, "{}", answer.head);
    assert_eq!(site.runs("half"), 1);
    let lines = lines_of("half", ANSWER_BROKEN);
    let forwarder = format!(" through VM {}: ", site.helper.fleet().vm);
    assert!(
        lines.iter().any(|line| line.contains(&forwarder)),
        "{lines:?}"
    );
}

/// The caller closes its connection while a target works for it behind a tunnel.
#[tokio::test]
async fn a_caller_that_leaves_ends_its_call_behind_a_tunnel() {
    let site = TunnelSite::start(|request: &RawRequest| {
        if !request.request_line().contains("/plan/") {
            return good_answer(request);
        }
        let mut pieces = vec![(Duration::ZERO, stream_head(request))];
        let events = (1..=400).map(|id| (Duration::from_millis(50), chunk(&stream_event(id))));
        pieces.extend(events);
        RawResponse {
            pieces,
            closes_connection: false,
        }
    })
    .await;
    // A path that hangs would also hold up the ends of connections.
    site.cuts.set(CUT_VM, PathState::Reset);
    wait_for("idle targets", async || site.open_connections() == 0).await;
    let mut caller = TcpStream::connect(site.cut_vm.caller_address)
        .await
        .expect("a connection");
    let request = post_request("/plan/1", "left", &model_headers("a1"));
    caller
        .write_all(request.as_bytes())
        .await
        .expect("the request is sent");
    wait_for("the stream's start", async || site.runs("left") > 0).await;
    drop(caller);
    wait_for("the end of the call at its target", async || {
        site.open_connections() == 0
    })
    .await;
}

/// A killed VM breaks the tunnels that it serves; whether the call ran is then unknown.
#[tokio::test]
async fn a_call_runs_once_although_the_vm_of_its_tunnel_is_killed() {
    let site = TunnelSite::start(slow_stream).await;
    let running = site.start_stream("/plan/1").await;
    drop(site.helper);
    drop(site.process);
    let answer = running.await.expect("an answer");
    assert!(!answer.is_whole);
    let requests = site.targets.iter().flat_map(RawTarget::requests);
    let is_stream =
        |request: &RawRequest| request.header("hoplanding-request-id") == Some("stream");
    assert_eq!(requests.filter(is_stream).count(), 1);
}

/// A planned stop of the VM that serves a tunnel must not break the call in it, and no call may begin there late.
#[tokio::test]
async fn a_planned_stop_finishes_the_tunnels_of_other_vms() {
    let site = TunnelSite::start(slow_stream).await;
    let running = site.start_stream("/plan/1").await;
    let helper = site.helper;
    let stopping = site.process.runtime().spawn(helper.stop());
    let answer = running.await.expect("an answer");
    assert!(answer.is_whole, "{}", answer.head);
    assert_eq!(answer.status, 200);
    stopping.await.expect("the stop ends");
}

/// A large body is sent in many messages of the tunnel.
#[tokio::test]
async fn a_body_of_the_largest_size_passes_through_a_tunnel_unchanged() {
    let site = TunnelSite::start(good_answer).await;
    let body: String = (0..MAX_BODY_BYTES)
        .map(|index| char::from(b'a' + (index % 26) as u8))
        .collect();
    let head = post_request("/scan/1", "large", "").replace(
        "Content-Length: 4\r\n\r\nbody",
        &format!("Content-Length: {MAX_BODY_BYTES}\r\n\r\n"),
    );
    let answer = site.send(&format!("{head}{body}")).await;
    assert_eq!(answer.status, 200, "{}", answer.head);
    let requests = site.targets.iter().flat_map(RawTarget::requests);
    let received: Vec<_> = requests
        .filter(|request| request.header("hoplanding-request-id") == Some("large"))
        .collect();
    assert_eq!(received.len(), 1);
    assert!(received[0].body == body.as_bytes(), "the body was changed");
}

/// Key and quota are checked by the VM that the caller asked, and the organisation's name goes with the call.
#[tokio::test]
async fn a_keyed_call_through_a_tunnel_runs_for_its_organisation() {
    let site = TunnelSite::start(good_answer).await;
    let organisations = json!([test_organisation(&["k1"])]);
    let config = keyed_config(2, &organisations);
    site.log.put("keyed.op", "config", Some(&config));
    wait_for("the keyed configuration", async || {
        let active = site.cut_vm.fleet().active();
        active.is_some_and(|active| active.config.version == 2)
    })
    .await;
    let refused = site.send(&post_request("/scan/1", "no-key", "")).await;
    assert_eq!(refused.status, 401);
    let served = site.send(&post_request("/scan/1", "keyed", KEY)).await;
    assert_eq!(served.status, 200, "{}", served.head);
    let requests = site.targets.iter().flat_map(RawTarget::requests);
    let organisations: Vec<_> = requests
        .filter(|request| request.header("hoplanding-request-id") == Some("keyed"))
        .map(|request| request.header("hoplanding-tenant").map(str::to_owned))
        .collect();
    assert_eq!(organisations, [Some("mill".to_owned())]);
    assert_eq!(site.runs("no-key"), 0);
}

/// The path is lost in the middle of a stream that may be resumed.
#[tokio::test]
async fn a_resumable_stream_goes_on_through_a_tunnel_when_its_path_is_lost() {
    let site = TunnelSite::start(|request: &RawRequest| {
        let mut answer = stream_answer(request, None);
        if request.request_line().contains("/resumed/") {
            for (pause, _) in answer.pieces.iter_mut().skip(1) {
                *pause = Duration::from_millis(100);
            }
        }
        answer
    })
    .await;
    site.cuts.open_all();
    wait_for("the path's return", async || {
        let request = post_request("/resumed/0", "direct", &model_headers("a1"));
        site.send(&request).await.status == 200 && site.open_connections() > 0
    })
    .await;
    let mut caller = TcpStream::connect(site.cut_vm.caller_address)
        .await
        .expect("a connection");
    let request = post_request("/resumed/1", "resumed", &model_headers("a1"));
    caller
        .write_all(request.as_bytes())
        .await
        .expect("the request is sent");
    wait_for("the stream's start", async || site.runs("resumed") > 0).await;
    sleep(Duration::from_millis(150)).await;
    site.cuts.set(CUT_VM, PathState::Hanging);
    let answer = read_answer(&mut caller).await;
    assert!(answer.is_whole, "{}", answer.head);
    let events: String = (1..=6).map(stream_event).collect();
    assert_eq!(decode_chunked(&answer.body), events);
}
