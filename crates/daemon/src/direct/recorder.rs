//! Keeps in the log what the VMs' own records have to say, also after it came back from a copy.
//!
//! A VM writes its own record. The holder of a zone writes again what the copy lacks of its zone: the records of its VMs, and the
//! quarantines that it has to record. Leases are claimed again by their holders.

use crate::{
    direct::{
        fleet::{FleetBooks, FleetState, SUSPECT_KEY, VM_KEY, VmRecord, vm_key},
        message::FeedTopic,
        settings::DirectSettings,
    },
    event,
    events::Event,
};
use bytes::Bytes;
use hoplanding_core::{
    direct::{suspects::RequestFingerprint, trials::trial_zones},
    ids::{AvailabilityZone, VmName},
};
use hoplanding_platform::{
    names::FLEET_TOPIC,
    store::{StoreClient, StoreError},
};
use std::{sync::Arc, time::Duration};
use tokio::time::{sleep, timeout};

/// Pause after a record that was not written.
const RECORD_AGAIN: Duration = Duration::from_millis(500);
/// Longest time between two looks at what has to be written.
const LOOK_EVERY: Duration = Duration::from_secs(5);
/// Pause between two records, as every VM of a large fleet may have some to write.
const RECORD_EVERY: Duration = Duration::from_millis(20);

/// Writes the fleet's records that the log lacks.
pub struct FleetRecorder {
    /// The books.
    pub fleet: Arc<FleetState>,
    /// Settings.
    pub settings: Arc<DirectSettings>,
}

impl FleetRecorder {
    /// Writes until the process ends.
    pub async fn run(self) {
        let mut client = StoreClient::new(self.settings.platform_address);
        let mut changes = self.fleet.watch();
        loop {
            while let Some((key, value)) = self.next_missing() {
                if let Err(error) = self.append(&mut client, &key, &value).await {
                    event!(Event::RecordFailed, "{key}: {error}");
                    sleep(RECORD_AGAIN).await;
                } else {
                    sleep(RECORD_EVERY).await;
                }
            }
            // The sender lives as long as the books.
            let _ = timeout(LOOK_EVERY, changes.changed()).await;
        }
    }

    async fn append(
        &self,
        client: &mut StoreClient,
        key: &str,
        value: &Bytes,
    ) -> Result<(), StoreError> {
        let within = self.settings.pace.platform_timeout;
        let position = client.append(FLEET_TOPIC, key, value, None, within).await?;
        if self.fleet.meet_era(position.era()) {
            self.fleet
                .take_own(key.to_owned(), value.to_vec(), position);
        }
        Ok(())
    }

    /// A record that the log lacks and this VM has to write, and its value.
    fn next_missing(&self) -> Option<(String, Bytes)> {
        let books = self.fleet.books();
        if !books.ends.contains_key(&FeedTopic::Fleet) {
            return None;
        }
        let own = self.own_record();
        let key = vm_key(&self.fleet.vm);
        if books.vms.get(&self.fleet.vm) != Some(&own) {
            let value = serde_json::to_vec(&own).expect("a record has a JSON form");
            return Some((key, value.into()));
        }
        let is_holder = books
            .leases
            .get(&self.fleet.zone)
            .is_some_and(|state| state.holder() == Some(&self.fleet.vm));
        let has_listed = books.listed_in.is_some() && books.listed_in == books.store_era;
        if !is_holder || !has_listed {
            return None;
        }
        let mut lost = books.records.before_era(FeedTopic::Fleet, books.listed_in?);
        lost.find(|(key, _)| self.is_ours(&books, key))
            .map(|(key, value)| (key.to_owned(), value.clone()))
    }

    /// Whether a record is for this zone's holder to write.
    fn is_ours(&self, books: &FleetBooks, key: &str) -> bool {
        let zone = &self.fleet.zone;
        if let Some(vm) = key.strip_prefix(VM_KEY) {
            let record = books.vms.get(&VmName::new(vm));
            return record.is_some_and(|record| record.zone == *zone);
        }
        let Some(text) = key.strip_prefix(SUSPECT_KEY) else {
            return false;
        };
        let fingerprint = u64::from_str_radix(text, 16).map(RequestFingerprint);
        fingerprint.is_ok_and(|fingerprint| {
            let zones: Vec<AvailabilityZone> = trial_zones(fingerprint, &self.settings.zones);
            zones.first() == Some(zone)
        })
    }

    fn own_record(&self) -> VmRecord {
        VmRecord {
            zone: self.settings.zone.clone(),
            address: self.settings.peer_address,
            strength: self.settings.strength,
        }
    }
}
