//! Targets that answer without end, before real processes with 160 MB of memory.

use crate::support::{
    config_json, good_answer, model_headers, post_request, send_request, target_entry,
    vm_settings_json, wait_for,
};
use futures_util::future::join_all;
use hoplanding_core::direct::answer_budget::BufferRule;
use hoplanding_platform::store::{StoreClient, StoreError};
use hoplanding_standins::{
    endless_target::{EndlessForm, EndlessTarget},
    keyed_log::KeyedLog,
    path_cuts::{PathCuts, PathState},
    raw_target::RawTarget,
};
use hoplandingd::direct::answer_buffers::{AnswerBuffers, BufferFault};
use serde_json::{Value, json};
use std::{
    fs,
    io::{BufRead, BufReader},
    net::{IpAddr, SocketAddr},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};
use tokio::time::Instant;

const MAX_RESIDENT_KB: usize = 160 * 1024;
/// Endless targets, with eight slots each.
const ENDLESS_TARGETS: usize = 4;
const CALLS: usize = 32;
/// Time within which endless answers end, well before the call's deadline of 5 s. The debug build reads 16 MiB an answer.
const MAX_HELD: Duration = Duration::from_secs(4);

/// A daemon in a process of its own, which is killed when dropped.
struct DaemonProcess {
    child: Child,
    caller_address: SocketAddr,
    lines: Arc<Mutex<Vec<String>>>,
}

impl DaemonProcess {
    async fn start(name: &str, log: &KeyedLog) -> Self {
        Self::start_with(name, vm_settings_json("vm-1", log)).await
    }

    async fn start_with(name: &str, settings: Value) -> Self {
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
        let path = folder.join(format!("unbounded-{name}.json"));
        fs::write(&path, settings.to_string()).expect("the target folder is writable");
        let mut child = Command::new(env!("CARGO_BIN_EXE_hoplandingd"))
            .arg("--config")
            .arg(&path)
            .stdout(Stdio::piped())
            .stderr(Stdio::inherit())
            .spawn()
            .expect("the binary runs");
        let lines = Arc::new(Mutex::new(Vec::new()));
        let output = BufReader::new(child.stdout.take().expect("a pipe"));
        let read = Arc::clone(&lines);
        thread::spawn(move || {
            for line in output.lines().map_while(Result::ok) {
                read.lock().expect("no panic").push(line);
            }
        });
        let address = || {
            let lines = lines.lock().expect("no panic");
            let (_, rest) = lines.iter().find_map(|line| line.split_once("callers "))?;
            rest.split(',').next()?.parse::<SocketAddr>().ok()
        };
        wait_for("the caller address", async || address().is_some()).await;
        let caller_address = address().expect("an address");
        Self {
            child,
            caller_address,
            lines,
        }
    }

    fn count_lines(&self, event: u64) -> usize {
        let lines = self.lines.lock().expect("no panic");
        let event = format!("\"event\":{event},");
        lines.iter().filter(|line| line.contains(&event)).count()
    }

    /// Largest resident memory since the start, in kilobytes.
    fn peak_kb(&self) -> usize {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.expect("the process runs");
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let peak = peak.expect("a peak").trim_end_matches("kB").trim();
        peak.parse().expect("a number")
    }
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        // A process that has ended already is what a failed test is about.
        drop(self.child.kill());
        drop(self.child.wait());
    }
}

/// Sends this number of requests at once to targets that answer in this form; returns how long they were held.
async fn send_at_once(
    daemon: &DaemonProcess,
    form: EndlessForm,
    count: usize,
    request: impl Fn(&str) -> String,
) -> Duration {
    let begun = Instant::now();
    let calls = (0..count).map(|call| {
        let request = request(&format!("r{call}"));
        async move { send_request(daemon.caller_address, &request).await }
    });
    let answers = join_all(calls).await;
    let held = begun.elapsed();
    assert!(held < MAX_HELD, "{form:?}: held for {held:?}");
    for answer in &answers {
        let is_refused = matches!(answer.status, 502 | 503);
        assert!(
            is_refused || !answer.is_whole,
            "{form:?}: {}",
            answer.status
        );
    }
    held
}

/// Sends concurrent calls to targets of `service` that all answer in this form, then lists a good target and calls that.
async fn play(form: EndlessForm, service: &str, path: &str) -> (DaemonProcess, usize) {
    let log = KeyedLog::start().await.expect("a log");
    log.put("keyed.op", "config", Some(&config_json(1)));
    let mut targets = Vec::new();
    for number in 0..ENDLESS_TARGETS {
        let target = EndlessTarget::start(form).await.expect("a target");
        let entry = target_entry(service, target.address, "ready", &["a1@1"]);
        log.put("keyed.servers", &format!("i-{number}"), Some(&entry));
        targets.push(target);
    }
    let daemon = DaemonProcess::start(&format!("{service}-{form:?}"), &log).await;
    wait_for("a call that reaches a target", async || {
        let request = post_request(path, "first", &model_headers("a1"));
        let answer = send_request(daemon.caller_address, &request).await;
        answer.status != 503
    })
    .await;
    let held = send_at_once(&daemon, form, CALLS, |id| {
        post_request(path, id, &model_headers("a1"))
    })
    .await;
    let good = RawTarget::start(good_answer).await.expect("a target");
    let entry = target_entry("ledger", good.address, "ready", &[]);
    log.put("keyed.servers", "i-good", Some(&entry));
    wait_for("a call that is served", async || {
        let request = post_request("/lookup/1", "last", "");
        let answer = send_request(daemon.caller_address, &request).await;
        answer.status == 200
    })
    .await;
    let written = targets.iter().map(EndlessTarget::written).sum();
    let peak = daemon.peak_kb();
    println!("{service} {form:?}: held {held:?}, peak {peak} kB, written {written} bytes");
    assert!(peak < MAX_RESIDENT_KB, "{form:?}: {peak} kB");
    (daemon, written)
}

/// Guards against a VM that ends for want of memory, or holds calls until their deadline.
#[tokio::test(flavor = "multi_thread")]
async fn plain_targets_that_answer_without_end_do_not_take_the_memory_of_a_vm() {
    for form in EndlessForm::ALL {
        let (daemon, _) = play(form, "ledger", "/lookup/1").await;
        let is_interim = form == EndlessForm::InterimHeads;
        assert_eq!(
            daemon.count_lines(841) > 0,
            is_interim || is_body(form),
            "{form:?}"
        );
        if form == EndlessForm::Body {
            assert!(daemon.count_lines(842) > 0);
        }
    }
}

fn is_body(form: EndlessForm) -> bool {
    matches!(
        form,
        EndlessForm::Body | EndlessForm::TinyChunks | EndlessForm::UnframedBody
    )
}

/// Guards against an end of long streams whose pieces never end with an event.
#[test]
fn pieces_are_counted_from_the_last_complete_event() {
    let buffers = Arc::new(AnswerBuffers::new(BufferRule::default()));
    let mut stream = buffers.reserve();
    for piece in 0..10_000 {
        stream
            .record_piece(1 + piece % 7, true)
            .expect("whole events");
    }
    let ended = (0..10_000).find_map(|piece| stream.record_piece(2 + piece, false).err());
    assert!(matches!(ended, Some(BufferFault::SmallPieces { .. })));
    drop(stream);
    assert_eq!(buffers.total_bytes(), 0);
}

/// Guards against a log whose answers take the memory or the processor of a VM until the call's time limit.
#[tokio::test]
async fn answers_of_the_log_without_end_are_errors() {
    let time_limit = Duration::from_secs(20);
    for form in EndlessForm::ALL {
        let log = EndlessTarget::start(form).await.expect("a target");
        let mut client = StoreClient::new(log.address);
        let listed = client.newest_page("keyed.op", None, time_limit).await;
        let Err(StoreError::NoAnswer(cause)) = listed else {
            panic!("{form:?}: {listed:?}");
        };
        assert!(!cause.starts_with("timeout"), "{form:?}: {cause}");
    }
}

/// Engines answer reports and orders without end as well, and streams with one event.
#[tokio::test(flavor = "multi_thread")]
async fn engines_that_answer_without_end_do_not_take_the_memory_of_a_vm() {
    for form in [
        EndlessForm::InterimHeads,
        EndlessForm::Body,
        EndlessForm::TinyChunks,
    ] {
        let (daemon, _) = play(form, "scribe", "/plan/1").await;
        assert!(daemon.count_lines(841) > 0, "{form:?}");
    }
}

/// Guards against a stream that goes on without end at the target that takes it over.
#[tokio::test(flavor = "multi_thread")]
async fn streams_that_are_resumed_at_endless_targets_do_not_take_the_memory_of_a_vm() {
    for form in [EndlessForm::InterimHeads, EndlessForm::Body] {
        let (daemon, _) = play(form, "scribe", "/resumed/1").await;
        assert!(daemon.count_lines(841) > 0, "{form:?}");
    }
}

/// Guards against answers without end that come while the body of the request is still being sent.
#[tokio::test(flavor = "multi_thread")]
async fn targets_that_answer_without_end_before_they_read_the_request_do_not_take_the_memory_of_a_vm()
 {
    const BODY_BYTES: usize = 4 << 20;
    for form in [
        EndlessForm::HeaderLines,
        EndlessForm::Body,
        EndlessForm::UnframedBody,
    ] {
        let log = KeyedLog::start().await.expect("a log");
        let config = config_json(1).replace("100000", &BODY_BYTES.to_string());
        log.put("keyed.op", "config", Some(&config));
        let target = EndlessTarget::start(form).await.expect("a target");
        let entry = target_entry("ledger", target.address, "ready", &[]);
        log.put("keyed.servers", "i-1", Some(&entry));
        let daemon = DaemonProcess::start(&format!("upload-{form:?}"), &log).await;
        wait_for("a call that reaches the target", async || {
            let request = post_request("/lookup/1", "first", "");
            send_request(daemon.caller_address, &request).await.status == 502
        })
        .await;
        let held = send_at_once(&daemon, form, 8, |id| {
            let head = post_request("/lookup/1", id, "").replace(
                "Content-Length: 4\r\n\r\nbody",
                &format!("Content-Length: {BODY_BYTES}\r\n\r\n"),
            );
            head + &"x".repeat(BODY_BYTES)
        })
        .await;
        let peak = daemon.peak_kb();
        println!("upload {form:?}: held {held:?}, peak {peak} kB");
        assert!(peak < MAX_RESIDENT_KB, "{form:?}: {peak} kB");
    }
}

/// Guards against answers without end that pile up at a VM that forwards them, or at the one that receives them.
#[tokio::test(flavor = "multi_thread")]
async fn answers_without_end_through_a_tunnel_do_not_take_the_memory_of_either_vm() {
    for form in [
        EndlessForm::InterimHeads,
        EndlessForm::Body,
        EndlessForm::TinyChunks,
    ] {
        let log = KeyedLog::start().await.expect("a log");
        log.put("keyed.op", "config", Some(&config_json(1)));
        let cuts = Arc::new(PathCuts::default());
        let mut targets = Vec::new();
        for number in 0..ENDLESS_TARGETS {
            let target = EndlessTarget::start_behind(&cuts, form).await;
            let target = target.expect("a target");
            let entry = target_entry("ledger", target.address, "ready", &[]);
            log.put("keyed.servers", &format!("i-{number}"), Some(&entry));
            targets.push(target);
        }
        // Their answers show whether there is a path to the zone.
        let mut engines = Vec::new();
        for name in ["e-1", "e-2"] {
            let engine = RawTarget::start_behind(&cuts, good_answer).await;
            let engine = engine.expect("an engine");
            let entry = target_entry("scribe", engine.address, "ready", &["a1@1"]);
            log.put("keyed.servers", name, Some(&entry));
            engines.push(engine);
        }
        let start = async |vm: &str, source: &str| {
            let mut settings = vm_settings_json(vm, &log);
            settings["target_source_address"] = json!(source);
            DaemonProcess::start_with(&format!("tunnel-{vm}-{form:?}"), settings).await
        };
        let helper = start("vm-2", "127.0.0.32").await;
        let daemon = start("vm-1", "127.0.0.31").await;
        let written = || targets.iter().map(EndlessTarget::written).sum::<usize>();
        cuts.set(IpAddr::from([127, 0, 0, 31]), PathState::Hanging);
        wait_for("a call through a tunnel", async || {
            let request = post_request("/plan/1", "warm-up", &model_headers("a1"));
            send_request(daemon.caller_address, &request).await.status == 200
        })
        .await;
        let before = written();
        let request = |id: &str| post_request("/lookup/1", id, "");
        let held = send_at_once(&daemon, form, CALLS, request).await;
        assert!(written() > before, "{form:?}: no call reached a target");
        for (vm, process) in [("receives", &daemon), ("forwards", &helper)] {
            let peak = process.peak_kb();
            println!("tunnel {form:?}: held {held:?}, {vm}, peak {peak} kB");
            assert!(peak < MAX_RESIDENT_KB, "{form:?}: {vm}, {peak} kB");
        }
    }
}
