//! Model of an engine's actual state, independent of what the holder knows of it.

use crate::scenario::{LifeReporting, Scenario};
use hoplanding_core::{
    direct::{
        catalog::{ResidentAdapter, TargetEntry, TargetStage},
        engine::{EngineOrder, EngineReport, OrderKind, OrderOutcome},
        planner::split_subject,
    },
    ids::{
        AdapterName, AvailabilityZone, Instant, ServiceName, SoftwareVersion, TargetLife,
        TargetName,
    },
};
use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

/// Adapter slots of an engine, which crashes if it is given more. Fewer than the adapters of a scenario, so that some
/// are evicted.
pub const ADAPTER_SLOTS: usize = 2;
/// Number of calls that an engine runs at once.
pub const CALL_SLOTS: u32 = 8;
/// Time to load an adapter, in ms.
const ADAPTER_LOAD_MS: u64 = 250;
/// Time to load an adapter that the engine has held recently, in ms.
const ADAPTER_RELOAD_MS: u64 = 25;
/// Time to load a base model from the engine's disk, in ms.
const BASE_LOAD_MS: u64 = 600;

/// Base model of every scenario.
pub fn base_model() -> AdapterName {
    AdapterName::new("base")
}

/// Versions that made a cached segment. The adapter is 0 if the base model alone made it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CacheTag {
    pub base: u64,
    pub adapter: u64,
}

/// Newest version of each subject that the operator named, whether or not the holder knows it.
#[derive(Clone, Debug, Default)]
pub struct NamedVersions(BTreeMap<AdapterName, u64>);

impl NamedVersions {
    /// Newest version of a subject; 1 if none was named.
    pub fn newest(&self, subject: &AdapterName) -> u64 {
        self.0.get(subject).copied().unwrap_or(1)
    }

    pub fn name(&mut self, subject: AdapterName, version: u64) {
        self.0.insert(subject, version);
    }
}

/// State of an adapter at an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CopyState {
    Loaded,
    /// The load finishes at this time, in ms.
    Loading(u64),
    /// The adapter is unloaded once its runs have ended.
    Unloading,
    /// This version is loaded in its place once its runs have ended.
    Replacing(u64),
    /// This version is loaded beside the old one until this time, in ms, and replaces it once its runs have ended.
    LoadingBeside(u64, u64),
}

impl CopyState {
    /// Whether an order on the adapter waits for runs to end or for a load beside it. Requests are rejected until then.
    fn is_under_order(self) -> bool {
        matches!(
            self,
            Self::Unloading | Self::Replacing(_) | Self::LoadingBeside(..)
        )
    }
}

#[derive(Clone, Copy, Debug)]
struct AdapterCopy {
    version: u64,
    state: CopyState,
}

/// A request at an engine.
#[derive(Clone, Debug)]
pub struct EngineRun {
    pub subject: AdapterName,
    /// Whether the first token was produced.
    pub has_started: bool,
}

/// Reaction of an engine to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reception {
    Accepted,
    /// 421: the engine lacks the subject or version.
    Misdirected,
    /// 503: an order on the subject is in progress.
    Deferred,
}

/// An order loaded more adapters than the engine has slots for.
#[derive(Debug)]
pub struct SlotOverrun;

/// One machine, in the current life of its engine.
#[derive(Clone, Debug)]
pub struct EngineModel {
    pub name: TargetName,
    pub address: SocketAddr,
    pub is_up: bool,
    /// Number of restarts.
    pub life: u64,
    pub base: Option<u64>,
    /// Requests by call number.
    pub runs: BTreeMap<u64, EngineRun>,
    copies: BTreeMap<AdapterName, AdapterCopy>,
    cached: BTreeMap<(AdapterName, u64), CacheTag>,
    /// Version of the base model that is being loaded, and the time at which the load finishes, in ms.
    base_loading: Option<(u64, u64)>,
    recent_adapters: Vec<AdapterName>,
    sequence: u64,
    /// Highest fencing token seen.
    highest_token: u64,
    checks_fencing: bool,
    /// Whether a new version of an adapter is loaded while the old one is still loaded.
    loads_side_by_side: bool,
    life_reporting: LifeReporting,
}

impl EngineModel {
    pub fn new(number: u16, scenario: &Scenario) -> Self {
        Self {
            name: TargetName::new(&format!("e{number}")),
            address: SocketAddr::from(([127, 0, 0, 1], number)),
            is_up: true,
            life: 0,
            base: Some(1),
            runs: BTreeMap::new(),
            copies: BTreeMap::new(),
            cached: BTreeMap::new(),
            base_loading: None,
            recent_adapters: Vec::new(),
            sequence: 0,
            highest_token: 0,
            checks_fencing: scenario.checks_fencing,
            loads_side_by_side: scenario.loads_side_by_side,
            life_reporting: scenario.life_reporting,
        }
    }

    /// Adds a loaded adapter.
    pub fn add_adapter(&mut self, adapter: AdapterName, version: u64) {
        let state = CopyState::Loaded;
        self.copies.insert(adapter, AdapterCopy { version, state });
    }

    /// Crashes the engine, which loses everything but its name and address.
    pub fn crash(&mut self) {
        self.is_up = false;
        self.life += 1;
        self.base = None;
        self.base_loading = None;
        self.runs.clear();
        self.copies.clear();
        self.cached.clear();
        self.recent_adapters.clear();
        self.sequence = 0;
        self.highest_token = 0;
    }

    /// Finishes loads that are due.
    pub fn advance(&mut self, now_ms: u64) {
        if let Some((version, _)) = self.base_loading.filter(|(_, at)| *at <= now_ms) {
            self.base = Some(version);
            self.base_loading = None;
        }
        let mut swapped = Vec::new();
        for (adapter, copy) in &mut self.copies {
            match copy.state {
                CopyState::Loading(at) if at <= now_ms => copy.state = CopyState::Loaded,
                CopyState::LoadingBeside(version, at) if at <= now_ms => {
                    swapped.push((adapter.clone(), version));
                }
                _ => {}
            }
        }
        swapped.retain(|(adapter, _)| !self.is_in_use(adapter));
        for (adapter, version) in swapped {
            self.remove_copy(&adapter);
            self.add_adapter(adapter, version);
        }
    }

    /// Versions under which a call for a subject would run now.
    pub fn tag(&self, subject: &AdapterName) -> Option<CacheTag> {
        let base = self.base?;
        if split_subject(subject).1.is_none() {
            return Some(CacheTag { base, adapter: 0 });
        }
        let copy = self.copies.get(subject)?;
        let is_there = !matches!(copy.state, CopyState::Loading(_));
        let adapter = copy.version;
        is_there.then_some(CacheTag { base, adapter })
    }

    /// Decides on a request that arrives.
    pub fn receive(&self, subject: &AdapterName, expected: Option<u64>) -> Reception {
        let copy = self.copies.get(subject);
        if copy.is_some_and(|copy| copy.state.is_under_order()) {
            return Reception::Deferred;
        }
        let Some(tag) = self.tag(subject) else {
            return Reception::Misdirected;
        };
        let is_adapter = split_subject(subject).1.is_some();
        let version = if is_adapter { tag.adapter } else { tag.base };
        if expected.is_some_and(|expected| expected != version) {
            return Reception::Misdirected;
        }
        Reception::Accepted
    }

    pub fn cached(&self, subject: &AdapterName, segment: u64) -> Option<CacheTag> {
        self.cached.get(&(subject.clone(), segment)).copied()
    }

    /// Stores a segment in the cache, unless it is there already.
    pub fn cache_segment(&mut self, subject: &AdapterName, segment: u64, tag: CacheTag) {
        self.cached.entry((subject.clone(), segment)).or_insert(tag);
    }

    /// Ends or drops a request, and continues an order that waits for its end.
    pub fn end_run(&mut self, number: u64, now_ms: u64) {
        let Some(run) = self.runs.remove(&number) else {
            return;
        };
        if self.is_in_use(&run.subject) {
            return;
        }
        match self.copies.get(&run.subject).map(|copy| copy.state) {
            Some(CopyState::Unloading) => self.remove_copy(&run.subject),
            Some(CopyState::Replacing(next)) => self.replace(&run.subject, next, now_ms),
            _ => {}
        }
    }

    /// Removes and returns the requests that have not started and that an order on their adapter rejects.
    pub fn take_deferred(&mut self) -> Vec<u64> {
        let copies = &self.copies;
        let is_deferred = |run: &EngineRun| {
            let copy = copies.get(&run.subject);
            let is_there = split_subject(&run.subject).1.is_none()
                || copy.is_some_and(|copy| copy.state == CopyState::Loaded);
            !run.has_started && !is_there
        };
        let deferred: Vec<_> = self
            .runs
            .iter()
            .filter(|(_, run)| is_deferred(run))
            .map(|(number, _)| *number)
            .collect();
        for number in &deferred {
            self.runs.remove(number);
        }
        deferred
    }

    /// Handles an order, subject to its expected sequence number and fencing token.
    pub fn accept_order(
        &mut self,
        order: &EngineOrder,
        fencing_token: u64,
        named: &NamedVersions,
        now_ms: u64,
    ) -> Result<OrderOutcome, SlotOverrun> {
        if self.checks_fencing && fencing_token < self.highest_token {
            return Ok(OrderOutcome::Fenced);
        }
        self.highest_token = self.highest_token.max(fencing_token);
        if split_subject(&order.subject).1.is_none() {
            return Ok(self.load_base(order, named, now_ms));
        }
        if self.base.is_none() {
            return Ok(OrderOutcome::Refused);
        }
        let is_leaving = |copy: &AdapterCopy| copy.state == CopyState::Unloading;
        let copy = self.copies.get(&order.subject).copied();
        if order.kind == OrderKind::Unload && copy.as_ref().is_some_and(is_leaving) {
            return Ok(OrderOutcome::Begun);
        }
        if self.is_blocked() || order.expected != self.sequence {
            return Ok(OrderOutcome::Conflict);
        }
        match order.kind {
            OrderKind::Load => self.load(order, copy, named, now_ms),
            OrderKind::Unload => Ok(self.unload(&order.subject, copy)),
        }
    }

    /// Whether an order waits for runs to end.
    fn is_blocked(&self) -> bool {
        let mut copies = self.copies.values();
        copies.any(|copy| copy.state.is_under_order())
    }

    fn load_base(
        &mut self,
        order: &EngineOrder,
        named: &NamedVersions,
        now_ms: u64,
    ) -> OrderOutcome {
        if order.kind == OrderKind::Unload || order.expected != self.sequence {
            return OrderOutcome::Conflict;
        }
        if self.base.is_some() {
            return OrderOutcome::Done;
        }
        if self.base_loading.is_some() {
            return OrderOutcome::Conflict;
        }
        self.sequence += 1;
        let version = named.newest(&order.subject);
        self.base_loading = Some((version, now_ms + BASE_LOAD_MS));
        OrderOutcome::Begun
    }

    fn load(
        &mut self,
        order: &EngineOrder,
        copy: Option<AdapterCopy>,
        named: &NamedVersions,
        now_ms: u64,
    ) -> Result<OrderOutcome, SlotOverrun> {
        let adapter = &order.subject;
        let version = order.version.unwrap_or_else(|| named.newest(adapter));
        match copy {
            Some(copy) if matches!(copy.state, CopyState::Loading(_)) => Ok(OrderOutcome::Conflict),
            Some(copy) if copy.version == version => Ok(OrderOutcome::Done),
            Some(copy) => {
                self.sequence += 1;
                let state = if self.loads_side_by_side {
                    CopyState::LoadingBeside(version, now_ms + self.load_time_ms(adapter))
                } else {
                    CopyState::Replacing(version)
                };
                self.copies
                    .insert(adapter.clone(), AdapterCopy { state, ..copy });
                if !self.loads_side_by_side && !self.is_in_use(adapter) {
                    self.replace(adapter, version, now_ms);
                }
                Ok(OrderOutcome::Begun)
            }
            None => {
                self.sequence += 1;
                self.start_load(adapter, version, now_ms);
                if self.copies.len() > ADAPTER_SLOTS {
                    return Err(SlotOverrun);
                }
                Ok(OrderOutcome::Begun)
            }
        }
    }

    fn unload(&mut self, adapter: &AdapterName, copy: Option<AdapterCopy>) -> OrderOutcome {
        let Some(copy) = copy else {
            return OrderOutcome::Done;
        };
        if matches!(copy.state, CopyState::Loading(_)) {
            return OrderOutcome::Conflict;
        }
        self.sequence += 1;
        if !self.is_in_use(adapter) {
            self.remove_copy(adapter);
            return OrderOutcome::Done;
        }
        let state = CopyState::Unloading;
        self.copies
            .insert(adapter.clone(), AdapterCopy { state, ..copy });
        OrderOutcome::Begun
    }

    /// Whether runs use an adapter. Requests that have not started do not count.
    fn is_in_use(&self, adapter: &AdapterName) -> bool {
        let mut runs = self.runs.values();
        runs.any(|run| run.has_started && run.subject == *adapter)
    }

    fn remove_copy(&mut self, adapter: &AdapterName) {
        self.copies.remove(adapter);
        self.cached.retain(|(subject, _), _| subject != adapter);
    }

    fn replace(&mut self, adapter: &AdapterName, version: u64, now_ms: u64) {
        self.remove_copy(adapter);
        self.start_load(adapter, version, now_ms);
    }

    fn start_load(&mut self, adapter: &AdapterName, version: u64, now_ms: u64) {
        let state = CopyState::Loading(now_ms + self.load_time_ms(adapter));
        self.copies
            .insert(adapter.clone(), AdapterCopy { version, state });
    }

    /// Load time of an adapter, which counts as recent from now on.
    fn load_time_ms(&mut self, adapter: &AdapterName) -> u64 {
        if self.recent_adapters.contains(adapter) {
            return ADAPTER_RELOAD_MS;
        }
        self.recent_adapters.push(adapter.clone());
        ADAPTER_LOAD_MS
    }

    fn reported_life(&self) -> TargetLife {
        TargetLife::started_at_ms(self.life)
    }

    /// Current report.
    pub fn report(&self) -> EngineReport {
        let mut adapters = Vec::new();
        let mut coming = Vec::new();
        for (adapter, copy) in &self.copies {
            let listed = (adapter.clone(), copy.version);
            match copy.state {
                CopyState::Loading(_) => coming.push(listed),
                CopyState::LoadingBeside(version, _) => {
                    adapters.push(listed);
                    coming.push((adapter.clone(), version));
                }
                _ => adapters.push(listed),
            }
        }
        EngineReport {
            life: match self.life_reporting {
                LifeReporting::Nowhere => TargetLife::default(),
                LifeReporting::Reports | LifeReporting::ReportsAndList => self.reported_life(),
            },
            orders_taken: self.sequence,
            models: self
                .base
                .map(|base| (base_model(), base))
                .into_iter()
                .collect(),
            adapters,
            loading: coming,
            local_models: vec![base_model()],
            requests: u32::try_from(self.runs.len()).expect("few"),
            is_busy: self.base_loading.is_some(),
        }
    }

    /// Current entry in the platform's list.
    pub fn entry(&self) -> Arc<TargetEntry> {
        let report = self.report();
        let resident = |(adapter, version)| ResidentAdapter { adapter, version };
        Arc::new(TargetEntry {
            name: self.name.clone(),
            life: match self.life_reporting {
                LifeReporting::Nowhere | LifeReporting::Reports => TargetLife::default(),
                LifeReporting::ReportsAndList => self.reported_life(),
            },
            service: ServiceName::new("scribe"),
            address: self.address,
            zone: AvailabilityZone::new("hall"),
            slots: CALL_SLOTS,
            stage: TargetStage::Ready,
            remaining: None,
            software: SoftwareVersion::default(),
            warmup_remaining: Duration::ZERO,
            orders_taken: self.sequence,
            models: self
                .base
                .map(|base| ("base".to_owned(), base))
                .into_iter()
                .collect(),
            adapters: report.adapters.into_iter().map(resident).collect(),
        })
    }
}

/// Converts simulated time to the planner's clock.
pub fn instant(ms: u64) -> Instant {
    Instant(ms * 1_000)
}
