//! Parts of prompts that crash every target that begins to answer a request with them. No two of these requests are alike, and
//! harmless ones share their caller and their other parts.

use crate::{
    poison::{listed, mortal_engines, start_two_zones},
    support::{
        config_json, model_headers, post_request, process_runtime, send_request, start_daemon_in,
        target_entry, vm_settings, wait_for,
    },
};
use hoplanding_standins::{
    keyed_log::KeyedLog,
    raw_target::{RawRequest, RawTarget},
};
use hoplandingd::direct::daemon::DirectDaemon;
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};
use tokio::time::sleep;

const NAMES: [&str; 16] = [
    "e-01", "e-02", "e-03", "e-04", "e-05", "e-06", "e-07", "e-08", "e-09", "e-10", "e-11", "e-12",
    "e-13", "e-14", "e-15", "e-16",
];
const EVENT_PAUSE: Duration = Duration::from_millis(5);
/// Crashes under one part after which hardly any request with it may reach a target.
const MAX_CRASHES: usize = 5;

/// A streaming request whose prompt has a part that all share, the given one, and one of its own.
fn request_with(part: &str, number: usize) -> String {
    let own = 0x1000 + number;
    let headers = format!(
        "{}Hoplanding-Prompt-Prefix: 1:50,{part}:30,{own:x}:20\r\n",
        model_headers("a1")
    );
    post_request("/plan/1", &format!("r{part}-{number}"), &headers)
}

fn has_part(request: &RawRequest, part: &str) -> bool {
    let prefix = request
        .header("hoplanding-prompt-prefix")
        .unwrap_or_default();
    prefix
        .split(',')
        .any(|block| block.split(':').next() == Some(part))
}

/// Number of requests with a part that reached targets.
fn arrivals(engines: &[RawTarget], part: &str) -> usize {
    let seen = engines.iter().flat_map(RawTarget::requests);
    seen.filter(|request| has_part(request, part)).count()
}

/// Sends requests with each of the poisonous parts, and three harmless ones beside each. Returns how many of the harmless
/// ones were served.
async fn send_mix(addresses: &[SocketAddr], poison: &[&str], rounds: usize) -> usize {
    let mut served = 0;
    for round in 0..rounds {
        let parts = poison.iter().copied().chain(["c1", "c2", "c3"]);
        let asked: Vec<_> = parts
            .enumerate()
            .map(|(index, part)| {
                let address = addresses[(round + index) % addresses.len()];
                let request = request_with(part, round);
                let is_harmless = index >= poison.len();
                tokio::spawn(async move {
                    let answer = send_request(address, &request).await;
                    is_harmless && answer.status == 200 && answer.is_whole
                })
            })
            .collect();
        for answer in asked {
            served += usize::from(answer.await.expect("an answer"));
        }
    }
    served
}

fn addresses(daemons: &[DirectDaemon]) -> Vec<SocketAddr> {
    daemons.iter().map(|daemon| daemon.caller_address).collect()
}

#[tokio::test]
async fn requests_with_a_deadly_part_cease_to_reach_targets() {
    let log = KeyedLog::start().await.expect("a log");
    let is_deadly = |request: &RawRequest| has_part(request, "bad");
    let engines = mortal_engines(NAMES.len(), EVENT_PAUSE, is_deadly).await;
    let daemons = start_two_zones(&log, &listed(&NAMES, "scribe", &engines), |_| {}).await;
    let served = send_mix(&addresses(&daemons), &["bad"], 14).await;
    let reached = arrivals(&engines, "bad");
    assert!(reached <= MAX_CRASHES, "{reached} requests reached targets");
    assert!(served >= 36, "{served} of 42 harmless requests served");
}

#[tokio::test]
async fn two_deadly_parts_at_once_are_told_apart_from_the_part_that_all_share() {
    let log = KeyedLog::start().await.expect("a log");
    let is_deadly = |request: &RawRequest| has_part(request, "bad") || has_part(request, "bad2");
    let engines = mortal_engines(NAMES.len(), EVENT_PAUSE, is_deadly).await;
    let daemons = start_two_zones(&log, &listed(&NAMES, "scribe", &engines), |_| {}).await;
    let served = send_mix(&addresses(&daemons), &["bad", "bad2"], 12).await;
    for part in ["bad", "bad2"] {
        let reached = arrivals(&engines, part);
        assert!(
            reached <= MAX_CRASHES,
            "{part}: {reached} requests reached targets"
        );
    }
    assert!(served >= 30, "{served} of 36 harmless requests served");
}

/// All VMs are killed after each crash, so the count has to outlive them.
#[tokio::test]
async fn a_deadly_part_is_remembered_over_kills_of_all_vms() {
    let log = KeyedLog::start().await.expect("a log");
    let is_deadly = |request: &RawRequest| has_part(request, "bad");
    let engines = mortal_engines(10, EVENT_PAUSE, is_deadly).await;
    for (name, engine) in NAMES.iter().zip(&engines) {
        let entry = target_entry("scribe", engine.address, "ready", &["a1@1"]);
        log.put("keyed.servers", name, Some(&entry));
    }
    log.put("keyed.op", "config", Some(&config_json(1)));
    for life in 0..8 {
        let process = process_runtime();
        let mut settings = vm_settings("vm-1", &log);
        settings.is_first_start = life == 0;
        let daemon = start_daemon_in(&process, settings).await;
        let harmless = AtomicUsize::new(life * 100);
        wait_for("a stream", async || {
            let number = harmless.fetch_add(1, Ordering::SeqCst);
            let request = request_with("c1", number);
            send_request(daemon.caller_address, &request).await.status == 200
        })
        .await;
        send_request(daemon.caller_address, &request_with("bad", life)).await;
        // The record is written after the answer.
        sleep(Duration::from_millis(300)).await;
        process.shutdown_background();
    }
    let reached = arrivals(&engines, "bad");
    assert!(reached <= MAX_CRASHES, "{reached} requests reached targets");
}

/// Targets that end by chance end under requests whose parts are harmless.
#[tokio::test]
async fn harmless_parts_are_served_while_targets_end_by_chance() {
    let log = KeyedLog::start().await.expect("a log");
    let seen = Arc::new(AtomicUsize::new(0));
    let ends_by_chance = move |request: &RawRequest| {
        has_part(request, "1") && seen.fetch_add(1, Ordering::SeqCst) % 9 == 8
    };
    let engines = mortal_engines(NAMES.len(), EVENT_PAUSE, ends_by_chance).await;
    let daemons = start_two_zones(&log, &listed(&NAMES, "scribe", &engines), |_| {}).await;
    let served = send_mix(&addresses(&daemons), &[], 20).await;
    // Streams of this route may run once, so each end costs one.
    let ended = arrivals(&engines, "1") / 9;
    assert!(
        served + ended >= 58,
        "{served} of 60 served, {ended} targets ended"
    );
}
