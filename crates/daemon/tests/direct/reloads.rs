//! Repeated reloads of the settings while calls are running.
//!
//! The tests guard against reloads that run a call twice or change its rank. Settings files change often, on some of
//! the VMs at a time, while calls are queued, placed, sent and refused. The tests check what a reload may affect, on a
//! VM that is reloaded and on one that is not. A related fault, a retry budget that forgets its spending when its
//! window is shortened temporarily, is covered by the tests of the retry budget.

use crate::support::{
    good_answer, model_headers, post_request, seal_headers, send_request, start_daemon,
    start_second_vm, stream_answer, vm_settings,
};
use hoplanding_standins::{
    keyed_log::KeyedLog,
    raw_target::{RawRequest, RawResponse, RawTarget},
};
use hoplandingd::direct::{daemon::DirectDaemon, settings::DirectSettings};
use std::{collections::HashSet, time::Duration};
use tokio::{task::JoinSet, time::sleep};

/// A plain service that answers each call after 150 ms.
async fn slow_service() -> RawTarget {
    let answer = |request: &RawRequest| {
        let whole = RawResponse::complete("200 OK", &seal_headers(request), "done");
        let pieces = whole
            .pieces
            .into_iter()
            .map(|(pause, bytes)| (pause + Duration::from_millis(150), bytes));
        RawResponse {
            pieces: pieces.collect(),
            closes_connection: whole.closes_connection,
        }
    };
    RawTarget::start(answer).await.expect("a target")
}

/// Settings that differ between rounds in values that take effect without a restart.
fn changed_settings(log: &KeyedLog, round: u32) -> DirectSettings {
    let mut settings = vm_settings("vm-1", log);
    settings.retries.extra_retries = f64::from(round % 3) * 40.0;
    settings.retries.ratio = 0.1 * f64::from(round % 4);
    settings.policy.remote_zone_penalty = Duration::from_millis(u64::from(round % 5) * 20);
    settings
}

async fn reload_repeatedly(daemon: &DirectDaemon, log: &KeyedLog, rounds: u32) {
    for round in 0..rounds {
        daemon.apply_settings(&changed_settings(log, round));
        sleep(Duration::from_millis(15)).await;
    }
}

/// Guards against reloads that drop or repeat running calls, or that make the VM claim its lease again.
#[tokio::test]
async fn running_calls_are_sent_once_and_answered_during_reloads() {
    let log = KeyedLog::start().await.expect("a log");
    let target = slow_service().await;
    let daemon = start_daemon(&log, &[("i-1", "ledger", target.address)]).await;
    let leases = log.values("keyed.fleet", "zone/hall").len();
    let mut calls = JoinSet::new();
    for number in 0..24 {
        let address = daemon.caller_address;
        calls.spawn(async move {
            sleep(Duration::from_millis(number * 20)).await;
            send_request(address, &post_request("/scan/1", &format!("r{number}"), "")).await
        });
    }
    reload_repeatedly(&daemon, &log, 40).await;
    while let Some(answer) = calls.join_next().await {
        let answer = answer.expect("the call ends");
        assert_eq!(
            (answer.status, answer.is_whole),
            (200, true),
            "{}",
            answer.head
        );
    }
    let seen = target.requests();
    let ids: HashSet<_> = seen
        .iter()
        .filter_map(|request| request.header("hoplanding-request-id"))
        .collect();
    assert_eq!((seen.len(), ids.len()), (24, 24), "each ran once");
    let after = log.values("keyed.fleet", "zone/hall").len();
    assert_eq!(after, leases, "the lease is kept");
}

/// Guards against reloads that close idle connections to targets.
#[tokio::test]
async fn idle_connection_survives_reloads() {
    let log = KeyedLog::start().await.expect("a log");
    let target = RawTarget::start(good_answer).await.expect("a target");
    let daemon = start_daemon(&log, &[("i-1", "ledger", target.address)]).await;
    let send = async |id: &str| {
        send_request(daemon.caller_address, &post_request("/lookup/1", id, "")).await
    };
    assert_eq!(send("r1").await.status, 200);
    reload_repeatedly(&daemon, &log, 10).await;
    assert_eq!(send("r2").await.status, 200);
    assert_eq!(target.connections(), 1);
}

/// Guards against requests that get another rank than their route's because VMs have different settings.
#[tokio::test]
async fn requests_keep_the_rank_of_their_route_on_every_vm() {
    let log = KeyedLog::start().await.expect("a log");
    let engine = RawTarget::start(|request: &RawRequest| stream_answer(request, None))
        .await
        .expect("an engine");
    let first = start_daemon(&log, &[("i-1", "scribe", engine.address)]).await;
    let (second, _relay) = start_second_vm(&log).await;
    for round in 0..6 {
        // Only the first VM is reloaded.
        first.apply_settings(&changed_settings(&log, round));
        for (number, daemon) in [&first, &second].into_iter().enumerate() {
            let request = post_request(
                "/plan/1",
                &format!("r{round}-{number}"),
                &model_headers("a1"),
            );
            assert_eq!(
                send_request(daemon.caller_address, &request).await.status,
                200
            );
        }
    }
    let ranks: HashSet<_> = engine
        .requests()
        .iter()
        .filter(|request| request.request_line().starts_with("POST /plan"))
        .map(|request| {
            request
                .header("hoplanding-request-priority")
                .map(str::to_owned)
        })
        .collect();
    assert_eq!(ranks, HashSet::from([Some("1".to_owned())]));
}
