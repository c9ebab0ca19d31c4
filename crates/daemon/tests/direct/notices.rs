//! What targets say of themselves in their answers: that they leave, and that they want rest.

use crate::support::{
    Answer, config_json, good_answer, model_headers, post_request, seal_headers, send_request,
    send_requests, start_daemon_with, start_second_vm, stream_answer, target_entry, vm_settings,
    wait_for,
};
use futures_util::future::join_all;
use hoplanding_standins::{
    keyed_log::KeyedLog,
    raw_target::{RawAnswer, RawRequest, RawTarget},
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
/// Time for which a target asks for rest.
const REST: Duration = Duration::from_secs(3);
/// Time after an answer that asks for rest within which requests may have been under way.
const UNDER_WAY: Duration = Duration::from_millis(500);
/// Requests that may reach a target from one VM in the rest that it asked for.
const MOST_IN_REST: usize = 2;

fn is_call(request: &RawRequest) -> bool {
    request.line().starts_with("POST /lookup/") || request.line().starts_with("POST /plan/")
}

/// Calls that reached a target, by when and with which id.
#[derive(Clone, Default)]
struct ArrivalLog(Arc<Mutex<Vec<(Instant, String)>>>);

impl ArrivalLog {
    fn note(&self, request: &RawRequest) {
        if is_call(request) {
            let id = request.header("hoplanding-request-id").unwrap_or_default();
            let mut arrivals = self.0.lock().expect("no holder panics");
            arrivals.push((Instant::now(), id.to_owned()));
        }
    }

    fn count(&self) -> usize {
        self.0.lock().expect("no holder panics").len()
    }

    /// Calls of a VM within the rest that its first one was answered with.
    fn in_rest(&self, vm: &str) -> usize {
        let arrivals = self.0.lock().expect("no holder panics");
        let of_vm: Vec<_> = arrivals
            .iter()
            .filter(|(_, id)| id.starts_with(vm))
            .collect();
        let Some((first, _)) = of_vm.first() else {
            return 0;
        };
        let rest = *first + UNDER_WAY..*first + REST;
        of_vm.iter().filter(|(at, _)| rest.contains(at)).count()
    }
}

fn turned_away(request: &RawRequest, retry_after: &str) -> RawAnswer {
    let id = request.header("hoplanding-request-id").unwrap_or_default();
    let headers = format!(
        "Hoplanding-Request-Id: {id}\r\nHoplanding-Not-Executed: 1\r\nRetry-After: {retry_after}\r\n"
    );
    RawAnswer::whole("503 Service Unavailable", &headers, "")
}

/// A target of plain calls and streams that answers calls as it is told, and everything else well.
async fn target(
    log: &ArrivalLog,
    answer: impl Fn(&RawRequest) -> RawAnswer + Send + Sync + 'static,
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

/// The good answer to a call.
fn answered(request: &RawRequest) -> RawAnswer {
    if request.line().contains("/plan/") {
        stream_answer(request, None)
    } else {
        good_answer(request)
    }
}

/// Sends calls at once, so that every target gets some.
async fn send_at_once(address: SocketAddr, path: &str, headers: &str) -> Vec<Answer> {
    let asked = (0..12).map(|number| {
        let request = post_request(path, &format!("first-{number}"), headers);
        async move { send_request(address, &request).await }
    });
    join_all(asked).await
}

fn served(answers: &[Answer]) -> usize {
    answers.iter().filter(|answer| answer.status == 200).count()
}

/// Two targets of a service, one of which answers as it is told, behind one VM.
async fn pair(
    log: &KeyedLog,
    service: &str,
    arrivals: &ArrivalLog,
    answer: impl Fn(&RawRequest) -> RawAnswer + Send + Sync + 'static,
) -> (DirectDaemon, [RawTarget; 2]) {
    let named = target(arrivals, answer).await;
    let other = target(&ArrivalLog::default(), answered).await;
    let listed = [
        ("i-1", service, named.address),
        ("i-2", service, other.address),
    ];
    let daemon = start_daemon_with(vm_settings("vm-1", log), log, &listed).await;
    (daemon, [named, other])
}

#[tokio::test]
async fn a_target_that_says_that_it_leaves_gets_nothing_more_though_its_entry_says_ready() {
    for (service, path, headers) in [
        ("ledger", "/lookup/1", String::new()),
        ("scribe", "/plan/1", model_headers("a1")),
    ] {
        let log = KeyedLog::start().await.expect("a log");
        let arrivals = ArrivalLog::default();
        let (daemon, targets) = pair(&log, service, &arrivals, |request| {
            answered(request).with_header(LEAVING)
        })
        .await;
        let address = [daemon.caller_address];
        wait_for("a call at the leaving target", async || {
            send_at_once(address[0], path, &headers).await;
            arrivals.count() > 0
        })
        .await;
        let before = arrivals.count();
        // Its entry is written once more, and says what it said before.
        let mut text = target_entry(service, targets[0].address, "ready", &["a1@1"]);
        text = text.replace("\"slots\":8", "\"slots\":9");
        log.put("keyed.servers", "i-1", Some(&text));
        sleep(Duration::from_millis(200)).await;
        let answers = send_requests(&address, path, &headers, 50).await;
        assert_eq!(arrivals.count() - before, 0, "{service}");
        assert_eq!(served(&answers), answers.len(), "{service}");
    }
}

#[tokio::test]
async fn a_target_may_say_that_it_leaves_in_answers_of_every_kind() {
    type MakeAnswer = fn(&RawRequest) -> RawAnswer;
    let kinds: [(&str, MakeAnswer); 3] = [
        ("a failure", |request| {
            RawAnswer::whole("500 Internal Server Error", &seal_headers(request), "")
        }),
        ("a refusal", |request| turned_away(request, "0")),
        ("a success", good_answer),
    ];
    for (kind, make) in kinds {
        let log = KeyedLog::start().await.expect("a log");
        let arrivals = ArrivalLog::default();
        let answer = move |request: &RawRequest| make(request).with_header(LEAVING);
        let (daemon, _targets) = pair(&log, "ledger", &arrivals, answer).await;
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
async fn a_report_that_says_that_its_engine_leaves_is_heard() {
    let log = KeyedLog::start().await.expect("a log");
    let engine = RawTarget::start(|request: &RawRequest| good_answer(request).with_header(LEAVING));
    let engine = engine.await.expect("an engine");
    let listed = [("e-1", "scribe", engine.address)];
    let daemon = start_daemon_with(vm_settings("vm-1", &log), &log, &listed).await;
    wait_for("its report", async || daemon.fleet().is_leaving("e-1")).await;
}

#[tokio::test]
async fn an_answer_of_another_target_says_nothing_of_the_one_that_was_meant() {
    let log = KeyedLog::start().await.expect("a log");
    let arrivals = ArrivalLog::default();
    let answer = |request: &RawRequest| {
        let strange = if request.header("hoplanding-request-id") == Some("first-0") {
            RawAnswer::whole("421 Misdirected Request", &seal_headers(request), "")
        } else {
            RawAnswer::whole("200 OK", "Hoplanding-Request-Id: another\r\n", "")
        };
        strange
            .with_header(LEAVING)
            .with_header("Retry-After: 3\r\n")
    };
    let (daemon, _targets) = pair(&log, "ledger", &arrivals, answer).await;
    wait_for("calls", async || {
        send_at_once(daemon.caller_address, "/lookup/1", "").await;
        arrivals.count() > 1
    })
    .await;
    assert!(!daemon.fleet().is_leaving("i-1"));
}

#[tokio::test]
async fn what_one_vm_is_told_of_a_leaving_target_all_know() {
    let log = KeyedLog::start().await.expect("a log");
    let arrivals = ArrivalLog::default();
    let (first, _targets) = pair(&log, "ledger", &arrivals, |request| {
        good_answer(request).with_header(LEAVING)
    })
    .await;
    let (second, _relay) = start_second_vm(&log).await;
    wait_for("a call at the leaving target", async || {
        send_at_once(second.caller_address, "/lookup/1", "").await;
        arrivals.count() > 0
    })
    .await;
    wait_for("word of it", async || first.fleet().is_leaving("i-1")).await;
    // A VM that starts is told by those that know.
    let third = DirectDaemon::start(vm_settings("vm-3", &log));
    let third = third.await.expect("the daemon starts");
    wait_for("word at a new VM", async || {
        third.fleet().tables().catalog.iter().count() > 0 && third.fleet().is_leaving("i-1")
    })
    .await;
}

#[tokio::test]
async fn a_target_that_asks_for_rest_gets_no_more_than_two_requests_in_it() {
    for (service, path, headers) in [
        ("ledger", "/lookup/1", String::new()),
        ("scribe", "/plan/1", model_headers("a1")),
    ] {
        let log = KeyedLog::start().await.expect("a log");
        let arrivals = ArrivalLog::default();
        let only = target(&arrivals, |request| turned_away(request, "3")).await;
        let listed = [("i-1", service, only.address)];
        let daemon = start_daemon_with(vm_settings("vm-1", &log), &log, &listed).await;
        let began = Instant::now();
        let answers = send_requests(&[daemon.caller_address], path, &headers, 100).await;
        let got = arrivals.in_rest("vm0");
        assert!(
            got <= MOST_IN_REST,
            "{service}: {got} in {:?}",
            began.elapsed()
        );
        let refused = answers.iter().filter(|answer| answer.status == 503);
        assert_eq!(refused.count(), answers.len(), "{service}");
        // The time at which the target is free again is what callers are told.
        assert!(
            come_back(&answers[10]) > 2.0,
            "{service}: {}",
            answers[10].head
        );
    }
}

/// The seconds after which an answer asks its caller to come back.
fn come_back(answer: &Answer) -> f64 {
    let lower = answer.head.to_ascii_lowercase();
    let line = lower
        .lines()
        .find_map(|line| line.strip_prefix("retry-after: "));
    line.and_then(|text| text.parse().ok()).unwrap_or(0.0)
}

#[tokio::test]
async fn calls_go_elsewhere_while_a_target_rests_and_each_vm_keeps_the_rest_that_it_was_asked_for()
{
    for (service, path, headers) in [
        ("ledger", "/lookup/1", String::new()),
        ("scribe", "/plan/1", model_headers("a1")),
    ] {
        let log = KeyedLog::start().await.expect("a log");
        let arrivals = ArrivalLog::default();
        let (first, _targets) = pair(&log, service, &arrivals, |request| {
            turned_away(request, "3")
        })
        .await;
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
            let got = arrivals.in_rest(vm);
            assert!(got <= MOST_IN_REST, "{service}: {got} of {vm}");
        }
        // Each VM may find out for itself once, and a call that does is sent on.
        let lost = answers.len() - served(&answers);
        assert!(
            lost <= 3,
            "{service}: {lost} of {} not served",
            answers.len()
        );
    }
}

#[tokio::test]
async fn a_rest_that_is_over_ends() {
    let log = KeyedLog::start().await.expect("a log");
    let arrivals = ArrivalLog::default();
    let is_full = Arc::new(AtomicBool::new(true));
    let asked = Arc::clone(&is_full);
    let only = target(&arrivals, move |request| {
        if asked.load(Ordering::SeqCst) {
            turned_away(request, "0.5")
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
        served(&answers) == answers.len()
    })
    .await;
}

#[tokio::test]
async fn a_rest_that_cannot_be_read_loses_no_target() {
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
                turned_away(request, value)
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
        assert_eq!(served(&answers), answers.len(), "{value:?}");
    }
}

#[tokio::test]
async fn a_new_life_of_a_target_that_left_is_sent_to() {
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
    wait_for("its word", async || {
        send_requests(&address, "/lookup/1", "", 2).await;
        daemon.fleet().is_leaving("i-1")
    })
    .await;
    is_leaving.store(false, Ordering::SeqCst);
    log.put("keyed.servers", "i-1", Some(&born(2)));
    wait_for("service", async || {
        served(&send_requests(&address, "/lookup/1", "", 4).await) == 4
    })
    .await;
}
