//! Minimized scenarios that once broke a rule, each by another kind of outdated knowledge in the planner.

use crate::scenario::{
    CallPlan, LifeReporting, OrderFate, ReportFate, RestartIdentity, Scenario, ScenarioEvent,
    VersionNotice,
};

/// Indices of the engines.
const FIRST: u8 = 0;
const SECOND: u8 = 1;
/// Subjects: the base model and its adapter.
const BASE: u8 = 0;
const ADAPTER: u8 = 1;
/// Time after which a call has certainly been read and reported, in ms.
const LONG_MS: u64 = 1_000;
/// Time until a crashed engine has restarted, and a pause that is longer, in ms.
const DOWN_MS: u64 = 300;
const RESTART_MS: u64 = 400;

/// Creates a call without delays to the engine that is not `avoids`.
fn call(subject: u8, avoids: u8) -> CallPlan {
    CallPlan {
        vm: 0,
        subject,
        prompt: 0,
        avoids: Some(avoids),
        travel_ms: 0,
        fetch_ms: 5,
        read_ms: 10,
        run_ms: 5,
        report_ms: 0,
        disconnect_ms: None,
        ignores_disconnect: false,
    }
}

fn name(subject: u8) -> ScenarioEvent {
    ScenarioEvent::NameVersion {
        subject,
        steps: 1,
        notice: VersionNotice::AfterMs(0),
    }
}

/// The engine restarts under its name, with the newest weights.
fn crash(engine: u8) -> ScenarioEvent {
    ScenarioEvent::Crash {
        engine,
        down_ms: DOWN_MS,
        identity: RestartIdentity::SameTarget,
        has_base: true,
    }
}

/// Creates a scenario of two engines that state their lives everywhere, under a settled holder.
fn scenario(events: &[(u64, ScenarioEvent)]) -> Scenario {
    Scenario {
        engines: 2,
        life_reporting: LifeReporting::ReportsAndList,
        checks_fencing: true,
        fetches_freely: false,
        loads_side_by_side: false,
        has_adapters: false,
        is_holder_settled: true,
        events: events.to_vec(),
        order_fates: vec![OrderFate::Answered { after_ms: 1 }],
        report_fates: vec![ReportFate::Read {
            age_ms: 0,
            after_ms: 1,
        }],
    }
}

/// The target of a call has restarted with new weights, and accepted the load for the call before the holder learned of
/// the restart.
pub fn restarted_target() -> Scenario {
    scenario(&[
        (0, name(ADAPTER)),
        (LONG_MS, ScenarioEvent::Call(call(ADAPTER, SECOND))),
        (LONG_MS, name(BASE)),
        (0, crash(SECOND)),
        (RESTART_MS, ScenarioEvent::Call(call(ADAPTER, FIRST))),
    ])
}

/// The source has restarted with new weights, and has made its cache again before the first event of a call showed
/// that.
pub fn restarted_source() -> Scenario {
    let told_late = CallPlan {
        report_ms: 200,
        ..call(BASE, SECOND)
    };
    scenario(&[
        (0, ScenarioEvent::Call(call(BASE, SECOND))),
        (LONG_MS, name(BASE)),
        (0, crash(FIRST)),
        (RESTART_MS, ScenarioEvent::Call(told_late)),
        (50, ScenarioEvent::Call(call(BASE, FIRST))),
    ])
}

/// The target of a call has restarted with new weights, and holds the adapter by an order to its earlier life that was
/// carried out late.
pub fn target_with_late_load() -> Scenario {
    let events = [
        (0, name(ADAPTER)),
        (LONG_MS, ScenarioEvent::Call(call(ADAPTER, SECOND))),
        (LONG_MS, name(BASE)),
        (0, crash(SECOND)),
        (5 * LONG_MS, ScenarioEvent::Call(call(ADAPTER, FIRST))),
    ];
    let answered = OrderFate::Answered { after_ms: 1 };
    let late = OrderFate::Late { after_ms: 4_000 };
    Scenario {
        has_adapters: true,
        order_fates: vec![answered, late, answered],
        ..scenario(&events)
    }
}

/// The source has restarted with new weights and made its cache again while a call was on its way to fetch the cache.
pub fn source_restarted_during_loan() -> Scenario {
    let slow = CallPlan {
        travel_ms: 200,
        ..call(BASE, FIRST)
    };
    scenario(&[
        (0, ScenarioEvent::Call(call(BASE, SECOND))),
        (LONG_MS, name(BASE)),
        (0, crash(FIRST)),
        (DOWN_MS, ScenarioEvent::Call(slow)),
        (5, ScenarioEvent::Call(call(BASE, SECOND))),
    ])
}

/// The source has restarted with new weights, and has made its cache again for a call unknown to the holder.
pub fn restarted_source_with_untracked_call() -> Scenario {
    scenario(&[
        (0, ScenarioEvent::Call(call(BASE, SECOND))),
        (LONG_MS, name(BASE)),
        (0, crash(FIRST)),
        (RESTART_MS, disconnect_for_long()),
        (0, ScenarioEvent::Call(call_of_disconnected_gateway(BASE))),
        (50, ScenarioEvent::Call(call(BASE, FIRST))),
    ])
}

/// The source has carried out a late order of an earlier holder, and has made its cache again for a call unknown to the
/// holder.
pub fn source_with_late_order_and_untracked_call() -> Scenario {
    let take_over = ScenarioEvent::Takeover {
        order_pause_ms: LONG_MS,
        adoption_ms: 0,
        age_ms: 0,
        knows_versions: false,
    };
    let events = [
        (0, name(ADAPTER)),
        (100, take_over),
        (100, ScenarioEvent::Call(call(ADAPTER, SECOND))),
        (3 * LONG_MS, disconnect_for_long()),
        (
            0,
            ScenarioEvent::Call(call_of_disconnected_gateway(ADAPTER)),
        ),
        (50, ScenarioEvent::Call(call(ADAPTER, FIRST))),
    ];
    let late = OrderFate::Late { after_ms: 2_000 };
    Scenario {
        has_adapters: true,
        order_fates: vec![late, OrderFate::Lost],
        ..scenario(&events)
    }
}

/// The machine of the source has restarted as another target with new weights at the same address, and the old target
/// is still listed.
pub fn source_with_reused_address() -> Scenario {
    let long_run = CallPlan {
        run_ms: 4 * LONG_MS,
        ..call(BASE, SECOND)
    };
    let replaced = ScenarioEvent::Crash {
        engine: FIRST,
        down_ms: DOWN_MS,
        identity: RestartIdentity::NewTarget,
        has_base: true,
    };
    scenario(&[
        (0, ScenarioEvent::Call(call(BASE, SECOND))),
        (LONG_MS, name(BASE)),
        // The failures of these calls make the other engine the better choice for the last call.
        (0, ScenarioEvent::Call(long_run)),
        (0, ScenarioEvent::Call(long_run)),
        (100, replaced),
        (RESTART_MS, ScenarioEvent::ReadList { age_ms: 0 }),
        (0, ScenarioEvent::Call(call(BASE, SECOND))),
        (LONG_MS, ScenarioEvent::Call(call(BASE, FIRST))),
    ])
}

/// Gateway that is disconnected from the holder.
const DISCONNECTED: u8 = 1;

fn disconnect_for_long() -> ScenarioEvent {
    ScenarioEvent::Disconnect {
        vm: DISCONNECTED,
        duration_ms: LONG_MS,
    }
}

fn call_of_disconnected_gateway(subject: u8) -> CallPlan {
    CallPlan {
        vm: DISCONNECTED,
        ..call(subject, SECOND)
    }
}
