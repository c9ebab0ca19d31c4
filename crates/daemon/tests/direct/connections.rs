//! Targets that accept a limited number of connections from all VMs together, and reset those beyond it.
//!
//! A VM keeps idle connections for 3.5 s, up to eight per target. If every VM did so regardless of the others, the target would
//! reset new connections while calls go out over them. The VM could not tell whether such a call ran, and a call that may run only
//! once would fail with 502 although it reached no target.

use crate::support::{
    config_json, good_answer, is_ready, post_request, send_request, start_daemon, vm_settings,
    wait_for,
};
use futures_util::future::join_all;
use hoplanding_standins::{
    keyed_log::KeyedLog,
    raw_target::{RawRequest, RawResponse, RawTarget},
};
use hoplandingd::direct::daemon::DirectDaemon;
use std::time::Duration;

const VMS: usize = 6;
/// Connections that the target accepts: two per VM.
const MAX_CONNECTIONS: usize = 12;
/// Concurrent calls of a VM.
const CONCURRENT_CALLS: usize = 3;

fn slow(request: &RawRequest) -> RawResponse {
    let mut answer = good_answer(request);
    answer.pieces[0].0 = Duration::from_millis(60);
    answer
}

#[tokio::test]
async fn vms_share_the_connection_limit_of_a_target() {
    let log = KeyedLog::start().await.expect("a log");
    let target = RawTarget::start_with_connection_limit(slow, MAX_CONNECTIONS)
        .await
        .expect("a target");
    let mut fleet = vec![start_daemon(&log, &[("i-1", "ledger", target.address)]).await];
    for number in 2..=VMS {
        let daemon = DirectDaemon::start(vm_settings(&format!("vm-{number}"), &log)).await;
        fleet.push(daemon.expect("the daemon starts"));
    }
    let limit = format!("\"max_connections\":{MAX_CONNECTIONS},\"name\":\"ledger\"");
    let limited_config =
        config_json(2).replace("\"max_connections\":100,\"name\":\"ledger\"", &limit);
    assert!(limited_config.contains(&limit), "{limited_config}");
    log.put("keyed.op", "config", Some(&limited_config));
    for daemon in &fleet {
        wait_for("readiness", async || is_ready(daemon).await).await;
        wait_for("the limit and all VMs to be known", async || {
            let tables = daemon.fleet().tables();
            let version = tables.active.as_ref().map(|active| active.config.version);
            version == Some(2) && tables.vms.len() == VMS
        })
        .await;
    }
    // The VMs call one after another, each with no more calls at once than the limit leaves room for.
    for (vm, daemon) in fleet.iter().enumerate() {
        let calls = (0..CONCURRENT_CALLS).map(|call| {
            let request = post_request(&format!("/scan/{call}"), &format!("r{vm}{call}"), "");
            async move { send_request(daemon.caller_address, &request).await.status }
        });
        assert_eq!(join_all(calls).await, [200; CONCURRENT_CALLS], "VM {vm}");
    }
}

/// The callers of a whole zone are handed to one VM, each call on a new connection, while the others idle. Nothing that VMs share
/// by their number, such as the retry budget or connections to targets, may turn those calls away.
#[tokio::test]
async fn a_vm_that_gets_all_new_connections_serves_them_at_the_first_attempt() {
    const CALLERS: usize = 60;
    const CALLS_PER_CALLER: usize = 5;
    let log = KeyedLog::start().await.expect("a log");
    let mut targets = Vec::new();
    for _ in 0..6 {
        targets.push(RawTarget::start(good_answer).await.expect("a target"));
    }
    let names = ["i-1", "i-2", "i-3", "i-4", "i-5", "i-6"];
    let listed: Vec<_> = names
        .iter()
        .zip(&targets)
        .map(|(name, target)| (*name, "ledger", target.address))
        .collect();
    let mut fleet = vec![start_daemon(&log, &listed).await];
    for number in 2..=VMS {
        let daemon = DirectDaemon::start(vm_settings(&format!("vm-{number}"), &log)).await;
        fleet.push(daemon.expect("the daemon starts"));
    }
    for daemon in &fleet {
        wait_for("readiness", async || is_ready(daemon).await).await;
    }
    let busy = fleet.last().expect("a VM").caller_address;
    let callers = (0..CALLERS).map(|caller| async move {
        let mut served = 0;
        for call in 0..CALLS_PER_CALLER {
            let id = format!("r{caller}-{call}");
            let request = post_request("/lookup/1", &id, "");
            let answer = send_request(busy, &request).await;
            served += usize::from(answer.status == 200 && answer.is_whole);
        }
        served
    });
    let served: usize = join_all(callers).await.iter().sum();
    assert_eq!(served, CALLERS * CALLS_PER_CALLER);
}
