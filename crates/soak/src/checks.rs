//! The promises, checked on a history.
//!
//! Promises with a time bound hold for VMs in touch: those that nothing struck for `TOUCH` before, and only while the log
//! was undisturbed as long.

use crate::{
    history::{CallAnswer, CallKind, HistoryEvent, TimedEntry},
    organisations::{QUOTA_WINDOW, REVOCATION_BOUND, organisation_of, quota_limit},
    targets::{TargetRole, service_name},
};
use std::{
    collections::{BTreeMap, HashMap, HashSet},
    fmt,
    time::Duration,
};

/// Time without faults after which a VM is in touch; the users' `contact_ms`.
const CONTACT_WINDOW: Duration = Duration::from_secs(3);
/// Time after which nothing new reaches a leaving target; the users' `drain_ms`.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(2);
/// Repeats allowed for each request of a service, and beside them; the settings that the daemons are given.
pub const RETRY_RATIO: f64 = 0.2;
/// See [`REPEAT_RATIO`].
pub const RETRY_SLACK: f64 = 50.0;
/// Time after an answer that asks for rest within which requests may have been under way, and how many may arrive after it.
const IN_FLIGHT_WINDOW: Duration = Duration::from_millis(500);
/// See [`REST_UNDER_WAY`].
const MAX_REQUESTS_IN_BACKOFF: usize = 2;
/// Time after which a configuration is in force at all VMs in touch; the users' `config_apply_ms`.
const CONFIG_APPLY_TIMEOUT: Duration = Duration::from_secs(2);
/// Calls to the log of each VM in a second that are no flood: three feeds that try again after 0.4 s, and their listings.
pub const MAX_LOG_CALLS_PER_S: f64 = 30.0;
/// Calls that a start may make beside them: three listings, three reads, its record, and four tries of a claim.
const MAX_START_CALLS: f64 = 15.0;
/// Time within which it makes them.
const START_CALLS_WINDOW: Duration = Duration::from_secs(1);
/// Length of the window that they count in.
const RETRY_WINDOW: Duration = Duration::from_secs(10);

/// A promise.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Guarantee {
    /// What may run once runs at most once.
    AtMostOnce,
    /// What was refused as not run has not run.
    NotRun,
    /// A request runs on the adapter that its caller named.
    NamedAdapter,
    /// Headers that only the system may set reach no target as a caller wrote them.
    ReservedHeaders,
    /// An answer that looks whole is the target's own, without a gap or a repeat.
    CompleteAnswer,
    /// A leaving target gets no new work after its bound.
    Draining,
    /// A target that said in an answer that it leaves gets no new work from the VM that was told after its bound.
    AnnouncedDraining,
    /// A target gets no more than two requests from a VM in the rest that it asked that VM for.
    RetryAfter,
    /// A configuration is in force in time at VMs in touch.
    ConfigDeadline,
    /// The log is asked no more often than its rates allow, whatever befalls it.
    LogCallRate,
    /// A planned stop interrupts nothing, and neither does a change of settings.
    PlannedStop,
    /// A configuration in force never goes back within a process.
    ConfigMonotonic,
    /// Orders come from one holder a token, and tokens only rise.
    SingleHolder,
    /// An engine is never ordered beyond its places.
    AdapterSlots,
    /// Repeats stay within the fleet's budget.
    RetryBudget,
    /// A request runs for the organisation that its caller's key is of.
    CallerOrganisation,
    /// No call is begun with a key that was taken away too long ago, by any VM.
    Revocation,
    /// No organisation has more requests run than its quota allows, over all VMs.
    Quota,
    /// A run uses memory of its prompt only if it was made under the versions of base model and adapter that it runs
    /// under.
    CacheVersion,
}

/// A broken promise.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The promise.
    pub guarantee: Guarantee,
    /// When, and what broke it.
    pub description: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: {}", self.guarantee, self.description)
    }
}

/// Checks every promise.
#[must_use]
pub fn check(history: &[TimedEntry]) -> Vec<Violation> {
    let calls = CallTable::new(history);
    let mut found = Vec::new();
    found.extend(check_runs(&calls));
    found.extend(check_answers(&calls));
    found.extend(check_leaving(history, &calls));
    found.extend(check_stops(history, &calls));
    found.extend(check_config(history));
    found.extend(check_orders(history));
    found.extend(check_budget(&calls));
    found.extend(check_headers(history));
    found.extend(check_memory(history));
    found.extend(check_keys(history, &calls));
    found.extend(check_quotas(history, &calls));
    found.extend(check_told_leaving(history, &calls));
    found.extend(check_rests(history, &calls));
    found.extend(check_config_in_time(history));
    found.extend(check_log_calls(history));
    found
}

/// The whole body of a request's answer: every event of a stream, or a plain text.
#[must_use]
pub fn expected_body(kind: CallKind, id: &str, events: u32) -> String {
    match kind {
        CallKind::Once | CallKind::Idempotent => format!("done {id}"),
        CallKind::Stream | CallKind::Resumable => {
            (1..=events).map(|event| event_text(id, event)).collect()
        }
    }
}

/// One event of a stream.
#[must_use]
pub fn event_text(id: &str, event: u32) -> String {
    format!("id: {event}\ndata: {id} {event}\n\n")
}

/// Events of every stream.
pub const EVENTS_PER_STREAM: u32 = 12;

#[derive(Debug)]
struct CallRow<'a> {
    sent: Duration,
    kind: CallKind,
    vm: usize,
    adapter: &'a str,
    answer: Option<(Duration, &'a CallAnswer)>,
    runs: Vec<RunRow<'a>>,
    /// When targets turned it away.
    rejected: Vec<Duration>,
}

impl CallRow<'_> {
    /// Arrivals at targets beyond the first.
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
    breaks_off: bool,
}

struct CallTable<'a> {
    rows: BTreeMap<&'a str, CallRow<'a>>,
}

impl<'a> CallTable<'a> {
    fn new(history: &'a [TimedEntry]) -> Self {
        let mut rows: BTreeMap<&str, CallRow<'_>> = BTreeMap::new();
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
                HistoryEvent::Answered { id, answer } => {
                    if let Some(row) = rows.get_mut(id.as_str()) {
                        row.answer = Some((*at, answer));
                    }
                }
                HistoryEvent::Ran {
                    id,
                    target,
                    adapter,
                    breaks_off,
                } => {
                    if let Some(row) = rows.get_mut(id.as_str()) {
                        row.runs.push(RunRow {
                            at: *at,
                            target,
                            adapter,
                            breaks_off: *breaks_off,
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
        Self { rows }
    }
}

fn check_runs(calls: &CallTable<'_>) -> Vec<Violation> {
    let mut found = Vec::new();
    for (id, row) in &calls.rows {
        if row.kind.is_at_most_once() && row.runs.len() > 1 {
            let description = format!("{id} ran at {:?}", row.runs);
            found.push(broken(Guarantee::AtMostOnce, description));
        }
        let promised = matches!(
            row.answer,
            Some((_, CallAnswer::Complete(408 | 421 | 429 | 503, _)))
        );
        if promised && !row.runs.is_empty() {
            let description = format!("{id} was refused as not run, and ran at {:?}", row.runs);
            found.push(broken(Guarantee::NotRun, description));
        }
        for run in row.runs.iter().filter(|run| run.adapter != row.adapter) {
            let description = format!("{id} for {} ran as {run:?}", row.adapter);
            found.push(broken(Guarantee::NamedAdapter, description));
        }
    }
    found
}

fn check_answers(calls: &CallTable<'_>) -> Vec<Violation> {
    let mut found = Vec::new();
    for (id, row) in &calls.rows {
        if let Some((at, CallAnswer::Complete(status @ 200..=299, body))) = &row.answer
            && *body != expected_body(row.kind, id, EVENTS_PER_STREAM)
        {
            let description = format!("{id} got {status} with {body:?} at {at:?}");
            found.push(broken(Guarantee::CompleteAnswer, description));
        }
    }
    found
}

/// Whether nothing struck a VM, or the log, for [`TOUCH`] before a time.
fn is_in_contact(history: &[TimedEntry], vm: usize, at: Duration) -> bool {
    !history.iter().any(|entry| {
        let is_near = entry.at <= at && at - entry.at <= CONTACT_WINDOW;
        is_near
            && match entry.event {
                HistoryEvent::VmDisturbed { vm: struck, .. } => struck == vm,
                HistoryEvent::LogDisturbed => true,
                _ => false,
            }
    })
}

fn check_leaving(history: &[TimedEntry], calls: &CallTable<'_>) -> Vec<Violation> {
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
            {
                let description =
                    format!("{id} ran at {target} at {at:?}, which leaves since {since:?}");
                found.push(broken(Guarantee::Draining, description));
            }
        }
    }
    found
}

/// Whether a VM was struck within a span.
fn is_struck(history: &[TimedEntry], vm: usize, from: Duration, to: Duration) -> bool {
    history.iter().any(|entry| {
        let is_within = from <= entry.at && entry.at <= to;
        is_within
            && matches!(entry.event, HistoryEvent::VmDisturbed { vm: struck, .. } if struck == vm)
    })
}

/// In touch or not: only what befell the VM since it was told excuses it.
fn check_told_leaving(history: &[TimedEntry], calls: &CallTable<'_>) -> Vec<Violation> {
    let mut told: HashMap<(usize, &str), Duration> = HashMap::new();
    for TimedEntry { at, event } in history {
        if let HistoryEvent::DrainingAnnounced { id, target } = event
            && let Some(row) = calls.rows.get(id.as_str())
        {
            told.entry((row.vm, target)).or_insert(*at);
        }
    }
    let mut found = Vec::new();
    for (id, row) in &calls.rows {
        for RunRow { at, target, .. } in &row.runs {
            if let Some(since) = told.get(&(row.vm, *target))
                && row.sent > *since + DRAIN_TIMEOUT
                && !is_struck(history, row.vm, *since, *at)
            {
                let description =
                    format!("{id} ran at {target} at {at:?}, which said so to its VM at {since:?}");
                found.push(broken(Guarantee::AnnouncedDraining, description));
            }
        }
    }
    found
}

fn check_rests(history: &[TimedEntry], calls: &CallTable<'_>) -> Vec<Violation> {
    let mut arrivals: BTreeMap<(usize, &str), Vec<Duration>> = BTreeMap::new();
    let mut rests = Vec::new();
    for TimedEntry { at, event } in history {
        let (id, target) = match event {
            HistoryEvent::Ran { id, target, .. } | HistoryEvent::Rejected { id, target } => {
                (id, target)
            }
            HistoryEvent::RetryAfterSent { id, target, rest } => {
                if let Some(row) = calls.rows.get(id.as_str()) {
                    rests.push((row.vm, target.as_str(), *at, *rest));
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
    for (vm, target, asked, rest) in rests {
        let (from, to) = (asked + IN_FLIGHT_WINDOW, asked + rest);
        let times = arrivals.get(&(vm, target)).into_iter().flatten();
        let count = times.filter(|at| from <= **at && **at < to).count();
        if count > MAX_REQUESTS_IN_BACKOFF && !is_struck(history, vm, asked, to) {
            let description = format!(
                "{target} asked VM {vm} at {asked:?} for {rest:?}, and got {count} requests"
            );
            found.push(broken(Guarantee::RetryAfter, description));
        }
    }
    found
}

fn check_config_in_time(history: &[TimedEntry]) -> Vec<Violation> {
    let mut accepted: BTreeMap<u64, Duration> = BTreeMap::new();
    let mut found = Vec::new();
    for TimedEntry { at, event } in history {
        match event {
            HistoryEvent::ConfigAccepted { version } => {
                accepted.entry(*version).or_insert(*at);
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
                    let description =
                        format!("VM {vm} lacks version {version} at {at:?}, accepted at {since:?}");
                    found.push(broken(Guarantee::ConfigDeadline, description));
                }
            }
            _ => {}
        }
    }
    found
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
    let floods = history.iter().filter_map(|entry| match entry.event {
        HistoryEvent::LogCalls { calls, within } => {
            let from = entry.at.saturating_sub(within + START_CALLS_WINDOW);
            let steady = MAX_LOG_CALLS_PER_S * vms.len() as f64 * within.as_secs_f64();
            let allowed = steady + MAX_START_CALLS * starts(from, entry.at);
            (calls as f64 > allowed).then(|| {
                let description = format!(
                    "{calls} calls in {within:?} at {:?}, {allowed:.0} are allowed",
                    entry.at
                );
                broken(Guarantee::LogCallRate, description)
            })
        }
        _ => None,
    });
    floods.collect()
}

/// A request that a planned stop or a change of settings met, and nothing else, has a whole answer once it ran.
fn check_stops(history: &[TimedEntry], calls: &CallTable<'_>) -> Vec<Violation> {
    let mut found = Vec::new();
    for (id, row) in &calls.rows {
        let Some((at, answer)) = row.answer else {
            continue;
        };
        let is_broken = matches!(answer, CallAnswer::Truncated(_) | CallAnswer::NoAnswer);
        let strikes: Vec<_> = history
            .iter()
            .filter(|entry| row.sent <= entry.at + CONTACT_WINDOW && entry.at <= at)
            .filter_map(|entry| match entry.event {
                HistoryEvent::VmDisturbed { vm, is_planned } if vm == row.vm => Some(is_planned),
                HistoryEvent::SettingsReloaded { vm } if vm == row.vm => Some(true),
                HistoryEvent::LogDisturbed => Some(false),
                _ => None,
            })
            .collect();
        let only_planned = !strikes.is_empty() && strikes.iter().all(|is_planned| *is_planned);
        let has_run = !row.runs.is_empty() && row.runs.iter().all(|run| !run.breaks_off);
        if is_broken && only_planned && has_run {
            let description = format!(
                "{id} was broken off at {at:?} by the stop or the reload of VM {}",
                row.vm
            );
            found.push(broken(Guarantee::PlannedStop, description));
        }
    }
    found
}

fn check_config(history: &[TimedEntry]) -> Vec<Violation> {
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
            let description = format!("VM {vm} lacks version {version} at {at:?}, and had {known}");
            found.push(broken(Guarantee::ConfigMonotonic, description));
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
                    let description =
                        format!("{target} took token {token} of {holder} after {known}, {at:?}");
                    found.push(broken(Guarantee::SingleHolder, description));
                }
                *known = (*known).max(*token);
                let users = holders.entry(*token).or_default();
                users.insert(holder);
                if users.len() > 1 {
                    let description = format!("token {token} is used by {users:?}, {at:?}");
                    found.push(broken(Guarantee::SingleHolder, description));
                }
            }
            HistoryEvent::SlotsExceeded { target } => {
                found.push(broken(
                    Guarantee::AdapterSlots,
                    format!("{target} at {at:?}"),
                ));
            }
            _ => {}
        }
    }
    found
}

/// In no window does a service have more arrivals beyond the first of their request than its requests and the fixed number
/// allow. Requests count in that window, in the one before it or in the one half a window before, where most are.
fn check_budget(calls: &CallTable<'_>) -> Vec<Violation> {
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
                "{service}: {retries} repeats within {RETRY_WINDOW:?} from {start:?}, {allowed:.0} are allowed"
            );
            found.push(broken(Guarantee::RetryBudget, description));
        }
    }
    found
}

fn in_window(times: &[Duration], start: Duration) -> usize {
    let is_in = |at: &&Duration| **at >= start && **at < start + RETRY_WINDOW;
    times.iter().filter(is_in).count()
}

fn check_headers(history: &[TimedEntry]) -> Vec<Violation> {
    let forged = history.iter().filter_map(|entry| match &entry.event {
        HistoryEvent::ForgedHeader { id, target } => {
            let description = format!(
                "{target} was handed a forged header of {id} at {:?}",
                entry.at
            );
            Some(broken(Guarantee::ReservedHeaders, description))
        }
        _ => None,
    });
    forged.collect()
}

fn check_memory(history: &[TimedEntry]) -> Vec<Violation> {
    let mixed = history.iter().filter_map(|entry| match &entry.event {
        HistoryEvent::CacheMismatch {
            id,
            target,
            adapter,
            made_under,
            runs_under,
        } => {
            let description = format!(
                "{id} for {adapter} ran at {target} at {:?}, used memory made under {made_under}, and runs under {runs_under}",
                entry.at
            );
            Some(broken(Guarantee::CacheVersion, description))
        }
        _ => None,
    });
    mixed.collect()
}

/// Keys of requests by id.
fn keys_of(history: &[TimedEntry]) -> HashMap<&str, &str> {
    let keys = history.iter().filter_map(|entry| match &entry.event {
        HistoryEvent::KeySent { id, key } => Some((id.as_str(), key.as_str())),
        _ => None,
    });
    keys.collect()
}

fn check_keys(history: &[TimedEntry], calls: &CallTable<'_>) -> Vec<Violation> {
    let keys = keys_of(history);
    let mut gone: HashMap<&str, Duration> = HashMap::new();
    let mut found = Vec::new();
    for TimedEntry { at, event } in history {
        match event {
            HistoryEvent::Revoked { key } => {
                gone.entry(key).or_insert(*at);
            }
            HistoryEvent::RanForOrganisation { id, organisation } => {
                if let Some(key) = keys.get(id.as_str())
                    && organisation_of(key) != organisation
                {
                    let description = format!("{id} with {key} ran for {organisation:?} at {at:?}");
                    found.push(broken(Guarantee::CallerOrganisation, description));
                }
            }
            _ => {}
        }
    }
    for (id, row) in &calls.rows {
        let since = keys.get(id).and_then(|key| gone.get(key));
        let is_late = since.is_some_and(|since| row.sent > *since + REVOCATION_BOUND);
        if is_late && !row.runs.is_empty() {
            let description = format!(
                "{id} ran at {:?}, its key is gone since {since:?}",
                row.runs
            );
            found.push(broken(Guarantee::Revocation, description));
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
                "{organisation}: {most} requests within {QUOTA_WINDOW:?} from {start:?}, {allowed:.0} are allowed"
            );
            found.push(broken(Guarantee::Quota, description));
        }
    }
    found
}

fn broken(guarantee: Guarantee, description: String) -> Violation {
    Violation {
        guarantee,
        description,
    }
}
