//! Finding the software version that began the stream which a call takes up, and recording it for later calls.

use crate::{
    direct::{
        call::{CallState, DEFAULT_RETRY_AFTER},
        holder_client::StreamLookup,
    },
    event,
    events::Event,
};
use hoplanding_core::{
    direct::stream_origins::{StreamKey, StreamOrigin},
    ids::SoftwareVersion,
};
use std::time::Duration;
use tokio::time::timeout_at;

/// `Retry-After` of calls whose stream no VM knows, longer than callers wait: the stream has to begin anew.
const UNKNOWN_STREAM_RETRY_AFTER: Duration = Duration::from_secs(24 * 3_600);

impl CallState {
    /// Binds a call that takes up a stream to the software version that began the stream.
    ///
    /// # Errors
    /// If the version cannot be found out: the time after which the caller may retry.
    pub(super) async fn bind_taken_up_stream(&mut self) -> Result<(), Duration> {
        if !self.route.is_resumable() || self.head.last_event_id.is_none() {
            return Ok(());
        }
        let (software, retry_after) = self.find_software().await;
        if software.is_none() {
            event!(Event::StreamOriginUnknown, request = self.head.id; "route {}, begun by attempt {:?}, retry after {retry_after:?}",
                self.route.name,
                self.head.resumes
            );
            return Err(retry_after);
        }
        self.software = software;
        Ok(())
    }

    /// Software version that began the stream: by this VM's records, because there is no other, by the records of the zones'
    /// holders or of the archive, or because no stream has begun yet at any other. Where it is not known, also when to retry.
    async fn find_software(&self) -> (Option<SoftwareVersion>, Duration) {
        let fleet = &self.context.fleet;
        let service = &self.service.name;
        let key = self.head.resumes.as_deref().map(|id| self.stream_key(id));
        let mut known = key.and_then(|key| fleet.stream_software(key));
        // A VM of an earlier build does not hold new versions back, but it reports the streams that it begins there.
        if known.is_none() && !fleet.is_mixed(service) {
            known = fleet.sole_software(service);
        }
        if known.is_some() {
            return (known, Duration::ZERO);
        }
        let Some(key) = key else {
            return (fleet.sole_software(service), UNKNOWN_STREAM_RETRY_AFTER);
        };
        let lookup = self.context.holder_client.look_up_stream(key);
        let lookup = timeout_at(self.deadline, lookup).await;
        if let Ok(StreamLookup::Found(software)) = lookup {
            return (Some(software), Duration::ZERO);
        }
        let sole = fleet.sole_software(service);
        if sole.is_some() {
            return (sole, Duration::ZERO);
        }
        fleet.await_archive_read().await;
        let archived = fleet.stream_software(key);
        // Until a new version is in use, another VM may still tell which version began the stream.
        let is_final = lookup == Ok(StreamLookup::Unknown)
            && fleet.is_archive_read()
            && fleet.held_versions(service).is_none();
        let retry_after = if is_final {
            UNKNOWN_STREAM_RETRY_AFTER
        } else {
            DEFAULT_RETRY_AFTER
        };
        (archived, retry_after)
    }

    /// Records the software version that sent the first event of this call, under the ids that a later call may name.
    pub fn record_stream_origin(&self, software: &SoftwareVersion) {
        let ids = [Some(self.head.id.as_str()), self.head.resumes.as_deref()];
        for id in ids.into_iter().flatten().filter(|id| !id.is_empty()) {
            let origin = StreamOrigin {
                key: self.stream_key(id),
                software: software.clone(),
            };
            let fleet = &self.context.fleet;
            let unsent = fleet.record_own_stream(&self.service.name, &origin);
            if !unsent.is_empty() && !self.context.holder_client.report_streams(&unsent) {
                fleet.return_unsent(&self.service.name, &unsent);
            }
        }
    }

    fn stream_key(&self, id: &str) -> StreamKey {
        let organisation = self.identity.organisation();
        let organisation = organisation.map(|organisation| &organisation.name);
        StreamKey::new(&self.service.name, organisation, id)
    }
}
