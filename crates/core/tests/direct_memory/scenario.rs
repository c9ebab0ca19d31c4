//! Generated scenarios: the engines, the events over time, and the fates of orders and reports.

use proptest::{
    collection::vec,
    option,
    prelude::{Just, Strategy, any, prop_oneof},
};
use std::ops::Range;

/// Longest delay with which an unanswered order is carried out, in ms, as specified for the engines.
const MAX_ORDER_DELAY_MS: u64 = 12_000;

/// Pause before each call of a calm scenario, in ms. It is longer than a call takes until the holder knows of its first
/// event.
const CALM_PAUSE_MS: u64 = 1_500;

/// Where the life of an engine is stated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LifeReporting {
    Nowhere,
    Reports,
    ReportsAndList,
}

/// When the holder learns that a version was named.
#[derive(Clone, Copy, Debug)]
pub enum VersionNotice {
    AfterMs(u64),
    Never,
}

/// Identity under which an engine restarts after a crash.
#[derive(Clone, Copy, Debug)]
pub enum RestartIdentity {
    /// The same target.
    SameTarget,
    /// A new target at the address of the old one.
    NewTarget,
    /// A new target at a new address.
    NewAddress,
}

/// A call with the durations of its steps.
#[derive(Clone, Copy, Debug)]
pub struct CallPlan {
    pub vm: u8,
    /// Subject number: 0 is the base model, the others are adapters.
    pub subject: u8,
    /// Index of the shared prompt prefix.
    pub prompt: u8,
    /// Engine that the call is not sent to.
    pub avoids: Option<u8>,
    /// Travel time from the gateway to the engine.
    pub travel_ms: u64,
    /// Time from arrival until segments have been fetched from another engine.
    pub fetch_ms: u64,
    /// Time from the fetch until the first event.
    pub read_ms: u64,
    /// Time from the first event until the end.
    pub run_ms: u64,
    /// Delay of messages from the gateway to the holder.
    pub report_ms: u64,
    /// Time from sending until the caller disconnects, if it does.
    pub disconnect_ms: Option<u64>,
    /// Whether the engine continues the call after the caller has disconnected.
    pub ignores_disconnect: bool,
}

/// Event of a scenario.
#[derive(Clone, Copy, Debug)]
pub enum ScenarioEvent {
    /// An operator names a version, `steps` after the newest.
    NameVersion {
        subject: u8,
        steps: u64,
        notice: VersionNotice,
    },
    Call(CallPlan),
    Crash {
        engine: u8,
        down_ms: u64,
        identity: RestartIdentity,
        /// Whether the engine restarts with the newest base model loaded.
        has_base: bool,
    },
    /// The holder reads the platform's list as it was some time ago.
    ReadList {
        age_ms: u64,
    },
    /// Another VM takes over the zone.
    Takeover {
        /// Time for which the new holder sends no orders.
        order_pause_ms: u64,
        /// Time after which gateways report their calls to the new holder.
        adoption_ms: u64,
        /// Age of the list that the new holder reads.
        age_ms: u64,
        /// Whether the new holder knows the versions that the previous one knew.
        knows_versions: bool,
    },
    /// The connection of a gateway to the holder breaks and is restored after some time.
    Disconnect {
        vm: u8,
        duration_ms: u64,
    },
}

/// Fate of an order.
#[derive(Clone, Copy, Debug)]
pub enum OrderFate {
    Answered {
        after_ms: u64,
    },
    /// The order is carried out at once, and its answer is lost.
    AnswerLost,
    /// The order is lost.
    Lost,
    /// The order is not answered, and is carried out later.
    Late {
        after_ms: u64,
    },
}

/// Fate of a request for a report.
#[derive(Clone, Copy, Debug)]
pub enum ReportFate {
    Read { age_ms: u64, after_ms: u64 },
    Lost,
}

/// A scenario.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub engines: u8,
    pub life_reporting: LifeReporting,
    pub checks_fencing: bool,
    /// Whether cache is fetched for any saving of time.
    pub fetches_freely: bool,
    /// Whether engines load a new version of an adapter while the old one is still loaded.
    pub loads_side_by_side: bool,
    /// Whether the engines hold adapters from the start.
    pub has_adapters: bool,
    /// Whether the first holder has had the zone for longer than an order can be late.
    pub is_holder_settled: bool,
    /// Events, each with its pause after the previous one, in ms.
    pub events: Vec<(u64, ScenarioEvent)>,
    /// Fates of successive orders; used in turn, starting over at the end.
    pub order_fates: Vec<OrderFate>,
    pub report_fates: Vec<ReportFate>,
}

fn call(subjects: Range<u8>) -> impl Strategy<Value = CallPlan> {
    let travel_ms = prop_oneof![4 => 0..40_u64, 1 => 0..400_u64];
    let fetch_ms = prop_oneof![4 => 5..60_u64, 1 => 5..300_u64];
    let run_ms = prop_oneof![3 => 5..400_u64, 1 => 5..4_000_u64];
    let report_ms = prop_oneof![4 => 0..10_u64, 1 => 0..200_u64];
    let disconnect_ms = option::weighted(0.05, 0..600_u64);
    let durations = (travel_ms, fetch_ms, 10..350_u64, run_ms, report_ms);
    let avoids = option::weighted(0.6, 0..4_u8);
    let addressing = (0..2_u8, subjects, 0..2_u8, avoids);
    (addressing, durations, disconnect_ms, any::<bool>()).prop_map(
        |(addressing, durations, disconnect_ms, ignores_disconnect)| CallPlan {
            vm: addressing.0,
            subject: addressing.1,
            prompt: addressing.2,
            avoids: addressing.3,
            travel_ms: durations.0,
            fetch_ms: durations.1,
            read_ms: durations.2,
            run_ms: durations.3,
            report_ms: durations.4,
            disconnect_ms,
            ignores_disconnect,
        },
    )
}

fn name(subjects: Range<u8>) -> impl Strategy<Value = ScenarioEvent> {
    let notice = prop_oneof![
        3 => Just(VersionNotice::AfterMs(0)),
        2 => (1..3_000_u64).prop_map(VersionNotice::AfterMs),
        1 => Just(VersionNotice::Never),
    ];
    (subjects, 1..7_u64, notice).prop_map(|(subject, steps, notice)| ScenarioEvent::NameVersion {
        subject,
        steps,
        notice,
    })
}

fn crash() -> impl Strategy<Value = ScenarioEvent> {
    let identity = prop_oneof![
        Just(RestartIdentity::SameTarget),
        Just(RestartIdentity::NewTarget),
        Just(RestartIdentity::NewAddress)
    ];
    let fields = (0..4_u8, 300..5_000_u64, identity, any::<bool>());
    fields.prop_map(
        |(engine, down_ms, identity, has_base)| ScenarioEvent::Crash {
            engine,
            down_ms,
            identity,
            has_base,
        },
    )
}

fn take_over() -> impl Strategy<Value = ScenarioEvent> {
    let order_pause_ms = prop_oneof![Just(0), Just(1_000)];
    let fields = (order_pause_ms, 0..900_u64, 0..2_000_u64, any::<bool>());
    fields.prop_map(|(order_pause_ms, adoption_ms, age_ms, knows_versions)| {
        ScenarioEvent::Takeover {
            order_pause_ms,
            adoption_ms,
            age_ms,
            knows_versions,
        }
    })
}

/// Any event, with calls for any adapter.
fn event() -> impl Strategy<Value = ScenarioEvent> {
    prop_oneof![
        24 => call(0..4).prop_map(ScenarioEvent::Call),
        4 => name(0..4),
        2 => crash(),
        6 => list(),
        1 => take_over(),
        1 => disconnect(),
    ]
}

/// Events with frequent engine restarts and version changes, and calls for the base model and one adapter.
fn restart_event() -> impl Strategy<Value = ScenarioEvent> {
    prop_oneof![
        24 => call(0..2).prop_map(ScenarioEvent::Call),
        3 => name(0..2),
        4 => crash(),
        4 => list(),
        1 => take_over(),
        1 => disconnect(),
    ]
}

fn disconnect() -> impl Strategy<Value = ScenarioEvent> {
    (0..2_u8, 0..2_000_u64)
        .prop_map(|(vm, duration_ms)| ScenarioEvent::Disconnect { vm, duration_ms })
}

fn list() -> impl Strategy<Value = ScenarioEvent> {
    (0..3_000_u64).prop_map(|age_ms| ScenarioEvent::ReadList { age_ms })
}

fn order_fate() -> impl Strategy<Value = OrderFate> {
    prop_oneof![
        12 => (1..60_u64).prop_map(|after_ms| OrderFate::Answered { after_ms }),
        1 => Just(OrderFate::AnswerLost),
        1 => Just(OrderFate::Lost),
        2 => (250..MAX_ORDER_DELAY_MS).prop_map(|after_ms| OrderFate::Late { after_ms }),
    ]
}

fn report_fate() -> impl Strategy<Value = ReportFate> {
    let read = (0..400_u64, 1..60_u64);
    prop_oneof![
        8 => read.prop_map(|(age_ms, after_ms)| ReportFate::Read { age_ms, after_ms }),
        1 => Just(ReportFate::Lost),
    ]
}

fn scenarios_of(events: impl Strategy<Value = ScenarioEvent>) -> impl Strategy<Value = Scenario> {
    let life_reporting = prop_oneof![
        Just(LifeReporting::Nowhere),
        Just(LifeReporting::Reports),
        Just(LifeReporting::ReportsAndList)
    ];
    let pause_ms = prop_oneof![6 => 0..60_u64, 6 => 0..600_u64, 1 => 0..14_000_u64];
    let kind = (2..5_u8, life_reporting, any::<[bool; 4]>());
    let fates = (vec(order_fate(), 1..12), vec(report_fate(), 1..12));
    let events = vec((pause_ms, events), 1..60);
    (kind, events, fates).prop_map(|(kind, events, fates)| Scenario {
        engines: kind.0,
        life_reporting: kind.1,
        checks_fencing: kind.2[0],
        fetches_freely: false,
        loads_side_by_side: kind.2[1],
        has_adapters: kind.2[2],
        is_holder_settled: kind.2[3],
        events,
        order_fates: fates.0,
        report_fates: fates.1,
    })
}

/// Scenarios with every specified fault.
pub fn any_scenario() -> impl Strategy<Value = Scenario> {
    scenarios_of(event())
}

/// Scenarios with frequent engine restarts and version changes.
pub fn restart_scenario() -> impl Strategy<Value = Scenario> {
    scenarios_of(restart_event())
}

/// Scenarios of two engines with calls only, under a settled holder. The first two calls share their prompt prefix and
/// go to one engine each; the prompt of the first takes `read_ms` to read.
pub fn calm_scenario(read_ms: Range<u64>, fetches_freely: bool) -> impl Strategy<Value = Scenario> {
    let pair = (0..2_u8, 0..2_u8, call(0..1), call(0..1), read_ms);
    let others = vec(call(0..2), 0..20);
    (pair, others).prop_map(move |((subject, prompt, first, second, read_ms), others)| {
        let first = CallPlan { read_ms, ..first };
        let alike = [(first, 1), (second, 0)].map(|(call, avoided)| CallPlan {
            subject,
            prompt,
            avoids: Some(avoided),
            disconnect_ms: None,
            ..call
        });
        let calls = alike.into_iter().chain(others);
        Scenario {
            engines: 2,
            life_reporting: LifeReporting::ReportsAndList,
            checks_fencing: true,
            fetches_freely,
            loads_side_by_side: false,
            has_adapters: true,
            is_holder_settled: true,
            events: calls
                .map(|call| (CALM_PAUSE_MS, ScenarioEvent::Call(call)))
                .collect(),
            order_fates: vec![OrderFate::Answered { after_ms: 5 }],
            report_fates: vec![ReportFate::Read {
                age_ms: 100,
                after_ms: 5,
            }],
        }
    })
}
