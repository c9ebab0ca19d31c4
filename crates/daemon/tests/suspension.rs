//! Tests of a VM that is suspended for seconds: the clock advances, but the timers of the async runtime do not.
//!
//! The clock belongs to the whole process, so the tests run one at a time.

#[path = "direct/support.rs"]
#[expect(dead_code, reason = "shared with the tests of the direct mode")]
mod support;

use crate::support::{
    config_json, good_answer, post_request, send_request, start_daemon, start_daemon_with,
    vm_settings, wait_for,
};
use hoplanding_core::direct::freshness::RevocationRule;
use hoplanding_standins::{
    keyed_log::KeyedLog,
    raw_target::{RawRequest, RawTarget},
    relay::{LinkRelay, LinkState},
};
use hoplandingd::{clock, direct::daemon::DirectDaemon};
use serde_json::{Value, json};
use std::time::Duration;
use tokio::sync::Mutex;

/// Serialises the tests that advance the process's clock.
static CLOCK_LOCK: Mutex<()> = Mutex::const_new(());
/// Simulated suspension, longer than the 5 s of the revocation rule.
const SUSPENSION: Duration = Duration::from_secs(8);

async fn start_site() -> (KeyedLog, RawTarget, DirectDaemon) {
    let log = KeyedLog::start().await.expect("a log");
    let target = RawTarget::start(good_answer).await.expect("a target");
    let daemon = start_daemon(&log, &[("i-1", "ledger", target.address)]).await;
    (log, target, daemon)
}

fn scan_requests(target: &RawTarget) -> Vec<RawRequest> {
    let requests = target.requests().into_iter();
    requests
        .filter(|request| request.request_line().contains("/scan/"))
        .collect()
}

// Guards against a call that may run only once being sent over a connection that was idle during a suspension. The target
// may have closed the connection meanwhile, and the call could not be repeated. A new connection must be opened.
#[tokio::test]
async fn non_repeatable_call_does_not_reuse_a_connection_idle_during_a_suspension() {
    let _clock = CLOCK_LOCK.lock().await;
    let (_log, target, daemon) = start_site().await;
    let scan = async |id: &str| {
        let answer = send_request(daemon.caller_address, &post_request("/scan/1", id, "")).await;
        assert_eq!(answer.status, 200);
        target.connections()
    };
    let before = scan("r1").await;
    clock::simulate_suspension(SUSPENSION);
    assert_eq!(scan("r2").await, before + 1);
}

// Guards against a deadline that ignores the time of a suspension. The VM is suspended for 3 s between the head and the
// body of a request with a timeout of 4 s, so the target may be given at most 1 s.
#[tokio::test]
async fn target_deadline_excludes_the_time_of_a_suspension() {
    let _clock = CLOCK_LOCK.lock().await;
    let (_log, target, daemon) = start_site().await;
    // Sends the head now and the body after the suspension.
    let request = post_request("/scan/1", "r1", "");
    let (head, body) = request.split_at(request.len() - 4);
    let mut caller = tokio::net::TcpStream::connect(daemon.caller_address)
        .await
        .expect("a connection");
    tokio::io::AsyncWriteExt::write_all(&mut caller, head.as_bytes())
        .await
        .expect("the daemon reads");
    tokio::time::sleep(Duration::from_millis(200)).await;
    clock::simulate_suspension(Duration::from_secs(3));
    tokio::io::AsyncWriteExt::write_all(&mut caller, body.as_bytes())
        .await
        .expect("the daemon reads");
    wait_for("the call", async || !scan_requests(&target).is_empty()).await;
    let deadline = scan_requests(&target)[0]
        .header("hoplanding-deadline-ms")
        .and_then(|text| text.parse::<u64>().ok())
        .expect("a deadline");
    assert!(
        deadline <= 1_000,
        "{deadline} ms of 4,000 are left after 3 s"
    );
}

// Guards against API keys being accepted after a suspension in which they may have been revoked. The log is out of reach
// when the VM resumes, so it can't learn of a revocation within the bound of 5 s and must answer 503.
#[tokio::test]
async fn api_keys_that_may_have_been_revoked_during_a_suspension_are_refused() {
    let _clock = CLOCK_LOCK.lock().await;
    let log = KeyedLog::start().await.expect("a log");
    let relay = LinkRelay::start().await.expect("a relay");
    relay.set_target(log.address());
    let target = RawTarget::start(good_answer).await.expect("a target");
    let mut settings = vm_settings("vm-1", &log);
    settings.platform_address = relay.address;
    let bound = Duration::from_secs(5);
    settings.revocation = Some(RevocationRule { bound });
    let daemon = start_daemon_with(settings, &log, &[("i-1", "ledger", target.address)]).await;
    let mut keyed: Value = serde_json::from_str(&config_json(2)).expect("a configuration");
    keyed["tenants"] = json!([{ "name": "mill", "api_keys": ["k1"] }]);
    log.put("keyed.op", "config", Some(&keyed.to_string()));
    let call = async |id: &str| {
        let request = post_request("/scan/1", id, "Authorization: Bearer k1\r\n");
        send_request(daemon.caller_address, &request).await.status
    };
    wait_for("a keyed call", async || {
        let active = daemon.fleet().active();
        active.is_some_and(|active| active.config.version == 2) && call("r1").await == 200
    })
    .await;
    relay.set_state(LinkState::Frozen);
    clock::simulate_suspension(SUSPENSION);
    assert_eq!(call("r2").await, 503);
}
