//! A zone with its engines as they truly are, its gateways, an operator and the planner, on a clock of its own.

use crate::{
    drawn::{DrawnCall, DrawnEvent, DrawnWorld, Hearing, OrderFate, ReportFate, Return},
    engine::{
        CacheTag, EngineRun, NamedVersions, PLACES, Reception, SLOTS, TrueEngine, base_model,
        instant,
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

/// When worlds begin, in ms.
const BEGIN_MS: u64 = 60_000;
/// Time for which a settled world's holder has been there, in ms: longer than an order can be late.
const SETTLED_MS: u64 = 20_000;
/// Time between two turns of the holder's regular work, in ms.
const TICK_MS: u64 = 50;
/// Time that a world goes on after its last event, in ms: longer than a call waits at three engines one after the other.
const DRAIN_MS: u64 = 9_000;
/// Longest wait that a call is placed for, in ms.
const BOUND_MS: u32 = 2_500;
/// Time after which an order or a question counts as without an answer, in ms.
const TIMEOUT_MS: u64 = 250;
/// Pause before a call is placed again, in ms.
const AGAIN_MS: u64 = 20;
/// Times that a call is placed.
const MOST_PLACINGS: u8 = 4;
/// Time after which the entry of an engine that is gone goes too, in ms.
const LAPSE_MS: u64 = 2_500;
/// Time for which an engine is away that was given more than it has places for, in ms.
const FALL_MS: u64 = 1_000;
/// Age up to which engines' states are remembered, in ms: more than reports and lists can have.
const REMEMBERED_MS: u64 = 4_000;
/// Shared parts of the prompts, and their tokens; the last part of each is the call's own.
const PROMPTS: [[(u64, u32); 2]; 2] = [[(1, 2_520), (2, 3_780)], [(1, 2_520), (3, 5_000)]];
/// Gateways of a world.
const GATEWAYS: u8 = 2;
/// Tokens of a prompt's own part.
const OWN_TOKENS: u32 = 400;

/// What has to hold in every world.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// No run uses memory that other versions made than it runs under.
    OwnMemory,
    /// No engine is ordered beyond its places.
    Places,
    /// Every call is answered.
    Answers,
    /// Some memory moves.
    Moves,
}

/// How a world came to break a rule.
#[derive(Debug)]
pub struct BrokenRule {
    pub how: String,
    pub trace: Vec<String>,
}

impl fmt::Display for BrokenRule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}", self.how)?;
        self.trace.iter().try_for_each(|line| writeln!(f, "{line}"))
    }
}

/// What happened in worlds.
#[derive(Clone, Copy, Debug, Default)]
pub struct WorldCounts {
    /// Calls that ran.
    pub runs: u32,
    /// Calls that were told of an engine to take parts from.
    pub told: u32,
    /// Parts that engines took from others.
    pub parts: u32,
    /// Calls that were turned away for what their engine lacked.
    pub misdirected: u32,
}

impl WorldCounts {
    /// Both together.
    pub fn and(self, other: Self) -> Self {
        Self {
            runs: self.runs + other.runs,
            told: self.told + other.told,
            parts: self.parts + other.parts,
            misdirected: self.misdirected + other.misdirected,
        }
    }
}

/// What is due at a moment.
#[derive(Clone, Debug)]
enum Due {
    Drawn(usize),
    Tick,
    Name(AdapterName, u64),
    Place(NewCall),
    Depart(u64),
    Arrive(u64),
    Move(u64, EngineLife),
    Begin(u64, EngineLife),
    End(u64, EngineLife),
    Quit(u64),
    TellBegun(u64, u64),
    TellEnded(u64, CallEnd),
    Adopt(VmName, u64),
    Carry(TargetName, EngineOrder, u64),
    OrderEnded(Arc<TargetEntry>, OrderOutcome, u64),
    Reported(TargetName, Option<EngineReport>, u64),
    Lapse(TargetName),
    Return(usize, bool),
}

/// How the platform lists a target from a time on, in ms; nothing once it is gone.
type ListedState = (u64, Option<Arc<TargetEntry>>);

/// An engine in one of its lives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct EngineLife {
    at: usize,
    life: u64,
}

/// A call that is to be placed.
#[derive(Clone, Debug)]
struct NewCall {
    drawn: DrawnCall,
    tried: Vec<TargetName>,
    placings_left: u8,
}

/// How a call ended, as its gateway tells it.
#[derive(Clone, Copy, Debug)]
struct CallEnd {
    outcome: Option<CallOutcome>,
    is_absent: bool,
}

/// Where a call was sent, and with what.
#[derive(Clone, Debug)]
struct SentTo {
    target: TargetName,
    life: TargetLife,
    fetch: Option<SocketAddr>,
    version: Option<u64>,
}

/// A call at its gateway.
#[derive(Clone, Debug)]
struct GatewayCall {
    new: NewCall,
    sent: Option<SentTo>,
    /// Whether the holder does not know of it.
    is_alone: bool,
    is_over: bool,
}

pub struct World {
    drawn: DrawnWorld,
    /// The rule that is looked at; what breaks another has its consequences and no more.
    rule: Rule,
    now_ms: u64,
    agenda: BTreeMap<(u64, u64), Due>,
    agenda_count: u64,
    engines: Vec<TrueEngine>,
    engines_made: u16,
    /// What reports of each engine said, with the time from which, in ms.
    reports: Vec<Vec<(u64, EngineReport)>>,
    /// The same of the platform's list.
    entries: BTreeMap<TargetName, Vec<ListedState>>,
    named: NamedVersions,
    heard: BTreeMap<AdapterName, u64>,
    planner: ZonePlanner,
    /// The holder's fencing token.
    token: u64,
    /// The time that the holder's list shows, in ms.
    listed_ms: u64,
    list: Vec<Arc<TargetEntry>>,
    calls: BTreeMap<u64, GatewayCall>,
    /// Calls that wait for the holder's answer.
    asked: BTreeSet<u64>,
    /// Gateways that are cut off, with the number of the link that they will have.
    cut: BTreeMap<VmName, u64>,
    links_made: u64,
    calls_made: u64,
    orders_given: usize,
    reports_asked: usize,
    counts: WorldCounts,
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
        slots: SLOTS,
        kv_tokens: 1_000_000,
        adapter_slots: PLACES as u32,
        loads_per_s: 3.0,
        models: vec![base_model()],
    }
}

/// Weights of a zone in which memory moves wherever its versions let it.
fn free_moves() -> PlacementPolicy {
    PlacementPolicy {
        cache_fetch_time: Duration::ZERO,
        min_fetch_saving: Duration::ZERO,
        ..PlacementPolicy::default()
    }
}

fn new_planner(orders_from_ms: u64, drawn: &DrawnWorld) -> ZonePlanner {
    let figures = EngineEstimates::per_zone(1, 3.0);
    let mut planner = ZonePlanner::new(figures, limits(), instant(orders_from_ms));
    planner.set_order_fencing(drawn.checks_fences);
    if drawn.moves_freely {
        planner.set_policy(free_moves());
    }
    // Worlds have one holder at a time.
    planner.set_lead_until(Instant(u64::MAX));
    planner
}

impl World {
    /// Plays a world to its end, or until a rule is broken.
    pub fn play(drawn: &DrawnWorld, rule: Rule) -> Result<WorldCounts, BrokenRule> {
        let mut world = Self::new(drawn.clone(), rule);
        match world.run() {
            Ok(()) => Ok(world.counts),
            Err(how) => Err(BrokenRule {
                how,
                trace: world.trace,
            }),
        }
    }

    fn new(drawn: DrawnWorld, rule: Rule) -> Self {
        let engines: Vec<_> = (1..=u16::from(drawn.engines))
            .map(|number| TrueEngine::new(number, &drawn))
            .collect();
        let mut world = Self {
            now_ms: BEGIN_MS,
            agenda: BTreeMap::new(),
            agenda_count: 0,
            engines_made: u16::from(drawn.engines),
            reports: vec![Vec::new(); engines.len()],
            engines,
            entries: BTreeMap::new(),
            named: NamedVersions::default(),
            heard: BTreeMap::new(),
            planner: new_planner(BEGIN_MS, &drawn),
            token: 1,
            listed_ms: BEGIN_MS,
            list: Vec::new(),
            calls: BTreeMap::new(),
            asked: BTreeSet::new(),
            cut: BTreeMap::new(),
            links_made: 0,
            calls_made: 0,
            orders_given: 0,
            reports_asked: 0,
            counts: WorldCounts::default(),
            trace: Vec::new(),
            rule,
            drawn,
        };
        if world.drawn.has_adapters {
            for (at, engine) in world.engines.iter_mut().enumerate() {
                engine.hold(subject(1), 1);
                engine.hold(subject(2 + at as u8 % 2), 1);
            }
        }
        world.remember();
        world.read_list(BEGIN_MS);
        world
    }

    fn run(&mut self) -> Result<(), String> {
        let pause_ms = if self.drawn.is_settled { SETTLED_MS } else { 0 };
        let mut at_ms = self.now_ms + pause_ms;
        for number in 0..self.drawn.events.len() {
            at_ms += self.drawn.events[number].0;
            self.put(at_ms, Due::Drawn(number));
        }
        let end_ms = at_ms + DRAIN_MS;
        self.put(self.now_ms, Due::Tick);
        while let Some(((at_ms, _), due)) = self.agenda.pop_first() {
            if at_ms > end_ms {
                break;
            }
            self.now_ms = at_ms;
            for engine in &mut self.engines {
                engine.advance(at_ms);
            }
            self.take(due)?;
            self.carry_out()?;
            self.end_deferred();
            self.remember();
        }
        if !self.asked.is_empty() {
            let how = format!("never answered: calls {:?}", self.asked);
            self.break_rule(Rule::Answers, how)?;
        }
        if self.counts.parts == 0 {
            self.break_rule(Rule::Moves, "no part moves".to_owned())?;
        }
        Ok(())
    }

    fn break_rule(&self, rule: Rule, how: String) -> Result<(), String> {
        if rule == self.rule { Err(how) } else { Ok(()) }
    }

    fn put(&mut self, at_ms: u64, due: Due) {
        self.agenda_count += 1;
        self.agenda.insert((at_ms, self.agenda_count), due);
    }

    fn put_after(&mut self, ms: u64, due: Due) {
        self.put(self.now_ms + ms, due);
    }

    fn note(&mut self, line: &str) {
        let at_ms = self.now_ms - BEGIN_MS;
        self.trace.push(format!("{at_ms:>6} ms: {line}"));
    }

    fn take(&mut self, due: Due) -> Result<(), String> {
        let now = instant(self.now_ms);
        match due {
            Due::Drawn(number) => self.happen(number),
            Due::Tick => {
                self.planner.tick(now);
                self.put_after(TICK_MS, Due::Tick);
            }
            Due::Name(subject, version) => {
                self.note(&format!("the holder hears of {subject} version {version}"));
                self.planner.set_version(&subject, version, now);
                self.heard.insert(subject, version);
            }
            Due::Place(new) => self.place(new),
            Due::Depart(number) => self.depart(number),
            Due::Arrive(number) => self.arrive(number),
            Due::Move(number, life) => self.move_parts(number, life),
            Due::Begin(number, life) => return self.begin(number, life),
            Due::End(number, life) => self.end(number, life),
            Due::Quit(number) => self.quit(number),
            Due::TellBegun(number, base) => self.tell_begun(number, base),
            Due::TellEnded(number, end) => self.tell_ended(number, end),
            Due::Adopt(vm, link) => self.adopt(&vm, link),
            Due::Carry(target, order, token) => {
                self.carry(&target, &order, token)?;
            }
            Due::OrderEnded(entry, outcome, token) => {
                if token == self.token && self.planner.is_current_life(&entry.name, entry.life) {
                    self.planner.order_ended(&entry.name, outcome, now);
                }
            }
            Due::Reported(target, report, token) => {
                if token == self.token {
                    self.planner.report_received(&target, report.as_ref(), now);
                }
            }
            Due::Lapse(target) => {
                if !self
                    .engines
                    .iter()
                    .any(|engine| engine.is_up && engine.name == target)
                {
                    let states = self.entries.entry(target).or_default();
                    states.push((self.now_ms, None));
                }
            }
            Due::Return(at, has_base) => self.bring_back(at, has_base),
        }
        Ok(())
    }

    fn happen(&mut self, number: usize) {
        match self.drawn.events[number].1 {
            DrawnEvent::Name {
                subject: number,
                steps,
                hearing,
            } => {
                let subject = subject(number);
                let version = self.named.newest(&subject) + steps;
                self.note(&format!("{subject} version {version} is named"));
                self.named.name(subject.clone(), version);
                if let Hearing::AfterMs(ms) = hearing {
                    self.put_after(ms, Due::Name(subject, version));
                }
            }
            DrawnEvent::Call(drawn) => self.place(NewCall {
                drawn,
                tried: Vec::new(),
                placings_left: MOST_PLACINGS,
            }),
            DrawnEvent::Crash {
                engine,
                down_ms,
                back,
                has_base,
            } => self.crash(usize::from(engine), down_ms, back, has_base),
            DrawnEvent::List { age_ms } => self.read_list(self.now_ms.saturating_sub(age_ms)),
            DrawnEvent::TakeOver {
                quiet_ms,
                adopted_ms,
                age_ms,
                knows_names,
            } => {
                self.take_over(quiet_ms, age_ms, knows_names);
                for number in 0..GATEWAYS {
                    self.cut_off(&vm(number), adopted_ms);
                }
            }
            DrawnEvent::Cut { vm: number, for_ms } => {
                self.planner
                    .forget_gateway(&vm(number), instant(self.now_ms));
                self.cut_off(&vm(number), for_ms);
            }
        }
    }

    fn crash(&mut self, number: usize, down_ms: u64, back: Return, has_base: bool) {
        let at = number % self.engines.len();
        if !self.engines[at].is_up {
            return;
        }
        self.note(&format!(
            "{} crashes, back as {back:?}",
            self.engines[at].name
        ));
        let lost: Vec<_> = self.engines[at].runs.keys().copied().collect();
        let engine = &mut self.engines[at];
        let old = engine.name.clone();
        engine.crash();
        self.reports[at].clear();
        if !matches!(back, Return::Itself) {
            self.engines_made += 1;
            engine.name = TargetName::new(&format!("e{}", self.engines_made));
        }
        if matches!(back, Return::Elsewhere) {
            engine.address.set_port(self.engines_made);
        }
        for number in lost {
            self.retry(number, old.clone(), Some(CallOutcome::Failed));
        }
        self.put_after(LAPSE_MS, Due::Lapse(old));
        self.put_after(down_ms, Due::Return(at, has_base));
    }

    fn bring_back(&mut self, at: usize, has_base: bool) {
        let newest = self.named.newest(&base_model());
        let engine = &mut self.engines[at];
        engine.is_up = true;
        engine.base = has_base.then_some(newest);
        let line = format!("{} is up with weights {:?}", engine.name, engine.base);
        self.note(&line);
    }

    /// Notes what engines would say of themselves from now on.
    fn remember(&mut self) {
        let oldest_ms = self.now_ms.saturating_sub(REMEMBERED_MS);
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
            let is_told = |last: &Option<Arc<TargetEntry>>| {
                last.as_ref()
                    .is_some_and(|last| last.routes_like(&entry) && last.adapters == entry.adapters)
            };
            if !entries.last().is_some_and(|(_, last)| is_told(last)) {
                entries.push((self.now_ms, Some(entry)));
            }
        }
    }

    /// The holder reads the list as it was at a time; lists don't go back.
    fn read_list(&mut self, as_of_ms: u64) {
        self.listed_ms = self.listed_ms.max(as_of_ms);
        let states = self.entries.values();
        let listed = states.filter_map(|states| {
            let mut states = states.iter().rev();
            let state = states.find(|(at_ms, _)| *at_ms <= self.listed_ms)?;
            state.1.clone()
        });
        self.list = listed.collect();
        self.planner
            .set_targets(self.list.clone(), instant(self.now_ms));
    }

    fn take_over(&mut self, quiet_ms: u64, age_ms: u64, knows_names: bool) {
        self.note(&format!(
            "another VM holds the zone, orders after {quiet_ms} ms"
        ));
        self.token += 1;
        self.planner = new_planner(self.now_ms + quiet_ms, &self.drawn);
        self.planner.mark_takeover(instant(self.now_ms));
        self.listed_ms = 0;
        self.read_list(self.now_ms.saturating_sub(age_ms).max(BEGIN_MS));
        if knows_names {
            for (subject, version) in &self.heard {
                self.planner
                    .set_version(subject, *version, instant(self.now_ms));
            }
        } else {
            self.heard.clear();
        }
    }

    /// A gateway has no link to the holder for a time; its questions without an answer are asked anew.
    fn cut_off(&mut self, vm: &VmName, for_ms: u64) {
        self.note(&format!("{vm} is cut off for {for_ms} ms"));
        let (lost, kept): (Vec<_>, _) = std::mem::take(&mut self.asked)
            .into_iter()
            .partition(|number| self.key(*number).vm == *vm);
        self.asked = kept.into_iter().collect();
        for number in lost {
            if let Some(call) = self.calls.remove(&number) {
                self.put_after(AGAIN_MS, Due::Place(call.new));
            }
        }
        self.links_made += 1;
        self.cut.insert(vm.clone(), self.links_made);
        self.put_after(for_ms, Due::Adopt(vm.clone(), self.links_made));
    }

    /// A gateway has a link again, and tells of the calls that it has open.
    fn adopt(&mut self, vm: &VmName, link: u64) {
        if self.cut.get(vm) != Some(&link) {
            return;
        }
        self.cut.remove(vm);
        for (number, call) in &self.calls {
            let is_told = !call.is_over && !call.is_alone;
            let Some(sent) = call.sent.as_ref().filter(|_| is_told) else {
                continue;
            };
            let key = call_key(*number, &call.new.drawn);
            let is_known = self.planner.is_current_life(&sent.target, sent.life);
            if key.vm == *vm && is_known {
                let subject = subject(call.new.drawn.subject);
                self.planner.adopt_call(key, &sent.target, &subject);
            }
        }
    }

    fn key(&self, number: u64) -> CallKey {
        call_key(number, &self.calls[&number].new.drawn)
    }

    fn place(&mut self, new: NewCall) {
        let drawn = new.drawn;
        if self.cut.contains_key(&vm(drawn.vm)) {
            self.place_alone(new);
            return;
        }
        self.calls_made += 1;
        let number = self.calls_made;
        let key = call_key(number, &drawn);
        let avoided = drawn.avoids.map(|at| usize::from(at) % self.engines.len());
        let avoided = avoided.map(|at| self.engines[at].name.clone());
        let ask = PlacementRequest {
            fingerprint: Default::default(),
            is_trial: false,
            charge: None,
            subject: subject(drawn.subject),
            prompt_tokens: prompt(&drawn, number).map(|(_, tokens)| tokens).sum(),
            output_tokens: 50,
            prefix: prompt(&drawn, number).collect(),
            priority: 1,
            bound_ms: BOUND_MS,
            exclude: new.tried.iter().cloned().chain(avoided).collect(),
            resting: Vec::new(),
            may_load: true,
            terms: PlacementTerms::Take,
        };
        let call = GatewayCall {
            new,
            sent: None,
            is_alone: false,
            is_over: false,
        };
        self.calls.insert(number, call);
        self.asked.insert(number);
        self.planner.place(key, ask, instant(self.now_ms));
    }

    /// A gateway that has no link to the holder sends a call to a target that is listed with what it asks for, and tells nobody.
    fn place_alone(&mut self, new: NewCall) {
        let subject = subject(new.drawn.subject);
        let version = self.heard.get(&subject).copied();
        let version = version.filter(|_| subject != base_model());
        let mut listed = self.list.iter().filter(|entry| {
            !new.tried.contains(&entry.name) && lists(entry, &subject, version.unwrap_or(0))
        });
        let Some(entry) = listed.next() else {
            self.put_after(AGAIN_MS, Due::Place(new));
            return;
        };
        let sent = SentTo {
            target: entry.name.clone(),
            life: entry.life,
            fetch: None,
            version: version.or_else(|| listed_version(entry, &subject)),
        };
        self.calls_made += 1;
        let number = self.calls_made;
        self.note(&format!(
            "call {number} for {subject} is sent to {} without the holder, version {:?}",
            sent.target, sent.version
        ));
        let call = GatewayCall {
            new,
            sent: Some(sent),
            is_alone: true,
            is_over: false,
        };
        self.calls.insert(number, call);
        self.put_after(0, Due::Depart(number));
    }

    /// Does what the planner wants done.
    fn carry_out(&mut self) -> Result<(), String> {
        loop {
            let actions = self.planner.take_actions();
            if actions.is_empty() {
                return Ok(());
            }
            for action in actions {
                match action {
                    PlannerAction::Answer(key, answer) => self.answer(key.number, answer),
                    PlannerAction::Order(entry, order) => self.order(&entry, order)?,
                    PlannerAction::FetchReport(entry) => self.ask_report(&entry),
                    PlannerAction::RecordTransfer(_) => {}
                }
            }
        }
    }

    fn answer(&mut self, number: u64, answer: PlacementAnswer) {
        self.asked.remove(&number);
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
            call.is_over = true;
            return;
        };
        self.counts.told += u32::from(fetch.is_some());
        let line = format!(
            "call {number} for {} goes to {target} in {wait_ms} ms, version {version:?}, fetch {fetch:?}",
            subject(call.new.drawn.subject)
        );
        call.sent = Some(SentTo {
            target,
            life,
            fetch,
            version,
        });
        self.note(&line);
        self.put_after(u64::from(wait_ms), Due::Depart(number));
    }

    /// A call leaves its gateway, if its target is still listed in the life that it was placed at.
    fn depart(&mut self, number: u64) {
        let Some((drawn, sent)) = self.sent(number) else {
            return;
        };
        let mut entries = self.list.iter();
        let Some(entry) = entries.find(|entry| entry.name == sent.target) else {
            self.calls
                .get_mut(&number)
                .expect("it is sent")
                .new
                .tried
                .push(sent.target);
            self.close(number, None, true);
            return;
        };
        if entry.life > sent.life {
            self.close(number, None, true);
            return;
        }
        self.put_after(drawn.travel_ms, Due::Arrive(number));
        if let Some(ms) = drawn.quits_ms {
            self.put_after(ms, Due::Quit(number));
        }
    }

    fn arrive(&mut self, number: u64) {
        let Some((drawn, sent)) = self.sent(number) else {
            return;
        };
        let subject = subject(drawn.subject);
        let up = |engine: &TrueEngine| engine.is_up && engine.name == sent.target;
        let Some(at) = self.engines.iter().position(up) else {
            self.retry(number, sent.target, Some(CallOutcome::ConnectFailed));
            return;
        };
        let engine = &mut self.engines[at];
        match engine.receive(&subject, sent.version) {
            Reception::Taken => {
                let has_begun = false;
                engine.runs.insert(number, EngineRun { subject, has_begun });
                let life = EngineLife {
                    at,
                    life: engine.life,
                };
                self.put_after(drawn.move_ms, Due::Move(number, life));
                self.put_after(drawn.move_ms + drawn.read_ms, Due::Begin(number, life));
            }
            Reception::Misdirected => {
                let line = format!("call {number} is turned away by {}", engine.name);
                self.note(&line);
                self.counts.misdirected += 1;
                let end = CallEnd {
                    outcome: None,
                    is_absent: true,
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

    /// An engine takes what another one has kept of a prompt beyond its own, by name of adapter and part.
    fn move_parts(&mut self, number: u64, life: EngineLife) {
        if !self.runs(number, life) {
            return;
        }
        let call = &self.calls[&number];
        let Some(fetch) = call.sent.as_ref().and_then(|sent| sent.fetch) else {
            return;
        };
        let drawn = call.new.drawn;
        let subject = subject(drawn.subject);
        let from = |engine: &&TrueEngine| engine.is_up && engine.address == fetch;
        let Some(source) = self.engines.iter().find(from).cloned() else {
            return;
        };
        let mut lines = Vec::new();
        let engine = &mut self.engines[life.at];
        for (part, _) in shared_parts(&drawn) {
            if engine.kept(&subject, part).is_some() {
                continue;
            }
            let Some(mark) = source.kept(&subject, part) else {
                break;
            };
            engine.keep(&subject, part, mark);
            self.counts.parts += 1;
            lines.push(format!(
                "{} takes part {part} for call {number} from {}, made under {mark:?}",
                engine.name, source.name
            ));
        }
        for line in lines {
            self.note(&line);
        }
    }

    /// A call's first event: its prompt is read, what was kept of it used.
    fn begin(&mut self, number: u64, life: EngineLife) -> Result<(), String> {
        if !self.runs(number, life) {
            return Ok(());
        }
        let drawn = self.calls[&number].new.drawn;
        let subject = subject(drawn.subject);
        let engine = &mut self.engines[life.at];
        let mark = engine
            .mark(&subject)
            .expect("requests wait for what is there");
        let name = engine.name.clone();
        let used = use_parts(engine, &subject, &drawn, mark);
        if let Some(run) = engine.runs.get_mut(&number) {
            run.has_begun = true;
        }
        self.counts.runs += 1;
        self.note(&format!("call {number} runs at {name} under {mark:?}"));
        if let Some(other) = used.iter().find(|used| **used != mark) {
            let how = format!(
                "call {number} for {subject} runs at {name} under {mark:?} and uses memory made under {other:?}"
            );
            self.break_rule(Rule::OwnMemory, how)?;
        }
        if !self.calls[&number].is_over {
            self.put_after(drawn.tell_ms, Due::TellBegun(number, mark.base));
        }
        self.put_after(drawn.run_ms, Due::End(number, life));
        Ok(())
    }

    fn end(&mut self, number: u64, life: EngineLife) {
        if !self.runs(number, life) {
            return;
        }
        self.engines[life.at].end_run(number, self.now_ms);
        self.close(number, Some(CallOutcome::Success), false);
    }

    /// A caller leaves; some engines go on with its request.
    fn quit(&mut self, number: u64) {
        let Some((drawn, sent)) = self.sent(number) else {
            return;
        };
        self.note(&format!("the caller of call {number} leaves"));
        let mut engines = self.engines.iter_mut();
        if let Some(engine) = engines.find(|engine| engine.name == sent.target)
            && !drawn.runs_on
        {
            engine.end_run(number, self.now_ms);
        }
        self.close(number, None, false);
    }

    /// Whether a request is at an engine in this life of it.
    fn runs(&self, number: u64, life: EngineLife) -> bool {
        let engine = &self.engines[life.at];
        engine.is_up && engine.life == life.life && engine.runs.contains_key(&number)
    }

    /// A call that was sent and is not over at its gateway.
    fn sent(&self, number: u64) -> Option<(DrawnCall, SentTo)> {
        let call = self.calls.get(&number).filter(|call| !call.is_over)?;
        Some((call.new.drawn, call.sent.clone()?))
    }

    /// Requests that were turned away as an order on their adapter came between.
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

    /// A call is over at a target and is placed elsewhere.
    fn retry(&mut self, number: u64, target: TargetName, outcome: Option<CallOutcome>) {
        if let Some(call) = self.calls.get_mut(&number) {
            call.new.tried.push(target);
        }
        self.close(number, outcome, true);
    }

    fn close(&mut self, number: u64, outcome: Option<CallOutcome>, is_retried: bool) {
        let end = CallEnd {
            outcome,
            is_absent: false,
        };
        self.close_with(number, end, is_retried);
    }

    fn close_with(&mut self, number: u64, end: CallEnd, is_retried: bool) {
        let Some(call) = self.calls.get_mut(&number).filter(|call| !call.is_over) else {
            return;
        };
        call.is_over = true;
        let mut new = call.new.clone();
        let tell_ms = new.drawn.tell_ms;
        new.placings_left -= 1;
        self.put_after(tell_ms, Due::TellEnded(number, end));
        if is_retried && new.placings_left > 0 {
            self.put_after(tell_ms + AGAIN_MS, Due::Place(new));
        }
    }

    fn tell_begun(&mut self, number: u64, base: u64) {
        if let Some(sent) = self.told_of(number) {
            let now = instant(self.now_ms);
            let target = sent.target.clone();
            self.planner
                .call_started(&self.key(number), &target, Some(base), now);
        }
    }

    /// Where a call was sent, if its gateway can tell the holder of it.
    fn told_of(&self, number: u64) -> Option<&SentTo> {
        let call = &self.calls[&number];
        let is_cut = self.cut.contains_key(&vm(call.new.drawn.vm));
        let is_told = !is_cut && !call.is_alone;
        call.sent.as_ref().filter(|_| is_told)
    }

    fn tell_ended(&mut self, number: u64, end: CallEnd) {
        let Some(sent) = self.told_of(number).cloned() else {
            return;
        };
        let key = self.key(number);
        let now = instant(self.now_ms);
        if end.is_absent {
            self.planner.report_missing_copy(&key, &sent.target, now);
        }
        // What an earlier life did says nothing about this one.
        let is_known = self.planner.is_current_life(&sent.target, sent.life);
        let outcome = end.outcome.filter(|_| is_known);
        self.planner
            .call_ended(&key, Some(&sent.target), outcome, now);
    }

    fn order(&mut self, entry: &Arc<TargetEntry>, order: EngineOrder) -> Result<(), String> {
        let fates = &self.drawn.order_fates;
        let fate = fates[self.orders_given % fates.len()];
        self.orders_given += 1;
        self.note(&format!(
            "{} is ordered: {:?} {} version {:?} expected {}, {fate:?}",
            entry.name, order.kind, order.subject, order.version, order.expected
        ));
        let (after_ms, outcome) = match fate {
            OrderFate::Answered { after_ms } => {
                (after_ms, self.carry(&entry.name, &order, self.token)?)
            }
            OrderFate::Unheard => {
                self.carry(&entry.name, &order, self.token)?;
                (TIMEOUT_MS, OrderOutcome::Unanswered)
            }
            OrderFate::Lost => (TIMEOUT_MS, OrderOutcome::Unanswered),
            OrderFate::Late { after_ms } => {
                let carried = Due::Carry(entry.name.clone(), order, self.token);
                self.put_after(after_ms, carried);
                (TIMEOUT_MS, OrderOutcome::Unanswered)
            }
        };
        let ended = Due::OrderEnded(Arc::clone(entry), outcome, self.token);
        self.put_after(after_ms, ended);
        Ok(())
    }

    /// An order reaches its engine, if that is there.
    fn carry(
        &mut self,
        target: &TargetName,
        order: &EngineOrder,
        token: u64,
    ) -> Result<OrderOutcome, String> {
        let up = |engine: &TrueEngine| engine.is_up && engine.name == *target;
        let Some(at) = self.engines.iter().position(up) else {
            return Ok(OrderOutcome::Refused);
        };
        let taken = self.engines[at].take(order, token, &self.named, self.now_ms);
        self.note(&format!(
            "{target} takes {:?} {} version {:?}: {taken:?}",
            order.kind, order.subject, order.version
        ));
        if let Ok(outcome) = taken {
            return Ok(outcome);
        }
        let how = format!("{target} is ordered beyond its places: {order:?}");
        self.break_rule(Rule::Places, how)?;
        self.crash(at, FALL_MS, Return::Itself, false);
        Ok(OrderOutcome::Unanswered)
    }

    fn ask_report(&mut self, entry: &TargetEntry) {
        let fates = &self.drawn.report_fates;
        let fate = fates[self.reports_asked % fates.len()];
        self.reports_asked += 1;
        let up = |engine: &TrueEngine| engine.is_up && engine.name == entry.name;
        let at = self.engines.iter().position(up);
        let (after_ms, report) = match (fate, at) {
            (ReportFate::Read { age_ms, after_ms }, Some(at)) => {
                (after_ms, self.report_before(at, age_ms))
            }
            _ => (TIMEOUT_MS, None),
        };
        let reported = Due::Reported(entry.name.clone(), report, self.token);
        self.put_after(after_ms, reported);
    }

    /// What an engine said of itself some time ago, in the life that it has.
    fn report_before(&self, at: usize, age_ms: u64) -> Option<EngineReport> {
        let reports = &self.reports[at];
        let as_of_ms = self.now_ms - age_ms;
        let mut newest_first = reports.iter().rev();
        let said = newest_first.find(|(from_ms, _)| *from_ms <= as_of_ms);
        said.or(reports.first()).map(|(_, report)| report.clone())
    }
}

fn call_key(number: u64, drawn: &DrawnCall) -> CallKey {
    CallKey {
        vm: vm(drawn.vm),
        number,
    }
}

/// Whether a target is listed with what a call asks for, an adapter in this version at least.
fn lists(entry: &TargetEntry, subject: &AdapterName, version: u64) -> bool {
    if *subject == base_model() {
        return !entry.models.is_empty();
    }
    let mut adapters = entry.adapters.iter();
    adapters.any(|resident| resident.adapter == *subject && resident.version >= version)
}

/// The version of what a call asks for, by its target's entry.
fn listed_version(entry: &TargetEntry, subject: &AdapterName) -> Option<u64> {
    let mut adapters = entry.adapters.iter();
    let adapter = adapters.find(|resident| resident.adapter == *subject);
    let mut models = entry.models.iter();
    let model = models.find(|(model, _)| model == subject.as_str());
    adapter
        .map(|resident| resident.version)
        .or(model.map(|(_, version)| *version))
}

fn shared_parts(drawn: &DrawnCall) -> impl Iterator<Item = (u64, u32)> {
    PROMPTS[usize::from(drawn.prompt)].into_iter()
}

/// A call's prompt: its shared parts, and one of its own.
fn prompt(drawn: &DrawnCall, number: u64) -> impl Iterator<Item = (u64, u32)> {
    let own = (1_000 + number, OWN_TOKENS);
    shared_parts(drawn).chain(std::iter::once(own))
}

/// What made the parts of a prompt that an engine has kept, one after the other; it keeps the others from now on.
fn use_parts(
    engine: &mut TrueEngine,
    subject: &AdapterName,
    drawn: &DrawnCall,
    mark: CacheTag,
) -> Vec<CacheTag> {
    let kept = shared_parts(drawn).map_while(|(part, _)| engine.kept(subject, part));
    let used = kept.collect();
    for (part, _) in shared_parts(drawn) {
        engine.keep(subject, part, mark);
    }
    used
}
