//! Since when the configuration in force is known to be the newest.
//!
//! A key that operators took away must stop on every VM within a bound, also on one that hears nothing any more. So a call
//! with a key is only let through while there is a proof that is younger than that bound: an answer of the platform's log to
//! a read of the operators' records. Such an answer shows every record that was acknowledged before the read was sent, and
//! none that came later: a read that waits is not woken by a record of the same few milliseconds. So a proof counts from
//! when its read was sent.
//!
//! A VM passes its proof on with its sign of life. How long that was under way nobody can tell from the message alone (either
//! side may have stood still, or a cut link may have held it up), so it answers a sign of life of the receiver's: the proof
//! was as old as is told when that one was answered, and that was after the receiver sent it.

use crate::ids::Instant;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Time that a call takes from the last look at the proof until its target has it, at the most: a hop and a turn of a
/// slowed processor.
const ON_ITS_WAY: Duration = Duration::from_millis(100);

/// A VM's proof as it passes it on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayedProof {
    /// Version of the newest configuration as of the proof.
    pub version: u64,
    /// Age of the proof, in milliseconds.
    pub age_ms: u32,
}

/// What a sign of life answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatEcho {
    /// When the receiver sent its last sign of life that came, by the receiver's own clock, in microseconds.
    pub sent: u64,
    /// Time from its arrival until this answer, in milliseconds.
    pub held_ms: u32,
}

/// How long a key that was taken away may still be served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RevocationRule {
    /// Time from the acknowledgement of a configuration until no VM serves the keys that it took away, in touch with the
    /// log or not.
    pub bound: Duration,
}

/// The newest proof.
#[derive(Clone, Copy, Debug, Default)]
pub struct FreshnessProof {
    known_at: Option<Instant>,
}

impl FreshnessProof {
    /// A read of the operators' records that was sent then brought all that there is.
    pub fn record_read(&mut self, sent: Instant) {
        self.known_at = self.known_at.max(Some(sent));
    }

    /// Takes over another VM's proof, if the configuration in force here, which has the version `known`, is the one that it is
    /// about or a later one.
    pub fn accept_relayed(&mut self, passed: &RelayedProof, echo: &HeartbeatEcho, known: u64) {
        if known < passed.version {
            return;
        }
        let answered = echo.sent + u64::from(echo.held_ms) * 1_000;
        let proven = answered.checked_sub(u64::from(passed.age_ms) * 1_000);
        if let Some(proven) = proven {
            self.record_read(Instant(proven));
        }
    }

    /// Its age.
    #[must_use]
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.known_at.map(|known_at| now.since(known_at))
    }

    /// The proof for others; an age is rounded up, so that none gets younger on its way.
    #[must_use]
    pub fn relay(&self, version: u64, now: Instant) -> Option<RelayedProof> {
        let age = self.age(now)?.as_micros().div_ceil(1_000);
        Some(RelayedProof {
            version,
            age_ms: u32::try_from(age).ok()?,
        })
    }

    /// Whether a call with a key that is known may be sent now.
    #[must_use]
    pub fn is_fresh(&self, rule: RevocationRule, now: Instant) -> bool {
        self.age(now)
            .is_some_and(|age| age + ON_ITS_WAY < rule.bound)
    }
}
