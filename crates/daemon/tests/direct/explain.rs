//! Explanations of where a request would go.

use crate::support::{good_answer, send_request, start_daemon_with, vm_settings};
use hoplanding_core::{direct::call_explanation::CallExplanation, ids::VmName};
use hoplanding_standins::{
    keyed_log::KeyedLog,
    raw_target::{RawRequest, RawTarget},
};

/// Guards against an explanation that sends the call, charges it, or names other zones and targets than the call gets.
#[tokio::test]
async fn an_explanation_names_zone_and_targets_and_sends_nothing() {
    let log = KeyedLog::start().await.expect("a log");
    let scribe = RawTarget::start(good_answer).await.expect("an engine");
    let mut settings = vm_settings("vm-1", &log);
    settings.metrics_address = Some("127.0.0.1:0".parse().expect("an address"));
    let daemon = start_daemon_with(settings, &log, &[("i-1", "scribe", scribe.address)]).await;
    let address = daemon.metrics_address.expect("an address");
    let ask = async |query: &str| {
        let request = format!("GET /explain?{query} HTTP/1.1\r\nHost: vm\r\n\r\n");
        let answer = send_request(address, &request).await;
        (
            answer.status,
            String::from_utf8_lossy(&answer.body).into_owned(),
        )
    };
    let query = "host=mill.example&path=/plan/1&model=base/a1&tokens=120";
    let (status, text) = ask(query).await;
    assert_eq!(status, 200, "{text}");
    let explained: Vec<CallExplanation> = serde_json::from_str(&text).expect("explanations");
    assert_eq!(explained[0].service.as_str(), "scribe");
    assert_eq!(explained[0].refusal, None);
    let holders = explained[0].steps.iter().map(|step| step.holder.as_ref());
    assert!(holders.eq([Some(&VmName::new("vm-1")); 2]), "{text}");
    assert!(explained[0].zones[0].targets[0].has_subject, "{text}");
    let seen = scribe.requests();
    let is_call = |request: &RawRequest| request.request_line().contains("/plan/");
    assert!(!seen.iter().any(is_call));

    let (status, text) = ask(&query.replace("120", "200000")).await;
    assert!(
        status == 200 && text.contains("exceed the 100000 of"),
        "{text}"
    );
    assert_eq!(ask(&query.replace("plan", "nowhere")).await.0, 404);
    assert_eq!(ask("path=/plan/1").await.0, 400);
}
