//! Odd records of other writers in the topics of the operators and of the fleet, and odd reports of engines: deeply nested, cut,
//! with numbers out of range, or of another type. VMs have to go on following each topic, and to start before such a log.

use crate::{
    software_versions::{VmProcess, ZONES},
    support::{
        config_json, good_answer, is_ready, model_headers, post_request, send_request,
        target_entry, wait_for,
    },
};
use hoplanding_core::ids::{AvailabilityZone, VmName};
use hoplanding_standins::{
    keyed_log::KeyedLog,
    raw_target::{RawRequest, RawResponse, RawTarget},
};
use serde_json::{Value, json};
use std::sync::atomic::{AtomicUsize, Ordering};

const FLEET_TOPIC: &str = "keyed.fleet";
const OPERATOR_TOPIC: &str = "keyed.op";
/// Engines with odd reports, as many as there are forms of them.
const ODD_ENGINES: usize = 100;

fn odd_values() -> Vec<String> {
    let mut values: Vec<String> = [
        "",
        "null",
        "[]",
        "{}",
        "0",
        "\"\"",
        "{",
        "what?",
        "\0",
        "\"\\ud800\"",
        "1e400",
        "{\"version\":1e400}",
        "{\"version\":18446744073709551616}",
        "{\"version\":-1}",
        "{\"version\":\"7\"}",
        "{\"version\":123456789012345678901234567890}",
    ]
    .map(str::to_owned)
    .into();
    for depth in [100, 2_000] {
        values.push("[".repeat(depth));
        values.push("[".repeat(depth) + &"]".repeat(depth));
        values.push("{\"a\":".repeat(depth) + "1" + &"}".repeat(depth));
        values.push(format!(
            "{{\"version\":1,\"a\":{}{}}}",
            "[".repeat(depth),
            "]".repeat(depth)
        ));
    }
    values.push(format!("\"{}\"", "x".repeat(50_000)));
    values
}

/// Copies of a JSON value in which one number, text or list each is replaced by an extreme one.
fn mutations(value: &Value) -> Vec<Value> {
    match value {
        Value::Number(_) => vec![
            json!(-1),
            json!(0),
            json!(1.5),
            json!(1e308),
            json!(u64::MAX),
            json!(u32::MAX),
            json!(null),
            json!("7"),
        ],
        Value::String(_) => vec![
            json!(""),
            json!("\0"),
            json!("127.0.0.1:0"),
            json!("127.0.0.1:70000"),
            json!("[::]:1"),
            json!("no"),
            json!("x".repeat(10_000)),
            json!(7),
        ],
        Value::Array(_) => vec![json!([]), json!([null]), json!([[]]), json!({})],
        Value::Object(fields) => {
            let copies = fields.iter().flat_map(|(name, field)| {
                mutations(field).into_iter().map(move |mutated| {
                    let mut copy = value.clone();
                    copy[name] = mutated;
                    copy
                })
            });
            let cut = fields.keys().map(|name| {
                let mut copy = fields.clone();
                copy.remove(name);
                Value::Object(copy)
            });
            copies.chain(cut).collect()
        }
        Value::Null | Value::Bool(_) => vec![json!(7), json!("yes")],
    }
}

async fn start_vm(log: &KeyedLog, name: &str) -> VmProcess {
    VmProcess::start_in_zones(log, name, &ZONES[..1], true).await
}

/// Checks that a VM follows all three topics, places calls for an engine and holds or finds the holder of its zone.
async fn expect_following(log: &KeyedLog, vm: &VmProcess, version: u64, target: &RawTarget) {
    let daemon = &vm.daemon;
    log.put(OPERATOR_TOPIC, "config", Some(&config_json(version)));
    let name = format!("e-{version}");
    let entry = target_entry("scribe", target.address, "ready", &["a1@1"]);
    log.put("keyed.servers", &name, Some(&entry));
    let other = VmName::new(&format!("vm-of-{version}"));
    let record = json!({ "zone": "yard", "address": "127.0.0.1:9", "strength": 1 });
    log.put(
        FLEET_TOPIC,
        &format!("vm/{other}"),
        Some(&record.to_string()),
    );
    wait_for("the records of all topics", async || {
        let tables = daemon.fleet().tables();
        let active = tables.active.as_ref();
        active.is_some_and(|active| active.config.version == version)
            && tables
                .catalog
                .iter()
                .any(|entry| entry.name.as_str() == name)
            && tables.vms.contains_key(&other)
    })
    .await;
    wait_for("a call at the engine", async || {
        let request = post_request("/plan/1", "r1", &model_headers("a1"));
        is_ready(daemon).await && send_request(daemon.caller_address, &request).await.status == 200
    })
    .await;
    wait_for("a holder", async || {
        let lease = daemon.fleet().lease(&AvailabilityZone::new("hall"));
        lease.is_some_and(|lease| lease.vm.as_ref() == Some(&daemon.fleet().vm))
    })
    .await;
}

/// Guards against VMs that end, or stop following a topic, because of what another writer left there.
#[tokio::test]
async fn odd_records_of_operators_and_vms_stop_no_vm() {
    let log = KeyedLog::start().await.expect("a log");
    let target = RawTarget::start(good_answer).await.expect("a target");
    log.put(OPERATOR_TOPIC, "config", Some(&config_json(1)));
    let daemon = start_vm(&log, "vm-1").await;
    expect_following(&log, &daemon, 2, &target).await;
    wait_for("the records of the fleet", async || {
        log.newest(FLEET_TOPIC, "software/scribe").is_some()
    })
    .await;
    let mut shapes: Vec<(&str, Value)> = ["vm/vm-1", "zone/hall", "software/scribe"]
        .into_iter()
        .map(|key| {
            let value = log.newest(FLEET_TOPIC, key).expect("a record");
            (key, serde_json::from_str(&value).expect("JSON"))
        })
        .collect();
    let suspect = json!({ "ended": [{ "name": "e-1", "life": 7 }], "until_ms": 4_000_000_000_000_u64, "trials": 1 });
    shapes.push(("suspect/00000000000000ff", suspect));
    shapes.push(("era", json!({ "era": 0, "seen_ms": 1 })));
    for value in odd_values() {
        for (key, _) in &shapes {
            log.put(FLEET_TOPIC, key, Some(&value));
        }
        for key in [
            "",
            "vm/",
            "zone/",
            "zone/odd",
            "software/",
            "suspect/",
            "suspect/zz",
            "odd\n",
            "\0",
        ] {
            log.put(FLEET_TOPIC, key, Some(&value));
        }
        for key in [
            "",
            "config",
            "version/",
            "version/base",
            "version/\n",
            "odd",
        ] {
            log.put(OPERATOR_TOPIC, key, Some(&value));
        }
    }
    expect_following(&log, &daemon, 3, &target).await;
    for (key, shape) in &shapes {
        for mutated in mutations(shape) {
            let mutated = mutated.to_string();
            log.put(FLEET_TOPIC, key, Some(&mutated));
            let (kind, _) = key.split_once('/').unwrap_or((key, ""));
            log.put(FLEET_TOPIC, &format!("{kind}/odd"), Some(&mutated));
        }
    }
    let config: Value = serde_json::from_str(&config_json(4)).expect("a configuration");
    for mut mutated in mutations(&config) {
        // A configuration of the largest version would be in force for good.
        mutated["version"] = json!(4);
        log.put(OPERATOR_TOPIC, "config", Some(&mutated.to_string()));
    }
    let version = json!({ "model": "base", "adapter": "a1", "version": 1 });
    for mutated in mutations(&version) {
        log.put(
            OPERATOR_TOPIC,
            "version/base/a1",
            Some(&mutated.to_string()),
        );
    }
    expect_following(&log, &daemon, 5, &target).await;
    // A VM that starts finds the newest of these records in its listing.
    for (key, _) in &shapes {
        log.put(FLEET_TOPIC, key, Some(&odd_values().concat()));
    }
    for number in 0..3_000 {
        log.put(FLEET_TOPIC, &format!("odd/{number}"), Some("{"));
        log.put("keyed.servers", &format!("odd-{number}"), Some("{"));
    }
    drop(daemon);
    let daemon = start_vm(&log, "vm-2").await;
    expect_following(&log, &daemon, 6, &target).await;
}

/// Guards against a holder whose plan ends with an engine's report that no engine means.
#[tokio::test]
async fn odd_reports_of_an_engine_stop_no_plan() {
    let log = KeyedLog::start().await.expect("a log");
    let sound = RawTarget::start(good_answer).await.expect("an engine");
    let report = json!({
        "born": 1, "sequence": 1, "utilization": false, "active": 1, "queued": 1, "coming": ["base/a2@1"],
        "models": [{ "name": "base", "version": 1, "adapters": ["a1@1"] }],
        "at_hand": { "in_memory": ["base"], "on_disk": ["base"] },
    });
    let reports: Vec<String> = mutations(&report)
        .iter()
        .map(ToString::to_string)
        .chain(odd_values())
        .collect();
    let count = AtomicUsize::new(0);
    let odd = RawTarget::start(move |request: &RawRequest| {
        if !request.request_line().contains("/hoplanding/report") {
            return good_answer(request);
        }
        let number = count.fetch_add(1, Ordering::Relaxed);
        RawResponse::complete("200 OK", "", &reports[number % reports.len()])
    });
    let odd = odd.await.expect("an engine");
    let entry = target_entry("scribe", odd.address, "ready", &["a1@1"]);
    let extreme = |field: &str, value: &str| {
        entry.replacen(
            &format!("\"{field}\":8"),
            &format!("\"{field}\":{value}"),
            1,
        )
    };
    for number in 0..ODD_ENGINES {
        let slots = ["4294967295", "0"][number % 2];
        let entry = extreme("slots", slots);
        log.put("keyed.servers", &format!("odd-{number}"), Some(&entry));
    }
    let mut config: Value = serde_json::from_str(&config_json(1)).expect("a configuration");
    let engine = &mut config["services"][1]["engine"];
    engine["slots"] = json!(u32::MAX);
    engine["kv_capacity"] = json!(u64::MAX);
    engine["adapter_slots"] = json!(u32::MAX);
    log.put(OPERATOR_TOPIC, "config", Some(&config.to_string()));
    let daemon = start_vm(&log, "vm-1").await;
    // A holder asks each engine for a report when it begins.
    wait_for("a report of each engine", async || {
        let seen = odd.requests();
        let reports = seen
            .iter()
            .filter(|request| request.request_line().contains("report"));
        reports.count() >= ODD_ENGINES
    })
    .await;
    expect_following(&log, &daemon, 2, &sound).await;
}
