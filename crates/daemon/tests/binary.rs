//! The real binary: settings, and a planned stop by signal.

use hoplanding_standins::{keyed_log::KeyedLog, platform::PlatformStandin};
use std::{
    fs,
    path::PathBuf,
    process::{Child, Command, Output, Stdio},
    time::Duration,
};

fn daemon(name: &str, settings: &str, args: &[&str]) -> (Command, PathBuf) {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.json"));
    fs::write(&path, settings).expect("the folder is ours");
    let mut command = Command::new(env!("CARGO_BIN_EXE_hoplandingd"));
    command
        .arg("--config")
        .arg(&path)
        .args(args)
        .stdout(Stdio::piped())
        .stderr(Stdio::piped());
    (command, path)
}

fn text(output: &Output) -> String {
    format!(
        "{}{}",
        String::from_utf8_lossy(&output.stdout),
        String::from_utf8_lossy(&output.stderr)
    )
}

/// What a daemon wrote that ended as it should.
async fn text_of_success(child: Child) -> String {
    let ended = tokio::task::spawn_blocking(move || child.wait_with_output())
        .await
        .expect("no panic")
        .expect("it ends");
    let text = text(&ended);
    assert!(ended.status.success(), "{text}");
    text
}

#[test]
fn the_sample_settings_are_in_order() {
    let (mut command, _) = daemon(
        "sample",
        include_str!("../../../docs/hoplandingd.sample.json"),
        &["--check"],
    );
    let output = command.output().expect("the binary runs");
    assert!(output.status.success(), "{}", text(&output));
}

#[test]
fn every_fault_of_the_settings_is_reported_at_once() {
    let wrong = r#"{ "vm": "", "zone": "z", "caller_address": "here", "peer_address": "127.0.0.1:0", "peer_secret": "s",
        "platform": { "address": "127.0.0.1:1", "timeout_ms": 0 }, "limits": { "body_byte": 5 }, "colour": "red" }"#;
    let (mut command, _) = daemon("wrong", wrong, &["--check"]);
    let output = command.output().expect("the binary runs");
    assert_eq!(output.status.code(), Some(2));
    let text = text(&output);
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

#[tokio::test(flavor = "multi_thread")]
async fn a_signal_is_a_planned_stop() {
    let platform = PlatformStandin::start(100).await.expect("a port");
    let settings = format!(
        r#"{{ "vm": "a1", "zone": "z", "caller_address": "127.0.0.1:0", "peer_address": "127.0.0.1:0", "peer_secret": "s",
            "platform": {{ "address": "{}" }}, "stop": {{ "grace_ms": 50 }} }}"#,
        platform.address()
    );
    let (mut command, _) = daemon("signal", &settings, &[]);
    let child = command.spawn().expect("the binary runs");
    tokio::time::sleep(Duration::from_millis(700)).await;
    let pid = child.id().to_string();
    let sent = Command::new("kill")
        .args(["-TERM", &pid])
        .status()
        .expect("kill runs");
    assert!(sent.success());
    let text = text_of_success(child).await;
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

#[tokio::test(flavor = "multi_thread")]
async fn a_changed_settings_file_is_taken_over_and_a_wrong_one_is_not() {
    let log = KeyedLog::start().await.expect("a port");
    let settings = |level: &str, zone: &str| {
        format!(
            r#"{{ "mode": "direct", "vm": "a1", "zone": "{zone}", "caller_address": "127.0.0.1:0",
                "ready_address": "127.0.0.1:0", "peer_address": "127.0.0.1:0", "platform_address": "{}",
                "zones": ["z"], "pace": {{ "stop_notice_ms": 50 }}, "log": {{ "level": "{level}" }} }}"#,
            log.address()
        )
    };
    let (mut command, path) = daemon("reload", &settings("info", "z"), &[]);
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
    let text = text_of_success(child).await;
    let line = |event: &str| {
        let mut lines = text.lines().filter(|line| line.contains(event));
        lines.next().unwrap_or_default()
    };
    assert!(line("\"event\":110").contains("log.level"), "{text}");
    assert!(line("\"event\":109").contains("but for zone:"), "{text}");
    assert_eq!(line("\"event\":102"), "", "no info line after the change");
}
