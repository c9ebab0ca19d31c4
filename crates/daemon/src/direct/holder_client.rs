//! Client of the zones' holders: requests placements from them, and reports how calls ended.
//!
//! A request goes to the holder named by the zone's lease, either to this VM's own zone worker or over a link to another VM.
//! A caller never waits for a holder that is not heard any more: every request ends with `None` then, and the gateway continues
//! without an answer.

use crate::{
    clock,
    direct::{
        fleet::FleetState,
        holder_requests::{HolderNotice, HolderRequest},
        links::{LinkStatus, VmLink},
        message::{CallEnd, CompletedCall, VmMessage},
        stream_records::MAX_SENT_ORIGINS,
        trials::TrialPermit,
        zone::{HolderReply, ReplySender, ZoneEvent},
    },
};
use futures_util::{StreamExt, stream::FuturesUnordered};
use hoplanding_core::{
    direct::{
        lease::{HolderContact, ZoneLease},
        limits::AdvertisedLimit,
        plain::PlainRequest,
        planner::{CallKey, PlacementAnswer, PlacementRequest},
        quotas::QuotaCharge,
        stream_origins::{StreamKey, StreamOrigin},
        suspects::{RequestFingerprint, TargetCrash},
        trials::{TrialAnswer, trial_zones},
    },
    ids::{
        AdapterName, AvailabilityZone, LogPosition, SoftwareVersion, TargetLife, TargetName, VmName,
    },
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

/// Silence of a holder after which a call stops waiting for its answer. Heartbeats are sent every 400 ms.
const HOLDER_TIMEOUT: Duration = Duration::from_millis(650);
/// Interval at which a waiting call checks whether the holder is still heard.
const HOLDER_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Time that a call of a plain service waits for a holder's answer. An answer takes a few milliseconds, and the shortest latency
/// objectives of plain services are 150 ms.
const PLAIN_TIMEOUT: Duration = Duration::from_millis(60);
/// Time that a call waits for a holder's decision about a trial before it queries the next holder.
const TRIAL_TIMEOUT: Duration = Duration::from_millis(250);
/// Time that a placed call waits for the holder's record of its target.
const TARGET_TIMEOUT: Duration = Duration::from_millis(250);
/// Time that a call waits for the holders' answers about the origin of its stream.
const STREAM_TIMEOUT: Duration = Duration::from_millis(250);
/// Pause after the end of a link before a call dials it again.
const REDIAL_DELAY: Duration = Duration::from_millis(700);

/// Result of asking the zones' holders for the origin of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamLookup {
    /// The software version that began the stream.
    Found(SoftwareVersion),
    /// All holders answered, and none knows the stream.
    Unknown,
    /// No holder that answered knows the stream, and at least one did not answer.
    Unanswered,
}

/// A call that a holder placed and that has not ended.
#[derive(Clone, Debug)]
struct OpenCall {
    zone: AvailabilityZone,
    target: TargetName,
    life: TargetLife,
    subject: AdapterName,
}

/// Client of the zones' holders, shared by all calls of this VM.
#[derive(Debug)]
pub struct HolderClient {
    fleet: Arc<FleetState>,
    zone: mpsc::Sender<ZoneEvent>,
    links: Mutex<HashMap<VmName, VmLink>>,
    open: Mutex<HashMap<u64, OpenCall>>,
    numbers: AtomicU64,
}

impl HolderClient {
    /// A client that reaches this VM's own zone worker through `zone`, and other holders over links that it dials.
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

    /// Requests a target of a call from the holder of a zone; `None` if no holder answers.
    pub async fn place(
        self: &Arc<Self>,
        zone: &AvailabilityZone,
        request: PlacementRequest,
    ) -> Option<(PlacementAnswer, Option<PlacedCall>)> {
        let lease = self.fleet.lease(zone)?;
        let number = self.numbers.fetch_add(1, Ordering::Relaxed);
        let subject = request.subject.clone();
        let withdrawal = WithdrawalGuard {
            holder_client: self,
            zone,
            number,
            is_settled: false,
        };
        let request = HolderRequest::Place(Box::new(request));
        let reply = self.send_request(zone, &lease, number, request).await?;
        self.open_call(withdrawal, zone, number, subject, reply)
    }

    /// Requests a target of a plain service's call from the holder of a zone; `None` if it does not answer within 60 ms.
    pub async fn place_plain(
        self: &Arc<Self>,
        zone: &AvailabilityZone,
        request: PlainRequest,
    ) -> Option<(PlacementAnswer, Option<PlacedCall>)> {
        let lease = self.fleet.lease(zone)?;
        let number = self.numbers.fetch_add(1, Ordering::Relaxed);
        let withdrawal = WithdrawalGuard {
            holder_client: self,
            zone,
            number,
            is_settled: false,
        };
        let request = HolderRequest::PlacePlain(Box::new(request));
        let answer = self.send_request(zone, &lease, number, request);
        let reply = timeout(PLAIN_TIMEOUT, answer).await.ok()??;
        self.open_call(withdrawal, zone, number, AdapterName::new(""), reply)
    }

    /// Charges a quota at the holder of a zone. Returns the time until the holder has enough of the quota if it has too little, and
    /// `None` if no holder answers.
    pub async fn charge_quota(
        &self,
        zone: &AvailabilityZone,
        charge: QuotaCharge,
    ) -> Option<Result<(), Duration>> {
        let lease = self.fleet.lease(zone)?;
        let number = self.numbers.fetch_add(1, Ordering::Relaxed);
        let request = HolderRequest::ChargeQuota(charge);
        match self.send_request(zone, &lease, number, request).await? {
            HolderReply::Charged(None) => Some(Ok(())),
            HolderReply::Charged(Some(ms)) => Some(Err(Duration::from_millis(u64::from(ms)))),
            HolderReply::Placement(_)
            | HolderReply::Trial(_)
            | HolderReply::Target(_)
            | HolderReply::Stream(_)
            | HolderReply::NotHolder => None,
        }
    }

    /// Requests a trial of a suspect, at the first zone in the suspect's order whose holder answers.
    pub async fn request_trial(
        self: &Arc<Self>,
        zones: &[AvailabilityZone],
        fingerprint: RequestFingerprint,
    ) -> Option<(TrialAnswer, TrialPermit)> {
        for zone in trial_zones(fingerprint, zones) {
            let Some(lease) = self.fleet.lease(&zone) else {
                continue;
            };
            let number = self.numbers.fetch_add(1, Ordering::Relaxed);
            // Dropped if no answer arrives, which ends a trial that the holder may have granted nevertheless.
            let permit = TrialPermit::new(self, &zone, number, fingerprint);
            let request = HolderRequest::RequestTrial(fingerprint);
            let answer = self.send_request(&zone, &lease, number, request);
            if let Ok(Some(HolderReply::Trial(decision))) = timeout(TRIAL_TIMEOUT, answer).await {
                return Some((decision, permit));
            }
        }
        None
    }

    /// Fetches the record of a target from the zone's holder that chose it, and adds the record to the fleet state.
    pub async fn fetch_target(&self, zone: &AvailabilityZone, target: &TargetName) {
        let Some(lease) = self.fleet.lease(zone) else {
            return;
        };
        let number = self.numbers.fetch_add(1, Ordering::Relaxed);
        let request = HolderRequest::LookUpTarget(target.clone());
        let answer = self.send_request(zone, &lease, number, request);
        if let Ok(Some(HolderReply::Target(Some(record)))) = timeout(TARGET_TIMEOUT, answer).await {
            self.fleet.apply_requested(record);
        }
    }

    /// Asks the holders of the other zones which software version began a stream.
    pub async fn look_up_stream(&self, key: StreamKey) -> StreamLookup {
        let zones = self.all_zones();
        let mut questions: FuturesUnordered<_> = zones
            .iter()
            .map(|zone| timeout(STREAM_TIMEOUT, self.ask_for_stream(zone, key)))
            .collect();
        let mut is_unanswered = false;
        while let Some(answer) = questions.next().await {
            match answer {
                Ok(Some(Some(software))) => return StreamLookup::Found(software),
                Ok(Some(None)) => {}
                Ok(None) | Err(_) => is_unanswered = true,
            }
        }
        if is_unanswered {
            StreamLookup::Unanswered
        } else {
            StreamLookup::Unknown
        }
    }

    /// Asks one zone's holder for the origin of a stream; `None` if it does not answer.
    async fn ask_for_stream(
        &self,
        zone: &AvailabilityZone,
        key: StreamKey,
    ) -> Option<Option<SoftwareVersion>> {
        let lease = self.fleet.lease(zone)?;
        if self.is_mine(&lease) {
            return Some(self.fleet.stream_software(key));
        }
        let number = self.numbers.fetch_add(1, Ordering::Relaxed);
        let question = VmMessage::LookUpStream(number, key);
        match self.ask(zone, &lease, number, question).await? {
            HolderReply::Stream(software) => Some(software),
            _ => None,
        }
    }

    /// Sends origins of streams to the holders of all zones. Returns whether there is any.
    pub fn report_streams(&self, origins: &[StreamOrigin]) -> bool {
        let mut is_reported = false;
        for zone in self.all_zones() {
            let Some(lease) = self.fleet.lease(&zone) else {
                continue;
            };
            if self.is_mine(&lease) {
                is_reported = true;
            } else if let Some(link) = self.link(&zone, &lease) {
                link.send_notice(VmMessage::StreamsBegan(origins.to_vec()));
                is_reported = true;
            }
        }
        is_reported
    }

    /// Reports the end of a trial to the holder that granted it. A success clears the suspicion and is reported to all holders.
    pub(super) fn end_trial(
        &self,
        zone: &AvailabilityZone,
        number: u64,
        fingerprint: RequestFingerprint,
        is_successful: bool,
    ) {
        let report = |zone: &AvailabilityZone| {
            let notice = HolderNotice::TrialEnded(number, fingerprint, is_successful);
            self.notify(zone, notice);
        };
        if !is_successful {
            report(zone);
            return;
        }
        self.fleet.clear_suspicion(fingerprint);
        self.all_zones().iter().for_each(report);
    }

    /// Tells every zone's holder that a request with a part of prompts was answered, so that the part is harmless.
    pub fn report_harmless(&self, part: RequestFingerprint) {
        let number = self.numbers.fetch_add(1, Ordering::Relaxed);
        for zone in &self.all_zones() {
            self.notify(zone, HolderNotice::TrialEnded(number, part, true));
        }
    }

    fn all_zones(&self) -> Vec<AvailabilityZone> {
        self.fleet.tables().leases.keys().cloned().collect()
    }

    /// Sends a request to a zone's holder; `None` if the holder does not answer.
    async fn send_request(
        &self,
        zone: &AvailabilityZone,
        lease: &ZoneLease,
        number: u64,
        request: HolderRequest,
    ) -> Option<HolderReply> {
        if self.is_mine(lease) {
            let (sender, receiver) = oneshot::channel();
            let event = request.into_event(self.key(number), ReplySender::Local(sender));
            self.zone.send(event).await.ok()?;
            return receiver.await.ok();
        }
        self.ask(zone, lease, number, request.into_message(number))
            .await
    }

    /// Sends a request to the holder of a zone on another VM; `None` if it does not answer.
    async fn ask(
        &self,
        zone: &AvailabilityZone,
        lease: &ZoneLease,
        number: u64,
        request: VmMessage,
    ) -> Option<HolderReply> {
        let link = self.usable_link(zone, lease)?;
        let mut receiver = link.send_request(number, request)?;
        loop {
            match timeout(HOLDER_CHECK_INTERVAL, &mut receiver).await {
                Ok(reply) => return reply.ok(),
                Err(_) if !link.is_heard_within(HOLDER_TIMEOUT) => return None,
                Err(_) => {}
            }
        }
    }

    /// Turns a holder's reply to a placement into its answer, and opens the call if it was placed.
    fn open_call(
        self: &Arc<Self>,
        mut withdrawal: WithdrawalGuard<'_>,
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
            | HolderReply::Target(_)
            | HolderReply::Stream(_) => None,
            HolderReply::Placement(answer) => {
                let placed_call = match &answer {
                    PlacementAnswer::Send { target, life, .. } => {
                        let call = OpenCall {
                            zone: zone.clone(),
                            target: target.clone(),
                            life: *life,
                            subject,
                        };
                        Some(self.register_call(number, call))
                    }
                    PlacementAnswer::Refuse { .. } => None,
                };
                Some((answer, placed_call))
            }
        }
    }

    fn register_call(self: &Arc<Self>, number: u64, call: OpenCall) -> PlacedCall {
        self.open
            .lock()
            .expect("no thread panics while it holds the lock")
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

    /// The link to a holder, if a call can wait for an answer over it. A link that ended is dialled again in the background, and
    /// no call waits for the redial.
    fn usable_link(&self, zone: &AvailabilityZone, lease: &ZoneLease) -> Option<VmLink> {
        let vm = lease.vm.as_ref()?;
        let known = {
            let links = self
                .links
                .lock()
                .expect("no thread panics while it holds the lock");
            links.get(vm).cloned()
        };
        let known = known.filter(|link| link.incarnation == lease.incarnation);
        let is_new = known.is_none();
        if let Some(LinkStatus::Ended { at, .. }) = known.as_ref().map(VmLink::contact)
            && clock::now().since(at) < REDIAL_DELAY
        {
            return None;
        }
        let link = self.link(zone, lease)?;
        match link.contact() {
            LinkStatus::Up => link.is_heard_within(HOLDER_TIMEOUT).then_some(link),
            LinkStatus::Dialling if is_new || !link.is_redial => Some(link),
            LinkStatus::Dialling | LinkStatus::Ended { .. } => None,
        }
    }

    /// The link to the holder named by a lease, dialled if there is none. A new link first sends the open calls, the suspects
    /// and the rate limits that this VM knows.
    fn link(&self, zone: &AvailabilityZone, lease: &ZoneLease) -> Option<VmLink> {
        let vm = lease.vm.as_ref()?;
        let mut links = self
            .links
            .lock()
            .expect("no thread panics while it holds the lock");
        let earlier = links
            .get(vm)
            .filter(|link| link.incarnation == lease.incarnation)
            .cloned();
        if let Some(link) = &earlier
            && !matches!(link.contact(), LinkStatus::Ended { .. })
        {
            return Some(link.clone());
        }
        let known_state: Vec<_> = {
            let tables = self.fleet.tables();
            let suspects = tables.suspects.crashes(clock::now());
            let limits = tables.limits.advertised().map(VmMessage::TargetLimit);
            let origins = tables.mixed_stream_origins(clock::now());
            let origins = origins.chunks(MAX_SENT_ORIGINS);
            suspects
                .map(VmMessage::TargetCrashed)
                .chain(limits)
                .chain(origins.map(|part| VmMessage::StreamsBegan(part.to_vec())))
                .collect()
        };
        let opening = self
            .open
            .lock()
            .expect("no thread panics while it holds the lock")
            .iter()
            .filter(|(_, call)| {
                self.fleet
                    .lease(&call.zone)
                    .is_some_and(|held| held.vm == lease.vm)
            })
            .map(|(number, call)| {
                let target = call.target.clone();
                VmMessage::OpenCall(*number, target, call.life, call.subject.clone())
            })
            .chain(known_state)
            .collect();
        let link = VmLink::dial(
            &self.fleet,
            vm.clone(),
            zone.clone(),
            lease.address,
            lease.incarnation,
            earlier.as_ref(),
            opening,
        );
        links.insert(vm.clone(), link.clone());
        Some(link)
    }

    /// State of the contact with a zone's holder; dials the holder if there is no link to it yet.
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
            let links = self
                .links
                .lock()
                .expect("no thread panics while it holds the lock");
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

    /// Whether calls would not wait for the holder named by a lease, as it has ended or is silent. A holder without a
    /// link is not known to be.
    #[must_use]
    pub fn is_known_silent(&self, lease: &ZoneLease) -> bool {
        if self.is_mine(lease) {
            return lease.incarnation != self.fleet.incarnation;
        }
        let links = self
            .links
            .lock()
            .expect("no thread panics while it holds the lock");
        let link = lease.vm.as_ref().and_then(|vm| links.get(vm));
        link.filter(|link| link.incarnation == lease.incarnation)
            .is_some_and(|link| match link.contact() {
                LinkStatus::Up => !link.is_heard_within(HOLDER_TIMEOUT),
                LinkStatus::Dialling => link.is_redial,
                LinkStatus::Ended { .. } => true,
            })
    }

    /// Whether the holder named by a lease was heard over a link within the given time.
    #[must_use]
    pub fn is_heard(&self, lease: &ZoneLease, within: Duration) -> bool {
        let links = self
            .links
            .lock()
            .expect("no thread panics while it holds the lock");
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

    /// Dials a zone's holder again if its link has ended.
    pub fn redial(&self, zone: &AvailabilityZone, lease: &ZoneLease) {
        if !self.is_mine(lease) {
            self.link(zone, lease);
        }
    }

    /// Requests that a zone's holder release its lease, recorded at this position, in favour of this VM.
    pub fn request_lease(&self, zone: &AvailabilityZone, lease: &ZoneLease, position: LogPosition) {
        if let Some(link) = self.link(zone, lease) {
            link.send_notice(VmMessage::LeaseWanted(position));
        }
    }

    /// Reports the end of a call; waits in the background if the zone worker's queue is full.
    fn report_end(&self, zone: &AvailabilityZone, completed: CompletedCall) {
        let Some(lease) = self.fleet.lease(zone) else {
            return;
        };
        if self.is_mine(&lease) {
            let event = ZoneEvent::CallEnded(self.fleet.vm.clone(), completed);
            if let Err(mpsc::error::TrySendError::Full(event)) = self.zone.try_send(event) {
                let zone = self.zone.clone();
                tokio::spawn(async move {
                    // Fails only when the zone worker ends, which is with the process.
                    let _ = zone.send(event).await;
                });
            }
        } else if let Some(link) = self.link(zone, &lease) {
            link.send_notice(VmMessage::CallEnded(completed));
        }
    }

    /// Refunds a charge at the holder of this VM's own zone.
    pub fn refund(&self, charge: QuotaCharge) {
        self.notify(&self.fleet.zone, HolderNotice::RefundQuota(charge));
    }

    /// Notifies every zone's holder that a target crashed while it ran a request.
    pub fn report_crash(&self, crash: &TargetCrash) {
        for zone in &self.all_zones() {
            self.notify(zone, HolderNotice::TargetCrashed(crash.clone()));
        }
    }

    /// Reports the rate limit that a target advertised in an answer to every zone's holder.
    pub fn report_limit(&self, limit: &AdvertisedLimit) {
        for zone in &self.all_zones() {
            self.notify(zone, HolderNotice::TargetLimit(limit.clone()));
        }
    }

    /// Sends a notice, which has no answer, to a zone's holder.
    fn notify(&self, zone: &AvailabilityZone, notice: HolderNotice) {
        let Some(lease) = self.fleet.lease(zone) else {
            return;
        };
        if self.is_mine(&lease) {
            // A notice lost to a full queue does limited harm. A charge that is not refunded stays spent; other VMs report the
            // same crash; a trial delays the next one until it expires. A call that was begun or withdrawn is released
            // by its end, and the prompt that it read is not offered to other engines.
            drop(self.zone.try_send(notice.into_event(&self.fleet.vm)));
        } else if let Some(link) = self.link(zone, &lease) {
            link.send_notice(notice.into_message());
        }
    }
}

/// Withdraws a placement if its call stops waiting for the answer.
struct WithdrawalGuard<'a> {
    holder_client: &'a HolderClient,
    zone: &'a AvailabilityZone,
    number: u64,
    is_settled: bool,
}

impl Drop for WithdrawalGuard<'_> {
    fn drop(&mut self) {
        if !self.is_settled {
            self.holder_client
                .notify(self.zone, HolderNotice::PlacementWithdrawn(self.number));
        }
    }
}

/// A call that a holder placed; reports its end to the holder when dropped.
#[derive(Debug)]
pub struct PlacedCall {
    holder_client: Arc<HolderClient>,
    number: u64,
    outcome: Option<CallEnd>,
}

impl PlacedCall {
    /// Number of the call, which is unique among the calls of this process.
    #[must_use]
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Tells the holder that the stream's first event came, so that its prompt has been read, by this version of the base model.
    pub fn record_first_event(&self, version: Option<u64>) {
        let call = self
            .holder_client
            .open
            .lock()
            .expect("no thread panics while it holds the lock")
            .get(&self.number)
            .cloned();
        if let Some(call) = call {
            let notice = HolderNotice::FirstEvent(self.number, call.target, version);
            self.holder_client.notify(&call.zone, notice);
        }
    }

    /// Ends the call with an outcome. Without one, as when the caller left, the holder learns nothing about the target.
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
            .expect("no thread panics while it holds the lock")
            .remove(&self.number);
        if let Some(call) = call {
            let completed = CompletedCall {
                number: self.number,
                target: call.target,
                life: call.life,
                outcome: self.outcome,
            };
            self.holder_client.report_end(&call.zone, completed);
        }
    }
}
