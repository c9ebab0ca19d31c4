//! Simulation of zones in virtual time: callers, engines that prefill prompts and stream answers, and a weight store
//! that loads adapters, driven by the real planners.

use hoplanding_core::{
    direct::{
        catalog::{ResidentAdapter, TargetEntry, TargetStage},
        config::EngineLimits,
        engine::{EngineOrder, EngineReport, OrderKind, OrderOutcome},
        planner::{
            CallKey, EngineEstimates, PlacementAnswer, PlacementRequest, PlannerAction, ZonePlanner,
        },
        policy::PlacementPolicy,
        search::ZoneSearch,
        shortage::{ShortageTable, SpareSlots, report_round},
        zone_choice::{
            ChoiceKnowledge, ChoiceSubject, RemoteAllowance, VmPosition, ZoneChoiceRule, rank_zones,
        },
    },
    ids::{
        AdapterName, AvailabilityZone, Instant, ServiceName, SoftwareVersion, TargetLife,
        TargetName, VmName,
    },
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use rand_distr::{Distribution, Exp, LogNormal, Zipf};
use std::{
    collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
    env,
    net::SocketAddr,
    ops::Range,
    sync::Arc,
    time::Duration,
};

/// Time, from each planner tick, for which the holder is known to be the only one.
const LEAD_DURATION: Duration = Duration::from_secs(3);
/// Interval at which the platform's target list is updated.
const LIST_INTERVAL_MICROS: u64 = 1_200_000;
/// Virtual time of one simulation step.
const STEP_MICROS: u64 = 1_000;
/// Time to load an adapter from the weight store.
const LOAD_TIME_MICROS: u64 = 250_000;
/// Shared prefixes that an engine can cache.
const CACHED_PREFIXES: usize = 30;
/// Adapters that callers request.
const ADAPTER_COUNT: u32 = 60;
/// VMs with gateways in each zone.
pub const VMS_PER_ZONE: usize = 9;
/// Adapter slots of an engine.
const ADAPTER_SLOTS: u32 = 9;
/// Call slots of an engine.
const CALL_SLOTS: u32 = 64;
/// Adapters that an engine keeps in memory for a quick reload, as planners assume.
const KEPT_ADAPTERS: usize = 100;

/// A class of calls with the same rate, size distribution and objective.
#[derive(Clone, Copy, Debug)]
pub struct CallClass {
    /// Calls per second.
    pub per_s: f64,
    /// Mean number of prompt tokens.
    pub tokens: f64,
    /// Sigma of the logarithm of the prompt tokens.
    pub spread: f64,
    /// Output tokens per call.
    pub output: u32,
    /// Rank of the route; 0 is the highest.
    pub rank: u8,
    /// Objective for the first event, in ms.
    pub objective_ms: u64,
    /// Time after which a caller without a first event gives up, in ms.
    pub first_event_timeout_ms: u64,
    /// Tokens of the shared prefix, and number of different shared prefixes.
    pub shared: (u32, u32),
}

/// Long prompts of lower rank: 9,190 tokens on average, a few four times as long.
pub const LONG_PROMPT: CallClass = CallClass {
    per_s: 8.0,
    tokens: 9_190.0,
    spread: 0.5,
    output: 52,
    rank: 1,
    objective_ms: 800,
    first_event_timeout_ms: 3_200,
    shared: (0, 1),
};

/// Short prompts of the highest rank with long answers.
pub const CHAT: CallClass = CallClass {
    per_s: 9.0,
    tokens: 826.0,
    spread: 0.7,
    output: 292,
    rank: 0,
    objective_ms: 600,
    first_event_timeout_ms: 2_400,
    shared: (0, 1),
};

/// Speed of an engine.
#[derive(Clone, Copy, Debug)]
pub struct EngineSpeed {
    /// Prefill throughput, in prompt tokens per ms.
    pub prefill_tokens_per_ms: f64,
    /// Period in which the engine is slower: start and end in ms of virtual time, and the factor.
    pub slow_period: Option<(u64, u64, f64)>,
}

/// An engine with a constant prefill throughput.
pub fn steady_engine(prefill_tokens_per_ms: f64) -> EngineSpeed {
    EngineSpeed {
        prefill_tokens_per_ms,
        slow_period: None,
    }
}

/// Adapters, slots and loads of a simulation.
#[derive(Clone, Copy, Debug)]
pub struct SlotScenario {
    /// Adapters that callers request, and the exponent of their Zipf distribution.
    pub adapters: (u32, f64),
    /// Adapter slots and call slots of an engine.
    pub slots: (u32, u32),
    /// Time of a load, and of a reload of an adapter that the engine had recently, in microseconds. None if calls find
    /// each adapter loaded when they arrive.
    pub load_micros: Option<(u64, u64)>,
    /// Loads in flight up to which a load takes this time; beyond, it takes proportionally longer.
    pub store_capacity: usize,
    /// Time until an order is answered, in microseconds.
    pub order_micros: u64,
    /// Time of arrival from which calls count, in microseconds. Before, engines are empty and the load limit is learned.
    pub counted_from: u64,
    /// Whether callers repeat a refused request once, after its retry delay or a third of the time that they have left.
    pub callers_retry: bool,
}

impl Default for SlotScenario {
    fn default() -> Self {
        Self {
            adapters: (ADAPTER_COUNT, 1.2),
            slots: (ADAPTER_SLOTS, CALL_SLOTS),
            load_micros: None,
            store_capacity: usize::MAX,
            order_micros: 0,
            counted_from: 0,
            callers_retry: false,
        }
    }
}

/// Outcomes of the calls of one class.
#[derive(Clone, Debug, Default)]
pub struct CallerOutcomes {
    pub calls: f64,
    pub in_time: f64,
    pub late: f64,
    pub refused: f64,
    /// Calls whose caller gave up before the first event, whether or not they had been sent to an engine.
    pub abandoned: f64,
    /// Times from arrival to refusal of the refused calls, in ms.
    pub refusal_waits: Vec<u64>,
    /// Requests to zones that the refused calls made.
    pub refusal_queries: Vec<u32>,
    /// Calls placed outside the zone of their gateway.
    pub left_zone: f64,
    /// Calls placed across the cut of the reports, from 1.5 s after it.
    pub left_after_cut: f64,
    /// Calls placed outside the zone of their gateway for which an adapter is loaded.
    pub remote_loads: f64,
    /// Requests to zones outside the gateway's own whose report shows no slot for the call's adapter.
    pub queries_to_short_zones: f64,
}

impl CallerOutcomes {
    pub fn in_time_ratio(&self) -> f64 {
        self.in_time / self.calls
    }

    pub fn served_ratio(&self) -> f64 {
        (self.in_time + self.late) / self.calls
    }
}

struct SentPrompt {
    key: CallKey,
    tokens: u32,
    /// Shared prefix: adapter, number of the prefix, and its tokens.
    prefix: (u32, u64, u32),
    fetch: Option<SocketAddr>,
    rank: u8,
    arrives_at: u64,
}

struct ModelEngine {
    speed: EngineSpeed,
    zone: usize,
    waiting: Vec<SentPrompt>,
    /// Prompt in prefill, and its remaining tokens.
    reading: Option<(SentPrompt, f64)>,
    /// Streaming calls with the time at which each ends.
    streaming: Vec<(CallKey, u64)>,
    adapters: Vec<AdapterName>,
    /// Adapters in memory, in the order of their loads.
    kept: VecDeque<AdapterName>,
    /// Ends of the loads.
    ready_at: HashMap<AdapterName, u64>,
    sequence: u64,
    address: SocketAddr,
    /// Cached prefixes, by adapter and number of the prefix, in LRU order.
    cached_prefixes: VecDeque<(u32, u64)>,
}

impl ModelEngine {
    /// Whether the load of an adapter has ended.
    fn is_ready(&self, adapter: &AdapterName, now: u64) -> bool {
        self.ready_at.get(adapter).is_none_or(|end| *end <= now)
    }

    fn report(&self, now: u64) -> EngineReport {
        let versions = |is_ready: bool| {
            let adapters = self.adapters.iter();
            adapters
                .filter(move |adapter| self.is_ready(adapter, now) == is_ready)
                .map(|adapter| (adapter.clone(), 1))
                .collect()
        };
        let requests =
            self.waiting.len() + usize::from(self.reading.is_some()) + self.streaming.len();
        EngineReport {
            orders_taken: self.sequence,
            models: vec![(AdapterName::new("base"), 1)],
            adapters: versions(true),
            loading: versions(false),
            requests: requests as u32,
            ..EngineReport::default()
        }
    }
}

struct OpenCall {
    adapter: u32,
    /// Zones in the order in which they are queried.
    zones: Vec<usize>,
    search: ZoneSearch,
    class: usize,
    arrived: u64,
    /// Start of the current attempt.
    attempted_at: u64,
    is_retry: bool,
    tokens: u32,
    prefix: u64,
    target: Option<TargetName>,
    own_zone: usize,
    /// VM of the gateway, by number.
    vm: usize,
    queries: u32,
}

/// Choice of zones by reports, as all gateways of a simulation make it.
struct SimulatedChoice {
    rule: ZoneChoiceRule,
    /// Reports as the VMs of each zone received them.
    reports: Vec<ShortageTable>,
    spare_slots: Vec<SpareSlots>,
    /// Allowance of each VM.
    allowances: Vec<RemoteAllowance>,
    /// Time from which the last zone and the others receive no reports of each other, in ms.
    cut_at_ms: u64,
}

/// One simulation run.
pub struct LoadSimulation {
    planners: Vec<ZonePlanner>,
    policy: PlacementPolicy,
    scenario: SlotScenario,
    engines: BTreeMap<TargetName, ModelEngine>,
    /// Orders that are not answered yet, by the time of the answer.
    open_orders: Vec<(u64, usize, TargetName, OrderOutcome)>,
    /// Refused calls that are repeated, by time.
    retries: Vec<(u64, u64)>,
    classes: Vec<CallClass>,
    next_arrival: Vec<u64>,
    open_calls: HashMap<u64, OpenCall>,
    outcomes: Vec<CallerOutcomes>,
    random: StdRng,
    next_number: u64,
    /// Adapters that the target list shows in each zone.
    listed: BTreeSet<(usize, AdapterName)>,
    choice: Option<SimulatedChoice>,
    /// Whether first events are reported to the planners.
    pub reports_first_events: bool,
}

fn zone_name(zone: usize) -> AvailabilityZone {
    AvailabilityZone::new(&format!("z{zone}"))
}

fn limits(max_adapters: u32) -> EngineLimits {
    EngineLimits {
        slots: 64,
        kv_tokens: 250_000,
        adapter_slots: max_adapters,
        adapters: 0,
        loads_per_s: 2.8,
        models: vec![AdapterName::new("base")],
    }
}

/// An address for each engine, derived from its name.
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
        slots: CALL_SLOTS,
        stage: TargetStage::Ready,
        remaining: None,
        software: SoftwareVersion::default(),
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

/// A planner whose engines have only the base model loaded.
fn planner(names: &[String], zones: u32) -> ZonePlanner {
    let now = Instant::default();
    let mut planner = ZonePlanner::new(
        EngineEstimates::per_zone(zones, 2.8),
        limits(ADAPTER_SLOTS),
        now,
    );
    planner.set_targets(names.iter().map(|name| entry(name)).collect(), now);
    planner.tick(now);
    let report = EngineReport {
        // The load of the base model counts as an order.
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

impl LoadSimulation {
    /// Creates a simulation of one zone.
    pub fn new(speeds: &[EngineSpeed], classes: &[CallClass], seed: u64) -> Self {
        Self::over_zones(&[speeds], classes, seed)
    }

    /// Creates a simulation of several zones that share one weight store.
    pub fn over_zones(zones: &[&[EngineSpeed]], classes: &[CallClass], seed: u64) -> Self {
        let mut engines = BTreeMap::new();
        let mut planners = Vec::new();
        let count = u32::try_from(zones.len()).expect("few zones");
        for (zone, speeds) in zones.iter().enumerate() {
            let names: Vec<_> = (0..speeds.len())
                .map(|number| format!("e{zone}-{number}"))
                .collect();
            planners.push(planner(&names, count));
            for (name, speed) in names.iter().zip(*speeds) {
                let engine = ModelEngine {
                    speed: *speed,
                    zone,
                    waiting: Vec::new(),
                    reading: None,
                    streaming: Vec::new(),
                    adapters: Vec::new(),
                    kept: VecDeque::new(),
                    ready_at: HashMap::new(),
                    sequence: 1,
                    address: address(name),
                    cached_prefixes: VecDeque::new(),
                };
                engines.insert(TargetName::new(name), engine);
            }
        }
        Self {
            planners,
            policy: PlacementPolicy::default(),
            scenario: SlotScenario::default(),
            engines,
            open_orders: Vec::new(),
            retries: Vec::new(),
            classes: classes.to_vec(),
            next_arrival: vec![0; classes.len()],
            open_calls: HashMap::new(),
            outcomes: vec![CallerOutcomes::default(); classes.len()],
            random: StdRng::seed_from_u64(seed),
            next_number: 0,
            listed: BTreeSet::new(),
            choice: None,
            reports_first_events: true,
        }
    }

    /// Gives every engine slots for all adapters, so that only prefill time limits the service.
    pub fn add_adapter_slots(&mut self) {
        self.set_scenario(SlotScenario {
            slots: (ADAPTER_COUNT, CALL_SLOTS),
            ..SlotScenario::default()
        });
    }

    /// Replaces the adapters, slots and loads.
    pub fn set_scenario(&mut self, scenario: SlotScenario) {
        self.scenario = scenario;
        for planner in &mut self.planners {
            planner.set_limits(limits(scenario.slots.0));
        }
    }

    /// Lets callers request a number of adapters.
    pub fn set_adapter_count(&mut self, count: u32) {
        self.scenario.adapters.0 = count;
    }

    /// Lets all gateways choose zones by reports. From `cut_at_ms` on, the last zone and the others receive no reports of
    /// each other, though their holders would still answer.
    pub fn choose_by_reports(&mut self, rule: ZoneChoiceRule, cut_at_ms: u64) {
        self.choice = Some(SimulatedChoice {
            rule,
            reports: vec![ShortageTable::default(); self.planners.len()],
            spare_slots: vec![SpareSlots::default(); self.planners.len()],
            allowances: vec![RemoteAllowance::default(); VMS_PER_ZONE * self.planners.len()],
            cut_at_ms,
        });
    }

    /// Replaces the placement policy.
    pub fn set_policy(&mut self, policy: PlacementPolicy) {
        self.policy = policy;
        for planner in &mut self.planners {
            planner.set_policy(policy);
        }
    }

    /// Runs with arrivals for a period of virtual time and returns the outcomes by class.
    pub fn run(mut self, span: Duration) -> Vec<CallerOutcomes> {
        let end = u64::try_from(span.as_micros()).expect("a short span");
        // Runs on until the last calls have started or timed out; otherwise calls in progress would count as unserved.
        let max_timeout_ms = self
            .classes
            .iter()
            .map(|class| class.first_event_timeout_ms)
            .max();
        let stop_at = end + max_timeout_ms.unwrap_or_default() * 1_000;
        let mut now = 0;
        while now < stop_at {
            if now < end {
                self.add_arrivals(now);
            }
            self.repeat_refused(now);
            self.answer_orders(now);
            if now % 50_000 == 0 {
                for planner in &mut self.planners {
                    planner.set_sole_until(Instant(now).after(LEAD_DURATION));
                    planner.tick(Instant(now));
                }
            }
            if now % LIST_INTERVAL_MICROS == 0 {
                self.publish_target_list(now);
            }
            if now % 50_000 == 0 {
                self.publish_reports(now);
            }
            self.process_actions(now);
            self.reject_early_calls(now);
            self.process_actions(now);
            self.advance_engines(now);
            self.expire_calls(now);
            now += STEP_MICROS;
        }
        self.outcomes
    }

    /// Updates each planner's target list with the adapters that its engines have loaded.
    fn publish_target_list(&mut self, now: u64) {
        self.listed.clear();
        for (zone, planner) in self.planners.iter_mut().enumerate() {
            let engines = self
                .engines
                .iter()
                .filter(|(_, engine)| engine.zone == zone);
            let entries = engines.map(|(name, engine)| {
                let ready = engine.adapters.iter();
                let ready = ready.filter(|adapter| engine.is_ready(adapter, now));
                let resident_adapters = ready.map(|adapter| ResidentAdapter {
                    adapter: adapter.clone(),
                    version: 1,
                });
                Arc::new(TargetEntry {
                    orders_taken: engine.sequence,
                    adapters: resident_adapters.collect(),
                    slots: self.scenario.slots.1,
                    ..(*entry(name.as_str())).clone()
                })
            });
            let entries: Vec<_> = entries.collect();
            let adapters = entries.iter().flat_map(|entry| &entry.adapters);
            self.listed
                .extend(adapters.map(|resident| (zone, resident.adapter.clone())));
            planner.set_targets(entries, Instant(now));
        }
    }

    /// Delivers the reports of all zones to all gateways.
    fn publish_reports(&mut self, now: u64) {
        let Some(choice) = &mut self.choice else {
            return;
        };
        let is_cut = now / 1_000 >= choice.cut_at_ms;
        let last = self.planners.len() - 1;
        for (zone, planner) in self.planners.iter().enumerate() {
            let shortage = planner.shortage(Instant(now));
            let spare_slots = &mut choice.spare_slots[zone];
            spare_slots.record(&shortage, Instant(now));
            if !now.is_multiple_of(400_000) {
                continue;
            }
            let round = report_round(Instant(now));
            let report = spare_slots.report(&ServiceName::new("llm"), shortage, round);
            for (receiver, reports) in choice.reports.iter_mut().enumerate() {
                if !is_cut || (zone == last) == (receiver == last) {
                    reports.record(&zone_name(zone), vec![report.clone()], Instant(now));
                }
            }
        }
    }

    /// Starts the search of a call; returns it with the zones in its order.
    fn start_search(
        &self,
        adapter: u32,
        own_zone: usize,
        vm: usize,
        zones: Vec<usize>,
        now: u64,
    ) -> (Vec<usize>, ZoneSearch) {
        let Some(choice) = &self.choice else {
            let search = ZoneSearch::new(self.policy, zones.len());
            return (zones, search);
        };
        let subject = AdapterName::new(&format!("base/a{adapter}"));
        let order: Vec<_> = zones
            .iter()
            .map(|zone| {
                let has_adapter = self.listed.contains(&(*zone, subject.clone()));
                // VMs outside the zone, in the order of their numbers.
                let vms_before =
                    vm - (vm.min((zone + 1) * VMS_PER_ZONE) - vm.min(zone * VMS_PER_ZONE));
                let position = VmPosition {
                    index: vms_before as u32,
                    count: ((zones.len() - 1) * VMS_PER_ZONE) as u32,
                };
                (zone_name(*zone), has_adapter, position)
            })
            .collect();
        let call = ChoiceSubject {
            service: &ServiceName::new("llm"),
            own_zone: &zone_name(own_zone),
            bytes: 6_000,
            load_penalty: self.policy.load_penalty,
        };
        let known = ChoiceKnowledge {
            rule: &choice.rule,
            reports: &choice.reports[own_zone],
            allowance: &choice.allowances[vm],
        };
        let prospects = rank_zones(&order, &call, &known, Instant(now));
        let zone_number =
            |name: &AvailabilityZone| zones.iter().find(|zone| zone_name(**zone) == *name);
        let zones = prospects
            .iter()
            .map(|prospect| *zone_number(&prospect.zone).expect("a zone of the call"))
            .collect();
        (zones, ZoneSearch::with_prospects(self.policy, prospects))
    }

    fn count_query_to_short_zone(&mut self, number: u64, zone: usize, now: u64) {
        let (Some(choice), Some(call)) = (&self.choice, self.open_calls.get(&number)) else {
            return;
        };
        let service = ServiceName::new("llm");
        let reports = &choice.reports[call.own_zone];
        let report = reports.report(&zone_name(zone), &service, Instant(now));
        let is_short = report.is_some_and(|report| report.shortage.free_adapter_slots == 0);
        let name = zone_name(zone);
        let mut prospects = (0..call.zones.len()).filter_map(|turn| call.search.prospect(turn));
        // The list that counts is the one at the start of the search.
        let had_adapter = prospects.any(|prospect| prospect.zone == name && prospect.has_adapter);
        if zone != call.own_zone && is_short && !had_adapter {
            self.outcomes[call.class].queries_to_short_zones += 1.0;
        }
    }

    /// Takes a slot that a queried zone leaves to others, or returns it.
    fn count_remote_slot(&mut self, number: u64, turn: usize, is_taken: bool, now: u64) {
        let (Some(choice), Some(call)) = (&mut self.choice, self.open_calls.get(&number)) else {
            return;
        };
        let Some(prospect) = call
            .search
            .prospect(turn)
            .filter(|prospect| prospect.uses_allowance)
        else {
            return;
        };
        let service = ServiceName::new("llm");
        if let Some(report) =
            choice.reports[call.own_zone].report(&prospect.zone, &service, Instant(now))
        {
            let allowance = &mut choice.allowances[call.vm];
            if is_taken {
                allowance.take(&prospect.zone, report, !prospect.has_adapter);
            } else {
                allowance.give_back(&prospect.zone, report, !prospect.has_adapter);
            }
        }
    }

    fn add_arrivals(&mut self, now: u64) {
        for class_index in 0..self.classes.len() {
            while self.next_arrival[class_index] <= now {
                let class = self.classes[class_index];
                let gap = Exp::new(class.per_s).expect("a rate");
                self.next_arrival[class_index] += (gap.sample(&mut self.random) * 1e6) as u64;
                self.start_call(class_index, class, now);
            }
        }
    }

    fn start_call(&mut self, class_index: usize, class: CallClass, now: u64) {
        let mean = class.tokens.ln() - class.spread * class.spread / 2.0;
        let size = LogNormal::new(mean, class.spread).expect("a spread");
        let tokens = size.sample(&mut self.random).min(39_600.0) as u32 + 1;
        let (adapters, skew) = self.scenario.adapters;
        let popularity = Zipf::new(f64::from(adapters), skew).expect("a skew");
        let adapter = popularity.sample(&mut self.random) as u32;
        let number = self.next_number;
        self.next_number += 1;
        let count = self.planners.len();
        // The home zone of the most popular adapters is the caller's own zone.
        let own_zone = self.random.random_range(0..count);
        let home_zone = if adapter <= 3 {
            own_zone
        } else {
            adapter as usize % count
        };
        let vm = own_zone * VMS_PER_ZONE + number as usize % VMS_PER_ZONE;
        let order = (0..count).map(|turn| (home_zone + turn) % count);
        let (zones, search) = self.start_search(adapter, own_zone, vm, order.collect(), now);
        let call = OpenCall {
            own_zone,
            vm,
            queries: 0,
            adapter,
            zones,
            search,
            class: class_index,
            arrived: now,
            attempted_at: now,
            is_retry: false,
            tokens,
            prefix: u64::from(self.random.random_range(0..class.shared.1)),
            target: None,
        };
        self.open_calls.insert(number, call);
        if let Some(outcomes) = self.counted_outcomes(class_index, now) {
            outcomes.calls += 1.0;
        }
        self.ask_next_zone(number, now);
    }

    /// Outcomes to which a call that arrived at this time counts.
    fn counted_outcomes(&mut self, class: usize, arrived: u64) -> Option<&mut CallerOutcomes> {
        (arrived >= self.scenario.counted_from).then(|| &mut self.outcomes[class])
    }

    /// Sends a call's next placement query; the call is refused if no zone is left to query.
    fn ask_next_zone(&mut self, number: u64, now: u64) {
        let Some(call) = self.open_calls.get_mut(&number) else {
            return;
        };
        let class = self.classes[call.class];
        let Some(query) = call.search.next_query() else {
            let (class_index, arrived, queries) = (call.class, call.arrived, call.queries);
            let wait_ms = (now - call.attempted_at) / 1_000;
            let is_final = !self.scenario.callers_retry || call.is_retry;
            if !is_final {
                let left = call.arrived + class.first_event_timeout_ms * 1_000 - now;
                let stated = call.search.retry_after().unwrap_or_default();
                let delay = (stated.as_micros() as u64).min(left / 3);
                call.is_retry = true;
                call.search = ZoneSearch::new(self.policy, call.zones.len());
                self.retries.push((now + delay, number));
            } else {
                self.open_calls.remove(&number);
            }
            if let Some(outcomes) = self.counted_outcomes(class_index, arrived) {
                outcomes.refusal_waits.push(wait_ms);
                outcomes.refusal_queries.push(queries);
                outcomes.refused += f64::from(u8::from(is_final));
            }
            return;
        };
        if let Some(choice) = &self.choice
            && let Some(prospect) = call.search.prospect(query.zone)
        {
            let reports = &choice.reports[call.own_zone];
            if !prospect.is_still_able(reports, &ServiceName::new("llm"), Instant(now)) {
                call.search.record_skip();
                self.ask_next_zone(number, now);
                return;
            }
        }
        call.queries += 1;
        let objective = Duration::from_millis(class.objective_ms);
        let remaining = objective.saturating_sub(Duration::from_micros(now - call.attempted_at));
        let bound = call
            .search
            .max_wait(query.pass, class.rank, objective, remaining);
        let request = PlacementRequest {
            service: Default::default(),
            fingerprint: Default::default(),
            is_trial: false,
            charge: None,
            subject: AdapterName::new(&format!("base/a{}", call.adapter)),
            prompt_tokens: call.tokens,
            output_tokens: class.output,
            prefix: vec![
                (call.prefix, class.shared.0),
                (number | 1 << 40, call.tokens),
            ],
            priority: class.rank,
            bound_ms: bound.as_millis() as u32,
            exclude: Vec::new(),
            backing_off: Vec::new(),
            may_load: query.may_load,
            terms: query.terms,
        };
        let zone = call.zones[query.zone];
        self.count_query_to_short_zone(number, zone, now);
        self.count_remote_slot(number, query.zone, true, now);
        self.planners[zone].place(key(number), request, Instant(now));
    }

    fn process_actions(&mut self, now: u64) {
        loop {
            let mut is_idle = true;
            for zone in 0..self.planners.len() {
                for action in self.planners[zone].take_actions() {
                    is_idle = false;
                    self.process_action(zone, action, now);
                }
            }
            if is_idle {
                return;
            }
        }
    }

    fn process_action(&mut self, zone: usize, action: PlannerAction, now: u64) {
        match action {
            PlannerAction::Answer(key, answer) => self.process_answer(zone, &key, answer, now),
            PlannerAction::Order(entry, order) => {
                let outcome = self.execute_order(&entry.name, order, now);
                let answered_at = now + self.scenario.order_micros;
                let answer = (answered_at, zone, entry.name.clone(), outcome);
                self.open_orders.push(answer);
                self.answer_orders(now);
            }
            PlannerAction::FetchReport(entry) => {
                let report = self.engines[&entry.name].report(now);
                let planner = &mut self.planners[zone];
                planner.report_received(&entry.name, Some(&report), Instant(now));
            }
            PlannerAction::RecordTransfer(_) | PlannerAction::RecordSlotWait(_) => {}
        }
    }

    fn execute_order(&mut self, name: &TargetName, order: EngineOrder, now: u64) -> OrderOutcome {
        let in_flight = self.store_loads(now);
        let engine = self.engines.get_mut(name).expect("an engine");
        engine.sequence += 1;
        if order.kind == OrderKind::Unload {
            engine
                .adapters
                .retain(|resident| *resident != order.subject);
            engine.evict_prefixes(&order.subject);
            engine.ready_at.remove(&order.subject);
            return OrderOutcome::Done;
        }
        if let Some((load, reload)) = self.scenario.load_micros {
            let is_kept = engine.kept.contains(&order.subject);
            let excess = (in_flight + 1) as f64 / self.scenario.store_capacity as f64;
            let time = if is_kept {
                reload
            } else {
                (load as f64 * excess.max(1.0)) as u64
            };
            engine.ready_at.insert(order.subject.clone(), now + time);
            engine.kept.retain(|kept| *kept != order.subject);
            engine.kept.push_back(order.subject.clone());
            if engine.kept.len() > KEPT_ADAPTERS {
                engine.kept.pop_front();
            }
        }
        engine.adapters.push(order.subject);
        assert!(
            engine.adapters.len() <= self.scenario.slots.0 as usize,
            "more adapters than slots"
        );
        OrderOutcome::Begun
    }

    /// Loads in flight that take longer than a reload.
    fn store_loads(&self, now: u64) -> usize {
        let reload = self.scenario.load_micros.map_or(0, |(_, reload)| reload);
        let ends = self
            .engines
            .values()
            .flat_map(|engine| engine.ready_at.values());
        ends.filter(|end| **end > now + reload).count()
    }

    fn answer_orders(&mut self, now: u64) {
        let answered: Vec<_> = self
            .open_orders
            .extract_if(.., |(at, ..)| *at <= now)
            .collect();
        for (_, zone, name, outcome) in answered {
            self.planners[zone].order_ended(&name, outcome, Instant(now));
        }
    }

    fn repeat_refused(&mut self, now: u64) {
        let due: Vec<_> = self.retries.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, number) in due {
            if let Some(call) = self.open_calls.get_mut(&number) {
                call.attempted_at = now;
                self.ask_next_zone(number, now);
            }
        }
    }

    /// Places the calls again that arrived at an engine before their adapter was loaded.
    fn reject_early_calls(&mut self, now: u64) {
        if self.scenario.load_micros.is_none() {
            return;
        }
        let mut rejected = Vec::new();
        for (name, engine) in &mut self.engines {
            let ready_at = &engine.ready_at;
            let early = engine.waiting.extract_if(.., |prompt| {
                let subject = AdapterName::new(&format!("base/a{}", prompt.prefix.0));
                prompt.arrives_at <= now && ready_at.get(&subject).is_none_or(|end| *end > now)
            });
            rejected.extend(early.map(|prompt| (engine.zone, name.clone(), prompt.key)));
        }
        for (zone, name, key) in rejected {
            let planner = &mut self.planners[zone];
            planner.report_missing_copy(&key, &name, Instant(now));
            planner.call_ended(&key, Some(&name), None, Instant(now));
            if let Some(call) = self.open_calls.get_mut(&key.number) {
                call.target = None;
                call.search = ZoneSearch::new(self.policy, call.zones.len());
                self.ask_next_zone(key.number, now);
            }
        }
    }

    fn process_answer(&mut self, zone: usize, key: &CallKey, answer: PlacementAnswer, now: u64) {
        let Some(call) = self.open_calls.get_mut(&key.number) else {
            return;
        };
        match answer {
            PlacementAnswer::Send {
                target,
                wait_ms,
                fetch,
                ..
            } => {
                // A store with a capacity stretches loads without a bound.
                assert!(
                    self.scenario.load_micros.is_some()
                        || u64::from(wait_ms) * 1_000 <= 4 * LOAD_TIME_MICROS,
                    "{wait_ms} ms for a load"
                );
                let prompt = SentPrompt {
                    key: key.clone(),
                    tokens: call.tokens,
                    prefix: (call.adapter, call.prefix, self.classes[call.class].shared.0),
                    fetch,
                    rank: self.classes[call.class].rank,
                    arrives_at: now + u64::from(wait_ms) * 1_000 + 1_000,
                };
                call.target = Some(target.clone());
                let outcomes = &mut self.outcomes[call.class];
                let (is_remote, needs_load) = (zone != call.own_zone, wait_ms > 0);
                if is_remote {
                    outcomes.left_zone += 1.0;
                    outcomes.remote_loads += f64::from(u8::from(needs_load));
                }
                if let Some(choice) = &mut self.choice {
                    let last = self.planners.len() - 1;
                    let is_across = (zone == last) != (call.own_zone == last);
                    if is_across && now / 1_000 >= choice.cut_at_ms + 1_500 {
                        outcomes.left_after_cut += 1.0;
                    }
                }
                let engine = self.engines.get_mut(&target).expect("an engine");
                engine.waiting.push(prompt);
            }
            PlacementAnswer::Refuse {
                retry_after_ms,
                cause,
            } => {
                let turn = call.zones.iter().position(|candidate| *candidate == zone);
                let turn = turn.expect("a zone that was queried");
                call.search.record_refusal(turn, cause, retry_after_ms);
                self.count_remote_slot(key.number, turn, false, now);
                self.ask_next_zone(key.number, now);
            }
        }
    }

    fn advance_engines(&mut self, now: u64) {
        let names: Vec<_> = self.engines.keys().cloned().collect();
        let cached_prefixes: HashMap<SocketAddr, VecDeque<(u32, u64)>> = self
            .engines
            .values()
            .map(|engine| (engine.address, engine.cached_prefixes.clone()))
            .collect();
        for name in names {
            let engine = self.engines.get_mut(&name).expect("an engine");
            let zone = engine.zone;
            let ended: Vec<_> = engine
                .streaming
                .extract_if(.., |(_, until)| *until <= now)
                .collect();
            let slow_period = engine
                .speed
                .slow_period
                .filter(|(from, to, _)| (*from..*to).contains(&(now / 1_000)));
            let prefill_rate = engine.speed.prefill_tokens_per_ms
                / slow_period.map_or(1.0, |(_, _, factor)| factor);
            let mut tokens_left = prefill_rate * STEP_MICROS as f64 / 1e3;
            let mut started = Vec::new();
            while tokens_left > 0.0 {
                let Some((prompt, rest)) = engine
                    .reading
                    .take()
                    .or_else(|| engine.start_next_prompt(&cached_prefixes, now))
                else {
                    break;
                };
                if rest > tokens_left {
                    engine.reading = Some((prompt, rest - tokens_left));
                    break;
                }
                tokens_left -= rest;
                started.push(prompt.key);
            }
            for key in &started {
                let output = self
                    .open_calls
                    .get(&key.number)
                    .map_or(0, |call| self.classes[call.class].output);
                engine
                    .streaming
                    .push((key.clone(), now + u64::from(output) * 12_000));
            }
            for (key, _) in ended {
                self.planners[zone].call_ended(&key, Some(&name), None, Instant(now));
            }
            for key in started {
                self.record_first_event(&key, &name, now);
            }
        }
    }

    fn record_first_event(&mut self, key: &CallKey, target: &TargetName, now: u64) {
        if self.reports_first_events {
            let zone = self.engines[target].zone;
            self.planners[zone].call_started(key, target, Some(1), Instant(now));
        }
        if let Some(call) = self.open_calls.remove(&key.number) {
            let objective = self.classes[call.class].objective_ms * 1_000;
            if let Some(outcomes) = self.counted_outcomes(call.class, call.arrived) {
                if now - call.arrived <= objective {
                    outcomes.in_time += 1.0;
                } else {
                    outcomes.late += 1.0;
                }
            }
        }
    }

    /// Ends calls whose caller has given up waiting for the first event, and removes their prompts from the engines.
    fn expire_calls(&mut self, now: u64) {
        let timeout = |call: &OpenCall| self.classes[call.class].first_event_timeout_ms * 1_000;
        let gone: Vec<_> = self
            .open_calls
            .iter()
            .filter(|(_, call)| now - call.arrived > timeout(call))
            .map(|(number, call)| (*number, call.class, call.arrived, call.target.clone()))
            .collect();
        for (number, class, arrived, target) in gone {
            self.open_calls.remove(&number);
            if let Some(outcomes) = self.counted_outcomes(class, arrived) {
                outcomes.abandoned += 1.0;
            }
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
    /// Drops the cached prefixes of an adapter, as engines do when they unload it.
    fn evict_prefixes(&mut self, subject: &AdapterName) {
        self.cached_prefixes
            .retain(|(adapter, _)| format!("base/a{adapter}") != subject.as_str());
    }

    /// Removes the next prompt from the queue; returns it with the number of tokens to prefill.
    fn start_next_prompt(
        &mut self,
        cached_prefixes: &HashMap<SocketAddr, VecDeque<(u32, u64)>>,
        now: u64,
    ) -> Option<(SentPrompt, f64)> {
        let (index, _) = self
            .waiting
            .iter()
            .enumerate()
            .filter(|(_, prompt)| prompt.arrives_at <= now)
            .min_by_key(|(_, prompt)| (prompt.rank, prompt.arrives_at))?;
        let prompt = self.waiting.remove(index);
        let (adapter, prefix, shared) = prompt.prefix;
        let is_cached =
            |cached_prefixes: &VecDeque<(u32, u64)>| cached_prefixes.contains(&(adapter, prefix));
        let source = prompt.fetch.and_then(|source| cached_prefixes.get(&source));
        let mut tokens = f64::from(prompt.tokens);
        if is_cached(&self.cached_prefixes) {
            tokens -= f64::from(shared);
        } else if source.is_some_and(is_cached) {
            // The fetch takes 20 ms on the engine's network link.
            tokens -= f64::from(shared) - 20.0 * self.speed.prefill_tokens_per_ms;
        }
        self.cached_prefixes
            .retain(|known| *known != (adapter, prefix));
        self.cached_prefixes.push_back((adapter, prefix));
        if self.cached_prefixes.len() > CACHED_PREFIXES {
            self.cached_prefixes.pop_front();
        }
        Some((prompt, tokens.max(1.0)))
    }
}

/// Formats the outcomes for assertion messages.
pub fn describe(outcomes: &[CallerOutcomes]) -> String {
    let lines = outcomes.iter().map(|class| {
        format!(
            "calls {} in time {:.3} served {:.3} refused {:.3} abandoned {:.3}, left their zone {:.3} ({:.3} for a load), refused after {:.2} requests and {:.0} ms",
            class.calls,
            class.in_time_ratio(),
            class.served_ratio(),
            class.refused / class.calls,
            class.abandoned / class.calls,
            class.left_zone / class.calls,
            class.remote_loads / class.calls,
            f64::from(class.refusal_queries.iter().sum::<u32>()) / class.refused.max(1.0),
            class.refusal_waits.iter().sum::<u64>() as f64 / class.refused.max(1.0)
        )
    });
    lines.collect::<Vec<_>>().join("; ")
}

/// Consecutive seeds for a number of simulations; the environment variable `LOAD_SEED` overrides the first one.
pub fn seeds(count: u64) -> Range<u64> {
    let named = env::var("LOAD_SEED").ok();
    let first = named.map_or(1, |text| text.parse().expect("a number"));
    first..first + count
}

/// A pseudo-random number in a range, to vary a parameter by seed.
pub fn sample_in_range(seed: u64, low: f64, high: f64) -> f64 {
    StdRng::seed_from_u64(seed).random_range(low..high)
}
