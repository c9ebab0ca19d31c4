//! Classifies how a request ended and why, from the events and messages of its log lines.
//!
//! The classification matches words of the daemon's log messages, so these words are part of the log format.

use crate::account::requests::SourceLine;
use serde::Serialize;
use std::collections::HashMap;

const ANSWER_INCOMPLETE: u16 = 601;
const REFUSED: u16 = 800;
const FAILED: u16 = 801;
const NO_ROUTE: u16 = 802;
const STREAM_ANSWERED: u16 = 804;
const CONNECT_FAILED: u16 = 810;
const NO_ANSWER: u16 = 811;
const REJECTED_BY_TARGET: u16 = 812;
const MISMATCHED_ANSWER: u16 = 813;
const ANSWER_BROKEN: u16 = 814;
const STREAM_BROKEN: u16 = 815;
const RETRY_DENIED: u16 = 831;

/// Ratio of actual to expected time to first event above which the target counts as slow.
const SLOW_FACTOR: f64 = 1.5;
/// Minimum excess over the expected time; network latency and jitter of short prompts stay below it.
const MIN_SLOW_EXCESS_MS: f64 = 100.0;

/// Final state of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestEnd {
    /// The first event came within the latency objective.
    InTime,
    /// The first event came after the latency objective.
    Late,
    /// Refused, with a guarantee that no target ran it.
    Refused,
    /// Failed; a target may have run it.
    Failed,
    /// The stream ended before the answer was complete.
    BrokenOff,
}

/// Most likely cause of a request's delay, refusal or failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LossCause {
    /// Answered in time.
    None,
    /// Waited for capacity on a target, or no target had any.
    PlaceAwaited,
    /// Waited for its adapter to load, or the adapter could not be loaded.
    AdapterAwaited,
    /// Prefill of the prompts queued before it and of its own.
    PromptsRead,
    /// The target took much longer than its holder expected.
    TargetSlow,
    /// The target could not be reached.
    TargetOutOfReach,
    /// The target returned an error, no answer or an incomplete one.
    TargetFailed,
    /// The target did not have the adapter, or not the requested version.
    WrongTarget,
    /// Targets rejected it because they were full.
    TargetFull,
    /// The retry budget was used up.
    RetryBudget,
    /// The request's deadline passed.
    Deadline,
    /// The VM was stopping.
    VmStopped,
    /// The VM had no configuration yet, or no service for the request's route.
    NoConfiguration,
    /// The active configuration had no matching route.
    NoRoute,
    /// No zone answered, or no target is listed.
    NoTarget,
    /// The log lines do not show a cause.
    Unknown,
}

/// How and why a request ended.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestOutcome {
    /// Final state.
    pub end: RequestEnd,
    /// Most likely cause of that state.
    pub cause: LossCause,
    /// Route, or `?` if the last line does not name it.
    pub route: String,
    /// Time that the request was held, in milliseconds; 0 if the last line does not state it.
    pub held_ms: f64,
}

/// Classifies a request by its last line with a final event; `None` if there is no such line.
///
/// `lines` are ordered by time.
#[must_use]
pub fn classify(lines: &[SourceLine]) -> Option<RequestOutcome> {
    let last = lines.iter().rev().find(|line| {
        matches!(
            line.entry.event,
            ANSWER_INCOMPLETE | REFUSED | FAILED | NO_ROUTE | STREAM_ANSWERED
        )
    })?;
    let message = &last.entry.message;
    let has_event = |event| lines.iter().any(|line| line.entry.event == event);
    let (end, cause) = match last.entry.event {
        STREAM_ANSWERED => classify_answered(message),
        REFUSED => (RequestEnd::Refused, refusal_cause(message, lines)),
        NO_ROUTE => (RequestEnd::Refused, LossCause::NoRoute),
        ANSWER_INCOMPLETE if message.contains("deadline") => {
            (RequestEnd::BrokenOff, LossCause::Deadline)
        }
        ANSWER_INCOMPLETE if has_event(RETRY_DENIED) => {
            (RequestEnd::BrokenOff, LossCause::RetryBudget)
        }
        ANSWER_INCOMPLETE if has_event(STREAM_BROKEN) => {
            (RequestEnd::BrokenOff, LossCause::TargetFailed)
        }
        ANSWER_INCOMPLETE => (RequestEnd::BrokenOff, LossCause::Unknown),
        _ => (RequestEnd::Failed, failure_cause(message, &has_event)),
    };
    Some(RequestOutcome {
        end,
        cause,
        route: parse_route(message),
        held_ms: parse_held_ms(message),
    })
}

/// Attributes a late stream to the longest phase before its first event.
fn classify_answered(message: &str) -> (RequestEnd, LossCause) {
    let phases = parse_phases(message);
    let phase = |name| phases.get(name).copied();
    let (Some(first), Some(objective)) = (phase("first"), phase("objective")) else {
        return (RequestEnd::InTime, LossCause::None);
    };
    if first <= objective {
        return (RequestEnd::InTime, LossCause::None);
    }
    let placed = phase("placed").unwrap_or(0.0);
    let there = phase("there").unwrap_or(placed);
    let parts = [
        (placed, LossCause::PlaceAwaited),
        (there - placed, LossCause::AdapterAwaited),
        (first - there, LossCause::PromptsRead),
    ];
    let largest = parts
        .into_iter()
        .max_by(|left, right| left.0.total_cmp(&right.0));
    let cause = largest.map_or(LossCause::Unknown, |(_, cause)| cause);
    let expected = phase("expected").unwrap_or(first);
    let is_slow = first > expected * SLOW_FACTOR && first > expected + MIN_SLOW_EXCESS_MS;
    match cause {
        LossCause::PromptsRead if is_slow => (RequestEnd::Late, LossCause::TargetSlow),
        cause => (RequestEnd::Late, cause),
    }
}

fn refusal_cause(message: &str, lines: &[SourceLine]) -> LossCause {
    let with_event = |event| lines.iter().filter(move |line| line.entry.event == event);
    if message.contains("this VM stops") {
        LossCause::VmStopped
    } else if message.contains("no configuration") || message.contains("no known service") {
        LossCause::NoConfiguration
    } else if with_event(RETRY_DENIED).next().is_some() {
        LossCause::RetryBudget
    } else if with_event(REJECTED_BY_TARGET).any(|line| line.entry.message.contains("Misdirected"))
    {
        LossCause::WrongTarget
    } else if with_event(REJECTED_BY_TARGET).next().is_some() {
        LossCause::TargetFull
    } else if with_event(CONNECT_FAILED).next().is_some() {
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

fn failure_cause(message: &str, has_event: &impl Fn(u16) -> bool) -> LossCause {
    if has_event(RETRY_DENIED) {
        LossCause::RetryBudget
    } else if message.contains("passes on") {
        LossCause::TargetFailed
    } else if message.contains("ends with 504") {
        LossCause::Deadline
    } else if [NO_ANSWER, MISMATCHED_ANSWER, ANSWER_BROKEN]
        .into_iter()
        .any(has_event)
    {
        LossCause::TargetFailed
    } else if has_event(CONNECT_FAILED) {
        LossCause::TargetOutOfReach
    } else {
        LossCause::Unknown
    }
}

/// Parses the name and milliseconds of each phase from text such as `placed 2 expected 91`.
fn parse_phases(message: &str) -> HashMap<&str, f64> {
    let words: Vec<_> = message.split_whitespace().collect();
    let pairs = words.windows(2);
    pairs
        .filter_map(|pair| Some((pair[0], pair[1].parse().ok()?)))
        .collect()
}

/// Parses `route NAME` from the part after the event text, which may itself contain the word `route`.
fn parse_route(message: &str) -> String {
    let (_, detail) = message.split_once(": ").unwrap_or(("", message));
    word_after(detail, "route").unwrap_or_else(|| "?".to_owned())
}

fn word_after(message: &str, word: &str) -> Option<String> {
    let mut words = message.split_whitespace();
    words.find(|next| *next == word)?;
    words
        .next()
        .map(|next| next.trim_end_matches([',', ':']).to_owned())
}

/// Parses the time that a request was held, from `after 358.5ms` or `end 2332`.
fn parse_held_ms(message: &str) -> f64 {
    let after = word_after(message, "after").and_then(|duration| parse_duration_ms(&duration));
    after
        .or_else(|| parse_phases(message).get("end").copied())
        .unwrap_or(0.0)
}

fn parse_duration_ms(duration: &str) -> Option<f64> {
    for (unit, factor) in [("ms", 1.0), ("µs", 1e-3), ("ns", 1e-6), ("s", 1e3)] {
        if let Some(number) = duration.strip_suffix(unit) {
            return Some(number.parse::<f64>().ok()? * factor);
        }
    }
    None
}
