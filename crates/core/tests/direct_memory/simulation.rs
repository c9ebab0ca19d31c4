//! Event-driven simulation of a zone: engine models, gateways, an operator and the planner, on a simulated clock.

use crate::{
    engine::{
        ADAPTER_SLOTS, CALL_SLOTS, CacheTag, EngineModel, EngineRun, NamedVersions, Reception,
        base_model, instant,
    },
    scenario::{
        CallPlan, OrderFate, ReportFate, RestartIdentity, Scenario, ScenarioEvent, VersionNotice,
    },
};
use hoplanding_core::{
    direct::{
        catalog::TargetEntry,
        config::EngineLimits,
        engine::{EngineOrder, EngineReport, OrderOutcome},
        health::CallOutcome,
        planner::{
            CallKey, EngineEstimates, PlacementAnswer, PlacementRequest, PlacementTerms,
            PlannerAction, ZonePlanner,
        },
        policy::PlacementPolicy,
    },
    ids::{AdapterName, Instant, TargetLife, TargetName, VmName},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

/// Start time of simulations, in ms.
const START_MS: u64 = 60_000;
/// Time for which a settled holder has had the zone, in ms; longer than an order can be late.
const SETTLED_MS: u64 = 20_000;
/// Interval of the holder's periodic work, in ms.
const TICK_MS: u64 = 50;
/// Time that a simulation continues after its last event, in ms; longer than a call waits at three engines in turn.
const DRAIN_MS: u64 = 9_000;
/// Longest wait with which a call is placed, in ms.
const BOUND_MS: u32 = 2_500;
/// Timeout of orders and report requests, in ms.
const TIMEOUT_MS: u64 = 250;
/// Delay before a call is placed again, in ms.
const RETRY_DELAY_MS: u64 = 20;
/// Maximum number of placements of a call.
const MAX_ATTEMPTS: u8 = 4;
/// Time after which the entry of an engine that is gone is removed from the list, in ms.
const ENTRY_TTL_MS: u64 = 2_500;
/// Downtime of an engine that crashed because it was given more adapters than it has slots for, in ms.
const OVERRUN_DOWN_MS: u64 = 1_000;
/// Age up to which engine states are kept, in ms; more than the age of any report or list.
const STATE_HISTORY_MS: u64 = 4_000;
/// Shared segments of the prompts, as (hash, tokens). Each call adds a last segment of its own.
const PROMPTS: [[(u64, u32); 2]; 2] = [[(1, 2_520), (2, 3_780)], [(1, 2_520), (3, 5_000)]];
/// Number of gateways.
const GATEWAYS: u8 = 2;
/// Tokens of the segment that is unique to a call.
const OWN_TOKENS: u32 = 400;

/// Rule that every simulation has to keep.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// No call uses KV cache made by other versions than those it runs under.
    MatchingCache,
    /// No engine is ordered to load more adapters than it has slots for.
    AdapterSlots,
    /// Every call is answered.
    Answers,
    /// Some segment is fetched.
    Transfers,
}

/// Violation of a rule, with the trace that led to it.
#[derive(Debug)]
pub struct RuleViolation {
    pub message: String,
    pub trace: Vec<String>,
}

impl fmt::Display for RuleViolation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}", self.message)?;
        self.trace.iter().try_for_each(|line| writeln!(f, "{line}"))
    }
}

/// Counts over simulations.
#[derive(Clone, Copy, Debug, Default)]
pub struct SimulationCounts {
    /// Calls that ran.
    pub runs: u32,
    /// Calls that were instructed to fetch from an engine.
    pub fetches: u32,
    /// Segments that engines fetched from others.
    pub segments: u32,
    /// Calls rejected because the engine lacked the subject or version.
    pub misdirected: u32,
}

impl SimulationCounts {
    /// Sum of both.
    pub fn and(self, other: Self) -> Self {
        Self {
            runs: self.runs + other.runs,
            fetches: self.fetches + other.fetches,
            segments: self.segments + other.segments,
            misdirected: self.misdirected + other.misdirected,
        }
    }
}

/// Action that is due at a time.
#[derive(Clone, Debug)]
enum Due {
    Event(usize),
    Tick,
    LearnVersion(AdapterName, u64),
    Place(PendingCall),
    Depart(u64),
    Arrive(u64),
    FetchCache(u64, EngineLife),
    Start(u64, EngineLife),
    End(u64, EngineLife),
    CallerDisconnect(u64),
    ReportStarted(u64, u64),
    ReportEnded(u64, CallEnd),
    Reconnect(VmName, u64),
    ApplyOrder(TargetName, EngineOrder, u64),
    OrderEnded(Arc<TargetEntry>, OrderOutcome, u64),
    Reported(TargetName, Option<EngineReport>, u64),
    RemoveEntry(TargetName),
    Restart(usize, bool),
}

/// Entry of a target in the platform's list from a time on, in ms; none once the target is gone.
type ListedState = (u64, Option<Arc<TargetEntry>>);

/// An engine in one of its lives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct EngineLife {
    at: usize,
    life: u64,
}

/// A call to be placed.
#[derive(Clone, Debug)]
struct PendingCall {
    plan: CallPlan,
    tried: Vec<TargetName>,
    attempts_left: u8,
}

/// End of a call as its gateway reports it.
#[derive(Clone, Copy, Debug)]
struct CallEnd {
    outcome: Option<CallOutcome>,
    is_missing: bool,
}

/// Where and how a call was sent.
#[derive(Clone, Debug)]
struct Destination {
    target: TargetName,
    life: TargetLife,
    fetch: Option<SocketAddr>,
    version: Option<u64>,
}

/// A call at its gateway.
#[derive(Clone, Debug)]
struct GatewayCall {
    pending: PendingCall,
    sent: Option<Destination>,
    /// Whether the call is unknown to the holder.
    is_untracked: bool,
    is_closed: bool,
}

pub struct Simulation {
    scenario: Scenario,
    /// Rule that is checked. Violations of other rules take their effect but do not fail the simulation.
    rule: Rule,
    now_ms: u64,
    agenda: BTreeMap<(u64, u64), Due>,
    last_agenda_number: u64,
    engines: Vec<EngineModel>,
    engines_created: u16,
    /// Reports of each engine, each with the time from which it holds, in ms.
    reports: Vec<Vec<(u64, EngineReport)>>,
    /// Entries of each target in the platform's list over time.
    entries: BTreeMap<TargetName, Vec<ListedState>>,
    named: NamedVersions,
    known_versions: BTreeMap<AdapterName, u64>,
    planner: ZonePlanner,
    /// Fencing token of the holder.
    fencing_token: u64,
    /// Time that the holder's list reflects, in ms.
    list_time_ms: u64,
    list: Vec<Arc<TargetEntry>>,
    calls: BTreeMap<u64, GatewayCall>,
    /// Calls that wait for an answer of the holder.
    unanswered: BTreeSet<u64>,
    /// Disconnected gateways, with the number of their next connection.
    disconnected: BTreeMap<VmName, u64>,
    connections_made: u64,
    calls_created: u64,
    orders_received: usize,
    reports_requested: usize,
    counts: SimulationCounts,
    trace: Vec<String>,
}

pub fn subject(number: u8) -> AdapterName {
    match number {
        0 => base_model(),
        _ => AdapterName::new(&format!("base/a{number}")),
    }
}

fn vm(number: u8) -> VmName {
    VmName::new(&format!("vm{number}"))
}

fn limits() -> EngineLimits {
    EngineLimits {
        slots: CALL_SLOTS,
        kv_tokens: 1_000_000,
        adapter_slots: ADAPTER_SLOTS as u32,
        adapters: 0,
        loads_per_s: 3.0,
        models: vec![base_model()],
    }
}

/// Policy under which cache is fetched whenever its versions allow it.
fn free_fetch_policy() -> PlacementPolicy {
    PlacementPolicy {
        cache_fetch_time: Duration::ZERO,
        min_fetch_saving: Duration::ZERO,
        ..PlacementPolicy::default()
    }
}

fn new_planner(orders_from_ms: u64, scenario: &Scenario) -> ZonePlanner {
    let figures = EngineEstimates::per_zone(1, 3.0);
    let mut planner = ZonePlanner::new(figures, limits(), instant(orders_from_ms));
    planner.set_order_fencing(scenario.checks_fencing);
    if scenario.fetches_freely {
        planner.set_policy(free_fetch_policy());
    }
    // Simulations have one holder at a time.
    planner.set_sole_until(Instant(u64::MAX));
    planner
}

impl Simulation {
    /// Runs a scenario to its end, or until the rule is violated.
    pub fn play(scenario: &Scenario, rule: Rule) -> Result<SimulationCounts, RuleViolation> {
        let mut simulation = Self::new(scenario.clone(), rule);
        match simulation.run() {
            Ok(()) => Ok(simulation.counts),
            Err(message) => Err(RuleViolation {
                message,
                trace: simulation.trace,
            }),
        }
    }

    fn new(scenario: Scenario, rule: Rule) -> Self {
        let engines: Vec<_> = (1..=u16::from(scenario.engines))
            .map(|number| EngineModel::new(number, &scenario))
            .collect();
        let mut simulation = Self {
            now_ms: START_MS,
            agenda: BTreeMap::new(),
            last_agenda_number: 0,
            engines_created: u16::from(scenario.engines),
            reports: vec![Vec::new(); engines.len()],
            engines,
            entries: BTreeMap::new(),
            named: NamedVersions::default(),
            known_versions: BTreeMap::new(),
            planner: new_planner(START_MS, &scenario),
            fencing_token: 1,
            list_time_ms: START_MS,
            list: Vec::new(),
            calls: BTreeMap::new(),
            unanswered: BTreeSet::new(),
            disconnected: BTreeMap::new(),
            connections_made: 0,
            calls_created: 0,
            orders_received: 0,
            reports_requested: 0,
            counts: SimulationCounts::default(),
            trace: Vec::new(),
            rule,
            scenario,
        };
        if simulation.scenario.has_adapters {
            for (at, engine) in simulation.engines.iter_mut().enumerate() {
                engine.add_adapter(subject(1), 1);
                engine.add_adapter(subject(2 + at as u8 % 2), 1);
            }
        }
        simulation.record_states();
        simulation.read_list(START_MS);
        simulation
    }

    fn run(&mut self) -> Result<(), String> {
        let pause_ms = if self.scenario.is_holder_settled {
            SETTLED_MS
        } else {
            0
        };
        let mut at_ms = self.now_ms + pause_ms;
        for number in 0..self.scenario.events.len() {
            at_ms += self.scenario.events[number].0;
            self.schedule(at_ms, Due::Event(number));
        }
        let end_ms = at_ms + DRAIN_MS;
        self.schedule(self.now_ms, Due::Tick);
        while let Some(((at_ms, _), due)) = self.agenda.pop_first() {
            if at_ms > end_ms {
                break;
            }
            self.now_ms = at_ms;
            for engine in &mut self.engines {
                engine.advance(at_ms);
            }
            self.handle(due)?;
            self.run_actions()?;
            self.end_deferred();
            self.record_states();
        }
        if !self.unanswered.is_empty() {
            let message = format!("never answered: calls {:?}", self.unanswered);
            self.check_rule(Rule::Answers, message)?;
        }
        if self.counts.segments == 0 {
            self.check_rule(Rule::Transfers, "no segment was fetched".to_owned())?;
        }
        Ok(())
    }

    fn check_rule(&self, rule: Rule, message: String) -> Result<(), String> {
        if rule == self.rule {
            Err(message)
        } else {
            Ok(())
        }
    }

    fn schedule(&mut self, at_ms: u64, due: Due) {
        self.last_agenda_number += 1;
        self.agenda.insert((at_ms, self.last_agenda_number), due);
    }

    fn schedule_after(&mut self, ms: u64, due: Due) {
        self.schedule(self.now_ms + ms, due);
    }

    fn log(&mut self, line: &str) {
        let at_ms = self.now_ms - START_MS;
        self.trace.push(format!("{at_ms:>6} ms: {line}"));
    }

    fn handle(&mut self, due: Due) -> Result<(), String> {
        let now = instant(self.now_ms);
        match due {
            Due::Event(number) => self.apply_event(number),
            Due::Tick => {
                self.planner.tick(now);
                self.schedule_after(TICK_MS, Due::Tick);
            }
            Due::LearnVersion(subject, version) => {
                self.log(&format!("the holder learns of {subject} version {version}"));
                self.planner.set_version(&subject, version, now);
                self.known_versions.insert(subject, version);
            }
            Due::Place(pending) => self.place(pending),
            Due::Depart(number) => self.depart(number),
            Due::Arrive(number) => self.arrive(number),
            Due::FetchCache(number, life) => self.fetch_segments(number, life),
            Due::Start(number, life) => return self.start_call(number, life),
            Due::End(number, life) => self.finish_call(number, life),
            Due::CallerDisconnect(number) => self.disconnect_caller(number),
            Due::ReportStarted(number, base) => self.report_started(number, base),
            Due::ReportEnded(number, end) => self.report_ended(number, end),
            Due::Reconnect(vm, connection) => self.reconnect(&vm, connection),
            Due::ApplyOrder(target, order, fencing_token) => {
                self.apply_order(&target, &order, fencing_token)?;
            }
            Due::OrderEnded(entry, outcome, fencing_token) => {
                if fencing_token == self.fencing_token
                    && self.planner.is_current_life(&entry.name, entry.life)
                {
                    self.planner.order_ended(&entry.name, outcome, now);
                }
            }
            Due::Reported(target, report, fencing_token) => {
                if fencing_token == self.fencing_token {
                    self.planner.report_received(&target, report.as_ref(), now);
                }
            }
            Due::RemoveEntry(target) => {
                if !self
                    .engines
                    .iter()
                    .any(|engine| engine.is_up && engine.name == target)
                {
                    let states = self.entries.entry(target).or_default();
                    states.push((self.now_ms, None));
                }
            }
            Due::Restart(at, has_base) => self.restart_engine(at, has_base),
        }
        Ok(())
    }

    fn apply_event(&mut self, number: usize) {
        match self.scenario.events[number].1 {
            ScenarioEvent::NameVersion {
                subject: number,
                steps,
                notice,
            } => {
                let subject = subject(number);
                let version = self.named.newest(&subject) + steps;
                self.log(&format!("{subject} version {version} is named"));
                self.named.name(subject.clone(), version);
                if let VersionNotice::AfterMs(ms) = notice {
                    self.schedule_after(ms, Due::LearnVersion(subject, version));
                }
            }
            ScenarioEvent::Call(plan) => self.place(PendingCall {
                plan,
                tried: Vec::new(),
                attempts_left: MAX_ATTEMPTS,
            }),
            ScenarioEvent::Crash {
                engine,
                down_ms,
                identity,
                has_base,
            } => self.crash(usize::from(engine), down_ms, identity, has_base),
            ScenarioEvent::ReadList { age_ms } => {
                self.read_list(self.now_ms.saturating_sub(age_ms))
            }
            ScenarioEvent::Takeover {
                order_pause_ms,
                adoption_ms,
                age_ms,
                knows_versions,
            } => {
                self.take_over(order_pause_ms, age_ms, knows_versions);
                for number in 0..GATEWAYS {
                    self.disconnect(&vm(number), adoption_ms);
                }
            }
            ScenarioEvent::Disconnect {
                vm: number,
                duration_ms,
            } => {
                self.planner
                    .forget_gateway(&vm(number), instant(self.now_ms));
                self.disconnect(&vm(number), duration_ms);
            }
        }
    }

    fn crash(&mut self, number: usize, down_ms: u64, identity: RestartIdentity, has_base: bool) {
        let at = number % self.engines.len();
        if !self.engines[at].is_up {
            return;
        }
        self.log(&format!(
            "{} crashes, restarts as {identity:?}",
            self.engines[at].name
        ));
        let lost: Vec<_> = self.engines[at].runs.keys().copied().collect();
        let engine = &mut self.engines[at];
        let old = engine.name.clone();
        engine.crash();
        self.reports[at].clear();
        if !matches!(identity, RestartIdentity::SameTarget) {
            self.engines_created += 1;
            engine.name = TargetName::new(&format!("e{}", self.engines_created));
        }
        if matches!(identity, RestartIdentity::NewAddress) {
            engine.address.set_port(self.engines_created);
        }
        for number in lost {
            self.retry(number, old.clone(), Some(CallOutcome::Failed));
        }
        self.schedule_after(ENTRY_TTL_MS, Due::RemoveEntry(old));
        self.schedule_after(down_ms, Due::Restart(at, has_base));
    }

    fn restart_engine(&mut self, at: usize, has_base: bool) {
        let newest = self.named.newest(&base_model());
        let engine = &mut self.engines[at];
        engine.is_up = true;
        engine.base = has_base.then_some(newest);
        let line = format!(
            "{} is up with base model version {:?}",
            engine.name, engine.base
        );
        self.log(&line);
    }

    /// Records changed reports and list entries of the engines.
    fn record_states(&mut self) {
        let oldest_ms = self.now_ms.saturating_sub(STATE_HISTORY_MS);
        for (engine, reports) in self.engines.iter().zip(&mut self.reports) {
            if !engine.is_up {
                continue;
            }
            let report = engine.report();
            if reports.last().is_none_or(|(_, last)| *last != report) {
                reports.push((self.now_ms, report));
            }
            while reports.get(1).is_some_and(|(at_ms, _)| *at_ms < oldest_ms) {
                reports.remove(0);
            }
            let entry = engine.entry();
            let entries = self.entries.entry(engine.name.clone()).or_default();
            let is_reported = |last: &Option<Arc<TargetEntry>>| {
                last.as_ref()
                    .is_some_and(|last| last.routes_like(&entry) && last.adapters == entry.adapters)
            };
            if !entries.last().is_some_and(|(_, last)| is_reported(last)) {
                entries.push((self.now_ms, Some(entry)));
            }
        }
    }

    /// Lets the holder read the list as it was at a time. A list never replaces a newer one.
    fn read_list(&mut self, as_of_ms: u64) {
        self.list_time_ms = self.list_time_ms.max(as_of_ms);
        let states = self.entries.values();
        let listed = states.filter_map(|states| {
            let mut states = states.iter().rev();
            let state = states.find(|(at_ms, _)| *at_ms <= self.list_time_ms)?;
            state.1.clone()
        });
        self.list = listed.collect();
        self.planner
            .set_targets(self.list.clone(), instant(self.now_ms));
    }

    fn take_over(&mut self, order_pause_ms: u64, age_ms: u64, knows_versions: bool) {
        self.log(&format!(
            "another VM holds the zone, orders after {order_pause_ms} ms"
        ));
        self.fencing_token += 1;
        self.planner = new_planner(self.now_ms + order_pause_ms, &self.scenario);
        self.planner.mark_takeover(instant(self.now_ms));
        self.list_time_ms = 0;
        self.read_list(self.now_ms.saturating_sub(age_ms).max(START_MS));
        if knows_versions {
            for (subject, version) in &self.known_versions {
                self.planner
                    .set_version(subject, *version, instant(self.now_ms));
            }
        } else {
            self.known_versions.clear();
        }
    }

    /// Disconnects a gateway from the holder for a time. Its unanswered requests are retried.
    fn disconnect(&mut self, vm: &VmName, duration_ms: u64) {
        self.log(&format!(
            "{vm} is disconnected from the holder for {duration_ms} ms"
        ));
        let (lost, remaining): (Vec<_>, _) = std::mem::take(&mut self.unanswered)
            .into_iter()
            .partition(|number| self.key(*number).vm == *vm);
        self.unanswered = remaining.into_iter().collect();
        for number in lost {
            if let Some(call) = self.calls.remove(&number) {
                self.schedule_after(RETRY_DELAY_MS, Due::Place(call.pending));
            }
        }
        self.connections_made += 1;
        self.disconnected.insert(vm.clone(), self.connections_made);
        self.schedule_after(
            duration_ms,
            Due::Reconnect(vm.clone(), self.connections_made),
        );
    }

    /// Reconnects a gateway, which reports its open calls.
    fn reconnect(&mut self, vm: &VmName, connection: u64) {
        if self.disconnected.get(vm) != Some(&connection) {
            return;
        }
        self.disconnected.remove(vm);
        for (number, call) in &self.calls {
            let is_reported = !call.is_closed && !call.is_untracked;
            let Some(sent) = call.sent.as_ref().filter(|_| is_reported) else {
                continue;
            };
            let key = call_key(*number, &call.pending.plan);
            let is_known = self.planner.is_current_life(&sent.target, sent.life);
            if key.vm == *vm && is_known {
                let subject = subject(call.pending.plan.subject);
                self.planner.adopt_call(key, &sent.target, &subject);
            }
        }
    }

    fn key(&self, number: u64) -> CallKey {
        call_key(number, &self.calls[&number].pending.plan)
    }

    fn place(&mut self, pending: PendingCall) {
        let plan = pending.plan;
        if self.disconnected.contains_key(&vm(plan.vm)) {
            self.place_without_holder(pending);
            return;
        }
        self.calls_created += 1;
        let number = self.calls_created;
        let key = call_key(number, &plan);
        let avoided = plan.avoids.map(|at| usize::from(at) % self.engines.len());
        let avoided = avoided.map(|at| self.engines[at].name.clone());
        let request = PlacementRequest {
            service: Default::default(),
            fingerprint: Default::default(),
            is_trial: false,
            charge: None,
            subject: subject(plan.subject),
            prompt_tokens: prompt(&plan, number).map(|(_, tokens)| tokens).sum(),
            output_tokens: 50,
            prefix: prompt(&plan, number).collect(),
            priority: 1,
            bound_ms: BOUND_MS,
            exclude: pending.tried.iter().cloned().chain(avoided).collect(),
            backing_off: Vec::new(),
            may_load: true,
            terms: PlacementTerms::Take,
        };
        let call = GatewayCall {
            pending,
            sent: None,
            is_untracked: false,
            is_closed: false,
        };
        self.calls.insert(number, call);
        self.unanswered.insert(number);
        self.planner.place(key, request, instant(self.now_ms));
    }

    /// Sends a call of a disconnected gateway to a target that is listed with the subject, without the holder's
    /// knowledge.
    fn place_without_holder(&mut self, pending: PendingCall) {
        let subject = subject(pending.plan.subject);
        let version = self.known_versions.get(&subject).copied();
        let version = version.filter(|_| subject != base_model());
        let mut listed = self.list.iter().filter(|entry| {
            !pending.tried.contains(&entry.name) && lists(entry, &subject, version.unwrap_or(0))
        });
        let Some(entry) = listed.next() else {
            self.schedule_after(RETRY_DELAY_MS, Due::Place(pending));
            return;
        };
        let sent = Destination {
            target: entry.name.clone(),
            life: entry.life,
            fetch: None,
            version: version.or_else(|| listed_version(entry, &subject)),
        };
        self.calls_created += 1;
        let number = self.calls_created;
        self.log(&format!(
            "call {number} for {subject} is sent to {} without the holder, version {:?}",
            sent.target, sent.version
        ));
        let call = GatewayCall {
            pending,
            sent: Some(sent),
            is_untracked: true,
            is_closed: false,
        };
        self.calls.insert(number, call);
        self.schedule_after(0, Due::Depart(number));
    }

    /// Carries out the actions of the planner.
    fn run_actions(&mut self) -> Result<(), String> {
        loop {
            let actions = self.planner.take_actions();
            if actions.is_empty() {
                return Ok(());
            }
            for action in actions {
                match action {
                    PlannerAction::Answer(key, answer) => self.answer(key.number, answer),
                    PlannerAction::Order(entry, order) => self.receive_order(&entry, order)?,
                    PlannerAction::FetchReport(entry) => self.request_report(&entry),
                    PlannerAction::RecordTransfer(_) | PlannerAction::RecordSlotWait(_) => {}
                }
            }
        }
    }

    fn answer(&mut self, number: u64, answer: PlacementAnswer) {
        self.unanswered.remove(&number);
        let Some(call) = self.calls.get_mut(&number) else {
            return;
        };
        let PlacementAnswer::Send {
            target,
            life,
            wait_ms,
            fetch,
            version,
            ..
        } = answer
        else {
            call.is_closed = true;
            return;
        };
        self.counts.fetches += u32::from(fetch.is_some());
        let line = format!(
            "call {number} for {} goes to {target} in {wait_ms} ms, version {version:?}, fetch {fetch:?}",
            subject(call.pending.plan.subject)
        );
        call.sent = Some(Destination {
            target,
            life,
            fetch,
            version,
        });
        self.log(&line);
        self.schedule_after(u64::from(wait_ms), Due::Depart(number));
    }

    /// Sends a call from its gateway, if its target is still listed in the life for which it was placed.
    fn depart(&mut self, number: u64) {
        let Some((plan, sent)) = self.sent(number) else {
            return;
        };
        let mut entries = self.list.iter();
        let Some(entry) = entries.find(|entry| entry.name == sent.target) else {
            self.calls
                .get_mut(&number)
                .expect("the call was sent")
                .pending
                .tried
                .push(sent.target);
            self.close(number, None, true);
            return;
        };
        if entry.life > sent.life {
            self.close(number, None, true);
            return;
        }
        self.schedule_after(plan.travel_ms, Due::Arrive(number));
        if let Some(ms) = plan.disconnect_ms {
            self.schedule_after(ms, Due::CallerDisconnect(number));
        }
    }

    fn arrive(&mut self, number: u64) {
        let Some((plan, sent)) = self.sent(number) else {
            return;
        };
        let subject = subject(plan.subject);
        let up = |engine: &EngineModel| engine.is_up && engine.name == sent.target;
        let Some(at) = self.engines.iter().position(up) else {
            self.retry(number, sent.target, Some(CallOutcome::ConnectFailed));
            return;
        };
        let engine = &mut self.engines[at];
        match engine.receive(&subject, sent.version) {
            Reception::Accepted => {
                let has_started = false;
                engine.runs.insert(
                    number,
                    EngineRun {
                        subject,
                        has_started,
                    },
                );
                let life = EngineLife {
                    at,
                    life: engine.life,
                };
                self.schedule_after(plan.fetch_ms, Due::FetchCache(number, life));
                self.schedule_after(plan.fetch_ms + plan.read_ms, Due::Start(number, life));
            }
            Reception::Misdirected => {
                let line = format!("call {number} is rejected by {}", engine.name);
                self.log(&line);
                self.counts.misdirected += 1;
                let end = CallEnd {
                    outcome: None,
                    is_missing: true,
                };
                self.close_with(number, end, true);
            }
            Reception::Deferred => self.retry(
                number,
                sent.target,
                Some(CallOutcome::Overloaded(Duration::ZERO)),
            ),
        }
    }

    /// Lets an engine fetch the cached segments that it lacks. The source serves them by subject and segment, whatever
    /// versions made them.
    fn fetch_segments(&mut self, number: u64, life: EngineLife) {
        if !self.is_running(number, life) {
            return;
        }
        let call = &self.calls[&number];
        let Some(fetch) = call.sent.as_ref().and_then(|sent| sent.fetch) else {
            return;
        };
        let plan = call.pending.plan;
        let subject = subject(plan.subject);
        let from = |engine: &&EngineModel| engine.is_up && engine.address == fetch;
        let Some(source) = self.engines.iter().find(from).cloned() else {
            return;
        };
        let mut lines = Vec::new();
        let engine = &mut self.engines[life.at];
        for (segment, _) in shared_segments(&plan) {
            if engine.cached(&subject, segment).is_some() {
                continue;
            }
            let Some(tag) = source.cached(&subject, segment) else {
                break;
            };
            engine.cache_segment(&subject, segment, tag);
            self.counts.segments += 1;
            lines.push(format!(
                "{} fetches segment {segment} for call {number} from {}, made under {tag:?}",
                engine.name, source.name
            ));
        }
        for line in lines {
            self.log(&line);
        }
    }

    /// Starts a call at its first event: its prompt has been read, using the cached segments.
    fn start_call(&mut self, number: u64, life: EngineLife) -> Result<(), String> {
        if !self.is_running(number, life) {
            return Ok(());
        }
        let plan = self.calls[&number].pending.plan;
        let subject = subject(plan.subject);
        let engine = &mut self.engines[life.at];
        let tag = engine
            .tag(&subject)
            .expect("an accepted request has a loaded subject");
        let name = engine.name.clone();
        let used = use_segments(engine, &subject, &plan, tag);
        if let Some(run) = engine.runs.get_mut(&number) {
            run.has_started = true;
        }
        self.counts.runs += 1;
        self.log(&format!("call {number} runs at {name} under {tag:?}"));
        if let Some(other) = used.iter().find(|used| **used != tag) {
            let message = format!(
                "call {number} for {subject} runs at {name} under {tag:?} and uses KV cache made under {other:?}"
            );
            self.check_rule(Rule::MatchingCache, message)?;
        }
        if !self.calls[&number].is_closed {
            self.schedule_after(plan.report_ms, Due::ReportStarted(number, tag.base));
        }
        self.schedule_after(plan.run_ms, Due::End(number, life));
        Ok(())
    }

    fn finish_call(&mut self, number: u64, life: EngineLife) {
        if !self.is_running(number, life) {
            return;
        }
        self.engines[life.at].end_run(number, self.now_ms);
        self.close(number, Some(CallOutcome::Success), false);
    }

    /// Disconnects the caller of a call. Some engines continue the request.
    fn disconnect_caller(&mut self, number: u64) {
        let Some((plan, sent)) = self.sent(number) else {
            return;
        };
        self.log(&format!("the caller of call {number} disconnects"));
        let mut engines = self.engines.iter_mut();
        if let Some(engine) = engines.find(|engine| engine.name == sent.target)
            && !plan.ignores_disconnect
        {
            engine.end_run(number, self.now_ms);
        }
        self.close(number, None, false);
    }

    /// Whether a request is at an engine in this life.
    fn is_running(&self, number: u64, life: EngineLife) -> bool {
        let engine = &self.engines[life.at];
        engine.is_up && engine.life == life.life && engine.runs.contains_key(&number)
    }

    /// Plan and destination of a call that was sent and has not ended at its gateway.
    fn sent(&self, number: u64) -> Option<(CallPlan, Destination)> {
        let call = self.calls.get(&number).filter(|call| !call.is_closed)?;
        Some((call.pending.plan, call.sent.clone()?))
    }

    /// Retries requests that were rejected because of an order on their adapter.
    fn end_deferred(&mut self) {
        for at in 0..self.engines.len() {
            let name = self.engines[at].name.clone();
            for number in self.engines[at].take_deferred() {
                self.retry(
                    number,
                    name.clone(),
                    Some(CallOutcome::Overloaded(Duration::ZERO)),
                );
            }
        }
    }

    /// Ends a call at a target and places it elsewhere.
    fn retry(&mut self, number: u64, target: TargetName, outcome: Option<CallOutcome>) {
        if let Some(call) = self.calls.get_mut(&number) {
            call.pending.tried.push(target);
        }
        self.close(number, outcome, true);
    }

    fn close(&mut self, number: u64, outcome: Option<CallOutcome>, is_retried: bool) {
        let end = CallEnd {
            outcome,
            is_missing: false,
        };
        self.close_with(number, end, is_retried);
    }

    fn close_with(&mut self, number: u64, end: CallEnd, is_retried: bool) {
        let Some(call) = self.calls.get_mut(&number).filter(|call| !call.is_closed) else {
            return;
        };
        call.is_closed = true;
        let mut pending = call.pending.clone();
        let report_ms = pending.plan.report_ms;
        pending.attempts_left -= 1;
        self.schedule_after(report_ms, Due::ReportEnded(number, end));
        if is_retried && pending.attempts_left > 0 {
            self.schedule_after(report_ms + RETRY_DELAY_MS, Due::Place(pending));
        }
    }

    fn report_started(&mut self, number: u64, base: u64) {
        if let Some(sent) = self.reachable_destination(number) {
            let now = instant(self.now_ms);
            let target = sent.target.clone();
            self.planner
                .call_started(&self.key(number), &target, Some(base), now);
        }
    }

    /// Destination of a call whose gateway can report it to the holder.
    fn reachable_destination(&self, number: u64) -> Option<&Destination> {
        let call = &self.calls[&number];
        let is_disconnected = self.disconnected.contains_key(&vm(call.pending.plan.vm));
        let is_reported = !is_disconnected && !call.is_untracked;
        call.sent.as_ref().filter(|_| is_reported)
    }

    fn report_ended(&mut self, number: u64, end: CallEnd) {
        let Some(sent) = self.reachable_destination(number).cloned() else {
            return;
        };
        let key = self.key(number);
        let now = instant(self.now_ms);
        if end.is_missing {
            self.planner.report_missing_copy(&key, &sent.target, now);
        }
        // The outcome of an earlier life does not count for the health of the current one.
        let is_known = self.planner.is_current_life(&sent.target, sent.life);
        let outcome = end.outcome.filter(|_| is_known);
        self.planner
            .call_ended(&key, Some(&sent.target), outcome, now);
    }

    fn receive_order(
        &mut self,
        entry: &Arc<TargetEntry>,
        order: EngineOrder,
    ) -> Result<(), String> {
        let fates = &self.scenario.order_fates;
        let fate = fates[self.orders_received % fates.len()];
        self.orders_received += 1;
        self.log(&format!(
            "{} is ordered: {:?} {} version {:?} expected {}, {fate:?}",
            entry.name, order.kind, order.subject, order.version, order.expected
        ));
        let (after_ms, outcome) = match fate {
            OrderFate::Answered { after_ms } => (
                after_ms,
                self.apply_order(&entry.name, &order, self.fencing_token)?,
            ),
            OrderFate::AnswerLost => {
                self.apply_order(&entry.name, &order, self.fencing_token)?;
                (TIMEOUT_MS, OrderOutcome::Unanswered)
            }
            OrderFate::Lost => (TIMEOUT_MS, OrderOutcome::Unanswered),
            OrderFate::Late { after_ms } => {
                let carried = Due::ApplyOrder(entry.name.clone(), order, self.fencing_token);
                self.schedule_after(after_ms, carried);
                (TIMEOUT_MS, OrderOutcome::Unanswered)
            }
        };
        let ended = Due::OrderEnded(Arc::clone(entry), outcome, self.fencing_token);
        self.schedule_after(after_ms, ended);
        Ok(())
    }

    /// Delivers an order to its engine, if that is up.
    fn apply_order(
        &mut self,
        target: &TargetName,
        order: &EngineOrder,
        fencing_token: u64,
    ) -> Result<OrderOutcome, String> {
        let up = |engine: &EngineModel| engine.is_up && engine.name == *target;
        let Some(at) = self.engines.iter().position(up) else {
            return Ok(OrderOutcome::Refused);
        };
        let taken = self.engines[at].accept_order(order, fencing_token, &self.named, self.now_ms);
        self.log(&format!(
            "{target} handles {:?} {} version {:?}: {taken:?}",
            order.kind, order.subject, order.version
        ));
        if let Ok(outcome) = taken {
            return Ok(outcome);
        }
        let message = format!("{target} is ordered beyond its adapter slots: {order:?}");
        self.check_rule(Rule::AdapterSlots, message)?;
        self.crash(at, OVERRUN_DOWN_MS, RestartIdentity::SameTarget, false);
        Ok(OrderOutcome::Unanswered)
    }

    fn request_report(&mut self, entry: &TargetEntry) {
        let fates = &self.scenario.report_fates;
        let fate = fates[self.reports_requested % fates.len()];
        self.reports_requested += 1;
        let up = |engine: &EngineModel| engine.is_up && engine.name == entry.name;
        let at = self.engines.iter().position(up);
        let (after_ms, report) = match (fate, at) {
            (ReportFate::Read { age_ms, after_ms }, Some(at)) => {
                (after_ms, self.report_before(at, age_ms))
            }
            _ => (TIMEOUT_MS, None),
        };
        let reported = Due::Reported(entry.name.clone(), report, self.fencing_token);
        self.schedule_after(after_ms, reported);
    }

    /// Report of an engine as of some time ago, within its current life.
    fn report_before(&self, at: usize, age_ms: u64) -> Option<EngineReport> {
        let reports = &self.reports[at];
        let as_of_ms = self.now_ms - age_ms;
        let mut newest_first = reports.iter().rev();
        let found = newest_first.find(|(from_ms, _)| *from_ms <= as_of_ms);
        found.or(reports.first()).map(|(_, report)| report.clone())
    }
}

fn call_key(number: u64, plan: &CallPlan) -> CallKey {
    CallKey {
        vm: vm(plan.vm),
        number,
    }
}

/// Whether a target is listed with a subject, an adapter in this version or a newer one.
fn lists(entry: &TargetEntry, subject: &AdapterName, version: u64) -> bool {
    if *subject == base_model() {
        return !entry.models.is_empty();
    }
    let mut adapters = entry.adapters.iter();
    adapters.any(|resident| resident.adapter == *subject && resident.version >= version)
}

/// Version of a subject in its target's entry.
fn listed_version(entry: &TargetEntry, subject: &AdapterName) -> Option<u64> {
    let mut adapters = entry.adapters.iter();
    let adapter = adapters.find(|resident| resident.adapter == *subject);
    let mut models = entry.models.iter();
    let model = models.find(|(model, _)| model == subject.as_str());
    adapter
        .map(|resident| resident.version)
        .or(model.map(|(_, version)| *version))
}

fn shared_segments(plan: &CallPlan) -> impl Iterator<Item = (u64, u32)> {
    PROMPTS[usize::from(plan.prompt)].into_iter()
}

/// Segments of a call's prompt: the shared ones and one of its own.
fn prompt(plan: &CallPlan, number: u64) -> impl Iterator<Item = (u64, u32)> {
    let own = (1_000 + number, OWN_TOKENS);
    shared_segments(plan).chain(std::iter::once(own))
}

/// Tags of the longest cached prefix of a prompt. The other segments are cached from now on.
fn use_segments(
    engine: &mut EngineModel,
    subject: &AdapterName,
    plan: &CallPlan,
    tag: CacheTag,
) -> Vec<CacheTag> {
    let cached = shared_segments(plan).map_while(|(segment, _)| engine.cached(subject, segment));
    let used = cached.collect();
    for (segment, _) in shared_segments(plan) {
        engine.cache_segment(subject, segment, tag);
    }
    used
}
