//! Guarantees of the system, checked against the history of a run.
//!
//! Each check reads the recorded events and returns the violations it finds. Guarantees with a time limit apply only to VMs
//! in contact: neither the VM nor the log was disturbed within the preceding `CONTACT_WINDOW`.

use crate::{
    callers::{CALL_TIMEOUT, SKEWED_CALL_PREFIX, SKEWED_DEADLINE},
    history::{CallAnswer, CallKind, HistoryEvent, TimedEntry},
    organisations::{QUOTA_WINDOW, REVOCATION_BOUND, organisation_of, quota_limit},
    resident_callers::RESIDENT_CALL_PREFIX,
    targets::{TargetRole, service_name},
};
use std::{
    collections::{BTreeMap, BTreeSet, HashMap, HashSet},
    fmt,
    ops::RangeInclusive,
    time::Duration,
};

/// Time without faults after which a VM counts as in contact (`contact_ms` of the requirements).
const CONTACT_WINDOW: Duration = Duration::from_secs(3);
/// Time that a VM has for a planned stop.
const STOP_GRACE: Duration = Duration::from_secs(8);
/// Time after the end of a request within which its VM may close the connection as if it had not read it.
const CLOSE_SLACK: Duration = Duration::from_millis(200);
/// Time after which a draining target receives no new requests (`drain_ms` of the requirements).
const DRAIN_TIMEOUT: Duration = Duration::from_secs(2);
/// Retries allowed per request of a service; the daemons run with this setting.
pub const RETRY_RATIO: f64 = 0.2;
/// Retries allowed per service and window in addition to [`RETRY_RATIO`]; the daemons run with this setting.
pub const RETRY_SLACK: f64 = 50.0;
/// Time after a `Retry-After` answer within which requests may already have been in flight.
const IN_FLIGHT_WINDOW: Duration = Duration::from_millis(500);
/// Requests per VM that a target may receive between [`IN_FLIGHT_WINDOW`] and the end of the `Retry-After` period.
const MAX_REQUESTS_IN_BACKOFF: usize = 2;
/// Time within which every VM in contact applies a new configuration (`config_apply_ms` of the requirements).
const CONFIG_APPLY_TIMEOUT: Duration = Duration::from_secs(2);
/// Log calls per VM and second in steady state: three feeds that retry after 0.4 s, and their listings.
pub const MAX_LOG_CALLS_PER_S: f64 = 30.0;
/// Additional log calls of a starting daemon: three listings, three reads, its own record and four attempts at a claim.
const MAX_START_CALLS: f64 = 15.0;
/// Time within which a starting daemon makes its additional log calls.
const START_CALLS_WINDOW: Duration = Duration::from_secs(1);
/// Requests that may stay unserved at VMs without a path to targets, besides one in [`UNSERVED_CALL_DIVISOR`].
const MIN_UNSERVED_CALLS: usize = 10;
const UNSERVED_CALL_DIVISOR: usize = 50;
/// Crashes under a part of prompts after which it has to be known.
const MAX_PART_CRASHES: usize = 5;
/// Requests with a known deadly part that may reach targets.
const MAX_LATE_PART_REQUESTS: usize = 3;
/// Time before a skew whose calls show how often callers are served.
const SKEW_REFERENCE_WINDOW: Duration = Duration::from_secs(5);
/// Calls without which neither side of a skew is judged.
const MIN_JUDGED_CALLS: usize = 20;
/// Time in which a VM that most new connections go to takes at least one.
const ACCEPT_WINDOW: Duration = Duration::from_secs(4);
/// Attempts without which a VM that takes none of them is not judged.
const MIN_JUDGED_ATTEMPTS: usize = 7;
/// Time after its deadline in which a call has to be answered.
const LATE_ANSWER_WINDOW: Duration = Duration::from_millis(500);
/// Calls beyond their deadline without which their answers are not judged.
const MIN_OVERDUE_CALLS: usize = 8;
/// Length of the window in which the retry budget is counted.
const RETRY_WINDOW: Duration = Duration::from_secs(10);

/// Guarantee that a run must not violate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Guarantee {
    /// A request that is not idempotent runs at most once.
    AtMostOnce,
    /// A request refused with "not executed" has not run.
    NotRun,
    /// A request runs on the adapter named by its caller.
    NamedAdapter,
    /// Headers reserved for the system never reach a target with a caller's value.
    ReservedHeaders,
    /// An answer whose framing is complete has exactly the target's content, without gaps or duplicates, and one that is
    /// cut off has the beginning of it.
    CompleteAnswer,
    /// An answer that has begun ends only with its end, its target's connection, its deadline or its VM's process.
    UncutAnswer,
    /// A draining target gets no new requests after `DRAIN_TIMEOUT`.
    Draining,
    /// A target that announced draining in an answer gets no new requests from the VM that received the answer after
    /// `DRAIN_TIMEOUT`.
    AnnouncedDraining,
    /// A target gets no more than two requests from a VM within the `Retry-After` period it sent to that VM.
    RetryAfter,
    /// Every VM in contact applies a new configuration within `CONFIG_APPLY_TIMEOUT`.
    ConfigDeadline,
    /// Log calls stay below their rate limit under every fault.
    LogCallRate,
    /// Neither a planned stop nor a settings reload interrupts a request.
    PlannedStop,
    /// A process never returns to an older configuration.
    ConfigMonotonic,
    /// Each fencing token is used by one lease holder, and an engine's tokens never decrease.
    SingleHolder,
    /// Orders never exceed an engine's adapter slots.
    AdapterSlots,
    /// Retries stay within the fleet's retry budget.
    RetryBudget,
    /// A request runs for the organisation that owns its caller's key.
    CallerOrganisation,
    /// No VM starts a call whose key was revoked more than [`REVOCATION_BOUND`] before.
    Revocation,
    /// The requests of an organisation stay within its quota, summed over all VMs.
    Quota,
    /// A request uses cached prompt parts only if they were computed with the versions of base model and adapter that it
    /// runs on.
    CacheVersion,
    /// All events of a stream, over all attempts of its caller, come from targets of one software version.
    SoftwareVersion,
    /// From [`CONTACT_WINDOW`] after the fifth crash under one part of prompts, VMs in contact send targets at most three more
    /// requests with it.
    DeadlyPart,
    /// From [`CONTACT_WINDOW`] after some VMs lost the path to all targets, their callers are served at least two thirds as
    /// often as others, unless few of them fail.
    PathIndependence,
    /// From [`CONTACT_WINDOW`] after most new connections began to go to one VM, callers are served at the first attempt that a VM
    /// read at least three quarters as often as before, are answered soon after their deadline, and the VM keeps taking
    /// connections.
    SkewedConnections,
}

/// Violation of a guarantee.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Violated guarantee.
    pub guarantee: Guarantee,
    /// Cause and time since the start of the run.
    pub description: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: {}", self.guarantee, self.description)
    }
}

/// Checks every guarantee against a history.
#[must_use]
pub fn check(history: &[TimedEntry]) -> Vec<Violation> {
    let calls = CallTable::new(history);
    let mut found = Vec::new();
    found.extend(check_runs(&calls));
    found.extend(check_answers(&calls));
    found.extend(check_parts(history, &calls));
    found.extend(check_cuts(history, &calls));
    found.extend(check_draining(history, &calls));
    found.extend(check_planned_stops(history, &calls));
    found.extend(check_config_order(history));
    found.extend(check_orders(history));
    found.extend(check_retry_budget(&calls));
    found.extend(check_headers(history));
    found.extend(check_cache_versions(history));
    found.extend(check_keys(history, &calls));
    found.extend(check_quotas(history, &calls));
    found.extend(check_announced_draining(history, &calls));
    found.extend(check_retry_after(history, &calls));
    found.extend(check_config_deadline(history));
    found.extend(check_log_calls(history));
    found.extend(check_path_losses(history, &calls));
    found.extend(check_software(history, &calls));
    found.extend(check_deadly_part(history, &calls));
    found.extend(check_skews(history, &calls));
    found
}

/// Complete body of a request's answer: all events of a stream, or a plain text.
#[must_use]
pub fn expected_body(kind: CallKind, id: &str, events: u32) -> String {
    match kind {
        CallKind::Once | CallKind::Idempotent => format!("done {id}"),
        CallKind::Stream | CallKind::Resumable => {
            (1..=events).map(|event| event_text(id, event)).collect()
        }
    }
}

/// Server-sent event of a stream, with its id and data line.
#[must_use]
pub fn event_text(id: &str, event: u32) -> String {
    format!("id: {event}\ndata: {id} {event}\n\n")
}

/// Number of events in a complete stream.
pub const EVENTS_PER_STREAM: u32 = 12;

#[derive(Debug)]
struct CallRow<'a> {
    sent: Duration,
    kind: CallKind,
    vm: usize,
    adapter: &'a str,
    answer: Option<(Duration, &'a CallAnswer)>,
    runs: Vec<RunRow<'a>>,
    /// Times at which targets rejected the request.
    rejected: Vec<Duration>,
}

impl CallRow<'_> {
    /// Times of all arrivals at targets after the first.
    fn retries(&self) -> Vec<Duration> {
        let runs = self.runs.iter().map(|run| run.at);
        let mut arrivals: Vec<_> = runs.chain(self.rejected.iter().copied()).collect();
        arrivals.sort();
        arrivals.into_iter().skip(1).collect()
    }
}

#[derive(Debug)]
struct RunRow<'a> {
    at: Duration,
    target: &'a str,
    adapter: &'a str,
    is_truncated: bool,
}

struct CallTable<'a> {
    rows: BTreeMap<&'a str, CallRow<'a>>,
    /// Requests that take up a stream: the request that began it, and the last event before.
    taken_up: HashMap<&'a str, (&'a str, u32)>,
}

impl<'a> CallTable<'a> {
    fn new(history: &'a [TimedEntry]) -> Self {
        let mut rows: BTreeMap<&str, CallRow<'_>> = BTreeMap::new();
        let mut taken_up = HashMap::new();
        for TimedEntry { at, event } in history {
            match event {
                HistoryEvent::Sent {
                    id,
                    kind,
                    vm,
                    adapter,
                } => {
                    let row = CallRow {
                        sent: *at,
                        kind: *kind,
                        vm: *vm,
                        adapter,
                        answer: None,
                        runs: Vec::new(),
                        rejected: Vec::new(),
                    };
                    rows.insert(id, row);
                }
                HistoryEvent::TakenUp {
                    id,
                    began_by,
                    after,
                } => {
                    taken_up.insert(id.as_str(), (began_by.as_str(), *after));
                }
                HistoryEvent::Answered { id, answer } => {
                    if let Some(row) = rows.get_mut(id.as_str()) {
                        row.answer = Some((*at, answer));
                    }
                }
                HistoryEvent::Ran {
                    id,
                    target,
                    adapter,
                    is_truncated,
                } => {
                    if let Some(row) = rows.get_mut(id.as_str()) {
                        row.runs.push(RunRow {
                            at: *at,
                            target,
                            adapter,
                            is_truncated: *is_truncated,
                        });
                    }
                }
                HistoryEvent::Rejected { id, .. } => {
                    if let Some(row) = rows.get_mut(id.as_str()) {
                        row.rejected.push(*at);
                    }
                }
                _ => {}
            }
        }
        Self { rows, taken_up }
    }

    /// Complete body of the answer to a request.
    fn expected_body(&self, id: &str, row: &CallRow<'_>) -> String {
        match self.taken_up.get(id) {
            Some((_, after)) => (after + 1..=EVENTS_PER_STREAM)
                .map(|event| event_text(id, event))
                .collect(),
            None => expected_body(row.kind, id, EVENTS_PER_STREAM),
        }
    }
}

fn check_runs(calls: &CallTable<'_>) -> Vec<Violation> {
    let mut found = Vec::new();
    for (id, row) in &calls.rows {
        if row.kind.is_at_most_once() && row.runs.len() > 1 {
            let description = format!("{id} may run once and ran more often: {:?}", row.runs);
            found.push(violation(Guarantee::AtMostOnce, description));
        }
        let is_refused = matches!(
            row.answer,
            Some((_, CallAnswer::Complete(408 | 421 | 429 | 503, _)))
        );
        if is_refused && !row.runs.is_empty() {
            let description = format!("{id} was refused as not executed, but ran: {:?}", row.runs);
            found.push(violation(Guarantee::NotRun, description));
        }
        for run in row.runs.iter().filter(|run| run.adapter != row.adapter) {
            let description = format!(
                "{id} names adapter {:?} and ran on another: {run:?}",
                row.adapter
            );
            found.push(violation(Guarantee::NamedAdapter, description));
        }
    }
    found
}

fn check_answers(calls: &CallTable<'_>) -> Vec<Violation> {
    let mut found = Vec::new();
    for (id, row) in &calls.rows {
        if let Some((at, CallAnswer::Complete(status @ 200..=299, body))) = &row.answer
            && *body != calls.expected_body(id, row)
        {
            let description =
                format!("{id} got {status} with an incomplete or altered body {body:?} at {at:?}");
            found.push(violation(Guarantee::CompleteAnswer, description));
        }
    }
    found
}

/// Checks that a body that was cut off is the beginning of the expected one, apart from an event that was cut off itself.
fn check_parts(history: &[TimedEntry], calls: &CallTable<'_>) -> Vec<Violation> {
    let altered = history.iter().filter_map(|entry| {
        let HistoryEvent::PartReceived { id, text } = &entry.event else {
            return None;
        };
        let row = calls.rows.get(id.as_str())?;
        let part = match row.kind {
            CallKind::Once | CallKind::Idempotent => text.as_str(),
            CallKind::Stream | CallKind::Resumable => {
                let end = text.rfind("\n\n").map_or(0, |end| end + 2);
                &text[..end]
            }
        };
        let is_altered = !calls.expected_body(id, row).starts_with(part);
        is_altered.then(|| {
            let description = format!(
                "{id} got an altered part {part:?} of a body at {:?}",
                entry.at
            );
            violation(Guarantee::CompleteAnswer, description)
        })
    });
    altered.collect()
}

/// Checks that no answer of which the caller has received an event was cut off without a reason of [`CutReasons`].
fn check_cuts(history: &[TimedEntry], calls: &CallTable<'_>) -> Vec<Violation> {
    let reasons = CutReasons::new(history);
    let begun = history.iter().filter_map(|entry| match &entry.event {
        HistoryEvent::EventsReceived { id, .. } => Some(id.as_str()),
        _ => None,
    });
    let cut = begun.filter_map(|id| {
        let row = calls.rows.get(id)?;
        let (at, answer) = row.answer?;
        let is_cut = !matches!(answer, CallAnswer::Complete(..));
        (is_cut && !reasons.allow(id, row, at)).then(|| {
            let description = format!(
                "the answer to {id} ({:?}) was cut off at VM {} at {at:?}, {:?} after its request; runs {:?}",
                row.kind,
                row.vm,
                at - row.sent,
                row.runs
            );
            violation(Guarantee::UncutAnswer, description)
        })
    });
    cut.collect()
}

/// What may cut off an answer that has begun. Callers leave only at their deadline. The following are no reasons:
/// - a silence of targets: their connections stay open, and they go on;
/// - a target that leaves: it finishes what runs;
/// - a planned stop or a reload: the VM finishes what runs, and deadlines are shorter than the time it has for that;
/// - faults of the log: nothing that runs needs it;
/// - faults of other VMs, unless the VM's path to the targets is lost or was within [`CONTACT_WINDOW`] before the request, so
///   that the answer may come through a tunnel.
struct CutReasons<'a> {
    /// Crashes of engines, whose connections break.
    crashes: Vec<(Duration, &'a str)>,
    /// Times at which a VM's process was killed, suspended or resumed. While it is suspended, it can't tell its own pause from
    /// a silence of a target.
    signals: Vec<(Duration, usize)>,
    /// Spans in which connections of a VM to all targets hang or break.
    path_losses: Vec<PathLoss>,
    /// Spans in which all VMs have too little processor time.
    skews: Vec<SkewSpan>,
}

impl<'a> CutReasons<'a> {
    fn new(history: &'a [TimedEntry]) -> Self {
        let crashes = history.iter().filter_map(|entry| match &entry.event {
            HistoryEvent::EngineCrashed { target, .. } => Some((entry.at, target.as_str())),
            _ => None,
        });
        let signals = history.iter().filter_map(|entry| match entry.event {
            HistoryEvent::ProcessSignalled { vm } => Some((entry.at, vm)),
            _ => None,
        });
        Self {
            crashes: crashes.collect(),
            signals: signals.collect(),
            path_losses: path_loss_spans(history),
            skews: skew_spans(history),
        }
    }

    /// Whether the answer to a request may have been cut off at a time.
    fn allow(&self, id: &str, row: &CallRow<'_>, at: Duration) -> bool {
        let deadline = match id.starts_with(SKEWED_CALL_PREFIX) {
            true => SKEWED_DEADLINE,
            false => CALL_TIMEOUT,
        };
        let span = row.sent..=at;
        let has_lost_target = |run: &RunRow<'_>| {
            let has_crashed = |(crashed_at, target): &(Duration, &str)| {
                *target == run.target && run.at <= *crashed_at && *crashed_at <= at
            };
            run.at <= at && (run.is_truncated || self.crashes.iter().any(has_crashed))
        };
        at - row.sent >= deadline
            || row.runs.iter().any(has_lost_target)
            || self.is_vm_disturbed(row.vm, &span)
            || (self.may_use_tunnel(row, at)
                && self.vms().any(|vm| self.is_vm_disturbed(vm, &span)))
            || (self.skews.iter())
                .any(|skew| skew.from <= at && row.sent <= skew.to.saturating_add(CONTACT_WINDOW))
    }

    /// Whether a VM's process was killed, suspended or resumed, or its path to the targets was lost, within a span.
    fn is_vm_disturbed(&self, vm: usize, span: &RangeInclusive<Duration>) -> bool {
        let mut signals = self.signals.iter();
        let mut losses = self.path_losses.iter();
        signals.any(|(time, signalled)| *signalled == vm && span.contains(time))
            || losses
                .any(|loss| loss.vm == vm && loss.from <= *span.end() && *span.start() <= loss.to)
    }

    /// Whether a VM may not have known yet at a request that its path to the targets is no longer lost.
    fn may_use_tunnel(&self, row: &CallRow<'_>, at: Duration) -> bool {
        self.path_losses.iter().any(|loss| {
            loss.vm == row.vm && loss.from <= at && row.sent <= loss.to + CONTACT_WINDOW
        })
    }

    /// VMs with a disturbance.
    fn vms(&self) -> impl Iterator<Item = usize> {
        let signalled = self.signals.iter().map(|(_, vm)| *vm);
        signalled.chain(self.path_losses.iter().map(|loss| loss.vm))
    }
}

fn check_deadly_part(history: &[TimedEntry], calls: &CallTable<'_>) -> Vec<Violation> {
    let crashes: Vec<_> = history
        .iter()
        .filter_map(|entry| match &entry.event {
            HistoryEvent::EngineCrashed { id, .. } => Some((entry.at, id.as_str())),
            _ => None,
        })
        .collect();
    let Some((known_at, _)) = crashes.get(MAX_PART_CRASHES - 1) else {
        return Vec::new();
    };
    let later = crashes.iter().filter(|(at, id)| {
        let vm = calls.rows.get(id).map(|row| row.vm);
        *at > *known_at + CONTACT_WINDOW && vm.is_some_and(|vm| is_in_contact(history, vm, *at))
    });
    let later = later.count();
    if later <= MAX_LATE_PART_REQUESTS {
        return Vec::new();
    }
    let description =
        format!("{later} requests with the deadly part after its fifth crash at {known_at:?}");
    vec![violation(Guarantee::DeadlyPart, description)]
}

fn check_software(history: &[TimedEntry], calls: &CallTable<'_>) -> Vec<Violation> {
    let mut streams: BTreeMap<&str, BTreeSet<&str>> = BTreeMap::new();
    for entry in history {
        if let HistoryEvent::EventsReceived { id, software } = &entry.event {
            let taken_up = calls.taken_up.get(id.as_str());
            let stream = taken_up.map_or(id.as_str(), |(began_by, _)| began_by);
            let versions = streams.entry(stream).or_default();
            versions.extend(software.iter().map(String::as_str));
        }
    }
    let mixed = streams.iter().filter(|(_, versions)| versions.len() > 1);
    mixed
        .map(|(stream, versions)| {
            let description = format!("the stream of {stream} holds events of {versions:?}");
            violation(Guarantee::SoftwareVersion, description)
        })
        .collect()
}

/// Whether neither the VM nor the log was disturbed within [`CONTACT_WINDOW`] before a time.
fn is_in_contact(history: &[TimedEntry], vm: usize, at: Duration) -> bool {
    !history.iter().any(|entry| {
        let is_near = entry.at <= at && at - entry.at <= CONTACT_WINDOW;
        is_near
            && match entry.event {
                HistoryEvent::VmDisturbed { vm: disturbed, .. } => disturbed == vm,
                HistoryEvent::LogDisturbed => true,
                _ => false,
            }
    })
}

fn check_draining(history: &[TimedEntry], calls: &CallTable<'_>) -> Vec<Violation> {
    let leaving: HashMap<&str, Duration> = history
        .iter()
        .filter_map(|entry| match &entry.event {
            HistoryEvent::TargetDraining { target } => Some((target.as_str(), entry.at)),
            _ => None,
        })
        .collect();
    let mut found = Vec::new();
    for (id, row) in &calls.rows {
        for RunRow { at, target, .. } in &row.runs {
            if let Some(since) = leaving.get(target)
                && *at > *since + DRAIN_TIMEOUT
                && is_in_contact(history, row.vm, *at)
                && !is_held_up(history, row.vm, *at)
            {
                let description =
                    format!("{id} ran at {target} at {at:?}, which is draining since {since:?}");
                found.push(violation(Guarantee::Draining, description));
            }
        }
    }
    found
}

/// Whether a VM had no path to targets within [`CONTACT_WINDOW`] before a time, so that its requests may have been held up
/// on their way.
fn is_held_up(history: &[TimedEntry], vm: usize, at: Duration) -> bool {
    path_loss_spans(history)
        .into_iter()
        .any(|loss| loss.vm == vm && loss.from <= at && at <= loss.to + CONTACT_WINDOW)
}

/// Whether a VM was disturbed between two times, both included.
fn is_disturbed(history: &[TimedEntry], vm: usize, from: Duration, to: Duration) -> bool {
    history.iter().any(|entry| {
        let is_within = from <= entry.at && entry.at <= to;
        is_within
            && matches!(entry.event, HistoryEvent::VmDisturbed { vm: disturbed, .. } if disturbed == vm)
    })
}

/// Checks requests to targets that announced draining. Only a disturbance of the VM itself excuses one: the VM got the
/// announcement in an answer, so contact with the log does not matter.
fn check_announced_draining(history: &[TimedEntry], calls: &CallTable<'_>) -> Vec<Violation> {
    let mut announced: HashMap<(usize, &str), Duration> = HashMap::new();
    for TimedEntry { at, event } in history {
        if let HistoryEvent::DrainingAnnounced { id, target } = event
            && let Some(row) = calls.rows.get(id.as_str())
        {
            announced.entry((row.vm, target)).or_insert(*at);
        }
    }
    let mut found = Vec::new();
    for (id, row) in &calls.rows {
        for RunRow { at, target, .. } in &row.runs {
            if let Some(since) = announced.get(&(row.vm, *target))
                && row.sent > *since + DRAIN_TIMEOUT
                && !is_disturbed(history, row.vm, *since, *at)
                && !is_held_up(history, row.vm, *at)
            {
                let description = format!(
                    "{id} ran at {target} at {at:?}, which announced draining to the sending VM at {since:?}"
                );
                found.push(violation(Guarantee::AnnouncedDraining, description));
            }
        }
    }
    found
}

fn check_retry_after(history: &[TimedEntry], calls: &CallTable<'_>) -> Vec<Violation> {
    let mut arrivals: BTreeMap<(usize, &str), Vec<Duration>> = BTreeMap::new();
    let mut periods = Vec::new();
    for TimedEntry { at, event } in history {
        let (id, target) = match event {
            HistoryEvent::Ran { id, target, .. } | HistoryEvent::Rejected { id, target } => {
                (id, target)
            }
            HistoryEvent::RetryAfterSent {
                id,
                target,
                retry_after,
            } => {
                if let Some(row) = calls.rows.get(id.as_str()) {
                    periods.push((row.vm, target.as_str(), *at, *retry_after));
                }
                continue;
            }
            _ => continue,
        };
        if let Some(row) = calls.rows.get(id.as_str()) {
            arrivals.entry((row.vm, target)).or_default().push(*at);
        }
    }
    let mut found = Vec::new();
    for (vm, target, sent, retry_after) in periods {
        let (from, to) = (sent + IN_FLIGHT_WINDOW, sent + retry_after);
        let times = arrivals.get(&(vm, target)).into_iter().flatten();
        let count = times.filter(|at| from <= **at && **at < to).count();
        let is_excused = is_disturbed(history, vm, sent, to) || is_held_up(history, vm, to);
        if count > MAX_REQUESTS_IN_BACKOFF && !is_excused {
            let description = format!(
                "{target} sent VM {vm} Retry-After {retry_after:?} at {sent:?} and got {count} requests within it, at most {MAX_REQUESTS_IN_BACKOFF} are allowed"
            );
            found.push(violation(Guarantee::RetryAfter, description));
        }
    }
    found
}

fn check_config_deadline(history: &[TimedEntry]) -> Vec<Violation> {
    let mut accepted: BTreeMap<u64, Duration> = BTreeMap::new();
    let mut found = Vec::new();
    for TimedEntry { at, event } in history {
        match event {
            HistoryEvent::ConfigAccepted { version } => {
                accepted.entry(*version).or_insert(*at);
            }
            // VMs can apply it only once operators have rewritten it.
            HistoryEvent::ConfigLost { version } => {
                accepted.remove(version);
            }
            HistoryEvent::RouteProbed {
                vm,
                version,
                has_route: false,
                ..
            } => {
                let since = accepted.get(version);
                if let Some(since) = since.filter(|since| *at > **since + CONFIG_APPLY_TIMEOUT)
                    && is_in_contact(history, *vm, *at)
                {
                    let description = format!(
                        "VM {vm} lacks configuration {version} at {at:?}, accepted at {since:?}"
                    );
                    found.push(violation(Guarantee::ConfigDeadline, description));
                }
            }
            _ => {}
        }
    }
    found
}

/// Span in which a VM had no path to any target.
struct PathLoss {
    vm: usize,
    from: Duration,
    to: Duration,
}

fn path_loss_spans(history: &[TimedEntry]) -> Vec<PathLoss> {
    let end = history.last().map_or(Duration::ZERO, |entry| entry.at);
    let mut open: BTreeMap<usize, Duration> = BTreeMap::new();
    let mut losses = Vec::new();
    for TimedEntry { at, event } in history {
        match event {
            HistoryEvent::PathLost { vm } => {
                open.entry(*vm).or_insert(*at);
            }
            HistoryEvent::PathRestored { vm } => {
                if let Some(from) = open.remove(vm) {
                    losses.push(PathLoss {
                        vm: *vm,
                        from,
                        to: *at,
                    });
                }
            }
            _ => {}
        }
    }
    losses.extend(
        open.into_iter()
            .map(|(vm, from)| PathLoss { vm, from, to: end }),
    );
    losses
}

/// Compares the callers of VMs without a path to targets with those of the others, for each span in which any VM has none.
fn check_path_losses(history: &[TimedEntry], calls: &CallTable<'_>) -> Vec<Violation> {
    let losses = path_loss_spans(history);
    let has_lost_path = |vm: usize, at: Duration| {
        losses
            .iter()
            .any(|loss| loss.vm == vm && loss.from <= at && at <= loss.to)
    };
    let is_judged = |vm: usize, at: Duration| {
        let is_settled =
            |loss: &&PathLoss| loss.vm == vm && loss.from + CONTACT_WINDOW <= at && at <= loss.to;
        losses.iter().any(|loss| is_settled(&loss))
    };
    let closed = closed_unread(history);
    let (mut lost, mut others) = (ServedCount::default(), ServedCount::default());
    for (id, row) in &calls.rows {
        let is_near_loss = losses
            .iter()
            .any(|loss| loss.from + CONTACT_WINDOW <= row.sent && row.sent <= loss.to);
        let is_judged_call = is_near_loss && !was_sent_again(id, &closed, calls);
        if !is_judged_call || !is_in_contact(history, row.vm, row.sent) {
            continue;
        }
        if is_judged(row.vm, row.sent) {
            lost.add(row);
        } else if !has_lost_path(row.vm, row.sent) {
            others.add(row);
        }
    }
    let failed = lost.sent - lost.served;
    let allowed = MIN_UNSERVED_CALLS + (lost.sent + others.sent) / UNSERVED_CALL_DIVISOR;
    // Two thirds as often, without fractions.
    let is_far_worse = lost.served * others.sent * 3 < others.served * lost.sent * 2;
    if !is_far_worse || failed <= allowed {
        return Vec::new();
    }
    let description = format!(
        "VMs without a path to targets served {} of {} requests, the others {} of {}",
        lost.served, lost.sent, others.served, others.sent
    );
    vec![violation(Guarantee::PathIndependence, description)]
}

/// A span in which most new connections went to one VM.
struct SkewSpan {
    vm: usize,
    from: Duration,
    to: Duration,
}

fn skew_spans(history: &[TimedEntry]) -> Vec<SkewSpan> {
    let begun = history.iter().filter_map(|entry| match entry.event {
        HistoryEvent::SkewBegan { vm } => Some((vm, entry.at)),
        _ => None,
    });
    begun
        .map(|(vm, from)| {
            let ended = history
                .iter()
                .find(|entry| entry.at > from && entry.event == HistoryEvent::SkewEnded { vm });
            let to = ended.map_or(Duration::MAX, |entry| entry.at);
            SkewSpan { vm, from, to }
        })
        .collect()
}

fn check_skews(history: &[TimedEntry], calls: &CallTable<'_>) -> Vec<Violation> {
    let disturbances = disturbances(history);
    let is_judged = |at: Duration| {
        let recent =
            |disturbed: &&Duration| **disturbed <= at && at - **disturbed <= CONTACT_WINDOW;
        // A call that a later disturbance hits is not judged either.
        let soon = |disturbed: &&Duration| **disturbed > at && **disturbed - at <= CONTACT_WINDOW;
        !disturbances
            .iter()
            .any(|disturbed| recent(&disturbed) || soon(&disturbed))
    };
    let closed = closed_unread(history);
    skew_spans(history)
        .iter()
        .flat_map(|span| check_skew(span, calls, &closed, is_judged))
        .collect()
}

/// Requests whose connections were refused or closed before their VM sent anything.
fn closed_unread(history: &[TimedEntry]) -> HashSet<&str> {
    let closed = history.iter().filter_map(|entry| match &entry.event {
        HistoryEvent::ClosedUnread { id } => Some(id.as_str()),
        _ => None,
    });
    closed.collect()
}

/// Whether another attempt of the caller stands for a request that no VM read.
fn was_sent_again(id: &str, closed: &HashSet<&str>, calls: &CallTable<'_>) -> bool {
    closed.contains(id) && calls.rows.contains_key(&*format!("{id}-1"))
}

/// Times of the faults under which callers need not be served as before.
fn disturbances(history: &[TimedEntry]) -> Vec<Duration> {
    let disturbing = history.iter().filter(|entry| {
        matches!(
            entry.event,
            HistoryEvent::VmDisturbed { .. }
                | HistoryEvent::LogDisturbed
                | HistoryEvent::PathLost { .. }
                | HistoryEvent::PathRestored { .. }
                | HistoryEvent::EngineCrashed { .. }
                | HistoryEvent::TargetDraining { .. }
                | HistoryEvent::RetryAfterSent { .. }
                | HistoryEvent::Ran {
                    is_truncated: true,
                    ..
                }
        )
    });
    disturbing.map(|entry| entry.at).collect()
}

fn check_skew(
    span: &SkewSpan,
    calls: &CallTable<'_>,
    closed: &HashSet<&str>,
    is_judged: impl Fn(Duration) -> bool,
) -> Vec<Violation> {
    let (mut before, mut during) = (ServedCount::default(), ServedCount::default());
    let (mut overdue, mut unanswered) = (0, Vec::new());
    let mut found = Vec::new();
    for (id, row) in &calls.rows {
        let is_before = row.sent < span.from && span.from - row.sent <= SKEW_REFERENCE_WINDOW;
        let is_during = span.from + CONTACT_WINDOW <= row.sent && row.sent < span.to;
        if !is_judged(row.sent) || !(is_before || is_during) {
            continue;
        }
        if is_before {
            before.add(row);
        }
        if !is_during || !id.starts_with(SKEWED_CALL_PREFIX) {
            continue;
        }
        if !was_sent_again(id, closed, calls) {
            during.add(row);
        }
        let answered_after = match row.answer {
            Some((at, CallAnswer::Complete(..) | CallAnswer::Truncated(_))) => {
                Some(at.saturating_sub(row.sent))
            }
            _ => None,
        };
        let is_unread = closed.contains(id);
        if !is_unread && answered_after.is_none_or(|after| after >= SKEWED_DEADLINE) {
            overdue += 1;
            let is_late = |after| after > SKEWED_DEADLINE + LATE_ANSWER_WINDOW;
            unanswered.extend(answered_after.is_none_or(is_late).then_some(*id));
        }
    }
    let has_enough = before.sent >= MIN_JUDGED_CALLS && during.sent >= MIN_JUDGED_CALLS;
    // Three quarters as often, without fractions.
    if has_enough && during.served * before.sent * 4 < before.served * during.sent * 3 {
        let description = format!(
            "{} of {} calls were served at the first attempt read while most connections went to VM {}, {} of {} before",
            during.served, during.sent, span.vm, before.served, before.sent
        );
        found.push(violation(Guarantee::SkewedConnections, description));
    }
    if overdue >= MIN_OVERDUE_CALLS && unanswered.len() * 2 > overdue {
        let description = format!(
            "{} of {overdue} calls beyond their deadline had no answer {LATE_ANSWER_WINDOW:?} later, among them {:?}",
            unanswered.len(),
            unanswered.first()
        );
        found.push(violation(Guarantee::SkewedConnections, description));
    }
    found.extend(check_accepts(span, calls, closed, is_judged));
    found
}

/// Whether the VM that most new connections go to stopped taking them.
fn check_accepts(
    span: &SkewSpan,
    calls: &CallTable<'_>,
    closed: &HashSet<&str>,
    is_judged: impl Fn(Duration) -> bool,
) -> Option<Violation> {
    let mut attempts: Vec<_> = calls
        .rows
        .iter()
        .filter(|(id, row)| {
            id.starts_with(SKEWED_CALL_PREFIX)
                && row.vm == span.vm
                && (span.from..span.to).contains(&row.sent)
                && is_judged(row.sent)
        })
        .map(|(id, row)| (row.sent, closed.contains(id)))
        .collect();
    attempts.sort();
    let mut unread_since = None;
    let mut unread = 0;
    for (sent, is_unread) in attempts {
        if !is_unread {
            unread_since = None;
            unread = 0;
            continue;
        }
        let since = *unread_since.get_or_insert(sent);
        unread += 1;
        if sent - since >= ACCEPT_WINDOW && unread >= MIN_JUDGED_ATTEMPTS {
            let description = format!(
                "VM {} read none of {unread} calls in {ACCEPT_WINDOW:?} from {since:?} on",
                span.vm
            );
            return Some(violation(Guarantee::SkewedConnections, description));
        }
    }
    None
}

/// Requests, and those of them that were served.
#[derive(Default)]
struct ServedCount {
    sent: usize,
    served: usize,
}

impl ServedCount {
    fn add(&mut self, row: &CallRow<'_>) {
        let is_served = matches!(row.answer, Some((_, CallAnswer::Complete(200..=299, _))));
        self.sent += 1;
        self.served += usize::from(is_served);
    }
}

fn check_log_calls(history: &[TimedEntry]) -> Vec<Violation> {
    let vms: HashSet<usize> = history
        .iter()
        .filter_map(|entry| match entry.event {
            HistoryEvent::RouteProbed { vm, .. } => Some(vm),
            _ => None,
        })
        .collect();
    let starts = |from: Duration, to: Duration| {
        let started = history.iter().filter(|entry| {
            matches!(entry.event, HistoryEvent::VmStarted { .. })
                && from <= entry.at
                && entry.at <= to
        });
        started.count() as f64
    };
    let excesses = history.iter().filter_map(|entry| match entry.event {
        HistoryEvent::LogCalls { calls, within } => {
            let from = entry.at.saturating_sub(within + START_CALLS_WINDOW);
            let steady = MAX_LOG_CALLS_PER_S * vms.len() as f64 * within.as_secs_f64();
            let allowed = steady + MAX_START_CALLS * starts(from, entry.at);
            (calls as f64 > allowed).then(|| {
                let description = format!(
                    "{calls} log calls in {within:?} until {:?}, at most {allowed:.0} are allowed",
                    entry.at
                );
                violation(Guarantee::LogCallRate, description)
            })
        }
        _ => None,
    });
    excesses.collect()
}

/// A request that ran while its VM was only stopped as planned or reloaded its settings must get a complete answer.
fn check_planned_stops(history: &[TimedEntry], calls: &CallTable<'_>) -> Vec<Violation> {
    let mut found = Vec::new();
    let losses = path_loss_spans(history);
    let silences = silence_spans(history);
    let crashed: HashSet<&str> = history
        .iter()
        .filter_map(|entry| match &entry.event {
            HistoryEvent::EngineCrashed { target, .. } => Some(target.as_str()),
            _ => None,
        })
        .collect();
    for (id, row) in &calls.rows {
        let Some((at, answer)) = row.answer else {
            continue;
        };
        let is_path_lost = losses.iter().any(|loss| {
            loss.vm == row.vm && loss.from <= at && row.sent <= loss.to + CONTACT_WINDOW
        });
        // A call that was served until its deadline was not interrupted.
        let is_overdue = match id.starts_with(SKEWED_CALL_PREFIX) {
            true => at - row.sent >= SKEWED_DEADLINE,
            false => at - row.sent >= CALL_TIMEOUT && is_mostly_silent(&silences, row, at),
        };
        let is_interrupted =
            !is_overdue && matches!(answer, CallAnswer::Truncated(_) | CallAnswer::NoAnswer);
        let disturbances: Vec<_> = history
            .iter()
            .filter(|entry| {
                let is_signal = matches!(entry.event, HistoryEvent::StopSignalled { .. });
                let window = if is_signal {
                    STOP_GRACE
                } else {
                    CONTACT_WINDOW
                };
                row.sent <= entry.at + window && entry.at <= at
            })
            .filter_map(|entry| match entry.event {
                HistoryEvent::StopSignalled { vm } if vm == row.vm => Some(true),
                HistoryEvent::VmDisturbed { vm, is_planned } if vm == row.vm => Some(is_planned),
                HistoryEvent::SettingsReloaded { vm } if vm == row.vm => Some(true),
                HistoryEvent::LogDisturbed => Some(false),
                _ => None,
            })
            .collect();
        let only_planned =
            !disturbances.is_empty() && disturbances.iter().all(|is_planned| *is_planned);
        let has_run = !row.runs.is_empty()
            && row
                .runs
                .iter()
                .all(|run| !run.is_truncated && !crashed.contains(run.target));
        // Other callers may have waited in the queue of new connections, whose requests the VM has not read.
        let is_dropped = row.runs.is_empty()
            && id.starts_with(RESIDENT_CALL_PREFIX)
            && at - row.sent > CLOSE_SLACK;
        if is_interrupted && only_planned && (has_run || is_dropped) && !is_path_lost {
            let description = format!(
                "{id} was interrupted at {at:?} by the planned stop or the reload of VM {}",
                row.vm
            );
            found.push(violation(Guarantee::PlannedStop, description));
        }
    }
    found
}

/// Span in which a target neither read nor wrote.
struct SilenceSpan<'a> {
    target: &'a str,
    from: Duration,
    to: Duration,
}

fn silence_spans(history: &[TimedEntry]) -> Vec<SilenceSpan<'_>> {
    let began = history.iter().enumerate().filter_map(|(index, entry)| {
        let HistoryEvent::SilenceBegan { target } = &entry.event else {
            return None;
        };
        let ended = history[index..].iter().find(|later| {
            matches!(&later.event, HistoryEvent::SilenceEnded { target: ended } if ended == target)
        });
        Some(SilenceSpan {
            target,
            from: entry.at,
            to: ended.map_or(Duration::MAX, |ended| ended.at),
        })
    });
    began.collect()
}

/// Whether a target of a request was silent for at least half of the time until its answer.
fn is_mostly_silent(silences: &[SilenceSpan<'_>], row: &CallRow<'_>, at: Duration) -> bool {
    row.runs.iter().any(|run| {
        let of_target = silences
            .iter()
            .filter(|silence| silence.target == run.target);
        let silent: Duration = of_target
            .map(|silence| {
                silence
                    .to
                    .min(at)
                    .saturating_sub(silence.from.max(row.sent))
            })
            .sum();
        silent * 2 >= at - row.sent
    })
}

fn check_config_order(history: &[TimedEntry]) -> Vec<Violation> {
    let mut newest: HashMap<(usize, u32), u64> = HashMap::new();
    let mut found = Vec::new();
    for TimedEntry { at, event } in history {
        let HistoryEvent::RouteProbed {
            vm,
            run,
            version,
            has_route,
        } = event
        else {
            continue;
        };
        let known = newest.entry((*vm, *run)).or_default();
        if *has_route {
            *known = (*known).max(*version);
        } else if version <= known {
            let description =
                format!("VM {vm} lacks configuration {version} at {at:?}, but had applied {known}");
            found.push(violation(Guarantee::ConfigMonotonic, description));
        }
    }
    found
}

fn check_orders(history: &[TimedEntry]) -> Vec<Violation> {
    let mut highest: HashMap<&str, u64> = HashMap::new();
    let mut holders: HashMap<u64, HashSet<&str>> = HashMap::new();
    let mut found = Vec::new();
    for TimedEntry { at, event } in history {
        match event {
            HistoryEvent::OrderAccepted {
                target,
                holder,
                token,
            } => {
                let known = highest.entry(target).or_default();
                if token < known {
                    let description = format!(
                        "{target} accepted token {token} of {holder} after token {known} at {at:?}"
                    );
                    found.push(violation(Guarantee::SingleHolder, description));
                }
                *known = (*known).max(*token);
                let users = holders.entry(*token).or_default();
                users.insert(holder);
                if users.len() > 1 {
                    let description =
                        format!("token {token} is used by several holders {users:?} at {at:?}");
                    found.push(violation(Guarantee::SingleHolder, description));
                }
            }
            HistoryEvent::SlotsExceeded { target } => {
                found.push(violation(
                    Guarantee::AdapterSlots,
                    format!("{target} was ordered to exceed its adapter slots at {at:?}"),
                ));
            }
            _ => {}
        }
    }
    found
}

/// Checks the retries of each service in every window against [`RETRY_RATIO`] and [`RETRY_SLACK`]. Requests are counted in
/// the same window, half a window earlier and a full window earlier, and the highest count applies.
fn check_retry_budget(calls: &CallTable<'_>) -> Vec<Violation> {
    let mut found = Vec::new();
    for service in [TargetRole::Plain, TargetRole::Engine].map(service_name) {
        let rows = || {
            calls
                .rows
                .values()
                .filter(|row| row.kind.service() == service)
        };
        let sent: Vec<_> = rows().map(|row| row.sent).collect();
        let mut retries: Vec<_> = rows().flat_map(CallRow::retries).collect();
        retries.sort();
        let worst = retries.iter().map(|start| {
            let retries = in_window(&retries, *start);
            let earlier = [Duration::ZERO, RETRY_WINDOW / 2, RETRY_WINDOW];
            let requests = earlier
                .iter()
                .map(|span| in_window(&sent, start.saturating_sub(*span)))
                .max();
            let allowed = RETRY_RATIO * requests.unwrap_or(0) as f64 + RETRY_SLACK;
            (retries as f64 - allowed, *start, retries, allowed)
        });
        let worst = worst.max_by(|left, right| left.0.total_cmp(&right.0));
        if let Some((excess, start, retries, allowed)) = worst
            && excess > 0.0
        {
            let description = format!(
                "{service}: {retries} retries within {RETRY_WINDOW:?} from {start:?}, at most {allowed:.0} are allowed"
            );
            found.push(violation(Guarantee::RetryBudget, description));
        }
    }
    found
}

fn in_window(times: &[Duration], start: Duration) -> usize {
    let is_in = |at: &&Duration| **at >= start && **at < start + RETRY_WINDOW;
    times.iter().filter(is_in).count()
}

fn check_headers(history: &[TimedEntry]) -> Vec<Violation> {
    let violations = history.iter().filter_map(|entry| match &entry.event {
        HistoryEvent::ForgedHeader { id, target } => {
            let description = format!(
                "{target} received a reserved header of {id} as its caller wrote it at {:?}",
                entry.at
            );
            Some(violation(Guarantee::ReservedHeaders, description))
        }
        _ => None,
    });
    violations.collect()
}

fn check_cache_versions(history: &[TimedEntry]) -> Vec<Violation> {
    let mismatches = history.iter().filter_map(|entry| match &entry.event {
        HistoryEvent::CacheMismatch {
            id,
            target,
            adapter,
            cached_versions,
            run_versions,
        } => {
            let description = format!(
                "{id} for {adapter} ran at {target} at {:?} on {run_versions} with prompt parts cached under {cached_versions}",
                entry.at
            );
            Some(violation(Guarantee::CacheVersion, description))
        }
        _ => None,
    });
    mismatches.collect()
}

/// Key of each request, by request id.
fn keys_of(history: &[TimedEntry]) -> HashMap<&str, &str> {
    let keys = history.iter().filter_map(|entry| match &entry.event {
        HistoryEvent::KeySent { id, key } => Some((id.as_str(), key.as_str())),
        _ => None,
    });
    keys.collect()
}

fn check_keys(history: &[TimedEntry], calls: &CallTable<'_>) -> Vec<Violation> {
    let keys = keys_of(history);
    let mut revoked: HashMap<&str, Duration> = HashMap::new();
    let mut found = Vec::new();
    for TimedEntry { at, event } in history {
        match event {
            HistoryEvent::Revoked { key } => {
                revoked.entry(key).or_insert(*at);
            }
            HistoryEvent::RanForOrganisation { id, organisation } => {
                if let Some(key) = keys.get(id.as_str())
                    && organisation_of(key) != organisation
                {
                    let description = format!(
                        "{id} with key {key} ran for organisation {organisation:?} at {at:?}"
                    );
                    found.push(violation(Guarantee::CallerOrganisation, description));
                }
            }
            _ => {}
        }
    }
    for (id, row) in &calls.rows {
        let since = keys.get(id).and_then(|key| revoked.get(key));
        let is_late = since.is_some_and(|since| row.sent > *since + REVOCATION_BOUND);
        if is_late && !row.runs.is_empty() {
            let description = format!(
                "{id} ran although its key was revoked at {since:?}: {:?}",
                row.runs
            );
            found.push(violation(Guarantee::Revocation, description));
        }
    }
    found
}

fn check_quotas(history: &[TimedEntry], calls: &CallTable<'_>) -> Vec<Violation> {
    let mut runs: BTreeMap<&str, Vec<Duration>> = BTreeMap::new();
    for (id, key) in keys_of(history) {
        let run = calls.rows.get(id).and_then(|row| row.runs.first());
        if let Some(run) = run {
            runs.entry(organisation_of(key)).or_default().push(run.at);
        }
    }
    let mut found = Vec::new();
    for (organisation, times) in &mut runs {
        let Some(allowed) = quota_limit(organisation) else {
            continue;
        };
        times.sort();
        let within = |start: &Duration| {
            let ends = *start + QUOTA_WINDOW;
            times
                .iter()
                .filter(|at| **at >= *start && **at < ends)
                .count()
        };
        let most = times.iter().map(|start| (within(start), *start)).max();
        if let Some((most, start)) = most.filter(|(most, _)| *most as f64 > allowed) {
            let description = format!(
                "{organisation}: {most} requests within {QUOTA_WINDOW:?} from {start:?}, at most {allowed:.0} are allowed"
            );
            found.push(violation(Guarantee::Quota, description));
        }
    }
    found
}

fn violation(guarantee: Guarantee, description: String) -> Violation {
    Violation {
        guarantee,
        description,
    }
}
