//! Each check finds the violation that it is for and accepts correct behaviour, in handwritten histories.

use hoplanding_soak::{
    adapter_store::WeightVersions,
    checks::{EVENTS_PER_STREAM, Guarantee, check, event_text, expected_body},
    history::{CallAnswer, CallKind, HistoryEvent, TimedEntry},
    stream_text::{ReceivedStream, versioned_event},
};
use std::time::Duration;

fn at(ms: u64, event: HistoryEvent) -> TimedEntry {
    TimedEntry {
        at: Duration::from_millis(ms),
        event,
    }
}

fn sent(ms: u64, id: &str, kind: CallKind, adapter: &str) -> TimedEntry {
    let event = HistoryEvent::Sent {
        id: id.into(),
        kind,
        vm: 0,
        adapter: adapter.into(),
    };
    at(ms, event)
}

fn ran(ms: u64, id: &str, target: &str, adapter: &str) -> TimedEntry {
    let event = HistoryEvent::Ran {
        id: id.into(),
        target: target.into(),
        adapter: adapter.into(),
        is_truncated: false,
    };
    at(ms, event)
}

fn answered(ms: u64, id: &str, answer: CallAnswer) -> TimedEntry {
    let id = id.into();
    at(ms, HistoryEvent::Answered { id, answer })
}

fn ordered(ms: u64, holder: &str, token: u64) -> TimedEntry {
    let event = HistoryEvent::OrderAccepted {
        target: "i-1".into(),
        holder: holder.into(),
        token,
    };
    at(ms, event)
}

fn probed(ms: u64, run: u32, version: u64, has_route: bool) -> TimedEntry {
    let event = HistoryEvent::RouteProbed {
        vm: 0,
        run,
        version,
        has_route,
    };
    at(ms, event)
}

fn vm_disturbed(ms: u64, is_planned: bool) -> TimedEntry {
    at(ms, HistoryEvent::VmDisturbed { vm: 0, is_planned })
}

fn violated(history: &[TimedEntry]) -> Vec<Guarantee> {
    check(history)
        .into_iter()
        .map(|violation| violation.guarantee)
        .collect()
}

/// A second run violates a guarantee only for requests that are not idempotent.
#[test]
fn second_run_is_a_violation_only_for_non_idempotent_requests() {
    let twice = |kind| {
        violated(&[
            sent(0, "r1", kind, ""),
            ran(1, "r1", "i-1", ""),
            ran(2, "r1", "i-2", ""),
        ])
    };
    assert_eq!(twice(CallKind::Once), [Guarantee::AtMostOnce]);
    assert_eq!(twice(CallKind::Idempotent), []);
}

/// A daemon may answer "not executed" after the target ran the request, or send the request after that answer.
#[test]
fn request_refused_as_not_executed_must_not_run_before_or_after() {
    let refusal = answered(5, "r1", CallAnswer::Complete(503, String::new()));
    let sent = sent(0, "r1", CallKind::Idempotent, "");
    let after = [sent.clone(), refusal.clone(), ran(9, "r1", "i-1", "")];
    assert_eq!(violated(&after), [Guarantee::NotRun]);
    let before = [sent.clone(), ran(2, "r1", "i-1", ""), refusal.clone()];
    assert_eq!(violated(&before), [Guarantee::NotRun]);
    assert_eq!(violated(&[sent, refusal]), []);
}

#[test]
fn run_on_another_adapter_is_found() {
    let history = [
        sent(0, "r1", CallKind::Stream, "a1"),
        ran(1, "r1", "i-1", "a2"),
    ];
    assert_eq!(violated(&history), [Guarantee::NamedAdapter]);
}

/// Cached prompt parts must match the versions of both the adapter and the base model; a fetch alone is no violation.
#[test]
fn use_of_cached_parts_of_another_version_is_found() {
    let versions = |base, adapter| WeightVersions { base, adapter };
    let mismatch = |cached_versions, run_versions| HistoryEvent::CacheMismatch {
        id: "r1".into(),
        target: "i-1".into(),
        adapter: "a1".into(),
        cached_versions,
        run_versions,
    };
    let cache_fetches = HistoryEvent::CacheFetched {
        id: "r1".into(),
        target: "i-1".into(),
    };
    let own = [
        sent(0, "r1", CallKind::Stream, "a1"),
        ran(1, "r1", "i-1", "a1"),
        at(1, cache_fetches),
    ];
    assert_eq!(violated(&own), []);
    for cached_versions in [versions(1, 1), versions(2, 7)] {
        let mismatch = mismatch(cached_versions, versions(1, 7));
        let other = [own.as_slice(), &[at(21, mismatch)]].concat();
        assert_eq!(violated(&other), [Guarantee::CacheVersion]);
    }
}

#[test]
fn forged_header_at_a_target_is_found() {
    let forged = HistoryEvent::ForgedHeader {
        id: "r1".into(),
        target: "i-1".into(),
    };
    let sent = sent(0, "r1", CallKind::Once, "");
    assert_eq!(violated(std::slice::from_ref(&sent)), []);
    assert_eq!(
        violated(&[sent, at(1, forged)]),
        [Guarantee::ReservedHeaders]
    );
}

/// An answer with complete framing must have the target's content; a visibly truncated answer is allowed.
#[test]
fn complete_answer_has_every_event_once() {
    let whole = expected_body(CallKind::Stream, "r1", EVENTS_PER_STREAM);
    let verdict = |answer: CallAnswer| {
        violated(&[
            sent(0, "r1", CallKind::Stream, "a1"),
            ran(1, "r1", "i-1", "a1"),
            answered(9, "r1", answer),
        ])
    };
    assert_eq!(verdict(CallAnswer::Complete(200, whole.clone())), []);
    let short = expected_body(CallKind::Stream, "r1", EVENTS_PER_STREAM - 1);
    assert_eq!(
        verdict(CallAnswer::Complete(200, short)),
        [Guarantee::CompleteAnswer]
    );
    let other = whole.replace("r1", "r2");
    assert_eq!(
        verdict(CallAnswer::Complete(200, other)),
        [Guarantee::CompleteAnswer]
    );
    assert_eq!(verdict(CallAnswer::Truncated(200)), []);
}

/// A disturbance of the VM or the log within the contact window excuses a late request to a draining target.
#[test]
fn draining_target_gets_nothing_new_from_a_vm_in_contact() {
    let leaving = at(
        5_000,
        HistoryEvent::TargetDraining {
            target: "i-1".into(),
        },
    );
    let with_late_run = |extra: Vec<TimedEntry>| {
        let mut history = vec![
            leaving.clone(),
            sent(7_400, "r1", CallKind::Once, ""),
            ran(7_500, "r1", "i-1", ""),
        ];
        history.extend(extra);
        violated(&history)
    };
    assert_eq!(with_late_run(Vec::new()), [Guarantee::Draining]);
    assert_eq!(with_late_run(vec![vm_disturbed(6_000, false)]), []);
    assert_eq!(
        with_late_run(vec![at(6_000, HistoryEvent::LogDisturbed)]),
        []
    );
}

/// An interrupted request is a violation unless a fault other than the planned stop may have caused it.
#[test]
fn planned_stop_interrupts_nothing() {
    let interrupted_with = |disturbances: Vec<TimedEntry>| {
        let mut history = vec![
            sent(900, "r1", CallKind::Stream, "a1"),
            ran(950, "r1", "i-1", "a1"),
            answered(3_000, "r1", CallAnswer::Truncated(200)),
        ];
        history.extend(disturbances);
        violated(&history)
    };
    assert_eq!(
        interrupted_with(vec![vm_disturbed(1_000, true)]),
        [Guarantee::PlannedStop]
    );
    assert_eq!(
        interrupted_with(vec![vm_disturbed(1_000, true), vm_disturbed(2_000, false)]),
        []
    );
}

/// A call that its caller gives up at its deadline is not interrupted if its target was silent for half of that time.
#[test]
fn planned_stop_is_not_blamed_for_calls_that_wait_for_a_silent_target() {
    let given_up = |given_up_ms, target: &str, silences: &[(u64, u64)]| {
        let began = |target| HistoryEvent::SilenceBegan { target };
        let ended = |target| HistoryEvent::SilenceEnded { target };
        let mut history = vec![
            sent(1_000, "r1", CallKind::Stream, "a1"),
            ran(1_010, "r1", "i-1", "a1"),
            vm_disturbed(2_000, true),
            answered(given_up_ms, "r1", CallAnswer::NoAnswer),
        ];
        for (from, to) in silences {
            history.push(of_target(*from, target, began));
            history.push(of_target(*to, target, ended));
        }
        history.sort_by_key(|entry| entry.at);
        violated(&history)
    };
    let half = [(500, 2_500), (3_000, 4_500)];
    assert_eq!(given_up(7_000, "i-1", &half), []);
    let found = [Guarantee::PlannedStop];
    assert_eq!(given_up(6_900, "i-1", &half), found);
    assert_eq!(given_up(7_000, "i-2", &half), found);
    assert_eq!(given_up(7_000, "i-1", &half[..1]), found);
    assert_eq!(given_up(7_000, "i-1", &[(8_000, 9_000)]), found);
}

/// As for planned stops; a reload at another VM explains nothing.
#[test]
fn settings_reload_interrupts_nothing() {
    let interrupted_with = |vm, extra: Vec<TimedEntry>| {
        let mut history = vec![
            sent(900, "r1", CallKind::Stream, "a1"),
            ran(950, "r1", "i-1", "a1"),
            at(1_000, HistoryEvent::SettingsReloaded { vm }),
            answered(3_000, "r1", CallAnswer::Truncated(200)),
        ];
        history.extend(extra);
        violated(&history)
    };
    assert_eq!(interrupted_with(0, Vec::new()), [Guarantee::PlannedStop]);
    assert_eq!(interrupted_with(1, Vec::new()), []);
    assert_eq!(interrupted_with(0, vec![vm_disturbed(2_000, false)]), []);
}

/// A settings reload is no fault and does not excuse a late request to a draining target.
#[test]
fn settings_reload_leaves_a_vm_in_contact() {
    let target = "i-1".into();
    let history = [
        at(5_000, HistoryEvent::TargetDraining { target }),
        at(6_000, HistoryEvent::SettingsReloaded { vm: 0 }),
        sent(7_400, "r1", CallKind::Once, ""),
        ran(7_500, "r1", "i-1", ""),
        answered(7_600, "r1", CallAnswer::Complete(200, "done r1".into())),
    ];
    assert_eq!(violated(&history), [Guarantee::Draining]);
}

#[test]
fn configuration_may_go_back_only_with_a_new_process() {
    let history = [probed(1, 1, 3, true), probed(2, 1, 2, false)];
    assert_eq!(violated(&history), [Guarantee::ConfigMonotonic]);
    let restarted = [probed(1, 1, 3, true), probed(2, 2, 2, false)];
    assert_eq!(violated(&restarted), []);
}

#[test]
fn fencing_tokens_have_one_holder_and_never_decrease() {
    assert_eq!(
        violated(&[ordered(1, "vm-1", 4), ordered(2, "vm-2", 5)]),
        []
    );
    let decreased = [ordered(1, "vm-1", 4), ordered(2, "vm-2", 3)];
    assert_eq!(violated(&decreased), [Guarantee::SingleHolder]);
    let shared = [ordered(1, "vm-1", 4), ordered(2, "vm-2", 4)];
    assert_eq!(violated(&shared), [Guarantee::SingleHolder]);
    let target = "i-1".into();
    assert_eq!(
        violated(&[at(1, HistoryEvent::SlotsExceeded { target })]),
        [Guarantee::AdapterSlots]
    );
}

#[test]
fn retries_beyond_the_budget_are_found() {
    let mut history = vec![sent(0, "r1", CallKind::Idempotent, "")];
    history.extend((0..60).map(|n| ran(n, "r1", "i-1", "")));
    assert_eq!(violated(&history), [Guarantee::RetryBudget]);
}

/// The retry budget of a whole run must be usable neither within one window nor by another service.
#[test]
fn retries_are_counted_per_service_and_in_every_window() {
    let spread = |requests: u64, kind| {
        let calls = (0..requests).map(move |n| sent(n * 100, &format!("r{n}"), kind, "a1"));
        calls.collect::<Vec<_>>()
    };
    // 600 requests in a minute allow 170 retries; 80 of them arrive within one second.
    let mut history = spread(600, CallKind::Idempotent);
    history.extend((0..80).map(|n| rejected(30_000 + n * 10, "r290")));
    assert_eq!(violated(&history), [Guarantee::RetryBudget]);
    let mut within = spread(600, CallKind::Idempotent);
    within.extend((0..60).map(|n| rejected(30_000 + n * 10, "r290")));
    assert_eq!(violated(&within), []);
    // Requests for streams do not extend the budget of plain calls.
    let mut other = spread(600, CallKind::Stream);
    other.push(sent(29_000, "plain", CallKind::Idempotent, ""));
    other.extend((0..60).map(|n| rejected(30_000 + n * 10, "plain")));
    assert_eq!(violated(&other), [Guarantee::RetryBudget]);
}

fn rejected(ms: u64, id: &str) -> TimedEntry {
    let event = HistoryEvent::Rejected {
        id: id.into(),
        target: "i-1".into(),
    };
    at(ms, event)
}

fn key_sent(id: &str, key: &str) -> TimedEntry {
    let (id, key) = (id.into(), key.into());
    at(0, HistoryEvent::KeySent { id, key })
}

/// A call with a revoked key is a violation only if it starts later than the revocation bound.
#[test]
fn run_with_a_revoked_key_is_found_from_the_bound_on() {
    let history = |sent_ms| {
        vec![
            at(
                1_000,
                HistoryEvent::Revoked {
                    key: "mill-v1".into(),
                },
            ),
            // Every later configuration revokes the key again; only the first time counts.
            at(
                9_000,
                HistoryEvent::Revoked {
                    key: "mill-v1".into(),
                },
            ),
            key_sent("r1", "mill-v1"),
            sent(sent_ms, "r1", CallKind::Once, ""),
            ran(sent_ms + 10, "r1", "i-1", ""),
        ]
    };
    assert!(violated(&history(5_900)).is_empty());
    assert_eq!(violated(&history(6_100)), [Guarantee::Revocation]);
}

#[test]
fn run_for_another_organisation_than_that_of_its_key_is_found() {
    let ran_for = |organisation: &str| {
        let organisation = organisation.into();
        let id = "r1".into();
        vec![
            sent(0, "r1", CallKind::Once, ""),
            key_sent("r1", "mill-key"),
            at(5, HistoryEvent::RanForOrganisation { id, organisation }),
        ]
    };
    assert!(violated(&ran_for("mill")).is_empty());
    assert_eq!(violated(&ran_for("port")), [Guarantee::CallerOrganisation]);
    assert_eq!(violated(&ran_for("")), [Guarantee::CallerOrganisation]);
}

#[test]
fn organisation_over_its_quota_is_found_in_any_window() {
    let history = |count: u64| {
        let calls = (0..count).flat_map(|number| {
            let id = format!("r{number}");
            // The requests span the end of one second and the start of the next.
            let ms = 3_900 + number * 5;
            [
                key_sent(&id, "port-key"),
                sent(ms, &id, CallKind::Once, ""),
                ran(ms + 1, &id, "i-1", ""),
            ]
        });
        calls.collect::<Vec<_>>()
    };
    // The quota of 36, a tenth of it and a slack of 4.
    assert!(violated(&history(43)).is_empty());
    assert_eq!(violated(&history(44)), [Guarantee::Quota]);
}

/// The VM knows of the draining from an answer, so a disturbance of the log does not excuse a late call; one of the VM does.
#[test]
fn call_after_announced_draining_is_found_unless_the_vm_was_disturbed() {
    let announced = |ms| {
        let event = HistoryEvent::DrainingAnnounced {
            id: "r1".into(),
            target: "i-1".into(),
        };
        at(ms, event)
    };
    let first = [sent(0, "r1", CallKind::Idempotent, ""), announced(10)];
    let with_late_run = [
        sent(2_100, "r2", CallKind::Idempotent, ""),
        ran(2_110, "r2", "i-1", ""),
    ];
    let history = [first.to_vec(), with_late_run.to_vec()].concat();
    assert_eq!(violated(&history), [Guarantee::AnnouncedDraining]);
    let disturbed = [
        first.to_vec(),
        vec![at(50, HistoryEvent::LogDisturbed)],
        with_late_run.to_vec(),
    ]
    .concat();
    assert_eq!(violated(&disturbed), [Guarantee::AnnouncedDraining]);
    let excused = [
        first.to_vec(),
        vec![vm_disturbed(50, false)],
        with_late_run.to_vec(),
    ]
    .concat();
    assert_eq!(violated(&excused), []);
}

/// Requests in flight at the `Retry-After` answer and requests after the period do not count.
#[test]
fn more_than_two_requests_within_a_retry_after_period_are_found() {
    let rejected = |ms, id: &str| {
        let event = HistoryEvent::Rejected {
            id: id.into(),
            target: "i-1".into(),
        };
        at(ms, event)
    };
    let retry_after = HistoryEvent::RetryAfterSent {
        id: "r0".into(),
        target: "i-1".into(),
        retry_after: Duration::from_secs(3),
    };
    let mut history = vec![
        sent(0, "r0", CallKind::Idempotent, ""),
        rejected(1, "r0"),
        at(1, retry_after),
    ];
    for (number, ms) in [400, 1_000, 2_000, 2_900, 3_100].into_iter().enumerate() {
        let id = format!("r{}", number + 1);
        history.push(sent(ms - 1, &id, CallKind::Idempotent, ""));
        history.push(rejected(ms, &id));
        let expected = if ms == 2_900 || ms == 3_100 {
            vec![Guarantee::RetryAfter]
        } else {
            Vec::new()
        };
        assert_eq!(violated(&history), expected, "{ms}");
    }
}

#[test]
fn late_configuration_at_a_vm_in_contact_is_found() {
    let configured = at(0, HistoryEvent::ConfigAccepted { version: 2 });
    let early = probed(1_900, 1, 2, false);
    let with_late_run = probed(2_100, 1, 2, false);
    assert_eq!(violated(&[configured.clone(), early]), []);
    assert_eq!(
        violated(&[configured.clone(), with_late_run.clone()]),
        [Guarantee::ConfigDeadline]
    );
    assert_eq!(
        violated(&[configured, vm_disturbed(100, false), with_late_run]),
        []
    );
}

/// A configuration that a restored log lacks can be applied only from its rewrite on.
#[test]
fn lost_configuration_is_late_only_after_its_rewrite() {
    let accepted = |ms| at(ms, HistoryEvent::ConfigAccepted { version: 2 });
    let lost = at(1_000, HistoryEvent::ConfigLost { version: 2 });
    let lacking = |ms| probed(ms, 1, 2, false);
    let history = [accepted(0), lost.clone(), lacking(4_000)];
    assert_eq!(violated(&history), []);
    let history = [accepted(0), lost.clone(), accepted(5_000), lacking(6_900)];
    assert_eq!(violated(&history), []);
    let history = [accepted(0), lost.clone(), accepted(5_000), lacking(7_100)];
    assert_eq!(violated(&history), [Guarantee::ConfigDeadline]);
    // The deadline before the loss stays in force.
    let history = [
        accepted(0),
        lacking(2_100),
        at(2_200, HistoryEvent::ConfigLost { version: 2 }),
    ];
    assert_eq!(violated(&history), [Guarantee::ConfigDeadline]);
}

/// Neither the loss of the revoking configuration nor its rewrite makes a revoked key valid again.
#[test]
fn key_stays_revoked_when_its_revocation_is_lost() {
    let revoked = |ms| {
        at(
            ms,
            HistoryEvent::Revoked {
                key: "mill-v1".into(),
            },
        )
    };
    let history = [
        revoked(1_000),
        at(2_000, HistoryEvent::ConfigLost { version: 2 }),
        key_sent("r1", "mill-v1"),
        sent(6_100, "r1", CallKind::Once, ""),
        ran(6_110, "r1", "i-1", ""),
        revoked(8_000),
    ];
    assert_eq!(violated(&history), [Guarantee::Revocation]);
}

#[test]
fn excessive_log_calls_are_found() {
    let calls = |calls| {
        let within = Duration::from_secs(1);
        [
            probed(0, 1, 1, true),
            at(1_000, HistoryEvent::LogCalls { calls, within }),
        ]
    };
    assert_eq!(violated(&calls(20)), []);
    assert_eq!(violated(&calls(900)), [Guarantee::LogCallRate]);
    // A starting daemon makes additional calls.
    assert_eq!(violated(&calls(40)), [Guarantee::LogCallRate]);
    let started = vec![at(200, HistoryEvent::VmStarted { vm: 0 })];
    assert_eq!(
        violated(&[started.clone(), calls(40).to_vec()].concat()),
        []
    );
    assert_eq!(
        violated(&[started, calls(60).to_vec()].concat()),
        [Guarantee::LogCallRate]
    );
}

/// Calls sent every 50 ms for 8 s, to VM 0 and VM 1 in turn. VM 0 has no path to targets from 1 s on, and serves every
/// `lost_period`-th of its calls after that.
fn history_of_lost_path(lost_period: usize) -> Vec<TimedEntry> {
    let mut history = vec![at(1_000, HistoryEvent::PathLost { vm: 0 })];
    for number in 0..160_usize {
        let (id, ms) = (format!("r{number}"), number as u64 * 50);
        let vm = number % 2;
        let event = HistoryEvent::Sent {
            id: id.clone(),
            kind: CallKind::Idempotent,
            vm,
            adapter: String::new(),
        };
        history.push(at(ms, event));
        let is_served = vm == 1 || ms < 1_000 || (number / 2).is_multiple_of(lost_period);
        let answer = if is_served {
            CallAnswer::Complete(200, expected_body(CallKind::Idempotent, &id, 0))
        } else {
            CallAnswer::Complete(503, String::new())
        };
        history.push(answered(ms + 10, &id, answer));
    }
    history.sort_by_key(|entry| entry.at);
    history
}

#[test]
fn callers_left_unserved_by_a_vm_without_a_path_are_found() {
    let found = check(&history_of_lost_path(10));
    assert_eq!(found.len(), 1, "{found:?}");
    assert_eq!(found[0].guarantee, Guarantee::PathIndependence);
    assert!(check(&history_of_lost_path(1)).is_empty());
}

#[test]
fn calls_at_a_vm_without_a_path_are_not_judged_while_it_is_out_of_contact() {
    let mut history = history_of_lost_path(10);
    for ms in [3_500, 5_500, 7_500] {
        let disturbed = HistoryEvent::VmDisturbed {
            vm: 0,
            is_planned: false,
        };
        history.push(at(ms, disturbed));
    }
    history.sort_by_key(|entry| entry.at);
    assert!(check(&history).is_empty());
}

/// A caller took a stream up with a second request, and targets of both versions answered.
#[test]
fn a_stream_of_two_software_versions_is_found_over_its_callers_attempts() {
    let received = |ms, id: &str, software: &str| {
        let event = HistoryEvent::EventsReceived {
            id: id.into(),
            software: [software.to_owned()].into(),
        };
        at(ms, event)
    };
    let taken_up = HistoryEvent::TakenUp {
        id: "r1-1".into(),
        began_by: "r1".into(),
        after: 4,
    };
    let history = |second: &str| {
        [
            sent(0, "r1", CallKind::Resumable, "a1"),
            received(100, "r1", "v1"),
            at(110, taken_up.clone()),
            sent(110, "r1-1", CallKind::Resumable, "a1"),
            received(200, "r1-1", second),
        ]
    };
    assert_eq!(violated(&history("v1")), []);
    assert_eq!(violated(&history("v2")), [Guarantee::SoftwareVersion]);
}

/// The answer to a request that takes up a stream holds the events after the last one received before.
#[test]
fn a_taken_up_stream_with_repeated_events_is_found() {
    let taken_up = HistoryEvent::TakenUp {
        id: "r1-1".into(),
        began_by: "r1".into(),
        after: 4,
    };
    let history = |first: u32| {
        let body = (first..=EVENTS_PER_STREAM).map(|event| event_text("r1-1", event));
        [
            at(0, taken_up.clone()),
            sent(0, "r1-1", CallKind::Resumable, "a1"),
            answered(200, "r1-1", CallAnswer::Complete(200, body.collect())),
        ]
    };
    assert_eq!(violated(&history(5)), []);
    assert_eq!(violated(&history(4)), [Guarantee::CompleteAnswer]);
}

/// Only complete events count as received, and their lines of software versions are no part of the content.
#[test]
fn received_streams_are_split_into_content_and_software_versions() {
    let body = versioned_event("v1", "r1", 1) + &versioned_event("v2", "r1", 2);
    let received = ReceivedStream::parse(&body);
    assert_eq!(received.text, event_text("r1", 1) + &event_text("r1", 2));
    assert_eq!(received.software, ["v1".to_owned(), "v2".to_owned()].into());
    assert_eq!(received.last_event, 2);
    assert_eq!(ReceivedStream::parse(&body[..body.len() - 1]).last_event, 1);
}

/// The part is known after its fifth crash, and three more requests with it may reach targets.
#[test]
fn requests_with_a_known_deadly_part_are_found() {
    let crash = |ms, number: u32| {
        let id = format!("deadly-{number}");
        let event = HistoryEvent::EngineCrashed {
            id: id.clone(),
            target: format!("i-{number}"),
        };
        [sent(ms, &id, CallKind::Stream, "a1"), at(ms, event)]
    };
    let history = |later: u32| {
        let before = (0..9).map(|number| crash(500 * u64::from(number), number));
        let after = (0..later).map(|number| crash(8_000 + u64::from(number), 100 + number));
        before.chain(after).flatten().collect::<Vec<_>>()
    };
    assert_eq!(violated(&history(3)), []);
    assert_eq!(violated(&history(4)), [Guarantee::DeadlyPart]);
}

/// Calls every 50 ms, of which the VM that most new connections go to serves a part from three seconds after the start on.
fn history_of_skew(outcome: impl Fn(u32) -> SkewedOutcome) -> Vec<TimedEntry> {
    let mut history = Vec::new();
    for number in 0..100_u64 {
        let id = format!("r{number}");
        history.push(sent(50 * number, &id, CallKind::Once, ""));
        history.push(answered(50 * number + 20, &id, done(&id)));
    }
    history.push(at(5_000, HistoryEvent::SkewBegan { vm: 0 }));
    for number in 0..100_u32 {
        let ms = 8_000 + 50 * u64::from(number);
        let first = format!("skew-{number}");
        let second = format!("{first}-1");
        history.push(sent(ms, &first, CallKind::Once, ""));
        match outcome(number) {
            SkewedOutcome::Served => history.push(answered(ms + 20, &first, done(&first))),
            SkewedOutcome::Refused => {
                let refused = CallAnswer::Complete(503, String::new());
                history.push(answered(ms + 20, &first, refused));
            }
            SkewedOutcome::ServedAfterClose => {
                history.push(answered(ms + 10, &first, CallAnswer::NoAnswer));
                history.push(at(ms + 10, HistoryEvent::ClosedUnread { id: first }));
                let sent_again = HistoryEvent::Sent {
                    id: second.clone(),
                    kind: CallKind::Once,
                    vm: 1,
                    adapter: String::new(),
                };
                history.push(at(ms + 20, sent_again));
                history.push(answered(ms + 40, &second, done(&second)));
            }
            SkewedOutcome::Unanswered => {
                history.push(answered(ms + 2_700, &first, CallAnswer::NoAnswer));
            }
        }
    }
    history.push(at(13_100, HistoryEvent::SkewEnded { vm: 0 }));
    history.sort_by_key(|entry| entry.at);
    history
}

/// What happens to a call while most new connections go to one VM.
#[derive(Clone, Copy)]
enum SkewedOutcome {
    Served,
    Refused,
    ServedAfterClose,
    Unanswered,
}

fn done(id: &str) -> CallAnswer {
    CallAnswer::Complete(200, format!("done {id}"))
}

#[test]
fn calls_that_are_not_served_while_connections_are_skewed_are_found() {
    let history = |refused: u32| {
        history_of_skew(|number| match number < refused {
            true => SkewedOutcome::Refused,
            false => SkewedOutcome::Served,
        })
    };
    assert_eq!(violated(&history(25)), []);
    assert_eq!(violated(&history(26)), [Guarantee::SkewedConnections]);
}

#[test]
fn calls_that_are_served_after_a_close_count_as_served_at_the_first_attempt_read() {
    let history = history_of_skew(|number| match number % 2 {
        0 => SkewedOutcome::ServedAfterClose,
        _ => SkewedOutcome::Served,
    });
    assert_eq!(violated(&history), []);
}

#[test]
fn calls_without_an_answer_after_their_deadline_are_found_while_connections_are_skewed() {
    let history = history_of_skew(|number| match number % 10 {
        0 => SkewedOutcome::Unanswered,
        _ => SkewedOutcome::Served,
    });
    assert_eq!(violated(&history), [Guarantee::SkewedConnections]);
}

#[test]
fn a_vm_that_reads_none_of_its_connections_is_found() {
    let history = history_of_skew(|_| SkewedOutcome::ServedAfterClose);
    assert_eq!(violated(&history), [Guarantee::SkewedConnections]);
}

fn received(ms: u64, id: &str) -> TimedEntry {
    let event = HistoryEvent::EventsReceived {
        id: id.into(),
        software: ["v1".to_owned()].into(),
    };
    at(ms, event)
}

/// A stream of VM 0 from 1 s on that is cut off after its first events, with other events of the run.
fn cut_stream(kind: CallKind, cut_ms: u64, others: Vec<TimedEntry>) -> Vec<TimedEntry> {
    let mut history = vec![
        sent(1_000, "r1", kind, "a1"),
        ran(1_010, "r1", "i-1", "a1"),
        received(cut_ms, "r1"),
        answered(cut_ms, "r1", CallAnswer::Truncated(200)),
    ];
    history.extend(others);
    history.sort_by_key(|entry| entry.at);
    history
}

/// An entry of a target: the start or the end of its silence, its crash, or its leaving.
fn of_target(ms: u64, target: &str, event: impl Fn(String) -> HistoryEvent) -> TimedEntry {
    at(ms, event(target.into()))
}

#[test]
fn an_answer_that_is_cut_off_without_a_reason_is_found() {
    for kind in [CallKind::Stream, CallKind::Resumable] {
        let history = cut_stream(kind, 2_500, Vec::new());
        assert_eq!(violated(&history), [Guarantee::UncutAnswer]);
        assert_eq!(violated(&cut_stream(kind, 6_990, Vec::new())).len(), 1);
        assert_eq!(violated(&cut_stream(kind, 7_000, Vec::new())), []);
    }
    // Answers that are complete or have not begun are not cut off.
    let whole = expected_body(CallKind::Stream, "r1", EVENTS_PER_STREAM);
    let mut complete = cut_stream(CallKind::Stream, 2_500, Vec::new());
    complete[3] = answered(2_500, "r1", CallAnswer::Complete(200, whole));
    assert_eq!(violated(&complete), []);
    let mut not_begun = cut_stream(CallKind::Stream, 2_500, Vec::new());
    not_begun.remove(2);
    assert_eq!(violated(&not_begun), []);
}

/// Neither silences and leaving of its target, nor faults of the log, other VMs and other targets are reasons to cut an
/// answer off.
#[test]
fn an_answer_that_is_cut_off_in_a_silence_is_found() {
    let silence = |target: &str| {
        let began = |target| HistoryEvent::SilenceBegan { target };
        let ended = |target| HistoryEvent::SilenceEnded { target };
        vec![
            of_target(1_200, target, began),
            of_target(3_000, target, ended),
        ]
    };
    let draining = |target| HistoryEvent::TargetDraining { target };
    let crashed = |target| HistoryEvent::EngineCrashed {
        id: "r2".into(),
        target,
    };
    for others in [
        silence("i-1"),
        vec![of_target(1_200, "i-1", draining)],
        vec![at(1_200, HistoryEvent::LogDisturbed)],
        vec![vm_disturbed(1_200, false)],
        vec![at(1_200, HistoryEvent::ProcessSignalled { vm: 1 })],
        vec![at(1_200, HistoryEvent::PathLost { vm: 1 })],
        vec![of_target(1_200, "i-2", crashed)],
        vec![of_target(1_005, "i-1", crashed)],
        vec![at(900, HistoryEvent::ProcessSignalled { vm: 0 })],
        vec![at(2_600, HistoryEvent::ProcessSignalled { vm: 0 })],
        vec![at(2_600, HistoryEvent::PathLost { vm: 0 })],
        vec![
            at(100, HistoryEvent::PathLost { vm: 0 }),
            at(900, HistoryEvent::PathRestored { vm: 0 }),
        ],
    ] {
        let history = cut_stream(CallKind::Resumable, 2_500, others);
        assert_eq!(violated(&history), [Guarantee::UncutAnswer], "{history:?}");
    }
}

#[test]
fn an_answer_may_be_cut_off_by_the_end_of_its_target_its_process_or_its_path() {
    let crashed = |target| HistoryEvent::EngineCrashed {
        id: "r2".into(),
        target,
    };
    let truncated = HistoryEvent::Ran {
        id: "r1".into(),
        target: "i-2".into(),
        adapter: "a1".into(),
        is_truncated: true,
    };
    for others in [
        vec![of_target(1_200, "i-1", crashed)],
        vec![at(1_200, truncated)],
        vec![at(1_200, HistoryEvent::ProcessSignalled { vm: 0 })],
        vec![at(1_200, HistoryEvent::PathLost { vm: 0 })],
        vec![at(900, HistoryEvent::SkewBegan { vm: 1 })],
        // The answer may come through a tunnel of VM 1.
        vec![
            at(100, HistoryEvent::PathLost { vm: 0 }),
            at(900, HistoryEvent::PathRestored { vm: 0 }),
            at(1_200, HistoryEvent::ProcessSignalled { vm: 1 }),
        ],
    ] {
        let history = cut_stream(CallKind::Resumable, 2_500, others);
        assert_eq!(violated(&history), [], "{history:?}");
    }
}

/// An event that was cut off itself is no part of the content.
#[test]
fn a_part_of_an_answer_with_a_missing_or_repeated_event_is_found() {
    let verdict = |events: &[u32], rest: &str| {
        let text: String = events
            .iter()
            .map(|event| event_text("r1", *event))
            .collect();
        let id = "r1".into();
        let text = text + rest;
        violated(&[
            sent(0, "r1", CallKind::Resumable, "a1"),
            at(100, HistoryEvent::PartReceived { id, text }),
        ])
    };
    assert_eq!(verdict(&[1, 2, 3], ""), []);
    assert_eq!(verdict(&[1, 2, 3], "id: 9"), []);
    assert_eq!(verdict(&[], "software"), []);
    assert_eq!(verdict(&[1, 3], ""), [Guarantee::CompleteAnswer]);
    assert_eq!(verdict(&[1, 2, 2], ""), [Guarantee::CompleteAnswer]);
    assert_eq!(verdict(&[2], ""), [Guarantee::CompleteAnswer]);
}
