//! Keeps in the log what the VMs' own records have to say, also after it came back from a copy.
//!
//! Each VM writes its own record, and the holder of a zone those of the suspects whose trials it grants. Leases are claimed again by their
//! holders. A VM that lists the fleet's topic sees what a copy lacks; one that does not writes its record again to be sure, at a
//! moment of its own, as all VMs learn of the copy at once.

use crate::{
    direct::{
        fleet::{ERA_KEY, FleetState, FleetTables, VmRecord, vm_key},
        message::FeedTopic,
        settings::DirectSettings,
        suspect_records::{is_record_owner, suspect_fingerprint},
    },
    event,
    events::Event,
};
use bytes::Bytes;
use hoplanding_core::ids::StoreEra;
use hoplanding_platform::{
    names::FLEET_TOPIC,
    store::{StoreClient, StoreError},
};
use std::{sync::Arc, time::Duration};
use tokio::time::{Instant, sleep, timeout};

/// Pause after a record that was not written, or has to be written once more.
const RECORD_AGAIN: Duration = Duration::from_millis(500);
/// Longest time between two looks at what has to be written.
const LOOK_EVERY: Duration = Duration::from_secs(1);
/// Pause between two looks, as the books change with every target that comes or goes.
const LOOK_PAUSE: Duration = Duration::from_millis(100);
/// Time within which the VMs that have not listed the topic write their records again, each at a moment of its own.
const SPREAD_OVER: Duration = Duration::from_secs(5);

/// Writes the fleet's records that the log lacks.
pub struct FleetRecorder {
    fleet: Arc<FleetState>,
    settings: Arc<DirectSettings>,
    /// When this VM's record is written again though it may be there, and in which era.
    again_at: Option<(StoreEra, Instant)>,
    /// When the suspects are looked at next.
    suspects_at: Instant,
}

impl FleetRecorder {
    /// A recorder of this VM.
    #[must_use]
    pub fn new(fleet: Arc<FleetState>, settings: Arc<DirectSettings>) -> Self {
        Self {
            fleet,
            settings,
            again_at: None,
            suspects_at: Instant::now(),
        }
    }

    /// Writes until the process ends.
    pub async fn run(mut self) {
        let mut client = StoreClient::new(self.settings.platform_address);
        let mut changes = self.fleet.watch();
        let mut written = None;
        loop {
            while let Some((key, value)) = self.next_missing() {
                if written.as_ref() == Some(&key) {
                    sleep(RECORD_AGAIN).await;
                }
                if let Err(error) = self.append(&mut client, &key, &value).await {
                    event!(Event::VmRecordFailed, "{key}: {error}");
                    sleep(RECORD_AGAIN).await;
                }
                written = Some(key);
            }
            written = None;
            // The sender lives as long as the books.
            let _ = timeout(LOOK_EVERY, changes.changed()).await;
            sleep(LOOK_PAUSE).await;
        }
    }

    async fn append(
        &self,
        client: &mut StoreClient,
        key: &str,
        value: &Bytes,
    ) -> Result<(), StoreError> {
        let within = self.settings.timing.platform_timeout;
        let position = client.append(FLEET_TOPIC, key, value, None, within).await?;
        if !self.fleet.observe_era(position.era()) {
            return Err(StoreError::OtherEra(position.era()));
        }
        self.fleet
            .apply_own_record(key.to_owned(), value.to_vec(), position);
        Ok(())
    }

    /// A record that the log lacks and this VM has to write, and its value.
    fn next_missing(&mut self) -> Option<(String, Bytes)> {
        let fleet = Arc::clone(&self.fleet);
        let tables = fleet.tables();
        if !tables.known_ends.contains_key(&FeedTopic::Fleet) {
            return None;
        }
        if self.lacks_own(&tables) {
            let value = serde_json::to_vec(&self.own_record()).expect("a record has a JSON form");
            return Some((vm_key(&fleet.vm), value.into()));
        }
        let state = tables.leases.get(&fleet.zone);
        let is_holder = state.is_some_and(|state| state.holder() == Some(&fleet.vm));
        if let Some(record) = tables.missing_era_record()
            && (is_holder || tables.rank(&fleet) == 0)
        {
            let value = serde_json::to_vec(&record).expect("a record has a JSON form");
            return Some((ERA_KEY.to_owned(), value.into()));
        }
        if !is_holder {
            return None;
        }
        self.due_suspect(&tables)
            .or_else(|| self.lost_suspect(&tables))
    }

    /// A record of a suspect that differs from what is known, and its value. All of them are looked at, so that is done
    /// now and then.
    fn due_suspect(&mut self, tables: &FleetTables) -> Option<(String, Bytes)> {
        let now = Instant::now();
        if now < self.suspects_at {
            return None;
        }
        let due = tables.due_suspect_record(&self.fleet.zone, &self.settings.zones);
        if due.is_none() {
            self.suspects_at = now + LOOK_EVERY;
        }
        due
    }

    /// A record of a suspect that a copy of the log lacks, and its value.
    fn lost_suspect(&self, tables: &FleetTables) -> Option<(String, Bytes)> {
        let era = tables
            .listed_era
            .filter(|era| Some(*era) == tables.store_era)?;
        let mut lost = tables.records.from_earlier_eras(FeedTopic::Fleet, era);
        lost.find(|(key, _)| self.is_ours(key))
            .map(|(key, value)| (key.to_owned(), value.clone()))
    }

    /// Whether the log lacks this VM's record, or may lack it for so long that it is written once more.
    fn lacks_own(&mut self, tables: &FleetTables) -> bool {
        if tables.vms.get(&self.fleet.vm) != Some(&self.own_record()) {
            return true;
        }
        let key = vm_key(&self.fleet.vm);
        let recorded = tables.records.position(FeedTopic::Fleet, &key);
        let Some(era) = tables.store_era else {
            return false;
        };
        if recorded.is_none_or(|position| position.era() >= era) {
            return false;
        }
        if tables.listed_era == Some(era) {
            return true;
        }
        let now = Instant::now();
        let known = self.again_at.filter(|(known, _)| *known == era);
        let pause = SPREAD_OVER.mul_f64(rand::random());
        let (_, at) = known.unwrap_or((era, now + pause));
        self.again_at = Some((era, at));
        now >= at
    }

    /// Whether a record is one of a suspect that this zone's holder has to keep.
    fn is_ours(&self, key: &str) -> bool {
        let fingerprint = suspect_fingerprint(key);
        fingerprint.is_some_and(|fingerprint| {
            is_record_owner(&self.fleet.zone, &self.settings.zones, fingerprint)
        })
    }

    fn own_record(&self) -> VmRecord {
        VmRecord {
            zone: self.settings.zone.clone(),
            address: self.settings.peer_address,
            strength: self.settings.cpu_millicores,
        }
    }
}
