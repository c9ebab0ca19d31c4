//! Worlds that broke a rule, made as small as they get, each by one way in which a belief outlives what it was about.

use crate::drawn::{
    DrawnCall, DrawnEvent, DrawnWorld, Hearing, LifeTelling, OrderFate, ReportFate, Return,
};

/// The first engine, and the second.
const FIRST: u8 = 0;
const SECOND: u8 = 1;
/// The base model, and its adapter.
const BASE: u8 = 0;
const ADAPTER: u8 = 1;
/// Time in which a call has long been read and told of, in ms.
const LONG_MS: u64 = 1_000;
/// Time for which an engine is away, and a pause after which it is back, in ms.
const DOWN_MS: u64 = 300;
const BACK_MS: u64 = 400;

/// A call that nothing delays, to the engine that it does not avoid.
fn call(subject: u8, avoids: u8) -> DrawnCall {
    DrawnCall {
        vm: 0,
        subject,
        prompt: 0,
        avoids: Some(avoids),
        travel_ms: 0,
        move_ms: 5,
        read_ms: 10,
        run_ms: 5,
        tell_ms: 0,
        quits_ms: None,
        runs_on: false,
    }
}

fn name(subject: u8) -> DrawnEvent {
    DrawnEvent::Name {
        subject,
        steps: 1,
        hearing: Hearing::AfterMs(0),
    }
}

/// An engine starts again under its name, with the newest weights.
fn crash(engine: u8) -> DrawnEvent {
    DrawnEvent::Crash {
        engine,
        down_ms: DOWN_MS,
        back: Return::Itself,
        has_base: true,
    }
}

/// Two engines that tell their lives to whoever asks, and a holder that has been there for long.
fn world(events: &[(u64, DrawnEvent)]) -> DrawnWorld {
    DrawnWorld {
        engines: 2,
        telling: LifeTelling::All,
        checks_fences: true,
        moves_freely: false,
        loads_beside: false,
        has_adapters: false,
        is_settled: true,
        events: events.to_vec(),
        order_fates: vec![OrderFate::Answered { after_ms: 1 }],
        report_fates: vec![ReportFate::Read {
            age_ms: 0,
            after_ms: 1,
        }],
    }
}

/// The engine that a call goes to has started again with new weights, and took the load for it before anybody told so.
pub fn target_that_started_again() -> DrawnWorld {
    world(&[
        (0, name(ADAPTER)),
        (LONG_MS, DrawnEvent::Call(call(ADAPTER, SECOND))),
        (LONG_MS, name(BASE)),
        (0, crash(SECOND)),
        (BACK_MS, DrawnEvent::Call(call(ADAPTER, FIRST))),
    ])
}

/// The engine that has the memory has started again with new weights, and has made it anew before its first event told so.
pub fn source_that_started_again() -> DrawnWorld {
    let told_late = DrawnCall {
        tell_ms: 200,
        ..call(BASE, SECOND)
    };
    world(&[
        (0, DrawnEvent::Call(call(BASE, SECOND))),
        (LONG_MS, name(BASE)),
        (0, crash(FIRST)),
        (BACK_MS, DrawnEvent::Call(told_late)),
        (50, DrawnEvent::Call(call(BASE, FIRST))),
    ])
}

/// The engine that a call goes to has started again with new weights, and has the adapter by an order to its life before that was
/// carried out late.
pub fn target_with_a_late_load() -> DrawnWorld {
    let events = [
        (0, name(ADAPTER)),
        (LONG_MS, DrawnEvent::Call(call(ADAPTER, SECOND))),
        (LONG_MS, name(BASE)),
        (0, crash(SECOND)),
        (5 * LONG_MS, DrawnEvent::Call(call(ADAPTER, FIRST))),
    ];
    let answered = OrderFate::Answered { after_ms: 1 };
    let late = OrderFate::Late { after_ms: 4_000 };
    DrawnWorld {
        has_adapters: true,
        order_fates: vec![answered, late, answered],
        ..world(&events)
    }
}

/// The engine that has the memory has started again with new weights and made it anew while a call elsewhere was on its way to take
/// it.
pub fn source_that_started_again_under_a_loan() -> DrawnWorld {
    let slow = DrawnCall {
        travel_ms: 200,
        ..call(BASE, FIRST)
    };
    world(&[
        (0, DrawnEvent::Call(call(BASE, SECOND))),
        (LONG_MS, name(BASE)),
        (0, crash(FIRST)),
        (DOWN_MS, DrawnEvent::Call(slow)),
        (5, DrawnEvent::Call(call(BASE, SECOND))),
    ])
}

/// The engine that has the memory has started again with new weights, and has made it anew for a call that the holder does not
/// know of.
pub fn source_that_started_again_for_a_call_without_the_holder() -> DrawnWorld {
    world(&[
        (0, DrawnEvent::Call(call(BASE, SECOND))),
        (LONG_MS, name(BASE)),
        (0, crash(FIRST)),
        (BACK_MS, cut_off_for_long()),
        (0, DrawnEvent::Call(call_of_the_cut(BASE))),
        (50, DrawnEvent::Call(call(BASE, FIRST))),
    ])
}

/// An order of an earlier holder was carried out late at the engine that has the memory, and it has made that anew for a call that
/// the holder does not know of.
pub fn source_with_a_late_order_for_a_call_without_the_holder() -> DrawnWorld {
    let take_over = DrawnEvent::TakeOver {
        quiet_ms: LONG_MS,
        adopted_ms: 0,
        age_ms: 0,
        knows_names: false,
    };
    let events = [
        (0, name(ADAPTER)),
        (100, take_over),
        (100, DrawnEvent::Call(call(ADAPTER, SECOND))),
        (3 * LONG_MS, cut_off_for_long()),
        (0, DrawnEvent::Call(call_of_the_cut(ADAPTER))),
        (50, DrawnEvent::Call(call(ADAPTER, FIRST))),
    ];
    let late = OrderFate::Late { after_ms: 2_000 };
    DrawnWorld {
        has_adapters: true,
        order_fates: vec![late, OrderFate::Lost],
        ..world(&events)
    }
}

/// The machine of the engine that has the memory is back as another target with new weights at the same address, and the old
/// one is still listed.
pub fn source_whose_address_has_another_target() -> DrawnWorld {
    let long_run = DrawnCall {
        run_ms: 4 * LONG_MS,
        ..call(BASE, SECOND)
    };
    let replaced = DrawnEvent::Crash {
        engine: FIRST,
        down_ms: DOWN_MS,
        back: Return::NewTarget,
        has_base: true,
    };
    world(&[
        (0, DrawnEvent::Call(call(BASE, SECOND))),
        (LONG_MS, name(BASE)),
        // What fails with it makes its neighbour the better choice for the last call.
        (0, DrawnEvent::Call(long_run)),
        (0, DrawnEvent::Call(long_run)),
        (100, replaced),
        (BACK_MS, DrawnEvent::List { age_ms: 0 }),
        (0, DrawnEvent::Call(call(BASE, SECOND))),
        (LONG_MS, DrawnEvent::Call(call(BASE, FIRST))),
    ])
}

/// A gateway that is cut off from the holder.
const CUT: u8 = 1;

fn cut_off_for_long() -> DrawnEvent {
    DrawnEvent::Cut {
        vm: CUT,
        for_ms: LONG_MS,
    }
}

fn call_of_the_cut(subject: u8) -> DrawnCall {
    DrawnCall {
        vm: CUT,
        ..call(subject, SECOND)
    }
}
