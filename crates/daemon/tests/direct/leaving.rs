//! Targets whose entries are removed from the platform's list without notice.
//!
//! Soon after an outage of the log a removal stays pending, because the entry may have expired with the log and be written again.
//! Requests may reach a removed target for no more than two seconds. That bound is exceeded if a VM takes a failed call of its own
//! for an outage of the log although the log served other VMs throughout, or if it does not notify the other VMs of a removal when
//! the removal is confirmed.

use crate::support::{
    good_answer, is_ready, start_daemon, start_second_vm, target_entry, vm_settings, wait_for,
};
use futures_util::FutureExt;
use hoplanding_core::ids::{LogPosition, TargetName};
use hoplanding_standins::{keyed_log::KeyedLog, raw_target::RawTarget, relay::LinkState};
use hoplandingd::direct::{
    daemon::DirectDaemon,
    fleet::FleetState,
    message::{FeedTopic, ForwardedRecord, VmMessage},
    sharing::RecordSharing,
};
use std::{sync::Arc, time::Duration};
use tokio::time::sleep;

/// Calls to the log for the target list with this outcome, by the VM's metrics.
fn list_calls(daemon: &DirectDaemon, outcome: &str) -> u64 {
    let page = daemon.fleet().metrics.page(daemon.fleet());
    let start =
        format!("hoplanding_log_calls_total{{topic=\"keyed.servers\",outcome=\"{outcome}\"}}");
    page.lines()
        .find_map(|line| line.strip_prefix(&start)?.trim().parse().ok())
        .unwrap_or(0)
}

/// One VM is cut off from the log and returns, while the other one reads throughout. The removal that the second one reads must
/// hold at the first one too.
#[tokio::test]
async fn a_removal_read_by_an_uninterrupted_vm_is_pending_nowhere() {
    let log = KeyedLog::start().await.expect("a log");
    let target = RawTarget::start(good_answer).await.expect("a target");
    let first = start_daemon(&log, &[("i-1", "ledger", target.address)]).await;
    let (second, relay) = start_second_vm(&log).await;
    // The log fails for the second VM only, and serves it again.
    relay.set_state(LinkState::Cut);
    wait_for("a failed call", async || list_calls(&second, "Failed") > 0).await;
    relay.set_state(LinkState::Open);
    let before = list_calls(&second, "Answered");
    wait_for("a successful call", async || {
        list_calls(&second, "Answered") > before
    })
    .await;
    // From here on the second VM learns of the list through the first one only, in the order of the log.
    relay.set_state(LinkState::Cut);
    sleep(Duration::from_millis(50)).await;
    log.put("keyed.servers", "i-1", None);
    wait_for("the removal at the first VM", async || {
        first.fleet().is_leaving("i-1")
    })
    .await;
    log.put(
        "keyed.servers",
        "i-2",
        Some(&target_entry("ledger", target.address, "ready", &[])),
    );
    wait_for("the next entry at the second VM", async || {
        !second.fleet().is_leaving("i-2")
    })
    .await;
    assert!(
        second.fleet().is_leaving("i-1"),
        "the second VM still sends to a target whose removal the first one read"
    );
}

/// A removal after an outage stays pending for a while. When it is confirmed, the VMs that learn of the list only from others must
/// be notified.
#[tokio::test]
async fn a_pending_removal_reaches_the_vms_that_do_not_read_the_log() {
    let log = KeyedLog::start().await.expect("a log");
    let target = RawTarget::start(good_answer).await.expect("a target");
    let mut fleet = vec![start_daemon(&log, &[("i-1", "ledger", target.address)]).await];
    for number in 2..=7 {
        let name = format!("vm-{number}");
        let daemon = DirectDaemon::start(vm_settings(&name, &log)).await;
        fleet.push(daemon.expect("the daemon starts"));
    }
    for daemon in &fleet {
        wait_for("readiness", async || is_ready(daemon).await).await;
        wait_for("all VMs to be known", async || {
            daemon.fleet().tables().vms.len() == fleet.len()
        })
        .await;
    }
    // By now only the holder reads the log; the other VMs have stopped.
    sleep(Duration::from_millis(3_500)).await;
    log.set_faults(|faults| faults.is_unavailable = true);
    let is_unavailable = |daemon: &DirectDaemon| list_calls(daemon, "Failed") > 0;
    wait_for("the outage", async || fleet.iter().any(is_unavailable)).await;
    log.put("keyed.servers", "i-1", None);
    log.set_faults(|faults| faults.is_unavailable = false);
    for daemon in &fleet {
        wait_for("the removal at every VM", async || {
            daemon.fleet().is_leaving("i-1")
        })
        .await;
    }
}

/// More targets leave than a link's backlog of records holds while the link is stalled. Its other end reads nothing from the log
/// itself, so it would keep sending to every target that the link skips.
#[tokio::test]
async fn a_lagging_link_forwards_every_target_that_left() {
    let log = KeyedLog::start().await.expect("a log");
    let address = log.address();
    let fleet = Arc::new(FleetState::new(&vm_settings("vm-1", &log), 1));
    let record = |number: u64, state: &str, position: u64| ForwardedRecord {
        topic: FeedTopic::Targets,
        key: format!("i-{number}"),
        value: Some(target_entry("ledger", address, state, &[]).into()),
        position: LogPosition(position),
    };
    let ready = (1..=600).map(|number| record(number, "ready", number));
    fleet.apply_forwarded(ready.collect());
    let mut sharing = RecordSharing::new(&fleet, &fleet.zone);
    for number in 1..=600 {
        fleet.apply_forwarded(vec![record(number, "draining", 600 + number)]);
    }
    let other = FleetState::new(&vm_settings("vm-2", &log), 2);
    other.apply_forwarded(
        (1..=600)
            .map(|number| record(number, "ready", number))
            .collect(),
    );
    while let Some(message) = sharing.next().now_or_never() {
        if let VmMessage::Records(records) = message {
            other.apply_forwarded(records);
        }
    }
    let kept: Vec<_> = (1..=600)
        .map(|number| format!("i-{number}"))
        .filter(|name| !other.is_leaving(name))
        .collect();
    assert!(kept.is_empty(), "{} targets kept as ready", kept.len());
    assert!(
        other
            .tables()
            .catalog
            .get(&TargetName::new("i-600"))
            .is_some()
    );
}
