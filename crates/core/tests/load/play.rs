//! A small model of a zone: callers who ask, engines that read prompts and stream, and a store that loads adapters.

use hoplanding_core::{
    direct::{
        catalog::{ResidentAdapter, TargetEntry, TargetStage},
        config::EngineLimits,
        engine::{EngineReport, OrderKind, OrderOutcome},
        planner::{
            CallKey, EngineEstimates, PlacementAnswer, PlacementRequest, PlannerAction, ZonePlanner,
        },
        policy::PlacementPolicy,
        search::ZoneSearch,
    },
    ids::{AdapterName, AvailabilityZone, Instant, ServiceName, TargetLife, TargetName, VmName},
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use rand_distr::{Distribution, Exp, LogNormal, Zipf};
use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    env,
    net::SocketAddr,
    ops::Range,
    sync::Arc,
    time::Duration,
};

/// Time for which a holder knows that there is no other.
const LEAD: Duration = Duration::from_secs(3);
/// Time between two entries of an engine in the platform's list.
const BEAT_MICROS: u64 = 1_200_000;
/// Virtual microseconds of one step of the play.
const STEP_MICROS: u64 = 1_000;
/// Time of an adapter from the store, in microseconds.
const LOAD_MICROS: u64 = 250_000;
/// Shared parts that an engine keeps.
const KEPT_PARTS: usize = 30;
/// Adapters that callers ask for.
const ADAPTERS: u32 = 60;
/// Places of an engine.
const PLACES: u32 = 9;

/// A kind of call: like the case reviews, summaries and chats of the users' sheets.
#[derive(Clone, Copy, Debug)]
pub struct CallClass {
    /// Calls a second.
    pub per_s: f64,
    /// Mean tokens of a prompt, and how far they spread (sigma of their logarithm).
    pub tokens: f64,
    pub spread: f64,
    /// Tokens that it makes.
    pub output: u32,
    /// Rank of its route.
    pub rank: u8,
    /// Objective for the first event, in ms.
    pub objective_ms: u64,
    /// Time that a caller waits for its first event, in ms.
    pub patience_ms: u64,
    /// Tokens of its prompt that other calls share, and how many different ones there are of them.
    pub shared: (u32, u32),
}

/// Long prompts of lower rank: 9,190 tokens in the mean, a few four times as long.
pub const CASE: CallClass = CallClass {
    per_s: 8.0,
    tokens: 9_190.0,
    spread: 0.5,
    output: 52,
    rank: 1,
    objective_ms: 800,
    patience_ms: 3_200,
    shared: (0, 1),
};

/// Short prompts of the highest rank and long answers.
pub const CHAT: CallClass = CallClass {
    per_s: 9.0,
    tokens: 826.0,
    spread: 0.7,
    output: 292,
    rank: 0,
    objective_ms: 600,
    patience_ms: 2_400,
    shared: (0, 1),
};

/// How an engine is.
#[derive(Clone, Copy, Debug)]
pub struct EngineKind {
    /// Prompt tokens that it reads in a ms.
    pub tokens_per_ms: f64,
    /// Time that it is slower by a factor: from, to (in ms of the play), factor.
    pub slow: Option<(u64, u64, f64)>,
}

/// An engine that reads this many tokens a ms all the time.
pub fn steady(tokens_per_ms: f64) -> EngineKind {
    EngineKind {
        tokens_per_ms,
        slow: None,
    }
}

/// What callers of a class got.
#[derive(Clone, Debug, Default)]
pub struct CallerShares {
    pub asked: f64,
    pub in_time: f64,
    pub late: f64,
    pub refused: f64,
    /// Left before the first event, with an engine at work or not.
    pub left: f64,
    /// Waits of the refused until they were told, in ms.
    pub refusal_waits: Vec<u64>,
}

impl CallerShares {
    pub fn part_in_time(&self) -> f64 {
        self.in_time / self.asked
    }

    pub fn part_served(&self) -> f64 {
        (self.in_time + self.late) / self.asked
    }
}

struct SentPrompt {
    key: CallKey,
    tokens: u32,
    /// The shared part, by adapter.
    part: (u32, u64, u32),
    fetch: Option<SocketAddr>,
    rank: u8,
    reaches_at: u64,
}

struct ModelEngine {
    kind: EngineKind,
    zone: usize,
    waiting: Vec<SentPrompt>,
    /// The prompt being read, and the tokens left of it.
    reading: Option<(SentPrompt, f64)>,
    /// Streams that go on until a time.
    streaming: Vec<(CallKey, u64)>,
    adapters: Vec<AdapterName>,
    sequence: u64,
    address: SocketAddr,
    /// Shared parts that it has read, by adapter, those used last at the end.
    kept: VecDeque<(u32, u64)>,
}

struct OpenCall {
    adapter: u32,
    /// Zones in the order in which they are asked.
    zones: Vec<usize>,
    search: ZoneSearch,
    class: usize,
    arrived: u64,
    tokens: u32,
    part: u64,
    target: Option<TargetName>,
}

/// One play.
pub struct LoadPlay {
    planners: Vec<ZonePlanner>,
    policy: PlacementPolicy,
    places: u32,
    engines: BTreeMap<TargetName, ModelEngine>,
    classes: Vec<CallClass>,
    next_arrival: Vec<u64>,
    open: HashMap<u64, OpenCall>,
    shares: Vec<CallerShares>,
    random: StdRng,
    next_number: u64,
    /// Whether the planner is told of first events.
    pub tells_first_events: bool,
}

fn limits(places: u32) -> EngineLimits {
    EngineLimits {
        slots: 64,
        kv_tokens: 250_000,
        adapter_slots: places,
        loads_per_s: 2.8,
        models: vec![AdapterName::new("base")],
    }
}

/// An address of its own for each engine of a play.
fn address(name: &str) -> SocketAddr {
    let hash = name
        .bytes()
        .fold(0_u32, |hash, byte| hash * 31 % 50_021 + u32::from(byte));
    let port = u16::try_from(1_000 + hash).expect("a port");
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn entry(name: &str) -> Arc<TargetEntry> {
    Arc::new(TargetEntry {
        name: TargetName::new(name),
        life: TargetLife::default(),
        service: ServiceName::new("llm"),
        address: address(name),
        zone: AvailabilityZone::new("a"),
        slots: 64,
        stage: TargetStage::Ready,
        remaining: None,
        warmup_remaining: Duration::ZERO,
        orders_taken: 0,
        models: vec![("base".to_owned(), 1)],
        adapters: Vec::new(),
    })
}

fn key(number: u64) -> CallKey {
    CallKey {
        vm: VmName::new("vm"),
        number,
    }
}

/// A planner whose engines were found empty but for the base model.
fn planner(names: &[String], zones: u32) -> ZonePlanner {
    let now = Instant::default();
    let mut planner = ZonePlanner::new(EngineEstimates::per_zone(zones, 2.8), limits(PLACES), now);
    planner.set_targets(names.iter().map(|name| entry(name)).collect(), now);
    planner.tick(now);
    let report = EngineReport {
        // The load of the base model.
        orders_taken: 1,
        models: vec![(AdapterName::new("base"), 1)],
        ..EngineReport::default()
    };
    for name in names {
        planner.report_received(&TargetName::new(name), Some(&report), now);
    }
    planner.take_actions();
    planner
}

impl LoadPlay {
    /// One zone of engines.
    pub fn new(kinds: &[EngineKind], classes: &[CallClass], seed: u64) -> Self {
        Self::over_zones(&[kinds], classes, seed)
    }

    /// Several zones of engines before one store.
    pub fn over_zones(zones: &[&[EngineKind]], classes: &[CallClass], seed: u64) -> Self {
        let mut engines = BTreeMap::new();
        let mut planners = Vec::new();
        let count = u32::try_from(zones.len()).expect("few zones");
        for (zone, kinds) in zones.iter().enumerate() {
            let names: Vec<_> = (0..kinds.len()).map(|at| format!("e{zone}-{at}")).collect();
            planners.push(planner(&names, count));
            for (name, kind) in names.iter().zip(*kinds) {
                let engine = ModelEngine {
                    kind: *kind,
                    zone,
                    waiting: Vec::new(),
                    reading: None,
                    streaming: Vec::new(),
                    adapters: Vec::new(),
                    sequence: 1,
                    address: address(name),
                    kept: VecDeque::new(),
                };
                engines.insert(TargetName::new(name), engine);
            }
        }
        Self {
            planners,
            policy: PlacementPolicy::default(),
            places: PLACES,
            engines,
            classes: classes.to_vec(),
            next_arrival: vec![0; classes.len()],
            open: HashMap::new(),
            shares: vec![CallerShares::default(); classes.len()],
            random: StdRng::seed_from_u64(seed),
            next_number: 0,
            tells_first_events: true,
        }
    }

    /// Gives every engine places for all adapters, so that nothing but reading decides.
    pub fn give_room(&mut self) {
        self.places = ADAPTERS;
        for planner in &mut self.planners {
            planner.set_limits(limits(ADAPTERS));
        }
    }

    /// Decides with another policy.
    pub fn set_policy(&mut self, policy: PlacementPolicy) {
        self.policy = policy;
        for planner in &mut self.planners {
            planner.set_policy(policy);
        }
    }

    /// Plays a span, and says what the callers of each class got of it.
    pub fn run(mut self, span: Duration) -> Vec<CallerShares> {
        let end = u64::try_from(span.as_micros()).expect("a short span");
        // Calls of the last moments have their time, too: else they count as not served, though nobody has left.
        let patience_ms = self.classes.iter().map(|class| class.patience_ms).max();
        let over = end + patience_ms.unwrap_or_default() * 1_000;
        let mut now = 0;
        while now < over {
            if now < end {
                self.arrive(now);
            }
            if now % 50_000 == 0 {
                for planner in &mut self.planners {
                    planner.set_sole_until(Instant(now).after(LEAD));
                    planner.tick(Instant(now));
                }
            }
            if now % BEAT_MICROS == 0 {
                self.list(now);
            }
            self.carry_out(now);
            self.work(now);
            self.leave(now);
            now += STEP_MICROS;
        }
        self.shares
    }

    /// The platform's list says what the engines hold.
    fn list(&mut self, now: u64) {
        for (zone, planner) in self.planners.iter_mut().enumerate() {
            let engines = self
                .engines
                .iter()
                .filter(|(_, engine)| engine.zone == zone);
            let entries = engines.map(|(name, engine)| {
                let held = engine.adapters.iter().map(|adapter| ResidentAdapter {
                    adapter: adapter.clone(),
                    version: 1,
                });
                Arc::new(TargetEntry {
                    orders_taken: engine.sequence,
                    adapters: held.collect(),
                    ..(*entry(name.as_str())).clone()
                })
            });
            planner.set_targets(entries.collect(), Instant(now));
        }
    }

    fn arrive(&mut self, now: u64) {
        for at in 0..self.classes.len() {
            while self.next_arrival[at] <= now {
                let class = self.classes[at];
                let gap = Exp::new(class.per_s).expect("a rate");
                self.next_arrival[at] += (gap.sample(&mut self.random) * 1e6) as u64;
                self.ask(at, class, now);
            }
        }
    }

    fn ask(&mut self, at: usize, class: CallClass, now: u64) {
        let mean = class.tokens.ln() - class.spread * class.spread / 2.0;
        let size = LogNormal::new(mean, class.spread).expect("a spread");
        let tokens = size.sample(&mut self.random).min(39_600.0) as u32 + 1;
        let popular = Zipf::new(f64::from(ADAPTERS), 1.2).expect("a skew");
        let adapter = popular.sample(&mut self.random) as u32;
        let number = self.next_number;
        self.next_number += 1;
        let count = self.planners.len();
        // The most popular adapters are at home where their callers are.
        let own = self.random.random_range(0..count);
        let home = if adapter <= 3 {
            own
        } else {
            adapter as usize % count
        };
        let call = OpenCall {
            adapter,
            zones: (0..count).map(|turn| (home + turn) % count).collect(),
            search: ZoneSearch::new(self.policy, count),
            class: at,
            arrived: now,
            tokens,
            part: u64::from(self.random.random_range(0..class.shared.1)),
            target: None,
        };
        self.open.insert(number, call);
        self.shares[at].asked += 1.0;
        self.next_query(number, now);
    }

    /// Puts a call's next question; it is refused where there is none.
    fn next_query(&mut self, number: u64, now: u64) {
        let Some(call) = self.open.get_mut(&number) else {
            return;
        };
        let class = self.classes[call.class];
        let Some(question) = call.search.next_query() else {
            let shares = &mut self.shares[call.class];
            shares.refused += 1.0;
            shares.refusal_waits.push((now - call.arrived) / 1_000);
            self.open.remove(&number);
            return;
        };
        let objective = Duration::from_millis(class.objective_ms);
        let left = objective.saturating_sub(Duration::from_micros(now - call.arrived));
        let bound = call
            .search
            .max_wait(question.pass, class.rank, objective, left);
        let ask = PlacementRequest {
            fingerprint: Default::default(),
            is_trial: false,
            charge: None,
            subject: AdapterName::new(&format!("base/a{}", call.adapter)),
            prompt_tokens: call.tokens,
            output_tokens: class.output,
            prefix: vec![(call.part, class.shared.0), (number | 1 << 40, call.tokens)],
            priority: class.rank,
            bound_ms: bound.as_millis() as u32,
            exclude: Vec::new(),
            backing_off: Vec::new(),
            may_load: question.may_load,
            terms: question.terms,
        };
        let zone = call.zones[question.zone];
        self.planners[zone].place(key(number), ask, Instant(now));
    }

    fn carry_out(&mut self, now: u64) {
        loop {
            let mut is_quiet = true;
            for zone in 0..self.planners.len() {
                for action in self.planners[zone].take_actions() {
                    is_quiet = false;
                    self.take_action(zone, action, now);
                }
            }
            if is_quiet {
                return;
            }
        }
    }

    fn take_action(&mut self, zone: usize, action: PlannerAction, now: u64) {
        let planner = &mut self.planners[zone];
        match action {
            PlannerAction::Answer(key, answer) => self.take_answer(zone, &key, answer, now),
            PlannerAction::Order(entry, order) => {
                let engine = self.engines.get_mut(&entry.name).expect("an engine");
                engine.sequence += 1;
                let outcome = match order.kind {
                    OrderKind::Load => {
                        engine.adapters.push(order.subject);
                        assert!(engine.adapters.len() <= self.places as usize, "overfilled");
                        OrderOutcome::Begun
                    }
                    OrderKind::Unload => {
                        engine.adapters.retain(|held| *held != order.subject);
                        engine.forget_parts(&order.subject);
                        OrderOutcome::Done
                    }
                };
                planner.order_ended(&entry.name, outcome, Instant(now));
            }
            PlannerAction::FetchReport(entry) => {
                planner.report_received(&entry.name, None, Instant(now));
            }
            PlannerAction::RecordTransfer(_) => {}
        }
    }

    fn take_answer(&mut self, zone: usize, key: &CallKey, answer: PlacementAnswer, now: u64) {
        let Some(call) = self.open.get_mut(&key.number) else {
            return;
        };
        match answer {
            PlacementAnswer::Send {
                target,
                wait_ms,
                fetch,
                ..
            } => {
                assert!(
                    u64::from(wait_ms) * 1_000 <= 4 * LOAD_MICROS,
                    "{wait_ms} ms for a load"
                );
                let prompt = SentPrompt {
                    key: key.clone(),
                    tokens: call.tokens,
                    part: (call.adapter, call.part, self.classes[call.class].shared.0),
                    fetch,
                    rank: self.classes[call.class].rank,
                    reaches_at: now + u64::from(wait_ms) * 1_000 + 1_000,
                };
                call.target = Some(target.clone());
                let engine = self.engines.get_mut(&target).expect("an engine");
                engine.waiting.push(prompt);
            }
            PlacementAnswer::Refuse {
                retry_after_ms,
                cause,
            } => {
                let turn = call.zones.iter().position(|asked| *asked == zone);
                let turn = turn.expect("a zone that was asked");
                call.search.record_refusal(turn, cause, retry_after_ms);
                self.next_query(key.number, now);
            }
        }
    }

    fn work(&mut self, now: u64) {
        let names: Vec<_> = self.engines.keys().cloned().collect();
        let kept: HashMap<SocketAddr, VecDeque<(u32, u64)>> = self
            .engines
            .values()
            .map(|engine| (engine.address, engine.kept.clone()))
            .collect();
        for name in names {
            let engine = self.engines.get_mut(&name).expect("an engine");
            let zone = engine.zone;
            let ended: Vec<_> = engine
                .streaming
                .extract_if(.., |(_, until)| *until <= now)
                .collect();
            let slow = engine
                .kind
                .slow
                .filter(|(from, to, _)| (*from..*to).contains(&(now / 1_000)));
            let pace = engine.kind.tokens_per_ms / slow.map_or(1.0, |(_, _, factor)| factor);
            let mut left = pace * STEP_MICROS as f64 / 1e3;
            let mut begun = Vec::new();
            while left > 0.0 {
                let Some((prompt, rest)) = engine
                    .reading
                    .take()
                    .or_else(|| engine.next_prompt(&kept, now))
                else {
                    break;
                };
                if rest > left {
                    engine.reading = Some((prompt, rest - left));
                    break;
                }
                left -= rest;
                begun.push(prompt.key);
            }
            for key in &begun {
                let output = self
                    .open
                    .get(&key.number)
                    .map_or(0, |call| self.classes[call.class].output);
                engine
                    .streaming
                    .push((key.clone(), now + u64::from(output) * 12_000));
            }
            for (key, _) in ended {
                self.planners[zone].call_ended(&key, Some(&name), None, Instant(now));
            }
            for key in begun {
                self.begin(&key, &name, now);
            }
        }
    }

    fn begin(&mut self, key: &CallKey, target: &TargetName, now: u64) {
        if self.tells_first_events {
            let zone = self.engines[target].zone;
            self.planners[zone].call_started(key, target, Some(1), Instant(now));
        }
        if let Some(call) = self.open.remove(&key.number) {
            let class = self.classes[call.class];
            let shares = &mut self.shares[call.class];
            if now - call.arrived <= class.objective_ms * 1_000 {
                shares.in_time += 1.0;
            } else {
                shares.late += 1.0;
            }
        }
    }

    /// Callers leave whose first event has not come in time; what they asked for is dropped everywhere.
    fn leave(&mut self, now: u64) {
        let patience = |call: &OpenCall| self.classes[call.class].patience_ms * 1_000;
        let gone: Vec<_> = self
            .open
            .iter()
            .filter(|(_, call)| now - call.arrived > patience(call))
            .map(|(number, call)| (*number, call.class, call.target.clone()))
            .collect();
        for (number, class, target) in gone {
            self.open.remove(&number);
            self.shares[class].left += 1.0;
            if let Some(engine) = target.as_ref().and_then(|name| self.engines.get_mut(name)) {
                engine.waiting.retain(|prompt| prompt.key.number != number);
                engine.reading = engine
                    .reading
                    .take()
                    .filter(|(prompt, _)| prompt.key.number != number);
            }
            for planner in &mut self.planners {
                planner.call_ended(&key(number), target.as_ref(), None, Instant(now));
            }
        }
    }
}

impl ModelEngine {
    /// Drops what it kept for an adapter, as engines do that unload one.
    fn forget_parts(&mut self, subject: &AdapterName) {
        self.kept
            .retain(|(adapter, _)| format!("base/a{adapter}") != subject.as_str());
    }

    /// Takes up the next prompt, with the tokens that it has to read of it.
    fn next_prompt(
        &mut self,
        kept: &HashMap<SocketAddr, VecDeque<(u32, u64)>>,
        now: u64,
    ) -> Option<(SentPrompt, f64)> {
        let (at, _) = self
            .waiting
            .iter()
            .enumerate()
            .filter(|(_, prompt)| prompt.reaches_at <= now)
            .min_by_key(|(_, prompt)| (prompt.rank, prompt.reaches_at))?;
        let prompt = self.waiting.remove(at);
        let (adapter, part, shared) = prompt.part;
        let has = |kept: &VecDeque<(u32, u64)>| kept.contains(&(adapter, part));
        let source = prompt.fetch.and_then(|source| kept.get(&source));
        let mut tokens = f64::from(prompt.tokens);
        if has(&self.kept) {
            tokens -= f64::from(shared);
        } else if source.is_some_and(has) {
            // The fetch itself takes 20 ms of the engine's link.
            tokens -= f64::from(shared) - 20.0 * self.kind.tokens_per_ms;
        }
        self.kept.retain(|known| *known != (adapter, part));
        self.kept.push_back((adapter, part));
        if self.kept.len() > KEPT_PARTS {
            self.kept.pop_front();
        }
        Some((prompt, tokens.max(1.0)))
    }
}

/// Says what callers got, for the message of a failed check.
pub fn told(shares: &[CallerShares]) -> String {
    let lines = shares.iter().map(|class| {
        format!(
            "asked {} in time {:.3} served {:.3} refused {:.3} left {:.3}",
            class.asked,
            class.part_in_time(),
            class.part_served(),
            class.refused / class.asked,
            class.left / class.asked
        )
    });
    lines.collect::<Vec<_>>().join("; ")
}

/// Seeds of so many plays; `LOAD_SEED` names another first one.
pub fn seeds(count: u64) -> Range<u64> {
    let named = env::var("LOAD_SEED").ok();
    let first = named.map_or(1, |text| text.parse().expect("a number"));
    first..first + count
}

/// A number in a range, so that plays differ by more than their seed where a test wants that.
pub fn drawn(seed: u64, low: f64, high: f64) -> f64 {
    StdRng::seed_from_u64(seed).random_range(low..high)
}
