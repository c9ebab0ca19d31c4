//! Memory of prompts, and the version of the adapter that made it.
//!
//! What users saw: a request for an adapter ran under version 7 and used memory of its prompt that had been made under
//! version 1. Its caller got a whole answer, signed and in time, part of which was computed from other weights. Order of
//! events: the adapter is in demand, and stands on several engines; a new version of it is named; a copy that calls are
//! using stays behind until they end, the others are replaced; the next call goes to a new copy, and is told to take its
//! prompt's shared part from the engine that has kept most of it. The cause is that the holder knows what engines have
//! kept by the adapter's name alone, and that nothing on the way between two engines says which version made it.

use crate::{
    keeping::EngineYard,
    support::{Answer, BOUND, HOST, ask, site, wait_for},
};
use hoplanding_standins::{
    kept_memory::MemoryMismatch, keyed_log::KeyedLog, raw_target::RawTarget,
};
use hoplandingd::direct::daemon::DirectDaemon;
use serde_json::json;
use std::{net::SocketAddr, sync::Arc};
use tokio::time::{Instant, sleep};

/// Tokens that prompts share; reading them takes a quarter of a second, so that a move pays.
const SHARED_TOKENS: u32 = 6_300;
/// Tokens of a prompt's own part.
const OWN_TOKENS: u32 = 200;
/// Tokens of an answer that keeps its copy in use for four seconds.
const LONG_ANSWER: u32 = 200;
const SHORT_ANSWER: u32 = 3;

/// A call for adapter a1 whose prompt shares its first part with all others.
fn request(number: u32, tokens: u32) -> String {
    let prompt = SHARED_TOKENS + OWN_TOKENS;
    format!(
        "POST /plan/1 HTTP/1.1\r\nHost: {HOST}\r\nHoplanding-Request-Id: r{number}\r\n\
         Hoplanding-Deadline-Ms: 5000\r\nHoplanding-Model: base/a1\r\n\
         Hoplanding-Token-Count: {prompt},{tokens}\r\n\
         Hoplanding-Prompt-Prefix: 5a:{SHARED_TOKENS},{:x}:{OWN_TOKENS}\r\nContent-Length: 4\r\n\r\nbody",
        number + 0x100
    )
}

/// Asks until it is served, as callers do that are told to come back.
async fn served(address: SocketAddr, number: u32, tokens: u32) -> Answer {
    let until = Instant::now() + BOUND;
    loop {
        let answer = ask(address, &request(number, tokens)).await;
        if answer.status == 200 {
            assert!(answer.is_whole, "{}", answer.head);
            return answer;
        }
        assert_eq!(answer.status, 503, "{}", answer.head);
        assert!(Instant::now() < until, "not served in time");
        sleep(BOUND / 100).await;
    }
}

/// The operator names a version.
fn name_version(log: &KeyedLog, yard: &EngineYard, version: u64) {
    yard.set_newest(version);
    let record = json!({ "model": "base", "adapter": "a1", "version": version });
    log.put("keyed.op", "version/base.a1", Some(&record.to_string()));
}

/// Two engines that hold version 1, behind one VM.
struct PairSite {
    log: KeyedLog,
    yard: Arc<EngineYard>,
    daemon: DirectDaemon,
    _engines: [RawTarget; 2],
}

impl PairSite {
    async fn start() -> Self {
        let log = KeyedLog::start().await.expect("a log");
        let yard = EngineYard::new(1);
        let engines = [
            yard.engine("i-1", &[("a1", 1)]).await,
            yard.engine("i-2", &[("a1", 1)]).await,
        ];
        let listed = [
            ("i-1", "scribe", engines[0].address),
            ("i-2", "scribe", engines[1].address),
        ];
        let daemon = site(&log, &listed).await;
        Self {
            log,
            yard,
            daemon,
            _engines: engines,
        }
    }
}

/// A version is named while a long answer keeps one engine's copy in use: the other engine gets the new version, and the
/// next call.
async fn a_copy_in_use_stays_behind() -> Vec<MemoryMismatch> {
    let site = PairSite::start().await;
    let (yard, address) = (&site.yard, site.daemon.caller_address);
    served(address, 1, SHORT_ANSWER).await;
    let long = tokio::spawn(served(address, 2, LONG_ANSWER));
    wait_for("the long run", async || yard.runs().len() == 2).await;
    let busy = yard.runs()[1].engine.clone();
    let other = if busy == "i-1" { "i-2" } else { "i-1" };
    name_version(&site.log, yard, 2);
    wait_for("the new version", async || {
        yard.version(other, "a1") == Some(2)
    })
    .await;
    let answer = served(address, 3, SHORT_ANSWER).await;
    assert!(
        answer.has("hoplanding-weight-versions: 2"),
        "{}",
        answer.head
    );
    let runs = yard.runs();
    assert_eq!(runs[2].engine, other, "{runs:?}");
    assert_eq!(yard.version(&busy, "a1"), Some(1), "it is in use still");
    long.await.expect("it is served");
    yard.mismatches()
}

#[tokio::test]
async fn memory_of_another_version_is_not_used_after_a_new_one_is_named() {
    let mismatches = a_copy_in_use_stays_behind().await;
    assert!(mismatches.is_empty(), "{mismatches:?}");
}
