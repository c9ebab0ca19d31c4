//! Writes the fleet's records to the platform log, also after a restore of the log lost some of
//! them.
//!
//! Each VM writes its own record, and the holder of a zone writes the records of the suspects whose
//! trials it grants. Leases are not written here: their holders claim them again. A VM that has
//! listed the fleet topic sees which records a restored log lacks. Any other VM writes its record
//! again in any case, at a random time, as all VMs learn of the restore at once.

use crate::{
    clock,
    direct::{
        fleet::{ERA_KEY, FleetState, FleetTables, VmRecord, vm_key},
        message::FeedTopic,
        settings::DirectSettings,
        stream_records::software_key,
        suspect_records::{is_record_owner, suspect_fingerprint},
    },
    event,
    events::Event,
};
use bytes::Bytes;
use hoplanding_core::{
    direct::plain::placement_zones,
    ids::{ServiceName, StoreEra},
};
use hoplanding_platform::{
    names::FLEET_TOPIC,
    store::{StoreClient, StoreError},
};
use std::{collections::HashMap, mem, sync::Arc, time::Duration};
use tokio::time::{Instant, sleep, timeout};

/// Pause before a record is written again, after a failure or because it is still missing.
const REWRITE_PAUSE: Duration = Duration::from_millis(500);
/// Maximum time between two checks for missing records.
const MAX_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Minimum time between two checks, as the tables change with every target that starts or leaves.
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time over which VMs that have not listed the topic spread the rewrites of their records.
const REWRITE_SPREAD: Duration = Duration::from_secs(5);

/// Time for which a holder leaves a software record to each holder before it in the order of zones.
const SOFTWARE_STAGGER: Duration = Duration::from_secs(2);

/// Worker that writes the fleet's records that the log lacks.
pub struct FleetRecorder {
    fleet: Arc<FleetState>,
    settings: Arc<DirectSettings>,
    /// Era in which this VM's record may be missing, and when it is written again for that reason.
    rewrite_at: Option<(StoreEra, Instant)>,
    /// Time of the next check of the suspects.
    suspect_check_at: Instant,
    /// When the listed software versions were last recorded.
    software_recorded_at: Option<Instant>,
    /// Whether their records are still to be checked.
    is_software_check_due: bool,
    /// Since when the log lacks the software record of a service.
    software_due_since: HashMap<ServiceName, Instant>,
}

impl FleetRecorder {
    /// Recorder of this VM.
    #[must_use]
    pub fn new(fleet: Arc<FleetState>, settings: Arc<DirectSettings>) -> Self {
        Self {
            fleet,
            settings,
            rewrite_at: None,
            suspect_check_at: Instant::now(),
            software_recorded_at: None,
            is_software_check_due: false,
            software_due_since: HashMap::new(),
        }
    }

    /// Writes until the process ends.
    pub async fn run(mut self) {
        let mut client = StoreClient::new(self.settings.platform_address);
        let mut changes = self.fleet.watch();
        let mut last_key = None;
        loop {
            while let Some((key, value)) = self.next_missing_record() {
                if last_key.as_ref() == Some(&key) {
                    sleep(REWRITE_PAUSE).await;
                }
                if let Err(error) = self.append(&mut client, &key, &value).await {
                    event!(Event::VmRecordFailed, "{key}: {error}");
                    sleep(REWRITE_PAUSE).await;
                }
                last_key = Some(key);
            }
            last_key = None;
            self.record_listed_software();
            // `FleetState` keeps the sender alive.
            let _ = timeout(MAX_CHECK_INTERVAL, changes.changed()).await;
            sleep(MIN_CHECK_INTERVAL).await;
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
            return Err(StoreError::EraMismatch(position.era()));
        }
        self.fleet
            .apply_own_record(key.to_owned(), value.to_vec(), position);
        Ok(())
    }

    /// Key and value of a record that the log lacks and this VM has to write.
    fn next_missing_record(&mut self) -> Option<(String, Bytes)> {
        let fleet = Arc::clone(&self.fleet);
        let tables = fleet.tables();
        if !tables.known_ends.contains_key(&FeedTopic::Fleet) {
            return None;
        }
        if self.is_own_record_missing(&tables) {
            let value =
                serde_json::to_vec(&self.own_record()).expect("a record can be written as JSON");
            return Some((vm_key(&fleet.vm), value.into()));
        }
        let state = tables.leases.get(&fleet.zone);
        let is_holder = state.is_some_and(|state| state.holder() == Some(&fleet.vm));
        if let Some(record) = tables.missing_era_record()
            && (is_holder || tables.rank(&fleet) == 0)
        {
            let value = serde_json::to_vec(&record).expect("a record can be written as JSON");
            return Some((ERA_KEY.to_owned(), value.into()));
        }
        if !is_holder {
            return None;
        }
        if let Some(record) = self.due_software(&tables) {
            return Some(record);
        }
        self.due_suspect(&tables)
            .or_else(|| self.missing_suspect(&tables))
    }

    /// Records the listed software versions. Like the check of their records, this visits all targets.
    fn record_listed_software(&mut self) {
        let now = Instant::now();
        let last = self.software_recorded_at;
        if last.is_none_or(|at| now >= at + MAX_CHECK_INTERVAL) {
            self.software_recorded_at = Some(now);
            self.is_software_check_due = true;
            self.fleet.record_listed_software();
        }
    }

    /// Key and value of a service's software record that the log lacks or that names versions of the past, once after each
    /// time that the listed versions are recorded.
    fn due_software(&mut self, tables: &FleetTables) -> Option<(String, Bytes)> {
        if !mem::take(&mut self.is_software_check_due) {
            return None;
        }
        let due: Vec<_> = tables.due_software_records(clock::now()).collect();
        self.software_due_since
            .retain(|service, _| due.iter().any(|record| record.service == *service));
        let now = Instant::now();
        for record in due {
            let since = *self
                .software_due_since
                .entry(record.service.clone())
                .or_insert(now);
            let zones = placement_zones(&record.service, &self.settings.zones);
            let rank = zones.iter().position(|zone| *zone == self.fleet.zone);
            let rank = u32::try_from(rank?).unwrap_or(u32::MAX);
            let is_due =
                rank == 0 || (record.lacks_versions && now >= since + SOFTWARE_STAGGER * rank);
            if is_due {
                let value =
                    serde_json::to_vec(&record.value).expect("a record can be written as JSON");
                return Some((software_key(&record.service), value.into()));
            }
        }
        None
    }

    /// Key and value of a suspect's record that differs from the known state. The check visits all
    /// suspects, so it has an interval of its own.
    fn due_suspect(&mut self, tables: &FleetTables) -> Option<(String, Bytes)> {
        let now = Instant::now();
        if now < self.suspect_check_at {
            return None;
        }
        let due = tables.due_suspect_record(&self.fleet.zone, &self.settings.zones);
        if due.is_none() {
            self.suspect_check_at = now + MAX_CHECK_INTERVAL;
        }
        due
    }

    /// Key and value of a suspect's record that a restored log lacks.
    fn missing_suspect(&self, tables: &FleetTables) -> Option<(String, Bytes)> {
        let era = tables
            .listed_era
            .filter(|era| Some(*era) == tables.store_era)?;
        let mut missing = tables.records.from_earlier_eras(FeedTopic::Fleet, era);
        missing
            .find(|(key, _)| self.is_kept_by_zone(key))
            .map(|(key, value)| (key.to_owned(), value.clone()))
    }

    /// Whether the log lacks this VM's record, or may have lacked it until the time of its rewrite.
    fn is_own_record_missing(&mut self, tables: &FleetTables) -> bool {
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
        let known = self.rewrite_at.filter(|(known, _)| *known == era);
        let pause = REWRITE_SPREAD.mul_f64(rand::random());
        let (_, due_at) = known.unwrap_or((era, now + pause));
        self.rewrite_at = Some((era, due_at));
        now >= due_at
    }

    /// Whether this zone's holder has to keep a suspect's record.
    fn is_kept_by_zone(&self, key: &str) -> bool {
        let fingerprint = suspect_fingerprint(key);
        fingerprint.is_some_and(|fingerprint| {
            is_record_owner(&self.fleet.zone, &self.settings.zones, fingerprint)
        })
    }

    fn own_record(&self) -> VmRecord {
        VmRecord {
            zone: self.settings.zone.clone(),
            address: self.settings.peer_address,
            cpu_millicores: self.settings.cpu_millicores,
        }
    }
}
