//! The gateway's way to the holder of a zone.

use crate::{
    clock,
    direct::{
        fleet::FleetState,
        holder_requests::{HolderNotice, HolderRequest},
        links::{LinkStatus, VmLink},
        message::{CallEnd, CompletedCall, VmMessage},
        trials::TrialPermit,
        zone::{HolderReply, ReplySender, ZoneEvent},
    },
};
use hoplanding_core::{
    direct::{
        lease::{HolderContact, ZoneLease},
        limits::AdvertisedLimit,
        plain::PlainRequest,
        planner::{CallKey, PlacementAnswer, PlacementRequest},
        quotas::QuotaCharge,
        suspects::{RequestFingerprint, TargetCrash},
        trials::{TrialAnswer, trial_zones},
    },
    ids::{AdapterName, AvailabilityZone, LogPosition, TargetLife, TargetName, VmName},
};
use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};
use tokio::{
    sync::{mpsc, oneshot},
    time::timeout,
};

/// Silence of a holder after which a call does not wait for its answer any longer. Signs of life come every 400 ms.
const HOLDER_SILENCE: Duration = Duration::from_millis(650);
/// Pause between two looks at whether a holder is still heard.
const HOLDER_LOOK: Duration = Duration::from_millis(50);
/// Time that a call of a plain service waits for a holder's answer, which takes a few milliseconds: their objectives
/// begin at 150 ms.
const PLAIN_WAIT: Duration = Duration::from_millis(60);
/// Time that a call waits for a holder's word on a trial before it asks the next one.
const TRIAL_WAIT: Duration = Duration::from_millis(250);
/// Time that a placed call waits for the holder's record of its target.
const TARGET_WAIT: Duration = Duration::from_millis(250);
/// Pause after a link ended before it is dialled again for a call.
const REDIAL_PAUSE: Duration = Duration::from_millis(700);

/// A call that a holder placed.
#[derive(Clone, Debug)]
struct OpenCall {
    zone: AvailabilityZone,
    target: TargetName,
    life: TargetLife,
    subject: AdapterName,
}

/// Asks holders, and tells them how calls ended.
#[derive(Debug)]
pub struct HolderClient {
    fleet: Arc<FleetState>,
    zone: mpsc::Sender<ZoneEvent>,
    links: Mutex<HashMap<VmName, VmLink>>,
    open: Mutex<HashMap<u64, OpenCall>>,
    numbers: AtomicU64,
}

impl HolderClient {
    /// Access by way of this VM's own zone worker and links to others.
    #[must_use]
    pub fn new(fleet: Arc<FleetState>, zone: mpsc::Sender<ZoneEvent>) -> Self {
        Self {
            fleet,
            zone,
            links: Mutex::default(),
            open: Mutex::default(),
            numbers: AtomicU64::new(1),
        }
    }

    /// Asks the holder of a zone where a call goes; nothing where no holder answers.
    pub async fn place(
        self: &Arc<Self>,
        zone: &AvailabilityZone,
        ask: PlacementRequest,
    ) -> Option<(PlacementAnswer, Option<PlacedCall>)> {
        let lease = self.fleet.lease(zone)?;
        let number = self.numbers.fetch_add(1, Ordering::Relaxed);
        let subject = ask.subject.clone();
        let withdrawal = WithdrawnAsk {
            holder_client: self,
            zone,
            number,
            is_settled: false,
        };
        let question = HolderRequest::Place(Box::new(ask));
        let reply = self.question(zone, &lease, number, question).await?;
        self.settle(withdrawal, zone, number, subject, reply)
    }

    /// Asks the holder of a zone where a call of a plain service goes; nothing where it does not answer at once.
    pub async fn place_plain(
        self: &Arc<Self>,
        zone: &AvailabilityZone,
        ask: PlainRequest,
    ) -> Option<(PlacementAnswer, Option<PlacedCall>)> {
        let lease = self.fleet.lease(zone)?;
        let number = self.numbers.fetch_add(1, Ordering::Relaxed);
        let withdrawal = WithdrawnAsk {
            holder_client: self,
            zone,
            number,
            is_settled: false,
        };
        let question = HolderRequest::Plain(Box::new(ask));
        let asked = self.question(zone, &lease, number, question);
        let reply = timeout(PLAIN_WAIT, asked).await.ok()??;
        self.settle(withdrawal, zone, number, AdapterName::new(""), reply)
    }

    /// Pays a charge at the holder of a zone, or tells the time until that one has enough; nothing where no holder answers.
    pub async fn pay(
        &self,
        zone: &AvailabilityZone,
        charge: QuotaCharge,
    ) -> Option<Result<(), Duration>> {
        let lease = self.fleet.lease(zone)?;
        let number = self.numbers.fetch_add(1, Ordering::Relaxed);
        let question = HolderRequest::Pay(charge);
        match self.question(zone, &lease, number, question).await? {
            HolderReply::Charged(None) => Some(Ok(())),
            HolderReply::Charged(Some(ms)) => Some(Err(Duration::from_millis(u64::from(ms)))),
            HolderReply::Placement(_)
            | HolderReply::Trial(_)
            | HolderReply::Target(_)
            | HolderReply::NotHolder => None,
        }
    }

    /// Asks for a trial of a suspect: the first zone in their order whose holder answers.
    pub async fn ask_trial(
        self: &Arc<Self>,
        zones: &[AvailabilityZone],
        fingerprint: RequestFingerprint,
    ) -> Option<(TrialAnswer, TrialPermit)> {
        for zone in trial_zones(fingerprint, zones) {
            let Some(lease) = self.fleet.lease(&zone) else {
                continue;
            };
            let number = self.numbers.fetch_add(1, Ordering::Relaxed);
            // Dropped where nobody answers, as a trial may have been granted that nobody heard of.
            let permit = TrialPermit::new(self, &zone, number, fingerprint);
            let question = HolderRequest::Trial(fingerprint);
            let asked = self.question(&zone, &lease, number, question);
            if let Ok(Some(HolderReply::Trial(answer))) = timeout(TRIAL_WAIT, asked).await {
                return Some((answer, permit));
            }
        }
        None
    }

    /// Asks the holder of a zone for the record of a target that it has placed a call at.
    pub async fn learn_target(&self, zone: &AvailabilityZone, target: &TargetName) {
        let Some(lease) = self.fleet.lease(zone) else {
            return;
        };
        let number = self.numbers.fetch_add(1, Ordering::Relaxed);
        let question = HolderRequest::Target(target.clone());
        let asked = self.question(zone, &lease, number, question);
        if let Ok(Some(HolderReply::Target(Some(record)))) = timeout(TARGET_WAIT, asked).await {
            self.fleet.apply_requested(record);
        }
    }

    /// Tells of a trial's end: the holder that granted it, and all of one that was answered well.
    pub(super) fn end_trial(
        &self,
        zone: &AvailabilityZone,
        number: u64,
        fingerprint: RequestFingerprint,
        is_good: bool,
    ) {
        let notice = |zone: &AvailabilityZone| {
            let notice = HolderNotice::TrialEnded(number, fingerprint, is_good);
            self.notify(zone, notice);
        };
        if !is_good {
            notice(zone);
            return;
        }
        self.fleet.clear_suspicion(fingerprint);
        self.all_zones().iter().for_each(notice);
    }

    fn all_zones(&self) -> Vec<AvailabilityZone> {
        self.fleet.tables().leases.keys().cloned().collect()
    }

    /// Asks a zone's holder; nothing where it does not answer.
    async fn question(
        &self,
        zone: &AvailabilityZone,
        lease: &ZoneLease,
        number: u64,
        question: HolderRequest,
    ) -> Option<HolderReply> {
        if self.is_mine(lease) {
            let (sender, receiver) = oneshot::channel();
            let event = question.into_event(self.key(number), ReplySender::Local(sender));
            self.zone.send(event).await.ok()?;
            return receiver.await.ok();
        }
        let link = self.usable_link(zone, lease)?;
        let mut receiver = link.ask(number, question.into_message(number))?;
        loop {
            match timeout(HOLDER_LOOK, &mut receiver).await {
                Ok(reply) => return reply.ok(),
                Err(_) if !link.is_heard_within(HOLDER_SILENCE) => return None,
                Err(_) => {}
            }
        }
    }

    /// Takes a holder's reply to a question.
    fn settle(
        self: &Arc<Self>,
        mut withdrawal: WithdrawnAsk<'_>,
        zone: &AvailabilityZone,
        number: u64,
        subject: AdapterName,
        reply: HolderReply,
    ) -> Option<(PlacementAnswer, Option<PlacedCall>)> {
        withdrawal.is_settled = true;
        match reply {
            HolderReply::NotHolder
            | HolderReply::Charged(_)
            | HolderReply::Trial(_)
            | HolderReply::Target(_) => None,
            HolderReply::Placement(answer) => {
                let placed_call = match &answer {
                    PlacementAnswer::Send { target, life, .. } => {
                        let call = OpenCall {
                            zone: zone.clone(),
                            target: target.clone(),
                            life: *life,
                            subject,
                        };
                        Some(self.placed_call(number, call))
                    }
                    PlacementAnswer::Refuse { .. } => None,
                };
                Some((answer, placed_call))
            }
        }
    }

    fn placed_call(self: &Arc<Self>, number: u64, call: OpenCall) -> PlacedCall {
        self.open
            .lock()
            .expect("no holder of the lock panics")
            .insert(number, call);
        PlacedCall {
            holder_client: Arc::clone(self),
            number,
            outcome: None,
        }
    }

    fn key(&self, number: u64) -> CallKey {
        CallKey {
            vm: self.fleet.vm.clone(),
            number,
        }
    }

    fn is_mine(&self, lease: &ZoneLease) -> bool {
        lease.vm.as_ref() == Some(&self.fleet.vm)
    }

    /// The link to a holder, if it is worth waiting for: one that ended is dialled again, but no call waits for that.
    fn usable_link(&self, zone: &AvailabilityZone, lease: &ZoneLease) -> Option<VmLink> {
        let vm = lease.vm.as_ref()?;
        let known = {
            let links = self.links.lock().expect("no holder of the lock panics");
            links.get(vm).cloned()
        };
        let known = known.filter(|link| link.incarnation == lease.incarnation);
        let is_new = known.is_none();
        if let Some(LinkStatus::Ended { at, .. }) = known.as_ref().map(VmLink::contact)
            && clock::now().since(at) < REDIAL_PAUSE
        {
            return None;
        }
        let link = self.link(zone, lease)?;
        match link.contact() {
            LinkStatus::Up => link.is_heard_within(HOLDER_SILENCE).then_some(link),
            LinkStatus::Dialling if is_new || !link.is_redial => Some(link),
            LinkStatus::Dialling | LinkStatus::Ended { .. } => None,
        }
    }

    /// The link to the holder by a lease, dialled if there is none.
    fn link(&self, zone: &AvailabilityZone, lease: &ZoneLease) -> Option<VmLink> {
        let vm = lease.vm.as_ref()?;
        let mut links = self.links.lock().expect("no holder of the lock panics");
        let earlier = links
            .get(vm)
            .filter(|link| link.incarnation == lease.incarnation)
            .cloned();
        if let Some(link) = &earlier
            && !matches!(link.contact(), LinkStatus::Ended { .. })
        {
            return Some(link.clone());
        }
        let known: Vec<_> = {
            let tables = self.fleet.tables();
            let suspects = tables.suspects.crashes(clock::now());
            let limits = tables.limits.advertised().map(VmMessage::LimitNamed);
            suspects.map(VmMessage::EndedUnder).chain(limits).collect()
        };
        let first = self
            .open
            .lock()
            .expect("no holder of the lock panics")
            .iter()
            .filter(|(_, call)| {
                self.fleet
                    .lease(&call.zone)
                    .is_some_and(|held| held.vm == lease.vm)
            })
            .map(|(number, call)| {
                let target = call.target.clone();
                VmMessage::Open(*number, target, call.life, call.subject.clone())
            })
            .chain(known)
            .collect();
        let link = VmLink::dial(
            &self.fleet,
            vm.clone(),
            zone.clone(),
            lease.address,
            lease.incarnation,
            earlier.as_ref(),
            first,
        );
        links.insert(vm.clone(), link.clone());
        Some(link)
    }

    /// How the contact with a zone's holder stands; dials it if it has to.
    #[must_use]
    pub fn contact(&self, zone: &AvailabilityZone, lease: &ZoneLease) -> HolderContact {
        if self.is_mine(lease) {
            return if lease.incarnation == self.fleet.incarnation {
                HolderContact::Heard
            } else {
                HolderContact::Ended
            };
        }
        let known = lease.vm.as_ref().and_then(|vm| {
            let links = self.links.lock().expect("no holder of the lock panics");
            links.get(vm).cloned()
        });
        match known.filter(|link| link.incarnation == lease.incarnation) {
            Some(link) => match link.contact() {
                LinkStatus::Up => HolderContact::Heard,
                LinkStatus::Dialling if !link.is_redial => HolderContact::Heard,
                LinkStatus::Ended {
                    is_process_gone: true,
                    ..
                } => HolderContact::Ended,
                LinkStatus::Dialling | LinkStatus::Ended { .. } => {
                    HolderContact::Silent(link.heard())
                }
            },
            None => {
                self.link(zone, lease);
                HolderContact::Silent(clock::now())
            }
        }
    }

    /// Whether the holder by a lease was heard over a link within a span.
    #[must_use]
    pub fn is_heard(&self, lease: &ZoneLease, within: Duration) -> bool {
        let links = self.links.lock().expect("no holder of the lock panics");
        lease
            .vm
            .as_ref()
            .and_then(|vm| links.get(vm))
            .is_some_and(|link| {
                link.incarnation == lease.incarnation
                    && link.contact() == LinkStatus::Up
                    && link.is_heard_within(within)
            })
    }

    /// Dials a zone's holder anew if its link has ended.
    pub fn redial(&self, zone: &AvailabilityZone, lease: &ZoneLease) {
        if !self.is_mine(lease) {
            self.link(zone, lease);
        }
    }

    /// Asks a zone's holder for its lease, which was recorded at a position.
    pub fn request_lease(&self, zone: &AvailabilityZone, lease: &ZoneLease, position: LogPosition) {
        if let Some(link) = self.link(zone, lease) {
            link.tell(VmMessage::LeaseWanted(position));
        }
    }

    fn tell(&self, zone: &AvailabilityZone, ending: CompletedCall) {
        let Some(lease) = self.fleet.lease(zone) else {
            return;
        };
        if self.is_mine(&lease) {
            let event = ZoneEvent::CallEnded(self.fleet.vm.clone(), ending);
            if let Err(mpsc::error::TrySendError::Full(event)) = self.zone.try_send(event) {
                let zone = self.zone.clone();
                tokio::spawn(async move {
                    // The worker ends with the process.
                    let _ = zone.send(event).await;
                });
            }
        } else if let Some(link) = self.link(zone, &lease) {
            link.tell(VmMessage::Ended(ending));
        }
    }

    /// Gives a charge back to this VM's own zone's holder.
    pub fn refund(&self, charge: QuotaCharge) {
        self.notify(&self.fleet.zone, HolderNotice::GiveBack(charge));
    }

    /// Tells every zone's holder that a target ended while a request ran there.
    pub fn tell_ended_under(&self, ended: &TargetCrash) {
        for zone in &self.all_zones() {
            self.notify(zone, HolderNotice::EndedUnder(ended.clone()));
        }
    }

    /// Tells every zone's holder what an answer said of its target's limit.
    pub fn tell_limit(&self, named: &AdvertisedLimit) {
        for zone in &self.all_zones() {
            self.notify(zone, HolderNotice::LimitNamed(named.clone()));
        }
    }

    /// Tells a zone's holder what it need not answer.
    fn notify(&self, zone: &AvailabilityZone, notice: HolderNotice) {
        let Some(lease) = self.fleet.lease(zone) else {
            return;
        };
        if self.is_mine(&lease) {
            // What a full channel loses: a charge is lost to its organisation, other VMs tell of the same end, and a
            // trial holds up others until its time is over. A call that was begun or withdrawn is freed by its end, and
            // what it has read lends nothing.
            drop(self.zone.try_send(notice.into_event(&self.fleet.vm)));
        } else if let Some(link) = self.link(zone, &lease) {
            link.tell(notice.into_message());
        }
    }
}

/// Withdraws a question that nobody waits for any more.
struct WithdrawnAsk<'a> {
    holder_client: &'a HolderClient,
    zone: &'a AvailabilityZone,
    number: u64,
    is_settled: bool,
}

impl Drop for WithdrawnAsk<'_> {
    fn drop(&mut self) {
        if !self.is_settled {
            self.holder_client
                .notify(self.zone, HolderNotice::Withdrawn(self.number));
        }
    }
}

/// A placed call; tells the holder of its end when dropped.
#[derive(Debug)]
pub struct PlacedCall {
    holder_client: Arc<HolderClient>,
    number: u64,
    outcome: Option<CallEnd>,
}

impl PlacedCall {
    /// The holder's number of the call.
    #[must_use]
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Tells the holder that the stream's first event came: its prompt has been read, by this version of
    /// the base model.
    pub fn note_first_event(&self, version: Option<u64>) {
        let call = self
            .holder_client
            .open
            .lock()
            .expect("no holder of the lock panics")
            .get(&self.number)
            .cloned();
        if let Some(call) = call {
            let notice = HolderNotice::Begun(self.number, call.target, version);
            self.holder_client.notify(&call.zone, notice);
        }
    }

    /// Ends the call with what it says about its target.
    pub fn finish(mut self, outcome: CallEnd) {
        self.outcome = Some(outcome);
    }
}

impl Drop for PlacedCall {
    fn drop(&mut self) {
        let call = self
            .holder_client
            .open
            .lock()
            .expect("no holder of the lock panics")
            .remove(&self.number);
        if let Some(call) = call {
            let ending = CompletedCall {
                number: self.number,
                target: call.target,
                life: call.life,
                outcome: self.outcome,
            };
            self.holder_client.tell(&call.zone, ending);
        }
    }
}
