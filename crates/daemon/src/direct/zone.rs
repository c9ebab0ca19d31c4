//! The worker that holds this VM's zone, while this VM has the zone's lease.
//!
//! It owns the planner. Gateways ask it where calls go; it gives the engines their orders and reads their reports.

use crate::{
    clock,
    direct::{
        claims::release_lease,
        fleet::FleetState,
        message::{CallEnd, CallEnding, VmMessage},
        sender::{ConnectionPool, ReuseRule, SendError, TargetRequest, exchange},
        settings::DirectSettings,
    },
    event,
    events::Event,
};
use bytes::Bytes;
use hoplanding_core::{
    direct::{
        catalog::TargetEntry,
        config::EngineLimits,
        engine::{EngineOrder, EngineReport, OrderOutcome},
        health::CallOutcome,
        loading::LoadSummary,
        plain::{PlainAsk, PlainPlanner},
        planner::{
            CallKey, EngineFigures, PlacementAnswer, PlacementAsk, PlannerAction, RefusalCause,
            ZonePlanner,
        },
        quotas::{BucketStart, QuotaCharge, QuotaLedger, StandingTimes},
        suspects::EndedUnder,
    },
    ids::{AdapterName, FencingToken, ServiceName, TargetLife, TargetName, VmName},
};
use hoplanding_platform::orders::{
    decode_order_status, decode_report, encode_order, encode_report_request,
};
use http::StatusCode;
use std::{collections::HashMap, sync::Arc, time::Duration};
use tokio::{
    sync::{mpsc, oneshot},
    time::{MissedTickBehavior, interval, sleep, timeout},
};

/// Pause between two looks at what is due.
const TICK: Duration = Duration::from_millis(50);
/// Pause between two looks at what the list says that engines hold: such entries are news to their holder alone, and copies that were loaded
/// without a version lend no memory until one tells it.
const LIST_LOOK: Duration = Duration::from_millis(500);
/// Time after which an order or a report counts as unanswered: engines answer within a few milliseconds, and calls wait.
const ORDER_TIMEOUT: Duration = Duration::from_millis(250);
/// Largest report.
const REPORT_BYTES: usize = 1 << 20;

/// What a gateway gets for its question.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlaceReply {
    /// The holder's answer.
    Answer(PlacementAnswer),
    /// A charge is paid, or there will be enough after so many milliseconds.
    Paid(Option<u32>),
    /// The VM asked does not hold the zone.
    NotHolder,
}

/// Where a reply goes.
#[derive(Debug)]
pub enum ReplyTo {
    /// A call of this VM.
    Local(oneshot::Sender<PlaceReply>),
    /// A gateway on another VM.
    Link(mpsc::Sender<VmMessage>),
}

/// What happens to a zone.
#[derive(Debug)]
pub enum ZoneEvent {
    /// Place a call.
    Place(CallKey, Box<PlacementAsk>, ReplyTo),
    /// Place a call of a plain service.
    PlacePlain(CallKey, Box<PlainAsk>, ReplyTo),
    /// Pay a charge.
    Pay(CallKey, QuotaCharge, ReplyTo),
    /// A call that was paid for did not run.
    GiveBack(QuotaCharge),
    /// A target ended while a request ran there.
    EndedUnder(EndedUnder),
    /// The first event of a call came from this target, made by this version of the base model.
    Begun(CallKey, TargetName, Option<u64>),
    /// A call ended.
    Ended(VmName, CallEnding),
    /// A placement is no longer wanted.
    Withdrawn(CallKey),
    /// A call was open before.
    Open(CallKey, TargetName, TargetLife, AdapterName),
    /// A gateway can't be reached.
    GatewayGone(VmName),
    /// An order to a life of a target ended.
    OrderEnded(TargetName, TargetLife, OrderOutcome),
    /// A report came, or did not.
    Reported(TargetName, Option<EngineReport>),
    /// The VM stops: give no further orders, and say when that holds.
    Release(oneshot::Sender<bool>),
    /// A stronger VM asks for the lease with this token.
    Wanted(VmName, FencingToken),
    /// The lease with this token could not be given up: it is held again.
    Kept(FencingToken),
}

struct HeldZone {
    token: FencingToken,
    service: ServiceName,
    planner: ZonePlanner,
    /// Whether it is given up once the orders under way are answered.
    is_yielding: bool,
    /// What was last told of the weight store.
    told_loads: LoadSummary,
}

impl HeldZone {
    /// Says what has been learned of the weight store, if that has changed.
    fn tell_loads(&mut self) {
        let summary = self.planner.loads().summary();
        if summary.differs_from(&self.told_loads) {
            self.told_loads = summary;
            event!(
                Event::LoadsLimited,
                "to {} at once, {:?} each, {:?} without a crowd",
                summary.limit,
                summary.expected,
                summary.shortest
            );
        }
    }
}

/// What came with a lease beside the engines: a part of the quotas, and calls of plain services.
struct HeldLedger {
    token: FencingToken,
    plain: PlainPlanner,
    ledger: QuotaLedger,
    times: StandingTimes,
}

/// Holds a zone.
pub struct ZoneWorker {
    fleet: Arc<FleetState>,
    pool: Arc<ConnectionPool>,
    events: mpsc::Sender<ZoneEvent>,
    held: Option<HeldZone>,
    /// The holder's part of every quota.
    ledger: Option<HeldLedger>,
    replies: HashMap<CallKey, ReplyTo>,
    /// Charges of calls that are paid and wait for a place.
    charges: HashMap<CallKey, QuotaCharge>,
    settings: Arc<DirectSettings>,
    /// Token that is not used: a target refused it, or it is being given up.
    refused: Option<FencingToken>,
    is_released: bool,
}

impl ZoneWorker {
    /// A worker that holds nothing yet.
    #[must_use]
    pub fn new(
        fleet: Arc<FleetState>,
        pool: Arc<ConnectionPool>,
        events: mpsc::Sender<ZoneEvent>,
        settings: Arc<DirectSettings>,
    ) -> Self {
        Self {
            fleet,
            pool,
            events,
            settings,
            held: None,
            ledger: None,
            replies: HashMap::new(),
            charges: HashMap::new(),
            refused: None,
            is_released: false,
        }
    }

    /// Works until the channel closes.
    pub async fn run(mut self, mut receiver: mpsc::Receiver<ZoneEvent>) {
        let mut changes = self.fleet.watch();
        let mut tick = interval(TICK);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut look = interval(LIST_LOOK);
        look.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                event = receiver.recv() => match event {
                    Some(event) => self.take(event),
                    None => return,
                },
                _ = changes.changed() => self.refresh(),
                _ = look.tick(), if self.held.is_some() || self.ledger.is_some() => {
                    self.look_at_list();
                    self.tell_figures();
                }
                _ = tick.tick(), if self.held.is_some() || self.ledger.is_some() => {
                    let led_until = self.led_until();
                    self.stand(led_until);
                    if let Some(held) = &mut self.held {
                        held.planner.lead_until(led_until);
                        held.planner.tick(clock::now());
                        held.tell_loads();
                    }
                }
            }
            self.carry_out();
            self.yield_when_quiet();
        }
    }

    fn take(&mut self, event: ZoneEvent) {
        let now = clock::now();
        let Some(event) = self.take_charge(event, now) else {
            return;
        };
        let Some(held) = &mut self.held else {
            match event {
                ZoneEvent::Place(key, _, reply) => send_reply(&key, reply, PlaceReply::NotHolder),
                ZoneEvent::Release(done) => {
                    self.is_released = true;
                    // Whoever asked may have ended since.
                    let _ = done.send(false);
                }
                ZoneEvent::Kept(token) if self.refused == Some(token) => {
                    self.refused = None;
                    self.refresh();
                }
                _ => {}
            }
            return;
        };
        match event {
            ZoneEvent::Place(key, ask, reply) => {
                self.replies.insert(key.clone(), reply);
                held.planner.place(key, *ask, now);
            }
            ZoneEvent::Begun(key, target, version) => {
                held.planner.begun(&key, &target, version, now);
            }
            ZoneEvent::Ended(vm, ending) => {
                let key = CallKey {
                    vm,
                    number: ending.number,
                };
                // What an earlier life did says nothing about this one.
                let is_known = held.planner.knows_life(&ending.target, ending.life);
                let health = ending.outcome.and_then(CallEnd::health);
                let health = health.filter(|_| is_known);
                if ending.outcome == Some(CallEnd::Absent) {
                    held.planner.doubt_copy(&key, &ending.target, now);
                }
                held.planner.ended(&key, Some(&ending.target), health, now);
            }
            ZoneEvent::EndedUnder(ended) => {
                if held.planner.target_ended(&ended, now) {
                    let (suspected, condemned) = held.planner.suspect_counts(now);
                    event!(
                        Event::RequestSuspected,
                        "{:016x}: {} ended under it, {suspected} suspected, {condemned} sent nowhere",
                        ended.print.0,
                        ended.run.name
                    );
                }
            }
            ZoneEvent::Withdrawn(key) => {
                self.replies.remove(&key);
                held.planner.ended(&key, None, None, now);
            }
            ZoneEvent::Open(key, target, life, subject) => {
                if held.planner.knows_life(&target, life) {
                    held.planner.adopt(key, &target, &subject);
                }
            }
            ZoneEvent::GatewayGone(vm) => {
                self.replies.retain(|key, _| key.vm != vm);
                self.charges.retain(|key, _| key.vm != vm);
                held.planner.forget_gateway(&vm, now);
            }
            ZoneEvent::OrderEnded(target, life, outcome) => {
                if !held.planner.knows_life(&target, life) {
                    event!(Event::OrderOutlived, "{target}: {outcome:?}");
                } else if outcome == OrderOutcome::Fenced {
                    event!(Event::LeaseFenced, "{target} has orders of a newer holder");
                    self.refused = Some(held.token);
                    self.give_up();
                } else {
                    held.planner.order_ended(&target, outcome, now);
                }
            }
            ZoneEvent::Reported(target, report) => {
                held.planner.report_came(&target, report.as_ref(), now);
            }
            ZoneEvent::Release(done) => {
                self.is_released = true;
                self.give_up();
                let _ = done.send(true);
            }
            ZoneEvent::Wanted(vm, token) if held.token == token && !held.is_yielding => {
                event!(Event::LeaseYielded, "{} to {vm}", self.fleet.zone);
                held.is_yielding = true;
                held.planner.stop_orders();
            }
            // Asked for by an older record, or a second time.
            ZoneEvent::Wanted(..)
            | ZoneEvent::Kept(_)
            | ZoneEvent::PlacePlain(..)
            | ZoneEvent::Pay(..)
            | ZoneEvent::GiveBack(_) => {}
        }
    }

    /// Does what an event asks of the quotas; gives it back if something else is left to do.
    fn take_charge(
        &mut self,
        event: ZoneEvent,
        now: hoplanding_core::ids::Instant,
    ) -> Option<ZoneEvent> {
        match event {
            ZoneEvent::Pay(key, charge, reply) => {
                let answer = match &mut self.ledger {
                    Some(held) => PlaceReply::Paid(held.ledger.pay(&charge, now).err().map(millis)),
                    None => PlaceReply::NotHolder,
                };
                send_reply(&key, reply, answer);
                None
            }
            ZoneEvent::GiveBack(charge) => {
                self.give_back(&charge);
                None
            }
            ZoneEvent::Withdrawn(ref key) => {
                if let Some(charge) = self.charges.remove(key) {
                    self.give_back(&charge);
                }
                self.end_plain(key, None, now);
                Some(event)
            }
            ZoneEvent::PlacePlain(key, ask, reply) => {
                let answer = self.place_plain(&key, &ask, now);
                send_reply(&key, reply, answer);
                None
            }
            ZoneEvent::Ended(ref vm, ref ending) => {
                let key = CallKey {
                    vm: vm.clone(),
                    number: ending.number,
                };
                let outcome = ending.outcome.and_then(CallEnd::health);
                let is_plain = self.end_plain(&key, outcome, now);
                (!is_plain).then_some(event)
            }
            ZoneEvent::GatewayGone(ref vm) => {
                if let Some(held) = &mut self.ledger {
                    held.plain.forget_gateway(vm, now);
                }
                Some(event)
            }
            ZoneEvent::Place(key, ask, reply) => {
                let (Some(held), Some(charge)) = (&mut self.ledger, &ask.charge) else {
                    return Some(ZoneEvent::Place(key, ask, reply));
                };
                match held.ledger.pay(charge, now) {
                    Ok(()) => {
                        self.charges.insert(key.clone(), charge.clone());
                        Some(ZoneEvent::Place(key, ask, reply))
                    }
                    Err(wait) => {
                        let answer = PlacementAnswer::Refuse {
                            retry_after_ms: millis(wait),
                            cause: RefusalCause::QuotaUsedUp,
                        };
                        send_reply(&key, reply, PlaceReply::Answer(answer));
                        None
                    }
                }
            }
            other => Some(other),
        }
    }

    /// Places a call of a plain service, and pays for it if it finds a place.
    fn place_plain(
        &mut self,
        key: &CallKey,
        ask: &PlainAsk,
        now: hoplanding_core::ids::Instant,
    ) -> PlaceReply {
        let Some(held) = &mut self.ledger else {
            return PlaceReply::NotHolder;
        };
        if let Some(charge) = &ask.charge
            && let Err(wait) = held.ledger.pay(charge, now)
        {
            return PlaceReply::Answer(PlacementAnswer::Refuse {
                retry_after_ms: millis(wait),
                cause: RefusalCause::QuotaUsedUp,
            });
        }
        let targets: Vec<_> = {
            let books = self.fleet.books();
            books.catalog.ready(&ask.service).cloned().collect()
        };
        let answer = held.plain.place(key.clone(), ask, &targets, now);
        if let (PlacementAnswer::Refuse { .. }, Some(charge)) = (&answer, &ask.charge) {
            held.ledger.give_back(charge, now);
        }
        PlaceReply::Answer(answer)
    }

    /// Ends a call of a plain service; says whether it was one.
    fn end_plain(
        &mut self,
        key: &CallKey,
        outcome: Option<CallOutcome>,
        now: hoplanding_core::ids::Instant,
    ) -> bool {
        let Some(held) = self.ledger.as_mut().filter(|held| held.plain.knows(key)) else {
            return false;
        };
        held.plain.ended(key, outcome, now);
        true
    }

    fn give_back(&mut self, charge: &QuotaCharge) {
        if let Some(held) = &mut self.ledger {
            held.ledger.give_back(charge, clock::now());
        }
    }

    /// Keeps a ledger as long as the lease with a token can be used.
    fn keep_ledger(&mut self, token: Option<FencingToken>, had_holder: bool, quiet: Duration) {
        let now = clock::now();
        if self.ledger.as_ref().map(|held| held.token) != token {
            self.ledger = token.map(|token| self.new_ledger(token, had_holder, quiet));
        }
        let Some(active) = self.fleet.active() else {
            return;
        };
        if let (Some(held), Some(table)) = (&mut self.ledger, &active.config.organisations) {
            held.ledger.declare(table.quotas(), now);
        }
        if let Some(held) = &mut self.ledger {
            let books = self.fleet.books();
            held.plain
                .retain(|run| books.catalog.get(&run.name).is_some());
        }
        self.stand(self.led_until());
    }

    fn new_ledger(&self, token: FencingToken, had_holder: bool, quiet: Duration) -> HeldLedger {
        let is_first = self.settings.is_first_start && !had_holder;
        let start = if is_first {
            BucketStart::Full
        } else {
            BucketStart::Spent
        };
        let zones = u32::try_from(self.settings.zones.len()).unwrap_or(u32::MAX);
        let bounds = self.settings.quotas;
        HeldLedger {
            token,
            plain: PlainPlanner::default(),
            ledger: QuotaLedger::new(bounds, zones, start),
            times: StandingTimes {
                led_until: self.led_until(),
                began: clock::now().after(quiet),
                is_contested: !quiet.is_zero(),
                window: bounds.window,
            },
        }
    }

    /// Looks at whether there may be another holder of the zone.
    fn stand(&mut self, led_until: hoplanding_core::ids::Instant) {
        if let Some(held) = &mut self.ledger {
            let now = clock::now();
            held.times.led_until = led_until;
            held.ledger.stand(held.times.standing(now), now);
        }
    }

    /// A successor gives no order for a turn after it has claimed the zone, unless this VM has given it up or ended.
    fn led_until(&self) -> hoplanding_core::ids::Instant {
        let read_at = self.fleet.books().fleet_read_at;
        read_at.unwrap_or_default().after(self.settings.leases.turn)
    }

    /// Gives the lease up for a stronger VM once no order is under way, so that the successor's are the next ones.
    fn yield_when_quiet(&mut self) {
        let Some(held) = &self.held else {
            return;
        };
        if !held.is_yielding || held.planner.awaits_orders() {
            return;
        }
        let token = held.token;
        self.refused = Some(token);
        self.give_up();
        let fleet = Arc::clone(&self.fleet);
        let settings = Arc::clone(&self.settings);
        let events = self.events.clone();
        tokio::spawn(async move {
            let within = settings.pace.platform_timeout;
            if !release_lease(&fleet, settings.platform_address, within).await {
                // It may be recorded yet, and a successor may act on that: the zone rests for a turn.
                sleep(settings.leases.turn).await;
                // The worker ends with the process.
                let _ = events.send(ZoneEvent::Kept(token)).await;
            }
        });
    }

    /// Stops holding: whoever waits has to ask elsewhere.
    fn give_up(&mut self) {
        if self.held.take().is_some() {
            event!(Event::LeaseLost, "{}", self.fleet.zone);
        }
        self.charges.clear();
        for (key, reply) in self.replies.drain() {
            send_reply(&key, reply, PlaceReply::NotHolder);
        }
    }

    /// Takes over what the list says of the zone's engines.
    fn look_at_list(&mut self) {
        if let Some(held) = &mut self.held {
            let targets = self.fleet.zone_targets(&held.service, &self.fleet.zone);
            held.planner.set_targets(targets, clock::now());
        }
    }

    fn tell_figures(&self) {
        let figures = &self.fleet.figures;
        if let Some(held) = &self.ledger {
            figures.tell_quotas(held.ledger.counts());
        }
        if let Some(held) = &self.held {
            figures.tell_suspects(held.planner.suspect_counts(clock::now()));
        }
    }

    /// Compares what is held with the books.
    fn refresh(&mut self) {
        let now = clock::now();
        let led_until = self.led_until();
        let books = self.fleet.books();
        let lease = books.leases.get(&self.fleet.zone).filter(|state| {
            state.lease.as_ref().is_some_and(|lease| {
                lease.vm.as_ref() == Some(&self.fleet.vm)
                    && lease.incarnation == self.fleet.incarnation
            })
        });
        let token = lease.map(hoplanding_core::direct::lease::LeaseState::token);
        let had_holder = books
            .leases
            .get(&self.fleet.zone)
            .is_some_and(|state| state.had_holder);
        let quiet = books.claim_quiet;
        let policy = books.policy;
        let service = books.active.as_ref().and_then(|active| {
            let service = active
                .config
                .services
                .values()
                .find(|service| service.engine.is_some())?;
            Some((service.name.clone(), service.engine.clone()?))
        });
        let versions: Vec<_> = books
            .versions
            .iter()
            .map(|(subject, version)| (subject.clone(), *version))
            .collect();
        drop(books);
        let usable = token.filter(|token| Some(*token) != self.refused && !self.is_released);
        self.keep_ledger(usable, had_holder, quiet);
        if self.held.as_ref().map(|held| held.token) != usable {
            self.give_up();
        }
        let (Some(token), Some((service, limits))) = (usable, service) else {
            return;
        };
        if self.held.is_none() {
            event!(
                Event::LeaseHeld,
                "{} with token {}, orders after {quiet:?}",
                self.fleet.zone,
                token.0
            );
        }
        let zones = u32::try_from(self.settings.zones.len()).unwrap_or(u32::MAX);
        let held = self.held.get_or_insert_with(|| {
            let mut held = hold(token, &service, &limits, zones, now.after(quiet));
            if had_holder {
                held.planner.succeed(now.after(quiet));
            }
            held
        });
        held.service.clone_from(&service);
        held.planner.set_limits(limits);
        held.planner.set_policy(policy);
        held.planner.set_fenced(self.settings.are_orders_fenced);
        held.planner.lead_until(led_until);
        held.planner
            .set_targets(self.fleet.zone_targets(&service, &self.fleet.zone), now);
        for (subject, version) in versions {
            held.planner.set_version(&subject, version, now);
        }
    }

    fn carry_out(&mut self) {
        let Some(held) = &mut self.held else {
            return;
        };
        for action in held.planner.take_actions() {
            match action {
                PlannerAction::Answer(key, answer) => {
                    let charge = self.charges.remove(&key);
                    if let (Some(charge), PlacementAnswer::Refuse { .. }, Some(held)) =
                        (charge, &answer, &mut self.ledger)
                    {
                        held.ledger.give_back(&charge, clock::now());
                    }
                    if let Some(reply) = self.replies.remove(&key) {
                        send_reply(&key, reply, PlaceReply::Answer(answer));
                    }
                }
                PlannerAction::Order(entry, order) => {
                    let vm = self.fleet.vm.clone();
                    let request = encode_order(&entry.name, &vm, held.token, &order);
                    let pool = Arc::clone(&self.pool);
                    let events = self.events.clone();
                    tokio::spawn(async move {
                        let outcome = give_order(&pool, &entry, &order, request).await;
                        // The worker ends with the process.
                        let _ = events
                            .send(ZoneEvent::OrderEnded(
                                entry.name.clone(),
                                entry.life,
                                outcome,
                            ))
                            .await;
                    });
                }
                PlannerAction::Moved(moved) => self.fleet.figures.tell_move(&moved),
                PlannerAction::Report(entry) => {
                    let pool = Arc::clone(&self.pool);
                    let events = self.events.clone();
                    tokio::spawn(async move {
                        let report = read_report(&pool, &entry).await;
                        let _ = events
                            .send(ZoneEvent::Reported(entry.name.clone(), report))
                            .await;
                    });
                }
            }
        }
    }
}

fn hold(
    token: FencingToken,
    service: &ServiceName,
    limits: &EngineLimits,
    zones: u32,
    orders_from: hoplanding_core::ids::Instant,
) -> HeldZone {
    HeldZone {
        token,
        service: service.clone(),
        planner: ZonePlanner::new(
            EngineFigures::shared_by(zones, limits.loads_per_s),
            limits.clone(),
            orders_from,
        ),
        is_yielding: false,
        told_loads: LoadSummary::default(),
    }
}

fn millis(span: Duration) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}

fn send_reply(key: &CallKey, reply: ReplyTo, answer: PlaceReply) {
    match reply {
        // A caller that left needs no reply.
        ReplyTo::Local(sender) => drop(sender.send(answer)),
        ReplyTo::Link(sender) => {
            let message = match answer {
                PlaceReply::Answer(answer) => VmMessage::Placed(key.number, answer),
                PlaceReply::Paid(after_ms) => VmMessage::Paid(key.number, after_ms),
                PlaceReply::NotHolder => VmMessage::NotHolder(key.number),
            };
            // A full or closed link: the gateway's own timeout takes it from here.
            drop(sender.try_send(message));
        }
    }
}

async fn give_order(
    pool: &ConnectionPool,
    entry: &TargetEntry,
    order: &EngineOrder,
    request: TargetRequest,
) -> OrderOutcome {
    let exchanged = timeout(ORDER_TIMEOUT, ask_engine(pool, entry, request)).await;
    let outcome = match &exchanged {
        Ok(Ok((status, _))) => decode_order_status(*status),
        Ok(Err(SendError::NotSent { .. })) => OrderOutcome::Refused,
        Ok(Err(SendError::Unanswered { .. })) | Err(_) => OrderOutcome::Unanswered,
    };
    let is_fine = matches!(outcome, OrderOutcome::Done | OrderOutcome::Begun);
    let event = if is_fine {
        Event::OrderGiven
    } else {
        Event::OrderFailed
    };
    event!(
        event,
        "{} {:?} {} version {:?} expected {}: {outcome:?} {}",
        entry.name,
        order.kind,
        order.subject,
        order.version,
        order.expected,
        match &exchanged {
            Ok(Ok((status, body))) => format!("{status} {}", String::from_utf8_lossy(body)),
            Ok(Err(error)) => error.to_string(),
            Err(_) => "no answer in time".to_owned(),
        }
    );
    outcome
}

async fn read_report(pool: &ConnectionPool, entry: &TargetEntry) -> Option<EngineReport> {
    let request = encode_report_request(&entry.name);
    let exchanged = timeout(ORDER_TIMEOUT, ask_engine(pool, entry, request)).await;
    let problem = match exchanged {
        Ok(Ok((StatusCode::OK, body))) => match decode_report(&body) {
            Ok(report) => return Some(report),
            Err(error) => error.to_string(),
        },
        Ok(Ok((status, _))) => status.to_string(),
        Ok(Err(error)) => error.to_string(),
        Err(_) => "no answer in time".to_owned(),
    };
    event!(Event::ReportMissing, "{}: {problem}", entry.name);
    None
}

async fn ask_engine(
    pool: &ConnectionPool,
    entry: &TargetEntry,
    request: TargetRequest,
) -> Result<(StatusCode, Bytes), SendError> {
    exchange(
        pool,
        entry,
        request,
        ReuseRule::FreshOnly,
        ORDER_TIMEOUT,
        REPORT_BYTES,
    )
    .await
}
