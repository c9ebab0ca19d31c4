//! Guard of a restored log against restarts, further outages and wrong times of day.

use crate::{
    restore_trials::{
        KEPT, REVOCATION_BOUND, RestoreTrial, SHORT_OUTAGE, active_version, call, knows_era,
        without_key,
    },
    support::{is_ready, wait_for},
};
use hoplandingd::clock;
use serde_json::json;
use std::time::Duration;
use tokio::time::{Instant, sleep};

const REWRITE_TIME: Duration = Duration::from_secs(5);
/// Time that operators take to write again, longer than the revocation bound.
const LATE_WRITE: Duration = Duration::from_millis(3_500);

/// Guards against a VM whose process restarts with the settings file of the fleet's first start and trusts the copy.
#[tokio::test]
async fn vm_restarted_with_the_settings_of_the_first_start_does_not_trust_the_copy() {
    let trial = RestoreTrial::start().await;
    let killed = trial.start_first(REWRITE_TIME).await;
    let acknowledged = trial.lose_unread(&[without_key(3)], SHORT_OUTAGE).await;
    drop(killed);
    let settings = trial.settings("vm-1", REWRITE_TIME);
    assert!(settings.is_first_start);
    let restarted = trial.start_with("vm-1", settings).await;
    wait_for("the copy", async || {
        active_version(&restarted.daemon) == Some(2)
    })
    .await;
    sleep(LATE_WRITE).await;
    trial.rewrite(&without_key(3));
    trial.check(&[&restarted], acknowledged).await;
}

/// Guards against one VM without a guard that vouches for the copy to a VM that guards it.
#[tokio::test]
async fn living_vm_does_not_accept_the_proof_of_a_vm_restarted_with_the_first_settings() {
    let trial = RestoreTrial::start().await;
    let killed = trial.start_first(REWRITE_TIME).await;
    let settings = trial.settings("vm-2", REWRITE_TIME);
    let living = trial.start_later("vm-2", settings).await;
    wait_for("readiness", async || is_ready(&living.daemon).await).await;
    let acknowledged = trial.lose_unread(&[without_key(3)], SHORT_OUTAGE).await;
    drop(killed);
    let settings = trial.settings("vm-1", REWRITE_TIME);
    let restarted = trial.start_with("vm-1", settings).await;
    sleep(LATE_WRITE).await;
    trial.rewrite(&without_key(3));
    trial.check(&[&living, &restarted], acknowledged).await;
}

/// Guards against a guard that ends while the log is away again, in the same era: operators can only write once it is back.
#[tokio::test]
async fn guard_does_not_end_during_a_second_outage_in_the_same_era() {
    let trial = RestoreTrial::start().await;
    let vm = trial.start_first(REWRITE_TIME).await;
    let acknowledged = trial.lose_unread(&[without_key(3)], SHORT_OUTAGE).await;
    wait_for("the copy", async || knows_era(&vm.daemon, 2)).await;
    trial.log.set_faults(|faults| faults.is_unavailable = true);
    sleep(REWRITE_TIME).await;
    trial.log.set_faults(|faults| faults.is_unavailable = false);
    sleep(LATE_WRITE).await;
    trial.rewrite(&without_key(3));
    trial.check(&[&vm], acknowledged).await;
}

/// Guards against a short second outage in the same era: it ends before the guard does, but operators' time counts from its end.
#[tokio::test]
async fn guard_counts_from_the_end_of_a_second_outage_in_the_same_era() {
    let trial = RestoreTrial::start().await;
    let vm = trial.start_first(REWRITE_TIME).await;
    let acknowledged = trial.lose_unread(&[without_key(3)], SHORT_OUTAGE).await;
    wait_for("the copy", async || knows_era(&vm.daemon, 2)).await;
    trial.log.set_faults(|faults| faults.is_unavailable = true);
    sleep(Duration::from_secs(3)).await;
    trial.log.set_faults(|faults| faults.is_unavailable = false);
    sleep(LATE_WRITE).await;
    trial.rewrite(&without_key(3));
    trial.check(&[&vm], acknowledged).await;
}

/// Guards against an era record by a VM whose time of day is a minute late: a VM that saw the era begin needs no record.
#[tokio::test]
async fn era_record_with_a_wrong_time_does_not_end_the_guard_of_a_living_vm() {
    let trial = RestoreTrial::start().await;
    let vm = trial.start_first(REWRITE_TIME).await;
    let acknowledged = trial.lose_unread(&[without_key(3)], SHORT_OUTAGE).await;
    wait_for("the copy", async || knows_era(&vm.daemon, 2)).await;
    let record = json!({ "era": 2, "seen_ms": clock::wall_ms() - 60_000 }).to_string();
    trial.log.put("keyed.fleet", "era", Some(&record));
    sleep(LATE_WRITE).await;
    trial.rewrite(&without_key(3));
    trial.check(&[&vm], acknowledged).await;
}

/// Guards against a `Retry-After` that is too short between the end of the guard and the next proof.
#[tokio::test]
async fn caller_refused_at_any_time_is_served_after_the_stated_time() {
    let trial = RestoreTrial::start().await;
    let vm = trial.start_first(REWRITE_TIME).await;
    trial.lose_unread(&[], SHORT_OUTAGE).await;
    wait_for("the copy", async || knows_era(&vm.daemon, 2)).await;
    sleep(REVOCATION_BOUND).await;
    let until = Instant::now() + REWRITE_TIME;
    let mut refusals = Vec::new();
    while Instant::now() < until {
        let (status, retry_after) = call(vm.daemon.caller_address, "probe", KEPT).await;
        if status == 503 {
            let after = Duration::from_secs_f64(retry_after.expect("a Retry-After"));
            refusals.push((Instant::now(), after));
        } else if status == 200 {
            break;
        }
        sleep(Duration::from_millis(20)).await;
    }
    let served = Instant::now();
    let too_short: Vec<_> = refusals
        .iter()
        .filter(|(at, after)| *at + *after < served)
        .map(|(at, after)| (served - *at, *after))
        .collect();
    assert!(
        too_short.is_empty(),
        "(time until service, Retry-After): {too_short:?}"
    );
}

/// Guards against a VM that is left alone, has read the log in its era since, and refuses good keys for good: the VM that
/// told it the configuration never forwarded the unchanged rewrite.
#[tokio::test]
async fn last_vm_that_learned_the_configuration_from_others_serves_kept_keys() {
    let trial = RestoreTrial::start().await;
    let first = trial.start_first(REWRITE_TIME).await;
    trial.rewrite(&without_key(3));
    wait_for("version 3", async || {
        active_version(&first.daemon) == Some(3)
    })
    .await;
    trial.log.restore(&[("keyed.op", 1)]);
    wait_for("the copy", async || knows_era(&first.daemon, 2)).await;
    let mut others = Vec::new();
    for vm in ["vm-2", "vm-3", "vm-4"] {
        let settings = trial.settings(vm, REWRITE_TIME);
        let started = trial.start_later(vm, settings).await;
        wait_for("version 3 from the first VM", async || {
            active_version(&started.daemon) == Some(3)
        })
        .await;
        others.push(started);
    }
    // The VM of the last rank hears the holder and does not read.
    sleep(Duration::from_millis(1_500)).await;
    trial.rewrite(&without_key(3));
    sleep(REWRITE_TIME).await;
    wait_for("service by the first VM", async || {
        call(first.daemon.caller_address, "first", KEPT).await.0 == 200
    })
    .await;
    others.sort_by_key(|vm| vm.daemon.fleet().rank());
    let last = others.pop().expect("a VM");
    drop((first, others));
    sleep(REWRITE_TIME).await;
    let (status, retry_after) = call(last.daemon.caller_address, "last", KEPT).await;
    let (stored, proof_age) = {
        let tables = last.daemon.fleet().tables();
        (tables.stored_version, tables.proof.age(clock::now()))
    };
    assert_eq!(
        status, 200,
        "Retry-After {retry_after:?}, stored version {stored}, age of the proof {proof_age:?}"
    );
}
