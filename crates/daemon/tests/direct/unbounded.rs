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
    raw_target::RawTarget,
};
use hoplandingd::direct::answer_buffers::{AnswerBuffers, BufferFault};
use std::{
    fs,
    io::{BufRead, BufReader},
    net::SocketAddr,
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
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
        let path = folder.join(format!("unbounded-{name}.json"));
        let settings = vm_settings_json("vm-1", log);
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
    let begun = Instant::now();
    let calls = (0..CALLS).map(|call| {
        let request = post_request(path, &format!("r{call}"), &model_headers("a1"));
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
