//! Why a request was late, refused or failed.

use crate::account::requests::SourceLine;
use serde::Serialize;
use std::collections::HashMap;

const STREAM_BROKEN_OFF: u16 = 601;
const REFUSED: u16 = 800;
const FAILED: u16 = 801;
const NO_ROUTE: u16 = 802;
const STREAM_ANSWERED: u16 = 804;
const UNREACHED: u16 = 810;
const UNANSWERED: u16 = 811;
const TURNED_AWAY: u16 = 812;
const FOREIGN: u16 = 813;
const BROKEN: u16 = 814;
const STREAM_BROKEN: u16 = 815;
const REPEAT_DENIED: u16 = 831;

/// A first event this much later than its holder expected shows a slow target.
const SLOW_FACTOR: f64 = 1.5;
/// And by this much at the least, in milliseconds: ways and scatter of short prompts.
const SLOW_MS: f64 = 100.0;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestEnd {
    /// Its first event came within the objective.
    InTime,
    /// It came later.
    Late,
    /// It was refused as not run.
    Refused,
    /// It failed without a promise.
    Failed,
    /// Its stream broke off.
    BrokenOff,
}

/// What a request's end is put down to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LossCause {
    /// Nothing was lost.
    None,
    /// It waited for a target, or none had a place.
    PlaceAwaited,
    /// It waited for its adapter, or the adapter could not be had.
    AdapterAwaited,
    /// Prompts queued before it, and its own.
    PromptsRead,
    /// Its target took much longer than was expected.
    TargetSlow,
    /// Its target could not be reached.
    TargetOutOfReach,
    /// Its target failed it, answered nothing, or broke off.
    TargetFailed,
    /// Its target lacked the adapter or its version.
    WrongTarget,
    /// Targets turned it away as full.
    TargetFull,
    /// The retry budget did not pay for another try.
    RetryBudget,
    /// Its deadline passed.
    Deadline,
    /// The VM was stopping.
    VmStopped,
    /// The VM knew no configuration yet, or no service for its route.
    NoConfiguration,
    /// The configuration in force had no route for it.
    NoRoute,
    /// No zone was heard, or no target is listed.
    NoTarget,
    /// The lines don't tell.
    Unknown,
}

/// A request's end.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestLoss {
    /// How it ended.
    pub end: RequestEnd,
    /// What that is put down to.
    pub cause: LossCause,
    /// Its route, where a line names it.
    pub route: String,
    /// How long it was held, in milliseconds, where a line tells.
    pub held_ms: f64,
}

/// How a request ended by its last line that tells, and why; nothing if no line tells.
#[must_use]
pub fn judge(lines: &[SourceLine]) -> Option<RequestLoss> {
    let last = lines.iter().rev().find(|line| {
        matches!(
            line.line.event,
            STREAM_BROKEN_OFF | REFUSED | FAILED | NO_ROUTE | STREAM_ANSWERED
        )
    })?;
    let message = &last.line.message;
    let seen = |event| lines.iter().any(|line| line.line.event == event);
    let (end, cause) = match last.line.event {
        STREAM_ANSWERED => judge_answered(message),
        REFUSED => (RequestEnd::Refused, judge_refused(message, lines)),
        NO_ROUTE => (RequestEnd::Refused, LossCause::NoRoute),
        STREAM_BROKEN_OFF if message.contains("deadline") => {
            (RequestEnd::BrokenOff, LossCause::Deadline)
        }
        STREAM_BROKEN_OFF if seen(REPEAT_DENIED) => (RequestEnd::BrokenOff, LossCause::RetryBudget),
        STREAM_BROKEN_OFF if seen(STREAM_BROKEN) => {
            (RequestEnd::BrokenOff, LossCause::TargetFailed)
        }
        STREAM_BROKEN_OFF => (RequestEnd::BrokenOff, LossCause::Unknown),
        _ => (RequestEnd::Failed, judge_failed(message, &seen)),
    };
    Some(RequestLoss {
        end,
        cause,
        route: route_of(message),
        held_ms: held_ms(message),
    })
}

/// The largest part of a late stream's time to its first event.
fn judge_answered(message: &str) -> (RequestEnd, LossCause) {
    let steps = steps_of(message);
    let step = |name| steps.get(name).copied();
    let (Some(first), Some(objective)) = (step("first"), step("objective")) else {
        return (RequestEnd::InTime, LossCause::None);
    };
    if first <= objective {
        return (RequestEnd::InTime, LossCause::None);
    }
    let placed = step("placed").unwrap_or(0.0);
    let there = step("there").unwrap_or(placed);
    let parts = [
        (placed, LossCause::PlaceAwaited),
        (there - placed, LossCause::AdapterAwaited),
        (first - there, LossCause::PromptsRead),
    ];
    let largest = parts
        .into_iter()
        .max_by(|left, right| left.0.total_cmp(&right.0));
    let cause = largest.map_or(LossCause::Unknown, |(_, cause)| cause);
    let expected = step("expected").unwrap_or(first);
    let is_slow = first > expected * SLOW_FACTOR && first > expected + SLOW_MS;
    match cause {
        LossCause::PromptsRead if is_slow => (RequestEnd::Late, LossCause::TargetSlow),
        cause => (RequestEnd::Late, cause),
    }
}

fn judge_refused(message: &str, lines: &[SourceLine]) -> LossCause {
    let events = |event| lines.iter().filter(move |line| line.line.event == event);
    if message.contains("this VM stops") {
        LossCause::VmStopped
    } else if message.contains("no configuration") || message.contains("no known service") {
        LossCause::NoConfiguration
    } else if events(REPEAT_DENIED).next().is_some() {
        LossCause::RetryBudget
    } else if events(TURNED_AWAY).any(|line| line.line.message.contains("Misdirected")) {
        LossCause::WrongTarget
    } else if events(TURNED_AWAY).next().is_some() {
        LossCause::TargetFull
    } else if events(UNREACHED).next().is_some() {
        LossCause::TargetOutOfReach
    } else if message.contains("LoadLate") || message.contains("LoadsFailed") {
        LossCause::AdapterAwaited
    } else if message.contains("TooLong") {
        LossCause::PromptsRead
    } else if message.contains("NoEngine") || message.contains("Offer") {
        LossCause::PlaceAwaited
    } else if message.contains("zones []") {
        LossCause::NoTarget
    } else {
        LossCause::Unknown
    }
}

fn judge_failed(message: &str, seen: &impl Fn(u16) -> bool) -> LossCause {
    if seen(REPEAT_DENIED) {
        LossCause::RetryBudget
    } else if message.contains("passes on") {
        LossCause::TargetFailed
    } else if message.contains("ends with 504") {
        LossCause::Deadline
    } else if [UNANSWERED, FOREIGN, BROKEN].into_iter().any(seen) {
        LossCause::TargetFailed
    } else if seen(UNREACHED) {
        LossCause::TargetOutOfReach
    } else {
        LossCause::Unknown
    }
}

/// Names and milliseconds of a stream's steps, as `placed 2 expected 91`.
fn steps_of(message: &str) -> HashMap<&str, f64> {
    let words: Vec<_> = message.split_whitespace().collect();
    let pairs = words.windows(2);
    pairs
        .filter_map(|pair| Some((pair[0], pair[1].parse().ok()?)))
        .collect()
}

/// The route that a message names as `route NAME`; the text of an event itself may say `no route for a request`.
fn route_of(message: &str) -> String {
    let (_, told) = message.split_once(": ").unwrap_or(("", message));
    word_after(told, "route").unwrap_or_else(|| "?".to_owned())
}

fn word_after(message: &str, word: &str) -> Option<String> {
    let mut words = message.split_whitespace();
    words.find(|next| *next == word)?;
    words
        .next()
        .map(|next| next.trim_end_matches([',', ':']).to_owned())
}

/// Time that a request was held, as `after 358.5ms` or `end 2332` tells.
fn held_ms(message: &str) -> f64 {
    let after = word_after(message, "after").and_then(|span| span_ms(&span));
    after
        .or_else(|| steps_of(message).get("end").copied())
        .unwrap_or(0.0)
}

fn span_ms(span: &str) -> Option<f64> {
    for (unit, factor) in [("ms", 1.0), ("µs", 1e-3), ("ns", 1e-6), ("s", 1e3)] {
        if let Some(number) = span.strip_suffix(unit) {
            return Some(number.parse::<f64>().ok()? * factor);
        }
    }
    None
}
