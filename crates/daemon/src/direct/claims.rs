//! Claims of the lease of this VM's zone.

use crate::{
    clock::{self, MAX_CLOCK_SKEW},
    direct::{
        caller_connections::StopPhase,
        fleet::{FleetState, FleetTables, zone_key},
        holder_client::HolderClient,
        message::FeedTopic,
        settings::DirectSettings,
    },
    event,
    events::Event,
};
use hoplanding_core::{
    direct::lease::{HolderContact, HolderView, LeaseAction, LeaseState, ZoneLease},
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
    pub holder_client: Arc<HolderClient>,
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
                let contact = self.holder_client.contact(&self.fleet.zone, lease);
                if contact != HolderContact::Heard {
                    self.holder_client.redial(&self.fleet.zone, lease);
                }
                contact
            }
            _ => HolderContact::Ended,
        };
        let rank = self.fleet.rank();
        let now = clock::now();
        let mut tables = self.fleet.tables();
        let is_read = tables
            .fleet_end
            .is_some_and(|end| Some(end.era()) >= tables.store_era);
        if !is_read || tables.active.is_none() {
            return false;
        }
        let holder = lease.as_ref().and_then(|lease| lease.vm.as_ref());
        let view = HolderView {
            contact,
            is_holder_weaker: holder
                .and_then(|vm| tables.vms.get(vm))
                .is_some_and(|record| record.strength < self.fleet.strength),
            rank,
            waiting_claim_age: lease.as_ref().and_then(waited),
            is_log_restored: tables.is_outdated(&self.fleet.zone),
            is_holder: lease.as_ref().is_some_and(|lease| self.is_own(lease)),
            is_sole_holder: self.is_confirmed(&tables)
                && tables.fleet_read_at.is_some_and(|read_at| {
                    now < read_at.after(self.settings.leases.handover_delay)
                }),
        };
        let state = tables.leases.entry(self.fleet.zone.clone()).or_default();
        let position = state.position;
        let step = state.next_action(&self.settings.leases, view, now);
        if let LeaseAction::Claim { order_delay: quiet } = step {
            tables.claim_delay = quiet;
            tables.orders_from = now.after(quiet);
        }
        drop(tables);
        if let (LeaseAction::RequestTransfer, Some(lease)) = (step, &lease) {
            event!(Event::LeaseRequested, "{} at {position}", self.fleet.zone);
            self.holder_client
                .request_lease(&self.fleet.zone, lease, position);
        }
        matches!(step, LeaseAction::Claim { .. })
    }

    /// Whether this VM may give orders by the newest record of its zone's lease.
    fn is_confirmed(&self, tables: &FleetTables) -> bool {
        let state = tables.leases.get(&self.fleet.zone);
        state.is_some_and(|state| tables.confirmed_token == Some(state.token()))
    }

    /// Confirms a claim after its turn by one more read: a log that came back from a copy may lack it, and another VM may hold the
    /// zone since. Where the log is out of reach the claim counts after another turn, as it would without copies.
    async fn confirm(&self, client: &mut StoreClient) {
        let now = clock::now();
        let lease = self.fleet.lease(&self.fleet.zone);
        let (end, orders_from) = {
            let tables = self.fleet.tables();
            let is_due = lease.is_some_and(|lease| self.is_own(&lease))
                && !self.is_confirmed(&tables)
                && now >= tables.orders_from;
            let Some(end) = tables.fleet_end.filter(|_| is_due) else {
                return;
            };
            (end, tables.orders_from)
        };
        let is_read = self.read_on(client, end).await;
        if !is_read && now < orders_from.after(self.settings.leases.handover_delay) {
            return;
        }
        let lease = self.fleet.lease(&self.fleet.zone);
        let mut tables = self.fleet.tables();
        let is_held = lease.is_some_and(|lease| self.is_own(&lease));
        if is_held && !tables.is_outdated(&self.fleet.zone) {
            let state = tables.leases.get(&self.fleet.zone);
            tables.confirmed_token = state.map(LeaseState::token);
        }
    }

    fn is_own(&self, lease: &ZoneLease) -> bool {
        lease.vm.as_ref() == Some(&self.fleet.vm) && lease.incarnation == self.fleet.incarnation
    }

    /// What a claim says of the time that this VM waits before its first order.
    fn waits_since_ms(&self) -> Option<u64> {
        let quiet = self.fleet.tables().claim_delay;
        (!quiet.is_zero()).then(clock::wall_ms)
    }

    /// Appends a claim.
    async fn claim(&self, client: &mut StoreClient) -> ClaimResult {
        let Some(end) = self.fleet.tables().fleet_end else {
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
                    let mut tables = self.fleet.tables();
                    let is_at_once = tables.claim_delay.is_zero();
                    tables.confirmed_token = is_at_once.then(|| position.token());
                }
                self.fleet.apply_own_record(key, value, position);
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
                self.fleet.apply_records(FeedTopic::Fleet, from, &batch);
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
    Some(age.saturating_sub(MAX_CLOCK_SKEW))
}

/// Since when this VM waits before its first order in its zone, if it has not come to that.
fn unfinished_wait(fleet: &FleetState) -> Option<u64> {
    let tables = fleet.tables();
    let state = tables.leases.get(&fleet.zone)?;
    let is_confirmed = tables.confirmed_token == Some(state.token());
    state
        .lease
        .as_ref()
        .filter(|_| !is_confirmed)?
        .waits_since_ms
}

/// Records that this VM gave its zone up, so that another claims it at once. Says whether that holds.
pub async fn release_lease(fleet: &FleetState, platform: SocketAddr, within: Duration) -> bool {
    let mut client = StoreClient::new(platform);
    let Some(mut end) = fleet.tables().fleet_end else {
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
                fleet.apply_own_record(key, value, position);
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
