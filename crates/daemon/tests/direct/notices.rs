//! Notices that targets give about themselves in answers: `Server-Leaving`, and `Retry-After` to ask a VM to back off.

use crate::support::{
    Answer, config_json, good_answer, model_headers, post_request, seal_headers, send_request,
    send_requests, start_daemon_with, start_second_vm, stream_answer, target_entry, vm_settings,
    wait_for,
};
use futures_util::future::join_all;
use hoplanding_standins::{
    keyed_log::KeyedLog,
    raw_target::{RawRequest, RawResponse, RawTarget},
};
use hoplandingd::direct::daemon::DirectDaemon;
use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};
use tokio::time::sleep;

const LEAVING: &str = "Server-Leaving: 1\r\n";
/// Backoff that a target requests.
const BACKOFF: Duration = Duration::from_secs(3);
/// Time after the first request within which others may have been sent before its answer.
const IN_FLIGHT_ALLOWANCE: Duration = Duration::from_millis(500);
/// Requests that one VM may send to a target during the backoff.
const MAX_DURING_BACKOFF: usize = 2;

fn is_call(request: &RawRequest) -> bool {
    request.request_line().starts_with("POST /lookup/")
        || request.request_line().starts_with("POST /plan/")
}

/// Calls that reached a target, with time and request id.
#[derive(Clone, Default)]
struct ArrivalLog(Arc<Mutex<Vec<(Instant, String)>>>);

impl ArrivalLog {
    fn note(&self, request: &RawRequest) {
        if is_call(request) {
            let id = request.header("hoplanding-request-id").unwrap_or_default();
            let mut arrivals = self
                .0
                .lock()
                .expect("no thread panics while it holds the lock");
            arrivals.push((Instant::now(), id.to_owned()));
        }
    }

    fn count(&self) -> usize {
        self.0
            .lock()
            .expect("no thread panics while it holds the lock")
            .len()
    }

    /// Calls of a VM during the backoff that its first call was answered with.
    fn during_backoff(&self, vm: &str) -> usize {
        let arrivals = self
            .0
            .lock()
            .expect("no thread panics while it holds the lock");
        let of_vm: Vec<_> = arrivals
            .iter()
            .filter(|(_, id)| id.starts_with(vm))
            .collect();
        let Some((first, _)) = of_vm.first() else {
            return 0;
        };
        let backoff = *first + IN_FLIGHT_ALLOWANCE..*first + BACKOFF;
        of_vm.iter().filter(|(at, _)| backoff.contains(at)).count()
    }
}

fn rejection(request: &RawRequest, retry_after: &str) -> RawResponse {
    let id = request.header("hoplanding-request-id").unwrap_or_default();
    let headers = format!(
        "Hoplanding-Request-Id: {id}\r\nHoplanding-Not-Executed: 1\r\nRetry-After: {retry_after}\r\n"
    );
    RawResponse::complete("503 Service Unavailable", &headers, "")
}

/// A target that answers calls by `answer`, and all other requests with success.
async fn target(
    log: &ArrivalLog,
    answer: impl Fn(&RawRequest) -> RawResponse + Send + Sync + 'static,
) -> RawTarget {
    let log = log.clone();
    let target = RawTarget::start(move |request: &RawRequest| {
        log.note(request);
        if is_call(request) {
            answer(request)
        } else {
            good_answer(request)
        }
    });
    target.await.expect("a target")
}

/// A successful answer to a plain call or a stream.
fn success(request: &RawRequest) -> RawResponse {
    if request.request_line().contains("/plan/") {
        stream_answer(request, None)
    } else {
        good_answer(request)
    }
}

/// Sends calls concurrently, so that every target gets some.
async fn send_at_once(address: SocketAddr, path: &str, headers: &str) -> Vec<Answer> {
    let asked = (0..12).map(|number| {
        let request = post_request(path, &format!("first-{number}"), headers);
        async move { send_request(address, &request).await }
    });
    join_all(asked).await
}

fn count_served(answers: &[Answer]) -> usize {
    answers.iter().filter(|answer| answer.status == 200).count()
}

/// Two targets of a service behind one VM: `i-1` answers calls by `answer`, `i-2` with success.
async fn start_pair(
    log: &KeyedLog,
    service: &str,
    arrivals: &ArrivalLog,
    answer: impl Fn(&RawRequest) -> RawResponse + Send + Sync + 'static,
) -> (DirectDaemon, [RawTarget; 2]) {
    let named = target(arrivals, answer).await;
    let other = target(&ArrivalLog::default(), success).await;
    let listed = [
        ("i-1", service, named.address),
        ("i-2", service, other.address),
    ];
    let daemon = start_daemon_with(vm_settings("vm-1", log), log, &listed).await;
    (daemon, [named, other])
}

/// An entry written after the announcement still has the state `ready`, and must not bring the target back into use.
#[tokio::test]
async fn a_target_that_announces_leaving_gets_no_calls_although_listed_as_ready() {
    for (service, path, headers) in [
        ("ledger", "/lookup/1", String::new()),
        ("scribe", "/plan/1", model_headers("a1")),
    ] {
        let log = KeyedLog::start().await.expect("a log");
        let arrivals = ArrivalLog::default();
        let (daemon, targets) = start_pair(&log, service, &arrivals, |request| {
            success(request).with_header(LEAVING)
        })
        .await;
        let address = [daemon.caller_address];
        wait_for("a call at the leaving target", async || {
            send_at_once(address[0], path, &headers).await;
            arrivals.count() > 0
        })
        .await;
        let before = arrivals.count();
        // The entry is written again with the same state.
        let mut text = target_entry(service, targets[0].address, "ready", &["a1@1"]);
        text = text.replace("\"slots\":8", "\"slots\":9");
        log.put("keyed.servers", "i-1", Some(&text));
        sleep(Duration::from_millis(200)).await;
        let answers = send_requests(&address, path, &headers, 50).await;
        assert_eq!(arrivals.count() - before, 0, "{service}");
        assert_eq!(count_served(&answers), answers.len(), "{service}");
    }
}

#[tokio::test]
async fn a_target_may_announce_leaving_in_answers_of_every_kind() {
    type MakeAnswer = fn(&RawRequest) -> RawResponse;
    let kinds: [(&str, MakeAnswer); 3] = [
        ("a failure", |request| {
            RawResponse::complete("500 Internal Server Error", &seal_headers(request), "")
        }),
        ("a refusal", |request| rejection(request, "0")),
        ("a success", good_answer),
    ];
    for (kind, make) in kinds {
        let log = KeyedLog::start().await.expect("a log");
        let arrivals = ArrivalLog::default();
        let answer = move |request: &RawRequest| make(request).with_header(LEAVING);
        let (daemon, _targets) = start_pair(&log, "ledger", &arrivals, answer).await;
        wait_for(kind, async || {
            send_at_once(daemon.caller_address, "/lookup/1", "").await;
            arrivals.count() > 0
        })
        .await;
        assert!(daemon.fleet().is_leaving("i-1"), "{kind}");
        assert!(!daemon.fleet().is_leaving("i-2"), "{kind}");
    }
}

#[tokio::test]
async fn an_engine_may_announce_leaving_in_its_report() {
    let log = KeyedLog::start().await.expect("a log");
    let engine = RawTarget::start(|request: &RawRequest| good_answer(request).with_header(LEAVING));
    let engine = engine.await.expect("an engine");
    let listed = [("e-1", "scribe", engine.address)];
    let daemon = start_daemon_with(vm_settings("vm-1", &log), &log, &listed).await;
    wait_for("the report", async || daemon.fleet().is_leaving("e-1")).await;
}

/// Another target may have taken over the address. Its answers show it by status 421 or by the id of another request.
#[tokio::test]
async fn a_notice_from_another_target_is_ignored() {
    let log = KeyedLog::start().await.expect("a log");
    let arrivals = ArrivalLog::default();
    let answer = |request: &RawRequest| {
        let strange = if request.header("hoplanding-request-id") == Some("first-0") {
            RawResponse::complete("421 Misdirected Request", &seal_headers(request), "")
        } else {
            RawResponse::complete("200 OK", "Hoplanding-Request-Id: another\r\n", "")
        };
        strange
            .with_header(LEAVING)
            .with_header("Retry-After: 3\r\n")
    };
    let (daemon, _targets) = start_pair(&log, "ledger", &arrivals, answer).await;
    wait_for("calls", async || {
        send_at_once(daemon.caller_address, "/lookup/1", "").await;
        arrivals.count() > 1
    })
    .await;
    assert!(!daemon.fleet().is_leaving("i-1"));
}

/// The VM that receives the announcement forwards it to VMs that run and to those that start later.
#[tokio::test]
async fn an_announcement_of_leaving_reaches_all_vms() {
    let log = KeyedLog::start().await.expect("a log");
    let arrivals = ArrivalLog::default();
    let (first, _targets) = start_pair(&log, "ledger", &arrivals, |request| {
        good_answer(request).with_header(LEAVING)
    })
    .await;
    let (second, _relay) = start_second_vm(&log).await;
    wait_for("a call at the leaving target", async || {
        send_at_once(second.caller_address, "/lookup/1", "").await;
        arrivals.count() > 0
    })
    .await;
    wait_for("the announcement at the other VM", async || {
        first.fleet().is_leaving("i-1")
    })
    .await;
    // A VM that starts later learns it from the others.
    let third = DirectDaemon::start(vm_settings("vm-3", &log));
    let third = third.await.expect("the daemon starts");
    wait_for("the announcement at a new VM", async || {
        third.fleet().tables().catalog.iter().count() > 0 && third.fleet().is_leaving("i-1")
    })
    .await;
}

/// The service has no other target, so calls are refused with the time at which the backoff ends.
#[tokio::test]
async fn a_target_that_asks_for_backoff_gets_at_most_two_requests_during_it() {
    for (service, path, headers) in [
        ("ledger", "/lookup/1", String::new()),
        ("scribe", "/plan/1", model_headers("a1")),
    ] {
        let log = KeyedLog::start().await.expect("a log");
        let arrivals = ArrivalLog::default();
        let only = target(&arrivals, |request| rejection(request, "3")).await;
        let listed = [("i-1", service, only.address)];
        let daemon = start_daemon_with(vm_settings("vm-1", &log), &log, &listed).await;
        let began = Instant::now();
        let answers = send_requests(&[daemon.caller_address], path, &headers, 100).await;
        let got = arrivals.during_backoff("vm0");
        assert!(
            got <= MAX_DURING_BACKOFF,
            "{service}: {got} in {:?}",
            began.elapsed()
        );
        let refused = answers.iter().filter(|answer| answer.status == 503);
        assert_eq!(refused.count(), answers.len(), "{service}");
        // The answer states the time at which the backoff ends.
        assert!(
            retry_after_s(&answers[10]) > 2.0,
            "{service}: {}",
            answers[10].head
        );
    }
}

/// The `Retry-After` of an answer, in seconds; 0 without one.
fn retry_after_s(answer: &Answer) -> f64 {
    let lower = answer.head.to_ascii_lowercase();
    let line = lower
        .lines()
        .find_map(|line| line.strip_prefix("retry-after: "));
    line.and_then(|text| text.parse().ok()).unwrap_or(0.0)
}

/// A backoff holds for the VM that it was requested from, so each VM may send calls to the target until it receives such a request.
#[tokio::test]
async fn each_vm_keeps_the_backoff_requested_from_it_and_calls_go_elsewhere() {
    for (service, path, headers) in [
        ("ledger", "/lookup/1", String::new()),
        ("scribe", "/plan/1", model_headers("a1")),
    ] {
        let log = KeyedLog::start().await.expect("a log");
        let arrivals = ArrivalLog::default();
        let (first, _targets) =
            start_pair(&log, service, &arrivals, |request| rejection(request, "3")).await;
        let (second, _relay) = start_second_vm(&log).await;
        let third = DirectDaemon::start(vm_settings("vm-3", &log));
        let third = third.await.expect("the daemon starts");
        let addresses = [
            first.caller_address,
            second.caller_address,
            third.caller_address,
        ];
        wait_for("readiness", async || crate::support::is_ready(&third).await).await;
        let answers = send_requests(&addresses, path, &headers, 150).await;
        for vm in ["vm0", "vm1", "vm2"] {
            let got = arrivals.during_backoff(vm);
            assert!(got <= MAX_DURING_BACKOFF, "{service}: {got} of {vm}");
        }
        // One call of each VM may find the target backing off, and is sent elsewhere then.
        let lost = answers.len() - count_served(&answers);
        assert!(
            lost <= 3,
            "{service}: {lost} of {} not served",
            answers.len()
        );
    }
}

#[tokio::test]
async fn calls_resume_after_the_backoff() {
    let log = KeyedLog::start().await.expect("a log");
    let arrivals = ArrivalLog::default();
    let is_full = Arc::new(AtomicBool::new(true));
    let asked = Arc::clone(&is_full);
    let only = target(&arrivals, move |request| {
        if asked.load(Ordering::SeqCst) {
            rejection(request, "0.5")
        } else {
            good_answer(request)
        }
    })
    .await;
    let listed = [("i-1", "ledger", only.address)];
    let daemon = start_daemon_with(vm_settings("vm-1", &log), &log, &listed).await;
    let address = [daemon.caller_address];
    send_requests(&address, "/lookup/1", "", 4).await;
    is_full.store(false, Ordering::SeqCst);
    wait_for("service", async || {
        let answers = send_requests(&address, "/lookup/1", "", 10).await;
        count_served(&answers) == answers.len()
    })
    .await;
}

#[tokio::test]
async fn an_unreadable_retry_after_keeps_the_target_in_use() {
    for value in [
        "-3",
        "soon",
        "Wed, 21 Oct 2026 07:28:00 GMT",
        "NaN",
        "inf",
        "",
    ] {
        let log = KeyedLog::start().await.expect("a log");
        let arrivals = ArrivalLog::default();
        let is_first = Arc::new(AtomicBool::new(true));
        let only = target(&arrivals, move |request| {
            if is_first.swap(false, Ordering::SeqCst) {
                rejection(request, value)
            } else {
                good_answer(request)
            }
        })
        .await;
        let listed = [("i-1", "ledger", only.address)];
        let daemon = start_daemon_with(vm_settings("vm-1", &log), &log, &listed).await;
        let address = [daemon.caller_address];
        send_requests(&address, "/lookup/1", "", 2).await;
        sleep(Duration::from_millis(100)).await;
        let answers = send_requests(&address, "/lookup/1", "", 4).await;
        assert_eq!(count_served(&answers), answers.len(), "{value:?}");
    }
}

/// The announcement belongs to one life of a target; a restart under the same name begins a new one.
#[tokio::test]
async fn a_target_that_left_and_restarted_gets_calls_again() {
    let log = KeyedLog::start().await.expect("a log");
    let arrivals = ArrivalLog::default();
    let is_leaving = Arc::new(AtomicBool::new(true));
    let says_so = Arc::clone(&is_leaving);
    let only = target(&arrivals, move |request| {
        if says_so.load(Ordering::SeqCst) {
            good_answer(request).with_header(LEAVING)
        } else {
            good_answer(request)
        }
    })
    .await;
    let born = |born: u64| {
        let text = target_entry("ledger", only.address, "ready", &["a1@1"]);
        text.replacen("{", &format!("{{\"born\":{born},"), 1)
    };
    log.put("keyed.servers", "i-1", Some(&born(1)));
    log.put("keyed.op", "config", Some(&config_json(1)));
    let daemon = DirectDaemon::start(vm_settings("vm-1", &log));
    let daemon = daemon.await.expect("the daemon starts");
    wait_for("readiness", async || {
        crate::support::is_ready(&daemon).await
    })
    .await;
    let address = [daemon.caller_address];
    wait_for("the announcement", async || {
        send_requests(&address, "/lookup/1", "", 2).await;
        daemon.fleet().is_leaving("i-1")
    })
    .await;
    is_leaving.store(false, Ordering::SeqCst);
    log.put("keyed.servers", "i-1", Some(&born(2)));
    wait_for("service", async || {
        count_served(&send_requests(&address, "/lookup/1", "", 4).await) == 4
    })
    .await;
}
