//! Idempotency keys chosen by callers and claimed in the log.
//!
//! The claim at the lowest offset wins; a daemon whose claim lost leads its request to the winner's answer. The latest
//! [`MAX_KEY_CLAIMS`] claims are kept. Eviction depends only on the order of the log, so every daemon and every
//! snapshot keeps the same claims.

use crate::ids::{CallerName, DaemonRef, LogOffset};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::{HashMap, VecDeque};

/// Maximum number of claims that are kept; a key whose claim was evicted counts as new.
pub const MAX_KEY_CLAIMS: usize = 65_536;

/// First 16 bytes of the SHA-256 of a caller's name, a zero byte and the caller's key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeyHash([u8; 16]);

impl KeyHash {
    /// Hashes a caller's key.
    #[must_use]
    pub fn of(caller: &CallerName, key: &str) -> Self {
        let mut hasher = Sha256::new();
        hasher.update(caller.as_str().as_bytes());
        hasher.update([0]);
        hasher.update(key.as_bytes());
        let digest = hasher.finalize();
        let mut hash = [0; 16];
        hash.copy_from_slice(&digest[..16]);
        Self(hash)
    }
}

/// Claim of one key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyClaim {
    /// Hash of the claimed key.
    pub key: KeyHash,
    /// Fingerprint of the request that carries the key.
    pub fingerprint: u64,
}

/// Outcome of a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// This daemon's claim has the lowest offset, so it runs the request.
    Won,
    /// Another daemon's claim has a lower offset.
    Lost {
        /// Daemon that runs or ran the request.
        holder: DaemonRef,
        /// Fingerprint in the winning claim.
        fingerprint: u64,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct StoredClaim {
    holder: DaemonRef,
    fingerprint: u64,
    offset: LogOffset,
}

/// Claims folded from the log, in the order of their offsets.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(
    into = "Vec<(KeyHash, DaemonRef, u64, LogOffset)>",
    from = "Vec<(KeyHash, DaemonRef, u64, LogOffset)>"
)]
pub struct KeyTable {
    claims: HashMap<KeyHash, StoredClaim>,
    order: VecDeque<KeyHash>,
}

impl KeyTable {
    /// Applies a batch of claims; a key that is already claimed keeps its first claim.
    pub fn apply(&mut self, offset: LogOffset, holder: &DaemonRef, claims: &[KeyClaim]) {
        for claim in claims {
            if self.claims.contains_key(&claim.key) {
                continue;
            }
            let stored = StoredClaim {
                holder: holder.clone(),
                fingerprint: claim.fingerprint,
                offset,
            };
            self.claims.insert(claim.key, stored);
            self.order.push_back(claim.key);
            if self.order.len() > MAX_KEY_CLAIMS
                && let Some(oldest) = self.order.pop_front()
            {
                self.claims.remove(&oldest);
            }
        }
    }

    /// Outcome of the claim of daemon `me`; none if no claim of the key has been applied.
    #[must_use]
    pub fn outcome(&self, key: &KeyHash, me: &DaemonRef) -> Option<ClaimOutcome> {
        let claim = self.claims.get(key)?;
        if claim.holder == *me {
            return Some(ClaimOutcome::Won);
        }
        Some(ClaimOutcome::Lost {
            holder: claim.holder.clone(),
            fingerprint: claim.fingerprint,
        })
    }

    /// Number of claims kept.
    #[must_use]
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Whether no claim is kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }
}

impl From<KeyTable> for Vec<(KeyHash, DaemonRef, u64, LogOffset)> {
    fn from(table: KeyTable) -> Self {
        let entries = table.order.iter().filter_map(|key| {
            let claim = table.claims.get(key)?;
            Some((*key, claim.holder.clone(), claim.fingerprint, claim.offset))
        });
        entries.collect()
    }
}

impl From<Vec<(KeyHash, DaemonRef, u64, LogOffset)>> for KeyTable {
    fn from(entries: Vec<(KeyHash, DaemonRef, u64, LogOffset)>) -> Self {
        let mut table = Self::default();
        for (key, holder, fingerprint, offset) in entries {
            table.order.push_back(key);
            let claim = StoredClaim {
                holder,
                fingerprint,
                offset,
            };
            table.claims.insert(key, claim);
        }
        table
    }
}
