//! Settings files as the platform renders them from the deployment template, and their changes while the daemon runs.

use hoplandingd::direct::{reload::SettingsFile, settings::DirectSettings};
use serde_json::{Value, json};
use std::{fs, path::PathBuf, time::Duration};

const TEMPLATE: &str = include_str!("../../../../deploy/settings.json");

/// Template fields with values as the platform supplies them.
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
        .try_fold(fields, |value, key| match key.parse::<usize>() {
            Ok(index) => value.get(index),
            Err(_) => value.get(key),
        })
}

/// Renders the template by the rules that the platform documents: placeholders, sections and inverted sections.
fn render(fields: &Value) -> String {
    let mut text = TEMPLATE.to_owned();
    let zones = field(fields, "zones").and_then(Value::as_object);
    let zones: Vec<_> = zones
        .into_iter()
        .flat_map(|zones| zones.keys().map(|zone| format!("\"{zone}\"")))
        .collect();
    text = text.replace("{{#zones}} \"{{@}}\"{{,}} {{/zones}}", &zones.join(","));
    while let Some(start) = text.find("{{") {
        let end = start + text[start..].find("}}").expect("a placeholder is closed");
        let placeholder = text[start + 2..end].to_owned();
        if let Some(path) = placeholder.strip_prefix('^') {
            let close = format!("{{{{/{path}}}}}");
            let close_start = text.find(&close).expect("a section ends");
            let is_rendered = field(fields, path).is_none_or(|value| *value == Value::Bool(false));
            let inner = text[end + 2..close_start].to_owned();
            let inner = if is_rendered { inner } else { String::new() };
            text.replace_range(start..close_start + close.len(), &inner);
            continue;
        }
        if let Some(path) = placeholder.strip_prefix('#') {
            let close = format!("{{{{/{path}}}}}");
            let close_start = text.find(&close).expect("a section ends");
            let is_rendered = field(fields, path).is_some_and(|value| *value != Value::Bool(false));
            let inner = text[end + 2..close_start].to_owned();
            let inner = if is_rendered { inner } else { String::new() };
            text.replace_range(start..close_start + close.len(), &inner);
            continue;
        }
        let (path, is_json) = match placeholder.split_once('|') {
            Some((path, "json")) => (path, true),
            _ => (placeholder.as_str(), false),
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
fn rendered_template_parses() {
    let settings = DirectSettings::parse(&render(&fields())).expect("settings in order");
    assert_eq!(settings.vm.as_str(), "edge-1");
    assert_eq!(settings.zones.len(), 2);
    assert!(settings.is_first_start);
    assert_eq!(settings.retries.window, Duration::from_secs(10));
}

// Guards against settings that accept only integers: a bound such as 35.83 for the retry budget then makes every VM
// exit at startup.
#[test]
fn fractional_bounds_are_accepted() {
    let settings = with_bound("budget_slack", json!(35.83)).expect("a fraction of a retry");
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
fn boolean_bounds_are_accepted_and_default_to_false() {
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

// Guards against a VM that stops by fixed times although its platform ends processes earlier or later.
#[test]
fn a_planned_stop_fits_the_grace_of_the_platform() {
    for grace_s in [0.0, 0.4, 3.0, 8.0, 30.0] {
        let timing = with_bound("grace_s", json!(grace_s))
            .expect("a grace")
            .timing;
        let grace = Duration::from_secs_f64(grace_s);
        assert!(timing.stop_timeout <= grace && timing.drain_delay <= timing.stop_timeout / 3);
        assert!(timing.stop_timeout >= grace / 2, "{grace_s}");
    }
    let timing = with_bound("grace_s", json!(8)).expect("a grace").timing;
    assert_eq!(
        (timing.drain_delay, timing.stop_timeout),
        (Duration::from_millis(2_500), Duration::from_millis(7_700))
    );
}

// Guards against ranges of valid values that are narrower than the bounds that the platform may set.
#[test]
fn zero_and_large_bounds_are_accepted() {
    let settings = with_bound("budget_slack", json!(0)).expect("no fixed number of retries");
    assert!(settings.retries.extra_retries.abs() < 1e-9);
    let settings = with_bound("retry_budget_ratio", json!(0.0)).expect("no retries");
    assert!(settings.retries.ratio.abs() < 1e-9);
    with_bound("lease_ms", json!(0)).expect("no turn");
    with_bound("config_apply_ms", json!(0)).expect("at once");
    with_bound("budget_slack", json!(43_000_000)).expect("many retries");
    with_bound("budget_window_s", json!(3_600)).expect("an hour");
    with_bound("lease_ms", json!(600_000)).expect("ten minutes");
    with_bound("config_apply_ms", json!(3_600_000)).expect("an hour");
}

// Guards against a daemon that does not start because the platform omits a bound.
#[test]
fn absent_bound_uses_the_default() {
    let defaults = DirectSettings::parse(&render(&fields())).expect("settings in order");
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
        assert_eq!(settings.retries.window, defaults.retries.window);
    }
    let mut fields = fields();
    fields["limits"] = json!({});
    let settings = DirectSettings::parse(&render(&fields)).expect("a whole core");
    assert_eq!(settings.cpu_millicores, 1_000);
}

// Guards against error messages that name neither the faulty key nor the remedy.
#[test]
fn invalid_bound_names_its_remedy() {
    for wrong in [json!(-1), json!(true), json!([1])] {
        let error = with_bound("budget_slack", wrong).expect_err("no number");
        assert!(error.contains("retries.slack"), "{error}");
        assert!(error.contains("write a number from 0"), "{error}");
    }
}

// Guards against the same error being logged at each check of the file, and against later valid settings being ignored.
#[test]
fn invalid_file_is_reported_once_and_the_next_valid_one_is_applied() {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("reloaded-settings.json");
    let write = |text: &str| fs::write(&path, text).expect("a file of the test's own");
    let good = render(&fields());
    write(&good);
    let mut file = SettingsFile::open(path.to_str().expect("a plain path")).expect("it is there");
    assert!(file.read_changes().expect("in order").is_none());
    write(&good.replace("54", "\"many\""));
    let error = file.read_changes().expect_err("a fault").to_string();
    assert!(error.contains("retries.slack"), "{error}");
    assert!(
        file.read_changes()
            .expect("an error is reported only once")
            .is_none()
    );
    // A file that is only partly written is invalid too, and does not prevent the next change.
    write(&good[..good.len() / 2]);
    file.read_changes().expect_err("half a file");
    write(&good.replace("54", "35.83"));
    let settings = file.read_changes().expect("in order").expect("a change");
    assert!((settings.retries.extra_retries - 35.83).abs() < 1e-9);
}
