//! Origins of streams in the platform's log, for callers that take streams up after all VMs have ended.
//!
//! While a service runs several software versions, the holder of each zone learns the origins of the streams that the
//! zone's gateways relay, and appends them to a topic of its own, whose old records the platform drops. A VM reads the
//! topic when it starts, and for calls that take up a stream of which no holder knows: the holders that knew it may have
//! ended with the VM that relayed it.

use crate::{
    clock,
    direct::{fleet::FleetState, settings::DirectSettings},
    event,
    events::Event,
};
use hoplanding_core::{
    direct::stream_origins::{StreamKey, StreamOrigin},
    ids::{LogOffset, LogPosition, SoftwareVersion},
};
use hoplanding_platform::{
    names::STREAM_TOPIC,
    store::{StoreClient, StoreError},
};
use std::{collections::BTreeMap, io, sync::Arc, time::Duration};
use tokio::time::{Instant, MissedTickBehavior, interval, sleep, timeout};

/// Interval at which a holder appends the origins that it has learned.
const APPEND_INTERVAL: Duration = Duration::from_millis(500);
/// Pause after the topic could not be read at the start.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);
/// Interval between two reads for calls.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(100);
/// Time that a call waits for a read.
const READ_TIMEOUT: Duration = Duration::from_millis(300);
/// Time from the start after which a VM gives up reading the topic.
const LOAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum number of origins in one record.
const MAX_RECORD_ORIGINS: usize = 100;

/// Value of a record: the streams that each software version began.
type ArchivedOrigins = BTreeMap<SoftwareVersion, Vec<StreamKey>>;

/// Reads the archive at the start, and then appends to it while this VM holds its zone.
pub struct StreamArchive {
    fleet: Arc<FleetState>,
    settings: Arc<DirectSettings>,
    client: StoreClient,
    /// Position up to which the topic was read.
    read_end: LogPosition,
}

impl StreamArchive {
    /// Archive of this VM.
    #[must_use]
    pub fn new(fleet: Arc<FleetState>, settings: Arc<DirectSettings>) -> Self {
        Self {
            client: StoreClient::new(settings.platform_address),
            read_end: LogPosition(0),
            fleet,
            settings,
        }
    }

    /// Runs until the process ends.
    pub async fn run(mut self) {
        self.load().await;
        let mut requests = self.fleet.archive_requests.subscribe();
        let mut appends = interval(APPEND_INTERVAL);
        appends.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            // `FleetState` keeps the sender alive.
            tokio::select! {
                _ = appends.tick() => self.append_due().await,
                _ = requests.changed() => {
                    self.read_for_calls().await;
                    sleep(MIN_READ_INTERVAL).await;
                }
            }
        }
    }

    async fn append_due(&mut self) {
        let origins = self.fleet.take_unarchived_streams();
        if origins.is_empty() {
            return;
        }
        if let Err(error) = self.append(&origins).await {
            event!(
                Event::VmRecordFailed,
                "origins of {} streams: {error}",
                origins.len()
            );
            self.fleet.return_unarchived_streams(&origins);
        }
    }

    async fn read_for_calls(&mut self) {
        let sent_at = clock::now();
        match self.read().await {
            Ok(()) => {
                self.fleet.archive_reads.send_replace(sent_at);
            }
            Err(error) => event!(Event::RecordSkipped, "origins of streams: {error}"),
        }
    }

    /// Reads the topic once it is known that a service runs several versions; without them no call needs it.
    async fn load(&mut self) {
        let deadline = Instant::now() + LOAD_TIMEOUT;
        while Instant::now() < deadline {
            match self.fleet.has_mixed_service() {
                Some(false) => break,
                Some(true) => match self.read().await {
                    Ok(()) => break,
                    Err(error) => event!(Event::RecordSkipped, "origins of streams: {error}"),
                },
                None => {}
            }
            sleep(RETRY_INTERVAL).await;
        }
        self.fleet.record_archive_read();
    }

    async fn read(&mut self) -> Result<(), StoreError> {
        let within = self.settings.timing.platform_timeout;
        let era = self.fleet.tables().store_era.unwrap_or_default();
        let mut from = self.read_end.max(LogPosition::in_era(era, LogOffset(0)));
        loop {
            let read = self.client.read(STREAM_TOPIC, from, Duration::ZERO, within);
            let batch = match read.await {
                Err(StoreError::Expired(first)) if first > from => {
                    from = first;
                    continue;
                }
                read => read?,
            };
            for record in &batch.records {
                let value = record.value.as_deref().unwrap_or_default();
                match decode_origins(value) {
                    Ok(origins) => self.fleet.record_streams(&origins, false),
                    Err(error) => {
                        event!(Event::RecordSkipped, "origins of streams: {error}");
                    }
                }
            }
            let is_done = batch.next >= batch.end || batch.next <= from;
            from = batch.next.max(from);
            if is_done {
                self.read_end = from;
                return Ok(());
            }
        }
    }

    async fn append(&mut self, origins: &[StreamOrigin]) -> Result<(), StoreError> {
        let values: Result<Vec<_>, _> = origins
            .chunks(MAX_RECORD_ORIGINS)
            .map(encode_origins)
            .collect();
        let values = values.map_err(|error| StoreError::Malformed(error.to_string()))?;
        let vm = self.fleet.vm.clone();
        let records: Vec<(&str, &[u8])> = values
            .iter()
            .map(|value| (vm.as_str(), value.as_slice()))
            .collect();
        let within = self.settings.timing.platform_timeout;
        let appended = self.client.append_all(STREAM_TOPIC, &records, within).await;
        appended.map(|_| ())
    }
}

fn encode_origins(origins: &[StreamOrigin]) -> io::Result<Vec<u8>> {
    let mut archived = ArchivedOrigins::new();
    for StreamOrigin { key, software } in origins {
        archived.entry(software.clone()).or_default().push(*key);
    }
    let mut bytes = Vec::new();
    ciborium::into_writer(&archived, &mut bytes).map_err(io::Error::other)?;
    Ok(bytes)
}

fn decode_origins(value: &[u8]) -> io::Result<Vec<StreamOrigin>> {
    let archived: ArchivedOrigins = ciborium::from_reader(value).map_err(io::Error::other)?;
    let origins = archived.into_iter().flat_map(|(software, keys)| {
        keys.into_iter().map(move |key| StreamOrigin {
            key,
            software: software.clone(),
        })
    });
    Ok(origins.collect())
}

impl FleetState {
    /// Has the archive read, for a call that takes up a stream of which no holder knows; waits for 300 ms at most.
    pub async fn await_archive_read(&self) {
        if self.has_mixed_service() != Some(true) {
            return;
        }
        let mut reads = self.archive_reads.subscribe();
        let asked_at = clock::now();
        self.archive_requests.send_replace(asked_at);
        let is_read = reads.wait_for(|sent_at| *sent_at >= asked_at);
        // After the timeout the call goes on with what this VM knows.
        let _ = timeout(READ_TIMEOUT, is_read).await;
    }

    /// Whether a service may have run several software versions lately; `None` until the topics are known.
    fn has_mixed_service(&self) -> Option<bool> {
        let tables = self.tables();
        tables.runs_any_mixed_service(clock::now())
    }
}
