//! Revocations that the log acknowledged and lost before any VM read them.
//!
//! Operators write the revocation again within the rewrite time. No call by the revoked key may run that was sent more than the
//! revocation bound after the first acknowledgement.

use crate::{
    keys::send_call,
    restore_trials::{
        CALL_INTERVAL, HALF_LONG_OUTAGE, KEPT, REVOCATION_BOUND, RestoreTrial, SHORT_OUTAGE,
        TrialVm, active_version, call, knows_era, with_key, without_key,
    },
    support::{is_ready, wait_for},
};
use hoplanding_core::{
    direct::freshness::{ForwardedProof, FreshnessProof, HeartbeatEcho, RevocationRule},
    ids::Instant as ClockInstant,
};
use hoplanding_standins::relay::{LinkRelay, LinkState};
use hoplandingd::clock;
use std::time::Duration;
use tokio::time::{Instant, sleep};

const REWRITE_TIME: Duration = Duration::from_secs(5);
/// Rewrite time where operators write several configurations.
const LONG_REWRITE_TIME: Duration = Duration::from_secs(8);
/// Time that operators take to write again, longer than the revocation bound.
const LATE_WRITE: Duration = Duration::from_millis(3_500);
/// Time of operators after a second restoration, longer than what is left of the rewrite time after the first one.
const LATER_WRITE: Duration = Duration::from_millis(4_500);
/// Time from the check of a key to the send, and until a caller's request arrives.
const MAX_PROOF_LAG: Duration = Duration::from_millis(150);

/// Guards against living VMs that trust the copy: the revocation is lost unread, and operators write again after the bound.
#[tokio::test]
async fn living_vm_does_not_trust_a_log_restored_without_an_unread_revocation() {
    let trial = RestoreTrial::start().await;
    let vm = trial.start_first(REWRITE_TIME).await;
    let acknowledged = trial.lose_unread(&[without_key(3)], SHORT_OUTAGE).await;
    assert_eq!(active_version(&vm.daemon), Some(2));
    sleep(LATE_WRITE).await;
    trial.rewrite(&without_key(3));
    trial.check(&[&vm], acknowledged).await;
}

/// Guards against service by the copy after an outage longer than the bound, in whose middle the revocation was acknowledged.
#[tokio::test]
async fn living_vm_does_not_trust_the_copy_after_an_outage_longer_than_the_bound() {
    let trial = RestoreTrial::start().await;
    let vm = trial.start_first(REWRITE_TIME).await;
    let configs = [without_key(3)];
    let acknowledged = trial.lose_unread(&configs, HALF_LONG_OUTAGE).await;
    assert_eq!(active_version(&vm.daemon), Some(2));
    sleep(LATE_WRITE).await;
    trial.rewrite(&without_key(3));
    trial.check(&[&vm], acknowledged).await;
}

/// Guards against forwarded proofs that vouch for the copy: one VM is cut from the log, another one reads the copy.
#[tokio::test]
async fn vm_cut_from_the_log_does_not_serve_by_forwarded_reads_of_the_copy() {
    let trial = RestoreTrial::start().await;
    let reader = trial.start_first(REWRITE_TIME).await;
    let relay = LinkRelay::start().await.expect("a relay");
    relay.set_target(trial.log.address());
    let mut settings = trial.settings("vm-2", REWRITE_TIME);
    settings.platform_address = relay.address;
    let cut = trial.start_later("vm-2", settings).await;
    wait_for("readiness", async || is_ready(&cut.daemon).await).await;
    relay.set_state(LinkState::Cut);
    let acknowledged = trial.lose_unread(&[without_key(3)], SHORT_OUTAGE).await;
    sleep(LATE_WRITE).await;
    trial.rewrite(&without_key(3));
    trial.check(&[&reader, &cut], acknowledged).await;
}

/// Guards against a second restoration that excuses a VM by its reads of the first copy.
#[tokio::test]
async fn second_restoration_during_the_first_rewrite_does_not_bring_the_key_back() {
    let trial = RestoreTrial::start().await;
    let vm = trial.start_first(REWRITE_TIME).await;
    let acknowledged = trial.lose_unread(&[without_key(3)], SHORT_OUTAGE).await;
    wait_for("the first copy", async || knows_era(&vm.daemon, 2)).await;
    sleep(Duration::from_secs(1)).await;
    trial.lose_unread(&[], SHORT_OUTAGE).await;
    sleep(LATE_WRITE).await;
    trial.rewrite(&without_key(3));
    trial.check(&[&vm], acknowledged).await;
}

/// Guards against a restoration that loses the rewritten revocation too, before any VM read it.
#[tokio::test]
async fn restoration_that_loses_the_rewritten_revocation_does_not_bring_the_key_back() {
    let trial = RestoreTrial::start().await;
    let vm = trial.start_first(REWRITE_TIME).await;
    let acknowledged = trial.lose_unread(&[without_key(3)], SHORT_OUTAGE).await;
    wait_for("the first copy", async || knows_era(&vm.daemon, 2)).await;
    sleep(Duration::from_secs(1)).await;
    trial.lose_unread(&[without_key(3)], SHORT_OUTAGE).await;
    assert_eq!(active_version(&vm.daemon), Some(2));
    sleep(LATE_WRITE).await;
    trial.rewrite(&without_key(3));
    trial.check(&[&vm], acknowledged).await;
}

/// Guards against a VM that starts in the new era and serves by the proof of one that lived through the restoration.
#[tokio::test]
async fn vm_that_starts_beside_a_living_one_does_not_trust_its_reads_of_the_copy() {
    let trial = RestoreTrial::start().await;
    let living = trial.start_first(REWRITE_TIME).await;
    let acknowledged = trial.lose_unread(&[without_key(3)], SHORT_OUTAGE).await;
    let settings = trial.settings("vm-2", REWRITE_TIME);
    let started = trial.start_later("vm-2", settings).await;
    sleep(LATE_WRITE).await;
    trial.rewrite(&without_key(3));
    trial.check(&[&living, &started], acknowledged).await;
}

/// Guards against a VM that forgets its doubt in a restart: it is killed at the restoration and reads only the copy.
#[tokio::test]
async fn vm_restarted_alone_does_not_trust_the_copy() {
    let trial = RestoreTrial::start().await;
    let killed = trial.start_first(REWRITE_TIME).await;
    let acknowledged = trial.lose_unread(&[without_key(3)], SHORT_OUTAGE).await;
    let restarted = restart(&trial, killed, REWRITE_TIME).await;
    sleep(LATE_WRITE).await;
    trial.rewrite(&without_key(3));
    trial.check(&[&restarted], acknowledged).await;
}

/// Guards against a VM that is restarted while it doubts the copy and trusts it afterwards.
#[tokio::test]
async fn vm_restarted_alone_in_the_new_era_does_not_trust_the_copy() {
    let trial = RestoreTrial::start().await;
    let killed = trial.start_first(REWRITE_TIME).await;
    let acknowledged = trial.lose_unread(&[without_key(3)], SHORT_OUTAGE).await;
    wait_for("the copy", async || knows_era(&killed.daemon, 2)).await;
    let restarted = restart(&trial, killed, REWRITE_TIME).await;
    sleep(LATE_WRITE).await;
    trial.rewrite(&without_key(3));
    trial.check(&[&restarted], acknowledged).await;
}

/// The VM after a kill during the loss: it starts again and has read only the copy.
async fn restart(trial: &RestoreTrial, killed: TrialVm, rewrite_time: Duration) -> TrialVm {
    drop(killed);
    let settings = trial.settings("vm-1", rewrite_time);
    let restarted = trial.start_later("vm-1", settings).await;
    wait_for("the copy", async || {
        active_version(&restarted.daemon) == Some(2)
    })
    .await;
    restarted
}

/// Operators write the lost configuration 3, which has the key, and 4, which has not, with a pause between them. Other records of theirs
/// may keep each read short, so that some read starts and ends in any part of the pause.
async fn check_two_rewrites(pause: Duration, is_restarted: bool, has_other_writes: bool) {
    let trial = RestoreTrial::start().await;
    let mut vm = trial.start_first(LONG_REWRITE_TIME).await;
    let configs = [with_key(3), without_key(4)];
    let acknowledged = trial.lose_unread(&configs, SHORT_OUTAGE).await;
    if is_restarted {
        vm = restart(&trial, vm, LONG_REWRITE_TIME).await;
    }
    sleep(REVOCATION_BOUND).await;
    trial.rewrite(&with_key(3));
    let until = Instant::now() + pause;
    while Instant::now() < until {
        if has_other_writes {
            trial.log.put("keyed.op", "note", Some("{}"));
        }
        sleep(CALL_INTERVAL).await;
    }
    trial.rewrite(&without_key(4));
    trial.check(&[&vm], acknowledged).await;
}

/// Guards against a living VM that serves between two rewrites that follow shortly on each other.
#[tokio::test]
async fn living_vm_does_not_serve_the_key_before_the_second_rewrite_shortly_after() {
    check_two_rewrites(Duration::from_millis(500), false, false).await;
}

/// Guards against a living VM that serves in a long pause between two rewrites.
#[tokio::test]
async fn living_vm_does_not_serve_the_key_in_a_long_pause_between_rewrites() {
    check_two_rewrites(Duration::from_millis(2_500), false, false).await;
}

/// Guards against a restarted VM that serves between two rewrites that follow shortly on each other.
#[tokio::test]
async fn restarted_vm_does_not_serve_the_key_before_the_second_rewrite_shortly_after() {
    check_two_rewrites(Duration::from_millis(500), true, false).await;
}

/// Guards against a restarted VM that takes a pause after an older configuration for the end of the rewrites, while other records wake
/// its reads.
#[tokio::test]
async fn restarted_vm_does_not_serve_the_key_in_a_long_pause_between_rewrites() {
    check_two_rewrites(Duration::from_millis(2_500), true, true).await;
}

/// Guards against a restarted VM that takes a pause after an older configuration for the end of the rewrites, while its reads wait.
#[tokio::test]
async fn restarted_vm_does_not_serve_the_key_in_a_longer_silence_between_rewrites() {
    check_two_rewrites(Duration::from_millis(3_500), true, false).await;
}

/// A proof of configuration 2, and the heartbeat of the receiver that it answers.
fn forwarded_proof(proven_at: ClockInstant, sent: ClockInstant) -> (ForwardedProof, HeartbeatEcho) {
    let age_ms = u32::try_from(sent.since(proven_at).as_millis()).expect("a short test");
    let proof = ForwardedProof { version: 2, age_ms };
    let echo = HeartbeatEcho {
        sent: sent.0,
        held_ms: 0,
    };
    (proof, echo)
}

/// Guards against a proof from before the restoration that counts as a young one because its heartbeat arrived late.
#[tokio::test]
async fn late_heartbeat_with_a_proof_from_before_the_restoration_is_no_younger() {
    let trial = RestoreTrial::start().await;
    let killed = trial.start_first(REWRITE_TIME).await;
    let proven_at = clock::now();
    let acknowledged = trial.lose_unread(&[without_key(3)], SHORT_OUTAGE).await;
    let restarted = restart(&trial, killed, REWRITE_TIME).await;
    let (proof, echo) = forwarded_proof(proven_at, clock::now());
    for _ in 0..30 {
        sleep(Duration::from_millis(100)).await;
        restarted.daemon.fleet().apply_proof(&proof, &echo);
    }
    trial.rewrite(&without_key(3));
    trial.check(&[&restarted], acknowledged).await;
}

/// A VM restarted after the first loss sees a second restoration; a proof from before the first one may reach it late.
async fn check_restarted_twice(has_late_heartbeat: bool) {
    let trial = RestoreTrial::start().await;
    let killed = trial.start_first(REWRITE_TIME).await;
    let proven_at = clock::now();
    let acknowledged = trial.lose_unread(&[without_key(3)], SHORT_OUTAGE).await;
    let restarted = restart(&trial, killed, REWRITE_TIME).await;
    let (proof, echo) = forwarded_proof(proven_at, clock::now());
    sleep(Duration::from_secs(1)).await;
    if has_late_heartbeat {
        restarted.daemon.fleet().apply_proof(&proof, &echo);
    }
    trial.lose_unread(&[], SHORT_OUTAGE).await;
    sleep(LATER_WRITE).await;
    trial.rewrite(&without_key(3));
    trial.check(&[&restarted], acknowledged).await;
}

/// Guards against a restarted VM whose doubt ends with the rewrite time of the first of two restorations.
#[tokio::test]
async fn restarted_vm_does_not_trust_the_copy_of_a_second_restoration() {
    check_restarted_twice(false).await;
}

/// Guards against a restarted VM that a late heartbeat excuses from the second restoration by a proof from before the first one.
#[tokio::test]
async fn late_heartbeat_does_not_excuse_a_restarted_vm_from_a_second_restoration() {
    check_restarted_twice(true).await;
}

/// Guards against a late heartbeat that makes a proof from before a revocation younger, with time as an argument.
#[test]
fn proof_from_before_a_revocation_expires_however_late_it_arrives() {
    let rule = RevocationRule {
        bound: REVOCATION_BOUND,
    };
    let forwarded = ForwardedProof {
        version: 2,
        age_ms: 10,
    };
    let echo = HeartbeatEcho {
        sent: 5_000_000,
        held_ms: 10,
    };
    let mut proof = FreshnessProof::default();
    proof.accept_forwarded(&forwarded, &echo, 2);
    assert!(proof.is_fresh(rule, ClockInstant(6_000_000)));
    assert!(!proof.is_fresh(rule, ClockInstant(6_500_000)));
}

/// Guards against service that ends before the last proof does, or that does not return: the copy lacks nothing and operators write
/// nothing.
#[tokio::test]
async fn kept_key_is_served_within_the_bound_and_after_the_rewrite_time() {
    let trial = RestoreTrial::start().await;
    let vm = trial.start_first(REWRITE_TIME).await;
    let proof_age = vm.daemon.fleet().tables().proof.age(clock::now());
    let proven_at = Instant::now() - proof_age.expect("a proof");
    trial.lose_unread(&[], SHORT_OUTAGE).await;
    sleep(REWRITE_TIME).await;
    wait_for("service", async || {
        call(vm.daemon.caller_address, "good", KEPT).await.0 == 200
    })
    .await;
    let statuses = trial.kept_statuses(proven_at + REVOCATION_BOUND - MAX_PROOF_LAG);
    assert!(!statuses.is_empty());
    assert!(
        statuses.iter().all(|status| *status == Some(200)),
        "{statuses:?}"
    );
}

/// Guards against callers that are refused for good after an outage longer than the bound: the copy lacks nothing.
#[tokio::test]
async fn kept_key_is_served_again_after_a_long_outage_and_the_rewrite_time() {
    let trial = RestoreTrial::start().await;
    let vm = trial.start_first(REWRITE_TIME).await;
    trial.lose_unread(&[], HALF_LONG_OUTAGE).await;
    sleep(REWRITE_TIME).await;
    wait_for("service", async || {
        call(vm.daemon.caller_address, "good", KEPT).await.0 == 200
    })
    .await;
}

/// A caller that is refused in the new era comes back once, after the stated time.
async fn check_retry_after(half_outage: Duration, is_restarted: bool) {
    let trial = RestoreTrial::start().await;
    let mut vm = trial.start_first(REWRITE_TIME).await;
    trial.lose_unread(&[], half_outage).await;
    if is_restarted {
        vm = restart(&trial, vm, REWRITE_TIME).await;
    }
    wait_for("the new era", async || knows_era(&vm.daemon, 2)).await;
    let address = vm.daemon.caller_address;
    let until = Instant::now() + REVOCATION_BOUND;
    let mut first = call(address, "first", KEPT).await;
    while first.0 == 200 && Instant::now() < until {
        sleep(CALL_INTERVAL).await;
        first = call(address, "first", KEPT).await;
    }
    assert_eq!(first.0, 503, "the VM has no proof by now");
    let retry_after = first.1.expect("a Retry-After");
    sleep(Duration::from_secs_f64(retry_after)).await;
    let second = call(address, "second", KEPT).await;
    assert_eq!(second.0, 200, "{second:?} after {retry_after} s");
}

/// Guards against a `Retry-After` of a restarted VM after which the caller is refused again.
#[tokio::test]
async fn caller_refused_by_a_restarted_vm_is_served_after_the_stated_time() {
    check_retry_after(SHORT_OUTAGE, true).await;
}

/// Guards against a `Retry-After` of a living VM after which the caller is refused again; the outage is short.
#[tokio::test]
async fn caller_refused_by_a_living_vm_is_served_after_the_stated_time() {
    check_retry_after(SHORT_OUTAGE, false).await;
}

/// Guards against a `Retry-After` of a living VM after which the caller is refused again; the outage is longer than the bound.
#[tokio::test]
async fn caller_refused_after_a_long_outage_is_served_after_the_stated_time() {
    check_retry_after(HALF_LONG_OUTAGE, false).await;
}

/// Guards against a balancer that takes every VM out of service after a restoration, and with them the calls that need no key.
#[tokio::test]
async fn living_vm_stays_ready_for_calls_without_a_key_while_it_refuses_keys() {
    let trial = RestoreTrial::start().await;
    let vm = trial.start_first(REWRITE_TIME).await;
    trial.lose_unread(&[], SHORT_OUTAGE).await;
    wait_for("a refusal", async || {
        call(vm.daemon.caller_address, "first", KEPT).await.0 == 503
    })
    .await;
    assert!(is_ready(&vm.daemon).await);
    let open = send_call(&vm.daemon, "/open/1", "open", "").await;
    assert_eq!(open.status, 200);
    assert_eq!(call(vm.daemon.caller_address, "second", KEPT).await.0, 503);
}

/// Number of proofs of a source, by the VM's metrics.
fn key_proofs(vm: &TrialVm, source: &str) -> u64 {
    let fleet = vm.daemon.fleet();
    let start = format!("hoplanding_key_proofs_total{{source=\"{source}\"}}");
    let page = fleet.metrics.page(fleet);
    page.lines()
        .find_map(|line| line.strip_prefix(&start)?.trim().parse().ok())
        .unwrap_or(0)
}

/// Guards against metrics that do not tell whether a VM trusts its own reads, those of another VM or none.
#[tokio::test]
async fn metrics_tell_reads_that_prove_from_those_of_a_guarded_log() {
    let trial = RestoreTrial::start().await;
    let vm = trial.start_first(REWRITE_TIME).await;
    wait_for("a proof", async || key_proofs(&vm, "Read") > 0).await;
    assert_eq!(key_proofs(&vm, "Guarded"), 0);
    trial.lose_unread(&[], SHORT_OUTAGE).await;
    wait_for("a guarded read", async || key_proofs(&vm, "Guarded") > 1).await;
    let before = key_proofs(&vm, "Read");
    wait_for("a proof after the rewrite time", async || {
        key_proofs(&vm, "Read") > before
    })
    .await;
    assert_eq!(key_proofs(&vm, "Forwarded"), 0);
}
