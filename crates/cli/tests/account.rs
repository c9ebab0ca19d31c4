//! Summary of requests by cause, from synthetic log lines.

use hoplanding::account::{
    RequestLog,
    cause::{LossCause, RequestEnd},
    summarize,
};
use std::{fs, process::Command};

fn log_line(at_ms: i64, event: u16, request: &str, message: &str) -> String {
    serde_json::json!({
        "event": event, "level": "INFO", "message": message, "request": request,
        "target": "hoplanding", "timestamp": 1_771_682_788_000_i64 + at_ms,
    })
    .to_string()
}

/// Final state and cause of one request with these events and messages.
fn classify_lines(lines: &[(u16, &str)]) -> (RequestEnd, LossCause) {
    let text: Vec<_> = lines
        .iter()
        .enumerate()
        .map(|(at, (event, message))| log_line(at as i64, *event, "r1", message))
        .collect();
    let mut log = RequestLog::default();
    log.add_lines("a.log", &text.join("\n"));
    let table = summarize(&log, 0);
    assert_eq!(table.rows.len(), 1, "{table}");
    (table.rows[0].end, table.rows[0].cause)
}

fn classify_stream(phases: &str) -> (RequestEnd, LossCause) {
    let message = format!("stream answered: route r objective 600 prompt 464 at i-1: {phases}");
    classify_lines(&[(804, &message)])
}

/// Guards against blaming the wrong phase of a late stream, and against blaming a target that only met its own estimate.
#[test]
fn a_late_stream_is_attributed_to_its_longest_phase() {
    let in_time = classify_stream("placed 2 expected 91 there 51 first 588 pause 131 end 959");
    assert_eq!(in_time, (RequestEnd::InTime, LossCause::None));
    let place = classify_stream("placed 500 expected 700 there 510 first 690 pause 1 end 959");
    assert_eq!(place, (RequestEnd::Late, LossCause::PlaceAwaited));
    let adapter = classify_stream("placed 10 expected 700 there 510 first 690 pause 1 end 959");
    assert_eq!(adapter, (RequestEnd::Late, LossCause::AdapterAwaited));
    let prompts = classify_stream("placed 10 expected 650 there 20 first 690 pause 1 end 959");
    assert_eq!(prompts, (RequestEnd::Late, LossCause::PromptsRead));
    let slow = classify_stream("placed 10 expected 250 there 20 first 690 pause 1 end 959");
    assert_eq!(slow, (RequestEnd::Late, LossCause::TargetSlow));
}

/// A refusal's own message tells only the last state; earlier events, such as a rejection by a target, take precedence.
#[test]
fn a_refusal_is_attributed_to_earlier_events_of_the_request() {
    let refused = |before: &[(u16, &str)], rest: &str| {
        let message = format!("request refused as not run: route r {rest}");
        let mut lines = before.to_vec();
        lines.push((800, &message));
        let (end, cause) = classify_lines(&lines);
        assert_eq!(end, RequestEnd::Refused);
        cause
    };
    let full = "not run after 358.5ms, zones [(\"hall\", NoEngine)]";
    assert_eq!(refused(&[], full), LossCause::PlaceAwaited);
    let long = "not run after 3ms, zones [(\"hall\", TooLong(900))]";
    assert_eq!(refused(&[], long), LossCause::PromptsRead);
    let absent = (
        812,
        "request turned away by a target: at i-1: Misdirected 421",
    );
    assert_eq!(refused(&[absent], full), LossCause::WrongTarget);
    let shed = (812, "request turned away by a target: at i-1: NotRun 503");
    assert_eq!(refused(&[shed], full), LossCause::TargetFull);
    let denied = (831, "repeat denied: of s, 5 repeats of 5.4 for 0 requests");
    assert_eq!(refused(&[shed, denied], full), LossCause::RetryBudget);
    assert_eq!(
        refused(&[], "not run, as this VM stops; come back"),
        LossCause::VmStopped
    );
}

/// Guards against taking an error that a target returned for a deadline, or the other way round.
#[test]
fn failures_are_attributed_to_the_target_or_the_deadline() {
    let failed = |rest: &str| {
        let message = format!("request failed: route r {rest}");
        classify_lines(&[(801, &message)])
    };
    let own = failed("passes on 500 Internal Server Error after 140.1ms, 2 runs");
    assert_eq!(own, (RequestEnd::Failed, LossCause::TargetFailed));
    let late = failed("ends with 504 Gateway Timeout after 1.5s, 1 runs");
    assert_eq!(late, (RequestEnd::Failed, LossCause::Deadline));
    let broken = classify_lines(&[
        (815, "stream broken off by a target: at i-1: reset"),
        (601, "answer could not be completed: reset, last event None"),
    ]);
    assert_eq!(broken, (RequestEnd::BrokenOff, LossCause::TargetFailed));
    let ended = |by: &str| {
        let message = format!(
            "answer could not be completed: ended by {by}, last event Some(2), last data 1.2s ago, after 2.5s"
        );
        classify_lines(&[(601, &message)])
    };
    let by_deadline = ended("the deadline at i-1: the deadline passed");
    assert_eq!(by_deadline, (RequestEnd::BrokenOff, LossCause::Deadline));
    let by_this_vm = ended("this VM at i-1: no data from the target before the timeout");
    assert_eq!(by_this_vm, (RequestEnd::BrokenOff, LossCause::Unknown));
}

/// Guards against lost or miscounted requests when logs have prefixes, truncated lines, foreign text or requests without a
/// final event.
#[test]
fn rows_have_zone_span_and_the_five_requests_held_longest() {
    let mut lines = vec![
        "  -9.9 vm-1 {\"event\":100,\"level\":\"INFO\",\"message\":\"daemon started: vm-1 in hall: \
         callers 127.0.0.1:1, peers 127.0.0.1:2\",\"target\":\"hoplanding\",\"timestamp\":1771682778000}"
            .to_owned(),
    ];
    for number in 0..7 {
        let held = format!(
            "request refused as not run: route r not run after {}ms, zones []",
            number * 10
        );
        lines.push(format!(
            "  0.1 vm-1 {}",
            log_line(12_000, 800, &format!("r{number}"), &held)
        ));
    }
    let mut log = RequestLog::default();
    log.add_lines("a.log", &lines.join("\n"));
    // Lines out of order, a truncated line, foreign text, and a request without a final event.
    let truncated = &log_line(1, 800, "r9", "request refused")[..40];
    let other_lines = [
        log_line(
            12_500,
            812,
            "r0",
            "request turned away by a target: at i-1: NotRun 503",
        ),
        truncated.to_owned(),
        "class                asked".to_owned(),
        log_line(
            3,
            812,
            "r8",
            "request turned away by a target: at i-1: NotRun 503",
        ),
    ];
    log.add_lines("b.log", &other_lines.join("\n"));
    for lines in log.requests.values_mut() {
        lines.sort_by_key(|line| line.entry.timestamp);
    }
    let table = summarize(&log, 10);
    assert_eq!(table.unknown_outcomes, 1);
    assert_eq!(table.unreadable, [("b.log".to_owned(), 2)]);
    let row = &table.rows[0];
    assert_eq!((row.route.as_str(), row.zone.as_str()), ("r", "hall"));
    assert_eq!((row.from_s, row.count), (20, 6));
    assert_eq!(row.cause, LossCause::NoTarget);
    let worst: Vec<_> = row.worst.iter().map(|(id, _)| id.as_str()).collect();
    assert_eq!(worst, ["r6", "r5", "r4", "r3", "r2"]);
    assert_eq!(table.rows.iter().map(|row| row.count).sum::<usize>(), 7);
}

/// Checks both output formats, and that a missing argument or file gives exit code 2 with a remedy.
#[test]
fn account_command_prints_a_table_or_json_and_reports_missing_files() {
    let run_tool = |args: &[&str]| {
        let output = Command::new(env!("CARGO_BIN_EXE_hoplanding"))
            .args(args)
            .output()
            .expect("the tool runs");
        let text = [output.stdout, output.stderr].concat();
        (
            output.status.code(),
            String::from_utf8_lossy(&text).into_owned(),
        )
    };
    let path = std::env::temp_dir().join(format!("hoplanding-{}-account", std::process::id()));
    let message = "request refused as not run: route r not run after 5ms, zones []";
    fs::write(&path, log_line(1, 800, "r1", message)).expect("temporary file is writable");
    let file = path.to_string_lossy();
    let (code, text) = run_tool(&["account", &file]);
    assert!(code == Some(0) && text.contains("NoTarget"), "{text}");
    let (code, text) = run_tool(&["--json", "account", "--span", "5", &file]);
    let value: serde_json::Value = serde_json::from_str(&text).expect("JSON");
    assert_eq!(
        (code, value["rows"][0]["cause"].as_str()),
        (Some(0), Some("no_target"))
    );
    let (code, text) = run_tool(&["account"]);
    assert!(code == Some(2) && text.contains("name the files"), "{text}");
    let (code, text) = run_tool(&["account", "/nowhere/x.log"]);
    assert!(code == Some(2) && text.contains("can't be read"), "{text}");
}
