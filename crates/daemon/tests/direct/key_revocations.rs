//! Revocation of API keys by configurations that hold unusual or malformed values. Whatever an operator writes, a key that the
//! newest configuration no longer names must not stay valid beyond the bound, on any route.

use crate::{
    keys::{
        KEY, REVOCATION_BOUND, keyed_config, received_calls, send_call, start_keyed_daemon,
        test_organisation,
    },
    support::{Answer, good_answer, is_ready, post_request, read_answer, wait_for},
};
use hoplanding_standins::{keyed_log::KeyedLog, raw_target::RawTarget};
use hoplandingd::direct::daemon::DirectDaemon;
use serde_json::{Value, json};
use std::time::Duration;
use tokio::{io::AsyncWriteExt, net::TcpStream, time::sleep};

/// The key that stays when `KEY` is taken away.
const KEPT_KEY: &str = "Authorization: Bearer k2\r\n";

async fn call(daemon: &DirectDaemon, headers: &str) -> Answer {
    send_call(daemon, "/scan/1", "r1", headers).await
}

async fn wait_for_revocation(daemon: &DirectDaemon) {
    wait_for("the revocation", async || {
        call(daemon, KEY).await.status == 401
    })
    .await;
}

/// A configuration that takes `KEY` away, with one value of its organisation replaced.
fn revoking_config(version: u64, field: &str, value: Value) -> String {
    let mut organisation = test_organisation(&["k2"]);
    organisation[field] = value;
    keyed_config(version, &json!([organisation]))
}

/// Guards against a configuration that is rejected, with the revocation in it, because a quota has a fraction.
#[tokio::test]
async fn a_key_is_revoked_by_a_configuration_with_fractional_quotas() {
    let log = KeyedLog::start().await.expect("a log");
    let target = RawTarget::start(good_answer).await.expect("a target");
    let targets = [("i-1", "ledger", target.address)];
    let organisations = json!([test_organisation(&["k1", "k2"])]);
    let daemon = start_keyed_daemon(&log, &targets, &organisations).await;
    for (field, version) in [("rate_per_s", 3), ("burst", 4), ("plain_tokens", 5)] {
        let config = revoking_config(version, field, json!(20_037.5));
        log.put("keyed.op", "config", Some(&config));
        wait_for("the configuration", async || {
            let active = daemon.fleet().active();
            active.is_some_and(|active| active.config.version == version)
        })
        .await;
        assert_eq!(call(&daemon, KEY).await.status, 401, "{field}");
        assert_eq!(call(&daemon, KEPT_KEY).await.status, 200, "{field}");
    }
}

/// Guards against a revoked key that stays valid because its configuration is unusable for another reason. Nothing else
/// changes: the VM stays ready, and calls with other keys go on.
#[tokio::test]
async fn a_key_is_revoked_by_a_configuration_that_is_unusable_otherwise() {
    let log = KeyedLog::start().await.expect("a log");
    let target = RawTarget::start(good_answer).await.expect("a target");
    let targets = [("i-1", "ledger", target.address)];
    let organisations = json!([test_organisation(&["k1", "k2"])]);
    let daemon = start_keyed_daemon(&log, &targets, &organisations).await;
    let config = revoking_config(3, "unit", json!("furlongs"));
    log.put("keyed.op", "config", Some(&config));
    wait_for_revocation(&daemon).await;
    // Long enough that keys are not trusted by an earlier proof.
    sleep(REVOCATION_BOUND + Duration::from_millis(200)).await;
    assert_eq!(call(&daemon, KEPT_KEY).await.status, 200);
    assert_eq!(call(&daemon, KEY).await.status, 401);
    assert!(is_ready(&daemon).await);
    // A later configuration that is usable holds as a whole.
    let restored = json!([test_organisation(&["k1"])]);
    log.put("keyed.op", "config", Some(&keyed_config(4, &restored)));
    wait_for("the key's return", async || {
        call(&daemon, KEY).await.status == 200
    })
    .await;
    assert_eq!(call(&daemon, KEPT_KEY).await.status, 401);
}

/// Guards against a VM that counts reads of an unreadable configuration as a proof that the earlier one is the newest.
#[tokio::test]
async fn keys_are_not_trusted_beyond_the_bound_if_the_newest_ones_can_not_be_read() {
    let log = KeyedLog::start().await.expect("a log");
    let target = RawTarget::start(good_answer).await.expect("a target");
    let targets = [("i-1", "ledger", target.address)];
    let organisations = json!([test_organisation(&["k1", "k2"])]);
    let daemon = start_keyed_daemon(&log, &targets, &organisations).await;
    let whole = keyed_config(3, &json!([test_organisation(&["k2"])]));
    log.put("keyed.op", "config", Some(&whole[..whole.len() - 2]));
    sleep(REVOCATION_BOUND + Duration::from_millis(200)).await;
    let before = received_calls(&target).len();
    for headers in [KEY, KEPT_KEY] {
        let answer = call(&daemon, headers).await;
        assert_eq!(answer.status, 503, "{headers}");
        assert!(answer.has_header("retry-after"));
    }
    assert_eq!(received_calls(&target).len(), before);
    let anonymous = send_call(&daemon, "/open/1", "r2", "").await;
    assert_eq!(anonymous.status, 200);
    log.put("keyed.op", "config", Some(&whole));
    wait_for_revocation(&daemon).await;
    assert_eq!(call(&daemon, KEPT_KEY).await.status, 200);
}

/// Guards against another VM's proof for the configuration before, which the VM took over before it read the newest one.
#[tokio::test]
async fn a_proof_of_an_older_configuration_is_not_accepted_after_a_revocation() {
    let log = KeyedLog::start().await.expect("a log");
    let target = RawTarget::start(good_answer).await.expect("a target");
    let targets = [("i-1", "ledger", target.address)];
    let organisations = json!([test_organisation(&["k1", "k2"])]);
    let daemon = start_keyed_daemon(&log, &targets, &organisations).await;
    let config = revoking_config(3, "unit", json!("furlongs"));
    log.put("keyed.op", "config", Some(&config));
    wait_for_revocation(&daemon).await;
    let tables = daemon.fleet().tables();
    assert_eq!(tables.newest_version(), Some(3));
    let active = tables.active.as_ref().expect("a configuration");
    assert_eq!(active.config.version, 2);
}

/// Guards against a key that was taken away, or never was one, with which a call still runs because its route needs no key.
#[tokio::test]
async fn a_key_that_is_not_valid_is_refused_on_an_anonymous_route() {
    let log = KeyedLog::start().await.expect("a log");
    let target = RawTarget::start(good_answer).await.expect("a target");
    let targets = [("i-1", "ledger", target.address)];
    let organisations = json!([test_organisation(&["k1", "k2"])]);
    let daemon = start_keyed_daemon(&log, &targets, &organisations).await;
    let open = async |headers: &str| send_call(&daemon, "/open/1", "r1", headers).await.status;
    assert_eq!(open(KEY).await, 200);
    let config = keyed_config(3, &json!([test_organisation(&["k2"])]));
    log.put("keyed.op", "config", Some(&config));
    wait_for_revocation(&daemon).await;
    let before = received_calls(&target).len();
    let twice = format!("{KEPT_KEY}{KEY}");
    let basic = "Authorization: Basic k2\r\n";
    let never = "Authorization: Bearer k7\r\n";
    for headers in [KEY, &twice, basic, never, "Authorization: \r\n"] {
        assert_eq!(open(headers).await, 401, "{headers}");
    }
    assert_eq!(received_calls(&target).len(), before);
    assert_eq!((open("").await, open(KEPT_KEY).await), (200, 200));
}

/// Guards against a VM that is out of touch and runs calls with a key on an anonymous route, or refuses those of a key that may
/// be new to it: it answers 503 until it knows.
#[tokio::test]
async fn an_anonymous_route_takes_no_key_without_a_current_proof() {
    let log = KeyedLog::start().await.expect("a log");
    let target = RawTarget::start(good_answer).await.expect("a target");
    let targets = [("i-1", "ledger", target.address)];
    let organisations = json!([test_organisation(&["k1"])]);
    let daemon = start_keyed_daemon(&log, &targets, &organisations).await;
    log.set_faults(|faults| faults.is_unavailable = true);
    sleep(REVOCATION_BOUND).await;
    for headers in [KEY, KEPT_KEY] {
        let answer = send_call(&daemon, "/open/1", "r1", headers).await;
        assert_eq!(answer.status, 503, "{headers}");
        assert!(answer.has_header("retry-after"));
    }
    assert!(received_calls(&target).is_empty());
    let anonymous = send_call(&daemon, "/open/1", "r2", "").await;
    assert_eq!(anonymous.status, 200);
}

/// Guards against a call on an anonymous route that waits, for its body, while its key is taken away, and then runs.
#[tokio::test]
async fn a_key_that_is_taken_away_during_a_call_on_an_anonymous_route_counts() {
    let log = KeyedLog::start().await.expect("a log");
    let target = RawTarget::start(good_answer).await.expect("a target");
    let targets = [("i-1", "ledger", target.address)];
    let organisations = json!([test_organisation(&["k1", "k2"])]);
    let daemon = start_keyed_daemon(&log, &targets, &organisations).await;
    let mut stream = TcpStream::connect(daemon.caller_address)
        .await
        .expect("a connection");
    let head = post_request("/open/1", "late", KEY);
    let (head, body) = head.split_at(head.len() - 1);
    let sent = stream.write_all(head.as_bytes()).await;
    sent.expect("the VM reads the head");
    let config = keyed_config(3, &json!([test_organisation(&["k2"])]));
    log.put("keyed.op", "config", Some(&config));
    wait_for_revocation(&daemon).await;
    let before = received_calls(&target).len();
    let sent = stream.write_all(body.as_bytes()).await;
    sent.expect("the VM reads the body");
    assert_eq!(read_answer(&mut stream).await.status, 401);
    assert_eq!(received_calls(&target).len(), before);
}
