//! What is drawn of a world: its engines, what happens when, and what becomes of orders and reports.

use proptest::{
    collection::vec,
    option,
    prelude::{Just, Strategy, any, prop_oneof},
};
use std::ops::Range;

/// Longest time after which an order without an answer is carried out, in ms; from the users' pages.
const LATE_ORDER_MS: u64 = 12_000;

/// Pause before each call of a calm world, in ms: longer than a call takes until its holder knows of its first event.
const CALM_PAUSE_MS: u64 = 1_500;

/// Who tells in which life an engine is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LifeTelling {
    Nobody,
    Reports,
    All,
}

/// When the holder hears that a version was named.
#[derive(Clone, Copy, Debug)]
pub enum Hearing {
    AfterMs(u64),
    Never,
}

/// What an engine comes back as after a crash.
#[derive(Clone, Copy, Debug)]
pub enum Return {
    /// Under its name.
    Itself,
    /// As a new target at the address of the old one.
    NewTarget,
    /// As a new target at an address of its own.
    Elsewhere,
}

/// A call, and the times that it takes on its way.
#[derive(Clone, Copy, Debug)]
pub struct DrawnCall {
    pub vm: u8,
    /// 0 is the base model, the others are adapters.
    pub subject: u8,
    /// The first parts that its prompt shares with others.
    pub prompt: u8,
    /// An engine that it does not go to.
    pub avoids: Option<u8>,
    /// From the gateway to the engine.
    pub travel_ms: u64,
    /// From there until parts have been taken from another engine.
    pub move_ms: u64,
    /// From there until its first event.
    pub read_ms: u64,
    /// From there until its end.
    pub run_ms: u64,
    /// From the gateway to the holder.
    pub tell_ms: u64,
    /// From its sending until its caller leaves.
    pub quits_ms: Option<u64>,
    /// Whether its engine goes on when its caller leaves.
    pub runs_on: bool,
}

/// Something that happens to a world.
#[derive(Clone, Copy, Debug)]
pub enum DrawnEvent {
    /// An operator names a version, so many after the newest.
    Name {
        subject: u8,
        steps: u64,
        hearing: Hearing,
    },
    Call(DrawnCall),
    Crash {
        engine: u8,
        down_ms: u64,
        back: Return,
        /// Whether it comes with the newest base model.
        has_base: bool,
    },
    /// The holder reads the list as it was some time ago.
    List {
        age_ms: u64,
    },
    /// Another VM holds the zone from now on.
    TakeOver {
        /// Time for which it gives no orders.
        quiet_ms: u64,
        /// Time after which gateways tell it of their calls.
        adopted_ms: u64,
        /// Age of its list.
        age_ms: u64,
        /// Whether it has heard of the versions that the holder before it had.
        knows_names: bool,
    },
    /// A gateway's link to the holder is cut, and is back after some time.
    Cut {
        vm: u8,
        for_ms: u64,
    },
}

/// What becomes of an order.
#[derive(Clone, Copy, Debug)]
pub enum OrderFate {
    Answered {
        after_ms: u64,
    },
    /// It is carried out at once, and its answer is lost.
    Unheard,
    /// It is lost.
    Lost,
    /// It gets no answer, and is carried out later.
    Late {
        after_ms: u64,
    },
}

/// What becomes of a question for a report.
#[derive(Clone, Copy, Debug)]
pub enum ReportFate {
    Read { age_ms: u64, after_ms: u64 },
    Lost,
}

/// A world.
#[derive(Clone, Debug)]
pub struct DrawnWorld {
    pub engines: u8,
    pub telling: LifeTelling,
    pub checks_fences: bool,
    /// Whether memory moves for any gain of time.
    pub moves_freely: bool,
    /// Whether engines load a new version of an adapter beside the old one.
    pub loads_beside: bool,
    /// Whether the engines have adapters from the start.
    pub has_adapters: bool,
    /// Whether the first holder has been there for long.
    pub is_settled: bool,
    /// Each with its pause after the one before, in ms.
    pub events: Vec<(u64, DrawnEvent)>,
    /// In turn, and from the start again.
    pub order_fates: Vec<OrderFate>,
    pub report_fates: Vec<ReportFate>,
}

fn call(subjects: Range<u8>) -> impl Strategy<Value = DrawnCall> {
    let travel_ms = prop_oneof![4 => 0..40_u64, 1 => 0..400_u64];
    let move_ms = prop_oneof![4 => 5..60_u64, 1 => 5..300_u64];
    let run_ms = prop_oneof![3 => 5..400_u64, 1 => 5..4_000_u64];
    let tell_ms = prop_oneof![4 => 0..10_u64, 1 => 0..200_u64];
    let quits_ms = option::weighted(0.05, 0..600_u64);
    let way = (travel_ms, move_ms, 10..350_u64, run_ms, tell_ms);
    let avoids = option::weighted(0.6, 0..4_u8);
    let whom = (0..2_u8, subjects, 0..2_u8, avoids);
    (whom, way, quits_ms, any::<bool>()).prop_map(|(whom, way, quits_ms, runs_on)| DrawnCall {
        vm: whom.0,
        subject: whom.1,
        prompt: whom.2,
        avoids: whom.3,
        travel_ms: way.0,
        move_ms: way.1,
        read_ms: way.2,
        run_ms: way.3,
        tell_ms: way.4,
        quits_ms,
        runs_on,
    })
}

fn name(subjects: Range<u8>) -> impl Strategy<Value = DrawnEvent> {
    let hearing = prop_oneof![
        3 => Just(Hearing::AfterMs(0)),
        2 => (1..3_000_u64).prop_map(Hearing::AfterMs),
        1 => Just(Hearing::Never),
    ];
    (subjects, 1..7_u64, hearing).prop_map(|(subject, steps, hearing)| DrawnEvent::Name {
        subject,
        steps,
        hearing,
    })
}

fn crash() -> impl Strategy<Value = DrawnEvent> {
    let back = prop_oneof![
        Just(Return::Itself),
        Just(Return::NewTarget),
        Just(Return::Elsewhere)
    ];
    let drawn = (0..4_u8, 300..5_000_u64, back, any::<bool>());
    drawn.prop_map(|(engine, down_ms, back, has_base)| DrawnEvent::Crash {
        engine,
        down_ms,
        back,
        has_base,
    })
}

fn take_over() -> impl Strategy<Value = DrawnEvent> {
    let quiet_ms = prop_oneof![Just(0), Just(1_000)];
    let drawn = (quiet_ms, 0..900_u64, 0..2_000_u64, any::<bool>());
    drawn.prop_map(
        |(quiet_ms, adopted_ms, age_ms, knows_names)| DrawnEvent::TakeOver {
            quiet_ms,
            adopted_ms,
            age_ms,
            knows_names,
        },
    )
}

/// Everything that can happen, in worlds with calls for any adapter.
fn event() -> impl Strategy<Value = DrawnEvent> {
    prop_oneof![
        24 => call(0..4).prop_map(DrawnEvent::Call),
        4 => name(0..4),
        2 => crash(),
        6 => list(),
        1 => take_over(),
        1 => cut(),
    ]
}

/// Engines that start again and again while versions are named, in worlds with calls for a base model and one adapter.
fn restart_event() -> impl Strategy<Value = DrawnEvent> {
    prop_oneof![
        24 => call(0..2).prop_map(DrawnEvent::Call),
        3 => name(0..2),
        4 => crash(),
        4 => list(),
        1 => take_over(),
        1 => cut(),
    ]
}

fn cut() -> impl Strategy<Value = DrawnEvent> {
    (0..2_u8, 0..2_000_u64).prop_map(|(vm, for_ms)| DrawnEvent::Cut { vm, for_ms })
}

fn list() -> impl Strategy<Value = DrawnEvent> {
    (0..3_000_u64).prop_map(|age_ms| DrawnEvent::List { age_ms })
}

fn order_fate() -> impl Strategy<Value = OrderFate> {
    prop_oneof![
        12 => (1..60_u64).prop_map(|after_ms| OrderFate::Answered { after_ms }),
        1 => Just(OrderFate::Unheard),
        1 => Just(OrderFate::Lost),
        2 => (250..LATE_ORDER_MS).prop_map(|after_ms| OrderFate::Late { after_ms }),
    ]
}

fn report_fate() -> impl Strategy<Value = ReportFate> {
    let read = (0..400_u64, 1..60_u64);
    prop_oneof![
        8 => read.prop_map(|(age_ms, after_ms)| ReportFate::Read { age_ms, after_ms }),
        1 => Just(ReportFate::Lost),
    ]
}

fn worlds_of(events: impl Strategy<Value = DrawnEvent>) -> impl Strategy<Value = DrawnWorld> {
    let telling = prop_oneof![
        Just(LifeTelling::Nobody),
        Just(LifeTelling::Reports),
        Just(LifeTelling::All)
    ];
    let pause_ms = prop_oneof![6 => 0..60_u64, 6 => 0..600_u64, 1 => 0..14_000_u64];
    let kind = (2..5_u8, telling, any::<[bool; 4]>());
    let fates = (vec(order_fate(), 1..12), vec(report_fate(), 1..12));
    let events = vec((pause_ms, events), 1..60);
    (kind, events, fates).prop_map(|(kind, events, fates)| DrawnWorld {
        engines: kind.0,
        telling: kind.1,
        checks_fences: kind.2[0],
        moves_freely: false,
        loads_beside: kind.2[1],
        has_adapters: kind.2[2],
        is_settled: kind.2[3],
        events,
        order_fates: fates.0,
        report_fates: fates.1,
    })
}

/// Worlds with every trouble that the users tell of.
pub fn world() -> impl Strategy<Value = DrawnWorld> {
    worlds_of(event())
}

/// Worlds in which engines start again often, and versions are named.
pub fn restart_world() -> impl Strategy<Value = DrawnWorld> {
    worlds_of(restart_event())
}

/// Worlds of two engines in which nothing happens but calls, long after the holder began. The first two calls share their
/// prompt's parts, and go to one engine each; the first one's takes so long to read.
pub fn calm_world(read_ms: Range<u64>, moves_freely: bool) -> impl Strategy<Value = DrawnWorld> {
    let pair = (0..2_u8, 0..2_u8, call(0..1), call(0..1), read_ms);
    let others = vec(call(0..2), 0..20);
    (pair, others).prop_map(move |((subject, prompt, first, second, read_ms), others)| {
        let first = DrawnCall { read_ms, ..first };
        let alike = [(first, 1), (second, 0)].map(|(call, avoided)| DrawnCall {
            subject,
            prompt,
            avoids: Some(avoided),
            quits_ms: None,
            ..call
        });
        let calls = alike.into_iter().chain(others);
        DrawnWorld {
            engines: 2,
            telling: LifeTelling::All,
            checks_fences: true,
            moves_freely,
            loads_beside: false,
            has_adapters: true,
            is_settled: true,
            events: calls
                .map(|call| (CALM_PAUSE_MS, DrawnEvent::Call(call)))
                .collect(),
            order_fates: vec![OrderFate::Answered { after_ms: 5 }],
            report_fates: vec![ReportFate::Read {
                age_ms: 100,
                after_ms: 5,
            }],
        }
    })
}
