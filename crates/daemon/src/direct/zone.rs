//! The worker that holds this VM's zone, while this VM has the zone's lease.
//!
//! It owns the planner. Gateways ask it where calls go; it gives the engines their orders and reads their reports.

use crate::{
    clock,
    direct::{
        claims::release_lease,
        engine_client::{fetch_report, send_order},
        fleet::FleetState,
        holder_state::{HolderState, LeaseOrigin},
        message::{CallEnd, CompletedCall, ForwardedRecord, VmMessage},
        settings::DirectSettings,
        target_connections::ConnectionPool,
    },
    event,
    events::Event,
};
use hoplanding_core::{
    direct::{
        config::EngineLimits,
        engine::{EngineReport, OrderOutcome},
        lease::LeaseState,
        limits::AdvertisedLimit,
        load_limiter::LoadSummary,
        millis,
        plain::PlainRequest,
        planner::{
            CallKey, EngineEstimates, PlacementAnswer, PlacementRequest, PlannerAction, ZonePlanner,
        },
        quotas::QuotaCharge,
        suspects::{RequestFingerprint, TargetCrash},
        trials::TrialAnswer,
    },
    ids::{AdapterName, FencingToken, Instant, ServiceName, TargetLife, TargetName, VmName},
};
use hoplanding_platform::orders::encode_order;
use std::{collections::HashMap, sync::Arc, time::Duration};
use tokio::{
    sync::{mpsc, oneshot},
    time::{MissedTickBehavior, interval, sleep},
};

/// Pause between two looks at what is due.
const TICK: Duration = Duration::from_millis(50);
/// Pause between two looks at what the list says that engines hold: such entries are news to their holder alone, and
/// copies that were loaded without a version lend no memory until one tells it.
const LIST_LOOK: Duration = Duration::from_millis(500);
/// What a gateway gets for its question.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HolderReply {
    /// The holder's answer.
    Placement(PlacementAnswer),
    /// A charge is paid, or there will be enough after so many milliseconds.
    Charged(Option<u32>),
    /// Whether a trial is granted.
    Trial(TrialAnswer),
    /// The record of a target that is known.
    Target(Option<ForwardedRecord>),
    /// The VM asked does not hold the zone.
    NotHolder,
}

/// Where a reply goes.
#[derive(Debug)]
pub enum ReplySender {
    /// A call of this VM.
    Local(oneshot::Sender<HolderReply>),
    /// A gateway on another VM.
    Peer(mpsc::Sender<VmMessage>),
}

/// What happens to a zone.
#[derive(Debug)]
pub enum ZoneEvent {
    /// Place a call.
    Place(CallKey, Box<PlacementRequest>, ReplySender),
    /// Place a call of a plain service.
    PlacePlain(CallKey, Box<PlainRequest>, ReplySender),
    /// Pay a charge.
    ChargeQuota(CallKey, QuotaCharge, ReplySender),
    /// A call that was paid for did not run.
    RefundQuota(QuotaCharge),
    /// A target ended while a request ran there.
    TargetEnded(TargetCrash),
    /// An answer told of a target's limit.
    TargetLimit(AdvertisedLimit),
    /// Grant a trial of a suspect.
    RequestTrial(CallKey, RequestFingerprint, ReplySender),
    /// Tell the record of a target.
    LookUpTarget(CallKey, TargetName, ReplySender),
    /// A trial ended, answered well or not.
    TrialEnded(CallKey, RequestFingerprint, bool),
    /// The first event of a call came from this target, made by this version of the base model.
    FirstEvent(CallKey, TargetName, Option<u64>),
    /// A call ended.
    CallEnded(VmName, CompletedCall),
    /// A placement is no longer wanted.
    PlacementWithdrawn(CallKey),
    /// A call was open before.
    OpenCall(CallKey, TargetName, TargetLife, AdapterName),
    /// A gateway can't be reached.
    GatewayLost(VmName),
    /// An order to a life of a target ended.
    OrderEnded(TargetName, TargetLife, OrderOutcome),
    /// A report came, or did not.
    ReportReceived(TargetName, Option<EngineReport>),
    /// The VM stops: give no further orders, and say when that holds.
    ReleaseLease(oneshot::Sender<bool>),
    /// A stronger VM asks for the lease with this token.
    LeaseWanted(VmName, FencingToken),
    /// The lease with this token could not be given up: it is held again.
    LeaseRetained(FencingToken),
}

struct HeldZone {
    token: FencingToken,
    service: ServiceName,
    planner: ZonePlanner,
    /// Whether it is given up once the orders under way are answered.
    is_yielding: bool,
    /// What was last told of the weight store.
    told_loads: LoadSummary,
    /// Revision of the books' suspects that the planner was given.
    synced: Option<u64>,
}

impl HeldZone {
    /// Says what has been learned of the weight store, if that has changed.
    fn tell_loads(&mut self) {
        let summary = self.planner.load_limiter().summary();
        if summary.differs_notably(&self.told_loads) {
            self.told_loads = summary;
            event!(
                Event::LoadLimitChanged,
                "to {} at once, {:?} each, {:?} without a crowd",
                summary.limit,
                summary.expected_time,
                summary.uncontended_time
            );
        }
    }
}

/// A call that waits for a place.
struct PendingAsk {
    reply: ReplySender,
    /// What was paid for it.
    charge: Option<QuotaCharge>,
}

/// Holds a zone.
pub struct ZoneWorker {
    fleet: Arc<FleetState>,
    pool: Arc<ConnectionPool>,
    events: mpsc::Sender<ZoneEvent>,
    held: Option<HeldZone>,
    /// There as long as the lease can be used, also where no service has engines.
    holder_state: Option<HolderState>,
    pending: HashMap<CallKey, PendingAsk>,
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
            holder_state: None,
            pending: HashMap::new(),
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
                _ = look.tick(), if self.holder_state.is_some() => {
                    self.look_at_list();
                    self.tell_figures();
                }
                _ = tick.tick(), if self.holder_state.is_some() => {
                    let led_until = self.led_until();
                    if let Some(holder_state) = &mut self.holder_state {
                        holder_state.lead_until(led_until);
                    }
                    self.sync_suspects();
                    let confirmed = self.fleet.tables().confirmed_token;
                    if let Some(held) = &mut self.held {
                        if confirmed != Some(held.token) {
                            held.planner.hold_orders(clock::now().after(2 * TICK));
                        }
                        held.planner.set_lead_until(led_until);
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
        if let ZoneEvent::LookUpTarget(key, target, reply) = event {
            let record = self.fleet.target_record(&target);
            send_reply(&key, reply, HolderReply::Target(record));
            return;
        }
        let Some(event) = self.take_for_ledger(event, now) else {
            return;
        };
        let Some(held) = &mut self.held else {
            match event {
                ZoneEvent::Place(key, _, reply) => send_reply(&key, reply, HolderReply::NotHolder),
                ZoneEvent::ReleaseLease(done) => {
                    self.is_released = true;
                    // Whoever asked may have ended since.
                    let _ = done.send(false);
                }
                ZoneEvent::LeaseRetained(token) if self.refused == Some(token) => {
                    self.refused = None;
                    self.refresh();
                }
                _ => {}
            }
            return;
        };
        match event {
            ZoneEvent::Place(key, ask, reply) => {
                let charge = ask.charge.clone();
                let paid = self.holder_state.as_mut().map_or(Ok(()), |holder_state| {
                    holder_state.charge_placement(charge.as_ref(), now)
                });
                if let Err(refusal) = paid {
                    send_reply(&key, reply, HolderReply::Placement(refusal));
                    return;
                }
                let pending = PendingAsk { reply, charge };
                self.pending.insert(key.clone(), pending);
                held.planner.place(key, *ask, now);
            }
            ZoneEvent::FirstEvent(key, target, version) => {
                held.planner.call_started(&key, &target, version, now);
            }
            ZoneEvent::CallEnded(vm, ending) => {
                let key = CallKey {
                    vm,
                    number: ending.number,
                };
                // What an earlier life did says nothing about this one.
                let is_known = held.planner.is_current_life(&ending.target, ending.life);
                let health = ending.outcome.and_then(CallEnd::health);
                let health = health.filter(|_| is_known);
                if ending.outcome == Some(CallEnd::Absent) {
                    held.planner.report_missing_copy(&key, &ending.target, now);
                }
                held.planner
                    .call_ended(&key, Some(&ending.target), health, now);
            }
            ZoneEvent::PlacementWithdrawn(key) => {
                let pending = self.pending.remove(&key);
                if let (Some(charge), Some(holder_state)) = (
                    pending.and_then(|pending| pending.charge),
                    &mut self.holder_state,
                ) {
                    holder_state.refund(&charge, now);
                }
                held.planner.call_ended(&key, None, None, now);
            }
            ZoneEvent::OpenCall(key, target, life, subject) => {
                if held.planner.is_current_life(&target, life) {
                    held.planner.adopt_call(key, &target, &subject);
                }
            }
            ZoneEvent::GatewayLost(vm) => {
                self.pending.retain(|key, _| key.vm != vm);
                held.planner.forget_gateway(&vm, now);
            }
            ZoneEvent::OrderEnded(target, life, outcome) => {
                if !held.planner.is_current_life(&target, life) {
                    event!(Event::StaleOrderAnswer, "{target}: {outcome:?}");
                } else if outcome == OrderOutcome::Fenced {
                    event!(Event::LeaseFenced, "{target} has orders of a newer holder");
                    self.refused = Some(held.token);
                    self.give_up();
                } else {
                    held.planner.order_ended(&target, outcome, now);
                }
            }
            ZoneEvent::ReportReceived(target, report) => {
                held.planner.report_received(&target, report.as_ref(), now);
            }
            ZoneEvent::ReleaseLease(done) => {
                self.is_released = true;
                self.give_up();
                let _ = done.send(true);
            }
            ZoneEvent::LeaseWanted(vm, token) if held.token == token && !held.is_yielding => {
                event!(Event::LeaseYielded, "{} to {vm}", self.fleet.zone);
                held.is_yielding = true;
                held.planner.stop_orders();
            }
            // Asked for by an older record, or a second time.
            ZoneEvent::LeaseWanted(..)
            | ZoneEvent::LeaseRetained(_)
            | ZoneEvent::PlacePlain(..)
            | ZoneEvent::ChargeQuota(..)
            | ZoneEvent::RefundQuota(_)
            | ZoneEvent::TargetEnded(_)
            | ZoneEvent::TargetLimit(_)
            | ZoneEvent::RequestTrial(..)
            | ZoneEvent::LookUpTarget(..)
            | ZoneEvent::TrialEnded(..) => {}
        }
    }

    /// Does what an event asks of the ledger; gives the event back if something else is left to do.
    fn take_for_ledger(&mut self, event: ZoneEvent, now: Instant) -> Option<ZoneEvent> {
        let Some(holder_state) = &mut self.holder_state else {
            return match event {
                ZoneEvent::ChargeQuota(key, _, reply)
                | ZoneEvent::PlacePlain(key, _, reply)
                | ZoneEvent::RequestTrial(key, _, reply) => {
                    send_reply(&key, reply, HolderReply::NotHolder);
                    None
                }
                other => Some(other),
            };
        };
        match event {
            ZoneEvent::ChargeQuota(key, charge, reply) => {
                let short = holder_state.pay(&charge, now).err();
                send_reply(&key, reply, HolderReply::Charged(short.map(millis)));
                None
            }
            ZoneEvent::RefundQuota(charge) => {
                holder_state.refund(&charge, now);
                None
            }
            ZoneEvent::RequestTrial(key, fingerprint, reply) => {
                let answer = holder_state.ask_trial(&self.fleet, fingerprint, key.clone(), now);
                send_reply(&key, reply, HolderReply::Trial(answer));
                None
            }
            ZoneEvent::TrialEnded(key, fingerprint, is_good) => {
                holder_state.end_trial(fingerprint, &key);
                if is_good {
                    self.fleet.clear_suspicion(fingerprint);
                    if let Some(held) = &mut self.held {
                        held.planner.clear_suspicion(fingerprint);
                    }
                }
                None
            }
            ZoneEvent::TargetLimit(named) => {
                self.fleet.tables().limits.record(&named, now);
                holder_state.note_limit(&named, now);
                if let Some(held) = &mut self.held {
                    held.planner.record_limit(&named, now);
                }
                None
            }
            ZoneEvent::TargetEnded(ended) => {
                self.fleet.note_ended_under(&ended);
                if let Some(held) = &mut self.held {
                    held.planner.target_ended(&ended, now);
                }
                None
            }
            ZoneEvent::PlacePlain(key, ask, reply) => {
                let answer = holder_state.place_plain(&self.fleet, key.clone(), &ask, now);
                send_reply(&key, reply, HolderReply::Placement(answer));
                None
            }
            ZoneEvent::PlacementWithdrawn(ref key) => {
                let is_plain = holder_state.end_plain(key, None, now);
                (!is_plain).then_some(event)
            }
            ZoneEvent::CallEnded(ref vm, ref ending) => {
                let key = CallKey {
                    vm: vm.clone(),
                    number: ending.number,
                };
                let outcome = ending.outcome.and_then(CallEnd::health);
                let is_plain = holder_state.end_plain(&key, outcome, now);
                (!is_plain).then_some(event)
            }
            ZoneEvent::GatewayLost(ref vm) => {
                holder_state.forget_gateway(vm, now);
                Some(event)
            }
            other => Some(other),
        }
    }

    /// Has the planner know what the books do of requests under which engines ended, also by the log.
    fn sync_suspects(&mut self) {
        let Some(held) = &mut self.held else {
            return;
        };
        let tables = self.fleet.tables();
        let revision = tables.suspects.revision();
        if held.synced != Some(revision) {
            held.synced = Some(revision);
            held.planner.set_suspects(tables.suspects.clone());
        }
    }

    /// A successor gives no order for a turn after it has claimed the zone, unless this VM has given it up or ended.
    fn led_until(&self) -> Instant {
        let read_at = self.fleet.tables().fleet_read_at;
        read_at
            .unwrap_or_default()
            .after(self.settings.leases.handover_delay)
    }

    /// Gives the lease up for a stronger VM once no order is under way, so that the successor's are the next ones.
    fn yield_when_quiet(&mut self) {
        let Some(held) = &self.held else {
            return;
        };
        if !held.is_yielding || held.planner.has_pending_orders() {
            return;
        }
        let token = held.token;
        self.refused = Some(token);
        self.give_up();
        let fleet = Arc::clone(&self.fleet);
        let settings = Arc::clone(&self.settings);
        let events = self.events.clone();
        tokio::spawn(async move {
            let within = settings.timing.platform_timeout;
            if !release_lease(&fleet, settings.platform_address, within).await {
                // It may be recorded yet, and a successor may act on that: the zone rests for a turn.
                sleep(settings.leases.handover_delay).await;
                // The worker ends with the process.
                let _ = events.send(ZoneEvent::LeaseRetained(token)).await;
            }
        });
    }

    /// Stops holding: whoever waits has to ask elsewhere.
    fn give_up(&mut self) {
        if self.held.take().is_some() {
            event!(Event::LeaseLost, "{}", self.fleet.zone);
        }
        self.holder_state = None;
        for (key, pending) in self.pending.drain() {
            send_reply(&key, pending.reply, HolderReply::NotHolder);
        }
    }

    /// Holds the zone by another record of the same lease, as the log came back from a copy. All that is known of it stays.
    fn renew(&mut self, token: FencingToken) {
        event!(
            Event::LeaseRenewed,
            "{} with token {}",
            self.fleet.zone,
            token.0
        );
        if let Some(holder_state) = &mut self.holder_state {
            holder_state.token = token;
        }
        if let Some(held) = &mut self.held {
            held.token = token;
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
        let metrics = &self.fleet.metrics;
        if let Some(holder_state) = &self.holder_state {
            metrics.set_quota_counts(holder_state.counts());
            let tables = self.fleet.tables();
            metrics.set_suspect_counts(tables.suspects.counts(clock::now()));
        }
    }

    /// Compares what is held with the books.
    fn refresh(&mut self) {
        let now = clock::now();
        let led_until = self.led_until();
        let tables = self.fleet.tables();
        let lease = tables.leases.get(&self.fleet.zone).filter(|state| {
            state.lease.as_ref().is_some_and(|lease| {
                lease.vm.as_ref() == Some(&self.fleet.vm)
                    && lease.incarnation == self.fleet.incarnation
            })
        });
        let token = lease.map(LeaseState::token);
        let is_copied = lease.is_some_and(|state| state.is_from_earlier_era);
        let renewed = lease.and_then(|state| state.renewed_token);
        let had_holder = tables
            .leases
            .get(&self.fleet.zone)
            .is_some_and(|state| state.had_holder);
        let quiet = tables.claim_delay;
        let is_confirmed = token.is_some() && tables.confirmed_token == token;
        let policy = tables.policy;
        let service = tables.active.as_ref().and_then(|active| {
            let service = active
                .config
                .services
                .values()
                .find(|service| service.engine.is_some())?;
            Some((service.name.clone(), service.engine.clone()?))
        });
        let versions: Vec<_> = tables
            .versions
            .iter()
            .map(|(subject, version)| (subject.clone(), *version))
            .collect();
        let named_limits: Vec<_> = tables.limits.advertised().collect();
        drop(tables);
        let held = self
            .holder_state
            .as_ref()
            .map(|holder_state| holder_state.token);
        // Nobody begins to hold a zone by a claim of an earlier history.
        let token = token.filter(|token| !is_copied || held == Some(*token));
        let is_renewal = held.is_some() && held == renewed && quiet.is_zero();
        let usable = token.filter(|token| Some(*token) != self.refused && !self.is_released);
        if let (Some(token), true) = (usable, is_renewal) {
            self.renew(token);
        }
        if self
            .holder_state
            .as_ref()
            .map(|holder_state| holder_state.token)
            != usable
        {
            self.give_up();
        }
        let Some(token) = usable else {
            return;
        };
        let holder_state = self.holder_state.get_or_insert_with(|| {
            let lease = LeaseOrigin {
                token,
                had_holder,
                quiet,
            };
            let mut holder_state = HolderState::new(&self.settings, lease, led_until, now);
            for named in &named_limits {
                holder_state.note_limit(named, now);
            }
            holder_state
        });
        holder_state.refresh(&self.fleet, now);
        holder_state.lead_until(led_until);
        let Some((service, limits)) = service else {
            return;
        };
        let is_new = self.held.is_none();
        if is_new {
            event!(
                Event::LeaseHeld,
                "{} with token {}, orders after {quiet:?}",
                self.fleet.zone,
                token.0
            );
        }
        let zones = u32::try_from(self.settings.zones.len()).unwrap_or(u32::MAX);
        let held = self.held.get_or_insert_with(|| {
            // Longer than to the next tick, which asks whether the claim is confirmed.
            let orders_from = now.after(quiet.max(2 * TICK * u32::from(!is_confirmed)));
            let mut held = hold(token, &service, &limits, zones, orders_from);
            if had_holder {
                held.planner.mark_takeover(now.after(quiet));
            }
            held
        });
        held.service.clone_from(&service);
        held.planner.set_limits(limits);
        held.planner.set_policy(policy);
        held.planner
            .set_order_fencing(self.settings.has_order_fencing);
        held.planner.set_lead_until(led_until);
        held.planner
            .set_targets(self.fleet.zone_targets(&service, &self.fleet.zone), now);
        if is_new {
            for named in &named_limits {
                held.planner.record_limit(named, now);
            }
        }
        for (subject, version) in versions {
            held.planner.set_version(&subject, version, now);
        }
        self.sync_suspects();
    }

    fn carry_out(&mut self) {
        let Some(held) = &mut self.held else {
            return;
        };
        for action in held.planner.take_actions() {
            match action {
                PlannerAction::Answer(key, answer) => {
                    let Some(pending) = self.pending.remove(&key) else {
                        continue;
                    };
                    let is_refused = matches!(answer, PlacementAnswer::Refuse { .. });
                    if let (Some(charge), Some(holder_state)) =
                        (&pending.charge, &mut self.holder_state)
                        && is_refused
                    {
                        holder_state.refund(charge, clock::now());
                    }
                    send_reply(&key, pending.reply, HolderReply::Placement(answer));
                }
                // An engine that wants nothing from this VM is as good as out of reach for it.
                PlannerAction::Order(entry, _) if self.fleet.is_resting(&entry.run()) => {
                    let outcome = OrderOutcome::Refused;
                    held.planner.order_ended(&entry.name, outcome, clock::now());
                }
                PlannerAction::FetchReport(entry) if self.fleet.is_resting(&entry.run()) => {
                    held.planner
                        .report_received(&entry.name, None, clock::now());
                }
                PlannerAction::Order(entry, order) => {
                    let vm = self.fleet.vm.clone();
                    let request = encode_order(&entry.name, &vm, held.token, &order);
                    let fleet = Arc::clone(&self.fleet);
                    let pool = Arc::clone(&self.pool);
                    let events = self.events.clone();
                    tokio::spawn(async move {
                        let outcome = send_order(&fleet, &pool, &entry, &order, request).await;
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
                PlannerAction::RecordTransfer(moved) => {
                    self.fleet.metrics.count_prompt_move(&moved)
                }
                PlannerAction::FetchReport(entry) => {
                    let fleet = Arc::clone(&self.fleet);
                    let pool = Arc::clone(&self.pool);
                    let events = self.events.clone();
                    tokio::spawn(async move {
                        let report = fetch_report(&fleet, &pool, &entry).await;
                        let _ = events
                            .send(ZoneEvent::ReportReceived(entry.name.clone(), report))
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
    orders_from: Instant,
) -> HeldZone {
    HeldZone {
        token,
        service: service.clone(),
        planner: ZonePlanner::new(
            EngineEstimates::per_zone(zones, limits.loads_per_s),
            limits.clone(),
            orders_from,
        ),
        is_yielding: false,
        told_loads: LoadSummary::default(),
        synced: None,
    }
}

fn send_reply(key: &CallKey, reply: ReplySender, answer: HolderReply) {
    match reply {
        // A caller that left needs no reply.
        ReplySender::Local(sender) => drop(sender.send(answer)),
        ReplySender::Peer(sender) => {
            let message = match answer {
                HolderReply::Placement(answer) => VmMessage::Placed(key.number, answer),
                HolderReply::Charged(after_ms) => VmMessage::Paid(key.number, after_ms),
                HolderReply::Trial(answer) => VmMessage::TrialAnswered(key.number, answer),
                HolderReply::Target(record) => VmMessage::TargetTold(key.number, record),
                HolderReply::NotHolder => VmMessage::NotHolder(key.number),
            };
            // A full or closed link: the gateway's own timeout takes it from here.
            drop(sender.try_send(message));
        }
    }
}
