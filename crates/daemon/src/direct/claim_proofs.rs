//! Reads that prove that a claim of this VM, or of a linked VM, stands in the platform's log.
//!
//! A claimant that the log does not answer asks for such reads in its heartbeats, and linked VMs that read the log
//! answer in theirs. The decisions are in [`lease_read`](hoplanding_core::direct::lease_read).

use crate::{
    clock,
    direct::fleet::{FleetState, FleetTables},
    event,
    events::Event,
};
use hoplanding_core::{
    direct::{
        freshness::HeartbeatEcho,
        lease::{LeaseState, ZoneLease},
        lease_read::{ForwardedRead, LeaseRead},
    },
    ids::{AvailabilityZone, Instant, LogPosition, VmName},
};
use std::{fmt::Display, time::Duration};
use tokio::sync::watch;

/// Time for which a VM reads the fleet topic without waiting for records after a claimant asked for it. Claimants ask
/// with every heartbeat, at intervals of 0.4 s.
const LEASE_REQUEST_TTL: Duration = Duration::from_secs(2);

impl FleetTables {
    /// Evidence of this VM's last read about the lease of a zone; `None` if the log was restored since.
    fn lease_read(&self, zone: &AvailabilityZone) -> Option<LeaseRead> {
        let (sent_at, end) = self
            .fleet_read
            .filter(|(_, end)| Some(end.era()) >= self.store_era)?;
        let newest = self.leases.get(zone)?.position;
        Some(LeaseRead {
            newest,
            end,
            sent_at,
        })
    }
}

impl FleetState {
    /// Whether a lease was claimed by this process.
    #[must_use]
    pub fn is_own_lease(&self, lease: &ZoneLease) -> bool {
        lease.vm.as_ref() == Some(&self.vm) && lease.incarnation == self.incarnation
    }

    /// The newest record of this VM's zone if it is an unconfirmed claim of this VM whose wait is over.
    fn pending_claim<'a>(&self, tables: &'a FleetTables) -> Option<&'a LeaseState> {
        let state = tables.leases.get(&self.zone)?;
        let is_own = state
            .lease
            .as_ref()
            .is_some_and(|lease| self.is_own_lease(lease));
        let is_pending = tables.confirmed_token != Some(state.token());
        (is_own && is_pending && clock::now() >= tables.orders_from).then_some(state)
    }

    /// Whether this VM waits for nothing but the proof of its claim.
    #[must_use]
    pub fn is_claim_pending(&self) -> bool {
        self.pending_claim(&self.tables()).is_some()
    }

    /// Whether linked VMs are asked for the proof of this VM's claim, because the log did not answer this VM.
    #[must_use]
    pub fn asks_for_lease_read(&self) -> bool {
        let tables = self.tables();
        tables.is_proof_unanswered && self.pending_claim(&tables).is_some()
    }

    /// Records whether the log answered the read that would prove this VM's claim.
    pub fn record_proof_read(&self, is_answered: bool) {
        self.tables().is_proof_unanswered = !is_answered;
    }

    /// Takes the confirmation of this VM's claim back. Only a read that is sent after the handover delay confirms it
    /// again.
    pub fn withdraw_confirmation(&self, handover_delay: Duration) {
        let mut tables = self.tables();
        tables.confirmed_token = None;
        tables.orders_from = clock::now().after(handover_delay);
    }

    /// Records a read of the fleet topic to its end by this VM.
    pub fn record_lease_read(&self, sent_at: Instant, end: LogPosition) {
        let read = {
            let mut tables = self.tables();
            tables.fleet_read = tables.fleet_read.max(Some((sent_at, end)));
            tables.lease_read(&self.zone)
        };
        if let Some(read) = read {
            self.confirm_claim(&read, &"this VM");
        }
    }

    /// Evidence of this VM's last read about the lease of a zone; `None` if the log was restored since.
    #[must_use]
    pub fn lease_read(&self, zone: &AvailabilityZone) -> Option<LeaseRead> {
        self.tables().lease_read(zone)
    }

    /// Applies another VM's read of the lease of this VM's zone.
    pub fn apply_lease_read(&self, vm: &VmName, forwarded: &ForwardedRead, echo: &HeartbeatEcho) {
        self.observe_positions([forwarded.end].into_iter());
        if let Some(read) = LeaseRead::from_forwarded(forwarded, echo) {
            self.confirm_claim(&read, vm);
        }
    }

    /// Confirms this VM's claim if the read proves it.
    fn confirm_claim(&self, read: &LeaseRead, reader: &dyn Display) {
        let mut tables = self.tables();
        if tables.is_outdated(&self.zone) {
            return;
        }
        let orders_from = tables.orders_from;
        let Some(state) = self
            .pending_claim(&tables)
            .filter(|state| read.proves(state, orders_from))
        else {
            return;
        };
        let (position, token) = (state.position, state.token());
        tables.confirmed_token = Some(token);
        drop(tables);
        event!(
            Event::ClaimProven,
            "{} at {position} by a read of {reader}, sent {:?} after the wait",
            self.zone,
            read.sent_at.since(orders_from)
        );
        self.signal();
    }

    /// Records that a linked VM waits for the proof of its claim, so that this VM reads the fleet topic without waiting
    /// for records.
    pub fn record_lease_request(&self) {
        let until = clock::now().after(LEASE_REQUEST_TTL);
        self.lease_requests.send_replace(until);
    }

    /// Whether a linked VM asked for the proof of its claim within the last seconds.
    #[must_use]
    pub fn has_lease_request(&self) -> bool {
        clock::now() < *self.lease_requests.borrow()
    }

    /// Watches the time until which linked VMs wait for the proof of a claim.
    #[must_use]
    pub fn watch_lease_requests(&self) -> watch::Receiver<Instant> {
        self.lease_requests.subscribe()
    }
}
