//! Claims of the lease of this VM's zone.

use crate::{
    clock::{self, CLOCK_ERROR},
    direct::{
        access::ZoneAccess,
        fleet::{FleetBooks, FleetState, zone_key},
        front::StopPhase,
        message::FeedTopic,
        settings::DirectSettings,
    },
    event,
    events::Event,
};
use hoplanding_core::{
    direct::lease::{HolderContact, HolderView, LeaseState, LeaseStep, ZoneLease},
    ids::LogPosition,
};
use hoplanding_platform::{
    names::FLEET_TOPIC,
    store::{StoreClient, StoreError},
};
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::{sync::watch, time::sleep};

/// Pause between two looks at the holder.
const LOOK_EVERY: Duration = Duration::from_millis(150);
/// Claims in a row while others' records come in between.
const CLAIM_TRIES: u32 = 4;
/// Pause after a claim without an answer: it may be recorded yet. Doubles while the log stays out of reach, as all VMs
/// of a zone without a holder are at it.
const AFTER_LOST_CLAIM: Duration = Duration::from_millis(500);
const AFTER_LOST_LONGEST: Duration = Duration::from_secs(2);
/// Tries to record that the lease was given up.
const RELEASE_TRIES: u32 = 3;

/// Watches the holder of this VM's zone, and claims the lease when it is gone.
pub struct ClaimWorker {
    /// The books.
    pub fleet: Arc<FleetState>,
    /// Links to holders.
    pub access: Arc<ZoneAccess>,
    /// Settings.
    pub settings: Arc<DirectSettings>,
    /// How far a planned stop is.
    pub stop: watch::Receiver<StopPhase>,
}

/// What came of a claim.
enum ClaimResult {
    /// It is in force.
    Recorded,
    /// Others' records came in between, and are known now: it is worth another try at once.
    EndMoved,
    /// The log could not be asked, or did not answer.
    Unanswered,
}

impl ClaimWorker {
    /// Watches until a planned stop begins: what is given up then is for another VM to claim.
    pub async fn run(self) {
        let mut client = StoreClient::new(self.settings.platform_address);
        let mut pause = AFTER_LOST_CLAIM;
        loop {
            sleep(LOOK_EVERY).await;
            if *self.stop.borrow() != StopPhase::Serving {
                return;
            }
            self.confirm(&mut client).await;
            for _ in 0..CLAIM_TRIES {
                if !self.wants_claim() {
                    break;
                }
                match self.claim(&mut client).await {
                    ClaimResult::EndMoved => {}
                    ClaimResult::Recorded => {
                        pause = AFTER_LOST_CLAIM;
                        break;
                    }
                    ClaimResult::Unanswered => {
                        sleep(pause).await;
                        pause = (pause * 2).min(AFTER_LOST_LONGEST);
                        break;
                    }
                }
            }
        }
    }

    fn wants_claim(&self) -> bool {
        let lease = self.fleet.lease(&self.fleet.zone);
        let contact = match &lease {
            Some(lease) if lease.vm.is_some() => {
                let contact = self.access.contact(&self.fleet.zone, lease);
                if contact != HolderContact::Heard {
                    self.access.redial(&self.fleet.zone, lease);
                }
                contact
            }
            _ => HolderContact::Ended,
        };
        let rank = self.fleet.rank();
        let now = clock::now();
        let mut books = self.fleet.books();
        let is_read = books
            .fleet_end
            .is_some_and(|end| Some(end.era()) >= books.store_era);
        if !is_read || books.active.is_none() {
            return false;
        }
        let holder = lease.as_ref().and_then(|lease| lease.vm.as_ref());
        let view = HolderView {
            contact,
            is_weaker: holder
                .and_then(|vm| books.vms.get(vm))
                .is_some_and(|record| record.strength < self.fleet.strength),
            rank,
            waited: lease.as_ref().and_then(waited),
            is_outdated: books.is_outdated(&self.fleet.zone),
            is_oneself: lease.as_ref().is_some_and(|lease| self.is_own(lease)),
            was_led: self.is_confirmed(&books)
                && books
                    .fleet_read_at
                    .is_some_and(|read_at| now < read_at.after(self.settings.leases.turn)),
        };
        let state = books.leases.entry(self.fleet.zone.clone()).or_default();
        let position = state.position;
        let step = state.step(&self.settings.leases, view, now);
        if let LeaseStep::Claim { quiet } = step {
            books.claim_quiet = quiet;
            books.leads_from = now.after(quiet);
        }
        drop(books);
        if let (LeaseStep::AskFor, Some(lease)) = (step, &lease) {
            event!(Event::LeaseAsked, "{} at {position}", self.fleet.zone);
            self.access.ask_for_lease(&self.fleet.zone, lease, position);
        }
        matches!(step, LeaseStep::Claim { .. })
    }

    /// Whether this VM may give orders by the newest record of its zone's lease.
    fn is_confirmed(&self, books: &FleetBooks) -> bool {
        let state = books.leases.get(&self.fleet.zone);
        state.is_some_and(|state| books.confirmed == Some(state.token()))
    }

    /// Confirms a claim after its turn by one more read: a log that came back from a copy may lack it, and another VM may hold the
    /// zone since. Where the log is out of reach the claim counts after another turn, as it would without copies.
    async fn confirm(&self, client: &mut StoreClient) {
        let now = clock::now();
        let lease = self.fleet.lease(&self.fleet.zone);
        let (end, leads_from) = {
            let books = self.fleet.books();
            let is_due = lease.is_some_and(|lease| self.is_own(&lease))
                && !self.is_confirmed(&books)
                && now >= books.leads_from;
            let Some(end) = books.fleet_end.filter(|_| is_due) else {
                return;
            };
            (end, books.leads_from)
        };
        let is_read = self.read_on(client, end).await;
        if !is_read && now < leads_from.after(self.settings.leases.turn) {
            return;
        }
        let lease = self.fleet.lease(&self.fleet.zone);
        let mut books = self.fleet.books();
        let is_held = lease.is_some_and(|lease| self.is_own(&lease));
        if is_held && !books.is_outdated(&self.fleet.zone) {
            let state = books.leases.get(&self.fleet.zone);
            books.confirmed = state.map(LeaseState::token);
        }
    }

    fn is_own(&self, lease: &ZoneLease) -> bool {
        lease.vm.as_ref() == Some(&self.fleet.vm) && lease.incarnation == self.fleet.incarnation
    }

    /// What a claim says of the time that this VM waits before its first order.
    fn waits_since_ms(&self) -> Option<u64> {
        let quiet = self.fleet.books().claim_quiet;
        (!quiet.is_zero()).then(clock::wall_ms)
    }

    /// Appends a claim.
    async fn claim(&self, client: &mut StoreClient) -> ClaimResult {
        let Some(end) = self.fleet.books().fleet_end else {
            return ClaimResult::Unanswered;
        };
        let lease = ZoneLease {
            vm: Some(self.fleet.vm.clone()),
            incarnation: self.fleet.incarnation,
            address: self.settings.peer_address,
            era: Some(end.era()),
            waits_since_ms: self.waits_since_ms(),
        };
        let value = serde_json::to_vec(&lease).expect("a lease has a JSON form");
        let key = zone_key(&self.fleet.zone);
        let within = self.settings.timing.platform_timeout;
        let began = clock::now();
        let appended = client
            .append(FLEET_TOPIC, &key, &value, Some(end), within)
            .await;
        match appended {
            Ok(position) => {
                event!(Event::LeaseClaimed, "{} at {position}", self.fleet.zone);
                {
                    let mut books = self.fleet.books();
                    let is_at_once = books.claim_quiet.is_zero();
                    books.confirmed = is_at_once.then(|| position.token());
                }
                self.fleet.take_own(key, value, position);
                self.fleet.note_fleet_read(began);
                ClaimResult::Recorded
            }
            Err(StoreError::EndMoved(_)) if self.read_on(client, end).await => {
                ClaimResult::EndMoved
            }
            Err(StoreError::EndMoved(_)) => ClaimResult::Unanswered,
            Err(error) => {
                if let StoreError::OtherEra(era) = error {
                    self.fleet.observe_era(era);
                }
                event!(Event::ClaimFailed, "{}: {error}", self.fleet.zone);
                ClaimResult::Unanswered
            }
        }
    }

    /// Reads the fleet's records from a position on; says whether that went well.
    async fn read_on(&self, client: &mut StoreClient, from: LogPosition) -> bool {
        let within = self.settings.timing.platform_timeout;
        match client.read(FLEET_TOPIC, from, Duration::ZERO, within).await {
            Ok(batch) => {
                self.fleet.take_records(FeedTopic::Fleet, from, &batch);
                true
            }
            Err(error) => {
                if let StoreError::OtherEra(era) = error {
                    self.fleet.observe_era(era);
                }
                event!(Event::ClaimFailed, "{}: {error}", self.fleet.zone);
                false
            }
        }
    }
}

/// How long ago a zone was claimed, at the least, by a holder that waits before its first order.
fn waited(lease: &ZoneLease) -> Option<Duration> {
    let since_ms = lease.waits_since_ms?;
    let age = Duration::from_millis(clock::wall_ms().saturating_sub(since_ms));
    Some(age.saturating_sub(CLOCK_ERROR))
}

/// Since when this VM waits before its first order in its zone, if it has not come to that.
fn unfinished_wait(fleet: &FleetState) -> Option<u64> {
    let books = fleet.books();
    let state = books.leases.get(&fleet.zone)?;
    let is_confirmed = books.confirmed == Some(state.token());
    state
        .lease
        .as_ref()
        .filter(|_| !is_confirmed)?
        .waits_since_ms
}

/// Records that this VM gave its zone up, so that another claims it at once. Says whether that holds.
pub async fn release_lease(fleet: &FleetState, platform: SocketAddr, within: Duration) -> bool {
    let mut client = StoreClient::new(platform);
    let Some(mut end) = fleet.books().fleet_end else {
        return false;
    };
    let lease = ZoneLease {
        vm: None,
        incarnation: fleet.incarnation,
        address: platform,
        era: Some(end.era()),
        waits_since_ms: unfinished_wait(fleet),
    };
    let value = serde_json::to_vec(&lease).expect("a lease has a JSON form");
    let key = zone_key(&fleet.zone);
    for _ in 0..RELEASE_TRIES {
        let is_mine = fleet
            .lease(&fleet.zone)
            .is_some_and(|lease| lease.vm.as_ref() == Some(&fleet.vm));
        if !is_mine {
            return true;
        }
        match client
            .append(FLEET_TOPIC, &key, &value, Some(end), within)
            .await
        {
            Ok(position) => {
                fleet.take_own(key, value, position);
                return true;
            }
            Err(StoreError::EndMoved(moved)) => end = moved,
            Err(error) => {
                event!(Event::ClaimFailed, "release of {}: {error}", fleet.zone);
                return false;
            }
        }
    }
    event!(
        Event::ClaimFailed,
        "release of {}: others' records came in between",
        fleet.zone
    );
    false
}
