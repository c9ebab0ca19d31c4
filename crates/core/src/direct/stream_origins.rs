//! Software versions that began streams.
//!
//! A caller whose stream broke takes it up with another call, at any VM, and names the attempt that received the first
//! event. The stream may continue only at the software version that began it, so every VM remembers the version for the
//! streams that it relayed. From when a service runs several versions on, VMs also send each other what they remember, so
//! that the end of one VM does not lose it.

use crate::ids::{Instant, OrganisationName, ServiceName, SoftwareVersion};
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use std::{
    collections::{BTreeMap, HashMap, VecDeque, hash_map::Entry},
    hash::{Hash, Hasher},
    time::Duration,
};

/// Time for which the origin of a stream is remembered, longer than a stream and its caller's retries take.
pub const ORIGIN_TTL: Duration = Duration::from_secs(120);
/// Origins that are remembered; beyond that, the oldest are dropped.
const MAX_ORIGINS: usize = 65_536;
/// Software versions that are remembered; streams of further versions are not.
const MAX_VERSIONS: usize = 256;

/// Hash of a caller's attempt, with its organisation and service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct StreamKey(pub u64);

impl StreamKey {
    /// Key of the stream whose first event the attempt `id` of an organisation's caller received.
    #[must_use]
    pub fn new(service: &ServiceName, organisation: Option<&OrganisationName>, id: &str) -> Self {
        let mut hasher = SipHasher13::new();
        service.as_str().hash(&mut hasher);
        organisation.map(OrganisationName::as_str).hash(&mut hasher);
        id.hash(&mut hasher);
        Self(hasher.finish())
    }
}

/// A stream and the software version that began it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// The stream.
    pub key: StreamKey,
    /// Version of the target that sent the first event.
    pub software: SoftwareVersion,
}

#[derive(Clone, Copy, Debug)]
struct OriginRow {
    /// Index of the version; `None` if two versions began streams under the same key.
    version: Option<usize>,
    expires_at: Instant,
}

/// Origins of the streams that this VM or others relayed.
#[derive(Clone, Debug, Default)]
pub struct StreamOrigins {
    versions: Vec<SoftwareVersion>,
    rows: HashMap<StreamKey, OriginRow>,
    /// Keys in the order of recording.
    order: VecDeque<StreamKey>,
    /// Streams that this VM relayed and has not sent to others, by service.
    unsent: BTreeMap<ServiceName, VecDeque<StreamKey>>,
}

impl StreamOrigins {
    /// Records a stream of a service that this VM relays.
    pub fn record_own(&mut self, service: &ServiceName, origin: &StreamOrigin, now: Instant) {
        if self.record(origin, now) {
            let unsent = self.unsent.entry(service.clone()).or_default();
            unsent.push_back(origin.key);
        }
    }

    /// Records a stream that another VM relays; returns whether it is new.
    pub fn record(&mut self, origin: &StreamOrigin, now: Instant) -> bool {
        self.expire(now);
        let Some(version) = self.version_index(&origin.software) else {
            return false;
        };
        match self.rows.entry(origin.key) {
            Entry::Occupied(mut known) => {
                if known.get().version != Some(version) {
                    known.get_mut().version = None;
                }
                false
            }
            Entry::Vacant(row) => {
                row.insert(OriginRow {
                    version: Some(version),
                    expires_at: now.after(ORIGIN_TTL),
                });
                self.order.push_back(origin.key);
                true
            }
        }
    }

    /// Version that began a stream; `None` if it is not known.
    #[must_use]
    pub fn software(&self, key: StreamKey, now: Instant) -> Option<&SoftwareVersion> {
        let row = self.rows.get(&key).filter(|row| now < row.expires_at)?;
        self.versions.get(row.version?)
    }

    /// Services with streams that have not been sent to other VMs.
    pub fn unsent_services(&self) -> impl Iterator<Item = &ServiceName> {
        self.unsent.keys()
    }

    /// Takes up to `max_count` streams of a service that have not been sent to other VMs, the oldest first.
    pub fn take_unsent(
        &mut self,
        service: &ServiceName,
        max_count: usize,
        now: Instant,
    ) -> Vec<StreamOrigin> {
        let mut taken = Vec::new();
        while taken.len() < max_count {
            let next = self.unsent.get_mut(service).and_then(VecDeque::pop_front);
            let Some(key) = next else {
                self.unsent.remove(service);
                break;
            };
            if let Some(software) = self.software(key, now) {
                let software = software.clone();
                taken.push(StreamOrigin { key, software });
            }
        }
        taken
    }

    /// Takes back streams that could not be sent to any other VM.
    pub fn return_unsent(&mut self, service: &ServiceName, origins: &[StreamOrigin]) {
        let unsent = self.unsent.entry(service.clone()).or_default();
        for origin in origins.iter().rev() {
            unsent.push_front(origin.key);
        }
    }

    /// The newest streams that are known, for a VM that knows none of them.
    #[must_use]
    pub fn newest(&self, max_count: usize, now: Instant) -> Vec<StreamOrigin> {
        let keys = self.order.iter().rev();
        let known = keys.filter_map(|key| {
            let software = self.software(*key, now)?.clone();
            Some(StreamOrigin {
                key: *key,
                software,
            })
        });
        known.take(max_count).collect()
    }

    fn version_index(&mut self, software: &SoftwareVersion) -> Option<usize> {
        let known = self.versions.iter().position(|known| known == software);
        known.or_else(|| {
            let index = self.versions.len();
            (index < MAX_VERSIONS).then(|| {
                self.versions.push(software.clone());
                index
            })
        })
    }

    fn expire(&mut self, now: Instant) {
        while let Some(key) = self.order.front() {
            let row = self.rows.get(key);
            let is_current = row.is_some_and(|row| now < row.expires_at);
            if is_current && self.order.len() < MAX_ORIGINS {
                return;
            }
            self.rows.remove(key);
            self.order.pop_front();
        }
        let rows = &self.rows;
        self.unsent.retain(|_, unsent| {
            while unsent.front().is_some_and(|key| !rows.contains_key(key)) {
                unsent.pop_front();
            }
            !unsent.is_empty()
        });
    }
}
