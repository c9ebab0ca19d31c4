//! Tests of the `hoplandingd` binary: settings check, planned stop by signal, reload of settings.

use hoplanding_standins::{keyed_log::KeyedLog, platform::PlatformStandin};
use std::{
    fs,
    path::PathBuf,
    process::{Child, Command, Output, Stdio},
    time::Duration,
};

fn daemon_command(name: &str, settings: &str, args: &[&str]) -> (Command, PathBuf) {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.json"));
    fs::write(&path, settings).expect("the target folder is writable");
    let mut command = Command::new(env!("CARGO_BIN_EXE_hoplandingd"));
    command
        .arg("--config")
        .arg(&path)
        .args(args)
        .stdout(Stdio::piped())
        .stderr(Stdio::piped());
    (command, path)
}

fn combined_output(output: &Output) -> String {
    format!(
        "{}{}",
        String::from_utf8_lossy(&output.stdout),
        String::from_utf8_lossy(&output.stderr)
    )
}

/// Waits for a daemon to exit, checks that it succeeded and returns its output.
async fn successful_output(child: Child) -> String {
    let exited = tokio::task::spawn_blocking(move || child.wait_with_output())
        .await
        .expect("no panic")
        .expect("the daemon exits");
    let text = combined_output(&exited);
    assert!(exited.status.success(), "{text}");
    text
}

// Guards against a sample file that the daemon refuses, for instance after a settings key was changed.
#[test]
fn sample_settings_pass_the_check() {
    let (mut command, _) = daemon_command(
        "sample",
        include_str!("../../../docs/hoplandingd.sample.json"),
        &["--check"],
    );
    let output = command.output().expect("the binary runs");
    assert!(output.status.success(), "{}", combined_output(&output));
}

// Guards against a check that stops at the first fault or does not name key, value and remedy.
#[test]
fn settings_check_reports_all_faults_at_once() {
    let wrong = r#"{ "vm": "", "zone": "z", "caller_address": "here", "peer_address": "127.0.0.1:0", "peer_secret": "s",
        "platform": { "address": "127.0.0.1:1", "timeout_ms": 0 }, "limits": { "body_byte": 5 }, "colour": "red" }"#;
    let (mut command, _) = daemon_command("wrong", wrong, &["--check"]);
    let output = command.output().expect("the binary runs");
    assert_eq!(output.status.code(), Some(2));
    let text = combined_output(&output);
    for part in [
        "5 faults",
        "vm: \"\": write the name of this VM",
        "caller_address: \"here\": write IP:port",
        "platform.timeout_ms: 0: write a whole number from 10 to 60000",
        "limits.body_byte: 5: unknown key: remove it, or use one of body_bytes",
        "colour: \"red\": unknown key",
    ] {
        assert!(text.contains(part), "{part:?} is missing in\n{text}");
    }
}

// Guards against a daemon that is killed by SIGTERM instead of stopping as planned: exit code 0, and the start, ready and
// stop events in the log, each line being one JSON object.
#[tokio::test(flavor = "multi_thread")]
async fn sigterm_causes_a_planned_stop() {
    let platform = PlatformStandin::start(100).await.expect("a port");
    let settings = format!(
        r#"{{ "vm": "a1", "zone": "z", "caller_address": "127.0.0.1:0", "peer_address": "127.0.0.1:0", "peer_secret": "s",
            "platform": {{ "address": "{}" }}, "stop": {{ "grace_ms": 50 }} }}"#,
        platform.address()
    );
    let (mut command, _) = daemon_command("signal", &settings, &[]);
    let child = command.spawn().expect("the binary runs");
    tokio::time::sleep(Duration::from_millis(700)).await;
    let pid = child.id().to_string();
    let sent = Command::new("kill")
        .args(["-TERM", &pid])
        .status()
        .expect("kill runs");
    assert!(sent.success());
    let text = successful_output(child).await;
    let events: Vec<_> = text
        .lines()
        .map(|line| {
            let line: serde_json::Value =
                serde_json::from_str(line).expect("one JSON object a line");
            assert!(
                line["timestamp"].is_u64() && line["message"].is_string(),
                "{line}"
            );
            line["event"].as_u64().expect("a number")
        })
        .collect();
    for event in [100, 101, 102, 103] {
        assert!(events.contains(&event), "E{event} is missing in\n{text}");
    }
}

// Guards against a reload that applies invalid settings, or that does not apply valid ones. SIGHUP is sent with an invalid
// log level, which must be refused, and then with a valid one and a changed zone, which can't change without a restart.
#[tokio::test(flavor = "multi_thread")]
async fn reload_applies_valid_settings_and_refuses_invalid_ones() {
    let log = KeyedLog::start().await.expect("a port");
    let settings = |level: &str, zone: &str| {
        format!(
            r#"{{ "mode": "direct", "vm": "a1", "zone": "{zone}", "caller_address": "127.0.0.1:0",
                "ready_address": "127.0.0.1:0", "peer_address": "127.0.0.1:0", "platform_address": "{}",
                "zones": ["z"], "pace": {{ "stop_notice_ms": 50 }}, "log": {{ "level": "{level}" }} }}"#,
            log.address()
        )
    };
    let (mut command, path) = daemon_command("reload", &settings("info", "z"), &[]);
    let child = command.spawn().expect("the binary runs");
    let pid = child.id().to_string();
    let signal = async |name: &str| {
        tokio::time::sleep(Duration::from_millis(400)).await;
        let sent = Command::new("kill").args([name, &pid]).status();
        assert!(sent.expect("kill runs").success());
    };
    tokio::time::sleep(Duration::from_millis(700)).await;
    fs::write(&path, settings("loud", "z")).expect("a file");
    signal("-HUP").await;
    tokio::time::sleep(Duration::from_millis(400)).await;
    fs::write(&path, settings("warn", "other")).expect("a file");
    signal("-HUP").await;
    signal("-TERM").await;
    let text = successful_output(child).await;
    let line = |event: &str| {
        let mut lines = text.lines().filter(|line| line.contains(event));
        lines.next().unwrap_or_default()
    };
    assert!(line("\"event\":110").contains("log.level"), "{text}");
    assert!(line("\"event\":109").contains("but for zone:"), "{text}");
    assert_eq!(line("\"event\":102"), "", "no info line after the change");
}
