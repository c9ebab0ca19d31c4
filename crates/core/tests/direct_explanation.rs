//! Where a request would go, by the state of one VM.

use hoplanding_core::{
    direct::{
        call_explanation::{
            CallExplanation, ExplainedRequest, TargetObstacle, TargetOutlook, ZoneOutlook,
            explain_call,
        },
        config::{EngineLimits, ResponseShape, RetryPolicy, RouteRule, ServiceRule},
        policy::PlacementPolicy,
    },
    ids::{AdapterName, AvailabilityZone, ServiceName, TargetName, VmName},
};
use std::time::Duration;

fn zone(name: &str, holder: Option<&str>, obstacle: Option<TargetObstacle>) -> ZoneOutlook {
    ZoneOutlook {
        zone: AvailabilityZone::new(name),
        holder: holder.map(VmName::new),
        is_reachable: true,
        targets: vec![TargetOutlook {
            name: TargetName::new(&format!("{name}-1")),
            has_subject: true,
            in_flight: 0,
            obstacle,
        }],
    }
}

fn explain(zones: &[ZoneOutlook], has_engines: bool) -> CallExplanation {
    let route = RouteRule {
        name: "plan".into(),
        host: "a.example".into(),
        path_prefix: "/plan/".into(),
        retry_policy: RetryPolicy::Idempotent,
        response_shape: ResponseShape::Buffered,
        timeout: Duration::from_secs(5),
        objective: Duration::from_secs(1),
        priority: 1,
        services: vec![(ServiceName::new("scribe"), 1)],
        max_attempts: 2,
        allows_anonymous: true,
    };
    let engine = EngineLimits {
        slots: 8,
        kv_tokens: 1_000,
        adapter_slots: 4,
        adapters: 0,
        loads_per_s: 3.0,
        models: vec![AdapterName::new("base")],
    };
    let service = ServiceRule {
        name: ServiceName::new("scribe"),
        max_connections: 10,
        health_path: None,
        engine: has_engines.then_some(engine),
    };
    let request = ExplainedRequest {
        route: &route,
        service: &service,
        subject: &AdapterName::new("base/a1"),
        tokens: 400,
        own_zone: &AvailabilityZone::new("hall"),
        is_popular: false,
    };
    explain_call(&request, zones, PlacementPolicy::default())
}

fn zones_of(explanation: &CallExplanation) -> Vec<&str> {
    let steps = explanation.steps.iter();
    steps.map(|step| step.zone.as_str()).collect()
}

/// Guards against steps that a gateway would not take: comparing costs with a silent home zone, or asking a zone that
/// can't be reached.
#[test]
fn steps_follow_the_search_of_a_gateway() {
    let heard = [
        zone("hall", Some("vm-1"), None),
        zone("attic", Some("vm-2"), None),
    ];
    let explained = explain(&heard, true);
    assert_eq!(zones_of(&explained), ["hall", "attic", "hall", "attic"]);
    assert!(explained.steps[0].terms.contains("within 750 ms"));
    let last = &explained.steps[3].terms;
    assert!(
        last.contains("within 1500 ms, only where the adapter is loaded"),
        "{last}"
    );

    let silent_home = [zone("hall", None, None), heard[1].clone()];
    let explained = explain(&silent_home, true);
    assert_eq!(zones_of(&explained), ["hall", "hall", "attic"]);
    assert!(explained.steps[2].terms.contains("may load the adapter"));

    let mut closed = heard.clone();
    closed[0].is_reachable = false;
    assert_eq!(zones_of(&explain(&closed, true)), ["attic", "attic"]);
    assert_eq!(zones_of(&explain(&heard, false)), ["hall", "attic"]);
}

/// Guards against steps for a call that would be refused without a question.
#[test]
fn a_call_without_a_target_has_a_refusal_and_no_steps() {
    let backing_off = [zone(
        "hall",
        Some("vm-1"),
        Some(TargetObstacle::BackingOff(40)),
    )];
    let draining = [zone("hall", Some("vm-1"), Some(TargetObstacle::Draining))];
    for (zones, cause) in [(backing_off, "backoff"), (draining, "listed as ready")] {
        let explained = explain(&zones, true);
        assert!(
            explained
                .refusal
                .is_some_and(|refusal| refusal.contains(cause))
        );
        assert!(explained.steps.is_empty());
    }
}
