//! Targets that crash if they have to reject too many requests in a second, as they state in their answers.

use crate::support::{
    good_answer, model_headers, post_request, process_runtime, seal_headers, send_request,
    start_daemon_in, start_daemon_with, start_second_vm, stream_answer, vm_settings, wait_for,
};
use hoplanding_standins::{
    keyed_log::KeyedLog,
    raw_target::{RawRequest, RawResponse, RawTarget},
};
use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};
use tokio::time::sleep;

/// Rejections in a second that the targets state as their maximum.
const MAX_REJECTIONS: usize = 6;
/// Requests that a target runs at once; fewer than its list entry states.
const ROOM: usize = 2;
/// Time that a target takes for a request.
const RUN_TIME: Duration = Duration::from_millis(100);
/// Time from the first statement until it has to be followed.
const NOTICE_TIME: Duration = Duration::from_secs(3);
/// Pause between two calls.
const CALL_INTERVAL: Duration = Duration::from_millis(8);

/// Targets of one service, which reject what they have no room for.
struct BrittleTargets {
    targets: Vec<RawTarget>,
    rejections: Vec<Arc<Mutex<Vec<Instant>>>>,
}

impl BrittleTargets {
    async fn start(count: usize) -> Self {
        let mut targets = Vec::new();
        let mut rejections = Vec::new();
        for _ in 0..count {
            let rejected = Arc::new(Mutex::new(Vec::new()));
            let running = Mutex::new(Vec::new());
            let seen = Arc::clone(&rejected);
            let target = RawTarget::start(move |request| answer(request, &running, &seen));
            targets.push(target.await.expect("a target"));
            rejections.push(rejected);
        }
        Self {
            targets,
            rejections,
        }
    }

    /// Name, service and address of each target.
    fn listed<'a>(
        &self,
        names: &'a [String],
        service: &'a str,
    ) -> Vec<(&'a str, &'a str, SocketAddr)> {
        let listed = names.iter().zip(&self.targets);
        listed
            .map(|(name, target)| (name.as_str(), service, target.address))
            .collect()
    }

    /// Largest number of rejections of one target within a second, from a time on.
    fn max_rejections(&self, from: Instant) -> usize {
        let max_of = |rejected: &Arc<Mutex<Vec<Instant>>>| {
            let mut times = rejected.lock().expect("a lock").clone();
            times.retain(|at| *at >= from);
            let counts = times.iter().map(|first| {
                let is_within =
                    |at: &&Instant| **at >= *first && **at < *first + Duration::from_secs(1);
                times.iter().filter(is_within).count()
            });
            counts.max().unwrap_or(0)
        };
        self.rejections.iter().map(max_of).max().unwrap_or(0)
    }
}

/// Runs a request if there is room for it; every answer states the maximum of rejections.
fn answer(
    request: &RawRequest,
    running: &Mutex<Vec<Instant>>,
    rejected: &Mutex<Vec<Instant>>,
) -> RawResponse {
    let is_call = request.request_line().starts_with("POST /plan/")
        || request.request_line().starts_with("POST /lookup/");
    if !is_call {
        return good_answer(request);
    }
    let statement = format!("Server-Brittle: {MAX_REJECTIONS}\r\n");
    let now = Instant::now();
    let mut running = running.lock().expect("a lock");
    running.retain(|end| *end > now);
    if running.len() >= ROOM {
        rejected.lock().expect("a lock").push(now);
        let headers = format!("{}Hoplanding-Not-Executed: 1\r\n", seal_headers(request));
        return RawResponse::complete("503 Service Unavailable", &headers, "")
            .with_header(&statement);
    }
    running.push(now + RUN_TIME);
    let is_stream = request.request_line().contains("/plan/");
    let mut answer = if is_stream {
        stream_answer(request, None)
    } else {
        good_answer(request)
    };
    answer.pieces[0].0 = RUN_TIME;
    answer.with_header(&statement)
}

/// Sends calls to the VMs in turn for a time; returns how many were served.
async fn send_calls(addresses: &[SocketAddr], path: &str, time: Duration) -> usize {
    let began = Instant::now();
    let mut sent = Vec::new();
    while began.elapsed() < time {
        let address = addresses[sent.len() % addresses.len()];
        let id = format!("call-{:?}-{}", began.elapsed(), sent.len());
        let request = post_request(path, &id, &model_headers("a1"));
        sent.push(tokio::spawn(async move {
            send_request(address, &request).await
        }));
        sleep(CALL_INTERVAL).await;
    }
    let mut served = 0;
    for call in sent {
        served += usize::from(call.await.is_ok_and(|answer| answer.status == 200));
    }
    served
}

/// Sends more calls than two targets have room for, and checks rejections and service after the notice time.
async fn check_overload(service: &str, path: &str) {
    let log = KeyedLog::start().await.expect("a log");
    let brittle = BrittleTargets::start(2).await;
    let names = ["t-1", "t-2"].map(str::to_owned);
    let listed = brittle.listed(&names, service);
    let first = start_daemon_with(vm_settings("vm-1", &log), &log, &listed).await;
    let (second, _relay) = start_second_vm(&log).await;
    let addresses = [first.caller_address, second.caller_address];
    send_calls(&addresses, path, NOTICE_TIME).await;
    let from = Instant::now();
    let time = Duration::from_secs(3);
    let served = send_calls(&addresses, path, time).await;
    let possible = 2 * ROOM * (time.as_millis() / RUN_TIME.as_millis()) as usize;
    let rejections = brittle.max_rejections(from);
    assert!(rejections <= MAX_REJECTIONS, "{rejections} in a second");
    assert!(served * 2 >= possible, "{served} served of {possible}");
}

/// More calls than the targets have room for come to a plain service.
#[tokio::test]
async fn a_brittle_plain_target_is_not_made_to_reject_more_than_it_states() {
    check_overload("ledger", "/lookup/1").await;
}

/// More calls than the engines have room for come to a service with engines.
#[tokio::test]
async fn a_brittle_engine_is_not_made_to_reject_more_than_it_states() {
    check_overload("scribe", "/plan/1").await;
}

/// The next holder knows neither the calls that still run nor how much room the targets have.
#[tokio::test]
async fn the_successor_of_a_killed_holder_does_not_overload_brittle_targets() {
    let log = KeyedLog::start().await.expect("a log");
    let brittle = BrittleTargets::start(2).await;
    let names = ["t-1", "t-2"].map(str::to_owned);
    let listed = brittle.listed(&names, "ledger");
    let survivor = start_daemon_with(vm_settings("vm-1", &log), &log, &listed).await;
    let process = process_runtime();
    let mut settings = vm_settings("vm-2", &log);
    settings.cpu_millicores = 2_000;
    let holder = start_daemon_in(&process, settings).await;
    let addresses = [survivor.caller_address];
    send_calls(&addresses, "/lookup/1", NOTICE_TIME).await;
    let from = Instant::now();
    let calls = send_calls(&addresses, "/lookup/1", Duration::from_secs(3));
    let kill = async {
        sleep(Duration::from_millis(500)).await;
        drop(holder);
        process.shutdown_background();
    };
    let (served, ()) = tokio::join!(calls, kill);
    wait_for("a successor", async || {
        let lease = survivor.fleet().lease(&survivor.fleet().zone);
        lease.is_some_and(|lease| lease.vm.as_ref() == Some(&survivor.fleet().vm))
    })
    .await;
    let rejections = brittle.max_rejections(from);
    assert!(rejections <= MAX_REJECTIONS, "{rejections} in a second");
    assert!(served > 0);
}
