//! VMs that have more work than processor time, and what they tell each other about it.

use crate::support::{
    good_answer, is_ready, post_request, send_request, start_daemon, start_second_vm, vm_settings,
    wait_for,
};
use hoplanding_standins::{keyed_log::KeyedLog, raw_target::RawTarget};
use hoplandingd::{
    clock,
    direct::{daemon::DirectDaemon, fleet::FleetState},
};
use std::sync::Arc;

fn others_have_time(fleet: &Arc<FleetState>) -> bool {
    fleet.others_have_time(clock::now())
}

/// An overloaded VM that does not know that the others are overloaded too closes connections whose callers are closed again.
#[tokio::test]
async fn vms_of_a_zone_know_whether_the_others_are_overloaded() {
    let log = KeyedLog::start().await.expect("a log");
    let target = RawTarget::start(good_answer).await.expect("a target");
    let holder = start_daemon(&log, &[("i-1", "ledger", target.address)]).await;
    let (second, _relay) = start_second_vm(&log).await;
    let third = DirectDaemon::start(vm_settings("vm-3", &log)).await;
    let third = third.expect("the daemon starts");
    wait_for("all known", async || {
        is_ready(&third).await
            && [&holder, &second, &third]
                .iter()
                .all(|vm| vm.fleet().zone_vms() == 3)
    })
    .await;
    assert!(others_have_time(third.fleet()));
    for vm in [&holder, &second, &third] {
        vm.fleet().set_overloaded(true);
    }
    // The holder's heartbeats tell the third VM about the second.
    for vm in [&holder, &second, &third] {
        wait_for("overload of the others", async || {
            !others_have_time(vm.fleet())
        })
        .await;
    }
    for vm in [&holder, &second] {
        vm.fleet().set_overloaded(false);
    }
    wait_for("time at the others", async || {
        others_have_time(third.fleet())
    })
    .await;
}

/// Callers with open connections would stay with an overloaded VM, and keep it so, while others have time.
#[tokio::test]
async fn an_overloaded_vm_closes_open_connections_after_their_answers() {
    let log = KeyedLog::start().await.expect("a log");
    let target = RawTarget::start(good_answer).await.expect("a target");
    let first = start_daemon(&log, &[("i-1", "ledger", target.address)]).await;
    let (second, _relay) = start_second_vm(&log).await;
    let call = async || {
        let request = post_request("/lookup/1", "r1", "");
        send_request(second.caller_address, &request).await
    };
    assert!(!call().await.has_header("connection: close"));
    second.fleet().set_overloaded(true);
    let answer = call().await;
    assert_eq!(answer.status, 200);
    assert!(answer.has_header("connection: close"));
    first.fleet().set_overloaded(true);
    wait_for("overload of the other VM", async || {
        !others_have_time(second.fleet())
    })
    .await;
    wait_for("an open connection", async || {
        !call().await.has_header("connection: close")
    })
    .await;
}
