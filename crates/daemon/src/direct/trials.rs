//! Trials of suspected requests: the permit of a gateway, and the record of a quarantine in the platform's log.

use crate::{
    clock,
    direct::{
        access::ZoneAccess,
        fleet::{FleetState, suspect_key},
        message::FeedTopic,
        settings::DirectSettings,
    },
    event,
    events::Event,
};
use hoplanding_core::{
    direct::suspects::{EndedUnder, RequestFingerprint},
    ids::{AvailabilityZone, LogPosition},
};
use hoplanding_platform::{
    names::FLEET_TOPIC,
    store::{StoreClient, StoreError},
};
use std::{collections::BTreeSet, sync::Arc, time::Duration};
use tokio::{sync::mpsc, time::sleep};

/// Pause before a record that could not be appended is tried again.
const RECORD_AGAIN: Duration = Duration::from_millis(500);

/// Leave to send a suspect once; tells holders of the trial's end when dropped.
#[derive(Debug)]
pub struct TrialPermit {
    access: Arc<ZoneAccess>,
    /// The zone whose holder granted it.
    zone: AvailabilityZone,
    number: u64,
    fingerprint: RequestFingerprint,
    is_good: bool,
}

impl TrialPermit {
    /// The permit that a zone's holder granted to the question with this number.
    #[must_use]
    pub fn new(
        access: &Arc<ZoneAccess>,
        zone: &AvailabilityZone,
        number: u64,
        fingerprint: RequestFingerprint,
    ) -> Self {
        Self {
            access: Arc::clone(access),
            zone: zone.clone(),
            number,
            fingerprint,
            is_good: false,
        }
    }

    /// The zone whose holder answered.
    #[must_use]
    pub fn zone(&self) -> &AvailabilityZone {
        &self.zone
    }

    /// The request was answered well.
    pub fn note_good(&mut self) {
        self.is_good = true;
    }
}

impl Drop for TrialPermit {
    fn drop(&mut self) {
        self.access
            .end_trial(&self.zone, self.number, self.fingerprint, self.is_good);
    }
}

impl FleetState {
    /// Notes that a target ended under a request; says whether that is news.
    pub fn note_ended_under(&self, ended: &EndedUnder) -> bool {
        let now = clock::now();
        let mut books = self.books();
        if !books.suspects.note_ended(ended, now) {
            return false;
        }
        let (suspected, quarantined) = books.suspects.counts(now);
        event!(
            Event::RequestSuspected,
            "{:016x}: {} ended under it, {suspected} suspected, {quarantined} quarantined",
            ended.fingerprint.0,
            ended.run.name
        );
        true
    }

    /// Notes that a trial of a request was answered well.
    pub fn pardon(&self, fingerprint: RequestFingerprint) {
        if self.books().suspects.pardon(fingerprint) {
            event!(Event::SuspicionCleared, "{:016x}", fingerprint.0);
        }
    }
}

/// Keeps the log's records of quarantined requests as the books say, so that they outlive all VMs.
pub struct QuarantineRecorder {
    /// The books.
    pub fleet: Arc<FleetState>,
    /// Settings.
    pub settings: Arc<DirectSettings>,
}

impl QuarantineRecorder {
    /// Records the requests that come until the channel closes.
    pub async fn run(self, mut receiver: mpsc::Receiver<RequestFingerprint>) {
        let mut client = StoreClient::new(self.settings.platform_address);
        let mut due = BTreeSet::new();
        loop {
            if due.is_empty() {
                let Some(fingerprint) = receiver.recv().await else {
                    return;
                };
                due.insert(fingerprint);
            }
            while let Ok(fingerprint) = receiver.try_recv() {
                due.insert(fingerprint);
            }
            let Some(fingerprint) = due.pop_first() else {
                continue;
            };
            if let Err(error) = self.record(&mut client, fingerprint).await {
                event!(Event::RecordFailed, "{}: {error}", suspect_key(fingerprint));
                due.insert(fingerprint);
                sleep(RECORD_AGAIN).await;
            }
        }
    }

    /// Appends the record of a request unless the log has the same; one that is not quarantined has none.
    async fn record(
        &self,
        client: &mut StoreClient,
        fingerprint: RequestFingerprint,
    ) -> Result<(), StoreError> {
        let key = suspect_key(fingerprint);
        let value = {
            let books = self.fleet.books();
            let ended = books.suspects.quarantine(fingerprint);
            let value = ended.map(|ended| serde_json::to_vec(ended).expect("it has a JSON form"));
            if books.records.value(FeedTopic::Fleet, &key) == value.as_deref() {
                return Ok(());
            }
            value.unwrap_or_default()
        };
        let within = self.settings.pace.platform_timeout;
        let position: LogPosition = client
            .append(FLEET_TOPIC, &key, &value, None, within)
            .await?;
        if self.fleet.meet_era(position.era()) {
            self.fleet.take_own(key, value, position);
        }
        Ok(())
    }
}
