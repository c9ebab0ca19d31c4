//! The retry budget in a fleet whose processes are killed and restarted repeatedly.
//!
//! Within ten seconds a service may receive retries for a fifth of its requests, plus a fixed number. What was spent is known only
//! to the process that spent it. If a new process began with a full share of the fixed number, each restart would allow that share
//! to be spent once more, and the fleet would exceed the budget.

use crate::support::{
    is_ready, post_request, seal_headers, send_request, start_daemon, vm_settings, wait_for,
};
use hoplanding_core::ids::ServiceName;
use hoplanding_standins::{
    keyed_log::KeyedLog,
    raw_target::{RawRequest, RawResponse, RawTarget},
};
use hoplandingd::{
    clock,
    direct::{daemon::DirectDaemon, fleet::FleetState},
};

/// Retry budget by the default settings: part of the requests, and fixed number.
const RATIO: f64 = 0.2;
const FIXED: f64 = 50.0;

fn reject(request: &RawRequest) -> RawResponse {
    let headers = format!("{}Hoplanding-Not-Executed: 1\r\n", seal_headers(request));
    RawResponse::complete("503 Service Unavailable", &headers, "")
}

/// All targets reject all calls, while the only process is replaced by a new one after every few calls.
#[tokio::test]
async fn restarting_processes_stay_within_the_retry_budget_of_the_fleet() {
    const PROCESSES: usize = 16;
    const REQUESTS: usize = 3;
    let log = KeyedLog::start().await.expect("a log");
    let mut targets = Vec::new();
    for _ in 0..3 {
        targets.push(RawTarget::start(reject).await.expect("a target"));
    }
    let listed = ["i-1", "i-2", "i-3"];
    let listed: Vec<_> = listed
        .iter()
        .zip(&targets)
        .map(|(name, target)| (*name, "ledger", target.address))
        .collect();
    let mut daemons = vec![start_daemon(&log, &listed).await];
    for process in 0..PROCESSES {
        if process > 0 {
            // The previous process gets no more calls, as if it had been killed.
            let mut settings = vm_settings("vm-1", &log);
            settings.is_first_start = false;
            let next = DirectDaemon::start(settings).await;
            daemons.push(next.expect("the daemon starts"));
        }
        let daemon = &daemons[process];
        wait_for("readiness", async || is_ready(daemon).await).await;
        for request in 0..REQUESTS {
            let id = format!("r{process}-{request}");
            let answer =
                send_request(daemon.caller_address, &post_request("/lookup/1", &id, "")).await;
            assert_eq!(answer.status, 503);
        }
    }
    let is_lookup = |request: &RawRequest| request.request_line().contains("/lookup/");
    let arrivals: usize = targets
        .iter()
        .map(|target| {
            target
                .requests()
                .iter()
                .filter(|seen| is_lookup(seen))
                .count()
        })
        .sum();
    let requests = PROCESSES * REQUESTS;
    let retries = arrivals - requests;
    let allowed = RATIO * requests as f64 + FIXED;
    assert!(
        retries as f64 <= allowed,
        "{retries} retries for {requests} requests, {allowed} allowed for the whole fleet"
    );
}

/// A process that starts while the log is unavailable knows no other VM, and so not how small its share of the fixed number is: a
/// seventy-fifth in a fleet of 75. It must not take a larger one, such as an eighth.
#[tokio::test]
async fn a_process_that_does_not_know_the_fleet_spends_no_fixed_retries() {
    let log = KeyedLog::start().await.expect("a log");
    let fleet = FleetState::new(&vm_settings("vm-1", &log), 1);
    let service = ServiceName::new("ledger");
    let is_allowed = fleet.tables().retries.try_retry(&service, clock::now());
    assert!(!is_allowed);
}
