//! Settings as the platform renders them, and as they change while the daemon runs.

use hoplandingd::direct::{reload::SettingsFile, settings::DirectSettings};
use serde_json::{Value, json};
use std::{fs, path::PathBuf, time::Duration};

const TEMPLATE: &str = include_str!("../../../../deploy/settings.json");

/// Fields as the platform gives them.
fn fields() -> Value {
    json!({
        "node_name": "edge-1", "zone": "hall", "ip": "10.1.0.38", "bootstrap": true, "internal_ports": [7380, 7395],
        "listen": { "front": "10.1.0.38:8149", "readiness": "10.1.0.38:8141" },
        "zones": { "hall": "region", "yard": "region" },
        "limits": { "cpu_share": 0.12 },
        "platform": { "address": "10.200.1.7:8142" },
        "bounds": {
            "retry_budget_ratio": 0.2, "budget_slack": 54, "budget_window_s": 10, "config_apply_ms": 2000,
            "lease_ms": 3000,
        },
    })
}

fn field<'a>(fields: &'a Value, path: &str) -> Option<&'a Value> {
    path.split('.')
        .try_fold(fields, |value, step| match step.parse::<usize>() {
            Ok(place) => value.get(place),
            Err(_) => value.get(step),
        })
}

/// Fills the gaps of the template in the way that the platform's page describes.
fn render(fields: &Value) -> String {
    let mut text = TEMPLATE.to_owned();
    let zones = field(fields, "zones").and_then(Value::as_object);
    let zones: Vec<_> = zones
        .into_iter()
        .flat_map(|zones| zones.keys().map(|zone| format!("\"{zone}\"")))
        .collect();
    text = text.replace("{{#zones}} \"{{@}}\"{{,}} {{/zones}}", &zones.join(","));
    while let Some(start) = text.find("{{") {
        let end = start + text[start..].find("}}").expect("a gap ends");
        let gap = text[start + 2..end].to_owned();
        if let Some(path) = gap.strip_prefix('^') {
            let close = format!("{{{{/{path}}}}}");
            let close_at = text.find(&close).expect("a section ends");
            let stands = field(fields, path).is_none_or(|value| *value == Value::Bool(false));
            let inner = text[end + 2..close_at].to_owned();
            let inner = if stands { inner } else { String::new() };
            text.replace_range(start..close_at + close.len(), &inner);
            continue;
        }
        if let Some(path) = gap.strip_prefix('#') {
            let close = format!("{{{{/{path}}}}}");
            let close_at = text.find(&close).expect("a section ends");
            let stands = field(fields, path).is_some_and(|value| *value != Value::Bool(false));
            let inner = text[end + 2..close_at].to_owned();
            let inner = if stands { inner } else { String::new() };
            text.replace_range(start..close_at + close.len(), &inner);
            continue;
        }
        let (path, is_json) = match gap.split_once('|') {
            Some((path, "json")) => (path, true),
            _ => (gap.as_str(), false),
        };
        let value = match field(fields, path) {
            Some(Value::String(text)) if !is_json => text.clone(),
            Some(value) => value.to_string(),
            None => String::new(),
        };
        text.replace_range(start..end + 2, &value);
    }
    text
}

fn with_bound(name: &str, value: Value) -> Result<DirectSettings, String> {
    let mut fields = fields();
    fields["bounds"][name] = value;
    DirectSettings::parse(&render(&fields)).map_err(|error| error.to_string())
}

#[test]
fn the_template_gives_settings() {
    let settings = DirectSettings::parse(&render(&fields())).expect("settings in order");
    assert_eq!(settings.vm.as_str(), "edge-1");
    assert_eq!(settings.zones.len(), 2);
    assert!(settings.is_first_start);
    assert_eq!(settings.retries.window, Duration::from_secs(10));
}

// All VMs of a deployment ended at start because one bound of the retry budget was 35.83 there, and the settings took
// whole numbers only.
#[test]
fn a_bound_with_a_fraction_is_a_bound() {
    let settings = with_bound("budget_slack", json!(35.83)).expect("a fraction of a repeat");
    assert!((settings.retries.extra_retries - 35.83).abs() < 1e-9);
    let settings = with_bound("budget_window_s", json!(7.5)).expect("half a second");
    assert_eq!(settings.retries.window, Duration::from_millis(7_500));
    let settings = with_bound("lease_ms", json!(2_999.5)).expect("half a millisecond");
    assert_eq!(
        settings.leases.handover_delay,
        Duration::from_micros(2_999_500)
    );
    let settings = with_bound("config_apply_ms", json!(2_000.25)).expect("a quarter of one");
    assert_eq!(
        settings.timing.max_config_wait,
        Duration::from_micros(1_400_250)
    );
    with_bound("retry_budget_ratio", json!(1)).expect("a whole ratio");
}

#[test]
fn bounds_that_are_true_or_false_are_taken_and_absent_ones_are_false() {
    let settings = with_bound("strict_revoke", json!(true)).expect("a bound");
    assert_eq!(
        settings.revocation.map(|rule| rule.bound),
        Some(Duration::from_secs(5))
    );
    let settings = with_bound("strict_revoke", json!(false)).expect("a bound");
    assert!(settings.revocation.is_none() && !settings.has_order_fencing);
    let settings = with_bound("require_fence", json!(true)).expect("a bound");
    assert!(settings.revocation.is_none() && settings.has_order_fencing);
    let settings = with_bound("quota_slack", json!(11_000.0)).expect("a bound");
    assert!((settings.quotas.tolerance_units - 11_000.0).abs() < 1e-9);
}

#[test]
fn bounds_of_zero_and_large_ones_are_bounds() {
    let settings = with_bound("budget_slack", json!(0)).expect("no fixed number of repeats");
    assert!(settings.retries.extra_retries.abs() < 1e-9);
    let settings = with_bound("retry_budget_ratio", json!(0.0)).expect("no repeats");
    assert!(settings.retries.ratio.abs() < 1e-9);
    with_bound("lease_ms", json!(0)).expect("no turn");
    with_bound("config_apply_ms", json!(0)).expect("at once");
    with_bound("budget_slack", json!(43_000_000)).expect("many repeats");
    with_bound("budget_window_s", json!(3_600)).expect("an hour");
    with_bound("lease_ms", json!(600_000)).expect("ten minutes");
    with_bound("config_apply_ms", json!(3_600_000)).expect("an hour");
}

#[test]
fn an_absent_bound_leaves_the_default() {
    let known = DirectSettings::parse(&render(&fields())).expect("settings in order");
    for name in [
        "retry_budget_ratio",
        "budget_slack",
        "budget_window_s",
        "config_apply_ms",
        "lease_ms",
    ] {
        let mut fields = fields();
        let bounds = fields["bounds"].as_object_mut().expect("bounds");
        bounds.remove(name);
        let text = render(&fields);
        let settings = DirectSettings::parse(&text)
            .unwrap_or_else(|error| panic!("without {name}: {error} in {text}"));
        assert_eq!(settings.retries.window, known.retries.window);
    }
    let mut fields = fields();
    fields["limits"] = json!({});
    let settings = DirectSettings::parse(&render(&fields)).expect("a whole core");
    assert_eq!(settings.cpu_millicores, 1_000);
}

#[test]
fn a_bound_that_is_none_names_its_remedy() {
    for wrong in [json!(-1), json!(true), json!([1])] {
        let fault = with_bound("budget_slack", wrong).expect_err("no number");
        assert!(fault.contains("retries.slack"), "{fault}");
        assert!(fault.contains("write a number from 0"), "{fault}");
    }
}

#[test]
fn a_file_with_a_fault_is_reported_once_and_the_next_good_one_is_taken() {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("reloaded-settings.json");
    let write = |text: &str| fs::write(&path, text).expect("a file of the test's own");
    let good = render(&fields());
    write(&good);
    let mut file = SettingsFile::open(path.to_str().expect("a plain path")).expect("it is there");
    assert!(file.read_changes().expect("in order").is_none());
    write(&good.replace("54", "\"many\""));
    let fault = file.read_changes().expect_err("a fault").to_string();
    assert!(fault.contains("retries.slack"), "{fault}");
    assert!(file.read_changes().expect("told once").is_none());
    // A file that is being written is a fault too, and passes.
    write(&good[..good.len() / 2]);
    file.read_changes().expect_err("half a file");
    write(&good.replace("54", "35.83"));
    let settings = file.read_changes().expect("in order").expect("a change");
    assert!((settings.retries.extra_retries - 35.83).abs() < 1e-9);
}
