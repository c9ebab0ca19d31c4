//! Callers' own idempotency keys, claimed in the log.
//!
//! The claim at the lowest offset wins; later ones are led to the winner's answer. The latest
//! [`REMEMBERED_KEYS`] claims are remembered, the same ones at every daemon and in every snapshot.

use crate::ids::{CallerName, DaemonRef, LogOffset};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::{HashMap, VecDeque};

/// Claims that are remembered; an older key counts as new.
pub const MAX_KEY_CLAIMS: usize = 65_536;

/// First 16 bytes of the SHA-256 of a caller's name and its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeyHash([u8; 16]);

impl KeyHash {
    /// Hashes a key of a caller.
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

/// One claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyClaim {
    /// The key.
    pub key: KeyHash,
    /// Fingerprint of the request that it stands for.
    pub fingerprint: u64,
}

/// What became of a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// This daemon's claim is the lowest: run the request.
    Won,
    /// Another claim came first.
    Lost {
        /// The daemon that runs, or ran, the request.
        holder: DaemonRef,
        /// Fingerprint of that request.
        fingerprint: u64,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct RememberedClaim {
    holder: DaemonRef,
    fingerprint: u64,
    offset: LogOffset,
}

/// Claims as folded from the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(
    into = "Vec<(KeyHash, DaemonRef, u64, LogOffset)>",
    from = "Vec<(KeyHash, DaemonRef, u64, LogOffset)>"
)]
pub struct KeyTable {
    claims: HashMap<KeyHash, RememberedClaim>,
    order: VecDeque<KeyHash>,
}

impl KeyTable {
    /// Folds a batch of claims.
    pub fn apply(&mut self, offset: LogOffset, holder: &DaemonRef, claims: &[KeyClaim]) {
        for claim in claims {
            if self.claims.contains_key(&claim.key) {
                continue;
            }
            let remembered = RememberedClaim {
                holder: holder.clone(),
                fingerprint: claim.fingerprint,
                offset,
            };
            self.claims.insert(claim.key, remembered);
            self.order.push_back(claim.key);
            if self.order.len() > MAX_KEY_CLAIMS
                && let Some(oldest) = self.order.pop_front()
            {
                self.claims.remove(&oldest);
            }
        }
    }

    /// What became of a claim of `me`; none if the key was not claimed yet.
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

    /// Number of claims that are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Whether no claim is remembered.
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
            let claim = RememberedClaim {
                holder,
                fingerprint,
                offset,
            };
            table.claims.insert(key, claim);
        }
        table
    }
}
