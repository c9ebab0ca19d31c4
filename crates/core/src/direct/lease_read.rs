//! Proof that a claim of this VM stands in the platform's log.
//!
//! The log may be restored from a copy that lacks an acknowledged claim, and another VM may hold the zone since then. So
//! neither the acknowledgement nor the passing of time entitles a claimant to its first order, only a read of the fleet
//! topic that was sent after the claimant's wait: a later era would show that the log was restored, and a newer record
//! that another VM claimed the zone.
//!
//! The read may be another VM's, as the log may be out of reach of the claimant alone. The claimant asks for it in its
//! heartbeats. Like proofs of the configuration, a read that was sent by another VM is dated by the echo of a heartbeat.

use crate::{
    direct::{freshness::HeartbeatEcho, lease::LeaseState},
    ids::{Instant, LogPosition},
};
use serde::{Deserialize, Serialize};

/// Read of the fleet topic to its end, as evidence about the lease of one zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseRead {
    /// Position of the zone's newest record before the end.
    pub newest: LogPosition,
    /// End of the topic.
    pub end: LogPosition,
    /// When the read was sent.
    pub sent_at: Instant,
}

/// [`LeaseRead`] of another VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardedRead {
    /// Position of the zone's newest record before the end.
    pub newest: LogPosition,
    /// End of the topic.
    pub end: LogPosition,
    /// Time since the read was sent, in milliseconds.
    pub age_ms: u32,
}

impl LeaseRead {
    /// The read for another VM; `None` if it is too old. Its age is rounded up, so that it never counts as later than
    /// it was sent.
    #[must_use]
    pub fn forward(&self, now: Instant) -> Option<ForwardedRead> {
        let age = now.since(self.sent_at).as_micros().div_ceil(1_000);
        Some(ForwardedRead {
            newest: self.newest,
            end: self.end,
            age_ms: u32::try_from(age).ok()?,
        })
    }

    /// Read of another VM, by this VM's clock. The other VM sent it with the echo.
    #[must_use]
    pub fn from_forwarded(forwarded: &ForwardedRead, echo: &HeartbeatEcho) -> Option<Self> {
        Some(Self {
            newest: forwarded.newest,
            end: forwarded.end,
            sent_at: echo.time_before(forwarded.age_ms)?,
        })
    }

    /// Whether this read proves that the newest known record of the zone's lease stood in the log at `time` or later.
    #[must_use]
    pub fn proves(&self, lease: &LeaseState, time: Instant) -> bool {
        self.sent_at >= time
            && self.newest == lease.position
            && self.end.era() == lease.position.era()
    }
}
