//! Repeats in a fleet whose processes end and start again.
//!
//! What users saw: within ten seconds a service received more arrivals beyond the first of their request than a fifth of
//! its requests and the fixed number allow. Targets turned away half of their calls; meanwhile nearly all processes of
//! the fleet were killed every second or two and started again. Order of events: a process spent its share of the
//! budget on calls that were turned away; it was killed; the next one began with an empty window and a whole share. The
//! cause is that what was spent was known to the process alone, and that no part of the budget was set aside for those
//! that start.
//!
//! Evidence: in a play of seven VMs with 27 starts in ten seconds reel descriptions had 234 repeats for 659 requests,
//! where 186 were allowed; of 16 such days four went beyond, all four with kills in series, and none of the same days
//! once a process began without its fixed part.

use crate::support::{
    is_ready, post_request, seal_headers, send_request, start_daemon, vm_settings, wait_for,
};
use hoplanding_core::ids::ServiceName;
use hoplanding_standins::{
    keyed_log::KeyedLog,
    raw_target::{RawAnswer, RawRequest, RawTarget},
};
use hoplandingd::{
    clock,
    direct::{daemon::DirectDaemon, fleet::FleetState},
};

/// The settings' rule for repeats where they name none.
const RATIO: f64 = 0.2;
const FIXED: f64 = 50.0;

fn turns_away(request: &RawRequest) -> RawAnswer {
    let headers = format!("{}Hoplanding-Not-Executed: 1\r\n", seal_headers(request));
    RawAnswer::whole("503 Service Unavailable", &headers, "")
}

#[tokio::test]
async fn processes_that_start_again_and_again_spend_no_more_than_the_fleet_may() {
    const LIVES: usize = 16;
    const REQUESTS: usize = 3;
    let log = KeyedLog::start().await.expect("a log");
    let mut targets = Vec::new();
    for _ in 0..3 {
        targets.push(RawTarget::start(turns_away).await.expect("a target"));
    }
    let listed = ["i-1", "i-2", "i-3"];
    let listed: Vec<_> = listed
        .iter()
        .zip(&targets)
        .map(|(name, target)| (*name, "ledger", target.address))
        .collect();
    let mut lives = vec![start_daemon(&log, &listed).await];
    for life in 0..LIVES {
        if life > 0 {
            // The life before is asked nothing any more, as one that was killed.
            let mut settings = vm_settings("vm-1", &log);
            settings.is_first_start = false;
            let next = DirectDaemon::start(settings).await;
            lives.push(next.expect("the daemon starts"));
        }
        let daemon = &lives[life];
        wait_for("readiness", async || is_ready(daemon).await).await;
        for request in 0..REQUESTS {
            let id = format!("r{life}-{request}");
            let answer =
                send_request(daemon.caller_address, &post_request("/lookup/1", &id, "")).await;
            assert_eq!(answer.status, 503);
        }
    }
    let is_lookup = |request: &RawRequest| request.line().contains("/lookup/");
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
    let requests = LIVES * REQUESTS;
    let repeats = arrivals - requests;
    let allowed = RATIO * requests as f64 + FIXED;
    assert!(
        repeats as f64 <= allowed,
        "{repeats} repeats for {requests} requests, {allowed} allowed to the whole fleet"
    );
}

/// A process that starts while the log is out of reach knows no other VM. In a fleet of 75 its part of the fixed number
/// is a seventy-fifth, and it took an eighth.
#[tokio::test]
async fn a_process_that_does_not_know_its_fleet_spends_nothing_of_the_fixed_number() {
    let log = KeyedLog::start().await.expect("a log");
    let fleet = FleetState::new(&vm_settings("vm-1", &log), 1);
    let service = ServiceName::new("ledger");
    let is_allowed = fleet.tables().retries.try_retry(&service, clock::now());
    assert!(!is_allowed);
}
