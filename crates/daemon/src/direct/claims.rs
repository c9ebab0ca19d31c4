//! Claims and releases of the lease of this VM's zone.
//!
//! The lease is a record in the fleet topic of the platform's log. A claim is a conditional append: it succeeds only if
//! this VM has read the topic to its end, so concurrent claims cannot both succeed. Unless the previous holder released
//! the lease or its process ended, it may issue orders until the handover delay has passed since the claim. The claimant
//! waits for that long, and issues its first order only once a read of the topic that was sent after the wait proves that
//! the claim stands. A claim without a wait needs no such proof: no other VM held the zone when it was recorded, and one
//! that claims it in a later era waits.

use crate::{
    clock::{self, MAX_CLOCK_SKEW},
    direct::{
        caller_connections::StopPhase,
        fleet::{FleetState, FleetTables, zone_key},
        holder_client::HolderClient,
        message::FeedTopic,
        paths::monitor::PathMonitor,
        settings::DirectSettings,
    },
    event,
    events::Event,
};
use hoplanding_core::{
    direct::lease::{HolderContact, HolderView, LeaseAction, ZoneLease},
    ids::{Instant, LogPosition},
};
use hoplanding_platform::{
    names::FLEET_TOPIC,
    store::{StoreClient, StoreError},
};
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::{sync::watch, time::sleep};

/// Interval between checks of the holder.
const POLL_INTERVAL: Duration = Duration::from_millis(150);
/// Claims in a row that may fail because other records were appended first.
const MAX_CLAIM_ATTEMPTS: u32 = 4;
/// Backoff after a claim without an answer, which may still be recorded. Doubles while the log is unreachable, because
/// all VMs of a zone without a holder try to claim it.
const MIN_CLAIM_BACKOFF: Duration = Duration::from_millis(500);
/// Upper bound of the backoff.
const MAX_CLAIM_BACKOFF: Duration = Duration::from_secs(2);
/// Attempts to record the release of the lease.
const MAX_RELEASE_ATTEMPTS: u32 = 3;

/// Watches the holder of this VM's zone and claims the lease once the holder is gone.
pub struct ClaimWorker {
    /// State of the fleet as known to this VM.
    pub fleet: Arc<FleetState>,
    /// Links to the holders of zones.
    pub holder_client: Arc<HolderClient>,
    /// Paths of this VM to targets.
    pub paths: Arc<PathMonitor>,
    /// Settings of the daemon.
    pub settings: Arc<DirectSettings>,
    /// Phase of a planned stop.
    pub stop: watch::Receiver<StopPhase>,
}

/// Outcome of a claim.
enum ClaimResult {
    /// The claim was appended.
    Recorded,
    /// Other records were appended first. They have been read, so the claim can be retried at once.
    Conflict,
    /// The log could not be reached or did not answer.
    Unanswered,
}

/// Backoff between reads that would prove a claim. The reader of the fleet topic also proves it once the log is back.
#[derive(Default)]
struct ProofBackoff {
    failures: u32,
    next_read_at: Instant,
}

impl ProofBackoff {
    fn record_failure(&mut self) {
        let pause = MIN_CLAIM_BACKOFF * 2_u32.saturating_pow(self.failures);
        self.next_read_at = clock::now().after(pause.min(MAX_CLAIM_BACKOFF));
        self.failures += 1;
    }
}

impl ClaimWorker {
    /// Watches the lease until a planned stop begins. This VM must not claim again what it releases during the stop.
    pub async fn run(self) {
        let mut client = StoreClient::new(self.settings.platform_address);
        let mut backoff = MIN_CLAIM_BACKOFF;
        let mut proof_backoff = ProofBackoff::default();
        loop {
            sleep(POLL_INTERVAL).await;
            if *self.stop.borrow() != StopPhase::Serving {
                return;
            }
            self.prove_claim(&mut client, &mut proof_backoff).await;
            for _ in 0..MAX_CLAIM_ATTEMPTS {
                if !self.should_claim() {
                    break;
                }
                match self.claim(&mut client).await {
                    ClaimResult::Conflict => {}
                    ClaimResult::Recorded => {
                        backoff = MIN_CLAIM_BACKOFF;
                        break;
                    }
                    ClaimResult::Unanswered => {
                        sleep(backoff).await;
                        backoff = (backoff * 2).min(MAX_CLAIM_BACKOFF);
                        break;
                    }
                }
            }
        }
    }

    fn should_claim(&self) -> bool {
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
        let zone = &self.fleet.zone;
        let mut rank = self.fleet.rank();
        if self.paths.is_lost(zone) {
            // A VM with a path to the zone's engines can send them orders, so it claims first.
            rank += u32::try_from(self.fleet.zone_vms()).unwrap_or(u32::MAX >> 1);
        }
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
            has_more_cpu: holder
                .and_then(|vm| tables.vms.get(vm))
                .is_some_and(|record| record.cpu_millicores < self.fleet.cpu_millicores)
                && self.paths.is_stable(zone),
            rank,
            waiting_claim_age: lease.as_ref().and_then(min_claim_age),
            is_log_restored: tables.may_lack_claims(&self.fleet.zone),
            is_holder: lease
                .as_ref()
                .is_some_and(|lease| self.fleet.is_own_lease(lease)),
            is_sole_holder: self.is_confirmed(&tables)
                && tables.fleet_read_at.is_some_and(|read_at| {
                    now < read_at.after(self.settings.leases.handover_delay)
                }),
        };
        let state = tables.leases.entry(self.fleet.zone.clone()).or_default();
        let position = state.position;
        let action = state.next_action(&self.settings.leases, view, now);
        if let LeaseAction::Claim { order_delay } = action {
            tables.claim_delay = order_delay;
            tables.orders_from = now.after(order_delay);
        }
        drop(tables);
        if let (LeaseAction::RequestTransfer, Some(lease)) = (action, &lease) {
            event!(Event::LeaseRequested, "{} at {position}", self.fleet.zone);
            self.holder_client
                .request_lease(&self.fleet.zone, lease, position);
        }
        matches!(action, LeaseAction::Claim { .. })
    }

    /// Whether the newest record of the zone's lease is a confirmed claim of this VM.
    fn is_confirmed(&self, tables: &FleetTables) -> bool {
        let state = tables.leases.get(&self.fleet.zone);
        state.is_some_and(|state| tables.confirmed_token == Some(state.token()))
    }

    /// Reads the topic after the claim's wait, which confirms the claim if it stands.
    async fn prove_claim(&self, client: &mut StoreClient, backoff: &mut ProofBackoff) {
        if !self.fleet.is_claim_pending() {
            *backoff = ProofBackoff::default();
            return;
        }
        if clock::now() < backoff.next_read_at {
            return;
        }
        let from = self.fleet.known_end(FeedTopic::Fleet);
        let read = self.read_fleet_from(client, from).await;
        let is_answered = matches!(read, Ok(()) | Err(StoreError::EraMismatch(_)));
        self.fleet.record_proof_read(is_answered);
        if let Err(error) = read {
            if backoff.failures == 0 {
                event!(
                    Event::ClaimUnproven,
                    "{}: {error}; no orders until this VM or a linked one reads the log",
                    self.fleet.zone
                );
            }
            backoff.record_failure();
        }
    }

    /// Value of the claim's `waits_since_ms`: set if this VM waits before its first order.
    fn claim_waits_since_ms(&self) -> Option<u64> {
        let order_delay = self.fleet.tables().claim_delay;
        (!order_delay.is_zero()).then(clock::wall_ms)
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
            waits_since_ms: self.claim_waits_since_ms(),
        };
        let value = serde_json::to_vec(&lease).expect("a lease can be written as JSON");
        let key = zone_key(&self.fleet.zone);
        let timeout = self.settings.timing.platform_timeout;
        let sent_at = clock::now();
        let appended = client
            .append(FLEET_TOPIC, &key, &value, Some(end), timeout)
            .await;
        match appended {
            Ok(position) => {
                event!(Event::LeaseClaimed, "{} at {position}", self.fleet.zone);
                {
                    let mut tables = self.fleet.tables();
                    let order_delay = tables.claim_delay;
                    tables.orders_from = clock::now().after(order_delay);
                    tables.confirmed_token = order_delay.is_zero().then(|| position.token());
                }
                self.fleet.apply_own_record(key, value, position);
                self.fleet.record_fleet_read(sent_at);
                ClaimResult::Recorded
            }
            Err(StoreError::EndMoved(_)) => match self.read_fleet_from(client, end).await {
                Ok(()) => ClaimResult::Conflict,
                Err(error) => self.record_unanswered_claim(&error),
            },
            Err(error) => {
                self.observe_era_of(&error);
                self.record_unanswered_claim(&error)
            }
        }
    }

    fn record_unanswered_claim(&self, error: &StoreError) -> ClaimResult {
        event!(Event::ClaimFailed, "{}: {error}", self.fleet.zone);
        ClaimResult::Unanswered
    }

    /// Reads the fleet topic from a position on.
    async fn read_fleet_from(
        &self,
        client: &mut StoreClient,
        from: LogPosition,
    ) -> Result<(), StoreError> {
        let timeout = self.settings.timing.platform_timeout;
        let sent_at = clock::now();
        let read = client
            .read(FLEET_TOPIC, from, Duration::ZERO, timeout)
            .await;
        let batch = read.inspect_err(|error| self.observe_era_of(error))?;
        self.fleet.apply_records(FeedTopic::Fleet, from, &batch);
        if batch.next == batch.end && from <= self.fleet.known_end(FeedTopic::Fleet) {
            self.fleet.record_lease_read(sent_at, batch.end);
        }
        Ok(())
    }

    fn observe_era_of(&self, error: &StoreError) {
        if let StoreError::EraMismatch(era) = error {
            self.fleet.observe_era(*era);
        }
    }
}

/// Minimum time since a zone was claimed by a holder that waits before its first order. The error of the two VMs'
/// wall clocks is subtracted.
fn min_claim_age(lease: &ZoneLease) -> Option<Duration> {
    let since_ms = lease.waits_since_ms?;
    let age = Duration::from_millis(clock::wall_ms().saturating_sub(since_ms));
    Some(age.saturating_sub(MAX_CLOCK_SKEW))
}

/// Start of this VM's wait before its first order, in milliseconds since 1970, if its claim is not confirmed yet. A
/// release carries it over, so that the next holder counts the wait from there.
fn pending_wait_since_ms(fleet: &FleetState) -> Option<u64> {
    let tables = fleet.tables();
    let state = tables.leases.get(&fleet.zone)?;
    let is_confirmed = tables.confirmed_token == Some(state.token());
    state
        .lease
        .as_ref()
        .filter(|_| !is_confirmed)?
        .waits_since_ms
}

/// Records that this VM released its zone, so that another VM can claim it at once. Returns whether the newest known
/// record no longer names this VM.
pub async fn release_lease(fleet: &FleetState, platform: SocketAddr, timeout: Duration) -> bool {
    let mut client = StoreClient::new(platform);
    let Some(mut end) = fleet.tables().fleet_end else {
        return false;
    };
    let lease = ZoneLease {
        vm: None,
        incarnation: fleet.incarnation,
        address: platform,
        era: Some(end.era()),
        waits_since_ms: pending_wait_since_ms(fleet),
    };
    let value = serde_json::to_vec(&lease).expect("a lease can be written as JSON");
    let key = zone_key(&fleet.zone);
    for _ in 0..MAX_RELEASE_ATTEMPTS {
        let is_held = fleet
            .lease(&fleet.zone)
            .is_some_and(|lease| lease.vm.as_ref() == Some(&fleet.vm));
        if !is_held {
            return true;
        }
        match client
            .append(FLEET_TOPIC, &key, &value, Some(end), timeout)
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
        "release of {}: other records were appended first, gave up after {MAX_RELEASE_ATTEMPTS} attempts",
        fleet.zone
    );
    false
}
