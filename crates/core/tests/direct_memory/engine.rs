//! What an engine truly is and has, whatever its holder believes.

use crate::drawn::{DrawnWorld, LifeTelling};
use hoplanding_core::{
    direct::{
        catalog::{ResidentAdapter, TargetEntry, TargetStage},
        engine::{EngineOrder, EngineReport, OrderKind, OrderOutcome},
        planner::split_subject,
    },
    ids::{AdapterName, AvailabilityZone, Instant, ServiceName, TargetLife, TargetName},
};
use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

/// Adapters that an engine has places for; one that is given more falls. Fewer than the worlds' adapters, so that some make way.
pub const PLACES: usize = 2;
/// Calls that an engine works on at once.
pub const SLOTS: u32 = 8;
/// Time of an adapter's load, in ms.
const ADAPTER_LOAD_MS: u64 = 250;
/// The same for an adapter that the engine had lately: ten times as fast.
const LATELY_LOAD_MS: u64 = 25;
/// Time of a base model's load from the engine's disk, in ms.
const BASE_LOAD_MS: u64 = 600;

/// The base model of every world.
pub fn base_model() -> AdapterName {
    AdapterName::new("base")
}

/// The versions that made a part of memory; adapter 0 where the base model alone made it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CacheTag {
    pub base: u64,
    pub adapter: u64,
}

/// The newest version of each subject by the operator's word, whoever has heard of it.
#[derive(Clone, Debug, Default)]
pub struct NamedVersions(BTreeMap<AdapterName, u64>);

impl NamedVersions {
    /// The first version is there without a name.
    pub fn newest(&self, subject: &AdapterName) -> u64 {
        self.0.get(subject).copied().unwrap_or(1)
    }

    pub fn name(&mut self, subject: AdapterName, version: u64) {
        self.0.insert(subject, version);
    }
}

/// An adapter at an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CopyState {
    Here,
    /// It is there at this time, in ms.
    Coming(u64),
    /// It goes once its runs have ended.
    Leaving,
    /// This version comes in its place once its runs have ended.
    Replaced(u64),
    /// This version is loaded beside it, is there at this time, in ms, and takes its place once its runs have ended.
    Swapped(u64, u64),
}

impl CopyState {
    /// Whether an order on it waits for runs, or for what comes beside it; its requests are turned away until then.
    fn is_under_order(self) -> bool {
        matches!(self, Self::Leaving | Self::Replaced(_) | Self::Swapped(..))
    }
}

#[derive(Clone, Copy, Debug)]
struct TrueCopy {
    version: u64,
    state: CopyState,
}

/// A request at an engine.
#[derive(Clone, Debug)]
pub struct EngineRun {
    pub subject: AdapterName,
    /// Whether it has had its first token.
    pub has_begun: bool,
}

/// How an engine takes a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reception {
    Taken,
    /// 421: it lacks what is asked for.
    Misdirected,
    /// 503: an order on what is asked for is under way.
    Deferred,
}

/// An order beyond an engine's places.
#[derive(Debug)]
pub struct PlaceOverrun;

/// One machine, in the life that its engine has now.
#[derive(Clone, Debug)]
pub struct TrueEngine {
    pub name: TargetName,
    pub address: SocketAddr,
    pub is_up: bool,
    /// Lives so far.
    pub life: u64,
    pub base: Option<u64>,
    /// Requests by the number of their call.
    pub runs: BTreeMap<u64, EngineRun>,
    copies: BTreeMap<AdapterName, TrueCopy>,
    kept: BTreeMap<(AdapterName, u64), CacheTag>,
    /// The base model that is being loaded, and when it is there, in ms.
    base_coming: Option<(u64, u64)>,
    lately: Vec<AdapterName>,
    sequence: u64,
    /// Highest fencing token that it has seen.
    fence: u64,
    checks_fences: bool,
    /// Whether a replacement is loaded while the copy that it replaces is still there.
    loads_beside: bool,
    telling: LifeTelling,
}

impl TrueEngine {
    pub fn new(number: u16, drawn: &DrawnWorld) -> Self {
        Self {
            name: TargetName::new(&format!("e{number}")),
            address: SocketAddr::from(([127, 0, 0, 1], number)),
            is_up: true,
            life: 0,
            base: Some(1),
            runs: BTreeMap::new(),
            copies: BTreeMap::new(),
            kept: BTreeMap::new(),
            base_coming: None,
            lately: Vec::new(),
            sequence: 0,
            fence: 0,
            checks_fences: drawn.checks_fences,
            loads_beside: drawn.loads_beside,
            telling: drawn.telling,
        }
    }

    /// Has an adapter from the start.
    pub fn hold(&mut self, adapter: AdapterName, version: u64) {
        let state = CopyState::Here;
        self.copies.insert(adapter, TrueCopy { version, state });
    }

    /// It crashes: nothing is left but the name of the machine.
    pub fn crash(&mut self) {
        self.is_up = false;
        self.life += 1;
        self.base = None;
        self.base_coming = None;
        self.runs.clear();
        self.copies.clear();
        self.kept.clear();
        self.lately.clear();
        self.sequence = 0;
        self.fence = 0;
    }

    /// Time passes: loads end.
    pub fn advance(&mut self, now_ms: u64) {
        if let Some((version, _)) = self.base_coming.filter(|(_, at)| *at <= now_ms) {
            self.base = Some(version);
            self.base_coming = None;
        }
        let mut swapped = Vec::new();
        for (adapter, copy) in &mut self.copies {
            match copy.state {
                CopyState::Coming(at) if at <= now_ms => copy.state = CopyState::Here,
                CopyState::Swapped(version, at) if at <= now_ms => {
                    swapped.push((adapter.clone(), version));
                }
                _ => {}
            }
        }
        swapped.retain(|(adapter, _)| !self.is_used(adapter));
        for (adapter, version) in swapped {
            self.drop_copy(&adapter);
            self.hold(adapter, version);
        }
    }

    /// The versions that a run for a subject is made under now.
    pub fn mark(&self, subject: &AdapterName) -> Option<CacheTag> {
        let base = self.base?;
        if split_subject(subject).1.is_none() {
            return Some(CacheTag { base, adapter: 0 });
        }
        let copy = self.copies.get(subject)?;
        let is_there = !matches!(copy.state, CopyState::Coming(_));
        let adapter = copy.version;
        is_there.then_some(CacheTag { base, adapter })
    }

    /// A request comes.
    pub fn receive(&self, subject: &AdapterName, expected: Option<u64>) -> Reception {
        let copy = self.copies.get(subject);
        if copy.is_some_and(|copy| copy.state.is_under_order()) {
            return Reception::Deferred;
        }
        let Some(mark) = self.mark(subject) else {
            return Reception::Misdirected;
        };
        let is_adapter = split_subject(subject).1.is_some();
        let version = if is_adapter { mark.adapter } else { mark.base };
        if expected.is_some_and(|expected| expected != version) {
            return Reception::Misdirected;
        }
        Reception::Taken
    }

    pub fn kept(&self, subject: &AdapterName, part: u64) -> Option<CacheTag> {
        self.kept.get(&(subject.clone(), part)).copied()
    }

    /// Keeps a part, unless it has it.
    pub fn keep(&mut self, subject: &AdapterName, part: u64, mark: CacheTag) {
        self.kept.entry((subject.clone(), part)).or_insert(mark);
    }

    /// A request has ended or was dropped; what waits for its end goes on.
    pub fn end_run(&mut self, number: u64, now_ms: u64) {
        let Some(run) = self.runs.remove(&number) else {
            return;
        };
        if self.is_used(&run.subject) {
            return;
        }
        match self.copies.get(&run.subject).map(|copy| copy.state) {
            Some(CopyState::Leaving) => self.drop_copy(&run.subject),
            Some(CopyState::Replaced(next)) => self.replace(&run.subject, next, now_ms),
            _ => {}
        }
    }

    /// Requests that have not begun and that an order has turned away.
    pub fn take_deferred(&mut self) -> Vec<u64> {
        let copies = &self.copies;
        let is_deferred = |run: &EngineRun| {
            let copy = copies.get(&run.subject);
            let is_there = split_subject(&run.subject).1.is_none()
                || copy.is_some_and(|copy| copy.state == CopyState::Here);
            !run.has_begun && !is_there
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

    /// Takes an order, as far as `expected` and fence allow.
    pub fn take(
        &mut self,
        order: &EngineOrder,
        token: u64,
        named: &NamedVersions,
        now_ms: u64,
    ) -> Result<OrderOutcome, PlaceOverrun> {
        if self.checks_fences && token < self.fence {
            return Ok(OrderOutcome::Fenced);
        }
        self.fence = self.fence.max(token);
        if split_subject(&order.subject).1.is_none() {
            return Ok(self.take_base(order, named, now_ms));
        }
        if self.base.is_none() {
            return Ok(OrderOutcome::Refused);
        }
        let is_leaving = |copy: &TrueCopy| copy.state == CopyState::Leaving;
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

    /// Whether an order waits for runs.
    fn is_blocked(&self) -> bool {
        let mut copies = self.copies.values();
        copies.any(|copy| copy.state.is_under_order())
    }

    fn take_base(
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
        if self.base_coming.is_some() {
            return OrderOutcome::Conflict;
        }
        self.sequence += 1;
        let version = named.newest(&order.subject);
        self.base_coming = Some((version, now_ms + BASE_LOAD_MS));
        OrderOutcome::Begun
    }

    fn load(
        &mut self,
        order: &EngineOrder,
        copy: Option<TrueCopy>,
        named: &NamedVersions,
        now_ms: u64,
    ) -> Result<OrderOutcome, PlaceOverrun> {
        let adapter = &order.subject;
        let version = order.version.unwrap_or_else(|| named.newest(adapter));
        match copy {
            Some(copy) if matches!(copy.state, CopyState::Coming(_)) => Ok(OrderOutcome::Conflict),
            Some(copy) if copy.version == version => Ok(OrderOutcome::Done),
            Some(copy) => {
                self.sequence += 1;
                let state = if self.loads_beside {
                    CopyState::Swapped(version, now_ms + self.load_time_ms(adapter))
                } else {
                    CopyState::Replaced(version)
                };
                self.copies
                    .insert(adapter.clone(), TrueCopy { state, ..copy });
                if !self.loads_beside && !self.is_used(adapter) {
                    self.replace(adapter, version, now_ms);
                }
                Ok(OrderOutcome::Begun)
            }
            None => {
                self.sequence += 1;
                self.bring(adapter, version, now_ms);
                if self.copies.len() > PLACES {
                    return Err(PlaceOverrun);
                }
                Ok(OrderOutcome::Begun)
            }
        }
    }

    fn unload(&mut self, adapter: &AdapterName, copy: Option<TrueCopy>) -> OrderOutcome {
        let Some(copy) = copy else {
            return OrderOutcome::Done;
        };
        if matches!(copy.state, CopyState::Coming(_)) {
            return OrderOutcome::Conflict;
        }
        self.sequence += 1;
        if !self.is_used(adapter) {
            self.drop_copy(adapter);
            return OrderOutcome::Done;
        }
        let state = CopyState::Leaving;
        self.copies
            .insert(adapter.clone(), TrueCopy { state, ..copy });
        OrderOutcome::Begun
    }

    /// Whether runs hold an adapter; requests that have not begun do not.
    fn is_used(&self, adapter: &AdapterName) -> bool {
        let mut runs = self.runs.values();
        runs.any(|run| run.has_begun && run.subject == *adapter)
    }

    fn drop_copy(&mut self, adapter: &AdapterName) {
        self.copies.remove(adapter);
        self.kept.retain(|(subject, _), _| subject != adapter);
    }

    fn replace(&mut self, adapter: &AdapterName, version: u64, now_ms: u64) {
        self.drop_copy(adapter);
        self.bring(adapter, version, now_ms);
    }

    fn bring(&mut self, adapter: &AdapterName, version: u64, now_ms: u64) {
        let state = CopyState::Coming(now_ms + self.load_time_ms(adapter));
        self.copies
            .insert(adapter.clone(), TrueCopy { version, state });
    }

    /// Time of an adapter's load, which from now on it had lately.
    fn load_time_ms(&mut self, adapter: &AdapterName) -> u64 {
        if self.lately.contains(adapter) {
            return LATELY_LOAD_MS;
        }
        self.lately.push(adapter.clone());
        ADAPTER_LOAD_MS
    }

    fn told_life(&self) -> TargetLife {
        TargetLife::begun_at(self.life)
    }

    /// What it says of itself now.
    pub fn report(&self) -> EngineReport {
        let mut adapters = Vec::new();
        let mut coming = Vec::new();
        for (adapter, copy) in &self.copies {
            let listed = (adapter.clone(), copy.version);
            match copy.state {
                CopyState::Coming(_) => coming.push(listed),
                CopyState::Swapped(version, _) => {
                    adapters.push(listed);
                    coming.push((adapter.clone(), version));
                }
                _ => adapters.push(listed),
            }
        }
        EngineReport {
            life: match self.telling {
                LifeTelling::Nobody => TargetLife::default(),
                LifeTelling::Reports | LifeTelling::All => self.told_life(),
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
            is_busy: self.base_coming.is_some(),
        }
    }

    /// What the platform lists of it now.
    pub fn entry(&self) -> Arc<TargetEntry> {
        let report = self.report();
        let resident = |(adapter, version)| ResidentAdapter { adapter, version };
        Arc::new(TargetEntry {
            name: self.name.clone(),
            life: match self.telling {
                LifeTelling::Nobody | LifeTelling::Reports => TargetLife::default(),
                LifeTelling::All => self.told_life(),
            },
            service: ServiceName::new("scribe"),
            address: self.address,
            zone: AvailabilityZone::new("hall"),
            slots: SLOTS,
            stage: TargetStage::Ready,
            remaining: None,
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

/// A moment of a world on the planner's clock.
pub fn instant(ms: u64) -> Instant {
    Instant(ms * 1_000)
}
