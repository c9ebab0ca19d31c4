//! Each check finds the fault that it is for, in histories made by hand.

use hoplanding_soak::{
    adapter_store::WeightVersions,
    checks::{EVENTS_PER_STREAM, Guarantee, check, expected_body},
    history::{CallAnswer, CallKind, HistoryEvent, TimedEntry},
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

fn struck(ms: u64, is_planned: bool) -> TimedEntry {
    at(ms, HistoryEvent::VmDisturbed { vm: 0, is_planned })
}

fn found(history: &[TimedEntry]) -> Vec<Guarantee> {
    check(history)
        .into_iter()
        .map(|violation| violation.guarantee)
        .collect()
}

#[test]
fn a_second_run_counts_only_where_it_was_promised_not_to_happen() {
    let twice = |kind| {
        found(&[
            sent(0, "r1", kind, ""),
            ran(1, "r1", "i-1", ""),
            ran(2, "r1", "i-2", ""),
        ])
    };
    assert_eq!(twice(CallKind::Once), [Guarantee::AtMostOnce]);
    assert_eq!(twice(CallKind::Idempotent), []);
}

#[test]
fn what_was_refused_as_not_run_must_not_run_before_or_after() {
    let refusal = answered(5, "r1", CallAnswer::Complete(503, String::new()));
    let sent = sent(0, "r1", CallKind::Idempotent, "");
    let after = [sent.clone(), refusal.clone(), ran(9, "r1", "i-1", "")];
    assert_eq!(found(&after), [Guarantee::NotRun]);
    let before = [sent.clone(), ran(2, "r1", "i-1", ""), refusal.clone()];
    assert_eq!(found(&before), [Guarantee::NotRun]);
    assert_eq!(found(&[sent, refusal]), []);
}

#[test]
fn a_run_on_another_adapter_is_found() {
    let history = [
        sent(0, "r1", CallKind::Stream, "a1"),
        ran(1, "r1", "i-1", "a2"),
    ];
    assert_eq!(found(&history), [Guarantee::NamedAdapter]);
}

#[test]
fn a_run_on_memory_of_another_version_is_found() {
    let versions = |base, adapter| WeightVersions { base, adapter };
    let mixed = |made_under, runs_under| HistoryEvent::CacheMismatch {
        id: "r1".into(),
        target: "i-1".into(),
        adapter: "a1".into(),
        made_under,
        runs_under,
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
    assert_eq!(found(&own), []);
    for made_under in [versions(1, 1), versions(2, 7)] {
        let mixed = mixed(made_under, versions(1, 7));
        let other = [own.as_slice(), &[at(21, mixed)]].concat();
        assert_eq!(found(&other), [Guarantee::CacheVersion]);
    }
}

#[test]
fn a_forged_header_that_reached_a_target_is_found() {
    let forged = HistoryEvent::ForgedHeader {
        id: "r1".into(),
        target: "i-1".into(),
    };
    let sent = sent(0, "r1", CallKind::Once, "");
    assert_eq!(found(std::slice::from_ref(&sent)), []);
    assert_eq!(found(&[sent, at(1, forged)]), [Guarantee::ReservedHeaders]);
}

#[test]
fn an_answer_that_looks_whole_has_every_event_once() {
    let whole = expected_body(CallKind::Stream, "r1", EVENTS_PER_STREAM);
    let verdict = |answer: CallAnswer| {
        found(&[
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

#[test]
fn a_leaving_target_gets_nothing_new_from_a_vm_in_touch() {
    let leaving = at(
        5_000,
        HistoryEvent::TargetDraining {
            target: "i-1".into(),
        },
    );
    let late = |extra: Vec<TimedEntry>| {
        let mut history = vec![
            leaving.clone(),
            sent(7_400, "r1", CallKind::Once, ""),
            ran(7_500, "r1", "i-1", ""),
        ];
        history.extend(extra);
        found(&history)
    };
    assert_eq!(late(Vec::new()), [Guarantee::Draining]);
    assert_eq!(late(vec![struck(6_000, false)]), []);
    assert_eq!(late(vec![at(6_000, HistoryEvent::LogDisturbed)]), []);
}

#[test]
fn a_planned_stop_interrupts_nothing() {
    let broken = |strikes: Vec<TimedEntry>| {
        let mut history = vec![
            sent(900, "r1", CallKind::Stream, "a1"),
            ran(950, "r1", "i-1", "a1"),
            answered(3_000, "r1", CallAnswer::Truncated(200)),
        ];
        history.extend(strikes);
        found(&history)
    };
    assert_eq!(broken(vec![struck(1_000, true)]), [Guarantee::PlannedStop]);
    assert_eq!(broken(vec![struck(1_000, true), struck(2_000, false)]), []);
}

#[test]
fn a_change_of_settings_interrupts_nothing() {
    let broken = |vm, extra: Vec<TimedEntry>| {
        let mut history = vec![
            sent(900, "r1", CallKind::Stream, "a1"),
            ran(950, "r1", "i-1", "a1"),
            at(1_000, HistoryEvent::SettingsReloaded { vm }),
            answered(3_000, "r1", CallAnswer::Truncated(200)),
        ];
        history.extend(extra);
        found(&history)
    };
    assert_eq!(broken(0, Vec::new()), [Guarantee::PlannedStop]);
    assert_eq!(broken(1, Vec::new()), []);
    assert_eq!(broken(0, vec![struck(2_000, false)]), []);
}

/// It is no fault that excuses what reaches a leaving target.
#[test]
fn a_change_of_settings_leaves_a_vm_in_touch() {
    let target = "i-1".into();
    let history = [
        at(5_000, HistoryEvent::TargetDraining { target }),
        at(6_000, HistoryEvent::SettingsReloaded { vm: 0 }),
        sent(7_400, "r1", CallKind::Once, ""),
        ran(7_500, "r1", "i-1", ""),
        answered(7_600, "r1", CallAnswer::Complete(200, "done r1".into())),
    ];
    assert_eq!(found(&history), [Guarantee::Draining]);
}

#[test]
fn a_configuration_goes_back_only_with_its_process() {
    let history = [probed(1, 1, 3, true), probed(2, 1, 2, false)];
    assert_eq!(found(&history), [Guarantee::ConfigMonotonic]);
    let restarted = [probed(1, 1, 3, true), probed(2, 2, 2, false)];
    assert_eq!(found(&restarted), []);
}

#[test]
fn orders_come_from_one_holder_a_token_and_tokens_only_rise() {
    assert_eq!(found(&[ordered(1, "vm-1", 4), ordered(2, "vm-2", 5)]), []);
    let back = [ordered(1, "vm-1", 4), ordered(2, "vm-2", 3)];
    assert_eq!(found(&back), [Guarantee::SingleHolder]);
    let shared = [ordered(1, "vm-1", 4), ordered(2, "vm-2", 4)];
    assert_eq!(found(&shared), [Guarantee::SingleHolder]);
    let target = "i-1".into();
    assert_eq!(
        found(&[at(1, HistoryEvent::SlotsExceeded { target })]),
        [Guarantee::AdapterSlots]
    );
}

#[test]
fn repeats_beyond_the_budget_are_found() {
    let mut history = vec![sent(0, "r1", CallKind::Idempotent, "")];
    history.extend((0..60).map(|n| ran(n, "r1", "i-1", "")));
    assert_eq!(found(&history), [Guarantee::RetryBudget]);
}

/// What the whole run allows may be spent neither in one window nor by another service.
#[test]
fn repeats_are_judged_by_service_and_in_every_window() {
    let spread = |requests: u64, kind| {
        let calls = (0..requests).map(move |n| sent(n * 100, &format!("r{n}"), kind, "a1"));
        calls.collect::<Vec<_>>()
    };
    // 600 requests in a minute allow 170 repeats; 80 of them come within one second.
    let mut history = spread(600, CallKind::Idempotent);
    history.extend((0..80).map(|n| rejected(30_000 + n * 10, "r290")));
    assert_eq!(found(&history), [Guarantee::RetryBudget]);
    let mut within = spread(600, CallKind::Idempotent);
    within.extend((0..60).map(|n| rejected(30_000 + n * 10, "r290")));
    assert_eq!(found(&within), []);
    // Streams do not pay for plain calls.
    let mut other = spread(600, CallKind::Stream);
    other.push(sent(29_000, "plain", CallKind::Idempotent, ""));
    other.extend((0..60).map(|n| rejected(30_000 + n * 10, "plain")));
    assert_eq!(found(&other), [Guarantee::RetryBudget]);
}

fn rejected(ms: u64, id: &str) -> TimedEntry {
    let event = HistoryEvent::Rejected {
        id: id.into(),
        target: "i-1".into(),
    };
    at(ms, event)
}

fn keyed(id: &str, key: &str) -> TimedEntry {
    let (id, key) = (id.into(), key.into());
    at(0, HistoryEvent::KeySent { id, key })
}

#[test]
fn a_run_under_a_key_that_is_gone_counts_from_the_bound_on() {
    let history = |sent_ms| {
        vec![
            at(
                1_000,
                HistoryEvent::Revoked {
                    key: "mill-v1".into(),
                },
            ),
            // Taken away again by every later configuration: the first time counts.
            at(
                9_000,
                HistoryEvent::Revoked {
                    key: "mill-v1".into(),
                },
            ),
            keyed("r1", "mill-v1"),
            sent(sent_ms, "r1", CallKind::Once, ""),
            ran(sent_ms + 10, "r1", "i-1", ""),
        ]
    };
    assert!(found(&history(5_900)).is_empty());
    assert_eq!(found(&history(6_100)), [Guarantee::Revocation]);
}

#[test]
fn a_run_for_another_organisation_than_its_keys_is_found() {
    let ran_for = |organisation: &str| {
        let organisation = organisation.into();
        let id = "r1".into();
        vec![
            sent(0, "r1", CallKind::Once, ""),
            keyed("r1", "mill-key"),
            at(5, HistoryEvent::RanForOrganisation { id, organisation }),
        ]
    };
    assert!(found(&ran_for("mill")).is_empty());
    assert_eq!(found(&ran_for("port")), [Guarantee::CallerOrganisation]);
    assert_eq!(found(&ran_for("")), [Guarantee::CallerOrganisation]);
}

#[test]
fn an_organisation_over_its_quota_is_found_in_any_window() {
    let history = |count: u64| {
        let calls = (0..count).flat_map(|number| {
            let id = format!("r{number}");
            // The last moments of one second and the first of another.
            let ms = 3_900 + number * 5;
            [
                keyed(&id, "port-key"),
                sent(ms, &id, CallKind::Once, ""),
                ran(ms + 1, &id, "i-1", ""),
            ]
        });
        calls.collect::<Vec<_>>()
    };
    // 36 beside a tenth and 4.
    assert!(found(&history(43)).is_empty());
    assert_eq!(found(&history(44)), [Guarantee::Quota]);
}

#[test]
fn a_call_to_a_target_that_told_its_vm_that_it_leaves_is_found_unless_the_vm_was_struck_since() {
    let said = |ms| {
        let event = HistoryEvent::DrainingAnnounced {
            id: "r1".into(),
            target: "i-1".into(),
        };
        at(ms, event)
    };
    let first = [sent(0, "r1", CallKind::Idempotent, ""), said(10)];
    let late = [
        sent(2_100, "r2", CallKind::Idempotent, ""),
        ran(2_110, "r2", "i-1", ""),
    ];
    let history = [first.to_vec(), late.to_vec()].concat();
    assert_eq!(found(&history), [Guarantee::AnnouncedDraining]);
    let disturbed = [
        first.to_vec(),
        vec![at(50, HistoryEvent::LogDisturbed)],
        late.to_vec(),
    ]
    .concat();
    assert_eq!(found(&disturbed), [Guarantee::AnnouncedDraining]);
    let excused = [first.to_vec(), vec![struck(50, false)], late.to_vec()].concat();
    assert_eq!(found(&excused), []);
}

#[test]
fn more_than_two_requests_of_a_vm_in_the_rest_that_it_was_asked_for_are_found() {
    let rejected = |ms, id: &str| {
        let event = HistoryEvent::Rejected {
            id: id.into(),
            target: "i-1".into(),
        };
        at(ms, event)
    };
    let rest = HistoryEvent::RetryAfterSent {
        id: "r0".into(),
        target: "i-1".into(),
        retry_after: Duration::from_secs(3),
    };
    let mut history = vec![
        sent(0, "r0", CallKind::Idempotent, ""),
        rejected(1, "r0"),
        at(1, rest),
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
        assert_eq!(found(&history), expected, "{ms}");
    }
}

#[test]
fn a_configuration_that_is_late_at_a_vm_in_touch_is_found() {
    let configured = at(0, HistoryEvent::ConfigAccepted { version: 2 });
    let early = probed(1_900, 1, 2, false);
    let late = probed(2_100, 1, 2, false);
    assert_eq!(found(&[configured.clone(), early]), []);
    assert_eq!(
        found(&[configured.clone(), late.clone()]),
        [Guarantee::ConfigDeadline]
    );
    assert_eq!(found(&[configured, struck(100, false), late]), []);
}

#[test]
fn a_flood_of_calls_to_the_log_is_found() {
    let calls = |calls| {
        let within = Duration::from_secs(1);
        [
            probed(0, 1, 1, true),
            at(1_000, HistoryEvent::LogCalls { calls, within }),
        ]
    };
    assert_eq!(found(&calls(20)), []);
    assert_eq!(found(&calls(900)), [Guarantee::LogCallRate]);
    // A start makes some calls of its own.
    assert_eq!(found(&calls(40)), [Guarantee::LogCallRate]);
    let started = vec![at(200, HistoryEvent::VmStarted { vm: 0 })];
    assert_eq!(found(&[started.clone(), calls(40).to_vec()].concat()), []);
    assert_eq!(
        found(&[started, calls(60).to_vec()].concat()),
        [Guarantee::LogCallRate]
    );
}
