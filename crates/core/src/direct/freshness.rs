//! Proof that the configuration in force is the newest one.
//!
//! A revoked key must stop working on every VM within a bound, also on a VM that no longer receives anything. A call
//! with a key is therefore only admitted while a proof younger than that bound exists: an answer of the platform's log
//! to a read of the operators' records. Such an answer contains every record that was acknowledged before the read was
//! sent. It may lack later ones, since a waiting read is not woken by a record of the same few milliseconds, so a proof
//! counts from the time at which its read was sent.
//!
//! A VM forwards its proof in its heartbeats. The delay of a heartbeat cannot be derived from the message alone, since
//! either side may have been paused or the link blocked. Each heartbeat therefore echoes the last heartbeat of the
//! receiver: the proof had the stated age when the echo was sent, and that was after the receiver sent the echoed
//! heartbeat.

use crate::ids::Instant;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Longest time from the check of the proof until the call reaches its target: a network hop and a scheduling delay on
/// a slow processor.
const MAX_SEND_DELAY: Duration = Duration::from_millis(100);

/// Proof of a VM as it is forwarded to others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardedProof {
    /// Version of the newest configuration at the time of the proof.
    pub version: u64,
    /// Age of the proof in milliseconds.
    pub age_ms: u32,
}

/// Echo of a heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatEcho {
    /// When the receiver sent its last heartbeat that arrived, by the receiver's own clock, in microseconds.
    pub sent: u64,
    /// Time between the arrival of that heartbeat and this echo, in milliseconds.
    pub held_ms: u32,
}

impl HeartbeatEcho {
    /// Time by the receiver's clock, at least `age_ms` milliseconds before the echo was sent; `None` if that is before
    /// the start of its clock.
    #[must_use]
    pub fn time_before(&self, age_ms: u32) -> Option<Instant> {
        let replied_at = self.sent + u64::from(self.held_ms) * 1_000;
        replied_at
            .checked_sub(u64::from(age_ms) * 1_000)
            .map(Instant)
    }
}

/// Bound on the use of revoked keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RevocationRule {
    /// Time from the acknowledgement of a configuration until no VM accepts the keys that it revoked, whether it
    /// reaches the log or not.
    pub bound: Duration,
}

/// The newest proof that this VM has.
#[derive(Clone, Copy, Debug, Default)]
pub struct FreshnessProof {
    proven_at: Option<Instant>,
}

impl FreshnessProof {
    /// Records a completed read of the operators' records that was sent at `sent`.
    pub fn record_read(&mut self, sent: Instant) {
        self.advance(sent);
    }

    /// Accepts the proof of another VM if this VM's configuration has at least the proven version. Returns whether it is
    /// younger than the proof that this VM had.
    pub fn accept_forwarded(
        &mut self,
        forwarded: &ForwardedProof,
        echo: &HeartbeatEcho,
        current_version: u64,
    ) -> bool {
        if current_version < forwarded.version {
            return false;
        }
        echo.time_before(forwarded.age_ms)
            .is_some_and(|proven_at| self.advance(proven_at))
    }

    fn advance(&mut self, proven_at: Instant) -> bool {
        let is_younger = self.proven_at < Some(proven_at);
        self.proven_at = self.proven_at.max(Some(proven_at));
        is_younger
    }

    /// Age of the proof; `None` if there is none.
    #[must_use]
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.proven_at.map(|proven_at| now.since(proven_at))
    }

    /// The proof for other VMs. Its age is rounded up, so that relaying never makes a proof younger.
    #[must_use]
    pub fn forward(&self, version: u64, now: Instant) -> Option<ForwardedProof> {
        let age = self.age(now)?.as_micros().div_ceil(1_000);
        Some(ForwardedProof {
            version,
            age_ms: u32::try_from(age).ok()?,
        })
    }

    /// Whether a call with a known key may be sent at `now`.
    #[must_use]
    pub fn is_fresh(&self, rule: RevocationRule, now: Instant) -> bool {
        self.age(now)
            .is_some_and(|age| age + MAX_SEND_DELAY < rule.bound)
    }
}
