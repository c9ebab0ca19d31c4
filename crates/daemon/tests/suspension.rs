//! A VM that is suspended for seconds: its clock has gone on, the runtime's timers have not.
//!
//! The tests run one after the other, as the clock is the process's.

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

static CLOCK: Mutex<()> = Mutex::const_new(());
const SUSPENDED: Duration = Duration::from_secs(8);

async fn plain_site() -> (KeyedLog, RawTarget, DirectDaemon) {
    let log = KeyedLog::start().await.expect("a log");
    let target = RawTarget::start(good_answer).await.expect("a target");
    let daemon = start_daemon(&log, &[("i-1", "ledger", target.address)]).await;
    (log, target, daemon)
}

fn scans(target: &RawTarget) -> Vec<RawRequest> {
    let seen = target.requests().into_iter();
    seen.filter(|request| request.request_line().contains("/scan/"))
        .collect()
}

#[tokio::test]
async fn a_connection_that_rested_through_a_suspension_is_not_trusted_with_a_call_that_may_run_once()
 {
    let _clock = CLOCK.lock().await;
    let (_log, target, daemon) = plain_site().await;
    let scan = async |id: &str| {
        let answer = send_request(daemon.caller_address, &post_request("/scan/1", id, "")).await;
        assert_eq!(answer.status, 200);
        target.connections()
    };
    let before = scan("r1").await;
    clock::simulate_suspension(SUSPENDED);
    assert_eq!(scan("r2").await, before + 1);
}

#[tokio::test]
async fn a_target_is_given_no_time_that_passed_in_a_suspension() {
    let _clock = CLOCK.lock().await;
    let (_log, target, daemon) = plain_site().await;
    // Its head has come; its body comes after the suspension.
    let request = post_request("/scan/1", "r1", "");
    let (head, body) = request.split_at(request.len() - 4);
    let mut caller = tokio::net::TcpStream::connect(daemon.caller_address)
        .await
        .expect("a connection");
    tokio::io::AsyncWriteExt::write_all(&mut caller, head.as_bytes())
        .await
        .expect("it reads");
    tokio::time::sleep(Duration::from_millis(200)).await;
    clock::simulate_suspension(Duration::from_secs(3));
    tokio::io::AsyncWriteExt::write_all(&mut caller, body.as_bytes())
        .await
        .expect("it reads");
    wait_for("the call", async || !scans(&target).is_empty()).await;
    let deadline = scans(&target)[0]
        .header("hoplanding-deadline-ms")
        .and_then(|text| text.parse::<u64>().ok())
        .expect("a deadline");
    assert!(
        deadline <= 1_000,
        "{deadline} ms of 4,000 are left after 3 s"
    );
}

#[tokio::test]
async fn a_vm_that_wakes_does_not_trust_keys_that_may_have_been_taken_away() {
    let _clock = CLOCK.lock().await;
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
    clock::simulate_suspension(SUSPENDED);
    assert_eq!(call("r2").await, 503);
}
