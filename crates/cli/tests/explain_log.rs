//! Lines about one request from the logs of several daemons, and explanations of where a call would go.

use hoplanding::{
    explain_call::{fetch_explanations, format_explanation},
    explain_log::{describe_outcome, find_lines},
};
use hoplanding_standins::raw_target::{RawRequest, RawResponse, RawTarget};
use std::{fs, process::Command};

const FIRST_LOG: &str = r#"
{"event":812,"level":"INFO","message":"request turned away by a target: at i-e032: Misdirected 421","request":"562d93ff","target":"hoplanding","timestamp":1771682788659}
{"event":812,"level":"INFO","message":"request turned away by a target: at i-e032: Misdirected 421","request":"562d93ff00","target":"hoplanding","timestamp":1771682788700}
noise without a time
{"event":800,"level":"INFO","message":"request refused as not run: route r after 1.2s","request":"562d93ff","target":"hoplanding","timestamp":1771682789900}
"#;
const SECOND_LOG: &str = r#"
   0.5 vm-2 {"event":810,"level":"INFO","message":"target out of reach for a request: at i-a8: refused","request":"562d93ff","target":"hoplanding","timestamp":1771682788100}
"#;

fn write_log(name: &str, text: &str) -> String {
    let path = std::env::temp_dir().join(format!("hoplanding-{}-{name}", std::process::id()));
    fs::write(&path, text).expect("temporary file is writable");
    path.to_string_lossy().into_owned()
}

/// Guards against unordered lines from several files, and against matching an id that is a prefix of a longer one.
#[test]
fn lines_of_all_files_are_ordered_and_the_last_event_tells_the_outcome() {
    let files = [
        write_log("a.log", FIRST_LOG),
        write_log("b.log", SECOND_LOG),
    ];
    let lines = find_lines("562d93ff", &files).expect("lines");
    let events: Vec<_> = lines.iter().map(|line| line.event).collect();
    assert_eq!(events, [810, 812, 800]);
    assert_eq!(lines[0].time, "2026-02-21T14:06:28.100Z");
    assert!(
        describe_outcome(&lines)
            .expect("an outcome")
            .contains("No target ran it")
    );
    assert_eq!(find_lines("i-a8", &files).expect("lines").len(), 1);
}

/// An unknown subject gives exit code 1 and an unreadable file gives 2, each with a remedy.
#[test]
fn explain_log_command_gives_a_remedy_if_nothing_is_found_or_a_file_is_unreadable() {
    let run_tool = |args: &[&str]| {
        let output = Command::new(env!("CARGO_BIN_EXE_hoplanding"))
            .arg("explain-log")
            .args(args)
            .output()
            .expect("the tool runs");
        let text = [output.stdout, output.stderr].concat();
        (
            output.status.code(),
            String::from_utf8_lossy(&text).into_owned(),
        )
    };
    let file = write_log("c.log", FIRST_LOG);
    let (code, text) = run_tool(&["562d93ff", &file]);
    assert!(code == Some(0) && text.contains("E800"), "{text}");
    let (code, text) = run_tool(&["nobody", &file]);
    assert!(
        code == Some(1) && text.contains("name the logs of all VMs"),
        "{text}"
    );
    let (code, text) = run_tool(&["562d93ff", "/nowhere/x.log"]);
    assert!(code == Some(2) && text.contains("can't be read"), "{text}");
}

/// Guards against `explain call` that is sent as a statement, and against errors without a remedy.
#[test]
fn explain_call_names_its_words_and_the_address_that_answers() {
    for (words, code, text) in [
        (&["api.example"][..], 2, "HOST PATH [MODEL [TOKENS]]"),
        (&["api.example", "/plan/1"][..], 3, "metrics address"),
    ] {
        let output = Command::new(env!("CARGO_BIN_EXE_hoplanding"))
            .args(["--url", "http://127.0.0.1:9", "explain", "call"])
            .args(words)
            .output()
            .expect("the tool runs");
        let error = String::from_utf8_lossy(&output.stderr);
        assert!(
            output.status.code() == Some(code) && error.contains(text),
            "{error}"
        );
    }
}

/// Guards against words that do not reach the daemon, and against an answer that is printed without zones or targets.
#[tokio::test]
async fn an_explanation_is_printed_with_its_questions_and_targets() {
    const ANSWER: &str = r#"[{"route":"plan","service":"scribe","rank":1,"refusal":null,"note":null,
        "steps":[{"zone":"hall","holder":"vm-1","terms":"take it","reason":"home zone"}],
        "zones":[{"zone":"hall","targets":[{"name":"i-1","has_subject":true,"in_flight":2,
            "obstacle":{"backing_off":40}}]}]}]"#;
    let daemon = RawTarget::start(|_: &RawRequest| RawResponse::complete("200 OK", "", ANSWER));
    let daemon = daemon.await.expect("a daemon");
    let words = ["api.example", "/plan/1", "base/a 1", "400"].map(str::to_owned);
    let fetched = fetch_explanations(&format!("http://{}/", daemon.address), &words).await;
    let text = format_explanation(&fetched.expect("explanations")[0]);
    let expected = "route plan, service scribe, rank 1\n1. hall (holder vm-1): take it; home zone\n\
        targets in hall: i-1 (has the adapter, 2 calls of this VM, backing off for 40 ms)";
    assert_eq!(text, expected);
    let asked = daemon.requests()[0].request_line().to_owned();
    let query = "/explain?host=api.example&path=%2Fplan%2F1&model=base%2Fa+1&tokens=400";
    assert!(asked.contains(query), "{asked}");
}
